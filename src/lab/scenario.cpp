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
  Value(fleet, "circuits", &s->circuits);
  Value(fleet, "lines", &s->lines);
  Value(fleet, "near_us", &s->near_us);
  Value(fleet, "far_us", &s->far_us);
  Time(fleet, "roster_lag_ms", &s->roster_lag_us);
  Value(fleet, "octet", &s->octet);
  Value(fleet, "most_calls", &s->most_calls);
  if (fleet.contains("unlinked")) {
    for (const json& pair : fleet.at("unlinked"))
      s->unlinked.emplace_back(std::min(pair[0].get<int>(), pair[1].get<int>()),
                               std::max(pair[0].get<int>(), pair[1].get<int>()));
  }
}

void ReadProcessor(const json& p, ProcessorSettings* out) {
  Value(p, "set_up_us", &out->set_up_us);
  Value(p, "follow_us", &out->follow_us);
  Value(p, "reject_us", &out->reject_us);
  Value(p, "probe_us", &out->probe_us);
  Time(p, "longest_wait_ms", &out->longest_wait_us);
  Time(p, "repeat_ms", &out->repeat_us);
  Value(p, "cold_from", &out->cold_from);
  Time(p, "warm_up_ms", &out->warm_up_us);
  Value(p, "fall_multiple", &out->fall_multiple);
  Time(p, "fall_ms", &out->fall_us);
  Value(p, "tells_wait", &out->tells_wait);
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
  return fault;
}

core::Address AddressOf(int octet, int number, std::uint16_t port) {
  const auto n = static_cast<std::uint32_t>(number);
  return {127U << 24U | static_cast<std::uint32_t>(octet) << 16U | (n / 250U) << 8U | (n % 250U + 1U), port};
}

}  // namespace

std::string_view ScenarioSchema() { return kScenarioSchema; }

Scenario ParseScenario(std::string_view text, std::vector<config::Mistake>* mistakes) {
  const json file = config::ParseAgainst(text, ScenarioSchema(), mistakes);
  Scenario s;
  if (!mistakes->empty()) return s;
  Value(file, "name", &s.name);
  Value(file, "seed", &s.seed);
  Time(file, "length_ms", &s.length_us);
  Time(file, "settle_ms", &s.settle_us);
  ReadFleet(file.at("fleet"), &s);
  if (file.contains("processor")) ReadProcessor(file.at("processor"), &s.processor);
  if (file.contains("rules")) {
    const json& rules = file.at("rules");
    Time(rules, "release_ms", &s.release_us);
    Time(rules, "drain_grace_ms", &s.drain_grace_us);
    Value(rules, "most_attempts", &s.most_attempts);
    Value(rules, "may_probe", &s.may_probe);
    Value(rules, "honours_pause", &s.honours_pause);
    Time(rules, "longest_pause_ms", &s.longest_pause_us);
  }
  ReadTraffic(file.at("traffic"), &s);
  Value(file, "edge_rules", &s.edge_rules);
  if (file.contains("edge_door")) s.edge_door = file.at("edge_door");
  if (s.edges > s.exchanges)
    mistakes->push_back({"/fleet/edges", "expected at most as many as exchanges (" + std::to_string(s.exchanges) +
                                             "), found " + std::to_string(s.edges)});
  if (file.contains("faults")) {
    std::size_t index = 0;
    for (const json& entry : file.at("faults")) {
      s.faults.push_back(ReadFault(entry));
      for (const int exchange : s.faults.back().exchanges) {
        if (exchange >= s.exchanges)
          mistakes->push_back({"/faults/" + std::to_string(index) + "/exchanges",
                               "expected an exchange under " + std::to_string(s.exchanges) + ", found " +
                                   std::to_string(exchange)});
      }
      ++index;
    }
  }
  return s;
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
  file["exchange"] = {{"number", number}, {"zone", number % s.zones}};
  file["agent"] = {{"listen", core::ToString(EdgeAddress(s, number))},
                   {"most_calls", s.most_calls},
                   {"answer_margin_ms", 50},
                   {"seed", s.seed * 1000 + static_cast<std::uint64_t>(number)}};
  file["gateway"] = {{"address", core::ToString(GatewayAddress(s, number))}, {"domain", DomainOf(number)}};
  file["lines"] = {{"count", s.lines}, {"number_prefix", ""}, {"number_digits", 4}, {"digit_map", "xxxxxxxxx"}};
  file["groups"] = json::array();
  for (int far = 0; far < s.exchanges; ++far) {
    const std::pair<int, int> pair{std::min(number, far), std::max(number, far)};
    const bool linked = std::find(s.unlinked.begin(), s.unlinked.end(), pair) == s.unlinked.end();
    if (far != number && linked && s.circuits > 0)
      file["groups"].push_back({{"exchange", far}, {"circuits", s.circuits}});
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
      file["plan"].push_back({{"prefix", Prefix(static_cast<int>(c), 0, far)}, {"exchange", far}, {"class", k.planned_as}});
  }
  file["roster"] = {{"server", core::ToString(RosterAddress(s))}, {"listen", core::ToString(roster_listen)}};
  file["network"] = {{"senders", s.edges},
                     {"release_ms", s.release_us / kMs},
                     {"repeat_ms", s.processor.repeat_us / kMs},
                     {"drain_grace_ms", s.drain_grace_us / kMs},
                     {"cold_from", s.processor.cold_from},
                     {"warm_up_ms", s.processor.warm_up_us / kMs},
                     {"fall_multiple", s.processor.fall_multiple},
                     {"fall_ms", s.processor.fall_us / kMs},
                     {"most_attempts", s.most_attempts},
                     {"may_cancel", true},
                     {"may_probe", s.may_probe},
                     {"honours_pause", s.honours_pause},
                     {"longest_pause_ms", s.longest_pause_us / kMs},
                     {"tells_wait", s.processor.tells_wait}};
  if (!s.processor.reports.empty()) file["network"]["reports"] = json::array({s.processor.reports});
  if (!s.edge_rules.empty()) file["rules"] = s.edge_rules;
  if (!s.edge_door.is_null()) file["door"] = s.edge_door;
  if (!s.flow_folder.empty()) {
    const std::string spool = s.flow_folder + "/spool-" + std::to_string(number);
    file["flow"] = {{"collectors", {{{"address", core::ToString(CollectorAddress(s, number))}, {"transport", "tcp"}, {"spool", {{"folder", spool}}}}}}};
  }
  // The lab's machine is not the network that T-HIST was made for: answers are kept for a shorter time.
  file["transactions"] = {{"history_ms", 10'000}, {"give_up_ms", 8'000}};
  file["log"] = {{"level", "info"}, {"file", log_file}};
  return file.dump(1);
}

std::string ConvertDay(std::string_view day_json, int most_edges, double most_calls_per_s,
                       std::vector<std::string>* left_out, std::vector<config::Mistake>* mistakes) {
  const json day = json::parse(day_json, nullptr, false);
  if (!day.is_object()) {
    mistakes->push_back({"", "expected a day file as a JSON object"});
    return {};
  }
  try {
    const json& fam = day.at("fam");
    const json& tier = day.at("tiers").at(0);
    const json& kind = tier.at("kinds").at(0);
    const auto all = static_cast<int>(day.at("servers").size());
    const int exchanges = std::max(2, std::min(all, most_edges));
    const double scale = static_cast<double>(exchanges) / std::max(1, all);
    json out;
    out["name"] = day.value("site", "day") + " " + day.value("kind", "");
    out["seed"] = day.value("noise", std::uint64_t{1}) % 1'000'000;
    out["length_ms"] = day.at("length").get<std::uint64_t>() / 1000;
    out["settle_ms"] = day.value("tail", std::uint64_t{10'000'000}) / 1000;
    const double hold_s = fam.at("hold").at(0).get<double>() / 1e6;
    double erlangs = 0.0, pairs = 0.0;
    for (const json& value : fam.at("erl")) {
      erlangs += value.get<double>();
      pairs += value.get<double>() > 0.0 ? 1.0 : 0.0;
    }
    const double load = day.at("traffic").at("load").get<double>();
    // Calls as offered, thinned to what one machine is asked to do; circuits are thinned alike.
    const double offered = erlangs / hold_s * load * scale;
    const double thinned = std::min(1.0, most_calls_per_s / std::max(1e-9, offered));
    const double circuits = pairs > 0.0 ? erlangs / pairs * thinned * 1.1 : 1.0;
    out["fleet"] = {{"exchanges", exchanges},
                    {"edges", exchanges},
                    {"zones", std::max<std::size_t>(1, day.at("zones").size())},
                    {"circuits", std::max(2, static_cast<int>(std::lround(circuits)))},
                    {"lines", std::clamp(static_cast<int>(8.0 * offered * thinned * hold_s / exchanges), 100, 9000)},
                    {"near_us", static_cast<int>(day.at("net").at("same").get<double>())},
                    {"far_us", static_cast<int>(day.at("net").at("cross").get<double>())},
                    {"roster_lag_ms", day.at("discovery").at("notice").get<std::uint64_t>() / 1000}};
    // A processor is as busy as in the day at the thinned load.
    const double speed = day.at("servers").at(0).at("speed").get<double>();
    const double work_us = day.at("classes").at(0).at("work").get<double>() / std::max(1e-6, speed) / thinned;
    out["processor"] = {{"set_up_us", std::max(1, static_cast<int>(work_us))},
                        {"follow_us", static_cast<int>(work_us * fam.value("follow", 0.3))},
                        {"reject_us", static_cast<int>(work_us * fam.value("reject", 0.2))},
                        {"longest_wait_ms", static_cast<int>(fam.value("queue", 2e6) / 1000.0)},
                        {"cold_from", kind.value("cold_from", 0.3)},
                        {"warm_up_ms", static_cast<int>(kind.value("cold", 1e7) / 1000.0)},
                        {"fall_multiple", day.value("fall_multiple", 3.0)},
                        {"fall_ms", static_cast<int>(day.value("fall_for", 1e6) / 1000.0)}};
    out["rules"] = {{"drain_grace_ms", day.value("drain_grace", std::uint64_t{500'000}) / 1000},
                    {"most_attempts", day.at("allow").value("max_attempts", 4)}};
    const json& clients = day.at("clients");
    const double share = clients.value("try_share", 0.35);
    out["traffic"] = {{"calls_per_s", std::max(0.1, offered * thinned)},
                      {"try_share", {share, share}},
                      {"redials", clients.value("retries", 0)}};
    out["traffic"]["redial_ms"] = {static_cast<int>(clients.value("backoff_us", 5e5) / 2000.0),
                                   static_cast<int>(clients.value("backoff_us", 5e5) / 1000.0)};
    std::size_t index = 0;
    for (const json& c : day.at("classes")) {
      const json& holds = fam.at("hold");
      const double hold = holds.at(std::min(index, holds.size() - 1)).get<double>();
      json entry = {{"name", c.at("name")},
                    {"share", c.at("share")},
                    {"aim_ms", c.at("aim").get<std::uint64_t>() / 1000},
                    {"give_up_ms", c.at("deadline").get<std::uint64_t>() / 1000},
                    {"worth", c.value("worth", 1.0)},
                    {"late_worth", c.value("late_worth", 0.0)},
                    {"holding_ms", static_cast<std::uint64_t>(hold / 1000.0)}};
      if (fam.contains("width") && fam.at("width").is_array() && index < fam.at("width").size())
        entry["width"] = std::max(1, static_cast<int>(fam.at("width").at(index).get<double>()));
      out["traffic"]["classes"].push_back(entry);
      ++index;
    }
    for (const json& trouble : day.at("troubles")) {
      const auto name = trouble.at("kind").get<std::string>();
      std::vector<int> on;
      for (const json& server : trouble.value("on", json::array())) {
        const int number = server.get<int>() % exchanges;
        if (std::find(on.begin(), on.end(), number) == on.end()) on.push_back(number);
      }
      json fault = {{"at_ms", trouble.at("at").get<std::uint64_t>() / 1000},
                    {"for_ms", trouble.at("len").get<std::uint64_t>() / 1000}};
      const double size = trouble.value("size", 0.0);
      if (!on.empty()) fault["exchanges"] = on;
      if (name == "crash" || name == "hang" || name == "slow") {
        fault["kind"] = name;
      } else if (name == "pauses") {
        fault["kind"] = "pause";
      } else if (name == "deploy") {
        fault["kind"] = "replace";
      } else if (name == "mass_restart") {
        fault["kind"] = "unit-restart";
      } else if (name == "discovery_stale") {
        fault["kind"] = "roster-late";
      } else if (name == "origin_slow") {
        fault["kind"] = "circuits-lost";
        fault["zone"] = trouble.value("which", 0);
      } else if (name == "hot_caller") {
        fault["kind"] = "hot-caller";
      } else if (name == "hot_key") {
        fault["kind"] = "crowded-number";
      } else if (name == "shared_slow") {
        fault["kind"] = "slow";
        json everyone = json::array();
        for (int i = 0; i < exchanges; ++i) everyone.push_back(i);
        fault["exchanges"] = everyone;
      } else {
        left_out->push_back(name);
        continue;
      }
      if (name == "discovery_stale" || name == "pauses") {
        fault["size"] = name == "pauses" ? size / 1000.0 : size * 1000.0;  // ms
      } else if (name == "origin_slow") {
        fault["size"] = size > 0.0 ? 1.0 / std::sqrt(size) : 1.0;
      } else if (size > 0.0) {
        fault["size"] = size;
      }
      out["faults"].push_back(fault);
    }
    if (!fam.value("advice", json(0)).is_null()) left_out->push_back("the centre's advice");
    return out.dump(1);
  } catch (const json::exception& error) {
    mistakes->push_back({"", std::string("not a day file: ") + error.what()});
    return {};
  }
}

}  // namespace croftrun::lab
