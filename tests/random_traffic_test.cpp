// Random sequences of valid events with fixed seeds; every action is checked against the protocol rules.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "controller_fixture.h"

namespace croftrun {
namespace {

class RandomTraffic {
 public:
  RandomTraffic(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed), controller_(settings, seed, now_, &actions_) {
    DirectoryUpdate list;
    for (int i = 0; i < kExchanges; ++i) list.entries.push_back(EntryOf(i));
    Handle(list);
  }

  void Run() {
    for (int step = 0; step < 4000; ++step) {
      now_ += random_() % (80 * kMs);
      DeliverDueEvents();
      switch (random_() % 40) {
        case 0:
          ChangeStatus();
          break;
        case 1:
        case 2:
        case 3:
        case 4:
          ReportCircuits();
          break;
        default:
          OfferCall();
          break;
      }
    }
    while (!pending_events_.empty()) {
      now_ = std::max(now_, pending_events_.begin()->first);
      DeliverDueEvents();
    }
    for (const auto& [id, call] : calls_) EXPECT_TRUE(call.answered) << "call " << id << " has no final answer";
    EXPECT_GT(sends_, 100);
    EXPECT_GT(answers_, 100);
  }

 private:
  static constexpr int kExchanges = 5;
  struct CallRecord {
    CallOffered offer;
    TimeUs deadline = 0;
    TimeUs resend_not_before = 0;
    int attempts = 0;
    bool attempt_pending = false;
    bool answered = false;
    bool established = false;
    bool may_have_executed = false;
    int executed_at_number = -1;
    TimeUs executed_attempt_sent_at = 0;
  };

  DirectoryEntry EntryOf(int i) {
    return {.exchange = ControllerFixture::IdOf(i),
            .zone = i % 2,
            .number = i,
            .status = status_[i],
            .started_at_us = since_[i]};
  }
  const CallClass& ClassOf(const CallRecord& call) {
    return settings_.classes[static_cast<std::size_t>(call.offer.call_class)];
  }

  void Handle(const Event& event) {
    actions_.clear();
    controller_.Handle(now_, event, &actions_);
    const auto actions = actions_;
    for (const Action& action : actions) CheckAction(action);
  }

  void CheckAction(const Action& action) {
    if (const auto* send = std::get_if<SendSetUp>(&action)) {
      ++sends_;
      CallRecord& call = calls_.at(send->call);
      const int to = static_cast<int>(send->exchange) - 100;
      EXPECT_FALSE(call.answered) << "sent after the final answer";
      EXPECT_FALSE(call.attempt_pending) << "sent while an attempt was pending";
      EXPECT_GE(now_, call.resend_not_before) << "sent within the resend guard";
      EXPECT_EQ(status_[to], ExchangeStatus::kReady) << "sent to an exchange that is draining or gone";
      EXPECT_NE(to, settings_.own_number) << "sent to the own exchange";
      EXPECT_LT(call.attempts, settings_.max_attempts);
      if (call.offer.in_transit) {
        EXPECT_EQ(to, call.offer.destination);
      }
      if (settings_.topology == Topology::kPools) {
        const auto& pools = ClassOf(call).pools;
        EXPECT_TRUE(std::find(pools.begin(), pools.end(), to) != pools.end());
      }
      if (call.may_have_executed && ClassOf(call).retry_semantics != RetrySemantics::kIdempotent) {
        EXPECT_EQ(ClassOf(call).retry_semantics, RetrySemantics::kDeduplicated);
        EXPECT_LE(now_, call.executed_attempt_sent_at + ClassOf(call).deduplication_window_us);
        if (ClassOf(call).deduplication_scope == DeduplicationScope::kZone) {
          EXPECT_EQ(to % 2, call.executed_at_number % 2);
        }
        if (ClassOf(call).deduplication_scope == DeduplicationScope::kNumber) {
          EXPECT_EQ(to, call.executed_at_number);
        }
      }
      call.attempt_pending = true;
      ScheduleEnd(send->call, to, call.attempts++, send->timeout_us);
    } else if (const auto* refuse = std::get_if<RefuseCall>(&action)) {
      const CallRecord& call = calls_.at(refuse->call);
      if (call.may_have_executed) {
        EXPECT_NE(ClassOf(call).retry_semantics, RetrySemantics::kAtMostOnce);
        if (ClassOf(call).retry_semantics == RetrySemantics::kDeduplicated) {
          EXPECT_EQ(ClassOf(call).deduplication_scope, DeduplicationScope::kAll);
        }
      }
      RecordFinalAnswer(refuse->call);
    } else if (const auto* fail = std::get_if<FailCall>(&action)) {
      RecordFinalAnswer(fail->call);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      pending_events_.emplace(now_ + std::max<TimeUs>(timer->delay_us, 1), TimerExpired{timer->token});
    } else {
      EXPECT_FALSE(std::holds_alternative<CancelSetUp>(action) || std::holds_alternative<SendProbe>(action));
    }
  }

  void RecordFinalAnswer(CallId id) {
    ++answers_;
    CallRecord& call = calls_.at(id);
    EXPECT_FALSE(call.answered) << "a second final answer";
    EXPECT_FALSE(call.attempt_pending) << "answered while an attempt was pending";
    EXPECT_LE(now_, call.deadline + 20 * kMs) << "answered after the deadline";
    call.answered = true;
  }

  // Schedules the end of an attempt at a random time, with a random outcome.
  void ScheduleEnd(CallId id, int to, int attempt, TimeUs timeout) {
    CallRecord& call = calls_.at(id);
    if (timeout == 0 || now_ + timeout > call.deadline) timeout = call.deadline - now_;
    const TimeUs delay = 1 + random_() % (500 * kMs);
    AttemptEnded ended{.call = id, .exchange = ControllerFixture::IdOf(to), .attempt = attempt, .elapsed_us = delay};
    const auto kind = random_() % 20;
    const TimeUs sent = now_;
    if (kind == 0 || delay >= timeout) {
      ended.outcome = Outcome::kTimeout;
      pending_events_.emplace(sent + timeout, ended);
    } else if (kind <= 12) {
      pending_events_.emplace(
          sent + delay,
          CallEstablished{
              .call = id, .exchange = ControllerFixture::IdOf(to), .attempt = attempt, .elapsed_us = delay});
      ended.terminal = true;
      ended.outcome = random_() % 5 == 0 ? Outcome::kReset : Outcome::kOk;
      pending_events_.emplace(sent + delay + 1 + random_() % (9000 * kMs), ended);
    } else {
      constexpr Outcome kOutcomes[] = {Outcome::kRejected, Outcome::kRejected, Outcome::kConnectFailed,
                                       Outcome::kNotSent,  Outcome::kReset,    Outcome::kError};
      constexpr RejectCause kCauses[] = {RejectCause::kNone,          RejectCause::kNoCircuit,
                                         RejectCause::kCrankback,     RejectCause::kCrankbackProcessorFull,
                                         RejectCause::kProcessorFull, RejectCause::kLinesBusy};
      ended.outcome = kOutcomes[random_() % 6];
      ended.cause = kCauses[random_() % 6];
      pending_events_.emplace(sent + (ended.outcome == Outcome::kNotSent ? 1 : delay), ended);
    }
    sent_at_[{id, attempt}] = sent;
  }

  void DeliverDueEvents() {
    while (!pending_events_.empty() && pending_events_.begin()->first <= now_) {
      const Event event = pending_events_.begin()->second;
      const TimeUs now = now_;
      now_ = std::max(pending_events_.begin()->first, last_event_at_);
      last_event_at_ = now_;
      pending_events_.erase(pending_events_.begin());
      if (const auto* established = std::get_if<CallEstablished>(&event)) {
        calls_.at(established->call).established = true;
        calls_.at(established->call).answered = true;
      } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
        CallRecord& call = calls_.at(ended->call);
        call.attempt_pending = false;
        const bool needs_guard = ended->outcome == Outcome::kTimeout || ended->outcome == Outcome::kReset;
        if (needs_guard) call.resend_not_before = now_ + settings_.resend_guard_us;
        const bool not_executed = ended->outcome == Outcome::kRejected || ended->outcome == Outcome::kConnectFailed ||
                                  ended->outcome == Outcome::kNotSent;
        if (!not_executed && !call.may_have_executed) {
          call.may_have_executed = true;
          call.executed_at_number = static_cast<int>(ended->exchange) - 100;
          call.executed_attempt_sent_at = sent_at_.at({ended->call, ended->attempt});
        }
      }
      Handle(event);
      now_ = std::max(now, now_);
    }
    last_event_at_ = now_;
  }

  void ChangeStatus() {
    const int i = 1 + static_cast<int>(random_() % (kExchanges - 1));
    constexpr ExchangeStatus kStatus[] = {ExchangeStatus::kReady, ExchangeStatus::kReady, ExchangeStatus::kReady,
                                          ExchangeStatus::kDraining, ExchangeStatus::kGone};
    const bool was_unavailable = status_[i] != ExchangeStatus::kReady;
    status_[i] = kStatus[random_() % 5];
    if (was_unavailable && status_[i] == ExchangeStatus::kReady) since_[i] = now_;
    DirectoryUpdate update{.kind = DirectoryKind::kDelta};
    update.entries.push_back(EntryOf(i));
    Handle(update);
  }

  void ReportCircuits() {
    const auto i = 1 + static_cast<int>(random_() % (kExchanges - 1));
    Handle(LoadReportReceived{.exchange = ControllerFixture::IdOf(i),
                              .report = {static_cast<float>(random_() % 12), 12.0F, -1.0F, -1.0F}});
  }

  void OfferCall() {
    CallRecord call;
    call.offer = {.call = next_call_++,
                  .call_class = static_cast<int>(random_() % settings_.classes.size()),
                  .number_called = random_() % 300,
                  .budget_us = random_() % (3000 * kMs),
                  .destination = static_cast<int>(random_() % kExchanges),
                  .width = random_() % 5 == 0 ? 4.0 : 1.0,
                  .in_transit = settings_.topology == Topology::kMeshed && random_() % 4 == 0};
    if (settings_.topology == Topology::kMeshed && call.offer.destination == settings_.own_number) {
      call.offer.destination = 1;
    }
    call.deadline = now_ + call.offer.budget_us;
    calls_[call.offer.call] = call;
    Handle(call.offer);
  }

  Settings settings_;
  std::mt19937_64 random_;
  TimeUs now_ = kStart;
  TimeUs last_event_at_ = kStart;
  std::vector<Action> actions_;
  std::map<CallId, CallRecord> calls_;
  std::multimap<TimeUs, Event> pending_events_;
  std::map<std::pair<CallId, int>, TimeUs> sent_at_;
  ExchangeStatus status_[kExchanges] = {ExchangeStatus::kReady, ExchangeStatus::kReady, ExchangeStatus::kReady,
                                        ExchangeStatus::kReady, ExchangeStatus::kReady};
  TimeUs since_[kExchanges] = {};
  CallId next_call_ = 1;
  int sends_ = 0;
  int answers_ = 0;
  CallController controller_;
};

Settings SettingsWithAllRetrySemantics() {
  Settings s = TestSettings();
  s.classes.assign(5, s.classes[0]);
  s.classes[1].retry_semantics = RetrySemantics::kAtMostOnce;
  for (std::size_t i = 2; i < 5; ++i) {
    s.classes[i].retry_semantics = RetrySemantics::kDeduplicated;
    s.classes[i].deduplication_window_us = 1000 * kMs;
    s.classes[i].worth = static_cast<double>(i);
  }
  s.classes[3].deduplication_scope = DeduplicationScope::kZone;
  s.classes[4].deduplication_scope = DeduplicationScope::kNumber;
  for (CallClass& c : s.classes) c.pools = {1, 2, 3};
  return s;
}

TEST(RandomTrafficRules, KeptInMesh) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) RandomTraffic(SettingsWithAllRetrySemantics(), seed).Run();
}

TEST(RandomTrafficRules, KeptWithPools) {
  Settings s = SettingsWithAllRetrySemantics();
  s.topology = Topology::kPools;
  s.own_number = -1;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) RandomTraffic(s, seed).Run();
}

}  // namespace
}  // namespace croftrun
