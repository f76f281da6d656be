// Tests the attribution of connections to the successive processes at one address, and the claims that stay open.
#include "policy/process_succession.h"

#include <gtest/gtest.h>

namespace croftrun::policy {
namespace {

constexpr TimeUs kMs = 1'000, kSecond = 1'000'000;
constexpr TimeUs kStart = 100 * kSecond;
constexpr TimeUs kTold = kStart + 3 * kSecond;

// The window of a start at kStart that is told 3 s later, by a clock that is ahead by `ahead` microseconds.
StartWindow Window(std::int64_t ahead = 0) {
  return StartWindowOf({.unix_us = static_cast<std::int64_t>(kStart) + ahead}, kTold);
}

// An address to which a connection has been open for long.
AddressHistory ConnectedHistory() {
  AddressHistory history;
  history.OnConnectionOpened(kStart - 50 * kSecond);
  return history;
}

TEST(ProcessSuccessionTest, StatedStartDecidesFarFromIt) {
  const AddressHistory history = ConnectedHistory();
  EXPECT_EQ(history.OrderOf({kStart - 5 * kSecond, kStart - 4 * kSecond}, Window()), ProcessOrder::kEarlier);
  EXPECT_EQ(history.OrderOf({kStart + 2 * kSecond, kStart + 2 * kSecond}, Window()), ProcessOrder::kStarted);
}

TEST(ProcessSuccessionTest, LossDecidesCloseToStatedStartWhateverTheClocks) {
  AddressHistory history = ConnectedHistory();
  history.OnAllConnectionsLost(kStart);
  history.OnConnectionOpened(kStart + 10 * kMs);
  for (const std::int64_t ahead : {-300'000, -30'000, 0, 30'000, 300'000}) {
    SCOPED_TRACE(ahead);
    const StartWindow start = Window(ahead);
    EXPECT_EQ(history.OrderOf({kStart - 20 * kMs, kStart - 10 * kMs}, start), ProcessOrder::kEarlier);
    EXPECT_EQ(history.OrderOf({kStart - 10 * kMs, kStart + 10 * kMs}, start), ProcessOrder::kUndecided);
    EXPECT_EQ(history.OrderOf({kStart, kStart + 10 * kMs}, start), ProcessOrder::kStarted);
  }
}

TEST(ProcessSuccessionTest, ConnectionBetweenTwoLossesIsUndecided) {
  AddressHistory history = ConnectedHistory();
  history.OnAllConnectionsLost(kStart - 200 * kMs);
  history.OnConnectionOpened(kStart - 100 * kMs);
  history.OnAllConnectionsLost(kStart + 200 * kMs);
  EXPECT_EQ(history.OrderOf({kStart - 300 * kMs, kStart - 300 * kMs}, Window()), ProcessOrder::kEarlier);
  EXPECT_EQ(history.OrderOf({kStart - 100 * kMs, kStart - 100 * kMs}, Window()), ProcessOrder::kUndecided);
  EXPECT_EQ(history.OrderOf({kStart + 300 * kMs, kStart + 300 * kMs}, Window()), ProcessOrder::kStarted);
}

TEST(ProcessSuccessionTest, LossesRecordedUnderTwoNamesCountTogether) {
  AddressHistory history, other = ConnectedHistory();
  other.OnAllConnectionsLost(kStart);
  history.Merge(other);
  EXPECT_EQ(history.OrderOf({kStart + kMs, kStart + kMs}, Window()), ProcessOrder::kStarted);
}

// Guards against calls that are cut at an exchange which was first reached as it came back (soak seed 720001).
TEST(ProcessSuccessionTest, ConnectionThatEndsAnOutageIsAttributedByIt) {
  AddressHistory first_reached;
  first_reached.OnConnectFailed(kStart - 2 * kSecond);
  first_reached.OnConnectionOpened(kStart + 100 * kMs);
  EXPECT_EQ(first_reached.OrderOf({kStart + 90 * kMs, kStart + 100 * kMs}, Window()), ProcessOrder::kStarted);
  AddressHistory reached_again = ConnectedHistory();
  reached_again.OnConnectFailed(kStart - 3 * kSecond);
  reached_again.OnConnectFailed(kStart - 2 * kSecond);
  reached_again.OnConnectionOpened(kStart + 100 * kMs);
  EXPECT_EQ(reached_again.OrderOf({kStart - 100 * kMs, kStart + 100 * kMs}, Window()), ProcessOrder::kStarted);
  AddressHistory reached_before;
  reached_before.OnConnectionOpened(kStart - 50 * kMs);
  EXPECT_EQ(reached_before.OrderOf({kStart - 60 * kMs, kStart - 50 * kMs}, Window()), ProcessOrder::kEarlier);
}

TEST(ProcessSuccessionTest, WithoutLossOnlyConnectionsUpBeforeTheStatedTimeAreEarlier) {
  const AddressHistory history = ConnectedHistory();
  EXPECT_EQ(history.OrderOf({kStart - 30 * kMs, kStart - 20 * kMs}, Window()), ProcessOrder::kEarlier);
  EXPECT_EQ(history.OrderOf({kStart - 30 * kMs, kStart + 20 * kMs}, Window()), ProcessOrder::kUndecided);
  EXPECT_EQ(history.OrderOf({kStart + 10 * kMs, kStart + 20 * kMs}, Window()), ProcessOrder::kUndecided);
}

// Guards against a call that is cut although its set-up was sent long after the start (the connection had been closed).
TEST(ProcessSuccessionTest, AnswerToSetUpSentAfterTheWindowIsOfTheProcessThatStarted) {
  const AddressHistory without_outage = ConnectedHistory();
  const ConnectionSpan undecided{kStart - 500 * kMs, kStart + 70 * kMs};
  EXPECT_EQ(without_outage.OrderOfAnswer(undecided, kStart - 10 * kMs, Window()), ProcessOrder::kUndecided);
  EXPECT_EQ(without_outage.OrderOfAnswer(undecided, kStart + 350 * kMs, Window()), ProcessOrder::kStarted);
  AddressHistory history = ConnectedHistory();
  history.OnAllConnectionsLost(kStart);
  history.OnConnectionOpened(kStart + 70 * kMs);
  EXPECT_EQ(history.OrderOfAnswer(undecided, kStart + 350 * kMs, Window()), ProcessOrder::kUndecided);
  EXPECT_EQ(history.OrderOfAnswer(undecided, kStart + 1'300 * kMs, Window()), ProcessOrder::kStarted);
  const ConnectionSpan earlier{kStart - 9 * kSecond, kStart - 9 * kSecond};
  EXPECT_EQ(history.OrderOfAnswer(earlier, kStart + 1'300 * kMs, Window()), ProcessOrder::kEarlier);
}

TEST(ProcessSuccessionTest, SteppedWallClockWidensTheWindow) {
  constexpr std::int64_t kStep = 3'600'000'000;
  const auto unix_us = static_cast<std::int64_t>(kStart);
  for (const std::int64_t step : {kStep, -kStep}) {
    SCOPED_TRACE(step);
    // The start is stated by a clock that follows either the offset at the start of this process or the present one.
    for (const std::int64_t stated : {unix_us, unix_us + step}) {
      const StartWindow start = StartWindowOf({stated, 0, step}, kTold);
      EXPECT_LE(start.earliest, kStart);
      EXPECT_GE(start.latest, kStart);
    }
  }
}

TEST(ProcessSuccessionTest, StartStatedForTheFutureBoundsNothing) {
  const StartWindow start = StartWindowOf({.unix_us = static_cast<std::int64_t>(kTold + 10 * kSecond)}, kTold);
  EXPECT_EQ(start.earliest, 0U);
  EXPECT_EQ(start.latest, kTold);
}

TEST(ProcessClaimTest, IsConfirmedByDataOnceItsConnectionHasOutlivedTheData) {
  ProcessClaim claim;
  EXPECT_FALSE(claim.IsConfirmedByData(kTold, kTold + kSecond));
  claim.OnUndecided(kTold, kTold + 5 * kSecond);
  EXPECT_FALSE(claim.IsConfirmedByData(kTold - kMs, kTold + kSecond));
  EXPECT_FALSE(claim.IsConfirmedByData(kTold + kMs, kTold + 2 * kMs));
  EXPECT_TRUE(claim.IsConfirmedByData(kTold + kMs, kTold + kSecond));
  claim.OnConfirmed();
  EXPECT_FALSE(claim.IsExpired(kTold + 9 * kSecond));
}

TEST(ProcessClaimTest, KeepsTheEarliestDeadline) {
  ProcessClaim claim;
  claim.LimitDeadline(kTold);
  EXPECT_FALSE(claim.IsUnconfirmed());
  claim.OnUndecided(kTold, kTold + 5 * kSecond);
  claim.OnUndecided(kTold, kTold + 6 * kSecond);
  EXPECT_EQ(claim.confirm_by(), kTold + 5 * kSecond);
  claim.LimitDeadline(kTold + 2 * kSecond);
  EXPECT_FALSE(claim.IsExpired(kTold + 2 * kSecond - 1));
  EXPECT_TRUE(claim.IsExpired(kTold + 2 * kSecond));
}

TEST(ProcessClaimTest, DeadlineCountsFromTheRequestOfTheCarrierButLeavesTimeForEvidence) {
  constexpr TimeUs kTimeout = 7'400 * kMs;
  EXPECT_EQ(ConfirmationDeadline(kStart, kTimeout, kTold), kStart + kTimeout);
  EXPECT_GT(ConfirmationDeadline(kStart, kTimeout, kStart + 10 * kSecond), kStart + 10 * kSecond);
}

}  // namespace
}  // namespace croftrun::policy
