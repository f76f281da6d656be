// Cost of a call in the core, from its request until its circuit is free again, by the size of the directory. The free
// circuits of a group are reported to the module at each step, and the directory is as large as the network.
#include <benchmark/benchmark.h>

#include "core/call_core.h"
#include "sim/virtual_runtime.h"

namespace croftrun {
namespace {

class ConfirmingTrunks final : public core::TrunkDriver {
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

class NullOwner final : public core::CallOwner {
 public:
  void OnFinalAnswer(CallId, const core::FinalAnswer&) override {}
  void OnCallEnded(CallId, core::ReleaseCause) override {}
};

class NullLogger final : public core::Logger {
 public:
  void Write(core::LogLevel, std::string_view, CallId, std::string_view) override {}
  bool IsEnabled(core::LogLevel) const override { return false; }
};

void CallByDirectorySize(benchmark::State& state) {
  sim::VirtualRuntime runtime(1);
  NullLogger log;
  core::CoreSettings settings;
  settings.module.own_number = 0;
  CallClass call_class;
  call_class.target_delay_us = 1'500'000;
  call_class.deadline_us = 9'000'000;
  settings.module.classes = {call_class};
  settings.groups = {{1, 64}};
  core::CallCore core(settings, &runtime, &log);
  ConfirmingTrunks trunks;
  trunks.core = &core;
  core.SetTrunks(&trunks);
  DirectoryUpdate update;
  update.version = 1;
  // The called exchange, and entries of exchanges that were replaced and are gone.
  update.entries.push_back({.exchange = 1, .number = 1});
  for (ExchangeId i = 2; i <= static_cast<ExchangeId>(state.range(0)); ++i)
    update.entries.push_back({.exchange = i, .number = static_cast<int>(i), .status = ExchangeStatus::kGone});
  core.OnDirectory(update);
  for (core::CircuitNumber c = 0; c < 64; ++c) core.OnCircuitFree(1, c);
  NullOwner caller;
  core::CallRequest request;
  request.called = "1100";
  request.destination = 1;
  request.caller_timeout_us = 9'000'000;
  for (auto _ : state) {
    const CallId id = core.AcceptCall(request, &caller);
    core.OnTrunkAnswered(id, trunks.last.attempt);
    core.HangUp(id);
  }
  if (core.counters().stands != static_cast<std::uint64_t>(state.iterations()))
    state.SkipWithError("a call was not established");
}
BENCHMARK(CallByDirectorySize)->Arg(2)->Arg(92)->Arg(4096);

}  // namespace
}  // namespace croftrun

BENCHMARK_MAIN();
