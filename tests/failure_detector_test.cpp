// Tests of the failure detector: which evidence keeps the calls at an exchange, and when they are given up.
#include "policy/failure_detector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace croftrun::policy {
namespace {

constexpr TimeUs kMs = 1'000, kSecond = 1'000'000;
constexpr TimeUs kNotificationTimeout = 8 * kSecond;

// An exchange with established calls, and the connections that the detector requests.
class FailureDetectorTest : public ::testing::Test {
 protected:
  // How requested connections are established: at once, never, or one second late.
  enum class Network { kUp, kDown, kLate };

  FailureDetectorTest() : detector_({}) {
    detector_.OnConnectionOpened(now_, 0);
    detector_.OnFirstCall(now_);
  }
  // Runs until `until` or until the calls are given up. Returns the decision and leaves its time in now_.
  LivenessAction RunUntil(TimeUs until, Network network, bool may_probe = false) {
    while (now_ < until) {
      now_ += kLivenessCheckInterval;
      for (auto at = pending_connects_.begin(); at != pending_connects_.end();) {
        const bool up = network == Network::kUp || (network == Network::kLate && now_ >= *at + kSecond);
        if (up) detector_.OnConnectionOpened(now_, kEstablished);
        at = up || now_ >= *at + kLivenessConnectTimeout ? pending_connects_.erase(at) : at + 1;
      }
      const LivenessAction action = detector_.NextAction(now_, may_probe);
      if (action == LivenessAction::kConnect) {
        pending_connects_.push_back(now_);
        ++connects_;
      } else if (action == LivenessAction::kProbeHolder) {
        ++probes_;
      } else if (action != LivenessAction::kNone) {
        return action;
      }
    }
    return LivenessAction::kNone;
  }

  static constexpr std::size_t kEstablished = 3;
  TimeUs now_ = 100 * kSecond;
  FailureDetector detector_;
  std::vector<TimeUs> pending_connects_;
  int connects_ = 0, probes_ = 0;
};

TEST_F(FailureDetectorTest, GivesUpCallsInTimeWhenMachineFails) {
  const TimeUs failed_at = now_;
  EXPECT_EQ(RunUntil(failed_at + 20 * kSecond, Network::kDown), LivenessAction::kGiveUpSilent);
  EXPECT_LT(now_, failed_at + kNotificationTimeout);
  EXPECT_GT(now_, failed_at + 7 * kSecond);
}

TEST_F(FailureDetectorTest, KeepsCallsOfQuietExchangeAtTwoConnectionsInFiveSeconds) {
  EXPECT_EQ(RunUntil(now_ + 300 * kSecond, Network::kUp), LivenessAction::kNone);
  EXPECT_EQ(probes_, 0);
  EXPECT_GE(connects_, 100);
  EXPECT_LE(connects_, 120);
}

TEST_F(FailureDetectorTest, RequestsNoConnectionWhileDataArrives) {
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(RunUntil(now_ + kSecond, Network::kDown), LivenessAction::kNone);
    detector_.OnDataReceived(now_, kSecond);
  }
  EXPECT_EQ(connects_, 0);
}

TEST_F(FailureDetectorTest, KeepsCallsWhenConnectionsAreOneSecondLate) {
  EXPECT_EQ(RunUntil(now_ + 100 * kSecond, Network::kLate), LivenessAction::kNone);
}

TEST_F(FailureDetectorTest, KeepsCallsWhenOneConnectionIsNeverEstablished) {
  const TimeUs quiet = now_ + 2'600 * kMs;
  RunUntil(quiet, Network::kDown);
  ASSERT_EQ(connects_, 1);
  EXPECT_EQ(RunUntil(now_ + 60 * kSecond, Network::kUp), LivenessAction::kNone);
}

TEST_F(FailureDetectorTest, KeepsCallsAfterShortOutageWhenOldConnectionCarriesData) {
  // The outage begins just before the first sign of life is requested.
  RunUntil(now_ + 2'400 * kMs, Network::kUp);
  RunUntil(now_ + 3 * kSecond, Network::kDown);
  RunUntil(now_ + 400 * kMs, Network::kUp);
  detector_.OnDataReceived(now_, 99 * kSecond);
  EXPECT_EQ(detector_.state(now_), LivenessState::kAlive);
  EXPECT_EQ(RunUntil(now_ + 60 * kSecond, Network::kUp), LivenessAction::kNone);
}

TEST_F(FailureDetectorTest, GivesUpCallsAfterOutageWithoutEvidenceOfHolder) {
  const TimeUs failed_at = now_;
  RunUntil(now_ + 4'300 * kMs, Network::kDown);
  const LivenessAction action = RunUntil(now_ + 20 * kSecond, Network::kUp);
  EXPECT_EQ(action, LivenessAction::kGiveUpReplaced);
  EXPECT_LT(now_, failed_at + kNotificationTimeout);
  EXPECT_GT(detector_.suspected_since(), failed_at);
}

TEST_F(FailureDetectorTest, SuspectsReplacementOnlyWhenLastConnectionIsReset) {
  detector_.OnConnectionReset(now_, 1, kEstablished);
  EXPECT_EQ(detector_.state(now_), LivenessState::kAlive);
  detector_.OnConnectionReset(now_, 0, kEstablished);
  EXPECT_EQ(detector_.state(now_), LivenessState::kSuspected);
  const TimeUs reset_at = now_;
  now_ += 20 * kMs;
  detector_.OnConnectionOpened(now_, kEstablished);
  detector_.OnDataReceived(now_ + kMs, now_);  // data of the successor
  EXPECT_EQ(RunUntil(now_ + 20 * kSecond, Network::kUp), LivenessAction::kGiveUpReplaced);
  EXPECT_LT(now_, reset_at + kNotificationTimeout);
  EXPECT_EQ(detector_.suspected_since(), reset_at);
}

// Guards against a connection to the successor that hides the resets of its predecessor, which are read in the same
// turn after a standstill.
TEST_F(FailureDetectorTest, ConnectionOpenedJustBeforeTheReadingOfAResetProvesNothing) {
  const TimeUs last_sign = now_;
  now_ += 2 * kSecond;
  const TimeUs successor_opened = now_;
  detector_.OnConnectionOpened(successor_opened, kEstablished);
  EXPECT_FALSE(FailureDetector::HasOutlivedReset(successor_opened, last_sign, now_ + kMs));
  detector_.OnConnectionReset(now_ + kMs, 0, kEstablished, successor_opened);
  detector_.OnDataReceived(now_ + 2 * kMs, successor_opened);
  EXPECT_EQ(detector_.suspected_since(), successor_opened);
  EXPECT_EQ(RunUntil(now_ + 20 * kSecond, Network::kUp), LivenessAction::kGiveUpReplaced);
  EXPECT_LT(now_, last_sign + kNotificationTimeout);
}

TEST_F(FailureDetectorTest, OlderConnectionAndOneFollowedByDataHaveOutlivedAReset) {
  EXPECT_TRUE(FailureDetector::HasOutlivedReset(now_, 0, now_ + 3 * kSecond));
  EXPECT_TRUE(FailureDetector::HasOutlivedReset(now_, now_ + kMs, now_ + 2 * kMs));
}

TEST_F(FailureDetectorTest, LastOrderlyCloseShortlyAfterAResetCountsAsReset) {
  FailureDetector without_reset = detector_;
  without_reset.OnConnectionClosed(now_, now_, 0, kEstablished);
  EXPECT_EQ(without_reset.state(now_), LivenessState::kAlive);
  detector_.OnConnectionReset(now_, 1, kEstablished);
  detector_.OnConnectionClosed(now_ + kMs, now_, 0, kEstablished);
  EXPECT_EQ(detector_.state(now_ + kMs), LivenessState::kSuspected);
}

// Guards against giving up only the calls older than the first reset when a process is replaced again while that reset
// is still a suspicion (soak seed 770105).
TEST_F(FailureDetectorTest, TracksResetDuringSuspicionAsSeparateSuspicion) {
  const TimeUs first = now_;
  detector_.OnConnectionReset(first, 0, kEstablished);
  detector_.OnConnectionOpened(first + 20 * kMs, kEstablished);
  const TimeUs second = first + 2 * kSecond;
  detector_.OnDataReceived(second - 100 * kMs, first + 20 * kMs);
  const FailureDetector snapshot = detector_;
  detector_.OnConnectionReset(second, 0, kEstablished + 2);
  EXPECT_EQ(RunUntil(first + 20 * kSecond, Network::kUp), LivenessAction::kGiveUpReplaced);
  EXPECT_LT(now_, first + kNotificationTimeout);
  EXPECT_EQ(detector_.give_up_before(), first);
  detector_.OnCallsGivenUp();
  EXPECT_EQ(RunUntil(first + 20 * kSecond, Network::kUp), LivenessAction::kGiveUpReplaced);
  EXPECT_LT(now_, second + kNotificationTimeout);
  EXPECT_GE(now_, second + 7 * kSecond);
  EXPECT_EQ(detector_.give_up_before(), second);
  detector_.OnCallsGivenUp();
  EXPECT_EQ(detector_.state(now_), LivenessState::kAlive);
  // Confirming a call established between the two resets clears only the second suspicion.
  detector_ = snapshot;
  detector_.OnConnectionReset(second, 0, kEstablished + 2);
  detector_.OnCallConfirmed(second + 100 * kMs, first + kSecond);
  EXPECT_EQ(detector_.suspected_since(), first);
}

TEST_F(FailureDetectorTest, GivesUpCallsInTimeWhenMachineFailsDuringSuspicion) {
  detector_.OnConnectionReset(now_, 0, kEstablished);
  const TimeUs failed_at = now_ + 3 * kSecond;
  detector_.OnConnectionOpened(failed_at, kEstablished);
  now_ = failed_at;
  ASSERT_EQ(RunUntil(failed_at + 20 * kSecond, Network::kDown), LivenessAction::kGiveUpReplaced);
  detector_.OnCallsGivenUp();
  EXPECT_EQ(RunUntil(failed_at + 20 * kSecond, Network::kDown), LivenessAction::kGiveUpSilent);
  EXPECT_LT(now_, failed_at + kNotificationTimeout);
}

TEST_F(FailureDetectorTest, ClearsSuspicionWhenEarlierCallIsConfirmed) {
  detector_.OnConnectionReset(now_, 0, kEstablished);
  detector_.OnCallConfirmed(now_ + kSecond);
  EXPECT_EQ(detector_.state(now_ + kSecond), LivenessState::kAlive);
}

TEST_F(FailureDetectorTest, DistinguishesHolderFromSuccessorByCircuitsInUse) {
  const auto after_report = [this](std::size_t used, TimeUs opened_after) {
    FailureDetector detector = detector_;
    detector.OnConnectionReset(now_, 0, kEstablished);
    detector.OnConnectionOpened(now_ + opened_after, kEstablished);
    const bool replaced =
        detector.OnCircuitReport(now_ + 30 * kMs, now_ + opened_after, {used, kEstablished, kEstablished});
    return std::make_pair(replaced, detector.state(now_ + 30 * kMs));
  };
  EXPECT_EQ(after_report(0, 20 * kMs), std::make_pair(true, LivenessState::kSuspected));
  EXPECT_EQ(after_report(1, 20 * kMs), std::make_pair(true, LivenessState::kSuspected));
  EXPECT_EQ(after_report(2, 20 * kMs), std::make_pair(false, LivenessState::kSuspected));
  EXPECT_EQ(after_report(3, 20 * kMs), std::make_pair(false, LivenessState::kAlive));
  // A late report does not confirm the holder, because a successor may have calls of its own by then.
  FailureDetector detector = detector_;
  detector.OnConnectionReset(now_, 0, kEstablished);
  detector.OnConnectionOpened(now_ + 20 * kMs, kEstablished);
  EXPECT_FALSE(detector.OnCircuitReport(now_ + 3 * kSecond, now_ + 20 * kMs, {9, kEstablished, kEstablished}));
  EXPECT_EQ(detector.state(now_ + 3 * kSecond), LivenessState::kSuspected);
}

// The machine is away for less time than a silence takes to be noticed and returns without its calls, so only its
// reports show the loss.
TEST_F(FailureDetectorTest, GivesUpCallsDeniedByReportOnNewConnection) {
  const TimeUs opened = now_ + kSecond;
  detector_.OnConnectionOpened(opened, kEstablished);
  detector_.OnDataReceived(opened + kMs, opened);
  EXPECT_EQ(detector_.CallsInQuestionBefore(opened), opened);
  EXPECT_FALSE(detector_.OnCircuitReport(opened + kMs, opened, {0, kEstablished, kEstablished}));
  EXPECT_TRUE(detector_.HasPendingDenial());
  now_ = opened;
  // Further data and newer calls of the successor are no evidence for the earlier calls.
  detector_.OnDataReceived(opened + 100 * kMs, opened);
  EXPECT_FALSE(detector_.OnCircuitReport(opened + 100 * kMs, opened, {3, kEstablished + 5, kEstablished, 5}));
  EXPECT_EQ(RunUntil(opened + 5 * kSecond, Network::kUp), LivenessAction::kGiveUpReplaced);
  EXPECT_LE(now_, opened + 1'200 * kMs);
  EXPECT_EQ(detector_.suspected_since(), opened);
  EXPECT_EQ(connects_, 1);  // for releases that could not be sent on an older connection
}

TEST_F(FailureDetectorTest, WithdrawsDenialOnEvidenceOfHolder) {
  const TimeUs opened = now_ + kSecond;
  const auto expect_withdrawn = [&](const auto& provide_evidence) {
    FailureDetector detector = detector_;
    detector.OnConnectionOpened(opened, kEstablished);
    detector.OnCircuitReport(opened + kMs, opened, {0, kEstablished, kEstablished});
    EXPECT_TRUE(detector.HasPendingDenial());
    provide_evidence(detector);
    EXPECT_FALSE(detector.HasPendingDenial());
    LivenessAction last = LivenessAction::kNone;
    for (TimeUs at = opened + 100 * kMs; at < opened + 2 * kSecond; at += kLivenessCheckInterval)
      last = std::max(last, detector.NextAction(at, false));
    EXPECT_EQ(last, LivenessAction::kNone);
  };
  expect_withdrawn([&](FailureDetector& detector) { detector.OnCallConfirmed(opened + 20 * kMs); });
  expect_withdrawn([&](FailureDetector& detector) { detector.OnDataReceived(opened + 20 * kMs, opened - kSecond); });
  expect_withdrawn([&](FailureDetector& detector) { detector.OnAllCallsAccountedFor(opened + 20 * kMs); });
  expect_withdrawn([&](FailureDetector& detector) {
    detector.OnCircuitReport(opened + 50 * kMs, opened, {kEstablished, kEstablished, kEstablished});
  });
}

TEST_F(FailureDetectorTest, IgnoresReportThatCountsSomeCallsOrMissesNewOnes) {
  const auto denies_calls = [this](const CircuitUse& use) {
    FailureDetector detector = detector_;
    const TimeUs opened = now_ + kSecond;
    detector.OnConnectionOpened(opened, kEstablished);
    detector.OnCircuitReport(opened + kMs, opened, use);
    return detector.HasPendingDenial();
  };
  EXPECT_FALSE(denies_calls({.used = 2, .established = 4, .in_question = 4}));
  EXPECT_FALSE(denies_calls(
      {.used = 4, .established = 9, .in_question = 4, .unsettled = 5}));  // answered while the report was in transit
  EXPECT_FALSE(denies_calls({.used = 0, .established = 2}));              // no call is in question
  EXPECT_TRUE(denies_calls({.used = 2, .established = 8, .in_question = 8}));
  EXPECT_TRUE(denies_calls({.used = 5, .established = 9, .in_question = 4}));  // all circuits may be of newer calls
  // Guards against giving up announced calls that still exist because others had ended meanwhile (soak seed 802000).
  EXPECT_FALSE(denies_calls({.used = 2, .established = 8, .in_question = 8, .announced = 8}));
  EXPECT_TRUE(denies_calls({.used = 3, .established = 4, .in_question = 1, .announced = 1}));
}

TEST_F(FailureDetectorTest, WithdrawsDenialWhenReportMustIncludeMostCalls) {
  const TimeUs opened = now_ + kSecond;
  detector_.OnConnectionOpened(opened, kEstablished);
  detector_.OnCircuitReport(opened + kMs, opened, {.used = 0, .established = 4, .in_question = 4});
  // All six circuits may be of newer calls and pending set-ups.
  detector_.OnCircuitReport(opened + 90 * kMs, opened,
                            {.used = 6, .established = 8, .in_question = 4, .unsettled = 4, .pending = 2});
  EXPECT_TRUE(detector_.HasPendingDenial());
  detector_.OnCircuitReport(opened + 100 * kMs, opened,
                            {.used = 9, .established = 10, .in_question = 4, .unsettled = 6});
  EXPECT_FALSE(detector_.HasPendingDenial());
}

TEST_F(FailureDetectorTest, SendsProbesOnlyDuringSuspicionAndIfAllowed) {
  RunUntil(now_ + 10 * kSecond, Network::kUp, true);
  EXPECT_EQ(probes_, 0);
  FailureDetector snapshot = detector_;
  RunUntil(now_ + 5 * kSecond, Network::kDown, true);
  RunUntil(now_ + 1 * kSecond, Network::kUp, true);
  EXPECT_GT(probes_, 0);
  detector_ = snapshot;
  probes_ = 0;
  RunUntil(now_ + 9 * kSecond, Network::kDown, false);
  EXPECT_EQ(probes_, 0);
}

TEST_F(FailureDetectorTest, RequestsSignOfLifeSoonerFromFrequentReporter) {
  const auto time_to_request = [](TimeUs interval) {
    FailureDetector detector({});
    TimeUs now = 100 * kSecond;
    detector.OnFirstCall(now);
    for (int i = 0; i < 20; ++i) {
      now += interval;
      detector.OnDataReceived(now, kSecond);
      detector.OnReportReceived(now);
      detector.OnReportReceived(now + kMs);  // a duplicate on another connection
    }
    const TimeUs last_report_at = now;
    while (detector.NextAction(now, false) == LivenessAction::kNone) now += kLivenessCheckInterval;
    return now - last_report_at;
  };
  EXPECT_EQ(time_to_request(100 * kMs), kSecond);
  EXPECT_EQ(time_to_request(500 * kMs), kSecond);
  EXPECT_EQ(time_to_request(2 * kSecond), 2'500 * kMs);
}

TEST_F(FailureDetectorTest, RequestsSecondConnectionSoonerWhenFirstIsUnanswered) {
  RunUntil(now_ + 2'500 * kMs, Network::kDown);
  EXPECT_EQ(connects_, 1);
  RunUntil(now_ + 300 * kMs, Network::kDown);
  EXPECT_EQ(connects_, 2);
}

// An exchange that sends no reports and may be probed.
class HolderProbeTest : public ::testing::Test {
 protected:
  HolderProbeTest() : detector_({}) {
    detector_.OnConnectionOpened(now_, 0);
    detector_.OnFirstCall(now_);
  }
  // Runs for `length` or until the calls are given up; requested connections are established at once. Probes on
  // connections opened before and during the test are answered if `older_answers` and `newer_answers` are set. Returns
  // the decision and leaves its time in now_.
  LivenessAction RunFor(TimeUs length, bool older_answers, bool newer_answers) {
    const TimeUs until = now_ + length;
    while (now_ < until) {
      now_ += kLivenessCheckInterval;
      const LivenessAction action = detector_.NextAction(now_, true, true);
      switch (action) {
        case LivenessAction::kNone:
          break;
        case LivenessAction::kConnect:
          ++connects_;
          newest_opened_ = now_ + kMs;
          if (connects_ == 1) first_newer_opened_ = newest_opened_;
          detector_.OnConnectionOpened(newest_opened_, 1);
          break;
        case LivenessAction::kProbeHolder:
          ++probes_;
          if (older_answers) detector_.OnDataReceived(now_ + kMs, older_opened_);
          break;
        case LivenessAction::kProbeNewest:
          ++probes_;
          if (newer_answers) detector_.OnDataReceived(now_ + kMs, newest_opened_);
          break;
        default:
          return action;
      }
    }
    return LivenessAction::kNone;
  }

  TimeUs now_ = 100 * kSecond;
  const TimeUs older_opened_ = now_ - kSecond;
  TimeUs newest_opened_ = older_opened_, first_newer_opened_ = 0;
  FailureDetector detector_;
  int connects_ = 0, probes_ = 0;
};

TEST_F(HolderProbeTest, AnsweredProbeOfHolderReplacesConnection) {
  EXPECT_EQ(RunFor(300 * kSecond, true, true), LivenessAction::kNone);
  EXPECT_EQ(connects_, 0);
  EXPECT_GE(probes_, 100);
  EXPECT_LE(probes_, 120);
}

TEST_F(HolderProbeTest, DetectsReplacementWithoutNoticeableOutage) {
  const TimeUs replaced_at = now_;
  EXPECT_EQ(RunFor(20 * kSecond, false, true), LivenessAction::kGiveUpReplaced);
  EXPECT_LT(now_, replaced_at + kNotificationTimeout);
  EXPECT_EQ(detector_.suspected_since(), first_newer_opened_);
}

TEST_F(HolderProbeTest, ExcludesCallsSetUpAtSuccessorFromSuspicion) {
  const TimeUs opened = now_ + 200 * kMs;
  detector_.NextAction(now_ + 100 * kMs, true, true);
  detector_.OnConnectionOpened(opened, 1);
  const TimeUs later = opened + kSecond;
  for (int i = 0; i < 50; ++i) {  // the successor keeps sending data, also on a connection opened later
    detector_.OnDataReceived(now_ + 200 * kMs, opened);
    detector_.OnConnectionOpened(later, 2);
    detector_.OnDataReceived(now_ + 200 * kMs, later);
    if (RunFor(200 * kMs, false, true) == LivenessAction::kGiveUpReplaced) break;
  }
  EXPECT_EQ(detector_.suspected_since(), opened);
}

TEST_F(HolderProbeTest, KeepsCallsWhenProcessHangsOnAllConnections) {
  EXPECT_EQ(RunFor(60 * kSecond, false, false), LivenessAction::kNone);
  EXPECT_EQ(RunFor(10 * kSecond, true, true), LivenessAction::kNone);
  EXPECT_FALSE(detector_.IsProbingHolder());
}

TEST_F(HolderProbeTest, SuspectsReplacementWhenProbedConnectionIsReset) {
  RunFor(2'600 * kMs, false, false);
  ASSERT_TRUE(detector_.IsProbingHolder());
  detector_.OnConnectionReset(now_, 0, 1);
  EXPECT_EQ(detector_.state(now_), LivenessState::kSuspected);
}

// Guards against a successor that clears the suspicion of its own connection: one to it comes up shortly before the
// last connection of the holder is reset.
TEST_F(HolderProbeTest, DataOfSuccessorReachedBeforeTheResetOfHolderClearsNoSuspicion) {
  RunFor(2'600 * kMs, false, false);
  ASSERT_TRUE(detector_.IsProbingHolder());
  const TimeUs successor_opened = now_ + 10 * kMs;
  detector_.OnConnectionOpened(successor_opened, 1);
  detector_.OnConnectionReset(successor_opened + 14 * kMs, 0, 1);
  detector_.OnDataReceived(successor_opened + 20 * kMs, successor_opened);
  EXPECT_EQ(detector_.state(now_ + 40 * kMs), LivenessState::kSuspected);
  EXPECT_EQ(detector_.suspected_since(), successor_opened);
}

// A suspicion is lost when this process ends, so it has to be decided before.
TEST_F(FailureDetectorTest, GivesUpSuspectedOrUnreachableCallsByDecisionDeadline) {
  const TimeUs stop = now_;
  const auto decide_by_deadline = [&](Network network, const auto& provide_evidence) {
    now_ = stop;
    pending_connects_.clear();
    FailureDetector snapshot = detector_;
    detector_.SetDecisionDeadline(stop + 3 * kSecond);
    provide_evidence();
    const LivenessAction action = RunUntil(stop + 3'200 * kMs, network);
    detector_ = snapshot;
    return action;
  };
  EXPECT_EQ(decide_by_deadline(Network::kUp, [] {}), LivenessAction::kNone);
  EXPECT_EQ(decide_by_deadline(Network::kDown, [] {}), LivenessAction::kGiveUpSilent);
  EXPECT_LE(now_, stop + 3'100 * kMs);
  EXPECT_EQ(decide_by_deadline(Network::kUp, [&] { detector_.OnConnectionReset(stop, 0, kEstablished); }),
            LivenessAction::kGiveUpReplaced);
  EXPECT_LE(now_, stop + 3'100 * kMs);
  EXPECT_EQ(decide_by_deadline(Network::kUp,
                               [&] {
                                 RunUntil(stop + 2'900 * kMs, Network::kUp);
                                 detector_.OnCircuitReport(now_, now_, {0, kEstablished, kEstablished});
                               }),
            LivenessAction::kGiveUpReplaced);
}

TEST_F(FailureDetectorTest, KeepsCallsAfterStallOfOwnProcess) {
  now_ += 30 * kSecond;
  // Timers run before unread data is handled, so calls must not be given up before a sign of life was requested.
  EXPECT_EQ(RunUntil(now_ + 2 * kSecond, Network::kUp), LivenessAction::kNone);
}

}  // namespace
}  // namespace croftrun::policy
