// The client of the notice board: one request whose answer never ends, read as server-sent events.
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

// Server-sent events (the WHATWG's HTML standard, 9.2) in the body of an HTTP answer, as it arrives. Only whole events
// are told: one that breaks off partway never was.
class EventReader {
 public:
  // `id` is empty where the event has none of its own.
  // False: no more is wanted.
  using OnEvent = std::function<bool(std::string_view id, std::string_view data)>;
  EventReader();
  ~EventReader();
  // False once nothing more can come of it: another status than 200, what is no HTTP, an event past all bounds.
  bool Feed(std::string_view bytes, const OnEvent& on_event);

 private:
  bool Line(std::string_view line, const OnEvent& on_event);
  struct Http;
  std::unique_ptr<Http> http_;
  std::string line_, id_, data_;
  bool after_return_ = false, has_data_ = false;
};

struct DiscoveryCounters {
  std::uint64_t connects = 0, breaks = 0, silences = 0, gaps = 0, events = 0, repeated = 0, unreadable = 0;
};

// Follows the board: asks again after a break or a silence, with pauses that grow while it stays away, and tells each
// notice once, in order.
class DiscoveryClient final : public core::StreamHandler {
 public:
  using OnNotice = std::function<void(const Notice&)>;
  // `last`: number of the last event that is known already.
  DiscoveryClient(core::Runtime* runtime, core::Logger* log, const core::Address& address, std::uint64_t last,
                  OnNotice on_notice);
  // From now on at this address; the numbers carry on.
  void MoveTo(const core::Address& address);
  // `last` was heard by another way.
  void Known(std::uint64_t last) { last_ = std::max(last_, last); }
  std::uint64_t last() const { return last_; }
  const core::Address& address() const { return address_; }
  const DiscoveryCounters& counters() const { return counters_; }

  void OnOpen() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(core::StreamEnd end) override;

 private:
  void Ask();
  void AskAgain();
  void Watch();
  // Ends the connection and asks again from the last number that holds.
  void Break();
  // True once for each number: what lies before it is missing and is asked for again.
  bool AsksFor(std::uint64_t number);
  // False: the connection has ended with it.
  bool Take(std::string_view id, std::string_view data);

  core::Runtime* runtime_;
  core::Logger* log_;
  core::Address address_;
  std::uint64_t last_;
  std::uint64_t asked_for_ = 0;  // the event that was taken for missing, asked for once
  OnNotice on_notice_;
  std::unique_ptr<core::Stream> stream_;
  std::unique_ptr<EventReader> reader_;
  core::Timer again_, silence_;
  TimeUs pause_ = 0;
  DiscoveryCounters counters_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_DISCOVERY_CLIENT_H_
