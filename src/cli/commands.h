// The subcommands of croftrun and their options. Each function returns the exit code of the program.
#ifndef CROFTRUN_CLI_COMMANDS_H_
#define CROFTRUN_CLI_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace croftrun::cli {

// Exit codes, also listed in the help text.
enum ExitCode {
  kDone = 0,
  kCheckFailed = 1,  // the command ran and a check failed, for example a rule was broken or an edge crashed
  kUsage = 2,
  kBadInput = 3,  // a file cannot be read or does not match its schema
  kCannotRun = 4,
};

// lab run: runs a scenario against real edges and checks the rules.
struct LabRun {
  std::string scenario, edge_program, folder;
  bool capture = false, json = false, quiet = false;
  bool flow = false;  // edges export flow records, which are compared with the trace
};
int RunDay(const LabRun& options);

// lab compare: runs scenarios in virtual time with the decision module and with baseline policies.
struct LabCompare {
  std::vector<std::string> scenarios;
  std::vector<std::string> deciders;  // empty: all
  int seeds = 1;                      // number of seeds for each scenario, counting up from its own
  bool json = false, quiet = false;
};
int CompareDeciders(const LabCompare& options);

// lab doors: compares admission policies on the same traffic, in virtual time.
struct LabAdmission {
  // Forged identities per second.
  std::vector<double> floods = {0, 200, 500, 1000, 2000, 4000};
  std::uint64_t seed = 1;
  std::string svg;
  bool json = false;
};
int CompareAdmission(const LabAdmission& options);

// lab report: creates the HTML report of a scenario run from its folder. An empty `out` means day.html in the folder.
int ReportDay(const std::string& folder, const std::string& out);

// lab load: loads one edge with calls and compares it with a plain UDP echo server.
struct LoadRun {
  std::string edge_program, folder;
  double calls_per_s = 1000.0;
  int seconds = 5;
  int hold_ms = 200;
  int lines = 0;  // 0: as many as the rate requires
  int edge_cpu = -1, own_cpu = -1;
  std::string rules;  // rules file of the edge; empty: none
  // Flow export. udp, tcp: to a collector that reads; dead: to an address without a collector; stall: to a collector
  // that does not read; spool: as dead, with a spool; outage: over TCP with a spool, to a collector that is down for
  // some time; empty: no export.
  std::string flow;
  int outage_s = 60;
  // Rate of datagrams from an address that is not the edge's gateway, at most 200,000.
  double stray_datagrams_per_s = 0.0;
  int reload_ms = 0;  // interval at which the edge reloads its rules file; 0: never
  bool json = false, echo = true;
};
int RunLoad(const LoadRun& options);

// verdict: checks a trace against the five rules.
int CheckTrace(const std::string& trace, bool json);

// rules check, explain, test and bench: work on a rules file with the settings of an edge.
struct RulesRun {
  std::string file, settings;
  std::string call, at;   // attributes and time of the call for explain, in the rule language
  int calls = 1'000'000;  // evaluations by bench
  bool json = false, overlaps = false;
};
int CheckRuleFile(const RulesRun& options);
int ExplainCall(const RulesRun& options);
int TestRules(const RulesRun& options);
int BenchRules(const RulesRun& options);

// flow decode and flow report.
struct FlowRun {
  std::string from;  // file of IPFIX messages, or an address to listen on
  bool tcp = false, json = false;
  std::string certificate, key, authorities;  // PEM files for listening on TLS
  std::string out;                            // file that received messages are stored in unchanged (RFC 5655)
  std::string svg, title;                     // chart of the report
  std::uint64_t bin_ms = 1000;
  std::vector<std::string> marks;  // "SECONDS=TEXT", in seconds after the first attempt
  int seconds = 10;                // listening time
  std::uint32_t enterprise = 32473;
  std::uint64_t split_ms = 0;  // point in time that the report compares, as Unix time in milliseconds
  double split_s = 0.0;        // the same in seconds after the first attempt
};
int DecodeFlow(const FlowRun& options);
int ReportFlow(const FlowRun& options);

// config check and config show.
int CheckConfig(const std::string& file, bool json);
int ShowConfig(const std::string& file);
// day convert: converts a day file of the bench to a scenario for one machine.
int ConvertDayFile(const std::string& day, const std::string& out, int max_exchanges, double max_calls_per_s);

}  // namespace croftrun::cli

#endif  // CROFTRUN_CLI_COMMANDS_H_
