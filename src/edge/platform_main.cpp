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

constexpr std::size_t kMostConfigBytes = 16U << 20U;
// A file that cannot be read may be half written: it is read again, at these gaps, so many times.
constexpr TimeUs kReadAgain = 100'000;
constexpr int kMostReads = 50;

std::string Environment(const char* name) {
  const char* const value = std::getenv(name);
  return value == nullptr ? std::string() : value;
}

platform::NodeConfig Read(const std::string& path, std::vector<config::Mistake>* mistakes) {
  const std::string text = config::ReadFile(path, kMostConfigBytes, mistakes);
  if (!mistakes->empty()) return {};
  return platform::ParseNodeConfig(text, Environment("GW_NAME"), Environment("GW_LISTEN"), mistakes);
}

// The process from its first moment on. Signals are caught before anything else is done and acted on from the loop,
// which runs once the softswitch stands: one that comes during the start waits, and none is lost.
class Process {
 public:
  explicit Process(std::string path)
      : path_(std::move(path)),
        again_(&runtime_),
        reload_(runtime_.context(), {SIGHUP}, [this] { Reload(kMostReads); }),
        stop_(runtime_.context(), {SIGTERM, SIGINT},
              [this] {
                // A second one changes nothing: what was taken is still answered.
                if (!std::exchange(stopping_, true)) node_->Stop([this] { runtime_.Stop(); });
              }),
        tell_(runtime_.context(), {SIGUSR1},
              [this] { log_->Write(core::LogLevel::kWarning, "metrics", 0, node_->Metrics()); }),
        details_(runtime_.context(), {SIGUSR2},
                 [this] { log_->SetLevel(log_->IsEnabled(core::LogLevel::kDebug) ? "info" : "debug"); }) {
    std::signal(SIGPIPE, SIG_IGN);
  }

  int Run() {
    std::vector<config::Mistake> mistakes;
    const platform::NodeConfig config = Read(path_, &mistakes);
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
  // Reads the configuration again; one at fault leaves that in force and is read again. A newer signal begins anew: the
  // timer's owner holds one wait at a time, also when the former one is due in this very turn.
  void Reload(int left) {
    again_.Stop();
    std::vector<config::Mistake> mistakes;
    const platform::NodeConfig config = Read(path_, &mistakes);
    if (mistakes.empty()) return node_->Reconfigure(config);
    log_->Write(core::LogLevel::kError, "configuration-kept", 0, config::ToString(mistakes));
    if (left > 0) again_.Start(kReadAgain, [this, left] { Reload(left - 1); });
  }

  runtime::AsioRuntime runtime_;
  const std::string path_;
  core::Timer again_;
  std::unique_ptr<JsonLog> log_;
  std::unique_ptr<platform::Node> node_;
  bool stopping_ = false;
  Signals reload_, stop_, tell_, details_;
};

}  // namespace

int RunOnPlatform(const std::string& path) { return Process(path).Run(); }

}  // namespace croftrun::edge
