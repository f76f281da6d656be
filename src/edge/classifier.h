// Rules of the language in src/expr applied to calls of own lines, before the module sees them. They classify; routes
// stay with the module.
#ifndef CROFTRUN_EDGE_CLASSIFIER_H_
#define CROFTRUN_EDGE_CLASSIFIER_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/call_core.h"
#include "expr/expr.h"

namespace croftrun::edge {

class Classifier {
 public:
  // What rules can ask of a call, with the words of the settings.
  static expr::Schema SchemaFor(const std::vector<std::string>& classes, const std::vector<std::string>& customers);
  // Null where there was a mistake; immutable once made, so that a call is wholly under one version.
  static std::shared_ptr<const Classifier> Make(std::string_view text, const std::vector<std::string>& classes,
                                                const std::vector<std::string>& customers,
                                                std::vector<expr::Mistake>* mistakes);

  struct Verdict {
    const expr::Rule* rule = nullptr;  // that matched; null: none
    bool refuse = false;
    TimeUs pause_us = 0;
  };
  // Changes class, customer and redial mark of the offer as the first rule that matches says. `line`: 0 for none.
  Verdict Apply(core::Offer* offer, int line) const;
  const expr::RuleSet& rules() const { return rules_; }

 private:
  expr::RuleSet rules_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_CLASSIFIER_H_
