// Streams of the virtual runtime: octets arrive in order after a fixed latency.
#include <system_error>
#include <utility>

#include "sim/virtual_runtime.h"

namespace croftrun::sim {
namespace {

constexpr TimeUs kAcceptRetryDelay = 20'000;

}  // namespace

// Receiving end of one direction, shared by the stream that reads there and the data in transit to it.
struct VirtualStream::End {
  core::StreamHandler* handler = nullptr;  // null: that side was destroyed or has received OnEnd
  bool open = false, paused = false, ended = false;
  core::StreamEnd pending_end = core::StreamEnd::kClosed;
  std::string unread;  // octets received while paused

  void Receive(std::string_view bytes) {
    if (handler == nullptr) return;
    if (paused) {
      unread.append(bytes);
    } else {
      handler->OnBytes(bytes);
    }
  }
  void Finish(core::StreamEnd end) {
    ended = true;
    if (paused && !unread.empty()) return void(pending_end = end);  // reported after the unread octets
    if (core::StreamHandler* const receiver = std::exchange(handler, nullptr)) receiver->OnEnd(end);
  }
};

VirtualStream::VirtualStream(VirtualRuntime* runtime, const core::Address& remote)
    : runtime_(runtime), own_(std::make_shared<End>()), far_(std::make_shared<End>()), remote_(remote) {}

VirtualStream::~VirtualStream() {
  own_->handler = nullptr;
  if (!broken_) SendEnd(core::StreamEnd::kClosed);
}

void VirtualStream::SendEnd(core::StreamEnd end) {
  runtime_->StartTimer(runtime_->latency_us_, [far = far_, end] { far->Finish(end); });
}

void VirtualStream::Write(std::string_view bytes) {
  if (!own_->open) {
    unsent_.append(bytes);
    return;
  }
  runtime_->StartTimer(runtime_->latency_us_, [far = far_, text = std::string(bytes)] { far->Receive(text); });
}

std::size_t VirtualStream::PendingWriteOctets() const { return unsent_.size(); }
bool VirtualStream::HasUnreadInput() const { return !own_->unread.empty(); }
bool VirtualStream::PeerClosed() const { return own_->ended; }

void VirtualStream::PauseReading(bool pause) {
  own_->paused = pause;
  if (pause || own_->unread.empty()) return;
  runtime_->StartTimer(0, [own = own_] {
    own->Receive(std::exchange(own->unread, {}));
    if (own->ended) own->Finish(own->pending_end);
  });
}

void VirtualStream::Reset() {
  broken_ = true;
  SendEnd(core::StreamEnd::kReset);
  runtime_->StartTimer(0, [own = own_] { own->Finish(core::StreamEnd::kReset); });
}

class VirtualRuntime::Listener final : public core::StreamListener {
 public:
  Listener(VirtualRuntime* runtime, const core::Address& local, core::StreamAcceptor* stream_acceptor)
      : acceptor(stream_acceptor), runtime_(runtime), local_(local) {}
  ~Listener() override {
    const auto found = runtime_->listeners_.find(local_);
    if (found != runtime_->listeners_.end() && found->second == this) runtime_->listeners_.erase(found);
  }
  core::Address Local() const override { return local_; }
  bool StopAccepting() override {
    if (runtime_->Now() < connections_wait_until) return false;
    runtime_->listeners_.erase(local_);
    return true;
  }
  core::StreamAcceptor* const acceptor;
  TimeUs connections_wait_until = 0;  // connections in the listen queue are tried again by then

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
                                                      core::StreamHandler* handler) {
  auto stream = std::make_unique<VirtualStream>(this, to);
  stream->own_->handler = handler;
  if (unreachable_.count(to) > 0) {
    StartTimer(timeout, [own = stream->own_] { own->Finish(core::StreamEnd::kTimedOut); });
    return stream;
  }
  // The stream may be destroyed before the connection is open; the shared state is not.
  stream->alive_ = std::make_shared<VirtualStream*>(stream.get());
  OpenConnection(to, core::Address{host_, next_port_++}, stream->alive_, latency_us_);
  return stream;
}

void VirtualRuntime::OpenConnection(const core::Address& to, const core::Address& from,
                                    const std::weak_ptr<VirtualStream*>& weak, TimeUs delay) {
  StartTimer(delay, [this, to, from, weak] {
    const auto alive = weak.lock();
    if (alive == nullptr) return;
    const auto own = (*alive)->own_, far = (*alive)->far_;
    const auto listener = listeners_.find(to);
    if (listener == listeners_.end()) return own->Finish(core::StreamEnd::kRefused);
    // As in a real listen queue, the connection and the data written to it wait until it can be accepted.
    if (!listener->second->acceptor->CanAccept()) {
      listener->second->connections_wait_until = Now() + kAcceptRetryDelay + 1;
      return OpenConnection(to, from, weak, kAcceptRetryDelay);
    }
    auto accepted = std::make_unique<VirtualStream>(this, from);
    accepted->own_ = far;
    accepted->far_ = own;
    far->open = own->open = true;
    VirtualStream& opened = **alive;
    own->handler->OnOpen();
    if (own->handler != nullptr && !opened.unsent_.empty()) opened.Write(std::exchange(opened.unsent_, {}));
    // The stream is passed to the acceptor, which returns its handler.
    core::StreamHandler* const accepting = listener->second->acceptor->OnAccept(std::move(accepted));
    far->handler = accepting;
  });
}

}  // namespace croftrun::sim
