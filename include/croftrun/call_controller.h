// croftrun: the interface of the call controller. No decision, table or tuned value lives here.
//
// A CallController is the decision part of one exchange's softswitch. The embedder reports events, in the
// order in which they happened and with the time of each, and carries out the actions that come back, in
// the order written. Times are microseconds of any clock that only advances.
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

// What a repeat of a set-up may do.
enum class RetrySemantics { kIdempotent, kDeduplicated, kAtMostOnce };
// Which exchanges discard a repeated set-up, for RetrySemantics::kDeduplicated.
enum class DeduplicationScope { kAll, kZone, kNumber };
enum class Topology { kMeshed, kGroups };
enum class DiscoveryMode { kAutomatic, kSubscribe };
// The figures of a load report, by meaning; the order is the one of Settings::report_fields.
enum class ReportField {
  kUnknown,
  kFreeCircuits,
  kTotalCircuits,
  kBusyWorkers,
  kPendingSetUps,
  kCpuShare,
  kWaitMs,
  kAllowedRate,
  kLoadReduction
};

struct CallClass {
  std::string name;
  RetrySemantics retry_semantics = RetrySemantics::kIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  TimeUs deduplication_window_us = 0;  // for kDeduplicated: how long a repeat is recognised
  TimeUs target_delay_us = 0;          // set-up within this earns the full worth; 0: the deadline
  TimeUs deadline_us = 0;              // callers try for this long; 0: unknown
  double worth = 1.0;
  double late_worth = 0.0;  // share of the worth after the aim
  double width = 1.0;       // circuits taken on each group
  TimeUs holding_us = 0;    // mean holding time; 0: unknown
  std::vector<int> pools;   // Topology::kGroups: the pools it may use; empty: any
};

struct Customer {
  std::string name;
  double quota_per_s = 0.0;  // calls per second over all senders, within its share; 0: none
};

// Every field has a neutral default, so an embedder sets what it knows.
struct Settings {
  Topology topology = Topology::kMeshed;
  DiscoveryMode discovery_mode = DiscoveryMode::kAutomatic;
  int own_number = -1;  // number of the own exchange; -1 with pools
  int own_zone = 0;
  int softswitch_count = 1;  // how many softswitches send to these exchanges
  std::vector<CallClass> classes;
  std::vector<Customer> customers;
  double over_quota_worth = 1.0;
  std::vector<ReportField> report_fields;
  TimeUs resend_guard_us = 0;         // no resend within this of a timeout, reset or cancel
  TimeUs retransmit_interval_us = 0;  // a waiting set-up is repeated after this, then at doubling gaps; 0: never
  TimeUs drain_grace_us = 0;
  double warm_up_start_share = 1.0;  // a restarted exchange has at least this share of its capacity
  TimeUs warm_up_us = 0;             // and all of it after this
  double collapse_multiple = 0.0;    // sent more than this multiple of its capacity ...
  TimeUs collapse_time_us = 0;       // ... for this long, it falls over; 0: never
  TimeUs keep_alive_us = 0;
  int max_attempts = 1;
  std::uint32_t max_held_calls = 20000;
  bool may_cancel = false;
  bool may_probe = false;
  bool may_notify_peers = false;
  bool may_duplicate = false;
  bool honours_retry_after = false;  // callers are told how long to stay away
  TimeUs max_retry_after_us = 0;
  bool marks_redials = false;
  bool route_advice = false;
  bool reports_wait_time = false;
};

enum class ExchangeStatus : std::uint8_t { kGone = 0, kReady = 1, kDraining = 2 };

struct DirectoryEntry {
  ExchangeId exchange = 0;
  int zone = 0;
  int kind = 0;
  int number = 0;
  ExchangeStatus status = ExchangeStatus::kReady;
  double rating = 1.0;
  TimeUs since_us = 0;  // most recent start; 0: long ago
};

// ---- events ----
enum class DirectoryKind : std::uint8_t { kFull, kDelta, kCached, kFailed };

struct DirectoryUpdate {
  DirectoryKind kind = DirectoryKind::kFull;
  std::uint32_t version = 0;
  std::vector<DirectoryEntry> entries = {};
};

struct CallOffered {
  CallId call = 0;
  int call_class = 0;
  int customer = 0;
  std::uint64_t number_called = 0;  // 0: none
  TimeUs budget_us = 0;             // until the caller gives up this try
  int destination = -1;             // number of an exchange, or of the first-choice pool
  double width = 1.0;
  int via = -1;  // in transit: where it comes from; else the centre's advice, or -1
  bool is_redial = false;
  bool in_transit = false;
  bool previously_cut = false;
};

enum class Outcome { kOk, kError, kRejected, kTimeout, kConnectFailed, kReset, kCancelled, kNotSent };
// Why an attempt was turned away.
enum class RejectCause {
  kNone,
  kNoCircuit,
  kCrankback,
  kCrankbackProcessorFull,
  kProcessorFull,
  kLinesBusy,
  // With kConnectFailed: the one connection broke before it was open, and others show that the exchange lives.
  kConnectionLost,
};

struct AttemptEnded {
  CallId call = 0;
  ExchangeId exchange = 0;
  int attempt = 0;
  Outcome outcome = Outcome::kOk;
  RejectCause cause = RejectCause::kNone;
  TimeUs wait_us = 0;  // stated by a full processor; 0: none
  TimeUs elapsed_us = 0;
  bool terminal = false;
  std::vector<float> report = {};
};

struct CallEstablished {
  CallId call = 0;
  ExchangeId exchange = 0;
  int attempt = 0;
  TimeUs elapsed_us = 0;
};

struct CallAbandoned {
  CallId call = 0;
};

struct TimerExpired {
  std::uint64_t token = 0;
};

// The answer to a SendProbe, or (elapsed 0) the free circuits of an own group, unasked. With kConnectFailed, asked for
// or not: connections to the exchange do not come up, which is no word of discovery.
struct LoadReportReceived {
  ExchangeId exchange = 0;
  Outcome outcome = Outcome::kOk;
  TimeUs elapsed_us = 0;
  std::vector<float> report = {};
};

using Event = std::variant<DirectoryUpdate, CallOffered, AttemptEnded, CallEstablished, CallAbandoned, TimerExpired,
                           LoadReportReceived>;

// ---- actions ----
struct SendSetUp {
  CallId call = 0;
  ExchangeId exchange = 0;
  TimeUs timeout_us = 0;  // 0: until the caller gives up
};
struct CancelSetUp {
  CallId call = 0;
  int attempt = 0;
};
struct SendProbe {
  ExchangeId exchange = 0;
};
struct RefuseCall {
  CallId call = 0;
  TimeUs retry_after_us = 0;  // 0: no indication
};
struct FailCall {
  CallId call = 0;
};
struct SetTimer {
  TimeUs delay_us = 0;
  std::uint64_t token = 0;
};
struct FetchDirectory {};
struct SubscribeDirectory {
  bool enabled = true;
};
struct WriteLog {
  std::string text;
};

using Action = std::variant<SendSetUp, CancelSetUp, SendProbe, RefuseCall, FailCall, SetTimer, FetchDirectory,
                            SubscribeDirectory, WriteLog>;

class CallController {
 public:
  // Actions of the start itself (a subscription, say) are appended to `actions`.
  CallController(const Settings& settings, std::uint64_t seed, TimeUs now, std::vector<Action>* actions);
  ~CallController();
  CallController(CallController&&) noexcept;
  CallController& operator=(CallController&&) noexcept;

  // Appends what is to be done about `event`, which happened at `now`.
  void Handle(TimeUs now, const Event& event, std::vector<Action>* actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace croftrun

#endif  // CROFTRUN_CALL_CONTROLLER_H_
