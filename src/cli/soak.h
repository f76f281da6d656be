// `croftrun lab soak`: seeded trials of a few real softswitch processes under fault injection.
#ifndef CROFTRUN_CLI_SOAK_H_
#define CROFTRUN_CLI_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

namespace croftrun::cli {

// The command-line options of `croftrun lab soak`.
struct SoakOptions {
  std::string edge_program, folder;
  std::uint64_t first_seed = 1;
  int count = 10;
  int jobs = 2;                            // trials that run in parallel
  int first_slot = 0;                      // first address range to use
  int max_megabytes = 64;                  // memory limit of a softswitch
  std::vector<std::string> only, without;  // kinds of faults to inject, or to leave out
  bool shrink = false, json = false, quiet = false, show_schedule = false;
};

// Runs a trial for each seed. Prints a line for each trial, its violations with a timeline of the first call of each
// violated check, and a summary by check and by kind of fault. Returns an ExitCode of cli/commands.h.
int RunSoak(const SoakOptions& options);

}  // namespace croftrun::cli

#endif  // CROFTRUN_CLI_SOAK_H_
