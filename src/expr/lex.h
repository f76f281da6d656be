// The lexer of the rule language, and the reporting of errors with their position.
#ifndef CROFTRUN_EXPR_LEX_H_
#define CROFTRUN_EXPR_LEX_H_

#include <string>
#include <string_view>
#include <vector>

#include "expr/expr.h"

namespace croftrun::expr {

enum class TokenKind : std::uint8_t { kEnd, kName, kInt, kDouble, kDuration, kTime, kDate, kAddress, kText, kSymbol };

// A token of the source. Symbols include the operators; keywords are names.
struct Token {
  TokenKind kind = TokenKind::kEnd;
  std::string_view text;          // as in the source
  std::string value;              // of a kText token, without quotes and escapes
  std::int64_t number = 0;        // of a literal, as in Value::number
  std::int64_t last_address = 0;  // of an address: the last address of its prefix
  std::size_t offset = 0;         // in the source
};

// Returns the name of a type with its article, for error messages.
std::string_view DescribeType(Type type);

// Collects errors with their position in the source.
class Reporter {
 public:
  Reporter(std::string_view source, const Limits& limits, std::vector<Diagnostic>* errors)
      : source_(source), limits_(limits), errors_(errors) {}
  // Adds an error at an offset in the source.
  void Report(std::size_t offset, std::string text);
  std::size_t error_count() const { return error_count_; }

 private:
  std::string_view source_;
  const Limits& limits_;
  std::vector<Diagnostic>* errors_;
  std::size_t error_count_ = 0;
};

// Returns a suffix for an error message: "; did you mean ...?" if a known name is similar, otherwise a list of names.
std::string Suggest(std::string_view name, const std::vector<std::string>& names);

// Splits the source into tokens; the last one is a kEnd token. Errors are reported and skipped.
std::vector<Token> Lex(std::string_view source, const Limits& limits, Reporter* reporter);

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_LEX_H_
