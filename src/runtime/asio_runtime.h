// core::Runtime on real sockets, implemented with Boost.Asio and C++20 coroutines.
//
// One io_context on one thread. Each port has a receiving coroutine, and all timers share one waiting coroutine. A
// coroutine ends with the object it belongs to.
#ifndef CROFTRUN_RUNTIME_ASIO_RUNTIME_H_
#define CROFTRUN_RUNTIME_ASIO_RUNTIME_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <utility>

#include "core/runtime.h"

namespace croftrun::runtime {

// Datagram counters over all ports.
struct PortCounters {
  std::uint64_t received = 0, sent = 0;
  std::uint64_t lost = 0;     // could not be sent by the socket
  std::uint64_t dropped = 0;  // received while the receive queue was full
};

// State of the event loop that ports and their coroutines share with the runtime.
struct LoopIteration;
// Connections of destroyed streams that are still being closed in an orderly way.
struct Lingering;

// Runs the event loop.
class AsioRuntime final : public core::Runtime {
 public:
  AsioRuntime();
  ~AsioRuntime() override;

  TimeUs Now() const override;
  std::int64_t WallClockUs() const override;
  core::TimerId StartTimer(TimeUs delay, std::function<void()> due) override;
  void CancelTimer(core::TimerId timer) override;
  std::unique_ptr<core::DatagramPort> OpenPort(const core::Address& local, core::DatagramHandler* handler) override;
  std::unique_ptr<core::Stream> Connect(const core::Address& to, TimeUs timeout, core::StreamHandler* handler) override;
  std::unique_ptr<core::StreamListener> Listen(const core::Address& local, core::StreamAcceptor* acceptor) override;
  std::uint64_t Random() override { return random_(); }
  TimeUs QueueDelay() const override;

  // Runs the event loop until Stop; may be called again after that.
  void Run();
  void Stop() { context_.stop(); }
  boost::asio::io_context& context() { return context_; }
  const PortCounters& counters() const;

 private:
  struct TimerLoop;
  void Rearm();
  static std::shared_ptr<Lingering> MakeLingering();

  boost::asio::io_context context_{1};
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::map<std::pair<TimeUs, core::TimerId>, std::function<void()>> timers_;
  std::unordered_map<core::TimerId, TimeUs> expiry_times_;
  core::TimerId next_timer_ = 1;
  std::shared_ptr<TimerLoop> timer_loop_;
  std::mt19937_64 random_{std::random_device{}()};
  std::shared_ptr<LoopIteration> iteration_;
  std::shared_ptr<Lingering> lingering_ = MakeLingering();
};

}  // namespace croftrun::runtime

#endif  // CROFTRUN_RUNTIME_ASIO_RUNTIME_H_
