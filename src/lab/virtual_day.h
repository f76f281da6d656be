// A scenario run in virtual time, with the edges inside the process. Scenario, edges and rule checks are the same as in
// a run on sockets.
#ifndef CROFTRUN_LAB_VIRTUAL_DAY_H_
#define CROFTRUN_LAB_VIRTUAL_DAY_H_

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "edge/edge_node.h"
#include "lab/day.h"
#include "lab/rule_checker.h"
#include "sim/stallable_runtime.h"
#include "sim/virtual_runtime.h"

namespace croftrun::lab {

// Logger that keeps error messages and discards the rest.
class ErrorLog final : public core::Logger {
 public:
  void Write(core::LogLevel level, std::string_view event, CallId, std::string_view detail) override {
    if (level == core::LogLevel::kError) errors.push_back(std::string(event) + ": " + std::string(detail));
  }
  bool IsEnabled(core::LogLevel level) const override { return level == core::LogLevel::kError; }
  std::vector<std::string> errors;
};

// EdgeHost that runs the edges inside this process.
class InProcessEdges final : public EdgeHost {
 public:
  // `decider` creates the replacement for the decision module; null: the module itself.
  InProcessEdges(core::Runtime* runtime, core::Logger* log, core::DeciderFactory decider = {})
      : runtime_(runtime), log_(log), decider_(std::move(decider)) {}
  void Start(int number, const std::string& settings_json) override {
    std::vector<config::SettingsError> mistakes;
    auto settings = std::make_unique<edge::EdgeSettings>(edge::ParseEdgeSettings(settings_json, &mistakes));
    if (!mistakes.empty()) throw std::runtime_error(config::ToString(mistakes));
    settings->core.decider = decider_;
    Running& running = edges_[number];
    running.node.reset();
    running.settings = std::move(settings);
    running.runtime = std::make_unique<sim::StallableRuntime>(runtime_);
    running.node = std::make_unique<edge::EdgeNode>(*running.settings, running.runtime.get(), log_);
  }
  void Kill(int number) override { edges_[number].node.reset(); }
  void Stop(int number) override {
    edges_[number].node->Stop([] {});
  }
  void Stall(int number, bool stalled) override {
    if (const auto found = edges_.find(number); found != edges_.end() && found->second.node)
      found->second.runtime->SetStalled(stalled);
  }
  edge::EdgeNode& At(int number) { return *edges_.at(number).node; }
  bool Runs(int number) const {
    const auto found = edges_.find(number);
    return found != edges_.end() && found->second.node != nullptr;
  }

 private:
  struct Running {
    std::unique_ptr<edge::EdgeSettings> settings;
    std::unique_ptr<sim::StallableRuntime> runtime;  // outlives the node
    std::unique_ptr<edge::EdgeNode> node;
  };
  core::Runtime* runtime_;
  core::Logger* log_;
  core::DeciderFactory decider_;
  std::map<int, Running> edges_;
};

// Runs a scenario to its end and holds the results.
class VirtualDay {
 public:
  explicit VirtualDay(Scenario of, core::DeciderFactory decider = {})
      : scenario(std::move(of)),
        runtime(scenario.seed),
        trace(&runtime),
        edges(&runtime, &log, std::move(decider)),
        day(scenario, &runtime, &trace, &edges, "") {
    trace.SetRecordHandler([this](const TraceRecord& record) {
      rules.ProcessRecord(record);
      if (on_record) on_record(record);
    });
    day.Start([this] { over = true; });
  }
  // Runs until the scenario is complete, then checks the rules and creates the report.
  void Run() {
    while (!over && runtime.Step()) {
    }
    rules.Finish();
    report = day.Report();
  }

  Scenario scenario;
  sim::VirtualRuntime runtime;
  Trace trace;
  ErrorLog log;
  InProcessEdges edges;
  Day day;
  RuleChecker rules;
  std::function<void(const TraceRecord&)> on_record;  // additional receiver of the trace records
  DayReport report;
  bool over = false;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_VIRTUAL_DAY_H_
