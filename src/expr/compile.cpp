// Compiles rule files and single expressions. Each stage continues after an error where it can, so that all errors of a
// file are reported at once.
#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "expr/check.h"
#include "expr/expr.h"
#include "expr/generate.h"
#include "expr/lex.h"
#include "expr/tree.h"

namespace croftrun::expr {
namespace {

constexpr std::size_t kDefaultCounterKeys = 65'536;
// Longer lists and ranges are not indexed by their values.
constexpr std::size_t kMaxIndexedValues = 128;
constexpr std::size_t kMaxTagsPerRule = 8;

bool IsInputName(const Node& node) { return node.kind == NodeKind::kName && !node.constant; }

bool CheckSize(std::string_view text, const Limits& limits, Reporter* reporter) {
  if (text.size() <= limits.max_octets) return true;
  reporter->Report(
      0, "expected at most " + std::to_string(limits.max_octets) + " octets, found " + std::to_string(text.size()));
  return false;
}

// ---- necessary conditions, for the index and the report ----

using Key = RuleIndex::Key;

std::optional<Key> MakeIndexKey(const Node& input, const Node& constant, Key::Kind text_kind) {
  if (!IsInputName(input) || !constant.constant || input.type == Type::kAddress) return std::nullopt;
  if (IsText(input.type)) return Key{input.index, text_kind, 0, constant.token.value};
  return Key{input.index, Key::Kind::kNumber, constant.number, {}};
}

// Returns key sets for the index. The condition can be true only if at least one key of each set matches.
std::vector<RuleIndex::KeySet> FindKeySets(const Node& node) {
  std::vector<RuleIndex::KeySet> key_sets;
  if (node.kind == NodeKind::kBinary) {
    const Node& left = *node.children[0];
    const Node& right = *node.children[1];
    if (node.op == "==") {
      auto key = MakeIndexKey(left, right, Key::Kind::kText);
      if (!key) key = MakeIndexKey(right, left, Key::Kind::kText);
      if (key) key_sets.push_back({*key});
    } else if (node.op == "starts_with") {
      if (const auto key = MakeIndexKey(left, right, Key::Kind::kPrefix)) key_sets.push_back({*key});
    } else if (node.op == "and" || node.op == "or") {
      auto left_sets = FindKeySets(left), right_sets = FindKeySets(right);
      if (node.op == "and") {
        key_sets = std::move(left_sets);
        key_sets.insert(key_sets.end(), std::make_move_iterator(right_sets.begin()),
                        std::make_move_iterator(right_sets.end()));
      } else if (!left_sets.empty() && !right_sets.empty()) {
        const auto fewer = [](const auto& a, const auto& b) { return a.size() < b.size(); };
        RuleIndex::KeySet any_of_both = *std::min_element(left_sets.begin(), left_sets.end(), fewer);
        const auto& other = *std::min_element(right_sets.begin(), right_sets.end(), fewer);
        any_of_both.insert(any_of_both.end(), other.begin(), other.end());
        if (any_of_both.size() <= kMaxIndexedValues) key_sets.push_back(std::move(any_of_both));
      }
    }
  } else if (node.kind == NodeKind::kInList && node.children.size() <= kMaxIndexedValues + 1) {
    RuleIndex::KeySet key_set;
    for (std::size_t i = 1; i < node.children.size(); ++i) {
      const auto key = MakeIndexKey(*node.children[0], *node.children[i], Key::Kind::kText);
      if (!key) return key_sets;
      key_set.push_back(*key);
    }
    key_sets.push_back(std::move(key_set));
  } else if (node.kind == NodeKind::kInRange && IsInputName(*node.children[0]) &&
             node.children[0]->type == Type::kInt) {
    const Node& low = *node.children[1];
    const Node& high = *node.children[2];
    const bool small =
        low.constant && high.constant && high.number >= low.number &&
        static_cast<std::uint64_t>(high.number) - static_cast<std::uint64_t>(low.number) < kMaxIndexedValues;
    if (!small) return key_sets;
    RuleIndex::KeySet key_set;
    for (std::int64_t n = low.number;; ++n) {
      key_set.push_back({node.children[0]->index, Key::Kind::kNumber, n, {}});
      if (n == high.number) break;
    }
    key_sets.push_back(std::move(key_set));
  }
  return key_sets;
}

// Adds a constraint for each operand of the top-level `and`; it has the kind kOther if it has no simple form.
void AddConstraints(const Node& node, std::vector<Constraint>* constraints) {
  if (node.kind == NodeKind::kBinary && node.op == "and") {
    AddConstraints(*node.children[0], constraints);
    AddConstraints(*node.children[1], constraints);
    return;
  }
  Constraint c;
  c.value_number = node.value_number;
  using ConstraintKind = Constraint::Kind;
  if (node.constant) {
    if (node.number != 0) return;  // always true
    c.kind = ConstraintKind::kNever;
  } else if (node.kind == NodeKind::kBinary && (node.op == "==" || node.op == "starts_with")) {
    const bool swapped = !IsInputName(*node.children[0]);
    const auto key = MakeIndexKey(*node.children[swapped ? 1 : 0], *node.children[swapped ? 0 : 1], Key::Kind::kText);
    if (key && !(swapped && node.op == "starts_with")) {
      c.input_index = key->input_index;
      c.kind = node.op == "starts_with"        ? ConstraintKind::kPrefix
               : key->kind == Key::Kind::kText ? ConstraintKind::kTexts
                                               : ConstraintKind::kNumbers;
      if (c.kind == ConstraintKind::kNumbers) c.numbers = {key->number};
      if (c.kind != ConstraintKind::kNumbers) c.texts = {key->text};
    }
  } else if (node.kind == NodeKind::kInList && IsInputName(*node.children[0]) &&
             node.children[0]->type != Type::kAddress) {
    c.input_index = node.children[0]->index;
    c.kind = IsText(node.children[0]->type) ? ConstraintKind::kTexts : ConstraintKind::kNumbers;
    for (std::size_t i = 1; i < node.children.size(); ++i) {
      if (c.kind == ConstraintKind::kTexts) c.texts.push_back(node.children[i]->token.value);
      if (c.kind == ConstraintKind::kNumbers) c.numbers.push_back(node.children[i]->number);
    }
    std::sort(c.texts.begin(), c.texts.end());
    std::sort(c.numbers.begin(), c.numbers.end());
  } else if (node.kind == NodeKind::kInRange && IsInputName(*node.children[0]) &&
             node.children[0]->type != Type::kDouble) {
    const Node& low = *node.children[1];
    const Node& high = *node.children[2];
    const bool wraps = node.children[0]->type == Type::kTime && low.number > high.number;
    if (low.constant && high.constant && !wraps) {
      c.input_index = node.children[0]->index;
      c.kind = low.number > high.number ? ConstraintKind::kNever : ConstraintKind::kRange;
      c.numbers = {low.number, high.number};
    }
  } else if (node.kind == NodeKind::kBinary && (node.op[0] == '<' || node.op[0] == '>')) {
    const bool swapped = !IsInputName(*node.children[0]);
    const Node& input = *node.children[swapped ? 1 : 0];
    const Node& bound = *node.children[swapped ? 0 : 1];
    if (IsInputName(input) && bound.constant && !IsText(input.type) && input.type != Type::kDouble) {
      constexpr auto kMin = std::numeric_limits<std::int64_t>::min(), kMax = std::numeric_limits<std::int64_t>::max();
      const bool below = (node.op[0] == '<') != swapped;
      const bool strict = node.op.size() == 1;
      c.input_index = input.index;
      c.kind = strict && bound.number == (below ? kMin : kMax) ? ConstraintKind::kNever : ConstraintKind::kRange;
      const std::int64_t limit = c.kind == ConstraintKind::kNever || !strict ? bound.number
                                 : below                                     ? bound.number - 1
                                                                             : bound.number + 1;
      c.numbers = below ? std::vector<std::int64_t>{kMin, limit} : std::vector<std::int64_t>{limit, kMax};
    }
  }
  constraints->push_back(std::move(c));
}

// ---- rule files ----

// Reads a rule file into a rule set.
class FileReader {
 public:
  FileReader(std::string_view text, Parser* parser, Scope* scope, const Limits& limits, Reporter* reporter,
             RuleSet* set)
      : text_(text), parser_(*parser), scope_(*scope), limits_(limits), reporter_(*reporter), set_(*set) {}

  void Read() {
    while (!parser_.AtEnd()) {
      const std::size_t errors_before = reporter_.error_count();
      const std::size_t start = parser_.Peek().offset;
      const bool complete = ReadItem();
      if (!complete && reporter_.error_count() == errors_before) parser_.ReportExpected("the rest of the item");
      if (!complete) SkipFailedItem(start);
    }
    if (set_.rules.size() > limits_.max_rules)
      reporter_.Report(0, "expected at most " + std::to_string(limits_.max_rules) + " rules, found " +
                              std::to_string(set_.rules.size()));
    CheckExamples();
    GeneratePrograms();
  }

 private:
  struct KeyEffect {
    std::size_t rule = 0;
    Tree key;
  };

  // Skips to the next item after an error, unless the parser is at the start of one already.
  void SkipFailedItem(std::size_t start) {
    if (parser_.Peek().offset > start &&
        (parser_.NextIs("rule") || parser_.NextIs("table") || parser_.NextIs("let") || parser_.NextIs("fn") ||
         parser_.NextIs("counter") || parser_.NextIs("example")))
      return;
    parser_.SkipPastSemicolon();
  }

  // Returns false if the item was not read to its end.
  bool ReadItem() {
    if (parser_.NextIs("rule")) return ReadRule();
    if (parser_.NextIs("table")) return ReadTable();
    if (parser_.Accept("let")) return ReadDefinition(false);
    if (parser_.Accept("fn")) return ReadDefinition(true);
    if (parser_.Accept("counter")) return ReadCounter();
    if (parser_.Accept("example")) return ReadExample();
    if (parser_.Accept("list")) return ReadList();
    if (parser_.Accept("map")) return ReadMap();
    if (parser_.Accept("zone")) return ReadZone();
    if (parser_.Accept("match")) {
      set_.match_all = parser_.NextIs("all");
      if (!parser_.Accept("all") && !parser_.Accept("first")) {
        parser_.ReportExpected("'first' or 'all'");
        return false;
      }
      return parser_.Expect(";");
    }
    parser_.ReportExpected("'rule', 'table', 'let', 'fn', 'list', 'map', 'counter', 'example', 'zone' or 'match'");
    return false;
  }

  std::size_t LineAt(std::size_t offset) {
    // Items are read in the order of the source, so newlines are counted from the previous item on.
    line_ += static_cast<std::size_t>(std::count(text_.begin() + static_cast<std::ptrdiff_t>(line_counted_to_),
                                                 text_.begin() + static_cast<std::ptrdiff_t>(offset), '\n'));
    line_counted_to_ = offset;
    return line_;
  }

  // Checks that no rule or table has the name yet: logs, examples and flow records identify a rule by its name alone.
  void RegisterRuleName(const Token& name, std::size_t line) {
    const auto [first, inserted] = rule_names_.emplace(std::string(name.text), line);
    if (!inserted)
      reporter_.Report(name.offset, "expected a name that no other rule has, found '" +
                                        std::string(name.text.substr(0, 40)) + "' of line " +
                                        std::to_string(first->second));
  }
  std::map<std::string, std::size_t> rule_names_;  // line by name

  bool ReadRule() {
    Rule rule;
    rule.line = LineAt(parser_.Peek().offset);
    parser_.Expect("rule");
    if (parser_.Peek().kind == TokenKind::kName && !parser_.NextIs("when")) {
      const Token name = parser_.Advance();
      rule.name = name.text;
      RegisterRuleName(name, rule.line);
    }
    if (!parser_.Expect("when")) return false;
    Tree condition = parser_.ParseExpression();
    const bool ok = condition != nullptr && Checker(&scope_, limits_, &reporter_).Check(*condition, Type::kBool);
    if (condition == nullptr) return false;
    if (!parser_.Expect("then")) return false;
    const std::size_t number = set_.rules.size();
    if (!ReadEffects(&rule.effects, number) || !parser_.Expect(";")) return false;
    AddRule(std::move(rule), ok ? std::move(condition) : nullptr);
    return true;
  }

  void AddRule(Rule rule, Tree condition) {
    set_.rules.push_back(std::move(rule));
    conditions_.push_back(std::move(condition));
  }

  // table NAME when OPERAND OPERATOR, ... { row CELL, ... => EFFECTS; ... }
  bool ReadTable() {
    const std::size_t table_line = LineAt(parser_.Peek().offset);
    parser_.Expect("table");
    Token name;
    if (!parser_.ExpectName(&name, "the name of the table")) return false;
    RegisterRuleName(name, table_line);
    if (!parser_.Expect("when")) return false;
    struct Column {
      Tree operand;
      std::string_view op;
      std::size_t offset = 0;
    };
    std::vector<Column> columns;
    do {
      Column column;
      column.operand = parser_.ParseOperand();
      if (column.operand == nullptr) return false;
      column.offset = parser_.Peek().offset;
      static constexpr std::string_view kOperators[] = {
          "==", "!=", "<", "<=", ">", ">=", "starts_with", "ends_with", "contains", "matches", "in"};
      const auto op =
          std::find_if(std::begin(kOperators), std::end(kOperators), [&](auto s) { return parser_.NextIs(s); });
      if (op == std::end(kOperators)) {
        parser_.ReportExpected("a comparison operator for the column");
        return false;
      }
      column.op = *op;
      parser_.Advance();
      columns.push_back(std::move(column));
    } while (parser_.Accept(","));
    if (!parser_.Expect("{")) return false;
    std::size_t row = 0;
    while (!parser_.Accept("}")) {
      if (parser_.AtEnd()) {
        parser_.ReportExpected("'row' or '}'");
        return false;
      }
      Rule rule;
      rule.name = std::string(name.text) + "." + std::to_string(++row);
      rule.line = std::max(table_line, LineAt(parser_.Peek().offset));
      Tree condition;
      bool read = parser_.Expect("row");
      for (std::size_t i = 0; read && i < columns.size(); ++i) {
        if (i > 0 && !(read = parser_.Expect(","))) break;
        if (parser_.Accept("*")) continue;
        Tree cell = ParseCell(*columns[i].operand, columns[i].op, columns[i].offset);
        read = cell != nullptr;
        if (read) condition = condition == nullptr ? std::move(cell) : MakeAnd(std::move(condition), std::move(cell));
      }
      if (read) {
        if (condition == nullptr) condition = MakeTrue();
        const bool ok = Checker(&scope_, limits_, &reporter_).Check(*condition, Type::kBool);
        read = parser_.Expect("=>") && ReadEffects(&rule.effects, set_.rules.size()) && parser_.Expect(";");
        if (read) AddRule(std::move(rule), ok ? std::move(condition) : nullptr);
      }
      if (!read) parser_.SkipPastSemicolon();
    }
    return true;
  }

  Tree ParseCell(const Node& operand, std::string_view op, std::size_t offset) {
    auto node = std::make_unique<Node>();
    if (op == "in") {
      node = parser_.ParseInOperand();
      if (node == nullptr) return nullptr;
      node->children[0] = Clone(operand);
      return node;
    }
    if (op == "matches") {
      node->kind = NodeKind::kMatches;
      node->offset = offset;
      node->children.push_back(Clone(operand));
      if (parser_.Peek().kind != TokenKind::kText) {
        parser_.ReportExpected("a regular expression as a text");
        return nullptr;
      }
      node->token = parser_.Advance();
      return node;
    }
    node->kind = NodeKind::kBinary;
    node->op = op;
    node->offset = parser_.Peek().offset;
    node->children.push_back(Clone(operand));
    node->children.push_back(parser_.ParseSigned());
    return node->children[1] == nullptr ? nullptr : std::move(node);
  }

  static Tree MakeAnd(Tree left, Tree right) {
    auto node = std::make_unique<Node>();
    node->kind = NodeKind::kBinary;
    node->op = "and";
    node->offset = right->offset;
    node->children.push_back(std::move(left));
    node->children.push_back(std::move(right));
    return node;
  }

  static Tree MakeTrue() {
    auto node = std::make_unique<Node>();
    node->token.kind = TokenKind::kName;
    node->token.text = "true";
    return node;
  }

  // let NAME = EXPRESSION; fn NAME(PARAMETER, ...) = EXPRESSION;
  bool ReadDefinition(bool with_parameters) {
    Token name;
    if (!parser_.ExpectName(&name, "a name to define") || !CheckUndefined(name)) return false;
    Scope::Function function;
    if (with_parameters) {
      if (!parser_.Expect("(")) return false;
      do {
        Token parameter;
        if (!parser_.ExpectName(&parameter, "the name of a parameter")) return false;
        function.parameters.emplace_back(parameter.text);
      } while (parser_.Accept(","));
      if (!parser_.Expect(")")) return false;
    }
    if (!parser_.Expect("=")) return false;
    function.body = parser_.ParseExpression();
    if (function.body == nullptr ||
        !Checker(&scope_, limits_, &reporter_).ExpandDefinitions(*function.body, function.parameters))
      return false;
    const bool resolved = Checker(&scope_, limits_, &reporter_).CheckNames(*function.body, function.parameters);
    // The type of a let is determined by its body, that of a function by its arguments. The enumeration of a word alone
    // is known only where it is used.
    if (resolved && !with_parameters && function.body->kind != NodeKind::kName &&
        function.body->kind != NodeKind::kIf) {
      Tree copy = Clone(*function.body);
      Checker(&scope_, limits_, &reporter_).Check(*copy, std::nullopt);
    }
    scope_.functions[std::string(name.text)] = std::move(function);
    return parser_.Expect(";");
  }

  // Checks that a name is not defined yet.
  bool CheckUndefined(const Token& name) {
    const std::string text(name.text);
    const bool taken =
        scope_.functions.count(text) + scope_.lists.count(text) + scope_.maps.count(text) > 0 || text == "weekday" ||
        text == "time" || text == "date" ||
        std::any_of(scope_.inputs.begin(), scope_.inputs.end(), [&](const Attribute& a) { return a.name == text; });
    if (taken)
      reporter_.Report(name.offset, "expected a name that means nothing yet, found '" + text.substr(0, 40) + "'");
    return !taken;
  }

  bool ReadList() {
    Token name;
    if (!parser_.ExpectName(&name, "the name of the list") || !CheckUndefined(name) || !parser_.Expect("="))
      return false;
    if (!parser_.NextIs("[")) {
      parser_.ReportExpected("'['");
      return false;
    }
    Tree list = parser_.ParseInOperand();
    if (list == nullptr) return false;
    scope_.lists[std::string(name.text)] = std::move(list);
    return parser_.Expect(";");
  }

  // map NAME by ATTRIBUTE default CONSTANT { KEY -> CONSTANT, ... };
  bool ReadMap() {
    Token name;
    if (!parser_.ExpectName(&name, "the name of the map") || !CheckUndefined(name) || !parser_.Expect("by"))
      return false;
    Token by;
    if (!parser_.ExpectName(&by, "the attribute that the map is looked up by")) return false;
    Node key;
    key.kind = NodeKind::kName;
    key.offset = by.offset;
    key.token = by;
    const auto attribute =
        std::find_if(scope_.inputs.begin(), scope_.inputs.end(), [&](const Attribute& a) { return a.name == by.text; });
    if (attribute == scope_.inputs.end() || attribute->type == Type::kAddress) {
      reporter_.Report(
          by.offset, "expected an attribute to look the map up by, found '" + std::string(by.text.substr(0, 40)) + "'");
      return false;
    }
    key.type = attribute->type;
    key.enumeration = attribute->enumeration;
    if (!parser_.Expect("default")) return false;
    Checker checker(&scope_, limits_, &reporter_);
    Tree default_value = parser_.ParseSigned();
    if (default_value == nullptr || !checker.Check(*default_value, std::nullopt) ||
        !checker.CheckConstant(*default_value, *default_value))
      return false;
    auto values = std::make_shared<ConstantMap>();
    Scope::Map map;
    map.index = scope_.map_values.size();
    map.key_type = key.type;
    map.key_enumeration = key.enumeration;
    map.value_type = default_value->type;
    const auto make_value = [&](const Node& constant) {
      map.max_octets = std::max(map.max_octets, constant.max_octets);
      if (!IsText(constant.type)) return Value{constant.number, {}, true};
      values->text_storage.push_back(std::make_shared<std::string>(constant.token.value));
      return Value{0, *values->text_storage.back(), true};
    };
    values->default_value = make_value(*default_value);
    if (!parser_.Expect("{")) return false;
    std::set<std::pair<std::int64_t, std::string>> seen;
    while (!parser_.NextIs("}")) {
      Tree entry_key = parser_.ParseSigned();
      if (entry_key == nullptr || !parser_.Expect("->")) return false;
      Tree value = parser_.ParseSigned();
      if (value == nullptr) return false;
      if (!checker.CheckConstant(*entry_key, key) || !checker.CheckConstant(*value, *default_value)) return false;
      const std::string text = IsText(key.type) ? entry_key->token.value : std::string();
      if (!seen.emplace(IsText(key.type) ? 0 : entry_key->number, text).second) {
        reporter_.Report(entry_key->offset, "expected each key once, found it again");
        return false;
      }
      if (seen.size() > limits_.max_list_items) {
        reporter_.Report(entry_key->offset,
                         "expected at most " + std::to_string(limits_.max_list_items) + " entries, found more");
        return false;
      }
      if (IsText(key.type)) {
        values->texts.emplace_back(text, make_value(*value));
      } else {
        values->numbers.emplace_back(entry_key->number, make_value(*value));
      }
      if (!parser_.Accept(",")) break;
    }
    const auto by_key = [](const auto& a, const auto& b) { return a.first < b.first; };
    std::sort(values->numbers.begin(), values->numbers.end(), by_key);
    std::sort(values->texts.begin(), values->texts.end(), by_key);
    scope_.map_values.push_back(std::move(values));
    scope_.maps[std::string(name.text)] = map;
    return parser_.Expect("}") && parser_.Expect(";");
  }

  bool ReadZone() {
    if (parser_.Peek().kind != TokenKind::kText) {
      parser_.ReportExpected("the name of a time zone as a text");
      return false;
    }
    const Token zone = parser_.Advance();
    if (!IsKnownTimeZone(zone.value)) {
      reporter_.Report(zone.offset, "expected the name of a time zone such as \"Europe/Vienna\", found \"" +
                                        zone.value.substr(0, 40) + "\"");
    } else {
      scope_.default_zone = zone.value;
    }
    return parser_.Expect(";");
  }

  std::optional<Program> ParseProgram(Type* type) {
    Tree tree = parser_.ParseExpression();
    if (tree == nullptr || !Checker(&scope_, limits_, &reporter_).Check(*tree, std::nullopt)) return std::nullopt;
    if (type != nullptr) *type = tree->type;
    return Generator(scope_, limits_, &reporter_).Generate(*tree);
  }

  // counter NAME by EXPRESSION, ... over DURATION [distinct EXPRESSION] [when CONDITION] [keys NUMBER];
  bool ReadCounter() {
    Counter counter;
    Token name;
    const std::size_t start = parser_.Peek().offset;
    if (!parser_.ExpectName(&name, "the name of the counter") || !CheckUndefined(name) || !parser_.Expect("by"))
      return false;
    counter.name = name.text;
    do {
      auto key_part = ParseProgram(nullptr);
      if (!key_part) return false;
      counter.key_parts.push_back(std::move(*key_part));
    } while (parser_.Accept(","));
    if (!parser_.Expect("over")) return false;
    const Token window_token = parser_.Peek();
    if (window_token.kind != TokenKind::kDuration || window_token.number < 8'000 ||
        window_token.number > 86'400'000'000) {
      parser_.ReportExpected("a duration from 8ms to 24h");
      return false;
    }
    counter.window_us = parser_.Advance().number;
    if (parser_.Accept("distinct")) {
      counter.distinct_item = ParseProgram(nullptr);
      if (!counter.distinct_item) return false;
    }
    if (parser_.Accept("when")) {
      Type type = Type::kBool;
      const std::size_t offset = parser_.Peek().offset;
      counter.condition = ParseProgram(&type);
      if (!counter.condition) return false;
      if (type != Type::kBool) {
        reporter_.Report(offset, "expected a condition, found " + std::string(DescribeType(type)));
        return false;
      }
    }
    counter.max_keys = std::min(kDefaultCounterKeys, limits_.max_counter_keys);
    if (parser_.Accept("keys")) {
      const Token keys_token = parser_.Peek();
      if (keys_token.kind != TokenKind::kInt || keys_token.number < 8 ||
          keys_token.number > static_cast<std::int64_t>(limits_.max_counter_keys)) {
        parser_.ReportExpected("a number of keys from 8 to " + std::to_string(limits_.max_counter_keys));
        return false;
      }
      counter.max_keys = static_cast<std::size_t>(parser_.Advance().number);
    }
    if (set_.counters.size() >= limits_.max_counters) {
      reporter_.Report(name.offset,
                       "expected at most " + std::to_string(limits_.max_counters) + " counters, found more");
      return false;
    }
    counter.signature = text_.substr(start, parser_.Peek().offset - start);
    Attribute attribute;
    attribute.name = counter.name;
    counter.input_index = scope_.inputs.size();
    scope_.inputs.push_back(attribute);
    set_.counters.push_back(std::move(counter));
    return parser_.Expect(";");
  }

  // example NAME given ATTRIBUTE = CONSTANT, ... [at DATE TIME] expect (RULE | none);
  bool ReadExample() {
    Example example;
    example.line = LineAt(parser_.Peek().offset);
    if (parser_.Peek().kind == TokenKind::kText) example.name = parser_.Advance().value;
    if (!parser_.Expect("given")) return false;
    Checker checker(&scope_, limits_, &reporter_);
    do {
      Token name;
      if (!parser_.ExpectName(&name, "the name of an attribute") || !parser_.Expect("=")) return false;
      const auto attribute = std::find_if(scope_.schema.attributes.begin(), scope_.schema.attributes.end(),
                                          [&](const Attribute& a) { return a.name == name.text; });
      if (attribute == scope_.schema.attributes.end()) {
        std::vector<std::string> names;
        for (const Attribute& a : scope_.schema.attributes) names.push_back(a.name);
        reporter_.Report(name.offset, "expected an attribute, found '" + std::string(name.text.substr(0, 40)) + "'" +
                                          Suggest(name.text, names));
        return false;
      }
      Node prototype;
      prototype.type = attribute->type;
      prototype.enumeration = attribute->enumeration;
      Tree value = parser_.ParseSigned();
      if (value == nullptr || !checker.CheckConstant(*value, prototype)) return false;
      Value given{value->number, {}, true};
      if (IsText(value->type)) {
        example.text_storage.push_back(std::make_shared<std::string>(value->token.value));
        given.text = *example.text_storage.back();
      }
      example.given.emplace_back(static_cast<std::size_t>(attribute - scope_.schema.attributes.begin()), given);
    } while (parser_.Accept(","));
    if (parser_.Accept("at")) {
      if (parser_.Peek().kind != TokenKind::kDate) {
        parser_.ReportExpected("a date such as 2026-12-24");
        return false;
      }
      const std::int64_t local = parser_.Advance().number * 86'400'000'000;
      if (parser_.Peek().kind != TokenKind::kTime) {
        parser_.ReportExpected("a time of day such as 18:30");
        return false;
      }
      example.wall_us = local + parser_.Advance().number;
      const auto zone = scope_.LoadTimeZone(scope_.default_zone);
      example.wall_us -= zone->OffsetUs(example.wall_us - zone->OffsetUs(example.wall_us));
    }
    if (!parser_.Expect("expect")) return false;
    const Token expected = parser_.Advance();
    example.expected_rule = expected.text == "none" ? "" : expected.text;
    if (parser_.NextIs("..") || expected.kind != TokenKind::kName) {
      reporter_.Report(expected.offset, "expected the name of a rule, or none");
      return false;
    }
    if (parser_.Peek().kind == TokenKind::kInt && expected.text != "none") {
      // A row of a table: NAME 2 is its second row.
      example.expected_rule += "." + std::string(parser_.Advance().text);
    }
    expected_rules_.emplace_back(expected.offset, example.expected_rule);
    set_.examples.push_back(std::move(example));
    return parser_.Expect(";");
  }

  void CheckExamples() {
    std::set<std::string, std::less<>> names;
    for (const Rule& rule : set_.rules) names.insert(rule.name);
    for (const auto& [offset, name] : expected_rules_) {
      if (name.empty() || names.count(name) > 0) continue;
      reporter_.Report(
          offset, "expected the name of a rule, found '" + name + "'" + Suggest(name, {names.begin(), names.end()}));
    }
  }

  bool ReadEnumerationWord(std::string_view enumeration, std::optional<int>* index) {
    if (!parser_.Expect("=")) return false;
    const Token token = parser_.Advance();
    const auto words = scope_.enumerations.find(std::string(enumeration));
    static const std::vector<std::string> kNoWords;
    const auto& known = words == scope_.enumerations.end() ? kNoWords : words->second;
    const auto found = std::find(known.begin(), known.end(), token.text);
    if (found == known.end()) {
      reporter_.Report(token.offset, "expected a word of " + std::string(enumeration) + ", found '" +
                                         std::string(token.text.substr(0, 40)) + "'" + Suggest(token.text, known));
      return true;  // so that the rest of the rule is still read
    }
    *index = static_cast<int>(found - known.begin());
    return true;
  }

  bool ReadEffects(expr::Effects* effects, std::size_t rule) {
    do {
      if (!ReadEffect(effects, rule)) return false;
    } while (parser_.Accept(","));
    return true;
  }

  bool ReadEffect(expr::Effects* effects, std::size_t rule) {
    if (parser_.Accept("class")) return ReadEnumerationWord("class", &effects->call_class);
    if (parser_.Accept("customer")) return ReadEnumerationWord("customer", &effects->customer);
    if (parser_.Accept("redial")) return effects->redial = true;
    if (parser_.Accept("priority")) {
      if (!parser_.Expect("=")) return false;
      if (parser_.Peek().kind != TokenKind::kInt || parser_.Peek().number > 15) {
        parser_.ReportExpected("a priority from 0 to 15");
        return false;
      }
      effects->priority = static_cast<int>(parser_.Advance().number);
      return true;
    }
    if (parser_.Accept("budget")) {
      if (!parser_.Expect("=")) return false;
      return ReadDuration(&effects->budget_us.emplace());
    }
    if (parser_.Accept("key")) {
      if (!parser_.Expect("=")) return false;
      Tree key = parser_.ParseExpression();
      if (key == nullptr) return false;
      if (Checker(&scope_, limits_, &reporter_).Check(*key, std::nullopt))
        key_effects_.push_back({rule, std::move(key)});
      return true;
    }
    if (parser_.Accept("refuse")) {
      effects->refuse = true;
      return !parser_.Accept("pause") || ReadDuration(&effects->retry_after_us);
    }
    if (parser_.Accept("tag")) {
      if (parser_.Peek().kind != TokenKind::kText || effects->tags.size() >= kMaxTagsPerRule) {
        parser_.ReportExpected(effects->tags.size() >= kMaxTagsPerRule
                                   ? "at most " + std::to_string(kMaxTagsPerRule) + " tags"
                                   : "a text");
        return false;
      }
      effects->tags.push_back(parser_.Advance().value);
      return true;
    }
    parser_.ReportExpected(
        "an effect (class = ..., customer = ..., priority = ..., budget = ..., key = ..., refuse, redial, tag ...)");
    return false;
  }

  bool ReadDuration(std::int64_t* duration) {
    if (parser_.Peek().kind != TokenKind::kDuration) {
      parser_.ReportExpected("a duration");
      return false;
    }
    *duration = parser_.Advance().number;
    return true;
  }

  void AddConjuncts(const Node& node, std::vector<Conjunct>* conjuncts) {
    if (node.kind == NodeKind::kBinary && node.op == "and") {
      for (const Tree& child : node.children) AddConjuncts(*child, conjuncts);
    } else if (auto program = Generator(scope_, limits_, &reporter_).Generate(node)) {
      conjuncts->push_back({Render(node, scope_), std::move(*program)});
    }
  }

  // Generates the programs. Common subexpressions become shared programs.
  void GeneratePrograms() {
    CommonSubexpressions subexpressions;
    for (const Tree& condition : conditions_) {
      if (condition != nullptr) subexpressions.Add(*condition);
    }
    for (const KeyEffect& effect : key_effects_) subexpressions.Add(*effect.key);
    Generator::SharedPrograms shared_indexes;
    for (const Node* subexpression : subexpressions.WorthSharing()) {
      auto program =
          Generator(scope_, limits_, &reporter_, &shared_indexes, &set_.shared_programs).Generate(*subexpression);
      if (!program) return;
      shared_indexes[subexpression->value_number] = static_cast<std::uint32_t>(set_.shared_programs.size());
      set_.shared_programs.push_back(std::move(*program));
    }
    std::vector<std::vector<RuleIndex::KeySet>> key_sets(set_.rules.size());
    for (std::size_t i = 0; i < set_.rules.size(); ++i) {
      if (conditions_[i] == nullptr) continue;
      auto program =
          Generator(scope_, limits_, &reporter_, &shared_indexes, &set_.shared_programs).Generate(*conditions_[i]);
      if (!program) continue;
      set_.cost_bound += program->cost_bound();
      set_.rules[i].condition = std::move(*program);
      if (limits_.keep_conjuncts) AddConjuncts(*conditions_[i], &set_.rules[i].conjuncts);
      AddConstraints(*conditions_[i], &set_.rules[i].constraints);
      key_sets[i] = FindKeySets(*conditions_[i]);
    }
    for (const KeyEffect& effect : key_effects_) {
      // Keys do not use shared programs.
      // A rule with a syntax error after its key was not added; the file fails to compile in that case.
      if (effect.rule >= set_.rules.size()) continue;
      if (auto program = Generator(scope_, limits_, &reporter_).Generate(*effect.key))
        set_.rules[effect.rule].effects.key = std::move(*program);
    }
    set_.attribute_count = scope_.schema.attributes.size();
    set_.input_count = scope_.inputs.size();
    set_.calendar = scope_.calendar;
    for (CalendarInput& input : set_.calendar) input.time_zone = scope_.LoadTimeZone(input.zone_name);
    set_.index.Build(key_sets);
  }

  std::string_view text_;
  Parser& parser_;
  Scope& scope_;
  const Limits& limits_;
  Reporter& reporter_;
  RuleSet& set_;
  std::vector<Tree> conditions_;  // by rule; null after an error
  std::vector<KeyEffect> key_effects_;
  std::vector<std::pair<std::size_t, std::string>> expected_rules_;
  std::size_t line_ = 1, line_counted_to_ = 0;
};

}  // namespace

std::optional<Program> CompileExpression(std::string_view text, const Schema& schema, const Limits& limits,
                                         std::vector<Diagnostic>* errors) {
  Reporter reporter(text, limits, errors);
  if (!CheckSize(text, limits, &reporter)) return std::nullopt;
  Parser parser(Lex(text, limits, &reporter), limits, &reporter);
  if (reporter.error_count() > 0) return std::nullopt;
  Tree tree = parser.ParseExpression();
  if (tree != nullptr && !parser.AtEnd()) {
    parser.ReportExpected("the end");
    return std::nullopt;
  }
  Scope scope(schema);
  if (tree == nullptr || !Checker(&scope, limits, &reporter).Check(*tree, std::nullopt)) return std::nullopt;
  return Generator(scope, limits, &reporter).Generate(*tree);
}

std::optional<RuleSet> CompileRules(std::string_view text, const Schema& schema, const Limits& limits,
                                    std::vector<Diagnostic>* errors) {
  Reporter reporter(text, limits, errors);
  if (!CheckSize(text, limits, &reporter)) return std::nullopt;
  Parser parser(Lex(text, limits, &reporter), limits, &reporter);
  Scope scope(schema);
  scope.in_rule_file = true;
  RuleSet set;
  FileReader(text, &parser, &scope, limits, &reporter, &set).Read();
  if (reporter.error_count() > 0) return std::nullopt;
  return set;
}

}  // namespace croftrun::expr
