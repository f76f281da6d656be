#include "edge/line_front.h"

#include <algorithm>
#include <array>
#include <utility>

#include "edge/wire_names.h"

namespace croftrun::edge {
namespace {

using mgcp::Answered;
using mgcp::Verb;
using mgcp::Writer;

// The arming of all lines is asked again after this while the gateway does not answer.
constexpr TimeUs kArmAgain = 2'000'000;

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
      retry_(runtime) {
  SetClassifier(settings.classifier);
}

void LineFront::SetClassifier(std::shared_ptr<const Classifier> classifier) {
  classifier_ = std::move(classifier);
  ++rules_version_;
  if (classifier_ == nullptr) return rule_state_.reset();
  if (rule_state_) return rule_state_->Follow(classifier_->rules(), rule_seed_);
  rule_state_.emplace(classifier_->rules(), rule_seed_);
}

Classifier::Verdict LineFront::Prepare(const core::NumberMeaning& meaning, TimeUs patience_us, int line,
                                       core::CallRequest* offer) {
  offer->call_class = meaning.call_class;
  if (offer->customer < 0 || line > 0) offer->customer = meaning.customer;
  offer->destination = meaning.destination;
  const TimeUs waited = runtime_->QueueDelay();
  const auto take_class = [&] {
    const CallClass& call_class = settings_.core.module.classes[static_cast<std::size_t>(offer->call_class)];
    offer->width = static_cast<std::size_t>(call_class.width);
    offer->caller_timeout_us = patience_us > 0 ? patience_us : call_class.deadline_us;
    // It runs from the digits' arrival, not from when they are looked at.
    offer->caller_timeout_us -= std::min(offer->caller_timeout_us, waited);
  };
  take_class();
  if (classifier_ == nullptr) return {};
  const Classifier::Verdict verdict = Classify(offer, line);
  if (verdict.refuse) {
    ++counters_.refused_by_rule;
    return verdict;
  }
  if (verdict.rule != nullptr) take_class();  // width and patience follow the class
  if (verdict.outcome.budget_us)
    offer->caller_timeout_us =
        std::min(offer->caller_timeout_us, static_cast<TimeUs>(std::max<std::int64_t>(1, *verdict.outcome.budget_us)));
  return verdict;
}

Classifier::Verdict LineFront::Classify(core::CallRequest* offer, int line) {
  offer->rules = rules_version_;
  const CallFacts facts{line, settings_.gateway.host, core_->ShareRefused()};
  const expr::Moment moment{runtime_->Now(), classifier_->rules().calendar.empty() ? 0 : runtime_->WallClockUs()};
  const Classifier::Verdict verdict = classifier_->Apply(offer, facts, moment, &*rule_state_);
  if (verdict.rule != nullptr && log_->IsEnabled(core::LogLevel::kDebug)) {
    std::string detail = offer->calling + ": rule " +
                         (verdict.rule->name.empty() ? std::to_string(verdict.rule->line) : verdict.rule->name);
    for (std::size_t i = 0; i < verdict.outcome.tag_count; ++i)
      detail += (i == 0 ? ", tags " : " ") + *verdict.outcome.tags[i];
    log_->Write(core::LogLevel::kDebug, "classified", 0, detail + ", rules " + std::to_string(rules_version_));
  }
  return verdict;
}

void LineFront::Start() {
  if (settings_.lines.count > 0) ArmAll();
}

void LineFront::ArmAll() {
  const std::string all = std::string(wire_names::kLines) + "*@" + settings_.domain;
  transactions_->Send(settings_.gateway, {Verb::kDlcx, all, "", {}});
  const std::uint32_t request = next_request_++;
  for (Line& line : lines_) Armed(line, request);
  transactions_->Send(settings_.gateway, {Verb::kRqnt, all, IdleRequest(request), [this](const Answered& answered) {
                                            if (answered.ok()) return;
                                            retry_.Start(kArmAgain, [this] {
                                              // Lines with calls by now keep what is asked of them.
                                              if (calling_.empty() && rung_.empty()) return ArmAll();
                                              ArmIdle(std::string(wire_names::kLines) + "*");
                                            });
                                          }});
}

void LineFront::ArmIdle(std::string_view pattern) {
  const mgcp::Transactions::Cork cork(transactions_);
  for (std::size_t i = 1; i < lines_.size(); ++i) {
    if (lines_[i].state != State::kIdle) continue;
    if (mgcp::EndpointMatches(pattern, std::string(wire_names::kLines) + std::to_string(i)))
      Send(static_cast<int>(i), Verb::kRqnt, RequestIdle(lines_[i]));
  }
}

std::string LineFront::NextRequest() {
  std::string body;
  Writer(&body).Line("X", Hex(next_request_++));
  return body;
}

// Off hook: dial tone and digits by the map, all told in one notification (RFC 3435 3.2.2.17, embedded request).
std::string LineFront::IdleRequest(std::uint32_t request) const {
  std::string body;
  Writer(&body)
      .Line("X", Hex(request))
      .Line("R", "L/hd(E(R(D/[0-9*#](D),L/hu(N)),D((" + settings_.lines.digit_map + ")),S(L/dl)))")
      // On hook is told as well after digits that were answered with an error and no new request (RFC 3435 4.4.1).
      .Line("Q", "loop");
  return body;
}

void LineFront::Armed(Line& line, std::uint32_t request) {
  line.armed_before = line.armed;
  line.armed = request;
}

std::string LineFront::RequestIdle(Line& line) {
  const std::uint32_t request = next_request_++;
  Armed(line, request);
  return IdleRequest(request);
}

std::string LineFront::RequestOnHook() {
  std::string body = NextRequest();
  Writer(&body).Line("R", "L/hu(N)");
  return body;
}

void LineFront::Send(int number, Verb verb, std::string body, mgcp::Transactions::OnAnswer on_answer) {
  transactions_->Send(settings_.gateway,
                      {verb, wire_names::Line(number, settings_.domain), std::move(body), std::move(on_answer)});
}

int LineFront::CallingLine(CallId call) const {
  const auto found = calling_.find(call);
  return found == calling_.end() ? dialling_ : found->second;
}

int LineFront::RungLine(CallId call) const {
  const auto found = rung_.find(call);
  return found == rung_.end() ? 0 : found->second;
}

void LineFront::OnNotify(mgcp::Transactions::CommandId command, const mgcp::Message& message) {
  const auto number = wire_names::ParseLine(message.endpoint.local);
  if (!number || *number < 1 || *number > settings_.lines.count) {
    transactions_->Reject(command, mgcp::kUnknownEndpoint, "no such line");
    return;
  }
  const auto events = mgcp::ParseEventList(message.Get("O"));
  if (!events || message.Find("O") == nullptr) {
    transactions_->Reject(command, mgcp::kProtocolError, "expected observed events in O:");
    return;
  }
  Line& line = lines_[static_cast<std::size_t>(*number)];
  const bool dials = std::any_of(events->begin(), events->end(),
                                 [](const auto& event) { return mgcp::EqualsIgnoringCase(event.package, "D"); });
  const auto request = message.Get("X");
  if (dials && line.armed != 0 && request != Hex(line.armed) && request != Hex(line.armed_before)) {
    ++counters_.stale_digits;
    transactions_->Respond(command, mgcp::kTransientError, {}, "digits under a request that is not in force");
    return;
  }
  unanswered_ = command;
  if (!dials) Acknowledge();
  std::string digits;
  for (const mgcp::EventRef& event : *events) {
    if (mgcp::EqualsIgnoringCase(event.package, "D") && event.name.size() == 1 && digits.size() < core::kMostDigits) {
      digits += event.name;
    } else if (mgcp::EqualsIgnoringCase(event.name, "hu")) {
      digits.clear();
      OnHook(*number, line);
    } else if (mgcp::EqualsIgnoringCase(event.name, "hd")) {
      if (line.state != State::kRinging) continue;
      line.state = State::kTalking;
      std::string body;
      Writer(&body).Line("C", CallParameter(core_->own_number(), line.call)).Line("M", "sendrecv");
      Send(*number, Verb::kMdcx, body + RequestOnHook());
      core_->OnRingAnswered(line.call, message.session);
    } else {
      ++counters_.ignored_events;
    }
  }
  if (digits.empty()) return Acknowledge();
  // Dialling proves that the line was on hook, whatever became of the word of it.
  if (line.state != State::kIdle) OnHook(*number, line);
  Dial(*number, line, digits, message);
  Acknowledge();
}

void LineFront::Acknowledge() {
  if (!unanswered_) return;
  transactions_->Respond(*unanswered_, mgcp::kOk);
  unanswered_.reset();
}

void LineFront::RefuseInAnswer(Line& line, TimeUs pause_us) {
  ++counters_.refused_in_answer;
  line.state = State::kTone;
  std::string body;
  Writer writer(&body);
  writer.Line(wire_names::kAnswer, "refused");
  if (pause_us > 0) writer.Line(wire_names::kPause, std::to_string(pause_us / 1000));
  transactions_->Respond(*unanswered_, mgcp::kOverload, body, "overload");
  unanswered_.reset();
}

void LineFront::Dial(int number, Line& line, const std::string& digits, const mgcp::Message& message) {
  ++counters_.dialled;
  const auto meaning = settings_.plan.Find(digits);
  if (!meaning) {
    ++counters_.unallocated;
    Acknowledge();
    return Tone(number, line, "L/ro", "failed", 0);
  }
  core::CallRequest offer;
  offer.called = digits;
  offer.calling = std::string(wire_names::kLines) + std::to_string(number);
  const auto patience = wire_names::Number<std::uint32_t>(message.Get(wire_names::kPatience));
  if (const Classifier::Verdict verdict = Prepare(*meaning, patience ? TimeUs{*patience} * 1000 : 0, number, &offer);
      verdict.refuse) {
    Acknowledge();
    return Tone(number, line, "G/cg", "refused", verdict.pause_us);
  }
  if (offer.caller_timeout_us == 0) return RefuseInAnswer(line, 0);  // whoever dialled has given up
  line.state = State::kCalling;
  line.called = false;
  dialling_ = number;
  const CallId call = admission_front_->Take(offer, this, offer.calling);
  dialling_ = 0;
  // Answered from within, the line has moved on already.
  if (line.state == State::kCalling || line.state == State::kTalking) {
    line.call = call;
    calling_[call] = number;
  }
}

void LineFront::OnAccepted(CallId) { Acknowledge(); }

void LineFront::OnFinalAnswer(CallId call, const core::FinalAnswer& answer) {
  const int number = CallingLine(call);
  if (number == 0) return;
  Line& line = lines_[static_cast<std::size_t>(number)];
  if (answer.kind != core::FinalKind::kEstablished) {
    Unbind(line);
    line.state = State::kTone;
    const bool refused = answer.kind == core::FinalKind::kRefused;
    // Refused before it was taken. Of the call being dialled only: others may be answered while it is looked at.
    if (number == dialling_) {
      const bool cheaply = core_->Overloaded() || admission_front_->admission() != nullptr;
      if (refused && unanswered_ && cheaply) return RefuseInAnswer(line, answer.retry_after_us);
      Acknowledge();  // a tone goes to a call that was taken
    }
    const bool busy = answer.cause == core::ReleaseCause::kUserBusy;
    return Tone(number, line,
                refused ? "G/cg"
                : busy  ? "L/bz"
                        : "L/ro",
                refused ? "refused" : "failed", answer.retry_after_us);
  }
  line.state = State::kTalking;
  line.connected = true;
  std::string body;
  Writer(&body).Line("C", CallParameter(core_->own_number(), call)).Line("L", "p:20, a:PCMU").Line("M", "sendrecv");
  body += RequestOnHook();
  Writer(&body).Session(answer.session);
  Send(number, Verb::kCrcx, std::move(body), [this, call](const Answered& answered) {
    if (answered.ok()) return core_->OnCallerSession(call, answered.message->session);
    // On hook by now, or the line is gone: there is nobody to talk to.
    const int at = CallingLine(call);
    if (at == 0) return;
    OnHook(at, lines_[static_cast<std::size_t>(at)]);
  });
}

void LineFront::OnCallEnded(CallId call, core::ReleaseCause cause) {
  const int number = CallingLine(call);
  if (number == 0) return;
  Line& line = lines_[static_cast<std::size_t>(number)];
  Unbind(line);
  line.state = State::kTone;
  Disconnect(number, line, false, cause == core::ReleaseCause::kNormal ? "" : "L/ro");
}

void LineFront::Tone(int number, Line& line, std::string_view signal, std::string_view answer, TimeUs pause_us) {
  line.state = State::kTone;
  std::string body = RequestOnHook();
  Writer writer(&body);
  writer.Line("S", signal).Line(wire_names::kAnswer, answer);
  if (pause_us > 0) writer.Line(wire_names::kPause, std::to_string(pause_us / 1000));
  Send(number, Verb::kRqnt, std::move(body), [this, number](const Answered& answered) {
    // 402: on hook already; its notification may have been overtaken or lost.
    Line& at = lines_[static_cast<std::size_t>(number)];
    if (answered.code() == mgcp::kAlreadyOnHook && at.state == State::kTone) OnHook(number, at);
  });
}

void LineFront::Disconnect(int number, Line& line, bool rearm, std::string_view signal) {
  std::string body;
  if (line.connected) {
    line.connected = false;
    body = rearm ? RequestIdle(line) : RequestOnHook();
    if (!signal.empty()) Writer(&body).Line("S", signal);
    return Send(number, Verb::kDlcx, std::move(body));
  }
  if (rearm) Send(number, Verb::kRqnt, RequestIdle(line));
}

void LineFront::Unbind(Line& line) {
  (line.called ? rung_ : calling_).erase(line.call);
  line.call = 0;
}

void LineFront::OnHook(int number, Line& line) {
  if (line.state == State::kIdle) return;
  const CallId call = line.call;
  const State state = std::exchange(line.state, State::kIdle);
  Unbind(line);
  if (call != 0 && state != State::kTone) {
    if (line.called) {
      core_->OnRingReleased(
          call, state == State::kRinging ? core::ReleaseCause::kTemporaryFailure : core::ReleaseCause::kNormal);
    } else {
      admission_front_->HangUp(call);
    }
  }
  Disconnect(number, line, true, "");
}

core::ReleaseCause LineFront::Ring(CallId call, const core::CallRequest& offer) {
  const LineSettings& lines = settings_.lines;
  const std::string_view called = offer.called;
  const auto digits = static_cast<std::size_t>(lines.number_digits);
  if (called.size() < digits || !called.substr(0, called.size() - digits).ends_with(lines.number_prefix))
    return core::ReleaseCause::kUnallocated;
  const auto number = wire_names::Number<int>(called.substr(called.size() - digits));
  if (!number || *number < 1 || *number > lines.count) return core::ReleaseCause::kUnallocated;
  Line& line = lines_[static_cast<std::size_t>(*number)];
  if (line.state != State::kIdle) return core::ReleaseCause::kUserBusy;
  ++counters_.rung;
  line = Line{State::kRinging, true, call, true};
  rung_[call] = *number;
  std::string body;
  Writer writer(&body);
  writer.Line("C", CallParameter(core_->own_number(), call)).Line("L", "p:20, a:PCMU").Line("M", "recvonly");
  body += NextRequest();
  writer.Line("R", "L/hd(N)").Line("S", "L/rg");
  Send(*number, Verb::kCrcx, std::move(body), [this, call](const Answered& answered) {
    if (answered.ok() || answered.ending == mgcp::Ending::kNoAnswer) return;
    // 401: it went off hook in the same moment to dial; busy to the caller. Else the line is out of order.
    const int at = RungLine(call);
    if (at == 0) return;
    Line& rung = lines_[static_cast<std::size_t>(at)];
    Unbind(rung);
    rung.state = State::kIdle;
    rung.connected = false;
    core_->OnRingReleased(
        call, answered.code() == mgcp::kAlreadyOffHook ? core::ReleaseCause::kUserBusy : core::ReleaseCause::kNoAnswer);
  });
  return core::ReleaseCause::kNormal;
}

void LineFront::StopRinging(CallId call, core::ReleaseCause) {
  const int number = RungLine(call);
  if (number == 0) return;
  Line& line = lines_[static_cast<std::size_t>(number)];
  const bool ringing = line.state == State::kRinging;
  Unbind(line);
  line.state = ringing ? State::kIdle : State::kTone;
  Disconnect(number, line, ringing, "");
}

void LineFront::OnRestart(const mgcp::Message& message) {
  ++counters_.restarts;
  const auto method = message.Get("RM");
  if (mgcp::EqualsIgnoringCase(method, "graceful") || mgcp::EqualsIgnoringCase(method, "cancel-graceful")) return;
  if (!mgcp::EqualsIgnoringCase(method, "disconnected")) {
    for (std::size_t i = 1; i < lines_.size(); ++i) {
      if (!mgcp::EndpointMatches(message.endpoint.local, std::string(wire_names::kLines) + std::to_string(i))) continue;
      lines_[i].connected = false;  // the gateway has forgotten it
      if (lines_[i].state != State::kIdle) OnHook(static_cast<int>(i), lines_[i]);
    }
  }
  if (!mgcp::EqualsIgnoringCase(method, "forced")) ArmIdle(message.endpoint.local);
  if (mgcp::EqualsIgnoringCase(method, "disconnected")) AuditCalls(message.endpoint.local);
}

// What happened while the gateway was cut off was not told: lines with a call are asked whether they are on hook.
void LineFront::AuditCalls(std::string_view pattern) {
  const mgcp::Transactions::Cork cork(transactions_);
  for (std::size_t i = 1; i < lines_.size(); ++i) {
    if (lines_[i].state == State::kIdle) continue;
    if (!mgcp::EndpointMatches(pattern, std::string(wire_names::kLines) + std::to_string(i))) continue;
    const int number = static_cast<int>(i);
    Send(number, Verb::kAuep, "F: I, ES\r\n", [this, number, call = lines_[i].call](const Answered& answered) {
      Line& line = lines_[static_cast<std::size_t>(number)];
      const bool same = line.state != State::kIdle && line.call == call;
      if (!same || !answered.ok() || line.state == State::kRinging) return;
      if (mgcp::EqualsIgnoringCase(answered.message->Get("ES"), "L/hu")) OnHook(number, line);
    });
  }
}

}  // namespace croftrun::edge
