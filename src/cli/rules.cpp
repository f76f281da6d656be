// croftrun rules check|explain|test|bench: tools to validate a rule file before it is deployed.
#include <chrono>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/commands.h"
#include "edge/edge_settings.h"

namespace croftrun::cli {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxSettingsOctets = 64U << 20U;
// Limit on the pairs of rules that are compared for the report, which takes some seconds.
constexpr std::size_t kMaxComparedPairs = 60'000'000;

// The result of compiling a rule file.
struct LoadedRules {
  expr::Schema schema;
  std::optional<expr::RuleSet> rules;
  std::vector<expr::Diagnostic> errors;
  double load_ms = 0.0;
};

// Compiles the rule file, followed by `more`, with the names of classes, customers and exchanges from the settings.
// Returns false after printing the errors if a file cannot be read or the settings are not valid.
bool LoadRules(const RulesRun& options, const std::string& more, bool explain, LoadedRules* loaded) {
  std::vector<config::SettingsError> read_errors;
  const std::string settings_text = config::ReadFile(options.settings, kMaxSettingsOctets, &read_errors);
  const std::string text = config::ReadFile(options.file, expr::Limits().max_octets, &read_errors);
  edge::EdgeSettings settings;
  std::vector<config::SettingsError> errors;
  if (read_errors.empty()) settings = edge::ParseEdgeSettings(settings_text, &errors);
  // Errors in the rules that the settings themselves contain are ignored.
  std::erase_if(errors, [](const config::SettingsError& m) { return m.path.starts_with("/rules"); });
  errors.insert(errors.end(), read_errors.begin(), read_errors.end());
  if (!errors.empty()) {
    std::cerr << "croftrun: " << config::ToString(errors);
    return false;
  }
  loaded->schema =
      edge::Classifier::SchemaFor(settings.class_names, edge::CustomerNames(settings), settings.named_exchanges);
  expr::Limits limits;
  limits.keep_conjuncts = explain;
  const auto start = std::chrono::steady_clock::now();
  loaded->rules = expr::CompileRules(text + more, loaded->schema, limits, &loaded->errors);
  loaded->load_ms = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
  return true;
}

int PrintErrors(const RulesRun& options, const LoadedRules& loaded) {
  if (options.json) {
    json list = json::array();
    for (const expr::Diagnostic& m : loaded.errors)
      list.push_back({{"line", m.line}, {"column", m.column}, {"text", m.text}, {"shown", m.excerpt}});
    std::cout << json{{"fine", false}, {"mistakes", list}}.dump(1) << "\n";
  } else {
    std::cerr << options.file << ":\n" << expr::ToString(loaded.errors);
  }
  return kBadInput;
}

// Returns the input for an example. Attributes that it does not give have the first word of their enumeration, 0 or an
// empty text, or are absent if they are optional.
expr::Input MakeInput(const LoadedRules& loaded, const expr::Example& example) {
  expr::Input input;
  for (const expr::Attribute& attribute : loaded.schema.attributes) input.push_back({0, {}, !attribute.optional});
  for (const auto& [attribute, value] : example.given) input[attribute] = value;
  loaded.rules->AddDerivedInputs(&input, {0, example.wall_us}, nullptr);
  return input;
}

std::string RuleName(const expr::Rule& rule) {
  return rule.name.empty() ? "line " + std::to_string(rule.line) : rule.name;
}

std::string DescribeEffects(const LoadedRules& loaded, const expr::Outcome& outcome) {
  const auto word = [&](const char* enumeration, int index) {
    return loaded.schema.enumerations.at(enumeration)[static_cast<std::size_t>(index)];
  };
  std::string description;
  const auto add = [&](const std::string& text) { description += (description.empty() ? "" : ", ") + text; };
  if (outcome.call_class) add("class = " + word("class", *outcome.call_class));
  if (outcome.customer) add("customer = " + word("customer", *outcome.customer));
  if (outcome.priority) add("priority = " + std::to_string(*outcome.priority));
  if (outcome.budget_us) add("budget = " + std::to_string(*outcome.budget_us / 1000) + "ms");
  if (outcome.key) add("key = " + std::to_string(*outcome.key));
  if (outcome.redial) add("redial");
  if (outcome.refuse) add("refuse pause " + std::to_string(outcome.retry_after_us / 1000) + "ms");
  for (std::size_t i = 0; i < outcome.tag_count; ++i) add("tag \"" + *outcome.tags[i] + "\"");
  return description;
}

}  // namespace

int CheckRuleFile(const RulesRun& options) {
  LoadedRules loaded;
  if (!LoadRules(options, "", false, &loaded)) return kBadInput;
  if (!loaded.rules) return PrintErrors(options, loaded);
  const expr::RuleSet& rules = *loaded.rules;
  const auto notes = rules.FindIssues(options.overlaps, kMaxComparedPairs);
  if (options.json) {
    json list = json::array();
    for (const expr::Note& note : notes) list.push_back({{"line", note.line}, {"text", note.text}});
    std::cout << json{{"fine", true},
                      {"rules", rules.rules.size()},
                      {"counters", rules.counters.size()},
                      {"examples", rules.examples.size()},
                      {"shared_parts", rules.shared_programs.size()},
                      {"cost_bound", rules.cost_bound},
                      {"load_ms", loaded.load_ms},
                      {"notes", list}}
                     .dump(1)
              << "\n";
    return kDone;
  }
  for (const expr::Note& note : notes)
    std::printf("%s:%zu: note: %s\n", options.file.c_str(), note.line, note.text.c_str());
  std::printf("fine: %zu rules, %zu counters, %zu examples, cost at most %llu a call\n", rules.rules.size(),
              rules.counters.size(), rules.examples.size(), static_cast<unsigned long long>(rules.cost_bound));
  return kDone;
}

int ExplainCall(const RulesRun& options) {
  LoadedRules loaded;
  const std::string at = options.at.empty() ? "" : " at " + options.at;
  if (!LoadRules(options, "\nexample given " + options.call + at + " expect none;", true, &loaded)) return kBadInput;
  if (!loaded.rules) return PrintErrors(options, loaded);
  const expr::RuleSet& rules = *loaded.rules;
  const expr::Input input = MakeInput(loaded, rules.examples.back());
  expr::Outcome outcome;
  std::uint64_t steps = 0;
  rules.Apply(input, &outcome, &steps);
  json tried = json::array();
  for (const expr::Rule& rule : rules.rules) {
    std::string failed;
    for (const expr::Conjunct& conjunct : rule.conjuncts) {
      if (failed.empty() && !conjunct.program.Test(input)) failed = conjunct.text;
    }
    tried.push_back({{"rule", RuleName(rule)}, {"line", rule.line}, {"matches", failed.empty()}, {"fails_at", failed}});
    if (failed.empty() && (!rules.match_all || rule.effects.refuse)) break;
  }
  const std::string description = DescribeEffects(loaded, outcome);
  if (options.json) {
    std::cout << json{{"rule",
                       outcome.rule < 0 ? json() : json(RuleName(rules.rules[static_cast<std::size_t>(outcome.rule)]))},
                      {"effects", description},
                      {"steps", steps},
                      {"tried", tried}}
                     .dump(1)
              << "\n";
    return kDone;
  }
  for (const json& entry : tried) {
    const bool matches = entry["matches"].get<bool>();
    std::printf("%-24s %s\n", entry["rule"].get<std::string>().c_str(),
                matches ? "matches" : ("no, as this does not hold: " + entry["fails_at"].get<std::string>()).c_str());
  }
  std::printf("%s\n", outcome.rule < 0 ? "no rule matches; the call stays as it is" : ("so: " + description).c_str());
  return kDone;
}

int TestRules(const RulesRun& options) {
  LoadedRules loaded;
  if (!LoadRules(options, "", false, &loaded)) return kBadInput;
  if (!loaded.rules) return PrintErrors(options, loaded);
  const expr::RuleSet& rules = *loaded.rules;
  json failures = json::array();
  for (const expr::Example& example : rules.examples) {
    const int matched = rules.Match(MakeInput(loaded, example));
    const std::string name = matched < 0 ? "" : rules.rules[static_cast<std::size_t>(matched)].name;
    if (name == example.expected_rule) continue;
    failures.push_back({{"line", example.line},
                        {"example", example.name},
                        {"expected", example.expected_rule.empty() ? "none" : example.expected_rule},
                        {"found", matched < 0 ? "none" : RuleName(rules.rules[static_cast<std::size_t>(matched)])}});
  }
  if (options.json) {
    std::cout << json{{"examples", rules.examples.size()}, {"failures", failures}}.dump(1) << "\n";
  } else {
    for (const json& f : failures)
      std::printf("%s:%zu: example \"%s\": expected %s, found %s\n", options.file.c_str(), f["line"].get<std::size_t>(),
                  f["example"].get<std::string>().c_str(), f["expected"].get<std::string>().c_str(),
                  f["found"].get<std::string>().c_str());
    std::printf("%zu of %zu examples hold\n", rules.examples.size() - failures.size(), rules.examples.size());
  }
  return failures.empty() ? kDone : kCheckFailed;
}

int BenchRules(const RulesRun& options) {
  LoadedRules loaded;
  if (!LoadRules(options, "", false, &loaded)) return kBadInput;
  if (!loaded.rules) return PrintErrors(options, loaded);
  const expr::RuleSet& rules = *loaded.rules;
  std::vector<expr::Input> inputs;
  for (const expr::Example& example : rules.examples) inputs.push_back(MakeInput(loaded, example));
  if (inputs.empty()) inputs.push_back(MakeInput(loaded, {}));
  std::uint64_t steps = 0, matched = 0, max_steps = 0;
  for (const expr::Input& input : inputs) {
    std::uint64_t call_steps = 0;
    matched += rules.Match(input, &call_steps) >= 0 ? 1 : 0;
    max_steps = std::max(max_steps, call_steps);
    steps += call_steps;
  }
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < options.calls; ++i)
    matched += rules.Match(inputs[static_cast<std::size_t>(i) % inputs.size()]) >= 0 ? 1 : 0;
  const double ns =
      std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / options.calls;
  const json figures = {{"rules", rules.rules.size()},
                        {"calls", options.calls},
                        {"different_calls", inputs.size()},
                        {"ns_a_call", ns},
                        {"load_ms", loaded.load_ms},
                        {"steps_a_call", static_cast<double>(steps) / static_cast<double>(inputs.size())},
                        {"most_steps", max_steps},
                        {"cost_bound", rules.cost_bound}};
  if (options.json) {
    std::cout << figures.dump(1) << "\n";
  } else {
    std::printf(
        "%zu rules loaded in %.1f ms; %.0f ns a call over %d calls of %zu kinds; at most %llu steps, the bound is "
        "%llu\n",
        rules.rules.size(), loaded.load_ms, ns, options.calls, inputs.size(),
        static_cast<unsigned long long>(max_steps), static_cast<unsigned long long>(rules.cost_bound));
  }
  return kDone;
}

}  // namespace croftrun::cli
