#include "lab/edge_processes.h"

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace croftrun::lab {

EdgeProcesses::~EdgeProcesses() {
  for (const auto& [number, process] : processes_) {
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
  }
}

void EdgeProcesses::Start(int number, const std::string& settings_json) {
  const std::string name = folder_ + "/edge-" + std::to_string(number);
  std::ofstream(name + ".json") << settings_json << "\n";
  const std::string settings = name + ".json", metrics = name + ".metrics.json";
  std::string option = "--metrics";
  char* const arguments[] = {program_.data(), const_cast<char*>(settings.c_str()), option.data(),
                             const_cast<char*>(metrics.c_str()), nullptr};
  pid_t process = 0;
  // The edge inherits no descriptors except the standard streams: a collector's port that is also open in an edge
  // would stay bound after the collector has closed it.
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  const int error = ::posix_spawn(&process, program_.c_str(), &actions, nullptr, arguments, environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + program_ + ": " + std::to_string(error));
  processes_[number] = process;
}

void EdgeProcesses::Kill(int number) {
  const auto found = processes_.find(number);
  if (found == processes_.end()) return;
  ::kill(found->second, SIGKILL);
  ::waitpid(found->second, nullptr, 0);
  processes_.erase(found);
}

void EdgeProcesses::Stop(int number) {
  if (const auto found = processes_.find(number); found != processes_.end()) ::kill(found->second, SIGTERM);
}

void EdgeProcesses::Stall(int number, bool stalled) {
  if (const auto found = processes_.find(number); found != processes_.end())
    ::kill(found->second, stalled ? SIGSTOP : SIGCONT);
}

pid_t EdgeProcesses::ProcessId(int number) const {
  const auto found = processes_.find(number);
  return found == processes_.end() ? 0 : found->second;
}

bool EdgeProcesses::StopAll(int wait_ms) {
  for (const auto& [number, process] : processes_) ::kill(process, SIGTERM);
  bool clean = true;
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  while (!processes_.empty()) {
    for (auto at = processes_.begin(); at != processes_.end();) {
      int status = 0;
      if (::waitpid(at->second, &status, WNOHANG) == at->second) {
        clean = clean && WIFEXITED(status) && WEXITSTATUS(status) == 0;
        at = processes_.erase(at);
      } else {
        ++at;
      }
    }
    if (processes_.empty()) break;
    if (std::chrono::steady_clock::now() >= until) {
      for (const auto& [number, process] : processes_) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
      }
      processes_.clear();
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return clean;
}

}  // namespace croftrun::lab
