#include "mgcp/transactions.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "sim/virtual_runtime.h"

namespace croftrun::mgcp {
namespace {

constexpr TimeUs kMs = 1000;
const Address kAgent{0x7f000001, 2727}, kGateway{0x7f000002, 2427};

// The gateway's side of the wire: records the datagrams received and sends raw text.
class GatewayStub final : public core::DatagramHandler {
 public:
  explicit GatewayStub(sim::VirtualRuntime* runtime) : port(runtime->OpenPort(kGateway, this)) {}
  void OnDatagram(const Address&, std::string_view bytes) override { received.emplace_back(bytes); }
  void Send(std::string_view text) { port->Send(kAgent, text); }
  std::vector<std::string> received;
  std::unique_ptr<core::DatagramPort> port;
};

class TransactionsTest : public testing::Test {
 protected:
  TransactionsTest() { Open({}); }
  void Open(const TransactionSettings& settings) {
    layer.reset();
    layer = std::make_unique<Transactions>(&runtime, kAgent, settings,
                                           [this](Transactions::CommandId id, const Address&, const Message& message) {
                                             commands.push_back(id);
                                             verbs.emplace_back(message.verb_text);
                                             if (respond_immediately)
                                               layer->Respond(id, 200, "I: " + std::to_string(id) + "\r\n");
                                           });
  }
  std::uint32_t Send(std::string body = "C: 1\r\n") {
    return layer->Send(kGateway, {Verb::kCrcx, "ds/1/0@gw", std::move(body), [this](const TransactionResult& a) {
                                    outcomes.push_back(a.outcome);
                                    codes.push_back(a.code());
                                  }});
  }

  sim::VirtualRuntime runtime{5};
  GatewayStub gateway{&runtime};
  std::unique_ptr<Transactions> layer;
  bool respond_immediately = true;
  std::vector<Transactions::CommandId> commands;
  std::vector<std::string> verbs;
  std::vector<TransactionOutcome> outcomes;
  std::vector<int> codes;
};

TEST_F(TransactionsTest, ExecutesRetransmittedCommandOnceAndRepeatsResponse) {
  for (int i = 0; i < 3; ++i) gateway.Send("NTFY 9 aaln/1@gw MGCP 1.0\r\nO: L/hu\r\n");
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(commands.size(), 1U);
  ASSERT_EQ(gateway.received.size(), 3U);
  EXPECT_EQ(gateway.received[0], gateway.received[2]);
  EXPECT_EQ(layer->counters().received_again, 2U);
}

TEST_F(TransactionsTest, DoesNotRetransmitWhileResponseMayBeInLocalQueue) {
  runtime.SetQueueDelay(1'000 * kMs);
  Send();
  runtime.RunFor(900 * kMs);
  // The time-out is 200 ms, but a response may be delayed by 1 s in the queue.
  EXPECT_EQ(gateway.received.size(), 1U);
  runtime.SetQueueDelay(2'000 * kMs);  // the queue grows while the timer runs
  runtime.RunFor(900 * kMs);
  EXPECT_EQ(gateway.received.size(), 1U);
  EXPECT_EQ(layer->counters().postponed, 1U);
  runtime.SetQueueDelay(0);
  runtime.RunFor(3'000 * kMs);
  EXPECT_GE(gateway.received.size(), 2U);  // the response must have been lost
  runtime.RunFor(30'000 * kMs);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0], TransactionOutcome::kNoResponse);
}

TEST_F(TransactionsTest, NeverExecutesAcknowledgedCommandAgain) {
  gateway.Send("NTFY 9 aaln/1@gw MGCP 1.0\r\nO: L/hu\r\n");
  runtime.RunFor(kMs);
  gateway.Send("NTFY 10 aaln/1@gw MGCP 1.0\r\nK: 9\r\nO: L/hd\r\n");
  gateway.Send("NTFY 9 aaln/1@gw MGCP 1.0\r\nO: L/hu\r\n");  // a delayed copy
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(commands.size(), 2U);
  EXPECT_EQ(gateway.received.size(), 2U);  // the copy is dropped without a response
}

TEST_F(TransactionsTest, AcknowledgedCommandsUseNoHistoryAndAreNotExecutedAgain) {
  TransactionSettings settings;
  settings.max_history = 4;
  Open(settings);
  for (int i = 1; i <= 200; ++i) {
    gateway.Send("NTFY " + std::to_string(i) + " aaln/1@gw MGCP 1.0\r\nK: " + std::to_string(i - 1) +
                 "\r\nO: L/hu\r\n");
    runtime.RunFor(kMs);
  }
  EXPECT_EQ(commands.size(), 200U);
  EXPECT_LE(layer->history(), 2U);
  for (const int late : {1, 57, 198})
    gateway.Send("NTFY " + std::to_string(late) + " aaln/1@gw MGCP 1.0\r\nO: L/hu\r\n");
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(commands.size(), 200U);
  runtime.RunFor(70'000 * kMs);  // more than twice T-HIST: the sender may reuse the identifiers
  gateway.Send("NTFY 57 aaln/1@gw MGCP 1.0\r\nO: L/hu\r\n");
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(commands.size(), 201U);
}

TEST_F(TransactionsTest, SlowCommandUsesProvisionalResponseAndHandshake) {
  respond_immediately = false;
  gateway.Send("NTFY 9 aaln/1@gw MGCP 1.0\r\nO: L/hu\r\n");
  runtime.RunFor(kMs);
  gateway.Send("NTFY 9 aaln/1@gw MGCP 1.0\r\nO: L/hu\r\n");
  runtime.RunFor(kMs);
  layer->Respond(commands.at(0), 200);
  runtime.RunFor(kMs);
  ASSERT_EQ(gateway.received.size(), 2U);
  EXPECT_EQ(gateway.received[0], "100 9\r\n");
  EXPECT_EQ(gateway.received[1], "200 9\r\nK: \r\n");
  EXPECT_EQ(commands.size(), 1U);
}

TEST_F(TransactionsTest, RetransmitsWithBackOffAndGivesUpWithoutResponse) {
  TransactionSettings settings;
  settings.give_up_us = 5'000 * kMs;
  Open(settings);
  Send();
  runtime.RunFor(10'000 * kMs);
  EXPECT_GE(gateway.received.size(), 4U);
  EXPECT_LE(gateway.received.size(), 8U);
  for (const std::string& copy : gateway.received) EXPECT_EQ(copy, gateway.received[0]);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0], TransactionOutcome::kNoResponse);
  EXPECT_EQ(layer->pending(), 0U);
}

TEST_F(TransactionsTest, ProvisionalResponseStopsShortTimer) {
  const auto id = std::to_string(Send());
  gateway.Send("100 " + id + "\r\n");
  runtime.RunFor(1'500 * kMs);
  EXPECT_EQ(gateway.received.size(), 1U);
  gateway.Send("200 " + id + "\r\nK:\r\n");
  runtime.RunFor(kMs);
  ASSERT_EQ(gateway.received.size(), 2U);
  EXPECT_EQ(gateway.received[1], "000 " + id + "\r\n");
  EXPECT_EQ(codes, std::vector<int>{200});
}

TEST_F(TransactionsTest, RetransmissionTimerAdaptsToRoundTrip) {
  for (int i = 0; i < 20; ++i) {
    const auto id = std::to_string(Send());
    runtime.RunFor(2 * kMs);
    gateway.Send("200 " + id + "\r\n");
    runtime.RunFor(2 * kMs);
  }
  gateway.received.clear();
  Send();
  runtime.RunFor(60 * kMs);  // far under the first time-out of 200 ms
  EXPECT_GE(gateway.received.size(), 2U);
}

TEST_F(TransactionsTest, AcknowledgesResponsesInNextCommand) {
  const auto id = std::to_string(Send());
  gateway.Send("200 " + id + "\r\n");
  runtime.RunFor(kMs);
  Send();
  runtime.RunFor(kMs);
  EXPECT_NE(gateway.received.back().find("K: " + id + "\r\n"), std::string::npos);
}

TEST_F(TransactionsTest, CountsAndIgnoresUnknownResponses) {
  gateway.Send("200 4711\r\n");
  gateway.Send("000 4711\r\n");
  runtime.RunFor(kMs);
  EXPECT_EQ(layer->counters().unknown_responses, 1U);
  EXPECT_TRUE(gateway.received.empty());
}

TEST_F(TransactionsTest, StoppedCommandIsNotRetransmittedButAcceptsLateResponse) {
  const auto id = Send();
  runtime.RunFor(kMs);
  layer->StopRetransmitting(id);
  runtime.RunFor(3'000 * kMs);
  EXPECT_EQ(gateway.received.size(), 1U);
  gateway.Send("200 " + std::to_string(id) + "\r\n");
  runtime.RunFor(kMs);
  EXPECT_EQ(codes, std::vector<int>{200});
}

TEST_F(TransactionsTest, RejectsMalformedCommandsWithoutExecutingThem) {
  gateway.Send("NTFY 9 aaln/1@gw MGCP 9.9\r\n");
  gateway.Send("NTFY 10 aaln MGCP 1.0\r\n");
  gateway.Send("NTFY x aaln/1@gw MGCP 1.0\r\n");
  gateway.Send("999\r\n");
  gateway.Send(std::string("\0\0\0\xff", 4));
  gateway.Send("");
  runtime.RunFor(kMs);
  EXPECT_TRUE(commands.empty());
  ASSERT_EQ(gateway.received.size(), 2U);
  EXPECT_EQ(gateway.received[0].substr(0, 5), "528 9");
  EXPECT_EQ(gateway.received[1].substr(0, 6), "500 10");
  EXPECT_EQ(layer->counters().malformed, 5U);
}

TEST_F(TransactionsTest, RejectsCommandWhenHistoryIsFull) {
  TransactionSettings settings;
  settings.max_history = 2;
  settings.history_us = 1'000 * kMs;
  Open(settings);
  for (int i = 1; i <= 4; ++i) gateway.Send("NTFY " + std::to_string(i) + " aaln/1@gw MGCP 1.0\r\nO: L/hu\r\n");
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(commands.size(), 2U);
  ASSERT_EQ(gateway.received.size(), 4U);
  EXPECT_EQ(gateway.received[3].substr(0, 3), "409");
  runtime.RunFor(2'000 * kMs);  // T-HIST has passed
  gateway.Send("NTFY 5 aaln/1@gw MGCP 1.0\r\nO: L/hu\r\n");
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(commands.size(), 3U);
  EXPECT_LE(layer->history(), 2U);
}

TEST_F(TransactionsTest, LimitsPendingCommands) {
  TransactionSettings settings;
  settings.max_pending = 16;
  Open(settings);
  for (int i = 0; i < 20; ++i) Send();
  EXPECT_EQ(layer->pending(), 16U);
  EXPECT_EQ(std::count(outcomes.begin(), outcomes.end(), TransactionOutcome::kTooManyPending), 4);
}

TEST_F(TransactionsTest, PiggybacksCorkedCommandsInOrder) {
  {
    const Transactions::Cork cork(layer.get());
    Send("C: first\r\n");
    Send("C: second\r\n");
  }
  runtime.RunFor(kMs);
  ASSERT_EQ(gateway.received.size(), 1U);
  const auto parsed = ParseDatagram(gateway.received[0]);
  ASSERT_EQ(parsed.size(), 2U);
  EXPECT_EQ(std::get<Message>(parsed[0]).Get("C"), "first");
  EXPECT_EQ(std::get<Message>(parsed[1]).Get("C"), "second");
}

}  // namespace
}  // namespace croftrun::mgcp
