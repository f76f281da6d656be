// Scenario of a laboratory day, in the format of schemas/scenario.schema.json.
#ifndef CROFTRUN_LAB_SCENARIO_H_
#define CROFTRUN_LAB_SCENARIO_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/json_settings.h"
#include "lab/network.h"

namespace croftrun::lab {

// A scheduled fault. Fields that its kind does not use keep their defaults.
struct Fault {
  TimeUs at_us = 0;
  TimeUs for_us = 0;  // 0: until the end of the day
  std::string kind;
  std::vector<int> exchanges;
  double size = 0.0;
  int zone = 0;
  int lines = 4;
  double loss = 0.0, doubled = 0.0, late = 0.0;
  TimeUs late_us = 0;
  std::string method = "restart";
  std::string endpoints = "*";
  TimeUs every_us = 0, down_us = 0;
  double share = 0.0, patience = 0.0;
};

// A class of call: its share of the traffic, its deadlines and its worth.
struct TrafficClass {
  std::string name, planned_as;
  double share = 1.0;
  TimeUs aim_us = 1'500'000, give_up_us = 9'000'000;
  double worth = 1.0, late_worth = 0.0;
  int width = 1;
  TimeUs holding_us = 10'000'000;
};

// Defaults apply to fields that the file leaves out.
struct Scenario {
  std::string name = "day";
  std::uint64_t seed = 1;
  TimeUs length_us = 10'000'000;
  TimeUs settle_us = 10'000'000;
  int exchanges = 2, edges = 1, zones = 1;
  std::vector<int> zone_of;  // by exchange; empty: exchange number modulo zones
  // Sizes of the groups that differ from `circuits`; the lower exchange number is the first of the key.
  std::map<std::pair<int, int>, unsigned> groups;
  unsigned circuits = 30;
  std::vector<std::pair<int, int>> unlinked;
  int lines = 200;
  TimeUs near_us = 200, far_us = 8'000;
  TimeUs roster_lag_us = 1'000'000;
  int octet = 10;
  std::size_t max_calls = 20'000;
  ProcessorSettings processor;
  double stated_cold_from = 0.0;  // value given to the edges; 0: the actual one
  TimeUs stated_warm_up_us = 0;
  TimeUs release_us = 300'000, drain_grace_us = 500'000;
  int max_attempts = 4;
  bool may_probe = false, honours_retry_after = false;
  TimeUs max_retry_after_us = 2'000'000;
  double calls_per_s = 10.0;
  std::vector<TrafficClass> classes;
  std::vector<std::string> edge_rules;
  nlohmann::json edge_admission;  // admission settings of every edge; null: none
  std::pair<double, double> try_share = {0.34, 0.4};
  int redials = 2;
  std::pair<TimeUs, TimeUs> redial_us = {200'000, 800'000};
  double early_hang_up = 0.0;
  std::vector<std::vector<double>> between;      // relative rates [from][to]; empty: uniform
  std::vector<std::pair<TimeUs, double>> shape;  // load factor over time; empty: constant
  TimeUs drift_us = 0;
  double drift_cv = 0.0;
  bool redial_doubles = false;
  double retry_after_compliance = 1.0;
  std::vector<Fault> faults;
  // If set, every edge exports flow records to the collector at its gateway's host, with a spool in this folder.
  std::string flow_folder;

  int ZoneOf(int exchange) const {
    return zone_of.empty() ? exchange % zones : zone_of[static_cast<std::size_t>(exchange)];
  }
  // Returns 0 if there is no group between the two exchanges.
  unsigned CircuitsBetween(int a, int b) const;
};

// The JSON schema of scenarios.
std::string_view ScenarioSchema();
// Parses a scenario; the result is valid only if no mistakes were added.
Scenario ParseScenario(std::string_view text, std::vector<config::SettingsError>* mistakes);

// Loopback addresses derived from the scenario's octet and the number of the exchange.
core::Address EdgeAddress(const Scenario& scenario, int number);
core::Address GatewayAddress(const Scenario& scenario, int number);
core::Address RosterAddress(const Scenario& scenario);
core::Address CollectorAddress(const Scenario& scenario, int number);
// Domain of the gateway's endpoint names.
std::string DomainOf(int number);
// Returns the settings of the edge of exchange `number` as JSON text.
std::string EdgeSettingsFor(const Scenario& scenario, int number, const std::string& log_file);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_SCENARIO_H_
