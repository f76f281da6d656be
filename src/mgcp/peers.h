// Limits on what a peer may cost this call agent. Decisions only: no I/O and no clock.
//
// PeerFilter tells configured gateways from unknown hosts and limits the rate of responses to unknown hosts.
// HistoryQuota divides the capacity of the response history among the gateways, so that a gateway that floods uses
// no capacity of another one. A part of each share is reserved for endpoints with a call in progress, so that a
// flood with a gateway's forged source address leaves capacity for those calls.
#ifndef CROFTRUN_MGCP_PEERS_H_
#define CROFTRUN_MGCP_PEERS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/runtime.h"

namespace croftrun::mgcp {

// Datagrams from unknown hosts.
struct UnknownHostCounters {
  std::uint64_t commands = 0, responses = 0, malformed = 0;  // classified by their first octet only
  std::uint64_t answered = 0;                                // commands that received an error response
};

// Distinguishes configured hosts from unknown ones.
class PeerFilter {
 public:
  // Limits for error responses to all unknown hosts together. They are enough for a misconfigured gateway to receive
  // an error, but too few to harm a host whose address was forged as the source.
  static constexpr double kAnswersPerSecond = 10.0;
  static constexpr double kAnswerBurst = 20.0;

  // If `hosts` is empty, every host is known.
  void SetKnownHosts(std::vector<std::uint32_t> hosts) {
    hosts_ = std::move(hosts);
    std::sort(hosts_.begin(), hosts_.end());
  }
  bool IsKnown(const core::Address& from) const {
    return hosts_.empty() || std::binary_search(hosts_.begin(), hosts_.end(), from.host);
  }
  // The number of known hosts, at least 1.
  std::size_t host_count() const { return std::max<std::size_t>(1, hosts_.size()); }
  // Takes a token for an error response to an unknown host. Returns false if the rate limit is reached.
  bool TryConsumeAnswer(TimeUs now) {
    tokens_ = std::min(kAnswerBurst, tokens_ + static_cast<double>(now - last_refill_) * kAnswersPerSecond / 1e6);
    last_refill_ = now;
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  std::vector<std::uint32_t> hosts_;
  double tokens_ = kAnswerBurst;
  TimeUs last_refill_ = 0;
};

// Divides the capacity of the response history equally among hosts. A quarter of each host's share is reserved for
// endpoints with a call in progress.
class HistoryQuota {
 public:
  // The capacity used by one response. Pass it to Release to release it.
  struct Reservation {
    std::uint32_t host = 0;
    std::uint64_t endpoint = 0;  // 0: not taken from the reserved part
  };
  // Limit of responses for one endpoint in the reserved part. The events of a call need only a few.
  static constexpr std::size_t kMaxPerEndpoint = 16;

  HistoryQuota(std::size_t capacity, std::size_t hosts)
      : capacity_per_host_(capacity / hosts), unreserved_per_host_(capacity_per_host_ - capacity_per_host_ / 4) {}

  // Reserves capacity for a response to `host`. `endpoint` is a hash of the endpoint if a call is in progress there,
  // otherwise 0. Returns false if no capacity is left.
  bool TryReserve(std::uint32_t host, std::uint64_t endpoint, Reservation* reservation) {
    std::size_t& used_by_host = used_by_host_[host];
    if (used_by_host < unreserved_per_host_) {
      ++used_by_host;
      *reservation = {host, 0};
      return true;
    }
    if (used_by_host >= capacity_per_host_ || endpoint == 0) return false;
    std::size_t& used_by_endpoint = used_by_endpoint_[endpoint];
    if (used_by_endpoint >= kMaxPerEndpoint) return false;
    ++used_by_endpoint;
    ++used_by_host;
    *reservation = {host, endpoint};
    return true;
  }
  // Releases capacity reserved by TryReserve.
  void Release(const Reservation& reservation) {
    const auto host = used_by_host_.find(reservation.host);
    if (host != used_by_host_.end() && --host->second == 0) used_by_host_.erase(host);
    if (reservation.endpoint == 0) return;
    const auto endpoint = used_by_endpoint_.find(reservation.endpoint);
    if (endpoint != used_by_endpoint_.end() && --endpoint->second == 0) used_by_endpoint_.erase(endpoint);
  }

 private:
  std::size_t capacity_per_host_, unreserved_per_host_;
  std::unordered_map<std::uint32_t, std::size_t> used_by_host_;
  std::unordered_map<std::uint64_t, std::size_t> used_by_endpoint_;
};

}  // namespace croftrun::mgcp

#endif  // CROFTRUN_MGCP_PEERS_H_
