#include "core/roster.h"

#include <algorithm>

namespace croftrun::core {

RosterView::UpdateResult RosterView::Apply(TimeUs now, const RosterUpdate& update, DirectoryUpdate* directory) {
  // Old: doubled or overtaken on the way. Applying it would bring back what is gone.
  if (update.version <= version_) return UpdateResult::kStale;
  if (update.base && *update.base != version_) return UpdateResult::kGap;
  if (update.entries.size() > kMostEntries) return UpdateResult::kTooManyEntries;
  directory->kind = update.base ? DirectoryKind::kDelta : DirectoryKind::kFull;
  directory->version = static_cast<std::uint32_t>(update.version);
  directory->entries.clear();
  for (const RosterEntry& entry : update.entries) {
    const auto found = known_.find(entry.exchange);
    const bool fresh = found == known_.end() || entry.incarnation > found->second.incarnation;
    // An incarnation older than one seen is odd, but versions say which word is the last, and a drain must be kept
    // whoever erred: its state is believed, its start is not.
    if (fresh) {
      Known known{entry.incarnation, 0};
      // Started before this clock began: long ago (0), not at its first moment, or an edge that is young itself would
      // take every exchange that was ever replaced for a cold one.
      if (entry.incarnation > 0) known.since_us = now > entry.age_us ? now - entry.age_us : 0;
      known_[entry.exchange] = known;
    }
    directory->entries.push_back({.exchange = entry.exchange,
                                  .zone = entry.zone,
                                  .number = entry.number,
                                  .status = entry.status,
                                  .since_us = known_[entry.exchange].since_us});
  }
  version_ = update.version;
  // What a full list no longer names is forgotten once there is too much of it.
  if (!update.base && known_.size() > kMostEntries) {
    std::erase_if(known_, [&](const auto& known) {
      return std::none_of(update.entries.begin(), update.entries.end(),
                          [&](const RosterEntry& entry) { return entry.exchange == known.first; });
    });
  }
  return UpdateResult::kApplied;
}

}  // namespace croftrun::core
