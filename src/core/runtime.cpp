#include "core/runtime.h"

#include <charconv>
#include <system_error>

namespace croftrun::core {

std::unique_ptr<Stream> Runtime::Connect(const Address& to, TimeUs, StreamHandler*) {
  throw std::system_error(std::make_error_code(std::errc::not_supported), ToString(to));
}

std::unique_ptr<StreamListener> Runtime::Listen(const Address& local, StreamAcceptor*) {
  throw std::system_error(std::make_error_code(std::errc::not_supported), ToString(local));
}

bool ParseAddress(std::string_view text, Address* address) {
  Address parsed;
  const char* at = text.data();
  const char* const end = text.data() + text.size();
  for (int part = 0; part < 5; ++part) {
    unsigned value = 0;
    const auto [next, error] = std::from_chars(at, end, value);
    if (error != std::errc() || value > (part < 4 ? 255U : 65535U)) return false;
    if (part < 4) {
      parsed.host = parsed.host << 8U | value;
      if (next == end || *next != (part < 3 ? '.' : ':')) return false;
      at = next + 1;
    } else {
      parsed.port = static_cast<std::uint16_t>(value);
      if (next != end) return false;
    }
  }
  *address = parsed;
  return true;
}

std::string ToString(const Address& address) {
  std::string text;
  for (unsigned shift = 32; shift > 0; shift -= 8) {
    text += std::to_string(address.host >> (shift - 8) & 255U);
    text += shift > 8 ? '.' : ':';
  }
  return text + std::to_string(address.port);
}

}  // namespace croftrun::core
