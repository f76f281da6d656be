// Circuits of one trunk group, as this end knows them: which are idle, which are taken and by whom.
//
// The group is shared by both ends. The far end's seizures are known when they arrive, so both ends can take the
// same circuit at once (glare); taking from opposite ends of the group makes that rare. No I/O, no clock.
//
//   state        means                                            leaves it by
//   kUnknown     not yet looked at since the start                audit: idle or out of service
//   kIdle        free                                             Seize, SeizedByFarEnd, out of service
//   kSeizedOut   taken by a call of ours                          Release
//   kSeizedIn    taken by the far end                             Release, once the far end let go
//   kReleasing   given up, the far end has not confirmed          Confirm (release complete), or an audit
//   kSuspect     idle here, but the far end refused it twice      EndRest (its pause is over), SeizedByFarEnd, out of
//   service kOutOfService  blocked, or the gateway said so                InService
#ifndef CROFTRUN_CORE_CIRCUITS_H_
#define CROFTRUN_CORE_CIRCUITS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "core/refusal_history.h"

namespace croftrun::core {

enum class CircuitState : std::uint8_t { kUnknown, kIdle, kSeizedOut, kSeizedIn, kReleasing, kSuspect, kOutOfService };
inline constexpr std::size_t kCircuitStates = 7;
std::string_view Name(CircuitState state);

// Number of a circuit in its group, from 0.
using CircuitNumber = std::uint16_t;
// Who holds a circuit: a call, or 0 for none.
using Holder = std::uint32_t;

class CircuitGroup {
 public:
  // Circuits start kUnknown. `from_low`: this end takes the lowest idle circuit first, the far end the highest.
  CircuitGroup(std::size_t circuits, bool from_low);

  std::size_t size() const { return circuits_.size(); }
  std::size_t Count(CircuitState state) const { return counts_[static_cast<std::size_t>(state)]; }
  // What the module is told as "total": circuits that are neither out of service nor suspected.
  std::size_t InUse() const { return size() - Count(CircuitState::kOutOfService) - Count(CircuitState::kSuspect); }
  CircuitState State(CircuitNumber circuit) const { return circuits_[circuit].state; }
  Holder HeldBy(CircuitNumber circuit) const { return circuits_[circuit].holder; }

  // Takes `width` idle circuits for `holder`, all or none; appends them to `taken`. Those at the back of the choice
  // (the far end refused them) come last.
  bool Seize(std::size_t width, Holder holder, std::vector<CircuitNumber>* taken);
  // The far end took this circuit. False if it is not idle: out-seized is glare, anything else is stale knowledge.
  bool SeizedByFarEnd(CircuitNumber circuit, Holder holder);
  // Given up by this end; free once confirmed. Only its holder can give a circuit up: anything else changes nothing.
  bool Release(CircuitNumber circuit, Holder holder);
  // The circuit is known to be free at both ends. False unless it was releasing or unknown.
  bool Confirm(CircuitNumber circuit);
  // Returns who held it, 0 for none.
  Holder TakeOutOfService(CircuitNumber circuit);
  bool BringIntoService(CircuitNumber circuit);

  // The far end refused our seizure of this circuit; its state changes when it is next confirmed idle. Whenever it has
  // become kSuspect, the owner of the group calls EndRest after RestTime.
  void Refused(CircuitNumber circuit, bool out_of_service = false);
  TimeUs RestTime(CircuitNumber circuit) const { return refusals_.RestTime(circuit); }
  // The far end took part in the use of this circuit: whatever was remembered against it is over.
  void ConfirmWorking(CircuitNumber circuit);
  // A suspected circuit's pause is over: idle, at the back. False if it is not suspected (any more).
  bool EndRest(CircuitNumber circuit);
  unsigned RefusalsInARow(CircuitNumber circuit) const { return refusals_.InARow(circuit); }

 private:
  struct Circuit {
    CircuitState state = CircuitState::kUnknown;
    Holder holder = 0;
  };
  void Move(CircuitNumber circuit, CircuitState state, Holder holder);
  // The idle circuits as bit sets, so that the first from either end is found a word at a time.
  void MarkIdle(CircuitNumber circuit, bool idle);
  // Takes from one of the sets until `width` is met or the set is empty; returns what is still missing.
  std::size_t TakeFrom(const std::vector<std::uint64_t>& set, std::size_t width, Holder holder,
                       std::vector<CircuitNumber>* taken);
  // Idle again, or suspected, by what is remembered of it.
  void BecomeFree(CircuitNumber circuit);

  std::vector<Circuit> circuits_;
  std::vector<std::uint64_t> idle_, back_;  // idle and first to be taken; idle and at the back of the choice
  RefusalHistory refusals_;
  std::size_t counts_[kCircuitStates] = {};
  bool from_low_;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_CIRCUITS_H_
