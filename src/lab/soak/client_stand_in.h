// The callers of one softswitch in a soak trial: a few hosts that place calls, hear their ends, give up, leave or come
// back.
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
#include "lab/soak/line_client.h"
#include "lab/soak/traffic.h"
#include "platform/line_codec.h"

namespace croftrun::lab::soak {

struct ClientTraits {
  double calls_per_s = 8.0;
  std::vector<std::string> classes;
  std::vector<TimeUs> waits;  // by class: how long a caller waits for the answer
  int hosts = 2;
  int most_connections = 4;  // of one host
  double cancels = 0.05;     // shares of the calls: taken back early
  double leaves = 0.03;      // the connection is closed under them
  double in_pieces = 0.05;   // written in two pieces
  double redials = 0.3;      // refused ones come again
  double releases = 0.15;    // standing ones are released by the caller
  TimeUs closes_idle_after = 4'000'000;
  bool tests_from_same_host = true;  // the front tests from a host of the callers
};

class ClientStandIn {
 public:
  // `hosts_from`: the first host's address, the others follow. Calls go to exchanges 0 to `destinations` less one, but
  // `own`.
  ClientStandIn(boost::asio::io_context* context, core::Runtime* runtime, TrafficRecord* record, std::uint64_t seed,
                const ClientTraits& traits, int softswitch, const core::Address& to, std::uint32_t hosts_from,
                int destinations);
  ~ClientStandIn();

  // Tests the softswitch until a test is passed, then calls `ready` once.
  void WaitForReady(const std::function<void()>& ready);
  void StartCalls();
  // No new calls; what stands may end.
  void StopCalls() { calling_ = false; }
  // Set-ups go out on open connections only, without a pause, until `stop` (after SIGTERM).
  void KeepBusy(bool busy);
  // The process is gone: its standing calls are announced to the next one once that is ready.
  void OnProcessGone();
  void AnnounceStanding();
  // So many times the usual rate, from so many more connections.
  void SetCrowd(double factor) { crowd_ = factor; }
  void BadClient(int kind);
  std::size_t standing() const { return standing_.size(); }
  ClientTraits& traits() { return traits_; }

 private:
  struct Connection;
  struct Host;
  struct OpenCall {
    Connection* connection = nullptr;
    int call_class = 0;
    TimeUs sent_at = 0;  // 0: not whole yet
    std::string line;
    bool resent = false;  // once, as it crossed the end of its connection
    std::unique_ptr<core::Timer> cancel;
  };
  struct StandingCall {
    std::uint32_t host = 0;
    int exchange_number = 0;
    std::string uid;  // where it stands, as the description names it
    std::unique_ptr<core::Timer> release;
  };
  struct BadConnection;

  void NextCall();
  void PlaceCall(int host);
  void SendSetUp(Connection* connection);
  Connection* ConnectionFor(int host);
  Connection* Connect(int host);
  void OnLine(Connection* connection, std::string_view line);
  void OnAnswer(const platform::Message& message, Connection* connection);
  void OnRelease(const platform::Message& message, Connection* connection);
  void OnEnd(Connection* connection, ConnectionEnd end);
  // A set-up that crossed the end of its connection goes once more on a new one; false where it did not cross it.
  bool Resend(const std::string& id, OpenCall* call, std::uint32_t host);
  void Cancel(const std::string& id, bool close_connection);
  void Sweep();
  void Busy();
  void Test(const std::function<void(bool)>& done);
  std::string NewId();
  void Note(EventKind kind, std::uint32_t host, const std::string& call, std::int64_t value = 0,
            const std::string& text = "");
  double Unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_); }

  boost::asio::io_context* context_;
  core::Runtime* runtime_;
  TrafficRecord* record_;
  std::mt19937_64 random_;
  ClientTraits traits_;
  int softswitch_;
  core::Address to_;
  std::uint32_t hosts_from_;
  int destinations_;
  bool calling_ = false, busy_ = false;
  double crowd_ = 1.0;
  int next_bad_ = 1;
  std::list<std::unique_ptr<Connection>> connections_;
  std::map<std::string, OpenCall> open_;
  std::map<std::string, StandingCall> standing_;
  std::list<std::unique_ptr<BadConnection>> bad_;
  std::unique_ptr<LineClient> test_;
  core::Timer next_call_, sweep_, busy_timer_, test_timer_;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_CLIENT_STAND_IN_H_
