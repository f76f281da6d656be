#include "edge/admission_front.h"

#include <algorithm>
#include <utility>

namespace croftrun::edge {

AdmissionFront::AdmissionFront(const std::optional<admission::AdmissionSettings>& admission, TimeUs answer_margin_us,
                               core::Runtime* runtime, core::CallCore* core)
    : runtime_(runtime), core_(core), margin_us_(answer_margin_us), timer_(runtime) {
  if (!admission) return;
  admission::AdmissionSettings settings = *admission;
  settings.secret = runtime->Random();
  admission_.emplace(settings);
}

CallId AdmissionFront::Take(const core::CallRequest& offer, core::CallOwner* owner, std::string_view client) {
  if (!admission_ || stopping_) return core_->AcceptCall(offer, owner);
  const CallId call = core_->Reserve();
  owners_[call] = owner;
  waiting_[call] = {offer, runtime_->Now()};
  // The final answer leaves before the caller's time is up, so the door's time ends before it.
  const TimeUs patience = offer.caller_timeout_us - std::min(offer.caller_timeout_us, margin_us_);
  admission_->OnRequest({call, client, offer.called, offer.customer, static_cast<double>(offer.width), patience},
                        runtime_->Now(), &decisions_);
  Carry();
  // It waits: taken all the same, and owed its answer.
  if (waiting_.count(call) > 0) owner->OnAccepted(call);
  return call;
}

// Verdicts in the order they fell; carrying one out may bring more.
void AdmissionFront::Carry() {
  if (carrying_) return;
  carrying_ = true;
  for (std::size_t i = 0; i < decisions_.size(); ++i) {
    const admission::AdmissionDecision decision = decisions_[i];
    const auto found = waiting_.find(decision.call);
    if (found == waiting_.end()) continue;
    Waiting one = std::move(found->second);
    waiting_.erase(found);
    const TimeUs waited = runtime_->Now() - one.since;
    one.offer.caller_timeout_us -= std::min(one.offer.caller_timeout_us, waited);
    if (decision.admitted) {
      core_->AcceptCall(one.offer, this, decision.call);
    } else {
      core_->RecordRefusedCall(one.offer, this, decision.call, decision.pause_us);
    }
  }
  decisions_.clear();
  carrying_ = false;
  Restart();
}

void AdmissionFront::Restart() {
  timer_.Stop();
  const auto next = admission_->NextAt();
  if (!next) return;
  const TimeUs now = runtime_->Now();
  timer_.Start(*next > now ? *next - now : 0, [this] {
    admission_->OnTimer(runtime_->Now(), &decisions_);
    Carry();
  });
}

void AdmissionFront::HangUp(CallId call) {
  if (!admission_ || owners_.erase(call) == 0) return core_->HangUp(call);
  if (const auto found = waiting_.find(call); found != waiting_.end()) {
    const Waiting one = std::move(found->second);
    waiting_.erase(found);
    core_->RecordAbandonedCall(one.offer, call);
  } else {
    core_->HangUp(call);
  }
  admission_->OnAbandoned(call, runtime_->Now(), &decisions_);
  Carry();
}

void AdmissionFront::StopTaking() {
  stopping_ = true;
  if (!admission_) return;
  admission_->Close(&decisions_);
  Carry();
}

void AdmissionFront::OnAccepted(CallId call) {
  if (const auto found = owners_.find(call); found != owners_.end()) found->second->OnAccepted(call);
}

void AdmissionFront::OnFinalAnswer(CallId call, const core::FinalAnswer& answer) {
  const auto found = owners_.find(call);
  if (found == owners_.end()) return;
  core::CallOwner* owner = found->second;
  const bool stands = answer.kind == core::FinalKind::kEstablished;
  if (!stands) owners_.erase(found);
  owner->OnFinalAnswer(call, answer);
  admission_->OnAnswered(call, stands, runtime_->Now(), &decisions_);
  Carry();
}

void AdmissionFront::OnCallEnded(CallId call, core::ReleaseCause cause) {
  const auto found = owners_.find(call);
  if (found == owners_.end()) return;
  core::CallOwner* owner = found->second;
  owners_.erase(found);
  owner->OnCallEnded(call, cause);
}

}  // namespace croftrun::edge
