// Streams of the virtual runtime: octets arrive after the fixed latency, in order.
#include <system_error>
#include <utility>

#include "sim/virtual_runtime.h"

namespace croftrun::sim {
namespace {

constexpr TimeUs kAcceptPause = 20'000;

}  // namespace

// One direction's receiving end, shared by the stream that reads there and whatever is on its way to it.
struct VirtualStream::End {
  core::StreamHandler* sink = nullptr;  // null: that side is gone, or was told the end
  bool open = false, paused = false, over = false;
  core::StreamEnd how = core::StreamEnd::kClosed;
  std::string kept;  // arrived while paused

  void Bytes(std::string_view bytes) {
    if (sink == nullptr) return;
    if (paused) {
      kept.append(bytes);
    } else {
      sink->OnBytes(bytes);
    }
  }
  void Finish(core::StreamEnd end) {
    over = true;
    if (paused && !kept.empty()) return void(how = end);  // told behind what lies unread
    if (core::StreamHandler* const told = std::exchange(sink, nullptr)) told->OnEnd(end);
  }
};

VirtualStream::VirtualStream(VirtualRuntime* runtime, const core::Address& remote)
    : runtime_(runtime), own_(std::make_shared<End>()), far_(std::make_shared<End>()), remote_(remote) {}

VirtualStream::~VirtualStream() {
  own_->sink = nullptr;
  if (!broken_) Tell(core::StreamEnd::kClosed);
}

void VirtualStream::Tell(core::StreamEnd end) {
  runtime_->StartTimer(runtime_->latency_us_, [far = far_, end] { far->Finish(end); });
}

void VirtualStream::Write(std::string_view bytes) {
  if (!own_->open) {
    waiting_.append(bytes);
    return;
  }
  runtime_->StartTimer(runtime_->latency_us_, [far = far_, text = std::string(bytes)] { far->Bytes(text); });
}

std::size_t VirtualStream::PendingWriteOctets() const { return waiting_.size(); }
bool VirtualStream::HasUnreadInput() const { return !own_->kept.empty(); }
bool VirtualStream::PeerClosed() const { return own_->over; }

void VirtualStream::PauseReading(bool pause) {
  own_->paused = pause;
  if (pause || own_->kept.empty()) return;
  runtime_->StartTimer(0, [own = own_] {
    own->Bytes(std::exchange(own->kept, {}));
    if (own->over) own->Finish(own->how);
  });
}

void VirtualStream::Break() {
  broken_ = true;
  Tell(core::StreamEnd::kReset);
  runtime_->StartTimer(0, [own = own_] { own->Finish(core::StreamEnd::kReset); });
}

class VirtualRuntime::Listener final : public core::StreamListener {
 public:
  Listener(VirtualRuntime* runtime, const core::Address& local, core::StreamAcceptor* a)
      : acceptor(a), runtime_(runtime), local_(local) {}
  ~Listener() override { runtime_->listeners_.erase(local_); }
  core::Address Local() const override { return local_; }
  core::StreamAcceptor* const acceptor;

 private:
  VirtualRuntime* runtime_;
  core::Address local_;
};

std::unique_ptr<core::StreamListener> VirtualRuntime::Listen(const core::Address& local,
                                                             core::StreamAcceptor* acceptor) {
  auto listener = std::make_unique<Listener>(this, local, acceptor);
  if (!listeners_.emplace(local, listener.get()).second)
    throw std::system_error(std::make_error_code(std::errc::address_in_use), core::ToString(local));
  return listener;
}

std::unique_ptr<core::Stream> VirtualRuntime::Connect(const core::Address& to, TimeUs timeout,
                                                      core::StreamHandler* sink) {
  auto stream = std::make_unique<VirtualStream>(this, to);
  stream->own_->sink = sink;
  if (silent_.count(to) > 0) {
    StartTimer(timeout, [own = stream->own_] { own->Finish(core::StreamEnd::kTimedOut); });
    return stream;
  }
  // The stream may be gone when the connection comes up; what it shares is not.
  stream->alive_ = std::make_shared<VirtualStream*>(stream.get());
  ComeUp(to, core::Address{host_, next_port_++}, stream->alive_, latency_us_);
  return stream;
}

void VirtualRuntime::ComeUp(const core::Address& to, const core::Address& from,
                            const std::weak_ptr<VirtualStream*>& weak, TimeUs after) {
  StartTimer(after, [this, to, from, weak] {
    const auto alive = weak.lock();
    if (alive == nullptr) return;
    const auto own = (*alive)->own_, far = (*alive)->far_;
    const auto listener = listeners_.find(to);
    if (listener == listeners_.end()) return own->Finish(core::StreamEnd::kRefused);
    // It waits to be accepted, as behind a real listener, and what is written to it waits with it.
    if (!listener->second->acceptor->CanAccept()) return ComeUp(to, from, weak, kAcceptPause);
    auto accepted = std::make_unique<VirtualStream>(this, from);
    accepted->own_ = far;
    accepted->far_ = own;
    far->open = own->open = true;
    VirtualStream& opened = **alive;
    own->sink->OnOpen();
    if (own->sink != nullptr && !opened.waiting_.empty()) opened.Write(std::exchange(opened.waiting_, {}));
    // Held by the call below until the acceptor has it; its sink is known only after that.
    core::StreamHandler* const accepting = listener->second->acceptor->OnAccept(std::move(accepted));
    far->sink = accepting;
  });
}

}  // namespace croftrun::sim
