// The event log of a soak trial: what the stand-ins observed on their sockets, in the order of time.
//
// It is the only input of the judge (soak/judge.h), which reads no log and no counter of the softswitch. An event names
// the softswitch and the exchange that it concerns by their indexes, and the call by the id in its set-up.
#ifndef CROFTRUN_LAB_SOAK_EVENT_LOG_H_
#define CROFTRUN_LAB_SOAK_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/runtime.h"

namespace croftrun::lab::soak {

// Kinds of events; `value`, `text` and the other names in quotes are members of TrialEvent.
enum class EventKind : std::uint8_t {
  // Clients.
  kSetUpSent,           // all of it was written to an open connection; `value`: the caller timeout in microseconds
  kSetUpCancelled,      // the client cancelled the set-up or closed its connection
  kSetUpSentAgain,      // another client sent a set-up with the id of one whose client had left
  kAnswerReceived,      // the client received the answer of the call; `text`: the description
  kReleaseReceived,     // the client received a release; `value`: its cause; `text`: set if it was not acknowledged
  kReleaseSent,         // the client released an established call
  kCallAnnounced,       // the client announced an established call (a set-up with `at`) to a restarted softswitch
  kClientConnected,     // a client's connection opened; `host`
  kClientClosed,        // a client's connection closed; `host`
  kClosedBeforeAnswer,  // the softswitch closed or reset the connection of this unanswered set-up; `text`: which of
                        // both
  kBadClientConnected,  // a misbehaving client connected; `value`: its number
  kBadClientServed,     // a misbehaving client was answered or disconnected; `value`: its number
  kMalformedLine,       // a client received a line that is not a message
  // Exchanges.
  kAttemptArrived,     // a complete set-up arrived; `value`: microseconds by which an injected fault delayed it
  kAttemptAnswered,    // the exchange sent the answer
  kAttemptRefused,     // the exchange sent a release instead of an answer
  kAttemptAbandoned,   // the softswitch cancelled the set-up, or its connection closed
  kAttemptReset,       // an injected fault reset its connection
  kCallEnded,          // an established call ended, and its release was sent on a working connection
  kCallEndedSilently,  // an established call ended, and no release could be sent
  kCallReleased,       // the softswitch released an established call
  kConnectionOpened,   // a softswitch connected to this exchange; `value`: its connections now open
  kProbeArrived,       // a probe of a softswitch arrived
  kColdStart,          // the exchange's process started, cold, during the trial
  // Softswitches and discovery.
  kStarted,
  kReady,
  kSigtermSent,       // SIGTERM; `value`: microseconds until SIGKILL at the earliest
  kKilled,            // SIGKILL, after SIGTERM or without
  kExited,            // the process exited; `value`: its exit code, or the negative signal number
  kResourceUsage,     // `value`: open descriptors; `exchange`: resident megabytes
  kDrainListed,       // discovery lists `exchange` as draining or gone
  kDrainWritten,      // discovery sent the drain of `exchange` to `softswitch`
  kColdStartWritten,  // discovery sent the cold start of `exchange` to `softswitch`
  kDiscoveryUnavailable,
  kDiscoveryAvailable,
  kFault,  // a fault was injected; `text` describes it
};

// Returns the name of a kind as timelines show it.
std::string_view NameOf(EventKind kind);

// One event; members that do not apply keep their defaults.
struct TrialEvent {
  TimeUs at = 0;
  EventKind kind = EventKind::kFault;
  int softswitch = -1;
  int exchange = -1;
  std::uint32_t host = 0;
  std::string call = {};
  std::int64_t value = 0;
  std::string text = {};
};

// The events of one trial, in the order in which they were recorded.
class EventLog {
 public:
  explicit EventLog(core::Runtime* runtime) : runtime_(runtime) {}
  // Appends an event; `event.at` is set to the current time.
  void Append(TrialEvent event) {
    event.at = runtime_->Now();
    events_.push_back(std::move(event));
  }
  const std::vector<TrialEvent>& events() const { return events_; }

 private:
  core::Runtime* runtime_;
  std::vector<TrialEvent> events_;
};

// One line of a timeline; its time is in seconds since `start_time`.
std::string ToString(const TrialEvent& event, TimeUs start_time);

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_EVENT_LOG_H_
