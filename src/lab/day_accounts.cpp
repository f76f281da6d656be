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

// The interval of the bound, and the step at which the faults are sampled.
constexpr TimeUs kBoundInterval = 4'000'000, kSampleStep = 50'000;
constexpr std::size_t kMaxBins = 100'000;

const mgcp::EventRef* FindEvent(const std::vector<mgcp::EventRef>& events, std::string_view name) {
  const auto found =
      std::find_if(events.begin(), events.end(), [&](const auto& e) { return mgcp::EqualsIgnoringCase(e.name, name); });
  return found == events.end() ? nullptr : &*found;
}

std::vector<mgcp::EventRef> ParseEvents(const mgcp::Message& message, std::string_view line) {
  return mgcp::ParseEventList(message.Get(line)).value_or(std::vector<mgcp::EventRef>{});
}

bool Affects(const Fault& fault, int exchange) {
  return std::find(fault.exchanges.begin(), fault.exchanges.end(), exchange) != fault.exchanges.end();
}

// The capacity of an exchange's processor at a moment as a share of its normal capacity, from the scenario's faults
// alone.
double ProcessorShare(const Scenario& s, int exchange, TimeUs at) {
  double share = 1.0;
  TimeUs started = 0;
  for (const Fault& f : s.faults) {
    if (at < f.at_us || !Affects(f, exchange)) continue;
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
      // Each exchange drains for 2 s and is down for 300 ms; one after the other, or with size 1 all at once. This
      // repeats the times of Day.
      const auto index =
          static_cast<TimeUs>(std::find(f.exchanges.begin(), f.exchanges.end(), exchange) - f.exchanges.begin());
      const TimeUs gap =
          f.size == 1.0 ? 0 : std::max<TimeUs>(2'500'000, f.for_us / std::max<std::size_t>(1, f.exchanges.size()));
      const TimeUs down = f.at_us + index * gap + 2'000'000;
      if (at >= down && at < down + 300'000) return 0.0;
      if (at >= down + 300'000) started = std::max(started, down + 300'000);
    } else if ((f.kind == "pause" || f.kind == "edge-stall") && during) {
      const TimeUs every = f.every_us > 0 ? f.every_us : 1'500'000, pause_us = static_cast<TimeUs>(f.size * 1000.0);
      const TimeUs cycle = f.kind == "pause" ? every : every + pause_us;
      if ((at - f.at_us) % std::max<TimeUs>(1, cycle) < pause_us) return 0.0;
    }
  }
  if (started == 0) return share;
  const double warm_up_progress = static_cast<double>(at - started) / static_cast<double>(s.processor.warm_up_us);
  return share * (warm_up_progress >= 1.0
                      ? 1.0
                      : s.processor.warm_up_start_share + (1.0 - s.processor.warm_up_start_share) * warm_up_progress);
}

double CircuitsInService(const Scenario& s, int a, int b, TimeUs at) {
  double circuits = s.CircuitsBetween(a, b);
  for (const Fault& f : s.faults) {
    if (f.kind != "circuits-lost" || at < f.at_us || (f.for_us > 0 && at >= f.at_us + f.for_us)) continue;
    const bool affected =
        f.exchanges.empty() ? (s.ZoneOf(a) == f.zone) != (s.ZoneOf(b) == f.zone) : Affects(f, a) && Affects(f, b);
    if (affected) circuits = std::ceil(circuits * f.size);
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
  max_queue_delay_us_ = 1e18;
  for (const TrafficClass& c : scenario_.classes)
    max_queue_delay_us_ = std::min(max_queue_delay_us_, static_cast<double>(c.aim_us) / 4.0);
}

DayAccounts::Bin* DayAccounts::FindBin(TimeUs at) {
  if (start_time_ == 0 || at < start_time_) return nullptr;
  const auto bin = static_cast<std::size_t>((at - start_time_) / kBinLength);
  if (bin >= kMaxBins) return nullptr;
  if (bin >= bins_.size()) bins_.resize(bin + 1);
  return &bins_[bin];
}

void DayAccounts::AddRecord(const TraceRecord& record) {
  if (first_record_at_ == 0) first_record_at_ = record.at_us;
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
  if (message.verb == Verb::kDlcx) return RecordSetUpResult(edge, circuit, SetUpOutcome::kCancelled, 0);
  if (message.verb != Verb::kCrcx) return;
  const auto events = ParseEvents(message, "S");
  const auto* sup = FindEvent(events, "sup");
  const auto name = wire_names::ParseCircuit(circuit);
  if (sup == nullptr || !name) return;
  const int origin = wire_names::Number<int>(message.Get(wire_names::kOrigin)).value_or(-1);
  const std::string id(mgcp::Argument(sup->parameters, "id"));
  const std::string caller = origin == edge.number ? id : std::to_string(origin) + " " + id;
  // A retransmission of the same command is not another set-up.
  const auto before = edge.set_up_by_caller.find(caller);
  if (edge.unanswered_commands.count(message.transaction) > 0 ||
      (before != edge.set_up_by_caller.end() && before->second.circuit == circuit &&
       before->second.end == SetUpOutcome::kPending))
    return;
  edge.unanswered_commands[message.transaction] = circuit;
  edge.set_up_by_caller[caller] = {name->group, circuit, at};
  edge.caller_by_circuit[circuit] = caller;
  ledger_.RecordSetUp(at - first_record_at_, edge.number, name->group,
                      ExchangeOf(mgcp::Argument(sup->parameters, "addr")));
}

void DayAccounts::OnGateway(Edge& edge, TimeUs at, const mgcp::Message& message) {
  if (!message.is_command) {
    const auto command = edge.unanswered_commands.find(message.transaction);
    if (command == edge.unanswered_commands.end() || message.code < 200) return;
    const std::string circuit = command->second;
    edge.unanswered_commands.erase(command);
    if (message.code < 400) return;
    const bool down = message.code == mgcp::kInsufficientResources;
    if (!down && edge.caller_by_circuit.count(circuit) > 0)
      ledger_.RecordCircuitRefusal(at - first_record_at_, edge.number, circuit);
    return RecordSetUpResult(edge, circuit, down ? SetUpOutcome::kOwnDown : SetUpOutcome::kOwnRefused, 0);
  }
  const std::string circuit(message.endpoint.local);
  if (message.verb != Verb::kNtfy || circuit.rfind(wire_names::kCircuits, 0) != 0) return;
  const auto events = ParseEvents(message, "O");
  if (FindEvent(events, "sup") != nullptr) ledger_.RecordCircuitUse(edge.number, circuit);
  if (FindEvent(events, "ans") != nullptr) {
    ledger_.RecordCircuitUse(edge.number, circuit);
    RecordSetUpResult(edge, circuit, SetUpOutcome::kAnswered, 0);
  }
  if (const auto* rel = FindEvent(events, "rel")) {
    const int cause = wire_names::Number<int>(rel->parameters).value_or(41);
    if (edge.caller_by_circuit.count(circuit) > 0) {
      if (cause == 44 || cause == 47) {
        ledger_.RecordCircuitRefusal(at - first_record_at_, edge.number, circuit);
      } else {
        ledger_.RecordCircuitUse(edge.number, circuit);
      }
    }
    RecordSetUpResult(edge, circuit, SetUpOutcome::kReleased, cause);
  }
}

void DayAccounts::RecordDestinationState(SetUp* set_up) const {
  const auto warming_up = warming_up_until_.find(set_up->to);
  set_up->warming_up = warming_up != warming_up_until_.end() && now_ < warming_up->second;
  set_up->down = down_.count(set_up->to) + hung_.count(set_up->to) > 0;
  const auto to = static_cast<std::size_t>(set_up->to);
  const bool waits = to < queue_delays_ms_.size() && queue_delays_ms_[to] * 1000.0 > max_queue_delay_us_;
  set_up->slow = slow_.count(set_up->to) > 0 || waits;
}

void DayAccounts::RecordSetUpResult(Edge& edge, const std::string& circuit, SetUpOutcome end, int cause) {
  const auto caller = edge.caller_by_circuit.find(circuit);
  if (caller == edge.caller_by_circuit.end()) return;
  const auto set_up = edge.set_up_by_caller.find(caller->second);
  edge.caller_by_circuit.erase(caller);
  if (set_up == edge.set_up_by_caller.end() || set_up->second.circuit != circuit ||
      set_up->second.end != SetUpOutcome::kPending)
    return;
  set_up->second.end = end;
  set_up->second.cause = cause;
  RecordDestinationState(&set_up->second);
}

void DayAccounts::OnAttempt(const TraceRecord& record) {
  const json& f = record.figures;
  reach::AttemptRecord t;
  const std::string how = f.at("how").get<std::string>();
  t.outcome = how;
  t.from = f.at("exchange").get<int>();
  t.to = f.at("to").get<int>();
  const std::string name = f.at("class").get<std::string>();
  const auto traffic_class =
      std::find_if(scenario_.classes.begin(), scenario_.classes.end(), [&](const auto& c) { return c.name == name; });
  if (traffic_class == scenario_.classes.end()) return;
  t.call_class = static_cast<int>(traffic_class - scenario_.classes.begin());
  t.direct = f.at("direct").get<bool>();
  t.tandems = f.at("tandems").get<int>();
  t.healthy = f.at("healthy").get<bool>() && !f.at("crowded").get<bool>();
  // Late after four fifths of the target delay: the remaining fifth is needed for the set-up.
  t.late_redial = f.at("began_us").get<TimeUs>() - f.at("first_us").get<TimeUs>() > traffic_class->aim_us * 4 / 5;
  Edge& edge = edges_[t.from];
  const auto began = f.at("began_us").get<TimeUs>();
  t.own_edge_down = !edge.up || edge.last_outage_end >= began || down_.count(t.from) > 0;
  const auto caller =
      edge.set_up_by_caller.find(std::string(wire_names::kLines) + std::to_string(f.at("line").get<int>()));
  if (caller != edge.set_up_by_caller.end() && caller->second.at >= began) {
    SetUp& set_up = caller->second;
    if (set_up.end == SetUpOutcome::kPending) RecordDestinationState(&set_up);
    t.sent = true;
    t.set_up_outcome = set_up.end;
    t.cause = set_up.cause;
    t.warming_up = set_up.warming_up;
    t.down = set_up.down;
    t.slow = set_up.slow;
  }
  ledger_.RecordAttempt(record.at_us - first_record_at_, t);
  if (Bin* bin = FindBin(record.at_us); bin != nullptr && how != "cut" && how != "cut-late") {
    ++bin->tries;
    bin->established += how == "stands" || how == "stands-late" ? 1 : 0;
    bin->refused += how == "refused" ? 1 : 0;
    bin->failed += how == "failed" || how == "unanswered" ? 1 : 0;
  }
}

void DayAccounts::OnFact(const TraceRecord& record) {
  const json& f = record.figures;
  const int exchange = f.value("exchange", -1);
  if (record.fact == "try") return OnAttempt(record);
  if (record.fact == "day-begins") {
    start_time_ = record.at_us;
  } else if (record.fact == "offered") {
    if (start_time_ == 0) return;
    const std::uint64_t bin = (record.at_us - start_time_) / kBinLength;
    offered_[{f.at("from").get<int>(), f.at("to").get<int>(), f.at("class").get<int>(), f.at("crowded").get<bool>(),
              bin}] += 1.0;
    if (Bin* at = FindBin(record.at_us)) ++at->offered;
  } else if (record.fact == "sample") {
    Bin* bin = FindBin(record.at_us);
    if (bin == nullptr) return;
    for (const json& g : f.at("groups"))
      bin->groups[{g[0].get<int>(), g[1].get<int>()}] = {g[2].get<unsigned>(), g[3].get<unsigned>()};
    queue_delays_ms_ = bin->queue_delays_ms = f.at("waits_ms").get<std::vector<double>>();
  } else if (record.fact == "down") {
    down_.insert(exchange);
  } else if (record.fact == "cold-start") {
    down_.erase(exchange);
    hung_.erase(exchange);
    warming_up_until_[exchange] = record.at_us + f.at("warm_up_ms").get<TimeUs>() * 1000;
  } else if (record.fact == "edge-killed" || record.fact == "edge-stalled") {
    edges_[exchange].up = false;
  } else if (record.fact == "edge-start" || record.fact == "edge-goes-on") {
    Edge& edge = edges_[exchange];
    edge.number = exchange;
    if (!edge.up) edge.last_outage_end = record.at_us;
    edge.up = true;
    if (record.fact == "edge-start")
      edge.set_up_by_caller.clear(), edge.caller_by_circuit.clear(), edge.unanswered_commands.clear();
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
  // Capacities, sampled in small steps and summed by interval.
  const std::size_t steps = static_cast<std::size_t>(interval_us / kSampleStep);
  for (int a = 0; a < s.exchanges; ++a) {
    const double speed =
        s.processor.speed_by_exchange.empty() ? 1.0 : s.processor.speed_by_exchange[static_cast<std::size_t>(a)];
    auto& row = p.processor.emplace_back(p.intervals, 0.0);
    for (std::size_t k = 0; k < p.intervals; ++k) {
      for (std::size_t i = 0; i < steps; ++i)
        row[k] += speed * ProcessorShare(s, a, k * interval_us + i * kSampleStep) * static_cast<double>(kSampleStep);
    }
    for (int b = a + 1; b < s.exchanges; ++b) {
      if (s.CircuitsBetween(a, b) == 0) continue;
      reach::Group group{static_cast<std::size_t>(a), static_cast<std::size_t>(b),
                         std::vector<double>(p.intervals, 0.0)};
      for (std::size_t k = 0; k < p.intervals; ++k) {
        for (std::size_t i = 0; i < steps; ++i)
          group.circuits[k] +=
              CircuitsInService(s, a, b, k * interval_us + i * kSampleStep) / static_cast<double>(steps);
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

reach::Bound DayAccounts::Bound() const { return reach::UpperBound(Problem(kBoundInterval)); }

}  // namespace croftrun::lab
