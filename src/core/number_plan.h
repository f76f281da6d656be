// The number plan: what a dialled number means. Longest prefix wins; simple on purpose, one immutable table.
#ifndef CROFTRUN_CORE_NUMBER_PLAN_H_
#define CROFTRUN_CORE_NUMBER_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace croftrun::core {

inline constexpr std::size_t kMostDigits = 32;

struct NumberMeaning {
  int destination = -1;  // number of an exchange
  int call_class = 0;    // index into the classes of the settings
  int customer = 0;
};

// A trie over digits in one flat array: a look-up reads at most kMostDigits nodes and allocates nothing.
class NumberPlan {
 public:
  NumberPlan() : nodes_(1) {}
  // False on characters other than digits, on more than kMostDigits, and on a prefix that is there already.
  bool Add(std::string_view prefix, const NumberMeaning& meaning);
  // The longest prefix of `digits` in the plan; nothing where none fits or a character is not a digit.
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

// The number as the module wants it: equal for equal digits, 0 only for no digits.
std::uint64_t NumberKey(std::string_view digits);

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_NUMBER_PLAN_H_
