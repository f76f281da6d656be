// Which rules can match a call at all, from the equality and prefix tests in their conditions; and the simple forms of
// conditions by which one rule is seen to cover or exclude another.
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

// Something that must hold for a rule to match.
struct Constraint {
  enum class Kind : std::uint8_t { kNumbers, kRange, kTexts, kPrefix, kOther, kNever };
  Kind kind = Kind::kOther;
  std::size_t input = 0;
  std::vector<std::int64_t> numbers;  // sorted; of a range the first and the last
  std::vector<std::string> texts;     // sorted; of a prefix one
  std::uint32_t id = 0;               // parts that mean the same have the same
};
// Whatever fulfils `a` fulfils `b`.
bool Implies(const Constraint& a, const Constraint& b);
// Nothing fulfils both.
bool Excludes(const Constraint& a, const Constraint& b);

class RuleIndex {
 public:
  struct Key {
    enum class Kind : std::uint8_t { kNumber, kText, kPrefix };
    std::size_t input = 0;
    Kind kind = Kind::kNumber;
    std::int64_t number = 0;
    std::string text;
    auto operator<=>(const Key&) const = default;
  };
  // The rule can match only where one of these fits.
  using Option = std::vector<Key>;

  // In the order of the rules. Of several options the one whose keys the fewest rules have is taken; without any, the
  // rule is tried for every call.
  void Build(const std::vector<std::vector<Option>>& options);

  // Calls `visit` with the numbers of the rules that may match, in order, until it returns true.
  template <typename Visit>
  void Each(const Input& input, Visit visit) const {
    std::array<Cursor, kMostLists> lists;
    std::size_t count = 0;
    Gather(input, &lists, &count);
    while (count > 0) {
      std::size_t least = 0;
      for (std::size_t i = 1; i < count; ++i) {
        if (*lists[i].next < *lists[least].next) least = i;
      }
      const std::uint32_t rule = *lists[least].next;
      // A rule may stand in several lists: it is tried once.
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
  static constexpr std::size_t kMostLists = 96;
  using List = std::vector<std::uint32_t>;  // rules, ascending
  struct Cursor {
    const std::uint32_t* next = nullptr;
    const std::uint32_t* end = nullptr;
  };
  struct TextHash : std::hash<std::string_view> {
    using is_transparent = void;
  };
  using TextLists = std::unordered_map<std::string, List, TextHash, std::equal_to<>>;
  // One attribute.
  struct ByInput {
    std::size_t input = 0;
    std::unordered_map<std::int64_t, List> numbers;
    TextLists texts;
    std::vector<std::size_t> lengths;  // of the prefixes, ascending
    TextLists prefixes;
  };

  void Gather(const Input& input, std::array<Cursor, kMostLists>* lists, std::size_t* count) const;

  std::vector<ByInput> inputs_;
  List always_;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_INDEX_H_
