// Tests which written releases are sent again after their connection has ended, for each row of the table in the
// header.
#include "platform/pending_releases.h"

#include <gtest/gtest.h>

namespace croftrun::platform {
namespace {

constexpr TimeUs kMs = 1'000, kSecond = 1'000'000;
constexpr std::uint32_t kHost = 7;
constexpr ConnectionNumber kFirst = 1, kSecondConnection = 2;
constexpr TimeUs kNow = 100 * kSecond;

struct Row {
  ConnectionEnd end;
  TimeUs write_to_end;  // time from the write to the end of the connection
  Recipient recipient;
  bool host_acknowledges;
  bool waits_again;  // false: it counts as delivered
};

class PendingReleasesTest : public ::testing::TestWithParam<Row> {
 protected:
  static PendingRelease Release(const std::string& id) {
    return {.host = kHost, .id = id, .line = "release of " + id, .call_ended_at = kNow};
  }
  void RecordAcknowledgement() { releases_.OnAcknowledged(kHost, "an earlier call"); }

  PendingReleases releases_;
};

TEST_P(PendingReleasesTest, WrittenReleaseWaitsAgainOnlyIfItMayBeUnread) {
  const Row& row = GetParam();
  if (row.host_acknowledges) RecordAcknowledgement();
  releases_.OnWritten(Release("a"), kFirst, row.recipient, kNow);
  releases_.OnConnectionEnded(kFirst, row.end, kNow + row.write_to_end);
  EXPECT_EQ(releases_.HasWaiting(kHost), row.waits_again);
  // A delivered release is never sent again.
  releases_.Expire(kNow + row.write_to_end + 3 * kSecond);
  EXPECT_EQ(releases_.TakeWaiting(kHost, kSecondConnection, kNow + 4 * kSecond).size(), row.waits_again ? 1U : 0U);
}

constexpr TimeUs kWithinLossWindow = kMs, kAfterLossWindow = kSecond;
using End = ConnectionEnd;
INSTANTIATE_TEST_SUITE_P(
    EachRow, PendingReleasesTest,
    ::testing::Values(Row{End::kClosedLocally, kWithinLossWindow, Recipient::kCaller, true, false},
                      Row{End::kClosedLocally, kWithinLossWindow, Recipient::kCaller, false, false},
                      Row{End::kClosedLocally, kAfterLossWindow, Recipient::kHost, true, true},
                      Row{End::kClosedLocally, kAfterLossWindow, Recipient::kHost, false, false},
                      Row{End::kClosedWithUnwrittenData, kAfterLossWindow, Recipient::kCaller, false, true},
                      Row{End::kClosedWithUnwrittenData, kAfterLossWindow, Recipient::kHost, true, true},
                      Row{End::kPeerClosed, kWithinLossWindow, Recipient::kCaller, true, true},
                      Row{End::kPeerClosed, kWithinLossWindow, Recipient::kCaller, false, false},
                      Row{End::kPeerClosed, kWithinLossWindow, Recipient::kHost, true, true},
                      Row{End::kPeerClosed, kAfterLossWindow, Recipient::kCaller, true, false},
                      Row{End::kPeerClosed, kAfterLossWindow, Recipient::kHost, true, true},
                      Row{End::kPeerClosed, kAfterLossWindow, Recipient::kHost, false, false},
                      Row{End::kPeerReset, kWithinLossWindow, Recipient::kCaller, false, true},
                      Row{End::kPeerReset, kWithinLossWindow, Recipient::kHost, false, true},
                      Row{End::kPeerReset, kAfterLossWindow, Recipient::kCaller, true, false},
                      Row{End::kPeerReset, kAfterLossWindow, Recipient::kHost, true, true}));

TEST_F(PendingReleasesTest, ResendsUnacknowledgedReleaseOnlyIfHostAcknowledgesOthers) {
  releases_.OnWritten(Release("a"), kFirst, Recipient::kCaller, kNow);
  releases_.Expire(kNow + 3 * kSecond);
  EXPECT_FALSE(releases_.HasWaiting(kHost));
  RecordAcknowledgement();
  releases_.OnWritten(Release("b"), kFirst, Recipient::kCaller, kNow);
  releases_.OnWritten(Release("c"), kFirst, Recipient::kCaller, kNow);
  releases_.OnAcknowledged(kHost, "c");
  releases_.Expire(kNow + 1'900 * kMs);
  EXPECT_FALSE(releases_.HasWaiting(kHost));
  releases_.Expire(kNow + 2'100 * kMs);
  const auto taken = releases_.TakeWaiting(kHost, kSecondConnection, kNow + 2'200 * kMs);
  ASSERT_EQ(taken.size(), 1U);
  EXPECT_EQ(taken[0].id, "b");
}

TEST_F(PendingReleasesTest, WritesReleaseOnAtMostThreeDifferentConnections) {
  RecordAcknowledgement();
  releases_.OnWritten(Release("a"), 1, Recipient::kCaller, kNow);
  for (ConnectionNumber connection = 1; connection <= 3; ++connection) {
    releases_.OnConnectionEnded(connection, ConnectionEnd::kPeerReset, kNow + kMs);
    EXPECT_TRUE(releases_.TakeWaiting(kHost, connection, kNow).empty());
    EXPECT_EQ(releases_.TakeWaiting(kHost, connection + 1, kNow).size(), connection < 3 ? 1U : 0U);
  }
}

}  // namespace
}  // namespace croftrun::platform
