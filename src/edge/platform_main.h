// The edge in service on the users' platform: started by its environment, ended by its signals.
#ifndef CROFTRUN_EDGE_PLATFORM_MAIN_H_
#define CROFTRUN_EDGE_PLATFORM_MAIN_H_

#include <string>

namespace croftrun::edge {

// Runs until it is told to stop; returns the exit code of the program. `path`: the configuration file.
int RunOnPlatform(const std::string& path);

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_PLATFORM_MAIN_H_
