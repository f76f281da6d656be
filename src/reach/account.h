// Where the worth of a day went: every try without a good end charged to exactly one cause, and resources
// that were plainly wasted. Told what was seen, in order; no I/O, no clock, nothing of the product's own
// decisions.
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

// Why a try came to nothing.
enum class Lost : std::uint8_t {
  kNoCircuit,       // no way had a circuit free at its end: none was to be had
  kNotTried,        // one had, and no set-up was sent: by decision (admission, budget, pause)
  kNotTriedUnwell,  // the same, and an exchange at either end was not well (down, cold, slow, hung, leaving)
  kLateRedial,      // the same, for a redial that could no longer be in time
  kGlare,           // its last set-up met a seizure by the far end
  kStuckCircuit,    // ... a circuit that the far end held for out of service, or the own gateway for taken
  kTurnedBack,      // ... a tandem without a circuit onward, though some way was free
  kCold,            // ... an exchange that had just started
  kDead,            // ... one that was down, hung or gone
  kSlow,            // ... one whose processor was slow or full
  kBusy,            // ... a number whose lines were all busy
  kPath,            // nobody answered, or the caller heard nothing
  kOwnEdge,         // the own exchange: processor down, edge killed or standing still
  kCallerGone,      // hung up before the answer
  kCut,             // stood, and was cut
};
inline constexpr std::size_t kLost = 15;
std::string_view Name(Lost lost);

// How a set-up ended, as seen on the wire. kReleased comes with its cause (ITU-T Q.850).
enum class SetUpEnd : std::uint8_t { kOut, kAnswered, kReleased, kGivenUp, kOwnRefused, kOwnDown };

struct TryEnd {
  int from = -1, to = -1;
  int call_class = 0;
  // "stands", "stands-late", "refused", "failed", "unanswered", "hung-up"; "cut", "cut-late": a second word.
  std::string_view how;
  bool direct = false;   // a circuit of the own group was free at both ends
  int tandems = 0;       // ways over one tandem with a circuit free on both legs
  bool healthy = false;  // both exchanges up, warm, listed, their processors under a quarter of their longest wait
  bool own_edge_down = false;
  bool late = false;  // dialled again when most of the time in which the first try was wanted had passed
  // The last set-up of the try; kOut with sent false: none was sent.
  bool sent = false;
  SetUpEnd end = SetUpEnd::kOut;
  int cause = 0;
  bool cold = false, dead = false, slow = false;  // the exchange that it was sent to, at its end
};

struct Account {
  std::uint64_t tries = 0, in_time = 0, late = 0;
  std::array<std::uint64_t, kLost> lost = {};
  std::uint64_t Lost() const;
  // Every try is in one place: the sums are exact.
  bool Exact() const { return in_time + late + Lost() == tries; }
};

// Limits of what passes for bad luck; the day fails beyond them.
struct WasteLimits {
  unsigned refusals_running = 3;  // of one circuit, with less than the gap between each two
  TimeUs refusal_gap_us = 1'000'000;
  // A free group whose calls are refused, between healthy exchanges: longer than a sender rests after losses in a row
  // (the module: 1, 2, 4 s), ...
  TimeUs idle_us = 5'000'000;
  unsigned idle_refused = 8;       // ... so many of them at least, and none set up on it meanwhile
  TimeUs avoided_us = 10'000'000;  // a healthy exchange to which nobody sends, while so many calls are refused
  unsigned avoided_refused = 12;
};

class Ledger {
 public:
  static constexpr std::size_t kMostExamples = 10;
  explicit Ledger(std::size_t classes, const WasteLimits& limits = {}) : limits_(limits), accounts_(classes) {}

  void OnTry(TimeUs at, const TryEnd& end);
  // A set-up left `from` for `to` (the exchange at the other end of the circuit), on behalf of a call to
  // `destination`.
  void OnSetUp(TimeUs at, int from, int to, int destination);
  // A seizure of this circuit was refused for the circuit's sake (glare, out of service), or it did its work.
  void OnCircuitRefused(TimeUs at, int from, const std::string& circuit);
  void OnCircuitUsed(int from, const std::string& circuit);

  const std::vector<Account>& accounts() const { return accounts_; }
  Account Total() const;
  // Most refusals of one circuit in a row, whatever lies between them.
  unsigned most_running() const { return most_running_; }
  std::uint64_t refusals() const { return refusals_; }
  // Wasted resources, with place and time; `wasted` counts them all, the list is bounded.
  std::uint64_t wasted() const { return wasted_; }
  const std::vector<std::string>& examples() const { return examples_; }

 private:
  struct Running {
    unsigned all = 0, close = 0;
    TimeUs last = 0;
  };
  struct Refused {
    TimeUs since = 0;  // 0: not running
    unsigned count = 0;
    bool told = false;
  };
  void Waste(TimeUs at, const std::string& what);
  static reach::Lost Cause(const TryEnd& end);

  WasteLimits limits_;
  std::vector<Account> accounts_;
  std::map<std::pair<int, std::string>, Running> running_;
  std::map<std::pair<int, int>, Refused> idle_;  // by from and to
  std::map<int, Refused> avoided_;               // by to
  unsigned most_running_ = 0;
  std::uint64_t refusals_ = 0, wasted_ = 0;
  std::vector<std::string> examples_;
};

}  // namespace croftrun::reach

#endif  // CROFTRUN_REACH_ACCOUNT_H_
