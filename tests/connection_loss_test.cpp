// Tests that no release of an established call is lost together with a connection to its exchange, on virtual time.
#include <gtest/gtest.h>

#include "platform/lost_releases.h"
#include "platform_fixture.h"

namespace croftrun::platform {
namespace {

constexpr char kThirdCall[] = "9b1f03aa5c7e2d43";

// Two calls are established at exchange 1, each on a connection of its own.
class ConnectionLossTest : public PlatformTest {
 protected:
  void SetUp() override {
    caller_ = ConnectCaller();
    const auto answers = std::exchange(exchange_1_.on_set_up, [](PlatformConnection&, const Message&) {});
    for (const char* const id : {kCall, kOtherCall}) {
      caller_->SetUp(id, 1);
      runtime_.RunFor(5 * kMs);
    }
    connections_ = exchange_1_.OpenConnections();
    ASSERT_EQ(connections_.size(), 2U);
    PlatformExchange::Answer(*connections_[0], kCall, "first");
    PlatformExchange::Answer(*connections_[1], kOtherCall, "second");
    runtime_.RunFor(5 * kMs);
    exchange_1_.on_set_up = answers;
  }
  // The exchange repeats its release on the next connection that is opened.
  void ExpectRepeatedReleaseIsForwarded(const std::vector<PlatformConnection*>& before) {
    const std::vector<PlatformConnection*> now = exchange_1_.OpenConnections();
    ASSERT_FALSE(now.empty());
    ASSERT_EQ(std::count(before.begin(), before.end(), now.back()), 0) << "no connection was opened";
    PlatformExchange::Release(*now.back(), kCall, 16);
    runtime_.RunFor(5 * kMs);
    ASSERT_EQ(caller_->FinalMessages(kCall).size(), 2U);
    EXPECT_EQ(caller_->FinalMessages(kCall)[1].cause, 16);
  }
  // An answer stops short, and the release of the first call follows on the same connection.
  void SendReleaseAfterHalfAnAnswer(PlatformConnection& connection) {
    connection.stream->Write(R"({"t":"up","ref":"9b1f03aa5c7e2d4f","d":"ha)");
    PlatformExchange::Release(connection, kCall, 16);
    runtime_.RunFor(20 * kMs);
  }

  std::unique_ptr<PlatformCaller> caller_;
  std::vector<PlatformConnection*> connections_;
};

// Guards against a release that is lost with the connection on which an answer was cut short (review case 6).
TEST_F(ConnectionLossTest, OpensConnectionForRepeatedReleaseAfterAnswerThatStopsShort) {
  SendReleaseAfterHalfAnAnswer(*connections_[0]);
  EXPECT_FALSE(connections_[0]->open);
  EXPECT_TRUE(connections_[1]->open);
  ExpectRepeatedReleaseIsForwarded(connections_);
  EXPECT_EQ(node_->exchanges().counters().replacements, 1U);
}

// Guards against a release that is lost with a connection that is reset while another one stays open.
TEST_F(ConnectionLossTest, OpensConnectionForRepeatedReleaseAfterReset) {
  connections_[0]->Reset();
  runtime_.RunFor(20 * kMs);
  // The reset may be the first sign of a crash, so the new connection waits for data on an older one.
  EXPECT_EQ(exchange_1_.OpenConnections().size(), 1U);
  ReportCircuits(*connections_[1], 2);
  runtime_.RunFor(20 * kMs);
  ExpectRepeatedReleaseIsForwarded(connections_);
}

// Guards against a release that is lost with a connection that is reset while the other one gives no sign of life.
TEST_F(ConnectionLossTest, OpensConnectionForRepeatedReleaseAfterResetWithinSilenceThreshold) {
  connections_[0]->Reset();
  runtime_.RunFor(3'000 * kMs);
  ExpectRepeatedReleaseIsForwarded(connections_);
}

// Guards against a repetition that is given up because the first new connection does not come up.
TEST_F(ConnectionLossTest, OpensAnotherConnectionIfTheFirstOneIsNotEstablished) {
  runtime_.SetUnreachable(ExchangeAddress(1), true);
  SendReleaseAfterHalfAnAnswer(*connections_[0]);
  runtime_.RunFor(1'000 * kMs);
  runtime_.SetUnreachable(ExchangeAddress(1), false);
  runtime_.RunFor(2'000 * kMs);
  ExpectRepeatedReleaseIsForwarded(connections_);
}

// Guards against a crash that goes unnoticed: a connection to the successor, opened after the first of several resets,
// would make the later ones look like those of single connections.
TEST_F(ConnectionLossTest, OpensNoConnectionBetweenTheResetsOfACrashedProcess) {
  connections_[0]->Reset();
  runtime_.RunFor(50 * kMs);
  EXPECT_EQ(node_->exchanges().counters().replacements, 0U);
  connections_[1]->Reset();
  runtime_.RunFor(50 * kMs);
  EXPECT_EQ(node_->exchanges().counters().suspicions, 1U);
}

TEST_F(ConnectionLossTest, OpensNoConnectionIfNoCallIsEstablished) {
  for (const char* const id : {kCall, kOtherCall}) PlatformExchange::Release(*connections_[0], id, 16);
  runtime_.RunFor(5 * kMs);
  SendReleaseAfterHalfAnAnswer(*connections_[0]);
  EstablishCall(*caller_, kThirdCall);
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(node_->exchanges().counters().replacements, 0U);
}

TEST(LostReleasesTest, NeedsConnectionOnlyIfProcessIsKnownToRun) {
  LostReleases lost;
  EXPECT_FALSE(lost.NeedsConnection());
  lost.OnDataLost(100, ProcessState::kUnknown);
  EXPECT_FALSE(lost.NeedsConnection());
  lost.OnDataReceived(101);  // this connection may lead to a successor
  EXPECT_FALSE(lost.NeedsConnection());
  lost.OnDataReceived(100);
  EXPECT_TRUE(lost.NeedsConnection());
  lost.OnConnectionOpened(99);  // it may have been accepted before the release was sent
  EXPECT_TRUE(lost.NeedsConnection());
  lost.OnConnectionOpened(100);
  EXPECT_FALSE(lost.NeedsConnection());
}

}  // namespace
}  // namespace croftrun::platform
