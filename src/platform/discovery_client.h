// Client of the discovery service: sends a request and follows its unending response of server-sent events.
//
// A response that is slow to begin, or that pauses, cannot be told from one that never comes. A silent request is
// therefore kept, and another one is sent beside it on a connection of its own. The first request that brings a new
// event, or data without a silence in between for some time, is followed, and all others are closed. A single line does
// not decide: the rest of the response may pause as well, or never come.
//
// A response that skips events is kept as well, beside another request for the missing ones: drains and removals in it
// are applied, everything else comes in order with the response to the other request.
#ifndef CROFTRUN_PLATFORM_DISCOVERY_CLIENT_H_
#define CROFTRUN_PLATFORM_DISCOVERY_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "core/call_core.h"
#include "core/runtime.h"
#include "platform/node_config.h"

namespace croftrun::platform {

// Counters of the discovery client, as shown in the metrics.
struct DiscoveryCounters {
  std::uint64_t connects = 0, breaks = 0, silences = 0, gaps = 0, events = 0, repeated = 0, unreadable = 0;
  std::uint64_t unanswered = 0;      // requests that were closed here before their response began
  TimeUs longest_response_wait = 0;  // longest time from a request to the first octet of its response
};

// Settings of the discovery client.
struct DiscoverySettings {
  core::Address address;
  std::size_t max_event_octets = 1 << 20;  // limit of an event; one that is larger ends its request
};

// Follows the directory of the discovery service. Sends another request after the last one failed or has been silent,
// with delays that grow while the service is unavailable, and reports each notification once and in order.
class DiscoveryClient final {
 public:
  using OnNotification = std::function<void(const DirectoryNotification&)>;
  // `last_number` is the number of the last event that has been applied already.
  DiscoveryClient(const DiscoverySettings& settings, core::Runtime* runtime, core::Logger* log,
                  std::uint64_t last_number, OnNotification on_notification);
  ~DiscoveryClient();
  // Switches to another address; the event numbers continue.
  void MoveTo(const core::Address& address);
  // Records that the events up to `last_number` were received in another way.
  void AdvanceTo(std::uint64_t last_number) { last_number_ = std::max(last_number_, last_number); }
  std::uint64_t last_number() const { return last_number_; }
  const core::Address& address() const { return address_; }
  const DiscoveryCounters& counters() const { return counters_; }
  std::size_t open_requests() const { return requests_.size(); }

 private:
  class Request;

  // Sends a request for the events after the last one that was applied, beside those in progress.
  void StartRequest();
  void ScheduleRequest();
  // Sends another request after this time unless data arrives.
  void StartSilenceTimer(TimeUs delay);
  // Makes room for a request: closes the oldest one that has no connection yet, else the oldest one without missing
  // events, else the oldest one.
  void CloseLeastPromisingRequest();
  void CloseFailedRequest(Request* request);
  // Follows this request: closes the others. A request with missing events is kept until the missing ones have come.
  void CloseOtherRequests(const Request* followed, bool keep_requests_ahead);
  // Returns the newest request that is not ahead of the last applied event, or null if there is none.
  const Request* NewestRequest() const;
  // These handle the events of a request's connection.
  void SendRequest(const Request* request);
  void HandleResponse(Request* request, std::string_view bytes);
  void HandleEnd(Request* request, core::StreamEnd end);
  // The event after the last applied one is missing on this request. Sends another request for it, once. Returns false
  // if the service does not have it.
  bool RequestMissingEvents(Request* request);
  void HandleEvent(Request* request, std::string_view id, std::string_view data);
  void LogRequest(std::string_view event, const Request& request, std::string_view detail);

  core::Runtime* runtime_;
  core::Logger* log_;
  core::Address address_;
  const std::size_t max_event_octets_;
  std::uint64_t last_number_;
  std::uint64_t requested_number_ = 0;  // the missing event that was requested again, which is done once
  OnNotification on_notification_;
  std::list<std::unique_ptr<Request>> requests_;  // in progress, oldest first
  std::uint64_t last_request_ = 0;
  core::Timer next_request_timer_;
  TimeUs reconnect_delay_ = 0;
  DiscoveryCounters counters_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_DISCOVERY_CLIENT_H_
