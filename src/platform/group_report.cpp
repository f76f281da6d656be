#include "platform/group_report.h"

#include <algorithm>
#include <string_view>

namespace croftrun::platform {

std::vector<float> GroupReportReader::ReadValues(const Message& message) const {
  const std::string* const load = message.Field("load");
  return load == nullptr ? std::vector<float>() : ReadValues(*load);
}

std::vector<float> GroupReportReader::ReadValues(const std::string& load) const {
  std::vector<float> values(field_names_.size(), -1.0F);
  ForEachField(load, [&](std::string_view name, std::string_view text) {
    const auto field = std::find(field_names_.begin(), field_names_.end(), name);
    const auto value = ParseNumber(text, -1.0, 1e9);
    if (field != field_names_.end() && value)
      values[static_cast<std::size_t>(field - field_names_.begin())] = static_cast<float>(*value);
    return true;
  });
  return values;
}

std::optional<std::size_t> GroupReportReader::CircuitsUsed(const std::vector<float>& values) const {
  if (!own_circuits_) return std::nullopt;
  const auto value_of = [&](std::string_view name) {
    const auto field = std::find(field_names_.begin(), field_names_.end(), name);
    if (field == field_names_.end() || values.empty()) return -1.0F;
    return values[static_cast<std::size_t>(field - field_names_.begin())];
  };
  const float free = value_of("spare"), total = value_of("total");
  if (free < 0.0F || total < free) return std::nullopt;
  return static_cast<std::size_t>(total - free);
}

}  // namespace croftrun::platform
