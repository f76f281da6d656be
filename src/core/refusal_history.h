// Refusal history of the circuits of a trunk group: which seizures of this end were refused by the far end.
//
// A circuit that is idle at this end may be out of service or busy at the far end. Circuits are chosen in a fixed
// order, so without this history the same circuit would be chosen and refused for every call while the two ends
// disagree. No I/O, no clock.
//
//   consecutive refusals       effect
//   1                          deprioritized: seized only if no other circuit is idle
//   2 or more, or one that     suspected: not seized, audited, and deprioritized again after a rest time that doubles
//   says "out of service"      each time
// A set-up that the far end worked on, or a seizure by the far end, clears the history of the circuit.
#ifndef CROFTRUN_CORE_REFUSAL_HISTORY_H_
#define CROFTRUN_CORE_REFUSAL_HISTORY_H_

#include <cstdint>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::core {

// Refusal records of all circuits of one group, indexed by circuit number.
class RefusalHistory {
 public:
  // Rest time of a suspected circuit: long enough for an audit or a release complete to clear the state, and bounded so
  // that a circuit whose recovery was not reported is tried again within seconds.
  static constexpr TimeUs kInitialRest = 1'000'000;
  static constexpr TimeUs kMaxRest = 16'000'000;

  explicit RefusalHistory(std::size_t circuits) : records_(circuits) {}

  // Records a refused seizure. `out_of_service`: the far end stated that the circuit is out of service, so a single
  // refusal is enough to suspect it.
  void RecordRefusal(std::size_t circuit, bool out_of_service = false) {
    std::uint8_t& record = records_[circuit];
    if (record < kMaxCounted) ++record;
    if (out_of_service && record < 2) record = 2;
  }
  bool IsSuspected(std::size_t circuit) const { return records_[circuit] >= 2; }
  // How long a suspected circuit is not seized; 0 if it is not suspected.
  TimeUs RestTime(std::size_t circuit) const {
    const TimeUs rest = IsSuspected(circuit) ? kInitialRest << (records_[circuit] - 2U) : 0;
    return rest < kMaxRest ? rest : kMaxRest;
  }
  // The far end took part in the use of the circuit: clears its history.
  void ConfirmWorking(std::size_t circuit) { records_[circuit] = 0; }
  // Refusals since the circuit was last confirmed working, counted up to a bound.
  unsigned ConsecutiveRefusals(std::size_t circuit) const { return records_[circuit]; }
  bool IsDeprioritized(std::size_t circuit) const { return records_[circuit] > 0; }

 private:
  static constexpr std::uint8_t kMaxCounted = 16;
  std::vector<std::uint8_t> records_;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_REFUSAL_HISTORY_H_
