// Times at which refused callers were told to come back: as many in each span as can be served then, remembered in
// fixed memory. No I/O, no clock.
#ifndef CROFTRUN_ADMISSION_RETRY_RESERVATIONS_H_
#define CROFTRUN_ADMISSION_RETRY_RESERVATIONS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::admission {

struct RetryReservationSettings {
  std::size_t most = 16'384;                       // remembered at once
  TimeUs span_us = 100'000;                        // callers come back spread over spans of this long
  TimeUs horizon_us = 30'000'000;                  // no promise is for later
  TimeUs early_us = 100'000, late_us = 1'000'000;  // who comes within this of the time has come as told
};

class RetryReservations {
 public:
  explicit RetryReservations(const RetryReservationSettings& settings);

  enum class ArrivalKind : std::uint8_t { kUnpromised, kAsTold, kEarly };
  // Somebody comes; kept, the promise is taken out. `*at`: of an early one, its time.
  ArrivalKind ClassifyArrival(std::uint64_t who, TimeUs now, TimeUs* at);
  // Makes one, not before `earliest`, in the first span with less than `a_span` promised. Nothing: there is none within
  // the horizon and `latest`, or no memory for it. `draw`: a chance number under 1, that spreads callers within the
  // span.
  std::optional<TimeUs> Reserve(std::uint64_t who, TimeUs earliest, TimeUs latest, double a_span, double draw,
                                TimeUs now);
  std::size_t bytes() const { return entries_.size() * sizeof(Entry) + spans_.size() * sizeof(Span); }

 private:
  struct Entry {
    std::uint64_t who = 0;
    TimeUs at = 0;  // 0: empty
  };
  struct Span {
    std::uint64_t number = 0;
    std::uint32_t promised = 0;
  };
  static constexpr std::size_t kProbes = 8;
  bool Over(const Entry& entry, TimeUs now) const { return entry.at == 0 || entry.at + settings_.late_us < now; }
  std::size_t Start(std::uint64_t who) const { return who & (entries_.size() - 1); }
  Span& SpanOf(std::uint64_t number);

  RetryReservationSettings settings_;
  std::vector<Entry> entries_;  // open addressing; a power of two of them
  std::vector<Span> spans_;     // a ring over the horizon
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_RETRY_RESERVATIONS_H_
