#include "core/number_plan.h"

namespace croftrun::core {

bool NumberPlan::Add(std::string_view prefix, const NumberMeaning& meaning) {
  if (prefix.size() > kMaxDigits || prefix.find_first_not_of("0123456789") != std::string_view::npos) return false;
  std::size_t at = 0;
  for (const char c : prefix) {
    const auto digit = static_cast<std::size_t>(c - '0');
    if (nodes_[at].next[digit] == 0) {
      nodes_[at].next[digit] = static_cast<std::uint32_t>(nodes_.size());
      nodes_.emplace_back();
    }
    at = nodes_[at].next[digit];
  }
  if (nodes_[at].meaning >= 0) return false;
  nodes_[at].meaning = static_cast<std::int32_t>(meanings_.size());
  meanings_.push_back(meaning);
  return true;
}

std::optional<NumberMeaning> NumberPlan::Find(std::string_view digits) const {
  if (digits.empty() || digits.size() > kMaxDigits) return std::nullopt;
  std::int32_t best = nodes_[0].meaning;
  std::size_t at = 0;
  for (const char c : digits) {
    if (c < '0' || c > '9') return std::nullopt;
    at = nodes_[at].next[c - '0'];
    if (at == 0) break;
    if (nodes_[at].meaning >= 0) best = nodes_[at].meaning;
  }
  if (best < 0) return std::nullopt;
  return meanings_[static_cast<std::size_t>(best)];
}

std::uint64_t NumberKey(std::string_view digits) {
  if (digits.empty()) return 0;
  std::uint64_t key = 0xcbf29ce484222325U;  // FNV-1a, 64 bits
  for (const char c : digits) key = (key ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  return key == 0 ? 1 : key;
}

}  // namespace croftrun::core
