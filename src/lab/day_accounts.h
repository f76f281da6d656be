// The accounts of a day from its trace alone: where each try went, what was wasted, and the day as a problem
// for the bound.
//
// It reads datagrams as the check of the rules does, and the facts that no datagram tells; of the product it
// uses only the MGCP parser and the names on the wire.
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

class DayAccounts {
 public:
  explicit DayAccounts(const Scenario& scenario);
  void AddRecord(const TraceRecord& record);

  const reach::Ledger& ledger() const { return ledger_; }
  // The day as it was offered; `interval_us` as fine as wished.
  reach::Problem Problem(TimeUs interval_us) const;
  reach::Bound Bound() const;

  // For the picture: by bin of half a second from the day's begin.
  struct Bin {
    std::uint64_t offered = 0, tries = 0, established = 0, refused = 0, failed = 0;
    std::map<std::pair<int, int>, std::pair<unsigned, unsigned>> groups;  // circuits in use, of how many
    std::vector<double> queue_delays_ms;                                  // -1: down
  };
  static constexpr TimeUs kBinLength = 500'000;
  struct FaultPeriod {
    std::string kind;
    double from_s = 0.0, to_s = 0.0;
  };
  const std::vector<Bin>& bins() const { return bins_; }
  std::vector<FaultPeriod> fault_periods() const;

 private:
  struct SetUp {
    int to = -1;
    std::string circuit;
    TimeUs at = 0;
    reach::SetUpOutcome end = reach::SetUpOutcome::kPending;
    int cause = 0;
    bool cold = false, dead = false, slow = false;
  };
  struct Edge {
    int number = -1;
    bool up = true;
    TimeUs last_down = 0;                           // the last moment that it was not at work
    std::map<std::string, SetUp> by_caller;         // the last set-up of each caller
    std::map<std::string, std::string> on_circuit;  // whose set-up is out there
    std::map<std::uint32_t, std::string> asked;     // CRCX not answered yet: its circuit
  };
  void OnFact(const TraceRecord& record);
  void OnTry(const TraceRecord& record);
  void OnEdge(Edge& edge, TimeUs at, const mgcp::Message& message);
  void OnGateway(Edge& edge, TimeUs at, const mgcp::Message& message);
  void End(Edge& edge, const std::string& circuit, reach::SetUpOutcome end, int cause);
  void Judge(SetUp* set_up) const;
  Bin* BinAt(TimeUs at);

  const Scenario scenario_;
  reach::Ledger ledger_;
  std::map<std::uint32_t, int> edge_hosts_, gateway_hosts_;
  std::map<int, Edge> edges_;
  std::set<int> dead_, hung_, slow_;
  std::map<int, TimeUs> cold_until_;
  TimeUs now_ = 0, began_ = 0, first_ = 0;
  std::vector<double> queue_delays_ms_;  // of processors, as last seen
  double pressed_us_ = 0.0;              // a wait past this keeps set-ups from being in time
  std::map<std::tuple<int, int, int, bool, std::uint64_t>, double> offered_;  // from, to, class, crowded, bin
  std::vector<Bin> bins_;
  std::vector<FaultPeriod> fault_periods_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_DAY_ACCOUNTS_H_
