// The exporter: a thread of its own that takes records from the ring and sends them to the collectors.
//
// Every record that the ring took is, for each collector, sent, still waiting, or counted as dropped with its cause:
//   taken + recovered = sent + queue_full + send_failed + spool_full + spool_damaged + waiting + spooled.
// Over UDP "sent" means given to the kernel and not refused; over TCP and TLS that the other machine acknowledged it,
// or may yet. What a broken connection left unacknowledged, and all of one that fell at once, waits again, marked as
// possibly repeated.
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
#include "flow/catch_up.h"
#include "flow/encode.h"
#include "flow/link_state.h"
#include "flow/ring.h"
#include "flow/spool.h"
#include "flow/tls_files.h"

namespace croftrun::flow {

enum class Transport : std::uint8_t { kUdp, kTcp, kTls };

struct CollectorSettings {
  core::Address address;
  Transport transport = Transport::kUdp;
  Protocol protocol = Protocol::kIpfix;
  std::size_t queue = 16'384;                      // records that wait for it at most
  std::size_t most_octets = 1400;                  // of a message
  std::uint64_t template_refresh_us = 30'000'000;  // over UDP, where one may be lost
  LinkSettings link;
  TlsFiles tls;                        // over TLS
  std::optional<SpoolSettings> spool;  // without one, what the queue cannot hold is dropped
  CatchUpSettings catch_up;
};

struct ExporterSettings {
  std::uint32_t exchange = 0;
  std::uint32_t enterprise = kDocumentationEnterprise;
  std::vector<std::string> classes;
  std::vector<CollectorSettings> collectors;
  std::uint64_t poll_us = 5'000;         // how often the ring is emptied
  std::uint64_t group_us = 10'000'000;   // sums by group
  std::uint64_t counts_us = 10'000'000;  // the exporter's own counts
  std::uint32_t sample = 1;              // attempts and intervals of one call in so many
  std::uint64_t keys_us = 1'000'000;     // how often certificates are looked at
  std::uint64_t stop_us = 2'000'000;     // at the end, for what still waits
  std::uint64_t seed = 1;
};

struct CollectorFigures {
  std::string name;
  bool up = false;
  std::uint64_t taken = 0;  // records for it: calls, attempts, intervals, sums of groups
  std::uint64_t sent = 0, queue_full = 0, send_failed = 0, waiting = 0, messages = 0, connects = 0, failures = 0,
                stalls = 0;
  std::uint64_t unsure = 0;  // of a broken connection: they waited again, marked as possibly repeated
  std::uint64_t spooled = 0, spool_octets = 0, recovered = 0, spool_full = 0, spool_damaged = 0, spool_errors = 0;
  std::string last_error;   // why the connection last failed
  std::string spool_error;  // of the disk, the last one
};

class Exporter {
 public:
  // Told what happens to a collector, on the exporter's thread: it is reached, lost, refused.
  using OnEvent = std::function<void(const std::string& collector, const std::string& what)>;

  // Starts the thread. Ring and disk outlive it; without a spool in the settings no disk is needed.
  Exporter(const ExporterSettings& settings, Ring* ring, core::Disk* disk = nullptr, OnEvent on_event = nullptr);
  ~Exporter();
  Exporter(const Exporter&) = delete;
  Exporter& operator=(const Exporter&) = delete;

  // Sends what is in the ring and waits, for `stop_us` at most, then ends the thread. Harmless when repeated.
  void Stop();
  // Of any thread.
  std::vector<CollectorFigures> Figures() const;

 private:
  class Worker;
  std::unique_ptr<Worker> worker_;
  std::thread thread_;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_EXPORTER_H_
