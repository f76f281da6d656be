// Edge cases of the whole call path, each caused by a scripted gateway on a virtual clock.
#include <set>

#include "call_path_fixture.h"

namespace croftrun {
namespace {

TEST_F(CallPath, CallCompletesAndFreesItsCircuit) {
  Dial(1);
  ASSERT_EQ(SetUpCount(), 1U);
  const std::string circuit = LastSeized();
  EXPECT_EQ(gateway.Last(mgcp::Verb::kCrcx, "ds/")->Get("S"), "MS/sup(addr(110010007),id(aaln/1))");
  EXPECT_EQ(IdleCircuits(1), 1U);
  OnCircuit(circuit, "MS/ans");
  EXPECT_EQ(EstablishedCalls(1), 1U);
  HangUp(1);
  EXPECT_EQ(gateway.Count(mgcp::Verb::kDlcx, circuit), 1U);
  EXPECT_EQ(IdleCircuits(1), 2U);
  EXPECT_EQ(node->core().open_calls(), 0U);
}

TEST_F(CallPath, FailsCallOnceWhenGatewayAcknowledgesButNeverAnswers) {
  Dial(1);
  runtime.RunFor(3'000 * kMs);
  EXPECT_EQ(FinalAnswers(1), 1U);  // exactly one final answer, and no second attempt meanwhile
  EXPECT_EQ(gateway.Count(mgcp::Verb::kDlcx, LastSeized()), 1U);
  EXPECT_EQ(node->core().counters().overdue, 0U);
  runtime.RunFor(5'000 * kMs);
  EXPECT_EQ(FinalAnswers(1), 1U);
}

TEST_F(CallPath, IgnoresAnswerThatCrossesHangUp) {
  Dial(1);
  const std::string circuit = LastSeized();
  gateway.Notify("aaln/1", "0", "L/hu");
  gateway.Notify(circuit, std::string(gateway.Last(mgcp::Verb::kCrcx, circuit)->Get("X")), "MS/ans");
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(EstablishedCalls(1), 0U);
  EXPECT_EQ(FinalAnswers(1), 0U);
  EXPECT_EQ(gateway.Count(mgcp::Verb::kDlcx, circuit), 1U);
  EXPECT_EQ(IdleCircuits(1), 2U);
}

TEST_F(CallPath, IgnoresAnswerAfterTimeOut) {
  Dial(1);
  const std::string circuit = LastSeized();
  gateway.release_state = "releasing";
  runtime.RunFor(1'600 * kMs);  // past the target delay: the attempt timed out
  ASSERT_EQ(gateway.Count(mgcp::Verb::kDlcx, circuit), 1U);
  OnCircuit(circuit, "MS/ans");
  runtime.RunFor(200 * kMs);
  EXPECT_EQ(EstablishedCalls(1), 0U);
  EXPECT_EQ(FinalAnswers(1), 1U);
  EXPECT_EQ(node->core().counters().stands, 0U);
}

TEST_F(CallPath, RetransmitsCrcxWhenResponseIsLost) {
  gateway.unresponsive = true;
  Dial(1);
  runtime.RunFor(300 * kMs);
  const std::size_t copies = SetUpCount();
  EXPECT_GE(copies, 2U);
  gateway.unresponsive = false;
  runtime.RunFor(800 * kMs);
  EXPECT_EQ(node->core().counters().attempts, 1U);
  OnCircuit(LastSeized(), "MS/ans");
  EXPECT_GE(EstablishedCalls(1), 1U);
}

TEST_F(CallPath, DuplicateAndReorderedNotificationsStartOneCall) {
  const std::string dial = "NTFY 900 aaln/1@gw MGCP 1.0\r\nX: " + gateway.Request("aaln/1") +
                           "\r\nO: L/hd, D/1, D/1, D/0, D/0, D/1, D/0, D/0, D/0, D/7\r\nX-Patience: 3000\r\n";
  gateway.Send(dial);
  gateway.Send(dial);
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(node->core().counters().offered, 1U);
  HangUp(1);
  // Digits reported under the old request belong to the call that has ended.
  gateway.Notify("aaln/1", "77", "L/hd, D/1, D/1, D/0, D/0, D/1, D/0, D/0, D/0, D/7");
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(node->core().counters().offered, 1U);
  EXPECT_EQ(gateway.responses.back().code, 400);
}

TEST_F(CallPath, CountsResponseToUnknownTransaction) {
  gateway.Send("200 4711\r\nI: 9\r\n");
  runtime.RunFor(kMs);
  EXPECT_EQ(node->transactions().counters().unknown_responses, 1U);
}

TEST_F(CallPath, OffHookLineIsBusyToCaller) {
  gateway.refuse_crcx = 401;
  Dial(1, "110000002");
  EXPECT_EQ(gateway.Count(mgcp::Verb::kCrcx, "aaln/2", "S", "L/rg"), 1U);
  EXPECT_EQ(FinalAnswers(1, "failed"), 1U);
  EXPECT_EQ(gateway.Last(mgcp::Verb::kRqnt, "aaln/1")->Get("S"), "L/bz");
}

TEST_F(CallPath, LineOfOwnExchangeRingsAndAnswers) {
  Dial(1, "110000002");
  ASSERT_EQ(gateway.Count(mgcp::Verb::kCrcx, "aaln/2", "S", "L/rg"), 1U);
  gateway.Notify("aaln/2", gateway.Request("aaln/2"), "L/hd");
  runtime.RunFor(kMs);
  EXPECT_EQ(EstablishedCalls(1), 1U);
  HangUp(2);
  EXPECT_EQ(node->core().open_calls(), 0U);
}

TEST_F(CallPath, CircuitOutOfServiceReturnsThroughAudit) {
  gateway.refuse_crcx = 501;
  gateway.refuse_state = "";
  Dial(1);
  runtime.RunFor(10 * kMs);
  EXPECT_GE(node->core().Group(1)->Count(core::CircuitState::kOutOfService), 1U);
  gateway.refuse_crcx = 0;
  runtime.RunFor(15'000 * kMs);
  EXPECT_EQ(IdleCircuits(1), 2U);
  EXPECT_LE(FinalAnswers(1), 1U);
}

TEST_F(CallPath, DoesNotReleaseCircuitSeizedByFarEnd) {
  gateway.refuse_crcx = 540;
  gateway.audit_state = "seized-in";
  Dial(1);
  runtime.RunFor(500 * kMs);
  // The seizure belongs to the far end and must not be deleted by this end.
  EXPECT_EQ(gateway.Count(mgcp::Verb::kDlcx, "ds/"), 0U);
  EXPECT_EQ(IdleCircuits(1), 1U);
  EXPECT_EQ(node->core().Group(1)->Count(core::CircuitState::kReleasing), 1U);
  runtime.RunFor(20'000 * kMs);  // cleared after several audits without a change
  EXPECT_GE(gateway.Count(mgcp::Verb::kDlcx, "ds/"), 1U);
  EXPECT_EQ(IdleCircuits(1), 2U);
}

TEST_F(CallPath, RestartedEdgeClearsCircuitsAndIgnoresOldEvents) {
  Dial(1);
  const std::string circuit = LastSeized();
  const std::string request(gateway.Last(mgcp::Verb::kCrcx, circuit)->Get("X"));
  gateway.audit_state = "seized";
  gateway.commands.clear();
  StartEdge();
  EXPECT_EQ(gateway.Count(mgcp::Verb::kDlcx, "ds/"), 4U);  // every circuit was found busy in the audit and cleared
  EXPECT_EQ(IdleCircuits(1), 2U);
  gateway.Notify(circuit, request, "MS/ans");
  gateway.Notify(circuit, request, "MS/rel(16)");
  gateway.audit_state = "idle";
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(node->core().open_calls(), 0U);
  EXPECT_EQ(node->trunks().counters().stale_events, 2U);
  Dial(1);
  EXPECT_EQ(SetUpCount(), 1U);
}

TEST_F(CallPath, DrainDuringTimeOutStopsNewSetUps) {
  Dial(1);
  const std::size_t before = SetUpCount();
  runtime.RunFor(1'400 * kMs);
  roster.SendList("draining");
  runtime.RunFor(200 * kMs);  // the attempt times out within a few microseconds of the update
  runtime.RunFor(3'000 * kMs);
  EXPECT_EQ(gateway.Count(mgcp::Verb::kCrcx, "ds/1/", "S", "MS/sup"), before);
  EXPECT_EQ(FinalAnswers(1), 1U);
  Dial(2);
  runtime.RunFor(3'000 * kMs);
  EXPECT_EQ(gateway.Count(mgcp::Verb::kCrcx, "ds/1/", "S", "MS/sup"), before);
  EXPECT_EQ(FinalAnswers(2), 1U);
}

TEST_F(CallPath, StopRefusesNewCallsAndWaitsForEstablishedCalls) {
  Dial(1);
  OnCircuit(LastSeized(), "MS/ans");
  bool done = false;
  node->Stop([&] { done = true; });
  Dial(2);
  EXPECT_EQ(FinalAnswers(2, "refused"), 1U);
  EXPECT_FALSE(done);
  HangUp(1);
  runtime.RunFor(100 * kMs);
  EXPECT_TRUE(done);
}

TEST_F(CallPath, StopEndsCallsAtShutdownLimit) {
  Dial(1);
  OnCircuit(LastSeized(), "MS/ans");
  Dial(2);
  bool done = false;
  node->Stop([&] { done = true; });
  runtime.RunFor(3'100 * kMs);
  EXPECT_TRUE(done);
  EXPECT_EQ(gateway.Count(mgcp::Verb::kDlcx, "aaln/1"), 1U);
  EXPECT_EQ(FinalAnswers(2), 1U);
  EXPECT_EQ(node->core().open_calls(), 0U);
}

TEST_F(CallPath, AnswersAllCallersInTimeWhenSeizuresAreRefused) {
  // Every caller must be answered before its time-out, here while the gateway refuses all seizures at once.
  gateway.refuse_crcx = 540;
  for (int line = 1; line <= 10; ++line) Dial(line);
  runtime.RunFor(3'000 * kMs);
  for (int line = 1; line <= 10; ++line) EXPECT_EQ(FinalAnswers(line), 1U) << line;
  EXPECT_EQ(node->core().counters().overdue, 0U);
}

TEST_F(CallPath, RejectsMalformedDatagrams) {
  const std::string good = "NTFY 5 aaln/1@gw MGCP 1.0\r\nX: 1\r\nO: L/hd, D/1\r\n";
  for (std::size_t size = 0; size < good.size(); ++size) gateway.Send(good.substr(0, size));
  for (const char* text :
       {"NTFY 600001 aaln/1@gw MGCP 1.0\r\n", "NTFY 600002 aaln/1@gw MGCP 1.0\r\nO: L/hd(\r\n",
        "NTFY 600003 aaln/9999@gw MGCP 1.0\r\nO: L/hd\r\n",
        "NTFY 600004 ds/1/99@gw MGCP 1.0\r\nO: MS/sup(addr(1),id(2))\r\n",
        "NTFY 600005 ds/x/0@gw MGCP 1.0\r\nO: MS/ans\r\n", "NTFY 600006 ds/1/0@gw MGCP 1.0\r\nO: MS/sup\r\n",
        "CRCX 600007 aaln/1@gw MGCP 1.0\r\n", "NTFY 600008 aaln/1@elsewhere MGCP 1.0\r\nO: L/hd\r\n",
        "NTFY 600009 ds/1/0@gw MGCP 1.0\r\nO: MS/rel(xyz)\r\n",
        "NTFY 600010 ds/1/0@gw MGCP 1.0\r\nO: MS/sup(addr(110020001),id(a))\r\nX-Circuits: 9,70000,x\r\n"})
    gateway.Send(text);
  runtime.RunFor(100 * kMs);
  EXPECT_EQ(node->core().open_calls(), 0U);
  const auto code = [this](std::uint32_t transaction) {
    for (const auto& r : gateway.responses) {
      if (r.transaction == transaction) return r.code;
    }
    return 0;
  };
  EXPECT_EQ(code(600001), 510);
  EXPECT_EQ(code(600002), 510);
  EXPECT_EQ(code(600003), 500);
  EXPECT_EQ(code(600004), 500);
  EXPECT_EQ(code(600005), 500);
  EXPECT_EQ(code(600007), 504);
  EXPECT_EQ(code(600008), 500);
  runtime.RunFor(10'000 * kMs);
  Dial(3);
  EXPECT_EQ(SetUpCount(), 1U);
}

TEST_F(CallPath, RulesClassifyCallsAndAreReplacedAtomically) {
  std::vector<expr::Diagnostic> diagnostics;
  const auto make = [&](const char* text) {
    auto classifier = edge::Classifier::Compile(text, settings.class_names, {}, &diagnostics);
    EXPECT_TRUE(classifier) << expr::ToString(diagnostics);
    node->SetClassifier(classifier);
  };
  make(
      "rule crews when has(line) and line in 1 .. 3 and class == slot-check then class = slot-hold;"
      "rule flood when has(line) and line in [4] then refuse pause 2s;");
  Dial(1);
  EXPECT_EQ(gateway.Last(mgcp::Verb::kCrcx, "ds/")->Get("X-Class"), "slot-hold");
  EXPECT_EQ(gateway.Count(mgcp::Verb::kCrcx, "ds/"), 2U);  // calls of that class take two circuits
  HangUp(1);
  Dial(4);
  EXPECT_EQ(FinalAnswers(4, "refused"), 1U);
  EXPECT_EQ(gateway.Last(mgcp::Verb::kRqnt, "aaln/4")->Get("X-Pause"), "2000");
  make("rule none when false then redial;");
  Dial(2);
  EXPECT_EQ(gateway.Last(mgcp::Verb::kCrcx, "ds/")->Get("X-Class"), "slot-check");
  EXPECT_FALSE(edge::Classifier::Compile("rule x when line > 5 then refuse;", settings.class_names, {}, &diagnostics));
}

TEST_F(CallPath, RulesUseExchangeAndZoneNamesOfSettings) {
  const std::vector<edge::NamedExchange> places = {{1, "atlanta", "east"}, {2, "new-orleans", "gulf"}};
  std::vector<expr::Diagnostic> diagnostics;
  node->SetClassifier(
      edge::Classifier::Compile("rule gulf when has(to_zone) and to_zone == gulf then refuse pause 1s;"
                                "rule a when has(to) and to in [atlanta] then class = slot-hold;",
                                settings.class_names, {}, &diagnostics, places));
  ASSERT_TRUE(diagnostics.empty()) << expr::ToString(diagnostics);
  Dial(1);
  EXPECT_EQ(gateway.Last(mgcp::Verb::kCrcx, "ds/")->Get("X-Class"), "slot-hold");
  Dial(2, "110020007");
  EXPECT_EQ(FinalAnswers(2, "refused"), 1U);
  EXPECT_FALSE(edge::Classifier::Compile("rule x when to == atlanta then redial;", settings.class_names, {},
                                         &diagnostics, places));
  diagnostics.clear();
  EXPECT_FALSE(edge::Classifier::Compile("rule x when has(to) and to == atlnta then redial;", settings.class_names, {},
                                         &diagnostics, places));
  EXPECT_NE(expr::ToString(diagnostics).find("did you mean 'atlanta'"), std::string::npos);
}

// Keeps all log lines of an edge.
class RecordingLog final : public core::Logger {
 public:
  bool IsEnabled(core::LogLevel) const override { return true; }
  void Write(core::LogLevel, std::string_view event, CallId call, std::string_view detail) override {
    lines.push_back({std::string(event), call, std::string(detail)});
  }
  struct Line {
    std::string event;
    CallId call;
    std::string detail;
  };
  std::vector<Line> lines;
};

TEST_F(CallPath, EachCallUsesOneVersionOfTheRules) {
  RecordingLog recorded;
  node.reset();
  node = std::make_unique<edge::EdgeNode>(settings, &runtime, &recorded);
  runtime.RunFor(100 * kMs);
  std::vector<expr::Diagnostic> diagnostics;
  // Odd versions of the rules assign the two-circuit class and the tag "odd", even versions the one-circuit class and
  // the tag "even".
  const auto odd = edge::Classifier::Compile("rule o when true then class = slot-hold, tag \"odd\";",
                                             settings.class_names, {}, &diagnostics);
  const auto even = edge::Classifier::Compile("rule e when true then class = slot-check, tag \"even\";",
                                              settings.class_names, {}, &diagnostics);
  for (int round = 0; round < 200; ++round) {
    node->SetClassifier(node->rules_version() % 2 == 0 ? odd : even);
    const int line = 1 + round % 20;
    Dial(line);
    if (round % 3 == 0)
      node->SetClassifier(node->rules_version() % 2 == 0 ? odd : even);  // while the set-up is pending
    runtime.RunFor(5 * kMs);
    HangUp(line);
    runtime.RunFor(5 * kMs);
  }
  std::map<CallId, std::set<std::string>> versions;
  std::size_t accepted = 0;
  for (const RecordingLog::Line& line : recorded.lines) {
    const auto at = line.detail.find("rules ");
    if (line.event == "taken" || line.event == "final") {
      ASSERT_NE(at, std::string::npos) << line.detail;
      versions[line.call].insert(line.detail.substr(at));
      accepted += line.event == "taken" ? 1 : 0;
    }
    if (line.event == "classified") {
      const bool odd_version = std::stoi(line.detail.substr(at + 6)) % 2 == 1;
      EXPECT_NE(line.detail.find(odd_version ? "tags odd" : "tags even"), std::string::npos) << line.detail;
    }
  }
  EXPECT_EQ(accepted, 200U);
  for (const auto& [call, versions_seen] : versions) EXPECT_EQ(versions_seen.size(), 1U) << call;
}

TEST_F(CallPath, CallInTransitKeepsItsClass) {
  gateway.Notify("ds/1/0", gateway.Request("ds/1/0"), "MS/sup(addr(110020007),id(aaln/9))",
                 "X-Origin: 1\r\nX-Class: slot-hold\r\nX-Patience: 2000\r\n");
  runtime.RunFor(10 * kMs);
  ASSERT_EQ(SetUpCount(), 1U);
  EXPECT_EQ(gateway.Last(mgcp::Verb::kCrcx, "ds/2/")->Get("X-Class"), "slot-hold");
  gateway.Notify("ds/1/1", gateway.Request("ds/1/1"), "MS/sup(addr(110020007),id(aaln/9))",
                 "X-Origin: 1\r\nX-Class: unheard-of\r\nX-Patience: 2000\r\n");
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(gateway.Last(mgcp::Verb::kCrcx, "ds/2/")->Get("X-Class"), "slot-check");  // from the number plan
}

TEST_F(CallPath, RulesRefuseFrequentCallerUntilWindowExpires) {
  std::vector<expr::Diagnostic> diagnostics;
  node->SetClassifier(
      edge::Classifier::Compile("counter tries by calling over 10s; rule flood when tries > 3 then refuse pause 4s;",
                                settings.class_names, {}, &diagnostics));
  const auto try_once = [&](int line) {
    const std::size_t refused = FinalAnswers(line, "refused");
    Dial(line);
    HangUp(line);
    runtime.RunFor(400 * kMs);
    return FinalAnswers(line, "refused") > refused;
  };
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(try_once(1));
  EXPECT_TRUE(try_once(1));
  EXPECT_EQ(gateway.Last(mgcp::Verb::kRqnt, "aaln/1")->verb, mgcp::Verb::kRqnt);
  EXPECT_FALSE(try_once(2));
  runtime.RunFor(12'000 * kMs);
  EXPECT_FALSE(try_once(1));
}

TEST_F(CallPath, RuleLimitsCallerTimeoutAcrossWallClockSteps) {
  std::vector<expr::Diagnostic> diagnostics;
  node->SetClassifier(edge::Classifier::Compile("rule night when time in 22:00 .. 6:00 then budget = 500ms;",
                                                settings.class_names, {}, &diagnostics));
  const auto caller_timeout = [&](int line) {
    Dial(line);
    const int given = std::stoi(std::string(gateway.Last(mgcp::Verb::kCrcx, "ds/")->Get("X-Patience")));
    HangUp(line);
    runtime.RunFor(400 * kMs);
    return given;
  };
  runtime.SetWallClock(1'767'225'600'000'000);  // midnight
  EXPECT_LE(caller_timeout(1), 500);
  runtime.SetWallClock(1'767'225'600'000'000 + 12 * 3'600'000'000LL);
  EXPECT_GT(caller_timeout(2), 500);
  runtime.SetWallClock(-5'000'000'000'000'000);  // far in the past
  caller_timeout(3);
  runtime.SetWallClock(4'000'000'000'000'000'000);  // beyond the range of dates
  caller_timeout(4);
  EXPECT_EQ(node->core().counters().overdue, 0U);
}

TEST_F(CallPath, GracefulRestartTakesCircuitOutOfServiceWhenItsCallEnds) {
  Dial(1);
  const std::string circuit = LastSeized();
  OnCircuit(circuit, "MS/ans");
  gateway.Send("RSIP 700001 ds/1/*@gw MGCP 1.0\r\nRM: graceful\r\nRD: 60\r\n");
  runtime.RunFor(10 * kMs);
  const core::CircuitGroup* group = node->core().Group(1);
  EXPECT_EQ(group->Count(core::CircuitState::kOutOfService), 1U);  // the idle circuit, at once
  EXPECT_EQ(group->Count(core::CircuitState::kSeizedOut), 1U);     // the call continues
  Dial(2);
  EXPECT_EQ(SetUpCount(), 2U);
  EXPECT_EQ(LastSeized().substr(0, 5), "ds/2/");  // no new call on the group that leaves service, but through a tandem
  HangUp(1);
  EXPECT_EQ(group->Count(core::CircuitState::kOutOfService), 2U);
  EXPECT_EQ(IdleCircuits(1), 0U);
  runtime.RunFor(60'000 * kMs);  // audits find them idle but leave them out of service
  EXPECT_EQ(group->Count(core::CircuitState::kOutOfService), 2U);
  gateway.Send("RSIP 700002 ds/1/*@gw MGCP 1.0\r\nRM: restart\r\n");
  runtime.RunFor(100 * kMs);
  EXPECT_EQ(IdleCircuits(1), 2U);
}

TEST_F(CallPath, CancelledGracefulRestartReturnsCircuitsToService) {
  gateway.Send("RSIP 700001 ds/1/*@gw MGCP 1.0\r\nRM: graceful\r\n");
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(IdleCircuits(1), 0U);
  gateway.Send("RSIP 700002 ds/1/*@gw MGCP 1.0\r\nRM: cancel-graceful\r\n");
  runtime.RunFor(100 * kMs);
  EXPECT_EQ(IdleCircuits(1), 2U);
}

TEST_F(CallPath, ForcedRestartDisconnectsCallAndKeepsCircuitOutOfService) {
  Dial(1);
  OnCircuit(LastSeized(), "MS/ans");
  ASSERT_EQ(EstablishedCalls(1), 1U);
  gateway.Send("RSIP 700001 ds/1/*@gw MGCP 1.0\r\nRM: forced\r\n");
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(gateway.Count(mgcp::Verb::kDlcx, "aaln/1"), 1U);  // the caller is notified
  EXPECT_EQ(node->core().open_calls(), 0U);
  const core::CircuitGroup* group = node->core().Group(1);
  runtime.RunFor(60'000 * kMs);
  EXPECT_EQ(group->Count(core::CircuitState::kOutOfService), 2U);
  gateway.Send("RSIP 700002 ds/1/0@gw MGCP 1.0\r\nRM: restart\r\n");
  runtime.RunFor(100 * kMs);
  EXPECT_EQ(IdleCircuits(1), 1U);
}

TEST_F(CallPath, OverloadRefusalIsSentInResponseToNotification) {
  runtime.SetQueueDelay(500 * kMs);
  for (int line = 1; line <= 18; ++line) {
    Dial(line);
    runtime.RunFor(60 * kMs);
  }
  runtime.SetQueueDelay(0);
  std::size_t in_answer = 0;
  for (const auto& response : gateway.responses) {
    if (response.Get("X-Answer") != "refused") continue;
    EXPECT_EQ(response.code, mgcp::kOverload);
    ++in_answer;
  }
  EXPECT_GT(in_answer, 5U);
  std::size_t answered = in_answer;
  for (int line = 1; line <= 18; ++line) answered += FinalAnswers(line) + EstablishedCalls(line);
  const std::size_t open = node->core().open_calls();
  EXPECT_EQ(answered + open, 18U);  // refused callers get no second answer
  // After hanging up, a refused line can dial again and is served once the overload has ended.
  for (int line = 1; line <= 18; ++line) HangUp(line);
  runtime.RunFor(2'000 * kMs);
  const std::size_t before = SetUpCount();
  Dial(18);
  EXPECT_EQ(SetUpCount(), before + 1);
}

TEST_F(CallPath, CallerTimeoutStartsAtArrivalOfDigits) {
  runtime.SetQueueDelay(2'000 * kMs);
  Dial(1);
  runtime.SetQueueDelay(0);
  ASSERT_EQ(SetUpCount(), 1U);
  EXPECT_LE(std::stoi(std::string(gateway.Last(mgcp::Verb::kCrcx, "ds/")->Get("X-Patience"))), 1000);
  runtime.RunFor(1'000 * kMs);
  EXPECT_EQ(FinalAnswers(1), 1U);
}

TEST_F(CallPath, RefusesDigitsProcessedAfterCallerTimeout) {
  runtime.SetQueueDelay(4'000 * kMs);
  Dial(1);
  runtime.SetQueueDelay(0);
  EXPECT_EQ(SetUpCount(), 0U);
  EXPECT_EQ(gateway.responses.back().Get("X-Answer"), "refused");
  EXPECT_EQ(node->core().open_calls(), 0U);
}

// An edge whose process stalls beyond the caller's time-out finds both the answer and the time-out in its queue.
TEST_F(CallPath, IgnoresAnswerQueuedDuringStallBeyondCallerTimeout) {
  sim::StallableRuntime stallable(&runtime);
  node.reset();
  node = std::make_unique<edge::EdgeNode>(settings, &stallable, &log);
  runtime.RunFor(100 * kMs);
  Dial(1, "110010007", 1000);
  ASSERT_EQ(SetUpCount(), 1U);
  stallable.SetStalled(true);
  gateway.Notify(LastSeized(), std::string(gateway.Last(mgcp::Verb::kCrcx, LastSeized())->Get("X")), "MS/ans");
  runtime.RunFor(1'500 * kMs);
  stallable.SetStalled(false);
  runtime.RunFor(100 * kMs);
  EXPECT_EQ(EstablishedCalls(1), 0U);
  EXPECT_EQ(node->core().counters().stands, 0U);
  EXPECT_EQ(node->core().counters().too_late, 1U);
  EXPECT_EQ(node->core().open_calls(), 0U);
  node.reset();
}

class FiveThousandCalls : public CallPath {
 protected:
  FiveThousandCalls() : CallPath(6000, 3000) { runtime.RunFor(2'000 * kMs); }
};

TEST_F(FiveThousandCalls, AllEndOnceAndFreeTheirCircuits) {
  for (int line = 1; line <= 5000; ++line) {
    Dial(line, line % 2 == 0 ? "110010007" : "110020007");
    OnCircuit(LastSeized(), "MS/ans");
  }
  EXPECT_EQ(node->core().open_calls(), 5000U);
  for (int line = 1; line <= 5000; ++line) {
    HangUp(line);
  }
  runtime.RunFor(1'000 * kMs);
  EXPECT_EQ(node->core().counters().stands, 5000U);
  EXPECT_EQ(node->core().open_calls(), 0U);
  EXPECT_EQ(IdleCircuits(1) + IdleCircuits(2), 6000U);
}

}  // namespace
}  // namespace croftrun
