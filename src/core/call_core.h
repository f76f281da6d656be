// The call core: the state machine of calls, their attempts and the circuits they hold. It connects the fronts
// (callers), the trunk driver (network) and the call controller (the module).
//
// The core knows no signalling protocol and opens no sockets. A front offers calls and receives exactly one final
// answer for each. A trunk driver carries out set-ups and releases and reports what the network answers. The module
// (CallController) makes the routing decisions. The core makes none: it translates between the parts, manages the
// circuits, and ignores actions of the module that no longer apply. Everything runs on one thread; every function may
// be called from within a callback.
//
// States of a call                                  left when
//   kRouting      accepted, no final answer yet     the final answer is sent, or the caller hangs up
//   kRinging      for a line of this exchange       the line answers or is busy, or the time-out expires
//   kEstablished  answered                          either side hangs up, or the call is disconnected
// A call is removed when it leaves kEstablished; its circuits then pass through kReleasing independently of it.
#ifndef CROFTRUN_CORE_CALL_CORE_H_
#define CROFTRUN_CORE_CALL_CORE_H_

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/circuits.h"
#include "core/decider.h"
#include "core/overload_control.h"
#include "core/runtime.h"
#include "croftrun/call_controller.h"

namespace croftrun::core {

// Why a circuit or call was released: the cause values of ITU-T Q.850 that this product distinguishes.
enum class ReleaseCause : std::uint8_t {
  kNormal = 16,
  kUserBusy = 17,
  kNoAnswer = 19,
  kOutOfOrder = 27,  // the far exchange is down or unreachable: the set-up was not processed
  kUnallocated = 1,
  kNoCircuit = 34,         // no circuit towards the destination
  kOwnOutOfOrder = 38,     // the processor of this exchange is down: the set-up was not sent
  kTemporaryFailure = 41,  // the call was disconnected
  kCongestion = 42,        // a processor rejected the set-up for overload
  kGlare = 44,             // requested circuit not available: the far end seized it first
  kNotInService = 47,      // resource unavailable: the circuit is out of service at the far end
  kTimerExpiry = 102,
};

// Result of an attempt as reported to the module, for trunk protocols that state it explicitly.
struct AttemptResult {
  Outcome outcome = Outcome::kError;
  RejectCause cause = RejectCause::kNone;
};

// Load figures of a far processor, in the order of Settings::report_fields without the leading free and total circuits;
// may be empty.
using LoadReport = std::vector<float>;

struct ReleaseInfo {
  ReleaseCause cause = ReleaseCause::kNormal;
  int exchange_number = -1;  // number of the exchange that gave the cause; -1: unknown
  TimeUs wait_us = 0;        // waiting time stated by an overloaded processor; 0: none
  LoadReport load = {};
  std::optional<AttemptResult> attempt_result = {};  // empty: derived from `cause` and `exchange_number`
};

// A call request as offered by a front.
struct CallRequest {
  std::string called;
  std::string calling;  // the originating line or trunk; passed on with the call
  int call_class = 0;
  int customer = 0;
  int destination = -1;  // number of an exchange
  std::size_t width = 1;
  TimeUs caller_timeout_us = 0;  // time until the caller gives up this attempt
  bool is_redial = false;
  int advised_tandem = -1;  // number of the tandem advised by the network management centre; -1: none
  int priority = 0;         // set by the rules; higher values take precedence
  std::uint64_t key = 0;    // set by the rules: used in place of the called number; 0: use the number
  std::uint32_t rules = 0;  // version of the rules that classified the call; 0: none
  // Where the network manages the circuits, set-ups in transit are offered by the front as well.
  bool in_transit = false;        // may only go to its destination; `advised_tandem` is the exchange it comes from
  bool was_disconnected = false;  // the call was established, was disconnected and is offered again
  std::string session = {};       // the caller's media description, passed on with each set-up
};

enum class FinalKind : std::uint8_t { kEstablished, kRefused, kFailed };
struct FinalAnswer {
  FinalKind kind = FinalKind::kFailed;
  TimeUs retry_after_us = 0;  // the caller should not redial before this; 0: no indication
  ReleaseCause cause = ReleaseCause::kNormal;
  std::string_view session = {};  // media description of the called side; valid during OnFinalAnswer
};

// The caller's side of a call, implemented by a front. It must outlive its calls. Each offered call gets exactly one
// OnFinalAnswer, and after kEstablished exactly one OnCallEnded, unless the owner hangs up first.
class CallOwner {
 public:
  virtual ~CallOwner() = default;
  // The call was accepted; no set-up has been sent yet. Not called for a call that is refused at once, which only gets
  // OnFinalAnswer.
  virtual void OnAccepted(CallId) {}
  virtual void OnFinalAnswer(CallId call, const FinalAnswer& answer) = 0;
  virtual void OnCallEnded(CallId call, ReleaseCause cause) = 0;
  // Checked before each attempt and when an attempt is answered. True if the caller is known to have left although its
  // hang-up has not been reported yet.
  virtual bool HasLeft(CallId) const { return false; }
};

// Rings lines of this exchange. Each successful Ring that is not stopped must be followed by OnRingAnswered or
// OnRingReleased.
class LineDriver {
 public:
  virtual ~LineDriver() = default;
  // Returns kNormal if the line rings, otherwise the cause why it cannot.
  virtual ReleaseCause Ring(CallId call, const CallRequest& request) = 0;
  virtual void StopRinging(CallId call, ReleaseCause cause) = 0;
};

// The circuits of one trunk group that a call holds.
struct CircuitSet {
  int group = -1;  // number of the exchange at the other end
  std::vector<CircuitNumber> circuits;
  CallId call = 0;
};

struct TrunkSetUp {
  CircuitSet set;
  int attempt = 0;
  ExchangeId to = 0;                     // distinguishes the exchange from earlier ones with the same number
  const CallRequest* request = nullptr;  // valid during the call
  int origin = -1;                       // number of the exchange where the call originated
  TimeUs budget_us = 0;                  // time until this attempt is abandoned
};

// Carries out set-ups, releases and probes on the trunks. Implemented by the trunk gateway and by the platform.
class TrunkDriver {
 public:
  virtual ~TrunkDriver() = default;
  virtual void SetUp(const TrunkSetUp& set_up) = 0;
  // Answers an incoming call. `session` is the media description of the called side; empty if unknown.
  virtual void Answer(const CircuitSet& set, std::string_view session) = 0;
  // Passes the caller's media description on to an established outgoing call.
  virtual void Connect(const CircuitSet& set, std::string_view session) = 0;
  virtual void Release(const CircuitSet& set, const ReleaseInfo& info) = 0;  // outgoing or incoming
  virtual void ProbeGroup(int group) = 0;
  // Like ProbeGroup, by exchange id; used where the network manages the circuits.
  virtual void ProbeExchange(ExchangeId) {}
  // Audits a circuit that the far end refused repeatedly. The circuit is used again after its rest time in any case.
  virtual void CheckCircuit(int, CircuitNumber) {}
};

// Result of a seizure by the far end.
enum class SeizureResult : std::uint8_t {
  kAccepted,
  kGlare,         // one of the circuits is in use here, or this end seized it at the same time
  kNotInService,  // one of the circuits is out of service here
};

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };
class Logger {
 public:
  virtual ~Logger() = default;
  // `call` is 0 for events that belong to no call. `detail` is free text.
  virtual void Write(LogLevel level, std::string_view event, CallId call, std::string_view detail) = 0;
  // Returns whether lines of this level are written, so that per-call lines need not be formatted otherwise.
  virtual bool IsEnabled(LogLevel) const { return true; }
};

// Records passed to observers, such as flow exporters; views and pointers are valid during the call only.
struct AttemptRecord {
  CallId call = 0;
  int attempt = 0;
  int to = -1;
  bool tandem = false;
  Outcome outcome = Outcome::kOk;
  RejectCause cause = RejectCause::kNone;
  TimeUs sent_at = 0, established_at = 0, ended_at = 0;  // established_at is 0 if the call was not established
  std::size_t circuits = 0;  // circuits held; 0: none could be seized and no set-up was sent
};
struct CallRecord {
  CallId call = 0;
  const CallRequest* request = nullptr;
  bool in_transit = false;
  int origin = -1;
  int attempts = 0;
  std::optional<FinalAnswer> answer;  // empty: the caller hung up first
  TimeUs accepted_at = 0, answered_at = 0, ended_at = 0;
  int group_in = -1;  // incoming trunk group of a call in transit; -1: none
};
// Receives a record of every attempt and every call.
class CallObserver {
 public:
  virtual ~CallObserver() = default;
  virtual void OnAttempt(const AttemptRecord& record) = 0;
  // The call has been established and is still in progress.
  virtual void OnEstablished(const CallRecord&) {}
  virtual void OnCall(const CallRecord& record) = 0;
};

struct GroupSettings {
  int number = -1;  // number of the exchange at the other end
  std::size_t circuits = 0;
};

struct CoreSettings {
  Settings module;
  std::vector<GroupSettings> groups;
  std::size_t max_calls = 20'000;    // calls open at the same time, including established ones
  TimeUs answer_margin_us = 20'000;  // the final answer is sent this long before the caller's time-out
  OverloadSettings overload;
  std::uint64_t seed = 1;
  DeciderFactory decider = {};            // empty: the call controller
  std::size_t max_session_octets = 1024;  // longer media descriptions are truncated
  // Memory for the media descriptions of unanswered calls; a call that would exceed it is refused.
  std::size_t max_total_session_octets = std::numeric_limits<std::size_t>::max();
  // The network manages the circuits: the core seizes none, OnGroupReport provides the free circuits, calls in transit
  // are offered by the front, and no call terminates at this exchange.
  bool network_manages_circuits = false;
  // Additional time before the core fails a call that the module left unanswered; for sites that count answers until
  // then.
  TimeUs forgotten_call_timeout_us = 0;
};

// Counters exported as metrics.
struct CoreCounters {
  std::uint64_t offered = 0, incoming = 0, terminating = 0;
  std::uint64_t stands = 0, refused = 0, failed = 0, hung_up = 0;
  std::uint64_t attempts = 0, moot = 0, timeouts = 0, cut = 0, ended = 0;
  std::uint64_t failed_at_end = 0;  // calls without a final answer at the shutdown deadline
  std::uint64_t refused_full = 0, refused_stopping = 0, refused_overload = 0, refused_door = 0, overdue = 0,
                stale_answers = 0;
  // Seizures by the far end that were rejected: the circuit was in use or seized here, or is out of service here.
  std::uint64_t glare = 0, not_in_service = 0;
  // Answers of the far end that were read from the queue after the caller's time-out because the process had stalled.
  std::uint64_t too_late = 0;
  // Outgoing seizures that the far end refused, and circuits that became suspected as a result.
  std::uint64_t refused_by_far_end = 0, suspected = 0;
};

// The call state machine; see the comment at the top of this file.
class CallCore {
 public:
  CallCore(const CoreSettings& settings, Runtime* runtime, Logger* log);
  ~CallCore();

  // The drivers and observers must be set before the first event; the core does not own them.
  void SetTrunks(TrunkDriver* trunks) { trunks_ = trunks; }
  void SetLineDriver(LineDriver* line_driver) { line_driver_ = line_driver; }
  void AddObserver(CallObserver* observer) { observers_.push_back(observer); }

  // ---- fronts ----
  // Accepts or refuses a call. The final answer may be given from within this function. Returns the call's id, even if
  // the call is already over. `reserved` is an id returned by Reserve, or 0 to allocate one.
  CallId AcceptCall(const CallRequest& request, CallOwner* owner, CallId reserved = 0);
  // Reserves an id for a later call.
  CallId Reserve();
  // Records a call that admission control refused: it is counted, answered and reported to the observers, but not to
  // the module.
  void RecordRefusedCall(const CallRequest& request, CallOwner* owner, CallId reserved, TimeUs retry_after_us);
  // Records a call whose caller hung up while it waited for admission: it is counted and reported to the observers.
  void RecordAbandonedCall(const CallRequest& request, CallId reserved);
  // Adopts a call that was established at exchange `at` before this process started; it is released like any other. The
  // module is not informed, as it has lost its state with the previous process. Returns 0 if max_calls is reached.
  CallId AdoptCall(const CallRequest& request, CallOwner* owner, ExchangeId at);
  void HangUp(CallId call);
  // Provides the media description of the caller's side once it is connected.
  void OnCallerSession(CallId call, std::string_view session);
  // The ringing line answered.
  void OnRingAnswered(CallId call, std::string_view session);
  // The ringing line is busy or cannot be reached, or the called side of an established call hung up.
  void OnRingReleased(CallId call, ReleaseCause cause);

  // ---- trunks ----
  // The far end seized circuits of a trunk group. Circuits and calls are left unchanged unless kAccepted is returned.
  SeizureResult AcceptIncoming(int group, const std::vector<CircuitNumber>& circuits, const CallRequest& request,
                               int origin);
  // Returns whether the caller is known to have left although its hang-up has not been reported yet; see CallOwner.
  bool HasCallerLeft(CallId call);
  // Events on the circuits of an outgoing attempt.
  void OnTrunkSession(CallId call, int attempt, std::string_view session);
  void OnTrunkAnswered(CallId call, int attempt);
  void OnTrunkReleased(CallId call, int attempt, const ReleaseInfo& info);
  // The originating side of an incoming call released it.
  void OnIncomingReleased(CallId call, ReleaseCause cause);
  // Unsolicited load report of the group towards this exchange, in the order of Settings::report_fields. Requires
  // network_manages_circuits.
  void OnGroupReport(ExchangeId exchange, const std::vector<float>& figures);
  // Result of a ProbeExchange. `figures` are those of OnGroupReport; empty if the answer had none. Requires
  // network_manages_circuits.
  void OnProbeEnded(ExchangeId exchange, Outcome outcome, TimeUs elapsed_us, const std::vector<float>& figures);
  // Connections to this exchange cannot be opened, and no set-up was pending on them. Requires
  // network_manages_circuits.
  void OnUnreachable(ExchangeId exchange);
  // State changes of a circuit reported by the gateway.
  void OnCircuitFree(int group, CircuitNumber circuit);
  void OnCircuitOutOfService(int group, CircuitNumber circuit);
  void OnCircuitInService(int group, CircuitNumber circuit);
  // Result of a ProbeGroup.
  void OnGroupProbed(int group, bool answered, TimeUs elapsed_us, const LoadReport& load);

  // ---- roster ----
  // Applies an update of the exchange directory and forwards it to the module.
  void OnDirectory(const DirectoryUpdate& update);

  // Refuses all new calls from now on; accepted calls continue.
  void StopAcceptingCalls() { stopping_ = true; }
  // Announces the end of the process. Calls without a final answer at time `at` fail then, and the time budget of calls
  // accepted from now on is limited to that time.
  void SetShutdownDeadline(TimeUs at);
  // Ends all remaining calls: those without a final answer fail, established ones are released.
  void EndAllCalls(ReleaseCause cause);

  std::size_t open_calls() const { return calls_.size(); }
  // Returns the memory that the media descriptions of unanswered calls take, in octets.
  std::size_t session_octets() const { return session_octets_; }
  // Returns whether this process is overloaded and refuses a share of new calls at once.
  bool IsOverloaded() const { return overload_gate_.share() > 0.0; }
  // The share of new calls that is refused for overload, 0 to 1.
  double RefusedShare() const { return overload_gate_.share(); }
  const CoreCounters& counters() const { return counters_; }
  // Returns the trunk group to the exchange with this number, or null.
  const CircuitGroup* Group(int number) const;
  // Directory entries by exchange id; entries of exchanges that are gone are kept for a while.
  const std::map<ExchangeId, DirectoryEntry>& Directory() const { return directory_; }
  int own_number() const { return settings_.module.own_number; }

 private:
  enum class State : std::uint8_t { kRouting, kRinging, kEstablished };
  // Exists until AttemptEnded has been posted to the module; its circuits are released independently after that.
  struct Attempt {
    int index = 0;
    ExchangeId exchange = 0;
    TimeUs sent_at = 0, established_at = 0;
    TimerId timeout = kNoTimer;
  };
  struct Call {
    CallRequest request;
    CallOwner* owner = nullptr;  // null: incoming call from a trunk
    State state = State::kRouting;
    bool known_to_module = false;
    bool answered = false;
    int origin = -1;
    int attempts = 0;
    TimeUs accepted_at = 0, answered_at = 0;
    std::optional<FinalAnswer> answer;
    ReleaseInfo last_release;  // how the last attempt ended; passed back to the sender of a transit call
    std::string session;       // media description of the answering side
    CircuitSet in, out;
    std::optional<Attempt> attempt;
    TimerId deadline = kNoTimer;
  };

  // Queues an event for the module and processes the queue unless that is under way already.
  void PostEvent(Event event);
  void ProcessEvents();
  // Seizes the circuits for the next set-up into the call's `out`; returns false if too few are idle.
  bool SeizeCircuits(int number, CallId id, Call* call);
  void Execute(const SendSetUp& send);
  void Execute(const CancelSetUp& cancel);
  void Execute(const SendProbe& probe);
  void Execute(const RefuseCall& refuse);
  void Execute(const FailCall& fail);
  void Execute(const SetTimer& timer);
  void Execute(const FetchDirectory&);
  void Execute(const SubscribeDirectory&);
  void Execute(const WriteLog& log);

  Call* Find(CallId id);
  // Returns whether a new call is refused before any work is spent on it (shutdown, call limit or overload), and counts
  // the reason.
  bool ShouldRefuseNewCall(const CallRequest& request);
  // Frees the memory for the media descriptions of a call.
  void DropSessions(Call* call);
  CallId NewCall(const CallRequest& request, CallOwner* owner, int origin, CallId reserved = 0);
  void StartCall(CallId id);
  // Returns whether the caller's time-out has expired; counts it if so.
  bool HasCallerTimedOut(const Call& call);
  void OnDeadline(CallId id);
  // Ends the call's attempt and fails the call, if it has no final answer yet.
  void FailUnansweredCall(CallId id);
  std::vector<CallId> SortedCalls() const;
  void OnAttemptTimeout(CallId id, int attempt);
  // Ends the attempt: releases its circuits and informs the module and the observers.
  void EndAttempt(CallId id, Call& call, Outcome outcome, RejectCause cause, const ReleaseInfo& info, bool terminal);
  // Sends the final answer to the owner, or to the incoming trunk. All final answers pass through here.
  void SendFinalAnswer(CallId id, Call& call, const FinalAnswer& answer);
  // Removes a call after its final answer or hang-up: cancels its timer, releases its incoming circuits and reports it
  // to the observers.
  void RemoveCall(CallId id, const ReleaseInfo& info);
  void ReleaseCircuits(CircuitSet* set, const ReleaseInfo& info);
  // Posts the group's free and usable circuits to the module.
  void ReportFreeCircuits(int number);
  // Updates the refusal history of the attempt's circuits: the far end refused them or worked on the set-up.
  void RecordSeizureOutcome(const CircuitSet& set, const ReleaseInfo& info);
  // If the circuit has become suspected, starts its rest time and has it audited meanwhile.
  void StartRestIfSuspected(int number, const CircuitGroup& group, CircuitNumber circuit);
  // Free and usable circuits of the group to this exchange. Empty where the network manages the circuits and reports
  // them through OnGroupReport.
  std::vector<float> GroupFigures(int number) const;
  int NumberOf(ExchangeId exchange) const;
  void IndexDirectoryByNumber();

  CoreSettings settings_;
  Runtime* runtime_;
  Logger* log_;
  TrunkDriver* trunks_ = nullptr;
  LineDriver* line_driver_ = nullptr;
  CallRecord RecordOf(CallId id, const Call& call) const;
  std::vector<CallObserver*> observers_;
  std::map<int, CircuitGroup> groups_;  // by the number of the far exchange
  std::unordered_map<CallId, Call> calls_;
  std::size_t session_octets_ = 0;  // capacity of the media descriptions in the requests of `calls_`
  std::map<ExchangeId, DirectoryEntry> directory_;
  // Exchanges by number, without those that are gone. The index is needed because free circuits are reported at each
  // seizure and release, and the directory is as large as the network.
  std::unordered_map<int, std::vector<ExchangeId>> exchanges_by_number_;
  std::unordered_map<std::uint32_t, TimerId> rest_timers_;  // rest times of suspected circuits, by group and circuit
  std::unordered_set<TimerId> module_timers_;
  std::deque<Event> events_;
  std::deque<CallId> deferred_hang_ups_;  // received while the module was processing events
  std::vector<Action> actions_;
  OverloadGate overload_gate_;
  std::uint64_t random_state_;  // state of the random numbers for the overload gate
  bool processing_events_ = false;
  bool stopping_ = false;
  TimeUs shutdown_deadline_ = 0;  // 0: none set
  Timer shutdown_timer_;
  CallId next_call_ = 1;
  CoreCounters counters_;
  std::unique_ptr<Decider> decider_;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_CALL_CORE_H_
