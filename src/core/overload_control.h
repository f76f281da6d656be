// Overload control of this process: detects that processing has fallen behind and determines the share of new calls
// that is refused at once.
//
// Overload is detected by the minimum queue delay over a short window, as in CoDel: a burst that is processed within
// the window leaves a moment without delay, a standing queue does not (Nichols and Jacobson, "Controlling Queue Delay",
// 2012). Only new calls are shed. Messages of accepted calls are always processed, so that each gets its answer in
// time. No I/O, no clock.
#ifndef CROFTRUN_CORE_OVERLOAD_CONTROL_H_
#define CROFTRUN_CORE_OVERLOAD_CONTROL_H_

#include "croftrun/call_controller.h"

namespace croftrun::core {

struct OverloadSettings {
  TimeUs target_us = 10'000;  // a minimum queue delay above this is overload
  TimeUs window_us = 50'000;  // window over which the minimum is taken
};

// Determines which new calls are refused for overload.
class OverloadGate {
 public:
  explicit OverloadGate(const OverloadSettings& settings) : settings_(settings) {}
  // Records the queue delay of the work that is being processed now.
  void RecordDelay(TimeUs now, TimeUs queue_delay_us);
  // Returns whether to refuse a new call; `draw` is a random number in [0, 1).
  bool ShouldRefuse(double draw) const { return draw < share_; }
  // The share of new calls that is refused.
  double share() const { return share_; }

 private:
  OverloadSettings settings_;
  TimeUs window_start_ = 0;
  TimeUs min_delay_us_ = 0;
  bool has_sample_ = false;
  double share_ = 0.0;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_OVERLOAD_CONTROL_H_
