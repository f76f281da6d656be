#include "admission/admission_controller.h"

#include <xxhash.h>

#include <algorithm>

namespace croftrun::admission {
namespace {

// All unverified clients of a customer share one flow, so that made-up identities together get one client's share.
constexpr std::uint64_t kUnverifiedFlow = 0;
// Assumed set-up delay until the first one has been measured.
constexpr TimeUs kInitialSetUpDelayUs = 100'000;
// Mean set-up delays kept free before the caller's timeout.
constexpr TimeUs kSetUpDelayMargin = 2;

}  // namespace

AdmissionController::AdmissionController(const AdmissionSettings& settings)
    : settings_(settings),
      limiter_(settings.limiter),
      clients_(settings.clients),
      reservations_(settings.reservations),
      queue_(settings.max_queued, Weights(settings.customers)),
      reserved_queue_(settings.max_queued, Weights(settings.customers)),
      customer_buckets_(settings.customers.size()),
      random_state_(settings.secret | 1U) {
  total_bucket_.tokens = settings.total_limit.burst;
  for (std::size_t i = 0; i < customer_buckets_.size(); ++i)
    customer_buckets_[i].tokens = settings.customers[i].limit.burst;
}

std::vector<double> AdmissionController::Weights(const std::vector<CustomerSettings>& customers) {
  std::vector<double> weights;
  for (const CustomerSettings& customer : customers) weights.push_back(customer.weight);
  return weights;
}

void AdmissionController::SetCustomers(const std::vector<CustomerSettings>& customers) {
  settings_.customers = customers;
  customer_buckets_.resize(customers.size());
  queue_.SetWeights(Weights(customers));
  reserved_queue_.SetWeights(Weights(customers));
}

double AdmissionController::Random() {
  random_state_ ^= random_state_ << 13U;
  random_state_ ^= random_state_ >> 7U;
  random_state_ ^= random_state_ << 17U;
  return static_cast<double>(random_state_ >> 11U) * 0x1.0p-53;
}

std::uint64_t AdmissionController::Hash(std::uint64_t scope, std::string_view text) const {
  const std::uint64_t seed = (settings_.secret ^ scope) * 0x9e3779b97f4a7c15U;
  return XXH3_64bits_withSeed(text.data(), text.size(), seed) | 1U;  // never equals kUnverifiedFlow
}

void AdmissionController::Admit(const QueuedCall& queued, TimeUs now, std::vector<AdmissionDecision>* decisions) {
  ++counters_.admitted;
  in_set_up_[queued.call] = now;
  if (ClientTable::Client& client = clients_.FindOrInsert(queued.client, now); client.first_served == 0)
    client.first_served = now;
  decisions->push_back({queued.call, true, 0, false});
}

void AdmissionController::Refuse(const QueuedCall& queued, TimeUs now, std::vector<AdmissionDecision>* decisions) {
  ++counters_.refused;
  TimeUs retry_after = 0;
  bool has_reservation = false;
  if (settings_.max_retry_after_us > 0) {
    // The retry comes after the calls queued now have been served, and each slot takes a share of what the limit
    // admits in that time.
    const double rate = std::max(1.0, limiter_.calls_per_s());
    const TimeUs queue_delay = static_cast<TimeUs>(static_cast<double>(waiting()) / rate * 1e6);
    const double per_slot = rate * static_cast<double>(settings_.reservations.slot_us) / 1e6 *
                            (queued.unverified ? settings_.unverified_share : settings_.reserved_share);
    const auto at =
        reservations_.Reserve(queued.reservation_key, now + std::max(settings_.min_retry_after_us, queue_delay),
                              now + settings_.max_retry_after_us, per_slot, Random(), now);
    if (at) ++counters_.reserved;
    // Without a free slot, the caller is kept away for 50 to 100 percent of the maximum retry-after.
    has_reservation = at.has_value();
    retry_after = at ? *at - now
                     : static_cast<TimeUs>(static_cast<double>(settings_.max_retry_after_us) * (0.5 + Random() / 2.0));
  }
  decisions->push_back({queued.call, false, retry_after, has_reservation});
}

void AdmissionController::OnRequest(const AdmissionRequest& request, TimeUs now,
                                    std::vector<AdmissionDecision>* decisions) {
  ++counters_.requests;
  const std::uint64_t client_id = Hash(static_cast<std::uint64_t>(request.customer), request.client),
                      reservation_key = Hash(client_id, request.called);
  ClientTable::Client& client = clients_.FindOrInsert(client_id, now);
  TimeUs reserved_at = 0;
  const RetryReservations::ArrivalKind arrival = reservations_.ClassifyArrival(reservation_key, now, &reserved_at);
  const TimeUs set_up_delay = limiter_.mean_delay() > 0 ? limiter_.mean_delay() : kInitialSetUpDelayUs;
  QueuedCall queued{
      request.call, client_id,       reservation_key, request.customer, now, now + request.caller_timeout_us,
      request.cost, !client.verified};
  // The deadline leaves time for the set-up, including one that is slower than average.
  queued.deadline -= std::min(request.caller_timeout_us, kSetUpDelayMargin * set_up_delay);
  if (arrival == RetryReservations::ArrivalKind::kEarly) {
    // An early retry neither gains nor loses anything: it is given the same reserved time again.
    ++counters_.early;
    ++counters_.refused;
    decisions->push_back({request.call, false, reserved_at - now, true});
    return;
  }
  const bool as_instructed = arrival == RetryReservations::ArrivalKind::kAsInstructed;
  if (as_instructed) {
    ++counters_.as_instructed;
    client.verified = true;
    queued.unverified = false;
  }
  const auto customer = static_cast<std::size_t>(request.customer);
  const bool within_limits = (as_instructed || queued.unverified || clients_.TakeToken(client, now)) &&
                             (request.customer < 0 || customer >= customer_buckets_.size() ||
                              customer_buckets_[customer].TryConsume(settings_.customers[customer].limit, now)) &&
                             total_bucket_.TryConsume(settings_.total_limit, now);
  if (!within_limits) {
    ++counters_.over_limit;
    return Refuse(queued, now, decisions);
  }
  if (waiting() == 0 && in_set_up_.size() < limiter_.limit()) {
    counters_.as_instructed_admitted += as_instructed ? 1 : 0;
    return Admit(queued, now, decisions);
  }
  // A call that cannot be answered in time is rejected at once instead of being queued until its deadline.
  const double rate = std::max(1.0, limiter_.calls_per_s());
  const TimeUs queue_delay =
      static_cast<TimeUs>(static_cast<double>(as_instructed ? reserved_queue_.size() : 0) / rate * 1e6);
  if (now + queue_delay >= queued.deadline) {
    ++counters_.expired;
    return Refuse(queued, now, decisions);
  }
  ++counters_.queued;
  auto evicted =
      (as_instructed ? reserved_queue_ : queue_).Push(queued, queued.unverified ? kUnverifiedFlow : client_id);
  // The bound applies to both queues together; calls that arrived as instructed are evicted last.
  if (!evicted && waiting() > settings_.max_queued)
    evicted = queue_.size() > 0 ? queue_.EvictNewest() : reserved_queue_.EvictNewest();
  if (evicted) {
    ++counters_.evicted;
    Refuse(*evicted, now, decisions);
  }
  AdmitQueued(now, decisions);
}

void AdmissionController::AdmitQueued(TimeUs now, std::vector<AdmissionDecision>* decisions) {
  OnTimer(now, decisions);
  while (in_set_up_.size() < limiter_.limit()) {
    auto next = reserved_queue_.Pop();
    counters_.as_instructed_admitted += next ? 1 : 0;
    if (!next) next = queue_.Pop();
    if (!next) return;
    Admit(*next, now, decisions);
  }
}

void AdmissionController::OnAnswered(CallId call, bool established, TimeUs now,
                                     std::vector<AdmissionDecision>* decisions) {
  const auto found = in_set_up_.find(call);
  if (found == in_set_up_.end()) return;
  const bool limit_reached = in_set_up_.size() >= limiter_.limit();
  if (established) limiter_.OnAnswer(now - found->second, limit_reached, now);
  in_set_up_.erase(found);
  AdmitQueued(now, decisions);
}

void AdmissionController::OnAbandoned(CallId call, TimeUs now, std::vector<AdmissionDecision>* decisions) {
  if (!reserved_queue_.Remove(call) && !queue_.Remove(call)) OnAnswered(call, false, now, decisions);
}

void AdmissionController::Close(std::vector<AdmissionDecision>* decisions) {
  for (FairQueue* queue : {&reserved_queue_, &queue_}) {
    while (const auto queued = queue->EvictNewest()) {
      ++counters_.refused;
      decisions->push_back({queued->call, false, 0, false});
    }
  }
}

void AdmissionController::OnTimer(TimeUs now, std::vector<AdmissionDecision>* decisions) {
  for (FairQueue* queue : {&reserved_queue_, &queue_}) {
    while (const auto expired = queue->PopExpired(now)) {
      ++counters_.expired;
      Refuse(*expired, now, decisions);
    }
  }
}

std::optional<TimeUs> AdmissionController::NextExpiry() const {
  const auto reserved_expiry = reserved_queue_.NextExpiry(), queue_expiry = queue_.NextExpiry();
  if (!reserved_expiry || !queue_expiry) return reserved_expiry ? reserved_expiry : queue_expiry;
  return std::min(*reserved_expiry, *queue_expiry);
}

}  // namespace croftrun::admission
