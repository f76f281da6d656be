#include "lab/soak/schedule.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace croftrun::lab::soak {
namespace {

constexpr TimeUs kSecond = 1'000'000, kMs = 1'000;
// Delays of discovery's responses. With the time until the next request is sent, a notification still arrives within
// the 6 s after which it counts as received.
constexpr TimeUs kMinResponseDelay = 2 * kSecond, kMaxResponseDelay = 3'500 * kMs;
// Time that an exchange drains while discovery is slow: longer than the 6 s after which the drain counts as known.
constexpr TimeUs kMinLongDrainTime = 7 * kSecond, kMaxLongDrainTime = 9 * kSecond;
// Time from the start of an exchange to its listing.
constexpr TimeUs kMinListingDelay = 870 * kMs, kMaxListingDelay = 2'500 * kMs;
// Time from the removal of an exchange to the listing of its successor. Calls at a process that is not listed yet are
// kept for 0.8 s after the removal and released then.
constexpr TimeUs kMaxListingGap = 700 * kMs;
constexpr TimeUs kMaxKillDelay = 3 * kSecond, kKillMargin = 700 * kMs;

constexpr std::array<std::string_view, kFaultKindCount> kNames{"vanish",
                                                               "vanish-and-return",
                                                               "die",
                                                               "replace",
                                                               "hang",
                                                               "drain",
                                                               "cut",
                                                               "one-way",
                                                               "reset",
                                                               "forget",
                                                               "close-idle",
                                                               "late",
                                                               "half-close",
                                                               "trickle",
                                                               "spoil",
                                                               "half-answer",
                                                               "succeed",
                                                               "replace-at-once",
                                                               "discovery-down",
                                                               "discovery-silent",
                                                               "discovery-late",
                                                               "discovery-half",
                                                               "discovery-half-event",
                                                               "reconfigure",
                                                               "terminate",
                                                               "kill",
                                                               "bad-clients",
                                                               "crowd",
                                                               "leavers",
                                                               "reconnect",
                                                               "flood",
                                                               "leave-unread",
                                                               "slow-writers"};

constexpr std::array<std::string_view, kListingOrderCount> kListingNames{
    "removal then start", "start then removal", "removal before the start", "start before the removal", "whole list"};

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed * 0x9e3779b97f4a7c15U + 1) {}
  // A random integer from `min` to `max`. std::uniform_int_distribution is not used, as its results differ between
  // standard libraries.
  TimeUs Between(TimeUs min, TimeUs max) { return min + random_() % (max - min + 1); }
  int Index(int count) { return static_cast<int>(random_() % static_cast<std::uint64_t>(count)); }
  bool OneIn(int n) { return Index(n) == 0; }
  double Uniform() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }

 private:
  std::mt19937_64 random_;
};

// Half of the replacements are those of report 3b80c6: listed after 0.45 s, with the address dark until then.
SuccessionTraits DrawSuccession(RandomSource& random) {
  constexpr std::array<std::int64_t, 5> kClockOffsetsMs{0, 0, -30, -300, 30};
  SuccessionTraits traits;
  traits.listing = static_cast<ListingOrder>(random.Index(kListingOrderCount));
  traits.listing_gap = random.Between(50 * kMs, kMaxListingGap);
  traits.pause = random.OneIn(3) ? random.Between(kMs, 400 * kMs) : 40 * kMs;
  traits.dark_time = random.OneIn(2) ? random.Between(450 * kMs, 600 * kMs) : 0;
  traits.clock_offset_ms = kClockOffsetsMs[static_cast<std::size_t>(random.Index(kClockOffsetsMs.size()))];
  traits.closes_in_order = random.OneIn(2);
  traits.keeps_name = random.OneIn(5);
  return traits;
}

TimeUs DrawDuration(FaultKind kind, RandomSource& random) {
  switch (kind) {
    case FaultKind::kVanishAndReturn:
      return random.Between(2'500 * kMs, 6 * kSecond);
    case FaultKind::kDie:
      return random.Between(kSecond, 5 * kSecond);
    case FaultKind::kHang:
      return random.Between(500 * kMs, 3 * kSecond);
    case FaultKind::kDrain:
      return random.Between(800 * kMs, 4 * kSecond);
    case FaultKind::kCutExchange:
    case FaultKind::kCutOneWay:
      return random.Between(500 * kMs, 6 * kSecond);
    case FaultKind::kLateConnections:
      return random.Between(600 * kMs, 950 * kMs);
    case FaultKind::kSucceed:
      return random.Between(kMinListingDelay, kMaxListingDelay);
    case FaultKind::kReplaceAtOnce:
      return random.OneIn(2) ? 450 * kMs : random.Between(30 * kMs, 5 * kSecond);
    case FaultKind::kDiscoveryDown:
    case FaultKind::kDiscoverySilent:
    case FaultKind::kDiscoveryHalfEvent:
      return random.Between(3 * kSecond, 14 * kSecond);
    case FaultKind::kDiscoveryLate:
    case FaultKind::kDiscoveryHalf:
      return random.Between(9 * kSecond, 14 * kSecond);
    default:
      return random.Between(kSecond, 6 * kSecond);
  }
}

bool TargetsSoftswitch(FaultKind kind) { return kind >= FaultKind::kReconfigure; }
bool TargetsDiscovery(FaultKind kind) {
  return kind >= FaultKind::kDiscoveryDown && kind <= FaultKind::kDiscoveryHalfEvent;
}
bool DelaysResponses(FaultKind kind) { return kind == FaultKind::kDiscoveryLate || kind == FaultKind::kDiscoveryHalf; }

bool IsAllowed(FaultKind kind, const GeneratorOptions& options) {
  const auto has = [kind](const std::vector<FaultKind>& list) {
    return std::find(list.begin(), list.end(), kind) != list.end();
  };
  return (options.only.empty() || has(options.only)) && !has(options.without);
}

void GenerateFaults(Schedule* schedule, const GeneratorOptions& options, RandomSource& random) {
  std::vector<FaultKind> kinds;
  for (std::size_t i = 0; i < kFaultKindCount; ++i) {
    if (IsAllowed(static_cast<FaultKind>(i), options)) kinds.push_back(static_cast<FaultKind>(i));
  }
  if (kinds.empty()) return;
  const int count = 5 + random.Index(8);
  TimeUs anchor = random.Between(2 * kSecond, 5 * kSecond);
  const TimeUs latest = schedule->traffic_duration - 10 * kSecond;
  for (int i = 0; i < count; ++i) {
    Fault fault;
    fault.kind = kinds[static_cast<std::size_t>(random.Index(static_cast<int>(kinds.size())))];
    // Most faults overlap or follow another one: they begin within a second of the start or the end of the last one.
    fault.at =
        random.OneIn(3) ? random.Between(2 * kSecond, latest) : std::min(latest, anchor + random.Between(0, kSecond));
    fault.duration = DrawDuration(fault.kind, random);
    fault.target = random.Index(TargetsSoftswitch(fault.kind) ? schedule->softswitches : schedule->exchanges);
    if (DelaysResponses(fault.kind)) fault.response_delay = random.Between(kMinResponseDelay, kMaxResponseDelay);
    if (fault.kind == FaultKind::kReplaceAtOnce) fault.succession = DrawSuccession(random);
    anchor = random.OneIn(2) ? fault.at : std::min(latest, fault.at + fault.duration);
    schedule->faults.push_back(fault);
    // Softswitches are terminated in a series. An exchange may be lost or replaced during an outage of discovery.
    if (fault.kind == FaultKind::kTerminate) {
      for (int next = 1 + random.Index(schedule->softswitches - 1); next > 0; --next) {
        fault.at = std::min(latest, fault.at + random.Between(200 * kMs, 1'500 * kMs));
        fault.target = (fault.target + 1) % schedule->softswitches;
        schedule->faults.push_back(fault);
      }
    }
    // Exchanges drain while discovery is slow.
    if (DelaysResponses(fault.kind) && IsAllowed(FaultKind::kDrain, options)) {
      schedule->faults.push_back({std::min(latest, fault.at + random.Between(500 * kMs, 2 * kSecond)),
                                  FaultKind::kDrain, random.Index(schedule->exchanges),
                                  random.Between(kMinLongDrainTime, kMaxLongDrainTime)});
    }
    // A softswitch is started again while discovery lists a successor beside its predecessor.
    if (fault.kind == FaultKind::kSucceed && IsAllowed(FaultKind::kKill, options) && random.OneIn(2)) {
      const TimeUs listed_at = fault.at + kSuccessionDelay + fault.duration;
      schedule->faults.push_back({std::min(latest, listed_at + random.Between(50 * kMs, kSecond)), FaultKind::kKill,
                                  random.Index(schedule->softswitches), 0});
    }
    const FaultKind companion = random.OneIn(2) ? FaultKind::kVanish : FaultKind::kReplace;
    if (TargetsDiscovery(fault.kind) && IsAllowed(companion, options) && random.OneIn(2)) {
      schedule->faults.push_back({std::min(latest, fault.at + random.Between(0, 2 * kSecond)), companion,
                                  random.Index(schedule->exchanges), 0});
    }
  }
  std::stable_sort(schedule->faults.begin(), schedule->faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
}

}  // namespace

std::string_view NameOf(FaultKind kind) { return kNames[static_cast<std::size_t>(kind)]; }

std::string_view NameOf(ListingOrder order) { return kListingNames[static_cast<std::size_t>(order)]; }

std::optional<FaultKind> ParseFaultKind(std::string_view name) {
  for (std::size_t i = 0; i < kFaultKindCount; ++i) {
    if (kNames[i] == name) return static_cast<FaultKind>(i);
  }
  return std::nullopt;
}

TimeUs Schedule::max_deadline() const { return *std::max_element(deadlines.begin(), deadlines.end()); }

TimeUs Schedule::kill_delay() const { return std::min(max_deadline(), kMaxKillDelay) + kKillMargin; }

bool Schedule::Has(FaultKind kind) const {
  return std::any_of(faults.begin(), faults.end(), [kind](const Fault& fault) { return fault.kind == kind; });
}

double Schedule::nominal_set_ups_per_s() const {
  const double set_ups_per_softswitch = clients.calls_per_s * (Has(FaultKind::kCrowd) ? kCrowdFactor : 1.0);
  return set_ups_per_softswitch * static_cast<double>(softswitches) / static_cast<double>(std::max(1, exchanges - 1));
}

std::string ToString(const SuccessionTraits& traits) {
  char text[160];
  std::snprintf(
      text, sizeof(text), "%s (gap %llu ms), softswitches stopped for %llu ms, dark for %llu ms, clock %+lld ms",
      std::string(NameOf(traits.listing)).c_str(), static_cast<unsigned long long>(traits.listing_gap / kMs),
      static_cast<unsigned long long>(traits.pause / kMs), static_cast<unsigned long long>(traits.dark_time / kMs),
      static_cast<long long>(traits.clock_offset_ms));
  return std::string(text) + (traits.closes_in_order ? ", closed in order" : ", reset") +
         (traits.keeps_name ? ", same name" : "");
}

std::string ToString(const Fault& fault) {
  char text[128];
  std::snprintf(text, sizeof(text), "%.3f s %s of %d for %.3f s", static_cast<double>(fault.at) / 1e6,
                std::string(NameOf(fault.kind)).c_str(), fault.target, static_cast<double>(fault.duration) / 1e6);
  if (fault.kind == FaultKind::kReplaceAtOnce) return text + (", " + ToString(fault.succession));
  if (fault.response_delay == 0) return text;
  return text + std::string(", responses delayed by ") + std::to_string(fault.response_delay / kMs) + " ms";
}

Schedule GenerateSchedule(std::uint64_t seed, const GeneratorOptions& options) {
  RandomSource random(seed);
  Schedule schedule;
  schedule.seed = seed;
  schedule.softswitches = 3 + random.Index(3);
  schedule.exchanges = schedule.softswitches + random.Index(3);
  schedule.traffic_duration = random.Between(20 * kSecond, 28 * kSecond);
  const int classes = 1 + random.Index(3);
  for (int i = 0; i < classes; ++i)
    schedule.deadlines.push_back(random.Between(400 * kMs, random.OneIn(2) ? 1'500 * kMs : 9 * kSecond));
  schedule.probes = random.OneIn(2);
  schedule.retry_after = random.OneIn(2);
  schedule.clients.calls_per_s = 2.0 + 12.0 * random.Uniform();
  // Some trials have little traffic, so that faults hit connections that were idle for long.
  if (random.OneIn(4)) schedule.clients.calls_per_s = 0.5;
  schedule.clients.hosts = 1 + random.Index(3);
  schedule.clients.max_connections = 1 + random.Index(5);
  schedule.clients.probes_from_caller_host = random.OneIn(2);
  schedule.clients.idle_close_timeout = random.OneIn(2) ? 4 * kSecond : random.Between(300 * kMs, 2 * kSecond);
  schedule.exchange.mean_holding_time = random.Between(2 * kSecond, 12 * kSecond);
  schedule.exchange.mean_answer_delay = random.Between(kMs, 20 * kMs);
  schedule.exchange.circuits = 5 + random.Index(40);
  schedule.exchange.reports_circuits = !random.OneIn(3);
  schedule.exchange.reports_on_connect = schedule.exchange.reports_circuits;
  for (std::size_t i = 0; i < schedule.deadlines.size(); ++i) {
    schedule.clients.classes.push_back("class-" + std::to_string(i));
    schedule.clients.caller_timeouts.push_back(schedule.deadlines[i]);
  }
  GenerateFaults(&schedule, options, random);
  return schedule;
}

}  // namespace croftrun::lab::soak
