#include "lab/admission_comparison.h"

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

using core::AppendFormat;

constexpr TimeUs kSecond = 1'000'000;
constexpr std::size_t kMaxQueued = 1024;

// Interface of an admission policy under test.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;
  virtual void OnRequest(const admission::AdmissionRequest& request, TimeUs now,
                         std::vector<admission::AdmissionDecision>* decisions) = 0;
  virtual void OnAnswered(CallId call, bool in_time, TimeUs now,
                          std::vector<admission::AdmissionDecision>* decisions) = 0;
  virtual void OnTimer(TimeUs, std::vector<admission::AdmissionDecision>*) {}
  virtual std::size_t waiting() const { return 0; }
};

// Admits every call.
class NoAdmissionControl final : public AdmissionPolicy {
 public:
  void OnRequest(const admission::AdmissionRequest& request, TimeUs,
                 std::vector<admission::AdmissionDecision>* decisions) override {
    decisions->push_back({request.call, true, 0, false});
  }
  void OnAnswered(CallId, bool, TimeUs, std::vector<admission::AdmissionDecision>*) override {}
};

// Admits calls at the rate the network can handle; gives rejected callers no retry-after.
class TokenBucketPolicy final : public AdmissionPolicy {
 public:
  explicit TokenBucketPolicy(double per_s) : limit_{per_s, per_s / 10.0} { bucket_.tokens = limit_.burst; }
  void OnRequest(const admission::AdmissionRequest& request, TimeUs now,
                 std::vector<admission::AdmissionDecision>* decisions) override {
    decisions->push_back({request.call, bucket_.TryConsume(limit_, now), 0, false});
  }
  void OnAnswered(CallId, bool, TimeUs, std::vector<admission::AdmissionDecision>*) override {}

 private:
  admission::TokenBucketSettings limit_;
  admission::TokenBucket bucket_;
};

// Serves calls in order of arrival, as many at once as the network can handle. A call that has waited too long is
// rejected when its turn comes.
class FifoPolicy final : public AdmissionPolicy {
 public:
  explicit FifoPolicy(std::size_t concurrency) : concurrency_(concurrency) {}
  void OnRequest(const admission::AdmissionRequest& request, TimeUs now,
                 std::vector<admission::AdmissionDecision>* decisions) override {
    if (queue_.size() >= kMaxQueued) return decisions->push_back({request.call, false, 0, false});
    queue_.push_back({request.call, now + request.caller_timeout_us});
    AdmitQueued(now, decisions);
  }
  void OnAnswered(CallId, bool, TimeUs now, std::vector<admission::AdmissionDecision>* decisions) override {
    --in_set_up_;
    AdmitQueued(now, decisions);
  }
  std::size_t waiting() const override { return queue_.size(); }

 private:
  void AdmitQueued(TimeUs now, std::vector<admission::AdmissionDecision>* decisions) {
    while (!queue_.empty() && in_set_up_ < concurrency_) {
      const auto [call, deadline] = queue_.front();
      queue_.pop_front();
      if (deadline > now) ++in_set_up_;
      decisions->push_back({call, deadline > now, 0, false});
    }
  }
  std::size_t concurrency_, in_set_up_ = 0;
  std::deque<std::pair<CallId, TimeUs>> queue_;
};

// The admission controller of the edge.
class FairPolicy final : public AdmissionPolicy {
 public:
  explicit FairPolicy(const admission::AdmissionSettings& settings) : controller_(settings) {}
  void OnRequest(const admission::AdmissionRequest& request, TimeUs now,
                 std::vector<admission::AdmissionDecision>* decisions) override {
    controller_.OnRequest(request, now, decisions);
  }
  void OnAnswered(CallId call, bool in_time, TimeUs now,
                  std::vector<admission::AdmissionDecision>* decisions) override {
    controller_.OnAnswered(call, in_time, now, decisions);
  }
  void OnTimer(TimeUs now, std::vector<admission::AdmissionDecision>* decisions) override {
    controller_.OnTimer(now, decisions);
  }
  std::size_t waiting() const override { return controller_.waiting(); }

 private:
  admission::AdmissionController controller_;
};

std::unique_ptr<AdmissionPolicy> MakePolicy(const std::string& name, const ComparisonSettings& s) {
  if (name == "none") return std::make_unique<NoAdmissionControl>();
  if (name == "fifo") return std::make_unique<FifoPolicy>(static_cast<std::size_t>(s.concurrency));
  if (name == "token bucket")
    return std::make_unique<TokenBucketPolicy>(s.concurrency * 1e6 / static_cast<double>(s.set_up_us));
  if (name != "fair") throw std::invalid_argument("expected fair, fifo, token bucket or none, found " + name);
  admission::AdmissionSettings settings;
  settings.limiter.initial_limit = s.concurrency;
  settings.max_retry_after_us = 10 * kSecond;
  settings.customers = {{}, {}};
  settings.secret = s.seed * 0x9e3779b97f4a7c15U;
  return std::make_unique<FairPolicy>(settings);
}

// One run of the traffic against one policy.
class PolicyRun {
 public:
  PolicyRun(const std::string& name, const ComparisonSettings& settings)
      : settings_(settings), policy_(MakePolicy(name, settings)), random_(settings.seed) {
    result_.policy = name;
  }

  PolicyResult Run() {
    for (int i = 0; i < settings_.quiet_clients; ++i)
      clients_.push_back({"quiet " + std::to_string(i), 1, settings_.quiet_per_s, 2.0, false});
    for (int i = 0; i < settings_.crowd_clients; ++i)
      clients_.push_back({"crowd " + std::to_string(i), 0, settings_.crowd_per_s, 1.0, true});
    for (std::size_t i = 0; i < clients_.size(); ++i)
      Schedule(NextInterval(clients_[i].per_s), [this, i] { Arrive(i); });
    flood_start_ = Now() + settings_.length_us / 4;
    flood_end_ = Now() + 3 * settings_.length_us / 4;
    if (settings_.flood_per_s > 0.0) Schedule(flood_start_ - Now(), [this] { Flood(); });
    clock_.RunFor(settings_.length_us);
    return Result();
  }

 private:
  struct Client {
    std::string name;
    int customer = 0;
    double per_s = 1.0, worth = 1.0;
    bool redials = false;
    std::uint64_t calls = 0, answered = 0;
  };
  struct Attempt {
    int client = -1;  // -1: part of the flood
    std::string called;
    TimeUs dialled_at = 0, deadline = 0;
    int redials = 0;
    bool has_reservation = false, counted = false;
  };

  TimeUs Now() const { return clock_.Now(); }
  // Runs the action after the delay. The policy's timer runs before each action.
  void Schedule(TimeUs delay, std::function<void()> action) {
    clock_.StartTimer(delay, [this, action = std::move(action)] {
      ApplyDecisions([this](auto* decisions) { policy_->OnTimer(Now(), decisions); });
      action();
    });
  }
  TimeUs NextInterval(double per_s) {
    return static_cast<TimeUs>(std::exponential_distribution<>(per_s)(random_) * 1e6) + 1;
  }
  // Calls count from the start of the flood until one caller timeout before its end.
  bool IsCounted() const { return Now() >= flood_start_ && Now() + settings_.caller_timeout_us < flood_end_; }

  void Arrive(std::size_t i) {
    Client& client = clients_[i];
    const bool counted = IsCounted();
    client.calls += counted ? 1 : 0;
    Dial(static_cast<int>(i), "to " + std::to_string(++called_numbers_), client.redials ? 3 : 0, false, counted);
    Schedule(NextInterval(client.per_s), [this, i] { Arrive(i); });
  }
  void Flood() {
    if (Now() >= flood_end_) return;
    Dial(-1, "1", 0, false, false);
    Schedule(std::max<TimeUs>(1, static_cast<TimeUs>(1e6 / settings_.flood_per_s)), [this] { Flood(); });
  }
  void Dial(int client, const std::string& called, int redials, bool has_reservation, bool counted) {
    const CallId call = ++calls_;
    attempts_[call] = {client, called, Now(), Now() + settings_.caller_timeout_us, redials, has_reservation, counted};
    const std::string name =
        client < 0 ? "made up " + std::to_string(call) : clients_[static_cast<std::size_t>(client)].name;
    const int customer = client < 0 ? 0 : clients_[static_cast<std::size_t>(client)].customer;
    ApplyDecisions([&](auto* decisions) {
      policy_->OnRequest({call, name, called, customer, 1.0, settings_.caller_timeout_us}, Now(), decisions);
    });
  }
  void ApplyDecisions(const std::function<void(std::vector<admission::AdmissionDecision>*)>& action) {
    std::vector<admission::AdmissionDecision> decisions;
    action(&decisions);
    result_.max_queued = std::max<std::uint64_t>(result_.max_queued, policy_->waiting());
    for (const admission::AdmissionDecision& decision : decisions) {
      const auto found = attempts_.find(decision.call);
      if (found == attempts_.end()) continue;
      const Attempt attempt = found->second;
      attempts_.erase(found);
      decision.admitted ? Admitted(decision.call, attempt) : Refused(decision, attempt);
    }
  }
  void Admitted(CallId call, const Attempt& attempt) {
    if (attempt.client >= 0 && attempt.counted) waits_us_.push_back(Now() - attempt.dialled_at);
    const double load_factor = std::max(1.0, static_cast<double>(++in_flight_) / settings_.concurrency);
    Schedule(static_cast<TimeUs>(static_cast<double>(settings_.set_up_us) * load_factor), [this, call, attempt] {
      --in_flight_;
      const bool in_time = Now() <= attempt.deadline;
      if (attempt.client >= 0 && attempt.counted && in_time)
        ++clients_[static_cast<std::size_t>(attempt.client)].answered;
      reserved_retries_answered_ += attempt.has_reservation && in_time ? 1 : 0;
      ApplyDecisions([&](auto* decisions) { policy_->OnAnswered(call, in_time, Now(), decisions); });
    });
  }
  void Refused(const admission::AdmissionDecision& decision, const Attempt& attempt) {
    if (attempt.client < 0 || attempt.redials == 0) return;
    const bool has_reservation = decision.has_reservation;
    const TimeUs delay = decision.retry_after_us > 0 ? decision.retry_after_us : 300'000;
    Schedule(delay, [this, attempt, has_reservation] {
      reserved_retries_ += has_reservation ? 1 : 0;
      Dial(attempt.client, attempt.called, attempt.redials - 1, has_reservation, attempt.counted);
    });
  }
  PolicyResult Result() {
    double worth = 0.0;
    std::uint64_t calls[2] = {}, answered[2] = {};
    result_.worst_client = 1.0;
    for (const Client& c : clients_) {
      const std::size_t kind = c.redials ? 1 : 0;
      calls[kind] += c.calls;
      answered[kind] += c.answered;
      worth += c.worth * static_cast<double>(c.answered);
      if (kind == 0 && c.calls > 0)
        result_.worst_client =
            std::min(result_.worst_client, static_cast<double>(c.answered) / static_cast<double>(c.calls));
    }
    const auto share = [&](std::size_t kind) {
      return calls[kind] > 0 ? static_cast<double>(answered[kind]) / static_cast<double>(calls[kind]) : 0.0;
    };
    result_.goodput = worth / (static_cast<double>(flood_end_ - flood_start_ - settings_.caller_timeout_us) / 1e6);
    result_.quiet_share = share(0);
    result_.crowd_share = share(1);
    std::sort(waits_us_.begin(), waits_us_.end());
    if (!waits_us_.empty()) result_.p99_wait_ms = static_cast<double>(waits_us_[waits_us_.size() * 99 / 100]) / 1000.0;
    result_.reservations_kept =
        reserved_retries_ > 0 ? static_cast<double>(reserved_retries_answered_) / static_cast<double>(reserved_retries_)
                              : -1.0;
    return result_;
  }

  const ComparisonSettings settings_;
  sim::VirtualRuntime clock_{1};
  std::unique_ptr<AdmissionPolicy> policy_;
  std::mt19937_64 random_;
  std::vector<Client> clients_;
  std::unordered_map<CallId, Attempt> attempts_;
  std::vector<TimeUs> waits_us_;
  PolicyResult result_;
  TimeUs flood_start_ = 0, flood_end_ = 0;
  std::uint64_t called_numbers_ = 0, reserved_retries_ = 0, reserved_retries_answered_ = 0;
  CallId calls_ = 0;
  int in_flight_ = 0;
};

}  // namespace

const std::vector<std::string>& PolicyNames() {
  static const std::vector<std::string> kNames = {"fair", "fifo", "token bucket", "none"};
  return kNames;
}

PolicyResult RunPolicy(const std::string& policy, const ComparisonSettings& settings) {
  return PolicyRun(policy, settings).Run();
}

std::string RenderComparison(const ComparisonCurves& curve) {
  constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#b8860b", "#7f8c8d"};
  constexpr double kLeft = 60, kWidth = 360, kTop = 30, kHeight = 200, kGap = 90;
  std::string out =
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 920 300\" width=\"920\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n";
  const double max_flood = std::max(1.0, curve.flood_rates.empty() ? 1.0 : curve.flood_rates.back());
  for (int panel = 0; panel < 2; ++panel) {
    const double left = kLeft + panel * (kWidth + kGap);
    const auto value = [&](const PolicyResult& f) { return panel == 0 ? f.goodput : f.quiet_share; };
    double max_value = panel == 0 ? 1e-9 : 1.0;
    for (const auto& policy : curve.by_policy) {
      for (const PolicyResult& f : policy) max_value = std::max(max_value, value(f));
    }
    AppendFormat(&out, "<text x=\"%.0f\" y=\"18\" font-size=\"13\">%s</text>\n", left,
                 panel == 0 ? "Worth per second, without the flood's calls" : "Share of quiet clients' calls in time");
    AppendFormat(&out, "<path d=\"M%.0f %.0fv%.0fh%.0f\" fill=\"none\" stroke=\"#444\"/>\n", left, kTop, kHeight,
                 kWidth);
    AppendFormat(&out,
                 "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"end\">%.3g</text><text x=\"%.0f\" y=\"%.0f\" "
                 "text-anchor=\"end\">0</text>\n",
                 left - 4, kTop + 8, max_value, left - 4, kTop + kHeight);
    for (const double flood : curve.flood_rates)
      AppendFormat(&out, "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"middle\">%.0f</text>\n",
                   left + kWidth * flood / max_flood, kTop + kHeight + 14, flood);
    for (std::size_t p = 0; p < curve.by_policy.size(); ++p) {
      std::string path;
      for (std::size_t i = 0; i < curve.flood_rates.size(); ++i)
        AppendFormat(&path, "%c%.1f %.1f", i == 0 ? 'M' : 'L', left + kWidth * curve.flood_rates[i] / max_flood,
                     kTop + kHeight * (1.0 - value(curve.by_policy[p][i]) / max_value));
      AppendFormat(&out, "<path d=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.6\"/>\n", path.c_str(),
                   kColours[p % std::size(kColours)]);
      if (!curve.by_policy[p].empty())
        AppendFormat(&out, "<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n", left + 85.0 * static_cast<double>(p),
                     kTop + kHeight + 48, kColours[p % std::size(kColours)], curve.by_policy[p][0].policy.c_str());
    }
    AppendFormat(&out, "<text x=\"%.0f\" y=\"%.0f\">made-up identities per second</text>\n", left, kTop + kHeight + 30);
  }
  return out + "</svg>\n";
}

}  // namespace croftrun::lab
