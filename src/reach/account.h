// Accounting of the call attempts of a simulated day: attributes every attempt that was not served to exactly one loss
// category, and detects wasted resources.
//
// The ledger is fed with observations in order of time. It does no I/O, reads no clock and uses nothing of the decision
// module.
#ifndef CROFTRUN_REACH_ACCOUNT_H_
#define CROFTRUN_REACH_ACCOUNT_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::reach {

// The loss category of a call attempt: why it was not served.
enum class LossCategory : std::uint8_t {
  kNoCircuit,           // no route had a free circuit when the attempt ended
  kNotTried,            // a route had one, but no set-up was sent, by decision (admission, budget, back-off)
  kNotTriedUnhealthy,   // as kNotTried, with an unhealthy exchange at either end (down, cold, slow, hung, leaving)
  kLateRedial,          // as kNotTried, for a redial that could no longer be answered in time
  kGlare,               // the last set-up collided with a seizure by the far end
  kStuckCircuit,        // ... used a circuit that the far end took as out of service or the own gateway as in use
  kCrankback,           // ... reached a tandem without a free onward circuit, though some route was free
  kWarmingUp,           // ... was sent to an exchange that had just started
  kExchangeDown,        // ... was sent to an exchange that was down, hung or gone
  kExchangeOverloaded,  // ... was sent to an exchange whose processor was slow or full
  kLinesBusy,           // ... was for a number whose lines were all busy
  kPath,                // no response to the set-up arrived, or the caller received no final answer
  kOwnEdge,             // the own exchange failed: processor down, edge killed or stalled
  kCallAbandoned,       // the caller hung up before the answer
  kTerminated,          // the call was established and then terminated
};
inline constexpr std::size_t kLossCategories = 15;
// The name of the category in reports.
std::string_view Name(LossCategory lost);

// How a set-up ended, as seen on the wire; kPending means that it has not ended. kReleased has a cause value (ITU-T
// Q.850).
enum class SetUpOutcome : std::uint8_t { kPending, kAnswered, kReleased, kCancelled, kOwnRefused, kOwnDown };

// The end of a call attempt, with the state of the network at that moment.
struct AttemptRecord {
  int from = -1, to = -1;  // exchanges
  int call_class = 0;
  // "stands", "stands-late", "refused", "failed", "unanswered" or "hung-up". "cut" and "cut-late" are reported later,
  // for an attempt that was reported as "stands" or "stands-late" before.
  std::string_view outcome;
  bool direct = false;   // the direct group had a circuit that was free at both ends
  int tandems = 0;       // routes over one tandem with a free circuit on both groups
  bool healthy = false;  // both exchanges up, warm and listed, their queueing delays under a quarter of the maximum
  bool own_edge_down = false;
  bool late_redial = false;  // a redial made when most of the time for an answer in time had passed
  // The last set-up of the attempt. If `sent` is false, none was sent.
  bool sent = false;
  SetUpOutcome set_up_outcome = SetUpOutcome::kPending;
  int cause = 0;
  bool warming_up = false, down = false, slow = false;  // state of the exchange it was sent to when the set-up ended
};

// Attempts by result.
struct Account {
  std::uint64_t tries = 0, in_time = 0, late = 0;
  std::array<std::uint64_t, kLossCategories> lost = {};
  std::uint64_t LostTotal() const;
  // Whether every attempt is counted exactly once.
  bool IsBalanced() const { return in_time + late + LostTotal() == tries; }
};

// Limits beyond which unused or misused resources count as waste; a day with waste fails.
struct WasteLimits {
  unsigned max_consecutive_refusals = 3;  // of one circuit, each less than max_refusal_gap_us after the one before
  TimeUs max_refusal_gap_us = 1'000'000;
  // Idle group: a group with free circuits between healthy exchanges whose calls are refused for this time, with at
  // least this many refusals and no set-up on it. The time is longer than a sender's back-off after consecutive losses
  // (1, 2 and 4 s in the decision module).
  TimeUs min_idle_us = 5'000'000;
  unsigned min_idle_refusals = 8;
  // Avoided exchange: a healthy exchange that receives no set-up for this time while at least this many calls to it are
  // refused.
  TimeUs min_avoided_us = 10'000'000;
  unsigned min_avoided_refusals = 12;
};

// Attributes every call attempt to a result and detects waste.
class Ledger {
 public:
  static constexpr std::size_t kMaxExamples = 10;
  explicit Ledger(std::size_t classes, const WasteLimits& limits = {}) : limits_(limits), accounts_(classes) {}

  void RecordAttempt(TimeUs at, const AttemptRecord& attempt);
  // A set-up for a call to `destination` was sent from `from` to `to`, the exchange at the far end of the circuit.
  void RecordSetUp(TimeUs at, int from, int to, int destination);
  // A seizure of this circuit was refused because of the circuit's state (glare, out of service), or the circuit was
  // used successfully.
  void RecordCircuitRefusal(TimeUs at, int from, const std::string& circuit);
  void RecordCircuitUse(int from, const std::string& circuit);

  const std::vector<Account>& accounts() const { return accounts_; }
  Account Total() const;
  // The largest number of consecutive refusals of one circuit, regardless of the time between them.
  unsigned max_consecutive_refusals() const { return max_consecutive_refusals_; }
  std::uint64_t refusals() const { return refusals_; }
  // The number of cases of waste, and a description with place and time of the first kMaxExamples of them.
  std::uint64_t waste_count() const { return waste_count_; }
  const std::vector<std::string>& examples() const { return examples_; }

 private:
  // Consecutive refusals of a circuit: all of them, and those that followed closely.
  struct RefusalRun {
    unsigned all = 0, close = 0;
    TimeUs last = 0;
  };
  // Refused calls without a set-up in between.
  struct RefusedCalls {
    TimeUs since = 0;  // time of the first one; valid if `count` is not 0
    unsigned count = 0;
    bool reported = false;
  };
  void RecordWaste(TimeUs at, const std::string& description);
  // The loss category of an attempt that was not served.
  static LossCategory Category(const AttemptRecord& attempt);

  WasteLimits limits_;
  std::vector<Account> accounts_;
  std::map<std::pair<int, std::string>, RefusalRun> refusal_runs_;  // by exchange and circuit
  std::map<std::pair<int, int>, RefusedCalls> idle_groups_;         // by from and to
  std::map<int, RefusedCalls> avoided_exchanges_;                   // by to
  unsigned max_consecutive_refusals_ = 0;
  std::uint64_t refusals_ = 0, waste_count_ = 0;
  std::vector<std::string> examples_;
};

}  // namespace croftrun::reach

#endif  // CROFTRUN_REACH_ACCOUNT_H_
