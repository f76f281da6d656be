#include "expr/rule_state.h"

#include <algorithm>
#include <utility>

namespace croftrun::expr {

void RuleState::ReplaceRules(const RuleSet& rules, std::uint64_t seed) {
  std::vector<Table> previous = std::exchange(tables_, {});
  for (const Counter& counter : rules.counters) {
    const auto unchanged = std::find_if(previous.begin(), previous.end(),
                                        [&](const Table& t) { return t.signature == counter.signature; });
    if (unchanged != previous.end()) {
      tables_.push_back(std::move(*unchanged));
      previous.erase(unchanged);
      tables_.back().name = counter.name;
      continue;
    }
    Table table;
    table.name = counter.name;
    table.signature = counter.signature;
    const auto window = static_cast<std::uint64_t>(counter.window_us);
    if (counter.distinct_item) {
      table.distinct = std::make_unique<DistinctTable>(counter.max_keys, window, seed);
    } else {
      table.counter = std::make_unique<CounterTable>(counter.max_keys, window, seed);
    }
    tables_.push_back(std::move(table));
  }
}

std::int64_t RuleState::CountCall(std::size_t counter, std::uint64_t now_us, std::uint64_t key, std::uint64_t item,
                                  bool count) {
  Table& table = tables_[counter];
  if (table.counter != nullptr) return count ? table.counter->Count(now_us, key) : table.counter->Read(now_us, key);
  return count ? table.distinct->Count(now_us, key, item) : table.distinct->Read(now_us, key);
}

std::vector<RuleState::CounterStats> RuleState::ReportCounters() const {
  std::vector<CounterStats> report;
  for (const Table& table : tables_) {
    if (table.counter != nullptr) {
      report.push_back(
          {table.name, table.counter->stats().counted, table.counter->stats().displaced, table.counter->bytes()});
    } else {
      report.push_back({table.name, 0, table.distinct->displaced(), table.distinct->bytes()});
    }
  }
  return report;
}

}  // namespace croftrun::expr
