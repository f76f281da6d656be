// Package platform: connects the call core to the users' platform over its stream protocol.
//
// This is the codec: JSON lines, each with one message about one call, in both directions. It converts octets to
// messages and back without any I/O. Ids and descriptions pass unchanged. The length of a line is limited while it
// arrives, so that an endless line does not use up memory.
#ifndef CROFTRUN_PLATFORM_LINE_CODEC_H_
#define CROFTRUN_PLATFORM_LINE_CODEC_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace croftrun::platform {

// Maximum length of a message, including its line feed.
inline constexpr std::size_t kMaxLineOctets = 16 << 10;

// Type of a message; the comments give its name on the wire.
enum class MessageType : std::uint8_t {
  kSetUp,              // new
  kWait,               // wait: progress, ignored
  kAnswer,             // up
  kRelease,            // down: rejection, abandonment or end of an established call
  kAcknowledgement,    // ack: acknowledges a release
  kHeartbeat,          // hb: heartbeat
  kHeartbeatResponse,  // hb_ok: response to a heartbeat
  kGroupReport,        // gauge: group report
  kOther,              // a type that this side does not know
};

// One message of the protocol.
struct Message {
  MessageType type = MessageType::kOther;
  std::string id = {};                                           // call id; empty if absent
  std::vector<std::pair<std::string, std::string>> fields = {};  // numbers in their original notation
  std::optional<int> cause = {};
  std::optional<std::string> description = {};

  // Returns the text of the field, or null if it is absent.
  const std::string* Field(std::string_view name) const;
};

// Parses one line without its line feed. Returns nothing if it is not a JSON object of this form, or if an id is not 16
// hex digits.
std::optional<Message> ParseMessage(std::string_view line);
// Returns the line including its line feed, or an empty string if the message would exceed the limit of the protocol.
std::string WriteMessage(const Message& message);

// Splits a stream into lines, without copying a line that arrives in one piece.
class LineReader {
 public:
  // Calls `handler(line)` for each line that `bytes` completes, until it returns false because the owner is gone or
  // wants no more lines. Returns false in that case, and also if a line exceeds kMaxLineOctets, because the lines after
  // it cannot be told apart.
  template <typename Handler>
  bool Feed(std::string_view bytes, const Handler& handler) {
    while (!bytes.empty()) {
      const auto end = bytes.find('\n');
      if (partial_line_.size() + std::min(end, bytes.size()) >= kMaxLineOctets) {
        too_long_ = true;
        return false;
      }
      if (end == std::string_view::npos) {
        partial_line_.append(bytes);
        return true;
      }
      const std::string_view rest = bytes.substr(0, end);
      bytes.remove_prefix(end + 1);
      if (partial_line_.empty()) {
        if (!handler(rest)) return false;
        continue;
      }
      std::string line = std::exchange(partial_line_, {});
      line.append(rest);
      if (!handler(std::string_view(line))) return false;
    }
    return true;
  }
  bool too_long() const { return too_long_; }
  // Returns whether the last line is still incomplete.
  bool has_partial_line() const { return !partial_line_.empty(); }

 private:
  std::string partial_line_;
  bool too_long_ = false;
};

// The values that a caller states in the field `extras` of a set-up.
struct Extras {
  int destination = -1;
  double width = 1.0;
  int via = -1;
  bool transit = false, again = false;
  std::string at;  // uid of the exchange where the call is already established; empty: a new call
};
// Returns nothing if the value of a known name cannot be parsed or is out of range. Unknown names are skipped.
std::optional<Extras> ParseExtras(std::string_view text);

// Calls `handler(name, value)` for each item of "name:value;name:value" until it returns false, and then returns false.
// Items without a colon are skipped.
template <typename Handler>
bool ForEachField(std::string_view text, const Handler& handler) {
  while (!text.empty()) {
    const auto end = text.find(';');
    const auto item = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    const auto colon = item.find(':');
    if (colon != std::string_view::npos && !handler(item.substr(0, colon), item.substr(colon + 1))) return false;
  }
  return true;
}

// Returns the number if the whole text is one finite number from `min` to `max`, otherwise nothing.
std::optional<double> ParseNumber(std::string_view text, double min, double max);

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_LINE_CODEC_H_
