// Stand-in of the discovery service for one softswitch of a soak trial: numbered server-sent events over HTTP, and a
// comment each second. It can be made silent; its fault proxy makes it unreachable.
#ifndef CROFTRUN_LAB_SOAK_DISCOVERY_STAND_IN_H_
#define CROFTRUN_LAB_SOAK_DISCOVERY_STAND_IN_H_

#include <list>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/runtime.h"
#include "lab/soak/event_log.h"

namespace croftrun::lab::soak {

// The entry of an exchange in the discovery service.
struct DirectoryEntry {
  std::string uid;
  core::Address address;
  int number = 0;
  int instance = 0;
  std::string state = "Ready";  // Ready, Terminating, Gone
  std::int64_t boot_ms = 0;
};

// How slowly requests are answered.
struct ResponseDelays {
  TimeUs header = 0;  // from the request to the first octet of its response
  TimeUs body = 0;    // from the header to the rest of the response
};

// Serves the directory of exchanges to one softswitch.
class DiscoveryStandIn final : public core::StreamAcceptor {
 public:
  DiscoveryStandIn(core::Runtime* runtime, EventLog* event_log, int softswitch, const core::Address& listen);
  ~DiscoveryStandIn() override;

  // Adds or changes these entries, as the event with the next number.
  void UpdateEntries(std::vector<DirectoryEntry> entries);
  // Likewise, but the event is the whole list.
  void UpdateWholeList(std::vector<DirectoryEntry> entries);
  // While silent, nothing is written on any connection, not even comments, and requests are not answered.
  void SetSilent(bool silent);
  // Applies to the requests that arrive from now on.
  void SetResponseDelays(const ResponseDelays& delays) { response_delays_ = delays; }
  // Writes the first half of a large event on all responses.
  void WriteHalfEvent();
  // Ends all responses; what was written before still arrives.
  void EndResponses();
  // The current directory, as the value of `known` in a configuration.
  nlohmann::json KnownDirectory() const;
  core::StreamHandler* OnAccept(std::unique_ptr<core::Stream> stream) override;

 private:
  class Watch;
  struct Event {
    std::uint64_t number = 0;
    std::vector<DirectoryEntry> entries;  // those that have changed
    std::string data;                     // as it is sent
  };
  // Returns the entries that are not gone.
  nlohmann::json PresentTargets() const;
  // Appends an event and sends it.
  void Append(std::vector<DirectoryEntry> entries, bool full);
  // Begins the response to the request after the present delays.
  void ScheduleResponse(Watch* watch);
  void WriteEvents(Watch* watch);
  void ScheduleComment();

  core::Runtime* runtime_;
  EventLog* event_log_;
  int softswitch_;
  std::vector<Event> events_;
  std::list<std::unique_ptr<Watch>> watches_;
  bool silent_ = false;
  ResponseDelays response_delays_;
  core::Timer comment_timer_;
  std::unique_ptr<core::StreamListener> listener_;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_DISCOVERY_STAND_IN_H_
