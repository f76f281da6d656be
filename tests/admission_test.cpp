// Tests of admission control: fair shares against an exact model, fixed memory, floods from made-up identities, and
// retry reservations that are honoured.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>

#include "admission/admission_controller.h"
#include "lab/admission_comparison.h"

namespace croftrun::admission {
namespace {

constexpr TimeUs kSecond = 1'000'000;

QueuedCall MakeCall(CallId call, int customer, TimeUs deadline = 100 * kSecond) {
  return {call, call, call, customer, 0, deadline, 1.0, false};
}

// ---- fair queue ----

TEST(FairQueue, BackloggedCustomersGetTheirWeightedShareWithinOneTurn) {
  EXPECT_TRUE(rc::check([] {
    const auto customers = static_cast<std::size_t>(*rc::gen::inRange(1, 5));
    std::vector<double> weights;
    for (std::size_t i = 0; i < customers; ++i) weights.push_back(*rc::gen::inRange(1, 6));
    FairQueue queue(100'000, weights);
    CallId next = 1;
    std::map<CallId, std::pair<int, std::uint64_t>> flow_of;
    std::vector<std::size_t> clients;
    for (std::size_t c = 0; c < customers; ++c) {
      clients.push_back(static_cast<std::size_t>(*rc::gen::inRange(1, 6)));
      for (std::size_t client = 0; client < clients[c]; ++client) {
        for (int i = 0; i < 200; ++i) {
          flow_of[next] = {static_cast<int>(c), client};
          RC_ASSERT(!queue.Push(MakeCall(next++, static_cast<int>(c)), client + 1));
        }
      }
    }
    // Exact model: after any number of services, each customer has received its weighted share to within one turn.
    double total_weight = 0.0;
    for (const double weight : weights) total_weight += weight;
    std::vector<double> served(customers);
    std::map<std::pair<int, std::uint64_t>, int> served_by_client;
    const int services = *rc::gen::inRange(1, 150);
    for (int i = 1; i <= services; ++i) {
      const auto queued = queue.Pop();
      RC_ASSERT(queued.has_value());
      const auto [customer, client] = flow_of.at(queued->call);
      ++served[static_cast<std::size_t>(customer)];
      ++served_by_client[{customer, client}];
      for (std::size_t c = 0; c < customers; ++c) {
        const double expected = i * weights[c] / total_weight;
        RC_ASSERT(served[c] <= expected + weights[c]);
        RC_ASSERT(served[c] >= expected - weights[c] - 1.0);
      }
    }
    for (std::size_t c = 0; c < customers; ++c) {
      int min_served = 1'000'000, max_served = 0;
      for (std::size_t client = 0; client < clients[c]; ++client) {
        min_served = std::min(min_served, served_by_client[{static_cast<int>(c), client}]);
        max_served = std::max(max_served, served_by_client[{static_cast<int>(c), client}]);
      }
      RC_ASSERT(max_served - min_served <= 1);
    }
  }));
}

TEST(FairQueue, AnySequenceKeepsTheBoundAndLosesNoCall) {
  EXPECT_TRUE(rc::check([] {
    FairQueue queue(20, {1.0, 3.0});
    std::set<CallId> queued_calls;
    CallId next = 1;
    for (int step = *rc::gen::inRange(0, 200); step > 0; --step) {
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1:
        case 2: {
          queued_calls.insert(next);
          const auto deadline = static_cast<TimeUs>(*rc::gen::inRange(1, 100));
          const auto evicted = queue.Push(MakeCall(next++, *rc::gen::inRange(0, 4), deadline),
                                          static_cast<std::uint64_t>(*rc::gen::inRange(0, 4)));
          if (evicted) RC_ASSERT(queued_calls.erase(evicted->call) == 1U);
          break;
        }
        case 3:
          if (const auto queued = queue.Pop()) {
            RC_ASSERT(queued_calls.erase(queued->call) == 1U);
          } else {
            RC_ASSERT(queued_calls.empty());
          }
          break;
        default: {
          const auto now = static_cast<TimeUs>(*rc::gen::inRange(0, 60));
          while (const auto expired = queue.PopExpired(now)) {
            RC_ASSERT(expired->deadline <= now);
            RC_ASSERT(queued_calls.erase(expired->call) == 1U);
          }
          const CallId call = queued_calls.empty() ? 1 : *queued_calls.begin();
          RC_ASSERT(queue.Remove(call) == (queued_calls.erase(call) == 1U));
        }
      }
      RC_ASSERT(queue.size() == queued_calls.size());
      RC_ASSERT(queue.size() <= 20U);
    }
  }));
}

TEST(FairQueue, FullQueueEvictsTheNewestCallOfTheLongestFlow) {
  FairQueue queue(10, {});
  for (CallId call = 1; call <= 9; ++call) EXPECT_FALSE(queue.Push(MakeCall(call, 0), 7));
  EXPECT_FALSE(queue.Push(MakeCall(10, 1), 8));
  const auto evicted = queue.Push(MakeCall(11, 1), 8);
  ASSERT_TRUE(evicted);
  EXPECT_EQ(evicted->call, 9U);  // the newest call of the longest flow
}

// ---- retry reservations ----

TEST(RetryReservations, KeepsTheSlotCapacityAndTheLatestTime) {
  EXPECT_TRUE(rc::check([] {
    RetryReservations reservations({});
    const double per_slot = *rc::gen::inRange(1, 20);
    const TimeUs now = 1000 * kSecond, latest = now + static_cast<TimeUs>(*rc::gen::inRange(1, 20)) * kSecond;
    std::map<TimeUs, int> reserved_in_slot;
    int reserved_count = 0;
    for (std::uint64_t key = 1; key < 2'000; ++key) {
      const auto at = reservations.Reserve(key * 0x9e3779b97f4a7c15U, now + 500'000, latest, per_slot, 0.5, now);
      if (!at) continue;
      ++reserved_count;
      RC_ASSERT(*at >= now + 500'000);
      RC_ASSERT(*at <= latest);
      RC_ASSERT(++reserved_in_slot[*at / 100'000] <= static_cast<int>(per_slot));
      TimeUs reserved_at = 0;
      RC_ASSERT(reservations.ClassifyArrival(key * 0x9e3779b97f4a7c15U, now + 1000, &reserved_at) ==
                RetryReservations::ArrivalKind::kEarly);
      RC_ASSERT(reserved_at == *at);
    }
    RC_ASSERT(reserved_count > 0);
  }));
}

TEST(RetryReservations, IsUsedUpByOneArrivalAndLapsesWhenLate) {
  RetryReservations reservations({});
  const TimeUs now = 10 * kSecond;
  const TimeUs at = *reservations.Reserve(77, now + kSecond, now + 5 * kSecond, 5.0, 0.0, now);
  TimeUs reserved_at = 0;
  EXPECT_EQ(reservations.ClassifyArrival(77, at, &reserved_at), RetryReservations::ArrivalKind::kAsInstructed);
  EXPECT_EQ(reservations.ClassifyArrival(77, at, &reserved_at), RetryReservations::ArrivalKind::kUnreserved);
  const TimeUs again = *reservations.Reserve(77, now + kSecond, now + 5 * kSecond, 5.0, 0.0, now);
  EXPECT_EQ(reservations.ClassifyArrival(77, again + 1'000'001, &reserved_at),
            RetryReservations::ArrivalKind::kUnreserved);
}

// ---- admission controller and limiter on virtual time ----

// Simulates clients and a network that sets up 20 calls at once in 50 ms each; with more calls at once, the set-up time
// grows in proportion.
class Simulation {
 public:
  struct Client {
    std::string name;
    int customer = 0;
    double per_s = 1.0;
    double retry_factor = 1.0;  // of the retry-after; below 1: the client retries early
    TimeUs from = 0;
    std::uint64_t calls = 0, answered = 0, abandoned = 0, reserved_retries = 0, reserved_retries_answered = 0;
  };

  explicit Simulation(const AdmissionSettings& settings) : controller_(settings), random_(1) {}
  Client& Add(const std::string& name, int customer, double per_s, TimeUs from = 0) {
    clients_.push_back(std::make_unique<Client>());
    *clients_.back() = {name, customer, per_s, 1.0, from};
    Client* client = clients_.back().get();
    Schedule(from + NextInterval(*client), [this, client] { Arrive(client); });
    return *client;
  }
  // Starts a flood of calls, each from a new identity.
  void Flood(double per_s, int customer, TimeUs from, TimeUs end) {
    Schedule(from, [=, this] { FloodOne(per_s, customer, end); });
  }
  void Run(TimeUs end) {
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      ApplyDecisions([&](std::vector<AdmissionDecision>* decisions) { controller_.OnTimer(now_, decisions); });
      event.action();
    }
  }
  // Returns the share of calls answered in time since ResetCounts, over all clients whose name starts with `prefix`.
  double AnsweredShare(const std::string& prefix) const {
    std::uint64_t calls = 0, answered = 0;
    for (const auto& client : clients_) {
      if (!client->name.starts_with(prefix)) continue;
      calls += client->calls;
      answered += client->answered;
    }
    return calls == 0 ? 0.0 : static_cast<double>(answered) / static_cast<double>(calls);
  }
  void ResetCounts() {
    for (const auto& client : clients_)
      client->calls = client->answered = client->reserved_retries = client->reserved_retries_answered = 0;
  }
  AdmissionController& controller() { return controller_; }
  std::uint64_t max_waiting = 0;
  TimeUs now() const { return now_; }

 private:
  struct Event {
    TimeUs at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
  };
  struct Attempt {
    Client* client = nullptr;
    std::string called;
    TimeUs deadline = 0;
    bool has_reservation = false;
  };

  void Schedule(TimeUs at, std::function<void()> action) { events_.push({at, ++next_sequence_, std::move(action)}); }
  TimeUs NextInterval(const Client& client) {
    return static_cast<TimeUs>(std::exponential_distribution<>(client.per_s)(random_) * 1e6) + 1;
  }
  void Arrive(Client* client) {
    ++client->calls;
    Dial(client, client->name, "to " + std::to_string(++called_numbers_), client->customer, 4, false);
    Schedule(now_ + NextInterval(*client), [this, client] { Arrive(client); });
  }
  void FloodOne(double per_s, int customer, TimeUs end) {
    if (now_ >= end) return;
    Dial(nullptr, "made up " + std::to_string(++made_up_identities_), "1", customer, 0, false);
    Schedule(now_ + static_cast<TimeUs>(1e6 / per_s), [=, this] { FloodOne(per_s, customer, end); });
  }
  void Dial(Client* client, const std::string& name, const std::string& called, int customer, int redials,
            bool has_reservation) {
    const CallId call = ++calls_;
    attempts_[call] = {client, called, now_ + 2 * kSecond, has_reservation};
    redials_left_[call] = redials;
    ApplyDecisions([&](std::vector<AdmissionDecision>* decisions) {
      controller_.OnRequest({call, name, called, customer, 1.0, 2 * kSecond}, now_, decisions);
    });
  }
  void ApplyDecisions(const std::function<void(std::vector<AdmissionDecision>*)>& action) {
    std::vector<AdmissionDecision> decisions;
    action(&decisions);
    max_waiting = std::max<std::uint64_t>(max_waiting, controller_.waiting());
    for (const AdmissionDecision& decision : decisions) {
      const auto found = attempts_.find(decision.call);
      ASSERT_NE(found, attempts_.end()) << "a second decision for the call";
      const Attempt attempt = found->second;
      ASSERT_LE(now_, attempt.deadline);
      attempts_.erase(found);
      const int redials = redials_left_[decision.call];
      redials_left_.erase(decision.call);
      if (decision.admitted) {
        ++in_flight_;
        const double load_factor = std::max(1.0, static_cast<double>(in_flight_) / 20.0);
        const CallId call = decision.call;
        Schedule(now_ + static_cast<TimeUs>(50'000 * load_factor), [=, this] {
          --in_flight_;
          const bool in_time = now_ <= attempt.deadline;
          if (attempt.client != nullptr) {
            attempt.client->answered += in_time ? 1 : 0;
            attempt.client->reserved_retries_answered += attempt.has_reservation && in_time ? 1 : 0;
          }
          ApplyDecisions(
              [&](std::vector<AdmissionDecision>* more) { controller_.OnAnswered(call, in_time, now_, more); });
        });
      } else if (attempt.client != nullptr && redials > 0 && decision.retry_after_us > 0) {
        const bool has_reservation = attempt.client->retry_factor >= 1.0 && decision.has_reservation;
        Schedule(
            now_ + static_cast<TimeUs>(static_cast<double>(decision.retry_after_us) * attempt.client->retry_factor),
            [=, this] {
              attempt.client->reserved_retries += has_reservation ? 1 : 0;
              Dial(attempt.client, attempt.client->name, attempt.called, attempt.client->customer, redials - 1,
                   has_reservation);
            });
      } else if (attempt.client != nullptr) {
        ++attempt.client->abandoned;
      }
    }
  }

  AdmissionController controller_;
  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<CallId, Attempt> attempts_;
  std::map<CallId, int> redials_left_;
  TimeUs now_ = kSecond;
  std::uint64_t next_sequence_ = 0, made_up_identities_ = 0, called_numbers_ = 0;
  CallId calls_ = 0;
  int in_flight_ = 0;
};

AdmissionSettings Settings() {
  AdmissionSettings settings;
  settings.limiter.initial_limit = 20.0;
  settings.max_retry_after_us = 10 * kSecond;
  settings.customers = {{}, {}};
  settings.secret = 20261201;
  return settings;
}

TEST(AdmissionController, FloodOfMadeUpIdentitiesDoesNotAffectQuietClients) {
  for (const int customer : {0, 1}) {  // of another customer, and of the quiet clients' own
    Simulation simulation(Settings());
    for (int i = 0; i < 50; ++i) simulation.Add("quiet " + std::to_string(i), 1, 2.0, kSecond);
    simulation.Run(31 * kSecond);
    EXPECT_GT(simulation.AnsweredShare("quiet"), 0.99);
    simulation.ResetCounts();
    const std::size_t bytes = simulation.controller().table_bytes();
    simulation.Flood(4'000.0, customer, 31 * kSecond, 56 * kSecond);  // 100,000 calls
    simulation.Run(66 * kSecond);
    EXPECT_GE(simulation.AnsweredShare("quiet"), 0.95) << customer;
    EXPECT_EQ(simulation.controller().table_bytes(), bytes);
    EXPECT_LE(simulation.max_waiting, 1024U);
  }
}

TEST(AdmissionController, WithoutClientTableTheSameFloodStarvesQuietClients) {
  // Control for the test above: with a queue that cannot tell clients apart, the flood must do harm.
  AdmissionSettings settings = Settings();
  settings.clients.max_clients = 4;  // no client stays in the table long enough to be verified
  settings.reserved_share = settings.unverified_share = 0.0;
  settings.max_retry_after_us = 0;
  Simulation simulation(settings);
  for (int i = 0; i < 50; ++i) simulation.Add("quiet " + std::to_string(i), 1, 2.0, kSecond);
  simulation.Run(31 * kSecond);
  simulation.ResetCounts();
  simulation.Flood(4'000.0, 1, 31 * kSecond, 56 * kSecond);
  simulation.Run(56 * kSecond);
  EXPECT_LT(simulation.AnsweredShare("quiet"), 0.5);
}

TEST(AdmissionController, RetryAsInstructedSucceedsAndEarlyRetryGainsNothing) {
  Simulation simulation(Settings());
  // Offers twice the capacity of the network; all clients belong to one customer and have equal rights.
  std::vector<Simulation::Client*> patient, early;
  for (int i = 0; i < 100; ++i) patient.push_back(&simulation.Add("patient " + std::to_string(i), 1, 4.0, kSecond));
  for (int i = 0; i < 100; ++i) {
    early.push_back(&simulation.Add("early " + std::to_string(i), 1, 4.0, kSecond));
    early.back()->retry_factor = 0.5;
  }
  simulation.Run(20 * kSecond);
  simulation.ResetCounts();
  simulation.Run(60 * kSecond);
  std::uint64_t retries = 0, answered = 0;
  for (const auto* client : patient) {
    retries += client->reserved_retries;
    answered += client->reserved_retries_answered;
  }
  EXPECT_GT(retries, 500U);
  EXPECT_GE(static_cast<double>(answered), 0.95 * static_cast<double>(retries));
  EXPECT_GE(simulation.AnsweredShare("patient"), simulation.AnsweredShare("early"));
}

TEST(AdmissionController, SharesFollowWeightsAlsoAfterAChangeInService) {
  AdmissionSettings settings = Settings();
  settings.customers = {{3.0, {}}, {1.0, {}}};
  settings.max_retry_after_us = 0;  // no retries, so that the offered load is constant
  Simulation simulation(settings);
  std::vector<Simulation::Client*> first, second;
  for (int i = 0; i < 20; ++i) {
    first.push_back(&simulation.Add("first " + std::to_string(i), 0, 50.0, kSecond));
    second.push_back(&simulation.Add("second " + std::to_string(i), 1, 50.0, kSecond));
  }
  const auto answered = [](const std::vector<Simulation::Client*>& clients) {
    double sum = 0.0;
    for (const auto* client : clients) sum += static_cast<double>(client->answered);
    return sum;
  };
  simulation.Run(20 * kSecond);
  simulation.ResetCounts();
  simulation.Run(40 * kSecond);
  EXPECT_NEAR(answered(first) / answered(second), 3.0, 0.45);
  simulation.controller().SetCustomers({{1.0, {}}, {1.0, {}}});
  simulation.Run(42 * kSecond);
  simulation.ResetCounts();
  simulation.Run(60 * kSecond);
  EXPECT_NEAR(answered(first) / answered(second), 1.0, 0.15);
}

TEST(AdmissionController, EnforcesRateLimitsByCustomerAndByClient) {
  AdmissionSettings settings = Settings();
  settings.customers = {{1.0, {20.0, 5.0}}, {}};
  settings.clients.limit.per_s = 5.0;
  settings.clients.limit.burst = 2.0;
  settings.clients.verify_us = kSecond;
  settings.max_retry_after_us = 0;
  Simulation simulation(settings);
  for (int i = 0; i < 10; ++i) simulation.Add("capped " + std::to_string(i), 0, 10.0, kSecond);
  Simulation::Client& loud = simulation.Add("loud", 1, 40.0, kSecond);
  Simulation::Client& moderate = simulation.Add("calm", 1, 2.0, kSecond);
  simulation.Run(10 * kSecond);
  simulation.ResetCounts();
  simulation.Run(40 * kSecond);
  EXPECT_NEAR(simulation.AnsweredShare("capped") * 100.0, 20.0, 4.0);
  EXPECT_NEAR(static_cast<double>(loud.answered), 150.0, 20.0);
  EXPECT_GT(simulation.AnsweredShare("calm"), 0.9);
  EXPECT_GT(moderate.calls, 20U);
}

TEST(ConcurrencyLimiter, ConvergesToTheConcurrencyOfTheNetwork) {
  // The network of the simulation handles 20 set-ups at once without queueing.
  AdmissionSettings settings = Settings();
  settings.limiter.initial_limit = 200.0;
  settings.max_retry_after_us = 0;
  Simulation simulation(settings);
  for (int i = 0; i < 100; ++i) simulation.Add("client " + std::to_string(i), 0, 20.0, kSecond);
  simulation.Run(60 * kSecond);
  EXPECT_GE(simulation.controller().limit(), 15U);
  EXPECT_LE(simulation.controller().limit(), 60U);
}

TEST(Doors, OnlyFairPolicyKeepsTheShareOfQuietClientsUnderAFlood) {
  lab::ComparisonSettings settings;
  settings.length_us = 16'000'000;
  settings.flood_per_s = 1'500;
  for (const std::string& name : lab::PolicyNames()) {
    const lab::PolicyResult figures = lab::RunPolicy(name, settings);
    if (name == "fair") {
      EXPECT_GE(figures.quiet_share, 0.95);
      EXPECT_GE(figures.reservations_kept, 0.95);
      EXPECT_LE(figures.max_queued, 1024U);
    } else {
      EXPECT_LT(figures.quiet_share, 0.5) << name;
    }
  }
  settings.flood_per_s = 0.0;
  for (const std::string& name : lab::PolicyNames())
    EXPECT_GT(lab::RunPolicy(name, settings).quiet_share, 0.99) << name;
}

}  // namespace
}  // namespace croftrun::admission
