#include "admission/retry_reservations.h"

#include <algorithm>
#include <bit>

namespace croftrun::admission {

RetryReservations::RetryReservations(const RetryReservationSettings& settings)
    : settings_(settings),
      entries_(std::bit_ceil(std::max<std::size_t>(kProbes, settings.most * 2))),
      spans_(settings.horizon_us / settings.span_us + 2) {}

RetryReservations::Span& RetryReservations::SpanOf(std::uint64_t number) {
  Span& span = spans_[number % spans_.size()];
  if (span.number != number) span = {number, 0};
  return span;
}

RetryReservations::ArrivalKind RetryReservations::ClassifyArrival(std::uint64_t who, TimeUs now, TimeUs* at) {
  for (std::size_t i = 0; i < kProbes; ++i) {
    Entry& entry = entries_[(Start(who) + i) & (entries_.size() - 1)];
    if (entry.who != who || Over(entry, now)) continue;
    if (entry.at > now + settings_.early_us) {
      *at = entry.at;
      return ArrivalKind::kEarly;
    }
    entry = {};
    return ArrivalKind::kAsTold;
  }
  return ArrivalKind::kUnpromised;
}

std::optional<TimeUs> RetryReservations::Reserve(std::uint64_t who, TimeUs earliest, TimeUs latest, double a_span,
                                                 double draw, TimeUs now) {
  Entry* room = nullptr;
  for (std::size_t i = 0; i < kProbes; ++i) {
    Entry& entry = entries_[(Start(who) + i) & (entries_.size() - 1)];
    if (entry.who == who && !Over(entry, now)) return entry.at;
    if (room == nullptr && Over(entry, now)) room = &entry;
  }
  if (room == nullptr) return std::nullopt;
  latest = std::min(latest, now + settings_.horizon_us);
  for (std::uint64_t number = (earliest + settings_.span_us - 1) / settings_.span_us;
       number * settings_.span_us <= latest; ++number) {
    Span& span = SpanOf(number);
    // Of less than one a span, one every so many spans.
    const bool sparse = a_span < 1.0 && number % static_cast<std::uint64_t>(1.0 / std::max(a_span, 1e-3)) != 0;
    if (sparse || span.promised >= std::max(1.0, a_span)) continue;
    ++span.promised;
    const TimeUs at = number * settings_.span_us + static_cast<TimeUs>(draw * static_cast<double>(settings_.span_us));
    *room = {who, std::min(at, latest)};
    return room->at;
  }
  return std::nullopt;
}

}  // namespace croftrun::admission
