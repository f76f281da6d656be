#include "policy/failure_detector.h"

#include <algorithm>

namespace croftrun::policy {
namespace {

// Silence after which a sign of life is requested at the latest, and the interval at which the request is repeated.
constexpr TimeUs kMaxSilenceThreshold = 2'500'000, kConnectInterval = 500'000;
// The second connection is requested sooner, because the first may be the one in fifty that is never established.
constexpr TimeUs kSecondConnectInterval = 250'000;
// Lower bound of the silence threshold, however often reports arrive, because this process itself may stall at times.
constexpr TimeUs kMinSilenceThreshold = 1'000'000;
// Reports that arrive on several connections within this time count as one.
constexpr TimeUs kDuplicateReportWindow = 20'000;
constexpr TimeUs kProbeInterval = 1'000'000;
// If the holder has not answered a probe by then, a connection is requested.
constexpr TimeUs kProbeTimeout = 500'000;
// A requested connection counts as unanswered after this time. One that is established late takes up to one second.
constexpr TimeUs kUnansweredTimeout = 1'200'000;
// One connection in fifty is never established. Three in a row fail by chance once in 125,000 times, so they confirm a
// silence; two indicate an outage. The second of these may have been requested a little later.
constexpr std::size_t kMinUnansweredForSilence = 3, kMinUnansweredForOutage = 2;
constexpr TimeUs kSecondUnansweredTimeout = 700'000;
constexpr std::size_t kMaxRecentOpenings = 64;
// Number of suspicions tracked separately. If the process is replaced more often within the detection timeout, the last
// suspicion covers the further replacements as well.
constexpr std::size_t kMaxSuspicions = 8;
// A report denies the calls in question if its circuits can account for at most one in this many of them.
constexpr std::size_t kDenialRatio = 4;
// A circuit report tells the holder from a successor only until the successor has calls of its own.
constexpr TimeUs kMaxFreshConnectionAge = 1'000'000;
// Longest time from a reset to its reading, if this process stands still meanwhile.
constexpr TimeUs kMaxReadDelay = 2'500'000;
// A release in transit when a report denies its call arrives within the first of these times. One that was sent on a
// dead connection is repeated on the additional connection within the second.
constexpr TimeUs kDenialSuspicionTimeout = 300'000, kDenialConfirmationTimeout = 1'000'000;

}  // namespace

std::string_view NameOf(LivenessState state) {
  switch (state) {
    case LivenessState::kAlive:
      return "alive";
    case LivenessState::kQuiet:
      return "quiet";
    case LivenessState::kSuspected:
      return "doubtful";
  }
  return "";
}

bool DeniesMostCalls(const CircuitUse& use) {
  const std::size_t accounted_for = use.used + use.unsettled;
  return use.in_question > 0 && use.established > accounted_for &&
         2 * (use.established - accounted_for) > use.in_question;
}

bool DeniesNearlyAllCalls(const CircuitUse& use) {
  const std::size_t settled_since = use.established - use.in_question - use.unsettled;
  const std::size_t max_accounted_for = use.used - std::min(use.used, settled_since);
  if (use.in_question == 0) return false;
  return use.announced > 0 ? max_accounted_for == 0 : kDenialRatio * max_accounted_for <= use.in_question;
}

bool ConfirmsMostCalls(const CircuitUse& use) {
  const std::size_t others = use.established - use.in_question + use.pending;
  return use.used > others && 2 * (use.used - others) > use.in_question;
}

void FailureDetector::ConfirmHolder(TimeUs now) {
  RecordSignOfLife(now);
  ClearSuspicions(now);
}

void FailureDetector::ClearSuspicions(TimeUs alive_at) {
  confirmed_at_ = std::max(confirmed_at_, alive_at);
  suspicions_.clear();
  denied_at_ = 0;
  holder_probed_at_ = machine_reached_at_ = unproven_opened_at_ = others_opened_at_ = others_last_data_at_ = 0;
  give_up_not_before_ = 0;
  probe_newest_next_ = false;
  unconfirmed_since_ = 0;
}

void FailureDetector::RecordSignOfLife(TimeUs now) {
  last_sign_at_ = std::max(last_sign_at_, now);
  connect_requests_.clear();
}

void FailureDetector::AddSuspicion(TimeUs since) {
  if (suspicions_.size() >= kMaxSuspicions) {
    suspicions_.back().since = since;
    return;
  }
  suspicions_.push_back({since, suspicions_.empty() ? ConfirmedBefore(since) : last_sign_at_});
}

TimeUs FailureDetector::ConfirmedBefore(TimeUs time) const {
  const auto first = std::find_if(recent_openings_.begin(), recent_openings_.end(),
                                  [time](const Opening& opening) { return opening.at >= time; });
  return first == recent_openings_.end() ? confirmed_at_ : std::min(confirmed_at_, first->confirmed_before);
}

bool FailureDetector::HasOutlivedReset(TimeUs opened_at, TimeUs reset_last_sign_at, TimeUs now) {
  return opened_at < reset_last_sign_at || opened_at + kMaxReadDelay < now;
}

void FailureDetector::ConfirmProcess(TimeUs now, TimeUs known_since) {
  std::erase_if(suspicions_, [known_since](const Suspicion& suspicion) { return suspicion.since > known_since; });
  if (suspicions_.empty()) ConfirmHolder(now);
}

std::size_t FailureDetector::CountUnansweredConnects(TimeUs now) const {
  return static_cast<std::size_t>(
      std::count_if(connect_requests_.begin(), connect_requests_.end(),
                    [now](TimeUs requested_at) { return now >= requested_at + kUnansweredTimeout; }));
}

bool FailureDetector::IsUnreachable(TimeUs now) const {
  return connect_requests_.size() >= kMinUnansweredForOutage && now >= connect_requests_[0] + kUnansweredTimeout &&
         now >= connect_requests_[1] + kSecondUnansweredTimeout;
}

bool FailureDetector::IsQuiet(TimeUs now) const {
  const TimeUs last_sign = uses_probes_ ? confirmed_at_ : last_sign_at_;
  TimeUs threshold = kMaxSilenceThreshold;
  // The report interval, with a margin of one half, applies only if the last sign of life was data. After a newly
  // established connection without data the fixed threshold applies.
  if (report_interval_.HasEstimate() && last_data_at_ == last_sign)
    threshold = std::clamp(report_interval_.MaxExpectedInterval() * 3 / 2, kMinSilenceThreshold, kMaxSilenceThreshold);
  if (decision_deadline_ != 0) threshold = std::min(threshold, kMinSilenceThreshold);
  return now >= last_sign + threshold;
}

bool FailureDetector::IsHolderConnection(TimeUs connection_opened_at) const {
  return suspicions_.empty() ? connection_opened_at <= confirmed_at_ : connection_opened_at < suspicions_.back().since;
}

void FailureDetector::OnFirstCall(TimeUs alive_at) {
  ConfirmHolder(alive_at);
  last_data_at_ = alive_at;
}

void FailureDetector::OnDataReceived(TimeUs now, TimeUs connection_opened_at) {
  last_data_at_ = now;
  RecordSignOfLife(now);
  if (!suspicions_.empty()) return ConfirmProcess(now, connection_opened_at);
  if (denied_at_ != 0) {
    if (connection_opened_at < denied_before_) ConfirmHolder(now);
    return;
  }
  if (!uses_probes_ || IsHolderConnection(connection_opened_at)) return ConfirmHolder(now);
  others_opened_at_ = others_opened_at_ == 0 ? connection_opened_at : std::min(others_opened_at_, connection_opened_at);
  others_last_data_at_ = now;
}

void FailureDetector::OnConnectionOpened(TimeUs now, std::size_t established) {
  const bool announcement_overdue = unconfirmed_since_ != 0 && now >= unconfirmed_since_ + kUnansweredTimeout;
  if ((IsUnreachable(now) || announcement_overdue) && established > 0) {
    // The exchange was unreachable, so its process may have been replaced. All its calls predate this connection.
    AddSuspicion(now);
    next_probe_at_ = now;
    unconfirmed_since_ = 0;
  }
  RecordSignOfLife(now);
  if (!suspicions_.empty() || denied_at_ != 0) return;
  std::erase_if(recent_openings_, [now](const Opening& opening) { return opening.at + kMaxReadDelay < now; });
  if (recent_openings_.size() < kMaxRecentOpenings) recent_openings_.push_back({now, confirmed_at_});
  if (!uses_probes_) return ConfirmHolder(now);
  // The machine is reachable. Only the older connections can show whether the process is still the same.
  if (holder_probed_at_ == 0 || machine_reached_at_ != 0) return;
  if (unproven_opened_at_ == 0) unproven_opened_at_ = now;
  machine_reached_at_ = now;
  probe_newest_next_ = true;
  next_probe_at_ = now;
}

void FailureDetector::OnConnectionClosed(TimeUs now, TimeUs connection_opened_at, std::size_t others_open,
                                         std::size_t established, TimeUs unproven_opened_at) {
  if (reset_at_ != 0 && now <= reset_at_ + kMaxReadDelay)
    return OnConnectionReset(now, others_open, established, unproven_opened_at);
  RecordSignOfLife(now);
  if (!suspicions_.empty() || denied_at_ != 0) return;
  if (!uses_probes_ || IsHolderConnection(connection_opened_at)) ConfirmHolder(now);
}

void FailureDetector::OnConnectionReset(TimeUs now, std::size_t others_open, std::size_t established,
                                        TimeUs unproven_opened_at) {
  reset_at_ = now;
  if (others_open > 0 || established == 0) return;
  const TimeUs changed_at = unproven_opened_at != 0 ? std::min(now, unproven_opened_at) : now;
  // The resets of one process are read one after the other.
  if (!suspicions_.empty() && unproven_opened_at != 0 && changed_at <= suspicions_.back().since) return;
  AddSuspicion(suspicions_.empty() ? FirstUnprovenConnection(changed_at) : changed_at);
  denied_at_ = 0;
}

TimeUs FailureDetector::FirstUnprovenConnection(TimeUs now) const {
  TimeUs first = now;
  if (others_opened_at_ != 0) first = std::min(first, others_opened_at_);
  if (unproven_opened_at_ != 0) first = std::min(first, unproven_opened_at_);
  return first;
}

void FailureDetector::OnUnconfirmedCallAnnounced(TimeUs now) {
  if (unconfirmed_since_ == 0) unconfirmed_since_ = now;
}

void FailureDetector::OnCallConfirmed(TimeUs now, TimeUs established_at) {
  if (denied_at_ != 0) return ConfirmHolder(now);
  ConfirmProcess(now, established_at);
}

void FailureDetector::OnReportReceived(TimeUs now) {
  report_interval_.RecordEvent(now, kDuplicateReportWindow, kMaxSilenceThreshold);
}

TimeUs FailureDetector::CallsInQuestionBefore(TimeUs connection_opened_at) const {
  if (!suspicions_.empty()) return suspicions_.back().since;
  return denied_at_ != 0 ? denied_before_ : connection_opened_at;
}

bool FailureDetector::OnCircuitReport(TimeUs now, TimeUs connection_opened_at, const CircuitUse& use) {
  if (connection_opened_at < CallsInQuestionBefore(connection_opened_at)) return false;
  if (!suspicions_.empty() && denied_at_ == 0 && DeniesMostCalls(use)) {
    give_up_before_ = suspicions_.back().since;
    return true;
  }
  const bool is_fresh = now - connection_opened_at <= kMaxFreshConnectionAge;
  // Circuits of set-ups that are about to be answered would make up for calls that are gone.
  const bool all_accounted_for = use.used >= use.established + use.pending && (is_fresh || denied_at_ != 0);
  if (all_accounted_for || (denied_at_ != 0 && ConfirmsMostCalls(use))) {
    ConfirmHolder(now);
  } else if (suspicions_.empty() && denied_at_ == 0 && DeniesNearlyAllCalls(use)) {
    denied_at_ = now;
    denied_before_ = connection_opened_at;
  }
  return false;
}

void FailureDetector::OnAllCallsAccountedFor(TimeUs now) { ConfirmHolder(now); }

void FailureDetector::OnCallsGivenUp() {
  std::erase_if(suspicions_, [this](const Suspicion& suspicion) { return suspicion.since <= give_up_before_; });
  // The remaining calls belong to the process that gave the last sign of life.
  if (suspicions_.empty()) ClearSuspicions(last_sign_at_);
}

void FailureDetector::ForgetSuspicionsUpTo(TimeUs oldest_connection_opened_at) {
  const bool was_suspected = !suspicions_.empty();
  std::erase_if(suspicions_, [oldest_connection_opened_at](const Suspicion& suspicion) {
    return suspicion.since <= oldest_connection_opened_at;
  });
  if (was_suspected && suspicions_.empty()) ClearSuspicions(last_sign_at_);
}

TimeUs FailureDetector::GiveUpDeadline(TimeUs connection_opened_at) const {
  const auto found = std::find_if(
      suspicions_.begin(), suspicions_.end(),
      [connection_opened_at](const Suspicion& suspicion) { return connection_opened_at < suspicion.since; });
  return found == suspicions_.end() ? 0 : found->alive_at + settings_.detection_timeout_us;
}

TimeUs FailureDetector::ReplacementCutoff(TimeUs now) const {
  if (suspicions_.empty()) return 0;
  const bool denial_confirmed = denied_at_ != 0 && now >= denied_at_ + kDenialConfirmationTimeout;
  if (denial_confirmed || IsDecisionDue(now)) return suspicions_.back().since;
  const Suspicion& oldest = suspicions_.front();
  const bool timeout_expired = now >= std::max(oldest.alive_at + settings_.detection_timeout_us, give_up_not_before_);
  return timeout_expired ? oldest.since : 0;
}

LivenessAction FailureDetector::NextAction(TimeUs now, bool may_probe, bool holder_open) {
  uses_probes_ = may_probe && holder_open && suspicions_.empty() && !report_interval_.HasEvents();
  if (suspicions_.empty() && denied_at_ != 0 && (now >= denied_at_ + kDenialSuspicionTimeout || IsDecisionDue(now))) {
    AddSuspicion(denied_before_);
    next_probe_at_ = now + kProbeInterval;
    return LivenessAction::kConnect;
  }
  if (const TimeUs replaced_before = ReplacementCutoff(now); replaced_before != 0) {
    give_up_before_ = replaced_before;
    return LivenessAction::kGiveUpReplaced;
  }
  const bool timeout_expired = now >= last_sign_at_ + settings_.detection_timeout_us;
  if ((timeout_expired && CountUnansweredConnects(now) >= kMinUnansweredForSilence) ||
      (IsDecisionDue(now) && IsUnreachable(now))) {
    give_up_before_ = now + 1;
    return LivenessAction::kGiveUpSilent;
  }
  if (!suspicions_.empty() && may_probe && now >= next_probe_at_) {
    next_probe_at_ = now + kProbeInterval;
    return LivenessAction::kProbeHolder;
  }
  if (!IsQuiet(now)) return LivenessAction::kNone;
  return uses_probes_ ? NextProbeAction(now) : NextConnectAction(now);
}

LivenessAction FailureDetector::NextConnectAction(TimeUs now) {
  const TimeUs interval = connect_requests_.size() == 1 ? kSecondConnectInterval : kConnectInterval;
  if (!connect_requests_.empty() && now < connect_requests_.back() + interval) return LivenessAction::kNone;
  connect_requests_.push_back(now);
  return LivenessAction::kConnect;
}

LivenessAction FailureDetector::NextProbeAction(TimeUs now) {
  if (holder_probed_at_ == 0) {
    holder_probed_at_ = now;
    return LivenessAction::kProbeHolder;
  }
  if (now < holder_probed_at_ + kProbeTimeout) return LivenessAction::kNone;
  if (others_last_data_at_ >= holder_probed_at_) {
    AddSuspicion(others_opened_at_);
    next_probe_at_ = now;
    give_up_not_before_ = now + kProbeInterval;
    return LivenessAction::kNone;
  }
  // The machine counts as reachable for a limited time only.
  if (machine_reached_at_ != 0 && now >= machine_reached_at_ + kMaxSilenceThreshold) machine_reached_at_ = 0;
  if (machine_reached_at_ == 0) return NextConnectAction(now);
  if (now < next_probe_at_) return LivenessAction::kNone;
  next_probe_at_ = now + kProbeInterval;
  probe_newest_next_ = !probe_newest_next_;
  return probe_newest_next_ ? LivenessAction::kProbeHolder : LivenessAction::kProbeNewest;
}

LivenessState FailureDetector::state(TimeUs now) const {
  if (!suspicions_.empty()) return LivenessState::kSuspected;
  return IsQuiet(now) ? LivenessState::kQuiet : LivenessState::kAlive;
}

}  // namespace croftrun::policy
