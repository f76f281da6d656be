// An exchange of a soak trial: answers set-ups, holds calls for a while, tells their ends and the state of its groups,
// and fails in the ways that a script asks for. It knows each softswitch by the address at which that one reaches it.
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
#include "lab/soak/fault_proxy.h"
#include "lab/soak/traffic.h"
#include "platform/line_codec.h"

namespace croftrun::lab::soak {

struct ExchangeTraits {
  TimeUs answer_after = 4'000;  // a set-up is answered so much later, on average
  TimeUs hold_mean = 5'000'000;
  int circuits = 30;           // of the group towards each softswitch
  bool tells_gauges = true;    // the state of a group, when it changes
  bool greets = true;          // and on each new connection
  TimeUs reports_every = 0;    // and so often on the newest one; 0: not by the clock
  double never_answers = 0.0;  // shares of the set-ups
  double breaks = 0.0;         // the connection is closed under it
  double spoils = 0.0;         // the answer cannot be read
  double answers_twice = 0.0;
};

class ExchangeStandIn {
 public:
  // `instance` names the running machine in the record; `ways` are the proxies by softswitch, `listen` what is behind
  // them.
  ExchangeStandIn(core::Runtime* runtime, TrafficRecord* record, std::uint64_t seed, const ExchangeTraits& traits,
                  std::vector<FaultProxy*> ways, const std::vector<core::Address>& listen);
  ~ExchangeStandIn();

  int instance() const { return instance_; }
  void SetInstance(int instance) { instance_ = instance; }
  ExchangeTraits& traits() { return traits_; }
  // Its calls are over and nothing is told; connections are the proxies' business. Another machine may take its place.
  void Die();
  // Nothing is written for so long, and what falls due waits; what arrives is noted when it arrives.
  void Hang(TimeUs time);
  std::size_t standing() const { return calls_.size(); }

 private:
  class Connection;
  class Door;
  struct StandingCall {
    int softswitch = 0;
    Connection* connection = nullptr;  // of its set-up; null: it is gone
    std::unique_ptr<core::Timer> end;
  };
  struct Attempt {
    Connection* connection = nullptr;
    std::unique_ptr<core::Timer> answer;
  };

  void OnLine(Connection* connection, std::string_view line);
  void OnSetUp(Connection* connection, const platform::Message& message);
  void OnRelease(Connection* connection, const std::string& id);
  void OnOpened(Connection* connection);
  void OnClosed(Connection* connection);
  void Answer(const std::string& id);
  void EndCall(const std::string& id);
  // The newest connection of this softswitch; null: there is none.
  Connection* Newest(int softswitch);
  void SendGauge(Connection* connection);
  void ReportByTheClock();
  void Note(EventKind kind, int softswitch, const std::string& call, std::int64_t value = 0);
  bool Draw(double share) { return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share; }

  core::Runtime* runtime_;
  TrafficRecord* record_;
  std::mt19937_64 random_;
  ExchangeTraits traits_;
  std::vector<FaultProxy*> ways_;
  int instance_ = 0;
  std::vector<std::unique_ptr<Door>> doors_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::unordered_map<std::string, Attempt> attempts_;
  std::unordered_map<std::string, StandingCall> calls_;
  std::map<int, std::vector<std::string>> untold_;    // releases that no connection took, by softswitch
  std::map<int, std::vector<std::string>> repeated_;  // releases that the next connection brings once more
  std::map<int, int> used_;                           // circuits, by softswitch
  bool hangs_ = false;
  core::Timer hang_, report_;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_EXCHANGE_STAND_IN_H_
