// Connections from callers: they carry set-ups, answers and releases.
//
// A set-up belongs to the connection it arrived on until its final answer. An established call belongs to no
// connection: its release is sent on the connection on which its caller set it up or named it last, else on any one of
// its caller, who is identified by the host address, or on the next one the caller opens. docs/platform.md describes
// the states of a connection.
#ifndef CROFTRUN_PLATFORM_CALLER_CONNECTIONS_H_
#define CROFTRUN_PLATFORM_CALLER_CONNECTIONS_H_

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/call_core.h"
#include "core/runtime.h"
#include "platform/exchange_connections.h"
#include "platform/line_codec.h"
#include "platform/pending_announcements.h"
#include "platform/pending_releases.h"

namespace croftrun::platform {

// Settings of the connections from callers.
struct CallerSettings {
  core::Address listen;
  std::size_t max_connections = 100;             // at the limit the least useful connection is closed
  std::size_t max_set_ups_per_connection = 512;  // unanswered set-ups on one connection
  std::vector<std::string> classes;              // names by class index
};

// Counters of the connections from callers, as shown in the metrics.
struct CallerCounters {
  std::uint64_t connections = 0, connections_waited = 0, connections_evicted = 0, connections_silent = 0,
                connections_stuck = 0;
  std::uint64_t unreadable = 0, too_long = 0, faulty = 0, repeated_ids = 0;
  std::uint64_t set_ups = 0, given_up = 0, adopted = 0, answers = 0, refusals = 0, failures = 0;
  std::uint64_t ended = 0, released_by_caller = 0, ends_without_connection = 0, ends_dropped = 0, tests = 0;
  std::uint64_t ends_told_again = 0, acknowledged = 0;
  std::uint64_t announced_again = 0;      // established calls that their callers named again
  std::uint64_t announced_early = 0;      // calls announced at exchanges that were not listed yet
  std::uint64_t announced_after_end = 0;  // calls that were announced after they had ended here
  TimeUs end_waited_longest = 0;          // longest time that a release waited for a connection of its caller
};

// Accepts connections from callers and owns the calls that arrive on them.
class CallerConnections final : public core::CallOwner, public core::StreamAcceptor {
 public:
  // Takes no ownership. `exchange_connections` is used to adopt calls that are already established at an exchange.
  CallerConnections(const CallerSettings& settings, core::Runtime* runtime, core::Logger* log, core::CallCore* core,
                    ExchangeConnections* exchange_connections);
  ~CallerConnections() override;

  // Starts to listen. Throws std::system_error on failure.
  void Listen();
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t open_calls() const { return calls_.size(); }
  // Returns the number of set-ups without a final answer.
  std::size_t unanswered_set_ups() const { return unanswered_; }
  const CallerCounters& counters() const { return counters_; }
  // Returns the number of releases that wait for a connection of their caller.
  std::size_t waiting_releases() const { return releases_.waiting_count(); }
  // Accepts the connections in the listen queue; later ones are refused. Returns false, and goes on listening, if one
  // of them cannot be accepted yet.
  bool StopListening();
  // Returns when the last connection was accepted.
  TimeUs last_accepted_at() const { return last_accepted_at_; }
  // Closes the idle connections: those without a set-up, a partial line, unwritten or unread data, recent activity or
  // an established call, whose release might find no other connection, and those with a release that their host has yet
  // to acknowledge. If the own connection of a call is gone, the most recently used one of its caller is kept for its
  // release.
  // With `include_established`, connections with established calls, recent activity or an unacknowledged release are
  // closed as well, except new ones whose first message is on its way.
  void CloseIdleConnections(bool include_established);

  core::StreamHandler* OnAccept(std::unique_ptr<core::Stream> stream) override;
  void OnDescriptorsExhausted() override { EvictConnection(); }
  bool CanAccept() override;
  bool HasLeft(CallId call) const override;
  void OnFinalAnswer(CallId call, const core::FinalAnswer& answer) override;
  void OnCallEnded(CallId call, core::ReleaseCause cause) override;

 private:
  class Connection;
  using ConnectionList = std::list<std::unique_ptr<Connection>>;
  struct OpenCall {
    std::string id;
    Connection* connection = nullptr;  // the connection of its set-up or last announcement; null: it has ended
    std::uint32_t host = 0;            // address of the caller
    bool is_established = false;
  };

  // Returns false if the connection has to be closed, as do the handlers of its messages.
  bool HandleLine(Connection* connection, std::string_view line);
  // Passes the set-ups of the received data to the core, except those released in the same data.
  void StartSetUps(Connection* connection);
  bool HandleSetUp(Connection* connection, const Message& message);
  void HandleRelease(Connection* connection, const Message& message);
  void HandleAcknowledgement(Connection* connection, const std::string& id);
  // A set-up with the id of an open call. `at`: the exchange that it names if it is an announcement, else empty.
  bool HandleRepeatedId(Connection* connection, const Message& message, CallId call, const std::string& at);
  // Returns nothing if a figure of the set-up or announcement is missing or out of range.
  std::optional<core::CallRequest> ParseCallRequest(const Message& message, const Extras& extras) const;
  // Accepts a set-up; it is passed to the core by StartSetUps.
  void TakeSetUp(Connection* connection, const Message& message, const core::CallRequest& request);
  // A caller names a call that is not known here as established: it is adopted, unless it has ended here.
  void HandleAnnouncement(Connection* connection, const std::string& id, const core::CallRequest& request,
                          const std::string& at);
  // Adopts the call, which is established at this exchange. `connection` is null if it has ended. Returns false if
  // there is no room.
  bool AdoptCall(Connection* connection, std::uint32_t host, const std::string& id, const core::CallRequest& request,
                 ExchangeId exchange);
  // Adopts the announced calls whose exchange is listed by now, and rejects those that have waited long enough.
  void HandlePendingAnnouncements();
  // Returns null if the connection has ended.
  Connection* FindConnection(ConnectionNumber number);
  // The caller names an established call once more, usually because its former connection has ended.
  void HandleRepeatedAnnouncement(Connection* connection, CallId call, const std::string& at);
  // Makes this the connection of an established call, in place of its former one: its release is sent on it.
  void AttachEstablishedCall(Connection* connection, CallId call);
  // Removes the connection and abandons its unanswered set-ups.
  void EndConnection(Connection* connection, ConnectionEnd end);
  // Sends the releases that wait for the caller of this connection.
  void SendPendingReleases(Connection* connection);
  // Closes the least useful connection to make room. Returns false if there is none to close.
  bool EvictConnection();
  // Closes silent and stuck connections and sends pending releases.
  void RunPeriodicCheck();
  // Returns the connection on which a release for this host is sent, or null if there is none.
  Connection* FindCallerConnection(std::uint32_t host);
  // Returns the connections on which the releases of established calls would be sent whose own connection has ended.
  std::unordered_set<const Connection*> ConnectionsNeededForReleases();
  void Send(Connection* connection, const Message& message);
  void RejectSetUp(Connection* connection, const std::string& id, int cause);
  void ForgetCall(CallId call);
  void LogCall(std::string_view event, CallId call, std::string_view id, std::string_view detail);

  CallerSettings settings_;
  core::Runtime* runtime_;
  core::Logger* log_;
  core::CallCore* core_;
  ExchangeConnections* exchange_connections_;
  std::unordered_map<std::string, int> classes_;
  std::unique_ptr<core::StreamListener> listener_;
  ConnectionList connections_;
  std::unordered_map<CallId, OpenCall> calls_;
  std::unordered_map<std::string, CallId> by_id_;
  PendingAnnouncements announcements_;
  PendingReleases releases_;  // releases that wait for a connection of their caller, or may be unread
  ConnectionNumber last_number_ = 0;
  std::size_t unanswered_ = 0;
  TimeUs last_accepted_at_ = 0;
  core::Timer check_timer_;
  CallerCounters counters_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_CALLER_CONNECTIONS_H_
