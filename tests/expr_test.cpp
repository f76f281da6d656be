#include "expr/expr.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <limits>

namespace croftrun::expr {
namespace {

Schema CallSchema() {
  Schema schema;
  schema.enumerations = {{"class", {"slot-check", "slot-hold"}}, {"customer", {"residents", "crew-leads"}}};
  schema.attributes = {{"class", Type::kEnum, "class", 0, false}, {"customer", Type::kEnum, "customer", 0, false},
                       {"called", Type::kString, "", 32, false},  {"calling", Type::kString, "", 64, false},
                       {"width", Type::kInt, "", 0, false},       {"patience", Type::kDuration, "", 0, false},
                       {"line", Type::kInt, "", 0, true},         {"transit", Type::kBool, "", 0, false}};
  return schema;
}

// A slot-hold call of a crew lead from line 7 to 2100200017 with one circuit and a caller timeout of 3 s.
Input SampleCall() {
  return {{1, {}, true}, {1, {}, true},         {0, "2100200017", true}, {0, "aaln/7", true},
          {1, {}, true}, {3'000'000, {}, true}, {7, {}, true},           {0, {}, true}};
}

std::int64_t Evaluate(const std::string& text, const Input& input = SampleCall()) {
  std::vector<Diagnostic> errors;
  const auto program = CompileExpression(text, CallSchema(), {}, &errors);
  if (!program) {
    ADD_FAILURE() << text << "\n" << ToString(errors);
    return -99;
  }
  EXPECT_TRUE(program->Verify(CallSchema().attributes.size())) << text;
  std::uint64_t steps = 0;
  const Value value = program->Run(input, &steps);
  EXPECT_LE(steps, program->cost_bound()) << text;
  return value.number;
}

std::string ErrorsOf(const std::string& text, const Limits& limits = {}) {
  std::vector<Diagnostic> errors;
  EXPECT_FALSE(CompileExpression(text, CallSchema(), limits, &errors)) << text;
  EXPECT_FALSE(errors.empty()) << text;
  return ToString(errors);
}

TEST(Expr, EvaluatesConditionsOnCallAttributes) {
  EXPECT_EQ(Evaluate("class == slot-hold and customer == crew-leads"), 1);
  EXPECT_EQ(Evaluate("slot-check == class or transit"), 0);
  EXPECT_EQ(Evaluate("called starts_with \"21002\" and not (called ends_with \"99\")"), 1);
  EXPECT_EQ(Evaluate("called contains \"2000\""), 1);
  EXPECT_EQ(Evaluate("called matches \"^21002[0-9]{5}$\""), 1);
  EXPECT_EQ(Evaluate("width in [1, 4, 9] and width in 1 .. 3"), 1);
  EXPECT_EQ(Evaluate("calling in [\"aaln/1\", \"aaln/7\"]"), 1);
  EXPECT_EQ(Evaluate("class in [slot-check]"), 0);
  EXPECT_EQ(Evaluate("width - 3 in [-2, -5]"), 1);
  EXPECT_EQ(Evaluate("patience < 3500ms and patience >= 3s and patience != 1min"), 1);
  EXPECT_EQ(Evaluate("if has(line) and line > 5 then 10 else 20"), 10);
  EXPECT_EQ(Evaluate("line default -1"), 7);
  EXPECT_EQ(Evaluate("length(called) + 2 * 3 - 10 / 4 % 2"), 16);
  EXPECT_EQ(Evaluate("calling <= \"aaln/7\" and calling >= \"aaln/7\" and calling < \"b\" and \"b\" > calling"), 1);
}

TEST(Expr, RejectsOptionalAttributeWithoutPresenceCheck) {
  Input absent = SampleCall();
  absent[6] = {0, {}, false};
  EXPECT_EQ(Evaluate("has(line) and line > 5", absent), 0);
  EXPECT_EQ(Evaluate("line default -1", absent), -1);
  EXPECT_NE(ErrorsOf("line > 5").find("may be absent"), std::string::npos);
  EXPECT_NE(ErrorsOf("has(line) or line > 5").find("may be absent"), std::string::npos);
  EXPECT_NE(ErrorsOf("if has(line) then 1 else line").find("may be absent"), std::string::npos);
}

TEST(Expr, ArithmeticIsTotal) {
  EXPECT_EQ(Evaluate("9223372036854775807 + 1"), std::numeric_limits<std::int64_t>::max());
  EXPECT_EQ(Evaluate("-9223372036854775807 - 10"), std::numeric_limits<std::int64_t>::min());
  EXPECT_EQ(Evaluate("9223372036854775807 * -2"), std::numeric_limits<std::int64_t>::min());
  EXPECT_EQ(Evaluate("-(-9223372036854775807 - 1)"), std::numeric_limits<std::int64_t>::max());
  EXPECT_EQ(Evaluate("(-9223372036854775807 - 1) / -1"), std::numeric_limits<std::int64_t>::max());
  EXPECT_EQ(Evaluate("7 / 0 + 7 % 0 + 7 % -1"), 0);
}

TEST(Expr, ReportsErrorsWithLineAndColumn) {
  std::vector<Diagnostic> errors;
  EXPECT_FALSE(CompileExpression("class == slot-hold and\n  customer == crew-laeds", CallSchema(), {}, &errors));
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].line, 2U);
  EXPECT_EQ(errors[0].column, 15U);
  EXPECT_EQ(errors[0].text, "expected a word of customer, found 'crew-laeds'; did you mean 'crew-leads'?");
  EXPECT_EQ(errors[0].excerpt, "  customer == crew-laeds\n              ^");
  for (const char* invalid : {"",
                              "class",
                              "1 +",
                              "(1",
                              "1 == \"a\"",
                              "class == customer",
                              "called + 1",
                              "not width",
                              "width and transit",
                              "clas == slot-hold",
                              "class < slot-hold",
                              "called matches \"(\"",
                              "called matches width",
                              "width in [1, called]",
                              "width in [width]",
                              "called in 1 .. 2",
                              "has(width",
                              "has(5)",
                              "1 2",
                              "\"open",
                              "5parsecs",
                              "99999999999999999999",
                              "transit == 1",
                              "if 1 then 2 else 3",
                              "if transit then 1 else \"a\"",
                              "patience * 2s",
                              "patience + 1",
                              "-called",
                              "@",
                              "true < false",
                              "length(width)"}) {
    // Valid as an expression, but not as a condition; see the tests of rules.
    if (std::string(invalid) == "class") continue;
    ErrorsOf(invalid);
  }
}

TEST(Expr, RejectsInputsThatExceedLimits) {
  EXPECT_NE(ErrorsOf(std::string(10'000, '(') + "1" + std::string(10'000, ')')).find("deeper nesting"),
            std::string::npos);
  std::string nots;
  for (int i = 0; i < 10'000; ++i) nots += "not ";
  EXPECT_NE(ErrorsOf(nots + "transit").find("deeper nesting"), std::string::npos);
  EXPECT_NE(ErrorsOf(std::string(10'000, '-') + "1").find("deeper nesting"), std::string::npos);
  std::string list = "width in [0";
  for (int i = 1; i < 5'000; ++i) list += "," + std::to_string(i);
  EXPECT_NE(ErrorsOf(list + "]").find("at most 4096 items"), std::string::npos);
  EXPECT_NE(ErrorsOf("called matches \"(a{1,500}){1,500}\"").find("regular expression"), std::string::npos);
  EXPECT_NE(ErrorsOf(std::string(5 << 20, ' ')).find("octets"), std::string::npos);
  Limits low_limits;
  low_limits.max_cost = 50;
  EXPECT_NE(ErrorsOf("called contains \"123\" and calling contains \"123\"", low_limits).find("cost"),
            std::string::npos);
  std::string sum = "1";
  for (int i = 0; i < 250'000; ++i) sum += "+1";
  ErrorsOf(sum);
}

TEST(Expr, MatchesInvalidUtf8AsOctets) {
  Input invalid_utf8 = SampleCall();
  invalid_utf8[2].text = std::string_view("\xff\xfe\0z", 4);
  EXPECT_EQ(Evaluate("called contains \"z\"", invalid_utf8), 1);
  EXPECT_EQ(Evaluate("called matches \"^[0-9]+$\"", invalid_utf8), 0);
}

TEST(ExprRules, AppliesFirstMatchingRule) {
  std::vector<Diagnostic> errors;
  const auto set = CompileRules(R"(
    # crew leads first
    rule crews when customer == crew-leads and class == slot-hold then class = slot-hold, tag "crew";
    rule flood when has(line) and line in 100 .. 199 then refuse pause 2s;
    rule rest when true then class = slot-check, redial;)",
                                CallSchema(), {}, &errors);
  ASSERT_TRUE(set) << ToString(errors);
  ASSERT_EQ(set->rules.size(), 3U);
  EXPECT_EQ(set->Match(SampleCall()), 0);
  EXPECT_EQ(set->rules[0].effects.call_class, 1);
  EXPECT_EQ(set->rules[0].line, 3U);
  Input other = SampleCall();
  other[1].number = 0;
  EXPECT_EQ(set->Match(other), 2);
  other[6].number = 150;
  EXPECT_EQ(set->Match(other), 1);
  EXPECT_EQ(set->rules[1].effects.retry_after_us, 2'000'000);
}

TEST(ExprRules, ReportsAllErrorsOfFileAtOnce) {
  std::vector<Diagnostic> errors;
  EXPECT_FALSE(CompileRules(R"(rule a when clas == slot-hold then class = slot-hold;
rule b when width then refuse;
rule c when width > 1 then class = slot-hodl;
rule d width then refuse;
rule e when width > "x" then refuse pause soon;
rule f when transit then explode;)",
                            CallSchema(), {}, &errors));
  ASSERT_EQ(errors.size(), 7U) << ToString(errors);
  for (std::size_t i = 0; i < 5; ++i) EXPECT_EQ(errors[i].line, i + 1) << ToString(errors);
  EXPECT_EQ(errors[6].line, 6U);
  EXPECT_NE(errors[2].text.find("did you mean 'slot-hold'?"), std::string::npos);
}

// ---- properties ----

// A well-typed expression and its expected value, which the generator computes independently of the compiler.
struct GeneratedExpression {
  std::string text;
  std::int64_t value = 0;
};

__extension__ using Int128 = __int128;

std::int64_t Saturate(Int128 wide) {
  if (wide > std::numeric_limits<std::int64_t>::max()) return std::numeric_limits<std::int64_t>::max();
  if (wide < std::numeric_limits<std::int64_t>::min()) return std::numeric_limits<std::int64_t>::min();
  return static_cast<std::int64_t>(wide);
}

GeneratedExpression GenerateCondition(int depth, const Input& input);

GeneratedExpression GenerateInteger(int depth, const Input& input) {
  const int kind = depth <= 0 ? *rc::gen::inRange(0, 3) : *rc::gen::inRange(0, 9);
  if (kind == 0) {
    const auto n = *rc::gen::inRange<std::int64_t>(0, 1000);
    return {std::to_string(n), n};
  }
  if (kind == 1) return {"width", input[4].number};
  if (kind == 2) return {"(line default 3)", input[6].present ? input[6].number : 3};
  if (kind == 3) {
    const GeneratedExpression c = GenerateCondition(depth - 1, input), a = GenerateInteger(depth - 1, input),
                              b = GenerateInteger(depth - 1, input);
    return {"(if " + c.text + " then " + a.text + " else " + b.text + ")", c.value != 0 ? a.value : b.value};
  }
  const GeneratedExpression a = GenerateInteger(depth - 1, input), b = GenerateInteger(depth - 1, input);
  const auto wide = static_cast<Int128>(a.value);
  switch (kind) {
    case 4:
      return {"(" + a.text + " + " + b.text + ")", Saturate(wide + b.value)};
    case 5:
      return {"(" + a.text + " - " + b.text + ")", Saturate(wide - b.value)};
    case 6:
      return {"(" + a.text + " * " + b.text + ")", Saturate(wide * b.value)};
    case 7:
      return {"(" + a.text + " / " + b.text + ")", b.value == 0 ? 0 : Saturate(wide / b.value)};
    default:
      return {"(" + a.text + " % " + b.text + ")", b.value == 0 ? 0 : static_cast<std::int64_t>(wide % b.value)};
  }
}

GeneratedExpression GenerateCondition(int depth, const Input& input) {
  const int kind = depth <= 0 ? *rc::gen::inRange(0, 4) : *rc::gen::inRange(0, 9);
  const std::string called(input[2].text);
  const std::string part = std::to_string(*rc::gen::inRange(0, 300));
  switch (kind) {
    case 0:
      return {"transit", input[7].number};
    case 1:
      return {"class == slot-hold", input[0].number == 1};
    case 2:
      return {"called starts_with \"" + part + "\"", called.rfind(part, 0) == 0};
    case 3:
      return {"called contains \"" + part + "\"", called.find(part) != std::string::npos};
    case 4: {
      const GeneratedExpression a = GenerateCondition(depth - 1, input);
      return {"not (" + a.text + ")", a.value == 0};
    }
    case 5: {
      const GeneratedExpression a = GenerateCondition(depth - 1, input), b = GenerateCondition(depth - 1, input);
      return {"(" + a.text + " and " + b.text + ")", a.value != 0 && b.value != 0};
    }
    case 6: {
      const GeneratedExpression a = GenerateCondition(depth - 1, input), b = GenerateCondition(depth - 1, input);
      return {"(" + a.text + " or " + b.text + ")", a.value != 0 || b.value != 0};
    }
    case 7: {
      const GeneratedExpression a = GenerateInteger(depth - 1, input), b = GenerateInteger(depth - 1, input);
      return {a.text + " < " + b.text, a.value < b.value};
    }
    default: {
      const GeneratedExpression a = GenerateInteger(depth - 1, input);
      const auto low = *rc::gen::inRange(0, 500), high = *rc::gen::inRange(0, 1000);
      return {a.text + " in " + std::to_string(low) + " .. " + std::to_string(high), a.value >= low && a.value <= high};
    }
  }
}

TEST(ExprProperties, CompiledExpressionAgreesWithReferenceWithinCostBound) {
  rc::check([] {
    Input input = SampleCall();
    const std::string called = std::to_string(*rc::gen::inRange<std::int64_t>(0, 9'999'999'999));
    input[0].number = *rc::gen::inRange(0, 2);
    input[2].text = called;
    input[4].number = *rc::gen::arbitrary<std::int64_t>();
    input[6] = {*rc::gen::inRange<std::int64_t>(0, 10'000), {}, *rc::gen::arbitrary<bool>()};
    input[7].number = *rc::gen::inRange(0, 2);
    const GeneratedExpression expression = GenerateCondition(5, input);
    std::vector<Diagnostic> errors;
    const auto program = CompileExpression(expression.text, CallSchema(), {}, &errors);
    RC_ASSERT(program.has_value());
    RC_ASSERT(program->Verify(CallSchema().attributes.size()));
    std::uint64_t steps = 0;
    RC_ASSERT(program->Run(input, &steps).number == expression.value);
    RC_ASSERT(steps <= program->cost_bound());
  });
}

TEST(ExprProperties, MutatedRulesCompileOrReportErrors) {
  const std::string seed =
      "rule a when has(line) and line in 1 .. 9 or called matches \"x+\" then class = slot-hold, tag \"t\";";
  std::uint64_t state = 7;
  const auto next_random = [&state](std::size_t n) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    return static_cast<std::size_t>(state >> 33U) % n;
  };
  for (int round = 0; round < 5'000; ++round) {
    std::string text = seed;
    for (std::size_t edits = 1 + next_random(5); edits > 0; --edits) {
      const std::size_t at = next_random(text.size());
      if (next_random(2) == 0) {
        text[at] = static_cast<char>(next_random(256));
      } else {
        text.insert(at, text.substr(next_random(text.size()), next_random(20)));
      }
    }
    std::vector<Diagnostic> errors;
    const auto set = CompileRules(text, CallSchema(), {}, &errors);
    EXPECT_EQ(set.has_value(), errors.empty()) << text;
    if (set) set->Match(SampleCall());
  }
}

}  // namespace
}  // namespace croftrun::expr
