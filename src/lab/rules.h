// The five rules, verified from the traffic on the sockets alone. Shares no code with the core or the module: of the
// product it uses only the MGCP parser.
//
// Times are those at which the laboratory sent or received; a datagram in flight is given kCrossing.
#ifndef CROFTRUN_LAB_RULES_H_
#define CROFTRUN_LAB_RULES_H_

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

enum class Rule { kOneAnswer, kOneAttempt, kDrains, kColdStart, kReleaseWait };
inline constexpr std::size_t kRules = 5;
std::string_view Name(Rule rule);

struct RuleFinding {
  std::uint64_t checked = 0;  // occasions on which the rule could have been broken
  std::uint64_t broken = 0;
  std::vector<std::string> examples;  // the first few, with time and place
  // A rule of which nothing was checked was not kept: it was not put to the test.
  std::string_view Verdict() const { return broken > 0 ? "BROKEN" : checked == 0 ? "not exercised" : "kept"; }
};

class RuleChecker {
 public:
  static constexpr std::size_t kMostExamples = 10;
  // A datagram sent within this of an event it could not know of has crossed it.
  static constexpr TimeUs kCrossing = 20'000;

  // Records in order of time.
  void Take(const TraceRecord& record);
  // After the last record: what is still open and overdue.
  void Finish();

  const RuleFinding& Finding(Rule rule) const { return findings_[static_cast<std::size_t>(rule)]; }
  bool Kept() const;
  std::uint64_t calls_taken() const { return taken_; }
  std::uint64_t transit_taken() const { return transit_; }
  std::uint64_t fell_over() const { return fell_over_; }
  // Edges named in the trace; without any, nothing could be checked.
  std::size_t edges() const { return edges_.size(); }
  std::string Summary() const;
  // Of one edge: calls taken from lines and from other exchanges, and set-ups sent, its repeats not counted.
  struct Work {
    std::uint64_t calls = 0, set_ups = 0;
  };
  std::map<int, Work> work() const;

 private:
  // The answer owed to a line, or to the exchange that sent a call here.
  struct Owed {
    TimeUs taken_at = 0, deadline = 0;
    bool answered = false;
    TimeUs over_at = 0;  // the caller hung up; 0: not yet
  };
  struct Attempt {
    std::string circuit;  // the one with the address
    TimeUs sent_at = 0;
    bool out = false, acknowledged = false, answered = false;
  };
  // All about one caller's present call at one edge.
  struct CallerState {
    std::uint64_t epoch = 0;  // which of the caller's calls
    Attempt attempt;
    std::uint64_t wait_epoch = 0;
    TimeUs wait_since = 0;  // an attempt ended so that a release wait follows; 0: none
    std::string wait_why;
  };
  struct Listed {
    std::string status;
    TimeUs told_at = 0;
    std::uint32_t incarnation = 0;
  };
  struct Edge {
    int number = -1;
    Work work;
    TimeUs killed_at = 0;
    TimeUs stalled_from = ~TimeUs{0}, stalled_to = 0;  // the last time that it stood still
    core::Address edge, gateway;
    std::map<std::string, Owed> owed;            // by endpoint: lines and incoming circuits
    std::map<std::string, CallerState> callers;  // by origin and calling line
    std::map<std::string, std::string> caller_of_circuit;
    std::map<std::uint32_t, std::pair<TimeUs, std::string>> dialled;  // NTFY not yet acknowledged: deadline, line
    std::map<std::uint32_t, std::string> seizures;                    // CRCX by transaction: circuit
    std::map<std::pair<bool, std::uint32_t>, TimeUs> seen;            // transactions, told from their repeats
    std::map<int, std::map<std::uint32_t, Listed>> roster;            // by number, by id
    std::uint64_t roster_version = 0;
  };
  struct Cold {
    TimeUs at = 0;
    double set_ups_per_s = 0.0, cold_from = 1.0, multiple = 0.0;
    TimeUs warm_up = 0, fall = 0;
    std::deque<std::pair<TimeUs, bool>> sent;  // when, by an edge that was told
  };

  void Break(Rule rule, TimeUs at, const std::string& where, const std::string& what);
  void Check(Rule rule) { ++findings_[static_cast<std::size_t>(rule)].checked; }
  void OnFact(const TraceRecord& record);
  void OnRoster(Edge& edge, const TraceRecord& record);
  void OnCommandOfEdge(Edge& edge, TimeUs at, const mgcp::Message& message);
  void OnCommandOfGateway(Edge& edge, TimeUs at, const mgcp::Message& message);
  void OnResponseOfEdge(Edge& edge, TimeUs at, const mgcp::Message& message);
  void OnResponseOfGateway(Edge& edge, TimeUs at, const mgcp::Message& message);
  void OnSetUp(Edge& edge, TimeUs at, const mgcp::Message& message, std::string_view sup);
  void OnFinal(Edge& edge, TimeUs at, const std::string& endpoint, const std::string& what);
  void EndAttempt(Edge& edge, TimeUs at, const std::string& circuit, bool waits, const std::string& why);
  void Forget(Edge& edge);
  bool FirstSight(Edge& edge, bool from_edge, const mgcp::Message& message, TimeUs at);
  static std::string Where(const Edge& edge, std::string_view endpoint);

  std::array<RuleFinding, kRules> findings_;
  std::map<std::uint32_t, Edge> edges_;  // by host of the edge
  std::map<std::uint32_t, std::uint32_t> edge_of_gateway_;
  std::map<int, Cold> cold_;
  core::Address roster_;
  TimeUs release_us_ = 0, grace_us_ = 0, last_ = 0;
  TimeUs first_ = 0;  // of the trace: examples are told from there
  std::uint64_t taken_ = 0, transit_ = 0, fell_over_ = 0;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_RULES_H_
