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
// Where the first octet stands that is no UTF-8 (RFC 3629: shortest form, no surrogates, up to U+10FFFF); size() if
// none.
std::size_t FirstNotUtf8(std::string_view text) {
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

std::size_t Distance(std::string_view a, std::string_view b) {
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

// The parts of `text` between `sign`, each of `least` to `most` digits; nothing if it has another form.
template <std::size_t N>
std::optional<std::array<std::int64_t, N>> Parts(std::string_view text, char sign, std::size_t least, std::size_t most,
                                                 std::size_t* count) {
  std::array<std::int64_t, N> parts{};
  *count = 0;
  while (true) {
    const std::size_t end = std::min(text.find(sign), text.size());
    if (*count == N || end < least || end > most) return std::nullopt;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + end, parts[*count]);
    if (error != std::errc() || stop != text.data() + end) return std::nullopt;
    ++*count;
    if (end == text.size()) return parts;
    text.remove_prefix(end + 1);
  }
}

class Lexer {
 public:
  Lexer(std::string_view source, const Limits& limits, Reporter* reporter)
      : source_(source), limits_(limits), reporter_(reporter) {}

  std::vector<Token> All() {
    while (at_ < source_.size()) {
      const char c = source_[at_];
      if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
        ++at_;
      } else if (c == '#') {
        at_ = std::min(source_.size(), source_.find('\n', at_));
      } else if (tokens_.size() >= limits_.most_tokens) {
        reporter_->Say(at_, "expected at most " + std::to_string(limits_.most_tokens) + " words and signs, found more");
        break;
      } else {
        One(c);
      }
    }
    Token last;
    last.at = source_.size();
    tokens_.push_back(last);
    return std::move(tokens_);
  }

 private:
  void One(char c) {
    Token token;
    token.at = at_;
    std::size_t end = at_ + 1;
    if (IsNameStart(c)) {
      // Words of enumerations may hold dashes: slot-check. A minus sign therefore needs a space before it.
      while (end < source_.size() &&
             (IsNameStart(source_[end]) || IsDigit(source_[end]) ||
              (source_[end] == '-' && end + 1 < source_.size() && IsNameStart(source_[end + 1]))))
        ++end;
      token.kind = Kind::kName;
    } else if (IsDigit(c)) {
      end = Number(&token);
    } else if (c == '"') {
      end = Text(&token);
    } else {
      token.kind = Kind::kSymbol;
      const auto two = source_.substr(at_, 2);
      if (two == "==" || two == "!=" || two == "<=" || two == ">=" || two == ".." || two == "->" || two == "=>") {
        end = at_ + 2;
      } else if (std::string_view("()[]{},;<>+-*/%=").find(c) == std::string_view::npos) {
        reporter_->Say(at_, "expected a word, number, text or sign, found a character that is none");
        at_ = end;
        return;
      }
    }
    token.text = source_.substr(at_, end - at_);
    tokens_.push_back(std::move(token));
    at_ = end;
  }

  // From `at_` on, digits and the signs that may stand inside a literal, as far as a digit follows them.
  std::size_t Extent(std::string_view inside) const {
    std::size_t end = at_;
    while (end < source_.size() && (IsDigit(source_[end]) || (inside.find(source_[end]) != std::string_view::npos &&
                                                              end + 1 < source_.size() && IsDigit(source_[end + 1]))))
      ++end;
    return end;
  }

  std::size_t Number(Token* token) {
    std::size_t count = 0;
    if (const std::size_t end = Extent(":"); source_.substr(at_, end - at_).find(':') != std::string_view::npos) {
      token->kind = Kind::kTime;
      const auto parts = Parts<3>(source_.substr(at_, end - at_), ':', 1, 2, &count);
      if (!parts || (*parts)[0] > 23 || (*parts)[1] > 59 || (*parts)[2] > 59) {
        reporter_->Say(at_, "expected a time of day from 0:00 to 23:59:59, found another");
      } else {
        token->number = (((*parts)[0] * 60 + (*parts)[1]) * 60 + (*parts)[2]) * 1'000'000;
      }
      return end;
    }
    if (const std::size_t end = Extent("-"); end - at_ == 10) {
      if (const auto parts = Parts<3>(source_.substr(at_, 10), '-', 2, 4, &count);
          parts && count == 3 && source_[at_ + 4] == '-') {
        token->kind = Kind::kDate;
        const std::chrono::year_month_day date{std::chrono::year(static_cast<int>((*parts)[0])),
                                               std::chrono::month(static_cast<unsigned>((*parts)[1])),
                                               std::chrono::day(static_cast<unsigned>((*parts)[2]))};
        if (!date.ok()) reporter_->Say(at_, "expected a date of the calendar, found another");
        if (date.ok()) token->number = std::chrono::sys_days(date).time_since_epoch().count();
        return end;
      }
    }
    if (const std::size_t end = Extent("."); source_.substr(at_, end - at_).find('.') != std::string_view::npos)
      return Dotted(token, end);
    return Whole(token);
  }

  std::size_t Dotted(Token* token, std::size_t end) {
    const auto text = source_.substr(at_, end - at_);
    if (std::count(text.begin(), text.end(), '.') == 1) {
      token->kind = Kind::kDouble;
      double value = 0.0;
      const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
      if (error != std::errc() || stop != text.data() + text.size())
        reporter_->Say(at_, "expected a number, found a larger one");
      token->number = std::bit_cast<std::int64_t>(value);
      return end;
    }
    token->kind = Kind::kAddress;
    std::size_t count = 0;
    const auto parts = Parts<4>(text, '.', 1, 3, &count);
    std::int64_t length = 32;
    if (end + 1 < source_.size() && source_[end] == '/' && IsDigit(source_[end + 1])) {
      const auto [stop, error] = std::from_chars(source_.data() + end + 1, source_.data() + source_.size(), length);
      end = static_cast<std::size_t>(stop - source_.data());
      if (error != std::errc()) length = 33;
    }
    const bool legal = parts && count == 4 && length <= 32 &&
                       std::all_of(parts->begin(), parts->end(), [](auto p) { return p <= 255; });
    if (!legal) {
      reporter_->Say(at_, "expected an address like 10.1.2.3 or a prefix like 10.1.0.0/16, found another form");
      return end;
    }
    for (const std::int64_t part : *parts) token->number = token->number * 256 + part;
    const std::int64_t size = std::int64_t{1} << (32 - length);
    if (token->number % size != 0)
      reporter_->Say(at_, "expected a prefix whose address ends in zeros behind its " + std::to_string(length) +
                              " bits, found another");
    token->last = token->number + size - 1;
    return end;
  }

  std::size_t Whole(Token* token) {
    std::size_t end = at_;
    while (end < source_.size() && IsDigit(source_[end])) ++end;
    token->kind = Kind::kInt;
    const auto [stop, error] = std::from_chars(source_.data() + at_, source_.data() + end, token->number);
    if (error != std::errc())
      reporter_->Say(at_, "expected a whole number up to 9223372036854775807, found a larger one");
    const std::size_t digits = end;
    while (end < source_.size() && IsNameStart(source_[end])) ++end;
    if (end == digits) return end;
    const auto unit = source_.substr(digits, end - digits);
    const std::int64_t scale = unit == "ms"    ? 1'000
                               : unit == "s"   ? 1'000'000
                               : unit == "min" ? 60'000'000
                               : unit == "h"   ? 3'600'000'000
                                               : 0;
    token->kind = Kind::kDuration;
    if (scale == 0)
      reporter_->Say(digits, "expected a unit (ms, s, min, h), found '" + std::string(unit.substr(0, 20)) + "'");
    if (__builtin_mul_overflow(token->number, scale, &token->number))
      reporter_->Say(at_, "expected a duration that can be counted in microseconds, found a longer one");
    return end;
  }

  std::size_t Text(Token* token) {
    token->kind = Kind::kText;
    for (std::size_t end = at_ + 1; end < source_.size() && source_[end] != '\n'; ++end) {
      if (source_[end] == '"') return end + 1;
      if (source_[end] == '\\' && end + 1 < source_.size() && source_[end + 1] != '\n') ++end;
      token->value += source_[end];
    }
    reporter_->Say(at_, "expected a text that ends on its line with \", found none");
    return std::min(source_.size(), source_.find('\n', at_));
  }

  std::string_view source_;
  const Limits& limits_;
  Reporter* reporter_;
  std::size_t at_ = 0;
  std::vector<Token> tokens_;
};

}  // namespace

std::string_view NameOf(Type type) {
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
      return "a number of E.164";
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

void Reporter::Say(std::size_t at, std::string text) {
  ++count_;
  if (mistakes_->size() >= limits_.most_mistakes) return;
  at = std::min(at, source_.size());
  // What is missing at the end is shown behind the last thing that is there, not on the empty line after it.
  if (at == source_.size()) at = source_.find_last_not_of(" \t\r\n", at) + 1;  // npos + 1 is 0
  Mistake mistake;
  mistake.line = 1 + static_cast<std::size_t>(
                         std::count(source_.begin(), source_.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
  const std::size_t begin = at == 0 ? 0 : source_.rfind('\n', at - 1) + 1;  // npos + 1 is 0
  mistake.column = at - begin + 1;
  mistake.text = std::move(text);
  // A window of the line around the place, a line may be megabytes long: marked where it is cut, the place always in
  // it.
  constexpr std::size_t kBefore = 60, kWidth = 120;
  const std::size_t from = at - begin > kBefore ? at - kBefore : begin;
  const std::size_t end = std::min(source_.find('\n', at), source_.size());
  const std::size_t to = std::min(end, from + kWidth);
  const std::string_view left = from > begin ? "..." : "", right = to < end ? "..." : "";
  mistake.shown = left;
  for (const char c : source_.substr(from, to - from))
    mistake.shown += c == '\t' ? ' ' : c >= ' ' && c <= '~' ? c : '?';
  mistake.shown += std::string(right) + "\n" + std::string(left.size() + at - from, ' ') + "^";
  mistakes_->push_back(std::move(mistake));
}

std::string Suggest(std::string_view name, const std::vector<std::string>& names) {
  std::string best, all;
  std::size_t least = 3;
  for (const std::string& known : names) {
    if (known == name) continue;  // known, but not as what is asked for here: no help
    if (const std::size_t d = Distance(name.substr(0, 40), known); d < least) least = d, best = known;
    if (all.size() < 120) all += (all.empty() ? "" : ", ") + known;
  }
  return best.empty() ? "; known are " + all : "; did you mean '" + best + "'?";
}

std::vector<Token> Lex(std::string_view source, const Limits& limits, Reporter* reporter) {
  if (const std::size_t at = FirstNotUtf8(source); at < source.size())
    reporter->Say(at, "expected UTF-8, found octet " + std::to_string(static_cast<unsigned char>(source[at])) +
                          " where none may stand");
  return Lexer(source, limits, reporter).All();
}

std::string ToString(const std::vector<Mistake>& mistakes) {
  std::string text;
  for (const Mistake& m : mistakes)
    text += std::to_string(m.line) + ":" + std::to_string(m.column) + ": " + m.text + "\n" + m.shown + "\n";
  return text;
}

}  // namespace croftrun::expr
