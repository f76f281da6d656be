// One soak trial: real softswitch processes among stand-ins on loopback, a script of faults, and what was seen.
#ifndef CROFTRUN_LAB_SOAK_TRIAL_H_
#define CROFTRUN_LAB_SOAK_TRIAL_H_

#include <string>
#include <vector>

#include "lab/soak/judge.h"
#include "lab/soak/script.h"
#include "lab/soak/traffic.h"

namespace croftrun::lab::soak {

struct TrialOptions {
  std::string program;      // croftrun-edge
  std::string folder;       // for configurations and logs; created
  int slot = 0;             // the address range to begin with, 0 to 63; one that is taken is passed over
  int most_megabytes = 64;  // of a softswitch; a program built with sanitizers needs more
};

struct TrialResult {
  Script script;
  std::vector<TrafficEvent> events;
  Verdict verdict;
  TimeUs started = 0;  // on the clock of the events: the first call
};

// Runs to its end, on the calling thread. Throws std::runtime_error where it cannot be set up.
TrialResult RunTrial(const Script& script, const TrialOptions& options);

// The events that concern this call, its exchanges and its softswitch, as lines of text.
std::vector<std::string> TimelineOf(const TrialResult& result, const std::string& call);

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_TRIAL_H_
