// The spool on a disk that fails, and the classes around it: the order of sending, what is written to disk, and what is
// unacknowledged.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "flow/catch_up_scheduler.h"
#include "flow/in_flight.h"
#include "flow/record_codec.h"
#include "flow/spool.h"
#include "sim/memory_disk.h"

namespace croftrun::flow {
namespace {

constexpr std::uint64_t kSecond = 1'000'000;

FlowRecord MakeRecord(RecordKind kind, std::uint64_t call) {
  FlowRecord record;
  record.kind = kind;
  record.call = call;
  record.called.Set("2100200017");
  return record;
}

std::vector<FlowRecord> MakeRecords(RecordKind kind, std::uint64_t from, std::size_t count) {
  std::vector<FlowRecord> records;
  for (std::size_t i = 0; i < count; ++i) records.push_back(MakeRecord(kind, from + i));
  return records;
}

SpoolSettings SmallSettings(std::uint64_t max_octets = 1U << 20U) {
  SpoolSettings settings;
  settings.folder = "spool";
  settings.max_octets = max_octets;
  settings.max_segment_octets = 4096;
  return settings;
}

bool Write(Spool* spool, RecordKind kind, std::uint64_t from, std::size_t count, std::uint64_t now = kSecond) {
  bool ok = true;
  for (std::size_t at = 0; at < count; at += Spool::kMaxFrameRecords)
    ok = spool->Write(RankOf(kind), MakeRecords(kind, from + at, std::min(Spool::kMaxFrameRecords, count - at)), now) &&
         ok;
  return ok;
}

std::vector<FlowRecord> ReadAll(Spool* spool) {
  std::vector<FlowRecord> records;
  for (; spool->Front() != nullptr; spool->Pop()) records.push_back(*spool->Front());
  return records;
}

// ---- serialized records ----

FlowRecord ArbitraryRecord() {
  FlowRecord r;
  r.kind = static_cast<RecordKind>(*rc::gen::inRange(0, 4));
  r.end_reason = static_cast<EndReason>(*rc::gen::inRange(0, 6));
  r.replay = static_cast<Replay>(*rc::gen::inRange(0, 3));
  r.call = *rc::gen::arbitrary<std::uint64_t>();
  r.start_ms = *rc::gen::arbitrary<std::uint64_t>();
  r.end_ms = *rc::gen::arbitrary<std::uint64_t>();
  r.origin = *rc::gen::arbitrary<std::int32_t>();
  r.destination = *rc::gen::arbitrary<std::int32_t>();
  r.group_in = *rc::gen::arbitrary<std::int32_t>();
  r.customer = *rc::gen::arbitrary<std::uint16_t>();
  r.width = *rc::gen::arbitrary<std::uint8_t>();
  r.tandem = *rc::gen::arbitrary<bool>();
  r.in_transit = *rc::gen::arbitrary<bool>();
  if (r.kind == RecordKind::kCall) r.attempted_exchanges[2] = *rc::gen::arbitrary<std::int32_t>();
  if (r.kind == RecordKind::kGroup) r.lost = *rc::gen::arbitrary<std::uint64_t>();
  r.called.Set(*rc::gen::arbitrary<std::string>());
  r.calling.Set(*rc::gen::container<std::string>(90, rc::gen::arbitrary<char>()));
  return r;
}

TEST(RecordCodec, ReadsBackWholeRecordsAndRejectsTruncatedOnes) {
  EXPECT_TRUE(rc::check([] {
    const FlowRecord r = ArbitraryRecord();
    std::string octets;
    AppendRecord(r, &octets);
    FlowRecord read;
    for (std::size_t size = 0; size < octets.size(); ++size) {
      std::string_view part = std::string_view(octets).substr(0, size);
      RC_ASSERT(!TakeRecord(&part, &read));
    }
    std::string_view whole = octets;
    RC_ASSERT(TakeRecord(&whole, &read));
    RC_ASSERT(whole.empty());
    std::string again;
    AppendRecord(read, &again);
    RC_ASSERT(again == octets);
    RC_ASSERT(read.call == r.call);
    RC_ASSERT(read.calling.text() == r.calling.text());
    RC_ASSERT(read.replay == r.replay);
    RC_ASSERT(read.attempted_exchanges == r.attempted_exchanges);
  }));
}

// ---- the spool ----

TEST(Spool, ReadsByRankInOrderAndRemovesReadSegments) {
  sim::MemoryDisk disk;
  Spool spool(SmallSettings(), &disk);
  ASSERT_FALSE(spool.Open());
  EXPECT_TRUE(Write(&spool, RecordKind::kInterval, 0, 100));
  EXPECT_TRUE(Write(&spool, RecordKind::kAttempt, 1000, 300));
  EXPECT_TRUE(Write(&spool, RecordKind::kCall, 2000, 300));
  EXPECT_EQ(spool.size(), 700U);
  const auto records = ReadAll(&spool);
  ASSERT_EQ(records.size(), 700U);
  for (std::size_t i = 0; i < 700; ++i) {
    EXPECT_EQ(records[i].call, i < 300 ? 2000 + i : i < 600 ? 700 + i : i - 600);
    EXPECT_EQ(records[i].replay, Replay::kSpooled);
  }
  EXPECT_EQ(spool.octets(), 0U);
  EXPECT_TRUE(disk.files().empty());
}

TEST(Spool, MarksRepeatsAfterKillButNotAfterShutdown) {
  for (const bool graceful : {true, false}) {
    sim::MemoryDisk disk, left;
    {
      Spool spool(SmallSettings(), &disk);
      ASSERT_FALSE(spool.Open());
      Write(&spool, RecordKind::kCall, 0, 200);
      for (int i = 0; i < 10; ++i) {
        ASSERT_NE(spool.Front(), nullptr);
        spool.Pop();
      }
      left = disk;  // the state that a killed process leaves
      spool.Close();
      if (graceful) left = disk;
    }
    Spool again(SmallSettings(), &left);
    ASSERT_FALSE(again.Open());
    const auto records = ReadAll(&again);
    ASSERT_EQ(records.size(), graceful ? 190U : 200U);
    EXPECT_EQ(records[0].call, graceful ? 10U : 0U);
    EXPECT_EQ(records[0].replay, graceful ? Replay::kSpooled : Replay::kPossiblyRepeated);
    // Only the segment being sent may be repeated.
    EXPECT_EQ(records.back().replay, Replay::kSpooled);
    EXPECT_TRUE(left.files().empty());
  }
}

TEST(Spool, IgnoresTornWriteAtAnyOffset) {
  for (unsigned kept = 0; kept <= 1000; kept += 50) {
    sim::MemoryDisk disk;
    {
      Spool spool(SmallSettings(), &disk);
      ASSERT_FALSE(spool.Open());
      Write(&spool, RecordKind::kCall, 0, 20);
      spool.SyncIfDue(3 * kSecond);  // synced
      Write(&spool, RecordKind::kCall, 20, 20, 3 * kSecond);
      disk.Crash(kept);
    }
    Spool again(SmallSettings(), &disk);
    ASSERT_FALSE(again.Open());
    EXPECT_EQ(again.counters().recovered, kept == 1000 ? 40U : 20U) << kept;
    Write(&again, RecordKind::kCall, 100, 5, 9 * kSecond);
    const auto records = ReadAll(&again);
    ASSERT_EQ(records.size(), again.counters().recovered + 5);
    EXPECT_EQ(records[19].call, 19U);
    EXPECT_EQ(records.back().call, 104U);
    EXPECT_EQ(again.counters().damaged, 0U);
  }
}

TEST(Spool, SkipsAndCountsDamagedFrame) {
  sim::MemoryDisk disk;
  {
    Spool spool(SmallSettings(1U << 22U), &disk);
    SpoolSettings one = SmallSettings();
    ASSERT_FALSE(spool.Open());
    for (std::uint64_t i = 0; i < 6; ++i) Write(&spool, RecordKind::kCall, i * 5, 5);  // six frames of one segment
  }
  ASSERT_EQ(disk.files().size(), 1U);
  const std::string octets = disk.files().begin()->second.octets;
  ASSERT_EQ(ScanSegment(octets).records.size(), 30U);
  EXPECT_EQ(ScanSegment(octets).valid_octets, octets.size());
  const std::size_t frame = octets.size() / 6;
  // Any octet of the third frame may be damaged, including those of the magic number, lengths and checksum.
  for (std::size_t at = 2 * frame; at < 3 * frame; ++at) {
    std::string damaged_octets = octets;
    damaged_octets[at] = static_cast<char>(damaged_octets[at] ^ 0x41);
    const ScannedSegment scanned = ScanSegment(damaged_octets);
    ASSERT_EQ(scanned.records.size(), 25U) << at;
    EXPECT_EQ(scanned.damaged, 5U) << at;
    EXPECT_EQ(scanned.records[10].call, 15U);
  }
  disk.files().begin()->second.octets[2 * frame + 40] ^= 1;
  Spool spool(SmallSettings(), &disk);
  ASSERT_FALSE(spool.Open());
  EXPECT_EQ(ReadAll(&spool).size(), 25U);
  EXPECT_EQ(spool.counters().damaged, 5U);
}

TEST(Spool, DropsOldestOfLeastImportantRankWhenFullAndCounts) {
  sim::MemoryDisk disk;
  Spool spool(SmallSettings(24'000), &disk);
  ASSERT_FALSE(spool.Open());
  EXPECT_TRUE(Write(&spool, RecordKind::kAttempt, 0, 100));
  EXPECT_TRUE(Write(&spool, RecordKind::kCall, 1000, 400));
  EXPECT_TRUE(Write(&spool, RecordKind::kAttempt, 500, 64));  // the spool is full of calls, so these are dropped
  EXPECT_LE(spool.octets(), 24'000U);
  const auto records = ReadAll(&spool);
  std::uint64_t calls = 0;
  for (const FlowRecord& record : records) calls += record.kind == RecordKind::kCall ? 1 : 0;
  EXPECT_EQ(calls, records.size());
  EXPECT_EQ(records.back().call, 1399U);
  EXPECT_EQ(records.size() + spool.counters().dropped_full, 564U);
  EXPECT_GT(calls, 100U);
  EXPECT_LT(calls, 400U);
}

TEST(Spool, RetriesFullDiskLaterAndLeavesRecordsWithCaller) {
  sim::MemoryDisk disk;
  Spool spool(SmallSettings(), &disk);
  ASSERT_FALSE(spool.Open());
  ASSERT_TRUE(Write(&spool, RecordKind::kCall, 0, 10));
  disk.SetCapacity(disk.used() + 100);  // the next write is torn
  EXPECT_FALSE(Write(&spool, RecordKind::kCall, 10, 10));
  EXPECT_EQ(spool.counters().errors, 1U);
  EXPECT_EQ(spool.last_error(), std::errc::no_space_on_device);
  EXPECT_FALSE(spool.IsWritable(kSecond + 1));
  EXPECT_FALSE(Write(&spool, RecordKind::kCall, 10, 10, 2 * kSecond));
  EXPECT_EQ(spool.counters().errors, 1U);  // no write was attempted
  disk.SetCapacity(1U << 20U);
  EXPECT_TRUE(Write(&spool, RecordKind::kCall, 10, 10, 7 * kSecond));
  const auto records = ReadAll(&spool);
  ASSERT_EQ(records.size(), 20U);
  for (std::size_t i = 0; i < 20; ++i) EXPECT_EQ(records[i].call, i);
  EXPECT_EQ(spool.counters().damaged, 0U);
}

TEST(Spool, KeepsSyncedRecordsAcrossCrashes) {
  EXPECT_TRUE(rc::check([] {
    sim::MemoryDisk disk;
    std::set<std::uint64_t> synced, unsynced, read, unmarked;
    std::uint64_t next = 0, now = kSecond;
    for (int run = *rc::gen::inRange(1, 5); run > 0; --run) {
      Spool spool(SmallSettings(1U << 24U), &disk);
      RC_ASSERT(!spool.Open());
      for (int step = *rc::gen::inRange(0, 40); step > 0; --step) {
        now += kSecond;
        switch (*rc::gen::inRange(0, 4)) {
          case 0:
          case 1: {
            const auto count = static_cast<std::size_t>(*rc::gen::inRange(1, 65));
            RC_ASSERT(spool.Write(0, MakeRecords(RecordKind::kCall, next, count), now));
            for (std::size_t i = 0; i < count; ++i) unsynced.insert(next++);
            break;
          }
          case 2:
            spool.SyncIfDue(now + kSecond);
            synced.merge(unsynced);
            break;
          default:
            for (int i = *rc::gen::inRange(0, 90); i > 0 && spool.Front() != nullptr; --i) {
              // A record may only be read again if it is marked as possibly repeated.
              const FlowRecord& record = *spool.Front();
              const bool fresh = read.insert(record.call).second;
              RC_ASSERT(fresh || record.replay == Replay::kPossiblyRepeated);
              spool.Pop();
            }
        }
      }
      if (*rc::gen::arbitrary<bool>()) {
        spool.Close();
        synced.merge(unsynced);
      } else {
        const sim::MemoryDisk left = disk;
        spool.Close();
        disk = left;
        disk.Crash(static_cast<unsigned>(*rc::gen::inRange(0, 1001)));
      }
      unsynced.clear();
    }
    Spool last(SmallSettings(1U << 24U), &disk);
    RC_ASSERT(!last.Open());
    for (const FlowRecord& record : ReadAll(&last)) read.insert(record.call);
    for (const std::uint64_t call : synced) RC_ASSERT(read.count(call) == 1);
  }));
}

// ---- catch-up and acknowledgements ----

TEST(CatchUpScheduler, SendsLiveFirstAndSpoolWithinShareAndBudget) {
  CatchUpScheduler catch_up({1000, kSecond});
  using Next = CatchUpScheduler::Next;
  std::uint64_t now = kSecond;
  EXPECT_EQ(catch_up.ChooseNext(false, false, now), Next::kNothing);
  EXPECT_EQ(catch_up.ChooseNext(true, false, now), Next::kLive);
  int spool = 0;
  for (int i = 0; i < 400; ++i) {
    now += 10'000;
    if (catch_up.ChooseNext(true, true, now) != Next::kSpool) continue;
    ++spool;
    catch_up.OnSpoolSent(10);
  }
  EXPECT_EQ(spool, 100);
  // Without live records, spooled ones are limited to the budget of 1,000 records per second.
  std::uint64_t sent = 0;
  const std::uint64_t from = now;
  while (now < from + 10 * kSecond) {
    if (catch_up.ChooseNext(false, true, now) == Next::kSpool) {
      catch_up.OnSpoolSent(25);
      sent += 25;
    } else {
      const std::uint64_t next = catch_up.NextSpoolSendAt(now);
      ASSERT_GT(next, now);
      now = next;
    }
  }
  EXPECT_GE(sent, 9'900U);
  EXPECT_LE(sent, 10'150U);
}

TEST(CatchUpScheduler, SpillsToDiskBeforeDropping) {
  const CatchUpScheduler catch_up({1000, kSecond});
  EXPECT_EQ(catch_up.RecordsToSpill(true, 0, 700, 1000), 0U);
  EXPECT_EQ(catch_up.RecordsToSpill(true, 0, 750, 1000), 250U);
  EXPECT_EQ(catch_up.RecordsToSpill(false, 10, 400, 1000), 0U);  // a short interruption does not cause a write
  EXPECT_EQ(catch_up.RecordsToSpill(false, 10, 500, 1000), 500U);
  EXPECT_EQ(catch_up.RecordsToSpill(false, kSecond, 3, 1000), 3U);
}

TEST(InFlight, ReturnsOnlyUnacknowledgedMessages) {
  EXPECT_TRUE(rc::check([] {
    InFlight in_flight;
    std::vector<std::size_t> sizes;
    const auto count = static_cast<std::size_t>(*rc::gen::inRange(0, 30));
    std::size_t total = 0;
    for (std::size_t i = 0; i < count; ++i) {
      sizes.push_back(static_cast<std::size_t>(*rc::gen::inRange(1, 1400)));
      total += sizes.back();
      in_flight.AddSent(sizes.back(), {MakeRecord(RecordKind::kCall, i)});
    }
    const auto queued = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(total) + 2));
    in_flight.SetUnacknowledged(queued);
    // The fewest whole messages at the end that cover the unacknowledged octets.
    std::size_t covered = 0, expected = 0;
    while (expected < count && covered < queued) covered += sizes[count - ++expected];
    const auto unacknowledged = in_flight.TakeUnacknowledged();
    RC_ASSERT(unacknowledged.size() == expected);
    for (std::size_t i = 0; i < expected; ++i) RC_ASSERT(unacknowledged[i].call == count - expected + i);
    RC_ASSERT(in_flight.messages() == 0U);
  }));
}

}  // namespace
}  // namespace croftrun::flow
