// An index of the rules that can match a call, built from the equality and prefix tests in their conditions; and simple
// constraints, which tell whether one rule covers or excludes another.
#ifndef CROFTRUN_EXPR_INDEX_H_
#define CROFTRUN_EXPR_INDEX_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "expr/value.h"

namespace croftrun::expr {

// A necessary condition of a rule.
struct Constraint {
  enum class Kind : std::uint8_t { kNumbers, kRange, kTexts, kPrefix, kOther, kNever };
  Kind kind = Kind::kOther;
  std::size_t input_index = 0;
  std::vector<std::int64_t> numbers;  // sorted; for kRange the first and the last
  std::vector<std::string> texts;     // sorted; for kPrefix only one
  std::uint32_t value_number = 0;     // equal for equivalent constraints
};
// Whether every input that satisfies `a` also satisfies `b`. May return false if this is not known.
bool Implies(const Constraint& a, const Constraint& b);
// Whether no input satisfies both. May return false if this is not known.
bool Excludes(const Constraint& a, const Constraint& b);

// Finds the rules that may match a call without trying all of them.
class RuleIndex {
 public:
  struct Key {
    enum class Kind : std::uint8_t { kNumber, kText, kPrefix };
    std::size_t input_index = 0;
    Kind kind = Kind::kNumber;
    std::int64_t number = 0;
    std::string text;
    auto operator<=>(const Key&) const = default;
  };
  // The rule can match only if at least one of these keys matches the input.
  using KeySet = std::vector<Key>;

  // Builds the index. `key_sets` has an entry for each rule, in order. Of the key sets of a rule, the one whose keys
  // occur in the fewest rules is used; a rule without a key set is tried for every call.
  void Build(const std::vector<std::vector<KeySet>>& key_sets);

  // Calls `visit` with the indexes of the rules that may match, in order, until it returns true.
  template <typename Visit>
  void ForEachCandidate(const Input& input, Visit visit) const {
    std::array<Cursor, kMaxLists> lists;
    std::size_t count = 0;
    CollectLists(input, &lists, &count);
    while (count > 0) {
      std::size_t lowest = 0;
      for (std::size_t i = 1; i < count; ++i) {
        if (*lists[i].next < *lists[lowest].next) lowest = i;
      }
      const std::uint32_t rule = *lists[lowest].next;
      // A rule that is in several lists is tried once.
      for (std::size_t i = 0; i < count;) {
        if (*lists[i].next == rule && ++lists[i].next == lists[i].end) {
          lists[i] = lists[--count];
        } else {
          ++i;
        }
      }
      if (visit(rule)) return;
    }
  }

 private:
  static constexpr std::size_t kMaxLists = 96;
  using List = std::vector<std::uint32_t>;  // rules, ascending
  struct Cursor {
    const std::uint32_t* next = nullptr;
    const std::uint32_t* end = nullptr;
  };
  struct TextHash : std::hash<std::string_view> {
    using is_transparent = void;
  };
  using TextLists = std::unordered_map<std::string, List, TextHash, std::equal_to<>>;
  // The lists of rules by value of one input.
  struct InputIndex {
    std::size_t input_index = 0;
    std::unordered_map<std::int64_t, List> numbers;
    TextLists texts;
    std::vector<std::size_t> prefix_lengths;  // ascending
    TextLists prefixes;
  };

  void CollectLists(const Input& input, std::array<Cursor, kMaxLists>* lists, std::size_t* count) const;

  std::vector<InputIndex> input_indexes_;
  List unindexed_;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_INDEX_H_
