// Reads an exchange's report of a group, such as "spare:205;total:205", by the names of the settings.
#ifndef CROFTRUN_PLATFORM_GROUP_REPORT_H_
#define CROFTRUN_PLATFORM_GROUP_REPORT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "platform/line_codec.h"

namespace croftrun::platform {

class GroupReportReader {
 public:
  // `names`: of the figures, in the module's order. `own_circuits`: a report counts the circuits towards this
  // softswitch alone.
  GroupReportReader(std::vector<std::string> names, bool own_circuits)
      : names_(std::move(names)), own_circuits_(own_circuits) {}

  // The figures in the order of the names, -1 for one that did not come.
  std::vector<float> Figures(const std::string& load) const;
  // The same of a message that may carry a report; empty where it has none.
  std::vector<float> Figures(const Message& message) const;
  // Circuits in use by these figures; nothing where they do not tell.
  std::optional<std::size_t> CircuitsUsed(const std::vector<float>& figures) const;

 private:
  std::vector<std::string> names_;
  bool own_circuits_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_GROUP_REPORT_H_
