// What may come between two lines: pairs of events in both orders and in one turn, on virtual time. Each call that a
// test takes is accounted for: one final answer, one attempt out, nothing left standing.
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

using CrossingsTest = PlatformTest;

// ---- clients that leave ----

TEST_F(CrossingsTest, ASetUpTakenBackBehindItInTheSameOctetsIsNeverSentOn) {
  const auto caller = Caller();
  caller->Raw(SetUpLine(kCall, 1) + ReleaseLine(kCall) + SetUpLine(kOther, 1));
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(one_.Heard(MessageType::kSetUp).size(), 1U);
  EXPECT_EQ(one_.Heard(MessageType::kSetUp)[0].id, kOther);
  EXPECT_TRUE(caller->For(kCall).empty());
  EXPECT_EQ(caller->For(kOther).size(), 1U);
  EXPECT_EQ(node_->callers().unanswered(), 0U);
}

TEST_F(CrossingsTest, ASetUpBeforeALineThatEndsItsConnectionIsNeverSentOn) {
  const auto caller = Caller();
  caller->Raw(SetUpLine(kCall, 1) + "nonsense\n");
  runtime_.RunFor(5 * kMs);
  EXPECT_TRUE(caller->link.end.has_value());
  EXPECT_TRUE(one_.Heard(MessageType::kSetUp).empty());
  EXPECT_EQ(node_->callers().open_calls(), 0U);
  EXPECT_EQ(node_->core().open_calls(), 0U);
}

TEST_F(CrossingsTest, NoAttemptBeginsForACallThatWaitedWhenItsCallerLeft) {
  // Waits, each with the end of its caller in it: for a circuit, and for the release after a reset.
  for (const bool full : {true, false}) {
    int asked = 0;
    one_.on_set_up = [&asked](PlatformLink& link, const Message&) {
      ++asked;
      link.Break();
    };
    for (PlatformLink* const link : one_.OpenLinks())
      link->Send({.type = MessageType::kGauge,
                  .id = "0000000000000000",
                  .fields = {{"load", full ? "spare:0;total:20" : "spare:20;total:20"}}});
    for (PlatformLink* const link : two_.OpenLinks())
      link->Send({.type = MessageType::kGauge, .id = "0000000000000000", .fields = {{"load", "spare:0;total:20"}}});
    runtime_.RunFor(kMs);
    auto caller = Caller();
    caller->Raw(SetUpLine(full ? kOther : kCall, 1, full ? "a1" : "a2"));
    runtime_.RunFor(50 * kMs);
    EXPECT_EQ(asked, full ? 0 : 1);
    EXPECT_EQ(node_->core().open_calls(), 1U) << full;
    caller->link.stream.reset();
    runtime_.RunFor(10 * kMs);
    for (PlatformLink* const link : one_.OpenLinks())
      link->Send({.type = MessageType::kGauge, .id = "0000000000000000", .fields = {{"load", "spare:19;total:20"}}});
    runtime_.RunFor(4'000 * kMs);
    EXPECT_EQ(asked, full ? 0 : 1);
    EXPECT_EQ(node_->core().open_calls(), 0U);
  }
}

// ---- callers' connections ----

TEST_F(CrossingsTest, ALineThatNeverEndsCostsNoAnswerThatIsOwedOnItsConnection) {
  json config = ConfigJson();
  config["settings"]["grades"][0]["slo_us"] = 8'000'000;  // an answer is in time long after a line is given up
  std::vector<config::Mistake> mistakes;
  node_.reset();
  node_ = std::make_unique<Node>(ParseNodeConfig(config.dump(), "", "", &mistakes), &runtime_, &log_);
  runtime_.RunFor(50 * kMs);
  Gauges();
  PlatformLink* asked = nullptr;
  one_.on_set_up = [&asked](PlatformLink& link, const Message&) { asked = &link; };
  const auto caller = Caller();
  caller->SetUp(kCall, 1, "", "9000");
  caller->Raw("{\"t\":\"new\",");
  runtime_.RunFor(3'000 * kMs);
  EXPECT_FALSE(caller->link.end.has_value());
  ASSERT_NE(asked, nullptr);
  PlatformExchange::Answer(*asked, kCall, "good");
  runtime_.RunFor(5 * kMs);
  EXPECT_EQ(caller->For(kCall).size(), 1U);
  runtime_.RunFor(500 * kMs);
  EXPECT_TRUE(caller->link.end.has_value());  // nothing is owed on it any more
}

TEST_F(CrossingsTest, AConnectionThatFindsNoRoomWaitsAndIsServedWhenThereIsSome) {
  one_.on_set_up = [](PlatformLink&, const Message&) {};
  for (PlatformLink* const link : one_.OpenLinks())
    link->Send({.type = MessageType::kGauge, .id = "0000000000000000", .fields = {{"load", "spare:200;total:200"}}});
  std::vector<std::unique_ptr<PlatformCaller>> busy;
  while (node_->callers().links() < 68) {
    busy.push_back(Caller());
    busy.back()->SetUp(CallNumber(busy.size()), 1, "", "9000");
    runtime_.RunFor(kMs);
  }
  ASSERT_EQ(node_->callers().unanswered(), 68U);
  one_.on_set_up = [](PlatformLink& link, const Message& message) {
    PlatformExchange::Answer(link, message.id, "good");
  };
  const auto next = Caller();
  next->SetUp(kCall, 1);
  runtime_.RunFor(100 * kMs);
  EXPECT_FALSE(next->link.end.has_value());
  EXPECT_TRUE(next->For(kCall).empty());
  busy[3]->link.stream.reset();
  runtime_.RunFor(50 * kMs);
  ASSERT_EQ(next->For(kCall).size(), 1U);
  EXPECT_EQ(next->For(kCall)[0].type, MessageType::kAnswer);
}

TEST_F(CrossingsTest, IdleClientsThatFillTheRoomWhileTheBoardIsAwayKeepNobodyOut) {
  json config = ConfigJson();
  config["board"] = core::ToString(kOtherBoard);  // nothing listens there yet
  std::vector<config::Mistake> mistakes;
  node_.reset();
  node_ = std::make_unique<Node>(ParseNodeConfig(config.dump(), "", "", &mistakes), &runtime_, &log_);
  std::vector<std::unique_ptr<PlatformCaller>> idle;
  for (int i = 0; i < 150; ++i) idle.push_back(Caller(0x7f000100U + static_cast<unsigned>(i)));
  EXPECT_EQ(node_->callers().links(), 68U);
  PlatformBoard other(&runtime_, kOtherBoard);
  other.Keep(2, EventJson(2, false, json::array({TargetJson(2, "Terminating")})));
  runtime_.RunFor(700 * kMs);
  EXPECT_EQ(Metrics(*node_)["board"]["last"], 2);
  Gauges();
  const auto usual = Caller();
  runtime_.RunFor(200 * kMs);
  Stand(*usual, kCall);
}

TEST_F(CrossingsTest, AtTheEndALineHalfSaidIsWaitedForAndAnswered) {
  bool stopped = false;
  const auto caller = Caller();
  const std::string line = SetUpLine(kCall, 1);
  caller->Raw(line.substr(0, 40));
  node_->Stop([&stopped] { stopped = true; });
  runtime_.RunFor(1'200 * kMs);
  EXPECT_FALSE(stopped);
  EXPECT_FALSE(caller->link.end.has_value());
  caller->Raw(line.substr(40));
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(caller->For(kCall).size(), 1U);
  EXPECT_EQ(caller->For(kCall)[0].cause, 42);
  runtime_.RunFor(200 * kMs);
  EXPECT_TRUE(stopped);
}

TEST_F(CrossingsTest, AtTheEndNobodyIsWaitedForWithoutBound) {
  bool stopped = false;
  std::vector<std::unique_ptr<PlatformCaller>> callers;
  node_->Stop([&stopped] { stopped = true; });
  for (int i = 0; i < 60 && !stopped; ++i) {  // somebody always comes and says half a line
    callers.push_back(Caller());
    callers.back()->Raw("{\"t\":");
    runtime_.RunFor(80 * kMs);
  }
  EXPECT_TRUE(stopped);
}

// ---- the list ----

TEST_F(CrossingsTest, WhatIsMissingBeforeADeltaIsAskedForFromTheLastNumberThatHolds) {
  board_.Keep(2, EventJson(2, false, json::array({TargetJson(2, "Terminating")})));
  Tell(3, {TargetJson(1, "Terminating")});
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(board_.asked, (std::vector<std::string>{"1", "1"}));
  EXPECT_EQ(Metrics(*node_)["board"]["last"], 3);
  const auto caller = Caller();
  caller->SetUp(kCall, 1);
  caller->SetUp(kOther, 2);
  runtime_.RunFor(2'000 * kMs);
  EXPECT_TRUE(one_.Heard(MessageType::kSetUp).empty());
  EXPECT_TRUE(two_.Heard(MessageType::kSetUp).empty());
}

TEST_F(CrossingsTest, ADrainToldBeyondAGapHoldsAtOnceAndAGapNobodyCanFillIsPassedOver) {
  board_.Write("id: 5\ndata: " +
               EventJson(5, false, json::array({TargetJson(1, "Terminating"), TargetJson(2, "Ready")})) + "\n\n");
  runtime_.RunFor(kMs / 2);
  const auto caller = Caller();
  caller->SetUp(kCall, 1);
  runtime_.RunFor(100 * kMs);
  EXPECT_TRUE(one_.Heard(MessageType::kSetUp).empty());
  for (const std::uint64_t number : {5U, 6U}) Tell(number, {TargetJson(2, "Terminating")});
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(board_.asked, (std::vector<std::string>{"1", "1"}));
  EXPECT_EQ(Metrics(*node_)["board"]["last"], 6);
  EXPECT_EQ(Metrics(*node_)["board"]["gaps"], 1);
}

TEST_F(CrossingsTest, AnEventThatCannotBeReadIsAskedForOnceMoreAndNotForEver) {
  board_.Keep(2, EventJson(2, false, json::array({TargetJson(1, "Terminating")})));
  board_.Write("id: 2\ndata: {\"rev\":2,\"pool\":{}}\n\n");
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(board_.asked.size(), 2U);
  EXPECT_EQ(Metrics(*node_)["board"]["last"], 2);
  board_.Tell(3, "nothing of use");
  runtime_.RunFor(1'000 * kMs);
  EXPECT_EQ(board_.asked.size(), 3U);
  Tell(4, {TargetJson(1, "Ready")});
  runtime_.RunFor(100 * kMs);
  EXPECT_EQ(Metrics(*node_)["board"]["last"], 4);
}

TEST_F(CrossingsTest, LateWordOfAnOldExchangeTakesNothingBackFromItsSuccessor) {
  Tell(2, {TargetJson(1, "Ready", "s-new")});
  runtime_.RunFor(5 * kMs);
  Gauges();
  for (const std::uint64_t number : {3U, 5U}) {
    Tell(number, {TargetJson(1, number == 3U ? "Terminating" : "Ready", "s-1")});
    runtime_.RunFor(5 * kMs);
    EXPECT_EQ(node_->exchanges().Find("s-1"), 0U);
    EXPECT_NE(node_->exchanges().Find("s-new"), 0U);
    EXPECT_EQ(node_->exchanges().listed(), 3U);
    EXPECT_EQ(one_.OpenLinks().size(), 1U);
    Tell(number + 1, {TargetJson(2, "Ready")});
    runtime_.RunFor(5 * kMs);
  }
  const auto caller = Caller();
  Stand(*caller, kCall);
}

TEST_F(CrossingsTest, AnExchangeThatComesBackAtItsAddressIsUsedAgain) {
  Tell(2, {TargetJson(1, "Ready", "s-new")});
  const std::int64_t later = runtime_.WallClockUs() / 1000 + 1'000;
  Tell(3, {TargetJson(1, "Gone", "s-new")});
  Tell(4, {TargetJson(1, "Ready", "s-1", later)});
  runtime_.RunFor(5 * kMs);
  EXPECT_NE(node_->exchanges().Find("s-1"), 0U);
  EXPECT_EQ(node_->exchanges().Find("s-new"), 0U);
}

TEST_F(CrossingsTest, ADrainThatIsTakenBackServesAgain) {
  Tell(2, {TargetJson(1, "Terminating")});
  Tell(3, {TargetJson(1, "Ready")});
  runtime_.RunFor(5 * kMs);
  const auto caller = Caller();
  Stand(*caller, kCall);
}

// ---- exchanges ----

TEST_F(CrossingsTest, AReleaseThatWaitsForAConnectionDoesNotReachTheCallTakenOverUnderItsId) {
  const auto caller = Caller();
  Stand(*caller, kCall);
  for (PlatformLink* const link : one_.OpenLinks()) link->Break();
  // Both arrive after the break and before the next connection is up.
  caller->Raw(ReleaseLine(kCall));
  caller->SetUp(kCall, 1, ";at:s-1");
  runtime_.RunFor(50 * kMs);
  ASSERT_FALSE(one_.OpenLinks().empty());
  EXPECT_TRUE(one_.Heard(MessageType::kRelease).empty());
  EXPECT_EQ(node_->callers().open_calls(), 1U);
  PlatformExchange::Release(*one_.OpenLinks()[0], kCall, 16);
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(caller->For(kCall).size(), 2U);
  EXPECT_EQ(node_->exchanges().legs(), 0U);
}

TEST_F(CrossingsTest, AConnectionOnWhichASetUpWasLostIsTheLastToBeOfferedUntilItSpeaks) {
  one_.on_set_up = [](PlatformLink&, const Message&) {};
  const auto caller = Caller();
  caller->SetUp(kCall, 1);
  caller->SetUp(kOther, 1);
  runtime_.RunFor(5 * kMs);
  ASSERT_EQ(one_.OpenLinks().size(), 2U);
  PlatformLink* const silent = one_.OpenLinks()[0];
  PlatformLink* const other = one_.OpenLinks()[1];
  ASSERT_EQ(silent->heard.back().id, kCall);
  caller->Release(kCall);
  PlatformExchange::Answer(*other, kOther, "good");
  runtime_.RunFor(5 * kMs);
  caller->SetUp(CallNumber(1), 1);
  runtime_.RunFor(5 * kMs);
  EXPECT_EQ(other->heard.back().id, CallNumber(1));
  PlatformExchange::Answer(*other, CallNumber(1), "good");
  silent->Send({.type = MessageType::kHeard, .id = kCall});
  runtime_.RunFor(5 * kMs);
  caller->SetUp(CallNumber(2), 1);
  runtime_.RunFor(5 * kMs);
  EXPECT_EQ(silent->heard.back().id, CallNumber(2));
  EXPECT_EQ(one_.OpenLinks().size(), 2U);
}

// ---- the core and a caller who has left, though the word of it is still to come ----

struct Leaver final : core::CallOwner {
  void OnFinalAnswer(CallId, const core::FinalAnswer&) override { ++finals; }
  void OnCallEnded(CallId, core::ReleaseCause) override {}
  bool HasLeft(CallId) const override { return left; }
  bool left = false;
  int finals = 0;
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

class LeaverTest : public ::testing::TestWithParam<bool> {};

TEST_P(LeaverTest, NothingIsSentAndNothingStandsForHim) {
  const bool before_sending = GetParam();
  sim::VirtualRuntime runtime(7);
  NoLog log;
  std::vector<config::Mistake> mistakes;
  core::CoreSettings settings;
  settings.module = ParseNodeConfig(ConfigJson().dump(), "", "", &mistakes).module;
  settings.network_manages_circuits = true;
  core::CallCore core(settings, &runtime, &log);
  Trunks trunks;
  core.SetTrunks(&trunks);
  DirectoryUpdate list;
  list.entries = {{.exchange = 1, .number = 0}, {.exchange = 2, .number = 1}};
  core.OnDirectory(list);
  core.OnGroupReport(2, {20.0F, 20.0F});
  Leaver caller;
  core::CallRequest offer;
  offer.destination = 1;
  offer.caller_timeout_us = 3'000 * kMs;
  caller.left = before_sending;
  const CallId call = core.AcceptCall(offer, &caller);
  caller.left = true;
  if (!before_sending) core.OnTrunkAnswered(call, 0);
  EXPECT_EQ(trunks.sent.size(), before_sending ? 0U : 1U);
  EXPECT_EQ(trunks.released, 1);
  EXPECT_EQ(caller.finals, 0);
  EXPECT_EQ(core.open_calls(), 0U);
  // The module was told of every end: the next call of another goes out as ever.
  Leaver other;
  core.AcceptCall(offer, &other);
  EXPECT_EQ(trunks.sent.size(), before_sending ? 1U : 2U);
}

INSTANTIATE_TEST_SUITE_P(BeforeSendingAndAtTheAnswer, LeaverTest, ::testing::Bool());

// ---- who wins: each pair of what can end a set-up, in both orders and in one turn ----

enum class What {
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
constexpr What kAll[] = {What::kAnswer,           What::kRefusal,      What::kError, What::kReset,
                         What::kCallerReleases,   What::kCallerCloses, What::kDrain, What::kGone,
                         What::kConnectionBreaks, What::kExchangeDies};

class PairTest : public PlatformTest, public ::testing::WithParamInterface<std::tuple<What, What>> {
 protected:
  void Do(What what) {
    PlatformLink* const link = asked_;
    switch (what) {
      case What::kAnswer:
        ++answers_;
        return PlatformExchange::Answer(*link, kCall, "answered");
      case What::kRefusal:
        return PlatformExchange::Release(*link, kCall, 34, "all_trunks_busy");
      case What::kError:
        return PlatformExchange::Release(*link, kCall, 47);
      case What::kReset:
        return PlatformExchange::Release(*link, kCall, 41);
      case What::kCallerReleases:
        if (caller_->link.stream != nullptr) caller_->Release(kCall);
        left_ = true;
        return;
      case What::kCallerCloses:
        caller_->link.stream.reset();
        left_ = true;
        return;
      case What::kDrain:
        return Tell(++told_, {TargetJson(1, "Terminating")});
      case What::kGone:
        return Tell(++told_, {TargetJson(1, "Gone")});
      case What::kConnectionBreaks:
        return link->Break();
      case What::kExchangeDies:
        return one_.Stop();
    }
  }
  std::unique_ptr<PlatformCaller> caller_;
  PlatformLink* asked_ = nullptr;
  std::uint64_t told_ = 1;
  int answers_ = 0;
  bool left_ = false;
};

TEST_P(PairTest, TheCallEndsOnceAndWhatStandsIsReleased) {
  std::size_t out = 0, most_out = 0, asked = 0;
  one_.on_set_up = [&](PlatformLink& link, const Message&) {
    ++asked;
    most_out = std::max(most_out, ++out);
    if (asked == 1) {
      asked_ = &link;
    } else {
      PlatformExchange::Release(link, kCall, 34, "all_trunks_busy");
      --out;
    }
  };
  two_.on_set_up = [](PlatformLink& link, const Message& message) {
    PlatformExchange::Release(link, message.id, 34, "via_said_no");
  };
  caller_ = Caller();
  caller_->SetUp(kCall, 1);
  runtime_.RunFor(5 * kMs);
  ASSERT_NE(asked_, nullptr);
  const auto [first, second] = GetParam();
  out = 0;  // what comes now ends it, or what is said below does
  Do(first);
  Do(second);
  runtime_.RunFor(100 * kMs);
  const auto told = caller_->For(kCall);
  const auto answered =
      std::count_if(told.begin(), told.end(), [](const Message& m) { return m.type == MessageType::kAnswer; });
  EXPECT_LE(answered, 1);
  // A call that stands belongs to no connection: its end comes from either side. All others end by their own time.
  const bool stands = node_->callers().open_calls() == 1 && node_->callers().unanswered() == 0;
  if (stands && left_) {
    PlatformExchange::Release(*asked_, kCall, 16);
  } else if (stands) {
    caller_->Release(kCall);
  }
  runtime_.RunFor(4'000 * kMs);
  const auto after = caller_->For(kCall);
  EXPECT_LE(std::count_if(after.begin(), after.end(), [](const Message& m) { return m.type == MessageType::kAnswer; }),
            1);
  EXPECT_LE(after.size(), 2U);
  EXPECT_TRUE(left_ || !after.empty()) << "no final answer";
  EXPECT_LE(most_out, 1U);
  EXPECT_EQ(node_->callers().open_calls(), 0U);
  EXPECT_EQ(node_->callers().unanswered(), 0U);
  EXPECT_EQ(node_->core().open_calls(), 0U);
  EXPECT_EQ(node_->exchanges().legs(), 0U);
  // What the exchange answered and nobody wanted any more is released there, unless its connections or it went.
  const auto gone = [](What what) {
    return what == What::kGone || what == What::kConnectionBreaks || what == What::kExchangeDies ||
           what == What::kRefusal || what == What::kError || what == What::kReset;
  };
  if (answers_ > 0 && left_ && !stands && !gone(first) && !gone(second)) {
    EXPECT_FALSE(one_.Heard(MessageType::kRelease).empty());
  }
}

INSTANTIATE_TEST_SUITE_P(AllPairs, PairTest, ::testing::Combine(::testing::ValuesIn(kAll), ::testing::ValuesIn(kAll)));

}  // namespace
}  // namespace croftrun::platform
