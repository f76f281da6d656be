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

void PendingReleases::Written(PendingRelease release, ConnectionNumber connection, TimeUs now) {
  if (releases_.size() >= kMostReleases) return;
  release.written_at = now;
  release.written_on = connection;
  release.tried.insert(connection);
  releases_.push_back(std::move(release));
}

std::vector<PendingRelease> PendingReleases::TakeFor(std::uint32_t host, ConnectionNumber connection, TimeUs now) {
  std::vector<PendingRelease> taken;
  for (PendingRelease& release : releases_) {
    if (release.host != host || release.written_at != 0 || release.tried.count(connection) > 0) continue;
    release.written_at = now;
    release.written_on = connection;
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

void PendingReleases::OnConnectionEnded(ConnectionNumber connection, bool reset, TimeUs now) {
  for (PendingRelease& release : releases_) {
    if (release.written_at == 0 || release.written_on != connection) continue;
    const bool lately = now <= release.written_at + kMayBeLost;
    const bool may_be_unread = reset || Acknowledges(release.host);
    if (lately && may_be_unread && release.tried.size() < kMostTries) release.written_at = 0;
  }
}

std::size_t PendingReleases::Expire(TimeUs now) {
  for (auto at = releases_.begin(); at != releases_.end();) {
    const bool waits = at->written_at == 0;
    const bool unanswered = !waits && now >= at->written_at + kAcknowledgedWithin;
    const bool told = unanswered && (!Acknowledges(at->host) || at->tried.size() >= kMostTries);
    if (now >= at->since + kWaitsAtMost || told) {
      given_up_ += waits ? 1 : 0;
      at = releases_.erase(at);
      continue;
    }
    if (unanswered) at->written_at = 0;
    ++at;
  }
  return std::exchange(given_up_, 0);
}

std::size_t PendingReleases::waiting() const {
  return static_cast<std::size_t>(
      std::count_if(releases_.begin(), releases_.end(), [](const auto& release) { return release.written_at == 0; }));
}

}  // namespace croftrun::platform
