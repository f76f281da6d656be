#include "platform/release_meaning.h"

#include "platform/causes.h"

namespace croftrun::platform {

core::Ended MeaningOf(int cause, const std::string& note) {
  switch (cause) {
    case kNoCircuit:
      if (note == "via_said_no") return {Outcome::kFull, Cause::kTurnedBack};
      if (note == "far_cpu_full") return {Outcome::kFull, Cause::kTurnedBackFull};
      if (note == "cpu_full") return {Outcome::kFull, Cause::kProcessorFull};
      return {Outcome::kFull, Cause::kNoCircuit};
    case kUserBusy:
    case kNotInService:
      return {Outcome::kError, note == "number_busy" ? Cause::kLinesBusy : Cause::kNone};
    case kTimerExpiry:
      if (note == "cpu_full") return {Outcome::kMoot, Cause::kProcessorFull};
      return {Outcome::kMoot, note == "all_trunks_busy" ? Cause::kNoCircuit : Cause::kNone};
    default:
      return kReset;
  }
}

core::ReleaseInfo InfoOf(const core::Ended& meaning, core::ReleaseCause cause) {
  core::ReleaseInfo info;
  info.cause = cause;
  info.means = meaning;
  return info;
}

}  // namespace croftrun::platform
