#include "sim/virtual_runtime.h"

#include <algorithm>
#include <system_error>

namespace croftrun::sim {

class VirtualRuntime::Port final : public core::DatagramPort {
 public:
  Port(VirtualRuntime* runtime, const core::Address& local, core::DatagramHandler* datagram_handler)
      : handler(datagram_handler), runtime_(runtime), local_(local) {}
  ~Port() override {
    if (runtime_ != nullptr) runtime_->ports_.erase(local_);
  }
  void Send(const core::Address& to, std::string_view bytes) override {
    if (runtime_ == nullptr) return;
    VirtualRuntime* const runtime = runtime_;
    runtime->StartTimer(runtime->latency_us_, [runtime, to, from = local_, text = std::string(bytes)] {
      // If no port is open there, the datagram is lost.
      const auto port = runtime->ports_.find(to);
      if (port != runtime->ports_.end() && port->second->handler->ShouldReceive(from, text))
        port->second->handler->OnDatagram(from, text);
    });
  }
  core::Address Local() const override { return local_; }
  void Orphan() { runtime_ = nullptr; }

  core::DatagramHandler* const handler;

 private:
  VirtualRuntime* runtime_;
  core::Address local_;
};

VirtualRuntime::~VirtualRuntime() {
  for (auto& [address, port] : ports_) port->Orphan();
}

core::TimerId VirtualRuntime::StartTimer(TimeUs delay, std::function<void()> due) {
  const core::TimerId id = next_timer_++;
  timers_.emplace(std::make_pair(now_ + delay, id), std::move(due));
  expiry_times_.emplace(id, now_ + delay);
  return id;
}

void VirtualRuntime::CancelTimer(core::TimerId timer) {
  const auto found = expiry_times_.find(timer);
  if (found == expiry_times_.end()) return;
  timers_.erase({found->second, timer});
  expiry_times_.erase(found);
}

std::unique_ptr<core::DatagramPort> VirtualRuntime::OpenPort(const core::Address& local,
                                                             core::DatagramHandler* handler) {
  auto port = std::make_unique<Port>(this, local, handler);
  if (!ports_.emplace(local, port.get()).second) {
    port->Orphan();
    throw std::system_error(std::make_error_code(std::errc::address_in_use), core::ToString(local));
  }
  return port;
}

bool VirtualRuntime::Step() {
  if (timers_.empty()) return false;
  auto node = timers_.extract(timers_.begin());
  expiry_times_.erase(node.key().second);
  now_ = std::max(now_, node.key().first);
  node.mapped()();
  return true;
}

void VirtualRuntime::RunUntil(TimeUs until) {
  while (!timers_.empty() && timers_.begin()->first.first <= until) Step();
  now_ = std::max(now_, until);
}

}  // namespace croftrun::sim
