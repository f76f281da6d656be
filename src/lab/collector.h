// The stand-in collector: reads flow records over UDP or one TCP or TLS connection after the other by its own decoder,
// counts them, and misbehaves on demand. A thread of its own. After Stop it can be started again, as one that was
// restarted.
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

class Collector {
 public:
  enum class Mode : std::uint8_t { kRead, kStall, kReset };  // never reads; resets each connection at once

  explicit Collector(const core::Address& address) : address_(address) {}
  ~Collector() { Stop(); }
  Collector(const Collector&) = delete;
  Collector& operator=(const Collector&) = delete;

  // Called on the collector's thread for each record and each whole message; to be set before the start.
  void OnRecord(flow::Decoder::OnRecord on_record) { on_record_ = std::move(on_record); }
  void OnMessage(std::function<void(std::string_view)> on_message) { on_message_ = std::move(on_message); }
  // Over UDP one datagram in so many is lost; 0: none.
  void DropOneIn(std::uint64_t datagrams) { drop_one_in_ = datagrams; }
  // Connections are over TLS; with authorities only clients that show a certificate of theirs are let in.
  void UseTls(const std::string& certificate, const std::string& key, const std::string& authorities);
  // Throw boost::system::system_error where the address cannot be bound or a file is at fault.
  void StartUdp();
  void StartTcp(Mode mode);
  void Stop();

  // Of the attempts, those that held a circuit are set-ups.
  std::atomic<std::uint64_t> calls{0}, attempts{0}, set_ups{0}, groups{0}, intervals{0}, connections{0},
      lost_datagrams{0};
  // Steady clock, microseconds: when a record last came that was not told as it happened.
  std::atomic<std::int64_t> last_replayed_us{0};
  std::atomic<std::uint64_t> spooled{0}, possibly_repeated{0};  // of calls and attempts
  // Once stopped.
  const flow::Decoder& decoder() const { return decoder_; }
  std::uint64_t reported_not_sent = 0, reported_exported = 0, type_records = 0;

 private:
  void ReadUdp(boost::asio::ip::udp::socket socket);
  void Accept(boost::asio::ip::tcp::acceptor acceptor, Mode mode);
  template <typename Stream>
  void ReadStream(Stream& stream);
  // Runs what was begun until it is done or the collector is stopped.
  bool Finish(const bool& done);
  void Take(std::string_view message);

  core::Address address_;
  boost::asio::io_context context_;
  std::atomic<bool> running_{false};
  std::thread thread_;
  flow::Decoder decoder_;
  flow::Decoder::OnRecord on_record_;
  std::function<void(std::string_view)> on_message_;
  std::uint64_t drop_one_in_ = 0, datagrams_ = 0;
  std::unique_ptr<boost::asio::ssl::context> keys_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_COLLECTOR_H_
