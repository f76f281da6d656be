// The attempt report: counting by trunk group, and the chart.
#include <gtest/gtest.h>

#include "flow/attempt_report.h"

namespace croftrun::flow {
namespace {

FlowRecord MakeAttempt(std::uint64_t call, std::int32_t group, std::uint64_t start_ms, bool established, bool tandem) {
  FlowRecord r;
  r.kind = RecordKind::kAttempt;
  r.call = call;
  r.exchange = 3;
  r.destination = group;
  r.start_ms = start_ms;
  r.end_ms = start_ms + 100;
  r.set_up_delay_us = established ? 90'000 : 0;
  r.tandem = tandem;
  return r;
}

AttemptReport MakeReport(const std::vector<FlowRecord>& records) {
  Encoder encoder{EncoderSettings{}};
  Decoder decoder;
  AttemptReport report;
  const auto add = [&](const DecodedRecord& record) { report.Add(record); };
  encoder.BeginMessage();
  encoder.AddTemplates();
  EXPECT_TRUE(decoder.DecodeMessage(encoder.FinishMessage(1, 1), add, nullptr));
  for (const FlowRecord& record : records) {
    encoder.BeginMessage();
    EXPECT_TRUE(encoder.AddRecord(record));
    EXPECT_TRUE(decoder.DecodeMessage(encoder.FinishMessage(1, 1), add, nullptr));
  }
  return report;
}

constexpr std::uint64_t kStart = 1'796'000'000'000;

TEST(AttemptReport, CountsEachAttemptOnceByGroupBeforeAndAfterSplit) {
  FlowRecord repeat = MakeAttempt(1, 5, kStart, true, false),
             after_restart = MakeAttempt(1, 5, kStart + 4'000, true, false), call_record = repeat;
  repeat.replay = Replay::kPossiblyRepeated;
  call_record.kind = RecordKind::kCall;
  FlowRecord marked_first = MakeAttempt(9, 7, kStart + 5'000, true, true);
  marked_first.replay = Replay::kPossiblyRepeated;  // marked as possibly repeated, but not seen before
  const AttemptReport report = MakeReport({MakeAttempt(1, 5, kStart, true, false), repeat, call_record,
                                           MakeAttempt(2, 5, kStart + 1'000, false, false), after_restart,
                                           MakeAttempt(3, 7, kStart + 2'999, true, true),
                                           MakeAttempt(4, 7, kStart + 3'000, false, true), marked_first});
  EXPECT_EQ(report.attempts(), 6U);
  EXPECT_EQ(report.repeated(), 1U);
  EXPECT_EQ(report.start_ms(), kStart);
  const auto groups = report.SumByGroup(kStart + 3'000, 1000);
  ASSERT_EQ(groups.size(), 2U);
  EXPECT_EQ(groups[0].group, 5U);
  EXPECT_EQ(groups[0].exchange, 3U);
  EXPECT_EQ(groups[0].before.direct, 1U);
  EXPECT_EQ(groups[0].before.not_established, 1U);
  EXPECT_EQ(groups[0].after.direct, 1U);
  EXPECT_EQ(groups[1].before.via_tandem, 1U);
  EXPECT_EQ(groups[1].after.sent(), 2U);
  ASSERT_EQ(groups[1].bins.size(), 6U);
  EXPECT_EQ(groups[1].bins[2].via_tandem, 1U);
  EXPECT_EQ(groups[1].bins[5].via_tandem, 1U);
}

TEST(AttemptReport, DrawsPanelPerGroupAndEscapesText) {
  const AttemptReport report =
      MakeReport({MakeAttempt(1, 5, kStart, true, false), MakeAttempt(2, 7, kStart + 86'400'000, true, true)});
  const std::string svg = report.RenderSvg({"a <b> & c", 1000, {{kStart + 1000, "lost"}, {kStart - 5, "before"}}});
  EXPECT_NE(svg.find(">3 to 5<"), std::string::npos);
  EXPECT_NE(svg.find(">3 to 7<"), std::string::npos);
  EXPECT_NE(svg.find("a &lt;b> &amp; c"), std::string::npos);
  EXPECT_NE(svg.find(">lost<"), std::string::npos);
  EXPECT_EQ(svg.find(">before<"), std::string::npos);
  EXPECT_LT(svg.size(), 10'000U);  // a day in bins of one second is cut off at the bin limit
  EXPECT_NE(MakeReport({}).RenderSvg({"nothing", 1000, {}}).find("</svg>"), std::string::npos);
}

}  // namespace
}  // namespace croftrun::flow
