// The schedule of a soak trial, generated from a seed: the fleet, its settings, its traffic and the faults to inject.
// The same seed always gives the same schedule.
#ifndef CROFTRUN_LAB_SOAK_SCHEDULE_H_
#define CROFTRUN_LAB_SOAK_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/soak/client_stand_in.h"
#include "lab/soak/exchange_stand_in.h"

namespace croftrun::lab::soak {

// Kinds of faults; their printed names are in schedule.cpp.
enum class FaultKind : std::uint8_t {
  kVanish,           // an exchange's host is lost: it is silent, new connections never open, its calls are over
  kVanishAndReturn,  // an exchange's host is lost for a while; then a new process, cold, is at its address
  kDie,              // an exchange's process crashes: connections are reset, then refused until it is restarted
  kReplace,          // an exchange's process crashes; at once another one with another name is at its address
  kHang,             // an exchange sends nothing for a while
  kDrain,            // discovery lists an exchange as terminating, then as gone, and its process exits
  kCutExchange,      // nothing is forwarded between an exchange and all softswitches for a while
  kCutOneWay,        // nothing is forwarded between an exchange and one softswitch in one direction for a while
  kReset,            // connections to an exchange are reset; its process lives
  kForgetIdle,       // an exchange loses the state of its idle connections without closing them
  kCloseIdle,        // an exchange closes its idle connections
  kLateConnections,  // new connections to an exchange open late, or never
  kHalfClose,        // an exchange closes the sending half of all connections
  kTrickle,          // data to and from an exchange is forwarded in small pieces
  kSpoil,            // an exchange sends malformed or duplicate answers, or none, for a while
  kHalfAnswer,     // answers of an exchange stop half way and their connection stays open; what it sends later follows
  kSucceed,        // an exchange's process ends; another one with another name starts at its address, is listed late,
                   // and the removal of the first is told later still
  kReplaceAtOnce,  // an exchange answers all pending set-ups and its process ends; at the same moment another one is
                   // at its address, see SuccessionTraits
  kDiscoveryDown,  // discovery refuses connections
  kDiscoverySilent,     // discovery keeps its connections open and sends nothing
  kDiscoveryLate,       // discovery ends its responses, and is slow to begin those to the next requests
  kDiscoveryHalf,       // the same, but the header of each response comes at once and only the rest is late
  kDiscoveryHalfEvent,  // the same as silence, after the first half of a large event
  kReconfigure,         // several new configurations in quick succession, with SIGHUP; the last one moves discovery
  kTerminate,           // SIGTERM, SIGKILL as early as is allowed, then a new process
  kKill,                // SIGKILL without SIGTERM, then a new process
  kBadClients,          // a few clients that misbehave
  kCrowd,               // several times the call rate, over more connections
  kLeavers,             // more clients cancel or disconnect early
  kReconnect,           // callers replace their connections again and again and announce their calls on the new ones
  kFlood,        // a client sends small or unsound requests at full speed on one connection, under ever new names
  kLeaveUnread,  // a client leaves with set-ups unread or unanswered, and some of their ids come again
  kSlowWriters,  // over a hundred clients at once that write slowly, stop half way or send a great many short fields
};
inline constexpr std::size_t kFaultKindCount = 33;
// Returns the printed name of a kind.
std::string_view NameOf(FaultKind kind);
// Returns nothing for an unknown name.
std::optional<FaultKind> ParseFaultKind(std::string_view name);

// How discovery tells that a process was replaced.
enum class ListingOrder : std::uint8_t { kRemovalThenStart, kStartThenRemoval, kTwoEvents, kStartFirst, kWholeList };
inline constexpr int kListingOrderCount = 5;
std::string_view NameOf(ListingOrder order);

// Variants of kReplaceAtOnce; Fault::duration is the time from the end of the process to the listing.
struct SuccessionTraits {
  ListingOrder listing = ListingOrder::kRemovalThenStart;
  TimeUs listing_gap = 0;            // between the two events, where there are two
  TimeUs pause = 40'000;             // the softswitches are stopped for this time, from before the last answers
  TimeUs dark_time = 0;              // new connections to the address do not open for this time
  std::int64_t clock_offset_ms = 0;  // by which the clock that states the start is ahead
  bool closes_in_order = false;      // the connections are closed in place of reset
  bool keeps_name = false;           // the new process has the name of the old one
};

// A fault to inject.
struct Fault {
  TimeUs at = 0;  // after the start of the traffic
  FaultKind kind = FaultKind::kVanish;
  int target = 0;  // index of an exchange or a softswitch, depending on the kind
  TimeUs duration = 0;
  TimeUs response_delay = 0;  // of discovery
  SuccessionTraits succession = {};
};

// The schedule of one trial.
struct Schedule {
  std::uint64_t seed = 1;
  int softswitches = 3, exchanges = 5;
  TimeUs traffic_duration = 20'000'000;  // then no new calls are placed, and established calls may end
  std::vector<TimeUs> deadlines;         // by class of call
  bool probes = true;
  bool retry_after = false;
  TimeUs resend_guard_us = 300'000, drain_grace_us = 500'000;
  ClientTraits clients;
  ExchangeTraits exchange;
  std::vector<Fault> faults;  // sorted by time

  // The longest deadline of any class of call.
  TimeUs max_deadline() const;
  // Time from SIGTERM to SIGKILL when a softswitch is terminated.
  TimeUs kill_delay() const;
  // True if the schedule has a fault of this kind.
  bool Has(FaultKind kind) const;
  // Rate at which one exchange receives set-ups from all softswitches in normal operation, including those of a crowd
  // but not redials.
  double nominal_set_ups_per_s() const;
};
// Time from the end of an exchange's process to the start of its successor.
inline constexpr TimeUs kSuccessionDelay = 200'000;
// Factor by which a crowd raises the call rate.
inline constexpr double kCrowdFactor = 6.0;

// Selects the kinds of faults that a schedule may have.
struct GeneratorOptions {
  std::vector<FaultKind> only;     // kinds to generate; all if empty
  std::vector<FaultKind> without;  // kinds to leave out
};

// Generates the schedule for a seed.
Schedule GenerateSchedule(std::uint64_t seed, const GeneratorOptions& options);
std::string ToString(const SuccessionTraits& traits);
// Describes a fault with its time, target and duration.
std::string ToString(const Fault& fault);

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_SCHEDULE_H_
