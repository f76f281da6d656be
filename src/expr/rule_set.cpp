// What rules do to a call, and what can be said of them without one.
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

bool Covers(const Rule& a, const Rule& b) {
  return std::all_of(a.constraints.begin(), a.constraints.end(), [&](const Constraint& wanted) {
    return std::any_of(b.constraints.begin(), b.constraints.end(),
                       [&](const Constraint& holds) { return Implies(holds, wanted); });
  });
}

bool Apart(const Rule& a, const Rule& b) {
  return std::any_of(a.constraints.begin(), a.constraints.end(), [&](const Constraint& one) {
    return std::any_of(b.constraints.begin(), b.constraints.end(),
                       [&](const Constraint& other) { return Excludes(one, other); });
  });
}

bool Never(const Rule& rule) {
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
         a.budget_us == b.budget_us && !a.key && !b.key && a.refuse == b.refuse && a.pause_us == b.pause_us &&
         a.redial == b.redial && a.tags == b.tags;
}

std::string Called(const Rule& rule) {
  return (rule.name.empty() ? "the rule" : "rule " + rule.name) + " of line " + std::to_string(rule.line);
}

}  // namespace

void RuleSet::Extend(Input* input, const Moment& moment, RuleState* state) const {
  input->resize(inputs);
  for (const CalendarInput& calendar_input : calendar)
    (*input)[calendar_input.input] = {calendar_input.table->Get(calendar_input.kind, moment.wall_us), {}, true};
  for (std::size_t i = 0; i < counters.size(); ++i) {
    const Counter& counter = counters[i];
    std::int64_t count = 0;
    if (state != nullptr) {
      std::uint64_t key = 0;
      for (const Program& part : counter.key) key = HashBoth(key, HashOf(part, *input));
      const std::uint64_t item = counter.distinct ? HashOf(*counter.distinct, *input) : 0;
      count = state->Take(i, moment.now_us, key, item, !counter.when || counter.when->Test(*input));
    }
    (*input)[counter.input] = {count, {}, true};
  }
}

Scratch* RuleSet::NextCall() const {
  thread_local Scratch scratch;
  ++scratch.call;
  if (scratch.shared != &shared || scratch.memo.size() < shared.size()) {
    // Another set of rules, or another at the same place: the stamps are of calls before this one in any case.
    scratch.shared = &shared;
    scratch.memo.resize(std::max(scratch.memo.size(), shared.size()));
    scratch.stamp.resize(scratch.memo.size());
  }
  return &scratch;
}

int RuleSet::Match(const Input& input, std::uint64_t* steps) const {
  Scratch* const scratch = NextCall();
  int matched = -1;
  index.Each(input, [&](std::uint32_t rule) {
    if (!rules[rule].when.Test(input, steps, scratch)) return false;
    matched = static_cast<int>(rule);
    return true;
  });
  return matched;
}

void RuleSet::Apply(const Input& input, Outcome* outcome, std::uint64_t* steps) const {
  Scratch* const scratch = NextCall();
  index.Each(input, [&](std::uint32_t number) {
    const Rule& rule = rules[number];
    if (!rule.when.Test(input, steps, scratch)) return false;
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
      if (outcome->tag_count < Outcome::kMostTags) outcome->tags[outcome->tag_count++] = &tag;
    }
    if (effects.refuse) {
      outcome->refuse = true;
      outcome->pause_us = effects.pause_us;
    }
    return !all || effects.refuse;
  });
}

std::vector<Note> RuleSet::Report(bool overlaps, std::size_t most_pairs) const {
  std::vector<Note> notes;
  std::size_t pairs = 0;
  for (std::size_t j = 0; j < rules.size(); ++j) {
    const Rule& later = rules[j];
    if (Never(later)) {
      notes.push_back({later.line, Called(later) + " can never match: its condition contradicts itself"});
      continue;
    }
    for (std::size_t i = 0; i < j; ++i) {
      if (++pairs > most_pairs) {
        notes.push_back({later.line, "from here on rules were not compared with those before them (" +
                                         std::to_string(most_pairs) + " pairs looked at)"});
        return notes;
      }
      const Rule& earlier = rules[i];
      const bool ends = !all || earlier.effects.refuse;
      if (ends && Covers(earlier, later)) {
        notes.push_back({later.line, Called(later) + " is never reached: whatever it matches, " + Called(earlier) +
                                         " matches before"});
        break;
      }
      if (overlaps && ends && !Apart(earlier, later) && !SameEffects(earlier.effects, later.effects))
        notes.push_back({later.line, Called(later) + " and " + Called(earlier) +
                                         " may match the same call; the earlier one decides"});
    }
  }
  return notes;
}

}  // namespace croftrun::expr
