// Package mgcp: the Media Gateway Control Protocol (RFC 3435) as text: messages, event lists, digit maps.
//
// May depend on nothing but the standard library. Parsing copies nothing: every view points into the datagram,
// which the caller keeps alive. Every count is bounded by the constants below, so that no datagram of legal size
// can cost more than a fixed amount of work or memory.
#ifndef CROFTRUN_MGCP_MESSAGE_H_
#define CROFTRUN_MGCP_MESSAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace croftrun::mgcp {

// Bounds. A datagram over loopback or one Ethernet hop is at most 64 KiB (RFC 3435 3.5.4 names 4,000 octets as
// what every implementation must take).
inline constexpr std::size_t kLargestDatagram = 65507;
inline constexpr std::size_t kMostMessages = 64;                   // piggybacked in one datagram
inline constexpr std::size_t kMostParameters = 32;                 // lines of one message
inline constexpr std::size_t kMostEvents = 64;                     // in one list
inline constexpr std::size_t kDeepestNesting = 4;                  // of parentheses in an event's parameters
inline constexpr std::uint32_t kLargestTransaction = 999'999'999;  // RFC 3435 3.2.1.2

// RFC 3435 3.2.1.1.
enum class Verb : std::uint8_t { kEpcf, kCrcx, kMdcx, kDlcx, kRqnt, kNtfy, kAuep, kAucx, kRsip, kOther };
std::string_view VerbText(Verb verb);

// Return codes used here (RFC 3435 2.4).
inline constexpr int kAckOfResponse = 0;
inline constexpr int kProvisional = 100;
inline constexpr int kOk = 200;
inline constexpr int kDeleted = 250;
inline constexpr int kTransientError = 400;
inline constexpr int kAlreadyOffHook = 401;
inline constexpr int kAlreadyOnHook = 402;
inline constexpr int kNoResourcesNow = 403;
inline constexpr int kEndpointRestarting = 405;
inline constexpr int kOverload = 409;
inline constexpr int kNoEndpointAvailable = 410;
inline constexpr int kUnknownEndpoint = 500;
inline constexpr int kEndpointNotReady = 501;
inline constexpr int kUnsupportedCommand = 504;
inline constexpr int kProtocolError = 510;
inline constexpr int kCannotDetectEvent = 512;
inline constexpr int kCannotGenerateSignal = 513;
inline constexpr int kUnknownConnection = 515;
inline constexpr int kUnknownCall = 516;
inline constexpr int kUnsupportedVersion = 528;
inline constexpr int kGlare = 540;  // see docs/mgcp.md: the per-endpoint connection limit, used for a seized circuit

// `local@domain`; the local part is a path whose terms may be the wildcards `*` (all of) and `$` (any of).
struct EndpointName {
  std::string_view local;
  std::string_view domain;
};
// Whether `name` (no wildcards) is named by `pattern`, term by term; case is not told apart (RFC 3435 3.2.1.3).
bool EndpointMatches(std::string_view pattern, std::string_view name);
bool HasWildcard(std::string_view local);
// Splits at the last '@'; nothing where a part is empty or holds a character that names may not have.
std::optional<EndpointName> ParseEndpoint(std::string_view text);

struct Parameter {
  std::string_view name;
  std::string_view value;
};

// One command or response, as views into the datagram.
struct Message {
  bool is_command = true;
  Verb verb = Verb::kOther;
  std::string_view verb_text;
  EndpointName endpoint;          // commands only
  int code = 0;                   // responses only
  std::string_view comment;       // responses only; may be empty
  std::uint32_t transaction = 0;  // 1 to kLargestTransaction
  std::vector<Parameter> parameters;
  std::string_view session;  // the session description(s) after the empty line, carried through unread

  // The first parameter of that name (case-insensitive), or an empty view with `found` false.
  const Parameter* Find(std::string_view name) const;
  std::string_view Get(std::string_view name) const;
};

// Where a message stopped being one: an expected error is a value, not an exception.
struct ParseError {
  std::size_t offset = 0;  // in the datagram
  std::string expected;
  std::string found;
  std::optional<std::uint32_t> transaction;  // where it could be read: the error can be answered
  bool was_command = false;
  int code = kProtocolError;  // the return code that answers it

  std::string Text() const;
};

using ParsedMessage = std::variant<Message, ParseError>;

// All messages of a datagram, piggybacked ones in order (RFC 3435 3.5.5: separated by a line holding one dot).
// A malformed message does not spoil its neighbours.
std::vector<ParsedMessage> ParseDatagram(std::string_view datagram);

// ---- event lists (RFC 3435 3.2.2.17 and 3.2.2.18) ----

// `package/event@connection(parameters)`; an omitted package is left empty.
struct EventRef {
  std::string_view package;
  std::string_view name;
  std::string_view connection;
  std::string_view parameters;  // between the parentheses, unparsed
};
// `L/hd(N), D/[0-9#*](D)`: for requested events `parameters` holds the actions.
std::optional<std::vector<EventRef>> ParseEventList(std::string_view text);
// The value of `key(value)` among an event's parameters, e.g. Argument("addr(12),id(7)", "addr") == "12".
std::string_view Argument(std::string_view parameters, std::string_view key);
// Splits at commas outside parentheses; nothing on unbalanced or too deep parentheses.
std::optional<std::vector<std::string_view>> SplitTopLevel(std::string_view list);

// ---- digit maps (RFC 3435 2.1.5) ----

// A compiled digit map such as `(0T|[2-8]xxx|9.#)`. Bounded: kMostAlternatives of kMostPositions each.
class DigitMap {
 public:
  enum class Match { kNo, kPartial, kComplete };
  static constexpr std::size_t kMostAlternatives = 64;
  static constexpr std::size_t kMostPositions = 32;

  static std::optional<DigitMap> Parse(std::string_view text);
  // kComplete as soon as some alternative matches all of `digits` and none could go on; `timed_out` adds the T.
  Match Check(std::string_view digits, bool timed_out = false) const;

 private:
  struct Position {
    std::uint16_t digits = 0;  // bit n: that symbol; see SymbolBit
    bool repeated = false;     // followed by a dot: any number, none included
  };
  using Alternative = std::vector<Position>;
  std::vector<Alternative> alternatives_;
};

// ---- writing ----

// Appends a message to a string; the one place where commands and responses are spelled.
class Writer {
 public:
  explicit Writer(std::string* out) : out_(out) {}
  Writer& Command(Verb verb, std::uint32_t transaction, std::string_view endpoint);
  Writer& Response(int code, std::uint32_t transaction, std::string_view comment = {});
  // A line; characters that would break the line (CR, LF) are left out of `value`.
  Writer& Line(std::string_view name, std::string_view value);
  Writer& Session(std::string_view description);
  // The line between piggybacked messages.
  Writer& Dot();

 private:
  std::string* out_;
};

// The whole of a parsed message again: Write(Parse(x)) parses back the same.
void Write(const Message& message, std::string* out);

bool EqualsIgnoringCase(std::string_view a, std::string_view b);
std::string_view Trim(std::string_view text);

}  // namespace croftrun::mgcp

#endif  // CROFTRUN_MGCP_MESSAGE_H_
