#include "ws/token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace croftrun::ws {
namespace {

constexpr std::size_t kMaxTokenOctets = 256;

// Returns the HMAC-SHA-256 of the text in hexadecimal.
std::string Mac(std::string_view text, std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  ::HMAC(::EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()),
         text.size(), mac.data(), &size);
  std::string hex;
  for (unsigned i = 0; i < size; ++i) {
    hex += "0123456789abcdef"[mac[i] >> 4U];
    hex += "0123456789abcdef"[mac[i] & 15U];
  }
  return hex;
}

}  // namespace

bool IsValidName(std::string_view name) {
  return name.size() <= 64 && std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
         });
}

std::string MakeToken(const Identity& identity, std::string_view key) {
  const std::string text = identity.client + "." + identity.customer + "." + std::to_string(identity.expires_s);
  return text + "." + Mac(text, key);
}

std::optional<Identity> ReadToken(std::string_view token, const std::vector<std::string>& keys) {
  if (token.size() > kMaxTokenOctets) return std::nullopt;
  const auto last = token.rfind('.');
  if (last == std::string_view::npos) return std::nullopt;
  const std::string_view text = token.substr(0, last), mac = token.substr(last + 1);
  // All keys are tried and every comparison takes constant time, so that the time taken reveals nothing about a key.
  bool valid = false;
  for (const std::string& key : keys) {
    const std::string expected = Mac(text, key);
    valid = (expected.size() == mac.size() && ::CRYPTO_memcmp(expected.data(), mac.data(), mac.size()) == 0) || valid;
  }
  if (!valid) return std::nullopt;
  const auto first = text.find('.');
  const auto second = first == std::string_view::npos ? first : text.find('.', first + 1);
  if (second == std::string_view::npos) return std::nullopt;
  Identity identity{std::string(text.substr(0, first)), std::string(text.substr(first + 1, second - first - 1)), 0};
  const std::string_view expires = text.substr(second + 1);
  const auto [end, error] = std::from_chars(expires.data(), expires.data() + expires.size(), identity.expires_s);
  if (error != std::errc() || end != expires.data() + expires.size()) return std::nullopt;
  if (identity.client.empty() || !IsValidName(identity.client) || !IsValidName(identity.customer)) return std::nullopt;
  return identity;
}

}  // namespace croftrun::ws
