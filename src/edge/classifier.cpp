#include "edge/classifier.h"

#include "core/number_plan.h"

namespace croftrun::edge {
namespace {

constexpr std::size_t kLongestCalling = 64;

}  // namespace

expr::Schema Classifier::SchemaFor(const std::vector<std::string>& classes,
                                   const std::vector<std::string>& customers) {
  using expr::Type;
  expr::Schema schema;
  schema.enumerations = {{"class", classes}, {"customer", customers}};
  // In the order in which Apply fills the input.
  schema.attributes = {{"class", Type::kEnum, "class", 0, false},
                       {"customer", Type::kEnum, "customer", 0, false},
                       {"called", Type::kString, "", core::kMostDigits, false},
                       {"calling", Type::kString, "", kLongestCalling, false},
                       {"destination", Type::kInt, "", 0, false},
                       {"width", Type::kInt, "", 0, false},
                       {"patience", Type::kDuration, "", 0, false},
                       {"line", Type::kInt, "", 0, true}};
  return schema;
}

std::shared_ptr<const Classifier> Classifier::Make(std::string_view text, const std::vector<std::string>& classes,
                                                   const std::vector<std::string>& customers,
                                                   std::vector<expr::Mistake>* mistakes) {
  auto rules = expr::CompileRules(text, SchemaFor(classes, customers), {}, mistakes);
  if (!rules) return nullptr;
  auto classifier = std::make_shared<Classifier>();
  classifier->rules_ = std::move(*rules);
  return classifier;
}

Classifier::Verdict Classifier::Apply(core::Offer* offer, int line) const {
  const auto number = [](std::int64_t value) { return expr::Value{value, {}, true}; };
  const auto text = [](std::string_view value, std::size_t longest) {
    return expr::Value{0, value.substr(0, longest), true};
  };
  // One buffer a thread: nothing is allocated for a call.
  thread_local expr::Input input;
  input.clear();
  input.push_back(number(offer->call_class));
  input.push_back(number(offer->customer));
  input.push_back(text(offer->called, core::kMostDigits));
  input.push_back(text(offer->calling, kLongestCalling));
  input.push_back(number(offer->destination));
  input.push_back(number(static_cast<std::int64_t>(offer->width)));
  input.push_back(number(static_cast<std::int64_t>(offer->patience_us)));
  input.push_back(expr::Value{line, {}, line != 0});
  const int matched = rules_.Match(input);
  if (matched < 0) return {};
  const expr::Rule& rule = rules_.rules[static_cast<std::size_t>(matched)];
  const expr::Effects& effects = rule.effects;
  if (effects.call_class) offer->call_class = *effects.call_class;
  if (effects.customer) offer->customer = *effects.customer;
  if (effects.redial) offer->redialled = true;
  return {&rule, effects.refuse, static_cast<TimeUs>(effects.pause_us)};
}

}  // namespace croftrun::edge
