#include "sim/stallable_runtime.h"

#include <algorithm>
#include <string>
#include <utility>

namespace croftrun::sim {

class StallableRuntime::Port final : public core::DatagramPort, public core::DatagramHandler {
 public:
  Port(StallableRuntime* owner, const core::Address& local, core::DatagramHandler* handler)
      : owner_(owner), handler_(handler), port_(owner->wrapped_->OpenPort(local, this)) {}
  ~Port() override { *open_ = false; }
  void Send(const core::Address& to, std::string_view bytes) override { port_->Send(to, bytes); }
  core::Address Local() const override { return port_->Local(); }
  bool ShouldReceive(const core::Address& from, std::string_view bytes) override {
    return handler_->ShouldReceive(from, bytes);
  }
  void OnDatagram(const core::Address& from, std::string_view bytes) override {
    if (!owner_->stalled_) return handler_->OnDatagram(from, bytes);
    owner_->RunOrHold(core::kNoTimer, [open = open_, handler = handler_, from, text = std::string(bytes)] {
      if (*open) handler->OnDatagram(from, text);
    });
  }

 private:
  StallableRuntime* owner_;
  core::DatagramHandler* handler_;
  std::shared_ptr<bool> open_ = std::make_shared<bool>(true);
  std::unique_ptr<core::DatagramPort> port_;
};

StallableRuntime::~StallableRuntime() {
  *alive_ = false;
  for (const auto& [own, wrapped] : timers_) wrapped_->CancelTimer(wrapped);
}

void StallableRuntime::RunOrHold(core::TimerId timer, std::function<void()> work) {
  if (stalled_) {
    held_.push_back({Now(), timer, std::move(work)});
  } else {
    work();
  }
}

core::TimerId StallableRuntime::StartTimer(TimeUs delay, std::function<void()> due) {
  const core::TimerId id = next_timer_++;
  timers_[id] = wrapped_->StartTimer(delay, [this, id, due = std::move(due)]() mutable {
    timers_.erase(id);
    RunOrHold(id, std::move(due));
  });
  return id;
}

void StallableRuntime::CancelTimer(core::TimerId timer) {
  if (const auto found = timers_.find(timer); found != timers_.end()) {
    wrapped_->CancelTimer(found->second);
    timers_.erase(found);
    return;
  }
  std::erase_if(held_, [timer](const HeldWork& w) { return timer != core::kNoTimer && w.timer == timer; });
}

std::unique_ptr<core::DatagramPort> StallableRuntime::OpenPort(const core::Address& local,
                                                               core::DatagramHandler* handler) {
  return std::make_unique<Port>(this, local, handler);
}

void StallableRuntime::SetStalled(bool stalled) {
  stalled_ = stalled;
  const std::shared_ptr<bool> alive = alive_;
  while (*alive && !stalled_ && !held_.empty()) {
    const HeldWork next = std::move(held_.front());
    held_.pop_front();
    queue_delay_ = Now() - next.at;
    next.work();
  }
  if (*alive) queue_delay_ = 0;
}

}  // namespace croftrun::sim
