#include "cli/commands.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "edge/edge_settings.h"
#include "lab/admission_comparison.h"
#include "lab/baselines.h"
#include "lab/collector.h"
#include "lab/day.h"
#include "lab/day_accounts.h"
#include "lab/day_file.h"
#include "lab/day_report_page.h"
#include "lab/edge_processes.h"
#include "lab/rule_checker.h"
#include "lab/virtual_day.h"
#include "runtime/asio_runtime.h"

namespace croftrun::cli {
namespace {

// Limit on the size of input files.
constexpr std::size_t kMaxFileOctets = 64U << 20U;

// Prints the mistakes. Returns true if there are none.
bool CheckNoMistakes(const std::vector<config::SettingsError>& mistakes, const std::string& file) {
  if (mistakes.empty()) return true;
  std::cerr << file << ":\n" << config::ToString(mistakes);
  return false;
}

nlohmann::json RulesJson(const lab::RuleChecker& rules) {
  nlohmann::json json = {{"kept", rules.Kept()},
                         {"calls_taken", rules.accepted_calls()},
                         {"transit_taken", rules.accepted_transit_calls()},
                         {"fell_over", rules.fell_over()}};
  for (std::size_t i = 0; i < lab::kRules; ++i) {
    const auto rule = static_cast<lab::Rule>(i);
    const lab::RuleFinding& finding = rules.Finding(rule);
    json["rules"].push_back({{"rule", lab::Name(rule)},
                             {"verdict", finding.Verdict()},
                             {"checked", finding.checked},
                             {"broken", finding.broken},
                             {"examples", finding.examples}});
  }
  return json;
}

nlohmann::json ReportJson(const lab::Scenario& scenario, const lab::DayReport& report) {
  nlohmann::json json = {{"service", report.service},
                         {"datagrams", report.datagrams},
                         {"fell_over", report.collapsed},
                         {"still_up", report.calls_left},
                         {"no_line", report.no_free_line}};
  for (std::size_t i = 0; i < report.classes.size(); ++i) {
    const lab::ClassOutcome& o = report.classes[i];
    json["classes"].push_back({{"name", scenario.classes[i].name},
                               {"offered", o.offered},
                               {"tries", o.tries},
                               {"in_time", o.in_time},
                               {"late", o.late},
                               {"refused", o.refused},
                               {"failed", o.failed},
                               {"hung_up", o.hung_up},
                               {"unanswered", o.unanswered},
                               {"cut", o.terminated}});
  }
  const auto& delays = report.set_up_delays;
  if (!delays.empty()) {
    json["set_up_ms"] = {{"median", static_cast<double>(delays[delays.size() / 2]) / 1000.0},
                         {"p99", static_cast<double>(delays[delays.size() * 99 / 100]) / 1000.0},
                         {"most", static_cast<double>(delays.back()) / 1000.0}};
  }
  return json;
}

// Calls `take` for each record of a trace. Returns false if the file cannot be read or has an invalid line, after
// printing the error with its line number.
bool ReadTrace(const std::string& path, const std::function<void(const lab::TraceRecord&)>& take) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "cannot read " << path << "\n";
    return false;
  }
  std::string line;
  for (std::size_t number = 1; std::getline(file, line); ++number) {
    lab::TraceRecord record;
    std::string error;
    if (!lab::ParseRecord(line, &record, &error)) {
      std::cerr << path << ":" << number << ": " << error << "\n";
      return false;
    }
    take(record);
  }
  return true;
}

nlohmann::json AccountJson(const reach::Account& account) {
  nlohmann::json lost = nlohmann::json::object();
  for (std::size_t i = 0; i < reach::kLossCategories; ++i)
    lost[std::string(reach::Name(static_cast<reach::LossCategory>(i)))] = account.lost[i];
  return {{"tries", account.tries},
          {"in_time", account.in_time},
          {"late", account.late},
          {"lost", lost},
          {"exact", account.IsBalanced()}};
}

double WorthServed(const lab::Scenario& scenario, const reach::Ledger& ledger) {
  double worth = 0.0;
  for (std::size_t i = 0; i < scenario.classes.size(); ++i) {
    const lab::TrafficClass& c = scenario.classes[i];
    const reach::Account& a = ledger.accounts()[i];
    worth += c.worth * (static_cast<double>(a.in_time) + c.late_worth * static_cast<double>(a.late));
  }
  return worth;
}

nlohmann::json AccountsJson(const lab::Scenario& scenario, const lab::DayAccounts& accounts,
                            const reach::Bound& bound) {
  const reach::Ledger& ledger = accounts.ledger();
  nlohmann::json json = {{"total", AccountJson(ledger.Total())},
                         {"circuit_refusals", ledger.refusals()},
                         {"refusals_of_one_circuit_running", ledger.max_consecutive_refusals()},
                         {"wasted", {{"count", ledger.waste_count()}, {"examples", ledger.examples()}}},
                         {"within_reach",
                          {{"solved", bound.solved},
                           {"worth", bound.worth},
                           {"offered", bound.offered},
                           {"by_tandem", bound.by_tandem},
                           {"share_of_offered", bound.Share()},
                           {"columns", bound.columns},
                           {"rows", bound.rows},
                           {"per_cent_more_circuits", bound.worth_of_one_percent_circuits},
                           {"per_cent_more_processing", bound.worth_of_one_percent_processing}}}};
  if (bound.solved && bound.worth > 0.0) json["share_of_reach"] = WorthServed(scenario, ledger) / bound.worth;
  for (std::size_t i = 0; i < scenario.classes.size(); ++i)
    json["classes"][scenario.classes[i].name] = AccountJson(ledger.accounts()[i]);
  return json;
}

void PrintAccounts(const lab::Scenario& scenario, const lab::DayAccounts& accounts, const reach::Bound& bound) {
  const reach::Ledger& ledger = accounts.ledger();
  const reach::Account total = ledger.Total();
  const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
  if (!bound.solved) {
    std::printf("within reach: the bound was not solved\n");
  } else {
    std::printf("within reach: at most %.3f of the worth offered (%s); of that, served: %.3f\n", bound.Share(),
                bound.by_tandem ? "each tandem separately" : "all tandems combined",
                bound.worth > 0.0 ? WorthServed(scenario, ledger) / bound.worth : 1.0);
    std::printf("  1%% more circuits would have been worth %.1f, 1%% more processing %.1f, of %.0f\n",
                bound.worth_of_one_percent_circuits, bound.worth_of_one_percent_processing, bound.worth);
  }
  std::printf("where %llu tries went: %llu in time, %llu late", n(total.tries), n(total.in_time), n(total.late));
  for (std::size_t i = 0; i < reach::kLossCategories; ++i) {
    if (total.lost[i] > 0)
      std::printf(", %llu %s", n(total.lost[i]), std::string(reach::Name(static_cast<reach::LossCategory>(i))).c_str());
  }
  std::printf("%s\n", total.IsBalanced() ? "" : " (the sums do NOT agree)");
  std::printf("circuits refused: %llu times, one at most %u times in a row\n", n(ledger.refusals()),
              ledger.max_consecutive_refusals());
  std::printf("plainly wasted: %llu\n", n(ledger.waste_count()));
  for (const std::string& example : ledger.examples()) std::printf("    %s\n", example.c_str());
}

void PrintReport(const lab::Scenario& scenario, const lab::DayReport& report) {
  std::printf("%-16s %8s %8s %8s %8s %8s %8s %8s %10s %6s\n", "class", "offered", "tries", "in time", "late", "refused",
              "failed", "hung up", "unanswered", "cut");
  for (std::size_t i = 0; i < report.classes.size(); ++i) {
    const lab::ClassOutcome& o = report.classes[i];
    const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf("%-16s %8llu %8llu %8llu %8llu %8llu %8llu %8llu %10llu %6llu\n", scenario.classes[i].name.c_str(),
                n(o.offered), n(o.tries), n(o.in_time), n(o.late), n(o.refused), n(o.failed), n(o.hung_up),
                n(o.unanswered), n(o.terminated));
  }
  const auto& delays = report.set_up_delays;
  if (!delays.empty())
    std::printf("set-up delay: median %.1f ms, p99 %.1f ms\n", static_cast<double>(delays[delays.size() / 2]) / 1000.0,
                static_cast<double>(delays[delays.size() * 99 / 100]) / 1000.0);
  std::printf("service (worth in time and not cut, over worth offered): %.3f\n", report.service);
}

}  // namespace

namespace {

// One flow collector per edge. Stores the received messages unchanged and counts their records.
class DayCollectors {
 public:
  // Throws boost::system::system_error if an address cannot be bound.
  DayCollectors(const lab::Scenario& scenario, const std::string& folder) : folder_(folder) {
    for (int i = 0; i < scenario.edges; ++i) {
      auto& edge_collector =
          collectors_.emplace_back(std::make_unique<EdgeCollector>(lab::CollectorAddress(scenario, i)));
      edge_collector->file.open(folder + "/flows-" + std::to_string(i) + ".ipfix", std::ios::binary | std::ios::trunc);
      edge_collector->collector.OnMessage(
          [edge_collector = edge_collector.get()](std::string_view message) { edge_collector->file << message; });
      edge_collector->collector.StartTcp(lab::Collector::Mode::kRead);
    }
  }
  // Compares three counts of calls and set-ups: those seen on the sockets, those reported by the softswitch and those
  // received by the collector. Sets `*agree` if they are equal for every edge and no record was dropped. For an edge
  // that was killed, only bounds are checked: its own count covers only its last incarnation, and the collector lacks
  // the records that were not sent before the kill.
  nlohmann::json Compare(const lab::RuleChecker& rules, const lab::Scenario& scenario, bool* agree) {
    std::set<int> killed;
    for (const lab::Fault& fault : scenario.faults) {
      if (fault.kind == "edge-kill") killed.insert(fault.exchanges.begin(), fault.exchanges.end());
    }
    const auto work = rules.work();
    nlohmann::json results = nlohmann::json::array();
    *agree = true;
    for (std::size_t i = 0; i < collectors_.size(); ++i) {
      EdgeCollector& edge_collector = *collectors_[i];
      edge_collector.collector.Stop();
      edge_collector.file.close();
      const int number = static_cast<int>(i);
      std::ifstream metrics_file(folder_ + "/edge-" + std::to_string(i) + ".metrics.json");
      const nlohmann::json metrics = nlohmann::json::parse(metrics_file, nullptr, false);
      const nlohmann::json own =
          metrics.is_object() ? metrics.value("flow", nlohmann::json::object()) : nlohmann::json::object();
      const auto on_sockets = work.count(number) > 0 ? work.at(number) : lab::RuleChecker::Work{};
      const std::uint64_t dropped =
          own.value("dropped_calls", std::uint64_t{0}) + own.value("dropped_attempts", std::uint64_t{0});
      // Attempts without a free circuit are counted by the edge but never appear on the sockets.
      const nlohmann::json core =
          metrics.is_object() ? metrics.value("calls", nlohmann::json::object()) : nlohmann::json::object();
      // Seizures rejected because of glare, or on circuits out of service, are not counted as calls by the edge.
      const std::uint64_t glare =
          core.value("glare", std::uint64_t{0}) + core.value("not_in_service", std::uint64_t{0});
      const std::uint64_t own_calls = own.value("calls", std::uint64_t{0});
      const std::uint64_t own_set_ups = core.value("attempts", std::uint64_t{0}) - core.value("moot", std::uint64_t{0});
      const std::uint64_t calls = edge_collector.collector.calls, set_ups = edge_collector.collector.set_ups;
      const bool same = killed.count(number) > 0
                            ? calls <= on_sockets.calls && set_ups <= on_sockets.set_ups && calls >= own_calls
                            : calls + glare == on_sockets.calls && set_ups == on_sockets.set_ups &&
                                  calls == own_calls && set_ups == own_set_ups;
      *agree = *agree && same && dropped == 0;
      results.push_back(
          {{"edge", number},
           {"killed", killed.count(number) > 0},
           {"agree", same},
           {"sockets", {{"calls", on_sockets.calls}, {"set_ups", on_sockets.set_ups}}},
           {"own", {{"calls", own_calls}, {"glare", glare}, {"set_ups", own_set_ups}, {"dropped", dropped}}},
           {"received",
            {{"calls", calls},
             {"set_ups", set_ups},
             {"possibly_repeated", edge_collector.collector.possibly_repeated.load()}}}});
    }
    return results;
  }

 private:
  struct EdgeCollector {
    explicit EdgeCollector(const core::Address& address) : collector(address) {}
    lab::Collector collector;
    std::ofstream file;
  };
  std::string folder_;
  std::vector<std::unique_ptr<EdgeCollector>> collectors_;
};

}  // namespace

int RunDay(const LabRun& options) {
  std::vector<config::SettingsError> mistakes;
  const std::string text = config::ReadFile(options.scenario, kMaxFileOctets, &mistakes);
  lab::Scenario scenario;
  if (mistakes.empty()) scenario = lab::ParseScenario(text, &mistakes);
  if (!CheckNoMistakes(mistakes, options.scenario)) return kBadInput;
  std::filesystem::create_directories(options.folder);
  std::optional<DayCollectors> collectors;
  if (options.flow) {
    scenario.flow_folder = options.folder;
    for (int i = 0; i < scenario.edges; ++i)
      std::filesystem::remove_all(options.folder + "/spool-" + std::to_string(i));
    collectors.emplace(scenario, options.folder);
  }

  runtime::AsioRuntime runtime;
  lab::Trace trace(&runtime);
  trace.OpenTraceFile(options.folder + "/trace.jsonl");
  if (options.capture) trace.OpenCaptureFile(options.folder + "/capture.pcap");
  lab::RuleChecker rules;
  lab::DayAccounts accounts(scenario);
  std::ofstream(options.folder + "/scenario.json") << text;
  lab::EdgeProcesses edges(options.edge_program, options.folder);
  lab::Day day(scenario, &runtime, &trace, &edges, options.folder);
  const bool progress = !options.quiet && ::isatty(STDERR_FILENO) == 1;
  core::Timer tick(&runtime);
  const std::function<void()> show_progress = [&] {
    std::fprintf(stderr, "\r%s: %3.0f%%", scenario.name.c_str(), 100.0 * day.Progress());
    tick.Start(500'000, show_progress);
  };
  if (progress) show_progress();
  day.Start([&] { runtime.Stop(); });
  runtime.Run();
  tick.Stop();
  if (progress) std::fprintf(stderr, "\r%s: done \n", scenario.name.c_str());
  // The trace is evaluated after the run, so that the laboratory stays faster than the edges it measures.
  trace.Flush();
  if (!ReadTrace(options.folder + "/trace.jsonl", [&](const lab::TraceRecord& record) {
        rules.ProcessRecord(record);
        accounts.AddRecord(record);
      }))
    return kCannotRun;
  rules.Finish();
  const lab::DayReport report = day.Report();
  const bool clean = edges.StopAll(5'000);
  const reach::Bound bound = accounts.Bound();
  std::ofstream(options.folder + "/day.html") << lab::DayPage(scenario, accounts, bound, rules);
  const bool wasted = accounts.ledger().waste_count() > 0 || !accounts.ledger().Total().IsBalanced();
  bool agree = true;
  nlohmann::json flows;
  if (collectors) flows = collectors->Compare(rules, scenario, &agree);

  if (options.json) {
    nlohmann::json json = {{"report", ReportJson(scenario, report)},
                           {"verdict", RulesJson(rules)},
                           {"accounts", AccountsJson(scenario, accounts, bound)},
                           {"edges_exited_clean", clean}};
    if (collectors) json["flows"] = flows;
    std::cout << json.dump(1) << "\n";
  } else {
    std::printf("%s: %d edges, %d exchanges, %.1f calls/s for %.0f s, %llu datagrams, %llu calls in transit\n",
                scenario.name.c_str(), scenario.edges, scenario.exchanges, scenario.calls_per_s,
                static_cast<double>(scenario.length_us) / 1e6, static_cast<unsigned long long>(report.datagrams),
                static_cast<unsigned long long>(rules.accepted_transit_calls()));
    std::printf("%s", rules.Summary().c_str());
    PrintReport(scenario, report);
    PrintAccounts(scenario, accounts, bound);
    for (const auto& f : flows)
      std::printf(
          "flows of edge %s: on the sockets %s calls, %s set-ups; own count %s (and %s lost to glare), %s; received "
          "%s, %s: %s%s\n",
          f["edge"].dump().c_str(), f["sockets"]["calls"].dump().c_str(), f["sockets"]["set_ups"].dump().c_str(),
          f["own"]["calls"].dump().c_str(), f["own"]["glare"].dump().c_str(), f["own"]["set_ups"].dump().c_str(),
          f["received"]["calls"].dump().c_str(), f["received"]["set_ups"].dump().c_str(),
          f["agree"].get<bool>() ? "they agree" : "they do NOT agree",
          f["killed"].get<bool>() ? " (it was killed)" : "");
    std::printf("edges exited cleanly: %s\n", clean ? "yes" : "NO");
    std::printf("trace, HTML report (day.html), settings, logs and metrics are in %s\n", options.folder.c_str());
  }
  return rules.Kept() && clean && agree && !wasted && report.collapsed == 0 ? kDone : kCheckFailed;
}

int CompareAdmission(const LabAdmission& options) {
  lab::ComparisonCurves curve;
  curve.flood_rates = options.floods;
  std::sort(curve.flood_rates.begin(), curve.flood_rates.end());
  nlohmann::json results = nlohmann::json::array();
  if (!options.json)
    std::printf("%-14s %8s %10s %8s %8s %8s %10s %10s %8s\n", "door", "flood/s", "worth/s", "quiet", "worst", "crowd",
                "p99 wait", "as told", "waiting");
  for (const std::string& name : lab::PolicyNames()) {
    auto& row = curve.by_policy.emplace_back();
    for (const double flood : curve.flood_rates) {
      lab::ComparisonSettings settings;
      settings.seed = options.seed;
      settings.flood_per_s = flood;
      row.push_back(lab::RunPolicy(name, settings));
      const lab::PolicyResult& f = row.back();
      results.push_back({{"door", f.policy},
                         {"flood_per_s", flood},
                         {"worth_per_s", f.goodput},
                         {"quiet_share", f.quiet_share},
                         {"worst_client", f.worst_client},
                         {"crowd_share", f.crowd_share},
                         {"p99_wait_ms", f.p99_wait_ms},
                         {"as_told_kept", f.reservations_kept},
                         {"most_waiting", f.max_queued}});
      if (!options.json)
        std::printf("%-14s %8.0f %10.1f %8.3f %8.3f %8.3f %7.0f ms %10.3f %8llu\n", f.policy.c_str(), flood, f.goodput,
                    f.quiet_share, f.worst_client, f.crowd_share, f.p99_wait_ms, f.reservations_kept,
                    static_cast<unsigned long long>(f.max_queued));
    }
  }
  if (options.json) std::cout << results.dump(1) << "\n";
  if (options.svg.empty()) return kDone;
  std::ofstream file(options.svg);
  file << lab::RenderComparison(curve);
  if (file.good()) return kDone;
  std::cerr << "cannot write " << options.svg << "\n";
  return kCannotRun;
}

int ReportDay(const std::string& folder, const std::string& out) {
  std::vector<config::SettingsError> mistakes;
  const std::string text = config::ReadFile(folder + "/scenario.json", kMaxFileOctets, &mistakes);
  lab::Scenario scenario;
  if (mistakes.empty()) scenario = lab::ParseScenario(text, &mistakes);
  if (!CheckNoMistakes(mistakes, folder + "/scenario.json")) return kBadInput;
  lab::RuleChecker rules;
  lab::DayAccounts accounts(scenario);
  if (!ReadTrace(folder + "/trace.jsonl", [&](const lab::TraceRecord& record) {
        rules.ProcessRecord(record);
        accounts.AddRecord(record);
      }))
    return kBadInput;
  rules.Finish();
  const reach::Bound bound = accounts.Bound();
  const std::string page = out.empty() ? folder + "/day.html" : out;
  std::ofstream written(page);
  written << lab::DayPage(scenario, accounts, bound, rules);
  if (!written.good()) {
    std::cerr << "cannot write " << page << "\n";
    return kCannotRun;
  }
  PrintAccounts(scenario, accounts, bound);
  std::printf("%s\n", page.c_str());
  return kDone;
}

int CompareDeciders(const LabCompare& options) {
  const std::vector<std::string> names = options.deciders.empty() ? lab::DeciderNames() : options.deciders;
  nlohmann::json results = nlohmann::json::array();
  bool kept = true;
  if (!options.json)
    std::printf("%-34s %-20s %7s %7s %8s %8s  %s\n", "day (on virtual time)", "decider", "service", "reach", "refused",
                "tries", "rules broken; where the rest went");
  for (const std::string& path : options.scenarios) {
    std::vector<config::SettingsError> mistakes;
    const std::string text = config::ReadFile(path, kMaxFileOctets, &mistakes);
    lab::Scenario scenario;
    if (mistakes.empty()) scenario = lab::ParseScenario(text, &mistakes);
    if (!CheckNoMistakes(mistakes, path)) return kBadInput;
    for (int i = 0; i < options.seeds; ++i, ++scenario.seed) {
      for (const std::string& name : names) {
        lab::VirtualDay day(scenario, lab::FindDeciderFactory(name));
        lab::DayAccounts accounts(scenario);
        day.on_record = [&](const lab::TraceRecord& record) { accounts.AddRecord(record); };
        day.Run();
        const reach::Bound bound = accounts.Bound();
        const reach::Account total = accounts.ledger().Total();
        const double share =
            bound.solved && bound.worth > 0.0 ? WorthServed(scenario, accounts.ledger()) / bound.worth : -1.0;
        const auto refused = static_cast<double>(total.tries - total.in_time - total.late) /
                             std::max(1.0, static_cast<double>(total.tries));
        if (name == "module") kept = kept && day.rules.Kept();
        if (options.json) {
          results.push_back({{"scenario", path},
                             {"seed", scenario.seed},
                             {"decider", name},
                             {"report", ReportJson(scenario, day.report)},
                             {"verdict", RulesJson(day.rules)},
                             {"accounts", AccountsJson(scenario, accounts, bound)}});
          continue;
        }
        std::string rest;
        for (std::size_t r = 0; r < lab::kRules; ++r) {
          if (day.rules.Finding(static_cast<lab::Rule>(r)).broken > 0)
            rest += std::string(lab::Name(static_cast<lab::Rule>(r))) + "! ";
        }
        for (std::size_t l = 0; l < reach::kLossCategories; ++l) {
          if (total.lost[l] > 0)
            rest += std::string(reach::Name(static_cast<reach::LossCategory>(l))) + " " +
                    std::to_string(total.lost[l]) + ", ";
        }
        if (accounts.ledger().waste_count() > 0)
          rest += "plainly wasted " + std::to_string(accounts.ledger().waste_count());
        std::printf("%-34s %-20s %7.3f %7.3f %7.1f%% %8llu  %s\n",
                    (scenario.name + " #" + std::to_string(scenario.seed)).c_str(), name.c_str(), day.report.service,
                    share, 100.0 * refused, static_cast<unsigned long long>(total.tries), rest.c_str());
        std::fflush(stdout);
      }
    }
  }
  if (options.json) std::cout << results.dump(1) << "\n";
  return kept ? kDone : kCheckFailed;
}

int CheckTrace(const std::string& path, bool json) {
  lab::RuleChecker rules;
  if (!ReadTrace(path, [&](const lab::TraceRecord& record) { rules.ProcessRecord(record); })) return kBadInput;
  rules.Finish();
  if (rules.edges() == 0) {
    std::cerr << path << ": names no edge (a record of the fact \"day\" is missing), so nothing can be checked\n";
    return kBadInput;
  }
  if (json) {
    std::cout << RulesJson(rules).dump(1) << "\n";
  } else {
    std::cout << rules.Summary();
  }
  return rules.Kept() ? kDone : kCheckFailed;
}

int CheckConfig(const std::string& path, bool json) {
  std::vector<config::SettingsError> mistakes;
  const std::string text = config::ReadFile(path, kMaxFileOctets, &mistakes);
  if (mistakes.empty()) edge::ParseEdgeSettings(text, &mistakes);
  if (json) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& mistake : mistakes) list.push_back({{"path", mistake.path}, {"text", mistake.text}});
    std::cout << nlohmann::json{{"file", path}, {"mistakes", list}}.dump(1) << "\n";
  } else if (mistakes.empty()) {
    std::cout << path << ": fine\n";
  } else {
    CheckNoMistakes(mistakes, path);
  }
  return mistakes.empty() ? kDone : kBadInput;
}

int ShowConfig(const std::string& path) {
  std::vector<config::SettingsError> mistakes;
  const std::string text = config::ReadFile(path, kMaxFileOctets, &mistakes);
  edge::EdgeSettings settings;
  if (mistakes.empty()) settings = edge::ParseEdgeSettings(text, &mistakes);
  if (!CheckNoMistakes(mistakes, path)) return kBadInput;
  std::cout << edge::ShowEdgeSettings(settings).dump(1) << "\n";
  return kDone;
}

int ConvertDayFile(const std::string& path, const std::string& out, int max_exchanges, double max_calls_per_s) {
  std::vector<config::SettingsError> mistakes;
  const std::string text = config::ReadFile(path, kMaxFileOctets, &mistakes);
  std::vector<std::string> left_out, notes;
  std::string scenario;
  if (mistakes.empty())
    scenario =
        lab::ConvertDay(text, {static_cast<std::size_t>(max_exchanges), max_calls_per_s}, &left_out, &notes, &mistakes);
  if (mistakes.empty()) lab::ParseScenario(scenario, &mistakes);
  if (!CheckNoMistakes(mistakes, path)) return kBadInput;
  for (const std::string& note : notes) std::cerr << note << "\n";
  for (const std::string& what : left_out) std::cerr << "left out, without a counterpart here: " << what << "\n";
  if (out.empty()) {
    std::cout << scenario << "\n";
    return kDone;
  }
  std::ofstream file(out);
  file << scenario << "\n";
  if (file.good()) return kDone;
  std::cerr << "cannot write " << out << "\n";
  return kCannotRun;
}

}  // namespace croftrun::cli
