// Verifies the five rules of call handling from recorded traffic alone. Apart from the MGCP parser and the names of the
// wire extensions, it shares no code with the product, so that a fault in the core or the decision module cannot hide
// itself.
//
// Times are those at which the laboratory sent or received a datagram. kCrossing allows for datagrams in flight.
#ifndef CROFTRUN_LAB_RULE_CHECKER_H_
#define CROFTRUN_LAB_RULE_CHECKER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "lab/trace.h"
#include "mgcp/message.h"

namespace croftrun::lab {

// The rules, in the order of RuleChecker::Summary; Name() gives the printed names.
enum class Rule { kOneAnswer, kOneAttempt, kDrains, kColdStart, kReleaseWait };
inline constexpr std::size_t kRules = 5;
std::string_view Name(Rule rule);

// Result of checking one rule.
struct RuleFinding {
  std::uint64_t checked = 0;  // occasions on which the rule could have been broken
  std::uint64_t broken = 0;
  std::vector<std::string> examples;  // the first kMaxExamples violations, with time and endpoint
  // A rule without a single check is "not exercised" rather than "kept".
  std::string_view Verdict() const { return broken > 0 ? "BROKEN" : checked == 0 ? "not exercised" : "kept"; }
};

// Follows every call and attempt of each edge in a trace and records violations of the rules.
class RuleChecker {
 public:
  static constexpr std::size_t kMaxExamples = 10;
  // A datagram sent within this time of an event is taken to have crossed the datagram that reports the event.
  static constexpr TimeUs kCrossing = 20'000;

  // Processes one record. Records must come in order of time.
  void ProcessRecord(const TraceRecord& record);
  // To be called after the last record: reports the calls that are overdue for a final answer.
  void Finish();

  const RuleFinding& Finding(Rule rule) const { return findings_[static_cast<std::size_t>(rule)]; }
  // True if the trace names an edge and no rule was broken.
  bool Kept() const;
  std::uint64_t accepted_calls() const { return accepted_calls_; }
  std::uint64_t accepted_transit_calls() const { return transit_calls_; }
  std::uint64_t fell_over() const { return fell_over_; }
  // Number of edges named in the trace. If it is zero, nothing could be checked.
  std::size_t edges() const { return edges_.size(); }
  // One line for each rule, followed by its examples.
  std::string Summary() const;
  // Work of one edge: calls accepted from lines and from other exchanges, and set-ups sent, without retransmissions.
  struct Work {
    std::uint64_t calls = 0, set_ups = 0;
  };
  // Indexed by exchange number.
  std::map<int, Work> work() const;

 private:
  // A final answer due to a line, or to the exchange that sent a transit call.
  struct PendingAnswer {
    TimeUs accepted_at = 0, deadline = 0;
    bool answered = false;
    TimeUs ended_at = 0;  // when the call ended for the caller; 0: it has not ended
  };
  struct Attempt {
    std::string circuit;  // the circuit whose set-up carries the address
    TimeUs sent_at = 0;
    bool in_progress = false, acknowledged = false, answered = false;
  };
  // State of one caller's current call at one edge.
  struct CallerState {
    std::uint64_t epoch = 0;  // incremented with each call of the caller
    Attempt attempt;
    std::uint64_t wait_epoch = 0;
    TimeUs wait_since = 0;  // end of an attempt that requires a release wait; 0: no wait
    std::string wait_reason;
  };
  // An exchange as the roster last described it to the edge.
  struct RosterEntry {
    std::string status;
    TimeUs notified_at = 0;
    std::uint32_t incarnation = 0;
  };
  struct Edge {
    int number = -1;
    Work work;
    TimeUs killed_at = 0;
    TimeUs stalled_from = ~TimeUs{0}, stalled_to = 0;  // the last interval in which the process was stalled
    core::Address edge, gateway;
    std::map<std::string, PendingAnswer> pending_answers;  // by endpoint: line or incoming circuit
    std::map<std::string, CallerState> callers;            // by origin exchange and calling line
    std::map<std::string, std::string> caller_of_circuit;
    // Deadline and endpoint of each NTFY that offers a call, by transaction.
    std::map<std::uint32_t, std::pair<TimeUs, std::string>> unacknowledged_offers;
    std::map<std::uint32_t, std::string> seizures;                       // CRCX by transaction: circuit
    std::map<std::pair<bool, std::uint32_t>, TimeUs> seen_transactions;  // first copies, to recognise retransmissions
    std::map<int, std::map<std::uint32_t, RosterEntry>> roster;          // by exchange number and id
    std::uint64_t roster_version = 0;
  };
  // A restarted exchange and the recent set-ups sent to it.
  struct ColdStart {
    TimeUs at = 0;
    double set_ups_per_s = 0.0, cold_from = 1.0, multiple = 0.0;
    TimeUs warm_up = 0, fall = 0;
    std::deque<std::pair<TimeUs, bool>> sent;  // time, and whether the sending edge had been notified of the restart
  };

  void RecordViolation(Rule rule, TimeUs at, const std::string& where, const std::string& what);
  void CountCheck(Rule rule) { ++findings_[static_cast<std::size_t>(rule)].checked; }
  void OnFact(const TraceRecord& record);
  void OnRoster(Edge& edge, const TraceRecord& record);
  void OnCommandOfEdge(Edge& edge, TimeUs at, const mgcp::Message& message);
  void OnCommandOfGateway(Edge& edge, TimeUs at, const mgcp::Message& message);
  void OnResponseOfEdge(Edge& edge, TimeUs at, const mgcp::Message& message);
  void OnResponseOfGateway(Edge& edge, TimeUs at, const mgcp::Message& message);
  void OnSetUp(Edge& edge, TimeUs at, const mgcp::Message& message, std::string_view sup);
  void OnFinal(Edge& edge, TimeUs at, const std::string& endpoint, const std::string& what);
  void EndAttempt(Edge& edge, TimeUs at, const std::string& circuit, bool requires_wait, const std::string& why);
  void ResetEdge(Edge& edge);
  bool IsFirstCopy(Edge& edge, bool from_edge, const mgcp::Message& message, TimeUs at);
  static std::string Location(const Edge& edge, std::string_view endpoint);

  std::array<RuleFinding, kRules> findings_;
  std::map<std::uint32_t, Edge> edges_;  // by host address of the edge
  std::map<std::uint32_t, std::uint32_t> edge_of_gateway_;
  std::map<int, ColdStart> cold_starts_;
  core::Address roster_;
  TimeUs release_us_ = 0, grace_us_ = 0, last_record_us_ = 0;
  TimeUs first_record_us_ = 0;  // time of the first record; times in examples are relative to it
  std::uint64_t accepted_calls_ = 0, transit_calls_ = 0, fell_over_ = 0;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_RULE_CHECKER_H_
