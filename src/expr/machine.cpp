#include <re2/re2.h>

#include <algorithm>
#include <array>
#include <limits>

#include "expr/expr.h"

namespace croftrun::expr {
namespace {

using Limit = std::numeric_limits<std::int64_t>;

// Integers saturate: a rule about large numbers stays monotone, and nothing wraps.
std::int64_t Add(std::int64_t a, std::int64_t b) {
  std::int64_t sum = 0;
  if (!__builtin_add_overflow(a, b, &sum)) return sum;
  return b > 0 ? Limit::max() : Limit::min();
}
std::int64_t Negate(std::int64_t a) { return a == Limit::min() ? Limit::max() : -a; }
std::int64_t Subtract(std::int64_t a, std::int64_t b) {
  std::int64_t difference = 0;
  if (!__builtin_sub_overflow(a, b, &difference)) return difference;
  return b < 0 ? Limit::max() : Limit::min();
}
std::int64_t Multiply(std::int64_t a, std::int64_t b) {
  std::int64_t product = 0;
  if (!__builtin_mul_overflow(a, b, &product)) return product;
  return (a < 0) == (b < 0) ? Limit::max() : Limit::min();
}
std::int64_t Divide(std::int64_t a, std::int64_t b) { return b == 0 ? 0 : b == -1 ? Negate(a) : a / b; }
std::int64_t Modulo(std::int64_t a, std::int64_t b) { return b == 0 || b == -1 ? 0 : a % b; }

Value Number(std::int64_t number) { return {number, {}, true}; }
std::uint64_t TextCost(std::string_view a, std::string_view b) { return 1 + std::max(a.size(), b.size()) / 8; }

}  // namespace

Value Program::Run(const Input& input, std::uint64_t* steps) const {
  std::array<Value, kDeepestStack> stack;
  std::size_t top = 0;  // values on it
  std::uint64_t spent = 0;
  for (std::size_t at = 0; at < code_.size(); ++at) {
    const Instruction& i = code_[at];
    ++spent;
    // Binary operations take the two topmost and leave one in their place.
    const auto second = [&] { return stack[top - 1]; };
    const auto first = [&] { return stack[top - 2]; };
    const auto binary = [&](Value value) {
      --top;
      stack[top - 1] = value;
    };
    const auto text = [&](bool result) {
      spent += TextCost(first().text, second().text) - 1;
      binary(Number(result ? 1 : 0));
    };
    switch (i.op) {
      case Op::kConstant:
        stack[top++] = constants_[i.a];
        break;
      case Op::kAttribute:
        stack[top++] = input[i.a];
        break;
      case Op::kHas:
        stack[top++] = Number(input[i.a].present ? 1 : 0);
        break;
      case Op::kNot:
        stack[top - 1] = Number(second().number == 0 ? 1 : 0);
        break;
      case Op::kNegate:
        stack[top - 1] = Number(Negate(second().number));
        break;
      case Op::kAdd:
        binary(Number(Add(first().number, second().number)));
        break;
      case Op::kSubtract:
        binary(Number(Subtract(first().number, second().number)));
        break;
      case Op::kMultiply:
        binary(Number(Multiply(first().number, second().number)));
        break;
      case Op::kDivide:
        binary(Number(Divide(first().number, second().number)));
        break;
      case Op::kModulo:
        binary(Number(Modulo(first().number, second().number)));
        break;
      case Op::kEqual:
        binary(Number(first().number == second().number ? 1 : 0));
        break;
      case Op::kNotEqual:
        binary(Number(first().number != second().number ? 1 : 0));
        break;
      case Op::kLess:
        binary(Number(first().number < second().number ? 1 : 0));
        break;
      case Op::kLessEqual:
        binary(Number(first().number <= second().number ? 1 : 0));
        break;
      case Op::kTextEqual:
        text(first().text == second().text);
        break;
      case Op::kTextNotEqual:
        text(first().text != second().text);
        break;
      case Op::kTextLess:
        text(first().text < second().text);
        break;
      case Op::kStartsWith:
        text(first().text.starts_with(second().text));
        break;
      case Op::kEndsWith:
        text(first().text.ends_with(second().text));
        break;
      case Op::kContains:
        // Plain search compares at each position.
        spent += (first().text.size() + 1) * (second().text.size() / 8 + 1);
        binary(Number(first().text.find(second().text) != std::string_view::npos ? 1 : 0));
        break;
      case Op::kLength:
        stack[top - 1] = Number(static_cast<std::int64_t>(second().text.size()));
        break;
      case Op::kInNumbers: {
        const auto& list = numbers_[i.a];
        spent += i.cost - 1;
        stack[top - 1] = Number(std::binary_search(list.begin(), list.end(), second().number) ? 1 : 0);
        break;
      }
      case Op::kInTexts: {
        const auto& list = words_[i.a];
        spent += i.cost - 1;
        stack[top - 1] = Number(std::binary_search(list.begin(), list.end(), second().text, std::less<>()) ? 1 : 0);
        break;
      }
      case Op::kMatches:
        spent += i.cost - 1;
        stack[top - 1] = Number(
            re2::RE2::PartialMatch(re2::StringPiece(second().text.data(), second().text.size()), *patterns_[i.a]) ? 1 : 0);
        break;
      case Op::kJumpIfFalse:
        if (second().number == 0) {
          at = i.a - 1;
        } else {
          --top;
        }
        break;
      case Op::kJumpIfTrue:
        if (second().number != 0) {
          at = i.a - 1;
        } else {
          --top;
        }
        break;
      case Op::kBranch:
        if (stack[--top].number == 0) at = i.a - 1;
        break;
      case Op::kJump:
        at = i.a - 1;
        break;
    }
  }
  if (steps != nullptr) *steps += spent;
  return stack[0];
}

bool Program::Verify(std::size_t attributes) const {
  // The depth of the stack before each instruction must be the same on every way to it.
  std::vector<int> depth(code_.size() + 1, -1);
  if (code_.empty()) return false;
  depth[0] = 0;
  const auto flow = [&](std::size_t to, int d) {
    if (depth[to] >= 0 && depth[to] != d) return false;
    depth[to] = d;
    return true;
  };
  for (std::size_t at = 0; at < code_.size(); ++at) {
    const Instruction& i = code_[at];
    const int d = depth[at];
    if (d < 0) return false;  // never reached: nothing Compile would make
    std::size_t range = std::numeric_limits<std::size_t>::max();
    int takes = 0, gives = 1;
    bool jumps = false;
    switch (i.op) {
      case Op::kConstant:
        range = constants_.size();
        break;
      case Op::kAttribute:
      case Op::kHas:
        range = attributes;
        break;
      case Op::kNot:
      case Op::kNegate:
      case Op::kLength:
        takes = 1;
        break;
      case Op::kInNumbers:
        takes = 1, range = numbers_.size();
        break;
      case Op::kInTexts:
        takes = 1, range = words_.size();
        break;
      case Op::kMatches:
        takes = 1, range = patterns_.size();
        break;
      case Op::kJumpIfFalse:
      case Op::kJumpIfTrue:
      case Op::kBranch:
        takes = 1, gives = 0, jumps = true;
        break;
      case Op::kJump:
        gives = 0, jumps = true;
        break;
      default:
        takes = 2;
    }
    if (!jumps && i.a >= range && range != std::numeric_limits<std::size_t>::max()) return false;
    if (jumps && (i.a <= at || i.a > code_.size())) return false;
    if (d < takes || d - takes + gives > static_cast<int>(kDeepestStack)) return false;
    if (i.op == Op::kJumpIfFalse || i.op == Op::kJumpIfTrue) {
      if (!flow(i.a, d)) return false;  // the value stays for who is jumped to
    } else if (jumps && !flow(i.a, d - takes)) {
      return false;
    }
    if (i.op != Op::kJump && !flow(at + 1, d - takes + gives)) return false;
  }
  return depth[code_.size()] == 1;
}

int RuleSet::Match(const Input& input, std::uint64_t* steps) const {
  for (std::size_t i = 0; i < rules.size(); ++i) {
    if (rules[i].when.Test(input, steps)) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace croftrun::expr
