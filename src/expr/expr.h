// Package expr: a small typed language for matching calls, compiled once, with a cost bound known at load.
//
// An expression is refused at load or it cannot fail: types, names and absent attributes are checked, every operation
// is total (integers saturate, x / 0 and x % 0 are 0), jumps only go forward, and the bound covers the worst input
// within the declared sizes. Evaluation allocates nothing and reads no clock. Grammar and cost model:
// docs/expressions.md.
#ifndef CROFTRUN_EXPR_EXPR_H_
#define CROFTRUN_EXPR_EXPR_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "expr/calendar.h"
#include "expr/index.h"
#include "expr/value.h"

namespace re2 {
class RE2;
}

namespace croftrun::expr {

class RuleState;

// What the language knows of a call: attributes by name, enumerations from the settings.
struct Attribute {
  std::string name;
  Type type = Type::kInt;
  std::string enumeration;   // kEnum: which
  std::size_t longest = 64;  // of texts: octets; the caller cuts longer values
  bool optional = false;     // may be absent: used only where has(name) holds, or with `name default ...`
};
struct Schema {
  std::vector<Attribute> attributes;                             // an input holds values in this order
  std::map<std::string, std::vector<std::string>> enumerations;  // name to its words
};

struct Limits {
  std::size_t most_octets = 4 << 20;  // of a file
  std::size_t most_tokens = 1'000'000;
  std::size_t deepest = 64;
  std::size_t longest_list = 4096;
  std::size_t most_rules = 20'000;
  std::size_t most_counters = 16;
  std::size_t most_keys = 1 << 20;       // of a counter
  std::uint64_t highest_cost = 100'000;  // of one expression
  int largest_pattern = 2'000;           // states of a regular expression's program
  std::size_t most_mistakes = 50;
  bool keep_parts = false;  // of each rule, to explain it
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
  kShared,     // push what shared program a gives, worked out once a call
  kNot,
  kNegate,
  kAdd,
  kSubtract,
  kMultiply,
  kDivide,
  kModulo,
  kEqual,
  kNotEqual,
  kLess,
  kLessEqual,
  kToDouble,
  kNegateDouble,
  kAddDouble,
  kSubtractDouble,
  kMultiplyDouble,
  kDivideDouble,
  kLessDouble,
  kLessEqualDouble,
  kTextEqual,
  kTextNotEqual,
  kTextLess,
  kStartsWith,
  kEndsWith,
  kContains,
  kLength,
  kFirst,
  kLast,
  kHashNumber,
  kHashText,
  kHashBoth,   // of one value; of two hashes
  kInNumbers,  // number lists[a]
  kInRanges,   // the same, in pairs of first and last
  kInTexts,
  kLookupNumber,
  kLookupText,   // maps[a]
  kMatches,      // patterns[a]
  kJumpIfFalse,  // to a, keeping the value; else it is popped
  kJumpIfTrue,
  kBranch,  // pops; to a if false
  kJump,
};
struct Instruction {
  Op op = Op::kConstant;
  std::uint32_t a = 0;
  std::uint32_t cost = 1;  // at most
};

// A map of constants: what is not in it has the value of `otherwise`.
struct ConstantMap {
  std::vector<std::pair<std::int64_t, Value>> numbers;  // sorted; keys are of one kind
  std::vector<std::pair<std::string, Value>> texts;
  std::vector<std::shared_ptr<std::string>> owned;  // what text values refer to
  Value otherwise;
};

class Program;
// Values of shared programs for the call that a thread is at. Grown at the first call after a change of rules only.
struct Scratch {
  const std::vector<Program>* shared = nullptr;
  std::vector<Cell> memo;
  std::vector<std::uint64_t> stamp;  // of which call the memo is
  std::uint64_t call = 0;
};

class Program {
 public:
  Program() = default;
  // The value; the type is known from the compilation. `steps`, if given, gets the cost that was really spent.
  // `scratch` is needed where the program refers to shared ones.
  Value Run(const Input& input, std::uint64_t* steps = nullptr, Scratch* scratch = nullptr) const;
  bool Test(const Input& input, std::uint64_t* steps = nullptr, Scratch* scratch = nullptr) const {
    return Run(input, steps, scratch).number != 0;
  }
  std::uint64_t cost_bound() const { return cost_bound_; }
  Type type() const { return type_; }
  std::size_t size() const { return code_.size(); }
  // What the machine relies on: operands in range, jumps forward and inside, the stack within its depth. Programs made
  // by Compile always pass; it stands for programs from elsewhere, and for the tests.
  bool Verify(std::size_t attributes, std::size_t shared = 0) const;
  // Unchecked code, for the tests of Verify: it must be verified before it is run.
  static Program OfCode(std::vector<Instruction> code, std::size_t constants);

 private:
  friend class Generator;
  static constexpr std::size_t kDeepestStack = 160;
  std::vector<Instruction> code_;
  std::vector<Value> constants_;
  std::vector<std::shared_ptr<std::string>> texts_;  // what constants refer to
  std::vector<std::vector<std::int64_t>> numbers_;   // sorted
  std::vector<std::vector<std::string>> words_;      // sorted
  std::vector<std::shared_ptr<re2::RE2>> patterns_;
  std::vector<std::shared_ptr<const ConstantMap>> maps_;
  std::uint64_t cost_bound_ = 0;
  Type type_ = Type::kBool;
};

// ---- rules ----

// What a rule does to a call it matches; absent: left as it is.
struct Effects {
  std::optional<int> call_class, customer;  // words of the enumerations `class` and `customer`
  std::optional<int> priority;
  std::optional<std::int64_t> budget_us;  // the caller's time is cut to this
  std::optional<Program> key;             // what the call is counted and held by, in place of the number called
  bool refuse = false;
  std::int64_t pause_us = 0;
  bool redial = false;
  std::vector<std::string> tags;
};
// Something that must hold for a rule to match, by itself.
struct RulePart {
  std::string text;
  Program program;
};
struct Rule {
  std::string name;
  std::size_t line = 0;
  Program when;
  Effects effects;
  std::vector<Constraint> constraints;  // what must hold for it to match, as far as it is of a simple form
  std::vector<RulePart> parts;          // only where the limits ask for them
};

struct Counter {
  std::string name, signature;  // the signature tells whether a reload may go on with the counts
  std::vector<Program> key;
  std::optional<Program> distinct, when;
  std::int64_t window_us = 0;
  std::size_t keys = 0;
  std::size_t input = 0;
};

// A call given by constants, and what the rules should say of it.
struct Example {
  std::string name;
  std::size_t line = 0;
  std::vector<std::pair<std::size_t, Value>> given;  // attribute and value
  std::vector<std::shared_ptr<std::string>> owned;
  std::int64_t wall_us = 0;
  std::string expected;  // the name of a rule; empty: none
};

// What is known when a call is looked at.
struct Moment {
  std::uint64_t now_us = 0;  // of a clock that never steps: counters
  std::int64_t wall_us = 0;  // Unix time: the calendar
};

// What the rules make of a call.
struct Outcome {
  static constexpr std::size_t kMostTags = 16;
  int rule = -1;  // the first that matched
  std::size_t matched = 0;
  std::optional<int> call_class, customer, priority;
  std::optional<std::int64_t> budget_us;
  std::optional<std::uint64_t> key;
  bool refuse = false, redial = false;
  std::int64_t pause_us = 0;
  std::array<const std::string*, kMostTags> tags{};
  std::size_t tag_count = 0;
};

struct Note {
  std::size_t line = 0;
  std::string text;
};

// Rules in order. `match first` (the default): the first that matches decides. `match all`: every one that matches adds
// what those before it left open; a refusal ends it.
class RuleSet {
 public:
  std::vector<Rule> rules;
  bool all = false;
  std::vector<Program> shared;  // parts that more than one rule has
  std::vector<CalendarInput> calendar;
  std::vector<Counter> counters;
  std::vector<Example> examples;
  std::size_t attributes = 0, inputs = 0;  // of the schema; with what Extend adds
  std::uint64_t cost_bound = 0;            // of all conditions together
  RuleIndex index;

  // Adds calendar values and counters to an input of the schema's attributes; the call is counted. To be done once a
  // call, before the rules are asked. `state` may be null: counters then read 0.
  void Extend(Input* input, const Moment& moment, RuleState* state) const;
  // The number of the first rule that matches, -1 for none.
  int Match(const Input& input, std::uint64_t* steps = nullptr) const;
  void Apply(const Input& input, Outcome* outcome, std::uint64_t* steps = nullptr) const;
  // Rules that cannot match, or never get to; with `overlaps` also pairs that may match the same call and do not do the
  // same. At most `most_pairs` pairs are looked at; whether that was all stands in the last note if not.
  std::vector<Note> Report(bool overlaps, std::size_t most_pairs) const;

 private:
  Scratch* NextCall() const;
};

std::optional<Program> CompileExpression(std::string_view text, const Schema& schema, const Limits& limits,
                                         std::vector<Mistake>* mistakes);
// All mistakes of the file at once; nothing where there was one.
std::optional<RuleSet> CompileRules(std::string_view text, const Schema& schema, const Limits& limits,
                                    std::vector<Mistake>* mistakes);

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_EXPR_H_
