// `croftrun lab soak`: seeded trials of a handful of real softswitch processes under faults.
#ifndef CROFTRUN_CLI_SOAK_H_
#define CROFTRUN_CLI_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

namespace croftrun::cli {

struct SoakRun {
  std::string edge_program, folder;
  std::uint64_t first_seed = 1;
  int count = 10;
  int jobs = 2;                            // trials at the same time
  int first_slot = 0;                      // the first of their address ranges
  int most_megabytes = 64;                 // of a softswitch
  std::vector<std::string> only, without;  // kinds of faults
  bool shrink = false, json = false, quiet = false, show_script = false;
};

// Plays the seeds and prints a line for each, findings with the timeline of the first call, and a summary by rule and
// by kind of fault. Returns an ExitCode of cli/commands.h.
int RunSoak(const SoakRun& options);

}  // namespace croftrun::cli

#endif  // CROFTRUN_CLI_SOAK_H_
