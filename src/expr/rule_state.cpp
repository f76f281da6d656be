#include "expr/rule_state.h"

#include <algorithm>
#include <utility>

namespace croftrun::expr {

void RuleState::Follow(const RuleSet& rules, std::uint64_t seed) {
  std::vector<Table> before = std::exchange(tables_, {});
  for (const Counter& counter : rules.counters) {
    const auto same =
        std::find_if(before.begin(), before.end(), [&](const Table& t) { return t.signature == counter.signature; });
    if (same != before.end()) {
      tables_.push_back(std::move(*same));
      before.erase(same);
      tables_.back().name = counter.name;
      continue;
    }
    Table table;
    table.name = counter.name;
    table.signature = counter.signature;
    const auto window = static_cast<std::uint64_t>(counter.window_us);
    if (counter.distinct) {
      table.distinct = std::make_unique<DistinctTable>(counter.keys, window, seed);
    } else {
      table.counts = std::make_unique<CounterTable>(counter.keys, window, seed);
    }
    tables_.push_back(std::move(table));
  }
}

std::int64_t RuleState::Take(std::size_t counter, std::uint64_t now_us, std::uint64_t key, std::uint64_t item,
                             bool count) {
  Table& table = tables_[counter];
  if (table.counts != nullptr) return count ? table.counts->Count(now_us, key) : table.counts->Read(now_us, key);
  return count ? table.distinct->Count(now_us, key, item) : table.distinct->Read(now_us, key);
}

std::vector<RuleState::Figures> RuleState::Report() const {
  std::vector<Figures> report;
  for (const Table& table : tables_) {
    if (table.counts != nullptr) {
      report.push_back(
          {table.name, table.counts->figures().counted, table.counts->figures().displaced, table.counts->bytes()});
    } else {
      report.push_back({table.name, 0, table.distinct->displaced(), table.distinct->bytes()});
    }
  }
  return report;
}

}  // namespace croftrun::expr
