// A TCP proxy on loopback that does to connections what networks and dying machines do: silence both ways or one way,
// connections that never come up or come up late, resets, half-closes, octets in pieces, idle connections forgotten.
//
// A connection that must not come up is held back by the kernel: the backlog of the listening socket is made one and
// filled, so that the SYN of the next connection is dropped and sent again, as on a way that is cut.
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

// What passes each way; both by default.
struct Passing {
  bool to_upstream = true;
  bool to_downstream = true;
};

class FaultProxy {
 public:
  // Listens at `listen` and connects to `upstream`. Throws std::system_error where it cannot listen.
  FaultProxy(boost::asio::io_context* context, const core::Address& listen, const core::Address& upstream,
             std::uint64_t seed);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Octets of a way that does not pass wait; unless both pass, new connections do not come up.
  void Pass(Passing passing);
  // Whether both ways pass and connections come up.
  bool Working() const { return passing_.to_upstream && passing_.to_downstream && !refusing_ && !vanished_; }
  // The machine behind is gone: open connections stay open and silent, new ones never come up.
  void Vanish();
  // A machine is there again; what is sent on connections from before is answered by a reset.
  void Return();
  // New connections are refused, or accepted again.
  void Refuse(bool refuse);
  // All connections are reset, on both sides.
  void ResetAll();
  // All connections that carried nothing for `idle` are closed in order, or are forgotten: the upstream side ends, and
  // the downstream side hears of it only when it sends something.
  void CloseIdle(TimeUs idle);
  void ForgetIdle(TimeUs idle);
  // New connections do not come up for so long.
  void HoldConnections(TimeUs time);
  // Towards downstream: the sending half of every connection is closed.
  void HalfCloseAll();
  // Octets go in small pieces, with pauses.
  void Trickle(bool on) { trickle_ = on; }
  // How long the octets that were last handed upstream had waited here; the connection is known by the port from which
  // it was made. What arrives late by a fault was sent in time.
  TimeUs WaitedOf(std::uint16_t upstream_port) const;

 private:
  struct Pair;
  void Listen();
  void Accept();
  // The backlog is full from now on, or free again.
  void FillBacklog();
  void FreeBacklog();
  bool Blocked() const { return !passing_.to_upstream || !passing_.to_downstream || vanished_ || held_; }

  boost::asio::io_context* context_;
  boost::asio::ip::tcp::endpoint listen_, upstream_;
  std::mt19937_64 random_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::list<boost::asio::ip::tcp::socket> fillers_;
  boost::asio::steady_timer hold_timer_;
  std::list<std::shared_ptr<Pair>> pairs_;
  Passing passing_;
  bool refusing_ = false, vanished_ = false, held_ = false, trickle_ = false;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_FAULT_PROXY_H_
