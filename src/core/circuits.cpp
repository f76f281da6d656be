#include "core/circuits.h"

#include <array>
#include <bit>
#include <utility>

namespace croftrun::core {

std::string_view Name(CircuitState state) {
  constexpr std::array<std::string_view, kCircuitStates> kNames = {"unknown",    "idle",      "seized-out",
                                                                   "seized-in", "releasing", "out-of-service"};
  return kNames[static_cast<std::size_t>(state)];
}

CircuitGroup::CircuitGroup(std::size_t circuits, bool from_low)
    : circuits_(circuits), idle_((circuits + 63) / 64), from_low_(from_low) {
  counts_[static_cast<std::size_t>(CircuitState::kUnknown)] = circuits;
}

void CircuitGroup::MarkIdle(CircuitNumber circuit, bool idle) {
  const std::uint64_t bit = std::uint64_t{1} << (circuit % 64U);
  std::uint64_t& word = idle_[circuit / 64U];
  word = idle ? word | bit : word & ~bit;
}

void CircuitGroup::Move(CircuitNumber circuit, CircuitState state, Holder holder) {
  Circuit& c = circuits_[circuit];
  --counts_[static_cast<std::size_t>(c.state)];
  ++counts_[static_cast<std::size_t>(state)];
  MarkIdle(circuit, state == CircuitState::kIdle);
  c = {state, holder};
}

bool CircuitGroup::Seize(std::size_t width, Holder holder, std::vector<CircuitNumber>* taken) {
  if (width == 0 || Count(CircuitState::kIdle) < width) return false;
  for (std::size_t w = 0; w < idle_.size() && width > 0; ++w) {
    const std::size_t word = from_low_ ? w : idle_.size() - 1 - w;
    while (idle_[word] != 0 && width > 0) {
      const int bit = from_low_ ? std::countr_zero(idle_[word]) : 63 - std::countl_zero(idle_[word]);
      const auto circuit = static_cast<CircuitNumber>(word * 64 + static_cast<std::size_t>(bit));
      Move(circuit, CircuitState::kSeizedOut, holder);
      taken->push_back(circuit);
      --width;
    }
  }
  return true;
}

bool CircuitGroup::SeizedByFarEnd(CircuitNumber circuit, Holder holder) {
  if (circuit >= size()) return false;
  // A seizure proves that the far end holds the circuit idle: our own release is complete there.
  const CircuitState state = State(circuit);
  if (state != CircuitState::kIdle && state != CircuitState::kReleasing && state != CircuitState::kUnknown)
    return false;
  Move(circuit, CircuitState::kSeizedIn, holder);
  return true;
}

bool CircuitGroup::Release(CircuitNumber circuit, Holder holder) {
  if (circuit >= size() || HeldBy(circuit) != holder || holder == 0) return false;
  Move(circuit, CircuitState::kReleasing, 0);
  return true;
}

bool CircuitGroup::Confirm(CircuitNumber circuit) {
  if (circuit >= size()) return false;
  const CircuitState state = State(circuit);
  if (state != CircuitState::kReleasing && state != CircuitState::kUnknown) return false;
  Move(circuit, CircuitState::kIdle, 0);
  return true;
}

Holder CircuitGroup::TakeOutOfService(CircuitNumber circuit) {
  if (circuit >= size()) return 0;
  const Holder holder = HeldBy(circuit);
  Move(circuit, CircuitState::kOutOfService, 0);
  return holder;
}

bool CircuitGroup::BringIntoService(CircuitNumber circuit) {
  if (circuit >= size() || State(circuit) != CircuitState::kOutOfService) return false;
  Move(circuit, CircuitState::kIdle, 0);
  return true;
}

}  // namespace croftrun::core
