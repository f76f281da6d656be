#include "runtime/asio_runtime.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <string>
#include <vector>

#include "core/runtime.h"
#include "runtime/endpoints.h"

namespace croftrun::runtime {
namespace asio = boost::asio;
using asio::ip::udp;

namespace {

// Receive buffer asked of the kernel. It may grant far less, so the socket is emptied into the process's own queue
// after every few datagrams that were worked on.
constexpr int kSocketBuffer = 4 << 20;
// The clock's first reading. Not 0, which several interfaces read as "never"; and so long before the process began that
// the start of another exchange, which is told as an age, has a time of its own on this clock.
constexpr TimeUs kClockBegins = 24ULL * 3'600'000'000;
constexpr std::size_t kSystemBatch = 32;       // datagrams of one system call
constexpr std::size_t kWorkBatch = 64;         // worked on before the socket is emptied again and timers get their turn
constexpr std::size_t kLargest = 4096;         // octets of a datagram that is not cut (RFC 3435 3.5.4 asks for 4,000)
constexpr std::size_t kMostQueued = 32 << 20;  // octets waiting in the process; what comes beyond is dropped, counted

}  // namespace

struct PortState;

// What happens between two waits of the event loop: what is sent meanwhile leaves together at its end.
struct Turn {
  explicit Turn(std::function<TimeUs()> n) : now(std::move(n)) {}
  std::function<TimeUs()> now;
  TimeUs present = 0;  // the time for what is worked on now; 0: read the clock
  TimeUs backlog = 0;
  PortCounters counters;
  std::vector<PortState*> with_output;
  void End();
};

// The socket outlives the port for as long as the receiving coroutine needs to notice that it was closed.
struct PortState {
  PortState(asio::io_context& context, const core::Address& local, core::DatagramHandler* s)
      : socket(context), sink(s) {
    const udp::endpoint endpoint = EndpointOf<udp>(local);
    socket.open(endpoint.protocol());
    socket.bind(endpoint);
    socket.non_blocking(true);
    boost::system::error_code ignored;  // the kernel may grant less; that is no error
    socket.set_option(asio::socket_base::receive_buffer_size(kSocketBuffer), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(kSocketBuffer), ignored);
    buffers.resize(kSystemBatch * kLargest);
  }

  // Moves what the socket holds into the queue.
  void Empty(Turn& turn) {
    std::array<iovec, kSystemBatch> parts{};
    std::array<mmsghdr, kSystemBatch> headers{};
    std::array<sockaddr_in, kSystemBatch> from{};
    while (true) {
      for (std::size_t i = 0; i < kSystemBatch; ++i) {
        parts[i] = {buffers.data() + i * kLargest, kLargest};
        headers[i].msg_hdr = {};
        headers[i].msg_hdr.msg_name = &from[i];
        headers[i].msg_hdr.msg_namelen = sizeof(from[i]);
        headers[i].msg_hdr.msg_iov = &parts[i];
        headers[i].msg_hdr.msg_iovlen = 1;
      }
      const int count = ::recvmmsg(socket.native_handle(), headers.data(), kSystemBatch, MSG_DONTWAIT, nullptr);
      if (count <= 0) return;  // empty, or the word of an earlier send that nobody heard
      const TimeUs now = turn.now();
      for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i) {
        ++turn.counters.received;
        const core::Address sender{ntohl(from[i].sin_addr.s_addr), ntohs(from[i].sin_port)};
        if (sink == nullptr || !sink->ShouldReceive(sender, {buffers.data() + i * kLargest, headers[i].msg_len}))
          continue;
        if (queued + headers[i].msg_len > kMostQueued) {
          ++turn.counters.dropped;
          continue;
        }
        queued += headers[i].msg_len;
        queue.push_back({now, sender, std::string(buffers.data() + i * kLargest, headers[i].msg_len)});
      }
      if (static_cast<std::size_t>(count) < kSystemBatch) return;
    }
  }

  void Send(Turn& turn, const core::Address& to, std::string_view bytes) {
    if (output.empty()) turn.with_output.push_back(this);
    output.emplace_back(to, bytes);
    if (output.size() >= kSystemBatch) Flush(turn);
  }

  void Flush(Turn& turn) {
    std::array<iovec, kSystemBatch> parts{};
    std::array<mmsghdr, kSystemBatch> headers{};
    std::array<sockaddr_in, kSystemBatch> to{};
    const std::size_t count = std::min(kSystemBatch, output.size());
    for (std::size_t i = 0; i < count; ++i) {
      to[i].sin_family = AF_INET;
      to[i].sin_addr.s_addr = htonl(output[i].first.host);
      to[i].sin_port = htons(output[i].first.port);
      parts[i] = {output[i].second.data(), output[i].second.size()};
      headers[i].msg_hdr.msg_name = &to[i];
      headers[i].msg_hdr.msg_namelen = sizeof(to[i]);
      headers[i].msg_hdr.msg_iov = &parts[i];
      headers[i].msg_hdr.msg_iovlen = 1;
    }
    for (std::size_t sent = 0; sent < count;) {
      const int done =
          ::sendmmsg(socket.native_handle(), headers.data() + sent, static_cast<unsigned>(count - sent), MSG_DONTWAIT);
      // One that cannot go is lost, as the network may lose it; those behind it may be fine.
      const std::size_t step = done > 0 ? static_cast<std::size_t>(done) : 1;
      turn.counters.sent += done > 0 ? step : 0;
      turn.counters.lost += done > 0 ? 0 : 1;
      sent += step;
    }
    output.clear();
  }

  struct Waiting {
    TimeUs at = 0;
    core::Address from;
    std::string bytes;
  };
  udp::socket socket;
  core::DatagramHandler* sink;  // null once the port is gone
  std::vector<char> buffers;
  std::deque<Waiting> queue;
  std::size_t queued = 0;  // octets in it
  std::vector<std::pair<core::Address, std::string>> output;
};

void Turn::End() {
  for (PortState* port : std::exchange(with_output, {})) port->Flush(*this);
}

namespace {

asio::awaitable<void> Receive(std::shared_ptr<PortState> state, std::shared_ptr<Turn> turn) {
  boost::system::error_code error;
  const auto executor = co_await asio::this_coro::executor;
  while (state->sink != nullptr) {
    if (state->queue.empty()) {
      co_await state->socket.async_wait(udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) co_return;
    } else {
      // There is more to do: timers and other ports get their turn first.
      co_await asio::post(executor, asio::use_awaitable);
    }
    if (state->sink == nullptr) co_return;
    state->Empty(*turn);
    for (std::size_t i = 0; i < kWorkBatch && !state->queue.empty() && state->sink != nullptr; ++i) {
      const PortState::Waiting item = std::move(state->queue.front());
      state->queue.pop_front();
      state->queued -= item.bytes.size();
      // The clock is read once for each datagram, not for each of the dozen timers that it moves.
      turn->present = 0;
      turn->present = turn->now();
      turn->backlog = turn->present - item.at;
      state->sink->OnDatagram(item.from, item.bytes);
    }
    turn->present = 0;
    if (state->queue.empty()) turn->backlog = 0;
    turn->End();
  }
}

class AsioPort final : public core::DatagramPort {
 public:
  AsioPort(asio::io_context& context, const core::Address& local, core::DatagramHandler* sink,
           std::shared_ptr<Turn> turn)
      : state_(std::make_shared<PortState>(context, local, sink)), turn_(std::move(turn)) {
    // Owned by this port: it ends when the socket closes, and holds nothing but the state it shares with the port.
    asio::co_spawn(context, Receive(state_, turn_), asio::detached);
  }
  ~AsioPort() override {
    if (!state_->output.empty()) state_->Flush(*turn_);
    std::erase(turn_->with_output, state_.get());
    state_->sink = nullptr;
    boost::system::error_code ignored;
    state_->socket.close(ignored);
  }
  void Send(const core::Address& to, std::string_view bytes) override { state_->Send(*turn_, to, bytes); }
  core::Address Local() const override { return AddressOf(state_->socket.local_endpoint()); }

 private:
  std::shared_ptr<PortState> state_;
  std::shared_ptr<Turn> turn_;
};

}  // namespace

// The one timer of the operating system behind all timers of the program.
struct AsioRuntime::Waiting {
  explicit Waiting(AsioRuntime* o) : timer(o->context_), owner(o) {}
  asio::steady_timer timer;
  AsioRuntime* owner;  // null once the runtime is gone
  TimeUs armed_for = 0;

  static asio::awaitable<void> Loop(std::shared_ptr<Waiting> self) {
    boost::system::error_code error;
    while (self->owner != nullptr) {
      AsioRuntime& owner = *self->owner;
      const TimeUs now = owner.Now();
      // What falls due while these run waits for the next turn: sockets are not starved by timers.
      while (self->owner != nullptr && !owner.timers_.empty() && owner.timers_.begin()->first.first <= now) {
        auto node = owner.timers_.extract(owner.timers_.begin());
        owner.due_at_.erase(node.key().second);
        node.mapped()();
      }
      if (self->owner == nullptr) co_return;
      owner.turn_->End();
      self->armed_for = owner.timers_.empty() ? ~TimeUs{0} : owner.timers_.begin()->first.first;
      if (owner.timers_.empty()) {
        self->timer.expires_at(std::chrono::steady_clock::time_point::max());
      } else {
        self->timer.expires_at(owner.start_ + std::chrono::microseconds(self->armed_for - kClockBegins));
      }
      co_await self->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
  }
};

AsioRuntime::AsioRuntime()
    : waiting_(std::make_shared<Waiting>(this)), turn_(std::make_shared<Turn>([this] { return Now(); })) {
  // Owned by this runtime, through its context.
  asio::co_spawn(context_, Waiting::Loop(waiting_), asio::detached);
}

AsioRuntime::~AsioRuntime() { waiting_->owner = nullptr; }

TimeUs AsioRuntime::Now() const {
  if (turn_->present != 0) return turn_->present;
  return kClockBegins +
         static_cast<TimeUs>(
             std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start_).count());
}

std::int64_t AsioRuntime::WallClockUs() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

core::TimerId AsioRuntime::StartTimer(TimeUs delay, std::function<void()> due) {
  const TimeUs at = Now() + delay;
  const core::TimerId id = next_timer_++;
  timers_.emplace(std::make_pair(at, id), std::move(due));
  due_at_.emplace(id, at);
  if (at < waiting_->armed_for) Rearm();
  return id;
}

void AsioRuntime::CancelTimer(core::TimerId timer) {
  const auto found = due_at_.find(timer);
  if (found == due_at_.end()) return;
  timers_.erase({found->second, timer});
  due_at_.erase(found);
}

void AsioRuntime::Rearm() {
  waiting_->armed_for = timers_.begin()->first.first;
  waiting_->timer.cancel();  // the loop wakes and arms itself for the first one
}

std::unique_ptr<core::DatagramPort> AsioRuntime::OpenPort(const core::Address& local, core::DatagramHandler* sink) {
  return std::make_unique<AsioPort>(context_, local, sink, turn_);
}

TimeUs AsioRuntime::QueueDelay() const { return turn_->backlog; }

const PortCounters& AsioRuntime::counters() const { return turn_->counters; }

void AsioRuntime::Run() {
  turn_->End();  // what was sent before the loop ran
  context_.restart();
  context_.run();
  turn_->End();
}

}  // namespace croftrun::runtime
