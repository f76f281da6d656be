// The MGCP front for line endpoints: off hook, dial tone, digit collection, final tone and on hook for calling lines;
// ringing for called lines.
//
//   state       the line                                        left on
//   kIdle       is on hook, armed for off hook and digits       digits dialled, or an incoming call
//   kCalling    has a call without a final answer               final answer, or on hook
//   kTalking    has an established call                         on hook, or release of the call
//   kTone       hears a tone after its call has ended           on hook
//   kRinging    is ringing                                      off hook, or the caller gives up
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

// Turns notifications of line endpoints into calls of the core, and the core's results into commands to the gateway.
class LineFront final : public core::CallOwner, public core::LineDriver {
 public:
  struct Counters {
    std::uint64_t dialled = 0, unallocated = 0, stale_digits = 0, refused_by_rule = 0, refused_in_answer = 0;
    std::uint64_t rung = 0, ignored_events = 0, restarts = 0;
  };

  LineFront(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core, AdmissionFront* admission_front,
            mgcp::Transactions* transactions, core::Logger* log);

  // Deletes connections left by an earlier run of this edge and arms all lines. Repeated until the gateway responds.
  void Start();
  void HandleNotify(mgcp::Transactions::CommandId command, const mgcp::Message& message);
  // Handles a restart in progress (RSIP) of the lines that match the endpoint of the message.
  void HandleRestart(const mgcp::Message& message);
  // Replaces the rules from the next call on; null means no rules. Counters that are in both sets of rules keep their
  // values. Each set gets a version number, starting at 1.
  void SetClassifier(std::shared_ptr<const Classifier> classifier);
  std::uint32_t rules_version() const { return rules_version_; }
  // Returns null if there are no rules.
  const expr::RuleState* rule_state() const { return rule_state_ ? &*rule_state_ : nullptr; }

  void OnAccepted(CallId call) override;
  void OnFinalAnswer(CallId call, const core::FinalAnswer& answer) override;
  void OnCallEnded(CallId call, core::ReleaseCause cause) override;
  core::ReleaseCause Ring(CallId call, const core::CallRequest& call_request) override;
  void StopRinging(CallId call, core::ReleaseCause cause) override;

  // Sets the class, destination, width and caller timeout of a call and applies the rules. Every front does this before
  // it passes the call on. If `caller_timeout_us` is 0, the deadline of the class is used. If `line` is 0, the call
  // does not come from a line and keeps its customer unless that is -1. If the result says that a rule refuses the
  // call, the other results are not to be used.
  Classifier::Result PrepareCall(const core::NumberMeaning& meaning, TimeUs caller_timeout_us, int line,
                                 core::CallRequest* call_request);
  // Returns true from off hook (or ringing) until on hook.
  bool InUse(int line) const {
    return line > 0 && static_cast<std::size_t>(line) < lines_.size() &&
           lines_[static_cast<std::size_t>(line)].state != State::kIdle;
  }
  const Counters& counters() const { return counters_; }

 private:
  enum class State : std::uint8_t { kIdle, kCalling, kTalking, kTone, kRinging };
  struct Line {
    State state = State::kIdle;
    bool is_called = false;  // true: it is the called line of its call; false: the calling line
    CallId call = 0;
    bool connected = false;
    // Identifiers of the requests under which digits are accepted: the last request of this run of the edge, and the
    // one before it, whose notification may have crossed the last. Digits under any other request were reported to an
    // earlier run of the edge and have been retransmitted since.
    std::uint32_t armed_request = 0, previous_armed_request = 0;
  };

  void ArmAllLines();
  // Arms the idle lines that match the pattern of endpoint names.
  void ArmIdleLines(std::string_view pattern);
  // Asks the gateway whether lines with a call have gone on hook: events are not reported while it is cut off.
  void AuditLinesInUse(std::string_view pattern);
  void HandleOnHook(int line_number, Line& line);
  // Acknowledges the notification in progress unless it has been answered.
  void AcknowledgeNotification();
  // Refuses the call in the response to the notification itself. This saves the request for a tone and its
  // acknowledgement, so that refusals are cheap in an overload.
  void RefuseInResponse(Line& line, TimeUs retry_after_us);
  void Dial(int line_number, Line& line, const std::string& digits, const mgcp::Message& message);
  Classifier::Result ApplyRules(core::CallRequest* call_request, int line);
  // Plays a final tone. `answer` (refused or failed) and the retry-after go along as extension parameters.
  void PlayTone(int line_number, Line& line, std::string_view signal, std::string_view answer, TimeUs retry_after_us);
  // Deletes the line's connection, if any. Arms the line if `rearm` is set, otherwise waits for on hook.
  void Disconnect(int line_number, Line& line, bool rearm, std::string_view signal);
  void UnbindCall(Line& line);
  void SendCommand(int line_number, mgcp::Verb verb, std::string body,
                   mgcp::Transactions::ResultHandler on_response = {});
  // Gives the line a new request for off hook and digits; returns the body that arms it on the gateway.
  std::string ArmLine(Line& line);
  std::string IdleLineRequest(std::uint32_t request) const;
  static void RecordArmedRequest(Line& line, std::uint32_t request);
  std::string OnHookRequest();
  std::string NextRequestId();
  // The line that dialled the call, and the line that the call rings; 0 if there is none. A call within the exchange
  // has both.
  int FindCallingLine(CallId call) const;
  int FindCalledLine(CallId call) const;

  const EdgeSettings& settings_;
  core::Runtime* runtime_;
  core::CallCore* core_;
  AdmissionFront* admission_front_;
  mgcp::Transactions* transactions_;
  core::Logger* log_;
  std::vector<Line> lines_;  // by endpoint number, from 1; [0] unused
  std::unordered_map<CallId, int> calling_lines_, called_lines_;
  // Set while the core accepts a line's call: its final answer can arrive before the call's id is known here.
  int dialling_line_ = 0;
  // The notification in progress, until it has been answered.
  std::optional<mgcp::Transactions::CommandId> pending_notification_;
  std::shared_ptr<const Classifier> classifier_;
  std::optional<expr::RuleState> rule_state_;
  std::uint64_t rule_seed_;
  std::uint32_t rules_version_ = 0;
  std::uint32_t next_request_id_ = 1;
  core::Timer arm_retry_timer_;
  Counters counters_;
};

// Returns the call identifier (C: parameter) of a call. The exchange's number makes it unique among edges.
std::string CallParameter(int own_number, CallId call);

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_LINE_FRONT_H_
