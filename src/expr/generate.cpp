#include "expr/generate.h"

#include <re2/re2.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "expr/arithmetic.h"

namespace croftrun::expr {
namespace {

// What a part must come to before a place of its own pays: looking it up costs about as much as three operations.
constexpr std::size_t kWorthSharing = 6;

std::size_t OwnWeight(const Node& node) {
  switch (node.shape) {
    case Shape::kMatches:
      return 20;
    case Shape::kIn:
    case Shape::kLookup:
      return 3;
    case Shape::kCall:
      return 4;
    case Shape::kBinary:
      return node.sign == "contains" ? 6 : 1;
    default:
      return 1;
  }
}

void Append(std::string* key, std::uint64_t value) {
  char octets[sizeof(value)];
  std::memcpy(octets, &value, sizeof(value));
  key->append(octets, sizeof(value));
}

}  // namespace

void Sharing::Add(Node& root) {
  std::string key;
  std::size_t weight = OwnWeight(root);
  for (std::size_t i = 0; i < root.parts.size(); ++i) {
    Node& part = *root.parts[i];
    // The items of a list are constants: they count for what they are.
    if (root.shape == Shape::kIn && i > 0) continue;
    Add(part);
    weight += parts_[part.id].weight;
  }
  key += static_cast<char>(root.shape);
  key += static_cast<char>(root.type);
  key.append(root.sign).append("/");
  Append(&key, root.attribute);
  Append(&key, static_cast<std::uint64_t>(root.number));
  if (root.shape == Shape::kConstant || root.shape == Shape::kMatches) key.append(root.token.value).append("/");
  if (root.shape == Shape::kCall) key.append(root.token.text).append("/");
  for (std::size_t i = 0; i < root.parts.size(); ++i) {
    const Node& part = *root.parts[i];
    if (root.shape == Shape::kIn && i > 0) {
      Append(&key, static_cast<std::uint64_t>(part.number));
      Append(&key, static_cast<std::uint64_t>(part.token.last));
      Append(&key, part.token.value.size());
      key.append(part.token.value);
    } else {
      Append(&key, part.id);
    }
  }
  const auto [found, fresh] = numbers_.emplace(std::move(key), static_cast<std::uint32_t>(parts_.size()));
  if (fresh) parts_.push_back({&root, 0, weight});
  root.id = found->second;
  ++parts_[root.id].count;
}

std::vector<const Node*> Sharing::Worth() const {
  std::vector<const Node*> worth;
  for (const Part& part : parts_) {
    if (part.count > 1 && part.weight >= kWorthSharing && !part.node->constant) worth.push_back(part.node);
  }
  return worth;
}

std::optional<Program> Generator::Make(const Node& node) {
  root_ = &node;
  Emit(node);
  program_.type_ = node.type;
  if (failed_) return std::nullopt;
  // Jumps only go forward, so each instruction runs at most once: the sum is a bound for every input.
  for (const Instruction& i : program_.code_) program_.cost_bound_ += i.cost;
  if (program_.cost_bound_ > limits_.highest_cost) {
    reporter_->Say(node.at, "expected a cost of at most " + std::to_string(limits_.highest_cost) + ", found " +
                                std::to_string(program_.cost_bound_));
    return std::nullopt;
  }
  if (!program_.Verify(scope_.inputs.size(), shared_ == nullptr ? 0 : shared_->size())) {
    reporter_->Say(node.at, "expected a program that can be verified, found one too deep");
    return std::nullopt;
  }
  return std::move(program_);
}

std::size_t Generator::Put(Op op, std::size_t a, std::uint64_t cost) {
  program_.code_.push_back(
      {op, static_cast<std::uint32_t>(a), static_cast<std::uint32_t>(std::min<std::uint64_t>(cost, 1U << 30))});
  return program_.code_.size() - 1;
}

void Generator::Constant(std::int64_t number) {
  program_.constants_.push_back({number, {}, true});
  Put(Op::kConstant, program_.constants_.size() - 1);
}

void Generator::TextConstant(const std::string& text) {
  program_.texts_.push_back(std::make_shared<std::string>(text));
  program_.constants_.push_back({0, *program_.texts_.back(), true});
  Put(Op::kConstant, program_.constants_.size() - 1);
}

void Generator::Emit(const Node& node) {
  if (places_ != nullptr && &node != root_) {
    const auto place = places_->find(node.id);
    if (place != places_->end() && node.id != root_->id) {
      Put(Op::kShared, place->second, 1 + (*shared_)[place->second].cost_bound());
      return;
    }
  }
  switch (node.shape) {
    case Shape::kConstant:
      return IsText(node.type) ? TextConstant(node.token.value) : Constant(node.number);
    case Shape::kName:
      if (node.constant) return Constant(node.number);
      Put(Op::kAttribute, node.attribute);
      return;
    case Shape::kHas:
      Put(Op::kHas, node.attribute);
      return;
    case Shape::kLength:
      Emit(*node.parts[0]);
      Put(Op::kLength);
      return;
    case Shape::kToDouble:
      Emit(*node.parts[0]);
      Put(Op::kToDouble);
      return;
    case Shape::kUnary:
      Emit(*node.parts[0]);
      Put(node.sign == "not" ? Op::kNot : node.type == Type::kDouble ? Op::kNegateDouble : Op::kNegate);
      return;
    case Shape::kBinary:
      return EmitBinary(node);
    case Shape::kCall:
      return EmitCall(node);
    case Shape::kLookup: {
      Emit(*node.parts[0]);
      const auto& map = scope_.map_values[node.attribute];
      std::uint64_t steps = 2;
      for (std::size_t n = map->numbers.size() + map->texts.size(); n > 0; n /= 2) ++steps;
      const bool texts = IsText(node.parts[0]->type);
      program_.maps_.push_back(map);
      Put(texts ? Op::kLookupText : Op::kLookupNumber, program_.maps_.size() - 1,
          texts ? steps * (1 + node.parts[0]->longest / 8) : steps);
      return;
    }
    case Shape::kOr: {
      Put(Op::kHas, node.parts[0]->attribute);
      const std::size_t absent = Put(Op::kBranch);
      Emit(*node.parts[0]);
      const std::size_t done = Put(Op::kJump);
      Here(absent);
      Emit(*node.parts[1]);
      Here(done);
      return;
    }
    case Shape::kIf: {
      Emit(*node.parts[0]);
      const std::size_t otherwise = Put(Op::kBranch);
      Emit(*node.parts[1]);
      const std::size_t done = Put(Op::kJump);
      Here(otherwise);
      Emit(*node.parts[2]);
      Here(done);
      return;
    }
    case Shape::kRange:
      return EmitRange(node);
    case Shape::kIn:
      return EmitIn(node);
    case Shape::kMatches:
      return EmitMatches(node);
  }
}

void Generator::EmitCall(const Node& node) {
  if (node.token.text == "first" || node.token.text == "last") {
    Emit(*node.parts[0]);
    Emit(*node.parts[1]);
    Put(node.token.text == "first" ? Op::kFirst : Op::kLast);
    return;
  }
  EmitHash(*node.parts[0]);
  if (node.token.text == "bucket") {
    // Of the upper 63 bits, so that the rest is not negative.
    Constant(2);
    Put(Op::kDivide);
    Constant(node.parts[1]->number);
    Put(Op::kModulo);
    Constant(node.parts[1]->number);
    Put(Op::kAdd);
    Constant(node.parts[1]->number);
    Put(Op::kModulo);
    return;
  }
  for (std::size_t i = 1; i < node.parts.size(); ++i) {
    EmitHash(*node.parts[i]);
    Put(Op::kHashBoth);
  }
}

void Generator::EmitHash(const Node& node) {
  Emit(node);
  if (IsText(node.type)) {
    Put(Op::kHashText, 0, 1 + node.longest / 8);
  } else {
    Put(Op::kHashNumber);
  }
}

// value between low and high; the value is cheap or small, and is worked out twice.
void Generator::EmitRange(const Node& node) {
  const Node& low = *node.parts[1];
  const Node& high = *node.parts[2];
  const Op less = node.parts[0]->type == Type::kDouble ? Op::kLessEqualDouble : Op::kLessEqual;
  // 22:00 .. 6:00 goes over midnight: from the one on, or until the other.
  const bool wraps = low.type == Type::kTime && low.constant && high.constant && low.number > high.number;
  Emit(low);
  Emit(*node.parts[0]);
  Put(less);
  const std::size_t out = Put(wraps ? Op::kJumpIfTrue : Op::kJumpIfFalse);
  Emit(*node.parts[0]);
  Emit(high);
  Put(less);
  Here(out);
}

void Generator::EmitText(const Node& node) {
  const std::string_view sign = node.sign;
  const Node& left = *node.parts[0];
  const Node& right = *node.parts[1];
  // Texts have one order, less: a > b is b < a, and a <= b is not b < a.
  const bool turned = sign == ">" || sign == "<=";
  Emit(turned ? right : left);
  Emit(turned ? left : right);
  const std::uint64_t compare = 1 + std::max(left.longest, right.longest) / 8;
  if (sign == "==") Put(Op::kTextEqual, 0, compare);
  if (sign == "!=") Put(Op::kTextNotEqual, 0, compare);
  if (sign[0] == '<' || sign[0] == '>') Put(Op::kTextLess, 0, compare);
  if (sign == "<=" || sign == ">=") Put(Op::kNot);
  if (sign == "starts_with") Put(Op::kStartsWith, 0, compare);
  if (sign == "ends_with") Put(Op::kEndsWith, 0, compare);
  if (sign == "contains") Put(Op::kContains, 0, 1 + (left.longest + 1) * (right.longest / 8 + 1));
}

void Generator::EmitBinary(const Node& node) {
  const std::string_view sign = node.sign;
  const Node& left = *node.parts[0];
  const Node& right = *node.parts[1];
  if (sign == "and" || sign == "or") {
    Emit(left);
    const std::size_t out = Put(sign == "and" ? Op::kJumpIfFalse : Op::kJumpIfTrue);
    Emit(right);
    Here(out);
    return;
  }
  if (IsText(left.type)) return EmitText(node);
  // a > b is b < a, a >= b is b <= a.
  const bool turned = sign == ">" || sign == ">=";
  Emit(turned ? right : left);
  Emit(turned ? left : right);
  const bool doubles = left.type == Type::kDouble;
  // One zero and no NaN: doubles are equal where their bits are.
  if (sign == "==") Put(Op::kEqual);
  if (sign == "!=") Put(Op::kNotEqual);
  if (sign == "<" || sign == ">") Put(doubles ? Op::kLessDouble : Op::kLess);
  if (sign == "<=" || sign == ">=") Put(doubles ? Op::kLessEqualDouble : Op::kLessEqual);
  if (sign == "+") Put(doubles ? Op::kAddDouble : Op::kAdd);
  if (sign == "-") Put(doubles ? Op::kSubtractDouble : Op::kSubtract);
  if (sign == "*") Put(doubles ? Op::kMultiplyDouble : Op::kMultiply);
  if (sign == "/") Put(doubles ? Op::kDivideDouble : Op::kDivide);
  if (sign == "%") Put(Op::kModulo);
}

void Generator::EmitIn(const Node& node) {
  const Node& value = *node.parts[0];
  Emit(value);
  std::uint64_t steps = 2;
  for (std::size_t n = node.parts.size(); n > 0; n /= 2) ++steps;
  if (IsText(value.type)) {
    std::vector<std::string> list;
    for (std::size_t i = 1; i < node.parts.size(); ++i) list.push_back(node.parts[i]->token.value);
    std::sort(list.begin(), list.end());
    program_.words_.push_back(std::move(list));
    Put(Op::kInTexts, program_.words_.size() - 1, steps * (1 + value.longest / 8));
    return;
  }
  std::vector<std::int64_t> list;
  if (value.type == Type::kAddress) {
    std::vector<std::pair<std::int64_t, std::int64_t>> ranges;
    for (std::size_t i = 1; i < node.parts.size(); ++i)
      ranges.emplace_back(node.parts[i]->number, node.parts[i]->token.last);
    std::sort(ranges.begin(), ranges.end());
    for (const auto& [from, last] : ranges) {
      if (!list.empty() && from <= list.back()) {
        list.back() = std::max(list.back(), last);  // prefixes nest or lie apart
      } else {
        list.insert(list.end(), {from, last});
      }
    }
    program_.numbers_.push_back(std::move(list));
    Put(Op::kInRanges, program_.numbers_.size() - 1, steps + 1);
    return;
  }
  for (std::size_t i = 1; i < node.parts.size(); ++i) list.push_back(node.parts[i]->number);
  std::sort(list.begin(), list.end());
  program_.numbers_.push_back(std::move(list));
  Put(Op::kInNumbers, program_.numbers_.size() - 1, steps);
}

void Generator::EmitMatches(const Node& node) {
  Emit(*node.parts[0]);
  re2::RE2::Options options;
  options.set_log_errors(false);
  options.set_max_mem(1 << 20);
  auto pattern = std::make_shared<re2::RE2>(node.token.value, options);
  if (!pattern->ok()) {
    reporter_->Say(node.token.at, "expected a regular expression, found a fault: " + pattern->error());
    failed_ = true;
    return;
  }
  if (pattern->ProgramSize() > limits_.largest_pattern) {
    reporter_->Say(node.token.at, "expected a regular expression of at most " +
                                      std::to_string(limits_.largest_pattern) + " states, found " +
                                      std::to_string(pattern->ProgramSize()));
    failed_ = true;
    return;
  }
  // RE2 takes at most a pass over the text for each state.
  const auto states = static_cast<std::uint64_t>(pattern->ProgramSize());
  program_.patterns_.push_back(std::move(pattern));
  Put(Op::kMatches, program_.patterns_.size() - 1, 1 + states * (node.parts[0]->longest + 1) / 16);
}

}  // namespace croftrun::expr
