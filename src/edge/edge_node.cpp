#include "edge/edge_node.h"

#include <utility>

#include "edge/wire_names.h"

namespace croftrun::edge {
namespace {

constexpr TimeUs kShutdownPollInterval = 20'000;
constexpr TimeUs kUnknownHostLogInterval = 10'000'000;

core::CoreSettings MakeCoreSettings(const EdgeSettings& settings, core::Runtime* runtime) {
  core::CoreSettings core = settings.core;
  core.seed = settings.seed ? *settings.seed : runtime->Random();
  return core;
}

}  // namespace

EdgeNode::EdgeNode(const EdgeSettings& settings, core::Runtime* runtime, core::Logger* log)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      transactions_(
          runtime, settings.listen, settings.transactions,
          [this](auto command, const auto& from, const auto& message) { HandleCommand(command, from, message); }),
      core_(MakeCoreSettings(settings, runtime), runtime, log),
      admission_front_(settings.admission, settings.core.answer_margin_us, runtime, &core_),
      lines_(settings, runtime, &core_, &admission_front_, &transactions_, log),
      trunks_(settings, runtime, &core_, &transactions_),
      shutdown_timer_(runtime),
      unknown_hosts_timer_(runtime) {
  transactions_.SetKnownHosts({settings_.gateway.host},
                              [this](const mgcp::Message& message) { return InUse(message); });
  LogUnknownHosts();
  core_.SetTrunks(&trunks_);
  core_.SetLineDriver(&lines_);
  if (settings_.roster) roster_ = std::make_unique<RosterClient>(*settings_.roster, runtime, &core_, log);
  if (settings_.api) api_ = std::make_unique<ApiFront>(settings_, runtime, &core_, &admission_front_, &lines_);
  lines_.Start();
  trunks_.Start();
  log_->Write(core::LogLevel::kInfo, "started", 0, "exchange " + std::to_string(core_.own_number()));
}

bool EdgeNode::InUse(const mgcp::Message& message) const {
  const std::string_view local = message.endpoint.local;
  if (message.verb == mgcp::Verb::kRsip) return true;
  if (const auto line = wire_names::ParseLine(local)) return lines_.InUse(*line);
  const auto circuit = wire_names::ParseCircuit(local);
  return circuit && trunks_.InUse(circuit->group, circuit->circuit);
}

void EdgeNode::LogUnknownHosts() {
  const mgcp::UnknownHostCounters& unknown = transactions_.unknown_hosts();
  const std::uint64_t total = unknown.commands + unknown.responses + unknown.malformed;
  if (total > unknown_host_datagrams_logged_)
    log_->Write(core::LogLevel::kWarning, "strangers", 0,
                std::to_string(total - unknown_host_datagrams_logged_) +
                    " datagrams from addresses other than this edge's gateway");
  unknown_host_datagrams_logged_ = total;
  unknown_hosts_timer_.Start(kUnknownHostLogInterval, [this] { LogUnknownHosts(); });
}

void EdgeNode::HandleCommand(mgcp::Transactions::CommandId command, const core::Address& from,
                             const mgcp::Message& message) {
  // SetKnownHosts lets only commands from the gateway's address through, which may be forged. A command that no gateway
  // would send must therefore leave no lasting state behind.
  if (from.host != settings_.gateway.host || !mgcp::EqualsIgnoringCase(message.endpoint.domain, settings_.domain))
    return transactions_.Reject(command, mgcp::kUnknownEndpoint, "not an endpoint of this call agent's gateway");
  if (message.verb == mgcp::Verb::kRsip) {
    transactions_.Respond(command, mgcp::kOk);
    log_->Write(core::LogLevel::kWarning, "restart-in-progress", 0,
                std::string(message.Get("RM")) + " " + std::string(message.endpoint.local));
    lines_.HandleRestart(message);
    trunks_.HandleRestart(message);
    return;
  }
  if (message.verb != mgcp::Verb::kNtfy)
    return transactions_.Reject(command, mgcp::kUnsupportedCommand, "a call agent takes NTFY and RSIP");
  if (message.endpoint.local.substr(0, wire_names::kLines.size()) == wire_names::kLines) {
    lines_.HandleNotify(command, message);
  } else {
    trunks_.HandleNotify(command, message);
  }
}

void EdgeNode::Stop(std::function<void()> done) {
  core_.StopAcceptingCalls();
  admission_front_.StopAcceptingCalls();
  log_->Write(core::LogLevel::kInfo, "stopping", 0, std::to_string(core_.open_calls()) + " calls in progress");
  WaitForCalls(runtime_->Now() + settings_.shutdown_timeout_us, std::move(done));
}

void EdgeNode::WaitForCalls(TimeUs deadline, std::function<void()> done) {
  if (core_.open_calls() > 0 && runtime_->Now() >= deadline) core_.EndAllCalls(core::ReleaseCause::kTemporaryFailure);
  if (core_.open_calls() == 0) return done();
  shutdown_timer_.Start(kShutdownPollInterval,
                        [this, deadline, done = std::move(done)] { WaitForCalls(deadline, done); });
}

nlohmann::json EdgeNode::Metrics() const {
  const core::CoreCounters& core_counters = core_.counters();
  const mgcp::TransactionCounters& transaction_counters = transactions_.counters();
  const TrunkGateway::Counters& trunk_counters = trunks_.counters();
  const LineFront::Counters& line_counters = lines_.counters();
  nlohmann::json metrics = {{"calls",
                             {{"open", core_.open_calls()},
                              {"offered", core_counters.offered},
                              {"incoming", core_counters.incoming},
                              {"terminating", core_counters.terminating},
                              {"stands", core_counters.stands},
                              {"refused", core_counters.refused},
                              {"failed", core_counters.failed},
                              {"hung_up", core_counters.hung_up},
                              {"ended", core_counters.ended},
                              {"cut", core_counters.cut},
                              {"attempts", core_counters.attempts},
                              {"moot", core_counters.moot},
                              {"timeouts", core_counters.timeouts},
                              {"refused_full", core_counters.refused_full},
                              {"refused_stopping", core_counters.refused_stopping},
                              {"refused_overload", core_counters.refused_overload},
                              {"refused_door", core_counters.refused_door},
                              {"overdue", core_counters.overdue},
                              {"glare", core_counters.glare},
                              {"not_in_service", core_counters.not_in_service},
                              {"refused_by_far_end", core_counters.refused_by_far_end},
                              {"suspected", core_counters.suspected},
                              {"too_late", core_counters.too_late},
                              {"stale_answers", core_counters.stale_answers}}},
                            {"transactions",
                             {{"pending", transactions_.pending()},
                              {"history", transactions_.history()},
                              {"sent", transaction_counters.sent},
                              {"repeated", transaction_counters.repeated},
                              {"answered", transaction_counters.answered},
                              {"given_up", transaction_counters.given_up},
                              {"received", transaction_counters.received},
                              {"received_again", transaction_counters.received_again},
                              {"malformed", transaction_counters.malformed},
                              {"unknown_responses", transaction_counters.unknown_responses},
                              {"refused_full", transaction_counters.refused_full},
                              {"postponed", transaction_counters.postponed}}},
                            {"strangers",
                             {{"commands", transactions_.unknown_hosts().commands},
                              {"responses", transactions_.unknown_hosts().responses},
                              {"malformed", transactions_.unknown_hosts().malformed},
                              {"answered", transactions_.unknown_hosts().answered}}},
                            {"trunks",
                             {{"legs", trunks_.legs()},
                              {"releasing", trunks_.releasing()},
                              {"seized", trunk_counters.seized},
                              {"released", trunk_counters.released},
                              {"incoming", trunk_counters.incoming},
                              {"refused_incoming", trunk_counters.refused_incoming},
                              {"audits", trunk_counters.audits},
                              {"cleared", trunk_counters.cleared},
                              {"late_seizures", trunk_counters.late_seizures},
                              {"stale_events", trunk_counters.stale_events},
                              {"restarts", trunk_counters.restarts},
                              {"signs_of_life", trunk_counters.signs_of_life},
                              {"out_of_service", trunk_counters.out_of_service}}},
                            {"lines",
                             {{"dialled", line_counters.dialled},
                              {"unallocated", line_counters.unallocated},
                              {"stale_digits", line_counters.stale_digits},
                              {"refused_by_rule", line_counters.refused_by_rule},
                              {"refused_in_answer", line_counters.refused_in_answer},
                              {"rung", line_counters.rung},
                              {"ignored_events", line_counters.ignored_events},
                              {"restarts", line_counters.restarts}}}};
  if (const admission::AdmissionController* admission = admission_front_.admission()) {
    const admission::AdmissionController::Counters& admission_counters = admission->counters();
    metrics["door"] = {{"waiting", admission->waiting()},
                       {"under_way", admission->in_set_up()},
                       {"limit", admission->limit()},
                       {"table_bytes", admission->table_bytes()},
                       {"knocks", admission_counters.requests},
                       {"admitted", admission_counters.admitted},
                       {"waited", admission_counters.queued},
                       {"refused", admission_counters.refused},
                       {"early", admission_counters.early},
                       {"overdue", admission_counters.expired},
                       {"gave_way", admission_counters.evicted},
                       {"over_limit", admission_counters.over_limit},
                       {"promised", admission_counters.reserved},
                       {"as_told", admission_counters.as_instructed},
                       {"as_told_admitted", admission_counters.as_instructed_admitted}};
  }
  for (const core::GroupSettings& group : settings_.core.groups) {
    const core::CircuitGroup* circuits = core_.Group(group.number);
    nlohmann::json states;
    for (std::size_t i = 0; i < core::kCircuitStates; ++i) {
      const auto state = static_cast<core::CircuitState>(i);
      states[std::string(core::Name(state))] = circuits->Count(state);
    }
    metrics["groups"][std::to_string(group.number)] = states;
  }
  if (const expr::RuleState* rules = lines_.rule_state()) {
    metrics["rules"] = {{"version", lines_.rules_version()}, {"counters", nlohmann::json::object()}};
    for (const auto& counter : rules->ReportCounters())
      metrics["rules"]["counters"][counter.name] = {
          {"counted", counter.counted}, {"displaced", counter.displaced}, {"bytes", counter.bytes}};
  }
  if (api_) {
    const ws::SessionManager::Counters& api_counters = api_->session_manager().counters();
    metrics["api"] = {{"connections_open", api_->session_manager().connections()},
                      {"sessions_open", api_->session_manager().sessions()},
                      {"connections", api_counters.connections},
                      {"hellos", api_counters.hellos},
                      {"denied", api_counters.denied},
                      {"sessions", api_counters.sessions},
                      {"resumed", api_counters.resumed},
                      {"expired", api_counters.expired},
                      {"commands", api_counters.commands},
                      {"repeated", api_counters.repeated},
                      {"mistakes", api_counters.invalid_commands},
                      {"over_rate", api_counters.rate_limited},
                      {"placed", api_counters.placed},
                      {"slow_readers", api_counters.slow_consumers},
                      {"lost_events", api_counters.lost_events}};
  }
  if (roster_) {
    metrics["roster"] = {{"version", roster_->version()},
                         {"updates", roster_->counters().updates},
                         {"old", roster_->counters().old},
                         {"gaps", roster_->counters().gaps},
                         {"malformed", roster_->counters().malformed}};
  }
  return metrics;
}

}  // namespace croftrun::edge
