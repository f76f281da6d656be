// The judge of the soak trials: a planted breach of each rule is found, and a clean record is clean.
#include <gtest/gtest.h>

#include "lab/soak/judge.h"
#include "lab/soak/script.h"

namespace croftrun::lab::soak {
namespace {

constexpr TimeUs kMs = 1'000, kSecond = 1'000'000;
constexpr char kCall[] = "9b1f03aa5c7e2d41";
constexpr std::uint32_t kHost = 0x7f200201;

// A record that is written by hand: softswitch 0, exchange 1, one client.
class RecordBuilder {
 public:
  RecordBuilder() {
    Add(0, {.kind = EventKind::kStarted, .softswitch = 0});
    Add(50 * kMs, {.kind = EventKind::kReady, .softswitch = 0});
    Add(60 * kMs, {.kind = EventKind::kClientConnected, .softswitch = 0, .host = kHost});
  }
  RecordBuilder& Add(TimeUs at, TrafficEvent event) {
    event.at = at;
    events_.push_back(event);
    return *this;
  }
  RecordBuilder& Client(TimeUs at, EventKind kind, std::int64_t value = 0, const std::string& text = "") {
    return Add(at, {.kind = kind, .softswitch = 0, .host = kHost, .call = kCall, .value = value, .text = text});
  }
  RecordBuilder& Exchange(TimeUs at, EventKind kind, int exchange = 1) {
    return Add(at, {.kind = kind, .softswitch = 0, .exchange = exchange, .call = kCall});
  }
  // Set up at 1 s, stands at 1.01 s at exchange 1.
  RecordBuilder& Standing() {
    Client(kSecond, EventKind::kSetUpSent, 2 * kSecond);
    Exchange(kSecond + kMs, EventKind::kAttemptArrived);
    Exchange(kSecond + 9 * kMs, EventKind::kAttemptAnswered);
    return Client(kSecond + 10 * kMs, EventKind::kAnswerRead, 0, std::string("exchange 1 call ") + kCall);
  }
  Verdict Judged(const JudgeSettings& settings = {}) {
    Add(60 * kSecond, {.kind = EventKind::kFault, .text = "end"});
    return Judge(events_, settings);
  }

 private:
  std::vector<TrafficEvent> events_;
};

// The one finding is of this rule.
void ExpectOnly(const Verdict& verdict, Rule rule) {
  ASSERT_EQ(verdict.findings.size(), 1U) << (verdict.findings.empty() ? "nothing" : verdict.findings[0].text);
  EXPECT_EQ(verdict.findings[0].rule, rule) << verdict.findings[0].text;
}

void ExpectClean(const Verdict& verdict) { EXPECT_TRUE(verdict.findings.empty()) << verdict.findings[0].text; }

TEST(SoakJudgeTest, ACleanRecordIsClean) {
  const Verdict verdict = RecordBuilder()
                              .Standing()
                              .Exchange(5 * kSecond, EventKind::kCallEnded)
                              .Client(5 * kSecond + 2 * kMs, EventKind::kReleaseRead, 16)
                              .Judged();
  ExpectClean(verdict);
  EXPECT_EQ(verdict.checked[static_cast<std::size_t>(Rule::kFinalAnswer)], 1U);
  EXPECT_EQ(verdict.checked[static_cast<std::size_t>(Rule::kStandingEnd)], 1U);
  EXPECT_EQ(verdict.checked[static_cast<std::size_t>(Rule::kDrain)], 0U);
}

TEST(SoakJudgeTest, ASetUpWithoutAnAnswerIsFoundAndOneThatWasCancelledIsNot) {
  ExpectOnly(RecordBuilder().Client(kSecond, EventKind::kSetUpSent, 2 * kSecond).Judged(), Rule::kFinalAnswer);
  ExpectClean(RecordBuilder()
                  .Client(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                  .Client(2 * kSecond, EventKind::kSetUpCancelled)
                  .Judged());
}

TEST(SoakJudgeTest, AnAnswerHalfASecondLateIsLetPassAndALaterOneIsFound) {
  ExpectClean(RecordBuilder()
                  .Client(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                  .Client(3'500 * kMs, EventKind::kReleaseRead, 34)
                  .Judged());
  ExpectOnly(RecordBuilder()
                 .Client(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                 .Client(3'600 * kMs, EventKind::kReleaseRead, 34)
                 .Judged(),
             Rule::kFinalAnswer);
}

TEST(SoakJudgeTest, ASecondAnswerIsFound) {
  ExpectOnly(RecordBuilder()
                 .Standing()
                 .Client(kSecond + 20 * kMs, EventKind::kAnswerRead, 0, std::string("exchange 1 call ") + kCall)
                 .Judged(),
             Rule::kFinalAnswer);
}

TEST(SoakJudgeTest, AnAnswerThatNoExchangeMadeIsFound) {
  ExpectOnly(RecordBuilder()
                 .Client(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                 .Client(2 * kSecond, EventKind::kAnswerRead, 0, "made up")
                 .Judged(),
             Rule::kFinalAnswer);
}

TEST(SoakJudgeTest, AConnectionThatEndsUnderASetUpIsFound) {
  ExpectOnly(RecordBuilder()
                 .Client(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                 .Client(2 * kSecond, EventKind::kClosedOnSetUp, 0, "reset")
                 .Judged(),
             Rule::kFinalAnswer);
}

TEST(SoakJudgeTest, AnEndIsDueOneSecondAfterItsReleaseAndEightAfterItsSilentEnd) {
  ExpectOnly(RecordBuilder()
                 .Standing()
                 .Exchange(5 * kSecond, EventKind::kCallEnded)
                 .Client(6'100 * kMs, EventKind::kReleaseRead, 16)
                 .Judged(),
             Rule::kStandingEnd);
  ExpectOnly(RecordBuilder().Standing().Exchange(5 * kSecond, EventKind::kCallEndedUnsent).Judged(),
             Rule::kStandingEnd);
  ExpectClean(RecordBuilder()
                  .Standing()
                  .Exchange(5 * kSecond, EventKind::kCallEndedUnsent)
                  .Client(13 * kSecond, EventKind::kReleaseRead, 41)
                  .Judged());
}

TEST(SoakJudgeTest, ACallerWithoutAConnectionIsDueOnItsNextOneThatLasts) {
  const auto gone = [] {
    return RecordBuilder()
        .Standing()
        .Add(2 * kSecond, {.kind = EventKind::kClientClosed, .softswitch = 0, .host = kHost})
        .Exchange(5 * kSecond, EventKind::kCallEnded);
  };
  ExpectClean(gone().Judged());
  const auto back = [&gone](TimeUs until) {
    return gone()
        .Add(20 * kSecond, {.kind = EventKind::kClientConnected, .softswitch = 0, .host = kHost})
        .Add(until, {.kind = EventKind::kClientClosed, .softswitch = 0, .host = kHost});
  };
  ExpectClean(back(20'100 * kMs).Judged());
  ExpectOnly(back(30 * kSecond).Judged(), Rule::kStandingEnd);
}

TEST(SoakJudgeTest, ACallThatTheSoftswitchCutsIsFoundUnlessCutsMayBeNeeded) {
  const auto cut = [] {
    return RecordBuilder()
        .Standing()
        .Exchange(5 * kSecond, EventKind::kCallReleased)
        .Client(5 * kSecond + 5 * kMs, EventKind::kReleaseRead, 41);
  };
  ExpectOnly(cut().Judged(), Rule::kNeedlessCut);
  JudgeSettings settings;
  settings.cuts_may_be_needed = true;
  const Verdict verdict = cut().Judged(settings);
  ExpectClean(verdict);
  EXPECT_EQ(verdict.needless_cuts, 1U);
}

TEST(SoakJudgeTest, TwoAttemptsOutAtOnceAreFound) {
  ExpectOnly(RecordBuilder()
                 .Client(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                 .Exchange(kSecond + kMs, EventKind::kAttemptArrived, 1)
                 .Exchange(kSecond + 500 * kMs, EventKind::kAttemptArrived, 2)
                 .Client(2 * kSecond, EventKind::kReleaseRead, 34)
                 .Judged(),
             Rule::kOneAttempt);
}

TEST(SoakJudgeTest, AResendWithinTheReleaseTimeIsFoundAndOneAfterARefusalIsNot) {
  const auto resent = [](EventKind how, TimeUs after) {
    return RecordBuilder()
        .Client(kSecond, EventKind::kSetUpSent, 2 * kSecond)
        .Exchange(kSecond + kMs, EventKind::kAttemptArrived, 1)
        .Exchange(kSecond + 100 * kMs, how, 1)
        .Exchange(kSecond + 100 * kMs + after, EventKind::kAttemptArrived, 2)
        .Client(2 * kSecond, EventKind::kReleaseRead, 34)
        .Judged();
  };
  ExpectOnly(resent(EventKind::kAttemptGivenUp, 200 * kMs), Rule::kReleaseTime);
  ExpectOnly(resent(EventKind::kAttemptReset, 200 * kMs), Rule::kReleaseTime);
  ExpectClean(resent(EventKind::kAttemptReset, 300 * kMs));
  ExpectClean(resent(EventKind::kAttemptRefused, 2 * kMs));
}

TEST(SoakJudgeTest, AColdExchangeThatIsPushedOverByThoseWhoKnewIsFound) {
  // Ten set-ups a second fill it: cold it takes 3 x 0.4 x 10 in a second, and by chance 12 + 3 x 3.5 + 3 = 25.
  const auto pushed = [](int set_ups, int told, TimeUs gap) {
    RecordBuilder record;
    record.Add(kSecond, {.kind = EventKind::kColdStart, .exchange = 1});
    for (int softswitch = 10; softswitch < 10 + told; ++softswitch)
      record.Add(kSecond, {.kind = EventKind::kStartWritten, .softswitch = softswitch, .exchange = 1});
    for (int i = 0; i < set_ups; ++i) {
      const std::string id = "call " + std::to_string(i);
      record.Add(kSecond + kMs + static_cast<TimeUs>(i) * gap,
                 {.kind = EventKind::kAttemptArrived, .softswitch = 10 + i % 3, .exchange = 1, .call = id});
    }
    JudgeSettings settings;
    settings.cold_start.set_ups_per_s = 10.0;
    return record.Judged(settings);
  };
  ExpectOnly(pushed(30, 3, kMs), Rule::kColdStart);
  ExpectClean(pushed(25, 3, kMs));
  ExpectClean(pushed(30, 1, kMs));       // two thirds came from those who had not been told
  ExpectClean(pushed(60, 3, 50 * kMs));  // twenty a second
  EXPECT_EQ(pushed(25, 3, kMs).checked[static_cast<std::size_t>(Rule::kColdStart)], 25U);
}

TEST(SoakJudgeTest, AnAttemptForAClientWhoLeftIsFound) {
  ExpectOnly(RecordBuilder()
                 .Client(kSecond, EventKind::kSetUpSent, 2 * kSecond)
                 .Client(kSecond + 10 * kMs, EventKind::kSetUpCancelled)
                 .Exchange(kSecond + 300 * kMs, EventKind::kAttemptArrived)
                 .Judged(),
             Rule::kClientGone);
}

TEST(SoakJudgeTest, ADrainCountsAsToldWhenItIsWrittenOrSixSecondsAfterDiscoveryCouldBeReached) {
  const auto sent_at = [](TimeUs at, bool away, bool written) {
    RecordBuilder record;
    if (away) record.Add(kSecond, {.kind = EventKind::kDiscoveryAway, .softswitch = 0});
    record.Add(2 * kSecond, {.kind = EventKind::kDrainListed, .softswitch = 0, .exchange = 1});
    if (written) record.Add(2 * kSecond + kMs, {.kind = EventKind::kDrainWritten, .softswitch = 0, .exchange = 1});
    if (away) record.Add(10 * kSecond, {.kind = EventKind::kDiscoveryBack, .softswitch = 0});
    return record.Client(at, EventKind::kSetUpSent, 2 * kSecond)
        .Exchange(at + kMs, EventKind::kAttemptArrived)
        .Client(at + 5 * kMs, EventKind::kReleaseRead, 34)
        .Judged();
  };
  ExpectClean(sent_at(2'400 * kMs, false, true));
  ExpectOnly(sent_at(2'700 * kMs, false, true), Rule::kDrain);
  ExpectClean(sent_at(8'400 * kMs, false, false));
  ExpectOnly(sent_at(8'700 * kMs, false, false), Rule::kDrain);
  ExpectClean(sent_at(16 * kSecond, true, false));
  ExpectOnly(sent_at(17 * kSecond, true, false), Rule::kDrain);
}

TEST(SoakJudgeTest, WhatAPlannedKillFindsUnansweredIsFoundAndWhatAnOutrightOneFindsIsNot) {
  const auto killed = [](bool planned, TimeUs sent) {
    RecordBuilder record;
    if (planned) record.Add(2 * kSecond, {.kind = EventKind::kTerminateSent, .softswitch = 0, .value = 1'100 * 1000});
    return record.Client(sent, EventKind::kSetUpSent, 5 * kSecond)
        .Add(3'100 * kMs, {.kind = EventKind::kKilled, .softswitch = 0})
        .Judged();
  };
  ExpectOnly(killed(true, 2'500 * kMs), Rule::kShutdown);
  ExpectClean(killed(false, 2'500 * kMs));
  ExpectClean(killed(true, 3'080 * kMs));
}

TEST(SoakJudgeTest, AProcessThatEndsByItselfIsFound) {
  ExpectOnly(RecordBuilder().Add(5 * kSecond, {.kind = EventKind::kExited, .softswitch = 0, .value = -6}).Judged(),
             Rule::kRestart);
}

TEST(SoakJudgeTest, AProcessThatIsNotReadyInTimeIsFound) {
  ExpectOnly(RecordBuilder()
                 .Add(5 * kSecond, {.kind = EventKind::kKilled, .softswitch = 0})
                 .Add(6 * kSecond, {.kind = EventKind::kStarted, .softswitch = 0})
                 .Judged(),
             Rule::kRestart);
}

TEST(SoakJudgeTest, ABadClientThatHearsNothingIsFound) {
  const auto came = [] {
    return RecordBuilder().Add(kSecond, {.kind = EventKind::kBadClientCame, .softswitch = 0, .value = 3});
  };
  ExpectOnly(came().Judged(), Rule::kBadClient);
  ExpectClean(came().Add(3 * kSecond, {.kind = EventKind::kBadClientServed, .softswitch = 0, .value = 3}).Judged());
}

TEST(SoakJudgeTest, DescriptorsAndMemoryOverTheLimitAreFound) {
  ExpectOnly(RecordBuilder()
                 .Add(kSecond, {.kind = EventKind::kLimits, .softswitch = 0, .exchange = 10, .value = 300})
                 .Judged(),
             Rule::kLimits);
  ExpectOnly(
      RecordBuilder().Add(kSecond, {.kind = EventKind::kLimits, .softswitch = 0, .exchange = 90, .value = 30}).Judged(),
      Rule::kLimits);
}

TEST(SoakJudgeTest, WhatIsNoMessageIsFound) {
  ExpectOnly(RecordBuilder().Add(kSecond, {.kind = EventKind::kUnreadable, .softswitch = 0, .text = "x"}).Judged(),
             Rule::kFinalAnswer);
}

TEST(SoakScriptTest, ASeedGivesTheSameScriptAndKindsCanBeChosen) {
  const auto text = [](const Script& script) {
    std::string lines;
    for (const Fault& fault : script.faults) lines += ToString(fault) + "\n";
    return lines;
  };
  std::size_t faults = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const Script script = DrawScript(seed, {});
    EXPECT_EQ(text(script), text(DrawScript(seed, {})));
    faults += script.faults.size();
    for (const Fault& fault :
         DrawScript(seed, {.only = {FaultKind::kVanish, FaultKind::kTerminate}, .without = {}}).faults) {
      EXPECT_TRUE(fault.kind == FaultKind::kVanish || fault.kind == FaultKind::kTerminate);
    }
    EXPECT_FALSE(DrawScript(seed, {.only = {}, .without = {FaultKind::kReset}}).Has(FaultKind::kReset));
  }
  EXPECT_GT(faults, 250U);
  EXPECT_EQ(FaultNamed("discovery-down"), FaultKind::kDiscoveryDown);
  EXPECT_FALSE(FaultNamed("none"));
}

}  // namespace
}  // namespace croftrun::lab::soak
