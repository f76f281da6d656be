// Who may cost this agent anything that lasts: decisions only, no I/O, no clock.
//
// PeerGuard tells gateways from strangers and says when a stranger is answered at all. HistoryRoom shares out
// the table of remembered answers: by gateway, so that one that floods takes no other's room, and with a part
// kept for endpoints in use, so that a flood in a gateway's name (the source of a datagram is easily forged)
// leaves calls in progress theirs.
#ifndef CROFTRUN_MGCP_PEERS_H_
#define CROFTRUN_MGCP_PEERS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/runtime.h"

namespace croftrun::mgcp {

struct StrangerCounters {
  std::uint64_t commands = 0, responses = 0, malformed = 0;  // datagrams, by how they begin
  std::uint64_t answered = 0;
};

class PeerGuard {
 public:
  // Answers a second to all strangers together: enough that a gateway set up wrongly is told so, and no more
  // than a trickle towards whoever a forged source names.
  static constexpr double kAnswersPerSecond = 10.0;
  static constexpr double kAnswersAtOnce = 20.0;

  // With none named, everybody is known.
  void SetKnown(std::vector<std::uint32_t> hosts) {
    hosts_ = std::move(hosts);
    std::sort(hosts_.begin(), hosts_.end());
  }
  bool Knows(const core::Address& from) const {
    return hosts_.empty() || std::binary_search(hosts_.begin(), hosts_.end(), from.host);
  }
  std::size_t hosts() const { return std::max<std::size_t>(1, hosts_.size()); }
  // Whether this stranger's command is answered (with an error); counts it.
  bool MayAnswer(TimeUs now) {
    tokens_ = std::min(kAnswersAtOnce, tokens_ + static_cast<double>(now - filled_) * kAnswersPerSecond / 1e6);
    filled_ = now;
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  std::vector<std::uint32_t> hosts_;
  double tokens_ = kAnswersAtOnce;
  TimeUs filled_ = 0;
};

class HistoryRoom {
 public:
  // What an answer takes of the room; given back as it was taken.
  struct Place {
    std::uint32_t host = 0;
    std::uint64_t endpoint = 0;  // 0: not of the part kept for endpoints in use
  };
  // Of that part, at most so many answers for one endpoint: a call's events are a handful, a flood's are not.
  static constexpr std::size_t kMostForEndpoint = 16;

  HistoryRoom(std::size_t room, std::size_t hosts) : by_host_(room / hosts), open_(by_host_ - by_host_ / 4) {}

  // Room for an answer to `host`. `endpoint`: a hash that is not 0 where a call is in progress there. False:
  // none.
  bool Take(std::uint32_t host, std::uint64_t endpoint, Place* place) {
    std::size_t& taken = taken_[host];
    if (taken < open_) {
      ++taken;
      *place = {host, 0};
      return true;
    }
    if (taken >= by_host_ || endpoint == 0) return false;
    std::size_t& of_endpoint = of_endpoint_[endpoint];
    if (of_endpoint >= kMostForEndpoint) return false;
    ++of_endpoint;
    ++taken;
    *place = {host, endpoint};
    return true;
  }
  void GiveBack(const Place& place) {
    const auto host = taken_.find(place.host);
    if (host != taken_.end() && --host->second == 0) taken_.erase(host);
    if (place.endpoint == 0) return;
    const auto endpoint = of_endpoint_.find(place.endpoint);
    if (endpoint != of_endpoint_.end() && --endpoint->second == 0) of_endpoint_.erase(endpoint);
  }

 private:
  std::size_t by_host_, open_;
  std::unordered_map<std::uint32_t, std::size_t> taken_;
  std::unordered_map<std::uint64_t, std::size_t> of_endpoint_;
};

}  // namespace croftrun::mgcp

#endif  // CROFTRUN_MGCP_PEERS_H_
