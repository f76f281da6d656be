#include "edge/trunk_gateway.h"

#include <algorithm>
#include <utility>

#include "edge/line_front.h"
#include "edge/wire_names.h"

namespace croftrun::edge {
namespace {

using core::ReleaseCause;
using core::ReleaseInfo;
using mgcp::Answered;
using mgcp::Verb;
using mgcp::Writer;

// Audits asked and not answered at once: a start with thousands of circuits must not flood the gateway.
constexpr std::size_t kAuditWindow = 32;
// Circuits out of service are asked about at every so many sweeps.
constexpr std::uint32_t kOutOfServiceSweeps = 5;
// A circuit seized by the far end and not told to us is cleared when it was seen so for this many sweeps.
constexpr TimeUs kLooksApart = 3;
constexpr std::string_view kEvents = "MS/ans, MS/rel, MS/rlc";

// Causes that this product sends and understands; anything else is a temporary failure.
ReleaseCause CauseOf(std::string_view parameters) {
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

core::LoadReport LoadOf(const mgcp::Message& message) {
  core::LoadReport load;
  const auto items = mgcp::SplitTopLevel(message.Get(wire_names::kLoad));
  if (!items) return load;
  for (const std::string_view item : *items) {
    const auto value = wire_names::Number<float>(item);
    load.push_back(value ? *value : -1.0F);
  }
  return load;
}

std::string RelSignal(const ReleaseInfo& info) {
  return "MS/rel(" + std::to_string(static_cast<int>(info.cause)) + ")";
}

}  // namespace

TrunkGateway::TrunkGateway(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core,
                           mgcp::Transactions* transactions)
    : settings_(settings), runtime_(runtime), core_(core), transactions_(transactions), sweep_(runtime) {
  for (const core::GroupSettings& group : settings.core.groups) {
    for (unsigned circuit = 0; circuit < group.circuits; ++circuit) known_.insert(KeyOf(group.number, circuit));
  }
}

std::string TrunkGateway::Name(Key key) const {
  return wire_names::Circuit(GroupOf(key), CircuitOf(key), settings_.domain);
}

std::uint32_t TrunkGateway::Send(Key key, Verb verb, std::string body, mgcp::Transactions::OnAnswer on_answer) {
  return transactions_->Send(settings_.gateway, {verb, Name(key), std::move(body), std::move(on_answer)});
}

std::string TrunkGateway::Request(std::uint32_t request, std::string_view events) const {
  std::string body;
  Writer(&body).Line("X", std::to_string(request)).Line("R", events);
  return body;
}

void TrunkGateway::Start() {
  for (const core::GroupSettings& group : settings_.core.groups) {
    for (unsigned circuit = 0; circuit < group.circuits; ++circuit) Audit(KeyOf(group.number, circuit));
  }
  sweep_.Start(settings_.audit_us, [this] { Sweep(); });
}

// A seizure under a request that is not in force is of an earlier use of the circuit, repeated since, perhaps for a
// former life of this edge; one on a circuit that carries an incoming call already was told before.
bool TrunkGateway::IsStale(Key key, std::uint32_t request, const mgcp::Message& message) const {
  const auto armed = armed_.find(key);
  const bool under_none = request == 0 && unarmed_.count(key) > 0;
  if (armed != armed_.end() && armed->second != request && !under_none) return true;
  const auto incoming = [this](Key at) {
    const auto held = legs_.find(at);
    return held != legs_.end() && held->second.attempt < 0;
  };
  if (incoming(key)) return true;
  const auto others = mgcp::SplitTopLevel(message.Get(wire_names::kCircuitList));
  return others && std::any_of(others->begin(), others->end(), [&](const std::string_view other) {
           const auto circuit = wire_names::Number<std::uint16_t>(other);
           return circuit && incoming(KeyOf(GroupOf(key), *circuit));
         });
}

// ---- set-ups of ours ----

void TrunkGateway::SetUp(const core::TrunkSetUp& set_up) {
  // All circuits of a wide call are seized by one datagram; the seizure that carries the address comes last, so
  // that the gateway can turn the whole call away if any of the others was taken.
  const mgcp::Transactions::Cork cork(transactions_);
  const core::CallRequest& offer = *set_up.offer;
  std::string others;
  for (std::size_t i = 1; i < set_up.set.circuits.size(); ++i)
    others += (others.empty() ? "" : ",") + std::to_string(set_up.set.circuits[i]);
  for (std::size_t i = set_up.set.circuits.size(); i-- > 0;) {
    const Key key = KeyOf(set_up.set.group, set_up.set.circuits[i]);
    Leg& leg = legs_[key];
    leg = Leg{};
    leg.call = set_up.set.call;
    leg.attempt = set_up.attempt;
    leg.request = next_request_++;
    leg.first = KeyOf(set_up.set.group, set_up.set.circuits.front());
    ++counters_.seized;
    std::string body;
    Writer writer(&body);
    writer.Line("C", CallParameter(core_->own_number(), leg.call)).Line("L", "p:20, a:PCMU");
    writer.Line("M", i == 0 ? "sendrecv" : "inactive");
    body += Request(leg.request, kEvents);
    if (i == 0) {
      writer.Line("S", "MS/sup(addr(" + offer.called + "),id(" + offer.calling + "))");
      writer.Line(wire_names::kOrigin, std::to_string(set_up.origin));
      writer.Line(wire_names::kClass, settings_.class_names[static_cast<std::size_t>(offer.call_class)]);
      writer.Line(wire_names::kPatience, std::to_string(set_up.budget_us / 1000));
      if (!others.empty()) writer.Line(wire_names::kCircuitList, others);
    }
    const std::uint32_t transaction = Send(key, Verb::kCrcx, std::move(body),
                                           [this, key, call = leg.call, attempt = leg.attempt](
                                               const Answered& answered) { OnSeized(key, call, attempt, answered); });
    // A callback that came at once (too many transactions) may have taken the leg away.
    if (const auto found = legs_.find(key); found != legs_.end()) found->second.seizure = transaction;
  }
}

void TrunkGateway::OnSeized(Key key, CallId call, int attempt, const Answered& answered) {
  const auto found = legs_.find(key);
  const bool current = found != legs_.end() && found->second.call == call && found->second.attempt == attempt;
  if (!current) {
    // The set-up was given up before its answer came, and its DLCX may have overtaken it: the circuit is cleared
    // once more unless somebody else has it by now.
    if (!answered.ok() || found != legs_.end()) return;
    ++counters_.late_seizures;
    return Clear(key, std::string(answered.message->Get("I")), false, {ReleaseCause::kTimerExpiry});
  }
  Leg& leg = found->second;
  leg.seizure = 0;
  if (answered.ok()) {
    leg.connection = answered.message->Get("I");
    if (leg.first != key) return;
    core_->OnTrunkSession(call, attempt, answered.message->session);
    if (leg.part_refused) core_->OnTrunkReleased(call, attempt, {ReleaseCause::kTemporaryFailure, core_->own_number()});
    return;
  }
  // Not answered within T-MAX: the attempt's own time-out is shorter and decides.
  if (answered.ending == mgcp::Ending::kNoAnswer) return;
  const int code = answered.code();
  leg.refused = true;
  leg.idle = answered.message != nullptr && answered.message->Get(wire_names::kState) == "idle";
  if (leg.first != key) {
    // One circuit of a wide call. Whether the call is out is told by the answer to the one with the address: until
    // that is here, sending it again could put it out twice; if it is out, its release has to be awaited.
    const auto first = legs_.find(leg.first);
    if (first == legs_.end()) return;
    first->second.part_refused = true;
    if (first->second.seizure == 0 && !first->second.refused)
      core_->OnTrunkReleased(call, attempt, {ReleaseCause::kTemporaryFailure, core_->own_number()});
  } else {
    // Whatever the gateway says against it, this set-up never left: the module hears that the own processor is down,
    // or of a circuit that was not free.
    const bool own_down = code == mgcp::kNoResourcesNow;
    core_->OnTrunkReleased(call, attempt,
                           {own_down ? ReleaseCause::kOwnOutOfOrder : ReleaseCause::kGlare, core_->own_number()});
  }
  const bool blocked = answered.message != nullptr && answered.message->Get(wire_names::kState) == "blocked";
  if (blocked || code == mgcp::kUnknownEndpoint || code == mgcp::kEndpointNotReady || code == mgcp::kEndpointRestarting)
    TakeOut(key);
}

void TrunkGateway::Connect(const core::CircuitSet& set, std::string_view session) {
  if (set.circuits.empty()) return;
  const Key key = KeyOf(set.group, set.circuits.front());
  const auto leg = legs_.find(key);
  if (leg == legs_.end()) return;
  std::string body;
  Writer writer(&body);
  writer.Line("C", CallParameter(core_->own_number(), set.call));
  if (!leg->second.connection.empty()) writer.Line("I", leg->second.connection);
  writer.Line("M", "sendrecv").Session(session);
  Send(key, Verb::kMdcx, std::move(body), {});
}

// ---- events ----

void TrunkGateway::OnNotify(mgcp::Transactions::CommandId command, const mgcp::Message& message) {
  const auto name = wire_names::ParseCircuit(message.endpoint.local);
  const Key key = name ? KeyOf(name->group, name->circuit) : 0;
  if (!name || name->circuit > 0xffffU || name->group < 0 || known_.count(key) == 0) {
    transactions_->Reject(command, mgcp::kUnknownEndpoint, "no such circuit");
    return;
  }
  const auto events = mgcp::ParseEventList(message.Get("O"));
  if (!events || message.Find("O") == nullptr) {
    transactions_->Reject(command, mgcp::kProtocolError, "expected observed events in O:");
    return;
  }
  const auto request = wire_names::Number<std::uint32_t>(message.Get("X")).value_or(0);
  const bool seizure = std::any_of(events->begin(), events->end(),
                                   [](const auto& event) { return mgcp::EqualsIgnoringCase(event.name, "sup"); });
  if (seizure && IsStale(key, request, message)) {
    ++counters_.stale_events;
    transactions_->Respond(command, mgcp::kTransientError, {}, "a seizure told before, or long over");
    return Audit(key);
  }
  transactions_->Respond(command, mgcp::kOk);
  for (const mgcp::EventRef& event : *events) {
    const auto leg = legs_.find(key);
    const auto release = releases_.find(key);
    if (mgcp::EqualsIgnoringCase(event.name, "sup")) {
      OnIncoming(key, event, message);
    } else if (mgcp::EqualsIgnoringCase(event.name, "ans")) {
      if (leg == legs_.end() || leg->second.request != request) {
        ++counters_.stale_events;
        continue;
      }
      leg->second.answered = true;
      core_->OnTrunkAnswered(leg->second.call, leg->second.attempt);
    } else if (mgcp::EqualsIgnoringCase(event.name, "rel")) {
      OnReleased(key, request, event, message);
    } else if (mgcp::EqualsIgnoringCase(event.name, "rlc")) {
      if (release == releases_.end() || release->second.request == 0 || release->second.request != request) {
        // Of a release that this life or this use of the circuit did not ask for: no proof, but a reason to look. An
        // earlier look may have found the circuit still releasing, and nothing else would bring it back soon.
        ++counters_.stale_events;
        SignOfLife(key);
        continue;
      }
      Free(key);
    } else {
      ++counters_.unknown_events;
    }
  }
}

void TrunkGateway::OnIncoming(Key key, const mgcp::EventRef& sup, const mgcp::Message& message) {
  ++counters_.incoming;
  core::CallRequest offer;
  offer.called = mgcp::Argument(sup.parameters, "addr");
  offer.calling = mgcp::Argument(sup.parameters, "id");
  const int origin = wire_names::Number<int>(message.Get(wire_names::kOrigin)).value_or(-1);
  ReleaseInfo refusal{ReleaseCause::kUnallocated, core_->own_number()};
  const auto meaning = settings_.plan.Find(offer.called);
  std::vector<core::CircuitNumber> circuits{CircuitOf(key)};
  bool legal = meaning.has_value();
  if (const auto others = mgcp::SplitTopLevel(message.Get(wire_names::kCircuitList))) {
    for (const std::string_view item : *others) {
      const auto circuit = wire_names::Number<std::uint16_t>(item);
      legal = legal && circuit && known_.count(KeyOf(GroupOf(key), *circuit)) > 0;
      if (legal) circuits.push_back(*circuit);
    }
  }
  if (!legal) {
    ++counters_.refused_incoming;
    return Clear(key, "", false, refusal);
  }
  offer.call_class = meaning->call_class;
  // Where the call began, rules may have put it into another class than its number says.
  const auto& names = settings_.class_names;
  const auto named = std::find(names.begin(), names.end(), message.Get(wire_names::kClass));
  if (named != names.end()) offer.call_class = static_cast<int>(named - names.begin());
  offer.customer = meaning->customer;
  offer.destination = meaning->destination;
  offer.width = circuits.size();
  const CallClass& call_class = settings_.core.module.classes[static_cast<std::size_t>(offer.call_class)];
  offer.caller_timeout_us = call_class.deadline_us;
  if (const auto patience = wire_names::Number<std::uint32_t>(message.Get(wire_names::kPatience)))
    offer.caller_timeout_us = TimeUs{*patience} * 1000;
  offer.caller_timeout_us -= std::min(offer.caller_timeout_us, runtime_->QueueDelay());  // it runs from the arrival
  // The legs stand before the core takes the call: it may answer or refuse at once. Their call is known with it.
  for (const core::CircuitNumber circuit : circuits) {
    const auto held = legs_.find(KeyOf(GroupOf(key), circuit));
    if (held == legs_.end()) continue;
    // The gateway tells of a seizure only once it holds: ours was refused there, though the word of it is still on
    // its way or lost. One that it had acknowledged may have gone out: its release is awaited.
    const bool acknowledged = held->second.seizure == 0;
    held->second.refused = true;
    const Leg lost = held->second;
    core_->OnTrunkReleased(
        lost.call, lost.attempt,
        {acknowledged ? ReleaseCause::kTemporaryFailure : ReleaseCause::kGlare, core_->own_number()});
  }
  for (const core::CircuitNumber circuit : circuits) {
    const Key at = KeyOf(GroupOf(key), circuit);
    // Out of service for doubt only: that the gateway tells of a seizure settles it, for it tells of none on a circuit
    // that was not idle at this end.
    if (withdrawn_.count(at) == 0 && out_of_service_.erase(at) > 0)
      core_->OnCircuitInService(GroupOf(at), CircuitOf(at));
    releases_.erase(at);
    seen_seized_.erase(at);
    Leg leg;
    leg.request = next_request_++;
    legs_[at] = leg;
  }
  const core::SeizureResult taken = core_->AcceptIncoming(GroupOf(key), circuits, offer, origin);
  if (taken != core::SeizureResult::kAccepted) {
    ++counters_.refused_incoming;
    for (const core::CircuitNumber circuit : circuits) legs_.erase(KeyOf(GroupOf(key), circuit));
    refusal.cause = taken == core::SeizureResult::kGlare ? ReleaseCause::kGlare : ReleaseCause::kNotInService;
    return Clear(key, "", false, refusal);
  }
  // Refused or failed at once, the legs are gone; else they belong to the call that holds the circuit.
  const core::CircuitGroup* group = core_->Group(GroupOf(key));
  for (const core::CircuitNumber circuit : circuits) {
    const auto leg = legs_.find(KeyOf(GroupOf(key), circuit));
    if (leg != legs_.end()) leg->second.call = group->HeldBy(circuit);
  }
}

void TrunkGateway::OnReleased(Key key, std::uint32_t request, const mgcp::EventRef& rel, const mgcp::Message& message) {
  ReleaseInfo info;
  info.cause = CauseOf(rel.parameters);
  info.exchange_number = wire_names::Number<int>(message.Get(wire_names::kAt)).value_or(-1);
  info.wait_us = TimeUs{wire_names::Number<std::uint32_t>(message.Get(wire_names::kWait)).value_or(0)} * 1000;
  info.load = LoadOf(message);
  const auto found = legs_.find(key);
  // Both ends let go at once: ours is on its way already, and its answer frees the circuit.
  if (const auto release = releases_.find(key); found == legs_.end() && release != releases_.end()) {
    release->second.far_released = true;
    return;
  }
  // Of an earlier use of the circuit, perhaps before this edge was restarted. What is on it now may be another call,
  // so nothing is cleared on this word: the circuit is looked at. An incoming call is under the request that its
  // seizure was told by, until it is answered.
  const auto armed = armed_.find(key);
  const bool incoming =
      found != legs_.end() && found->second.attempt < 0 && (armed == armed_.end() || request == armed->second);
  if (found == legs_.end() || (request != found->second.request && !incoming)) {
    ++counters_.stale_events;
    return Audit(key);
  }
  LetGo(key, info);
}

void TrunkGateway::LetGo(Key key, const ReleaseInfo& info) {
  Leg& held = legs_.at(key);
  held.far_released = true;
  const Leg leg = held;
  if (leg.attempt >= 0) {
    core_->OnTrunkReleased(leg.call, leg.attempt, info);
  } else {
    core_->OnIncomingReleased(leg.call, info.cause);
  }
}

void TrunkGateway::Answer(const core::CircuitSet& set, std::string_view session) {
  if (set.circuits.empty()) return;
  const Key key = KeyOf(set.group, set.circuits.front());
  const auto leg = legs_.find(key);
  if (leg == legs_.end()) return;
  leg->second.answered = true;
  std::string body;
  Writer writer(&body);
  writer.Line("C", CallParameter(core_->own_number(), set.call)).Line("L", "p:20, a:PCMU").Line("M", "sendrecv");
  body += Request(leg->second.request, kEvents);
  writer.Line("S", "MS/ans").Session(session);
  Send(key, Verb::kCrcx, std::move(body), [this, key, call = set.call](const Answered& answered) {
    const auto at = legs_.find(key);
    if (answered.ok() && at != legs_.end() && at->second.call == call)
      at->second.connection = answered.message->Get("I");
  });
}

// ---- releases ----

void TrunkGateway::Release(const core::CircuitSet& set, const ReleaseInfo& info) {
  const mgcp::Transactions::Cork cork(transactions_);
  for (const core::CircuitNumber circuit : set.circuits) {
    const Key key = KeyOf(set.group, circuit);
    const auto found = legs_.find(key);
    if (found == legs_.end()) continue;
    const Leg leg = std::move(found->second);
    legs_.erase(found);
    // A seizure that is still unanswered must not be repeated behind its release.
    if (leg.seizure != 0) transactions_->StopRepeating(leg.seizure);
    ++counters_.released;
    if (leg.refused) {
      // A release here would let go of the far end's seizure, which is why ours was refused. Its notification, or
      // an audit, tells what the circuit is.
      releases_[key] = {runtime_->Now(), 0, false};
      if (leg.idle) Free(key);
      continue;
    }
    Clear(key, leg.connection, leg.far_released, info);
  }
}

void TrunkGateway::Clear(Key key, const std::string& connection, bool far_released, const ReleaseInfo& info) {
  ReleaseState& state = releases_[key];
  state = {runtime_->Now(), next_request_++, far_released};
  armed_[key] = state.request;
  std::string body;
  Writer writer(&body);
  if (!connection.empty()) writer.Line("I", connection);
  body += Request(state.request, "MS/sup, MS/rlc");
  writer.Line("S", RelSignal(info));
  if (info.exchange_number >= 0) writer.Line(wire_names::kAt, std::to_string(info.exchange_number));
  if (info.wait_us > 0) writer.Line(wire_names::kWait, std::to_string(info.wait_us / 1000));
  Send(key, Verb::kDlcx, std::move(body), [this, key, request = state.request](const Answered& answered) {
    if (answered.ok()) unarmed_.erase(key);
    const auto release = releases_.find(key);
    if (release == releases_.end() || release->second.request != request) return;
    // Not answered, or answered with an error: nothing was deleted, and the sweep asks again.
    if (!answered.ok() && answered.code() != mgcp::kUnknownConnection && answered.code() != mgcp::kUnknownCall) return;
    const auto says = answered.message->Get(wire_names::kState);
    if (says == "idle" || (says.empty() && release->second.far_released)) Free(key);
  });
}

void TrunkGateway::Free(Key key) {
  releases_.erase(key);
  if (withdrawn_.count(key) > 0) return TakeOut(key);
  // Cleared while it was out of service: it is known to be idle at both ends now, which is all that was in doubt.
  if (out_of_service_.erase(key) > 0) return core_->OnCircuitInService(GroupOf(key), CircuitOf(key));
  core_->OnCircuitFree(GroupOf(key), CircuitOf(key));
}

void TrunkGateway::TakeOut(Key key) {
  ++counters_.out_of_service;
  out_of_service_.insert(key);
  releases_.erase(key);
  core_->OnCircuitOutOfService(GroupOf(key), CircuitOf(key));
  legs_.erase(key);
}

// ---- audits ----

void TrunkGateway::SignOfLife(Key key) {
  if (withdrawn_.count(key) > 0) return;
  ++counters_.signs_of_life;
  // The answer on its way may be of before what was heard now.
  if (auditing_.count(key) > 0) look_again_.insert(key);
  Audit(key);
}

void TrunkGateway::Audit(Key key) {
  if (!auditing_.insert(key).second) return;
  to_audit_.push_back(key);
  AuditNext();
}

void TrunkGateway::AuditNext() {
  while (audits_out_ < kAuditWindow && !to_audit_.empty()) {
    const Key key = to_audit_.front();
    to_audit_.pop_front();
    ++audits_out_;
    ++counters_.audits;
    Send(key, Verb::kAuep, "F: I, ES, RM\r\n", [this, key](const Answered& answered) {
      --audits_out_;
      auditing_.erase(key);
      OnAudited(key, answered);
      if (look_again_.erase(key) > 0) Audit(key);
      AuditNext();
    });
  }
}

void TrunkGateway::OnAudited(Key key, const Answered& answered) {
  if (answered.message != nullptr) {
    doubtful_.erase(key);
  } else if (legs_.count(key) > 0) {
    doubtful_.insert(key);  // taken into use while the look was on its way
  }
  if (const auto leg = legs_.find(key); leg != legs_.end()) {
    // In use: only a release that was not told matters. An idle circuit under a set-up still on its way is none.
    if (!answered.ok()) return;
    const auto says = answered.message->Get(wire_names::kState);
    const bool released = says == "far-released" || (says == "idle" && !leg->second.connection.empty());
    if (released) LetGo(key, {ReleaseCause::kTemporaryFailure, core_->own_number()});
    return;
  }
  if (answered.message == nullptr) return;  // the gateway is away; the sweep asks again
  if (!answered.ok()) {
    if (out_of_service_.count(key) == 0) TakeOut(key);
    return;
  }
  const auto says = answered.message->Get(wire_names::kState);
  const std::string connection(answered.message->Get("I"));
  const bool idle = says.empty() ? connection.empty() : says == "idle";
  if (says != "seized-in") seen_seized_.erase(key);
  if (idle) {
    // An audit that says so explicitly counts as the gateway's word: the RSIP may have been told to a former life.
    if (mgcp::EqualsIgnoringCase(answered.message->Get("RM"), "restart")) withdrawn_.erase(key);
    if (withdrawn_.count(key) > 0) {
      if (out_of_service_.count(key) == 0) TakeOut(key);
    } else {
      Free(key);
    }
    return;
  }
  if (says == "blocked") {
    // By maintenance or a fault further on: it carries nothing until the gateway says otherwise.
    if (out_of_service_.count(key) == 0) TakeOut(key);
    return;
  }
  if (says == "releasing") {
    // Our part is done, the far end's is not: its release complete, or the next sweep, is the next look.
    releases_.try_emplace(key, ReleaseState{runtime_->Now(), 0, false});
    return;
  }
  if (says == "far-released") return Clear(key, connection, true, {ReleaseCause::kNormal, core_->own_number()});
  if (says == "seized-in" && connection.empty()) {
    // The far end seized it and we were not told: its set-up may still be in line at the processor. Only one that
    // stays so is cleared.
    const TimeUs since = seen_seized_.emplace(key, runtime_->Now()).first->second;
    if (runtime_->Now() - since < kLooksApart * settings_.audit_us) return;
    seen_seized_.erase(key);
  }
  // Left busy by a former life of this edge, or its release was lost.
  ++counters_.cleared;
  Clear(key, connection, false, {ReleaseCause::kTemporaryFailure, core_->own_number()});
}

void TrunkGateway::Sweep() {
  const TimeUs now = runtime_->Now();
  std::vector<Key> due;
  for (const auto& [key, release] : releases_) {
    if (now - release.since >= settings_.audit_us) due.push_back(key);
  }
  // A look that was not answered is taken again: the release of such a call may have been told to nobody.
  due.insert(due.end(), doubtful_.begin(), doubtful_.end());
  if (++sweeps_ % kOutOfServiceSweeps == 0) due.insert(due.end(), out_of_service_.begin(), out_of_service_.end());
  for (const core::GroupSettings& group : settings_.core.groups) {
    const core::CircuitGroup* circuits = core_->Group(group.number);
    if (circuits->Count(core::CircuitState::kUnknown) == 0) continue;
    for (unsigned circuit = 0; circuit < group.circuits; ++circuit) {
      if (circuits->State(static_cast<core::CircuitNumber>(circuit)) == core::CircuitState::kUnknown)
        due.push_back(KeyOf(group.number, circuit));
    }
  }
  std::sort(due.begin(), due.end());  // the same order on every run
  for (const Key key : due) Audit(key);
  sweep_.Start(settings_.audit_us, [this] { Sweep(); });
}

void TrunkGateway::OnRestart(const mgcp::Message& message) {
  const auto method = message.Get("RM");
  std::vector<Key> named;
  for (const Key key : known_) {
    const std::string name = Name(key);
    if (mgcp::EndpointMatches(message.endpoint.local, std::string_view(name).substr(0, name.rfind('@'))))
      named.push_back(key);
  }
  if (named.empty()) return;
  ++counters_.restarts;
  std::sort(named.begin(), named.end());
  const bool cancelled = mgcp::EqualsIgnoringCase(method, "cancel-graceful");
  for (const Key key : named) {
    if (mgcp::EqualsIgnoringCase(method, "graceful")) {
      // Calls in progress go on; nothing new. What is in use, or not yet given back, leaves when it is free.
      withdrawn_.insert(key);
      if (legs_.count(key) == 0 && releases_.count(key) == 0) TakeOut(key);
    } else if (mgcp::EqualsIgnoringCase(method, "disconnected") || cancelled) {
      withdrawn_.erase(key);
      if (legs_.count(key) > 0) doubtful_.insert(key);
      Audit(key);
    } else {
      // restart, forced: what was on it is cut, and the request it had is forgotten there (RFC 3435 4.4.5, as known):
      // until it has answered a new one, which clearing may give it, a seizure is told under none.
      armed_[key] = 0;
      unarmed_.insert(key);
      TakeOut(key);
      if (mgcp::EqualsIgnoringCase(method, "forced")) {
        withdrawn_.insert(key);
      } else {
        withdrawn_.erase(key);
        Audit(key);
      }
    }
  }
}

void TrunkGateway::ProbeGroup(int group) {
  const TimeUs sent = runtime_->Now();
  const std::string endpoint = std::string(wire_names::kFar) + std::to_string(group) + "@" + settings_.domain;
  transactions_->Send(settings_.gateway, {Verb::kAuep, endpoint, "F: ES\r\n", [this, group, sent](const Answered& a) {
                                            core_->OnProbed(group, a.ok(), runtime_->Now() - sent,
                                                            a.ok() ? LoadOf(*a.message) : core::LoadReport{});
                                          }});
}

}  // namespace croftrun::edge
