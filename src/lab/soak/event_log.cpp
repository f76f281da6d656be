#include "lab/soak/event_log.h"

#include <array>
#include <cstdio>

namespace croftrun::lab::soak {
namespace {

constexpr std::array<std::string_view, 34> kNames{"client sends set-up",
                                                  "client cancels set-up",
                                                  "client sends id again",
                                                  "client receives answer",
                                                  "client receives release",
                                                  "client releases",
                                                  "client announces established call",
                                                  "client connects",
                                                  "client connection closed",
                                                  "connection closed before answer",
                                                  "bad client connects",
                                                  "bad client answered or disconnected",
                                                  "client receives malformed line",
                                                  "exchange receives set-up",
                                                  "exchange answers",
                                                  "exchange refuses",
                                                  "set-up abandoned",
                                                  "set-up reset by fault",
                                                  "call ended, release sent",
                                                  "call ended, no release sent",
                                                  "exchange receives release",
                                                  "softswitch connects",
                                                  "softswitch probes",
                                                  "exchange starts cold",
                                                  "softswitch starts",
                                                  "softswitch ready",
                                                  "SIGTERM",
                                                  "SIGKILL",
                                                  "softswitch exits",
                                                  "resource usage",
                                                  "discovery lists drain",
                                                  "discovery sends drain",
                                                  "discovery sends cold start",
                                                  "discovery unavailable"};

}  // namespace

std::string_view NameOf(EventKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  if (index < kNames.size()) return kNames[index];
  return kind == EventKind::kDiscoveryAvailable ? "discovery available" : "fault";
}

std::string ToString(const TrialEvent& event, TimeUs start_time) {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ", (static_cast<double>(event.at) - static_cast<double>(start_time)) / 1e6);
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
