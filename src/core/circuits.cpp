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
    : circuits_(circuits),
      idle_((circuits + 63) / 64),
      deprioritized_idle_(idle_.size()),
      refusals_(circuits),
      from_low_(from_low) {
  counts_[static_cast<std::size_t>(CircuitState::kUnknown)] = circuits;
}

void CircuitGroup::UpdateIdleSets(CircuitNumber circuit, bool idle) {
  const std::uint64_t bit = std::uint64_t{1} << (circuit % 64U);
  const bool back = refusals_.IsDeprioritized(circuit);
  std::uint64_t& front_word = idle_[circuit / 64U];
  std::uint64_t& back_word = deprioritized_idle_[circuit / 64U];
  front_word = idle && !back ? front_word | bit : front_word & ~bit;
  back_word = idle && back ? back_word | bit : back_word & ~bit;
}

void CircuitGroup::SetState(CircuitNumber circuit, CircuitState state, Holder holder) {
  Circuit& c = circuits_[circuit];
  --counts_[static_cast<std::size_t>(c.state)];
  ++counts_[static_cast<std::size_t>(state)];
  UpdateIdleSets(circuit, state == CircuitState::kIdle);
  c = {state, holder};
}

std::size_t CircuitGroup::SeizeFrom(const std::vector<std::uint64_t>& set, std::size_t width, Holder holder,
                                    std::vector<CircuitNumber>* seized) {
  for (std::size_t w = 0; w < set.size() && width > 0; ++w) {
    const std::size_t word = from_low_ ? w : set.size() - 1 - w;
    while (set[word] != 0 && width > 0) {
      const int bit = from_low_ ? std::countr_zero(set[word]) : 63 - std::countl_zero(set[word]);
      const auto circuit = static_cast<CircuitNumber>(word * 64 + static_cast<std::size_t>(bit));
      SetState(circuit, CircuitState::kSeizedOut, holder);
      seized->push_back(circuit);
      --width;
    }
  }
  return width;
}

bool CircuitGroup::Seize(std::size_t width, Holder holder, std::vector<CircuitNumber>* seized) {
  if (width == 0 || Count(CircuitState::kIdle) < width) return false;
  SeizeFrom(deprioritized_idle_, SeizeFrom(idle_, width, holder, seized), holder, seized);
  return true;
}

bool CircuitGroup::SeizeByFarEnd(CircuitNumber circuit, Holder holder) {
  if (circuit >= size()) return false;
  // A seizure shows that the circuit was idle at the far end, so a pending release of this end is complete there.
  const CircuitState state = State(circuit);
  if (state != CircuitState::kIdle && state != CircuitState::kReleasing && state != CircuitState::kUnknown &&
      state != CircuitState::kSuspect)
    return false;
  refusals_.ConfirmWorking(circuit);
  SetState(circuit, CircuitState::kSeizedIn, holder);
  return true;
}

bool CircuitGroup::Release(CircuitNumber circuit, Holder holder) {
  if (circuit >= size() || HeldBy(circuit) != holder || holder == 0) return false;
  SetState(circuit, CircuitState::kReleasing, 0);
  return true;
}

bool CircuitGroup::Confirm(CircuitNumber circuit) {
  if (circuit >= size()) return false;
  const CircuitState state = State(circuit);
  if (state != CircuitState::kReleasing && state != CircuitState::kUnknown) return false;
  SetFree(circuit);
  return true;
}

Holder CircuitGroup::TakeOutOfService(CircuitNumber circuit) {
  if (circuit >= size()) return 0;
  const Holder holder = HeldBy(circuit);
  SetState(circuit, CircuitState::kOutOfService, 0);
  return holder;
}

bool CircuitGroup::BringIntoService(CircuitNumber circuit) {
  if (circuit >= size() || State(circuit) != CircuitState::kOutOfService) return false;
  SetFree(circuit);
  return true;
}

void CircuitGroup::SetFree(CircuitNumber circuit) {
  SetState(circuit, refusals_.IsSuspected(circuit) ? CircuitState::kSuspect : CircuitState::kIdle, 0);
}

void CircuitGroup::RecordRefusal(CircuitNumber circuit, bool out_of_service) {
  if (circuit < size()) refusals_.RecordRefusal(circuit, out_of_service);
}

void CircuitGroup::ConfirmWorking(CircuitNumber circuit) {
  if (circuit >= size() || !refusals_.IsDeprioritized(circuit)) return;
  refusals_.ConfirmWorking(circuit);
  if (State(circuit) == CircuitState::kSuspect) return SetState(circuit, CircuitState::kIdle, 0);
  UpdateIdleSets(circuit, State(circuit) == CircuitState::kIdle);
}

bool CircuitGroup::EndRest(CircuitNumber circuit) {
  if (circuit >= size() || State(circuit) != CircuitState::kSuspect) return false;
  SetState(circuit, CircuitState::kIdle, 0);
  return true;
}

}  // namespace croftrun::core
