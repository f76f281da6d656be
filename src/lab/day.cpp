#include "lab/day.h"

#include <algorithm>
#include <cmath>

#include "lab/numbering.h"

namespace croftrun::lab {
namespace {

// Edges audit their circuits and hear the roster before the first call.
constexpr TimeUs kWarmUp = 1'000'000;
// A person listens to a tone this long before hanging up.
constexpr TimeUs kListen = 100'000;

NetworkSettings NetworkSettingsOf(const Scenario& s) {
  NetworkSettings settings;
  for (int i = 0; i < s.exchanges; ++i) settings.zones.push_back(i % s.zones);
  settings.near_us = s.near_us;
  settings.far_us = s.far_us;
  settings.processor = s.processor;
  return settings;
}

}  // namespace

Day::Day(const Scenario& scenario, core::Runtime* runtime, Trace* trace, EdgeHost* edges, std::string log_folder)
    : scenario_(scenario),
      runtime_(runtime),
      trace_(trace),
      edges_(edges),
      log_folder_(std::move(log_folder)),
      random_(scenario.seed),
      path_(runtime, trace, scenario.seed + 1),
      network_(runtime, trace, NetworkSettingsOf(scenario)),
      roster_(&path_, RosterAddress(scenario), scenario.roster_lag_us),
      free_lines_(static_cast<std::size_t>(scenario.edges)) {
  report_.classes.resize(scenario_.classes.size());
  std::vector<RosterLine> lines;
  for (int i = 0; i < scenario_.exchanges; ++i) {
    for (int j = 0; j < i; ++j) {
      const bool linked =
          std::find(scenario_.unlinked.begin(), scenario_.unlinked.end(), std::pair(j, i)) == scenario_.unlinked.end();
      if (linked) network_.AddGroup(j, i, scenario_.circuits);
    }
    ids_[i] = static_cast<std::uint32_t>(i) * 1000 + 1;
    lines.push_back({ids_[i], i, network_.At(i).zone, "ready", 0, 0});
    if (i >= scenario_.edges) {
      stand_ins_[i] = std::make_unique<StandIn>(&network_, runtime_, i);
      continue;
    }
    GatewaySettings g;
    g.number = i;
    g.address = GatewayAddress(scenario_, i);
    g.agent = EdgeAddress(scenario_, i);
    g.domain = DomainOf(i);
    g.lines = scenario_.lines;
    g.transactions.history_us = 10'000'000;
    gateways_[i] = std::make_unique<Gateway>(
        g, &path_, &network_, [this, i](int line, Heard heard, TimeUs pause) { OnHeard(i, line, heard, pause); });
    for (int line = 1; line <= scenario_.lines / 2; ++line) free_lines_[static_cast<std::size_t>(i)].insert(line);
  }
  roster_.Begin(std::move(lines));
}

Day::~Day() { *alive_ = false; }

double Day::Unit() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }

void Day::After(TimeUs delay, std::function<void()> what) {
  runtime_->StartTimer(delay, [alive = alive_, what = std::move(what)] {
    if (*alive) what();
  });
}

double Day::Progress() const {
  if (began_ == 0) return 0.0;
  return std::min(1.0, static_cast<double>(runtime_->Now() - began_) / static_cast<double>(ends_ - began_));
}

void Day::StartEdge(int number) {
  const std::string log = log_folder_.empty() ? "" : log_folder_ + "/edge-" + std::to_string(number) + ".log";
  trace_->Fact("edge-start", {{"exchange", number}});
  edges_->Start(number, EdgeSettingsFor(scenario_, number, log));
}

void Day::Begin(std::function<void()> done) {
  nlohmann::json edges = nlohmann::json::array();
  for (int i = 0; i < scenario_.edges; ++i) {
    edges.push_back({{"exchange", i},
                     {"edge", core::ToString(EdgeAddress(scenario_, i))},
                     {"gateway", core::ToString(GatewayAddress(scenario_, i))}});
  }
  nlohmann::json classes = nlohmann::json::array();
  for (const TrafficClass& c : scenario_.classes)
    classes.push_back({{"name", c.name}, {"give_up_ms", c.give_up_us / 1000}});
  trace_->Fact("day", {{"edges", edges},
                       {"classes", classes},
                       {"roster", core::ToString(RosterAddress(scenario_))},
                       {"release_ms", scenario_.release_us / 1000},
                       {"drain_grace_ms", scenario_.drain_grace_us / 1000}});
  for (int i = 0; i < scenario_.edges; ++i) StartEdge(i);
  After(kWarmUp, [this, done = std::move(done)] {
    began_ = runtime_->Now();
    ends_ = began_ + scenario_.length_us;
    for (int i = 0; i < scenario_.edges; ++i)
      After(static_cast<TimeUs>(Exponential(1e6 / RateOf(i))), [this, i] { Arrive(i); });
    for (const Fault& fault : scenario_.faults) After(fault.at_us, [this, fault] { Inflict(fault); });
    // Half way into the settling, whoever still talks hangs up: what is up at the end was forgotten by somebody.
    After(scenario_.length_us + scenario_.settle_us / 2, [this] {
      for (const auto& [id, caller] : std::map(callers_)) {
        if (!caller.answered) continue;
        gateways_.at(caller.from)->HangUp(caller.line);
        Leave(id);
      }
    });
    After(scenario_.length_us + scenario_.settle_us, [this, done] {
      report_.still_up = callers_.size();
      done();
    });
  });
}

double Day::RateOf(int from) const {
  const double even = scenario_.calls_per_s / scenario_.edges;
  if (hot_.empty()) return even;
  const double hot = scenario_.calls_per_s * hot_share_ / static_cast<double>(hot_.size());
  return hot_.count(from) > 0 ? even + hot : even;
}

// ---- callers ----

void Day::Arrive(int from) {
  if (runtime_->Now() >= ends_) return;
  After(static_cast<TimeUs>(Exponential(1e6 / RateOf(from))), [this, from] { Arrive(from); });
  Caller caller;
  caller.from = from;
  double shares = 0.0;
  for (const TrafficClass& c : scenario_.classes) shares += c.share;
  double draw = Unit() * shares;
  for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
    caller.call_class = static_cast<int>(i);
    if ((draw -= scenario_.classes[i].share) < 0.0) break;
  }
  const auto others = static_cast<double>(scenario_.exchanges - 1);
  caller.to = static_cast<int>(Unit() * others);
  if (caller.to >= from) ++caller.to;
  const bool crowded = !crowded_.empty() && crowded_exchange_ != from && Unit() < crowded_share_;
  if (crowded) {
    caller.to = crowded_exchange_;
    caller.called = crowded_;
  } else {
    // A free line where the edge is real; any number where the exchange is emulated.
    int line = scenario_.lines / 2 + 1 + static_cast<int>(Unit() * (scenario_.lines - scenario_.lines / 2 - 1));
    if (const auto gateway = gateways_.find(caller.to); gateway != gateways_.end()) {
      for (int i = 0; i < 20 && !gateway->second->LineIdle(line); ++i)
        line = scenario_.lines / 2 + 1 + static_cast<int>(Unit() * (scenario_.lines - scenario_.lines / 2 - 1));
    }
    caller.called = NumberOf(caller.call_class, 0, caller.to, line);
  }
  caller.first_try = runtime_->Now();
  ++report_.classes[static_cast<std::size_t>(caller.call_class)].offered;
  const CallerId id = next_caller_++;
  callers_[id] = caller;
  Try(id);
}

void Day::Try(CallerId id) {
  Caller& caller = callers_.at(id);
  auto& free = free_lines_[static_cast<std::size_t>(caller.from)];
  // A phone that was just put down may still have its connection taken away: nobody dials from it yet.
  Gateway& gateway = *gateways_.at(caller.from);
  const auto idle = std::find_if(free.begin(), free.end(), [&](int line) { return gateway.LineIdle(line); });
  if (idle == free.end()) {
    ++report_.no_line;
    return Leave(id);
  }
  caller.line = *idle;
  free.erase(idle);
  at_line_[{caller.from, caller.line}] = id;
  ++caller.tries;
  ++caller.turn;
  caller.this_try = runtime_->Now();
  const TrafficClass& c = scenario_.classes[static_cast<std::size_t>(caller.call_class)];
  ++report_.classes[static_cast<std::size_t>(caller.call_class)].tries;
  const double share = scenario_.try_share.first + Unit() * (scenario_.try_share.second - scenario_.try_share.first);
  const auto patience = static_cast<TimeUs>(share * static_cast<double>(c.give_up_us)) / 1000 * 1000;
  gateway.Dial(caller.line, caller.called, patience);
  const std::uint64_t turn = caller.turn;
  After(patience, [this, id, turn] { GiveUp(id, turn); });
  if (Unit() < scenario_.early_hang_up) {
    After(static_cast<TimeUs>(Unit() * static_cast<double>(patience) * 0.9), [this, id, turn] {
      const auto found = callers_.find(id);
      if (found == callers_.end() || found->second.turn != turn || found->second.answered) return;
      ++report_.classes[static_cast<std::size_t>(found->second.call_class)].hung_up;
      gateways_.at(found->second.from)->HangUp(found->second.line);
      Leave(id);
    });
  }
}

void Day::GiveUp(CallerId id, std::uint64_t turn) {
  const auto found = callers_.find(id);
  if (found == callers_.end() || found->second.turn != turn || found->second.answered) return;
  Caller& caller = found->second;
  ClassOutcome& outcome = report_.classes[static_cast<std::size_t>(caller.call_class)];
  ++outcome.gave_up;
  ++outcome.unanswered;
  gateways_.at(caller.from)->HangUp(caller.line);
  Redial(id, 0);
}

void Day::OnHeard(int exchange, int line, Heard heard, TimeUs pause_us) {
  const auto at = at_line_.find({exchange, line});
  if (at == at_line_.end()) return;
  const CallerId id = at->second;
  Caller& caller = callers_.at(id);
  ClassOutcome& outcome = report_.classes[static_cast<std::size_t>(caller.call_class)];
  const TrafficClass& c = scenario_.classes[static_cast<std::size_t>(caller.call_class)];
  const TimeUs now = runtime_->Now();
  ++caller.turn;
  const std::uint64_t turn = caller.turn;
  if (heard == Heard::kAnswered) {
    caller.answered = true;
    report_.set_up_delays.push_back(now - caller.this_try);
    caller.in_time = now - caller.first_try <= c.aim_us;
    ++(caller.in_time ? outcome.in_time : outcome.late);
    After(static_cast<TimeUs>(Exponential(static_cast<double>(c.holding_us))), [this, id, turn] {
      const auto found = callers_.find(id);
      if (found == callers_.end() || found->second.turn != turn) return;
      gateways_.at(found->second.from)->HangUp(found->second.line);
      Leave(id);
    });
    return;
  }
  if (heard == Heard::kEnded) {
    // The called side never hangs up first here: whatever ended it, cut it. Cut calls do not count as served.
    if (caller.answered) {
      ++outcome.cut;
      --(caller.in_time ? outcome.in_time : outcome.late);
    }
    gateways_.at(exchange)->HangUp(line);
    return Leave(id);
  }
  ++(heard == Heard::kRefused ? outcome.refused : outcome.failed);
  After(kListen, [this, id, turn, pause_us] {
    const auto found = callers_.find(id);
    if (found == callers_.end() || found->second.turn != turn) return;
    gateways_.at(found->second.from)->HangUp(found->second.line);
    Redial(id, pause_us);
  });
}

void Day::Redial(CallerId id, TimeUs pause_us) {
  Caller& caller = callers_.at(id);
  at_line_.erase({caller.from, caller.line});
  free_lines_[static_cast<std::size_t>(caller.from)].insert(caller.line);
  caller.line = 0;
  ++caller.turn;
  const TrafficClass& c = scenario_.classes[static_cast<std::size_t>(caller.call_class)];
  const auto [least, most] = scenario_.redial_us;
  const TimeUs wait = std::max(pause_us, least + static_cast<TimeUs>(Unit() * static_cast<double>(most - least)));
  const bool over = caller.tries > scenario_.redials || runtime_->Now() + wait > caller.first_try + c.give_up_us;
  if (over || runtime_->Now() + wait > ends_ + scenario_.settle_us / 2) return Leave(id);
  After(wait, [this, id] {
    if (callers_.count(id) > 0) Try(id);
  });
}

void Day::Leave(CallerId id) {
  const auto found = callers_.find(id);
  if (found == callers_.end()) return;
  if (found->second.line != 0) {
    at_line_.erase({found->second.from, found->second.line});
    free_lines_[static_cast<std::size_t>(found->second.from)].insert(found->second.line);
  }
  callers_.erase(found);
}

// ---- troubles ----

void Day::PublishState(int number, const std::string& status) {
  const ExchangeState& exchange = network_.At(number);
  roster_.Change({ids_[number], number, exchange.zone, status, exchange.incarnation, exchange.started_us});
}

void Day::SetSlow(const Fault& fault, double slow) {
  for (const int number : fault.exchanges) network_.At(number).slow = slow;
}

void Day::Storm(const Fault& fault, TimeUs until) {
  if (runtime_->Now() >= until) return;
  for (const int number : fault.exchanges) {
    const auto gateway = gateways_.find(number);
    if (gateway != gateways_.end()) gateway->second->Restart(fault.method, fault.endpoints);
  }
  const TimeUs gap = fault.size > 0.0 ? static_cast<TimeUs>(fault.size * 1000.0) : 20'000;
  After(gap, [this, fault, until] { Storm(fault, until); });
}

void Day::Pause(const Fault& fault, TimeUs until) {
  if (runtime_->Now() >= until) return;
  for (const int number : fault.exchanges)
    network_.At(number).pause_until = runtime_->Now() + static_cast<TimeUs>(fault.size * 1000.0);
  After(1'500'000, [this, fault, until] { Pause(fault, until); });
}

void Day::Replace(int number, TimeUs drain_us) {
  PublishState(number, "draining");
  After(drain_us, [this, number] {
    network_.Kill(number);
    PublishState(number, "gone");
    After(300'000, [this, number] {
      ++ids_[number];
      network_.Start(number);
      PublishState(number, "ready");
    });
  });
}

void Day::Inflict(const Fault& fault) {
  trace_->Fact("fault", {{"kind", fault.kind}, {"exchanges", fault.exchanges}});
  const TimeUs until = runtime_->Now() + (fault.for_us > 0 ? fault.for_us : scenario_.length_us);
  if (fault.kind == "crash" || fault.kind == "unit-restart") {
    for (const int number : fault.exchanges) {
      network_.Kill(number);
      PublishState(number, "gone");
    }
  } else if (fault.kind == "hang") {
    for (const int number : fault.exchanges) network_.At(number).hung = true;
  } else if (fault.kind == "slow") {
    SetSlow(fault, std::max(1.0, fault.size));
  } else if (fault.kind == "pause") {
    Pause(fault, until);
  } else if (fault.kind == "drain") {
    for (const int number : fault.exchanges) PublishState(number, "draining");
  } else if (fault.kind == "replace") {
    // One after the other, so that each is back before the next goes.
    TimeUs at = 0;
    for (const int number : fault.exchanges) {
      After(at, [this, number] { Replace(number, 2'000'000); });
      at += std::max<TimeUs>(2'500'000, fault.for_us / std::max<std::size_t>(1, fault.exchanges.size()));
    }
    return;
  } else if (fault.kind == "roster-late") {
    roster_.SetLag(scenario_.roster_lag_us + static_cast<TimeUs>(fault.size * 1000.0));
  } else if (fault.kind == "circuits-lost") {
    network_.CutCircuits(fault.zone, fault.exchanges, fault.size);
  } else if (fault.kind == "hot-caller") {
    for (const int number : fault.exchanges) {
      if (number < scenario_.edges) hot_.insert(number);
    }
    hot_share_ = fault.size;
  } else if (fault.kind == "crowded-number") {
    crowded_exchange_ = fault.exchanges.empty() ? scenario_.exchanges - 1 : fault.exchanges.front();
    crowded_ = NumberOf(0, 0, crowded_exchange_, 9999 % std::max(1, scenario_.lines));
    crowded_share_ = fault.size;
    if (const auto stand_in = stand_ins_.find(crowded_exchange_); stand_in != stand_ins_.end())
      stand_in->second->Crowd(crowded_, fault.lines);
  } else if (fault.kind == "edge-kill") {
    for (const int number : fault.exchanges) {
      trace_->Fact("edge-killed", {{"exchange", number}});
      edges_->Kill(number);
    }
  } else if (fault.kind == "path") {
    path_.SetFaults({fault.loss, fault.doubled, fault.late, fault.late_us});
  } else if (fault.kind == "restart-storm") {
    Storm(fault, until);
  } else {
    for (const int number : fault.exchanges) {
      const auto gateway = gateways_.find(number);
      if (gateway == gateways_.end()) continue;
      if (fault.kind == "gateway-silent") gateway->second->faults().silent_after_ack = true;
      if (fault.kind == "gateway-late")
        gateway->second->faults().notify_late_us = static_cast<TimeUs>(fault.size * 1000.0);
      if (fault.kind == "gateway-error") gateway->second->faults().error_code = static_cast<int>(fault.size);
      if (fault.kind == "gateway-deaf") gateway->second->faults().deaf = true;
      if (fault.kind == "gateway-restart") gateway->second->Restart(fault.method, fault.endpoints);
    }
  }
  if (fault.for_us > 0) After(fault.for_us, [this, fault] { Relieve(fault); });
}

void Day::Relieve(const Fault& fault) {
  trace_->Fact("relief", {{"kind", fault.kind}, {"exchanges", fault.exchanges}});
  if (fault.kind == "crash" || fault.kind == "unit-restart") {
    for (const int number : fault.exchanges) {
      network_.Start(number);
      if (network_.At(number).alive) PublishState(number, "ready");
    }
  } else if (fault.kind == "hang") {
    for (const int number : fault.exchanges) network_.At(number).hung = false;
  } else if (fault.kind == "slow") {
    SetSlow(fault, 1.0);
  } else if (fault.kind == "drain") {
    for (const int number : fault.exchanges) PublishState(number, "ready");
  } else if (fault.kind == "roster-late") {
    roster_.SetLag(scenario_.roster_lag_us);
  } else if (fault.kind == "circuits-lost") {
    network_.RestoreCircuits();
  } else if (fault.kind == "hot-caller") {
    hot_.clear();
  } else if (fault.kind == "crowded-number") {
    crowded_.clear();
  } else if (fault.kind == "edge-kill") {
    for (const int number : fault.exchanges) StartEdge(number);
  } else if (fault.kind == "path") {
    path_.SetFaults({});
  } else {
    for (const int number : fault.exchanges) {
      const auto gateway = gateways_.find(number);
      if (gateway == gateways_.end()) continue;
      gateway->second->faults() = {};
      // A gateway that was cut off says so when it is back (RFC 3435 4.4.7).
      if (fault.kind == "gateway-deaf") gateway->second->Restart("disconnected", "*");
    }
  }
}

DayReport Day::Report() const {
  DayReport report = report_;
  double served = 0.0, offered = 0.0;
  for (std::size_t i = 0; i < report.classes.size(); ++i) {
    const TrafficClass& c = scenario_.classes[i];
    const ClassOutcome& o = report.classes[i];
    offered += c.worth * static_cast<double>(o.offered);
    served += c.worth * (static_cast<double>(o.in_time) + c.late_worth * static_cast<double>(o.late));
  }
  report.service = offered > 0.0 ? served / offered : 1.0;
  report.datagrams = trace_->datagrams();
  std::sort(report.set_up_delays.begin(), report.set_up_delays.end());
  for (int i = 0; i < scenario_.exchanges; ++i)
    report.fell_over += network_.At(i).fell_over ? 1 : 0;
  return report;
}

}  // namespace croftrun::lab
