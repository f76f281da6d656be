#include "lab/doors.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <tuple>
#include <unordered_map>

#include "admission/admission_controller.h"
#include "core/format.h"
#include "sim/virtual_runtime.h"

namespace croftrun::lab {
namespace {

using core::Print;

constexpr TimeUs kSecond = 1'000'000;
constexpr std::size_t kMostWaiting = 1024;

// What every door is to the evening.
class Gate {
 public:
  virtual ~Gate() = default;
  virtual void OnRequest(const admission::AdmissionRequest& request, TimeUs now,
                         std::vector<admission::AdmissionDecision>* decisions) = 0;
  virtual void OnAnswered(CallId call, bool in_time, TimeUs now,
                          std::vector<admission::AdmissionDecision>* decisions) = 0;
  virtual void OnTimer(TimeUs, std::vector<admission::AdmissionDecision>*) {}
  virtual std::size_t waiting() const { return 0; }
};

class Open final : public Gate {
 public:
  void OnRequest(const admission::AdmissionRequest& request, TimeUs,
                 std::vector<admission::AdmissionDecision>* decisions) override {
    decisions->push_back({request.call, true, 0, false});
  }
  void OnAnswered(CallId, bool, TimeUs, std::vector<admission::AdmissionDecision>*) override {}
};

// A rate that the network can bear, and nobody is told when to come back.
class TokenBucket final : public Gate {
 public:
  explicit TokenBucket(double per_s) : limit_{per_s, per_s / 10.0} { bucket_.tokens = limit_.burst; }
  void OnRequest(const admission::AdmissionRequest& request, TimeUs now,
                 std::vector<admission::AdmissionDecision>* decisions) override {
    decisions->push_back({request.call, bucket_.TryConsume(limit_, now), 0, false});
  }
  void OnAnswered(CallId, bool, TimeUs, std::vector<admission::AdmissionDecision>*) override {}

 private:
  admission::TokenBucketSettings limit_;
  admission::TokenBucket bucket_;
};

// First come, first served, as many at once as the network bears; who waited too long is answered when its
// turn comes.
class Fifo final : public Gate {
 public:
  explicit Fifo(std::size_t at_once) : at_once_(at_once) {}
  void OnRequest(const admission::AdmissionRequest& request, TimeUs now,
                 std::vector<admission::AdmissionDecision>* decisions) override {
    if (queue_.size() >= kMostWaiting) return decisions->push_back({request.call, false, 0, false});
    queue_.push_back({request.call, now + request.caller_timeout_us});
    Serve(now, decisions);
  }
  void OnAnswered(CallId, bool, TimeUs now, std::vector<admission::AdmissionDecision>* decisions) override {
    --under_way_;
    Serve(now, decisions);
  }
  std::size_t waiting() const override { return queue_.size(); }

 private:
  void Serve(TimeUs now, std::vector<admission::AdmissionDecision>* decisions) {
    while (!queue_.empty() && under_way_ < at_once_) {
      const auto [call, until] = queue_.front();
      queue_.pop_front();
      if (until > now) ++under_way_;
      decisions->push_back({call, until > now, 0, false});
    }
  }
  std::size_t at_once_, under_way_ = 0;
  std::deque<std::pair<CallId, TimeUs>> queue_;
};

class Fair final : public Gate {
 public:
  explicit Fair(const admission::AdmissionSettings& settings) : door_(settings) {}
  void OnRequest(const admission::AdmissionRequest& request, TimeUs now,
                 std::vector<admission::AdmissionDecision>* decisions) override {
    door_.OnRequest(request, now, decisions);
  }
  void OnAnswered(CallId call, bool in_time, TimeUs now,
                  std::vector<admission::AdmissionDecision>* decisions) override {
    door_.OnAnswered(call, in_time, now, decisions);
  }
  void OnTimer(TimeUs now, std::vector<admission::AdmissionDecision>* decisions) override {
    door_.OnTimer(now, decisions);
  }
  std::size_t waiting() const override { return door_.waiting(); }

 private:
  admission::AdmissionController door_;
};

std::unique_ptr<Gate> MakeGate(const std::string& name, const DoorsSettings& s) {
  if (name == "none") return std::make_unique<Open>();
  if (name == "fifo") return std::make_unique<Fifo>(static_cast<std::size_t>(s.at_once));
  if (name == "token bucket") return std::make_unique<TokenBucket>(s.at_once * 1e6 / static_cast<double>(s.set_up_us));
  if (name != "fair") throw std::invalid_argument("expected fair, fifo, token bucket or none, found " + name);
  admission::AdmissionSettings settings;
  settings.limiter.first = s.at_once;
  settings.longest_pause_us = 10 * kSecond;
  settings.customers = {{}, {}};
  settings.secret = s.seed * 0x9e3779b97f4a7c15U;
  return std::make_unique<Fair>(settings);
}

class Evening {
 public:
  Evening(const std::string& name, const DoorsSettings& s) : s_(s), gate_(MakeGate(name, s)), random_(s.seed) {
    figures_.door = name;
  }

  DoorFigures Play() {
    for (int i = 0; i < s_.quiet; ++i)
      clients_.push_back({"quiet " + std::to_string(i), 1, s_.quiet_per_s, 2.0, false});
    for (int i = 0; i < s_.crowd; ++i) clients_.push_back({"crowd " + std::to_string(i), 0, s_.crowd_per_s, 1.0, true});
    for (std::size_t i = 0; i < clients_.size(); ++i) In(Gap(clients_[i].per_s), [this, i] { Arrive(i); });
    from_ = Now() + s_.length_us / 4;
    to_ = Now() + 3 * s_.length_us / 4;
    if (s_.flood_per_s > 0.0) In(from_ - Now(), [this] { Flood(); });
    clock_.RunFor(s_.length_us);
    return Figures();
  }

 private:
  struct Client {
    std::string name;
    int customer = 0;
    double per_s = 1.0, worth = 1.0;
    bool redials = false;
    std::uint64_t calls = 0, stood = 0;
  };
  struct Try {
    int client = -1;  // -1: the flood
    std::string called;
    TimeUs came = 0, until = 0;
    int redials = 0;
    bool told = false, counted = false;
  };

  TimeUs Now() const { return clock_.Now(); }
  // The gate is told the time before anything happens.
  void In(TimeUs delay, std::function<void()> what) {
    clock_.StartTimer(delay, [this, what = std::move(what)] {
      Carry([this](auto* decisions) { gate_->OnTimer(Now(), decisions); });
      what();
    });
  }
  TimeUs Gap(double per_s) { return static_cast<TimeUs>(std::exponential_distribution<>(per_s)(random_) * 1e6) + 1; }
  // Calls count while the flood runs, a patience short of its end.
  bool Counts() const { return Now() >= from_ && Now() + s_.patience_us < to_; }

  void Arrive(std::size_t i) {
    Client& client = clients_[i];
    const bool counted = Counts();
    client.calls += counted ? 1 : 0;
    Dial(static_cast<int>(i), "to " + std::to_string(++numbers_), client.redials ? 3 : 0, false, counted);
    In(Gap(client.per_s), [this, i] { Arrive(i); });
  }
  void Flood() {
    if (Now() >= to_) return;
    Dial(-1, "1", 0, false, false);
    In(std::max<TimeUs>(1, static_cast<TimeUs>(1e6 / s_.flood_per_s)), [this] { Flood(); });
  }
  void Dial(int client, const std::string& called, int redials, bool told, bool counted) {
    const CallId call = ++calls_;
    tries_[call] = {client, called, Now(), Now() + s_.patience_us, redials, told, counted};
    const std::string name =
        client < 0 ? "made up " + std::to_string(call) : clients_[static_cast<std::size_t>(client)].name;
    const int customer = client < 0 ? 0 : clients_[static_cast<std::size_t>(client)].customer;
    Carry([&](auto* decisions) {
      gate_->OnRequest({call, name, called, customer, 1.0, s_.patience_us}, Now(), decisions);
    });
  }
  void Carry(const std::function<void(std::vector<admission::AdmissionDecision>*)>& what) {
    std::vector<admission::AdmissionDecision> decisions;
    what(&decisions);
    figures_.most_waiting = std::max<std::uint64_t>(figures_.most_waiting, gate_->waiting());
    for (const admission::AdmissionDecision& decision : decisions) {
      const auto found = tries_.find(decision.call);
      if (found == tries_.end()) continue;
      const Try one = found->second;
      tries_.erase(found);
      decision.admitted ? Admitted(decision.call, one) : Refused(decision, one);
    }
  }
  void Admitted(CallId call, const Try& one) {
    if (one.client >= 0 && one.counted) waits_.push_back(Now() - one.came);
    const double crowd = std::max(1.0, static_cast<double>(++in_flight_) / s_.at_once);
    In(static_cast<TimeUs>(static_cast<double>(s_.set_up_us) * crowd), [this, call, one] {
      --in_flight_;
      const bool in_time = Now() <= one.until;
      if (one.client >= 0 && one.counted && in_time) ++clients_[static_cast<std::size_t>(one.client)].stood;
      told_stood_ += one.told && in_time ? 1 : 0;
      Carry([&](auto* decisions) { gate_->OnAnswered(call, in_time, Now(), decisions); });
    });
  }
  void Refused(const admission::AdmissionDecision& decision, const Try& one) {
    if (one.client < 0 || one.redials == 0) return;
    const bool told = decision.promised;
    const TimeUs pause = decision.pause_us > 0 ? decision.pause_us : 300'000;
    In(pause, [this, one, told] {
      told_ += told ? 1 : 0;
      Dial(one.client, one.called, one.redials - 1, told, one.counted);
    });
  }
  DoorFigures Figures() {
    double worth = 0.0;
    std::uint64_t calls[2] = {}, stood[2] = {};
    figures_.worst_client = 1.0;
    for (const Client& c : clients_) {
      const std::size_t kind = c.redials ? 1 : 0;
      calls[kind] += c.calls;
      stood[kind] += c.stood;
      worth += c.worth * static_cast<double>(c.stood);
      if (kind == 0 && c.calls > 0)
        figures_.worst_client =
            std::min(figures_.worst_client, static_cast<double>(c.stood) / static_cast<double>(c.calls));
    }
    const auto share = [&](std::size_t kind) {
      return calls[kind] > 0 ? static_cast<double>(stood[kind]) / static_cast<double>(calls[kind]) : 0.0;
    };
    figures_.goodput = worth / (static_cast<double>(to_ - from_ - s_.patience_us) / 1e6);
    figures_.quiet_share = share(0);
    figures_.crowd_share = share(1);
    std::sort(waits_.begin(), waits_.end());
    if (!waits_.empty()) figures_.p99_wait_ms = static_cast<double>(waits_[waits_.size() * 99 / 100]) / 1000.0;
    figures_.told_kept = told_ > 0 ? static_cast<double>(told_stood_) / static_cast<double>(told_) : -1.0;
    return figures_;
  }

  const DoorsSettings s_;
  sim::VirtualRuntime clock_{1};
  std::unique_ptr<Gate> gate_;
  std::mt19937_64 random_;
  std::vector<Client> clients_;
  std::unordered_map<CallId, Try> tries_;
  std::vector<TimeUs> waits_;
  DoorFigures figures_;
  TimeUs from_ = 0, to_ = 0;
  std::uint64_t numbers_ = 0, told_ = 0, told_stood_ = 0;
  CallId calls_ = 0;
  int in_flight_ = 0;
};

}  // namespace

const std::vector<std::string>& DoorNames() {
  static const std::vector<std::string> kNames = {"fair", "fifo", "token bucket", "none"};
  return kNames;
}

DoorFigures PlayDoor(const std::string& door, const DoorsSettings& settings) { return Evening(door, settings).Play(); }

std::string DoorsPicture(const DoorsCurve& curve) {
  constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#b8860b", "#7f8c8d"};
  constexpr double kLeft = 60, kWide = 360, kTop = 30, kHigh = 200, kGap = 90;
  std::string out =
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 920 300\" width=\"920\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n";
  const double most_flood = std::max(1.0, curve.floods.empty() ? 1.0 : curve.floods.back());
  for (int panel = 0; panel < 2; ++panel) {
    const double left = kLeft + panel * (kWide + kGap);
    const auto value = [&](const DoorFigures& f) { return panel == 0 ? f.goodput : f.quiet_share; };
    double most = panel == 0 ? 1e-9 : 1.0;
    for (const auto& door : curve.by_door) {
      for (const DoorFigures& f : door) most = std::max(most, value(f));
    }
    Print(&out, "<text x=\"%.0f\" y=\"18\" font-size=\"13\">%s</text>\n", left,
          panel == 0 ? "Worth a second, of who is no flood" : "Share of quiet clients' calls in time");
    Print(&out, "<path d=\"M%.0f %.0fv%.0fh%.0f\" fill=\"none\" stroke=\"#444\"/>\n", left, kTop, kHigh, kWide);
    Print(&out,
          "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"end\">%.3g</text><text x=\"%.0f\" y=\"%.0f\" "
          "text-anchor=\"end\">0</text>\n",
          left - 4, kTop + 8, most, left - 4, kTop + kHigh);
    for (const double flood : curve.floods)
      Print(&out, "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"middle\">%.0f</text>\n", left + kWide * flood / most_flood,
            kTop + kHigh + 14, flood);
    for (std::size_t d = 0; d < curve.by_door.size(); ++d) {
      std::string path;
      for (std::size_t i = 0; i < curve.floods.size(); ++i)
        Print(&path, "%c%.1f %.1f", i == 0 ? 'M' : 'L', left + kWide * curve.floods[i] / most_flood,
              kTop + kHigh * (1.0 - value(curve.by_door[d][i]) / most));
      Print(&out, "<path d=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.6\"/>\n", path.c_str(),
            kColours[d % std::size(kColours)]);
      if (!curve.by_door[d].empty())
        Print(&out, "<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n", left + 85.0 * static_cast<double>(d),
              kTop + kHigh + 48, kColours[d % std::size(kColours)], curve.by_door[d][0].door.c_str());
    }
    Print(&out, "<text x=\"%.0f\" y=\"%.0f\">made-up identities a second</text>\n", left, kTop + kHigh + 30);
  }
  return out + "</svg>\n";
}

}  // namespace croftrun::lab
