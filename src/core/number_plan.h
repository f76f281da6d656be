// The number plan: maps dialled numbers to destinations by longest matching prefix.
#ifndef CROFTRUN_CORE_NUMBER_PLAN_H_
#define CROFTRUN_CORE_NUMBER_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace croftrun::core {

inline constexpr std::size_t kMaxDigits = 32;

// Destination and treatment of a dialled number.
struct NumberMeaning {
  int destination = -1;  // number of an exchange
  int call_class = 0;    // index into the classes of the settings
  int customer = 0;
};

// A trie of digits in one flat array. A look-up reads at most kMaxDigits nodes and allocates no memory.
class NumberPlan {
 public:
  NumberPlan() : nodes_(1) {}
  // Adds a prefix. Returns false if it contains anything but digits, is longer than kMaxDigits or exists already.
  bool Add(std::string_view prefix, const NumberMeaning& meaning);
  // Returns the entry of the longest matching prefix; empty if no prefix matches or a character is not a digit.
  std::optional<NumberMeaning> Find(std::string_view digits) const;
  std::size_t size() const { return meanings_.size(); }

 private:
  struct Node {
    std::uint32_t next[10] = {};
    std::int32_t meaning = -1;
  };
  std::vector<Node> nodes_;
  std::vector<NumberMeaning> meanings_;
};

// Hash of a number as passed to the module: equal for equal digits, 0 only for an empty number.
std::uint64_t NumberKey(std::string_view digits);

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_NUMBER_PLAN_H_
