// Whether a cold exchange was pushed over: more set-ups within the time that the settings name than it can take then,
// from all softswitches together, and over two thirds of them from softswitches that had been told of its start.
//
// The stand-ins do not fall over, so the check reckons with an exchange whose usual load just fills it. Its budget in a
// window is N = multiple x warmth x set-ups a second x the window; by chance a fleet that keeps to N sends up to
// N + 2 x root of N + 2 (under 30: N + 3 x root of N + 3), which is the bound.
#ifndef CROFTRUN_LAB_SOAK_COLD_START_CHECK_H_
#define CROFTRUN_LAB_SOAK_COLD_START_CHECK_H_

#include <cstddef>
#include <string>
#include <vector>

#include "lab/soak/traffic.h"

namespace croftrun::lab::soak {

struct ColdStartSettings {
  double set_ups_per_s = 0.0;  // that just fill a warm exchange; 0: nothing is checked
  double cold_from = 0.4;      // share of that at the start
  TimeUs warm_up = 2'000'000;  // until it is warm
  double fall_multiple = 3.0;  // of what it can do then
  TimeUs window = 1'000'000;
};

struct ColdStartFall {
  TimeUs at = 0;
  int exchange = -1;
  std::string text;
};

struct ColdStartVerdict {
  std::vector<ColdStartFall> falls;  // the first of each start at which softswitches are at fault
  std::size_t checked = 0;           // set-ups that reached a cold exchange
};

ColdStartVerdict CheckColdStarts(const std::vector<TrafficEvent>& events, const ColdStartSettings& settings);

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_COLD_START_CHECK_H_
