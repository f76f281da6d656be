// Converts Unix time to the local time of a named time zone, by a table that is built once, so that the call path takes
// no lock, allocates no memory and reads no file.
#ifndef CROFTRUN_EXPR_CALENDAR_H_
#define CROFTRUN_EXPR_CALENDAR_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace croftrun::expr {

// The parts of local time that rules can use.
enum class CalendarKind : std::uint8_t { kWeekday, kTime, kDate };

// The UTC offsets of a time zone.
class TimeZone {
 public:
  // Loads the offsets from the IANA database of the machine, from 2000 to 2100; outside these years the nearest offset
  // applies. Returns null if the database does not have the name.
  static std::shared_ptr<const TimeZone> Load(const std::string& name);
  // Returns the microseconds to add to Unix time. Local time jumps at a change of daylight saving time: a repeated hour
  // occurs twice, a skipped one never.
  std::int64_t OffsetUs(std::int64_t wall_us) const;
  // Returns the weekday (0 is Monday), the time of day in microseconds, or the date in days since 1970-01-01.
  std::int64_t LocalValue(CalendarKind kind, std::int64_t wall_us) const;

 private:
  // Start (Unix time) and offset, both in microseconds, sorted.
  std::vector<std::pair<std::int64_t, std::int64_t>> offsets_;
};

// Whether the IANA database has a time zone of this name. Paths are rejected.
bool IsKnownTimeZone(const std::string& name);

// An input that holds the weekday, time or date in a time zone.
struct CalendarInput {
  CalendarKind kind = CalendarKind::kTime;
  std::string zone_name;
  std::size_t input_index = 0;
  std::shared_ptr<const TimeZone> time_zone;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_CALENDAR_H_
