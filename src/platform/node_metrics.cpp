#include "platform/node_metrics.h"

#include <nlohmann/json.hpp>

namespace croftrun::platform {
namespace {

using nlohmann::json;

json CallerMetrics(const CallerConnections& callers) {
  const auto& counters = callers.counters();
  return {{"links", counters.connections},
          {"open_links", callers.connection_count()},
          {"links_waited", counters.connections_waited},
          {"links_evicted", counters.connections_evicted},
          {"links_silent", counters.connections_silent},
          {"links_stuck", counters.connections_stuck},
          {"unreadable", counters.unreadable},
          {"too_long", counters.too_long},
          {"faulty", counters.faulty},
          {"repeated_ids", counters.repeated_ids},
          {"set_ups", counters.set_ups},
          {"given_up", counters.given_up},
          {"adopted", counters.adopted},
          {"answers", counters.answers},
          {"refusals", counters.refusals},
          {"failures", counters.failures},
          {"ended", counters.ended},
          {"released_by_caller", counters.released_by_caller},
          {"ends_without_link", counters.ends_without_connection},
          {"ends_dropped", counters.ends_dropped},
          {"ends_waiting", callers.waiting_releases()},
          {"ends_told_again", counters.ends_told_again},
          {"acknowledged", counters.acknowledged},
          {"announced_early", counters.announced_early},
          {"announced_again", counters.announced_again},
          {"announced_after_end", counters.announced_after_end},
          {"end_waited_longest_ms", counters.end_waited_longest / 1000},
          {"tests", counters.tests},
          {"held", callers.open_calls()},
          {"unanswered", callers.unanswered_set_ups()}};
}

json ExchangeMetrics(const ExchangeConnections& exchanges) {
  const auto& counters = exchanges.counters();
  return {{"set_ups", counters.set_ups},
          {"shared", counters.shared},
          {"answers", counters.answers},
          {"refusals", counters.refusals},
          {"errors", counters.errors},
          {"resets", counters.resets},
          {"never_ran", counters.never_ran},
          {"given_up", counters.given_up},
          {"ended", counters.ended},
          {"cut", counters.cut},
          {"cut_with_exchange", counters.cut_with_exchange},
          {"released", counters.released},
          {"connects", counters.connects},
          {"refused", counters.refused},
          {"timed_out", counters.timed_out},
          {"broken", counters.broken},
          {"spoilt", counters.spoilt},
          {"gauges", counters.reports},
          {"gauges_heard", counters.changed_reports},
          {"second_answers", counters.second_answers},
          {"unknown_answers", counters.unknown_answers},
          {"late_answers", counters.late_answers},
          {"unknown_ends", counters.unknown_ends},
          {"open_links", exchanges.connection_count()},
          {"legs", exchanges.call_leg_count()},
          {"listed", exchanges.exchange_count()},
          {"lost_exchanges", counters.lost_exchanges},
          {"liveness_connects", counters.liveness_connects},
          {"liveness_probes", counters.liveness_probes},
          {"doubts", counters.suspicions},
          {"doubts_cleared", counters.suspicions_cleared},
          {"given_up_silent", counters.given_up_silent},
          {"given_up_replaced", counters.given_up_replaced},
          {"no_room", counters.no_room},
          {"replacements", counters.replacements},
          {"ignored_exchanges", counters.ignored_exchanges},
          {"successions", counters.successions},
          {"undecided", counters.undecided},
          {"undecided_confirmed", counters.undecided_confirmed},
          {"undecided_released", counters.undecided_released},
          {"taken_over", counters.taken_over},
          {"early_ends", counters.early_ends},
          {"unreachable", exchanges.unreachable_exchanges()},
          {"standing_unreachable", exchanges.calls_at_unreachable_exchanges()},
          {"longest_silence_ms", exchanges.longest_silence() / 1000}};
}

json CoreMetrics(const core::CallCore& core) {
  const auto& counters = core.counters();
  return {{"offered", counters.offered},
          {"attempts", counters.attempts},
          {"timeouts", counters.timeouts},
          {"overdue", counters.overdue},
          {"too_late", counters.too_late},
          {"refused_full", counters.refused_full},
          {"failed_at_end", counters.failed_at_end},
          {"stale_answers", counters.stale_answers},
          {"open", core.open_calls()},
          {"session_octets", core.session_octets()}};
}

json DiscoveryMetrics(const DiscoveryClient& discovery_client) {
  const auto& counters = discovery_client.counters();
  return {{"connects", counters.connects},
          {"breaks", counters.breaks},
          {"silences", counters.silences},
          {"gaps", counters.gaps},
          {"events", counters.events},
          {"repeated", counters.repeated},
          {"unreadable", counters.unreadable},
          {"unanswered", counters.unanswered},
          {"response_waited_longest_ms", counters.longest_response_wait / 1000},
          {"open_requests", discovery_client.open_requests()},
          {"last", discovery_client.last_number()}};
}

}  // namespace

std::string WriteMetrics(const CallerConnections& callers, const ExchangeConnections& exchanges,
                         const core::CallCore& core, const DiscoveryClient& discovery_client) {
  const json metrics = {{"callers", CallerMetrics(callers)},
                        {"exchanges", ExchangeMetrics(exchanges)},
                        {"core", CoreMetrics(core)},
                        {"board", DiscoveryMetrics(discovery_client)}};
  return metrics.dump();
}

}  // namespace croftrun::platform
