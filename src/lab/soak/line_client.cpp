#include "lab/soak/line_client.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "runtime/endpoints.h"

namespace croftrun::lab::soak {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct LineClient::State : std::enable_shared_from_this<State> {
  State(asio::io_context& context, LineClientHandlers h) : socket(context), timer(context), handlers(std::move(h)) {}

  void Read() {
    socket.async_read_some(asio::buffer(octets), [self = shared_from_this()](const error_code& error, std::size_t got) {
      if (self->closed) return;
      if (error) return self->End(error == asio::error::eof ? ConnectionEnd::kClosed : ConnectionEnd::kReset);
      self->input.append(self->octets.data(), got);
      self->DeliverLines();
      if (!self->closed) self->Read();
    });
  }
  void DeliverLines() {
    std::size_t from = 0;
    for (std::size_t end = 0; !closed && (end = input.find('\n', from)) != std::string::npos; from = end + 1) {
      handlers.on_line(std::string_view(input).substr(from, end - from));
    }
    input.erase(0, from);
  }
  void Flush() {
    if (writing || output.empty() || !open || closed) return;
    writing = true;
    sending = std::exchange(output, {});
    asio::async_write(socket, asio::buffer(sending), [self = shared_from_this()](const error_code& error, std::size_t) {
      self->writing = false;
      if (self->closed || error) return;  // Read reports the end of the connection
      if (self->output.empty() && !self->in_pieces && self->handlers.on_written) self->handlers.on_written();
      self->Flush();
    });
  }
  void End(ConnectionEnd end) {
    Close();
    handlers.on_end(end);
  }
  void Close() {
    closed = true;
    open = false;
    error_code ignored;
    socket.close(ignored);
    timer.cancel();
  }

  tcp::socket socket;
  asio::steady_timer timer;
  LineClientHandlers handlers;
  std::array<char, 8192> octets{};
  std::string input, output, sending;
  std::string deferred;  // the second piece, and data written after the first piece
  bool open = false, closed = false, writing = false, in_pieces = false;
};

LineClient::LineClient(asio::io_context* context, std::uint32_t source, const core::Address& to,
                       LineClientHandlers handlers)
    : state_(std::make_shared<State>(*context, std::move(handlers))) {
  error_code error;
  state_->socket.open(tcp::v4(), error);
  state_->socket.bind({asio::ip::address_v4(source), 0}, error);
  state_->socket.async_connect(runtime::EndpointOf<tcp>(to), [state = state_](const error_code& failed) {
    if (state->closed) return;
    if (failed) return state->End(ConnectionEnd::kRefused);
    error_code ignored;
    state->socket.set_option(tcp::no_delay(true), ignored);
    state->open = true;
    if (state->handlers.on_open) state->handlers.on_open();
    if (state->closed) return;
    state->Flush();
    state->Read();
  });
}

LineClient::~LineClient() { state_->Close(); }

bool LineClient::open() const { return state_->open; }

bool LineClient::writing_in_pieces() const { return state_->in_pieces; }

void LineClient::Write(const std::string& octets) {
  if (state_->closed) return;
  (state_->in_pieces ? state_->deferred : state_->output) += octets;
  state_->Flush();
}

void LineClient::WriteInPieces(const std::string& octets, TimeUs gap) {
  if (state_->in_pieces) return Write(octets);
  const std::size_t half = octets.size() / 2;
  Write(octets.substr(0, half));
  state_->in_pieces = true;
  state_->deferred = octets.substr(half);
  state_->timer.expires_after(std::chrono::microseconds(gap));
  state_->timer.async_wait([state = state_](const error_code& cancelled) {
    if (cancelled || state->closed) return;
    state->in_pieces = false;
    state->output += std::exchange(state->deferred, {});
    state->Flush();
  });
}

void LineClient::HalfClose() {
  error_code ignored;
  if (!state_->closed) state_->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void LineClient::Reset() {
  if (state_->closed) return;
  error_code ignored;
  state_->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  state_->Close();
}

}  // namespace croftrun::lab::soak
