// Comparison of admission policies under a flood of calls from made-up identities. Every policy gets the same traffic
// and the same network. Runs on virtual time; used for docs/door.md.
#ifndef CROFTRUN_LAB_ADMISSION_COMPARISON_H_
#define CROFTRUN_LAB_ADMISSION_COMPARISON_H_

#include <cstdint>
#include <string>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::lab {

// Traffic, network and duration of a comparison.
struct ComparisonSettings {
  std::uint64_t seed = 1;
  // The network behind admission control: up to `concurrency` set-ups at once take `set_up_us` each; beyond that, the
  // time grows in proportion.
  double concurrency = 20.0;
  TimeUs set_up_us = 50'000;
  int quiet_clients = 50;    // clients of one customer, whose calls have worth 2
  double quiet_per_s = 2.0;  // calls per second of each quiet client
  int crowd_clients = 60;    // clients of another customer, whose calls have worth 1; they redial when refused, at the
                             // time given or after 300 ms
  double crowd_per_s = 4.0;
  double flood_per_s = 2'000;     // calls of one caller, each under a new identity
  TimeUs length_us = 40'000'000;  // the flood starts after a quarter of it and ends after three quarters
  TimeUs caller_timeout_us = 2'000'000;
};

// Result of one policy at one flood rate.
struct PolicyResult {
  std::string policy;
  double goodput = 0.0;  // worth per second of the calls answered in time during the flood, without those of the flood
  double quiet_share = 0.0;   // share of the quiet clients' calls answered in time
  double worst_client = 0.0;  // the same for the worst-served quiet client
  double crowd_share = 0.0;
  double p99_wait_ms = 0.0;  // time that admitted calls waited
  // Share of the retries at a reserved time that were answered in time; -1: there was no such retry.
  double reservations_kept = 0.0;
  std::uint64_t max_queued = 0;
};

// Names of the policies: fair, fifo, token bucket, none.
const std::vector<std::string>& PolicyNames();
// Runs the comparison's traffic against one policy. Throws std::invalid_argument for an unknown name.
PolicyResult RunPolicy(const std::string& policy, const ComparisonSettings& settings);

// Results over the flood rate, for each policy.
struct ComparisonCurves {
  std::vector<double> flood_rates;                   // calls per second, ascending
  std::vector<std::vector<PolicyResult>> by_policy;  // [policy][flood]
};
// Returns an SVG chart of the goodput and of the quiet clients' share over the flood rate.
std::string RenderComparison(const ComparisonCurves& curve);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_ADMISSION_COMPARISON_H_
