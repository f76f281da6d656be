#include "expr/check.h"

#include <algorithm>
#include <utility>

#include "expr/arithmetic.h"

namespace croftrun::expr {
namespace {

// Inlined definitions may nest this many times deeper than the source of an expression.
constexpr std::size_t kDefinitionDepthFactor = 4;
// Limit on the nodes that inlined definitions and lists may add in total.
constexpr std::size_t kMaxExpandedNodes = 1'000'000;

bool IsOrdered(Type type) { return type != Type::kEnum && type != Type::kBool && type != Type::kAddress; }

// Sets the type of a node that has the value of either `a` or `b`.
void MergeTypes(Node& node, const Node& a, const Node& b) {
  node.type = a.type;
  node.enumeration = a.enumeration;
  node.max_octets = std::max(a.max_octets, b.max_octets);
}

void ReplaceWithConstant(Node& node, Type type, std::int64_t number) {
  node.kind = NodeKind::kConstant;
  node.children.clear();
  node.type = type;
  node.constant = true;
  node.number = number;
  node.token = {};
  node.op = {};
}

std::size_t CountNodes(const Node& node) {
  std::size_t count = 1;
  for (const Tree& child : node.children) count += CountNodes(*child);
  return count;
}

void SubstituteParameters(Node& node, const std::vector<std::string>& parameters, const std::vector<Tree>& arguments) {
  if (node.kind == NodeKind::kName) {
    const auto found = std::find(parameters.begin(), parameters.end(), node.token.text);
    if (found == parameters.end()) return;
    Tree copy = Clone(*arguments[static_cast<std::size_t>(found - parameters.begin())]);
    node = std::move(*copy);
    return;
  }
  for (Tree& child : node.children) SubstituteParameters(*child, parameters, arguments);
}

}  // namespace

std::size_t Scope::AddCalendarInput(CalendarKind kind, const std::string& zone_name) {
  for (std::size_t i = 0; i < calendar.size(); ++i) {
    if (calendar[i].kind == kind && calendar[i].zone_name == zone_name) return calendar[i].input_index;
  }
  Attribute attribute;
  attribute.name = "(calendar " + std::to_string(calendar.size()) + ")";  // not a valid name in a rule file
  attribute.type = kind == CalendarKind::kWeekday ? Type::kEnum
                   : kind == CalendarKind::kTime  ? Type::kTime
                                                  : Type::kDate;
  if (kind == CalendarKind::kWeekday) attribute.enumeration = "weekday";
  inputs.push_back(attribute);
  calendar.push_back({kind, zone_name, inputs.size() - 1, nullptr});
  return inputs.size() - 1;
}

std::shared_ptr<const TimeZone> Scope::LoadTimeZone(const std::string& zone_name) {
  std::shared_ptr<const TimeZone>& table = time_zones[zone_name];
  if (table == nullptr) table = TimeZone::Load(zone_name);
  return table;
}

bool Checker::Check(Node& node, std::optional<Type> expected) {
  const std::size_t before = reporter_->error_count();
  const bool ok = CheckNode(node, nullptr, {});
  if (ok && expected && node.type != *expected) ReportTypeMismatch(node, *expected);
  return ok && reporter_->error_count() == before;
}

bool Checker::CheckConstant(Node& node, const Node& prototype) {
  if (!CheckNode(node, &prototype, {}) || !Coerce(node, prototype) || !ExpectType(node, prototype.type)) return false;
  if (node.constant) return true;
  reporter_->Report(node.offset, "expected a constant, found another expression");
  return false;
}

bool Checker::ExpandDefinitions(Node& node, const std::vector<std::string>& parameters) {
  for (Tree& child : node.children) {
    if (!ExpandDefinitions(*child, parameters)) return false;
  }
  const bool name = node.kind == NodeKind::kName &&
                    std::find(parameters.begin(), parameters.end(), node.token.text) == parameters.end();
  if ((!name && node.kind != NodeKind::kCall) || node.definitions_expanded) return true;
  const auto function = scope_->functions.find(std::string(node.token.text));
  if (function != scope_->functions.end() && function->second.parameters.size() == node.children.size())
    return InlineDefinition(node, function->second);
  node.definitions_expanded = true;
  return true;
}

void Checker::ReportTypeMismatch(const Node& node, Type expected) {
  reporter_->Report(node.offset, "expected " + std::string(DescribeType(expected)) + ", found " +
                                     std::string(DescribeType(node.type)));
}

bool Checker::ExpectType(const Node& node, Type type) {
  if (node.type == type) return true;
  ReportTypeMismatch(node, type);
  return false;
}

bool Checker::Coerce(Node& node, const Node& peer) {
  if (node.type == Type::kInt && peer.type == Type::kDouble) {
    if (node.constant) {
      ReplaceWithConstant(node, Type::kDouble, arithmetic::Bits(static_cast<double>(node.number)));
      return true;
    }
    auto inner = std::make_unique<Node>(std::move(node));
    node = Node{};
    node.kind = NodeKind::kToDouble;
    node.offset = inner->offset;
    node.type = Type::kDouble;
    node.children.push_back(std::move(inner));
    return true;
  }
  if (node.type == Type::kString && node.kind == NodeKind::kConstant && peer.type == Type::kE164) {
    const std::string& digits = node.token.value;
    const bool valid = digits.size() >= 2 && digits.size() <= 16 && digits[0] == '+' &&
                       digits.find_first_not_of("0123456789", 1) == std::string::npos;
    if (!valid) {
      reporter_->Report(node.offset,
                        "expected an E.164 number, + and 1 to 15 digits, found \"" + digits.substr(0, 40) + "\"");
      return false;
    }
    node.type = Type::kE164;
  }
  return true;
}

// Adds the attributes that are known to be present if `node` is true.
void Checker::CollectPresent(const Node& node, Present* present) const {
  if (node.kind == NodeKind::kHas) present->insert(node.index);
  if (node.kind == NodeKind::kBinary && node.op == "and") {
    for (const Tree& child : node.children) CollectPresent(*child, present);
  }
}

// Checks a node and its children. `peer` is what the node is compared with; it determines the enumeration of a word.
// Returns false if an error was reported.
bool Checker::CheckNode(Node& node, const Node* peer, const Present& present) {
  if (++depth_ > kDefinitionDepthFactor * limits_.max_depth) {
    reporter_->Report(node.offset, "expected definitions that nest at most " +
                                       std::to_string(kDefinitionDepthFactor * limits_.max_depth) +
                                       " levels, found more");
    --depth_;
    return false;
  }
  const bool ok = CheckByKind(node, peer, present);
  --depth_;
  if (ok) FoldConstants(node);
  return ok;
}

bool Checker::CheckByKind(Node& node, const Node* peer, const Present& present) {
  switch (node.kind) {
    case NodeKind::kConstant:
      return CheckLiteral(node);
    case NodeKind::kName:
      return CheckName(node, peer, present, false);
    case NodeKind::kCall:
      return CheckCall(node, peer, present);
    case NodeKind::kLookup:
      return CheckLookup(node, present);
    case NodeKind::kHas: {
      node.type = Type::kBool;
      Node inner;
      inner.offset = node.token.offset;
      inner.kind = NodeKind::kName;
      inner.token = node.token;
      if (!CheckName(inner, nullptr, present, true)) return false;
      if (inner.kind != NodeKind::kName || inner.constant) {
        reporter_->Report(node.offset, "expected an attribute, found something else");
        return false;
      }
      node.index = inner.index;
      return true;
    }
    case NodeKind::kLength:
      node.type = Type::kInt;
      return CheckNode(*node.children[0], nullptr, present) &&
             (node.children[0]->type == Type::kE164 || ExpectType(*node.children[0], Type::kString));
    case NodeKind::kUnary: {
      Node& inner = *node.children[0];
      if (!CheckNode(inner, nullptr, present)) return false;
      node.type = node.op == "not" ? Type::kBool : inner.type;
      if (node.op == "not") return ExpectType(inner, Type::kBool);
      return node.type == Type::kDuration || node.type == Type::kDouble || ExpectType(inner, Type::kInt);
    }
    case NodeKind::kBinary:
      return CheckBinary(node, present);
    case NodeKind::kDefault: {
      Node& value = *node.children[0];
      if (value.kind != NodeKind::kName) {
        reporter_->Report(value.offset, "expected an attribute before 'default', found something else");
        return false;
      }
      if (!CheckName(value, nullptr, present, true) || !CheckNode(*node.children[1], &value, present)) return false;
      if (!Coerce(*node.children[1], value)) return false;
      MergeTypes(node, value, *node.children[1]);
      return ExpectType(*node.children[1], value.type);
    }
    case NodeKind::kIf: {
      if (!CheckNode(*node.children[0], nullptr, present) || !ExpectType(*node.children[0], Type::kBool)) return false;
      Present present_if_true = present;
      CollectPresent(*node.children[0], &present_if_true);
      Node& then_branch = *node.children[1];
      Node& else_branch = *node.children[2];
      // The enumeration of a word follows from what the whole expression is compared with, or from the other branch.
      if (!CheckNode(then_branch, peer, present_if_true) ||
          !CheckNode(else_branch, peer != nullptr ? peer : &then_branch, present))
        return false;
      if (!Coerce(then_branch, else_branch) || !Coerce(else_branch, then_branch)) return false;
      MergeTypes(node, then_branch, else_branch);
      return ExpectType(else_branch, then_branch.type);
    }
    case NodeKind::kMatches:
      node.type = Type::kBool;
      return CheckNode(*node.children[0], nullptr, present) &&
             (IsText(node.children[0]->type) || ExpectType(*node.children[0], Type::kString));
    case NodeKind::kInRange:
    case NodeKind::kInList:
      return CheckIn(node, present);
    case NodeKind::kToDouble:
      return true;
  }
  return false;
}

bool Checker::CheckLiteral(Node& node) {
  node.constant = true;
  if (node.token.text.empty() && node.token.kind == TokenKind::kEnd) return true;  // already folded
  node.number = node.token.number;
  switch (node.token.kind) {
    case TokenKind::kText:
      node.type = node.type == Type::kE164 ? Type::kE164 : Type::kString;
      break;
    case TokenKind::kInt:
      node.type = Type::kInt;
      break;
    case TokenKind::kDouble:
      node.type = Type::kDouble;
      break;
    case TokenKind::kDuration:
      node.type = Type::kDuration;
      break;
    case TokenKind::kTime:
      node.type = Type::kTime;
      break;
    case TokenKind::kDate:
      node.type = Type::kDate;
      break;
    case TokenKind::kAddress:
      node.type = Type::kAddress;
      break;
    default:
      node.type = Type::kBool;
      node.number = node.token.text == "true" ? 1 : 0;
  }
  node.max_octets = node.token.value.size();
  return true;
}

bool Checker::CheckName(Node& node, const Node* peer, const Present& present, bool absent_allowed) {
  const std::string name(node.token.text);
  const std::vector<Attribute>& inputs = scope_->inputs;
  for (std::size_t i = 0; i < inputs.size(); ++i) {
    const Attribute& attribute = inputs[i];
    if (attribute.name != name) continue;
    node.index = i;
    node.type = attribute.type;
    node.enumeration = attribute.enumeration;
    node.max_octets = attribute.max_octets;
    if (!attribute.optional || absent_allowed || present.count(i) > 0) return true;
    reporter_->Report(node.offset, "expected a check such as 'has(" + name + ") and ...' or '" + name +
                                       " default ...', as it may be absent");
    return false;
  }
  if (peer != nullptr && peer->type == Type::kEnum) {
    const auto& words = scope_->enumerations.at(peer->enumeration);
    const auto found = std::find(words.begin(), words.end(), name);
    if (found != words.end() || node.definitions_expanded || scope_->functions.count(name) == 0) {
      node.type = Type::kEnum;
      node.enumeration = peer->enumeration;
      node.constant = true;
      node.number = found - words.begin();
      if (found != words.end()) return true;
      reporter_->Report(node.offset,
                        "expected a word of " + peer->enumeration + ", found '" + name + "'" + Suggest(name, words));
      return false;
    }
  }
  if (const auto function = scope_->functions.find(name);
      function != scope_->functions.end() && !node.definitions_expanded) {
    if (!function->second.parameters.empty()) {
      reporter_->Report(node.offset, "expected " + name + "(...) with its arguments, found the name alone");
      return false;
    }
    return InlineDefinition(node, function->second) && CheckNode(node, peer, present);
  }
  if (name == "weekday") return MakeCalendarInput(node, CalendarKind::kWeekday, scope_->default_zone);
  if (name == "time") return MakeCalendarInput(node, CalendarKind::kTime, scope_->default_zone);
  if (name == "date") return MakeCalendarInput(node, CalendarKind::kDate, scope_->default_zone);
  ReportUnknownName(node);
  return false;
}

void Checker::ReportUnknownName(const Node& node) {
  const std::string name(node.token.text);
  std::vector<std::string> names;
  for (const Attribute& attribute : scope_->inputs) {
    if (attribute.name[0] != '(') names.push_back(attribute.name);
  }
  for (const auto& [known, function] : scope_->functions) names.push_back(known);
  reporter_->Report(node.offset, "expected an attribute, found '" + name + "'" + Suggest(name, names));
}

bool Checker::CheckNames(const Node& node, const std::vector<std::string>& parameters) {
  bool ok = true;
  for (const Tree& child : node.children) ok = CheckNames(*child, parameters) && ok;
  if (node.kind != NodeKind::kName) return ok;
  const std::string_view name = node.token.text;
  const auto contains = [&](const auto& known) { return std::find(known.begin(), known.end(), name) != known.end(); };
  // Earlier definitions have been inlined already. Any other name may be a word of any enumeration.
  const bool known =
      contains(parameters) || name == "weekday" || name == "time" || name == "date" || name == "true" ||
      name == "false" || scope_->lists.count(std::string(name)) > 0 || scope_->functions.count(std::string(name)) > 0 ||
      std::any_of(scope_->inputs.begin(), scope_->inputs.end(), [&](const Attribute& a) { return a.name == name; }) ||
      std::any_of(scope_->enumerations.begin(), scope_->enumerations.end(),
                  [&](const auto& e) { return contains(e.second); });
  if (!known) ReportUnknownName(node);
  return ok && known;
}

bool Checker::MakeCalendarInput(Node& node, CalendarKind kind, const std::string& zone) {
  if (!scope_->in_rule_file) {
    reporter_->Report(node.offset, "expected calendar functions only in a rule file, found one in a single expression");
    return false;
  }
  if (!IsKnownTimeZone(zone)) {
    reporter_->Report(node.offset, "expected the name of a time zone such as \"Europe/Vienna\", found \"" +
                                       zone.substr(0, 40) + "\"");
    return false;
  }
  node.kind = NodeKind::kName;
  node.children.clear();
  node.index = scope_->AddCalendarInput(kind, zone);
  node.type = scope_->inputs[node.index].type;
  node.enumeration = scope_->inputs[node.index].enumeration;
  node.max_octets = 0;
  return true;
}

// Replaces a call by the body of the definition, with the arguments in place of the parameters.
bool Checker::InlineDefinition(Node& node, const Scope::Function& function) {
  Tree body = Clone(*function.body);
  SubstituteParameters(*body, function.parameters, node.children);
  scope_->expanded_nodes += CountNodes(*body);
  if (scope_->expanded_nodes > kMaxExpandedNodes) {
    reporter_->Report(node.offset, "expected definitions that come to at most " + std::to_string(kMaxExpandedNodes) +
                                       " parts written out, found more");
    return false;
  }
  node = std::move(*body);
  return true;
}

bool Checker::CheckCall(Node& node, const Node* peer, const Present& present) {
  const std::string name(node.token.text);
  const auto has_arity = [&](std::size_t min_count, std::size_t max_count) {
    if (node.children.size() >= min_count && node.children.size() <= max_count) return true;
    reporter_->Report(node.offset, "expected " + std::to_string(min_count) + (max_count > min_count ? " or more" : "") +
                                       " arguments of " + name + ", found " + std::to_string(node.children.size()));
    return false;
  };
  if (const auto function = scope_->functions.find(name);
      function != scope_->functions.end() && !node.definitions_expanded) {
    const std::size_t parameter_count = function->second.parameters.size();
    return has_arity(parameter_count, parameter_count) && InlineDefinition(node, function->second) &&
           CheckNode(node, peer, present);
  }
  if (name == "weekday" || name == "time" || name == "date") {
    if (!has_arity(1, 1)) return false;
    Node& zone = *node.children[0];
    if (zone.kind != NodeKind::kConstant || zone.token.kind != TokenKind::kText) {
      reporter_->Report(zone.offset, "expected the name of a time zone as a text, found something else");
      return false;
    }
    const std::string zone_name = zone.token.value;
    return MakeCalendarInput(node,
                             name == "weekday" ? CalendarKind::kWeekday
                             : name == "time"  ? CalendarKind::kTime
                                               : CalendarKind::kDate,
                             zone_name);
  }
  if (name == "hash" || name == "bucket") {
    if (!has_arity(name == "hash" ? 1 : 2, name == "hash" ? 8 : 2)) return false;
    for (const Tree& child : node.children) {
      if (!CheckNode(*child, nullptr, present)) return false;
    }
    node.type = Type::kInt;
    if (name == "hash") return true;
    const Node& buckets = *node.children[1];
    if (buckets.type == Type::kInt && buckets.constant && buckets.number > 0) return true;
    reporter_->Report(buckets.offset, "expected the number of buckets as a constant above 0, found something else");
    return false;
  }
  if (name == "first" || name == "last") {
    if (!has_arity(2, 2)) return false;
    node.type = Type::kString;
    Node& text = *node.children[0];
    Node& octets = *node.children[1];
    if (!CheckNode(text, nullptr, present) || !(IsText(text.type) || ExpectType(text, Type::kString))) return false;
    if (!CheckNode(octets, nullptr, present) || !ExpectType(octets, Type::kInt)) return false;
    node.max_octets = text.max_octets;
    if (octets.constant)
      node.max_octets = std::min(node.max_octets, static_cast<std::size_t>(std::max<std::int64_t>(0, octets.number)));
    return true;
  }
  std::vector<std::string> names = {"hash", "bucket", "first", "last", "length", "has", "weekday", "time", "date"};
  for (const auto& [known, function] : scope_->functions) names.push_back(known);
  reporter_->Report(node.offset, "expected a function, found '" + name + "'" + Suggest(name, names));
  return false;
}

bool Checker::CheckLookup(Node& node, const Present& present) {
  const auto map = scope_->maps.find(std::string(node.token.text));
  if (map == scope_->maps.end()) {
    std::vector<std::string> names;
    for (const auto& [known, value] : scope_->maps) names.push_back(known);
    reporter_->Report(node.offset, "expected a map, found '" + std::string(node.token.text.substr(0, 40)) + "'" +
                                       Suggest(node.token.text, names));
    return false;
  }
  Node prototype;
  prototype.type = map->second.key_type;
  prototype.enumeration = map->second.key_enumeration;
  Node& key = *node.children[0];
  node.index = map->second.index;
  node.type = map->second.value_type;
  node.max_octets = map->second.max_octets;
  return CheckNode(key, &prototype, present) && Coerce(key, prototype) && ExpectType(key, prototype.type);
}

bool Checker::HasOwnType(const Node& node) const {
  return node.kind != NodeKind::kName ||
         std::any_of(scope_->inputs.begin(), scope_->inputs.end(),
                     [&](const Attribute& a) { return a.name == node.token.text; }) ||
         scope_->functions.count(std::string(node.token.text)) > 0 || node.token.text == "weekday" ||
         node.token.text == "time" || node.token.text == "date";
}

bool Checker::CheckBinary(Node& node, const Present& present) {
  Node& left = *node.children[0];
  Node& right = *node.children[1];
  if (node.op == "and" || node.op == "or") {
    node.type = Type::kBool;
    const bool ok = CheckNode(left, nullptr, present) && ExpectType(left, Type::kBool);
    Present present_if_true = present;
    if (node.op == "and") CollectPresent(left, &present_if_true);
    return CheckNode(right, nullptr, present_if_true) && ExpectType(right, Type::kBool) && ok;
  }
  const bool arithmetic = std::string_view("+-*/%").find(node.op) != std::string_view::npos;
  if (!arithmetic) return CheckComparison(node, present);
  return CheckNode(left, nullptr, present) && CheckNode(right, nullptr, present) && CheckArithmetic(node);
}

bool Checker::CheckComparison(Node& node, const Present& present) {
  Node& left = *node.children[0];
  Node& right = *node.children[1];
  node.type = Type::kBool;
  // The enumeration of a word follows from the other operand.
  const bool swapped = !HasOwnType(left);
  Node& known = swapped ? right : left;
  Node& other = swapped ? left : right;
  if (!CheckNode(known, nullptr, present) || !CheckNode(other, &known, present)) return false;
  if (!Coerce(other, known) || !Coerce(known, other)) return false;
  if (node.op == "starts_with" || node.op == "ends_with" || node.op == "contains") {
    if (IsText(left.type) && right.type == Type::kString) return true;
    if (left.type == Type::kE164 && right.type == Type::kE164) return true;
    return ExpectType(left, Type::kString) && ExpectType(right, Type::kString);
  }
  if (!ExpectType(other, known.type)) return false;
  if (known.enumeration != other.enumeration) {
    reporter_->Report(node.offset, "expected two values of the same enumeration, found " + known.enumeration + " and " +
                                       other.enumeration);
    return false;
  }
  if (node.op != "==" && node.op != "!=" && !IsOrdered(known.type)) {
    reporter_->Report(node.offset,
                      "expected numbers, durations or texts to order, found " + std::string(DescribeType(known.type)));
    return false;
  }
  for (const Node* side : {&left, &right}) {
    if (side->type != Type::kAddress || !side->constant || side->number == side->token.last_address) continue;
    reporter_->Report(side->offset, "expected an address, found a prefix; use 'in'");
    return false;
  }
  return true;
}

// Durations can be added and subtracted, and multiplied and divided by integers. An integer operand of a double becomes
// a double.
bool Checker::CheckArithmetic(Node& node) {
  Node& left = *node.children[0];
  Node& right = *node.children[1];
  if (!Coerce(left, right) || !Coerce(right, left)) return false;
  const bool durations = left.type == Type::kDuration;
  const bool doubles = left.type == Type::kDouble && node.op != "%";
  if (!durations && !doubles && !ExpectType(left, Type::kInt)) return false;
  node.type = left.type;
  if (durations && (node.op == "*" || node.op == "/")) return ExpectType(right, Type::kInt);
  return ExpectType(right, left.type);
}

bool Checker::CheckIn(Node& node, const Present& present) {
  node.type = Type::kBool;
  Node& value = *node.children[0];
  if (!CheckNode(value, nullptr, present)) return false;
  if (node.kind == NodeKind::kInList && node.token.kind == TokenKind::kName && node.children.size() == 1) {
    const auto list = scope_->lists.find(std::string(node.token.text));
    if (list == scope_->lists.end()) {
      std::vector<std::string> names;
      for (const auto& [known, tree] : scope_->lists) names.push_back(known);
      reporter_->Report(node.token.offset, "expected a list, found '" + std::string(node.token.text.substr(0, 40)) +
                                               "'" + Suggest(node.token.text, names));
      return false;
    }
    for (std::size_t i = 1; i < list->second->children.size(); ++i)
      node.children.push_back(Clone(*list->second->children[i]));
    scope_->expanded_nodes += node.children.size();
    if (scope_->expanded_nodes > kMaxExpandedNodes) {
      reporter_->Report(node.offset, "expected lists that come to at most " + std::to_string(kMaxExpandedNodes) +
                                         " items written out, found more");
      return false;
    }
  }
  bool ok = true;
  for (std::size_t i = 1; i < node.children.size(); ++i) {
    Node& item = *node.children[i];
    if (node.kind == NodeKind::kInList) {
      ok = CheckConstant(item, value) && ok;
    } else {
      ok = CheckNode(item, &value, present) && Coerce(item, value) && ExpectType(item, value.type) && ok;
    }
  }
  const bool ranged = value.type == Type::kInt || value.type == Type::kDuration || value.type == Type::kDouble ||
                      value.type == Type::kTime || value.type == Type::kDate;
  if (node.kind == NodeKind::kInRange && !ranged) {
    ReportTypeMismatch(value, Type::kInt);
    return false;
  }
  return ok;
}

// Evaluates constant subexpressions at compile time.
void Checker::FoldConstants(Node& node) {
  const auto number = [](const Node& n) { return n.constant && !IsText(n.type) && n.type != Type::kAddress; };
  if (node.kind == NodeKind::kUnary && number(*node.children[0])) {
    const Node& inner = *node.children[0];
    if (node.op == "not") return ReplaceWithConstant(node, Type::kBool, inner.number == 0 ? 1 : 0);
    const std::int64_t negated = inner.type == Type::kDouble ? arithmetic::Bits(-arithmetic::AsDouble(inner.number))
                                                             : arithmetic::Negate(inner.number);
    return ReplaceWithConstant(node, inner.type, negated);
  }
  if (node.kind == NodeKind::kIf && number(*node.children[0])) {
    Tree remaining = std::move(node.children[node.children[0]->number != 0 ? 1 : 2]);
    node = std::move(*remaining);
    return;
  }
  if (node.kind != NodeKind::kBinary) return;
  const Node& left = *node.children[0];
  const Node& right = *node.children[1];
  if (node.op == "and" || node.op == "or") {
    for (const std::size_t i : {0U, 1U}) {
      if (!number(*node.children[i])) continue;
      const bool decides = (node.children[i]->number != 0) == (node.op == "or");
      if (decides) return ReplaceWithConstant(node, Type::kBool, node.op == "or" ? 1 : 0);
      Tree remaining = std::move(node.children[1 - i]);
      node = std::move(*remaining);
      return;
    }
    return;
  }
  if (!number(left) || !number(right) || left.type == Type::kDouble) return;
  const std::int64_t a = left.number, b = right.number;
  const std::string_view sign = node.op;
  const auto fold_bool = [&](bool value) { ReplaceWithConstant(node, Type::kBool, value ? 1 : 0); };
  const Type type = node.type;
  if (sign == "+") return ReplaceWithConstant(node, type, arithmetic::Add(a, b));
  if (sign == "-") return ReplaceWithConstant(node, type, arithmetic::Subtract(a, b));
  if (sign == "*") return ReplaceWithConstant(node, type, arithmetic::Multiply(a, b));
  if (sign == "/") return ReplaceWithConstant(node, type, arithmetic::Divide(a, b));
  if (sign == "%") return ReplaceWithConstant(node, type, arithmetic::Modulo(a, b));
  if (sign == "==") return fold_bool(a == b);
  if (sign == "!=") return fold_bool(a != b);
  if (sign == "<") return fold_bool(a < b);
  if (sign == "<=") return fold_bool(a <= b);
  if (sign == ">") return fold_bool(a > b);
  if (sign == ">=") return fold_bool(a >= b);
}

}  // namespace croftrun::expr
