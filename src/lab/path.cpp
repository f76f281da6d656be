#include "lab/path.h"

#include <string>

namespace croftrun::lab {

// Records datagrams on the edge's side of the impairments: a datagram that an edge sent is recorded as sent even if it
// is lost afterwards.
class Path::Port final : public core::DatagramPort, public core::DatagramHandler {
 public:
  Port(Path* path, const core::Address& local, core::DatagramHandler* handler)
      : path_(path),
        handler_(handler),
        alive_(std::make_shared<bool>(true)),
        port_(path->runtime_->OpenPort(local, this)) {}
  ~Port() override { *alive_ = false; }

  void Send(const core::Address& to, std::string_view bytes) override {
    if (!path_->impairments_.HasAny()) return Deliver(to, bytes);
    path_->ApplyImpairments([this, alive = alive_, to, text = std::string(bytes)] {
      if (*alive) Deliver(to, text);
    });
  }
  core::Address Local() const override { return port_->Local(); }

  void OnDatagram(const core::Address& from, std::string_view bytes) override {
    path_->trace_->RecordDatagram(from, Local(), bytes);
    if (!path_->impairments_.HasAny()) return handler_->OnDatagram(from, bytes);
    path_->ApplyImpairments([this, alive = alive_, from, text = std::string(bytes)] {
      if (*alive) handler_->OnDatagram(from, text);
    });
  }

 private:
  void Deliver(const core::Address& to, std::string_view bytes) {
    path_->trace_->RecordDatagram(Local(), to, bytes);
    port_->Send(to, bytes);
  }

  Path* path_;
  core::DatagramHandler* handler_;
  std::shared_ptr<bool> alive_;  // delayed datagrams may be delivered after the port was closed
  std::unique_ptr<core::DatagramPort> port_;
};

std::unique_ptr<core::DatagramPort> Path::OpenPort(const core::Address& local, core::DatagramHandler* handler) {
  return std::make_unique<Port>(this, local, handler);
}

void Path::ApplyImpairments(std::function<void()> deliver) {
  if (UniformRandom() < impairments_.loss) return;
  const int copies = UniformRandom() < impairments_.duplicated ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (UniformRandom() < impairments_.delayed) {
      runtime_->StartTimer(static_cast<TimeUs>(UniformRandom() * static_cast<double>(impairments_.max_delay_us)),
                           deliver);
    } else {
      deliver();
    }
  }
}

}  // namespace croftrun::lab
