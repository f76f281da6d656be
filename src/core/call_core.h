// The call core: calls, their attempts and the circuits they hold, between fronts, trunks and the module.
//
// It is front-neutral and free of sockets. A front offers calls and is told of each one's final answer, once; a
// trunk driver carries out set-ups and releases and reports what the network says; the module (CallController)
// decides. The core decides nothing about routes: it translates, keeps the circuits, and holds the module to its
// word. One thread; every call in either direction may come from within a callback.
//
// States of a call                         left by
//   kRouting   taken, no final answer        final answer, or the caller hangs up
//   kRinging   for a line of this exchange   the line answers, is busy, or the time is up
//   kEstablished answered                    either side hangs up, or it is cut
// A call is forgotten when it leaves the last one; its circuits then follow through kReleasing by themselves.
#ifndef CROFTRUN_CORE_CALL_CORE_H_
#define CROFTRUN_CORE_CALL_CORE_H_

#include <deque>
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

// Why a circuit or call was let go: the cause values of ITU-T Q.850 that this product tells apart.
enum class ReleaseCause : std::uint8_t {
  kNormal = 16,
  kUserBusy = 17,
  kNoAnswer = 19,
  kOutOfOrder = 27,  // the far exchange is down or unreachable: the set-up never ran
  kUnallocated = 1,
  kNoCircuit = 34,         // no circuit onward
  kOwnOutOfOrder = 38,     // the own exchange's processor is down: the set-up never left
  kTemporaryFailure = 41,  // cut
  kCongestion = 42,        // a processor was full
  kGlare = 44,             // requested circuit not available: the far end seized it first
  kNotInService = 47,      // resource unavailable: the far end holds this circuit for out of service
  kTimerExpiry = 102,
};

// What the end of an attempt means to the module, where the trunk's protocol says so itself.
struct AttemptResult {
  Outcome outcome = Outcome::kError;
  RejectCause cause = RejectCause::kNone;
};

// Load figures of a far processor, in the order of Settings::report_fields after spare and total; may be empty.
using LoadReport = std::vector<float>;

struct ReleaseInfo {
  ReleaseCause cause = ReleaseCause::kNormal;
  int exchange_number = -1;  // number of the exchange that gave the cause; -1 unknown
  TimeUs wait_us = 0;        // stated by a full processor; 0: none
  LoadReport load = {};
  std::optional<AttemptResult> attempt_result = {};  // nothing: it follows from `cause` and `exchange_number`
};

// One call as a front offers it.
struct CallRequest {
  std::string called;
  std::string calling;  // the line or trunk it comes from; travels with the call
  int call_class = 0;
  int customer = 0;
  int destination = -1;  // number of an exchange
  std::size_t width = 1;
  TimeUs caller_timeout_us = 0;  // until the caller gives up this try
  bool is_redial = false;
  int advised_tandem = -1;  // the centre's tandem, by number
  int priority = 0;         // by the rules; higher is more
  std::uint64_t key = 0;    // by the rules: what the call is held by in place of the number called; 0: the number
  std::uint32_t rules = 0;  // version of the rules that classified it; 0: none
  // Where the network counts the circuits, set-ups in transit come by the front too.
  bool in_transit = false;      // may only go to its destination; `advised_tandem` is where it comes from
  bool previously_cut = false;  // it stood, was cut and comes again
  std::string session = {};     // the caller's media description, passed on with each set-up
};

enum class FinalKind : std::uint8_t { kEstablished, kRefused, kFailed };
struct FinalAnswer {
  FinalKind kind = FinalKind::kFailed;
  TimeUs retry_after_us = 0;  // the caller should stay away this long; 0: no indication
  ReleaseCause cause = ReleaseCause::kNormal;
  std::string_view session = {};  // media description of the other side; valid while OnFinalAnswer runs
};

// The side of a call that a front owns. It outlives its calls; exactly one OnFinalAnswer comes for each call it offered
// unless it hung up first, and after a kEstablished one OnCallEnded unless it hung up first.
class CallOwner {
 public:
  virtual ~CallOwner() = default;
  // The call was let in; nothing of it is out yet. Not called for one that is refused at once (OnFinalAnswer comes
  // alone).
  virtual void OnAccepted(CallId) {}
  virtual void OnFinalAnswer(CallId call, const FinalAnswer& answer) = 0;
  virtual void OnCallEnded(CallId call, ReleaseCause cause) = 0;
  // Asked before each attempt and at its answer: the caller is known to have gone, though the word of it is still to
  // come.
  virtual bool HasLeft(CallId) const { return false; }
};

// Rings lines of this exchange. OnRingResult is owed for each Ring that was not stopped.
class LineDriver {
 public:
  virtual ~LineDriver() = default;
  // kNormal when the line rings; otherwise why it cannot.
  virtual ReleaseCause Ring(CallId call, const CallRequest& offer) = 0;
  virtual void StopRinging(CallId call, ReleaseCause cause) = 0;
};

// Circuits of one group held by one call.
struct CircuitSet {
  int group = -1;  // number of the exchange at the other end
  std::vector<CircuitNumber> circuits;
  CallId call = 0;
};

struct TrunkSetUp {
  CircuitSet set;
  int attempt = 0;
  ExchangeId to = 0;                   // by which a number is told from the one that had it before
  const CallRequest* offer = nullptr;  // valid during the call
  int origin = -1;                     // number of the exchange where the call began
  TimeUs budget_us = 0;                // until this attempt is given up
};

class TrunkDriver {
 public:
  virtual ~TrunkDriver() = default;
  virtual void SetUp(const TrunkSetUp& set_up) = 0;
  // An incoming one stands. `session`: description of the far media, empty where none is known.
  virtual void Answer(const CircuitSet& set, std::string_view session) = 0;
  // The caller's media description, for the standing set-up of ours.
  virtual void Connect(const CircuitSet& set, std::string_view session) = 0;
  virtual void Release(const CircuitSet& set, const ReleaseInfo& info) = 0;  // either direction
  virtual void ProbeGroup(int group) = 0;
  // The same by id, where the network counts the circuits.
  virtual void ProbeExchange(ExchangeId) {}
  // The far end refused this circuit again and again: find out what it is. It comes back without, after a pause.
  virtual void CheckCircuit(int, CircuitNumber) {}
};

// What became of a seizure by the far end.
enum class SeizureResult : std::uint8_t {
  kAccepted,
  kGlare,         // one of the circuits is in use here, or this end seized it too
  kNotInService,  // one of them is out of service here
};

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };
class Logger {
 public:
  virtual ~Logger() = default;
  // `call` 0: none. `detail` is free text.
  virtual void Write(LogLevel level, std::string_view event, CallId call, std::string_view detail) = 0;
  // Whether it would be kept: asked before a line for each call is put together.
  virtual bool IsEnabled(LogLevel) const { return true; }
};

// What exporters are told; views are valid during the call.
struct AttemptRecord {
  CallId call = 0;
  int attempt = 0;
  int to = -1;
  bool tandem = false;
  Outcome outcome = Outcome::kOk;
  RejectCause cause = RejectCause::kNone;
  TimeUs sent_at = 0, stood_at = 0, ended_at = 0;  // stood_at 0: never
  std::size_t circuits = 0;                        // that it held; 0: there was none to seize, and no set-up left
};
struct CallRecord {
  CallId call = 0;
  const CallRequest* offer = nullptr;
  bool in_transit = false;
  int origin = -1;
  int attempts = 0;
  std::optional<FinalAnswer> answer;  // nothing: the caller hung up first
  TimeUs taken_at = 0, answered_at = 0, ended_at = 0;
  int group_in = -1;  // of a call in transit: the group it came by
};
class CallObserver {
 public:
  virtual ~CallObserver() = default;
  virtual void OnAttempt(const AttemptRecord& record) = 0;
  // The call stands from now on; its end is not known yet.
  virtual void OnEstablished(const CallRecord&) {}
  virtual void OnCall(const CallRecord& record) = 0;
};

struct GroupSettings {
  int number = -1;  // of the exchange at the other end
  std::size_t circuits = 0;
};

struct CoreSettings {
  Settings module;
  std::vector<GroupSettings> groups;
  std::size_t max_calls = 20'000;    // open at once, standing ones included
  TimeUs answer_margin_us = 20'000;  // the final answer leaves this much before the caller's time is up
  OverloadSettings overload;
  std::uint64_t seed = 1;
  MakeDecider decider = {};               // empty: the module
  std::size_t max_session_octets = 1024;  // octets of a media description that are carried through
  // The network has the circuits: nothing is seized here, what is free is what OnGroupReport was told, calls in transit
  // are offered by the front, and no call ends here.
  bool network_manages_circuits = false;
  TimeUs forgotten_call_timeout_us =
      0;  // a call that the module forgot fails this much later; for sites that count answers until then
};

struct CoreCounters {
  std::uint64_t offered = 0, incoming = 0, terminating = 0;
  std::uint64_t stands = 0, refused = 0, failed = 0, hung_up = 0;
  std::uint64_t attempts = 0, moot = 0, timeouts = 0, cut = 0, ended = 0;
  std::uint64_t failed_at_end = 0;  // had no final answer when the process was to end
  std::uint64_t refused_full = 0, refused_stopping = 0, refused_overload = 0, refused_door = 0, overdue = 0,
                stale_answers = 0;
  // Seizures by the far end that were sent back: it met one of ours or a call; the circuit is out of service here.
  std::uint64_t glare = 0, not_in_service = 0;
  std::uint64_t too_late =
      0;  // answers of the far end found in the queue after the caller's time: the process had stood still
  // Seizures of ours that were refused, and circuits suspected for it.
  std::uint64_t refused_by_far_end = 0, suspected = 0;
};

class CallCore {
 public:
  CallCore(const CoreSettings& settings, Runtime* runtime, Logger* log);
  ~CallCore();

  // Plugged in before the first event; none is owned.
  void SetTrunks(TrunkDriver* trunks) { trunks_ = trunks; }
  void SetLineDriver(LineDriver* line_driver) { line_driver_ = line_driver; }
  void AddObserver(CallObserver* observer) { observers_.push_back(observer); }

  // ---- fronts ----
  // Takes a call. Its answer may come from within this call. Returns its id, also when it is over by then.
  // `reserved`: an id of Reserve, 0 for a fresh one.
  CallId AcceptCall(const CallRequest& offer, CallOwner* owner, CallId reserved = 0);
  // An id for a call that is to come.
  CallId Reserve();
  // A call that the door refused: it is counted, told to the observers and answered, and the module never hears of it.
  void RecordRefusedCall(const CallRequest& offer, CallOwner* owner, CallId reserved, TimeUs pause_us);
  // A call whose caller hung up at the door: counted and told to the observers.
  void RecordAbandonedCall(const CallRequest& offer, CallId reserved);
  // A call that stood before this process started, at that exchange: it is released like any other. The module never
  // hears of it, as it forgot all when the process ended. 0: there is no room for it.
  CallId AdoptCall(const CallRequest& offer, CallOwner* owner, ExchangeId at);
  void HangUp(CallId call);
  // The media description of the caller's side, once it is connected.
  void OnCallerSession(CallId call, std::string_view session);
  // The line that rings for `call` answered; or the called side of a standing call hung up, is busy, or the like.
  void OnRingAnswered(CallId call, std::string_view session);
  void OnRingReleased(CallId call, ReleaseCause cause);

  // ---- trunks ----
  // The far end seized circuits of its group with us. Unless kAccepted, nothing was.
  SeizureResult AcceptIncoming(int group, const std::vector<CircuitNumber>& circuits, const CallRequest& offer,
                               int origin);
  // Events on a circuit that a set-up of ours, or an incoming call, holds.
  void OnTrunkSession(CallId call, int attempt, std::string_view session);
  void OnTrunkAnswered(CallId call, int attempt);
  void OnTrunkReleased(CallId call, int attempt, const ReleaseInfo& info);
  // The originating side of an incoming call let go.
  void OnIncomingReleased(CallId call, ReleaseCause cause);
  // Figures of the group towards this exchange, unasked, in the order of Settings::report_fields. With
  // network_manages_circuits.
  void OnGroupReport(ExchangeId exchange, const std::vector<float>& figures);
  // The answer to a ProbeExchange of this exchange; `figures` as above, empty where none came. With
  // network_manages_circuits.
  void OnProbeEnded(ExchangeId exchange, Outcome outcome, TimeUs elapsed_us, const std::vector<float>& figures);
  // Connections to this exchange do not come up, and no set-up was out on them. With network_manages_circuits.
  void OnUnreachable(ExchangeId exchange);
  void OnCircuitFree(int group, CircuitNumber circuit);
  void OnCircuitOutOfService(int group, CircuitNumber circuit);
  void OnCircuitInService(int group, CircuitNumber circuit);
  void OnProbed(int group, bool answered, TimeUs elapsed_us, const LoadReport& load);

  // ---- roster ----
  void OnDirectory(const DirectoryUpdate& update);

  // From now on calls are refused at once; those taken go on.
  void StopAcceptingCalls() { stopping_ = true; }
  // The process is going to end: what has no final answer by `at` fails then, and calls that are taken from now on are
  // set up within that time.
  void SetShutdownDeadline(TimeUs at);
  // Ends what is left: calls without a final answer fail, standing ones are released.
  void EndAllCalls(ReleaseCause cause);

  std::size_t open_calls() const { return calls_.size(); }
  // This process has fallen behind and refuses a share of new calls at once.
  bool Overloaded() const { return gate_.share() > 0.0; }
  // The share of new calls that it refuses.
  double ShareRefused() const { return gate_.share(); }
  const CoreCounters& counters() const { return counters_; }
  const CircuitGroup* Group(int number) const;
  // What the roster last said, by id; gone ones are kept for a while.
  const std::map<ExchangeId, DirectoryEntry>& Directory() const { return directory_; }
  int own_number() const { return settings_.module.own_number; }

 private:
  enum class State : std::uint8_t { kRouting, kRinging, kEstablished };
  // Lives until AttemptEnded was told to the module; then its circuits are on their own.
  struct Attempt {
    int index = 0;
    ExchangeId exchange = 0;
    TimeUs sent_at = 0, stood_at = 0;
    TimerId timeout = kNoTimer;
  };
  struct Call {
    CallRequest offer;
    CallOwner* owner = nullptr;  // null: incoming over a trunk
    State state = State::kRouting;
    bool module_knows = false;
    bool answered = false;
    int origin = -1;
    int attempts = 0;
    TimeUs taken_at = 0, answered_at = 0;
    std::optional<FinalAnswer> answer;
    ReleaseInfo last_release;  // why the last attempt ended: told to who sent a transit call
    std::string session;       // of the answering side
    CircuitSet in, out;
    std::optional<Attempt> attempt;
    TimerId deadline = kNoTimer;
  };

  void PostEvent(Event event);
  void Drain();
  // Circuits for the next set-up of the call, into its `out`; false where there are too few.
  bool Seize(int number, CallId id, Call* call);
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
  // Why a new call is refused before any work is spent on it; false: it is not.
  bool RefusedAtOnce();
  CallId NewCall(const CallRequest& offer, CallOwner* owner, int origin, CallId reserved = 0);
  void Begin(CallId id);
  // The caller's time is over; counted.
  bool TooLate(const Call& call);
  void OnDeadline(CallId id);
  // Ends its attempt and gives its final answer.
  void FailUnanswered(CallId id);
  std::vector<CallId> SortedCalls() const;
  void OnAttemptTimeout(CallId id, int attempt);
  // Ends the attempt: lets the circuits go and tells the module and the observers.
  void EndAttempt(CallId id, Call& call, Outcome outcome, RejectCause cause, const ReleaseInfo& info, bool terminal);
  // The one place that gives a final answer to whoever offered the call.
  void GiveFinal(CallId id, Call& call, const FinalAnswer& answer);
  // Ends a call whose final answer was given or that was hung up: circuits, timers, records.
  void Forget(CallId id, const ReleaseInfo& info);
  void ReleaseSet(CircuitSet* set, const ReleaseInfo& info);
  void TellSpare(int number);
  // The circuits of this attempt were refused by their far end, or it took part in their use.
  void NoteRefusal(const CircuitSet& set, const ReleaseInfo& info);
  // A circuit that has become suspected rests, and is looked at meanwhile.
  void RestIfSuspected(int number, const CircuitGroup& group, CircuitNumber circuit);
  // Of the group towards this exchange; empty where the network counts: what is told of it comes by OnGroupReport.
  std::vector<float> Figures(int number) const;
  int NumberOf(ExchangeId exchange) const;
  void IndexDirectory();

  CoreSettings settings_;
  Runtime* runtime_;
  Logger* log_;
  TrunkDriver* trunks_ = nullptr;
  LineDriver* line_driver_ = nullptr;
  CallRecord RecordOf(CallId id, const Call& call) const;
  std::vector<CallObserver*> observers_;
  std::map<int, CircuitGroup> groups_;  // by the number of the far exchange
  std::unordered_map<CallId, Call> calls_;
  std::map<ExchangeId, DirectoryEntry> directory_;
  // Who has a number now, gone ones left out: the free circuits of a group are told at each seizure and release, and
  // the directory is as large as the network.
  std::unordered_map<int, std::vector<ExchangeId>> by_number_;
  std::unordered_map<std::uint32_t, TimerId> rests_;  // of suspected circuits, by group and circuit
  std::unordered_set<TimerId> module_timers_;
  std::deque<Event> events_;
  std::deque<CallId> hang_ups_;  // that came while the module was at work
  std::vector<Action> actions_;
  OverloadGate gate_;
  std::uint64_t chance_;  // state of the gate's own draws
  bool draining_ = false;
  bool stopping_ = false;
  TimeUs finish_by_ = 0;  // 0: no end is in sight
  Timer finish_;
  CallId next_call_ = 1;
  CoreCounters counters_;
  std::unique_ptr<Decider> decider_;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_CALL_CORE_H_
