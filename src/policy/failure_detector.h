// Failure detector for one exchange. From the traffic of the exchange it decides whether the calls established there
// still exist, when a further sign of life is needed, and when the calls have to be given up.
//
// Calls end without a release in two cases. If the machine fails, open connections stay open without traffic and new
// ones are not established. If the process dies and another one takes over its address, the connections are reset and
// new ones are established, but the new process does not know the calls. In both cases the callers have to be notified
// within a fixed time of the end (`detection_timeout_us`). The detector therefore needs signs of life at shorter
// intervals for as long as there are calls.
//
// A sign of life is any received data, a newly established connection, or an orderly close. To obtain one, the detector
// requests a new connection: this takes no probe, and the exchange can use it to send releases that it could not send
// on the older ones. Silence alone is no evidence of a failure. In addition, several connection attempts must have
// stayed unanswered for longer than a late connection takes, because a single connection may be lost, may be
// established late, or may reach a process that is stalled.
//
// The process that holds the calls is called the holder, and one that takes its place a successor. The two are told
// apart by an unbroken sequence of connections: the holder is suspected to have been replaced when its last open
// connection was reset, or when the machine was unreachable for a while. Any of the following clears the suspicion:
// data on a connection that is older than the suspicion, a release of a call that is older than the suspicion, or a
// report with at least as many circuits in use as there are established calls. Otherwise the calls are given up.
//
// A circuit report that can account for almost none of the calls that are older than its connection is evidence as
// well, because an outage may be over before any silence is noticed. Releases in transit cause the same picture for a
// moment. Such a denial therefore has to persist, and a further connection is requested on which the exchange repeats
// its releases.
//
// For an exchange without reports, where probes are allowed, a probe on a connection of the holder is used instead of a
// new connection: the response identifies the process, however short an outage was. The calls are suspected if that
// probe stays unanswered while data arrives on a connection that was opened later. A process that hangs answers on
// neither.
//
// If the exchange sends reports, the silence threshold is derived from their intervals.
//
// The owner handles refused connections itself, since no process listens there any more. A connection that cannot be
// opened because the connection limit is reached counts as unanswered: the protocol's deadline takes precedence over
// keeping the calls.
//
// The class is a state machine without I/O or a clock. The owner passes the current time in, carries out the actions
// that NextAction returns, and manages the connections.
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
  // The protocol's limit from the end of a call without a release to the notification of its caller, less the time that
  // the notification takes.
  TimeUs detection_timeout_us = 7'400'000;
};

// What the owner of a failure detector has to do.
enum class LivenessAction : std::uint8_t {
  kNone,
  kConnect,         // open one more connection
  kProbeHolder,     // send a probe on a connection of the holder, see IsHolderConnection
  kProbeNewest,     // send a probe on the connection that was opened last
  kGiveUpSilent,    // give up all calls at the exchange: the machine gives no sign of life
  kGiveUpReplaced,  // give up the calls established before `give_up_before`: the current process does not know them
};

// The detector's view of an exchange: signs of life arrive, are overdue, or its calls are suspected to be lost.
enum class LivenessState : std::uint8_t { kAlive, kQuiet, kSuspected };
std::string_view NameOf(LivenessState state);

// Compares the circuits in use, as reported by the exchange, with the calls that this softswitch has there.
struct CircuitUse {
  std::size_t used = 0;         // circuits in use according to the report
  std::size_t established = 0;  // established calls according to this softswitch
  std::size_t in_question = 0;  // of these, the calls in question, see FailureDetector::CallsInQuestionBefore
  std::size_t unsettled = 0;    // of the others, calls that may be too new for the report, see kCallSettlingTime
  std::size_t announced = 0;    // of those in question, the calls set up by a former process and announced by callers
  std::size_t pending = 0;      // unanswered set-ups, which the report may include
};

// Returns whether more than half of the calls in question are missing from the circuits in use. Some of them may have
// just ended, with their releases still in transit on another connection.
bool DeniesMostCalls(const CircuitUse& use);
// Returns whether almost none of the calls in question can be among the circuits in use: at most a quarter of them, or
// none at all if some were announced. Many announced calls may have ended while no process of this softswitch was
// connected, and the exchange still knows the others.
bool DeniesNearlyAllCalls(const CircuitUse& use);
// Returns whether more than half of the calls in question must be among the circuits in use.
bool ConfirmsMostCalls(const CircuitUse& use);

// Monitors one exchange while calls are established there. The head of this file describes the method.
class FailureDetector {
 public:
  explicit FailureDetector(const FailureDetectorSettings& settings) : settings_(settings) {}

  // The first call is established at the exchange, whose process was alive at `alive_at`. Earlier evidence is
  // discarded.
  void OnFirstCall(TimeUs alive_at);
  // Data arrived on a connection that was opened at `connection_opened_at`.
  void OnDataReceived(TimeUs now, TimeUs connection_opened_at);
  // A connection was established while the exchange had `established` calls.
  void OnConnectionOpened(TimeUs now, std::size_t established);
  // The exchange closed a connection in an orderly way, while it had `established` calls. Shortly after a reset this is
  // the end of the same process and counts as a reset, see OnConnectionReset.
  void OnConnectionClosed(TimeUs now, TimeUs connection_opened_at = 0, std::size_t others_open = 1,
                          std::size_t established = 0, TimeUs unproven_opened_at = 0);
  // A connection was reset. `others_open` is the number of other open connections that have outlived it, see
  // HasOutlivedReset; while a probe of the holder is outstanding, only the holder's connections count.
  // `unproven_opened_at` is when the oldest of the others was opened, or 0 if there is none.
  void OnConnectionReset(TimeUs now, std::size_t others_open, std::size_t established, TimeUs unproven_opened_at = 0);
  // Returns whether a connection opened at `opened_at` leads to the process of a connection whose last sign of life was
  // at `reset_last_sign_at` and whose reset was read at `now`. It may lead to a successor if it was opened shortly
  // before and nothing has arrived on the other one since: the reset may have been read some time after it happened.
  static bool HasOutlivedReset(TimeUs opened_at, TimeUs reset_last_sign_at, TimeUs now);
  // A caller announced a call that was established before this process started, and there is no open connection that
  // could confirm it. The call is suspected if the next connection takes longer than a late one does.
  void OnUnconfirmedCallAnnounced(TimeUs now);
  // The exchange released a call that was established at `established_at` (0: unknown), so its process is the one that
  // held the call.
  void OnCallConfirmed(TimeUs now, TimeUs established_at = 0);
  // A circuit report arrived, whatever its contents.
  void OnReportReceived(TimeUs now);
  // Returns the cutoff for a circuit report on a connection opened at `connection_opened_at`: calls established before
  // it are in question.
  TimeUs CallsInQuestionBefore(TimeUs connection_opened_at) const;
  // Evaluates a circuit report that arrived on a connection opened at `connection_opened_at`. Returns true if it is
  // certain that the exchange does not know the calls in question any more.
  bool OnCircuitReport(TimeUs now, TimeUs connection_opened_at, const CircuitUse& use);
  // Releases have arrived since a report denied calls, and its circuits in use now cover all remaining calls.
  void OnAllCallsAccountedFor(TimeUs now);
  // Returns the cutoff of the last decision to give up calls: those established before it are to be given up.
  TimeUs give_up_before() const { return give_up_before_; }
  // The owner gave up the calls as requested.
  void OnCallsGivenUp();
  // The calls on connections opened before this time have ended otherwise, so that suspicions of them are obsolete.
  void ForgetSuspicionsUpTo(TimeUs oldest_connection_opened_at);
  // Returns when a call that was answered on a connection opened at this time has to be given up, if nothing clears the
  // suspicions until then, or 0 if it is not suspected.
  TimeUs GiveUpDeadline(TimeUs connection_opened_at) const;
  // Sets the time by which open suspicions are decided, because their evidence is lost when this process shuts down.
  // Signs of life are requested sooner from now on. At the deadline, suspected calls and the calls at an unreachable
  // exchange are given up.
  void SetDecisionDeadline(TimeUs at) { decision_deadline_ = at; }

  // Returns the next action. Has to be called about every kLivenessCheckInterval while there are established calls. The
  // returned action is recorded as carried out, so that it is not repeated at once. `holder_open` states whether a
  // connection of the holder is open.
  LivenessAction NextAction(TimeUs now, bool may_probe, bool holder_open = false);
  // Returns whether several requested connections are unanswered, the first of them for longer than a late one takes.
  bool IsUnreachable(TimeUs now) const;
  // Returns whether a connection opened at this time belongs to the holder, as far as is known.
  bool IsHolderConnection(TimeUs connection_opened_at) const;
  // Returns whether a probe of the holder is outstanding and nothing has arrived on any of its connections since.
  bool IsProbingHolder() const { return holder_probed_at_ != 0; }

  LivenessState state(TimeUs now) const;
  // Returns the cutoff of the newest suspicion, or 0 if there is none: calls established before it may be lost.
  TimeUs suspected_since() const { return suspicions_.empty() ? 0 : suspicions_.back().since; }
  // Returns whether a report has denied calls and nothing has contradicted it yet.
  bool HasPendingDenial() const { return denied_at_ != 0; }
  // Returns when the holder was last known to be alive.
  TimeUs confirmed_at() const { return confirmed_at_; }

 private:
  // The holder may have been replaced at `since`. The successor may be replaced in turn while this is undecided.
  struct Suspicion {
    TimeUs since = 0;
    TimeUs alive_at = 0;  // last sign of life of the process that may have been replaced
  };

  // Records a sign of life of the holder.
  void ConfirmHolder(TimeUs now);
  // Clears all suspicions: the process that gave a sign of life at `alive_at` holds all calls.
  void ClearSuspicions(TimeUs alive_at);
  void AddSuspicion(TimeUs since);
  // Returns when the oldest connection was opened that may lead to a successor, or `now` if there is none.
  TimeUs FirstUnprovenConnection(TimeUs now) const;
  // Returns when the holder was last known to be alive, without the connections opened from `time` on.
  TimeUs ConfirmedBefore(TimeUs time) const;
  // Records that a process that was present at `known_since` is still present, which clears later suspicions.
  void ConfirmProcess(TimeUs now, TimeUs known_since);
  // Records a sign of life of any process at the exchange.
  void RecordSignOfLife(TimeUs now);
  bool IsDecisionDue(TimeUs now) const { return decision_deadline_ != 0 && now >= decision_deadline_; }
  // Returns the cutoff for calls that have to be given up now because the holder was replaced, or 0 if there are none.
  TimeUs ReplacementCutoff(TimeUs now) const;
  LivenessAction NextProbeAction(TimeUs now);
  LivenessAction NextConnectAction(TimeUs now);
  // Returns whether there has been no sign of life for so long that one has to be requested.
  bool IsQuiet(TimeUs now) const;
  // Counts the connections requested since the last sign of life for which kUnansweredTimeout has expired.
  std::size_t CountUnansweredConnects(TimeUs now) const;

  FailureDetectorSettings settings_;
  TimeUs confirmed_at_ = 0;            // last sign of life of the holder
  TimeUs last_sign_at_ = 0;            // last sign of life of any process at the exchange
  std::vector<Suspicion> suspicions_;  // oldest first; empty while the current process is taken for the holder
  TimeUs give_up_before_ = 0;
  TimeUs denied_at_ = 0;                  // when a report denied calls without other evidence; 0: no pending denial
  TimeUs denied_before_ = 0;              // calls established before this time are denied
  TimeUs decision_deadline_ = 0;          // 0: none
  TimeUs unconfirmed_since_ = 0;          // when a call was announced without an open connection; 0: none
  std::vector<TimeUs> connect_requests_;  // times at which connections were requested since the last sign of life
  TimeUs next_probe_at_ = 0;
  TimeUs reset_at_ = 0;  // when a connection was last reset; 0: never
  IntervalEstimator report_interval_;
  TimeUs last_data_at_ = 0;
  // State of the probes that identify the holder.
  bool uses_probes_ = false;
  bool probe_newest_next_ = false;  // the holder and the newest connection are probed in turn
  TimeUs holder_probed_at_ = 0;     // when the outstanding probe of the holder was sent; 0: none
  TimeUs machine_reached_at_ = 0;   // when a connection was established after that probe; 0: none was
  TimeUs unproven_opened_at_ = 0;   // when the first one was; it may lead to a successor
  // A connection that counts as a sign of life of the holder, and the last sign before it.
  struct Opening {
    TimeUs at = 0, confirmed_before = 0;
  };
  std::vector<Opening> recent_openings_;  // oldest first
  TimeUs others_opened_at_ = 0;     // when the oldest connection was opened that had data after the holder; 0: none
  TimeUs others_last_data_at_ = 0;  // when data last arrived on such a connection
  TimeUs give_up_not_before_ = 0;   // after a hang, data of the holder may arrive a little later than that of others
};

// A call counts as unsettled for this long, because a report that was sent before its answer does not include it.
inline constexpr TimeUs kCallSettlingTime = 1'000'000;
inline constexpr TimeUs kLivenessCheckInterval = 100'000;
// Timeout of a connection opened as a sign of life. Connections may be established up to one second late.
inline constexpr TimeUs kLivenessConnectTimeout = 1'500'000;

}  // namespace croftrun::policy

#endif  // CROFTRUN_POLICY_FAILURE_DETECTOR_H_
