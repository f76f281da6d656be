// The callers of one softswitch in a soak trial: a few hosts that place, cancel, release and redial calls, are notified
// of the ends of their calls, and disconnect and reconnect.
#ifndef CROFTRUN_LAB_SOAK_CLIENT_STAND_IN_H_
#define CROFTRUN_LAB_SOAK_CLIENT_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/runtime.h"
#include "lab/soak/event_log.h"
#include "lab/soak/line_client.h"
#include "platform/line_codec.h"

namespace croftrun::lab::soak {

// Behaviour of the callers of one softswitch.
struct ClientTraits {
  double calls_per_s = 8.0;
  std::vector<std::string> classes;
  std::vector<TimeUs> caller_timeouts;  // by class of call: how long a caller waits for the answer
  int hosts = 2;
  int max_connections = 4;          // of each host
  double cancel_share = 0.05;       // share of the calls that are cancelled early
  double disconnect_share = 0.03;   // share of the calls whose connection the caller closes early
  double split_write_share = 0.05;  // share of the set-ups that are written in two pieces
  double redial_share = 0.3;        // share of the refused calls that are redialled
  double release_share = 0.15;      // share of the established calls that the caller releases
  TimeUs idle_close_timeout = 4'000'000;
  bool probes_from_caller_host = true;  // the readiness probe comes from a host of the callers
};

// What a flood consists of. All requests have new ids and are owed a refusal or an acknowledgement at most.
enum class FloodKind : std::uint8_t {
  kUnsoundSetUps,         // of an unknown class
  kLargeSetUps,           // likewise, of almost the largest size
  kReleases,              // of unknown calls
  kUnknownAnnouncements,  // of calls at an unknown exchange
  kHeartbeats,
};
inline constexpr std::size_t kFloodKindCount = 5;

// Stand-in of all callers of one softswitch.
class ClientStandIn {
 public:
  // `hosts_from` is the address of the first host; the others follow. Calls go to the exchange numbers 0 to
  // `destinations` - 1, except the softswitch's own.
  ClientStandIn(boost::asio::io_context* context, core::Runtime* runtime, EventLog* event_log, std::uint64_t seed,
                const ClientTraits& traits, int softswitch, const core::Address& to, std::uint32_t hosts_from,
                int destinations);
  ~ClientStandIn();

  // Probes the softswitch until a probe succeeds, then calls `ready` once.
  void WaitForReady(const std::function<void()>& ready);
  // Starts placing calls at the rate of the traits.
  void StartCalls();
  // Places no more calls; established calls may end.
  void StopCalls() { calling_ = false; }
  // Starts or stops sending set-ups in quick succession, on open connections only (after SIGTERM).
  void SetContinuousLoad(bool enabled);
  // Uses the connections of a process that has ended no longer. Answers that it wrote before its end are still read,
  // the other pending calls are forgotten; the established calls are kept for AnnounceEstablishedCalls.
  void OnProcessEnded();
  // Announces the established calls to a restarted process.
  void AnnounceEstablishedCalls();
  // Replaces the connections of each host: closes or resets its idle ones or leaves them open, then opens another one
  // and announces the established calls of the host on it.
  void Reconnect();
  // Multiplies the call rate and the number of connections by `factor`.
  void SetCrowdFactor(double factor) { crowd_factor_ = factor; }
  // Connects a client that misbehaves in one of several ways, selected by `kind`.
  void ConnectBadClient(int kind);
  // Connects a client that sends requests of one kind at full speed, on one connection as long as it stays open.
  void StartFlood(FloodKind kind, TimeUs duration);
  // Connects over a hundred clients that write almost the largest message in small pieces, and most of them no end of
  // it.
  void ConnectSlowWriters();
  // Connects two clients that leave: one behind large set-ups that it has just written, one with set-ups that are
  // pending at exchanges. Some of the ids of the latter come again.
  void LeaveWithSetUps();
  std::size_t established_calls() const { return established_.size(); }
  ClientTraits& traits() { return traits_; }

 private:
  struct Connection;
  struct PendingCall {
    Connection* connection = nullptr;
    int call_class = 0;
    TimeUs sent_at = 0;  // 0 while part of the set-up is still to be written
    std::string line;
    bool resent = false;  // after a race with the close of its connection, at most once
    std::unique_ptr<core::Timer> cancel;
  };
  struct EstablishedCall {
    std::uint32_t host = 0;
    int exchange_number = 0;
    std::string uid;  // of the exchange that holds the call, taken from the description
    std::unique_ptr<core::Timer> release;
  };
  struct BadClientConnection;
  // Adds a connection without a client.
  BadClientConnection* AddBadClient();

  void ScheduleNextCall();
  void PlaceCall(int host);
  void SendSetUp(Connection* connection);
  Connection* ConnectionFor(int host);
  Connection* Connect(int host);
  enum class ConnectionClose : std::uint8_t { kOrderly, kReset };
  void CloseIdleConnections(std::uint32_t host, ConnectionClose how);
  void Announce(Connection* connection, const std::string& id, const EstablishedCall& call);
  void OnOpen(Connection* connection);
  void OnLine(Connection* connection, std::string_view line);
  void OnAnswer(const platform::Message& message, Connection* connection);
  void OnRelease(const platform::Message& message, Connection* connection);
  // All set-ups of the connection have been handed to the kernel.
  void OnWritten(Connection* connection);
  void OnEnd(Connection* connection, ConnectionEnd end);
  // Forgets the set-ups on the connection that have no answer.
  void ForgetSetUps(Connection* connection);
  // Sends a set-up once more, on a new connection, if it was sent just before its connection closed. Returns false
  // otherwise.
  bool Resend(const std::string& id, PendingCall* call, std::uint32_t host);
  void Cancel(const std::string& id, bool close_connection);
  // Connects a client from this host that is owed an answer or the end of its connection, and records both.
  BadClientConnection* ConnectJudgedClient(std::uint32_t host,
                                           const std::function<void(BadClientConnection*)>& on_open);
  // Returns one request of a flood.
  std::string FloodRequest(FloodKind kind);
  // Gives each of these requests a new id.
  void ReplaceIds(std::string* requests);
  void WriteFlood(BadClientConnection* bad, FloodKind kind, TimeUs until);
  // Writes the next piece of the message, or the rest once the softswitch should have lost patience.
  void WritePiece(BadClientConnection* bad, std::shared_ptr<std::string> message);
  // Connects a client that writes this message in small pieces.
  void ConnectSlowWriter(const std::string& message);
  std::string SetUpLine(const std::string& id, const std::string& description);
  static void ReleaseAnsweredCall(LineClient* client, const std::string& id);
  // Connects a client that writes these set-ups and leaves after `stay`, then calls `left` with those that had no
  // answer.
  void ConnectLeaver(const std::vector<std::string>& ids, const std::string& description, TimeUs stay,
                     std::function<void(const std::vector<std::string>& unanswered)> left);
  // Connects another client that sends set-ups with these ids once more.
  void SendAgain(const std::vector<std::string>& ids);
  void ScheduleSweep();
  void ScheduleContinuousCall();
  void ProbeSoftswitch(const std::function<void(bool)>& done);
  std::string NewId();
  void LogEvent(EventKind kind, std::uint32_t host, const std::string& call, std::int64_t value = 0,
                const std::string& text = "");
  double DrawUniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_); }

  boost::asio::io_context* context_;
  core::Runtime* runtime_;
  EventLog* event_log_;
  std::mt19937_64 random_;
  ClientTraits traits_;
  int softswitch_;
  core::Address softswitch_address_;
  std::uint32_t hosts_from_;
  int destinations_;
  bool calling_ = false, continuous_load_ = false;
  double crowd_factor_ = 1.0;
  int next_bad_client_ = 1;
  std::list<std::unique_ptr<Connection>> connections_;
  std::map<std::string, PendingCall> pending_;
  std::map<std::string, EstablishedCall> established_;
  std::list<std::unique_ptr<BadClientConnection>> bad_clients_;
  std::unique_ptr<LineClient> probe_;
  core::Timer next_call_timer_, sweep_timer_, continuous_timer_, probe_timer_;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_CLIENT_STAND_IN_H_
