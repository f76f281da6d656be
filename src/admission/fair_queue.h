// Fair queue of calls that wait for admission: deficit round robin over the customers by weight and, within each
// customer, over its flows (Shreedhar and Varghese, 1996). Bounded: a full queue evicts the newest call of its longest
// flow. No I/O, no clock.
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
  std::uint64_t client = 0, reservation_key = 0;  // hash of the client; hash of the client and the called number
  int customer = 0;
  TimeUs queued_at = 0;
  TimeUs deadline = 0;  // the call has to be admitted before this time to be answered in time
  double cost = 1.0;    // circuits
  bool unverified = false;
};

class FairQueue {
 public:
  // `weights`: one for each customer, above 0; a customer beyond the list has weight 1.
  FairQueue(std::size_t max_calls, std::vector<double> weights) : max_calls_(max_calls), weights_(std::move(weights)) {}

  void SetWeights(std::vector<double> weights) { weights_ = std::move(weights); }
  std::size_t size() const { return calls_.size(); }
  // Queues the call in the flow `flow_key` of its customer. If the queue is over its bound, one call is evicted and
  // returned; this may be the new call itself.
  std::optional<QueuedCall> Push(const QueuedCall& queued, std::uint64_t flow_key);
  // Removes and returns the newest call of the longest flow.
  std::optional<QueuedCall> EvictNewest();
  // Removes and returns the next call in fair order.
  std::optional<QueuedCall> Pop();
  // Removes and returns a call whose deadline is not after `now`; nothing once no such call is left.
  std::optional<QueuedCall> PopExpired(TimeUs now);
  std::optional<TimeUs> NextExpiry() const;
  // Removes a call whose caller has hung up. Returns false if the call is not queued.
  bool Remove(CallId call);

 private:
  struct Flow {
    std::uint64_t key = 0;
    double deficit = 0.0;
    std::list<QueuedCall> calls;
  };
  struct Customer {
    double deficit = 0.0;
    bool has_quantum = false;  // the quantum of the current turn has been added to the deficit
    std::list<Flow> flows;     // flows with queued calls, in round-robin order
    std::unordered_map<std::uint64_t, std::list<Flow>::iterator> flow_by_key;
    std::size_t queued_calls = 0;
  };
  struct Position {
    int customer;
    std::list<Flow>::iterator flow;
    std::list<QueuedCall>::iterator call;
  };
  double WeightOf(int customer) const;
  // Takes the position by value, because the call's own entry in `calls_` is erased.
  QueuedCall Extract(Position position);

  std::size_t max_calls_;
  std::vector<double> weights_;
  std::map<int, Customer> customers_;  // customers with queued calls
  std::deque<int> round_;              // the same customers in round-robin order
  std::unordered_map<CallId, Position> calls_;
  std::set<std::pair<TimeUs, CallId>> deadlines_;
  std::set<std::tuple<std::size_t, int, std::uint64_t>> flows_by_length_;  // to find the longest flow
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_FAIR_QUEUE_H_
