// libFuzzer target: for any input, the settings loader either reports mistakes or returns settings with a valid number
// plan, and never throws.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "edge/edge_settings.h"
#include "edge/roster_client.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  std::vector<croftrun::config::SettingsError> mistakes;
  const auto settings = croftrun::edge::ParseEdgeSettings(text, &mistakes);
  if (mistakes.empty()) {
    const auto meaning = settings.plan.Find("1234567");
    if (meaning && meaning->call_class >= static_cast<int>(settings.class_names.size())) std::abort();
  }
  croftrun::edge::ParseRosterUpdate(text);
  return 0;
}
