// Random legal events, seeded; every action is held against the rules.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "fixture.h"

namespace croftrun {
namespace {

class RandomDay {
 public:
  RandomDay(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed), controller_(settings, seed, now_, &actions_) {
    DirectoryUpdate list;
    for (int i = 0; i < kExchanges; ++i) list.entries.push_back(Entry(i));
    Do(list);
  }

  void Run() {
    for (int step = 0; step < 4000; ++step) {
      now_ += random_() % (80 * kMs);
      Deliver();
      switch (random_() % 40) {
        case 0:
          ChangeList();
          break;
        case 1:
        case 2:
        case 3:
        case 4:
          Report();
          break;
        default:
          Offer();
          break;
      }
    }
    while (!agenda_.empty()) {
      now_ = std::max(now_, agenda_.begin()->first);
      Deliver();
    }
    for (const auto& [id, call] : calls_) EXPECT_TRUE(call.over) << "call " << id << " has no final answer";
    EXPECT_GT(sends_, 100);
    EXPECT_GT(answers_, 100);
  }

 private:
  static constexpr int kExchanges = 5;
  struct Held {
    CallOffered offer;
    TimeUs deadline = 0;
    TimeUs not_before = 0;
    int attempts = 0;
    bool out = false;
    bool over = false;
    bool stands = false;
    bool may_have_run = false;
    int ran_at = -1;
    TimeUs ran_sent = 0;
  };

  DirectoryEntry Entry(int i) {
    return {.exchange = Bench::Id(i), .zone = i % 2, .number = i, .status = status_[i], .since_us = since_[i]};
  }
  const CallClass& ClassOf(const Held& call) {
    return settings_.classes[static_cast<std::size_t>(call.offer.call_class)];
  }

  void Do(const Event& event) {
    actions_.clear();
    controller_.Handle(now_, event, &actions_);
    const auto actions = actions_;
    for (const Action& action : actions) Check(action);
  }

  void Check(const Action& action) {
    if (const auto* send = std::get_if<SendSetUp>(&action)) {
      ++sends_;
      Held& call = calls_.at(send->call);
      const int to = static_cast<int>(send->exchange) - 100;
      EXPECT_FALSE(call.over) << "sent after its final answer";
      EXPECT_FALSE(call.out) << "two attempts out";
      EXPECT_GE(now_, call.not_before) << "sent before the release";
      EXPECT_EQ(status_[to], ExchangeStatus::kReady) << "sent to an exchange that drains or is gone";
      EXPECT_NE(to, settings_.own_number) << "sent to the own exchange";
      EXPECT_LT(call.attempts, settings_.max_attempts);
      if (call.offer.in_transit) {
        EXPECT_EQ(to, call.offer.destination);
      }
      if (settings_.topology == Topology::kGroups) {
        const auto& pools = ClassOf(call).pools;
        EXPECT_TRUE(std::find(pools.begin(), pools.end(), to) != pools.end());
      }
      if (call.may_have_run && ClassOf(call).retry_semantics != RetrySemantics::kIdempotent) {
        EXPECT_EQ(ClassOf(call).retry_semantics, RetrySemantics::kDeduplicated);
        EXPECT_LE(now_, call.ran_sent + ClassOf(call).deduplication_window_us);
        if (ClassOf(call).deduplication_scope == DeduplicationScope::kZone) {
          EXPECT_EQ(to % 2, call.ran_at % 2);
        }
        if (ClassOf(call).deduplication_scope == DeduplicationScope::kNumber) {
          EXPECT_EQ(to, call.ran_at);
        }
      }
      call.out = true;
      Schedule(send->call, to, call.attempts++, send->timeout_us);
    } else if (const auto* refuse = std::get_if<RefuseCall>(&action)) {
      const Held& call = calls_.at(refuse->call);
      if (call.may_have_run) {
        EXPECT_NE(ClassOf(call).retry_semantics, RetrySemantics::kAtMostOnce);
        if (ClassOf(call).retry_semantics == RetrySemantics::kDeduplicated) {
          EXPECT_EQ(ClassOf(call).deduplication_scope, DeduplicationScope::kAll);
        }
      }
      Final(refuse->call);
    } else if (const auto* fail = std::get_if<FailCall>(&action)) {
      Final(fail->call);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      agenda_.emplace(now_ + std::max<TimeUs>(timer->delay_us, 1), TimerExpired{timer->token});
    } else {
      EXPECT_FALSE(std::holds_alternative<CancelSetUp>(action) || std::holds_alternative<SendProbe>(action));
    }
  }

  void Final(CallId id) {
    ++answers_;
    Held& call = calls_.at(id);
    EXPECT_FALSE(call.over) << "a second final answer";
    EXPECT_FALSE(call.out) << "answered with an attempt out";
    EXPECT_LE(now_, call.deadline + 20 * kMs) << "answered late";
    call.over = true;
  }

  // How and when the attempt will end.
  void Schedule(CallId id, int to, int attempt, TimeUs timeout) {
    Held& call = calls_.at(id);
    if (timeout == 0 || now_ + timeout > call.deadline) timeout = call.deadline - now_;
    const TimeUs delay = 1 + random_() % (500 * kMs);
    AttemptEnded ended{.call = id, .exchange = Bench::Id(to), .attempt = attempt, .elapsed_us = delay};
    const auto kind = random_() % 20;
    const TimeUs sent = now_;
    if (kind == 0 || delay >= timeout) {
      ended.outcome = Outcome::kTimeout;
      agenda_.emplace(sent + timeout, ended);
    } else if (kind <= 12) {
      agenda_.emplace(sent + delay,
                      CallEstablished{.call = id, .exchange = Bench::Id(to), .attempt = attempt, .elapsed_us = delay});
      ended.terminal = true;
      ended.outcome = random_() % 5 == 0 ? Outcome::kReset : Outcome::kOk;
      agenda_.emplace(sent + delay + 1 + random_() % (9000 * kMs), ended);
    } else {
      constexpr Outcome kEnds[] = {Outcome::kRejected, Outcome::kRejected, Outcome::kConnectFailed,
                                   Outcome::kNotSent,  Outcome::kReset,    Outcome::kError};
      constexpr RejectCause kCauses[] = {RejectCause::kNone,          RejectCause::kNoCircuit,
                                         RejectCause::kCrankback,     RejectCause::kCrankbackProcessorFull,
                                         RejectCause::kProcessorFull, RejectCause::kLinesBusy};
      ended.outcome = kEnds[random_() % 6];
      ended.cause = kCauses[random_() % 6];
      agenda_.emplace(sent + (ended.outcome == Outcome::kNotSent ? 1 : delay), ended);
    }
    sent_at_[{id, attempt}] = sent;
  }

  void Deliver() {
    while (!agenda_.empty() && agenda_.begin()->first <= now_) {
      const Event event = agenda_.begin()->second;
      const TimeUs now = now_;
      now_ = std::max(agenda_.begin()->first, last_);
      last_ = now_;
      agenda_.erase(agenda_.begin());
      if (const auto* stands = std::get_if<CallEstablished>(&event)) {
        calls_.at(stands->call).stands = true;
        calls_.at(stands->call).over = true;
      } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
        Held& call = calls_.at(ended->call);
        call.out = false;
        const bool wait = ended->outcome == Outcome::kTimeout || ended->outcome == Outcome::kReset;
        if (wait) call.not_before = now_ + settings_.resend_guard_us;
        const bool proof = ended->outcome == Outcome::kRejected || ended->outcome == Outcome::kConnectFailed ||
                           ended->outcome == Outcome::kNotSent;
        if (!proof && !call.may_have_run) {
          call.may_have_run = true;
          call.ran_at = static_cast<int>(ended->exchange) - 100;
          call.ran_sent = sent_at_.at({ended->call, ended->attempt});
        }
      }
      Do(event);
      now_ = std::max(now, now_);
    }
    last_ = now_;
  }

  void ChangeList() {
    const int i = 1 + static_cast<int>(random_() % (kExchanges - 1));
    constexpr ExchangeStatus kStatus[] = {ExchangeStatus::kReady, ExchangeStatus::kReady, ExchangeStatus::kReady,
                                          ExchangeStatus::kDraining, ExchangeStatus::kGone};
    const bool was_away = status_[i] != ExchangeStatus::kReady;
    status_[i] = kStatus[random_() % 5];
    if (was_away && status_[i] == ExchangeStatus::kReady) since_[i] = now_;
    DirectoryUpdate update{.kind = DirectoryKind::kDelta};
    update.entries.push_back(Entry(i));
    Do(update);
  }

  void Report() {
    const auto i = 1 + static_cast<int>(random_() % (kExchanges - 1));
    Do(LoadReportReceived{.exchange = Bench::Id(i),
                          .report = {static_cast<float>(random_() % 12), 12.0F, -1.0F, -1.0F}});
  }

  void Offer() {
    Held call;
    call.offer = {.call = next_++,
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
    Do(call.offer);
  }

  Settings settings_;
  std::mt19937_64 random_;
  TimeUs now_ = kStart;
  TimeUs last_ = kStart;
  std::vector<Action> actions_;
  std::map<CallId, Held> calls_;
  std::multimap<TimeUs, Event> agenda_;
  std::map<std::pair<CallId, int>, TimeUs> sent_at_;
  ExchangeStatus status_[kExchanges] = {ExchangeStatus::kReady, ExchangeStatus::kReady, ExchangeStatus::kReady,
                                        ExchangeStatus::kReady, ExchangeStatus::kReady};
  TimeUs since_[kExchanges] = {};
  CallId next_ = 1;
  int sends_ = 0;
  int answers_ = 0;
  CallController controller_;
};

Settings ThreeKinds() {
  Settings s = PlainSettings();
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

TEST(RandomDays, RulesAreKeptInAMesh) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) RandomDay(ThreeKinds(), seed).Run();
}

TEST(RandomDays, RulesAreKeptWithPools) {
  Settings s = ThreeKinds();
  s.topology = Topology::kGroups;
  s.own_number = -1;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) RandomDay(s, seed).Run();
}

}  // namespace
}  // namespace croftrun
