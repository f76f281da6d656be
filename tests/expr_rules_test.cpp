// Tests of rule files: definitions, tables, the calendar, counters, the index, and the report of unreachable rules.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <bit>
#include <chrono>
#include <set>

#include "expr/counters.h"
#include "expr/expr.h"
#include "expr/rule_state.h"

namespace croftrun::expr {
namespace {

Schema CallSchema() {
  Schema schema;
  schema.enumerations = {{"class", {"slot-check", "slot-hold"}}, {"customer", {"residents", "crew-leads"}}};
  schema.attributes = {{"class", Type::kEnum, "class", 0, false}, {"customer", Type::kEnum, "customer", 0, false},
                       {"called", Type::kString, "", 32, false},  {"width", Type::kInt, "", 0, false},
                       {"line", Type::kInt, "", 0, true},         {"load", Type::kDouble, "", 0, false},
                       {"gateway", Type::kAddress, "", 0, false}, {"e164", Type::kE164, "", 16, false}};
  return schema;
}

Input SampleCall() {
  return {{1, {}, true},          {1, {}, true},           {0, "2100200017", true},
          {1, {}, true},          {7, {}, true},           {std::bit_cast<std::int64_t>(0.5), {}, true},
          {0x0a010203, {}, true}, {0, "+4930123456", true}};
}

RuleSet Compile(const std::string& text) {
  std::vector<Diagnostic> errors;
  auto set = CompileRules(text, CallSchema(), {}, &errors);
  EXPECT_TRUE(set) << ToString(errors);
  return set ? std::move(*set) : RuleSet{};
}

std::string ErrorsOf(const std::string& text) {
  std::vector<Diagnostic> errors;
  EXPECT_FALSE(CompileRules(text, CallSchema(), {}, &errors)) << text;
  return ToString(errors);
}

bool Holds(const std::string& condition, const Input& input = SampleCall()) {
  const RuleSet set = Compile("rule r when " + condition + " then redial;");
  return set.Match(input) == 0;
}

// Returns a time in UTC as Unix time in microseconds.
std::int64_t UtcUs(int year, unsigned month, unsigned day, int hour, int minute) {
  using namespace std::chrono;
  const sys_days date = std::chrono::year(year) / std::chrono::month(month) / std::chrono::day(day);
  return duration_cast<microseconds>((date + hours(hour) + minutes(minute)).time_since_epoch()).count();
}

bool HoldsAt(const std::string& condition, std::int64_t wall_us, const std::string& head = "") {
  const RuleSet set = Compile(head + "rule r when " + condition + " then redial;");
  Input input = SampleCall();
  set.AddDerivedInputs(&input, {0, wall_us}, nullptr);
  return set.Match(input) == 0;
}

TEST(ExprTypes, ComparesNumbersAddressesAndE164Numbers) {
  EXPECT_TRUE(Holds("load > 0.25 and load * 2 == 1 and load + 1 >= 1.5 and -load < 0"));
  EXPECT_TRUE(Holds("load in 0.1 .. 0.9 and load in [0.5, 0.75] and width / 2.0 == 0.5"));
  EXPECT_TRUE(Holds("gateway in 10.1.0.0/16 and gateway in [192.168.0.0/16, 10.1.2.3] and gateway == 10.1.2.3"));
  EXPECT_FALSE(Holds("gateway in [10.1.2.4, 10.1.3.0/24, 10.0.0.0/16]"));
  EXPECT_TRUE(
      Holds("e164 == \"+4930123456\" and e164 starts_with \"+4930\" and e164 in [\"+4930123456\", \"+1\"] and "
            "length(e164) == 11"));
  EXPECT_TRUE(
      Holds("first(called, 3) == \"210\" and last(called, 2) == \"17\" and first(called, 0) == \"\" and last(called, "
            "99) == called"));
  EXPECT_TRUE(
      Holds("hash(called) == hash(called) and hash(called, 1) != hash(called, 2) and bucket(called, 10) in 0 .. 9"));
  EXPECT_NE(ErrorsOf("rule r when gateway == 10.1.0.0/16 then redial;").find("use 'in'"), std::string::npos);
  EXPECT_NE(ErrorsOf("rule r when gateway in 10.1.2.0/16 then redial;").find("ends in zeros"), std::string::npos);
  EXPECT_NE(ErrorsOf("rule r when gateway == 10.1.2.300 then redial;").find("an address like"), std::string::npos);
  EXPECT_NE(ErrorsOf("rule r when e164 == \"030\" then redial;").find("E.164"), std::string::npos);
  EXPECT_NE(ErrorsOf("rule r when gateway < 10.1.2.3 then redial;").find("to order"), std::string::npos);
  EXPECT_NE(ErrorsOf("rule r when bucket(called, width) == 1 then redial;").find("constant above 0"),
            std::string::npos);
}

TEST(ExprDefinitions, ResolvesLetsFunctionsListsAndMaps) {
  const std::string head = R"(
    let top = class == slot-hold and customer == crew-leads;
    fn between(x, low, high) = x >= low and x <= high;
    fn twice(x) = x + x;
    list areas = ["210", "310"];
    map level by called default 0 { "2100200017" -> 3, "1" -> 1 };
    map word by class default "low" { slot-hold -> "high" };
  )";
  const auto holds = [&](const std::string& condition) {
    return Compile(head + "rule r when " + condition + " then redial;").Match(SampleCall()) == 0;
  };
  EXPECT_TRUE(holds("top and between(line default 0, 5, twice(4))"));
  EXPECT_TRUE(holds(
      "first(called, 3) in areas and level[called] == 3 and level[first(called, 1)] == 0 and word[class] == \"high\""));
  EXPECT_FALSE(holds("not top or twice(width) != 2"));
  EXPECT_NE(ErrorsOf("let a = a; rule r when a then redial;").find("found 'a'"), std::string::npos);  // no recursion
  EXPECT_NE(ErrorsOf("fn f(x) = f(x); rule r when f(1) == 1 then redial;").find("expected a function, found 'f'"),
            std::string::npos);
  EXPECT_NE(ErrorsOf("fn f(x) = x; rule r when f(1, 2) == 1 then redial;").find("1 arguments of f, found 2"),
            std::string::npos);
  EXPECT_NE(ErrorsOf("let width = 1;").find("means nothing yet"), std::string::npos);
  EXPECT_NE(ErrorsOf("let bad = width + called;").find("expected a whole number, found a text"), std::string::npos);
  EXPECT_NE(ErrorsOf("map m by called default 0 { \"a\" -> 1, \"a\" -> 2 };").find("each key once"), std::string::npos);
  EXPECT_NE(ErrorsOf("map m by class default 0 { slot-hodl -> 1 };").find("did you mean 'slot-hold'"),
            std::string::npos);
  EXPECT_NE(ErrorsOf("rule r when first(called, 3) in areaz then redial;").find("expected a list"), std::string::npos);
}

TEST(ExprDefinitions, RejectsExponentialExpansion) {
  std::string text = "let x0 = width + 1;";
  for (int i = 1; i < 40; ++i)
    text += "let x" + std::to_string(i) + " = x" + std::to_string(i - 1) + " + x" + std::to_string(i - 1) + ";";
  EXPECT_NE(ErrorsOf(text + "rule r when x39 > 1 then redial;").find("written out"), std::string::npos);
  std::string deep = "let x0 = width + 1;";
  for (int i = 1; i < 2'000; ++i) deep += "let x" + std::to_string(i) + " = x" + std::to_string(i - 1) + " + 1;";
  EXPECT_NE(ErrorsOf(deep + "rule r when x1999 > 1 then redial;").find("expected"), std::string::npos);
}

TEST(ExprCalendar, EvaluatesWeekdayTimeAndDateInTimeZone) {
  const std::int64_t moment = UtcUs(2026, 12, 24, 17, 30);  // a Thursday; 18:30 in Vienna, 23:00 in Kolkata
  EXPECT_TRUE(HoldsAt("weekday == thu and time in 17:00 .. 18:00 and date == 2026-12-24", moment));
  EXPECT_TRUE(HoldsAt("time == 18:30 and weekday in [mon, thu]", moment, "zone \"Europe/Vienna\";"));
  EXPECT_TRUE(
      HoldsAt("time(\"Asia/Kolkata\") == 23:00 and date(\"Asia/Kolkata\") in 2026-12-20 .. 2026-12-24", moment));
  EXPECT_TRUE(HoldsAt("time(\"Asia/Kolkata\") in 22:00 .. 6:00 and weekday(\"Pacific/Auckland\") == fri",
                      moment));  // a range that includes midnight
  EXPECT_FALSE(HoldsAt("time in 22:00 .. 6:00", moment));
  EXPECT_TRUE(HoldsAt("weekday == wed and date == 1969-12-31 and time > 23:59", -1));
  EXPECT_NE(ErrorsOf("zone \"Europe/Veinna\";").find("time zone"), std::string::npos);
  EXPECT_NE(ErrorsOf("zone \"../../etc/passwd\";").find("time zone"), std::string::npos);
  EXPECT_NE(ErrorsOf("rule r when time > 25:00 then redial;").find("a time of day from"), std::string::npos);
  EXPECT_NE(ErrorsOf("rule r when date > 2026-02-30 then redial;").find("a date of the calendar"), std::string::npos);
  EXPECT_NE(ErrorsOf("rule r when time > 5s then redial;").find("expected a time of day, found a duration"),
            std::string::npos);
}

TEST(ExprCalendar, HandlesDaylightSavingTimeTransitions) {
  const auto vienna = TimeZone::Load("Europe/Vienna");
  ASSERT_NE(vienna, nullptr);
  const auto minutes = [&](std::int64_t wall_us) {
    return vienna->LocalValue(CalendarKind::kTime, wall_us) / 60'000'000;
  };
  const std::int64_t spring = UtcUs(2026, 3, 29, 1, 0), autumn = UtcUs(2026, 10, 25, 1, 0);
  EXPECT_EQ(minutes(spring - 1'000'000), 1 * 60 + 59);
  EXPECT_EQ(minutes(spring), 3 * 60);  // 2:00 to 3:00 is skipped
  EXPECT_EQ(minutes(autumn - 1'000'000), 2 * 60 + 59);
  EXPECT_EQ(minutes(autumn), 2 * 60);  // 2:00 to 3:00 is repeated
  EXPECT_EQ(minutes(UtcUs(2026, 10, 25, 2, 0)), 3 * 60);
  EXPECT_EQ(minutes(UtcUs(2090, 7, 1, 10, 0)), 12 * 60);  // the current rule is extrapolated
}

TEST(ExprRules, MatchAllSetsOnlyUnsetEffects) {
  const RuleSet set = Compile(R"(match all;
    rule a when width == 1 then tag "narrow", priority = 3;
    rule b when customer == crew-leads then class = slot-hold, priority = 9, tag "crew", budget = 2s;
    rule c when called starts_with "2" then class = slot-check, key = first(called, 5);
    rule d when line default 0 == 7 then refuse pause 1s;
    rule e when true then redial;)");
  Outcome outcome;
  set.Apply(SampleCall(), &outcome);
  EXPECT_EQ(outcome.rule, 0);
  EXPECT_EQ(outcome.matched, 4U);  // rules after the refusal are not applied
  EXPECT_EQ(outcome.priority, 3);
  EXPECT_EQ(outcome.call_class, 1);
  EXPECT_EQ(outcome.budget_us, 2'000'000);
  EXPECT_TRUE(outcome.key);
  EXPECT_TRUE(outcome.refuse);
  EXPECT_EQ(outcome.retry_after_us, 1'000'000);
  EXPECT_FALSE(outcome.redial);
  ASSERT_EQ(outcome.tag_count, 2U);
  EXPECT_EQ(*outcome.tags[1], "crew");
}

TEST(ExprRules, ReportsSyntaxErrorAfterKey) {
  EXPECT_NE(ErrorsOf("rule a when width == 1 then key = first(called, 5) rule b").find("expected ';'"),
            std::string::npos);
  EXPECT_NE(ErrorsOf("rule a when width == 1 then key = called, budget = 5;").find("a duration"), std::string::npos);
}

TEST(ExprRules, ExpandsTableRowsIntoRules) {
  const RuleSet set = Compile(R"(
    table tops when customer ==, called starts_with, line default 0 in, called matches {
      row crew-leads, "31", *, * => class = slot-hold;
      row *, "21", [1, 2, 7], "17$" => priority = 4, tag "seven";
      row residents, *, 100 .. 200, * => refuse;
      row *, *, *, * => redial;
    }
    rule after when true then redial;)");
  ASSERT_EQ(set.rules.size(), 5U);
  EXPECT_EQ(set.Match(SampleCall()), 1);
  EXPECT_EQ(set.rules[1].name, "tops.2");
  EXPECT_EQ(set.rules[1].line, 4U);
  Input other = SampleCall();
  other[1].number = 0;
  other[4].number = 150;
  EXPECT_EQ(set.Match(other), 2);
  other[4].present = false;
  EXPECT_EQ(set.Match(other), 3);
  EXPECT_NE(
      ErrorsOf("table t when customer == { row crew-laeds => redial; row residents, 1 => redial; }").find("crew-leads"),
      std::string::npos);
  EXPECT_NE(ErrorsOf("table t when customer == { row residents => redial;").find("'}'"), std::string::npos);
}

TEST(ExprRules, ReadsExamples) {
  const RuleSet set = Compile(R"(zone "Europe/Vienna";
    rule evening when time in 18:00 .. 22:00 then class = slot-hold;
    example "supper" given called = "2100", customer = crew-leads, load = 0.5 at 2026-07-01 19:00 expect evening;
    example given line = 5 at 2026-07-01 23:00 expect none;)");
  ASSERT_EQ(set.examples.size(), 2U);
  EXPECT_EQ(set.examples[0].wall_us, UtcUs(2026, 7, 1, 17, 0));
  EXPECT_EQ(set.examples[0].expected_rule, "evening");
  EXPECT_EQ(set.examples[1].expected_rule, "");
  EXPECT_NE(ErrorsOf("example given line = 5 expect nobody;").find("the name of a rule"), std::string::npos);
  EXPECT_NE(ErrorsOf("example given lien = 5 expect none;").find("did you mean 'line'"), std::string::npos);
}

TEST(ExprRules, ReportsUnreachableAndOverlappingRules) {
  const RuleSet set = Compile(R"(
    rule a when called starts_with "21" then class = slot-hold;
    rule b when called starts_with "2100" and width == 1 then class = slot-check;
    rule c when width == 1 and width > 3 then redial;
    rule d when customer in [residents, crew-leads] then redial;
    rule e when customer == residents and width in 1 .. 3 then refuse;
    rule f when width < 5 then refuse;
    rule g when width in [1, 2] and called == "5" then refuse;
    rule h when called == "9" then refuse;
    rule i when false then refuse;)");
  const auto notes = set.FindIssues(false, 1'000);
  std::set<std::size_t> lines;
  for (const Note& note : notes) lines.insert(note.line);
  EXPECT_EQ(lines, (std::set<std::size_t>{3, 4, 6, 8, 10})) << notes.size();
  EXPECT_EQ(set.FindIssues(false, 3).back().text.find("from here on"), 0U);
  std::size_t overlapping = 0;
  for (const Note& note : set.FindIssues(true, 1'000))
    overlapping += note.text.find("may match the same call") != std::string::npos ? 1 : 0;
  EXPECT_GT(overlapping, 2U);
}

// ---- counters ----

constexpr std::uint64_t kSecond = 1'000'000;

TEST(ExprCounters, CountCoversWindowAndAtMostOneEighthMore) {
  rc::check([] {
    CounterTable table(64, 8 * kSecond, 7);
    std::vector<std::uint64_t> times;
    std::uint64_t now = 0;
    for (int i = 0; i < 60; ++i) {
      now += *rc::gen::inRange<std::uint64_t>(0, 2 * kSecond);
      times.push_back(now);
      const std::uint32_t count = table.Count(now, 5);
      const auto since = [&](std::uint64_t span) {
        return static_cast<std::uint32_t>(
            std::count_if(times.begin(), times.end(), [&](std::uint64_t t) { return t + span > now; }));
      };
      RC_ASSERT(count >= since(8 * kSecond));
      RC_ASSERT(count <= since(9 * kSecond));
    }
  });
}

TEST(ExprCounters, FloodOfUniqueKeysDoesNotEvictBusyKey) {
  CounterTable table(1024, 60 * kSecond, 7);
  const std::size_t bytes = table.bytes();
  std::uint64_t now = 0, fake = 1'000'000;
  std::uint32_t busy = 0;
  for (int i = 0; i < 30; ++i) {
    now += kSecond;
    busy = table.Count(now, 42);
    for (int k = 0; k < 20'000; ++k) table.Count(now, ++fake);
  }
  EXPECT_EQ(busy, 30U);  // its entry existed before the flood
  EXPECT_EQ(table.bytes(), bytes);
  EXPECT_GT(table.stats().displaced, 500'000U);
  // A key that first occurs during the flood, five times a second, in a table of the default size.
  CounterTable large(65'536, 60 * kSecond, 7);
  for (int i = 0; i < 100; ++i) {
    now += kSecond / 5;
    for (int k = 0; k < 4'000; ++k) large.Count(now, ++fake);
    if (i >= 50) busy = large.Count(now, 43);
  }
  EXPECT_GE(busy, 45U);
}

TEST(ExprCounters, EstimatesDistinctItems) {
  DistinctTable table(64, 10 * kSecond, 7);
  std::uint32_t seen = 0;
  for (int round = 0; round < 3; ++round) {
    for (std::uint64_t item = 0; item < 20; ++item) seen = table.Count(kSecond, 1, item);
  }
  EXPECT_NEAR(seen, 20, 3);
  EXPECT_EQ(table.Count(kSecond, 2, 5), 1U);
  for (std::uint64_t item = 0; item < 2'000; ++item) seen = table.Count(2 * kSecond, 1, item);
  EXPECT_NEAR(seen, 2'000, 500);
  EXPECT_NEAR(table.Read(12 * kSecond, 1), 2'000, 500);  // from the previous window
  EXPECT_EQ(table.Read(40 * kSecond, 1), 0U);
}

TEST(ExprCounters, CountsCallOnceAndKeepsUnchangedCountersOnReload) {
  const std::string text = R"(
    counter tries by line default 0 over 1min when called starts_with "2" keys 1024;
    counter spread by line default 0 over 1min distinct called;
    rule flood when tries > 5 then refuse pause 2s;
    rule many when spread > 3 and tries > 2 then tag "many";)";
  const RuleSet set = Compile(text);
  RuleState state(set, 1);
  const auto match = [&](Input input, std::uint64_t now) {
    set.AddDerivedInputs(&input, {now, 0}, &state);
    return set.Match(input);
  };
  for (int i = 0; i < 5; ++i) EXPECT_EQ(match(SampleCall(), kSecond), -1);
  EXPECT_EQ(match(SampleCall(), kSecond), 0);
  Input other = SampleCall();
  other[4].number = 8;
  EXPECT_EQ(match(other, kSecond), -1);
  // After a change of the rules, unchanged counters keep their counts and changed counters start at zero.
  const RuleSet same = Compile(text + "rule more when true then redial;");
  state.ReplaceRules(same, 1);
  EXPECT_EQ(match(SampleCall(), kSecond), 0);
  const RuleSet changed = Compile("counter tries by line default 0 over 2min; rule flood when tries > 5 then refuse;");
  state.ReplaceRules(changed, 1);
  Input input = SampleCall();
  changed.AddDerivedInputs(&input, {kSecond, 0}, &state);
  EXPECT_EQ(changed.Match(input), -1);
  EXPECT_EQ(state.ReportCounters().size(), 1U);
  EXPECT_NE(ErrorsOf("counter c by line over 1min;").find("may be absent"), std::string::npos);
  EXPECT_NE(ErrorsOf("counter c by width over 48h;").find("24h"), std::string::npos);
  EXPECT_NE(ErrorsOf("counter c by width over 1min keys 99999999;").find("a number of keys"), std::string::npos);
}

// ---- properties ----

TEST(ExprProperties, IndexAgreesWithSequentialEvaluation) {
  rc::check([] {
    const int count = *rc::gen::inRange(1, 60);
    std::string text = *rc::gen::arbitrary<bool>() ? "match all;" : "";
    std::vector<std::string> conditions;
    const auto atom = [] {
      const std::string n = std::to_string(*rc::gen::inRange(0, 6));
      switch (*rc::gen::inRange(0, 9)) {
        case 0:
          return "width == " + n;
        case 1:
          return "called starts_with \"" + n + "\"";
        case 2:
          return "called == \"" + n + n + "\"";
        case 3:
          return std::string("class == slot-hold");
        case 4:
          return "width in [" + n + ", 2]";
        case 5:
          return "has(line) and line == " + n;
        case 6:
          return "line default 3 in 2 .. " + n;
        case 7:
          return "not (called starts_with \"" + n + "\")";
        default:
          return "called in [\"" + n + "\", \"12\"]";
      }
    };
    for (int i = 0; i < count; ++i) {
      std::string condition = atom();
      for (int more = *rc::gen::inRange(0, 3); more > 0; --more)
        condition = "(" + condition + ")" + (*rc::gen::arbitrary<bool>() ? " and (" : " or (") + atom() + ")";
      conditions.push_back(condition);
      text += "rule r" + std::to_string(i) + " when " + condition + " then tag \"" + std::to_string(i) + "\";\n";
    }
    std::vector<Diagnostic> errors;
    const auto set = CompileRules(text, CallSchema(), {}, &errors);
    RC_ASSERT(set.has_value());
    for (int round = 0; round < 5; ++round) {
      Input input = SampleCall();
      const std::string called = *rc::gen::elementOf(std::vector<std::string>{"", "1", "12", "22", "33", "512", "04"});
      input[0].number = *rc::gen::inRange(0, 2);
      input[2].text = called;
      input[3].number = *rc::gen::inRange(0, 6);
      input[4] = {*rc::gen::inRange(0, 6), {}, *rc::gen::arbitrary<bool>()};
      std::vector<int> expected;
      for (int i = 0; i < count; ++i) {
        const auto alone = CompileExpression(conditions[static_cast<std::size_t>(i)], CallSchema(), {}, &errors);
        if (alone->Test(input)) expected.push_back(i);
      }
      RC_ASSERT(set->Match(input) == (expected.empty() ? -1 : expected[0]));
      Outcome outcome;
      std::uint64_t steps = 0;
      set->Apply(input, &outcome, &steps);
      RC_ASSERT(outcome.matched == (set->match_all ? expected.size() : std::min<std::size_t>(1, expected.size())));
      RC_ASSERT(steps <= set->cost_bound);
    }
  });
}

TEST(ExprProperties, RuleReportedAsUnreachableNeverMatchesFirst) {
  rc::check([] {
    std::string text;
    const int count = *rc::gen::inRange(2, 12);
    for (int i = 0; i < count; ++i) {
      std::string condition = "true";
      for (int more = *rc::gen::inRange(0, 3); more >= 0; --more) {
        const int n = *rc::gen::inRange(0, 5);
        condition += *rc::gen::elementOf(std::vector<std::string>{
            " and width == " + std::to_string(n), " and width >= " + std::to_string(n),
            " and width < " + std::to_string(n),
            " and called starts_with \"" + std::string(static_cast<std::size_t>(n), '1') + "\"",
            " and width in 1 .. " + std::to_string(n), " and width in [0, " + std::to_string(n) + "]",
            " and called != \"1\"", " and " + std::to_string(n) + " > width"});
      }
      text += "rule r" + std::to_string(i) + " when " + condition + " then refuse;\n";
    }
    std::vector<Diagnostic> errors;
    const auto set = CompileRules(text, CallSchema(), {}, &errors);
    RC_ASSERT(set.has_value());
    std::set<std::size_t> unreachable;
    for (const Note& note : set->FindIssues(false, 10'000)) unreachable.insert(note.line);
    for (const char* called : {"", "1", "11", "111", "1111", "2"}) {
      for (int width = -1; width < 7; ++width) {
        Input input = SampleCall();
        input[2].text = called;
        input[3].number = width;
        const int matched = set->Match(input);
        // The macro evaluates both operands of ||, so the condition is tested outside it.
        if (matched >= 0) RC_ASSERT(unreachable.count(set->rules[static_cast<std::size_t>(matched)].line) == 0U);
      }
    }
  });
}

TEST(ExprMachine, RandomVerifiedCodeRunsWithinCostBound) {
  std::uint64_t state = 11;
  const auto next_random = [&state](std::size_t n) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    return static_cast<std::size_t>(state >> 33U) % n;
  };
  const Input input = SampleCall();
  std::size_t verified = 0;
  for (int round = 0; round < 200'000; ++round) {
    std::vector<Instruction> code;
    for (std::size_t i = 1 + next_random(8); i > 0; --i)
      code.push_back({static_cast<Op>(next_random(static_cast<std::size_t>(Op::kJump) + 3)),
                      static_cast<std::uint32_t>(next_random(10)), 1000});
    const Program program = Program::FromInstructions(std::move(code), 3);
    if (!program.Verify(input.size())) continue;
    ++verified;
    std::uint64_t steps = 0;
    program.Run(input, &steps);
    EXPECT_LE(steps, program.cost_bound());
  }
  EXPECT_GT(verified, 100U);
}

}  // namespace
}  // namespace croftrun::expr
