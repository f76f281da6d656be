// Streams of the Asio runtime: TCP without delay, each with one coroutine that reads and one, while there is something
// to write that the socket did not take, that writes. Both are owned by the state that they share with the stream. A
// stream that is destroyed while it is open half-closes and lingers; the runtime owns those, and bounds them.
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

// The wait before accepting is tried again after the process ran out of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{20};
constexpr int kBacklog = 1024;
// How long a closed connection is still read and written, how many at once, and how much of what comes is read: each is
// a descriptor, and who sends without end is not worth one.
constexpr std::chrono::milliseconds kLinger{100};
constexpr std::size_t kMostLingering = 8, kMostLingerOctets = 256 << 10;

struct StreamState {
  explicit StreamState(tcp::socket s) : socket(std::move(s)), wake(socket.get_executor()) {}
  tcp::socket socket;
  asio::steady_timer wake;              // ends the pause of the reader, or the wait for the connection
  core::StreamHandler* sink = nullptr;  // null until the acceptor named it, and once the stream is gone or over
  core::Address remote;
  std::string output;
  std::size_t written = 0;  // of it
  bool open = false, paused = false, writing = false, over = false;

  void Close() {
    over = true;
    error_code ignored;
    socket.close(ignored);
    wake.cancel();
  }
  void End(core::StreamEnd end) {
    Close();
    if (core::StreamHandler* const told = std::exchange(sink, nullptr)) told->OnEnd(end);
  }
  // Hands over what the socket takes now; false once the connection is broken. The reader tells of the break.
  bool Push() {
    while (written < output.size()) {
      const auto sent =
          ::send(socket.native_handle(), output.data() + written, output.size() - written, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR) continue;
      if (sent < 0) return errno == EAGAIN || errno == EWOULDBLOCK;
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
    if (!state->Push()) break;
  }
  state->writing = false;
}

void Flush(const std::shared_ptr<StreamState>& state) {
  if (!state->open || state->writing || !state->Push() || state->output.empty()) return;
  state->writing = true;
  asio::co_spawn(state->socket.get_executor(), WriteRest(state), asio::detached);
}

asio::awaitable<void> Read(std::shared_ptr<StreamState> state) {
  // One thread: whatever a read brings is worked on before the next one.
  static thread_local std::array<char, core::kMaxStreamRead> buffer;
  const auto executor = co_await asio::this_coro::executor;
  error_code error;
  while (state->sink != nullptr) {
    if (state->paused) {
      state->wake.expires_at(asio::steady_timer::time_point::max());
      co_await state->wake.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    co_await state->socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (state->sink == nullptr) co_return;
    if (error) co_return state->End(core::StreamEnd::kReset);
    if (state->paused) continue;
    const auto got = ::recv(state->socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) continue;
    if (got <= 0) co_return state->End(got == 0 ? core::StreamEnd::kClosed : core::StreamEnd::kReset);
    state->sink->OnBytes({buffer.data(), static_cast<std::size_t>(got)});
    // Who sends at full speed waits for the others.
    if (static_cast<std::size_t>(got) == buffer.size()) co_await asio::post(executor, asio::use_awaitable);
  }
}

asio::awaitable<void> Open(std::shared_ptr<StreamState> state, TimeUs timeout) {
  const auto executor = co_await asio::this_coro::executor;
  // Even what fails at once is told from the loop, not from within Connect.
  co_await asio::post(executor, asio::use_awaitable);
  if (state->sink == nullptr) co_return;
  error_code error;
  state->socket.open(tcp::v4(), error);
  if (error) co_return state->End(core::StreamEnd::kTimedOut);  // no descriptor: as if it never came up
  bool late = false;
  state->wake.expires_after(std::chrono::microseconds(timeout));
  state->wake.async_wait([state, &late](const error_code& cancelled) {
    if (cancelled || state->open) return;
    late = true;
    error_code ignored;
    state->socket.close(ignored);
  });
  co_await state->socket.async_connect(EndpointOf<tcp>(state->remote),
                                       asio::redirect_error(asio::use_awaitable, error));
  const bool timed_out = late;
  state->open = !error;
  state->wake.cancel();
  // The handler of the timer refers to this frame: it runs, cancelled, before the next turn is over.
  co_await asio::post(executor, asio::use_awaitable);
  if (state->sink == nullptr) co_return;
  if (error) {
    const bool refused = !timed_out && error == asio::error::connection_refused;
    const bool reset = !timed_out && error == asio::error::connection_reset;
    co_return state->End(refused || reset ? core::StreamEnd::kRefused : core::StreamEnd::kTimedOut);
  }
  state->socket.set_option(tcp::no_delay(true), error);
  state->sink->OnOpen();
  if (state->sink == nullptr) co_return;
  Flush(state);
  co_await Read(state);
}

}  // namespace

// Connections that are closing in order, the oldest first.
struct Lingering {
  std::deque<std::shared_ptr<StreamState>> states;

  // False where there is none.
  bool CloseOldest() {
    if (states.empty()) return false;
    const auto oldest = states.front();
    states.pop_front();
    oldest->Close();
    return true;
  }
};

namespace {

// The end of the wait, from now on.
void CloseAfter(const std::shared_ptr<StreamState>& state) {
  state->wake.expires_after(kLinger);
  state->wake.async_wait([state](const error_code& cancelled) {
    if (!cancelled) state->Close();
  });
}

// Writes the rest while the far end goes on reading, closes this side's half, and reads until the far end closes too.
asio::awaitable<void> CloseInOrder(std::shared_ptr<StreamState> state, std::shared_ptr<Lingering> lingering) {
  static thread_local std::array<char, core::kMaxStreamRead> dropped;
  error_code error;
  while (!state->over && state->Push() && !state->output.empty()) {
    CloseAfter(state);
    co_await state->socket.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
  }
  if (!state->over) {
    CloseAfter(state);
    state->socket.shutdown(tcp::socket::shutdown_send, error);
  }
  std::size_t octets = 0;
  while (!state->over && octets < kMostLingerOctets) {
    co_await state->socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (error || state->over) break;
    const auto got = ::recv(state->socket.native_handle(), dropped.data(), dropped.size(), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) continue;
    if (got <= 0) break;
    octets += static_cast<std::size_t>(got);
  }
  state->Close();
  std::erase(lingering->states, state);
}

void Linger(const std::shared_ptr<StreamState>& state, const std::shared_ptr<Lingering>& lingering) {
  if (lingering->states.size() >= kMostLingering) lingering->CloseOldest();
  lingering->states.push_back(state);
  state->wake.cancel();  // a reader that is paused finds its sink gone
  // What can go at once goes now, the close with it, should the process end before the next turn.
  error_code ignored;
  if (state->Push() && state->output.empty()) state->socket.shutdown(tcp::socket::shutdown_send, ignored);
  asio::co_spawn(state->socket.get_executor(), CloseInOrder(state, lingering), asio::detached);
}

class AsioStream final : public core::Stream {
 public:
  AsioStream(std::shared_ptr<StreamState> state, std::shared_ptr<Lingering> lingering)
      : state_(std::move(state)), lingering_(std::move(lingering)) {}
  ~AsioStream() override {
    state_->sink = nullptr;
    if (state_->open && !state_->over) {
      Linger(state_, lingering_);
    } else {
      state_->Close();
    }
  }
  void Write(std::string_view bytes) override {
    if (state_->over) return;  // also from within OnAccept, before there is a sink
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
  ListenerState(asio::io_context& context, const core::Address& local, core::StreamAcceptor* a)
      : socket(context), pause(context), acceptor(a) {
    const tcp::endpoint endpoint = EndpointOf<tcp>(local);
    socket.open(endpoint.protocol());
    socket.set_option(asio::socket_base::reuse_address(true));
    socket.bind(endpoint);
    socket.listen(kBacklog);
  }
  tcp::acceptor socket;
  asio::steady_timer pause;
  core::StreamAcceptor* acceptor;  // null once the listener is gone
};

asio::awaitable<void> Accept(std::shared_ptr<ListenerState> state, std::shared_ptr<Lingering> lingering) {
  error_code error;
  while (state->acceptor != nullptr) {
    co_await state->socket.async_wait(tcp::acceptor::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (state->acceptor == nullptr) co_return;
    // One that cannot be had yet waits where it is: to close it would lose what it brings.
    if (!state->acceptor->CanAccept()) {
      state->pause.expires_after(kAcceptPause);
      co_await state->pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    tcp::socket socket = co_await state->socket.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (state->acceptor == nullptr) co_return;
    if (error) {
      if (error == asio::error::no_descriptors && !lingering->CloseOldest()) state->acceptor->OnDescriptorsExhausted();
      state->pause.expires_after(kAcceptPause);
      co_await state->pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    const auto remote = socket.remote_endpoint(error);
    if (error) continue;  // gone before it was looked at
    socket.set_option(tcp::no_delay(true), error);
    auto stream = std::make_shared<StreamState>(std::move(socket));
    stream->remote = AddressOf(remote);
    stream->open = true;
    stream->sink = state->acceptor->OnAccept(std::make_unique<AsioStream>(stream, lingering));
    if (stream->sink == nullptr) continue;
    asio::co_spawn(state->socket.get_executor(), Read(stream), asio::detached);
  }
}

class AsioListener final : public core::StreamListener {
 public:
  AsioListener(asio::io_context& context, const core::Address& local, core::StreamAcceptor* acceptor,
               std::shared_ptr<Lingering> lingering)
      : state_(std::make_shared<ListenerState>(context, local, acceptor)) {
    asio::co_spawn(context, Accept(state_, std::move(lingering)), asio::detached);
  }
  ~AsioListener() override {
    state_->acceptor = nullptr;
    error_code ignored;
    state_->socket.close(ignored);
    state_->pause.cancel();
  }
  core::Address Local() const override { return AddressOf(state_->socket.local_endpoint()); }

 private:
  std::shared_ptr<ListenerState> state_;
};

}  // namespace

std::shared_ptr<Lingering> AsioRuntime::MakeLingering() { return std::make_shared<Lingering>(); }

std::unique_ptr<core::Stream> AsioRuntime::Connect(const core::Address& to, TimeUs timeout, core::StreamHandler* sink) {
  auto state = std::make_shared<StreamState>(tcp::socket(context_));
  state->remote = to;
  state->sink = sink;
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
