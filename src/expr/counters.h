// Counts by key over a sliding window in fixed memory, for rules such as "more than 5 tries a minute from one line".
//
// A key has one place among the eight of its set. A new key in a full set takes the place that counted least in the
// window, of equals the one that came last; its own count starts at one. Made-up keys, each seen once, so displace each
// other, not those that are counted for being busy or were there before the flood; what comes during a flood that is
// larger than the table may be counted short, never over. No I/O, no clock, nothing allocated after the start.
#ifndef CROFTRUN_EXPR_COUNTERS_H_
#define CROFTRUN_EXPR_COUNTERS_H_

#include <array>
#include <cstdint>
#include <vector>

namespace croftrun::expr {

class CounterTable {
 public:
  struct Figures {
    std::uint64_t counted = 0, displaced = 0;  // displaced: keys that still had a count
  };

  // `keys` is rounded up to a power of two of sets. `seed` keeps others from choosing keys that fall into one set.
  CounterTable(std::size_t keys, std::uint64_t window_us, std::uint64_t seed);
  // Counts one for the key and returns its count: all of the last window, and at most an eighth of a window more.
  std::uint32_t Count(std::uint64_t now_us, std::uint64_t key) { return At(now_us, key, true); }
  // The count without counting.
  std::uint32_t Read(std::uint64_t now_us, std::uint64_t key) { return At(now_us, key, false); }
  const Figures& figures() const { return figures_; }
  std::size_t bytes() const { return entries_.size() * sizeof(Entry); }

 private:
  static constexpr std::size_t kWays = 8, kSlices = 9;  // eight slices are a window; the ninth is the one that fills
  struct Entry {
    std::uint64_t key = 0;    // 0: none
    std::uint64_t slice = 0;  // the last one counted in
    std::uint32_t order = 0;  // of coming, to tell the last
    std::array<std::uint16_t, kSlices> counts{};
  };
  std::uint32_t At(std::uint64_t now_us, std::uint64_t key, bool count);
  // The sum of the slices that the window has not left.
  static std::uint32_t InWindow(const Entry& entry, std::uint64_t slice);

  std::vector<Entry> entries_;
  std::uint64_t sets_ = 1, slice_us_ = 1, seed_ = 0;
  std::uint32_t order_ = 0;
  Figures figures_;
};

// How many different items a key was seen with, by a sketch of 64 registers (HyperLogLog, Flajolet and others 2007,
// with linear counting below 160): exact enough to tell 5 from 50, an eighth off above. Covers one window at least, two
// at most.
class DistinctTable {
 public:
  DistinctTable(std::size_t keys, std::uint64_t window_us, std::uint64_t seed);
  std::uint32_t Count(std::uint64_t now_us, std::uint64_t key, std::uint64_t item) { return At(now_us, key, &item); }
  std::uint32_t Read(std::uint64_t now_us, std::uint64_t key) { return At(now_us, key, nullptr); }
  std::uint64_t displaced() const { return displaced_; }
  std::size_t bytes() const { return entries_.size() * sizeof(Entry); }

 private:
  static constexpr std::size_t kWays = 8, kRegisters = 64;
  using Sketch = std::array<std::uint8_t, kRegisters>;
  struct Entry {
    std::uint64_t key = 0;
    std::uint64_t window = 0;
    std::uint32_t order = 0;
    Sketch now{}, before{};
  };
  std::uint32_t At(std::uint64_t now_us, std::uint64_t key, const std::uint64_t* item);
  static void Slide(Entry* entry, std::uint64_t window);
  static std::uint32_t Estimate(const Entry& entry, std::uint64_t window);

  std::vector<Entry> entries_;
  std::uint64_t sets_ = 1, window_us_ = 1, seed_ = 0;
  std::uint32_t order_ = 0;
  std::uint64_t displaced_ = 0;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_COUNTERS_H_
