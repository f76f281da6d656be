// The MGCP front for lines: off hook, digits, final signal, on hook; and ringing a line of this exchange.
//
//   state       the line                                        leaves it by
//   kIdle       is on hook and armed for off-hook and digits    dialled, or rung
//   kCalling    has a call without a final answer               final answer, or on hook
//   kTalking    has a standing call                             either side hangs up, or it is cut
//   kTone       hears why there is no call any more             on hook
//   kRinging    is rung                                         off hook, or the caller gives up
#ifndef CROFTRUN_EDGE_LINE_FRONT_H_
#define CROFTRUN_EDGE_LINE_FRONT_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/call_core.h"
#include "edge/admission_front.h"
#include "edge/edge_settings.h"
#include "mgcp/transactions.h"

namespace croftrun::edge {

class LineFront final : public core::CallOwner, public core::LineDriver {
 public:
  struct Counters {
    std::uint64_t dialled = 0, unallocated = 0, stale_digits = 0, refused_by_rule = 0, refused_in_answer = 0;
    std::uint64_t rung = 0, ignored_events = 0, restarts = 0;
  };

  LineFront(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core, AdmissionFront* admission_front,
            mgcp::Transactions* transactions, core::Logger* log);

  // Clears what a former life left and arms all lines; repeated until the gateway answers.
  void Start();
  void OnNotify(mgcp::Transactions::CommandId command, const mgcp::Message& message);
  // A restart in progress of lines matching the endpoint of the message.
  void OnRestart(const mgcp::Message& message);
  // From the next call on; null: no rules. Counters that stay the same go on. Each set has a version, from 1.
  void SetClassifier(std::shared_ptr<const Classifier> classifier);
  std::uint32_t rules_version() const { return rules_version_; }
  // Null: no rules.
  const expr::RuleState* rule_state() const { return rule_state_ ? &*rule_state_ : nullptr; }

  void OnAccepted(CallId call) override;
  void OnFinalAnswer(CallId call, const core::FinalAnswer& answer) override;
  void OnCallEnded(CallId call, core::ReleaseCause cause) override;
  core::ReleaseCause Ring(CallId call, const core::CallRequest& offer) override;
  void StopRinging(CallId call, core::ReleaseCause cause) override;

  // What every front does to a call before it is offered: class, destination, width, time and rules. `patience_us` 0:
  // the class's. `line` 0: it comes from none, and keeps the customer it has unless that is -1. Refused by a rule: only
  // that counts.
  Classifier::Verdict Prepare(const core::NumberMeaning& meaning, TimeUs patience_us, int line,
                              core::CallRequest* offer);
  // From off hook to on hook.
  bool InUse(int line) const {
    return line > 0 && static_cast<std::size_t>(line) < lines_.size() &&
           lines_[static_cast<std::size_t>(line)].state != State::kIdle;
  }
  const Counters& counters() const { return counters_; }

 private:
  enum class State : std::uint8_t { kIdle, kCalling, kTalking, kTone, kRinging };
  struct Line {
    State state = State::kIdle;
    bool called = false;  // it was rung, not dialled
    CallId call = 0;
    bool connected = false;
    // The requests under which it may dial: the last one given in this life of the edge, and the one before, whose
    // notification may have crossed it. Digits under another are of a former life, repeated ever since.
    std::uint32_t armed = 0, armed_before = 0;
  };

  void ArmAll();
  void ArmIdle(std::string_view pattern);
  void AuditCalls(std::string_view pattern);
  void OnHook(int number, Line& line);
  // Acknowledges the notification being worked on, once.
  void Acknowledge();
  // Refuses in the answer to the notification itself: no tone is asked for and none is acknowledged, so that a refusal
  // costs least when there are most of them.
  void RefuseInAnswer(Line& line, TimeUs pause_us);
  void Dial(int number, Line& line, const std::string& digits, const mgcp::Message& message);
  Classifier::Verdict Classify(core::CallRequest* offer, int line);
  void Tone(int number, Line& line, std::string_view signal, std::string_view answer, TimeUs pause_us);
  void Disconnect(int number, Line& line, bool rearm, std::string_view signal);
  void Unbind(Line& line);
  void Send(int number, mgcp::Verb verb, std::string body, mgcp::Transactions::OnAnswer on_answer = {});
  // Arms the line; `body` gets the request.
  std::string RequestIdle(Line& line);
  std::string IdleRequest(std::uint32_t request) const;
  static void Armed(Line& line, std::uint32_t request);
  std::string RequestOnHook();
  std::string NextRequest();
  // The line that dialled, or is rung for, a call; 0: none. A call inside the exchange has both.
  int CallingLine(CallId call) const;
  int RungLine(CallId call) const;

  const EdgeSettings& settings_;
  core::Runtime* runtime_;
  core::CallCore* core_;
  AdmissionFront* admission_front_;
  mgcp::Transactions* transactions_;
  core::Logger* log_;
  std::vector<Line> lines_;  // by endpoint number, from 1; [0] unused
  std::unordered_map<CallId, int> calling_, rung_;
  // Set while a line's call is being taken: its final answer can come before its id is known.
  int dialling_ = 0;
  // The notification being worked on, until it is answered.
  std::optional<mgcp::Transactions::CommandId> unanswered_;
  std::shared_ptr<const Classifier> classifier_;
  std::optional<expr::RuleState> rule_state_;
  std::uint64_t rule_seed_;
  std::uint32_t rules_version_ = 0;
  std::uint32_t next_request_ = 1;
  core::Timer retry_;
  Counters counters_;
};

// The `C:` parameter of a call: unique over edges by the exchange's number.
std::string CallParameter(int own_number, CallId call);

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_LINE_FRONT_H_
