// Tests which written releases are sent again after their connection has ended, for each row of the table in the
// header.
#include "platform/pending_releases.h"

#include <gtest/gtest.h>

#include <string>

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
  void RecordAcknowledgement() { releases_.OnAcknowledged(kHost, "an earlier call", kFirst); }

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
                      Row{End::kClosedByShutdown, kWithinLossWindow, Recipient::kCaller, true, false},
                      Row{End::kClosedByShutdown, kWithinLossWindow, Recipient::kHost, true, false},
                      Row{End::kClosedByShutdown, kAfterLossWindow, Recipient::kHost, true, true},
                      Row{End::kClosedByShutdown, kAfterLossWindow, Recipient::kHost, false, false},
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
  releases_.OnAcknowledged(kHost, "c", kFirst);
  releases_.Expire(kNow + 1'900 * kMs);
  EXPECT_FALSE(releases_.HasWaiting(kHost));
  releases_.Expire(kNow + 2'100 * kMs);
  const auto taken = releases_.TakeWaiting(kHost, kSecondConnection, kNow + 2'200 * kMs);
  ASSERT_EQ(taken.size(), 1U);
  EXPECT_EQ(taken[0].id, "b");
}

// A caller announces the call on another connection after its release was written.
TEST_F(PendingReleasesTest, AnnouncementMakesReleaseWaitOnceItCannotHaveCrossedIt) {
  releases_.OnWritten(Release("a"), kFirst, Recipient::kCaller, kNow);
  EXPECT_TRUE(releases_.OnAnnounced(kHost, "a", kSecondConnection, kNow + 10 * kMs));
  releases_.Expire(kNow + 300 * kMs);
  EXPECT_FALSE(releases_.HasWaiting(kHost));
  releases_.Expire(kNow + 500 * kMs);
  ASSERT_EQ(releases_.TakeWaiting(kHost, kSecondConnection, kNow + 500 * kMs).size(), 1U);
  // It was sent on the connection of the announcement, which needs no answer any more.
  EXPECT_TRUE(releases_.OnAnnounced(kHost, "a", kSecondConnection, kNow + 5 * kSecond));
  EXPECT_FALSE(releases_.HasWaiting(kHost));
  EXPECT_FALSE(releases_.OnAnnounced(kHost, "unknown", kSecondConnection, kNow));
}

TEST_F(PendingReleasesTest, AnnouncedReleaseWaitsIfItsConnectionEndsBeforeAnAcknowledgement) {
  releases_.OnWritten(Release("a"), kFirst, Recipient::kCaller, kNow);
  releases_.OnAnnounced(kHost, "a", kSecondConnection, kNow + 100 * kMs);
  releases_.OnConnectionEnded(kFirst, ConnectionEnd::kPeerReset, kNow + 300 * kMs);
  EXPECT_TRUE(releases_.HasWaiting(kHost));
}

TEST_F(PendingReleasesTest, AnnouncementOfDeliveredReleaseMakesItWaitUnlessItsCallerAcknowledgedIt) {
  for (const char* const id : {"read", "unread", "read by another client"}) {
    const bool by_caller = std::string(id) != "read by another client";
    releases_.OnWritten(Release(id), kFirst, by_caller ? Recipient::kCaller : Recipient::kHost, kNow);
  }
  EXPECT_TRUE(releases_.OnAcknowledged(kHost, "read", kFirst));
  EXPECT_TRUE(releases_.OnAcknowledged(kHost, "read by another client", kFirst));
  EXPECT_FALSE(releases_.OnAcknowledged(kHost, "unknown", kFirst));
  releases_.OnConnectionEnded(kFirst, ConnectionEnd::kPeerClosed, kNow + 3 * kSecond);
  for (const char* const id : {"read", "unread", "read by another client"})
    EXPECT_TRUE(releases_.OnAnnounced(kHost, id, kSecondConnection, kNow + 10 * kSecond));
  EXPECT_EQ(releases_.waiting_count(), 2U);
  for (const PendingRelease& release : releases_.TakeWaiting(kHost, kSecondConnection, kNow + 10 * kSecond)) {
    EXPECT_NE(release.id, "read");
    EXPECT_EQ(release.recipient, Recipient::kCaller);
  }
}

TEST_F(PendingReleasesTest, RemembersLimitedNumberOfDeliveredReleases) {
  for (int i = 0; i < 1025; ++i) {
    releases_.OnWritten(Release(std::to_string(i)), kFirst, Recipient::kCaller, kNow);
    releases_.OnAcknowledged(kHost, std::to_string(i), kFirst);
  }
  EXPECT_FALSE(releases_.OnAnnounced(kHost, "0", kSecondConnection, kNow));
  EXPECT_TRUE(releases_.OnAnnounced(kHost, "1", kSecondConnection, kNow));
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
