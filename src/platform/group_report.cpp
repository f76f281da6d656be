#include "platform/group_report.h"

#include <algorithm>
#include <string_view>

namespace croftrun::platform {

std::vector<float> GroupReportReader::Figures(const Message& message) const {
  const std::string* const load = message.Field("load");
  return load == nullptr ? std::vector<float>() : Figures(*load);
}

std::vector<float> GroupReportReader::Figures(const std::string& load) const {
  std::vector<float> figures(names_.size(), -1.0F);
  ForEachFigure(load, [&](std::string_view name, std::string_view text) {
    const auto named = std::find(names_.begin(), names_.end(), name);
    const auto value = ParseNumber(text, -1.0, 1e9);
    if (named != names_.end() && value)
      figures[static_cast<std::size_t>(named - names_.begin())] = static_cast<float>(*value);
    return true;
  });
  return figures;
}

std::optional<std::size_t> GroupReportReader::CircuitsUsed(const std::vector<float>& figures) const {
  if (!own_circuits_) return std::nullopt;
  const auto figure = [&](std::string_view name) {
    const auto named = std::find(names_.begin(), names_.end(), name);
    if (named == names_.end() || figures.empty()) return -1.0F;
    return figures[static_cast<std::size_t>(named - names_.begin())];
  };
  const float spare = figure("spare"), total = figure("total");
  if (spare < 0.0F || total < spare) return std::nullopt;
  return static_cast<std::size_t>(total - spare);
}

}  // namespace croftrun::platform
