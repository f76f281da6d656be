#include "ws/server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <chrono>
#include <deque>

#include "admission/token_bucket.h"

namespace croftrun::ws {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

struct Server::State {
  State(asio::io_context* c, const ServerSettings& s, SessionManager* m)
      : context(c), settings(s), session_manager(m), acceptor(*c) {
    accept_limit = {static_cast<double>(s.accepts_per_s), static_cast<double>(s.accepts_per_s)};
    accept_bucket.tokens = accept_limit.burst;
  }
  asio::io_context* context;
  ServerSettings settings;
  SessionManager* session_manager;  // null once the server has been destroyed
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<Connection>> connections;
  admission::TokenBucketSettings accept_limit;
  admission::TokenBucket accept_bucket;
  Counters counters;
};

class Server::Connection final : public ConnectionOutput, public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, std::shared_ptr<State> state)
      : stream_(std::move(socket)), wake_writer_(*state->context), state_(std::move(state)) {}

  void Start() { asio::co_spawn(*state_->context, RunReader(shared_from_this()), asio::detached); }
  // Closes the socket without a close frame; both coroutines end with an error.
  void Abort() {
    beast::error_code ignored;
    beast::get_lowest_layer(stream_).socket().close(ignored);
    wake_writer_.cancel();
  }

  void Send(std::string text) override {
    queued_octets_ += text.size();
    output_queue_.push_back(std::move(text));
    wake_writer_.cancel();
  }
  std::size_t QueuedOctets() const override { return queued_octets_; }
  void Close(int code, std::string reason) override {
    closing_ = true;
    close_code_ = code;
    close_reason_ = std::move(reason);
    wake_writer_.cancel();
  }

 private:
  static asio::awaitable<void> RunReader(std::shared_ptr<Connection> self) {
    beast::error_code error;
    const std::shared_ptr<State> state = self->state_;
    const ServerSettings& settings = state->settings;
    beast::websocket::stream_base::timeout timeout{};
    timeout.handshake_timeout = std::chrono::microseconds(settings.handshake_timeout_us);
    timeout.idle_timeout = std::chrono::microseconds(settings.idle_timeout_us);
    timeout.keep_alive_pings = true;
    self->stream_.set_option(timeout);
    self->stream_.read_message_max(settings.max_message_octets);
    co_await self->stream_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      ++state->counters.handshakes_failed;
    } else if (state->session_manager != nullptr) {
      beast::error_code endpoint_error;
      const auto peer = beast::get_lowest_layer(self->stream_).socket().remote_endpoint(endpoint_error);
      self->id_ = state->session_manager->OnOpened(self.get(), endpoint_error ? "?" : peer.address().to_string());
      asio::co_spawn(*state->context, RunWriter(self), asio::detached);
      beast::flat_buffer buffer;
      while (!error && state->session_manager != nullptr) {
        co_await self->stream_.async_read(buffer, asio::redirect_error(asio::use_awaitable, error));
        if (error || state->session_manager == nullptr) break;
        const auto data = buffer.cdata();
        const std::string text(static_cast<const char*>(data.data()), data.size());
        buffer.consume(buffer.size());
        state->session_manager->OnText(self->id_, text);
      }
      if (state->session_manager != nullptr) state->session_manager->OnClosed(self->id_);
    }
    self->finished_ = true;
    self->wake_writer_.cancel();
    beast::error_code ignored;
    beast::get_lowest_layer(self->stream_).socket().close(ignored);
    state->connections.erase(self);
  }

  static asio::awaitable<void> RunWriter(std::shared_ptr<Connection> self) {
    beast::error_code error;
    while (!self->finished_) {
      if (!self->output_queue_.empty()) {
        const std::string text = std::move(self->output_queue_.front());
        self->output_queue_.pop_front();
        self->stream_.text(true);
        const auto buffer = asio::buffer(text);
        co_await self->stream_.async_write(buffer, asio::redirect_error(asio::use_awaitable, error));
        self->queued_octets_ -= text.size();
        if (error) break;
        continue;
      }
      if (self->closing_) {
        beast::websocket::close_reason reason;
        reason.code = static_cast<beast::websocket::close_code>(self->close_code_);
        reason.reason = self->close_reason_.substr(0, 120);
        co_await self->stream_.async_close(reason, asio::redirect_error(asio::use_awaitable, error));
        break;
      }
      self->wake_writer_.expires_at(std::chrono::steady_clock::time_point::max());
      beast::error_code cancelled;
      co_await self->wake_writer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    beast::error_code ignored;
    if (!self->finished_) beast::get_lowest_layer(self->stream_).socket().close(ignored);
  }

  beast::websocket::stream<beast::tcp_stream> stream_;
  asio::steady_timer wake_writer_;
  std::shared_ptr<State> state_;
  std::deque<std::string> output_queue_;
  std::size_t queued_octets_ = 0;
  bool closing_ = false, finished_ = false;
  int close_code_ = 1000;
  std::string close_reason_;
  SessionManager::ConnectionId id_ = 0;
};

Server::Server(asio::io_context* context, const ServerSettings& settings, SessionManager* session_manager)
    : state_(std::make_shared<State>(context, settings, session_manager)) {
  const tcp::endpoint endpoint(asio::ip::address_v4(settings.listen.host), settings.listen.port);
  state_->acceptor.open(endpoint.protocol());
  state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
  state_->acceptor.bind(endpoint);
  state_->acceptor.listen();
  const auto accept = [](std::shared_ptr<State> state) -> asio::awaitable<void> {
    beast::error_code error;
    asio::steady_timer retry_timer(*state->context);
    while (state->session_manager != nullptr) {
      tcp::socket socket(*state->context);
      co_await state->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
      if (state->session_manager == nullptr || error == asio::error::operation_aborted) co_return;
      if (error) {
        // Most likely out of file descriptors; other connections will free some.
        retry_timer.expires_after(std::chrono::milliseconds(50));
        beast::error_code ignored;
        co_await retry_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        continue;
      }
      const auto now = static_cast<TimeUs>(
          std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
              .count());
      if (state->connections.size() >= state->settings.max_connections ||
          !state->accept_bucket.TryConsume(state->accept_limit, now)) {
        ++state->counters.rejected;
        continue;  // the socket closes as it goes out of scope
      }
      ++state->counters.accepted;
      auto connection = std::make_shared<Connection>(std::move(socket), state);
      state->connections.insert(connection);
      connection->Start();
    }
  };
  asio::co_spawn(*context, accept(state_),
                 asio::detached);  // ends when the server closes the acceptor
}

Server::~Server() {
  state_->session_manager = nullptr;
  beast::error_code ignored;
  state_->acceptor.close(ignored);
  for (const auto& connection : std::set(state_->connections)) connection->Abort();
}

std::uint16_t Server::port() const { return state_->acceptor.local_endpoint().port(); }
std::size_t Server::open() const { return state_->connections.size(); }
const Server::Counters& Server::counters() const { return state_->counters; }

}  // namespace croftrun::ws
