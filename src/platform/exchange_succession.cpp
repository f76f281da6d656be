// The part of ExchangeConnections that follows the processes at an address: what becomes of connections, calls and
// releases when the directory tells that another process has started there. policy/process_succession.h decides which
// process holds a call.
#include <algorithm>
#include <utility>

#include "platform/exchange_connections.h"
#include "platform/exchange_connections_state.h"

namespace croftrun::platform {
namespace {

using policy::ProcessOrder;

// Number of moved calls that are logged singly for each start.
constexpr std::size_t kMaxLoggedMoves = 16;
constexpr TimeUs kDetectionTimeout = policy::FailureDetectorSettings{}.detection_timeout_us;

std::string MillisecondsSince(TimeUs start, TimeUs time) {
  return std::to_string((static_cast<std::int64_t>(time) - static_cast<std::int64_t>(start)) / 1000) + " ms";
}

}  // namespace

policy::StartWindow ExchangeConnections::StartWindowOf(std::int64_t boot_ms) const {
  const TimeUs now = runtime_->Now();
  if (boot_ms == 0) return {.earliest = now, .nominal = now, .latest = now};  // it had started when it was told
  const std::int64_t offset_now = runtime_->WallClockUs() - static_cast<std::int64_t>(now);
  return policy::StartWindowOf({.unix_us = boot_ms * 1000,
                                .unix_offset_at_start_us = settings_.unix_offset_us,
                                .unix_offset_now_us = offset_now},
                               now);
}

ProcessOrder ExchangeConnections::HolderOf(const Exchange& exchange, const CallLeg& leg,
                                           const policy::StartWindow& start) {
  if (!leg.announced) return exchange.history.OrderOfAnswer(leg.carrier.span, leg.sent_at, start);
  // The call was established at some time before its caller announced it.
  return leg.established_at < start.earliest ? ProcessOrder::kEarlier : ProcessOrder::kUndecided;
}

// The directory tells of a start seconds late. Until then the successor was reached under the name of the exchange that
// had its address before.
void ExchangeConnections::TakeOverFromPredecessors(Exchange* successor) {
  const policy::StartWindow start = StartWindowOf(successor->target.boot_ms);
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange.get() == successor || exchange->target.address != successor->target.address) continue;
    ++counters_.successions;
    TakeOverFrom(exchange.get(), successor, start);
  }
}

void ExchangeConnections::TakeOverFrom(Exchange* predecessor, Exchange* successor, const policy::StartWindow& start) {
  successor->history.Merge(predecessor->history);
  MoveConnections(predecessor, successor, start);
  MoveCalls(predecessor, successor, start);
  MoveQueuedReleases(predecessor, successor, start);
  EndCallsBeforeStart(predecessor, successor, start, "its process was replaced");
}

void ExchangeConnections::MoveConnections(Exchange* predecessor, Exchange* successor,
                                          const policy::StartWindow& start) {
  for (auto position = predecessor->connections.begin(); position != predecessor->connections.end();) {
    const auto current = position++;
    Connection* const connection = current->get();
    if (!connection->is_open) continue;
    const ProcessOrder order = predecessor->history.OrderOf(connection->span(), start);
    if (order == ProcessOrder::kEarlier) continue;
    connection->exchange = successor;
    successor->connections.splice(successor->connections.end(), predecessor->connections, current);
    for (const std::string& id : connection->set_ups) call_legs_.at(id).exchange = successor;
    if (order == ProcessOrder::kUndecided) RequestConfirmation(successor, connection, start.latest);
  }
}

void ExchangeConnections::MoveCalls(Exchange* predecessor, Exchange* successor, const policy::StartWindow& start) {
  std::vector<std::string> moved;
  for (const std::string& id : predecessor->established) {
    const CallLeg& leg = call_legs_.at(id);
    // The caller of an announced call has named the predecessor.
    if (!leg.announced && HolderOf(*predecessor, leg, start) != ProcessOrder::kEarlier) moved.push_back(id);
  }
  if (moved.empty()) return;
  // What is known of the process goes with its calls.
  const bool inherits_detector = successor->established.empty();
  if (inherits_detector) {
    successor->detector = predecessor->detector;
    successor->lost_releases = predecessor->lost_releases;
    successor->last_sign_at = predecessor->last_sign_at;
  }
  std::sort(moved.begin(), moved.end());
  TimeUs oldest_carrier = runtime_->Now();
  std::size_t undecided = 0;
  for (std::size_t i = 0; i < moved.size(); ++i) {
    CallLeg& leg = call_legs_.at(moved[i]);
    const ProcessOrder order = HolderOf(*predecessor, leg, start);
    predecessor->established.erase(moved[i]);
    successor->established.insert(moved[i]);
    leg.exchange = successor;
    oldest_carrier = std::min(oldest_carrier, leg.carrier.span.opened_at);
    if (!inherits_detector) KeepSuspicion(predecessor, &leg);
    if (order == ProcessOrder::kUndecided) {
      ++undecided;
      RequestConfirmation(successor, &leg, start.latest);
    }
    if (i < kMaxLoggedMoves) LogMovedCall(leg, start);
  }
  successor->detector.ForgetSuspicionsUpTo(oldest_carrier);
  counters_.taken_over += moved.size();
  log_->Write(core::LogLevel::kInfo, "exchange-succeeded", 0,
              successor->target.uid + " has the address of " + predecessor->target.uid +
                  ", established calls taken over: " + std::to_string(moved.size()) +
                  ", to be confirmed: " + std::to_string(undecided));
}

void ExchangeConnections::MoveQueuedReleases(Exchange* predecessor, Exchange* successor,
                                             const policy::StartWindow& start) {
  for (QueuedRelease& release : std::exchange(predecessor->queued_releases, {})) {
    if (predecessor->history.OrderOf(release.carrier, start) == ProcessOrder::kEarlier) continue;
    const std::string id = std::move(release.id);
    SendRelease(successor, nullptr, id, {.connection = 0, .span = release.carrier});
  }
}

// If no start is stated, the answer to a set-up that was pending when the successor was listed is taken for its own.
ExchangeConnections::Exchange* ExchangeConnections::AnsweringExchange(const CallLeg& leg) {
  if (!leg.exchange->is_retired) return leg.exchange;
  const auto occupant = by_address_.find(leg.exchange->target.address);
  if (occupant == by_address_.end()) return leg.exchange;
  Exchange* const successor = exchanges_.at(occupant->second).get();
  return successor->target.boot_ms == 0 ? successor : leg.exchange;
}

// No connection but its own can lead to the process that held a call at a removed exchange whose address another
// process has.
void ExchangeConnections::DecideCallsOfEndedConnection(Exchange* exchange, const std::vector<std::string>& carried) {
  if (!exchange->is_retired || by_address_.count(exchange->target.address) == 0) return;
  std::vector<std::string> ended;
  for (const std::string& id : carried) {
    const auto leg = call_legs_.find(id);
    if (leg == call_legs_.end()) continue;
    if (leg->second.exchange == exchange) {
      ended.push_back(id);
    } else {
      RequestConfirmation(leg->second.exchange, &leg->second, runtime_->Now());
    }
  }
  TerminateCalls(exchange, std::move(ended), "removed from the directory", RemoteState::kCallsGone);
}

void ExchangeConnections::EndCallsBeforeStart(Exchange* exchange, Exchange* release_at,
                                              const policy::StartWindow& start, std::string_view why) {
  std::vector<std::string> certain, likely;
  for (const std::string& id : exchange->established) {
    const CallLeg& leg = call_legs_.at(id);
    if (exchange != release_at && leg.announced) {
      certain.push_back(id);
    } else if (HolderOf(*exchange, leg, start) == ProcessOrder::kEarlier) {
      const bool has_outlived = leg.connection != nullptr && leg.connection->last_data_at > start.latest;
      const bool is_certain = leg.carrier.span.opened_at < start.earliest && !has_outlived;
      (is_certain ? certain : likely).push_back(id);
    }
  }
  TerminateCalls(exchange, std::move(certain), why, RemoteState::kCallsGone);
  TerminateCalls(exchange, std::move(likely), why, RemoteState::kCallsMayExist, release_at);
}

bool ExchangeConnections::HasOutlived(const Exchange& exchange, const policy::StartWindow& start) const {
  return std::any_of(exchange.connections.begin(), exchange.connections.end(), [&start](const auto& connection) {
    return connection->is_open && !connection->stream->PeerClosed() && connection->opened_at < start.earliest &&
           connection->last_data_at > start.latest;
  });
}

void ExchangeConnections::RestartExchange(Exchange* exchange, const policy::StartWindow& start) {
  if (HasOutlived(*exchange, start)) return;
  EndCallsBeforeStart(exchange, exchange, start, "exchange restarted");
  TimeUs oldest_carrier = runtime_->Now();
  for (const std::string& id : exchange->established) {
    CallLeg& leg = call_legs_.at(id);
    oldest_carrier = std::min(oldest_carrier, leg.announced ? 0 : leg.carrier.span.opened_at);
    if (HolderOf(*exchange, leg, start) == ProcessOrder::kUndecided) RequestConfirmation(exchange, &leg, start.latest);
  }
  exchange->detector.ForgetSuspicionsUpTo(oldest_carrier);
  std::erase_if(exchange->queued_releases, [exchange, &start](const QueuedRelease& release) {
    return exchange->history.OrderOf(release.carrier, start) == ProcessOrder::kEarlier;
  });
  const auto leads_to_earlier_process = [&start](const Connection& connection) {
    return connection.is_open &&
           connection.exchange->history.OrderOf(connection.span(), start) == ProcessOrder::kEarlier;
  };
  CloseConnectionsIf(exchange, [&leads_to_earlier_process](const Connection& connection) {
    return connection.set_ups.empty() && leads_to_earlier_process(connection);
  });
  for (const auto& connection : exchange->connections) {
    const bool is_undecided =
        connection->is_open && exchange->history.OrderOf(connection->span(), start) == ProcessOrder::kUndecided;
    if (is_undecided || leads_to_earlier_process(*connection))
      RequestConfirmation(exchange, connection.get(), start.latest);
  }
}

void ExchangeConnections::RequestConfirmation(Exchange* exchange, Connection* connection, TimeUs evidence_from) {
  exchange->has_claims = true;
  connection->claim.OnUndecided(
      evidence_from, policy::ConfirmationDeadline(connection->requested_at, kDetectionTimeout, runtime_->Now()));
  if (settings_.may_probe) SendLivenessProbe(connection);
}

void ExchangeConnections::RequestConfirmation(Exchange* exchange, CallLeg* leg, TimeUs evidence_from) {
  exchange->has_claims = true;
  ++counters_.undecided;
  const TimeUs alive_at = leg->announced ? leg->established_at : leg->carrier.span.requested_at;
  leg->claim.OnUndecided(evidence_from, policy::ConfirmationDeadline(alive_at, kDetectionTimeout, runtime_->Now()));
  if (decision_deadline_ != 0) leg->claim.LimitDeadline(decision_deadline_);
}

void ExchangeConnections::KeepSuspicion(Exchange* exchange, CallLeg* leg) {
  const TimeUs carried_at = leg->announced ? 0 : leg->carrier.span.opened_at;
  const TimeUs deadline = exchange->detector.GiveUpDeadline(carried_at);
  if (deadline == 0) return;
  leg->exchange->has_claims = true;
  leg->claim.OnUndecided(runtime_->Now(), deadline);
}

void ExchangeConnections::CheckClaims(Exchange* exchange) {
  if (!exchange->has_claims) return;
  const TimeUs now = runtime_->Now();
  for (const auto& connection : exchange->connections) {
    const bool is_alive = connection->is_open && !connection->stream->PeerClosed();
    if (is_alive && connection->claim.IsConfirmedByData(connection->last_data_at, now))
      ConfirmProcess(exchange, {connection->number, connection->span()});
  }
  std::vector<std::string> expired;
  std::size_t unconfirmed = 0;
  for (const std::string& id : exchange->established) {
    const policy::ProcessClaim& claim = call_legs_.at(id).claim;
    if (claim.IsExpired(now)) expired.push_back(id);
    unconfirmed += claim.IsUnconfirmed() ? 1 : 0;
  }
  for (const auto& connection : exchange->connections) unconfirmed += connection->claim.IsUnconfirmed() ? 1 : 0;
  exchange->has_claims = unconfirmed > 0;
  if (expired.empty()) return;
  counters_.undecided_released += expired.size();
  TerminateCalls(exchange, std::move(expired), "its process may have been replaced", RemoteState::kCallsMayExist);
}

void ExchangeConnections::ConfirmProcess(Exchange* exchange, const Carrier& carrier) {
  const auto is_covered = [&carrier](const Carrier& other) {
    return other.connection == carrier.connection || other.span.requested_at >= carrier.span.opened_at;
  };
  for (const auto& connection : exchange->connections) {
    if (is_covered({connection->number, connection->span()})) connection->claim.OnConfirmed();
  }
  for (const std::string& id : exchange->established) {
    CallLeg& leg = call_legs_.at(id);
    if (leg.announced || !leg.claim.IsUnconfirmed() || !is_covered(leg.carrier)) continue;
    leg.claim.OnConfirmed();
    ++counters_.undecided_confirmed;
    LogCall("call-confirmed", leg, "its process is alive");
  }
}

void ExchangeConnections::LogMovedCall(const CallLeg& leg, const policy::StartWindow& start) {
  log_->Write(core::LogLevel::kInfo, "call-moved", leg.call,
              leg.id + " to " + leg.exchange->target.uid + ", answered on connection " +
                  std::to_string(leg.carrier.connection) + "; after the start it was requested " +
                  MillisecondsSince(start.nominal, leg.carrier.span.requested_at) + ", opened " +
                  MillisecondsSince(start.nominal, leg.carrier.span.opened_at) + ", the answer read " +
                  MillisecondsSince(start.nominal, leg.established_at) +
                  (leg.claim.IsUnconfirmed() ? "; to be confirmed" : ""));
}

}  // namespace croftrun::platform
