// Text to program: lexer, parser, type checker, generator. Each stage goes on after a mistake where it can, so that all
// mistakes of a file are told at once.
#include <re2/re2.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>
#include <utility>

#include "expr/expr.h"

namespace croftrun::expr {
namespace {

enum class Kind : std::uint8_t { kEnd, kName, kInt, kDuration, kText, kSymbol };

struct Token {
  Kind kind = Kind::kEnd;
  std::string_view text;    // as written
  std::string value;        // of a text, without quotes and escapes
  std::int64_t number = 0;  // of an int; microseconds of a duration
  std::size_t at = 0;       // offset in the source
};

std::string_view NameOf(Type type) {
  switch (type) {
    case Type::kBool:
      return "a condition";
    case Type::kInt:
      return "a whole number";
    case Type::kString:
      return "a text";
    case Type::kDuration:
      return "a duration";
    case Type::kEnum:
      return "a word of an enumeration";
  }
  return "?";
}

// Collects mistakes with their place in the source.
class Reporter {
 public:
  Reporter(std::string_view source, const Limits& limits, std::vector<Mistake>* mistakes)
      : source_(source), limits_(limits), mistakes_(mistakes) {}

  void Say(std::size_t at, std::string text) {
    ++count_;
    if (mistakes_->size() >= limits_.most_mistakes) return;
    at = std::min(at, source_.size());
    Mistake mistake;
    mistake.line = 1 + static_cast<std::size_t>(std::count(source_.begin(), source_.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
    const std::size_t begin = at == 0 ? 0 : source_.rfind('\n', at - 1) + 1;  // npos + 1 is 0
    mistake.column = at - begin + 1;
    mistake.text = std::move(text);
    // A window of the line around the place: a line may be megabytes long.
    const std::size_t from = mistake.column > 60 ? at - 60 : begin;
    std::string_view line = source_.substr(from, 120);
    line = line.substr(0, line.find('\n'));
    for (const char c : line) mistake.shown += c >= ' ' && c <= '~' ? c : '?';
    mistake.shown += "\n" + std::string(at - from, ' ') + "^";
    mistakes_->push_back(std::move(mistake));
  }
  std::size_t count() const { return count_; }

 private:
  std::string_view source_;
  const Limits& limits_;
  std::vector<Mistake>* mistakes_;
  std::size_t count_ = 0;
};

std::size_t Distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j)
      diagonal = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)}));
  }
  return row[b.size()];
}

// ", did you mean ...?" where some known name is near; else the names.
template <typename Names>
std::string Suggest(std::string_view name, const Names& names) {
  std::string best, all;
  std::size_t least = 3;
  for (const std::string& known : names) {
    if (const std::size_t d = Distance(name.substr(0, 40), known); d < least) least = d, best = known;
    if (all.size() < 120) all += (all.empty() ? "" : ", ") + known;
  }
  return best.empty() ? "; known are " + all : "; did you mean '" + best + "'?";
}

// ---- lexer ----

bool IsDigit(char c) { return c >= '0' && c <= '9'; }
bool IsNameStart(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }

std::vector<Token> Lex(std::string_view source, const Limits& limits, Reporter* reporter) {
  std::vector<Token> tokens;
  std::size_t at = 0;
  while (at < source.size()) {
    const char c = source[at];
    if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
      ++at;
      continue;
    }
    if (c == '#') {
      at = std::min(source.size(), source.find('\n', at));
      continue;
    }
    if (tokens.size() >= limits.most_tokens) {
      reporter->Say(at, "expected at most " + std::to_string(limits.most_tokens) + " words and signs, found more");
      break;
    }
    Token token;
    token.at = at;
    std::size_t end = at + 1;
    if (IsNameStart(c)) {
      // Words of enumerations may hold dashes: slot-check. A minus sign therefore needs a space before it.
      while (end < source.size() && (IsNameStart(source[end]) || IsDigit(source[end]) ||
                                     (source[end] == '-' && end + 1 < source.size() && IsNameStart(source[end + 1]))))
        ++end;
      token.kind = Kind::kName;
    } else if (IsDigit(c)) {
      while (end < source.size() && IsDigit(source[end])) ++end;
      token.kind = Kind::kInt;
      const auto [stop, error] = std::from_chars(source.data() + at, source.data() + end, token.number);
      if (error != std::errc()) reporter->Say(at, "expected a whole number up to 9223372036854775807, found a larger one");
      const std::size_t digits = end;
      while (end < source.size() && IsNameStart(source[end])) ++end;
      if (end > digits) {
        const auto unit = source.substr(digits, end - digits);
        const std::int64_t scale = unit == "ms" ? 1'000 : unit == "s" ? 1'000'000 : unit == "min" ? 60'000'000 : unit == "h" ? 3'600'000'000 : 0;
        token.kind = Kind::kDuration;
        if (scale == 0) reporter->Say(digits, "expected a unit (ms, s, min, h), found '" + std::string(unit.substr(0, 20)) + "'");
        if (__builtin_mul_overflow(token.number, scale, &token.number)) reporter->Say(at, "expected a duration that can be counted in microseconds, found a longer one");
      }
    } else if (c == '"') {
      token.kind = Kind::kText;
      bool closed = false;
      for (; end < source.size() && source[end] != '\n'; ++end) {
        if (source[end] == '"') {
          closed = true;
          ++end;
          break;
        }
        if (source[end] == '\\' && end + 1 < source.size()) ++end;
        token.value += source[end];
      }
      if (!closed) reporter->Say(at, "expected a text that ends on its line with \", found none");
    } else {
      token.kind = Kind::kSymbol;
      const auto two = source.substr(at, 2);
      if (two == "==" || two == "!=" || two == "<=" || two == ">=" || two == "..") {
        end = at + 2;
      } else if (std::string_view("()[],;<>+-*/%=").find(c) == std::string_view::npos) {
        reporter->Say(at, "expected a word, number, text or sign, found a character that is none");
        at = end;
        continue;
      }
    }
    token.text = source.substr(at, end - at);
    tokens.push_back(std::move(token));
    at = end;
  }
  Token last;
  last.at = source.size();
  tokens.push_back(last);
  return tokens;
}

// ---- tree ----

enum class Shape : std::uint8_t { kConstant, kName, kUnary, kBinary, kIn, kRange, kMatches, kHas, kOr, kIf, kLength };

struct Node {
  Shape shape = Shape::kConstant;
  std::size_t at = 0;
  std::string_view sign;  // of unary and binary
  Token token;            // of constants and names
  std::vector<std::unique_ptr<Node>> parts;
  // Set by the checker.
  Type type = Type::kBool;
  std::string enumeration;
  std::size_t attribute = 0;
  std::size_t longest = 0;  // octets of a text
  bool constant = false;
  std::int64_t number = 0;  // of a constant
};
using Tree = std::unique_ptr<Node>;

const std::set<std::string_view> kKeywords = {"and", "or",  "not",  "in",   "has",    "if",     "then", "else",   "true",
                                              "false", "when", "rule", "default", "matches", "contains", "starts_with", "ends_with"};

// Recursive descent with one token of look-ahead; the depth is bounded, so hostile nesting ends in a mistake.
class Parser {
 public:
  Parser(std::vector<Token> tokens, const Limits& limits, Reporter* reporter)
      : tokens_(std::move(tokens)), limits_(limits), reporter_(reporter) {}

  const Token& Next() const { return tokens_[at_]; }
  bool Is(std::string_view text) const { return Next().kind != Kind::kText && Next().text == text; }
  bool Take(std::string_view text) {
    if (!Is(text)) return false;
    ++at_;
    return true;
  }
  Token TakeAny() { return tokens_[at_ + 1 < tokens_.size() ? at_++ : at_]; }
  bool Expect(std::string_view text) {
    if (Take(text)) return true;
    Wrong("'" + std::string(text) + "'");
    return false;
  }
  void Wrong(const std::string& expected) {
    const Token& found = Next();
    reporter_->Say(found.at, "expected " + expected + ", found " +
                                 (found.kind == Kind::kEnd ? std::string("the end") : "'" + std::string(found.text.substr(0, 40)) + "'"));
  }
  bool AtEnd() const { return Next().kind == Kind::kEnd; }
  // After a mistake: to the next rule.
  void SkipRule() {
    while (!AtEnd() && !Take(";")) ++at_;
  }

  Tree Expression() {
    if (++depth_ > limits_.deepest) {
      if (!too_deep_) reporter_->Say(Next().at, "expected at most " + std::to_string(limits_.deepest) + " levels, found deeper nesting");
      too_deep_ = true;
      --depth_;
      return nullptr;
    }
    Tree tree = Chain({"or"}, [this] { return Chain({"and"}, [this] { return Not(); }); });
    --depth_;
    return tree;
  }

 private:
  template <typename Below>
  Tree Chain(std::initializer_list<std::string_view> signs, Below below) {
    Tree left = below();
    while (left != nullptr) {
      const auto sign = std::find_if(signs.begin(), signs.end(), [this](auto s) { return Is(s); });
      if (sign == signs.end()) break;
      left = Binary(std::move(left), below);
    }
    return left;
  }
  template <typename Below>
  Tree Binary(Tree left, Below below) {
    auto node = std::make_unique<Node>();
    node->shape = Shape::kBinary;
    const Token sign = TakeAny();
    node->at = sign.at;
    node->sign = sign.text;
    node->parts.push_back(std::move(left));
    node->parts.push_back(below());
    return node->parts[1] == nullptr ? nullptr : std::move(node);
  }
  Tree Unary(Tree (Parser::*below)()) {
    auto node = std::make_unique<Node>();
    node->shape = Shape::kUnary;
    const Token sign = TakeAny();
    node->at = sign.at;
    node->sign = sign.text;
    if (++depth_ > limits_.deepest) {
      if (!too_deep_) reporter_->Say(sign.at, "expected at most " + std::to_string(limits_.deepest) + " levels, found deeper nesting");
      too_deep_ = true;
      --depth_;
      return nullptr;
    }
    node->parts.push_back((this->*below)());
    --depth_;
    return node->parts[0] == nullptr ? nullptr : std::move(node);
  }
  Tree Not() { return Is("not") ? Unary(&Parser::Not) : Comparison(); }

  Tree Comparison() {
    Tree left = Sum();
    if (left == nullptr) return nullptr;
    for (const std::string_view sign : {"==", "!=", "<", "<=", ">", ">=", "starts_with", "ends_with", "contains"}) {
      if (Is(sign)) return Binary(std::move(left), [this] { return Sum(); });
    }
    if (Is("matches")) {
      Tree node = Around(Shape::kMatches, std::move(left));
      if (Next().kind != Kind::kText) {
        Wrong("a regular expression as a text");
        return nullptr;
      }
      node->token = TakeAny();
      return node;
    }
    if (Is("in")) {
      Tree node = Around(Shape::kIn, std::move(left));
      if (!Take("[")) {
        Tree low = Sum();
        if (low == nullptr || !Expect("..")) return nullptr;
        Tree high = Sum();
        if (high == nullptr) return nullptr;
        node->shape = Shape::kRange;
        node->parts.push_back(std::move(low));
        node->parts.push_back(std::move(high));
        return node;
      }
      while (!Is("]")) {
        if (node->parts.size() > limits_.longest_list) {
          reporter_->Say(Next().at, "expected at most " + std::to_string(limits_.longest_list) + " items, found more");
          return nullptr;
        }
        Tree item = Sign();
        if (item == nullptr) return nullptr;
        node->parts.push_back(std::move(item));
        if (!Take(",")) break;
      }
      return Expect("]") ? std::move(node) : nullptr;
    }
    return left;
  }
  // A node made of the present sign and what stands before it.
  Tree Around(Shape shape, Tree left) {
    auto node = std::make_unique<Node>();
    node->shape = shape;
    node->at = TakeAny().at;
    node->parts.push_back(std::move(left));
    return node;
  }
  Tree Sum() {
    return Chain({"+", "-"}, [this] { return Chain({"*", "/", "%"}, [this] { return Sign(); }); });
  }
  Tree Sign() { return Is("-") ? Unary(&Parser::Sign) : Default(); }
  Tree Default() {
    Tree left = Primary();
    if (left == nullptr || !Is("default")) return left;
    Tree node = Around(Shape::kOr, std::move(left));
    node->parts.push_back(Sign());
    return node->parts[1] == nullptr ? nullptr : std::move(node);
  }

  Tree Primary() {
    auto node = std::make_unique<Node>();
    node->at = Next().at;
    if (Take("(")) {
      Tree inner = Expression();
      return inner != nullptr && Expect(")") ? std::move(inner) : nullptr;
    }
    if (Take("if")) {
      node->shape = Shape::kIf;
      for (const std::string_view word : {"then", "else", ""}) {
        node->parts.push_back(Expression());
        if (node->parts.back() == nullptr || (!word.empty() && !Expect(word))) return nullptr;
      }
      return node;
    }
    if (Is("has") || Is("length")) {
      node->shape = Take("has") ? Shape::kHas : (TakeAny(), Shape::kLength);
      if (!Expect("(")) return nullptr;
      if (node->shape == Shape::kLength) {
        node->parts.push_back(Expression());
        if (node->parts[0] == nullptr) return nullptr;
      } else if (Next().kind != Kind::kName) {
        Wrong("the name of an attribute");
        return nullptr;
      } else {
        node->token = TakeAny();
      }
      return Expect(")") ? std::move(node) : nullptr;
    }
    const bool word = Next().kind == Kind::kName;
    const bool truth = Is("true") || Is("false");
    if (Next().kind == Kind::kEnd || Next().kind == Kind::kSymbol || (word && !truth && kKeywords.count(Next().text) > 0)) {
      Wrong("a value");
      return nullptr;
    }
    node->shape = word && !truth ? Shape::kName : Shape::kConstant;
    node->token = TakeAny();
    return node;
  }

  std::vector<Token> tokens_;
  const Limits& limits_;
  Reporter* reporter_;
  std::size_t at_ = 0, depth_ = 0;
  bool too_deep_ = false;
};

// ---- checker ----

class Checker {
 public:
  Checker(const Schema& schema, Reporter* reporter) : schema_(schema), reporter_(reporter) {}

  // Names, types, and that an attribute which may be absent is used only where it is known to be there.
  // `expected`: nothing where any type will do.
  bool Check(Node& node, std::optional<Type> expected) {
    const std::size_t before = reporter_->count();
    const bool fine = Visit(node, nullptr, {});
    if (fine && expected && node.type != *expected) Mismatch(node, *expected);
    return fine && reporter_->count() == before;
  }

 private:
  using Present = std::set<std::size_t>;  // attributes known to be there

  void Mismatch(const Node& node, Type expected) {
    reporter_->Say(node.at, "expected " + std::string(NameOf(expected)) + ", found " + std::string(NameOf(node.type)));
  }

  // Which attributes are there if `node` is true.
  void Holds(const Node& node, Present* present) const {
    if (node.shape == Shape::kHas) present->insert(node.attribute);
    if (node.shape == Shape::kBinary && node.sign == "and") {
      for (const Tree& part : node.parts) Holds(*part, present);
    }
  }

  // `peer`: what it is compared with, by which a word of an enumeration is understood. False: a mistake was told.
  bool Visit(Node& node, const Node* peer, const Present& present) {
    switch (node.shape) {
      case Shape::kConstant:
        node.constant = true;
        node.number = node.token.number;
        node.type = node.token.kind == Kind::kText       ? Type::kString
                    : node.token.kind == Kind::kInt      ? Type::kInt
                    : node.token.kind == Kind::kDuration ? Type::kDuration
                                                         : Type::kBool;
        if (node.type == Type::kBool) node.number = node.token.text == "true" ? 1 : 0;
        node.longest = node.token.value.size();
        return true;
      case Shape::kName:
        return VisitName(node, peer, present, false);
      case Shape::kHas: {
        node.type = Type::kBool;
        Node inner;
        inner.at = node.token.at;
        inner.token = node.token;
        if (!VisitName(inner, nullptr, present, true)) return false;
        node.attribute = inner.attribute;
        return true;
      }
      case Shape::kLength:
        node.type = Type::kInt;
        return Visit(*node.parts[0], nullptr, present) && Want(*node.parts[0], Type::kString);
      case Shape::kUnary:
        if (!Visit(*node.parts[0], nullptr, present)) return false;
        node.type = node.sign == "not" ? Type::kBool : node.parts[0]->type;
        node.constant = node.sign == "-" && node.parts[0]->constant;
        node.number = -node.parts[0]->number;  // of a constant: never the least, which no text spells
        if (node.sign == "not") return Want(*node.parts[0], Type::kBool);
        return node.type == Type::kDuration || Want(*node.parts[0], Type::kInt);
      case Shape::kBinary:
        return VisitBinary(node, present);
      case Shape::kOr: {
        Node& value = *node.parts[0];
        if (value.shape != Shape::kName) {
          reporter_->Say(value.at, "expected an attribute before 'default', found something else");
          return false;
        }
        if (!VisitName(value, nullptr, present, true) || !Visit(*node.parts[1], &value, present)) return false;
        Same(node, value, *node.parts[1]);
        return Want(*node.parts[1], value.type);
      }
      case Shape::kIf: {
        if (!Visit(*node.parts[0], nullptr, present) || !Want(*node.parts[0], Type::kBool)) return false;
        Present with = present;
        Holds(*node.parts[0], &with);
        if (!Visit(*node.parts[1], nullptr, with) || !Visit(*node.parts[2], node.parts[1].get(), present)) return false;
        Same(node, *node.parts[1], *node.parts[2]);
        return Want(*node.parts[2], node.parts[1]->type);
      }
      case Shape::kMatches:
        node.type = Type::kBool;
        return Visit(*node.parts[0], nullptr, present) && Want(*node.parts[0], Type::kString);
      case Shape::kRange:
      case Shape::kIn:
        return VisitIn(node, present);
    }
    return false;
  }

  static void Same(Node& node, const Node& a, const Node& b) {
    node.type = a.type;
    node.enumeration = a.enumeration;
    node.longest = std::max(a.longest, b.longest);
  }

  bool Want(const Node& node, Type type) {
    if (node.type == type) return true;
    Mismatch(node, type);
    return false;
  }

  bool VisitName(Node& node, const Node* peer, const Present& present, bool absent_allowed) {
    const std::string name(node.token.text);
    for (std::size_t i = 0; i < schema_.attributes.size(); ++i) {
      const Attribute& attribute = schema_.attributes[i];
      if (attribute.name != name) continue;
      node.attribute = i;
      node.type = attribute.type;
      node.enumeration = attribute.enumeration;
      node.longest = attribute.longest;
      if (!attribute.optional || absent_allowed || present.count(i) > 0) return true;
      reporter_->Say(node.at, "expected a check, has(" + name + ") and ..., or '" + name + " default ...': it may be absent");
      return false;
    }
    if (peer != nullptr && peer->type == Type::kEnum) {
      const auto& words = schema_.enumerations.at(peer->enumeration);
      const auto found = std::find(words.begin(), words.end(), name);
      node.type = Type::kEnum;
      node.enumeration = peer->enumeration;
      node.constant = true;
      node.number = found - words.begin();
      if (found != words.end()) return true;
      reporter_->Say(node.at, "expected a word of " + peer->enumeration + ", found '" + name + "'" + Suggest(name, words));
      return false;
    }
    std::vector<std::string> names;
    for (const Attribute& attribute : schema_.attributes) names.push_back(attribute.name);
    reporter_->Say(node.at, "expected an attribute, found '" + name + "'" + Suggest(name, names));
    return false;
  }

  bool VisitBinary(Node& node, const Present& present) {
    Node& left = *node.parts[0];
    Node& right = *node.parts[1];
    const std::string_view sign = node.sign;
    node.type = Type::kBool;
    if (sign == "and" || sign == "or") {
      const bool fine = Visit(left, nullptr, present) && Want(left, Type::kBool);
      Present with = present;
      if (sign == "and") Holds(left, &with);
      return Visit(right, nullptr, with) && Want(right, Type::kBool) && fine;
    }
    // A word of an enumeration is understood by the other side.
    const bool swapped = left.shape == Shape::kName && right.shape == Shape::kName && !IsAttribute(left);
    Node& known = swapped ? right : left;
    Node& other = swapped ? left : right;
    if (!Visit(known, nullptr, present) || !Visit(other, &known, present)) return false;
    if (sign == "starts_with" || sign == "ends_with" || sign == "contains")
      return Want(left, Type::kString) && Want(right, Type::kString);
    const bool arithmetic = std::string_view("+-*/%").find(sign) != std::string_view::npos;
    if (!arithmetic) {
      if (!Want(other, known.type)) return false;
      if (known.enumeration != other.enumeration) {
        reporter_->Say(node.at, "expected two of one enumeration, found " + known.enumeration + " and " + other.enumeration);
        return false;
      }
      const bool order = sign != "==" && sign != "!=";
      if (order && (known.type == Type::kEnum || known.type == Type::kBool)) {
        reporter_->Say(node.at, "expected numbers, durations or texts to order, found " + std::string(NameOf(known.type)));
        return false;
      }
      return true;
    }
    // Durations add up, and are multiplied and divided by numbers.
    const bool durations = left.type == Type::kDuration;
    if (!durations && !Want(left, Type::kInt)) return false;
    node.type = left.type;
    if (durations && (sign == "*" || sign == "/")) return Want(right, Type::kInt);
    return Want(right, left.type);
  }

  bool IsAttribute(const Node& node) const {
    return std::any_of(schema_.attributes.begin(), schema_.attributes.end(),
                       [&](const Attribute& a) { return a.name == node.token.text; });
  }

  bool VisitIn(Node& node, const Present& present) {
    node.type = Type::kBool;
    Node& value = *node.parts[0];
    if (!Visit(value, nullptr, present)) return false;
    bool fine = true;
    for (std::size_t i = 1; i < node.parts.size(); ++i) {
      Node& item = *node.parts[i];
      if (!Visit(item, &value, present) || !Want(item, value.type)) {
        fine = false;
      } else if (node.shape == Shape::kIn && !item.constant) {
        reporter_->Say(item.at, "expected a constant in a list, found something that is none");
        fine = false;
      }
    }
    if (node.shape == Shape::kRange && value.type != Type::kInt && value.type != Type::kDuration) {
      Mismatch(value, Type::kInt);
      return false;
    }
    return fine;
  }

  const Schema& schema_;
  Reporter* reporter_;
};

}  // namespace

// ---- generator ----

class Generator {
 public:
  Generator(const Schema& schema, const Limits& limits, Reporter* reporter)
      : schema_(schema), limits_(limits), reporter_(reporter) {}

  std::optional<Program> Make(const Node& node) {
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
    if (!program_.Verify(schema_.attributes.size())) {
      reporter_->Say(node.at, "expected a program that can be verified, found one too deep");
      return std::nullopt;
    }
    return std::move(program_);
  }

 private:
  std::size_t Put(Op op, std::size_t a = 0, std::uint64_t cost = 1) {
    program_.code_.push_back({op, static_cast<std::uint32_t>(a), static_cast<std::uint32_t>(std::min<std::uint64_t>(cost, 1U << 30))});
    return program_.code_.size() - 1;
  }
  void Here(std::size_t jump) { program_.code_[jump].a = static_cast<std::uint32_t>(program_.code_.size()); }

  void Constant(std::int64_t number) {
    program_.constants_.push_back({number, {}, true});
    Put(Op::kConstant, program_.constants_.size() - 1);
  }
  void TextConstant(const std::string& text) {
    program_.texts_.push_back(std::make_shared<std::string>(text));
    program_.constants_.push_back({0, *program_.texts_.back(), true});
    Put(Op::kConstant, program_.constants_.size() - 1);
  }

  void Emit(const Node& node) {
    switch (node.shape) {
      case Shape::kConstant:
        return node.type == Type::kString ? TextConstant(node.token.value) : Constant(node.number);
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
      case Shape::kUnary: {
        if (node.constant) return Constant(node.number);
        Emit(*node.parts[0]);
        Put(node.sign == "not" ? Op::kNot : Op::kNegate);
        return;
      }
      case Shape::kBinary:
        return EmitBinary(node);
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
      case Shape::kRange: {
        // low <= value and value <= high; the value is cheap or small, and is worked out twice.
        Emit(*node.parts[1]);
        Emit(*node.parts[0]);
        Put(Op::kLessEqual);
        const std::size_t out = Put(Op::kJumpIfFalse);
        Emit(*node.parts[0]);
        Emit(*node.parts[2]);
        Put(Op::kLessEqual);
        Here(out);
        return;
      }
      case Shape::kIn:
        return EmitIn(node);
      case Shape::kMatches:
        return EmitMatches(node);
    }
  }

  void EmitBinary(const Node& node) {
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
    if (left.type == Type::kString) {
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
      return;
    }
    // a > b is b < a, a >= b is b <= a.
    const bool turned = sign == ">" || sign == ">=";
    Emit(turned ? right : left);
    Emit(turned ? left : right);
    if (sign == "==") Put(Op::kEqual);
    if (sign == "!=") Put(Op::kNotEqual);
    if (sign == "<" || sign == ">") Put(Op::kLess);
    if (sign == "<=" || sign == ">=") Put(Op::kLessEqual);
    if (sign == "+") Put(Op::kAdd);
    if (sign == "-") Put(Op::kSubtract);
    if (sign == "*") Put(Op::kMultiply);
    if (sign == "/") Put(Op::kDivide);
    if (sign == "%") Put(Op::kModulo);
  }

  void EmitIn(const Node& node) {
    Emit(*node.parts[0]);
    std::uint64_t steps = 2;
    for (std::size_t n = node.parts.size(); n > 0; n /= 2) ++steps;
    if (node.parts[0]->type == Type::kString) {
      std::vector<std::string> list;
      std::size_t longest = node.parts[0]->longest;
      for (std::size_t i = 1; i < node.parts.size(); ++i) list.push_back(node.parts[i]->token.value);
      std::sort(list.begin(), list.end());
      program_.words_.push_back(std::move(list));
      Put(Op::kInTexts, program_.words_.size() - 1, steps * (1 + longest / 8));
      return;
    }
    std::vector<std::int64_t> list;
    for (std::size_t i = 1; i < node.parts.size(); ++i) list.push_back(node.parts[i]->number);
    std::sort(list.begin(), list.end());
    program_.numbers_.push_back(std::move(list));
    Put(Op::kInNumbers, program_.numbers_.size() - 1, steps);
  }

  void EmitMatches(const Node& node) {
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
      reporter_->Say(node.token.at, "expected a regular expression of at most " + std::to_string(limits_.largest_pattern) +
                                        " states, found " + std::to_string(pattern->ProgramSize()));
      failed_ = true;
      return;
    }
    // RE2 takes at most a pass over the text for each state.
    const auto states = static_cast<std::uint64_t>(pattern->ProgramSize());
    program_.patterns_.push_back(std::move(pattern));
    Put(Op::kMatches, program_.patterns_.size() - 1, 1 + states * (node.parts[0]->longest + 1) / 16);
  }

  const Schema& schema_;
  const Limits& limits_;
  Reporter* reporter_;
  Program program_;
  bool failed_ = false;
};

namespace {

std::optional<Program> CompileTree(Node* tree, std::optional<Type> type, const Schema& schema, const Limits& limits, Reporter* reporter) {
  if (tree == nullptr || !Checker(schema, reporter).Check(*tree, type)) return std::nullopt;
  return Generator(schema, limits, reporter).Make(*tree);
}

// rule NAME when CONDITION then EFFECT, EFFECT ... ;
class RuleReader {
 public:
  RuleReader(Parser* parser, const Schema& schema, const Limits& limits, Reporter* reporter)
      : parser_(parser), schema_(schema), limits_(limits), reporter_(reporter) {}

  bool Read(Rule* rule) {
    const std::size_t before = reporter_->count();
    if (!parser_->Expect("rule")) return false;
    if (parser_->Next().kind == Kind::kName && !parser_->Is("when")) rule->name = parser_->TakeAny().text;
    if (!parser_->Expect("when")) return false;
    Tree condition = parser_->Expression();
    auto program = CompileTree(condition.get(), Type::kBool, schema_, limits_, reporter_);
    if (condition == nullptr || !parser_->Expect("then")) return false;
    do {
      if (!Effect(&rule->effects)) return false;
    } while (parser_->Take(","));
    if (!parser_->Expect(";")) return false;
    if (program) rule->when = std::move(*program);
    return reporter_->count() == before;
  }

 private:
  bool Word(std::string_view enumeration, std::optional<int>* index) {
    if (!parser_->Expect("=")) return false;
    const Token token = parser_->TakeAny();
    const auto words = schema_.enumerations.find(std::string(enumeration));
    static const std::vector<std::string> kNone;
    const auto& known = words == schema_.enumerations.end() ? kNone : words->second;
    const auto found = std::find(known.begin(), known.end(), token.text);
    if (found == known.end()) {
      reporter_->Say(token.at, "expected a word of " + std::string(enumeration) + ", found '" + std::string(token.text.substr(0, 40)) +
                                   "'" + Suggest(token.text, known));
      return true;  // the rest of the rule can still be read
    }
    *index = static_cast<int>(found - known.begin());
    return true;
  }
  bool Effect(Effects* effects) {
    if (parser_->Take("class")) return Word("class", &effects->call_class);
    if (parser_->Take("customer")) return Word("customer", &effects->customer);
    if (parser_->Take("redial")) return effects->redial = true;
    if (parser_->Take("refuse")) {
      effects->refuse = true;
      if (!parser_->Take("pause")) return true;
      if (parser_->Next().kind != Kind::kDuration) {
        parser_->Wrong("a duration");
        return false;
      }
      effects->pause_us = parser_->TakeAny().number;
      return true;
    }
    if (parser_->Take("tag")) {
      if (parser_->Next().kind != Kind::kText) {
        parser_->Wrong("a text");
        return false;
      }
      effects->tags.push_back(parser_->TakeAny().value);
      return true;
    }
    parser_->Wrong("an effect (class = ..., customer = ..., refuse, redial, tag ...)");
    return false;
  }

  Parser* parser_;
  const Schema& schema_;
  const Limits& limits_;
  Reporter* reporter_;
};

bool SizeFits(std::string_view text, const Limits& limits, Reporter* reporter) {
  if (text.size() <= limits.most_octets) return true;
  reporter->Say(0, "expected at most " + std::to_string(limits.most_octets) + " octets, found " + std::to_string(text.size()));
  return false;
}

}  // namespace

std::string ToString(const std::vector<Mistake>& mistakes) {
  std::string text;
  for (const Mistake& m : mistakes)
    text += std::to_string(m.line) + ":" + std::to_string(m.column) + ": " + m.text + "\n" + m.shown + "\n";
  return text;
}

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
  return CompileTree(tree.get(), std::nullopt, schema, limits, &reporter);
}

std::optional<RuleSet> CompileRules(std::string_view text, const Schema& schema, const Limits& limits,
                                    std::vector<Mistake>* mistakes) {
  Reporter reporter(text, limits, mistakes);
  if (!SizeFits(text, limits, &reporter)) return std::nullopt;
  Parser parser(Lex(text, limits, &reporter), limits, &reporter);
  RuleSet set;
  while (!parser.AtEnd()) {
    Rule rule;
    const std::size_t at = parser.Next().at;
    rule.line = 1 + static_cast<std::size_t>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
    RuleReader reader(&parser, schema, limits, &reporter);
    const std::size_t before = reporter.count();
    if (!reader.Read(&rule) && reporter.count() > before) {
      // A rule that was read to its end needs no skipping; one that broke off does.
      if (parser.Is("rule")) continue;
      parser.SkipRule();
      continue;
    }
    set.cost_bound += rule.when.cost_bound();
    set.rules.push_back(std::move(rule));
  }
  if (reporter.count() > 0) return std::nullopt;
  return set;
}

}  // namespace croftrun::expr
