// The front of the API between connections and the core: who is there, what they ask, what they are told. It
// uses the core by the same intake as the MGCP front, so door, rules of the module and answers are the same.
// No sockets: a connection is a ConnectionOutput.
//
// States of a session            left by
//   attached    a connection      that closes, or another takes the session over
//   away        none              a hello with its name within `resume_us`; else it ends and its calls are
//   hung up
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

// One connection, as its transport has it. Outlives OnClosed.
class ConnectionOutput {
 public:
  virtual ~ConnectionOutput() = default;
  virtual void Send(std::string text) = 0;
  // What was sent and has not left yet, in octets.
  virtual std::size_t Queued() const = 0;
  // Codes as in RFC 6455 7.4: 1008 policy, 1013 try again later; 4000 and on are ours (docs/api.md).
  virtual void Close(int code, std::string reason) = 0;
};

struct SessionManagerSettings {
  std::vector<std::string> token_keys;  // none: whoever connects is a client by its address
  std::size_t most_sessions = 1'024;
  std::size_t most_queued = 256 << 10;  // octets to a connection; beyond, it reads too slowly and is closed
  TimeUs resume_us = 30'000'000;
  TimeUs hello_us = 5'000'000;  // within which a connection says who it is
  ApiLimits api;
  SessionSettings session;
};

// What the desk asks of the edge around it: fronts share the classification of calls and the way into the
// core.
class CallService {
 public:
  virtual ~CallService() = default;
  // Number plan, class, customer, rules. False: nobody has that number, or a rule refuses it (`*refused`,
  // `*pause_us`).
  virtual bool Classify(core::CallRequest* offer, const std::string& customer, bool* refused, TimeUs* pause_us) = 0;
  virtual CallId Take(const core::CallRequest& offer, core::CallOwner* owner, std::string_view client) = 0;
  virtual void HangUp(CallId call) = 0;
  virtual nlohmann::json List(const std::string& what) = 0;
};

class SessionManager final : public core::CallOwner {
 public:
  struct Counters {
    std::uint64_t connections = 0, hellos = 0, denied = 0, sessions = 0, resumed = 0, expired = 0;
    std::uint64_t commands = 0, repeated = 0, mistakes = 0, over_rate = 0, placed = 0, slow_readers = 0,
                  lost_events = 0;
  };
  using ConnectionId = std::uint64_t;

  // All outlive it.
  SessionManager(const SessionManagerSettings& settings, core::Runtime* runtime, CallService* calls);

  // `address`: where it comes from, for clients without a token.
  ConnectionId OnOpened(ConnectionOutput* sink, std::string address);
  void OnText(ConnectionId connection, std::string_view text);
  // The transport has lost it; the sink is not used any more.
  void OnClosed(ConnectionId connection);
  // Keys in force from now on; who is known stays known until its token expires.
  void SetKeys(std::vector<std::string> keys) { settings_.token_keys = std::move(keys); }

  // One of the groups changed, or the roster: told to who subscribed.
  void TellGroups();
  void TellRoster();

  void OnFinalAnswer(CallId call, const core::FinalAnswer& answer) override;
  void OnCallEnded(CallId call, core::ReleaseCause cause) override;

  std::size_t connections() const { return connections_.size(); }
  std::size_t sessions() const { return sessions_.size(); }
  const Counters& counters() const { return counters_; }

 private:
  struct Held {
    std::string name;  // of the session, known to its client only
    Identity identity;
    Session session;
    ConnectionId connection = 0;  // 0: away
    TimeUs away_since = 0;
    bool groups = false, roster = false;
  };
  struct Connection {
    ConnectionOutput* sink = nullptr;
    std::string address;
    Held* held = nullptr;  // null before its hello
    TimeUs opened = 0;
    bool closing = false;
  };

  void Send(ConnectionId id, std::string text);
  void Close(ConnectionId id, int code, std::string reason);
  void Hello(ConnectionId id, const Command& command);
  nlohmann::json Carry(Held& held, const Command& command, ApiError* error);
  nlohmann::json Place(Held& held, const Command& command, ApiError* error);
  void Tell(CallId call, std::string_view event, nlohmann::json figures);
  void TellAll(bool Held::*wanted, const char* what);
  void End(const std::string& name);
  void Sweep();
  bool Expired(const Held& held) const;
  std::string NewName();

  SessionManagerSettings settings_;
  core::Runtime* runtime_;
  CallService* calls_;
  std::map<ConnectionId, Connection> connections_;
  std::map<std::string, std::unique_ptr<Held>> sessions_;
  std::unordered_map<CallId, Held*> owners_;
  // While a call is being taken its answer can come before its id is known.
  Held* placing_ = nullptr;
  std::vector<std::pair<std::string, nlohmann::json>> early_;
  CallId early_call_ = 0;
  ConnectionId next_ = 1;
  core::Timer sweep_;
  Counters counters_;
};

}  // namespace croftrun::ws

#endif  // CROFTRUN_WS_SESSION_MANAGER_H_
