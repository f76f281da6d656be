// Signed access tokens of the API. A token names the client, the customer that pays and the expiry time, in the form
// NAME.CUSTOMER.EXPIRES.MAC; MAC is the HMAC-SHA-256 (RFC 2104, FIPS 180-4) of the text before it, in hexadecimal.
// No I/O.
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
  std::string customer;        // name of a customer in the settings, or empty
  std::int64_t expires_s = 0;  // Unix time
};

// Returns true if `name`, a client or a customer, has at most 64 characters, all of them letters, digits, '-' or '_'.
bool IsValidName(std::string_view name);
// Returns a token for the identity, signed with `key`.
std::string MakeToken(const Identity& identity, std::string_view key);
// Returns the identity in the token, or nothing unless it was signed with one of `keys`. Does not check the expiry.
// To replace a key, both the new and the old one are listed for the lifetime of the tokens.
std::optional<Identity> ReadToken(std::string_view token, const std::vector<std::string>& keys);

}  // namespace croftrun::ws

#endif  // CROFTRUN_WS_TOKEN_H_
