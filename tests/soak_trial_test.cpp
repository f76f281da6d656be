// Trials of real softswitch processes on loopback. Each test repeats one fault, or a combination of faults, that has
// caused an incident. The environment variable CROFTRUN_EDGE names the program.
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
constexpr int kSanitizerMaxMegabytes = 1024;

class SoakTrialTest : public ::testing::Test {
 protected:
  SoakTrialTest() {
    schedule_.softswitches = 3;
    schedule_.exchanges = 4;
    schedule_.deadlines = {1'500 * kMs};
    schedule_.clients.classes = {"class-0"};
    schedule_.clients.caller_timeouts = schedule_.deadlines;
    schedule_.clients.calls_per_s = 6.0;
    schedule_.exchange.mean_holding_time = 20 * kSecond;
    schedule_.traffic_duration = 14 * kSecond;
    folder_ = std::filesystem::temp_directory_path() / ("croftrun-soak-" + std::to_string(::getpid()));
  }
  ~SoakTrialTest() override { std::filesystem::remove_all(folder_); }

  TrialResult Run() {
    const char* const program = std::getenv("CROFTRUN_EDGE");
    EXPECT_NE(program, nullptr);
    // Trials may run in parallel, so each test process prefers an address range of its own.
    return RunTrial(schedule_, {.program = program == nullptr ? "" : program,
                                .folder = folder_.string(),
                                .slot = 16 + static_cast<int>(::getpid() % 48),
                                .max_megabytes = kSanitizerMaxMegabytes});
  }
  // Sets up few long calls and a silent discovery service. Then the hosts of all exchanges are lost and return without
  // their calls: the first one after one second, each other one `step` later than the one before.
  void LoseAllHostsBrieflyWithLittleTraffic(TimeUs step) {
    schedule_.clients.calls_per_s = 0.5;
    schedule_.exchange.mean_holding_time = 60 * kSecond;
    schedule_.traffic_duration = 18 * kSecond;
    schedule_.faults = {{6 * kSecond, FaultKind::kDiscoverySilent, 0, 14 * kSecond}};
    for (int slot = 0; slot < schedule_.exchanges; ++slot) {
      const TimeUs outage = kSecond + static_cast<TimeUs>(slot) * step;
      schedule_.faults.push_back({7 * kSecond, FaultKind::kVanishAndReturn, slot, outage});
    }
  }
  static void ExpectNoViolations(const TrialResult& result) {
    for (const Violation& violation : result.verdict.violations) {
      ADD_FAILURE() << NameOf(violation.check) << ": " << violation.call << " " << violation.text;
    }
    if (result.verdict.violations.empty() || result.verdict.violations[0].call.empty()) return;
    for (const std::string& line : TimelineOf(result, result.verdict.violations[0].call))
      std::printf("%s\n", line.c_str());
  }
  // Established calls that ended without a release about `after` from the start of the traffic: those whose callers
  // were notified within the protocol's 8 s, and the others.
  struct SilentlyEndedCalls {
    std::set<std::string> notified, not_notified;
  };
  static SilentlyEndedCalls FindSilentlyEndedCalls(const TrialResult& result, TimeUs after) {
    std::map<std::string, TimeUs> ended_at;
    std::set<std::string> answered;
    SilentlyEndedCalls ends;
    for (const TrialEvent& event : result.events) {
      const TimeUs at = event.at - result.start_time;
      if (event.kind == EventKind::kAnswerReceived) answered.insert(event.call);
      if (event.kind == EventKind::kReleaseSent) {  // by the caller, which then needs no notification
        answered.erase(event.call);
        ended_at.erase(event.call);
      }
      const bool in_window = at >= after && at < after + 100 * kMs;
      if (event.kind == EventKind::kCallEndedSilently && in_window && answered.count(event.call) > 0)
        ended_at[event.call] = at;
      const auto found = ended_at.find(event.call);
      if (event.kind == EventKind::kReleaseReceived && found != ended_at.end() && at <= found->second + 8'050 * kMs)
        ends.notified.insert(event.call);
    }
    for (const auto& [call, at] : ended_at) {
      if (ends.notified.count(call) == 0) ends.not_notified.insert(call);
    }
    return ends;
  }
  static std::size_t Checked(const TrialResult& result, Check check) {
    return result.verdict.checked[static_cast<std::size_t>(check)];
  }

  Schedule schedule_;
  std::filesystem::path folder_;
};

// Report 8a95fc: two hosts with established calls were lost while discovery was down.
TEST_F(SoakTrialTest, NotifiesEndOfCallsOnLostHostWhileDiscoveryIsDown) {
  schedule_.faults = {{2 * kSecond, FaultKind::kDiscoveryDown, 0, 12 * kSecond},
                      {3 * kSecond, FaultKind::kVanish, 1, 0},
                      {3 * kSecond, FaultKind::kVanish, 3, 0}};
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kCallEnd), 5U);
  ExpectNoViolations(result);
}

TEST_F(SoakTrialTest, NotifiesEndOfCallsOnLostHostAfterLongIdleTime) {
  schedule_.clients.calls_per_s = 0.4;
  schedule_.exchange.mean_holding_time = 60 * kSecond;
  schedule_.exchange.reports_circuits = schedule_.exchange.reports_on_connect = false;
  schedule_.traffic_duration = 24 * kSecond;
  schedule_.faults = {{10 * kSecond, FaultKind::kDiscoverySilent, 0, 14 * kSecond},
                      {14 * kSecond, FaultKind::kVanish, 1, 0},
                      {14'500 * kMs, FaultKind::kVanish, 2, 0}};
  ExpectNoViolations(Run());
}

TEST_F(SoakTrialTest, NotifiesEndOfCallsOnReplacedProcessWhileDiscoveryIsSilent) {
  schedule_.faults = {{2 * kSecond, FaultKind::kDiscoverySilent, 0, 12 * kSecond},
                      {3 * kSecond, FaultKind::kReplace, 1, 0},
                      {3'200 * kMs, FaultKind::kReplace, 3, 0}};
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kCallEnd), 5U);
  ExpectNoViolations(result);
}

TEST_F(SoakTrialTest, NotifiesEndOfCallsOnReplacedProcessWithoutReports) {
  schedule_.exchange.reports_circuits = schedule_.exchange.reports_on_connect = false;
  schedule_.faults = {{2 * kSecond, FaultKind::kDiscoverySilent, 0, 12 * kSecond},
                      {3 * kSecond, FaultKind::kReplace, 1, 0}};
  ExpectNoViolations(Run());
}

// Soak seed 136: the outages were too short for the failure detector to notice, with discovery down.
TEST_F(SoakTrialTest, NotifiesEndOfCallsLostInThreeSecondOutage) {
  schedule_.clients.calls_per_s = 0.5;
  schedule_.exchange.mean_holding_time = 60 * kSecond;
  schedule_.traffic_duration = 24 * kSecond;
  schedule_.faults = {{9 * kSecond, FaultKind::kDiscoveryDown, 0, 14 * kSecond}};
  for (int slot = 0; slot < schedule_.exchanges; ++slot) {
    schedule_.faults.push_back({10 * kSecond, FaultKind::kVanishAndReturn, slot, 3'100 * kMs});
  }
  ExpectNoViolations(Run());
}

// Report 3b80c6: the softswitch reads the last answers of a process after the start of the next one at its address.
TEST_F(SoakTrialTest, NotifiesEndOfCallsAnsweredJustBeforeTheirProcessIsReplaced) {
  schedule_.clients.calls_per_s = 20.0;
  schedule_.exchange.circuits = 100;
  schedule_.exchange.reports_circuits = schedule_.exchange.reports_on_connect = false;
  schedule_.traffic_duration = 10 * kSecond;
  const auto replace = [this](TimeUs at, int slot, const SuccessionTraits& traits) {
    schedule_.faults.push_back({at, FaultKind::kReplaceAtOnce, slot, 450 * kMs, 0, traits});
  };
  replace(2'000 * kMs, 0, {.dark_time = 550 * kMs});
  replace(2'400 * kMs, 1, {.dark_time = 550 * kMs, .closes_in_order = true});
  replace(2'800 * kMs, 2, {.listing = ListingOrder::kTwoEvents, .listing_gap = 100 * kMs});
  replace(3'200 * kMs, 3, {.listing = ListingOrder::kWholeList, .dark_time = 550 * kMs, .clock_offset_ms = -300});
  replace(5'000 * kMs, 0, {.dark_time = 550 * kMs, .keeps_name = true});
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kCallEnd), 20U);
  ExpectNoViolations(result);
}

// The softswitch stands still for two seconds across the replacement; the second one is listed only after the time
// limit.
TEST_F(SoakTrialTest, NotifiesEndOfCallsOfProcessReplacedDuringStandstill) {
  schedule_.deadlines = {9 * kSecond};  // set-ups that arrive during the standstill can be answered after it
  schedule_.clients.caller_timeouts = schedule_.deadlines;
  schedule_.clients.calls_per_s = 12.0;
  schedule_.exchange.circuits = 100;
  schedule_.exchange.mean_holding_time =
      1'000'000 * kSecond;  // a release during a standstill could not be told in time
  schedule_.exchange.reports_circuits = schedule_.exchange.reports_on_connect = false;
  schedule_.traffic_duration = 18 * kSecond;
  const SuccessionTraits standstill{.pause = 2 * kSecond};
  schedule_.faults = {{2 * kSecond, FaultKind::kReplaceAtOnce, 0, 450 * kMs, 0, standstill},
                      {6 * kSecond, FaultKind::kDiscoverySilent, 0, 14 * kSecond},
                      {7 * kSecond, FaultKind::kReplaceAtOnce, 1, 450 * kMs, 0, standstill}};
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kCallEnd), 20U);
  ExpectNoViolations(result);
}

// Shorter outages are noticed by a gap in the regular reports, or by probes where there are no reports.
TEST_F(SoakTrialTest, NotifiesEndOfCallsLostInShortOutageWithFrequentReports) {
  schedule_.exchange.report_interval = 500 * kMs;
  LoseAllHostsBrieflyWithLittleTraffic(500 * kMs);
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kCallEnd), 2U);
  ExpectNoViolations(result);
}

TEST_F(SoakTrialTest, NotifiesEndOfCallsLostInShortOutageWithProbesOnly) {
  schedule_.exchange.reports_circuits = schedule_.exchange.reports_on_connect = false;
  LoseAllHostsBrieflyWithLittleTraffic(700 * kMs);
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kCallEnd), 2U);
  ExpectNoViolations(result);
}

// Soak seed 750006: a process cannot hand its suspicion about a call over to the process that replaces it.
TEST_F(SoakTrialTest, NotifiesEndOfCallsLostInOutageDuringShutdown) {
  schedule_.deadlines = {3 * kSecond};  // SIGKILL comes 3.7 s after SIGTERM
  schedule_.clients.caller_timeouts = schedule_.deadlines;
  schedule_.clients.calls_per_s = 3.0;
  schedule_.exchange.mean_holding_time = 60 * kSecond;
  schedule_.exchange.reports_circuits = schedule_.exchange.reports_on_connect = false;
  schedule_.clients.idle_close_timeout = 30 * kSecond;
  // A caller without a connection cannot be notified by the process that ends.
  schedule_.clients.disconnect_share = 0.0;
  schedule_.traffic_duration = 18 * kSecond;
  schedule_.faults = {{3 * kSecond, FaultKind::kDiscoverySilent, 0, 16 * kSecond}};
  for (int slot = 0; slot < schedule_.exchanges; ++slot)
    schedule_.faults.push_back({4 * kSecond, FaultKind::kVanishAndReturn, slot, 3'400 * kMs});
  for (int softswitch = 0; softswitch < schedule_.softswitches; ++softswitch)
    schedule_.faults.push_back({(5'400 + 400 * softswitch) * kMs, FaultKind::kTerminate, softswitch, 0});
  const TrialResult result = Run();
  ExpectNoViolations(result);
  // The judge demands no notification for calls that ended before the next process started, but here the process before
  // it was able to find out.
  const SilentlyEndedCalls ends = FindSilentlyEndedCalls(result, 4 * kSecond);
  EXPECT_GT(ends.notified.size(), 5U);
  for (const std::string& call : ends.not_notified) {
    ADD_FAILURE() << "its caller was not notified: " << call;
    for (const std::string& line : TimelineOf(result, call)) std::printf("%s\n", line.c_str());
  }
}

TEST_F(SoakTrialTest, NotifiesEndOfCallsWhenExchangesForgetIdleConnections) {
  schedule_.clients.calls_per_s = 1.0;
  schedule_.exchange.mean_holding_time = 4 * kSecond;
  for (int slot = 0; slot < schedule_.exchanges; ++slot) {
    schedule_.faults.push_back({3 * kSecond, FaultKind::kForgetIdle, slot, 0});
    schedule_.faults.push_back({8 * kSecond, FaultKind::kForgetIdle, slot, 0});
  }
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kCallEnd), 5U);
  ExpectNoViolations(result);
}

TEST_F(SoakTrialTest, KeepsCallsDuringHangOfThreeSecondsAndLateConnections) {
  schedule_.probes = false;
  schedule_.clients.calls_per_s = 1.0;
  schedule_.exchange.reports_circuits = schedule_.exchange.reports_on_connect = false;
  schedule_.faults = {{2 * kSecond, FaultKind::kHang, 1, 3 * kSecond},
                      {2 * kSecond, FaultKind::kLateConnections, 2, 900 * kMs},
                      {6 * kSecond, FaultKind::kLateConnections, 3, 900 * kMs},
                      {7 * kSecond, FaultKind::kHang, 3, 3 * kSecond},
                      {9 * kSecond, FaultKind::kHalfClose, 2, 0},
                      {10 * kSecond, FaultKind::kCloseIdle, 0, 0}};
  const TrialResult result = Run();
  EXPECT_EQ(result.verdict.needless_disconnects, 0U);
  ExpectNoViolations(result);
}

TEST_F(SoakTrialTest, LosesNoAnswerAndNoEndInShutdownsWhileExchangeHangs) {
  schedule_.deadlines = {400 * kMs};  // SIGKILL comes 1.1 s after SIGTERM
  schedule_.clients.caller_timeouts = schedule_.deadlines;
  schedule_.exchange.mean_holding_time = 2 * kSecond;
  schedule_.faults = {{3 * kSecond, FaultKind::kHang, 3, 3 * kSecond},
                      {3'500 * kMs, FaultKind::kTerminate, 0, 0},
                      {4 * kSecond, FaultKind::kTerminate, 1, 0},
                      {5 * kSecond, FaultKind::kTerminate, 2, 0}};
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kShutdown), 50U);
  ExpectNoViolations(result);
}

// Clients send set-ups in quick succession until SIGKILL, on many connections, while earlier ones wait on exchanges
// that hang.
TEST_F(SoakTrialTest, AnswersEachSetUpUntilKillWhileAllExchangesHang) {
  schedule_.deadlines = {400 * kMs, 3 * kSecond};
  schedule_.clients.classes = {"class-0", "class-1"};
  schedule_.clients.caller_timeouts = schedule_.deadlines;
  schedule_.clients.max_connections = 6;
  schedule_.clients.calls_per_s = 20.0;
  schedule_.faults = {{2 * kSecond, FaultKind::kCrowd, 0, 6 * kSecond}};
  for (int slot = 0; slot < schedule_.exchanges; ++slot)
    schedule_.faults.push_back({3 * kSecond, FaultKind::kHang, slot, 5 * kSecond});
  for (int softswitch = 0; softswitch < schedule_.softswitches; ++softswitch)
    schedule_.faults.push_back({(3'200 + 400 * softswitch) * kMs, FaultKind::kTerminate, softswitch, 0});
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kShutdown), 100U);
  ExpectNoViolations(result);
}

TEST_F(SoakTrialTest, NotifiesEndOfCallsBetweenSigtermAndKill) {
  schedule_.deadlines = {3 * kSecond};  // SIGKILL comes 3.7 s after SIGTERM
  schedule_.clients.caller_timeouts = schedule_.deadlines;
  schedule_.exchange.mean_holding_time = 1'500 * kMs;
  schedule_.faults = {{3 * kSecond, FaultKind::kTerminate, 0, 0}, {3'300 * kMs, FaultKind::kTerminate, 1, 0}};
  const TrialResult result = Run();
  std::size_t notified_before_kill = 0;
  for (const TrialEvent& event : result.events) {
    const bool before_kill = event.at > result.start_time + 4 * kSecond && event.at < result.start_time + 6 * kSecond;
    notified_before_kill +=
        before_kill && event.kind == EventKind::kReleaseReceived && event.softswitch == 0 && event.value == 16 ? 1 : 0;
  }
  EXPECT_GT(notified_before_kill, 2U);
  ExpectNoViolations(result);
}

// Case 2 of the review: callers reconnect and announce calls that the softswitch still has.
TEST_F(SoakTrialTest, NotifiesEndOfCallsThatWereAnnouncedOnNewConnections) {
  schedule_.clients.calls_per_s = 0.5;
  schedule_.exchange.mean_holding_time = 8 * kSecond;
  for (int softswitch = 0; softswitch < schedule_.softswitches; ++softswitch)
    schedule_.faults.push_back({2 * kSecond, FaultKind::kReconnect, softswitch, 12 * kSecond});
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kCallEnd), 5U);
  ExpectNoViolations(result);
}

// Case 1 of the review: discovery takes longer than the silence timeout to begin its responses.
TEST_F(SoakTrialTest, HonoursDrainsWhileDiscoveryIsSlowToRespond) {
  schedule_.faults = {{2 * kSecond, FaultKind::kDiscoveryLate, 0, 12 * kSecond, 2'500 * kMs},
                      {3 * kSecond, FaultKind::kDrain, 1, 9 * kSecond}};
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kDrain), 5U);
  ExpectNoViolations(result);
}

TEST_F(SoakTrialTest, HonoursDrainsDuringReconfigurationsAndDiscoveryOutage) {
  schedule_.exchange.mean_holding_time = 3 * kSecond;
  schedule_.faults = {
      {2 * kSecond, FaultKind::kReconfigure, 0, 0},     {2'100 * kMs, FaultKind::kDrain, 1, 3 * kSecond},
      {3 * kSecond, FaultKind::kReconfigure, 1, 0},     {4 * kSecond, FaultKind::kDiscoveryDown, 0, 4 * kSecond},
      {7'500 * kMs, FaultKind::kDrain, 2, 3 * kSecond}, {8'100 * kMs, FaultKind::kReconfigure, 2, 0}};
  const TrialResult result = Run();
  EXPECT_GT(Checked(result, Check::kDrain), 5U);
  ExpectNoViolations(result);
}

}  // namespace
}  // namespace croftrun::lab::soak
