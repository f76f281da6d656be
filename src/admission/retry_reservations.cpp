#include "admission/retry_reservations.h"

#include <algorithm>
#include <bit>

namespace croftrun::admission {

RetryReservations::RetryReservations(const RetryReservationSettings& settings)
    : settings_(settings),
      entries_(std::bit_ceil(std::max<std::size_t>(kMaxProbes, settings.max_reservations * 2))),
      slots_(settings.horizon_us / settings.slot_us + 2) {}

RetryReservations::Slot& RetryReservations::SlotOf(std::uint64_t number) {
  Slot& slot = slots_[number % slots_.size()];
  if (slot.number != number) slot = {number, 0};
  return slot;
}

RetryReservations::ArrivalKind RetryReservations::ClassifyArrival(std::uint64_t key, TimeUs now, TimeUs* reserved_at) {
  for (std::size_t i = 0; i < kMaxProbes; ++i) {
    Entry& entry = entries_[(FirstIndex(key) + i) & (entries_.size() - 1)];
    if (entry.key != key || IsFree(entry, now)) continue;
    if (entry.at > now + settings_.early_tolerance_us) {
      *reserved_at = entry.at;
      return ArrivalKind::kEarly;
    }
    entry = {};
    return ArrivalKind::kAsInstructed;
  }
  return ArrivalKind::kUnreserved;
}

std::optional<TimeUs> RetryReservations::Reserve(std::uint64_t key, TimeUs earliest, TimeUs latest, double per_slot,
                                                 double position, TimeUs now) {
  Entry* free_entry = nullptr;
  for (std::size_t i = 0; i < kMaxProbes; ++i) {
    Entry& entry = entries_[(FirstIndex(key) + i) & (entries_.size() - 1)];
    if (entry.key == key && !IsFree(entry, now)) return entry.at;
    if (free_entry == nullptr && IsFree(entry, now)) free_entry = &entry;
  }
  if (free_entry == nullptr) return std::nullopt;
  latest = std::min(latest, now + settings_.horizon_us);
  for (std::uint64_t number = (earliest + settings_.slot_us - 1) / settings_.slot_us;
       number * settings_.slot_us <= latest; ++number) {
    Slot& slot = SlotOf(number);
    // If less than one call fits into a slot, only every n-th slot takes a reservation.
    const bool skipped = per_slot < 1.0 && number % static_cast<std::uint64_t>(1.0 / std::max(per_slot, 1e-3)) != 0;
    if (skipped || slot.reserved >= std::max(1.0, per_slot)) continue;
    ++slot.reserved;
    const TimeUs at =
        number * settings_.slot_us + static_cast<TimeUs>(position * static_cast<double>(settings_.slot_us));
    *free_entry = {key, std::min(at, latest)};
    return free_entry->at;
  }
  return std::nullopt;
}

}  // namespace croftrun::admission
