#include "lab/scenario.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "lab/numbering.h"
#include "lab/scenario_schema.inc"

namespace croftrun::lab {
namespace {

using config::Time;
using config::Value;
using nlohmann::json;

constexpr TimeUs kMs = 1000;

void ReadFleet(const json& fleet, Scenario* s) {
  Value(fleet, "exchanges", &s->exchanges);
  Value(fleet, "edges", &s->edges);
  Value(fleet, "zones", &s->zones);
  Value(fleet, "zone_of", &s->zone_of);
  Value(fleet, "circuits", &s->circuits);
  for (const json& group : fleet.value("groups", json::array())) {
    const int a = group[0].get<int>(), b = group[1].get<int>();
    s->groups[{std::min(a, b), std::max(a, b)}] = group[2].get<unsigned>();
  }
  Value(fleet, "lines", &s->lines);
  Value(fleet, "near_us", &s->near_us);
  Value(fleet, "far_us", &s->far_us);
  Time(fleet, "roster_lag_ms", &s->roster_lag_us);
  Value(fleet, "octet", &s->octet);
  Value(fleet, "most_calls", &s->max_calls);
  if (fleet.contains("unlinked")) {
    for (const json& pair : fleet.at("unlinked"))
      s->unlinked.emplace_back(std::min(pair[0].get<int>(), pair[1].get<int>()),
                               std::max(pair[0].get<int>(), pair[1].get<int>()));
  }
}

void ReadProcessor(const json& p, ProcessorSettings* out) {
  Value(p, "set_up_us", &out->set_up_us);
  Value(p, "speed_of", &out->speed_by_exchange);
  Value(p, "out_us", &out->outgoing_set_up_us);
  Value(p, "look_us", &out->offer_us);
  Value(p, "follow_us", &out->signal_us);
  Value(p, "reject_us", &out->reject_us);
  Value(p, "probe_us", &out->probe_us);
  Time(p, "longest_wait_ms", &out->max_queue_delay_us);
  Time(p, "repeat_ms", &out->retransmit_interval_us);
  Value(p, "cold_from", &out->warm_up_start_share);
  Time(p, "warm_up_ms", &out->warm_up_us);
  Value(p, "fall_multiple", &out->collapse_multiple);
  Time(p, "fall_ms", &out->collapse_time_us);
  Value(p, "tells_wait", &out->reports_wait_time);
  Value(p, "reports", &out->reports);
}

void ReadTraffic(const json& t, Scenario* s) {
  Value(t, "calls_per_s", &s->calls_per_s);
  for (const json& entry : t.at("classes")) {
    TrafficClass c;
    Value(entry, "name", &c.name);
    c.planned_as = entry.value("planned_as", c.name);
    Value(entry, "share", &c.share);
    Time(entry, "give_up_ms", &c.give_up_us);
    c.aim_us = c.give_up_us;
    Time(entry, "aim_ms", &c.aim_us);
    Value(entry, "worth", &c.worth);
    Value(entry, "late_worth", &c.late_worth);
    Value(entry, "width", &c.width);
    Time(entry, "holding_ms", &c.holding_us);
    s->classes.push_back(c);
  }
  if (t.contains("try_share")) s->try_share = {t.at("try_share")[0].get<double>(), t.at("try_share")[1].get<double>()};
  Value(t, "redials", &s->redials);
  if (t.contains("redial_ms"))
    s->redial_us = {t.at("redial_ms")[0].get<TimeUs>() * kMs, t.at("redial_ms")[1].get<TimeUs>() * kMs};
  Value(t, "early_hang_up", &s->early_hang_up);
  Value(t, "between", &s->between);
  for (const json& point : t.value("shape", json::array()))
    s->shape.emplace_back(static_cast<TimeUs>(point[0].get<double>()) * kMs, point[1].get<double>());
  Time(t, "drift_ms", &s->drift_us);
  Value(t, "drift_cv", &s->drift_cv);
  Value(t, "redial_doubles", &s->redial_doubles);
  Value(t, "heeds_pause", &s->retry_after_compliance);
}

Fault ReadFault(const json& f) {
  Fault fault;
  Time(f, "at_ms", &fault.at_us);
  Time(f, "for_ms", &fault.for_us);
  Value(f, "kind", &fault.kind);
  Value(f, "exchanges", &fault.exchanges);
  Value(f, "size", &fault.size);
  Value(f, "zone", &fault.zone);
  Value(f, "lines", &fault.lines);
  Value(f, "loss", &fault.loss);
  Value(f, "doubled", &fault.doubled);
  Value(f, "late", &fault.late);
  Time(f, "late_ms", &fault.late_us);
  Value(f, "method", &fault.method);
  Value(f, "endpoints", &fault.endpoints);
  Time(f, "every_ms", &fault.every_us);
  Time(f, "down_ms", &fault.down_us);
  Value(f, "share", &fault.share);
  Value(f, "patience", &fault.patience);
  return fault;
}

// Spreads the exchanges over the last two octets, 250 to each value of the third.
core::Address AddressOf(int octet, int number, std::uint16_t port) {
  const auto n = static_cast<std::uint32_t>(number);
  return {127U << 24U | static_cast<std::uint32_t>(octet) << 16U | (n / 250U) << 8U | (n % 250U + 1U), port};
}

}  // namespace

std::string_view ScenarioSchema() { return kScenarioSchema; }

Scenario ParseScenario(std::string_view text, std::vector<config::SettingsError>* mistakes) {
  const json file = config::ParseWithSchema(text, ScenarioSchema(), mistakes);
  Scenario s;
  if (!mistakes->empty()) return s;
  Value(file, "name", &s.name);
  Value(file, "seed", &s.seed);
  Time(file, "length_ms", &s.length_us);
  Time(file, "settle_ms", &s.settle_us);
  ReadFleet(file.at("fleet"), &s);
  if (file.contains("processor")) {
    ReadProcessor(file.at("processor"), &s.processor);
    Value(file.at("processor"), "stated_cold_from", &s.stated_cold_from);
    Time(file.at("processor"), "stated_warm_up_ms", &s.stated_warm_up_us);
  }
  if (file.contains("rules")) {
    const json& rules = file.at("rules");
    Time(rules, "release_ms", &s.release_us);
    Time(rules, "drain_grace_ms", &s.drain_grace_us);
    Value(rules, "most_attempts", &s.max_attempts);
    Value(rules, "may_probe", &s.may_probe);
    Value(rules, "honours_pause", &s.honours_retry_after);
    Time(rules, "longest_pause_ms", &s.max_retry_after_us);
  }
  ReadTraffic(file.at("traffic"), &s);
  Value(file, "edge_rules", &s.edge_rules);
  if (file.contains("edge_door")) s.edge_admission = file.at("edge_door");
  if (s.edges > s.exchanges)
    mistakes->push_back({"/fleet/edges", "expected at most the number of exchanges (" + std::to_string(s.exchanges) +
                                             "), found " + std::to_string(s.edges)});
  const auto expect_one_per_exchange = [&](const char* path, std::size_t found) {
    if (found != 0 && found != static_cast<std::size_t>(s.exchanges))
      mistakes->push_back({path, "expected one entry for each of " + std::to_string(s.exchanges) +
                                     " exchanges, found " + std::to_string(found)});
  };
  expect_one_per_exchange("/fleet/zone_of", s.zone_of.size());
  expect_one_per_exchange("/processor/speed_of", s.processor.speed_by_exchange.size());
  expect_one_per_exchange("/traffic/between", s.between.size());
  for (std::size_t row = 0; row < s.between.size(); ++row) {
    expect_one_per_exchange(("/traffic/between/" + std::to_string(row)).c_str(), s.between[row].size());
    if (s.between[row].empty())
      mistakes->push_back({"/traffic/between/" + std::to_string(row), "expected one number per exchange, found none"});
  }
  for (const int zone : s.zone_of) {
    if (zone >= s.zones)
      mistakes->push_back(
          {"/fleet/zone_of", "expected zones below " + std::to_string(s.zones) + ", found " + std::to_string(zone)});
  }
  for (const auto& [pair, circuits] : s.groups) {
    if (pair.second >= s.exchanges || pair.first == pair.second)
      mistakes->push_back({"/fleet/groups", "expected two different exchanges below " + std::to_string(s.exchanges) +
                                                ", found " + std::to_string(pair.first) + " and " +
                                                std::to_string(pair.second)});
  }
  if (file.contains("faults")) {
    std::size_t index = 0;
    for (const json& entry : file.at("faults")) {
      s.faults.push_back(ReadFault(entry));
      for (const int exchange : s.faults.back().exchanges) {
        if (exchange >= s.exchanges)
          mistakes->push_back(
              {"/faults/" + std::to_string(index) + "/exchanges",
               "expected an exchange below " + std::to_string(s.exchanges) + ", found " + std::to_string(exchange)});
      }
      ++index;
    }
  }
  return s;
}

unsigned Scenario::CircuitsBetween(int a, int b) const {
  const std::pair<int, int> pair{std::min(a, b), std::max(a, b)};
  if (a == b || std::find(unlinked.begin(), unlinked.end(), pair) != unlinked.end()) return 0;
  const auto listed = groups.find(pair);
  return listed == groups.end() ? circuits : listed->second;
}

core::Address EdgeAddress(const Scenario& s, int number) { return AddressOf(s.octet, number, 2727); }
core::Address GatewayAddress(const Scenario& s, int number) { return AddressOf(s.octet + 1, number, 2427); }
core::Address RosterAddress(const Scenario& s) { return AddressOf(s.octet + 2, 0, 4000); }
core::Address CollectorAddress(const Scenario& s, int number) {
  core::Address address = GatewayAddress(s, number);
  address.port = 4739;
  return address;
}
std::string DomainOf(int number) { return "gw" + std::to_string(number) + ".lab"; }

std::string EdgeSettingsFor(const Scenario& s, int number, const std::string& log_file) {
  core::Address roster_listen = EdgeAddress(s, number);
  roster_listen.port = 2728;
  json file;
  file["exchange"] = {{"number", number}, {"zone", s.ZoneOf(number)}};
  file["agent"] = {{"listen", core::ToString(EdgeAddress(s, number))},
                   {"most_calls", s.max_calls},
                   {"answer_margin_ms", 50},
                   {"seed", s.seed * 1000 + static_cast<std::uint64_t>(number)}};
  file["gateway"] = {{"address", core::ToString(GatewayAddress(s, number))}, {"domain", DomainOf(number)}};
  file["lines"] = {{"count", s.lines}, {"number_prefix", ""}, {"number_digits", 4}, {"digit_map", "xxxxxxxxx"}};
  file["groups"] = json::array();
  for (int far = 0; far < s.exchanges; ++far) {
    if (const unsigned circuits = s.CircuitsBetween(number, far); circuits > 0)
      file["groups"].push_back({{"exchange", far}, {"circuits", circuits}});
  }
  for (std::size_t c = 0; c < s.classes.size(); ++c) {
    const TrafficClass& k = s.classes[c];
    file["classes"].push_back({{"name", k.name},
                               {"aim_ms", k.aim_us / kMs},
                               {"give_up_ms", k.give_up_us / kMs},
                               {"worth", k.worth},
                               {"late_worth", k.late_worth},
                               {"width", k.width},
                               {"holding_ms", k.holding_us / kMs}});
    for (int far = 0; far < s.exchanges; ++far)
      file["plan"].push_back(
          {{"prefix", NumberPrefix(static_cast<int>(c), 0, far)}, {"exchange", far}, {"class", k.planned_as}});
  }
  file["roster"] = {{"server", core::ToString(RosterAddress(s))}, {"listen", core::ToString(roster_listen)}};
  file["network"] = {{"senders", s.edges},
                     {"release_ms", s.release_us / kMs},
                     {"repeat_ms", s.processor.retransmit_interval_us / kMs},
                     {"drain_grace_ms", s.drain_grace_us / kMs},
                     {"cold_from", s.stated_cold_from > 0.0 ? s.stated_cold_from : s.processor.warm_up_start_share},
                     {"warm_up_ms", (s.stated_warm_up_us > 0 ? s.stated_warm_up_us : s.processor.warm_up_us) / kMs},
                     {"fall_multiple", s.processor.collapse_multiple},
                     {"fall_ms", s.processor.collapse_time_us / kMs},
                     {"most_attempts", s.max_attempts},
                     {"may_cancel", true},
                     {"may_probe", s.may_probe},
                     {"honours_pause", s.honours_retry_after},
                     {"longest_pause_ms", s.max_retry_after_us / kMs},
                     {"tells_wait", s.processor.reports_wait_time}};
  if (!s.processor.reports.empty()) file["network"]["reports"] = json::array({s.processor.reports});
  if (!s.edge_rules.empty()) file["rules"] = s.edge_rules;
  if (!s.edge_admission.is_null()) file["door"] = s.edge_admission;
  if (!s.flow_folder.empty()) {
    const std::string spool = s.flow_folder + "/spool-" + std::to_string(number);
    file["flow"] = {{"collectors",
                     {{{"address", core::ToString(CollectorAddress(s, number))},
                       {"transport", "tcp"},
                       {"spool", {{"folder", spool}}}}}}};
  }
  // On loopback, responses need not be kept as long as T-HIST assumes for a real network.
  file["transactions"] = {{"history_ms", 10'000}, {"give_up_ms", 8'000}};
  file["log"] = {{"level", "info"}, {"file", log_file}};
  return file.dump(1);
}

}  // namespace croftrun::lab
