// Package platform: the protocol of the users' platform, a way in and out of the call core on streams.
//
// The codec: JSON lines, each one message about one call, both ways. It is pure: octets to messages and back. Ids and
// descriptions pass unchanged. Lines are bounded while they arrive, so that one without end costs no memory.
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

// The longest message of the protocol, its line feed included.
inline constexpr std::size_t kMostLine = 16 << 10;

enum class MessageType : std::uint8_t {
  kSetUp,    // new
  kWait,     // wait: progress, means nothing
  kAnswer,   // up
  kRelease,  // down: a refusal, a give-up or the end of a call that stands
  kHeard,    // ack: release heard
  kTest,     // hb
  kTested,   // hb_ok
  kGauge,    // gauge: state of a group
  kOther,    // a word that this side does not know
};

struct Message {
  MessageType type = MessageType::kOther;
  std::string id = {};                                           // of the call; empty where none came
  std::vector<std::pair<std::string, std::string>> fields = {};  // numbers as they were written
  std::optional<int> cause = {};
  std::optional<std::string> description = {};

  // The field's text; null where it is absent.
  const std::string* Field(std::string_view name) const;
};

// One line without its line feed; nothing where it is not one JSON object of this form, or an id is not 16 hex digits.
std::optional<Message> ParseMessage(std::string_view line);
// With the line feed. Empty where the message would be longer than the protocol allows.
std::string WriteMessage(const Message& message);

// Cuts a stream into lines, without copying the usual one.
class LineReader {
 public:
  // Calls `take(line)` for each line that `bytes` completes, until it returns false (its owner is gone or wants no
  // more). False when it did, or when a line is longer than kMostLine: nothing after that can be told apart.
  template <typename Take>
  bool Feed(std::string_view bytes, const Take& take) {
    while (!bytes.empty()) {
      const auto end = bytes.find('\n');
      if (kept_.size() + std::min(end, bytes.size()) >= kMostLine) {
        too_long_ = true;
        return false;
      }
      if (end == std::string_view::npos) {
        kept_.append(bytes);
        return true;
      }
      const std::string_view rest = bytes.substr(0, end);
      bytes.remove_prefix(end + 1);
      if (kept_.empty()) {
        if (!take(rest)) return false;
        continue;
      }
      std::string line = std::exchange(kept_, {});
      line.append(rest);
      if (!take(std::string_view(line))) return false;
    }
    return true;
  }
  bool too_long() const { return too_long_; }
  // The beginning of a line is held.
  bool partial() const { return !kept_.empty(); }

 private:
  std::string kept_;
  bool too_long_ = false;
};

// The figures of a set-up as a caller states them in its field `extras`.
struct Extras {
  int destination = -1;
  double width = 1.0;
  int via = -1;
  bool transit = false, again = false;
  std::string at;  // the exchange where the call stands already; empty: it is to be set up
};
// Nothing where a figure that is known by name cannot be read or is out of its range. Unknown names are skipped.
std::optional<Extras> ParseExtras(std::string_view text);

// Calls `take(name, value)` for each of "name:value;name:value", until it returns false; then false. What has no colon
// is skipped.
template <typename Take>
bool ForEachFigure(std::string_view text, const Take& take) {
  while (!text.empty()) {
    const auto end = text.find(';');
    const auto item = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    const auto colon = item.find(':');
    if (colon != std::string_view::npos && !take(item.substr(0, colon), item.substr(colon + 1))) return false;
  }
  return true;
}

// Nothing unless the whole text is one finite number from `least` to `most`.
std::optional<double> ParseNumber(std::string_view text, double least, double most);

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_LINE_CODEC_H_
