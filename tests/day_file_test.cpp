// Reduction of bench days to one machine: the load offered to each group, zone pair and processor is preserved.
#include "lab/day_file.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "day_fixture.h"
#include "lab/baselines.h"

namespace croftrun::lab {
namespace {

// `n` exchanges in two zones, with varying group sizes, speeds and traffic.
DayNetwork MakeNetwork(std::size_t n, double load) {
  std::mt19937_64 random(7);
  const auto unit = [&] { return static_cast<double>(random() >> 11U) * 0x1.0p-53; };
  DayNetwork network;
  network.circuit_seconds = 2.0;
  network.circuits.assign(n, std::vector<unsigned>(n, 0));
  network.calls_per_s.assign(n, std::vector<double>(n, 0.0));
  for (std::size_t a = 0; a < n; ++a) {
    network.zone.push_back(a % 3 == 0 ? 1 : 0);
    network.speed.push_back(0.5 + unit());
    for (std::size_t b = 0; b < a; ++b) {
      const auto circuits = static_cast<unsigned>(unit() < 0.1 ? 0 : 4 + 8 * unit());
      network.circuits[a][b] = network.circuits[b][a] = circuits;
      const double erlangs = load * (2.0 + 8.0 * unit());
      network.calls_per_s[a][b] = 0.6 * erlangs / network.circuit_seconds;
      network.calls_per_s[b][a] = 0.4 * erlangs / network.circuit_seconds;
    }
  }
  return network;
}

TEST(DayFile, KeepsFullNetworkUnchanged) {
  const DayNetwork whole = MakeNetwork(8, 1.0);
  const ReducedNetwork same = ReduceNetwork(whole, 8, 1);
  EXPECT_EQ(same.network.circuits, whole.circuits);
  EXPECT_DOUBLE_EQ(same.min_factor, 1.0);
  EXPECT_DOUBLE_EQ(same.max_factor, 1.0);
  for (std::size_t a = 0; a < 8; ++a) {
    EXPECT_NEAR(same.network.speed[a], whole.speed[a], 1e-12);
    for (std::size_t b = 0; b < 8; ++b) EXPECT_NEAR(same.network.calls_per_s[a][b], whole.calls_per_s[a][b], 1e-12);
  }
}

TEST(DayFile, PreservesLoadPerCircuitAndPerProcessor) {
  const DayNetwork whole = MakeNetwork(24, 1.0);
  for (const std::size_t exchanges : {4U, 9U, 15U}) {
    const ReducedNetwork reduced = ReduceNetwork(whole, exchanges, 3);
    const DayNetwork& part = reduced.network;
    ASSERT_EQ(part.size(), exchanges);
    for (int a = 0; a < 2; ++a) {
      for (int b = 0; b <= a; ++b) {
        if (LoadBetween(part, a, b).circuits <= 0.0) continue;
        EXPECT_NEAR(LoadBetween(part, a, b).PerCircuit(), LoadBetween(whole, a, b).PerCircuit(), 1e-9);
      }
    }
    const auto zones = std::count(part.zone.begin(), part.zone.end(), 1);
    EXPECT_LE(std::abs(static_cast<double>(zones) - 8.0 * static_cast<double>(exchanges) / 24.0), 1.0);
    for (std::size_t i = 0; i < exchanges; ++i) {
      const std::size_t before = reduced.kept[i];
      EXPECT_NEAR(part.CallsAt(i) / part.speed[i], whole.CallsAt(before) / whole.speed[before], 1e-9);
      for (std::size_t j = 0; j < exchanges; ++j)
        EXPECT_EQ(part.circuits[i][j], whole.circuits[before][reduced.kept[j]]);
    }
    // The exchanges are chosen so that the correction factors are close to 1.
    EXPECT_GT(reduced.min_factor, 0.7);
    EXPECT_LT(reduced.max_factor, 1.4);
  }
}

TEST(DayFile, SameSeedKeepsSameExchanges) {
  const DayNetwork whole = MakeNetwork(20, 1.0);
  EXPECT_EQ(ReduceNetwork(whole, 6, 9).kept, ReduceNetwork(whole, 6, 9).kept);
}

std::string ScenarioOf(const DayNetwork& n) {
  nlohmann::json groups = nlohmann::json::array();
  double rate = 0.0;
  for (std::size_t a = 0; a < n.size(); ++a) {
    rate += n.CallsAt(a) / 2.0;
    for (std::size_t b = a + 1; b < n.size(); ++b) {
      if (n.circuits[a][b] > 0) groups.push_back({a, b, n.circuits[a][b]});
    }
  }
  return nlohmann::json{{"seed", 5},
                        {"length_ms", 9'000},
                        {"settle_ms", 2'000},
                        {"fleet",
                         {{"exchanges", n.size()},
                          {"edges", n.size()},
                          {"zones", 2},
                          {"zone_of", n.zone},
                          {"circuits", 0},
                          {"groups", groups},
                          {"lines", 200}}},
                        {"processor", {{"set_up_us", 200}, {"follow_us", 50}, {"reject_us", 20}}},
                        {"traffic",
                         {{"calls_per_s", rate},
                          {"between", n.calls_per_s},
                          {"redials", 0},
                          {"classes", {{{"name", "a"}, {"share", 1}, {"give_up_ms", 6'000}, {"holding_ms", 2'000}}}}}}}
      .dump();
}

// With direct routes only, blocking depends on each group alone, so the reduced network must block like the full one.
TEST(DayFile, ReducedNetworkBlocksLikeFullNetwork) {
  const DayNetwork whole = MakeNetwork(10, 1.0);
  const auto blocked = [](const DayNetwork& network) {
    PlayedDay day(ScenarioOf(network), FindDeciderFactory("direct-only"));
    day.Run();
    const ClassOutcome& all = day.report.classes.at(0);
    EXPECT_GT(all.tries, 300U);
    return static_cast<double>(all.refused) / static_cast<double>(all.tries);
  };
  const double of_whole = blocked(whole);
  EXPECT_GT(of_whole, 0.1);
  EXPECT_NEAR(blocked(ReduceNetwork(whole, 6, 2).network), of_whole, 0.08);
}

TEST(DayFile, StalledEdgeResumesAndKeepsRules) {
  PlayedDay day(R"({"seed": 3, "length_ms": 6000, "settle_ms": 6000,
    "fleet": {"exchanges": 3, "edges": 3, "circuits": 20, "lines": 100}, "processor": {"set_up_us": 1000},
    "traffic": {"calls_per_s": 20, "classes": [{"name": "a", "share": 1, "give_up_ms": 9000, "holding_ms": 1000}]},
    "faults": [{"at_ms": 1000, "for_ms": 3000, "kind": "edge-stall", "size": 600, "every_ms": 400, "exchanges": [1]},
               {"at_ms": 2000, "for_ms": 2000, "kind": "retry-abuse", "size": 6, "patience": 0.05, "share": 0.5},
               {"at_ms": 2500, "for_ms": 1500, "kind": "ageing", "size": 8, "down_ms": 500, "exchanges": [2]}]})");
  std::size_t stalls = 0;
  day.on_record = [&](const TraceRecord& record) { stalls += record.fact == "edge-stalled" ? 1 : 0; };
  day.Run();
  EXPECT_GE(stalls, 3U);
  EXPECT_TRUE(day.rules.Kept()) << day.rules.Summary();
  EXPECT_GT(day.Answered(), 60U);
  EXPECT_EQ(day.report.calls_left, 0U);
}

}  // namespace
}  // namespace croftrun::lab
