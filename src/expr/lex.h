// Octets to words and signs, and the place of each mistake.
#ifndef CROFTRUN_EXPR_LEX_H_
#define CROFTRUN_EXPR_LEX_H_

#include <string>
#include <string_view>
#include <vector>

#include "expr/expr.h"

namespace croftrun::expr {

enum class Kind : std::uint8_t { kEnd, kName, kInt, kDouble, kDuration, kTime, kDate, kAddress, kText, kSymbol };

struct Token {
  Kind kind = Kind::kEnd;
  std::string_view text;    // as written
  std::string value;        // of a text, without quotes and escapes
  std::int64_t number = 0;  // of a number; microseconds of a duration or time of day; bits of a double
  std::int64_t last = 0;    // of an address: the last one of its prefix
  std::size_t at = 0;       // offset in the source
};

std::string_view NameOf(Type type);

// Collects mistakes with their place in the source.
class Reporter {
 public:
  Reporter(std::string_view source, const Limits& limits, std::vector<Mistake>* mistakes)
      : source_(source), limits_(limits), mistakes_(mistakes) {}
  void Say(std::size_t at, std::string text);
  std::size_t count() const { return count_; }

 private:
  std::string_view source_;
  const Limits& limits_;
  std::vector<Mistake>* mistakes_;
  std::size_t count_ = 0;
};

// ", did you mean ...?" where some known name is near; else the names.
std::string Suggest(std::string_view name, const std::vector<std::string>& names);

// Ends with a kEnd token. Mistakes are told and skipped.
std::vector<Token> Lex(std::string_view source, const Limits& limits, Reporter* reporter);

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_LEX_H_
