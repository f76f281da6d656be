// Calls at the exchanges: their set-ups, answers and releases, and those that a former process of the softswitch set
// up.
#include <algorithm>
#include <utility>

#include "platform/attempt_results.h"
#include "platform/causes.h"
#include "platform/exchange_connections.h"
#include "platform/exchange_connections_state.h"

namespace croftrun::platform {
namespace {

// Number of releases per exchange that are queued for the next connection.
constexpr std::size_t kMaxQueuedReleases = 1024;
// Delay from the announcement of a call to the check against the last report of its exchange. Other calls are announced
// at the same time.
constexpr TimeUs kAnnouncementWindow = 500'000;

// Returns the line of a set-up that is written at `now`, which states the time that is left; empty if it is too long.
std::string LineOf(const UnsentSetUp& set_up, TimeUs now) {
  const TimeUs left = set_up.answer_due - std::min(set_up.answer_due, now);
  Message message = set_up.message;
  message.fields.emplace_back("left", std::to_string(left / 1000));
  return WriteMessage(message);
}

}  // namespace

void ExchangeConnections::LogCall(std::string_view event, const CallLeg& leg, std::string_view detail) {
  if (!log_->IsEnabled(core::LogLevel::kDebug)) return;
  std::string text = leg.id + " attempt " + std::to_string(leg.attempt) + " at " + leg.exchange->target.uid;
  if (leg.connection != nullptr) text += " connection " + std::to_string(leg.connection->number);
  if (!detail.empty()) text.append(", ").append(detail);
  log_->Write(core::LogLevel::kDebug, event, leg.call, text);
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

void ExchangeConnections::RecordEstablishedCall(Exchange* exchange, const std::string& id, TimeUs alive_at) {
  if (exchange->established.empty()) {
    exchange->detector.OnFirstCall(alive_at);
    exchange->lost_releases.Clear();
  }
  exchange->established.insert(id);
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

}  // namespace croftrun::platform
