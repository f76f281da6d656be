// The Runtime on real sockets: Boost.Asio with C++20 coroutines.
//
// One io_context, one thread. Each port has one coroutine that receives, the timers have one that waits; each is
// owned by its object and ends with it.
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

struct PortCounters {
  std::uint64_t received = 0, sent = 0;
  std::uint64_t lost = 0;     // the socket would not take it
  std::uint64_t dropped = 0;  // arrived while the queue of the process was full
};

// State that ports and their coroutines share with the runtime.
struct Turn;
// Streams that are gone and whose connections are closing in order.
struct Lingering;

class AsioRuntime final : public core::Runtime {
 public:
  AsioRuntime();
  ~AsioRuntime() override;

  TimeUs Now() const override;
  std::int64_t WallClockUs() const override;
  core::TimerId StartTimer(TimeUs delay, std::function<void()> due) override;
  void CancelTimer(core::TimerId timer) override;
  std::unique_ptr<core::DatagramPort> OpenPort(const core::Address& local, core::DatagramHandler* sink) override;
  std::unique_ptr<core::Stream> Connect(const core::Address& to, TimeUs timeout, core::StreamHandler* sink) override;
  std::unique_ptr<core::StreamListener> Listen(const core::Address& local, core::StreamAcceptor* acceptor) override;
  std::uint64_t Random() override { return random_(); }
  TimeUs QueueDelay() const override;

  // Runs until Stop; may be run again after it.
  void Run();
  void Stop() { context_.stop(); }
  boost::asio::io_context& context() { return context_; }
  const PortCounters& counters() const;

 private:
  struct Waiting;
  void Rearm();
  static std::shared_ptr<Lingering> MakeLingering();

  boost::asio::io_context context_{1};
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::map<std::pair<TimeUs, core::TimerId>, std::function<void()>> timers_;
  std::unordered_map<core::TimerId, TimeUs> due_at_;
  core::TimerId next_timer_ = 1;
  std::shared_ptr<Waiting> waiting_;
  std::mt19937_64 random_{std::random_device{}()};
  std::shared_ptr<Turn> turn_;
  std::shared_ptr<Lingering> lingering_ = MakeLingering();
};

}  // namespace croftrun::runtime

#endif  // CROFTRUN_RUNTIME_ASIO_RUNTIME_H_
