// Package expr: a small typed language for matching calls, compiled once, with a cost bound known at load. No I/O.
//
// An expression is refused at load or it cannot fail: types, names and absent attributes are checked, every operation is
// total (integers saturate, x / 0 and x % 0 are 0), jumps only go forward, and the bound covers the worst input within the
// declared sizes. Evaluation allocates nothing. Grammar and cost model: docs/expressions.md.
#ifndef CROFTRUN_EXPR_EXPR_H_
#define CROFTRUN_EXPR_EXPR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace re2 {
class RE2;
}

namespace croftrun::expr {

enum class Type : std::uint8_t { kBool, kInt, kString, kDuration, kEnum };

// What the language knows of a call: attributes by name, enumerations from the settings.
struct Attribute {
  std::string name;
  Type type = Type::kInt;
  std::string enumeration;        // kEnum: which
  std::size_t longest = 64;       // kString: octets; longer values are cut before they are matched
  bool optional = false;          // may be absent: used only where has(name) holds, or with `name or default`
};
struct Schema {
  std::vector<Attribute> attributes;                             // an input holds values in this order
  std::map<std::string, std::vector<std::string>> enumerations;  // name to its words
};

// One attribute's value; `text` is valid as long as its owner.
struct Value {
  std::int64_t number = 0;  // bool, int, duration in microseconds, index of an enumeration's word
  std::string_view text;
  bool present = true;
};
using Input = std::vector<Value>;

struct Limits {
  std::size_t most_octets = 1 << 20;  // of a file
  std::size_t most_tokens = 200'000;
  std::size_t deepest = 64;
  std::size_t longest_list = 4096;
  std::uint64_t highest_cost = 100'000;  // of one expression
  int largest_pattern = 2'000;           // states of a regular expression's program
  std::size_t most_mistakes = 50;
};

struct Mistake {
  std::size_t line = 0, column = 0;  // from 1
  std::string text;                  // what was expected, what was found
  std::string shown;                 // the line and a caret under the place
};
std::string ToString(const std::vector<Mistake>& mistakes);

// ---- byte code ----

enum class Op : std::uint8_t {
  kConstant,   // push constants[a]
  kAttribute,  // push input[a]
  kHas,        // push whether input[a] is present
  kNot, kNegate, kAdd, kSubtract, kMultiply, kDivide, kModulo,
  kEqual, kNotEqual, kLess, kLessEqual,
  kTextEqual, kTextNotEqual, kTextLess, kStartsWith, kEndsWith, kContains, kLength,
  kInNumbers,  // number lists[a]
  kInTexts,
  kMatches,    // patterns[a]
  kJumpIfFalse,  // to a, keeping the value; else it is popped
  kJumpIfTrue,
  kBranch,       // pops; to a if false
  kJump,
};
struct Instruction {
  Op op = Op::kConstant;
  std::uint32_t a = 0;
  std::uint32_t cost = 1;  // at most
};

class Program {
 public:
  Program() = default;
  // The value; the type is known from the compilation. `steps`, if given, gets the cost that was really spent.
  Value Run(const Input& input, std::uint64_t* steps = nullptr) const;
  bool Test(const Input& input, std::uint64_t* steps = nullptr) const { return Run(input, steps).number != 0; }
  std::uint64_t cost_bound() const { return cost_bound_; }
  Type type() const { return type_; }
  std::size_t size() const { return code_.size(); }
  // What the machine relies on: operands in range, jumps forward and inside, the stack within its depth. Programs made
  // by Compile always pass; it stands for programs from elsewhere, and for the tests.
  bool Verify(std::size_t attributes) const;

 private:
  friend class Generator;
  static constexpr std::size_t kDeepestStack = 160;
  std::vector<Instruction> code_;
  std::vector<Value> constants_;
  std::vector<std::shared_ptr<std::string>> texts_;  // what constants refer to
  std::vector<std::vector<std::int64_t>> numbers_;   // sorted
  std::vector<std::vector<std::string>> words_;      // sorted
  std::vector<std::shared_ptr<re2::RE2>> patterns_;
  std::uint64_t cost_bound_ = 0;
  Type type_ = Type::kBool;
};

// ---- rules ----

// What a rule does to a call it matches; absent: left as it is.
struct Effects {
  std::optional<int> call_class, customer;  // words of the enumerations `class` and `customer`
  bool refuse = false;
  std::int64_t pause_us = 0;
  bool redial = false;
  std::vector<std::string> tags;
};
struct Rule {
  std::string name;
  std::size_t line = 0;
  Program when;
  Effects effects;
};

// Rules in order; the first that matches decides.
struct RuleSet {
  std::vector<Rule> rules;
  std::uint64_t cost_bound = 0;  // of all conditions together
  // The index of the rule that matches, -1 for none.
  int Match(const Input& input, std::uint64_t* steps = nullptr) const;
};

std::optional<Program> CompileExpression(std::string_view text, const Schema& schema, const Limits& limits,
                                         std::vector<Mistake>* mistakes);
// All mistakes of the file at once; nothing where there was one.
std::optional<RuleSet> CompileRules(std::string_view text, const Schema& schema, const Limits& limits,
                                    std::vector<Mistake>* mistakes);

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_EXPR_H_
