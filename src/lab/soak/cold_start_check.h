// Checks whether the softswitches together overloaded an exchange that was warming up: it received more set-ups in a
// time window than its bound, and more than two thirds of them came from softswitches that had been notified of its
// start.
//
// The exchange stand-ins do not collapse, so the check assumes an exchange that its nominal load just fills. Its budget
// in a window is N = collapse multiple x current share of its capacity x nominal set-ups per second x window. By chance
// a fleet that keeps to N sends up to N + 2 sqrt(N) + 2 set-ups (N + 3 sqrt(N) + 3 where N is under 30): that is the
// bound.
#ifndef CROFTRUN_LAB_SOAK_COLD_START_CHECK_H_
#define CROFTRUN_LAB_SOAK_COLD_START_CHECK_H_

#include <cstddef>
#include <string>
#include <vector>

#include "lab/soak/event_log.h"

namespace croftrun::lab::soak {

// How an exchange's capacity grows after a cold start, and when it collapses.
struct ColdStartSettings {
  double set_ups_per_s = 0.0;        // nominal rate, which just fills a warm exchange; 0 disables the check
  double warm_up_start_share = 0.4;  // share of the capacity at the start
  TimeUs warm_up_time = 2'000'000;   // time until the full capacity is reached
  double collapse_multiple = 3.0;    // the exchange collapses at this multiple of its current capacity
  TimeUs window = 1'000'000;
};

// An exchange that was overloaded while it was warming up.
struct ColdStartViolation {
  TimeUs at = 0;
  int exchange = -1;
  std::string text;
};

// The result of the check for all cold starts of a trial.
struct ColdStartVerdict {
  std::vector<ColdStartViolation> violations;  // at most one per start, and only where softswitches are at fault
  std::size_t checked = 0;                     // set-ups that reached an exchange that was warming up
};

// Checks each cold start in the events of a trial.
ColdStartVerdict CheckColdStarts(const std::vector<TrialEvent>& events, const ColdStartSettings& settings);

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_COLD_START_CHECK_H_
