// Per-class accounting of a scenario run, computed from its trace alone: the result of each call attempt, the wasted
// resources, and the optimization problem whose solution bounds the worth that could have been served.
//
// Like the rule checker it reads the datagrams and the recorded facts that no datagram shows. Of the product it uses
// only the MGCP parser and the names on the wire.
#ifndef CROFTRUN_LAB_DAY_ACCOUNTS_H_
#define CROFTRUN_LAB_DAY_ACCOUNTS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/scenario.h"
#include "lab/trace.h"
#include "mgcp/message.h"
#include "reach/account.h"
#include "reach/bound.h"

namespace croftrun::lab {

// Consumes the records of a trace in order.
class DayAccounts {
 public:
  explicit DayAccounts(const Scenario& scenario);
  void AddRecord(const TraceRecord& record);

  const reach::Ledger& ledger() const { return ledger_; }
  // The offered traffic and the available capacity, in intervals of `interval_us`.
  reach::Problem Problem(TimeUs interval_us) const;
  // The upper bound for the run, at the standard interval.
  reach::Bound Bound() const;

  // Figures for the charts, by bin of length kBinLength from the start of the traffic.
  struct Bin {
    std::uint64_t offered = 0, tries = 0, established = 0, refused = 0, failed = 0;
    std::map<std::pair<int, int>, std::pair<unsigned, unsigned>> groups;  // circuits in use, and their total
    std::vector<double> queue_delays_ms;                                  // queueing delay by exchange; -1: down
  };
  static constexpr TimeUs kBinLength = 500'000;
  // A fault and the time in which it was in force.
  struct FaultPeriod {
    std::string kind;
    double from_s = 0.0, to_s = 0.0;
  };
  const std::vector<Bin>& bins() const { return bins_; }
  std::vector<FaultPeriod> fault_periods() const;

 private:
  // A set-up sent by an edge. `end`, `cause` and the state of the exchange it was sent to are valid once it has ended.
  struct SetUp {
    int to = -1;
    std::string circuit;
    TimeUs at = 0;
    reach::SetUpOutcome end = reach::SetUpOutcome::kPending;
    int cause = 0;
    bool warming_up = false, down = false, slow = false;
  };
  struct Edge {
    int number = -1;
    bool up = true;
    TimeUs last_outage_end = 0;
    std::map<std::string, SetUp> set_up_by_caller;         // the last set-up of each caller
    std::map<std::string, std::string> caller_by_circuit;  // caller whose set-up is pending on the circuit
    // The circuit of each CRCX without a response, by transaction.
    std::map<std::uint32_t, std::string> unanswered_commands;
  };
  void OnFact(const TraceRecord& record);
  void OnAttempt(const TraceRecord& record);
  void OnEdge(Edge& edge, TimeUs at, const mgcp::Message& message);
  void OnGateway(Edge& edge, TimeUs at, const mgcp::Message& message);
  void RecordSetUpResult(Edge& edge, const std::string& circuit, reach::SetUpOutcome end, int cause);
  void RecordDestinationState(SetUp* set_up) const;
  Bin* FindBin(TimeUs at);

  const Scenario scenario_;
  reach::Ledger ledger_;
  std::map<std::uint32_t, int> edge_hosts_, gateway_hosts_;
  std::map<int, Edge> edges_;
  std::set<int> down_, hung_, slow_;
  std::map<int, TimeUs> warming_up_until_;
  TimeUs now_ = 0, start_time_ = 0, first_record_at_ = 0;
  std::vector<double> queue_delays_ms_;  // by exchange, from the last sample
  double max_queue_delay_us_ = 0.0;      // a queueing delay above this makes set-ups late
  std::map<std::tuple<int, int, int, bool, std::uint64_t>, double> offered_;  // from, to, class, crowded, bin
  std::vector<Bin> bins_;
  std::vector<FaultPeriod> fault_periods_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_DAY_ACCOUNTS_H_
