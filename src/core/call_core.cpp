#include "core/call_core.h"

#include <algorithm>
#include <utility>

#include "core/number_plan.h"

namespace croftrun::core {
namespace {

// Directory entries kept, gone ones included: a fleet of the largest size seen, many times replaced.
constexpr std::size_t kMostDirectory = 4096;

// The version of the rules a call is under, for the log: the same from its first line to its last.
std::string UnderRules(const CallRequest& offer) {
  return offer.rules == 0 ? std::string() : ", rules " + std::to_string(offer.rules);
}

// What a release before the answer means to the module. `direct`: the attempt went to the destination itself.
AttemptResult Meaning(const ReleaseInfo& info, int sent_to, bool direct) {
  if (info.attempt_result) return *info.attempt_result;
  switch (info.cause) {
    case ReleaseCause::kUserBusy:
      return {Outcome::kError, RejectCause::kLinesBusy};
    case ReleaseCause::kOutOfOrder:
      return {Outcome::kConnectFailed, RejectCause::kNone};
    case ReleaseCause::kNoCircuit:
      return {Outcome::kRejected, direct ? RejectCause::kNoCircuit : RejectCause::kCrankback};
    case ReleaseCause::kCongestion:
      // Said by the exchange that the set-up was sent to, or by one behind it.
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
      gate_(settings.overload),
      chance_(settings.seed | 1U),
      finish_(runtime) {
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
  for (const auto& [circuit, timer] : rests_) runtime_->CancelTimer(timer);
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

// The module is never entered from within itself: events wait in order while its actions are carried out.
void CallCore::PostEvent(Event event) {
  events_.push_back(std::move(event));
  Drain();
}

void CallCore::Drain() {
  if (draining_) return;
  draining_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    decider_->Handle(runtime_->Now(), event, &actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { Execute(a); }, action);
  }
  draining_ = false;
  while (!hang_ups_.empty()) {
    const CallId id = hang_ups_.front();
    hang_ups_.pop_front();
    HangUp(id);
  }
}

std::vector<float> CallCore::Figures(int number) const {
  if (settings_.network_manages_circuits) return {};
  const CircuitGroup* group = Group(number);
  if (group == nullptr) return {0.0F, 0.0F};
  return {static_cast<float>(group->Count(CircuitState::kIdle)), static_cast<float>(group->InUse())};
}

void CallCore::TellSpare(int number) {
  if (settings_.network_manages_circuits) return;
  const auto found = by_number_.find(number);
  if (found == by_number_.end()) return;
  // By index: what the module does with it may bring news of the directory.
  for (std::size_t i = 0; i < found->second.size(); ++i)
    PostEvent(LoadReportReceived{.exchange = found->second[i], .report = Figures(number)});
}

void CallCore::IndexDirectory() {
  by_number_.clear();
  for (const auto& [id, entry] : directory_) {
    if (entry.status != ExchangeStatus::kGone) by_number_[entry.number].push_back(id);
  }
}

bool CallCore::Seize(int number, CallId id, Call* call) {
  if (settings_.network_manages_circuits) return true;
  const auto group = groups_.find(number);
  return group != groups_.end() && group->second.Seize(call->offer.width, id, &call->out.circuits);
}

void CallCore::Execute(const SendSetUp& send) {
  Call* call = Find(send.call);
  if (call == nullptr || call->attempt || call->answered) return;  // the caller hung up meanwhile
  const int number = NumberOf(send.exchange);
  const int index = call->attempts++;
  ++counters_.attempts;
  call->attempt = Attempt{.index = index, .exchange = send.exchange, .sent_at = runtime_->Now()};
  call->out = CircuitSet{number, {}, send.call};
  if (call->owner != nullptr && call->owner->HasLeft(send.call)) {
    // Nothing is sent for a caller who left, nor told to him: the module hears of the attempt's end, then of his.
    call->answered = true;
    ++counters_.hung_up;
    hang_ups_.push_back(send.call);
    return EndAttempt(send.call, *call, Outcome::kCancelled, RejectCause::kNone, {}, false);
  }
  if (trunks_ == nullptr || !Seize(number, send.call, call)) {
    ++counters_.moot;
    return EndAttempt(send.call, *call, Outcome::kNotSent, RejectCause::kNoCircuit, {}, false);
  }
  const TimeUs now = runtime_->Now();
  const TimeUs end = call->taken_at + call->offer.caller_timeout_us - settings_.answer_margin_us;
  const TimeUs left = end > now ? end - now : 0;
  const TimeUs timeout = send.timeout_us == 0 ? left : std::min(send.timeout_us, left);
  call->attempt->timeout =
      runtime_->StartTimer(timeout, [this, id = send.call, index] { OnAttemptTimeout(id, index); });
  const TrunkSetUp set_up{call->out, index, send.exchange, &call->offer, call->origin, timeout};
  trunks_->SetUp(set_up);
  TellSpare(number);
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
    GiveFinal(refuse.call, *call, {FinalKind::kRefused, refuse.retry_after_us, info.cause});
  }
}

void CallCore::Execute(const FailCall& fail) {
  if (Call* call = Find(fail.call); call != nullptr && !call->attempt) {
    const ReleaseCause cause = call->last_release.cause;
    GiveFinal(fail.call, *call, {FinalKind::kFailed, 0, cause});
  }
}

void CallCore::Execute(const SetTimer& timer) {
  // The id is known only after the timer was started, and the timer never fires from within StartTimer.
  auto id = std::make_shared<TimerId>(kNoTimer);
  *id = runtime_->StartTimer(timer.delay_us, [this, id, token = timer.token] {
    module_timers_.erase(*id);
    PostEvent(TimerExpired{token});
  });
  module_timers_.insert(*id);
}

// The roster is pushed to every softswitch, so there is nothing to ask for; see DirectoryUpdate.
void CallCore::Execute(const FetchDirectory&) {}
void CallCore::Execute(const SubscribeDirectory&) {}

void CallCore::Execute(const WriteLog& log) { log_->Write(LogLevel::kInfo, "module", 0, log.text); }

// ---- fronts ----

CallId CallCore::Reserve() {
  while (next_call_ == 0 || calls_.count(next_call_) > 0) ++next_call_;
  return next_call_++;
}

CallId CallCore::NewCall(const CallRequest& offer, CallOwner* owner, int origin, CallId reserved) {
  const CallId id = reserved != 0 ? reserved : Reserve();
  Call& call = calls_[id];
  call.offer = offer;
  call.owner = owner;
  call.origin = origin;
  call.taken_at = runtime_->Now();
  return id;
}

bool CallCore::RefusedAtOnce() {
  gate_.Note(runtime_->Now(), runtime_->QueueDelay());
  if (stopping_) {
    ++counters_.refused_stopping;
    return true;
  }
  if (calls_.size() >= settings_.max_calls) {
    ++counters_.refused_full;
    return true;
  }
  // xorshift64: the draws need to be even, not more.
  chance_ ^= chance_ << 13U;
  chance_ ^= chance_ >> 7U;
  chance_ ^= chance_ << 17U;
  if (!gate_.Refuses(static_cast<double>(chance_ >> 11U) * 0x1.0p-53)) return false;
  ++counters_.refused_overload;
  return true;
}

void CallCore::RecordRefusedCall(const CallRequest& offer, CallOwner* owner, CallId reserved, TimeUs pause_us) {
  ++counters_.offered;
  ++counters_.refused_door;
  const CallId id = NewCall(offer, owner, own_number(), reserved);
  GiveFinal(id, calls_[id], {FinalKind::kRefused, pause_us, ReleaseCause::kCongestion});
}

void CallCore::RecordAbandonedCall(const CallRequest& offer, CallId reserved) {
  ++counters_.offered;
  ++counters_.hung_up;
  NewCall(offer, nullptr, own_number(), reserved);
  Forget(reserved, {});
}

CallId CallCore::AcceptCall(const CallRequest& offer, CallOwner* owner, CallId reserved) {
  ++counters_.offered;
  const bool refused = RefusedAtOnce();
  const CallId id = NewCall(offer, owner, own_number(), reserved);
  if (refused) {
    GiveFinal(id, calls_[id], {FinalKind::kRefused, 0, ReleaseCause::kCongestion});
    return id;
  }
  if (owner != nullptr) owner->OnAccepted(id);
  Begin(id);
  return id;
}

SeizureResult CallCore::AcceptIncoming(int number, const std::vector<CircuitNumber>& circuits, const CallRequest& offer,
                                       int origin) {
  const auto group = groups_.find(number);
  if (group == groups_.end() || circuits.empty()) return SeizureResult::kNotInService;
  const bool refused = RefusedAtOnce();
  const CallId id = NewCall(offer, nullptr, origin);
  Call& call = calls_[id];
  call.in = CircuitSet{number, {}, id};
  for (const CircuitNumber circuit : circuits) {
    if (!group->second.SeizedByFarEnd(circuit, id)) break;
    call.in.circuits.push_back(circuit);
  }
  if (call.in.circuits.size() != circuits.size()) {
    // All or nothing. What was taken here goes back as it was: the far end never had our word on it.
    const std::size_t call_taken = call.in.circuits.size();
    for (const CircuitNumber circuit : call.in.circuits) {
      group->second.Release(circuit, id);
      group->second.Confirm(circuit);
    }
    calls_.erase(id);
    const CircuitNumber missed = circuits[call_taken];
    const bool out = missed >= group->second.size() || group->second.State(missed) == CircuitState::kOutOfService;
    ++(out ? counters_.not_in_service : counters_.glare);
    return out ? SeizureResult::kNotInService : SeizureResult::kGlare;
  }
  ++counters_.incoming;
  TellSpare(number);
  if (refused) {
    if (Call* fresh = Find(id)) GiveFinal(id, *fresh, {FinalKind::kRefused, 0, ReleaseCause::kCongestion});
    return SeizureResult::kAccepted;
  }
  Begin(id);
  return SeizureResult::kAccepted;
}

void CallCore::Begin(CallId id) {
  Call& call = calls_[id];
  if (finish_by_ != 0) {
    const TimeUs now = runtime_->Now();
    call.offer.caller_timeout_us = std::min(call.offer.caller_timeout_us, finish_by_ > now ? finish_by_ - now : 0);
  }
  if (log_->IsEnabled(LogLevel::kDebug))
    log_->Write(LogLevel::kDebug, "taken", id,
                call.offer.calling + " to " + call.offer.called + UnderRules(call.offer));
  const TimeUs margin = std::min(settings_.answer_margin_us, call.offer.caller_timeout_us / 2);
  const TimeUs budget = call.offer.caller_timeout_us - margin;
  if (call.offer.destination == own_number() && !settings_.network_manages_circuits) {
    ++counters_.terminating;
    call.state = State::kRinging;
    call.deadline = runtime_->StartTimer(budget, [this, id] { OnDeadline(id); });
    const ReleaseCause cause =
        line_driver_ != nullptr ? line_driver_->Ring(id, call.offer) : ReleaseCause::kUnallocated;
    if (cause != ReleaseCause::kNormal) OnRingReleased(id, cause);
    return;
  }
  // A safety net under the module's own timers: whatever happens, the caller is answered in time.
  const TimeUs net = budget + margin / 2 + settings_.forgotten_call_timeout_us;
  call.deadline = runtime_->StartTimer(net, [this, id] { OnDeadline(id); });
  call.module_knows = true;
  CallOffered offered;
  offered.call = id;
  offered.call_class = call.offer.call_class;
  offered.customer = call.offer.customer;
  offered.number_called =
      call.offer.key != 0 || settings_.network_manages_circuits ? call.offer.key : NumberKey(call.offer.called);
  offered.budget_us = budget;
  offered.destination = call.offer.destination;
  offered.width = static_cast<double>(call.offer.width);
  offered.via = call.owner == nullptr ? call.origin : call.offer.advised_tandem;
  offered.is_redial = call.offer.is_redial;
  offered.in_transit = call.owner == nullptr || call.offer.in_transit;
  offered.previously_cut = call.offer.previously_cut;
  PostEvent(offered);
}

bool CallCore::TooLate(const Call& call) {
  if (runtime_->Now() < call.taken_at + call.offer.caller_timeout_us) return false;
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
  FailUnanswered(id);
}

void CallCore::FailUnanswered(CallId id) {
  Call* call = Find(id);
  if (call == nullptr || call->answered) return;
  if (call->attempt) EndAttempt(id, *call, Outcome::kTimeout, RejectCause::kNone, {ReleaseCause::kTimerExpiry}, false);
  if ((call = Find(id)) != nullptr && !call->answered) {
    PostEvent(CallAbandoned{id});
    if ((call = Find(id)) != nullptr && !call->answered)
      GiveFinal(id, *call, {FinalKind::kFailed, 0, ReleaseCause::kTimerExpiry});
  }
}

CallId CallCore::AdoptCall(const CallRequest& offer, CallOwner* owner, ExchangeId at) {
  if (calls_.size() >= settings_.max_calls) {
    ++counters_.refused_full;
    return 0;
  }
  const CallId id = NewCall(offer, owner, own_number());
  Call& call = calls_[id];
  call.state = State::kEstablished;
  call.answered = true;
  call.answered_at = call.taken_at;
  call.attempts = 1;
  call.out = CircuitSet{NumberOf(at), {}, id};
  call.attempt = Attempt{.index = 0, .exchange = at, .sent_at = call.taken_at, .stood_at = call.taken_at};
  return id;
}

void CallCore::HangUp(CallId id) {
  // While the module is at work it may just be sending this call: its attempt must get an end it hears of.
  if (draining_) return hang_ups_.push_back(id);
  Call* call = Find(id);
  if (call == nullptr) return;
  const bool stood = call->state == State::kEstablished;
  if (stood) ++counters_.ended;
  if (!call->answered) ++counters_.hung_up;
  call->answered = true;  // nothing is told to the caller any more
  call->owner = nullptr;
  if (call->module_knows && !stood) PostEvent(CallAbandoned{id});
  if ((call = Find(id)) == nullptr) return;
  if (call->attempt) {
    EndAttempt(id, *call, stood ? Outcome::kOk : Outcome::kCancelled, RejectCause::kNone, {}, true);
  } else if (call->offer.destination == own_number() && line_driver_ != nullptr) {
    line_driver_->StopRinging(id, ReleaseCause::kNormal);
  }
  Forget(id, {});
}

void CallCore::OnCallerSession(CallId id, std::string_view session) {
  Call* call = Find(id);
  if (call == nullptr || call->state != State::kEstablished || !call->attempt || trunks_ == nullptr) return;
  trunks_->Connect(call->out, session);
}

void CallCore::OnRingAnswered(CallId id, std::string_view session) {
  Call* call = Find(id);
  if (call == nullptr || call->state != State::kRinging) return;
  if (TooLate(*call)) {
    if (line_driver_ != nullptr) line_driver_->StopRinging(id, ReleaseCause::kTimerExpiry);
    return OnRingReleased(id, ReleaseCause::kTimerExpiry);
  }
  call->session.assign(session.substr(0, settings_.max_session_octets));
  call->state = State::kEstablished;
  GiveFinal(id, *call, {FinalKind::kEstablished, 0, ReleaseCause::kNormal});
}

void CallCore::OnRingReleased(CallId id, ReleaseCause cause) {
  Call* call = Find(id);
  if (call == nullptr) return;
  const ReleaseInfo info{cause, own_number()};
  if (call->state == State::kRinging) {
    call->last_release = info;
    return GiveFinal(id, *call, {FinalKind::kFailed, 0, cause});
  }
  if (call->state != State::kEstablished) return;
  ++counters_.ended;
  if (call->owner != nullptr) call->owner->OnCallEnded(id, cause);
  Forget(id, info);
}

// ---- trunks ----

void CallCore::OnTrunkSession(CallId id, int index, std::string_view session) {
  Call* call = Find(id);
  if (call != nullptr && call->attempt && call->attempt->index == index)
    call->session.assign(session.substr(0, settings_.max_session_octets));
}

void CallCore::OnTrunkAnswered(CallId id, int index) {
  Call* call = Find(id);
  if (call == nullptr || !call->attempt || call->attempt->index != index || call->state != State::kRouting) {
    ++counters_.stale_answers;  // an answer that crossed a hang-up, or came after the time-out
    return;
  }
  NoteRefusal(call->out, {});
  // This process stood still past the caller's time, and the answer lay in its queue: there is nobody to tell any more.
  if (TooLate(*call))
    return EndAttempt(id, *call, Outcome::kTimeout, RejectCause::kNone, {ReleaseCause::kTimerExpiry}, false);
  // Nobody would release what stands for a caller who left.
  if (call->owner != nullptr && call->owner->HasLeft(id)) return HangUp(id);
  runtime_->CancelTimer(std::exchange(call->attempt->timeout, kNoTimer));
  call->state = State::kEstablished;
  call->attempt->stood_at = runtime_->Now();
  const CallEstablished stands{id, call->attempt->exchange, index, runtime_->Now() - call->attempt->sent_at};
  GiveFinal(id, *call, {FinalKind::kEstablished, 0, ReleaseCause::kNormal});
  PostEvent(stands);
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
    return Forget(id, info);
  }
  NoteRefusal(call->out, info);
  const int number = NumberOf(call->attempt->exchange);
  const AttemptResult ended = Meaning(info, number, number == call->offer.destination);
  EndAttempt(id, *call, ended.outcome, ended.cause, info, false);
}

void CallCore::OnIncomingReleased(CallId id, ReleaseCause) {
  // The far end has let go of the circuits already; for the call it is the caller's hang-up.
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
  if (circuits > 0 || settings_.network_manages_circuits) ReleaseSet(&call.out, {ReleaseCause::kNormal, own_number()});
  const AttemptRecord record{id,      attempt.index, number,          number != call.offer.destination,
                             outcome, cause,         attempt.sent_at, attempt.stood_at,
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
  ended.report = Figures(number);
  ended.report.insert(ended.report.end(), info.load.begin(), info.load.end());
  PostEvent(std::move(ended));
}

void CallCore::GiveFinal(CallId id, Call& call, const FinalAnswer& answer) {
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
                std::string(kKinds[static_cast<std::size_t>(answer.kind)]) + UnderRules(call.offer));
  }
  if (answer.kind == FinalKind::kEstablished) {
    for (CallObserver* observer : observers_) observer->OnEstablished(RecordOf(id, call));
    if (call.owner != nullptr) {
      FinalAnswer with_session = answer;
      // Calls stand by the thousand: the descriptions go once they were passed on.
      const std::string passed_on = std::exchange(call.session, {});
      call.offer.session = {};
      with_session.session = passed_on;
      call.owner->OnFinalAnswer(id, with_session);
    } else if (trunks_ != nullptr) {
      trunks_->Answer(call.in, call.session);
    }
    return;
  }
  // Towards an exchange that sent the call here, a refusal is a release with its cause: no circuit onward, or
  // what the next processor said.
  ReleaseInfo info = call.last_release;
  if (info.cause == ReleaseCause::kNormal || info.cause == ReleaseCause::kTemporaryFailure ||
      info.cause == ReleaseCause::kGlare || info.cause == ReleaseCause::kNotInService) {
    info.cause = answer.cause == ReleaseCause::kCongestion ? answer.cause : ReleaseCause::kNoCircuit;
    info.exchange_number = own_number();
  }
  info.load.clear();
  if (CallOwner* owner = call.owner) owner->OnFinalAnswer(id, answer);
  Forget(id, info);
}

CallRecord CallCore::RecordOf(CallId id, const Call& call) const {
  return {id,
          &call.offer,
          call.owner == nullptr && call.origin != own_number(),
          call.origin,
          call.attempts,
          call.answer,
          call.taken_at,
          call.answered_at,
          runtime_->Now(),
          call.in.circuits.empty() ? -1 : call.in.group};
}

void CallCore::Forget(CallId id, const ReleaseInfo& info) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  Call call = std::move(found->second);
  calls_.erase(found);
  runtime_->CancelTimer(call.deadline);
  const CallRecord record = RecordOf(id, call);
  if (!call.in.circuits.empty()) ReleaseSet(&call.in, info);
  for (CallObserver* observer : observers_) observer->OnCall(record);
}

void CallCore::ReleaseSet(CircuitSet* set, const ReleaseInfo& info) {
  const CircuitSet released = std::exchange(*set, CircuitSet{});
  // A set without circuits is of a network that counts them itself: its group is none of this core's.
  for (const CircuitNumber circuit : released.circuits) groups_.at(released.group).Release(circuit, released.call);
  if (trunks_ != nullptr) trunks_->Release(released, info);
}

void CallCore::NoteRefusal(const CircuitSet& set, const ReleaseInfo& info) {
  const auto group = groups_.find(set.group);
  if (group == groups_.end()) return;
  const bool refused = info.cause == ReleaseCause::kGlare || info.cause == ReleaseCause::kNotInService;
  if (refused) ++counters_.refused_by_far_end;
  // What the own gateway or processor says proves nothing of the far end.
  if (!refused && info.exchange_number == own_number()) return;
  for (const CircuitNumber circuit : set.circuits)
    refused ? group->second.Refused(circuit, info.cause == ReleaseCause::kNotInService)
            : group->second.ConfirmWorking(circuit);
}

void CallCore::RestIfSuspected(int number, const CircuitGroup& group, CircuitNumber circuit) {
  if (group.State(circuit) != CircuitState::kSuspect) return;
  ++counters_.suspected;
  const std::uint32_t key = static_cast<std::uint32_t>(number) << 16U | circuit;
  TimerId& timer = rests_[key];
  runtime_->CancelTimer(timer);
  timer = runtime_->StartTimer(group.RestTime(circuit), [this, number, circuit, key] {
    rests_.erase(key);
    if (groups_.at(number).EndRest(circuit)) TellSpare(number);
  });
  if (trunks_ != nullptr) trunks_->CheckCircuit(number, circuit);
}

void CallCore::OnCircuitFree(int number, CircuitNumber circuit) {
  const auto group = groups_.find(number);
  if (group == groups_.end() || !group->second.Confirm(circuit)) return;
  RestIfSuspected(number, group->second, circuit);
  TellSpare(number);
}

void CallCore::OnCircuitOutOfService(int number, CircuitNumber circuit) {
  const auto group = groups_.find(number);
  if (group == groups_.end() || circuit >= group->second.size()) return;
  const CallId holder = group->second.TakeOutOfService(circuit);
  TellSpare(number);
  Call* call = Find(holder);
  if (call == nullptr) return;
  const ReleaseInfo cut{ReleaseCause::kTemporaryFailure, own_number()};
  if (call->attempt && call->out.group == number) {
    OnTrunkReleased(holder, call->attempt->index, cut);
  } else {
    HangUp(holder);  // the incoming side is gone
  }
}

void CallCore::OnCircuitInService(int number, CircuitNumber circuit) {
  const auto group = groups_.find(number);
  if (group == groups_.end() || !group->second.BringIntoService(circuit)) return;
  RestIfSuspected(number, group->second, circuit);
  TellSpare(number);
}

void CallCore::OnProbed(int number, bool answered, TimeUs elapsed_us, const LoadReport& load) {
  if (const auto found = by_number_.find(number); found != by_number_.end() && !found->second.empty()) {
    LoadReportReceived heard{found->second.front(), answered ? Outcome::kOk : Outcome::kTimeout,
                             std::max<TimeUs>(elapsed_us, 1), Figures(number)};
    heard.report.insert(heard.report.end(), load.begin(), load.end());
    return PostEvent(std::move(heard));
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
  if (directory_.size() > kMostDirectory) {
    std::erase_if(directory_, [](const auto& x) { return x.second.status == ExchangeStatus::kGone; });
  }
  IndexDirectory();
  PostEvent(update);
  if (settings_.network_manages_circuits) return;
  for (const DirectoryEntry& entry : update.entries) {
    if (entry.status != ExchangeStatus::kGone)
      PostEvent(LoadReportReceived{.exchange = entry.exchange, .report = Figures(entry.number)});
  }
}

std::vector<CallId> CallCore::SortedCalls() const {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());  // the same order on every run
  return ids;
}

void CallCore::SetShutdownDeadline(TimeUs at) {
  finish_by_ = at;
  const TimeUs now = runtime_->Now();
  finish_.Start(at > now ? at - now : 0, [this] {
    StopAcceptingCalls();
    for (const CallId id : SortedCalls()) {
      const Call* const call = Find(id);
      if (call == nullptr || call->answered) continue;
      ++counters_.failed_at_end;
      FailUnanswered(id);
    }
  });
}

void CallCore::EndAllCalls(ReleaseCause cause) {
  stopping_ = true;
  for (const CallId id : SortedCalls()) {
    Call* call = Find(id);
    if (call == nullptr) continue;
    if (!call->answered) {
      if (call->module_knows) PostEvent(CallAbandoned{id});
      if ((call = Find(id)) == nullptr) continue;
      if (call->attempt) EndAttempt(id, *call, Outcome::kCancelled, RejectCause::kNone, {cause, own_number()}, true);
      if ((call = Find(id)) != nullptr) GiveFinal(id, *call, {FinalKind::kFailed, 0, cause});
      continue;
    }
    if (call->owner != nullptr) call->owner->OnCallEnded(id, cause);
    HangUp(id);
  }
}

}  // namespace croftrun::core
