// The syntax tree of an expression, and its parser.
#ifndef CROFTRUN_EXPR_TREE_H_
#define CROFTRUN_EXPR_TREE_H_

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "expr/lex.h"

namespace croftrun::expr {

// The kinds of nodes of a syntax tree.
enum class NodeKind : std::uint8_t {
  kConstant,
  kName,
  kUnary,
  kBinary,
  kInList,
  kInRange,
  kMatches,
  kHas,
  kDefault,
  kIf,
  kLength,
  kCall,
  kLookup,
  kToDouble  // inserted by the checker
};

// A node of a syntax tree.
struct Node {
  NodeKind kind = NodeKind::kConstant;
  std::size_t offset = 0;  // in the source
  std::string_view op;     // of kUnary and kBinary
  Token token;             // of literals and names; the pattern of kMatches
  std::vector<std::unique_ptr<Node>> children;
  // Set by the checker.
  Type type = Type::kBool;
  std::string enumeration;
  std::size_t index = 0;       // of the attribute or map
  std::size_t max_octets = 0;  // of a text
  bool constant = false;
  bool definitions_expanded = false;  // in the body of a definition: the name refers to no other definition
  std::int64_t number = 0;            // of a constant; for an address, `token.last_address` is the end of the prefix
  std::uint32_t value_number = 0;     // equal for equivalent subexpressions (CommonSubexpressions)
};
using Tree = std::unique_ptr<Node>;

// Copies a tree without the results of the checker.
Tree Clone(const Node& node);

// A recursive-descent parser with one token of look-ahead. The depth is bounded, so that hostile nesting is reported as
// an error.
class Parser {
 public:
  Parser(std::vector<Token> tokens, const Limits& limits, Reporter* reporter)
      : tokens_(std::move(tokens)), limits_(limits), reporter_(reporter) {}

  // Returns the next token without consuming it.
  const Token& Peek() const { return tokens_[position_]; }
  bool NextIs(std::string_view text) const { return Peek().kind != TokenKind::kText && Peek().text == text; }
  // Consumes the next token if it is `text`.
  bool Accept(std::string_view text) {
    if (!NextIs(text)) return false;
    ++position_;
    return true;
  }
  // Consumes the next token. The end token is never consumed.
  Token Advance() { return tokens_[position_ + 1 < tokens_.size() ? position_++ : position_]; }
  // Consumes the next token if it is `text`, otherwise reports an error.
  bool Expect(std::string_view text);
  // Reads a name that is not a keyword.
  bool ExpectName(Token* name, const std::string& expected);
  // Reports that the next token is not what was expected.
  void ReportExpected(const std::string& expected);
  bool AtEnd() const { return Peek().kind == TokenKind::kEnd; }
  // Skips the rest of an item after an error.
  void SkipPastSemicolon();

  // The Parse functions return null after an error, which has been reported.
  Tree ParseExpression();
  Tree ParseOperand() { return ParseSum(); }
  Tree ParseSigned() { return NextIs("-") ? ParseUnary(&Parser::ParseSigned) : ParseDefault(); }
  // Parses the right operand of `in`, [a, b, ...] or a .. b; the left operand is an empty node.
  Tree ParseInOperand();

 private:
  template <typename NextLevel>
  Tree ParseBalanced(std::string_view op, NextLevel parse_operand);
  static Tree BuildBalanced(std::vector<Tree>* operands, const std::vector<Token>& operators, std::size_t begin,
                            std::size_t end);
  template <typename NextLevel>
  Tree ParseLeftAssociative(std::initializer_list<std::string_view> operators, NextLevel parse_operand);
  template <typename NextLevel>
  Tree ParseBinary(Tree left, NextLevel parse_operand);
  Tree ParseUnary(Tree (Parser::*parse_operand)());
  Tree ParseComparison();
  Tree ParseNot() { return NextIs("not") ? ParseUnary(&Parser::ParseNot) : ParseComparison(); }
  Tree StartNode(NodeKind kind, Tree left);
  bool ParseInOperandInto(Node* node);
  Tree ParseSum();
  Tree ParseDefault();
  Tree ParsePrimary();
  bool EnterLevel();

  std::vector<Token> tokens_;
  const Limits& limits_;
  Reporter* reporter_;
  std::size_t position_ = 0, depth_ = 0;
  bool depth_reported_ = false;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_TREE_H_
