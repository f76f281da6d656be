// Decides when an exchange needs one more connection because releases may have been lost with an earlier one.
//
// An exchange sends the release of an established call on one of its connections, and once more on the next connection
// that is opened. If a connection is lost together with data that was on its way, a release may have been among it,
// although other connections to the exchange stay open. The repetition arrives only if another connection is opened.
//
// A reset may mean that the process of the exchange has died. A connection to its successor would hide that from the
// failure detector, which relies on an unbroken sequence of connections. The new connection is therefore opened only
// after data on a connection that is older than the reset has shown that the process still runs. If no such data
// arrives, the failure detector itself requests a connection.
#ifndef CROFTRUN_PLATFORM_LOST_RELEASES_H_
#define CROFTRUN_PLATFORM_LOST_RELEASES_H_

#include <algorithm>
#include <cstdint>

#include "croftrun/call_controller.h"

namespace croftrun::platform {

// Whether the process of an exchange is known to run at the time at which one of its connections is lost.
enum class ProcessState : std::uint8_t { kRunning, kUnknown };

// State of one exchange: whether releases may have been lost. Times are those of the runtime's clock, in microseconds.
class LostReleases {
 public:
  // A connection was lost with data that may have included releases.
  void OnDataLost(TimeUs now, ProcessState process) {
    lost_at_ = std::max<TimeUs>(now, 1);
    process_ = process;
  }
  // Data arrived on a connection that was opened at this time.
  void OnDataReceived(TimeUs connection_opened_at) {
    if (connection_opened_at <= lost_at_) process_ = ProcessState::kRunning;
  }
  // A connection that was requested at this time has been opened. The exchange repeats its releases on it.
  void OnConnectionOpened(TimeUs connection_requested_at) {
    if (connection_requested_at >= lost_at_) lost_at_ = 0;
  }
  // No call is established whose release could have been lost.
  void Clear() { lost_at_ = 0; }
  // Returns whether a connection has to be opened, unless one that was requested since `lost_at` is on its way.
  bool NeedsConnection() const { return lost_at_ != 0 && process_ == ProcessState::kRunning; }
  // Returns when data was last lost, or 0 if nothing was lost since the last connection was opened.
  TimeUs lost_at() const { return lost_at_; }

 private:
  TimeUs lost_at_ = 0;
  ProcessState process_ = ProcessState::kUnknown;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_LOST_RELEASES_H_
