// Releases of calls that are over, on their way to callers: those that wait for a connection of their caller, and those
// that were written and whose caller may not have read them.
//
// The end of a call is told once: it counts as told when its release is written on a connection of its caller, who is
// known by its host. An acknowledgement (`ack`) is free, so that its absence proves nothing; a release is told again,
// on another connection and three times in all, only where it may never have been read. What a written release becomes,
// in one place (PendingReleases::Unread), by what became of its connection:
//
//   its connection                     the call's own      another one of the host
//   open, acknowledged                 told                told
//   open, no acknowledgement in 2 s    waits if the host acknowledges releases, else told
//   closed here, all written           told                waits if the host acknowledges, else told
//   closed here, octets unwritten      waits               waits
//   closed by the far end in 0.2 s     waits if the host acknowledges, else told
//   closed by the far end later        told                waits if the host acknowledges, else told
//   reset within 0.2 s                 waits               waits
//   reset later                        told                waits if the host acknowledges, else told
//
// The call's own connection is that of its set-up or announcement: who reads there is the caller. On another one of the
// host it may be somebody else, who does not know the call.
#ifndef CROFTRUN_PLATFORM_PENDING_RELEASES_H_
#define CROFTRUN_PLATFORM_PENDING_RELEASES_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::platform {

// Connections of callers are told apart by number.
using ConnectionNumber = std::uint64_t;

// How a caller's connection came to its end.
enum class ConnectionEnd : std::uint8_t {
  kClosedHere,       // in order, all octets written
  kClosedUnwritten,  // here, though the far end had not taken all octets
  kFarEndClosed,     // in order
  kFarEndReset,
};

// Whose connection a release was written on.
enum class ReadBy : std::uint8_t {
  kCaller,  // the one of the call's set-up or announcement
  kHost,    // another one of the caller's host
};

struct PendingRelease {
  std::uint32_t host = 0;
  std::string id;         // of the call
  std::string line;       // the message
  TimeUs since = 0;       // the call's end
  TimeUs written_at = 0;  // 0: it waits
  ConnectionNumber written_on = 0;
  ReadBy read_by = ReadBy::kHost;
  std::set<ConnectionNumber> tried = {};  // connections that it was written on
};

class PendingReleases {
 public:
  // One that found no connection.
  void Wait(PendingRelease release);
  // One that was written on a connection just now.
  void Written(PendingRelease release, ConnectionNumber connection, ReadBy read_by, TimeUs now);
  // Those that wait for this host and were not written on this connection; they count as written on it from now on.
  std::vector<PendingRelease> TakeFor(std::uint32_t host, ConnectionNumber connection, TimeUs now);
  bool WaitsFor(std::uint32_t host) const;
  // The host acknowledged the release of this call.
  void OnAcknowledged(std::uint32_t host, const std::string& id);
  void OnConnectionEnded(ConnectionNumber connection, ConnectionEnd end, TimeUs now);
  // Puts back what was not acknowledged in time, forgets what is told or too old; says how many of those that waited
  // were given up.
  std::size_t Expire(TimeUs now);
  std::size_t waiting() const;

 private:
  bool Acknowledges(std::uint32_t host) const { return acknowledging_.count(host) > 0; }
  // Whether a release whose connection came to this end may never have been read.
  bool Unread(const PendingRelease& release, ConnectionEnd end, TimeUs now) const;
  // It is told, or waits to be told again if there is a try left.
  std::list<PendingRelease>::iterator Settle(std::list<PendingRelease>::iterator release, bool unread);

  std::list<PendingRelease> releases_;  // the oldest first
  std::unordered_set<std::uint32_t> acknowledging_;
  std::size_t given_up_ = 0;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_PENDING_RELEASES_H_
