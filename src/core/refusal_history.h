// What one end of a trunk group remembers of the circuits on which its own seizures were refused.
//
// The far end may hold a circuit for out of service, or for busy, that this end knows as idle. Both ends
// choose by a fixed order, so without a memory the very same circuit would be picked again for the next call
// and refused again, for as long as the views differ. Decisions only: no I/O, no clock; all times are handed
// in.
//
//   refusals in a row   the circuit
//   1                   goes to the back of the choice: it is taken only when no other is idle
//   2 and more, or one
//   as out of service   is suspected: not taken, looked at, and back (at the back) after a pause that doubles
//   each time
// A set-up that the far end worked on, or a seizure by the far end, proves the circuit and ends its record.
#ifndef CROFTRUN_CORE_REFUSAL_HISTORY_H_
#define CROFTRUN_CORE_REFUSAL_HISTORY_H_

#include <cstdint>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::core {

class RefusalHistory {
 public:
  // Pauses of a suspected circuit: long enough for an audit or a release complete to settle the matter, and
  // bounded so that a circuit whose far end came back unheard is tried again within seconds.
  static constexpr TimeUs kInitialRest = 1'000'000;
  static constexpr TimeUs kMaxRest = 16'000'000;

  explicit RefusalHistory(std::size_t circuits) : records_(circuits) {}

  // A seizure of ours on this circuit was refused. `out_of_service`: the far end said that it holds it for
  // that, so it need not say so twice.
  void Refused(std::size_t circuit, bool out_of_service = false) {
    std::uint8_t& record = records_[circuit];
    if (record < kMostCounted) ++record;
    if (out_of_service && record < 2) record = 2;
  }
  bool Suspected(std::size_t circuit) const { return records_[circuit] >= 2; }
  // How long a suspected circuit rests before it may be taken again.
  TimeUs RestTime(std::size_t circuit) const {
    const TimeUs pause = Suspected(circuit) ? kInitialRest << (records_[circuit] - 2U) : 0;
    return pause < kMaxRest ? pause : kMaxRest;
  }
  // The far end took part in its use.
  void ConfirmWorking(std::size_t circuit) { records_[circuit] = 0; }
  // Refusals since it was last proven, counted up to a bound.
  unsigned InARow(std::size_t circuit) const { return records_[circuit]; }
  bool IsDeprioritized(std::size_t circuit) const { return records_[circuit] > 0; }

 private:
  static constexpr std::uint8_t kMostCounted = 16;
  std::vector<std::uint8_t> records_;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_REFUSAL_HISTORY_H_
