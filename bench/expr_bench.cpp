// Benchmarks of rule evaluation, compared with the same rules written in C++.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>

#include "expr/counters.h"
#include "expr/expr.h"

namespace {

using namespace croftrun::expr;

Schema CallSchema() {
  Schema schema;
  schema.enumerations = {{"class", {"slot-check", "slot-hold"}}, {"customer", {"residents", "crew-leads"}}};
  schema.attributes = {{"class", Type::kEnum, "class", 0, false},
                       {"customer", Type::kEnum, "customer", 0, false},
                       {"called", Type::kString, "", 32, false},
                       {"line", Type::kInt, "", 0, true},
                       {"patience", Type::kDuration, "", 0, false}};
  return schema;
}

std::string AreaPrefix(int i) { return std::to_string(10'000 + i); }

// Rule i matches calls of one class to numbers of area i from lines above a bound.
std::string RuleText(int rules) {
  std::string text;
  for (int i = 0; i < rules; ++i) {
    text += "rule r" + std::to_string(i) + " when called starts_with \"" + AreaPrefix(i) +
            "\" and class == " + (i % 2 == 0 ? "slot-hold" : "slot-check") + " and (line default 0 > " +
            std::to_string(i % 7) + " or patience < 2s) then tag \"a\";\n";
  }
  return text;
}

std::vector<std::string> CalledNumbers(int rules) {
  std::vector<std::string> numbers;
  for (int i = 0; i < 256; ++i)
    // A fifth of the numbers match no area.
    numbers.push_back(AreaPrefix((i * 7919) % (rules + rules / 4 + 1)) + "00017");
  return numbers;
}

std::vector<Input> MakeInputs(const std::vector<std::string>& numbers) {
  std::vector<Input> inputs;
  for (std::size_t i = 0; i < numbers.size(); ++i)
    inputs.push_back({{static_cast<std::int64_t>(i % 2), {}, true},
                      {0, {}, true},
                      {0, numbers[i], true},
                      {static_cast<std::int64_t>(i % 9), {}, true},
                      {3'000'000, {}, true}});
  return inputs;
}

void BM_Rules(benchmark::State& state) {
  std::vector<Diagnostic> errors;
  const auto set = CompileRules(RuleText(static_cast<int>(state.range(0))), CallSchema(), {}, &errors);
  const auto numbers = CalledNumbers(static_cast<int>(state.range(0)));
  const auto inputs = MakeInputs(numbers);
  std::size_t at = 0;
  std::uint64_t steps = 0, max_steps = 0;
  for (const Input& input : inputs) {
    std::uint64_t call_steps = 0;
    set->Match(input, &call_steps);
    steps += call_steps;
    max_steps = std::max(max_steps, call_steps);
  }
  for (auto _ : state) benchmark::DoNotOptimize(set->Match(inputs[at++ % inputs.size()]));
  state.counters["steps"] = static_cast<double>(steps) / static_cast<double>(inputs.size());
  state.counters["most_steps"] = static_cast<double>(max_steps);
  state.counters["bound"] = static_cast<double>(set->cost_bound);
}
BENCHMARK(BM_Rules)->Arg(1)->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);

// The same rules in C++: they are compared in order, and the first that matches is returned.
struct NativeRule {
  std::string area;
  std::int64_t call_class, bound;
};
std::vector<NativeRule> MakeNativeRules(int rules) {
  std::vector<NativeRule> native_rules;
  for (int i = 0; i < rules; ++i) native_rules.push_back({AreaPrefix(i), i % 2 == 0 ? 1 : 0, i % 7});
  return native_rules;
}
int NativeMatch(const std::vector<NativeRule>& native_rules, const Input& input) {
  for (std::size_t i = 0; i < native_rules.size(); ++i) {
    const NativeRule& rule = native_rules[i];
    if (input[2].text.starts_with(rule.area) && input[0].number == rule.call_class &&
        ((input[3].present ? input[3].number : 0) > rule.bound || input[4].number < 2'000'000))
      return static_cast<int>(i);
  }
  return -1;
}
void BM_ByHand(benchmark::State& state) {
  const auto native_rules = MakeNativeRules(static_cast<int>(state.range(0)));
  const auto numbers = CalledNumbers(static_cast<int>(state.range(0)));
  const auto inputs = MakeInputs(numbers);
  std::size_t at = 0;
  for (auto _ : state) benchmark::DoNotOptimize(NativeMatch(native_rules, inputs[at++ % inputs.size()]));
}
BENCHMARK(BM_ByHand)->Arg(1)->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);

void BM_OneExpression(benchmark::State& state) {
  std::vector<Diagnostic> errors;
  const auto program =
      CompileExpression("called starts_with \"10000\" and class == slot-hold and (line default 0 > 3 or patience < 2s)",
                        CallSchema(), {}, &errors);
  const auto numbers = CalledNumbers(1);
  const auto inputs = MakeInputs(numbers);
  std::size_t at = 0;
  for (auto _ : state) benchmark::DoNotOptimize(program->Test(inputs[at++ % inputs.size()]));
}
BENCHMARK(BM_OneExpression);
void BM_OneByHand(benchmark::State& state) {
  const auto native_rules = MakeNativeRules(1);
  const auto numbers = CalledNumbers(1);
  const auto inputs = MakeInputs(numbers);
  std::size_t at = 0;
  for (auto _ : state) benchmark::DoNotOptimize(NativeMatch(native_rules, inputs[at++ % inputs.size()]));
}
BENCHMARK(BM_OneByHand);

void BM_Load(benchmark::State& state) {
  const std::string text = RuleText(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    std::vector<Diagnostic> errors;
    benchmark::DoNotOptimize(CompileRules(text, CallSchema(), {}, &errors));
  }
}
BENCHMARK(BM_Load)->Arg(1'000)->Arg(10'000)->Unit(benchmark::kMillisecond);

void BM_Report(benchmark::State& state) {
  std::vector<Diagnostic> errors;
  const auto set = CompileRules(RuleText(static_cast<int>(state.range(0))), CallSchema(), {}, &errors);
  for (auto _ : state) benchmark::DoNotOptimize(set->FindIssues(false, 60'000'000));
}
BENCHMARK(BM_Report)->Arg(1'000)->Unit(benchmark::kMillisecond);

void BM_Counter(benchmark::State& state) {
  CounterTable table(65'536, 60'000'000, 1);
  std::uint64_t now = 0, key = 0;
  const auto keys = static_cast<std::uint64_t>(state.range(0));
  for (auto _ : state) benchmark::DoNotOptimize(table.Count(now += 10, key++ % keys));
}
BENCHMARK(BM_Counter)->Arg(1'000)->Arg(10'000'000);

void BM_Distinct(benchmark::State& state) {
  DistinctTable table(4'096, 60'000'000, 1);
  std::uint64_t now = 0, key = 0;
  for (auto _ : state) benchmark::DoNotOptimize(table.Count(now += 10, key % 1'000, key++));
}
BENCHMARK(BM_Distinct);

}  // namespace
