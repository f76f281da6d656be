#include "ws/session_manager.h"

#include <algorithm>
#include <utility>

namespace croftrun::ws {
namespace {

using nlohmann::json;

constexpr TimeUs kCleanupIntervalUs = 500'000;
constexpr std::string_view kAnswerNames[] = {"stands", "refused", "failed"};

}  // namespace

SessionManager::SessionManager(const SessionManagerSettings& settings, core::Runtime* runtime, CallService* calls)
    : settings_(settings), runtime_(runtime), calls_(calls), cleanup_timer_(runtime) {
  cleanup_timer_.Start(kCleanupIntervalUs, [this] { CloseExpired(); });
}

std::string SessionManager::NewSessionId() {
  std::string session_id;
  for (int i = 0; i < 4; ++i) {
    std::uint64_t bits = runtime_->Random();
    for (int j = 0; j < 8; ++j, bits >>= 4U) session_id += "0123456789abcdef"[bits & 15U];
  }
  return session_id;
}

SessionManager::ConnectionId SessionManager::OnOpened(ConnectionOutput* output, std::string address) {
  ++counters_.connections;
  const ConnectionId id = next_connection_id_++;
  connections_[id] = {output, std::move(address), nullptr, runtime_->Now(), false};
  return id;
}

void SessionManager::OnClosed(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  if (ClientSession* session = found->second.session; session != nullptr && session->connection == id) {
    session->connection = 0;
    session->away_since = runtime_->Now();
  }
  connections_.erase(found);
}

void SessionManager::Send(ConnectionId id, std::string text) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.closing) return;
  // The memory for a slow consumer is bounded. Its unacknowledged events stay in the session until it resumes.
  if (found->second.output->QueuedOctets() + text.size() > settings_.max_queued_octets) {
    ++counters_.slow_consumers;
    return Close(id, 1013, "you read too slowly; resume the session");
  }
  found->second.output->Send(std::move(text));
}

void SessionManager::Close(ConnectionId id, int code, std::string reason) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.closing) return;
  found->second.closing = true;
  if (ClientSession* session = found->second.session; session != nullptr && session->connection == id) {
    session->connection = 0;
    session->away_since = runtime_->Now();
  }
  found->second.output->Close(code, std::move(reason));
}

bool SessionManager::IsTokenExpired(const ClientSession& session) const {
  return session.identity.expires_s != 0 && runtime_->WallClockUs() / 1'000'000 >= session.identity.expires_s;
}

void SessionManager::OnText(ConnectionId id, std::string_view text) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.closing) return;
  ++counters_.commands;
  auto parsed = ParseCommand(text, settings_.api);
  if (const auto* error = std::get_if<ApiError>(&parsed)) {
    ++counters_.invalid_commands;
    Send(id, ErrorText(*error));
    // A client that has not authenticated is not allowed invalid commands.
    if (found->second.session == nullptr) Close(id, 1008, "expected a hello");
    return;
  }
  const Command& command = std::get<Command>(parsed);
  if (command.type == CommandType::kHello) return HandleHello(id, command);
  ClientSession* session = found->second.session;
  if (session == nullptr) {
    ++counters_.invalid_commands;
    Send(id, ErrorText({command.id, "hello-first", "expected a hello before anything else"}));
    return Close(id, 1008, "expected a hello");
  }
  if (const std::string* reply = session->state.FindReply(command.id)) {
    // The client repeats a command whose reply was lost: it gets the same reply, and nothing is executed.
    ++counters_.repeated;
    return Send(id, *reply);
  }
  if (!session->state.TryConsumeCommand(runtime_->Now())) {
    ++counters_.rate_limited;
    return Send(id,
                ErrorText({command.id, "too-many-commands", "wait before the next one; this one was not carried out"}));
  }
  ApiError error{command.id, "", ""};
  json result = Execute(*session, command, &error);
  std::string reply = error.code.empty() ? ReplyText(command.id, std::move(result)) : ErrorText(error);
  session->state.StoreReply(command.id, reply);
  Send(id, std::move(reply));
  // Events of a call that was answered while it was being placed follow the reply that names the call.
  if (early_call_ != 0) {
    const CallId call = std::exchange(early_call_, 0);
    for (auto& [event, fields] : std::exchange(early_events_, {})) SendEvent(call, event, std::move(fields));
  }
}

void SessionManager::HandleHello(ConnectionId id, const Command& command) {
  ++counters_.hellos;
  Connection& connection = connections_.at(id);
  std::optional<Identity> identity = Identity{connection.address, "", 0};
  if (!settings_.token_keys.empty()) identity = ReadToken(command.token, settings_.token_keys);
  if (!identity || (identity->expires_s != 0 && runtime_->WallClockUs() / 1'000'000 >= identity->expires_s)) {
    ++counters_.denied;
    Send(id, ErrorText({command.id, "denied",
                        identity ? "the token has expired" : "expected a token signed with a key in force"}));
    return Close(id, 1008, "denied");
  }
  if (connection.session != nullptr) {
    // A session that is already attached renews its token; the client must be the same.
    if (identity->client != connection.session->identity.client) {
      ++counters_.denied;
      Send(id, ErrorText({command.id, "denied", "this session is another client's"}));
      return;
    }
    connection.session->identity = *identity;
    return Send(id, ReplyText(command.id, {{"session", connection.session->id}}));
  }
  ClientSession* session = nullptr;
  bool resumed = false;
  if (!command.session.empty()) {
    const auto existing = sessions_.find(command.session);
    if (existing == sessions_.end() || existing->second->identity.client != identity->client) {
      Send(id, ErrorText({command.id, "no-session", "no such session; it may have ended while you were away"}));
      return;
    }
    session = existing->second.get();
    // The loss of the old connection may not have been detected yet.
    if (session->connection != 0) Close(session->connection, 4001, "the session was resumed elsewhere");
    resumed = true;
    ++counters_.resumed;
  } else {
    if (sessions_.size() >= settings_.max_sessions) {
      Send(id, ErrorText({command.id, "full", "too many sessions; come back later"}));
      return Close(id, 1013, "too many sessions");
    }
    auto created = std::make_unique<ClientSession>(
        ClientSession{NewSessionId(), {}, Session(settings_.session), 0, 0, false, false});
    session = created.get();
    sessions_[session->id] = std::move(created);
    ++counters_.sessions;
  }
  session->identity = *identity;
  session->connection = id;
  connection.session = session;
  Send(id, ReplyText(command.id, {{"session", session->id},
                                  {"resumed", resumed},
                                  {"seq", session->state.sequence()},
                                  {"resume_ms", settings_.resume_timeout_us / 1000}}));
  if (!resumed) return;
  for (std::string& event : session->state.EventsAfter(command.last_received)) Send(id, std::move(event));
}

json SessionManager::Execute(ClientSession& session, const Command& command, ApiError* error) {
  switch (command.type) {
    case CommandType::kPlace:
      return PlaceCall(session, command, error);
    case CommandType::kHangUp:
      if (!session.state.HasCall(static_cast<CallId>(command.call))) {
        *error = {command.id, "no-call",
                  "/call: expected a call of this session that is up, found " + std::to_string(command.call)};
        return {};
      }
      session.state.RemoveCall(static_cast<CallId>(command.call));
      session_of_call_.erase(static_cast<CallId>(command.call));
      calls_->HangUp(static_cast<CallId>(command.call));
      return {{"call", command.call}};
    case CommandType::kFollow:
      return {{"call", command.call}, {"up", session.state.HasCall(static_cast<CallId>(command.call))}};
    case CommandType::kSubscribe:
      session.groups = command.groups;
      session.roster = command.roster;
      return json::object();
    case CommandType::kList: {
      if (command.list != "calls") return {{command.list, calls_->List(command.list)}};
      json list = json::array();
      for (const CallId call : session.state.calls()) list.push_back(call);
      return {{"calls", list}};
    }
    case CommandType::kAck:
      session.state.Acknowledge(command.last_received);
      return json::object();
    case CommandType::kHello:
      break;
  }
  return json::object();
}

json SessionManager::PlaceCall(ClientSession& session, const Command& command, ApiError* error) {
  if (IsTokenExpired(session)) {
    *error = {command.id, "token-expired", "say hello with a fresh token; calls that are up go on"};
    return {};
  }
  if (!session.state.CanPlaceCall()) {
    *error = {command.id, "too-many-calls",
              "expected at most " + std::to_string(settings_.session.max_calls) + " calls at once"};
    return {};
  }
  core::CallRequest request;
  request.called = command.called;
  request.calling = command.calling.empty() ? session.identity.client : command.calling;
  request.caller_timeout_us = command.caller_timeout_us;
  bool refused = false;
  TimeUs retry_after_us = 0;
  if (!calls_->Classify(&request, session.identity.customer, &refused, &retry_after_us)) {
    *error = refused ? ApiError{command.id, "refused-by-rule", "a rule of this exchange refuses the call"}
                     : ApiError{command.id, "unallocated", "/called: nobody has this number"};
    return {};
  }
  ++counters_.placed;
  placing_session_ = &session;
  early_events_.clear();
  const CallId call = calls_->AcceptCall(request, this, session.identity.client);
  placing_session_ = nullptr;
  session.state.AddCall(call);
  session_of_call_[call] = &session;
  // The call was answered before its id was known: OnText sends the events after the reply that names the call.
  if (!early_events_.empty()) early_call_ = call;
  return {{"call", call}};
}

void SessionManager::SendEvent(CallId call, std::string_view event, json fields) {
  const auto owner = session_of_call_.find(call);
  if (owner == session_of_call_.end()) return;
  ClientSession& session = *owner->second;
  const bool ended = event == "ended" || (event == "final" && fields.at("answer") != "stands");
  fields["call"] = call;
  const std::string text = session.state.AddEvent(event, std::move(fields), session.connection != 0);
  if (ended) {
    session.state.RemoveCall(call);
    session_of_call_.erase(owner);
  }
  if (session.connection != 0) Send(session.connection, text);
}

void SessionManager::OnFinalAnswer(CallId call, const core::FinalAnswer& answer) {
  json fields = {{"answer", kAnswerNames[static_cast<std::size_t>(answer.kind)]},
                 {"cause", static_cast<int>(answer.cause)}};
  if (answer.retry_after_us > 0) fields["pause_ms"] = answer.retry_after_us / 1000;
  if (placing_session_ != nullptr && session_of_call_.count(call) == 0) {
    early_events_.emplace_back("final", std::move(fields));
    return;
  }
  SendEvent(call, "final", std::move(fields));
}

void SessionManager::OnCallEnded(CallId call, core::ReleaseCause cause) {
  json fields = {{"cause", static_cast<int>(cause)}};
  if (placing_session_ != nullptr && session_of_call_.count(call) == 0) {
    early_events_.emplace_back("ended", std::move(fields));
    return;
  }
  SendEvent(call, "ended", std::move(fields));
}

void SessionManager::PublishToSubscribers(bool ClientSession::*subscribed, const char* what) {
  json list;
  for (auto& [id, session] : sessions_) {
    if (!((*session).*subscribed) || session->connection == 0) continue;
    if (list.is_null()) list = calls_->List(what);
    // The next list replaces this one, so the event is neither numbered nor stored.
    Send(session->connection, EventText(0, what, {{what, list}}));
  }
}

void SessionManager::PublishGroups() { PublishToSubscribers(&ClientSession::groups, "groups"); }
void SessionManager::PublishRoster() { PublishToSubscribers(&ClientSession::roster, "roster"); }

void SessionManager::EndSession(const std::string& id) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  ++counters_.expired;
  const std::unique_ptr<ClientSession> session = std::move(found->second);
  sessions_.erase(found);
  counters_.lost_events += session->state.unacknowledged();
  for (const CallId call : session->state.calls()) {
    session_of_call_.erase(call);
    calls_->HangUp(call);
  }
}

void SessionManager::CloseExpired() {
  const TimeUs now = runtime_->Now();
  std::vector<std::string> ended;
  for (const auto& [id, session] : sessions_) {
    const bool away = session->connection == 0 && now - session->away_since >= settings_.resume_timeout_us;
    if (away || session->state.HasOverflowed()) ended.push_back(id);
  }
  for (const std::string& id : ended) {
    if (const ConnectionId connection = sessions_.at(id)->connection; connection != 0)
      Close(connection, 4002, "events were not confirmed");
    for (auto& [connection_id, other] : connections_) {
      if (other.session == sessions_.at(id).get()) other.session = nullptr;
    }
    EndSession(id);
  }
  std::vector<ConnectionId> without_hello;
  for (const auto& [id, connection] : connections_) {
    if (connection.session == nullptr && !connection.closing &&
        now - connection.opened_at >= settings_.hello_timeout_us)
      without_hello.push_back(id);
  }
  for (const ConnectionId id : without_hello) Close(id, 1008, "expected a hello");
  cleanup_timer_.Start(kCleanupIntervalUs, [this] { CloseExpired(); });
}

}  // namespace croftrun::ws
