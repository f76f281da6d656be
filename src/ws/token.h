// Signed tokens of the API: who a client is, which customer pays, and until when. NAME.CUSTOMER.EXPIRES.MAC,
// the last the HMAC-SHA-256 (RFC 2104, FIPS 180-4) of what stands before it, in hexadecimal. No I/O.
#ifndef CROFTRUN_WS_TOKEN_H_
#define CROFTRUN_WS_TOKEN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace croftrun::ws {

struct Identity {
  std::string client;
  std::string customer;        // a name of the settings, or empty
  std::int64_t expires_s = 0;  // Unix time
};

// `client` and `customer` hold letters, digits, '-' and '_' only; false otherwise.
bool MayName(std::string_view name);
std::string MakeToken(const Identity& identity, std::string_view key);
// Nothing unless one of the keys made it; keys are replaced by listing the new one beside the old for as long
// as tokens live.
std::optional<Identity> ReadToken(std::string_view token, const std::vector<std::string>& keys);

}  // namespace croftrun::ws

#endif  // CROFTRUN_WS_TOKEN_H_
