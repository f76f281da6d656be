#include "expr/index.h"

#include <algorithm>
#include <map>

namespace croftrun::expr {
namespace {

using Kind = Constraint::Kind;

bool AllWithin(const Constraint& a, std::int64_t first, std::int64_t last) {
  return std::all_of(a.numbers.begin(), a.numbers.end(), [&](std::int64_t n) { return n >= first && n <= last; });
}

}  // namespace

bool Implies(const Constraint& a, const Constraint& b) {
  if (a.value_number == b.value_number || a.kind == Kind::kNever) return true;
  if (a.kind == Kind::kOther || b.kind == Kind::kOther || b.kind == Kind::kNever || a.input_index != b.input_index)
    return false;
  if (b.kind == Kind::kRange)
    return (a.kind == Kind::kRange || a.kind == Kind::kNumbers) && AllWithin(a, b.numbers[0], b.numbers[1]);
  if (b.kind == Kind::kNumbers)
    return a.kind == Kind::kNumbers &&
           std::includes(b.numbers.begin(), b.numbers.end(), a.numbers.begin(), a.numbers.end());
  if (b.kind == Kind::kPrefix)
    return (a.kind == Kind::kPrefix || a.kind == Kind::kTexts) &&
           std::all_of(a.texts.begin(), a.texts.end(), [&](const std::string& t) { return t.starts_with(b.texts[0]); });
  return a.kind == Kind::kTexts && std::includes(b.texts.begin(), b.texts.end(), a.texts.begin(), a.texts.end());
}

bool Excludes(const Constraint& a, const Constraint& b) {
  if (a.kind == Kind::kNever || b.kind == Kind::kNever) return true;
  if (a.kind == Kind::kOther || b.kind == Kind::kOther || a.input_index != b.input_index) return false;
  if (a.kind > b.kind) return Excludes(b, a);
  if (a.kind == Kind::kNumbers) {
    return std::none_of(a.numbers.begin(), a.numbers.end(), [&](std::int64_t n) {
      return b.kind == Kind::kRange ? n >= b.numbers[0] && n <= b.numbers[1]
                                    : std::binary_search(b.numbers.begin(), b.numbers.end(), n);
    });
  }
  if (a.kind == Kind::kRange) return a.numbers[1] < b.numbers[0] || b.numbers[1] < a.numbers[0];
  if (a.kind == Kind::kTexts) {
    return std::none_of(a.texts.begin(), a.texts.end(), [&](const std::string& t) {
      return b.kind == Kind::kPrefix ? t.starts_with(b.texts[0])
                                     : std::binary_search(b.texts.begin(), b.texts.end(), t);
    });
  }
  return !a.texts[0].starts_with(b.texts[0]) && !b.texts[0].starts_with(a.texts[0]);
}

void RuleIndex::Build(const std::vector<std::vector<KeySet>>& key_sets) {
  input_indexes_.clear();
  unindexed_.clear();
  std::map<Key, std::size_t> rules_with;
  for (const auto& rule_key_sets : key_sets) {
    for (const KeySet& key_set : rule_key_sets) {
      for (const Key& key : key_set) ++rules_with[key];
    }
  }
  std::size_t lists = 1;
  // Returns the number of lists that a key can add to those that match one call.
  const auto new_lists = [&](const Key& key) -> std::size_t {
    for (const InputIndex& known : input_indexes_) {
      if (known.input_index != key.input_index) continue;
      const bool new_length =
          key.kind == Key::Kind::kPrefix &&
          !std::binary_search(known.prefix_lengths.begin(), known.prefix_lengths.end(), key.text.size());
      return new_length ? 1 : 0;
    }
    return 3;
  };
  // Returns the index of the input of a key, which is added if it does not exist yet.
  const auto index_of = [&](const Key& key) -> InputIndex* {
    for (InputIndex& known : input_indexes_) {
      if (known.input_index == key.input_index) return &known;
    }
    input_indexes_.emplace_back().input_index = key.input_index;
    lists += 2;
    return &input_indexes_.back();
  };
  for (std::uint32_t rule = 0; rule < key_sets.size(); ++rule) {
    const KeySet* best = nullptr;
    std::size_t min_weight = 0;
    for (const KeySet& key_set : key_sets[rule]) {
      std::size_t weight = 0;
      for (const Key& key : key_set) weight += rules_with[key];
      if (best == nullptr || weight < min_weight) best = &key_set, min_weight = weight;
    }
    // Each list that matches a call takes a cursor. Rules whose lists would exceed the cursors are tried for every
    // call.
    std::size_t added_lists = 0;
    for (std::size_t i = 0; best != nullptr && i < best->size(); ++i) added_lists += new_lists((*best)[i]);
    if (best == nullptr || lists + added_lists > kMaxLists) {
      unindexed_.push_back(rule);
      continue;
    }
    for (const Key& key : *best) {
      InputIndex* input_lists = index_of(key);
      List* list = nullptr;
      if (key.kind == Key::Kind::kNumber) {
        list = &input_lists->numbers[key.number];
      } else if (key.kind == Key::Kind::kText) {
        list = &input_lists->texts[key.text];
      } else {
        list = &input_lists->prefixes[key.text];
        const auto position =
            std::lower_bound(input_lists->prefix_lengths.begin(), input_lists->prefix_lengths.end(), key.text.size());
        if (position == input_lists->prefix_lengths.end() || *position != key.text.size()) {
          input_lists->prefix_lengths.insert(position, key.text.size());
          ++lists;
        }
      }
      if (list->empty() || list->back() != rule) list->push_back(rule);
    }
  }
}

void RuleIndex::CollectLists(const Input& input, std::array<Cursor, kMaxLists>* lists, std::size_t* count) const {
  const auto add = [&](const List& list) {
    if (!list.empty()) (*lists)[(*count)++] = {list.data(), list.data() + list.size()};
  };
  add(unindexed_);
  for (const InputIndex& input_lists : input_indexes_) {
    const Value& value = input[input_lists.input_index];
    if (!value.present) continue;  // no test of an absent attribute is true
    if (!input_lists.numbers.empty()) {
      const auto found = input_lists.numbers.find(value.number);
      if (found != input_lists.numbers.end()) add(found->second);
    }
    if (!input_lists.texts.empty()) {
      const auto found = input_lists.texts.find(value.text);
      if (found != input_lists.texts.end()) add(found->second);
    }
    for (const std::size_t length : input_lists.prefix_lengths) {
      if (length > value.text.size()) break;
      const auto found = input_lists.prefixes.find(value.text.substr(0, length));
      if (found != input_lists.prefixes.end()) add(found->second);
    }
  }
}

}  // namespace croftrun::expr
