// The settings of croftrun-edge: schemas/edge.schema.json as a structure.
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

struct LineSettings {
  int count = 0;
  std::string number_prefix;
  int number_digits = 4;
  std::string digit_map = "x.T";
};

struct RosterSettings {
  core::Address server;
  core::Address listen;
  TimeUs ask_us = 1'000'000;
};

struct FlowSettings {
  std::size_t ring = 16'384;  // records between the call path and the exporter
  flow::RecorderSettings recorder;
  flow::ExporterSettings exporter;
};

struct ApiSettings {
  core::Address listen;
  std::string token_keys_file;  // empty: clients are told apart by their address alone
  std::size_t most_connections = 1'024;
  TimeUs idle_us = 30'000'000;
  std::size_t accepts_per_s = 200;
  ws::SessionManagerSettings session_manager;  // with the keys, as read
};
// One key a line, of 16 octets at least; mistakes with their line.
std::vector<std::string> ReadTokenKeys(const std::string& file, std::vector<config::Mistake>* mistakes);

struct EdgeSettings {
  core::CoreSettings core;
  core::Address listen;
  core::Address gateway;
  std::string domain;
  LineSettings lines;
  std::vector<std::string> class_names;
  std::vector<Place> places;  // for rules
  core::NumberPlan plan;
  std::shared_ptr<const Classifier> classifier;  // null: no rules
  std::optional<RosterSettings> roster;
  std::optional<FlowSettings> flow;
  std::optional<admission::AdmissionSettings> admission;
  std::optional<ApiSettings> api;
  mgcp::TransactionSettings transactions;
  TimeUs shutdown_limit_us = 30'000'000;
  TimeUs audit_us = 2'000'000;
  std::optional<std::uint64_t> seed;
  std::string log_level = "info";
  std::string log_file;
};

// The words that rules may use for customers, in their order.
std::vector<std::string> CustomerNames(const EdgeSettings& settings);
// The schema's text, as published.
std::string_view EdgeSchema();
// Appends every mistake found, each with its path; the result is only of use where there was none.
EdgeSettings ParseEdgeSettings(std::string_view text, std::vector<config::Mistake>* mistakes);
// The settings in force, defaults filled in, as JSON.
nlohmann::json ShowEdgeSettings(const EdgeSettings& settings);

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_EDGE_SETTINGS_H_
