// The decision module of croftrun. Its interface (settings, events, actions):
// include/croftrun/call_controller.h
//
// In order: constants; exchange view; call table; route choice; admission; guards; event handlers. The
// ordinary path is the one of docs/design.md; each extension says when it acts.
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

// ---- constants: times in microseconds, shares of 1 ----

constexpr TimeUs kSecond = 1'000'000;
// The design page: a reported queue counts while under this age.
constexpr TimeUs kMaxQueueReportAge = 2 * kSecond;
// "Recent" for the least set-up delay: two spans of this, so that a minimum lives 5 to 10 s.
constexpr TimeUs kDelayMinimumWindow = 5 * kSecond;
// Rates and pressures are averaged over a few seconds: the time in which traffic itself moves.
constexpr double kRateTimeConstant = 5e6, kPooledRateTimeConstant = 2e6;
// Shares of the shortest aim: up to kCalm a set-up delay is ordinary, past kPressed it threatens the aim.
constexpr double kNormalThreshold = 0.2, kOverloadThreshold = 0.35;
// Loss control steps up on a pressed set-up (more on a lost one), down by a share on a calm one.
constexpr double kReductionStep = 0.1, kMaxReductionSteps = 3.0;
constexpr double kReductionDecayFactor = 0.85, kMaxReduction = 0.95;
// Without news a cut fades at this pace, so that recovery is seen.
constexpr double kReductionTimeConstant = 8e6;
// Trial set-ups to an exchange or number that is otherwise given nothing: at most this often from here, and
// from all senders together.
constexpr TimeUs kMinTrialInterval = kSecond / 2, kMinTrialIntervalOfAll = kSecond;
// Figures of a report fade over this time: a sender of a large network hears of an exchange that seldom.
constexpr double kReportTimeConstant = 8e6;
// An exchange whose allowed rate falls under this share of its usual one is pressed.
// The usual one falls by a 64th of the gap with each report, rises at once.
constexpr double kAllowedRateDipThreshold = 0.5, kUsualValueGain = 1.0 / 64.0;
// No event for this long: the softswitch itself stood still, and answers wait to be read. Calls that are late
// by then are known by their age.
constexpr TimeUs kStallThreshold = kSecond / 4;
// An exchange that lost a set-up is given nothing for this long, twice as long after each further one in a
// row. A timeout counts from this share of the aim; a delay under so many times the pressed one ends the row.
constexpr TimeUs kInitialBackOff = kSecond;
constexpr double kLossTimeoutThreshold = 0.5, kLossResetDelayFactor = 2.0;
// The answer to the caller is given this much before the caller's time is up.
constexpr TimeUs kAnswerMargin = kSecond / 50;
// A call is held for a circuit for at most this share of its aim, and leaves time for so many set-ups.
constexpr double kMaxQueueWaitShare = 0.8, kSetUpDelayMargin = 1.5;
// Second legs are remembered for a few holding times; a tandem is a candidate while its chance is at least
// this share of the best one's. A leg never tried weighs as one try at the tandem's rate.
constexpr double kTandemTimeConstant = 40e6, kMinRelativeProbability = 0.75, kPriorWeight = 1.0;
// A tandem never tried is taken to let every second call through, with the weight of two tries.
constexpr double kTandemPriorProbability = 0.5, kTandemPriorWeight = 2.0;
// A call over a tandem is set up by three processors in place of two: its worth for the work is this share.
constexpr double kTandemWorthFactor = 2.0 / 3.0;
// Bounds of state: calls held, crowded numbers, unserved calls by number, exchanges (listed or not).
constexpr std::size_t kMaxQueuedCalls = 256, kMaxCongestedNumbers = 64, kMaxUnservedNumbers = 4096,
                      kMaxExchanges = 4096;
// A share is not trusted before this many set-ups.
constexpr double kMinSetUpCount = 2.0;
// A set-up that failed or broke is repeated there while at least this share of them stands.
constexpr double kMinRepeatSuccessShare = 0.2;
// Processors have room for more than first tries on their own groups while the set-up delay of all is under
// so many times its usual one (which falls at once and rises by kUsualEase of the gap, as above reversed).
constexpr double kHeadroomDelayFactor = 1.5;
// A late redial leaves this share of a group to calls that can still be in time, and goes over a tandem only
// while turn-backs are under this share of what stood so.
constexpr double kLateRedialReserve = 0.25;
// A cold exchange is sent at most this share of what would push it over.
constexpr double kWarmUpRateMargin = 2.0 / 3.0;
// Weight of the newest delay in a smoothed one, of one exchange and of all.
constexpr double kDelayGain = 0.4, kPooledDelayGain = 0.1;
// The log says of one exchange at most once in this time that it is pressed.
constexpr TimeUs kMinLogInterval = 10 * kSecond;
constexpr std::uint64_t kSubscribeTimerToken = std::uint64_t{1} << 40;

double AsDouble(TimeUs value) { return static_cast<double>(value); }

// SplitMix64: the whole of the module's randomness, from the instance's seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  double Uniform() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return static_cast<double>((z ^ (z >> 31U)) >> 11U) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

// A count that fades: its value over tau is a rate.
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

// The least value of the last span heard in and the one before; 0 while never heard.
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

// What became of calls sent over a tandem.
struct SetUpOutcomes {
  explicit SetUpOutcomes(double time_constant = kTandemTimeConstant)
      : established(time_constant), failed(time_constant) {}
  DecayingCounter established, failed;
};

// ---- exchange view ----

struct Exchange {
  DirectoryEntry entry;
  // Circuits of the own group; -1 while never told.
  double free_circuits = -1.0;
  double total_circuits = -1.0;
  // Reports, each with its time.
  double reported_queue = -1.0;
  TimeUs queue_reported_at = 0;
  DecayingCounter reported_reduction{kReportTimeConstant};
  DecayingCounter allowed_rate_reduction{kReportTimeConstant};
  double usual_allowed_rate = 0.0;
  // What is seen from here.
  std::set<std::pair<TimeUs, CallId>> unanswered_set_ups;
  RecentMinimum recent_min_delay;
  double smoothed_delay = 0.0;  // smoothed set-up delay, direct set-ups only
  TimeUs delay_updated_at = 0;
  DecayingCounter load_reduction{kReductionTimeConstant};  // own loss control
  TimeUs back_off_until = 0;
  unsigned consecutive_losses = 0;  // in a row
  TimeUs last_sent_at = 0;
  TimeUs last_established_sent_at = 0;  // when the latest set-up was sent that stood
  TimeUs failed_at = 0;                 // a failed connect or a death noticed from here: its start, if it is back
  DecayingCounter sent_set_ups{kRateTimeConstant};
  SetUpOutcomes direct_outcomes{kRateTimeConstant};         // set-ups to it that stood, failed or broke
  SetUpOutcomes tandem_outcomes;                            // over this tandem, wherever to
  std::map<ExchangeId, SetUpOutcomes> second_leg_outcomes;  // to this destination, by tandem
  double warm_up_tokens = 1.0;
  TimeUs warm_up_tokens_at = 0;
  TimeUs overload_logged_at = 0;
};

// ---- call table ----

struct Call {
  CallOffered offer;
  TimeUs first_offered_at = 0;  // of the first try
  TimeUs deadline = 0;          // of this try
  bool is_late = false;         // a redial that cannot stand within the aim any more
  double worth_density = 0.0;   // worth for a circuit and second
  bool over_quota = false;
  double admission_draw = 0.0;  // admitted if this is over the share kept back
  bool needs_tandem = false;    // over a tandem: no group of its own, or one too narrow
  bool admitted = false;
  int attempts = 0;
  bool attempt_pending = false;  // an attempt is out
  bool established = false;
  int tandem_attempts = 0;
  std::set<ExchangeId> tried_exchanges;
  TimeUs resend_not_before = 0;  // release wait
  TimeUs queued_until = 0;       // 0: not held
  // The earliest attempt that may have run.
  bool may_have_executed = false;
  ExchangeId executing_exchange = 0;
  TimeUs executed_attempt_sent_at = 0;
};

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

  // Share of its capacity that a restarted exchange can be trusted with: the least it may start with, then
  // evenly up to the end of the longest warm-up.
  double WarmUpShare(const Exchange& e) const { return WarmUpShareSince(std::max(e.entry.since_us, e.failed_at)); }
  double WarmUpShareSince(TimeUs start) const {
    if (start == 0 || settings_.warm_up_us == 0 || now_ >= start + settings_.warm_up_us) return 1.0;
    const double elapsed_share = now_ > start ? AsDouble(now_ - start) / AsDouble(settings_.warm_up_us) : 0.0;
    return settings_.warm_up_start_share + (1.0 - settings_.warm_up_start_share) * elapsed_share;
  }

  // ActNum of the design page.
  double QueueLength(const Exchange& e) const {
    if (e.reported_queue >= 0.0 && now_ - e.queue_reported_at < kMaxQueueReportAge) return e.reported_queue;
    return static_cast<double>(e.unanswered_set_ups.size());
  }

  double PredictedDelay(const Exchange& e) const { return QueueLength(e) * e.recent_min_delay.Get(); }

  // Silence is what follows the last set-up that stood: one sent before it was lost on its way.
  // A line of set-ups is served in order; where it is not, slowness is noticed a little later.
  TimeUs OldestUnansweredAge(const Exchange& e) const {
    const auto oldest = e.unanswered_set_ups.upper_bound({e.last_established_sent_at, ~CallId{0}});
    return oldest == e.unanswered_set_ups.end() ? 0 : now_ - std::max(oldest->first, stall_ended_at_);
  }

  // One health per exchange, from its symptoms: the share of set-ups to be kept from it.
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

  // What a set-up to `e` will take: what was seen of it, and with age what was seen of all.
  double ExpectedSetUpDelay(const Exchange& e) const {
    const double own_weight =
        e.delay_updated_at == 0 ? 0.0 : std::exp(-AsDouble(now_ - e.delay_updated_at) / kReportTimeConstant);
    return own_weight * e.smoothed_delay + (1.0 - own_weight) * pooled_delay_;
  }

  // A set-up delay was seen at `e`; `elapsed` of a direct set-up.
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

  // What goes wrong with set-ups to most exchanges is the own processor's, or everyone's: evidence that is
  // too thin exchange by exchange is pooled over all.
  double OwnLoadReduction() {
    const double lost_share = lost_set_ups_.ValueAt(now_) /
                              (lost_set_ups_.ValueAt(now_) + established_set_ups_.ValueAt(now_) + kMinSetUpCount);
    const double reduction = std::clamp((lost_share - kNormalThreshold) / kNormalThreshold, 0.0, kMaxReduction);
    const Exchange* own = settings_.topology == Topology::kMeshed ? FindByNumber(settings_.own_number) : nullptr;
    return std::max(
        {reduction, own != nullptr ? 1.0 - WarmUpShare(*own) : 0.0, 1.0 - WarmUpShareSince(own_failed_at_)});
  }

  // An unasked report tells of the own group only.
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
        // The rate for all senders tells no sender its part; a dip against the usual tells of pressure.
        e.usual_allowed_rate = std::max(value, e.usual_allowed_rate + kUsualValueGain * (value - e.usual_allowed_rate));
        e.allowed_rate_reduction.Set(
            now_, std::max(0.0, 1.0 - value / (kAllowedRateDipThreshold * e.usual_allowed_rate + 1e-9)));
      }
    }
  }

  // ---- route choice ----

  const CallClass& ClassOf(const Call& call) const {
    static const CallClass kDefaultClass{};
    const auto i = static_cast<std::size_t>(call.offer.call_class);
    return i < settings_.classes.size() ? settings_.classes[i] : kDefaultClass;
  }

  bool IsPermitted(const Call& call, const Exchange& e) const {
    if (settings_.topology != Topology::kGroups) return true;
    const auto& pools = ClassOf(call).pools;
    return pools.empty() || std::find(pools.begin(), pools.end(), e.entry.number) != pools.end();
  }

  bool CanBeTandem(const Call& call, Exchange& e) {
    return call.tandem_attempts < 2 && !IsOwn(e) && IsPermitted(call, e) && CanSendTo(call, e) &&
           call.tried_exchanges.count(e.entry.exchange) == 0 &&
           (settings_.topology != Topology::kMeshed || LoadReduction(e) <= kReductionStep);
  }

  // The ranking ignores the second leg, which nobody tells: the chance that it lets a call through, from what
  // stood and what was turned back there from here; what was seen of the tandem with all destinations stands
  // in for a leg never tried, and the centre's advice counts as a call that stood.
  double SuccessProbability(const Call& call, const Exchange& tandem, const Exchange& destination) const {
    const auto probability = [this](const SetUpOutcomes& second_leg, double prior, double weight,
                                    double extra_established) {
      const double established = second_leg.established.ValueAt(now_) + extra_established;
      return (established + prior * weight) / (established + second_leg.failed.ValueAt(now_) + weight);
    };
    const double overall = probability(tandem.tandem_outcomes, kTandemPriorProbability, kTandemPriorWeight, 0.0);
    const auto second_leg = destination.second_leg_outcomes.find(tandem.entry.exchange);
    const bool advised = !call.offer.in_transit && call.offer.via == tandem.entry.number;
    return probability(second_leg == destination.second_leg_outcomes.end() ? SetUpOutcomes{} : second_leg->second,
                       overall, kPriorWeight, advised ? 1.0 : 0.0);
  }

  // Symptom: set-ups to all take longer than usual, or are lost: queues fill, which losses tell a set-up
  // delay too late. Work beyond first tries on their own groups (overflow, late redials) is not taken on
  // then, whatever fills the queues: a peak, slow processors, a storm of redials, a stall of this
  // softswitch. May hurt where circuits are short and delays rise for another reason, such as a longer way.
  bool HasHeadroom(Exchange& to) {
    return LoadReduction(to) <= kReductionStep && OwnLoadReduction() <= kReductionStep &&
           pooled_delay_ <= kHeadroomDelayFactor * usual_pooled_delay_;
  }

  // The design's ranking among the candidates: tandems with a circuit to spare after the call and a chance
  // near the best one's. Overflow needs processors with room and a call that is not late, and is thinned to
  // the chance that one of two tandems lets it through, from the turn-backs to all destinations: to one of
  // them a sender of a large network sends too seldom. A caller has one draw: a held call is routed anew at
  // each event, and with a draw each time any thinning lets it through at last.
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

  // A transit call goes on, while a circuit is free and no processor is pressed, or is turned back.
  void RouteTransitCall(CallId id, Call& call, Exchange* next_exchange) {
    const bool may_send =
        call.attempts == 0 && next_exchange != nullptr && next_exchange->free_circuits >= call.offer.width;
    if (may_send && LoadReduction(*next_exchange) <= kOverloadThreshold && OwnLoadReduction() <= kOverloadThreshold &&
        TryConsumeWarmUpToken(*next_exchange))
      return SendSetUpTo(id, call, *next_exchange);
    AnswerCall(id, call, false);
  }

  // Sends the call on, holds it, or answers it: the ordinary path and the extensions around it.
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
      // To a pressed exchange one set-up at a time: a further one would only lengthen its queue.
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

  // A call waits (for a circuit, a release, a trial) only while something can still serve it: the direct
  // group, or a tandem or pool that is wide enough and may be sent to. Once that is gone it is answered.
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

  // Nothing has room: held for a circuit while a set-up could still stand within the aim.
  void QueueOrRefuse(CallId id, Call& call, const Exchange* destination, bool direct) {
    const double set_up_delay = destination != nullptr ? ExpectedSetUpDelay(*destination) : 0.0;
    const double max_wait = std::min(kMaxQueueWaitShare * AsDouble(TargetDelay(call)),
                                     AsDouble(TargetDelay(call)) - kSetUpDelayMargin * set_up_delay);
    const TimeUs until = call.first_offered_at + static_cast<TimeUs>(std::max(0.0, max_wait));
    const bool may_wait = call.queued_until > 0 ? now_ < call.queued_until : queued_calls_.size() < kMaxQueuedCalls;
    if (!may_wait || now_ >= until || !CanStillBeServed(call, destination, direct)) return AnswerCall(id, call, false);
    QueueCall(id, call, std::min(until, call.deadline - kAnswerMargin));
  }

  // A freed circuit goes to the held call of most worth first; a narrower one of less worth does not pass it.
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

  bool IsOutOfTime(const Call& call) const {
    const TimeUs at = std::max(now_, call.resend_not_before);
    return at + kAnswerMargin >= call.deadline ||
           (call.attempts > 0 && at >= call.first_offered_at + TargetDelay(call));
  }

  // A call to a number whose last call from here was not served is that caller's redial: its aim runs from
  // the first try. Marks, where there are any, say no more than that.
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

  // Loss control (RFC 7339) by worth: of the calls offered lately the least worth go first.
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
    // Who hangs up before a set-up can stand costs processors work for nothing: such calls get trials only.
    if (destination != nullptr && AsDouble(call.deadline - now_) < ExpectedSetUpDelay(*destination))
      destination_reduction = 1.0;
    const double reduction = 1.0 - (1.0 - destination_reduction) * (1.0 - OwnLoadReduction());
    const double class_reduction = equal > 0.0 ? std::clamp((reduction * all - below) / equal, 0.0, 1.0) : reduction;
    if (class_reduction <= 0.0 || call.admission_draw >= class_reduction) return true;
    // The trickle by which a recovery is seen.
    return destination != nullptr && now_ >= destination->last_sent_at + trial_interval_ &&
           OldestUnansweredAge(*destination) < shortest_target_delay_ && OwnLoadReduction() < kOverloadThreshold;
  }

  // A late redial earns a share of the worth, and its circuits are missed by calls that can be in time: it
  // leaves a part of the direct group, or goes over a tandem while few calls are turned back. May hurt where
  // late calls are worth nearly as much.
  bool CanAdmitLateRedial(const Call& call, Exchange& to) {
    if (!HasHeadroom(to)) return false;
    if (call.needs_tandem)
      return tandem_outcomes_.failed.ValueAt(now_) <=
             kLateRedialReserve * tandem_outcomes_.established.ValueAt(now_) + kPriorWeight;
    return to.free_circuits < 0.0 || to.free_circuits - call.offer.width >= kLateRedialReserve * to.total_circuits;
  }

  // Symptom: that number. Its lines are busy most of the time, so trials are gapped.
  bool IsNumberGapped(const Call& call) {
    const auto found = congested_numbers_.find(call.offer.number_called);
    if (call.offer.number_called == 0 || found == congested_numbers_.end()) return false;
    CalledNumber& n = found->second;
    if (n.busy.ValueAt(now_) < kMinSetUpCount || n.busy.ValueAt(now_) < n.established.ValueAt(now_)) return false;
    return now_ < n.last_sent_at + trial_interval_;
  }

  // ---- guards: the rules are kept here ----

  // Drains, and whether a repeat is legal there.
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

  // The cold budget: this sender's part of what a restarted exchange can take, from the rate at which warm
  // ones are sent to from here, times the warmth, under the multiple at which it falls over. A sender of
  // little traffic has its part of one set-up a second from all.
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
    // By chance two calls come close together: half warm and on, a sender saves up towards the second.
    e.warm_up_tokens = std::min(std::max(1.0, 2.0 * warm_up_share), e.warm_up_tokens);
    e.warm_up_tokens_at = now_;
    if (e.warm_up_tokens < 1.0) return false;
    e.warm_up_tokens -= 1.0;
    return true;
  }

  // The one path of every send. One attempt out, the release wait, the list, the own exchange: checked here.
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

  // The one path of every final answer. A refusal invites a repeat, so it is given only where one is legal.
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

  // Where callers heed it, a call refused for want of room is told to stay away as long as they will.
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
      if (entry.since_us > e.entry.since_us) {
        // A fresh start: what was learnt of the old process does not hold.
        e.load_reduction.Set(now_, 0.0);
        e.warm_up_tokens = random_.Uniform();  // the first set-ups of many senders must not come at once
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
    // The exchange that has a number now: a machine that replaced another has the same one.
    const auto rank = [](const Exchange& x) {
      return std::make_pair(x.entry.status == ExchangeStatus::kReady, x.entry.since_us);
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
    // A call read after an own stall has waited: as long as its budget is short of the longest, at most.
    if (!offer.in_transit) {
      TimeUs& max_budget = max_budget_by_class_[offer.call_class];
      max_budget = std::max(max_budget, offer.budget_us);
      if (now_ == stall_ended_at_) call.first_offered_at -= std::min(max_budget - offer.budget_us, stall_duration_);
      call.is_late = AsDouble(now_ - call.first_offered_at) > kMaxQueueWaitShare * AsDouble(TargetDelay(call));
    }
    DetectRedial(call);
    // One draw for a caller's tries: whoever dials a dozen times must not get a dozen draws.
    call.admission_draw = offer.number_called == 0
                              ? random_.Uniform()
                              : Random(seed_ ^ offer.number_called ^ call.first_offered_at << 20U).Uniform();
    const auto customer = static_cast<std::size_t>(offer.customer);
    if (!offer.in_transit && customer < customer_rates_.size()) {
      customer_rates_[customer].Add(now_, 1.0);
      const double quota = settings_.customers[customer].quota_per_s / std::max(1, settings_.softswitch_count);
      call.over_quota = quota > 0.0 && random_.Uniform() * customer_rates_[customer].RatePerSecond(now_) > quota;
    }
    // A pair without a group, or with one too narrow for the call, is planned over a tandem: its calls
    // overflow nothing.
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

  // Takes the attempt off the exchange's unanswered set-ups; returns when it was sent.
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

  // What became of a call sent over `tandem`.
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

  // Symptom: set-ups lost in a row. None follows for 1, 2, 4 ... s, up to the trial gap, so that the queue of
  // a jammed processor drains though a sender sees little of it. Serves a hang too; may harm a quick
  // recovery.
  void BackOff(Exchange& e, TimeUs stated_wait) {
    const TimeUs back_off = std::min(trial_interval_, kInitialBackOff << std::min(e.consecutive_losses++, 8U));
    e.back_off_until = std::max(e.back_off_until, now_ + std::max(back_off, stated_wait));
  }

  // Symptom: connections to an exchange do not come up, and no word of discovery. Set-ups would go on to it until each
  // has timed out; none does for a rest, which ends by itself. A suspicion tells nothing else: its processor is not
  // pressed and it is not cold for it, as it may be this softswitch alone that is cut off. Serves a machine that
  // vanished; turns calls away for a rest after it is back.
  void BackOffUnreachable(Exchange& e) { e.back_off_until = std::max(e.back_off_until, now_ + kInitialBackOff); }

  // What the end of a set-up tells of the exchange.
  void LearnFromAttempt(Exchange& e, Call* call, const AttemptEnded& ended, bool direct, TimeUs sent_at) {
    Exchange* overloaded = &e;
    // Callers of short patience end a set-up before it tells anything of the far end.
    const double weight = std::min(1.0, AsDouble(ended.elapsed_us) / AsDouble(shortest_target_delay_));
    if (!direct && ended.outcome != Outcome::kNotSent) RecordTandemOutcome(*call, e, &SetUpOutcomes::failed);
    if (direct && call != nullptr && IsUnexplainedFailure(ended)) e.direct_outcomes.failed.Add(now_, 1.0);
    switch (ended.outcome) {
      case Outcome::kTimeout:
        // Lost on its way: set-ups sent after it stood.
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

  // Symptom: set-ups to an exchange fail or break, for no reason told, while others stand: an ailing one,
  // answers spoilt on their way, connections that break. One that may be repeated goes there once more, while
  // it is likely to stand. Costs work where what fails is the call itself, whoever carries it.
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

  // The attempt is over without a final answer: another route, the same one again, or an answer.
  void ContinueCall(CallId id, Call& call, const AttemptEnded& ended, bool direct) {
    const bool timed_out = ended.outcome == Outcome::kTimeout;
    const bool repeat = direct && ShouldRepeatDirect(call, ended);
    if (timed_out || ended.outcome == Outcome::kReset || ended.outcome == Outcome::kCancelled) {
      call.resend_not_before = now_ + settings_.resend_guard_us;
      if (call.offer.in_transit || (direct && !repeat) || timed_out) return AnswerCall(id, call, true);
    }
    if (ended.outcome == Outcome::kError && !repeat) return AnswerCall(id, call, true);
    // The exchange is none the worse for a connection that broke before it was open, and it has seen nothing.
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
  TimeUs stall_ended_at_ = 0, stall_duration_ = 0;  // silence before the first, for the second, was our own
  std::map<int, TimeUs> max_budget_by_class_;       // by class
  std::vector<Action>* actions_ = nullptr;
  std::map<ExchangeId, Exchange> exchanges_;
  std::map<int, Exchange*> exchanges_by_number_;
  std::map<CallId, Call> calls_;
  std::map<std::pair<CallId, int>, TimeUs> sent_at_;
  std::set<std::pair<double, CallId>> queued_calls_;
  std::map<std::uint64_t, CalledNumber> congested_numbers_;
  std::map<std::uint64_t, TimeUs> unserved_since_;
  std::map<double, DecayingCounter> offered_by_worth_;
  std::vector<DecayingCounter> customer_rates_;
  DecayingCounter lost_set_ups_{kPooledRateTimeConstant},
      established_set_ups_{kPooledRateTimeConstant};      // set-ups to all, lost at a processor or standing
  SetUpOutcomes tandem_outcomes_{kRateTimeConstant};      // over any tandem, to any destination
  double pooled_delay_ = 0.0, usual_pooled_delay_ = 0.0;  // smoothed set-up delay to all exchanges
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
