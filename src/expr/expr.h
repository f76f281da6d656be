// A small typed language for matching calls. Rules and expressions are compiled once, and an upper bound of their cost
// is known at load.
//
// An expression that has been compiled cannot fail at run time: types, names and absent attributes are checked at load,
// every operation is total (integers saturate, x / 0 and x % 0 are 0), jumps only go forward, and the cost bound covers
// the worst input within the declared sizes. Evaluation allocates no memory and reads no clock. The grammar and the
// cost model are described in docs/expressions.md.
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

// An attribute of a call that expressions can refer to by name.
struct Attribute {
  std::string name;
  Type type = Type::kInt;
  std::string enumeration;      // name of the enumeration, if the type is kEnum
  std::size_t max_octets = 64;  // of a text; the caller truncates longer values
  bool optional = false;        // may be absent: can be used only where has(name) is true, or with `name default ...`
};
// The attributes of a call, and the enumerations, which come from the settings.
struct Schema {
  std::vector<Attribute> attributes;                             // an input holds its values in this order
  std::map<std::string, std::vector<std::string>> enumerations;  // words by name of the enumeration
};

// Limits on the size and the cost of rule files and expressions.
struct Limits {
  std::size_t max_octets = 4 << 20;  // of a rule file
  std::size_t max_tokens = 1'000'000;
  std::size_t max_depth = 64;
  std::size_t max_list_items = 4096;
  std::size_t max_rules = 20'000;
  std::size_t max_counters = 16;
  std::size_t max_counter_keys = 1 << 20;  // of one counter
  std::uint64_t max_cost = 100'000;        // of one expression
  int max_pattern_states = 2'000;          // states of the compiled program of a regular expression
  std::size_t max_errors = 50;
  bool keep_conjuncts = false;  // of each rule's condition, to explain why it matches
};

// An error in a rule file or an expression.
struct Diagnostic {
  std::size_t line = 0, column = 0;  // from 1
  std::string text;                  // what was expected and what was found
  std::string excerpt;               // the source line, with a caret below the position
};
// Formats the errors, each with its position and its source line.
std::string ToString(const std::vector<Diagnostic>& errors);

// ---- byte code ----

// The instructions of the stack machine. Operations pop their arguments and push one result, unless stated otherwise.
enum class Op : std::uint8_t {
  kConstant,   // push constants[operand]
  kAttribute,  // push input[operand]
  kHas,        // push whether input[operand] is present
  kShared,     // push the value of shared program `operand`, which is evaluated once a call
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
  kHashCombine,  // the hash of two hashes
  kInNumbers,    // whether number_lists[operand] contains the number
  kInRanges,     // the same for a list of ranges, as pairs of the first and the last number
  kInTexts,
  kLookupNumber,
  kLookupText,   // the value in maps[operand]
  kMatches,      // whether the text matches patterns[operand]
  kJumpIfFalse,  // jumps to `operand` and keeps the value, or pops it and continues
  kJumpIfTrue,
  kBranchIfFalse,  // pops the value; jumps to `operand` if it is false
  kJump,
};
// An instruction and an upper bound of its cost.
struct Instruction {
  Op op = Op::kConstant;
  std::uint32_t operand = 0;
  std::uint32_t cost = 1;
};

// A map between constants. Keys that it does not contain have `default_value`.
struct ConstantMap {
  std::vector<std::pair<std::int64_t, Value>> numbers;  // sorted; all keys are either numbers or texts
  std::vector<std::pair<std::string, Value>> texts;
  std::vector<std::shared_ptr<std::string>> text_storage;  // storage of the text values
  Value default_value;
};

class Program;
// The values of the shared programs for the call that a thread is processing. It grows only at the first call after a
// change of the rules.
struct SharedValueCache {
  const std::vector<Program>* programs = nullptr;
  std::vector<Cell> values;
  std::vector<std::uint64_t> computed_in_call;  // the call that each value belongs to
  std::uint64_t call_number = 0;
};

// A compiled expression: code of a stack machine.
class Program {
 public:
  Program() = default;
  // Returns the value; its type is known from the compilation. If `steps` is given, the actual cost is added to it.
  // `cache` is required if the program refers to shared programs.
  Value Run(const Input& input, std::uint64_t* steps = nullptr, SharedValueCache* cache = nullptr) const;
  // Runs a condition and returns its value.
  bool Test(const Input& input, std::uint64_t* steps = nullptr, SharedValueCache* cache = nullptr) const {
    return Run(input, steps, cache).number != 0;
  }
  std::uint64_t cost_bound() const { return cost_bound_; }
  Type type() const { return type_; }
  std::size_t size() const { return code_.size(); }
  // Checks what Run relies on: operands in range, jumps forward and inside the program, and the stack within its depth.
  // Compiled programs always pass; the check is for code from other sources, and for the tests.
  bool Verify(std::size_t attributes, std::size_t shared = 0) const;
  // Makes a program of unchecked code, for the tests of Verify. It must be verified before it is run.
  static Program FromInstructions(std::vector<Instruction> code, std::size_t constants);

 private:
  friend class Generator;
  static constexpr std::size_t kMaxStackDepth = 160;
  std::vector<Instruction> code_;
  std::vector<Value> constants_;
  std::vector<std::shared_ptr<std::string>> text_constants_;  // storage of the text constants
  std::vector<std::vector<std::int64_t>> number_lists_;       // sorted
  std::vector<std::vector<std::string>> text_lists_;          // sorted
  std::vector<std::shared_ptr<re2::RE2>> patterns_;
  std::vector<std::shared_ptr<const ConstantMap>> maps_;
  std::uint64_t cost_bound_ = 0;
  Type type_ = Type::kBool;
};

// ---- rules ----

// The changes that a rule makes to a call that it matches. What is absent is left unchanged.
struct Effects {
  std::optional<int> call_class, customer;  // indexes in the enumerations `class` and `customer`
  std::optional<int> priority;
  std::optional<std::int64_t> budget_us;  // limits the time that the caller waits
  std::optional<Program> key;             // the call is counted and queued by this key instead of the number called
  bool refuse = false;
  std::int64_t retry_after_us = 0;
  bool redial = false;
  std::vector<std::string> tags;
};
// One operand of the top-level `and` of a rule's condition; all of them must hold for the rule to match.
struct Conjunct {
  std::string text;
  Program program;
};
// A compiled rule.
struct Rule {
  std::string name;
  std::size_t line = 0;
  Program condition;
  Effects effects;
  std::vector<Constraint> constraints;  // the necessary conditions that have a simple form
  std::vector<Conjunct> conjuncts;      // only with Limits::keep_conjuncts
};

// A counter by key over a sliding window, as a rule file declares it.
struct Counter {
  std::string name, signature;  // after a reload, a counter with the same signature keeps its counts
  std::vector<Program> key_parts;
  std::optional<Program> distinct_item, condition;
  std::int64_t window_us = 0;
  std::size_t max_keys = 0;
  std::size_t input_index = 0;
};

// A call given by constants, and the rule that it is expected to match.
struct Example {
  std::string name;
  std::size_t line = 0;
  std::vector<std::pair<std::size_t, Value>> given;  // index of the attribute and its value
  std::vector<std::shared_ptr<std::string>> text_storage;
  std::int64_t wall_us = 0;
  std::string expected_rule;  // name of the rule; empty if none is expected to match
};

// The time at which the rules are applied to a call.
struct CallTime {
  std::uint64_t now_us = 0;  // of a monotonic clock, for the counters
  std::int64_t wall_us = 0;  // Unix time, for the calendar
};

// The combined effects of the rules that match a call.
struct Outcome {
  static constexpr std::size_t kMaxTags = 16;
  int rule = -1;  // the first that matched; -1 if none did
  std::size_t matched = 0;
  std::optional<int> call_class, customer, priority;
  std::optional<std::int64_t> budget_us;
  std::optional<std::uint64_t> key;
  bool refuse = false, redial = false;
  std::int64_t retry_after_us = 0;
  std::array<const std::string*, kMaxTags> tags{};
  std::size_t tag_count = 0;
};

// A finding about a rule that is not an error.
struct Note {
  std::size_t line = 0;
  std::string text;
};

// The rules of a file, in order. With `match first` (the default), only the first rule that matches takes effect. With
// `match all`, every rule that matches sets what the rules before it left unset, up to a rule that refuses the call.
class RuleSet {
 public:
  std::vector<Rule> rules;
  bool match_all = false;
  std::vector<Program> shared_programs;  // subexpressions that occur more than once
  std::vector<CalendarInput> calendar;
  std::vector<Counter> counters;
  std::vector<Example> examples;
  std::size_t attribute_count = 0, input_count = 0;  // in the schema; with those that AddDerivedInputs adds
  std::uint64_t cost_bound = 0;                      // sum over all conditions
  RuleIndex index;

  // Adds calendar values and counters to an input that holds the schema's attributes, and counts the call. Must be
  // called once a call, before Match or Apply. If `state` is null, all counters read 0.
  void AddDerivedInputs(Input* input, const CallTime& call_time, RuleState* state) const;
  // Returns the index of the first rule that matches, or -1.
  int Match(const Input& input, std::uint64_t* steps = nullptr) const;
  // Collects the effects of the rules that match.
  void Apply(const Input& input, Outcome* outcome, std::uint64_t* steps = nullptr) const;
  // Reports rules that cannot match or are never reached; with `overlaps` also pairs of rules that may match the same
  // call and have different effects. At most `max_pairs` pairs are compared; if that was not all, the last note says
  // so.
  std::vector<Note> FindIssues(bool overlaps, std::size_t max_pairs) const;

 private:
  SharedValueCache* BeginCall() const;
};

// Compiles a single expression. Returns nothing if it has errors.
std::optional<Program> CompileExpression(std::string_view text, const Schema& schema, const Limits& limits,
                                         std::vector<Diagnostic>* errors);
// Compiles a rule file. Reports all errors of the file at once, and returns nothing if there are any.
std::optional<RuleSet> CompileRules(std::string_view text, const Schema& schema, const Limits& limits,
                                    std::vector<Diagnostic>* errors);

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_EXPR_H_
