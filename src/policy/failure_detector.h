// The failure detector for one exchange: decides, from what is heard of it, whether the calls that stand there are
// still known there, when a further sign of life is to be asked for, and when the calls are to be given up.
//
// Two things end calls without a word. A machine vanishes: open connections stay open and silent, new ones never come
// up. A process dies and another takes its address: connections are reset, the next one comes up, and nobody there
// knows the calls. In both cases the callers have to be told within a fixed time of the end (`detect_within_us`), so
// the detector needs a sign of life within that time, again and again, for as long as calls stand.
//
// A sign of life is any octet, a connection that comes up, or one that is closed in order. A connection that comes up
// is the sign that is asked for: it costs no probe, and it brings releases that the exchange could send on no older
// one. Silence counts only together with several connections that stayed down for longer than a late one takes, as
// single connections get lost, come up late, or find a process that stands still.
//
// The process that holds the calls is told from a successor by an unbroken chain of connections: it is in doubt when
// the last open one was reset, or when the machine was out of reach for a while. What ends the doubt: octets on a
// connection from before, word of a call from before, or as many circuits in use as calls stand. Otherwise the calls
// are given up.
//
// A report of the circuits that counts next to none of the calls from before its connection was opened is evidence by
// itself: an outage may be over before silence shows it. Releases that are on their way look the same for a moment, so
// such a denial has to last, and a further connection is asked for, on which the exchange sends releases again.
//
// Where no reports come and tests are allowed, a test on a connection of that process is the sign that is asked for:
// its answer proves the very process, however short an outage was. One that stays mute while a connection that was
// opened since speaks puts the calls in doubt. One that hangs answers on neither.
//
// How long a silence is out of the ordinary follows from the intervals of the exchange's reports, where it has any.
//
// A connection that the owner is asked for and that is refused is no matter of this class: nothing runs there. One that
// finds no room counts as one that does not come up: the protocol's time goes before the calls.
//
// A pure state machine: the owner gives the times, carries out what Next asks for, and keeps the connections.
#ifndef CROFTRUN_POLICY_FAILURE_DETECTOR_H_
#define CROFTRUN_POLICY_FAILURE_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "croftrun/call_controller.h"
#include "policy/interval_estimator.h"

namespace croftrun::policy {

struct FailureDetectorSettings {
  // The protocol's time from the end of a call that no release told to the word to its caller, less what telling takes.
  TimeUs detect_within_us = 7'400'000;
};

enum class LivenessAction : std::uint8_t {
  kNone,
  kConnect,         // open one more connection
  kProbe,           // send a test on a connection of the process that holds the calls: see IsOfHolder
  kProbeNewest,     // send one on the connection that was opened last
  kGiveUpSilent,    // all calls that stand there are over: nothing was heard of the machine
  kGiveUpReplaced,  // those that stood before `doubt_since` are over: the process there does not know them
};

enum class LivenessState : std::uint8_t { kAlive, kQuiet, kDoubtful };
std::string_view NameOf(LivenessState state);

// What a report of the exchange's circuits says about its calls.
struct CircuitUse {
  std::size_t used = 0;             // circuits in use, by the exchange's report
  std::size_t standing = 0;         // calls that stand there by the books of this softswitch
  std::size_t standing_before = 0;  // those of them that are in question: see FailureDetector::CallsInQuestion
  std::size_t unsettled = 0;        // the others, as far as the report may not count them yet: see kCallSettles
  std::size_t announced = 0;        // of those in question, set up by a former process and announced by their callers
  std::size_t pending = 0;          // set-ups without an answer, which the report may count
};

// Whether more than half of the calls in question are missing among the circuits in use. Some may just have ended, and
// word of it be on its way on another connection.
bool DeniesMost(const CircuitUse& use);
// Whether next to none of the calls in question can be among the circuits in use: at most a quarter, and none where
// some were announced. Of these many may have ended while nobody watched, and their exchange still knows the others.
bool DeniesAll(const CircuitUse& use);
// Whether more than half of the calls in question must be among the circuits in use.
bool KnowsMost(const CircuitUse& use);

class FailureDetector {
 public:
  explicit FailureDetector(const FailureDetectorSettings& settings) : settings_(settings) {}

  // The first call stands there: what was before is of no interest.
  void OnFirstCall(TimeUs now);
  void OnOctets(TimeUs now, TimeUs connection_opened_at);
  void OnConnectionOpened(TimeUs now, std::size_t standing);
  void OnConnectionClosed(TimeUs now, TimeUs connection_opened_at = 0);
  // `others_open`: connections that are still open beside it, where a test is out those of the holder alone.
  void OnConnectionReset(TimeUs now, std::size_t others_open, std::size_t standing);
  // A call was announced that stood before this process began, and no connection is open that could tell of it. It is
  // in doubt if the next one takes longer than a late one does.
  void OnUnconfirmedCall(TimeUs now);
  // The exchange told the end of a call that stood from `stood_at` on (0: nobody knows for how long), so that its
  // process is the one that held it.
  void OnCallKnown(TimeUs now, TimeUs stood_at = 0);
  // A report of the circuits came, whatever it says.
  void OnReport(TimeUs now);
  // Calls that stood before this time are what a report on such a connection is asked about.
  TimeUs CallsInQuestion(TimeUs connection_opened_at) const;
  // A report of the circuits came on a connection that was opened at `connection_opened_at`. True: the calls in
  // question are not known there any more, and that is certain.
  bool OnCircuits(TimeUs now, TimeUs connection_opened_at, const CircuitUse& use);
  // Releases have come since a report denied calls, and it has as many circuits in use as calls still stand.
  void OnCallsCounted(TimeUs now);
  // Calls that stood before this time are those that were last asked to be given up as replaced.
  TimeUs give_up_before() const { return give_up_before_; }
  // The calls were given up.
  void OnGivenUp();
  // What is known or suspected here is lost to whoever watches these calls after `at`: signs of life are asked for
  // sooner from now on, and calls that are in doubt at that time, or at an exchange that is out of reach then, are
  // given up.
  void SettleBy(TimeUs at) { settle_by_ = at; }

  // What to do now; to be asked every kLivenessStep or so while calls stand. Asking is noted: the same action is not
  // asked for again at once. `holder_open`: a connection of the process that holds the calls is open.
  LivenessAction Next(TimeUs now, bool may_probe, bool holder_open = false);
  // Several connections that were asked for did not come up, the first of them for longer than a late one takes.
  bool OutOfReach(TimeUs now) const;
  // Whether a connection that was opened then is one of the process that holds the calls, as far as is known.
  bool IsOfHolder(TimeUs connection_opened_at) const;
  // A test is out on a connection of the holder, and nothing has come on any.
  bool probed() const { return probed_at_ != 0; }

  LivenessState state(TimeUs now) const;
  // Calls that stood before are in doubt; 0: none are.
  TimeUs doubt_since() const { return doubts_.empty() ? 0 : doubts_.back().since; }
  // A report denies calls, and nothing has contradicted it yet.
  bool denied() const { return denied_at_ != 0; }
  // When the process that holds the calls was last known to live.
  TimeUs confirmed_at() const { return confirmed_at_; }

 private:
  // The process there may be another one since `since`. While that is open it may be replaced once more.
  struct Doubt {
    TimeUs since = 0;
    TimeUs alive_at = 0;  // the last sign of life of the process that it is about
  };

  // The process that holds the calls gave a sign of life.
  void Confirm(TimeUs now);
  // Nothing is in doubt: the process that gave a sign at that time holds all calls.
  void TrustFrom(TimeUs time);
  void DoubtSince(TimeUs since);
  // A process that was there at `known_since` is there now: later doubts are over.
  void Prove(TimeUs now, TimeUs known_since);
  // Any process there lives.
  void OnSign(TimeUs now);
  bool Settling(TimeUs now) const { return settle_by_ != 0 && now >= settle_by_; }
  // Calls that stood before this time are to be given up by now; 0: none.
  TimeUs ReplacedBefore(TimeUs now) const;
  LivenessAction NextByProbe(TimeUs now);
  LivenessAction NextConnect(TimeUs now);
  // For how long nothing has to come before a sign of life is asked for.
  bool Quiet(TimeUs now) const;
  // Connections that were asked for since the last sign of life, longer ago than a late one takes.
  std::size_t Unanswered(TimeUs now) const;

  FailureDetectorSettings settings_;
  TimeUs confirmed_at_ = 0;
  TimeUs last_sign_ = 0;       // of any process there
  std::vector<Doubt> doubts_;  // the oldest first; none: the process is the one that holds the calls
  TimeUs give_up_before_ = 0;
  TimeUs denied_at_ = 0;          // a report denied calls, and no other evidence is there; 0: none did
  TimeUs denied_before_ = 0;      // those that stood before this
  TimeUs settle_by_ = 0;          // 0: no end is in sight
  TimeUs unconfirmed_since_ = 0;  // a call was announced while no connection was open; 0: none
  std::vector<TimeUs> asked_;     // when connections were asked for, since the last sign of life
  TimeUs next_probe_ = 0;
  IntervalEstimator report_interval_;
  TimeUs heard_at_ = 0;  // the last octets
  // Where tests identify the process that holds the calls.
  bool by_probe_ = false;
  bool newest_next_ = false;    // whose turn it is to be tested
  TimeUs probed_at_ = 0;        // a test is out on a connection of the holder; 0: none
  TimeUs reached_at_ = 0;       // a connection came up since; 0: none
  TimeUs others_since_ = 0;     // the first opened of the other connections that spoke since the holder did; 0: none
  TimeUs others_heard_at_ = 0;  // when one of them spoke last
  TimeUs give_up_from_ = 0;     // after a hang the holder may speak a little later than the others
};

// A call that stood for less may be missing in a report that was sent before its answer.
inline constexpr TimeUs kCallSettles = 1'000'000;
inline constexpr TimeUs kLivenessStep = 100'000;
// How long a connection is waited for that is to show a sign of life: connections may come up a second late.
inline constexpr TimeUs kSignOfLifeWithin = 1'500'000;

}  // namespace croftrun::policy

#endif  // CROFTRUN_POLICY_FAILURE_DETECTOR_H_
