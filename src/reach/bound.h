// What was within reach: an upper bound on the worth that any routing could have answered on a day.
//
// A linear relaxation over short intervals. Calls are split at will; a call keeps its circuits for the mean
// of its holding time, spread over the intervals; processors and groups are held to what they can do over
// each interval, not at each instant. What it leaves out, all in favour of the bound: that calls are whole;
// that knowledge is late; work for calls that are refused, repeated or cut; that calls are cut; jams within
// an interval; and in large networks (`by_tandem` false) which tandem a call goes over: only that it takes
// two circuits, one at either end. No I/O. The solver is CLP (COIN-OR).
#ifndef CROFTRUN_REACH_BOUND_H_
#define CROFTRUN_REACH_BOUND_H_

#include <cstddef>
#include <string>
#include <vector>

namespace croftrun::reach {

struct ClassOfCall {
  double worth = 1.0, late_worth = 0.0;  // late: this share of the worth
  double width = 1.0;                    // circuits on each group
  // [d]: the mean share of the d-th interval after that of its answer (0: the same one) in which it keeps its
  // circuits.
  std::vector<double> keeps;
  std::vector<double> leaves;  // [d]: the share of such calls that end in that interval
  std::size_t in_time = 1;     // answered so many intervals after that of its offer, a call may still be in time ...
  std::size_t late = 1;        // ... or late, but before its caller gives up
};

struct Demand {
  std::size_t from = 0, to = 0, call_class = 0, interval = 0;
  double calls = 0.0;
  bool crowded = false;  // to the number with few lines
};

struct Group {
  std::size_t a = 0, b = 0;
  std::vector<double> circuits;  // by interval
};

// Work in units of the processors' figures.
struct Work {
  double origin = 0.0, destination = 0.0,
         tandem = 0.0;  // of a call, at each exchange on its way, up to its answer
  double origin_end = 0.0, destination_end = 0.0, tandem_end = 0.0;  // and of its release
};

struct Problem {
  std::size_t exchanges = 0, intervals = 0;
  std::vector<ClassOfCall> classes;
  std::vector<Demand> demands;
  std::vector<Group> groups;
  std::vector<std::vector<double>> processor;  // [exchange][interval]: work it can do
  Work work;
  std::vector<double> crowded_lines;  // of the crowded number, by interval; empty: no limit
  std::size_t most_columns = 60'000;  // tandems are told apart while the program stays under this
  double most_seconds = 60.0;         // for the solver
};

struct Bound {
  bool solved = false;
  double worth = 0.0;    // the bound
  double offered = 0.0;  // worth of all demands, for the share
  bool by_tandem = false;
  std::vector<double> served;  // calls of each class in time, in the best program found
  // Worth that one more per cent of all groups, or of all processors, would have been good for.
  double for_circuits = 0.0, for_processors = 0.0;
  std::size_t columns = 0, rows = 0;
  double Share() const { return offered > 0.0 ? worth / offered : 1.0; }
};

Bound UpperBound(const Problem& problem);

// `keeps` of a class whose holding times are exponential with this mean; of calls answered evenly over an
// interval.
std::vector<double> Keeps(double mean_us, double interval_us, std::size_t intervals);
// `leaves` of the same.
std::vector<double> Leaves(double mean_us, double interval_us, std::size_t intervals);

}  // namespace croftrun::reach

#endif  // CROFTRUN_REACH_BOUND_H_
