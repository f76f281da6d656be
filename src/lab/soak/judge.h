// The judge of a soak trial: finds broken rules in what the stand-ins saw, and counts how often each rule was put to
// the test. It is a function of the record alone.
#ifndef CROFTRUN_LAB_SOAK_JUDGE_H_
#define CROFTRUN_LAB_SOAK_JUDGE_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "lab/soak/cold_start_check.h"
#include "lab/soak/traffic.h"

namespace croftrun::lab::soak {

enum class Rule : std::uint8_t {
  kFinalAnswer,  // one for each set-up taken, in time; nothing after it, nothing that nobody made
  kStandingEnd,  // the end of a standing call is told: 1 s after its release, 8 s after its end
  kOneAttempt,   // never two attempts of a call out at once
  kDrain,        // nothing new to an exchange later than the grace after being told
  kReleaseTime,  // no resend within the release time of a time-out, reset or cancel
  kClientGone,   // no attempt begins over 0.1 s after its client left or cancelled
  kBadClient,    // a client that misbehaves is answered or closed within 3 s
  kShutdown,     // what is unanswered at the kill
  kNeedlessCut,  // a call that stands at an exchange that works is not cut
  kRestart,      // a restarted process is ready within 10 s; none ends by itself
  kLimits,       // descriptors and memory
  kColdStart,    // a cold exchange is not pushed over, all softswitches together
};
inline constexpr std::size_t kRules = 12;
std::string_view NameOf(Rule rule);

struct JudgeSettings {
  TimeUs release_us = 300'000;
  TimeUs drain_grace_us = 500'000;
  std::int64_t most_descriptors = 256;
  std::int64_t most_megabytes = 64;
  // Faults after which a cut of a call that stands may be the best that can be done: resets without a death, ways cut
  // for long. Where none is in the script, every such cut counts.
  bool cuts_may_be_needed = false;
  // Exchanges report their circuits. Without reports nobody can tell that a call was over before the process began to
  // which it is announced.
  bool reports = true;
  ColdStartSettings cold_start = {};
};

struct Finding {
  Rule rule = Rule::kFinalAnswer;
  TimeUs at = 0;
  std::string call = {};
  std::string text;
};

struct Verdict {
  std::vector<Finding> findings;
  std::array<std::size_t, kRules> checked{};  // by rule
  std::size_t offered = 0, answered = 0;      // set-ups, and those that stood
  std::size_t needless_cuts = 0;              // counted also where they may be needed
  std::size_t connections = 0, probes = 0;    // of softswitches to exchanges
};

Verdict Judge(const std::vector<TrafficEvent>& events, const JudgeSettings& settings);

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_JUDGE_H_
