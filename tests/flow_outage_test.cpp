// Collectors that are away, restart, or present bad certificates: over sockets, with the spool and TLS.
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

FlowRecord MakeRecord(std::uint64_t call) {
  FlowRecord record;
  record.kind = call % 2 == 0 ? RecordKind::kCall : RecordKind::kAttempt;
  record.call = call;
  record.destination = 2;
  return record;
}

void PushRecords(Ring* ring, std::uint64_t from, std::uint64_t records) {
  for (std::uint64_t i = 0; i < records; ++i) {
    ring->Push(MakeRecord(from + i));
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

  ExporterSettings MakeSettings(Transport transport, bool spool) const {
    ExporterSettings settings;
    settings.exchange = 3;
    settings.poll_interval_us = 1'000;
    settings.counts_interval_us = 50'000;
    settings.group_interval_us = 3'600'000'000;
    settings.certificate_check_interval_us = 20'000;
    CollectorSettings collector;
    collector.address = kCollector;
    collector.transport = transport;
    collector.connection.min_backoff_us = 10'000;
    collector.connection.max_backoff_us = 50'000;
    collector.connection.confirm_time_us = 5'000;
    if (spool) {
      collector.spool.emplace();
      collector.spool->folder = folder_ / "spool";
      collector.spool->max_segment_octets = 64 * 1024;
      collector.catch_up.away_timeout_us = 20'000;
      collector.catch_up.records_per_s = 200'000;
    }
    settings.collectors.push_back(collector);
    return settings;
  }
  // Records which calls and attempts arrive, and counts repeats that are not marked as such. The results belong to the
  // collector's thread until it is stopped.
  void TrackReceived(Collector* collector) {
    collector->OnRecord([this](const DecodedRecord& record) {
      if (record.template_id != kCallTemplate && record.template_id != kAttemptTemplate) return;
      const bool marked = record.Number(FieldId::kReplay) == static_cast<std::uint64_t>(Replay::kPossiblyRepeated);
      if (!received_.insert(record.Number(FieldId::kCall)).second && !marked) ++unmarked_repeats_;
      received_order_.push_back(record.Number(FieldId::kCall));
    });
  }
  static void ExpectAllAccountedFor(const CollectorMetrics& metrics) {
    EXPECT_EQ(metrics.taken + metrics.recovered, metrics.sent + metrics.queue_full + metrics.send_failed +
                                                     metrics.spool_full + metrics.spool_damaged + metrics.waiting +
                                                     metrics.spooled);
  }

  std::filesystem::path folder_;
  runtime::PosixDisk disk_;
  std::set<std::uint64_t> received_;
  std::vector<std::uint64_t> received_order_;
  std::uint64_t unmarked_repeats_ = 0;
};

TEST_F(FlowOutage, SpoolKeepsAllRecordsOfOutageAndLiveRecordsGoFirst) {
  Ring ring(16'384);
  ExporterSettings settings = MakeSettings(Transport::kTcp, true);
  settings.collectors[0].max_queued_records = 1024;  // the spool holds the rest
  settings.collectors[0].catch_up.records_per_s = 20'000;
  Exporter exporter(settings, &ring, &disk_);
  PushRecords(&ring, 0, 20'000);
  ASSERT_TRUE(WaitFor([&] { return exporter.Metrics()[0].spooled == 20'000; }));
  Collector collector(kCollector);
  TrackReceived(&collector);
  collector.StartTcp(Collector::Mode::kRead);
  ASSERT_TRUE(WaitFor([&] { return collector.calls > 0; }));
  PushRecords(&ring, 20'000, 100);
  ASSERT_TRUE(WaitFor([&] { return collector.calls + collector.attempts >= 20'100; }));
  exporter.Stop();
  collector.Stop();
  const CollectorMetrics metrics = exporter.Metrics()[0];
  EXPECT_EQ(received_.size(), 20'100U);
  EXPECT_EQ(received_order_.size(), 20'100U);
  EXPECT_EQ(metrics.sent, metrics.taken);
  EXPECT_EQ(collector.spooled, 20'000U);
  EXPECT_EQ(metrics.queue_full + metrics.spool_full + metrics.spool_damaged, 0U);
  ExpectAllAccountedFor(metrics);
  const auto live_record = std::find(received_order_.begin(), received_order_.end(), 20'098U);
  EXPECT_LT(live_record - received_order_.begin(), 15'000);
}

TEST_F(FlowOutage, NextRunSendsRecordsLeftAtShutdown) {
  {
    Ring ring(16'384);
    Exporter exporter(MakeSettings(Transport::kTcp, true), &ring, &disk_);
    PushRecords(&ring, 0, 3'000);
    exporter.Stop();
    const CollectorMetrics metrics = exporter.Metrics()[0];
    EXPECT_EQ(metrics.spooled, 3'001U);  // including the sums of the one group
    ExpectAllAccountedFor(metrics);
  }
  Collector collector(kCollector);
  TrackReceived(&collector);
  collector.StartTcp(Collector::Mode::kRead);
  Ring ring(16'384);
  Exporter exporter(MakeSettings(Transport::kTcp, true), &ring, &disk_);
  EXPECT_TRUE(WaitFor([&] { return collector.calls + collector.attempts == 3'000; }));
  exporter.Stop();
  collector.Stop();
  EXPECT_EQ(received_.size(), 3'000U);
  EXPECT_EQ(collector.possibly_repeated, 0U);
  EXPECT_EQ(exporter.Metrics()[0].recovered, 3'001U);
  ExpectAllAccountedFor(exporter.Metrics()[0]);
}

TEST_F(FlowOutage, ResendsUnacknowledgedRecordsWhenCollectorRestarts) {
  for (const Transport transport : {Transport::kTcp, Transport::kUdp}) {
    received_.clear();
    received_order_.clear();
    unmarked_repeats_ = 0;
    Ring ring(16'384);
    Exporter exporter(MakeSettings(transport, false), &ring);
    Collector collector(kCollector);
    TrackReceived(&collector);
    const auto start = [&] {
      transport == Transport::kTcp ? collector.StartTcp(Collector::Mode::kRead) : collector.StartUdp();
    };
    start();
    std::uint64_t next = 0;
    for (int round = 0; round < 4; ++round) {
      PushRecords(&ring, next, 2'000);
      next += 2'000;
      ASSERT_TRUE(WaitFor([&] { return collector.calls + collector.attempts >= next; }));
      collector.Stop();
      ASSERT_TRUE(transport == Transport::kUdp || WaitFor([&] { return !exporter.Metrics()[0].up; }));
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      start();
    }
    PushRecords(&ring, next, 2'000);
    ASSERT_TRUE(WaitFor([&] { return collector.calls + collector.attempts >= next + 2'000; }));
    exporter.Stop();
    collector.Stop();
    const CollectorMetrics metrics = exporter.Metrics()[0];
    EXPECT_EQ(received_.size(), next + 2'000);
    EXPECT_EQ(unmarked_repeats_, 0U);
    EXPECT_LE(received_order_.size() - received_.size(), collector.possibly_repeated);
    ExpectAllAccountedFor(metrics);
  }
}

TEST_F(FlowOutage, FailingDiskCostsNoMoreThanNoSpool) {
  sim::MemoryDisk disk;
  disk.SetCapacity(100'000);
  Ring ring(16'384);
  ExporterSettings settings = MakeSettings(Transport::kTcp, true);
  settings.collectors[0].max_queued_records = 1024;
  Exporter exporter(settings, &ring, &disk);
  PushRecords(&ring, 0, 10'000);
  ASSERT_TRUE(WaitFor([&] { return exporter.Metrics()[0].queue_full > 5'000; }));
  exporter.Stop();
  const CollectorMetrics metrics = exporter.Metrics()[0];
  EXPECT_GT(metrics.spooled, 100U);
  EXPECT_GT(metrics.spool_errors, 0U);
  EXPECT_EQ(metrics.spool_error, "No space left on device");
  ExpectAllAccountedFor(metrics);
  EXPECT_EQ(ring.dropped(), 0U);
}

TEST_F(FlowOutage, SequenceNumbersShowLostDatagramsAndTemplatesAreRepeated) {
  Collector collector(kCollector);
  TrackReceived(&collector);
  collector.DropOneIn(5);
  collector.StartUdp();
  Ring ring(16'384);
  ExporterSettings settings = MakeSettings(Transport::kUdp, false);
  settings.collectors[0].template_refresh_interval_us = 5'000;
  Exporter exporter(settings, &ring);
  PushRecords(&ring, 0, 4'000);
  exporter.Stop();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  collector.Stop();
  EXPECT_GT(collector.lost_datagrams, 10U);
  EXPECT_GT(collector.decoder().counters().lost, 0U);
  EXPECT_GT(received_.size(), 2'000U);
  EXPECT_LT(received_.size(), 4'000U);
  EXPECT_EQ(exporter.Metrics()[0].sent, exporter.Metrics()[0].taken);
}

TEST_F(FlowOutage, SelectsWholeCallsAndExportsSelectionCounts) {
  Collector collector(kCollector);
  std::uint64_t observed = 0, selected = 0;
  collector.OnRecord([&](const DecodedRecord& record) {
    if (record.template_id != kSamplesTemplate) return;
    observed = record.Number(FieldId::kObserved);
    selected = record.Number(FieldId::kSelected);
    EXPECT_EQ(record.Number(FieldId::kSelectorAlgorithm), 6U);
  });
  collector.StartTcp(Collector::Mode::kRead);
  Ring ring(16'384);
  ExporterSettings settings = MakeSettings(Transport::kTcp, false);
  settings.sample_one_in = 10;
  settings.group_interval_us = 3'600'000'000;
  Exporter exporter(settings, &ring);
  PushRecords(&ring, 0, 10'000);
  exporter.Stop();
  WaitFor([&] { return collector.groups > 0; });
  collector.Stop();
  EXPECT_EQ(collector.calls, 5'000U);
  EXPECT_EQ(observed, 5'000U);
  EXPECT_EQ(selected, collector.attempts);
  EXPECT_GT(selected, 400U);
  EXPECT_LT(selected, 600U);
  EXPECT_EQ(collector.groups, 1U);  // sums cover all attempts, also those not selected
}

// ---- TLS ----

class FlowTls : public FlowOutage {
 protected:
  FlowTls() : authority_(folder_, "authority") {
    authority_.IssueLeaf("collector", "IP:127.0.0.1", -10, 3600);
    authority_.IssueLeaf("edge", "DNS:edge", -10, 3600);
  }
  ExporterSettings MakeTlsSettings() const {
    ExporterSettings settings = MakeSettings(Transport::kTls, false);
    settings.collectors[0].tls = {authority_.file(), authority_.Certificate("edge"), authority_.Key("edge"), ""};
    settings.shutdown_timeout_us = 300'000;
    return settings;
  }
  void StartTlsCollector(Collector* collector, const std::string& name, bool require_client_certificate = false) {
    TrackReceived(collector);
    collector->UseTls(authority_.Certificate(name), authority_.Key(name),
                      require_client_certificate ? authority_.file() : "");
    collector->StartTcp(Collector::Mode::kRead);
  }
  // Returns the error shown for a collector with this certificate, and checks that no record is sent to it.
  std::string ErrorForCertificate(const std::string& name, ExporterSettings settings,
                                  bool require_client_certificate = false) {
    settings.collectors[0].connection.confirm_time_us = 1'000'000;
    Collector collector(kCollector);
    StartTlsCollector(&collector, name, require_client_certificate);
    Ring ring(16'384);
    Exporter exporter(settings, &ring);
    PushRecords(&ring, 0, 100);
    WaitFor([&] { return exporter.Metrics()[0].failures >= 2; });
    exporter.Stop();
    collector.Stop();
    EXPECT_EQ(received_.size(), 0U);
    EXPECT_EQ(exporter.Metrics()[0].sent, 0U);
    ExpectAllAccountedFor(exporter.Metrics()[0]);
    return exporter.Metrics()[0].last_error;
  }

  Authority authority_;
};

TEST_F(FlowTls, VerifiesBothCertificatesAndDeliversAll) {
  Collector collector(kCollector);
  StartTlsCollector(&collector, "collector", true);
  Ring ring(16'384);
  ExporterSettings settings = MakeTlsSettings();
  settings.shutdown_timeout_us = 5'000'000;
  Exporter exporter(settings, &ring);
  PushRecords(&ring, 0, 10'000);
  exporter.Stop();
  WaitFor([&] { return collector.calls + collector.attempts == 10'000; });
  collector.Stop();
  EXPECT_EQ(received_.size(), 10'000U);
  EXPECT_EQ(exporter.Metrics()[0].sent, exporter.Metrics()[0].taken);
  EXPECT_EQ(exporter.Metrics()[0].last_error, "");
}

TEST_F(FlowTls, RejectsBadCollectorCertificateWithReason) {
  authority_.IssueLeaf("expired", "IP:127.0.0.1", -100, -10);
  EXPECT_EQ(ErrorForCertificate("expired", MakeTlsSettings()),
            "not reached: TLS: the collector's certificate: certificate has expired");
  authority_.IssueLeaf("other", "IP:127.0.0.2", -10, 3600);
  EXPECT_EQ(ErrorForCertificate("other", MakeTlsSettings()),
            "not reached: TLS: the collector's certificate: IP address mismatch");
  ExporterSettings named = MakeTlsSettings();
  named.collectors[0].tls.name = "flows.example";
  EXPECT_EQ(ErrorForCertificate("collector", named),
            "not reached: TLS: the collector's certificate: hostname mismatch");
  const Authority other_authority(folder_, "stranger");
  ExporterSettings other_authority_settings = MakeTlsSettings();
  other_authority_settings.collectors[0].tls.authorities = other_authority.file();
  EXPECT_EQ(ErrorForCertificate("collector", other_authority_settings),
            "not reached: TLS: the collector's certificate: unable to get local issuer certificate");
}

TEST_F(FlowTls, NamesFaultyCertificateFiles) {
  ExporterSettings settings = MakeTlsSettings();
  settings.collectors[0].tls.certificate = folder_ / "missing.crt";
  EXPECT_NE(ErrorForCertificate("collector", settings).find("certificate " + (folder_ / "missing.crt").string()),
            std::string::npos);
  settings = MakeTlsSettings();
  settings.collectors[0].tls.key = authority_.Key("collector");
  EXPECT_NE(ErrorForCertificate("collector", settings).find("key " + authority_.Key("collector")), std::string::npos);
  settings = MakeTlsSettings();
  authority_.IssueLeaf("ended", "DNS:edge", -100, -10);
  settings.collectors[0].tls.certificate = authority_.Certificate("ended");
  settings.collectors[0].tls.key = authority_.Key("ended");
  EXPECT_EQ(ErrorForCertificate("collector", settings),
            "not reached: certificate " + authority_.Certificate("ended") + ": has expired");
  // A collector that requires a client certificate and gets none closes the connection.
  settings = MakeTlsSettings();
  settings.collectors[0].tls.certificate = settings.collectors[0].tls.key = "";
  const std::string error = ErrorForCertificate("collector", settings, true);
  EXPECT_NE(error.find("certificate required"), std::string::npos) << error;
}

TEST_F(FlowTls, ReloadsReplacedCertificateWithoutLoss) {
  Collector collector(kCollector);
  StartTlsCollector(&collector, "collector", true);
  Ring ring(16'384);
  ExporterSettings settings = MakeTlsSettings();
  settings.shutdown_timeout_us = 5'000'000;
  Exporter exporter(settings, &ring);
  for (std::uint64_t round = 0; round < 4; ++round) {
    const std::uint64_t before = collector.connections;
    PushRecords(&ring, round * 1'000, 1'000);
    authority_.IssueLeaf("edge", "DNS:edge", -10, 3600);
    ASSERT_TRUE(WaitFor([&] { return collector.connections > before; }));
  }
  exporter.Stop();
  WaitFor([&] { return collector.calls + collector.attempts == 4'000; });
  collector.Stop();
  EXPECT_EQ(received_.size(), 4'000U);
  EXPECT_EQ(unmarked_repeats_, 0U);
  ExpectAllAccountedFor(exporter.Metrics()[0]);
}

TEST_F(FlowTls, DisconnectsWhenCollectorCertificateExpires) {
  authority_.IssueLeaf("short", "IP:127.0.0.1", -10, 2);
  Collector collector(kCollector);
  StartTlsCollector(&collector, "short");
  Ring ring(16'384);
  ExporterSettings settings = MakeTlsSettings();
  settings.shutdown_timeout_us = 100'000;
  Exporter exporter(settings, &ring);
  PushRecords(&ring, 0, 1'000);
  ASSERT_TRUE(WaitFor([&] { return collector.calls + collector.attempts == 1'000; }));
  ASSERT_TRUE(WaitFor([&] { return exporter.Metrics()[0].failures > 0; }));
  EXPECT_NE(exporter.Metrics()[0].last_error.find("certificate has expired"), std::string::npos)
      << exporter.Metrics()[0].last_error;
  PushRecords(&ring, 1'000, 1'000);
  exporter.Stop();
  collector.Stop();
  EXPECT_EQ(received_.size(), 1'000U);
  EXPECT_GE(exporter.Metrics()[0].waiting, 1'000U);
  ExpectAllAccountedFor(exporter.Metrics()[0]);
}

}  // namespace
}  // namespace croftrun::flow
