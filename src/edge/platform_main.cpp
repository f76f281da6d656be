#include "edge/platform_main.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "edge/json_log.h"
#include "edge/signals.h"
#include "platform/node.h"
#include "runtime/asio_runtime.h"

namespace croftrun::edge {
namespace {

constexpr std::size_t kMostConfigBytes = 16U << 20U;
// A file that cannot be read may be half written: it is read again, at these gaps, so many times.
constexpr std::chrono::milliseconds kReadAgain{100};
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

// Reads the configuration again on SIGHUP; one at fault leaves that in force and is read again.
class Reload {
 public:
  Reload(boost::asio::io_context& context, std::string path, platform::Node* node, core::LogSink* log)
      : again_(context), path_(std::move(path)), node_(node), log_(log), signals_(context, {SIGHUP}, [this] {
          again_.cancel();
          Try(kMostReads);
        }) {}

 private:
  void Try(int left) {
    std::vector<config::Mistake> mistakes;
    const platform::NodeConfig config = Read(path_, &mistakes);
    if (mistakes.empty()) return node_->Reconfigure(config);
    log_->Write(core::LogLevel::kError, "configuration-kept", 0, config::ToString(mistakes));
    if (left == 0) return;
    again_.expires_after(kReadAgain);
    again_.async_wait([this, left](const boost::system::error_code& error) {
      if (!error) Try(left - 1);
    });
  }

  boost::asio::steady_timer again_;
  std::string path_;
  platform::Node* node_;
  core::LogSink* log_;
  Signals signals_;
};

}  // namespace

int RunOnPlatform(const std::string& path) {
  // Before anything else: from its first moment on a signal does not end the process.
  runtime::AsioRuntime runtime;
  boost::asio::signal_set early(runtime.context(), SIGHUP, SIGTERM);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<config::Mistake> mistakes;
  const platform::NodeConfig config = Read(path, &mistakes);
  if (!mistakes.empty()) {
    std::cerr << "croftrun-edge: " << path << ":\n" << config::ToString(mistakes);
    return 3;
  }
  JsonLog log("info", "", config.module.own_number);
  platform::Node node(config, &runtime, &log);
  Reload reload(runtime.context(), path, &node, &log);
  bool stopping = false;
  const Signals stop(runtime.context(), {SIGTERM, SIGINT}, [&] {
    // A second one changes nothing: what was taken is still answered.
    if (!std::exchange(stopping, true)) node.Stop([&] { runtime.Stop(); });
  });
  const Signals tell(runtime.context(), {SIGUSR1},
                     [&] { log.Write(core::LogLevel::kWarning, "metrics", 0, node.Metrics()); });
  log.Write(core::LogLevel::kInfo, "ready", 0,
            config.name + " on " + core::ToString(config.listen) + ", " + std::to_string(config.sockets) +
                " descriptors, " + std::to_string(config.memory_mb) + " MB");
  runtime.Run();
  log.Write(core::LogLevel::kInfo, "stopped", 0, node.Metrics());
  return 0;
}

}  // namespace croftrun::edge
