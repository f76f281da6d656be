// The sub-commands of croftrun. Each returns the program's exit code.
#ifndef CROFTRUN_CLI_COMMANDS_H_
#define CROFTRUN_CLI_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace croftrun::cli {

enum ExitCode {
  kDone = 0,
  kVerdictAgainst = 1,  // it ran, and what it found is not good: a rule broken, an edge that died
  kUsage = 2,
  kBadInput = 3,  // a file that cannot be read or does not fit its schema
  kCannotRun = 4,
};

struct LabRun {
  std::string scenario, edge_program, folder;
  bool capture = false, json = false, quiet = false;
  bool flow = false;  // edges export flows to collectors, whose records are compared with the trace
};
int RunDay(const LabRun& options);

struct LabCompare {
  std::vector<std::string> scenarios;
  std::vector<std::string> deciders;  // none: all
  int seeds = 1;                      // of each scenario: its own, and so many less one after it
  bool json = false, quiet = false;
};
// The module and baselines on the same days, on virtual time.
int CompareDeciders(const LabCompare& options);
struct LabDoors {
  std::vector<double> floods = {0, 200, 500, 1000, 2000, 4000};
  std::uint64_t seed = 1;
  std::string svg;
  bool json = false;
};
// Doors on the same evening, on virtual time.
int CompareDoors(const LabDoors& options);
// The page of a day that was run, again from its folder.
int ReportDay(const std::string& folder, const std::string& out);

struct LoadRun {
  std::string edge_program, folder;
  double calls_per_s = 1000.0;
  int seconds = 5;
  int hold_ms = 200;
  int lines = 0;  // 0: what the rate needs
  int edge_cpu = -1, own_cpu = -1;
  std::string rules;  // a file for the edge; empty: none
  // udp, tcp, dead, stall: where flow records go; spool: to none, with a spool; outage: over TCP with a spool, to one
  // that is away for a time; empty: nowhere.
  std::string flow;
  int outage_s = 60;
  double strangers_per_s = 0.0;  // datagrams from an address that is no gateway of the edge, at most 200,000 a second
  int reload_ms = 0;             // the edge is told to read it again as often; 0: never
  bool json = false, echo = true;
};
int RunLoad(const LoadRun& options);

// The five rules of the product, from a trace alone.
int GiveVerdict(const std::string& trace, bool json);

struct RulesRun {
  std::string file, settings;
  std::string call, at;  // of explain, in the language
  int calls = 1'000'000;
  bool json = false, overlaps = false;
};
int CheckRuleFile(const RulesRun& options);
int ExplainCall(const RulesRun& options);
int TestRules(const RulesRun& options);
int BenchRules(const RulesRun& options);

struct FlowRun {
  std::string from;  // a file of IPFIX messages, or an address to listen at
  bool tcp = false, json = false;
  std::string certificate, key, authorities;  // to listen over TLS
  std::string out;                            // messages are also kept there, as they came (RFC 5655)
  std::string svg, title;                     // of the report, as a picture
  std::uint64_t bin_ms = 1000;
  std::vector<std::string> marks;  // "SECONDS=TEXT", from the first attempt on
  int seconds = 10;                // of listening
  std::uint32_t enterprise = 32473;
  std::uint64_t split_ms = 0;  // of the report: Unix time in milliseconds; or
  double split_s = 0.0;        // seconds after the first attempt
};
int DecodeFlow(const FlowRun& options);
int ReportFlow(const FlowRun& options);

int CheckConfig(const std::string& file, bool json);
int ShowConfig(const std::string& file);
int ConvertDayFile(const std::string& day, const std::string& out, int most_edges, double most_calls_per_s);

}  // namespace croftrun::cli

#endif  // CROFTRUN_CLI_COMMANDS_H_
