#include "lab/gateway.h"

#include <utility>

#include "edge/wire_names.h"
#include "lab/numbering.h"

namespace croftrun::lab {
namespace {

using mgcp::Verb;
using mgcp::Writer;

// Finds a signal by package and name in a parsed `S:` parameter; null if there is none.
const mgcp::EventRef* FindEvent(const std::optional<std::vector<mgcp::EventRef>>& events, std::string_view package,
                                std::string_view name) {
  if (!events) return nullptr;
  for (const mgcp::EventRef& event : *events) {
    if (mgcp::EqualsIgnoringCase(event.package, package) && mgcp::EqualsIgnoringCase(event.name, name)) return &event;
  }
  return nullptr;
}

}  // namespace

Gateway::Gateway(const GatewaySettings& settings, core::Runtime* runtime, Network* network,
                 CallerEventHandler on_caller_event)
    : settings_(settings),
      runtime_(runtime),
      network_(network),
      on_caller_event_(std::move(on_caller_event)),
      lines_(static_cast<std::size_t>(settings.lines) + 1),
      transactions_(runtime, settings.address, settings.transactions,
                    [this](auto id, const auto&, const auto& message) { OnCommand(id, message); }) {
  network_->SetUser(settings_.number, this);
}

std::string Gateway::NextConnectionId() {
  std::string hex(8, '0');
  std::uint32_t value = next_connection_++;
  for (std::size_t i = 8; i-- > 0; value >>= 4U) hex[i] = "0123456789ABCDEF"[value & 15U];
  return hex;
}

// ---- Callers ----

bool Gateway::IsLineIdle(int number) const {
  const Line& line = lines_[static_cast<std::size_t>(number)];
  return !line.in_use && !line.off_hook && !line.ringing && line.connection.empty();
}

bool Gateway::Dial(int number, const std::string& digits, TimeUs caller_timeout_us) {
  Line& line = lines_[static_cast<std::size_t>(number)];
  if (!IsLineIdle(number)) return false;
  line.in_use = true;
  line.off_hook = true;
  line.pending_digits = digits;
  line.caller_timeout_us = caller_timeout_us;
  line.generation = next_generation_++;
  SendDialledDigits(number, line);
  return true;
}

void Gateway::SendDialledDigits(int number, Line& line) {
  if (line.pending_digits.empty() || !line.off_hook_requested || !line.digit_map) return;
  // Digits are collected until the map matches or the caller stops dialling; here all of them are dialled at once.
  const std::string digits = std::exchange(line.pending_digits, {});
  if (line.digit_map->Check(digits, true) == mgcp::DigitMap::Match::kNo) return;
  line.off_hook_requested = false;
  network_->ProcessOfferedCall(settings_.number);
  std::string events = "L/hd";
  for (const char digit : digits) events += std::string(", D/") + digit;
  std::string parameters;
  Writer(&parameters).Line(wire_names::kCallerTimeout, std::to_string(line.caller_timeout_us / 1000));
  NotifyLine(number, line, events, parameters);
}

void Gateway::HangUp(int number) {
  Line& line = lines_[static_cast<std::size_t>(number)];
  if (!line.off_hook) return;
  line.off_hook = false;
  line.in_use = false;
  line.pending_digits.clear();
  NotifyLine(number, line, "L/hu");
}

void Gateway::Notify(std::string endpoint, std::string body) {
  if (faults_.unreachable) return;
  auto& queue = notifications_[endpoint];
  queue.push_back(std::move(body));
  if (queue.size() > 1) return;
  SendNextNotification(endpoint);
}

void Gateway::SendNextNotification(const std::string& endpoint) {
  transactions_.Send(settings_.agent, {Verb::kNtfy, endpoint, notifications_[endpoint].front(),
                                       [this, endpoint](const mgcp::TransactionResult& answered) {
                                         if (answered.code() >= 400) OnNotificationRejected(endpoint, answered.message);
                                         auto& queue = notifications_[endpoint];
                                         queue.pop_front();
                                         if (!queue.empty()) return SendNextNotification(endpoint);
                                         notifications_.erase(endpoint);
                                       }});
}

// The call agent rejected a notification: reports the failure to the caller on that line.
void Gateway::OnNotificationRejected(const std::string& endpoint, const mgcp::Message* answer) {
  const auto number = wire_names::ParseLine(std::string_view(endpoint).substr(0, endpoint.rfind('@')));
  if (!number) return;
  const Line& line = lines_[static_cast<std::size_t>(*number)];
  if (!line.in_use || !line.connection.empty()) return;
  const bool refused = answer != nullptr && answer->Get(wire_names::kAnswer) == "refused";
  const auto retry_after_ms =
      refused ? wire_names::Number<std::uint32_t>(answer->Get(wire_names::kRetryAfter)).value_or(0) : 0;
  on_caller_event_(*number, refused ? CallerEvent::kRefused : CallerEvent::kFailed, TimeUs{retry_after_ms} * 1000);
}

void Gateway::NotifyLine(int number, const Line& line, std::string_view events, std::string_view more) {
  std::string body;
  Writer(&body).Line("X", line.request.empty() ? "0" : line.request).Line("O", events);
  Notify(wire_names::Line(number, settings_.domain), body + std::string(more));
}

void Gateway::NotifyCircuit(const CircuitId& circuit, std::string_view event, std::string more) {
  const Trunk& trunk = trunks_[circuit];
  std::string body;
  Writer(&body).Line("X", trunk.request.empty() ? "0" : trunk.request).Line("O", event);
  Notify(wire_names::Circuit(circuit.far, circuit.circuit, settings_.domain), body + more);
}

// ---- Commands ----

void Gateway::OnCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message) {
  if (faults_.unreachable) return;
  if (faults_.error_code != 0) return transactions_.Respond(id, faults_.error_code, {}, "as told");
  if (!mgcp::EqualsIgnoringCase(message.endpoint.domain, settings_.domain))
    return transactions_.Respond(id, mgcp::kUnknownEndpoint);
  const std::string_view local = message.endpoint.local;
  if (local.substr(0, wire_names::kFarProcessors.size()) == wire_names::kFarProcessors) {
    const auto far = wire_names::Number<int>(local.substr(wire_names::kFarProcessors.size()));
    if (message.verb != Verb::kAuep || !far || *far < 0 || *far >= static_cast<int>(network_->size()))
      return transactions_.Respond(id, mgcp::kUnknownEndpoint);
    return network_->Probe(settings_.number, *far, [this, alive = alive_, id](const std::vector<double>& load) {
      if (!*alive) return;
      std::string list, body;
      for (const double figure : load) list += (list.empty() ? "" : ",") + std::to_string(figure);
      Writer(&body).Line(wire_names::kLoad, list);
      transactions_.Respond(id, mgcp::kOk, body);
    });
  }
  if (const auto circuit = wire_names::ParseCircuit(local)) {
    if (circuit->circuit >= network_->Circuits(settings_.number, circuit->group))
      return transactions_.Respond(id, mgcp::kUnknownEndpoint);
    return OnCircuitCommand(id, message, {circuit->group, circuit->circuit});
  }
  if (const auto line = wire_names::ParseLine(local); line && *line >= 1 && *line <= settings_.lines)
    return OnLineCommand(id, message, *line);
  if (local == std::string(wire_names::kLines) + "*" && (message.verb == Verb::kRqnt || message.verb == Verb::kDlcx)) {
    for (std::size_t i = 1; i < lines_.size(); ++i) {
      if (message.verb == Verb::kDlcx) {
        lines_[i].connection.clear();
      } else {
        ApplyRequest(message, lines_[i]);
        SendDialledDigits(static_cast<int>(i), lines_[i]);
      }
    }
    return transactions_.Respond(id, message.verb == Verb::kDlcx ? mgcp::kDeleted : mgcp::kOk);
  }
  transactions_.Respond(id, mgcp::kUnknownEndpoint, {}, "no such endpoint");
}

void Gateway::ApplyRequest(const mgcp::Message& message, Line& line) {
  if (const mgcp::Parameter* request = message.Find("X")) line.request = request->value;
  const mgcp::Parameter* wanted = message.Find("R");
  if (wanted == nullptr) return;
  line.off_hook_requested = false;
  const auto events = mgcp::ParseEventList(wanted->value);
  if (!events) return;
  for (const mgcp::EventRef& event : *events) {
    if (!mgcp::EqualsIgnoringCase(event.name, "hd")) continue;
    line.off_hook_requested = true;
    // L/hd(E(R(...),D((map)),S(...))): the embedded request, which takes effect once the line is off hook.
    const auto embedded = mgcp::Argument(event.parameters, "E");
    line.digit_map = mgcp::DigitMap::Parse(mgcp::Argument(embedded, "D"));
  }
}

void Gateway::ApplySignals(const mgcp::Message& message, int number, Line& line) {
  const auto signals = mgcp::ParseEventList(message.Get("S"));
  if (!signals || !line.in_use) return;
  const bool refused = message.Get(wire_names::kAnswer) == "refused";
  for (const mgcp::EventRef& signal : *signals) {
    const bool tone = mgcp::EqualsIgnoringCase(signal.name, "cg") || mgcp::EqualsIgnoringCase(signal.name, "ro") ||
                      mgcp::EqualsIgnoringCase(signal.name, "bz");
    if (!tone || message.Find(wire_names::kAnswer) == nullptr) continue;
    const auto retry_after_ms = wire_names::Number<std::uint32_t>(message.Get(wire_names::kRetryAfter)).value_or(0);
    const bool busy = mgcp::EqualsIgnoringCase(signal.name, "bz");
    on_caller_event_(number,
                     refused ? CallerEvent::kRefused
                     : busy  ? CallerEvent::kBusy
                             : CallerEvent::kFailed,
                     TimeUs{retry_after_ms} * 1000);
    return;
  }
}

void Gateway::OnLineCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message, int number) {
  Line& line = lines_[static_cast<std::size_t>(number)];
  const auto signals = mgcp::ParseEventList(message.Get("S"));
  std::string body;
  switch (message.verb) {
    case Verb::kCrcx: {
      const bool ring = FindEvent(signals, "L", "rg") != nullptr;
      if (ring && line.off_hook) return transactions_.Respond(id, mgcp::kAlreadyOffHook, {}, "phone off hook");
      if (!ring && !line.off_hook) return transactions_.Respond(id, mgcp::kAlreadyOnHook, {}, "phone on hook");
      ApplyRequest(message, line);
      line.connection = NextConnectionId();
      Writer(&body).Line("I", line.connection).Session(SessionDescription(settings_.address, line.connection));
      transactions_.Respond(id, mgcp::kOk, body);
      if (!ring) {
        if (line.in_use) on_caller_event_(number, CallerEvent::kAnswered, 0);
        return;
      }
      line.ringing = true;
      line.generation = next_generation_++;
      runtime_->StartTimer(settings_.ring_us, [this, alive = alive_, number, generation = line.generation] {
        if (!*alive) return;
        Line& ringing_line = lines_[static_cast<std::size_t>(number)];
        if (ringing_line.generation != generation || !ringing_line.ringing) return;
        ringing_line.ringing = false;
        ringing_line.off_hook = true;
        NotifyLine(number, ringing_line, "L/hd");
      });
      return;
    }
    case Verb::kMdcx:
    case Verb::kRqnt: {
      // A tone is rejected if the phone is on hook.
      if (message.verb == Verb::kRqnt && message.Find(wire_names::kAnswer) != nullptr && !line.off_hook)
        return transactions_.Respond(id, mgcp::kAlreadyOnHook, {}, "phone on hook");
      ApplyRequest(message, line);
      transactions_.Respond(id, mgcp::kOk);
      ApplySignals(message, number, line);
      return SendDialledDigits(number, line);
    }
    case Verb::kDlcx: {
      ApplyRequest(message, line);
      const bool had_connection = !std::exchange(line.connection, {}).empty();
      Writer(&body).Line("P", "PS=0, OS=0, PR=0, OR=0, PL=0, JI=0, LA=0");
      transactions_.Respond(id, mgcp::kDeleted, body);
      line.ringing = false;
      if (had_connection && line.off_hook) {
        // The other party hung up. A simulated caller is notified and hangs up itself; a called line goes on hook here.
        if (line.in_use) {
          on_caller_event_(number, CallerEvent::kEnded, 0);
        } else {
          HangUp(number);
        }
      }
      return SendDialledDigits(number, line);
    }
    case Verb::kAuep:
      Writer(&body).Line("I", line.connection).Line("ES", line.off_hook ? "L/hd" : "L/hu");
      return transactions_.Respond(id, mgcp::kOk, body);
    default:
      return transactions_.Respond(id, mgcp::kUnsupportedCommand);
  }
}

std::string Gateway::CircuitState(const CircuitId& circuit) const {
  std::string body;
  Writer(&body).Line(wire_names::kState, network_->State(settings_.number, circuit));
  return body;
}

void Gateway::OnCircuitCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message,
                               const CircuitId& circuit) {
  Trunk& trunk = trunks_[circuit];
  const auto signals = mgcp::ParseEventList(message.Get("S"));
  std::string body;
  switch (message.verb) {
    case Verb::kCrcx: {
      if (const auto* sup = FindEvent(signals, "MS", "sup"))
        return HandleSetUpCommand(id, message, circuit, sup->parameters);
      const bool answers = FindEvent(signals, "MS", "ans") != nullptr;
      const bool idle = network_->IsIdle(settings_.number, circuit);
      if (answers ? idle : !idle) return transactions_.Respond(id, mgcp::kGlare, CircuitState(circuit), "in use");
      trunk.request = message.Get("X");
      trunk.connection = NextConnectionId();
      Writer(&body).Line("I", trunk.connection).Session(SessionDescription(settings_.address, trunk.connection));
      transactions_.Respond(id, mgcp::kOk, body);
      if (answers) network_->Answer(settings_.number, circuit);
      return;
    }
    case Verb::kMdcx:
    case Verb::kRqnt:
      if (const auto* request = message.Find("X")) trunk.request = request->value;
      return transactions_.Respond(id, mgcp::kOk, CircuitState(circuit));
    case Verb::kDlcx: {
      const auto* rel = FindEvent(signals, "MS", "rel");
      ReleaseDetails details;
      if (rel != nullptr) details.cause = wire_names::Number<int>(rel->parameters).value_or(41);
      details.exchange = wire_names::Number<int>(message.Get(wire_names::kCauseExchange)).value_or(settings_.number);
      details.wait_us = TimeUs{wire_names::Number<std::uint32_t>(message.Get(wire_names::kWait)).value_or(0)} * 1000;
      if (const auto* request = message.Find("X")) trunk.request = trunk.seizure_request = request->value;
      trunk.connection.clear();
      network_->Release(settings_.number, circuit, details);
      body = CircuitState(circuit);
      Writer(&body).Line("P", "PS=0, OS=0, PR=0, OR=0, PL=0, JI=0, LA=0");
      return transactions_.Respond(id, mgcp::kDeleted, body);
    }
    case Verb::kAuep:
      body = CircuitState(circuit);
      Writer(&body).Line("I", trunk.connection);
      return transactions_.Respond(id, mgcp::kOk, body);
    default:
      return transactions_.Respond(id, mgcp::kUnsupportedCommand);
  }
}

void Gateway::HandleSetUpCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message,
                                 const CircuitId& circuit, std::string_view sup) {
  if (!network_->At(settings_.number).alive)
    return transactions_.Respond(id, mgcp::kInsufficientResources, CircuitState(circuit),
                                 "own processor out of service");
  SetUpInfo info;
  info.called = mgcp::Argument(sup, "addr");
  info.calling = mgcp::Argument(sup, "id");
  info.call_class = message.Get(wire_names::kClass);
  info.origin = wire_names::Number<int>(message.Get(wire_names::kOrigin)).value_or(-1);
  info.caller_timeout_us =
      TimeUs{wire_names::Number<std::uint32_t>(message.Get(wire_names::kCallerTimeout)).value_or(0)} * 1000;
  info.destination = ExchangeOf(info.called);
  if (const auto additional_circuits = mgcp::SplitTopLevel(message.Get(wire_names::kCircuitList))) {
    for (const std::string_view other : *additional_circuits) {
      if (const auto number = wire_names::Number<unsigned>(other)) info.additional_circuits.push_back(*number);
    }
  }
  Trunk& trunk = trunks_[circuit];
  const bool suppress_seizure = faults_.silent_after_ack;
  if (!network_->IsIdle(settings_.number, circuit) ||
      (!suppress_seizure && !network_->Seize(settings_.number, circuit, info)))
    return transactions_.Respond(id, mgcp::kGlare, CircuitState(circuit), "in use");
  trunk.request = message.Get("X");
  trunk.connection = NextConnectionId();
  std::string body;
  Writer(&body).Line("I", trunk.connection).Session(SessionDescription(settings_.address, trunk.connection));
  transactions_.Respond(id, mgcp::kOk, body);
}

void Gateway::Restart(std::string_view method, std::string_view endpoints) {
  const bool gone = method != "graceful" && method != "disconnected";
  for (std::size_t i = 1; gone && i < lines_.size(); ++i) {
    if (!mgcp::EndpointMatches(endpoints, std::string(wire_names::kLines) + std::to_string(i))) continue;
    Line& line = lines_[i];
    const bool caller_off_hook = line.in_use && line.off_hook;
    line.connection.clear();
    line.ringing = false;
    line.off_hook_requested = false;
    line.off_hook = false;
    if (std::exchange(line.in_use, false) && caller_off_hook)
      on_caller_event_(static_cast<int>(i), CallerEvent::kEnded, 0);
  }
  for (auto& [circuit, trunk] : trunks_) {
    if (!gone) break;
    const std::string name = wire_names::Circuit(circuit.far, circuit.circuit, settings_.domain);
    if (!mgcp::EndpointMatches(endpoints, std::string_view(name).substr(0, name.rfind('@')))) continue;
    trunk = {};
    network_->Release(settings_.number, circuit, {41, settings_.number, 0, {}});
  }
  std::string body;
  Writer(&body).Line("RM", method);
  transactions_.Send(settings_.agent, {Verb::kRsip, std::string(endpoints) + "@" + settings_.domain, body, {}});
}

// ---- Circuits ----

void Gateway::OnSeizure(const CircuitId& circuit, const SetUpInfo& info) {
  std::string more;
  Writer writer(&more);
  writer.Line(wire_names::kOrigin, std::to_string(info.origin)).Line(wire_names::kClass, info.call_class);
  writer.Line(wire_names::kCallerTimeout, std::to_string(info.caller_timeout_us / 1000));
  std::string additional_circuits;
  for (const unsigned other : info.additional_circuits)
    additional_circuits += (additional_circuits.empty() ? "" : ",") + std::to_string(other);
  if (!additional_circuits.empty()) writer.Line(wire_names::kCircuitList, additional_circuits);
  trunks_[circuit].request = trunks_[circuit].seizure_request;
  NotifyCircuit(circuit, "MS/sup(addr(" + info.called + "),id(" + info.calling + "))", more);
}

void Gateway::OnAnswer(const CircuitId& circuit) {
  if (faults_.answer_notify_delay_us == 0) return NotifyCircuit(circuit, "MS/ans");
  // Keeps the current request identifier, so that the call agent can recognize a late notification as belonging to an
  // attempt that has ended.
  const std::string request = trunks_[circuit].request;
  runtime_->StartTimer(faults_.answer_notify_delay_us, [this, alive = alive_, circuit, request] {
    if (!*alive) return;
    std::string body;
    Writer(&body).Line("X", request).Line("O", "MS/ans");
    Notify(wire_names::Circuit(circuit.far, circuit.circuit, settings_.domain), body);
  });
}

void Gateway::OnRelease(const CircuitId& circuit, const ReleaseDetails& details) {
  std::string more;
  Writer writer(&more);
  if (details.exchange >= 0) writer.Line(wire_names::kCauseExchange, std::to_string(details.exchange));
  if (details.wait_us > 0) writer.Line(wire_names::kWait, std::to_string(details.wait_us / 1000));
  std::string list;
  for (const double figure : details.load) list += (list.empty() ? "" : ",") + std::to_string(figure);
  if (!list.empty()) writer.Line(wire_names::kLoad, list);
  NotifyCircuit(circuit, "MS/rel(" + std::to_string(details.cause) + ")", more);
}

void Gateway::OnReleaseComplete(const CircuitId& circuit) { NotifyCircuit(circuit, "MS/rlc"); }

void Gateway::OnBlocked(const CircuitId& circuit, bool blocked) {
  if (faults_.unreachable) return;
  std::string body;
  Writer(&body).Line("RM", blocked ? "forced" : "restart");
  transactions_.Send(settings_.agent,
                     {Verb::kRsip, wire_names::Circuit(circuit.far, circuit.circuit, settings_.domain), body, {}});
}

}  // namespace croftrun::lab
