#include "expr/counters.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

#include "expr/hash.h"

namespace croftrun::expr {
namespace {

std::uint64_t Sets(std::size_t keys, std::size_t ways) {
  return std::bit_ceil(std::max<std::uint64_t>(1, (keys + ways - 1) / ways));
}

}  // namespace

CounterTable::CounterTable(std::size_t keys, std::uint64_t window_us, std::uint64_t seed)
    : sets_(Sets(keys, kWays)), slice_us_(std::max<std::uint64_t>(1, window_us / (kSlices - 1))), seed_(seed) {
  entries_.resize(sets_ * kWays);
}

std::uint32_t CounterTable::InWindow(const Entry& entry, std::uint64_t slice) {
  const std::uint64_t gone = slice > entry.slice ? slice - entry.slice : 0;
  if (gone >= kSlices) return 0;
  std::uint32_t sum = 0;
  for (const std::uint16_t count : entry.counts) sum += count;
  for (std::uint64_t i = 1; i <= gone; ++i) sum -= entry.counts[(entry.slice + i) % kSlices];
  return sum;
}

std::uint32_t CounterTable::At(std::uint64_t now_us, std::uint64_t key, bool count) {
  const std::uint64_t mixed = std::max<std::uint64_t>(1, HashBoth(key, seed_));
  const std::uint64_t slice = now_us / slice_us_;
  Entry* const set = &entries_[(mixed & (sets_ - 1)) * kWays];
  Entry* place = std::find_if(set, set + kWays, [&](const Entry& entry) { return entry.key == mixed; });
  if (place == set + kWays) {
    if (!count) return 0;
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (Entry* entry = set; entry < set + kWays; ++entry) {
      const std::uint32_t its = entry->key == 0 ? 0 : InWindow(*entry, slice);
      if (its < least || (its == least && entry->order > place->order)) place = entry, least = its;
    }
    if (least > 0) ++figures_.displaced;
    *place = Entry{};
    place->key = mixed;
    place->slice = slice;
    place->order = ++order_;
  }
  const std::uint32_t sum = InWindow(*place, slice);
  if (!count) return sum;
  for (std::uint64_t i = 1; i <= std::min<std::uint64_t>(slice - std::min(slice, place->slice), kSlices); ++i)
    place->counts[(place->slice + i) % kSlices] = 0;
  place->slice = std::max(place->slice, slice);
  ++figures_.counted;
  std::uint16_t& present = place->counts[place->slice % kSlices];
  if (present == std::numeric_limits<std::uint16_t>::max()) return sum;
  ++present;
  return sum + 1;
}

DistinctTable::DistinctTable(std::size_t keys, std::uint64_t window_us, std::uint64_t seed)
    : sets_(Sets(keys, kWays)), window_us_(std::max<std::uint64_t>(1, window_us)), seed_(seed) {
  entries_.resize(sets_ * kWays);
}

void DistinctTable::Slide(Entry* entry, std::uint64_t window) {
  if (window <= entry->window) return;
  entry->before = window == entry->window + 1 ? entry->now : Sketch{};
  entry->now = Sketch{};
  entry->window = window;
}

std::uint32_t DistinctTable::Estimate(const Entry& entry, std::uint64_t window) {
  if (entry.key == 0 || entry.window + 1 < window) return 0;
  // 2^-rank in units of 2^-62, so that the sum is a sum of integers.
  constexpr int kUnit = 62;
  std::uint64_t sum = 0;
  std::size_t zeros = 0;
  for (std::size_t i = 0; i < kRegisters; ++i) {
    const std::uint8_t before = entry.window < window ? 0 : entry.before[i];
    const std::uint8_t rank = std::max(entry.now[i], before);
    sum += std::uint64_t{1} << (kUnit - 6 - std::min<int>(rank, kUnit - 6));
    zeros += rank == 0 ? 1 : 0;
  }
  constexpr double kCount = kRegisters;
  const double estimate =
      0.709 * kCount * kCount / std::ldexp(static_cast<double>(sum), -(kUnit - 6));  // the constant for 64 registers
  if (estimate <= 2.5 * kCount && zeros > 0)
    return static_cast<std::uint32_t>(std::lround(kCount * std::log(kCount / static_cast<double>(zeros))));
  return static_cast<std::uint32_t>(std::min(estimate, 4e9));
}

std::uint32_t DistinctTable::At(std::uint64_t now_us, std::uint64_t key, const std::uint64_t* item) {
  const std::uint64_t mixed = std::max<std::uint64_t>(1, HashBoth(key, seed_));
  const std::uint64_t window = now_us / window_us_;
  Entry* const set = &entries_[(mixed & (sets_ - 1)) * kWays];
  Entry* place = std::find_if(set, set + kWays, [&](const Entry& entry) { return entry.key == mixed; });
  if (place == set + kWays) {
    if (item == nullptr) return 0;
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (Entry* entry = set; entry < set + kWays; ++entry) {
      const std::uint32_t its = Estimate(*entry, window);
      if (its < least || (its == least && entry->order > place->order)) place = entry, least = its;
    }
    if (least > 0) ++displaced_;
    *place = Entry{};
    place->key = mixed;
    place->window = window;
    place->order = ++order_;
  }
  if (item != nullptr) {
    Slide(place, window);
    const std::uint64_t hash = HashBoth(*item, ~seed_);
    std::uint8_t& rank = place->now[hash % kRegisters];
    rank = std::max(rank, static_cast<std::uint8_t>(std::countl_zero(hash | kRegisters) + 1));
  }
  return Estimate(*place, window);
}

}  // namespace croftrun::expr
