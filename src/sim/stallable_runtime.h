// A runtime that can be made to stand still, as a process does that gets no processor: its clock goes on, but
// no timer and no datagram is worked on until it goes on, and then all that came meanwhile is there at once,
// in order.
#ifndef CROFTRUN_SIM_STALLABLE_RUNTIME_H_
#define CROFTRUN_SIM_STALLABLE_RUNTIME_H_

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "core/runtime.h"

namespace croftrun::sim {

// `under` outlives it; everything opened or started here ends with it.
class StallableRuntime final : public core::Runtime {
 public:
  explicit StallableRuntime(core::Runtime* under) : under_(under) {}
  ~StallableRuntime() override;

  void Stall(bool stands_still);

  TimeUs Now() const override { return under_->Now(); }
  std::int64_t WallClockUs() const override { return under_->WallClockUs(); }
  core::TimerId StartTimer(TimeUs delay, std::function<void()> due) override;
  void CancelTimer(core::TimerId timer) override;
  std::unique_ptr<core::DatagramPort> OpenPort(const core::Address& local, core::DatagramHandler* sink) override;
  std::uint64_t Random() override { return under_->Random(); }
  TimeUs QueueDelay() const override { return backlog_; }

 private:
  class Port;
  struct Waiting {
    TimeUs at = 0;
    core::TimerId timer = core::kNoTimer;  // or a datagram
    std::function<void()> what;
  };
  void Do(core::TimerId timer, std::function<void()> what);

  core::Runtime* under_;
  bool still_ = false;
  TimeUs backlog_ = 0;
  core::TimerId next_ = 1;
  std::unordered_map<core::TimerId, core::TimerId> timers_;  // of this one to that under it
  std::deque<Waiting> waiting_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace croftrun::sim

#endif  // CROFTRUN_SIM_STALLABLE_RUNTIME_H_
