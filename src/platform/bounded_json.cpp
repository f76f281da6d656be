#include "platform/bounded_json.h"

#include <nlohmann/json.hpp>

namespace croftrun::platform {

using nlohmann::json;

std::optional<json> ParseBoundedJson(std::string_view text, const JsonLimits& limits) {
  std::size_t values = 0;
  bool is_too_deep = false;
  // The parser cannot be stopped by its callback. What comes beyond the limits is dropped as it is read.
  const auto keep = [&](int depth, json::parse_event_t event, const json&) {
    switch (event) {
      case json::parse_event_t::value:
      case json::parse_event_t::object_start:
      case json::parse_event_t::array_start:
        ++values;
        is_too_deep = is_too_deep || depth > limits.max_depth;
        return !is_too_deep && values <= limits.max_values;
      case json::parse_event_t::key:
      case json::parse_event_t::object_end:
      case json::parse_event_t::array_end:
        return !is_too_deep && values <= limits.max_values;
    }
    return false;
  };
  json parsed = json::parse(text, keep, false);
  if (parsed.is_discarded() || is_too_deep || values > limits.max_values) return std::nullopt;
  return parsed;
}

}  // namespace croftrun::platform
