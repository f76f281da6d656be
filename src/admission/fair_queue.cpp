#include "admission/fair_queue.h"

#include <algorithm>

namespace croftrun::admission {

double FairQueue::WeightOf(int customer) const {
  const auto index = static_cast<std::size_t>(customer);
  return customer >= 0 && index < weights_.size() && weights_[index] > 0.0 ? weights_[index] : 1.0;
}

std::optional<QueuedCall> FairQueue::Push(const QueuedCall& waiting, std::uint64_t key) {
  Customer& customer = customers_[waiting.customer];
  if (customer.waiting == 0) turns_.push_back(waiting.customer);
  const auto [found, fresh] = customer.by_key.try_emplace(key);
  if (fresh) found->second = customer.flows.insert(customer.flows.end(), Flow{key, 0.0, {}});
  const auto flow = found->second;
  lengths_.erase({flow->waiting.size(), waiting.customer, key});
  const auto at = flow->waiting.insert(flow->waiting.end(), waiting);
  lengths_.insert({flow->waiting.size(), waiting.customer, key});
  ++customer.waiting;
  calls_.emplace(waiting.call, Place{waiting.customer, flow, at});
  expiry_.insert({waiting.until, waiting.call});
  if (calls_.size() <= most_) return std::nullopt;
  return EvictNewest();
}

std::optional<QueuedCall> FairQueue::EvictNewest() {
  if (lengths_.empty()) return std::nullopt;
  const auto [length, whose, longest] = *lengths_.rbegin();
  const auto of = customers_.at(whose).by_key.at(longest);
  return TakeOut({whose, of, std::prev(of->waiting.end())});
}

QueuedCall FairQueue::TakeOut(const Place place) {
  const QueuedCall waiting = *place.at;
  Customer& customer = customers_.at(place.customer);
  const std::uint64_t key = place.flow->key;
  expiry_.erase({waiting.until, waiting.call});
  calls_.erase(waiting.call);
  lengths_.erase({place.flow->waiting.size(), place.customer, key});
  place.flow->waiting.erase(place.at);
  if (place.flow->waiting.empty()) {
    customer.by_key.erase(key);
    customer.flows.erase(place.flow);
  } else {
    lengths_.insert({place.flow->waiting.size(), place.customer, key});
  }
  if (--customer.waiting == 0) {
    // What was saved up goes with the queue: nobody saves turns while he needs none.
    customers_.erase(place.customer);
    turns_.erase(std::find(turns_.begin(), turns_.end(), place.customer));
  }
  return waiting;
}

std::optional<QueuedCall> FairQueue::Pop() {
  while (!turns_.empty()) {
    const int number = turns_.front();
    Customer& customer = customers_.at(number);
    if (!customer.turn) {
      customer.deficit += WeightOf(number);
      customer.turn = true;
    }
    const auto flow = customer.flows.begin();
    const double cost = flow->waiting.front().cost;
    if (customer.deficit < cost) {
      customer.turn = false;
      turns_.pop_front();
      turns_.push_back(number);
      continue;
    }
    // Its clients one after the other, each as far as its own deficit goes.
    if (flow->deficit < cost) {
      flow->deficit += 1.0;
      if (flow->deficit < cost) {
        customer.flows.splice(customer.flows.end(), customer.flows, flow);
        continue;
      }
    }
    flow->deficit -= cost;
    customer.deficit -= cost;
    const bool more = flow->waiting.size() > 1;
    const QueuedCall next = TakeOut({number, flow, flow->waiting.begin()});
    if (more) {
      Customer& still = customers_.at(number);
      still.flows.splice(still.flows.end(), still.flows, flow);
    }
    return next;
  }
  return std::nullopt;
}

std::optional<QueuedCall> FairQueue::Expired(TimeUs now) {
  if (expiry_.empty() || expiry_.begin()->first > now) return std::nullopt;
  return TakeOut(calls_.at(expiry_.begin()->second));
}

std::optional<TimeUs> FairQueue::NextExpiry() const {
  if (expiry_.empty()) return std::nullopt;
  return expiry_.begin()->first;
}

bool FairQueue::Remove(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return false;
  TakeOut(found->second);
  return true;
}

}  // namespace croftrun::admission
