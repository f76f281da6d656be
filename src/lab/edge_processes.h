// Runs edges as child processes. Each is started with its own settings file, killed or stopped by process id, and
// reaped.
#ifndef CROFTRUN_LAB_EDGE_PROCESSES_H_
#define CROFTRUN_LAB_EDGE_PROCESSES_H_

#include <sys/types.h>

#include <map>
#include <string>

#include "lab/day.h"

namespace croftrun::lab {

// EdgeHost whose edges are processes of the operating system.
class EdgeProcesses final : public EdgeHost {
 public:
  // `program` is the path of croftrun-edge. Settings, logs and metrics are written to `folder`.
  EdgeProcesses(std::string program, std::string folder) : program_(std::move(program)), folder_(std::move(folder)) {}
  ~EdgeProcesses() override;

  // Throws std::runtime_error if the process cannot be started.
  void Start(int number, const std::string& settings_json) override;
  void Kill(int number) override;
  void Stop(int number) override;
  void Stall(int number, bool stalled) override;
  // Sends SIGTERM to all edges and waits for them. Returns true if each exited with status 0 within `wait_ms`; edges
  // that are still running then are killed.
  bool StopAll(int wait_ms);
  // The process id of an edge; 0 if it is not running.
  pid_t ProcessId(int number) const;

 private:
  std::string program_, folder_;
  std::map<int, pid_t> processes_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_EDGE_PROCESSES_H_
