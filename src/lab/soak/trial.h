// Runs one soak trial: real softswitch processes among stand-ins on loopback, with faults injected by a schedule.
#ifndef CROFTRUN_LAB_SOAK_TRIAL_H_
#define CROFTRUN_LAB_SOAK_TRIAL_H_

#include <string>
#include <vector>

#include "lab/soak/event_log.h"
#include "lab/soak/judge.h"
#include "lab/soak/schedule.h"

namespace croftrun::lab::soak {

// Options of one trial that do not depend on its schedule.
struct TrialOptions {
  std::string program;     // path of croftrun-edge
  std::string folder;      // for configurations and logs; created if it does not exist
  int slot = 0;            // preferred address range, 0 to 63; ranges in use are skipped
  int max_megabytes = 64;  // memory limit of a softswitch; a sanitized build needs more
};

// The event log of a trial and its verdict.
struct TrialResult {
  Schedule schedule;
  std::vector<TrialEvent> events;
  Verdict verdict;
  TimeUs start_time = 0;  // start of the traffic, on the clock of the events
};

// Runs a trial to its end on the calling thread. Throws std::runtime_error if it cannot be set up.
TrialResult RunTrial(const Schedule& schedule, const TrialOptions& options);

// The timeline of a call: the events of the call, its exchanges and its softswitch, one line of text each.
std::vector<std::string> TimelineOf(const TrialResult& result, const std::string& call);

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_TRIAL_H_
