// What to do about the connection to one collector: when to connect, when to give up on it, when to trust it again. No
// I/O, no clock: it is told the time, and tested on a made-up one.
#ifndef CROFTRUN_FLOW_LINK_STATE_H_
#define CROFTRUN_FLOW_LINK_STATE_H_

#include <cstdint>
#include <optional>

namespace croftrun::flow {

struct LinkSettings {
  std::uint64_t least_wait_us = 250'000;  // before the first attempt after a failure
  std::uint64_t longest_wait_us = 30'000'000;
  std::uint64_t connect_us = 5'000'000;  // a connection that takes longer is given up
  std::uint64_t stall_us = 10'000'000;   // nothing acknowledged for so long: it reads no more, or is half open
  // A connection that falls sooner proves nothing: a collector that accepts and resets, or whose refusal of our
  // certificate comes after the handshake (TLS 1.3), acknowledges octets that it never reads.
  std::uint64_t prove_us = 1'000'000;
  std::uint64_t steady_us = 20'000'000;  // up so long, it is no flapping one
};

class LinkState {
 public:
  enum class Phase : std::uint8_t { kDown, kConnecting, kUp };
  struct Counters {
    std::uint64_t connects = 0, failures = 0, stalls = 0, flaps = 0;
  };

  // `seed`: of the jitter, so that the exporters of a network do not come back in step.
  LinkState(const LinkSettings& settings, std::uint64_t seed) : settings_(settings), chance_(seed | 1U) {}

  Phase phase() const { return phase_; }
  // When down: from when on to connect.
  std::uint64_t connect_at() const { return connect_at_; }
  void OnConnecting(std::uint64_t now);
  void OnUp(std::uint64_t now);
  // Refused, closed, reset, or given up here.
  void OnDown(std::uint64_t now);
  // Closed here in order, to be made anew at once: no failure.
  void OnRenewed(std::uint64_t now);
  // Octets are under way from now on, or were already.
  void OnWriteBegun(std::uint64_t now) { writing_since_ = writing_since_.value_or(now); }
  // The other machine acknowledged some.
  void OnProgress(std::uint64_t now);
  // All are acknowledged.
  void OnWriteDone(std::uint64_t now);
  // Up for so long that what the other machine acknowledged is taken as read.
  bool Proven(std::uint64_t now) const { return phase_ == Phase::kUp && now - since_ >= settings_.prove_us; }
  // When the present wait is to be given up; nothing while there is none.
  std::optional<std::uint64_t> GiveUpAt() const;
  // It is that late: the connection is to be closed, and OnDown follows.
  bool Overdue(std::uint64_t now);
  const Counters& counters() const { return counters_; }

 private:
  LinkSettings settings_;
  std::uint64_t chance_;
  Phase phase_ = Phase::kDown;
  std::uint64_t connect_at_ = 0, since_ = 0, wait_ = 0;
  std::optional<std::uint64_t> writing_since_;
  Counters counters_;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_LINK_STATE_H_
