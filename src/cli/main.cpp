// croftrun: one command line for what surrounds the edge: the laboratory, the rules, settings and day files.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "cli/commands.h"
#include "cli/soak.h"

int main(int argc, char** argv) {
  using namespace croftrun::cli;
  CLI::App app("croftrun: laboratory, rules and settings of the softswitch");
  app.require_subcommand(1);
  app.footer("Exit codes: 0 done, 1 the verdict is against it, 2 usage, 3 a file at fault, 4 could not run.");
  bool json = false;
  const std::string beside = (std::filesystem::path(argv[0]).parent_path() / "croftrun-edge").string();
  int code = kDone;

  CLI::App* lab = app.add_subcommand("lab", "Stand-ins on loopback addresses: days and load");
  lab->require_subcommand(1);
  LabRun run;
  run.edge_program = beside;
  run.folder = "lab-out";
  CLI::App* run_command = lab->add_subcommand("run", "Plays a scenario against real edges and gives a verdict");
  run_command->add_option("scenario", run.scenario, "JSON (schemas/scenario.schema.json)")->required();
  run_command->add_option("--edge", run.edge_program, "The croftrun-edge to start")->capture_default_str();
  run_command->add_option("--folder", run.folder, "For trace, settings, logs and metrics")->capture_default_str();
  run_command->add_flag("--capture", run.capture, "Also write capture.pcap");
  run_command->add_flag("--flow", run.flow, "Edges export flows; records are kept and compared with the trace");
  run_command->add_flag("--json", run.json, "The report as JSON");
  run_command->add_flag("--quiet", run.quiet, "No progress");
  run_command->callback([&] { code = RunDay(run); });

  LabCompare compare;
  CLI::App* compare_command =
      lab->add_subcommand("compare", "Plays days on virtual time with the module and with baselines in its place");
  compare_command->add_option("scenarios", compare.scenarios, "JSON (schemas/scenario.schema.json)")->required();
  compare_command->add_option("--decider", compare.deciders, "Only these; several times")
      ->check(CLI::IsMember({"module", "direct-only", "direct-then-random", "least-loaded"}));
  compare_command->add_option("--seeds", compare.seeds, "Each day with so many seeds")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  compare_command->add_flag("--json", compare.json, "As JSON");
  compare_command->callback([&] { code = CompareDeciders(compare); });

  LabDoors doors;
  CLI::App* doors_command = lab->add_subcommand(
      "doors", "Compares the fair door with others under a flood of made-up identities, on virtual time");
  doors_command->add_option("--flood", doors.floods, "Identities a second; several")->check(CLI::Range(0.0, 100'000.0));
  doors_command->add_option("--seed", doors.seed, "Of the evening")->capture_default_str();
  doors_command->add_option("--svg", doors.svg, "Also as a picture, there");
  doors_command->add_flag("--json", doors.json, "As JSON");
  doors_command->callback([&] { code = CompareDoors(doors); });

  std::string report_folder, report_out;
  CLI::App* day_report = lab->add_subcommand("report", "Draws a day that was run: one HTML page, from its trace");
  day_report->add_option("folder", report_folder, "As lab run left it")->required();
  day_report->add_option("-o,--out", report_out, "The page; left out: day.html in the folder");
  day_report->callback([&] { code = ReportDay(report_folder, report_out); });

  LoadRun load;
  load.edge_program = beside;
  load.folder = "lab-load";
  CLI::App* load_command = lab->add_subcommand("load", "Loads one edge with calls and measures it beside a raw echo");
  load_command->add_option("--edge", load.edge_program, "The croftrun-edge to start")->capture_default_str();
  load_command->add_option("--folder", load.folder, "For settings and metrics")->capture_default_str();
  load_command->add_option("--rate", load.calls_per_s, "Calls a second")->capture_default_str();
  load_command->add_option("--seconds", load.seconds, "For so long, 300 at most")
      ->check(CLI::Range(1, 300))
      ->capture_default_str();
  load_command->add_option("--hold-ms", load.hold_ms, "A call that stands is held so long")->capture_default_str();
  load_command->add_option("--lines", load.lines, "Lines; 0: what the rate needs")->capture_default_str();
  load_command->add_option("--edge-cpu", load.edge_cpu, "Ask for this processor for the edge")->capture_default_str();
  load_command->add_option("--own-cpu", load.own_cpu, "Ask for this processor for the load")->capture_default_str();
  load_command->add_option("--rules", load.rules, "Rules for the edge (the only class is load)");
  load_command->add_option("--flow", load.flow, "Flow records go to a collector that reads, or does not")
      ->check(CLI::IsMember({"udp", "tcp", "dead", "stall", "spool", "outage"}));
  load_command
      ->add_option("--outage-s", load.outage_s,
                   "The collector of outage is away for so long, from a quarter of the time on")
      ->check(CLI::Range(1, 200))
      ->capture_default_str();
  load_command->add_option("--reload-ms", load.reload_ms, "Have the edge read them again as often")
      ->check(CLI::Range(10, 60'000));
  load_command
      ->add_option("--strangers", load.strangers_per_s,
                   "Meanwhile so many NTFY a second of made-up transactions from an address that is no gateway")
      ->check(CLI::Range(0, 200'000));
  load_command->add_flag("!--no-echo", load.echo, "Leave the raw echo out");
  load_command->add_flag("--json", load.json, "The figures as JSON");
  load_command->callback([&] { code = RunLoad(load); });

  SoakRun soak;
  soak.edge_program = beside;
  soak.folder = "lab-out/soak";
  CLI::App* soak_command = lab->add_subcommand(
      "soak", "Seeded trials of a handful of softswitches on the platform under faults (docs/soak.md)");
  soak_command->add_option("--edge", soak.edge_program, "The croftrun-edge to start")->capture_default_str();
  soak_command->add_option("--folder", soak.folder, "For configurations and logs")->capture_default_str();
  soak_command->add_option("--seed", soak.first_seed, "The first")->capture_default_str();
  soak_command->add_option("--count", soak.count, "So many seeds")->check(CLI::Range(1, 10'000))->capture_default_str();
  soak_command->add_option("--jobs", soak.jobs, "Trials at the same time")
      ->check(CLI::Range(1, 16))
      ->capture_default_str();
  soak_command
      ->add_option("--slot", soak.first_slot, "First address range, 127.(32 + slot); taken ones are passed over")
      ->check(CLI::Range(0, 63))
      ->capture_default_str();
  soak_command->add_option("--most-mb", soak.most_megabytes, "Memory of a softswitch; sanitized builds need more")
      ->check(CLI::Range(1, 4096))
      ->capture_default_str();
  soak_command->add_option("--only", soak.only, "Only this kind of fault; several times");
  soak_command->add_option("--without", soak.without, "Not this kind of fault; several times");
  soak_command->add_flag("--shrink", soak.shrink, "Leave out faults of failed trials as long as they fail");
  soak_command->add_flag("--script", soak.show_script, "Show the faults of every trial");
  soak_command->add_flag("--json", soak.json, "As JSON");
  soak_command->add_flag("--quiet", soak.quiet, "Only the summary");
  soak_command->callback([&] { code = RunSoak(soak); });

  std::string path, out;
  CLI::App* verdict = app.add_subcommand("verdict", "Verifies the five rules of the product from a trace alone");
  verdict->add_option("trace", path, "JSON lines")->required();
  verdict->add_flag("--json", json, "The findings as JSON");
  verdict->callback([&] { code = GiveVerdict(path, json); });

  RulesRun of_rules;
  CLI::App* rules = app.add_subcommand("rules", "Rules that classify calls (docs/expressions.md)");
  rules->require_subcommand(1);
  const auto add_rules = [&](const char* name, const char* what, int (*run_it)(const RulesRun&)) {
    CLI::App* command = rules->add_subcommand(name, what);
    command->add_option("file", of_rules.file, "The rules")->required();
    command->add_option("--settings", of_rules.settings, "Settings of the edge, for its classes and customers")
        ->required();
    command->add_flag("--json", of_rules.json, "As JSON");
    command->callback([&code, &of_rules, run_it] { code = run_it(of_rules); });
    return command;
  };
  add_rules("check", "Tells every mistake, and rules that are never reached", CheckRuleFile)
      ->add_flag("--overlaps", of_rules.overlaps, "Also rules that may match the same call and differ");
  CLI::App* explain = add_rules("explain", "Shows which rule matches a call, and why the others do not", ExplainCall);
  explain->add_option("--call", of_rules.call, "As in an example: called = \"2100\", customer = crew-leads, line = 7")
      ->required();
  explain->add_option("--at", of_rules.at, "As in an example: 2026-12-24 18:30");
  add_rules("test", "Runs the examples that stand beside the rules", TestRules);
  add_rules("bench", "Measures the rules on their examples", BenchRules)
      ->add_option("--calls", of_rules.calls, "So many")
      ->check(CLI::Range(1, 100'000'000))
      ->capture_default_str();

  FlowRun of_flow;
  CLI::App* flow = app.add_subcommand("flow", "Flow records (docs/flow-export.md)");
  flow->require_subcommand(1);
  CLI::App* decode = flow->add_subcommand("decode", "Shows records as JSON lines");
  decode->add_option("from", of_flow.from, "A file of IPFIX messages, or an address to listen at, 127.0.0.1:4739")
      ->required();
  decode->add_flag("--tcp", of_flow.tcp, "Listen for TCP, not UDP");
  CLI::Option* certificate =
      decode->add_option("--certificate", of_flow.certificate, "Listen for TLS, with this certificate (PEM)");
  CLI::Option* key = decode->add_option("--key", of_flow.key, "Its key (PEM)");
  certificate->needs(key);
  key->needs(certificate);
  decode->add_option("--authorities", of_flow.authorities, "Let in only who shows a certificate of these (PEM)")
      ->needs(certificate);
  decode->add_option("-o,--out", of_flow.out, "Keep the messages there, as they came");
  decode->add_option("--seconds", of_flow.seconds, "Listen for so long")
      ->check(CLI::Range(1, 3600))
      ->capture_default_str();
  decode->add_option("--enterprise", of_flow.enterprise, "Number of our enterprise elements")->capture_default_str();
  decode->callback([&] { code = DecodeFlow(of_flow); });
  CLI::App* report = flow->add_subcommand("report", "How attempts went by group before and after a time");
  report->add_option("file", of_flow.from, "A file of IPFIX messages")->required();
  CLI::Option* split_ms = report->add_option("--split-ms", of_flow.split_ms, "Unix time in milliseconds");
  report->add_option("--split-s", of_flow.split_s, "Or seconds after the first attempt")->excludes(split_ms);
  report->add_option("--svg", of_flow.svg, "Also as a picture over time, there");
  report->add_option("--title", of_flow.title, "Of the picture");
  report->add_option("--bin-ms", of_flow.bin_ms, "Of the picture's columns")
      ->check(CLI::Range(1, 86'400'000))
      ->capture_default_str();
  report->add_option("--mark", of_flow.marks, "SECONDS=TEXT, drawn there; several times");
  report->add_flag("--json", of_flow.json, "As JSON");
  report->callback([&] { code = ReportFlow(of_flow); });

  CLI::App* config = app.add_subcommand("config", "Settings of an edge");
  config->require_subcommand(1);
  CLI::App* check = config->add_subcommand("check", "Tells every mistake of a settings file");
  check->add_option("file", path)->required();
  check->add_flag("--json", json, "The mistakes as JSON");
  check->callback([&] { code = CheckConfig(path, json); });
  CLI::App* show = config->add_subcommand("show", "Shows the settings in force, defaults filled in");
  show->add_option("file", path)->required();
  show->callback([&] { code = ShowConfig(path); });

  int most_edges = 16;
  double most_calls = 250.0;
  CLI::App* day = app.add_subcommand("day", "Day files of the bench");
  day->require_subcommand(1);
  CLI::App* convert = day->add_subcommand("convert", "Makes a scenario of a day file, scaled to one machine");
  convert->add_option("day", path, "JSON, as drawn by the bench")->required();
  convert->add_option("-o,--out", out, "The scenario; left out: standard output");
  convert->add_option("--edges", most_edges, "Exchanges at most")->check(CLI::Range(2, 128))->capture_default_str();
  convert->add_option("--rate", most_calls, "Calls a second at most; fewer exchanges are kept until it holds")
      ->capture_default_str();
  convert->callback([&] { code = ConvertDayFile(path, out, most_edges, most_calls); });

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
