// Circuits whose state differs between the two ends. Each state must be left on messages from the far end or the
// gateway, not only by time-outs.
#include <rapidcheck.h>

#include "call_path_fixture.h"

namespace croftrun {
namespace {

using core::CircuitState;

class CircuitStateMismatch : public CallPath {
 protected:
  const core::CircuitGroup& Group1() { return *node->core().Group(1); }
  std::size_t OutOfService() { return Group1().Count(CircuitState::kOutOfService); }
  // The gateway restarts while the far ends have not released its circuits yet.
  void RestartGatewayWhileReleasing() {
    gateway.audit_state = "releasing";
    gateway.Send("RSIP 700001 ds/1/*@gw MGCP 1.0\r\nRM: restart\r\n");
    runtime.RunFor(20 * kMs);
    ASSERT_EQ(OutOfService(), 2U);
  }
  void Seize(const std::string& circuit, const std::string& request) {
    gateway.Notify(circuit, request, "MS/sup(addr(110000009),id(far))", "X-Origin: 1\r\nX-Patience: 3000\r\n");
    runtime.RunFor(10 * kMs);
  }
  // Refuses the pending set-up with a release from the far end.
  std::string Refuse(int cause) {
    const std::string circuit = LastSeized();
    OnCircuit(circuit, "MS/rel(" + std::to_string(cause) + ")");
    runtime.RunFor(5 * kMs);
    return circuit;
  }
};

TEST_F(CircuitStateMismatch, ReleaseCompleteAfterAuditReturnsCircuitToService) {
  RestartGatewayWhileReleasing();
  gateway.audit_state = "idle";
  gateway.Notify("ds/1/0", "0", "MS/rlc");
  runtime.RunFor(20 * kMs);
  EXPECT_EQ(OutOfService(), 1U);
  EXPECT_EQ(IdleCircuits(1), 1U);
}

TEST_F(CircuitStateMismatch, ReleaseCompleteBeforeAuditResponseIsNotLost) {
  gateway.audit_state = "releasing";
  gateway.Send("RSIP 700001 ds/1/*@gw MGCP 1.0\r\nRM: restart\r\n");
  runtime.RunFor(150);
  gateway.Notify("ds/1/0", "0", "MS/rlc");  // sent while the audit response is in transit
  runtime.RunFor(75);
  gateway.audit_state = "idle";
  runtime.RunFor(20 * kMs);
  EXPECT_EQ(Group1().State(0), CircuitState::kIdle);
}

TEST_F(CircuitStateMismatch, AcceptsSeizureOfCircuitOutOfServiceAfterRestart) {
  RestartGatewayWhileReleasing();
  Seize("ds/1/0", "0");
  EXPECT_EQ(Group1().State(0), CircuitState::kSeizedIn);
  EXPECT_EQ(gateway.Count(mgcp::Verb::kDlcx, "ds/1/0", "S", "MS/rel"), 0U);
  EXPECT_EQ(node->core().counters().glare, 0U);
}

TEST_F(CircuitStateMismatch, ClearedCircuitReturnsToServiceOnReleaseComplete) {
  RestartGatewayWhileReleasing();
  gateway.release_state = "releasing";
  gateway.audit_state = "far-released";  // the audit finds the far end released, so the circuit is cleared
  gateway.Notify("ds/1/0", "0", "MS/rlc");
  runtime.RunFor(20 * kMs);
  ASSERT_EQ(gateway.Count(mgcp::Verb::kDlcx, "ds/1/0"), 1U);
  gateway.Notify("ds/1/0", gateway.Request("ds/1/0"), "MS/rlc");
  runtime.RunFor(20 * kMs);
  EXPECT_EQ(Group1().State(0), CircuitState::kIdle);
}

TEST_F(CircuitStateMismatch, RefusesSeizureOfWithdrawnCircuitAsNotInService) {
  gateway.Send("RSIP 700001 ds/1/*@gw MGCP 1.0\r\nRM: forced\r\n");
  runtime.RunFor(20 * kMs);
  Seize("ds/1/0", "0");
  EXPECT_EQ(gateway.Last(mgcp::Verb::kDlcx, "ds/1/0")->Get("S"), "MS/rel(47)");
  EXPECT_EQ(node->core().counters().not_in_service, 1U);
  EXPECT_EQ(node->core().counters().glare, 0U);
  EXPECT_EQ(OutOfService(), 2U);
}

TEST_F(CircuitStateMismatch, DeprioritizesCircuitAfterOneRefusal) {
  Dial(1);
  EXPECT_EQ(Refuse(44), "ds/1/0");
  EXPECT_EQ(LastSeized(), "ds/2/0");  // the same call is rerouted at once, as no set-up was processed
  HangUp(1);
  ASSERT_EQ(IdleCircuits(1), 2U);
  Dial(2);
  EXPECT_EQ(LastSeized(), "ds/1/1");
}

TEST_F(CircuitStateMismatch, AuditsAndRestsCircuitAfterTwoRefusals) {
  Dial(1);
  Refuse(44);  // ds/1/0
  HangUp(1);
  Dial(2);
  OnCircuit("ds/1/1", "MS/ans");  // occupies the other circuit
  Dial(3);
  ASSERT_EQ(LastSeized(), "ds/1/0");  // deprioritized, but the only idle circuit
  const std::size_t audits = gateway.Count(mgcp::Verb::kAuep, "ds/1/0");
  Refuse(44);
  EXPECT_EQ(Group1().State(0), CircuitState::kSuspect);
  EXPECT_GT(gateway.Count(mgcp::Verb::kAuep, "ds/1/0"), audits);
  EXPECT_EQ(node->core().counters().suspected, 1U);
  runtime.RunFor(core::RefusalHistory::kInitialRest);
  EXPECT_EQ(Group1().State(0), CircuitState::kIdle);
}

TEST_F(CircuitStateMismatch, SuspectsCircuitNotInServiceAtFirstRefusal) {
  Dial(1);
  Refuse(47);
  EXPECT_EQ(Group1().State(0), CircuitState::kSuspect);
}

TEST_F(CircuitStateMismatch, SeizureByFarEndClearsSuspicion) {
  Dial(1);
  Refuse(47);
  Seize("ds/1/0", gateway.Request("ds/1/0"));
  EXPECT_EQ(Group1().State(0), CircuitState::kSeizedIn);
  EXPECT_EQ(Group1().ConsecutiveRefusals(0), 0U);
}

TEST(RefusalHistory, RestTimeDoublesUpToLimit) {
  core::RefusalHistory history(1);
  history.RecordRefusal(0);
  EXPECT_EQ(history.RestTime(0), 0U);
  TimeUs before = 0;
  for (int i = 0; i < 40; ++i) {
    history.RecordRefusal(0);
    const TimeUs rest = history.RestTime(0);
    EXPECT_TRUE(rest == 2 * before || before == 0 || rest == core::RefusalHistory::kMaxRest);
    before = rest;
  }
  EXPECT_EQ(before, core::RefusalHistory::kMaxRest);
  history.ConfirmWorking(0);
  EXPECT_FALSE(history.IsDeprioritized(0));
}

TEST(CircuitChoice, AvoidsRefusedCircuitWhileAnotherIsIdle) {
  rc::check([](std::vector<bool> refusals) {
    core::CircuitGroup group(6, true);
    for (core::CircuitNumber c = 0; c < 6; ++c) group.Confirm(c);
    int before = -1;
    for (const bool refused : refusals) {
      std::vector<core::CircuitNumber> seized;
      if (!group.Seize(1, 1, &seized)) break;
      const core::CircuitNumber circuit = seized[0];
      bool other = false;
      for (core::CircuitNumber c = 0; c < 6; ++c)
        other = other || (c != circuit && group.State(c) == CircuitState::kIdle && group.ConsecutiveRefusals(c) == 0);
      RC_ASSERT(!(other && before == circuit));
      if (refused) {
        group.RecordRefusal(circuit);
        before = circuit;
      } else {
        group.ConfirmWorking(circuit);
        before = -1;
      }
      group.Release(circuit, 1);
      group.Confirm(circuit);
      RC_ASSERT(group.State(circuit) ==
                (group.ConsecutiveRefusals(circuit) >= 2 ? CircuitState::kSuspect : CircuitState::kIdle));
      if (group.Count(CircuitState::kIdle) == 0) {
        for (core::CircuitNumber c = 0; c < 6; ++c) group.EndRest(c);
      }
    }
  });
}

// ---- unknown hosts ----

class UnknownHost final : public core::DatagramHandler {
 public:
  UnknownHost(sim::VirtualRuntime* runtime, std::uint32_t host) : port_(runtime->OpenPort({host, 2427}, this)) {}
  void OnDatagram(const core::Address&, std::string_view bytes) override { received.emplace_back(bytes); }
  void Send(const std::string& text) { port_->Send(kEdge, text); }
  std::vector<std::string> received;

 private:
  std::unique_ptr<core::DatagramPort> port_;
};

TEST_F(CallPath, UnknownHostsUseNoHistoryAndGetFewResponses) {
  UnknownHost unknown_host(&runtime, 0x7f000063);
  const std::size_t history = node->transactions().history();
  for (int i = 0; i < 2000; ++i) {
    unknown_host.Send("NTFY " + std::to_string(i + 1) + " aaln/1@gw MGCP 1.0\r\nX: 1\r\nO: L/hd\r\n");
    unknown_host.Send("200 " + std::to_string(i + 1) + "\r\n");
    unknown_host.Send("\x01\x02");
    if (i % 100 == 0) runtime.RunFor(kMs);
  }
  runtime.RunFor(20 * kMs);
  EXPECT_EQ(node->transactions().history(), history);
  EXPECT_EQ(node->transactions().unknown_hosts().commands, 2000U);
  EXPECT_EQ(node->transactions().unknown_hosts().responses, 2000U);
  EXPECT_EQ(node->transactions().unknown_hosts().malformed, 2000U);
  EXPECT_GE(unknown_host.received.size(), 1U);
  EXPECT_LE(unknown_host.received.size(), 21U);
  EXPECT_EQ(unknown_host.received[0].substr(0, 4), "500 ");
  EXPECT_EQ(node->core().counters().offered, 0U);
  Dial(1);
  EXPECT_EQ(SetUpCount(), 1U);
}

TEST_F(CallPath, FloodFromGatewayAddressLeavesHistoryForCalls) {
  settings.transactions.max_history = 400;
  StartEdge();
  Dial(1);
  const std::string circuit = LastSeized();
  // Commands for unknown endpoints are rejected without using the history; those of idle endpoints may only use the
  // shared part of it.
  for (int i = 0; i < 1000; ++i) {
    gateway.Notify("aaln/" + std::to_string(5000 + i), "0", "L/hd");
    gateway.Notify("aaln/" + std::to_string(2 + i % 18), "0", "L/hf");
  }
  runtime.RunFor(20 * kMs);
  EXPECT_LE(node->transactions().history(), 300U);
  EXPECT_GT(node->transactions().counters().refused_full, 0U);
  OnCircuit(circuit, "MS/ans");
  EXPECT_EQ(EstablishedCalls(1), 1U);
  HangUp(1);
  EXPECT_EQ(node->core().open_calls(), 0U);
}

TEST(HistoryQuota, IsSharedByGatewayAndBoundedByEndpoint) {
  mgcp::HistoryQuota quota(800, 2);
  mgcp::HistoryQuota::Reservation reservation;
  std::vector<mgcp::HistoryQuota::Reservation> reservations;
  while (quota.TryReserve(1, 0, &reservation)) reservations.push_back(reservation);
  EXPECT_EQ(reservations.size(), 300U);               // three quarters of its half of the history
  EXPECT_TRUE(quota.TryReserve(2, 0, &reservation));  // the other gateway has its own share
  std::size_t kept = 0;
  while (quota.TryReserve(1, 77, &reservation)) ++kept;
  EXPECT_EQ(kept, mgcp::HistoryQuota::kMaxPerEndpoint);
  EXPECT_TRUE(quota.TryReserve(1, 78, &reservation));
  for (const auto& each : reservations) quota.Release(each);
  EXPECT_TRUE(quota.TryReserve(1, 0, &reservation));
}

}  // namespace
}  // namespace croftrun
