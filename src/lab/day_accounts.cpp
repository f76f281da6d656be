#include "lab/day_accounts.h"

#include <algorithm>
#include <cmath>

#include "edge/wire_names.h"
#include "lab/numbering.h"

namespace croftrun::lab {
namespace {

using mgcp::Verb;
using nlohmann::json;
using reach::SetUpOutcome;

// The bound's intervals, and how finely the timeline of faults is walked.
constexpr TimeUs kInterval = 4'000'000, kStep = 50'000;
constexpr std::size_t kMostBins = 100'000;

const mgcp::EventRef* Find(const std::vector<mgcp::EventRef>& events, std::string_view name) {
  const auto found =
      std::find_if(events.begin(), events.end(), [&](const auto& e) { return mgcp::EqualsIgnoringCase(e.name, name); });
  return found == events.end() ? nullptr : &*found;
}

std::vector<mgcp::EventRef> Events(const mgcp::Message& message, std::string_view line) {
  return mgcp::ParseEventList(message.Get(line)).value_or(std::vector<mgcp::EventRef>{});
}

bool Hits(const Fault& fault, int exchange) {
  return std::find(fault.exchanges.begin(), fault.exchanges.end(), exchange) != fault.exchanges.end();
}

// What an exchange's processor can do at a moment, as a share of its usual capacity: the scenario's timeline
// alone.
double Capacity(const Scenario& s, int exchange, TimeUs at) {
  double share = 1.0;
  TimeUs started = 0;
  for (const Fault& f : s.faults) {
    if (at < f.at_us || !Hits(f, exchange)) continue;
    const TimeUs end = f.for_us > 0 ? f.at_us + f.for_us : s.length_us + s.settle_us;
    const bool during = at < end;
    if (f.kind == "crash" || f.kind == "unit-restart") {
      if (during) return 0.0;
      started = std::max(started, end);
    } else if (f.kind == "hang" || f.kind == "edge-kill" || f.kind == "gateway-deaf") {
      if (during) return 0.0;
    } else if (f.kind == "slow") {
      if (during) share /= std::max(1.0, f.size);
    } else if (f.kind == "ageing") {
      if (during)
        share /= 1.0 + (std::max(1.0, f.size) - 1.0) * static_cast<double>(at - f.at_us) /
                           static_cast<double>(std::max<TimeUs>(1, f.for_us));
      if (!during && at < end + f.down_us) return 0.0;
      if (!during) started = std::max(started, end + f.down_us);
    } else if (f.kind == "replace") {
      // Two seconds of draining, then 300 ms without; one after the other unless all at once.
      const auto index =
          static_cast<TimeUs>(std::find(f.exchanges.begin(), f.exchanges.end(), exchange) - f.exchanges.begin());
      const TimeUs gap =
          f.size == 1.0 ? 0 : std::max<TimeUs>(2'500'000, f.for_us / std::max<std::size_t>(1, f.exchanges.size()));
      const TimeUs down = f.at_us + index * gap + 2'000'000;
      if (at >= down && at < down + 300'000) return 0.0;
      if (at >= down + 300'000) started = std::max(started, down + 300'000);
    } else if ((f.kind == "pause" || f.kind == "edge-stall") && during) {
      const TimeUs every = f.every_us > 0 ? f.every_us : 1'500'000, still = static_cast<TimeUs>(f.size * 1000.0);
      const TimeUs cycle = f.kind == "pause" ? every : every + still;
      if ((at - f.at_us) % std::max<TimeUs>(1, cycle) < still) return 0.0;
    }
  }
  if (started == 0) return share;
  const double grown = static_cast<double>(at - started) / static_cast<double>(s.processor.warm_up_us);
  return share *
         (grown >= 1.0 ? 1.0 : s.processor.warm_up_start_share + (1.0 - s.processor.warm_up_start_share) * grown);
}

double Circuits(const Scenario& s, int a, int b, TimeUs at) {
  double circuits = s.CircuitsBetween(a, b);
  for (const Fault& f : s.faults) {
    if (f.kind != "circuits-lost" || at < f.at_us || (f.for_us > 0 && at >= f.at_us + f.for_us)) continue;
    const bool hit =
        f.exchanges.empty() ? (s.ZoneOf(a) == f.zone) != (s.ZoneOf(b) == f.zone) : Hits(f, a) && Hits(f, b);
    if (hit) circuits = std::ceil(circuits * f.size);
  }
  return circuits;
}

}  // namespace

DayAccounts::DayAccounts(const Scenario& scenario) : scenario_(scenario), ledger_(scenario.classes.size()) {
  for (int i = 0; i < scenario_.edges; ++i) {
    edge_hosts_[EdgeAddress(scenario_, i).host] = i;
    gateway_hosts_[GatewayAddress(scenario_, i).host] = i;
    edges_[i].number = i;
  }
  pressed_us_ = 1e18;
  for (const TrafficClass& c : scenario_.classes)
    pressed_us_ = std::min(pressed_us_, static_cast<double>(c.aim_us) / 4.0);
}

DayAccounts::Bin* DayAccounts::BinAt(TimeUs at) {
  if (began_ == 0 || at < began_) return nullptr;
  const auto bin = static_cast<std::size_t>((at - began_) / kBinLength);
  if (bin >= kMostBins) return nullptr;
  if (bin >= bins_.size()) bins_.resize(bin + 1);
  return &bins_[bin];
}

void DayAccounts::AddRecord(const TraceRecord& record) {
  if (first_ == 0) first_ = record.at_us;
  now_ = record.at_us;
  if (!record.fact.empty()) return OnFact(record);
  const auto from_edge = edge_hosts_.find(record.from.host);
  const auto to_edge = edge_hosts_.find(record.to.host);
  const bool by_edge = from_edge != edge_hosts_.end() && gateway_hosts_.count(record.to.host) > 0;
  const bool by_gateway = to_edge != edge_hosts_.end() && gateway_hosts_.count(record.from.host) > 0;
  if (!by_edge && !by_gateway) return;
  Edge& edge = edges_[by_edge ? from_edge->second : to_edge->second];
  for (const mgcp::ParsedMessage& parsed : mgcp::ParseDatagram(record.text)) {
    const auto* message = std::get_if<mgcp::Message>(&parsed);
    if (message == nullptr) continue;
    by_edge ? OnEdge(edge, record.at_us, *message) : OnGateway(edge, record.at_us, *message);
  }
}

void DayAccounts::OnEdge(Edge& edge, TimeUs at, const mgcp::Message& message) {
  if (!message.is_command) return;
  const std::string circuit(message.endpoint.local);
  if (circuit.rfind(wire_names::kCircuits, 0) != 0) return;
  if (message.verb == Verb::kDlcx) return End(edge, circuit, SetUpOutcome::kCancelled, 0);
  if (message.verb != Verb::kCrcx) return;
  const auto events = Events(message, "S");
  const auto* sup = Find(events, "sup");
  const auto name = wire_names::ParseCircuit(circuit);
  if (sup == nullptr || !name) return;
  const int origin = wire_names::Number<int>(message.Get(wire_names::kOrigin)).value_or(-1);
  const std::string id(mgcp::Argument(sup->parameters, "id"));
  const std::string caller = origin == edge.number ? id : std::to_string(origin) + " " + id;
  // A repeat of the same command is no second set-up.
  const auto before = edge.by_caller.find(caller);
  if (edge.asked.count(message.transaction) > 0 ||
      (before != edge.by_caller.end() && before->second.circuit == circuit &&
       before->second.end == SetUpOutcome::kPending))
    return;
  edge.asked[message.transaction] = circuit;
  edge.by_caller[caller] = {name->group, circuit, at};
  edge.on_circuit[circuit] = caller;
  ledger_.RecordSetUp(at - first_, edge.number, name->group, ExchangeOf(mgcp::Argument(sup->parameters, "addr")));
}

void DayAccounts::OnGateway(Edge& edge, TimeUs at, const mgcp::Message& message) {
  if (!message.is_command) {
    const auto asked = edge.asked.find(message.transaction);
    if (asked == edge.asked.end() || message.code < 200) return;
    const std::string circuit = asked->second;
    edge.asked.erase(asked);
    if (message.code < 400) return;
    const bool down = message.code == mgcp::kInsufficientResources;
    if (!down && edge.on_circuit.count(circuit) > 0) ledger_.RecordCircuitRefusal(at - first_, edge.number, circuit);
    return End(edge, circuit, down ? SetUpOutcome::kOwnDown : SetUpOutcome::kOwnRefused, 0);
  }
  const std::string circuit(message.endpoint.local);
  if (message.verb != Verb::kNtfy || circuit.rfind(wire_names::kCircuits, 0) != 0) return;
  const auto events = Events(message, "O");
  if (Find(events, "sup") != nullptr) ledger_.RecordCircuitUse(edge.number, circuit);
  if (Find(events, "ans") != nullptr) {
    ledger_.RecordCircuitUse(edge.number, circuit);
    End(edge, circuit, SetUpOutcome::kAnswered, 0);
  }
  if (const auto* rel = Find(events, "rel")) {
    const int cause = wire_names::Number<int>(rel->parameters).value_or(41);
    if (edge.on_circuit.count(circuit) > 0) {
      if (cause == 44 || cause == 47) {
        ledger_.RecordCircuitRefusal(at - first_, edge.number, circuit);
      } else {
        ledger_.RecordCircuitUse(edge.number, circuit);
      }
    }
    End(edge, circuit, SetUpOutcome::kReleased, cause);
  }
}

void DayAccounts::Judge(SetUp* set_up) const {
  const auto cold = cold_until_.find(set_up->to);
  set_up->cold = cold != cold_until_.end() && now_ < cold->second;
  set_up->dead = dead_.count(set_up->to) + hung_.count(set_up->to) > 0;
  const auto to = static_cast<std::size_t>(set_up->to);
  const bool waits = to < queue_delays_ms_.size() && queue_delays_ms_[to] * 1000.0 > pressed_us_;
  set_up->slow = slow_.count(set_up->to) > 0 || waits;
}

void DayAccounts::End(Edge& edge, const std::string& circuit, SetUpOutcome end, int cause) {
  const auto caller = edge.on_circuit.find(circuit);
  if (caller == edge.on_circuit.end()) return;
  const auto set_up = edge.by_caller.find(caller->second);
  edge.on_circuit.erase(caller);
  if (set_up == edge.by_caller.end() || set_up->second.circuit != circuit ||
      set_up->second.end != SetUpOutcome::kPending)
    return;
  set_up->second.end = end;
  set_up->second.cause = cause;
  Judge(&set_up->second);
}

void DayAccounts::OnTry(const TraceRecord& record) {
  const json& f = record.figures;
  reach::AttemptRecord t;
  const std::string how = f.at("how").get<std::string>();
  t.outcome = how;
  t.from = f.at("exchange").get<int>();
  t.to = f.at("to").get<int>();
  const std::string name = f.at("class").get<std::string>();
  const auto of_class =
      std::find_if(scenario_.classes.begin(), scenario_.classes.end(), [&](const auto& c) { return c.name == name; });
  if (of_class == scenario_.classes.end()) return;
  t.call_class = static_cast<int>(of_class - scenario_.classes.begin());
  t.direct = f.at("direct").get<bool>();
  t.tandems = f.at("tandems").get<int>();
  t.healthy = f.at("healthy").get<bool>() && !f.at("crowded").get<bool>();
  // Four fifths of it: what is left must do for the set-up.
  t.late_redial = f.at("began_us").get<TimeUs>() - f.at("first_us").get<TimeUs>() > of_class->aim_us * 4 / 5;
  Edge& edge = edges_[t.from];
  const auto began = f.at("began_us").get<TimeUs>();
  t.own_edge_down = !edge.up || edge.last_down >= began || dead_.count(t.from) > 0;
  const auto caller = edge.by_caller.find(std::string(wire_names::kLines) + std::to_string(f.at("line").get<int>()));
  if (caller != edge.by_caller.end() && caller->second.at >= began) {
    SetUp& set_up = caller->second;
    if (set_up.end == SetUpOutcome::kPending) Judge(&set_up);
    t.sent = true;
    t.set_up_outcome = set_up.end;
    t.cause = set_up.cause;
    t.warming_up = set_up.cold;
    t.down = set_up.dead;
    t.slow = set_up.slow;
  }
  ledger_.RecordAttempt(record.at_us - first_, t);
  if (Bin* bin = BinAt(record.at_us); bin != nullptr && how != "cut" && how != "cut-late") {
    ++bin->tries;
    bin->established += how == "stands" || how == "stands-late" ? 1 : 0;
    bin->refused += how == "refused" ? 1 : 0;
    bin->failed += how == "failed" || how == "unanswered" ? 1 : 0;
  }
}

void DayAccounts::OnFact(const TraceRecord& record) {
  const json& f = record.figures;
  const int exchange = f.value("exchange", -1);
  if (record.fact == "try") return OnTry(record);
  if (record.fact == "day-begins") {
    began_ = record.at_us;
  } else if (record.fact == "offered") {
    if (began_ == 0) return;
    const std::uint64_t bin = (record.at_us - began_) / kBinLength;
    offered_[{f.at("from").get<int>(), f.at("to").get<int>(), f.at("class").get<int>(), f.at("crowded").get<bool>(),
              bin}] += 1.0;
    if (Bin* at = BinAt(record.at_us)) ++at->offered;
  } else if (record.fact == "sample") {
    Bin* bin = BinAt(record.at_us);
    if (bin == nullptr) return;
    for (const json& g : f.at("groups"))
      bin->groups[{g[0].get<int>(), g[1].get<int>()}] = {g[2].get<unsigned>(), g[3].get<unsigned>()};
    queue_delays_ms_ = bin->queue_delays_ms = f.at("waits_ms").get<std::vector<double>>();
  } else if (record.fact == "down") {
    dead_.insert(exchange);
  } else if (record.fact == "cold-start") {
    dead_.erase(exchange);
    hung_.erase(exchange);
    cold_until_[exchange] = record.at_us + f.at("warm_up_ms").get<TimeUs>() * 1000;
  } else if (record.fact == "edge-killed" || record.fact == "edge-stalled") {
    edges_[exchange].up = false;
  } else if (record.fact == "edge-start" || record.fact == "edge-goes-on") {
    Edge& edge = edges_[exchange];
    edge.number = exchange;
    if (!edge.up) edge.last_down = record.at_us;
    edge.up = true;
    if (record.fact == "edge-start") edge.by_caller.clear(), edge.on_circuit.clear(), edge.asked.clear();
  } else if (record.fact == "fault" || record.fact == "relief") {
    const bool begins = record.fact == "fault";
    const std::string kind = f.value("kind", "");
    std::set<int>* state = kind == "hang"                                          ? &hung_
                           : kind == "slow" || kind == "pause" || kind == "ageing" ? &slow_
                                                                                   : nullptr;
    for (const json& each : f.value("exchanges", json::array())) {
      if (state == nullptr) break;
      begins ? (void)state->insert(each.get<int>()) : (void)state->erase(each.get<int>());
    }
  }
}

std::vector<DayAccounts::FaultPeriod> DayAccounts::fault_periods() const {
  std::vector<FaultPeriod> periods;
  for (const Fault& fault : scenario_.faults) {
    const double from = static_cast<double>(fault.at_us) / 1e6;
    periods.push_back({fault.kind, from, from + std::max(0.2, static_cast<double>(fault.for_us) / 1e6)});
  }
  return periods;
}

reach::Problem DayAccounts::Problem(TimeUs interval_us) const {
  reach::Problem p;
  const Scenario& s = scenario_;
  const auto interval = static_cast<double>(interval_us);
  p.exchanges = static_cast<std::size_t>(s.exchanges);
  p.intervals = static_cast<std::size_t>((s.length_us + s.settle_us) / interval_us) + 1;
  for (const TrafficClass& c : s.classes) {
    reach::ClassOfCall of;
    of.worth = c.worth;
    of.late_worth = c.late_worth;
    of.width = c.width;
    of.occupancy = reach::ExponentialOccupancy(static_cast<double>(c.holding_us), interval, p.intervals);
    of.releases = reach::ExponentialReleases(static_cast<double>(c.holding_us), interval, p.intervals);
    of.in_time_intervals = static_cast<std::size_t>((c.aim_us + interval_us - 1) / interval_us);
    of.late_intervals =
        c.late_worth > 0.0 ? static_cast<std::size_t>((c.give_up_us + interval_us - 1) / interval_us) : 0;
    p.classes.push_back(of);
  }
  std::map<std::tuple<std::size_t, std::size_t, std::size_t, bool, std::size_t>, double> demands;
  for (const auto& [key, calls] : offered_) {
    const auto& [from, to, call_class, crowded, bin] = key;
    const auto at = std::min<std::size_t>(p.intervals - 1, static_cast<std::size_t>(bin * kBinLength / interval_us));
    demands[{static_cast<std::size_t>(from), static_cast<std::size_t>(to), static_cast<std::size_t>(call_class),
             crowded, at}] += calls;
  }
  for (const auto& [key, calls] : demands) {
    const auto& [from, to, call_class, crowded, at] = key;
    p.demands.push_back({from, to, call_class, at, calls, crowded});
  }
  // The timeline, walked in small steps and summed by interval.
  const std::size_t steps = static_cast<std::size_t>(interval_us / kStep);
  for (int a = 0; a < s.exchanges; ++a) {
    const double speed =
        s.processor.speed_by_exchange.empty() ? 1.0 : s.processor.speed_by_exchange[static_cast<std::size_t>(a)];
    auto& row = p.processor.emplace_back(p.intervals, 0.0);
    for (std::size_t k = 0; k < p.intervals; ++k) {
      for (std::size_t i = 0; i < steps; ++i)
        row[k] += speed * Capacity(s, a, k * interval_us + i * kStep) * static_cast<double>(kStep);
    }
    for (int b = a + 1; b < s.exchanges; ++b) {
      if (s.CircuitsBetween(a, b) == 0) continue;
      reach::Group group{static_cast<std::size_t>(a), static_cast<std::size_t>(b),
                         std::vector<double>(p.intervals, 0.0)};
      for (std::size_t k = 0; k < p.intervals; ++k) {
        for (std::size_t i = 0; i < steps; ++i)
          group.circuits[k] += Circuits(s, a, b, k * interval_us + i * kStep) / static_cast<double>(steps);
      }
      p.groups.push_back(std::move(group));
    }
  }
  const ProcessorSettings& w = s.processor;
  const auto us = [](TimeUs work) { return static_cast<double>(work); };
  p.work.origin = us(w.offer_us) + us(w.outgoing_set_up_us > 0 ? w.outgoing_set_up_us : w.signal_us) + us(w.signal_us);
  p.work.destination = us(w.set_up_us) + us(w.signal_us);
  p.work.tandem = us(w.set_up_us) + us(w.outgoing_set_up_us > 0 ? w.offer_us : w.signal_us) + 2.0 * us(w.signal_us);
  p.work.origin_end = us(w.signal_us);
  p.work.destination_end = us(w.signal_us);
  p.work.tandem_end = 2.0 * us(w.signal_us);
  for (const Fault& f : s.faults) {
    if (f.kind != "crowded-number") continue;
    if (p.crowded_lines.empty()) p.crowded_lines.assign(p.intervals, 1e9);
    for (std::size_t k = 0; k < p.intervals; ++k) {
      const TimeUs from = k * interval_us, to = from + interval_us;
      if (from >= f.at_us && (f.for_us == 0 || to <= f.at_us + f.for_us)) p.crowded_lines[k] = f.lines;
    }
  }
  return p;
}

reach::Bound DayAccounts::Bound() const { return reach::UpperBound(Problem(kInterval)); }

}  // namespace croftrun::lab
