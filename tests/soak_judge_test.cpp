// Tests the judge of the soak trials: it reports a violation of each check, and none for a correct event log.
#include <gtest/gtest.h>

#include <algorithm>

#include "lab/soak/judge.h"
#include "lab/soak/schedule.h"

namespace croftrun::lab::soak {
namespace {

constexpr TimeUs kMs = 1'000, kSecond = 1'000'000;
constexpr char kCall[] = "9b1f03aa5c7e2d41";
constexpr std::uint32_t kHost = 0x7f200201;

// Builds an event log of softswitch 0, exchange 1 and one client.
class EventLogBuilder {
 public:
  EventLogBuilder() {
    Add(0, {.kind = EventKind::kStarted, .softswitch = 0});
    Add(50 * kMs, {.kind = EventKind::kReady, .softswitch = 0});
    Add(60 * kMs, {.kind = EventKind::kClientConnected, .softswitch = 0, .host = kHost});
  }
  EventLogBuilder& Add(TimeUs at, TrialEvent event) {
    event.at = at;
    events_.push_back(event);
    return *this;
  }
  EventLogBuilder& AddClientEvent(TimeUs at, EventKind kind, std::int64_t value = 0, const std::string& text = "") {
    return Add(at, {.kind = kind, .softswitch = 0, .host = kHost, .call = kCall, .value = value, .text = text});
  }
  EventLogBuilder& AddExchangeEvent(TimeUs at, EventKind kind, int exchange = 1) {
    return Add(at, {.kind = kind, .softswitch = 0, .exchange = exchange, .call = kCall});
  }
  // Inserts an event 1 ms in front of the first one of this kind.
  void InsertBefore(EventKind kind, TrialEvent event) {
    const auto next = std::find_if(events_.begin(), events_.end(), [kind](const auto& e) { return e.kind == kind; });
    event.at = next->at - kMs;
    events_.insert(next, event);
  }
  // Adds a call that is sent at 1 s and established at exchange 1 at 1.01 s.
  EventLogBuilder& AddEstablishedCall() {
    AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond);
    AddExchangeEvent(kSecond + kMs, EventKind::kAttemptArrived);
    AddExchangeEvent(kSecond + 9 * kMs, EventKind::kAttemptAnswered);
    return AddClientEvent(kSecond + 10 * kMs, EventKind::kAnswerReceived, 0, std::string("exchange 1 call ") + kCall);
  }
  Verdict JudgeEvents(const JudgeSettings& settings = {}) {
    Add(60 * kSecond, {.kind = EventKind::kFault, .text = "end"});
    return Judge(events_, settings);
  }

 private:
  std::vector<TrialEvent> events_;
};

// Expects exactly one violation, of this check.
void ExpectOnlyViolation(const Verdict& verdict, Check check) {
  ASSERT_EQ(verdict.violations.size(), 1U) << (verdict.violations.empty() ? "nothing" : verdict.violations[0].text);
  EXPECT_EQ(verdict.violations[0].check, check) << verdict.violations[0].text;
}

void ExpectNoViolation(const Verdict& verdict) {
  EXPECT_TRUE(verdict.violations.empty()) << verdict.violations[0].text;
}

TEST(SoakJudgeTest, AcceptsEventLogWithoutViolations) {
  const Verdict verdict = EventLogBuilder()
                              .AddEstablishedCall()
                              .AddExchangeEvent(5 * kSecond, EventKind::kCallEnded)
                              .AddClientEvent(5 * kSecond + 2 * kMs, EventKind::kReleaseReceived, 16)
                              .JudgeEvents();
  ExpectNoViolation(verdict);
  EXPECT_EQ(verdict.checked[static_cast<std::size_t>(Check::kFinalAnswer)], 1U);
  EXPECT_EQ(verdict.checked[static_cast<std::size_t>(Check::kCallEnd)], 1U);
  EXPECT_EQ(verdict.checked[static_cast<std::size_t>(Check::kDrain)], 0U);
}

TEST(SoakJudgeTest, ReportsUnansweredSetUpUnlessCancelled) {
  ExpectOnlyViolation(EventLogBuilder().AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond).JudgeEvents(),
                      Check::kFinalAnswer);
  ExpectNoViolation(EventLogBuilder()
                        .AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                        .AddClientEvent(2 * kSecond, EventKind::kSetUpCancelled)
                        .JudgeEvents());
}

TEST(SoakJudgeTest, AcceptsAnswerUpToHalfASecondLate) {
  ExpectNoViolation(EventLogBuilder()
                        .AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                        .AddClientEvent(3'500 * kMs, EventKind::kReleaseReceived, 34)
                        .JudgeEvents());
  ExpectOnlyViolation(EventLogBuilder()
                          .AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                          .AddClientEvent(3'600 * kMs, EventKind::kReleaseReceived, 34)
                          .JudgeEvents(),
                      Check::kFinalAnswer);
}

TEST(SoakJudgeTest, ReportsSecondAnswer) {
  ExpectOnlyViolation(
      EventLogBuilder()
          .AddEstablishedCall()
          .AddClientEvent(kSecond + 20 * kMs, EventKind::kAnswerReceived, 0, std::string("exchange 1 call ") + kCall)
          .JudgeEvents(),
      Check::kFinalAnswer);
}

TEST(SoakJudgeTest, ReportsAnswerThatNoExchangeSent) {
  ExpectOnlyViolation(EventLogBuilder()
                          .AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                          .AddClientEvent(2 * kSecond, EventKind::kAnswerReceived, 0, "made up")
                          .JudgeEvents(),
                      Check::kFinalAnswer);
}

TEST(SoakJudgeTest, ReportsConnectionClosedBeforeAnswer) {
  ExpectOnlyViolation(EventLogBuilder()
                          .AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                          .AddClientEvent(2 * kSecond, EventKind::kClosedBeforeAnswer, 0, "reset")
                          .JudgeEvents(),
                      Check::kFinalAnswer);
}

TEST(SoakJudgeTest, RequiresEndNotificationWithinOneSecondOrEightIfSilent) {
  ExpectOnlyViolation(EventLogBuilder()
                          .AddEstablishedCall()
                          .AddExchangeEvent(5 * kSecond, EventKind::kCallEnded)
                          .AddClientEvent(6'100 * kMs, EventKind::kReleaseReceived, 16)
                          .JudgeEvents(),
                      Check::kCallEnd);
  ExpectOnlyViolation(
      EventLogBuilder().AddEstablishedCall().AddExchangeEvent(5 * kSecond, EventKind::kCallEndedSilently).JudgeEvents(),
      Check::kCallEnd);
  ExpectNoViolation(EventLogBuilder()
                        .AddEstablishedCall()
                        .AddExchangeEvent(5 * kSecond, EventKind::kCallEndedSilently)
                        .AddClientEvent(13 * kSecond, EventKind::kReleaseReceived, 41)
                        .JudgeEvents());
}

TEST(SoakJudgeTest, RequiresEndNotificationOnNextLastingConnection) {
  const auto disconnected = [] {
    return EventLogBuilder()
        .AddEstablishedCall()
        .Add(2 * kSecond, {.kind = EventKind::kClientClosed, .softswitch = 0, .host = kHost})
        .AddExchangeEvent(5 * kSecond, EventKind::kCallEnded);
  };
  ExpectNoViolation(disconnected().JudgeEvents());
  const auto reconnected_until = [&disconnected](TimeUs until) {
    return disconnected()
        .Add(20 * kSecond, {.kind = EventKind::kClientConnected, .softswitch = 0, .host = kHost})
        .Add(until, {.kind = EventKind::kClientClosed, .softswitch = 0, .host = kHost});
  };
  ExpectNoViolation(reconnected_until(20'100 * kMs).JudgeEvents());
  ExpectOnlyViolation(reconnected_until(30 * kSecond).JudgeEvents(), Check::kCallEnd);
}

TEST(SoakJudgeTest, AttributesAnswerReadAfterKillToTheKilledProcess) {
  const auto events_with_kill = [] {
    EventLogBuilder events;
    events.AddEstablishedCall();
    // The client found the answer in its socket just after the process had been killed.
    events.InsertBefore(EventKind::kAnswerReceived, {.kind = EventKind::kKilled, .softswitch = 0});
    events.Add(kSecond + 300 * kMs, {.kind = EventKind::kStarted, .softswitch = 0});
    events.Add(kSecond + 350 * kMs, {.kind = EventKind::kReady, .softswitch = 0});
    events.Add(kSecond + 360 * kMs, {.kind = EventKind::kClientConnected, .softswitch = 0, .host = kHost});
    return events;
  };
  // The next process knows of the call only if the client announces it.
  ExpectNoViolation(events_with_kill().AddExchangeEvent(5 * kSecond, EventKind::kCallEnded).JudgeEvents());
  ExpectOnlyViolation(events_with_kill()
                          .AddClientEvent(2 * kSecond, EventKind::kCallAnnounced)
                          .AddExchangeEvent(5 * kSecond, EventKind::kCallEnded)
                          .JudgeEvents(),
                      Check::kCallEnd);
}

TEST(SoakJudgeTest, ReportsDisconnectUnlessItMayBeNeeded) {
  const auto disconnected_by_softswitch = [] {
    return EventLogBuilder()
        .AddEstablishedCall()
        .AddExchangeEvent(5 * kSecond, EventKind::kCallReleased)
        .AddClientEvent(5 * kSecond + 5 * kMs, EventKind::kReleaseReceived, 41);
  };
  ExpectOnlyViolation(disconnected_by_softswitch().JudgeEvents(), Check::kNeedlessDisconnect);
  JudgeSettings settings;
  settings.disconnects_may_be_needed = true;
  const Verdict verdict = disconnected_by_softswitch().JudgeEvents(settings);
  ExpectNoViolation(verdict);
  EXPECT_EQ(verdict.needless_disconnects, 1U);
}

TEST(SoakJudgeTest, ReportsCallThatIsReportedAsOverWhileEstablished) {
  EventLogBuilder builder;
  builder.AddEstablishedCall();
  builder.AddClientEvent(2 * kSecond, EventKind::kReleaseReceived, 41);
  builder.AddExchangeEvent(9 * kSecond, EventKind::kCallEnded);
  ExpectOnlyViolation(builder.JudgeEvents(), Check::kNeedlessDisconnect);
  JudgeSettings settings;
  settings.disconnects_may_be_needed = true;
  ExpectNoViolation(builder.JudgeEvents(settings));
}

TEST(SoakJudgeTest, ReportsIdThatRunsAgainAfterItsClientHasLeft) {
  EventLogBuilder builder;
  builder.AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond);
  builder.AddExchangeEvent(kSecond + kMs, EventKind::kAttemptArrived);
  builder.AddClientEvent(kSecond + 10 * kMs, EventKind::kSetUpCancelled);
  builder.AddExchangeEvent(kSecond + 11 * kMs, EventKind::kAttemptAbandoned);
  builder.AddClientEvent(kSecond + 400 * kMs, EventKind::kSetUpSentAgain);
  ExpectNoViolation(builder.JudgeEvents());
  builder.AddExchangeEvent(kSecond + 401 * kMs, EventKind::kAttemptArrived);
  ExpectOnlyViolation(builder.JudgeEvents(), Check::kOneAttempt);
}

TEST(SoakJudgeTest, ReportsConcurrentAttempts) {
  ExpectOnlyViolation(EventLogBuilder()
                          .AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                          .AddExchangeEvent(kSecond + kMs, EventKind::kAttemptArrived, 1)
                          .AddExchangeEvent(kSecond + 500 * kMs, EventKind::kAttemptArrived, 2)
                          .AddClientEvent(2 * kSecond, EventKind::kReleaseReceived, 34)
                          .JudgeEvents(),
                      Check::kOneAttempt);
}

TEST(SoakJudgeTest, ReportsResendWithinGuardTimeExceptAfterRefusal) {
  const auto resend_after = [](EventKind how, TimeUs after) {
    return EventLogBuilder()
        .AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond)
        .AddExchangeEvent(kSecond + kMs, EventKind::kAttemptArrived, 1)
        .AddExchangeEvent(kSecond + 100 * kMs, how, 1)
        .AddExchangeEvent(kSecond + 100 * kMs + after, EventKind::kAttemptArrived, 2)
        .AddClientEvent(2 * kSecond, EventKind::kReleaseReceived, 34)
        .JudgeEvents();
  };
  ExpectOnlyViolation(resend_after(EventKind::kAttemptAbandoned, 200 * kMs), Check::kReleaseTime);
  ExpectOnlyViolation(resend_after(EventKind::kAttemptReset, 200 * kMs), Check::kReleaseTime);
  ExpectNoViolation(resend_after(EventKind::kAttemptReset, 300 * kMs));
  ExpectNoViolation(resend_after(EventKind::kAttemptRefused, 2 * kMs));
}

TEST(SoakJudgeTest, ReportsColdExchangeOverloadedByNotifiedSoftswitches) {
  // Ten set-ups per second fill the exchange. Cold, its budget is 3 x 0.4 x 10 = 12 per second, and the bound is
  // 12 + 3 x 3.5 + 3 = 25.
  const auto overload = [](int set_ups, int notified, TimeUs gap) {
    EventLogBuilder log;
    log.Add(kSecond, {.kind = EventKind::kColdStart, .exchange = 1});
    for (int softswitch = 10; softswitch < 10 + notified; ++softswitch)
      log.Add(kSecond, {.kind = EventKind::kColdStartWritten, .softswitch = softswitch, .exchange = 1});
    for (int i = 0; i < set_ups; ++i) {
      const std::string id = "call " + std::to_string(i);
      log.Add(kSecond + kMs + static_cast<TimeUs>(i) * gap,
              {.kind = EventKind::kAttemptArrived, .softswitch = 10 + i % 3, .exchange = 1, .call = id});
    }
    JudgeSettings settings;
    settings.cold_start.set_ups_per_s = 10.0;
    return log.JudgeEvents(settings);
  };
  ExpectOnlyViolation(overload(30, 3, kMs), Check::kColdStart);
  ExpectNoViolation(overload(25, 3, kMs));
  ExpectNoViolation(overload(30, 1, kMs));       // two thirds came from softswitches that were not notified
  ExpectNoViolation(overload(60, 3, 50 * kMs));  // twenty per second
  EXPECT_EQ(overload(25, 3, kMs).checked[static_cast<std::size_t>(Check::kColdStart)], 25U);
}

TEST(SoakJudgeTest, ReportsAttemptAfterCancellation) {
  ExpectOnlyViolation(EventLogBuilder()
                          .AddClientEvent(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                          .AddClientEvent(kSecond + 10 * kMs, EventKind::kSetUpCancelled)
                          .AddExchangeEvent(kSecond + 300 * kMs, EventKind::kAttemptArrived)
                          .JudgeEvents(),
                      Check::kClientGone);
}

TEST(SoakJudgeTest, RequiresDrainOnceSentOrSixSecondsAfterDiscoveryIsReachable) {
  const auto sent_at = [](TimeUs at, bool away, bool written) {
    EventLogBuilder log;
    if (away) log.Add(kSecond, {.kind = EventKind::kDiscoveryUnavailable, .softswitch = 0});
    log.Add(2 * kSecond, {.kind = EventKind::kDrainListed, .softswitch = 0, .exchange = 1});
    if (written) log.Add(2 * kSecond + kMs, {.kind = EventKind::kDrainWritten, .softswitch = 0, .exchange = 1});
    if (away) log.Add(10 * kSecond, {.kind = EventKind::kDiscoveryAvailable, .softswitch = 0});
    return log.AddClientEvent(at, EventKind::kSetUpSent, 2 * kSecond)
        .AddExchangeEvent(at + kMs, EventKind::kAttemptArrived)
        .AddClientEvent(at + 5 * kMs, EventKind::kReleaseReceived, 34)
        .JudgeEvents();
  };
  ExpectNoViolation(sent_at(2'400 * kMs, false, true));
  ExpectOnlyViolation(sent_at(2'700 * kMs, false, true), Check::kDrain);
  ExpectNoViolation(sent_at(8'400 * kMs, false, false));
  ExpectOnlyViolation(sent_at(8'700 * kMs, false, false), Check::kDrain);
  ExpectNoViolation(sent_at(16 * kSecond, true, false));
  ExpectOnlyViolation(sent_at(17 * kSecond, true, false), Check::kDrain);
}

TEST(SoakJudgeTest, ReportsUnansweredSetUpAtKillOnlyAfterSigterm) {
  const auto kill_process = [](bool planned, TimeUs sent) {
    EventLogBuilder log;
    if (planned) log.Add(2 * kSecond, {.kind = EventKind::kSigtermSent, .softswitch = 0, .value = 1'100 * 1000});
    return log.AddClientEvent(sent, EventKind::kSetUpSent, 5 * kSecond)
        .Add(3'100 * kMs, {.kind = EventKind::kKilled, .softswitch = 0})
        .JudgeEvents();
  };
  ExpectOnlyViolation(kill_process(true, 2'500 * kMs), Check::kShutdown);
  ExpectNoViolation(kill_process(false, 2'500 * kMs));
  ExpectNoViolation(kill_process(true, 3'080 * kMs));
}

TEST(SoakJudgeTest, ReportsProcessExitWithoutSigterm) {
  ExpectOnlyViolation(
      EventLogBuilder().Add(5 * kSecond, {.kind = EventKind::kExited, .softswitch = 0, .value = -6}).JudgeEvents(),
      Check::kRestart);
}

TEST(SoakJudgeTest, ReportsProcessNotReadyInTime) {
  ExpectOnlyViolation(EventLogBuilder()
                          .Add(5 * kSecond, {.kind = EventKind::kKilled, .softswitch = 0})
                          .Add(6 * kSecond, {.kind = EventKind::kStarted, .softswitch = 0})
                          .JudgeEvents(),
                      Check::kRestart);
}

TEST(SoakJudgeTest, ReportsBadClientWithoutResponse) {
  const auto connected = [] {
    return EventLogBuilder().Add(kSecond, {.kind = EventKind::kBadClientConnected, .softswitch = 0, .value = 3});
  };
  ExpectOnlyViolation(connected().JudgeEvents(), Check::kBadClient);
  ExpectNoViolation(
      connected().Add(3 * kSecond, {.kind = EventKind::kBadClientServed, .softswitch = 0, .value = 3}).JudgeEvents());
}

TEST(SoakJudgeTest, ReportsDescriptorsAndMemoryOverLimit) {
  ExpectOnlyViolation(
      EventLogBuilder()
          .Add(kSecond, {.kind = EventKind::kResourceUsage, .softswitch = 0, .exchange = 10, .value = 300})
          .JudgeEvents(),
      Check::kResources);
  ExpectOnlyViolation(
      EventLogBuilder()
          .Add(kSecond, {.kind = EventKind::kResourceUsage, .softswitch = 0, .exchange = 90, .value = 30})
          .JudgeEvents(),
      Check::kResources);
}

TEST(SoakJudgeTest, ReportsMalformedLine) {
  ExpectOnlyViolation(
      EventLogBuilder().Add(kSecond, {.kind = EventKind::kMalformedLine, .softswitch = 0, .text = "x"}).JudgeEvents(),
      Check::kFinalAnswer);
}

TEST(SoakScheduleTest, GeneratesSameScheduleForSeedAndOnlySelectedKinds) {
  const auto text = [](const Schedule& schedule) {
    std::string lines;
    for (const Fault& fault : schedule.faults) lines += ToString(fault) + "\n";
    return lines;
  };
  std::size_t faults = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const Schedule schedule = GenerateSchedule(seed, {});
    EXPECT_EQ(text(schedule), text(GenerateSchedule(seed, {})));
    faults += schedule.faults.size();
    for (const Fault& fault :
         GenerateSchedule(seed, {.only = {FaultKind::kVanish, FaultKind::kTerminate}, .without = {}}).faults) {
      EXPECT_TRUE(fault.kind == FaultKind::kVanish || fault.kind == FaultKind::kTerminate);
    }
    EXPECT_FALSE(GenerateSchedule(seed, {.only = {}, .without = {FaultKind::kReset}}).Has(FaultKind::kReset));
  }
  EXPECT_GT(faults, 250U);
  EXPECT_EQ(ParseFaultKind("discovery-down"), FaultKind::kDiscoveryDown);
  EXPECT_FALSE(ParseFaultKind("none"));
}

}  // namespace
}  // namespace croftrun::lab::soak
