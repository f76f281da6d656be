#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "core/circuits.h"
#include "core/number_plan.h"
#include "core/overload_control.h"
#include "core/roster.h"
#include "core/runtime.h"
#include "edge/edge_settings.h"
#include "edge/roster_client.h"

namespace croftrun::core {
namespace {

CircuitGroup MakeIdleGroup(std::size_t size, bool from_low) {
  CircuitGroup group(size, from_low);
  for (std::size_t i = 0; i < size; ++i) group.Confirm(static_cast<CircuitNumber>(i));
  return group;
}

TEST(Circuits, SeizesFromOppositeEndsAllOrNone) {
  CircuitGroup low = MakeIdleGroup(70, true), high = MakeIdleGroup(70, false);
  std::vector<CircuitNumber> seized;
  EXPECT_TRUE(low.Seize(2, 1, &seized));
  EXPECT_EQ(seized, (std::vector<CircuitNumber>{0, 1}));
  seized.clear();
  EXPECT_TRUE(high.Seize(2, 1, &seized));
  EXPECT_EQ(seized, (std::vector<CircuitNumber>{69, 68}));
  seized.clear();
  EXPECT_FALSE(low.Seize(69, 2, &seized));
  EXPECT_TRUE(seized.empty());
  EXPECT_EQ(low.Count(CircuitState::kIdle), 68U);
}

TEST(Circuits, ReleasesForHolderOnlyAndFreesOnConfirmation) {
  CircuitGroup group = MakeIdleGroup(1, true);
  std::vector<CircuitNumber> seized;
  group.Seize(1, 7, &seized);
  EXPECT_FALSE(group.Confirm(0));     // a stale release complete
  EXPECT_FALSE(group.Release(0, 8));  // another call
  EXPECT_TRUE(group.Release(0, 7));
  EXPECT_EQ(group.Count(CircuitState::kIdle), 0U);
  EXPECT_FALSE(group.Seize(1, 9, &seized));
  EXPECT_TRUE(group.Confirm(0));
  EXPECT_TRUE(group.Seize(1, 9, &seized));
  EXPECT_FALSE(group.SeizeByFarEnd(0, 3));  // glare
  EXPECT_EQ(group.TakeOutOfService(0), 9U);
  EXPECT_EQ(group.UsableCircuits(), 0U);
  EXPECT_TRUE(group.BringIntoService(0));
}

TEST(Circuits, CountsMatchStatesAfterRandomOperations) {
  rc::check([](const std::vector<std::uint16_t>& steps) {
    CircuitGroup group(5, true);
    for (const std::uint16_t step : steps) {
      const auto circuit = static_cast<CircuitNumber>(step / 8 % 6);  // includes one beyond the group
      const Holder holder = static_cast<Holder>(step / 64 % 3 + 1);
      std::vector<CircuitNumber> seized;
      if (step % 11 == 0) group.RecordRefusal(circuit);
      if (step % 13 == 0) group.ConfirmWorking(circuit);
      if (step % 7 == 0) group.EndRest(circuit);
      switch (step % 8) {
        case 0:
          group.Seize(step / 64 % 4, holder, &seized);
          for (const CircuitNumber c : seized) RC_ASSERT(group.HeldBy(c) == holder);
          break;
        case 1:
          group.SeizeByFarEnd(circuit, holder);
          break;
        case 2:
        case 3:
          group.Release(circuit, holder);
          break;
        case 4:
        case 5:
          group.Confirm(circuit);
          break;
        case 6:
          group.TakeOutOfService(circuit);
          break;
        default:
          group.BringIntoService(circuit);
      }
      std::size_t sum = 0;
      for (std::size_t s = 0; s < kCircuitStates; ++s) {
        std::size_t count = 0;
        for (CircuitNumber c = 0; c < 5; ++c) count += group.State(c) == static_cast<CircuitState>(s) ? 1 : 0;
        RC_ASSERT(count == group.Count(static_cast<CircuitState>(s)));
        sum += count;
      }
      RC_ASSERT(sum == 5);
      for (CircuitNumber c = 0; c < 5; ++c) {
        const bool held = group.State(c) == CircuitState::kSeizedOut || group.State(c) == CircuitState::kSeizedIn;
        RC_ASSERT(held == (group.HeldBy(c) != 0));
      }
    }
  });
}

TEST(Roster, ReportsStartBeforeOwnClockAsLongAgo) {
  RosterView view;
  RosterUpdate update;
  update.version = 1;
  update.entries.push_back({.exchange = 5, .number = 1, .incarnation = 2, .age_us = 12'500'000});
  DirectoryUpdate directory;
  ASSERT_EQ(view.Apply(1'200'000, update, &directory), RosterView::UpdateResult::kApplied);
  EXPECT_EQ(directory.entries.at(0).started_at_us, 0U);  // 1 would start its warm-up now
}

TEST(NumberPlan, FindsLongestPrefix) {
  NumberPlan plan;
  EXPECT_TRUE(plan.Add("1", {.destination = 1}));
  EXPECT_TRUE(plan.Add("123", {.destination = 2}));
  EXPECT_FALSE(plan.Add("123", {.destination = 3}));
  EXPECT_FALSE(plan.Add("12a", {}));
  EXPECT_FALSE(plan.Add(std::string(kMaxDigits + 1, '1'), {}));
  EXPECT_EQ(plan.Find("12")->destination, 1);
  EXPECT_EQ(plan.Find("1234")->destination, 2);
  EXPECT_FALSE(plan.Find("2"));
  EXPECT_FALSE(plan.Find(""));
  EXPECT_FALSE(plan.Find("1*"));
  EXPECT_NE(NumberKey("1234"), NumberKey("1235"));
  EXPECT_EQ(NumberKey(""), 0U);
}

TEST(NumberPlan, MatchesLinearSearch) {
  rc::check([](const std::vector<std::uint32_t>& prefixes, std::uint32_t number) {
    NumberPlan plan;
    std::map<std::string, int> all;
    for (const std::uint32_t p : prefixes) {
      const std::string prefix = std::to_string(p % 1000);
      const int index = static_cast<int>(all.size());
      if (plan.Add(prefix, {.destination = index})) all[prefix] = index;
    }
    const std::string digits = std::to_string(number % 100000);
    int best = -1;
    for (std::size_t size = 0; size <= digits.size(); ++size) {
      const auto found = all.find(digits.substr(0, size));
      if (found != all.end()) best = found->second;
    }
    const auto meaning = plan.Find(digits);
    RC_ASSERT((meaning ? meaning->destination : -1) == best);
  });
}

TEST(Roster, DetectsStaleUpdatesAndGaps) {
  RosterView view;
  DirectoryUpdate directory;
  using V = RosterView::UpdateResult;
  const RosterEntry ready{.exchange = 5, .number = 1};
  EXPECT_EQ(view.Apply(100, {.version = 3, .base = {}, .entries = {ready}}, &directory), V::kApplied);
  EXPECT_EQ(directory.kind, DirectoryKind::kFull);
  EXPECT_EQ(view.Apply(200, {.version = 3, .base = {}, .entries = {ready}}, &directory), V::kStale);
  EXPECT_EQ(view.Apply(200, {.version = 5, .base = 4, .entries = {ready}}, &directory), V::kGap);
  EXPECT_EQ(view.version(), 3U);
  EXPECT_EQ(view.Apply(200, {.version = 4, .base = 3, .entries = {ready}}, &directory), V::kApplied);
  EXPECT_EQ(directory.kind, DirectoryKind::kDelta);
  EXPECT_EQ(view.Apply(200, {.version = 9, .base = {}, .entries = std::vector<RosterEntry>(5000)}, &directory),
            V::kTooManyEntries);
}

TEST(Roster, DerivesStartOncePerIncarnationAndAlwaysAppliesStatus) {
  RosterView view;
  DirectoryUpdate directory;
  RosterEntry entry{.exchange = 5, .number = 1, .incarnation = 2, .age_us = 400};
  view.Apply(1000, {.version = 1, .base = {}, .entries = {entry}}, &directory);
  EXPECT_EQ(directory.entries.at(0).started_at_us, 600U);
  entry.age_us = 900;  // repeated with clock deviation: not a restart
  view.Apply(1600, {.version = 2, .base = {}, .entries = {entry}}, &directory);
  EXPECT_EQ(directory.entries.at(0).started_at_us, 600U);
  entry.incarnation = 3;
  entry.age_us = 100;
  view.Apply(2000, {.version = 3, .base = {}, .entries = {entry}}, &directory);
  EXPECT_EQ(directory.entries.at(0).started_at_us, 1900U);
  entry.incarnation = 2;
  entry.status = ExchangeStatus::kGone;
  view.Apply(2100, {.version = 4, .base = {}, .entries = {entry}}, &directory);
  ASSERT_EQ(directory.entries.size(), 1U);  // the latest status is applied in any case
  EXPECT_EQ(directory.entries[0].status, ExchangeStatus::kGone);
  EXPECT_EQ(directory.entries[0].started_at_us, 1900U);
}

TEST(Roster, RejectsMalformedUpdates) {
  EXPECT_TRUE(edge::ParseRosterUpdate(
      R"({"version":2,"entries":[{"exchange":1,"number":0,"zone":0,"status":"draining","incarnation":1,"age_ms":5}]})"));
  for (const char* wrong :
       {"", "{}", "[]", R"({"version":-1,"entries":[]})", R"({"version":2,"entries":[{"exchange":1}]})",
        R"({"version":2,"entries":[{"exchange":1,"number":0,"zone":0,"status":"asleep"}]})", R"({"version":2})",
        "\xff"})
    EXPECT_FALSE(edge::ParseRosterUpdate(wrong)) << wrong;
}

TEST(Overload, RefusesOnStandingQueueButNotOnBurst) {
  OverloadGate gate({.target_us = 10'000, .window_us = 50'000});
  TimeUs now = 1'000'000;
  for (int i = 0; i < 1000; ++i, now += 1'000)
    gate.RecordDelay(now, i % 20 == 0 ? 0 : 40'000);  // bursts that are processed in time
  EXPECT_EQ(gate.share(), 0.0);
  for (int i = 0; i < 500; ++i, now += 1'000) gate.RecordDelay(now, 30'000);
  EXPECT_GT(gate.share(), 0.3);
  EXPECT_TRUE(gate.ShouldRefuse(0.1));
  EXPECT_FALSE(gate.ShouldRefuse(0.99));  // some calls are always accepted
  for (int i = 0; i < 3000; ++i, now += 1'000) gate.RecordDelay(now, 0);
  EXPECT_EQ(gate.share(), 0.0);
}

TEST(Addresses, RejectsMalformedAddresses) {
  Address address;
  EXPECT_TRUE(ParseAddress("127.0.0.3:2427", &address));
  EXPECT_EQ(ToString(address), "127.0.0.3:2427");
  for (const char* wrong :
       {"", "127.0.0.1", "127.0.0:1", "127.0.0.256:1", "127.0.0.1:65536", "127.0.0.1:1x", "a.b.c.d:1"})
    EXPECT_FALSE(ParseAddress(wrong, &address)) << wrong;
}

// ---- settings ----

TEST(EdgeSettings, ReportsAllMistakesWithTheirPaths) {
  std::vector<config::SettingsError> mistakes;
  edge::ParseEdgeSettings(R"({
    "exchange": {"number": "three"},
    "agent": {"listen": "127.0.0.1:2727", "most_calls": 0, "colour": "red"},
    "gateway": {"address": "127.0.0.2:2427"},
    "groups": [{"exchange": 1, "circuits": 0}, {"exchange": -2, "circuits": 5}],
    "classes": [{"name": "", "give_up_ms": 9000}, {"name": "x", "give_up_ms": 0, "repeat": "sometimes"}],
    "plan": [{"prefix": "12x", "exchange": 1, "class": "x"}],
    "network": {"cold_from": 2}})",
                          &mistakes);
  const std::string text = config::ToString(mistakes);
  EXPECT_GE(mistakes.size(), 10U) << text;
  for (const char* path :
       {"/exchange/number", "/agent/most_calls", "/agent", "/gateway", "/groups/0/circuits", "/groups/1/exchange",
        "/classes/0/name", "/classes/1/give_up_ms", "/classes/1/repeat", "/plan/0/prefix", "/network/cold_from"})
    EXPECT_NE(text.find(std::string(path) + ": "), std::string::npos) << path << " is missing in\n" << text;
}

TEST(EdgeSettings, ReportsMistakesBeyondTheSchema) {
  std::vector<config::SettingsError> mistakes;
  edge::ParseEdgeSettings(R"({
    "exchange": {"number": 1}, "agent": {"listen": "nowhere"}, "gateway": {"address": "127.0.0.2:2427", "domain": "a@b"},
    "lines": {"count": 4, "number_prefix": "", "digit_map": "(["},
    "groups": [{"exchange": 1, "circuits": 1}, {"exchange": 2, "circuits": 1}, {"exchange": 2, "circuits": 3}],
    "classes": [{"name": "a", "give_up_ms": 9000, "aim_ms": 10000}, {"name": "a", "give_up_ms": 1}],
    "plan": [{"prefix": "1", "exchange": 2, "class": "b"}, {"prefix": "1", "exchange": 2, "class": "a"}],
    "network": {}})",
                          &mistakes);
  const std::string text = config::ToString(mistakes);
  for (const char* path :
       {"/agent/listen", "/gateway/domain", "/lines/digit_map", "/groups/0/exchange", "/groups/2/exchange",
        "/classes/0/aim_ms", "/classes/1/name", "/plan/0/class", "/plan/1/prefix"})
    EXPECT_NE(text.find(std::string(path) + ": "), std::string::npos) << path << " is missing in\n" << text;
  mistakes.clear();
  edge::ParseEdgeSettings("{", &mistakes);
  EXPECT_EQ(mistakes.size(), 1U);
  mistakes.clear();
  edge::ParseEdgeSettings(R"({"exchange": 5E5555})", &mistakes);  // found by the fuzzer: out of range for a double
  EXPECT_EQ(mistakes.size(), 1U);
  EXPECT_FALSE(edge::ParseRosterUpdate(R"({"version": 5E5555, "entries": []})"));
}

}  // namespace
}  // namespace croftrun::core
