// Helper for binary test data.
#ifndef CROFTRUN_TESTS_WIRE_BYTES_H_
#define CROFTRUN_TESTS_WIRE_BYTES_H_

#include <string>
#include <string_view>

namespace croftrun::wire {

// Converts hexadecimal digits to bytes; spaces and newlines are ignored.
inline std::string Bytes(std::string_view hex) {
  std::string bytes;
  int high = -1;
  for (const char c : hex) {
    if (c == ' ' || c == '\n') continue;
    const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
    if (high < 0) {
      high = digit;
    } else {
      bytes.push_back(static_cast<char>(high * 16 + digit));
      high = -1;
    }
  }
  return bytes;
}

}  // namespace croftrun::wire

#endif  // CROFTRUN_TESTS_WIRE_BYTES_H_
