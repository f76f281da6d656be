// Parses the group reports of exchanges, such as "spare:205;total:205", by the field names in the settings.
#ifndef CROFTRUN_PLATFORM_GROUP_REPORT_H_
#define CROFTRUN_PLATFORM_GROUP_REPORT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "platform/line_codec.h"

namespace croftrun::platform {

// Parser for the reports of one configuration.
class GroupReportReader {
 public:
  // `field_names` are given in the order of Settings::report_fields. `own_circuits` states that a report counts only
  // the circuits towards this softswitch.
  GroupReportReader(std::vector<std::string> field_names, bool own_circuits)
      : field_names_(std::move(field_names)), own_circuits_(own_circuits) {}

  // Returns the values in the order of the field names, with -1 for a missing one.
  std::vector<float> ReadValues(const std::string& load) const;
  // Likewise for a message that may contain a report. Returns an empty vector if it has none.
  std::vector<float> ReadValues(const Message& message) const;
  // Returns the number of circuits in use, if the values state it.
  std::optional<std::size_t> CircuitsUsed(const std::vector<float>& values) const;

 private:
  std::vector<std::string> field_names_;
  bool own_circuits_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_GROUP_REPORT_H_
