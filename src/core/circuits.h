// State of the circuits of one trunk group as known at this end: which are idle, which are seized and by which call.
//
// Both ends of the group seize circuits, and this end learns of a seizure by the far end only when its message arrives.
// Both can therefore seize the same circuit at the same time (glare). Choosing from opposite ends of the group makes
// that rare. No I/O, no clock.
//
//   state          meaning                                            left by
//   kUnknown       not audited since the start of the process         audit: idle or out of service
//   kIdle          free                                               Seize, SeizeByFarEnd, TakeOutOfService
//   kSeizedOut     seized by an outgoing call                         Release
//   kSeizedIn      seized by the far end                              Release, once the far end has released it
//   kReleasing     released here, not confirmed by the far end yet    Confirm (release complete or audit)
//   kSuspect       idle here, but the far end refused it repeatedly   EndRest (rest time over), SeizeByFarEnd,
//                                                                     TakeOutOfService
//   kOutOfService  blocked, or reported out of service                BringIntoService
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

// Number of a circuit within its group, starting at 0.
using CircuitNumber = std::uint16_t;
// The call that holds a circuit; 0: none.
using Holder = std::uint32_t;

// The circuits of one trunk group.
class CircuitGroup {
 public:
  // All circuits start as kUnknown. `from_low`: this end seizes the lowest idle circuit first and the far end the
  // highest.
  CircuitGroup(std::size_t circuits, bool from_low);

  std::size_t size() const { return circuits_.size(); }
  std::size_t Count(CircuitState state) const { return counts_[static_cast<std::size_t>(state)]; }
  // Circuits that are neither out of service nor suspected; reported to the module as the total.
  std::size_t UsableCircuits() const {
    return size() - Count(CircuitState::kOutOfService) - Count(CircuitState::kSuspect);
  }
  CircuitState State(CircuitNumber circuit) const { return circuits_[circuit].state; }
  Holder HeldBy(CircuitNumber circuit) const { return circuits_[circuit].holder; }

  // Seizes `width` idle circuits for `holder`, all or none, and appends them to `seized`. Deprioritized circuits, which
  // the far end has refused, are chosen last.
  bool Seize(std::size_t width, Holder holder, std::vector<CircuitNumber>* seized);
  // The far end seized this circuit. Returns false if it is not free here: seized by this end is glare, any other state
  // means that the two ends disagree about the circuit.
  bool SeizeByFarEnd(CircuitNumber circuit, Holder holder);
  // Releases the circuit; it is idle once confirmed. Does nothing and returns false if `holder` does not hold it.
  bool Release(CircuitNumber circuit, Holder holder);
  // The circuit is confirmed free at both ends. Returns false unless it was releasing or unknown.
  bool Confirm(CircuitNumber circuit);
  // Returns the call that held the circuit; 0: none.
  Holder TakeOutOfService(CircuitNumber circuit);
  bool BringIntoService(CircuitNumber circuit);

  // Records that the far end refused a seizure of this circuit. The state changes when the circuit is next confirmed
  // idle. When it has become kSuspect, the owner of the group must call EndRest after RestTime.
  void RecordRefusal(CircuitNumber circuit, bool out_of_service = false);
  TimeUs RestTime(CircuitNumber circuit) const { return refusals_.RestTime(circuit); }
  // The far end took part in the use of this circuit: clears its refusal history.
  void ConfirmWorking(CircuitNumber circuit);
  // Ends the rest time of a suspected circuit: it is idle again, but deprioritized. Returns false if it is not
  // suspected.
  bool EndRest(CircuitNumber circuit);
  unsigned ConsecutiveRefusals(CircuitNumber circuit) const { return refusals_.ConsecutiveRefusals(circuit); }

 private:
  struct Circuit {
    CircuitState state = CircuitState::kUnknown;
    Holder holder = 0;
  };
  void SetState(CircuitNumber circuit, CircuitState state, Holder holder);
  // Updates the bit sets of idle circuits, which allow the first circuit from either end to be found word by word.
  void UpdateIdleSets(CircuitNumber circuit, bool idle);
  // Seizes circuits of one bit set until `width` is reached or the set is empty; returns the number still missing.
  std::size_t SeizeFrom(const std::vector<std::uint64_t>& set, std::size_t width, Holder holder,
                        std::vector<CircuitNumber>* seized);
  // Makes the circuit idle, or suspected if its refusal history requires it.
  void SetFree(CircuitNumber circuit);

  std::vector<Circuit> circuits_;
  std::vector<std::uint64_t> idle_, deprioritized_idle_;  // idle and preferred; idle and deprioritized
  RefusalHistory refusals_;
  std::size_t counts_[kCircuitStates] = {};
  bool from_low_;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_CIRCUITS_H_
