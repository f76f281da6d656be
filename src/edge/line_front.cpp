#include "edge/line_front.h"

#include <algorithm>
#include <array>
#include <utility>

#include "edge/wire_names.h"

namespace croftrun::edge {
namespace {

using mgcp::TransactionResult;
using mgcp::Verb;
using mgcp::Writer;

// Interval at which the arming of all lines is repeated while the gateway does not respond.
constexpr TimeUs kArmRetryInterval = 2'000'000;

std::string Hex(std::uint64_t value) {
  std::array<char, 16> digits;
  const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return error == std::errc() ? std::string(digits.data(), end) : std::string("0");
}

}  // namespace

std::string CallParameter(int own_number, CallId call) {
  return Hex(static_cast<std::uint64_t>(own_number)) + "F" + Hex(call);
}

LineFront::LineFront(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core,
                     AdmissionFront* admission_front, mgcp::Transactions* transactions, core::Logger* log)
    : settings_(settings),
      runtime_(runtime),
      core_(core),
      admission_front_(admission_front),
      transactions_(transactions),
      log_(log),
      lines_(static_cast<std::size_t>(settings.lines.count) + 1),
      rule_seed_(runtime->Random()),
      arm_retry_timer_(runtime) {
  SetClassifier(settings.classifier);
}

void LineFront::SetClassifier(std::shared_ptr<const Classifier> classifier) {
  classifier_ = std::move(classifier);
  ++rules_version_;
  if (classifier_ == nullptr) return rule_state_.reset();
  if (rule_state_) return rule_state_->ReplaceRules(classifier_->rules(), rule_seed_);
  rule_state_.emplace(classifier_->rules(), rule_seed_);
}

Classifier::Result LineFront::PrepareCall(const core::NumberMeaning& meaning, TimeUs caller_timeout_us, int line,
                                          core::CallRequest* call_request) {
  call_request->call_class = meaning.call_class;
  if (call_request->customer < 0 || line > 0) call_request->customer = meaning.customer;
  call_request->destination = meaning.destination;
  const TimeUs waited = runtime_->QueueDelay();
  const auto apply_class = [&] {
    const CallClass& call_class = settings_.core.module.classes[static_cast<std::size_t>(call_request->call_class)];
    call_request->width = static_cast<std::size_t>(call_class.width);
    call_request->caller_timeout_us = caller_timeout_us > 0 ? caller_timeout_us : call_class.deadline_us;
    // The timeout runs from the arrival of the digits, not from the time they are processed.
    call_request->caller_timeout_us -= std::min(call_request->caller_timeout_us, waited);
  };
  apply_class();
  if (classifier_ == nullptr) return {};
  const Classifier::Result result = ApplyRules(call_request, line);
  if (result.refuse) {
    ++counters_.refused_by_rule;
    return result;
  }
  if (result.rule != nullptr) apply_class();  // width and caller timeout depend on the class
  if (result.outcome.budget_us)
    call_request->caller_timeout_us = std::min(
        call_request->caller_timeout_us, static_cast<TimeUs>(std::max<std::int64_t>(1, *result.outcome.budget_us)));
  return result;
}

Classifier::Result LineFront::ApplyRules(core::CallRequest* call_request, int line) {
  call_request->rules = rules_version_;
  const CallFacts facts{line, settings_.gateway.host, core_->RefusedShare()};
  const expr::CallTime call_time{runtime_->Now(), classifier_->rules().calendar.empty() ? 0 : runtime_->WallClockUs()};
  const Classifier::Result result = classifier_->Apply(call_request, facts, call_time, &*rule_state_);
  if (result.rule != nullptr && log_->IsEnabled(core::LogLevel::kDebug)) {
    std::string detail = call_request->calling + ": rule " +
                         (result.rule->name.empty() ? std::to_string(result.rule->line) : result.rule->name);
    for (std::size_t i = 0; i < result.outcome.tag_count; ++i)
      detail += (i == 0 ? ", tags " : " ") + *result.outcome.tags[i];
    log_->Write(core::LogLevel::kDebug, "classified", 0, detail + ", rules " + std::to_string(rules_version_));
  }
  return result;
}

void LineFront::Start() {
  if (settings_.lines.count > 0) ArmAllLines();
}

void LineFront::ArmAllLines() {
  const std::string all = std::string(wire_names::kLines) + "*@" + settings_.domain;
  transactions_->Send(settings_.gateway, {Verb::kDlcx, all, "", {}});
  const std::uint32_t request = next_request_id_++;
  for (Line& line : lines_) RecordArmedRequest(line, request);
  transactions_->Send(settings_.gateway,
                      {Verb::kRqnt, all, IdleLineRequest(request), [this](const TransactionResult& answered) {
                         if (answered.ok()) return;
                         arm_retry_timer_.Start(kArmRetryInterval, [this] {
                           // Lines that have a call by now keep their current request.
                           if (calling_lines_.empty() && called_lines_.empty()) return ArmAllLines();
                           ArmIdleLines(std::string(wire_names::kLines) + "*");
                         });
                       }});
}

void LineFront::ArmIdleLines(std::string_view pattern) {
  const mgcp::Transactions::Cork cork(transactions_);
  for (std::size_t i = 1; i < lines_.size(); ++i) {
    if (lines_[i].state != State::kIdle) continue;
    if (mgcp::EndpointMatches(pattern, std::string(wire_names::kLines) + std::to_string(i)))
      SendCommand(static_cast<int>(i), Verb::kRqnt, ArmLine(lines_[i]));
  }
}

std::string LineFront::NextRequestId() {
  std::string body;
  Writer(&body).Line("X", Hex(next_request_id_++));
  return body;
}

// On off hook the gateway plays dial tone and collects digits by the digit map; one notification reports both (embedded
// request, RFC 3435 3.2.2.17).
std::string LineFront::IdleLineRequest(std::uint32_t request) const {
  std::string body;
  Writer(&body)
      .Line("X", Hex(request))
      .Line("R", "L/hd(E(R(D/[0-9*#](D),L/hu(N)),D((" + settings_.lines.digit_map + ")),S(L/dl)))")
      // With Q: loop, on hook is reported even if the digits were answered with an error and no new request followed
      // (RFC 3435 4.4.1).
      .Line("Q", "loop");
  return body;
}

void LineFront::RecordArmedRequest(Line& line, std::uint32_t request) {
  line.previous_armed_request = line.armed_request;
  line.armed_request = request;
}

std::string LineFront::ArmLine(Line& line) {
  const std::uint32_t request = next_request_id_++;
  RecordArmedRequest(line, request);
  return IdleLineRequest(request);
}

std::string LineFront::OnHookRequest() {
  std::string body = NextRequestId();
  Writer(&body).Line("R", "L/hu(N)");
  return body;
}

void LineFront::SendCommand(int line_number, Verb verb, std::string body,
                            mgcp::Transactions::ResultHandler on_response) {
  transactions_->Send(settings_.gateway,
                      {verb, wire_names::Line(line_number, settings_.domain), std::move(body), std::move(on_response)});
}

int LineFront::FindCallingLine(CallId call) const {
  const auto found = calling_lines_.find(call);
  return found == calling_lines_.end() ? dialling_line_ : found->second;
}

int LineFront::FindCalledLine(CallId call) const {
  const auto found = called_lines_.find(call);
  return found == called_lines_.end() ? 0 : found->second;
}

void LineFront::HandleNotify(mgcp::Transactions::CommandId command, const mgcp::Message& message) {
  const auto line_number = wire_names::ParseLine(message.endpoint.local);
  if (!line_number || *line_number < 1 || *line_number > settings_.lines.count) {
    transactions_->Reject(command, mgcp::kUnknownEndpoint, "no such line");
    return;
  }
  const auto events = mgcp::ParseEventList(message.Get("O"));
  if (!events || message.Find("O") == nullptr) {
    transactions_->Reject(command, mgcp::kProtocolError, "expected observed events in O:");
    return;
  }
  Line& line = lines_[static_cast<std::size_t>(*line_number)];
  const bool has_digits = std::any_of(events->begin(), events->end(),
                                      [](const auto& event) { return mgcp::EqualsIgnoringCase(event.package, "D"); });
  const auto request = message.Get("X");
  if (has_digits && line.armed_request != 0 && request != Hex(line.armed_request) &&
      request != Hex(line.previous_armed_request)) {
    ++counters_.stale_digits;
    transactions_->Respond(command, mgcp::kTransientError, {}, "digits under a request that is not in force");
    return;
  }
  pending_notification_ = command;
  if (!has_digits) AcknowledgeNotification();
  std::string digits;
  for (const mgcp::EventRef& event : *events) {
    if (mgcp::EqualsIgnoringCase(event.package, "D") && event.name.size() == 1 && digits.size() < core::kMaxDigits) {
      digits += event.name;
    } else if (mgcp::EqualsIgnoringCase(event.name, "hu")) {
      digits.clear();
      HandleOnHook(*line_number, line);
    } else if (mgcp::EqualsIgnoringCase(event.name, "hd")) {
      if (line.state != State::kRinging) continue;
      line.state = State::kTalking;
      std::string body;
      Writer(&body).Line("C", CallParameter(core_->own_number(), line.call)).Line("M", "sendrecv");
      SendCommand(*line_number, Verb::kMdcx, body + OnHookRequest());
      core_->OnRingAnswered(line.call, message.session);
    } else {
      ++counters_.ignored_events;
    }
  }
  if (digits.empty()) return AcknowledgeNotification();
  // Digits prove that the line was on hook, even if its on-hook notification was lost.
  if (line.state != State::kIdle) HandleOnHook(*line_number, line);
  Dial(*line_number, line, digits, message);
  AcknowledgeNotification();
}

void LineFront::AcknowledgeNotification() {
  if (!pending_notification_) return;
  transactions_->Respond(*pending_notification_, mgcp::kOk);
  pending_notification_.reset();
}

void LineFront::RefuseInResponse(Line& line, TimeUs retry_after_us) {
  ++counters_.refused_in_answer;
  line.state = State::kTone;
  std::string body;
  Writer writer(&body);
  writer.Line(wire_names::kAnswer, "refused");
  if (retry_after_us > 0) writer.Line(wire_names::kRetryAfter, std::to_string(retry_after_us / 1000));
  transactions_->Respond(*pending_notification_, mgcp::kOverload, body, "overload");
  pending_notification_.reset();
}

void LineFront::Dial(int line_number, Line& line, const std::string& digits, const mgcp::Message& message) {
  ++counters_.dialled;
  const auto meaning = settings_.plan.Find(digits);
  if (!meaning) {
    ++counters_.unallocated;
    AcknowledgeNotification();
    return PlayTone(line_number, line, "L/ro", "failed", 0);
  }
  core::CallRequest call_request;
  call_request.called = digits;
  call_request.calling = std::string(wire_names::kLines) + std::to_string(line_number);
  const auto caller_timeout = wire_names::Number<std::uint32_t>(message.Get(wire_names::kCallerTimeout));
  if (const Classifier::Result result =
          PrepareCall(*meaning, caller_timeout ? TimeUs{*caller_timeout} * 1000 : 0, line_number, &call_request);
      result.refuse) {
    AcknowledgeNotification();
    return PlayTone(line_number, line, "G/cg", "refused", result.retry_after_us);
  }
  if (call_request.caller_timeout_us == 0) return RefuseInResponse(line, 0);  // the caller has given up already
  line.state = State::kCalling;
  line.is_called = false;
  dialling_line_ = line_number;
  const CallId call = admission_front_->AcceptCall(call_request, this, call_request.calling);
  dialling_line_ = 0;
  // If the final answer came during AcceptCall, the line has left these states already.
  if (line.state == State::kCalling || line.state == State::kTalking) {
    line.call = call;
    calling_lines_[call] = line_number;
  }
}

void LineFront::OnAccepted(CallId) { AcknowledgeNotification(); }

void LineFront::OnFinalAnswer(CallId call, const core::FinalAnswer& answer) {
  const int line_number = FindCallingLine(call);
  if (line_number == 0) return;
  Line& line = lines_[static_cast<std::size_t>(line_number)];
  if (answer.kind != core::FinalKind::kEstablished) {
    UnbindCall(line);
    line.state = State::kTone;
    const bool refused = answer.kind == core::FinalKind::kRefused;
    // The call was refused before it was accepted. This applies to the call being dialled only: other calls may get
    // their final answers while it is processed.
    if (line_number == dialling_line_) {
      const bool respond_only = core_->IsOverloaded() || admission_front_->admission() != nullptr;
      if (refused && pending_notification_ && respond_only) return RefuseInResponse(line, answer.retry_after_us);
      AcknowledgeNotification();  // a tone is sent only after the notification has been acknowledged
    }
    const bool busy = answer.cause == core::ReleaseCause::kUserBusy;
    return PlayTone(line_number, line,
                    refused ? "G/cg"
                    : busy  ? "L/bz"
                            : "L/ro",
                    refused ? "refused" : "failed", answer.retry_after_us);
  }
  line.state = State::kTalking;
  line.connected = true;
  std::string body;
  Writer(&body).Line("C", CallParameter(core_->own_number(), call)).Line("L", "p:20, a:PCMU").Line("M", "sendrecv");
  body += OnHookRequest();
  Writer(&body).Session(answer.session);
  SendCommand(line_number, Verb::kCrcx, std::move(body), [this, call](const TransactionResult& answered) {
    if (answered.ok()) return core_->OnCallerSession(call, answered.message->session);
    // The line has gone on hook or is out of order: the call has no caller any more.
    const int found_line = FindCallingLine(call);
    if (found_line == 0) return;
    HandleOnHook(found_line, lines_[static_cast<std::size_t>(found_line)]);
  });
}

void LineFront::OnCallEnded(CallId call, core::ReleaseCause cause) {
  const int line_number = FindCallingLine(call);
  if (line_number == 0) return;
  Line& line = lines_[static_cast<std::size_t>(line_number)];
  UnbindCall(line);
  line.state = State::kTone;
  Disconnect(line_number, line, false, cause == core::ReleaseCause::kNormal ? "" : "L/ro");
}

void LineFront::PlayTone(int line_number, Line& line, std::string_view signal, std::string_view answer,
                         TimeUs retry_after_us) {
  line.state = State::kTone;
  std::string body = OnHookRequest();
  Writer writer(&body);
  writer.Line("S", signal).Line(wire_names::kAnswer, answer);
  if (retry_after_us > 0) writer.Line(wire_names::kRetryAfter, std::to_string(retry_after_us / 1000));
  SendCommand(line_number, Verb::kRqnt, std::move(body), [this, line_number](const TransactionResult& answered) {
    // 402: the line is on hook already; its notification may have been overtaken or lost.
    Line& current = lines_[static_cast<std::size_t>(line_number)];
    if (answered.code() == mgcp::kAlreadyOnHook && current.state == State::kTone) HandleOnHook(line_number, current);
  });
}

void LineFront::Disconnect(int line_number, Line& line, bool rearm, std::string_view signal) {
  std::string body;
  if (line.connected) {
    line.connected = false;
    body = rearm ? ArmLine(line) : OnHookRequest();
    if (!signal.empty()) Writer(&body).Line("S", signal);
    return SendCommand(line_number, Verb::kDlcx, std::move(body));
  }
  if (rearm) SendCommand(line_number, Verb::kRqnt, ArmLine(line));
}

void LineFront::UnbindCall(Line& line) {
  (line.is_called ? called_lines_ : calling_lines_).erase(line.call);
  line.call = 0;
}

void LineFront::HandleOnHook(int line_number, Line& line) {
  if (line.state == State::kIdle) return;
  const CallId call = line.call;
  const State state = std::exchange(line.state, State::kIdle);
  UnbindCall(line);
  if (call != 0 && state != State::kTone) {
    if (line.is_called) {
      core_->OnRingReleased(
          call, state == State::kRinging ? core::ReleaseCause::kTemporaryFailure : core::ReleaseCause::kNormal);
    } else {
      admission_front_->HangUp(call);
    }
  }
  Disconnect(line_number, line, true, "");
}

core::ReleaseCause LineFront::Ring(CallId call, const core::CallRequest& call_request) {
  const LineSettings& lines = settings_.lines;
  const std::string_view called = call_request.called;
  const auto digits = static_cast<std::size_t>(lines.number_digits);
  if (called.size() < digits || !called.substr(0, called.size() - digits).ends_with(lines.number_prefix))
    return core::ReleaseCause::kUnallocated;
  const auto line_number = wire_names::Number<int>(called.substr(called.size() - digits));
  if (!line_number || *line_number < 1 || *line_number > lines.count) return core::ReleaseCause::kUnallocated;
  Line& line = lines_[static_cast<std::size_t>(*line_number)];
  if (line.state != State::kIdle) return core::ReleaseCause::kUserBusy;
  ++counters_.rung;
  line = Line{State::kRinging, true, call, true};
  called_lines_[call] = *line_number;
  std::string body;
  Writer writer(&body);
  writer.Line("C", CallParameter(core_->own_number(), call)).Line("L", "p:20, a:PCMU").Line("M", "recvonly");
  body += NextRequestId();
  writer.Line("R", "L/hd(N)").Line("S", "L/rg");
  SendCommand(*line_number, Verb::kCrcx, std::move(body), [this, call](const TransactionResult& answered) {
    if (answered.ok() || answered.outcome == mgcp::TransactionOutcome::kNoResponse) return;
    // 401: the line went off hook at the same time to dial, so it is busy for the caller. Any other error: the
    // line is out of order.
    const int found_line = FindCalledLine(call);
    if (found_line == 0) return;
    Line& rung = lines_[static_cast<std::size_t>(found_line)];
    UnbindCall(rung);
    rung.state = State::kIdle;
    rung.connected = false;
    core_->OnRingReleased(
        call, answered.code() == mgcp::kAlreadyOffHook ? core::ReleaseCause::kUserBusy : core::ReleaseCause::kNoAnswer);
  });
  return core::ReleaseCause::kNormal;
}

void LineFront::StopRinging(CallId call, core::ReleaseCause) {
  const int line_number = FindCalledLine(call);
  if (line_number == 0) return;
  Line& line = lines_[static_cast<std::size_t>(line_number)];
  const bool ringing = line.state == State::kRinging;
  UnbindCall(line);
  line.state = ringing ? State::kIdle : State::kTone;
  Disconnect(line_number, line, ringing, "");
}

void LineFront::HandleRestart(const mgcp::Message& message) {
  ++counters_.restarts;
  const auto method = message.Get("RM");
  if (mgcp::EqualsIgnoringCase(method, "graceful") || mgcp::EqualsIgnoringCase(method, "cancel-graceful")) return;
  if (!mgcp::EqualsIgnoringCase(method, "disconnected")) {
    for (std::size_t i = 1; i < lines_.size(); ++i) {
      if (!mgcp::EndpointMatches(message.endpoint.local, std::string(wire_names::kLines) + std::to_string(i))) continue;
      lines_[i].connected = false;  // a restart deletes the connection on the gateway
      if (lines_[i].state != State::kIdle) HandleOnHook(static_cast<int>(i), lines_[i]);
    }
  }
  if (!mgcp::EqualsIgnoringCase(method, "forced")) ArmIdleLines(message.endpoint.local);
  if (mgcp::EqualsIgnoringCase(method, "disconnected")) AuditLinesInUse(message.endpoint.local);
}

void LineFront::AuditLinesInUse(std::string_view pattern) {
  const mgcp::Transactions::Cork cork(transactions_);
  for (std::size_t i = 1; i < lines_.size(); ++i) {
    if (lines_[i].state == State::kIdle) continue;
    if (!mgcp::EndpointMatches(pattern, std::string(wire_names::kLines) + std::to_string(i))) continue;
    const int line_number = static_cast<int>(i);
    SendCommand(line_number, Verb::kAuep, "F: I, ES\r\n",
                [this, line_number, call = lines_[i].call](const TransactionResult& answered) {
                  Line& line = lines_[static_cast<std::size_t>(line_number)];
                  const bool is_same_call = line.state != State::kIdle && line.call == call;
                  if (!is_same_call || !answered.ok() || line.state == State::kRinging) return;
                  if (mgcp::EqualsIgnoringCase(answered.message->Get("ES"), "L/hu")) HandleOnHook(line_number, line);
                });
  }
}

}  // namespace croftrun::edge
