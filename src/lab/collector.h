// The stand-in collector: reads flow records over UDP or one TCP connection after the other by its own decoder, counts them,
// and misbehaves on demand. A thread of its own.
#ifndef CROFTRUN_LAB_COLLECTOR_H_
#define CROFTRUN_LAB_COLLECTOR_H_

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
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

  // Called on the collector's thread for each record; to be set before the start.
  void OnRecord(flow::Decoder::OnRecord on_record) { on_record_ = std::move(on_record); }
  // Throw boost::system::system_error where the address cannot be bound.
  void StartUdp();
  void StartTcp(Mode mode);
  void Stop();

  std::atomic<std::uint64_t> calls{0}, attempts{0}, groups{0}, intervals{0}, connections{0};
  // Once stopped.
  const flow::Decoder& decoder() const { return decoder_; }
  std::uint64_t told_not_sent = 0, told_exported = 0, types = 0;

 private:
  void ReadUdp(boost::asio::ip::udp::socket socket);
  void Accept(boost::asio::ip::tcp::acceptor acceptor, Mode mode);
  void ReadTcp(boost::asio::ip::tcp::socket socket, bool stall);
  void Take(std::string_view message);

  core::Address address_;
  boost::asio::io_context context_;
  std::atomic<bool> running_{false};
  std::thread thread_;
  flow::Decoder decoder_;
  flow::Decoder::OnRecord on_record_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_COLLECTOR_H_
