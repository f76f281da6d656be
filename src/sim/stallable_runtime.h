// A runtime that can be stalled like a process that gets no processor time. The clock continues, but timers and
// datagrams are held back. When the stall ends, everything that accumulated is delivered at once and in order.
#ifndef CROFTRUN_SIM_STALLABLE_RUNTIME_H_
#define CROFTRUN_SIM_STALLABLE_RUNTIME_H_

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "core/runtime.h"

namespace croftrun::sim {

// Forwards to the runtime `wrapped`, which must outlive it. Its timers are cancelled when it is destroyed.
class StallableRuntime final : public core::Runtime {
 public:
  explicit StallableRuntime(core::Runtime* wrapped) : wrapped_(wrapped) {}
  ~StallableRuntime() override;

  // Starts or ends a stall.
  void SetStalled(bool stalled);

  TimeUs Now() const override { return wrapped_->Now(); }
  std::int64_t WallClockUs() const override { return wrapped_->WallClockUs(); }
  core::TimerId StartTimer(TimeUs delay, std::function<void()> due) override;
  void CancelTimer(core::TimerId timer) override;
  std::unique_ptr<core::DatagramPort> OpenPort(const core::Address& local, core::DatagramHandler* handler) override;
  std::uint64_t Random() override { return wrapped_->Random(); }
  TimeUs QueueDelay() const override { return queue_delay_; }

 private:
  class Port;
  struct HeldWork {
    TimeUs at = 0;
    core::TimerId timer = core::kNoTimer;  // kNoTimer: a datagram
    std::function<void()> work;
  };
  // Runs `work` now, or queues it during a stall.
  void RunOrHold(core::TimerId timer, std::function<void()> work);

  core::Runtime* wrapped_;
  bool stalled_ = false;
  TimeUs queue_delay_ = 0;
  core::TimerId next_timer_ = 1;
  std::unordered_map<core::TimerId, core::TimerId> timers_;  // own timer to timer of the wrapped runtime
  std::deque<HeldWork> held_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace croftrun::sim

#endif  // CROFTRUN_SIM_STALLABLE_RUNTIME_H_
