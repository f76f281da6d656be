#include "lab/day.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "lab/numbering.h"

namespace croftrun::lab {
namespace {

// Time before the first call in which the edges audit their circuits and receive the roster.
constexpr TimeUs kEdgeStartUpTime = 1'000'000;
// A caller listens to a tone for this time before hanging up.
constexpr TimeUs kToneListenTime = 100'000;
// Groups and processors are sampled at this interval, for DayAccounts.
constexpr TimeUs kSampleInterval = 500'000;

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
  std::vector<RosterEntry> entries;
  for (int i = 0; i < scenario_.exchanges; ++i) {
    for (int j = 0; j < i; ++j) {
      if (const unsigned circuits = scenario_.CircuitsBetween(j, i); circuits > 0) network_.AddGroup(j, i, circuits);
    }
    roster_ids_[i] = static_cast<std::uint32_t>(i) * 1000 + 1;
    entries.push_back({roster_ids_[i], i, network_.At(i).zone, "ready", 0, 0});
    if (i >= scenario_.edges) {
      emulated_exchanges_[i] = std::make_unique<EmulatedExchange>(&network_, runtime_, i);
      continue;
    }
    GatewaySettings g;
    g.number = i;
    g.address = GatewayAddress(scenario_, i);
    g.agent = EdgeAddress(scenario_, i);
    g.domain = DomainOf(i);
    g.lines = scenario_.lines;
    g.transactions.history_us = 10'000'000;
    gateways_[i] =
        std::make_unique<Gateway>(g, &path_, &network_, [this, i](int line, CallerEvent event, TimeUs retry_after_us) {
          OnCallerEvent(i, line, event, retry_after_us);
        });
    for (int line = 1; line <= scenario_.lines / 2; ++line) free_lines_[static_cast<std::size_t>(i)].insert(line);
  }
  roster_.SetInitialEntries(std::move(entries));
  traffic_matrix_ = scenario_.between;
  for (int i = 0; i < scenario_.edges; ++i) {
    double row = 1.0;
    if (!traffic_matrix_.empty()) {
      const auto& rates = traffic_matrix_[static_cast<std::size_t>(i)];
      row = std::accumulate(rates.begin(), rates.end(), 0.0) - rates[static_cast<std::size_t>(i)];
    }
    origin_shares_.push_back(row);
  }
  const double all = std::accumulate(origin_shares_.begin(), origin_shares_.end(), 0.0);
  for (double& share : origin_shares_) share = all > 0.0 ? share / all : 1.0 / static_cast<double>(scenario_.edges);
}

Day::~Day() { *alive_ = false; }

double Day::UniformRandom() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }

void Day::Schedule(TimeUs delay, std::function<void()> callback) {
  runtime_->StartTimer(delay, [alive = alive_, callback = std::move(callback)] {
    if (*alive) callback();
  });
}

double Day::Progress() const {
  if (start_time_ == 0) return 0.0;
  return std::min(1.0,
                  static_cast<double>(runtime_->Now() - start_time_) / static_cast<double>(end_time_ - start_time_));
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
  Schedule(kEdgeStartUpTime, [this, done = std::move(done)] {
    start_time_ = runtime_->Now();
    end_time_ = start_time_ + scenario_.length_us;
    trace_->RecordFact("day-begins", {{"length_us", scenario_.length_us}});
    RecordSample();
    for (int i = 0; i < scenario_.edges; ++i) {
      if (ArrivalRate(i) > 0.0)
        Schedule(static_cast<TimeUs>(ExponentialRandom(1e6 / ArrivalRate(i))), [this, i] { GenerateCall(i); });
    }
    if (scenario_.drift_us > 0 && !traffic_matrix_.empty()) Schedule(scenario_.drift_us, [this] { ApplyDrift(); });
    for (const Fault& fault : scenario_.faults) Schedule(fault.at_us, [this, fault] { StartFault(fault); });
    // Half way through the settling time all remaining callers hang up. A call that is still up at the end shows
    // that some party lost track of it.
    Schedule(scenario_.length_us + scenario_.settle_us / 2, [this] {
      for (const auto& [id, caller] : std::map(callers_)) {
        if (!caller.answered) continue;
        gateways_.at(caller.from)->HangUp(caller.line);
        RemoveCaller(id);
      }
    });
    Schedule(scenario_.length_us + scenario_.settle_us, [this, done] {
      report_.calls_left = callers_.size();
      done();
    });
  });
}

double Day::LoadFactor() const {
  const auto& shape = scenario_.shape;
  if (shape.empty()) return 1.0;
  const TimeUs at = runtime_->Now() - start_time_;
  const auto after = std::find_if(shape.begin(), shape.end(), [&](const auto& point) { return point.first > at; });
  if (after == shape.begin()) return shape.front().second;
  if (after == shape.end()) return shape.back().second;
  const auto before = std::prev(after);
  const double fraction = static_cast<double>(at - before->first) / static_cast<double>(after->first - before->first);
  return before->second + fraction * (after->second - before->second);
}

double Day::ArrivalRate(int from) const {
  // At least 1% of the nominal rate: the next arrival, which re-evaluates the rate, must come even if the load falls
  // to zero.
  const double rate =
      std::max(0.01, LoadFactor()) * scenario_.calls_per_s * origin_shares_[static_cast<std::size_t>(from)];
  if (hot_edges_.empty()) return rate;
  const double hot = scenario_.calls_per_s * hot_share_ / static_cast<double>(hot_edges_.size());
  return hot_edges_.count(from) > 0 ? rate + hot : rate;
}

void Day::ApplyDrift() {
  // Multiplies each nominal value by a lognormal factor of mean 1 and the scenario's coefficient of variation. Starting
  // from the nominal values keeps the drift bounded.
  const double sigma = std::sqrt(std::log1p(scenario_.drift_cv * scenario_.drift_cv));
  for (std::size_t a = 0; a < traffic_matrix_.size(); ++a) {
    for (std::size_t b = 0; b < traffic_matrix_.size(); ++b) {
      const double normal =
          std::sqrt(-2.0 * std::log(1.0 - UniformRandom())) * std::cos(6.283185307179586 * UniformRandom());
      traffic_matrix_[a][b] = scenario_.between[a][b] * std::exp(sigma * normal - sigma * sigma / 2.0);
    }
  }
  Schedule(scenario_.drift_us, [this] { ApplyDrift(); });
}

void Day::RecordSample() {
  nlohmann::json groups = nlohmann::json::array(), waits = nlohmann::json::array();
  for (int a = 0; a < scenario_.exchanges; ++a) {
    waits.push_back(network_.At(a).alive ? static_cast<double>(network_.QueueDelay(a)) / 1000.0 : -1.0);
    for (int b = a + 1; b < scenario_.exchanges; ++b) {
      if (const unsigned all = network_.Circuits(a, b); all > 0)
        groups.push_back({a, b, all - network_.IdleBetween(a, b), all});
    }
  }
  trace_->RecordFact("sample", {{"groups", groups}, {"waits_ms", waits}});
  if (runtime_->Now() < end_time_) Schedule(kSampleInterval, [this] { RecordSample(); });
}

bool Day::IsHealthy(int number) const {
  const ExchangeState& at = network_.At(number);
  const bool warm = at.started_us == 0 || runtime_->Now() >= at.started_us + scenario_.processor.warm_up_us;
  return at.alive && !at.hung && at.slow <= 1.0 && warm && stalled_edges_.count(number) == 0 &&
         out_of_service_.count(number) == 0 && network_.QueueDelay(number) * 4 < scenario_.processor.max_queue_delay_us;
}

void Day::RecordAttempt(const Caller& caller, std::string_view outcome, TimeUs retry_after_us) {
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
                             {"how", outcome},
                             {"began_us", caller.attempt_at},
                             {"first_us", caller.first_attempt_at},
                             {"direct", direct >= width},
                             {"tandems", tandems},
                             {"healthy", IsHealthy(caller.from) && IsHealthy(caller.to)},
                             {"crowded", caller.called == crowded_number_},
                             {"pause_ms", retry_after_us / 1000},
                             {"alive", network_.At(caller.to).alive && !network_.At(caller.to).hung}});
}

// ---- Callers ----

void Day::GenerateCall(int from) {
  if (runtime_->Now() >= end_time_) return;
  if (ArrivalRate(from) <= 0.0) return;
  Schedule(static_cast<TimeUs>(ExponentialRandom(1e6 / ArrivalRate(from))), [this, from] { GenerateCall(from); });
  Caller caller;
  caller.from = from;
  double total_share = 0.0;
  for (const TrafficClass& c : scenario_.classes) total_share += c.share;
  double draw = UniformRandom() * total_share;
  for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
    caller.call_class = static_cast<int>(i);
    if ((draw -= scenario_.classes[i].share) < 0.0) break;
  }
  if (traffic_matrix_.empty()) {
    const auto others = static_cast<double>(scenario_.exchanges - 1);
    caller.to = static_cast<int>(UniformRandom() * others);
    if (caller.to >= from) ++caller.to;
  } else {
    const auto& rates = traffic_matrix_[static_cast<std::size_t>(from)];
    double remaining =
        UniformRandom() * (std::accumulate(rates.begin(), rates.end(), 0.0) - rates[static_cast<std::size_t>(from)]);
    caller.to = from == 0 ? 1 : 0;
    for (int to = 0; to < scenario_.exchanges; ++to) {
      if (to == from || rates[static_cast<std::size_t>(to)] <= 0.0) continue;
      caller.to = to;
      if ((remaining -= rates[static_cast<std::size_t>(to)]) < 0.0) break;
    }
  }
  caller.max_redials = scenario_.redials;
  if (abuser_share_ > 0.0 && UniformRandom() < abuser_share_) {
    caller.max_redials = abuser_max_redials_;
    caller.timeout_per_target = abuser_timeout_per_target_;
  }
  const bool crowded = !crowded_number_.empty() && crowded_exchange_ != from && UniformRandom() < crowded_share_;
  if (crowded) {
    caller.to = crowded_exchange_;
    caller.called = crowded_number_;
  } else {
    // An idle line if the called exchange has a real edge; any line if it is emulated.
    int line =
        scenario_.lines / 2 + 1 + static_cast<int>(UniformRandom() * (scenario_.lines - scenario_.lines / 2 - 1));
    if (const auto gateway = gateways_.find(caller.to); gateway != gateways_.end()) {
      for (int i = 0; i < 20 && !gateway->second->IsLineIdle(line); ++i)
        line =
            scenario_.lines / 2 + 1 + static_cast<int>(UniformRandom() * (scenario_.lines - scenario_.lines / 2 - 1));
    }
    caller.called = LineNumber(caller.call_class, 0, caller.to, line);
  }
  caller.first_attempt_at = runtime_->Now();
  ++report_.classes[static_cast<std::size_t>(caller.call_class)].offered;
  const CallerId id = next_caller_++;
  trace_->RecordFact("offered",
                     {{"from", from}, {"to", caller.to}, {"class", caller.call_class}, {"crowded", crowded}});
  callers_[id] = caller;
  StartAttempt(id);
}

void Day::StartAttempt(CallerId id) {
  Caller& caller = callers_.at(id);
  auto& free = free_lines_[static_cast<std::size_t>(caller.from)];
  // The connection of a line that has just gone on hook may not be deleted yet, so the line cannot be used.
  Gateway& gateway = *gateways_.at(caller.from);
  const auto idle = std::find_if(free.begin(), free.end(), [&](int line) { return gateway.IsLineIdle(line); });
  if (idle == free.end()) {
    ++report_.no_free_line;
    return RemoveCaller(id);
  }
  caller.line = *idle;
  free.erase(idle);
  caller_by_line_[{caller.from, caller.line}] = id;
  ++caller.attempts;
  ++caller.generation;
  caller.attempt_at = runtime_->Now();
  const TrafficClass& c = scenario_.classes[static_cast<std::size_t>(caller.call_class)];
  ++report_.classes[static_cast<std::size_t>(caller.call_class)].tries;
  const double share =
      scenario_.try_share.first + UniformRandom() * (scenario_.try_share.second - scenario_.try_share.first);
  const double timeout_us = caller.timeout_per_target > 0.0 ? caller.timeout_per_target * static_cast<double>(c.aim_us)
                                                            : share * static_cast<double>(c.give_up_us);
  const auto caller_timeout = std::max<TimeUs>(1000, static_cast<TimeUs>(timeout_us) / 1000 * 1000);
  gateway.Dial(caller.line, caller.called, caller_timeout);
  const std::uint64_t generation = caller.generation;
  Schedule(caller_timeout, [this, id, generation] { OnCallerTimeout(id, generation); });
  if (UniformRandom() < scenario_.early_hang_up) {
    Schedule(static_cast<TimeUs>(UniformRandom() * static_cast<double>(caller_timeout) * 0.9), [this, id, generation] {
      const auto found = callers_.find(id);
      if (found == callers_.end() || found->second.generation != generation || found->second.answered) return;
      ++report_.classes[static_cast<std::size_t>(found->second.call_class)].hung_up;
      RecordAttempt(found->second, "hung-up", 0);
      gateways_.at(found->second.from)->HangUp(found->second.line);
      RemoveCaller(id);
    });
  }
}

void Day::OnCallerTimeout(CallerId id, std::uint64_t generation) {
  const auto found = callers_.find(id);
  if (found == callers_.end() || found->second.generation != generation || found->second.answered) return;
  Caller& caller = found->second;
  ClassOutcome& outcome = report_.classes[static_cast<std::size_t>(caller.call_class)];
  ++outcome.timed_out;
  ++outcome.unanswered;
  RecordAttempt(caller, "unanswered", 0);
  gateways_.at(caller.from)->HangUp(caller.line);
  ScheduleRedial(id, 0);
}

void Day::OnCallerEvent(int exchange, int line, CallerEvent event, TimeUs retry_after_us) {
  const auto at = caller_by_line_.find({exchange, line});
  if (at == caller_by_line_.end()) return;
  const CallerId id = at->second;
  Caller& caller = callers_.at(id);
  ClassOutcome& outcome = report_.classes[static_cast<std::size_t>(caller.call_class)];
  const TrafficClass& c = scenario_.classes[static_cast<std::size_t>(caller.call_class)];
  const TimeUs now = runtime_->Now();
  ++caller.generation;
  const std::uint64_t generation = caller.generation;
  if (event == CallerEvent::kAnswered) {
    caller.answered = true;
    report_.set_up_delays.push_back(now - caller.attempt_at);
    caller.in_time = now - caller.first_attempt_at <= c.aim_us;
    ++(caller.in_time ? outcome.in_time : outcome.late);
    RecordAttempt(caller, caller.in_time ? "stands" : "stands-late", 0);
    Schedule(static_cast<TimeUs>(ExponentialRandom(static_cast<double>(c.holding_us))), [this, id, generation] {
      const auto found = callers_.find(id);
      if (found == callers_.end() || found->second.generation != generation) return;
      gateways_.at(found->second.from)->HangUp(found->second.line);
      RemoveCaller(id);
    });
    return;
  }
  if (event == CallerEvent::kEnded) {
    // The called party never hangs up first in this emulator, so an established call that ends here was terminated by a
    // fault. Terminated calls do not count as served.
    if (caller.answered) {
      ++outcome.terminated;
      RecordAttempt(caller, caller.in_time ? "cut" : "cut-late", 0);
      --(caller.in_time ? outcome.in_time : outcome.late);
    }
    gateways_.at(exchange)->HangUp(line);
    return RemoveCaller(id);
  }
  ++(event == CallerEvent::kRefused ? outcome.refused : outcome.failed);
  RecordAttempt(caller, event == CallerEvent::kRefused ? "refused" : "failed", retry_after_us);
  Schedule(kToneListenTime, [this, id, generation, retry_after_us] {
    const auto found = callers_.find(id);
    if (found == callers_.end() || found->second.generation != generation) return;
    gateways_.at(found->second.from)->HangUp(found->second.line);
    ScheduleRedial(id, retry_after_us);
  });
}

void Day::ScheduleRedial(CallerId id, TimeUs retry_after_us) {
  Caller& caller = callers_.at(id);
  caller_by_line_.erase({caller.from, caller.line});
  free_lines_[static_cast<std::size_t>(caller.from)].insert(caller.line);
  caller.line = 0;
  ++caller.generation;
  const TrafficClass& c = scenario_.classes[static_cast<std::size_t>(caller.call_class)];
  const auto [min_wait, max_wait] = scenario_.redial_us;
  TimeUs own_wait = min_wait + static_cast<TimeUs>(UniformRandom() * static_cast<double>(max_wait - min_wait));
  if (scenario_.redial_doubles) own_wait <<= std::min(caller.attempts - 1, 8);
  if (caller.timeout_per_target > 0.0)
    own_wait = kToneListenTime, retry_after_us = 0;  // redials after a short pause and ignores retry-after
  if (retry_after_us > 0 && scenario_.retry_after_compliance < 1.0 &&
      UniformRandom() >= scenario_.retry_after_compliance)
    retry_after_us = 0;
  const TimeUs wait = std::max(retry_after_us, own_wait);
  const bool gives_up =
      caller.attempts > caller.max_redials || runtime_->Now() + wait > caller.first_attempt_at + c.give_up_us;
  if (gives_up || runtime_->Now() + wait > end_time_ + scenario_.settle_us / 2) return RemoveCaller(id);
  Schedule(wait, [this, id] {
    if (callers_.count(id) > 0) StartAttempt(id);
  });
}

void Day::RemoveCaller(CallerId id) {
  const auto found = callers_.find(id);
  if (found == callers_.end()) return;
  if (found->second.line != 0) {
    caller_by_line_.erase({found->second.from, found->second.line});
    free_lines_[static_cast<std::size_t>(found->second.from)].insert(found->second.line);
  }
  callers_.erase(found);
}

// ---- Faults ----

void Day::PublishState(int number, const std::string& status) {
  if (status == "ready") {
    out_of_service_.erase(number);
  } else {
    out_of_service_.insert(number);
  }
  const ExchangeState& exchange = network_.At(number);
  roster_.PublishDelayed(
      {roster_ids_[number], number, exchange.zone, status, exchange.incarnation, exchange.started_us});
}

void Day::SetSlowdown(const Fault& fault, double slow) {
  for (const int number : fault.exchanges) network_.At(number).slow = slow;
}

void Day::RunRestartStorm(const Fault& fault, TimeUs until) {
  if (runtime_->Now() >= until) return;
  for (const int number : fault.exchanges) {
    const auto gateway = gateways_.find(number);
    if (gateway != gateways_.end()) gateway->second->Restart(fault.method, fault.endpoints);
  }
  const TimeUs interval = fault.size > 0.0 ? static_cast<TimeUs>(fault.size * 1000.0) : 20'000;
  Schedule(interval, [this, fault, until] { RunRestartStorm(fault, until); });
}

void Day::RunPauses(const Fault& fault, TimeUs until) {
  if (runtime_->Now() >= until) return;
  for (const int number : fault.exchanges)
    network_.At(number).pause_until = runtime_->Now() + static_cast<TimeUs>(fault.size * 1000.0);
  const TimeUs interval = fault.every_us > 0 ? fault.every_us : 1'500'000;
  Schedule(interval, [this, fault, until] { RunPauses(fault, until); });
}

void Day::RunEdgeStalls(const Fault& fault, TimeUs until) {
  if (runtime_->Now() >= until) return;
  for (const int number : fault.exchanges) {
    if (number >= scenario_.edges || !stalled_edges_.insert(number).second) continue;
    trace_->RecordFact("edge-stalled", {{"exchange", number}});
    edges_->Stall(number, true);
  }
  const auto stall = static_cast<TimeUs>(fault.size * 1000.0);
  Schedule(stall, [this, fault] {
    for (const int number : fault.exchanges) {
      if (stalled_edges_.erase(number) == 0) continue;
      edges_->Stall(number, false);
      trace_->RecordFact("edge-goes-on", {{"exchange", number}});
    }
  });
  Schedule(stall + std::max<TimeUs>(fault.every_us, 1000), [this, fault, until] { RunEdgeStalls(fault, until); });
}

// Gradual slowdown, then a crash, then a cold start.
void Day::RunAgeing(const Fault& fault, TimeUs began) {
  const TimeUs now = runtime_->Now(), end = began + fault.for_us;
  if (now < end) {
    const double fraction = static_cast<double>(now - began) / static_cast<double>(std::max<TimeUs>(1, fault.for_us));
    SetSlowdown(fault, 1.0 + (std::max(1.0, fault.size) - 1.0) * fraction);
    Schedule(std::min<TimeUs>(500'000, end - now), [this, fault, began] { RunAgeing(fault, began); });
    return;
  }
  SetSlowdown(fault, 1.0);
  for (const int number : fault.exchanges) {
    network_.Kill(number);
    PublishState(number, "gone");
    Schedule(std::max<TimeUs>(1000, fault.down_us), [this, number] {
      network_.Start(number);
      if (network_.At(number).alive) PublishState(number, "ready");
    });
  }
}

void Day::ReplaceExchange(int number, TimeUs drain_us) {
  PublishState(number, "draining");
  Schedule(drain_us, [this, number] {
    network_.Kill(number);
    PublishState(number, "gone");
    Schedule(300'000, [this, number] {
      ++roster_ids_[number];
      network_.Start(number);
      PublishState(number, "ready");
    });
  });
}

void Day::StartFault(const Fault& fault) {
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
    SetSlowdown(fault, std::max(1.0, fault.size));
  } else if (fault.kind == "pause") {
    RunPauses(fault, until);
  } else if (fault.kind == "edge-stall") {
    return RunEdgeStalls(fault, until);
  } else if (fault.kind == "ageing") {
    return RunAgeing(fault, runtime_->Now());
  } else if (fault.kind == "retry-abuse") {
    abuser_share_ = fault.share;
    abuser_timeout_per_target_ = fault.patience > 0.0 ? fault.patience : 0.5;
    abuser_max_redials_ = std::max(1, static_cast<int>(fault.size));
  } else if (fault.kind == "drain") {
    for (const int number : fault.exchanges) PublishState(number, "draining");
  } else if (fault.kind == "replace") {
    // One after the other, so that each is back before the next one is drained. With size 1, all at once.
    TimeUs at = 0;
    for (const int number : fault.exchanges) {
      Schedule(at, [this, number] { ReplaceExchange(number, 2'000'000); });
      if (fault.size != 1.0)
        at += std::max<TimeUs>(2'500'000, fault.for_us / std::max<std::size_t>(1, fault.exchanges.size()));
    }
    return;
  } else if (fault.kind == "roster-late") {
    roster_.SetPublicationDelay(scenario_.roster_lag_us + static_cast<TimeUs>(fault.size * 1000.0));
  } else if (fault.kind == "circuits-lost") {
    network_.FailCircuits(fault.zone, fault.exchanges, fault.size);
  } else if (fault.kind == "hot-caller") {
    for (const int number : fault.exchanges) {
      if (number < scenario_.edges) hot_edges_.insert(number);
    }
    hot_share_ = fault.size;
  } else if (fault.kind == "crowded-number") {
    crowded_exchange_ = fault.exchanges.empty() ? scenario_.exchanges - 1 : fault.exchanges.front();
    crowded_number_ = LineNumber(0, 0, crowded_exchange_, 9999 % std::max(1, scenario_.lines));
    crowded_share_ = fault.size;
    if (const auto found = emulated_exchanges_.find(crowded_exchange_); found != emulated_exchanges_.end())
      found->second->LimitLines(crowded_number_, fault.lines);
  } else if (fault.kind == "edge-kill") {
    for (const int number : fault.exchanges) {
      trace_->RecordFact("edge-killed", {{"exchange", number}});
      edges_->Kill(number);
    }
  } else if (fault.kind == "path") {
    path_.SetImpairments({fault.loss, fault.doubled, fault.late, fault.late_us});
  } else if (fault.kind == "restart-storm") {
    RunRestartStorm(fault, until);
  } else {
    for (const int number : fault.exchanges) {
      const auto gateway = gateways_.find(number);
      if (gateway == gateways_.end()) continue;
      if (fault.kind == "gateway-silent") gateway->second->faults().silent_after_ack = true;
      if (fault.kind == "gateway-late")
        gateway->second->faults().answer_notify_delay_us = static_cast<TimeUs>(fault.size * 1000.0);
      if (fault.kind == "gateway-error") gateway->second->faults().error_code = static_cast<int>(fault.size);
      if (fault.kind == "gateway-deaf") gateway->second->faults().unreachable = true;
      if (fault.kind == "gateway-restart") gateway->second->Restart(fault.method, fault.endpoints);
    }
  }
  if (fault.for_us > 0) Schedule(fault.for_us, [this, fault] { EndFault(fault); });
}

void Day::EndFault(const Fault& fault) {
  trace_->RecordFact("relief", {{"kind", fault.kind}, {"exchanges", fault.exchanges}});
  if (fault.kind == "crash" || fault.kind == "unit-restart") {
    for (const int number : fault.exchanges) {
      network_.Start(number);
      if (network_.At(number).alive) PublishState(number, "ready");
    }
  } else if (fault.kind == "hang") {
    for (const int number : fault.exchanges) network_.At(number).hung = false;
  } else if (fault.kind == "slow") {
    SetSlowdown(fault, 1.0);
  } else if (fault.kind == "drain") {
    for (const int number : fault.exchanges) PublishState(number, "ready");
  } else if (fault.kind == "roster-late") {
    roster_.SetPublicationDelay(scenario_.roster_lag_us);
  } else if (fault.kind == "circuits-lost") {
    network_.RestoreCircuits();
  } else if (fault.kind == "retry-abuse") {
    abuser_share_ = 0.0;
  } else if (fault.kind == "hot-caller") {
    hot_edges_.clear();
  } else if (fault.kind == "crowded-number") {
    crowded_number_.clear();
  } else if (fault.kind == "edge-kill") {
    for (const int number : fault.exchanges) StartEdge(number);
  } else if (fault.kind == "path") {
    path_.SetImpairments({});
  } else {
    for (const int number : fault.exchanges) {
      const auto gateway = gateways_.find(number);
      if (gateway == gateways_.end()) continue;
      gateway->second->faults() = {};
      // A gateway that was disconnected reports it when it is reachable again (RFC 3435 4.4.7).
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
