// Releases on their way to callers: what becomes of a written one when its connection ends, row by row of the table in
// the header, and that none is told again without need.
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
  TimeUs after;  // from the write to the end of the connection
  ReadBy read_by;
  bool host_acknowledges;
  bool waits;  // else it is told
};

class PendingReleasesTest : public ::testing::TestWithParam<Row> {
 protected:
  static PendingRelease Release(const std::string& id) {
    return {.host = kHost, .id = id, .line = "release of " + id, .since = kNow};
  }
  void HostAcknowledges() { releases_.OnAcknowledged(kHost, "an earlier call"); }

  PendingReleases releases_;
};

TEST_P(PendingReleasesTest, AWrittenReleaseWaitsAgainOnlyWhereItMayNeverHaveBeenRead) {
  const Row& row = GetParam();
  if (row.host_acknowledges) HostAcknowledges();
  releases_.Written(Release("a"), kFirst, row.read_by, kNow);
  releases_.OnConnectionEnded(kFirst, row.end, kNow + row.after);
  EXPECT_EQ(releases_.WaitsFor(kHost), row.waits);
  // What is told is told for good.
  releases_.Expire(kNow + row.after + 3 * kSecond);
  EXPECT_EQ(releases_.TakeFor(kHost, kSecondConnection, kNow + 4 * kSecond).size(), row.waits ? 1U : 0U);
}

constexpr TimeUs kSoon = kMs, kLater = kSecond;
using End = ConnectionEnd;
INSTANTIATE_TEST_SUITE_P(EachRow, PendingReleasesTest,
                         ::testing::Values(Row{End::kClosedHere, kSoon, ReadBy::kCaller, true, false},
                                           Row{End::kClosedHere, kSoon, ReadBy::kCaller, false, false},
                                           Row{End::kClosedHere, kLater, ReadBy::kHost, true, true},
                                           Row{End::kClosedHere, kLater, ReadBy::kHost, false, false},
                                           Row{End::kClosedUnwritten, kLater, ReadBy::kCaller, false, true},
                                           Row{End::kClosedUnwritten, kLater, ReadBy::kHost, true, true},
                                           Row{End::kFarEndClosed, kSoon, ReadBy::kCaller, true, true},
                                           Row{End::kFarEndClosed, kSoon, ReadBy::kCaller, false, false},
                                           Row{End::kFarEndClosed, kSoon, ReadBy::kHost, true, true},
                                           Row{End::kFarEndClosed, kLater, ReadBy::kCaller, true, false},
                                           Row{End::kFarEndClosed, kLater, ReadBy::kHost, true, true},
                                           Row{End::kFarEndClosed, kLater, ReadBy::kHost, false, false},
                                           Row{End::kFarEndReset, kSoon, ReadBy::kCaller, false, true},
                                           Row{End::kFarEndReset, kSoon, ReadBy::kHost, false, true},
                                           Row{End::kFarEndReset, kLater, ReadBy::kCaller, true, false},
                                           Row{End::kFarEndReset, kLater, ReadBy::kHost, true, true}));

TEST_F(PendingReleasesTest, OnAnOpenConnectionItIsToldAgainOnlyWhereTheHostAcknowledgesOthers) {
  releases_.Written(Release("a"), kFirst, ReadBy::kCaller, kNow);
  releases_.Expire(kNow + 3 * kSecond);
  EXPECT_FALSE(releases_.WaitsFor(kHost));
  HostAcknowledges();
  releases_.Written(Release("b"), kFirst, ReadBy::kCaller, kNow);
  releases_.Written(Release("c"), kFirst, ReadBy::kCaller, kNow);
  releases_.OnAcknowledged(kHost, "c");
  releases_.Expire(kNow + 1'900 * kMs);
  EXPECT_FALSE(releases_.WaitsFor(kHost));
  releases_.Expire(kNow + 2'100 * kMs);
  const auto taken = releases_.TakeFor(kHost, kSecondConnection, kNow + 2'200 * kMs);
  ASSERT_EQ(taken.size(), 1U);
  EXPECT_EQ(taken[0].id, "b");
}

TEST_F(PendingReleasesTest, ItIsWrittenOnThreeConnectionsAtMostAndOnNoneTwice) {
  HostAcknowledges();
  releases_.Written(Release("a"), 1, ReadBy::kCaller, kNow);
  for (ConnectionNumber connection = 1; connection <= 3; ++connection) {
    releases_.OnConnectionEnded(connection, ConnectionEnd::kFarEndReset, kNow + kMs);
    EXPECT_TRUE(releases_.TakeFor(kHost, connection, kNow).empty());
    EXPECT_EQ(releases_.TakeFor(kHost, connection + 1, kNow).size(), connection < 3 ? 1U : 0U);
  }
}

}  // namespace
}  // namespace croftrun::platform
