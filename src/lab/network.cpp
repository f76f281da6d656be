#include "lab/network.h"

#include <algorithm>
#include <cmath>

namespace croftrun::lab {

Network::Network(core::Runtime* runtime, Trace* trace, const NetworkSettings& settings)
    : runtime_(runtime), trace_(trace), settings_(settings) {
  for (std::size_t i = 0; i < settings_.zones.size(); ++i) {
    ExchangeState exchange;
    exchange.number = static_cast<int>(i);
    exchange.zone = settings_.zones[i];
    if (i < settings_.processor.speed_by_exchange.size()) exchange.speed = settings_.processor.speed_by_exchange[i];
    exchanges_.push_back(exchange);
  }
}

Network::~Network() { *alive_ = false; }

void Network::Schedule(TimeUs delay, std::function<void()> callback) {
  runtime_->StartTimer(delay, [alive = alive_, callback = std::move(callback)] {
    if (*alive) callback();
  });
}

TimeUs Network::PropagationDelay(int a, int b) const {
  return At(a).zone == At(b).zone ? settings_.near_us : settings_.far_us;
}

void Network::AddGroup(int a, int b, unsigned circuits) { groups_[{std::min(a, b), std::max(a, b)}].resize(circuits); }

unsigned Network::Circuits(int a, int b) const {
  const auto found = groups_.find({std::min(a, b), std::max(a, b)});
  return found == groups_.end() ? 0 : static_cast<unsigned>(found->second.size());
}

const Network::Circuit* Network::Find(int number, const CircuitId& id) const {
  const auto group = groups_.find({std::min(number, id.far), std::max(number, id.far)});
  return group == groups_.end() || id.circuit >= group->second.size() ? nullptr : &group->second[id.circuit];
}

Network::Circuit* Network::Find(int number, const CircuitId& id) {
  return const_cast<Circuit*>(std::as_const(*this).Find(number, id));
}

std::string_view Network::State(int number, const CircuitId& id) const {
  const Circuit* circuit = Find(number, id);
  if (circuit == nullptr) return "idle";
  const End& end = circuit->ends[number < id.far ? 0 : 1];
  if (end.state != EndState::kIdle && end.far_released) return "far-released";
  switch (end.state) {
    case EndState::kIdle:
      return circuit->blocked ? "blocked" : "idle";
    case EndState::kReleasing:
      return "releasing";
    case EndState::kSeizedIn:
      return "seized-in";
    default:
      return "seized";
  }
}

bool Network::PickIdle(int number, int far, CircuitId* id) const {
  const unsigned circuits = Circuits(number, far);
  for (unsigned i = 0; i < circuits; ++i) {
    const CircuitId candidate{far, number < far ? i : circuits - 1 - i};
    if (!IsIdle(number, candidate) || Find(number, candidate)->blocked) continue;
    *id = candidate;
    return true;
  }
  return false;
}

// ---- Processors ----

double Network::CapacityShare(const ExchangeState& exchange) const {
  if (exchange.started_us == 0) return 1.0;
  const double warm_up_progress =
      static_cast<double>(runtime_->Now() - exchange.started_us) / static_cast<double>(settings_.processor.warm_up_us);
  const double from = settings_.processor.warm_up_start_share;
  return warm_up_progress >= 1.0 ? 1.0 : from + (1.0 - from) * warm_up_progress;
}

TimeUs Network::QueueDelay(int number) const {
  const TimeUs now = runtime_->Now(), until = std::max(At(number).busy_until, At(number).pause_until);
  return until > now ? until - now : 0;
}

unsigned Network::IdleBetween(int a, int b) const {
  const auto group = groups_.find({std::min(a, b), std::max(a, b)});
  if (group == groups_.end()) return 0;
  return static_cast<unsigned>(std::count_if(group->second.begin(), group->second.end(), [](const Circuit& circuit) {
    return !circuit.blocked && circuit.ends[0].state == EndState::kIdle && circuit.ends[1].state == EndState::kIdle;
  }));
}

std::vector<double> Network::LoadFigures(const ExchangeState& exchange) const {
  const TimeUs now = runtime_->Now();
  const ProcessorSettings& p = settings_.processor;
  const double wait = exchange.busy_until > now ? static_cast<double>(exchange.busy_until - now) : 0.0;
  const double queue_share = std::min(1.0, wait / static_cast<double>(p.max_queue_delay_us));
  if (p.reports == "pending") return {wait / static_cast<double>(p.set_up_us)};
  if (p.reports == "cut_by") return {queue_share};
  if (p.reports == "allowed")
    return {(1.0 - queue_share) * CapacityShare(exchange) / exchange.slow * exchange.speed * 1e6 /
            static_cast<double>(p.set_up_us)};
  return {};
}

void Network::ProcessWork(int number, TimeUs work, std::function<void()> done) {
  ExchangeState& exchange = At(number);
  if (!exchange.alive) return;
  const TimeUs now = runtime_->Now();
  const double factor = exchange.slow / CapacityShare(exchange) / exchange.speed;
  const auto duration = static_cast<TimeUs>(static_cast<double>(work) * factor);
  exchange.busy_until = std::max({exchange.busy_until, now, exchange.pause_until}) + duration;
  exchange.worked_us += duration;
  if (!done) return;
  Schedule(exchange.busy_until - now, [this, number, incarnation = exchange.incarnation, done = std::move(done)] {
    const ExchangeState& at = At(number);
    if (at.alive && !at.hung && at.incarnation == incarnation) done();
  });
}

void Network::TrackWarmUpLoad(ExchangeState& exchange, TimeUs work) {
  const ProcessorSettings& p = settings_.processor;
  const double capacity_share = CapacityShare(exchange);
  if (capacity_share >= 1.0 || p.collapse_multiple <= 0.0) return;
  const TimeUs now = runtime_->Now();
  exchange.warm_up_work.emplace_back(now, work);
  while (exchange.warm_up_work.front().first + p.collapse_time_us < now) exchange.warm_up_work.pop_front();
  double sum = 0.0;
  for (const auto& [at, amount] : exchange.warm_up_work) sum += static_cast<double>(amount);
  const double budget =
      p.collapse_multiple * capacity_share / exchange.slow * exchange.speed * static_cast<double>(p.collapse_time_us);
  // A margin of two set-ups: where the budget is only a few set-ups, two that arrive together must not exceed it.
  if (sum <= budget + 2.0 * static_cast<double>(p.set_up_us)) return;
  trace_->RecordFact("fell-over", {{"exchange", exchange.number}});
  Kill(exchange.number);
  exchange.collapsed = true;
}

// ---- Circuits ----

bool Network::Seize(int number, const CircuitId& id, const SetUpInfo& info) {
  std::vector<unsigned> all{id.circuit};
  all.insert(all.end(), info.additional_circuits.begin(), info.additional_circuits.end());
  for (const unsigned circuit : all) {
    Circuit* at = Find(number, {id.far, circuit});
    if (at == nullptr || at->blocked || EndOf(*at, number, id.far).state != EndState::kIdle) return false;
  }
  const std::uint64_t seizure = next_seizure_++;
  for (const unsigned circuit : all) {
    End& end = EndOf(*Find(number, {id.far, circuit}), number, id.far);
    end = End{};
    end.state = EndState::kSeizedOut;
    end.user_notified = true;
    end.seizure = seizure;
  }
  EndOf(*Find(number, id), number, id.far).additional_circuits = info.additional_circuits;
  const auto send = [this, number, id, seizure, info] {
    Schedule(PropagationDelay(number, id.far),
             [this, number, id, seizure, info] { OnSeizureArrival(number, id.far, id.circuit, seizure, info); });
  };
  // Outgoing processing: at the originating exchange the set-up waits for it; a transit call was already charged on
  // arrival.
  const ProcessorSettings& p = settings_.processor;
  if (p.outgoing_set_up_us == 0 || info.origin != number) {
    ProcessWork(number, p.outgoing_set_up_us == 0 ? p.signal_us : p.offer_us, {});
    send();
  } else {
    ProcessWork(number, p.outgoing_set_up_us, send);
  }
  return true;
}

void Network::OnSeizureArrival(int from, int to, unsigned circuit, std::uint64_t seizure, const SetUpInfo& info) {
  const CircuitId here{from, circuit};
  // Released while the seizure was in transmission.
  if (EndOf(*Find(from, {to, circuit}), from, to).seizure != seizure) return;
  std::vector<unsigned> all{circuit};
  all.insert(all.end(), info.additional_circuits.begin(), info.additional_circuits.end());
  for (const unsigned each : all) {
    const CircuitId id{from, each};
    End& end = EndOf(*Find(to, id), to, from);
    if (end.state == EndState::kIdle || end.state == EndState::kReleasing) continue;
    // Glare. The lower-numbered exchange keeps the circuit: its own seizure is in transmission to the other end.
    if (to < from) return;
    // This end loses the circuit: its user releases it, then the far end's seizure is delivered.
    end.far_released = true;
    end.deferred_seizure = [this, from, to, circuit, seizure, info] {
      OnSeizureArrival(from, to, circuit, seizure, info);
    };
    return At(to).user->OnRelease(id, {44, to, 0, {}});
  }
  for (const unsigned each : all) {
    End& end = EndOf(*Find(to, {from, each}), to, from);
    end = End{};
    end.state = EndState::kSeizedIn;
    end.seizure = seizure;
  }
  ExchangeState& exchange = At(to);
  const ProcessorSettings& p = settings_.processor;
  if (!exchange.alive) return RejectSetUp(to, here, {27, to, 0, {}});
  if (exchange.hung) return;
  const TimeUs now = runtime_->Now();
  const TimeUs wait = exchange.busy_until > now ? exchange.busy_until - now : 0;
  ++exchange.set_ups;
  TrackWarmUpLoad(exchange, p.set_up_us);
  if (!exchange.alive) return RejectSetUp(to, here, {27, to, 0, {}});
  if (wait > p.max_queue_delay_us) {
    ++exchange.rejected;
    return ProcessWork(to, p.reject_us, [this, to, here, wait, &exchange] {
      RejectSetUp(to, here, {42, to, settings_.processor.reports_wait_time ? wait : 0, LoadFigures(exchange)});
    });
  }
  TimeUs work = p.set_up_us;
  for (TimeUs gap = p.retransmit_interval_us, at = gap; gap > 0 && at < wait; gap *= 2, at += gap) work += p.reject_us;
  ProcessWork(to, work, [this, to, from, here, seizure, info] {
    // The set-up may have been released while it was queued; it was processed all the same.
    End& end = EndOf(*Find(to, here), to, from);
    if (end.seizure != seizure || end.state != EndState::kSeizedIn || end.far_released) return;
    end.user_notified = true;
    for (const unsigned other : info.additional_circuits)
      EndOf(*Find(to, {from, other}), to, from).user_notified = true;
    At(to).user->OnSeizure(here, info);
  });
}

// The exchange rejects a seizure without involving its user.
void Network::RejectSetUp(int number, const CircuitId& id, const ReleaseDetails& details) {
  const Circuit* circuit = Find(number, id);
  const std::vector<unsigned> additional_circuits = circuit->ends[number < id.far ? 1 : 0].additional_circuits;
  Release(number, id, details);
  for (const unsigned other : additional_circuits) Release(number, {id.far, other}, details);
}

void Network::Answer(int number, const CircuitId& id) {
  Circuit* circuit = Find(number, id);
  if (circuit == nullptr || EndOf(*circuit, number, id.far).state != EndState::kSeizedIn) return;
  const std::uint64_t seizure = EndOf(*circuit, number, id.far).seizure;
  ProcessWork(number, settings_.processor.signal_us, [this, number, id, seizure] {
    Schedule(PropagationDelay(number, id.far), [this, number, id, seizure] {
      ProcessWork(id.far, settings_.processor.signal_us, [this, number, id, seizure] {
        const CircuitId there{number, id.circuit};
        const End& end = EndOf(*Find(id.far, there), id.far, number);
        if (end.seizure == seizure && end.state == EndState::kSeizedOut && !end.far_released)
          At(id.far).user->OnAnswer(there);
      });
    });
  });
}

void Network::Release(int number, const CircuitId& id, const ReleaseDetails& details) {
  Circuit* circuit = Find(number, id);
  if (circuit == nullptr) return;
  End& end = EndOf(*circuit, number, id.far);
  if (end.state == EndState::kIdle || (end.state == EndState::kReleasing && !end.far_released)) return;
  const std::uint64_t seizure = end.seizure;
  const CircuitId there{number, id.circuit};
  // A release that completes one from the far end costs nothing: that one was processed on arrival.
  if (!end.far_released || end.deferred_seizure) ProcessWork(number, settings_.processor.signal_us, {});
  if (end.deferred_seizure) {
    const auto then = std::move(end.deferred_seizure);
    end = End{};
    return then();
  }
  if (end.far_released) {
    // The far end released first: this completes the release, and the far end is notified.
    end = End{};
    Schedule(PropagationDelay(number, id.far), [this, id, there, seizure] {
      End& far = EndOf(*Find(id.far, there), id.far, there.far);
      if (far.state != EndState::kReleasing || far.seizure != seizure) return;
      far = End{};
      At(id.far).user->OnReleaseComplete(there);
    });
    return;
  }
  end.state = EndState::kReleasing;
  Schedule(PropagationDelay(number, id.far),
           [this, id, there, seizure, details] { OnReleaseArrival(id.far, there, seizure, details); });
}

void Network::OnReleaseArrival(int to, const CircuitId& here, std::uint64_t seizure, const ReleaseDetails& details) {
  End& end = EndOf(*Find(to, here), to, here.far);
  if (end.seizure != seizure) {
    // The seizure never arrived here (the exchange was down, or the far end released it during transmission): only the
    // far end holds the circuit.
    const CircuitId there{to, here.circuit};
    Schedule(PropagationDelay(to, here.far), [this, here, there, seizure] {
      End& near = EndOf(*Find(here.far, there), here.far, there.far);
      if (near.state != EndState::kReleasing || near.seizure != seizure) return;
      near = End{};
      At(here.far).user->OnReleaseComplete(there);
    });
    return;
  }
  if (end.state == EndState::kReleasing) {
    // Both ends released at the same time: each receives the other's release, which completes its own.
    end = End{};
    At(to).user->OnReleaseComplete(here);
    return;
  }
  if (end.state == EndState::kIdle) return;
  end.far_released = true;
  ProcessWork(to, settings_.processor.signal_us, {});
  NotifyRelease(to, here, details);
}

void Network::NotifyRelease(int number, const CircuitId& id, const ReleaseDetails& details) {
  if (EndOf(*Find(number, id), number, id.far).user_notified) return At(number).user->OnRelease(id, details);
  Release(number, id, details);
}

void Network::Probe(int from, int number, std::function<void(std::vector<double>)> done) {
  const TimeUs delay = PropagationDelay(from, number);
  Schedule(delay, [this, number, delay, done = std::move(done)] {
    ProcessWork(number, settings_.processor.probe_us, [this, number, delay, done] {
      Schedule(delay, [this, number, done] { done(LoadFigures(At(number))); });
    });
  });
}

// ---- Fault injection ----

void Network::DisconnectEnd(int number, const CircuitId& id, int cause) {
  Circuit* circuit = Find(number, id);
  End& end = EndOf(*circuit, number, id.far);
  if (end.state != EndState::kSeizedOut && end.state != EndState::kSeizedIn) return;
  ++disconnected_ends_;
  end.far_released = true;
  NotifyRelease(number, id, {cause, number, 0, {}});
}

void Network::Kill(int number) {
  ExchangeState& exchange = At(number);
  if (!exchange.alive) return;
  exchange.alive = false;
  exchange.busy_until = 0;
  trace_->RecordFact("down", {{"exchange", number}});
  // Calls on all circuits of the exchange are disconnected; each end sees this as a release by the far end.
  for (auto& [pair, circuits] : groups_) {
    if (pair.first != number && pair.second != number) continue;
    const int far = pair.first == number ? pair.second : pair.first;
    for (unsigned i = 0; i < circuits.size(); ++i) {
      DisconnectEnd(number, {far, i}, 41);
      Schedule(PropagationDelay(number, far), [this, number, far, i] { DisconnectEnd(far, {number, i}, 41); });
    }
  }
}

void Network::Start(int number) {
  ExchangeState& exchange = At(number);
  if (exchange.alive || exchange.collapsed) return;
  exchange.alive = true;
  exchange.hung = false;
  ++exchange.incarnation;
  exchange.started_us = runtime_->Now();
  exchange.warm_up_work.clear();
  const ProcessorSettings& p = settings_.processor;
  trace_->RecordFact("cold-start",
                     {{"exchange", number},
                      {"set_ups_per_s", 1e6 * exchange.speed / (static_cast<double>(p.set_up_us) * exchange.slow)},
                      {"cold_from", p.warm_up_start_share},
                      {"warm_up_ms", p.warm_up_us / 1000},
                      {"fall_multiple", p.collapse_multiple},
                      {"fall_ms", p.collapse_time_us / 1000}});
}

void Network::FailCircuits(int zone, const std::vector<int>& among, double keep) {
  const auto listed = [&](int number) { return std::find(among.begin(), among.end(), number) != among.end(); };
  for (auto& [pair, circuits] : groups_) {
    const bool hit = among.empty() ? (At(pair.first).zone == zone) != (At(pair.second).zone == zone)
                                   : listed(pair.first) && listed(pair.second);
    if (!hit) continue;
    const auto kept = static_cast<unsigned>(std::ceil(keep * static_cast<double>(circuits.size())));
    for (unsigned i = kept; i < circuits.size(); ++i) {
      DisconnectEnd(pair.first, {pair.second, i}, 41);
      DisconnectEnd(pair.second, {pair.first, i}, 41);
      SetBlocked(pair, i, true);
    }
  }
}

// Both ends see the change at once, as the equipment at either end detects the failure of a transmission system.
void Network::SetBlocked(const Pair& pair, unsigned circuit, bool blocked) {
  Circuit& at = groups_.at(pair)[circuit];
  if (at.blocked == blocked) return;
  at.blocked = blocked;
  for (const auto& [near, far] : {pair, Pair{pair.second, pair.first}}) {
    if (At(near).user != nullptr) At(near).user->OnBlocked({far, circuit}, blocked);
  }
}

void Network::RestoreCircuits() {
  for (auto& [pair, circuits] : groups_) {
    for (unsigned i = 0; i < circuits.size(); ++i) {
      if (circuits[i].blocked) SetBlocked(pair, i, false);
    }
  }
}

}  // namespace croftrun::lab
