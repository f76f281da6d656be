#include "cli/soak.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <thread>

#include "cli/commands.h"
#include "lab/soak/trial.h"

namespace croftrun::cli {

using namespace lab::soak;
using nlohmann::json;

namespace {

// Findings of one trial that are printed whole.
constexpr std::size_t kMostShown = 6;

struct Played {
  Script script;
  std::optional<TrialResult> result;  // nothing: it could not be run
  std::string error;
};

bool Failed(const Played& played) { return !played.result || !played.result->verdict.findings.empty(); }

std::optional<DrawOptions> OptionsOf(const SoakRun& options) {
  DrawOptions draw;
  const auto add = [](const std::vector<std::string>& names, std::vector<FaultKind>* kinds) {
    for (const std::string& name : names) {
      const auto kind = FaultNamed(name);
      if (!kind) {
        std::cerr << "croftrun: no kind of fault is called '" << name << "'; there are:";
        for (std::size_t i = 0; i < kFaultKinds; ++i) std::cerr << " " << NameOf(static_cast<FaultKind>(i));
        std::cerr << "\n";
        return false;
      }
      kinds->push_back(*kind);
    }
    return true;
  };
  if (!add(options.only, &draw.only) || !add(options.without, &draw.without)) return std::nullopt;
  return draw;
}

Played PlayScript(const Script& script, const SoakRun& options, int slot) {
  Played played;
  played.script = script;
  try {
    played.result = RunTrial(script, {.program = options.edge_program,
                                      .folder = options.folder + "/seed-" + std::to_string(script.seed),
                                      .slot = slot,
                                      .most_megabytes = options.most_megabytes});
  } catch (const std::exception& error) {
    played.error = error.what();
  }
  return played;
}

std::string LineOf(const Played& played) {
  std::string line = "seed " + std::to_string(played.script.seed) + ": ";
  if (!played.result) return line + "could not be run: " + played.error;
  const Verdict& verdict = played.result->verdict;
  char figures[200];
  std::snprintf(
      figures, sizeof(figures),
      "%d softswitches, %d exchanges, %zu faults, %zu calls, %.0f%% stood, %zu cut needlessly, ",
      played.script.softswitches, played.script.exchanges, played.script.faults.size(), verdict.offered,
      verdict.offered == 0 ? 0.0 : 100.0 * static_cast<double>(verdict.answered) / static_cast<double>(verdict.offered),
      verdict.needless_cuts);
  line += figures;
  if (verdict.findings.empty()) return line + "nothing broken";
  std::map<std::string_view, int> broken;
  for (const Finding& finding : verdict.findings) ++broken[NameOf(finding.rule)];
  line += "BROKEN";
  for (const auto& [rule, count] : broken) line += " " + std::string(rule) + " " + std::to_string(count);
  return line;
}

void ShowFindings(const Played& played) {
  if (!played.result) return;
  const auto& findings = played.result->verdict.findings;
  for (std::size_t i = 0; i < std::min(kMostShown, findings.size()); ++i) {
    const Finding& finding = findings[i];
    std::printf("  %.3f %s: %s %s\n", static_cast<double>(finding.at - played.result->started) / 1e6,
                std::string(NameOf(finding.rule)).c_str(), finding.call.c_str(), finding.text.c_str());
  }
  std::set<Rule> shown;
  for (const Finding& finding : findings) {
    if (finding.call.empty() || !shown.insert(finding.rule).second) continue;
    std::printf("  timeline of call %s (%s)\n", finding.call.c_str(), std::string(NameOf(finding.rule)).c_str());
    for (const std::string& line : TimelineOf(*played.result, finding.call)) std::printf("    %s\n", line.c_str());
  }
}

// Leaves out faults as long as the same rule stays broken.
Script Shrink(const Played& failed, const SoakRun& options, int slot) {
  Script script = failed.script;
  std::set<Rule> rules;
  for (const Finding& finding : failed.result->verdict.findings) rules.insert(finding.rule);
  for (std::size_t i = 0; i < script.faults.size();) {
    Script fewer = script;
    fewer.faults.erase(fewer.faults.begin() + static_cast<std::ptrdiff_t>(i));
    const Played played = PlayScript(fewer, options, slot);
    const bool same =
        played.result && std::any_of(played.result->verdict.findings.begin(), played.result->verdict.findings.end(),
                                     [&](const Finding& finding) { return rules.count(finding.rule) > 0; });
    if (same) {
      script = fewer;
    } else {
      ++i;
    }
  }
  return script;
}

struct Summary {
  std::array<std::size_t, kRules> checked{}, broken{};
  std::map<std::string, int> faults, failed_with;
  int failed = 0;
  std::size_t offered = 0, answered = 0, cuts = 0, connections = 0, probes = 0;
};

Summary Summarize(const std::vector<Played>& trials) {
  Summary summary;
  for (const Played& played : trials) {
    summary.failed += Failed(played) ? 1 : 0;
    std::set<std::string> kinds;
    for (const Fault& fault : played.script.faults) {
      ++summary.faults[std::string(NameOf(fault.kind))];
      kinds.insert(std::string(NameOf(fault.kind)));
    }
    if (Failed(played)) {
      for (const std::string& kind : kinds) ++summary.failed_with[kind];
    }
    if (!played.result) continue;
    const Verdict& verdict = played.result->verdict;
    for (std::size_t i = 0; i < kRules; ++i) summary.checked[i] += verdict.checked[i];
    for (const Finding& finding : verdict.findings) ++summary.broken[static_cast<std::size_t>(finding.rule)];
    summary.offered += verdict.offered;
    summary.answered += verdict.answered;
    summary.cuts += verdict.needless_cuts;
    summary.connections += verdict.connections;
    summary.probes += verdict.probes;
  }
  return summary;
}

void ShowSummary(const Summary& summary, std::size_t trials) {
  std::printf(
      "%zu trials, %d with something broken; %zu calls, %zu stood, %zu cut needlessly; %zu connections to exchanges, "
      "%zu probes\n",
      trials, summary.failed, summary.offered, summary.answered, summary.cuts, summary.connections, summary.probes);
  for (std::size_t i = 0; i < kRules; ++i) {
    const std::string name(NameOf(static_cast<Rule>(i)));
    if (summary.checked[i] == 0) {
      std::printf("  %-22s unchecked\n", name.c_str());
    } else {
      std::printf("  %-22s checked %8zu, broken %zu\n", name.c_str(), summary.checked[i], summary.broken[i]);
    }
  }
  for (const auto& [kind, count] : summary.faults) {
    const auto failed = summary.failed_with.find(kind);
    std::printf("  fault %-18s played %4d, in %d failed trials\n", kind.c_str(), count,
                failed == summary.failed_with.end() ? 0 : failed->second);
  }
}

json JsonOf(const std::vector<Played>& trials, const Summary& summary) {
  json out = {{"trials", json::array()},      {"failed", summary.failed},      {"offered", summary.offered},
              {"answered", summary.answered}, {"needless_cuts", summary.cuts}, {"connections", summary.connections},
              {"probes", summary.probes}};
  for (std::size_t i = 0; i < kRules; ++i) {
    out["rules"][std::string(NameOf(static_cast<Rule>(i)))] = {{"checked", summary.checked[i]},
                                                               {"broken", summary.broken[i]}};
  }
  for (const Played& played : trials) {
    json trial = {
        {"seed", played.script.seed}, {"error", played.error}, {"faults", json::array()}, {"findings", json::array()}};
    for (const Fault& fault : played.script.faults) trial["faults"].push_back(lab::soak::ToString(fault));
    if (played.result) {
      for (const Finding& finding : played.result->verdict.findings) {
        trial["findings"].push_back({{"rule", NameOf(finding.rule)},
                                     {"at_us", finding.at - played.result->started},
                                     {"call", finding.call},
                                     {"text", finding.text}});
      }
    }
    out["trials"].push_back(trial);
  }
  return out;
}

}  // namespace

int RunSoak(const SoakRun& options) {
  const auto draw = OptionsOf(options);
  if (!draw) return kUsage;
  std::vector<Played> trials(static_cast<std::size_t>(options.count));
  std::atomic<int> next{0};
  std::mutex output;
  const auto work = [&](int slot) {
    for (int i = next++; i < options.count; i = next++) {
      const Script script = DrawScript(options.first_seed + static_cast<std::uint64_t>(i), *draw);
      Played& played = trials[static_cast<std::size_t>(i)];
      played = PlayScript(script, options, slot);
      const std::lock_guard<std::mutex> lock(output);
      if (options.quiet || options.json) continue;
      std::printf("%s\n", LineOf(played).c_str());
      if (options.show_script || Failed(played)) {
        for (const Fault& fault : script.faults) std::printf("  %s\n", lab::soak::ToString(fault).c_str());
      }
      if (Failed(played)) ShowFindings(played);
      std::fflush(stdout);
    }
  };
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(options.jobs));
  for (int slot = 0; slot < options.jobs; ++slot) workers.emplace_back(work, options.first_slot + slot);
  for (std::thread& worker : workers) worker.join();
  if (options.shrink) {
    for (const Played& played : trials) {
      if (!played.result || !Failed(played)) continue;
      const Script fewest = Shrink(played, options, 0);
      std::printf("seed %llu still fails with:\n", static_cast<unsigned long long>(fewest.seed));
      for (const Fault& fault : fewest.faults) std::printf("  %s\n", lab::soak::ToString(fault).c_str());
    }
  }
  const Summary summary = Summarize(trials);
  if (options.json) {
    std::cout << JsonOf(trials, summary).dump(2) << "\n";
  } else {
    ShowSummary(summary, trials.size());
  }
  return summary.failed == 0 ? kDone : kVerdictAgainst;
}

}  // namespace croftrun::cli
