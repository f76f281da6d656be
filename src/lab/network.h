// The network that the stand-ins form: exchanges with a processor each, and circuits wired end to end.
//
// A circuit has two ends. What is done at one end reaches the other after the way between the exchanges, and there
// passes the exchange's processor: one line of work, slow or cold or dead as the scenario has it. Whoever controls an
// end (a gateway under a real edge, or an emulated exchange) is a CircuitUser.
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

// What travels with a seizure.
struct SetUpInfo {
  std::string called, calling, call_class;
  int origin = -1;
  int destination = -1;  // read off the number by the laboratory's own plan
  TimeUs patience_us = 0;
  std::vector<unsigned> others;  // further circuits of a wide call
};

// What travels with a release; causes as in ITU-T Q.850.
struct ReleaseNews {
  int cause = 16;
  int at = -1;
  TimeUs wait_us = 0;
  std::vector<double> load;
};

struct CircuitId {
  int far = -1;  // number of the exchange at the other end
  unsigned circuit = 0;
  friend auto operator<=>(const CircuitId&, const CircuitId&) = default;
};

class CircuitUser {
 public:
  virtual ~CircuitUser() = default;
  virtual void OnSeizure(const CircuitId& circuit, const SetUpInfo& info) = 0;
  virtual void OnAnswer(const CircuitId& circuit) = 0;
  virtual void OnRelease(const CircuitId& circuit, const ReleaseNews& news) = 0;
  virtual void OnReleaseComplete(const CircuitId& circuit) = 0;
  // The circuit is lost to both ends, or is there again; what was on it was cut before.
  virtual void OnBlocked(const CircuitId&, bool) {}
};

struct ProcessorSettings {
  TimeUs set_up_us = 5'000;  // work of a set-up
  // Of a set-up where the call begins: it leaves when that is done; 0: signal_us, at once.
  TimeUs outgoing_set_up_us = 0;
  TimeUs offer_us = 0;                    // of looking at a call that is offered, also if it is refused
  std::vector<double> speed_by_exchange;  // of each exchange, in these figures; empty: 1
  TimeUs signal_us = 1'000;               // of an answer or a release
  TimeUs reject_us = 500;                 // of turning a set-up away
  TimeUs probe_us = 300;
  TimeUs max_queue_delay_us = 2'000'000;  // past it, set-ups are turned away
  TimeUs retransmit_interval_us = 0;      // a waiting set-up is sent again after this, then at doubling gaps: work each
  double warm_up_start_share = 0.3;       // share of its capacity at a cold start
  TimeUs warm_up_us = 10'000'000;
  double collapse_multiple = 3.0;       // set-ups of over this multiple of what it can do at that moment ...
  TimeUs collapse_time_us = 1'000'000;  // ... for this long push a cold one over
  bool reports_wait_time = false;
  std::string reports;  // "", "allowed", "cut_by" or "pending": one figure, in answers and probes
};

struct ExchangeState {
  int number = 0;
  int zone = 0;
  bool alive = true;
  bool hung = false;
  double slow = 1.0;   // by a trouble
  double speed = 1.0;  // its own
  TimeUs pause_until = 0;
  std::uint32_t incarnation = 0;
  TimeUs started_us = 0;  // of a cold start; 0: warm
  bool collapsed = false;
  TimeUs busy_until = 0;
  std::deque<std::pair<TimeUs, TimeUs>> cold_work;  // arrived while cold: when, how much
  CircuitUser* user = nullptr;
  // Figures for the report.
  std::uint64_t set_ups = 0, turned_away = 0, worked_us = 0;
};

struct NetworkSettings {
  std::vector<int> zones;                // of exchange 0, 1, ...
  TimeUs near_us = 200, far_us = 8'000;  // one way, inside a zone and between
  ProcessorSettings processor;
};

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

  // ---- at one end, by whoever controls it ----
  // False if any of the circuits is not idle at this end; then nothing was seized.
  bool Seize(int number, const CircuitId& circuit, const SetUpInfo& info);
  void Answer(int number, const CircuitId& circuit);
  void Release(int number, const CircuitId& circuit, const ReleaseNews& news);
  // "idle", "seized", "seized-in" (by the far end), "far-released" (which let go first), "releasing" or "blocked".
  std::string_view State(int number, const CircuitId& circuit) const;
  bool IsIdle(int number, const CircuitId& circuit) const { return State(number, circuit) == "idle"; }
  // An idle circuit towards `far`, from this end's side of the group; false if there is none.
  bool PickIdle(int number, int far, CircuitId* circuit) const;
  // A call is offered at this exchange.
  void Look(int number) {
    if (settings_.processor.offer_us > 0) Work(number, settings_.processor.offer_us, {});
  }
  // What is waiting at its processor now.
  TimeUs Wait(int number) const;
  // Circuits between the two that both ends hold for idle.
  unsigned IdleBetween(int a, int b) const;
  // Work at the processor of `number` on behalf of a probe from `from`; `done` gets the load figures after the way
  // there and back, or never.
  void Probe(int from, int number, std::function<void(std::vector<double>)> done);

  // ---- troubles ----
  void Kill(int number);   // its processor dies; what touches it is cut
  void Start(int number);  // back, cold
  // Groups among these exchanges keep this share of their circuits; with none listed, those between `zone` and the
  // others.
  void CutCircuits(int zone, const std::vector<int>& among, double keep);
  void RestoreCircuits();

  TimeUs Way(int a, int b) const;
  // Calls lost with the processor or circuits.
  std::uint64_t cut() const { return cut_; }

 private:
  enum class Use { kIdle, kOut, kIn, kReleasing };
  struct End {
    Use use = Use::kIdle;
    bool far_released = false;
    bool told = false;          // kIn: the user knows of it
    std::uint64_t seizure = 0;  // which seizure this use belongs to
    std::vector<unsigned> others;
    std::function<void()> after_glare;  // the far end's seizure, told once ours is let go
  };
  struct Circuit {
    End ends[2];  // [0]: of the lower-numbered exchange
    bool blocked = false;
  };
  using Pair = std::pair<int, int>;

  Circuit* Find(int number, const CircuitId& circuit);
  const Circuit* Find(int number, const CircuitId& circuit) const;
  static End& EndOf(Circuit& circuit, int number, int far) { return circuit.ends[number < far ? 0 : 1]; }
  void After(TimeUs delay, std::function<void()> what);
  double Warmth(const ExchangeState& exchange) const;
  std::vector<double> Load(const ExchangeState& exchange) const;
  // Puts work in line; `done` runs when it is through, unless the exchange hangs, dies or restarts before.
  void Work(int number, TimeUs work, std::function<void()> done);
  void ArriveSeizure(int from, int to, unsigned circuit, std::uint64_t seizure, const SetUpInfo& info);
  void ArriveRelease(int to, const CircuitId& circuit, std::uint64_t seizure, const ReleaseNews& news);
  void TurnAway(int number, const CircuitId& circuit, const ReleaseNews& news);
  void CountCold(ExchangeState& exchange, TimeUs work);
  // Tells the user of an end that the far end let go; an end it never heard of is completed for it.
  void TellRelease(int number, const CircuitId& id, const ReleaseNews& news);
  void CutEnd(int number, const CircuitId& circuit, int cause);
  void Block(const Pair& pair, unsigned circuit, bool blocked);

  core::Runtime* runtime_;
  Trace* trace_;
  NetworkSettings settings_;
  std::vector<ExchangeState> exchanges_;
  std::map<Pair, std::vector<Circuit>> groups_;
  std::uint64_t next_seizure_ = 1;
  std::uint64_t cut_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // work in flight ends with the network
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_NETWORK_H_
