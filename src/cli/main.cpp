// Entry point of croftrun, the command-line tool for the laboratory, rules, flow records, settings and day files.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "cli/commands.h"
#include "cli/soak.h"

int main(int argc, char** argv) {
  using namespace croftrun::cli;
  CLI::App app("croftrun: laboratory, rules and settings of the softswitch");
  app.require_subcommand(1);
  app.footer("Exit codes: 0 success, 1 a check failed, 2 usage error, 3 invalid input file, 4 could not run.");
  bool json = false;
  const std::string default_edge_program = (std::filesystem::path(argv[0]).parent_path() / "croftrun-edge").string();
  int code = kDone;

  CLI::App* lab = app.add_subcommand("lab", "Run scenarios and load tests against stand-ins on loopback addresses");
  lab->require_subcommand(1);
  LabRun run;
  run.edge_program = default_edge_program;
  run.folder = "lab-out";
  CLI::App* run_command = lab->add_subcommand("run", "Run a scenario against real edges and check the rules");
  run_command->add_option("scenario", run.scenario, "Scenario file, JSON (schemas/scenario.schema.json)")->required();
  run_command->add_option("--edge", run.edge_program, "Path of the croftrun-edge program")->capture_default_str();
  run_command->add_option("--folder", run.folder, "Output folder for trace, settings, logs and metrics")
      ->capture_default_str();
  run_command->add_flag("--capture", run.capture, "Also write a packet capture, capture.pcap");
  run_command->add_flag("--flow", run.flow,
                        "Have edges export flow records; keep them and compare them with the trace");
  run_command->add_flag("--json", run.json, "Print the report as JSON");
  run_command->add_flag("--quiet", run.quiet, "Do not show progress");
  run_command->callback([&] { code = RunDay(run); });

  LabCompare compare;
  CLI::App* compare_command = lab->add_subcommand(
      "compare", "Run scenarios in virtual time with the decision module and with baseline policies");
  compare_command->add_option("scenarios", compare.scenarios, "Scenario files, JSON (schemas/scenario.schema.json)")
      ->required();
  compare_command->add_option("--decider", compare.deciders, "Run only this policy; may be repeated")
      ->check(CLI::IsMember({"module", "direct-only", "direct-then-random", "least-loaded"}));
  compare_command->add_option("--seeds", compare.seeds, "Number of seeds for each scenario")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  compare_command->add_flag("--json", compare.json, "Print the results as JSON");
  compare_command->callback([&] { code = CompareDeciders(compare); });

  LabAdmission admission;
  CLI::App* admission_command = lab->add_subcommand(
      "doors", "Compare admission policies under a flood of forged client identities, in virtual time");
  admission_command->add_option("--flood", admission.floods, "Forged identities per second; one or more rates")
      ->check(CLI::Range(0.0, 100'000.0));
  admission_command->add_option("--seed", admission.seed, "Random seed")->capture_default_str();
  admission_command->add_option("--svg", admission.svg, "Also write a chart to this SVG file");
  admission_command->add_flag("--json", admission.json, "Print the results as JSON");
  admission_command->callback([&] { code = CompareAdmission(admission); });

  std::string report_folder, report_out;
  CLI::App* report_command = lab->add_subcommand("report", "Create an HTML report from the trace of a scenario run");
  report_command->add_option("folder", report_folder, "Output folder of lab run")->required();
  report_command->add_option("-o,--out", report_out, "Output file; default: day.html in the folder");
  report_command->callback([&] { code = ReportDay(report_folder, report_out); });

  LoadRun load;
  load.edge_program = default_edge_program;
  load.folder = "lab-load";
  CLI::App* load_command =
      lab->add_subcommand("load", "Load one edge with calls and compare it with a plain UDP echo server");
  load_command->add_option("--edge", load.edge_program, "Path of the croftrun-edge program")->capture_default_str();
  load_command->add_option("--folder", load.folder, "Output folder for settings and metrics")->capture_default_str();
  load_command->add_option("--rate", load.calls_per_s, "Calls per second")->capture_default_str();
  load_command->add_option("--seconds", load.seconds, "Duration of the load in seconds")
      ->check(CLI::Range(1, 300))
      ->capture_default_str();
  load_command->add_option("--hold-ms", load.hold_ms, "Holding time of an established call in milliseconds")
      ->capture_default_str();
  load_command->add_option("--lines", load.lines, "Number of lines; 0: as many as the rate requires")
      ->capture_default_str();
  load_command->add_option("--edge-cpu", load.edge_cpu, "Run the edge on this processor, if permitted")
      ->capture_default_str();
  load_command->add_option("--own-cpu", load.own_cpu, "Run the load generator on this processor, if permitted")
      ->capture_default_str();
  load_command->add_option("--rules", load.rules, "Rules file for the edge (the only class is load)");
  load_command
      ->add_option("--flow", load.flow, "Export flow records in this mode, to a collector that reads or does not")
      ->check(CLI::IsMember({"udp", "tcp", "dead", "stall", "spool", "outage"}));
  load_command
      ->add_option("--outage-s", load.outage_s,
                   "With --flow outage: seconds of collector outage, starting after a quarter of the duration")
      ->check(CLI::Range(1, 200))
      ->capture_default_str();
  load_command
      ->add_option("--reload-ms", load.reload_ms, "Interval in milliseconds at which the edge reloads the rules")
      ->check(CLI::Range(10, 60'000));
  load_command
      ->add_option("--strangers", load.stray_datagrams_per_s,
                   "Rate of additional NTFY per second with forged transactions from an unknown address")
      ->check(CLI::Range(0, 200'000));
  load_command->add_flag("!--no-echo", load.echo, "Skip the echo measurement");
  load_command->add_flag("--json", load.json, "Print the figures as JSON");
  load_command->callback([&] { code = RunLoad(load); });

  SoakOptions soak;
  soak.edge_program = default_edge_program;
  soak.folder = "lab-out/soak";
  CLI::App* soak_command = lab->add_subcommand(
      "soak", "Run seeded fault-injection trials of several softswitches on the platform (docs/soak.md)");
  soak_command->add_option("--edge", soak.edge_program, "Path of the croftrun-edge program")->capture_default_str();
  soak_command->add_option("--folder", soak.folder, "Output folder for configurations and logs")->capture_default_str();
  soak_command->add_option("--seed", soak.first_seed, "First seed")->capture_default_str();
  soak_command->add_option("--count", soak.count, "Number of seeds")
      ->check(CLI::Range(1, 10'000))
      ->capture_default_str();
  soak_command->add_option("--jobs", soak.jobs, "Number of trials to run in parallel")
      ->check(CLI::Range(1, 16))
      ->capture_default_str();
  soak_command
      ->add_option("--slot", soak.first_slot,
                   "First loopback address range, 127.(32 + slot); ranges in use are skipped")
      ->check(CLI::Range(0, 63))
      ->capture_default_str();
  soak_command
      ->add_option("--most-mb", soak.max_megabytes,
                   "Memory limit of a softswitch in megabytes; sanitized builds need more")
      ->check(CLI::Range(1, 4096))
      ->capture_default_str();
  soak_command->add_option("--only", soak.only, "Run only this fault kind; may be repeated");
  soak_command->add_option("--without", soak.without, "Exclude this fault kind; may be repeated");
  soak_command->add_flag("--shrink", soak.shrink,
                         "Reduce the script of a failed trial to the faults that still make it fail");
  soak_command->add_flag("--script", soak.show_schedule, "Print the fault script of every trial");
  soak_command->add_flag("--json", soak.json, "Print the results as JSON");
  soak_command->add_flag("--quiet", soak.quiet, "Print only the summary");
  soak_command->callback([&] { code = RunSoak(soak); });

  std::string path, out;
  CLI::App* verdict = app.add_subcommand("verdict", "Check a trace against the five rules of call handling");
  verdict->add_option("trace", path, "Trace file, JSON lines")->required();
  verdict->add_flag("--json", json, "Print the findings as JSON");
  verdict->callback([&] { code = CheckTrace(path, json); });

  RulesRun rules_options;
  CLI::App* rules = app.add_subcommand("rules", "Check and test rules that classify calls (docs/expressions.md)");
  rules->require_subcommand(1);
  const auto add_rules = [&](const char* name, const char* description, int (*function)(const RulesRun&)) {
    CLI::App* command = rules->add_subcommand(name, description);
    command->add_option("file", rules_options.file, "Rules file")->required();
    command
        ->add_option("--settings", rules_options.settings,
                     "Settings file of the edge, which defines classes and customers")
        ->required();
    command->add_flag("--json", rules_options.json, "Print the results as JSON");
    command->callback([&code, &rules_options, function] { code = function(rules_options); });
    return command;
  };
  add_rules("check", "Report errors and unreachable rules", CheckRuleFile)
      ->add_flag("--overlaps", rules_options.overlaps,
                 "Also report rules that can match the same call with different results");
  CLI::App* explain = add_rules("explain", "Show which rule matches a call, and why the others do not", ExplainCall);
  explain
      ->add_option("--call", rules_options.call,
                   "Attributes of the call, for example: called = \"2100\", customer = crew-leads, line = 7")
      ->required();
  explain->add_option("--at", rules_options.at, "Time of the call, for example: 2026-12-24 18:30");
  add_rules("test", "Run the examples in the rules file", TestRules);
  add_rules("bench", "Measure the evaluation time of the rules on their examples", BenchRules)
      ->add_option("--calls", rules_options.calls, "Number of calls to evaluate")
      ->check(CLI::Range(1, 100'000'000))
      ->capture_default_str();

  FlowRun flow_options;
  CLI::App* flow = app.add_subcommand("flow", "Decode and summarise flow records (docs/flow-export.md)");
  flow->require_subcommand(1);
  CLI::App* decode = flow->add_subcommand("decode", "Print records as JSON lines");
  decode
      ->add_option("from", flow_options.from,
                   "File of IPFIX messages, or an address to listen on, such as 127.0.0.1:4739")
      ->required();
  decode->add_flag("--tcp", flow_options.tcp, "Listen on TCP instead of UDP");
  CLI::Option* certificate =
      decode->add_option("--certificate", flow_options.certificate, "Listen on TLS with this certificate (PEM)");
  CLI::Option* key = decode->add_option("--key", flow_options.key, "Private key of the certificate (PEM)");
  certificate->needs(key);
  key->needs(certificate);
  decode
      ->add_option("--authorities", flow_options.authorities,
                   "Require a client certificate signed by one of these authorities (PEM)")
      ->needs(certificate);
  decode->add_option("-o,--out", flow_options.out, "Also store the received messages unchanged in this file");
  decode->add_option("--seconds", flow_options.seconds, "Listening time in seconds")
      ->check(CLI::Range(1, 3600))
      ->capture_default_str();
  decode
      ->add_option("--enterprise", flow_options.enterprise,
                   "Private enterprise number of the enterprise-specific elements")
      ->capture_default_str();
  decode->callback([&] { code = DecodeFlow(flow_options); });
  CLI::App* report =
      flow->add_subcommand("report", "Summarise attempt outcomes by group before and after a point in time");
  report->add_option("file", flow_options.from, "File of IPFIX messages")->required();
  CLI::Option* split_ms =
      report->add_option("--split-ms", flow_options.split_ms, "Point in time, as Unix time in milliseconds");
  report->add_option("--split-s", flow_options.split_s, "Point in time, in seconds after the first attempt")
      ->excludes(split_ms);
  report->add_option("--svg", flow_options.svg, "Also write a chart over time to this SVG file");
  report->add_option("--title", flow_options.title, "Title of the chart");
  report->add_option("--bin-ms", flow_options.bin_ms, "Width of the chart's time bins in milliseconds")
      ->check(CLI::Range(1, 86'400'000))
      ->capture_default_str();
  report->add_option("--mark", flow_options.marks, "Mark a point in the chart, as SECONDS=TEXT; may be repeated");
  report->add_flag("--json", flow_options.json, "Print the report as JSON");
  report->callback([&] { code = ReportFlow(flow_options); });

  CLI::App* config = app.add_subcommand("config", "Check and show edge settings");
  config->require_subcommand(1);
  CLI::App* check = config->add_subcommand("check", "Report all errors in a settings file");
  check->add_option("file", path, "Settings file")->required();
  check->add_flag("--json", json, "Print the errors as JSON");
  check->callback([&] { code = CheckConfig(path, json); });
  CLI::App* show = config->add_subcommand("show", "Print the effective settings, including defaults");
  show->add_option("file", path, "Settings file")->required();
  show->callback([&] { code = ShowConfig(path); });

  int max_exchanges = 16;
  double max_calls_per_s = 250.0;
  CLI::App* day = app.add_subcommand("day", "Convert day files of the bench");
  day->require_subcommand(1);
  CLI::App* convert = day->add_subcommand("convert", "Convert a day file to a scenario, scaled down to one machine");
  convert->add_option("day", path, "Day file of the bench, JSON")->required();
  convert->add_option("-o,--out", out, "Output file for the scenario; default: standard output");
  convert->add_option("--edges", max_exchanges, "Maximum number of exchanges")
      ->check(CLI::Range(2, 128))
      ->capture_default_str();
  convert
      ->add_option("--rate", max_calls_per_s, "Maximum calls per second; exchanges are removed until the rate is met")
      ->capture_default_str();
  convert->callback([&] { code = ConvertDayFile(path, out, max_exchanges, max_calls_per_s); });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;
  } catch (const std::exception& error) {
    std::cerr << "croftrun: " << error.what() << "\n";
    return kCannotRun;
  }
  return code;
}
