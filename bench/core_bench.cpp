// A call through the core, from its offer to its circuit free again, by the size of the directory: the free
// circuits of a group are told to the module at each step, and the directory is as large as the network.
#include <benchmark/benchmark.h>

#include "core/call_core.h"
#include "sim/virtual_runtime.h"

namespace croftrun {
namespace {

class Trunks final : public core::TrunkDriver {
 public:
  core::CallCore* core = nullptr;
  void SetUp(const core::TrunkSetUp& set_up) override { last = set_up; }
  void Answer(const core::CircuitSet&, std::string_view) override {}
  void Connect(const core::CircuitSet&, std::string_view) override {}
  void Release(const core::CircuitSet& set, const core::ReleaseInfo&) override {
    for (const core::CircuitNumber circuit : set.circuits) core->OnCircuitFree(set.group, circuit);
  }
  void ProbeGroup(int) override {}
  core::TrunkSetUp last;
};

class Caller final : public core::CallOwner {
 public:
  void OnFinalAnswer(CallId, const core::FinalAnswer&) override {}
  void OnCallEnded(CallId, core::ReleaseCause) override {}
};

class Quiet final : public core::Logger {
 public:
  void Write(core::LogLevel, std::string_view, CallId, std::string_view) override {}
  bool IsEnabled(core::LogLevel) const override { return false; }
};

void ACallByDirectory(benchmark::State& state) {
  sim::VirtualRuntime runtime(1);
  Quiet log;
  core::CoreSettings settings;
  settings.module.own_number = 0;
  CallClass one;
  one.target_delay_us = 1'500'000;
  one.deadline_us = 9'000'000;
  settings.module.classes = {one};
  settings.groups = {{1, 64}};
  core::CallCore core(settings, &runtime, &log);
  Trunks trunks;
  trunks.core = &core;
  core.SetTrunks(&trunks);
  DirectoryUpdate update;
  update.version = 1;
  // The exchange that is called, and what else the directory holds: gone ones of former replacements.
  update.entries.push_back({.exchange = 1, .number = 1});
  for (ExchangeId i = 2; i <= static_cast<ExchangeId>(state.range(0)); ++i)
    update.entries.push_back({.exchange = i, .number = static_cast<int>(i), .status = ExchangeStatus::kGone});
  core.OnDirectory(update);
  for (core::CircuitNumber c = 0; c < 64; ++c) core.OnCircuitFree(1, c);
  Caller caller;
  core::CallRequest offer;
  offer.called = "1100";
  offer.destination = 1;
  offer.caller_timeout_us = 9'000'000;
  for (auto _ : state) {
    const CallId id = core.AcceptCall(offer, &caller);
    core.OnTrunkAnswered(id, trunks.last.attempt);
    core.HangUp(id);
  }
  if (core.counters().stands != static_cast<std::uint64_t>(state.iterations()))
    state.SkipWithError("a call did not stand");
}
BENCHMARK(ACallByDirectory)->Arg(2)->Arg(92)->Arg(4096);

}  // namespace
}  // namespace croftrun

BENCHMARK_MAIN();
