// Network model of the emulator: exchanges with one processor each, and the trunk circuits between them.
//
// A circuit has two ends. A signal sent at one end arrives at the other after the propagation delay between the
// exchanges and is then processed by the processor there, a single server with a first-in, first-out queue that is
// slow, warming up or down as the scenario defines it. Each end is controlled by a CircuitUser: a simulated gateway
// whose call agent is a real edge, or an emulated exchange.
#ifndef CROFTRUN_LAB_NETWORK_H_
#define CROFTRUN_LAB_NETWORK_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/runtime.h"
#include "lab/trace.h"

namespace croftrun::lab {

// The parameters of a seizure.
struct SetUpInfo {
  std::string called, calling, call_class;
  int origin = -1;
  int destination = -1;  // derived from the called number
  TimeUs caller_timeout_us = 0;
  std::vector<unsigned> additional_circuits;  // further circuits, if the call needs more than one
};

// The parameters of a release.
struct ReleaseDetails {
  int cause = 16;            // ITU-T Q.850
  int exchange = -1;         // the exchange that released the call
  TimeUs wait_us = 0;        // its queueing delay; 0: not reported
  std::vector<double> load;  // its load figures
};

// A circuit as seen from one of its ends.
struct CircuitId {
  int far = -1;  // number of the exchange at the other end
  unsigned circuit = 0;
  friend auto operator<=>(const CircuitId&, const CircuitId&) = default;
};

// Receives the signals that arrive at an exchange's circuit ends.
class CircuitUser {
 public:
  virtual ~CircuitUser() = default;
  virtual void OnSeizure(const CircuitId& circuit, const SetUpInfo& info) = 0;
  virtual void OnAnswer(const CircuitId& circuit) = 0;
  virtual void OnRelease(const CircuitId& circuit, const ReleaseDetails& details) = 0;
  virtual void OnReleaseComplete(const CircuitId& circuit) = 0;
  // The circuit was blocked at both ends or is available again. A call on it was disconnected before.
  virtual void OnBlocked(const CircuitId&, bool) {}
};

// Processing times and overload behaviour of the exchanges' processors.
struct ProcessorSettings {
  TimeUs set_up_us = 5'000;  // processing time of an incoming set-up
  // Of a set-up at the originating exchange, which is sent when the processing is done. 0: it takes signal_us and is
  // sent immediately.
  TimeUs outgoing_set_up_us = 0;
  TimeUs offer_us = 0;                    // of an offered call, including calls that are then refused
  std::vector<double> speed_by_exchange;  // speed factor of each exchange; empty: 1
  TimeUs signal_us = 1'000;               // of an answer or a release
  TimeUs reject_us = 500;                 // of a rejected set-up
  TimeUs probe_us = 300;
  TimeUs max_queue_delay_us = 2'000'000;  // set-ups are rejected while the queueing delay is longer
  // Interval until a queued set-up is retransmitted, doubled each time; every copy costs reject_us. 0: never.
  TimeUs retransmit_interval_us = 0;
  double warm_up_start_share = 0.3;  // share of the capacity available at a cold start
  TimeUs warm_up_us = 10'000'000;
  // An exchange that is warming up fails if the set-ups that arrive within collapse_time_us exceed this multiple of the
  // work that it can do in that time.
  double collapse_multiple = 3.0;
  TimeUs collapse_time_us = 1'000'000;
  bool reports_wait_time = false;  // rejections carry the queueing delay
  std::string reports;  // load figure in rejections and probe responses: "", "allowed", "cut_by" or "pending"
};

// State of an exchange and its processor.
struct ExchangeState {
  int number = 0;
  int zone = 0;
  bool alive = true;
  bool hung = false;
  double slow = 1.0;   // slowdown factor by fault injection
  double speed = 1.0;  // its own speed factor
  TimeUs pause_until = 0;
  std::uint32_t incarnation = 0;
  TimeUs started_us = 0;  // time of the last cold start; 0: none, at full capacity
  bool collapsed = false;
  TimeUs busy_until = 0;
  std::deque<std::pair<TimeUs, TimeUs>> warm_up_work;  // work that arrived during the warm-up: time and amount
  CircuitUser* user = nullptr;
  // Counters; worked_us is the total processing time.
  std::uint64_t set_ups = 0, rejected = 0, worked_us = 0;
};

struct NetworkSettings {
  std::vector<int> zones;                // by exchange
  TimeUs near_us = 200, far_us = 8'000;  // propagation delay inside a zone and between zones
  ProcessorSettings processor;
};

// Simulates the exchanges and circuits on the timers of a Runtime.
class Network {
 public:
  Network(core::Runtime* runtime, Trace* trace, const NetworkSettings& settings);
  ~Network();

  std::size_t size() const { return exchanges_.size(); }
  ExchangeState& At(int number) { return exchanges_[static_cast<std::size_t>(number)]; }
  const ExchangeState& At(int number) const { return exchanges_[static_cast<std::size_t>(number)]; }
  void SetUser(int number, CircuitUser* user) { At(number).user = user; }
  void AddGroup(int a, int b, unsigned circuits);
  unsigned Circuits(int a, int b) const;

  // ---- Signals sent by the user of a circuit end ----
  // Seizes the circuit and the additional circuits of the call. Returns false, without any effect, if one of them is
  // not idle at this end.
  bool Seize(int number, const CircuitId& circuit, const SetUpInfo& info);
  void Answer(int number, const CircuitId& circuit);
  void Release(int number, const CircuitId& circuit, const ReleaseDetails& details);
  // "idle", "seized" (by this end), "seized-in" (by the far end), "far-released" (the far end released first),
  // "releasing" or "blocked".
  std::string_view State(int number, const CircuitId& circuit) const;
  bool IsIdle(int number, const CircuitId& circuit) const { return State(number, circuit) == "idle"; }
  // Finds an idle circuit towards `far`. The two ends hunt from opposite sides of the group, which makes glare rare.
  // Returns false if there is none.
  bool PickIdle(int number, int far, CircuitId* circuit) const;
  // Charges the processor for a call that is offered at this exchange.
  void ProcessOfferedCall(int number) {
    if (settings_.processor.offer_us > 0) ProcessWork(number, settings_.processor.offer_us, {});
  }
  // The current queueing delay of the exchange's processor.
  TimeUs QueueDelay(int number) const;
  // The number of circuits between two exchanges that are idle at both ends.
  unsigned IdleBetween(int a, int b) const;
  // Probes exchange `number` from `from`. `done` receives the load figures after the round trip, or is never called if
  // the exchange does not respond.
  void Probe(int from, int number, std::function<void(std::vector<double>)> done);

  // ---- Fault injection ----
  void Kill(int number);   // the processor fails and all calls on its circuits are disconnected
  void Start(int number);  // restarts it, warming up
  // Leaves the share `keep` of the circuits of each group among the listed exchanges; if none are listed, of each group
  // between `zone` and the other zones.
  void FailCircuits(int zone, const std::vector<int>& among, double keep);
  void RestoreCircuits();

  TimeUs PropagationDelay(int a, int b) const;
  // Circuit ends whose call was disconnected by a processor or circuit failure.
  std::uint64_t disconnected_ends() const { return disconnected_ends_; }

 private:
  enum class EndState { kIdle, kSeizedOut, kSeizedIn, kReleasing };
  struct End {
    EndState state = EndState::kIdle;
    bool far_released = false;
    bool user_notified = false;  // kSeizedIn: the user has been notified of the seizure
    std::uint64_t seizure = 0;   // identifies the seizure that the state belongs to
    std::vector<unsigned> additional_circuits;
    std::function<void()> deferred_seizure;  // the far end's seizure, delivered once this end has released its own
  };
  struct Circuit {
    End ends[2];  // [0]: of the lower-numbered exchange
    bool blocked = false;
  };
  using Pair = std::pair<int, int>;

  Circuit* Find(int number, const CircuitId& circuit);
  const Circuit* Find(int number, const CircuitId& circuit) const;
  static End& EndOf(Circuit& circuit, int number, int far) { return circuit.ends[number < far ? 0 : 1]; }
  void Schedule(TimeUs delay, std::function<void()> callback);
  double CapacityShare(const ExchangeState& exchange) const;
  std::vector<double> LoadFigures(const ExchangeState& exchange) const;
  // Queues work at a processor. `done` runs when it is complete, unless the exchange hangs, fails or restarts before.
  void ProcessWork(int number, TimeUs work, std::function<void()> done);
  void OnSeizureArrival(int from, int to, unsigned circuit, std::uint64_t seizure, const SetUpInfo& info);
  void OnReleaseArrival(int to, const CircuitId& circuit, std::uint64_t seizure, const ReleaseDetails& details);
  void RejectSetUp(int number, const CircuitId& circuit, const ReleaseDetails& details);
  void TrackWarmUpLoad(ExchangeState& exchange, TimeUs work);
  // Notifies the user of an end that the far end has released. If the user was not notified of the seizure, completes
  // the release in its place.
  void NotifyRelease(int number, const CircuitId& id, const ReleaseDetails& details);
  void DisconnectEnd(int number, const CircuitId& circuit, int cause);
  void SetBlocked(const Pair& pair, unsigned circuit, bool blocked);

  core::Runtime* runtime_;
  Trace* trace_;
  NetworkSettings settings_;
  std::vector<ExchangeState> exchanges_;
  std::map<Pair, std::vector<Circuit>> groups_;
  std::uint64_t next_seizure_ = 1;
  std::uint64_t disconnected_ends_ = 0;
  // False once the network is destroyed: timers that are still pending then do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_NETWORK_H_
