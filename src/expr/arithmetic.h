// The total arithmetic of the rule language, used both to fold constants and to run programs.
#ifndef CROFTRUN_EXPR_ARITHMETIC_H_
#define CROFTRUN_EXPR_ARITHMETIC_H_

#include <bit>
#include <cmath>
#include <cstdint>
#include <limits>

namespace croftrun::expr::arithmetic {

using Limit = std::numeric_limits<std::int64_t>;

// Integers saturate instead of wrapping, so that a comparison with a large number stays monotone.
inline std::int64_t Add(std::int64_t a, std::int64_t b) {
  std::int64_t sum = 0;
  if (!__builtin_add_overflow(a, b, &sum)) return sum;
  return b > 0 ? Limit::max() : Limit::min();
}
inline std::int64_t Negate(std::int64_t a) { return a == Limit::min() ? Limit::max() : -a; }
inline std::int64_t Subtract(std::int64_t a, std::int64_t b) {
  std::int64_t difference = 0;
  if (!__builtin_sub_overflow(a, b, &difference)) return difference;
  return b < 0 ? Limit::max() : Limit::min();
}
inline std::int64_t Multiply(std::int64_t a, std::int64_t b) {
  std::int64_t product = 0;
  if (!__builtin_mul_overflow(a, b, &product)) return product;
  return (a < 0) == (b < 0) ? Limit::max() : Limit::min();
}
inline std::int64_t Divide(std::int64_t a, std::int64_t b) { return b == 0 ? 0 : b == -1 ? Negate(a) : a / b; }
inline std::int64_t Modulo(std::int64_t a, std::int64_t b) { return b == 0 || b == -1 ? 0 : a % b; }

// Doubles are stored as their bits. Results are finite: an overflow gives the largest double of the same sign and an
// undefined result gives 0. Negative zero is stored as zero.
inline double AsDouble(std::int64_t bits) { return std::bit_cast<double>(bits); }
inline std::int64_t Bits(double value) {
  if (std::isnan(value) || value == 0.0) return 0;
  if (std::isinf(value)) value = std::copysign(std::numeric_limits<double>::max(), value);
  return std::bit_cast<std::int64_t>(value);
}

}  // namespace croftrun::expr::arithmetic

#endif  // CROFTRUN_EXPR_ARITHMETIC_H_
