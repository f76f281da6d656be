// A client's connection whose source address and whose last moments are chosen: lines are written at once or in pieces,
// and the connection can be closed in order, half-closed or reset.
#ifndef CROFTRUN_LAB_SOAK_LINE_CLIENT_H_
#define CROFTRUN_LAB_SOAK_LINE_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/runtime.h"

namespace croftrun::lab::soak {

enum class ConnectionEnd : std::uint8_t { kRefused, kClosed, kReset };

struct LineClientHandlers {
  std::function<void()> on_open;
  std::function<void(std::string_view line)> on_line;
  // Once, and not after this side has closed it.
  std::function<void(ConnectionEnd end)> on_end;
  // What was written before has left this process whole.
  std::function<void()> on_written = nullptr;
};

class LineClient {
 public:
  // Connects from `source`, with a port of the system's choice, to `to`.
  LineClient(boost::asio::io_context* context, std::uint32_t source, const core::Address& to,
             LineClientHandlers handlers);
  ~LineClient();
  LineClient(const LineClient&) = delete;
  LineClient& operator=(const LineClient&) = delete;

  bool open() const;
  // A set-up is half written: nothing else can be said now.
  bool in_pieces() const;
  void Write(const std::string& octets);
  // In two pieces, the second so much later.
  void WriteInPieces(const std::string& octets, TimeUs gap);
  void HalfClose();
  void Reset();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_LINE_CLIENT_H_
