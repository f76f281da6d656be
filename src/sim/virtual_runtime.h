// core::Runtime on a virtual clock. Runs with the same seed are identical, as no real clock or socket is used.
//
// Datagrams are delivered to ports by address after a fixed latency. Other network effects are added by wrappers of
// this runtime.
#ifndef CROFTRUN_SIM_VIRTUAL_RUNTIME_H_
#define CROFTRUN_SIM_VIRTUAL_RUNTIME_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/runtime.h"

namespace croftrun::sim {

class VirtualRuntime;

// One side of a simulated connection. Either side can reset it.
class VirtualStream final : public core::Stream {
 public:
  VirtualStream(VirtualRuntime* runtime, const core::Address& remote);
  ~VirtualStream() override;
  void Write(std::string_view bytes) override;
  std::size_t PendingWriteOctets() const override;
  bool HasUnreadInput() const override;
  bool PeerClosed() const override;
  void PauseReading(bool pause) override;
  core::Address Remote() const override { return remote_; }
  // Resets the connection: both sides get StreamEnd::kReset. Data already in transit still arrives.
  void Reset();

 private:
  friend class VirtualRuntime;
  struct End;
  void SendEnd(core::StreamEnd end);

  VirtualRuntime* runtime_;
  std::shared_ptr<End> own_, far_;
  std::shared_ptr<VirtualStream*> alive_;
  core::Address remote_;
  std::string unsent_;  // written before the connection is open
  bool broken_ = false;
};

// The virtual clock with its timers, ports and connections.
class VirtualRuntime final : public core::Runtime {
 public:
  explicit VirtualRuntime(std::uint64_t seed, TimeUs latency_us = 100) : random_(seed), latency_us_(latency_us) {}
  ~VirtualRuntime() override;

  std::int64_t WallClockUs() const override { return wall_clock_offset_us_ + static_cast<std::int64_t>(now_); }
  // Sets the wall clock time that corresponds to Now() == 0.
  void SetWallClock(std::int64_t wall_clock_us) { wall_clock_offset_us_ = wall_clock_us; }
  TimeUs QueueDelay() const override { return queue_delay_us_; }
  // Sets the value returned by QueueDelay, as no real queue builds up in this runtime.
  void SetQueueDelay(TimeUs queue_delay_us) { queue_delay_us_ = queue_delay_us; }
  TimeUs Now() const override { return now_; }
  core::TimerId StartTimer(TimeUs delay, std::function<void()> due) override;
  void CancelTimer(core::TimerId timer) override;
  std::unique_ptr<core::DatagramPort> OpenPort(const core::Address& local, core::DatagramHandler* handler) override;
  std::unique_ptr<core::Stream> Connect(const core::Address& to, TimeUs timeout, core::StreamHandler* handler) override;
  std::unique_ptr<core::StreamListener> Listen(const core::Address& local, core::StreamAcceptor* acceptor) override;
  std::uint64_t Random() override { return random_(); }
  // Sets the local host address of connections opened from now on.
  void SetHost(std::uint32_t host) { host_ = host; }
  // Makes connections to `to` time out while `silent`.
  void SetUnreachable(const core::Address& to, bool unreachable) {
    unreachable ? void(unreachable_.insert(to)) : void(unreachable_.erase(to));
  }

  // Runs all timers up to the time `until` and advances the clock to it.
  void RunUntil(TimeUs until);
  void RunFor(TimeUs span) { RunUntil(now_ + span); }
  // Runs the next timer; returns false if there is none.
  bool Step();
  std::size_t timers() const { return timers_.size(); }

 private:
  friend class VirtualStream;
  // Tries to have the connection accepted after `delay`.
  void OpenConnection(const core::Address& to, const core::Address& from, const std::weak_ptr<VirtualStream*>& weak,
                      TimeUs delay);
  class Port;
  class Listener;
  TimeUs now_ = 1'000'000;
  TimeUs queue_delay_us_ = 0;
  std::int64_t wall_clock_offset_us_ = 1'767'225'600'000'000;  // 2026-01-01
  std::map<std::pair<TimeUs, core::TimerId>, std::function<void()>> timers_;
  std::unordered_map<core::TimerId, TimeUs> expiry_times_;
  core::TimerId next_timer_ = 1;
  std::map<core::Address, Port*> ports_;
  std::map<core::Address, Listener*> listeners_;
  std::set<core::Address> unreachable_;
  std::uint32_t host_ = 0x7f000001;
  std::uint16_t next_port_ = 20000;
  std::mt19937_64 random_;
  TimeUs latency_us_;
};

}  // namespace croftrun::sim

#endif  // CROFTRUN_SIM_VIRTUAL_RUNTIME_H_
