// The door: fair shares against an exact model, fixed memory, floods under made-up identities, promises kept.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>

#include "admission/admission_controller.h"
#include "lab/doors.h"

namespace croftrun::admission {
namespace {

constexpr TimeUs kSecond = 1'000'000;

QueuedCall Of(CallId call, int customer, TimeUs until = 100 * kSecond) {
  return {call, call, call, customer, 0, until, 1.0, false};
}

// ---- the queue ----

TEST(FairQueue, WhileAllWaitEachHasItsShareWithinOneTurn) {
  EXPECT_TRUE(rc::check([] {
    const auto customers = static_cast<std::size_t>(*rc::gen::inRange(1, 5));
    std::vector<double> weights;
    for (std::size_t i = 0; i < customers; ++i) weights.push_back(*rc::gen::inRange(1, 6));
    FairQueue queue(100'000, weights);
    CallId next = 1;
    std::map<CallId, std::pair<int, std::uint64_t>> whose;
    std::vector<std::size_t> clients;
    for (std::size_t c = 0; c < customers; ++c) {
      clients.push_back(static_cast<std::size_t>(*rc::gen::inRange(1, 6)));
      for (std::size_t client = 0; client < clients[c]; ++client) {
        for (int i = 0; i < 200; ++i) {
          whose[next] = {static_cast<int>(c), client};
          RC_ASSERT(!queue.Push(Of(next++, static_cast<int>(c)), client + 1));
        }
      }
    }
    // The exact model: after any number of services each customer has had its weight's part of them, within one turn.
    double all = 0.0;
    for (const double weight : weights) all += weight;
    std::vector<double> had(customers);
    std::map<std::pair<int, std::uint64_t>, int> of_client;
    const int services = *rc::gen::inRange(1, 150);
    for (int i = 1; i <= services; ++i) {
      const auto one = queue.Pop();
      RC_ASSERT(one.has_value());
      const auto [customer, client] = whose.at(one->call);
      ++had[static_cast<std::size_t>(customer)];
      ++of_client[{customer, client}];
      for (std::size_t c = 0; c < customers; ++c) {
        const double due = i * weights[c] / all;
        RC_ASSERT(had[c] <= due + weights[c]);
        RC_ASSERT(had[c] >= due - weights[c] - 1.0);
      }
    }
    for (std::size_t c = 0; c < customers; ++c) {
      int least = 1'000'000, most = 0;
      for (std::size_t client = 0; client < clients[c]; ++client) {
        least = std::min(least, of_client[{static_cast<int>(c), client}]);
        most = std::max(most, of_client[{static_cast<int>(c), client}]);
      }
      RC_ASSERT(most - least <= 1);
    }
  }));
}

TEST(FairQueue, UnderAnySequenceItHoldsNoMoreThanItsBoundAndLosesNobody) {
  EXPECT_TRUE(rc::check([] {
    FairQueue queue(20, {1.0, 3.0});
    std::set<CallId> inside;
    CallId next = 1;
    for (int step = *rc::gen::inRange(0, 200); step > 0; --step) {
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1:
        case 2: {
          inside.insert(next);
          const auto until = static_cast<TimeUs>(*rc::gen::inRange(1, 100));
          const auto gone = queue.Push(Of(next++, *rc::gen::inRange(0, 4), until),
                                       static_cast<std::uint64_t>(*rc::gen::inRange(0, 4)));
          if (gone) RC_ASSERT(inside.erase(gone->call) == 1U);
          break;
        }
        case 3:
          if (const auto one = queue.Pop()) {
            RC_ASSERT(inside.erase(one->call) == 1U);
          } else {
            RC_ASSERT(inside.empty());
          }
          break;
        default: {
          const auto now = static_cast<TimeUs>(*rc::gen::inRange(0, 60));
          while (const auto late = queue.Expired(now)) {
            RC_ASSERT(late->until <= now);
            RC_ASSERT(inside.erase(late->call) == 1U);
          }
          const CallId some = inside.empty() ? 1 : *inside.begin();
          RC_ASSERT(queue.Remove(some) == (inside.erase(some) == 1U));
        }
      }
      RC_ASSERT(queue.size() == inside.size());
      RC_ASSERT(queue.size() <= 20U);
    }
  }));
}

TEST(FairQueue, WhenFullTheLongestQueueGivesWay) {
  FairQueue queue(10, {});
  for (CallId call = 1; call <= 9; ++call) EXPECT_FALSE(queue.Push(Of(call, 0), 7));
  EXPECT_FALSE(queue.Push(Of(10, 1), 8));
  const auto gone = queue.Push(Of(11, 1), 8);
  ASSERT_TRUE(gone);
  EXPECT_EQ(gone->call, 9U);  // the newest of the longest
}

// ---- promises ----

TEST(RetryReservations, NoMoreInASpanThanCanBeServedAndNeverPastWhatTheSiteAllows) {
  EXPECT_TRUE(rc::check([] {
    RetryReservations promises({});
    const double a_span = *rc::gen::inRange(1, 20);
    const TimeUs now = 1000 * kSecond, latest = now + static_cast<TimeUs>(*rc::gen::inRange(1, 20)) * kSecond;
    std::map<TimeUs, int> spans;
    int made = 0;
    for (std::uint64_t who = 1; who < 2'000; ++who) {
      const auto at = promises.Reserve(who * 0x9e3779b97f4a7c15U, now + 500'000, latest, a_span, 0.5, now);
      if (!at) continue;
      ++made;
      RC_ASSERT(*at >= now + 500'000);
      RC_ASSERT(*at <= latest);
      RC_ASSERT(++spans[*at / 100'000] <= static_cast<int>(a_span));
      TimeUs told = 0;
      RC_ASSERT(promises.ClassifyArrival(who * 0x9e3779b97f4a7c15U, now + 1000, &told) ==
                RetryReservations::ArrivalKind::kEarly);
      RC_ASSERT(told == *at);
    }
    RC_ASSERT(made > 0);
  }));
}

TEST(RetryReservations, WhoComesAsToldHasKeptItOnceWhoComesTooLateHasNone) {
  RetryReservations promises({});
  const TimeUs now = 10 * kSecond;
  const TimeUs at = *promises.Reserve(77, now + kSecond, now + 5 * kSecond, 5.0, 0.0, now);
  TimeUs told = 0;
  EXPECT_EQ(promises.ClassifyArrival(77, at, &told), RetryReservations::ArrivalKind::kAsTold);
  EXPECT_EQ(promises.ClassifyArrival(77, at, &told), RetryReservations::ArrivalKind::kUnpromised);
  const TimeUs again = *promises.Reserve(77, now + kSecond, now + 5 * kSecond, 5.0, 0.0, now);
  EXPECT_EQ(promises.ClassifyArrival(77, again + 1'000'001, &told), RetryReservations::ArrivalKind::kUnpromised);
}

// ---- the whole, on virtual time ----

// A network that sets up 20 calls at once in 50 ms each and is the slower the more there are beyond.
class Evening {
 public:
  struct Client {
    std::string name;
    int customer = 0;
    double per_s = 1.0;
    double comes_at = 1.0;  // of the pause it was told; below 1: early
    TimeUs from = 0;
    std::uint64_t calls = 0, stood = 0, given_up = 0, told = 0, told_stood = 0;
  };

  explicit Evening(const AdmissionSettings& settings) : controller_(settings), random_(1) {}
  Client& Add(const std::string& name, int customer, double per_s, TimeUs from = 0) {
    clients_.push_back(std::make_unique<Client>());
    *clients_.back() = {name, customer, per_s, 1.0, from};
    Client* client = clients_.back().get();
    At(from + Gap(*client), [this, client] { Arrive(client); });
    return *client;
  }
  // One call each of identities that nobody saw before.
  void Flood(double per_s, int customer, TimeUs from, TimeUs until) {
    At(from, [=, this] { FloodOne(per_s, customer, until); });
  }
  void Run(TimeUs until) {
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Carry([&](std::vector<AdmissionDecision>* decisions) { controller_.OnTimer(now_, decisions); });
      event.what();
    }
  }
  // Of the calls of all clients of that name's start since `Mark`, those that stood.
  double Share(const std::string& start) const {
    std::uint64_t calls = 0, stood = 0;
    for (const auto& client : clients_) {
      if (!client->name.starts_with(start)) continue;
      calls += client->calls;
      stood += client->stood;
    }
    return calls == 0 ? 0.0 : static_cast<double>(stood) / static_cast<double>(calls);
  }
  void Mark() {
    for (const auto& client : clients_) client->calls = client->stood = client->told = client->told_stood = 0;
  }
  AdmissionController& controller() { return controller_; }
  std::uint64_t most_waiting = 0;
  TimeUs now() const { return now_; }

 private:
  struct Event {
    TimeUs at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  struct Try {
    Client* client = nullptr;
    std::string called;
    TimeUs until = 0;
    bool told = false;
  };

  void At(TimeUs at, std::function<void()> what) { events_.push({at, ++order_, std::move(what)}); }
  TimeUs Gap(const Client& client) {
    return static_cast<TimeUs>(std::exponential_distribution<>(client.per_s)(random_) * 1e6) + 1;
  }
  void Arrive(Client* client) {
    ++client->calls;
    Dial(client, client->name, "to " + std::to_string(++numbers_), client->customer, 4, false);
    At(now_ + Gap(*client), [this, client] { Arrive(client); });
  }
  void FloodOne(double per_s, int customer, TimeUs until) {
    if (now_ >= until) return;
    Dial(nullptr, "made up " + std::to_string(++made_up_), "1", customer, 0, false);
    At(now_ + static_cast<TimeUs>(1e6 / per_s), [=, this] { FloodOne(per_s, customer, until); });
  }
  void Dial(Client* client, const std::string& name, const std::string& called, int customer, int redials, bool told) {
    const CallId call = ++calls_;
    tries_[call] = {client, called, now_ + 2 * kSecond, told};
    redials_[call] = redials;
    Carry([&](std::vector<AdmissionDecision>* decisions) {
      controller_.OnRequest({call, name, called, customer, 1.0, 2 * kSecond}, now_, decisions);
    });
  }
  void Carry(const std::function<void(std::vector<AdmissionDecision>*)>& what) {
    std::vector<AdmissionDecision> decisions;
    what(&decisions);
    most_waiting = std::max<std::uint64_t>(most_waiting, controller_.waiting());
    for (const AdmissionDecision& decision : decisions) {
      const auto found = tries_.find(decision.call);
      ASSERT_NE(found, tries_.end()) << "a second verdict";
      const Try one = found->second;
      ASSERT_LE(now_, one.until);
      tries_.erase(found);
      const int redials = redials_[decision.call];
      redials_.erase(decision.call);
      if (decision.admitted) {
        ++in_flight_;
        const double crowd = std::max(1.0, static_cast<double>(in_flight_) / 20.0);
        const CallId call = decision.call;
        At(now_ + static_cast<TimeUs>(50'000 * crowd), [=, this] {
          --in_flight_;
          const bool in_time = now_ <= one.until;
          if (one.client != nullptr) {
            one.client->stood += in_time ? 1 : 0;
            one.client->told_stood += one.told && in_time ? 1 : 0;
          }
          Carry([&](std::vector<AdmissionDecision>* more) { controller_.OnAnswered(call, in_time, now_, more); });
        });
      } else if (one.client != nullptr && redials > 0 && decision.pause_us > 0) {
        const bool as_told = one.client->comes_at >= 1.0 && decision.promised;
        At(now_ + static_cast<TimeUs>(static_cast<double>(decision.pause_us) * one.client->comes_at), [=, this] {
          one.client->told += as_told ? 1 : 0;
          Dial(one.client, one.client->name, one.called, one.client->customer, redials - 1, as_told);
        });
      } else if (one.client != nullptr) {
        ++one.client->given_up;
      }
    }
  }

  AdmissionController controller_;
  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<CallId, Try> tries_;
  std::map<CallId, int> redials_;
  TimeUs now_ = kSecond;
  std::uint64_t order_ = 0, made_up_ = 0, numbers_ = 0;
  CallId calls_ = 0;
  int in_flight_ = 0;
};

AdmissionSettings Settings() {
  AdmissionSettings settings;
  settings.limiter.first = 20.0;
  settings.longest_pause_us = 10 * kSecond;
  settings.customers = {{}, {}};
  settings.secret = 20261201;
  return settings;
}

TEST(AdmissionController, AFloodOfMadeUpIdentitiesTakesNothingFromTheQuiet) {
  for (const int customer : {0, 1}) {  // of another customer, and of their own
    Evening evening(Settings());
    for (int i = 0; i < 50; ++i) evening.Add("quiet " + std::to_string(i), 1, 2.0, kSecond);
    evening.Run(31 * kSecond);
    EXPECT_GT(evening.Share("quiet"), 0.99);
    evening.Mark();
    const std::size_t bytes = evening.controller().table_bytes();
    evening.Flood(4'000.0, customer, 31 * kSecond, 56 * kSecond);  // 100,000 of them
    evening.Run(66 * kSecond);
    EXPECT_GE(evening.Share("quiet"), 0.95) << customer;
    EXPECT_EQ(evening.controller().table_bytes(), bytes);
    EXPECT_LE(evening.most_waiting, 1024U);
  }
}

TEST(AdmissionController, WithoutItTheSameFloodTakesAlmostAll) {
  // The guard of the test above: a queue that knows nobody.
  AdmissionSettings settings = Settings();
  settings.clients.most = 4;  // everybody is a stranger
  settings.promised_share = settings.unverified_share = 0.0;
  settings.longest_pause_us = 0;
  Evening evening(settings);
  for (int i = 0; i < 50; ++i) evening.Add("quiet " + std::to_string(i), 1, 2.0, kSecond);
  evening.Run(31 * kSecond);
  evening.Mark();
  evening.Flood(4'000.0, 1, 31 * kSecond, 56 * kSecond);
  evening.Run(56 * kSecond);
  EXPECT_LT(evening.Share("quiet"), 0.5);
}

TEST(AdmissionController, WhoComesAsToldGetsThroughAndWhoComesEarlyGainsNothing) {
  Evening evening(Settings());
  // Twice what the network can do, all of one customer, all with the same right.
  std::vector<Evening::Client*> patient, early;
  for (int i = 0; i < 100; ++i) patient.push_back(&evening.Add("patient " + std::to_string(i), 1, 4.0, kSecond));
  for (int i = 0; i < 100; ++i) {
    early.push_back(&evening.Add("early " + std::to_string(i), 1, 4.0, kSecond));
    early.back()->comes_at = 0.5;
  }
  evening.Run(20 * kSecond);
  evening.Mark();
  evening.Run(60 * kSecond);
  std::uint64_t told = 0, stood = 0;
  for (const auto* client : patient) {
    told += client->told;
    stood += client->told_stood;
  }
  EXPECT_GT(told, 500U);
  EXPECT_GE(static_cast<double>(stood), 0.95 * static_cast<double>(told));
  EXPECT_GE(evening.Share("patient"), evening.Share("early"));
}

TEST(AdmissionController, SharesFollowTheWeightsAndAWeightChangedInServiceHoldsFromThen) {
  AdmissionSettings settings = Settings();
  settings.customers = {{3.0, {}}, {1.0, {}}};
  settings.longest_pause_us = 0;  // no coming back: what is asked is what is asked
  Evening evening(settings);
  std::vector<Evening::Client*> first, second;
  for (int i = 0; i < 20; ++i) {
    first.push_back(&evening.Add("first " + std::to_string(i), 0, 50.0, kSecond));
    second.push_back(&evening.Add("second " + std::to_string(i), 1, 50.0, kSecond));
  }
  const auto stood = [](const std::vector<Evening::Client*>& clients) {
    double sum = 0.0;
    for (const auto* client : clients) sum += static_cast<double>(client->stood);
    return sum;
  };
  evening.Run(20 * kSecond);
  evening.Mark();
  evening.Run(40 * kSecond);
  EXPECT_NEAR(stood(first) / stood(second), 3.0, 0.45);
  evening.controller().SetCustomers({{1.0, {}}, {1.0, {}}});
  evening.Run(42 * kSecond);
  evening.Mark();
  evening.Run(60 * kSecond);
  EXPECT_NEAR(stood(first) / stood(second), 1.0, 0.15);
}

TEST(AdmissionController, LimitsHoldByCustomerAndByClient) {
  AdmissionSettings settings = Settings();
  settings.customers = {{1.0, {20.0, 5.0}}, {}};
  settings.clients.limit.per_s = 5.0;
  settings.clients.limit.burst = 2.0;
  settings.clients.verify_us = kSecond;
  settings.longest_pause_us = 0;
  Evening evening(settings);
  for (int i = 0; i < 10; ++i) evening.Add("capped " + std::to_string(i), 0, 10.0, kSecond);
  Evening::Client& loud = evening.Add("loud", 1, 40.0, kSecond);
  Evening::Client& calm = evening.Add("calm", 1, 2.0, kSecond);
  evening.Run(10 * kSecond);
  evening.Mark();
  evening.Run(40 * kSecond);
  EXPECT_NEAR(evening.Share("capped") * 100.0, 20.0, 4.0);
  EXPECT_NEAR(static_cast<double>(loud.stood), 150.0, 20.0);
  EXPECT_GT(evening.Share("calm"), 0.9);
  EXPECT_GT(calm.calls, 20U);
}

TEST(ConcurrencyLimiter, FindsTheCrowdThatTheNetworkBears) {
  // The Evening's network: 20 at once without a queue.
  AdmissionSettings settings = Settings();
  settings.limiter.first = 200.0;
  settings.longest_pause_us = 0;
  Evening evening(settings);
  for (int i = 0; i < 100; ++i) evening.Add("client " + std::to_string(i), 0, 20.0, kSecond);
  evening.Run(60 * kSecond);
  EXPECT_GE(evening.controller().limit(), 15U);
  EXPECT_LE(evening.controller().limit(), 60U);
}

TEST(Doors, OnTheSameEveningOnlyTheFairOneKeepsTheQuietTheirShareUnderAFlood) {
  lab::DoorsSettings settings;
  settings.length_us = 16'000'000;
  settings.flood_per_s = 1'500;
  for (const std::string& name : lab::DoorNames()) {
    const lab::DoorFigures figures = lab::PlayDoor(name, settings);
    if (name == "fair") {
      EXPECT_GE(figures.quiet_share, 0.95);
      EXPECT_GE(figures.told_kept, 0.95);
      EXPECT_LE(figures.most_waiting, 1024U);
    } else {
      EXPECT_LT(figures.quiet_share, 0.5) << name;
    }
  }
  settings.flood_per_s = 0.0;
  for (const std::string& name : lab::DoorNames()) EXPECT_GT(lab::PlayDoor(name, settings).quiet_share, 0.99) << name;
}

}  // namespace
}  // namespace croftrun::admission
