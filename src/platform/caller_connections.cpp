#include "platform/caller_connections.h"

#include <algorithm>
#include <charconv>
#include <tuple>
#include <utility>

#include "core/number_plan.h"
#include "platform/causes.h"

namespace croftrun::platform {
namespace {

// Time after which a connection without a set-up, release or heartbeat is closed, and one with an incomplete line.
constexpr TimeUs kFirstUseTimeout = 2'200'000;
constexpr TimeUs kCheckInterval = 200'000;
// Minimum time since the last use, or since an unused connection was accepted, before it may be closed to make room.
constexpr TimeUs kMinIdleTime = 200'000, kMinSilentTime = 100'000;
// A connection without any message for this long is taken for that of a caller who only listens, because a heartbeat
// is sent at once.
constexpr TimeUs kListenerThreshold = 500'000;
// During a shutdown, a connection stays open for this time after its last data, because a message on its way would
// cross the close.
constexpr TimeUs kQuietTimeBeforeClose = 50'000;
// Longest time for which set-ups wait while unread input follows them, and the most octets that are read meanwhile. A
// client that has left cannot have more of them in the socket buffers of both ends.
constexpr TimeUs kMaxReadAheadTime = 1'000'000;
constexpr std::size_t kMaxReadAheadOctets = 6 << 20;
// Limit of the data that is buffered for a caller who does not read.
constexpr std::size_t kMaxUnwrittenOctets = 256 << 10;
constexpr double kMaxCallerTimeoutMs = 600'000;
// Time for which an announcement of a call at an unlisted exchange waits. A client that names what does not exist is
// owed a rejection within three seconds.
constexpr TimeUs kUnlistedExchangeTimeout = 2'600'000;
constexpr std::size_t kMaxPendingAnnouncements = 1024;
// Limit of a called number, which is kept for as long as its call, and of an exchange's uid.
constexpr std::size_t kMaxNameOctets = 256;

int RefusalCause(core::ReleaseCause cause) {
  return cause == core::ReleaseCause::kNoCircuit ? kNoCircuit : kCongestion;
}

// Converts hex digits to their value, and any other text to a number that is the same for equal texts.
std::uint64_t KeyOf(const std::string& text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (error == std::errc() && end == text.data() + text.size()) return number;
  return core::NumberKey(text);
}

}  // namespace

class CallerConnections::Connection final : public core::StreamHandler {
 public:
  Connection(CallerConnections* owner, std::unique_ptr<core::Stream> s, TimeUs now, ConnectionNumber n)
      : stream(std::move(s)),
        number(n),
        host(stream->Remote().host),
        accepted_at(now),
        last_used_at(now),
        last_activity_at(now),
        owner_(owner) {}

  void OnBytes(std::string_view bytes) override {
    const bool had_partial_line = reader.has_partial_line();
    last_activity_at = owner_->runtime_->Now();
    // Handling a line never ends its own connection and starts no call, because a later line may release the call.
    if (!reader.Feed(bytes, [this](std::string_view line) { return owner_->HandleLine(this, line); })) {
      owner_->counters_.too_long += reader.too_long() ? 1 : 0;
      return owner_->EndConnection(this, ConnectionEnd::kClosedLocally);
    }
    // A line that began in earlier data and is still incomplete keeps its start time.
    const bool line_continues =
        had_partial_line && reader.has_partial_line() && bytes.find('\n') == std::string_view::npos;
    if (!line_continues) partial_since = owner_->runtime_->Now();
    if (belongs_to_caller) owner_->SendPendingReleases(this);
    if (!AwaitsMoreInput(bytes.size())) owner_->StartSetUps(this);
  }
  void OnEnd(core::StreamEnd end) override {
    owner_->EndConnection(this,
                          end == core::StreamEnd::kReset ? ConnectionEnd::kPeerReset : ConnectionEnd::kPeerClosed);
  }

  // Returns whether the new set-ups have to wait for input that is still unread: it may end with their release or with
  // the end of the connection.
  bool AwaitsMoreInput(std::size_t octets) {
    if (new_set_ups.empty()) return false;
    const TimeUs now = owner_->runtime_->Now();
    if (set_ups_waiting_since == 0) set_ups_waiting_since = now;
    octets_read_ahead += octets;
    const bool may_wait = now < set_ups_waiting_since + kMaxReadAheadTime && octets_read_ahead < kMaxReadAheadOctets;
    if (may_wait && stream->HasUnreadInput()) return true;
    set_ups_waiting_since = 0;
    octets_read_ahead = 0;
    return false;
  }

  void RecordUse() {
    was_used = true;
    last_used_at = owner_->runtime_->Now();
  }

  std::unique_ptr<core::Stream> stream;
  const ConnectionNumber number;
  const std::uint32_t host;
  const TimeUs accepted_at;
  TimeUs last_used_at;
  TimeUs last_activity_at;     // last data received or release written; a release is acknowledged at once
  bool received_line = false;  // a complete line was received, other than an acknowledgement
  TimeUs partial_since = 0;
  bool was_used = false;
  bool belongs_to_caller = false;    // it carried calls or the acknowledgement of a release
  std::size_t open_set_ups = 0;      // number of unanswered set-ups on it
  std::size_t established = 0;       // number of established calls that were set up on it
  std::unordered_set<CallId> calls;  // both kinds of calls
  std::vector<std::pair<CallId, core::CallRequest>> new_set_ups;  // set-ups not yet passed to the core
  TimeUs set_ups_waiting_since = 0;                               // 0: none of them waits for unread input
  std::size_t octets_read_ahead = 0;                              // since then
  LineReader reader;
  ConnectionList::iterator position;

 private:
  CallerConnections* owner_;
};

CallerConnections::CallerConnections(const CallerSettings& settings, core::Runtime* runtime, core::Logger* log,
                                     core::CallCore* core, ExchangeConnections* exchange_connections)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      core_(core),
      exchange_connections_(exchange_connections),
      announcements_(kMaxPendingAnnouncements),
      check_timer_(runtime) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i)
    classes_.emplace(settings_.classes[i], static_cast<int>(i));
}

CallerConnections::~CallerConnections() = default;

void CallerConnections::Listen() {
  listener_ = runtime_->Listen(settings_.listen, this);
  check_timer_.Start(kCheckInterval, [this] { RunPeriodicCheck(); });
}

bool CallerConnections::StopListening() { return listener_ == nullptr || listener_->StopAccepting(); }

bool CallerConnections::CanAccept() {
  if (connections_.size() < settings_.max_connections || EvictConnection()) return true;
  ++counters_.connections_waited;
  return false;
}

bool CallerConnections::HasLeft(CallId call) const {
  const auto found = calls_.find(call);
  return found != calls_.end() && found->second.connection != nullptr && found->second.connection->stream->PeerClosed();
}

core::StreamHandler* CallerConnections::OnAccept(std::unique_ptr<core::Stream> stream) {
  ++counters_.connections;
  last_accepted_at_ = runtime_->Now();
  connections_.push_back(std::make_unique<Connection>(this, std::move(stream), runtime_->Now(), ++last_number_));
  Connection* const connection = connections_.back().get();
  connection->position = std::prev(connections_.end());
  return connection;
}

void CallerConnections::SendPendingReleases(Connection* connection) {
  if (!releases_.HasWaiting(connection->host) || connection->stream->PeerClosed()) return;
  for (const PendingRelease& release : releases_.TakeWaiting(connection->host, connection->number, runtime_->Now())) {
    counters_.end_waited_longest = std::max(counters_.end_waited_longest, runtime_->Now() - release.call_ended_at);
    counters_.ends_told_again += release.tried_connections.size() > 1 ? 1 : 0;
    LogCall("end-told", 0, release.id, "to " + core::ToString(connection->stream->Remote()) + ", was waiting");
    connection->stream->Write(release.line);
    connection->last_activity_at = runtime_->Now();
  }
}

bool CallerConnections::HandleLine(Connection* connection, std::string_view line) {
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) return true;
  const auto message = ParseMessage(line);
  if (!message) {
    ++counters_.unreadable;
    return false;
  }
  connection->received_line = connection->received_line || message->type != MessageType::kAcknowledgement;
  const bool of_a_call = message->type == MessageType::kSetUp || message->type == MessageType::kRelease;
  if (of_a_call && message->id.empty()) {
    ++counters_.faulty;
    return false;
  }
  switch (message->type) {
    case MessageType::kSetUp:
      connection->RecordUse();
      return HandleSetUp(connection, *message);
    case MessageType::kRelease:
      HandleRelease(connection, *message);
      return true;
    case MessageType::kHeartbeat:
      connection->RecordUse();
      ++counters_.tests;
      Send(connection, {.type = MessageType::kHeartbeatResponse, .id = message->id, .cause = 1});
      return true;
    case MessageType::kAcknowledgement:
      HandleAcknowledgement(connection, message->id);
      return true;
    case MessageType::kWait:
    case MessageType::kHeartbeatResponse:
    case MessageType::kGroupReport:
      return true;
    case MessageType::kAnswer:
    case MessageType::kOther:
      ++counters_.faulty;
      return false;
  }
  return false;
}

bool CallerConnections::HandleSetUp(Connection* connection, const Message& message) {
  const std::string* const extras_text = message.Field("extras");
  const auto extras = ParseExtras(extras_text != nullptr ? *extras_text : std::string());
  if (const auto open = by_id_.find(message.id); open != by_id_.end()) {
    const bool is_announcement = extras && !extras->at.empty();
    return HandleRepeatedId(connection, message, open->second, is_announcement ? extras->at : std::string());
  }
  const auto request = extras ? ParseCallRequest(message, *extras) : std::nullopt;
  if (!request) {
    ++counters_.faulty;
    RejectSetUp(connection, message.id, kInvalidContents);
  } else if (!extras->at.empty()) {
    HandleAnnouncement(connection, message.id, *request, extras->at);
  } else if (exchange_connections_->WasAttempted(message.id)) {
    // Its client may have left, but the call may still be taking effect at the exchange.
    ++counters_.repeated_ids;
    RejectSetUp(connection, message.id, kInvalidContents);
  } else if (connection->open_set_ups >= settings_.max_set_ups_per_connection) {
    RejectSetUp(connection, message.id, kCongestion);
  } else {
    TakeSetUp(connection, message, *request);
  }
  return true;
}

bool CallerConnections::HandleRepeatedId(Connection* connection, const Message& message, CallId call,
                                         const std::string& at) {
  const OpenCall& open_call = calls_.at(call);
  if (!at.empty() && open_call.is_established) {
    HandleRepeatedAnnouncement(connection, call, at);
    return true;
  }
  ++counters_.repeated_ids;
  // On the same connection, the answers to the two set-ups could not be told apart, so it is closed. On another
  // connection only the new set-up is rejected.
  if (open_call.connection == connection) return false;
  RejectSetUp(connection, message.id, kInvalidContents);
  return true;
}

std::optional<core::CallRequest> CallerConnections::ParseCallRequest(const Message& message,
                                                                     const Extras& extras) const {
  const std::string* const class_name = message.Field("class");
  const std::string* const left = message.Field("left");
  const std::string* const key = message.Field("key");
  const auto found = class_name != nullptr ? classes_.find(*class_name) : classes_.end();
  const auto timeout_ms = left != nullptr ? ParseNumber(*left, 0.0, kMaxCallerTimeoutMs) : std::nullopt;
  const bool is_announcement = !extras.at.empty();
  if (found == classes_.end() || (!timeout_ms && !is_announcement) || !message.description) return std::nullopt;
  if ((key != nullptr && key->size() > kMaxNameOctets) || extras.at.size() > kMaxNameOctets) return std::nullopt;
  core::CallRequest request;
  request.calling = message.id;
  request.called = key != nullptr ? *key : std::string();
  request.key = key != nullptr ? KeyOf(*key) : 0;
  request.call_class = found->second;
  request.destination = extras.destination;
  request.width = static_cast<std::size_t>(extras.width);
  request.caller_timeout_us = static_cast<TimeUs>(timeout_ms.value_or(0.0) * 1000.0);
  request.advised_tandem = extras.via;
  request.in_transit = extras.transit;
  request.was_disconnected = extras.again;
  request.is_redial = message.Field("retry") != nullptr;
  if (!is_announcement) request.session = *message.description;
  return request;
}

void CallerConnections::TakeSetUp(Connection* connection, const Message& message, const core::CallRequest& request) {
  connection->belongs_to_caller = true;
  ++counters_.set_ups;
  const CallId call = core_->Reserve();
  LogCall("call-taken", call, message.id, "from " + core::ToString(connection->stream->Remote()));
  calls_.emplace(call, OpenCall{message.id, connection, connection->host, false});
  by_id_.emplace(message.id, call);
  connection->calls.insert(call);
  ++connection->open_set_ups;
  ++unanswered_;
  connection->new_set_ups.emplace_back(call, request);
}

void CallerConnections::LogCall(std::string_view event, CallId call, std::string_view id, std::string_view detail) {
  if (!log_->IsEnabled(core::LogLevel::kDebug)) return;
  log_->Write(core::LogLevel::kDebug, event, call, std::string(id).append(", ").append(detail));
}

void CallerConnections::StartSetUps(Connection* connection) {
  for (const auto& [call, request] : std::exchange(connection->new_set_ups, {})) {
    if (calls_.count(call) > 0) core_->AcceptCall(request, this, call);
  }
}

void CallerConnections::HandleAnnouncement(Connection* connection, const std::string& id,
                                           const core::CallRequest& request, const std::string& at) {
  if (releases_.OnAnnounced(connection->host, id, connection->number, runtime_->Now())) {
    ++counters_.announced_after_end;
    LogCall("call-announced-after-end", 0, id, "on " + core::ToString(connection->stream->Remote()));
    connection->belongs_to_caller = true;
    return;
  }
  const ExchangeId exchange = exchange_connections_->Find(at);
  if (exchange == 0 && exchange_connections_->IsUnknown(at) &&
      announcements_.Add({.id = id,
                          .at = at,
                          .request = request,
                          .host = connection->host,
                          .connection = connection->number,
                          .expires_at = runtime_->Now() + kUnlistedExchangeTimeout})) {
    ++counters_.announced_early;
    return;
  }
  if (!AdoptCall(connection, connection->host, id, request, exchange)) RejectSetUp(connection, id, kTemporaryFailure);
}

bool CallerConnections::AdoptCall(Connection* connection, std::uint32_t host, const std::string& id,
                                  const core::CallRequest& request, ExchangeId exchange) {
  const CallId call = exchange != 0 ? core_->AdoptCall(request, this, exchange) : 0;
  if (call == 0) return false;
  ++counters_.adopted;
  calls_.emplace(call, OpenCall{id, nullptr, host, true});
  by_id_.emplace(id, call);
  if (connection != nullptr) AttachEstablishedCall(connection, call);
  exchange_connections_->AdoptCall(call, id, exchange);
  return true;
}

void CallerConnections::HandlePendingAnnouncements() {
  const auto is_listed = [this](const std::string& uid) { return !exchange_connections_->IsUnknown(uid); };
  for (const PendingAnnouncement& pending : announcements_.TakeDue(runtime_->Now(), is_listed)) {
    if (by_id_.count(pending.id) > 0) continue;
    Connection* const connection = FindConnection(pending.connection);
    const ExchangeId exchange = exchange_connections_->Find(pending.at);
    if (AdoptCall(connection, pending.host, pending.id, pending.request, exchange)) continue;
    if (connection != nullptr && !connection->stream->PeerClosed()) {
      RejectSetUp(connection, pending.id, kTemporaryFailure);
      continue;
    }
    const Message message{.type = MessageType::kRelease, .id = pending.id, .cause = kTemporaryFailure};
    releases_.Enqueue(
        {.host = pending.host, .id = pending.id, .line = WriteMessage(message), .call_ended_at = runtime_->Now()});
  }
}

CallerConnections::Connection* CallerConnections::FindConnection(ConnectionNumber number) {
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [number](const auto& connection) { return connection->number == number; });
  return found == connections_.end() ? nullptr : found->get();
}

void CallerConnections::HandleRepeatedAnnouncement(Connection* connection, CallId call, const std::string& at) {
  const OpenCall& open_call = calls_.at(call);
  // A client on another host has to know where the call is established, because the release of the call follows it.
  if (connection->host != open_call.host && !exchange_connections_->IsEstablishedAt(call, at)) return;
  ++counters_.announced_again;
  LogCall("call-announced-again", call, open_call.id, "on " + core::ToString(connection->stream->Remote()));
  AttachEstablishedCall(connection, call);
}

void CallerConnections::AttachEstablishedCall(Connection* connection, CallId call) {
  OpenCall& open_call = calls_.at(call);
  if (open_call.connection != nullptr) {
    --open_call.connection->established;
    open_call.connection->calls.erase(call);
  }
  open_call.connection = connection;
  open_call.host = connection->host;
  connection->calls.insert(call);
  ++connection->established;
  connection->belongs_to_caller = true;
}

void CallerConnections::HandleRelease(Connection* connection, const Message& message) {
  announcements_.Remove(message.id);
  const auto open = by_id_.find(message.id);
  if (open != by_id_.end()) {
    const CallId call = open->second;
    const OpenCall& open_call = calls_.at(call);
    // A set-up can only be abandoned on its own connection.
    if (!open_call.is_established && open_call.connection != connection) return;
    ++(open_call.is_established ? counters_.released_by_caller : counters_.given_up);
    connection->RecordUse();
    connection->belongs_to_caller = true;
    const bool was_established = open_call.is_established;
    ForgetCall(call);
    core_->HangUp(call);
    if (!was_established) return;
  }
  Send(connection, {.type = MessageType::kAcknowledgement, .id = message.id});
}

void CallerConnections::HandleAcknowledgement(Connection* connection, const std::string& id) {
  ++counters_.acknowledged;
  if (!releases_.OnAcknowledged(connection->host, id, connection->number)) return;
  // The reader of a release is a caller, although it may send nothing else on this connection.
  connection->RecordUse();
  connection->belongs_to_caller = true;
}

void CallerConnections::OnFinalAnswer(CallId call, const core::FinalAnswer& answer) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  OpenCall& open_call = found->second;
  Connection* const connection = open_call.connection;
  Message message{.type = MessageType::kRelease, .id = open_call.id};
  if (answer.kind == core::FinalKind::kEstablished) {
    ++counters_.answers;
    open_call.is_established = true;
    --unanswered_;
    if (connection != nullptr) {
      --connection->open_set_ups;
      ++connection->established;
    }
    message.type = MessageType::kAnswer;
    message.description = std::string(answer.session);
  } else {
    const bool refused = answer.kind == core::FinalKind::kRefused;
    ++(refused ? counters_.refusals : counters_.failures);
    message.cause = refused ? RefusalCause(answer.cause) : kTemporaryFailure;
    if (answer.retry_after_us > 0) message.fields.emplace_back("wait", std::to_string(answer.retry_after_us / 1000));
    LogCall("call-answered", call, message.id, refused ? "refused" : "failed");
    ForgetCall(call);
  }
  if (connection != nullptr) Send(connection, message);
}

void CallerConnections::OnCallEnded(CallId call, core::ReleaseCause cause) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  ++counters_.ended;
  const OpenCall open_call = found->second;
  ForgetCall(call);
  const int release_cause = cause == core::ReleaseCause::kNormal ? kNormal : kTemporaryFailure;
  const Message message{.type = MessageType::kRelease, .id = open_call.id, .cause = release_cause};
  const TimeUs now = runtime_->Now();
  PendingRelease release{
      .host = open_call.host, .id = open_call.id, .line = WriteMessage(message), .call_ended_at = now};
  Connection* connection = open_call.connection != nullptr && !open_call.connection->stream->PeerClosed()
                               ? open_call.connection
                               : FindCallerConnection(open_call.host);
  if (connection == nullptr) {
    LogCall("end-waits", call, open_call.id, "caller has no connection");
    ++counters_.ends_without_connection;
    return releases_.Enqueue(std::move(release));
  }
  LogCall("end-told", call, open_call.id, "to " + core::ToString(connection->stream->Remote()));
  connection->stream->Write(release.line);
  connection->last_activity_at = now;
  releases_.OnWritten(std::move(release), connection->number,
                      connection == open_call.connection ? Recipient::kCaller : Recipient::kHost, now);
}

// Chooses the most recently used connection that belongs to a caller. Others may belong to the platform's
// front end, which only sends heartbeats, or to another client on the same host.
CallerConnections::Connection* CallerConnections::FindCallerConnection(std::uint32_t host) {
  Connection* best = nullptr;
  for (const auto& connection : connections_) {
    if (connection->host != host || !connection->belongs_to_caller || connection->stream->PeerClosed()) continue;
    if (best == nullptr || best->last_used_at <= connection->last_used_at) best = connection.get();
  }
  return best;
}

void CallerConnections::ForgetCall(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const OpenCall& open_call = found->second;
  if (!open_call.is_established) --unanswered_;
  if (open_call.connection != nullptr) {
    --(open_call.is_established ? open_call.connection->established : open_call.connection->open_set_ups);
    open_call.connection->calls.erase(call);
  }
  by_id_.erase(found->second.id);
  calls_.erase(found);
}

void CallerConnections::RejectSetUp(Connection* connection, const std::string& id, int cause) {
  Send(connection, {.type = MessageType::kRelease, .id = id, .cause = cause});
}

void CallerConnections::Send(Connection* connection, const Message& message) {
  connection->stream->Write(WriteMessage(message));
}

void CallerConnections::EndConnection(Connection* connection, ConnectionEnd end) {
  const bool is_closed_here = end == ConnectionEnd::kClosedLocally || end == ConnectionEnd::kClosedByShutdown;
  if (is_closed_here && connection->stream->PendingWriteOctets() > 0) end = ConnectionEnd::kClosedWithUnwrittenData;
  releases_.OnConnectionEnded(connection->number, end, runtime_->Now());
  const std::uint32_t host = connection->host;
  // The connection is removed from its calls first, so that the core's reactions do not use it any more.
  std::vector<CallId> given_up;
  for (const CallId call : connection->calls) {
    OpenCall& open_call = calls_.at(call);
    open_call.connection = nullptr;
    if (!open_call.is_established) given_up.push_back(call);
  }
  std::sort(given_up.begin(), given_up.end());
  connections_.erase(connection->position);
  // Releases that may be unread are sent on another connection of the caller, if there is one.
  if (Connection* const other = releases_.HasWaiting(host) ? FindCallerConnection(host) : nullptr)
    SendPendingReleases(other);
  for (const CallId call : given_up) {
    ++counters_.given_up;
    ForgetCall(call);
    core_->HangUp(call);
  }
}

// Closes the least useful connection: first one that was never used although it had time for that, then one without an
// established call, because the release of a call may find no other connection, then the one that has been idle for
// longest. Connections with an unanswered set-up or recent activity are kept, as a set-up may be on its way, and so are
// those on which an acknowledgement may be.
bool CallerConnections::EvictConnection() {
  const TimeUs now = runtime_->Now();
  const std::unordered_set<ConnectionNumber> awaiting = releases_.ConnectionsAwaitingAcknowledgement(now);
  Connection* candidate = nullptr;
  for (const auto& connection : connections_) {
    const TimeUs min_idle_time = connection->was_used ? kMinIdleTime : kMinSilentTime;
    if (connection->open_set_ups > 0 || now < connection->last_used_at + min_idle_time) continue;
    if (awaiting.count(connection->number) > 0) continue;
    const auto rank = [](const Connection& x) {
      return std::make_tuple(x.was_used, x.established > 0, x.last_used_at);
    };
    if ((candidate == nullptr || rank(*connection) < rank(*candidate)) && !connection->stream->HasUnreadInput())
      candidate = connection.get();
  }
  if (candidate == nullptr) return false;
  ++counters_.connections_evicted;
  LogCall("caller-connection-evicted", 0, core::ToString(candidate->stream->Remote()),
          "established calls on it " + std::to_string(candidate->established));
  EndConnection(candidate, ConnectionEnd::kClosedLocally);
  return true;
}

std::unordered_set<const CallerConnections::Connection*> CallerConnections::ConnectionsNeededForReleases() {
  std::unordered_set<std::uint32_t> hosts;
  for (const auto& [call, open_call] : calls_) {
    if (open_call.is_established && open_call.connection == nullptr) hosts.insert(open_call.host);
  }
  std::unordered_set<const Connection*> needed;
  for (const std::uint32_t host : hosts) needed.insert(FindCallerConnection(host));
  return needed;
}

void CallerConnections::CloseIdleConnections(bool include_established) {
  const TimeUs now = runtime_->Now();
  std::vector<Connection*> idle;
  const std::unordered_set<const Connection*> needed = ConnectionsNeededForReleases();
  const std::unordered_set<ConnectionNumber> awaiting = releases_.ConnectionsAwaitingAcknowledgement(now);
  for (const auto& connection : connections_) {
    const bool may_be_needed = needed.count(connection.get()) > 0 || awaiting.count(connection->number) > 0;
    if (!include_established && may_be_needed) continue;
    const bool awaits_first_message = !connection->received_line && now < connection->accepted_at + kMinSilentTime;
    if (awaits_first_message) continue;
    const bool nothing_open = connection->open_set_ups == 0 && connection->stream->PendingWriteOctets() == 0;
    if (!nothing_open || connection->reader.has_partial_line() || connection->stream->HasUnreadInput()) continue;
    const bool nothing_left =
        connection->established == 0 && now >= connection->last_activity_at + kQuietTimeBeforeClose;
    if (include_established || nothing_left) idle.push_back(connection.get());
  }
  const ConnectionEnd end = include_established ? ConnectionEnd::kClosedByShutdown : ConnectionEnd::kClosedLocally;
  for (Connection* const connection : idle) EndConnection(connection, end);
}

void CallerConnections::RunPeriodicCheck() {
  const TimeUs now = runtime_->Now();
  std::vector<Connection*> closed;
  const std::unordered_set<ConnectionNumber> awaiting = releases_.ConnectionsAwaitingAcknowledgement(now);
  for (const auto& connection : connections_) {
    const bool is_silent = !connection->was_used && now >= connection->accepted_at + kFirstUseTimeout;
    if (is_silent && awaiting.count(connection->number) == 0 && !connection->stream->HasUnreadInput()) {
      ++counters_.connections_silent;
      closed.push_back(connection.get());
    } else if ((connection->open_set_ups == 0 && connection->reader.has_partial_line() &&
                now >= connection->partial_since + kFirstUseTimeout) ||
               connection->stream->PendingWriteOctets() > kMaxUnwrittenOctets) {
      // A connection with an incomplete line is closed only after all its set-ups have been answered.
      ++counters_.connections_stuck;
      closed.push_back(connection.get());
    }
  }
  // Closing one of them does not close another: the core's reactions only write on connections.
  for (Connection* const connection : closed) EndConnection(connection, ConnectionEnd::kClosedLocally);
  HandlePendingAnnouncements();
  counters_.ends_dropped += releases_.Expire(now);
  for (const auto& connection : connections_) {
    const bool is_listening = !connection->received_line && !connection->reader.has_partial_line() &&
                              now >= connection->accepted_at + kListenerThreshold;
    if (connection->belongs_to_caller || is_listening) SendPendingReleases(connection.get());
  }
  check_timer_.Start(kCheckInterval, [this] { RunPeriodicCheck(); });
}

}  // namespace croftrun::platform
