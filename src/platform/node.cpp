#include "platform/node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <system_error>

namespace croftrun::platform {
namespace {

constexpr TimeUs kFiguresEvery = 10'000'000;
// Descriptors that are neither a caller's nor an exchange's: the program's own and the board's, with some to spare.
constexpr std::size_t kOwnDescriptors = 24;
// Of the others, the percentage for connections to exchanges. Callers keep theirs for as long as they like.
constexpr std::size_t kExchangesShare = 35;
// Calls that a megabyte of memory is trusted with.
constexpr std::size_t kCallsPerMegabyte = 128;
// After a stop was asked for, callers may still come for this long. From then on new calls are refused at once; when
// all is answered the callers' connections are closed in order, and what crossed that comes again within the second
// time.
constexpr TimeUs kStopTakes = 750'000, kStopCrossing = 100'000;
constexpr TimeUs kStopCheck = 20'000;
// The platform kills the process no earlier than the longest deadline (at most the first) plus the second after
// SIGTERM. By then every call has its answer (so much before) and the connections are closed (so much before).
constexpr TimeUs kLongestKillWait = 3'000'000, kKillMargin = 700'000;
constexpr TimeUs kAnswersBeforeKill = 350'000, kClosedBeforeKill = 250'000;
// Calls in doubt are ended so much before, as their callers' connections are still open then.
constexpr TimeUs kSettledBeforeKill = kClosedBeforeKill + 2 * policy::kLivenessStep;
// An address that is still bound is tried again at this gap, so many times.
constexpr TimeUs kBindAgain = 50'000;
constexpr int kMostBinds = 200;

core::CoreSettings CoreSettingsOf(const NodeConfig& config) {
  core::CoreSettings settings;
  settings.module = config.module;
  settings.seed = config.seed;
  settings.network_manages_circuits = true;
  settings.answer_margin_us = 0;  // the caller's time is all the module's
  settings.forgotten_call_timeout_us = config.grace_us;
  settings.max_session_octets = kMostLine;
  settings.max_calls = std::min<std::size_t>(config.module.max_held_calls, config.memory_mb * kCallsPerMegabyte);
  return settings;
}

std::vector<std::string> ClassNames(const Settings& module) {
  std::vector<std::string> names;
  for (const CallClass& c : module.classes) names.push_back(c.name);
  return names;
}

}  // namespace

Node::Node(const NodeConfig& config, core::Runtime* runtime, core::Logger* log)
    : runtime_(runtime), log_(log), figures_(runtime), end_(runtime), bind_(runtime), settings_(config.settings) {
  core_ = std::make_unique<core::CallCore>(CoreSettingsOf(config), runtime, log);
  for (const CallClass& call_class : config.module.classes) {
    longest_deadline_ =
        std::max(longest_deadline_, call_class.deadline_us > 0 ? call_class.deadline_us : kLongestKillWait);
  }
  const std::size_t room = config.sockets - std::min(config.sockets / 2, kOwnDescriptors);
  ExchangeSettings to_exchanges;
  to_exchanges.most_links = room * kExchangesShare / 100;
  to_exchanges.connect_within_us = config.connect_timeout_us;
  to_exchanges.classes = ClassNames(config.module);
  to_exchanges.zones = config.zones;
  to_exchanges.kinds = config.kinds;
  to_exchanges.figures = config.figures;
  // Read once: the same Unix time must mean the same time of the module however often it is told.
  to_exchanges.unix_offset_us = runtime->WallClockUs() - static_cast<std::int64_t>(runtime->Now());
  to_exchanges.may_probe = config.module.may_probe;
  to_exchanges.own_circuits = config.module.topology == Topology::kMeshed;
  exchange_connections_ = std::make_unique<ExchangeConnections>(to_exchanges, runtime, log, core_.get());
  core_->SetTrunks(exchange_connections_.get());
  std::uint64_t last = config.known_number;
  for (const Notice& notice : config.known) {
    exchange_connections_->OnNotice(notice);
    last = std::max(last, notice.number);
  }
  CallerSettings to_callers;
  to_callers.listen = config.listen;
  to_callers.most_links = room - to_exchanges.most_links;
  to_callers.classes = to_exchanges.classes;
  caller_connections_ =
      std::make_unique<CallerConnections>(to_callers, runtime, log, core_.get(), exchange_connections_.get());
  discovery_client_ = std::make_unique<DiscoveryClient>(
      runtime, log, config.board, last, [this](const Notice& notice) { exchange_connections_->OnNotice(notice); });
  Listen(kMostBinds);
  TellFigures();
}

void Node::Listen(int tries) {
  try {
    caller_connections_->Listen();
  } catch (const std::system_error& error) {
    if (error.code() != std::errc::address_in_use || tries == 0) throw;
    if (tries == kMostBinds) log_->Write(core::LogLevel::kWarning, "address-in-use", 0, error.what());
    bind_.Start(kBindAgain, [this, tries] { Listen(tries - 1); });
  }
}

void Node::Reconfigure(const NodeConfig& config) {
  for (const Notice& notice : config.known) {
    if (notice.number <= discovery_client_->last()) continue;
    exchange_connections_->OnNotice(notice);
    discovery_client_->Known(notice.number);
  }
  log_->Write(core::LogLevel::kInfo, "reconfigured", 0,
              "board " + core::ToString(discovery_client_->address()) + " to " + core::ToString(config.board));
  if (config.settings != settings_)
    log_->Write(core::LogLevel::kWarning, "settings-kept", 0,
                "changed settings and limits are followed at the next start");
  discovery_client_->MoveTo(config.board);
}

void Node::Stop(std::function<void()> done) {
  done_ = std::move(done);
  stopping_since_ = runtime_->Now();
  const TimeUs kill_at = stopping_since_ + std::min(longest_deadline_, kLongestKillWait) + kKillMargin;
  last_moment_ = kill_at - kClosedBeforeKill;
  core_->SetShutdownDeadline(kill_at - kAnswersBeforeKill);
  exchange_connections_->SettleBy(kill_at - kSettledBeforeKill);
  log_->Write(core::LogLevel::kInfo, "stopping", 0, Metrics());
  WaitForEnd();
}

// Serving, then (kStopTakes) refusing, then closing each connection as nothing is left on it: over once nothing is
// owed, half said, unread or unwritten, no call stands, and nothing has come for the time in which something may still
// cross a close. In the last moment before the kill may come, connections are closed though calls stand on them.
void Node::WaitForEnd() {
  const TimeUs now = runtime_->Now(), closing = std::min(stopping_since_ + kStopTakes, last_moment_);
  if (now >= closing) {
    core_->StopAcceptingCalls();
    if (caller_connections_->unanswered() > 0 || caller_connections_->links() > 0) last_open_ = now;
    caller_connections_->CloseIdle(now >= last_moment_);
    const TimeUs quiet_since = std::max({closing, last_open_, caller_connections_->last_link()});
    const bool quiet = now >= quiet_since + kStopCrossing;
    const bool nothing_stands = caller_connections_->open_calls() == 0 || now >= last_moment_;
    const bool late = now >= last_moment_ + kStopCrossing;
    if (caller_connections_->unanswered() == 0 && ((quiet && nothing_stands) || late)) return done_();
  }
  end_.Start(kStopCheck, [this] { WaitForEnd(); });
}

std::string Node::Metrics() const {
  const auto& c = caller_connections_->counters();
  const auto& e = exchange_connections_->counters();
  const auto& k = core_->counters();
  const auto& b = discovery_client_->counters();
  const nlohmann::json figures = {{"callers",
                                   {{"links", c.links},
                                    {"open_links", caller_connections_->links()},
                                    {"links_waited", c.links_waited},
                                    {"links_evicted", c.links_evicted},
                                    {"links_silent", c.links_silent},
                                    {"links_stuck", c.links_stuck},
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
                                    {"ends_without_link", c.ends_without_link},
                                    {"ends_dropped", c.ends_dropped},
                                    {"ends_waiting", caller_connections_->waiting_ends()},
                                    {"ends_told_again", c.ends_told_again},
                                    {"acknowledged", c.acknowledged},
                                    {"end_waited_longest_ms", c.end_waited_longest / 1000},
                                    {"tests", c.tests},
                                    {"held", caller_connections_->open_calls()},
                                    {"unanswered", caller_connections_->unanswered()}}},
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
                                    {"gauges", e.gauges},
                                    {"gauges_heard", e.gauges_heard},
                                    {"second_answers", e.second_answers},
                                    {"unknown_answers", e.unknown_answers},
                                    {"late_answers", e.late_answers},
                                    {"unknown_ends", e.unknown_ends},
                                    {"open_links", exchange_connections_->links()},
                                    {"legs", exchange_connections_->legs()},
                                    {"listed", exchange_connections_->listed()},
                                    {"lost_exchanges", e.lost_exchanges},
                                    {"liveness_connects", e.liveness_connects},
                                    {"liveness_probes", e.liveness_probes},
                                    {"doubts", e.doubts},
                                    {"doubts_cleared", e.doubts_cleared},
                                    {"given_up_silent", e.given_up_silent},
                                    {"given_up_replaced", e.given_up_replaced},
                                    {"no_room", e.no_room},
                                    {"early_ends", e.early_ends},
                                    {"unreachable", exchange_connections_->unreachable()},
                                    {"standing_unreachable", exchange_connections_->standing_unreachable()},
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
                                    {"last", discovery_client_->last()}}}};
  return figures.dump();
}

void Node::TellFigures() {
  figures_.Start(kFiguresEvery, [this] {
    log_->Write(core::LogLevel::kInfo, "figures", 0, Metrics());
    TellFigures();
  });
}

}  // namespace croftrun::platform
