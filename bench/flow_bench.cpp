// What a flow record costs: on the call path, encoded, on disk; beside memcpy of the same octets in the same run.
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

FlowRecord Of(std::uint64_t call) {
  FlowRecord r;
  r.kind = call % 2 == 0 ? RecordKind::kCall : RecordKind::kAttempt;
  r.call = call;
  r.start_ms = 1'796'000'000'123;
  r.end_ms = 1'796'000'004'456;
  r.destination = 7;
  r.set_up_us = 123'456;
  r.attempts = 2;
  r.tried = {5, 7, 0, 0, 0, 0};
  r.called.Set("2100200017");
  r.calling.Set("aaln/417");
  return r;
}

std::vector<FlowRecord> Some(std::size_t count) {
  std::vector<FlowRecord> records;
  for (std::size_t i = 0; i < count; ++i) records.push_back(Of(i));
  return records;
}

EncoderSettings Settings(Protocol protocol) {
  EncoderSettings settings;
  settings.protocol = protocol;
  settings.classes = {"slot-check"};
  return settings;
}

// Messages of 1,000 records.
std::vector<std::string> Messages(const std::vector<FlowRecord>& records, Protocol protocol) {
  Encoder encoder(Settings(protocol));
  std::vector<std::string> messages;
  encoder.Begin();
  encoder.AddTemplates();
  messages.push_back(encoder.Finish(1, 1));
  encoder.Begin();
  for (const FlowRecord& record : records) {
    if (encoder.Add(record)) continue;
    messages.push_back(encoder.Finish(1, 1));
    encoder.Begin();
    encoder.Add(record);
  }
  messages.push_back(encoder.Finish(1, 1));
  return messages;
}

void Encode(benchmark::State& state, Protocol protocol) {
  const auto records = Some(1000);
  Encoder encoder(Settings(protocol));
  std::size_t octets = 0;
  for (auto _ : state) {
    encoder.Begin();
    for (const FlowRecord& record : records) {
      if (encoder.Add(record)) continue;
      octets += encoder.Finish(1, 1).size();
      encoder.Begin();
      encoder.Add(record);
    }
    octets += encoder.Finish(1, 1).size();
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * 1000);
  state.SetBytesProcessed(static_cast<std::int64_t>(octets));
}
BENCHMARK_CAPTURE(Encode, ipfix, Protocol::kIpfix);
BENCHMARK_CAPTURE(Encode, netflow9, Protocol::kNetflow9);

// The limit: the same octets copied, message by message.
void Copy(benchmark::State& state) {
  const auto messages = Messages(Some(1000), Protocol::kIpfix);
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
  const auto messages = Messages(Some(1000), Protocol::kIpfix);
  std::uint64_t calls = 0;
  Decoder decoder;
  for (auto _ : state) {
    for (const std::string& message : messages)
      decoder.Message(
          message, [&](const DecodedRecord&) { ++calls; }, nullptr);
  }
  benchmark::DoNotOptimize(calls);
  state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * 1000);
}
BENCHMARK(Decode);

// What the call path does, and the exporter's half of it.
void RingPushAndPop(benchmark::State& state) {
  Ring ring(16'384);
  const FlowRecord record = Of(0);
  FlowRecord out;
  for (auto _ : state) {
    benchmark::DoNotOptimize(ring.Push(record));
    benchmark::DoNotOptimize(ring.Pop(&out));
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()));
  state.counters["record_octets"] = sizeof(FlowRecord);
}
BENCHMARK(RingPushAndPop);

// Into frames and out again, without the disk's own time.
void SpoolWriteAndRead(benchmark::State& state) {
  for (auto _ : state) {
    sim::MemoryDisk disk;
    Spool spool({"spool"}, &disk);
    if (spool.Open()) state.SkipWithError("spool");
    for (std::uint64_t i = 0; i < 100; ++i) spool.Write(0, Some(Spool::kFrameRecords), 1);
    for (; spool.Front() != nullptr; spool.Pop()) {
    }
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * 100 *
                          static_cast<std::int64_t>(Spool::kFrameRecords));
}
BENCHMARK(SpoolWriteAndRead);

}  // namespace
}  // namespace croftrun::flow
