#include "edge/admission_front.h"

#include <algorithm>
#include <utility>

namespace croftrun::edge {

AdmissionFront::AdmissionFront(const std::optional<admission::AdmissionSettings>& admission, TimeUs answer_margin_us,
                               core::Runtime* runtime, core::CallCore* core)
    : runtime_(runtime), core_(core), answer_margin_us_(answer_margin_us), timer_(runtime) {
  if (!admission) return;
  admission::AdmissionSettings settings = *admission;
  settings.secret = runtime->Random();
  admission_.emplace(settings);
}

CallId AdmissionFront::AcceptCall(const core::CallRequest& request, core::CallOwner* owner, std::string_view client) {
  if (!admission_ || stopping_) return core_->AcceptCall(request, owner);
  const CallId call = core_->Reserve();
  owners_[call] = owner;
  queued_[call] = {request, runtime_->Now()};
  // The final answer has to leave before the caller's timeout, so the time in the queue ends earlier by that margin.
  const TimeUs queue_timeout_us = request.caller_timeout_us - std::min(request.caller_timeout_us, answer_margin_us_);
  admission_->OnRequest(
      {call, client, request.called, request.customer, static_cast<double>(request.width), queue_timeout_us},
      runtime_->Now(), &decisions_);
  ExecuteDecisions();
  // A call in the queue counts as accepted: it will get a final answer.
  if (queued_.count(call) > 0) owner->OnAccepted(call);
  return call;
}

void AdmissionFront::ExecuteDecisions() {
  if (executing_) return;
  executing_ = true;
  for (std::size_t i = 0; i < decisions_.size(); ++i) {
    const admission::AdmissionDecision decision = decisions_[i];
    const auto found = queued_.find(decision.call);
    if (found == queued_.end()) continue;
    QueuedCall queued_call = std::move(found->second);
    queued_.erase(found);
    const TimeUs waited_us = runtime_->Now() - queued_call.queued_since;
    queued_call.request.caller_timeout_us -= std::min(queued_call.request.caller_timeout_us, waited_us);
    if (decision.admitted) {
      core_->AcceptCall(queued_call.request, this, decision.call);
    } else {
      core_->RecordRefusedCall(queued_call.request, this, decision.call, decision.retry_after_us);
    }
  }
  decisions_.clear();
  executing_ = false;
  RestartTimer();
}

void AdmissionFront::RestartTimer() {
  timer_.Stop();
  const auto deadline = admission_->NextExpiry();
  if (!deadline) return;
  const TimeUs now = runtime_->Now();
  timer_.Start(*deadline > now ? *deadline - now : 0, [this] {
    admission_->OnTimer(runtime_->Now(), &decisions_);
    ExecuteDecisions();
  });
}

void AdmissionFront::HangUp(CallId call) {
  if (!admission_ || owners_.erase(call) == 0) return core_->HangUp(call);
  if (const auto found = queued_.find(call); found != queued_.end()) {
    const QueuedCall queued_call = std::move(found->second);
    queued_.erase(found);
    core_->RecordAbandonedCall(queued_call.request, call);
  } else {
    core_->HangUp(call);
  }
  admission_->OnAbandoned(call, runtime_->Now(), &decisions_);
  ExecuteDecisions();
}

void AdmissionFront::StopAcceptingCalls() {
  stopping_ = true;
  if (!admission_) return;
  admission_->Close(&decisions_);
  ExecuteDecisions();
}

void AdmissionFront::OnAccepted(CallId call) {
  if (const auto found = owners_.find(call); found != owners_.end()) found->second->OnAccepted(call);
}

void AdmissionFront::OnFinalAnswer(CallId call, const core::FinalAnswer& answer) {
  const auto found = owners_.find(call);
  if (found == owners_.end()) return;
  core::CallOwner* owner = found->second;
  const bool established = answer.kind == core::FinalKind::kEstablished;
  if (!established) owners_.erase(found);
  owner->OnFinalAnswer(call, answer);
  admission_->OnAnswered(call, established, runtime_->Now(), &decisions_);
  ExecuteDecisions();
}

void AdmissionFront::OnCallEnded(CallId call, core::ReleaseCause cause) {
  const auto found = owners_.find(call);
  if (found == owners_.end()) return;
  core::CallOwner* owner = found->second;
  owners_.erase(found);
  owner->OnCallEnded(call, cause);
}

}  // namespace croftrun::edge
