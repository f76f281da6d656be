// A softswitch of a soak trial: a real process, started from a configuration file, signalled and reaped.
#ifndef CROFTRUN_LAB_SOAK_SOFTSWITCH_PROCESS_H_
#define CROFTRUN_LAB_SOAK_SOFTSWITCH_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

namespace croftrun::lab::soak {

class SoftswitchProcess {
 public:
  // `program` is croftrun-edge; configuration and log go to `folder`, named after `name`.
  SoftswitchProcess(std::string program, const std::string& folder, const std::string& name);
  ~SoftswitchProcess();
  SoftswitchProcess(const SoftswitchProcess&) = delete;
  SoftswitchProcess& operator=(const SoftswitchProcess&) = delete;

  // Replaces the configuration file in one step.
  void WriteConfiguration(const std::string& json) const;
  // Writes octets that are no configuration.
  void SpoilConfiguration() const;
  // Throws std::runtime_error where it cannot be started. Its log is appended to.
  void Start();
  void Signal(int number) const;
  // SIGKILL, and waits for it.
  void Kill();
  bool running() const { return process_ != 0; }
  // Once it has ended by itself: its exit code, or minus the signal.
  std::optional<int> Exited();
  // Open descriptors and resident megabytes; 0 where it is not running.
  int Descriptors() const;
  int ResidentMegabytes() const;

 private:
  std::string program_, configuration_, log_;
  pid_t process_ = 0;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_SOFTSWITCH_PROCESS_H_
