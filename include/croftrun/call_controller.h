// Public interface of the call controller, the decision module of croftrun: its settings, events and actions.
//
// A CallController makes the routing and admission decisions of one exchange's softswitch. It performs no I/O and reads
// no clock. The embedder reports each event together with its time, in the order in which the events happened, and
// carries out the returned actions in their order.
//
// Conventions: TimeUs values are microseconds. Points in time come from a clock of the embedder that never goes back;
// its origin does not matter. Unless stated otherwise, 0 means "unknown" or "none", and shares lie between 0 and 1.
// Exchanges have an id, which is unique to one process or machine, and a number, which a replacement takes over. No
// function of this header throws or reports errors: events that refer to unknown calls or exchanges are ignored, and
// figures of a report that are negative, infinite or NaN count as missing.
#ifndef CROFTRUN_CALL_CONTROLLER_H_
#define CROFTRUN_CALL_CONTROLLER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace croftrun {

using TimeUs = std::uint64_t;
using CallId = std::uint32_t;
using ExchangeId = std::uint32_t;

// Whether a set-up may be repeated if an earlier attempt may have been executed.
enum class RetrySemantics {
  kIdempotent,    // always
  kDeduplicated,  // within the deduplication window, at exchanges that discard the repeat (DeduplicationScope)
  kAtMostOnce     // never
};
// Exchanges that discard the repeat of a set-up, for RetrySemantics::kDeduplicated.
enum class DeduplicationScope {
  kAll,    // all exchanges
  kZone,   // the exchanges in the zone of the earlier attempt
  kNumber  // the exchange with the number of the earlier attempt
};
enum class Topology {
  kMeshed,  // exchanges with trunk groups to one another; other exchanges can serve as tandems
  kPools    // pools of equivalent exchanges, restricted by CallClass::pools
};
// Whether the controller subscribes to the directory itself.
enum class DiscoveryMode {
  kAutomatic,  // directory updates arrive without a subscription
  kSubscribe   // the controller emits SubscribeDirectory, also after a failure
};
// Meaning of one figure of a load report. Settings::report_fields lists the figures in their order.
enum class ReportField {
  kUnknown,        // ignored
  kFreeCircuits,   // free circuits of the direct trunk group
  kTotalCircuits,  // all circuits of the direct trunk group
  kBusyWorkers,    // requests in progress at the exchange
  kPendingSetUps,  // set-ups queued at the exchange
  kCpuShare,       // processor load, as a share
  kWaitMs,         // time that a set-up spends at the exchange, in milliseconds
  kAllowedRate,    // set-ups per second that the exchange accepts from all softswitches together
  kLoadReduction   // share of set-ups that the exchange asks its senders to withhold
};

// A class of calls, see CallOffered::call_class.
struct CallClass {
  std::string name;
  RetrySemantics retry_semantics = RetrySemantics::kIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  TimeUs deduplication_window_us = 0;  // for kDeduplicated: a repeat is recognised this long after the first set-up
  TimeUs target_delay_us = 0;          // from the first offer to the answer, for the full worth; 0: deadline_us
  TimeUs deadline_us = 0;              // time for which a caller redials, from the first offer; 0: unknown
  double worth = 1.0;                  // value of a served call, relative to other classes
  double late_worth = 0.0;             // share of the worth of a call that is answered after the target delay
  double width = 1.0;                  // circuits that a call takes on each trunk group
  TimeUs holding_us = 0;               // mean holding time; 0: unknown
  std::vector<int> pools;              // for Topology::kPools: numbers of the permitted pools; empty: any
};

struct Customer {
  std::string name;
  double quota_per_s = 0.0;  // calls per second over all softswitches, further calls lose worth; 0: no quota
};

// Every field has a neutral default, so an embedder sets only what it knows. The controller itself does not use
// own_zone, retransmit_interval_us, drain_grace_us, collapse_time_us, keep_alive_us, max_calls, marks_redials,
// provides_route_advice, reports_wait_time and the may_* permissions at present; embedders may.
struct Settings {
  Topology topology = Topology::kMeshed;
  DiscoveryMode discovery_mode = DiscoveryMode::kAutomatic;
  int own_number = -1;  // number of the own exchange; -1 with Topology::kPools
  int own_zone = 0;
  int softswitch_count = 1;         // softswitches that send set-ups to these exchanges, this one included
  std::vector<CallClass> classes;   // index: CallOffered::call_class
  std::vector<Customer> customers;  // index: CallOffered::customer
  double over_quota_worth = 1.0;    // share of the worth of a call that exceeds its customer's quota
  std::vector<ReportField> report_fields;
  TimeUs resend_guard_us = 0;         // minimum time from a timeout, reset or cancellation to the next attempt
  TimeUs retransmit_interval_us = 0;  // first retransmission of an unanswered set-up, then doubling; 0: none
  TimeUs drain_grace_us = 0;  // time after its notification in which set-ups to a draining exchange are tolerated
  double warm_up_start_share = 1.0;  // share of its capacity that an exchange has at least after a restart
  TimeUs warm_up_us = 0;             // time from a restart to full capacity; 0: no warm-up
  double collapse_multiple = 0.0;  // an exchange collapses if sent more than this multiple of its capacity; 0: unknown
  TimeUs collapse_time_us = 0;     // ... for this long; 0: never
  TimeUs keep_alive_us = 0;
  int max_attempts = 1;             // set-ups for each call, including the first
  std::uint32_t max_calls = 20000;  // calls that the softswitch may have in progress at a time
  bool may_cancel = false;          // CancelSetUp is permitted
  bool may_probe = false;           // SendProbe is permitted
  bool may_notify_peers = false;
  bool may_duplicate = false;          // two attempts of a call may be pending at a time
  bool honours_retry_after = false;    // callers observe RefuseCall::retry_after_us
  TimeUs max_retry_after_us = 0;       // longest retry-after that callers observe
  bool marks_redials = false;          // CallOffered::is_redial is set
  bool provides_route_advice = false;  // CallOffered::via may name an advised tandem
  bool reports_wait_time = false;      // AttemptEnded::wait_us is set
};

// State of an exchange in the directory. New set-ups are sent to ready exchanges only.
enum class ExchangeStatus : std::uint8_t { kGone = 0, kReady = 1, kDraining = 2 };

// One exchange in the directory.
struct DirectoryEntry {
  ExchangeId exchange = 0;
  int zone = 0;
  int kind = 0;
  int number = 0;  // of the exchange, or of its pool with Topology::kPools
  ExchangeStatus status = ExchangeStatus::kReady;
  double capacity_rating = 1.0;  // capacity relative to other exchanges
  TimeUs started_at_us = 0;      // time of the latest start; 0: long ago
};

// ---- events ----
enum class DirectoryKind : std::uint8_t {
  kFull,    // all exchanges; one that is missing is gone
  kDelta,   // changed entries only
  kCached,  // as kFull, but possibly out of date
  kFailed   // the subscription or request failed; no entries
};

// A notification of the discovery service. The controller does not check the version; the embedder has to report
// notifications in their order.
struct DirectoryUpdate {
  DirectoryKind kind = DirectoryKind::kFull;
  std::uint32_t version = 0;
  std::vector<DirectoryEntry> entries = {};
};

// A call that needs a route. The controller answers it with RefuseCall or FailCall, unless it is established,
// abandoned, or ended with AttemptEnded::terminal first. The id must not have been used before.
struct CallOffered {
  CallId call = 0;
  int call_class = 0;               // index into Settings::classes; other values: a class with default values
  int customer = 0;                 // index into Settings::customers; other values: no quota
  std::uint64_t number_called = 0;  // identifies the called number, and with it a redial; 0: unknown
  TimeUs budget_us = 0;             // time from now until the caller gives up
  int destination = -1;             // number of the destination exchange, or of the preferred pool
  double width = 1.0;               // circuits that it takes on each trunk group; 0 or less: 1
  int via = -1;                     // in transit: number of the sending exchange; else of the advised tandem; -1: none
  bool is_redial = false;           // marked as a redial, see Settings::marks_redials
  bool in_transit = false;          // this exchange is the tandem: the call is sent to its destination or refused
  bool was_disconnected = false;    // it was established before, was disconnected by a failure, and is offered again
};

// Result of an attempt. After kRejected, kConnectFailed and kNotSent it is certain that the exchange did not execute
// the set-up.
enum class Outcome {
  kOk,             // the call was established and has ended
  kError,          // the exchange reported a failure
  kRejected,       // the exchange rejected the set-up, see RejectCause
  kTimeout,        // no answer within SendSetUp::timeout_us
  kConnectFailed,  // no connection to the exchange could be established
  kReset,          // the connection was lost after the set-up had been sent
  kCancelled,      // ended by CancelSetUp
  kNotSent         // the softswitch did not send the set-up, see RejectCause
};
// Reason for a rejected or failed attempt.
enum class RejectCause {
  kNone,
  kNoCircuit,               // no free circuit on the trunk group
  kCrankback,               // a tandem returned the call, because it could not send it on
  kCrankbackProcessorFull,  // as kCrankback, because the processor of the destination is full
  kProcessorFull,           // the processor of the exchange is full; with kNotSent, that of the own exchange
  kLinesBusy,               // the lines of the called number are busy
  // With kConnectFailed: this connection broke before it was open, while others show that the exchange is working.
  kConnectionLost,
};

// An attempt has ended without being established, or an established call has ended.
struct AttemptEnded {
  CallId call = 0;
  ExchangeId exchange = 0;
  int attempt = 0;  // index among the attempts of the call, from 0
  Outcome outcome = Outcome::kOk;
  RejectCause cause = RejectCause::kNone;
  TimeUs wait_us = 0;              // minimum time to the next set-up, stated by a full processor; 0: none
  TimeUs elapsed_us = 0;           // since the set-up was sent
  bool terminal = false;           // the call is over; it must not be answered or sent again
  std::vector<float> report = {};  // figures in the order of Settings::report_fields; empty: no report
};

// An attempt was answered, which is the final answer of the call.
struct CallEstablished {
  CallId call = 0;
  ExchangeId exchange = 0;
  int attempt = 0;
  TimeUs elapsed_us = 0;  // from sending the set-up to its answer
};

// The caller hung up before the call was answered. The call must not be answered any more.
struct CallAbandoned {
  CallId call = 0;
};

// The delay of a SetTimer is over.
struct TimerExpired {
  std::uint64_t token = 0;  // of the SetTimer
};

// The response to a SendProbe or, with `elapsed_us` 0, an unsolicited report of the circuits of a direct trunk group.
// With kConnectFailed, solicited or not: connections to the exchange cannot be established, although the directory does
// not list it as gone.
struct LoadReportReceived {
  ExchangeId exchange = 0;
  Outcome outcome = Outcome::kOk;
  TimeUs elapsed_us = 0;
  std::vector<float> report = {};
};

using Event = std::variant<DirectoryUpdate, CallOffered, AttemptEnded, CallEstablished, CallAbandoned, TimerExpired,
                           LoadReportReceived>;

// ---- actions ----
// Starts the next attempt of a call.
struct SendSetUp {
  CallId call = 0;
  ExchangeId exchange = 0;
  TimeUs timeout_us = 0;  // time to wait for the answer; 0: until the caller gives up
};
// Cancels a pending attempt. Not emitted at present.
struct CancelSetUp {
  CallId call = 0;
  int attempt = 0;
};
// Requests a load report. Not emitted at present.
struct SendProbe {
  ExchangeId exchange = 0;
};
// Final answer: the call was not executed anywhere, or may safely be repeated by the caller.
struct RefuseCall {
  CallId call = 0;
  TimeUs retry_after_us = 0;  // the caller should not redial sooner; 0: no indication
};
// Final answer: the call failed after at least one attempt, which may have been executed.
struct FailCall {
  CallId call = 0;
};
// Requests a TimerExpired. Timers are not cancelled; expired ones that are no longer needed are ignored.
struct SetTimer {
  TimeUs delay_us = 0;
  std::uint64_t token = 0;
};
// Requests one full DirectoryUpdate. Not emitted at present.
struct FetchDirectory {};
// Starts or ends the subscription to directory updates.
struct SubscribeDirectory {
  bool enabled = true;
};
// Writes a line of free text to the operator's log.
struct WriteLog {
  std::string text;
};

using Action = std::variant<SendSetUp, CancelSetUp, SendProbe, RefuseCall, FailCall, SetTimer, FetchDirectory,
                            SubscribeDirectory, WriteLog>;

// The call controller of one softswitch. Not thread-safe. Equal settings, seed, times and events result in equal
// actions.
class CallController {
 public:
  // Appends the actions required at the start, for example a subscription, to `actions`, which must not be null. All
  // random choices derive from `seed`; softswitches of one network should have different seeds.
  CallController(const Settings& settings, std::uint64_t seed, TimeUs now, std::vector<Action>* actions);
  ~CallController();
  CallController(CallController&&) noexcept;
  CallController& operator=(CallController&&) noexcept;

  // Appends the actions in response to `event`, which happened at `now`, to `actions`, which must not be null. `now`
  // must not be earlier than in the previous call.
  void Handle(TimeUs now, const Event& event, std::vector<Action>* actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace croftrun

#endif  // CROFTRUN_CALL_CONTROLLER_H_
