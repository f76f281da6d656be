// Cost of a flow record on the call path, in the codec and in the spool, compared with memcpy of the same octets in the
// same run.
#include <benchmark/benchmark.h>

#include <cstring>
#include <string>
#include <vector>

#include "flow/decode.h"
#include "flow/encode.h"
#include "flow/record_codec.h"
#include "flow/ring.h"
#include "flow/spool.h"
#include "sim/memory_disk.h"

namespace croftrun::flow {
namespace {

FlowRecord MakeRecord(std::uint64_t call) {
  FlowRecord r;
  r.kind = call % 2 == 0 ? RecordKind::kCall : RecordKind::kAttempt;
  r.call = call;
  r.start_ms = 1'796'000'000'123;
  r.end_ms = 1'796'000'004'456;
  r.destination = 7;
  r.set_up_delay_us = 123'456;
  r.attempts = 2;
  r.attempted_exchanges = {5, 7, 0, 0, 0, 0};
  r.called.Set("2100200017");
  r.calling.Set("aaln/417");
  return r;
}

std::vector<FlowRecord> MakeRecords(std::size_t count) {
  std::vector<FlowRecord> records;
  for (std::size_t i = 0; i < count; ++i) records.push_back(MakeRecord(i));
  return records;
}

EncoderSettings MakeSettings(Protocol protocol) {
  EncoderSettings settings;
  settings.protocol = protocol;
  settings.classes = {"slot-check"};
  return settings;
}

// The messages of `records`, the first of them with the templates.
std::vector<std::string> EncodeMessages(const std::vector<FlowRecord>& records, Protocol protocol) {
  Encoder encoder(MakeSettings(protocol));
  std::vector<std::string> messages;
  encoder.BeginMessage();
  encoder.AddTemplates();
  messages.push_back(encoder.FinishMessage(1, 1));
  encoder.BeginMessage();
  for (const FlowRecord& record : records) {
    if (encoder.AddRecord(record)) continue;
    messages.push_back(encoder.FinishMessage(1, 1));
    encoder.BeginMessage();
    encoder.AddRecord(record);
  }
  messages.push_back(encoder.FinishMessage(1, 1));
  return messages;
}

void Encode(benchmark::State& state, Protocol protocol) {
  const auto records = MakeRecords(1000);
  Encoder encoder(MakeSettings(protocol));
  std::size_t octets = 0;
  for (auto _ : state) {
    encoder.BeginMessage();
    for (const FlowRecord& record : records) {
      if (encoder.AddRecord(record)) continue;
      octets += encoder.FinishMessage(1, 1).size();
      encoder.BeginMessage();
      encoder.AddRecord(record);
    }
    octets += encoder.FinishMessage(1, 1).size();
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * 1000);
  state.SetBytesProcessed(static_cast<std::int64_t>(octets));
}
BENCHMARK_CAPTURE(Encode, ipfix, Protocol::kIpfix);
BENCHMARK_CAPTURE(Encode, netflow9, Protocol::kNetflow9);

// Lower bound for encoding: copies the same octets, message by message.
void Copy(benchmark::State& state) {
  const auto messages = EncodeMessages(MakeRecords(1000), Protocol::kIpfix);
  std::vector<char> to(65'536);
  std::size_t octets = 0;
  for (auto _ : state) {
    for (const std::string& message : messages) {
      std::memcpy(to.data(), message.data(), message.size());
      benchmark::DoNotOptimize(to.data());
      octets += message.size();
    }
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * 1000);
  state.SetBytesProcessed(static_cast<std::int64_t>(octets));
}
BENCHMARK(Copy);

void Decode(benchmark::State& state) {
  const auto messages = EncodeMessages(MakeRecords(1000), Protocol::kIpfix);
  std::uint64_t calls = 0;
  Decoder decoder;
  for (auto _ : state) {
    for (const std::string& message : messages)
      decoder.DecodeMessage(
          message, [&](const DecodedRecord&) { ++calls; }, nullptr);
  }
  benchmark::DoNotOptimize(calls);
  state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * 1000);
}
BENCHMARK(Decode);

// Push by the call path and pop by the exporter.
void RingPushAndPop(benchmark::State& state) {
  Ring ring(16'384);
  const FlowRecord record = MakeRecord(0);
  FlowRecord out;
  for (auto _ : state) {
    benchmark::DoNotOptimize(ring.Push(record));
    benchmark::DoNotOptimize(ring.Pop(&out));
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()));
  state.counters["record_octets"] = sizeof(FlowRecord);
}
BENCHMARK(RingPushAndPop);

// Writes and reads frames without the time of a real disk.
void SpoolWriteAndRead(benchmark::State& state) {
  for (auto _ : state) {
    sim::MemoryDisk disk;
    Spool spool({"spool"}, &disk);
    if (spool.Open()) state.SkipWithError("spool");
    for (std::uint64_t i = 0; i < 100; ++i) spool.Write(0, MakeRecords(Spool::kMaxFrameRecords), 1);
    for (; spool.Front() != nullptr; spool.Pop()) {
    }
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * 100 *
                          static_cast<std::int64_t>(Spool::kMaxFrameRecords));
}
BENCHMARK(SpoolWriteAndRead);

}  // namespace
}  // namespace croftrun::flow
