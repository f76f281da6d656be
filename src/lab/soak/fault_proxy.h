// A TCP proxy on loopback that injects the faults of networks and failing hosts into connections: silence in one or
// both directions, connections that open late or never, resets, half-closes, data in small pieces, and idle connections
// whose state is lost.
//
// To keep a connection from opening, the proxy makes the backlog of its listening socket as small as possible and fills
// it, so that the kernel drops the SYN of the next connection. The client retransmits the SYN, as it does when the
// network is interrupted.
#ifndef CROFTRUN_LAB_SOAK_FAULT_PROXY_H_
#define CROFTRUN_LAB_SOAK_FAULT_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <random>

#include "core/runtime.h"

namespace croftrun::lab::soak {

// The directions in which data is forwarded; both by default.
struct Forwarding {
  bool to_upstream = true;
  bool to_downstream = true;
};

// Forwards connections from one address to another and injects faults.
class FaultProxy {
 public:
  // Listens at `listen` and connects to `upstream`. Throws std::system_error if it cannot listen.
  FaultProxy(boost::asio::io_context* context, const core::Address& listen, const core::Address& upstream,
             std::uint64_t seed);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Holds back the data of a direction that is not forwarded. New connections open only while both are forwarded.
  void SetForwarding(Forwarding forwarding);
  // True while both directions are forwarded and the proxy neither refuses connections nor simulates a lost host.
  bool IsWorking() const { return forwarding_.to_upstream && forwarding_.to_downstream && !refusing_ && !host_lost_; }
  // Simulates the loss of the host behind the proxy: open connections stay open and silent, new ones never open.
  void LoseHost();
  // Ends the loss of the host. Data that is sent on connections from before is answered with a reset.
  void RestoreHost();
  // Refuses new connections, or accepts them again.
  void SetRefusing(bool refuse);
  // Resets all connections on both sides.
  void ResetAll();
  // Closes all connections that were idle for at least `idle`, or loses their state: the upstream side ends, and the
  // downstream side finds out only when it sends something.
  void CloseIdle(TimeUs idle);
  void ForgetIdle(TimeUs idle);
  // Keeps new connections from opening for `time`.
  void DelayConnections(TimeUs time);
  // Closes the sending half of every connection towards downstream.
  void HalfCloseAll();
  // Forwards data in small pieces with gaps between them.
  void SetTrickle(bool on) { trickle_ = on; }
  // How long the proxy held back the data that it last forwarded upstream on a connection, which is identified by the
  // port from which it was opened. Data that an injected fault made late was sent in time.
  TimeUs DelayOf(std::uint16_t upstream_port) const;

 private:
  struct Pair;
  void Listen();
  void Accept();
  // Fills the backlog so that no connection opens, or frees it again.
  void FillBacklog();
  void FreeBacklog();
  bool IsBlocked() const {
    return !forwarding_.to_upstream || !forwarding_.to_downstream || host_lost_ || delaying_connections_;
  }

  boost::asio::io_context* context_;
  boost::asio::ip::tcp::endpoint listen_, upstream_;
  std::mt19937_64 random_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::list<boost::asio::ip::tcp::socket> fillers_;
  boost::asio::steady_timer delay_timer_;
  std::list<std::shared_ptr<Pair>> pairs_;
  Forwarding forwarding_;
  bool refusing_ = false, host_lost_ = false, delaying_connections_ = false, trickle_ = false;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_FAULT_PROXY_H_
