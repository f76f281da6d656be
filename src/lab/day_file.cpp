#include "lab/day_file.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <set>

namespace croftrun::lab {
namespace {

using nlohmann::json;

// Number of random subsets of exchanges from which the best is chosen.
constexpr int kCandidates = 400;

double Ms(double us) { return us / 1000.0; }

// Distance of a subset from the full network before correction. Compares the load per circuit between each pair of
// zones and the share of exchange pairs without a group.
double Distance(const DayNetwork& whole, const DayNetwork& part) {
  const auto unlinked = [](const DayNetwork& n) {
    double none = 0.0, pairs = 0.0;
    for (std::size_t a = 0; a < n.size(); ++a) {
      for (std::size_t b = 0; b < a; ++b) {
        pairs += 1.0;
        none += n.circuits[a][b] == 0 ? 1.0 : 0.0;
      }
    }
    return pairs > 0.0 ? none / pairs : 0.0;
  };
  const int zones = 1 + *std::max_element(whole.zone.begin(), whole.zone.end());
  double sum = std::fabs(unlinked(whole) - unlinked(part)) * 4.0;
  for (int a = 0; a < zones; ++a) {
    for (int b = 0; b <= a; ++b) {
      const ZoneLoad all = LoadBetween(whole, a, b), some = LoadBetween(part, a, b);
      if (all.circuits <= 0.0) continue;
      sum +=
          some.circuits > 0.0 && some.erlangs > 0.0 ? std::fabs(std::log(some.PerCircuit() / all.PerCircuit())) : 1.0;
    }
  }
  return sum;
}

// The network of the kept exchanges, without corrections.
DayNetwork Subnetwork(const DayNetwork& whole, const std::vector<std::size_t>& kept) {
  DayNetwork part;
  part.circuit_seconds = whole.circuit_seconds;
  for (const std::size_t a : kept) {
    part.zone.push_back(whole.zone[a]);
    part.speed.push_back(whole.speed[a]);
    auto& circuits = part.circuits.emplace_back();
    auto& calls = part.calls_per_s.emplace_back();
    for (const std::size_t b : kept) {
      circuits.push_back(whole.circuits[a][b]);
      calls.push_back(whole.calls_per_s[a][b]);
    }
  }
  return part;
}

// Number of exchanges to keep in each zone, proportional to the full network, by the largest remainder method.
std::vector<std::size_t> ExchangesPerZone(const DayNetwork& whole, std::size_t exchanges) {
  std::map<int, std::size_t> count;
  for (const int zone : whole.zone) ++count[zone];
  std::vector<std::size_t> wanted(static_cast<std::size_t>(count.rbegin()->first) + 1);
  std::vector<std::pair<double, std::size_t>> rest;
  std::size_t assigned = 0;
  for (const auto& [zone, n] : count) {
    const double exact = static_cast<double>(n) * static_cast<double>(exchanges) / static_cast<double>(whole.size());
    wanted[static_cast<std::size_t>(zone)] = static_cast<std::size_t>(exact);
    assigned += static_cast<std::size_t>(exact);
    rest.emplace_back(exact - std::floor(exact), static_cast<std::size_t>(zone));
  }
  std::sort(rest.rbegin(), rest.rend());
  for (std::size_t i = 0; assigned < exchanges; ++i, ++assigned) ++wanted[rest[i % rest.size()].second];
  return wanted;
}

// Exchanges affected by a fault, numbered as in the reduced network. Their share of the network is that of the
// original.
std::vector<int> MapExchanges(const json& on, const ReducedNetwork& reduced, std::size_t all) {
  std::set<std::size_t> named;
  for (const json& server : on) {
    if (server.get<std::size_t>() < all) named.insert(server.get<std::size_t>());
  }
  if (named.empty()) return {};
  const std::size_t size = reduced.kept.size();
  const double share = static_cast<double>(named.size()) / static_cast<double>(all);
  const auto wanted =
      std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(share * static_cast<double>(size))), 1, size);
  std::vector<int> picked, others;
  for (std::size_t i = 0; i < size; ++i)
    (named.count(reduced.kept[i]) > 0 ? picked : others).push_back(static_cast<int>(i));
  for (std::size_t i = 0; picked.size() < wanted; ++i) picked.push_back(others[i]);
  picked.resize(wanted);
  std::sort(picked.begin(), picked.end());
  return picked;
}

// Builds the JSON scenario from a day file and its reduced network.
class Converter {
 public:
  Converter(const json& day, const ReducedNetwork& reduced, std::size_t all, std::vector<std::string>* left_out)
      : day_(day),
        fam_(day.at("fam")),
        tier_(day.at("tiers").at(0)),
        kind_(tier_.at("kinds").at(0)),
        reduced_(reduced),
        all_(all),
        left_out_(left_out) {}

  json Scenario() {
    json out;
    out["name"] = day_.value("site", "day") + " " + day_.value("kind", "");
    out["seed"] = day_.value("noise", std::uint64_t{1}) % 1'000'000;
    out["length_ms"] = day_.at("length").get<std::uint64_t>() / 1000;
    out["settle_ms"] = day_.value("tail", std::uint64_t{10'000'000}) / 1000;
    out["fleet"] = ConvertFleet();
    out["processor"] = ConvertProcessor();
    const json& allow = day_.at("allow");
    out["rules"] = {{"drain_grace_ms", day_.value("drain_grace", std::uint64_t{500'000}) / 1000},
                    {"release_ms", fam_.value("release", std::uint64_t{300'000}) / 1000},
                    {"most_attempts", allow.value("max_attempts", 4)},
                    {"may_probe", allow.value("probes", false)},
                    {"honours_pause", allow.value("retry_after", false)},
                    {"longest_pause_ms", day_.at("clients").value("max_retry_after", std::uint64_t{2'000'000}) / 1000}};
    out["traffic"] = ConvertTraffic();
    for (const json& trouble : day_.at("troubles")) ConvertTrouble(trouble, &out["faults"]);
    if (out["faults"].is_null()) out["faults"] = json::array();
    if (fam_.contains("advice") && !fam_.at("advice").is_null()) left_out_->push_back("advice of the centre");
    if (day_.contains("tenants") && !day_.at("tenants").empty()) left_out_->push_back("customers and their shares");
    return out;
  }

 private:
  json ConvertFleet() const {
    const DayNetwork& n = reduced_.network;
    json groups = json::array();
    double max_calls_per_s = 0.0;
    for (std::size_t a = 0; a < n.size(); ++a) {
      max_calls_per_s = std::max(max_calls_per_s, n.CallsAt(a));
      for (std::size_t b = a + 1; b < n.size(); ++b) {
        if (n.circuits[a][b] > 0) groups.push_back({a, b, n.circuits[a][b]});
      }
    }
    // Enough lines for callers in conversation, callers that redial and called parties, also in the busiest seconds.
    const int lines = std::clamp(static_cast<int>(max_calls_per_s * n.circuit_seconds * 4.0), 200, 9000);
    return {{"exchanges", n.size()},
            {"edges", n.size()},
            {"zones", std::max<std::size_t>(1, day_.at("zones").size())},
            {"zone_of", n.zone},
            {"circuits", 0},
            {"groups", groups},
            {"lines", lines},
            {"near_us", static_cast<int>(day_.at("net").at("same").get<double>())},
            {"far_us", static_cast<int>(day_.at("net").at("cross").get<double>())},
            {"roster_lag_ms", day_.at("discovery").at("notice").get<std::uint64_t>() / 1000}};
  }

  json ConvertProcessor() const {
    // Work of a set-up in microseconds on the slowest processor; speed_of scales it for each exchange.
    double slowest = 1e9;
    for (const double speed : reduced_.network.speed) slowest = std::min(slowest, speed);
    const double set_up = day_.at("classes").at(0).at("work").get<double>() / slowest;
    json speeds = json::array();
    for (const double speed : reduced_.network.speed) speeds.push_back(speed / slowest);
    const auto share = [&](const char* key, double otherwise) {
      return std::max(0, static_cast<int>(set_up * fam_.value(key, otherwise)));
    };
    json out = {{"set_up_us", std::max(1, static_cast<int>(set_up))},
                {"speed_of", speeds},
                {"out_us", std::max(1, static_cast<int>(set_up))},
                {"look_us", share("look", 0.25)},
                {"follow_us", share("follow", 0.3)},
                {"reject_us", share("reject", 0.2)},
                {"repeat_ms", static_cast<int>(Ms(fam_.value("resend", 0.0)))},
                {"longest_wait_ms", static_cast<int>(Ms(fam_.value("queue", 2e6)))},
                {"cold_from", kind_.value("cold_from", 0.3)},
                {"warm_up_ms", static_cast<int>(Ms(kind_.value("cold", 1e7)))},
                {"fall_multiple", day_.value("fall_multiple", 3.0)},
                {"fall_ms", static_cast<int>(Ms(day_.value("fall_for", 1e6)))},
                {"tells_wait", fam_.value("tells_wait", false)}};
    // The figures given to an edge are a lower bound of a processor's capacity (site documentation), not its actual
    // capacity.
    if (tier_.contains("stated_cold_from")) out["stated_cold_from"] = tier_.at("stated_cold_from");
    if (tier_.contains("stated_cold"))
      out["stated_warm_up_ms"] = static_cast<int>(Ms(tier_.at("stated_cold").get<double>()));
    for (const json& field : tier_.value("report_fields", json::array())) {
      if (field == "qps") out["reports"] = "allowed";
      if (field == "eps") out["reports"] = "cut_by";
      if (field == "queue") out["reports"] = "pending";
    }
    return out;
  }

  json ConvertTraffic() const {
    const DayNetwork& n = reduced_.network;
    const json& clients = day_.at("clients");
    double sum = 0.0;
    for (const auto& row : n.calls_per_s) sum += std::accumulate(row.begin(), row.end(), 0.0);
    const double share = clients.value("try_share", 0.35);
    const double wait = Ms(clients.value("backoff_us", 5e5));
    json out = {{"calls_per_s", std::max(0.1, sum)},
                {"between", n.calls_per_s},
                {"drift_ms", static_cast<int>(Ms(fam_.value("drift", 0.0)))},
                {"drift_cv", fam_.value("drift_cv", 0.0)},
                {"try_share", {share, share}},
                {"redials", clients.value("retries", 0)},
                {"redial_ms", {static_cast<int>(wait / 2.0), static_cast<int>(wait)}},
                {"redial_doubles", clients.value("backoff", "") == "exp"},
                {"heeds_pause", clients.value("honour", 1.0)},
                {"early_hang_up", clients.value("impatient", 0.0)}};
    for (const json& point : day_.at("traffic").value("shape", json::array()))
      out["shape"].push_back({point.at(0).get<double>() * 1000.0, point.at(1)});
    std::size_t index = 0;
    for (const json& c : day_.at("classes")) {
      const json& holds = fam_.at("hold");
      json entry = {
          {"name", c.at("name")},
          {"share", c.at("share")},
          {"aim_ms", c.at("aim").get<std::uint64_t>() / 1000},
          {"give_up_ms", c.at("deadline").get<std::uint64_t>() / 1000},
          {"worth", c.value("worth", 1.0)},
          {"late_worth", c.value("late_worth", 0.0)},
          {"holding_ms", static_cast<std::uint64_t>(Ms(holds.at(std::min(index, holds.size() - 1)).get<double>()))}};
      if (fam_.contains("width") && index < fam_.at("width").size())
        entry["width"] = std::max(1, static_cast<int>(fam_.at("width").at(index).get<double>()));
      out["classes"].push_back(entry);
      ++index;
    }
    return out;
  }

  void ConvertTrouble(const json& t, json* faults) {
    const auto name = t.at("kind").get<std::string>();
    const double size = t.value("size", 0.0), extra = t.value("extra", 0.0);
    json fault = {{"at_ms", t.at("at").get<std::uint64_t>() / 1000},
                  {"for_ms", t.at("len").get<std::uint64_t>() / 1000}};
    const std::vector<int> on = MapExchanges(t.value("on", json::array()), reduced_, all_);
    if (!on.empty()) fault["exchanges"] = on;
    if (name == "crash" || name == "hang") {
      fault["kind"] = name;
    } else if (name == "mass_restart") {
      fault["kind"] = "unit-restart";
    } else if (name == "slow" || name == "shared_slow") {
      fault["kind"] = "slow";
      fault["size"] = size;
      if (name == "shared_slow") {
        fault["exchanges"] = json::array();
        for (std::size_t i = 0; i < reduced_.kept.size(); ++i) fault["exchanges"].push_back(i);
      }
    } else if (name == "ageing") {
      fault["kind"] = "ageing";
      fault["size"] = size;
      fault["down_ms"] = static_cast<int>(extra * 1000.0);
    } else if (name == "pauses" || name == "balancer_stall") {
      fault["kind"] = name == "pauses" ? "pause" : "edge-stall";
      fault["size"] = size;
      fault["every_ms"] = std::max(1, static_cast<int>(extra * 1000.0));
      if (t.value("how", "") == "apart") return Stagger(fault, faults);
    } else if (name == "deploy") {
      for (const json& step : t.value("steps", json::array())) {
        fault["kind"] = "replace";
        fault["at_ms"] = step.at("at").get<std::uint64_t>() / 1000;
        fault["size"] = 1;
        const std::vector<int> stopped = MapExchanges(step.at("stop"), reduced_, all_);
        if (stopped.empty()) continue;
        fault["exchanges"] = stopped;
        faults->push_back(fault);
      }
      return;
    } else if (name == "discovery_stale") {
      fault["kind"] = "roster-late";
      fault["size"] = size * 1000.0;
    } else if (name == "origin_slow") {
      fault["kind"] = "circuits-lost";
      fault["zone"] = t.value("which", 0);
      fault["size"] = size > 0.0 ? 1.0 / std::sqrt(size) : 1.0;
    } else if (name == "hot_caller") {
      fault["kind"] = "hot-caller";
      fault["size"] = size;
    } else if (name == "hot_key") {
      fault["kind"] = "crowded-number";
      fault["size"] = size;
      fault["lines"] = fam_.value("hot_lines", 4);
      fault.erase("exchanges");
    } else if (name == "retry_abuse") {
      fault["kind"] = "retry-abuse";
      fault["size"] = std::max(1.0, std::round(size));
      fault["patience"] = extra;
      const json tenants = day_.value("tenants", json::array());
      const auto which = t.value("which", std::size_t{0});
      fault["share"] = which < tenants.size() ? tenants[which].value("traffic", 0.3) : 0.3;
    } else {
      left_out_->push_back(name);
      return;
    }
    faults->push_back(fault);
  }

  // Staggers a fault: one exchange after the other, rather than all at once.
  static void Stagger(const json& fault, json* faults) {
    const json on = fault.value("exchanges", json::array());
    const double gap = fault.at("every_ms").get<double>() / std::max(1.0, static_cast<double>(on.size()));
    for (std::size_t i = 0; i < on.size(); ++i) {
      json one = fault;
      one["exchanges"] = {on[i]};
      one["at_ms"] = fault.at("at_ms").get<std::uint64_t>() + static_cast<std::uint64_t>(gap * static_cast<double>(i));
      faults->push_back(one);
    }
  }

  const json &day_, &fam_, &tier_, &kind_;
  const ReducedNetwork& reduced_;
  std::size_t all_;
  std::vector<std::string>* left_out_;
};

}  // namespace

double DayNetwork::Offered(std::size_t a, std::size_t b) const {
  return (calls_per_s[a][b] + calls_per_s[b][a]) * circuit_seconds;
}

double DayNetwork::CallsAt(std::size_t a) const {
  double sum = 0.0;
  for (std::size_t b = 0; b < size(); ++b) sum += b == a ? 0.0 : calls_per_s[a][b] + calls_per_s[b][a];
  return sum;
}

ZoneLoad LoadBetween(const DayNetwork& network, int zone_a, int zone_b) {
  ZoneLoad load;
  for (std::size_t a = 0; a < network.size(); ++a) {
    for (std::size_t b = 0; b < a; ++b) {
      const bool between = (network.zone[a] == zone_a && network.zone[b] == zone_b) ||
                           (network.zone[a] == zone_b && network.zone[b] == zone_a);
      if (!between || network.circuits[a][b] == 0) continue;
      load.erlangs += network.Offered(a, b);
      load.circuits += network.circuits[a][b];
    }
  }
  return load;
}

ReducedNetwork ReduceNetwork(const DayNetwork& whole, std::size_t exchanges, std::uint64_t seed) {
  ReducedNetwork reduced;
  const std::size_t all = whole.size();
  exchanges = std::clamp<std::size_t>(exchanges, std::min<std::size_t>(2, all), all);
  std::vector<std::size_t> candidates(all);
  std::iota(candidates.begin(), candidates.end(), std::size_t{0});
  reduced.kept = candidates;
  if (exchanges < all) {
    std::mt19937_64 random(seed);
    const std::vector<std::size_t> per_zone = ExchangesPerZone(whole, exchanges);
    double best = 1e300;
    for (int candidate = 0; candidate < kCandidates; ++candidate) {
      for (std::size_t i = all; i > 1; --i) std::swap(candidates[i - 1], candidates[random() % i]);
      std::vector<std::size_t> remaining = per_zone, kept;
      for (const std::size_t exchange : candidates) {
        std::size_t& free_places = remaining[static_cast<std::size_t>(whole.zone[exchange])];
        if (free_places == 0) continue;
        --free_places;
        kept.push_back(exchange);
      }
      std::sort(kept.begin(), kept.end());
      const double distance = Distance(whole, Subnetwork(whole, kept));
      if (distance >= best) continue;
      best = distance;
      reduced.kept = kept;
    }
  }
  reduced.network = Subnetwork(whole, reduced.kept);
  DayNetwork& n = reduced.network;
  const int zones = 1 + *std::max_element(whole.zone.begin(), whole.zone.end());
  for (int a = 0; a < zones; ++a) {
    for (int b = 0; b <= a; ++b) {
      const ZoneLoad all_load = LoadBetween(whole, a, b), load = LoadBetween(n, a, b);
      if (all_load.erlangs <= 0.0 || load.erlangs <= 0.0) continue;
      const double factor = all_load.PerCircuit() / load.PerCircuit();
      reduced.min_factor = std::min(reduced.min_factor, factor);
      reduced.max_factor = std::max(reduced.max_factor, factor);
      for (std::size_t i = 0; i < n.size(); ++i) {
        for (std::size_t j = 0; j < n.size(); ++j) {
          if ((n.zone[i] == a && n.zone[j] == b) || (n.zone[i] == b && n.zone[j] == a)) n.calls_per_s[i][j] *= factor;
        }
      }
    }
  }
  for (std::size_t i = 0; i < n.size(); ++i) {
    const double before = whole.CallsAt(reduced.kept[i]), now = n.CallsAt(i);
    if (before > 0.0 && now > 0.0) n.speed[i] *= now / before;
  }
  return reduced;
}

DayNetwork ReadNetwork(const json& day) {
  const json& fam = day.at("fam");
  const json& servers = day.at("servers");
  // Servers that replace others later in the day are listed after the exchanges and are not part of the network.
  const std::size_t n = std::min(servers.size(), fam.value("n", servers.size()));
  DayNetwork network;
  for (std::size_t i = 0; i < n; ++i) {
    const json& server = servers.at(i);
    network.zone.push_back(server.value("zone", 0));
    network.speed.push_back(std::max(1e-6, server.at("speed").get<double>()));
  }
  network.circuits.assign(n, std::vector<unsigned>(n, 0));
  const json& size = fam.at("size");
  const json& pull = fam.at("pull");
  for (std::size_t a = 0; a < n; ++a) {
    for (std::size_t b = a + 1; b < n; ++b) {
      const auto circuits =
          static_cast<unsigned>(std::max(size.at(a * n + b).get<double>(), size.at(b * n + a).get<double>()));
      network.circuits[a][b] = network.circuits[b][a] = circuits;
    }
  }
  // Originating calls follow the weights of the balancers; destinations follow the pull matrix.
  double weights = 0.0;
  const json& balancers = day.at("balancers");
  for (const json& balancer : balancers) weights += balancer.value("weight", 1.0);
  const double calls = fam.at("capacity").get<double>() * day.at("traffic").at("load").get<double>();
  for (std::size_t a = 0; a < n; ++a) {
    auto& row = network.calls_per_s.emplace_back(n, 0.0);
    const json& towards = pull.at(a);
    double sum = 0.0;
    for (std::size_t b = 0; b < n; ++b) sum += b == a ? 0.0 : towards.at(b).get<double>();
    for (std::size_t b = 0; b < n && sum > 0.0; ++b) {
      if (b != a) row[b] = calls * balancers.at(a).value("weight", 1.0) / weights * towards.at(b).get<double>() / sum;
    }
  }
  double shares = 0.0, seconds = 0.0;
  std::size_t index = 0;
  for (const json& c : day.at("classes")) {
    const json& holds = fam.at("hold");
    const double hold = holds.at(std::min(index, holds.size() - 1)).get<double>() / 1e6;
    const double width =
        fam.contains("width") && index < fam.at("width").size() ? fam.at("width").at(index).get<double>() : 1.0;
    const double share = c.at("share").get<double>();
    shares += share;
    seconds += share * hold * width;
    ++index;
  }
  network.circuit_seconds = seconds / std::max(1e-9, shares);
  return network;
}

std::string ConvertDay(std::string_view day_json, const ConvertOptions& options, std::vector<std::string>* left_out,
                       std::vector<std::string>* notes, std::vector<config::SettingsError>* mistakes) {
  const json day = json::parse(day_json, nullptr, false);
  if (!day.is_object()) {
    mistakes->push_back({"", "expected a day file as a JSON object"});
    return {};
  }
  try {
    const DayNetwork whole = ReadNetwork(day);
    if (whole.size() < 2) {
      mistakes->push_back({"/servers", "expected at least two exchanges, found " + std::to_string(whole.size())});
      return {};
    }
    const std::uint64_t seed = day.value("noise", std::uint64_t{1});
    const auto rate = [](const DayNetwork& n) {
      double sum = 0.0;
      for (std::size_t a = 0; a < n.size(); ++a) sum += n.CallsAt(a) / 2.0;
      return sum;
    };
    std::size_t exchanges = std::min(whole.size(), std::max<std::size_t>(2, options.max_exchanges));
    ReducedNetwork reduced = ReduceNetwork(whole, exchanges, seed);
    while (exchanges > 2 && rate(reduced.network) > options.max_calls_per_s)
      reduced = ReduceNetwork(whole, --exchanges, seed);
    char text[200];
    std::snprintf(text, sizeof(text),
                  "%zu of %zu exchanges, %.1f of %.1f calls per second; load between zones corrected by "
                  "factors of %.2f to %.2f",
                  exchanges, whole.size(), rate(reduced.network), rate(whole), reduced.min_factor, reduced.max_factor);
    notes->push_back(text);
    return Converter(day, reduced, whole.size(), left_out).Scenario().dump(1);
  } catch (const json::exception& error) {
    mistakes->push_back({"", std::string("not a day file: ") + error.what()});
    return {};
  }
}

}  // namespace croftrun::lab
