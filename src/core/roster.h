// The roster as this edge knows it: which updates are new, which are old, where some are missing.
//
// Versions only grow; a delta applies to the version it names as its base and to no other. A roster tells the age of
// a process, not a time, since clocks differ; the start is worked out once for each incarnation, so that a repeated
// entry never looks like a fresh start. No I/O.
#ifndef CROFTRUN_CORE_ROSTER_H_
#define CROFTRUN_CORE_ROSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::core {

struct RosterEntry {
  ExchangeId exchange = 0;
  int number = 0;
  int zone = 0;
  ExchangeStatus status = ExchangeStatus::kReady;
  std::uint32_t incarnation = 0;  // grows with each start; 0: its first, long ago
  TimeUs age_us = 0;              // of that incarnation, when the update was sent
};

struct RosterUpdate {
  std::uint64_t version = 0;
  std::optional<std::uint64_t> base;  // a delta's; nothing: the full list
  std::vector<RosterEntry> entries;
};

class RosterView {
 public:
  enum class UpdateResult { kApplied, kStale, kGap, kTooManyEntries };
  static constexpr std::size_t kMostEntries = 4096;

  // On kApplied, `*directory` is what the module is to be told. kGap: the full list is needed.
  UpdateResult Apply(TimeUs now, const RosterUpdate& update, DirectoryUpdate* directory);
  std::uint64_t version() const { return version_; }

 private:
  struct Known {
    std::uint32_t incarnation = 0;
    TimeUs since_us = 0;
  };
  std::uint64_t version_ = 0;
  std::map<ExchangeId, Known> known_;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_ROSTER_H_
