#include "expr/calendar.h"

#include <absl/time/time.h>

#include <algorithm>
#include <limits>

namespace croftrun::expr {
namespace {

constexpr std::int64_t kDayUs = 86'400'000'000;

std::int64_t FloorDivide(std::int64_t a, std::int64_t b) { return a / b - (a % b < 0 ? 1 : 0); }

bool Find(const std::string& name, absl::TimeZone* zone) {
  const bool legal = !name.empty() && name.size() <= 64 && name[0] != '/' && name.find("..") == std::string::npos &&
                     std::all_of(name.begin(), name.end(), [](unsigned char c) {
                       return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '/' ||
                              c == '_' || c == '-' || c == '+';
                     });
  return legal && absl::LoadTimeZone(name, zone);
}

}  // namespace

bool IsZone(const std::string& name) {
  absl::TimeZone zone;
  return Find(name, &zone);
}

std::shared_ptr<const Zone> Zone::Load(const std::string& name) {
  absl::TimeZone zone;
  if (!Find(name, &zone)) return nullptr;
  auto table = std::make_shared<Zone>();
  absl::Time at = absl::FromCivil(absl::CivilSecond(2000, 1, 1), absl::UTCTimeZone());
  const absl::Time end = absl::FromCivil(absl::CivilSecond(2100, 1, 1), absl::UTCTimeZone());
  const auto add = [&](std::int64_t from) {
    table->offsets_.emplace_back(from, std::int64_t{zone.At(at).offset} * 1'000'000);
  };
  add(std::numeric_limits<std::int64_t>::min());
  absl::TimeZone::CivilTransition change;
  while (zone.NextTransition(at, &change)) {
    // The moment of a change: of a skipped hour its end is unique, of a repeated one the table tells it.
    const auto info = zone.At(change.to);
    at = info.kind == absl::TimeZone::TimeInfo::UNIQUE ? info.pre : info.trans;
    if (at >= end) break;
    add(absl::ToUnixMicros(at));
  }
  return table;
}

std::int64_t Zone::OffsetUs(std::int64_t wall_us) const {
  const auto after = std::upper_bound(offsets_.begin(), offsets_.end(), wall_us,
                                      [](std::int64_t at, const auto& offset) { return at < offset.first; });
  return std::prev(after)->second;
}

std::int64_t Zone::Get(CalendarKind kind, std::int64_t wall_us) const {
  // Clocks may be wrong by any amount; what lies outside the table's centuries is only kept from overflowing.
  wall_us = std::clamp<std::int64_t>(wall_us, -kDayUs * 1'000'000, kDayUs * 1'000'000);
  const std::int64_t local = wall_us + OffsetUs(wall_us);
  const std::int64_t day = FloorDivide(local, kDayUs);
  if (kind == CalendarKind::kDate) return day;
  if (kind == CalendarKind::kTime) return local - day * kDayUs;
  const std::int64_t weekday = (day + 3) % 7;  // 1970-01-01 was a Thursday
  return weekday < 0 ? weekday + 7 : weekday;
}

}  // namespace croftrun::expr
