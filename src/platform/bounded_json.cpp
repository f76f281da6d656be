#include "platform/bounded_json.h"

#include <nlohmann/json.hpp>
#include <string>

namespace croftrun::platform {
namespace {

using nlohmann::json;

// Counts the values without keeping them, and stops the parser at the first one beyond the limits.
class LimitChecker final : public nlohmann::json_sax<json> {
 public:
  explicit LimitChecker(const JsonLimits& limits) : limits_(limits) {}
  bool null() override { return Count(); }
  bool boolean(bool) override { return Count(); }
  bool number_integer(number_integer_t) override { return Count(); }
  bool number_unsigned(number_unsigned_t) override { return Count(); }
  bool number_float(number_float_t, const string_t&) override { return Count(); }
  bool string(string_t&) override { return Count(); }
  bool binary(binary_t&) override { return Count(); }
  bool start_object(std::size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

 private:
  bool Count() { return ++values_ <= limits_.max_values && depth_ <= limits_.max_depth; }
  bool Enter() {
    const bool is_within_limits = Count();
    ++depth_;
    return is_within_limits;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  const JsonLimits limits_;
  std::size_t values_ = 0;
  int depth_ = 0;
};

}  // namespace

std::optional<json> ParseBoundedJson(std::string_view text, const JsonLimits& limits) {
  LimitChecker checker(limits);
  if (!json::sax_parse(text, &checker)) return std::nullopt;
  return json::parse(text, nullptr, false);
}

}  // namespace croftrun::platform
