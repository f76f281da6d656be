// Bounded set of names that keeps the most recently inserted ones.
#ifndef CROFTRUN_PLATFORM_RECENT_NAMES_H_
#define CROFTRUN_PLATFORM_RECENT_NAMES_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace croftrun::platform {

class RecentNames {
 public:
  explicit RecentNames(std::size_t capacity) : capacity_(capacity) {}
  void Insert(const std::string& name) {
    if (!names_.insert(name).second) return;
    order_.push_back(name);
    if (order_.size() <= capacity_) return;
    names_.erase(order_.front());
    order_.pop_front();
  }
  void Remove(const std::string& name) {
    if (names_.erase(name) > 0) std::erase(order_, name);
  }
  bool Contains(const std::string& name) const { return names_.count(name) > 0; }

 private:
  std::size_t capacity_;
  std::deque<std::string> order_;
  std::unordered_set<std::string> names_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_RECENT_NAMES_H_
