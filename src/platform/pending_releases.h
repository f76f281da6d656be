// Releases of ended calls on their way to callers: those that wait for a connection of their caller, and those that
// were written but may not have been read.
//
// A release is normally sent once: it counts as delivered when it is written on a connection of its caller, who is
// identified by the host address. An acknowledgement (`ack`) is optional, so its absence proves nothing. A release is
// sent again, on another connection and at most three times in total, only if it may never have been read. This table,
// implemented by PendingReleases::MayBeUnread and Expire, shows what happens to a written release, depending on its
// connection:
//
//   its connection                     the call's own      another one of the host
//   open, acknowledged                 delivered           delivered
//   open, not acknowledged in time     waits if the host acknowledges releases, else delivered
//     (its time)                       2 s                 0.4 s
//   closed here, all written           delivered           waits if the host acknowledges, else delivered
//   closed at the end of a shutdown,   delivered           waits if the host acknowledges and its time (above) is
//     all written                                          over, else delivered
//   closed here, unwritten data        waits               waits
//   closed by the peer within 0.2 s    waits if the host acknowledges, else delivered
//   closed by the peer later           delivered           waits if the host acknowledges, else delivered
//   reset within 0.2 s                 waits               waits
//   reset later                        delivered           waits if the host acknowledges, else delivered
//
// The call's own connection is that of its set-up or announcement: its reader is the caller. The reader of another
// connection of the host may be another client that does not know the call.
//
// A connection of the host is not closed to make room, or because a shutdown has nothing left to do on it, while the
// host has yet to acknowledge a release (ConnectionsAwaitingAcknowledgement): the acknowledgement could not be read any
// more.
//
// A caller that announces an ended call has not read its release. It is sent on the connection of the announcement,
// unless its caller acknowledged it or the announcement may have crossed it on the way.
#ifndef CROFTRUN_PLATFORM_PENDING_RELEASES_H_
#define CROFTRUN_PLATFORM_PENDING_RELEASES_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::platform {

// Number that identifies a connection of a caller.
using ConnectionNumber = std::uint64_t;

// How the connection of a caller ended.
enum class ConnectionEnd : std::uint8_t {
  kClosedLocally,            // closed here after all data was written
  kClosedByShutdown,         // the same, with all others, at the end of a shutdown that cannot wait any longer
  kClosedWithUnwrittenData,  // closed here before the peer accepted all data
  kPeerClosed,               // in order
  kPeerReset,
};

// The client that reads the connection on which a release was written.
enum class Recipient : std::uint8_t {
  kCaller,  // the caller: it is the connection of the call's set-up or announcement
  kHost,    // any client on the caller's host
};

// The release of an ended call that has to reach its caller.
struct PendingRelease {
  std::uint32_t host = 0;
  std::string id;            // of the call
  std::string line;          // the message
  TimeUs call_ended_at = 0;  // when the call ended
  TimeUs written_at = 0;     // 0: waiting for a connection
  ConnectionNumber written_on = 0;
  Recipient recipient = Recipient::kHost;
  std::set<ConnectionNumber> tried_connections = {};  // connections it was written on
  ConnectionNumber announced_on = 0;                  // connection on which the ended call was announced; 0: none
  bool acknowledged_by_caller = false;
};

// Keeps the releases until they count as delivered. The head of this file describes the rules.
class PendingReleases {
 public:
  // Adds a release that found no connection.
  void Enqueue(PendingRelease release);
  // Adds a release that has just been written on a connection.
  void OnWritten(PendingRelease release, ConnectionNumber connection, Recipient recipient, TimeUs now);
  // Returns the waiting releases for this host that have not been written on this connection yet, and records them as
  // written on it.
  std::vector<PendingRelease> TakeWaiting(std::uint32_t host, ConnectionNumber connection, TimeUs now);
  // Returns whether releases wait for this host.
  bool HasWaiting(std::uint32_t host) const;
  // The host acknowledged the release of this call on this connection. Returns whether the release was written on it.
  bool OnAcknowledged(std::uint32_t host, const std::string& id, ConnectionNumber connection);
  // A client on this host announces a call on this connection. Returns whether the call has ended here recently. If its
  // release has to be sent on the connection, it waits for the host.
  bool OnAnnounced(std::uint32_t host, const std::string& id, ConnectionNumber connection, TimeUs now);
  // Returns the connections with a release that may have to be sent again if it is not acknowledged in time.
  std::unordered_set<ConnectionNumber> ConnectionsAwaitingAcknowledgement(TimeUs now) const;
  // A connection ended: its releases that may be unread wait again.
  void OnConnectionEnded(ConnectionNumber connection, ConnectionEnd end, TimeUs now);
  // Requeues releases that were not acknowledged in time and removes the delivered and the expired ones. Returns the
  // number of waiting releases that were dropped.
  std::size_t Expire(TimeUs now);
  // Returns the number of waiting releases.
  std::size_t waiting_count() const;

 private:
  bool HostAcknowledges(std::uint32_t host) const { return acknowledging_hosts_.count(host) > 0; }
  // Returns whether a release may never have been read, given how its connection ended.
  bool MayBeUnread(const PendingRelease& release, ConnectionEnd end, TimeUs now) const;
  // Returns whether the ended call was announced on another connection than the one its release was written on.
  static bool WasAnnouncedElsewhere(const PendingRelease& release);
  // Returns whether the release is written, but its acknowledgement is overdue.
  static bool IsOverdue(const PendingRelease& release, TimeUs now);
  using Position = std::list<PendingRelease>::iterator;
  // Finishes the release, or lets it wait again if it may be unread and a try is left. Returns the next position.
  Position FinishOrRequeue(Position release, bool may_be_unread);
  // Moves the release to the finished ones. Returns the next position.
  Position Finish(Position release);
  Position Find(const std::string& id);

  std::list<PendingRelease> releases_;  // oldest first
  // The last releases that were delivered or dropped, oldest first, for clients that announce their calls later.
  std::list<PendingRelease> finished_;
  std::unordered_map<std::string, Position> finished_by_id_;
  std::unordered_set<std::uint32_t> acknowledging_hosts_;
  std::size_t dropped_ = 0;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_PENDING_RELEASES_H_
