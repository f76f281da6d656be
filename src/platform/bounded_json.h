// Parser for JSON from peers whose memory stays in proportion to the text.
//
// A parsed value takes far more memory than its text: a list of zeros eight times as much, nested brackets seventy
// times. Text from outside is therefore parsed with limits for the nesting and the number of values.
#ifndef CROFTRUN_PLATFORM_BOUNDED_JSON_H_
#define CROFTRUN_PLATFORM_BOUNDED_JSON_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>

namespace croftrun::platform {

struct JsonLimits {
  std::size_t max_values = 0;  // values of any kind; the keys of objects are not counted
  int max_depth = 0;           // 0: only the outermost value itself
};

// Returns nothing if the text is not JSON or exceeds the limits.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view text, const JsonLimits& limits);

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_BOUNDED_JSON_H_
