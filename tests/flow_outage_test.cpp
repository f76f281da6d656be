// Collectors that are away, restart, or show certificates that are no good: over sockets, with the spool and TLS.
#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <set>
#include <thread>

#include "flow/exporter.h"
#include "lab/collector.h"
#include "runtime/posix_disk.h"
#include "sim/memory_disk.h"
#include "test_keys.h"

namespace croftrun::flow {
namespace {

using lab::Collector;
using testing_keys::Authority;

constexpr std::uint16_t kPort = 24'749;
const core::Address kCollector{0x7f000001, kPort};

FlowRecord Of(std::uint64_t call) {
  FlowRecord record;
  record.kind = call % 2 == 0 ? RecordKind::kCall : RecordKind::kAttempt;
  record.call = call;
  record.destination = 2;
  return record;
}

void Feed(Ring* ring, std::uint64_t from, std::uint64_t records) {
  for (std::uint64_t i = 0; i < records; ++i) {
    ring->Push(Of(from + i));
    if (i % 500 == 499) std::this_thread::sleep_for(std::chrono::milliseconds(3));
  }
}

template <typename Done>
bool WaitFor(Done done) {
  for (int i = 0; i < 10'000 && !done(); ++i) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  return done();
}

class FlowOutage : public testing::Test {
 protected:
  FlowOutage() {
    folder_ = std::filesystem::temp_directory_path() / ("croftrun-flow-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
  }
  ~FlowOutage() override { std::filesystem::remove_all(folder_); }

  ExporterSettings To(Transport transport, bool spool) const {
    ExporterSettings settings;
    settings.exchange = 3;
    settings.poll_us = 1'000;
    settings.counts_us = 50'000;
    settings.group_us = 3'600'000'000;
    settings.keys_us = 20'000;
    CollectorSettings collector;
    collector.address = kCollector;
    collector.transport = transport;
    collector.link.least_wait_us = 10'000;
    collector.link.longest_wait_us = 50'000;
    collector.link.prove_us = 5'000;
    if (spool) {
      collector.spool.emplace();
      collector.spool->folder = folder_ / "spool";
      collector.spool->segment_octets = 64 * 1024;
      collector.catch_up.away_us = 20'000;
      collector.catch_up.records_per_s = 200'000;
    }
    settings.collectors.push_back(collector);
    return settings;
  }
  // Which records came, and how often one came again without a mark. Of the collector's thread until it is stopped.
  void Note(Collector* collector) {
    collector->OnRecord([this](const DecodedRecord& record) {
      if (record.template_id != kCallTemplate && record.template_id != kAttemptTemplate) return;
      const bool marked = record.Number(Source::kReplay) == static_cast<std::uint64_t>(Replay::kPossiblyRepeated);
      if (!heard_.insert(record.Number(Source::kCall)).second && !marked) ++unmarked_;
      order_.push_back(record.Number(Source::kCall));
    });
  }
  static void ExpectBalance(const CollectorFigures& f) {
    EXPECT_EQ(f.taken + f.recovered,
              f.sent + f.queue_full + f.send_failed + f.spool_full + f.spool_damaged + f.waiting + f.spooled);
  }

  std::filesystem::path folder_;
  runtime::PosixDisk disk_;
  std::set<std::uint64_t> heard_;
  std::vector<std::uint64_t> order_;
  std::uint64_t unmarked_ = 0;
};

TEST_F(FlowOutage, WithASpoolNothingOfAnOutageIsLostAndTheNewsComesBeforeTheOld) {
  Ring ring(16'384);
  ExporterSettings settings = To(Transport::kTcp, true);
  settings.collectors[0].queue = 1024;  // the disk holds the rest
  settings.collectors[0].catch_up.records_per_s = 20'000;
  Exporter exporter(settings, &ring, &disk_);
  Feed(&ring, 0, 20'000);
  ASSERT_TRUE(WaitFor([&] { return exporter.Figures()[0].spooled == 20'000; }));
  Collector collector(kCollector);
  Note(&collector);
  collector.StartTcp(Collector::Mode::kRead);
  ASSERT_TRUE(WaitFor([&] { return collector.calls > 0; }));
  Feed(&ring, 20'000, 100);
  ASSERT_TRUE(WaitFor([&] { return collector.calls + collector.attempts >= 20'100; }));
  exporter.Stop();
  collector.Stop();
  const CollectorFigures figures = exporter.Figures()[0];
  EXPECT_EQ(heard_.size(), 20'100U);
  EXPECT_EQ(order_.size(), 20'100U);
  EXPECT_EQ(figures.sent, figures.taken);
  EXPECT_EQ(collector.spooled, 20'000U);
  EXPECT_EQ(figures.queue_full + figures.spool_full + figures.spool_damaged, 0U);
  ExpectBalance(figures);
  const auto news = std::find(order_.begin(), order_.end(), 20'098U);
  EXPECT_LT(news - order_.begin(), 15'000);
}

TEST_F(FlowOutage, WhatASoftswitchStopsWithIsSentByTheNext) {
  {
    Ring ring(16'384);
    Exporter exporter(To(Transport::kTcp, true), &ring, &disk_);
    Feed(&ring, 0, 3'000);
    exporter.Stop();
    const CollectorFigures figures = exporter.Figures()[0];
    EXPECT_EQ(figures.spooled, 3'001U);  // with the sums of the one group
    ExpectBalance(figures);
  }
  Collector collector(kCollector);
  Note(&collector);
  collector.StartTcp(Collector::Mode::kRead);
  Ring ring(16'384);
  Exporter exporter(To(Transport::kTcp, true), &ring, &disk_);
  EXPECT_TRUE(WaitFor([&] { return collector.calls + collector.attempts == 3'000; }));
  exporter.Stop();
  collector.Stop();
  EXPECT_EQ(heard_.size(), 3'000U);
  EXPECT_EQ(collector.possibly_repeated, 0U);
  EXPECT_EQ(exporter.Figures()[0].recovered, 3'001U);
  ExpectBalance(exporter.Figures()[0]);
}

TEST_F(FlowOutage, ACollectorThatRestartsAmidTheStreamMissesNothingItsMachineDidNotHave) {
  for (const Transport transport : {Transport::kTcp, Transport::kUdp}) {
    heard_.clear();
    order_.clear();
    unmarked_ = 0;
    Ring ring(16'384);
    Exporter exporter(To(transport, false), &ring);
    Collector collector(kCollector);
    Note(&collector);
    const auto start = [&] {
      transport == Transport::kTcp ? collector.StartTcp(Collector::Mode::kRead) : collector.StartUdp();
    };
    start();
    std::uint64_t next = 0;
    for (int round = 0; round < 4; ++round) {
      Feed(&ring, next, 2'000);
      next += 2'000;
      ASSERT_TRUE(WaitFor([&] { return collector.calls + collector.attempts >= next; }));
      collector.Stop();
      ASSERT_TRUE(transport == Transport::kUdp || WaitFor([&] { return !exporter.Figures()[0].up; }));
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      start();
    }
    Feed(&ring, next, 2'000);
    ASSERT_TRUE(WaitFor([&] { return collector.calls + collector.attempts >= next + 2'000; }));
    exporter.Stop();
    collector.Stop();
    const CollectorFigures figures = exporter.Figures()[0];
    EXPECT_EQ(heard_.size(), next + 2'000);
    EXPECT_EQ(unmarked_, 0U);
    EXPECT_LE(order_.size() - heard_.size(), collector.possibly_repeated);
    ExpectBalance(figures);
  }
}

TEST_F(FlowOutage, ADiskThatFailsCostsNoMoreThanHavingNone) {
  sim::MemoryDisk disk;
  disk.SetRoom(100'000);
  Ring ring(16'384);
  ExporterSettings settings = To(Transport::kTcp, true);
  settings.collectors[0].queue = 1024;
  Exporter exporter(settings, &ring, &disk);
  Feed(&ring, 0, 10'000);
  ASSERT_TRUE(WaitFor([&] { return exporter.Figures()[0].queue_full > 5'000; }));
  exporter.Stop();
  const CollectorFigures figures = exporter.Figures()[0];
  EXPECT_GT(figures.spooled, 100U);
  EXPECT_GT(figures.spool_errors, 0U);
  EXPECT_EQ(figures.spool_error, "No space left on device");
  ExpectBalance(figures);
  EXPECT_EQ(ring.dropped(), 0U);
}

TEST_F(FlowOutage, LostDatagramsAreSeenBySequenceAndATemplateThatWasLostIsToldAgain) {
  Collector collector(kCollector);
  Note(&collector);
  collector.LoseOneIn(5);
  collector.StartUdp();
  Ring ring(16'384);
  ExporterSettings settings = To(Transport::kUdp, false);
  settings.collectors[0].template_refresh_us = 5'000;
  Exporter exporter(settings, &ring);
  Feed(&ring, 0, 4'000);
  exporter.Stop();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  collector.Stop();
  EXPECT_GT(collector.lost_datagrams, 10U);
  EXPECT_GT(collector.decoder().counters().lost, 0U);
  EXPECT_GT(heard_.size(), 2'000U);
  EXPECT_LT(heard_.size(), 4'000U);
  EXPECT_EQ(exporter.Figures()[0].sent, exporter.Figures()[0].taken);
}

TEST_F(FlowOutage, SampledAttemptsAreWholeCallsAndWhatWasLeftOutIsTold) {
  Collector collector(kCollector);
  std::uint64_t observed = 0, selected = 0;
  collector.OnRecord([&](const DecodedRecord& record) {
    if (record.template_id != kSamplesTemplate) return;
    observed = record.Number(Source::kObserved);
    selected = record.Number(Source::kSelected);
    EXPECT_EQ(record.Number(Source::kSelector), 6U);
  });
  collector.StartTcp(Collector::Mode::kRead);
  Ring ring(16'384);
  ExporterSettings settings = To(Transport::kTcp, false);
  settings.sample = 10;
  settings.group_us = 3'600'000'000;
  Exporter exporter(settings, &ring);
  Feed(&ring, 0, 10'000);
  exporter.Stop();
  WaitFor([&] { return collector.groups > 0; });
  collector.Stop();
  EXPECT_EQ(collector.calls, 5'000U);
  EXPECT_EQ(observed, 5'000U);
  EXPECT_EQ(selected, collector.attempts);
  EXPECT_GT(selected, 400U);
  EXPECT_LT(selected, 600U);
  EXPECT_EQ(collector.groups, 1U);  // the sums are of all
}

// ---- TLS ----

class FlowTls : public FlowOutage {
 protected:
  FlowTls() : authority_(folder_, "authority") {
    authority_.Leaf("collector", "IP:127.0.0.1", -10, 3600);
    authority_.Leaf("edge", "DNS:edge", -10, 3600);
  }
  ExporterSettings Tls() const {
    ExporterSettings settings = To(Transport::kTls, false);
    settings.collectors[0].tls = {authority_.file(), authority_.Certificate("edge"), authority_.Key("edge"), ""};
    settings.stop_us = 300'000;
    return settings;
  }
  void Start(Collector* collector, const std::string& name, bool ask = false) {
    Note(collector);
    collector->UseTls(authority_.Certificate(name), authority_.Key(name), ask ? authority_.file() : "");
    collector->StartTcp(Collector::Mode::kRead);
  }
  // What the operator is told of a collector that shows this certificate; it gets nothing.
  std::string RefusalOf(const std::string& name, ExporterSettings settings, bool ask = false) {
    settings.collectors[0].link.prove_us = 1'000'000;
    Collector collector(kCollector);
    Start(&collector, name, ask);
    Ring ring(16'384);
    Exporter exporter(settings, &ring);
    Feed(&ring, 0, 100);
    WaitFor([&] { return exporter.Figures()[0].failures >= 2; });
    exporter.Stop();
    collector.Stop();
    EXPECT_EQ(heard_.size(), 0U);
    EXPECT_EQ(exporter.Figures()[0].sent, 0U);
    ExpectBalance(exporter.Figures()[0]);
    return exporter.Figures()[0].last_error;
  }

  Authority authority_;
};

TEST_F(FlowTls, BothSidesAreCheckedAndAllArrives) {
  Collector collector(kCollector);
  Start(&collector, "collector", true);
  Ring ring(16'384);
  ExporterSettings settings = Tls();
  settings.stop_us = 5'000'000;
  Exporter exporter(settings, &ring);
  Feed(&ring, 0, 10'000);
  exporter.Stop();
  WaitFor([&] { return collector.calls + collector.attempts == 10'000; });
  collector.Stop();
  EXPECT_EQ(heard_.size(), 10'000U);
  EXPECT_EQ(exporter.Figures()[0].sent, exporter.Figures()[0].taken);
  EXPECT_EQ(exporter.Figures()[0].last_error, "");
}

TEST_F(FlowTls, ACertificateThatIsNoGoodIsRefusedAndTheReasonSaid) {
  authority_.Leaf("expired", "IP:127.0.0.1", -100, -10);
  EXPECT_EQ(RefusalOf("expired", Tls()), "not reached: TLS: the collector's certificate: certificate has expired");
  authority_.Leaf("other", "IP:127.0.0.2", -10, 3600);
  EXPECT_EQ(RefusalOf("other", Tls()), "not reached: TLS: the collector's certificate: IP address mismatch");
  ExporterSettings named = Tls();
  named.collectors[0].tls.name = "flows.example";
  EXPECT_EQ(RefusalOf("collector", named), "not reached: TLS: the collector's certificate: hostname mismatch");
  const Authority stranger(folder_, "stranger");
  ExporterSettings strange = Tls();
  strange.collectors[0].tls.authorities = stranger.file();
  EXPECT_EQ(RefusalOf("collector", strange),
            "not reached: TLS: the collector's certificate: unable to get local issuer certificate");
}

TEST_F(FlowTls, FilesAtFaultAreNamed) {
  ExporterSettings settings = Tls();
  settings.collectors[0].tls.certificate = folder_ / "missing.crt";
  EXPECT_NE(RefusalOf("collector", settings).find("certificate " + (folder_ / "missing.crt").string()),
            std::string::npos);
  settings = Tls();
  settings.collectors[0].tls.key = authority_.Key("collector");
  EXPECT_NE(RefusalOf("collector", settings).find("key " + authority_.Key("collector")), std::string::npos);
  settings = Tls();
  authority_.Leaf("ended", "DNS:edge", -100, -10);
  settings.collectors[0].tls.certificate = authority_.Certificate("ended");
  settings.collectors[0].tls.key = authority_.Key("ended");
  EXPECT_EQ(RefusalOf("collector", settings),
            "not reached: certificate " + authority_.Certificate("ended") + ": has expired");
  // A collector that asks for a certificate and is shown none ends the connection.
  settings = Tls();
  settings.collectors[0].tls.certificate = settings.collectors[0].tls.key = "";
  const std::string told = RefusalOf("collector", settings, true);
  EXPECT_NE(told.find("certificate required"), std::string::npos) << told;
}

TEST_F(FlowTls, KeysThatAreReplacedInServiceAreTakenUpWithoutALoss) {
  Collector collector(kCollector);
  Start(&collector, "collector", true);
  Ring ring(16'384);
  ExporterSettings settings = Tls();
  settings.stop_us = 5'000'000;
  Exporter exporter(settings, &ring);
  for (std::uint64_t round = 0; round < 4; ++round) {
    const std::uint64_t before = collector.connections;
    Feed(&ring, round * 1'000, 1'000);
    authority_.Leaf("edge", "DNS:edge", -10, 3600);
    ASSERT_TRUE(WaitFor([&] { return collector.connections > before; }));
  }
  exporter.Stop();
  WaitFor([&] { return collector.calls + collector.attempts == 4'000; });
  collector.Stop();
  EXPECT_EQ(heard_.size(), 4'000U);
  EXPECT_EQ(unmarked_, 0U);
  ExpectBalance(exporter.Figures()[0]);
}

TEST_F(FlowTls, ACertificateThatEndsInServiceIsTrustedNoLonger) {
  authority_.Leaf("short", "IP:127.0.0.1", -10, 2);
  Collector collector(kCollector);
  Start(&collector, "short");
  Ring ring(16'384);
  ExporterSettings settings = Tls();
  settings.stop_us = 100'000;
  Exporter exporter(settings, &ring);
  Feed(&ring, 0, 1'000);
  ASSERT_TRUE(WaitFor([&] { return collector.calls + collector.attempts == 1'000; }));
  ASSERT_TRUE(WaitFor([&] { return exporter.Figures()[0].failures > 0; }));
  EXPECT_NE(exporter.Figures()[0].last_error.find("certificate has expired"), std::string::npos)
      << exporter.Figures()[0].last_error;
  Feed(&ring, 1'000, 1'000);
  exporter.Stop();
  collector.Stop();
  EXPECT_EQ(heard_.size(), 1'000U);
  EXPECT_GE(exporter.Figures()[0].waiting, 1'000U);
  ExpectBalance(exporter.Figures()[0]);
}

}  // namespace
}  // namespace croftrun::flow
