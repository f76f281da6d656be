// The settings of croftrun-edge, as described by schemas/edge.schema.json.
#ifndef CROFTRUN_EDGE_EDGE_SETTINGS_H_
#define CROFTRUN_EDGE_EDGE_SETTINGS_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/admission_controller.h"
#include "config/json_settings.h"
#include "core/call_core.h"
#include "core/number_plan.h"
#include "edge/classifier.h"
#include "flow/exporter.h"
#include "flow/recorder.h"
#include "mgcp/transactions.h"
#include "ws/session_manager.h"

namespace croftrun::edge {

// The line endpoints and the numbers of this exchange.
struct LineSettings {
  int count = 0;
  std::string number_prefix;
  int number_digits = 4;
  std::string digit_map = "x.T";
};

// The roster server that lists the exchanges.
struct RosterSettings {
  core::Address server;
  core::Address listen;
  TimeUs renewal_interval_us = 1'000'000;
};

// Flow export of calls and attempts.
struct FlowSettings {
  std::size_t ring_capacity = 16'384;  // records between the call path and the exporter
  flow::RecorderSettings recorder;
  flow::ExporterSettings exporter;
};

// The WebSocket API.
struct ApiSettings {
  core::Address listen;
  std::string token_keys_file;  // empty: clients are identified by their address alone
  std::size_t max_connections = 1'024;
  TimeUs idle_timeout_us = 30'000'000;
  std::size_t accepts_per_s = 200;
  ws::SessionManagerSettings session_manager;  // includes the keys read from token_keys_file
};
// Reads token keys, one per line, each of at least 16 octets. Appends errors with their line to `mistakes`.
std::vector<std::string> ReadTokenKeys(const std::string& file, std::vector<config::SettingsError>* mistakes);

// All settings of one edge.
struct EdgeSettings {
  core::CoreSettings core;
  core::Address listen;
  core::Address gateway;
  std::string domain;
  LineSettings lines;
  std::vector<std::string> class_names;
  std::vector<NamedExchange> named_exchanges;  // names that rules can use
  core::NumberPlan plan;
  std::shared_ptr<const Classifier> classifier;  // null: no rules
  std::optional<RosterSettings> roster;
  std::optional<FlowSettings> flow;
  std::optional<admission::AdmissionSettings> admission;
  std::optional<ApiSettings> api;
  mgcp::TransactionSettings transactions;
  TimeUs shutdown_timeout_us = 30'000'000;
  TimeUs audit_interval_us = 2'000'000;
  std::optional<std::uint64_t> seed;
  std::string log_level = "info";
  std::string log_file;
};

// Returns the names that rules can use for customers, in the order of the settings.
std::vector<std::string> CustomerNames(const EdgeSettings& settings);
// Returns the text of the JSON schema.
std::string_view EdgeSchema();
// Parses settings. Appends every error found to `mistakes`, with its path; the result is valid only if there are none.
EdgeSettings ParseEdgeSettings(std::string_view text, std::vector<config::SettingsError>* mistakes);
// Returns the settings in force as JSON, including defaults.
nlohmann::json ShowEdgeSettings(const EdgeSettings& settings);

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_EDGE_SETTINGS_H_
