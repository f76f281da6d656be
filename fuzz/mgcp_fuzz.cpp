// libFuzzer target for the MGCP parser: any input is parsed without a fault, and a parsed message that is written is
// parsed again with the same content.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "mgcp/message.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace croftrun::mgcp;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  for (const ParsedMessage& parsed : ParseDatagram(text)) {
    if (const auto* error = std::get_if<ParseError>(&parsed)) {
      if (error->offset > size) std::abort();
      continue;
    }
    const auto& message = std::get<Message>(parsed);
    for (const Parameter& parameter : message.parameters) {
      if (const auto events = ParseEventList(parameter.value)) {
        for (const EventRef& event : *events) Argument(event.parameters, "E");
      }
      if (const auto map = DigitMap::Parse(parameter.value)) map->Check("5551234", true);
    }
    // A line with a single dot in the session description would end the message when it is parsed again.
    if (message.session.find("\n.") != std::string_view::npos || message.session.substr(0, 1) == ".") continue;
    std::string written;
    Write(message, &written);
    const auto again = ParseDatagram(written);
    if (again.size() != 1 || !std::holds_alternative<Message>(again[0])) std::abort();
    const auto& back = std::get<Message>(again[0]);
    if (back.transaction != message.transaction || back.parameters.size() != message.parameters.size()) std::abort();
  }
  return 0;
}
