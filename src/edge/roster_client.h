// Receives the roster: renews its subscription, applies updates and requests the full list after a gap.
#ifndef CROFTRUN_EDGE_ROSTER_CLIENT_H_
#define CROFTRUN_EDGE_ROSTER_CLIENT_H_

#include <memory>
#include <optional>
#include <string_view>

#include "core/call_core.h"
#include "core/roster.h"
#include "edge/edge_settings.h"

namespace croftrun::edge {

// One datagram each way, JSON:
//   ask     {"ask":"roster","exchange":3,"have":7}
//   update  {"version":8,"base":7,"entries":[{"exchange":11,"number":1,"zone":0,"status":"ready",
//            "incarnation":2,"age_ms":150}]}          without "base": the full list
// Returns nothing if the text is not a valid update.
std::optional<core::RosterUpdate> ParseRosterUpdate(std::string_view text);

// Keeps the core's directory of exchanges up to date with the roster server.
class RosterClient final : public core::DatagramHandler {
 public:
  struct Counters {
    std::uint64_t updates = 0, old = 0, gaps = 0, malformed = 0;
  };

  RosterClient(const RosterSettings& settings, core::Runtime* runtime, core::CallCore* core, core::Logger* log);
  void OnDatagram(const core::Address& from, std::string_view bytes) override;
  const Counters& counters() const { return counters_; }
  std::uint64_t version() const { return view_.version(); }

 private:
  // Requests updates after the version held, or the full list after a gap. Repeats itself, which renews the
  // subscription.
  void RequestUpdate();

  RosterSettings settings_;
  core::Runtime* runtime_;
  core::CallCore* core_;
  core::Logger* log_;
  core::RosterView view_;
  bool needs_full_list_ = false;
  Counters counters_;
  core::Timer request_timer_;
  std::unique_ptr<core::DatagramPort> port_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_ROSTER_CLIENT_H_
