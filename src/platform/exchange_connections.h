// Connections to the exchanges of the directory, with the set-ups and releases sent on them.
//
// A set-up gets a connection of its own while the connection limit allows it, because everything on a shared connection
// is lost together with it. After the answer, the connection is used for the next set-up. A connection to every
// exchange of the directory is kept open, so that its group reports and the releases of its calls can be received.
#ifndef CROFTRUN_PLATFORM_EXCHANGE_CONNECTIONS_H_
#define CROFTRUN_PLATFORM_EXCHANGE_CONNECTIONS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/call_core.h"
#include "core/runtime.h"
#include "platform/group_report.h"
#include "platform/line_codec.h"
#include "platform/node_config.h"
#include "platform/recent_names.h"
#include "policy/failure_detector.h"
#include "policy/process_succession.h"

namespace croftrun::platform {

// Settings of the connections to the exchanges.
struct ExchangeSettings {
  std::size_t max_connections = 100;  // limit for all exchanges together
  std::size_t max_exchanges = 2048;   // entries of the directory beyond that are ignored
  TimeUs connect_timeout_us = 500'000;
  TimeUs drain_grace_us = 0;  // from the notification that an exchange drains to the last set-up that is sent to it
  std::vector<std::string> classes;  // names by class index
  std::vector<std::string> zones, kinds;
  std::vector<std::string> report_fields;  // names of the fields of a report, in the order of Settings::report_fields
  std::int64_t unix_offset_us = 0;         // Unix time minus the time of the runtime's clock
  bool may_probe = false;                  // the deployment allows probes of exchanges
  bool own_circuits = true;                // reports count only the circuits towards this softswitch
};

// Counters of the connections to the exchanges, as shown in the metrics.
struct ExchangeCounters {
  std::uint64_t set_ups = 0, shared = 0, answers = 0, refusals = 0, errors = 0, resets = 0, never_ran = 0, given_up = 0;
  std::uint64_t ended = 0, cut = 0, cut_with_exchange = 0, released = 0;
  std::uint64_t connects = 0, refused = 0, timed_out = 0, broken = 0, spoilt = 0;
  std::uint64_t lost_exchanges = 0;  // times that calls were terminated because of their exchange
  std::uint64_t liveness_connects = 0, liveness_probes = 0;  // requested by the failure detector
  std::uint64_t suspicions = 0, suspicions_cleared = 0;      // suspicions that the process with the calls was replaced
  std::uint64_t given_up_silent = 0, given_up_replaced = 0;  // decisions of the failure detector to give up calls
  std::uint64_t ignored_exchanges = 0;                       // entries of the directory that exceeded the limit
  std::uint64_t successions = 0;  // starts that the directory told of at the address of another exchange
  std::uint64_t undecided = 0;    // calls of which a start left open whether its process holds them
  std::uint64_t undecided_confirmed = 0, undecided_released = 0;  // how that was decided
  std::uint64_t taken_over = 0;    // calls that turned out to be established at the successor of their exchange
  std::uint64_t replacements = 0;  // connections opened because releases may have been lost with an earlier one
  std::uint64_t no_room = 0;       // connections not opened because of the limit
  std::uint64_t early_ends = 0;    // releases received before their call was adopted
  std::uint64_t reports = 0, changed_reports = 0, second_answers = 0, unknown_answers = 0, late_answers = 0,
                unknown_ends = 0;
};

struct UnsentSetUp;

// Carries the trunk side of the core: set-ups, releases and probes over connections to the exchanges. It also applies
// the directory and gives up the calls at failed exchanges.
class ExchangeConnections final : public core::TrunkDriver {
 public:
  ExchangeConnections(const ExchangeSettings& settings, core::Runtime* runtime, core::Logger* log,
                      core::CallCore* core);
  ~ExchangeConnections() override;

  // Applies a directory notification to the exchanges here and to the directory of the core.
  void OnDirectoryNotification(const DirectoryNotification& notification);
  // Returns the exchange with this uid, or 0 if the directory has none or it has been removed from the directory.
  ExchangeId Find(const std::string& uid) const;
  // Returns whether the directory has never named this uid, as far as is remembered: it may be that of an exchange
  // which has just started.
  bool IsUnknown(const std::string& uid) const {
    return by_uid_.count(uid) == 0 && !forgotten_exchanges_.Contains(uid);
  }
  std::size_t connection_count() const { return connection_count_; }
  std::size_t call_leg_count() const { return call_legs_.size(); }
  // Returns the number of exchanges, including removed ones that still have calls or connections.
  std::size_t exchange_count() const { return exchanges_.size(); }
  const ExchangeCounters& counters() const { return counters_; }
  // Returns the number of exchanges in the directory without an open connection.
  std::size_t unreachable_exchanges() const;
  // Returns the number of established calls at exchanges without an open connection.
  std::size_t calls_at_unreachable_exchanges() const;
  // Returns the longest time since the last sign of life of an exchange with established calls, or 0 if there are no
  // established calls.
  TimeUs longest_silence() const;

  // Sets the time by which suspicions are decided because the process shuts down, see policy::FailureDetector.
  void SetDecisionDeadline(TimeUs at);

  void SetUp(const core::TrunkSetUp& set_up) override;
  void Release(const core::CircuitSet& set, const core::ReleaseInfo& info) override;
  void ProbeExchange(ExchangeId exchange) override;
  // Session descriptions are part of set-up and answer messages on the platform, so there is nothing to do here.
  void Answer(const core::CircuitSet&, std::string_view) override {}
  void Connect(const core::CircuitSet&, std::string_view) override {}
  void ProbeGroup(int) override {}

  // Returns whether a set-up with this id was sent to an exchange recently.
  bool WasAttempted(const std::string& id) const { return attempted_.Contains(id); }
  // Returns whether this call is established at the exchange with this uid.
  bool IsEstablishedAt(CallId call, const std::string& uid) const;
  // Adds a call that was adopted by the core, established at this exchange.
  void AdoptCall(CallId call, const std::string& id, ExchangeId exchange_id);

 private:
  class Connection;
  struct Exchange;
  // The connection that carried the answer of a call, which may have ended since.
  struct Carrier {
    std::uint64_t connection = 0;  // its number in the log; 0: the call was announced
    policy::ConnectionSpan span;
  };
  // The call leg to an exchange: a pending set-up or the established call that resulted from it.
  struct CallLeg {
    CallId call = 0;
    int attempt = 0;
    Exchange* exchange = nullptr;
    Connection* connection = nullptr;  // null: the connection has been lost
    bool is_established = false;
    TimeUs established_at = 0;
    std::string id;
    bool is_sent = false;  // the set-up was written
    TimeUs sent_at = 0;    // of the set-up
    Carrier carrier = {};
    bool announced = false;  // set up by a former process and announced by its caller
    policy::ProcessClaim claim = {};
    // Returns whether the process that holds the call was reached before `time`. An announced call may be of any age.
    bool WasCarriedBefore(TimeUs time) const { return announced || carrier.span.opened_at < time; }
  };

  // Converts Unix time to the runtime's clock. The result is never 0, except for 0.
  TimeUs ToRuntimeTime(std::int64_t unix_ms) const;
  // Writes a set-up on the connection of its leg.
  void WriteSetUp(CallLeg* leg, const UnsentSetUp& set_up);
  // Writes the set-ups that waited for this connection, except those that may not begin any more.
  void SendUnsentSetUps(Connection* connection);
  // Drops a set-up that was not written. A connection that is opened for nothing else is closed.
  void WithdrawSetUp(Connection* connection, const std::string& id);
  DirectoryEntry MakeDirectoryEntry(const Exchange& exchange) const;
  // Returns whether a newer exchange has the address of this entry of the directory. The newer of two exchanges is the
  // one that was started later. If both state the same start, or none, it is the one that does not drain, and otherwise
  // the one that became known later (`id` 0: before all others). `clock_difference` is by how much the start of the
  // other one may be stated too late, if an earlier notification listed it.
  bool IsSuperseded(ExchangeId id, const Target& target, TimeUs since, TimeUs clock_difference,
                    std::uint64_t notification_number) const;
  // Adds an exchange that the directory tells of for the first time.
  // Records when the directory tells that the exchange drains, or no longer does.
  void RecordDrain(Exchange* exchange, ExchangeStatus status);
  ExchangeId AddExchange();
  // Forgets removed exchanges on which nothing depends any more.
  void ForgetRemovedExchanges();
  // Returns the bounds of a start on the runtime's clock.
  policy::StartWindow StartWindowOf(std::int64_t boot_ms) const;
  // Moves to this exchange the connections and calls that were carried by its process, or may have been, while it was
  // reached under the name of an exchange that had its address before. Ends the other calls there.
  void TakeOverFromPredecessors(Exchange* successor);
  void TakeOverFrom(Exchange* predecessor, Exchange* successor, const policy::StartWindow& start);
  void MoveConnections(Exchange* predecessor, Exchange* successor, const policy::StartWindow& start);
  void MoveCalls(Exchange* predecessor, Exchange* successor, const policy::StartWindow& start);
  void MoveQueuedReleases(Exchange* predecessor, Exchange* successor, const policy::StartWindow& start);
  // Applies a start that is told of an exchange under the name that it had before.
  void RestartExchange(Exchange* exchange, const policy::StartWindow& start);
  // Returns whether a connection from before the start has carried data since, so that its process has outlived it.
  bool HasOutlived(const Exchange& exchange, const policy::StartWindow& start) const;
  // Returns which process holds an established call.
  static policy::ProcessOrder HolderOf(const Exchange& exchange, const CallLeg& leg, const policy::StartWindow& start);
  // Ends the calls of the process before a start. They are released at `release_at` if their carrier came up so close
  // to the start that only the stated time speaks against the new process.
  void EndCallsBeforeStart(Exchange* exchange, Exchange* release_at, const policy::StartWindow& start,
                           std::string_view why);
  // Returns the exchange that has answered the set-up.
  Exchange* AnsweringExchange(const CallLeg& leg);
  // A connection to the exchange has ended; `carried` are the established calls that were answered on it.
  void DecideCallsOfEndedConnection(Exchange* exchange, const std::vector<std::string>& carried);
  // Puts the claim on a connection or call in question.
  void RequestConfirmation(Exchange* exchange, Connection* connection, TimeUs evidence_from);
  void RequestConfirmation(Exchange* exchange, CallLeg* leg, TimeUs evidence_from);
  // Carries a suspicion of the failure detector over to the call, which the detector stops watching.
  void KeepSuspicion(Exchange* exchange, CallLeg* leg);
  // Decides the claims at this exchange for which there is evidence, and those whose time has passed.
  void CheckClaims(Exchange* exchange);
  // The process that `carrier` led to is alive: confirms its claims, and those on what was carried later.
  void ConfirmProcess(Exchange* exchange, const Carrier& carrier);
  // Logs a change that the directory tells, with the start that it states.
  void LogListing(const Target& target, TimeUs started_at);
  // Logs when a moved call was answered, and on which connection, relative to the start of the new process.
  void LogMovedCall(const CallLeg& leg, const policy::StartWindow& start);
  // Removes the call leg from all indexes.
  CallLeg RemoveCallLeg(std::unordered_map<std::string, CallLeg>::iterator position);
  Connection* SelectConnection(Exchange* exchange);
  // Closes an idle connection to another exchange that has more than one, to stay within the limit. Returns false if
  // there is none.
  bool CloseIdleConnectionElsewhere(const Exchange* wanted);
  // Closes one idle connection to the exchange if it has more than kKeptIdleConnections.
  void CloseSurplusConnection(Exchange* exchange);
  // Returns the newest open connection, or null if there is none.
  static Connection* NewestOpenConnection(const Exchange& exchange);
  // Purpose of a new connection.
  enum class Purpose : std::uint8_t {
    kSetUp,          // only within the limit
    kKeepConnected,  // closes an idle connection elsewhere if needed, as nothing is received without a connection
    kSignOfLife,     // likewise, with a reserve beyond the limit and a longer timeout
  };
  // Returns whether data was received recently on a connection that is open at both ends.
  bool IsKnownAlive(const Exchange& exchange) const;
  // Returns null if the limit has been reached.
  Connection* OpenConnection(Exchange* exchange, Purpose purpose);
  // Starts the periodic timer that queries the failure detector of each exchange with established calls.
  void StartLivenessTimer();
  void ExecuteLivenessAction(Exchange* exchange, policy::LivenessAction action);
  // Passes the last report, received on `connection`, to the failure detector.
  void CheckCircuitReport(const Connection& connection);
  // Compares the last report with the established calls; those whose carrier is older than the given time are in
  // question.
  policy::CircuitUse ComputeCircuitUse(const Exchange& exchange, TimeUs carried_before) const;
  // Terminates the announced calls if the last report of the exchange denies them.
  void CheckAnnouncedCalls(Exchange* exchange);
  // Data has arrived on a connection that its far end keeps open.
  void RecordSignOfLife(Connection* connection);
  // `alive_at` is a time at which the process that holds the call was alive.
  void RecordEstablishedCall(Exchange* exchange, const std::string& id, TimeUs alive_at);
  void LogSuspicionChange(const Exchange& exchange, bool was_suspected);
  // Why a connection ended.
  enum class DisconnectReason : std::uint8_t { kClosed, kReset, kRefused, kConnectTimeout, kMalformed, kClosedLocally };
  static std::string_view NameOf(DisconnectReason reason);
  // Returns whether the exchange has no connection, or needs one more because releases may have been lost.
  static bool NeedsConnection(const Exchange& exchange);
  // Returns null if the limit has been reached.
  Connection* OpenNeededConnection(Exchange* exchange);
  // Opens a connection to the exchange if it needs one, after the reconnect delay.
  void EnsureConnected(Exchange* exchange);
  // Records whether releases may have been lost with the connection.
  void RecordLostData(const Connection& connection, DisconnectReason reason);
  // Records that no connection to the exchange is open.
  void RecordOutage(Exchange* exchange, DisconnectReason reason);
  // Returns false if the connection has to be closed.
  bool HandleLine(Connection* connection, std::string_view line);
  void HandleRelease(Connection* connection, const Message& message);
  void HandleAnswer(Connection* connection, const Message& message);
  void HandleGroupReport(Connection* connection, const Message& message);
  // Removes the connection. Its pending set-ups were not sent if it was never open; otherwise they may have been
  // received.
  void EndConnection(Connection* connection, DisconnectReason reason);
  // The other open connections to the exchange of a connection that was reset, see policy::FailureDetector.
  struct ResetContext {
    std::size_t others_open = 0;
    TimeUs unproven_opened_at = 0;
  };
  ResetContext ContextOfReset(const Connection& connection) const;
  void NotifyDetector(const Connection& connection, DisconnectReason reason);
  // Whether terminated calls may still exist at the exchange, so that a release has to be sent.
  enum class RemoteState : std::uint8_t { kCallsGone, kCallsMayExist };
  // The state of calls most of which the last report denies. It does not tell which ones the used circuits belong to.
  static RemoteState StateOfDeniedCalls(const Exchange& exchange);
  // Terminates the calls at the exchange that were established before `before`.
  void TerminateCallsBefore(Exchange* exchange, TimeUs before, std::string_view why,
                            RemoteState remote_state = RemoteState::kCallsGone);
  // Terminates the given calls. If they may still exist, they are released on their own connection or at `release_at`,
  // by default the exchange itself.
  void TerminateCalls(Exchange* exchange, std::vector<std::string> ids, std::string_view why, RemoteState remote_state,
                      Exchange* release_at = nullptr);
  // Terminates the calls that the current process of the exchange does not know, as decided by the failure detector.
  void GiveUpSuspectedCalls(Exchange* exchange, std::string_view why, RemoteState remote_state);
  void SendProbe(Connection* connection);
  // Sends a probe for the failure detector. Does nothing if `connection` is null.
  void SendLivenessProbe(Connection* connection);
  // Selects among the connections of the process that holds the calls. Returns null if none is open.
  static Connection* LeastRecentlyProbed(const Exchange& exchange);
  void RetireExchange(Exchange* exchange);
  // Closes the connections to a removed exchange on which nothing is left.
  void CloseUnusedConnections(Exchange* exchange);
  // Returns the exchanges that are missing in a whole list. They have no address any more and have to be retired.
  std::vector<Exchange*> RemoveUnlisted(const std::vector<Target>& list);
  void FreeAddress(const Exchange& exchange);
  void LogIgnoredExchanges(std::size_t count);
  // Closes the connections to the exchange for which `is_unused(connection)` returns true.
  template <typename Condition>
  void CloseConnectionsIf(Exchange* exchange, const Condition& is_unused);
  // Terminates the calls that were answered after the removal if the exchange is silent, and closes the connections on
  // which nothing is left.
  void CheckRetiredExchange(Exchange* exchange);
  // Releases a call on its connection, or on any other one to the exchange. Without one, the release is queued.
  void SendRelease(Exchange* exchange, Connection* connection, const std::string& id, const Carrier& carrier);
  // The log lines name the exchange, its address and the number of the connection, if there is one.
  void LogConnection(core::LogLevel level, std::string_view event, const Connection& connection,
                     std::string_view detail);
  void LogCall(std::string_view event, const CallLeg& leg, std::string_view detail);

  ExchangeSettings settings_;
  core::Runtime* runtime_;
  core::Logger* log_;
  core::CallCore* core_;
  GroupReportReader report_reader_;
  std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
  std::unordered_map<std::string, ExchangeId> by_uid_;
  std::map<core::Address, ExchangeId> by_address_;  // the exchange that currently has the address
  ExchangeId next_exchange_id_ = 1;
  std::size_t connection_count_ = 0;
  std::uint64_t last_connection_number_ = 0;            // connections are numbered for the log
  std::unordered_map<std::string, CallLeg> call_legs_;  // by call id
  std::unordered_map<CallId, std::string> call_ids_;
  RecentNames attempted_;            // ids of set-ups that were sent to an exchange
  RecentNames given_up_;             // ids of set-ups that were given up
  RecentNames forgotten_exchanges_;  // uids of exchanges that were removed and forgotten
  RecentNames early_releases_;       // ids of calls that were released before they were adopted
  core::Timer liveness_timer_;
  TimeUs decision_deadline_ = 0;  // 0: not shutting down
  std::unordered_map<std::string, std::pair<ExchangeId, TimeUs>> probes_;
  ExchangeCounters counters_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_EXCHANGE_CONNECTIONS_H_
