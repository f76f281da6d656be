#include "lab/path.h"

#include <string>

namespace croftrun::lab {

// Records on the near side of the faults: what an edge sent counts as sent though it is then lost.
class Path::Port final : public core::DatagramPort, public core::DatagramHandler {
 public:
  Port(Path* path, const core::Address& local, core::DatagramHandler* sink)
      : path_(path), sink_(sink), alive_(std::make_shared<bool>(true)), port_(path->runtime_->OpenPort(local, this)) {}
  ~Port() override { *alive_ = false; }

  void Send(const core::Address& to, std::string_view bytes) override {
    if (!path_->faults_.Any()) return Deliver(to, bytes);
    path_->Carry([this, alive = alive_, to, text = std::string(bytes)] {
      if (*alive) Deliver(to, text);
    });
  }
  core::Address Local() const override { return port_->Local(); }

  void OnDatagram(const core::Address& from, std::string_view bytes) override {
    path_->trace_->RecordDatagram(from, Local(), bytes);
    if (!path_->faults_.Any()) return sink_->OnDatagram(from, bytes);
    path_->Carry([this, alive = alive_, from, text = std::string(bytes)] {
      if (*alive) sink_->OnDatagram(from, text);
    });
  }

 private:
  void Deliver(const core::Address& to, std::string_view bytes) {
    path_->trace_->RecordDatagram(Local(), to, bytes);
    port_->Send(to, bytes);
  }

  Path* path_;
  core::DatagramHandler* sink_;
  std::shared_ptr<bool> alive_;  // datagrams held back may come due after the port is gone
  std::unique_ptr<core::DatagramPort> port_;
};

std::unique_ptr<core::DatagramPort> Path::OpenPort(const core::Address& local, core::DatagramHandler* sink) {
  return std::make_unique<Port>(this, local, sink);
}

void Path::Carry(std::function<void()> deliver) {
  if (Unit() < faults_.loss) return;
  const int copies = Unit() < faults_.doubled ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (Unit() < faults_.late) {
      runtime_->StartTimer(static_cast<TimeUs>(Unit() * static_cast<double>(faults_.late_us)), deliver);
    } else {
      deliver();
    }
  }
}

}  // namespace croftrun::lab
