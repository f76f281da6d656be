#include "admission/fair_queue.h"

#include <algorithm>

namespace croftrun::admission {

double FairQueue::WeightOf(int customer) const {
  const auto index = static_cast<std::size_t>(customer);
  return customer >= 0 && index < weights_.size() && weights_[index] > 0.0 ? weights_[index] : 1.0;
}

std::optional<QueuedCall> FairQueue::Push(const QueuedCall& queued, std::uint64_t flow_key) {
  Customer& customer = customers_[queued.customer];
  if (customer.queued_calls == 0) round_.push_back(queued.customer);
  const auto [found, inserted] = customer.flow_by_key.try_emplace(flow_key);
  if (inserted) found->second = customer.flows.insert(customer.flows.end(), Flow{flow_key, 0.0, {}});
  const auto flow = found->second;
  flows_by_length_.erase({flow->calls.size(), queued.customer, flow_key});
  const auto call = flow->calls.insert(flow->calls.end(), queued);
  flows_by_length_.insert({flow->calls.size(), queued.customer, flow_key});
  ++customer.queued_calls;
  calls_.emplace(queued.call, Position{queued.customer, flow, call});
  deadlines_.insert({queued.deadline, queued.call});
  if (calls_.size() <= max_calls_) return std::nullopt;
  return EvictNewest();
}

std::optional<QueuedCall> FairQueue::EvictNewest() {
  if (flows_by_length_.empty()) return std::nullopt;
  const auto [length, customer, flow_key] = *flows_by_length_.rbegin();
  const auto flow = customers_.at(customer).flow_by_key.at(flow_key);
  return Extract({customer, flow, std::prev(flow->calls.end())});
}

QueuedCall FairQueue::Extract(const Position position) {
  const QueuedCall queued = *position.call;
  Customer& customer = customers_.at(position.customer);
  const std::uint64_t flow_key = position.flow->key;
  deadlines_.erase({queued.deadline, queued.call});
  calls_.erase(queued.call);
  flows_by_length_.erase({position.flow->calls.size(), position.customer, flow_key});
  position.flow->calls.erase(position.call);
  if (position.flow->calls.empty()) {
    customer.flow_by_key.erase(flow_key);
    customer.flows.erase(position.flow);
  } else {
    flows_by_length_.insert({position.flow->calls.size(), position.customer, flow_key});
  }
  if (--customer.queued_calls == 0) {
    // The deficit is discarded with the queue: an idle customer does not accumulate service.
    customers_.erase(position.customer);
    round_.erase(std::find(round_.begin(), round_.end(), position.customer));
  }
  return queued;
}

std::optional<QueuedCall> FairQueue::Pop() {
  while (!round_.empty()) {
    const int number = round_.front();
    Customer& customer = customers_.at(number);
    if (!customer.has_quantum) {
      customer.deficit += WeightOf(number);
      customer.has_quantum = true;
    }
    const auto flow = customer.flows.begin();
    const double cost = flow->calls.front().cost;
    if (customer.deficit < cost) {
      customer.has_quantum = false;
      round_.pop_front();
      round_.push_back(number);
      continue;
    }
    // The customer's flows are served in turn, each as far as its own deficit allows.
    if (flow->deficit < cost) {
      flow->deficit += 1.0;
      if (flow->deficit < cost) {
        customer.flows.splice(customer.flows.end(), customer.flows, flow);
        continue;
      }
    }
    flow->deficit -= cost;
    customer.deficit -= cost;
    const bool flow_remains = flow->calls.size() > 1;
    const QueuedCall next = Extract({number, flow, flow->calls.begin()});
    if (flow_remains) {
      Customer& remaining = customers_.at(number);
      remaining.flows.splice(remaining.flows.end(), remaining.flows, flow);
    }
    return next;
  }
  return std::nullopt;
}

std::optional<QueuedCall> FairQueue::PopExpired(TimeUs now) {
  if (deadlines_.empty() || deadlines_.begin()->first > now) return std::nullopt;
  return Extract(calls_.at(deadlines_.begin()->second));
}

std::optional<TimeUs> FairQueue::NextExpiry() const {
  if (deadlines_.empty()) return std::nullopt;
  return deadlines_.begin()->first;
}

bool FairQueue::Remove(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return false;
  Extract(found->second);
  return true;
}

}  // namespace croftrun::admission
