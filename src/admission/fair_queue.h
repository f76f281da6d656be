// Calls that wait at the door, fairly: deficit round robin over customers by weight, within each over its clients
// (Shreedhar and Varghese, 1996). Bounded; when full, the longest queue gives up its newest. No I/O, no clock.
#ifndef CROFTRUN_ADMISSION_FAIR_QUEUE_H_
#define CROFTRUN_ADMISSION_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::admission {

struct QueuedCall {
  CallId call = 0;
  std::uint64_t who = 0, what = 0;  // the client; its call
  int customer = 0;
  TimeUs since = 0;
  TimeUs until = 0;   // its answer is of use until then
  double cost = 1.0;  // circuits
  bool unverified = false;
};

class FairQueue {
 public:
  // `weights`: of each customer, above 0; one beyond the list has 1.
  FairQueue(std::size_t most, std::vector<double> weights) : most_(most), weights_(std::move(weights)) {}

  void SetWeights(std::vector<double> weights) { weights_ = std::move(weights); }
  std::size_t size() const { return calls_.size(); }
  // Takes it in. Full: somebody gives way, perhaps itself, and is returned. Clients are told apart by `flow`.
  std::optional<QueuedCall> Push(const QueuedCall& waiting, std::uint64_t flow);
  // The newest of the longest queue, taken out.
  std::optional<QueuedCall> EvictNewest();
  // The next one.
  std::optional<QueuedCall> Pop();
  // One whose time is up by `now`; nothing more is due when there is none.
  std::optional<QueuedCall> Expired(TimeUs now);
  std::optional<TimeUs> NextExpiry() const;
  // Hung up while it waited.
  bool Remove(CallId call);

 private:
  struct Flow {
    std::uint64_t key = 0;
    double deficit = 0.0;
    std::list<QueuedCall> waiting;
  };
  struct Customer {
    double deficit = 0.0;
    bool turn = false;      // it has had its quantum of this turn
    std::list<Flow> flows;  // those with somebody waiting, in the order of their turns
    std::unordered_map<std::uint64_t, std::list<Flow>::iterator> by_key;
    std::size_t waiting = 0;
  };
  struct Place {
    int customer;
    std::list<Flow>::iterator flow;
    std::list<QueuedCall>::iterator at;
  };
  double WeightOf(int customer) const;
  QueuedCall TakeOut(Place place);  // by value: its own entry goes

  std::size_t most_;
  std::vector<double> weights_;
  std::map<int, Customer> customers_;  // those with somebody waiting
  std::deque<int> turns_;              // of them
  std::unordered_map<CallId, Place> calls_;
  std::set<std::pair<TimeUs, CallId>> expiry_;
  std::set<std::tuple<std::size_t, int, std::uint64_t>> lengths_;  // of the flows, to find the longest
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_FAIR_QUEUE_H_
