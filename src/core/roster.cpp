#include "core/roster.h"

#include <algorithm>

namespace croftrun::core {

RosterView::UpdateResult RosterView::Apply(TimeUs now, const RosterUpdate& update, DirectoryUpdate* directory) {
  // Stale: duplicated or reordered in the network. Applying it would restore entries that have been removed.
  if (update.version <= version_) return UpdateResult::kStale;
  if (update.base && *update.base != version_) return UpdateResult::kGap;
  if (update.entries.size() > kMaxEntries) return UpdateResult::kTooManyEntries;
  directory->kind = update.base ? DirectoryKind::kDelta : DirectoryKind::kFull;
  directory->version = static_cast<std::uint32_t>(update.version);
  directory->entries.clear();
  for (const RosterEntry& entry : update.entries) {
    const auto found = known_.find(entry.exchange);
    const bool new_incarnation = found == known_.end() || entry.incarnation > found->second.incarnation;
    // An older incarnation than the one known is inconsistent. The update is still the latest by its version, and a
    // drain must be respected in any case, so its status is applied but its start time is not.
    if (new_incarnation) {
      Known known{entry.incarnation, 0};
      // A start before the origin of this clock is reported as long ago (0). Clamping it to the origin would make a
      // recently started edge treat every exchange that was ever replaced as warming up.
      if (entry.incarnation > 0) known.started_at_us = now > entry.age_us ? now - entry.age_us : 0;
      known_[entry.exchange] = known;
    }
    directory->entries.push_back({.exchange = entry.exchange,
                                  .zone = entry.zone,
                                  .number = entry.number,
                                  .status = entry.status,
                                  .started_at_us = known_[entry.exchange].started_at_us});
  }
  version_ = update.version;
  // Entries that a full list no longer contains are removed once there are too many.
  if (!update.base && known_.size() > kMaxEntries) {
    std::erase_if(known_, [&](const auto& known) {
      return std::none_of(update.entries.begin(), update.entries.end(),
                          [&](const RosterEntry& entry) { return entry.exchange == known.first; });
    });
  }
  return UpdateResult::kApplied;
}

}  // namespace croftrun::core
