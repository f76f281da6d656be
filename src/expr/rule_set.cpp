// Applies rules to calls, and reports rules that are never reached or that overlap.
#include <algorithm>

#include "expr/expr.h"
#include "expr/hash.h"
#include "expr/rule_state.h"

namespace croftrun::expr {
namespace {

std::uint64_t HashOf(const Program& program, const Input& input) {
  const Value value = program.Run(input);
  return IsText(program.type()) ? HashText(value.text) : HashNumber(value.number);
}

// Whether every call that `b` matches is also matched by `a`. May return false if this is not known.
bool Covers(const Rule& a, const Rule& b) {
  return std::all_of(a.constraints.begin(), a.constraints.end(), [&](const Constraint& required) {
    return std::any_of(b.constraints.begin(), b.constraints.end(),
                       [&](const Constraint& actual) { return Implies(actual, required); });
  });
}

// Whether no call matches both rules. May return false if this is not known.
bool AreDisjoint(const Rule& a, const Rule& b) {
  return std::any_of(a.constraints.begin(), a.constraints.end(), [&](const Constraint& left) {
    return std::any_of(b.constraints.begin(), b.constraints.end(),
                       [&](const Constraint& right) { return Excludes(left, right); });
  });
}

bool IsContradictory(const Rule& rule) {
  for (std::size_t i = 0; i < rule.constraints.size(); ++i) {
    if (rule.constraints[i].kind == Constraint::Kind::kNever) return true;
    for (std::size_t j = 0; j < i; ++j) {
      if (Excludes(rule.constraints[i], rule.constraints[j])) return true;
    }
  }
  return false;
}

bool SameEffects(const Effects& a, const Effects& b) {
  return a.call_class == b.call_class && a.customer == b.customer && a.priority == b.priority &&
         a.budget_us == b.budget_us && !a.key && !b.key && a.refuse == b.refuse &&
         a.retry_after_us == b.retry_after_us && a.redial == b.redial && a.tags == b.tags;
}

std::string Describe(const Rule& rule) {
  return (rule.name.empty() ? "the rule" : "rule " + rule.name) + " of line " + std::to_string(rule.line);
}

}  // namespace

void RuleSet::AddDerivedInputs(Input* input, const CallTime& call_time, RuleState* state) const {
  input->resize(input_count);
  for (const CalendarInput& calendar_input : calendar)
    (*input)[calendar_input.input_index] = {
        calendar_input.time_zone->LocalValue(calendar_input.kind, call_time.wall_us), {}, true};
  for (std::size_t i = 0; i < counters.size(); ++i) {
    const Counter& counter = counters[i];
    std::int64_t count = 0;
    if (state != nullptr) {
      std::uint64_t key = 0;
      for (const Program& part : counter.key_parts) key = CombineHashes(key, HashOf(part, *input));
      const std::uint64_t item = counter.distinct_item ? HashOf(*counter.distinct_item, *input) : 0;
      count = state->CountCall(i, call_time.now_us, key, item, !counter.condition || counter.condition->Test(*input));
    }
    (*input)[counter.input_index] = {count, {}, true};
  }
}

SharedValueCache* RuleSet::BeginCall() const {
  thread_local SharedValueCache cache;
  ++cache.call_number;
  if (cache.programs != &shared_programs || cache.values.size() < shared_programs.size()) {
    // A different rule set, possibly at the same address. The cached values are from earlier calls in any case.
    cache.programs = &shared_programs;
    cache.values.resize(std::max(cache.values.size(), shared_programs.size()));
    cache.computed_in_call.resize(cache.values.size());
  }
  return &cache;
}

int RuleSet::Match(const Input& input, std::uint64_t* steps) const {
  SharedValueCache* const cache = BeginCall();
  int matched = -1;
  index.ForEachCandidate(input, [&](std::uint32_t rule) {
    if (!rules[rule].condition.Test(input, steps, cache)) return false;
    matched = static_cast<int>(rule);
    return true;
  });
  return matched;
}

void RuleSet::Apply(const Input& input, Outcome* outcome, std::uint64_t* steps) const {
  SharedValueCache* const cache = BeginCall();
  index.ForEachCandidate(input, [&](std::uint32_t number) {
    const Rule& rule = rules[number];
    if (!rule.condition.Test(input, steps, cache)) return false;
    if (outcome->rule < 0) outcome->rule = static_cast<int>(number);
    ++outcome->matched;
    const Effects& effects = rule.effects;
    if (!outcome->call_class) outcome->call_class = effects.call_class;
    if (!outcome->customer) outcome->customer = effects.customer;
    if (!outcome->priority) outcome->priority = effects.priority;
    if (!outcome->budget_us) outcome->budget_us = effects.budget_us;
    if (!outcome->key && effects.key) outcome->key = HashOf(*effects.key, input);
    outcome->redial = outcome->redial || effects.redial;
    for (const std::string& tag : effects.tags) {
      if (outcome->tag_count < Outcome::kMaxTags) outcome->tags[outcome->tag_count++] = &tag;
    }
    if (effects.refuse) {
      outcome->refuse = true;
      outcome->retry_after_us = effects.retry_after_us;
    }
    return !match_all || effects.refuse;
  });
}

std::vector<Note> RuleSet::FindIssues(bool overlaps, std::size_t max_pairs) const {
  std::vector<Note> notes;
  std::size_t pairs = 0;
  for (std::size_t j = 0; j < rules.size(); ++j) {
    const Rule& later = rules[j];
    if (IsContradictory(later)) {
      notes.push_back({later.line, Describe(later) + " can never match: its condition contradicts itself"});
      continue;
    }
    for (std::size_t i = 0; i < j; ++i) {
      if (++pairs > max_pairs) {
        notes.push_back({later.line, "from here on, rules were not compared with those before them (" +
                                         std::to_string(max_pairs) + " pairs compared)"});
        return notes;
      }
      const Rule& earlier = rules[i];
      const bool ends = !match_all || earlier.effects.refuse;
      if (ends && Covers(earlier, later)) {
        notes.push_back({later.line, Describe(later) + " is never reached: " + Describe(earlier) +
                                         " matches all of its calls first"});
        break;
      }
      if (overlaps && ends && !AreDisjoint(earlier, later) && !SameEffects(earlier.effects, later.effects))
        notes.push_back({later.line, Describe(later) + " and " + Describe(earlier) +
                                         " may match the same call; the earlier one decides"});
    }
  }
  return notes;
}

}  // namespace croftrun::expr
