// Circuits whose two ends see them differently: each state is left by what is heard, not by time alone.
#include <rapidcheck.h>

#include "hard_case_fixture.h"

namespace croftrun {
namespace {

using core::CircuitState;

class CircuitDoubt : public HardCase {
 protected:
  const core::CircuitGroup& Group1() { return *node->core().Group(1); }
  std::size_t Out() { return Group1().Count(CircuitState::kOutOfService); }
  // The gateway restarts while the far ends of its circuits have not let go yet.
  void RestartWhileReleasing() {
    gateway.audit_state = "releasing";
    gateway.Say("RSIP 700001 ds/1/*@gw MGCP 1.0\r\nRM: restart\r\n");
    runtime.RunFor(20 * kMs);
    ASSERT_EQ(Out(), 2U);
  }
  void Seize(const std::string& circuit, const std::string& request) {
    gateway.Notify(circuit, request, "MS/sup(addr(110000009),id(far))", "X-Origin: 1\r\nX-Patience: 3000\r\n");
    runtime.RunFor(10 * kMs);
  }
  // Refuses the set-up that is out, as the far end's release does.
  std::string Refuse(int cause) {
    const std::string circuit = LastSeized();
    OnCircuit(circuit, "MS/rel(" + std::to_string(cause) + ")");
    runtime.RunFor(5 * kMs);
    return circuit;
  }
};

TEST_F(CircuitDoubt, AReleaseCompleteAfterTheLookBringsACircuitBackAtOnce) {
  RestartWhileReleasing();
  gateway.audit_state = "idle";
  gateway.Notify("ds/1/0", "0", "MS/rlc");
  runtime.RunFor(20 * kMs);
  EXPECT_EQ(Out(), 1U);
  EXPECT_EQ(Idle(1), 1U);
}

TEST_F(CircuitDoubt, AReleaseCompleteThatOvertakesTheAnswerToTheLookIsNotLost) {
  gateway.audit_state = "releasing";
  gateway.Say("RSIP 700001 ds/1/*@gw MGCP 1.0\r\nRM: restart\r\n");
  runtime.RunFor(150);
  gateway.Notify("ds/1/0", "0", "MS/rlc");  // told while the answer to the look is on its way
  runtime.RunFor(75);
  gateway.audit_state = "idle";
  runtime.RunFor(20 * kMs);
  EXPECT_EQ(Group1().State(0), CircuitState::kIdle);
}

TEST_F(CircuitDoubt, ASeizureToldOnACircuitOutOfServiceForDoubtIsTaken) {
  RestartWhileReleasing();
  Seize("ds/1/0", "0");
  EXPECT_EQ(Group1().State(0), CircuitState::kSeizedIn);
  EXPECT_EQ(gateway.Count(mgcp::Verb::kDlcx, "ds/1/0", "S", "MS/rel"), 0U);
  EXPECT_EQ(node->core().counters().glare, 0U);
}

TEST_F(CircuitDoubt, ACircuitClearedWhileOutOfServiceComesBackWithItsReleaseComplete) {
  RestartWhileReleasing();
  gateway.release_state = "releasing";
  gateway.audit_state = "far-released";  // a look finds that the far end let go: it is cleared
  gateway.Notify("ds/1/0", "0", "MS/rlc");
  runtime.RunFor(20 * kMs);
  ASSERT_EQ(gateway.Count(mgcp::Verb::kDlcx, "ds/1/0"), 1U);
  gateway.Notify("ds/1/0", gateway.Request("ds/1/0"), "MS/rlc");
  runtime.RunFor(20 * kMs);
  EXPECT_EQ(Group1().State(0), CircuitState::kIdle);
}

TEST_F(CircuitDoubt, ASeizureOfAWithdrawnCircuitIsRefusedAsNotInServiceAndIsNoGlare) {
  gateway.Say("RSIP 700001 ds/1/*@gw MGCP 1.0\r\nRM: forced\r\n");
  runtime.RunFor(20 * kMs);
  Seize("ds/1/0", "0");
  EXPECT_EQ(gateway.Last(mgcp::Verb::kDlcx, "ds/1/0")->Get("S"), "MS/rel(47)");
  EXPECT_EQ(node->core().counters().not_in_service, 1U);
  EXPECT_EQ(node->core().counters().glare, 0U);
  EXPECT_EQ(Out(), 2U);
}

TEST_F(CircuitDoubt, ACircuitRefusedOnceGoesToTheBackOfTheChoice) {
  Dial(1);
  EXPECT_EQ(Refuse(44), "ds/1/0");
  EXPECT_EQ(LastSeized(), "ds/2/0");  // the same call, at once, another way: nothing of it was out
  HangUp(1);
  ASSERT_EQ(Idle(1), 2U);
  Dial(2);
  EXPECT_EQ(LastSeized(), "ds/1/1");
}

TEST_F(CircuitDoubt, ACircuitRefusedTwiceRestsIsLookedAtAndComesBack) {
  Dial(1);
  Refuse(44);  // ds/1/0
  HangUp(1);
  Dial(2);
  OnCircuit("ds/1/1", "MS/ans");  // keeps the other one
  Dial(3);
  ASSERT_EQ(LastSeized(), "ds/1/0");  // at the back, and the only one
  const std::size_t looks = gateway.Count(mgcp::Verb::kAuep, "ds/1/0");
  Refuse(44);
  EXPECT_EQ(Group1().State(0), CircuitState::kSuspect);
  EXPECT_GT(gateway.Count(mgcp::Verb::kAuep, "ds/1/0"), looks);
  EXPECT_EQ(node->core().counters().suspected, 1U);
  runtime.RunFor(core::RefusalHistory::kInitialRest);
  EXPECT_EQ(Group1().State(0), CircuitState::kIdle);
}

TEST_F(CircuitDoubt, ACircuitThatIsNotInServiceThereIsSuspectedAtTheFirstRefusal) {
  Dial(1);
  Refuse(47);
  EXPECT_EQ(Group1().State(0), CircuitState::kSuspect);
}

TEST_F(CircuitDoubt, ASeizureByTheFarEndProvesASuspectedCircuit) {
  Dial(1);
  Refuse(47);
  Seize("ds/1/0", gateway.Request("ds/1/0"));
  EXPECT_EQ(Group1().State(0), CircuitState::kSeizedIn);
  EXPECT_EQ(Group1().RefusalsInARow(0), 0U);
}

TEST(RefusalHistory, PausesDoubleAndAreBounded) {
  core::RefusalHistory memory(1);
  memory.Refused(0);
  EXPECT_EQ(memory.RestTime(0), 0U);
  TimeUs before = 0;
  for (int i = 0; i < 40; ++i) {
    memory.Refused(0);
    const TimeUs pause = memory.RestTime(0);
    EXPECT_TRUE(pause == 2 * before || before == 0 || pause == core::RefusalHistory::kMaxRest);
    before = pause;
  }
  EXPECT_EQ(before, core::RefusalHistory::kMaxRest);
  memory.ConfirmWorking(0);
  EXPECT_FALSE(memory.IsDeprioritized(0));
}

TEST(CircuitChoice, NoCircuitIsRefusedTwiceRunningWhileAnotherIsIdle) {
  rc::check([](std::vector<bool> refuse) {
    core::CircuitGroup group(6, true);
    for (core::CircuitNumber c = 0; c < 6; ++c) group.Confirm(c);
    int before = -1;
    for (const bool refused : refuse) {
      std::vector<core::CircuitNumber> taken;
      if (!group.Seize(1, 1, &taken)) break;
      const core::CircuitNumber circuit = taken[0];
      bool other = false;
      for (core::CircuitNumber c = 0; c < 6; ++c)
        other = other || (c != circuit && group.State(c) == CircuitState::kIdle && group.RefusalsInARow(c) == 0);
      RC_ASSERT(!(other && before == circuit));
      if (refused) {
        group.Refused(circuit);
        before = circuit;
      } else {
        group.ConfirmWorking(circuit);
        before = -1;
      }
      group.Release(circuit, 1);
      group.Confirm(circuit);
      RC_ASSERT(group.State(circuit) ==
                (group.RefusalsInARow(circuit) >= 2 ? CircuitState::kSuspect : CircuitState::kIdle));
      if (group.Count(CircuitState::kIdle) == 0) {
        for (core::CircuitNumber c = 0; c < 6; ++c) group.EndRest(c);
      }
    }
  });
}

// ---- strangers ----

class Stranger final : public core::DatagramHandler {
 public:
  Stranger(sim::VirtualRuntime* runtime, std::uint32_t host) : port_(runtime->OpenPort({host, 2427}, this)) {}
  void OnDatagram(const core::Address&, std::string_view bytes) override { heard.emplace_back(bytes); }
  void Say(const std::string& text) { port_->Send(kEdge, text); }
  std::vector<std::string> heard;

 private:
  std::unique_ptr<core::DatagramPort> port_;
};

TEST_F(HardCase, StrangersCostNothingThatLastsAndAreAnsweredAtATrickle) {
  Stranger stranger(&runtime, 0x7f000063);
  const std::size_t history = node->transactions().history();
  for (int i = 0; i < 2000; ++i) {
    stranger.Say("NTFY " + std::to_string(i + 1) + " aaln/1@gw MGCP 1.0\r\nX: 1\r\nO: L/hd\r\n");
    stranger.Say("200 " + std::to_string(i + 1) + "\r\n");
    stranger.Say("\x01\x02");
    if (i % 100 == 0) runtime.RunFor(kMs);
  }
  runtime.RunFor(20 * kMs);
  EXPECT_EQ(node->transactions().history(), history);
  EXPECT_EQ(node->transactions().strangers().commands, 2000U);
  EXPECT_EQ(node->transactions().strangers().responses, 2000U);
  EXPECT_EQ(node->transactions().strangers().malformed, 2000U);
  EXPECT_GE(stranger.heard.size(), 1U);
  EXPECT_LE(stranger.heard.size(), 21U);
  EXPECT_EQ(stranger.heard[0].substr(0, 4), "500 ");
  EXPECT_EQ(node->core().counters().offered, 0U);
  Dial(1);
  EXPECT_EQ(SetUps(), 1U);
}

TEST_F(HardCase, AFloodInTheGatewaysNameLeavesCallsInProgressTheirRoom) {
  settings.transactions.most_history = 400;
  StartEdge();
  Dial(1);
  const std::string circuit = LastSeized();
  // Made-up endpoints are turned down for nothing; real ones that are idle fill what is open to all, and no
  // more.
  for (int i = 0; i < 1000; ++i) {
    gateway.Notify("aaln/" + std::to_string(5000 + i), "0", "L/hd");
    gateway.Notify("aaln/" + std::to_string(2 + i % 18), "0", "L/hf");
  }
  runtime.RunFor(20 * kMs);
  EXPECT_LE(node->transactions().history(), 300U);
  EXPECT_GT(node->transactions().counters().refused_full, 0U);
  OnCircuit(circuit, "MS/ans");
  EXPECT_EQ(Stands(1), 1U);
  HangUp(1);
  EXPECT_EQ(node->core().open_calls(), 0U);
}

TEST(HistoryRoom, IsSharedOutByGatewayAndBoundedByEndpoint) {
  mgcp::HistoryRoom room(800, 2);
  mgcp::HistoryRoom::Place place;
  std::vector<mgcp::HistoryRoom::Place> places;
  while (room.Take(1, 0, &place)) places.push_back(place);
  EXPECT_EQ(places.size(), 300U);        // three quarters of its half
  EXPECT_TRUE(room.Take(2, 0, &place));  // the other gateway has its own
  std::size_t kept = 0;
  while (room.Take(1, 77, &place)) ++kept;
  EXPECT_EQ(kept, mgcp::HistoryRoom::kMostForEndpoint);
  EXPECT_TRUE(room.Take(1, 78, &place));
  for (const auto& each : places) room.GiveBack(each);
  EXPECT_TRUE(room.Take(1, 0, &place));
}

}  // namespace
}  // namespace croftrun
