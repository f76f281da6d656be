// Fuzzes the platform protocol: lines, responses of the discovery service, and configurations. A message that was
// parsed and written must parse as the same message again.
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "platform/bounded_json.h"
#include "platform/event_reader.h"
#include "platform/line_codec.h"
#include "platform/node_config.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace croftrun::platform;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  LineReader reader;
  const std::size_t half = size / 2;
  const auto on_line = [](std::string_view line) {
    const auto message = ParseMessage(line);
    if (!message) return true;
    if (const std::string* const extras = message->Field("extras")) ParseExtras(*extras);
    const std::string written = WriteMessage(*message);
    if (written.empty() || message->type == MessageType::kOther) return true;
    const auto again = ParseMessage(std::string_view(written).substr(0, written.size() - 1));
    if (!again || again->id != message->id || again->description != message->description) std::abort();
    return true;
  };
  if (reader.Feed(text.substr(0, half), on_line)) reader.Feed(text.substr(half), on_line);
  EventReader events(1 << 20);
  const auto on_event = [](std::string_view, std::string_view event) {
    std::string error;
    const auto object = ParseBoundedJson(event, {.max_values = event.size() / 8, .max_depth = 8});
    if (object) ParseDirectoryNotification(*object, 0, &error);
  };
  if (events.Feed(text.substr(0, half), on_event)) events.Feed(text.substr(half), on_event);
  std::vector<croftrun::config::SettingsError> mistakes;
  ParseNodeConfig(text, "", "", &mistakes);
  return 0;
}
