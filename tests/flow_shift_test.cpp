// The report: which attempts count for what, and the picture.
#include <gtest/gtest.h>

#include "flow/shift.h"

namespace croftrun::flow {
namespace {

FlowRecord Attempt(std::uint64_t call, std::int32_t group, std::uint64_t start_ms, bool stood, bool tandem) {
  FlowRecord r;
  r.kind = RecordKind::kAttempt;
  r.call = call;
  r.exchange = 3;
  r.destination = group;
  r.start_ms = start_ms;
  r.end_ms = start_ms + 100;
  r.set_up_us = stood ? 90'000 : 0;
  r.tandem = tandem;
  return r;
}

Shift Of(const std::vector<FlowRecord>& records) {
  Encoder encoder{EncoderSettings{}};
  Decoder decoder;
  Shift shift;
  const auto add = [&](const DecodedRecord& record) { shift.Add(record); };
  encoder.Begin();
  encoder.AddTemplates();
  EXPECT_TRUE(decoder.Message(encoder.Finish(1, 1), add, nullptr));
  for (const FlowRecord& record : records) {
    encoder.Begin();
    EXPECT_TRUE(encoder.Add(record));
    EXPECT_TRUE(decoder.Message(encoder.Finish(1, 1), add, nullptr));
  }
  return shift;
}

constexpr std::uint64_t kStart = 1'796'000'000'000;

TEST(Shift, CountsByGroupBeforeAndAfterAndEachAttemptOnce) {
  FlowRecord again = Attempt(1, 5, kStart, true, false), other_life = Attempt(1, 5, kStart + 4'000, true, false),
             call = again;
  again.replay = Replay::kPossiblyRepeated;
  call.kind = RecordKind::kCall;
  FlowRecord late = Attempt(9, 7, kStart + 5'000, true, true);
  late.replay = Replay::kPossiblyRepeated;  // marked, but it did not come before
  const Shift shift =
      Of({Attempt(1, 5, kStart, true, false), again, call, Attempt(2, 5, kStart + 1'000, false, false), other_life,
          Attempt(3, 7, kStart + 2'999, true, true), Attempt(4, 7, kStart + 3'000, false, true), late});
  EXPECT_EQ(shift.attempts(), 6U);
  EXPECT_EQ(shift.repeated(), 1U);
  EXPECT_EQ(shift.begins(), kStart);
  const auto groups = shift.Groups(kStart + 3'000, 1000);
  ASSERT_EQ(groups.size(), 2U);
  EXPECT_EQ(groups[0].group, 5U);
  EXPECT_EQ(groups[0].exchange, 3U);
  EXPECT_EQ(groups[0].before.direct, 1U);
  EXPECT_EQ(groups[0].before.not_stood, 1U);
  EXPECT_EQ(groups[0].after.direct, 1U);
  EXPECT_EQ(groups[1].before.by_way_of, 1U);
  EXPECT_EQ(groups[1].after.sent(), 2U);
  ASSERT_EQ(groups[1].bins.size(), 6U);
  EXPECT_EQ(groups[1].bins[2].by_way_of, 1U);
  EXPECT_EQ(groups[1].bins[5].by_way_of, 1U);
}

TEST(Shift, ThePictureHasAPanelForEachGroupAndNothingThatIsNoText) {
  const Shift shift = Of({Attempt(1, 5, kStart, true, false), Attempt(2, 7, kStart + 86'400'000, true, true)});
  const std::string svg = shift.Svg({"a <b> & c", 1000, {{kStart + 1000, "lost"}, {kStart - 5, "before"}}});
  EXPECT_NE(svg.find(">3 to 5<"), std::string::npos);
  EXPECT_NE(svg.find(">3 to 7<"), std::string::npos);
  EXPECT_NE(svg.find("a &lt;b> &amp; c"), std::string::npos);
  EXPECT_NE(svg.find(">lost<"), std::string::npos);
  EXPECT_EQ(svg.find(">before<"), std::string::npos);
  EXPECT_LT(svg.size(), 10'000U);  // a day in columns of a second is cut off, not drawn
  EXPECT_NE(Of({}).Svg({"nothing", 1000, {}}).find("</svg>"), std::string::npos);
}

}  // namespace
}  // namespace croftrun::flow
