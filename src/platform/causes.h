// Cause values of ITU-T Q.850 as they appear in messages: those of the core and those used only on the platform.
#ifndef CROFTRUN_PLATFORM_CAUSES_H_
#define CROFTRUN_PLATFORM_CAUSES_H_

#include "core/call_core.h"

namespace croftrun::platform {

constexpr int Value(core::ReleaseCause cause) { return static_cast<int>(cause); }

inline constexpr int kNormal = Value(core::ReleaseCause::kNormal);
inline constexpr int kUserBusy = Value(core::ReleaseCause::kUserBusy);
inline constexpr int kNoCircuit = Value(core::ReleaseCause::kNoCircuit);
inline constexpr int kTemporaryFailure = Value(core::ReleaseCause::kTemporaryFailure);
inline constexpr int kCongestion = Value(core::ReleaseCause::kCongestion);
inline constexpr int kNotInService = Value(core::ReleaseCause::kNotInService);
inline constexpr int kInvalidContents = 100;
inline constexpr int kTimerExpiry = Value(core::ReleaseCause::kTimerExpiry);

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_CAUSES_H_
