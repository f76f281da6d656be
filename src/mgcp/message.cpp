#include "mgcp/message.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace croftrun::mgcp {
namespace {

constexpr std::array<std::string_view, 9> kVerbs = {"EPCF", "CRCX", "MDCX", "DLCX", "RQNT",
                                                    "NTFY", "AUEP", "AUCX", "RSIP"};

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }
bool IsDigit(char c) { return c >= '0' && c <= '9'; }
bool IsAlpha(char c) { return Lower(c) >= 'a' && Lower(c) <= 'z'; }
bool IsBlank(char c) { return c == ' ' || c == '\t'; }

// Removes the first line from `rest` and returns it without its line end, CR LF or LF (RFC 3435 appendix A, EOL).
std::string_view TakeLine(std::string_view* rest) {
  const auto end = rest->find('\n');
  std::string_view line = rest->substr(0, end);
  rest->remove_prefix(end == std::string_view::npos ? rest->size() : end + 1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

// Removes the first word, together with the blanks before it, from `rest` and returns it.
std::string_view TakeWord(std::string_view* rest) {
  while (!rest->empty() && IsBlank(rest->front())) rest->remove_prefix(1);
  std::size_t size = 0;
  while (size < rest->size() && !IsBlank((*rest)[size])) ++size;
  const auto word = rest->substr(0, size);
  rest->remove_prefix(size);
  return word;
}

std::optional<std::uint32_t> ParseTransactionId(std::string_view text) {
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || text.size() > 9 || error != std::errc() || end != text.data() + text.size() || value == 0)
    return std::nullopt;
  return value;
}

std::string Quote(std::string_view text) {
  std::string quoted = "'";
  for (const char c : text.substr(0, 40)) quoted += c >= ' ' && c <= '~' ? c : '?';
  return quoted + (text.size() > 40 ? "...'" : "'");
}

struct Parser {
  std::string_view datagram;

  ParsedMessage Parse(std::string_view text) const {
    std::string_view rest = text;
    const std::string_view first = TakeLine(&rest);
    Message message;
    // Few messages have more parameters. Without the reservation, growing the vector took more time than all other
    // parsing.
    message.parameters.reserve(8);
    std::optional<ParseError> error =
        !first.empty() && IsDigit(first.front()) ? ParseResponse(first, &message) : ParseCommand(first, &message);
    if (!error) error = ParseParameters(rest, &message);
    if (error) {
      if (!error->transaction && message.transaction != 0) error->transaction = message.transaction;
      error->was_command = message.is_command;
      return *error;
    }
    return message;
  }

 private:
  ParseError Error(std::string_view at, std::string expected, std::string_view found, int code = kProtocolError) const {
    ParseError error;
    error.offset = static_cast<std::size_t>(at.data() - datagram.data());
    error.expected = std::move(expected);
    error.found = Quote(found);
    error.code = code;
    return error;
  }

  // `VERB transaction endpoint MGCP 1.0 [profile]`
  std::optional<ParseError> ParseCommand(std::string_view line, Message* message) const {
    message->is_command = true;
    std::string_view rest = line;
    const auto verb = TakeWord(&rest);
    if (verb.size() != 4 || !std::all_of(verb.begin(), verb.end(), [](char c) { return IsAlpha(c) || IsDigit(c); }))
      return Error(line, "a verb of four letters or a return code", line);
    message->verb_text = verb;
    for (std::size_t i = 0; i < kVerbs.size(); ++i) {
      if (EqualsIgnoringCase(verb, kVerbs[i])) message->verb = static_cast<Verb>(i);
    }
    const auto transaction = TakeWord(&rest);
    const auto number = ParseTransactionId(transaction);
    if (!number) return Error(transaction, "a transaction id from 1 to 999999999", transaction);
    message->transaction = *number;
    const auto endpoint = TakeWord(&rest);
    const auto name = ParseEndpoint(endpoint);
    if (!name) return Error(endpoint, "an endpoint as local@domain", endpoint, kUnknownEndpoint);
    message->endpoint = *name;
    const auto protocol = TakeWord(&rest);
    const auto version = TakeWord(&rest);
    if (!EqualsIgnoringCase(protocol, "MGCP")) return Error(protocol, "MGCP", protocol);
    if (version != "1.0") return Error(version, "version 1.0", version, kUnsupportedVersion);
    return std::nullopt;
  }

  // `code transaction [/package] [comment]`
  std::optional<ParseError> ParseResponse(std::string_view line, Message* message) const {
    message->is_command = false;
    std::string_view rest = line;
    const auto code = TakeWord(&rest);
    if (code.size() != 3 || !std::all_of(code.begin(), code.end(), IsDigit))
      return Error(code, "a return code of three digits", code);
    message->code = (code[0] - '0') * 100 + (code[1] - '0') * 10 + (code[2] - '0');
    const auto transaction = TakeWord(&rest);
    const auto number = ParseTransactionId(transaction);
    if (!number) return Error(transaction, "a transaction id from 1 to 999999999", transaction);
    message->transaction = *number;
    message->comment = Trim(rest);
    return std::nullopt;
  }

  // `Name: value` lines up to the end or an empty line, after which session descriptions follow.
  std::optional<ParseError> ParseParameters(std::string_view rest, Message* message) const {
    while (!rest.empty()) {
      const auto line = TakeLine(&rest);
      if (line.empty()) {
        message->session = rest;
        return std::nullopt;
      }
      const auto colon = line.find(':');
      if (colon == std::string_view::npos || colon == 0) return Error(line, "a parameter as Name: value", line);
      const auto name = Trim(line.substr(0, colon));
      const auto legal = [](char c) { return IsAlpha(c) || IsDigit(c) || c == '-' || c == '+' || c == '/'; };
      if (name.empty() || !std::all_of(name.begin(), name.end(), legal))
        return Error(line, "a parameter name of letters, digits, '-', '+', '/'", name);
      if (message->parameters.size() == kMaxParameters)
        return Error(line, "at most " + std::to_string(kMaxParameters) + " parameters", line);
      message->parameters.push_back({name, Trim(line.substr(colon + 1))});
    }
    return std::nullopt;
  }
};

constexpr int kTimerBit = 12;
// The bit number of a digit map symbol in DigitMap::Position::digits; -1 if the symbol is not supported.
int SymbolBit(char c) {
  if (IsDigit(c)) return c - '0';
  switch (Lower(c)) {
    case '*':
      return 10;
    case '#':
      return 11;
    case 'a':
    case 'b':
    case 'c':
    case 'd':
      return -1;  // the DTMF symbols A to D are not supported, as no telephone here has them
    case 't':
      return kTimerBit;
    default:
      return -1;
  }
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return Lower(x) == Lower(y); });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && IsBlank(text.front())) text.remove_prefix(1);
  while (!text.empty() && IsBlank(text.back())) text.remove_suffix(1);
  return text;
}

std::string_view VerbText(Verb verb) {
  const auto index = static_cast<std::size_t>(verb);
  return index < kVerbs.size() ? kVerbs[index] : std::string_view("????");
}

std::optional<EndpointName> ParseEndpoint(std::string_view text) {
  const auto at = text.rfind('@');
  if (at == std::string_view::npos || at == 0 || at + 1 == text.size() || text.size() > 255) return std::nullopt;
  const auto legal = [](char c) { return c > ' ' && c <= '~' && c != '@'; };
  const EndpointName name{text.substr(0, at), text.substr(at + 1)};
  if (!std::all_of(name.local.begin(), name.local.end(), legal) ||
      !std::all_of(name.domain.begin(), name.domain.end(), legal))
    return std::nullopt;
  return name;
}

bool HasWildcard(std::string_view local) { return local.find_first_of("*$") != std::string_view::npos; }

bool EndpointMatches(std::string_view pattern, std::string_view name) {
  while (true) {
    const auto p = pattern.find('/');
    const auto n = name.find('/');
    const auto term = pattern.substr(0, p);
    // A wildcard as the last term matches all terms below it (RFC 3435 2.1.2).
    if (term == "*" || term == "$") {
      if (p == std::string_view::npos) return true;
    } else if (!EqualsIgnoringCase(term, name.substr(0, n))) {
      return false;
    }
    if (p == std::string_view::npos || n == std::string_view::npos) return p == n;
    pattern.remove_prefix(p + 1);
    name.remove_prefix(n + 1);
  }
}

const Parameter* Message::Find(std::string_view name) const {
  for (const Parameter& parameter : parameters) {
    if (EqualsIgnoringCase(parameter.name, name)) return &parameter;
  }
  return nullptr;
}

std::string_view Message::Get(std::string_view name) const {
  const Parameter* found = Find(name);
  return found == nullptr ? std::string_view() : found->value;
}

std::string ParseError::Text() const {
  return "byte " + std::to_string(offset) + ": expected " + expected + ", found " + found;
}

std::vector<ParsedMessage> ParseDatagram(std::string_view datagram) {
  std::vector<ParsedMessage> messages;
  const Parser parser{datagram};
  std::string_view rest = datagram;
  while (!rest.empty() && messages.size() < kMaxMessages) {
    // A message ends at a line with a single dot or at the end of the datagram.
    std::string_view scan = rest;
    std::size_t size = rest.size();
    while (!scan.empty()) {
      const std::size_t line_start = rest.size() - scan.size();
      if (TakeLine(&scan) == ".") {
        size = line_start;
        break;
      }
    }
    const std::string_view text = rest.substr(0, size);
    rest = scan;
    if (!text.empty()) messages.push_back(parser.Parse(text));
  }
  return messages;
}

std::optional<std::vector<std::string_view>> SplitTopLevel(std::string_view list) {
  std::vector<std::string_view> items;
  std::size_t depth = 0, start = 0;
  for (std::size_t i = 0; i <= list.size(); ++i) {
    if (i == list.size() || (list[i] == ',' && depth == 0)) {
      if (items.size() == kMaxEvents) return std::nullopt;
      items.push_back(Trim(list.substr(start, i - start)));
      start = i + 1;
    } else if (list[i] == '(') {
      if (++depth > kMaxNesting) return std::nullopt;
    } else if (list[i] == ')') {
      if (depth-- == 0) return std::nullopt;
    }
  }
  if (depth != 0) return std::nullopt;
  if (items.size() == 1 && items[0].empty()) items.clear();
  return items;
}

std::optional<std::vector<EventRef>> ParseEventList(std::string_view text) {
  const auto items = SplitTopLevel(text);
  if (!items) return std::nullopt;
  std::vector<EventRef> events;
  events.reserve(items->size());
  for (std::string_view item : *items) {
    EventRef event;
    if (const auto open = item.find('('); open != std::string_view::npos) {
      if (item.back() != ')') return std::nullopt;
      event.parameters = item.substr(open + 1, item.size() - open - 2);
      item = Trim(item.substr(0, open));
    }
    if (const auto at = item.find('@'); at != std::string_view::npos) {
      event.connection = item.substr(at + 1);
      item = item.substr(0, at);
    }
    if (const auto slash = item.find('/'); slash != std::string_view::npos) {
      event.package = item.substr(0, slash);
      item = item.substr(slash + 1);
    }
    if (item.empty()) return std::nullopt;
    event.name = item;
    events.push_back(event);
  }
  return events;
}

std::string_view Argument(std::string_view parameters, std::string_view key) {
  const auto items = SplitTopLevel(parameters);
  if (!items) return {};
  for (const std::string_view item : *items) {
    if (item.size() > key.size() + 1 && EqualsIgnoringCase(item.substr(0, key.size()), key) &&
        item[key.size()] == '(' && item.back() == ')')
      return item.substr(key.size() + 1, item.size() - key.size() - 2);
  }
  return {};
}

std::optional<DigitMap> DigitMap::Parse(std::string_view text) {
  text = Trim(text);
  if (text.size() >= 2 && text.front() == '(' && text.back() == ')') text = text.substr(1, text.size() - 2);
  DigitMap map;
  Alternative current;
  const auto finish = [&] {
    if (current.empty() || map.alternatives_.size() == kMaxAlternatives) return false;
    map.alternatives_.push_back(std::move(current));
    current = {};
    return true;
  };
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    Position position;
    if (c == '|') {
      if (!finish()) return std::nullopt;
      continue;
    }
    if (c == '.') {
      if (current.empty()) return std::nullopt;
      current.back().repeated = true;
      continue;
    }
    if (Lower(c) == 'x') {
      position.digits = 0x3ff;
    } else if (c == '[') {
      int previous = -1;
      for (++i; i < text.size() && text[i] != ']'; ++i) {
        if (text[i] == '-' && previous >= 0 && i + 1 < text.size()) {
          const int last = SymbolBit(text[++i]);
          if (last < previous) return std::nullopt;
          for (int bit = previous; bit <= last; ++bit)
            position.digits = static_cast<std::uint16_t>(position.digits | (1U << static_cast<unsigned>(bit)));
          continue;
        }
        previous = SymbolBit(text[i]);
        if (previous < 0) return std::nullopt;
        position.digits = static_cast<std::uint16_t>(position.digits | (1U << static_cast<unsigned>(previous)));
      }
      if (i == text.size() || position.digits == 0) return std::nullopt;
    } else if (const int bit = SymbolBit(c); bit >= 0) {
      position.digits = static_cast<std::uint16_t>(1U << static_cast<unsigned>(bit));
    } else {
      return std::nullopt;
    }
    if (current.size() == kMaxPositions) return std::nullopt;
    current.push_back(position);
  }
  if (!finish()) return std::nullopt;
  return map;
}

DigitMap::Match DigitMap::Check(std::string_view digits, bool timed_out) const {
  bool partial = false, complete = false;
  for (const Alternative& alternative : alternatives_) {
    // Simulates a nondeterministic automaton instead of backtracking: bit i is set if the next symbol may match
    // position i.
    const auto skip_repeats = [&](std::uint64_t states) {
      for (std::size_t i = 0; i < alternative.size(); ++i) {
        if ((states >> i & 1U) != 0 && alternative[i].repeated) states |= std::uint64_t{1} << (i + 1);
      }
      return states;
    };
    std::uint64_t states = skip_repeats(1);
    std::uint64_t before_timer = 0;
    const std::size_t symbols = digits.size() + (timed_out ? 1 : 0);
    for (std::size_t s = 0; s < symbols && states != 0; ++s) {
      const int bit = s < digits.size() ? SymbolBit(digits[s]) : kTimerBit;
      if (bit == kTimerBit) before_timer = states;
      std::uint64_t next = 0;
      for (std::size_t i = 0; bit >= 0 && i < alternative.size(); ++i) {
        if ((states >> i & 1U) == 0 || (alternative[i].digits >> bit & 1) == 0) continue;
        next |= std::uint64_t{1} << (alternative[i].repeated ? i : i + 1);
      }
      states = skip_repeats(next);
    }
    // An alternative that had matched before the timer expired still matches.
    states |= before_timer;
    const std::uint64_t end = std::uint64_t{1} << alternative.size();
    if ((states & end) != 0) complete = true;
    if ((states & ~end) != 0) partial = true;
  }
  if (complete && (!partial || timed_out)) return Match::kComplete;
  return partial ? Match::kPartial : complete ? Match::kComplete : Match::kNo;
}

Writer& Writer::Command(Verb verb, std::uint32_t transaction, std::string_view endpoint) {
  out_->append(VerbText(verb)).append(" ").append(std::to_string(transaction)).append(" ");
  out_->append(endpoint).append(" MGCP 1.0\r\n");
  return *this;
}

Writer& Writer::Response(int code, std::uint32_t transaction, std::string_view comment) {
  const std::array<char, 3> digits = {static_cast<char>('0' + code / 100 % 10), static_cast<char>('0' + code / 10 % 10),
                                      static_cast<char>('0' + code % 10)};
  out_->append(digits.data(), digits.size()).append(" ").append(std::to_string(transaction));
  if (!comment.empty()) out_->append(" ").append(comment);
  out_->append("\r\n");
  return *this;
}

Writer& Writer::Line(std::string_view name, std::string_view value) {
  out_->append(name).append(": ");
  for (const char c : value) {
    if (c != '\r' && c != '\n') out_->push_back(c);
  }
  out_->append("\r\n");
  return *this;
}

Writer& Writer::Session(std::string_view description) {
  if (!description.empty()) out_->append("\r\n").append(description);
  return *this;
}

Writer& Writer::Separator() {
  out_->append(".\r\n");
  return *this;
}

void Write(const Message& message, std::string* out) {
  Writer writer(out);
  if (message.is_command) {
    out->append(message.verb_text).append(" ").append(std::to_string(message.transaction)).append(" ");
    out->append(message.endpoint.local).append("@").append(message.endpoint.domain).append(" MGCP 1.0\r\n");
  } else {
    writer.Response(message.code, message.transaction, message.comment);
  }
  for (const Parameter& parameter : message.parameters) writer.Line(parameter.name, parameter.value);
  writer.Session(message.session);
}

}  // namespace croftrun::mgcp
