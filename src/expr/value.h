// Types and values of the rule language.
#ifndef CROFTRUN_EXPR_VALUE_H_
#define CROFTRUN_EXPR_VALUE_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace croftrun::expr {

// The types of the rule language.
enum class Type : std::uint8_t { kBool, kInt, kDouble, kString, kE164, kDuration, kTime, kDate, kAddress, kEnum };

// Whether values of the type are held in `text` rather than in `number`.
inline bool IsText(Type type) { return type == Type::kString || type == Type::kE164; }

// The value of an attribute or an expression. `text` refers to storage that the value does not own.
struct Value {
  // Depending on the type: 0 or 1; an integer; the bits of a double; a duration in microseconds; a time of day in
  // microseconds since midnight; a date in days since 1970-01-01; an IPv4 address in host byte order; the index of a
  // word in its enumeration.
  std::int64_t number = 0;
  std::string_view text;
  bool present = true;
};
// The attributes of one call in the order of the schema, then the values that RuleSet::AddDerivedInputs adds.
using Input = std::vector<Value>;

// A value on the stack of the machine. It is not initialised until it is written.
struct Cell {
  std::int64_t number;
  const char* data;
  std::size_t size;
  std::string_view text() const { return {data, size}; }
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_VALUE_H_
