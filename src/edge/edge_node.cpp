#include "edge/edge_node.h"

#include <utility>

#include "edge/wire_names.h"

namespace croftrun::edge {
namespace {

constexpr TimeUs kStopPoll = 20'000;
constexpr TimeUs kTellOfStrangers = 10'000'000;

core::CoreSettings CoreSettingsOf(const EdgeSettings& settings, core::Runtime* runtime) {
  core::CoreSettings core = settings.core;
  core.seed = settings.seed ? *settings.seed : runtime->Random();
  return core;
}

}  // namespace

EdgeNode::EdgeNode(const EdgeSettings& settings, core::Runtime* runtime, core::Logger* log)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      transactions_(runtime, settings.listen, settings.transactions,
                    [this](auto command, const auto& from, const auto& message) { OnCommand(command, from, message); }),
      core_(CoreSettingsOf(settings, runtime), runtime, log),
      admission_front_(settings.admission, settings.core.answer_margin_us, runtime, &core_),
      lines_(settings, runtime, &core_, &admission_front_, &transactions_, log),
      trunks_(settings, runtime, &core_, &transactions_),
      stopping_(runtime),
      strangers_(runtime) {
  transactions_.SetKnownHosts({settings_.gateway.host},
                              [this](const mgcp::Message& message) { return InUse(message); });
  TellOfStrangers();
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

void EdgeNode::TellOfStrangers() {
  const mgcp::StrangerCounters& s = transactions_.strangers();
  const std::uint64_t heard = s.commands + s.responses + s.malformed;
  if (heard > strangers_told_)
    log_->Write(core::LogLevel::kWarning, "strangers", 0,
                std::to_string(heard - strangers_told_) + " datagrams from addresses that are no gateway of this edge");
  strangers_told_ = heard;
  strangers_.Start(kTellOfStrangers, [this] { TellOfStrangers(); });
}

void EdgeNode::OnCommand(mgcp::Transactions::CommandId command, const core::Address& from,
                         const mgcp::Message& message) {
  // Only the own gateway gets as far as here (SetKnownHosts), or somebody in its name: what no gateway would send costs
  // nothing that lasts.
  if (from.host != settings_.gateway.host || !mgcp::EqualsIgnoringCase(message.endpoint.domain, settings_.domain))
    return transactions_.Reject(command, mgcp::kUnknownEndpoint, "not an endpoint of this call agent's gateway");
  if (message.verb == mgcp::Verb::kRsip) {
    transactions_.Respond(command, mgcp::kOk);
    log_->Write(core::LogLevel::kWarning, "restart-in-progress", 0,
                std::string(message.Get("RM")) + " " + std::string(message.endpoint.local));
    lines_.OnRestart(message);
    trunks_.OnRestart(message);
    return;
  }
  if (message.verb != mgcp::Verb::kNtfy)
    return transactions_.Reject(command, mgcp::kUnsupportedCommand, "a call agent takes NTFY and RSIP");
  if (message.endpoint.local.substr(0, wire_names::kLines.size()) == wire_names::kLines) {
    lines_.OnNotify(command, message);
  } else {
    trunks_.OnNotify(command, message);
  }
}

void EdgeNode::Stop(std::function<void()> done) {
  core_.StopAcceptingCalls();
  admission_front_.StopTaking();
  log_->Write(core::LogLevel::kInfo, "stopping", 0, std::to_string(core_.open_calls()) + " calls up");
  WaitForCalls(runtime_->Now() + settings_.shutdown_limit_us, std::move(done));
}

void EdgeNode::WaitForCalls(TimeUs until, std::function<void()> done) {
  if (core_.open_calls() > 0 && runtime_->Now() >= until) core_.EndAllCalls(core::ReleaseCause::kTemporaryFailure);
  if (core_.open_calls() == 0) return done();
  stopping_.Start(kStopPoll, [this, until, done = std::move(done)] { WaitForCalls(until, done); });
}

nlohmann::json EdgeNode::Metrics() const {
  const core::CoreCounters& c = core_.counters();
  const mgcp::TransactionCounters& t = transactions_.counters();
  const TrunkGateway::Counters& k = trunks_.counters();
  const LineFront::Counters& l = lines_.counters();
  nlohmann::json metrics = {{"calls",
                             {{"open", core_.open_calls()},
                              {"offered", c.offered},
                              {"incoming", c.incoming},
                              {"terminating", c.terminating},
                              {"stands", c.stands},
                              {"refused", c.refused},
                              {"failed", c.failed},
                              {"hung_up", c.hung_up},
                              {"ended", c.ended},
                              {"cut", c.cut},
                              {"attempts", c.attempts},
                              {"moot", c.moot},
                              {"timeouts", c.timeouts},
                              {"refused_full", c.refused_full},
                              {"refused_stopping", c.refused_stopping},
                              {"refused_overload", c.refused_overload},
                              {"refused_door", c.refused_door},
                              {"overdue", c.overdue},
                              {"glare", c.glare},
                              {"not_in_service", c.not_in_service},
                              {"refused_by_far_end", c.refused_by_far_end},
                              {"suspected", c.suspected},
                              {"too_late", c.too_late},
                              {"stale_answers", c.stale_answers}}},
                            {"transactions",
                             {{"pending", transactions_.pending()},
                              {"history", transactions_.history()},
                              {"sent", t.sent},
                              {"repeated", t.repeated},
                              {"answered", t.answered},
                              {"given_up", t.given_up},
                              {"received", t.received},
                              {"received_again", t.received_again},
                              {"malformed", t.malformed},
                              {"unknown_responses", t.unknown_responses},
                              {"refused_full", t.refused_full},
                              {"postponed", t.postponed}}},
                            {"strangers",
                             {{"commands", transactions_.strangers().commands},
                              {"responses", transactions_.strangers().responses},
                              {"malformed", transactions_.strangers().malformed},
                              {"answered", transactions_.strangers().answered}}},
                            {"trunks",
                             {{"legs", trunks_.legs()},
                              {"releasing", trunks_.releasing()},
                              {"seized", k.seized},
                              {"released", k.released},
                              {"incoming", k.incoming},
                              {"refused_incoming", k.refused_incoming},
                              {"audits", k.audits},
                              {"cleared", k.cleared},
                              {"late_seizures", k.late_seizures},
                              {"stale_events", k.stale_events},
                              {"restarts", k.restarts},
                              {"signs_of_life", k.signs_of_life},
                              {"out_of_service", k.out_of_service}}},
                            {"lines",
                             {{"dialled", l.dialled},
                              {"unallocated", l.unallocated},
                              {"stale_digits", l.stale_digits},
                              {"refused_by_rule", l.refused_by_rule},
                              {"refused_in_answer", l.refused_in_answer},
                              {"rung", l.rung},
                              {"ignored_events", l.ignored_events},
                              {"restarts", l.restarts}}}};
  if (const admission::AdmissionController* admission = admission_front_.admission()) {
    const admission::AdmissionController::Counters& d = admission->counters();
    metrics["door"] = {{"waiting", admission->waiting()},
                       {"under_way", admission->under_way()},
                       {"limit", admission->limit()},
                       {"table_bytes", admission->table_bytes()},
                       {"knocks", d.requests},
                       {"admitted", d.admitted},
                       {"waited", d.waited},
                       {"refused", d.refused},
                       {"early", d.early},
                       {"overdue", d.overdue},
                       {"gave_way", d.gave_way},
                       {"over_limit", d.over_limit},
                       {"promised", d.promised},
                       {"as_told", d.as_told},
                       {"as_told_admitted", d.as_told_admitted}};
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
    for (const auto& counter : rules->Report())
      metrics["rules"]["counters"][counter.name] = {
          {"counted", counter.counted}, {"displaced", counter.displaced}, {"bytes", counter.bytes}};
  }
  if (api_) {
    const ws::SessionManager::Counters& a = api_->session_manager().counters();
    metrics["api"] = {{"connections_open", api_->session_manager().connections()},
                      {"sessions_open", api_->session_manager().sessions()},
                      {"connections", a.connections},
                      {"hellos", a.hellos},
                      {"denied", a.denied},
                      {"sessions", a.sessions},
                      {"resumed", a.resumed},
                      {"expired", a.expired},
                      {"commands", a.commands},
                      {"repeated", a.repeated},
                      {"mistakes", a.mistakes},
                      {"over_rate", a.over_rate},
                      {"placed", a.placed},
                      {"slow_readers", a.slow_readers},
                      {"lost_events", a.lost_events}};
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
