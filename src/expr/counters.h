// Counters by key over a sliding window in fixed memory, for rules such as "more than 5 attempts a minute from one
// line".
//
// The tables are set-associative with eight entries a set. A new key in a full set evicts the entry with the lowest
// count in the window, among equals the one that was inserted last, and its own count starts at one. In a flood of
// made-up keys that occur once each, these keys therefore evict each other rather than busy keys or keys that were
// there before the flood. Keys that first occur during a flood larger than the table may be undercounted, but never
// overcounted. The tables do no I/O, read no clock, and allocate no memory after construction.
#ifndef CROFTRUN_EXPR_COUNTERS_H_
#define CROFTRUN_EXPR_COUNTERS_H_

#include <array>
#include <cstdint>
#include <vector>

namespace croftrun::expr {

// Counts the calls of each key.
class CounterTable {
 public:
  struct Stats {
    std::uint64_t counted = 0, displaced = 0;  // displaced: evicted keys that still had a count
  };

  // `keys` is rounded up to a power of two of sets. `seed` prevents an attacker from choosing keys that share a set.
  CounterTable(std::size_t keys, std::uint64_t window_us, std::uint64_t seed);
  // Increments the count of the key and returns it. The count covers the last window and at most an eighth of a window
  // more.
  std::uint32_t Count(std::uint64_t now_us, std::uint64_t key) { return Access(now_us, key, true); }
  // Returns the count without incrementing it.
  std::uint32_t Read(std::uint64_t now_us, std::uint64_t key) { return Access(now_us, key, false); }
  const Stats& stats() const { return stats_; }
  std::size_t bytes() const { return entries_.size() * sizeof(Entry); }

 private:
  static constexpr std::size_t kWays = 8, kSlices = 9;  // eight slices cover a window, the ninth is the current one
  struct Entry {
    std::uint64_t key = 0;         // 0 if the entry is free
    std::uint64_t last_slice = 0;  // the last slice with a count
    std::uint32_t inserted = 0;    // sequence number of the insertion
    std::array<std::uint16_t, kSlices> counts{};
  };
  std::uint32_t Access(std::uint64_t now_us, std::uint64_t key, bool count);
  // Returns the sum of the slices that are still in the window.
  static std::uint32_t InWindow(const Entry& entry, std::uint64_t slice);

  std::vector<Entry> entries_;
  std::uint64_t sets_ = 1, slice_us_ = 1, seed_ = 0;
  std::uint32_t insertions_ = 0;
  Stats stats_;
};

// Estimates the number of distinct items of each key with a sketch of 64 registers (HyperLogLog, Flajolet and others
// 2007, with linear counting below 160). The estimate is exact enough to distinguish 5 from 50; above that, its error
// is about an eighth. It covers between one and two windows.
class DistinctTable {
 public:
  DistinctTable(std::size_t keys, std::uint64_t window_us, std::uint64_t seed);
  // Adds the item to the key and returns the estimate.
  std::uint32_t Count(std::uint64_t now_us, std::uint64_t key, std::uint64_t item) {
    return Access(now_us, key, &item);
  }
  // Returns the estimate without adding an item.
  std::uint32_t Read(std::uint64_t now_us, std::uint64_t key) { return Access(now_us, key, nullptr); }
  std::uint64_t displaced() const { return displaced_; }
  std::size_t bytes() const { return entries_.size() * sizeof(Entry); }

 private:
  static constexpr std::size_t kWays = 8, kRegisters = 64;
  using Sketch = std::array<std::uint8_t, kRegisters>;
  struct Entry {
    std::uint64_t key = 0;
    std::uint64_t window = 0;
    std::uint32_t inserted = 0;
    Sketch current{}, previous{};
  };
  std::uint32_t Access(std::uint64_t now_us, std::uint64_t key, const std::uint64_t* item);
  static void AdvanceWindow(Entry* entry, std::uint64_t window);
  static std::uint32_t Estimate(const Entry& entry, std::uint64_t window);

  std::vector<Entry> entries_;
  std::uint64_t sets_ = 1, window_us_ = 1, seed_ = 0;
  std::uint32_t insertions_ = 0;
  std::uint64_t displaced_ = 0;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_COUNTERS_H_
