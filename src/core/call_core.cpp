#include "core/call_core.h"

#include <algorithm>
#include <utility>

#include "core/number_plan.h"

namespace croftrun::core {
namespace {

// Directory entries kept, including exchanges that are gone: enough for the largest fleet seen to be replaced many
// times.
constexpr std::size_t kMaxDirectoryEntries = 4096;

// Returns the memory that the text takes outside the string object.
std::size_t AllocatedOctets(const std::string& text) {
  return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

// Log suffix with the version of the rules that classified the call. It does not change during the call.
std::string RulesSuffix(const CallRequest& request) {
  return request.rules == 0 ? std::string() : ", rules " + std::to_string(request.rules);
}

// Translates a release before the answer into the attempt result reported to the module. `direct`: the attempt was sent
// to the destination itself.
AttemptResult ResultOfRelease(const ReleaseInfo& info, int sent_to, bool direct) {
  if (info.attempt_result) return *info.attempt_result;
  switch (info.cause) {
    case ReleaseCause::kUserBusy:
      return {Outcome::kError, RejectCause::kLinesBusy};
    case ReleaseCause::kOutOfOrder:
      return {Outcome::kConnectFailed, RejectCause::kNone};
    case ReleaseCause::kNoCircuit:
      return {Outcome::kRejected, direct ? RejectCause::kNoCircuit : RejectCause::kCrankback};
    case ReleaseCause::kCongestion:
      // The cause was given by the exchange the set-up was sent to, or by one beyond it.
      return {Outcome::kRejected, info.exchange_number < 0 || info.exchange_number == sent_to
                                      ? RejectCause::kProcessorFull
                                      : RejectCause::kCrankbackProcessorFull};
    case ReleaseCause::kGlare:
    case ReleaseCause::kNotInService:
      return {Outcome::kNotSent, RejectCause::kNoCircuit};
    case ReleaseCause::kOwnOutOfOrder:
      return {Outcome::kNotSent, RejectCause::kProcessorFull};
    case ReleaseCause::kTemporaryFailure:
    case ReleaseCause::kNormal:
      return {Outcome::kReset, RejectCause::kNone};
    case ReleaseCause::kTimerExpiry:
      return {Outcome::kTimeout, RejectCause::kNone};
    case ReleaseCause::kNoAnswer:
    case ReleaseCause::kUnallocated:
      return {Outcome::kError, RejectCause::kNone};
  }
  return {Outcome::kError, RejectCause::kNone};
}

}  // namespace

CallCore::CallCore(const CoreSettings& settings, Runtime* runtime, Logger* log)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      overload_gate_(settings.overload),
      random_state_(settings.seed | 1U),
      shutdown_timer_(runtime) {
  for (const GroupSettings& group : settings_.groups) {
    groups_.emplace(group.number, CircuitGroup(group.circuits, own_number() < group.number));
  }
  const TimeUs now = runtime_->Now();
  decider_ = settings_.decider ? settings_.decider(settings_.module, settings_.seed, now, &actions_)
                               : std::make_unique<ModuleDecider>(settings_.module, settings_.seed, now, &actions_);
  for (const Action& action : std::exchange(actions_, {})) std::visit([this](const auto& a) { Execute(a); }, action);
}

CallCore::~CallCore() {
  for (const TimerId timer : module_timers_) runtime_->CancelTimer(timer);
  for (const auto& [circuit, timer] : rest_timers_) runtime_->CancelTimer(timer);
  for (auto& [id, call] : calls_) {
    runtime_->CancelTimer(call.deadline);
    if (call.attempt) runtime_->CancelTimer(call.attempt->timeout);
  }
}

const CircuitGroup* CallCore::Group(int number) const {
  const auto found = groups_.find(number);
  return found == groups_.end() ? nullptr : &found->second;
}

CallCore::Call* CallCore::Find(CallId id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

int CallCore::NumberOf(ExchangeId exchange) const {
  const auto found = directory_.find(exchange);
  return found == directory_.end() ? -1 : found->second.number;
}

// ---- the module ----

// The module is not re-entrant: events that occur while its actions are carried out are queued in order.
void CallCore::PostEvent(Event event) {
  events_.push_back(std::move(event));
  ProcessEvents();
}

void CallCore::ProcessEvents() {
  if (processing_events_) return;
  processing_events_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    decider_->Handle(runtime_->Now(), event, &actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { Execute(a); }, action);
  }
  processing_events_ = false;
  while (!deferred_hang_ups_.empty()) {
    const CallId id = deferred_hang_ups_.front();
    deferred_hang_ups_.pop_front();
    HangUp(id);
  }
}

std::vector<float> CallCore::GroupFigures(int number) const {
  if (settings_.network_manages_circuits) return {};
  const CircuitGroup* group = Group(number);
  if (group == nullptr) return {0.0F, 0.0F};
  return {static_cast<float>(group->Count(CircuitState::kIdle)), static_cast<float>(group->UsableCircuits())};
}

void CallCore::ReportFreeCircuits(int number) {
  if (settings_.network_manages_circuits) return;
  const auto found = exchanges_by_number_.find(number);
  if (found == exchanges_by_number_.end()) return;
  // Iterates by index because the module's reaction may change the directory.
  for (std::size_t i = 0; i < found->second.size(); ++i)
    PostEvent(LoadReportReceived{.exchange = found->second[i], .report = GroupFigures(number)});
}

void CallCore::IndexDirectoryByNumber() {
  exchanges_by_number_.clear();
  for (const auto& [id, entry] : directory_) {
    if (entry.status != ExchangeStatus::kGone) exchanges_by_number_[entry.number].push_back(id);
  }
}

bool CallCore::SeizeCircuits(int number, CallId id, Call* call) {
  if (settings_.network_manages_circuits) return true;
  const auto group = groups_.find(number);
  return group != groups_.end() && group->second.Seize(call->request.width, id, &call->out.circuits);
}

void CallCore::Execute(const SendSetUp& send) {
  Call* call = Find(send.call);
  if (call == nullptr || call->attempt || call->answered) return;  // the caller has hung up in the meantime
  const int number = NumberOf(send.exchange);
  const int index = call->attempts++;
  ++counters_.attempts;
  call->attempt = Attempt{.index = index, .exchange = send.exchange, .sent_at = runtime_->Now()};
  call->out = CircuitSet{number, {}, send.call};
  if (call->owner != nullptr && call->owner->HasLeft(send.call)) {
    // The caller has left: no set-up is sent and no answer is given. The module receives the end of the attempt first,
    // then the caller's hang-up.
    call->answered = true;
    ++counters_.hung_up;
    deferred_hang_ups_.push_back(send.call);
    return EndAttempt(send.call, *call, Outcome::kCancelled, RejectCause::kNone, {}, false);
  }
  if (trunks_ == nullptr || !SeizeCircuits(number, send.call, call)) {
    ++counters_.moot;
    return EndAttempt(send.call, *call, Outcome::kNotSent, RejectCause::kNoCircuit, {}, false);
  }
  const TimeUs now = runtime_->Now();
  const TimeUs deadline = call->accepted_at + call->request.caller_timeout_us - settings_.answer_margin_us;
  const TimeUs left = deadline > now ? deadline - now : 0;
  const TimeUs timeout = send.timeout_us == 0 ? left : std::min(send.timeout_us, left);
  call->attempt->timeout =
      runtime_->StartTimer(timeout, [this, id = send.call, index] { OnAttemptTimeout(id, index); });
  const TrunkSetUp set_up{call->out, index, send.exchange, &call->request, call->origin, timeout};
  trunks_->SetUp(set_up);
  ReportFreeCircuits(number);
}

void CallCore::Execute(const CancelSetUp& cancel) {
  Call* call = Find(cancel.call);
  if (call == nullptr || !call->attempt || call->attempt->index != cancel.attempt || call->state != State::kRouting)
    return;
  EndAttempt(cancel.call, *call, Outcome::kCancelled, RejectCause::kNone, {}, false);
}

void CallCore::Execute(const SendProbe& probe) {
  if (trunks_ == nullptr) return;
  settings_.network_manages_circuits ? trunks_->ProbeExchange(probe.exchange)
                                     : trunks_->ProbeGroup(NumberOf(probe.exchange));
}

void CallCore::Execute(const RefuseCall& refuse) {
  if (Call* call = Find(refuse.call); call != nullptr && !call->attempt) {
    const ReleaseInfo info = call->last_release;
    SendFinalAnswer(refuse.call, *call, {FinalKind::kRefused, refuse.retry_after_us, info.cause});
  }
}

void CallCore::Execute(const FailCall& fail) {
  if (Call* call = Find(fail.call); call != nullptr && !call->attempt) {
    const ReleaseCause cause = call->last_release.cause;
    SendFinalAnswer(fail.call, *call, {FinalKind::kFailed, 0, cause});
  }
}

void CallCore::Execute(const SetTimer& timer) {
  // The id is available only after the timer has been started; timers do not fire from within StartTimer.
  auto id = std::make_shared<TimerId>(kNoTimer);
  *id = runtime_->StartTimer(timer.delay_us, [this, id, token = timer.token] {
    module_timers_.erase(*id);
    PostEvent(TimerExpired{token});
  });
  module_timers_.insert(*id);
}

// Directory updates are pushed to every softswitch (see DirectoryUpdate), so these actions need no work.
void CallCore::Execute(const FetchDirectory&) {}
void CallCore::Execute(const SubscribeDirectory&) {}

void CallCore::Execute(const WriteLog& log) { log_->Write(LogLevel::kInfo, "module", 0, log.text); }

// ---- fronts ----

CallId CallCore::Reserve() {
  while (next_call_ == 0 || calls_.count(next_call_) > 0) ++next_call_;
  return next_call_++;
}

CallId CallCore::NewCall(const CallRequest& request, CallOwner* owner, int origin, CallId reserved) {
  const CallId id = reserved != 0 ? reserved : Reserve();
  Call& call = calls_[id];
  call.request = request;
  call.owner = owner;
  call.origin = origin;
  call.accepted_at = runtime_->Now();
  session_octets_ += AllocatedOctets(call.request.session);
  return id;
}

void CallCore::DropSessions(Call* call) {
  session_octets_ -= AllocatedOctets(call->request.session);
  // Assigning an empty string would keep the memory.
  std::string().swap(call->request.session);
  std::string().swap(call->session);
}

bool CallCore::ShouldRefuseNewCall(const CallRequest& request) {
  overload_gate_.RecordDelay(runtime_->Now(), runtime_->QueueDelay());
  if (stopping_) {
    ++counters_.refused_stopping;
    return true;
  }
  const bool too_many_octets = session_octets_ + AllocatedOctets(request.session) > settings_.max_total_session_octets;
  if (calls_.size() >= settings_.max_calls || too_many_octets) {
    ++counters_.refused_full;
    return true;
  }
  // xorshift64: the random numbers only need to be uniformly distributed.
  random_state_ ^= random_state_ << 13U;
  random_state_ ^= random_state_ >> 7U;
  random_state_ ^= random_state_ << 17U;
  if (!overload_gate_.ShouldRefuse(static_cast<double>(random_state_ >> 11U) * 0x1.0p-53)) return false;
  ++counters_.refused_overload;
  return true;
}

void CallCore::RecordRefusedCall(const CallRequest& request, CallOwner* owner, CallId reserved, TimeUs retry_after_us) {
  ++counters_.offered;
  ++counters_.refused_door;
  const CallId id = NewCall(request, owner, own_number(), reserved);
  SendFinalAnswer(id, calls_[id], {FinalKind::kRefused, retry_after_us, ReleaseCause::kCongestion});
}

void CallCore::RecordAbandonedCall(const CallRequest& request, CallId reserved) {
  ++counters_.offered;
  ++counters_.hung_up;
  NewCall(request, nullptr, own_number(), reserved);
  RemoveCall(reserved, {});
}

CallId CallCore::AcceptCall(const CallRequest& request, CallOwner* owner, CallId reserved) {
  ++counters_.offered;
  const bool refused = ShouldRefuseNewCall(request);
  const CallId id = NewCall(request, owner, own_number(), reserved);
  if (refused) {
    SendFinalAnswer(id, calls_[id], {FinalKind::kRefused, 0, ReleaseCause::kCongestion});
    return id;
  }
  if (owner != nullptr) owner->OnAccepted(id);
  StartCall(id);
  return id;
}

SeizureResult CallCore::AcceptIncoming(int number, const std::vector<CircuitNumber>& circuits,
                                       const CallRequest& request, int origin) {
  const auto group = groups_.find(number);
  if (group == groups_.end() || circuits.empty()) return SeizureResult::kNotInService;
  const bool refused = ShouldRefuseNewCall(request);
  const CallId id = NewCall(request, nullptr, origin);
  Call& call = calls_[id];
  call.in = CircuitSet{number, {}, id};
  for (const CircuitNumber circuit : circuits) {
    if (!group->second.SeizeByFarEnd(circuit, id)) break;
    call.in.circuits.push_back(circuit);
  }
  if (call.in.circuits.size() != circuits.size()) {
    // The seizure is all or nothing. Circuits seized so far become idle again at once, since no response has been sent
    // to the far end.
    const std::size_t seized = call.in.circuits.size();
    for (const CircuitNumber circuit : call.in.circuits) {
      group->second.Release(circuit, id);
      group->second.Confirm(circuit);
    }
    DropSessions(&call);
    calls_.erase(id);
    const CircuitNumber failed = circuits[seized];
    const bool out_of_service =
        failed >= group->second.size() || group->second.State(failed) == CircuitState::kOutOfService;
    ++(out_of_service ? counters_.not_in_service : counters_.glare);
    return out_of_service ? SeizureResult::kNotInService : SeizureResult::kGlare;
  }
  ++counters_.incoming;
  ReportFreeCircuits(number);
  if (refused) {
    if (Call* found = Find(id)) SendFinalAnswer(id, *found, {FinalKind::kRefused, 0, ReleaseCause::kCongestion});
    return SeizureResult::kAccepted;
  }
  StartCall(id);
  return SeizureResult::kAccepted;
}

void CallCore::StartCall(CallId id) {
  Call& call = calls_[id];
  if (shutdown_deadline_ != 0) {
    const TimeUs now = runtime_->Now();
    call.request.caller_timeout_us =
        std::min(call.request.caller_timeout_us, shutdown_deadline_ > now ? shutdown_deadline_ - now : 0);
  }
  if (log_->IsEnabled(LogLevel::kDebug))
    log_->Write(LogLevel::kDebug, "taken", id,
                call.request.calling + " to " + call.request.called + RulesSuffix(call.request));
  const TimeUs margin = std::min(settings_.answer_margin_us, call.request.caller_timeout_us / 2);
  const TimeUs budget = call.request.caller_timeout_us - margin;
  if (call.request.destination == own_number() && !settings_.network_manages_circuits) {
    ++counters_.terminating;
    call.state = State::kRinging;
    call.deadline = runtime_->StartTimer(budget, [this, id] { OnDeadline(id); });
    const ReleaseCause cause =
        line_driver_ != nullptr ? line_driver_->Ring(id, call.request) : ReleaseCause::kUnallocated;
    if (cause != ReleaseCause::kNormal) OnRingReleased(id, cause);
    return;
  }
  // Fallback for the module's own timers, so that the caller is always answered in time.
  const TimeUs fallback_timeout = budget + margin / 2 + settings_.forgotten_call_timeout_us;
  call.deadline = runtime_->StartTimer(fallback_timeout, [this, id] { OnDeadline(id); });
  call.known_to_module = true;
  CallOffered offered;
  offered.call = id;
  offered.call_class = call.request.call_class;
  offered.customer = call.request.customer;
  offered.number_called =
      call.request.key != 0 || settings_.network_manages_circuits ? call.request.key : NumberKey(call.request.called);
  offered.budget_us = budget;
  offered.destination = call.request.destination;
  offered.width = static_cast<double>(call.request.width);
  offered.via = call.owner == nullptr ? call.origin : call.request.advised_tandem;
  offered.is_redial = call.request.is_redial;
  offered.in_transit = call.owner == nullptr || call.request.in_transit;
  offered.was_disconnected = call.request.was_disconnected;
  PostEvent(offered);
}

bool CallCore::HasCallerTimedOut(const Call& call) {
  if (runtime_->Now() < call.accepted_at + call.request.caller_timeout_us) return false;
  ++counters_.too_late;
  return true;
}

void CallCore::OnDeadline(CallId id) {
  Call* call = Find(id);
  if (call == nullptr || call->answered) return;
  call->deadline = kNoTimer;
  if (call->state == State::kRinging) {
    if (line_driver_ != nullptr) line_driver_->StopRinging(id, ReleaseCause::kTimerExpiry);
    return OnRingReleased(id, ReleaseCause::kTimerExpiry);
  }
  ++counters_.overdue;
  log_->Write(LogLevel::kError, "overdue", id, "no final answer from the module in time");
  FailUnansweredCall(id);
}

void CallCore::FailUnansweredCall(CallId id) {
  Call* call = Find(id);
  if (call == nullptr || call->answered) return;
  if (call->attempt) EndAttempt(id, *call, Outcome::kTimeout, RejectCause::kNone, {ReleaseCause::kTimerExpiry}, false);
  if ((call = Find(id)) != nullptr && !call->answered) {
    PostEvent(CallAbandoned{id});
    if ((call = Find(id)) != nullptr && !call->answered)
      SendFinalAnswer(id, *call, {FinalKind::kFailed, 0, ReleaseCause::kTimerExpiry});
  }
}

CallId CallCore::AdoptCall(const CallRequest& request, CallOwner* owner, ExchangeId at) {
  if (calls_.size() >= settings_.max_calls) {
    ++counters_.refused_full;
    return 0;
  }
  const CallId id = NewCall(request, owner, own_number());
  Call& call = calls_[id];
  call.state = State::kEstablished;
  call.answered = true;
  call.answered_at = call.accepted_at;
  call.attempts = 1;
  call.out = CircuitSet{NumberOf(at), {}, id};
  call.attempt = Attempt{.index = 0, .exchange = at, .sent_at = call.accepted_at, .established_at = call.accepted_at};
  return id;
}

void CallCore::HangUp(CallId id) {
  // While events are being processed, the module may be sending a set-up for this call, and the end of that attempt
  // must be reported to it. The hang-up is therefore carried out afterwards.
  if (processing_events_) return deferred_hang_ups_.push_back(id);
  Call* call = Find(id);
  if (call == nullptr) return;
  const bool established = call->state == State::kEstablished;
  if (established) ++counters_.ended;
  if (!call->answered) ++counters_.hung_up;
  call->answered = true;  // no final answer is sent from here on
  call->owner = nullptr;
  if (call->known_to_module && !established) PostEvent(CallAbandoned{id});
  if ((call = Find(id)) == nullptr) return;
  if (call->attempt) {
    EndAttempt(id, *call, established ? Outcome::kOk : Outcome::kCancelled, RejectCause::kNone, {}, true);
  } else if (call->request.destination == own_number() && line_driver_ != nullptr) {
    line_driver_->StopRinging(id, ReleaseCause::kNormal);
  }
  RemoveCall(id, {});
}

void CallCore::OnCallerSession(CallId id, std::string_view session) {
  Call* call = Find(id);
  if (call == nullptr || call->state != State::kEstablished || !call->attempt || trunks_ == nullptr) return;
  trunks_->Connect(call->out, session);
}

void CallCore::OnRingAnswered(CallId id, std::string_view session) {
  Call* call = Find(id);
  if (call == nullptr || call->state != State::kRinging) return;
  if (HasCallerTimedOut(*call)) {
    if (line_driver_ != nullptr) line_driver_->StopRinging(id, ReleaseCause::kTimerExpiry);
    return OnRingReleased(id, ReleaseCause::kTimerExpiry);
  }
  call->session.assign(session.substr(0, settings_.max_session_octets));
  call->state = State::kEstablished;
  SendFinalAnswer(id, *call, {FinalKind::kEstablished, 0, ReleaseCause::kNormal});
}

void CallCore::OnRingReleased(CallId id, ReleaseCause cause) {
  Call* call = Find(id);
  if (call == nullptr) return;
  const ReleaseInfo info{cause, own_number()};
  if (call->state == State::kRinging) {
    call->last_release = info;
    return SendFinalAnswer(id, *call, {FinalKind::kFailed, 0, cause});
  }
  if (call->state != State::kEstablished) return;
  ++counters_.ended;
  if (call->owner != nullptr) call->owner->OnCallEnded(id, cause);
  RemoveCall(id, info);
}

// ---- trunks ----

bool CallCore::HasCallerLeft(CallId id) {
  const Call* const call = Find(id);
  return call != nullptr && call->owner != nullptr && call->owner->HasLeft(id);
}

void CallCore::OnTrunkSession(CallId id, int index, std::string_view session) {
  Call* call = Find(id);
  if (call != nullptr && call->attempt && call->attempt->index == index)
    call->session.assign(session.substr(0, settings_.max_session_octets));
}

void CallCore::OnTrunkAnswered(CallId id, int index) {
  Call* call = Find(id);
  if (call == nullptr || !call->attempt || call->attempt->index != index || call->state != State::kRouting) {
    ++counters_.stale_answers;  // the answer crossed a hang-up or arrived after the time-out
    return;
  }
  RecordSeizureOutcome(call->out, {});
  // The process stalled beyond the caller's time-out while the answer was queued: the caller is no longer waiting.
  if (HasCallerTimedOut(*call))
    return EndAttempt(id, *call, Outcome::kTimeout, RejectCause::kNone, {ReleaseCause::kTimerExpiry}, false);
  // The caller has left and would not release an established call.
  if (call->owner != nullptr && call->owner->HasLeft(id)) return HangUp(id);
  runtime_->CancelTimer(std::exchange(call->attempt->timeout, kNoTimer));
  call->state = State::kEstablished;
  call->attempt->established_at = runtime_->Now();
  const CallEstablished established{id, call->attempt->exchange, index, runtime_->Now() - call->attempt->sent_at};
  SendFinalAnswer(id, *call, {FinalKind::kEstablished, 0, ReleaseCause::kNormal});
  PostEvent(established);
}

void CallCore::OnTrunkReleased(CallId id, int index, const ReleaseInfo& info) {
  Call* call = Find(id);
  if (call == nullptr || !call->attempt || call->attempt->index != index) return;
  if (call->state == State::kEstablished) {
    const bool normal = info.cause == ReleaseCause::kNormal;
    ++(normal ? counters_.ended : counters_.cut);
    EndAttempt(id, *call, normal ? Outcome::kOk : Outcome::kReset, RejectCause::kNone, info, true);
    if ((call = Find(id)) == nullptr) return;
    if (call->owner != nullptr) call->owner->OnCallEnded(id, info.cause);
    return RemoveCall(id, info);
  }
  RecordSeizureOutcome(call->out, info);
  const int number = NumberOf(call->attempt->exchange);
  const AttemptResult result = ResultOfRelease(info, number, number == call->request.destination);
  EndAttempt(id, *call, result.outcome, result.cause, info, false);
}

void CallCore::OnIncomingReleased(CallId id, ReleaseCause) {
  // The far end has released its circuits already; for the call this is the caller's hang-up.
  HangUp(id);
}

void CallCore::OnAttemptTimeout(CallId id, int index) {
  Call* call = Find(id);
  if (call == nullptr || !call->attempt || call->attempt->index != index || call->state != State::kRouting) return;
  call->attempt->timeout = kNoTimer;
  ++counters_.timeouts;
  EndAttempt(id, *call, Outcome::kTimeout, RejectCause::kNone, {ReleaseCause::kTimerExpiry}, false);
}

void CallCore::EndAttempt(CallId id, Call& call, Outcome outcome, RejectCause cause, const ReleaseInfo& info,
                          bool terminal) {
  const Attempt attempt = *std::exchange(call.attempt, std::nullopt);
  runtime_->CancelTimer(attempt.timeout);
  const TimeUs now = runtime_->Now();
  const int number = NumberOf(attempt.exchange);
  call.last_release = info;
  const std::size_t circuits = call.out.circuits.size();
  if (circuits > 0 || settings_.network_manages_circuits)
    ReleaseCircuits(&call.out, {ReleaseCause::kNormal, own_number()});
  const AttemptRecord record{id,      attempt.index, number,          number != call.request.destination,
                             outcome, cause,         attempt.sent_at, attempt.established_at,
                             now,     circuits};
  for (CallObserver* observer : observers_) observer->OnAttempt(record);
  if (log_->IsEnabled(LogLevel::kDebug))
    log_->Write(LogLevel::kDebug, "attempt-ended", id,
                "attempt " + std::to_string(attempt.index) + " to exchange " + std::to_string(number) + ", cause " +
                    std::to_string(static_cast<int>(info.cause)));
  AttemptEnded ended;
  ended.call = id;
  ended.exchange = attempt.exchange;
  ended.attempt = attempt.index;
  ended.outcome = outcome;
  ended.cause = cause;
  ended.wait_us = info.wait_us;
  ended.elapsed_us = now - attempt.sent_at;
  ended.terminal = terminal;
  ended.report = GroupFigures(number);
  ended.report.insert(ended.report.end(), info.load.begin(), info.load.end());
  PostEvent(std::move(ended));
}

void CallCore::SendFinalAnswer(CallId id, Call& call, const FinalAnswer& answer) {
  if (call.answered) return;
  call.answered = true;
  call.answer = answer;
  call.answered_at = runtime_->Now();
  runtime_->CancelTimer(std::exchange(call.deadline, kNoTimer));
  ++(answer.kind == FinalKind::kEstablished ? counters_.stands
     : answer.kind == FinalKind::kRefused   ? counters_.refused
                                            : counters_.failed);
  if (log_->IsEnabled(LogLevel::kDebug)) {
    constexpr std::string_view kKinds[] = {"stands", "refused", "failed"};
    log_->Write(LogLevel::kDebug, "final", id,
                std::string(kKinds[static_cast<std::size_t>(answer.kind)]) + RulesSuffix(call.request));
  }
  if (answer.kind == FinalKind::kEstablished) {
    for (CallObserver* observer : observers_) observer->OnEstablished(RecordOf(id, call));
    if (call.owner != nullptr) {
      FinalAnswer with_session = answer;
      // Media descriptions are dropped once they are passed on, as there may be thousands of established calls.
      const std::string session = std::exchange(call.session, {});
      DropSessions(&call);
      with_session.session = session;
      call.owner->OnFinalAnswer(id, with_session);
    } else if (trunks_ != nullptr) {
      trunks_->Answer(call.in, call.session);
    }
    return;
  }
  // Towards the exchange that sent the call, a refusal is a release with a cause: no circuit towards the destination,
  // or the cause given by the next exchange.
  ReleaseInfo info = call.last_release;
  if (info.cause == ReleaseCause::kNormal || info.cause == ReleaseCause::kTemporaryFailure ||
      info.cause == ReleaseCause::kGlare || info.cause == ReleaseCause::kNotInService) {
    info.cause = answer.cause == ReleaseCause::kCongestion ? answer.cause : ReleaseCause::kNoCircuit;
    info.exchange_number = own_number();
  }
  info.load.clear();
  if (CallOwner* owner = call.owner) owner->OnFinalAnswer(id, answer);
  RemoveCall(id, info);
}

CallRecord CallCore::RecordOf(CallId id, const Call& call) const {
  return {id,
          &call.request,
          call.owner == nullptr && call.origin != own_number(),
          call.origin,
          call.attempts,
          call.answer,
          call.accepted_at,
          call.answered_at,
          runtime_->Now(),
          call.in.circuits.empty() ? -1 : call.in.group};
}

void CallCore::RemoveCall(CallId id, const ReleaseInfo& info) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  DropSessions(&found->second);
  Call call = std::move(found->second);
  calls_.erase(found);
  runtime_->CancelTimer(call.deadline);
  const CallRecord record = RecordOf(id, call);
  if (!call.in.circuits.empty()) ReleaseCircuits(&call.in, info);
  for (CallObserver* observer : observers_) observer->OnCall(record);
}

void CallCore::ReleaseCircuits(CircuitSet* set, const ReleaseInfo& info) {
  const CircuitSet released = std::exchange(*set, CircuitSet{});
  // A set without circuits belongs to a network that manages them itself: the group is not one of this core's.
  for (const CircuitNumber circuit : released.circuits) groups_.at(released.group).Release(circuit, released.call);
  if (trunks_ != nullptr) trunks_->Release(released, info);
}

void CallCore::RecordSeizureOutcome(const CircuitSet& set, const ReleaseInfo& info) {
  const auto group = groups_.find(set.group);
  if (group == groups_.end()) return;
  const bool refused = info.cause == ReleaseCause::kGlare || info.cause == ReleaseCause::kNotInService;
  if (refused) ++counters_.refused_by_far_end;
  // A cause given by this exchange's gateway or processor says nothing about the far end.
  if (!refused && info.exchange_number == own_number()) return;
  for (const CircuitNumber circuit : set.circuits)
    refused ? group->second.RecordRefusal(circuit, info.cause == ReleaseCause::kNotInService)
            : group->second.ConfirmWorking(circuit);
}

void CallCore::StartRestIfSuspected(int number, const CircuitGroup& group, CircuitNumber circuit) {
  if (group.State(circuit) != CircuitState::kSuspect) return;
  ++counters_.suspected;
  const std::uint32_t key = static_cast<std::uint32_t>(number) << 16U | circuit;
  TimerId& timer = rest_timers_[key];
  runtime_->CancelTimer(timer);
  timer = runtime_->StartTimer(group.RestTime(circuit), [this, number, circuit, key] {
    rest_timers_.erase(key);
    if (groups_.at(number).EndRest(circuit)) ReportFreeCircuits(number);
  });
  if (trunks_ != nullptr) trunks_->CheckCircuit(number, circuit);
}

void CallCore::OnCircuitFree(int number, CircuitNumber circuit) {
  const auto group = groups_.find(number);
  if (group == groups_.end() || !group->second.Confirm(circuit)) return;
  StartRestIfSuspected(number, group->second, circuit);
  ReportFreeCircuits(number);
}

void CallCore::OnCircuitOutOfService(int number, CircuitNumber circuit) {
  const auto group = groups_.find(number);
  if (group == groups_.end() || circuit >= group->second.size()) return;
  const CallId holder = group->second.TakeOutOfService(circuit);
  ReportFreeCircuits(number);
  Call* call = Find(holder);
  if (call == nullptr) return;
  const ReleaseInfo disconnect{ReleaseCause::kTemporaryFailure, own_number()};
  if (call->attempt && call->out.group == number) {
    OnTrunkReleased(holder, call->attempt->index, disconnect);
  } else {
    HangUp(holder);  // the incoming circuit is lost
  }
}

void CallCore::OnCircuitInService(int number, CircuitNumber circuit) {
  const auto group = groups_.find(number);
  if (group == groups_.end() || !group->second.BringIntoService(circuit)) return;
  StartRestIfSuspected(number, group->second, circuit);
  ReportFreeCircuits(number);
}

void CallCore::OnGroupProbed(int number, bool answered, TimeUs elapsed_us, const LoadReport& load) {
  if (const auto found = exchanges_by_number_.find(number);
      found != exchanges_by_number_.end() && !found->second.empty()) {
    LoadReportReceived received{found->second.front(), answered ? Outcome::kOk : Outcome::kTimeout,
                                std::max<TimeUs>(elapsed_us, 1), GroupFigures(number)};
    received.report.insert(received.report.end(), load.begin(), load.end());
    return PostEvent(std::move(received));
  }
}

void CallCore::OnGroupReport(ExchangeId exchange, const std::vector<float>& figures) {
  if (directory_.count(exchange) > 0) PostEvent(LoadReportReceived{.exchange = exchange, .report = figures});
}

void CallCore::OnProbeEnded(ExchangeId exchange, Outcome outcome, TimeUs elapsed_us,
                            const std::vector<float>& figures) {
  PostEvent(LoadReportReceived{exchange, outcome, std::max<TimeUs>(elapsed_us, 1), figures});
}

void CallCore::OnUnreachable(ExchangeId exchange) {
  PostEvent(LoadReportReceived{.exchange = exchange, .outcome = Outcome::kConnectFailed, .elapsed_us = 1});
}

void CallCore::OnDirectory(const DirectoryUpdate& update) {
  if (update.kind == DirectoryKind::kFull || update.kind == DirectoryKind::kCached) {
    for (auto& [id, entry] : directory_) entry.status = ExchangeStatus::kGone;
  }
  for (const DirectoryEntry& entry : update.entries) directory_[entry.exchange] = entry;
  if (directory_.size() > kMaxDirectoryEntries) {
    std::erase_if(directory_, [](const auto& x) { return x.second.status == ExchangeStatus::kGone; });
  }
  IndexDirectoryByNumber();
  PostEvent(update);
  if (settings_.network_manages_circuits) return;
  for (const DirectoryEntry& entry : update.entries) {
    if (entry.status != ExchangeStatus::kGone)
      PostEvent(LoadReportReceived{.exchange = entry.exchange, .report = GroupFigures(entry.number)});
  }
}

std::vector<CallId> CallCore::SortedCalls() const {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());  // for a reproducible order
  return ids;
}

void CallCore::SetShutdownDeadline(TimeUs at) {
  shutdown_deadline_ = at;
  const TimeUs now = runtime_->Now();
  shutdown_timer_.Start(at > now ? at - now : 0, [this] {
    StopAcceptingCalls();
    for (const CallId id : SortedCalls()) {
      const Call* const call = Find(id);
      if (call == nullptr || call->answered) continue;
      ++counters_.failed_at_end;
      FailUnansweredCall(id);
    }
  });
}

void CallCore::EndAllCalls(ReleaseCause cause) {
  stopping_ = true;
  for (const CallId id : SortedCalls()) {
    Call* call = Find(id);
    if (call == nullptr) continue;
    if (!call->answered) {
      if (call->known_to_module) PostEvent(CallAbandoned{id});
      if ((call = Find(id)) == nullptr) continue;
      if (call->attempt) EndAttempt(id, *call, Outcome::kCancelled, RejectCause::kNone, {cause, own_number()}, true);
      if ((call = Find(id)) != nullptr) SendFinalAnswer(id, *call, {FinalKind::kFailed, 0, cause});
      continue;
    }
    if (call->owner != nullptr) call->owner->OnCallEnded(id, cause);
    HangUp(id);
  }
}

}  // namespace croftrun::core
