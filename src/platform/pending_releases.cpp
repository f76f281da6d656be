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
// Time after which no acknowledgement is expected any more.
constexpr TimeUs kAcknowledgementTimeout = 2'000'000;
// Maximum number of connections on which a release is written: possibly no client knows the call any more.
constexpr std::size_t kMaxTries = 3;
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
    releases_.erase(oldest);
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
    release.recipient = Recipient::kHost;
    release.tried_connections.insert(connection);
    taken.push_back(release);
  }
  return taken;
}

bool PendingReleases::HasWaiting(std::uint32_t host) const {
  return std::any_of(releases_.begin(), releases_.end(),
                     [host](const auto& release) { return release.host == host && release.written_at == 0; });
}

void PendingReleases::OnAcknowledged(std::uint32_t host, const std::string& id) {
  if (acknowledging_hosts_.size() < kMaxAcknowledgingHosts) acknowledging_hosts_.insert(host);
  releases_.remove_if([&](const auto& release) { return release.host == host && release.id == id; });
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
    case ConnectionEnd::kClosedLocally:
      break;
  }
  return release.recipient == Recipient::kHost && HostAcknowledges(release.host);
}

std::list<PendingRelease>::iterator PendingReleases::FinishOrRequeue(std::list<PendingRelease>::iterator release,
                                                                     bool may_be_unread) {
  if (!may_be_unread || release->tried_connections.size() >= kMaxTries) return releases_.erase(release);
  release->written_at = 0;
  return std::next(release);
}

void PendingReleases::OnConnectionEnded(ConnectionNumber connection, ConnectionEnd end, TimeUs now) {
  for (auto release = releases_.begin(); release != releases_.end();) {
    const bool is_affected = release->written_at != 0 && release->written_on == connection;
    release = is_affected ? FinishOrRequeue(release, MayBeUnread(*release, end, now)) : std::next(release);
  }
}

std::size_t PendingReleases::Expire(TimeUs now) {
  for (auto release = releases_.begin(); release != releases_.end();) {
    const bool is_waiting = release->written_at == 0;
    if (now >= release->call_ended_at + kMaxWaitTime) {
      dropped_ += is_waiting ? 1 : 0;
      release = releases_.erase(release);
    } else if (!is_waiting && now >= release->written_at + kAcknowledgementTimeout) {
      release = FinishOrRequeue(release, HostAcknowledges(release->host));
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
