#include "platform/node.h"

#include <algorithm>
#include <system_error>

#include "platform/node_metrics.h"

namespace croftrun::platform {
namespace {

constexpr TimeUs kMetricsInterval = 10'000'000;
// File descriptors reserved for the process itself and the connections to the discovery service, with some spare.
constexpr std::size_t kReservedDescriptors = 29;
// Percentage of the other descriptors for connections to exchanges. Callers may keep their connections open for any
// time.
constexpr std::size_t kExchangeSharePercent = 35;
// Number of calls allowed per megabyte of memory.
constexpr std::size_t kCallsPerMegabyte = 128;
// Media descriptions of unanswered calls, per megabyte of memory.
constexpr std::size_t kSessionOctetsPerMegabyte = 128 << 10;
// Limits of an event of the discovery service, per megabyte of memory and in total. Several requests may each buffer an
// event, in twice its size.
constexpr std::size_t kEventOctetsPerMegabyte = 16 << 10, kMaxEventOctets = 2 << 20;
// Number of exchanges allowed per megabyte of memory.
constexpr std::size_t kExchangesPerMegabyte = 64;
// After a stop request, calls are accepted for kShutdownAcceptTime and then rejected. When all calls are answered, the
// callers' connections are closed. A message that crossed the close is sent again within kShutdownQuietTime, after
// which new connections are refused. The last connections linger for kShutdownLingerTime, so that their ends are not
// resets.
constexpr TimeUs kShutdownAcceptTime = 750'000, kShutdownQuietTime = 100'000, kShutdownLingerTime = 50'000;
constexpr TimeUs kShutdownCheckInterval = 20'000;
// The platform kills the process no earlier after SIGTERM than the longest deadline, which is limited to kMaxKillDelay,
// plus kMinKillMargin. All calls are answered kAnswerLeadTime before that, the connections are closed kCloseLeadTime
// before that, and the process exits kExitLeadTime before that whatever is left.
constexpr TimeUs kMaxKillDelay = 3'000'000, kMinKillMargin = 700'000;
constexpr TimeUs kAnswerLeadTime = 350'000, kCloseLeadTime = 250'000, kExitLeadTime = 50'000;
// Suspected calls are decided this long before the kill, while the callers' connections are still open.
constexpr TimeUs kDecisionLeadTime = kCloseLeadTime + 2 * policy::kLivenessCheckInterval;
// Interval and maximum number of retries while the address is in use.
constexpr TimeUs kBindRetryInterval = 50'000;
constexpr int kMaxBindRetries = 200;

core::CoreSettings CoreSettingsOf(const NodeConfig& config) {
  core::CoreSettings settings;
  settings.module = config.module;
  settings.seed = config.seed;
  settings.network_manages_circuits = true;
  settings.answer_margin_us = 0;  // the module may use the caller's whole timeout
  settings.forgotten_call_timeout_us = config.answer_grace_us;
  settings.max_session_octets = kMaxLineOctets;
  settings.max_total_session_octets = config.memory_mb * kSessionOctetsPerMegabyte;
  settings.max_calls = std::min<std::size_t>(config.module.max_calls, config.memory_mb * kCallsPerMegabyte);
  return settings;
}

std::vector<std::string> ClassNames(const Settings& module) {
  std::vector<std::string> names;
  for (const CallClass& c : module.classes) names.push_back(c.name);
  return names;
}

}  // namespace

Node::Node(const NodeConfig& config, core::Runtime* runtime, core::Logger* log)
    : runtime_(runtime),
      log_(log),
      metrics_timer_(runtime),
      shutdown_timer_(runtime),
      bind_timer_(runtime),
      settings_text_(config.settings_text) {
  core_ = std::make_unique<core::CallCore>(CoreSettingsOf(config), runtime, log);
  for (const CallClass& call_class : config.module.classes) {
    max_deadline_ = std::max(max_deadline_, call_class.deadline_us > 0 ? call_class.deadline_us : kMaxKillDelay);
  }
  const std::size_t available = config.sockets - std::min(config.sockets / 2, kReservedDescriptors);
  ExchangeSettings exchange_settings;
  exchange_settings.max_connections = available * kExchangeSharePercent / 100;
  exchange_settings.connect_timeout_us = config.connect_timeout_us;
  exchange_settings.drain_grace_us = config.module.drain_grace_us;
  exchange_settings.max_exchanges = config.memory_mb * kExchangesPerMegabyte;
  exchange_settings.classes = ClassNames(config.module);
  exchange_settings.zones = config.zones;
  exchange_settings.kinds = config.kinds;
  exchange_settings.report_fields = config.report_fields;
  // Determined once, so that the same Unix time always converts to the same time of the module.
  exchange_settings.unix_offset_us = runtime->WallClockUs() - static_cast<std::int64_t>(runtime->Now());
  exchange_settings.may_probe = config.module.may_probe;
  exchange_settings.own_circuits = config.module.topology == Topology::kMeshed;
  exchange_connections_ = std::make_unique<ExchangeConnections>(exchange_settings, runtime, log, core_.get());
  core_->SetTrunks(exchange_connections_.get());
  std::uint64_t last = config.known_event_number;
  for (const DirectoryNotification& notification : config.known_notifications) {
    exchange_connections_->OnDirectoryNotification(notification);
    last = std::max(last, notification.number);
  }
  CallerSettings caller_settings;
  caller_settings.listen = config.listen;
  caller_settings.max_connections = available - exchange_settings.max_connections;
  caller_settings.classes = exchange_settings.classes;
  caller_connections_ =
      std::make_unique<CallerConnections>(caller_settings, runtime, log, core_.get(), exchange_connections_.get());
  DiscoverySettings discovery_settings;
  discovery_settings.address = config.discovery_address;
  discovery_settings.max_event_octets = std::min(kMaxEventOctets, config.memory_mb * kEventOctetsPerMegabyte);
  discovery_client_ = std::make_unique<DiscoveryClient>(discovery_settings, runtime, log, last,
                                                        [this](const DirectoryNotification& notification) {
                                                          exchange_connections_->OnDirectoryNotification(notification);
                                                        });
  Listen(kMaxBindRetries);
  StartMetricsTimer();
}

void Node::Listen(int retries_left) {
  try {
    caller_connections_->Listen();
  } catch (const std::system_error& error) {
    if (error.code() != std::errc::address_in_use || retries_left == 0) throw;
    if (retries_left == kMaxBindRetries) log_->Write(core::LogLevel::kWarning, "address-in-use", 0, error.what());
    bind_timer_.Start(kBindRetryInterval, [this, retries_left] { Listen(retries_left - 1); });
  }
}

void Node::Reconfigure(const NodeConfig& config) {
  for (const DirectoryNotification& notification : config.known_notifications) {
    if (notification.number <= discovery_client_->last_number()) continue;
    exchange_connections_->OnDirectoryNotification(notification);
    discovery_client_->AdvanceTo(notification.number);
  }
  log_->Write(core::LogLevel::kInfo, "reconfigured", 0,
              "discovery service " + core::ToString(discovery_client_->address()) + " to " +
                  core::ToString(config.discovery_address));
  if (config.settings_text != settings_text_)
    log_->Write(core::LogLevel::kWarning, "settings-kept", 0,
                "changed settings and limits take effect at the next start");
  discovery_client_->MoveTo(config.discovery_address);
}

void Node::Stop(std::function<void()> on_stopped) {
  on_stopped_ = std::move(on_stopped);
  stop_requested_at_ = runtime_->Now();
  const TimeUs kill_at = stop_requested_at_ + std::min(max_deadline_, kMaxKillDelay) + kMinKillMargin;
  force_close_at_ = kill_at - kCloseLeadTime;
  core_->SetShutdownDeadline(kill_at - kAnswerLeadTime);
  exchange_connections_->SetDecisionDeadline(kill_at - kDecisionLeadTime);
  log_->Write(core::LogLevel::kInfo, "stopping", 0, Metrics());
  ContinueShutdown();
}

// The shutdown accepts calls, then (after kShutdownAcceptTime) rejects them, then closes each connection once it is
// idle. Shortly before the process may be killed, connections are closed although they have established calls. When no
// answer is outstanding, no call and no connection is open, and nothing has arrived for the time in which a message
// that crossed a close is sent again, new connections are refused. What was connected by then is still answered.
void Node::ContinueShutdown() {
  const TimeUs now = runtime_->Now(), closing = std::min(stop_requested_at_ + kShutdownAcceptTime, force_close_at_);
  if (now >= closing) {
    core_->StopAcceptingCalls();
    if (caller_connections_->unanswered_set_ups() > 0 || caller_connections_->connection_count() > 0)
      last_busy_at_ = now;
    caller_connections_->CloseIdleConnections(now >= force_close_at_);
    if (StopListeningOnceQuiet(now, closing) && MayExit(now)) return on_stopped_();
  }
  shutdown_timer_.Start(kShutdownCheckInterval, [this] { ContinueShutdown(); });
}

bool Node::StopListeningOnceQuiet(TimeUs now, TimeUs closing) {
  const TimeUs quiet_since = std::max({closing, last_busy_at_, caller_connections_->last_accepted_at()});
  const bool no_open_calls = caller_connections_->open_calls() == 0 || now >= force_close_at_;
  const bool is_quiet = no_open_calls && now >= quiet_since + kShutdownQuietTime;
  const bool is_overdue = now >= force_close_at_ + kShutdownQuietTime;
  return (is_quiet || is_overdue) && caller_connections_->StopListening();
}

bool Node::MayExit(TimeUs now) const {
  if (caller_connections_->unanswered_set_ups() > 0) return false;
  const bool nothing_left = caller_connections_->connection_count() == 0 && now >= last_busy_at_ + kShutdownLingerTime;
  return nothing_left || now >= force_close_at_ + kCloseLeadTime - kExitLeadTime;
}

std::string Node::Metrics() const {
  return WriteMetrics(*caller_connections_, *exchange_connections_, *core_, *discovery_client_);
}

void Node::StartMetricsTimer() {
  metrics_timer_.Start(kMetricsInterval, [this] {
    log_->Write(core::LogLevel::kInfo, "figures", 0, Metrics());
    StartMetricsTimer();
  });
}

}  // namespace croftrun::platform
