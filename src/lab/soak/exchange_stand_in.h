// Stand-in of an exchange in a soak trial: it answers set-ups, ends calls after their holding time, reports the state
// of its trunk groups, and fails as the schedule demands. It listens at a separate address for each softswitch, by
// which it tells them apart.
#ifndef CROFTRUN_LAB_SOAK_EXCHANGE_STAND_IN_H_
#define CROFTRUN_LAB_SOAK_EXCHANGE_STAND_IN_H_

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/runtime.h"
#include "lab/soak/event_log.h"
#include "lab/soak/fault_proxy.h"
#include "platform/line_codec.h"

namespace croftrun::lab::soak {

// Behaviour of an exchange.
struct ExchangeTraits {
  TimeUs mean_answer_delay = 4'000;  // mean time from a set-up to its answer
  TimeUs mean_holding_time = 5'000'000;
  int circuits = 30;                    // of the trunk group towards each softswitch
  bool reports_circuits = true;         // reports the state of a group when it changes
  bool reports_on_connect = true;       // reports also on each new connection
  TimeUs report_interval = 0;           // reports also at this interval on the newest connection; 0: never
  double no_answer_share = 0.0;         // share of the set-ups that are never answered
  double close_share = 0.0;             // share whose connection is closed instead of an answer
  double malformed_answer_share = 0.0;  // share whose answer is malformed
  double duplicate_answer_share = 0.0;  // share whose answer is sent twice
  double half_answer_share = 0.0;       // share whose answer stops half way, on a connection that stays open
};

// Stand-in of one exchange, which may be replaced by successive processes.
class ExchangeStandIn {
 public:
  // `proxies` are the fault proxies by softswitch, `listen` the addresses to which they connect.
  ExchangeStandIn(core::Runtime* runtime, EventLog* event_log, std::uint64_t seed, const ExchangeTraits& traits,
                  std::vector<FaultProxy*> proxies, const std::vector<core::Address>& listen);
  ~ExchangeStandIn();

  // Number of the running process in the event log.
  int instance() const { return instance_; }
  void SetInstance(int instance) { instance_ = instance; }
  ExchangeTraits& traits() { return traits_; }
  // Drops all calls and connections without notice, as a crash does. The fault proxies decide what becomes visible on
  // the connections.
  void LoseState();
  // Defers answers until AnswerAll or LoseState.
  void HoldAnswers() { holding_answers_ = true; }
  // Answers all pending set-ups that will have an answer.
  void AnswerAll();
  // Sends nothing for `time` and defers answers and ends of calls; what arrives meanwhile is still recorded.
  void Hang(TimeUs time);
  std::size_t established_calls() const { return calls_.size(); }

 private:
  class Connection;
  class Listener;
  struct EstablishedCall {
    int softswitch = 0;
    Connection* connection = nullptr;  // on which the set-up came; null once it has closed
    std::unique_ptr<core::Timer> end;
  };
  struct Attempt {
    Connection* connection = nullptr;
    std::unique_ptr<core::Timer> answer;
  };

  void OnLine(Connection* connection, std::string_view line);
  void OnSetUp(Connection* connection, const platform::Message& message);
  void OnRelease(Connection* connection, const std::string& id);
  void OnConnectionOpened(Connection* connection);
  void OnConnectionClosed(Connection* connection);
  void AnswerSetUp(const std::string& id);
  void EndCall(const std::string& id);
  // Returns the newest connection of a softswitch, or null if there is none.
  Connection* NewestConnection(int softswitch);
  void SendReport(Connection* connection);
  void ScheduleReport();
  void LogEvent(EventKind kind, int softswitch, const std::string& call, std::int64_t value = 0);
  bool DrawChance(double share) { return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share; }

  core::Runtime* runtime_;
  EventLog* event_log_;
  std::mt19937_64 random_;
  ExchangeTraits traits_;
  std::vector<FaultProxy*> proxies_;
  int instance_ = 0;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::unordered_map<std::string, Attempt> attempts_;
  std::unordered_map<std::string, EstablishedCall> calls_;
  std::map<int, std::vector<std::string>> unsent_releases_;    // by softswitch; sent on its next connection
  std::map<int, std::vector<std::string>> repeated_releases_;  // by softswitch; sent once more on its next connection
  std::map<int, int> used_circuits_;                           // by softswitch
  bool hanging_ = false, holding_answers_ = false;
  core::Timer hang_timer_, report_timer_;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_EXCHANGE_STAND_IN_H_
