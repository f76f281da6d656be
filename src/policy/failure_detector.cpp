#include "policy/failure_detector.h"

#include <algorithm>

namespace croftrun::policy {
namespace {

// A sign of life is asked for after this much silence, and again at this gap while none comes. An outage of four
// seconds that begins with the silence is noticed; one of three that begins just before the first question is over
// before the calls are given up.
constexpr TimeUs kQuietAfter = 2'500'000, kConnectGap = 500'000;
// The same silence once the calls are to be settled by a certain time.
constexpr TimeUs kQuietBeforeSettling = 1'000'000;
constexpr TimeUs kProbeGap = 1'000'000;
// Connections that come up late do so within a second.
constexpr TimeUs kLongerThanLate = 1'200'000;
// One connection in fifty never comes up: three in a row do so once in 125,000 times, two mark an outage.
constexpr std::size_t kUnansweredOfSilence = 3, kUnansweredOfOutage = 2;
// A report of circuits tells a successor from the process that holds the calls only before the successor has calls too.
constexpr TimeUs kReportIsFresh = 1'000'000;
// A release that overtook no report is here by the first; one that was sent on a dead connection comes on the further
// one by the second.
constexpr TimeUs kDenialIsDoubt = 300'000, kDenialIsCertain = 1'000'000;

}  // namespace

std::string_view NameOf(LivenessState state) {
  switch (state) {
    case LivenessState::kAlive:
      return "alive";
    case LivenessState::kQuiet:
      return "quiet";
    case LivenessState::kDoubtful:
      return "doubtful";
  }
  return "";
}

bool DeniesCalls(const CircuitUse& use) {
  const std::size_t known = use.used + use.unsettled;
  return use.standing_before > 0 && use.standing > known && 2 * (use.standing - known) > use.standing_before;
}

void FailureDetector::Confirm(TimeUs now) {
  confirmed_at_ = std::max(confirmed_at_, now);
  doubt_since_ = 0;
  denied_at_ = 0;
  unconfirmed_since_ = 0;
  asked_.clear();
}

std::size_t FailureDetector::Unanswered(TimeUs now) const {
  return static_cast<std::size_t>(
      std::count_if(asked_.begin(), asked_.end(), [now](TimeUs asked) { return now >= asked + kLongerThanLate; }));
}

void FailureDetector::OnFirstCall(TimeUs now) { Confirm(now); }

void FailureDetector::OnOctets(TimeUs now, TimeUs connection_opened_at) {
  const TimeUs in_question = doubt_since_ != 0 ? doubt_since_ : denied_at_ != 0 ? denied_before_ : 0;
  if (in_question == 0 || connection_opened_at < in_question) Confirm(now);
}

void FailureDetector::OnConnectionOpened(TimeUs now, std::size_t standing) {
  if (doubt_since_ != 0 || denied_at_ != 0) return;
  const bool announced_long_ago = unconfirmed_since_ != 0 && now >= unconfirmed_since_ + kLongerThanLate;
  if ((Unanswered(now) >= kUnansweredOfOutage || announced_long_ago) && standing > 0) {
    // It was out of reach: another process may be there by now. Whatever stands there stood before this connection.
    doubt_since_ = now;
    next_probe_ = now;
    return;
  }
  Confirm(now);
}

void FailureDetector::OnConnectionClosed(TimeUs now) {
  if (doubt_since_ == 0 && denied_at_ == 0) Confirm(now);
}

void FailureDetector::OnConnectionReset(TimeUs now, std::size_t others_open, std::size_t standing) {
  if (others_open > 0 || standing == 0 || doubt_since_ != 0) return;
  doubt_since_ = now;
  denied_at_ = 0;
}

void FailureDetector::OnUnconfirmedCall(TimeUs now) {
  if (unconfirmed_since_ == 0) unconfirmed_since_ = now;
}

void FailureDetector::OnCallKnown(TimeUs now) { Confirm(now); }

TimeUs FailureDetector::CallsInQuestion(TimeUs connection_opened_at) const {
  if (doubt_since_ != 0) return doubt_since_;
  return denied_at_ != 0 ? denied_before_ : connection_opened_at;
}

bool FailureDetector::OnCircuits(TimeUs now, TimeUs connection_opened_at, const CircuitUse& use) {
  if (connection_opened_at < CallsInQuestion(connection_opened_at)) return false;
  const bool in_doubt_without_denial = doubt_since_ != 0 && denied_at_ == 0;
  if (DeniesCalls(use)) {
    if (in_doubt_without_denial) return true;
    if (denied_at_ == 0) {
      denied_at_ = now;
      denied_before_ = connection_opened_at;
    }
    return false;
  }
  const bool fresh = now - connection_opened_at <= kReportIsFresh;
  if (use.used >= use.standing && (fresh || denied_at_ != 0)) Confirm(now);
  return false;
}

void FailureDetector::OnCallsCounted(TimeUs now) { Confirm(now); }

void FailureDetector::OnGivenUp(TimeUs now) { Confirm(now); }

LivenessAction FailureDetector::Next(TimeUs now, bool may_probe) {
  if (doubt_since_ == 0 && denied_at_ != 0 && (now >= denied_at_ + kDenialIsDoubt || Settling(now))) {
    doubt_since_ = denied_before_;
    next_probe_ = now + kProbeGap;
    return LivenessAction::kConnect;
  }
  if (doubt_since_ != 0) return NextInDoubt(now, may_probe);
  const bool time_is_up = now >= confirmed_at_ + settings_.detect_within_us;
  const bool out_of_reach = Unanswered(now) >= kUnansweredOfOutage;
  if ((time_is_up && Unanswered(now) >= kUnansweredOfSilence) || (out_of_reach && Settling(now)))
    return LivenessAction::kGiveUpSilent;
  if (now < confirmed_at_ + (settle_by_ == 0 ? kQuietAfter : kQuietBeforeSettling)) return LivenessAction::kNone;
  if (!asked_.empty() && now < asked_.back() + kConnectGap) return LivenessAction::kNone;
  asked_.push_back(now);
  return LivenessAction::kConnect;
}

LivenessAction FailureDetector::NextInDoubt(TimeUs now, bool may_probe) {
  const bool denied = denied_at_ != 0 && now >= denied_at_ + kDenialIsCertain;
  if (denied || Settling(now) || now >= confirmed_at_ + settings_.detect_within_us)
    return LivenessAction::kGiveUpReplaced;
  if (may_probe && now >= next_probe_) {
    next_probe_ = now + kProbeGap;
    return LivenessAction::kProbe;
  }
  return LivenessAction::kNone;
}

LivenessState FailureDetector::state(TimeUs now) const {
  if (doubt_since_ != 0) return LivenessState::kDoubtful;
  return now >= confirmed_at_ + kQuietAfter ? LivenessState::kQuiet : LivenessState::kAlive;
}

}  // namespace croftrun::policy
