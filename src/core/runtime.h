// Interface to the operating system: clock, timers, datagrams, streams and random numbers.
//
// Except for program start-up, all code uses the operating system through a Runtime only, so that the same code runs on
// sockets (runtime/asio_runtime.h) and on virtual time (sim/virtual_runtime.h). All calls to and from a Runtime happen
// on one thread. Times are microseconds of a monotonic clock.
#ifndef CROFTRUN_CORE_RUNTIME_H_
#define CROFTRUN_CORE_RUNTIME_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "croftrun/call_controller.h"

namespace croftrun::core {

// An IPv4 address and port in host byte order.
struct Address {
  std::uint32_t host = 0;
  std::uint16_t port = 0;
  friend auto operator<=>(const Address&, const Address&) = default;
};

// Receives the datagrams of a port. Owned by the caller of OpenPort; must outlive the port.
class DatagramHandler {
 public:
  virtual ~DatagramHandler() = default;
  virtual void OnDatagram(const Address& from, std::string_view bytes) = 0;
  // Called when a datagram is read from the socket, before it is queued. Returns false to drop it there.
  virtual bool ShouldReceive(const Address&, std::string_view) { return true; }
};

// A bound datagram port; closed when destroyed. Sending never blocks and never reports an error: a datagram that cannot
// be sent is lost, as in the network, and counted by the implementation.
class DatagramPort {
 public:
  virtual ~DatagramPort() = default;
  virtual void Send(const Address& to, std::string_view bytes) = 0;
  virtual Address Local() const = 0;
};

// How a stream ended, as seen from this side.
enum class StreamEnd : std::uint8_t {
  kClosed,    // the far end closed it in an orderly way
  kReset,     // the open connection was lost: data written last may or may not have been received
  kRefused,   // the connection was refused: nothing listens there, no data was received
  kTimedOut,  // the connection was not established within the time-out
};

// Receives the events of a stream. Belongs to the owner of the stream and must outlive it. It may destroy the stream
// from within any of these calls; no further calls are made after that.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  // A stream created by Runtime::Connect is open. Not called for accepted streams, which are open from the start.
  virtual void OnOpen() {}
  // Received octets, in order; at most kMaxStreamRead per call, so that other connections get their turn.
  virtual void OnBytes(std::string_view bytes) = 0;
  // Called once, as the last call. Not called when this side destroys the stream.
  virtual void OnEnd(StreamEnd end) = 0;
};

inline constexpr std::size_t kMaxStreamRead = 16 << 10;

// A connection; closed in an orderly way when destroyed. Data already written is still sent, and incoming data is read
// and discarded for a short time: unread octets would turn the close into a reset, and the far end could lose the last
// answer. This lingering is bounded in time, octets and number of connections; see the implementation.
class Stream {
 public:
  virtual ~Stream() = default;
  // Never blocks. Data that the socket does not accept yet, or that is written before OnOpen, is kept in the write
  // buffer; see PendingWriteOctets.
  virtual void Write(std::string_view bytes) = 0;
  // Octets in the write buffer. The owner must bound them, by destroying a stream whose far end does not read.
  virtual std::size_t PendingWriteOctets() const = 0;
  // Returns whether octets have arrived that were not passed to OnBytes yet; closing the stream now would lose them.
  virtual bool HasUnreadInput() const = 0;
  // Returns whether the far end has closed or reset the connection. OnEnd follows after the unread octets.
  virtual bool PeerClosed() const = 0;
  // Stops or resumes reading. While paused, incoming data stays in the socket and the far end sees back-pressure.
  virtual void PauseReading(bool pause) = 0;
  virtual Address Remote() const = 0;
};

// Accepts the connections of a listener.
class StreamAcceptor {
 public:
  virtual ~StreamAcceptor() = default;
  // Returns the handler of the new stream, which the acceptor now owns; null closes it at once.
  virtual StreamHandler* OnAccept(std::unique_ptr<Stream> stream) = 0;
  // Called before a pending connection is accepted. If false, it stays in the listen queue and is tried again shortly.
  virtual bool CanAccept() { return true; }
  // A pending connection could not be accepted because the descriptor limit is reached; it is tried again shortly. The
  // acceptor may close another stream to make room.
  virtual void OnDescriptorsExhausted() {}
};

// Accepts connections until it is destroyed or told to stop. Destroying it resets the connections in the listen queue.
class StreamListener {
 public:
  virtual ~StreamListener() = default;
  virtual Address Local() const = 0;
  // Passes all connections in the listen queue to the acceptor, from within this call, and lets later ones be refused.
  // Returns false, and goes on listening, if one of them cannot be accepted yet.
  virtual bool StopAccepting() = 0;
};

using TimerId = std::uint64_t;
inline constexpr TimerId kNoTimer = 0;

// The services of the operating system.
class Runtime {
 public:
  virtual ~Runtime() = default;
  // Current time of the monotonic clock.
  virtual TimeUs Now() const = 0;
  // Unix time in microseconds, for dates only: the wall clock may be stepped in either direction at any time.
  virtual std::int64_t WallClockUs() const = 0;
  // Calls `due` once, at least `delay` microseconds from now and never from within this call.
  virtual TimerId StartTimer(TimeUs delay, std::function<void()> due) = 0;
  // Cancels a timer; has no effect if it has expired or was cancelled already.
  virtual void CancelTimer(TimerId timer) = 0;
  // Throws std::system_error if the address cannot be bound.
  virtual std::unique_ptr<DatagramPort> OpenPort(const Address& local, DatagramHandler* handler) = 0;
  // Opens a stream to `to`. Its events are passed to `handler`, never from within this call. The base implementations
  // of Connect and Listen throw std::system_error, for runtimes without streams.
  virtual std::unique_ptr<Stream> Connect(const Address& to, TimeUs timeout, StreamHandler* handler);
  // Throws std::system_error if the address cannot be bound.
  virtual std::unique_ptr<StreamListener> Listen(const Address& local, StreamAcceptor* acceptor);
  virtual std::uint64_t Random() = 0;
  // How long the work being processed now has waited since it reached this process; the measure for overload control.
  virtual TimeUs QueueDelay() const { return 0; }
};

// A timer owned by an object: cancelled when restarted or destroyed.
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
  bool IsRunning() const { return id_ != kNoTimer; }

 private:
  Runtime* runtime_;
  TimerId id_ = kNoTimer;
};

// Parses an address such as "127.0.0.1:2427". Returns false and leaves `*address` unchanged on anything else.
bool ParseAddress(std::string_view text, Address* address);
std::string ToString(const Address& address);

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_RUNTIME_H_
