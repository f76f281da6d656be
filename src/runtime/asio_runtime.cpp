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

// Socket buffer size requested from the kernel. The kernel may grant far less, so the socket is drained into a queue of
// the process each time a few datagrams have been processed.
constexpr int kSocketBufferSize = 4 << 20;
// Time of the clock when the process starts. It is not 0, which several interfaces use for "never", and it is large
// enough that the start of another exchange, which is stated as an age, usually lies after the origin of this clock.
constexpr TimeUs kClockStart = 24ULL * 3'600'000'000;
constexpr std::size_t kMaxSyscallBatch = 32;  // datagrams per system call
constexpr std::size_t kMaxWorkBatch = 64;     // datagrams processed before the socket is drained again and timers run
// Octets; longer datagrams are truncated (RFC 3435 3.5.4 requires 4,000).
constexpr std::size_t kMaxDatagramSize = 4096;
// Octets in the receive queue; datagrams beyond that are dropped and counted.
constexpr std::size_t kMaxQueuedOctets = 32 << 20;

}  // namespace

struct PortState;

// State of one iteration of the event loop. Datagrams sent during an iteration are collected and sent together at its
// end.
struct LoopIteration {
  explicit LoopIteration(std::function<TimeUs()> clock) : now(std::move(clock)) {}
  std::function<TimeUs()> now;
  TimeUs cached_now = 0;  // cached time for the work in progress; 0: read the clock
  TimeUs queue_delay = 0;
  PortCounters counters;
  std::vector<PortState*> ports_with_output;
  void FlushPorts();
};

// Shared between a port and its receiving coroutine. The socket outlives the port until the coroutine has noticed that
// it was closed.
struct PortState {
  PortState(asio::io_context& context, const core::Address& local, core::DatagramHandler* s)
      : socket(context), handler(s) {
    const udp::endpoint endpoint = EndpointOf<udp>(local);
    socket.open(endpoint.protocol());
    socket.bind(endpoint);
    socket.non_blocking(true);
    boost::system::error_code ignored;  // the kernel may grant less, which is not an error
    socket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferSize), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferSize), ignored);
    buffers.resize(kMaxSyscallBatch * kMaxDatagramSize);
  }

  // Moves all datagrams from the socket to the queue.
  void DrainSocket(LoopIteration& iteration) {
    std::array<iovec, kMaxSyscallBatch> parts{};
    std::array<mmsghdr, kMaxSyscallBatch> headers{};
    std::array<sockaddr_in, kMaxSyscallBatch> from{};
    while (true) {
      for (std::size_t i = 0; i < kMaxSyscallBatch; ++i) {
        parts[i] = {buffers.data() + i * kMaxDatagramSize, kMaxDatagramSize};
        headers[i].msg_hdr = {};
        headers[i].msg_hdr.msg_name = &from[i];
        headers[i].msg_hdr.msg_namelen = sizeof(from[i]);
        headers[i].msg_hdr.msg_iov = &parts[i];
        headers[i].msg_hdr.msg_iovlen = 1;
      }
      const int count = ::recvmmsg(socket.native_handle(), headers.data(), kMaxSyscallBatch, MSG_DONTWAIT, nullptr);
      if (count <= 0) return;  // no datagram, or a pending error of an earlier send
      const TimeUs now = iteration.now();
      for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i) {
        ++iteration.counters.received;
        const core::Address sender{ntohl(from[i].sin_addr.s_addr), ntohs(from[i].sin_port)};
        if (handler == nullptr ||
            !handler->ShouldReceive(sender, {buffers.data() + i * kMaxDatagramSize, headers[i].msg_len}))
          continue;
        if (queued_octets + headers[i].msg_len > kMaxQueuedOctets) {
          ++iteration.counters.dropped;
          continue;
        }
        queued_octets += headers[i].msg_len;
        queue.push_back({now, sender, std::string(buffers.data() + i * kMaxDatagramSize, headers[i].msg_len)});
      }
      if (static_cast<std::size_t>(count) < kMaxSyscallBatch) return;
    }
  }

  void Send(LoopIteration& iteration, const core::Address& to, std::string_view bytes) {
    if (output.empty()) iteration.ports_with_output.push_back(this);
    output.emplace_back(to, bytes);
    if (output.size() >= kMaxSyscallBatch) Flush(iteration);
  }

  void Flush(LoopIteration& iteration) {
    std::array<iovec, kMaxSyscallBatch> parts{};
    std::array<mmsghdr, kMaxSyscallBatch> headers{};
    std::array<sockaddr_in, kMaxSyscallBatch> to{};
    const std::size_t count = std::min(kMaxSyscallBatch, output.size());
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
      // A datagram that cannot be sent is dropped, as the network might drop it; the following ones are still tried.
      const std::size_t step = done > 0 ? static_cast<std::size_t>(done) : 1;
      iteration.counters.sent += done > 0 ? step : 0;
      iteration.counters.lost += done > 0 ? 0 : 1;
      sent += step;
    }
    output.clear();
  }

  struct QueuedDatagram {
    TimeUs received_at = 0;
    core::Address from;
    std::string bytes;
  };
  udp::socket socket;
  core::DatagramHandler* handler;  // null once the port has been destroyed
  std::vector<char> buffers;
  std::deque<QueuedDatagram> queue;
  std::size_t queued_octets = 0;  // octets in `queue`
  std::vector<std::pair<core::Address, std::string>> output;
};

void LoopIteration::FlushPorts() {
  for (PortState* port : std::exchange(ports_with_output, {})) port->Flush(*this);
}

namespace {

asio::awaitable<void> Receive(std::shared_ptr<PortState> state, std::shared_ptr<LoopIteration> iteration) {
  boost::system::error_code error;
  const auto executor = co_await asio::this_coro::executor;
  while (state->handler != nullptr) {
    if (state->queue.empty()) {
      co_await state->socket.async_wait(udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) co_return;
    } else {
      // More datagrams are queued: yield to timers and other ports first.
      co_await asio::post(executor, asio::use_awaitable);
    }
    if (state->handler == nullptr) co_return;
    state->DrainSocket(*iteration);
    for (std::size_t i = 0; i < kMaxWorkBatch && !state->queue.empty() && state->handler != nullptr; ++i) {
      const PortState::QueuedDatagram item = std::move(state->queue.front());
      state->queue.pop_front();
      state->queued_octets -= item.bytes.size();
      // The clock is read once per datagram, not for each of the dozen timers that it starts.
      iteration->cached_now = 0;
      iteration->cached_now = iteration->now();
      iteration->queue_delay = iteration->cached_now - item.received_at;
      state->handler->OnDatagram(item.from, item.bytes);
    }
    iteration->cached_now = 0;
    if (state->queue.empty()) iteration->queue_delay = 0;
    iteration->FlushPorts();
  }
}

class AsioPort final : public core::DatagramPort {
 public:
  AsioPort(asio::io_context& context, const core::Address& local, core::DatagramHandler* handler,
           std::shared_ptr<LoopIteration> iteration)
      : state_(std::make_shared<PortState>(context, local, handler)), iteration_(std::move(iteration)) {
    // The coroutine ends when the socket is closed and refers only to the state it shares with the port.
    asio::co_spawn(context, Receive(state_, iteration_), asio::detached);
  }
  ~AsioPort() override {
    if (!state_->output.empty()) state_->Flush(*iteration_);
    std::erase(iteration_->ports_with_output, state_.get());
    state_->handler = nullptr;
    boost::system::error_code ignored;
    state_->socket.close(ignored);
  }
  void Send(const core::Address& to, std::string_view bytes) override { state_->Send(*iteration_, to, bytes); }
  core::Address Local() const override { return AddressOf(state_->socket.local_endpoint()); }

 private:
  std::shared_ptr<PortState> state_;
  std::shared_ptr<LoopIteration> iteration_;
};

}  // namespace

// The single system timer that drives all timers of the program.
struct AsioRuntime::TimerLoop {
  explicit TimerLoop(AsioRuntime* o) : timer(o->context_), owner(o) {}
  asio::steady_timer timer;
  AsioRuntime* owner;  // null once the runtime has been destroyed
  TimeUs armed_for = 0;

  static asio::awaitable<void> Loop(std::shared_ptr<TimerLoop> self) {
    boost::system::error_code error;
    while (self->owner != nullptr) {
      AsioRuntime& owner = *self->owner;
      const TimeUs now = owner.Now();
      // Timers that expire while these run wait for the next iteration, so that sockets are not starved.
      while (self->owner != nullptr && !owner.timers_.empty() && owner.timers_.begin()->first.first <= now) {
        auto node = owner.timers_.extract(owner.timers_.begin());
        owner.expiry_times_.erase(node.key().second);
        node.mapped()();
      }
      if (self->owner == nullptr) co_return;
      owner.iteration_->FlushPorts();
      self->armed_for = owner.timers_.empty() ? ~TimeUs{0} : owner.timers_.begin()->first.first;
      if (owner.timers_.empty()) {
        self->timer.expires_at(std::chrono::steady_clock::time_point::max());
      } else {
        self->timer.expires_at(owner.start_ + std::chrono::microseconds(self->armed_for - kClockStart));
      }
      co_await self->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
  }
};

AsioRuntime::AsioRuntime()
    : timer_loop_(std::make_shared<TimerLoop>(this)),
      iteration_(std::make_shared<LoopIteration>([this] { return Now(); })) {
  // The coroutine belongs to this runtime through its context.
  asio::co_spawn(context_, TimerLoop::Loop(timer_loop_), asio::detached);
}

AsioRuntime::~AsioRuntime() { timer_loop_->owner = nullptr; }

TimeUs AsioRuntime::Now() const {
  if (iteration_->cached_now != 0) return iteration_->cached_now;
  return kClockStart +
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
  expiry_times_.emplace(id, at);
  if (at < timer_loop_->armed_for) Rearm();
  return id;
}

void AsioRuntime::CancelTimer(core::TimerId timer) {
  const auto found = expiry_times_.find(timer);
  if (found == expiry_times_.end()) return;
  timers_.erase({found->second, timer});
  expiry_times_.erase(found);
}

void AsioRuntime::Rearm() {
  timer_loop_->armed_for = timers_.begin()->first.first;
  timer_loop_->timer.cancel();  // the loop wakes up and waits for the first timer
}

std::unique_ptr<core::DatagramPort> AsioRuntime::OpenPort(const core::Address& local, core::DatagramHandler* handler) {
  return std::make_unique<AsioPort>(context_, local, handler, iteration_);
}

TimeUs AsioRuntime::QueueDelay() const { return iteration_->queue_delay; }

const PortCounters& AsioRuntime::counters() const { return iteration_->counters; }

void AsioRuntime::Run() {
  iteration_->FlushPorts();  // datagrams sent before the loop started
  context_.restart();
  context_.run();
  iteration_->FlushPorts();
}

}  // namespace croftrun::runtime
