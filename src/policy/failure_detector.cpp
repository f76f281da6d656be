#include "policy/failure_detector.h"

#include <algorithm>

namespace croftrun::policy {
namespace {

// A sign of life is asked for after this much silence, and again at this gap while none comes.
constexpr TimeUs kQuietAfter = 2'500'000, kConnectGap = 500'000;
// The second one follows sooner, as one that does not come up at once may be the one in fifty.
constexpr TimeUs kSecondConnectAfter = 250'000;
// The shortest silence that is out of the ordinary, however often reports come: the own process stands still at times.
constexpr TimeUs kQuietAtLeast = 1'000'000;
// Reports that come together on several connections are one.
constexpr TimeUs kSameReport = 20'000;
constexpr TimeUs kProbeGap = 1'000'000;
// A test that was not answered by then goes on as a connection.
constexpr TimeUs kProbeWithin = 500'000;
// Connections that come up late do so within a second.
constexpr TimeUs kLongerThanLate = 1'200'000;
// One connection in fifty never comes up: three in a row do so once in 125,000 times, two mark an outage. The second of
// these may have been asked for a little later.
constexpr std::size_t kUnansweredOfSilence = 3, kUnansweredOfOutage = 2;
constexpr TimeUs kSecondIsLate = 700'000;
// Doubts that are told apart: a process that is replaced more often within the time for one is in doubt as a whole.
constexpr std::size_t kMostDoubts = 8;
// A report denies calls that stood if at most one in so many can be among its circuits.
constexpr std::size_t kFewKnown = 4;
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

bool DeniesMost(const CircuitUse& use) {
  const std::size_t known = use.used + use.unsettled;
  return use.standing_before > 0 && use.standing > known && 2 * (use.standing - known) > use.standing_before;
}

bool DeniesAll(const CircuitUse& use) {
  const std::size_t settled_since = use.standing - use.standing_before - use.unsettled;
  const std::size_t known_at_most = use.used - std::min(use.used, settled_since);
  if (use.standing_before == 0) return false;
  return use.announced > 0 ? known_at_most == 0 : kFewKnown * known_at_most <= use.standing_before;
}

bool KnowsMost(const CircuitUse& use) {
  const std::size_t others = use.standing - use.standing_before + use.pending;
  return use.used > others && 2 * (use.used - others) > use.standing_before;
}

void FailureDetector::Confirm(TimeUs now) {
  OnSign(now);
  TrustFrom(now);
}

void FailureDetector::TrustFrom(TimeUs time) {
  confirmed_at_ = std::max(confirmed_at_, time);
  doubts_.clear();
  denied_at_ = 0;
  probed_at_ = reached_at_ = others_since_ = others_heard_at_ = 0;
  give_up_from_ = 0;
  newest_next_ = false;
  unconfirmed_since_ = 0;
}

void FailureDetector::OnSign(TimeUs now) {
  last_sign_ = std::max(last_sign_, now);
  asked_.clear();
}

void FailureDetector::DoubtSince(TimeUs since) {
  if (doubts_.size() >= kMostDoubts) {
    doubts_.back().since = since;
    return;
  }
  doubts_.push_back({since, doubts_.empty() ? confirmed_at_ : last_sign_});
}

void FailureDetector::Prove(TimeUs now, TimeUs known_since) {
  std::erase_if(doubts_, [known_since](const Doubt& doubt) { return doubt.since > known_since; });
  if (doubts_.empty()) Confirm(now);
}

std::size_t FailureDetector::Unanswered(TimeUs now) const {
  return static_cast<std::size_t>(
      std::count_if(asked_.begin(), asked_.end(), [now](TimeUs asked) { return now >= asked + kLongerThanLate; }));
}

bool FailureDetector::OutOfReach(TimeUs now) const {
  return asked_.size() >= kUnansweredOfOutage && now >= asked_[0] + kLongerThanLate && now >= asked_[1] + kSecondIsLate;
}

bool FailureDetector::Quiet(TimeUs now) const {
  const TimeUs last = by_probe_ ? confirmed_at_ : last_sign_;
  TimeUs after = kQuietAfter;
  // The rhythm of reports, with a half to spare, tells only while they come: after a connection alone the clock does.
  if (report_interval_.known() && heard_at_ == last)
    after = std::clamp(report_interval_.LongestExpected() * 3 / 2, kQuietAtLeast, kQuietAfter);
  if (settle_by_ != 0) after = std::min(after, kQuietAtLeast);
  return now >= last + after;
}

bool FailureDetector::IsOfHolder(TimeUs connection_opened_at) const {
  return doubts_.empty() ? connection_opened_at <= confirmed_at_ : connection_opened_at < doubts_.back().since;
}

void FailureDetector::OnFirstCall(TimeUs now) {
  Confirm(now);
  heard_at_ = now;
}

void FailureDetector::OnOctets(TimeUs now, TimeUs connection_opened_at) {
  heard_at_ = now;
  OnSign(now);
  if (!doubts_.empty()) return Prove(now, connection_opened_at);
  if (denied_at_ != 0) {
    if (connection_opened_at < denied_before_) Confirm(now);
    return;
  }
  if (!by_probe_ || IsOfHolder(connection_opened_at)) return Confirm(now);
  others_since_ = others_since_ == 0 ? connection_opened_at : std::min(others_since_, connection_opened_at);
  others_heard_at_ = now;
}

void FailureDetector::OnConnectionOpened(TimeUs now, std::size_t standing) {
  const bool announced_long_ago = unconfirmed_since_ != 0 && now >= unconfirmed_since_ + kLongerThanLate;
  if ((OutOfReach(now) || announced_long_ago) && standing > 0) {
    // It was out of reach: another process may be there by now. Whatever stands there stood before this connection.
    DoubtSince(now);
    next_probe_ = now;
    unconfirmed_since_ = 0;
  }
  OnSign(now);
  if (!doubts_.empty() || denied_at_ != 0) return;
  if (!by_probe_) return Confirm(now);
  // Its machine can be reached: whether the process is still the same has to be shown by the older connections.
  if (probed_at_ == 0 || reached_at_ != 0) return;
  reached_at_ = now;
  newest_next_ = true;
  next_probe_ = now;
}

void FailureDetector::OnConnectionClosed(TimeUs now, TimeUs connection_opened_at) {
  OnSign(now);
  if (!doubts_.empty() || denied_at_ != 0) return;
  if (!by_probe_ || IsOfHolder(connection_opened_at)) Confirm(now);
}

void FailureDetector::OnConnectionReset(TimeUs now, std::size_t others_open, std::size_t standing) {
  if (others_open > 0 || standing == 0) return;
  DoubtSince(doubts_.empty() && others_since_ != 0 ? others_since_ : now);
  denied_at_ = 0;
}

void FailureDetector::OnUnconfirmedCall(TimeUs now) {
  if (unconfirmed_since_ == 0) unconfirmed_since_ = now;
}

void FailureDetector::OnCallKnown(TimeUs now, TimeUs stood_at) {
  if (denied_at_ != 0) return Confirm(now);
  Prove(now, stood_at);
}

void FailureDetector::OnReport(TimeUs now) { report_interval_.OnEvent(now, kSameReport, kQuietAfter); }

TimeUs FailureDetector::CallsInQuestion(TimeUs connection_opened_at) const {
  if (!doubts_.empty()) return doubts_.back().since;
  return denied_at_ != 0 ? denied_before_ : connection_opened_at;
}

bool FailureDetector::OnCircuits(TimeUs now, TimeUs connection_opened_at, const CircuitUse& use) {
  if (connection_opened_at < CallsInQuestion(connection_opened_at)) return false;
  if (!doubts_.empty() && denied_at_ == 0 && DeniesMost(use)) {
    give_up_before_ = doubts_.back().since;
    return true;
  }
  const bool fresh = now - connection_opened_at <= kReportIsFresh;
  const bool all_counted = use.used >= use.standing && (fresh || denied_at_ != 0);
  if (all_counted || (denied_at_ != 0 && KnowsMost(use))) {
    Confirm(now);
  } else if (doubts_.empty() && denied_at_ == 0 && DeniesAll(use)) {
    denied_at_ = now;
    denied_before_ = connection_opened_at;
  }
  return false;
}

void FailureDetector::OnCallsCounted(TimeUs now) { Confirm(now); }

void FailureDetector::OnGivenUp() {
  std::erase_if(doubts_, [this](const Doubt& doubt) { return doubt.since <= give_up_before_; });
  // The calls that are left are of the process that gave the last sign.
  if (doubts_.empty()) TrustFrom(last_sign_);
}

TimeUs FailureDetector::ReplacedBefore(TimeUs now) const {
  if (doubts_.empty()) return 0;
  const bool denied = denied_at_ != 0 && now >= denied_at_ + kDenialIsCertain;
  if (denied || Settling(now)) return doubts_.back().since;
  const Doubt& oldest = doubts_.front();
  const bool time_is_up = now >= std::max(oldest.alive_at + settings_.detect_within_us, give_up_from_);
  return time_is_up ? oldest.since : 0;
}

LivenessAction FailureDetector::Next(TimeUs now, bool may_probe, bool holder_open) {
  by_probe_ = may_probe && holder_open && doubts_.empty() && !report_interval_.seen();
  if (doubts_.empty() && denied_at_ != 0 && (now >= denied_at_ + kDenialIsDoubt || Settling(now))) {
    DoubtSince(denied_before_);
    next_probe_ = now + kProbeGap;
    return LivenessAction::kConnect;
  }
  if (const TimeUs replaced_before = ReplacedBefore(now); replaced_before != 0) {
    give_up_before_ = replaced_before;
    return LivenessAction::kGiveUpReplaced;
  }
  const bool time_is_up = now >= last_sign_ + settings_.detect_within_us;
  if ((time_is_up && Unanswered(now) >= kUnansweredOfSilence) || (Settling(now) && OutOfReach(now))) {
    give_up_before_ = now + 1;
    return LivenessAction::kGiveUpSilent;
  }
  if (!doubts_.empty() && may_probe && now >= next_probe_) {
    next_probe_ = now + kProbeGap;
    return LivenessAction::kProbe;
  }
  if (!Quiet(now)) return LivenessAction::kNone;
  return by_probe_ ? NextByProbe(now) : NextConnect(now);
}

LivenessAction FailureDetector::NextConnect(TimeUs now) {
  const TimeUs gap = asked_.size() == 1 ? kSecondConnectAfter : kConnectGap;
  if (!asked_.empty() && now < asked_.back() + gap) return LivenessAction::kNone;
  asked_.push_back(now);
  return LivenessAction::kConnect;
}

LivenessAction FailureDetector::NextByProbe(TimeUs now) {
  if (probed_at_ == 0) {
    probed_at_ = now;
    return LivenessAction::kProbe;
  }
  if (now < probed_at_ + kProbeWithin) return LivenessAction::kNone;
  if (others_heard_at_ >= probed_at_) {
    DoubtSince(others_since_);
    next_probe_ = now;
    give_up_from_ = now + kProbeGap;
    return LivenessAction::kNone;
  }
  if (reached_at_ != 0 && now >= reached_at_ + kQuietAfter) reached_at_ = 0;  // it has to be shown again
  if (reached_at_ == 0) return NextConnect(now);
  if (now < next_probe_) return LivenessAction::kNone;
  next_probe_ = now + kProbeGap;
  newest_next_ = !newest_next_;
  return newest_next_ ? LivenessAction::kProbe : LivenessAction::kProbeNewest;
}

LivenessState FailureDetector::state(TimeUs now) const {
  if (!doubts_.empty()) return LivenessState::kDoubtful;
  return Quiet(now) ? LivenessState::kQuiet : LivenessState::kAlive;
}

}  // namespace croftrun::policy
