// How many calls may be in set-up at once: found from the set-up delay itself. No I/O, no clock.
//
// The least delay seen lately is what an idle network takes; a delay well above it means that calls queue somewhere
// behind the door, where nobody can be served before another. The limit then shrinks by a tenth a span, else it grows
// by what was used of it (after TCP Vegas; Brakmo and Peterson, 1995).
#ifndef CROFTRUN_ADMISSION_CONCURRENCY_LIMITER_H_
#define CROFTRUN_ADMISSION_CONCURRENCY_LIMITER_H_

#include <algorithm>

#include "croftrun/call_controller.h"

namespace croftrun::admission {

struct ConcurrencyLimiterSettings {
  double least = 8.0, most = 4096.0, first = 64.0;
  double queued = 2.0;            // a delay of so many times the least one is a queue
  TimeUs span_us = 100'000;       // judged over this long
  TimeUs forget_us = 30'000'000;  // the least delay is of this long at most
};

class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(const ConcurrencyLimiterSettings& settings)
      : settings_(settings), limit_(settings.first) {}

  std::size_t limit() const { return static_cast<std::size_t>(limit_); }
  // Mean set-up delay; 0 before the first.
  TimeUs delay() const { return static_cast<TimeUs>(delay_); }
  // Calls a second that the limit lets through, by Little's law; 0 before the first delay.
  double rate() const { return delay_ > 0.0 ? limit_ * 1e6 / delay_ : 0.0; }

  // A set-up came to its answer. `full`: as many as the limit lets in were under way.
  void OnAnswer(TimeUs delay_us, bool full, TimeUs now) {
    const auto delay = static_cast<double>(delay_us);
    delay_ = delay_ == 0.0 ? delay : delay_ + (delay - delay_) / 32.0;
    if (least_us_ == 0 || delay_us < least_us_ || now - least_at_ > settings_.forget_us) {
      least_us_ = std::max<TimeUs>(1, delay_us);
      least_at_ = now;
    }
    if (span_began_ == 0) span_began_ = now;
    sum_ += delay;
    ++count_;
    full_ = full_ || full;
    if (now - span_began_ < settings_.span_us) return;
    const double mean = sum_ / static_cast<double>(count_);
    if (mean > settings_.queued * static_cast<double>(least_us_)) {
      limit_ = std::max(settings_.least, limit_ * 0.9);
    } else if (full_) {
      limit_ = std::min(settings_.most, limit_ + std::max(1.0, limit_ / 16.0));
    }
    span_began_ = now;
    sum_ = 0.0;
    count_ = 0;
    full_ = false;
  }

 private:
  ConcurrencyLimiterSettings settings_;
  double limit_, delay_ = 0.0, sum_ = 0.0;
  std::uint64_t count_ = 0;
  bool full_ = false;
  TimeUs least_us_ = 0, least_at_ = 0, span_began_ = 0;
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_CONCURRENCY_LIMITER_H_
