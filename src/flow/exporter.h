// The exporting process: a thread that takes records from the ring and sends them to the collectors.
//
// For each collector, every record that the ring accepted is sent, waiting, or counted as dropped with its cause:
//   taken + recovered = sent + queue_full + send_failed + spool_full + spool_damaged + waiting + spooled.
// Over UDP "sent" means accepted by the kernel without an error. Over TCP and TLS it means that the collector's host
// acknowledged the record or still may. Records that were unacknowledged when a connection broke are queued again,
// marked as possibly repeated; so are all records of a connection that broke before it was confirmed.
#ifndef CROFTRUN_FLOW_EXPORTER_H_
#define CROFTRUN_FLOW_EXPORTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/disk.h"
#include "core/runtime.h"
#include "flow/catch_up_scheduler.h"
#include "flow/connection_state.h"
#include "flow/encode.h"
#include "flow/ring.h"
#include "flow/spool.h"
#include "flow/tls_files.h"

namespace croftrun::flow {

// Transport protocol to a collector.
enum class Transport : std::uint8_t { kUdp, kTcp, kTls };

// Settings of the export to one collector.
struct CollectorSettings {
  core::Address address;
  Transport transport = Transport::kUdp;
  Protocol protocol = Protocol::kIpfix;
  std::size_t max_queued_records = 16'384;                  // records waiting for the collector at most
  std::size_t max_message_octets = 1400;                    // largest message
  std::uint64_t template_refresh_interval_us = 30'000'000;  // over UDP, where a template may be lost
  ConnectionSettings connection;
  TlsFiles tls;                        // for Transport::kTls
  std::optional<SpoolSettings> spool;  // without a spool, records that the queue cannot hold are dropped
  CatchUpSettings catch_up;
};

// Settings of the exporting process.
struct ExporterSettings {
  std::uint32_t exchange = 0;
  std::uint32_t enterprise = kDocumentationEnterprise;
  std::vector<std::string> classes;  // names of the call classes, by number
  std::vector<CollectorSettings> collectors;
  std::uint64_t poll_interval_us = 5'000;         // interval of emptying the ring
  std::uint64_t group_interval_us = 10'000'000;   // interval of the sums by trunk group
  std::uint64_t counts_interval_us = 10'000'000;  // interval of the exporter's own counters
  std::uint32_t sample_one_in = 1;                // attempts and intervals are exported for one call in this many
  std::uint64_t certificate_check_interval_us = 1'000'000;  // interval of checking the certificates
  std::uint64_t shutdown_timeout_us = 2'000'000;            // on shutdown, time for sending what still waits
  std::uint64_t seed = 1;
};

// State and counters of the export to one collector, as they appear in the metrics.
struct CollectorMetrics {
  std::string name;
  bool up = false;
  std::uint64_t taken = 0;  // records queued for it: calls, attempts, intervals, sums of groups
  std::uint64_t sent = 0, queue_full = 0, send_failed = 0, waiting = 0, messages = 0, connects = 0, failures = 0,
                stalls = 0;
  std::uint64_t unsure = 0;  // unacknowledged on a broken connection; queued again, marked as possibly repeated
  std::uint64_t spooled = 0, spool_octets = 0, recovered = 0, spool_full = 0, spool_damaged = 0, spool_errors = 0;
  std::string last_error;   // why the connection last failed, or could not be made
  std::string spool_error;  // last error of the disk
};

// Runs the exporting process from construction to Stop.
class Exporter {
 public:
  // Called on the exporter's thread when a collector is reached or lost, and on spool and certificate errors.
  using OnEvent = std::function<void(const std::string& collector, const std::string& what)>;

  // Starts the thread. `ring` and `disk` must outlive the exporter; `disk` may be null if no collector has a spool.
  Exporter(const ExporterSettings& settings, Ring* ring, core::Disk* disk = nullptr, OnEvent on_event = nullptr);
  ~Exporter();
  Exporter(const Exporter&) = delete;
  Exporter& operator=(const Exporter&) = delete;

  // Sends what is in the ring and the queues, for at most `shutdown_timeout_us`, then ends the thread. May be called
  // again.
  void Stop();
  // The present metrics of each collector, in the order of the settings. Safe to call from any thread.
  std::vector<CollectorMetrics> Metrics() const;

 private:
  class Worker;
  std::unique_ptr<Worker> worker_;
  std::thread thread_;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_EXPORTER_H_
