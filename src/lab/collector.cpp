#include "lab/collector.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace croftrun::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t kLargest = 65'536;
constexpr auto kNap = std::chrono::milliseconds(1);

}  // namespace

void Collector::StartUdp() {
  udp::socket socket(context_, udp::endpoint(asio::ip::address_v4(address_.host), address_.port));
  socket.set_option(asio::socket_base::receive_buffer_size(8 << 20));
  socket.non_blocking(true);
  running_ = true;
  thread_ = std::thread([this, s = std::move(socket)]() mutable { ReadUdp(std::move(s)); });
}

void Collector::StartTcp(Mode mode) {
  tcp::acceptor acceptor(context_, tcp::endpoint(asio::ip::address_v4(address_.host), address_.port));
  acceptor.non_blocking(true);
  running_ = true;
  thread_ = std::thread([this, mode, a = std::move(acceptor)]() mutable { Accept(std::move(a), mode); });
}

void Collector::Stop() {
  running_ = false;
  if (thread_.joinable()) thread_.join();
}

void Collector::ReadUdp(udp::socket socket) {
  std::vector<char> buffer(kLargest);
  while (running_) {
    boost::system::error_code error;
    const std::size_t size = socket.receive(asio::buffer(buffer), 0, error);
    if (error) {
      std::this_thread::sleep_for(kNap);
    } else {
      Take({buffer.data(), size});
    }
  }
}

void Collector::Accept(tcp::acceptor acceptor, Mode mode) {
  while (running_) {
    boost::system::error_code error;
    tcp::socket socket = acceptor.accept(error);
    if (error) {
      std::this_thread::sleep_for(kNap);
      continue;
    }
    ++connections;
    if (mode == Mode::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0));
    } else {
      ReadTcp(std::move(socket), mode == Mode::kStall);
    }
  }
}

void Collector::ReadTcp(tcp::socket socket, bool stall) {
  decoder_.Forget();  // templates are of their connection
  if (stall) socket.set_option(asio::socket_base::receive_buffer_size(4096));
  socket.non_blocking(true);
  std::string stream;
  std::vector<char> buffer(kLargest);
  while (running_) {
    boost::system::error_code error = asio::error::would_block;
    const std::size_t size = stall ? 0 : socket.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) return;
    if (size == 0) std::this_thread::sleep_for(kNap);
    stream.append(buffer.data(), size);
    std::size_t taken = 0;
    while (true) {
      const std::string_view rest = std::string_view(stream).substr(taken);
      const std::size_t length = flow::Decoder::LengthOfNext(rest);
      if (length == 0 || length > rest.size()) break;
      Take(rest.substr(0, length));
      taken += length;
    }
    stream.erase(0, taken);
  }
}

void Collector::Take(std::string_view message) {
  decoder_.Message(
      message,
      [this](const flow::DecodedRecord& record) {
        calls += record.template_id == flow::kCallTemplate ? 1 : 0;
        attempts += record.template_id == flow::kAttemptTemplate ? 1 : 0;
        groups += record.template_id == flow::kGroupTemplate ? 1 : 0;
        intervals += record.template_id == flow::kIntervalTemplate ? 1 : 0;
        types += record.template_id == flow::kTypesTemplate ? 1 : 0;
        if (record.template_id == flow::kCountsTemplate) {
          told_not_sent = record.Number(flow::Source::kNotSent);
          told_exported = record.Number(flow::Source::kExportedRecords);
        }
        if (on_record_) on_record_(record);
      },
      nullptr);
}

}  // namespace croftrun::lab
