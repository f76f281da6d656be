// The judge of a soak trial: checks the event log of the stand-ins for violations, and counts how often each check
// applied. The verdict depends on the event log and the settings alone.
#ifndef CROFTRUN_LAB_SOAK_JUDGE_H_
#define CROFTRUN_LAB_SOAK_JUDGE_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "lab/soak/cold_start_check.h"
#include "lab/soak/event_log.h"

namespace croftrun::lab::soak {

// The names that are printed for the checks are in judge.cpp.
enum class Check : std::uint8_t {
  kFinalAnswer,  // each accepted set-up gets exactly one final answer in time, and an answer comes from an exchange
  kCallEnd,      // the caller is notified of a call's end: within 1 s of its release, 8 s if no release was sent
  kOneAttempt,   // a call never has two attempts outstanding
  kDrain,        // an exchange gets no new set-up once the grace time after the drain notification is over
  kReleaseTime,  // no resend within the resend guard time after a time-out, a reset or a cancellation
  kClientGone,   // no attempt starts more than 0.1 s after the client disconnected or cancelled
  kBadClient,    // a misbehaving client is answered or disconnected within 3 s
  kShutdown,     // no accepted set-up is unanswered when a terminated process is killed
  kNeedlessDisconnect,  // the softswitch does not disconnect an established call at a working exchange
  kRestart,             // a started process is ready within 10 s, and none exits without having been terminated
  kResources,           // open descriptors and resident memory stay within their limits
  kColdStart,           // the softswitches together do not overload an exchange that is warming up
};
inline constexpr std::size_t kCheckCount = 12;
// Returns the printed name of a check.
std::string_view NameOf(Check check);

// Limits and expectations of the checks.
struct JudgeSettings {
  TimeUs resend_guard_us = 300'000;
  TimeUs drain_grace_us = 500'000;
  std::int64_t max_descriptors = 256;
  std::int64_t max_megabytes = 64;
  // The schedule has faults after which disconnecting an established call may be the best choice: connections that are
  // reset although the exchange's process lives, and long network interruptions. Without such faults, each disconnect
  // of a call by the softswitch is a violation.
  bool disconnects_may_be_needed = false;
  // Exchanges report their circuits. Without reports a softswitch cannot find out that an announced call had ended
  // before its own process was started.
  bool exchanges_report = true;
  ColdStartSettings cold_start = {};
};

// A failed check; `call` is empty where the violation does not concern a single call.
struct Violation {
  Check check = Check::kFinalAnswer;
  TimeUs at = 0;
  std::string call = {};
  std::string text;
};

// The result of a trial.
struct Verdict {
  std::vector<Violation> violations;
  std::array<std::size_t, kCheckCount> checked{};  // how often each check applied
  std::size_t offered = 0, answered = 0;           // set-ups sent by clients, and those of them that were answered
  std::size_t needless_disconnects = 0;            // counted also where `disconnects_may_be_needed`
  std::int64_t max_megabytes = 0;                  // largest resident memory of a softswitch
  TimeUs longest_answer_wait = 0;                  // of a client that did not leave
  std::size_t connections = 0, probes = 0;         // from softswitches to exchanges
};

// Judges the events of one trial, which are in the order of time.
Verdict Judge(const std::vector<TrialEvent>& events, const JudgeSettings& settings);

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_JUDGE_H_
