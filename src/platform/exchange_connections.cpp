#include "platform/exchange_connections.h"

#include <algorithm>
#include <cstdio>
#include <tuple>
#include <utility>

#include "platform/attempt_results.h"
#include "platform/causes.h"
#include "platform/exchange_connections_state.h"

namespace croftrun::platform {
namespace {

// Delays between attempts to connect to an exchange.
constexpr TimeUs kMinReconnectDelay = 20'000, kMaxReconnectDelay = 1'000'000;
// Number of set-ups that are remembered, to recognize an id that is used again. It covers the release time and the
// deadlines of callers at any rate that exchanges accept.
constexpr std::size_t kMaxAttemptedSetUps = 4096;
// Number of given-up set-ups that are remembered, to release the call if a late answer arrives.
constexpr std::size_t kMaxGivenUpSetUps = 2048;
// Number of removed exchanges that are remembered, to recognize late notifications about them.
constexpr std::size_t kMaxForgottenExchanges = 1024;
// Number of releases per exchange that are queued for the next connection.
constexpr std::size_t kMaxQueuedReleases = 1024;
// Number of releases of unknown calls that are remembered: a caller may still announce the call.
constexpr std::size_t kMaxEarlyReleases = 2048;
// Connections beyond the limit that may be opened for a sign of life: without one, established calls would be given up.
constexpr std::size_t kLivenessReserve = 8;
// Delay from the announcement of a call to the check against the last report of its exchange. Other calls are announced
// at the same time.
constexpr TimeUs kAnnouncementWindow = 500'000;
// An exchange is known to be alive if data arrived on one of its connections within this time. After a new connection
// to such an exchange has failed, no further one is opened for as long while others can be used.
constexpr TimeUs kRecentDataTime = 1'000'000;
// Number of idle connections to one exchange that are kept when another one has been opened for a sign of life.
constexpr std::size_t kKeptIdleConnections = 2;

// Returns the line of a set-up that is written at `now`, which states the time that is left; empty if it is too long.
std::string LineOf(const UnsentSetUp& set_up, TimeUs now) {
  const TimeUs left = set_up.answer_due - std::min(set_up.answer_due, now);
  Message message = set_up.message;
  message.fields.emplace_back("left", std::to_string(left / 1000));
  return WriteMessage(message);
}

}  // namespace

ExchangeConnections::ExchangeConnections(const ExchangeSettings& settings, core::Runtime* runtime, core::Logger* log,
                                         core::CallCore* core)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      core_(core),
      report_reader_(settings.report_fields, settings.own_circuits),
      attempted_(kMaxAttemptedSetUps),
      given_up_(kMaxGivenUpSetUps),
      forgotten_exchanges_(kMaxForgottenExchanges),
      early_releases_(kMaxEarlyReleases),
      liveness_timer_(runtime) {
  StartLivenessTimer();
}

ExchangeConnections::~ExchangeConnections() = default;

std::string_view ExchangeConnections::NameOf(DisconnectReason reason) {
  constexpr std::string_view kNames[] = {"closed", "reset", "refused", "timed out", "malformed", "closed locally"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::size_t ExchangeConnections::unreachable_exchanges() const {
  return static_cast<std::size_t>(std::count_if(exchanges_.begin(), exchanges_.end(), [](const auto& item) {
    return !item.second->is_retired && NewestOpenConnection(*item.second) == nullptr;
  }));
}

std::size_t ExchangeConnections::calls_at_unreachable_exchanges() const {
  std::size_t calls = 0;
  for (const auto& [id, exchange] : exchanges_) {
    if (NewestOpenConnection(*exchange) == nullptr) calls += exchange->established.size();
  }
  return calls;
}

TimeUs ExchangeConnections::longest_silence() const {
  TimeUs longest = 0;
  for (const auto& [id, exchange] : exchanges_) {
    if (!exchange->established.empty()) longest = std::max(longest, runtime_->Now() - exchange->last_sign_at);
  }
  return longest;
}

void ExchangeConnections::LogConnection(core::LogLevel level, std::string_view event, const Connection& connection,
                                        std::string_view detail) {
  if (!log_->IsEnabled(level)) return;
  const Target& target = connection.exchange->target;
  std::string text =
      target.uid + " " + core::ToString(target.address) + " connection " + std::to_string(connection.number);
  if (!detail.empty()) text.append(", ").append(detail);
  log_->Write(level, event, 0, text);
}

void ExchangeConnections::LogCall(std::string_view event, const CallLeg& leg, std::string_view detail) {
  if (!log_->IsEnabled(core::LogLevel::kDebug)) return;
  std::string text = leg.id + " attempt " + std::to_string(leg.attempt) + " at " + leg.exchange->target.uid;
  if (leg.connection != nullptr) text += " connection " + std::to_string(leg.connection->number);
  if (!detail.empty()) text.append(", ").append(detail);
  log_->Write(core::LogLevel::kDebug, event, leg.call, text);
}

void ExchangeConnections::TerminateCallsBefore(Exchange* exchange, TimeUs before, std::string_view why,
                                               RemoteState remote_state) {
  std::vector<std::string> ids;
  for (const std::string& id : exchange->established) {
    if (call_legs_.at(id).established_at < before) ids.push_back(id);
  }
  TerminateCalls(exchange, std::move(ids), why, remote_state);
}

void ExchangeConnections::TerminateCalls(Exchange* exchange, std::vector<std::string> ids, std::string_view why,
                                         RemoteState remote_state, Exchange* release_at) {
  std::sort(ids.begin(), ids.end());
  if (!ids.empty()) {
    ++counters_.lost_exchanges;
    log_->Write(core::LogLevel::kInfo, "exchange-lost", 0,
                exchange->target.uid + " " + std::string(why) + ", calls terminated: " + std::to_string(ids.size()) +
                    ", no sign of life for " + std::to_string((runtime_->Now() - exchange->last_sign_at) / 1000) +
                    " ms");
  }
  for (const std::string& id : ids) {
    const auto found = call_legs_.find(id);
    if (found == call_legs_.end()) continue;
    LogCall("call-cut", found->second, why);
    const CallLeg leg = RemoveCallLeg(found);
    ++counters_.cut_with_exchange;
    if (remote_state == RemoteState::kCallsMayExist)
      SendRelease(release_at != nullptr ? release_at : exchange, leg.connection, id, leg.carrier);
    core_->OnTrunkReleased(leg.call, leg.attempt, {core::ReleaseCause::kTemporaryFailure});
  }
}

void ExchangeConnections::SetDecisionDeadline(TimeUs at) {
  decision_deadline_ = at;
  for (const auto& [id, exchange] : exchanges_) exchange->detector.SetDecisionDeadline(at);
  for (auto& [id, leg] : call_legs_) leg.claim.LimitDeadline(at);
}

void ExchangeConnections::StartLivenessTimer() {
  liveness_timer_.Start(policy::kLivenessCheckInterval, [this] {
    for (const auto& [id, exchange] : exchanges_) {
      CheckClaims(exchange.get());
      if (exchange->is_retired) {
        CheckRetiredExchange(exchange.get());
        continue;
      }
      if (exchange->established.empty()) continue;
      policy::FailureDetector& detector = exchange->detector;
      const bool was_suspected = exchange->IsSuspected();
      if (detector.HasPendingDenial() && exchange->circuits_used.value_or(0) >= exchange->established.size())
        detector.OnAllCallsAccountedFor(runtime_->Now());
      const bool holder_open =
          std::any_of(exchange->connections.begin(), exchange->connections.end(), [&](const auto& connection) {
            return connection->is_open && detector.IsHolderConnection(connection->opened_at);
          });
      const policy::LivenessAction action = detector.NextAction(runtime_->Now(), settings_.may_probe, holder_open);
      LogSuspicionChange(*exchange, was_suspected);
      if (detector.IsUnreachable(runtime_->Now())) core_->OnUnreachable(id);
      ExecuteLivenessAction(exchange.get(), action);
    }
    StartLivenessTimer();
  });
}

void ExchangeConnections::ExecuteLivenessAction(Exchange* exchange, policy::LivenessAction action) {
  const TimeUs now = runtime_->Now();
  switch (action) {
    case policy::LivenessAction::kNone:
      return;
    case policy::LivenessAction::kConnect:
      ++counters_.liveness_connects;
      OpenConnection(exchange, Purpose::kSignOfLife);
      return;
    case policy::LivenessAction::kProbeHolder:
      return SendLivenessProbe(LeastRecentlyProbed(*exchange));
    case policy::LivenessAction::kProbeNewest:
      return SendLivenessProbe(NewestOpenConnection(*exchange));
    case policy::LivenessAction::kGiveUpSilent:
      ++counters_.given_up_silent;
      TerminateCallsBefore(exchange, now + 1, "gives no sign of life", RemoteState::kCallsMayExist);
      return exchange->detector.OnCallsGivenUp();
    case policy::LivenessAction::kGiveUpReplaced:
      return exchange->detector.HasPendingDenial()
                 ? GiveUpSuspectedCalls(exchange, "its circuits are free, so it does not know the calls",
                                        RemoteState::kCallsMayExist)
                 : GiveUpSuspectedCalls(exchange, "its process may have been replaced", RemoteState::kCallsMayExist);
  }
}

ExchangeConnections::Connection* ExchangeConnections::LeastRecentlyProbed(const Exchange& exchange) {
  Connection* best = nullptr;
  for (const auto& connection : exchange.connections) {
    if (!connection->is_open || !exchange.detector.IsHolderConnection(connection->opened_at)) continue;
    if (best == nullptr || connection->probed_at < best->probed_at) best = connection.get();
  }
  return best;
}

void ExchangeConnections::SendLivenessProbe(Connection* connection) {
  if (connection == nullptr) return;
  ++counters_.liveness_probes;
  connection->probed_at = runtime_->Now();
  SendProbe(connection);
}

policy::CircuitUse ExchangeConnections::ComputeCircuitUse(const Exchange& exchange, TimeUs carried_before) const {
  policy::CircuitUse use{.used = *exchange.circuits_used, .established = exchange.established.size()};
  const TimeUs now = runtime_->Now();
  for (const std::string& id : exchange.established) {
    const CallLeg& leg = call_legs_.at(id);
    const bool is_settled =
        leg.established_at < carried_before || now >= leg.established_at + policy::kCallSettlingTime;
    if (leg.WasCarriedBefore(carried_before) && is_settled) {
      ++use.in_question;
      use.announced += leg.announced ? 1 : 0;
    } else if (!is_settled) {
      ++use.unsettled;
    }
  }
  for (const auto& connection : exchange.connections) use.pending += connection->set_ups.size();
  return use;
}

void ExchangeConnections::CheckCircuitReport(const Connection& connection) {
  Exchange* const exchange = connection.exchange;
  if (!exchange->circuits_used || exchange->established.empty()) return;
  policy::FailureDetector& detector = exchange->detector;
  const bool was_suspected = exchange->IsSuspected();
  // Most reports arrive without any suspicion and are not compared call by call.
  if (!was_suspected && !detector.HasPendingDenial() && *exchange->circuits_used >= exchange->established.size())
    return;
  const policy::CircuitUse use = ComputeCircuitUse(*exchange, detector.CallsInQuestionBefore(connection.opened_at));
  if (detector.OnCircuitReport(runtime_->Now(), connection.opened_at, use))
    return GiveUpSuspectedCalls(exchange, "its process was replaced: its circuits are free",
                                StateOfDeniedCalls(*exchange));
  LogSuspicionChange(*exchange, was_suspected);
}

void ExchangeConnections::GiveUpSuspectedCalls(Exchange* exchange, std::string_view why, RemoteState remote_state) {
  ++counters_.given_up_replaced;
  std::vector<std::string> ids;
  for (const std::string& id : exchange->established) {
    if (call_legs_.at(id).WasCarriedBefore(exchange->detector.give_up_before())) ids.push_back(id);
  }
  TerminateCalls(exchange, std::move(ids), why, remote_state);
  exchange->detector.OnCallsGivenUp();
}

void ExchangeConnections::CheckAnnouncedCalls(Exchange* exchange) {
  if (exchange->announced == 0 || !exchange->circuits_used) return;
  if (!policy::DeniesMostCalls({.used = *exchange->circuits_used,
                                .established = exchange->established.size(),
                                .in_question = exchange->established.size()}))
    return;
  std::vector<std::string> ids;
  for (const std::string& id : exchange->established) {
    if (call_legs_.at(id).announced) ids.push_back(id);
  }
  TerminateCalls(exchange, std::move(ids), "its circuits are free, so it does not know the announced calls",
                 StateOfDeniedCalls(*exchange));
}

ExchangeConnections::RemoteState ExchangeConnections::StateOfDeniedCalls(const Exchange& exchange) {
  return exchange.circuits_used == 0U ? RemoteState::kCallsGone : RemoteState::kCallsMayExist;
}

void ExchangeConnections::LogSuspicionChange(const Exchange& exchange, bool was_suspected) {
  if (exchange.IsSuspected() == was_suspected) return;
  ++(was_suspected ? counters_.suspicions_cleared : counters_.suspicions);
  log_->Write(core::LogLevel::kInfo, was_suspected ? "exchange-confirmed" : "exchange-doubtful", 0,
              exchange.target.uid + ", established calls " + std::to_string(exchange.established.size()));
}

bool ExchangeConnections::CloseIdleConnectionElsewhere(const Exchange* wanted) {
  Connection* candidate = nullptr;
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange.get() == wanted || exchange->connections.size() < 2 || exchange->IsSuspected()) continue;
    for (const auto& connection : exchange->connections) {
      if (!connection->is_open || !connection->set_ups.empty()) continue;
      if (candidate == nullptr || connection->last_data_at < candidate->last_data_at) candidate = connection.get();
    }
  }
  if (candidate == nullptr) return false;
  EndConnection(candidate, DisconnectReason::kClosedLocally);
  return true;
}

void ExchangeConnections::CloseSurplusConnection(Exchange* exchange) {
  // During a suspicion the older connections are kept, because data on them can clear it.
  const policy::FailureDetector& detector = exchange->detector;
  if (exchange->IsSuspected()) return;
  std::vector<Connection*> idle;
  for (const auto& connection : exchange->connections) {
    if (detector.IsProbingHolder() && detector.IsHolderConnection(connection->opened_at)) continue;
    if (connection->is_open && connection->set_ups.empty()) idle.push_back(connection.get());
  }
  if (idle.size() <= kKeptIdleConnections) return;
  // The connection without data for the longest time may have been dropped by the network. Closes one at a time, as
  // each sign of life opens only one.
  const auto stale = std::min_element(idle.begin(), idle.end() - 1, [](const Connection* a, const Connection* b) {
    return std::max(a->last_data_at, a->opened_at) < std::max(b->last_data_at, b->opened_at);
  });
  if (runtime_->Now() >= std::max((*stale)->last_data_at, (*stale)->opened_at) + policy::kLivenessConnectTimeout)
    EndConnection(*stale, DisconnectReason::kClosedLocally);
}

ExchangeConnections::Connection* ExchangeConnections::OpenConnection(Exchange* exchange, Purpose purpose) {
  const bool for_liveness = purpose == Purpose::kSignOfLife;
  const std::size_t max_connections = settings_.max_connections + (for_liveness ? kLivenessReserve : 0);
  if (connection_count_ >= max_connections && (purpose == Purpose::kSetUp || !CloseIdleConnectionElsewhere(exchange))) {
    ++counters_.no_room;
    return nullptr;
  }
  ++counters_.connects;
  ++connection_count_;
  exchange->connections.push_back(std::make_unique<Connection>(this, exchange));
  Connection* const connection = exchange->connections.back().get();
  connection->position = std::prev(exchange->connections.end());
  connection->number = ++last_connection_number_;
  connection->for_liveness = for_liveness;
  connection->requested_at = runtime_->Now();
  const TimeUs timeout = for_liveness ? std::max(policy::kLivenessConnectTimeout, settings_.connect_timeout_us)
                                      : settings_.connect_timeout_us;
  connection->stream = runtime_->Connect(exchange->target.address, timeout, connection);
  return connection;
}

bool ExchangeConnections::NeedsConnection(const Exchange& exchange) {
  if (exchange.is_retired) return false;
  if (exchange.connections.empty()) return true;
  if (exchange.established.empty() || !exchange.lost_releases.NeedsConnection()) return false;
  return std::none_of(exchange.connections.begin(), exchange.connections.end(), [&exchange](const auto& connection) {
    return connection->requested_at >= exchange.lost_releases.lost_at();
  });
}

ExchangeConnections::Connection* ExchangeConnections::OpenNeededConnection(Exchange* exchange) {
  if (exchange->connections.empty()) return OpenConnection(exchange, Purpose::kKeepConnected);
  ++counters_.replacements;
  return OpenConnection(exchange, Purpose::kSignOfLife);
}

void ExchangeConnections::EnsureConnected(Exchange* exchange) {
  if (!NeedsConnection(*exchange) || exchange->reconnect_timer.IsRunning()) return;
  const TimeUs delay = exchange->reconnect_delay;
  exchange->reconnect_delay = std::clamp(2 * delay, kMinReconnectDelay, kMaxReconnectDelay);
  if (delay == 0 && OpenNeededConnection(exchange) != nullptr) return;
  // If the connection limit is reached, this is tried again later.
  exchange->reconnect_timer.Start(std::max(delay, kMinReconnectDelay), [this, exchange] {
    if (NeedsConnection(*exchange) && OpenNeededConnection(exchange) == nullptr) EnsureConnected(exchange);
  });
}

ExchangeConnections::Connection* ExchangeConnections::SelectConnection(Exchange* exchange) {
  Connection* best = nullptr;
  // A connection on which a set-up was lost may lead to a process that no longer reads, so the others come first. It is
  // not avoided by opening a new connection: if the network path is down, the new one fails and the decision module
  // takes the exchange for dead. Among idle connections the one with the latest data is preferred, because the network
  // may have dropped one that was idle for long.
  const auto rank = [](const Connection& connection) {
    return std::make_tuple(connection.is_unresponsive, connection.set_ups.size(), !connection.is_open,
                           ~std::max(connection.last_data_at, connection.opened_at));
  };
  for (const auto& connection : exchange->connections) {
    if (connection->for_liveness && !connection->is_open) continue;
    if (best == nullptr || rank(*connection) < rank(*best)) best = connection.get();
  }
  if (best != nullptr && best->set_ups.empty()) return best;
  const bool connects_fail =
      exchange->connect_failed_at != 0 && runtime_->Now() < exchange->connect_failed_at + kRecentDataTime;
  if (connects_fail && best != nullptr && best->is_open && !best->is_unresponsive) {
    ++counters_.shared;
    return best;
  }
  const std::size_t share = settings_.max_connections / std::max<std::size_t>(1, by_address_.size());
  if (!exchange->is_retired && exchange->connections.size() < std::max<std::size_t>(1, share)) {
    if (Connection* const opened = OpenConnection(exchange, Purpose::kSetUp)) return opened;
  }
  if (best != nullptr && !best->set_ups.empty()) ++counters_.shared;
  return best;
}

bool ExchangeConnections::IsKnownAlive(const Exchange& exchange) const {
  const TimeUs now = runtime_->Now();
  return std::any_of(exchange.connections.begin(), exchange.connections.end(), [now](const auto& connection) {
    return connection->is_open && !connection->stream->PeerClosed() &&
           now < std::max(connection->last_data_at, connection->opened_at) + kRecentDataTime;
  });
}

void ExchangeConnections::SetUp(const core::TrunkSetUp& set_up) {
  const CallId call = set_up.set.call;
  const auto found = exchanges_.find(set_up.to);
  Connection* const connection = found == exchanges_.end() ? nullptr : SelectConnection(found->second.get());
  const std::string& id = set_up.request->calling;
  if (connection == nullptr || call_legs_.count(id) > 0) {
    ++counters_.never_ran;
    return core_->OnTrunkReleased(call, set_up.attempt,
                                  MakeReleaseInfo(kNotConnected, core::ReleaseCause::kOutOfOrder));
  }
  Message message{.type = MessageType::kSetUp, .id = id, .description = set_up.request->session};
  message.fields.emplace_back("class", settings_.classes.at(static_cast<std::size_t>(set_up.request->call_class)));
  if (!set_up.request->called.empty()) message.fields.emplace_back("key", set_up.request->called);
  UnsentSetUp unsent{.message = std::move(message), .answer_due = runtime_->Now() + set_up.budget_us};
  if (LineOf(unsent, runtime_->Now()).empty()) {
    return core_->OnTrunkReleased(
        call, set_up.attempt,
        MakeReleaseInfo({Outcome::kError, RejectCause::kNone}, core::ReleaseCause::kTemporaryFailure));
  }
  ++counters_.set_ups;
  CallLeg& leg = call_legs_[id] = {call, set_up.attempt, found->second.get(), connection, false, 0, id};
  call_ids_[call] = id;
  connection->set_ups.insert(id);
  if (connection->is_open) return WriteSetUp(&leg, unsent);
  LogCall("set-up-waiting", leg, "its connection is not open yet");
  connection->unsent_set_ups.push_back(std::move(unsent));
}

void ExchangeConnections::WriteSetUp(CallLeg* leg, const UnsentSetUp& set_up) {
  leg->is_sent = true;
  leg->sent_at = runtime_->Now();
  attempted_.Insert(leg->id);
  leg->connection->stream->Write(LineOf(set_up, leg->sent_at));
  LogCall("set-up-sent", *leg, std::to_string((set_up.answer_due - leg->sent_at) / 1000) + " ms remaining");
}

// A set-up begins as it is written. Until then its caller may have left, and the exchange may have been told to drain.
void ExchangeConnections::SendUnsentSetUps(Connection* connection) {
  const TimeUs now = runtime_->Now();
  const TimeUs draining_since = connection->exchange->draining_since;
  const bool may_send = draining_since == 0 || now <= draining_since + settings_.drain_grace_us;
  for (const UnsentSetUp& unsent : std::exchange(connection->unsent_set_ups, {})) {
    const auto found = call_legs_.find(unsent.message.id);
    if (found == call_legs_.end() || found->second.connection != connection) continue;
    if (may_send && !core_->HasCallerLeft(found->second.call)) {
      WriteSetUp(&found->second, unsent);
      continue;
    }
    ++counters_.never_ran;
    const CallLeg leg = RemoveCallLeg(found);
    LogCall("set-up-withdrawn", leg, may_send ? "its caller has left" : "the exchange drains");
    core_->OnTrunkReleased(leg.call, leg.attempt, MakeReleaseInfo(kNotConnected, core::ReleaseCause::kOutOfOrder));
  }
}

void ExchangeConnections::Release(const core::CircuitSet& set, const core::ReleaseInfo&) {
  const auto named = call_ids_.find(set.call);
  if (named == call_ids_.end()) return;
  const CallLeg leg = RemoveCallLeg(call_legs_.find(named->second));
  LogCall(leg.is_established ? "call-released" : "set-up-given-up", leg, "");
  if (leg.is_established) {
    ++counters_.released;
  } else {
    ++counters_.given_up;
    if (leg.connection == nullptr) return;
    leg.connection->is_unresponsive = true;
    if (!leg.is_sent) return WithdrawSetUp(leg.connection, leg.id);
    given_up_.Insert(leg.id);
  }
  SendRelease(leg.exchange, leg.connection, leg.id, leg.carrier);
}

void ExchangeConnections::WithdrawSetUp(Connection* connection, const std::string& id) {
  std::erase_if(connection->unsent_set_ups, [&id](const UnsentSetUp& unsent) { return unsent.message.id == id; });
  if (!connection->is_open && connection->set_ups.empty()) EndConnection(connection, DisconnectReason::kClosedLocally);
}

void ExchangeConnections::SendRelease(Exchange* exchange, Connection* connection, const std::string& id,
                                      const Carrier& carrier) {
  if (connection == nullptr) connection = NewestOpenConnection(*exchange);
  if (connection == nullptr) {
    // A removed exchange keeps it for a successor at its address that is listed later.
    if (exchange->queued_releases.size() < kMaxQueuedReleases) exchange->queued_releases.push_back({id, carrier.span});
    return EnsureConnected(exchange);
  }
  connection->stream->Write(WriteMessage({.type = MessageType::kRelease, .id = id, .cause = kNormal}));
}

ExchangeConnections::CallLeg ExchangeConnections::RemoveCallLeg(
    std::unordered_map<std::string, CallLeg>::iterator position) {
  CallLeg leg = std::move(position->second);
  call_legs_.erase(position);
  call_ids_.erase(leg.call);
  leg.exchange->established.erase(leg.id);
  leg.exchange->announced -= leg.announced ? 1 : 0;
  if (leg.connection != nullptr) {
    leg.connection->set_ups.erase(leg.id);
    leg.connection->established.erase(leg.id);
  }
  return leg;
}

ExchangeConnections::Connection* ExchangeConnections::NewestOpenConnection(const Exchange& exchange) {
  const auto newest = std::find_if(exchange.connections.rbegin(), exchange.connections.rend(),
                                   [](const auto& x) { return x->is_open; });
  return newest == exchange.connections.rend() ? nullptr : newest->get();
}

void ExchangeConnections::ProbeExchange(ExchangeId exchange) {
  const auto found = exchanges_.find(exchange);
  Connection* const connection = found == exchanges_.end() ? nullptr : NewestOpenConnection(*found->second);
  if (connection == nullptr) return core_->OnProbeEnded(exchange, Outcome::kConnectFailed, 1, {});
  SendProbe(connection);
}

void ExchangeConnections::SendProbe(Connection* connection) {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(runtime_->Random()));
  if (probes_.size() > 256) probes_.clear();
  probes_[digits] = {connection->exchange->id, runtime_->Now()};
  connection->stream->Write(WriteMessage({.type = MessageType::kHeartbeat, .id = digits, .cause = 0}));
}

bool ExchangeConnections::IsEstablishedAt(CallId call, const std::string& uid) const {
  const auto id = call_ids_.find(call);
  if (id == call_ids_.end()) return false;
  const CallLeg& leg = call_legs_.at(id->second);
  return leg.is_established && leg.exchange->target.uid == uid;
}

void ExchangeConnections::AdoptCall(CallId call, const std::string& id, ExchangeId exchange_id) {
  const auto found = exchanges_.find(exchange_id);
  if (found == exchanges_.end()) return;
  // Anything left of a former set-up with this id is obsolete: its queued release must not reach the call that is
  // adopted now.
  std::erase_if(found->second->queued_releases, [&id](const QueuedRelease& release) { return release.id == id; });
  given_up_.Remove(id);
  if (const auto former = call_legs_.find(id); former != call_legs_.end()) RemoveCallLeg(former);
  Exchange* const exchange = found->second.get();
  call_legs_[id] = {call, 0, exchange, nullptr, true, runtime_->Now(), id};
  call_ids_[call] = id;
  call_legs_[id].announced = true;
  ++exchange->announced;
  RecordEstablishedCall(exchange, id, runtime_->Now());
  if (NewestOpenConnection(*exchange) == nullptr) exchange->detector.OnUnconfirmedCallAnnounced(runtime_->Now());
  if (!exchange->announced_check_timer.IsRunning())
    exchange->announced_check_timer.Start(kAnnouncementWindow, [this, exchange] { CheckAnnouncedCalls(exchange); });
  EnsureConnected(exchange);
  if (!early_releases_.Contains(id)) return;
  // The release arrived on the first connection to the exchange, before the caller announced the call. It is passed on
  // from the event loop, because the data of the caller is still being processed.
  ++counters_.early_ends;
  early_releases_.Remove(id);
  runtime_->StartTimer(0, [this, id] {
    const auto leg = call_legs_.find(id);
    if (leg == call_legs_.end() || !leg->second.is_established) return;
    const CallLeg ended = RemoveCallLeg(leg);
    core_->OnTrunkReleased(ended.call, ended.attempt, {core::ReleaseCause::kNormal});
  });
}

void ExchangeConnections::RecordSignOfLife(Connection* connection) {
  Exchange* const exchange = connection->exchange;
  const bool was_suspected = exchange->IsSuspected();
  exchange->last_sign_at = connection->last_sign_at = connection->last_data_at;
  exchange->detector.OnDataReceived(connection->last_data_at, connection->opened_at);
  LogSuspicionChange(*exchange, was_suspected);
  exchange->lost_releases.OnDataReceived(connection->opened_at);
}

void ExchangeConnections::RecordEstablishedCall(Exchange* exchange, const std::string& id, TimeUs alive_at) {
  if (exchange->established.empty()) {
    exchange->detector.OnFirstCall(alive_at);
    exchange->lost_releases.Clear();
  }
  exchange->established.insert(id);
}

// ---- messages from exchanges ----

bool ExchangeConnections::HandleLine(Connection* connection, std::string_view line) {
  const auto message = ParseMessage(line);
  if (!message) return false;
  switch (message->type) {
    case MessageType::kAnswer:
      // An answer without a description is corrupt and cannot be passed on.
      if (message->id.empty() || !message->description) return false;
      HandleAnswer(connection, *message);
      return true;
    case MessageType::kRelease:
      HandleRelease(connection, *message);
      return true;
    case MessageType::kGroupReport:
      HandleGroupReport(connection, *message);
      return true;
    case MessageType::kHeartbeatResponse: {
      const auto probe = probes_.find(message->id);
      if (probe == probes_.end()) return true;
      const auto [exchange, sent] = probe->second;
      probes_.erase(probe);
      core_->OnProbeEnded(exchange, message->cause.value_or(0) == 1 ? Outcome::kOk : Outcome::kError,
                          runtime_->Now() - sent, report_reader_.ReadValues(*message));
      return true;
    }
    case MessageType::kWait:
    case MessageType::kAcknowledgement:
      return true;
    case MessageType::kSetUp:
    case MessageType::kHeartbeat:
    case MessageType::kOther:
      log_->Write(core::LogLevel::kWarning, "exchange-said", 0, line.substr(0, 200));
      return message->type != MessageType::kOther;
  }
  return true;
}

void ExchangeConnections::HandleAnswer(Connection* connection, const Message& message) {
  const auto found = call_legs_.find(message.id);
  if (found == call_legs_.end()) {
    if (!given_up_.Contains(message.id)) {
      ++counters_.unknown_answers;
      return;
    }
    ++counters_.late_answers;
    return SendRelease(connection->exchange, connection, message.id, {});
  }
  CallLeg& leg = found->second;
  if (leg.is_established || leg.connection != connection) {
    ++counters_.second_answers;
    return;
  }
  ++counters_.answers;
  LogCall("call-stands", leg, "");
  leg.is_established = true;
  leg.established_at = runtime_->Now();
  leg.carrier = {connection->number, connection->span()};
  leg.exchange = AnsweringExchange(leg);
  if (connection->claim.IsUnconfirmed()) RequestConfirmation(leg.exchange, &leg, runtime_->Now());
  connection->set_ups.erase(message.id);
  connection->established.insert(message.id);
  // An answer follows its set-up, but it may have been read some time after the end of its process.
  RecordEstablishedCall(leg.exchange, message.id, connection->stream->PeerClosed() ? leg.sent_at : leg.established_at);
  const CallId call = leg.call;
  const int attempt = leg.attempt;
  core_->OnTrunkSession(call, attempt, message.description.value_or(std::string()));
  core_->OnTrunkAnswered(call, attempt);
}

void ExchangeConnections::HandleRelease(Connection* connection, const Message& message) {
  const auto found = call_legs_.find(message.id);
  // An established call may be released on any connection to its exchange.
  const bool is_known =
      found != call_legs_.end() && (found->second.connection == connection ||
                                    (found->second.is_established &&
                                     found->second.exchange->target.address == connection->exchange->target.address));
  if (!is_known) {
    ++counters_.unknown_ends;
    early_releases_.Insert(message.id);
    return;
  }
  Exchange* const exchange = found->second.exchange;
  policy::FailureDetector& detector = exchange->detector;
  const bool was_suspected = exchange->IsSuspected();
  if (found->second.is_established && (was_suspected || detector.HasPendingDenial()) &&
      found->second.WasCarriedBefore(detector.CallsInQuestionBefore(connection->opened_at))) {
    detector.OnCallConfirmed(runtime_->Now(), found->second.announced ? 0 : found->second.carrier.span.opened_at);
    LogSuspicionChange(*exchange, was_suspected);
  }
  if (found->second.is_established && !found->second.announced && exchange->has_claims)
    ConfirmProcess(exchange, found->second.carrier);
  const int cause = message.cause.value_or(kTemporaryFailure);
  LogCall(found->second.is_established ? "call-ended" : "set-up-ended", found->second,
          "cause " + std::to_string(cause));
  const CallLeg leg = RemoveCallLeg(found);
  if (leg.is_established) {
    const bool normal = cause == kNormal;
    ++(normal ? counters_.ended : counters_.cut);
    return core_->OnTrunkReleased(leg.call, leg.attempt,
                                  {normal ? core::ReleaseCause::kNormal : core::ReleaseCause::kTemporaryFailure});
  }
  const std::string* const note = message.Field("note");
  const core::AttemptResult result = AttemptResultOf(cause, note != nullptr ? *note : std::string());
  ++(result.outcome == Outcome::kReset   ? counters_.resets
     : result.outcome == Outcome::kError ? counters_.errors
                                         : counters_.refusals);
  const bool no_circuit = cause == kNoCircuit && result.cause != RejectCause::kProcessorFull;
  core::ReleaseInfo info =
      MakeReleaseInfo(result, no_circuit ? core::ReleaseCause::kNoCircuit : core::ReleaseCause::kCongestion);
  info.load = report_reader_.ReadValues(message);
  core_->OnTrunkReleased(leg.call, leg.attempt, info);
}

// An exchange may send the same group report on several of its connections.
void ExchangeConnections::HandleGroupReport(Connection* connection, const Message& message) {
  ++counters_.reports;
  const std::string* const load = message.Field("load");
  if (load == nullptr) return;
  connection->exchange->detector.OnReportReceived(runtime_->Now());
  if (*load == connection->exchange->last_report) return CheckCircuitReport(*connection);
  const std::vector<float> values = report_reader_.ReadValues(*load);
  connection->exchange->last_report = *load;
  connection->exchange->circuits_used = report_reader_.CircuitsUsed(values);
  ++counters_.changed_reports;
  CheckCircuitReport(*connection);
  CheckAnnouncedCalls(connection->exchange);
  if (!values.empty()) core_->OnGroupReport(connection->exchange->id, values);
}

ExchangeConnections::ResetContext ExchangeConnections::ContextOfReset(const Connection& connection) const {
  const policy::FailureDetector& detector = connection.exchange->detector;
  ResetContext context;
  for (const auto& other : connection.exchange->connections) {
    if (!other->is_open || other.get() == &connection) continue;
    if (detector.IsProbingHolder()) {
      context.others_open += detector.IsHolderConnection(other->opened_at) ? 1 : 0;
    } else if (policy::FailureDetector::HasOutlivedReset(other->opened_at, connection.last_sign_at, runtime_->Now())) {
      ++context.others_open;
    } else if (context.unproven_opened_at == 0 || other->opened_at < context.unproven_opened_at) {
      context.unproven_opened_at = other->opened_at;
    }
  }
  return context;
}

void ExchangeConnections::NotifyDetector(const Connection& connection, DisconnectReason reason) {
  Exchange* const exchange = connection.exchange;
  const TimeUs now = runtime_->Now();
  const bool was_suspected = exchange->IsSuspected();
  if (!connection.is_open) return;
  const ResetContext context = ContextOfReset(connection);
  const std::size_t established = exchange->established.size();
  if (reason == DisconnectReason::kClosed) {
    exchange->detector.OnConnectionClosed(now, connection.opened_at, context.others_open, established,
                                          context.unproven_opened_at);
  } else if (reason == DisconnectReason::kReset) {
    exchange->detector.OnConnectionReset(now, context.others_open, established, context.unproven_opened_at);
  }
  LogSuspicionChange(*exchange, was_suspected);
}

// Data was on its way if the connection was reset, or if this side closed it because the data cannot be read.
void ExchangeConnections::RecordLostData(const Connection& connection, DisconnectReason reason) {
  Exchange& exchange = *connection.exchange;
  if (!connection.is_open || exchange.established.empty()) return;
  if (reason == DisconnectReason::kMalformed)
    exchange.lost_releases.OnDataLost(runtime_->Now(), ProcessState::kRunning);
  if (reason == DisconnectReason::kReset) exchange.lost_releases.OnDataLost(runtime_->Now(), ProcessState::kUnknown);
}

void ExchangeConnections::RecordOutage(Exchange* exchange, DisconnectReason reason) {
  switch (reason) {
    case DisconnectReason::kClosed:
    case DisconnectReason::kReset:
      return exchange->history.OnAllConnectionsLost(runtime_->Now());
    case DisconnectReason::kRefused:
    case DisconnectReason::kConnectTimeout:
      return exchange->history.OnConnectFailed(runtime_->Now());
    case DisconnectReason::kMalformed:
    case DisconnectReason::kClosedLocally:
      return;
  }
}

void ExchangeConnections::EndConnection(Connection* connection, DisconnectReason reason) {
  Exchange* const exchange = connection->exchange;
  ++(reason == DisconnectReason::kRefused          ? counters_.refused
     : reason == DisconnectReason::kConnectTimeout ? counters_.timed_out
                                                   : counters_.broken);
  NotifyDetector(*connection, reason);
  RecordLostData(*connection, reason);
  const bool was_open = connection->is_open;  // otherwise nothing was sent on it
  const bool first_failure =
      !was_open && NewestOpenConnection(*exchange) == nullptr && !std::exchange(exchange->unreachable, true);
  LogConnection(first_failure ? core::LogLevel::kInfo : core::LogLevel::kDebug,
                was_open ? "exchange-connection-ended" : "exchange-not-reached", *connection,
                std::string(NameOf(reason)) + ", pending set-ups " + std::to_string(connection->set_ups.size()) +
                    ", established calls " + std::to_string(exchange->established.size()));
  std::vector<std::string> ids(connection->set_ups.begin(), connection->set_ups.end());
  std::sort(ids.begin(), ids.end());
  const std::unique_ptr<Connection> ended = std::move(*connection->position);
  exchange->connections.erase(connection->position);
  --connection_count_;
  const std::vector<std::string> carried(ended->established.begin(), ended->established.end());
  // The handler outlives its stream, which ends here.
  ended->stream.reset();
  for (const std::string& id : ended->established) call_legs_.at(id).connection = nullptr;
  if (NewestOpenConnection(*exchange) == nullptr) RecordOutage(exchange, reason);
  // Determined before the core reacts: nothing was sent on this connection, and the exchange may still be healthy.
  const bool exchange_alive = !was_open && IsKnownAlive(*exchange);
  if (exchange_alive) exchange->connect_failed_at = runtime_->Now();
  for (const std::string& id : ids) {
    const auto found = call_legs_.find(id);
    if (found == call_legs_.end()) continue;
    const CallLeg leg = RemoveCallLeg(found);
    ++(was_open ? counters_.resets : counters_.never_ran);
    if (was_open) given_up_.Insert(id);
    core_->OnTrunkReleased(
        leg.call, leg.attempt,
        was_open ? MakeReleaseInfo(kReset, core::ReleaseCause::kTemporaryFailure)
                 : MakeReleaseInfo(exchange_alive ? kConnectionLost : kNotConnected, core::ReleaseCause::kOutOfOrder));
  }
  // No process listens there any more, or the exchange was removed from the directory and this was its last connection,
  // on which a set-up may still have been answered: its calls are terminated.
  if (reason == DisconnectReason::kRefused && exchange->connections.empty())
    TerminateCallsBefore(exchange, runtime_->Now() + 1, "refuses connections");
  if (exchange->is_retired && exchange->connections.empty())
    TerminateCallsBefore(exchange, runtime_->Now() + 1, "removed from the directory", RemoteState::kCallsMayExist);
  DecideCallsOfEndedConnection(exchange, carried);
  EnsureConnected(exchange);
}

}  // namespace croftrun::platform
