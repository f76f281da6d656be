#include "platform/attempt_results.h"

#include "platform/causes.h"

namespace croftrun::platform {

core::AttemptResult AttemptResultOf(int cause, const std::string& note) {
  switch (cause) {
    case kNoCircuit:
      if (note == "via_said_no") return {Outcome::kRejected, RejectCause::kCrankback};
      if (note == "far_cpu_full") return {Outcome::kRejected, RejectCause::kCrankbackProcessorFull};
      if (note == "cpu_full") return {Outcome::kRejected, RejectCause::kProcessorFull};
      return {Outcome::kRejected, RejectCause::kNoCircuit};
    case kUserBusy:
    case kNotInService:
      return {Outcome::kError, note == "number_busy" ? RejectCause::kLinesBusy : RejectCause::kNone};
    case kTimerExpiry:
      if (note == "cpu_full") return {Outcome::kNotSent, RejectCause::kProcessorFull};
      return {Outcome::kNotSent, note == "all_trunks_busy" ? RejectCause::kNoCircuit : RejectCause::kNone};
    default:
      return kAttemptReset;
  }
}

core::ReleaseInfo MakeReleaseInfo(const core::AttemptResult& result, core::ReleaseCause cause) {
  core::ReleaseInfo info;
  info.cause = cause;
  info.attempt_result = result;
  return info;
}

}  // namespace croftrun::platform
