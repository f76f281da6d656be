#include "cli/commands.h"

namespace croftrun::cli {
int RunLoad(const LoadRun&) { return kCannotRun; }
}  // namespace croftrun::cli
