#include "flow/link_state.h"

#include <algorithm>

namespace croftrun::flow {

void LinkState::OnConnecting(std::uint64_t now) {
  phase_ = Phase::kConnecting;
  since_ = now;
  ++counters_.connects;
}

void LinkState::OnUp(std::uint64_t now) {
  phase_ = Phase::kUp;
  since_ = now;
  writing_since_.reset();
}

void LinkState::OnDown(std::uint64_t now) {
  // One that accepts and falls again at once is treated as one that refuses: the wait goes on growing. Only a
  // connection that held starts it anew.
  const bool held = phase_ == Phase::kUp && now - since_ >= settings_.steady_us;
  if (phase_ == Phase::kUp && !held) ++counters_.flaps;
  ++counters_.failures;
  phase_ = Phase::kDown;
  writing_since_.reset();
  wait_ = held || wait_ == 0 ? settings_.least_wait_us : std::min(settings_.longest_wait_us, wait_ * 2);
  chance_ ^= chance_ << 13U;
  chance_ ^= chance_ >> 7U;
  chance_ ^= chance_ << 17U;
  // Between half the wait and all of it.
  connect_at_ = now + wait_ / 2 + chance_ % (wait_ / 2 + 1);
}

void LinkState::OnRenewed(std::uint64_t now) {
  phase_ = Phase::kDown;
  writing_since_.reset();
  connect_at_ = now;
}

void LinkState::OnProgress(std::uint64_t now) {
  if (writing_since_) writing_since_ = now;
}

void LinkState::OnWriteDone(std::uint64_t now) {
  writing_since_.reset();
  if (now - since_ >= settings_.steady_us) wait_ = 0;
}

std::optional<std::uint64_t> LinkState::GiveUpAt() const {
  if (phase_ == Phase::kConnecting) return since_ + settings_.connect_us;
  if (phase_ == Phase::kUp && writing_since_) return *writing_since_ + settings_.stall_us;
  return std::nullopt;
}

bool LinkState::Overdue(std::uint64_t now) {
  const auto at = GiveUpAt();
  if (!at || now < *at) return false;
  counters_.stalls += phase_ == Phase::kUp ? 1 : 0;
  return true;
}

}  // namespace croftrun::flow
