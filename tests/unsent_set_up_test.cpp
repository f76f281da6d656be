// Tests set-ups that wait for a connection to their exchange: which of them are sent once it opens.
#include <gtest/gtest.h>

#include <algorithm>

#include "platform_fixture.h"

namespace croftrun::platform {
namespace {

// The open connections of exchange 1 are busy, and it accepts no further ones until AcceptConnections.
class UnsentSetUpTest : public PlatformTest {
 protected:
  UnsentSetUpTest() : caller_(ConnectCaller()) {
    exchange_1_.on_set_up = [](PlatformConnection&, const Message&) {};
    caller_->SetUp(kOtherCall, 1);
    runtime_.RunFor(5 * kMs);
    exchange_1_.is_accepting = false;
  }
  // Sets up calls until one of them has to share a connection that is not open yet; returns its id.
  std::string ShareUnopenedConnection() {
    constexpr int kMaxSetUps = 89;
    for (int i = 0; i < kMaxSetUps; ++i) {
      const std::string id = "9b1f03aa5c7e2e" + std::to_string(10 + i);
      caller_->SetUp(id, 1);
      runtime_.RunFor(2 * kMs);
      // The first one shares the open connection.
      if (node_->exchanges().counters().shared > 1) return id;
    }
    ADD_FAILURE() << "no connection was shared";
    return "";
  }
  void AcceptConnections() {
    exchange_1_.is_accepting = true;
    runtime_.RunFor(40 * kMs);
  }
  std::size_t CountReceived(MessageType type, const std::string& id) const {
    const std::vector<Message> received = exchange_1_.Received(type);
    return static_cast<std::size_t>(
        std::count_if(received.begin(), received.end(), [&id](const Message& message) { return message.id == id; }));
  }

  std::unique_ptr<PlatformCaller> caller_;
};

TEST_F(UnsentSetUpTest, SendsSetUpWithTheTimeLeftOnceItsConnectionOpens) {
  caller_->SetUp(kCall, 1);
  runtime_.RunFor(400 * kMs);
  EXPECT_EQ(CountReceived(MessageType::kSetUp, kCall), 0U);
  AcceptConnections();
  ASSERT_EQ(CountReceived(MessageType::kSetUp, kCall), 1U);
  const Message set_up = exchange_1_.Received(MessageType::kSetUp).back();
  const std::string* const left = set_up.Field("left");
  ASSERT_NE(left, nullptr);
  EXPECT_LE(std::stoi(*left), 2'600);
}

TEST_F(UnsentSetUpTest, IsNotSentIfCancelledWhileOthersWaitForTheSameConnection) {
  const std::string shared = ShareUnopenedConnection();
  caller_->Release(shared);
  runtime_.RunFor(150 * kMs);
  AcceptConnections();
  EXPECT_EQ(CountReceived(MessageType::kSetUp, shared), 0U);
  EXPECT_EQ(CountReceived(MessageType::kRelease, shared), 0U);
}

TEST_F(UnsentSetUpTest, IsNotSentIfItsExchangeHasDrainedForLongerThanTheGrace) {
  caller_->SetUp(kCall, 1);
  runtime_.RunFor(10 * kMs);
  PublishChanges(2, {TargetJson(1, "Terminating")});
  runtime_.RunFor(520 * kMs);
  AcceptConnections();
  EXPECT_EQ(CountReceived(MessageType::kSetUp, kCall), 0U);
}

TEST_F(UnsentSetUpTest, IsSentIfItsExchangeHasDrainedForLessThanTheGrace) {
  caller_->SetUp(kCall, 1);
  runtime_.RunFor(10 * kMs);
  PublishChanges(2, {TargetJson(1, "Terminating")});
  runtime_.RunFor(300 * kMs);
  AcceptConnections();
  EXPECT_EQ(CountReceived(MessageType::kSetUp, kCall), 1U);
}

}  // namespace
}  // namespace croftrun::platform
