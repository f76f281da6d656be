// What the door costs a call, by the number of identities that knock: fixed tables, so the cost should not
// grow with them but for the processor's caches.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "door/door.h"

namespace croftrun::door {
namespace {

void ACallAtTheDoor(benchmark::State& state) {
  DoorSettings settings;
  settings.limiter.first = 64.0;
  settings.longest_pause_us = 2'000'000;
  settings.customers = {{}, {}};
  Door door(settings);
  const auto identities = static_cast<std::uint64_t>(state.range(0));
  std::vector<Verdict> verdicts;
  CallId call = 0;
  TimeUs now = 1'000'000;
  std::uint64_t draw = 88172645463325252ULL;
  std::string client;
  for (auto _ : state) {
    draw ^= draw << 13U;
    draw ^= draw >> 7U;
    draw ^= draw << 17U;
    client = "client " + std::to_string(draw % identities);
    verdicts.clear();
    door.OnKnock({++call, client, "2100", static_cast<int>(draw & 1U), 1.0, 3'000'000}, now, &verdicts);
    now += 20;
    for (std::size_t i = 0; i < verdicts.size(); ++i) {
      if (verdicts[i].admitted) door.OnAnswered(verdicts[i].call, true, now, &verdicts);
    }
  }
  state.counters["table_bytes"] = static_cast<double>(door.table_bytes());
}
BENCHMARK(ACallAtTheDoor)->Arg(100)->Arg(10'000)->Arg(1'000'000);

}  // namespace
}  // namespace croftrun::door

BENCHMARK_MAIN();
