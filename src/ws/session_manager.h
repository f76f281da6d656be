// Session layer of the API, between the connections and the core: authenticates clients, executes their commands and
// sends them replies and events. It reaches the core through the same admission front as the MGCP front, so admission
// control, the rules of the module and the answers are the same. It uses no sockets: a connection is a
// ConnectionOutput.
//
// State of a session   connection   left when
//   attached           one          the connection closes, or another connection resumes the session
//   away               none         a hello resumes the session within `resume_timeout_us`; otherwise the session ends
//                                   and its calls are hung up
#ifndef CROFTRUN_WS_SESSION_MANAGER_H_
#define CROFTRUN_WS_SESSION_MANAGER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call_core.h"
#include "core/runtime.h"
#include "ws/session.h"
#include "ws/token.h"

namespace croftrun::ws {

// Output side of a connection, implemented by the transport. Has to stay valid until OnClosed.
class ConnectionOutput {
 public:
  virtual ~ConnectionOutput() = default;
  // Queues a message to the client.
  virtual void Send(std::string text) = 0;
  // Octets passed to Send that have not been written to the socket yet.
  virtual std::size_t QueuedOctets() const = 0;
  // Close codes as in RFC 6455 7.4: 1008 policy violation, 1013 try again later; codes from 4000 are defined by this
  // API (docs/api.md).
  virtual void Close(int code, std::string reason) = 0;
};

struct SessionManagerSettings {
  std::vector<std::string> token_keys;  // empty: clients need no token and are identified by address
  std::size_t max_sessions = 1'024;
  std::size_t max_queued_octets = 256 << 10;  // octets to a connection; a slow consumer beyond this is disconnected
  TimeUs resume_timeout_us = 30'000'000;      // time within which a session without a connection can be resumed
  TimeUs hello_timeout_us = 5'000'000;        // time within which a new connection has to send its hello
  ApiLimits api;
  SessionSettings session;
};

// Services of the edge that the session manager uses. All fronts share the classification of calls and the path into
// the core.
class CallService {
 public:
  virtual ~CallService() = default;
  // Looks the number up, applies the rules and fills in class and customer. Returns false if the number is unallocated
  // or if a rule refuses the call; in the latter case, `*refused` is set and `*retry_after_us` is the rule's.
  virtual bool Classify(core::CallRequest* request, const std::string& customer, bool* refused,
                        TimeUs* retry_after_us) = 0;
  // Starts a call and returns its id. `owner` may receive the final answer before this returns.
  virtual CallId AcceptCall(const core::CallRequest& request, core::CallOwner* owner, std::string_view client) = 0;
  virtual void HangUp(CallId call) = 0;
  // Returns the list of "groups" or "roster" entries.
  virtual nlohmann::json List(const std::string& what) = 0;
};

// Manages the sessions of all API clients.
class SessionManager final : public core::CallOwner {
 public:
  struct Counters {
    std::uint64_t connections = 0, hellos = 0, denied = 0, sessions = 0, resumed = 0, expired = 0;
    std::uint64_t commands = 0, repeated = 0, invalid_commands = 0, rate_limited = 0, placed = 0, slow_consumers = 0,
                  lost_events = 0;
  };
  using ConnectionId = std::uint64_t;

  // `runtime` and `calls` must outlive the session manager.
  SessionManager(const SessionManagerSettings& settings, core::Runtime* runtime, CallService* calls);

  // Registers a connection. `address` identifies the client if no token is required.
  ConnectionId OnOpened(ConnectionOutput* output, std::string address);
  // Handles a message of the client.
  void OnText(ConnectionId connection, std::string_view text);
  // Handles the loss of the connection; its output is not used afterwards.
  void OnClosed(ConnectionId connection);
  // Replaces the token keys. Clients that are authenticated stay so until their token expires.
  void SetTokenKeys(std::vector<std::string> keys) { settings_.token_keys = std::move(keys); }

  // Send the current groups or roster to the clients that subscribed to them.
  void PublishGroups();
  void PublishRoster();

  void OnFinalAnswer(CallId call, const core::FinalAnswer& answer) override;
  void OnCallEnded(CallId call, core::ReleaseCause cause) override;

  std::size_t connections() const { return connections_.size(); }
  std::size_t sessions() const { return sessions_.size(); }
  const Counters& counters() const { return counters_; }

 private:
  struct ClientSession {
    std::string id;  // secret, known only to the client
    Identity identity;
    Session state;
    ConnectionId connection = 0;  // 0: away
    TimeUs away_since = 0;
    bool groups = false, roster = false;  // subscriptions
  };
  struct Connection {
    ConnectionOutput* output = nullptr;
    std::string address;
    ClientSession* session = nullptr;  // null before the hello
    TimeUs opened_at = 0;
    bool closing = false;
  };

  void Send(ConnectionId id, std::string text);
  void Close(ConnectionId id, int code, std::string reason);
  void HandleHello(ConnectionId id, const Command& command);
  nlohmann::json Execute(ClientSession& session, const Command& command, ApiError* error);
  nlohmann::json PlaceCall(ClientSession& session, const Command& command, ApiError* error);
  void SendEvent(CallId call, std::string_view event, nlohmann::json fields);
  void PublishToSubscribers(bool ClientSession::*subscribed, const char* what);
  void EndSession(const std::string& id);
  void CloseExpired();
  bool IsTokenExpired(const ClientSession& session) const;
  std::string NewSessionId();

  SessionManagerSettings settings_;
  core::Runtime* runtime_;
  CallService* calls_;
  std::map<ConnectionId, Connection> connections_;
  std::map<std::string, std::unique_ptr<ClientSession>> sessions_;
  std::unordered_map<CallId, ClientSession*> session_of_call_;
  // A call can be answered while it is being placed, before its id is known. Its events are kept here until the reply
  // that names the call has been sent.
  ClientSession* placing_session_ = nullptr;
  std::vector<std::pair<std::string, nlohmann::json>> early_events_;
  CallId early_call_ = 0;
  ConnectionId next_connection_id_ = 1;
  core::Timer cleanup_timer_;
  Counters counters_;
};

}  // namespace croftrun::ws

#endif  // CROFTRUN_WS_SESSION_MANAGER_H_
