#include "lab/numbering.h"

#include <cstdio>

#include "edge/wire_names.h"

namespace croftrun::lab {

std::string NumberPrefix(int call_class, int customer, int exchange) {
  char text[16];
  std::snprintf(text, sizeof(text), "%d%d%03d", (call_class + 1) % 10, (customer + 1) % 10, exchange % kMaxExchanges);
  return text;
}

std::string LineNumber(int call_class, int customer, int exchange, int line) {
  char text[8];
  std::snprintf(text, sizeof(text), "%04d", line % 10000);
  return NumberPrefix(call_class, customer, exchange) + text;
}

int ExchangeOf(std::string_view digits) {
  if (digits.size() != 9) return -1;
  return wire_names::Number<int>(digits.substr(2, 3)).value_or(-1);
}

std::string SessionDescription(const core::Address& address, std::string_view connection) {
  const std::string host = core::ToString({address.host, 0});
  return "v=0\r\no=- " + std::string(connection) + " 0 IN IP4 " + host.substr(0, host.find(':')) +
         "\r\ns=-\r\nc=IN IP4 " + host.substr(0, host.find(':')) + "\r\nt=0 0\r\nm=audio 20000 RTP/AVP 0\r\n";
}

}  // namespace croftrun::lab
