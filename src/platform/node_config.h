// What the platform tells a softswitch at its start, and the list of exchanges as the notice board tells it.
#ifndef CROFTRUN_PLATFORM_NODE_CONFIG_H_
#define CROFTRUN_PLATFORM_NODE_CONFIG_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/json_settings.h"
#include "core/runtime.h"
#include "croftrun/call_controller.h"

namespace croftrun::platform {

// One exchange of a notice.
struct Target {
  std::string uid;
  core::Address address;
  std::string zone, kind;
  int number = -1;
  ExchangeStatus status = ExchangeStatus::kReady;
  double rating = 1.0;
  std::int64_t boot_ms = 0;  // Unix time of a late start; 0: long ago
};

// One event of the notice board.
struct Notice {
  std::uint64_t number = 0;
  bool whole = false;  // `targets` is the whole list, not what has changed
  std::vector<Target> targets;
};

// Nothing where `event` is not of the form; `*why` then says what was expected where. `number`: of the event, as its
// frame gave it; 0: the one that it states itself.
std::optional<Notice> ParseNotice(const nlohmann::json& event, std::uint64_t number, std::string* why);

struct NodeConfig {
  std::string name;
  core::Address listen, board;
  std::uint64_t seed = 1;
  std::size_t memory_mb = 32, sockets = 256;
  std::uint64_t known_number = 0;  // of the last event in `known`
  std::vector<Notice> known;
  Settings module;
  std::vector<std::string> zones, kinds;  // by the index that the module knows them by
  std::vector<std::string> figures;       // names of a report's figures, in the order of Settings::report_fields
  TimeUs connect_timeout_us = 500'000;
  std::string settings;      // and limits, as text: whether a later file changes them
  TimeUs grace_us = 20'000;  // after a caller's time, in which its final answer still counts
};

// Reads the file's text; appends all that is wrong with it. `name` and `listen` stand in where the file lacks them.
NodeConfig ParseNodeConfig(std::string_view text, const std::string& name, const std::string& listen,
                           std::vector<config::Mistake>* mistakes);

// Nested settings as lines of path=value, the form that wire/settings_parser.h reads.
std::string FlattenSettings(const nlohmann::json& settings);

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_NODE_CONFIG_H_
