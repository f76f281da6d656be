// The counter values of the rules. They survive a change of the rules if the counter stays the same.
#ifndef CROFTRUN_EXPR_RULE_STATE_H_
#define CROFTRUN_EXPR_RULE_STATE_H_

#include <memory>
#include <string>
#include <vector>

#include "expr/counters.h"
#include "expr/expr.h"

namespace croftrun::expr {

// Not thread-safe.
class RuleState {
 public:
  RuleState(const RuleSet& rules, std::uint64_t seed) { ReplaceRules(rules, seed); }
  // Replaces the rules. Counters with the same signature keep their counts, others start at zero.
  void ReplaceRules(const RuleSet& rules, std::uint64_t seed);
  // Counts the call in the counter with this index if `count` is set, and returns the value of the counter.
  std::int64_t CountCall(std::size_t counter, std::uint64_t now_us, std::uint64_t key, std::uint64_t item, bool count);

  // The statistics of one counter; `displaced` are evicted keys that still had a count.
  struct CounterStats {
    std::string name;
    std::uint64_t counted = 0, displaced = 0;
    std::size_t bytes = 0;
  };
  // Returns the statistics of all counters.
  std::vector<CounterStats> ReportCounters() const;

 private:
  struct Table {
    std::string name, signature;
    std::unique_ptr<CounterTable> counter;  // either this or `distinct` is set
    std::unique_ptr<DistinctTable> distinct;
  };
  std::vector<Table> tables_;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_RULE_STATE_H_
