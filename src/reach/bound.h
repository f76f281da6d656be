// An upper bound on the worth that any routing could have served on a given day, by linear programming.
//
// The linear program is a relaxation over short intervals. Calls may be split into fractions. A call occupies its
// circuits for the mean of its holding time, spread over the intervals. The capacity of processors and groups limits
// the sum over each interval, not the load at each instant. The relaxation ignores the following, all of which can only
// raise the bound: that calls are indivisible; that information about the network arrives late; processor work for
// calls that are refused, retried or terminated; that calls are terminated; congestion within an interval; and, in
// large networks (`by_tandem` false), which tandem a call uses: there it only occupies two circuits, one at either end.
// No I/O. The solver is CLP (COIN-OR).
#ifndef CROFTRUN_REACH_BOUND_H_
#define CROFTRUN_REACH_BOUND_H_

#include <cstddef>
#include <string>
#include <vector>

namespace croftrun::reach {

// A class of calls.
struct ClassOfCall {
  double worth = 1.0, late_worth = 0.0;  // late_worth: share of the worth if answered late
  double width = 1.0;                    // circuits that a call takes on each group
  // occupancy[d]: the mean share of the d-th interval after the one of the answer (d = 0) in which a call occupies its
  // circuits.
  std::vector<double> occupancy;
  std::vector<double> releases;  // releases[d]: the share of calls that are released in that interval
  // A call may be answered in time up to this number of intervals after its offer ...
  std::size_t in_time_intervals = 1;
  std::size_t late_intervals = 1;  // ... and late, before the caller gives up, up to this number
};

// Calls of one class between two exchanges that are offered in one interval.
struct Demand {
  std::size_t from = 0, to = 0, call_class = 0, interval = 0;
  double calls = 0.0;
  bool crowded = false;  // calls to the number with few lines
};

// The trunk group between two exchanges.
struct Group {
  std::size_t a = 0, b = 0;
  std::vector<double> circuits;  // by interval
};

// Processor work of one call at each exchange on its route, in the unit of Problem::processor.
struct Work {
  double origin = 0.0, destination = 0.0, tandem = 0.0;              // from the offer to the answer
  double origin_end = 0.0, destination_end = 0.0, tandem_end = 0.0;  // for the release
};

// The day to compute the bound for.
struct Problem {
  std::size_t exchanges = 0, intervals = 0;
  std::vector<ClassOfCall> classes;
  std::vector<Demand> demands;
  std::vector<Group> groups;
  std::vector<std::vector<double>> processor;  // capacity, by exchange and interval
  Work work;
  std::vector<double> crowded_lines;  // lines of the crowded number, by interval; empty: no limit
  std::size_t max_columns = 60'000;   // a larger linear program does not distinguish tandems
  double max_solver_seconds = 60.0;
};

// The result.
struct Bound {
  bool solved = false;
  double worth = 0.0;          // the upper bound
  double offered = 0.0;        // worth of all demands
  bool by_tandem = false;      // whether the linear program distinguishes tandems
  std::vector<double> served;  // calls of each class answered in time in the optimal solution
  // Worth gained by 1% more circuits in all groups, or by 1% more capacity of all processors.
  double worth_of_one_percent_circuits = 0.0, worth_of_one_percent_processing = 0.0;
  std::size_t columns = 0, rows = 0;  // size of the linear program
  // The bound as a share of the offered worth.
  double Share() const { return offered > 0.0 ? worth / offered : 1.0; }
};

// Computes the upper bound.
Bound UpperBound(const Problem& problem);

// ClassOfCall::occupancy for exponentially distributed holding times with this mean, if answers are distributed evenly
// over an interval.
std::vector<double> ExponentialOccupancy(double mean_us, double interval_us, std::size_t intervals);
// ClassOfCall::releases for the same calls.
std::vector<double> ExponentialReleases(double mean_us, double interval_us, std::size_t intervals);

}  // namespace croftrun::reach

#endif  // CROFTRUN_REACH_BOUND_H_
