#include "platform/node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <system_error>

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
// After a stop request, calls are accepted for kShutdownAcceptTime and then rejected. When all calls are answered, the
// callers' connections are closed. A message that crossed the close is sent again within kShutdownQuietTime.
constexpr TimeUs kShutdownAcceptTime = 750'000, kShutdownQuietTime = 100'000;
constexpr TimeUs kShutdownCheckInterval = 20'000;
// The platform kills the process no earlier after SIGTERM than the longest deadline, which is limited to kMaxKillDelay,
// plus kMinKillMargin. All calls are answered kAnswerLeadTime before that, and the connections are closed
// kCloseLeadTime before that.
constexpr TimeUs kMaxKillDelay = 3'000'000, kMinKillMargin = 700'000;
constexpr TimeUs kAnswerLeadTime = 350'000, kCloseLeadTime = 250'000;
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
  discovery_client_ = std::make_unique<DiscoveryClient>(runtime, log, config.discovery_address, last,
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
// idle. It is complete when no answer is outstanding, no call is open, no line is partial, no data is unread or
// unwritten, and nothing has arrived for the time in which a message may cross a close. Shortly before the process may
// be killed, connections are closed although they have established calls.
void Node::ContinueShutdown() {
  const TimeUs now = runtime_->Now(), closing = std::min(stop_requested_at_ + kShutdownAcceptTime, force_close_at_);
  if (now >= closing) {
    core_->StopAcceptingCalls();
    if (caller_connections_->unanswered_set_ups() > 0 || caller_connections_->connection_count() > 0)
      last_busy_at_ = now;
    caller_connections_->CloseIdleConnections(now >= force_close_at_);
    const TimeUs quiet_since = std::max({closing, last_busy_at_, caller_connections_->last_accepted_at()});
    const bool quiet = now >= quiet_since + kShutdownQuietTime;
    const bool no_open_calls = caller_connections_->open_calls() == 0 || now >= force_close_at_;
    const bool overdue = now >= force_close_at_ + kShutdownQuietTime;
    if (caller_connections_->unanswered_set_ups() == 0 && ((quiet && no_open_calls) || overdue)) return on_stopped_();
  }
  shutdown_timer_.Start(kShutdownCheckInterval, [this] { ContinueShutdown(); });
}

std::string Node::Metrics() const {
  const auto& c = caller_connections_->counters();
  const auto& e = exchange_connections_->counters();
  const auto& k = core_->counters();
  const auto& b = discovery_client_->counters();
  const nlohmann::json metrics = {{"callers",
                                   {{"links", c.connections},
                                    {"open_links", caller_connections_->connection_count()},
                                    {"links_waited", c.connections_waited},
                                    {"links_evicted", c.connections_evicted},
                                    {"links_silent", c.connections_silent},
                                    {"links_stuck", c.connections_stuck},
                                    {"unreadable", c.unreadable},
                                    {"too_long", c.too_long},
                                    {"faulty", c.faulty},
                                    {"repeated_ids", c.repeated_ids},
                                    {"set_ups", c.set_ups},
                                    {"given_up", c.given_up},
                                    {"adopted", c.adopted},
                                    {"answers", c.answers},
                                    {"refusals", c.refusals},
                                    {"failures", c.failures},
                                    {"ended", c.ended},
                                    {"released_by_caller", c.released_by_caller},
                                    {"ends_without_link", c.ends_without_connection},
                                    {"ends_dropped", c.ends_dropped},
                                    {"ends_waiting", caller_connections_->waiting_releases()},
                                    {"ends_told_again", c.ends_told_again},
                                    {"acknowledged", c.acknowledged},
                                    {"announced_again", c.announced_again},
                                    {"announced_after_end", c.announced_after_end},
                                    {"end_waited_longest_ms", c.end_waited_longest / 1000},
                                    {"tests", c.tests},
                                    {"held", caller_connections_->open_calls()},
                                    {"unanswered", caller_connections_->unanswered_set_ups()}}},
                                  {"exchanges",
                                   {{"set_ups", e.set_ups},
                                    {"shared", e.shared},
                                    {"answers", e.answers},
                                    {"refusals", e.refusals},
                                    {"errors", e.errors},
                                    {"resets", e.resets},
                                    {"never_ran", e.never_ran},
                                    {"given_up", e.given_up},
                                    {"ended", e.ended},
                                    {"cut", e.cut},
                                    {"cut_with_exchange", e.cut_with_exchange},
                                    {"released", e.released},
                                    {"connects", e.connects},
                                    {"refused", e.refused},
                                    {"timed_out", e.timed_out},
                                    {"broken", e.broken},
                                    {"spoilt", e.spoilt},
                                    {"gauges", e.reports},
                                    {"gauges_heard", e.changed_reports},
                                    {"second_answers", e.second_answers},
                                    {"unknown_answers", e.unknown_answers},
                                    {"late_answers", e.late_answers},
                                    {"unknown_ends", e.unknown_ends},
                                    {"open_links", exchange_connections_->connection_count()},
                                    {"legs", exchange_connections_->call_leg_count()},
                                    {"listed", exchange_connections_->exchange_count()},
                                    {"lost_exchanges", e.lost_exchanges},
                                    {"liveness_connects", e.liveness_connects},
                                    {"liveness_probes", e.liveness_probes},
                                    {"doubts", e.suspicions},
                                    {"doubts_cleared", e.suspicions_cleared},
                                    {"given_up_silent", e.given_up_silent},
                                    {"given_up_replaced", e.given_up_replaced},
                                    {"no_room", e.no_room},
                                    {"early_ends", e.early_ends},
                                    {"unreachable", exchange_connections_->unreachable_exchanges()},
                                    {"standing_unreachable", exchange_connections_->calls_at_unreachable_exchanges()},
                                    {"longest_silence_ms", exchange_connections_->longest_silence() / 1000}}},
                                  {"core",
                                   {{"offered", k.offered},
                                    {"attempts", k.attempts},
                                    {"timeouts", k.timeouts},
                                    {"overdue", k.overdue},
                                    {"too_late", k.too_late},
                                    {"refused_full", k.refused_full},
                                    {"failed_at_end", k.failed_at_end},
                                    {"stale_answers", k.stale_answers},
                                    {"open", core_->open_calls()}}},
                                  {"board",
                                   {{"connects", b.connects},
                                    {"breaks", b.breaks},
                                    {"silences", b.silences},
                                    {"gaps", b.gaps},
                                    {"events", b.events},
                                    {"repeated", b.repeated},
                                    {"unreadable", b.unreadable},
                                    {"unanswered", b.unanswered},
                                    {"response_waited_longest_ms", b.longest_response_wait / 1000},
                                    {"open_requests", discovery_client_->open_requests()},
                                    {"last", discovery_client_->last_number()}}}};
  return metrics.dump();
}

void Node::StartMetricsTimer() {
  metrics_timer_.Start(kMetricsInterval, [this] {
    log_->Write(core::LogLevel::kInfo, "figures", 0, Metrics());
    StartMetricsTimer();
  });
}

}  // namespace croftrun::platform
