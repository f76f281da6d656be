// croftrun-edge: the call agent of one exchange, on sockets.
//
// With --platform it is in service on the users' platform instead: callers, exchanges and the notice board speak its
// protocol, and its configuration (GW_CONFIG) stands in for the settings file.
//
// Exit codes: 0 stopped in order (SIGTERM, SIGINT), 1 could not start, 2 usage, 3 settings at fault.
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

constexpr std::size_t kMostSettingsBytes = 64U << 20U;

// Pairs of rules compared for notes in the log; `croftrun rules check` looks at all.
constexpr std::size_t kMostPairs = 200'000;
constexpr std::size_t kMostNotes = 10;

struct Reread {
  std::shared_ptr<const croftrun::edge::Classifier> classifier;
  std::vector<croftrun::config::Mistake> faults;
  std::vector<croftrun::admission::CustomerSettings> customers;  // their weights and limits at the door; none: no door
  std::vector<std::string> token_keys;                           // of the API; none: it has none
};

// The words that rules may use are those in force: the classes and customers of a running edge do not change.
Reread ReadAgain(const std::string& path, const croftrun::edge::EdgeSettings& in_force) {
  using namespace croftrun;
  Reread result;
  const std::string text = config::ReadFile(path, kMostSettingsBytes, &result.faults);
  edge::EdgeSettings fresh;
  if (result.faults.empty()) fresh = edge::ParseEdgeSettings(text, &result.faults);
  if (result.faults.empty() && fresh.class_names != in_force.class_names)
    result.faults.push_back(
        {"/classes", "expected the classes in force, found others; restart the edge to change them"});
  if (result.faults.empty() && edge::CustomerNames(fresh) != edge::CustomerNames(in_force))
    result.faults.push_back(
        {"/customers", "expected the customers in force, found others; restart the edge to change them"});
  result.classifier = std::move(fresh.classifier);
  if (fresh.admission) result.customers = fresh.admission->customers;
  if (fresh.api) result.token_keys = fresh.api->session_manager.token_keys;
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
  for (const auto& c : exporter.Figures())
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

void TellNotes(const croftrun::expr::RuleSet& rules, croftrun::core::Logger* log) {
  std::size_t told = 0;
  for (const auto& note : rules.Report(false, kMostPairs)) {
    if (++told > kMostNotes) break;
    log->Write(croftrun::core::LogLevel::kWarning, "rules-note", 0,
               "line " + std::to_string(note.line) + ": " + note.text);
  }
}

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
  runtime::PosixDisk disk;
  edge::EdgeNode node(settings, &runtime, &log);
  std::unique_ptr<flow::Ring> ring;
  std::unique_ptr<flow::Recorder> recorder;
  std::unique_ptr<flow::Exporter> exporter;
  if (settings.flow) {
    ring = std::make_unique<flow::Ring>(settings.flow->ring);
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
    server.most_connections = settings.api->most_connections;
    server.idle_us = settings.api->idle_us;
    server.accepts_per_s = settings.api->accepts_per_s;
    server.most_octets = settings.api->session_manager.api.most_octets;
    api = std::make_unique<ws::Server>(&runtime.context(), server, node.session_manager());
  }
  const auto metrics = [&] {
    nlohmann::json all = node.Metrics();
    if (exporter != nullptr) all["flow"] = FlowMetrics(*ring, *exporter);
    return all;
  };

  bool stopping = false;
  const edge::Signals stop(runtime.context(), {SIGTERM, SIGINT}, [&] {
    if (std::exchange(stopping, true)) return runtime.Stop();  // a second signal: at once
    node.Stop([&] { runtime.Stop(); });
  });
  const edge::Signals tell(runtime.context(), {SIGUSR1},
                           [&] { log.Write(core::LogLevel::kWarning, "metrics", 0, metrics().dump()); });
  // The rules alone are read again, by a thread of their own: calls do not wait for it. A file at fault leaves those in
  // force. A signal during that is kept for after it.
  boost::asio::thread_pool reader(1);
  bool reading = false, again = false;
  std::function<void()> read = [&] {
    reading = true;
    again = false;
    boost::asio::post(reader, [&] {
      auto fresh = std::make_shared<Reread>(ReadAgain(path, settings));
      boost::asio::post(runtime.context(), [&, fresh] {
        reading = false;
        if (fresh->faults.empty()) {
          node.SetClassifier(fresh->classifier);
          if (!fresh->customers.empty()) node.SetCustomers(fresh->customers);
          if (node.session_manager() != nullptr && !fresh->token_keys.empty())
            node.session_manager()->SetKeys(fresh->token_keys);
          const std::size_t rules = fresh->classifier == nullptr ? 0 : fresh->classifier->rules().rules.size();
          log.Write(core::LogLevel::kInfo, "rules-reloaded", 0,
                    std::to_string(rules) + " rules, version " + std::to_string(node.rules_version()));
          if (fresh->classifier != nullptr) TellNotes(fresh->classifier->rules(), &log);
        } else {
          log.Write(core::LogLevel::kError, "rules-kept", 0, config::ToString(fresh->faults));
        }
        if (again) read();
      });
    });
  };
  const edge::Signals reload(runtime.context(), {SIGHUP}, [&] {
    if (reading) {
      again = true;
    } else {
      read();
    }
  });
  if (settings.classifier != nullptr) TellNotes(settings.classifier->rules(), &log);
  std::cerr << "croftrun-edge: exchange " << settings.core.module.own_number << " listens on "
            << core::ToString(node.transactions().Local()) << "\n";
  runtime.Run();
  reader.join();  // what it posts after this is not run
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
               "In service on the platform: its protocol, configured by the file GW_CONFIG names")
      ->excludes(settings);
  app.add_option("--metrics", metrics_path, "Write all counters there at the end, as JSON");
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
