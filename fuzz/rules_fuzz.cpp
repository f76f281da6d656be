// Fuzzes the rule compiler and the byte code verifier. A rule file must either be rejected with an error or run within
// its cost bound. If the first octet is 0, the rest is byte code, which the verifier must either reject or which must
// run within its cost bound.
#include <cstdlib>

#include "edge/classifier.h"

namespace {

using croftrun::expr::Instruction;
using croftrun::expr::Op;

const croftrun::expr::Schema& CallSchema() {
  static const auto schema = croftrun::edge::Classifier::SchemaFor(
      {"slot-check", "slot-hold", "status-check", "plan-review", "hearing-update", "job-search", "video-interview"},
      {"residents", "crew-leads", "navsari-diamond", "anand-dairy-co"});
  return schema;
}

croftrun::expr::Input SampleCall() {
  croftrun::core::CallRequest offer;
  offer.called = "2100200017";
  offer.calling = "aaln/310";
  croftrun::expr::Input input;
  croftrun::edge::Classifier::FillInput(offer, {310, 0x7f000001, 0.5}, &input);
  return input;
}

void RunByteCode(const std::uint8_t* data, std::size_t size) {
  std::vector<Instruction> code;
  for (std::size_t i = 0; i + 1 < size && code.size() < 200; i += 2)
    code.push_back({static_cast<Op>(data[i]), data[i + 1], 1000});
  const auto program = croftrun::expr::Program::FromInstructions(std::move(code), 4);
  const auto input = SampleCall();
  if (!program.Verify(input.size())) return;
  std::uint64_t steps = 0;
  program.Run(input, &steps);
  if (steps > program.cost_bound()) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size > 0 && data[0] == 0) {
    RunByteCode(data + 1, size - 1);
    return 0;
  }
  std::vector<croftrun::expr::Diagnostic> errors;
  croftrun::expr::Limits limits;
  limits.max_counter_keys = 4096;
  const auto rules =
      croftrun::expr::CompileRules({reinterpret_cast<const char*>(data), size}, CallSchema(), limits, &errors);
  if (rules.has_value() != errors.empty()) std::abort();
  if (!rules) return 0;
  croftrun::expr::RuleState state(*rules, 1);
  for (int call = 0; call < 3; ++call) {
    auto input = SampleCall();
    rules->AddDerivedInputs(&input, {static_cast<std::uint64_t>(call) * 1'000'000, 1'796'000'000'000'000}, &state);
    std::uint64_t steps = 0;
    croftrun::expr::Outcome outcome;
    rules->Apply(input, &outcome, &steps);
    if (steps > rules->cost_bound) std::abort();
  }
  rules->FindIssues(true, 10'000);
  return 0;
}
