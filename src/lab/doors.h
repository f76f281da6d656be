// Doors compared: the same evening, the same flood, another door before the same network. On virtual time,
// for docs/door.md.
#ifndef CROFTRUN_LAB_DOORS_H_
#define CROFTRUN_LAB_DOORS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::lab {

struct DoorsSettings {
  std::uint64_t seed = 1;
  // The network behind the door: so many set-ups at once take their time, more take longer in proportion.
  double at_once = 20.0;
  TimeUs set_up_us = 50'000;
  int quiet = 50;            // clients of one customer, of worth 2 a call
  double quiet_per_s = 2.0;  // calls of each
  int crowd = 60;            // clients of another, of worth 1; they dial again when refused, as told or after 300 ms
  double crowd_per_s = 4.0;
  double flood_per_s = 2'000;     // by one caller, under a new identity each
  TimeUs length_us = 40'000'000;  // the flood runs from a quarter to three quarters of it
  TimeUs patience_us = 2'000'000;
};

struct DoorFigures {
  std::string door;
  double goodput = 0.0;       // worth a second that stood in time, of who is no flood, while the flood runs
  double quiet_share = 0.0;   // of the quiet clients' calls that stood in time
  double worst_client = 0.0;  // the same of the quiet client that fared worst
  double crowd_share = 0.0;
  double p99_wait_ms = 0.0;  // at the door, of those let in
  double told_kept = 0.0;    // of those who came back as promised, let in and stood; -1: nobody was promised anything
  std::uint64_t most_waiting = 0;
};

// fair, fifo, token bucket, none.
const std::vector<std::string>& DoorNames();
DoorFigures PlayDoor(const std::string& door, const DoorsSettings& settings);

// Goodput and the quiet clients' share over the flood's rate, for each door.
struct DoorsCurve {
  std::vector<double> floods;
  std::vector<std::vector<DoorFigures>> by_door;  // [door][flood]
};
std::string DoorsPicture(const DoorsCurve& curve);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_DOORS_H_
