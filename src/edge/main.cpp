// croftrun-edge: the call agent of one exchange, on sockets.
//
// Exit codes: 0 stopped in order (SIGTERM, SIGINT), 1 could not start, 2 usage, 3 settings at fault.
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>

#include "edge/edge_node.h"
#include "edge/json_log.h"
#include "runtime/asio_runtime.h"

namespace {

constexpr std::size_t kMostSettingsBytes = 64U << 20U;

int Run(const std::string& path, const std::string& metrics_path) {
  using namespace croftrun;
  std::vector<config::Mistake> mistakes;
  const std::string text = config::ReadFile(path, kMostSettingsBytes, &mistakes);
  edge::EdgeSettings settings;
  if (mistakes.empty()) settings = edge::ParseEdgeSettings(text, &mistakes);
  if (!mistakes.empty()) {
    std::cerr << "croftrun-edge: " << path << ":\n" << config::ToString(mistakes);
    return 3;
  }
  edge::JsonLog log(settings.log_level, settings.log_file, settings.core.module.own_number);
  runtime::AsioRuntime runtime;
  edge::EdgeNode node(settings, &runtime, &log);

  boost::asio::signal_set stop(runtime.context(), SIGTERM, SIGINT);
  bool stopping = false;
  std::function<void(const boost::system::error_code&, int)> on_stop = [&](const auto& error, int) {
    if (error) return;
    if (stopping) return runtime.Stop();  // a second signal: at once
    stopping = true;
    stop.async_wait(on_stop);
    node.Stop([&] { runtime.Stop(); });
  };
  stop.async_wait(on_stop);
  boost::asio::signal_set tell(runtime.context(), SIGUSR1);
  std::function<void(const boost::system::error_code&, int)> on_tell = [&](const auto& error, int) {
    if (error) return;
    log.Write(core::LogLevel::kWarning, "metrics", 0, node.Metrics().dump());
    tell.async_wait(on_tell);
  };
  tell.async_wait(on_tell);
  // The rules alone are read again; a file at fault leaves those in force.
  boost::asio::signal_set reload(runtime.context(), SIGHUP);
  std::function<void(const boost::system::error_code&, int)> on_reload = [&](const auto& error, int) {
    if (error) return;
    std::vector<config::Mistake> faults;
    const std::string again = config::ReadFile(path, kMostSettingsBytes, &faults);
    edge::EdgeSettings fresh;
    if (faults.empty()) fresh = edge::ParseEdgeSettings(again, &faults);
    if (faults.empty() && fresh.class_names != settings.class_names)
      faults.push_back({"/classes", "expected the classes in force, found others; restart the edge to change them"});
    const auto names = [](const edge::EdgeSettings& s) {
      std::vector<std::string> list;
      for (const Customer& customer : s.core.module.customers) list.push_back(customer.name);
      return list;
    };
    if (faults.empty() && names(fresh) != names(settings))
      faults.push_back({"/customers", "expected the customers in force, found others; restart the edge to change them"});
    if (faults.empty()) {
      node.SetClassifier(fresh.classifier);
      const std::size_t rules = fresh.classifier == nullptr ? 0 : fresh.classifier->rules().rules.size();
      log.Write(core::LogLevel::kInfo, "rules-reloaded", 0, std::to_string(rules) + " rules, version " + std::to_string(node.rules_version()));
    } else {
      log.Write(core::LogLevel::kError, "rules-kept", 0, config::ToString(faults));
    }
    reload.async_wait(on_reload);
  };
  reload.async_wait(on_reload);
  std::cerr << "croftrun-edge: exchange " << settings.core.module.own_number << " listens on "
            << core::ToString(node.transactions().Local()) << "\n";
  runtime.Run();
  if (!metrics_path.empty()) {
    std::ofstream(metrics_path) << node.Metrics().dump(1) << "\n";
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("croftrun-edge: the call agent of one exchange");
  std::string path, metrics_path;
  app.add_option("settings", path, "JSON settings (schemas/edge.schema.json)")->required();
  app.add_option("--metrics", metrics_path, "Write all counters there at the end, as JSON");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    return Run(path, metrics_path);
  } catch (const std::exception& error) {
    std::cerr << "croftrun-edge: " << error.what() << "\n";
    return 1;
  }
}
