#include "wire/codec.h"

#include <gtest/gtest.h>

#include <random>

#include "wire_bytes.h"

namespace croftrun::wire {
namespace {

// One record of every kind, encoded by hand from the protocol documentation.
const char kDirectory[] = "1a 02000000 01000000  09000000 01 00 0300 01 0000803f 2a00000000000000";
const char kTopology[] = "10 07000000 00 02000000 29000000";
const char kAsk[] =
    "15 03000000 11000000 0100 02000000 0500000000000000 40420f00 e02e0000 00000040 00008040 000080bf 0a";
const char kEnded[] = "18 03000000 11000000 09000000 12000000 0200 44480000 ad01 00 02 0000803f 00000040";
const char kFirst[] = "19 03000000 11000000 09000000 0100 e8030000";
const char kElapsed[] = "11 03000000 4d00000000000000";
const char kEcho[] = "13 03000000 09000000 00000000 c800 02 00004040 0000a040";
const char kGone[] = "16 05000000 192b6f0e";
const char kDetach[] = "17 05000000";
const char kProvision[] = "12 05000000 0807060504030201 03000000 613d62";
const char kHeard[] = "14 05000000 0100 0200 abcd";

Record DecodeOne(const std::string& hex, DirectoryLists* lists, std::uint32_t count = 1) {
  const std::string bytes = Bytes(hex);
  BatchReader reader(bytes, count, lists);
  Record record;
  EXPECT_TRUE(reader.Next(&record));
  Record none;
  EXPECT_FALSE(reader.Next(&none));
  return record;
}

template <typename T>
T DecodeEvent(const std::string& hex) {
  DirectoryLists lists;
  return std::get<T>(std::get<Event>(DecodeOne(hex, &lists).body));
}

TEST(Codec, DecodesBatchHeader) {
  const auto header = DecodeBatchHeader(Bytes("0c000000 5a5c800000000000 46000000 03000000"));
  EXPECT_EQ(header.number, 12U);
  EXPECT_EQ(header.clock_us, 0x805c5aU);
  EXPECT_EQ(header.records_size, 66U);
  EXPECT_EQ(header.record_count, 3U);
}

TEST(Codec, RejectsBatchHeaderOfInvalidSize) {
  EXPECT_THROW(DecodeBatchHeader(Bytes("0c000000 5a5c800000000000 03000000 03000000")), MalformedFrame);
  EXPECT_THROW(DecodeBatchHeader(Bytes("0c000000 5a5c800000000000 ffffffff 03000000")), MalformedFrame);
  EXPECT_THROW(DecodeBatchHeader(Bytes("0c000000 5a5c80")), MalformedFrame);
}

TEST(Codec, DecodesDirectoryAndTopology) {
  DirectoryLists lists;
  const Record record = DecodeOne(std::string(kDirectory) + kTopology, &lists, 2);
  EXPECT_EQ(record.instance, 7U);
  const auto& update = std::get<DirectoryUpdate>(std::get<Event>(record.body));
  EXPECT_EQ(update.kind, DirectoryKind::kFull);
  EXPECT_EQ(update.version, 41U);
  ASSERT_EQ(update.entries.size(), 1U);
  EXPECT_EQ(update.entries[0].exchange, 9U);
  EXPECT_EQ(update.entries[0].zone, 1);
  EXPECT_EQ(update.entries[0].number, 3);
  EXPECT_EQ(update.entries[0].status, ExchangeStatus::kReady);
  EXPECT_EQ(update.entries[0].capacity_rating, 1.0);
  EXPECT_EQ(update.entries[0].started_at_us, 42U);
}

TEST(Codec, DecodesFailedListWithoutDirectory) {
  EXPECT_EQ(DecodeEvent<DirectoryUpdate>("10 07000000 03 0f000000 00000000").kind, DirectoryKind::kFailed);
}

TEST(Codec, RejectsUndefinedList) {
  DirectoryLists lists;
  const std::string bytes = Bytes(kTopology);
  BatchReader reader(bytes, 1, &lists);
  Record record;
  EXPECT_THROW(reader.Next(&record), MalformedFrame);
}

TEST(Codec, DecodesAsk) {
  const auto call = DecodeEvent<CallOffered>(kAsk);
  EXPECT_EQ(call.call, 17U);
  EXPECT_EQ(call.call_class, 1);
  EXPECT_EQ(call.customer, 2);
  EXPECT_EQ(call.number_called, 5U);
  EXPECT_EQ(call.budget_us, 1'000'000U);
  EXPECT_EQ(call.destination, 2);
  EXPECT_EQ(call.width, 4.0);
  EXPECT_EQ(call.via, -1);
  EXPECT_TRUE(call.is_redial);
  EXPECT_TRUE(call.in_transit);
  EXPECT_FALSE(call.was_disconnected);
}

TEST(Codec, DecodesEnded) {
  const auto ended = DecodeEvent<AttemptEnded>(kEnded);
  EXPECT_EQ(ended.call, 17U);
  EXPECT_EQ(ended.exchange, 9U);
  EXPECT_EQ(ended.cause, RejectCause::kCrankbackProcessorFull);
  EXPECT_EQ(ended.attempt, 2);
  EXPECT_EQ(ended.elapsed_us, 18500U);
  EXPECT_EQ(ended.outcome, Outcome::kRejected);
  EXPECT_FALSE(ended.terminal);
  EXPECT_EQ(ended.report, (std::vector<float>{1.0F, 2.0F}));
}

TEST(Codec, DecodesStatedWaitingTime) {
  // 3 + 16 x 250 ms = 4003 = 0x0fa3
  const auto ended = DecodeEvent<AttemptEnded>("18 03000000 11000000 09000000 a30f0000 0000 44480000 ad01 00 00");
  EXPECT_EQ(ended.cause, RejectCause::kProcessorFull);
  EXPECT_EQ(ended.wait_us, 250'000U);
}

TEST(Codec, DecodesOtherEvents) {
  EXPECT_EQ(DecodeEvent<CallEstablished>(kFirst).elapsed_us, 1000U);
  EXPECT_EQ(DecodeEvent<TimerExpired>(kElapsed).token, 0x4dU);
  EXPECT_EQ(DecodeEvent<LoadReportReceived>(kEcho).report, (std::vector<float>{3.0F, 5.0F}));
  EXPECT_EQ(DecodeEvent<CallAbandoned>(kGone).call, 0x0e6f2b19U);
  DirectoryLists lists;
  EXPECT_TRUE(std::holds_alternative<Detach>(DecodeOne(kDetach, &lists).body));
  EXPECT_TRUE(std::holds_alternative<Ignored>(DecodeOne(kHeard, &lists).body));
  const auto provision = std::get<Provision>(DecodeOne(kProvision, &lists).body);
  EXPECT_EQ(provision.seed, 0x0102030405060708U);
  EXPECT_EQ(provision.settings, "a=b");
}

TEST(Codec, RejectsEveryTruncation) {
  for (const char* hex : {kDirectory, kAsk, kEnded, kFirst, kElapsed, kEcho, kGone, kDetach, kProvision, kHeard}) {
    const std::string whole = Bytes(hex);
    for (std::size_t size = 0; size < whole.size(); ++size) {
      DirectoryLists lists;
      const std::string part = whole.substr(0, size);
      BatchReader reader(part, 1, &lists);
      Record record;
      EXPECT_THROW(reader.Next(&record), MalformedFrame) << hex << " cut to " << size;
    }
  }
}

TEST(Codec, RejectsUnknownCodesAndTrailingBytes) {
  for (const char* hex : {"63 05000000", "1b 05000000 1100", "16 05000000 192b6f0e 00",
                          "18 03000000 11000000 09000000 00000000 0000 44480000 0100 01 00"}) {
    DirectoryLists lists;
    const std::string bytes = Bytes(hex);
    BatchReader reader(bytes, 1, &lists);
    Record record;
    EXPECT_THROW(while (reader.Next(&record)){}, MalformedFrame) << hex;
  }
}

TEST(Codec, SurvivesCorruptedRecords) {
  std::mt19937 random(7);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = Bytes(std::string(kDirectory) + kTopology + kAsk + kEnded + kEcho + kProvision);
    bytes.resize(bytes.size() - random() % bytes.size());
    for (int change = 0; change < 3 && !bytes.empty(); ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random() & 0xff);
    }
    DirectoryLists lists;
    BatchReader reader(bytes, 6, &lists);
    Record record;
    int records = 0;
    try {
      while (reader.Next(&record)) ++records;
    } catch (const MalformedFrame& error) {
      EXPECT_NE(std::string(error.what()).find("byte "), std::string::npos);
    }
    EXPECT_LE(records, 6);
  }
}

TEST(Codec, EncodesReply) {
  ReplyWriter writer;
  writer.Add(3, SendSetUp{0x5d3a91c4, 0x03124a07, 80000});
  writer.Add(3, SetTimer{500000, 0x4d});
  writer.Add(5, WriteLog{"two servers known"});
  EXPECT_EQ(writer.Finish(12), Bytes("0c000000 03000000 3a000000"
                                     "15 03000000 c4913a5d 80380100 074a1203"
                                     "17 03000000 20a10700 4d00000000000000"
                                     "1b 05000000 1100 74776f2073657276657273206b6e6f776e"));
  EXPECT_EQ(writer.Finish(1), Bytes("01000000 00000000 00000000"));
}

TEST(Codec, EncodesEveryOtherAction) {
  ReplyWriter writer;
  writer.Add(1, CancelSetUp{2, 3});
  writer.Add(1, SendProbe{4});
  writer.Add(1, RefuseCall{2, 5});
  writer.Add(1, FailCall{2});
  writer.Add(1, FetchDirectory{});
  writer.Add(1, SubscribeDirectory{true});
  writer.AddBailOut(1, "no");
  EXPECT_EQ(writer.Finish(0), Bytes("00000000 07000000 3e000000"
                                    "12 01000000 02000000 0300"
                                    "10 01000000 04000000"
                                    "1a 01000000 02000000 05000000"
                                    "16 01000000 02000000"
                                    "18 01000000"
                                    "19 01000000 01"
                                    "14 01000000 0200 6e6f"));
}

}  // namespace
}  // namespace croftrun::wire
