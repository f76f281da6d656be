// Local time of a named zone from Unix time, from a table made once: no lock, no allocation and no file on the call
// path.
#ifndef CROFTRUN_EXPR_CALENDAR_H_
#define CROFTRUN_EXPR_CALENDAR_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace croftrun::expr {

enum class CalendarKind : std::uint8_t { kWeekday, kTime, kDate };

class Zone {
 public:
  // Offsets by the IANA table of the machine, from 2000 to 2100; before and after them the nearest holds. Null for a
  // name that it does not have.
  static std::shared_ptr<const Zone> Load(const std::string& name);
  // Microseconds to add to Unix time. Through a change of daylight saving time the clock on the wall jumps; a time that
  // is passed twice is told twice, one that is skipped never.
  std::int64_t OffsetUs(std::int64_t wall_us) const;
  std::int64_t Get(CalendarKind kind, std::int64_t wall_us) const;

 private:
  std::vector<std::pair<std::int64_t, std::int64_t>> offsets_;  // from this Unix time on, sorted; both microseconds
};

// Whether such a zone is known; the name alone is looked at, not a path.
bool IsZone(const std::string& name);

struct CalendarInput {
  CalendarKind kind = CalendarKind::kTime;
  std::string zone;
  std::size_t input = 0;
  std::shared_ptr<const Zone> table;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_CALENDAR_H_
