#include "lab/soak/cold_start_check.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>

namespace croftrun::lab::soak {
namespace {

// Under this budget chance weighs more.
constexpr double kSmallBudget = 30.0;

double BoundOf(double budget) {
  return budget < kSmallBudget ? budget + 3.0 * std::sqrt(budget) + 3.0 : budget + 2.0 * std::sqrt(budget) + 2.0;
}

// One start of one exchange, until it is warm.
class ColdStart {
 public:
  ColdStart(TimeUs at, const ColdStartSettings& settings) : at_(at), settings_(settings) {}

  bool Cold(TimeUs now) const { return now < at_ + settings_.warm_up; }
  void Tell(int softswitch) { told_.insert(softswitch); }
  // A set-up arrived: what is wrong with it, or nothing. An exchange falls once.
  std::string Take(TimeUs now, int softswitch) {
    sent_.push_back({now, told_.count(softswitch) > 0});
    while (sent_.front().at + settings_.window <= now) sent_.pop_front();
    const double bound = BoundOf(Budget(now));
    const auto count = static_cast<double>(sent_.size());
    if (fallen_ || count <= bound) return {};
    fallen_ = true;
    const auto told = std::count_if(sent_.begin(), sent_.end(), [](const SetUp& set_up) { return set_up.told; });
    if (3.0 * static_cast<double>(told) <= 2.0 * count) return {};
    return std::to_string(sent_.size()) + " set-ups within the window, " + std::to_string(told) +
           " from softswitches that were told of the start, " + std::to_string((now - at_) / 1000) +
           " ms before; bound " + std::to_string(static_cast<int>(bound));
  }

 private:
  struct SetUp {
    TimeUs at = 0;
    bool told = false;
  };

  double Budget(TimeUs now) const {
    const double grown = static_cast<double>(now - at_) / static_cast<double>(settings_.warm_up);
    const double warmth = settings_.cold_from + (1.0 - settings_.cold_from) * std::min(1.0, grown);
    return settings_.fall_multiple * warmth * settings_.set_ups_per_s * static_cast<double>(settings_.window) / 1e6;
  }

  TimeUs at_;
  ColdStartSettings settings_;
  std::set<int> told_;
  std::deque<SetUp> sent_;
  bool fallen_ = false;
};

}  // namespace

ColdStartVerdict CheckColdStarts(const std::vector<TrafficEvent>& events, const ColdStartSettings& settings) {
  ColdStartVerdict verdict;
  if (settings.set_ups_per_s <= 0.0) return verdict;
  std::map<int, ColdStart> starts;  // the last one of each exchange
  for (const TrafficEvent& event : events) {
    if (event.kind == EventKind::kColdStart) starts.insert_or_assign(event.exchange, ColdStart(event.at, settings));
    if (event.kind == EventKind::kStarted) {
      // A process learns of the starts so far from its configuration.
      for (auto& [exchange, start] : starts) start.Tell(event.softswitch);
    }
    const auto start = starts.find(event.exchange);
    if (start == starts.end() || !start->second.Cold(event.at)) continue;
    if (event.kind == EventKind::kStartWritten) start->second.Tell(event.softswitch);
    if (event.kind != EventKind::kAttemptArrived) continue;
    ++verdict.checked;
    const std::string fall = start->second.Take(event.at, event.softswitch);
    if (!fall.empty()) verdict.falls.push_back({event.at, event.exchange, fall});
  }
  return verdict;
}

}  // namespace croftrun::lab::soak
