// Maps the end of a set-up to the result that is reported to the decision module, either from the cause and note of a
// release or from the end of the connection. The table is in docs/platform.md, "What an event means".
#ifndef CROFTRUN_PLATFORM_ATTEMPT_RESULTS_H_
#define CROFTRUN_PLATFORM_ATTEMPT_RESULTS_H_

#include <string>

#include "core/call_core.h"

namespace croftrun::platform {

// The connection broke after the set-up was sent, so the exchange may have processed it.
inline constexpr core::AttemptResult kAttemptReset{Outcome::kReset, RejectCause::kNone};
// No connection was established, so the set-up was not sent.
inline constexpr core::AttemptResult kNotConnected{Outcome::kConnectFailed, RejectCause::kNone};
// Likewise, while other connections show that the exchange is alive.
inline constexpr core::AttemptResult kConnectionLost{Outcome::kConnectFailed, RejectCause::kConnectionLost};

// Returns the result of a set-up that was released before its answer. `note` may be empty. An unknown cause is treated
// as a reset.
core::AttemptResult AttemptResultOf(int cause, const std::string& note);

// Returns the release information for the core with this result and cause.
core::ReleaseInfo MakeReleaseInfo(const core::AttemptResult& result, core::ReleaseCause cause);

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_ATTEMPT_RESULTS_H_
