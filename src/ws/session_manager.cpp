#include "ws/session_manager.h"

#include <algorithm>
#include <utility>

namespace croftrun::ws {
namespace {

using nlohmann::json;

constexpr TimeUs kSweep = 500'000;
constexpr std::string_view kAnswers[] = {"stands", "refused", "failed"};

}  // namespace

SessionManager::SessionManager(const SessionManagerSettings& settings, core::Runtime* runtime, CallService* calls)
    : settings_(settings), runtime_(runtime), calls_(calls), sweep_(runtime) {
  sweep_.Start(kSweep, [this] { Sweep(); });
}

std::string SessionManager::NewName() {
  std::string name;
  for (int i = 0; i < 4; ++i) {
    std::uint64_t draw = runtime_->Random();
    for (int j = 0; j < 8; ++j, draw >>= 4U) name += "0123456789abcdef"[draw & 15U];
  }
  return name;
}

SessionManager::ConnectionId SessionManager::OnOpened(ConnectionOutput* sink, std::string address) {
  ++counters_.connections;
  const ConnectionId id = next_++;
  connections_[id] = {sink, std::move(address), nullptr, runtime_->Now(), false};
  return id;
}

void SessionManager::OnClosed(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  if (Held* held = found->second.held; held != nullptr && held->connection == id) {
    held->connection = 0;
    held->away_since = runtime_->Now();
  }
  connections_.erase(found);
}

void SessionManager::Send(ConnectionId id, std::string text) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.closing) return;
  // A slow reader must not cost memory without bound: what it is owed stays in its session, for when it
  // resumes.
  if (found->second.sink->Queued() + text.size() > settings_.most_queued) {
    ++counters_.slow_readers;
    return Close(id, 1013, "you read too slowly; resume the session");
  }
  found->second.sink->Send(std::move(text));
}

void SessionManager::Close(ConnectionId id, int code, std::string reason) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.closing) return;
  found->second.closing = true;
  if (Held* held = found->second.held; held != nullptr && held->connection == id) {
    held->connection = 0;
    held->away_since = runtime_->Now();
  }
  found->second.sink->Close(code, std::move(reason));
}

bool SessionManager::Expired(const Held& held) const {
  return held.identity.expires_s != 0 && runtime_->WallClockUs() / 1'000'000 >= held.identity.expires_s;
}

void SessionManager::OnText(ConnectionId id, std::string_view text) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.closing) return;
  ++counters_.commands;
  auto parsed = ParseCommand(text, settings_.api);
  if (const auto* error = std::get_if<ApiError>(&parsed)) {
    ++counters_.mistakes;
    Send(id, ErrorText(*error));
    // Without an identity, a mistake is all there is to know of it.
    if (found->second.held == nullptr) Close(id, 1008, "expected a hello");
    return;
  }
  const Command& command = std::get<Command>(parsed);
  if (command.what == Do::kHello) return Hello(id, command);
  Held* held = found->second.held;
  if (held == nullptr) {
    ++counters_.mistakes;
    Send(id, ErrorText({command.id, "hello-first", "expected a hello before anything else"}));
    return Close(id, 1008, "expected a hello");
  }
  if (const std::string* known = held->session.Known(command.id)) {
    // The same command again, after a lost reply: the same reply, and nothing is carried out.
    ++counters_.repeated;
    return Send(id, *known);
  }
  if (!held->session.Within(runtime_->Now())) {
    ++counters_.over_rate;
    return Send(id,
                ErrorText({command.id, "too-many-commands", "wait before the next one; this one was not carried out"}));
  }
  ApiError error{command.id, "", ""};
  json result = Carry(*held, command, &error);
  std::string reply = error.code.empty() ? ReplyText(command.id, std::move(result)) : ErrorText(error);
  held->session.Remember(command.id, reply);
  Send(id, std::move(reply));
  // The answer to a call that came at once follows the reply that names the call.
  if (early_call_ != 0) {
    const CallId call = std::exchange(early_call_, 0);
    for (auto& [event, figures] : std::exchange(early_, {})) Tell(call, event, std::move(figures));
  }
}

void SessionManager::Hello(ConnectionId id, const Command& command) {
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
  if (connection.held != nullptr) {
    // A fresh token for who is here already; it must be the same client.
    if (identity->client != connection.held->identity.client) {
      ++counters_.denied;
      Send(id, ErrorText({command.id, "denied", "this session is another client's"}));
      return;
    }
    connection.held->identity = *identity;
    return Send(id, ReplyText(command.id, {{"session", connection.held->name}}));
  }
  Held* held = nullptr;
  bool resumed = false;
  if (!command.session.empty()) {
    const auto known = sessions_.find(command.session);
    if (known == sessions_.end() || known->second->identity.client != identity->client) {
      Send(id, ErrorText({command.id, "no-session", "no such session; it may have ended while you were away"}));
      return;
    }
    held = known->second.get();
    // The old connection may not know yet that it is dead.
    if (held->connection != 0) Close(held->connection, 4001, "the session was resumed elsewhere");
    resumed = true;
    ++counters_.resumed;
  } else {
    if (sessions_.size() >= settings_.most_sessions) {
      Send(id, ErrorText({command.id, "full", "too many sessions; come back later"}));
      return Close(id, 1013, "too many sessions");
    }
    auto fresh = std::make_unique<Held>(Held{NewName(), {}, Session(settings_.session), 0, 0, false, false});
    held = fresh.get();
    sessions_[held->name] = std::move(fresh);
    ++counters_.sessions;
  }
  held->identity = *identity;
  held->connection = id;
  connection.held = held;
  Send(id, ReplyText(command.id, {{"session", held->name},
                                  {"resumed", resumed},
                                  {"seq", held->session.sequence()},
                                  {"resume_ms", settings_.resume_us / 1000}}));
  if (!resumed) return;
  for (std::string& event : held->session.Missed(command.have)) Send(id, std::move(event));
}

json SessionManager::Carry(Held& held, const Command& command, ApiError* error) {
  switch (command.what) {
    case Do::kPlace:
      return Place(held, command, error);
    case Do::kHangUp:
      if (!held.session.Holds(static_cast<CallId>(command.call))) {
        *error = {command.id, "no-call",
                  "/call: expected a call of this session that is up, found " + std::to_string(command.call)};
        return {};
      }
      held.session.Close(static_cast<CallId>(command.call));
      owners_.erase(static_cast<CallId>(command.call));
      calls_->HangUp(static_cast<CallId>(command.call));
      return {{"call", command.call}};
    case Do::kFollow:
      return {{"call", command.call}, {"up", held.session.Holds(static_cast<CallId>(command.call))}};
    case Do::kSubscribe:
      held.groups = command.groups;
      held.roster = command.roster;
      return json::object();
    case Do::kList: {
      if (command.list != "calls") return {{command.list, calls_->List(command.list)}};
      json list = json::array();
      for (const CallId call : held.session.calls()) list.push_back(call);
      return {{"calls", list}};
    }
    case Do::kAck:
      held.session.Confirm(command.have);
      return json::object();
    case Do::kHello:
      break;
  }
  return json::object();
}

json SessionManager::Place(Held& held, const Command& command, ApiError* error) {
  if (Expired(held)) {
    *error = {command.id, "token-expired", "say hello with a fresh token; calls that are up go on"};
    return {};
  }
  if (!held.session.MayPlace()) {
    *error = {command.id, "too-many-calls",
              "expected at most " + std::to_string(settings_.session.most_calls) + " calls at once"};
    return {};
  }
  core::CallRequest offer;
  offer.called = command.called;
  offer.calling = command.calling.empty() ? held.identity.client : command.calling;
  offer.caller_timeout_us = command.patience_us;
  bool refused = false;
  TimeUs pause_us = 0;
  if (!calls_->Classify(&offer, held.identity.customer, &refused, &pause_us)) {
    *error = refused ? ApiError{command.id, "refused-by-rule", "a rule of this exchange refuses the call"}
                     : ApiError{command.id, "unallocated", "/called: nobody has this number"};
    return {};
  }
  ++counters_.placed;
  placing_ = &held;
  early_.clear();
  const CallId call = calls_->Take(offer, this, held.identity.client);
  placing_ = nullptr;
  held.session.Open(call);
  owners_[call] = &held;
  // Answered from within: what was told goes out behind the reply that names the call.
  if (!early_.empty()) early_call_ = call;
  return {{"call", call}};
}

void SessionManager::Tell(CallId call, std::string_view event, json figures) {
  const auto owner = owners_.find(call);
  if (owner == owners_.end()) return;
  Held& held = *owner->second;
  const bool over = event == "ended" || (event == "final" && figures.at("answer") != "stands");
  figures["call"] = call;
  const std::string text = held.session.Tell(event, std::move(figures), held.connection != 0);
  if (over) {
    held.session.Close(call);
    owners_.erase(owner);
  }
  if (held.connection != 0) Send(held.connection, text);
}

void SessionManager::OnFinalAnswer(CallId call, const core::FinalAnswer& answer) {
  json figures = {{"answer", kAnswers[static_cast<std::size_t>(answer.kind)]},
                  {"cause", static_cast<int>(answer.cause)}};
  if (answer.retry_after_us > 0) figures["pause_ms"] = answer.retry_after_us / 1000;
  if (placing_ != nullptr && owners_.count(call) == 0) {
    early_.emplace_back("final", std::move(figures));
    return;
  }
  Tell(call, "final", std::move(figures));
}

void SessionManager::OnCallEnded(CallId call, core::ReleaseCause cause) {
  json figures = {{"cause", static_cast<int>(cause)}};
  if (placing_ != nullptr && owners_.count(call) == 0) {
    early_.emplace_back("ended", std::move(figures));
    return;
  }
  Tell(call, "ended", std::move(figures));
}

void SessionManager::TellAll(bool Held::*wanted, const char* what) {
  json list;
  for (auto& [name, held] : sessions_) {
    if (!((*held).*wanted) || held->connection == 0) continue;
    if (list.is_null()) list = calls_->List(what);
    // News that the next replaces: not numbered, not kept.
    Send(held->connection, EventText(0, what, {{what, list}}));
  }
}

void SessionManager::TellGroups() { TellAll(&Held::groups, "groups"); }
void SessionManager::TellRoster() { TellAll(&Held::roster, "roster"); }

void SessionManager::End(const std::string& name) {
  const auto found = sessions_.find(name);
  if (found == sessions_.end()) return;
  ++counters_.expired;
  const std::unique_ptr<Held> held = std::move(found->second);
  sessions_.erase(found);
  counters_.lost_events += held->session.kept();
  for (const CallId call : held->session.calls()) {
    owners_.erase(call);
    calls_->HangUp(call);
  }
}

void SessionManager::Sweep() {
  const TimeUs now = runtime_->Now();
  std::vector<std::string> over;
  for (const auto& [name, held] : sessions_) {
    const bool away = held->connection == 0 && now - held->away_since >= settings_.resume_us;
    if (away || held->session.Overrun()) over.push_back(name);
  }
  for (const std::string& name : over) {
    if (const ConnectionId connection = sessions_.at(name)->connection; connection != 0)
      Close(connection, 4002, "events were not confirmed");
    for (auto& [id, connection] : connections_) {
      if (connection.held == sessions_.at(name).get()) connection.held = nullptr;
    }
    End(name);
  }
  std::vector<ConnectionId> silent;
  for (const auto& [id, connection] : connections_) {
    if (connection.held == nullptr && !connection.closing && now - connection.opened >= settings_.hello_us)
      silent.push_back(id);
  }
  for (const ConnectionId id : silent) Close(id, 1008, "expected a hello");
  sweep_.Start(kSweep, [this] { Sweep(); });
}

}  // namespace croftrun::ws
