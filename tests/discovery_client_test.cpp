// Tests how a softswitch follows a discovery service that is slow, pauses or never answers, on virtual time.
#include <gtest/gtest.h>

#include "platform_fixture.h"

namespace croftrun::platform {
namespace {

class DiscoveryClientTest : public PlatformTest {
 protected:
  static json DrainOfExchange1() { return json::array({TargetJson(1, "Terminating")}); }
  // Sends a comment each second to the requests whose response has begun.
  void StartComments() {
    comment_timer_.Start(1'000 * kMs, [this] {
      discovery_.Write(":\n");
      StartComments();
    });
  }
  // Moves the softswitch to a request that begins under the present conditions of the discovery service.
  void ReconnectToDiscovery() {
    discovery_.Reset();
    StartComments();
  }
  json DiscoveryMetrics() const { return json::parse(node_->Metrics())["board"]; }
  bool KnowsDrain() const { return DiscoveryMetrics()["last"] == 2; }
  // Stores the drain of exchange 1 for later requests and expects it to be applied within this time, on one connection.
  void ExpectStoredDrainIsApplied(TimeUs within) {
    discovery_.Store(2, EventJson(2, false, DrainOfExchange1()));
    runtime_.RunFor(within);
    EXPECT_TRUE(KnowsDrain());
    EXPECT_EQ(discovery_.open_connections(), 1U);
  }
  // Expects a call to this exchange not to be sent there.
  void ExpectNoSetUpSentTo(int number, const PlatformExchange& exchange) {
    const auto caller = ConnectCaller();
    caller->SetUp(kCall, number);
    runtime_.RunFor(2'000 * kMs);
    EXPECT_TRUE(exchange.Received(MessageType::kSetUp).empty());
  }

  core::Timer comment_timer_{&runtime_};
};

class SlowResponseTest : public DiscoveryClientTest, public ::testing::WithParamInterface<TimeUs> {};

// Guards against a directory that is never followed while discovery takes longer than the silence timeout to answer.
TEST_P(SlowResponseTest, AppliesDrainWhileDiscoveryIsSlowToBeginItsResponse) {
  discovery_.response_delay = GetParam();
  ReconnectToDiscovery();
  runtime_.RunFor(3'000 * kMs);
  PublishChanges(2, {TargetJson(1, "Terminating")});
  // At the latest once the response to the request in progress has begun.
  runtime_.RunFor(GetParam() + 200 * kMs);
  EXPECT_TRUE(KnowsDrain());
  ExpectNoSetUpSentTo(1, exchange_1_);
  runtime_.RunFor(10'000 * kMs);
  EXPECT_EQ(discovery_.open_connections(), 1U);  // the other requests are closed, and none is sent any more
  EXPECT_EQ(DiscoveryMetrics()["open_requests"], 1);
}

INSTANTIATE_TEST_SUITE_P(Delays, SlowResponseTest,
                         ::testing::Values(1'850 * kMs, 1'950 * kMs, 2'500 * kMs, 3'900 * kMs, 6'000 * kMs,
                                           9'000 * kMs));

// The header arrives at once each time, and the rest of the response later than the silence timeout.
TEST_F(DiscoveryClientTest, AppliesDrainIfResponsePausesAfterItsHeader) {
  discovery_.body_delay = 2'500 * kMs;
  ReconnectToDiscovery();
  ExpectStoredDrainIsApplied(2'700 * kMs);
}

// A response begins with a comment at once each time, and pauses before its first event.
TEST_F(DiscoveryClientTest, AppliesDrainIfResponsePausesBetweenCommentAndEvent) {
  discovery_.comment_after_header = true;
  discovery_.body_delay = 2'500 * kMs;
  discovery_.Reset();
  ExpectStoredDrainIsApplied(2'700 * kMs);
}

// A response that has begun pauses, and requests that are sent meanwhile are never answered.
TEST_F(DiscoveryClientTest, FollowsResponseThatContinuesAfterPause) {
  StartComments();
  runtime_.RunFor(2'500 * kMs);
  comment_timer_.Stop();
  discovery_.is_answering = false;
  runtime_.RunFor(3'000 * kMs);
  EXPECT_GT(discovery_.last_event_ids.size(), 1U);
  StartComments();
  PublishChanges(2, {TargetJson(1, "Terminating")});
  runtime_.RunFor(5 * kMs);
  EXPECT_TRUE(KnowsDrain());
  EXPECT_EQ(discovery_.open_connections(), 1U);
}

// Requests that are never answered do not keep the softswitch from sending others, and their number is limited.
TEST_F(DiscoveryClientTest, SendsFurtherRequestsWhileNoneIsAnswered) {
  discovery_.is_answering = false;
  ReconnectToDiscovery();
  runtime_.RunFor(30'000 * kMs);
  EXPECT_LE(discovery_.open_connections(), 6U);
  discovery_.is_answering = true;
  ExpectStoredDrainIsApplied(2'600 * kMs);
}

// Several connections are opened one after the other, and come up at the same time: only one request is sent.
TEST_F(DiscoveryClientTest, SendsOneRequestWhenLateConnectionsOpenTogether) {
  discovery_.is_accepting = false;
  ReconnectToDiscovery();
  runtime_.RunFor(5'000 * kMs);
  EXPECT_GT(DiscoveryMetrics()["open_requests"], 3);
  discovery_.is_accepting = true;
  runtime_.RunFor(1'000 * kMs);
  EXPECT_EQ(discovery_.last_event_ids.size(), 2U);  // with the one from the start
}

// Events are missing on a response, and discovery is slow to begin the one that brings them. Guards against a drain
// that is applied late because the response with the gap was given up.
TEST_F(DiscoveryClientTest, AppliesDrainOnResponseWithGapWhileMissingEventsAreLate) {
  StartComments();
  discovery_.response_delay = 5'000 * kMs;
  discovery_.Store(2, EventJson(2, false, json::array({TargetJson(2)})));
  PublishChanges(3, {TargetJson(2)});
  runtime_.RunFor(1'000 * kMs);
  EXPECT_EQ(DiscoveryMetrics()["gaps"], 1);
  PublishChanges(4, {TargetJson(1, "Terminating")});
  runtime_.RunFor(5 * kMs);
  EXPECT_EQ(DiscoveryMetrics()["last"], 1);
  ExpectNoSetUpSentTo(1, exchange_1_);
  runtime_.RunFor(2'200 * kMs);
  EXPECT_EQ(DiscoveryMetrics()["last"], 4);
  EXPECT_EQ(DiscoveryMetrics()["gaps"], 1);
  runtime_.RunFor(5'000 * kMs);
  EXPECT_EQ(discovery_.open_connections(), 1U);
}

// The same where an event is unreadable.
TEST_F(DiscoveryClientTest, AppliesDrainAfterUnreadableEventWhileDiscoveryIsSlow) {
  StartComments();
  discovery_.response_delay = 5'000 * kMs;
  discovery_.Store(2, EventJson(2, false, json::array({TargetJson(2)})));
  discovery_.Write("id: 2\ndata: {\n\n");
  runtime_.RunFor(1'000 * kMs);
  PublishChanges(3, {TargetJson(1, "Terminating")});
  runtime_.RunFor(5 * kMs);
  ExpectNoSetUpSentTo(1, exchange_1_);
  runtime_.RunFor(2'200 * kMs);
  EXPECT_EQ(DiscoveryMetrics()["last"], 3);
}

// The response with the gap goes on, but does not keep the softswitch from sending further requests for what is
// missing.
TEST_F(DiscoveryClientTest, SendsFurtherRequestsForMissingEventsWhileNoneIsAnswered) {
  StartComments();
  discovery_.is_answering = false;
  discovery_.Store(2, EventJson(2, false, DrainOfExchange1()));
  PublishChanges(3, {TargetJson(2)});
  runtime_.RunFor(30'000 * kMs);
  EXPECT_EQ(DiscoveryMetrics()["last"], 1);
  EXPECT_LE(discovery_.open_connections(), 6U);
  PublishChanges(4, {TargetJson(2, "Terminating")});
  runtime_.RunFor(5 * kMs);
  ExpectNoSetUpSentTo(2, exchange_2_);  // the response with the gap was kept
  discovery_.is_answering = true;
  runtime_.RunFor(2'600 * kMs);
  EXPECT_EQ(DiscoveryMetrics()["last"], 4);
  EXPECT_EQ(discovery_.open_connections(), 1U);
}

// The service does not have the missing events: the gap is skipped, and the response that brought it is closed.
TEST_F(DiscoveryClientTest, SkipsGapThatServiceCannotFill) {
  StartComments();
  PublishChanges(3, {TargetJson(2)});
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(DiscoveryMetrics()["last"], 3);
  EXPECT_EQ(DiscoveryMetrics()["gaps"], 1);
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(discovery_.open_connections(), 1U);
  PublishChanges(4, {TargetJson(1, "Terminating")});
  runtime_.RunFor(5 * kMs);
  EXPECT_EQ(DiscoveryMetrics()["last"], 4);
}

// A failed request does not end one that still waits for its response.
TEST_F(DiscoveryClientTest, KeepsWaitingRequestWhenAnotherFails) {
  discovery_.response_delay = 2'500 * kMs;
  ReconnectToDiscovery();
  discovery_.Store(2, EventJson(2, false, DrainOfExchange1()));
  runtime_.RunFor(2'200 * kMs);
  ASSERT_EQ(discovery_.open_connections(), 2U);
  discovery_.ResetNewest();
  runtime_.RunFor(400 * kMs);
  EXPECT_TRUE(KnowsDrain());
}

// Guards against events that take more memory than a small softswitch has (32 MB, with 512 KiB for an event).
TEST_F(DiscoveryClientTest, RejectsEventsThatTakeTooMuchMemory) {
  discovery_.Write("id: 2\ndata: " + std::string(600 << 10, 'x'));
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(DiscoveryMetrics()["breaks"], 1);
  runtime_.RunFor(1'000 * kMs);
  std::string zeros = R"({"rev":2,"pool":{"rev":2,"all":false,"targets":[0)";
  for (int i = 0; i < 100'000; ++i) zeros += ",0";
  discovery_.Publish(2, zeros + "]}}");
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(DiscoveryMetrics()["unreadable"], 2);  // it is requested once more
  EXPECT_EQ(DiscoveryMetrics()["breaks"], 1);
}

// Guards against a directory that grows without bound under ever new names (32 MB, with 2,048 exchanges).
TEST_F(DiscoveryClientTest, IgnoresExchangesBeyondTheLimit) {
  constexpr int kEvents = 5, kExchangesPerEvent = 500;
  for (int event = 0; event < kEvents; ++event) {
    json targets = json::array();
    for (int i = 0; i < kExchangesPerEvent; ++i) {
      json target = TargetJson(1, "Ready", "s-new-" + std::to_string(event * kExchangesPerEvent + i));
      target["endpoint"] =
          "127.9." + std::to_string(event) + "." + std::to_string(i % 250) + ":" + std::to_string(6000 + i / 250);
      targets.push_back(target);
    }
    discovery_.Publish(static_cast<std::uint64_t>(event) + 2,
                       EventJson(static_cast<std::uint64_t>(event) + 2, false, targets));
    runtime_.RunFor(10 * kMs);
  }
  EXPECT_EQ(node_->exchanges().exchange_count(), 2048U);
  EXPECT_EQ(node_->exchanges().counters().ignored_exchanges, 3U + kEvents * kExchangesPerEvent - 2048U);
}

}  // namespace
}  // namespace croftrun::platform
