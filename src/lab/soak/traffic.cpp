#include "lab/soak/traffic.h"

#include <array>
#include <cstdio>

namespace croftrun::lab::soak {
namespace {

constexpr std::array<std::string_view, 33> kNames{"client sends set-up",
                                                  "client cancels set-up",
                                                  "client reads answer",
                                                  "client reads release",
                                                  "client releases",
                                                  "client announces standing call",
                                                  "client connects",
                                                  "client connection ends",
                                                  "connection ends under set-up",
                                                  "bad client connects",
                                                  "bad client answered",
                                                  "client reads what is no message",
                                                  "exchange gets set-up",
                                                  "exchange answers",
                                                  "exchange refuses",
                                                  "set-up given up",
                                                  "set-up reset by fault",
                                                  "call over, release sent",
                                                  "call over, no release sent",
                                                  "exchange gets release",
                                                  "softswitch connects",
                                                  "softswitch probes",
                                                  "exchange starts cold",
                                                  "softswitch starts",
                                                  "softswitch ready",
                                                  "SIGTERM",
                                                  "SIGKILL",
                                                  "softswitch exits",
                                                  "limits",
                                                  "discovery lists drain",
                                                  "discovery writes drain",
                                                  "discovery writes start",
                                                  "discovery away"};

}  // namespace

std::string_view NameOf(EventKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  if (index < kNames.size()) return kNames[index];
  return kind == EventKind::kDiscoveryBack ? "discovery back" : "fault";
}

std::string ToString(const TrafficEvent& event, TimeUs start) {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ", (static_cast<double>(event.at) - static_cast<double>(start)) / 1e6);
  std::string line = time;
  line += NameOf(event.kind);
  if (event.softswitch >= 0) line += " n" + std::to_string(event.softswitch);
  if (event.exchange >= 0) line += " exchange " + std::to_string(event.exchange);
  if (event.host != 0) line += " host " + core::ToString({event.host, 0});
  if (!event.call.empty()) line += " call " + event.call;
  if (event.value != 0) line += " value " + std::to_string(event.value);
  if (!event.text.empty()) line += " " + event.text;
  return line;
}

}  // namespace croftrun::lab::soak
