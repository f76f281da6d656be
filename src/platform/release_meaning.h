// What the end of a set-up means to the module: by the cause and the note of an exchange's release, or by what became
// of its connection. The table stands in docs/platform.md, "What an event means".
#ifndef CROFTRUN_PLATFORM_RELEASE_MEANING_H_
#define CROFTRUN_PLATFORM_RELEASE_MEANING_H_

#include <string>

#include "core/call_core.h"

namespace croftrun::platform {

// It broke: it may have run.
inline constexpr core::AttemptResult kReset{Outcome::kReset, RejectCause::kNone};
// No connection came up: it never ran.
inline constexpr core::AttemptResult kNeverRan{Outcome::kConnectFailed, RejectCause::kNone};
// The same, and other connections show that the exchange lives.
inline constexpr core::AttemptResult kConnectionLost{Outcome::kConnectFailed, RejectCause::kConnectionLost};

// What a release before the answer means. `note` may be empty; an unknown cause is a reset.
core::AttemptResult MeaningOf(int cause, const std::string& note);

core::ReleaseInfo InfoOf(const core::AttemptResult& meaning, core::ReleaseCause cause);

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_RELEASE_MEANING_H_
