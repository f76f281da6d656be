// How attempts went by group over time: what `croftrun flow report` shows, as figures and as a picture. No I/O.
#ifndef CROFTRUN_FLOW_SHIFT_H_
#define CROFTRUN_FLOW_SHIFT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "flow/decode.h"

namespace croftrun::flow {

class Shift {
 public:
  struct Sums {
    std::uint64_t direct = 0, by_way_of = 0, not_stood = 0;  // stood on the first two
    std::uint64_t sent() const { return direct + by_way_of + not_stood; }
    void Add(const Sums& other) {
      direct += other.direct;
      by_way_of += other.by_way_of;
      not_stood += other.not_stood;
    }
  };
  struct Group {
    std::uint64_t exchange = 0, group = 0;  // whose, and the exchange at its other end
    Sums before, after;
    std::vector<Sums> bins;
  };
  struct Picture {
    std::string title;
    std::uint64_t bin_ms = 1000;
    std::vector<std::pair<std::uint64_t, std::string>> marks;  // Unix ms and what happened
  };

  // Attempt records count; of those marked as possibly repeated, each once.
  void Add(const DecodedRecord& record);
  std::uint64_t attempts() const { return attempts_.size(); }
  std::uint64_t repeated() const { return repeated_; }
  // Unix ms of the first attempt's start; 0 without any.
  std::uint64_t begins() const;
  // By exchange and group. Bins from the first attempt on, as many as are needed, kMostBins at most.
  std::vector<Group> Groups(std::uint64_t split_ms, std::uint64_t bin_ms) const;
  // A panel for each group, over time: stood, stood by way of a tandem, did not stand.
  std::string Svg(const Picture& picture) const;

  static constexpr std::uint64_t kMostBins = 600;

 private:
  struct Attempt {
    std::uint64_t exchange = 0, group = 0, start = 0;
    bool stood = false, tandem = false;
  };
  std::vector<Attempt> attempts_;
  std::unordered_set<std::uint64_t> seen_;
  std::uint64_t repeated_ = 0;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_SHIFT_H_
