#include "lab/day.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "lab/numbering.h"

namespace croftrun::lab {
namespace {

// Edges audit their circuits and hear the roster before the first call.
constexpr TimeUs kWarmUp = 1'000'000;
// A person listens to a tone this long before hanging up.
constexpr TimeUs kListen = 100'000;
// Groups and processors are looked at as often, for the accounts of the day.
constexpr TimeUs kSample = 500'000;

NetworkSettings NetworkSettingsOf(const Scenario& s) {
  NetworkSettings settings;
  for (int i = 0; i < s.exchanges; ++i) settings.zones.push_back(s.ZoneOf(i));
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
      if (const unsigned circuits = scenario_.CircuitsBetween(j, i); circuits > 0) network_.AddGroup(j, i, circuits);
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
  pull_ = scenario_.between;
  for (int i = 0; i < scenario_.edges; ++i) {
    double row = 1.0;
    if (!pull_.empty()) {
      const auto& towards = pull_[static_cast<std::size_t>(i)];
      row = std::accumulate(towards.begin(), towards.end(), 0.0) - towards[static_cast<std::size_t>(i)];
    }
    from_.push_back(row);
  }
  const double all = std::accumulate(from_.begin(), from_.end(), 0.0);
  for (double& share : from_) share = all > 0.0 ? share / all : 1.0 / static_cast<double>(scenario_.edges);
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
  trace_->RecordFact("edge-start", {{"exchange", number}});
  edges_->Start(number, EdgeSettingsFor(scenario_, number, log));
}

void Day::Start(std::function<void()> done) {
  nlohmann::json edges = nlohmann::json::array();
  for (int i = 0; i < scenario_.edges; ++i) {
    edges.push_back({{"exchange", i},
                     {"edge", core::ToString(EdgeAddress(scenario_, i))},
                     {"gateway", core::ToString(GatewayAddress(scenario_, i))}});
  }
  nlohmann::json classes = nlohmann::json::array();
  for (const TrafficClass& c : scenario_.classes)
    classes.push_back({{"name", c.name}, {"give_up_ms", c.give_up_us / 1000}});
  trace_->RecordFact("day", {{"edges", edges},
                             {"classes", classes},
                             {"roster", core::ToString(RosterAddress(scenario_))},
                             {"release_ms", scenario_.release_us / 1000},
                             {"drain_grace_ms", scenario_.drain_grace_us / 1000}});
  for (int i = 0; i < scenario_.edges; ++i) StartEdge(i);
  After(kWarmUp, [this, done = std::move(done)] {
    began_ = runtime_->Now();
    ends_ = began_ + scenario_.length_us;
    trace_->RecordFact("day-begins", {{"length_us", scenario_.length_us}});
    Sample();
    for (int i = 0; i < scenario_.edges; ++i) {
      if (RateOf(i) > 0.0) After(static_cast<TimeUs>(Exponential(1e6 / RateOf(i))), [this, i] { Arrive(i); });
    }
    if (scenario_.drift_us > 0 && !pull_.empty()) After(scenario_.drift_us, [this] { Drift(); });
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
      report_.calls_left = callers_.size();
      done();
    });
  });
}

double Day::Shape() const {
  const auto& shape = scenario_.shape;
  if (shape.empty()) return 1.0;
  const TimeUs at = runtime_->Now() - began_;
  const auto after = std::find_if(shape.begin(), shape.end(), [&](const auto& point) { return point.first > at; });
  if (after == shape.begin()) return shape.front().second;
  if (after == shape.end()) return shape.back().second;
  const auto before = std::prev(after);
  const double along = static_cast<double>(at - before->first) / static_cast<double>(after->first - before->first);
  return before->second + along * (after->second - before->second);
}

double Day::RateOf(int from) const {
  // Not under a hundredth: a day whose load falls to nothing must still find its way back.
  const double even = std::max(0.01, Shape()) * scenario_.calls_per_s * from_[static_cast<std::size_t>(from)];
  if (hot_.empty()) return even;
  const double hot = scenario_.calls_per_s * hot_share_ / static_cast<double>(hot_.size());
  return hot_.count(from) > 0 ? even + hot : even;
}

void Day::Drift() {
  // Each pull by a factor of mean 1, lognormal of the day's variation; from the usual pulls, so that it stays bounded.
  const double sigma = std::sqrt(std::log1p(scenario_.drift_cv * scenario_.drift_cv));
  for (std::size_t a = 0; a < pull_.size(); ++a) {
    for (std::size_t b = 0; b < pull_.size(); ++b) {
      const double normal = std::sqrt(-2.0 * std::log(1.0 - Unit())) * std::cos(6.283185307179586 * Unit());
      pull_[a][b] = scenario_.between[a][b] * std::exp(sigma * normal - sigma * sigma / 2.0);
    }
  }
  After(scenario_.drift_us, [this] { Drift(); });
}

void Day::Sample() {
  nlohmann::json groups = nlohmann::json::array(), waits = nlohmann::json::array();
  for (int a = 0; a < scenario_.exchanges; ++a) {
    waits.push_back(network_.At(a).alive ? static_cast<double>(network_.Wait(a)) / 1000.0 : -1.0);
    for (int b = a + 1; b < scenario_.exchanges; ++b) {
      if (const unsigned all = network_.Circuits(a, b); all > 0)
        groups.push_back({a, b, all - network_.IdleBetween(a, b), all});
    }
  }
  trace_->RecordFact("sample", {{"groups", groups}, {"waits_ms", waits}});
  if (runtime_->Now() < ends_) After(kSample, [this] { Sample(); });
}

bool Day::Healthy(int number) const {
  const ExchangeState& at = network_.At(number);
  const bool warm = at.started_us == 0 || runtime_->Now() >= at.started_us + scenario_.processor.warm_up_us;
  return at.alive && !at.hung && at.slow <= 1.0 && warm && stalled_.count(number) == 0 && out_.count(number) == 0 &&
         network_.Wait(number) * 4 < scenario_.processor.max_queue_delay_us;
}

void Day::TellTry(const Caller& caller, std::string_view how, TimeUs pause_us) {
  const TrafficClass& c = scenario_.classes[static_cast<std::size_t>(caller.call_class)];
  const auto width = static_cast<unsigned>(c.width);
  const unsigned direct = network_.IdleBetween(caller.from, caller.to);
  int tandems = 0;
  for (int i = 0; i < scenario_.exchanges; ++i) {
    if (i == caller.from || i == caller.to || !network_.At(i).alive) continue;
    if (network_.IdleBetween(caller.from, i) >= width && network_.IdleBetween(i, caller.to) >= width) ++tandems;
  }
  trace_->RecordFact("try", {{"exchange", caller.from},
                             {"line", caller.line},
                             {"to", caller.to},
                             {"class", c.name},
                             {"how", how},
                             {"began_us", caller.this_try},
                             {"first_us", caller.first_try},
                             {"direct", direct >= width},
                             {"tandems", tandems},
                             {"healthy", Healthy(caller.from) && Healthy(caller.to)},
                             {"crowded", caller.called == crowded_},
                             {"pause_ms", pause_us / 1000},
                             {"alive", network_.At(caller.to).alive && !network_.At(caller.to).hung}});
}

// ---- callers ----

void Day::Arrive(int from) {
  if (runtime_->Now() >= ends_) return;
  if (RateOf(from) <= 0.0) return;
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
  if (pull_.empty()) {
    const auto others = static_cast<double>(scenario_.exchanges - 1);
    caller.to = static_cast<int>(Unit() * others);
    if (caller.to >= from) ++caller.to;
  } else {
    const auto& towards = pull_[static_cast<std::size_t>(from)];
    double left =
        Unit() * (std::accumulate(towards.begin(), towards.end(), 0.0) - towards[static_cast<std::size_t>(from)]);
    caller.to = from == 0 ? 1 : 0;
    for (int to = 0; to < scenario_.exchanges; ++to) {
      if (to == from || towards[static_cast<std::size_t>(to)] <= 0.0) continue;
      caller.to = to;
      if ((left -= towards[static_cast<std::size_t>(to)]) < 0.0) break;
    }
  }
  caller.most_redials = scenario_.redials;
  if (abusers_ > 0.0 && Unit() < abusers_) {
    caller.most_redials = abuse_redials_;
    caller.patience_of_aim = abuse_patience_;
  }
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
  trace_->RecordFact("offered",
                     {{"from", from}, {"to", caller.to}, {"class", caller.call_class}, {"crowded", crowded}});
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
    ++report_.no_free_line;
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
  const double waits = caller.patience_of_aim > 0.0 ? caller.patience_of_aim * static_cast<double>(c.aim_us)
                                                    : share * static_cast<double>(c.give_up_us);
  const auto patience = std::max<TimeUs>(1000, static_cast<TimeUs>(waits) / 1000 * 1000);
  gateway.Dial(caller.line, caller.called, patience);
  const std::uint64_t turn = caller.turn;
  After(patience, [this, id, turn] { GiveUp(id, turn); });
  if (Unit() < scenario_.early_hang_up) {
    After(static_cast<TimeUs>(Unit() * static_cast<double>(patience) * 0.9), [this, id, turn] {
      const auto found = callers_.find(id);
      if (found == callers_.end() || found->second.turn != turn || found->second.answered) return;
      ++report_.classes[static_cast<std::size_t>(found->second.call_class)].hung_up;
      TellTry(found->second, "hung-up", 0);
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
  TellTry(caller, "unanswered", 0);
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
    TellTry(caller, caller.in_time ? "stands" : "stands-late", 0);
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
      ++outcome.terminated;
      TellTry(caller, caller.in_time ? "cut" : "cut-late", 0);
      --(caller.in_time ? outcome.in_time : outcome.late);
    }
    gateways_.at(exchange)->HangUp(line);
    return Leave(id);
  }
  ++(heard == Heard::kRefused ? outcome.refused : outcome.failed);
  TellTry(caller, heard == Heard::kRefused ? "refused" : "failed", pause_us);
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
  TimeUs own = least + static_cast<TimeUs>(Unit() * static_cast<double>(most - least));
  if (scenario_.redial_doubles) own <<= std::min(caller.tries - 1, 8);
  if (caller.patience_of_aim > 0.0) own = kListen, pause_us = 0;  // dials again at once and heeds nothing
  if (pause_us > 0 && scenario_.retry_after_compliance < 1.0 && Unit() >= scenario_.retry_after_compliance)
    pause_us = 0;
  const TimeUs wait = std::max(pause_us, own);
  const bool over = caller.tries > caller.most_redials || runtime_->Now() + wait > caller.first_try + c.give_up_us;
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
  if (status == "ready") {
    out_.erase(number);
  } else {
    out_.insert(number);
  }
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
  const TimeUs gap = fault.every_us > 0 ? fault.every_us : 1'500'000;
  After(gap, [this, fault, until] { Pause(fault, until); });
}

void Day::StallEdges(const Fault& fault, TimeUs until) {
  if (runtime_->Now() >= until) return;
  for (const int number : fault.exchanges) {
    if (number >= scenario_.edges || !stalled_.insert(number).second) continue;
    trace_->RecordFact("edge-stalled", {{"exchange", number}});
    edges_->Stall(number, true);
  }
  const auto stall = static_cast<TimeUs>(fault.size * 1000.0);
  After(stall, [this, fault] {
    for (const int number : fault.exchanges) {
      if (stalled_.erase(number) == 0) continue;
      edges_->Stall(number, false);
      trace_->RecordFact("edge-goes-on", {{"exchange", number}});
    }
  });
  After(stall + std::max<TimeUs>(fault.every_us, 1000), [this, fault, until] { StallEdges(fault, until); });
}

// Slower and slower, then one crash, then back cold.
void Day::Age(const Fault& fault, TimeUs began) {
  const TimeUs now = runtime_->Now(), ends = began + fault.for_us;
  if (now < ends) {
    const double along = static_cast<double>(now - began) / static_cast<double>(std::max<TimeUs>(1, fault.for_us));
    SetSlow(fault, 1.0 + (std::max(1.0, fault.size) - 1.0) * along);
    After(std::min<TimeUs>(500'000, ends - now), [this, fault, began] { Age(fault, began); });
    return;
  }
  SetSlow(fault, 1.0);
  for (const int number : fault.exchanges) {
    network_.Kill(number);
    PublishState(number, "gone");
    After(std::max<TimeUs>(1000, fault.down_us), [this, number] {
      network_.Start(number);
      if (network_.At(number).alive) PublishState(number, "ready");
    });
  }
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
  trace_->RecordFact("fault", {{"kind", fault.kind}, {"exchanges", fault.exchanges}});
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
  } else if (fault.kind == "edge-stall") {
    return StallEdges(fault, until);
  } else if (fault.kind == "ageing") {
    return Age(fault, runtime_->Now());
  } else if (fault.kind == "retry-abuse") {
    abusers_ = fault.share;
    abuse_patience_ = fault.patience > 0.0 ? fault.patience : 0.5;
    abuse_redials_ = std::max(1, static_cast<int>(fault.size));
  } else if (fault.kind == "drain") {
    for (const int number : fault.exchanges) PublishState(number, "draining");
  } else if (fault.kind == "replace") {
    // One after the other, so that each is back before the next goes; of size 1, all at once.
    TimeUs at = 0;
    for (const int number : fault.exchanges) {
      After(at, [this, number] { Replace(number, 2'000'000); });
      if (fault.size != 1.0)
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
      trace_->RecordFact("edge-killed", {{"exchange", number}});
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
  trace_->RecordFact("relief", {{"kind", fault.kind}, {"exchanges", fault.exchanges}});
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
  } else if (fault.kind == "retry-abuse") {
    abusers_ = 0.0;
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
  for (int i = 0; i < scenario_.exchanges; ++i) report.collapsed += network_.At(i).collapsed ? 1 : 0;
  return report;
}

}  // namespace croftrun::lab
