// Textbook deciders, to know what the module's decisions are worth: the same events, the same actions, the
// same core. For the laboratory only.
#ifndef CROFTRUN_LAB_BASELINES_H_
#define CROFTRUN_LAB_BASELINES_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/decider.h"

namespace croftrun::lab {

// "module" first, then the baselines.
const std::vector<std::string>& DeciderNames();
// Empty for the module; throws std::invalid_argument for a name that is none of DeciderNames.
core::MakeDecider DeciderNamed(std::string_view name);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_BASELINES_H_
