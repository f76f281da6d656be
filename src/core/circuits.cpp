#include "core/circuits.h"

#include <array>
#include <bit>
#include <utility>

namespace croftrun::core {

std::string_view Name(CircuitState state) {
  constexpr std::array<std::string_view, kCircuitStates> kNames = {"unknown",   "idle",    "seized-out",    "seized-in",
                                                                   "releasing", "suspect", "out-of-service"};
  return kNames[static_cast<std::size_t>(state)];
}

CircuitGroup::CircuitGroup(std::size_t circuits, bool from_low)
    : circuits_(circuits), idle_((circuits + 63) / 64), back_(idle_.size()), refusals_(circuits), from_low_(from_low) {
  counts_[static_cast<std::size_t>(CircuitState::kUnknown)] = circuits;
}

void CircuitGroup::MarkIdle(CircuitNumber circuit, bool idle) {
  const std::uint64_t bit = std::uint64_t{1} << (circuit % 64U);
  const bool back = refusals_.IsDeprioritized(circuit);
  std::uint64_t& front_word = idle_[circuit / 64U];
  std::uint64_t& back_word = back_[circuit / 64U];
  front_word = idle && !back ? front_word | bit : front_word & ~bit;
  back_word = idle && back ? back_word | bit : back_word & ~bit;
}

void CircuitGroup::Move(CircuitNumber circuit, CircuitState state, Holder holder) {
  Circuit& c = circuits_[circuit];
  --counts_[static_cast<std::size_t>(c.state)];
  ++counts_[static_cast<std::size_t>(state)];
  MarkIdle(circuit, state == CircuitState::kIdle);
  c = {state, holder};
}

std::size_t CircuitGroup::TakeFrom(const std::vector<std::uint64_t>& set, std::size_t width, Holder holder,
                                   std::vector<CircuitNumber>* taken) {
  for (std::size_t w = 0; w < set.size() && width > 0; ++w) {
    const std::size_t word = from_low_ ? w : set.size() - 1 - w;
    while (set[word] != 0 && width > 0) {
      const int bit = from_low_ ? std::countr_zero(set[word]) : 63 - std::countl_zero(set[word]);
      const auto circuit = static_cast<CircuitNumber>(word * 64 + static_cast<std::size_t>(bit));
      Move(circuit, CircuitState::kSeizedOut, holder);
      taken->push_back(circuit);
      --width;
    }
  }
  return width;
}

bool CircuitGroup::Seize(std::size_t width, Holder holder, std::vector<CircuitNumber>* taken) {
  if (width == 0 || Count(CircuitState::kIdle) < width) return false;
  TakeFrom(back_, TakeFrom(idle_, width, holder, taken), holder, taken);
  return true;
}

bool CircuitGroup::SeizedByFarEnd(CircuitNumber circuit, Holder holder) {
  if (circuit >= size()) return false;
  // A seizure proves that the far end holds the circuit idle: our own release is complete there.
  const CircuitState state = State(circuit);
  if (state != CircuitState::kIdle && state != CircuitState::kReleasing && state != CircuitState::kUnknown &&
      state != CircuitState::kSuspect)
    return false;
  refusals_.ConfirmWorking(circuit);
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
  BecomeFree(circuit);
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
  BecomeFree(circuit);
  return true;
}

void CircuitGroup::BecomeFree(CircuitNumber circuit) {
  Move(circuit, refusals_.Suspected(circuit) ? CircuitState::kSuspect : CircuitState::kIdle, 0);
}

void CircuitGroup::Refused(CircuitNumber circuit, bool out_of_service) {
  if (circuit < size()) refusals_.Refused(circuit, out_of_service);
}

void CircuitGroup::ConfirmWorking(CircuitNumber circuit) {
  if (circuit >= size() || !refusals_.IsDeprioritized(circuit)) return;
  refusals_.ConfirmWorking(circuit);
  if (State(circuit) == CircuitState::kSuspect) return Move(circuit, CircuitState::kIdle, 0);
  MarkIdle(circuit, State(circuit) == CircuitState::kIdle);
}

bool CircuitGroup::EndRest(CircuitNumber circuit) {
  if (circuit >= size() || State(circuit) != CircuitState::kSuspect) return false;
  Move(circuit, CircuitState::kIdle, 0);
  return true;
}

}  // namespace croftrun::core
