// Client of the discovery service: sends one request and reads its unending response as server-sent events.
#ifndef CROFTRUN_PLATFORM_DISCOVERY_CLIENT_H_
#define CROFTRUN_PLATFORM_DISCOVERY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/call_core.h"
#include "core/runtime.h"
#include "platform/node_config.h"

namespace croftrun::platform {

// Parses server-sent events (WHATWG HTML standard, 9.2) in the body of an HTTP response as it arrives. Only complete
// events are reported; an event that is cut off is discarded.
class EventReader {
 public:
  // Handles one event; `id` is empty if the event has none. Returns false to stop reading.
  using OnEvent = std::function<bool(std::string_view id, std::string_view data)>;
  EventReader();
  ~EventReader();
  // Returns false if the stream is of no further use: the status is not 200, the data is not HTTP, an event exceeds the
  // size limit, or the handler returned false.
  bool Feed(std::string_view bytes, const OnEvent& on_event);

 private:
  bool HandleLine(std::string_view line, const OnEvent& on_event);
  struct HttpResponse;
  std::unique_ptr<HttpResponse> http_response_;
  std::string line_, id_, data_;
  bool after_carriage_return_ = false, has_data_ = false;
};

// Counters of the discovery client, as shown in the metrics.
struct DiscoveryCounters {
  std::uint64_t connects = 0, breaks = 0, silences = 0, gaps = 0, events = 0, repeated = 0, unreadable = 0;
};

// Follows the directory of the discovery service. Reconnects after the connection was lost or has been silent, with
// delays that grow while the service is unavailable, and reports each notification once and in order.
class DiscoveryClient final : public core::StreamHandler {
 public:
  using OnNotification = std::function<void(const DirectoryNotification&)>;
  // `last_number` is the number of the last event that has been applied already.
  DiscoveryClient(core::Runtime* runtime, core::Logger* log, const core::Address& address, std::uint64_t last_number,
                  OnNotification on_notification);
  // Switches to another address; the event numbers continue.
  void MoveTo(const core::Address& address);
  // Records that the events up to `last_number` were received in another way.
  void AdvanceTo(std::uint64_t last_number) { last_number_ = std::max(last_number_, last_number); }
  std::uint64_t last_number() const { return last_number_; }
  const core::Address& address() const { return address_; }
  const DiscoveryCounters& counters() const { return counters_; }

  void OnOpen() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(core::StreamEnd end) override;

 private:
  void Connect();
  void ScheduleReconnect();
  void RestartSilenceTimer();
  // Closes the connection and requests the events after the last one that was applied.
  void Reconnect();
  // Returns true once for each number: the events from it on are missing and have to be requested again.
  bool ShouldRequestMissing(std::uint64_t number);
  // Returns false if the connection has to be closed.
  bool HandleEvent(std::string_view id, std::string_view data);

  core::Runtime* runtime_;
  core::Logger* log_;
  core::Address address_;
  std::uint64_t last_number_;
  std::uint64_t requested_number_ = 0;  // the missing event that was requested again, which is done once
  OnNotification on_notification_;
  std::unique_ptr<core::Stream> stream_;
  std::unique_ptr<EventReader> reader_;
  core::Timer reconnect_timer_, silence_timer_;
  TimeUs reconnect_delay_ = 0;
  DiscoveryCounters counters_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_DISCOVERY_CLIENT_H_
