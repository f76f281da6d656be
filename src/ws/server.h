// Transport of the API: WebSocket (RFC 6455) over TCP with Boost.Beast, on the event loop of the edge. It knows nothing
// about calls.
//
// The server owns the connections. Two coroutines, a reader and a writer, hold a reference to each connection; closing
// its socket ends both. The number of connections, the handshake time, the message size and the idle time (checked with
// pings) are bounded here; the output queue is bounded by the session manager, which closes the connection.
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
  std::size_t max_connections = 1'024;
  TimeUs handshake_timeout_us = 3'000'000;
  // After half of this time a ping is sent, after all of it the connection is closed.
  TimeUs idle_timeout_us = 30'000'000;
  std::size_t max_message_octets = 8'192;
  std::size_t accepts_per_s = 200;  // connections beyond this rate are closed at once
};

// Accepts WebSocket connections and passes their messages to the session manager.
class Server {
 public:
  struct Counters {
    std::uint64_t accepted = 0, rejected = 0, handshakes_failed = 0;
  };
  // Binds the listening socket; throws boost::system::system_error on failure. `context` and `session_manager` must
  // outlive the server.
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
