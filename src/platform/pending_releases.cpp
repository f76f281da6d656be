#include "platform/pending_releases.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace croftrun::platform {
namespace {

// A release waits so long for a connection of its caller, and so many wait at once.
constexpr TimeUs kWaitsAtMost = 300'000'000;
constexpr std::size_t kMostReleases = 4096;
// A connection that breaks within this time of the write may have taken the release along; later ones were read.
constexpr TimeUs kMayBeLost = 200'000;
// An acknowledgement that did not come by then does not come.
constexpr TimeUs kAcknowledgedWithin = 2'000'000;
// Connections on which one release is written: nobody may know the call any more.
constexpr std::size_t kMostTries = 3;
// Hosts that are remembered as acknowledging.
constexpr std::size_t kMostHosts = 4096;

}  // namespace

void PendingReleases::Wait(PendingRelease release) {
  release.written_at = 0;
  if (releases_.size() >= kMostReleases) {
    // One that was written goes before one that waits.
    auto oldest = std::find_if(releases_.begin(), releases_.end(), [](const auto& x) { return x.written_at != 0; });
    if (oldest == releases_.end()) {
      oldest = releases_.begin();
      ++given_up_;
    }
    releases_.erase(oldest);
  }
  releases_.push_back(std::move(release));
}

void PendingReleases::Written(PendingRelease release, ConnectionNumber connection, ReadBy read_by, TimeUs now) {
  if (releases_.size() >= kMostReleases) return;
  release.written_at = now;
  release.written_on = connection;
  release.read_by = read_by;
  release.tried.insert(connection);
  releases_.push_back(std::move(release));
}

std::vector<PendingRelease> PendingReleases::TakeFor(std::uint32_t host, ConnectionNumber connection, TimeUs now) {
  std::vector<PendingRelease> taken;
  for (PendingRelease& release : releases_) {
    if (release.host != host || release.written_at != 0 || release.tried.count(connection) > 0) continue;
    release.written_at = now;
    release.written_on = connection;
    release.read_by = ReadBy::kHost;
    release.tried.insert(connection);
    taken.push_back(release);
  }
  return taken;
}

bool PendingReleases::WaitsFor(std::uint32_t host) const {
  return std::any_of(releases_.begin(), releases_.end(),
                     [host](const auto& release) { return release.host == host && release.written_at == 0; });
}

void PendingReleases::OnAcknowledged(std::uint32_t host, const std::string& id) {
  if (acknowledging_.size() < kMostHosts) acknowledging_.insert(host);
  releases_.remove_if([&](const auto& release) { return release.host == host && release.id == id; });
}

bool PendingReleases::Unread(const PendingRelease& release, ConnectionEnd end, TimeUs now) const {
  const bool lately = now <= release.written_at + kMayBeLost;
  switch (end) {
    case ConnectionEnd::kClosedUnwritten:
      return true;
    case ConnectionEnd::kFarEndReset:
      if (lately) return true;
      break;
    case ConnectionEnd::kFarEndClosed:
      if (lately) return Acknowledges(release.host);
      break;
    case ConnectionEnd::kClosedHere:
      break;
  }
  return release.read_by == ReadBy::kHost && Acknowledges(release.host);
}

std::list<PendingRelease>::iterator PendingReleases::Settle(std::list<PendingRelease>::iterator release, bool unread) {
  if (!unread || release->tried.size() >= kMostTries) return releases_.erase(release);
  release->written_at = 0;
  return std::next(release);
}

void PendingReleases::OnConnectionEnded(ConnectionNumber connection, ConnectionEnd end, TimeUs now) {
  for (auto release = releases_.begin(); release != releases_.end();) {
    const bool concerned = release->written_at != 0 && release->written_on == connection;
    release = concerned ? Settle(release, Unread(*release, end, now)) : std::next(release);
  }
}

std::size_t PendingReleases::Expire(TimeUs now) {
  for (auto release = releases_.begin(); release != releases_.end();) {
    const bool waits = release->written_at == 0;
    if (now >= release->since + kWaitsAtMost) {
      given_up_ += waits ? 1 : 0;
      release = releases_.erase(release);
    } else if (!waits && now >= release->written_at + kAcknowledgedWithin) {
      release = Settle(release, Acknowledges(release->host));
    } else {
      ++release;
    }
  }
  return std::exchange(given_up_, 0);
}

std::size_t PendingReleases::waiting() const {
  return static_cast<std::size_t>(
      std::count_if(releases_.begin(), releases_.end(), [](const auto& release) { return release.written_at == 0; }));
}

}  // namespace croftrun::platform
