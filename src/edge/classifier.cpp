#include "edge/classifier.h"

#include <algorithm>
#include <bit>

#include "core/number_plan.h"

namespace croftrun::edge {
namespace {

constexpr std::size_t kMaxCallingLength = 64;

// Returns each zone once, in the order of the named exchanges.
std::vector<std::string> ZonesOf(const std::vector<NamedExchange>& named_exchanges) {
  std::vector<std::string> zones;
  for (const NamedExchange& named : named_exchanges) {
    if (std::find(zones.begin(), zones.end(), named.zone) == zones.end()) zones.push_back(named.zone);
  }
  return zones;
}

}  // namespace

expr::Schema Classifier::SchemaFor(const std::vector<std::string>& classes, const std::vector<std::string>& customers,
                                   const std::vector<NamedExchange>& named_exchanges) {
  using expr::Type;
  expr::Schema schema;
  schema.enumerations = {{"class", classes}, {"customer", customers}};
  // FillInput sets the values in the same order.
  schema.attributes = {{"class", Type::kEnum, "class", 0, false},
                       {"customer", Type::kEnum, "customer", 0, false},
                       {"called", Type::kString, "", core::kMaxDigits, false},
                       {"calling", Type::kString, "", kMaxCallingLength, false},
                       {"destination", Type::kInt, "", 0, false},
                       {"width", Type::kInt, "", 0, false},
                       {"patience", Type::kDuration, "", 0, false},
                       {"line", Type::kInt, "", 0, true},
                       {"gateway", Type::kAddress, "", 0, false},
                       {"overload", Type::kDouble, "", 0, false}};
  if (named_exchanges.empty()) return schema;
  for (const NamedExchange& named : named_exchanges) schema.enumerations["exchange"].push_back(named.name);
  schema.enumerations["zone"] = ZonesOf(named_exchanges);
  schema.attributes.push_back({"to", Type::kEnum, "exchange", 0, true});
  schema.attributes.push_back({"to_zone", Type::kEnum, "zone", 0, true});
  return schema;
}

std::shared_ptr<const Classifier> Classifier::Compile(std::string_view text, const std::vector<std::string>& classes,
                                                      const std::vector<std::string>& customers,
                                                      std::vector<expr::Diagnostic>* diagnostics,
                                                      const std::vector<NamedExchange>& named_exchanges) {
  auto rules = expr::CompileRules(text, SchemaFor(classes, customers, named_exchanges), {}, diagnostics);
  if (!rules) return nullptr;
  auto classifier = std::make_shared<Classifier>();
  classifier->rules_ = std::move(*rules);
  const std::vector<std::string> zones = ZonesOf(named_exchanges);
  for (std::size_t i = 0; i < named_exchanges.size(); ++i) {
    const auto zone = std::find(zones.begin(), zones.end(), named_exchanges[i].zone) - zones.begin();
    classifier->words_by_exchange_[named_exchanges[i].exchange] = {static_cast<int>(i), static_cast<int>(zone)};
  }
  return classifier;
}

void Classifier::FillInput(const core::CallRequest& call_request, const CallFacts& facts, expr::Input* input) {
  const auto number = [](std::int64_t value) { return expr::Value{value, {}, true}; };
  const auto text = [](std::string_view value, std::size_t max_length) {
    return expr::Value{0, value.substr(0, max_length), true};
  };
  input->clear();
  input->push_back(number(call_request.call_class));
  input->push_back(number(call_request.customer));
  input->push_back(text(call_request.called, core::kMaxDigits));
  input->push_back(text(call_request.calling, kMaxCallingLength));
  input->push_back(number(call_request.destination));
  input->push_back(number(static_cast<std::int64_t>(call_request.width)));
  input->push_back(number(static_cast<std::int64_t>(call_request.caller_timeout_us)));
  input->push_back(expr::Value{facts.line, {}, facts.line != 0});
  input->push_back(number(facts.gateway));
  input->push_back(number(std::bit_cast<std::int64_t>(facts.overload)));
}

Classifier::Result Classifier::Apply(core::CallRequest* call_request, const CallFacts& facts,
                                     const expr::CallTime& call_time, expr::RuleState* state) const {
  // One buffer for each thread, so that calls need no allocation.
  thread_local expr::Input input;
  FillInput(*call_request, facts, &input);
  if (!words_by_exchange_.empty()) {
    const auto words = words_by_exchange_.find(call_request->destination);
    const bool has_name = words != words_by_exchange_.end();
    input.push_back({has_name ? words->second.exchange : 0, {}, has_name});
    input.push_back({has_name ? words->second.zone : 0, {}, has_name});
  }
  rules_.AddDerivedInputs(&input, call_time, state);
  Result result;
  expr::Outcome& outcome = result.outcome;
  rules_.Apply(input, &outcome);
  if (outcome.rule < 0) return result;
  result.rule = &rules_.rules[static_cast<std::size_t>(outcome.rule)];
  result.refuse = outcome.refuse;
  result.retry_after_us = static_cast<TimeUs>(outcome.retry_after_us);
  if (outcome.call_class) call_request->call_class = *outcome.call_class;
  if (outcome.customer) call_request->customer = *outcome.customer;
  if (outcome.priority) call_request->priority = *outcome.priority;
  if (outcome.key) call_request->key = std::max<std::uint64_t>(1, *outcome.key);
  if (outcome.redial) call_request->is_redial = true;
  return result;
}

}  // namespace croftrun::edge
