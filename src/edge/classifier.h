// Applies rules of the language in src/expr to calls of this edge's callers before the module sees them. Rules classify
// calls; routing is left to the module.
#ifndef CROFTRUN_EDGE_CLASSIFIER_H_
#define CROFTRUN_EDGE_CLASSIFIER_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/call_core.h"
#include "expr/expr.h"
#include "expr/rule_state.h"

namespace croftrun::edge {

// Inputs of the rules that are not part of the call request.
struct CallFacts {
  int line = 0;               // calling line; 0: none
  std::uint32_t gateway = 0;  // IPv4 address, host order
  double overload = 0.0;      // share of new calls that this edge refuses because it is overloaded
};

// An exchange that has a name in the settings, and its zone.
struct NamedExchange {
  int exchange = -1;
  std::string name, zone;
};

// A compiled set of rules. Immutable, so that each call is classified by one version of the rules.
class Classifier {
 public:
  // Returns the attributes of a call that rules can refer to, with the names from the settings. If there are named
  // exchanges, the attributes `to` and `to_zone` are added; they have a value if the destination has a name.
  static expr::Schema SchemaFor(const std::vector<std::string>& classes, const std::vector<std::string>& customers,
                                const std::vector<NamedExchange>& named_exchanges = {});
  // Fills `input` in the order of the schema's attributes, without the values that the rule set derives. Texts in it
  // refer to the call request.
  static void FillInput(const core::CallRequest& call_request, const CallFacts& facts, expr::Input* input);
  // Compiles the text of the rules. Appends the errors to `diagnostics` and returns null if there are any.
  static std::shared_ptr<const Classifier> Compile(std::string_view text, const std::vector<std::string>& classes,
                                                   const std::vector<std::string>& customers,
                                                   std::vector<expr::Diagnostic>* diagnostics,
                                                   const std::vector<NamedExchange>& named_exchanges = {});

  struct Result {
    const expr::Rule* rule = nullptr;  // first rule that matched; null: none
    bool refuse = false;
    TimeUs retry_after_us = 0;
    expr::Outcome outcome;
  };
  // Changes the call request as the rules say and counts the call in `state`. The caller timeout is left to the caller
  // of this function: it depends on the class, and `outcome.budget_us` has to be applied after that.
  Result Apply(core::CallRequest* call_request, const CallFacts& facts, const expr::CallTime& call_time,
               expr::RuleState* state) const;
  const expr::RuleSet& rules() const { return rules_; }

 private:
  struct ExchangeWords {
    int exchange = 0, zone = 0;  // indexes in the enumerations of the schema
  };
  expr::RuleSet rules_;
  std::unordered_map<int, ExchangeWords> words_by_exchange_;  // by exchange number
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_CLASSIFIER_H_
