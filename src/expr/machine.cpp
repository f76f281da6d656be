#include <re2/re2.h>

#include <algorithm>
#include <array>
#include <limits>

#include "expr/arithmetic.h"
#include "expr/expr.h"
#include "expr/hash.h"

namespace croftrun::expr {
namespace {

using namespace arithmetic;

std::uint64_t TextCost(std::size_t a, std::size_t b) { return 1 + std::max(a, b) / 8; }

template <typename Pairs, typename Key>
const Value& Lookup(const Pairs& pairs, const Key& key, const Value& otherwise) {
  const auto found =
      std::lower_bound(pairs.begin(), pairs.end(), key, [](const auto& pair, const Key& k) { return pair.first < k; });
  return found != pairs.end() && found->first == key ? found->second : otherwise;
}

}  // namespace

Value Program::Run(const Input& input, std::uint64_t* steps, Scratch* scratch) const {
  std::array<Cell, kDeepestStack> stack;  // NOLINT: written before it is read, as Verify made sure of
  std::size_t top = 0;                    // values on it
  std::uint64_t spent = 0;
  const auto push = [&](const Value& value) { stack[top++] = {value.number, value.text.data(), value.text.size()}; };
  for (std::size_t at = 0; at < code_.size(); ++at) {
    const Instruction& i = code_[at];
    ++spent;
    // Binary operations take the two topmost and leave one in their place.
    Cell& second = stack[top == 0 ? 0 : top - 1];
    Cell& first = stack[top < 2 ? 0 : top - 2];
    const auto binary = [&](std::int64_t number) {
      --top;
      first.number = number;
    };
    const auto text = [&](bool result) {
      spent += TextCost(first.size, second.size) - 1;
      binary(result ? 1 : 0);
    };
    switch (i.op) {
      case Op::kConstant:
        push(constants_[i.a]);
        break;
      case Op::kAttribute:
        push(input[i.a]);
        break;
      case Op::kHas:
        stack[top++].number = input[i.a].present ? 1 : 0;
        break;
      case Op::kShared: {
        if (scratch->stamp[i.a] != scratch->call) {
          // Shared programs refer only to those with lower numbers: the depth of calls is bounded by their count.
          const Value value = (*scratch->shared)[i.a].Run(input, &spent, scratch);
          scratch->memo[i.a] = {value.number, value.text.data(), value.text.size()};
          scratch->stamp[i.a] = scratch->call;
        }
        stack[top++] = scratch->memo[i.a];
        break;
      }
      case Op::kNot:
        second.number = second.number == 0 ? 1 : 0;
        break;
      case Op::kNegate:
        second.number = Negate(second.number);
        break;
      case Op::kAdd:
        binary(Add(first.number, second.number));
        break;
      case Op::kSubtract:
        binary(Subtract(first.number, second.number));
        break;
      case Op::kMultiply:
        binary(Multiply(first.number, second.number));
        break;
      case Op::kDivide:
        binary(Divide(first.number, second.number));
        break;
      case Op::kModulo:
        binary(Modulo(first.number, second.number));
        break;
      case Op::kEqual:
        binary(first.number == second.number ? 1 : 0);
        break;
      case Op::kNotEqual:
        binary(first.number != second.number ? 1 : 0);
        break;
      case Op::kLess:
        binary(first.number < second.number ? 1 : 0);
        break;
      case Op::kLessEqual:
        binary(first.number <= second.number ? 1 : 0);
        break;
      case Op::kToDouble:
        second.number = Bits(static_cast<double>(second.number));
        break;
      case Op::kNegateDouble:
        second.number = Bits(-AsDouble(second.number));
        break;
      case Op::kAddDouble:
        binary(Bits(AsDouble(first.number) + AsDouble(second.number)));
        break;
      case Op::kSubtractDouble:
        binary(Bits(AsDouble(first.number) - AsDouble(second.number)));
        break;
      case Op::kMultiplyDouble:
        binary(Bits(AsDouble(first.number) * AsDouble(second.number)));
        break;
      case Op::kDivideDouble:
        binary(AsDouble(second.number) == 0.0 ? 0 : Bits(AsDouble(first.number) / AsDouble(second.number)));
        break;
      case Op::kLessDouble:
        binary(AsDouble(first.number) < AsDouble(second.number) ? 1 : 0);
        break;
      case Op::kLessEqualDouble:
        binary(AsDouble(first.number) <= AsDouble(second.number) ? 1 : 0);
        break;
      case Op::kTextEqual:
        text(first.text() == second.text());
        break;
      case Op::kTextNotEqual:
        text(first.text() != second.text());
        break;
      case Op::kTextLess:
        text(first.text() < second.text());
        break;
      case Op::kStartsWith:
        text(first.text().starts_with(second.text()));
        break;
      case Op::kEndsWith:
        text(first.text().ends_with(second.text()));
        break;
      case Op::kContains:
        // Plain search compares at each position.
        spent += (first.size + 1) * (second.size / 8 + 1);
        binary(first.text().find(second.text()) != std::string_view::npos ? 1 : 0);
        break;
      case Op::kLength:
        second.number = static_cast<std::int64_t>(second.size);
        break;
      case Op::kFirst:
      case Op::kLast: {
        const auto octets = std::min(first.size, static_cast<std::size_t>(std::max<std::int64_t>(0, second.number)));
        if (i.op == Op::kLast) first.data += first.size - octets;
        first.size = octets;
        binary(0);
        break;
      }
      case Op::kHashNumber:
        second.number = static_cast<std::int64_t>(HashNumber(second.number));
        break;
      case Op::kHashText:
        spent += second.size / 8;
        second.number = static_cast<std::int64_t>(HashText(second.text()));
        break;
      case Op::kHashBoth:
        binary(static_cast<std::int64_t>(
            HashBoth(static_cast<std::uint64_t>(first.number), static_cast<std::uint64_t>(second.number))));
        break;
      case Op::kInNumbers: {
        const auto& list = numbers_[i.a];
        spent += i.cost - 1;
        second.number = std::binary_search(list.begin(), list.end(), second.number) ? 1 : 0;
        break;
      }
      case Op::kInRanges: {
        // Pairs of first and last, apart from each other: inside one, an odd count of bounds is below.
        const auto& list = numbers_[i.a];
        spent += i.cost - 1;
        const auto after = std::upper_bound(list.begin(), list.end(), second.number) - list.begin();
        second.number =
            after % 2 == 1 || (after > 0 && list[static_cast<std::size_t>(after) - 1] == second.number) ? 1 : 0;
        break;
      }
      case Op::kInTexts: {
        const auto& list = words_[i.a];
        spent += i.cost - 1;
        second.number = std::binary_search(list.begin(), list.end(), second.text(), std::less<>()) ? 1 : 0;
        break;
      }
      case Op::kLookupNumber:
      case Op::kLookupText: {
        const ConstantMap& map = *maps_[i.a];
        spent += i.cost - 1;
        --top;
        push(i.op == Op::kLookupNumber ? Lookup(map.numbers, second.number, map.otherwise)
                                       : Lookup(map.texts, second.text(), map.otherwise));
        break;
      }
      case Op::kMatches:
        spent += i.cost - 1;
        second.number = re2::RE2::PartialMatch(re2::StringPiece(second.data, second.size), *patterns_[i.a]) ? 1 : 0;
        break;
      case Op::kJumpIfFalse:
        if (second.number == 0) {
          at = i.a - 1;
        } else {
          --top;
        }
        break;
      case Op::kJumpIfTrue:
        if (second.number != 0) {
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
  return {stack[0].number, IsText(type_) ? stack[0].text() : std::string_view(), true};
}

Program Program::OfCode(std::vector<Instruction> code, std::size_t constants) {
  Program program;
  program.code_ = std::move(code);
  program.constants_.resize(constants);
  for (const Instruction& i : program.code_) program.cost_bound_ += i.cost;
  return program;
}

bool Program::Verify(std::size_t attributes, std::size_t shared) const {
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
      case Op::kShared:
        range = shared;
        break;
      case Op::kNot:
      case Op::kNegate:
      case Op::kNegateDouble:
      case Op::kToDouble:
      case Op::kLength:
      case Op::kHashNumber:
      case Op::kHashText:
        takes = 1;
        break;
      case Op::kInNumbers:
      case Op::kInRanges:
        takes = 1, range = numbers_.size();
        break;
      case Op::kInTexts:
        takes = 1, range = words_.size();
        break;
      case Op::kLookupNumber:
      case Op::kLookupText:
        takes = 1, range = maps_.size();
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
        if (i.op > Op::kJump) return false;
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

}  // namespace croftrun::expr
