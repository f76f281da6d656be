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
// Time after the traffic in which established calls end or are released and every time limit of the judge passes.
constexpr TimeUs kSettleTime = 10 * kSecond;
constexpr TimeUs kStartTimeout = 15 * kSecond;
constexpr TimeUs kProcessCheckInterval = 100 * kMs;
// Time from the end of a softswitch's process to the start of the next one.
constexpr TimeUs kRestartDelay = 300 * kMs;
// Time after SIGTERM in which clients open new connections; later they use only those that are open.
constexpr TimeUs kConnectTimeAfterSigterm = 300 * kMs;
// Time in which what discovery has written arrives, before its connections are reset.
constexpr TimeUs kDiscoveryCloseTime = 50 * kMs;
// Interval in which the callers of a softswitch replace their connections.
constexpr TimeUs kReconnectInterval = 1'100 * kMs;
// Time from the end of an exchange's process to the word of discovery that it is gone.
constexpr TimeUs kRemovalDelay = 4'900 * kMs;
// Time in which an exchange that is about to be replaced holds its answers, and from these answers to its end.
constexpr TimeUs kAnswerHoldTime = 250 * kMs, kLastAnswersTime = 5 * kMs;
constexpr double kHalfAnswerShare = 0.25;
constexpr int kMaxDescriptors = 256, kMaxMegabytes = 64;
constexpr int kMaxBindRetries = 20, kBindRetryMs = 100;
constexpr ColdStartSettings kColdStart;

// The addresses of a trial: 127.(32 + slot).x.y.
class Addresses {
 public:
  explicit Addresses(int slot) : base_(127U << 24U | (32U + static_cast<std::uint32_t>(slot)) << 16U) {}
  core::Address Exchange(int softswitch, int exchange) const { return At(10 + softswitch, 1 + exchange, 5080); }
  core::Address ExchangeUpstream(int softswitch, int exchange) const { return At(10 + softswitch, 1 + exchange, 6080); }
  core::Address Discovery(int softswitch, int index) const { return At(50 + softswitch, 1 + index, 9092); }
  core::Address DiscoveryUpstream(int softswitch) const { return At(50 + softswitch, 1, 9093); }
  core::Address Softswitch(int softswitch) const { return At(90 + softswitch, 1, 5080); }
  std::uint32_t FirstClientHost(int softswitch) const { return At(130 + softswitch, 1, 0).host; }

 private:
  core::Address At(int third, int fourth, std::uint16_t port) const {
    return {base_ | static_cast<std::uint32_t>(third) << 8U | static_cast<std::uint32_t>(fourth), port};
  }
  std::uint32_t base_;
};

class Trial {
 public:
  Trial(const Schedule& schedule, const TrialOptions& options);
  TrialResult Run();

 private:
  struct Softswitch {
    std::unique_ptr<DiscoveryStandIn> discovery;
    std::vector<std::unique_ptr<FaultProxy>> discovery_proxies;  // one for each address that it can have
    int discovery_proxy_index = 0;
    int discovery_outages = 0;  // number of outages in progress
    std::unique_ptr<SoftswitchProcess> process;
    std::unique_ptr<ClientStandIn> clients;
    bool restarting = false;
  };
  // The name of an exchange's process in the directory, and its number in the event log.
  struct ProcessName {
    std::string uid;
    int instance = 0;
  };
  struct Exchange {
    std::unique_ptr<ExchangeStandIn> stand_in;
    std::vector<std::unique_ptr<FaultProxy>> proxies;  // by softswitch
    std::string uid;
    bool unavailable = false;  // lost, crashed or drained: other faults of its process are skipped
    bool listed_gone = false;
    bool draining = false;
  };

  void RunAfter(TimeUs delay, std::function<void()> callback) { runtime_.StartTimer(delay, std::move(callback)); }
  std::string Configuration(int softswitch) const;
  void ListExchange(int exchange, const std::string& state, std::int64_t boot_ms = 0);
  void ListProcess(int slot, const ProcessName& process, const std::string& state, std::int64_t boot_ms);
  // Returns the entry of the process in the directory of a softswitch.
  DirectoryEntry EntryOf(int softswitch, int slot, const ProcessName& process, const std::string& state,
                         std::int64_t boot_ms) const;
  void StartFleet();
  void InjectFault(const Fault& fault);
  void InjectExchangeFault(const Fault& fault, Exchange& exchange);
  void InjectSoftswitchFault(const Fault& fault, Softswitch& softswitch);
  void LoseHost(Exchange& exchange, TimeUs return_delay);
  void CrashExchange(Exchange& exchange, TimeUs return_delay);
  void ReplaceExchange(Exchange& exchange);
  // Replaces the process at the address; discovery lists the new one after `listing_delay`, and the removal later.
  void SucceedExchange(Exchange& exchange, TimeUs listing_delay);
  // Lets the process answer its pending set-ups and end, with the softswitches stopped meanwhile. Another one is at its
  // address in the same moment.
  void ReplaceExchangeAtOnce(Exchange& exchange, const Fault& fault);
  void EndProcessAndStartNext(Exchange& exchange, const Fault& fault);
  void ListSuccession(int slot, const ProcessName& predecessor, const ProcessName& successor, std::int64_t boot_ms,
                      const SuccessionTraits& traits);
  // Stops a softswitch with SIGSTOP and lets it go on after this time.
  void PauseSoftswitch(int softswitch, TimeUs time);
  void DrainExchange(Exchange& exchange, TimeUs drain_time);
  // Assigns the number and the name of a new process to this exchange.
  void AssignNewInstance(Exchange& exchange);
  // Records the start of a new process and lists it in the discovery service.
  void AnnounceColdStart(Exchange& exchange);
  void StartDiscoveryOutage(TimeUs time, bool silent);
  // Ends discovery's responses, and delays the responses to the next ones for a while.
  void DelayDiscoveryResponses(const Fault& fault);
  void ReconfigureSoftswitch(int softswitch);
  // Lets the callers of a softswitch reconnect repeatedly.
  void ReconnectCallers(int softswitch, TimeUs until);
  void TerminateSoftswitch(int softswitch);
  void RestartSoftswitch(int softswitch);
  void MonitorProcesses();
  int SlotOf(const Exchange& exchange) const { return static_cast<int>(&exchange - exchanges_.data()); }

  Schedule schedule_;
  TrialOptions options_;
  Addresses addresses_;
  runtime::AsioRuntime runtime_;
  EventLog event_log_{&runtime_};
  std::vector<Softswitch> softswitches_;
  std::vector<Exchange> exchanges_;
  int next_instance_ = 0;
  TimeUs start_time_ = 0;
  bool discovery_is_slow_ = false;
  bool finished_ = false;
  core::Timer monitor_timer_{&runtime_};
};

Trial::Trial(const Schedule& schedule, const TrialOptions& options)
    : schedule_(schedule), options_(options), addresses_(options.slot) {
  std::filesystem::create_directories(options.folder);
  const auto count = static_cast<std::size_t>(schedule.softswitches);
  softswitches_.resize(count);
  exchanges_.resize(static_cast<std::size_t>(schedule.exchanges));
  for (int e = 0; e < schedule.exchanges; ++e) {
    Exchange& exchange = exchanges_[static_cast<std::size_t>(e)];
    std::vector<FaultProxy*> proxies;
    std::vector<core::Address> upstreams;
    for (int s = 0; s < schedule.softswitches; ++s) {
      upstreams.push_back(addresses_.ExchangeUpstream(s, e));
      exchange.proxies.push_back(
          std::make_unique<FaultProxy>(&runtime_.context(), addresses_.Exchange(s, e), upstreams.back(),
                                       schedule.seed * 1000 + static_cast<std::uint64_t>(e * 10 + s)));
      proxies.push_back(exchange.proxies.back().get());
    }
    exchange.stand_in =
        std::make_unique<ExchangeStandIn>(&runtime_, &event_log_, schedule.seed * 100 + static_cast<std::uint64_t>(e),
                                          schedule.exchange, proxies, upstreams);
  }
  for (int s = 0; s < schedule.softswitches; ++s) {
    Softswitch& softswitch = softswitches_[static_cast<std::size_t>(s)];
    softswitch.discovery =
        std::make_unique<DiscoveryStandIn>(&runtime_, &event_log_, s, addresses_.DiscoveryUpstream(s));
    for (int index = 0; index < 2; ++index) {
      softswitch.discovery_proxies.push_back(std::make_unique<FaultProxy>(
          &runtime_.context(), addresses_.Discovery(s, index), addresses_.DiscoveryUpstream(s), schedule.seed));
    }
    softswitch.process = std::make_unique<SoftswitchProcess>(options.program, options.folder, "n" + std::to_string(s));
    softswitch.clients = std::make_unique<ClientStandIn>(
        &runtime_.context(), &runtime_, &event_log_, schedule.seed * 7919 + static_cast<std::uint64_t>(s),
        schedule.clients, s, addresses_.Softswitch(s), addresses_.FirstClientHost(s), schedule.exchanges);
  }
  for (Exchange& exchange : exchanges_) AssignNewInstance(exchange);
}

std::string Trial::Configuration(int number) const {
  const Softswitch& softswitch = softswitches_[static_cast<std::size_t>(number)];
  json call_classes = json::array(), widths = json::array(), holding_times = json::array();
  for (std::size_t i = 0; i < schedule_.deadlines.size(); ++i) {
    const TimeUs deadline = schedule_.deadlines[i];
    call_classes.push_back({{"name", schedule_.clients.classes[i]},
                            {"repeat", "idempotent"},
                            {"group", "all"},
                            {"slo_us", std::max<TimeUs>(300 * kMs, deadline / 3)},
                            {"hard_limit_us", deadline},
                            {"worth", 1.0 + static_cast<double>(i)},
                            {"late_worth", 0.2}});
    widths.push_back(1);
    holding_times.push_back(schedule_.exchange.mean_holding_time);
  }
  const json settings = {{"allowed",
                          {{"most_tries", 4},
                           {"most_held", 20000},
                           {"may_cancel", true},
                           {"connect_timeout_us", 500'000},
                           {"probes", schedule_.probes},
                           {"retry_after", schedule_.retry_after},
                           {"max_retry_after_us", 2'000'000},
                           {"conn_idle_us", 600'000'000}}},
                         {"balancers", schedule_.softswitches},
                         {"contract",
                          {{"drain_grace_us", schedule_.drain_grace_us},
                           {"grace_to_answer_us", 5'000},
                           {"cold_from", kColdStart.warm_up_start_share},
                           {"warm_up_us", kColdStart.warm_up_time},
                           {"fall_multiple", kColdStart.collapse_multiple},
                           {"fall_us", kColdStart.window}}},
                         {"discovery", "automatic"},
                         {"family_info",
                          {{"home_no", number},
                           {"shape", "meshed"},
                           {"release_us", schedule_.resend_guard_us},
                           {"widths", widths},
                           {"holding_us", holding_times},
                           {"class_cells", json::array()}}},
                         {"grades", call_classes},
                         {"localities", {"west", "east"}},
                         {"flavors", {"std"}},
                         {"report", {{"fields", {"spare", "total"}}}},
                         {"tenants", json::array()}};
  return json{{"name", "n" + std::to_string(number)},
              {"listen", core::ToString(addresses_.Softswitch(number))},
              {"seed", std::to_string(schedule_.seed * 10 + static_cast<std::uint64_t>(number))},
              {"limits", {{"cores", 1.0}, {"memory_mb", kMaxMegabytes}, {"sockets", kMaxDescriptors}}},
              {"board", core::ToString(addresses_.Discovery(number, softswitch.discovery_proxy_index))},
              {"known", softswitch.discovery->KnownDirectory()},
              {"settings", settings}}
      .dump();
}

void Trial::AssignNewInstance(Exchange& exchange) {
  const int instance = next_instance_++;
  exchange.stand_in->SetInstance(instance);
  exchange.uid = "s-" + std::to_string(instance);
  exchange.listed_gone = exchange.draining = false;
  exchange.unavailable = false;
}

void Trial::AnnounceColdStart(Exchange& exchange) {
  event_log_.Append({.kind = EventKind::kColdStart, .exchange = exchange.stand_in->instance()});
  ListExchange(SlotOf(exchange), exchange.draining ? "Terminating" : "Ready", runtime_.WallClockUs() / 1000);
}

void Trial::ListExchange(int slot, const std::string& state, std::int64_t boot_ms) {
  const Exchange& exchange = exchanges_[static_cast<std::size_t>(slot)];
  ListProcess(slot, {exchange.uid, exchange.stand_in->instance()}, state, boot_ms);
}

void Trial::ListProcess(int slot, const ProcessName& process, const std::string& state, std::int64_t boot_ms) {
  for (int s = 0; s < schedule_.softswitches; ++s) {
    softswitches_[static_cast<std::size_t>(s)].discovery->UpdateEntries({EntryOf(s, slot, process, state, boot_ms)});
  }
}

DirectoryEntry Trial::EntryOf(int softswitch, int slot, const ProcessName& process, const std::string& state,
                              std::int64_t boot_ms) const {
  return {.uid = process.uid,
          .address = addresses_.Exchange(softswitch, slot),
          .number = slot,
          .instance = process.instance,
          .state = state,
          .boot_ms = boot_ms};
}

void Trial::StartFleet() {
  for (int e = 0; e < schedule_.exchanges; ++e) ListExchange(e, "Ready");
  auto remaining = std::make_shared<int>(schedule_.softswitches);
  for (int s = 0; s < schedule_.softswitches; ++s) {
    Softswitch& softswitch = softswitches_[static_cast<std::size_t>(s)];
    softswitch.process->WriteConfiguration(Configuration(s));
    softswitch.process->Start();
    event_log_.Append({.kind = EventKind::kStarted, .softswitch = s});
    softswitch.clients->WaitForReady([this, remaining] {
      if (--*remaining > 0) return;
      start_time_ = runtime_.Now();
      for (Softswitch& each : softswitches_) each.clients->StartCalls();
      for (const Fault& fault : schedule_.faults) RunAfter(fault.at, [this, fault] { InjectFault(fault); });
      RunAfter(schedule_.traffic_duration, [this] {
        for (Softswitch& each : softswitches_) each.clients->StopCalls();
      });
      RunAfter(schedule_.traffic_duration + kSettleTime, [this] {
        finished_ = true;
        runtime_.Stop();
      });
    });
  }
  MonitorProcesses();
}

void Trial::MonitorProcesses() {
  monitor_timer_.Start(kProcessCheckInterval, [this] {
    for (int s = 0; s < schedule_.softswitches; ++s) {
      Softswitch& softswitch = softswitches_[static_cast<std::size_t>(s)];
      if (!softswitch.process->running()) continue;
      if (const auto code = softswitch.process->PollExit()) {
        event_log_.Append({.kind = EventKind::kExited, .softswitch = s, .value = *code});
        softswitch.clients->OnProcessEnded();
        // TerminateSoftswitch restarts a process that it terminated; one that exited otherwise is not restarted, and
        // the judge reports it.
        continue;
      }
      // A child that is being started shares this program's descriptors until it calls exec.
      if (softswitch.restarting || start_time_ == 0) continue;
      event_log_.Append({.kind = EventKind::kResourceUsage,
                         .softswitch = s,
                         .exchange = softswitch.process->ResidentMegabytes(),
                         .value = softswitch.process->OpenDescriptors()});
    }
    MonitorProcesses();
  });
}

void Trial::InjectFault(const Fault& fault) {
  event_log_.Append({.kind = EventKind::kFault, .text = ToString(fault)});
  if (fault.kind == FaultKind::kDiscoveryHalfEvent) {
    for (Softswitch& softswitch : softswitches_) softswitch.discovery->WriteHalfEvent();
    StartDiscoveryOutage(fault.duration, true);
  } else if (fault.kind == FaultKind::kDiscoveryDown || fault.kind == FaultKind::kDiscoverySilent) {
    StartDiscoveryOutage(fault.duration, fault.kind == FaultKind::kDiscoverySilent);
  } else if (fault.kind == FaultKind::kDiscoveryLate || fault.kind == FaultKind::kDiscoveryHalf) {
    DelayDiscoveryResponses(fault);
  } else if (fault.kind >= FaultKind::kReconfigure) {
    InjectSoftswitchFault(fault, softswitches_[static_cast<std::size_t>(fault.target)]);
  } else {
    InjectExchangeFault(fault, exchanges_[static_cast<std::size_t>(fault.target)]);
  }
}

void Trial::InjectExchangeFault(const Fault& fault, Exchange& exchange) {
  Exchange* const exchange_ptr = &exchange;
  const auto for_each_proxy = [exchange_ptr](const auto& action) {
    for (const auto& proxy : exchange_ptr->proxies) action(*proxy);
  };
  switch (fault.kind) {
    case FaultKind::kVanish:
      return LoseHost(exchange, 0);
    case FaultKind::kVanishAndReturn:
      return LoseHost(exchange, fault.duration);
    case FaultKind::kDie:
      return CrashExchange(exchange, fault.duration);
    case FaultKind::kReplace:
      return ReplaceExchange(exchange);
    case FaultKind::kSucceed:
      return SucceedExchange(exchange, fault.duration);
    case FaultKind::kReplaceAtOnce:
      return ReplaceExchangeAtOnce(exchange, fault);
    case FaultKind::kHalfAnswer:
      exchange.stand_in->traits().half_answer_share = kHalfAnswerShare;
      return RunAfter(fault.duration, [exchange_ptr] { exchange_ptr->stand_in->traits().half_answer_share = 0.0; });
    case FaultKind::kDrain:
      return DrainExchange(exchange, fault.duration);
    case FaultKind::kHang:
      return exchange.stand_in->Hang(fault.duration);
    case FaultKind::kCutExchange:
      for_each_proxy([](FaultProxy& proxy) { proxy.SetForwarding({false, false}); });
      return RunAfter(fault.duration,
                      [for_each_proxy] { for_each_proxy([](FaultProxy& proxy) { proxy.SetForwarding({}); }); });
    case FaultKind::kCutOneWay: {
      FaultProxy* const proxy =
          exchange.proxies[static_cast<std::size_t>(fault.target) % exchange.proxies.size()].get();
      const bool block_upstream = fault.duration % 2 == 0;
      proxy->SetForwarding({!block_upstream, block_upstream});
      return RunAfter(fault.duration, [proxy] { proxy->SetForwarding({}); });
    }
    case FaultKind::kReset:
      return for_each_proxy([](FaultProxy& proxy) { proxy.ResetAll(); });
    case FaultKind::kForgetIdle:
      return for_each_proxy([](FaultProxy& proxy) { proxy.ForgetIdle(200 * kMs); });
    case FaultKind::kCloseIdle:
      return for_each_proxy([](FaultProxy& proxy) { proxy.CloseIdle(200 * kMs); });
    case FaultKind::kLateConnections:
      return for_each_proxy([duration = fault.duration](FaultProxy& proxy) { proxy.DelayConnections(duration); });
    case FaultKind::kHalfClose:
      return for_each_proxy([](FaultProxy& proxy) { proxy.HalfCloseAll(); });
    case FaultKind::kTrickle:
      for_each_proxy([](FaultProxy& proxy) { proxy.SetTrickle(true); });
      return RunAfter(fault.duration,
                      [for_each_proxy] { for_each_proxy([](FaultProxy& proxy) { proxy.SetTrickle(false); }); });
    case FaultKind::kSpoil: {
      ExchangeTraits& traits = exchange.stand_in->traits();
      traits.no_answer_share = traits.duplicate_answer_share = 0.1;
      traits.close_share = traits.malformed_answer_share = 0.25;
      return RunAfter(fault.duration, [this, exchange_ptr] {
        const ExchangeTraits& normal = schedule_.exchange;
        ExchangeTraits& current_traits = exchange_ptr->stand_in->traits();
        current_traits.no_answer_share = normal.no_answer_share;
        current_traits.close_share = normal.close_share;
        current_traits.malformed_answer_share = normal.malformed_answer_share;
        current_traits.duplicate_answer_share = normal.duplicate_answer_share;
      });
    }
    default:
      return;
  }
}

void Trial::LoseHost(Exchange& exchange, TimeUs return_delay) {
  if (exchange.unavailable) return;
  exchange.unavailable = true;
  for (const auto& proxy : exchange.proxies) proxy->LoseHost();
  exchange.stand_in->LoseState();
  Exchange* const exchange_ptr = &exchange;
  if (return_delay == 0) {
    // Discovery notices the loss some time later.
    return RunAfter(3 * kSecond, [this, exchange_ptr] {
      if (!std::exchange(exchange_ptr->listed_gone, true)) ListExchange(SlotOf(*exchange_ptr), "Gone");
    });
  }
  RunAfter(return_delay, [this, exchange_ptr] {
    const bool was_draining = exchange_ptr->draining;
    exchange_ptr->unavailable = was_draining;
    for (const auto& proxy : exchange_ptr->proxies) proxy->RestoreHost();
    if (was_draining) return;
    // The new process has the same name with a later start time, or another name at the same address.
    if (next_instance_ % 2 == 0) {
      ListExchange(SlotOf(*exchange_ptr), "Gone");
      AssignNewInstance(*exchange_ptr);
    }
    AnnounceColdStart(*exchange_ptr);
  });
}

void Trial::CrashExchange(Exchange& exchange, TimeUs return_delay) {
  if (exchange.unavailable) return;
  exchange.unavailable = true;
  exchange.stand_in->LoseState();
  for (const auto& proxy : exchange.proxies) {
    proxy->SetRefusing(true);
    proxy->ResetAll();
  }
  Exchange* const exchange_ptr = &exchange;
  RunAfter(return_delay, [this, exchange_ptr] {
    exchange_ptr->unavailable = false;
    for (const auto& proxy : exchange_ptr->proxies) proxy->SetRefusing(false);
    AnnounceColdStart(*exchange_ptr);
  });
}

void Trial::ReplaceExchange(Exchange& exchange) {
  if (exchange.unavailable || exchange.draining) return;
  exchange.stand_in->LoseState();
  for (const auto& proxy : exchange.proxies) proxy->ResetAll();
  ListExchange(SlotOf(exchange), "Gone");
  AssignNewInstance(exchange);
  AnnounceColdStart(exchange);
}

void Trial::SucceedExchange(Exchange& exchange, TimeUs listing_delay) {
  if (exchange.unavailable || exchange.draining) return;
  exchange.unavailable = true;
  exchange.stand_in->LoseState();
  for (const auto& proxy : exchange.proxies) {
    proxy->SetRefusing(true);
    proxy->ResetAll();
  }
  Exchange* const exchange_ptr = &exchange;
  const ProcessName predecessor{exchange.uid, exchange.stand_in->instance()};
  RunAfter(kSuccessionDelay, [this, exchange_ptr, predecessor, listing_delay] {
    AssignNewInstance(*exchange_ptr);
    exchange_ptr->unavailable = true;  // for other faults, until it is listed
    for (const auto& proxy : exchange_ptr->proxies) proxy->SetRefusing(false);
    event_log_.Append({.kind = EventKind::kColdStart, .exchange = exchange_ptr->stand_in->instance()});
    RunAfter(listing_delay, [this, exchange_ptr, started_ms = runtime_.WallClockUs() / 1000] {
      exchange_ptr->unavailable = false;
      ListExchange(SlotOf(*exchange_ptr), "Ready", started_ms);
    });
    RunAfter(kRemovalDelay - kSuccessionDelay,
             [this, slot = SlotOf(*exchange_ptr), predecessor] { ListProcess(slot, predecessor, "Gone", 0); });
  });
}

void Trial::ReplaceExchangeAtOnce(Exchange& exchange, const Fault& fault) {
  if (exchange.unavailable || exchange.draining) return;
  exchange.unavailable = true;
  exchange.stand_in->HoldAnswers();
  Exchange* const exchange_ptr = &exchange;
  RunAfter(kAnswerHoldTime, [this, exchange_ptr, fault] {
    for (int s = 0; s < schedule_.softswitches; ++s) PauseSoftswitch(s, fault.succession.pause);
    exchange_ptr->stand_in->AnswerAll();
    RunAfter(kLastAnswersTime, [this, exchange_ptr, fault] { EndProcessAndStartNext(*exchange_ptr, fault); });
  });
}

void Trial::EndProcessAndStartNext(Exchange& exchange, const Fault& fault) {
  const SuccessionTraits& traits = fault.succession;
  const ProcessName predecessor{exchange.uid, exchange.stand_in->instance()};
  exchange.stand_in->LoseState();
  for (const auto& proxy : exchange.proxies) {
    if (traits.dark_time > 0) proxy->DelayConnections(traits.dark_time);
    if (traits.closes_in_order) {
      proxy->CloseIdle(0);
    } else {
      proxy->ResetAll();
    }
  }
  // Clients take the name of the exchange of a call from its number.
  if (!traits.keeps_name) AssignNewInstance(exchange);
  exchange.unavailable = true;  // for other faults, until it is listed
  event_log_.Append({.kind = EventKind::kColdStart, .exchange = exchange.stand_in->instance()});
  const ProcessName successor{exchange.uid, exchange.stand_in->instance()};
  const std::int64_t boot_ms = runtime_.WallClockUs() / 1000 + traits.clock_offset_ms;
  Exchange* const exchange_ptr = &exchange;
  RunAfter(fault.duration, [this, exchange_ptr, predecessor, successor, boot_ms, traits] {
    exchange_ptr->unavailable = false;
    ListSuccession(SlotOf(*exchange_ptr), predecessor, successor, boot_ms, traits);
  });
}

void Trial::ListSuccession(int slot, const ProcessName& predecessor, const ProcessName& successor, std::int64_t boot_ms,
                           const SuccessionTraits& traits) {
  if (traits.keeps_name) return ListProcess(slot, successor, "Ready", boot_ms);
  if (traits.listing == ListingOrder::kTwoEvents) {
    ListProcess(slot, predecessor, "Gone", 0);
    return RunAfter(traits.listing_gap,
                    [this, slot, successor, boot_ms] { ListProcess(slot, successor, "Ready", boot_ms); });
  }
  if (traits.listing == ListingOrder::kStartFirst) {
    ListProcess(slot, successor, "Ready", boot_ms);
    return RunAfter(traits.listing_gap, [this, slot, predecessor] { ListProcess(slot, predecessor, "Gone", 0); });
  }
  for (int s = 0; s < schedule_.softswitches; ++s) {
    std::vector<DirectoryEntry> entries{EntryOf(s, slot, predecessor, "Gone", 0),
                                        EntryOf(s, slot, successor, "Ready", boot_ms)};
    if (traits.listing == ListingOrder::kStartThenRemoval) std::swap(entries[0], entries[1]);
    DiscoveryStandIn& discovery = *softswitches_[static_cast<std::size_t>(s)].discovery;
    if (traits.listing == ListingOrder::kWholeList) {
      discovery.UpdateWholeList(std::move(entries));
    } else {
      discovery.UpdateEntries(std::move(entries));
    }
  }
}

void Trial::PauseSoftswitch(int number, TimeUs time) {
  Softswitch& softswitch = softswitches_[static_cast<std::size_t>(number)];
  if (time == 0 || softswitch.restarting || !softswitch.process->running()) return;
  softswitch.process->Signal(SIGSTOP);
  RunAfter(time, [process = softswitch.process.get()] { process->Signal(SIGCONT); });
}

void Trial::DrainExchange(Exchange& exchange, TimeUs drain_time) {
  if (exchange.unavailable || exchange.draining) return;
  exchange.draining = true;
  ListExchange(SlotOf(exchange), "Terminating");
  Exchange* const exchange_ptr = &exchange;
  RunAfter(drain_time, [this, exchange_ptr] {
    if (exchange_ptr->unavailable) return;
    exchange_ptr->unavailable = true;
    ListExchange(SlotOf(*exchange_ptr), "Gone");
    exchange_ptr->stand_in->LoseState();
    for (const auto& proxy : exchange_ptr->proxies) proxy->ResetAll();
    AssignNewInstance(*exchange_ptr);
    AnnounceColdStart(*exchange_ptr);
  });
}

void Trial::StartDiscoveryOutage(TimeUs time, bool silent) {
  for (int s = 0; s < schedule_.softswitches; ++s) {
    Softswitch& softswitch = softswitches_[static_cast<std::size_t>(s)];
    if (softswitch.discovery_outages++ > 0) continue;
    event_log_.Append({.kind = EventKind::kDiscoveryUnavailable, .softswitch = s});
    softswitch.discovery->SetSilent(silent);
    if (silent) continue;
    // What was written before still arrives: the judge counts it as received.
    softswitch.discovery->EndResponses();
    for (const auto& proxy : softswitch.discovery_proxies) {
      proxy->SetRefusing(true);
      RunAfter(kDiscoveryCloseTime, [proxy = proxy.get()] { proxy->ResetAll(); });
    }
  }
  RunAfter(time, [this] {
    for (int s = 0; s < schedule_.softswitches; ++s) {
      Softswitch& softswitch = softswitches_[static_cast<std::size_t>(s)];
      if (--softswitch.discovery_outages > 0) continue;
      event_log_.Append({.kind = EventKind::kDiscoveryAvailable, .softswitch = s});
      softswitch.discovery->SetSilent(false);
      for (const auto& proxy : softswitch.discovery_proxies) proxy->SetRefusing(false);
    }
  });
}

void Trial::DelayDiscoveryResponses(const Fault& fault) {
  // If the responses of a slow discovery were ended again and again, none would ever begin.
  if (std::exchange(discovery_is_slow_, true)) return;
  ResponseDelays delays;
  (fault.kind == FaultKind::kDiscoveryLate ? delays.header : delays.body) = fault.response_delay;
  for (Softswitch& softswitch : softswitches_) {
    softswitch.discovery->SetResponseDelays(delays);
    softswitch.discovery->EndResponses();
  }
  RunAfter(fault.duration, [this] {
    discovery_is_slow_ = false;
    for (Softswitch& softswitch : softswitches_) softswitch.discovery->SetResponseDelays({});
  });
}

void Trial::InjectSoftswitchFault(const Fault& fault, Softswitch& softswitch) {
  Softswitch* const softswitch_ptr = &softswitch;
  switch (fault.kind) {
    case FaultKind::kReconfigure:
      return ReconfigureSoftswitch(fault.target);
    case FaultKind::kTerminate:
      return TerminateSoftswitch(fault.target);
    case FaultKind::kKill:
      if (softswitch.restarting || !softswitch.process->running()) return;
      softswitch.restarting = true;
      softswitch.process->Kill();
      event_log_.Append({.kind = EventKind::kKilled, .softswitch = fault.target});
      softswitch.clients->OnProcessEnded();
      return RunAfter(kRestartDelay, [this, target = fault.target] { RestartSoftswitch(target); });
    case FaultKind::kBadClients:
      for (int i = 0; i < 6; ++i) softswitch.clients->ConnectBadClient(i);
      return;
    case FaultKind::kCrowd:
      softswitch.clients->SetCrowdFactor(kCrowdFactor);
      return RunAfter(fault.duration, [softswitch_ptr] { softswitch_ptr->clients->SetCrowdFactor(1.0); });
    case FaultKind::kLeavers: {
      ClientTraits& traits = softswitch.clients->traits();
      traits.cancel_share = 0.3;
      traits.disconnect_share = 0.2;
      return RunAfter(fault.duration, [this, softswitch_ptr] {
        softswitch_ptr->clients->traits().cancel_share = schedule_.clients.cancel_share;
        softswitch_ptr->clients->traits().disconnect_share = schedule_.clients.disconnect_share;
      });
    }
    case FaultKind::kFlood:
      return softswitch.clients->StartFlood(static_cast<FloodKind>(fault.duration % kFloodKindCount), fault.duration);
    case FaultKind::kSlowWriters:
      return softswitch.clients->ConnectSlowWriters();
    case FaultKind::kLeaveUnread:
      return softswitch.clients->LeaveWithSetUps();
    case FaultKind::kReconnect:
      return ReconnectCallers(fault.target, runtime_.Now() + fault.duration);
    default:
      return;
  }
}

void Trial::ReconnectCallers(int number, TimeUs until) {
  const Softswitch& softswitch = softswitches_[static_cast<std::size_t>(number)];
  if (!softswitch.restarting && softswitch.process->running()) softswitch.clients->Reconnect();
  if (runtime_.Now() + kReconnectInterval >= until) return;
  RunAfter(kReconnectInterval, [this, number, until] { ReconnectCallers(number, until); });
}

void Trial::ReconfigureSoftswitch(int number) {
  Softswitch& softswitch = softswitches_[static_cast<std::size_t>(number)];
  if (softswitch.restarting || !softswitch.process->running()) return;
  // Three configurations within 300 ms: an unchanged one, an invalid one, and one that moves discovery.
  softswitch.process->WriteConfiguration(Configuration(number));
  softswitch.process->Signal(SIGHUP);
  RunAfter(120 * kMs, [this, number] {
    Softswitch& current = softswitches_[static_cast<std::size_t>(number)];
    if (current.restarting) return;
    current.process->CorruptConfiguration();
    current.process->Signal(SIGHUP);
  });
  RunAfter(280 * kMs, [this, number] {
    Softswitch& current = softswitches_[static_cast<std::size_t>(number)];
    FaultProxy* const old_proxy =
        current.discovery_proxies[static_cast<std::size_t>(current.discovery_proxy_index)].get();
    current.discovery_proxy_index = 1 - current.discovery_proxy_index;
    current.process->WriteConfiguration(Configuration(number));
    if (!current.restarting) current.process->Signal(SIGHUP);
    // The old address closes its open connections some time later.
    RunAfter(1'500 * kMs, [old_proxy] { old_proxy->CloseIdle(0); });
  });
}

void Trial::TerminateSoftswitch(int number) {
  Softswitch& softswitch = softswitches_[static_cast<std::size_t>(number)];
  if (softswitch.restarting || !softswitch.process->running()) return;
  softswitch.restarting = true;
  softswitch.process->Signal(SIGTERM);
  event_log_.Append({.kind = EventKind::kSigtermSent,
                     .softswitch = number,
                     .value = static_cast<std::int64_t>(schedule_.kill_delay())});
  RunAfter(kConnectTimeAfterSigterm, [this, number] {
    ClientStandIn& clients = *softswitches_[static_cast<std::size_t>(number)].clients;
    clients.StopCalls();
    clients.SetContinuousLoad(true);
  });
  RunAfter(schedule_.kill_delay(), [this, number] {
    Softswitch& current = softswitches_[static_cast<std::size_t>(number)];
    current.clients->SetContinuousLoad(false);
    if (const auto code = current.process->PollExit()) {
      event_log_.Append({.kind = EventKind::kExited, .softswitch = number, .value = *code});
    } else if (current.process->running()) {
      current.process->Kill();
      event_log_.Append({.kind = EventKind::kKilled, .softswitch = number});
    }
    current.clients->OnProcessEnded();
    RunAfter(kRestartDelay, [this, number] { RestartSoftswitch(number); });
  });
}

void Trial::RestartSoftswitch(int number) {
  Softswitch& softswitch = softswitches_[static_cast<std::size_t>(number)];
  softswitch.process->WriteConfiguration(Configuration(number));
  softswitch.process->Start();
  event_log_.Append({.kind = EventKind::kStarted, .softswitch = number});
  softswitch.clients->WaitForReady([this, number] {
    Softswitch& current = softswitches_[static_cast<std::size_t>(number)];
    current.restarting = false;
    current.clients->AnnounceEstablishedCalls();
    if (runtime_.Now() < start_time_ + schedule_.traffic_duration) current.clients->StartCalls();
  });
}

TrialResult Trial::Run() {
  RunAfter(0, [this] { StartFleet(); });
  RunAfter(kStartTimeout, [this] {
    if (start_time_ == 0) runtime_.Stop();
  });
  runtime_.Run();
  if (!finished_) throw std::runtime_error("the softswitches were not ready in time, see " + options_.folder);
  for (Softswitch& softswitch : softswitches_) softswitch.process->Kill();
  TrialResult result;
  result.schedule = schedule_;
  result.events = event_log_.events();
  result.start_time = start_time_;
  JudgeSettings settings;
  settings.resend_guard_us = schedule_.resend_guard_us;
  settings.drain_grace_us = schedule_.drain_grace_us;
  settings.max_descriptors = kMaxDescriptors;
  settings.max_megabytes = options_.max_megabytes;
  settings.exchanges_report = schedule_.exchange.reports_circuits;
  settings.cold_start = kColdStart;
  settings.cold_start.set_ups_per_s = schedule_.nominal_set_ups_per_s();
  for (const FaultKind kind : {FaultKind::kReset, FaultKind::kCutExchange, FaultKind::kCutOneWay}) {
    settings.disconnects_may_be_needed = settings.disconnects_may_be_needed || schedule_.Has(kind);
  }
  // A write to a connection whose state was lost is answered with a reset. Only a report distinguishes this from the
  // replacement of the exchange's process.
  if (!settings.exchanges_report && schedule_.Has(FaultKind::kForgetIdle)) settings.disconnects_may_be_needed = true;
  result.verdict = Judge(result.events, settings);
  return result;
}

}  // namespace

TrialResult RunTrial(const Schedule& schedule, const TrialOptions& options) {
  const SlotLease lease(options.slot);
  TrialOptions trial_options = options;
  trial_options.slot = lease.slot();
  // A child that another thread is starting holds copies of all descriptors until it calls exec, so an address of an
  // earlier trial may still be bound.
  for (int retries = 0;; ++retries) {
    std::unique_ptr<Trial> trial;
    try {
      trial = std::make_unique<Trial>(schedule, trial_options);
    } catch (const std::system_error& error) {
      if (error.code() != std::errc::address_in_use || retries == kMaxBindRetries) throw;
      std::this_thread::sleep_for(std::chrono::milliseconds(kBindRetryMs));
      continue;
    }
    return trial->Run();
  }
}

std::vector<std::string> TimelineOf(const TrialResult& result, const std::string& call) {
  std::set<int> exchanges;
  int softswitch = -1;
  std::uint32_t host = 0;
  for (const TrialEvent& event : result.events) {
    if (event.call != call) continue;
    softswitch = event.softswitch;
    if (event.host != 0) host = event.host;
    if (event.exchange >= 0) exchanges.insert(event.exchange);
  }
  std::vector<std::string> lines;
  for (const TrialEvent& event : result.events) {
    const bool concerns_process = event.softswitch == softswitch && event.call.empty() && event.exchange < 0 &&
                                  event.value == 0 && (event.host == 0 || event.host == host);
    const bool concerns_process_end =
        event.softswitch == softswitch && (event.kind == EventKind::kSigtermSent || event.kind == EventKind::kExited);
    const bool concerns_exchange = event.softswitch == softswitch && event.call.empty() &&
                                   exchanges.count(event.exchange) > 0 && event.kind != EventKind::kResourceUsage;
    if (event.call == call || event.kind == EventKind::kFault || concerns_process || concerns_process_end ||
        concerns_exchange)
      lines.push_back(ToString(event, result.start_time));
  }
  return lines;
}

}  // namespace croftrun::lab::soak
