// What the door costs a call, by the number of identities that knock: fixed tables, so the cost should not
// grow with them but for the processor's caches.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "admission/admission_controller.h"

namespace croftrun::admission {
namespace {

void ACallAtTheDoor(benchmark::State& state) {
  AdmissionSettings settings;
  settings.limiter.first = 64.0;
  settings.longest_pause_us = 2'000'000;
  settings.customers = {{}, {}};
  AdmissionController controller(settings);
  const auto identities = static_cast<std::uint64_t>(state.range(0));
  std::vector<AdmissionDecision> decisions;
  CallId call = 0;
  TimeUs now = 1'000'000;
  std::uint64_t draw = 88172645463325252ULL;
  std::string client;
  for (auto _ : state) {
    draw ^= draw << 13U;
    draw ^= draw >> 7U;
    draw ^= draw << 17U;
    client = "client " + std::to_string(draw % identities);
    decisions.clear();
    controller.OnRequest({++call, client, "2100", static_cast<int>(draw & 1U), 1.0, 3'000'000}, now, &decisions);
    now += 20;
    for (std::size_t i = 0; i < decisions.size(); ++i) {
      if (decisions[i].admitted) controller.OnAnswered(decisions[i].call, true, now, &decisions);
    }
  }
  state.counters["table_bytes"] = static_cast<double>(controller.table_bytes());
}
BENCHMARK(ACallAtTheDoor)->Arg(100)->Arg(10'000)->Arg(1'000'000);

}  // namespace
}  // namespace croftrun::admission

BENCHMARK_MAIN();
