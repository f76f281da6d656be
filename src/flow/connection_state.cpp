#include "flow/connection_state.h"

#include <algorithm>

namespace croftrun::flow {

void ConnectionState::OnConnecting(std::uint64_t now) {
  phase_ = Phase::kConnecting;
  phase_since_ = now;
  ++counters_.connects;
}

void ConnectionState::OnConnected(std::uint64_t now) {
  phase_ = Phase::kUp;
  phase_since_ = now;
  unacknowledged_since_.reset();
}

void ConnectionState::OnDisconnected(std::uint64_t now) {
  // A connection that breaks soon after it was accepted is treated like one that was refused: the back-off keeps
  // growing. Only a connection that was stable resets it.
  const bool stable = phase_ == Phase::kUp && now - phase_since_ >= settings_.stable_time_us;
  if (phase_ == Phase::kUp && !stable) ++counters_.flaps;
  ++counters_.failures;
  phase_ = Phase::kDown;
  unacknowledged_since_.reset();
  backoff_us_ =
      stable || backoff_us_ == 0 ? settings_.min_backoff_us : std::min(settings_.max_backoff_us, backoff_us_ * 2);
  random_ ^= random_ << 13U;
  random_ ^= random_ >> 7U;
  random_ ^= random_ << 17U;
  // Jitter: between half the back-off and all of it.
  connect_at_ = now + backoff_us_ / 2 + random_ % (backoff_us_ / 2 + 1);
}

void ConnectionState::OnReplaced(std::uint64_t now) {
  phase_ = Phase::kDown;
  unacknowledged_since_.reset();
  connect_at_ = now;
}

void ConnectionState::OnAcknowledged(std::uint64_t now) {
  if (unacknowledged_since_) unacknowledged_since_ = now;
}

void ConnectionState::OnAllAcknowledged(std::uint64_t now) {
  unacknowledged_since_.reset();
  if (now - phase_since_ >= settings_.stable_time_us) backoff_us_ = 0;
}

std::optional<std::uint64_t> ConnectionState::TimeoutAt() const {
  if (phase_ == Phase::kConnecting) return phase_since_ + settings_.connect_timeout_us;
  if (phase_ == Phase::kUp && unacknowledged_since_) return *unacknowledged_since_ + settings_.stall_timeout_us;
  return std::nullopt;
}

bool ConnectionState::CheckTimeout(std::uint64_t now) {
  const auto deadline = TimeoutAt();
  if (!deadline || now < *deadline) return false;
  counters_.stalls += phase_ == Phase::kUp ? 1 : 0;
  return true;
}

}  // namespace croftrun::flow
