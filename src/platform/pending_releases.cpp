#include "platform/pending_releases.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace croftrun::platform {
namespace {

// Limits of the time that a release waits for a connection of its caller, and of the number of releases.
constexpr TimeUs kMaxWaitTime = 300'000'000;
constexpr std::size_t kMaxReleases = 4096;
// A release may be lost if its connection ends within this time after the write. A release written earlier has been
// read.
constexpr TimeUs kLossWindow = 200'000;
// Time after which no acknowledgement is expected any more. Where somebody else may have read the release, it leaves
// time for another connection within the second in which the caller has to be notified.
constexpr TimeUs kCallerAcknowledgementTimeout = 2'000'000, kHostAcknowledgementTimeout = 400'000;
// Maximum number of connections on which a release is written: possibly no client knows the call any more.
constexpr std::size_t kMaxTries = 3;
// Maximum number of releases that are remembered after they were delivered or dropped.
constexpr std::size_t kMaxFinishedReleases = 1024;
// Maximum number of hosts that are remembered as acknowledging.
constexpr std::size_t kMaxAcknowledgingHosts = 4096;

}  // namespace

void PendingReleases::Enqueue(PendingRelease release) {
  release.written_at = 0;
  if (releases_.size() >= kMaxReleases) {
    // Removes a written release before a waiting one.
    auto oldest = std::find_if(releases_.begin(), releases_.end(), [](const auto& x) { return x.written_at != 0; });
    if (oldest == releases_.end()) {
      oldest = releases_.begin();
      ++dropped_;
    }
    Finish(oldest);
  }
  releases_.push_back(std::move(release));
}

void PendingReleases::OnWritten(PendingRelease release, ConnectionNumber connection, Recipient recipient, TimeUs now) {
  if (releases_.size() >= kMaxReleases) return;
  release.written_at = now;
  release.written_on = connection;
  release.recipient = recipient;
  release.tried_connections.insert(connection);
  releases_.push_back(std::move(release));
}

std::vector<PendingRelease> PendingReleases::TakeWaiting(std::uint32_t host, ConnectionNumber connection, TimeUs now) {
  std::vector<PendingRelease> taken;
  for (PendingRelease& release : releases_) {
    if (release.host != host || release.written_at != 0 || release.tried_connections.count(connection) > 0) continue;
    release.written_at = now;
    release.written_on = connection;
    release.recipient = release.announced_on == connection ? Recipient::kCaller : Recipient::kHost;
    release.tried_connections.insert(connection);
    taken.push_back(release);
  }
  return taken;
}

bool PendingReleases::HasWaiting(std::uint32_t host) const {
  return std::any_of(releases_.begin(), releases_.end(),
                     [host](const auto& release) { return release.host == host && release.written_at == 0; });
}

bool PendingReleases::OnAcknowledged(std::uint32_t host, const std::string& id, ConnectionNumber connection) {
  if (acknowledging_hosts_.size() < kMaxAcknowledgingHosts) acknowledging_hosts_.insert(host);
  if (const Position release = Find(id); release != releases_.end() && release->host == host) Finish(release);
  const auto finished = finished_by_id_.find(id);
  if (finished == finished_by_id_.end()) return false;
  PendingRelease& release = *finished->second;
  if (release.host != host || release.tried_connections.count(connection) == 0) return false;
  if (release.written_on == connection && release.recipient == Recipient::kCaller)
    release.acknowledged_by_caller = true;
  return true;
}

bool PendingReleases::OnAnnounced(std::uint32_t host, const std::string& id, ConnectionNumber connection, TimeUs now) {
  Position release = Find(id);
  if (release == releases_.end()) {
    const auto finished = finished_by_id_.find(id);
    if (finished == finished_by_id_.end()) return false;
    release = finished->second;
    if (release->acknowledged_by_caller || release->tried_connections.count(connection) > 0) return true;
    finished_by_id_.erase(finished);
    releases_.splice(releases_.end(), finished_, release);
    release->call_ended_at = now;
    release->written_at = 0;
  }
  if (release->tried_connections.count(connection) > 0) return true;
  release->host = host;
  release->announced_on = connection;
  // Until its acknowledgement is overdue, the announcement may have crossed the release.
  if (IsOverdue(*release, now)) release->written_at = 0;
  return true;
}

bool PendingReleases::MayBeUnread(const PendingRelease& release, ConnectionEnd end, TimeUs now) const {
  const bool is_recent = now <= release.written_at + kLossWindow;
  switch (end) {
    case ConnectionEnd::kClosedWithUnwrittenData:
      return true;
    case ConnectionEnd::kPeerReset:
      if (is_recent) return true;
      break;
    case ConnectionEnd::kPeerClosed:
      if (is_recent) return HostAcknowledges(release.host);
      break;
    case ConnectionEnd::kClosedByShutdown:
      // Its acknowledgement may be on its way, and the host's other connections are closed at the same time.
      if (!IsOverdue(release, now)) return false;
      break;
    case ConnectionEnd::kClosedLocally:
      break;
  }
  return release.recipient == Recipient::kHost && HostAcknowledges(release.host);
}

std::list<PendingRelease>::iterator PendingReleases::FinishOrRequeue(std::list<PendingRelease>::iterator release,
                                                                     bool may_be_unread) {
  if (!may_be_unread || release->tried_connections.size() >= kMaxTries) return Finish(release);
  release->written_at = 0;
  return std::next(release);
}

PendingReleases::Position PendingReleases::Finish(Position release) {
  const Position next = std::next(release);
  if (const auto former = finished_by_id_.find(release->id); former != finished_by_id_.end())
    finished_.erase(former->second);
  finished_.splice(finished_.end(), releases_, release);
  finished_by_id_[release->id] = release;
  if (finished_.size() > kMaxFinishedReleases) {
    finished_by_id_.erase(finished_.front().id);
    finished_.pop_front();
  }
  return next;
}

PendingReleases::Position PendingReleases::Find(const std::string& id) {
  return std::find_if(releases_.begin(), releases_.end(), [&id](const auto& release) { return release.id == id; });
}

bool PendingReleases::WasAnnouncedElsewhere(const PendingRelease& release) {
  return release.announced_on != 0 && release.announced_on != release.written_on;
}

bool PendingReleases::IsOverdue(const PendingRelease& release, TimeUs now) {
  if (release.written_at == 0) return false;
  const bool read_by_caller = release.recipient == Recipient::kCaller && !WasAnnouncedElsewhere(release);
  return now >= release.written_at + (read_by_caller ? kCallerAcknowledgementTimeout : kHostAcknowledgementTimeout);
}

std::unordered_set<ConnectionNumber> PendingReleases::ConnectionsAwaitingAcknowledgement(TimeUs now) const {
  std::unordered_set<ConnectionNumber> connections;
  for (const PendingRelease& release : releases_) {
    if (release.written_at == 0 || IsOverdue(release, now)) continue;
    const bool may_be_sent_again =
        WasAnnouncedElsewhere(release) || (release.recipient == Recipient::kHost && HostAcknowledges(release.host));
    if (may_be_sent_again) connections.insert(release.written_on);
  }
  return connections;
}

void PendingReleases::OnConnectionEnded(ConnectionNumber connection, ConnectionEnd end, TimeUs now) {
  for (auto release = releases_.begin(); release != releases_.end();) {
    const bool is_affected = release->written_at != 0 && release->written_on == connection;
    const bool may_be_unread = WasAnnouncedElsewhere(*release) || MayBeUnread(*release, end, now);
    release = is_affected ? FinishOrRequeue(release, may_be_unread) : std::next(release);
  }
}

std::size_t PendingReleases::Expire(TimeUs now) {
  for (auto release = releases_.begin(); release != releases_.end();) {
    const bool is_waiting = release->written_at == 0;
    if (now >= release->call_ended_at + kMaxWaitTime) {
      dropped_ += is_waiting ? 1 : 0;
      release = Finish(release);
    } else if (IsOverdue(*release, now)) {
      release = FinishOrRequeue(release, WasAnnouncedElsewhere(*release) || HostAcknowledges(release->host));
    } else {
      ++release;
    }
  }
  return std::exchange(dropped_, 0);
}

std::size_t PendingReleases::waiting_count() const {
  return static_cast<std::size_t>(
      std::count_if(releases_.begin(), releases_.end(), [](const auto& release) { return release.written_at == 0; }));
}

}  // namespace croftrun::platform
