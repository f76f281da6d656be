// A softswitch of a soak trial: a real process that is started with a configuration file, signalled and reaped.
#ifndef CROFTRUN_LAB_SOAK_SOFTSWITCH_PROCESS_H_
#define CROFTRUN_LAB_SOAK_SOFTSWITCH_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

namespace croftrun::lab::soak {

// Controls the process of one softswitch, which is killed when this object is destroyed.
class SoftswitchProcess {
 public:
  // `program` is the path of croftrun-edge. Configuration and log are NAME.json and NAME.log in `folder`.
  SoftswitchProcess(std::string program, const std::string& folder, const std::string& name);
  ~SoftswitchProcess();
  SoftswitchProcess(const SoftswitchProcess&) = delete;
  SoftswitchProcess& operator=(const SoftswitchProcess&) = delete;

  // Replaces the configuration file atomically.
  void WriteConfiguration(const std::string& json) const;
  // Overwrites the configuration file with invalid JSON.
  void CorruptConfiguration() const;
  // Starts the process; it appends to its log. Throws std::runtime_error if that fails.
  void Start();
  // Sends a signal if the process is running.
  void Signal(int number) const;
  // Sends SIGKILL and waits for the end of the process.
  void Kill();
  bool running() const { return pid_ != 0; }
  // Reaps the process if it has exited: returns its exit code, or the negative signal number. Does not wait.
  std::optional<int> PollExit();
  // Open descriptors and resident megabytes; 0 if it is not running.
  int OpenDescriptors() const;
  int ResidentMegabytes() const;

 private:
  std::string program_, configuration_, log_;
  pid_t pid_ = 0;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_SOFTSWITCH_PROCESS_H_
