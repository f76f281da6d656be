#include "expr/check.h"

#include <algorithm>
#include <utility>

#include "expr/arithmetic.h"

namespace croftrun::expr {
namespace {

// Definitions written out may nest deeper than a text may.
constexpr std::size_t kDeeper = 4;
// Nodes that definitions written out may make, all together.
constexpr std::size_t kMostNodes = 1'000'000;

bool IsOrdered(Type type) { return type != Type::kEnum && type != Type::kBool && type != Type::kAddress; }

void Same(Node& node, const Node& a, const Node& b) {
  node.type = a.type;
  node.enumeration = a.enumeration;
  node.longest = std::max(a.longest, b.longest);
}

void BecomeConstant(Node& node, Type type, std::int64_t number) {
  node.shape = Shape::kConstant;
  node.parts.clear();
  node.type = type;
  node.constant = true;
  node.number = number;
  node.token = {};
  node.sign = {};
}

std::size_t Size(const Node& node) {
  std::size_t size = 1;
  for (const Tree& part : node.parts) size += Size(*part);
  return size;
}

void Substitute(Node& node, const std::vector<std::string>& parameters, const std::vector<Tree>& arguments) {
  if (node.shape == Shape::kName) {
    const auto found = std::find(parameters.begin(), parameters.end(), node.token.text);
    if (found == parameters.end()) return;
    Tree copy = Clone(*arguments[static_cast<std::size_t>(found - parameters.begin())]);
    node = std::move(*copy);
    return;
  }
  for (Tree& part : node.parts) Substitute(*part, parameters, arguments);
}

}  // namespace

std::size_t Scope::Calendar(CalendarKind kind, const std::string& zone_name) {
  for (std::size_t i = 0; i < calendar.size(); ++i) {
    if (calendar[i].kind == kind && calendar[i].zone == zone_name) return calendar[i].input;
  }
  Attribute attribute;
  attribute.name = "(calendar " + std::to_string(calendar.size()) + ")";  // no name of the language
  attribute.type = kind == CalendarKind::kWeekday ? Type::kEnum
                   : kind == CalendarKind::kTime  ? Type::kTime
                                                  : Type::kDate;
  if (kind == CalendarKind::kWeekday) attribute.enumeration = "weekday";
  inputs.push_back(attribute);
  calendar.push_back({kind, zone_name, inputs.size() - 1, nullptr});
  return inputs.size() - 1;
}

std::shared_ptr<const Zone> Scope::ZoneTable(const std::string& zone_name) {
  std::shared_ptr<const Zone>& table = zones[zone_name];
  if (table == nullptr) table = Zone::Load(zone_name);
  return table;
}

bool Checker::Check(Node& node, std::optional<Type> expected) {
  const std::size_t before = reporter_->count();
  const bool fine = Visit(node, nullptr, {});
  if (fine && expected && node.type != *expected) Mismatch(node, *expected);
  return fine && reporter_->count() == before;
}

bool Checker::CheckConstant(Node& node, const Node& like) {
  if (!Visit(node, &like, {}) || !Adapt(node, like) || !Want(node, like.type)) return false;
  if (node.constant) return true;
  reporter_->Say(node.at, "expected a constant, found something that is none");
  return false;
}

bool Checker::Close(Node& node, const std::vector<std::string>& parameters) {
  for (Tree& part : node.parts) {
    if (!Close(*part, parameters)) return false;
  }
  const bool name = node.shape == Shape::kName &&
                    std::find(parameters.begin(), parameters.end(), node.token.text) == parameters.end();
  if ((!name && node.shape != Shape::kCall) || node.closed) return true;
  const auto function = scope_->functions.find(std::string(node.token.text));
  if (function != scope_->functions.end() && function->second.parameters.size() == node.parts.size())
    return WriteOut(node, function->second);
  node.closed = true;
  return true;
}

void Checker::Mismatch(const Node& node, Type expected) {
  reporter_->Say(node.at, "expected " + std::string(NameOf(expected)) + ", found " + std::string(NameOf(node.type)));
}

bool Checker::Want(const Node& node, Type type) {
  if (node.type == type) return true;
  Mismatch(node, type);
  return false;
}

bool Checker::Adapt(Node& node, const Node& peer) {
  if (node.type == Type::kInt && peer.type == Type::kDouble) {
    if (node.constant) {
      BecomeConstant(node, Type::kDouble, arithmetic::Bits(static_cast<double>(node.number)));
      return true;
    }
    auto inner = std::make_unique<Node>(std::move(node));
    node = Node{};
    node.shape = Shape::kToDouble;
    node.at = inner->at;
    node.type = Type::kDouble;
    node.parts.push_back(std::move(inner));
    return true;
  }
  if (node.type == Type::kString && node.shape == Shape::kConstant && peer.type == Type::kE164) {
    const std::string& digits = node.token.value;
    const bool legal = digits.size() >= 2 && digits.size() <= 16 && digits[0] == '+' &&
                       digits.find_first_not_of("0123456789", 1) == std::string::npos;
    if (!legal) {
      reporter_->Say(node.at,
                     "expected a number of E.164, + and 1 to 15 digits, found \"" + digits.substr(0, 40) + "\"");
      return false;
    }
    node.type = Type::kE164;
  }
  return true;
}

// Which attributes are there if `node` is true.
void Checker::Holds(const Node& node, Present* present) const {
  if (node.shape == Shape::kHas) present->insert(node.attribute);
  if (node.shape == Shape::kBinary && node.sign == "and") {
    for (const Tree& part : node.parts) Holds(*part, present);
  }
}

// `peer`: what it is compared with, by which a word of an enumeration is understood. False: a mistake was told.
bool Checker::Visit(Node& node, const Node* peer, const Present& present) {
  if (++depth_ > kDeeper * limits_.deepest) {
    reporter_->Say(node.at, "expected definitions that nest at most " + std::to_string(kDeeper * limits_.deepest) +
                                " levels, found more");
    --depth_;
    return false;
  }
  const bool fine = VisitShape(node, peer, present);
  --depth_;
  if (fine) Fold(node);
  return fine;
}

bool Checker::VisitShape(Node& node, const Node* peer, const Present& present) {
  switch (node.shape) {
    case Shape::kConstant:
      return VisitConstant(node);
    case Shape::kName:
      return VisitName(node, peer, present, false);
    case Shape::kCall:
      return VisitCall(node, peer, present);
    case Shape::kLookup:
      return VisitLookup(node, present);
    case Shape::kHas: {
      node.type = Type::kBool;
      Node inner;
      inner.at = node.token.at;
      inner.shape = Shape::kName;
      inner.token = node.token;
      if (!VisitName(inner, nullptr, present, true)) return false;
      if (inner.shape != Shape::kName || inner.constant) {
        reporter_->Say(node.at, "expected an attribute, found something else");
        return false;
      }
      node.attribute = inner.attribute;
      return true;
    }
    case Shape::kLength:
      node.type = Type::kInt;
      return Visit(*node.parts[0], nullptr, present) &&
             (node.parts[0]->type == Type::kE164 || Want(*node.parts[0], Type::kString));
    case Shape::kUnary: {
      Node& inner = *node.parts[0];
      if (!Visit(inner, nullptr, present)) return false;
      node.type = node.sign == "not" ? Type::kBool : inner.type;
      if (node.sign == "not") return Want(inner, Type::kBool);
      return node.type == Type::kDuration || node.type == Type::kDouble || Want(inner, Type::kInt);
    }
    case Shape::kBinary:
      return VisitBinary(node, present);
    case Shape::kOr: {
      Node& value = *node.parts[0];
      if (value.shape != Shape::kName) {
        reporter_->Say(value.at, "expected an attribute before 'default', found something else");
        return false;
      }
      if (!VisitName(value, nullptr, present, true) || !Visit(*node.parts[1], &value, present)) return false;
      if (!Adapt(*node.parts[1], value)) return false;
      Same(node, value, *node.parts[1]);
      return Want(*node.parts[1], value.type);
    }
    case Shape::kIf: {
      if (!Visit(*node.parts[0], nullptr, present) || !Want(*node.parts[0], Type::kBool)) return false;
      Present with = present;
      Holds(*node.parts[0], &with);
      Node& yes = *node.parts[1];
      Node& no = *node.parts[2];
      // A word of an enumeration is understood by what the whole is compared with, or by the other branch.
      if (!Visit(yes, peer, with) || !Visit(no, peer != nullptr ? peer : &yes, present)) return false;
      if (!Adapt(yes, no) || !Adapt(no, yes)) return false;
      Same(node, yes, no);
      return Want(no, yes.type);
    }
    case Shape::kMatches:
      node.type = Type::kBool;
      return Visit(*node.parts[0], nullptr, present) &&
             (IsText(node.parts[0]->type) || Want(*node.parts[0], Type::kString));
    case Shape::kRange:
    case Shape::kIn:
      return VisitIn(node, present);
    case Shape::kToDouble:
      return true;
  }
  return false;
}

bool Checker::VisitConstant(Node& node) {
  node.constant = true;
  if (node.token.text.empty() && node.token.kind == Kind::kEnd) return true;  // folded before
  node.number = node.token.number;
  switch (node.token.kind) {
    case Kind::kText:
      node.type = node.type == Type::kE164 ? Type::kE164 : Type::kString;
      break;
    case Kind::kInt:
      node.type = Type::kInt;
      break;
    case Kind::kDouble:
      node.type = Type::kDouble;
      break;
    case Kind::kDuration:
      node.type = Type::kDuration;
      break;
    case Kind::kTime:
      node.type = Type::kTime;
      break;
    case Kind::kDate:
      node.type = Type::kDate;
      break;
    case Kind::kAddress:
      node.type = Type::kAddress;
      break;
    default:
      node.type = Type::kBool;
      node.number = node.token.text == "true" ? 1 : 0;
  }
  node.longest = node.token.value.size();
  return true;
}

bool Checker::VisitName(Node& node, const Node* peer, const Present& present, bool absent_allowed) {
  const std::string name(node.token.text);
  const std::vector<Attribute>& inputs = scope_->inputs;
  for (std::size_t i = 0; i < inputs.size(); ++i) {
    const Attribute& attribute = inputs[i];
    if (attribute.name != name) continue;
    node.attribute = i;
    node.type = attribute.type;
    node.enumeration = attribute.enumeration;
    node.longest = attribute.longest;
    if (!attribute.optional || absent_allowed || present.count(i) > 0) return true;
    reporter_->Say(node.at,
                   "expected a check, has(" + name + ") and ..., or '" + name + " default ...': it may be absent");
    return false;
  }
  if (peer != nullptr && peer->type == Type::kEnum) {
    const auto& words = scope_->enumerations.at(peer->enumeration);
    const auto found = std::find(words.begin(), words.end(), name);
    if (found != words.end() || node.closed || scope_->functions.count(name) == 0) {
      node.type = Type::kEnum;
      node.enumeration = peer->enumeration;
      node.constant = true;
      node.number = found - words.begin();
      if (found != words.end()) return true;
      reporter_->Say(node.at,
                     "expected a word of " + peer->enumeration + ", found '" + name + "'" + Suggest(name, words));
      return false;
    }
  }
  if (const auto function = scope_->functions.find(name); function != scope_->functions.end() && !node.closed) {
    if (!function->second.parameters.empty()) {
      reporter_->Say(node.at, "expected " + name + "(...) with its arguments, found the name alone");
      return false;
    }
    return WriteOut(node, function->second) && Visit(node, peer, present);
  }
  if (name == "weekday") return CalendarCall(node, CalendarKind::kWeekday, scope_->zone);
  if (name == "time") return CalendarCall(node, CalendarKind::kTime, scope_->zone);
  if (name == "date") return CalendarCall(node, CalendarKind::kDate, scope_->zone);
  UnknownName(node);
  return false;
}

void Checker::UnknownName(const Node& node) {
  const std::string name(node.token.text);
  std::vector<std::string> names;
  for (const Attribute& attribute : scope_->inputs) {
    if (attribute.name[0] != '(') names.push_back(attribute.name);
  }
  for (const auto& [known, function] : scope_->functions) names.push_back(known);
  reporter_->Say(node.at, "expected an attribute, found '" + name + "'" + Suggest(name, names));
}

bool Checker::Resolve(const Node& node, const std::vector<std::string>& parameters) {
  bool fine = true;
  for (const Tree& part : node.parts) fine = Resolve(*part, parameters) && fine;
  if (node.shape != Shape::kName) return fine;
  const std::string_view name = node.token.text;
  const auto means = [&](const auto& known) { return std::find(known.begin(), known.end(), name) != known.end(); };
  // Definitions before this one are written out already; of the rest, a word may belong to any enumeration.
  const bool known =
      means(parameters) || name == "weekday" || name == "time" || name == "date" || name == "true" || name == "false" ||
      scope_->lists.count(std::string(name)) > 0 || scope_->functions.count(std::string(name)) > 0 ||
      std::any_of(scope_->inputs.begin(), scope_->inputs.end(), [&](const Attribute& a) { return a.name == name; }) ||
      std::any_of(scope_->enumerations.begin(), scope_->enumerations.end(),
                  [&](const auto& e) { return means(e.second); });
  if (!known) UnknownName(node);
  return fine && known;
}

bool Checker::CalendarCall(Node& node, CalendarKind kind, const std::string& zone) {
  if (!scope_->rules) {
    reporter_->Say(node.at, "expected the calendar in a rule file only, found it in an expression by itself");
    return false;
  }
  if (!IsZone(zone)) {
    reporter_->Say(node.at,
                   "expected the name of a time zone as \"Europe/Vienna\", found \"" + zone.substr(0, 40) + "\"");
    return false;
  }
  node.shape = Shape::kName;
  node.parts.clear();
  node.attribute = scope_->Calendar(kind, zone);
  node.type = scope_->inputs[node.attribute].type;
  node.enumeration = scope_->inputs[node.attribute].enumeration;
  node.longest = 0;
  return true;
}

// Puts the body of a definition, with the arguments in place of its parameters, where it is called.
bool Checker::WriteOut(Node& node, const Scope::Function& function) {
  Tree body = Clone(*function.body);
  Substitute(*body, function.parameters, node.parts);
  scope_->nodes += Size(*body);
  if (scope_->nodes > kMostNodes) {
    reporter_->Say(node.at, "expected definitions that come to at most " + std::to_string(kMostNodes) +
                                " parts written out, found more");
    return false;
  }
  node = std::move(*body);
  return true;
}

bool Checker::VisitCall(Node& node, const Node* peer, const Present& present) {
  const std::string name(node.token.text);
  const auto arity = [&](std::size_t least, std::size_t most) {
    if (node.parts.size() >= least && node.parts.size() <= most) return true;
    reporter_->Say(node.at, "expected " + std::to_string(least) + (most > least ? " or more" : "") + " arguments of " +
                                name + ", found " + std::to_string(node.parts.size()));
    return false;
  };
  if (const auto function = scope_->functions.find(name); function != scope_->functions.end() && !node.closed) {
    const std::size_t takes = function->second.parameters.size();
    return arity(takes, takes) && WriteOut(node, function->second) && Visit(node, peer, present);
  }
  if (name == "weekday" || name == "time" || name == "date") {
    if (!arity(1, 1)) return false;
    Node& zone = *node.parts[0];
    if (zone.shape != Shape::kConstant || zone.token.kind != Kind::kText) {
      reporter_->Say(zone.at, "expected the name of a time zone as a text, found something else");
      return false;
    }
    const std::string zone_name = zone.token.value;
    return CalendarCall(node,
                        name == "weekday" ? CalendarKind::kWeekday
                        : name == "time"  ? CalendarKind::kTime
                                          : CalendarKind::kDate,
                        zone_name);
  }
  if (name == "hash" || name == "bucket") {
    if (!arity(name == "hash" ? 1 : 2, name == "hash" ? 8 : 2)) return false;
    for (const Tree& part : node.parts) {
      if (!Visit(*part, nullptr, present)) return false;
    }
    node.type = Type::kInt;
    if (name == "hash") return true;
    const Node& buckets = *node.parts[1];
    if (buckets.type == Type::kInt && buckets.constant && buckets.number > 0) return true;
    reporter_->Say(buckets.at, "expected a number of buckets, a constant above 0, found something else");
    return false;
  }
  if (name == "first" || name == "last") {
    if (!arity(2, 2)) return false;
    node.type = Type::kString;
    Node& text = *node.parts[0];
    Node& octets = *node.parts[1];
    if (!Visit(text, nullptr, present) || !(IsText(text.type) || Want(text, Type::kString))) return false;
    if (!Visit(octets, nullptr, present) || !Want(octets, Type::kInt)) return false;
    node.longest = text.longest;
    if (octets.constant)
      node.longest = std::min(node.longest, static_cast<std::size_t>(std::max<std::int64_t>(0, octets.number)));
    return true;
  }
  std::vector<std::string> names = {"hash", "bucket", "first", "last", "length", "has", "weekday", "time", "date"};
  for (const auto& [known, function] : scope_->functions) names.push_back(known);
  reporter_->Say(node.at, "expected a function, found '" + name + "'" + Suggest(name, names));
  return false;
}

bool Checker::VisitLookup(Node& node, const Present& present) {
  const auto map = scope_->maps.find(std::string(node.token.text));
  if (map == scope_->maps.end()) {
    std::vector<std::string> names;
    for (const auto& [known, value] : scope_->maps) names.push_back(known);
    reporter_->Say(node.at, "expected a map, found '" + std::string(node.token.text.substr(0, 40)) + "'" +
                                Suggest(node.token.text, names));
    return false;
  }
  Node like;
  like.type = map->second.key;
  like.enumeration = map->second.key_enumeration;
  Node& key = *node.parts[0];
  node.attribute = map->second.number;
  node.type = map->second.value;
  node.longest = map->second.longest;
  return Visit(key, &like, present) && Adapt(key, like) && Want(key, like.type);
}

bool Checker::IsInput(const Node& node) const {
  return node.shape != Shape::kName ||
         std::any_of(scope_->inputs.begin(), scope_->inputs.end(),
                     [&](const Attribute& a) { return a.name == node.token.text; }) ||
         scope_->functions.count(std::string(node.token.text)) > 0 || node.token.text == "weekday" ||
         node.token.text == "time" || node.token.text == "date";
}

bool Checker::VisitBinary(Node& node, const Present& present) {
  Node& left = *node.parts[0];
  Node& right = *node.parts[1];
  if (node.sign == "and" || node.sign == "or") {
    node.type = Type::kBool;
    const bool fine = Visit(left, nullptr, present) && Want(left, Type::kBool);
    Present with = present;
    if (node.sign == "and") Holds(left, &with);
    return Visit(right, nullptr, with) && Want(right, Type::kBool) && fine;
  }
  const bool arithmetic = std::string_view("+-*/%").find(node.sign) != std::string_view::npos;
  if (!arithmetic) return VisitCompare(node, present);
  return Visit(left, nullptr, present) && Visit(right, nullptr, present) && VisitArithmetic(node);
}

bool Checker::VisitCompare(Node& node, const Present& present) {
  Node& left = *node.parts[0];
  Node& right = *node.parts[1];
  node.type = Type::kBool;
  // A word of an enumeration is understood by the other side.
  const bool swapped = !IsInput(left);
  Node& known = swapped ? right : left;
  Node& other = swapped ? left : right;
  if (!Visit(known, nullptr, present) || !Visit(other, &known, present)) return false;
  if (!Adapt(other, known) || !Adapt(known, other)) return false;
  if (node.sign == "starts_with" || node.sign == "ends_with" || node.sign == "contains") {
    if (IsText(left.type) && right.type == Type::kString) return true;
    if (left.type == Type::kE164 && right.type == Type::kE164) return true;
    return Want(left, Type::kString) && Want(right, Type::kString);
  }
  if (!Want(other, known.type)) return false;
  if (known.enumeration != other.enumeration) {
    reporter_->Say(node.at,
                   "expected two of one enumeration, found " + known.enumeration + " and " + other.enumeration);
    return false;
  }
  if (node.sign != "==" && node.sign != "!=" && !IsOrdered(known.type)) {
    reporter_->Say(node.at, "expected numbers, durations or texts to order, found " + std::string(NameOf(known.type)));
    return false;
  }
  for (const Node* side : {&left, &right}) {
    if (side->type != Type::kAddress || !side->constant || side->number == side->token.last) continue;
    reporter_->Say(side->at, "expected an address, found a prefix; use 'in'");
    return false;
  }
  return true;
}

// Durations add up, and are multiplied and divided by whole numbers; a whole number beside a number becomes one.
bool Checker::VisitArithmetic(Node& node) {
  Node& left = *node.parts[0];
  Node& right = *node.parts[1];
  if (!Adapt(left, right) || !Adapt(right, left)) return false;
  const bool durations = left.type == Type::kDuration;
  const bool doubles = left.type == Type::kDouble && node.sign != "%";
  if (!durations && !doubles && !Want(left, Type::kInt)) return false;
  node.type = left.type;
  if (durations && (node.sign == "*" || node.sign == "/")) return Want(right, Type::kInt);
  return Want(right, left.type);
}

bool Checker::VisitIn(Node& node, const Present& present) {
  node.type = Type::kBool;
  Node& value = *node.parts[0];
  if (!Visit(value, nullptr, present)) return false;
  if (node.shape == Shape::kIn && node.token.kind == Kind::kName && node.parts.size() == 1) {
    const auto list = scope_->lists.find(std::string(node.token.text));
    if (list == scope_->lists.end()) {
      std::vector<std::string> names;
      for (const auto& [known, tree] : scope_->lists) names.push_back(known);
      reporter_->Say(node.token.at, "expected a list, found '" + std::string(node.token.text.substr(0, 40)) + "'" +
                                        Suggest(node.token.text, names));
      return false;
    }
    for (std::size_t i = 1; i < list->second->parts.size(); ++i) node.parts.push_back(Clone(*list->second->parts[i]));
    scope_->nodes += node.parts.size();
    if (scope_->nodes > kMostNodes) {
      reporter_->Say(node.at, "expected lists that come to at most " + std::to_string(kMostNodes) +
                                  " items written out, found more");
      return false;
    }
  }
  bool fine = true;
  for (std::size_t i = 1; i < node.parts.size(); ++i) {
    Node& item = *node.parts[i];
    if (node.shape == Shape::kIn) {
      fine = CheckConstant(item, value) && fine;
    } else {
      fine = Visit(item, &value, present) && Adapt(item, value) && Want(item, value.type) && fine;
    }
  }
  const bool ranged = value.type == Type::kInt || value.type == Type::kDuration || value.type == Type::kDouble ||
                      value.type == Type::kTime || value.type == Type::kDate;
  if (node.shape == Shape::kRange && !ranged) {
    Mismatch(value, Type::kInt);
    return false;
  }
  return fine;
}

// What is known now is not worked out for each call.
void Checker::Fold(Node& node) {
  const auto number = [](const Node& n) { return n.constant && !IsText(n.type) && n.type != Type::kAddress; };
  if (node.shape == Shape::kUnary && number(*node.parts[0])) {
    const Node& inner = *node.parts[0];
    if (node.sign == "not") return BecomeConstant(node, Type::kBool, inner.number == 0 ? 1 : 0);
    const std::int64_t negated = inner.type == Type::kDouble ? arithmetic::Bits(-arithmetic::AsDouble(inner.number))
                                                             : arithmetic::Negate(inner.number);
    return BecomeConstant(node, inner.type, negated);
  }
  if (node.shape == Shape::kIf && number(*node.parts[0])) {
    Tree kept = std::move(node.parts[node.parts[0]->number != 0 ? 1 : 2]);
    node = std::move(*kept);
    return;
  }
  if (node.shape != Shape::kBinary) return;
  const Node& left = *node.parts[0];
  const Node& right = *node.parts[1];
  if (node.sign == "and" || node.sign == "or") {
    for (const std::size_t i : {0U, 1U}) {
      if (!number(*node.parts[i])) continue;
      const bool decides = (node.parts[i]->number != 0) == (node.sign == "or");
      if (decides) return BecomeConstant(node, Type::kBool, node.sign == "or" ? 1 : 0);
      Tree kept = std::move(node.parts[1 - i]);
      node = std::move(*kept);
      return;
    }
    return;
  }
  if (!number(left) || !number(right) || left.type == Type::kDouble) return;
  const std::int64_t a = left.number, b = right.number;
  const std::string_view sign = node.sign;
  const auto truth = [&](bool value) { BecomeConstant(node, Type::kBool, value ? 1 : 0); };
  const Type type = node.type;
  if (sign == "+") return BecomeConstant(node, type, arithmetic::Add(a, b));
  if (sign == "-") return BecomeConstant(node, type, arithmetic::Subtract(a, b));
  if (sign == "*") return BecomeConstant(node, type, arithmetic::Multiply(a, b));
  if (sign == "/") return BecomeConstant(node, type, arithmetic::Divide(a, b));
  if (sign == "%") return BecomeConstant(node, type, arithmetic::Modulo(a, b));
  if (sign == "==") return truth(a == b);
  if (sign == "!=") return truth(a != b);
  if (sign == "<") return truth(a < b);
  if (sign == "<=") return truth(a <= b);
  if (sign == ">") return truth(a > b);
  if (sign == ">=") return truth(a >= b);
}

}  // namespace croftrun::expr
