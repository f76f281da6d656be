#include "lab/soak/trial.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <system_error>
#include <thread>
#include <utility>

#include "lab/soak/client_stand_in.h"
#include "lab/soak/discovery_stand_in.h"
#include "lab/soak/exchange_stand_in.h"
#include "lab/soak/fault_proxy.h"
#include "lab/soak/slot_lease.h"
#include "lab/soak/softswitch_process.h"
#include "runtime/asio_runtime.h"

namespace croftrun::lab::soak {

using nlohmann::json;

namespace {

constexpr TimeUs kSecond = 1'000'000, kMs = 1'000;
// After the last call: standing calls end or are released, and every time limit of the judge has passed.
constexpr TimeUs kAfterCalls = 10 * kSecond;
constexpr TimeUs kStartWithin = 15 * kSecond;
constexpr TimeUs kWatchEvery = 100 * kMs;
// After a planned kill the process is down for so long.
constexpr TimeUs kDownFor = 300 * kMs;
// New connections come for a while after SIGTERM; then clients go on with those that are open.
constexpr TimeUs kNewConnectionsAfterTerminate = 300 * kMs;
constexpr int kDescriptors = 256, kMegabytes = 64;
constexpr int kMostTries = 20, kTryAgainMs = 100;
constexpr ColdStartSettings kColdStart;

// Addresses of a trial: 127.(32 + slot).x.y.
class Addresses {
 public:
  explicit Addresses(int slot) : base_(127U << 24U | (32U + static_cast<std::uint32_t>(slot)) << 16U) {}
  core::Address Exchange(int softswitch, int exchange) const { return At(10 + softswitch, 1 + exchange, 5080); }
  core::Address BehindExchange(int softswitch, int exchange) const { return At(10 + softswitch, 1 + exchange, 6080); }
  core::Address Discovery(int softswitch, int which) const { return At(50 + softswitch, 1 + which, 9092); }
  core::Address BehindDiscovery(int softswitch) const { return At(50 + softswitch, 1, 9093); }
  core::Address Softswitch(int softswitch) const { return At(90 + softswitch, 1, 5080); }
  std::uint32_t Hosts(int softswitch) const { return At(130 + softswitch, 1, 0).host; }

 private:
  core::Address At(int third, int fourth, std::uint16_t port) const {
    return {base_ | static_cast<std::uint32_t>(third) << 8U | static_cast<std::uint32_t>(fourth), port};
  }
  std::uint32_t base_;
};

class Trial {
 public:
  Trial(const Script& script, const TrialOptions& options);
  TrialResult Run();

 private:
  struct Softswitch {
    std::unique_ptr<DiscoveryStandIn> discovery;
    std::vector<std::unique_ptr<FaultProxy>> discovery_ways;  // where it can be found
    int discovery_at = 0;
    int discovery_away = 0;  // faults that keep it away now
    std::unique_ptr<SoftswitchProcess> process;
    std::unique_ptr<ClientStandIn> clients;
    bool restarting = false;
  };
  struct Exchange {
    std::unique_ptr<ExchangeStandIn> machine;
    std::vector<std::unique_ptr<FaultProxy>> ways;  // by softswitch
    std::string uid;
    bool away = false;  // vanished, dead or drained: no other fault of its process comes
    bool listed_gone = false;
    bool draining = false;
  };

  void After(TimeUs delay, std::function<void()> what) { runtime_.StartTimer(delay, std::move(what)); }
  std::string Configuration(int softswitch) const;
  void List(int exchange, const std::string& state, std::int64_t boot_ms = 0);
  void Start();
  void Play(const Fault& fault);
  void PlayOnExchange(const Fault& fault, Exchange& exchange);
  void PlayOnSoftswitch(const Fault& fault, Softswitch& softswitch);
  void Vanish(Exchange& exchange, TimeUs back_after);
  void Die(Exchange& exchange, TimeUs back_after);
  void Replace(Exchange& exchange);
  void Drain(Exchange& exchange, TimeUs gone_after);
  // Another process at this slot, with a name of its own.
  void NewMachine(Exchange& exchange);
  // The process at this slot has just started, and discovery has it.
  void ListColdStart(Exchange& exchange);
  void KeepDiscoveryAway(TimeUs time, bool silent);
  void Reconfigure(int softswitch);
  void Terminate(int softswitch);
  void Restart(int softswitch);
  void Watch();
  int SlotOf(const Exchange& exchange) const { return static_cast<int>(&exchange - exchanges_.data()); }

  Script script_;
  TrialOptions options_;
  Addresses addresses_;
  runtime::AsioRuntime runtime_;
  TrafficRecord record_{&runtime_};
  std::vector<Softswitch> softswitches_;
  std::vector<Exchange> exchanges_;
  int next_instance_ = 0;
  TimeUs started_ = 0;
  bool over_ = false;
  core::Timer watch_{&runtime_};
};

Trial::Trial(const Script& script, const TrialOptions& options)
    : script_(script), options_(options), addresses_(options.slot) {
  std::filesystem::create_directories(options.folder);
  const auto count = static_cast<std::size_t>(script.softswitches);
  softswitches_.resize(count);
  exchanges_.resize(static_cast<std::size_t>(script.exchanges));
  for (int e = 0; e < script.exchanges; ++e) {
    Exchange& exchange = exchanges_[static_cast<std::size_t>(e)];
    std::vector<FaultProxy*> ways;
    std::vector<core::Address> behind;
    for (int s = 0; s < script.softswitches; ++s) {
      behind.push_back(addresses_.BehindExchange(s, e));
      exchange.ways.push_back(
          std::make_unique<FaultProxy>(&runtime_.context(), addresses_.Exchange(s, e), behind.back(),
                                       script.seed * 1000 + static_cast<std::uint64_t>(e * 10 + s)));
      ways.push_back(exchange.ways.back().get());
    }
    exchange.machine = std::make_unique<ExchangeStandIn>(
        &runtime_, &record_, script.seed * 100 + static_cast<std::uint64_t>(e), script.exchange, ways, behind);
  }
  for (int s = 0; s < script.softswitches; ++s) {
    Softswitch& softswitch = softswitches_[static_cast<std::size_t>(s)];
    softswitch.discovery = std::make_unique<DiscoveryStandIn>(&runtime_, &record_, s, addresses_.BehindDiscovery(s));
    for (int which = 0; which < 2; ++which) {
      softswitch.discovery_ways.push_back(std::make_unique<FaultProxy>(
          &runtime_.context(), addresses_.Discovery(s, which), addresses_.BehindDiscovery(s), script.seed));
    }
    softswitch.process = std::make_unique<SoftswitchProcess>(options.program, options.folder, "n" + std::to_string(s));
    softswitch.clients = std::make_unique<ClientStandIn>(
        &runtime_.context(), &runtime_, &record_, script.seed * 7919 + static_cast<std::uint64_t>(s), script.clients, s,
        addresses_.Softswitch(s), addresses_.Hosts(s), script.exchanges);
  }
  for (Exchange& exchange : exchanges_) NewMachine(exchange);
}

std::string Trial::Configuration(int number) const {
  const Softswitch& softswitch = softswitches_[static_cast<std::size_t>(number)];
  json grades = json::array(), widths = json::array(), holdings = json::array();
  for (std::size_t i = 0; i < script_.deadlines.size(); ++i) {
    const TimeUs deadline = script_.deadlines[i];
    grades.push_back({{"name", script_.clients.classes[i]},
                      {"repeat", "idempotent"},
                      {"group", "all"},
                      {"slo_us", std::max<TimeUs>(300 * kMs, deadline / 3)},
                      {"hard_limit_us", deadline},
                      {"worth", 1.0 + static_cast<double>(i)},
                      {"late_worth", 0.2}});
    widths.push_back(1);
    holdings.push_back(script_.exchange.hold_mean);
  }
  const json settings = {{"allowed",
                          {{"most_tries", 4},
                           {"most_held", 20000},
                           {"may_cancel", true},
                           {"connect_timeout_us", 500'000},
                           {"probes", script_.probes},
                           {"retry_after", script_.retry_after},
                           {"max_retry_after_us", 2'000'000},
                           {"conn_idle_us", 600'000'000}}},
                         {"balancers", script_.softswitches},
                         {"contract",
                          {{"drain_grace_us", script_.drain_grace_us},
                           {"grace_to_answer_us", 5'000},
                           {"cold_from", kColdStart.cold_from},
                           {"warm_up_us", kColdStart.warm_up},
                           {"fall_multiple", kColdStart.fall_multiple},
                           {"fall_us", kColdStart.window}}},
                         {"discovery", "automatic"},
                         {"family_info",
                          {{"home_no", number},
                           {"shape", "meshed"},
                           {"release_us", script_.release_us},
                           {"widths", widths},
                           {"holding_us", holdings},
                           {"class_cells", json::array()}}},
                         {"grades", grades},
                         {"localities", {"west", "east"}},
                         {"flavors", {"std"}},
                         {"report", {{"fields", {"spare", "total"}}}},
                         {"tenants", json::array()}};
  return json{{"name", "n" + std::to_string(number)},
              {"listen", core::ToString(addresses_.Softswitch(number))},
              {"seed", std::to_string(script_.seed * 10 + static_cast<std::uint64_t>(number))},
              {"limits", {{"cores", 1.0}, {"memory_mb", kMegabytes}, {"sockets", kDescriptors}}},
              {"board", core::ToString(addresses_.Discovery(number, softswitch.discovery_at))},
              {"known", softswitch.discovery->Known()},
              {"settings", settings}}
      .dump();
}

void Trial::NewMachine(Exchange& exchange) {
  const int instance = next_instance_++;
  exchange.machine->SetInstance(instance);
  exchange.uid = "s-" + std::to_string(instance);
  exchange.listed_gone = exchange.draining = false;
  exchange.away = false;
}

void Trial::ListColdStart(Exchange& exchange) {
  record_.Note({.kind = EventKind::kColdStart, .exchange = exchange.machine->instance()});
  List(SlotOf(exchange), exchange.draining ? "Terminating" : "Ready", runtime_.WallClockUs() / 1000);
}

void Trial::List(int slot, const std::string& state, std::int64_t boot_ms) {
  Exchange& exchange = exchanges_[static_cast<std::size_t>(slot)];
  for (int s = 0; s < script_.softswitches; ++s) {
    softswitches_[static_cast<std::size_t>(s)].discovery->List({.uid = exchange.uid,
                                                                .address = addresses_.Exchange(s, slot),
                                                                .number = slot,
                                                                .instance = exchange.machine->instance(),
                                                                .state = state,
                                                                .boot_ms = boot_ms});
  }
}

void Trial::Start() {
  for (int e = 0; e < script_.exchanges; ++e) List(e, "Ready");
  auto waited_for = std::make_shared<int>(script_.softswitches);
  for (int s = 0; s < script_.softswitches; ++s) {
    Softswitch& softswitch = softswitches_[static_cast<std::size_t>(s)];
    softswitch.process->WriteConfiguration(Configuration(s));
    softswitch.process->Start();
    record_.Note({.kind = EventKind::kStarted, .softswitch = s});
    softswitch.clients->WaitForReady([this, waited_for] {
      if (--*waited_for > 0) return;
      started_ = runtime_.Now();
      for (Softswitch& each : softswitches_) each.clients->StartCalls();
      for (const Fault& fault : script_.faults) After(fault.at, [this, fault] { Play(fault); });
      After(script_.length, [this] {
        for (Softswitch& each : softswitches_) each.clients->StopCalls();
      });
      After(script_.length + kAfterCalls, [this] {
        over_ = true;
        runtime_.Stop();
      });
    });
  }
  Watch();
}

void Trial::Watch() {
  watch_.Start(kWatchEvery, [this] {
    for (int s = 0; s < script_.softswitches; ++s) {
      Softswitch& softswitch = softswitches_[static_cast<std::size_t>(s)];
      if (!softswitch.process->running()) continue;
      if (const auto code = softswitch.process->Exited()) {
        record_.Note({.kind = EventKind::kExited, .softswitch = s, .value = *code});
        softswitch.clients->OnProcessGone();
        // The plan of a shutdown starts it anew; one that ended by itself is left as it is and judged.
        continue;
      }
      // A child that is just starting shares this process's descriptors for a moment.
      if (softswitch.restarting || started_ == 0) continue;
      record_.Note({.kind = EventKind::kLimits,
                    .softswitch = s,
                    .exchange = softswitch.process->ResidentMegabytes(),
                    .value = softswitch.process->Descriptors()});
    }
    Watch();
  });
}

void Trial::Play(const Fault& fault) {
  record_.Note({.kind = EventKind::kFault, .text = ToString(fault)});
  if (fault.kind == FaultKind::kDiscoveryDown || fault.kind == FaultKind::kDiscoverySilent) {
    KeepDiscoveryAway(fault.length, fault.kind == FaultKind::kDiscoverySilent);
  } else if (fault.kind >= FaultKind::kReconfigure) {
    PlayOnSoftswitch(fault, softswitches_[static_cast<std::size_t>(fault.target)]);
  } else {
    PlayOnExchange(fault, exchanges_[static_cast<std::size_t>(fault.target)]);
  }
}

void Trial::PlayOnExchange(const Fault& fault, Exchange& exchange) {
  Exchange* const kept = &exchange;
  const auto each_way = [kept](const auto& what) {
    for (const auto& way : kept->ways) what(*way);
  };
  switch (fault.kind) {
    case FaultKind::kVanish:
      return Vanish(exchange, 0);
    case FaultKind::kVanishAndReturn:
      return Vanish(exchange, fault.length);
    case FaultKind::kDie:
      return Die(exchange, fault.length);
    case FaultKind::kReplace:
      return Replace(exchange);
    case FaultKind::kDrain:
      return Drain(exchange, fault.length);
    case FaultKind::kHang:
      return exchange.machine->Hang(fault.length);
    case FaultKind::kCutExchange:
      each_way([](FaultProxy& way) { way.Pass({false, false}); });
      return After(fault.length, [each_way] { each_way([](FaultProxy& way) { way.Pass({}); }); });
    case FaultKind::kCutOneWay: {
      FaultProxy* const way = exchange.ways[static_cast<std::size_t>(fault.target) % exchange.ways.size()].get();
      const bool up = fault.length % 2 == 0;
      way->Pass({!up, up});
      return After(fault.length, [way] { way->Pass({}); });
    }
    case FaultKind::kReset:
      return each_way([](FaultProxy& way) { way.ResetAll(); });
    case FaultKind::kForgetIdle:
      return each_way([](FaultProxy& way) { way.ForgetIdle(200 * kMs); });
    case FaultKind::kCloseIdle:
      return each_way([](FaultProxy& way) { way.CloseIdle(200 * kMs); });
    case FaultKind::kLateConnections:
      return each_way([length = fault.length](FaultProxy& way) { way.HoldConnections(length); });
    case FaultKind::kHalfClose:
      return each_way([](FaultProxy& way) { way.HalfCloseAll(); });
    case FaultKind::kTrickle:
      each_way([](FaultProxy& way) { way.Trickle(true); });
      return After(fault.length, [each_way] { each_way([](FaultProxy& way) { way.Trickle(false); }); });
    case FaultKind::kSpoil: {
      ExchangeTraits& traits = exchange.machine->traits();
      traits.never_answers = traits.answers_twice = 0.1;
      traits.breaks = traits.spoils = 0.25;
      return After(fault.length, [this, kept] {
        const ExchangeTraits& calm = script_.exchange;
        ExchangeTraits& now = kept->machine->traits();
        now.never_answers = calm.never_answers;
        now.breaks = calm.breaks;
        now.spoils = calm.spoils;
        now.answers_twice = calm.answers_twice;
      });
    }
    default:
      return;
  }
}

void Trial::Vanish(Exchange& exchange, TimeUs back_after) {
  if (exchange.away) return;
  exchange.away = true;
  for (const auto& way : exchange.ways) way->Vanish();
  exchange.machine->Die();
  Exchange* const kept = &exchange;
  if (back_after == 0) {
    // Discovery has it a while later.
    return After(3 * kSecond, [this, kept] {
      if (!std::exchange(kept->listed_gone, true)) List(SlotOf(*kept), "Gone");
    });
  }
  After(back_after, [this, kept] {
    const bool was_draining = kept->draining;
    kept->away = was_draining;
    for (const auto& way : kept->ways) way->Return();
    if (was_draining) return;
    // The same name with a later start, or another name at the same address.
    if (next_instance_ % 2 == 0) {
      List(SlotOf(*kept), "Gone");
      NewMachine(*kept);
    }
    ListColdStart(*kept);
  });
}

void Trial::Die(Exchange& exchange, TimeUs back_after) {
  if (exchange.away) return;
  exchange.away = true;
  exchange.machine->Die();
  for (const auto& way : exchange.ways) {
    way->Refuse(true);
    way->ResetAll();
  }
  Exchange* const kept = &exchange;
  After(back_after, [this, kept] {
    kept->away = false;
    for (const auto& way : kept->ways) way->Refuse(false);
    ListColdStart(*kept);
  });
}

void Trial::Replace(Exchange& exchange) {
  if (exchange.away || exchange.draining) return;
  exchange.machine->Die();
  for (const auto& way : exchange.ways) way->ResetAll();
  List(SlotOf(exchange), "Gone");
  NewMachine(exchange);
  ListColdStart(exchange);
}

void Trial::Drain(Exchange& exchange, TimeUs gone_after) {
  if (exchange.away || exchange.draining) return;
  exchange.draining = true;
  List(SlotOf(exchange), "Terminating");
  Exchange* const kept = &exchange;
  After(gone_after, [this, kept] {
    if (kept->away) return;
    kept->away = true;
    List(SlotOf(*kept), "Gone");
    kept->machine->Die();
    for (const auto& way : kept->ways) way->ResetAll();
    NewMachine(*kept);
    ListColdStart(*kept);
  });
}

void Trial::KeepDiscoveryAway(TimeUs time, bool silent) {
  for (int s = 0; s < script_.softswitches; ++s) {
    Softswitch& softswitch = softswitches_[static_cast<std::size_t>(s)];
    if (softswitch.discovery_away++ > 0) continue;
    record_.Note({.kind = EventKind::kDiscoveryAway, .softswitch = s});
    softswitch.discovery->SetSilent(silent);
    if (silent) continue;
    for (const auto& way : softswitch.discovery_ways) {
      way->Refuse(true);
      way->ResetAll();
    }
  }
  After(time, [this] {
    for (int s = 0; s < script_.softswitches; ++s) {
      Softswitch& softswitch = softswitches_[static_cast<std::size_t>(s)];
      if (--softswitch.discovery_away > 0) continue;
      record_.Note({.kind = EventKind::kDiscoveryBack, .softswitch = s});
      softswitch.discovery->SetSilent(false);
      for (const auto& way : softswitch.discovery_ways) way->Refuse(false);
    }
  });
}

void Trial::PlayOnSoftswitch(const Fault& fault, Softswitch& softswitch) {
  Softswitch* const kept = &softswitch;
  switch (fault.kind) {
    case FaultKind::kReconfigure:
      return Reconfigure(fault.target);
    case FaultKind::kTerminate:
      return Terminate(fault.target);
    case FaultKind::kKill:
      if (softswitch.restarting || !softswitch.process->running()) return;
      softswitch.restarting = true;
      softswitch.process->Kill();
      record_.Note({.kind = EventKind::kKilled, .softswitch = fault.target});
      softswitch.clients->OnProcessGone();
      return After(kDownFor, [this, target = fault.target] { Restart(target); });
    case FaultKind::kBadClients:
      for (int i = 0; i < 6; ++i) softswitch.clients->BadClient(i);
      return;
    case FaultKind::kCrowd:
      softswitch.clients->SetCrowd(kCrowdFactor);
      return After(fault.length, [kept] { kept->clients->SetCrowd(1.0); });
    case FaultKind::kLeavers: {
      ClientTraits& traits = softswitch.clients->traits();
      traits.cancels = 0.3;
      traits.leaves = 0.2;
      return After(fault.length, [this, kept] {
        kept->clients->traits().cancels = script_.clients.cancels;
        kept->clients->traits().leaves = script_.clients.leaves;
      });
    }
    default:
      return;
  }
}

void Trial::Reconfigure(int number) {
  Softswitch& softswitch = softswitches_[static_cast<std::size_t>(number)];
  if (softswitch.restarting || !softswitch.process->running()) return;
  // Three within 300 ms: one as it was, one at fault, one that moves discovery.
  softswitch.process->WriteConfiguration(Configuration(number));
  softswitch.process->Signal(SIGHUP);
  After(120 * kMs, [this, number] {
    Softswitch& same = softswitches_[static_cast<std::size_t>(number)];
    if (same.restarting) return;
    same.process->SpoilConfiguration();
    same.process->Signal(SIGHUP);
  });
  After(280 * kMs, [this, number] {
    Softswitch& same = softswitches_[static_cast<std::size_t>(number)];
    FaultProxy* const old = same.discovery_ways[static_cast<std::size_t>(same.discovery_at)].get();
    same.discovery_at = 1 - same.discovery_at;
    same.process->WriteConfiguration(Configuration(number));
    if (!same.restarting) same.process->Signal(SIGHUP);
    // The old address closes what is open a while later.
    After(1'500 * kMs, [old] { old->CloseIdle(0); });
  });
}

void Trial::Terminate(int number) {
  Softswitch& softswitch = softswitches_[static_cast<std::size_t>(number)];
  if (softswitch.restarting || !softswitch.process->running()) return;
  softswitch.restarting = true;
  softswitch.process->Signal(SIGTERM);
  record_.Note({.kind = EventKind::kTerminateSent,
                .softswitch = number,
                .value = static_cast<std::int64_t>(script_.kill_after())});
  After(kNewConnectionsAfterTerminate, [this, number] {
    ClientStandIn& clients = *softswitches_[static_cast<std::size_t>(number)].clients;
    clients.StopCalls();
    clients.KeepBusy(true);
  });
  After(script_.kill_after(), [this, number] {
    Softswitch& same = softswitches_[static_cast<std::size_t>(number)];
    same.clients->KeepBusy(false);
    if (const auto code = same.process->Exited()) {
      record_.Note({.kind = EventKind::kExited, .softswitch = number, .value = *code});
    } else if (same.process->running()) {
      same.process->Kill();
      record_.Note({.kind = EventKind::kKilled, .softswitch = number});
    }
    same.clients->OnProcessGone();
    After(kDownFor, [this, number] { Restart(number); });
  });
}

void Trial::Restart(int number) {
  Softswitch& softswitch = softswitches_[static_cast<std::size_t>(number)];
  softswitch.process->WriteConfiguration(Configuration(number));
  softswitch.process->Start();
  record_.Note({.kind = EventKind::kStarted, .softswitch = number});
  softswitch.clients->WaitForReady([this, number] {
    Softswitch& same = softswitches_[static_cast<std::size_t>(number)];
    same.restarting = false;
    same.clients->AnnounceStanding();
    if (runtime_.Now() < started_ + script_.length) same.clients->StartCalls();
  });
}

TrialResult Trial::Run() {
  After(0, [this] { Start(); });
  After(kStartWithin, [this] {
    if (started_ == 0) runtime_.Stop();
  });
  runtime_.Run();
  if (!over_) throw std::runtime_error("the softswitches were not ready in time, see " + options_.folder);
  for (Softswitch& softswitch : softswitches_) softswitch.process->Kill();
  TrialResult result;
  result.script = script_;
  result.events = record_.events();
  result.started = started_;
  JudgeSettings settings;
  settings.release_us = script_.release_us;
  settings.drain_grace_us = script_.drain_grace_us;
  settings.most_descriptors = kDescriptors;
  settings.most_megabytes = options_.most_megabytes;
  settings.reports = script_.exchange.tells_gauges;
  settings.cold_start = kColdStart;
  settings.cold_start.set_ups_per_s = script_.usual_set_ups_per_s();
  for (const FaultKind kind : {FaultKind::kReset, FaultKind::kCutExchange, FaultKind::kCutOneWay}) {
    settings.cuts_may_be_needed = settings.cuts_may_be_needed || script_.Has(kind);
  }
  // A forgotten connection that is written to is reset, and nothing but a report tells that from a process replaced.
  if (!settings.reports && script_.Has(FaultKind::kForgetIdle)) settings.cuts_may_be_needed = true;
  result.verdict = Judge(result.events, settings);
  return result;
}

}  // namespace

TrialResult RunTrial(const Script& script, const TrialOptions& options) {
  const SlotLease lease(options.slot);
  TrialOptions own = options;
  own.slot = lease.slot();
  // A child that another thread is just starting holds copies of all descriptors for a moment: an address may stay
  // bound.
  for (int tries = 0;; ++tries) {
    std::unique_ptr<Trial> trial;
    try {
      trial = std::make_unique<Trial>(script, own);
    } catch (const std::system_error& error) {
      if (error.code() != std::errc::address_in_use || tries == kMostTries) throw;
      std::this_thread::sleep_for(std::chrono::milliseconds(kTryAgainMs));
      continue;
    }
    return trial->Run();
  }
}

std::vector<std::string> TimelineOf(const TrialResult& result, const std::string& call) {
  std::set<int> exchanges;
  int softswitch = -1;
  std::uint32_t host = 0;
  for (const TrafficEvent& event : result.events) {
    if (event.call != call) continue;
    softswitch = event.softswitch;
    if (event.host != 0) host = event.host;
    if (event.exchange >= 0) exchanges.insert(event.exchange);
  }
  std::vector<std::string> lines;
  for (const TrafficEvent& event : result.events) {
    const bool of_process = event.softswitch == softswitch && event.call.empty() && event.exchange < 0 &&
                            event.value == 0 && (event.host == 0 || event.host == host);
    const bool of_its_end =
        event.softswitch == softswitch && (event.kind == EventKind::kTerminateSent || event.kind == EventKind::kExited);
    const bool of_exchange = event.softswitch == softswitch && event.call.empty() &&
                             exchanges.count(event.exchange) > 0 && event.kind != EventKind::kLimits;
    if (event.call == call || event.kind == EventKind::kFault || of_process || of_its_end || of_exchange)
      lines.push_back(ToString(event, result.started));
  }
  return lines;
}

}  // namespace croftrun::lab::soak
