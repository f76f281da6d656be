#include "edge/trunk_gateway.h"

#include <algorithm>
#include <utility>

#include "edge/line_front.h"
#include "edge/wire_names.h"

namespace croftrun::edge {
namespace {

using core::ReleaseCause;
using core::ReleaseInfo;
using mgcp::TransactionResult;
using mgcp::Verb;
using mgcp::Writer;

// Maximum number of audits without a response: a start with thousands of circuits must not flood the gateway.
constexpr std::size_t kMaxOutstandingAudits = 32;
// Circuits out of service are audited once in this many audit rounds.
constexpr std::uint32_t kOutOfServiceAuditRounds = 5;
// A circuit that the far end has seized without a report to us is cleared after this many audit intervals.
constexpr TimeUs kUnreportedSeizureIntervals = 3;
constexpr std::string_view kCallEvents = "MS/ans, MS/rel, MS/rlc";

// Parses a cause value. Values that this product does not use count as a temporary failure.
ReleaseCause ParseCause(std::string_view parameters) {
  const auto number = wire_names::Number<int>(mgcp::Trim(parameters));
  if (!number) return parameters.empty() ? ReleaseCause::kNormal : ReleaseCause::kTemporaryFailure;
  for (const ReleaseCause cause :
       {ReleaseCause::kUnallocated, ReleaseCause::kNormal, ReleaseCause::kUserBusy, ReleaseCause::kNoAnswer,
        ReleaseCause::kOutOfOrder, ReleaseCause::kNoCircuit, ReleaseCause::kTemporaryFailure, ReleaseCause::kCongestion,
        ReleaseCause::kGlare, ReleaseCause::kNotInService, ReleaseCause::kTimerExpiry}) {
    if (static_cast<int>(cause) == *number) return cause;
  }
  return ReleaseCause::kTemporaryFailure;
}

core::LoadReport ParseLoadReport(const mgcp::Message& message) {
  core::LoadReport load;
  const auto items = mgcp::SplitTopLevel(message.Get(wire_names::kLoad));
  if (!items) return load;
  for (const std::string_view item : *items) {
    const auto value = wire_names::Number<float>(item);
    load.push_back(value ? *value : -1.0F);
  }
  return load;
}

std::string ReleaseSignal(const ReleaseInfo& info) {
  return "MS/rel(" + std::to_string(static_cast<int>(info.cause)) + ")";
}

}  // namespace

TrunkGateway::TrunkGateway(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core,
                           mgcp::Transactions* transactions)
    : settings_(settings), runtime_(runtime), core_(core), transactions_(transactions), audit_timer_(runtime) {
  for (const core::GroupSettings& group : settings.core.groups) {
    for (unsigned circuit = 0; circuit < group.circuits; ++circuit) configured_.insert(MakeKey(group.number, circuit));
  }
}

std::string TrunkGateway::EndpointName(CircuitKey key) const {
  return wire_names::Circuit(GroupOf(key), CircuitOf(key), settings_.domain);
}

std::uint32_t TrunkGateway::Send(CircuitKey key, Verb verb, std::string body,
                                 mgcp::Transactions::ResultHandler on_response) {
  return transactions_->Send(settings_.gateway, {verb, EndpointName(key), std::move(body), std::move(on_response)});
}

std::string TrunkGateway::EventRequest(std::uint32_t request_id, std::string_view events) const {
  std::string body;
  Writer(&body).Line("X", std::to_string(request_id)).Line("R", events);
  return body;
}

void TrunkGateway::Start() {
  for (const core::GroupSettings& group : settings_.core.groups) {
    for (unsigned circuit = 0; circuit < group.circuits; ++circuit) AuditCircuit(MakeKey(group.number, circuit));
  }
  audit_timer_.Start(settings_.audit_interval_us, [this] { RunAuditRound(); });
}

// A seizure under a request that is not in force belongs to an earlier use of the circuit and has been retransmitted
// since, perhaps to an earlier run of this edge. A seizure on a circuit that already carries an incoming call has been
// reported before.
bool TrunkGateway::IsStaleSeizure(CircuitKey key, std::uint32_t request_id, const mgcp::Message& message) const {
  const auto armed = seizure_requests_.find(key);
  const bool without_request = request_id == 0 && without_request_.count(key) > 0;
  if (armed != seizure_requests_.end() && armed->second != request_id && !without_request) return true;
  const auto incoming = [this](CircuitKey at) {
    const auto existing = call_legs_.find(at);
    return existing != call_legs_.end() && existing->second.attempt < 0;
  };
  if (incoming(key)) return true;
  const auto others = mgcp::SplitTopLevel(message.Get(wire_names::kCircuitList));
  return others && std::any_of(others->begin(), others->end(), [&](const std::string_view other) {
           const auto circuit = wire_names::Number<std::uint16_t>(other);
           return circuit && incoming(MakeKey(GroupOf(key), *circuit));
         });
}

// ---- outgoing set-ups ----

void TrunkGateway::SetUp(const core::TrunkSetUp& set_up) {
  // One datagram seizes all circuits of a call. The seizure that carries the address comes last, so that the gateway
  // can reject the whole call if any of the other circuits is in use.
  const mgcp::Transactions::Cork cork(transactions_);
  const core::CallRequest& call_request = *set_up.request;
  std::string others;
  for (std::size_t i = 1; i < set_up.set.circuits.size(); ++i)
    others += (others.empty() ? "" : ",") + std::to_string(set_up.set.circuits[i]);
  for (std::size_t i = set_up.set.circuits.size(); i-- > 0;) {
    const CircuitKey key = MakeKey(set_up.set.group, set_up.set.circuits[i]);
    CallLeg& leg = call_legs_[key];
    leg = CallLeg{};
    leg.call = set_up.set.call;
    leg.attempt = set_up.attempt;
    leg.request_id = next_request_id_++;
    leg.address_circuit = MakeKey(set_up.set.group, set_up.set.circuits.front());
    ++counters_.seized;
    std::string body;
    Writer writer(&body);
    writer.Line("C", CallParameter(core_->own_number(), leg.call)).Line("L", "p:20, a:PCMU");
    writer.Line("M", i == 0 ? "sendrecv" : "inactive");
    body += EventRequest(leg.request_id, kCallEvents);
    if (i == 0) {
      writer.Line("S", "MS/sup(addr(" + call_request.called + "),id(" + call_request.calling + "))");
      writer.Line(wire_names::kOrigin, std::to_string(set_up.origin));
      writer.Line(wire_names::kClass, settings_.class_names[static_cast<std::size_t>(call_request.call_class)]);
      writer.Line(wire_names::kCallerTimeout, std::to_string(set_up.budget_us / 1000));
      if (!others.empty()) writer.Line(wire_names::kCircuitList, others);
    }
    const std::uint32_t transaction =
        Send(key, Verb::kCrcx, std::move(body),
             [this, key, call = leg.call, attempt = leg.attempt](const TransactionResult& answered) {
               HandleSeizureResponse(key, call, attempt, answered);
             });
    // If there are too many transactions, the callback runs within Send and may have removed the call leg.
    if (const auto found = call_legs_.find(key); found != call_legs_.end())
      found->second.seizure_transaction = transaction;
  }
}

void TrunkGateway::HandleSeizureResponse(CircuitKey key, CallId call, int attempt, const TransactionResult& answered) {
  const auto found = call_legs_.find(key);
  const bool current = found != call_legs_.end() && found->second.call == call && found->second.attempt == attempt;
  if (!current) {
    // The set-up was abandoned before its response arrived, and its DLCX may have overtaken the CRCX. The circuit is
    // cleared once more unless another call uses it by now.
    if (!answered.ok() || found != call_legs_.end()) return;
    ++counters_.late_seizures;
    return ClearCircuit(key, std::string(answered.message->Get("I")), false, {ReleaseCause::kTimerExpiry});
  }
  CallLeg& leg = found->second;
  leg.seizure_transaction = 0;
  if (answered.ok()) {
    leg.connection = answered.message->Get("I");
    if (leg.address_circuit != key) return;
    core_->OnTrunkSession(call, attempt, answered.message->session);
    if (leg.part_refused) core_->OnTrunkReleased(call, attempt, {ReleaseCause::kTemporaryFailure, core_->own_number()});
    return;
  }
  // No response within T-MAX: the attempt's own timeout is shorter and decides.
  if (answered.outcome == mgcp::TransactionOutcome::kNoResponse) return;
  const int code = answered.code();
  leg.refused = true;
  leg.reported_idle = answered.message != nullptr && answered.message->Get(wire_names::kState) == "idle";
  if (leg.address_circuit != key) {
    // One of several circuits of a call was refused. Only the response for the address circuit tells whether the set-up
    // has left the exchange. Until then, another attempt could set the call up twice; if the set-up has left, its
    // release has to be awaited.
    const auto first = call_legs_.find(leg.address_circuit);
    if (first == call_legs_.end()) return;
    first->second.part_refused = true;
    if (first->second.seizure_transaction == 0 && !first->second.refused)
      core_->OnTrunkReleased(call, attempt, {ReleaseCause::kTemporaryFailure, core_->own_number()});
  } else {
    // Whatever the error, this set-up has not left the exchange. The module gets one of two causes: the own processor
    // is down, or the circuit was not free.
    const bool own_down = code == mgcp::kInsufficientResources;
    core_->OnTrunkReleased(call, attempt,
                           {own_down ? ReleaseCause::kOwnOutOfOrder : ReleaseCause::kGlare, core_->own_number()});
  }
  const bool blocked = answered.message != nullptr && answered.message->Get(wire_names::kState) == "blocked";
  if (blocked || code == mgcp::kUnknownEndpoint || code == mgcp::kEndpointNotReady || code == mgcp::kEndpointRestarting)
    TakeOutOfService(key);
}

void TrunkGateway::Connect(const core::CircuitSet& set, std::string_view session) {
  if (set.circuits.empty()) return;
  const CircuitKey key = MakeKey(set.group, set.circuits.front());
  const auto leg = call_legs_.find(key);
  if (leg == call_legs_.end()) return;
  std::string body;
  Writer writer(&body);
  writer.Line("C", CallParameter(core_->own_number(), set.call));
  if (!leg->second.connection.empty()) writer.Line("I", leg->second.connection);
  writer.Line("M", "sendrecv").Session(session);
  Send(key, Verb::kMdcx, std::move(body), {});
}

// ---- events ----

void TrunkGateway::HandleNotify(mgcp::Transactions::CommandId command, const mgcp::Message& message) {
  const auto name = wire_names::ParseCircuit(message.endpoint.local);
  const CircuitKey key = name ? MakeKey(name->group, name->circuit) : 0;
  if (!name || name->circuit > 0xffffU || name->group < 0 || configured_.count(key) == 0) {
    transactions_->Reject(command, mgcp::kUnknownEndpoint, "no such circuit");
    return;
  }
  const auto events = mgcp::ParseEventList(message.Get("O"));
  if (!events || message.Find("O") == nullptr) {
    transactions_->Reject(command, mgcp::kProtocolError, "expected observed events in O:");
    return;
  }
  const auto request_id = wire_names::Number<std::uint32_t>(message.Get("X")).value_or(0);
  const bool reports_seizure = std::any_of(
      events->begin(), events->end(), [](const auto& event) { return mgcp::EqualsIgnoringCase(event.name, "sup"); });
  if (reports_seizure && IsStaleSeizure(key, request_id, message)) {
    ++counters_.stale_events;
    transactions_->Respond(command, mgcp::kTransientError, {}, "a seizure told before, or long over");
    return AuditCircuit(key);
  }
  transactions_->Respond(command, mgcp::kOk);
  for (const mgcp::EventRef& event : *events) {
    const auto leg = call_legs_.find(key);
    const auto release = releases_.find(key);
    if (mgcp::EqualsIgnoringCase(event.name, "sup")) {
      HandleIncomingSeizure(key, event, message);
    } else if (mgcp::EqualsIgnoringCase(event.name, "ans")) {
      if (leg == call_legs_.end() || leg->second.request_id != request_id) {
        ++counters_.stale_events;
        continue;
      }
      leg->second.answered = true;
      core_->OnTrunkAnswered(leg->second.call, leg->second.attempt);
    } else if (mgcp::EqualsIgnoringCase(event.name, "rel")) {
      HandleReleaseEvent(key, request_id, event, message);
    } else if (mgcp::EqualsIgnoringCase(event.name, "rlc")) {
      if (release == releases_.end() || release->second.request_id == 0 || release->second.request_id != request_id) {
        // This release complete belongs to a release by an earlier run of the edge or an earlier use of the circuit. It
        // proves nothing, but is a reason for an audit: an earlier audit may have found the circuit still releasing,
        // and nothing else would bring it back soon.
        ++counters_.stale_events;
        AuditAfterActivity(key);
        continue;
      }
      MarkFree(key);
    } else {
      ++counters_.unknown_events;
    }
  }
}

void TrunkGateway::HandleIncomingSeizure(CircuitKey key, const mgcp::EventRef& sup, const mgcp::Message& message) {
  ++counters_.incoming;
  core::CallRequest call_request;
  call_request.called = mgcp::Argument(sup.parameters, "addr");
  call_request.calling = mgcp::Argument(sup.parameters, "id");
  const int origin = wire_names::Number<int>(message.Get(wire_names::kOrigin)).value_or(-1);
  ReleaseInfo refusal{ReleaseCause::kUnallocated, core_->own_number()};
  const auto number_meaning = settings_.plan.Find(call_request.called);
  std::vector<core::CircuitNumber> circuits{CircuitOf(key)};
  bool valid = number_meaning.has_value();
  if (const auto others = mgcp::SplitTopLevel(message.Get(wire_names::kCircuitList))) {
    for (const std::string_view item : *others) {
      const auto circuit = wire_names::Number<std::uint16_t>(item);
      valid = valid && circuit && configured_.count(MakeKey(GroupOf(key), *circuit)) > 0;
      if (valid) circuits.push_back(*circuit);
    }
  }
  if (!valid) {
    ++counters_.refused_incoming;
    return ClearCircuit(key, "", false, refusal);
  }
  call_request.call_class = number_meaning->call_class;
  // Rules of the originating exchange may have given the call another class than that of its number.
  const auto& names = settings_.class_names;
  const auto matching = std::find(names.begin(), names.end(), message.Get(wire_names::kClass));
  if (matching != names.end()) call_request.call_class = static_cast<int>(matching - names.begin());
  call_request.customer = number_meaning->customer;
  call_request.destination = number_meaning->destination;
  call_request.width = circuits.size();
  const CallClass& call_class = settings_.core.module.classes[static_cast<std::size_t>(call_request.call_class)];
  call_request.caller_timeout_us = call_class.deadline_us;
  if (const auto caller_timeout = wire_names::Number<std::uint32_t>(message.Get(wire_names::kCallerTimeout)))
    call_request.caller_timeout_us = TimeUs{*caller_timeout} * 1000;
  call_request.caller_timeout_us -=
      std::min(call_request.caller_timeout_us, runtime_->QueueDelay());  // counted from the arrival
  // The call legs must exist before the core accepts the call, because it may answer or refuse it at once. Their call
  // id is known only afterwards.
  for (const core::CircuitNumber circuit : circuits) {
    const auto existing = call_legs_.find(MakeKey(GroupOf(key), circuit));
    if (existing == call_legs_.end()) continue;
    // Glare. The gateway reports a seizure only once it is in force, so it has refused ours, although its response is
    // still on its way or lost. A set-up that it had acknowledged may have left the exchange: its release is awaited.
    const bool was_acknowledged = existing->second.seizure_transaction == 0;
    existing->second.refused = true;
    const CallLeg refused_leg = existing->second;
    core_->OnTrunkReleased(
        refused_leg.call, refused_leg.attempt,
        {was_acknowledged ? ReleaseCause::kTemporaryFailure : ReleaseCause::kGlare, core_->own_number()});
  }
  for (const core::CircuitNumber circuit : circuits) {
    const CircuitKey at = MakeKey(GroupOf(key), circuit);
    // The circuit was out of service only because its state was uncertain. The reported seizure settles that: the
    // gateway reports none on a circuit that was not idle at this end.
    if (withdrawn_.count(at) == 0 && out_of_service_.erase(at) > 0)
      core_->OnCircuitInService(GroupOf(at), CircuitOf(at));
    releases_.erase(at);
    unreported_seizures_.erase(at);
    CallLeg leg;
    leg.request_id = next_request_id_++;
    call_legs_[at] = leg;
  }
  const core::SeizureResult result = core_->AcceptIncoming(GroupOf(key), circuits, call_request, origin);
  if (result != core::SeizureResult::kAccepted) {
    ++counters_.refused_incoming;
    for (const core::CircuitNumber circuit : circuits) call_legs_.erase(MakeKey(GroupOf(key), circuit));
    refusal.cause = result == core::SeizureResult::kGlare ? ReleaseCause::kGlare : ReleaseCause::kNotInService;
    return ClearCircuit(key, "", false, refusal);
  }
  // If the call was refused or failed at once, the call legs are gone; otherwise they belong to the call that holds the
  // circuit.
  const core::CircuitGroup* group = core_->Group(GroupOf(key));
  for (const core::CircuitNumber circuit : circuits) {
    const auto leg = call_legs_.find(MakeKey(GroupOf(key), circuit));
    if (leg != call_legs_.end()) leg->second.call = group->HeldBy(circuit);
  }
}

void TrunkGateway::HandleReleaseEvent(CircuitKey key, std::uint32_t request_id, const mgcp::EventRef& rel,
                                      const mgcp::Message& message) {
  ReleaseInfo info;
  info.cause = ParseCause(rel.parameters);
  info.exchange_number = wire_names::Number<int>(message.Get(wire_names::kCauseExchange)).value_or(-1);
  info.wait_us = TimeUs{wire_names::Number<std::uint32_t>(message.Get(wire_names::kWait)).value_or(0)} * 1000;
  info.load = ParseLoadReport(message);
  const auto found = call_legs_.find(key);
  // Both ends released at the same time: our release is on its way, and the response to it frees the circuit.
  if (const auto release = releases_.find(key); found == call_legs_.end() && release != releases_.end()) {
    release->second.far_released = true;
    return;
  }
  // This release belongs to an earlier use of the circuit, perhaps before a restart of this edge. The circuit may carry
  // another call now, so it is audited instead of cleared. The events of an incoming call are reported under the
  // request of its seizure until the call is answered.
  const auto armed = seizure_requests_.find(key);
  const bool incoming = found != call_legs_.end() && found->second.attempt < 0 &&
                        (armed == seizure_requests_.end() || request_id == armed->second);
  if (found == call_legs_.end() || (request_id != found->second.request_id && !incoming)) {
    ++counters_.stale_events;
    return AuditCircuit(key);
  }
  HandleFarEndRelease(key, info);
}

void TrunkGateway::HandleFarEndRelease(CircuitKey key, const ReleaseInfo& info) {
  CallLeg& stored = call_legs_.at(key);
  stored.far_released = true;
  const CallLeg leg = stored;
  if (leg.attempt >= 0) {
    core_->OnTrunkReleased(leg.call, leg.attempt, info);
  } else {
    core_->OnIncomingReleased(leg.call, info.cause);
  }
}

void TrunkGateway::Answer(const core::CircuitSet& set, std::string_view session) {
  if (set.circuits.empty()) return;
  const CircuitKey key = MakeKey(set.group, set.circuits.front());
  const auto leg = call_legs_.find(key);
  if (leg == call_legs_.end()) return;
  leg->second.answered = true;
  std::string body;
  Writer writer(&body);
  writer.Line("C", CallParameter(core_->own_number(), set.call)).Line("L", "p:20, a:PCMU").Line("M", "sendrecv");
  body += EventRequest(leg->second.request_id, kCallEvents);
  writer.Line("S", "MS/ans").Session(session);
  Send(key, Verb::kCrcx, std::move(body), [this, key, call = set.call](const TransactionResult& answered) {
    const auto at = call_legs_.find(key);
    if (answered.ok() && at != call_legs_.end() && at->second.call == call)
      at->second.connection = answered.message->Get("I");
  });
}

// ---- releases ----

void TrunkGateway::Release(const core::CircuitSet& set, const ReleaseInfo& info) {
  const mgcp::Transactions::Cork cork(transactions_);
  for (const core::CircuitNumber circuit : set.circuits) {
    const CircuitKey key = MakeKey(set.group, circuit);
    const auto found = call_legs_.find(key);
    if (found == call_legs_.end()) continue;
    const CallLeg leg = std::move(found->second);
    call_legs_.erase(found);
    // A seizure without a response must not be retransmitted after its release.
    if (leg.seizure_transaction != 0) transactions_->StopRetransmitting(leg.seizure_transaction);
    ++counters_.released;
    if (leg.refused) {
      // Our seizure was refused because the far end has seized the circuit, and a release here would release the far
      // end's seizure. Its notification or an audit will report the state of the circuit.
      releases_[key] = {runtime_->Now(), 0, false};
      if (leg.reported_idle) MarkFree(key);
      continue;
    }
    ClearCircuit(key, leg.connection, leg.far_released, info);
  }
}

void TrunkGateway::ClearCircuit(CircuitKey key, const std::string& connection, bool far_released,
                                const ReleaseInfo& info) {
  PendingRelease& state = releases_[key];
  state = {runtime_->Now(), next_request_id_++, far_released};
  seizure_requests_[key] = state.request_id;
  std::string body;
  Writer writer(&body);
  if (!connection.empty()) writer.Line("I", connection);
  body += EventRequest(state.request_id, "MS/sup, MS/rlc");
  writer.Line("S", ReleaseSignal(info));
  if (info.exchange_number >= 0) writer.Line(wire_names::kCauseExchange, std::to_string(info.exchange_number));
  if (info.wait_us > 0) writer.Line(wire_names::kWait, std::to_string(info.wait_us / 1000));
  Send(key, Verb::kDlcx, std::move(body),
       [this, key, request_id = state.request_id](const TransactionResult& answered) {
         if (answered.ok()) without_request_.erase(key);
         const auto release = releases_.find(key);
         if (release == releases_.end() || release->second.request_id != request_id) return;
         // No response, or an error: nothing was deleted, and a later audit round asks again.
         if (!answered.ok() && answered.code() != mgcp::kUnknownConnection && answered.code() != mgcp::kUnknownCall)
           return;
         const auto reported_state = answered.message->Get(wire_names::kState);
         if (reported_state == "idle" || (reported_state.empty() && release->second.far_released)) MarkFree(key);
       });
}

void TrunkGateway::MarkFree(CircuitKey key) {
  releases_.erase(key);
  if (withdrawn_.count(key) > 0) return TakeOutOfService(key);
  // The circuit was cleared while out of service. It is now known to be idle at both ends, which was all that was
  // uncertain.
  if (out_of_service_.erase(key) > 0) return core_->OnCircuitInService(GroupOf(key), CircuitOf(key));
  core_->OnCircuitFree(GroupOf(key), CircuitOf(key));
}

void TrunkGateway::TakeOutOfService(CircuitKey key) {
  ++counters_.out_of_service;
  out_of_service_.insert(key);
  releases_.erase(key);
  core_->OnCircuitOutOfService(GroupOf(key), CircuitOf(key));
  call_legs_.erase(key);
}

// ---- audits ----

void TrunkGateway::AuditAfterActivity(CircuitKey key) {
  if (withdrawn_.count(key) > 0) return;
  ++counters_.signs_of_life;
  // The response of an audit in progress may describe the state before this event.
  if (audits_in_progress_.count(key) > 0) audit_again_.insert(key);
  AuditCircuit(key);
}

void TrunkGateway::AuditCircuit(CircuitKey key) {
  if (!audits_in_progress_.insert(key).second) return;
  audit_queue_.push_back(key);
  SendQueuedAudits();
}

void TrunkGateway::SendQueuedAudits() {
  while (outstanding_audits_ < kMaxOutstandingAudits && !audit_queue_.empty()) {
    const CircuitKey key = audit_queue_.front();
    audit_queue_.pop_front();
    ++outstanding_audits_;
    ++counters_.audits;
    Send(key, Verb::kAuep, "F: I, ES, RM\r\n", [this, key](const TransactionResult& answered) {
      --outstanding_audits_;
      audits_in_progress_.erase(key);
      HandleAuditResponse(key, answered);
      if (audit_again_.erase(key) > 0) AuditCircuit(key);
      SendQueuedAudits();
    });
  }
}

void TrunkGateway::HandleAuditResponse(CircuitKey key, const TransactionResult& answered) {
  if (answered.message != nullptr) {
    unaudited_in_use_.erase(key);
  } else if (call_legs_.count(key) > 0) {
    unaudited_in_use_.insert(key);  // came into use during the audit
  }
  if (const auto leg = call_legs_.find(key); leg != call_legs_.end()) {
    // The circuit is in use: only a release that was not reported matters. While the response to our set-up is missing,
    // an idle circuit does not mean a release.
    if (!answered.ok()) return;
    const auto reported_state = answered.message->Get(wire_names::kState);
    const bool released =
        reported_state == "far-released" || (reported_state == "idle" && !leg->second.connection.empty());
    if (released) HandleFarEndRelease(key, {ReleaseCause::kTemporaryFailure, core_->own_number()});
    return;
  }
  if (answered.message == nullptr) return;  // the gateway does not respond; a later audit round asks again
  if (!answered.ok()) {
    if (out_of_service_.count(key) == 0) TakeOutOfService(key);
    return;
  }
  const auto reported_state = answered.message->Get(wire_names::kState);
  const std::string connection(answered.message->Get("I"));
  const bool idle = reported_state.empty() ? connection.empty() : reported_state == "idle";
  if (reported_state != "seized-in") unreported_seizures_.erase(key);
  if (idle) {
    // An audit that explicitly reports a restart returns the circuit to service, because the RSIP may have gone to an
    // earlier run of this edge.
    if (mgcp::EqualsIgnoringCase(answered.message->Get("RM"), "restart")) withdrawn_.erase(key);
    if (withdrawn_.count(key) > 0) {
      if (out_of_service_.count(key) == 0) TakeOutOfService(key);
    } else {
      MarkFree(key);
    }
    return;
  }
  if (reported_state == "blocked") {
    // Blocked by maintenance or a fault further on: it stays out of service until the gateway reports otherwise.
    if (out_of_service_.count(key) == 0) TakeOutOfService(key);
    return;
  }
  if (reported_state == "releasing") {
    // Our end is released, the far end is not. Its release complete or the next audit round brings the next check.
    releases_.try_emplace(key, PendingRelease{runtime_->Now(), 0, false});
    return;
  }
  if (reported_state == "far-released")
    return ClearCircuit(key, connection, true, {ReleaseCause::kNormal, core_->own_number()});
  if (reported_state == "seized-in" && connection.empty()) {
    // The far end has seized the circuit without a report to us: its set-up may still be queued at the processor. The
    // circuit is cleared only if it stays in this state.
    const TimeUs since = unreported_seizures_.emplace(key, runtime_->Now()).first->second;
    if (runtime_->Now() - since < kUnreportedSeizureIntervals * settings_.audit_interval_us) return;
    unreported_seizures_.erase(key);
  }
  // The circuit was left busy by an earlier run of this edge, or its release was lost.
  ++counters_.cleared;
  ClearCircuit(key, connection, false, {ReleaseCause::kTemporaryFailure, core_->own_number()});
}

void TrunkGateway::RunAuditRound() {
  const TimeUs now = runtime_->Now();
  std::vector<CircuitKey> to_audit;
  for (const auto& [key, release] : releases_) {
    if (now - release.since >= settings_.audit_interval_us) to_audit.push_back(key);
  }
  // Audits without a response are repeated: the release of such a call may never have been reported.
  to_audit.insert(to_audit.end(), unaudited_in_use_.begin(), unaudited_in_use_.end());
  if (++audit_rounds_ % kOutOfServiceAuditRounds == 0)
    to_audit.insert(to_audit.end(), out_of_service_.begin(), out_of_service_.end());
  for (const core::GroupSettings& group : settings_.core.groups) {
    const core::CircuitGroup* circuits = core_->Group(group.number);
    if (circuits->Count(core::CircuitState::kUnknown) == 0) continue;
    for (unsigned circuit = 0; circuit < group.circuits; ++circuit) {
      if (circuits->State(static_cast<core::CircuitNumber>(circuit)) == core::CircuitState::kUnknown)
        to_audit.push_back(MakeKey(group.number, circuit));
    }
  }
  std::sort(to_audit.begin(), to_audit.end());  // makes the order the same on every run
  for (const CircuitKey key : to_audit) AuditCircuit(key);
  audit_timer_.Start(settings_.audit_interval_us, [this] { RunAuditRound(); });
}

void TrunkGateway::HandleRestart(const mgcp::Message& message) {
  const auto method = message.Get("RM");
  std::vector<CircuitKey> matching;
  for (const CircuitKey key : configured_) {
    const std::string name = EndpointName(key);
    if (mgcp::EndpointMatches(message.endpoint.local, std::string_view(name).substr(0, name.rfind('@'))))
      matching.push_back(key);
  }
  if (matching.empty()) return;
  ++counters_.restarts;
  std::sort(matching.begin(), matching.end());
  const bool cancelled = mgcp::EqualsIgnoringCase(method, "cancel-graceful");
  for (const CircuitKey key : matching) {
    if (mgcp::EqualsIgnoringCase(method, "graceful")) {
      // Calls in progress go on, but no new ones start. Circuits in use or being released go out of service when free.
      withdrawn_.insert(key);
      if (call_legs_.count(key) == 0 && releases_.count(key) == 0) TakeOutOfService(key);
    } else if (mgcp::EqualsIgnoringCase(method, "disconnected") || cancelled) {
      withdrawn_.erase(key);
      if (call_legs_.count(key) > 0) unaudited_in_use_.insert(key);
      AuditCircuit(key);
    } else {
      // restart, forced: calls on the circuit are terminated, and the gateway has dropped the request it had (RFC 3435
      // 4.4.5, as generally understood). Until it has acknowledged a new one, which a DLCX that clears the circuit may
      // carry, it reports seizures under no request.
      seizure_requests_[key] = 0;
      without_request_.insert(key);
      TakeOutOfService(key);
      if (mgcp::EqualsIgnoringCase(method, "forced")) {
        withdrawn_.insert(key);
      } else {
        withdrawn_.erase(key);
        AuditCircuit(key);
      }
    }
  }
}

void TrunkGateway::ProbeGroup(int group) {
  const TimeUs sent = runtime_->Now();
  const std::string endpoint = std::string(wire_names::kFarProcessors) + std::to_string(group) + "@" + settings_.domain;
  transactions_->Send(settings_.gateway,
                      {Verb::kAuep, endpoint, "F: ES\r\n", [this, group, sent](const TransactionResult& response) {
                         core_->OnGroupProbed(group, response.ok(), runtime_->Now() - sent,
                                              response.ok() ? ParseLoadReport(*response.message) : core::LoadReport{});
                       }});
}

}  // namespace croftrun::edge
