#include "policy/interval_estimator.h"

#include <algorithm>

namespace croftrun::policy {
namespace {

// The weights of the newest interval are one in so many (RFC 6298: alpha 1/8, beta 1/4).
constexpr TimeUs kMeanWeight = 8, kDeviationWeight = 4;

}  // namespace

void IntervalEstimator::OnEvent(TimeUs now, TimeUs same_event_us, TimeUs longest_interval_us) {
  const TimeUs last = last_;
  if (last != 0 && now < last + same_event_us) return;
  last_ = now;
  if (last == 0) return;
  const TimeUs interval = std::min(now - last, longest_interval_us);
  ++intervals_;
  if (intervals_ == 1) {
    mean_ = interval;
    deviation_ = interval / 2;
    return;
  }
  const TimeUs error = std::max(mean_, interval) - std::min(mean_, interval);
  deviation_ = (deviation_ * (kDeviationWeight - 1) + error) / kDeviationWeight;
  mean_ = (mean_ * (kMeanWeight - 1) + interval) / kMeanWeight;
}

}  // namespace croftrun::policy
