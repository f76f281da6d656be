#include "policy/failure_detector.h"

#include <algorithm>

namespace croftrun::policy {
namespace {

// A sign of life is asked for after this much silence, and again at this gap while none comes. An outage of four
// seconds that begins with the silence is noticed; one of three that begins just before the first question is over
// before the calls are given up.
constexpr TimeUs kQuietAfter = 2'500'000, kConnectGap = 500'000;
constexpr TimeUs kProbeGap = 1'000'000;
// Connections that come up late do so within a second.
constexpr TimeUs kLongerThanLate = 1'200'000;
// One connection in fifty never comes up: three in a row do so once in 125,000 times, two mark an outage.
constexpr std::size_t kUnansweredOfSilence = 3, kUnansweredOfOutage = 2;
// A report of circuits tells a successor from the process that holds the calls only before the successor has calls too.
constexpr TimeUs kReportIsFresh = 1'000'000;

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

bool DeniesCalls(std::size_t used, std::size_t standing) { return 2 * used < standing; }

void FailureDetector::Confirm(TimeUs now) {
  confirmed_at_ = std::max(confirmed_at_, now);
  doubt_since_ = 0;
  unconfirmed_since_ = 0;
  asked_.clear();
}

std::size_t FailureDetector::Unanswered(TimeUs now) const {
  return static_cast<std::size_t>(
      std::count_if(asked_.begin(), asked_.end(), [now](TimeUs asked) { return now >= asked + kLongerThanLate; }));
}

void FailureDetector::OnFirstCall(TimeUs now) { Confirm(now); }

void FailureDetector::OnOctets(TimeUs now, TimeUs connection_opened_at) {
  if (doubt_since_ == 0 || connection_opened_at < doubt_since_) Confirm(now);
}

void FailureDetector::OnConnectionOpened(TimeUs now, std::size_t standing) {
  if (doubt_since_ != 0) return;
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
  if (doubt_since_ == 0) Confirm(now);
}

void FailureDetector::OnConnectionReset(TimeUs now, std::size_t others_open, std::size_t standing) {
  if (others_open > 0 || standing == 0 || doubt_since_ != 0) return;
  doubt_since_ = now;
}

void FailureDetector::OnUnconfirmedCall(TimeUs now) {
  if (unconfirmed_since_ == 0) unconfirmed_since_ = now;
}

void FailureDetector::OnCallKnown(TimeUs now) { Confirm(now); }

bool FailureDetector::OnCircuits(TimeUs now, TimeUs connection_opened_at, const CircuitUse& use) {
  if (doubt_since_ == 0 || connection_opened_at < doubt_since_) return false;
  if (DeniesCalls(use.used, use.standing_before)) return true;
  if (use.used >= use.standing && now - connection_opened_at <= kReportIsFresh) Confirm(now);
  return false;
}

void FailureDetector::OnGivenUp(TimeUs now) { Confirm(now); }

LivenessAction FailureDetector::Next(TimeUs now, bool may_probe) {
  const bool time_is_up = now >= confirmed_at_ + settings_.detect_within_us;
  if (doubt_since_ != 0 && time_is_up) return LivenessAction::kGiveUpReplaced;
  if (time_is_up && Unanswered(now) >= kUnansweredOfSilence) return LivenessAction::kGiveUpSilent;
  if (doubt_since_ != 0 && may_probe && now >= next_probe_) {
    next_probe_ = now + kProbeGap;
    return LivenessAction::kProbe;
  }
  if (now < confirmed_at_ + kQuietAfter || doubt_since_ != 0) return LivenessAction::kNone;
  if (!asked_.empty() && now < asked_.back() + kConnectGap) return LivenessAction::kNone;
  asked_.push_back(now);
  return LivenessAction::kConnect;
}

LivenessState FailureDetector::state(TimeUs now) const {
  if (doubt_since_ != 0) return LivenessState::kDoubtful;
  return now >= confirmed_at_ + kQuietAfter ? LivenessState::kQuiet : LivenessState::kAlive;
}

}  // namespace croftrun::policy
