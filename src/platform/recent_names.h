// A bounded set of names: of those noted, the latest are known.
#ifndef CROFTRUN_PLATFORM_RECENT_NAMES_H_
#define CROFTRUN_PLATFORM_RECENT_NAMES_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace croftrun::platform {

class RecentNames {
 public:
  // Keeps so many.
  explicit RecentNames(std::size_t most) : most_(most) {}
  void Note(const std::string& name) {
    if (!names_.insert(name).second) return;
    order_.push_back(name);
    if (order_.size() <= most_) return;
    names_.erase(order_.front());
    order_.pop_front();
  }
  void Forget(const std::string& name) {
    if (names_.erase(name) > 0) std::erase(order_, name);
  }
  bool Has(const std::string& name) const { return names_.count(name) > 0; }

 private:
  std::size_t most_;
  std::deque<std::string> order_;
  std::unordered_set<std::string> names_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_RECENT_NAMES_H_
