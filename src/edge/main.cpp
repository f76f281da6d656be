// croftrun-edge: the call agent of one exchange, on sockets.
//
// With --platform it runs on the users' platform instead: callers, exchanges and the discovery service use the
// platform's protocol, and the platform's configuration (GW_CONFIG) replaces the settings file.
//
// Exit codes: 0 orderly stop (SIGTERM, SIGINT), 1 could not start, 2 usage error, 3 invalid settings.
#include <CLI/CLI.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <utility>

#include "edge/edge_node.h"
#include "edge/json_log.h"
#include "edge/platform_main.h"
#include "edge/signals.h"
#include "runtime/asio_runtime.h"
#include "runtime/posix_disk.h"
#include "ws/server.h"

namespace {

constexpr std::size_t kMaxSettingsOctets = 64U << 20U;

// Maximum number of pairs of rules compared for notes in the log; `croftrun rules check` compares all.
constexpr std::size_t kMaxComparedRulePairs = 200'000;
constexpr std::size_t kMaxLoggedRuleNotes = 10;

// The settings that a reload replaces.
struct ReloadedSettings {
  std::shared_ptr<const croftrun::edge::Classifier> classifier;
  std::vector<croftrun::config::SettingsError> mistakes;
  // Weights and limits of customers for admission control; empty if there is none.
  std::vector<croftrun::admission::CustomerSettings> customers;
  // Keys of the API; empty if there are none.
  std::vector<std::string> token_keys;
};

// Reads the settings file again. Rules can refer only to the classes and customers in force, because those of a running
// edge do not change.
ReloadedSettings ReloadSettings(const std::string& path, const croftrun::edge::EdgeSettings& in_force) {
  using namespace croftrun;
  ReloadedSettings result;
  const std::string text = config::ReadFile(path, kMaxSettingsOctets, &result.mistakes);
  edge::EdgeSettings reloaded;
  if (result.mistakes.empty()) reloaded = edge::ParseEdgeSettings(text, &result.mistakes);
  if (result.mistakes.empty() && reloaded.class_names != in_force.class_names)
    result.mistakes.push_back(
        {"/classes", "expected the classes in force, found others; restart the edge to change them"});
  if (result.mistakes.empty() && edge::CustomerNames(reloaded) != edge::CustomerNames(in_force))
    result.mistakes.push_back(
        {"/customers", "expected the customers in force, found others; restart the edge to change them"});
  result.classifier = std::move(reloaded.classifier);
  if (reloaded.admission) result.customers = reloaded.admission->customers;
  if (reloaded.api) result.token_keys = reloaded.api->session_manager.token_keys;
  return result;
}

nlohmann::json FlowMetrics(const croftrun::flow::Ring& ring, const croftrun::flow::Exporter& exporter) {
  using croftrun::flow::RecordKind;
  nlohmann::json json = {{"calls", ring.pushed(RecordKind::kCall)},
                         {"attempts", ring.pushed(RecordKind::kAttempt)},
                         {"intervals", ring.pushed(RecordKind::kInterval)},
                         {"dropped_calls", ring.dropped(RecordKind::kCall)},
                         {"dropped_attempts", ring.dropped(RecordKind::kAttempt)},
                         {"dropped_intervals", ring.dropped(RecordKind::kInterval)},
                         {"ring_bytes", ring.bytes()},
                         {"collectors", nlohmann::json::array()}};
  for (const auto& c : exporter.Metrics())
    json["collectors"].push_back({{"name", c.name},
                                  {"up", c.up},
                                  {"taken", c.taken},
                                  {"sent", c.sent},
                                  {"queue_full", c.queue_full},
                                  {"send_failed", c.send_failed},
                                  {"waiting", c.waiting},
                                  {"messages", c.messages},
                                  {"connects", c.connects},
                                  {"failures", c.failures},
                                  {"stalls", c.stalls},
                                  {"unsure", c.unsure},
                                  {"spooled", c.spooled},
                                  {"spool_octets", c.spool_octets},
                                  {"recovered", c.recovered},
                                  {"spool_full", c.spool_full},
                                  {"spool_damaged", c.spool_damaged},
                                  {"spool_errors", c.spool_errors},
                                  {"last_error", c.last_error},
                                  {"spool_error", c.spool_error}});
  return json;
}

void LogRuleNotes(const croftrun::expr::RuleSet& rules, croftrun::core::Logger* log) {
  std::size_t logged = 0;
  for (const auto& note : rules.FindIssues(false, kMaxComparedRulePairs)) {
    if (++logged > kMaxLoggedRuleNotes) break;
    log->Write(croftrun::core::LogLevel::kWarning, "rules-note", 0,
               "line " + std::to_string(note.line) + ": " + note.text);
  }
}

int Run(const std::string& path, const std::string& metrics_path) {
  using namespace croftrun;
  std::vector<config::SettingsError> mistakes;
  const std::string text = config::ReadFile(path, kMaxSettingsOctets, &mistakes);
  edge::EdgeSettings settings;
  if (mistakes.empty()) settings = edge::ParseEdgeSettings(text, &mistakes);
  if (!mistakes.empty()) {
    std::cerr << "croftrun-edge: " << path << ":\n" << config::ToString(mistakes);
    return 3;
  }
  edge::JsonLog log(settings.log_level, settings.log_file, settings.core.module.own_number);
  runtime::AsioRuntime runtime;
  runtime::PosixDisk disk;
  edge::EdgeNode node(settings, &runtime, &log);
  std::unique_ptr<flow::Ring> ring;
  std::unique_ptr<flow::Recorder> recorder;
  std::unique_ptr<flow::Exporter> exporter;
  if (settings.flow) {
    ring = std::make_unique<flow::Ring>(settings.flow->ring_capacity);
    recorder = std::make_unique<flow::Recorder>(settings.flow->recorder, &runtime, ring.get());
    const auto on_event = [&](const std::string& collector, const std::string& what) {
      boost::asio::post(runtime.context(), [&log, collector, what] {
        log.Write(what == "reached" ? core::LogLevel::kInfo : core::LogLevel::kWarning, "collector", 0,
                  collector + ": " + what);
      });
    };
    exporter = std::make_unique<flow::Exporter>(settings.flow->exporter, ring.get(), &disk, on_event);
    node.core().AddObserver(recorder.get());
  }
  std::unique_ptr<ws::Server> api;
  if (settings.api) {
    ws::ServerSettings server;
    server.listen = settings.api->listen;
    server.max_connections = settings.api->max_connections;
    server.idle_timeout_us = settings.api->idle_timeout_us;
    server.accepts_per_s = settings.api->accepts_per_s;
    server.max_message_octets = settings.api->session_manager.api.max_octets;
    api = std::make_unique<ws::Server>(&runtime.context(), server, node.session_manager());
  }
  const auto metrics = [&] {
    nlohmann::json all = node.Metrics();
    if (exporter != nullptr) all["flow"] = FlowMetrics(*ring, *exporter);
    return all;
  };

  bool stopping = false;
  const edge::Signals on_stop(runtime.context(), {SIGTERM, SIGINT}, [&] {
    if (std::exchange(stopping, true)) return runtime.Stop();  // a second signal stops at once
    node.Stop([&] { runtime.Stop(); });
  });
  const edge::Signals on_dump_metrics(runtime.context(), {SIGUSR1},
                                      [&] { log.Write(core::LogLevel::kWarning, "metrics", 0, metrics().dump()); });
  // Reloads the rules, the customers' limits and the token keys on a separate thread, so that calls are not delayed.
  // After an error the old ones stay in force. A signal during a reload starts another one afterwards.
  boost::asio::thread_pool reload_thread(1);
  bool reloading = false, reload_again = false;
  std::function<void()> start_reload = [&] {
    reloading = true;
    reload_again = false;
    boost::asio::post(reload_thread, [&] {
      auto reloaded = std::make_shared<ReloadedSettings>(ReloadSettings(path, settings));
      boost::asio::post(runtime.context(), [&, reloaded] {
        reloading = false;
        if (reloaded->mistakes.empty()) {
          node.SetClassifier(reloaded->classifier);
          if (!reloaded->customers.empty()) node.SetCustomers(reloaded->customers);
          if (node.session_manager() != nullptr && !reloaded->token_keys.empty())
            node.session_manager()->SetTokenKeys(reloaded->token_keys);
          const std::size_t rules = reloaded->classifier == nullptr ? 0 : reloaded->classifier->rules().rules.size();
          log.Write(core::LogLevel::kInfo, "rules-reloaded", 0,
                    std::to_string(rules) + " rules, version " + std::to_string(node.rules_version()));
          if (reloaded->classifier != nullptr) LogRuleNotes(reloaded->classifier->rules(), &log);
        } else {
          log.Write(core::LogLevel::kError, "rules-kept", 0, config::ToString(reloaded->mistakes));
        }
        if (reload_again) start_reload();
      });
    });
  };
  const edge::Signals on_reload(runtime.context(), {SIGHUP}, [&] {
    if (reloading) {
      reload_again = true;
    } else {
      start_reload();
    }
  });
  if (settings.classifier != nullptr) LogRuleNotes(settings.classifier->rules(), &log);
  std::cerr << "croftrun-edge: exchange " << settings.core.module.own_number << " listens on "
            << core::ToString(node.transactions().Local()) << "\n";
  runtime.Run();
  reload_thread.join();  // anything it posts from now on is not run
  if (exporter != nullptr) exporter->Stop();
  if (!metrics_path.empty()) {
    std::ofstream(metrics_path) << metrics().dump(1) << "\n";
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("croftrun-edge: the call agent of one exchange");
  std::string path, metrics_path;
  bool on_platform = false;
  auto* const settings = app.add_option("settings", path, "JSON settings (schemas/edge.schema.json)");
  app.add_flag("--platform", on_platform,
               "Run on the platform: use its protocol and the configuration file named by GW_CONFIG")
      ->excludes(settings);
  app.add_option("--metrics", metrics_path, "Write all counters to this file on exit, as JSON");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  if (path.empty() && !on_platform) {
    std::cerr << "croftrun-edge: expected a settings file or --platform, found neither\n";
    return 2;
  }
  try {
    if (on_platform) {
      const char* const file = std::getenv("GW_CONFIG");
      if (file == nullptr || *file == '\0') {
        std::cerr << "croftrun-edge: expected the path of a configuration file in GW_CONFIG, found nothing\n";
        return 3;
      }
      return croftrun::edge::RunOnPlatform(file);
    }
    return Run(path, metrics_path);
  } catch (const std::exception& error) {
    std::cerr << "croftrun-edge: " << error.what() << "\n";
    return 1;
  }
}
