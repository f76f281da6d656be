// Simple routing policies from the literature, with which the laboratory compares the module's decisions. They receive
// the same events and return the same actions through the same call core. For the laboratory only.
#ifndef CROFTRUN_LAB_BASELINES_H_
#define CROFTRUN_LAB_BASELINES_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/decider.h"

namespace croftrun::lab {

// Returns the names of all deciders: "module", then the baselines.
const std::vector<std::string>& DeciderNames();
// Returns the factory for a decider, which is empty for the module. Throws std::invalid_argument for a name that is not
// in DeciderNames.
core::DeciderFactory FindDeciderFactory(std::string_view name);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_BASELINES_H_
