// State of the connection to one collector: when to connect, when an operation times out, when the connection counts as
// confirmed. No I/O and no clock: the caller passes the time, so that tests can use a simulated one.
#ifndef CROFTRUN_FLOW_CONNECTION_STATE_H_
#define CROFTRUN_FLOW_CONNECTION_STATE_H_

#include <cstdint>
#include <optional>

namespace croftrun::flow {

// Back-off and time-outs of the connection to a collector.
struct ConnectionSettings {
  std::uint64_t min_backoff_us = 250'000;  // before the first reconnect after a failure
  std::uint64_t max_backoff_us = 30'000'000;
  std::uint64_t connect_timeout_us = 5'000'000;  // time-out of a connection attempt
  std::uint64_t stall_timeout_us = 10'000'000;   // no acknowledgement for this long: the collector stopped reading, or
                                                 // the connection is half open
  // Acknowledgements on a connection that breaks sooner do not count. The host of a collector that accepts and resets,
  // or that rejects our certificate after the handshake (TLS 1.3), acknowledges octets that the collector never reads.
  std::uint64_t confirm_time_us = 1'000'000;
  std::uint64_t stable_time_us = 20'000'000;  // a connection that lasts this long is not flapping
};

// Phase, back-off and time-outs of one connection.
class ConnectionState {
 public:
  enum class Phase : std::uint8_t { kDown, kConnecting, kUp };
  struct Counters {
    std::uint64_t connects = 0, failures = 0, stalls = 0, flaps = 0;
  };

  // `seed` seeds the jitter, so that the exporters of a network do not reconnect in step.
  ConnectionState(const ConnectionSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed | 1U) {}

  Phase phase() const { return phase_; }
  // While down, the time of the next connection attempt.
  std::uint64_t connect_at() const { return connect_at_; }
  // A connection attempt starts.
  void OnConnecting(std::uint64_t now);
  // The connection is open, with TLS after the handshake.
  void OnConnected(std::uint64_t now);
  // The connection was refused, closed, reset, or given up by this side.
  void OnDisconnected(std::uint64_t now);
  // This side closed the connection to open a new one at once; not counted as a failure.
  void OnReplaced(std::uint64_t now);
  // Octets are written and await acknowledgement, from now on or since earlier.
  void OnWriteStarted(std::uint64_t now) { unacknowledged_since_ = unacknowledged_since_.value_or(now); }
  // The collector's host acknowledged some octets.
  void OnAcknowledged(std::uint64_t now);
  // All octets are acknowledged.
  void OnAllAcknowledged(std::uint64_t now);
  // Up for long enough that acknowledged octets are taken as read by the collector.
  bool IsConfirmed(std::uint64_t now) const {
    return phase_ == Phase::kUp && now - phase_since_ >= settings_.confirm_time_us;
  }
  // When the current operation times out; nothing if none is in progress.
  std::optional<std::uint64_t> TimeoutAt() const;
  // True if the current operation has timed out. The caller then closes the connection and calls OnDisconnected. Counts
  // stalls.
  bool CheckTimeout(std::uint64_t now);
  const Counters& counters() const { return counters_; }

 private:
  ConnectionSettings settings_;
  std::uint64_t random_;
  Phase phase_ = Phase::kDown;
  std::uint64_t connect_at_ = 0, phase_since_ = 0, backoff_us_ = 0;
  std::optional<std::uint64_t> unacknowledged_since_;
  Counters counters_;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_CONNECTION_STATE_H_
