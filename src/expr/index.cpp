#include "expr/index.h"

#include <algorithm>
#include <map>

namespace croftrun::expr {
namespace {

using Kind = Constraint::Kind;

bool Within(const Constraint& a, std::int64_t first, std::int64_t last) {
  return std::all_of(a.numbers.begin(), a.numbers.end(), [&](std::int64_t n) { return n >= first && n <= last; });
}

}  // namespace

bool Implies(const Constraint& a, const Constraint& b) {
  if (a.id == b.id || a.kind == Kind::kNever) return true;
  if (a.kind == Kind::kOther || b.kind == Kind::kOther || b.kind == Kind::kNever || a.input != b.input) return false;
  if (b.kind == Kind::kRange)
    return (a.kind == Kind::kRange || a.kind == Kind::kNumbers) && Within(a, b.numbers[0], b.numbers[1]);
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
  if (a.kind == Kind::kOther || b.kind == Kind::kOther || a.input != b.input) return false;
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

void RuleIndex::Build(const std::vector<std::vector<Option>>& options) {
  inputs_.clear();
  always_.clear();
  std::map<Key, std::size_t> rules_with;
  for (const auto& of_rule : options) {
    for (const Option& option : of_rule) {
      for (const Key& key : option) ++rules_with[key];
    }
  }
  std::size_t lists = 1;
  // How many lists at most a key adds to those that one call may be in.
  const auto new_lists = [&](const Key& key) -> std::size_t {
    for (const ByInput& known : inputs_) {
      if (known.input != key.input) continue;
      const bool new_length = key.kind == Key::Kind::kPrefix &&
                              !std::binary_search(known.lengths.begin(), known.lengths.end(), key.text.size());
      return new_length ? 1 : 0;
    }
    return 3;
  };
  const auto at = [&](const Key& key) -> ByInput* {
    for (ByInput& known : inputs_) {
      if (known.input == key.input) return &known;
    }
    inputs_.emplace_back().input = key.input;
    lists += 2;
    return &inputs_.back();
  };
  for (std::uint32_t rule = 0; rule < options.size(); ++rule) {
    const Option* best = nullptr;
    std::size_t least = 0;
    for (const Option& option : options[rule]) {
      std::size_t weight = 0;
      for (const Key& key : option) weight += rules_with[key];
      if (best == nullptr || weight < least) best = &option, least = weight;
    }
    // Each list that a call may be in takes a cursor: those that would not fit are tried always.
    std::size_t more = 0;
    for (std::size_t i = 0; best != nullptr && i < best->size(); ++i) more += new_lists((*best)[i]);
    if (best == nullptr || lists + more > kMostLists) {
      always_.push_back(rule);
      continue;
    }
    for (const Key& key : *best) {
      ByInput* by = at(key);
      List* list = nullptr;
      if (key.kind == Key::Kind::kNumber) {
        list = &by->numbers[key.number];
      } else if (key.kind == Key::Kind::kText) {
        list = &by->texts[key.text];
      } else {
        list = &by->prefixes[key.text];
        const auto place = std::lower_bound(by->lengths.begin(), by->lengths.end(), key.text.size());
        if (place == by->lengths.end() || *place != key.text.size()) {
          by->lengths.insert(place, key.text.size());
          ++lists;
        }
      }
      if (list->empty() || list->back() != rule) list->push_back(rule);
    }
  }
}

void RuleIndex::Gather(const Input& input, std::array<Cursor, kMostLists>* lists, std::size_t* count) const {
  const auto add = [&](const List& list) {
    if (!list.empty()) (*lists)[(*count)++] = {list.data(), list.data() + list.size()};
  };
  add(always_);
  for (const ByInput& by : inputs_) {
    const Value& value = input[by.input];
    if (!value.present) continue;  // no test of it holds
    if (!by.numbers.empty()) {
      const auto found = by.numbers.find(value.number);
      if (found != by.numbers.end()) add(found->second);
    }
    if (!by.texts.empty()) {
      const auto found = by.texts.find(value.text);
      if (found != by.texts.end()) add(found->second);
    }
    for (const std::size_t length : by.lengths) {
      if (length > value.text.size()) break;
      const auto found = by.prefixes.find(value.text.substr(0, length));
      if (found != by.prefixes.end()) add(found->second);
    }
  }
}

}  // namespace croftrun::expr
