// Admission control: decides which calls are admitted, which wait and which are rejected with a time to retry, before
// the decision module spends work on them.
//
// It does not consider routes or free circuits: that is the module's task, and the module may refuse a call that was
// admitted here. Each call is refused at most once, either here before the module sees it or by the module. No I/O, no
// clock, fixed memory.
#ifndef CROFTRUN_ADMISSION_ADMISSION_CONTROLLER_H_
#define CROFTRUN_ADMISSION_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/client_table.h"
#include "admission/concurrency_limiter.h"
#include "admission/fair_queue.h"
#include "admission/retry_reservations.h"
#include "admission/token_bucket.h"

namespace croftrun::admission {

struct CustomerSettings {
  double weight = 1.0;
  TokenBucketSettings limit;
};

struct AdmissionSettings {
  ConcurrencyLimiterSettings limiter;
  ClientSettings clients;
  RetryReservationSettings reservations;
  std::size_t max_queued = 1024;  // queued calls
  std::vector<CustomerSettings> customers;
  TokenBucketSettings total_limit;  // of all calls together
  // The part of a slot's calls that may be reserved for retries, and the part up to which an unverified client may
  // still reserve.
  double reserved_share = 0.8, unverified_share = 0.3;
  TimeUs min_retry_after_us = 500'000;  // minimum retry-after
  TimeUs max_retry_after_us = 0;        // maximum retry-after that the site allows; 0: no retry-after is given
  std::uint64_t secret = 1;             // hash seed; a client that does not know it cannot aim at a place in a table
};

struct AdmissionRequest {
  CallId call = 0;
  std::string_view client;
  std::string_view called;  // a further call of the client to the same number counts as a retry
  int customer = 0;
  double cost = 1.0;             // circuits
  TimeUs caller_timeout_us = 0;  // time until the caller gives up
};

struct AdmissionDecision {
  CallId call = 0;
  bool admitted = false;
  TimeUs retry_after_us = 0;     // retry-after of a rejected call; 0: none given
  bool has_reservation = false;  // capacity is reserved at that time; false: no slot was left to reserve
};

class AdmissionController {
 public:
  struct Counters {
    std::uint64_t requests = 0, admitted = 0, queued = 0, refused = 0, early = 0, expired = 0, evicted = 0,
                  over_limit = 0;
    std::uint64_t reserved = 0, as_instructed = 0, as_instructed_admitted = 0;
  };

  explicit AdmissionController(const AdmissionSettings& settings);

  // Handles a new call. Appends the decisions on it and on calls that were evicted, expired or admitted along with it;
  // if there is none on the call itself, it is queued.
  void OnRequest(const AdmissionRequest& request, TimeUs now, std::vector<AdmissionDecision>* decisions);
  // Handles the final answer of an admitted call, or its caller hanging up before the answer. The set-up delay counts
  // for the concurrency limit only if the call is established.
  void OnAnswered(CallId call, bool established, TimeUs now, std::vector<AdmissionDecision>* decisions);
  // Handles a caller that hangs up, whether its call is queued or in set-up.
  void OnAbandoned(CallId call, TimeUs now, std::vector<AdmissionDecision>* decisions);
  // Rejects all queued calls, without a retry-after because nothing is known about the service at that time.
  void Close(std::vector<AdmissionDecision>* decisions);
  // Rejects queued calls that can no longer be answered in time. Has to be called at the time NextExpiry() returns.
  void OnTimer(TimeUs now, std::vector<AdmissionDecision>* decisions);
  std::optional<TimeUs> NextExpiry() const;
  // Sets weights and limits, with effect from the next round-robin turn.
  void SetCustomers(const std::vector<CustomerSettings>& customers);

  std::size_t waiting() const { return queue_.size() + reserved_queue_.size(); }
  std::size_t in_set_up() const { return in_set_up_.size(); }
  std::size_t limit() const { return limiter_.limit(); }
  // Octets of the client and reservation tables, which never grow. The queues hold `max_queued` calls at most.
  std::size_t table_bytes() const { return clients_.bytes() + reservations_.bytes(); }
  const Counters& counters() const { return counters_; }

 private:
  static std::vector<double> Weights(const std::vector<CustomerSettings>& customers);
  std::uint64_t Hash(std::uint64_t scope, std::string_view text) const;
  void Admit(const QueuedCall& queued, TimeUs now, std::vector<AdmissionDecision>* decisions);
  void Refuse(const QueuedCall& queued, TimeUs now, std::vector<AdmissionDecision>* decisions);
  void AdmitQueued(TimeUs now, std::vector<AdmissionDecision>* decisions);
  double Random();

  AdmissionSettings settings_;
  ConcurrencyLimiter limiter_;
  ClientTable clients_;
  RetryReservations reservations_;
  FairQueue queue_;
  // Calls that arrived as instructed. They are served first; the reservations bound their number.
  FairQueue reserved_queue_;
  TokenBucket total_bucket_;
  std::vector<TokenBucket> customer_buckets_;
  std::unordered_map<CallId, TimeUs> in_set_up_;  // time of admission; no more entries than the maximum limit
  std::uint64_t random_state_;
  Counters counters_;
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_ADMISSION_CONTROLLER_H_
