#include "lab/soak/client_stand_in.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "lab/soak/bad_client_connection.h"

namespace croftrun::lab::soak {

using platform::Message;
using platform::MessageType;

namespace {

constexpr TimeUs kSweepInterval = 50'000;
// Interval of the set-ups that are sent on open connections during a shutdown.
constexpr TimeUs kContinuousCallInterval = 15'000;
constexpr TimeUs kProbeTimeout = 400'000, kProbeInterval = 100'000;
// A set-up that was sent at most this long before its connection closed is sent once more.
constexpr TimeUs kCloseRaceTime = 50'000;
constexpr int kCauseNormal = 16;
// Maximum time between the end of a caller's connections and its next one.
constexpr TimeUs kMaxReconnectDelay = 400'000;
// A bad client disconnects after this time. It is longer than the time in which the judge demands a response.
constexpr TimeUs kBadClientLifetime = 5'000'000;
constexpr std::size_t kBadClientKinds = 6;
constexpr std::uint32_t kBadClientHost = 40;

}  // namespace

struct ClientStandIn::Connection {
  std::uint32_t host = 0;
  std::unique_ptr<LineClient> client;
  std::set<std::string> calls;         // set-ups on it without an answer
  std::vector<std::string> unwritten;  // set-ups that are not completely written yet
  TimeUs last_call = 0;
  bool announces_calls = false;  // the established calls of its host, once it is open
  bool closed = false;
};

ClientStandIn::ClientStandIn(boost::asio::io_context* context, core::Runtime* runtime, EventLog* event_log,
                             std::uint64_t seed, const ClientTraits& traits, int softswitch, const core::Address& to,
                             std::uint32_t hosts_from, int destinations)
    : context_(context),
      runtime_(runtime),
      event_log_(event_log),
      random_(seed),
      traits_(traits),
      softswitch_(softswitch),
      softswitch_address_(to),
      hosts_from_(hosts_from),
      destinations_(destinations),
      next_call_timer_(runtime),
      sweep_timer_(runtime),
      continuous_timer_(runtime),
      probe_timer_(runtime) {
  ScheduleSweep();
}

ClientStandIn::~ClientStandIn() = default;

void ClientStandIn::LogEvent(EventKind kind, std::uint32_t host, const std::string& call, std::int64_t value,
                             const std::string& text) {
  event_log_->Append(
      {.kind = kind, .softswitch = softswitch_, .host = host, .call = call, .value = value, .text = text});
}

std::string ClientStandIn::NewId() {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(random_()));
  return digits;
}

void ClientStandIn::ProbeSoftswitch(const std::function<void(bool)>& done) {
  const std::uint32_t host =
      hosts_from_ + (traits_.probes_from_caller_host ? 0 : static_cast<std::uint32_t>(traits_.hosts));
  const auto finish = [this, done](bool passed) {
    probe_timer_.Stop();
    runtime_->StartTimer(0, [this] { probe_.reset(); });
    done(passed);
  };
  probe_ = std::make_unique<LineClient>(
      context_, host, softswitch_address_,
      LineClientHandlers{.on_open = nullptr,
                         .on_line =
                             [finish](std::string_view line) {
                               const auto message = platform::ParseMessage(line);
                               if (message && message->type == MessageType::kHeartbeatResponse) return finish(true);
                               // The end of a call may be notified here too; it is
                               // ignored.
                             },
                         .on_end = [finish](ConnectionEnd) { finish(false); }});
  probe_->Write(platform::WriteMessage({.type = MessageType::kHeartbeat, .id = NewId(), .cause = 0}));
  probe_timer_.Start(kProbeTimeout, [finish] { finish(false); });
}

void ClientStandIn::WaitForReady(const std::function<void()>& ready) {
  ProbeSoftswitch([this, ready](bool passed) {
    if (!passed) {
      runtime_->StartTimer(kProbeInterval, [this, ready] { WaitForReady(ready); });
      return;
    }
    LogEvent(EventKind::kReady, 0, "");
    ready();
  });
}

void ClientStandIn::StartCalls() {
  calling_ = true;
  ScheduleNextCall();
}

void ClientStandIn::ScheduleNextCall() {
  const double gap = std::exponential_distribution<double>(traits_.calls_per_s * crowd_factor_)(random_);
  next_call_timer_.Start(static_cast<TimeUs>(gap * 1e6), [this] {
    if (!calling_) return;
    PlaceCall(static_cast<int>(random_() % static_cast<std::uint64_t>(traits_.hosts)));
    ScheduleNextCall();
  });
}

ClientStandIn::Connection* ClientStandIn::ConnectionFor(int host) {
  const std::uint32_t address = hosts_from_ + static_cast<std::uint32_t>(host);
  std::vector<Connection*> host_connections;
  for (const auto& connection : connections_) {
    if (connection->host == address && !connection->closed) host_connections.push_back(connection.get());
  }
  const auto max_connections =
      static_cast<std::size_t>(static_cast<double>(traits_.max_connections) * std::max(1.0, crowd_factor_));
  if (host_connections.size() < max_connections && (host_connections.empty() || DrawUniform() < 0.2))
    return Connect(host);
  return host_connections[random_() % host_connections.size()];
}

ClientStandIn::Connection* ClientStandIn::Connect(int host) {
  connections_.push_back(std::make_unique<Connection>());
  Connection* const connection = connections_.back().get();
  connection->host = hosts_from_ + static_cast<std::uint32_t>(host);
  connection->last_call = runtime_->Now();
  connection->client = std::make_unique<LineClient>(
      context_, connection->host, softswitch_address_,
      LineClientHandlers{.on_open = [this, connection] { OnOpen(connection); },
                         .on_line = [this, connection](std::string_view line) { OnLine(connection, line); },
                         .on_end = [this, connection](ConnectionEnd end) { OnEnd(connection, end); },
                         .on_written = [this, connection] { OnWritten(connection); }});
  return connection;
}

void ClientStandIn::OnOpen(Connection* connection) {
  LogEvent(EventKind::kClientConnected, connection->host, "");
  if (!connection->announces_calls || connection->closed) return;
  for (const auto& [id, call] : established_) {
    if (call.host == connection->host) Announce(connection, id, call);
  }
}

void ClientStandIn::OnWritten(Connection* connection) {
  for (const std::string& id : std::exchange(connection->unwritten, {})) {
    const auto found = pending_.find(id);
    if (found == pending_.end() || connection->closed) continue;
    found->second.sent_at = runtime_->Now();
    const TimeUs caller_timeout = traits_.caller_timeouts[static_cast<std::size_t>(found->second.call_class)];
    LogEvent(EventKind::kSetUpSent, connection->host, id, static_cast<std::int64_t>(caller_timeout));
  }
}

void ClientStandIn::PlaceCall(int host) { SendSetUp(ConnectionFor(host)); }

void ClientStandIn::SendSetUp(Connection* connection) {
  const std::string id = NewId();
  const auto call_class = static_cast<int>(random_() % traits_.classes.size());
  const TimeUs caller_timeout = traits_.caller_timeouts[static_cast<std::size_t>(call_class)];
  int destination = softswitch_;
  while (destination == softswitch_)
    destination = static_cast<int>(random_() % static_cast<std::uint64_t>(destinations_));
  const std::string line =
      platform::WriteMessage({.type = MessageType::kSetUp,
                              .id = id,
                              .fields = {{"class", traits_.classes[static_cast<std::size_t>(call_class)]},
                                         {"left", std::to_string(caller_timeout / 1000)},
                                         {"key", NewId()},
                                         {"extras", "dest:" + std::to_string(destination) + ";width:1;via:-1"}},
                              .description = "offer of " + id});
  PendingCall& call = pending_[id];
  call.connection = connection;
  call.call_class = call_class;
  call.line = line;
  call.cancel = std::make_unique<core::Timer>(runtime_);
  connection->calls.insert(id);
  connection->last_call = runtime_->Now();
  connection->unwritten.push_back(id);
  if (DrawUniform() < traits_.split_write_share) {
    connection->client->WriteInPieces(line, 1'000 + random_() % 60'000);
  } else {
    connection->client->Write(line);
  }
  const double draw = DrawUniform();
  const bool early = draw < traits_.cancel_share + traits_.disconnect_share;
  const TimeUs after = early ? random_() % std::min<TimeUs>(caller_timeout, 300'000) : caller_timeout + 600'000;
  call.cancel->Start(after, [this, id, closes = early && draw < traits_.disconnect_share] { Cancel(id, closes); });
}

void ClientStandIn::Cancel(const std::string& id, bool close_connection) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  Connection* const connection = found->second.connection;
  if (found->second.sent_at == 0 && !close_connection) {
    // A set-up can be cancelled only when all of it has been written.
    return found->second.cancel->Start(20'000, [this, id] { Cancel(id, false); });
  }
  LogEvent(EventKind::kSetUpCancelled, connection->host, id);
  if (!close_connection) {
    connection->client->Write(platform::WriteMessage({.type = MessageType::kRelease, .id = id, .cause = kCauseNormal}));
    connection->calls.erase(id);
    runtime_->StartTimer(0, [this, id] { pending_.erase(id); });
    return;
  }
  for (const std::string& other : connection->calls) {
    if (other != id) LogEvent(EventKind::kSetUpCancelled, connection->host, other);
    runtime_->StartTimer(0, [this, other] { pending_.erase(other); });
  }
  connection->calls.clear();
  connection->closed = true;
  LogEvent(EventKind::kClientClosed, connection->host, "");
  if (random_() % 3 == 0) {
    connection->client->Reset();
  } else {
    connection->client.reset();
  }
}

void ClientStandIn::OnLine(Connection* connection, std::string_view line) {
  const auto message = platform::ParseMessage(line);
  if (!message) return LogEvent(EventKind::kMalformedLine, connection->host, "", 0, std::string(line.substr(0, 80)));
  if (message->type == MessageType::kAnswer) {
    OnAnswer(*message, connection);
  } else if (message->type == MessageType::kRelease) {
    OnRelease(*message, connection);
  }
}

void ClientStandIn::OnAnswer(const Message& message, Connection* connection) {
  LogEvent(EventKind::kAnswerReceived, connection->host, message.id, 0, message.description.value_or(""));
  const auto found = pending_.find(message.id);
  if (found == pending_.end()) return;
  connection->calls.erase(message.id);
  runtime_->StartTimer(0, [this, id = message.id] { pending_.erase(id); });
  found->second.cancel->Stop();
  EstablishedCall& call = established_[message.id];
  call.host = connection->host;
  int instance = 0;
  std::sscanf(message.description.value_or("").c_str(), "exchange %d", &instance);
  call.uid = "s-" + std::to_string(instance);
  if (DrawUniform() >= traits_.release_share) return;
  call.release = std::make_unique<core::Timer>(runtime_);
  call.release->Start(200'000 + random_() % 4'000'000, [this, id = message.id] {
    const auto established = established_.find(id);
    if (established == established_.end()) return;
    for (const auto& other : connections_) {
      if (other->host != established->second.host || other->closed || !other->client->open()) continue;
      LogEvent(EventKind::kReleaseSent, other->host, id);
      other->client->Write(platform::WriteMessage({.type = MessageType::kRelease, .id = id, .cause = kCauseNormal}));
      runtime_->StartTimer(0, [this, id] { established_.erase(id); });
      return;
    }
  });
}

void ClientStandIn::OnRelease(const Message& message, Connection* connection) {
  // A release that cannot be acknowledged now may be sent again if the connection ends before.
  const bool unacknowledged = connection->client->writing_in_pieces();
  LogEvent(EventKind::kReleaseReceived, connection->host, message.id, message.cause.value_or(-1),
           unacknowledged ? "not acknowledged" : "");
  // Like the platform's clients, acknowledges every release.
  connection->client->Write(platform::WriteMessage({.type = MessageType::kAcknowledgement, .id = message.id}));
  if (const auto established = established_.find(message.id); established != established_.end()) {
    established_.erase(established);
    return;
  }
  const auto found = pending_.find(message.id);
  if (found == pending_.end()) return;
  connection->calls.erase(message.id);
  pending_.erase(found);
  if (!calling_ || DrawUniform() >= traits_.redial_share) return;
  const auto host = static_cast<int>(connection->host - hosts_from_);
  runtime_->StartTimer(50'000 + random_() % 600'000, [this, host] {
    if (calling_) PlaceCall(host);
  });
}

void ClientStandIn::ForgetSetUps(Connection* connection) {
  for (const std::string& id : std::exchange(connection->calls, {})) pending_.erase(id);
}

void ClientStandIn::OnEnd(Connection* connection, ConnectionEnd end) {
  constexpr const char* kNames[] = {"refused", "closed", "reset"};
  if (connection->closed) ForgetSetUps(connection);  // the end of the process is known
  for (const std::string& id : connection->calls) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) continue;
    if (end == ConnectionEnd::kRefused) {
      // No process is listening, so the set-up was not accepted.
      if (found->second.sent_at != 0) LogEvent(EventKind::kSetUpCancelled, connection->host, id);
      pending_.erase(found);
      continue;
    }
    if (Resend(id, &found->second, connection->host)) continue;
    if (found->second.sent_at != 0)
      LogEvent(EventKind::kClosedBeforeAnswer, connection->host, id, 0, kNames[static_cast<int>(end)]);
    pending_.erase(found);
  }
  connection->calls.clear();
  connection->closed = true;
  if (end != ConnectionEnd::kRefused) LogEvent(EventKind::kClientClosed, connection->host, "");
}

bool ClientStandIn::Resend(const std::string& id, PendingCall* call, std::uint32_t host) {
  const bool close_race = call->sent_at != 0 && runtime_->Now() <= call->sent_at + kCloseRaceTime;
  if (!close_race || call->resent) return false;
  call->resent = true;
  Connection* const fresh = Connect(static_cast<int>(host - hosts_from_));
  fresh->calls.insert(id);
  call->connection = fresh;
  fresh->client->Write(call->line);
  return true;
}

void ClientStandIn::ScheduleSweep() {
  sweep_timer_.Start(kSweepInterval, [this] {
    const TimeUs now = runtime_->Now();
    for (const auto& connection : connections_) {
      if (connection->closed || !connection->calls.empty() || !connection->client->open()) continue;
      if (now < connection->last_call + traits_.idle_close_timeout) continue;
      LogEvent(EventKind::kClientClosed, connection->host, "");
      connection->closed = true;
      connection->client.reset();
    }
    std::erase_if(connections_, [](const auto& connection) { return connection->closed && connection->calls.empty(); });
    std::erase_if(bad_clients_, [](const auto& bad) { return bad->closed; });
    ScheduleSweep();
  });
}

void ClientStandIn::SetContinuousLoad(bool enabled) {
  continuous_load_ = enabled;
  if (enabled) {
    ScheduleContinuousCall();
  } else {
    continuous_timer_.Stop();
  }
}

void ClientStandIn::ScheduleContinuousCall() {
  continuous_timer_.Start(kContinuousCallInterval, [this] {
    std::vector<Connection*> open;
    for (const auto& connection : connections_) {
      if (!connection->closed && connection->client->open()) open.push_back(connection.get());
    }
    if (!open.empty()) SendSetUp(open[random_() % open.size()]);
    ScheduleContinuousCall();
  });
}

void ClientStandIn::OnProcessEnded() {
  for (auto& [id, call] : pending_) call.cancel->Stop();
  for (const auto& connection : connections_) {
    connection->closed = true;
    // An open connection forgets them once all of it has been read.
    if (!connection->client || !connection->client->open()) ForgetSetUps(connection.get());
  }
}

void ClientStandIn::AnnounceEstablishedCalls() {
  for (const auto& [id, call] : established_) {
    Connection* const connection = ConnectionFor(static_cast<int>(call.host - hosts_from_));
    Announce(connection, id, call);
  }
}

void ClientStandIn::Announce(Connection* connection, const std::string& id, const EstablishedCall& call) {
  LogEvent(EventKind::kCallAnnounced, call.host, id);
  connection->client->Write(platform::WriteMessage(
      {.type = MessageType::kSetUp,
       .id = id,
       .fields = {{"class", traits_.classes[0]}, {"extras", "dest:0;width:1;via:-1;at:" + call.uid}},
       .description = "again " + id}));
}

void ClientStandIn::Reconnect() {
  for (int host = 0; host < traits_.hosts; ++host) {
    const std::uint32_t address = hosts_from_ + static_cast<std::uint32_t>(host);
    const std::uint64_t way = random_() % 3;  // 0: the former connections stay open
    if (way != 0) CloseIdleConnections(address, way == 1 ? ConnectionClose::kOrderly : ConnectionClose::kReset);
    runtime_->StartTimer(random_() % kMaxReconnectDelay, [this, host] { Connect(host)->announces_calls = true; });
  }
}

void ClientStandIn::CloseIdleConnections(std::uint32_t host, ConnectionClose how) {
  for (const auto& connection : connections_) {
    if (connection->host != host || connection->closed || !connection->calls.empty() || !connection->client->open())
      continue;
    LogEvent(EventKind::kClientClosed, connection->host, "");
    connection->closed = true;
    if (how == ConnectionClose::kReset) {
      connection->client->Reset();
    } else {
      connection->client.reset();
    }
  }
}

void ClientStandIn::ConnectBadClient(int kind) {
  BadClientConnection* const bad = ConnectJudgedClient(kBadClientHost, nullptr);
  const std::string id = NewId();
  switch (static_cast<std::size_t>(kind) % kBadClientKinds) {
    case 0:
      bad->client->Write("\x16\x03\x01 no message\n");
      break;
    case 1:
      bad->client->Write(std::string(100'000, 'x'));
      break;
    case 2:
      bad->client->Write("{\"t\":\"new\",\"ref\":\"" + id +
                         "\",\"f\":{\"class\":\"none\",\"left\":\"-5\"},\"d\":\"x\"}\n");
      break;
    case 3:
      bad->client->Write("{\"t\":\"new\",\"ref\":\"" + id + "\",\"f\":{\"cl");
      break;
    case 4:
      break;  // sends nothing
    default:
      bad->client->Write("{\"t\":\"new\",\"ref\":\"" + id + "\",\"f\":{\"class\":7,\"left\":1e999}}\n[]\n");
      break;
  }
  bad->timer->Start(kBadClientLifetime, [bad] {
    bad->closed = true;
    bad->client.reset();
  });
}

}  // namespace croftrun::lab::soak
