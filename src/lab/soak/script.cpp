#include "lab/soak/script.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace croftrun::lab::soak {
namespace {

constexpr TimeUs kSecond = 1'000'000, kMs = 1'000;
constexpr TimeUs kLongestKillWait = 3 * kSecond, kKillMargin = 700 * kMs;

constexpr std::array<std::string_view, kFaultKinds> kNames{"vanish",
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
                                                           "discovery-down",
                                                           "discovery-silent",
                                                           "reconfigure",
                                                           "terminate",
                                                           "kill",
                                                           "bad-clients",
                                                           "crowd",
                                                           "leavers"};

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed * 0x9e3779b97f4a7c15U + 1) {}
  // A whole number from `least` to `most`. Not std::uniform_int_distribution, whose numbers differ between libraries.
  TimeUs Between(TimeUs least, TimeUs most) { return least + random_() % (most - least + 1); }
  int Index(int count) { return static_cast<int>(random_() % static_cast<std::uint64_t>(count)); }
  bool OneIn(int n) { return Index(n) == 0; }
  double Unit() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }

 private:
  std::mt19937_64 random_;
};

TimeUs LengthOf(FaultKind kind, Draw& draw) {
  switch (kind) {
    case FaultKind::kVanishAndReturn:
      return draw.Between(2'500 * kMs, 6 * kSecond);
    case FaultKind::kDie:
      return draw.Between(kSecond, 5 * kSecond);
    case FaultKind::kHang:
      return draw.Between(500 * kMs, 3 * kSecond);
    case FaultKind::kDrain:
      return draw.Between(800 * kMs, 4 * kSecond);
    case FaultKind::kCutExchange:
    case FaultKind::kCutOneWay:
      return draw.Between(500 * kMs, 6 * kSecond);
    case FaultKind::kLateConnections:
      return draw.Between(600 * kMs, 950 * kMs);
    case FaultKind::kDiscoveryDown:
    case FaultKind::kDiscoverySilent:
      return draw.Between(3 * kSecond, 14 * kSecond);
    default:
      return draw.Between(kSecond, 6 * kSecond);
  }
}

bool OfSoftswitch(FaultKind kind) { return kind >= FaultKind::kReconfigure; }
bool OfDiscovery(FaultKind kind) { return kind == FaultKind::kDiscoveryDown || kind == FaultKind::kDiscoverySilent; }

bool Allowed(FaultKind kind, const DrawOptions& options) {
  const auto has = [kind](const std::vector<FaultKind>& list) {
    return std::find(list.begin(), list.end(), kind) != list.end();
  };
  return (options.only.empty() || has(options.only)) && !has(options.without);
}

void DrawFaults(Script* script, const DrawOptions& options, Draw& draw) {
  std::vector<FaultKind> kinds;
  for (std::size_t i = 0; i < kFaultKinds; ++i) {
    if (Allowed(static_cast<FaultKind>(i), options)) kinds.push_back(static_cast<FaultKind>(i));
  }
  if (kinds.empty()) return;
  const int count = 5 + draw.Index(8);
  TimeUs anchor = draw.Between(2 * kSecond, 5 * kSecond);
  const TimeUs last = script->length - 10 * kSecond;
  for (int i = 0; i < count; ++i) {
    Fault fault;
    fault.kind = kinds[static_cast<std::size_t>(draw.Index(static_cast<int>(kinds.size())))];
    // Most faults lean on one another: they begin within a second of the last one, or at its end.
    fault.at = draw.OneIn(3) ? draw.Between(2 * kSecond, last) : std::min(last, anchor + draw.Between(0, kSecond));
    fault.length = LengthOf(fault.kind, draw);
    fault.target = draw.Index(OfSoftswitch(fault.kind) ? script->softswitches : script->exchanges);
    anchor = draw.OneIn(2) ? fault.at : std::min(last, fault.at + fault.length);
    script->faults.push_back(fault);
    // Shutdowns come in series; discovery that is away has a machine vanish while it is.
    if (fault.kind == FaultKind::kTerminate) {
      for (int next = 1 + draw.Index(script->softswitches - 1); next > 0; --next) {
        fault.at = std::min(last, fault.at + draw.Between(200 * kMs, 1'500 * kMs));
        fault.target = (fault.target + 1) % script->softswitches;
        script->faults.push_back(fault);
      }
    }
    const FaultKind companion = draw.OneIn(2) ? FaultKind::kVanish : FaultKind::kReplace;
    if (OfDiscovery(fault.kind) && Allowed(companion, options) && draw.OneIn(2)) {
      script->faults.push_back(
          {std::min(last, fault.at + draw.Between(0, 2 * kSecond)), companion, draw.Index(script->exchanges), 0});
    }
  }
  std::stable_sort(script->faults.begin(), script->faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
}

}  // namespace

std::string_view NameOf(FaultKind kind) { return kNames[static_cast<std::size_t>(kind)]; }

std::optional<FaultKind> FaultNamed(std::string_view name) {
  for (std::size_t i = 0; i < kFaultKinds; ++i) {
    if (kNames[i] == name) return static_cast<FaultKind>(i);
  }
  return std::nullopt;
}

TimeUs Script::longest_deadline() const { return *std::max_element(deadlines.begin(), deadlines.end()); }

TimeUs Script::kill_after() const { return std::min(longest_deadline(), kLongestKillWait) + kKillMargin; }

bool Script::Has(FaultKind kind) const {
  return std::any_of(faults.begin(), faults.end(), [kind](const Fault& fault) { return fault.kind == kind; });
}

double Script::usual_set_ups_per_s() const {
  const double from_one = clients.calls_per_s * (Has(FaultKind::kCrowd) ? kCrowdFactor : 1.0);
  return from_one * static_cast<double>(softswitches) / static_cast<double>(std::max(1, exchanges - 1));
}

std::string ToString(const Fault& fault) {
  char text[96];
  std::snprintf(text, sizeof(text), "%.3f s %s of %d for %.3f s", static_cast<double>(fault.at) / 1e6,
                std::string(NameOf(fault.kind)).c_str(), fault.target, static_cast<double>(fault.length) / 1e6);
  return text;
}

Script DrawScript(std::uint64_t seed, const DrawOptions& options) {
  Draw draw(seed);
  Script script;
  script.seed = seed;
  script.softswitches = 3 + draw.Index(3);
  script.exchanges = script.softswitches + draw.Index(3);
  script.length = draw.Between(20 * kSecond, 28 * kSecond);
  const int classes = 1 + draw.Index(3);
  for (int i = 0; i < classes; ++i)
    script.deadlines.push_back(draw.Between(400 * kMs, draw.OneIn(2) ? 1'500 * kMs : 9 * kSecond));
  script.probes = draw.OneIn(2);
  script.retry_after = draw.OneIn(2);
  script.clients.calls_per_s = 2.0 + 12.0 * draw.Unit();
  // Some trials are quiet: what goes wrong begins after a long silence.
  if (draw.OneIn(4)) script.clients.calls_per_s = 0.5;
  script.clients.hosts = 1 + draw.Index(3);
  script.clients.most_connections = 1 + draw.Index(5);
  script.clients.tests_from_same_host = draw.OneIn(2);
  script.clients.closes_idle_after = draw.OneIn(2) ? 4 * kSecond : draw.Between(300 * kMs, 2 * kSecond);
  script.exchange.hold_mean = draw.Between(2 * kSecond, 12 * kSecond);
  script.exchange.answer_after = draw.Between(kMs, 20 * kMs);
  script.exchange.circuits = 5 + draw.Index(40);
  script.exchange.tells_gauges = !draw.OneIn(3);
  script.exchange.greets = script.exchange.tells_gauges;
  for (std::size_t i = 0; i < script.deadlines.size(); ++i) {
    script.clients.classes.push_back("class-" + std::to_string(i));
    script.clients.waits.push_back(script.deadlines[i]);
  }
  DrawFaults(&script, options, draw);
  return script;
}

}  // namespace croftrun::lab::soak
