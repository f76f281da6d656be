// What a soak trial plays, drawn from a seed: a fleet, its settings, its traffic and a list of faults. The same seed
// gives the same script.
#ifndef CROFTRUN_LAB_SOAK_SCRIPT_H_
#define CROFTRUN_LAB_SOAK_SCRIPT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/soak/client_stand_in.h"
#include "lab/soak/exchange_stand_in.h"

namespace croftrun::lab::soak {

enum class FaultKind : std::uint8_t {
  kVanish,           // an exchange's machine: silent, new connections never up, its calls over
  kVanishAndReturn,  // the same for a while; then another process is there, cold
  kDie,              // an exchange's process: connections reset, then refused, back after a while
  kReplace,          // an exchange's process dies and another is at its address at once, with another name
  kHang,             // an exchange reads and writes nothing for a while
  kDrain,            // discovery lists an exchange as terminating, then as gone, and it ends
  kCutExchange,      // no octet passes between an exchange and any softswitch for a while
  kCutOneWay,        // the same towards one softswitch and in one direction
  kReset,            // connections to an exchange are reset; its process lives
  kForgetIdle,       // an exchange forgets its idle connections without a word
  kCloseIdle,        // an exchange closes its idle connections
  kLateConnections,  // connections to an exchange come up late, or never
  kHalfClose,        // an exchange closes its half of all connections
  kTrickle,          // octets to and from an exchange go in pieces
  kSpoil,            // an exchange spoils, repeats or never gives answers for a while
  kDiscoveryDown,    // discovery refuses connections
  kDiscoverySilent,  // discovery keeps connections open and says nothing
  kReconfigure,      // new configurations in quick succession, with SIGHUP; the last moves discovery
  kTerminate,        // SIGTERM, SIGKILL at the earliest, a new process
  kKill,             // SIGKILL outright, a new process
  kBadClients,       // a handful of clients that misbehave
  kCrowd,            // several times the calls, over more connections
  kLeavers,          // clients give up early
};
inline constexpr std::size_t kFaultKinds = 23;
std::string_view NameOf(FaultKind kind);
std::optional<FaultKind> FaultNamed(std::string_view name);

struct Fault {
  TimeUs at = 0;  // after the first call
  FaultKind kind = FaultKind::kVanish;
  int target = 0;  // slot of an exchange or index of a softswitch, by kind
  TimeUs length = 0;
};

struct Script {
  std::uint64_t seed = 1;
  int softswitches = 3, exchanges = 5;
  TimeUs length = 20'000'000;     // of the calls; then nothing new comes and what stands may end
  std::vector<TimeUs> deadlines;  // by class
  bool probes = true;
  bool retry_after = false;
  TimeUs release_us = 300'000, drain_grace_us = 500'000;
  ClientTraits clients;
  ExchangeTraits exchange;
  std::vector<Fault> faults;  // by time

  TimeUs longest_deadline() const;
  // SIGKILL comes so much after SIGTERM.
  TimeUs kill_after() const;
  bool Has(FaultKind kind) const;
  // Of all softswitches at one exchange, those of a crowd included, redials left out.
  double usual_set_ups_per_s() const;
};
// A crowd places so many times the calls.
inline constexpr double kCrowdFactor = 6.0;

struct DrawOptions {
  std::vector<FaultKind> only;  // none: all
  std::vector<FaultKind> without;
};

Script DrawScript(std::uint64_t seed, const DrawOptions& options);
std::string ToString(const Fault& fault);

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_SCRIPT_H_
