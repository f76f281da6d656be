#include "lab/soak/cold_start_check.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>

namespace croftrun::lab::soak {
namespace {

// Below this budget the bound allows for more random variation.
constexpr double kSmallBudgetThreshold = 30.0;

double UpperBound(double budget) {
  return budget < kSmallBudgetThreshold ? budget + 3.0 * std::sqrt(budget) + 3.0
                                        : budget + 2.0 * std::sqrt(budget) + 2.0;
}

// One cold start of one exchange, until it is warm.
class ColdStart {
 public:
  ColdStart(TimeUs at, const ColdStartSettings& settings) : start_time_(at), settings_(settings) {}

  bool IsCold(TimeUs now) const { return now < start_time_ + settings_.warm_up_time; }
  void AddNotifiedSoftswitch(int softswitch) { notified_.insert(softswitch); }
  // Records a set-up. Returns the description of a violation, or an empty text. Reports at most one per start.
  std::string OnSetUp(TimeUs now, int softswitch) {
    recent_.push_back({now, notified_.count(softswitch) > 0});
    while (recent_.front().at + settings_.window <= now) recent_.pop_front();
    const double bound = UpperBound(Budget(now));
    const auto count = static_cast<double>(recent_.size());
    if (reported_ || count <= bound) return {};
    reported_ = true;
    const auto notified =
        std::count_if(recent_.begin(), recent_.end(), [](const SetUp& set_up) { return set_up.notified; });
    if (3.0 * static_cast<double>(notified) <= 2.0 * count) return {};
    return std::to_string(recent_.size()) + " set-ups within the window, " + std::to_string(notified) +
           " from softswitches that were notified of the start, " + std::to_string((now - start_time_) / 1000) +
           " ms before; the bound is " + std::to_string(static_cast<int>(bound));
  }

 private:
  struct SetUp {
    TimeUs at = 0;
    bool notified = false;
  };

  double Budget(TimeUs now) const {
    const double elapsed_share = static_cast<double>(now - start_time_) / static_cast<double>(settings_.warm_up_time);
    const double capacity_share =
        settings_.warm_up_start_share + (1.0 - settings_.warm_up_start_share) * std::min(1.0, elapsed_share);
    return settings_.collapse_multiple * capacity_share * settings_.set_ups_per_s *
           static_cast<double>(settings_.window) / 1e6;
  }

  TimeUs start_time_;
  ColdStartSettings settings_;
  std::set<int> notified_;
  std::deque<SetUp> recent_;
  bool reported_ = false;
};

}  // namespace

ColdStartVerdict CheckColdStarts(const std::vector<TrialEvent>& events, const ColdStartSettings& settings) {
  ColdStartVerdict verdict;
  if (settings.set_ups_per_s <= 0.0) return verdict;
  std::map<int, ColdStart> starts;  // the latest one, by exchange
  for (const TrialEvent& event : events) {
    if (event.kind == EventKind::kColdStart) starts.insert_or_assign(event.exchange, ColdStart(event.at, settings));
    if (event.kind == EventKind::kStarted) {
      // A new process learns of the earlier starts from its configuration.
      for (auto& [exchange, start] : starts) start.AddNotifiedSoftswitch(event.softswitch);
    }
    const auto start = starts.find(event.exchange);
    if (start == starts.end() || !start->second.IsCold(event.at)) continue;
    if (event.kind == EventKind::kColdStartWritten) start->second.AddNotifiedSoftswitch(event.softswitch);
    if (event.kind != EventKind::kAttemptArrived) continue;
    ++verdict.checked;
    const std::string violation = start->second.OnSetUp(event.at, event.softswitch);
    if (!violation.empty()) verdict.violations.push_back({event.at, event.exchange, violation});
  }
  return verdict;
}

}  // namespace croftrun::lab::soak
