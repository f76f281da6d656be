// The door: who is looked at, who waits and who is told to come back when, before the module spends work on a call.
//
// It decides nothing about routes or about the network's room: that is the module's, which may refuse whom the door let
// in. One call is refused once: by the door before the module knows of it, or by the module. No I/O, no clock, fixed
// memory.
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
  std::size_t most_waiting = 1024;
  std::vector<CustomerSettings> customers;
  TokenBucketSettings all;
  // Of the calls let through, for those who come back as told: a part of it for clients that have not shown themselves.
  double promised_share = 0.8, unverified_share = 0.3;
  TimeUs least_pause_us = 500'000;
  TimeUs longest_pause_us = 0;  // what the site allows; 0: no pause may be stated
  std::uint64_t secret = 1;     // nobody who does not know it can aim at a place in a table
};

struct AdmissionRequest {
  CallId call = 0;
  std::string_view client;
  std::string_view called;  // a call to the same number again is the same call, come back
  int customer = 0;
  double cost = 1.0;             // circuits
  TimeUs caller_timeout_us = 0;  // until the caller gives up
};

struct AdmissionDecision {
  CallId call = 0;
  bool admitted = false;
  TimeUs pause_us = 0;    // of one refused; 0: no indication
  bool promised = false;  // come back after it, there will be room; else there was nothing left to promise
};

class AdmissionController {
 public:
  struct Counters {
    std::uint64_t requests = 0, admitted = 0, waited = 0, refused = 0, early = 0, overdue = 0, gave_way = 0,
                  over_limit = 0;
    std::uint64_t promised = 0, as_told = 0, as_told_admitted = 0;
  };

  explicit AdmissionController(const AdmissionSettings& settings);

  // A call comes. Verdicts for it, or for one that gave way to it, are appended; without one for it, it waits.
  void OnRequest(const AdmissionRequest& request, TimeUs now, std::vector<AdmissionDecision>* decisions);
  // An admitted call has its final answer, or its caller hung up before. `delay_us` counts if it stands.
  void OnAnswered(CallId call, bool stands, TimeUs now, std::vector<AdmissionDecision>* decisions);
  // A caller hung up while the call waited.
  void OnAbandoned(CallId call, TimeUs now, std::vector<AdmissionDecision>* decisions);
  // Whoever waits is refused, without a time to come back: nobody knows who will be here then.
  void Close(std::vector<AdmissionDecision>* decisions);
  // Whoever can no longer be answered in time is answered now. To be called by NextAt.
  void OnTimer(TimeUs now, std::vector<AdmissionDecision>* decisions);
  std::optional<TimeUs> NextAt() const;
  // From the next turn on.
  void SetCustomers(const std::vector<CustomerSettings>& customers);

  std::size_t waiting() const { return queue_.size() + kept_.size(); }
  std::size_t under_way() const { return under_way_.size(); }
  std::size_t limit() const { return limiter_.limit(); }
  // Of the tables, which never grow. The queues hold `most_waiting` calls at most.
  std::size_t table_bytes() const { return clients_.bytes() + reservations_.bytes(); }
  const Counters& counters() const { return counters_; }

 private:
  static std::vector<double> Weights(const std::vector<CustomerSettings>& customers);
  std::uint64_t Hash(std::uint64_t under, std::string_view text) const;
  void Admit(const QueuedCall& waiting, TimeUs now, std::vector<AdmissionDecision>* decisions);
  void Refuse(const QueuedCall& waiting, TimeUs now, std::vector<AdmissionDecision>* decisions);
  void Serve(TimeUs now, std::vector<AdmissionDecision>* decisions);
  double Draw();

  AdmissionSettings settings_;
  ConcurrencyLimiter limiter_;
  ClientTable clients_;
  RetryReservations reservations_;
  FairQueue queue_;
  FairQueue kept_;  // who came as told: before all others, bounded by what was promised
  TokenBucket all_;
  std::vector<TokenBucket> of_customer_;
  std::unordered_map<CallId, TimeUs> under_way_;  // since when; as many as the limiter's most
  std::uint64_t chance_;
  Counters counters_;
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_ADMISSION_CONTROLLER_H_
