// The API's transport: WebSocket (RFC 6455) over TCP, by Boost.Beast, on the edge's own event loop. It knows
// nothing of calls.
//
// Each connection has one owner, the server, and two coroutines that hold it; closing its socket ends both.
// Bounded: connections, time for the handshake, size of a message, time without a sign of life (pings), what
// waits to be sent (the session manager closes it).
#ifndef CROFTRUN_WS_SERVER_H_
#define CROFTRUN_WS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <set>

#include "core/runtime.h"
#include "ws/session_manager.h"

namespace croftrun::ws {

struct ServerSettings {
  core::Address listen;
  std::size_t most_connections = 1'024;
  TimeUs handshake_us = 3'000'000;
  TimeUs idle_us = 30'000'000;  // a ping after half of it, closed after all of it
  std::size_t most_octets = 8'192;
  std::size_t accepts_per_s = 200;  // beyond, a connection is closed as it comes
};

class Server {
 public:
  struct Counters {
    std::uint64_t accepted = 0, turned_away = 0, handshakes_failed = 0;
  };
  // Binds; throws boost::system::system_error. `context` and `session_manager` outlive it.
  Server(boost::asio::io_context* context, const ServerSettings& settings, SessionManager* session_manager);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const;
  std::size_t open() const;
  const Counters& counters() const;

 private:
  class Connection;
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace croftrun::ws

#endif  // CROFTRUN_WS_SERVER_H_
