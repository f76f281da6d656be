// Rules a call goes through, beside the same rules written in C++ in the same run.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>

#include "expr/counters.h"
#include "expr/expr.h"

namespace {

using namespace croftrun::expr;

Schema Calls() {
  Schema schema;
  schema.enumerations = {{"class", {"slot-check", "slot-hold"}}, {"customer", {"residents", "crew-leads"}}};
  schema.attributes = {{"class", Type::kEnum, "class", 0, false},
                       {"customer", Type::kEnum, "customer", 0, false},
                       {"called", Type::kString, "", 32, false},
                       {"line", Type::kInt, "", 0, true},
                       {"patience", Type::kDuration, "", 0, false}};
  return schema;
}

std::string Area(int i) { return std::to_string(10'000 + i); }

// Rule i is for the numbers of area i, of one class, from lines above a bound.
std::string Text(int rules) {
  std::string text;
  for (int i = 0; i < rules; ++i) {
    text += "rule r" + std::to_string(i) + " when called starts_with \"" + Area(i) +
            "\" and class == " + (i % 2 == 0 ? "slot-hold" : "slot-check") + " and (line default 0 > " +
            std::to_string(i % 7) + " or patience < 2s) then tag \"a\";\n";
  }
  return text;
}

std::vector<std::string> Numbers(int rules) {
  std::vector<std::string> numbers;
  for (int i = 0; i < 256; ++i)
    numbers.push_back(Area((i * 7919) % (rules + rules / 4 + 1)) + "00017");  // a fifth match no area
  return numbers;
}

std::vector<Input> Inputs(const std::vector<std::string>& numbers) {
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
  std::vector<Mistake> mistakes;
  const auto set = CompileRules(Text(static_cast<int>(state.range(0))), Calls(), {}, &mistakes);
  const auto numbers = Numbers(static_cast<int>(state.range(0)));
  const auto inputs = Inputs(numbers);
  std::size_t at = 0;
  std::uint64_t steps = 0, most = 0;
  for (const Input& input : inputs) {
    std::uint64_t one = 0;
    set->Match(input, &one);
    steps += one;
    most = std::max(most, one);
  }
  for (auto _ : state) benchmark::DoNotOptimize(set->Match(inputs[at++ % inputs.size()]));
  state.counters["steps"] = static_cast<double>(steps) / static_cast<double>(inputs.size());
  state.counters["most_steps"] = static_cast<double>(most);
  state.counters["bound"] = static_cast<double>(set->cost_bound);
}
BENCHMARK(BM_Rules)->Arg(1)->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);

// What a programmer would write for the same rules: the first in order that matches, compared one after the other.
struct Hand {
  std::string area;
  std::int64_t call_class, bound;
};
std::vector<Hand> HandRules(int rules) {
  std::vector<Hand> hand;
  for (int i = 0; i < rules; ++i) hand.push_back({Area(i), i % 2 == 0 ? 1 : 0, i % 7});
  return hand;
}
int HandMatch(const std::vector<Hand>& hand, const Input& input) {
  for (std::size_t i = 0; i < hand.size(); ++i) {
    const Hand& h = hand[i];
    if (input[2].text.starts_with(h.area) && input[0].number == h.call_class &&
        ((input[3].present ? input[3].number : 0) > h.bound || input[4].number < 2'000'000))
      return static_cast<int>(i);
  }
  return -1;
}
void BM_ByHand(benchmark::State& state) {
  const auto hand = HandRules(static_cast<int>(state.range(0)));
  const auto numbers = Numbers(static_cast<int>(state.range(0)));
  const auto inputs = Inputs(numbers);
  std::size_t at = 0;
  for (auto _ : state) benchmark::DoNotOptimize(HandMatch(hand, inputs[at++ % inputs.size()]));
}
BENCHMARK(BM_ByHand)->Arg(1)->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);

void BM_OneExpression(benchmark::State& state) {
  std::vector<Mistake> mistakes;
  const auto program =
      CompileExpression("called starts_with \"10000\" and class == slot-hold and (line default 0 > 3 or patience < 2s)",
                        Calls(), {}, &mistakes);
  const auto numbers = Numbers(1);
  const auto inputs = Inputs(numbers);
  std::size_t at = 0;
  for (auto _ : state) benchmark::DoNotOptimize(program->Test(inputs[at++ % inputs.size()]));
}
BENCHMARK(BM_OneExpression);
void BM_OneByHand(benchmark::State& state) {
  const auto hand = HandRules(1);
  const auto numbers = Numbers(1);
  const auto inputs = Inputs(numbers);
  std::size_t at = 0;
  for (auto _ : state) benchmark::DoNotOptimize(HandMatch(hand, inputs[at++ % inputs.size()]));
}
BENCHMARK(BM_OneByHand);

void BM_Load(benchmark::State& state) {
  const std::string text = Text(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    std::vector<Mistake> mistakes;
    benchmark::DoNotOptimize(CompileRules(text, Calls(), {}, &mistakes));
  }
}
BENCHMARK(BM_Load)->Arg(1'000)->Arg(10'000)->Unit(benchmark::kMillisecond);

void BM_Report(benchmark::State& state) {
  std::vector<Mistake> mistakes;
  const auto set = CompileRules(Text(static_cast<int>(state.range(0))), Calls(), {}, &mistakes);
  for (auto _ : state) benchmark::DoNotOptimize(set->Report(false, 60'000'000));
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
