#include "expr/generate.h"

#include <re2/re2.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "expr/arithmetic.h"

namespace croftrun::expr {
namespace {

// Minimum weight of a subexpression that gets a shared program. Reading a cached value costs about as much as three
// operations.
constexpr std::size_t kMinSharedWeight = 6;

std::size_t NodeWeight(const Node& node) {
  switch (node.kind) {
    case NodeKind::kMatches:
      return 20;
    case NodeKind::kInList:
    case NodeKind::kLookup:
      return 3;
    case NodeKind::kCall:
      return 4;
    case NodeKind::kBinary:
      return node.op == "contains" ? 6 : 1;
    default:
      return 1;
  }
}

void AppendBytes(std::string* key, std::uint64_t value) {
  char octets[sizeof(value)];
  std::memcpy(octets, &value, sizeof(value));
  key->append(octets, sizeof(value));
}

}  // namespace

void CommonSubexpressions::Add(Node& node) {
  std::string key;
  std::size_t weight = NodeWeight(node);
  for (std::size_t i = 0; i < node.children.size(); ++i) {
    Node& child = *node.children[i];
    // The items of a list are constants, which are part of the key of the list.
    if (node.kind == NodeKind::kInList && i > 0) continue;
    Add(child);
    weight += subexpressions_[child.value_number].weight;
  }
  key += static_cast<char>(node.kind);
  key += static_cast<char>(node.type);
  key.append(node.op).append("/");
  AppendBytes(&key, node.index);
  AppendBytes(&key, static_cast<std::uint64_t>(node.number));
  if (node.kind == NodeKind::kConstant || node.kind == NodeKind::kMatches) key.append(node.token.value).append("/");
  if (node.kind == NodeKind::kCall) key.append(node.token.text).append("/");
  for (std::size_t i = 0; i < node.children.size(); ++i) {
    const Node& child = *node.children[i];
    if (node.kind == NodeKind::kInList && i > 0) {
      AppendBytes(&key, static_cast<std::uint64_t>(child.number));
      AppendBytes(&key, static_cast<std::uint64_t>(child.token.last_address));
      AppendBytes(&key, child.token.value.size());
      key.append(child.token.value);
    } else {
      AppendBytes(&key, child.value_number);
    }
  }
  const auto [found, inserted] =
      value_numbers_.emplace(std::move(key), static_cast<std::uint32_t>(subexpressions_.size()));
  if (inserted) subexpressions_.push_back({&node, 0, weight});
  node.value_number = found->second;
  ++subexpressions_[node.value_number].count;
}

std::vector<const Node*> CommonSubexpressions::WorthSharing() const {
  std::vector<const Node*> shared_nodes;
  for (const Subexpression& subexpression : subexpressions_) {
    if (subexpression.count > 1 && subexpression.weight >= kMinSharedWeight && !subexpression.node->constant)
      shared_nodes.push_back(subexpression.node);
  }
  return shared_nodes;
}

std::optional<Program> Generator::Generate(const Node& node) {
  root_ = &node;
  EmitNode(node);
  program_.type_ = node.type;
  if (failed_) return std::nullopt;
  // Jumps only go forward, so each instruction runs at most once and the sum is a bound for every input.
  for (const Instruction& i : program_.code_) program_.cost_bound_ += i.cost;
  if (program_.cost_bound_ > limits_.max_cost) {
    reporter_->Report(node.offset, "expected a cost of at most " + std::to_string(limits_.max_cost) + ", found " +
                                       std::to_string(program_.cost_bound_));
    return std::nullopt;
  }
  if (!program_.Verify(scope_.inputs.size(), shared_programs_ == nullptr ? 0 : shared_programs_->size())) {
    reporter_->Report(node.offset, "expected an expression that fits the evaluation stack, found one too deep");
    return std::nullopt;
  }
  return std::move(program_);
}

std::size_t Generator::EmitOp(Op op, std::size_t operand, std::uint64_t cost) {
  program_.code_.push_back(
      {op, static_cast<std::uint32_t>(operand), static_cast<std::uint32_t>(std::min<std::uint64_t>(cost, 1U << 30))});
  return program_.code_.size() - 1;
}

void Generator::EmitConstant(std::int64_t number) {
  program_.constants_.push_back({number, {}, true});
  EmitOp(Op::kConstant, program_.constants_.size() - 1);
}

void Generator::EmitTextConstant(const std::string& text) {
  program_.text_constants_.push_back(std::make_shared<std::string>(text));
  program_.constants_.push_back({0, *program_.text_constants_.back(), true});
  EmitOp(Op::kConstant, program_.constants_.size() - 1);
}

void Generator::EmitNode(const Node& node) {
  if (shared_indexes_ != nullptr && &node != root_) {
    const auto shared = shared_indexes_->find(node.value_number);
    if (shared != shared_indexes_->end() && node.value_number != root_->value_number) {
      EmitOp(Op::kShared, shared->second, 1 + (*shared_programs_)[shared->second].cost_bound());
      return;
    }
  }
  switch (node.kind) {
    case NodeKind::kConstant:
      return IsText(node.type) ? EmitTextConstant(node.token.value) : EmitConstant(node.number);
    case NodeKind::kName:
      if (node.constant) return EmitConstant(node.number);
      EmitOp(Op::kAttribute, node.index);
      return;
    case NodeKind::kHas:
      EmitOp(Op::kHas, node.index);
      return;
    case NodeKind::kLength:
      EmitNode(*node.children[0]);
      EmitOp(Op::kLength);
      return;
    case NodeKind::kToDouble:
      EmitNode(*node.children[0]);
      EmitOp(Op::kToDouble);
      return;
    case NodeKind::kUnary:
      EmitNode(*node.children[0]);
      EmitOp(node.op == "not" ? Op::kNot : node.type == Type::kDouble ? Op::kNegateDouble : Op::kNegate);
      return;
    case NodeKind::kBinary:
      return EmitBinary(node);
    case NodeKind::kCall:
      return EmitCall(node);
    case NodeKind::kLookup: {
      EmitNode(*node.children[0]);
      const auto& map = scope_.map_values[node.index];
      std::uint64_t cost = 2;
      for (std::size_t n = map->numbers.size() + map->texts.size(); n > 0; n /= 2) ++cost;
      const bool text_keys = IsText(node.children[0]->type);
      program_.maps_.push_back(map);
      EmitOp(text_keys ? Op::kLookupText : Op::kLookupNumber, program_.maps_.size() - 1,
             text_keys ? cost * (1 + node.children[0]->max_octets / 8) : cost);
      return;
    }
    case NodeKind::kDefault: {
      EmitOp(Op::kHas, node.children[0]->index);
      const std::size_t absent_jump = EmitOp(Op::kBranchIfFalse);
      EmitNode(*node.children[0]);
      const std::size_t end_jump = EmitOp(Op::kJump);
      PatchJump(absent_jump);
      EmitNode(*node.children[1]);
      PatchJump(end_jump);
      return;
    }
    case NodeKind::kIf: {
      EmitNode(*node.children[0]);
      const std::size_t else_jump = EmitOp(Op::kBranchIfFalse);
      EmitNode(*node.children[1]);
      const std::size_t end_jump = EmitOp(Op::kJump);
      PatchJump(else_jump);
      EmitNode(*node.children[2]);
      PatchJump(end_jump);
      return;
    }
    case NodeKind::kInRange:
      return EmitRange(node);
    case NodeKind::kInList:
      return EmitIn(node);
    case NodeKind::kMatches:
      return EmitMatches(node);
  }
}

void Generator::EmitCall(const Node& node) {
  if (node.token.text == "first" || node.token.text == "last") {
    EmitNode(*node.children[0]);
    EmitNode(*node.children[1]);
    EmitOp(node.token.text == "first" ? Op::kFirst : Op::kLast);
    return;
  }
  EmitHash(*node.children[0]);
  if (node.token.text == "bucket") {
    // Only the upper 63 bits are used. The remainder may be negative, so the number of buckets is added before the
    // second modulo.
    EmitConstant(2);
    EmitOp(Op::kDivide);
    EmitConstant(node.children[1]->number);
    EmitOp(Op::kModulo);
    EmitConstant(node.children[1]->number);
    EmitOp(Op::kAdd);
    EmitConstant(node.children[1]->number);
    EmitOp(Op::kModulo);
    return;
  }
  for (std::size_t i = 1; i < node.children.size(); ++i) {
    EmitHash(*node.children[i]);
    EmitOp(Op::kHashCombine);
  }
}

void Generator::EmitHash(const Node& node) {
  EmitNode(node);
  if (IsText(node.type)) {
    EmitOp(Op::kHashText, 0, 1 + node.max_octets / 8);
  } else {
    EmitOp(Op::kHashNumber);
  }
}

// Tests low <= value <= high. The value is cheap or small, so it is evaluated twice.
void Generator::EmitRange(const Node& node) {
  const Node& low = *node.children[1];
  const Node& high = *node.children[2];
  const Op less_equal = node.children[0]->type == Type::kDouble ? Op::kLessEqualDouble : Op::kLessEqual;
  // A time range such as 22:00 .. 6:00 includes midnight: low <= value or value <= high.
  const bool wraps = low.type == Type::kTime && low.constant && high.constant && low.number > high.number;
  EmitNode(low);
  EmitNode(*node.children[0]);
  EmitOp(less_equal);
  const std::size_t end_jump = EmitOp(wraps ? Op::kJumpIfTrue : Op::kJumpIfFalse);
  EmitNode(*node.children[0]);
  EmitNode(high);
  EmitOp(less_equal);
  PatchJump(end_jump);
}

void Generator::EmitText(const Node& node) {
  const std::string_view sign = node.op;
  const Node& left = *node.children[0];
  const Node& right = *node.children[1];
  // The machine has only "less" for texts: a > b is b < a, and a <= b is not (b < a).
  const bool swapped = sign == ">" || sign == "<=";
  EmitNode(swapped ? right : left);
  EmitNode(swapped ? left : right);
  const std::uint64_t compare = 1 + std::max(left.max_octets, right.max_octets) / 8;
  if (sign == "==") EmitOp(Op::kTextEqual, 0, compare);
  if (sign == "!=") EmitOp(Op::kTextNotEqual, 0, compare);
  if (sign[0] == '<' || sign[0] == '>') EmitOp(Op::kTextLess, 0, compare);
  if (sign == "<=" || sign == ">=") EmitOp(Op::kNot);
  if (sign == "starts_with") EmitOp(Op::kStartsWith, 0, compare);
  if (sign == "ends_with") EmitOp(Op::kEndsWith, 0, compare);
  if (sign == "contains") EmitOp(Op::kContains, 0, 1 + (left.max_octets + 1) * (right.max_octets / 8 + 1));
}

void Generator::EmitBinary(const Node& node) {
  const std::string_view sign = node.op;
  const Node& left = *node.children[0];
  const Node& right = *node.children[1];
  if (sign == "and" || sign == "or") {
    EmitNode(left);
    const std::size_t end_jump = EmitOp(sign == "and" ? Op::kJumpIfFalse : Op::kJumpIfTrue);
    EmitNode(right);
    PatchJump(end_jump);
    return;
  }
  if (IsText(left.type)) return EmitText(node);
  // a > b is b < a, a >= b is b <= a.
  const bool swapped = sign == ">" || sign == ">=";
  EmitNode(swapped ? right : left);
  EmitNode(swapped ? left : right);
  const bool doubles = left.type == Type::kDouble;
  // There is no negative zero and no NaN, so doubles are equal if their bits are.
  if (sign == "==") EmitOp(Op::kEqual);
  if (sign == "!=") EmitOp(Op::kNotEqual);
  if (sign == "<" || sign == ">") EmitOp(doubles ? Op::kLessDouble : Op::kLess);
  if (sign == "<=" || sign == ">=") EmitOp(doubles ? Op::kLessEqualDouble : Op::kLessEqual);
  if (sign == "+") EmitOp(doubles ? Op::kAddDouble : Op::kAdd);
  if (sign == "-") EmitOp(doubles ? Op::kSubtractDouble : Op::kSubtract);
  if (sign == "*") EmitOp(doubles ? Op::kMultiplyDouble : Op::kMultiply);
  if (sign == "/") EmitOp(doubles ? Op::kDivideDouble : Op::kDivide);
  if (sign == "%") EmitOp(Op::kModulo);
}

void Generator::EmitIn(const Node& node) {
  const Node& value = *node.children[0];
  EmitNode(value);
  std::uint64_t cost = 2;
  for (std::size_t n = node.children.size(); n > 0; n /= 2) ++cost;
  if (IsText(value.type)) {
    std::vector<std::string> list;
    for (std::size_t i = 1; i < node.children.size(); ++i) list.push_back(node.children[i]->token.value);
    std::sort(list.begin(), list.end());
    program_.text_lists_.push_back(std::move(list));
    EmitOp(Op::kInTexts, program_.text_lists_.size() - 1, cost * (1 + value.max_octets / 8));
    return;
  }
  std::vector<std::int64_t> list;
  if (value.type == Type::kAddress) {
    std::vector<std::pair<std::int64_t, std::int64_t>> ranges;
    for (std::size_t i = 1; i < node.children.size(); ++i)
      ranges.emplace_back(node.children[i]->number, node.children[i]->token.last_address);
    std::sort(ranges.begin(), ranges.end());
    for (const auto& [from, last] : ranges) {
      if (!list.empty() && from <= list.back()) {
        list.back() = std::max(list.back(), last);  // two prefixes are either nested or disjoint
      } else {
        list.insert(list.end(), {from, last});
      }
    }
    program_.number_lists_.push_back(std::move(list));
    EmitOp(Op::kInRanges, program_.number_lists_.size() - 1, cost + 1);
    return;
  }
  for (std::size_t i = 1; i < node.children.size(); ++i) list.push_back(node.children[i]->number);
  std::sort(list.begin(), list.end());
  program_.number_lists_.push_back(std::move(list));
  EmitOp(Op::kInNumbers, program_.number_lists_.size() - 1, cost);
}

void Generator::EmitMatches(const Node& node) {
  EmitNode(*node.children[0]);
  re2::RE2::Options options;
  options.set_log_errors(false);
  options.set_max_mem(1 << 20);
  auto pattern = std::make_shared<re2::RE2>(node.token.value, options);
  if (!pattern->ok()) {
    reporter_->Report(node.token.offset, "expected a valid regular expression, found an error: " + pattern->error());
    failed_ = true;
    return;
  }
  if (pattern->ProgramSize() > limits_.max_pattern_states) {
    reporter_->Report(node.token.offset, "expected a regular expression of at most " +
                                             std::to_string(limits_.max_pattern_states) + " states, found " +
                                             std::to_string(pattern->ProgramSize()));
    failed_ = true;
    return;
  }
  // RE2 takes at most one pass over the text for each state.
  const auto states = static_cast<std::uint64_t>(pattern->ProgramSize());
  program_.patterns_.push_back(std::move(pattern));
  EmitOp(Op::kMatches, program_.patterns_.size() - 1, 1 + states * (node.children[0]->max_octets + 1) / 16);
}

}  // namespace croftrun::expr
