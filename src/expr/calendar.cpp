#include "expr/calendar.h"

#include <absl/time/time.h>

#include <algorithm>
#include <limits>

namespace croftrun::expr {
namespace {

constexpr std::int64_t kDayUs = 86'400'000'000;

std::int64_t FloorDivide(std::int64_t a, std::int64_t b) { return a / b - (a % b < 0 ? 1 : 0); }

bool LoadNamedTimeZone(const std::string& name, absl::TimeZone* zone) {
  const bool valid = !name.empty() && name.size() <= 64 && name[0] != '/' && name.find("..") == std::string::npos &&
                     std::all_of(name.begin(), name.end(), [](unsigned char c) {
                       return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '/' ||
                              c == '_' || c == '-' || c == '+';
                     });
  return valid && absl::LoadTimeZone(name, zone);
}

}  // namespace

bool IsKnownTimeZone(const std::string& name) {
  absl::TimeZone zone;
  return LoadNamedTimeZone(name, &zone);
}

std::shared_ptr<const TimeZone> TimeZone::Load(const std::string& name) {
  absl::TimeZone zone;
  if (!LoadNamedTimeZone(name, &zone)) return nullptr;
  auto table = std::make_shared<TimeZone>();
  absl::Time at = absl::FromCivil(absl::CivilSecond(2000, 1, 1), absl::UTCTimeZone());
  const absl::Time end = absl::FromCivil(absl::CivilSecond(2100, 1, 1), absl::UTCTimeZone());
  const auto add = [&](std::int64_t from) {
    table->offsets_.emplace_back(from, std::int64_t{zone.At(at).offset} * 1'000'000);
  };
  add(std::numeric_limits<std::int64_t>::min());
  absl::TimeZone::CivilTransition transition;
  while (zone.NextTransition(at, &transition)) {
    // The time of the transition: the local time after a skipped hour is unique; for a repeated hour the database has
    // the transition time.
    const auto info = zone.At(transition.to);
    at = info.kind == absl::TimeZone::TimeInfo::UNIQUE ? info.pre : info.trans;
    if (at >= end) break;
    add(absl::ToUnixMicros(at));
  }
  return table;
}

std::int64_t TimeZone::OffsetUs(std::int64_t wall_us) const {
  const auto after = std::upper_bound(offsets_.begin(), offsets_.end(), wall_us,
                                      [](std::int64_t at, const auto& offset) { return at < offset.first; });
  return std::prev(after)->second;
}

std::int64_t TimeZone::LocalValue(CalendarKind kind, std::int64_t wall_us) const {
  // The clock may be wrong by any amount. Times outside the range of the table are only kept from overflowing.
  wall_us = std::clamp<std::int64_t>(wall_us, -kDayUs * 1'000'000, kDayUs * 1'000'000);
  const std::int64_t local = wall_us + OffsetUs(wall_us);
  const std::int64_t day = FloorDivide(local, kDayUs);
  if (kind == CalendarKind::kDate) return day;
  if (kind == CalendarKind::kTime) return local - day * kDayUs;
  const std::int64_t weekday = (day + 3) % 7;  // 1970-01-01 was a Thursday
  return weekday < 0 ? weekday + 7 : weekday;
}

}  // namespace croftrun::expr
