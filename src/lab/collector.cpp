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

constexpr std::size_t kMaxMessageOctets = 65'536;
constexpr auto kPollInterval = std::chrono::milliseconds(1);
constexpr auto kAlertDelay = std::chrono::milliseconds(20);

// Waits for the completion of an asynchronous operation whose socket has been closed.
void AwaitCompletion(asio::io_context* context, const bool& done) {
  while (!done) {
    context->restart();
    context->run_for(kPollInterval);
  }
}

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
  std::vector<char> buffer(kMaxMessageOctets);
  while (running_) {
    boost::system::error_code error;
    const std::size_t size = socket.receive(asio::buffer(buffer), 0, error);
    if (error) {
      std::this_thread::sleep_for(kPollInterval);
    } else if (drop_one_in_ > 0 && ++datagrams_ % drop_one_in_ == 0) {
      ++lost_datagrams;
    } else {
      ProcessMessage({buffer.data(), size});
    }
  }
}

void Collector::Accept(tcp::acceptor acceptor, Mode mode) {
  while (running_) {
    boost::system::error_code error;
    tcp::socket socket = acceptor.accept(error);
    if (error) {
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    ++connections;
    if (mode == Mode::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0));
      continue;
    }
    decoder_.Reset();  // templates are valid on one connection only
    if (mode == Mode::kStall) {
      socket.set_option(asio::socket_base::receive_buffer_size(4096));
      while (running_) std::this_thread::sleep_for(kPollInterval);
    } else if (tls_context_ == nullptr) {
      ReadStream(socket);
    } else {
      asio::ssl::stream<tcp::socket> stream(std::move(socket), *tls_context_);
      bool done = false;
      boost::system::error_code failed;
      stream.async_handshake(asio::ssl::stream_base::server, [&](const boost::system::error_code& e) {
        done = true;
        failed = e;
      });
      if (!RunUntilDone(done)) {
        stream.lowest_layer().close();
        AwaitCompletion(&context_, done);
      } else if (failed) {
        // Leaves time for the TLS alert to be sent before the connection is closed.
        boost::system::error_code ignored;
        stream.lowest_layer().shutdown(tcp::socket::shutdown_send, ignored);
        std::this_thread::sleep_for(kAlertDelay);
      } else {
        ReadStream(stream);
      }
    }
  }
}

bool Collector::RunUntilDone(const bool& done) {
  while (running_ && !done) {
    context_.restart();
    context_.run_for(kPollInterval);
  }
  return done;
}

template <typename Stream>
void Collector::ReadStream(Stream& stream) {
  std::string received;
  std::vector<char> buffer(kMaxMessageOctets);
  boost::system::error_code error;
  while (!error) {
    bool done = false;
    std::size_t size = 0;
    stream.async_read_some(asio::buffer(buffer), [&](const boost::system::error_code& e, std::size_t n) {
      done = true;
      error = e;
      size = n;
    });
    if (!RunUntilDone(done)) {
      stream.lowest_layer().close();
      AwaitCompletion(&context_, done);
      return;
    }
    received.append(buffer.data(), size);
    std::size_t consumed = 0;
    while (true) {
      const std::string_view rest = std::string_view(received).substr(consumed);
      const std::size_t length = flow::Decoder::NextMessageLength(rest);
      if (length == 0 || length > rest.size()) break;
      ProcessMessage(rest.substr(0, length));
      consumed += length;
    }
    received.erase(0, consumed);
  }
}

void Collector::UseTls(const std::string& certificate, const std::string& key, const std::string& authorities) {
  tls_context_ = std::make_unique<asio::ssl::context>(asio::ssl::context::tls_server);
  tls_context_->use_certificate_chain_file(certificate);
  tls_context_->use_private_key_file(key, asio::ssl::context::pem);
  if (authorities.empty()) return;
  tls_context_->load_verify_file(authorities);
  tls_context_->set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
}

void Collector::ProcessMessage(std::string_view message) {
  if (on_message_) on_message_(message);
  decoder_.DecodeMessage(
      message,
      [this](const flow::DecodedRecord& record) {
        calls += record.template_id == flow::kCallTemplate ? 1 : 0;
        attempts += record.template_id == flow::kAttemptTemplate ? 1 : 0;
        set_ups += record.template_id == flow::kAttemptTemplate && record.Number(flow::FieldId::kWidth) > 0 ? 1 : 0;
        groups += record.template_id == flow::kGroupTemplate ? 1 : 0;
        intervals += record.template_id == flow::kIntervalTemplate ? 1 : 0;
        type_records += record.template_id == flow::kElementTypesTemplate ? 1 : 0;
        if (record.template_id == flow::kExporterCountsTemplate) {
          reported_not_sent = record.Number(flow::FieldId::kNotSent);
          reported_exported = record.Number(flow::FieldId::kExportedRecords);
        }
        if (record.template_id == flow::kCallTemplate || record.template_id == flow::kAttemptTemplate) {
          const std::uint64_t replay = record.Number(flow::FieldId::kReplay);
          spooled += replay == static_cast<std::uint64_t>(flow::Replay::kSpooled) ? 1 : 0;
          if (replay != 0)
            last_replayed_us = std::chrono::duration_cast<std::chrono::microseconds>(
                                   std::chrono::steady_clock::now().time_since_epoch())
                                   .count();
          possibly_repeated += replay == static_cast<std::uint64_t>(flow::Replay::kPossiblyRepeated) ? 1 : 0;
        }
        if (on_record_) on_record_(record);
      },
      nullptr);
}

}  // namespace croftrun::lab
