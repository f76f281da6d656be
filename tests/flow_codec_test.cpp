// IPFIX and NetFlow v9: encoded messages are read back by our decoder and by libfixbuf, an independent implementation.
#include <fixbuf/public.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <thread>

#include "flow/decode.h"
#include "flow/encode.h"
#include "flow/exporter.h"

namespace croftrun::flow {
namespace {

FlowRecord MakeCall(std::uint64_t number) {
  FlowRecord r;
  r.call = number;
  r.start_ms = 1'796'000'000'123;
  r.end_ms = 1'796'000'004'456;
  r.exchange = 3;
  r.origin = 3;
  r.destination = 7;
  r.set_up_delay_us = 123'456;
  r.rules_version = 9;
  r.customer = 2;
  r.call_class = 1;
  r.attempts = 2;
  r.answer = 1;
  r.cause = 16;
  r.attempted_exchanges = {5, 7, 0, 0, 0, 0};
  r.called.Set("2100200017");
  r.calling.Set("aaln/417");
  return r;
}

FlowRecord MakeAttempt(std::uint64_t number) {
  FlowRecord r = MakeCall(number);
  r.kind = RecordKind::kAttempt;
  r.attempts = 1;
  r.tandem = true;
  r.outcome = 4;
  return r;
}

EncoderSettings MakeSettings(Protocol protocol = Protocol::kIpfix) {
  EncoderSettings settings;
  settings.protocol = protocol;
  settings.observation_domain = 3;
  settings.classes = {"slot-check", "slot-hold"};
  return settings;
}

// One message with the templates, then messages with the records and the exporter's counters.
std::vector<std::string> EncodeMessages(Encoder& encoder, const std::vector<FlowRecord>& records) {
  std::vector<std::string> messages;
  encoder.BeginMessage();
  EXPECT_TRUE(encoder.AddTemplates());
  messages.push_back(encoder.FinishMessage(1'796'000'005, 5000));
  encoder.BeginMessage();
  const auto flush = [&] {
    if (!encoder.empty()) messages.push_back(encoder.FinishMessage(1'796'000'005, 5000));
    encoder.BeginMessage();
  };
  for (const FlowRecord& record : records) {
    if (encoder.AddRecord(record)) continue;
    flush();
    EXPECT_TRUE(encoder.AddRecord(record));
  }
  ExportCounts counts;
  counts.exported = records.size();
  counts.ring_full = 5;
  if (!encoder.AddCounts(counts)) {
    flush();
    EXPECT_TRUE(encoder.AddCounts(counts));
  }
  flush();
  return messages;
}

class FlowCodec : public testing::TestWithParam<Protocol> {};

TEST_P(FlowCodec, DecodesEncodedRecords) {
  Encoder encoder(MakeSettings(GetParam()));
  Decoder decoder;
  std::vector<std::uint64_t> calls, attempts;
  std::uint64_t ring_full = 0;
  for (const std::string& message : EncodeMessages(encoder, {MakeCall(1), MakeAttempt(1), MakeCall(2)})) {
    std::string error;
    const bool ok = decoder.DecodeMessage(
        message,
        [&](const DecodedRecord& r) {
          if (r.template_id == kExporterCountsTemplate) ring_full = r.Number(FieldId::kRingFull);
          if (r.template_id == kAttemptTemplate) {
            attempts.push_back(r.Number(FieldId::kCall));
            EXPECT_EQ(r.Number(FieldId::kGroupOut), 7U);
            EXPECT_EQ(r.Number(FieldId::kViaTandem), 1U);
            EXPECT_EQ(r.Number(FieldId::kOutcome), 4U);
          }
          if (r.template_id != kCallTemplate) return;
          calls.push_back(r.Number(FieldId::kCall));
          EXPECT_EQ(r.Number(FieldId::kStart), 1'796'000'000'123U);
          EXPECT_EQ(r.Text(FieldId::kCalled), "2100200017");
          EXPECT_EQ(r.Text(FieldId::kCalling), "aaln/417");
          EXPECT_EQ(r.Text(FieldId::kClass), "slot-hold");
          EXPECT_EQ(r.Number(FieldId::kSetUpDelay), 123'456U);
          EXPECT_EQ(r.Number(FieldId::kRulesVersion), 9U);
          if (GetParam() == Protocol::kIpfix) {
            ASSERT_NE(r.Find(FieldId::kAttemptedExchanges), nullptr);
            EXPECT_EQ(ReadBasicList(r.Find(FieldId::kAttemptedExchanges)->octets), (std::vector<std::uint64_t>{5, 7}));
          }
        },
        &error);
    EXPECT_TRUE(ok) << error;
  }
  EXPECT_EQ(calls, (std::vector<std::uint64_t>{1, 2}));
  EXPECT_EQ(attempts, (std::vector<std::uint64_t>{1}));
  EXPECT_EQ(ring_full, 5U);
  EXPECT_EQ(decoder.counters().lost, 0U);
}

TEST_P(FlowCodec, KeepsMessageSizeLimitAndWrapsSequenceNumber) {
  EncoderSettings settings = MakeSettings(GetParam());
  for (const std::size_t max_octets : {700U, 701U, 702U, 703U, 1400U, 65'000U}) {
    settings.max_message_octets = max_octets;
    Encoder encoder(settings);
    encoder.SetSequenceNumber(0xffff'fff0U);
    Decoder decoder;
    std::vector<FlowRecord> records;
    for (std::uint64_t i = 0; i < 300; ++i) records.push_back(i % 3 == 0 ? MakeAttempt(i) : MakeCall(i));
    std::size_t data = 0;
    for (const std::string& message : EncodeMessages(encoder, records)) {
      EXPECT_LE(message.size(), max_octets);
      std::string error;
      EXPECT_TRUE(decoder.DecodeMessage(
          message, [&](const DecodedRecord& r) { data += r.options ? 0 : 1; }, &error))
          << error;
    }
    EXPECT_EQ(data, 300U);
    EXPECT_EQ(decoder.counters().lost, 0U);
  }
}

TEST_P(FlowCodec, CountsLostMessagesAndRecordsWithoutTemplate) {
  Encoder encoder(MakeSettings(GetParam()));
  std::vector<FlowRecord> records;
  for (std::uint64_t i = 0; i < 100; ++i) records.push_back(MakeCall(i));
  const auto messages = EncodeMessages(encoder, records);
  Decoder decoder;
  std::string error;
  EXPECT_TRUE(decoder.DecodeMessage(messages[1], {}, &error));
  EXPECT_GT(decoder.counters().without_template, 0U);
  EXPECT_TRUE(decoder.DecodeMessage(messages[0], {}, &error));
  EXPECT_TRUE(decoder.DecodeMessage(messages[2], {}, &error));
  EXPECT_TRUE(decoder.DecodeMessage(messages[4], {}, &error));
  EXPECT_GT(decoder.counters().lost, 0U);
  decoder.Reset();
  const auto before = decoder.counters().without_template;
  EXPECT_TRUE(decoder.DecodeMessage(messages[3], {}, &error));
  EXPECT_GT(decoder.counters().without_template, before);
}

INSTANTIATE_TEST_SUITE_P(Protocols, FlowCodec, testing::Values(Protocol::kIpfix, Protocol::kNetflow9),
                         [](const auto& p) { return std::string(p.param == Protocol::kIpfix ? "Ipfix" : "Netflow9"); });

TEST(FlowDecoder, SurvivesMutatedMessages) {
  Encoder encoder(MakeSettings());
  const auto messages = EncodeMessages(encoder, {MakeCall(1), MakeAttempt(1)});
  Encoder v9(MakeSettings(Protocol::kNetflow9));
  const auto v9_messages = EncodeMessages(v9, {MakeCall(1), MakeAttempt(1)});
  rc::check([&] {
    Decoder decoder;
    for (const auto* set : {&messages, &v9_messages}) {
      for (std::string message : *set) {
        for (int edits = *rc::gen::inRange(0, 4); edits > 0; --edits) {
          const auto at = *rc::gen::inRange<std::size_t>(0, message.size());
          message[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        }
        message.resize(*rc::gen::inRange<std::size_t>(0, message.size() + 1));
        decoder.DecodeMessage(
            message, [](const DecodedRecord& r) { ReadBasicList(r.fields.back().octets); }, nullptr);
      }
    }
  });
}

// ---- decoding by libfixbuf ----

struct FixbufCall {
  std::uint64_t call, start, end;
  std::uint32_t exchange, set_up;
  std::uint8_t answer, attempts;
  std::uint8_t padding[6];
  fbVarfield_t called, calling, call_class;
  fbBasicList_t attempted_exchanges;
};

struct FixbufResult {
  std::vector<FixbufCall> calls;
  std::vector<std::string> called, classes;
  std::vector<std::vector<std::uint32_t>> attempted_exchanges;
  std::size_t types = 0, counts = 0, others = 0;
  std::string error;
};

// Reads call records until the end or `max_calls`. `open` creates the buffer to read from, for the given session.
template <typename Open>
FixbufResult ReadWithFixbuf(Open open, std::size_t max_calls = ~std::size_t{0}) {
  FixbufResult result;
  fbInfoModel_t* model = fbInfoModelAlloc();
  std::vector<std::string> names;
  for (const Element& element : EnterpriseElements()) names.emplace_back(element.name);
  std::vector<fbInfoElement_t> elements;
  std::size_t at = 0;
  for (const Element& element : EnterpriseElements()) {
    fbInfoElement_t e =
        FB_IE_INIT_FULL(names[at++].c_str(), kDocumentationEnterprise, element.id, LengthOf(element.type),
                        FB_IE_F_ENDIAN, 0, 0, static_cast<std::uint8_t>(element.type), nullptr);
    elements.push_back(e);
  }
  elements.push_back(FB_IE_NULL);
  fbInfoModelAddElementArray(model, elements.data());
  fbSession_t* session = fbSessionAlloc(model);
  fbInfoElementSpec_t spec[] = {{const_cast<char*>("flowId"), 8, 0},
                                {const_cast<char*>("flowStartMilliseconds"), 8, 0},
                                {const_cast<char*>("flowEndMilliseconds"), 8, 0},
                                {const_cast<char*>("exchange"), 4, 0},
                                {const_cast<char*>("setUpDelayMicroseconds"), 4, 0},
                                {const_cast<char*>("finalAnswer"), 1, 0},
                                {const_cast<char*>("attemptCount"), 1, 0},
                                {const_cast<char*>("paddingOctets"), 6, 1},
                                {const_cast<char*>("calledNumber"), FB_IE_VARLEN, 0},
                                {const_cast<char*>("callingEndpoint"), FB_IE_VARLEN, 0},
                                {const_cast<char*>("callClass"), FB_IE_VARLEN, 0},
                                {const_cast<char*>("basicList"), FB_IE_VARLEN, 0},
                                FB_IESPEC_NULL};
  GError* error = nullptr;
  fbTemplate_t* internal = fbTemplateAlloc(model);
  if (!fbTemplateAppendSpecArray(internal, spec, 0xffffffff, &error) ||
      !fbSessionAddTemplate(session, TRUE, 999, internal, &error)) {
    result.error = error->message;
    return result;
  }
  fBuf_t* buffer = open(session, &error);
  if (buffer == nullptr) {
    result.error = error != nullptr ? error->message : "no connection";
    return result;
  }
  while (result.calls.size() < max_calls) {
    std::uint16_t id = 0;
    fbTemplate_t* record_template = fBufNextCollectionTemplate(buffer, &id, &error);
    if (record_template == nullptr) {
      if (error != nullptr && !g_error_matches(error, FB_ERROR_DOMAIN, FB_ERROR_EOF)) result.error = error->message;
      g_clear_error(&error);
      break;
    }
    FixbufCall call{};
    std::size_t size = sizeof(call);
    if (!fBufSetInternalTemplate(buffer, 999, &error) ||
        !fBufNext(buffer, reinterpret_cast<std::uint8_t*>(&call), &size, &error)) {
      result.error = error->message;
      g_clear_error(&error);
      break;
    }
    const bool is_call = id == kCallTemplate;
    result.types += id == kElementTypesTemplate ? 1 : 0;
    result.counts += id == kExporterCountsTemplate ? 1 : 0;
    result.others += id != kElementTypesTemplate && id != kExporterCountsTemplate && !is_call ? 1 : 0;
    if (is_call) {
      result.calls.push_back(call);
      result.called.emplace_back(reinterpret_cast<const char*>(call.called.buf), call.called.len);
      result.classes.emplace_back(reinterpret_cast<const char*>(call.call_class.buf), call.call_class.len);
      std::vector<std::uint32_t> list;
      for (std::uint16_t i = 0; i < call.attempted_exchanges.numElements; ++i)
        list.push_back(
            *reinterpret_cast<const std::uint32_t*>(fbBasicListGetIndexedDataPtr(&call.attempted_exchanges, i)));
      result.attempted_exchanges.push_back(list);
    }
    fbBasicListClear(&call.attempted_exchanges);
  }
  return result;
}

TEST(FlowFixbuf, ReadsFileWithTemplatesOptionsTextsAndLists) {
  EncoderSettings settings = MakeSettings();
  settings.max_message_octets = 6000;
  Encoder encoder(settings);
  std::vector<FlowRecord> records;
  for (std::uint64_t i = 0; i < 200; ++i) records.push_back(i % 4 == 3 ? MakeAttempt(i) : MakeCall(i));
  const std::string file = testing::TempDir() + "croftrun-flow-codec.ipfix";
  std::FILE* out = std::fopen(file.c_str(), "wb");
  auto messages = EncodeMessages(encoder, records);
  encoder.BeginMessage();
  ASSERT_EQ(encoder.AddElementTypes(0), EnterpriseElements().size());
  messages.push_back(encoder.FinishMessage(1'796'000'006, 6000));
  for (const std::string& message : messages) std::fwrite(message.data(), 1, message.size(), out);
  std::fclose(out);
  std::FILE* stream = std::fopen(file.c_str(), "rb");
  fBuf_t* buffer = nullptr;
  const FixbufResult read = ReadWithFixbuf([&](fbSession_t* session, GError**) {
    return buffer = fBufAllocForCollection(session, fbCollectorAllocFP(nullptr, stream));
  });
  fBufFree(buffer);
  std::fclose(stream);
  std::remove(file.c_str());
  EXPECT_EQ(read.error, "");
  ASSERT_EQ(read.calls.size(), 150U);
  EXPECT_EQ(read.others, 50U);
  EXPECT_EQ(read.counts, 1U);
  EXPECT_EQ(read.types, EnterpriseElements().size());
  EXPECT_EQ(read.calls[1].call, 1U);
  EXPECT_EQ(read.calls[1].start, 1'796'000'000'123U);
  EXPECT_EQ(read.calls[1].exchange, 3U);
  EXPECT_EQ(read.calls[1].set_up, 123'456U);
  EXPECT_EQ(read.calls[1].answer, 1U);
  EXPECT_EQ(read.called[1], "2100200017");
  EXPECT_EQ(read.classes[1], "slot-hold");
  EXPECT_EQ(read.attempted_exchanges[1], (std::vector<std::uint32_t>{5, 7}));
}

// Reads the exporter's live output. The test's thread listens; another thread feeds the records.
class FixbufLive : public testing::TestWithParam<Transport> {};

TEST_P(FixbufLive, ReadsExporterOutput) {
  const bool tcp = GetParam() == Transport::kTcp;
  constexpr std::size_t kCalls = 500;
  const std::string service = tcp ? "24761" : "24762";
  fbConnSpec_t spec{};
  spec.transport = tcp ? FB_TCP : FB_UDP;
  spec.host = const_cast<char*>("127.0.0.1");
  spec.svc = const_cast<char*>(service.c_str());
  Ring ring(16'384);
  std::unique_ptr<Exporter> exporter;
  fbListener_t* listener = nullptr;
  fBuf_t* buffer = nullptr;
  std::atomic<bool> done{false};
  std::jthread feeder;
  const FixbufResult read = ReadWithFixbuf(
      [&](fbSession_t* session, GError** error) -> fBuf_t* {
        listener = fbListenerAlloc(&spec, session, nullptr, nullptr, error);
        if (listener == nullptr) return nullptr;
        feeder = std::jthread([&] {
          ExporterSettings settings;
          settings.exchange = 3;
          settings.classes = {"slot-check", "slot-hold"};
          settings.poll_interval_us = 1000;
          CollectorSettings to;
          to.address = {0x7f000001, static_cast<std::uint16_t>(tcp ? 24761 : 24762)};
          to.transport = GetParam();
          to.connection.min_backoff_us = 10'000;
          settings.collectors = {to};
          exporter = std::make_unique<Exporter>(settings, &ring);
          for (std::uint64_t i = 0; i < kCalls; ++i) {
            ring.Push(MakeCall(i));
            ring.Push(MakeAttempt(i));
            if (i % 100 == 99) std::this_thread::sleep_for(std::chrono::milliseconds(3));
          }
          exporter->Stop();
          // Interrupts a reader that still waits because fewer records arrived than expected.
          for (int i = 0; i < 10'000 && !done; ++i) std::this_thread::sleep_for(std::chrono::milliseconds(1));
          if (!done && buffer != nullptr) fBufInterruptSocket(buffer);
        });
        return buffer = fbListenerWait(listener, error);
      },
      kCalls);
  done = true;
  feeder.join();
  EXPECT_EQ(read.error, "");
  ASSERT_EQ(read.calls.size(), kCalls);
  for (std::uint64_t i = 0; i < kCalls; ++i) EXPECT_EQ(read.calls[i].call, i);
  EXPECT_EQ(read.types, EnterpriseElements().size());
  EXPECT_EQ(read.called[1], "2100200017");
  EXPECT_EQ(read.classes[1], "slot-hold");
  EXPECT_EQ(read.attempted_exchanges[1], (std::vector<std::uint32_t>{5, 7}));
  if (tcp) fBufFree(buffer);
  fbListenerFree(listener);
}

INSTANTIATE_TEST_SUITE_P(Streams, FixbufLive, testing::Values(Transport::kTcp, Transport::kUdp));

}  // namespace
}  // namespace croftrun::flow
