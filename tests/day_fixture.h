// Test fixture: a laboratory scenario on virtual time, with the edges inside the test process.
#ifndef CROFTRUN_TESTS_DAY_FIXTURE_H_
#define CROFTRUN_TESTS_DAY_FIXTURE_H_

#include <stdexcept>
#include <string>
#include <vector>

#include "lab/virtual_day.h"

namespace croftrun {

using lab::ErrorLog;
using lab::InProcessEdges;

// Runs the scenario in `scenario_json` and keeps its results. Counts are sums over all call classes.
class PlayedDay : public lab::VirtualDay {
 public:
  explicit PlayedDay(const std::string& scenario_json, core::DeciderFactory decider = {})
      : VirtualDay(Parse(scenario_json), std::move(decider)) {}
  std::uint64_t Answered() const {
    std::uint64_t sum = 0;
    for (const auto& c : report.classes) sum += c.in_time + c.late + c.terminated;
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

 private:
  static lab::Scenario Parse(const std::string& text) {
    std::vector<config::SettingsError> mistakes;
    lab::Scenario parsed = lab::ParseScenario(text, &mistakes);
    if (!mistakes.empty()) throw std::runtime_error(config::ToString(mistakes));
    return parsed;
  }
};

}  // namespace croftrun

#endif  // CROFTRUN_TESTS_DAY_FIXTURE_H_
