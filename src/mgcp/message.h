// Package mgcp: parsing and formatting of Media Gateway Control Protocol (RFC 3435) messages, event lists and digit
// maps.
//
// Depends only on the standard library. Parsing does not copy text: every view points into the datagram, which the
// caller must keep alive. Every count is bounded by the constants below, so that the work and memory spent on a
// datagram of legal size are bounded.
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

// Parser limits. A UDP datagram over loopback or one Ethernet hop is at most 64 KiB (RFC 3435 3.5.4 requires every
// implementation to accept 4,000 octets).
inline constexpr std::size_t kMaxDatagramOctets = 65507;
inline constexpr std::size_t kMaxMessages = 64;                  // piggy-backed in one datagram
inline constexpr std::size_t kMaxParameters = 32;                // parameter lines of one message
inline constexpr std::size_t kMaxEvents = 64;                    // in one list
inline constexpr std::size_t kMaxNesting = 4;                    // of parentheses in an event's parameters
inline constexpr std::uint32_t kMaxTransactionId = 999'999'999;  // RFC 3435 3.2.1.2

// Command verbs (RFC 3435 3.2.1.1).
enum class Verb : std::uint8_t { kEpcf, kCrcx, kMdcx, kDlcx, kRqnt, kNtfy, kAuep, kAucx, kRsip, kOther };
// The four-letter name of the verb; "????" for kOther.
std::string_view VerbText(Verb verb);

// The return codes that are used here (RFC 3435 2.4).
inline constexpr int kResponseAcknowledgement = 0;
inline constexpr int kProvisional = 100;
inline constexpr int kOk = 200;
inline constexpr int kDeleted = 250;
inline constexpr int kTransientError = 400;
inline constexpr int kAlreadyOffHook = 401;
inline constexpr int kAlreadyOnHook = 402;
inline constexpr int kInsufficientResources = 403;
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
// RFC 3435 defines 540 as "per-endpoint connection limit exceeded"; used here for a circuit that is already seized (see
// docs/mgcp.md).
inline constexpr int kGlare = 540;

// An endpoint name `local@domain`. The local name is a path whose terms may be the wildcards `*` (all of) and `$` (any
// of).
struct EndpointName {
  std::string_view local;
  std::string_view domain;
};
// Whether `name`, which has no wildcards, matches `pattern` term by term, ignoring case (RFC 3435 3.2.1.3).
bool EndpointMatches(std::string_view pattern, std::string_view name);
bool HasWildcard(std::string_view local);
// Splits at the last '@'. Returns no value if a part is empty or contains a character that is not allowed in names.
std::optional<EndpointName> ParseEndpoint(std::string_view text);

// One parameter line `name: value`.
struct Parameter {
  std::string_view name;
  std::string_view value;
};

// One command or response. All views point into the datagram.
struct Message {
  bool is_command = true;
  Verb verb = Verb::kOther;
  std::string_view verb_text;
  EndpointName endpoint;          // commands only
  int code = 0;                   // responses only
  std::string_view comment;       // responses only; may be empty
  std::uint32_t transaction = 0;  // transaction identifier, 1 to kMaxTransactionId
  std::vector<Parameter> parameters;
  std::string_view session;  // session descriptions after the empty line; not parsed

  // The first parameter of that name (ignoring case), or null.
  const Parameter* Find(std::string_view name) const;
  // The value of that parameter; empty if there is none.
  std::string_view Get(std::string_view name) const;
};

// Why and where parsing of a message failed. Syntax errors are expected, so they are values, not exceptions.
struct ParseError {
  std::size_t offset = 0;  // in the datagram
  std::string expected;
  std::string found;
  std::optional<std::uint32_t> transaction;  // if it was read, so that an error response can be sent
  bool was_command = false;
  int code = kProtocolError;  // return code of the error response

  // A one-line description, which is also the comment of the error response.
  std::string Text() const;
};

using ParsedMessage = std::variant<Message, ParseError>;

// All messages of a datagram in order. Piggy-backed messages are separated by a line with a single dot (RFC
// 3435 3.5.5). A malformed message does not affect the parsing of the others.
std::vector<ParsedMessage> ParseDatagram(std::string_view datagram);

// ---- event lists (RFC 3435 3.2.2.17 and 3.2.2.18) ----

// `package/event@connection(parameters)`; an omitted package is empty.
struct EventRef {
  std::string_view package;
  std::string_view name;
  std::string_view connection;
  std::string_view parameters;  // text between the parentheses, not parsed
};
// Parses an event list such as `L/hd(N), D/[0-9#*](D)`. For requested events, `parameters` holds the actions.
std::optional<std::vector<EventRef>> ParseEventList(std::string_view text);
// The value of `key(value)` among an event's parameters, e.g. Argument("addr(12),id(7)", "addr") == "12".
std::string_view Argument(std::string_view parameters, std::string_view key);
// Splits at commas outside parentheses. Returns no value if parentheses are unbalanced or nested too deeply, or if
// there are too many items.
std::optional<std::vector<std::string_view>> SplitTopLevel(std::string_view list);

// ---- digit maps (RFC 3435 2.1.5) ----

// A compiled digit map such as `(0T|[2-8]xxx|9.#)`, with at most kMaxAlternatives alternatives of kMaxPositions
// positions each.
class DigitMap {
 public:
  enum class Match { kNo, kPartial, kComplete };
  static constexpr std::size_t kMaxAlternatives = 64;
  static constexpr std::size_t kMaxPositions = 32;

  static std::optional<DigitMap> Parse(std::string_view text);
  // kComplete if an alternative matches all of `digits` and no alternative could accept further digits; kPartial if
  // further digits could lead to a match. `timed_out` means that the timer T expired after `digits`: then a complete
  // match counts even if further digits could be accepted.
  Match Check(std::string_view digits, bool timed_out = false) const;

 private:
  struct Position {
    std::uint16_t digits = 0;  // bit set of the accepted symbols; see SymbolBit
    bool repeated = false;     // followed by a dot: zero or more occurrences
  };
  using Alternative = std::vector<Position>;
  std::vector<Alternative> alternatives_;
};

// ---- writing ----

// Appends the parts of a message to a string.
class Writer {
 public:
  explicit Writer(std::string* out) : out_(out) {}
  Writer& Command(Verb verb, std::uint32_t transaction, std::string_view endpoint);
  Writer& Response(int code, std::uint32_t transaction, std::string_view comment = {});
  // A parameter line. CR and LF are removed from `value`, as they would end the line.
  Writer& Line(std::string_view name, std::string_view value);
  Writer& Session(std::string_view description);
  // The separator line between piggy-backed messages: a single dot.
  Writer& Separator();

 private:
  std::string* out_;
};

// Appends a parsed message in text form. Parsing the result yields the same message.
void Write(const Message& message, std::string* out);

bool EqualsIgnoringCase(std::string_view a, std::string_view b);
std::string_view Trim(std::string_view text);

}  // namespace croftrun::mgcp

#endif  // CROFTRUN_MGCP_MESSAGE_H_
