#include "runtime/asio_runtime.h"

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

#include "core/runtime.h"

namespace croftrun::runtime {
namespace asio = boost::asio;
using asio::ip::udp;

namespace {

// Receive buffer asked of the kernel: a burst of a few thousand datagrams while the thread is at work.
constexpr int kSocketBuffer = 4 << 20;
// Datagrams taken from the socket before timers get their turn.
constexpr int kReceiveBatch = 64;

udp::endpoint EndpointOf(const core::Address& address) {
  return {asio::ip::address_v4(address.host), address.port};
}
core::Address AddressOf(const udp::endpoint& endpoint) {
  return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

// The socket outlives the port for as long as the receiving coroutine needs to notice that it was closed.
struct PortState {
  PortState(asio::io_context& context, const core::Address& local, core::DatagramSink* s)
      : socket(context), sink(s) {
    const udp::endpoint endpoint = EndpointOf(local);
    socket.open(endpoint.protocol());
    socket.bind(endpoint);
    socket.non_blocking(true);
    boost::system::error_code ignored;  // the kernel may grant less; that is no error
    socket.set_option(asio::socket_base::receive_buffer_size(kSocketBuffer), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(kSocketBuffer), ignored);
  }
  udp::socket socket;
  core::DatagramSink* sink;  // null once the port is gone
};

asio::awaitable<void> Receive(std::shared_ptr<PortState> state, std::shared_ptr<PortCounters> counters) {
  std::array<char, 65536> buffer;
  boost::system::error_code error;
  while (state->sink != nullptr) {
    co_await state->socket.async_wait(udp::socket::wait_read,
                                      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    for (int i = 0; i < kReceiveBatch && state->sink != nullptr; ++i) {
      udp::endpoint from;
      const std::size_t size = state->socket.receive_from(asio::buffer(buffer), from, 0, error);
      if (error == asio::error::would_block) break;
      // A refused earlier send (nobody listens there) shows up here; the next datagram may be fine.
      if (error) continue;
      ++counters->received;
      state->sink->OnDatagram(AddressOf(from), {buffer.data(), size});
    }
  }
}

class AsioPort final : public core::DatagramPort {
 public:
  AsioPort(asio::io_context& context, const core::Address& local, core::DatagramSink* sink,
           std::shared_ptr<PortCounters> counters)
      : state_(std::make_shared<PortState>(context, local, sink)), counters_(std::move(counters)) {
    asio::co_spawn(context, Receive(state_, counters_), asio::detached);
  }
  ~AsioPort() override {
    state_->sink = nullptr;
    boost::system::error_code ignored;
    state_->socket.close(ignored);
  }
  void Send(const core::Address& to, std::string_view bytes) override {
    boost::system::error_code error;
    state_->socket.send_to(asio::buffer(bytes.data(), bytes.size()), EndpointOf(to), 0, error);
    ++(error ? counters_->lost : counters_->sent);
  }
  core::Address Local() const override { return AddressOf(state_->socket.local_endpoint()); }

 private:
  std::shared_ptr<PortState> state_;
  std::shared_ptr<PortCounters> counters_;
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
      self->armed_for = owner.timers_.empty() ? ~TimeUs{0} : owner.timers_.begin()->first.first;
      if (owner.timers_.empty()) {
        self->timer.expires_at(std::chrono::steady_clock::time_point::max());
      } else {
        self->timer.expires_at(owner.start_ + std::chrono::microseconds(self->armed_for - 1'000'000));
      }
      co_await self->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
  }
};

AsioRuntime::AsioRuntime() : waiting_(std::make_shared<Waiting>(this)) {
  asio::co_spawn(context_, Waiting::Loop(waiting_), asio::detached);
}

AsioRuntime::~AsioRuntime() { waiting_->owner = nullptr; }

TimeUs AsioRuntime::Now() const {
  // One second is added so that no time is 0, which several interfaces read as "never".
  return 1'000'000 + static_cast<TimeUs>(std::chrono::duration_cast<std::chrono::microseconds>(
                                             std::chrono::steady_clock::now() - start_)
                                             .count());
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

std::unique_ptr<core::DatagramPort> AsioRuntime::OpenPort(const core::Address& local, core::DatagramSink* sink) {
  return std::make_unique<AsioPort>(context_, local, sink, counters_);
}

void AsioRuntime::Run() {
  context_.restart();
  context_.run();
}

}  // namespace croftrun::runtime
