// Cost of admission control per call, over the number of client identities. The tables have a fixed size, so only
// processor cache misses should make the cost grow.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "admission/admission_controller.h"

namespace croftrun::admission {
namespace {

void AdmitCall(benchmark::State& state) {
  AdmissionSettings settings;
  settings.limiter.initial_limit = 64.0;
  settings.max_retry_after_us = 2'000'000;
  settings.customers = {{}, {}};
  AdmissionController controller(settings);
  const auto identities = static_cast<std::uint64_t>(state.range(0));
  std::vector<AdmissionDecision> decisions;
  CallId call = 0;
  TimeUs now = 1'000'000;
  std::uint64_t random = 88172645463325252ULL;
  std::string client;
  for (auto _ : state) {
    random ^= random << 13U;
    random ^= random >> 7U;
    random ^= random << 17U;
    client = "client " + std::to_string(random % identities);
    decisions.clear();
    controller.OnRequest({++call, client, "2100", static_cast<int>(random & 1U), 1.0, 3'000'000}, now, &decisions);
    now += 20;
    for (std::size_t i = 0; i < decisions.size(); ++i) {
      if (decisions[i].admitted) controller.OnAnswered(decisions[i].call, true, now, &decisions);
    }
  }
  state.counters["table_bytes"] = static_cast<double>(controller.table_bytes());
}
BENCHMARK(AdmitCall)->Arg(100)->Arg(10'000)->Arg(1'000'000);

}  // namespace
}  // namespace croftrun::admission

BENCHMARK_MAIN();
