// Announcements of calls at exchanges that the directory does not list yet.
//
// The directory tells of the start of an exchange some seconds late. A process of the softswitch that starts in the
// meantime hears from callers of calls at an exchange that it does not know. Such an announcement waits for a while
// before the call counts as lost.
#ifndef CROFTRUN_PLATFORM_PENDING_ANNOUNCEMENTS_H_
#define CROFTRUN_PLATFORM_PENDING_ANNOUNCEMENTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/call_core.h"
#include "platform/pending_releases.h"

namespace croftrun::platform {

// The announcement of a call that is established at the exchange with the uid `at`.
struct PendingAnnouncement {
  std::string id;  // of the call
  std::string at;
  core::CallRequest request;
  std::uint32_t host = 0;           // address of the caller
  ConnectionNumber connection = 0;  // connection of the announcement
  TimeUs expires_at = 0;
};

// Keeps a limited number of announcements until their exchange is listed or they expire.
class PendingAnnouncements {
 public:
  explicit PendingAnnouncements(std::size_t max_count) : max_count_(max_count) {}
  // Adds an announcement, in place of an earlier one of the same call. Returns false if there is no room.
  bool Add(PendingAnnouncement announcement) {
    if (by_id_.count(announcement.id) == 0 && by_id_.size() >= max_count_) return false;
    by_id_.insert_or_assign(announcement.id, std::move(announcement));
    return true;
  }
  void Remove(const std::string& id) { by_id_.erase(id); }
  // Removes and returns the announcements for which `is_listed(at)` returns true, and those that have expired.
  template <typename IsListed>
  std::vector<PendingAnnouncement> TakeDue(TimeUs now, const IsListed& is_listed) {
    std::vector<PendingAnnouncement> due;
    for (auto position = by_id_.begin(); position != by_id_.end();) {
      if (now < position->second.expires_at && !is_listed(position->second.at)) {
        ++position;
        continue;
      }
      due.push_back(std::move(position->second));
      position = by_id_.erase(position);
    }
    return due;
  }
  std::size_t size() const { return by_id_.size(); }

 private:
  const std::size_t max_count_;
  std::map<std::string, PendingAnnouncement> by_id_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_PENDING_ANNOUNCEMENTS_H_
