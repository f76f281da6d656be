// Values of the language.
#ifndef CROFTRUN_EXPR_VALUE_H_
#define CROFTRUN_EXPR_VALUE_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace croftrun::expr {

enum class Type : std::uint8_t { kBool, kInt, kDouble, kString, kE164, kDuration, kTime, kDate, kAddress, kEnum };

// Whether values of the type are in `text`, not in `number`.
inline bool IsText(Type type) { return type == Type::kString || type == Type::kE164; }

// One attribute's value; `text` is valid as long as its owner.
struct Value {
  // bool, int; bits of a double; duration in microseconds; time of day in microseconds since midnight; days since
  // 1970-01-01; IPv4 address in host order; index of an enumeration's word.
  std::int64_t number = 0;
  std::string_view text;
  bool present = true;
};
using Input = std::vector<Value>;

// A value on the machine's stack: left uninitialised until it is written.
struct Cell {
  std::int64_t number;
  const char* data;
  std::size_t size;
  std::string_view text() const { return {data, size}; }
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_VALUE_H_
