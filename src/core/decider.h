// Who decides about calls: the seam at which the module stands in the call core.
//
// The product has one decider, the module. The laboratory puts others in its place, to know what a decision
// is worth; they get the same events and answer with the same actions, and the core holds them to the same
// word.
#ifndef CROFTRUN_CORE_DECIDER_H_
#define CROFTRUN_CORE_DECIDER_H_

#include <functional>
#include <memory>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::core {

class Decider {
 public:
  virtual ~Decider() = default;
  // Appends what is to be done about `event`, which happened at `now`; never re-entered.
  virtual void Handle(TimeUs now, const Event& event, std::vector<Action>* actions) = 0;
};

// Actions of the start itself are appended.
using MakeDecider = std::function<std::unique_ptr<Decider>(const Settings&, std::uint64_t seed, TimeUs now,
                                                           std::vector<Action>* actions)>;

// The module.
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
