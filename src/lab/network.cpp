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

void Network::After(TimeUs delay, std::function<void()> what) {
  runtime_->StartTimer(delay, [alive = alive_, what = std::move(what)] {
    if (*alive) what();
  });
}

TimeUs Network::Way(int a, int b) const { return At(a).zone == At(b).zone ? settings_.near_us : settings_.far_us; }

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
  if (end.use != Use::kIdle && end.far_released) return "far-released";
  switch (end.use) {
    case Use::kIdle:
      return circuit->blocked ? "blocked" : "idle";
    case Use::kReleasing:
      return "releasing";
    case Use::kIn:
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

// ---- processors ----

double Network::Warmth(const ExchangeState& exchange) const {
  if (exchange.started_us == 0) return 1.0;
  const double grown =
      static_cast<double>(runtime_->Now() - exchange.started_us) / static_cast<double>(settings_.processor.warm_up_us);
  const double from = settings_.processor.warm_up_start_share;
  return grown >= 1.0 ? 1.0 : from + (1.0 - from) * grown;
}

TimeUs Network::Wait(int number) const {
  const TimeUs now = runtime_->Now(), until = std::max(At(number).busy_until, At(number).pause_until);
  return until > now ? until - now : 0;
}

unsigned Network::IdleBetween(int a, int b) const {
  const auto group = groups_.find({std::min(a, b), std::max(a, b)});
  if (group == groups_.end()) return 0;
  return static_cast<unsigned>(std::count_if(group->second.begin(), group->second.end(), [](const Circuit& circuit) {
    return !circuit.blocked && circuit.ends[0].use == Use::kIdle && circuit.ends[1].use == Use::kIdle;
  }));
}

std::vector<double> Network::Load(const ExchangeState& exchange) const {
  const TimeUs now = runtime_->Now();
  const ProcessorSettings& p = settings_.processor;
  const double wait = exchange.busy_until > now ? static_cast<double>(exchange.busy_until - now) : 0.0;
  const double full = std::min(1.0, wait / static_cast<double>(p.max_queue_delay_us));
  if (p.reports == "pending") return {wait / static_cast<double>(p.set_up_us)};
  if (p.reports == "cut_by") return {full};
  if (p.reports == "allowed")
    return {(1.0 - full) * Warmth(exchange) / exchange.slow * exchange.speed * 1e6 / static_cast<double>(p.set_up_us)};
  return {};
}

void Network::Work(int number, TimeUs work, std::function<void()> done) {
  ExchangeState& exchange = At(number);
  if (!exchange.alive) return;
  const TimeUs now = runtime_->Now();
  const double factor = exchange.slow / Warmth(exchange) / exchange.speed;
  const auto takes = static_cast<TimeUs>(static_cast<double>(work) * factor);
  exchange.busy_until = std::max({exchange.busy_until, now, exchange.pause_until}) + takes;
  exchange.worked_us += takes;
  if (!done) return;
  After(exchange.busy_until - now, [this, number, incarnation = exchange.incarnation, done = std::move(done)] {
    const ExchangeState& at = At(number);
    if (at.alive && !at.hung && at.incarnation == incarnation) done();
  });
}

void Network::CountCold(ExchangeState& exchange, TimeUs work) {
  const ProcessorSettings& p = settings_.processor;
  const double warmth = Warmth(exchange);
  if (warmth >= 1.0 || p.collapse_multiple <= 0.0) return;
  const TimeUs now = runtime_->Now();
  exchange.cold_work.emplace_back(now, work);
  while (exchange.cold_work.front().first + p.collapse_time_us < now) exchange.cold_work.pop_front();
  double sum = 0.0;
  for (const auto& [at, amount] : exchange.cold_work) sum += static_cast<double>(amount);
  const double budget =
      p.collapse_multiple * warmth / exchange.slow * exchange.speed * static_cast<double>(p.collapse_time_us);
  // Some slack for chance: a budget of less than a few set-ups is not spent by two that happen to meet.
  if (sum <= budget + 2.0 * static_cast<double>(p.set_up_us)) return;
  trace_->RecordFact("fell-over", {{"exchange", exchange.number}});
  Kill(exchange.number);
  exchange.collapsed = true;
}

// ---- circuits ----

bool Network::Seize(int number, const CircuitId& id, const SetUpInfo& info) {
  std::vector<unsigned> all{id.circuit};
  all.insert(all.end(), info.others.begin(), info.others.end());
  for (const unsigned circuit : all) {
    Circuit* at = Find(number, {id.far, circuit});
    if (at == nullptr || at->blocked || EndOf(*at, number, id.far).use != Use::kIdle) return false;
  }
  const std::uint64_t seizure = next_seizure_++;
  for (const unsigned circuit : all) {
    End& end = EndOf(*Find(number, {id.far, circuit}), number, id.far);
    end = End{};
    end.use = Use::kOut;
    end.told = true;
    end.seizure = seizure;
  }
  EndOf(*Find(number, id), number, id.far).others = info.others;
  const auto leave = [this, number, id, seizure, info] {
    After(Way(number, id.far),
          [this, number, id, seizure, info] { ArriveSeizure(number, id.far, id.circuit, seizure, info); });
  };
  // The way out costs the own processor its part: where the call begins it waits for it; in transit that was paid on
  // arrival.
  const ProcessorSettings& p = settings_.processor;
  if (p.outgoing_set_up_us == 0 || info.origin != number) {
    Work(number, p.outgoing_set_up_us == 0 ? p.signal_us : p.offer_us, {});
    leave();
  } else {
    Work(number, p.outgoing_set_up_us, leave);
  }
  return true;
}

void Network::ArriveSeizure(int from, int to, unsigned circuit, std::uint64_t seizure, const SetUpInfo& info) {
  const CircuitId here{from, circuit};
  // Let go on the way already?
  if (EndOf(*Find(from, {to, circuit}), from, to).seizure != seizure) return;
  std::vector<unsigned> all{circuit};
  all.insert(all.end(), info.others.begin(), info.others.end());
  for (const unsigned each : all) {
    const CircuitId id{from, each};
    End& end = EndOf(*Find(to, id), to, from);
    if (end.use == Use::kIdle || end.use == Use::kReleasing) continue;
    // Glare. The lower-numbered exchange keeps the circuit: its seizure is on its way and will be told to the other.
    if (to < from) return;
    // Ours is lost: who holds it here lets go, then the seizure is told.
    end.far_released = true;
    end.after_glare = [this, from, to, circuit, seizure, info] { ArriveSeizure(from, to, circuit, seizure, info); };
    return At(to).user->OnRelease(id, {44, to, 0, {}});
  }
  for (const unsigned each : all) {
    End& end = EndOf(*Find(to, {from, each}), to, from);
    end = End{};
    end.use = Use::kIn;
    end.seizure = seizure;
  }
  ExchangeState& exchange = At(to);
  const ProcessorSettings& p = settings_.processor;
  if (!exchange.alive) return TurnAway(to, here, {27, to, 0, {}});
  if (exchange.hung) return;
  const TimeUs now = runtime_->Now();
  const TimeUs wait = exchange.busy_until > now ? exchange.busy_until - now : 0;
  ++exchange.set_ups;
  CountCold(exchange, p.set_up_us);
  if (!exchange.alive) return TurnAway(to, here, {27, to, 0, {}});
  if (wait > p.max_queue_delay_us) {
    ++exchange.turned_away;
    return Work(to, p.reject_us, [this, to, here, wait, &exchange] {
      TurnAway(to, here, {42, to, settings_.processor.reports_wait_time ? wait : 0, Load(exchange)});
    });
  }
  TimeUs work = p.set_up_us;
  for (TimeUs gap = p.retransmit_interval_us, at = gap; gap > 0 && at < wait; gap *= 2, at += gap) work += p.reject_us;
  Work(to, work, [this, to, from, here, seizure, info] {
    // It may have been given up while it waited; the work was done all the same.
    End& end = EndOf(*Find(to, here), to, from);
    if (end.seizure != seizure || end.use != Use::kIn || end.far_released) return;
    end.told = true;
    for (const unsigned other : info.others) EndOf(*Find(to, {from, other}), to, from).told = true;
    At(to).user->OnSeizure(here, info);
  });
}

// The exchange itself, not its user, answers a seizure with a release.
void Network::TurnAway(int number, const CircuitId& id, const ReleaseNews& news) {
  const Circuit* circuit = Find(number, id);
  const std::vector<unsigned> others = circuit->ends[number < id.far ? 1 : 0].others;
  Release(number, id, news);
  for (const unsigned other : others) Release(number, {id.far, other}, news);
}

void Network::Answer(int number, const CircuitId& id) {
  Circuit* circuit = Find(number, id);
  if (circuit == nullptr || EndOf(*circuit, number, id.far).use != Use::kIn) return;
  const std::uint64_t seizure = EndOf(*circuit, number, id.far).seizure;
  Work(number, settings_.processor.signal_us, [this, number, id, seizure] {
    After(Way(number, id.far), [this, number, id, seizure] {
      Work(id.far, settings_.processor.signal_us, [this, number, id, seizure] {
        const CircuitId there{number, id.circuit};
        const End& end = EndOf(*Find(id.far, there), id.far, number);
        if (end.seizure == seizure && end.use == Use::kOut && !end.far_released) At(id.far).user->OnAnswer(there);
      });
    });
  });
}

void Network::Release(int number, const CircuitId& id, const ReleaseNews& news) {
  Circuit* circuit = Find(number, id);
  if (circuit == nullptr) return;
  End& end = EndOf(*circuit, number, id.far);
  if (end.use == Use::kIdle || (end.use == Use::kReleasing && !end.far_released)) return;
  const std::uint64_t seizure = end.seizure;
  const CircuitId there{number, id.circuit};
  // The release that arrived was worked on when it did: what completes it is no work of its own.
  if (!end.far_released || end.after_glare) Work(number, settings_.processor.signal_us, {});
  if (end.after_glare) {
    const auto then = std::move(end.after_glare);
    end = End{};
    return then();
  }
  if (end.far_released) {
    // The other end let go first: this completes it, and the other end hears so.
    end = End{};
    After(Way(number, id.far), [this, id, there, seizure] {
      End& far = EndOf(*Find(id.far, there), id.far, there.far);
      if (far.use != Use::kReleasing || far.seizure != seizure) return;
      far = End{};
      At(id.far).user->OnReleaseComplete(there);
    });
    return;
  }
  end.use = Use::kReleasing;
  After(Way(number, id.far), [this, id, there, seizure, news] { ArriveRelease(id.far, there, seizure, news); });
}

void Network::ArriveRelease(int to, const CircuitId& here, std::uint64_t seizure, const ReleaseNews& news) {
  End& end = EndOf(*Find(to, here), to, here.far);
  if (end.seizure != seizure) {
    // The seizure never got here (lost to a dead exchange, or let go on the way): the near end alone holds it.
    const CircuitId there{to, here.circuit};
    After(Way(to, here.far), [this, here, there, seizure] {
      End& near = EndOf(*Find(here.far, there), here.far, there.far);
      if (near.use != Use::kReleasing || near.seizure != seizure) return;
      near = End{};
      At(here.far).user->OnReleaseComplete(there);
    });
    return;
  }
  if (end.use == Use::kReleasing) {
    // Both let go at once: each hears of the other's release, and that completes both.
    end = End{};
    At(to).user->OnReleaseComplete(here);
    return;
  }
  if (end.use == Use::kIdle) return;
  end.far_released = true;
  Work(to, settings_.processor.signal_us, {});
  TellRelease(to, here, news);
}

void Network::TellRelease(int number, const CircuitId& id, const ReleaseNews& news) {
  if (EndOf(*Find(number, id), number, id.far).told) return At(number).user->OnRelease(id, news);
  Release(number, id, news);
}

void Network::Probe(int from, int number, std::function<void(std::vector<double>)> done) {
  const TimeUs way = Way(from, number);
  After(way, [this, number, way, done = std::move(done)] {
    Work(number, settings_.processor.probe_us,
         [this, number, way, done] { After(way, [this, number, done] { done(Load(At(number))); }); });
  });
}

// ---- troubles ----

void Network::CutEnd(int number, const CircuitId& id, int cause) {
  Circuit* circuit = Find(number, id);
  End& end = EndOf(*circuit, number, id.far);
  if (end.use != Use::kOut && end.use != Use::kIn) return;
  ++cut_;
  end.far_released = true;
  TellRelease(number, id, {cause, number, 0, {}});
}

void Network::Kill(int number) {
  ExchangeState& exchange = At(number);
  if (!exchange.alive) return;
  exchange.alive = false;
  exchange.busy_until = 0;
  trace_->RecordFact("down", {{"exchange", number}});
  // Both ends of everything that touches it are cut; each end hears of it as a release by the other.
  for (auto& [pair, circuits] : groups_) {
    if (pair.first != number && pair.second != number) continue;
    const int far = pair.first == number ? pair.second : pair.first;
    for (unsigned i = 0; i < circuits.size(); ++i) {
      CutEnd(number, {far, i}, 41);
      After(Way(number, far), [this, number, far, i] { CutEnd(far, {number, i}, 41); });
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
  exchange.cold_work.clear();
  const ProcessorSettings& p = settings_.processor;
  trace_->RecordFact("cold-start",
                     {{"exchange", number},
                      {"set_ups_per_s", 1e6 * exchange.speed / (static_cast<double>(p.set_up_us) * exchange.slow)},
                      {"cold_from", p.warm_up_start_share},
                      {"warm_up_ms", p.warm_up_us / 1000},
                      {"fall_multiple", p.collapse_multiple},
                      {"fall_ms", p.collapse_time_us / 1000}});
}

void Network::CutCircuits(int zone, const std::vector<int>& among, double keep) {
  const auto listed = [&](int number) { return std::find(among.begin(), among.end(), number) != among.end(); };
  for (auto& [pair, circuits] : groups_) {
    const bool hit = among.empty() ? (At(pair.first).zone == zone) != (At(pair.second).zone == zone)
                                   : listed(pair.first) && listed(pair.second);
    if (!hit) continue;
    const auto kept = static_cast<unsigned>(std::ceil(keep * static_cast<double>(circuits.size())));
    for (unsigned i = kept; i < circuits.size(); ++i) {
      CutEnd(pair.first, {pair.second, i}, 41);
      CutEnd(pair.second, {pair.first, i}, 41);
      Block(pair, i, true);
    }
  }
}

// Both ends see it alike, as the loss of a whole bundle is seen at once by the equipment at either end.
void Network::Block(const Pair& pair, unsigned circuit, bool blocked) {
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
      if (circuits[i].blocked) Block(pair, i, false);
    }
  }
}

}  // namespace croftrun::lab
