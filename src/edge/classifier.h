// Rules of the language in src/expr applied to calls of own lines, before the module sees them. They classify; routes
// stay with the module.
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

// What the front knows of a call beside its offer.
struct CallFacts {
  int line = 0;               // 0: none
  std::uint32_t gateway = 0;  // IPv4 address, host order
  double overload = 0.0;      // share of new calls that this edge refuses for its own overload
};

// An exchange that the settings give a name, and the zone it lies in.
struct Place {
  int exchange = -1;
  std::string name, zone;
};

class Classifier {
 public:
  // What rules can ask of a call, with the words of the settings.
  // With places also `to` and `to_zone`, where the destination has a name.
  static expr::Schema SchemaFor(const std::vector<std::string>& classes, const std::vector<std::string>& customers,
                                const std::vector<Place>& places = {});
  // An input of that schema, without what the rule set adds. Texts refer to the offer.
  static void Fill(const core::CallRequest& offer, const CallFacts& facts, expr::Input* input);
  // Null where there was a mistake; immutable once made, so that a call is wholly under one version.
  static std::shared_ptr<const Classifier> Make(std::string_view text, const std::vector<std::string>& classes,
                                                const std::vector<std::string>& customers,
                                                std::vector<expr::Mistake>* mistakes,
                                                const std::vector<Place>& places = {});

  struct Verdict {
    const expr::Rule* rule = nullptr;  // the first that matched; null: none
    bool refuse = false;
    TimeUs pause_us = 0;
    expr::Outcome outcome;
  };
  // Changes the offer as the rules say, but for the patience, which follows the class: `outcome.budget_us` is to be
  // applied after it. Counts the call in `state`.
  Verdict Apply(core::CallRequest* offer, const CallFacts& facts, const expr::Moment& moment,
                expr::RuleState* state) const;
  const expr::RuleSet& rules() const { return rules_; }

 private:
  struct Known {
    int exchange = 0, zone = 0;  // words of the enumerations
  };
  expr::RuleSet rules_;
  std::unordered_map<int, Known> places_;  // by number of the exchange
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_CLASSIFIER_H_
