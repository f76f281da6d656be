#include <algorithm>
#include <set>
#include <utility>

#include "expr/tree.h"

namespace croftrun::expr {
namespace {

const std::set<std::string_view> kKeywords = {"and",   "or",      "not",     "in",       "has",         "if",
                                              "then",  "else",    "true",    "false",    "when",        "rule",
                                              "table", "default", "matches", "contains", "starts_with", "ends_with",
                                              "let",   "fn",      "counter", "example"};

}  // namespace

Tree Clone(const Node& node) {
  auto copy = std::make_unique<Node>();
  copy->shape = node.shape;
  copy->at = node.at;
  copy->sign = node.sign;
  copy->token = node.token;
  copy->closed = node.closed;
  for (const Tree& part : node.parts) copy->parts.push_back(Clone(*part));
  return copy;
}

bool Parser::Expect(std::string_view text) {
  if (Take(text)) return true;
  Wrong("'" + std::string(text) + "'");
  return false;
}

bool Parser::ExpectName(Token* name, const std::string& expected) {
  if (Next().kind != Kind::kName || kKeywords.count(Next().text) > 0) {
    Wrong(expected);
    return false;
  }
  *name = TakeAny();
  return true;
}

void Parser::Wrong(const std::string& expected) {
  const Token& found = Next();
  reporter_->Say(found.at, "expected " + expected + ", found " +
                               (found.kind == Kind::kEnd ? std::string("the end")
                                                         : "'" + std::string(found.text.substr(0, 40)) + "'"));
}

void Parser::SkipItem() {
  while (!AtEnd() && !Take(";")) ++at_;
}

bool Parser::Deeper() {
  if (++depth_ <= limits_.deepest) return true;
  if (!too_deep_)
    reporter_->Say(Next().at, "expected at most " + std::to_string(limits_.deepest) + " levels, found deeper nesting");
  too_deep_ = true;
  --depth_;
  return false;
}

Tree Parser::Expression() {
  if (!Deeper()) return nullptr;
  Tree tree = Junction("or", [this] { return Junction("and", [this] { return Not(); }); });
  --depth_;
  return tree;
}

// a and b and c ...: joined in the middle, so that a long one is no deep one.
template <typename Below>
Tree Parser::Junction(std::string_view sign, Below below) {
  std::vector<Tree> parts;
  std::vector<Token> signs;
  do {
    parts.push_back(below());
    if (parts.back() == nullptr) return nullptr;
    if (Is(sign)) signs.push_back(Next());
  } while (Take(sign));
  return Join(&parts, signs, 0, parts.size());
}

Tree Parser::Join(std::vector<Tree>* parts, const std::vector<Token>& signs, std::size_t from, std::size_t to) {
  if (to - from == 1) return std::move((*parts)[from]);
  const std::size_t middle = from + (to - from + 1) / 2;
  auto node = std::make_unique<Node>();
  node->shape = Shape::kBinary;
  node->at = signs[middle - 1].at;
  node->sign = signs[middle - 1].text;
  node->parts.push_back(Join(parts, signs, from, middle));
  node->parts.push_back(Join(parts, signs, middle, to));
  return node;
}

template <typename Below>
Tree Parser::Chain(std::initializer_list<std::string_view> signs, Below below) {
  Tree left = below();
  for (std::size_t links = 0; left != nullptr; ++links) {
    const auto sign = std::find_if(signs.begin(), signs.end(), [this](auto s) { return Is(s); });
    if (sign == signs.end()) break;
    if (links >= limits_.deepest) {
      reporter_->Say(Next().at, "expected at most " + std::to_string(limits_.deepest) + " terms in a row, found more");
      return nullptr;
    }
    left = Binary(std::move(left), below);
  }
  return left;
}

template <typename Below>
Tree Parser::Binary(Tree left, Below below) {
  auto node = std::make_unique<Node>();
  node->shape = Shape::kBinary;
  const Token sign = TakeAny();
  node->at = sign.at;
  node->sign = sign.text;
  node->parts.push_back(std::move(left));
  node->parts.push_back(below());
  return node->parts[1] == nullptr ? nullptr : std::move(node);
}

Tree Parser::Unary(Tree (Parser::*below)()) {
  auto node = std::make_unique<Node>();
  node->shape = Shape::kUnary;
  const Token sign = TakeAny();
  node->at = sign.at;
  node->sign = sign.text;
  if (!Deeper()) return nullptr;
  node->parts.push_back((this->*below)());
  --depth_;
  return node->parts[0] == nullptr ? nullptr : std::move(node);
}

Tree Parser::Comparison() {
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
    return InInto(node.get()) ? std::move(node) : nullptr;
  }
  return left;
}

// What stands behind `in`: a list, a range, the name of a list, or a prefix of addresses.
bool Parser::InInto(Node* node) {
  if (!Take("[")) {
    Tree low = Sum();
    if (low == nullptr) return false;
    if (!Is("..") &&
        (low->shape == Shape::kName || (low->shape == Shape::kConstant && low->token.kind == Kind::kAddress))) {
      node->token = low->token;
      if (low->shape == Shape::kConstant) node->parts.push_back(std::move(low));
      return true;
    }
    if (!Expect("..")) return false;
    Tree high = Sum();
    if (high == nullptr) return false;
    node->shape = Shape::kRange;
    node->parts.push_back(std::move(low));
    node->parts.push_back(std::move(high));
    return true;
  }
  while (!Is("]")) {
    if (node->parts.size() > limits_.longest_list) {
      reporter_->Say(Next().at, "expected at most " + std::to_string(limits_.longest_list) + " items, found more");
      return false;
    }
    Tree item = Sign();
    if (item == nullptr) return false;
    node->parts.push_back(std::move(item));
    if (!Take(",")) break;
  }
  return Expect("]");
}

Tree Parser::InOperand() {
  auto node = std::make_unique<Node>();
  node->shape = Shape::kIn;
  node->at = Next().at;
  node->parts.push_back(std::make_unique<Node>());
  return InInto(node.get()) ? std::move(node) : nullptr;
}

// A node made of the present sign and what stands before it.
Tree Parser::Around(Shape shape, Tree left) {
  auto node = std::make_unique<Node>();
  node->shape = shape;
  node->at = TakeAny().at;
  node->parts.push_back(std::move(left));
  return node;
}

Tree Parser::Sum() {
  return Chain({"+", "-"}, [this] { return Chain({"*", "/", "%"}, [this] { return Sign(); }); });
}

Tree Parser::Default() {
  Tree left = Primary();
  if (left == nullptr || !Is("default")) return left;
  Tree node = Around(Shape::kOr, std::move(left));
  node->parts.push_back(Sign());
  return node->parts[1] == nullptr ? nullptr : std::move(node);
}

Tree Parser::Primary() {
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
  if (Next().kind == Kind::kEnd || Next().kind == Kind::kSymbol ||
      (word && !truth && kKeywords.count(Next().text) > 0)) {
    Wrong("a value");
    return nullptr;
  }
  node->shape = word && !truth ? Shape::kName : Shape::kConstant;
  node->token = TakeAny();
  if (node->shape != Shape::kName) return node;
  if (Take("(")) {
    node->shape = Shape::kCall;
    while (!Is(")")) {
      node->parts.push_back(Expression());
      if (node->parts.back() == nullptr) return nullptr;
      if (!Take(",")) break;
    }
    return Expect(")") ? std::move(node) : nullptr;
  }
  if (Take("[")) {
    node->shape = Shape::kLookup;
    node->parts.push_back(Expression());
    return node->parts[0] != nullptr && Expect("]") ? std::move(node) : nullptr;
  }
  return node;
}

}  // namespace croftrun::expr
