#include "core/overload_control.h"

#include <algorithm>

namespace croftrun::core {
namespace {

// The share refused grows by this for each span of overload, more the longer the wait is; it shrinks by a tenth for
// each span without. Down slower than up: the queue that built up has to be worked off as well.
constexpr double kStep = 0.05, kMostSteps = 3.0, kEase = 0.9;
constexpr double kMost = 0.98;  // some calls always get in, so that the end of it is seen
constexpr double kNone = 0.01;  // below, nothing is refused

}  // namespace

void OverloadGate::Note(TimeUs now, TimeUs backlog_us) {
  if (now >= span_began_ + settings_.span_us) {
    if (heard_) {
      const double over = static_cast<double>(least_) / static_cast<double>(settings_.target_us);
      share_ = over > 1.0 ? std::min(kMost, share_ + kStep * std::min(kMostSteps, over)) : share_ * kEase;
      if (share_ < kNone) share_ = 0.0;
    }
    // A long silence is no overload: nothing came.
    if (now >= span_began_ + 20 * settings_.span_us) share_ = 0.0;
    span_began_ = now;
    least_ = backlog_us;
    heard_ = true;
    return;
  }
  least_ = std::min(least_, backlog_us);
}

}  // namespace croftrun::core
