#include "expr/lex.h"

#include <algorithm>
#include <array>
#include <bit>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace croftrun::expr {
namespace {

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Returns the offset of the first octet that is not valid UTF-8 (RFC 3629: shortest form, no surrogates, up to
// U+10FFFF), or size() if there is none.
std::size_t FindInvalidUtf8(std::string_view text) {
  const auto octet = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  for (std::size_t at = 0; at < text.size();) {
    const unsigned lead = octet(at);
    if (lead < 0x80) {
      ++at;
      continue;
    }
    const std::size_t length = lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : 2;
    if (lead < 0xc2 || lead > 0xf4 || at + length > text.size()) return at;
    for (std::size_t i = 1; i < length; ++i) {
      if ((octet(at + i) & 0xc0U) != 0x80U) return at;
    }
    const unsigned second = octet(at + 1);
    if ((lead == 0xe0 && second < 0xa0) || (lead == 0xed && second >= 0xa0) || (lead == 0xf0 && second < 0x90) ||
        (lead == 0xf4 && second >= 0x90))
      return at;
    at += length;
  }
  return text.size();
}

bool IsNameStart(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j)
      diagonal =
          std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)}));
  }
  return row[b.size()];
}

// Returns the numbers in `text` that `separator` divides, each of `min_digits` to `max_digits` digits, or nothing if
// the text has another form.
template <std::size_t N>
std::optional<std::array<std::int64_t, N>> SplitDigits(std::string_view text, char separator, std::size_t min_digits,
                                                       std::size_t max_digits, std::size_t* count) {
  std::array<std::int64_t, N> parts{};
  *count = 0;
  while (true) {
    const std::size_t end = std::min(text.find(separator), text.size());
    if (*count == N || end < min_digits || end > max_digits) return std::nullopt;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + end, parts[*count]);
    if (error != std::errc() || stop != text.data() + end) return std::nullopt;
    ++*count;
    if (end == text.size()) return parts;
    text.remove_prefix(end + 1);
  }
}

// Splits a source into tokens.
class Lexer {
 public:
  Lexer(std::string_view source, const Limits& limits, Reporter* reporter)
      : source_(source), limits_(limits), reporter_(reporter) {}

  std::vector<Token> Tokenize() {
    while (position_ < source_.size()) {
      const char c = source_[position_];
      if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
        ++position_;
      } else if (c == '#') {
        position_ = std::min(source_.size(), source_.find('\n', position_));
      } else if (tokens_.size() >= limits_.max_tokens) {
        reporter_->Report(position_, "expected at most " + std::to_string(limits_.max_tokens) + " tokens, found more");
        break;
      } else {
        ReadToken(c);
      }
    }
    Token last;
    last.offset = source_.size();
    tokens_.push_back(last);
    return std::move(tokens_);
  }

 private:
  void ReadToken(char c) {
    Token token;
    token.offset = position_;
    std::size_t end = position_ + 1;
    if (IsNameStart(c)) {
      // Words of enumerations may contain hyphens, as in slot-check, so a minus sign after a name needs a space before
      // it.
      while (end < source_.size() &&
             (IsNameStart(source_[end]) || IsDigit(source_[end]) ||
              (source_[end] == '-' && end + 1 < source_.size() && IsNameStart(source_[end + 1]))))
        ++end;
      token.kind = TokenKind::kName;
    } else if (IsDigit(c)) {
      end = ReadNumber(&token);
    } else if (c == '"') {
      end = ReadText(&token);
    } else {
      token.kind = TokenKind::kSymbol;
      const auto pair = source_.substr(position_, 2);
      if (pair == "==" || pair == "!=" || pair == "<=" || pair == ">=" || pair == ".." || pair == "->" ||
          pair == "=>") {
        end = position_ + 2;
      } else if (std::string_view("()[]{},;<>+-*/%=").find(c) == std::string_view::npos) {
        reporter_->Report(position_, "expected a name, number, text or operator, found an unexpected character");
        position_ = end;
        return;
      }
    }
    token.text = source_.substr(position_, end - position_);
    tokens_.push_back(std::move(token));
    position_ = end;
  }

  // Returns the end of a literal that starts at `at_` and consists of digits and of separators that are followed by a
  // digit.
  std::size_t LiteralEnd(std::string_view separators) const {
    std::size_t end = position_;
    while (end < source_.size() && (IsDigit(source_[end]) || (separators.find(source_[end]) != std::string_view::npos &&
                                                              end + 1 < source_.size() && IsDigit(source_[end + 1]))))
      ++end;
    return end;
  }

  std::size_t ReadNumber(Token* token) {
    std::size_t count = 0;
    if (const std::size_t end = LiteralEnd(":");
        source_.substr(position_, end - position_).find(':') != std::string_view::npos) {
      token->kind = TokenKind::kTime;
      const auto parts = SplitDigits<3>(source_.substr(position_, end - position_), ':', 1, 2, &count);
      if (!parts || (*parts)[0] > 23 || (*parts)[1] > 59 || (*parts)[2] > 59) {
        reporter_->Report(position_, "expected a time of day from 0:00 to 23:59:59, found a value out of range");
      } else {
        token->number = (((*parts)[0] * 60 + (*parts)[1]) * 60 + (*parts)[2]) * 1'000'000;
      }
      return end;
    }
    if (const std::size_t end = LiteralEnd("-"); end - position_ == 10) {
      if (const auto parts = SplitDigits<3>(source_.substr(position_, 10), '-', 2, 4, &count);
          parts && count == 3 && source_[position_ + 4] == '-') {
        token->kind = TokenKind::kDate;
        const std::chrono::year_month_day date{std::chrono::year(static_cast<int>((*parts)[0])),
                                               std::chrono::month(static_cast<unsigned>((*parts)[1])),
                                               std::chrono::day(static_cast<unsigned>((*parts)[2]))};
        if (!date.ok()) reporter_->Report(position_, "expected a date of the calendar, found one that does not exist");
        if (date.ok()) token->number = std::chrono::sys_days(date).time_since_epoch().count();
        return end;
      }
    }
    if (const std::size_t end = LiteralEnd(".");
        source_.substr(position_, end - position_).find('.') != std::string_view::npos)
      return ReadDotted(token, end);
    return ReadInteger(token);
  }

  std::size_t ReadDotted(Token* token, std::size_t end) {
    const auto text = source_.substr(position_, end - position_);
    if (std::count(text.begin(), text.end(), '.') == 1) {
      token->kind = TokenKind::kDouble;
      double value = 0.0;
      const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
      if (error != std::errc() || stop != text.data() + text.size())
        reporter_->Report(position_, "expected a number that fits a double, found a larger one");
      token->number = std::bit_cast<std::int64_t>(value);
      return end;
    }
    token->kind = TokenKind::kAddress;
    std::size_t count = 0;
    const auto parts = SplitDigits<4>(text, '.', 1, 3, &count);
    std::int64_t length = 32;
    if (end + 1 < source_.size() && source_[end] == '/' && IsDigit(source_[end + 1])) {
      const auto [stop, error] = std::from_chars(source_.data() + end + 1, source_.data() + source_.size(), length);
      end = static_cast<std::size_t>(stop - source_.data());
      if (error != std::errc()) length = 33;
    }
    const bool valid = parts && count == 4 && length <= 32 &&
                       std::all_of(parts->begin(), parts->end(), [](auto p) { return p <= 255; });
    if (!valid) {
      reporter_->Report(position_,
                        "expected an address like 10.1.2.3 or a prefix like 10.1.0.0/16, found another form");
      return end;
    }
    for (const std::int64_t part : *parts) token->number = token->number * 256 + part;
    const std::int64_t size = std::int64_t{1} << (32 - length);
    if (token->number % size != 0)
      reporter_->Report(position_, "expected a prefix whose address ends in zeros after its first " +
                                       std::to_string(length) + " bits, found other bits set");
    token->last_address = token->number + size - 1;
    return end;
  }

  std::size_t ReadInteger(Token* token) {
    std::size_t end = position_;
    while (end < source_.size() && IsDigit(source_[end])) ++end;
    token->kind = TokenKind::kInt;
    const auto [stop, error] = std::from_chars(source_.data() + position_, source_.data() + end, token->number);
    if (error != std::errc())
      reporter_->Report(position_, "expected a whole number up to 9223372036854775807, found a larger one");
    const std::size_t digits = end;
    while (end < source_.size() && IsNameStart(source_[end])) ++end;
    if (end == digits) return end;
    const auto unit = source_.substr(digits, end - digits);
    const std::int64_t scale = unit == "ms"    ? 1'000
                               : unit == "s"   ? 1'000'000
                               : unit == "min" ? 60'000'000
                               : unit == "h"   ? 3'600'000'000
                                               : 0;
    token->kind = TokenKind::kDuration;
    if (scale == 0)
      reporter_->Report(digits, "expected a unit (ms, s, min, h), found '" + std::string(unit.substr(0, 20)) + "'");
    if (__builtin_mul_overflow(token->number, scale, &token->number))
      reporter_->Report(position_, "expected a duration that fits 64 bits in microseconds, found a longer one");
    return end;
  }

  std::size_t ReadText(Token* token) {
    token->kind = TokenKind::kText;
    for (std::size_t end = position_ + 1; end < source_.size() && source_[end] != '\n'; ++end) {
      if (source_[end] == '"') return end + 1;
      if (source_[end] == '\\' && end + 1 < source_.size() && source_[end + 1] != '\n') ++end;
      token->value += source_[end];
    }
    reporter_->Report(position_, "expected a closing \" on the same line, found none");
    return std::min(source_.size(), source_.find('\n', position_));
  }

  std::string_view source_;
  const Limits& limits_;
  Reporter* reporter_;
  std::size_t position_ = 0;
  std::vector<Token> tokens_;
};

}  // namespace

std::string_view DescribeType(Type type) {
  switch (type) {
    case Type::kBool:
      return "a condition";
    case Type::kInt:
      return "a whole number";
    case Type::kDouble:
      return "a number";
    case Type::kString:
      return "a text";
    case Type::kE164:
      return "an E.164 number";
    case Type::kDuration:
      return "a duration";
    case Type::kTime:
      return "a time of day";
    case Type::kDate:
      return "a date";
    case Type::kAddress:
      return "an address";
    case Type::kEnum:
      return "a word of an enumeration";
  }
  return "?";
}

void Reporter::Report(std::size_t offset, std::string text) {
  ++error_count_;
  if (errors_->size() >= limits_.max_errors) return;
  offset = std::min(offset, source_.size());
  // An error at the end of the source is shown after the last token, not on the empty line that follows it.
  if (offset == source_.size()) offset = source_.find_last_not_of(" \t\r\n", offset) + 1;  // npos + 1 is 0
  Diagnostic error;
  error.line = 1 + static_cast<std::size_t>(
                       std::count(source_.begin(), source_.begin() + static_cast<std::ptrdiff_t>(offset), '\n'));
  const std::size_t begin = offset == 0 ? 0 : source_.rfind('\n', offset - 1) + 1;  // npos + 1 is 0
  error.column = offset - begin + 1;
  error.text = std::move(text);
  // The excerpt is a window of the line around the position, as a line may be megabytes long. "..." marks the truncated
  // ends.
  constexpr std::size_t kBefore = 60, kWidth = 120;
  const std::size_t from = offset - begin > kBefore ? offset - kBefore : begin;
  const std::size_t end = std::min(source_.find('\n', offset), source_.size());
  const std::size_t to = std::min(end, from + kWidth);
  const std::string_view left = from > begin ? "..." : "", right = to < end ? "..." : "";
  error.excerpt = left;
  for (const char c : source_.substr(from, to - from))
    error.excerpt += c == '\t' ? ' ' : c >= ' ' && c <= '~' ? c : '?';
  error.excerpt += std::string(right) + "\n" + std::string(left.size() + offset - from, ' ') + "^";
  errors_->push_back(std::move(error));
}

std::string Suggest(std::string_view name, const std::vector<std::string>& names) {
  std::string closest, all;
  std::size_t min_distance = 3;
  for (const std::string& known : names) {
    if (known == name) continue;  // the name exists but cannot be used here, so suggesting it does not help
    if (const std::size_t d = EditDistance(name.substr(0, 40), known); d < min_distance)
      min_distance = d, closest = known;
    if (all.size() < 120) all += (all.empty() ? "" : ", ") + known;
  }
  return closest.empty() ? "; known names are " + all : "; did you mean '" + closest + "'?";
}

std::vector<Token> Lex(std::string_view source, const Limits& limits, Reporter* reporter) {
  if (const std::size_t at = FindInvalidUtf8(source); at < source.size())
    reporter->Report(at, "expected UTF-8, found octet " + std::to_string(static_cast<unsigned char>(source[at])) +
                             ", which is not valid there");
  return Lexer(source, limits, reporter).Tokenize();
}

std::string ToString(const std::vector<Diagnostic>& errors) {
  std::string text;
  for (const Diagnostic& m : errors)
    text += std::to_string(m.line) + ":" + std::to_string(m.column) + ": " + m.text + "\n" + m.excerpt + "\n";
  return text;
}

}  // namespace croftrun::expr
