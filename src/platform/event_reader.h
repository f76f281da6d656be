// Reader of server-sent events in the response of an HTTP server.
#ifndef CROFTRUN_PLATFORM_EVENT_READER_H_
#define CROFTRUN_PLATFORM_EVENT_READER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace croftrun::platform {

// Parses server-sent events (WHATWG HTML standard, 9.2) in the body of an HTTP response as it arrives. Only complete
// events are reported; an event that is cut off is discarded.
class EventReader {
 public:
  // Handles one event; `id` is empty if the event has none.
  using OnEvent = std::function<void(std::string_view id, std::string_view data)>;
  // `max_event_octets` limits the memory for one event.
  explicit EventReader(std::size_t max_event_octets);
  ~EventReader();
  // Returns false if the stream is of no further use: the status is not 200, the data is not HTTP, or an event exceeds
  // the size limit.
  bool Feed(std::string_view bytes, const OnEvent& on_event);

 private:
  bool HandleLine(std::string_view line, const OnEvent& on_event);
  // Octets of the event that is being received.
  std::size_t BufferedOctets() const { return line_.size() + id_.size() + data_.size(); }
  struct HttpResponse;
  const std::size_t max_event_octets_;
  std::unique_ptr<HttpResponse> http_response_;
  std::string line_, id_, data_;
  bool after_carriage_return_ = false, has_data_ = false;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_EVENT_READER_H_
