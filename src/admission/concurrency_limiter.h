// Limits the number of concurrent call set-ups, from the set-up delay it observes. No I/O, no clock.
//
// The minimum delay of the recent past is the delay of an idle network. A delay well above the minimum means that
// calls queue somewhere behind admission control, where they can no longer be put into a fair order. The limit then
// shrinks by a tenth per interval; otherwise it grows if it was used up (after TCP Vegas; Brakmo and Peterson, 1995).
#ifndef CROFTRUN_ADMISSION_CONCURRENCY_LIMITER_H_
#define CROFTRUN_ADMISSION_CONCURRENCY_LIMITER_H_

#include <algorithm>

#include "croftrun/call_controller.h"

namespace croftrun::admission {

struct ConcurrencyLimiterSettings {
  double min_limit = 8.0, max_limit = 4096.0, initial_limit = 64.0;
  double queueing_threshold = 2.0;            // a mean delay above this multiple of the minimum indicates a queue
  TimeUs interval_us = 100'000;               // between two adjustments of the limit
  TimeUs min_delay_lifetime_us = 30'000'000;  // the minimum delay is measured anew after this time
};

class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(const ConcurrencyLimiterSettings& settings)
      : settings_(settings), limit_(settings.initial_limit) {}

  std::size_t limit() const { return static_cast<std::size_t>(limit_); }
  // Mean set-up delay; 0 before the first answer.
  TimeUs mean_delay() const { return static_cast<TimeUs>(mean_delay_); }
  // Calls per second that the limit admits, by Little's law; 0 before the first answer.
  double calls_per_s() const { return mean_delay_ > 0.0 ? limit_ * 1e6 / mean_delay_ : 0.0; }

  // Records the set-up delay of an answered call. `limit_reached`: the number of concurrent set-ups was at the limit.
  void OnAnswer(TimeUs delay_us, bool limit_reached, TimeUs now) {
    const auto delay = static_cast<double>(delay_us);
    mean_delay_ = mean_delay_ == 0.0 ? delay : mean_delay_ + (delay - mean_delay_) / 32.0;
    if (min_delay_us_ == 0 || delay_us < min_delay_us_ || now - min_delay_at_ > settings_.min_delay_lifetime_us) {
      min_delay_us_ = std::max<TimeUs>(1, delay_us);
      min_delay_at_ = now;
    }
    if (interval_start_ == 0) interval_start_ = now;
    delay_sum_ += delay;
    ++delay_count_;
    limit_reached_ = limit_reached_ || limit_reached;
    if (now - interval_start_ < settings_.interval_us) return;
    const double interval_mean = delay_sum_ / static_cast<double>(delay_count_);
    if (interval_mean > settings_.queueing_threshold * static_cast<double>(min_delay_us_)) {
      limit_ = std::max(settings_.min_limit, limit_ * 0.9);
    } else if (limit_reached_) {
      limit_ = std::min(settings_.max_limit, limit_ + std::max(1.0, limit_ / 16.0));
    }
    interval_start_ = now;
    delay_sum_ = 0.0;
    delay_count_ = 0;
    limit_reached_ = false;
  }

 private:
  ConcurrencyLimiterSettings settings_;
  double limit_, mean_delay_ = 0.0, delay_sum_ = 0.0;
  std::uint64_t delay_count_ = 0;
  bool limit_reached_ = false;
  TimeUs min_delay_us_ = 0, min_delay_at_ = 0, interval_start_ = 0;
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_CONCURRENCY_LIMITER_H_
