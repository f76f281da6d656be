// Randomized robustness tests with fixed seeds: mutated frames for a host with live instances, and events that refer to
// unknown objects. Frames must cause no exception other than MalformedFrame, and nothing may be reported by ASan and
// UBSan.
#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "controller_fixture.h"
#include "wire/host.h"
#include "wire_bytes.h"

namespace croftrun {
namespace {

void Put32(std::string* out, std::uint32_t value) {
  for (int i = 0; i < 4; ++i) out->push_back(static_cast<char>(value >> (8 * i)));
}

// Records of a valid frame: instance 3 with a mesh of three exchanges, one report, one offered call and the end of an
// attempt.
std::string ValidRecords() {
  const std::string settings =
      "balancers=3\nfamily_info.home_no=0\nfamily_info.shape=meshed\nallowed.most_tries=4\n"
      "grades.count=1\ngrades.0.slo_us=1000000\ngrades.0.hard_limit_us=9000000\nreport.fields=spare,total,"
      "cut_by\n";
  std::string bytes = wire::Bytes("12 03000000 0807060504030201");
  Put32(&bytes, static_cast<std::uint32_t>(settings.size()));
  bytes += settings;
  bytes += wire::Bytes(
      "1a 02000000 02000000  09000000 01 00 0100 01 0000803f 0000000000000000"
      "  0a000000 00 00 0200 01 0000803f 0000000000000000"
      "10 03000000 02 02000000 29000000"
      "13 03000000 09000000 00000000 c800 03 00004040 0000a040 000080bf"
      "15 03000000 11000000 0000 00000000 0500000000000000 40420f00 e02e0000 0000803f 0000803f 000080bf 00"
      "18 03000000 11000000 09000000 02000000 0000 44480000 ad01 00 02 0000803f 00000040");
  return bytes;
}

TEST(Fuzz, MutatedFramesAreAnsweredOrRejected) {
  const std::string valid = ValidRecords();
  std::mt19937_64 random(20261128);
  int answered = 0;
  int malformed = 0;
  for (int round = 0; round < 4000; ++round) {
    std::string bytes = valid;
    for (auto n = random() % 6; n > 0; --n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    wire::Host host;
    try {
      const auto count = random() % 8 == 0 ? static_cast<std::uint32_t>(random()) : 6U;
      host.Answer({1, kStart, static_cast<std::uint32_t>(bytes.size()), count}, bytes);
      host.Answer({2, kStart + 5 * kMs, 0, 0}, "");
      ++answered;
    } catch (const wire::MalformedFrame&) {
      ++malformed;
    }
  }
  EXPECT_GT(answered, 100);
  EXPECT_GT(malformed, 100);
}

// Calls, exchanges, classes and customers that do not exist, figures that are not finite numbers, and events out of
// order.
TEST(Fuzz, AnswersCallsAtMostOnceOnInvalidEvents) {
  for (const Topology topology : {Topology::kMeshed, Topology::kPools}) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      Settings s = TestSettings();
      s.topology = topology;
      s.discovery_mode = seed % 2 == 0 ? DiscoveryMode::kSubscribe : DiscoveryMode::kAutomatic;
      if (seed % 3 == 0) s.report_fields.clear();
      if (seed % 4 == 0) s.classes.clear();
      if (seed % 5 == 0) s.softswitch_count = 0;
      ControllerFixture fixture(s, seed);
      std::mt19937_64 random(seed);
      const float figures[] = {
          0.0F, 3.0F, -1.0F, 1e30F, std::numeric_limits<float>::quiet_NaN(), std::numeric_limits<float>::infinity()};
      const auto figure = [&] { return figures[random() % 6]; };
      const auto exchange = [&] { return static_cast<ExchangeId>(98 + random() % 8); };
      std::set<CallId> offered;
      std::set<CallId> ended;
      for (int step = 0; step < 6000; ++step) {
        fixture.actions.clear();
        if (random() % 3 == 0) fixture.now += random() % (700 * kMs);
        const auto call = static_cast<CallId>(random() % 3000);
        const auto attempt = static_cast<int>(random() % 3) - 1;
        switch (random() % 7) {
          case 0:
          case 1:
            if (!offered.insert(call).second) break;  // ids are never reused
            fixture.Handle(CallOffered{.call = call,
                                       .call_class = static_cast<int>(random() % 5) - 1,
                                       .customer = static_cast<int>(random() % 5) - 1,
                                       .number_called = random() % 40,
                                       .budget_us = random() % (9000 * kMs),
                                       .destination = static_cast<int>(random() % 8) - 2,
                                       .width = figure(),
                                       .via = static_cast<int>(random() % 6) - 1,
                                       .in_transit = random() % 4 == 0});
            break;
          case 2:
            fixture.Handle(
                CallEstablished{.call = call, .exchange = exchange(), .attempt = attempt, .elapsed_us = random()});
            break;
          case 3:
            fixture.Handle(AttemptEnded{.call = call,
                                        .exchange = exchange(),
                                        .attempt = attempt,
                                        .outcome = static_cast<Outcome>(random() % 8),
                                        .cause = static_cast<RejectCause>(random() % 6),
                                        .elapsed_us = random() % (5000 * kMs),
                                        .terminal = random() % 2 == 0,
                                        .report = {figure(), figure(), figure(), figure()}});
            break;
          case 4:
            fixture.Handle(LoadReportReceived{.exchange = exchange(), .report = {figure(), figure(), figure()}});
            break;
          case 5:
            fixture.Handle(TimerExpired{random() % 2 == 0 ? random() : call});
            break;
          default: {
            DirectoryUpdate update{.kind = static_cast<DirectoryKind>(random() % 4)};
            for (auto n = random() % 4; n > 0; --n) {
              update.entries.push_back({.exchange = exchange(),
                                        .zone = static_cast<int>(random() % 3),
                                        .number = static_cast<int>(random() % 6),
                                        .status = static_cast<ExchangeStatus>(random() % 3),
                                        .started_at_us = random() % 3 == 0 ? random() : fixture.now});
            }
            fixture.Handle(update);
          }
        }
        for (const Action& action : fixture.actions) {
          const auto* refuse = std::get_if<RefuseCall>(&action);
          const auto* fail = std::get_if<FailCall>(&action);
          if (refuse == nullptr && fail == nullptr) continue;
          const CallId id = refuse != nullptr ? refuse->call : fail->call;
          EXPECT_TRUE(offered.count(id) > 0) << "answered a call that was not offered";
          EXPECT_TRUE(ended.insert(id).second) << "answered twice";
        }
      }
      EXPECT_GT(ended.size(), 100U);
    }
  }
}

}  // namespace
}  // namespace croftrun
