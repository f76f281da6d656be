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
const Value& Lookup(const Pairs& pairs, const Key& key, const Value& default_value) {
  const auto found =
      std::lower_bound(pairs.begin(), pairs.end(), key, [](const auto& pair, const Key& k) { return pair.first < k; });
  return found != pairs.end() && found->first == key ? found->second : default_value;
}

}  // namespace

Value Program::Run(const Input& input, std::uint64_t* steps, SharedValueCache* cache) const {
  std::array<Cell, kMaxStackDepth> stack;  // NOLINT: Verify has checked that values are written before they are read
  std::size_t top = 0;                     // number of values on the stack
  std::uint64_t cost = 0;
  const auto push = [&](const Value& value) { stack[top++] = {value.number, value.text.data(), value.text.size()}; };
  for (std::size_t pc = 0; pc < code_.size(); ++pc) {
    const Instruction& i = code_[pc];
    ++cost;
    // Binary operations replace the two topmost values by one.
    Cell& second = stack[top == 0 ? 0 : top - 1];
    Cell& first = stack[top < 2 ? 0 : top - 2];
    const auto binary = [&](std::int64_t number) {
      --top;
      first.number = number;
    };
    const auto text = [&](bool result) {
      cost += TextCost(first.size, second.size) - 1;
      binary(result ? 1 : 0);
    };
    switch (i.op) {
      case Op::kConstant:
        push(constants_[i.operand]);
        break;
      case Op::kAttribute:
        push(input[i.operand]);
        break;
      case Op::kHas:
        stack[top++].number = input[i.operand].present ? 1 : 0;
        break;
      case Op::kShared: {
        if (cache->computed_in_call[i.operand] != cache->call_number) {
          // A shared program refers only to those with lower indexes, so the recursion is bounded by their number.
          const Value value = (*cache->programs)[i.operand].Run(input, &cost, cache);
          cache->values[i.operand] = {value.number, value.text.data(), value.text.size()};
          cache->computed_in_call[i.operand] = cache->call_number;
        }
        stack[top++] = cache->values[i.operand];
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
        // A naive search compares at each position.
        cost += (first.size + 1) * (second.size / 8 + 1);
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
        cost += second.size / 8;
        second.number = static_cast<std::int64_t>(HashText(second.text()));
        break;
      case Op::kHashCombine:
        binary(static_cast<std::int64_t>(
            CombineHashes(static_cast<std::uint64_t>(first.number), static_cast<std::uint64_t>(second.number))));
        break;
      case Op::kInNumbers: {
        const auto& list = number_lists_[i.operand];
        cost += i.cost - 1;
        second.number = std::binary_search(list.begin(), list.end(), second.number) ? 1 : 0;
        break;
      }
      case Op::kInRanges: {
        // The list holds disjoint pairs of first and last. A number is inside a range if an odd number of bounds is not
        // above it, or if it equals the last number of a range.
        const auto& list = number_lists_[i.operand];
        cost += i.cost - 1;
        const auto after = std::upper_bound(list.begin(), list.end(), second.number) - list.begin();
        second.number =
            after % 2 == 1 || (after > 0 && list[static_cast<std::size_t>(after) - 1] == second.number) ? 1 : 0;
        break;
      }
      case Op::kInTexts: {
        const auto& list = text_lists_[i.operand];
        cost += i.cost - 1;
        second.number = std::binary_search(list.begin(), list.end(), second.text(), std::less<>()) ? 1 : 0;
        break;
      }
      case Op::kLookupNumber:
      case Op::kLookupText: {
        const ConstantMap& map = *maps_[i.operand];
        cost += i.cost - 1;
        --top;
        push(i.op == Op::kLookupNumber ? Lookup(map.numbers, second.number, map.default_value)
                                       : Lookup(map.texts, second.text(), map.default_value));
        break;
      }
      case Op::kMatches:
        cost += i.cost - 1;
        second.number =
            re2::RE2::PartialMatch(re2::StringPiece(second.data, second.size), *patterns_[i.operand]) ? 1 : 0;
        break;
      case Op::kJumpIfFalse:
        if (second.number == 0) {
          pc = i.operand - 1;
        } else {
          --top;
        }
        break;
      case Op::kJumpIfTrue:
        if (second.number != 0) {
          pc = i.operand - 1;
        } else {
          --top;
        }
        break;
      case Op::kBranchIfFalse:
        if (stack[--top].number == 0) pc = i.operand - 1;
        break;
      case Op::kJump:
        pc = i.operand - 1;
        break;
    }
  }
  if (steps != nullptr) *steps += cost;
  return {stack[0].number, IsText(type_) ? stack[0].text() : std::string_view(), true};
}

Program Program::FromInstructions(std::vector<Instruction> code, std::size_t constants) {
  Program program;
  program.code_ = std::move(code);
  program.constants_.resize(constants);
  for (const Instruction& i : program.code_) program.cost_bound_ += i.cost;
  return program;
}

bool Program::Verify(std::size_t attributes, std::size_t shared) const {
  // The depth of the stack before each instruction must be the same on every path to it.
  std::vector<int> depths(code_.size() + 1, -1);
  if (code_.empty()) return false;
  depths[0] = 0;
  const auto set_depth = [&](std::size_t target, int depth) {
    if (depths[target] >= 0 && depths[target] != depth) return false;
    depths[target] = depth;
    return true;
  };
  for (std::size_t pc = 0; pc < code_.size(); ++pc) {
    const Instruction& i = code_[pc];
    const int depth = depths[pc];
    if (depth < 0) return false;  // unreachable code, which the compiler never generates
    std::size_t operand_limit = std::numeric_limits<std::size_t>::max();
    int pops = 0, pushes = 1;
    bool jumps = false;
    switch (i.op) {
      case Op::kConstant:
        operand_limit = constants_.size();
        break;
      case Op::kAttribute:
      case Op::kHas:
        operand_limit = attributes;
        break;
      case Op::kShared:
        operand_limit = shared;
        break;
      case Op::kNot:
      case Op::kNegate:
      case Op::kNegateDouble:
      case Op::kToDouble:
      case Op::kLength:
      case Op::kHashNumber:
      case Op::kHashText:
        pops = 1;
        break;
      case Op::kInNumbers:
      case Op::kInRanges:
        pops = 1, operand_limit = number_lists_.size();
        break;
      case Op::kInTexts:
        pops = 1, operand_limit = text_lists_.size();
        break;
      case Op::kLookupNumber:
      case Op::kLookupText:
        pops = 1, operand_limit = maps_.size();
        break;
      case Op::kMatches:
        pops = 1, operand_limit = patterns_.size();
        break;
      case Op::kJumpIfFalse:
      case Op::kJumpIfTrue:
      case Op::kBranchIfFalse:
        pops = 1, pushes = 0, jumps = true;
        break;
      case Op::kJump:
        pushes = 0, jumps = true;
        break;
      default:
        if (i.op > Op::kJump) return false;
        pops = 2;
    }
    if (!jumps && i.operand >= operand_limit && operand_limit != std::numeric_limits<std::size_t>::max()) return false;
    if (jumps && (i.operand <= pc || i.operand > code_.size())) return false;
    if (depth < pops || depth - pops + pushes > static_cast<int>(kMaxStackDepth)) return false;
    if (i.op == Op::kJumpIfFalse || i.op == Op::kJumpIfTrue) {
      if (!set_depth(i.operand, depth)) return false;  // the value stays on the stack at the target
    } else if (jumps && !set_depth(i.operand, depth - pops)) {
      return false;
    }
    if (i.op != Op::kJump && !set_depth(pc + 1, depth - pops + pushes)) return false;
  }
  return depths[code_.size()] == 1;
}

}  // namespace croftrun::expr
