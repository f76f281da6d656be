// Streams of the Asio runtime: TCP connections with TCP_NODELAY. Each has a coroutine that reads, and a second one that
// writes while the write buffer holds data that the socket did not accept. Both share their state with the stream. A
// stream that is destroyed while open is half-closed and lingers; the runtime owns lingering connections and bounds
// them.
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <chrono>
#include <deque>
#include <string>
#include <system_error>
#include <utility>

#include "runtime/asio_runtime.h"
#include "runtime/endpoints.h"

namespace croftrun::runtime {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Delay before accepting is retried, after the acceptor declined or the descriptor limit was reached.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};
constexpr int kListenBacklog = 1024;
// Limits of lingering: how long a closed connection is still read and written, how many connections linger at the same
// time, and how many octets are read. Each one occupies a descriptor, which a peer that keeps sending must not hold.
constexpr std::chrono::milliseconds kLingerTimeout{100};
constexpr std::size_t kMaxLingering = 8, kMaxLingerOctets = 256 << 10;

struct StreamState {
  explicit StreamState(tcp::socket s) : socket(std::move(s)), wake(socket.get_executor()) {}
  tcp::socket socket;
  asio::steady_timer wake;                 // ends a pause of the reader or the wait for the connection
  core::StreamHandler* handler = nullptr;  // null before OnAccept returns and after the stream has ended
  core::Address remote;
  std::string output;
  std::size_t written = 0;  // octets of `output` already sent
  bool open = false, paused = false, writing = false, over = false;
  bool write_failed = false;  // the connection is lost

  void Close() {
    over = true;
    error_code ignored;
    socket.close(ignored);
    wake.cancel();
  }
  void End(core::StreamEnd end) {
    Close();
    if (core::StreamHandler* const receiver = std::exchange(handler, nullptr)) receiver->OnEnd(end);
  }
  // Writes as much as the socket accepts now. Returns false if the connection is lost, which the reader reports.
  bool WriteSome() {
    while (written < output.size()) {
      const auto sent =
          ::send(socket.native_handle(), output.data() + written, output.size() - written, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR) continue;
      if (sent < 0) {
        write_failed = errno != EAGAIN && errno != EWOULDBLOCK;
        return !write_failed;
      }
      written += static_cast<std::size_t>(sent);
    }
    output.clear();
    if (output.capacity() > core::kMaxStreamRead) output.shrink_to_fit();
    written = 0;
    return true;
  }
};

asio::awaitable<void> WriteRest(std::shared_ptr<StreamState> state) {
  error_code error;
  while (!state->over && !state->output.empty()) {
    co_await state->socket.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
    if (error || state->over) break;
    if (!state->WriteSome()) break;
  }
  state->writing = false;
}

void Flush(const std::shared_ptr<StreamState>& state) {
  if (!state->open || state->writing || !state->WriteSome() || state->output.empty()) return;
  state->writing = true;
  asio::co_spawn(state->socket.get_executor(), WriteRest(state), asio::detached);
}

asio::awaitable<void> Read(std::shared_ptr<StreamState> state) {
  // Shared by all streams: the loop runs on one thread, and each read is processed before the next one.
  static thread_local std::array<char, core::kMaxStreamRead> buffer;
  const auto executor = co_await asio::this_coro::executor;
  error_code error;
  while (state->handler != nullptr) {
    if (state->paused) {
      state->wake.expires_at(asio::steady_timer::time_point::max());
      co_await state->wake.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    co_await state->socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (state->handler == nullptr) co_return;
    if (error) co_return state->End(core::StreamEnd::kReset);
    if (state->paused) continue;
    const auto received = ::recv(state->socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) continue;
    // The error of a reset is reported once, which may have been to a write.
    const bool is_closed = received == 0 && !state->write_failed;
    if (received <= 0) co_return state->End(is_closed ? core::StreamEnd::kClosed : core::StreamEnd::kReset);
    state->handler->OnBytes({buffer.data(), static_cast<std::size_t>(received)});
    // Yield to other connections if this one sends at full speed.
    if (static_cast<std::size_t>(received) == buffer.size()) co_await asio::post(executor, asio::use_awaitable);
  }
}

asio::awaitable<void> Open(std::shared_ptr<StreamState> state, TimeUs timeout) {
  const auto executor = co_await asio::this_coro::executor;
  // Immediate failures are reported from the event loop too, not from within Connect.
  co_await asio::post(executor, asio::use_awaitable);
  if (state->handler == nullptr) co_return;
  error_code error;
  state->socket.open(tcp::v4(), error);
  if (error)
    co_return state->End(core::StreamEnd::kTimedOut);  // no descriptor available: reported like a connection time-out
  bool timeout_expired = false;
  state->wake.expires_after(std::chrono::microseconds(timeout));
  state->wake.async_wait([state, &timeout_expired](const error_code& cancelled) {
    if (cancelled || state->open) return;
    timeout_expired = true;
    error_code ignored;
    state->socket.close(ignored);
  });
  co_await state->socket.async_connect(EndpointOf<tcp>(state->remote),
                                       asio::redirect_error(asio::use_awaitable, error));
  const bool timed_out = timeout_expired;
  state->open = !error;
  state->wake.cancel();
  // The timer handler refers to this coroutine frame; it runs, cancelled, before this post completes.
  co_await asio::post(executor, asio::use_awaitable);
  if (state->handler == nullptr) co_return;
  if (error) {
    const bool refused = !timed_out && error == asio::error::connection_refused;
    const bool reset = !timed_out && error == asio::error::connection_reset;
    co_return state->End(refused || reset ? core::StreamEnd::kRefused : core::StreamEnd::kTimedOut);
  }
  state->socket.set_option(tcp::no_delay(true), error);
  state->handler->OnOpen();
  if (state->handler == nullptr) co_return;
  Flush(state);
  co_await Read(state);
}

}  // namespace

// Lingering connections, oldest first.
struct Lingering {
  std::deque<std::shared_ptr<StreamState>> states;

  // Closes the oldest connection; returns false if there is none.
  bool CloseOldest() {
    if (states.empty()) return false;
    const auto oldest = states.front();
    states.pop_front();
    oldest->Close();
    return true;
  }
};

namespace {

// Restarts the linger time-out.
void RestartLingerTimeout(const std::shared_ptr<StreamState>& state) {
  state->wake.expires_after(kLingerTimeout);
  state->wake.async_wait([state](const error_code& cancelled) {
    if (!cancelled) state->Close();
  });
}

// Writes the rest of the write buffer as long as the far end reads, half-closes the connection, and reads until the far
// end closes too.
asio::awaitable<void> FinishLingering(std::shared_ptr<StreamState> state, std::shared_ptr<Lingering> lingering) {
  static thread_local std::array<char, core::kMaxStreamRead> discarded;
  error_code error;
  while (!state->over && state->WriteSome() && !state->output.empty()) {
    RestartLingerTimeout(state);
    co_await state->socket.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
  }
  if (!state->over) {
    RestartLingerTimeout(state);
    state->socket.shutdown(tcp::socket::shutdown_send, error);
  }
  std::size_t octets = 0;
  while (!state->over && octets < kMaxLingerOctets) {
    co_await state->socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (error || state->over) break;
    const auto received = ::recv(state->socket.native_handle(), discarded.data(), discarded.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) continue;
    if (received <= 0) break;
    octets += static_cast<std::size_t>(received);
  }
  state->Close();
  std::erase(lingering->states, state);
}

void Linger(const std::shared_ptr<StreamState>& state, const std::shared_ptr<Lingering>& lingering) {
  if (lingering->states.size() >= kMaxLingering) lingering->CloseOldest();
  lingering->states.push_back(state);
  state->wake.cancel();  // wakes a paused reader, which then finds no handler
  // Writes and half-closes at once if possible, in case the process ends before the next iteration of the event loop.
  error_code ignored;
  if (state->WriteSome() && state->output.empty()) state->socket.shutdown(tcp::socket::shutdown_send, ignored);
  asio::co_spawn(state->socket.get_executor(), FinishLingering(state, lingering), asio::detached);
}

class AsioStream final : public core::Stream {
 public:
  AsioStream(std::shared_ptr<StreamState> state, std::shared_ptr<Lingering> lingering)
      : state_(std::move(state)), lingering_(std::move(lingering)) {}
  ~AsioStream() override {
    state_->handler = nullptr;
    if (state_->open && !state_->over) {
      Linger(state_, lingering_);
    } else {
      state_->Close();
    }
  }
  void Write(std::string_view bytes) override {
    if (state_->over) return;  // Write may be called from within OnAccept, before the handler is set
    state_->output.append(bytes);
    Flush(state_);
  }
  std::size_t PendingWriteOctets() const override { return state_->output.size() - state_->written; }
  bool HasUnreadInput() const override {
    char octet = 0;
    return !state_->over && state_->open &&
           ::recv(state_->socket.native_handle(), &octet, 1, MSG_DONTWAIT | MSG_PEEK) > 0;
  }
  bool PeerClosed() const override {
    if (state_->over || !state_->open) return state_->over;
    pollfd asked{state_->socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  void PauseReading(bool pause) override {
    state_->paused = pause;
    if (!pause && state_->open) state_->wake.cancel();
  }
  core::Address Remote() const override { return state_->remote; }

 private:
  std::shared_ptr<StreamState> state_;
  std::shared_ptr<Lingering> lingering_;
};

struct ListenerState {
  ListenerState(asio::io_context& context, const core::Address& address, core::StreamAcceptor* stream_acceptor)
      : socket(context), pause(context), acceptor(stream_acceptor) {
    const tcp::endpoint endpoint = EndpointOf<tcp>(address);
    socket.open(endpoint.protocol());
    socket.set_option(asio::socket_base::reuse_address(true));
    socket.non_blocking(true);
    socket.bind(endpoint);
    socket.listen(kListenBacklog);
    local = AddressOf(socket.local_endpoint());
  }
  bool HasQueuedConnection() {
    pollfd asked{socket.native_handle(), POLLIN, 0};
    return ::poll(&asked, 1, 0) > 0;
  }
  void Close() {
    acceptor = nullptr;
    error_code ignored;
    socket.close(ignored);
    pause.cancel();
  }
  tcp::acceptor socket;
  asio::steady_timer pause;
  core::Address local;
  core::StreamAcceptor* acceptor;  // null once the listener has been closed
};

// Accepts one connection from the listen queue. Returns false if none can be accepted now.
bool AcceptNext(ListenerState& listener, const std::shared_ptr<Lingering>& lingering) {
  // A connection that cannot be accepted yet stays in the listen queue: closing it would lose the data it carries.
  if (!listener.acceptor->CanAccept()) return false;
  error_code error;
  tcp::socket socket(listener.socket.get_executor());
  listener.socket.accept(socket, error);
  if (error) {
    if (error == asio::error::no_descriptors && !lingering->CloseOldest()) listener.acceptor->OnDescriptorsExhausted();
    return false;
  }
  const auto remote = socket.remote_endpoint(error);
  if (error) return true;  // the connection is already gone
  socket.set_option(tcp::no_delay(true), error);
  auto stream = std::make_shared<StreamState>(std::move(socket));
  stream->remote = AddressOf(remote);
  stream->open = true;
  stream->handler = listener.acceptor->OnAccept(std::make_unique<AsioStream>(stream, lingering));
  if (stream->handler != nullptr) asio::co_spawn(listener.socket.get_executor(), Read(stream), asio::detached);
  return true;
}

asio::awaitable<void> Accept(std::shared_ptr<ListenerState> state, std::shared_ptr<Lingering> lingering) {
  error_code error;
  while (state->acceptor != nullptr) {
    co_await state->socket.async_wait(tcp::acceptor::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (state->acceptor == nullptr) co_return;
    if (!state->HasQueuedConnection() || AcceptNext(*state, lingering)) continue;
    state->pause.expires_after(kAcceptRetryDelay);
    co_await state->pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

class AsioListener final : public core::StreamListener {
 public:
  AsioListener(asio::io_context& context, const core::Address& local, core::StreamAcceptor* acceptor,
               std::shared_ptr<Lingering> lingering)
      : state_(std::make_shared<ListenerState>(context, local, acceptor)), lingering_(std::move(lingering)) {
    asio::co_spawn(context, Accept(state_, lingering_), asio::detached);
  }
  ~AsioListener() override { state_->Close(); }
  core::Address Local() const override { return state_->local; }
  bool StopAccepting() override {
    while (state_->acceptor != nullptr && state_->HasQueuedConnection()) {
      if (!AcceptNext(*state_, lingering_)) return false;
    }
    state_->Close();
    return true;
  }

 private:
  std::shared_ptr<ListenerState> state_;
  std::shared_ptr<Lingering> lingering_;
};

}  // namespace

std::shared_ptr<Lingering> AsioRuntime::MakeLingering() { return std::make_shared<Lingering>(); }

std::unique_ptr<core::Stream> AsioRuntime::Connect(const core::Address& to, TimeUs timeout,
                                                   core::StreamHandler* handler) {
  auto state = std::make_shared<StreamState>(tcp::socket(context_));
  state->remote = to;
  state->handler = handler;
  asio::co_spawn(context_, Open(state, timeout), asio::detached);
  return std::make_unique<AsioStream>(state, lingering_);
}

std::unique_ptr<core::StreamListener> AsioRuntime::Listen(const core::Address& local, core::StreamAcceptor* acceptor) {
  try {
    return std::make_unique<AsioListener>(context_, local, acceptor, lingering_);
  } catch (const boost::system::system_error& error) {
    throw std::system_error(error.code(), core::ToString(local));
  }
}

}  // namespace croftrun::runtime
