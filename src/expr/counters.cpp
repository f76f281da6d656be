#include "expr/counters.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

#include "expr/hash.h"

namespace croftrun::expr {
namespace {

std::uint64_t CountSets(std::size_t keys, std::size_t ways) {
  return std::bit_ceil(std::max<std::uint64_t>(1, (keys + ways - 1) / ways));
}

}  // namespace

CounterTable::CounterTable(std::size_t keys, std::uint64_t window_us, std::uint64_t seed)
    : sets_(CountSets(keys, kWays)), slice_us_(std::max<std::uint64_t>(1, window_us / (kSlices - 1))), seed_(seed) {
  entries_.resize(sets_ * kWays);
}

std::uint32_t CounterTable::InWindow(const Entry& entry, std::uint64_t slice) {
  const std::uint64_t elapsed = slice > entry.last_slice ? slice - entry.last_slice : 0;
  if (elapsed >= kSlices) return 0;
  std::uint32_t sum = 0;
  for (const std::uint16_t count : entry.counts) sum += count;
  for (std::uint64_t i = 1; i <= elapsed; ++i) sum -= entry.counts[(entry.last_slice + i) % kSlices];
  return sum;
}

std::uint32_t CounterTable::Access(std::uint64_t now_us, std::uint64_t key, bool count) {
  const std::uint64_t hashed_key = std::max<std::uint64_t>(1, CombineHashes(key, seed_));
  const std::uint64_t slice = now_us / slice_us_;
  Entry* const entries = &entries_[(hashed_key & (sets_ - 1)) * kWays];
  Entry* slot = std::find_if(entries, entries + kWays, [&](const Entry& entry) { return entry.key == hashed_key; });
  if (slot == entries + kWays) {
    if (!count) return 0;
    std::uint32_t min_count = std::numeric_limits<std::uint32_t>::max();
    for (Entry* entry = entries; entry < entries + kWays; ++entry) {
      const std::uint32_t entry_count = entry->key == 0 ? 0 : InWindow(*entry, slice);
      if (entry_count < min_count || (entry_count == min_count && entry->inserted > slot->inserted))
        slot = entry, min_count = entry_count;
    }
    if (min_count > 0) ++stats_.displaced;
    *slot = Entry{};
    slot->key = hashed_key;
    slot->last_slice = slice;
    slot->inserted = ++insertions_;
  }
  const std::uint32_t sum = InWindow(*slot, slice);
  if (!count) return sum;
  for (std::uint64_t i = 1; i <= std::min<std::uint64_t>(slice - std::min(slice, slot->last_slice), kSlices); ++i)
    slot->counts[(slot->last_slice + i) % kSlices] = 0;
  slot->last_slice = std::max(slot->last_slice, slice);
  ++stats_.counted;
  std::uint16_t& present = slot->counts[slot->last_slice % kSlices];
  if (present == std::numeric_limits<std::uint16_t>::max()) return sum;
  ++present;
  return sum + 1;
}

DistinctTable::DistinctTable(std::size_t keys, std::uint64_t window_us, std::uint64_t seed)
    : sets_(CountSets(keys, kWays)), window_us_(std::max<std::uint64_t>(1, window_us)), seed_(seed) {
  entries_.resize(sets_ * kWays);
}

void DistinctTable::AdvanceWindow(Entry* entry, std::uint64_t window) {
  if (window <= entry->window) return;
  entry->previous = window == entry->window + 1 ? entry->current : Sketch{};
  entry->current = Sketch{};
  entry->window = window;
}

std::uint32_t DistinctTable::Estimate(const Entry& entry, std::uint64_t window) {
  if (entry.key == 0 || entry.window + 1 < window) return 0;
  // Sums 2^-rank in units of a fixed power of two, so that the sum is exact.
  constexpr int kUnit = 62;
  std::uint64_t sum = 0;
  std::size_t zeros = 0;
  for (std::size_t i = 0; i < kRegisters; ++i) {
    const std::uint8_t previous = entry.window < window ? 0 : entry.previous[i];
    const std::uint8_t rank = std::max(entry.current[i], previous);
    sum += std::uint64_t{1} << (kUnit - 6 - std::min<int>(rank, kUnit - 6));
    zeros += rank == 0 ? 1 : 0;
  }
  constexpr double kRegisterCount = kRegisters;
  const double estimate = 0.709 * kRegisterCount * kRegisterCount /
                          std::ldexp(static_cast<double>(sum), -(kUnit - 6));  // 0.709: bias constant for 64 registers
  if (estimate <= 2.5 * kRegisterCount && zeros > 0)
    return static_cast<std::uint32_t>(
        std::lround(kRegisterCount * std::log(kRegisterCount / static_cast<double>(zeros))));
  return static_cast<std::uint32_t>(std::min(estimate, 4e9));
}

std::uint32_t DistinctTable::Access(std::uint64_t now_us, std::uint64_t key, const std::uint64_t* item) {
  const std::uint64_t hashed_key = std::max<std::uint64_t>(1, CombineHashes(key, seed_));
  const std::uint64_t window = now_us / window_us_;
  Entry* const entries = &entries_[(hashed_key & (sets_ - 1)) * kWays];
  Entry* slot = std::find_if(entries, entries + kWays, [&](const Entry& entry) { return entry.key == hashed_key; });
  if (slot == entries + kWays) {
    if (item == nullptr) return 0;
    std::uint32_t min_count = std::numeric_limits<std::uint32_t>::max();
    for (Entry* entry = entries; entry < entries + kWays; ++entry) {
      const std::uint32_t entry_count = Estimate(*entry, window);
      if (entry_count < min_count || (entry_count == min_count && entry->inserted > slot->inserted))
        slot = entry, min_count = entry_count;
    }
    if (min_count > 0) ++displaced_;
    *slot = Entry{};
    slot->key = hashed_key;
    slot->window = window;
    slot->inserted = ++insertions_;
  }
  if (item != nullptr) {
    AdvanceWindow(slot, window);
    const std::uint64_t hash = CombineHashes(*item, ~seed_);
    std::uint8_t& rank = slot->current[hash % kRegisters];
    rank = std::max(rank, static_cast<std::uint8_t>(std::countl_zero(hash | kRegisters) + 1));
  }
  return Estimate(*slot, window);
}

}  // namespace croftrun::expr
