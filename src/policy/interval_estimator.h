// Estimates the longest interval to expect until the next event of a series, from the smoothed mean and mean deviation
// of the intervals so far, as the retransmission timer of TCP does (RFC 6298, section 2).
#ifndef CROFTRUN_POLICY_INTERVAL_ESTIMATOR_H_
#define CROFTRUN_POLICY_INTERVAL_ESTIMATOR_H_

#include <cstddef>

#include "croftrun/call_controller.h"

namespace croftrun::policy {

// Performs arithmetic only; the owner passes the current time in.
class IntervalEstimator {
 public:
  // Records an event at `now`. An event within `duplicate_window_us` of the last one is ignored as a duplicate.
  // Intervals are limited to `max_interval_us`, because a longer gap is an interruption and not part of the rhythm.
  void RecordEvent(TimeUs now, TimeUs duplicate_window_us, TimeUs max_interval_us);
  bool HasEvents() const { return last_event_at_ != 0; }
  // Returns whether there are enough intervals for MaxExpectedInterval to be meaningful.
  bool HasEstimate() const { return interval_count_ >= kMinIntervals; }
  // Returns the mean plus four mean deviations, in microseconds. A longer silence is unusual.
  TimeUs MaxExpectedInterval() const { return mean_ + kDeviationFactor * deviation_; }

 private:
  static constexpr std::size_t kMinIntervals = 4;
  static constexpr TimeUs kDeviationFactor = 4;

  TimeUs last_event_at_ = 0;  // 0: none yet
  std::size_t interval_count_ = 0;
  TimeUs mean_ = 0, deviation_ = 0;
};

}  // namespace croftrun::policy

#endif  // CROFTRUN_POLICY_INTERVAL_ESTIMATOR_H_
