// Own overload: whether this process has fallen behind, and what share of new calls it therefore refuses at once.
//
// The sign is the least time that work has waited before it was looked at, over a short span: a burst that is worked
// off within the span leaves a moment without waiting, a standing queue does not (Nichols and Jacobson, "Controlling
// Queue Delay", 2012). What is kept back is a share of new calls only: what belongs to calls that were taken is always
// worked on, so that each gets its answer in time. No I/O, no clock.
#ifndef CROFTRUN_CORE_OVERLOAD_CONTROL_H_
#define CROFTRUN_CORE_OVERLOAD_CONTROL_H_

#include "croftrun/call_controller.h"

namespace croftrun::core {

struct OverloadSettings {
  TimeUs target_us = 10'000;  // a standing wait above this is overload
  TimeUs span_us = 50'000;    // the wait is judged over this long
};

class OverloadGate {
 public:
  explicit OverloadGate(const OverloadSettings& settings) : settings_(settings) {}
  // Work that had waited `backlog_us` is looked at.
  void Note(TimeUs now, TimeUs backlog_us);
  // Whether a new call is refused; `draw` is a chance number under 1.
  bool Refuses(double draw) const { return draw < share_; }
  double share() const { return share_; }

 private:
  OverloadSettings settings_;
  TimeUs span_began_ = 0;
  TimeUs least_ = 0;
  bool heard_ = false;
  double share_ = 0.0;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_OVERLOAD_CONTROL_H_
