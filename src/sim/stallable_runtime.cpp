#include "sim/stallable_runtime.h"

#include <algorithm>
#include <string>
#include <utility>

namespace croftrun::sim {

class StallableRuntime::Port final : public core::DatagramPort, public core::DatagramHandler {
 public:
  Port(StallableRuntime* owner, const core::Address& local, core::DatagramHandler* sink)
      : owner_(owner), sink_(sink), port_(owner->under_->OpenPort(local, this)) {}
  ~Port() override { *open_ = false; }
  void Send(const core::Address& to, std::string_view bytes) override { port_->Send(to, bytes); }
  core::Address Local() const override { return port_->Local(); }
  bool ShouldReceive(const core::Address& from, std::string_view bytes) override {
    return sink_->ShouldReceive(from, bytes);
  }
  void OnDatagram(const core::Address& from, std::string_view bytes) override {
    if (!owner_->still_) return sink_->OnDatagram(from, bytes);
    owner_->Do(core::kNoTimer, [open = open_, sink = sink_, from, text = std::string(bytes)] {
      if (*open) sink->OnDatagram(from, text);
    });
  }

 private:
  StallableRuntime* owner_;
  core::DatagramHandler* sink_;
  std::shared_ptr<bool> open_ = std::make_shared<bool>(true);
  std::unique_ptr<core::DatagramPort> port_;
};

StallableRuntime::~StallableRuntime() {
  *alive_ = false;
  for (const auto& [own, under] : timers_) under_->CancelTimer(under);
}

void StallableRuntime::Do(core::TimerId timer, std::function<void()> what) {
  if (still_) {
    waiting_.push_back({Now(), timer, std::move(what)});
  } else {
    what();
  }
}

core::TimerId StallableRuntime::StartTimer(TimeUs delay, std::function<void()> due) {
  const core::TimerId id = next_++;
  timers_[id] = under_->StartTimer(delay, [this, id, due = std::move(due)]() mutable {
    timers_.erase(id);
    Do(id, std::move(due));
  });
  return id;
}

void StallableRuntime::CancelTimer(core::TimerId timer) {
  if (const auto found = timers_.find(timer); found != timers_.end()) {
    under_->CancelTimer(found->second);
    timers_.erase(found);
    return;
  }
  std::erase_if(waiting_, [timer](const Waiting& w) { return timer != core::kNoTimer && w.timer == timer; });
}

std::unique_ptr<core::DatagramPort> StallableRuntime::OpenPort(const core::Address& local,
                                                               core::DatagramHandler* sink) {
  return std::make_unique<Port>(this, local, sink);
}

void StallableRuntime::Stall(bool stands_still) {
  still_ = stands_still;
  const std::shared_ptr<bool> alive = alive_;
  while (*alive && !still_ && !waiting_.empty()) {
    const Waiting next = std::move(waiting_.front());
    waiting_.pop_front();
    backlog_ = Now() - next.at;
    next.what();
  }
  if (*alive) backlog_ = 0;
}

}  // namespace croftrun::sim
