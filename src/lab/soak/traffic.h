// What the stand-ins of a soak trial saw on their sockets, as one list of events in the order of time.
//
// The judge (soak/judge.h) reads nothing else: no log and no counter of the softswitch. Every event names the
// softswitch or the exchange that it concerns by its index, and the call by the id that its set-up carried.
#ifndef CROFTRUN_LAB_SOAK_TRAFFIC_H_
#define CROFTRUN_LAB_SOAK_TRAFFIC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/runtime.h"

namespace croftrun::lab::soak {

enum class EventKind : std::uint8_t {
  // Clients.
  kSetUpSent,        // its last octet was written to an accepted connection; `value`: the client's wait in microseconds
  kSetUpCancelled,   // the client cancelled the set-up or closed the connection under it
  kAnswerRead,       // the client read that the call stands; `text`: the description
  kReleaseRead,      // the client read a release; `value`: its cause; `text`: that it was not acknowledged
  kReleaseSent,      // the client released a call that stands
  kCallAnnounced,    // a set-up with `at` was written, after a restart of the softswitch
  kClientConnected,  // a connection on which the client stays; `host`
  kClientClosed,     // and its end
  kClosedOnSetUp,    // the far end closed or reset the connection with this set-up unanswered; `text`: how
  kBadClientCame,    // a client that misbehaves connected; `value`: its number
  kBadClientServed,  // it was answered or closed; `value`: its number
  kUnreadable,       // a line that is no message reached a client
  // Exchanges.
  kAttemptArrived,    // a set-up arrived whole; `exchange`; `value`: microseconds that a fault on its way held it back
  kAttemptAnswered,   // the exchange wrote that the call stands
  kAttemptRefused,    // the exchange wrote a release before the answer
  kAttemptGivenUp,    // the softswitch gave the set-up up, or its connection ended
  kAttemptReset,      // a fault reset the connection under it
  kCallEnded,         // it stood and is over, and its release was written to a working connection
  kCallEndedUnsent,   // it stood and is over, and no release could be sent
  kCallReleased,      // the softswitch released it
  kConnectionOpened,  // a softswitch connected to this exchange; `value`: number of connections now open
  kProbeArrived,      // a test of a softswitch arrived
  kColdStart,         // its process begins, cold, while the trial runs
  // Softswitches and discovery.
  kStarted,
  kReady,
  kTerminateSent,  // SIGTERM; `value`: microseconds until the kill at the earliest
  kKilled,         // SIGKILL, by plan or outright
  kExited,         // it ended by itself; `value`: exit code, or minus the signal
  kLimits,         // `value`: descriptors open; `exchange`: resident megabytes
  kDrainListed,    // discovery has it: `exchange` drains or is gone
  kDrainWritten,   // and has written it to the watch of `softswitch`
  kStartWritten,   // it has written the late start of `exchange` to the watch of `softswitch`
  kDiscoveryAway,
  kDiscoveryBack,
  kFault,  // `text` names it
};

std::string_view NameOf(EventKind kind);

struct TrafficEvent {
  TimeUs at = 0;
  EventKind kind = EventKind::kFault;
  int softswitch = -1;
  int exchange = -1;
  std::uint32_t host = 0;
  std::string call = {};
  std::int64_t value = 0;
  std::string text = {};
};

// The events of one trial, in the order in which they were noted.
class TrafficRecord {
 public:
  explicit TrafficRecord(core::Runtime* runtime) : runtime_(runtime) {}
  // `event.at` is set to the present.
  void Note(TrafficEvent event) {
    event.at = runtime_->Now();
    events_.push_back(std::move(event));
  }
  const std::vector<TrafficEvent>& events() const { return events_; }

 private:
  core::Runtime* runtime_;
  std::vector<TrafficEvent> events_;
};

// One line of text, with seconds since `start`.
std::string ToString(const TrafficEvent& event, TimeUs start);

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_TRAFFIC_H_
