// The one seam between the product and the machine: clock, timers, datagrams, streams and randomness.
//
// Everything but the programs' own start-up runs on a Runtime and on nothing else of the operating system, so the
// same code runs on sockets (runtime/asio_runtime.h) and on virtual time. All calls to and from a Runtime happen on
// one thread. Times are microseconds of a clock that only advances.
#ifndef CROFTRUN_CORE_RUNTIME_H_
#define CROFTRUN_CORE_RUNTIME_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "croftrun/call_controller.h"

namespace croftrun::core {

// An IPv4 address and port, in host order.
struct Address {
  std::uint32_t host = 0;
  std::uint16_t port = 0;
  friend auto operator<=>(const Address&, const Address&) = default;
};

// Receives what arrives at a port. Owned by whoever opened the port, and outlives it.
class DatagramHandler {
 public:
  virtual ~DatagramHandler() = default;
  virtual void OnDatagram(const Address& from, std::string_view bytes) = 0;
  // Asked as a datagram is read off the socket, before it takes room or time in any queue. False: it is dropped there.
  virtual bool ShouldReceive(const Address&, std::string_view) { return true; }
};

// A bound datagram port; closed when destroyed. Sending never blocks and never fails to the caller: what the
// network cannot take is lost, as the network may lose anything (counted by the implementation).
class DatagramPort {
 public:
  virtual ~DatagramPort() = default;
  virtual void Send(const Address& to, std::string_view bytes) = 0;
  virtual Address Local() const = 0;
};

// How a stream came to its end, as far as this side can tell.
enum class StreamEnd : std::uint8_t {
  kClosed,    // the far end closed it in order
  kReset,     // it was open and broke: what was written last may or may not have been read
  kRefused,   // never open: nothing listens there, nothing was read
  kTimedOut,  // never open within the time given
};

// Receives what becomes of a stream. Owned by whoever owns the stream, and outlives it. It may destroy the stream from
// within any of these calls; nothing is called after that.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  // A stream of Runtime::Connect is open. Not called for an accepted one, which is open from the start.
  virtual void OnOpen() {}
  // Some octets, in order; at most kMaxStreamRead at once, then others get their turn.
  virtual void OnBytes(std::string_view bytes) = 0;
  // Once, and nothing after it. Not called when this side destroys the stream.
  virtual void OnEnd(StreamEnd end) = 0;
};

inline constexpr std::size_t kMaxStreamRead = 16 << 10;

// One connection; closed in order when destroyed: what was written still goes out, and what the far end sends meanwhile
// is read and dropped for a short while, as octets left unread would make a reset of the close and take the last answer
// along. Bounded in time, in octets and in number: see the implementation.
class Stream {
 public:
  virtual ~Stream() = default;
  // Never blocks. What the network does not take now waits in this process: see PendingWriteOctets. Before OnOpen it
  // waits too.
  virtual void Write(std::string_view bytes) = 0;
  // Octets that wait to be written. The owner bounds them, by destroying a stream whose far end does not read.
  virtual std::size_t PendingWriteOctets() const = 0;
  // Octets have arrived that were not told yet: to close it now would lose them.
  virtual bool HasUnreadInput() const = 0;
  // The far end has closed or reset it; its OnEnd is still to come, behind whatever is unread.
  virtual bool PeerClosed() const = 0;
  // Reading stops and goes on: what arrives meanwhile stays with the network.
  virtual void PauseReading(bool pause) = 0;
  virtual Address Remote() const = 0;
};

class StreamAcceptor {
 public:
  virtual ~StreamAcceptor() = default;
  // Returns the sink of the new stream, which the acceptor owns from now on; null: it is closed at once.
  virtual StreamHandler* OnAccept(std::unique_ptr<Stream> stream) = 0;
  // Asked before one that waits is accepted. False: it stays with the network, and is asked for again soon.
  virtual bool CanAccept() { return true; }
  // No descriptor was left for one that waits; it is tried again soon. A stream may be given up for it.
  virtual void OnDescriptorsExhausted() {}
};

// Accepts while it lives.
class StreamListener {
 public:
  virtual ~StreamListener() = default;
  virtual Address Local() const = 0;
};

using TimerId = std::uint64_t;
inline constexpr TimerId kNoTimer = 0;

class Runtime {
 public:
  virtual ~Runtime() = default;
  virtual TimeUs Now() const = 0;
  // Unix time in microseconds, for the calendar only: it may step either way at any time.
  virtual std::int64_t WallClockUs() const = 0;
  // Calls `due` once, not before `delay` microseconds from now and never from within this call.
  virtual TimerId StartTimer(TimeUs delay, std::function<void()> due) = 0;
  // Harmless for a timer that is over; after it, `due` is not called.
  virtual void CancelTimer(TimerId timer) = 0;
  // Throws std::system_error where the address cannot be bound.
  virtual std::unique_ptr<DatagramPort> OpenPort(const Address& local, DatagramHandler* sink) = 0;
  // Opens a stream to `to`; what becomes of it is told to `sink`, never from within this call. A runtime that carries
  // no streams throws std::system_error from both, as the second does where the address cannot be bound.
  virtual std::unique_ptr<Stream> Connect(const Address& to, TimeUs timeout, StreamHandler* sink);
  virtual std::unique_ptr<StreamListener> Listen(const Address& local, StreamAcceptor* acceptor);
  virtual std::uint64_t Random() = 0;
  // How long what is being worked on now has waited since it reached this process: the measure of own overload.
  virtual TimeUs QueueDelay() const { return 0; }
};

// A timer that its owner holds: cancelled when replaced or destroyed.
class Timer {
 public:
  explicit Timer(Runtime* runtime) : runtime_(runtime) {}
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { Stop(); }
  void Start(TimeUs delay, std::function<void()> due) {
    Stop();
    id_ = runtime_->StartTimer(delay, [this, due = std::move(due)] {
      id_ = kNoTimer;
      due();
    });
  }
  void Stop() {
    if (id_ != kNoTimer) runtime_->CancelTimer(id_);
    id_ = kNoTimer;
  }
  bool Running() const { return id_ != kNoTimer; }

 private:
  Runtime* runtime_;
  TimerId id_ = kNoTimer;
};

// "127.0.0.1:2427"; false on anything else, with `*address` unchanged.
bool ParseAddress(std::string_view text, Address* address);
std::string ToString(const Address& address);

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_RUNTIME_H_
