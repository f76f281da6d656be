// A client's connection from a chosen source address. Lines can be written at once or in two pieces, and the connection
// can be closed, half-closed or reset.
#ifndef CROFTRUN_LAB_SOAK_LINE_CLIENT_H_
#define CROFTRUN_LAB_SOAK_LINE_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/runtime.h"

namespace croftrun::lab::soak {

// How a connection ended.
enum class ConnectionEnd : std::uint8_t { kRefused, kClosed, kReset };

// Callbacks of a LineClient.
struct LineClientHandlers {
  std::function<void()> on_open;
  std::function<void(std::string_view line)> on_line;
  // Called once; not called after this side has closed the connection.
  std::function<void(ConnectionEnd end)> on_end;
  // All that was written so far has been handed to the kernel.
  std::function<void()> on_written = nullptr;
};

// One connection of a client, closed when it is destroyed.
class LineClient {
 public:
  // Connects from `source`, with a port chosen by the system, to `to`.
  LineClient(boost::asio::io_context* context, std::uint32_t source, const core::Address& to,
             LineClientHandlers handlers);
  ~LineClient();
  LineClient(const LineClient&) = delete;
  LineClient& operator=(const LineClient&) = delete;

  bool open() const;
  // The second piece of a line is still to be written: other data can be sent only after it.
  bool writing_in_pieces() const;
  void Write(const std::string& octets);
  // Writes two pieces, the second one after `gap`.
  void WriteInPieces(const std::string& octets, TimeUs gap);
  // Closes the sending half.
  void HalfClose();
  // Closes the connection with a reset.
  void Reset();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_LINE_CLIENT_H_
