// The edge's view of the roster: applies updates in order and detects stale and missing ones.
//
// Versions increase strictly. A delta applies only to the version it names as its base. The roster states the age of a
// process instead of its start time, since clocks differ. The start time is derived once per incarnation, so that a
// repeated entry is not mistaken for a restart. No I/O.
#ifndef CROFTRUN_CORE_ROSTER_H_
#define CROFTRUN_CORE_ROSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::core {

// State of one exchange as stated by the roster.
struct RosterEntry {
  ExchangeId exchange = 0;
  int number = 0;
  int zone = 0;
  ExchangeStatus status = ExchangeStatus::kReady;
  std::uint32_t incarnation = 0;  // increases with each start; 0: not restarted since long ago
  TimeUs age_us = 0;              // age of this incarnation when the update was sent
};

// A full list or a delta.
struct RosterUpdate {
  std::uint64_t version = 0;
  std::optional<std::uint64_t> base;  // base version of a delta; empty: full list
  std::vector<RosterEntry> entries;
};

// Tracks the roster version and the known incarnations.
class RosterView {
 public:
  enum class UpdateResult { kApplied, kStale, kGap, kTooManyEntries };
  static constexpr std::size_t kMaxEntries = 4096;

  // On kApplied, `*directory` is the update to pass to the module. kGap: updates are missing, the full list must be
  // requested.
  UpdateResult Apply(TimeUs now, const RosterUpdate& update, DirectoryUpdate* directory);
  std::uint64_t version() const { return version_; }

 private:
  struct Known {
    std::uint32_t incarnation = 0;
    TimeUs started_at_us = 0;
  };
  std::uint64_t version_ = 0;
  std::map<ExchangeId, Known> known_;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_ROSTER_H_
