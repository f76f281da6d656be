// Stand-in flow collector with fault injection: receives flow records over UDP, or over TCP or TLS connections one at a
// time, decodes and counts them. It runs on its own thread. After Stop it can be started again, to emulate a collector
// that was restarted.
#ifndef CROFTRUN_LAB_COLLECTOR_H_
#define CROFTRUN_LAB_COLLECTOR_H_

#include <atomic>
#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "core/runtime.h"
#include "flow/decode.h"

namespace croftrun::lab {

// A flow collector. The counters can be read from other threads while it runs.
class Collector {
 public:
  // kRead reads normally, kStall accepts a connection and never reads, kReset resets each connection immediately.
  enum class Mode : std::uint8_t { kRead, kStall, kReset };

  explicit Collector(const core::Address& address) : address_(address) {}
  ~Collector() { Stop(); }
  Collector(const Collector&) = delete;
  Collector& operator=(const Collector&) = delete;

  // Callbacks for each record and each complete message. They run on the collector's thread and must be set before the
  // start.
  void OnRecord(flow::Decoder::OnRecord on_record) { on_record_ = std::move(on_record); }
  void OnMessage(std::function<void(std::string_view)> on_message) { on_message_ = std::move(on_message); }
  // Discards one in `datagrams` UDP datagrams; 0: none.
  void DropOneIn(std::uint64_t datagrams) { drop_one_in_ = datagrams; }
  // Uses TLS for connections. If `authorities` is not empty, clients must present a certificate issued by one of them.
  void UseTls(const std::string& certificate, const std::string& key, const std::string& authorities);
  // Throw boost::system::system_error if the address cannot be bound or a file cannot be used.
  void StartUdp();
  void StartTcp(Mode mode);
  void Stop();

  // Records received, by kind; connections; discarded datagrams. `set_ups` counts the attempts that held a circuit.
  std::atomic<std::uint64_t> calls{0}, attempts{0}, set_ups{0}, groups{0}, intervals{0}, connections{0},
      lost_datagrams{0};
  // Steady clock time, in microseconds, of the last record that was spooled or sent again.
  std::atomic<std::int64_t> last_replayed_us{0};
  std::atomic<std::uint64_t> spooled{0}, possibly_repeated{0};  // call and attempt records
  // To be read after Stop.
  const flow::Decoder& decoder() const { return decoder_; }
  // The last values the exporter reported about itself, and the number of type records.
  std::uint64_t reported_not_sent = 0, reported_exported = 0, type_records = 0;

 private:
  void ReadUdp(boost::asio::ip::udp::socket socket);
  void Accept(boost::asio::ip::tcp::acceptor acceptor, Mode mode);
  template <typename Stream>
  void ReadStream(Stream& stream);
  // Runs the I/O context until `done` is set or the collector is stopped. Returns `done`.
  bool RunUntilDone(const bool& done);
  void ProcessMessage(std::string_view message);

  core::Address address_;
  boost::asio::io_context context_;
  std::atomic<bool> running_{false};
  std::thread thread_;
  flow::Decoder decoder_;
  flow::Decoder::OnRecord on_record_;
  std::function<void(std::string_view)> on_message_;
  std::uint64_t drop_one_in_ = 0, datagrams_ = 0;
  std::unique_ptr<boost::asio::ssl::context> tls_context_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_COLLECTOR_H_
