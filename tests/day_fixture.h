// A day of the laboratory on virtual time, with the edges inside the test.
#ifndef CROFTRUN_TESTS_DAY_FIXTURE_H_
#define CROFTRUN_TESTS_DAY_FIXTURE_H_

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "edge/edge_node.h"
#include "lab/day.h"
#include "lab/rules.h"
#include "sim/virtual_runtime.h"

namespace croftrun {

class QuietLog final : public core::LogSink {
 public:
  void Write(core::LogLevel level, std::string_view event, CallId, std::string_view detail) override {
    if (level == core::LogLevel::kError) errors.push_back(std::string(event) + ": " + std::string(detail));
  }
  std::vector<std::string> errors;
};

class InProcessEdges final : public lab::EdgeHost {
 public:
  InProcessEdges(core::Runtime* runtime, core::LogSink* log) : runtime_(runtime), log_(log) {}
  void Start(int number, const std::string& settings_json) override {
    std::vector<config::Mistake> mistakes;
    auto settings = std::make_unique<edge::EdgeSettings>(edge::ParseEdgeSettings(settings_json, &mistakes));
    if (!mistakes.empty()) throw std::runtime_error(config::ToString(mistakes));
    Running& running = edges_[number];
    running.node.reset();
    running.settings = std::move(settings);
    running.node = std::make_unique<edge::EdgeNode>(*running.settings, runtime_, log_);
  }
  void Kill(int number) override { edges_[number].node.reset(); }
  void Stop(int number) override {
    edges_[number].node->Stop([] {});
  }
  edge::EdgeNode& At(int number) { return *edges_.at(number).node; }

 private:
  struct Running {
    std::unique_ptr<edge::EdgeSettings> settings;
    std::unique_ptr<edge::EdgeNode> node;
  };
  core::Runtime* runtime_;
  core::LogSink* log_;
  std::map<int, Running> edges_;
};

// Plays `scenario_json` to its end and holds what came of it.
class PlayedDay {
 public:
  explicit PlayedDay(const std::string& scenario_json)
      : scenario(Parse(scenario_json)),
        runtime(scenario.seed),
        trace(&runtime),
        edges(&runtime, &log),
        day(scenario, &runtime, &trace, &edges, "") {
    trace.SetSink([this](const lab::TraceRecord& record) { rules.Take(record); });
    day.Begin([this] { over = true; });
  }
  void Play() {
    while (!over && runtime.Step()) {
    }
    rules.Finish();
    report = day.Report();
  }
  std::uint64_t Answered() const {
    std::uint64_t sum = 0;
    for (const auto& c : report.classes) sum += c.in_time + c.late + c.cut;
    return sum;
  }
  std::uint64_t Offered() const {
    std::uint64_t sum = 0;
    for (const auto& c : report.classes) sum += c.offered;
    return sum;
  }
  std::uint64_t Unanswered() const {
    std::uint64_t sum = 0;
    for (const auto& c : report.classes) sum += c.unanswered;
    return sum;
  }

  lab::Scenario scenario;
  sim::VirtualRuntime runtime;
  lab::Trace trace;
  QuietLog log;
  InProcessEdges edges;
  lab::Day day;
  lab::RuleChecker rules;
  lab::DayReport report;
  bool over = false;

 private:
  static lab::Scenario Parse(const std::string& text) {
    std::vector<config::Mistake> mistakes;
    lab::Scenario parsed = lab::ParseScenario(text, &mistakes);
    if (!mistakes.empty()) throw std::runtime_error(config::ToString(mistakes));
    return parsed;
  }
};

}  // namespace croftrun

#endif  // CROFTRUN_TESTS_DAY_FIXTURE_H_
