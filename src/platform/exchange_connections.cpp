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
// Number of releases of unknown calls that are remembered: a caller may still announce the call.
constexpr std::size_t kMaxEarlyReleases = 2048;
// Connections beyond the limit that may be opened for a sign of life: without one, established calls would be given up.
constexpr std::size_t kLivenessReserve = 8;
// An exchange is known to be alive if data arrived on one of its connections within this time. After a new connection
// to such an exchange has failed, no further one is opened for as long while others can be used.
constexpr TimeUs kRecentDataTime = 1'000'000;
// Number of idle connections to one exchange that are kept when another one has been opened for a sign of life.
constexpr std::size_t kKeptIdleConnections = 2;

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

void ExchangeConnections::RecordSignOfLife(Connection* connection) {
  Exchange* const exchange = connection->exchange;
  const bool was_suspected = exchange->IsSuspected();
  exchange->last_sign_at = connection->last_sign_at = connection->last_data_at;
  exchange->detector.OnDataReceived(connection->last_data_at, connection->opened_at);
  LogSuspicionChange(*exchange, was_suspected);
  exchange->lost_releases.OnDataReceived(connection->opened_at);
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
        was_open ? MakeReleaseInfo(kAttemptReset, core::ReleaseCause::kTemporaryFailure)
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
