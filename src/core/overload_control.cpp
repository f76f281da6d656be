#include "core/overload_control.h"

#include <algorithm>

namespace croftrun::core {
namespace {

// For each window of overload the refused share grows by kShareStep times the ratio of the delay to its target, at most
// by kMaxSteps steps; for each window without overload it shrinks by a tenth. It falls more slowly than it rises
// because the queue that has built up must be processed as well.
constexpr double kShareStep = 0.05, kMaxSteps = 3.0, kDecayFactor = 0.9;
constexpr double kMaxShare = 0.98;  // some calls are always accepted, so that the end of the overload is detected
constexpr double kMinShare = 0.01;  // below this, nothing is refused

}  // namespace

void OverloadGate::RecordDelay(TimeUs now, TimeUs queue_delay_us) {
  if (now >= window_start_ + settings_.window_us) {
    if (has_sample_) {
      const double ratio = static_cast<double>(min_delay_us_) / static_cast<double>(settings_.target_us);
      share_ =
          ratio > 1.0 ? std::min(kMaxShare, share_ + kShareStep * std::min(kMaxSteps, ratio)) : share_ * kDecayFactor;
      if (share_ < kMinShare) share_ = 0.0;
    }
    // A long period without any work is not overload.
    if (now >= window_start_ + 20 * settings_.window_us) share_ = 0.0;
    window_start_ = now;
    min_delay_us_ = queue_delay_us;
    has_sample_ = true;
    return;
  }
  min_delay_us_ = std::min(min_delay_us_, queue_delay_us);
}

}  // namespace croftrun::core
