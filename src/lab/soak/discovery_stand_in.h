// Service discovery as one softswitch of a soak trial sees it: numbered events over HTTP, a comment each second, silent
// or unreachable when the script says so (unreachability is its proxy's).
#ifndef CROFTRUN_LAB_SOAK_DISCOVERY_STAND_IN_H_
#define CROFTRUN_LAB_SOAK_DISCOVERY_STAND_IN_H_

#include <list>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/runtime.h"
#include "lab/soak/traffic.h"

namespace croftrun::lab::soak {

// One exchange as discovery lists it.
struct Listing {
  std::string uid;
  core::Address address;
  int number = 0;
  int instance = 0;
  std::string state = "Ready";  // Ready, Terminating, Gone
  std::int64_t boot_ms = 0;
};

class DiscoveryStandIn final : public core::StreamAcceptor {
 public:
  DiscoveryStandIn(core::Runtime* runtime, TrafficRecord* record, int softswitch, const core::Address& listen);
  ~DiscoveryStandIn() override;

  // Lists or changes one exchange: an event with the next number.
  void List(const Listing& listing);
  // Nothing is written on any watch, comments included; requests go unanswered.
  void SetSilent(bool silent);
  // The value of `known` in a configuration that is written now.
  nlohmann::json Known() const;
  core::StreamHandler* OnAccept(std::unique_ptr<core::Stream> stream) override;

 private:
  class Watch;
  struct Event {
    std::uint64_t number = 0;
    Listing listing;
  };
  void WriteTo(Watch* watch);
  void Comment();

  core::Runtime* runtime_;
  TrafficRecord* record_;
  int softswitch_;
  std::vector<Event> events_;
  std::list<std::unique_ptr<Watch>> watches_;
  bool silent_ = false;
  core::Timer comment_;
  std::unique_ptr<core::StreamListener> listener_;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_DISCOVERY_STAND_IN_H_
