#include "policy/interval_estimator.h"

#include <algorithm>

namespace croftrun::policy {
namespace {

// Divisors that give the weight of the newest interval (RFC 6298: alpha 1/8, beta 1/4).
constexpr TimeUs kMeanDivisor = 8, kDeviationDivisor = 4;

}  // namespace

void IntervalEstimator::RecordEvent(TimeUs now, TimeUs duplicate_window_us, TimeUs max_interval_us) {
  const TimeUs previous = last_event_at_;
  if (previous != 0 && now < previous + duplicate_window_us) return;
  last_event_at_ = now;
  if (previous == 0) return;
  const TimeUs interval = std::min(now - previous, max_interval_us);
  ++interval_count_;
  if (interval_count_ == 1) {
    mean_ = interval;
    deviation_ = interval / 2;
    return;
  }
  const TimeUs error = std::max(mean_, interval) - std::min(mean_, interval);
  deviation_ = (deviation_ * (kDeviationDivisor - 1) + error) / kDeviationDivisor;
  mean_ = (mean_ * (kMeanDivisor - 1) + interval) / kMeanDivisor;
}

}  // namespace croftrun::policy
