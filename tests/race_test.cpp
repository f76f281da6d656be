// Tests races between two messages: pairs of events in both orders and in one turn of the event loop, on virtual time.
// Each accepted call is accounted for: one final answer, at most one outstanding attempt, no call left over.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "platform_fixture.h"

namespace croftrun::platform {
namespace {

std::string SetUpLine(const std::string& id, int destination, const std::string& key = "7f3a9c21e0b4d655") {
  return WriteMessage({.type = MessageType::kSetUp,
                       .id = id,
                       .fields = {{"class", "voice"},
                                  {"left", "3000"},
                                  {"key", key},
                                  {"extras", "dest:" + std::to_string(destination) + ";width:1;via:-1"}},
                       .description = "offer"});
}

std::string ReleaseLine(const std::string& id) {
  return WriteMessage({.type = MessageType::kRelease, .id = id, .cause = 16});
}

std::string CallNumber(std::size_t number) {
  std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

json Metrics(const Node& node) { return json::parse(node.Metrics()); }

using RaceTest = PlatformTest;

// ---- clients that leave ----

TEST_F(RaceTest, DropsSetUpReleasedInSameData) {
  const auto caller = ConnectCaller();
  caller->SendRaw(SetUpLine(kCall, 1) + ReleaseLine(kCall) + SetUpLine(kOtherCall, 1));
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(exchange_1_.Received(MessageType::kSetUp).size(), 1U);
  EXPECT_EQ(exchange_1_.Received(MessageType::kSetUp)[0].id, kOtherCall);
  EXPECT_TRUE(caller->FinalMessages(kCall).empty());
  EXPECT_EQ(caller->FinalMessages(kOtherCall).size(), 1U);
  EXPECT_EQ(node_->callers().unanswered_set_ups(), 0U);
}

TEST_F(RaceTest, DropsSetUpFollowedByInvalidLine) {
  const auto caller = ConnectCaller();
  caller->SendRaw(SetUpLine(kCall, 1) + "nonsense\n");
  runtime_.RunFor(5 * kMs);
  EXPECT_TRUE(caller->connection.end.has_value());
  EXPECT_TRUE(exchange_1_.Received(MessageType::kSetUp).empty());
  EXPECT_EQ(node_->callers().open_calls(), 0U);
  EXPECT_EQ(node_->core().open_calls(), 0U);
}

TEST_F(RaceTest, StartsNoAttemptForWaitingCallAfterCallerLeft) {
  // The caller leaves while the call waits for a circuit, and while it waits for the release after a reset.
  for (const bool no_circuit_free : {true, false}) {
    int attempts = 0;
    exchange_1_.on_set_up = [&attempts](PlatformConnection& connection, const Message&) {
      ++attempts;
      connection.Reset();
    };
    for (PlatformConnection* const connection : exchange_1_.OpenConnections())
      connection->Send({.type = MessageType::kGroupReport,
                        .id = "0000000000000000",
                        .fields = {{"load", no_circuit_free ? "spare:0;total:20" : "spare:20;total:20"}}});
    for (PlatformConnection* const connection : exchange_2_.OpenConnections())
      connection->Send(
          {.type = MessageType::kGroupReport, .id = "0000000000000000", .fields = {{"load", "spare:0;total:20"}}});
    runtime_.RunFor(kMs);
    auto caller = ConnectCaller();
    caller->SendRaw(SetUpLine(no_circuit_free ? kOtherCall : kCall, 1, no_circuit_free ? "a1" : "a2"));
    runtime_.RunFor(50 * kMs);
    EXPECT_EQ(attempts, no_circuit_free ? 0 : 1);
    EXPECT_EQ(node_->core().open_calls(), 1U) << no_circuit_free;
    caller->connection.stream.reset();
    runtime_.RunFor(10 * kMs);
    for (PlatformConnection* const connection : exchange_1_.OpenConnections())
      connection->Send(
          {.type = MessageType::kGroupReport, .id = "0000000000000000", .fields = {{"load", "spare:19;total:20"}}});
    runtime_.RunFor(4'000 * kMs);
    EXPECT_EQ(attempts, no_circuit_free ? 0 : 1);
    EXPECT_EQ(node_->core().open_calls(), 0U);
  }
}

// ---- callers' connections ----

TEST_F(RaceTest, KeepsConnectionWithEndlessLineUntilPendingAnswerIsSent) {
  json config = ConfigJson();
  config["settings"]["grades"][0]["slo_us"] = 8'000'000;  // longer than the timeout of an incomplete line
  std::vector<config::SettingsError> mistakes;
  node_.reset();
  node_ = std::make_unique<Node>(ParseNodeConfig(config.dump(), "", "", &mistakes), &runtime_, &log_);
  runtime_.RunFor(50 * kMs);
  SendReports();
  PlatformConnection* pending_connection = nullptr;
  exchange_1_.on_set_up = [&pending_connection](PlatformConnection& connection, const Message&) {
    pending_connection = &connection;
  };
  const auto caller = ConnectCaller();
  caller->SetUp(kCall, 1, "", "9000");
  caller->SendRaw("{\"t\":\"new\",");
  runtime_.RunFor(3'000 * kMs);
  EXPECT_FALSE(caller->connection.end.has_value());
  ASSERT_NE(pending_connection, nullptr);
  PlatformExchange::Answer(*pending_connection, kCall, "good");
  runtime_.RunFor(5 * kMs);
  EXPECT_EQ(caller->FinalMessages(kCall).size(), 1U);
  runtime_.RunFor(500 * kMs);
  EXPECT_TRUE(caller->connection.end.has_value());  // no answer is pending any more
}

TEST_F(RaceTest, ServesWaitingConnectionOnceLimitAllowsIt) {
  exchange_1_.on_set_up = [](PlatformConnection&, const Message&) {};
  for (PlatformConnection* const connection : exchange_1_.OpenConnections())
    connection->Send(
        {.type = MessageType::kGroupReport, .id = "0000000000000000", .fields = {{"load", "spare:200;total:200"}}});
  std::vector<std::unique_ptr<PlatformCaller>> busy;
  while (node_->callers().connection_count() < kMaxCallerConnections) {
    busy.push_back(ConnectCaller());
    busy.back()->SetUp(CallNumber(busy.size()), 1, "", "9000");
    runtime_.RunFor(kMs);
  }
  ASSERT_EQ(node_->callers().unanswered_set_ups(), kMaxCallerConnections);
  exchange_1_.on_set_up = [](PlatformConnection& connection, const Message& message) {
    PlatformExchange::Answer(connection, message.id, "good");
  };
  const auto next = ConnectCaller();
  next->SetUp(kCall, 1);
  runtime_.RunFor(100 * kMs);
  EXPECT_FALSE(next->connection.end.has_value());
  EXPECT_TRUE(next->FinalMessages(kCall).empty());
  busy[3]->connection.stream.reset();
  runtime_.RunFor(50 * kMs);
  ASSERT_EQ(next->FinalMessages(kCall).size(), 1U);
  EXPECT_EQ(next->FinalMessages(kCall)[0].type, MessageType::kAnswer);
}

TEST_F(RaceTest, IdleClientsDoNotBlockOthersWhileDiscoveryIsDown) {
  json config = ConfigJson();
  config["board"] = core::ToString(kOtherDiscovery);  // no service listens there yet
  std::vector<config::SettingsError> mistakes;
  node_.reset();
  node_ = std::make_unique<Node>(ParseNodeConfig(config.dump(), "", "", &mistakes), &runtime_, &log_);
  std::vector<std::unique_ptr<PlatformCaller>> idle;
  for (int i = 0; i < 150; ++i) idle.push_back(ConnectCaller(0x7f000100U + static_cast<unsigned>(i)));
  EXPECT_EQ(node_->callers().connection_count(), kMaxCallerConnections);
  PlatformDiscovery other(&runtime_, kOtherDiscovery);
  other.Store(2, EventJson(2, false, json::array({TargetJson(2, "Terminating")})));
  runtime_.RunFor(700 * kMs);
  EXPECT_EQ(Metrics(*node_)["board"]["last"], 2);
  SendReports();
  const auto regular = ConnectCaller();
  runtime_.RunFor(200 * kMs);
  EstablishCall(*regular, kCall);
}

TEST_F(RaceTest, ShutdownWaitsForPartialLine) {
  bool stopped = false;
  const auto caller = ConnectCaller();
  const std::string line = SetUpLine(kCall, 1);
  caller->SendRaw(line.substr(0, 40));
  node_->Stop([&stopped] { stopped = true; });
  runtime_.RunFor(1'200 * kMs);
  EXPECT_FALSE(stopped);
  EXPECT_FALSE(caller->connection.end.has_value());
  caller->SendRaw(line.substr(40));
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(caller->FinalMessages(kCall).size(), 1U);
  EXPECT_EQ(caller->FinalMessages(kCall)[0].cause, 42);
  runtime_.RunFor(200 * kMs);
  EXPECT_TRUE(stopped);
}

TEST_F(RaceTest, ShutdownTimeIsBounded) {
  bool stopped = false;
  std::vector<std::unique_ptr<PlatformCaller>> callers;
  node_->Stop([&stopped] { stopped = true; });
  for (int i = 0; i < 60 && !stopped; ++i) {  // new clients keep arriving and send an incomplete line
    callers.push_back(ConnectCaller());
    callers.back()->SendRaw("{\"t\":");
    runtime_.RunFor(80 * kMs);
  }
  EXPECT_TRUE(stopped);
}

// ---- directory ----

TEST_F(RaceTest, RequestsMissingEventsAfterLastAppliedOne) {
  discovery_.Store(2, EventJson(2, false, json::array({TargetJson(2, "Terminating")})));
  PublishChanges(3, {TargetJson(1, "Terminating")});
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(discovery_.last_event_ids, (std::vector<std::string>{"1", "1"}));
  EXPECT_EQ(Metrics(*node_)["board"]["last"], 3);
  const auto caller = ConnectCaller();
  caller->SetUp(kCall, 1);
  caller->SetUp(kOtherCall, 2);
  runtime_.RunFor(2'000 * kMs);
  EXPECT_TRUE(exchange_1_.Received(MessageType::kSetUp).empty());
  EXPECT_TRUE(exchange_2_.Received(MessageType::kSetUp).empty());
}

TEST_F(RaceTest, AppliesDrainBeyondGapAtOnceAndSkipsPermanentGap) {
  discovery_.Write("id: 5\ndata: " +
                   EventJson(5, false, json::array({TargetJson(1, "Terminating"), TargetJson(2, "Ready")})) + "\n\n");
  runtime_.RunFor(kMs / 2);
  const auto caller = ConnectCaller();
  caller->SetUp(kCall, 1);
  runtime_.RunFor(100 * kMs);
  EXPECT_TRUE(exchange_1_.Received(MessageType::kSetUp).empty());
  for (const std::uint64_t number : {5U, 6U}) PublishChanges(number, {TargetJson(2, "Terminating")});
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(discovery_.last_event_ids, (std::vector<std::string>{"1", "1"}));
  EXPECT_EQ(Metrics(*node_)["board"]["last"], 6);
  EXPECT_EQ(Metrics(*node_)["board"]["gaps"], 1);
}

TEST_F(RaceTest, RequestsUnreadableEventOnlyOnceMore) {
  discovery_.Store(2, EventJson(2, false, json::array({TargetJson(1, "Terminating")})));
  discovery_.Write("id: 2\ndata: {\"rev\":2,\"pool\":{}}\n\n");
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(discovery_.last_event_ids.size(), 2U);
  EXPECT_EQ(Metrics(*node_)["board"]["last"], 2);
  discovery_.Publish(3, "nothing of use");
  runtime_.RunFor(1'000 * kMs);
  EXPECT_EQ(discovery_.last_event_ids.size(), 3U);
  PublishChanges(4, {TargetJson(1, "Ready")});
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(Metrics(*node_)["board"]["last"], 4);
}

TEST_F(RaceTest, LateNotificationOfOldExchangeDoesNotAffectSuccessor) {
  PublishChanges(2, {TargetJson(1, "Ready", "s-new")});
  runtime_.RunFor(5 * kMs);
  SendReports();
  for (const std::uint64_t number : {3U, 5U}) {
    PublishChanges(number, {TargetJson(1, number == 3U ? "Terminating" : "Ready", "s-1")});
    runtime_.RunFor(5 * kMs);
    EXPECT_EQ(node_->exchanges().Find("s-1"), 0U);
    EXPECT_NE(node_->exchanges().Find("s-new"), 0U);
    EXPECT_EQ(node_->exchanges().exchange_count(), 3U);
    EXPECT_EQ(exchange_1_.OpenConnections().size(), 1U);
    PublishChanges(number + 1, {TargetJson(2, "Ready")});
    runtime_.RunFor(5 * kMs);
  }
  const auto caller = ConnectCaller();
  EstablishCall(*caller, kCall);
}

TEST_F(RaceTest, UsesExchangeThatReturnsAtItsAddress) {
  PublishChanges(2, {TargetJson(1, "Ready", "s-new")});
  const std::int64_t later = runtime_.WallClockUs() / 1000 + 1'000;
  PublishChanges(3, {TargetJson(1, "Gone", "s-new")});
  PublishChanges(4, {TargetJson(1, "Ready", "s-1", later)});
  runtime_.RunFor(5 * kMs);
  EXPECT_NE(node_->exchanges().Find("s-1"), 0U);
  EXPECT_EQ(node_->exchanges().Find("s-new"), 0U);
}

TEST_F(RaceTest, UsesExchangeAfterDrainIsCancelled) {
  PublishChanges(2, {TargetJson(1, "Terminating")});
  PublishChanges(3, {TargetJson(1, "Ready")});
  runtime_.RunFor(5 * kMs);
  const auto caller = ConnectCaller();
  EstablishCall(*caller, kCall);
}

// ---- exchanges ----

TEST_F(RaceTest, QueuedReleaseDoesNotReachAdoptedCallWithSameId) {
  const auto caller = ConnectCaller();
  EstablishCall(*caller, kCall);
  for (PlatformConnection* const connection : exchange_1_.OpenConnections()) connection->Reset();
  // Both arrive after the reset and before the next connection is open.
  caller->SendRaw(ReleaseLine(kCall));
  caller->SetUp(kCall, 1, ";at:s-1");
  runtime_.RunFor(50 * kMs);
  ASSERT_FALSE(exchange_1_.OpenConnections().empty());
  EXPECT_TRUE(exchange_1_.Received(MessageType::kRelease).empty());
  EXPECT_EQ(node_->callers().open_calls(), 1U);
  PlatformExchange::Release(*exchange_1_.OpenConnections()[0], kCall, 16);
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(caller->FinalMessages(kCall).size(), 2U);
  EXPECT_EQ(node_->exchanges().call_leg_count(), 0U);
}

TEST_F(RaceTest, AvoidsUnresponsiveConnectionUntilDataArrives) {
  exchange_1_.on_set_up = [](PlatformConnection&, const Message&) {};
  const auto caller = ConnectCaller();
  caller->SetUp(kCall, 1);
  caller->SetUp(kOtherCall, 1);
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(exchange_1_.OpenConnections().size(), 2U);
  PlatformConnection* const silent = exchange_1_.OpenConnections()[0];
  PlatformConnection* const other = exchange_1_.OpenConnections()[1];
  ASSERT_EQ(silent->received.back().id, kCall);
  caller->Release(kCall);
  PlatformExchange::Answer(*other, kOtherCall, "good");
  runtime_.RunFor(5 * kMs);
  caller->SetUp(CallNumber(1), 1);
  runtime_.RunFor(5 * kMs);
  EXPECT_EQ(other->received.back().id, CallNumber(1));
  PlatformExchange::Answer(*other, CallNumber(1), "good");
  silent->Send({.type = MessageType::kAcknowledgement, .id = kCall});
  runtime_.RunFor(5 * kMs);
  caller->SetUp(CallNumber(2), 1);
  runtime_.RunFor(5 * kMs);
  EXPECT_EQ(silent->received.back().id, CallNumber(2));
  EXPECT_EQ(exchange_1_.OpenConnections().size(), 2U);
}

// ---- the core and a caller that has left before the notification of it arrives ----

struct LeavingCaller final : core::CallOwner {
  void OnFinalAnswer(CallId, const core::FinalAnswer&) override { ++final_answers; }
  void OnCallEnded(CallId, core::ReleaseCause) override {}
  bool HasLeft(CallId) const override { return has_left; }
  bool has_left = false;
  int final_answers = 0;
};

struct Trunks final : core::TrunkDriver {
  void SetUp(const core::TrunkSetUp& set_up) override { sent.push_back(set_up.attempt); }
  void Release(const core::CircuitSet&, const core::ReleaseInfo&) override { ++released; }
  void Answer(const core::CircuitSet&, std::string_view) override {}
  void Connect(const core::CircuitSet&, std::string_view) override {}
  void ProbeGroup(int) override {}
  std::vector<int> sent;
  int released = 0;
};

class LeavingCallerTest : public ::testing::TestWithParam<bool> {};

TEST_P(LeavingCallerTest, SendsNothingAndKeepsNoCallForCallerThatLeft) {
  const bool before_sending = GetParam();
  sim::VirtualRuntime runtime(7);
  NullLogger log;
  std::vector<config::SettingsError> mistakes;
  core::CoreSettings settings;
  settings.module = ParseNodeConfig(ConfigJson().dump(), "", "", &mistakes).module;
  settings.network_manages_circuits = true;
  core::CallCore core(settings, &runtime, &log);
  Trunks trunks;
  core.SetTrunks(&trunks);
  DirectoryUpdate directory;
  directory.entries = {{.exchange = 1, .number = 0}, {.exchange = 2, .number = 1}};
  core.OnDirectory(directory);
  core.OnGroupReport(2, {20.0F, 20.0F});
  LeavingCaller caller;
  core::CallRequest request;
  request.destination = 1;
  request.caller_timeout_us = 3'000 * kMs;
  caller.has_left = before_sending;
  const CallId call = core.AcceptCall(request, &caller);
  caller.has_left = true;
  if (!before_sending) core.OnTrunkAnswered(call, 0);
  EXPECT_EQ(trunks.sent.size(), before_sending ? 0U : 1U);
  EXPECT_EQ(trunks.released, 1);
  EXPECT_EQ(caller.final_answers, 0);
  EXPECT_EQ(core.open_calls(), 0U);
  // The decision module received the end of the call: the next call is sent as usual.
  LeavingCaller other;
  core.AcceptCall(request, &other);
  EXPECT_EQ(trunks.sent.size(), before_sending ? 1U : 2U);
}

INSTANTIATE_TEST_SUITE_P(BeforeSendingAndAtAnswer, LeavingCallerTest, ::testing::Bool());

// ---- pairs of events that can end a set-up, in both orders and in one turn of the event loop ----

enum class SetUpEvent {
  kAnswer,
  kRefusal,
  kError,
  kReset,
  kCallerReleases,
  kCallerCloses,
  kDrain,
  kGone,
  kConnectionBreaks,
  kExchangeDies
};
constexpr SetUpEvent kAllEvents[] = {
    SetUpEvent::kAnswer,           SetUpEvent::kRefusal,      SetUpEvent::kError, SetUpEvent::kReset,
    SetUpEvent::kCallerReleases,   SetUpEvent::kCallerCloses, SetUpEvent::kDrain, SetUpEvent::kGone,
    SetUpEvent::kConnectionBreaks, SetUpEvent::kExchangeDies};

class PairTest : public PlatformTest, public ::testing::WithParamInterface<std::tuple<SetUpEvent, SetUpEvent>> {
 protected:
  void Apply(SetUpEvent event) {
    PlatformConnection* const connection = pending_connection_;
    switch (event) {
      case SetUpEvent::kAnswer:
        ++answers_sent_;
        return PlatformExchange::Answer(*connection, kCall, "answered");
      case SetUpEvent::kRefusal:
        return PlatformExchange::Release(*connection, kCall, 34, "all_trunks_busy");
      case SetUpEvent::kError:
        return PlatformExchange::Release(*connection, kCall, 47);
      case SetUpEvent::kReset:
        return PlatformExchange::Release(*connection, kCall, 41);
      case SetUpEvent::kCallerReleases:
        if (caller_->connection.stream != nullptr) caller_->Release(kCall);
        caller_left_ = true;
        return;
      case SetUpEvent::kCallerCloses:
        caller_->connection.stream.reset();
        caller_left_ = true;
        return;
      case SetUpEvent::kDrain:
        return PublishChanges(++event_number_, {TargetJson(1, "Terminating")});
      case SetUpEvent::kGone:
        return PublishChanges(++event_number_, {TargetJson(1, "Gone")});
      case SetUpEvent::kConnectionBreaks:
        return connection->Reset();
      case SetUpEvent::kExchangeDies:
        return exchange_1_.Stop();
    }
  }
  std::unique_ptr<PlatformCaller> caller_;
  PlatformConnection* pending_connection_ = nullptr;
  std::uint64_t event_number_ = 1;
  int answers_sent_ = 0;
  bool caller_left_ = false;
};

TEST_P(PairTest, EndsCallOnceAndReleasesEstablishedCall) {
  std::size_t outstanding = 0, max_outstanding = 0, attempts = 0;
  exchange_1_.on_set_up = [&](PlatformConnection& connection, const Message&) {
    ++attempts;
    max_outstanding = std::max(max_outstanding, ++outstanding);
    if (attempts == 1) {
      pending_connection_ = &connection;
    } else {
      PlatformExchange::Release(connection, kCall, 34, "all_trunks_busy");
      --outstanding;
    }
  };
  exchange_2_.on_set_up = [](PlatformConnection& connection, const Message& message) {
    PlatformExchange::Release(connection, message.id, 34, "via_said_no");
  };
  caller_ = ConnectCaller();
  caller_->SetUp(kCall, 1);
  runtime_.RunFor(5 * kMs);
  ASSERT_NE(pending_connection_, nullptr);
  const auto [first, second] = GetParam();
  outstanding = 0;  // the events below end the attempt
  Apply(first);
  Apply(second);
  runtime_.RunFor(100 * kMs);
  const auto messages = caller_->FinalMessages(kCall);
  const auto answered =
      std::count_if(messages.begin(), messages.end(), [](const Message& m) { return m.type == MessageType::kAnswer; });
  EXPECT_LE(answered, 1);
  // An established call belongs to no connection and is released by either side. All other calls end by their own
  // timeouts.
  const bool is_established = node_->callers().open_calls() == 1 && node_->callers().unanswered_set_ups() == 0;
  if (is_established && caller_left_) {
    PlatformExchange::Release(*pending_connection_, kCall, 16);
  } else if (is_established) {
    caller_->Release(kCall);
  }
  runtime_.RunFor(4'000 * kMs);
  const auto all_messages = caller_->FinalMessages(kCall);
  EXPECT_LE(std::count_if(all_messages.begin(), all_messages.end(),
                          [](const Message& m) { return m.type == MessageType::kAnswer; }),
            1);
  EXPECT_LE(all_messages.size(), 2U);
  EXPECT_TRUE(caller_left_ || !all_messages.empty()) << "no final answer";
  EXPECT_LE(max_outstanding, 1U);
  EXPECT_EQ(node_->callers().open_calls(), 0U);
  EXPECT_EQ(node_->callers().unanswered_set_ups(), 0U);
  EXPECT_EQ(node_->core().open_calls(), 0U);
  EXPECT_EQ(node_->exchanges().call_leg_count(), 0U);
  // A call that was answered after the caller had left is released at the exchange, unless its connections or the
  // exchange itself are gone.
  const auto is_removal_or_failure = [](SetUpEvent event) {
    return event == SetUpEvent::kGone || event == SetUpEvent::kConnectionBreaks || event == SetUpEvent::kExchangeDies ||
           event == SetUpEvent::kRefusal || event == SetUpEvent::kError || event == SetUpEvent::kReset;
  };
  if (answers_sent_ > 0 && caller_left_ && !is_established && !is_removal_or_failure(first) &&
      !is_removal_or_failure(second)) {
    EXPECT_FALSE(exchange_1_.Received(MessageType::kRelease).empty());
  }
}

INSTANTIATE_TEST_SUITE_P(AllPairs, PairTest,
                         ::testing::Combine(::testing::ValuesIn(kAllEvents), ::testing::ValuesIn(kAllEvents)));

}  // namespace
}  // namespace croftrun::platform
