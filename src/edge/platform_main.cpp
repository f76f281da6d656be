#include "edge/platform_main.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <utility>

#include "edge/json_log.h"
#include "edge/signals.h"
#include "platform/node.h"
#include "runtime/asio_runtime.h"

namespace croftrun::edge {
namespace {

constexpr std::size_t kMaxConfigOctets = 16U << 20U;
// An invalid file may be half written, so it is read again: interval and maximum number of retries.
constexpr TimeUs kReloadRetryInterval = 100'000;
constexpr int kMaxReloadRetries = 50;

std::string Environment(const char* name) {
  const char* const value = std::getenv(name);
  return value == nullptr ? std::string() : value;
}

platform::NodeConfig ReadConfig(const std::string& path, std::vector<config::SettingsError>* mistakes) {
  const std::string text = config::ReadFile(path, kMaxConfigOctets, mistakes);
  if (!mistakes->empty()) return {};
  return platform::ParseNodeConfig(text, Environment("GW_NAME"), Environment("GW_LISTEN"), mistakes);
}

// The softswitch process. Signal handlers are installed before anything else, and signals are handled by the event
// loop, which runs once the softswitch has started. A signal during the start is therefore handled later and not lost.
class Process {
 public:
  explicit Process(std::string path)
      : path_(std::move(path)),
        reload_retry_timer_(&runtime_),
        reload_signal_(runtime_.context(), {SIGHUP}, [this] { Reload(kMaxReloadRetries); }),
        stop_signal_(runtime_.context(), {SIGTERM, SIGINT},
                     [this] {
                       // A repeated signal has no effect: accepted calls are still answered.
                       if (!std::exchange(stopping_, true)) node_->Stop([this] { runtime_.Stop(); });
                     }),
        metrics_signal_(runtime_.context(), {SIGUSR1},
                        [this] { log_->Write(core::LogLevel::kWarning, "metrics", 0, node_->Metrics()); }),
        log_level_signal_(runtime_.context(), {SIGUSR2},
                          [this] { log_->SetLevel(log_->IsEnabled(core::LogLevel::kDebug) ? "info" : "debug"); }) {
    std::signal(SIGPIPE, SIG_IGN);
  }

  int Run() {
    std::vector<config::SettingsError> mistakes;
    const platform::NodeConfig config = ReadConfig(path_, &mistakes);
    if (!mistakes.empty()) {
      std::cerr << "croftrun-edge: " << path_ << ":\n" << config::ToString(mistakes);
      return 3;
    }
    const std::string level = Environment("CROFTRUN_LOG");
    log_ = std::make_unique<JsonLog>(level.empty() ? "info" : level, "", config.module.own_number);
    node_ = std::make_unique<platform::Node>(config, &runtime_, log_.get());
    log_->Write(core::LogLevel::kInfo, "ready", 0,
                config.name + " on " + core::ToString(config.listen) + ", " + std::to_string(config.sockets) +
                    " descriptors, " + std::to_string(config.memory_mb) + " MB");
    runtime_.Run();
    log_->Write(core::LogLevel::kInfo, "stopped", 0, node_->Metrics());
    return 0;
  }

 private:
  // Reloads the configuration. If it is invalid, the current one stays in force and the file is read again later. A
  // newer signal restarts the sequence: the timer is stopped first, so at most one retry is pending, even if the former
  // one is due in the same turn of the event loop.
  void Reload(int retries_left) {
    reload_retry_timer_.Stop();
    std::vector<config::SettingsError> mistakes;
    const platform::NodeConfig config = ReadConfig(path_, &mistakes);
    if (mistakes.empty()) return node_->Reconfigure(config);
    log_->Write(core::LogLevel::kError, "configuration-kept", 0, config::ToString(mistakes));
    if (retries_left > 0)
      reload_retry_timer_.Start(kReloadRetryInterval, [this, retries_left] { Reload(retries_left - 1); });
  }

  runtime::AsioRuntime runtime_;
  const std::string path_;
  core::Timer reload_retry_timer_;
  std::unique_ptr<JsonLog> log_;
  std::unique_ptr<platform::Node> node_;
  bool stopping_ = false;
  Signals reload_signal_, stop_signal_, metrics_signal_, log_level_signal_;
};

}  // namespace

int RunOnPlatform(const std::string& path) { return Process(path).Run(); }

}  // namespace croftrun::edge
