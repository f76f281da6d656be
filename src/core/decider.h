// Interface between the call core and the component that decides about calls.
//
// The product has one implementation, the module (CallController). The laboratory replaces it with others to measure
// the benefit of its decisions; they receive the same events and return the same actions, and the core applies the same
// rules to them.
#ifndef CROFTRUN_CORE_DECIDER_H_
#define CROFTRUN_CORE_DECIDER_H_

#include <functional>
#include <memory>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::core {

// Makes the routing and admission decisions of one softswitch.
class Decider {
 public:
  virtual ~Decider() = default;
  // Appends the actions in response to `event`, which happened at `now`, to `actions`. It is not called recursively.
  virtual void Handle(TimeUs now, const Event& event, std::vector<Action>* actions) = 0;
};

// Creates a decider; appends the actions required at the start to the vector.
using DeciderFactory = std::function<std::unique_ptr<Decider>(const Settings&, std::uint64_t seed, TimeUs now,
                                                              std::vector<Action>* actions)>;

// Adapter for the module.
class ModuleDecider final : public Decider {
 public:
  ModuleDecider(const Settings& settings, std::uint64_t seed, TimeUs now, std::vector<Action>* actions)
      : module_(settings, seed, now, actions) {}
  void Handle(TimeUs now, const Event& event, std::vector<Action>* actions) override {
    module_.Handle(now, event, actions);
  }

 private:
  CallController module_;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_DECIDER_H_
