// The decision module of croftrun: routing, admission and load control for one exchange. Its interface (settings,
// events, actions) is include/croftrun/call_controller.h.
//
// The file is in this order: constants, exchange state, call state, route selection, admission, guards, event handlers.
// docs/design.md describes the basic procedure; the comment of each extension to it states the symptom on which it
// acts, what it helps against, and what it may harm.
#include "croftrun/call_controller.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace croftrun {
namespace {

// ---- constants: times in microseconds, time constants as double, all else dimensionless ----

constexpr TimeUs kSecond = 1'000'000;
// Maximum age of a reported queue length; from then on the own count of unanswered set-ups is used (docs/design.md).
constexpr TimeUs kMaxQueueReportAge = 2 * kSecond;
// The minimum of the set-up delay covers the current and the previous window of this length, so a value is kept for 5
// to 10 s.
constexpr TimeUs kDelayMinimumWindow = 5 * kSecond;
// Time constants of rates and loss counts: a few seconds, the time scale on which the traffic itself changes.
constexpr double kRateTimeConstant = 5e6, kPooledRateTimeConstant = 2e6;
// A set-up delay under kNormalThreshold of the shortest target delay is normal, one over kOverloadThreshold endangers
// the target. Load reductions and shares of lost set-ups are compared with the same values.
constexpr double kNormalThreshold = 0.2, kOverloadThreshold = 0.35;
// Loss control adds one step to the load reduction of an exchange for a set-up delay over the overload threshold, up to
// kMaxReductionSteps for a very long delay or a lost set-up, and multiplies it by the decay factor for a normal delay.
constexpr double kReductionStep = 0.1, kMaxReductionSteps = 3.0;
constexpr double kReductionDecayFactor = 0.85, kMaxReduction = 0.95;
// Without new set-up delays, a load reduction decays with this time constant, so that a recovery is noticed.
constexpr double kReductionTimeConstant = 8e6;
// Minimum interval between trial set-ups to an exchange or number that otherwise receives none: from this softswitch,
// and from all softswitches together.
constexpr TimeUs kMinTrialInterval = kSecond / 2, kMinTrialIntervalOfAll = kSecond;
// Values from reports decay with this time constant, because a softswitch in a large network rarely receives a report
// from a given exchange.
constexpr double kReportTimeConstant = 8e6;
// An exchange whose allowed rate falls below this share of its usual value is overloaded. The usual value follows a
// higher rate at once and a lower one with this gain per report.
constexpr double kAllowedRateDipThreshold = 0.5, kUsualValueGain = 1.0 / 64.0;
// A gap of this length between events means that the softswitch itself was stalled and that answers wait to be read.
// Offered calls that have become late meanwhile are recognised by their reduced time budget.
constexpr TimeUs kStallThreshold = kSecond / 4;
// After a lost set-up, an exchange receives none for this time, doubled after each further consecutive loss. A timeout
// counts as a loss if the set-up waited more than kLossTimeoutThreshold of the shortest target delay. A set-up delay
// under kLossResetDelayFactor times the overload threshold ends the series of losses.
constexpr TimeUs kInitialBackOff = kSecond;
constexpr double kLossTimeoutThreshold = 0.5, kLossResetDelayFactor = 2.0;
// The caller is answered this long before its time budget ends.
constexpr TimeUs kAnswerMargin = kSecond / 50;
// A call waits for a circuit for at most this share of its target delay, and at least kSetUpDelayMargin times the
// expected set-up delay must remain. A redial older than this share is late.
constexpr double kMaxQueueWaitShare = 0.8, kSetUpDelayMargin = 1.5;
// Outcomes of calls over a tandem are remembered for a few holding times. A tandem is a candidate while its success
// probability is at least kMinRelativeProbability of the best one. Prior estimates have the weight of kPriorWeight
// set-ups.
constexpr double kTandemTimeConstant = 40e6, kMinRelativeProbability = 0.75, kPriorWeight = 1.0;
// Prior estimate for a tandem that has not been tried: every second call succeeds, with the weight of two set-ups.
constexpr double kTandemPriorProbability = 0.5, kTandemPriorWeight = 2.0;
// A call over a tandem is set up by three processors instead of two, so its worth per unit of work is this share.
constexpr double kTandemWorthFactor = 2.0 / 3.0;
// Limits on the size of the state: queued calls, numbers with busy lines, numbers with unserved calls, and exchanges,
// whether in the directory or not.
constexpr std::size_t kMaxQueuedCalls = 256, kMaxCongestedNumbers = 64, kMaxUnservedNumbers = 4096,
                      kMaxExchanges = 4096;
// Shares are not relied on before this many set-ups.
constexpr double kMinSetUpCount = 2.0;
// A failed or broken set-up is repeated at the exchange while at least this share of its set-ups succeeds.
constexpr double kMinRepeatSuccessShare = 0.2;
// The processors have headroom for more than first attempts on direct groups while the set-up delay of all exchanges is
// under this multiple of its usual value. The usual value follows a lower delay at once and a higher one with
// kUsualValueGain.
constexpr double kHeadroomDelayFactor = 1.5;
// A late redial leaves this share of a trunk group to calls that can still be on time, and uses a tandem only while
// crankbacks are under this ratio to successful calls over tandems.
constexpr double kLateRedialReserve = 0.25;
// An exchange that is warming up is sent at most this share of the rate that would make it collapse.
constexpr double kWarmUpRateMargin = 2.0 / 3.0;
// Smoothing gains of the set-up delay of one exchange and of all exchanges.
constexpr double kDelayGain = 0.4, kPooledDelayGain = 0.1;
// Minimum interval between log lines about the overload of the same exchange.
constexpr TimeUs kMinLogInterval = 10 * kSecond;
constexpr std::uint64_t kSubscribeTimerToken = std::uint64_t{1} << 40;

double AsDouble(TimeUs value) { return static_cast<double>(value); }

// SplitMix64 generator, seeded per instance. It is the module's only source of randomness.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  // Returns a number from 0 up to, but not including, 1.
  double Uniform() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return static_cast<double>((z ^ (z >> 31U)) >> 11U) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

// Exponentially decaying counter. Its value divided by the time constant is a rate.
class DecayingCounter {
 public:
  explicit DecayingCounter(double time_constant) : time_constant_(time_constant) {}
  double ValueAt(TimeUs now) const { return value_ * std::exp(-AsDouble(now - updated_at_) / time_constant_); }
  void Add(TimeUs now, double amount) { Set(now, ValueAt(now) + amount); }
  void Set(TimeUs now, double value) {
    value_ = value;
    updated_at_ = now;
  }
  double RatePerSecond(TimeUs now) const { return ValueAt(now) / time_constant_ * AsDouble(kSecond); }

 private:
  double time_constant_;
  double value_ = 0.0;
  TimeUs updated_at_ = 0;
};

// Minimum of the values in the current window of kDelayMinimumWindow and in the previous one that had values; 0 before
// the first value.
class RecentMinimum {
 public:
  void Add(TimeUs now, double value) {
    const bool window_ended = now / kDelayMinimumWindow != window_;
    if (window_ended) previous_minimum_ = current_minimum_;
    window_ = now / kDelayMinimumWindow;
    current_minimum_ = window_ended ? value : std::min(current_minimum_.value_or(value), value);
  }
  double Get() const {
    return current_minimum_ ? std::min(*current_minimum_, previous_minimum_.value_or(*current_minimum_)) : 0.0;
  }

 private:
  TimeUs window_ = 0;
  std::optional<double> current_minimum_, previous_minimum_;
};

// Numbers of set-ups that were established and that failed on some route.
struct SetUpOutcomes {
  explicit SetUpOutcomes(double time_constant = kTandemTimeConstant)
      : established(time_constant), failed(time_constant) {}
  DecayingCounter established, failed;
};

// ---- exchange state ----

// State of an exchange, as known to this softswitch.
struct Exchange {
  DirectoryEntry entry;
  // Circuits of the direct trunk group; -1 until reported.
  double free_circuits = -1.0;
  double total_circuits = -1.0;
  // Values from reports.
  double reported_queue = -1.0;
  TimeUs queue_reported_at = 0;
  DecayingCounter reported_reduction{kReportTimeConstant};
  DecayingCounter allowed_rate_reduction{kReportTimeConstant};
  double usual_allowed_rate = 0.0;
  // Values measured by this softswitch.
  std::set<std::pair<TimeUs, CallId>> unanswered_set_ups;
  RecentMinimum recent_min_delay;
  double smoothed_delay = 0.0;  // direct set-ups only
  TimeUs delay_updated_at = 0;
  DecayingCounter load_reduction{kReductionTimeConstant};  // from loss control
  TimeUs back_off_until = 0;
  unsigned consecutive_losses = 0;
  TimeUs last_sent_at = 0;
  TimeUs last_established_sent_at = 0;  // when the latest set-up that was established was sent
  TimeUs failed_at = 0;                 // when a connection attempt failed, taken as the time of a restart; 0: never
  DecayingCounter sent_set_ups{kRateTimeConstant};
  SetUpOutcomes direct_outcomes{kRateTimeConstant};         // attempts there as the destination
  SetUpOutcomes tandem_outcomes;                            // calls over this tandem, to any destination
  std::map<ExchangeId, SetUpOutcomes> second_leg_outcomes;  // calls to this destination, by tandem
  double warm_up_tokens = 1.0;
  TimeUs warm_up_tokens_at = 0;
  TimeUs overload_logged_at = 0;
};

// ---- call state ----

// State of a call that has been offered and is not over.
struct Call {
  CallOffered offer;
  TimeUs first_offered_at = 0;  // of the caller's first attempt, see DetectRedial
  TimeUs deadline = 0;          // time by which the call must be answered
  bool is_late = false;         // a redial that cannot be established within the target delay any more
  double worth_density = 0.0;   // worth per circuit and second of holding time
  bool over_quota = false;
  double admission_draw = 0.0;  // uniform random number; the call is admitted if it is not below the load reduction
  bool needs_tandem = false;    // there is no direct trunk group, or none wide enough
  bool admitted = false;
  int attempts = 0;
  bool attempt_pending = false;
  bool established = false;
  int tandem_attempts = 0;
  std::set<ExchangeId> tried_exchanges;
  TimeUs resend_not_before = 0;  // end of the resend guard
  TimeUs queued_until = 0;       // 0: not queued
  // The first attempt that an exchange may have executed.
  bool may_have_executed = false;
  ExchangeId executing_exchange = 0;
  TimeUs executed_attempt_sent_at = 0;
};

// Recent calls to a number whose lines were busy.
struct CalledNumber {
  DecayingCounter busy{kRateTimeConstant};
  DecayingCounter established{kRateTimeConstant};
  TimeUs last_sent_at = 0;
};

}  // namespace

class CallController::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed, TimeUs now, std::vector<Action>* actions)
      : settings_(settings), seed_(seed), random_(seed) {
    for (const CallClass& c : settings_.classes) {
      const TimeUs target_delay = c.target_delay_us > 0 ? c.target_delay_us : c.deadline_us;
      if (target_delay > 0)
        shortest_target_delay_ =
            shortest_target_delay_ > 0 ? std::min(shortest_target_delay_, target_delay) : target_delay;
    }
    if (shortest_target_delay_ == 0) shortest_target_delay_ = kSecond;
    trial_interval_ = std::max(kMinTrialInterval,
                               kMinTrialIntervalOfAll * static_cast<TimeUs>(std::max(1, settings.softswitch_count)));
    customer_rates_.assign(settings_.customers.size(), DecayingCounter(kRateTimeConstant));
    actions_ = actions;
    now_ = now;
    if (settings_.discovery_mode == DiscoveryMode::kSubscribe) actions_->push_back(SubscribeDirectory{true});
  }

  void Handle(TimeUs now, const Event& event, std::vector<Action>* actions) {
    if (now > now_ + kStallThreshold) {
      stall_ended_at_ = now;
      stall_duration_ = now - now_;
    }
    now_ = now;
    actions_ = actions;
    std::visit([this](const auto& e) { HandleEvent(e); }, event);
  }

 private:
  Exchange* FindExchange(ExchangeId id) {
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : &found->second;
  }

  Exchange* FindByNumber(int number) {
    const auto found = exchanges_by_number_.find(number);
    return found == exchanges_by_number_.end() ? nullptr : found->second;
  }

  bool IsOwn(const Exchange& e) const {
    return settings_.topology == Topology::kMeshed && e.entry.number == settings_.own_number;
  }

  // Returns the share of its capacity that an exchange can handle after a restart: it grows linearly from the
  // guaranteed share at the start to 1 at the end of the longest warm-up.
  double WarmUpShare(const Exchange& e) const { return WarmUpShareSince(std::max(e.entry.started_at_us, e.failed_at)); }
  double WarmUpShareSince(TimeUs start) const {
    if (start == 0 || settings_.warm_up_us == 0 || now_ >= start + settings_.warm_up_us) return 1.0;
    const double elapsed_share = now_ > start ? AsDouble(now_ - start) / AsDouble(settings_.warm_up_us) : 0.0;
    return settings_.warm_up_start_share + (1.0 - settings_.warm_up_start_share) * elapsed_share;
  }

  // Returns the number of set-ups in progress at the exchange (ActNum in docs/design.md).
  double QueueLength(const Exchange& e) const {
    if (e.reported_queue >= 0.0 && now_ - e.queue_reported_at < kMaxQueueReportAge) return e.reported_queue;
    return static_cast<double>(e.unanswered_set_ups.size());
  }

  // Returns the first ranking value of docs/design.md: set-ups in progress times the recent minimum of the set-up
  // delay.
  double PredictedDelay(const Exchange& e) const { return QueueLength(e) * e.recent_min_delay.Get(); }

  // Returns how long the oldest set-up has been unanswered, without time in which this softswitch was stalled. Only
  // set-ups sent after the latest established one count, because an earlier one was lost in transit. This assumes that
  // an exchange processes set-ups in order; otherwise slowness is noticed a little later.
  TimeUs OldestUnansweredAge(const Exchange& e) const {
    const auto oldest = e.unanswered_set_ups.upper_bound({e.last_established_sent_at, ~CallId{0}});
    return oldest == e.unanswered_set_ups.end() ? 0 : now_ - std::max(oldest->first, stall_ended_at_);
  }

  // Returns the share of set-ups to withhold from the exchange: the largest value that any of its symptoms calls for.
  double LoadReduction(Exchange& e) {
    const double unanswered_share = AsDouble(OldestUnansweredAge(e)) / AsDouble(shortest_target_delay_);
    return std::min(1.0, std::max({e.load_reduction.ValueAt(now_), e.reported_reduction.ValueAt(now_),
                                   e.allowed_rate_reduction.ValueAt(now_), 1.0 - WarmUpShare(e),
                                   unanswered_share > kOverloadThreshold ? unanswered_share : 0.0}));
  }

  void AdjustReduction(DecayingCounter& reduction, double step) {
    const double current = reduction.ValueAt(now_);
    reduction.Set(now_, step > 0.0 ? std::min(kMaxReduction, current + step) : current * kReductionDecayFactor);
  }

  void UpdateSmoothedDelay(Exchange& e, double elapsed) {
    e.smoothed_delay = e.delay_updated_at == 0 ? elapsed : e.smoothed_delay + kDelayGain * (elapsed - e.smoothed_delay);
    e.delay_updated_at = now_;
    pooled_delay_ += (pooled_delay_ == 0.0 ? 1.0 : kPooledDelayGain) * (elapsed - pooled_delay_);
    const double raised = usual_pooled_delay_ + kUsualValueGain * (pooled_delay_ - usual_pooled_delay_);
    usual_pooled_delay_ = usual_pooled_delay_ == 0.0 ? pooled_delay_ : std::min(pooled_delay_, raised);
  }

  // Returns the set-up delay to expect at the exchange: its own smoothed delay, replaced by the one of all exchanges as
  // it ages.
  double ExpectedSetUpDelay(const Exchange& e) const {
    const double own_weight =
        e.delay_updated_at == 0 ? 0.0 : std::exp(-AsDouble(now_ - e.delay_updated_at) / kReportTimeConstant);
    return own_weight * e.smoothed_delay + (1.0 - own_weight) * pooled_delay_;
  }

  // Records the delay of an established direct set-up.
  void RecordSetUpDelay(Exchange& e, double elapsed) {
    e.recent_min_delay.Add(now_, elapsed);
    UpdateSmoothedDelay(e, elapsed);
    const double relative_delay = elapsed / (kOverloadThreshold * AsDouble(shortest_target_delay_));
    if (relative_delay < kLossResetDelayFactor) e.consecutive_losses = 0;
    if (relative_delay > 1.0) {
      AdjustReduction(e.load_reduction, kReductionStep * std::min(kMaxReductionSteps, relative_delay));
    } else if (elapsed < kNormalThreshold * AsDouble(shortest_target_delay_)) {
      AdjustReduction(e.load_reduction, 0.0);
    }
    lost_set_ups_.Add(now_, std::clamp(relative_delay - 1.0, 0.0, 1.0));
  }

  // Returns the share of set-ups to withhold from all exchanges. If set-ups to most exchanges are lost, the cause is
  // the own processor or common to all. The evidence is pooled, because it is too sparse for each exchange.
  double OwnLoadReduction() {
    const double lost_share = lost_set_ups_.ValueAt(now_) /
                              (lost_set_ups_.ValueAt(now_) + established_set_ups_.ValueAt(now_) + kMinSetUpCount);
    const double reduction = std::clamp((lost_share - kNormalThreshold) / kNormalThreshold, 0.0, kMaxReduction);
    const Exchange* own = settings_.topology == Topology::kMeshed ? FindByNumber(settings_.own_number) : nullptr;
    return std::max(
        {reduction, own != nullptr ? 1.0 - WarmUpShare(*own) : 0.0, 1.0 - WarmUpShareSince(own_failed_at_)});
  }

  // An unsolicited report covers the direct trunk group only.
  void ProcessReport(Exchange& e, const std::vector<float>& report, bool unsolicited) {
    const std::size_t n = std::min(report.size(), settings_.report_fields.size());
    for (std::size_t i = 0; i < n; ++i) {
      const double value = static_cast<double>(report[i]);
      const ReportField field = settings_.report_fields[i];
      if (!std::isfinite(value) || value < 0.0) continue;
      if (field == ReportField::kFreeCircuits) e.free_circuits = value;
      if (field == ReportField::kTotalCircuits) e.total_circuits = value;
      if (unsolicited) continue;
      if (field == ReportField::kPendingSetUps) {
        e.reported_queue = value;
        e.queue_reported_at = now_;
      } else if (field == ReportField::kLoadReduction) {
        e.reported_reduction.Set(now_, std::min(1.0, value));
      } else if (field == ReportField::kAllowedRate) {
        // The rate is stated for all softswitches together, so it does not give this one's share. A fall below the
        // usual value indicates overload.
        e.usual_allowed_rate = std::max(value, e.usual_allowed_rate + kUsualValueGain * (value - e.usual_allowed_rate));
        e.allowed_rate_reduction.Set(
            now_, std::max(0.0, 1.0 - value / (kAllowedRateDipThreshold * e.usual_allowed_rate + 1e-9)));
      }
    }
  }

  // ---- route selection ----

  const CallClass& ClassOf(const Call& call) const {
    static const CallClass kDefaultClass{};
    const auto i = static_cast<std::size_t>(call.offer.call_class);
    return i < settings_.classes.size() ? settings_.classes[i] : kDefaultClass;
  }

  bool IsPermitted(const Call& call, const Exchange& e) const {
    if (settings_.topology != Topology::kPools) return true;
    const auto& pools = ClassOf(call).pools;
    return pools.empty() || std::find(pools.begin(), pools.end(), e.entry.number) != pools.end();
  }

  bool CanBeTandem(const Call& call, Exchange& e) {
    return call.tandem_attempts < 2 && !IsOwn(e) && IsPermitted(call, e) && CanSendTo(call, e) &&
           call.tried_exchanges.count(e.entry.exchange) == 0 &&
           (settings_.topology != Topology::kMeshed || LoadReduction(e) <= kReductionStep);
  }

  // Returns the estimated probability that the second call leg, from the tandem to the destination, has a free circuit.
  // No report covers it, and the ranking of docs/design.md ignores it. The estimate uses the outcomes of earlier calls
  // from this softswitch over the tandem to the destination. The tandem's outcomes for all destinations are the prior
  // estimate, and the advised tandem is credited with one successful call.
  double SuccessProbability(const Call& call, const Exchange& tandem, const Exchange& destination) const {
    const auto probability = [this](const SetUpOutcomes& outcomes, double prior, double weight,
                                    double extra_established) {
      const double established = outcomes.established.ValueAt(now_) + extra_established;
      return (established + prior * weight) / (established + outcomes.failed.ValueAt(now_) + weight);
    };
    const double overall = probability(tandem.tandem_outcomes, kTandemPriorProbability, kTandemPriorWeight, 0.0);
    const auto second_leg = destination.second_leg_outcomes.find(tandem.entry.exchange);
    const bool advised = !call.offer.in_transit && call.offer.via == tandem.entry.number;
    return probability(second_leg == destination.second_leg_outcomes.end() ? SetUpOutcomes{} : second_leg->second,
                       overall, kPriorWeight, advised ? 1.0 : 0.0);
  }

  // Returns whether the processors have headroom for more than first attempts on direct groups.
  //
  // Symptom: set-ups to all exchanges take longer than usual or are lost, because queues build up; losses alone show it
  // one set-up delay too late. Further work (overflow, late redials) is then refused, whatever the cause: a traffic
  // peak, slow processors, a redial storm, or a stall of this softswitch. It may harm where circuits are scarce and
  // delays rise for another reason, such as a longer transmission path.
  bool HasHeadroom(Exchange& to) {
    return LoadReduction(to) <= kReductionStep && OwnLoadReduction() <= kReductionStep &&
           pooled_delay_ <= kHeadroomDelayFactor * usual_pooled_delay_;
  }

  // Selects a tandem or pool by the ranking of docs/design.md; null if there is none. Candidates keep a circuit free
  // after the call and have a success probability near the best one.
  //
  // Overflow from a direct group also requires headroom and a call that is not late. It is permitted at random, with
  // the probability that one of two tandems succeeds. This is estimated from the crankbacks for all destinations,
  // because a softswitch in a large network sends too few calls to one destination. Each caller has a single random
  // draw: a queued call is routed again at every event, and with a new draw each time it would eventually be permitted.
  Exchange* SelectTandem(const Call& call, Exchange* destination) {
    const bool is_meshed = settings_.topology == Topology::kMeshed && destination != nullptr;
    if (is_meshed && !call.needs_tandem) {
      const double failed = tandem_outcomes_.failed.ValueAt(now_);
      const double failed_share = failed / (failed + tandem_outcomes_.established.ValueAt(now_) + kPriorWeight);
      if (call.is_late || call.admission_draw < failed_share * failed_share || !HasHeadroom(*destination))
        return nullptr;
    }
    std::vector<std::pair<double, Exchange*>> candidates;
    double best_probability = 0.0;
    for (auto& [id, e] : exchanges_) {
      const double reserved = std::max(1.0, call.is_late ? kLateRedialReserve * e.total_circuits : 0.0);
      if (&e == destination || e.free_circuits - call.offer.width < reserved || !CanBeTandem(call, e)) continue;
      candidates.emplace_back(is_meshed ? SuccessProbability(call, e, *destination) : 1.0, &e);
      best_probability = std::max(best_probability, candidates.back().first);
    }
    Exchange* best = nullptr;
    std::tuple<double, double, double> best_rank;
    for (const auto& [probability, e] : candidates) {
      if (probability < kMinRelativeProbability * best_probability) continue;
      const std::tuple<double, double, double> rank{PredictedDelay(*e), -e->free_circuits, random_.Uniform()};
      if (best == nullptr || rank < best_rank) {
        best = e;
        best_rank = rank;
      }
    }
    return best;
  }

  // Sends a transit call on if a circuit is free and neither processor is overloaded, or else returns it (crankback).
  void RouteTransitCall(CallId id, Call& call, Exchange* next_exchange) {
    const bool may_send =
        call.attempts == 0 && next_exchange != nullptr && next_exchange->free_circuits >= call.offer.width;
    if (may_send && LoadReduction(*next_exchange) <= kOverloadThreshold && OwnLoadReduction() <= kOverloadThreshold &&
        TryConsumeWarmUpToken(*next_exchange))
      return SendSetUpTo(id, call, *next_exchange);
    AnswerCall(id, call, false);
  }

  // Sends, queues or answers the call: the basic procedure and its extensions.
  void RouteCall(CallId id, Call& call) {
    if (call.attempt_pending || call.established) return;
    if (call.queued_until > 0 && call.queued_until <= std::min(now_, call.resend_not_before)) RemoveFromQueue(id, call);
    Exchange* destination = FindByNumber(call.offer.destination);
    const bool is_meshed = settings_.topology == Topology::kMeshed;
    if (is_meshed && (destination == nullptr || IsOwn(*destination))) return AnswerCall(id, call, false);
    if (call.attempts >= settings_.max_attempts || IsOutOfTime(call)) return AnswerCall(id, call, call.attempts > 0);
    const bool direct_is_open =
        destination != nullptr && IsPermitted(call, *destination) && CanSendTo(call, *destination);
    if (call.offer.in_transit) return RouteTransitCall(id, call, direct_is_open ? destination : nullptr);
    if (!call.admitted) {
      if (!ShouldAdmit(call, destination)) return AnswerCall(id, call, false);
      call.admitted = true;
    }
    if (is_meshed && !direct_is_open) return AnswerCall(id, call, call.may_have_executed);
    const bool direct =
        direct_is_open && !call.needs_tandem && call.tried_exchanges.count(destination->entry.exchange) == 0;
    if (now_ < call.resend_not_before) {
      if (CanStillBeServed(call, destination, direct)) return QueueCall(id, call, call.resend_not_before);
      return AnswerCall(id, call, true);
    }
    if (direct) {
      // An overloaded exchange gets one set-up at a time, because more would only lengthen its queue.
      const bool at_limit =
          LoadReduction(*destination) > kOverloadThreshold && !destination->unanswered_set_ups.empty();
      const bool has_circuit =
          !at_limit && (destination->free_circuits < 0.0 || destination->free_circuits >= call.offer.width);
      if (has_circuit && !IsBehindQueuedCall(call, *destination) && TryConsumeWarmUpToken(*destination))
        return SendSetUpTo(id, call, *destination);
      if (has_circuit && WarmUpShare(*destination) < 1.0) return AnswerCall(id, call, false);
    }
    Exchange* tandem = SelectTandem(call, destination);
    if (tandem != nullptr && TryConsumeWarmUpToken(*tandem)) {
      ++call.tandem_attempts;
      return SendSetUpTo(id, call, *tandem);
    }
    if (call.needs_tandem && call.tandem_attempts > 0) return AnswerCall(id, call, false);
    QueueOrRefuse(id, call, destination, direct);
  }

  // Returns whether something can still serve the call: the direct group, or a tandem or pool that is wide enough and
  // may be used. A call waits (for a circuit, the resend guard, or a trial) only as long as that is so, and is answered
  // at once otherwise.
  bool CanStillBeServed(const Call& call, const Exchange* destination, bool direct) {
    return direct || std::any_of(exchanges_.begin(), exchanges_.end(), [&](auto& x) {
             return &x.second != destination && x.second.total_circuits > call.offer.width &&
                    CanBeTandem(call, x.second);
           });
  }

  void QueueCall(CallId id, Call& call, TimeUs until) {
    if (call.queued_until > 0) return;
    call.queued_until = until;
    queued_calls_.insert({-call.worth_density, id});
    SetCallTimer(id, until);
  }

  // Queues the call for a circuit while a set-up can still be established within the target delay; refuses it
  // otherwise.
  void QueueOrRefuse(CallId id, Call& call, const Exchange* destination, bool direct) {
    const double set_up_delay = destination != nullptr ? ExpectedSetUpDelay(*destination) : 0.0;
    const double max_wait = std::min(kMaxQueueWaitShare * AsDouble(TargetDelay(call)),
                                     AsDouble(TargetDelay(call)) - kSetUpDelayMargin * set_up_delay);
    const TimeUs until = call.first_offered_at + static_cast<TimeUs>(std::max(0.0, max_wait));
    const bool may_wait = call.queued_until > 0 ? now_ < call.queued_until : queued_calls_.size() < kMaxQueuedCalls;
    if (!may_wait || now_ >= until || !CanStillBeServed(call, destination, direct)) return AnswerCall(id, call, false);
    QueueCall(id, call, std::min(until, call.deadline - kAnswerMargin));
  }

  // Returns whether a queued call for the exchange has precedence. A released circuit goes to the queued call with the
  // highest worth density first; a narrower call of lower density does not overtake it.
  bool IsBehindQueuedCall(const Call& call, const Exchange& e) const {
    for (const auto& [negative_density, id] : queued_calls_) {
      if (-negative_density <= call.worth_density) return false;
      const auto found = calls_.find(id);
      if (found == calls_.end() || now_ < found->second.resend_not_before) continue;
      if (found->second.offer.destination == e.entry.number) return true;
    }
    return false;
  }

  void RouteQueuedCalls() {
    const auto queued = queued_calls_;
    for (const auto& [density, id] : queued) {
      const auto found = calls_.find(id);
      if (found != calls_.end() && found->second.queued_until > 0) RouteCall(id, found->second);
    }
  }

  // ---- admission ----

  TimeUs TargetDelay(const Call& call) const {
    const CallClass& c = ClassOf(call);
    const TimeUs target_delay = c.target_delay_us > 0 ? c.target_delay_us : c.deadline_us;
    return target_delay > 0 ? target_delay : kSecond;
  }

  // Returns whether an attempt that starts now, or after the resend guard, is too late: the time budget ends, or a
  // further attempt would start after the target delay.
  bool IsOutOfTime(const Call& call) const {
    const TimeUs at = std::max(now_, call.resend_not_before);
    return at + kAnswerMargin >= call.deadline ||
           (call.attempts > 0 && at >= call.first_offered_at + TargetDelay(call));
  }

  // Recognises the call as a redial if the last call to the same number from here was not served. The target delay of a
  // redial runs from the first attempt. Marks of redials, where available, add no further information.
  void DetectRedial(Call& call) {
    const auto first = unserved_since_.find(call.offer.number_called);
    if (call.offer.in_transit || call.offer.number_called == 0 || first == unserved_since_.end()) return;
    const TimeUs age = now_ - first->second;
    if (age > ClassOf(call).deadline_us) return;
    call.first_offered_at = first->second;
    call.is_late = AsDouble(age) > kMaxQueueWaitShare * AsDouble(TargetDelay(call));
  }

  void RecordUnserved(const Call& call) {
    if (call.offer.in_transit || call.offer.number_called == 0) return;
    if (unserved_since_.size() >= kMaxUnservedNumbers) {
      std::erase_if(unserved_since_, [this](const auto& x) { return now_ - x.second > 10 * shortest_target_delay_; });
      if (unserved_since_.size() >= kMaxUnservedNumbers) return;
    }
    unserved_since_[call.offer.number_called] = call.first_offered_at;
  }

  double WorthOf(const Call& call) const {
    return ClassOf(call).worth * (call.needs_tandem ? kTandemWorthFactor : 1.0) *
           (call.over_quota ? settings_.over_quota_worth : 1.0) * (call.is_late ? ClassOf(call).late_worth : 1.0);
  }

  // Loss control (RFC 7339) by worth: of the calls offered recently, those with the lowest worth are refused first.
  bool ShouldAdmit(const Call& call, Exchange* destination) {
    if (IsNumberGapped(call)) return false;
    if (call.is_late && destination != nullptr && !CanAdmitLateRedial(call, *destination)) return false;
    double all = 0.0, below = 0.0, equal = 0.0;
    const double worth = WorthOf(call);
    for (const auto& [w, offered] : offered_by_worth_) {
      const double n = offered.ValueAt(now_);
      all += n;
      (w < worth ? below : equal) += w <= worth ? n : 0.0;
    }
    double destination_reduction = destination != nullptr ? LoadReduction(*destination) : 0.0;
    // A caller who hangs up before a set-up can be established causes useless work for processors; such calls serve as
    // trial set-ups only.
    if (destination != nullptr && AsDouble(call.deadline - now_) < ExpectedSetUpDelay(*destination))
      destination_reduction = 1.0;
    const double reduction = 1.0 - (1.0 - destination_reduction) * (1.0 - OwnLoadReduction());
    // Share of the calls of this worth to be refused.
    const double class_reduction = equal > 0.0 ? std::clamp((reduction * all - below) / equal, 0.0, 1.0) : reduction;
    if (class_reduction <= 0.0 || call.admission_draw >= class_reduction) return true;
    // Trial set-ups are admitted at a low rate so that a recovery is noticed.
    return destination != nullptr && now_ >= destination->last_sent_at + trial_interval_ &&
           OldestUnansweredAge(*destination) < shortest_target_delay_ && OwnLoadReduction() < kOverloadThreshold;
  }

  // Returns whether a late redial may be served. It earns only a share of the worth, and the circuits it takes may be
  // missing for calls that can be on time. It therefore has to leave a part of the direct group free, or may use a
  // tandem while few calls are returned. It may harm where late calls are worth nearly as much as others.
  bool CanAdmitLateRedial(const Call& call, Exchange& to) {
    if (!HasHeadroom(to)) return false;
    if (call.needs_tandem)
      return tandem_outcomes_.failed.ValueAt(now_) <=
             kLateRedialReserve * tandem_outcomes_.established.ValueAt(now_) + kPriorWeight;
    return to.free_circuits < 0.0 || to.free_circuits - call.offer.width >= kLateRedialReserve * to.total_circuits;
  }

  // Returns whether call gapping refuses a call to this number now.
  //
  // Symptom: the lines of the called number are busy most of the time. Trial set-ups to the number are limited to one
  // per trial interval.
  bool IsNumberGapped(const Call& call) {
    const auto found = congested_numbers_.find(call.offer.number_called);
    if (call.offer.number_called == 0 || found == congested_numbers_.end()) return false;
    CalledNumber& n = found->second;
    if (n.busy.ValueAt(now_) < kMinSetUpCount || n.busy.ValueAt(now_) < n.established.ValueAt(now_)) return false;
    return now_ < n.last_sent_at + trial_interval_;
  }

  // ---- guards that enforce the protocol rules ----

  // Returns whether a set-up may be sent to the exchange: it is ready and not backed off, and a repeat is safe there.
  bool CanSendTo(const Call& call, const Exchange& e) const {
    if (e.entry.status != ExchangeStatus::kReady || now_ < e.back_off_until || now_ < own_back_off_until_) return false;
    if (!call.may_have_executed) return true;
    const CallClass& c = ClassOf(call);
    if (c.retry_semantics == RetrySemantics::kIdempotent) return true;
    if (c.retry_semantics == RetrySemantics::kAtMostOnce ||
        now_ > call.executed_attempt_sent_at + c.deduplication_window_us)
      return false;
    const auto executing = exchanges_.find(call.executing_exchange);
    if (executing == exchanges_.end()) return false;
    if (c.deduplication_scope == DeduplicationScope::kAll) return true;
    return c.deduplication_scope == DeduplicationScope::kZone ? executing->second.entry.zone == e.entry.zone
                                                              : executing->second.entry.number == e.entry.number;
  }

  // Returns whether the warm-up budget of a restarted exchange permits a set-up now, and deducts it. The budget is a
  // token bucket. Its rate is this softswitch's part of what the exchange can handle, estimated from the rate at which
  // this softswitch sends to each warmed-up exchange, times the warm-up share and a multiple that is safely under the
  // collapse multiple. With little traffic, it is this softswitch's part of one set-up per second from all.
  bool TryConsumeWarmUpToken(Exchange& e) {
    const double warm_up_share = WarmUpShare(e);
    if (warm_up_share >= 1.0) return true;
    double rate = 0.0, warm_exchanges = 1e-9;
    for (const auto& [id, other] : exchanges_) {
      if (IsOwn(other) || WarmUpShare(other) < 1.0 || other.entry.status != ExchangeStatus::kReady) continue;
      rate += other.sent_set_ups.RatePerSecond(now_);
      warm_exchanges += 1.0;
    }
    const double own_rate =
        std::max(rate / warm_exchanges, 1.0 / std::max(1, settings_.softswitch_count)) * warm_up_share;
    const double rate_multiple =
        settings_.collapse_multiple > 0.0 ? kWarmUpRateMargin * settings_.collapse_multiple : 2.0;
    e.warm_up_tokens += rate_multiple * own_rate * AsDouble(now_ - e.warm_up_tokens_at) / AsDouble(kSecond);
    // Two calls may arrive close together by chance: from half of the capacity on, tokens for a second set-up
    // accumulate.
    e.warm_up_tokens = std::min(std::max(1.0, 2.0 * warm_up_share), e.warm_up_tokens);
    e.warm_up_tokens_at = now_;
    if (e.warm_up_tokens < 1.0) return false;
    e.warm_up_tokens -= 1.0;
    return true;
  }

  // The only function that sends set-ups. It enforces: a single pending attempt, the resend guard, the status of the
  // exchange, and no set-up to the own exchange.
  void SendSetUpTo(CallId id, Call& call, Exchange& e) {
    if (call.attempt_pending || call.established || now_ < call.resend_not_before || IsOwn(e) || !CanSendTo(call, e))
      return;
    RemoveFromQueue(id, call);
    const TimeUs target_at = call.first_offered_at + TargetDelay(call);
    const TimeUs until = now_ < target_at ? std::min(target_at, call.deadline) : call.deadline;
    call.attempt_pending = true;
    call.tried_exchanges.insert(e.entry.exchange);
    ++call.attempts;
    sent_at_[{id, call.attempts - 1}] = now_;
    e.unanswered_set_ups.insert({now_, id});
    e.last_sent_at = now_;
    e.sent_set_ups.Add(now_, 1.0);
    if (e.free_circuits > 0.0) e.free_circuits = std::max(0.0, e.free_circuits - call.offer.width);
    if (call.offer.number_called != 0) {
      const auto number = congested_numbers_.find(call.offer.number_called);
      if (number != congested_numbers_.end()) number->second.last_sent_at = now_;
    }
    actions_->push_back(SendSetUp{id, e.entry.exchange, until - now_});
  }

  // The only function that gives final answers. A refusal invites the caller to repeat the call, so it is given only if
  // a repeat is safe.
  void AnswerCall(CallId id, Call& call, bool failed) {
    if (call.attempt_pending || call.established) return;
    const CallClass& c = ClassOf(call);
    RecordUnserved(call);
    const bool may_refuse =
        !call.may_have_executed || c.retry_semantics == RetrySemantics::kIdempotent ||
        (c.retry_semantics == RetrySemantics::kDeduplicated && c.deduplication_scope == DeduplicationScope::kAll);
    if (failed || !may_refuse) {
      actions_->push_back(FailCall{id});
    } else {
      actions_->push_back(RefuseCall{id, RetryAfterFor(call)});
    }
    EraseCall(id);
  }

  // Returns the retry-after of a refusal: where callers observe it, a call refused for lack of headroom gets the
  // longest permitted time.
  TimeUs RetryAfterFor(const Call& call) {
    Exchange* to = FindByNumber(call.offer.destination);
    const bool states_retry_after =
        settings_.honours_retry_after && !call.offer.in_transit && to != nullptr && !HasHeadroom(*to);
    return states_retry_after ? settings_.max_retry_after_us : 0;
  }

  void RemoveFromQueue(CallId id, Call& call) {
    if (call.queued_until == 0) return;
    queued_calls_.erase({-call.worth_density, id});
    call.queued_until = 0;
  }

  void EraseCall(CallId id) {
    if (const auto found = calls_.find(id); found != calls_.end()) {
      RemoveFromQueue(id, found->second);
      calls_.erase(found);
    }
  }

  void SetCallTimer(CallId id, TimeUs when) { actions_->push_back(SetTimer{when > now_ ? when - now_ : 0, id}); }

  // ---- event handlers ----

  void HandleEvent(const DirectoryUpdate& update) {
    if (update.kind == DirectoryKind::kFailed) {
      if (settings_.discovery_mode == DiscoveryMode::kSubscribe) {
        const double wait = AsDouble(kSecond) * (1.0 + random_.Uniform());
        actions_->push_back(SetTimer{static_cast<TimeUs>(wait), kSubscribeTimerToken});
      }
      return;
    }
    if (update.kind != DirectoryKind::kDelta) {
      for (auto& [id, e] : exchanges_) e.entry.status = ExchangeStatus::kGone;
    }
    for (const DirectoryEntry& entry : update.entries) {
      Exchange& e = exchanges_[entry.exchange];
      if (entry.started_at_us > e.entry.started_at_us) {
        // After a restart, observations of the former process do not apply.
        e.load_reduction.Set(now_, 0.0);
        e.warm_up_tokens = random_.Uniform();  // so that the first set-ups of many softswitches do not coincide
        e.warm_up_tokens_at = now_;
        e.failed_at = 0;
        e.reported_queue = -1.0;
      }
      e.entry = entry;
    }
    exchanges_by_number_.clear();
    if (exchanges_.size() > kMaxExchanges) {
      std::erase_if(exchanges_, [](const auto& x) {
        return x.second.entry.status == ExchangeStatus::kGone && x.second.unanswered_set_ups.empty();
      });
    }
    // Select the current exchange for each number; a replacement machine takes over the number.
    const auto rank = [](const Exchange& x) {
      return std::make_pair(x.entry.status == ExchangeStatus::kReady, x.entry.started_at_us);
    };
    for (auto& [id, e] : exchanges_) {
      Exchange*& best = exchanges_by_number_[e.entry.number];
      if (best == nullptr || rank(e) > rank(*best)) best = &e;
    }
    RouteQueuedCalls();
  }

  void HandleEvent(const CallOffered& offer) {
    if (calls_.count(offer.call) > 0) return;
    Call call;
    call.offer = offer;
    if (!(call.offer.width > 0.0)) call.offer.width = 1.0;
    call.first_offered_at = now_;
    call.deadline = now_ + offer.budget_us;
    // A call that is read after a stall of this softswitch has waited, at most by the time that its budget falls short
    // of the longest budget of its class.
    if (!offer.in_transit) {
      TimeUs& max_budget = max_budget_by_class_[offer.call_class];
      max_budget = std::max(max_budget, offer.budget_us);
      if (now_ == stall_ended_at_) call.first_offered_at -= std::min(max_budget - offer.budget_us, stall_duration_);
      call.is_late = AsDouble(now_ - call.first_offered_at) > kMaxQueueWaitShare * AsDouble(TargetDelay(call));
    }
    DetectRedial(call);
    // All attempts of a caller share one random draw; otherwise, a dozen redials would get a dozen draws.
    call.admission_draw = offer.number_called == 0
                              ? random_.Uniform()
                              : Random(seed_ ^ offer.number_called ^ call.first_offered_at << 20U).Uniform();
    const auto customer = static_cast<std::size_t>(offer.customer);
    if (!offer.in_transit && customer < customer_rates_.size()) {
      customer_rates_[customer].Add(now_, 1.0);
      const double quota = settings_.customers[customer].quota_per_s / std::max(1, settings_.softswitch_count);
      call.over_quota = quota > 0.0 && random_.Uniform() * customer_rates_[customer].RatePerSecond(now_) > quota;
    }
    // A pair of exchanges without a direct group, or with one too narrow for the call, is planned via a tandem; such a
    // call is not overflow.
    const Exchange* to = settings_.topology == Topology::kMeshed ? FindByNumber(offer.destination) : nullptr;
    call.needs_tandem =
        !offer.in_transit && to != nullptr && to->total_circuits >= 0.0 && to->total_circuits < call.offer.width;
    const double holding = std::max(1.0, AsDouble(ClassOf(call).holding_us));
    call.worth_density = WorthOf(call) / (call.offer.width * holding);
    if (!offer.in_transit)
      offered_by_worth_.try_emplace(WorthOf(call), DecayingCounter(kRateTimeConstant)).first->second.Add(now_, 1.0);
    Call& stored = calls_.emplace(offer.call, call).first->second;
    RouteCall(offer.call, stored);
  }

  // Removes the attempt from the unanswered set-ups of the exchange. Returns when it was sent, or 0 if it is unknown.
  TimeUs SettleAttempt(CallId id, int attempt, Exchange* e) {
    const auto sent = sent_at_.find({id, attempt});
    if (sent == sent_at_.end()) return 0;
    const TimeUs at = sent->second;
    if (e != nullptr) e->unanswered_set_ups.erase({at, id});
    sent_at_.erase(sent);
    return at;
  }

  void HandleEvent(const CallEstablished& event) {
    Exchange* e = FindExchange(event.exchange);
    const TimeUs sent_at = SettleAttempt(event.call, event.attempt, e);
    established_set_ups_.Add(now_, 1.0);
    const auto found = calls_.find(event.call);
    if (e == nullptr) return;
    e->last_established_sent_at = std::max(e->last_established_sent_at, sent_at);
    const bool direct = found != calls_.end() && found->second.offer.destination == e->entry.number;
    if (direct) {
      RecordSetUpDelay(*e, AsDouble(event.elapsed_us));
      e->direct_outcomes.established.Add(now_, 1.0);
    } else {
      e->recent_min_delay.Add(now_, AsDouble(event.elapsed_us));
    }
    if (found == calls_.end()) return;
    if (!direct) RecordTandemOutcome(found->second, *e, &SetUpOutcomes::established);
    RecordNumberOutcome(found->second.offer.number_called, false);
    found->second.attempt_pending = false;
    found->second.established = true;
    RouteQueuedCalls();
  }

  // Records the outcome of a call that was sent via `tandem`.
  void RecordTandemOutcome(const Call& call, Exchange& tandem, DecayingCounter SetUpOutcomes::*outcome) {
    Exchange* to = FindByNumber(call.offer.destination);
    if (to == nullptr) return;
    for (SetUpOutcomes* outcomes :
         {&to->second_leg_outcomes[tandem.entry.exchange], &tandem.tandem_outcomes, &tandem_outcomes_})
      (outcomes->*outcome).Add(now_, 1.0);
  }

  void RecordNumberOutcome(std::uint64_t number, bool busy) {
    if (number == 0) return;
    auto found = congested_numbers_.find(number);
    if (found == congested_numbers_.end()) {
      if (!busy) return;
      if (congested_numbers_.size() >= kMaxCongestedNumbers) {
        std::erase_if(congested_numbers_, [this](const auto& x) { return x.second.busy.ValueAt(now_) < 1.0; });
        if (congested_numbers_.size() >= kMaxCongestedNumbers) return;
      }
      found = congested_numbers_.emplace(number, CalledNumber{}).first;
    }
    (busy ? found->second.busy : found->second.established).Add(now_, 1.0);
  }

  void HandleEvent(const AttemptEnded& ended) {
    Exchange* e = FindExchange(ended.exchange);
    const bool is_known_attempt = sent_at_.count({ended.call, ended.attempt}) > 0;
    const TimeUs sent_at = SettleAttempt(ended.call, ended.attempt, e);
    if (e != nullptr) ProcessReport(*e, ended.report, false);
    const auto found = calls_.find(ended.call);
    Call* call = found == calls_.end() ? nullptr : &found->second;
    const bool direct = call == nullptr || e == nullptr || call->offer.destination == e->entry.number;
    if (is_known_attempt && e != nullptr) {
      LearnFromAttempt(*e, call, ended, direct, sent_at);
      LogOverload(*e);
    }
    if (call == nullptr) return;
    if (ended.terminal || call->established) {
      EraseCall(ended.call);
    } else {
      call->attempt_pending = false;
      const bool not_executed = ended.outcome == Outcome::kRejected || ended.outcome == Outcome::kConnectFailed ||
                                ended.outcome == Outcome::kNotSent;
      if (!not_executed && !call->may_have_executed) {
        call->may_have_executed = true;
        call->executing_exchange = ended.exchange;
        call->executed_attempt_sent_at = sent_at;
      }
      ContinueCall(ended.call, *call, ended, direct);
    }
    RouteQueuedCalls();
  }

  void LogOverload(Exchange& e) {
    const double reduction = LoadReduction(e);
    if (reduction <= kOverloadThreshold || (e.overload_logged_at > 0 && now_ < e.overload_logged_at + kMinLogInterval))
      return;
    e.overload_logged_at = now_;
    char text[160];
    std::snprintf(text, sizeof(text), "exchange number %d pressed: keeping back %.0f%%, delay %.0f ms, %zu unanswered",
                  e.entry.number, 100.0 * reduction, e.smoothed_delay / 1000.0, e.unanswered_set_ups.size());
    actions_->push_back(WriteLog{text});
  }

  // Symptom: consecutive lost set-ups. The exchange gets none for 1, 2, 4 ... seconds, up to the trial interval, so
  // that the queue of an overloaded processor drains even though one softswitch sees little of it. It also helps
  // against a hanging process, and may delay the detection of a quick recovery.
  void BackOff(Exchange& e, TimeUs stated_wait) {
    const TimeUs back_off = std::min(trial_interval_, kInitialBackOff << std::min(e.consecutive_losses++, 8U));
    e.back_off_until = std::max(e.back_off_until, now_ + std::max(back_off, stated_wait));
  }

  // Symptom: connections to an exchange cannot be established, and discovery does not list it as gone. Set-ups would be
  // sent until each has timed out, so none is sent for a limited back-off. Nothing else is concluded: the exchange
  // counts neither as overloaded nor as restarted, because this softswitch alone may be cut off. It helps if a machine
  // has vanished, and refuses calls for the rest of the back-off after its return.
  void BackOffUnreachable(Exchange& e) { e.back_off_until = std::max(e.back_off_until, now_ + kInitialBackOff); }

  // Draws conclusions about the exchange from the end of an attempt.
  void LearnFromAttempt(Exchange& e, Call* call, const AttemptEnded& ended, bool direct, TimeUs sent_at) {
    Exchange* overloaded = &e;
    // A set-up that ends early, because its caller is impatient, says little about the exchange.
    const double weight = std::min(1.0, AsDouble(ended.elapsed_us) / AsDouble(shortest_target_delay_));
    if (!direct && ended.outcome != Outcome::kNotSent) RecordTandemOutcome(*call, e, &SetUpOutcomes::failed);
    if (direct && call != nullptr && IsUnexplainedFailure(ended)) e.direct_outcomes.failed.Add(now_, 1.0);
    switch (ended.outcome) {
      case Outcome::kTimeout:
        // It was lost in transit, because a set-up that was sent later has been established.
        if (sent_at <= e.last_established_sent_at && sent_at > 0) break;
        if (direct && AsDouble(ended.elapsed_us) > ExpectedSetUpDelay(e))
          UpdateSmoothedDelay(e, AsDouble(ended.elapsed_us));
        lost_set_ups_.Add(now_, weight);
        AdjustReduction(e.load_reduction, (direct ? kMaxReductionSteps : 1.0) * kReductionStep * weight);
        if (direct && weight > kLossTimeoutThreshold) BackOff(e, 0);
        break;
      case Outcome::kConnectFailed:
        if (ended.cause == RejectCause::kConnectionLost) break;
        e.failed_at = now_;
        e.back_off_until = now_ + kInitialBackOff;
        break;
      case Outcome::kRejected:
        if (ended.cause == RejectCause::kCrankbackProcessorFull && call != nullptr) {
          overloaded = FindByNumber(call->offer.destination);
        } else if (ended.cause != RejectCause::kProcessorFull) {
          break;
        }
        lost_set_ups_.Add(now_, 1.0);
        if (overloaded == nullptr) break;
        AdjustReduction(overloaded->load_reduction, kMaxReductionSteps * kReductionStep);
        BackOff(*overloaded, ended.wait_us);
        break;
      case Outcome::kNotSent:
        if (ended.cause == RejectCause::kProcessorFull) {
          own_back_off_until_ = now_ + kInitialBackOff;
          own_failed_at_ = now_;
        } else if (ended.cause == RejectCause::kNoCircuit) {
          e.free_circuits = 0.0;
        }
        break;
      case Outcome::kError:
        if (ended.cause == RejectCause::kLinesBusy && call != nullptr)
          RecordNumberOutcome(call->offer.number_called, true);
        break;
      default:
        break;
    }
  }

  // Returns whether a failed direct set-up should be sent to the same exchange again.
  //
  // Symptom: set-ups to an exchange fail or break without a stated reason while others succeed: a faulty exchange,
  // answers corrupted in transit, or broken connections. A set-up that may be repeated is sent there once more while it
  // is likely to succeed. It costs useless work where the call itself causes the failure, whichever exchange handles
  // it.
  bool ShouldRepeatDirect(const Call& call, const AttemptEnded& ended) {
    Exchange* e = FindExchange(ended.exchange);
    if (!IsUnexplainedFailure(ended) || e == nullptr) return false;
    const double established = e->direct_outcomes.established.ValueAt(now_) + kPriorWeight;
    return !call.offer.in_transit && ClassOf(call).retry_semantics == RetrySemantics::kIdempotent &&
           established >= kMinRepeatSuccessShare * (established + e->direct_outcomes.failed.ValueAt(now_));
  }

  static bool IsUnexplainedFailure(const AttemptEnded& ended) {
    return ended.outcome == Outcome::kReset || (ended.outcome == Outcome::kError && ended.cause == RejectCause::kNone);
  }

  // Continues after an attempt without a final answer: with another route, the same one again, or an answer.
  void ContinueCall(CallId id, Call& call, const AttemptEnded& ended, bool direct) {
    const bool timed_out = ended.outcome == Outcome::kTimeout;
    const bool repeat = direct && ShouldRepeatDirect(call, ended);
    if (timed_out || ended.outcome == Outcome::kReset || ended.outcome == Outcome::kCancelled) {
      call.resend_not_before = now_ + settings_.resend_guard_us;
      if (call.offer.in_transit || (direct && !repeat) || timed_out) return AnswerCall(id, call, true);
    }
    if (ended.outcome == Outcome::kError && !repeat) return AnswerCall(id, call, true);
    // A connection that broke before it was open says nothing about the exchange, which has not received the set-up.
    if (repeat || ended.cause == RejectCause::kConnectionLost) call.tried_exchanges.erase(ended.exchange);
    if (ended.outcome == Outcome::kRejected && (direct || ended.cause == RejectCause::kCrankbackProcessorFull))
      return AnswerCall(id, call, false);
    if (ended.outcome == Outcome::kNotSent && ended.cause == RejectCause::kNoCircuit)
      call.tried_exchanges.erase(ended.exchange);
    RouteCall(id, call);
  }

  void HandleEvent(const CallAbandoned& event) {
    const auto found = calls_.find(event.call);
    if (found != calls_.end()) RecordUnserved(found->second);
    EraseCall(event.call);
  }

  void HandleEvent(const TimerExpired& timer) {
    if (timer.token == kSubscribeTimerToken) {
      actions_->push_back(SubscribeDirectory{true});
      return;
    }
    const auto found = calls_.find(static_cast<CallId>(timer.token));
    if (timer.token > 0xffffffffU || found == calls_.end()) return;
    Call& call = found->second;
    if (call.attempt_pending || call.established || now_ < call.resend_not_before) return;
    if (call.queued_until > 0 && now_ < call.queued_until) return;
    RouteCall(found->first, call);
  }

  void HandleEvent(const LoadReportReceived& event) {
    Exchange* e = FindExchange(event.exchange);
    if (e == nullptr) return;
    if (event.outcome == Outcome::kConnectFailed) return BackOffUnreachable(*e);
    ProcessReport(*e, event.report, event.elapsed_us == 0);
    if (event.elapsed_us == 0) RouteQueuedCalls();
  }

  const Settings settings_;
  const std::uint64_t seed_;
  Random random_;
  TimeUs now_ = 0, shortest_target_delay_ = 0, trial_interval_ = 0, own_failed_at_ = 0, own_back_off_until_ = 0;
  // Latest stall of this softswitch: silence in this time does not indicate slow exchanges.
  TimeUs stall_ended_at_ = 0, stall_duration_ = 0;
  std::map<int, TimeUs> max_budget_by_class_;
  std::vector<Action>* actions_ = nullptr;
  std::map<ExchangeId, Exchange> exchanges_;
  std::map<int, Exchange*> exchanges_by_number_;
  std::map<CallId, Call> calls_;
  std::map<std::pair<CallId, int>, TimeUs> sent_at_;  // of unanswered set-ups, by call and attempt
  std::set<std::pair<double, CallId>> queued_calls_;  // by negative worth density
  std::map<std::uint64_t, CalledNumber> congested_numbers_;
  std::map<std::uint64_t, TimeUs> unserved_since_;  // first offer of the latest unserved call, by number
  std::map<double, DecayingCounter> offered_by_worth_;
  std::vector<DecayingCounter> customer_rates_;
  // Set-ups to all exchanges.
  DecayingCounter lost_set_ups_{kPooledRateTimeConstant}, established_set_ups_{kPooledRateTimeConstant};
  SetUpOutcomes tandem_outcomes_{kRateTimeConstant};      // calls over any tandem to any destination
  double pooled_delay_ = 0.0, usual_pooled_delay_ = 0.0;  // smoothed set-up delay of all exchanges
};

CallController::CallController(const Settings& settings, std::uint64_t seed, TimeUs now, std::vector<Action>* actions)
    : impl_(std::make_unique<Impl>(settings, seed, now, actions)) {}
CallController::~CallController() = default;
CallController::CallController(CallController&&) noexcept = default;
CallController& CallController::operator=(CallController&&) noexcept = default;

void CallController::Handle(TimeUs now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}

}  // namespace croftrun
