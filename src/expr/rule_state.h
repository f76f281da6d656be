// The counts that rules go by: they outlive a change of the rules where a counter stays the same.
#ifndef CROFTRUN_EXPR_RULE_STATE_H_
#define CROFTRUN_EXPR_RULE_STATE_H_

#include <memory>
#include <string>
#include <vector>

#include "expr/counters.h"
#include "expr/expr.h"

namespace croftrun::expr {

// Used by one thread.
class RuleState {
 public:
  RuleState(const RuleSet& rules, std::uint64_t seed) { Follow(rules, seed); }
  // For these rules from now on: counters with the same signature keep their counts, others start at none.
  void Follow(const RuleSet& rules, std::uint64_t seed);
  // Counts the call for the counter of that number, if `count`; returns what the counter then reads.
  std::int64_t Take(std::size_t counter, std::uint64_t now_us, std::uint64_t key, std::uint64_t item, bool count);

  struct Figures {
    std::string name;
    std::uint64_t counted = 0, displaced = 0;
    std::size_t bytes = 0;
  };
  std::vector<Figures> Report() const;

 private:
  struct Table {
    std::string name, signature;
    std::unique_ptr<CounterTable> counts;  // either
    std::unique_ptr<DistinctTable> distinct;
  };
  std::vector<Table> tables_;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_RULE_STATE_H_
