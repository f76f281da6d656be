// Trials of real softswitch processes on loopback, one fault or crossing each, as incidents had them. The program comes
// by the environment, CROFTRUN_EDGE.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "lab/soak/trial.h"

namespace croftrun::lab::soak {
namespace {

constexpr TimeUs kMs = 1'000, kSecond = 1'000'000;
// The shadow memory of a sanitized build counts as resident.
constexpr int kMegabytesWithSanitizers = 1024;

class SoakTrialTest : public ::testing::Test {
 protected:
  SoakTrialTest() {
    script_.softswitches = 3;
    script_.exchanges = 4;
    script_.deadlines = {1'500 * kMs};
    script_.clients.classes = {"class-0"};
    script_.clients.waits = script_.deadlines;
    script_.clients.calls_per_s = 6.0;
    script_.exchange.hold_mean = 20 * kSecond;
    script_.length = 14 * kSecond;
    folder_ = std::filesystem::temp_directory_path() / ("croftrun-soak-" + std::to_string(::getpid()));
  }
  ~SoakTrialTest() override { std::filesystem::remove_all(folder_); }

  TrialResult Run() {
    const char* const program = std::getenv("CROFTRUN_EDGE");
    EXPECT_NE(program, nullptr);
    // Trials run side by side: each process has addresses of its own.
    return RunTrial(script_, {.program = program == nullptr ? "" : program,
                              .folder = folder_.string(),
                              .slot = 16 + static_cast<int>(::getpid() % 48),
                              .most_megabytes = kMegabytesWithSanitizers});
  }
  // Few long calls; discovery falls silent, and then every exchange vanishes and returns without its calls: the first
  // after a second, each further one after `step` more.
  void VanishAndReturnInAQuietTime(TimeUs step) {
    script_.clients.calls_per_s = 0.5;
    script_.exchange.hold_mean = 60 * kSecond;
    script_.length = 18 * kSecond;
    script_.faults = {{6 * kSecond, FaultKind::kDiscoverySilent, 0, 14 * kSecond}};
    for (int slot = 0; slot < script_.exchanges; ++slot) {
      const TimeUs away = kSecond + static_cast<TimeUs>(slot) * step;
      script_.faults.push_back({7 * kSecond, FaultKind::kVanishAndReturn, slot, away});
    }
  }
  static void ExpectNothingBroken(const TrialResult& result) {
    for (const Finding& finding : result.verdict.findings) {
      ADD_FAILURE() << NameOf(finding.rule) << ": " << finding.call << " " << finding.text;
    }
    if (result.verdict.findings.empty() || result.verdict.findings[0].call.empty()) return;
    for (const std::string& line : TimelineOf(result, result.verdict.findings[0].call))
      std::printf("%s\n", line.c_str());
  }
  // Calls that their callers knew as standing and that ended without a release about `after` from the start: those
  // whose callers were told within the protocol's 8 s, and the others.
  struct SilentEnds {
    std::set<std::string> told, untold;
  };
  static SilentEnds EndsWithoutAWord(const TrialResult& result, TimeUs after) {
    std::map<std::string, TimeUs> over;
    std::set<std::string> answered;
    SilentEnds ends;
    for (const TrafficEvent& event : result.events) {
      const TimeUs at = event.at - result.started;
      if (event.kind == EventKind::kAnswerRead) answered.insert(event.call);
      if (event.kind == EventKind::kReleaseSent) {  // by the caller: nothing is to be told to it
        answered.erase(event.call);
        over.erase(event.call);
      }
      const bool in_time = at >= after && at < after + 100 * kMs;
      if (event.kind == EventKind::kCallEndedUnsent && in_time && answered.count(event.call) > 0) over[event.call] = at;
      const auto found = over.find(event.call);
      if (event.kind == EventKind::kReleaseRead && found != over.end() && at <= found->second + 8'050 * kMs)
        ends.told.insert(event.call);
    }
    for (const auto& [call, at] : over) {
      if (ends.told.count(call) == 0) ends.untold.insert(call);
    }
    return ends;
  }
  static std::size_t Checked(const TrialResult& result, Rule rule) {
    return result.verdict.checked[static_cast<std::size_t>(rule)];
  }

  Script script_;
  std::filesystem::path folder_;
};

// Report 8a95fc: two machines vanish with calls standing on them while discovery is down.
TEST_F(SoakTrialTest, CallsOnAVanishedExchangeEndInTimeWhileDiscoveryIsDown) {
  script_.faults = {{2 * kSecond, FaultKind::kDiscoveryDown, 0, 12 * kSecond},
                    {3 * kSecond, FaultKind::kVanish, 1, 0},
                    {3 * kSecond, FaultKind::kVanish, 3, 0}};
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Rule::kStandingEnd), 5U);
  ExpectNothingBroken(result);
}

TEST_F(SoakTrialTest, CallsOnAnExchangeThatVanishesAfterALongQuietTimeEndInTime) {
  script_.clients.calls_per_s = 0.4;
  script_.exchange.hold_mean = 60 * kSecond;
  script_.exchange.tells_gauges = script_.exchange.greets = false;
  script_.length = 24 * kSecond;
  script_.faults = {{10 * kSecond, FaultKind::kDiscoverySilent, 0, 14 * kSecond},
                    {14 * kSecond, FaultKind::kVanish, 1, 0},
                    {14'500 * kMs, FaultKind::kVanish, 2, 0}};
  ExpectNothingBroken(Run());
}

TEST_F(SoakTrialTest, CallsOnAProcessThatIsReplacedAtItsAddressEndInTimeWhileDiscoveryIsSilent) {
  script_.faults = {{2 * kSecond, FaultKind::kDiscoverySilent, 0, 12 * kSecond},
                    {3 * kSecond, FaultKind::kReplace, 1, 0},
                    {3'200 * kMs, FaultKind::kReplace, 3, 0}};
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Rule::kStandingEnd), 5U);
  ExpectNothingBroken(result);
}

TEST_F(SoakTrialTest, TheSameWithoutAnyReportOfCircuits) {
  script_.exchange.tells_gauges = script_.exchange.greets = false;
  script_.faults = {{2 * kSecond, FaultKind::kDiscoverySilent, 0, 12 * kSecond},
                    {3 * kSecond, FaultKind::kReplace, 1, 0}};
  ExpectNothingBroken(Run());
}

// Seed 136 of the soak: away for less than the detector notices, with discovery down.
TEST_F(SoakTrialTest, CallsOnAMachineThatReturnsWithoutThemAfterThreeSecondsEndInTime) {
  script_.clients.calls_per_s = 0.5;
  script_.exchange.hold_mean = 60 * kSecond;
  script_.length = 24 * kSecond;
  script_.faults = {{9 * kSecond, FaultKind::kDiscoveryDown, 0, 14 * kSecond}};
  for (int slot = 0; slot < script_.exchanges; ++slot) {
    script_.faults.push_back({10 * kSecond, FaultKind::kVanishAndReturn, slot, 3'100 * kMs});
  }
  ExpectNothingBroken(Run());
}

// The same, noticed by the rhythm of its reports, or by tests where none come.
TEST_F(SoakTrialTest, CallsOnAMachineThatReportsOftenAndReturnsWithoutThemAfterASecondEndInTime) {
  script_.exchange.reports_every = 500 * kMs;
  VanishAndReturnInAQuietTime(500 * kMs);
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Rule::kStandingEnd), 2U);
  ExpectNothingBroken(result);
}

TEST_F(SoakTrialTest, CallsOnAMachineWithoutReportsThatReturnsWithoutThemEndInTimeWhereTestsAreAllowed) {
  script_.exchange.tells_gauges = script_.exchange.greets = false;
  VanishAndReturnInAQuietTime(700 * kMs);
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Rule::kStandingEnd), 2U);
  ExpectNothingBroken(result);
}

// Soak seed 750006: what a process suspects of a call it cannot tell its successor.
TEST_F(SoakTrialTest, CallsWhoseExchangeReturnedWithoutThemDuringAShutdownEndInTime) {
  script_.deadlines = {3 * kSecond};  // the kill comes 3.7 s after SIGTERM
  script_.clients.waits = script_.deadlines;
  script_.clients.calls_per_s = 3.0;
  script_.exchange.hold_mean = 60 * kSecond;
  script_.exchange.tells_gauges = script_.exchange.greets = false;
  script_.clients.closes_idle_after = 30 * kSecond;
  script_.clients.leaves = 0.0;  // who has no connection when the process ends cannot be told by it
  script_.length = 18 * kSecond;
  script_.faults = {{3 * kSecond, FaultKind::kDiscoverySilent, 0, 16 * kSecond}};
  for (int slot = 0; slot < script_.exchanges; ++slot)
    script_.faults.push_back({4 * kSecond, FaultKind::kVanishAndReturn, slot, 3'400 * kMs});
  for (int softswitch = 0; softswitch < script_.softswitches; ++softswitch)
    script_.faults.push_back({(5'400 + 400 * softswitch) * kMs, FaultKind::kTerminate, softswitch, 0});
  const TrialResult result = Run();
  ExpectNothingBroken(result);
  // The judge asks nothing of calls that were over before the next process began; here the former one could know.
  const SilentEnds ends = EndsWithoutAWord(result, 4 * kSecond);
  EXPECT_GT(ends.told.size(), 5U);
  for (const std::string& call : ends.untold) {
    ADD_FAILURE() << "its caller was not told: " << call;
    for (const std::string& line : TimelineOf(result, call)) std::printf("%s\n", line.c_str());
  }
}

TEST_F(SoakTrialTest, EndsOfCallsArriveThoughExchangesForgetIdleConnectionsWithoutAWord) {
  script_.clients.calls_per_s = 1.0;
  script_.exchange.hold_mean = 4 * kSecond;
  for (int slot = 0; slot < script_.exchanges; ++slot) {
    script_.faults.push_back({3 * kSecond, FaultKind::kForgetIdle, slot, 0});
    script_.faults.push_back({8 * kSecond, FaultKind::kForgetIdle, slot, 0});
  }
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Rule::kStandingEnd), 5U);
  ExpectNothingBroken(result);
}

TEST_F(SoakTrialTest, NoCallIsCutForAHangOfThreeSecondsOrForLateConnections) {
  script_.probes = false;
  script_.clients.calls_per_s = 1.0;
  script_.exchange.tells_gauges = script_.exchange.greets = false;
  script_.faults = {{2 * kSecond, FaultKind::kHang, 1, 3 * kSecond},
                    {2 * kSecond, FaultKind::kLateConnections, 2, 900 * kMs},
                    {6 * kSecond, FaultKind::kLateConnections, 3, 900 * kMs},
                    {7 * kSecond, FaultKind::kHang, 3, 3 * kSecond},
                    {9 * kSecond, FaultKind::kHalfClose, 2, 0},
                    {10 * kSecond, FaultKind::kCloseIdle, 0, 0}};
  const TrialResult result = Run();
  EXPECT_EQ(result.verdict.needless_cuts, 0U);
  ExpectNothingBroken(result);
}

TEST_F(SoakTrialTest, ShutdownsWithShortDeadlinesAndAHangingExchangeLoseNoAnswerAndNoEnd) {
  script_.deadlines = {400 * kMs};  // the kill comes 1.1 s after SIGTERM
  script_.clients.waits = script_.deadlines;
  script_.exchange.hold_mean = 2 * kSecond;
  script_.faults = {{3 * kSecond, FaultKind::kHang, 3, 3 * kSecond},
                    {3'500 * kMs, FaultKind::kTerminate, 0, 0},
                    {4 * kSecond, FaultKind::kTerminate, 1, 0},
                    {5 * kSecond, FaultKind::kTerminate, 2, 0}};
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Rule::kShutdown), 50U);
  ExpectNothingBroken(result);
}

// Clients send without a pause until the kill, on many connections, while set-ups wait on exchanges that hang.
TEST_F(SoakTrialTest, ClientsThatSendUntilTheKillHaveAnAnswerEachThoughEveryExchangeHangs) {
  script_.deadlines = {400 * kMs, 3 * kSecond};
  script_.clients.classes = {"class-0", "class-1"};
  script_.clients.waits = script_.deadlines;
  script_.clients.most_connections = 6;
  script_.clients.calls_per_s = 20.0;
  script_.faults = {{2 * kSecond, FaultKind::kCrowd, 0, 6 * kSecond}};
  for (int slot = 0; slot < script_.exchanges; ++slot)
    script_.faults.push_back({3 * kSecond, FaultKind::kHang, slot, 5 * kSecond});
  for (int softswitch = 0; softswitch < script_.softswitches; ++softswitch)
    script_.faults.push_back({(3'200 + 400 * softswitch) * kMs, FaultKind::kTerminate, softswitch, 0});
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Rule::kShutdown), 100U);
  ExpectNothingBroken(result);
}

TEST_F(SoakTrialTest, EndsThatComeBeforeTheKillAreToldOnConnectionsThatStay) {
  script_.deadlines = {3 * kSecond};  // 3.7 s
  script_.clients.waits = script_.deadlines;
  script_.exchange.hold_mean = 1'500 * kMs;
  script_.faults = {{3 * kSecond, FaultKind::kTerminate, 0, 0}, {3'300 * kMs, FaultKind::kTerminate, 1, 0}};
  const TrialResult result = Run();
  std::size_t told_meanwhile = 0;
  for (const TrafficEvent& event : result.events) {
    const bool meanwhile = event.at > result.started + 4 * kSecond && event.at < result.started + 6 * kSecond;
    told_meanwhile +=
        meanwhile && event.kind == EventKind::kReleaseRead && event.softswitch == 0 && event.value == 16 ? 1 : 0;
  }
  EXPECT_GT(told_meanwhile, 2U);
  ExpectNothingBroken(result);
}

TEST_F(SoakTrialTest, ThreeConfigurationsInARowWithDrainsCloseToTheReturnOfDiscovery) {
  script_.exchange.hold_mean = 3 * kSecond;
  script_.faults = {
      {2 * kSecond, FaultKind::kReconfigure, 0, 0},     {2'100 * kMs, FaultKind::kDrain, 1, 3 * kSecond},
      {3 * kSecond, FaultKind::kReconfigure, 1, 0},     {4 * kSecond, FaultKind::kDiscoveryDown, 0, 4 * kSecond},
      {7'500 * kMs, FaultKind::kDrain, 2, 3 * kSecond}, {8'100 * kMs, FaultKind::kReconfigure, 2, 0}};
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Rule::kDrain), 5U);
  ExpectNothingBroken(result);
}

}  // namespace
}  // namespace croftrun::lab::soak
