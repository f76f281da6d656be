// Outcomes of attempts by trunk group over time, as `croftrun flow report` shows them in a table and a chart. No I/O.
#ifndef CROFTRUN_FLOW_ATTEMPT_REPORT_H_
#define CROFTRUN_FLOW_ATTEMPT_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "flow/decode.h"

namespace croftrun::flow {

class AttemptReport {
 public:
  struct Sums {
    // Attempts that were established on the direct group or via a tandem, and those that were not established.
    std::uint64_t direct = 0, via_tandem = 0, not_established = 0;
    std::uint64_t sent() const { return direct + via_tandem + not_established; }
    void Add(const Sums& other) {
      direct += other.direct;
      via_tandem += other.via_tandem;
      not_established += other.not_established;
    }
  };
  struct Group {
    std::uint64_t exchange = 0, group = 0;  // the exporting exchange, and the exchange at the far end
    Sums before, after;
    std::vector<Sums> bins;
  };
  struct Chart {
    std::string title;
    std::uint64_t bin_ms = 1000;
    std::vector<std::pair<std::uint64_t, std::string>> marks;  // Unix time in ms and a label
  };

  // Adds an attempt record; records of other kinds are ignored. One that is marked as possibly repeated and has been
  // seen before is not counted again.
  void Add(const DecodedRecord& record);
  // Number of attempts counted, and of repeats left out.
  std::uint64_t attempts() const { return attempts_.size(); }
  std::uint64_t repeated() const { return repeated_; }
  // Start of the first attempt, Unix time in ms; 0 if there is none.
  std::uint64_t start_ms() const;
  // Sums by exchange and group, before and after `split_ms`. The bins start at the first attempt; there are at most
  // kMaxBins.
  std::vector<Group> SumByGroup(std::uint64_t split_ms, std::uint64_t bin_ms) const;
  // Draws a chart over time with one panel per group: attempts established directly, established via a tandem, and not
  // established.
  std::string RenderSvg(const Chart& chart) const;

  static constexpr std::uint64_t kMaxBins = 600;

 private:
  struct Attempt {
    std::uint64_t exchange = 0, group = 0, start = 0;
    bool established = false, tandem = false;
  };
  std::vector<Attempt> attempts_;
  std::unordered_set<std::uint64_t> seen_attempts_;
  std::uint64_t repeated_ = 0;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_ATTEMPT_REPORT_H_
