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

// Violations of one trial that are printed in full.
constexpr std::size_t kMaxViolationsShown = 6;

struct TrialRun {
  Schedule schedule;
  std::optional<TrialResult> result;  // empty if the trial could not be run
  std::string error;
};

bool Failed(const TrialRun& run) { return !run.result || !run.result->verdict.violations.empty(); }

std::optional<GeneratorOptions> ParseFaultKinds(const SoakOptions& options) {
  GeneratorOptions generator_options;
  const auto add = [](const std::vector<std::string>& names, std::vector<FaultKind>* kinds) {
    for (const std::string& name : names) {
      const auto kind = ParseFaultKind(name);
      if (!kind) {
        std::cerr << "croftrun: unknown kind of fault '" << name << "'; known kinds:";
        for (std::size_t i = 0; i < kFaultKindCount; ++i) std::cerr << " " << NameOf(static_cast<FaultKind>(i));
        std::cerr << "\n";
        return false;
      }
      kinds->push_back(*kind);
    }
    return true;
  };
  if (!add(options.only, &generator_options.only) || !add(options.without, &generator_options.without))
    return std::nullopt;
  return generator_options;
}

TrialRun RunScheduledTrial(const Schedule& schedule, const SoakOptions& options, int slot) {
  TrialRun run;
  run.schedule = schedule;
  try {
    run.result = RunTrial(schedule, {.program = options.edge_program,
                                     .folder = options.folder + "/seed-" + std::to_string(schedule.seed),
                                     .slot = slot,
                                     .max_megabytes = options.max_megabytes});
  } catch (const std::exception& error) {
    run.error = error.what();
  }
  return run;
}

std::string FormatTrialLine(const TrialRun& run) {
  std::string line = "seed " + std::to_string(run.schedule.seed) + ": ";
  if (!run.result) return line + "could not be run: " + run.error;
  const Verdict& verdict = run.result->verdict;
  char figures[200];
  std::snprintf(
      figures, sizeof(figures),
      "%d softswitches, %d exchanges, %zu faults, %zu calls, %.0f%% answered, %zu disconnected needlessly, ",
      run.schedule.softswitches, run.schedule.exchanges, run.schedule.faults.size(), verdict.offered,
      verdict.offered == 0 ? 0.0 : 100.0 * static_cast<double>(verdict.answered) / static_cast<double>(verdict.offered),
      verdict.needless_disconnects);
  line += figures;
  if (verdict.violations.empty()) return line + "no violations";
  std::map<std::string_view, int> violation_counts;
  for (const Violation& violation : verdict.violations) ++violation_counts[NameOf(violation.check)];
  line += "BROKEN";
  for (const auto& [check, count] : violation_counts) line += " " + std::string(check) + " " + std::to_string(count);
  return line;
}

void PrintViolations(const TrialRun& run) {
  if (!run.result) return;
  const auto& violations = run.result->verdict.violations;
  for (std::size_t i = 0; i < std::min(kMaxViolationsShown, violations.size()); ++i) {
    const Violation& violation = violations[i];
    std::printf("  %.3f %s: %s %s\n", static_cast<double>(violation.at - run.result->start_time) / 1e6,
                std::string(NameOf(violation.check)).c_str(), violation.call.c_str(), violation.text.c_str());
  }
  std::set<Check> shown;
  for (const Violation& violation : violations) {
    if (violation.call.empty() || !shown.insert(violation.check).second) continue;
    std::printf("  timeline of call %s (%s)\n", violation.call.c_str(), std::string(NameOf(violation.check)).c_str());
    for (const std::string& line : TimelineOf(*run.result, violation.call)) std::printf("    %s\n", line.c_str());
  }
}

// Removes faults from a schedule as long as one of the violated checks still fails.
Schedule ShrinkSchedule(const TrialRun& failed, const SoakOptions& options, int slot) {
  Schedule schedule = failed.schedule;
  std::set<Check> checks;
  for (const Violation& violation : failed.result->verdict.violations) checks.insert(violation.check);
  for (std::size_t i = 0; i < schedule.faults.size();) {
    Schedule candidate = schedule;
    candidate.faults.erase(candidate.faults.begin() + static_cast<std::ptrdiff_t>(i));
    const TrialRun run = RunScheduledTrial(candidate, options, slot);
    const bool same =
        run.result && std::any_of(run.result->verdict.violations.begin(), run.result->verdict.violations.end(),
                                  [&](const Violation& violation) { return checks.count(violation.check) > 0; });
    if (same) {
      schedule = candidate;
    } else {
      ++i;
    }
  }
  return schedule;
}

struct Summary {
  std::array<std::size_t, kCheckCount> checked{}, violations{};
  std::map<std::string, int> faults, failed_trials_with;
  int failed = 0;
  std::size_t offered = 0, answered = 0, needless_disconnects = 0, connections = 0, probes = 0;
  std::int64_t max_megabytes = 0;
  TimeUs longest_answer_wait = 0;
};

Summary Summarize(const std::vector<TrialRun>& trials) {
  Summary summary;
  for (const TrialRun& run : trials) {
    summary.failed += Failed(run) ? 1 : 0;
    std::set<std::string> kinds;
    for (const Fault& fault : run.schedule.faults) {
      ++summary.faults[std::string(NameOf(fault.kind))];
      kinds.insert(std::string(NameOf(fault.kind)));
    }
    if (Failed(run)) {
      for (const std::string& kind : kinds) ++summary.failed_trials_with[kind];
    }
    if (!run.result) continue;
    const Verdict& verdict = run.result->verdict;
    for (std::size_t i = 0; i < kCheckCount; ++i) summary.checked[i] += verdict.checked[i];
    for (const Violation& violation : verdict.violations)
      ++summary.violations[static_cast<std::size_t>(violation.check)];
    summary.offered += verdict.offered;
    summary.answered += verdict.answered;
    summary.needless_disconnects += verdict.needless_disconnects;
    summary.connections += verdict.connections;
    summary.probes += verdict.probes;
    summary.max_megabytes = std::max(summary.max_megabytes, verdict.max_megabytes);
    summary.longest_answer_wait = std::max(summary.longest_answer_wait, verdict.longest_answer_wait);
  }
  return summary;
}

void PrintSummary(const Summary& summary, std::size_t trials) {
  std::printf(
      "%zu trials, %d with violations; %zu calls, %zu answered, %zu disconnected needlessly; %zu connections to "
      "exchanges, "
      "%zu probes; at most %lld MB resident, latest answer after %llu ms\n",
      trials, summary.failed, summary.offered, summary.answered, summary.needless_disconnects, summary.connections,
      summary.probes, static_cast<long long>(summary.max_megabytes),
      static_cast<unsigned long long>(summary.longest_answer_wait / 1000));
  for (std::size_t i = 0; i < kCheckCount; ++i) {
    const std::string name(NameOf(static_cast<Check>(i)));
    if (summary.checked[i] == 0) {
      std::printf("  %-22s unchecked\n", name.c_str());
    } else {
      std::printf("  %-22s checked %8zu, broken %zu\n", name.c_str(), summary.checked[i], summary.violations[i]);
    }
  }
  for (const auto& [kind, count] : summary.faults) {
    const auto failed = summary.failed_trials_with.find(kind);
    std::printf("  fault %-18s played %4d, in %d failed trials\n", kind.c_str(), count,
                failed == summary.failed_trials_with.end() ? 0 : failed->second);
  }
}

json ToJson(const std::vector<TrialRun>& trials, const Summary& summary) {
  json out = {{"trials", json::array()},
              {"failed", summary.failed},
              {"offered", summary.offered},
              {"answered", summary.answered},
              {"needless_cuts", summary.needless_disconnects},
              {"connections", summary.connections},
              {"probes", summary.probes},
              {"most_mb", summary.max_megabytes},
              {"latest_answer_us", summary.longest_answer_wait}};
  for (std::size_t i = 0; i < kCheckCount; ++i) {
    out["rules"][std::string(NameOf(static_cast<Check>(i)))] = {{"checked", summary.checked[i]},
                                                                {"broken", summary.violations[i]}};
  }
  for (const TrialRun& run : trials) {
    json trial = {
        {"seed", run.schedule.seed}, {"error", run.error}, {"faults", json::array()}, {"findings", json::array()}};
    for (const Fault& fault : run.schedule.faults) trial["faults"].push_back(lab::soak::ToString(fault));
    if (run.result) {
      for (const Violation& violation : run.result->verdict.violations) {
        trial["findings"].push_back({{"rule", NameOf(violation.check)},
                                     {"at_us", violation.at - run.result->start_time},
                                     {"call", violation.call},
                                     {"text", violation.text}});
      }
    }
    out["trials"].push_back(trial);
  }
  return out;
}

}  // namespace

int RunSoak(const SoakOptions& options) {
  const auto generator_options = ParseFaultKinds(options);
  if (!generator_options) return kUsage;
  std::vector<TrialRun> trials(static_cast<std::size_t>(options.count));
  std::atomic<int> next{0};
  std::mutex output;
  const auto work = [&](int slot) {
    for (int i = next++; i < options.count; i = next++) {
      const Schedule schedule =
          GenerateSchedule(options.first_seed + static_cast<std::uint64_t>(i), *generator_options);
      TrialRun& run = trials[static_cast<std::size_t>(i)];
      run = RunScheduledTrial(schedule, options, slot);
      const std::lock_guard<std::mutex> lock(output);
      if (options.quiet || options.json) continue;
      std::printf("%s\n", FormatTrialLine(run).c_str());
      if (options.show_schedule || Failed(run)) {
        for (const Fault& fault : schedule.faults) std::printf("  %s\n", lab::soak::ToString(fault).c_str());
      }
      if (Failed(run)) PrintViolations(run);
      std::fflush(stdout);
    }
  };
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(options.jobs));
  for (int slot = 0; slot < options.jobs; ++slot) workers.emplace_back(work, options.first_slot + slot);
  for (std::thread& worker : workers) worker.join();
  if (options.shrink) {
    for (const TrialRun& run : trials) {
      if (!run.result || !Failed(run)) continue;
      const Schedule minimal = ShrinkSchedule(run, options, 0);
      std::printf("seed %llu still fails with:\n", static_cast<unsigned long long>(minimal.seed));
      for (const Fault& fault : minimal.faults) std::printf("  %s\n", lab::soak::ToString(fault).c_str());
    }
  }
  const Summary summary = Summarize(trials);
  if (options.json) {
    std::cout << ToJson(trials, summary).dump(2) << "\n";
  } else {
    PrintSummary(summary, trials.size());
  }
  return summary.failed == 0 ? kDone : kCheckFailed;
}

}  // namespace croftrun::cli
