#include "admission/admission_controller.h"

#include <xxhash.h>

#include <algorithm>

namespace croftrun::admission {
namespace {

// All strangers of a customer wait in one queue: made-up identities share what one client gets.
constexpr std::uint64_t kUnverified = 0;
// Before the first delay is known, a set-up is taken to last so long.
constexpr TimeUs kFirstDelayUs = 100'000;
constexpr TimeUs kMargin = 2;

}  // namespace

AdmissionController::AdmissionController(const AdmissionSettings& settings)
    : settings_(settings),
      limiter_(settings.limiter),
      clients_(settings.clients),
      reservations_(settings.reservations),
      queue_(settings.most_waiting, Weights(settings.customers)),
      kept_(settings.most_waiting, Weights(settings.customers)),
      of_customer_(settings.customers.size()),
      chance_(settings.secret | 1U) {
  all_.tokens = settings.all.burst;
  for (std::size_t i = 0; i < of_customer_.size(); ++i) of_customer_[i].tokens = settings.customers[i].limit.burst;
}

std::vector<double> AdmissionController::Weights(const std::vector<CustomerSettings>& customers) {
  std::vector<double> weights;
  for (const CustomerSettings& customer : customers) weights.push_back(customer.weight);
  return weights;
}

void AdmissionController::SetCustomers(const std::vector<CustomerSettings>& customers) {
  settings_.customers = customers;
  of_customer_.resize(customers.size());
  queue_.SetWeights(Weights(customers));
  kept_.SetWeights(Weights(customers));
}

double AdmissionController::Draw() {
  chance_ ^= chance_ << 13U;
  chance_ ^= chance_ >> 7U;
  chance_ ^= chance_ << 17U;
  return static_cast<double>(chance_ >> 11U) * 0x1.0p-53;
}

std::uint64_t AdmissionController::Hash(std::uint64_t under, std::string_view text) const {
  const std::uint64_t seed = (settings_.secret ^ under) * 0x9e3779b97f4a7c15U;
  return XXH3_64bits_withSeed(text.data(), text.size(), seed) | 1U;  // never that of the strangers
}

void AdmissionController::Admit(const QueuedCall& waiting, TimeUs now, std::vector<AdmissionDecision>* decisions) {
  ++counters_.admitted;
  under_way_[waiting.call] = now;
  if (ClientTable::Client& client = clients_.FindOrInsert(waiting.who, now); client.served == 0) client.served = now;
  decisions->push_back({waiting.call, true, 0, false});
}

void AdmissionController::Refuse(const QueuedCall& one, TimeUs now, std::vector<AdmissionDecision>* decisions) {
  ++counters_.refused;
  TimeUs pause = 0;
  bool promised = false;
  if (settings_.longest_pause_us > 0) {
    // Not before what waits now is served; as many in a span as the limit then lets through.
    const double rate = std::max(1.0, limiter_.rate());
    const TimeUs behind = static_cast<TimeUs>(static_cast<double>(waiting()) / rate * 1e6);
    const double a_span = rate * static_cast<double>(settings_.reservations.span_us) / 1e6 *
                          (one.unverified ? settings_.unverified_share : settings_.promised_share);
    const auto at = reservations_.Reserve(one.what, now + std::max(settings_.least_pause_us, behind),
                                          now + settings_.longest_pause_us, a_span, Draw(), now);
    if (at) ++counters_.promised;
    // With nothing left to promise, it is to stay away for about as long as may be said.
    promised = at.has_value();
    pause =
        at ? *at - now : static_cast<TimeUs>(static_cast<double>(settings_.longest_pause_us) * (0.5 + Draw() / 2.0));
  }
  decisions->push_back({one.call, false, pause, promised});
}

void AdmissionController::OnRequest(const AdmissionRequest& request, TimeUs now,
                                    std::vector<AdmissionDecision>* decisions) {
  ++counters_.requests;
  const std::uint64_t who = Hash(static_cast<std::uint64_t>(request.customer), request.client),
                      what = Hash(who, request.called);
  ClientTable::Client& client = clients_.FindOrInsert(who, now);
  TimeUs at = 0;
  const RetryReservations::ArrivalKind comes = reservations_.ClassifyArrival(what, now, &at);
  const TimeUs set_up = limiter_.delay() > 0 ? limiter_.delay() : kFirstDelayUs;
  QueuedCall one{request.call,    who, what, request.customer, now, now + request.caller_timeout_us, request.cost,
                 !client.verified};
  // Of use while there is time for a set-up after it, and for one that is slower than most.
  one.until -= std::min(request.caller_timeout_us, kMargin * set_up);
  if (comes == RetryReservations::ArrivalKind::kEarly) {
    // It gains nothing and loses nothing: the same time again.
    ++counters_.early;
    ++counters_.refused;
    decisions->push_back({request.call, false, at - now, true});
    return;
  }
  const bool as_told = comes == RetryReservations::ArrivalKind::kAsTold;
  if (as_told) {
    ++counters_.as_told;
    client.verified = true;
    one.unverified = false;
  }
  const auto customer = static_cast<std::size_t>(request.customer);
  const bool within = (as_told || one.unverified || clients_.TakeToken(client, now)) &&
                      (request.customer < 0 || customer >= of_customer_.size() ||
                       of_customer_[customer].TryConsume(settings_.customers[customer].limit, now)) &&
                      all_.TryConsume(settings_.all, now);
  if (!within) {
    ++counters_.over_limit;
    return Refuse(one, now, decisions);
  }
  if (waiting() == 0 && under_way_.size() < limiter_.limit()) {
    counters_.as_told_admitted += as_told ? 1 : 0;
    return Admit(one, now, decisions);
  }
  // What can no longer be answered in time does not wait for that.
  const double rate = std::max(1.0, limiter_.rate());
  const TimeUs ahead = static_cast<TimeUs>(static_cast<double>(as_told ? kept_.size() : 0) / rate * 1e6);
  if (now + ahead >= one.until) {
    ++counters_.overdue;
    return Refuse(one, now, decisions);
  }
  ++counters_.waited;
  auto gone = (as_told ? kept_ : queue_).Push(one, one.unverified ? kUnverified : who);
  // The bound is of both queues; who came as told gives way last.
  if (!gone && waiting() > settings_.most_waiting)
    gone = queue_.size() > 0 ? queue_.EvictNewest() : kept_.EvictNewest();
  if (gone) {
    ++counters_.gave_way;
    Refuse(*gone, now, decisions);
  }
  Serve(now, decisions);
}

void AdmissionController::Serve(TimeUs now, std::vector<AdmissionDecision>* decisions) {
  OnTimer(now, decisions);
  while (under_way_.size() < limiter_.limit()) {
    auto next = kept_.Pop();
    counters_.as_told_admitted += next ? 1 : 0;
    if (!next) next = queue_.Pop();
    if (!next) return;
    Admit(*next, now, decisions);
  }
}

void AdmissionController::OnAnswered(CallId call, bool stands, TimeUs now, std::vector<AdmissionDecision>* decisions) {
  const auto found = under_way_.find(call);
  if (found == under_way_.end()) return;
  const bool full = under_way_.size() >= limiter_.limit();
  if (stands) limiter_.OnAnswer(now - found->second, full, now);
  under_way_.erase(found);
  Serve(now, decisions);
}

void AdmissionController::OnAbandoned(CallId call, TimeUs now, std::vector<AdmissionDecision>* decisions) {
  if (!kept_.Remove(call) && !queue_.Remove(call)) OnAnswered(call, false, now, decisions);
}

void AdmissionController::Close(std::vector<AdmissionDecision>* decisions) {
  for (FairQueue* queue : {&kept_, &queue_}) {
    while (const auto one = queue->EvictNewest()) {
      ++counters_.refused;
      decisions->push_back({one->call, false, 0, false});
    }
  }
}

void AdmissionController::OnTimer(TimeUs now, std::vector<AdmissionDecision>* decisions) {
  for (FairQueue* queue : {&kept_, &queue_}) {
    while (const auto late = queue->Expired(now)) {
      ++counters_.overdue;
      Refuse(*late, now, decisions);
    }
  }
}

std::optional<TimeUs> AdmissionController::NextAt() const {
  const auto kept = kept_.NextExpiry(), other = queue_.NextExpiry();
  if (!kept || !other) return kept ? kept : other;
  return std::min(*kept, *other);
}

}  // namespace croftrun::admission
