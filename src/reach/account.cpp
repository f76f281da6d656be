#include "reach/account.h"

#include <algorithm>
#include <numeric>

namespace croftrun::reach {
namespace {

std::string Seconds(TimeUs at) {
  std::string text = std::to_string(at / 1000);
  text.insert(text.size() > 3 ? text.size() - 3 : 0, text.size() > 3 ? "." : "0.");
  return text + " s";
}

}  // namespace

std::string_view Name(Lost lost) {
  constexpr std::array<std::string_view, kLost> kNames = {"no circuit anywhere",
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

std::uint64_t Account::Lost() const { return std::accumulate(lost.begin(), lost.end(), std::uint64_t{0}); }

Lost Ledger::Cause(const TryEnd& t) {
  if (t.how == "hung-up") return reach::Lost::kCallerGone;
  if (t.own_edge_down) return reach::Lost::kOwnEdge;
  if (t.how == "unanswered") return reach::Lost::kPath;
  if (!t.sent) {
    if (!t.direct && t.tandems == 0) return reach::Lost::kNoCircuit;
    return t.late ? reach::Lost::kLateRedial : t.healthy ? reach::Lost::kNotTried : reach::Lost::kNotTriedUnwell;
  }
  const auto state = [&](reach::Lost otherwise) {
    return t.dead ? reach::Lost::kDead : t.cold ? reach::Lost::kCold : t.slow ? reach::Lost::kSlow : otherwise;
  };
  switch (t.end) {
    case SetUpEnd::kOwnDown:
      return reach::Lost::kOwnEdge;
    case SetUpEnd::kOwnRefused:
      return reach::Lost::kStuckCircuit;
    case SetUpEnd::kReleased:
      if (t.cause == 44) return reach::Lost::kGlare;
      if (t.cause == 47) return reach::Lost::kStuckCircuit;
      if (t.cause == 17) return reach::Lost::kBusy;
      if (t.cause == 27) return reach::Lost::kDead;
      if (t.cause == 34) return t.direct || t.tandems > 0 ? reach::Lost::kTurnedBack : reach::Lost::kNoCircuit;
      if (t.cause == 42) return state(reach::Lost::kSlow);
      return state(reach::Lost::kDead);
    default:
      // Given up, or cut off while it was out: by what it was sent to.
      return state(reach::Lost::kPath);
  }
}

void Ledger::OnTry(TimeUs at, const TryEnd& t) {
  Account& account = accounts_[static_cast<std::size_t>(t.call_class)];
  if (t.how == "cut" || t.how == "cut-late") {
    --(t.how == "cut" ? account.in_time : account.late);  // it was entered as a good end when it stood
    ++account.lost[static_cast<std::size_t>(Lost::kCut)];
    return;
  }
  ++account.tries;
  if (t.how == "stands") {
    ++account.in_time;
  } else if (t.how == "stands-late") {
    ++account.late;
  } else {
    ++account.lost[static_cast<std::size_t>(Cause(t))];
  }
  // A group that is free between healthy exchanges and whose calls are refused unsent.
  const bool wasted = (t.how == "refused" || t.how == "failed") && !t.sent && !t.late && t.direct && t.healthy;
  Refused& idle = idle_[{t.from, t.to}];
  Refused& avoided = avoided_[t.to];
  if (!t.direct || !t.healthy) {
    idle = {};
    if (!t.healthy) avoided = {};
    return;
  }
  if (!wasted) return;
  for (Refused* run : {&idle, &avoided}) {
    if (run->count++ == 0) run->since = at;
  }
  if (!idle.told && at - idle.since >= limits_.idle_us && idle.count >= limits_.idle_refused) {
    idle.told = true;
    Waste(at, "exchange " + std::to_string(t.from) + " refused " + std::to_string(idle.count) + " calls to " +
                  std::to_string(t.to) + " in " + Seconds(at - idle.since) +
                  " while their group had circuits free, both exchanges were well, and sent none");
  }
  if (!avoided.told && at - avoided.since >= limits_.avoided_us && avoided.count >= limits_.avoided_refused) {
    avoided.told = true;
    Waste(at, "nobody sent a set-up to exchange " + std::to_string(t.to) + " for " + Seconds(at - avoided.since) +
                  ", though it was well and " + std::to_string(avoided.count) + " calls to it were refused");
  }
}

void Ledger::OnSetUp(TimeUs, int from, int to, int destination) {
  if (to == destination) idle_[{from, to}] = {};
  avoided_[to] = {};
}

void Ledger::OnCircuitRefused(TimeUs at, int from, const std::string& circuit) {
  ++refusals_;
  Running& run = running_[{from, circuit}];
  run.close = run.close > 0 && at - run.last < limits_.refusal_gap_us ? run.close + 1 : 1;
  run.last = at;
  most_running_ = std::max(most_running_, ++run.all);
  if (run.close == limits_.refusals_running)
    Waste(at, "exchange " + std::to_string(from) + " seized " + circuit + " and was refused " +
                  std::to_string(run.close) + " times running");
}

void Ledger::OnCircuitUsed(int from, const std::string& circuit) { running_.erase({from, circuit}); }

void Ledger::Waste(TimeUs at, const std::string& what) {
  ++wasted_;
  if (examples_.size() < kMostExamples) examples_.push_back(Seconds(at) + ": " + what);
}

Account Ledger::Total() const {
  Account total;
  for (const Account& account : accounts_) {
    total.tries += account.tries;
    total.in_time += account.in_time;
    total.late += account.late;
    for (std::size_t i = 0; i < kLost; ++i) total.lost[i] += account.lost[i];
  }
  return total;
}

}  // namespace croftrun::reach
