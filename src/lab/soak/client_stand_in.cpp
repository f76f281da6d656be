#include "lab/soak/client_stand_in.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace croftrun::lab::soak {

using platform::Message;
using platform::MessageType;

namespace {

constexpr TimeUs kSweepEvery = 50'000;
// Between two set-ups of a connection that is kept busy through a shutdown.
constexpr TimeUs kBusyEvery = 15'000;
constexpr TimeUs kTestWithin = 400'000, kTestEvery = 100'000;
// A set-up that crosses the close of its connection within this time is sent once more.
constexpr TimeUs kCrossing = 50'000;
constexpr int kCauseNormal = 16;
// A bad client that was not served by then has told what there is to tell.
constexpr TimeUs kBadClientStays = 5'000'000;
constexpr std::size_t kBadClients = 6;

}  // namespace

struct ClientStandIn::Connection {
  std::uint32_t host = 0;
  std::unique_ptr<LineClient> client;
  std::set<std::string> calls;         // unanswered on it
  std::vector<std::string> unwritten;  // set-ups whose last octet has not left yet
  TimeUs last_call = 0;
  bool gone = false;
};

struct ClientStandIn::BadConnection {
  int number = 0;
  std::unique_ptr<LineClient> client;
  std::unique_ptr<core::Timer> timer;
  bool served = false, over = false;
};

ClientStandIn::ClientStandIn(boost::asio::io_context* context, core::Runtime* runtime, TrafficRecord* record,
                             std::uint64_t seed, const ClientTraits& traits, int softswitch, const core::Address& to,
                             std::uint32_t hosts_from, int destinations)
    : context_(context),
      runtime_(runtime),
      record_(record),
      random_(seed),
      traits_(traits),
      softswitch_(softswitch),
      to_(to),
      hosts_from_(hosts_from),
      destinations_(destinations),
      next_call_(runtime),
      sweep_(runtime),
      busy_timer_(runtime),
      test_timer_(runtime) {
  Sweep();
}

ClientStandIn::~ClientStandIn() = default;

void ClientStandIn::Note(EventKind kind, std::uint32_t host, const std::string& call, std::int64_t value,
                         const std::string& text) {
  record_->Note({.kind = kind, .softswitch = softswitch_, .host = host, .call = call, .value = value, .text = text});
}

std::string ClientStandIn::NewId() {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(random_()));
  return digits;
}

void ClientStandIn::Test(const std::function<void(bool)>& done) {
  const std::uint32_t host =
      hosts_from_ + (traits_.tests_from_same_host ? 0 : static_cast<std::uint32_t>(traits_.hosts));
  const auto finish = [this, done](bool passed) {
    test_timer_.Stop();
    runtime_->StartTimer(0, [this] { test_.reset(); });
    done(passed);
  };
  test_ = std::make_unique<LineClient>(context_, host, to_,
                                       LineClientHandlers{.on_open = nullptr,
                                                          .on_line =
                                                              [finish](std::string_view line) {
                                                                const auto message = platform::ParseMessage(line);
                                                                if (message && message->type == MessageType::kTested)
                                                                  return finish(true);
                                                                // The end of a call, told to the front: nobody hears it
                                                                // there.
                                                              },
                                                          .on_end = [finish](ConnectionEnd) { finish(false); }});
  test_->Write(platform::WriteMessage({.type = MessageType::kTest, .id = NewId(), .cause = 0}));
  test_timer_.Start(kTestWithin, [finish] { finish(false); });
}

void ClientStandIn::WaitForReady(const std::function<void()>& ready) {
  Test([this, ready](bool passed) {
    if (!passed) {
      runtime_->StartTimer(kTestEvery, [this, ready] { WaitForReady(ready); });
      return;
    }
    Note(EventKind::kReady, 0, "");
    ready();
  });
}

void ClientStandIn::StartCalls() {
  calling_ = true;
  NextCall();
}

void ClientStandIn::NextCall() {
  const double gap = std::exponential_distribution<double>(traits_.calls_per_s * crowd_)(random_);
  next_call_.Start(static_cast<TimeUs>(gap * 1e6), [this] {
    if (!calling_) return;
    PlaceCall(static_cast<int>(random_() % static_cast<std::uint64_t>(traits_.hosts)));
    NextCall();
  });
}

ClientStandIn::Connection* ClientStandIn::ConnectionFor(int host) {
  const std::uint32_t address = hosts_from_ + static_cast<std::uint32_t>(host);
  std::vector<Connection*> own;
  for (const auto& connection : connections_) {
    if (connection->host == address && !connection->gone) own.push_back(connection.get());
  }
  const auto most = static_cast<std::size_t>(static_cast<double>(traits_.most_connections) * std::max(1.0, crowd_));
  if (own.size() < most && (own.empty() || Unit() < 0.2)) return Connect(host);
  return own[random_() % own.size()];
}

ClientStandIn::Connection* ClientStandIn::Connect(int host) {
  connections_.push_back(std::make_unique<Connection>());
  Connection* const connection = connections_.back().get();
  connection->host = hosts_from_ + static_cast<std::uint32_t>(host);
  connection->last_call = runtime_->Now();
  connection->client = std::make_unique<LineClient>(
      context_, connection->host, to_,
      LineClientHandlers{
          .on_open = [this, connection] { Note(EventKind::kClientConnected, connection->host, ""); },
          .on_line = [this, connection](std::string_view line) { OnLine(connection, line); },
          .on_end = [this, connection](ConnectionEnd end) { OnEnd(connection, end); },
          .on_written =
              [this, connection] {
                for (const std::string& id : std::exchange(connection->unwritten, {})) {
                  const auto found = open_.find(id);
                  if (found == open_.end()) continue;
                  found->second.sent_at = runtime_->Now();
                  Note(EventKind::kSetUpSent, connection->host, id,
                       static_cast<std::int64_t>(traits_.waits[static_cast<std::size_t>(found->second.call_class)]));
                }
              }});
  return connection;
}

void ClientStandIn::PlaceCall(int host) { SendSetUp(ConnectionFor(host)); }

void ClientStandIn::SendSetUp(Connection* connection) {
  const std::string id = NewId();
  const auto call_class = static_cast<int>(random_() % traits_.classes.size());
  const TimeUs wait = traits_.waits[static_cast<std::size_t>(call_class)];
  int destination = softswitch_;
  while (destination == softswitch_)
    destination = static_cast<int>(random_() % static_cast<std::uint64_t>(destinations_));
  const std::string line =
      platform::WriteMessage({.type = MessageType::kSetUp,
                              .id = id,
                              .fields = {{"class", traits_.classes[static_cast<std::size_t>(call_class)]},
                                         {"left", std::to_string(wait / 1000)},
                                         {"key", NewId()},
                                         {"extras", "dest:" + std::to_string(destination) + ";width:1;via:-1"}},
                              .description = "offer of " + id});
  OpenCall& call = open_[id];
  call.connection = connection;
  call.call_class = call_class;
  call.line = line;
  call.cancel = std::make_unique<core::Timer>(runtime_);
  connection->calls.insert(id);
  connection->last_call = runtime_->Now();
  connection->unwritten.push_back(id);
  if (Unit() < traits_.in_pieces) {
    connection->client->WriteInPieces(line, 1'000 + random_() % 60'000);
  } else {
    connection->client->Write(line);
  }
  const double draw = Unit();
  const bool early = draw < traits_.cancels + traits_.leaves;
  const TimeUs after = early ? random_() % std::min<TimeUs>(wait, 300'000) : wait + 600'000;
  call.cancel->Start(after, [this, id, closes = early && draw < traits_.leaves] { Cancel(id, closes); });
}

void ClientStandIn::Cancel(const std::string& id, bool close_connection) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  Connection* const connection = found->second.connection;
  if (found->second.sent_at == 0 && !close_connection) {
    // It is not whole yet: nothing can be taken back before.
    return found->second.cancel->Start(20'000, [this, id] { Cancel(id, false); });
  }
  Note(EventKind::kSetUpCancelled, connection->host, id);
  if (!close_connection) {
    connection->client->Write(platform::WriteMessage({.type = MessageType::kRelease, .id = id, .cause = kCauseNormal}));
    connection->calls.erase(id);
    runtime_->StartTimer(0, [this, id] { open_.erase(id); });
    return;
  }
  for (const std::string& other : connection->calls) {
    if (other != id) Note(EventKind::kSetUpCancelled, connection->host, other);
    runtime_->StartTimer(0, [this, other] { open_.erase(other); });
  }
  connection->calls.clear();
  connection->gone = true;
  Note(EventKind::kClientClosed, connection->host, "");
  if (random_() % 3 == 0) {
    connection->client->Reset();
  } else {
    connection->client.reset();
  }
}

void ClientStandIn::OnLine(Connection* connection, std::string_view line) {
  const auto message = platform::ParseMessage(line);
  if (!message) return Note(EventKind::kUnreadable, connection->host, "", 0, std::string(line.substr(0, 80)));
  if (message->type == MessageType::kAnswer) {
    OnAnswer(*message, connection);
  } else if (message->type == MessageType::kRelease) {
    OnRelease(*message, connection);
  }
}

void ClientStandIn::OnAnswer(const Message& message, Connection* connection) {
  Note(EventKind::kAnswerRead, connection->host, message.id, 0, message.description.value_or(""));
  const auto found = open_.find(message.id);
  if (found == open_.end()) return;
  connection->calls.erase(message.id);
  runtime_->StartTimer(0, [this, id = message.id] { open_.erase(id); });
  found->second.cancel->Stop();
  StandingCall& call = standing_[message.id];
  call.host = connection->host;
  int instance = 0;
  std::sscanf(message.description.value_or("").c_str(), "exchange %d", &instance);
  call.uid = "s-" + std::to_string(instance);
  if (Unit() >= traits_.releases) return;
  call.release = std::make_unique<core::Timer>(runtime_);
  call.release->Start(200'000 + random_() % 4'000'000, [this, id = message.id] {
    const auto standing = standing_.find(id);
    if (standing == standing_.end()) return;
    for (const auto& other : connections_) {
      if (other->host != standing->second.host || other->gone || !other->client->open()) continue;
      Note(EventKind::kReleaseSent, other->host, id);
      other->client->Write(platform::WriteMessage({.type = MessageType::kRelease, .id = id, .cause = kCauseNormal}));
      runtime_->StartTimer(0, [this, id] { standing_.erase(id); });
      return;
    }
  });
}

void ClientStandIn::OnRelease(const Message& message, Connection* connection) {
  // One that cannot be acknowledged now may be told again, should the connection end before.
  const bool silenced = connection->client->in_pieces();
  Note(EventKind::kReleaseRead, connection->host, message.id, message.cause.value_or(-1),
       silenced ? "not acknowledged" : "");
  // Every release is acknowledged, as clients of the platform do it.
  connection->client->Write(platform::WriteMessage({.type = MessageType::kHeard, .id = message.id}));
  if (const auto standing = standing_.find(message.id); standing != standing_.end()) {
    standing_.erase(standing);
    return;
  }
  const auto found = open_.find(message.id);
  if (found == open_.end()) return;
  connection->calls.erase(message.id);
  open_.erase(found);
  if (!calling_ || Unit() >= traits_.redials) return;
  const auto host = static_cast<int>(connection->host - hosts_from_);
  runtime_->StartTimer(50'000 + random_() % 600'000, [this, host] {
    if (calling_) PlaceCall(host);
  });
}

void ClientStandIn::OnEnd(Connection* connection, ConnectionEnd end) {
  constexpr const char* kNames[] = {"refused", "closed", "reset"};
  for (const std::string& id : connection->calls) {
    const auto found = open_.find(id);
    if (found == open_.end()) continue;
    if (end == ConnectionEnd::kRefused) {
      // Nobody is there: the set-up was not taken.
      if (found->second.sent_at != 0) Note(EventKind::kSetUpCancelled, connection->host, id);
      open_.erase(found);
      continue;
    }
    if (Resend(id, &found->second, connection->host)) continue;
    if (found->second.sent_at != 0)
      Note(EventKind::kClosedOnSetUp, connection->host, id, 0, kNames[static_cast<int>(end)]);
    open_.erase(found);
  }
  connection->calls.clear();
  connection->gone = true;
  if (end != ConnectionEnd::kRefused) Note(EventKind::kClientClosed, connection->host, "");
}

bool ClientStandIn::Resend(const std::string& id, OpenCall* call, std::uint32_t host) {
  const bool crossed = call->sent_at != 0 && runtime_->Now() <= call->sent_at + kCrossing;
  if (!crossed || call->resent) return false;
  call->resent = true;
  Connection* const fresh = Connect(static_cast<int>(host - hosts_from_));
  fresh->calls.insert(id);
  call->connection = fresh;
  fresh->client->Write(call->line);
  return true;
}

void ClientStandIn::Sweep() {
  sweep_.Start(kSweepEvery, [this] {
    const TimeUs now = runtime_->Now();
    for (const auto& connection : connections_) {
      if (connection->gone || !connection->calls.empty() || !connection->client->open()) continue;
      if (now < connection->last_call + traits_.closes_idle_after) continue;
      Note(EventKind::kClientClosed, connection->host, "");
      connection->gone = true;
      connection->client.reset();
    }
    std::erase_if(connections_, [](const auto& connection) { return connection->gone; });
    std::erase_if(bad_, [](const auto& bad) { return bad->over; });
    Sweep();
  });
}

void ClientStandIn::KeepBusy(bool busy) {
  busy_ = busy;
  if (busy) {
    Busy();
  } else {
    busy_timer_.Stop();
  }
}

void ClientStandIn::Busy() {
  busy_timer_.Start(kBusyEvery, [this] {
    std::vector<Connection*> open;
    for (const auto& connection : connections_) {
      if (!connection->gone && connection->client->open()) open.push_back(connection.get());
    }
    if (!open.empty()) SendSetUp(open[random_() % open.size()]);
    Busy();
  });
}

void ClientStandIn::OnProcessGone() {
  for (auto& [id, call] : open_) call.cancel->Stop();
  open_.clear();
  for (const auto& connection : connections_) {
    connection->calls.clear();
    connection->gone = true;
  }
}

void ClientStandIn::AnnounceStanding() {
  for (const auto& [id, call] : standing_) {
    Connection* const connection = ConnectionFor(static_cast<int>(call.host - hosts_from_));
    Note(EventKind::kCallAnnounced, call.host, id);
    connection->client->Write(platform::WriteMessage(
        {.type = MessageType::kSetUp,
         .id = id,
         .fields = {{"class", traits_.classes[0]}, {"extras", "dest:0;width:1;via:-1;at:" + call.uid}},
         .description = "again " + id}));
  }
}

void ClientStandIn::BadClient(int kind) {
  bad_.push_back(std::make_unique<BadConnection>());
  BadConnection* const bad = bad_.back().get();
  bad->number = next_bad_++;
  bad->timer = std::make_unique<core::Timer>(runtime_);
  const auto served = [this, bad] {
    if (!std::exchange(bad->served, true)) Note(EventKind::kBadClientServed, 0, "", bad->number);
  };
  bad->client = std::make_unique<LineClient>(
      context_, hosts_from_ + 40, to_,
      LineClientHandlers{.on_open = [this, bad] { Note(EventKind::kBadClientCame, 0, "", bad->number); },
                         .on_line = [served](std::string_view) { served(); },
                         .on_end =
                             [served, bad](ConnectionEnd end) {
                               if (end != ConnectionEnd::kRefused) served();
                               bad->over = true;
                             }});
  const std::string id = NewId();
  switch (static_cast<std::size_t>(kind) % kBadClients) {
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
      break;  // says nothing
    default:
      bad->client->Write("{\"t\":\"new\",\"ref\":\"" + id + "\",\"f\":{\"class\":7,\"left\":1e999}}\n[]\n");
      break;
  }
  bad->timer->Start(kBadClientStays, [bad] {
    bad->over = true;
    bad->client.reset();
  });
}

}  // namespace croftrun::lab::soak
