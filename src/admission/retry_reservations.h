// Reservations for rejected callers: the time at which each one was asked to retry. Every slot of time holds as many
// reservations as can be served in it. Memory is fixed. No I/O, no clock.
#ifndef CROFTRUN_ADMISSION_RETRY_RESERVATIONS_H_
#define CROFTRUN_ADMISSION_RETRY_RESERVATIONS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::admission {

struct RetryReservationSettings {
  std::size_t max_reservations = 16'384;  // reservations held at once
  TimeUs slot_us = 100'000;               // length of a slot; retries are spread within it
  TimeUs horizon_us = 30'000'000;         // no reservation is further ahead than this
  // An arrival this much before or after its reserved time still counts as arriving as instructed.
  TimeUs early_tolerance_us = 100'000, late_tolerance_us = 1'000'000;
};

class RetryReservations {
 public:
  explicit RetryReservations(const RetryReservationSettings& settings);

  enum class ArrivalKind : std::uint8_t { kUnreserved, kAsInstructed, kEarly };
  // Compares an arrival with its reservation. An arrival as instructed uses the reservation up; for an early one, the
  // reservation stays and `*reserved_at` is its time.
  ArrivalKind ClassifyArrival(std::uint64_t key, TimeUs now, TimeUs* reserved_at);
  // Reserves a time for `key` in the first slot, not before `earliest`, that has fewer than `per_slot` reservations.
  // Returns the time reserved earlier if there is one, and nothing if no slot is free within the horizon and before
  // `latest`, or if the table is full. `position`, from 0 to below 1, is the place within the slot; a random one
  // spreads the callers.
  std::optional<TimeUs> Reserve(std::uint64_t key, TimeUs earliest, TimeUs latest, double per_slot, double position,
                                TimeUs now);
  std::size_t bytes() const { return entries_.size() * sizeof(Entry) + slots_.size() * sizeof(Slot); }

 private:
  struct Entry {
    std::uint64_t key = 0;
    TimeUs at = 0;  // 0: empty
  };
  struct Slot {
    std::uint64_t number = 0;
    std::uint32_t reserved = 0;
  };
  static constexpr std::size_t kMaxProbes = 8;
  // True of an empty entry and of one whose reservation has expired.
  bool IsFree(const Entry& entry, TimeUs now) const {
    return entry.at == 0 || entry.at + settings_.late_tolerance_us < now;
  }
  std::size_t FirstIndex(std::uint64_t key) const { return key & (entries_.size() - 1); }
  Slot& SlotOf(std::uint64_t number);

  RetryReservationSettings settings_;
  std::vector<Entry> entries_;  // hash table with open addressing; the size is a power of two
  std::vector<Slot> slots_;     // ring buffer that covers the horizon
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_RETRY_RESERVATIONS_H_
