// Estimates how long the next of a row of events may take: smoothed mean and mean deviation of the intervals so far, as
// the retransmission timer of TCP has them (RFC 6298, section 2). Pure arithmetic; the owner gives the times.
#ifndef CROFTRUN_POLICY_INTERVAL_ESTIMATOR_H_
#define CROFTRUN_POLICY_INTERVAL_ESTIMATOR_H_

#include <cstddef>

#include "croftrun/call_controller.h"

namespace croftrun::policy {

class IntervalEstimator {
 public:
  // An event at `now`. One within `same_event_us` of the last one is a copy of it; an interval counts as
  // `longest_interval_us` at most, as what lies behind a longer one is no rhythm.
  void OnEvent(TimeUs now, TimeUs same_event_us, TimeUs longest_interval_us);
  bool seen() const { return last_ != 0; }
  // Enough intervals are known for LongestExpected to mean something.
  bool known() const { return intervals_ >= kIntervalsKnown; }
  // The mean and four deviations, in microseconds: a longer silence is out of the ordinary.
  TimeUs LongestExpected() const { return mean_ + kDeviations * deviation_; }

 private:
  static constexpr std::size_t kIntervalsKnown = 4;
  static constexpr TimeUs kDeviations = 4;

  TimeUs last_ = 0;  // 0: none yet
  std::size_t intervals_ = 0;
  TimeUs mean_ = 0, deviation_ = 0;
};

}  // namespace croftrun::policy

#endif  // CROFTRUN_POLICY_INTERVAL_ESTIMATOR_H_
