// Package sim: the Runtime on virtual time. Same seed, same run: nothing here reads a clock or a socket.
//
// Ports are delivered to by address after a fixed latency; whatever else a network does to datagrams is added by
// whoever wraps this runtime.
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

// One side of a connection. Either side may break it, which the other sees as a reset.
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
  // Both sides are told of a reset; what is on its way before it still arrives.
  void Break();

 private:
  friend class VirtualRuntime;
  struct End;
  void Tell(core::StreamEnd end);

  VirtualRuntime* runtime_;
  std::shared_ptr<End> own_, far_;
  std::shared_ptr<VirtualStream*> alive_;
  core::Address remote_;
  std::string waiting_;  // until the connection is up
  bool broken_ = false;
};

class VirtualRuntime final : public core::Runtime {
 public:
  explicit VirtualRuntime(std::uint64_t seed, TimeUs latency_us = 100) : random_(seed), latency_us_(latency_us) {}
  ~VirtualRuntime() override;

  std::int64_t WallClockUs() const override { return wall_us_ + static_cast<std::int64_t>(now_); }
  // What the clock on the wall shows when Now() is 0.
  void SetWall(std::int64_t wall_us) { wall_us_ = wall_us; }
  TimeUs QueueDelay() const override { return backlog_us_; }
  // What work is said to have waited before it is looked at: the test's to choose, as nothing waits here.
  void SetBacklog(TimeUs backlog_us) { backlog_us_ = backlog_us; }
  TimeUs Now() const override { return now_; }
  core::TimerId StartTimer(TimeUs delay, std::function<void()> due) override;
  void CancelTimer(core::TimerId timer) override;
  std::unique_ptr<core::DatagramPort> OpenPort(const core::Address& local, core::DatagramHandler* sink) override;
  std::unique_ptr<core::Stream> Connect(const core::Address& to, TimeUs timeout, core::StreamHandler* sink) override;
  std::unique_ptr<core::StreamListener> Listen(const core::Address& local, core::StreamAcceptor* acceptor) override;
  std::uint64_t Random() override { return random_(); }
  // Connections from now on come from this host; those to `to` never come up while it is silent.
  void SetHost(std::uint32_t host) { host_ = host; }
  void SetSilent(const core::Address& to, bool silent) { silent ? void(silent_.insert(to)) : void(silent_.erase(to)); }

  // Runs what falls due up to `until`, which becomes the present.
  void RunUntil(TimeUs until);
  void RunFor(TimeUs span) { RunUntil(now_ + span); }
  // Runs the next thing due; false if there is none.
  bool Step();
  std::size_t timers() const { return timers_.size(); }

 private:
  friend class VirtualStream;
  // Tries to have the connection accepted, `after` from now.
  void ComeUp(const core::Address& to, const core::Address& from, const std::weak_ptr<VirtualStream*>& weak,
              TimeUs after);
  class Port;
  class Listener;
  TimeUs now_ = 1'000'000;
  TimeUs backlog_us_ = 0;
  std::int64_t wall_us_ = 1'767'225'600'000'000;  // 2026-01-01
  std::map<std::pair<TimeUs, core::TimerId>, std::function<void()>> timers_;
  std::unordered_map<core::TimerId, TimeUs> due_at_;
  core::TimerId next_timer_ = 1;
  std::map<core::Address, Port*> ports_;
  std::map<core::Address, Listener*> listeners_;
  std::set<core::Address> silent_;
  std::uint32_t host_ = 0x7f000001;
  std::uint16_t next_port_ = 20000;
  std::mt19937_64 random_;
  TimeUs latency_us_;
};

}  // namespace croftrun::sim

#endif  // CROFTRUN_SIM_VIRTUAL_RUNTIME_H_
