#include "edge/intake.h"

#include <algorithm>
#include <utility>

namespace croftrun::edge {

Intake::Intake(const std::optional<door::DoorSettings>& door, TimeUs answer_margin_us, core::Runtime* runtime,
               core::CallCore* core)
    : runtime_(runtime), core_(core), margin_us_(answer_margin_us), timer_(runtime) {
  if (!door) return;
  door::DoorSettings settings = *door;
  settings.secret = runtime->Random();
  door_.emplace(settings);
}

CallId Intake::Take(const core::Offer& offer, core::Subscriber* subscriber, std::string_view client) {
  if (!door_ || stopping_) return core_->Take(offer, subscriber);
  const CallId call = core_->Reserve();
  subscribers_[call] = subscriber;
  waiting_[call] = {offer, runtime_->Now()};
  // The final answer leaves before the caller's time is up, so the door's time ends before it.
  const TimeUs patience = offer.patience_us - std::min(offer.patience_us, margin_us_);
  door_->OnKnock({call, client, offer.called, offer.customer, static_cast<double>(offer.width), patience},
                 runtime_->Now(), &verdicts_);
  Carry();
  // It waits: taken all the same, and owed its answer.
  if (waiting_.count(call) > 0) subscriber->OnTaken(call);
  return call;
}

// Verdicts in the order they fell; carrying one out may bring more.
void Intake::Carry() {
  if (carrying_) return;
  carrying_ = true;
  for (std::size_t i = 0; i < verdicts_.size(); ++i) {
    const door::Verdict verdict = verdicts_[i];
    const auto found = waiting_.find(verdict.call);
    if (found == waiting_.end()) continue;
    Waiting one = std::move(found->second);
    waiting_.erase(found);
    const TimeUs waited = runtime_->Now() - one.since;
    one.offer.patience_us -= std::min(one.offer.patience_us, waited);
    if (verdict.admitted) {
      core_->Take(one.offer, this, verdict.call);
    } else {
      core_->TakeRefused(one.offer, this, verdict.call, verdict.pause_us);
    }
  }
  verdicts_.clear();
  carrying_ = false;
  Restart();
}

void Intake::Restart() {
  timer_.Stop();
  const auto next = door_->NextAt();
  if (!next) return;
  const TimeUs now = runtime_->Now();
  timer_.Start(*next > now ? *next - now : 0, [this] {
    door_->OnTime(runtime_->Now(), &verdicts_);
    Carry();
  });
}

void Intake::HangUp(CallId call) {
  if (!door_ || subscribers_.erase(call) == 0) return core_->HangUp(call);
  if (const auto found = waiting_.find(call); found != waiting_.end()) {
    const Waiting one = std::move(found->second);
    waiting_.erase(found);
    core_->TakeHungUp(one.offer, call);
  } else {
    core_->HangUp(call);
  }
  door_->OnGone(call, runtime_->Now(), &verdicts_);
  Carry();
}

void Intake::StopTaking() {
  stopping_ = true;
  if (!door_) return;
  door_->Close(&verdicts_);
  Carry();
}

void Intake::OnTaken(CallId call) {
  if (const auto found = subscribers_.find(call); found != subscribers_.end()) found->second->OnTaken(call);
}

void Intake::OnFinal(CallId call, const core::FinalAnswer& answer) {
  const auto found = subscribers_.find(call);
  if (found == subscribers_.end()) return;
  core::Subscriber* subscriber = found->second;
  const bool stands = answer.kind == core::FinalKind::kStands;
  if (!stands) subscribers_.erase(found);
  subscriber->OnFinal(call, answer);
  door_->OnAnswered(call, stands, runtime_->Now(), &verdicts_);
  Carry();
}

void Intake::OnEnded(CallId call, core::ReleaseCause cause) {
  const auto found = subscribers_.find(call);
  if (found == subscribers_.end()) return;
  core::Subscriber* subscriber = found->second;
  subscribers_.erase(found);
  subscriber->OnEnded(call, cause);
}

}  // namespace croftrun::edge
