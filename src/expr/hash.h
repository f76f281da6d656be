// The hash functions of the rule language. They are the same on every machine and in every version, so that a call
// stays in its bucket.
#ifndef CROFTRUN_EXPR_HASH_H_
#define CROFTRUN_EXPR_HASH_H_

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace croftrun::expr {

inline std::uint64_t HashText(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }
// The finaliser of MurmurHash3 (public domain, A. Appleby).
inline std::uint64_t HashNumber(std::int64_t number) {
  auto h = static_cast<std::uint64_t>(number) + 0x9e3779b97f4a7c15U;
  h = (h ^ h >> 33U) * 0xff51afd7ed558ccdU;
  h = (h ^ h >> 33U) * 0xc4ceb9fe1a85ec53U;
  return h ^ h >> 33U;
}
inline std::uint64_t CombineHashes(std::uint64_t a, std::uint64_t b) {
  return HashNumber(static_cast<std::int64_t>(a * 0x9e3779b97f4a7c15U + b));
}

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_HASH_H_
