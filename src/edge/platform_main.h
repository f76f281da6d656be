// Runs the edge on the users' platform, configured by environment variables and controlled by signals.
#ifndef CROFTRUN_EDGE_PLATFORM_MAIN_H_
#define CROFTRUN_EDGE_PLATFORM_MAIN_H_

#include <string>

namespace croftrun::edge {

// Runs until a stop signal and returns the exit code. `path` is the configuration file.
int RunOnPlatform(const std::string& path);

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_PLATFORM_MAIN_H_
