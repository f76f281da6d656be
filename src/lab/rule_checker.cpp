#include "lab/rule_checker.h"

#include <algorithm>

#include "edge/wire_names.h"

namespace croftrun::lab {
namespace {

using mgcp::Verb;

// Allowance for random variation on top of a restarted exchange's budget, in set-ups.
constexpr double kColdStartSlack = 2.0;
// A burst is a violation only if at least this share of it came from edges that had been notified of the restart.
constexpr double kNotifiedShare = 2.0 / 3.0;
// How long a transaction is remembered in order to recognise its retransmissions.
constexpr TimeUs kTransactionMemory = 30'000'000;

// Local part of the endpoint name.
std::string EndpointText(const mgcp::Message& message) { return std::string(message.endpoint.local); }

const mgcp::EventRef* FindEvent(const std::vector<mgcp::EventRef>& events, std::string_view name) {
  for (const mgcp::EventRef& event : events) {
    if (mgcp::EqualsIgnoringCase(event.name, name)) return &event;
  }
  return nullptr;
}

std::vector<mgcp::EventRef> Events(const mgcp::Message& message, std::string_view line) {
  return mgcp::ParseEventList(message.Get(line)).value_or(std::vector<mgcp::EventRef>{});
}

// True for release causes that say that the call was never processed, so that no release wait is required.
bool WasNeverProcessed(int cause) {
  return cause == 17 || cause == 27 || cause == 34 || cause == 42 || cause == 44 || cause == 47;
}

// The additional circuits of a call wider than one circuit, as endpoints in the group of `circuit`.
std::vector<std::string> OtherCircuits(const mgcp::Message& message, const std::string& circuit) {
  std::vector<std::string> others;
  const auto list = mgcp::SplitTopLevel(message.Get(wire_names::kCircuitList));
  if (!list) return others;
  for (const std::string_view other : *list)
    others.push_back(circuit.substr(0, circuit.rfind('/') + 1) + std::string(other));
  return others;
}

TimeUs CallerTimeout(const mgcp::Message& message) {
  return wire_names::Number<TimeUs>(message.Get(wire_names::kCallerTimeout)).value_or(0) * 1000;
}

std::string Ms(TimeUs us) { return std::to_string(us / 1000) + " ms"; }

}  // namespace

std::string_view Name(Rule rule) {
  constexpr std::array<std::string_view, kRules> kNames = {"one final answer in time", "one attempt at a time",
                                                           "drains kept", "cold exchange not pushed over",
                                                           "release awaited"};
  return kNames[static_cast<std::size_t>(rule)];
}

bool RuleChecker::Kept() const {
  return !edges_.empty() &&
         std::all_of(findings_.begin(), findings_.end(), [](const auto& f) { return f.broken == 0; });
}

void RuleChecker::RecordViolation(Rule rule, TimeUs at, const std::string& where, const std::string& what) {
  RuleFinding& finding = findings_[static_cast<std::size_t>(rule)];
  ++finding.broken;
  if (finding.examples.size() < kMaxExamples)
    finding.examples.push_back("at " + Ms(at > first_record_us_ ? at - first_record_us_ : 0) + ", " + where + ": " +
                               what);
}

std::string RuleChecker::Location(const Edge& edge, std::string_view endpoint) {
  return "edge of exchange " + std::to_string(edge.number) + ", " + std::string(endpoint);
}

std::map<int, RuleChecker::Work> RuleChecker::work() const {
  std::map<int, Work> by_number;
  for (const auto& [host, edge] : edges_) by_number[edge.number] = edge.work;
  return by_number;
}

void RuleChecker::ProcessRecord(const TraceRecord& record) {
  if (first_record_us_ == 0) first_record_us_ = record.at_us;
  last_record_us_ = std::max(last_record_us_, record.at_us);
  if (!record.fact.empty()) return OnFact(record);
  if (record.from.host == roster_.host && roster_.host != 0) {
    const auto edge = edges_.find(record.to.host);
    if (edge != edges_.end()) OnRoster(edge->second, record);
    return;
  }
  const bool from_edge = edges_.count(record.from.host) > 0;
  const auto gateway = edge_of_gateway_.find(from_edge ? record.to.host : record.from.host);
  if (gateway == edge_of_gateway_.end()) return;
  Edge& edge = edges_.at(gateway->second);
  for (const mgcp::ParsedMessage& parsed : mgcp::ParseDatagram(record.text)) {
    const auto* message = std::get_if<mgcp::Message>(&parsed);
    if (message == nullptr) continue;
    if (!message->is_command) {
      if (message->code < 200) continue;
      if (from_edge) {
        OnResponseOfEdge(edge, record.at_us, *message);
      } else {
        OnResponseOfGateway(edge, record.at_us, *message);
      }
    } else if (!IsFirstCopy(edge, from_edge, *message, record.at_us)) {
      // A retransmitted notification that the edge has not acknowledged. An edge that was unreachable has seen only
      // this copy, so the caller time-out counts from here.
      const auto offer = edge.unacknowledged_offers.find(message->transaction);
      if (!from_edge && offer != edge.unacknowledged_offers.end())
        offer->second.first = record.at_us + CallerTimeout(*message);
    } else {
      if (from_edge) {
        OnCommandOfEdge(edge, record.at_us, *message);
      } else {
        OnCommandOfGateway(edge, record.at_us, *message);
      }
    }
  }
}

bool RuleChecker::IsFirstCopy(Edge& edge, bool from_edge, const mgcp::Message& message, TimeUs at) {
  if (edge.seen_transactions.size() > 200'000)
    std::erase_if(edge.seen_transactions, [at](const auto& seen) { return at - seen.second > kTransactionMemory; });
  return edge.seen_transactions.emplace(std::pair(from_edge, message.transaction), at).second;
}

void RuleChecker::OnFact(const TraceRecord& record) {
  const nlohmann::json& f = record.figures;
  if (record.fact == "day") {
    core::ParseAddress(f.value("roster", ""), &roster_);
    release_us_ = f.value("release_ms", TimeUs{0}) * 1000;
    grace_us_ = f.value("drain_grace_ms", TimeUs{0}) * 1000;
    for (const auto& e : f.value("edges", nlohmann::json::array())) {
      Edge edge;
      edge.number = e.value("exchange", -1);
      if (!core::ParseAddress(e.value("edge", ""), &edge.edge) ||
          !core::ParseAddress(e.value("gateway", ""), &edge.gateway))
        continue;
      edge_of_gateway_[edge.gateway.host] = edge.edge.host;
      edges_[edge.edge.host] = edge;
    }
  } else if (record.fact == "edge-stalled" || record.fact == "edge-goes-on") {
    for (auto& [host, edge] : edges_) {
      if (edge.number != f.value("exchange", -1)) continue;
      const bool stalls = record.fact == "edge-stalled";
      if (stalls) edge.stalled_from = record.at_us;
      edge.stalled_to = stalls ? ~TimeUs{0} : record.at_us;
    }
  } else if (record.fact == "cold-start") {
    ColdStart cold;
    cold.at = record.at_us;
    cold.set_ups_per_s = f.value("set_ups_per_s", 0.0);
    cold.cold_from = f.value("cold_from", 1.0);
    cold.multiple = f.value("fall_multiple", 0.0);
    cold.warm_up = f.value("warm_up_ms", TimeUs{0}) * 1000;
    cold.fall = f.value("fall_ms", TimeUs{0}) * 1000;
    cold_starts_[f.value("exchange", -1)] = cold;
  } else if (record.fact == "fell-over") {
    ++fell_over_;
  } else if (record.fact == "edge-killed") {
    // Calls of a killed softswitch are lost; their callers have to redial, so no answer is due any more.
    for (auto& [host, edge] : edges_) {
      if (edge.number != f.value("exchange", -1)) continue;
      ResetEdge(edge);
      edge.killed_at = record.at_us;
    }
  }
}

void RuleChecker::ResetEdge(Edge& edge) {
  const auto number = edge.number;
  const auto edge_address = edge.edge, gateway = edge.gateway;
  const Work work = edge.work;
  edge = Edge{};
  edge.work = work;
  edge.number = number;
  edge.edge = edge_address;
  edge.gateway = gateway;
}

void RuleChecker::OnRoster(Edge& edge, const TraceRecord& record) {
  const nlohmann::json update = nlohmann::json::parse(record.text, nullptr, false);
  if (!update.is_object()) return;
  const auto version = update.value("version", std::uint64_t{0});
  if (version <= edge.roster_version) return;
  const bool full = !update.contains("base");
  if (!full && update.value("base", std::uint64_t{0}) != edge.roster_version) return;
  edge.roster_version = version;
  if (full) {
    for (auto& [number, ids] : edge.roster) {
      for (auto& [id, listed] : ids) {
        if (listed.status == "ready") listed = {"gone", record.at_us, listed.incarnation};
      }
    }
  }
  for (const auto& entry : update.value("entries", nlohmann::json::array())) {
    RosterEntry& listed = edge.roster[entry.value("number", -1)][entry.value("exchange", 0U)];
    const auto status = entry.value("status", "");
    // A repeated entry does not restart the grace period: it counts from the first notification.
    const bool was_out = listed.status == "draining" || listed.status == "gone";
    if (!was_out || status == "ready") listed.notified_at = record.at_us;
    listed.status = status;
    listed.incarnation = entry.value("incarnation", 0U);
  }
}

void RuleChecker::OnCommandOfGateway(Edge& edge, TimeUs at, const mgcp::Message& message) {
  const std::string endpoint = EndpointText(message);
  if (message.verb == Verb::kRsip) {
    const auto method = message.Get("RM");
    if (method == "graceful" || method == "disconnected") return;
    // The restart ends the calls like a hang-up. An answer already in flight has crossed its notification.
    for (auto& [endpoint_of, pending] : edge.pending_answers) {
      if (pending.ended_at == 0 && mgcp::EndpointMatches(endpoint, endpoint_of)) pending.ended_at = at;
    }
    for (const auto& [circuit, caller] : std::map(edge.caller_of_circuit)) {
      if (mgcp::EndpointMatches(endpoint, circuit)) EndAttempt(edge, at, circuit, true, "gateway restart");
    }
    return;
  }
  if (message.verb != Verb::kNtfy) return;
  const auto events = Events(message, "O");
  const bool line = endpoint.rfind(wire_names::kLines, 0) == 0;
  if (line && FindEvent(events, "hu") != nullptr) {
    if (const auto pending = edge.pending_answers.find(endpoint); pending != edge.pending_answers.end())
      pending->second.ended_at = at;
    return;
  }
  const bool digits = std::any_of(events.begin(), events.end(),
                                  [](const auto& event) { return mgcp::EqualsIgnoringCase(event.package, "D"); });
  const TimeUs caller_timeout = CallerTimeout(message);
  if (line && digits) {
    // Dialling implies a hang-up, whose notification may have been lost.
    if (const auto pending = edge.pending_answers.find(endpoint);
        pending != edge.pending_answers.end() && pending->second.ended_at == 0)
      pending->second.ended_at = at;
    edge.unacknowledged_offers[message.transaction] = {at + caller_timeout, endpoint};
    ++edge.callers["own " + endpoint].epoch;
    return;
  }
  if (line) return;
  if (const auto* sup = FindEvent(events, "sup")) {
    const std::string caller =
        std::string(message.Get(wire_names::kOrigin)) + " " + std::string(mgcp::Argument(sup->parameters, "id"));
    edge.unacknowledged_offers[message.transaction] = {at + caller_timeout, endpoint};
    ++edge.callers[caller].epoch;
    // The far end has seized these circuits, which ends the edge's own set-up on any of them. A release wait is
    // required only if the gateway had acknowledged that set-up; otherwise it was never sent.
    std::vector<std::string> seized = OtherCircuits(message, endpoint);
    seized.push_back(endpoint);
    for (const std::string& circuit : seized) {
      const auto own = edge.caller_of_circuit.find(circuit);
      if (own == edge.caller_of_circuit.end()) continue;
      EndAttempt(edge, at, circuit, edge.callers[own->second].attempt.acknowledged, "a seizure by the far end");
    }
  }
  if (FindEvent(events, "ans") != nullptr) {
    const auto caller = edge.caller_of_circuit.find(endpoint);
    if (caller != edge.caller_of_circuit.end()) edge.callers[caller->second].attempt.answered = true;
  }
  if (const auto* rel = FindEvent(events, "rel")) {
    const int cause = wire_names::Number<int>(rel->parameters).value_or(41);
    EndAttempt(edge, at, endpoint, !WasNeverProcessed(cause), "release with cause " + std::to_string(cause));
    // The exchange that sent a transit call has released it, so no answer is due to it any more.
    if (const auto pending = edge.pending_answers.find(endpoint); pending != edge.pending_answers.end())
      pending->second.ended_at = at;
  }
}

void RuleChecker::OnResponseOfEdge(Edge& edge, TimeUs at, const mgcp::Message& message) {
  // The call is accepted once the edge acknowledges the notification of its digits or of its seizure.
  const auto offer = edge.unacknowledged_offers.find(message.transaction);
  if (offer == edge.unacknowledged_offers.end()) return;
  const auto [deadline, endpoint] = offer->second;
  edge.unacknowledged_offers.erase(offer);
  const auto answer = message.Get(wire_names::kAnswer);
  if (message.code >= 300 && answer.empty()) return;
  const bool line = endpoint.rfind(wire_names::kLines, 0) == 0;
  ++(line ? accepted_calls_ : transit_calls_);
  ++edge.work.calls;
  CountCheck(Rule::kOneAnswer);
  const auto before = edge.pending_answers.find(endpoint);
  if (before != edge.pending_answers.end() && !before->second.answered && before->second.ended_at == 0)
    RecordViolation(Rule::kOneAnswer, at, Location(edge, endpoint),
                    "a call was accepted while the previous one has no final answer");
  edge.pending_answers[endpoint] = PendingAnswer{at, deadline, false, 0};
  if (!answer.empty()) OnFinal(edge, at, endpoint, std::string(answer));
}

void RuleChecker::OnFinal(Edge& edge, TimeUs at, const std::string& endpoint, const std::string& what) {
  const auto found = edge.pending_answers.find(endpoint);
  // The answer was sent before the edge was killed and received afterwards.
  if (found == edge.pending_answers.end() && edge.killed_at != 0 && at <= edge.killed_at + kCrossing) return;
  if (found == edge.pending_answers.end())
    return RecordViolation(Rule::kOneAnswer, at, Location(edge, endpoint), what + " without an accepted call");
  PendingAnswer& pending = found->second;
  if (pending.answered)
    return RecordViolation(Rule::kOneAnswer, at, Location(edge, endpoint), "a second final answer (" + what + ")");
  if (pending.ended_at != 0) {
    // A hang-up sent to a stalled edge stays unread in its socket queue, possibly behind the far end's answer. An
    // answer sent as the edge resumes has therefore crossed the hang-up.
    const bool unread = pending.ended_at + kCrossing >= edge.stalled_from && pending.ended_at <= edge.stalled_to &&
                        edge.stalled_to != ~TimeUs{0} && at <= edge.stalled_to + kCrossing;
    if (at > pending.ended_at + kCrossing && !unread)
      RecordViolation(Rule::kOneAnswer, at, Location(edge, endpoint),
                      what + " " + Ms(at - pending.ended_at) + " after the hang-up");
    return;
  }
  pending.answered = true;
  // An edge that was stalled at the deadline could not answer in time. A late refusal is then accepted; reporting the
  // call as established is not.
  const bool was_stalled = pending.deadline + kCrossing >= edge.stalled_from && pending.deadline <= edge.stalled_to;
  if (at > pending.deadline + kCrossing && (!was_stalled || what == "stands"))
    RecordViolation(Rule::kOneAnswer, at, Location(edge, endpoint),
                    what + " " + Ms(at - pending.deadline) + " after the caller time-out");
}

void RuleChecker::OnCommandOfEdge(Edge& edge, TimeUs at, const mgcp::Message& message) {
  const std::string endpoint = EndpointText(message);
  const auto signals = Events(message, "S");
  if (endpoint.rfind(wire_names::kLines, 0) == 0) {
    if (message.verb == Verb::kCrcx && FindEvent(signals, "rg") == nullptr)
      return OnFinal(edge, at, endpoint, "stands");
    const auto answer = message.Get(wire_names::kAnswer);
    if (message.verb == Verb::kRqnt && !answer.empty()) return OnFinal(edge, at, endpoint, std::string(answer));
    return;
  }
  if (message.verb == Verb::kCrcx) {
    if (FindEvent(signals, "ans") != nullptr) return OnFinal(edge, at, endpoint, "stands");
    if (const auto* sup = FindEvent(signals, "sup")) OnSetUp(edge, at, message, sup->parameters);
    return;
  }
  if (message.verb != Verb::kDlcx) return;
  EndAttempt(edge, at, endpoint, true, "time-out or cancel");
  // For the exchange that sent a transit call, a release before the answer is a refusal.
  const auto pending = edge.pending_answers.find(endpoint);
  if (pending == edge.pending_answers.end()) return;
  if (!pending->second.answered && pending->second.ended_at == 0) OnFinal(edge, at, endpoint, "released");
  edge.pending_answers.erase(pending);
}

void RuleChecker::OnSetUp(Edge& edge, TimeUs at, const mgcp::Message& message, std::string_view sup) {
  const std::string circuit = EndpointText(message);
  const auto name = wire_names::ParseCircuit(circuit);
  const int origin = wire_names::Number<int>(message.Get(wire_names::kOrigin)).value_or(-1);
  const std::string id(mgcp::Argument(sup, "id"));
  const std::string key = origin == edge.number ? "own " + id : std::to_string(origin) + " " + id;
  CallerState& caller = edge.callers[key];

  ++edge.work.set_ups;
  CountCheck(Rule::kOneAttempt);
  if (caller.attempt.in_progress)
    RecordViolation(Rule::kOneAttempt, at, Location(edge, circuit),
                    "set-up for " + key + " while the attempt on " + caller.attempt.circuit + " is in progress");
  if (caller.wait_since != 0 && caller.wait_epoch == caller.epoch) {
    CountCheck(Rule::kReleaseWait);
    // Both datagrams take the same path, so only scheduling jitter has to be allowed for.
    if (at + kCrossing / 4 < caller.wait_since + release_us_)
      RecordViolation(Rule::kReleaseWait, at, Location(edge, circuit),
                      "set-up for " + key + " " + Ms(at - caller.wait_since) + " after " + caller.wait_reason);
  }
  // No set-up may be sent for a call that has ended for its caller.
  if (const auto pending = edge.pending_answers.find(id);
      origin == edge.number && pending != edge.pending_answers.end()) {
    if (pending->second.answered || (pending->second.ended_at != 0 && at > pending->second.ended_at + kCrossing))
      RecordViolation(Rule::kOneAnswer, at, Location(edge, circuit), "set-up for " + id + " after the call was over");
  }
  caller.wait_since = 0;
  caller.attempt = {circuit, at, true, false, false};
  edge.caller_of_circuit[circuit] = key;
  // The end of any circuit of a wide call ends the attempt.
  for (const std::string& other : OtherCircuits(message, circuit)) edge.caller_of_circuit[other] = key;
  edge.seizures[message.transaction] = circuit;

  if (!name) return;
  const auto listed = edge.roster.find(name->group);
  if (listed != edge.roster.end() && !listed->second.empty()) {
    CountCheck(Rule::kDrains);
    const bool ready = std::any_of(listed->second.begin(), listed->second.end(),
                                   [](const auto& entry) { return entry.second.status == "ready"; });
    TimeUs notified = 0;
    for (const auto& [exchange, entry] : listed->second) notified = std::max(notified, entry.notified_at);
    if (!ready && at > notified + grace_us_ + kCrossing)
      RecordViolation(Rule::kDrains, at, Location(edge, circuit),
                      "set-up to exchange " + std::to_string(name->group) + " " + Ms(at - notified) +
                          " after the edge was notified that it is not ready");
  }
  const auto cold = cold_starts_.find(name->group);
  if (cold == cold_starts_.end() || cold->second.multiple <= 0.0 || at > cold->second.at + cold->second.warm_up) return;
  ColdStart& c = cold->second;
  bool notified = false;
  if (listed != edge.roster.end()) {
    for (const auto& [exchange, entry] : listed->second)
      notified = notified || (entry.status == "ready" && entry.notified_at >= c.at && entry.incarnation > 0);
  }
  CountCheck(Rule::kColdStart);
  c.sent.emplace_back(at, notified);
  while (c.sent.front().first + c.fall < at) c.sent.pop_front();
  const double warm_up_share = static_cast<double>(at - c.at) / static_cast<double>(std::max<TimeUs>(1, c.warm_up));
  const double capacity_share = c.cold_from + (1.0 - c.cold_from) * std::min(1.0, warm_up_share);
  const double budget =
      c.multiple * capacity_share * c.set_ups_per_s * static_cast<double>(c.fall) / 1e6 + kColdStartSlack;
  const auto by_notified = std::count_if(c.sent.begin(), c.sent.end(), [](const auto& sent) { return sent.second; });
  if (static_cast<double>(c.sent.size()) > budget &&
      static_cast<double>(by_notified) >= kNotifiedShare * static_cast<double>(c.sent.size()))
    RecordViolation(Rule::kColdStart, at, Location(edge, circuit),
                    std::to_string(c.sent.size()) + " set-ups to restarted exchange " + std::to_string(name->group) +
                        " within " + Ms(c.fall) + ", limit at that time " + std::to_string(static_cast<int>(budget)));
}

void RuleChecker::EndAttempt(Edge& edge, TimeUs at, const std::string& circuit, bool requires_wait,
                             const std::string& why) {
  const auto found = edge.caller_of_circuit.find(circuit);
  if (found == edge.caller_of_circuit.end()) return;
  const std::string key = found->second;
  CallerState& caller = edge.callers[key];
  std::erase_if(edge.caller_of_circuit, [&](const auto& entry) { return entry.second == key; });
  if (!caller.attempt.in_progress) return;
  caller.attempt.in_progress = false;
  if (!requires_wait || caller.attempt.answered) return;
  caller.wait_since = at;
  caller.wait_epoch = caller.epoch;
  caller.wait_reason = why;
}

void RuleChecker::OnResponseOfGateway(Edge& edge, TimeUs at, const mgcp::Message& message) {
  const auto seizure = edge.seizures.find(message.transaction);
  if (seizure == edge.seizures.end()) return;
  const std::string circuit = seizure->second;
  edge.seizures.erase(seizure);
  if (message.code >= 400) return EndAttempt(edge, at, circuit, false, "gateway error");
  const auto key = edge.caller_of_circuit.find(circuit);
  if (key != edge.caller_of_circuit.end()) edge.callers[key->second].attempt.acknowledged = true;
}

void RuleChecker::Finish() {
  for (const auto& [host, edge] : edges_) {
    for (const auto& [endpoint, pending] : edge.pending_answers) {
      if (!pending.answered && pending.ended_at == 0 && pending.deadline + kCrossing < last_record_us_)
        RecordViolation(Rule::kOneAnswer, pending.deadline, Location(edge, endpoint),
                        "no final answer to the call accepted at " + Ms(pending.accepted_at));
    }
  }
}

std::string RuleChecker::Summary() const {
  std::string text;
  for (std::size_t i = 0; i < kRules; ++i) {
    const RuleFinding& finding = findings_[i];
    std::string name(Name(static_cast<Rule>(i)));
    name.resize(32, ' ');
    std::string verdict(finding.Verdict());
    verdict.resize(15, ' ');
    text +=
        name + verdict + std::to_string(finding.checked) + " checked, " + std::to_string(finding.broken) + " broken\n";
    for (const std::string& example : finding.examples) text += "    " + example + "\n";
  }
  return text;
}

}  // namespace croftrun::lab
