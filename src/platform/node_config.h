// Configuration that the platform gives a softswitch at its start, and the directory of exchanges as sent by the
// discovery service.
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

// One exchange in a directory notification.
struct Target {
  std::string uid;
  core::Address address;
  std::string zone, kind;
  int number = -1;
  ExchangeStatus status = ExchangeStatus::kReady;
  double rating = 1.0;
  std::int64_t boot_ms = 0;  // start as Unix time; 0: long ago
};

// One event of the discovery service.
struct DirectoryNotification {
  std::uint64_t number = 0;
  bool is_full = false;  // `targets` is the full directory instead of the changes
  std::vector<Target> targets;
};

// Returns nothing if `event` does not have the expected form, and explains why in `*error`. `number` is the event
// number from the stream; 0: use the one in the event itself.
std::optional<DirectoryNotification> ParseDirectoryNotification(const nlohmann::json& event, std::uint64_t number,
                                                                std::string* error);

// Contents of the configuration file.
struct NodeConfig {
  std::string name;
  core::Address listen, discovery_address;
  std::uint64_t seed = 1;
  std::size_t memory_mb = 32, sockets = 256;
  std::uint64_t known_event_number = 0;  // number of the last event in `known_notifications`
  std::vector<DirectoryNotification> known_notifications;
  Settings module;
  std::vector<std::string> zones, kinds;   // names by the index used in the decision module
  std::vector<std::string> report_fields;  // names of the fields of a report, in the order of Settings::report_fields
  TimeUs connect_timeout_us = 500'000;
  std::string settings_text;        // settings and limits as text, to detect changes in a later file
  TimeUs answer_grace_us = 20'000;  // time after the caller's timeout in which a final answer still counts
};

// Parses the text of the configuration file and appends all errors in it. `name` and `listen` are used if the file does
// not state them.
NodeConfig ParseNodeConfig(std::string_view text, const std::string& name, const std::string& listen,
                           std::vector<config::SettingsError>* mistakes);

// Converts nested settings to lines of path=value, the form that wire/settings_parser.h reads.
std::string FlattenSettings(const nlohmann::json& settings);

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_NODE_CONFIG_H_
