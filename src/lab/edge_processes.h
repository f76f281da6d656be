// Edges as processes of their own: each started from its settings file, killed or stopped by its id, reaped.
#ifndef CROFTRUN_LAB_EDGE_PROCESSES_H_
#define CROFTRUN_LAB_EDGE_PROCESSES_H_

#include <sys/types.h>

#include <map>
#include <string>

#include "lab/day.h"

namespace croftrun::lab {

class EdgeProcesses final : public EdgeHost {
 public:
  // `program`: path of croftrun-edge. Settings, logs and metrics go to `folder`.
  EdgeProcesses(std::string program, std::string folder) : program_(std::move(program)), folder_(std::move(folder)) {}
  ~EdgeProcesses() override;

  // Throws std::runtime_error where the process cannot be started.
  void Start(int number, const std::string& settings_json) override;
  void Kill(int number) override;
  void Stop(int number) override;
  void Stall(int number, bool stands_still) override;
  // SIGTERM to all, and waits: true if every one exited with 0 within `wait_ms`; the rest are killed.
  bool StopAll(int wait_ms);
  pid_t ProcessId(int number) const;

 private:
  std::string program_, folder_;
  std::map<int, pid_t> processes_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_EDGE_PROCESSES_H_
