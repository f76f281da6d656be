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
  copy->kind = node.kind;
  copy->offset = node.offset;
  copy->op = node.op;
  copy->token = node.token;
  copy->definitions_expanded = node.definitions_expanded;
  for (const Tree& child : node.children) copy->children.push_back(Clone(*child));
  return copy;
}

bool Parser::Expect(std::string_view text) {
  if (Accept(text)) return true;
  ReportExpected("'" + std::string(text) + "'");
  return false;
}

bool Parser::ExpectName(Token* name, const std::string& expected) {
  if (Peek().kind != TokenKind::kName || kKeywords.count(Peek().text) > 0) {
    ReportExpected(expected);
    return false;
  }
  *name = Advance();
  return true;
}

void Parser::ReportExpected(const std::string& expected) {
  const Token& found = Peek();
  reporter_->Report(
      found.offset,
      "expected " + expected + ", found " +
          (found.kind == TokenKind::kEnd ? std::string("the end") : "'" + std::string(found.text.substr(0, 40)) + "'"));
}

void Parser::SkipPastSemicolon() {
  while (!AtEnd() && !Accept(";")) ++position_;
}

bool Parser::EnterLevel() {
  if (++depth_ <= limits_.max_depth) return true;
  if (!depth_reported_)
    reporter_->Report(Peek().offset,
                      "expected at most " + std::to_string(limits_.max_depth) + " levels, found deeper nesting");
  depth_reported_ = true;
  --depth_;
  return false;
}

Tree Parser::ParseExpression() {
  if (!EnterLevel()) return nullptr;
  Tree tree = ParseBalanced("or", [this] { return ParseBalanced("and", [this] { return ParseNot(); }); });
  --depth_;
  return tree;
}

// Parses a and b and c ... into a balanced tree, so that a long condition does not make a deep tree.
template <typename NextLevel>
Tree Parser::ParseBalanced(std::string_view op, NextLevel parse_operand) {
  std::vector<Tree> operands;
  std::vector<Token> operators;
  do {
    operands.push_back(parse_operand());
    if (operands.back() == nullptr) return nullptr;
    if (NextIs(op)) operators.push_back(Peek());
  } while (Accept(op));
  return BuildBalanced(&operands, operators, 0, operands.size());
}

Tree Parser::BuildBalanced(std::vector<Tree>* operands, const std::vector<Token>& operators, std::size_t begin,
                           std::size_t end) {
  if (end - begin == 1) return std::move((*operands)[begin]);
  const std::size_t middle = begin + (end - begin + 1) / 2;
  auto node = std::make_unique<Node>();
  node->kind = NodeKind::kBinary;
  node->offset = operators[middle - 1].offset;
  node->op = operators[middle - 1].text;
  node->children.push_back(BuildBalanced(operands, operators, begin, middle));
  node->children.push_back(BuildBalanced(operands, operators, middle, end));
  return node;
}

template <typename NextLevel>
Tree Parser::ParseLeftAssociative(std::initializer_list<std::string_view> operators, NextLevel parse_operand) {
  Tree left = parse_operand();
  for (std::size_t terms = 0; left != nullptr; ++terms) {
    const auto op = std::find_if(operators.begin(), operators.end(), [this](auto s) { return NextIs(s); });
    if (op == operators.end()) break;
    if (terms >= limits_.max_depth) {
      reporter_->Report(Peek().offset,
                        "expected at most " + std::to_string(limits_.max_depth) + " terms in a row, found more");
      return nullptr;
    }
    left = ParseBinary(std::move(left), parse_operand);
  }
  return left;
}

template <typename NextLevel>
Tree Parser::ParseBinary(Tree left, NextLevel parse_operand) {
  auto node = std::make_unique<Node>();
  node->kind = NodeKind::kBinary;
  const Token op = Advance();
  node->offset = op.offset;
  node->op = op.text;
  node->children.push_back(std::move(left));
  node->children.push_back(parse_operand());
  return node->children[1] == nullptr ? nullptr : std::move(node);
}

Tree Parser::ParseUnary(Tree (Parser::*parse_operand)()) {
  auto node = std::make_unique<Node>();
  node->kind = NodeKind::kUnary;
  const Token op = Advance();
  node->offset = op.offset;
  node->op = op.text;
  if (!EnterLevel()) return nullptr;
  node->children.push_back((this->*parse_operand)());
  --depth_;
  return node->children[0] == nullptr ? nullptr : std::move(node);
}

Tree Parser::ParseComparison() {
  Tree left = ParseSum();
  if (left == nullptr) return nullptr;
  for (const std::string_view op : {"==", "!=", "<", "<=", ">", ">=", "starts_with", "ends_with", "contains"}) {
    if (NextIs(op)) return ParseBinary(std::move(left), [this] { return ParseSum(); });
  }
  if (NextIs("matches")) {
    Tree node = StartNode(NodeKind::kMatches, std::move(left));
    if (Peek().kind != TokenKind::kText) {
      ReportExpected("a regular expression as a text");
      return nullptr;
    }
    node->token = Advance();
    return node;
  }
  if (NextIs("in")) {
    Tree node = StartNode(NodeKind::kInList, std::move(left));
    return ParseInOperandInto(node.get()) ? std::move(node) : nullptr;
  }
  return left;
}

// Parses what follows `in`: a list, a range, the name of a list, or an address prefix.
bool Parser::ParseInOperandInto(Node* node) {
  if (!Accept("[")) {
    Tree low = ParseSum();
    if (low == nullptr) return false;
    if (!NextIs("..") && (low->kind == NodeKind::kName ||
                          (low->kind == NodeKind::kConstant && low->token.kind == TokenKind::kAddress))) {
      node->token = low->token;
      if (low->kind == NodeKind::kConstant) node->children.push_back(std::move(low));
      return true;
    }
    if (!Expect("..")) return false;
    Tree high = ParseSum();
    if (high == nullptr) return false;
    node->kind = NodeKind::kInRange;
    node->children.push_back(std::move(low));
    node->children.push_back(std::move(high));
    return true;
  }
  while (!NextIs("]")) {
    if (node->children.size() > limits_.max_list_items) {
      reporter_->Report(Peek().offset,
                        "expected at most " + std::to_string(limits_.max_list_items) + " items, found more");
      return false;
    }
    Tree item = ParseSigned();
    if (item == nullptr) return false;
    node->children.push_back(std::move(item));
    if (!Accept(",")) break;
  }
  return Expect("]");
}

Tree Parser::ParseInOperand() {
  auto node = std::make_unique<Node>();
  node->kind = NodeKind::kInList;
  node->offset = Peek().offset;
  node->children.push_back(std::make_unique<Node>());
  return ParseInOperandInto(node.get()) ? std::move(node) : nullptr;
}

// Consumes the operator and makes a node of it with its left operand.
Tree Parser::StartNode(NodeKind kind, Tree left) {
  auto node = std::make_unique<Node>();
  node->kind = kind;
  node->offset = Advance().offset;
  node->children.push_back(std::move(left));
  return node;
}

Tree Parser::ParseSum() {
  return ParseLeftAssociative({"+", "-"}, [this] {
    return ParseLeftAssociative({"*", "/", "%"}, [this] { return ParseSigned(); });
  });
}

Tree Parser::ParseDefault() {
  Tree left = ParsePrimary();
  if (left == nullptr || !NextIs("default")) return left;
  Tree node = StartNode(NodeKind::kDefault, std::move(left));
  node->children.push_back(ParseSigned());
  return node->children[1] == nullptr ? nullptr : std::move(node);
}

Tree Parser::ParsePrimary() {
  auto node = std::make_unique<Node>();
  node->offset = Peek().offset;
  if (Accept("(")) {
    Tree inner = ParseExpression();
    return inner != nullptr && Expect(")") ? std::move(inner) : nullptr;
  }
  if (Accept("if")) {
    node->kind = NodeKind::kIf;
    for (const std::string_view keyword : {"then", "else", ""}) {
      node->children.push_back(ParseExpression());
      if (node->children.back() == nullptr || (!keyword.empty() && !Expect(keyword))) return nullptr;
    }
    return node;
  }
  if (NextIs("has") || NextIs("length")) {
    node->kind = Accept("has") ? NodeKind::kHas : (Advance(), NodeKind::kLength);
    if (!Expect("(")) return nullptr;
    if (node->kind == NodeKind::kLength) {
      node->children.push_back(ParseExpression());
      if (node->children[0] == nullptr) return nullptr;
    } else if (Peek().kind != TokenKind::kName) {
      ReportExpected("the name of an attribute");
      return nullptr;
    } else {
      node->token = Advance();
    }
    return Expect(")") ? std::move(node) : nullptr;
  }
  const bool is_name = Peek().kind == TokenKind::kName;
  const bool is_boolean = NextIs("true") || NextIs("false");
  if (Peek().kind == TokenKind::kEnd || Peek().kind == TokenKind::kSymbol ||
      (is_name && !is_boolean && kKeywords.count(Peek().text) > 0)) {
    ReportExpected("a value");
    return nullptr;
  }
  node->kind = is_name && !is_boolean ? NodeKind::kName : NodeKind::kConstant;
  node->token = Advance();
  if (node->kind != NodeKind::kName) return node;
  if (Accept("(")) {
    node->kind = NodeKind::kCall;
    while (!NextIs(")")) {
      node->children.push_back(ParseExpression());
      if (node->children.back() == nullptr) return nullptr;
      if (!Accept(",")) break;
    }
    return Expect(")") ? std::move(node) : nullptr;
  }
  if (Accept("[")) {
    node->kind = NodeKind::kLookup;
    node->children.push_back(ParseExpression());
    return node->children[0] != nullptr && Expect("]") ? std::move(node) : nullptr;
  }
  return node;
}

}  // namespace croftrun::expr
