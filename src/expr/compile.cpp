// Rule files and single expressions: text to rules. Each stage goes on after a mistake where it can, so that all
// mistakes of a file are told at once.
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

constexpr std::size_t kDefaultKeys = 65'536;
// Lists and ranges of so many values at most are taken apart for the index.
constexpr std::size_t kMostIndexed = 128;
constexpr std::size_t kMostTagsOfRule = 8;

bool IsInput(const Node& node) { return node.shape == Shape::kName && !node.constant; }

bool SizeFits(std::string_view text, const Limits& limits, Reporter* reporter) {
  if (text.size() <= limits.most_octets) return true;
  reporter->Say(
      0, "expected at most " + std::to_string(limits.most_octets) + " octets, found " + std::to_string(text.size()));
  return false;
}

// ---- what the index and the report can tell from a condition ----

using Key = RuleIndex::Key;

std::optional<Key> KeyOf(const Node& input, const Node& constant, Key::Kind text_kind) {
  if (!IsInput(input) || !constant.constant || input.type == Type::kAddress) return std::nullopt;
  if (IsText(input.type)) return Key{input.attribute, text_kind, 0, constant.token.value};
  return Key{input.attribute, Key::Kind::kNumber, constant.number, {}};
}

std::vector<RuleIndex::Option> Options(const Node& node) {
  std::vector<RuleIndex::Option> options;
  if (node.shape == Shape::kBinary) {
    const Node& left = *node.parts[0];
    const Node& right = *node.parts[1];
    if (node.sign == "==") {
      auto key = KeyOf(left, right, Key::Kind::kText);
      if (!key) key = KeyOf(right, left, Key::Kind::kText);
      if (key) options.push_back({*key});
    } else if (node.sign == "starts_with") {
      if (const auto key = KeyOf(left, right, Key::Kind::kPrefix)) options.push_back({*key});
    } else if (node.sign == "and" || node.sign == "or") {
      auto of_left = Options(left), of_right = Options(right);
      if (node.sign == "and") {
        options = std::move(of_left);
        options.insert(options.end(), std::make_move_iterator(of_right.begin()),
                       std::make_move_iterator(of_right.end()));
      } else if (!of_left.empty() && !of_right.empty()) {
        const auto fewer = [](const auto& a, const auto& b) { return a.size() < b.size(); };
        RuleIndex::Option either = *std::min_element(of_left.begin(), of_left.end(), fewer);
        const auto& other = *std::min_element(of_right.begin(), of_right.end(), fewer);
        either.insert(either.end(), other.begin(), other.end());
        if (either.size() <= kMostIndexed) options.push_back(std::move(either));
      }
    }
  } else if (node.shape == Shape::kIn && node.parts.size() <= kMostIndexed + 1) {
    RuleIndex::Option option;
    for (std::size_t i = 1; i < node.parts.size(); ++i) {
      const auto key = KeyOf(*node.parts[0], *node.parts[i], Key::Kind::kText);
      if (!key) return options;
      option.push_back(*key);
    }
    options.push_back(std::move(option));
  } else if (node.shape == Shape::kRange && IsInput(*node.parts[0]) && node.parts[0]->type == Type::kInt) {
    const Node& low = *node.parts[1];
    const Node& high = *node.parts[2];
    const bool small = low.constant && high.constant && high.number >= low.number &&
                       static_cast<std::uint64_t>(high.number) - static_cast<std::uint64_t>(low.number) < kMostIndexed;
    if (!small) return options;
    RuleIndex::Option option;
    for (std::int64_t n = low.number;; ++n) {
      option.push_back({node.parts[0]->attribute, Key::Kind::kNumber, n, {}});
      if (n == high.number) break;
    }
    options.push_back(std::move(option));
  }
  return options;
}

void AddConstraints(const Node& node, std::vector<Constraint>* constraints) {
  if (node.shape == Shape::kBinary && node.sign == "and") {
    AddConstraints(*node.parts[0], constraints);
    AddConstraints(*node.parts[1], constraints);
    return;
  }
  Constraint c;
  c.id = node.id;
  using Of = Constraint::Kind;
  if (node.constant) {
    if (node.number != 0) return;  // always holds
    c.kind = Of::kNever;
  } else if (node.shape == Shape::kBinary && (node.sign == "==" || node.sign == "starts_with")) {
    const bool turned = !IsInput(*node.parts[0]);
    const auto key = KeyOf(*node.parts[turned ? 1 : 0], *node.parts[turned ? 0 : 1], Key::Kind::kText);
    if (key && !(turned && node.sign == "starts_with")) {
      c.input = key->input;
      c.kind = node.sign == "starts_with" ? Of::kPrefix : key->kind == Key::Kind::kText ? Of::kTexts : Of::kNumbers;
      if (c.kind == Of::kNumbers) c.numbers = {key->number};
      if (c.kind != Of::kNumbers) c.texts = {key->text};
    }
  } else if (node.shape == Shape::kIn && IsInput(*node.parts[0]) && node.parts[0]->type != Type::kAddress) {
    c.input = node.parts[0]->attribute;
    c.kind = IsText(node.parts[0]->type) ? Of::kTexts : Of::kNumbers;
    for (std::size_t i = 1; i < node.parts.size(); ++i) {
      if (c.kind == Of::kTexts) c.texts.push_back(node.parts[i]->token.value);
      if (c.kind == Of::kNumbers) c.numbers.push_back(node.parts[i]->number);
    }
    std::sort(c.texts.begin(), c.texts.end());
    std::sort(c.numbers.begin(), c.numbers.end());
  } else if (node.shape == Shape::kRange && IsInput(*node.parts[0]) && node.parts[0]->type != Type::kDouble) {
    const Node& low = *node.parts[1];
    const Node& high = *node.parts[2];
    const bool wraps = node.parts[0]->type == Type::kTime && low.number > high.number;
    if (low.constant && high.constant && !wraps) {
      c.input = node.parts[0]->attribute;
      c.kind = low.number > high.number ? Of::kNever : Of::kRange;
      c.numbers = {low.number, high.number};
    }
  } else if (node.shape == Shape::kBinary && (node.sign[0] == '<' || node.sign[0] == '>')) {
    const bool turned = !IsInput(*node.parts[0]);
    const Node& input = *node.parts[turned ? 1 : 0];
    const Node& bound = *node.parts[turned ? 0 : 1];
    if (IsInput(input) && bound.constant && !IsText(input.type) && input.type != Type::kDouble) {
      constexpr auto kLeast = std::numeric_limits<std::int64_t>::min(),
                     kMost = std::numeric_limits<std::int64_t>::max();
      const bool below = (node.sign[0] == '<') != turned;
      const bool strict = node.sign.size() == 1;
      c.input = input.attribute;
      c.kind = strict && bound.number == (below ? kLeast : kMost) ? Of::kNever : Of::kRange;
      const std::int64_t edge = c.kind == Of::kNever || !strict ? bound.number
                                : below                         ? bound.number - 1
                                                                : bound.number + 1;
      c.numbers = below ? std::vector<std::int64_t>{kLeast, edge} : std::vector<std::int64_t>{edge, kMost};
    }
  }
  constraints->push_back(std::move(c));
}

// ---- the file ----

class FileReader {
 public:
  FileReader(std::string_view text, Parser* parser, Scope* scope, const Limits& limits, Reporter* reporter,
             RuleSet* set)
      : text_(text), parser_(*parser), scope_(*scope), limits_(limits), reporter_(*reporter), set_(*set) {}

  void Read() {
    while (!parser_.AtEnd()) {
      const std::size_t before = reporter_.count();
      const std::size_t from = parser_.Next().at;
      const bool whole = Item();
      if (!whole && reporter_.count() == before) parser_.Wrong("the rest of the item");
      if (!whole) Skip(from);
    }
    if (set_.rules.size() > limits_.most_rules)
      reporter_.Say(0, "expected at most " + std::to_string(limits_.most_rules) + " rules, found " +
                           std::to_string(set_.rules.size()));
    CheckExamples();
    Make();
  }

 private:
  struct Effect {
    std::size_t rule = 0;
    Tree key;
  };

  // After a mistake: to the next item, which may be where the parser stands.
  void Skip(std::size_t from) {
    if (parser_.Next().at > from && (parser_.Is("rule") || parser_.Is("table") || parser_.Is("let") ||
                                     parser_.Is("fn") || parser_.Is("counter") || parser_.Is("example")))
      return;
    parser_.SkipItem();
  }

  // False: it broke off, or something of it is at fault and what stands there is not its end.
  bool Item() {
    if (parser_.Is("rule")) return ReadRule();
    if (parser_.Is("table")) return ReadTable();
    if (parser_.Take("let")) return ReadDefinition(false);
    if (parser_.Take("fn")) return ReadDefinition(true);
    if (parser_.Take("counter")) return ReadCounter();
    if (parser_.Take("example")) return ReadExample();
    if (parser_.Take("list")) return ReadList();
    if (parser_.Take("map")) return ReadMap();
    if (parser_.Take("zone")) return ReadZone();
    if (parser_.Take("match")) {
      set_.all = parser_.Is("all");
      if (!parser_.Take("all") && !parser_.Take("first")) {
        parser_.Wrong("'first' or 'all'");
        return false;
      }
      return parser_.Expect(";");
    }
    parser_.Wrong("'rule', 'table', 'let', 'fn', 'list', 'map', 'counter', 'example', 'zone' or 'match'");
    return false;
  }

  std::size_t LineAt(std::size_t at) {
    // Items come in the order of the text: counted on from the last one.
    line_ += static_cast<std::size_t>(std::count(text_.begin() + static_cast<std::ptrdiff_t>(counted_),
                                                 text_.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
    counted_ = at;
    return line_;
  }

  // Logs, examples and flow records know a rule, or a table, by its name alone.
  void FreshRule(const Token& name, std::size_t line) {
    const auto [first, fresh] = rule_names_.emplace(std::string(name.text), line);
    if (!fresh)
      reporter_.Say(name.at, "expected a name that no rule has yet, found '" + std::string(name.text.substr(0, 40)) +
                                 "' of line " + std::to_string(first->second));
  }
  std::map<std::string, std::size_t> rule_names_;  // to the line

  bool ReadRule() {
    Rule rule;
    rule.line = LineAt(parser_.Next().at);
    parser_.Expect("rule");
    if (parser_.Next().kind == Kind::kName && !parser_.Is("when")) {
      const Token name = parser_.TakeAny();
      rule.name = name.text;
      FreshRule(name, rule.line);
    }
    if (!parser_.Expect("when")) return false;
    Tree condition = parser_.Expression();
    const bool fine = condition != nullptr && Checker(&scope_, limits_, &reporter_).Check(*condition, Type::kBool);
    if (condition == nullptr) return false;
    if (!parser_.Expect("then")) return false;
    const std::size_t number = set_.rules.size();
    if (!Effects(&rule.effects, number) || !parser_.Expect(";")) return false;
    Keep(std::move(rule), fine ? std::move(condition) : nullptr);
    return true;
  }

  void Keep(Rule rule, Tree condition) {
    set_.rules.push_back(std::move(rule));
    conditions_.push_back(std::move(condition));
  }

  // table NAME when OPERAND SIGN, ... { row CELL, ... => EFFECTS; ... }
  bool ReadTable() {
    const std::size_t table_line = LineAt(parser_.Next().at);
    parser_.Expect("table");
    Token name;
    if (!parser_.ExpectName(&name, "the name of the table")) return false;
    FreshRule(name, table_line);
    if (!parser_.Expect("when")) return false;
    struct Column {
      Tree operand;
      std::string_view sign;
      std::size_t at = 0;
    };
    std::vector<Column> columns;
    do {
      Column column;
      column.operand = parser_.Operand();
      if (column.operand == nullptr) return false;
      column.at = parser_.Next().at;
      static constexpr std::string_view kSigns[] = {
          "==", "!=", "<", "<=", ">", ">=", "starts_with", "ends_with", "contains", "matches", "in"};
      const auto sign = std::find_if(std::begin(kSigns), std::end(kSigns), [&](auto s) { return parser_.Is(s); });
      if (sign == std::end(kSigns)) {
        parser_.Wrong("a sign that the column compares by");
        return false;
      }
      column.sign = *sign;
      parser_.TakeAny();
      columns.push_back(std::move(column));
    } while (parser_.Take(","));
    if (!parser_.Expect("{")) return false;
    std::size_t row = 0;
    while (!parser_.Take("}")) {
      if (parser_.AtEnd()) {
        parser_.Wrong("'row' or '}'");
        return false;
      }
      Rule rule;
      rule.name = std::string(name.text) + "." + std::to_string(++row);
      rule.line = std::max(table_line, LineAt(parser_.Next().at));
      Tree condition;
      bool read = parser_.Expect("row");
      for (std::size_t i = 0; read && i < columns.size(); ++i) {
        if (i > 0 && !(read = parser_.Expect(","))) break;
        if (parser_.Take("*")) continue;
        Tree test = Cell(*columns[i].operand, columns[i].sign, columns[i].at);
        read = test != nullptr;
        if (read) condition = condition == nullptr ? std::move(test) : And(std::move(condition), std::move(test));
      }
      if (read) {
        if (condition == nullptr) condition = Truth();
        const bool fine = Checker(&scope_, limits_, &reporter_).Check(*condition, Type::kBool);
        read = parser_.Expect("=>") && Effects(&rule.effects, set_.rules.size()) && parser_.Expect(";");
        if (read) Keep(std::move(rule), fine ? std::move(condition) : nullptr);
      }
      if (!read) parser_.SkipItem();
    }
    return true;
  }

  Tree Cell(const Node& operand, std::string_view sign, std::size_t at) {
    auto node = std::make_unique<Node>();
    if (sign == "in") {
      node = parser_.InOperand();
      if (node == nullptr) return nullptr;
      node->parts[0] = Clone(operand);
      return node;
    }
    if (sign == "matches") {
      node->shape = Shape::kMatches;
      node->at = at;
      node->parts.push_back(Clone(operand));
      if (parser_.Next().kind != Kind::kText) {
        parser_.Wrong("a regular expression as a text");
        return nullptr;
      }
      node->token = parser_.TakeAny();
      return node;
    }
    node->shape = Shape::kBinary;
    node->sign = sign;
    node->at = parser_.Next().at;
    node->parts.push_back(Clone(operand));
    node->parts.push_back(parser_.Sign());
    return node->parts[1] == nullptr ? nullptr : std::move(node);
  }

  static Tree And(Tree left, Tree right) {
    auto node = std::make_unique<Node>();
    node->shape = Shape::kBinary;
    node->sign = "and";
    node->at = right->at;
    node->parts.push_back(std::move(left));
    node->parts.push_back(std::move(right));
    return node;
  }

  static Tree Truth() {
    auto node = std::make_unique<Node>();
    node->token.kind = Kind::kName;
    node->token.text = "true";
    return node;
  }

  // let NAME = EXPRESSION; fn NAME(PARAMETER, ...) = EXPRESSION;
  bool ReadDefinition(bool with_parameters) {
    Token name;
    if (!parser_.ExpectName(&name, "a name to define") || !Fresh(name)) return false;
    Scope::Function function;
    if (with_parameters) {
      if (!parser_.Expect("(")) return false;
      do {
        Token parameter;
        if (!parser_.ExpectName(&parameter, "the name of a parameter")) return false;
        function.parameters.emplace_back(parameter.text);
      } while (parser_.Take(","));
      if (!parser_.Expect(")")) return false;
    }
    if (!parser_.Expect("=")) return false;
    function.body = parser_.Expression();
    if (function.body == nullptr || !Checker(&scope_, limits_, &reporter_).Close(*function.body, function.parameters))
      return false;
    const bool resolved = Checker(&scope_, limits_, &reporter_).Resolve(*function.body, function.parameters);
    // A let without faults has a type by itself; a function's follows from what it is called with. A word of an
    // enumeration alone is understood where it is used.
    if (resolved && !with_parameters && function.body->shape != Shape::kName && function.body->shape != Shape::kIf) {
      Tree copy = Clone(*function.body);
      Checker(&scope_, limits_, &reporter_).Check(*copy, std::nullopt);
    }
    scope_.functions[std::string(name.text)] = std::move(function);
    return parser_.Expect(";");
  }

  // A name that means nothing yet.
  bool Fresh(const Token& name) {
    const std::string text(name.text);
    const bool taken =
        scope_.functions.count(text) + scope_.lists.count(text) + scope_.maps.count(text) > 0 || text == "weekday" ||
        text == "time" || text == "date" ||
        std::any_of(scope_.inputs.begin(), scope_.inputs.end(), [&](const Attribute& a) { return a.name == text; });
    if (taken) reporter_.Say(name.at, "expected a name that means nothing yet, found '" + text.substr(0, 40) + "'");
    return !taken;
  }

  bool ReadList() {
    Token name;
    if (!parser_.ExpectName(&name, "the name of the list") || !Fresh(name) || !parser_.Expect("=")) return false;
    if (!parser_.Is("[")) {
      parser_.Wrong("'['");
      return false;
    }
    Tree list = parser_.InOperand();
    if (list == nullptr) return false;
    scope_.lists[std::string(name.text)] = std::move(list);
    return parser_.Expect(";");
  }

  // map NAME by ATTRIBUTE default CONSTANT { KEY -> CONSTANT, ... };
  bool ReadMap() {
    Token name;
    if (!parser_.ExpectName(&name, "the name of the map") || !Fresh(name) || !parser_.Expect("by")) return false;
    Token by;
    if (!parser_.ExpectName(&by, "the attribute it is looked up by")) return false;
    Node key;
    key.shape = Shape::kName;
    key.at = by.at;
    key.token = by;
    const auto attribute =
        std::find_if(scope_.inputs.begin(), scope_.inputs.end(), [&](const Attribute& a) { return a.name == by.text; });
    if (attribute == scope_.inputs.end() || attribute->type == Type::kAddress) {
      reporter_.Say(by.at, "expected an attribute to look up by, found '" + std::string(by.text.substr(0, 40)) + "'");
      return false;
    }
    key.type = attribute->type;
    key.enumeration = attribute->enumeration;
    if (!parser_.Expect("default")) return false;
    Checker checker(&scope_, limits_, &reporter_);
    Tree otherwise = parser_.Sign();
    if (otherwise == nullptr || !checker.Check(*otherwise, std::nullopt) ||
        !checker.CheckConstant(*otherwise, *otherwise))
      return false;
    auto values = std::make_shared<ConstantMap>();
    Scope::Map map;
    map.number = scope_.map_values.size();
    map.key = key.type;
    map.key_enumeration = key.enumeration;
    map.value = otherwise->type;
    const auto value_of = [&](const Node& constant) {
      map.longest = std::max(map.longest, constant.longest);
      if (!IsText(constant.type)) return Value{constant.number, {}, true};
      values->owned.push_back(std::make_shared<std::string>(constant.token.value));
      return Value{0, *values->owned.back(), true};
    };
    values->otherwise = value_of(*otherwise);
    if (!parser_.Expect("{")) return false;
    std::set<std::pair<std::int64_t, std::string>> seen;
    while (!parser_.Is("}")) {
      Tree one = parser_.Sign();
      if (one == nullptr || !parser_.Expect("->")) return false;
      Tree value = parser_.Sign();
      if (value == nullptr) return false;
      if (!checker.CheckConstant(*one, key) || !checker.CheckConstant(*value, *otherwise)) return false;
      const std::string text = IsText(key.type) ? one->token.value : std::string();
      if (!seen.emplace(IsText(key.type) ? 0 : one->number, text).second) {
        reporter_.Say(one->at, "expected each key once, found it again");
        return false;
      }
      if (seen.size() > limits_.longest_list) {
        reporter_.Say(one->at, "expected at most " + std::to_string(limits_.longest_list) + " entries, found more");
        return false;
      }
      if (IsText(key.type)) {
        values->texts.emplace_back(text, value_of(*value));
      } else {
        values->numbers.emplace_back(one->number, value_of(*value));
      }
      if (!parser_.Take(",")) break;
    }
    const auto by_key = [](const auto& a, const auto& b) { return a.first < b.first; };
    std::sort(values->numbers.begin(), values->numbers.end(), by_key);
    std::sort(values->texts.begin(), values->texts.end(), by_key);
    scope_.map_values.push_back(std::move(values));
    scope_.maps[std::string(name.text)] = map;
    return parser_.Expect("}") && parser_.Expect(";");
  }

  bool ReadZone() {
    if (parser_.Next().kind != Kind::kText) {
      parser_.Wrong("the name of a time zone as a text");
      return false;
    }
    const Token zone = parser_.TakeAny();
    if (!IsZone(zone.value)) {
      reporter_.Say(
          zone.at, "expected the name of a time zone as \"Europe/Vienna\", found \"" + zone.value.substr(0, 40) + "\"");
    } else {
      scope_.zone = zone.value;
    }
    return parser_.Expect(";");
  }

  std::optional<Program> Part(Type* type) {
    Tree tree = parser_.Expression();
    if (tree == nullptr || !Checker(&scope_, limits_, &reporter_).Check(*tree, std::nullopt)) return std::nullopt;
    if (type != nullptr) *type = tree->type;
    return Generator(scope_, limits_, &reporter_).Make(*tree);
  }

  // counter NAME by EXPRESSION, ... over DURATION [distinct EXPRESSION] [when CONDITION] [keys NUMBER];
  bool ReadCounter() {
    Counter counter;
    Token name;
    const std::size_t from = parser_.Next().at;
    if (!parser_.ExpectName(&name, "the name of the counter") || !Fresh(name) || !parser_.Expect("by")) return false;
    counter.name = name.text;
    do {
      auto part = Part(nullptr);
      if (!part) return false;
      counter.key.push_back(std::move(*part));
    } while (parser_.Take(","));
    if (!parser_.Expect("over")) return false;
    const Token window = parser_.Next();
    if (window.kind != Kind::kDuration || window.number < 8'000 || window.number > 86'400'000'000) {
      parser_.Wrong("a duration from 8ms to 24h");
      return false;
    }
    counter.window_us = parser_.TakeAny().number;
    if (parser_.Take("distinct")) {
      counter.distinct = Part(nullptr);
      if (!counter.distinct) return false;
    }
    if (parser_.Take("when")) {
      Type type = Type::kBool;
      const std::size_t at = parser_.Next().at;
      counter.when = Part(&type);
      if (!counter.when) return false;
      if (type != Type::kBool) {
        reporter_.Say(at, "expected a condition, found " + std::string(NameOf(type)));
        return false;
      }
    }
    counter.keys = std::min(kDefaultKeys, limits_.most_keys);
    if (parser_.Take("keys")) {
      const Token keys = parser_.Next();
      if (keys.kind != Kind::kInt || keys.number < 8 || keys.number > static_cast<std::int64_t>(limits_.most_keys)) {
        parser_.Wrong("a number of keys from 8 to " + std::to_string(limits_.most_keys));
        return false;
      }
      counter.keys = static_cast<std::size_t>(parser_.TakeAny().number);
    }
    if (set_.counters.size() >= limits_.most_counters) {
      reporter_.Say(name.at, "expected at most " + std::to_string(limits_.most_counters) + " counters, found more");
      return false;
    }
    counter.signature = text_.substr(from, parser_.Next().at - from);
    Attribute attribute;
    attribute.name = counter.name;
    counter.input = scope_.inputs.size();
    scope_.inputs.push_back(attribute);
    set_.counters.push_back(std::move(counter));
    return parser_.Expect(";");
  }

  // example NAME given ATTRIBUTE = CONSTANT, ... [at DATE TIME] expect (RULE | none);
  bool ReadExample() {
    Example example;
    example.line = LineAt(parser_.Next().at);
    if (parser_.Next().kind == Kind::kText) example.name = parser_.TakeAny().value;
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
        reporter_.Say(name.at, "expected an attribute, found '" + std::string(name.text.substr(0, 40)) + "'" +
                                   Suggest(name.text, names));
        return false;
      }
      Node like;
      like.type = attribute->type;
      like.enumeration = attribute->enumeration;
      Tree value = parser_.Sign();
      if (value == nullptr || !checker.CheckConstant(*value, like)) return false;
      Value given{value->number, {}, true};
      if (IsText(value->type)) {
        example.owned.push_back(std::make_shared<std::string>(value->token.value));
        given.text = *example.owned.back();
      }
      example.given.emplace_back(static_cast<std::size_t>(attribute - scope_.schema.attributes.begin()), given);
    } while (parser_.Take(","));
    if (parser_.Take("at")) {
      if (parser_.Next().kind != Kind::kDate) {
        parser_.Wrong("a date as 2026-12-24");
        return false;
      }
      const std::int64_t local = parser_.TakeAny().number * 86'400'000'000;
      if (parser_.Next().kind != Kind::kTime) {
        parser_.Wrong("a time of day as 18:30");
        return false;
      }
      example.wall_us = local + parser_.TakeAny().number;
      const auto zone = scope_.ZoneTable(scope_.zone);
      example.wall_us -= zone->OffsetUs(example.wall_us - zone->OffsetUs(example.wall_us));
    }
    if (!parser_.Expect("expect")) return false;
    const Token expected = parser_.TakeAny();
    example.expected = expected.text == "none" ? "" : expected.text;
    if (parser_.Is("..") || expected.kind != Kind::kName) {
      reporter_.Say(expected.at, "expected the name of a rule, or none");
      return false;
    }
    if (parser_.Next().kind == Kind::kInt && expected.text != "none") {
      // The row of a table: NAME 2 stands for its second row.
      example.expected += "." + std::string(parser_.TakeAny().text);
    }
    expected_.emplace_back(expected.at, example.expected);
    set_.examples.push_back(std::move(example));
    return parser_.Expect(";");
  }

  void CheckExamples() {
    std::set<std::string, std::less<>> names;
    for (const Rule& rule : set_.rules) names.insert(rule.name);
    for (const auto& [at, name] : expected_) {
      if (name.empty() || names.count(name) > 0) continue;
      reporter_.Say(at,
                    "expected the name of a rule, found '" + name + "'" + Suggest(name, {names.begin(), names.end()}));
    }
  }

  bool Word(std::string_view enumeration, std::optional<int>* index) {
    if (!parser_.Expect("=")) return false;
    const Token token = parser_.TakeAny();
    const auto words = scope_.enumerations.find(std::string(enumeration));
    static const std::vector<std::string> kNone;
    const auto& known = words == scope_.enumerations.end() ? kNone : words->second;
    const auto found = std::find(known.begin(), known.end(), token.text);
    if (found == known.end()) {
      reporter_.Say(token.at, "expected a word of " + std::string(enumeration) + ", found '" +
                                  std::string(token.text.substr(0, 40)) + "'" + Suggest(token.text, known));
      return true;  // the rest of the rule can still be read
    }
    *index = static_cast<int>(found - known.begin());
    return true;
  }

  bool Effects(expr::Effects* effects, std::size_t rule) {
    do {
      if (!OneEffect(effects, rule)) return false;
    } while (parser_.Take(","));
    return true;
  }

  bool OneEffect(expr::Effects* effects, std::size_t rule) {
    if (parser_.Take("class")) return Word("class", &effects->call_class);
    if (parser_.Take("customer")) return Word("customer", &effects->customer);
    if (parser_.Take("redial")) return effects->redial = true;
    if (parser_.Take("priority")) {
      if (!parser_.Expect("=")) return false;
      if (parser_.Next().kind != Kind::kInt || parser_.Next().number > 15) {
        parser_.Wrong("a priority from 0 to 15");
        return false;
      }
      effects->priority = static_cast<int>(parser_.TakeAny().number);
      return true;
    }
    if (parser_.Take("budget")) {
      if (!parser_.Expect("=")) return false;
      return Duration(&effects->budget_us.emplace());
    }
    if (parser_.Take("key")) {
      if (!parser_.Expect("=")) return false;
      Tree key = parser_.Expression();
      if (key == nullptr) return false;
      if (Checker(&scope_, limits_, &reporter_).Check(*key, std::nullopt)) keys_.push_back({rule, std::move(key)});
      return true;
    }
    if (parser_.Take("refuse")) {
      effects->refuse = true;
      return !parser_.Take("pause") || Duration(&effects->pause_us);
    }
    if (parser_.Take("tag")) {
      if (parser_.Next().kind != Kind::kText || effects->tags.size() >= kMostTagsOfRule) {
        parser_.Wrong(effects->tags.size() >= kMostTagsOfRule ? "at most " + std::to_string(kMostTagsOfRule) + " tags"
                                                              : "a text");
        return false;
      }
      effects->tags.push_back(parser_.TakeAny().value);
      return true;
    }
    parser_.Wrong(
        "an effect (class = ..., customer = ..., priority = ..., budget = ..., key = ..., refuse, redial, tag ...)");
    return false;
  }

  bool Duration(std::int64_t* duration) {
    if (parser_.Next().kind != Kind::kDuration) {
      parser_.Wrong("a duration");
      return false;
    }
    *duration = parser_.TakeAny().number;
    return true;
  }

  void AddParts(const Node& node, std::vector<RulePart>* parts) {
    if (node.shape == Shape::kBinary && node.sign == "and") {
      for (const Tree& part : node.parts) AddParts(*part, parts);
    } else if (auto program = Generator(scope_, limits_, &reporter_).Make(node)) {
      parts->push_back({Render(node, scope_), std::move(*program)});
    }
  }

  // Trees to programs, with the parts that several have made once.
  void Make() {
    Sharing sharing;
    for (const Tree& condition : conditions_) {
      if (condition != nullptr) sharing.Add(*condition);
    }
    for (const Effect& effect : keys_) sharing.Add(*effect.key);
    Generator::Places places;
    for (const Node* part : sharing.Worth()) {
      auto program = Generator(scope_, limits_, &reporter_, &places, &set_.shared).Make(*part);
      if (!program) return;
      places[part->id] = static_cast<std::uint32_t>(set_.shared.size());
      set_.shared.push_back(std::move(*program));
    }
    std::vector<std::vector<RuleIndex::Option>> options(set_.rules.size());
    for (std::size_t i = 0; i < set_.rules.size(); ++i) {
      if (conditions_[i] == nullptr) continue;
      auto program = Generator(scope_, limits_, &reporter_, &places, &set_.shared).Make(*conditions_[i]);
      if (!program) continue;
      set_.cost_bound += program->cost_bound();
      set_.rules[i].when = std::move(*program);
      if (limits_.keep_parts) AddParts(*conditions_[i], &set_.rules[i].parts);
      AddConstraints(*conditions_[i], &set_.rules[i].constraints);
      options[i] = Options(*conditions_[i]);
    }
    for (const Effect& effect : keys_) {
      // Keys are worked out by themselves.
      // A rule that broke off behind its key was not kept; there was a mistake then, and nothing comes of the file.
      if (effect.rule >= set_.rules.size()) continue;
      if (auto program = Generator(scope_, limits_, &reporter_).Make(*effect.key))
        set_.rules[effect.rule].effects.key = std::move(*program);
    }
    set_.attributes = scope_.schema.attributes.size();
    set_.inputs = scope_.inputs.size();
    set_.calendar = scope_.calendar;
    for (CalendarInput& input : set_.calendar) input.table = scope_.ZoneTable(input.zone);
    set_.index.Build(options);
  }

  std::string_view text_;
  Parser& parser_;
  Scope& scope_;
  const Limits& limits_;
  Reporter& reporter_;
  RuleSet& set_;
  std::vector<Tree> conditions_;  // by rule; null where there was a mistake
  std::vector<Effect> keys_;
  std::vector<std::pair<std::size_t, std::string>> expected_;
  std::size_t line_ = 1, counted_ = 0;
};

}  // namespace

std::optional<Program> CompileExpression(std::string_view text, const Schema& schema, const Limits& limits,
                                         std::vector<Mistake>* mistakes) {
  Reporter reporter(text, limits, mistakes);
  if (!SizeFits(text, limits, &reporter)) return std::nullopt;
  Parser parser(Lex(text, limits, &reporter), limits, &reporter);
  if (reporter.count() > 0) return std::nullopt;
  Tree tree = parser.Expression();
  if (tree != nullptr && !parser.AtEnd()) {
    parser.Wrong("the end");
    return std::nullopt;
  }
  Scope scope(schema);
  if (tree == nullptr || !Checker(&scope, limits, &reporter).Check(*tree, std::nullopt)) return std::nullopt;
  return Generator(scope, limits, &reporter).Make(*tree);
}

std::optional<RuleSet> CompileRules(std::string_view text, const Schema& schema, const Limits& limits,
                                    std::vector<Mistake>* mistakes) {
  Reporter reporter(text, limits, mistakes);
  if (!SizeFits(text, limits, &reporter)) return std::nullopt;
  Parser parser(Lex(text, limits, &reporter), limits, &reporter);
  Scope scope(schema);
  scope.rules = true;
  RuleSet set;
  FileReader(text, &parser, &scope, limits, &reporter, &set).Read();
  if (reporter.count() > 0) return std::nullopt;
  return set;
}

}  // namespace croftrun::expr
