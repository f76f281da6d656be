#include "reach/account.h"

#include <algorithm>
#include <numeric>

namespace croftrun::reach {
namespace {

// A time or duration in seconds with three decimals.
std::string Seconds(TimeUs at) {
  std::string text = std::to_string(at / 1000);
  text.insert(text.size() > 3 ? text.size() - 3 : 0, text.size() > 3 ? "." : "0.");
  return text + " s";
}

}  // namespace

std::string_view Name(LossCategory lost) {
  constexpr std::array<std::string_view, kLossCategories> kNames = {"no circuit anywhere",
                                                                    "free, not tried",
                                                                    "not tried, unwell end",
                                                                    "late redial, not tried",
                                                                    "glare",
                                                                    "stuck circuit",
                                                                    "turned back",
                                                                    "cold exchange",
                                                                    "dead exchange",
                                                                    "slow or full exchange",
                                                                    "lines busy",
                                                                    "lost on the path",
                                                                    "own edge",
                                                                    "caller gone",
                                                                    "cut"};
  return kNames[static_cast<std::size_t>(lost)];
}

std::uint64_t Account::LostTotal() const { return std::accumulate(lost.begin(), lost.end(), std::uint64_t{0}); }

LossCategory Ledger::Category(const AttemptRecord& t) {
  if (t.outcome == "hung-up") return LossCategory::kCallAbandoned;
  if (t.own_edge_down) return LossCategory::kOwnEdge;
  if (t.outcome == "unanswered") return LossCategory::kPath;
  if (!t.sent) {
    if (!t.direct && t.tandems == 0) return LossCategory::kNoCircuit;
    return t.late_redial ? LossCategory::kLateRedial
           : t.healthy   ? LossCategory::kNotTried
                         : LossCategory::kNotTriedUnhealthy;
  }
  const auto state = [&](LossCategory otherwise) {
    return t.down         ? LossCategory::kExchangeDown
           : t.warming_up ? LossCategory::kWarmingUp
           : t.slow       ? LossCategory::kExchangeOverloaded
                          : otherwise;
  };
  switch (t.set_up_outcome) {
    case SetUpOutcome::kOwnDown:
      return LossCategory::kOwnEdge;
    case SetUpOutcome::kOwnRefused:
      return LossCategory::kStuckCircuit;
    case SetUpOutcome::kReleased:
      if (t.cause == 44) return LossCategory::kGlare;
      if (t.cause == 47) return LossCategory::kStuckCircuit;
      if (t.cause == 17) return LossCategory::kLinesBusy;
      if (t.cause == 27) return LossCategory::kExchangeDown;
      if (t.cause == 34) return t.direct || t.tandems > 0 ? LossCategory::kCrankback : LossCategory::kNoCircuit;
      if (t.cause == 42) return state(LossCategory::kExchangeOverloaded);
      return state(LossCategory::kExchangeDown);
    default:
      // Cancelled or still pending: attributed to the state of the exchange that the set-up was sent to.
      return state(LossCategory::kPath);
  }
}

void Ledger::RecordAttempt(TimeUs at, const AttemptRecord& t) {
  Account& account = accounts_[static_cast<std::size_t>(t.call_class)];
  if (t.outcome == "cut" || t.outcome == "cut-late") {
    --(t.outcome == "cut" ? account.in_time : account.late);  // counted there when the call was established
    ++account.lost[static_cast<std::size_t>(LossCategory::kTerminated)];
    return;
  }
  ++account.tries;
  if (t.outcome == "stands") {
    ++account.in_time;
  } else if (t.outcome == "stands-late") {
    ++account.late;
  } else {
    ++account.lost[static_cast<std::size_t>(Category(t))];
  }
  // The call was refused without a set-up although the direct group was free and both exchanges were healthy.
  const bool wasted =
      (t.outcome == "refused" || t.outcome == "failed") && !t.sent && !t.late_redial && t.direct && t.healthy;
  RefusedCalls& idle = idle_groups_[{t.from, t.to}];
  RefusedCalls& avoided = avoided_exchanges_[t.to];
  if (!t.direct || !t.healthy) {
    idle = {};
    if (!t.healthy) avoided = {};
    return;
  }
  if (!wasted) return;
  for (RefusedCalls* refused : {&idle, &avoided}) {
    if (refused->count++ == 0) refused->since = at;
  }
  if (!idle.reported && at - idle.since >= limits_.min_idle_us && idle.count >= limits_.min_idle_refusals) {
    idle.reported = true;
    RecordWaste(at, "exchange " + std::to_string(t.from) + " refused " + std::to_string(idle.count) + " calls to " +
                        std::to_string(t.to) + " in " + Seconds(at - idle.since) +
                        " and sent no set-up, although the direct group had free circuits and both exchanges were "
                        "healthy");
  }
  if (!avoided.reported && at - avoided.since >= limits_.min_avoided_us &&
      avoided.count >= limits_.min_avoided_refusals) {
    avoided.reported = true;
    RecordWaste(at, "exchange " + std::to_string(t.to) + " received no set-up for " + Seconds(at - avoided.since) +
                        ", although it was healthy and " + std::to_string(avoided.count) + " calls to it were refused");
  }
}

void Ledger::RecordSetUp(TimeUs, int from, int to, int destination) {
  if (to == destination) idle_groups_[{from, to}] = {};
  avoided_exchanges_[to] = {};
}

void Ledger::RecordCircuitRefusal(TimeUs at, int from, const std::string& circuit) {
  ++refusals_;
  RefusalRun& run = refusal_runs_[{from, circuit}];
  run.close = run.close > 0 && at - run.last < limits_.max_refusal_gap_us ? run.close + 1 : 1;
  run.last = at;
  max_consecutive_refusals_ = std::max(max_consecutive_refusals_, ++run.all);
  if (run.close == limits_.max_consecutive_refusals)
    RecordWaste(at, "exchange " + std::to_string(from) + " seized " + circuit + " and was refused " +
                        std::to_string(run.close) + " times in a row");
}

void Ledger::RecordCircuitUse(int from, const std::string& circuit) { refusal_runs_.erase({from, circuit}); }

void Ledger::RecordWaste(TimeUs at, const std::string& description) {
  ++waste_count_;
  if (examples_.size() < kMaxExamples) examples_.push_back(Seconds(at) + ": " + description);
}

Account Ledger::Total() const {
  Account total;
  for (const Account& account : accounts_) {
    total.tries += account.tries;
    total.in_time += account.in_time;
    total.late += account.late;
    for (std::size_t i = 0; i < kLossCategories; ++i) total.lost[i] += account.lost[i];
  }
  return total;
}

}  // namespace croftrun::reach
