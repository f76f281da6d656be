// The tree of an expression, and its parser.
#ifndef CROFTRUN_EXPR_TREE_H_
#define CROFTRUN_EXPR_TREE_H_

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "expr/lex.h"

namespace croftrun::expr {

enum class Shape : std::uint8_t {
  kConstant,
  kName,
  kUnary,
  kBinary,
  kIn,
  kRange,
  kMatches,
  kHas,
  kOr,
  kIf,
  kLength,
  kCall,
  kLookup,
  kToDouble  // put in by the checker
};

struct Node {
  Shape shape = Shape::kConstant;
  std::size_t at = 0;
  std::string_view sign;  // of unary and binary
  Token token;            // of constants, names and calls
  std::vector<std::unique_ptr<Node>> parts;
  // Set by the checker.
  Type type = Type::kBool;
  std::string enumeration;
  std::size_t attribute = 0;  // or the number of a list or map
  std::size_t longest = 0;    // octets of a text
  bool constant = false;
  bool closed = false;      // of a definition: no definition is meant by its name
  std::int64_t number = 0;  // of a constant; of an address constant `token.last` is the end of its prefix
  std::uint32_t id = 0;     // the same for parts that mean the same (Sharing)
};
using Tree = std::unique_ptr<Node>;

Tree Clone(const Node& node);

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
  bool Expect(std::string_view text);
  // A name that is no word of the language.
  bool ExpectName(Token* name, const std::string& expected);
  void Wrong(const std::string& expected);
  bool AtEnd() const { return Next().kind == Kind::kEnd; }
  // After a mistake: to the next item of the file.
  void SkipItem();

  // Null after a mistake, which was told.
  Tree Expression();
  Tree Operand() { return Sum(); }
  Tree Sign() { return Is("-") ? Unary(&Parser::Sign) : Default(); }
  // [a, b, ...] or a .. b as what stands behind `in`, with nothing before it.
  Tree InOperand();

 private:
  template <typename Below>
  Tree Junction(std::string_view sign, Below below);
  static Tree Join(std::vector<Tree>* parts, const std::vector<Token>& signs, std::size_t from, std::size_t to);
  template <typename Below>
  Tree Chain(std::initializer_list<std::string_view> signs, Below below);
  template <typename Below>
  Tree Binary(Tree left, Below below);
  Tree Unary(Tree (Parser::*below)());
  Tree Comparison();
  Tree Not() { return Is("not") ? Unary(&Parser::Not) : Comparison(); }
  Tree Around(Shape shape, Tree left);
  bool InInto(Node* node);
  Tree Sum();
  Tree Default();
  Tree Primary();
  bool Deeper();

  std::vector<Token> tokens_;
  const Limits& limits_;
  Reporter* reporter_;
  std::size_t at_ = 0, depth_ = 0;
  bool too_deep_ = false;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_TREE_H_
