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
constexpr TimeUs kReportFresh = 2 * kSecond;
// "Recent" for the least set-up delay: two spans of this, so that a minimum lives 5 to 10 s.
constexpr TimeUs kDelaySpan = 5 * kSecond;
// Rates and pressures are averaged over a few seconds: the time in which traffic itself moves.
constexpr double kRateTau = 5e6, kPooledTau = 2e6;
// Shares of the shortest aim: up to kCalm a set-up delay is ordinary, past kPressed it threatens the aim.
constexpr double kCalm = 0.2, kPressed = 0.35;
// Loss control steps up on a pressed set-up (more on a lost one), down by a share on a calm one.
constexpr double kCutStep = 0.1, kLostSteps = 3.0;
constexpr double kCutEase = 0.85, kCutMost = 0.95;
// Without news a cut fades at this pace, so that recovery is seen.
constexpr double kCutFadeTau = 8e6;
// Trial set-ups to an exchange or number that is otherwise given nothing: at most this often from here, and
// from all senders together.
constexpr TimeUs kTrialGap = kSecond / 2, kTrialGapOfAll = kSecond;
// Figures of a report fade over this time: a sender of a large network hears of an exchange that seldom.
constexpr double kReportTau = 8e6;
// An exchange whose allowed rate falls under this share of its usual one is pressed.
// The usual one falls by a 64th of the gap with each report, rises at once.
constexpr double kAllowedDip = 0.5, kUsualEase = 1.0 / 64.0;
// No event for this long: the softswitch itself stood still, and answers wait to be read. Calls that are late
// by then are known by their age.
constexpr TimeUs kStall = kSecond / 4;
// An exchange that lost a set-up is given nothing for this long, twice as long after each further one in a
// row. A timeout counts from this share of the aim; a delay under so many times the pressed one ends the row.
constexpr TimeUs kFullBackOff = kSecond;
constexpr double kRowWeight = 0.5, kRowEnds = 2.0;
// The answer to the caller is given this much before the caller's time is up.
constexpr TimeUs kAnswerMargin = kSecond / 50;
// A call is held for a circuit for at most this share of its aim, and leaves time for so many set-ups.
constexpr double kHoldShare = 0.8, kSetUpMargin = 1.5;
// Second legs are remembered for a few holding times; a tandem is a candidate while its chance is at least
// this share of the best one's. A leg never tried weighs as one try at the tandem's rate.
constexpr double kLegTau = 40e6, kNearBest = 0.75, kLegPrior = 1.0;
// A tandem never tried is taken to let every second call through, with the weight of two tries.
constexpr double kTandemChance = 0.5, kTandemPrior = 2.0;
// A call over a tandem is set up by three processors in place of two: its worth for the work is this share.
constexpr double kPlannedWork = 2.0 / 3.0;
// Bounds of state: calls held, crowded numbers, unserved calls by number, exchanges (listed or not).
constexpr std::size_t kMostHeld = 256, kMostNumbers = 64, kMostUnserved = 4096, kMostExchanges = 4096;
// A share is not trusted before this many set-ups.
constexpr double kFewSetUps = 2.0;
// A set-up that failed or broke is repeated there while at least this share of them stands.
constexpr double kFailsMost = 0.2;
// Processors have room for more than first tries on their own groups while the set-up delay of all is under
// so many times its usual one (which falls at once and rises by kUsualEase of the gap, as above reversed).
constexpr double kRoomy = 1.5;
// A late redial leaves this share of a group to calls that can still be in time, and goes over a tandem only
// while turn-backs are under this share of what stood so.
constexpr double kLateReserve = 0.25;
// A cold exchange is sent at most this share of what would push it over.
constexpr double kColdMargin = 2.0 / 3.0;
// Weight of the newest delay in a smoothed one, of one exchange and of all.
constexpr double kSmooth = 0.4, kSmoothPooled = 0.1;
// The log says of one exchange at most once in this time that it is pressed.
constexpr TimeUs kLogGap = 10 * kSecond;
constexpr std::uint64_t kSubscribeToken = std::uint64_t{1} << 40;

double AsDouble(TimeUs value) { return static_cast<double>(value); }

// SplitMix64: the whole of the module's randomness, from the instance's seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  double Unit() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return static_cast<double>((z ^ (z >> 31U)) >> 11U) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

// A count that fades: its value over tau is a rate.
class Fading {
 public:
  explicit Fading(double tau) : tau_(tau) {}
  double At(TimeUs now) const { return value_ * std::exp(-AsDouble(now - last_) / tau_); }
  void Add(TimeUs now, double amount) { Set(now, At(now) + amount); }
  void Set(TimeUs now, double value) {
    value_ = value;
    last_ = now;
  }
  double PerSecond(TimeUs now) const { return At(now) / tau_ * AsDouble(kSecond); }

 private:
  double tau_;
  double value_ = 0.0;
  TimeUs last_ = 0;
};

// The least value of the last span heard in and the one before; 0 while never heard.
class RecentLeast {
 public:
  void Add(TimeUs now, double value) {
    const bool rolled = now / kDelaySpan != span_;
    if (rolled) previous_ = present_;
    span_ = now / kDelaySpan;
    present_ = rolled ? value : std::min(present_.value_or(value), value);
  }
  double Get() const { return present_ ? std::min(*present_, previous_.value_or(*present_)) : 0.0; }

 private:
  TimeUs span_ = 0;
  std::optional<double> present_, previous_;
};

// What became of calls sent over a tandem.
struct Leg {
  explicit Leg(double tau = kLegTau) : stood(tau), back(tau) {}
  Fading stood, back;
};

// ---- exchange view ----

struct Exchange {
  DirectoryEntry entry;
  // Circuits of the own group; -1 while never told.
  double spare = -1.0;
  double total = -1.0;
  // Reports, each with its time.
  double queue = -1.0;
  TimeUs queue_at = 0;
  Fading reported_cut{kReportTau};
  Fading allowed_cut{kReportTau};
  double usual_allowed = 0.0;
  // What is seen from here.
  std::set<std::pair<TimeUs, CallId>> unanswered;
  RecentLeast least_delay;
  double delay = 0.0;  // smoothed set-up delay, direct set-ups only
  TimeUs heard_at = 0;
  Fading cut{kCutFadeTau};  // own loss control
  TimeUs full_until = 0;
  unsigned losses = 0;  // in a row
  TimeUs last_send = 0;
  TimeUs stood_sent = 0;  // when the latest set-up was sent that stood
  TimeUs lost_at = 0;     // a failed connect or a death noticed from here: its start, if it is back
  Fading sent{kRateTau};
  Leg direct{kRateTau};            // set-ups to it that stood, failed or broke
  Leg as_tandem;                   // over this tandem, wherever to
  std::map<ExchangeId, Leg> legs;  // to this destination, by tandem
  double cold_tokens = 1.0;
  TimeUs cold_at = 0;
  TimeUs logged_at = 0;
};

// ---- call table ----

struct Call {
  CallOffered offer;
  TimeUs arrived = 0;    // of the first try
  TimeUs deadline = 0;   // of this try
  bool late = false;     // a redial that cannot stand within the aim any more
  double density = 0.0;  // worth for a circuit and second
  bool over_quota = false;
  double draw = 0.0;     // admitted if this is over the share kept back
  bool planned = false;  // over a tandem: no group of its own, or one too narrow
  bool admitted = false;
  int attempts = 0;
  bool out = false;  // an attempt is out
  bool stands = false;
  int tandems = 0;
  std::set<ExchangeId> tried;
  TimeUs not_before = 0;  // release wait
  TimeUs hold_until = 0;  // 0: not held
  // The earliest attempt that may have run.
  bool may_have_run = false;
  ExchangeId ran_at = 0;
  TimeUs ran_sent = 0;
};

struct NumberCalled {
  Fading busy{kRateTau};
  Fading stood{kRateTau};
  TimeUs last_send = 0;
};

}  // namespace

class CallController::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed, TimeUs now, std::vector<Action>* actions)
      : settings_(settings), seed_(seed), random_(seed) {
    for (const CallClass& c : settings_.classes) {
      const TimeUs aim = c.target_delay_us > 0 ? c.target_delay_us : c.deadline_us;
      if (aim > 0) shortest_aim_ = shortest_aim_ > 0 ? std::min(shortest_aim_, aim) : aim;
    }
    if (shortest_aim_ == 0) shortest_aim_ = kSecond;
    trial_gap_ = std::max(kTrialGap, kTrialGapOfAll * static_cast<TimeUs>(std::max(1, settings.softswitch_count)));
    quota_.assign(settings_.customers.size(), Fading(kRateTau));
    actions_ = actions;
    now_ = now;
    if (settings_.discovery_mode == DiscoveryMode::kSubscribe) actions_->push_back(SubscribeDirectory{true});
  }

  void Handle(TimeUs now, const Event& event, std::vector<Action>* actions) {
    if (now > now_ + kStall) {
      awake_since_ = now;
      stood_still_ = now - now_;
    }
    now_ = now;
    actions_ = actions;
    std::visit([this](const auto& e) { On(e); }, event);
  }

 private:
  Exchange* Find(ExchangeId id) {
    const auto found = exchanges_.find(id);
    return found == exchanges_.end() ? nullptr : &found->second;
  }

  Exchange* ByNumber(int number) {
    const auto found = by_number_.find(number);
    return found == by_number_.end() ? nullptr : found->second;
  }

  bool Own(const Exchange& e) const {
    return settings_.topology == Topology::kMeshed && e.entry.number == settings_.own_number;
  }

  // Share of its capacity that a restarted exchange can be trusted with: the least it may start with, then
  // evenly up to the end of the longest warm-up.
  double Warmth(const Exchange& e) const { return WarmthSince(std::max(e.entry.since_us, e.lost_at)); }
  double WarmthSince(TimeUs start) const {
    if (start == 0 || settings_.warm_up_us == 0 || now_ >= start + settings_.warm_up_us) return 1.0;
    const double grown = now_ > start ? AsDouble(now_ - start) / AsDouble(settings_.warm_up_us) : 0.0;
    return settings_.warm_up_start_share + (1.0 - settings_.warm_up_start_share) * grown;
  }

  // ActNum of the design page.
  double ActNum(const Exchange& e) const {
    if (e.queue >= 0.0 && now_ - e.queue_at < kReportFresh) return e.queue;
    return static_cast<double>(e.unanswered.size());
  }

  double PredictedTime(const Exchange& e) const { return ActNum(e) * e.least_delay.Get(); }

  // Silence is what follows the last set-up that stood: one sent before it was lost on its way.
  // A line of set-ups is served in order; where it is not, slowness is noticed a little later.
  TimeUs OldestUnanswered(const Exchange& e) const {
    const auto oldest = e.unanswered.upper_bound({e.stood_sent, ~CallId{0}});
    return oldest == e.unanswered.end() ? 0 : now_ - std::max(oldest->first, awake_since_);
  }

  // One health per exchange, from its symptoms: the share of set-ups to be kept from it.
  double CutFor(Exchange& e) {
    const double silence = AsDouble(OldestUnanswered(e)) / AsDouble(shortest_aim_);
    return std::min(1.0, std::max({e.cut.At(now_), e.reported_cut.At(now_), e.allowed_cut.At(now_), 1.0 - Warmth(e),
                                   silence > kPressed ? silence : 0.0}));
  }

  void MoveCut(Fading& cut, double step) {
    const double present = cut.At(now_);
    cut.Set(now_, step > 0.0 ? std::min(kCutMost, present + step) : present * kCutEase);
  }

  void SmoothDelay(Exchange& e, double elapsed) {
    e.delay = e.heard_at == 0 ? elapsed : e.delay + kSmooth * (elapsed - e.delay);
    e.heard_at = now_;
    delay_ += (delay_ == 0.0 ? 1.0 : kSmoothPooled) * (elapsed - delay_);
    const double risen = usual_delay_ + kUsualEase * (delay_ - usual_delay_);
    usual_delay_ = usual_delay_ == 0.0 ? delay_ : std::min(delay_, risen);
  }

  // What a set-up to `e` will take: what was seen of it, and with age what was seen of all.
  double ExpectedDelay(const Exchange& e) const {
    const double fresh = e.heard_at == 0 ? 0.0 : std::exp(-AsDouble(now_ - e.heard_at) / kReportTau);
    return fresh * e.delay + (1.0 - fresh) * delay_;
  }

  // A set-up delay was seen at `e`; `elapsed` of a direct set-up.
  void NoteDelay(Exchange& e, double elapsed) {
    e.least_delay.Add(now_, elapsed);
    SmoothDelay(e, elapsed);
    const double slow = elapsed / (kPressed * AsDouble(shortest_aim_));
    if (slow < kRowEnds) e.losses = 0;
    if (slow > 1.0) {
      MoveCut(e.cut, kCutStep * std::min(kLostSteps, slow));
    } else if (elapsed < kCalm * AsDouble(shortest_aim_)) {
      MoveCut(e.cut, 0.0);
    }
    lost_.Add(now_, std::clamp(slow - 1.0, 0.0, 1.0));
  }

  // What goes wrong with set-ups to most exchanges is the own processor's, or everyone's: evidence that is
  // too thin exchange by exchange is pooled over all.
  double OwnCut() {
    const double lost = lost_.At(now_) / (lost_.At(now_) + stood_.At(now_) + kFewSetUps);
    const double cut = std::clamp((lost - kCalm) / kCalm, 0.0, kCutMost);
    const Exchange* own = settings_.topology == Topology::kMeshed ? ByNumber(settings_.own_number) : nullptr;
    return std::max({cut, own != nullptr ? 1.0 - Warmth(*own) : 0.0, 1.0 - WarmthSince(own_lost_at_)});
  }

  // An unasked report tells of the own group only.
  void TakeReport(Exchange& e, const std::vector<float>& report, bool unasked) {
    const std::size_t n = std::min(report.size(), settings_.report_fields.size());
    for (std::size_t i = 0; i < n; ++i) {
      const double value = static_cast<double>(report[i]);
      const ReportField field = settings_.report_fields[i];
      if (!std::isfinite(value) || value < 0.0) continue;
      if (field == ReportField::kFreeCircuits) e.spare = value;
      if (field == ReportField::kTotalCircuits) e.total = value;
      if (unasked) continue;
      if (field == ReportField::kPendingSetUps) {
        e.queue = value;
        e.queue_at = now_;
      } else if (field == ReportField::kLoadReduction) {
        e.reported_cut.Set(now_, std::min(1.0, value));
      } else if (field == ReportField::kAllowedRate) {
        // The rate for all senders tells no sender its part; a dip against the usual tells of pressure.
        e.usual_allowed = std::max(value, e.usual_allowed + kUsualEase * (value - e.usual_allowed));
        e.allowed_cut.Set(now_, std::max(0.0, 1.0 - value / (kAllowedDip * e.usual_allowed + 1e-9)));
      }
    }
  }

  // ---- route choice ----

  const CallClass& ClassOf(const Call& call) const {
    static const CallClass kPlain{};
    const auto i = static_cast<std::size_t>(call.offer.call_class);
    return i < settings_.classes.size() ? settings_.classes[i] : kPlain;
  }

  bool MayUse(const Call& call, const Exchange& e) const {
    if (settings_.topology != Topology::kGroups) return true;
    const auto& pools = ClassOf(call).pools;
    return pools.empty() || std::find(pools.begin(), pools.end(), e.entry.number) != pools.end();
  }

  bool MayBeTandem(const Call& call, Exchange& e) {
    return call.tandems < 2 && !Own(e) && MayUse(call, e) && MaySendTo(call, e) &&
           call.tried.count(e.entry.exchange) == 0 &&
           (settings_.topology != Topology::kMeshed || CutFor(e) <= kCutStep);
  }

  // The ranking ignores the second leg, which nobody tells: the chance that it lets a call through, from what
  // stood and what was turned back there from here; what was seen of the tandem with all destinations stands
  // in for a leg never tried, and the centre's advice counts as a call that stood.
  double Chance(const Call& call, const Exchange& tandem, const Exchange& destination) const {
    const auto rate = [this](const Leg& leg, double prior, double weight, double more) {
      const double stood = leg.stood.At(now_) + more;
      return (stood + prior * weight) / (stood + leg.back.At(now_) + weight);
    };
    const double any = rate(tandem.as_tandem, kTandemChance, kTandemPrior, 0.0);
    const auto leg = destination.legs.find(tandem.entry.exchange);
    const bool advised = !call.offer.in_transit && call.offer.via == tandem.entry.number;
    return rate(leg == destination.legs.end() ? Leg{} : leg->second, any, kLegPrior, advised ? 1.0 : 0.0);
  }

  // Symptom: set-ups to all take longer than usual, or are lost: queues fill, which losses tell a set-up
  // delay too late. Work beyond first tries on their own groups (overflow, late redials) is not taken on
  // then, whatever fills the queues: a peak, slow processors, a storm of redials, a stall of this
  // softswitch. May hurt where circuits are short and delays rise for another reason, such as a longer way.
  bool HasRoom(Exchange& to) {
    return CutFor(to) <= kCutStep && OwnCut() <= kCutStep && delay_ <= kRoomy * usual_delay_;
  }

  // The design's ranking among the candidates: tandems with a circuit to spare after the call and a chance
  // near the best one's. Overflow needs processors with room and a call that is not late, and is thinned to
  // the chance that one of two tandems lets it through, from the turn-backs to all destinations: to one of
  // them a sender of a large network sends too seldom. A caller has one draw: a held call is routed anew at
  // each event, and with a draw each time any thinning lets it through at last.
  Exchange* PickTandem(const Call& call, Exchange* destination) {
    const bool meshed = settings_.topology == Topology::kMeshed && destination != nullptr;
    if (meshed && !call.planned) {
      const double back = over_.back.At(now_);
      const double turned = back / (back + over_.stood.At(now_) + kLegPrior);
      if (call.late || call.draw < turned * turned || !HasRoom(*destination)) return nullptr;
    }
    std::vector<std::pair<double, Exchange*>> candidates;
    double best_chance = 0.0;
    for (auto& [id, e] : exchanges_) {
      const double kept = std::max(1.0, call.late ? kLateReserve * e.total : 0.0);
      if (&e == destination || e.spare - call.offer.width < kept || !MayBeTandem(call, e)) continue;
      candidates.emplace_back(meshed ? Chance(call, e, *destination) : 1.0, &e);
      best_chance = std::max(best_chance, candidates.back().first);
    }
    Exchange* best = nullptr;
    std::tuple<double, double, double> best_rank;
    for (const auto& [chance, e] : candidates) {
      if (chance < kNearBest * best_chance) continue;
      const std::tuple<double, double, double> rank{PredictedTime(*e), -e->spare, random_.Unit()};
      if (best == nullptr || rank < best_rank) {
        best = e;
        best_rank = rank;
      }
    }
    return best;
  }

  // A transit call goes on, while a circuit is free and no processor is pressed, or is turned back.
  void RouteTransit(CallId id, Call& call, Exchange* onward) {
    const bool open = call.attempts == 0 && onward != nullptr && onward->spare >= call.offer.width;
    if (open && CutFor(*onward) <= kPressed && OwnCut() <= kPressed && TakeCold(*onward))
      return SendTo(id, call, *onward);
    Answer(id, call, false);
  }

  // Sends the call on, holds it, or answers it: the ordinary path and the extensions around it.
  void Route(CallId id, Call& call) {
    if (call.out || call.stands) return;
    if (call.hold_until > 0 && call.hold_until <= std::min(now_, call.not_before)) Unhold(id, call);
    Exchange* destination = ByNumber(call.offer.destination);
    const bool meshed = settings_.topology == Topology::kMeshed;
    if (meshed && (destination == nullptr || Own(*destination))) return Answer(id, call, false);
    if (call.attempts >= settings_.max_attempts || LateAnyway(call)) return Answer(id, call, call.attempts > 0);
    const bool direct_open = destination != nullptr && MayUse(call, *destination) && MaySendTo(call, *destination);
    if (call.offer.in_transit) return RouteTransit(id, call, direct_open ? destination : nullptr);
    if (!call.admitted) {
      if (!Admit(call, destination)) return Answer(id, call, false);
      call.admitted = true;
    }
    if (meshed && !direct_open) return Answer(id, call, call.may_have_run);
    const bool direct = direct_open && !call.planned && call.tried.count(destination->entry.exchange) == 0;
    if (now_ < call.not_before) {
      if (CanStillServe(call, destination, direct)) return Hold(id, call, call.not_before);
      return Answer(id, call, true);
    }
    if (direct) {
      // To a pressed exchange one set-up at a time: a further one would only lengthen its queue.
      const bool busy = CutFor(*destination) > kPressed && !destination->unanswered.empty();
      const bool room = !busy && (destination->spare < 0.0 || destination->spare >= call.offer.width);
      if (room && !WaitsBehind(call, *destination) && TakeCold(*destination)) return SendTo(id, call, *destination);
      if (room && Warmth(*destination) < 1.0) return Answer(id, call, false);
    }
    Exchange* tandem = PickTandem(call, destination);
    if (tandem != nullptr && TakeCold(*tandem)) {
      ++call.tandems;
      return SendTo(id, call, *tandem);
    }
    if (call.planned && call.tandems > 0) return Answer(id, call, false);
    HoldOrRefuse(id, call, destination, direct);
  }

  // A call waits (for a circuit, a release, a trial) only while something can still serve it: the direct
  // group, or a tandem or pool that is wide enough and may be sent to. Once that is gone it is answered.
  bool CanStillServe(const Call& call, const Exchange* destination, bool direct) {
    return direct || std::any_of(exchanges_.begin(), exchanges_.end(), [&](auto& x) {
             return &x.second != destination && x.second.total > call.offer.width && MayBeTandem(call, x.second);
           });
  }

  void Hold(CallId id, Call& call, TimeUs until) {
    if (call.hold_until > 0) return;
    call.hold_until = until;
    held_.insert({-call.density, id});
    WakeAt(id, until);
  }

  // Nothing has room: held for a circuit while a set-up could still stand within the aim.
  void HoldOrRefuse(CallId id, Call& call, const Exchange* destination, bool direct) {
    const double set_up = destination != nullptr ? ExpectedDelay(*destination) : 0.0;
    const double longest = std::min(kHoldShare * AsDouble(Aim(call)), AsDouble(Aim(call)) - kSetUpMargin * set_up);
    const TimeUs until = call.arrived + static_cast<TimeUs>(std::max(0.0, longest));
    const bool waits = call.hold_until > 0 ? now_ < call.hold_until : held_.size() < kMostHeld;
    if (!waits || now_ >= until || !CanStillServe(call, destination, direct)) return Answer(id, call, false);
    Hold(id, call, std::min(until, call.deadline - kAnswerMargin));
  }

  // A freed circuit goes to the held call of most worth first; a narrower one of less worth does not pass it.
  bool WaitsBehind(const Call& call, const Exchange& e) const {
    for (const auto& [negative_density, id] : held_) {
      if (-negative_density <= call.density) return false;
      const auto found = calls_.find(id);
      if (found == calls_.end() || now_ < found->second.not_before) continue;
      if (found->second.offer.destination == e.entry.number) return true;
    }
    return false;
  }

  void RouteHeld() {
    const auto held = held_;
    for (const auto& [density, id] : held) {
      const auto found = calls_.find(id);
      if (found != calls_.end() && found->second.hold_until > 0) Route(id, found->second);
    }
  }

  // ---- admission ----

  TimeUs Aim(const Call& call) const {
    const CallClass& c = ClassOf(call);
    const TimeUs aim = c.target_delay_us > 0 ? c.target_delay_us : c.deadline_us;
    return aim > 0 ? aim : kSecond;
  }

  bool LateAnyway(const Call& call) const {
    const TimeUs at = std::max(now_, call.not_before);
    return at + kAnswerMargin >= call.deadline || (call.attempts > 0 && at >= call.arrived + Aim(call));
  }

  // A call to a number whose last call from here was not served is that caller's redial: its aim runs from
  // the first try. Marks, where there are any, say no more than that.
  void NoteRedial(Call& call) {
    const auto first = unserved_.find(call.offer.number_called);
    if (call.offer.in_transit || call.offer.number_called == 0 || first == unserved_.end()) return;
    const TimeUs age = now_ - first->second;
    if (age > ClassOf(call).deadline_us) return;
    call.arrived = first->second;
    call.late = AsDouble(age) > kHoldShare * AsDouble(Aim(call));
  }

  void RememberUnserved(const Call& call) {
    if (call.offer.in_transit || call.offer.number_called == 0) return;
    if (unserved_.size() >= kMostUnserved) {
      std::erase_if(unserved_, [this](const auto& x) { return now_ - x.second > 10 * shortest_aim_; });
      if (unserved_.size() >= kMostUnserved) return;
    }
    unserved_[call.offer.number_called] = call.arrived;
  }

  double Worth(const Call& call) const {
    return ClassOf(call).worth * (call.planned ? kPlannedWork : 1.0) *
           (call.over_quota ? settings_.over_quota_worth : 1.0) * (call.late ? ClassOf(call).late_worth : 1.0);
  }

  // Loss control (RFC 7339) by worth: of the calls offered lately the least worth go first.
  bool Admit(const Call& call, Exchange* destination) {
    if (NumberCrowded(call)) return false;
    if (call.late && destination != nullptr && !LateMayPass(call, *destination)) return false;
    double all = 0.0, below = 0.0, equal = 0.0;
    const double worth = Worth(call);
    for (const auto& [w, offered] : offered_) {
      const double n = offered.At(now_);
      all += n;
      (w < worth ? below : equal) += w <= worth ? n : 0.0;
    }
    double far = destination != nullptr ? CutFor(*destination) : 0.0;
    // Who hangs up before a set-up can stand costs processors work for nothing: such calls get trials only.
    if (destination != nullptr && AsDouble(call.deadline - now_) < ExpectedDelay(*destination)) far = 1.0;
    const double cut = 1.0 - (1.0 - far) * (1.0 - OwnCut());
    const double from_mine = equal > 0.0 ? std::clamp((cut * all - below) / equal, 0.0, 1.0) : cut;
    if (from_mine <= 0.0 || call.draw >= from_mine) return true;
    // The trickle by which a recovery is seen.
    return destination != nullptr && now_ >= destination->last_send + trial_gap_ &&
           OldestUnanswered(*destination) < shortest_aim_ && OwnCut() < kPressed;
  }

  // A late redial earns a share of the worth, and its circuits are missed by calls that can be in time: it
  // leaves a part of the direct group, or goes over a tandem while few calls are turned back. May hurt where
  // late calls are worth nearly as much.
  bool LateMayPass(const Call& call, Exchange& to) {
    if (!HasRoom(to)) return false;
    if (call.planned) return over_.back.At(now_) <= kLateReserve * over_.stood.At(now_) + kLegPrior;
    return to.spare < 0.0 || to.spare - call.offer.width >= kLateReserve * to.total;
  }

  // Symptom: that number. Its lines are busy most of the time, so trials are gapped.
  bool NumberCrowded(const Call& call) {
    const auto found = numbers_.find(call.offer.number_called);
    if (call.offer.number_called == 0 || found == numbers_.end()) return false;
    NumberCalled& n = found->second;
    if (n.busy.At(now_) < kFewSetUps || n.busy.At(now_) < n.stood.At(now_)) return false;
    return now_ < n.last_send + trial_gap_;
  }

  // ---- guards: the rules are kept here ----

  // Drains, and whether a repeat is legal there.
  bool MaySendTo(const Call& call, const Exchange& e) const {
    if (e.entry.status != ExchangeStatus::kReady || now_ < e.full_until || now_ < own_down_until_) return false;
    if (!call.may_have_run) return true;
    const CallClass& c = ClassOf(call);
    if (c.retry_semantics == RetrySemantics::kIdempotent) return true;
    if (c.retry_semantics == RetrySemantics::kAtMostOnce || now_ > call.ran_sent + c.deduplication_window_us)
      return false;
    const auto ran = exchanges_.find(call.ran_at);
    if (ran == exchanges_.end()) return false;
    if (c.deduplication_scope == DeduplicationScope::kAll) return true;
    return c.deduplication_scope == DeduplicationScope::kZone ? ran->second.entry.zone == e.entry.zone
                                                              : ran->second.entry.number == e.entry.number;
  }

  // The cold budget: this sender's part of what a restarted exchange can take, from the rate at which warm
  // ones are sent to from here, times the warmth, under the multiple at which it falls over. A sender of
  // little traffic has its part of one set-up a second from all.
  bool TakeCold(Exchange& e) {
    const double warmth = Warmth(e);
    if (warmth >= 1.0) return true;
    double rate = 0.0, warm = 1e-9;
    for (const auto& [id, other] : exchanges_) {
      if (Own(other) || Warmth(other) < 1.0 || other.entry.status != ExchangeStatus::kReady) continue;
      rate += other.sent.PerSecond(now_);
      warm += 1.0;
    }
    const double part = std::max(rate / warm, 1.0 / std::max(1, settings_.softswitch_count)) * warmth;
    const double multiple = settings_.collapse_multiple > 0.0 ? kColdMargin * settings_.collapse_multiple : 2.0;
    e.cold_tokens += multiple * part * AsDouble(now_ - e.cold_at) / AsDouble(kSecond);
    // By chance two calls come close together: half warm and on, a sender saves up towards the second.
    e.cold_tokens = std::min(std::max(1.0, 2.0 * warmth), e.cold_tokens);
    e.cold_at = now_;
    if (e.cold_tokens < 1.0) return false;
    e.cold_tokens -= 1.0;
    return true;
  }

  // The one path of every send. One attempt out, the release wait, the list, the own exchange: checked here.
  void SendTo(CallId id, Call& call, Exchange& e) {
    if (call.out || call.stands || now_ < call.not_before || Own(e) || !MaySendTo(call, e)) return;
    Unhold(id, call);
    const TimeUs aim_at = call.arrived + Aim(call);
    const TimeUs until = now_ < aim_at ? std::min(aim_at, call.deadline) : call.deadline;
    call.out = true;
    call.tried.insert(e.entry.exchange);
    ++call.attempts;
    sends_[{id, call.attempts - 1}] = now_;
    e.unanswered.insert({now_, id});
    e.last_send = now_;
    e.sent.Add(now_, 1.0);
    if (e.spare > 0.0) e.spare = std::max(0.0, e.spare - call.offer.width);
    if (call.offer.number_called != 0) {
      const auto number = numbers_.find(call.offer.number_called);
      if (number != numbers_.end()) number->second.last_send = now_;
    }
    actions_->push_back(SendSetUp{id, e.entry.exchange, until - now_});
  }

  // The one path of every final answer. A refusal invites a repeat, so it is given only where one is legal.
  void Answer(CallId id, Call& call, bool failed) {
    if (call.out || call.stands) return;
    const CallClass& c = ClassOf(call);
    RememberUnserved(call);
    const bool refusable =
        !call.may_have_run || c.retry_semantics == RetrySemantics::kIdempotent ||
        (c.retry_semantics == RetrySemantics::kDeduplicated && c.deduplication_scope == DeduplicationScope::kAll);
    if (failed || !refusable) {
      actions_->push_back(FailCall{id});
    } else {
      actions_->push_back(RefuseCall{id, PauseFor(call)});
    }
    Forget(id);
  }

  // Where callers heed it, a call refused for want of room is told to stay away as long as they will.
  TimeUs PauseFor(const Call& call) {
    Exchange* to = ByNumber(call.offer.destination);
    const bool asks = settings_.honours_retry_after && !call.offer.in_transit && to != nullptr && !HasRoom(*to);
    return asks ? settings_.max_retry_after_us : 0;
  }

  void Unhold(CallId id, Call& call) {
    if (call.hold_until == 0) return;
    held_.erase({-call.density, id});
    call.hold_until = 0;
  }

  void Forget(CallId id) {
    if (const auto found = calls_.find(id); found != calls_.end()) {
      Unhold(id, found->second);
      calls_.erase(found);
    }
  }

  void WakeAt(CallId id, TimeUs when) { actions_->push_back(SetTimer{when > now_ ? when - now_ : 0, id}); }

  // ---- event handlers ----

  void On(const DirectoryUpdate& update) {
    if (update.kind == DirectoryKind::kFailed) {
      if (settings_.discovery_mode == DiscoveryMode::kSubscribe) {
        const double wait = AsDouble(kSecond) * (1.0 + random_.Unit());
        actions_->push_back(SetTimer{static_cast<TimeUs>(wait), kSubscribeToken});
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
        e.cut.Set(now_, 0.0);
        e.cold_tokens = random_.Unit();  // the first set-ups of many senders must not come at once
        e.cold_at = now_;
        e.lost_at = 0;
        e.queue = -1.0;
      }
      e.entry = entry;
    }
    by_number_.clear();
    if (exchanges_.size() > kMostExchanges) {
      std::erase_if(exchanges_, [](const auto& x) {
        return x.second.entry.status == ExchangeStatus::kGone && x.second.unanswered.empty();
      });
    }
    // The exchange that has a number now: a machine that replaced another has the same one.
    const auto rank = [](const Exchange& x) {
      return std::make_pair(x.entry.status == ExchangeStatus::kReady, x.entry.since_us);
    };
    for (auto& [id, e] : exchanges_) {
      Exchange*& best = by_number_[e.entry.number];
      if (best == nullptr || rank(e) > rank(*best)) best = &e;
    }
    RouteHeld();
  }

  void On(const CallOffered& offer) {
    if (calls_.count(offer.call) > 0) return;
    Call call;
    call.offer = offer;
    if (!(call.offer.width > 0.0)) call.offer.width = 1.0;
    call.arrived = now_;
    call.deadline = now_ + offer.budget_us;
    // A call read after an own stall has waited: as long as its budget is short of the longest, at most.
    if (!offer.in_transit) {
      TimeUs& longest = longest_budget_[offer.call_class];
      longest = std::max(longest, offer.budget_us);
      if (now_ == awake_since_) call.arrived -= std::min(longest - offer.budget_us, stood_still_);
      call.late = AsDouble(now_ - call.arrived) > kHoldShare * AsDouble(Aim(call));
    }
    NoteRedial(call);
    // One draw for a caller's tries: whoever dials a dozen times must not get a dozen draws.
    call.draw =
        offer.number_called == 0 ? random_.Unit() : Random(seed_ ^ offer.number_called ^ call.arrived << 20U).Unit();
    const auto customer = static_cast<std::size_t>(offer.customer);
    if (!offer.in_transit && customer < quota_.size()) {
      quota_[customer].Add(now_, 1.0);
      const double quota = settings_.customers[customer].quota_per_s / std::max(1, settings_.softswitch_count);
      call.over_quota = quota > 0.0 && random_.Unit() * quota_[customer].PerSecond(now_) > quota;
    }
    // A pair without a group, or with one too narrow for the call, is planned over a tandem: its calls
    // overflow nothing.
    const Exchange* to = settings_.topology == Topology::kMeshed ? ByNumber(offer.destination) : nullptr;
    call.planned = !offer.in_transit && to != nullptr && to->total >= 0.0 && to->total < call.offer.width;
    const double holding = std::max(1.0, AsDouble(ClassOf(call).holding_us));
    call.density = Worth(call) / (call.offer.width * holding);
    if (!offer.in_transit) offered_.try_emplace(Worth(call), Fading(kRateTau)).first->second.Add(now_, 1.0);
    Call& kept = calls_.emplace(offer.call, call).first->second;
    Route(offer.call, kept);
  }

  // Takes the attempt off the exchange's unanswered set-ups; returns when it was sent.
  TimeUs Settle(CallId id, int attempt, Exchange* e) {
    const auto sent = sends_.find({id, attempt});
    if (sent == sends_.end()) return 0;
    const TimeUs at = sent->second;
    if (e != nullptr) e->unanswered.erase({at, id});
    sends_.erase(sent);
    return at;
  }

  void On(const CallEstablished& stands) {
    Exchange* e = Find(stands.exchange);
    const TimeUs sent_at = Settle(stands.call, stands.attempt, e);
    stood_.Add(now_, 1.0);
    const auto found = calls_.find(stands.call);
    if (e == nullptr) return;
    e->stood_sent = std::max(e->stood_sent, sent_at);
    const bool direct = found != calls_.end() && found->second.offer.destination == e->entry.number;
    if (direct) {
      NoteDelay(*e, AsDouble(stands.elapsed_us));
      e->direct.stood.Add(now_, 1.0);
    } else {
      e->least_delay.Add(now_, AsDouble(stands.elapsed_us));
    }
    if (found == calls_.end()) return;
    if (!direct) NoteLeg(found->second, *e, &Leg::stood);
    NoteNumber(found->second.offer.number_called, false);
    found->second.out = false;
    found->second.stands = true;
    RouteHeld();
  }

  // What became of a call sent over `tandem`.
  void NoteLeg(const Call& call, Exchange& tandem, Fading Leg::*what) {
    Exchange* to = ByNumber(call.offer.destination);
    if (to == nullptr) return;
    for (Leg* leg : {&to->legs[tandem.entry.exchange], &tandem.as_tandem, &over_}) (leg->*what).Add(now_, 1.0);
  }

  void NoteNumber(std::uint64_t number, bool busy) {
    if (number == 0) return;
    auto found = numbers_.find(number);
    if (found == numbers_.end()) {
      if (!busy) return;
      if (numbers_.size() >= kMostNumbers) {
        std::erase_if(numbers_, [this](const auto& x) { return x.second.busy.At(now_) < 1.0; });
        if (numbers_.size() >= kMostNumbers) return;
      }
      found = numbers_.emplace(number, NumberCalled{}).first;
    }
    (busy ? found->second.busy : found->second.stood).Add(now_, 1.0);
  }

  void On(const AttemptEnded& ended) {
    Exchange* e = Find(ended.exchange);
    const bool set_up = sends_.count({ended.call, ended.attempt}) > 0;
    const TimeUs sent_at = Settle(ended.call, ended.attempt, e);
    if (e != nullptr) TakeReport(*e, ended.report, false);
    const auto found = calls_.find(ended.call);
    Call* call = found == calls_.end() ? nullptr : &found->second;
    const bool direct = call == nullptr || e == nullptr || call->offer.destination == e->entry.number;
    if (set_up && e != nullptr) {
      Learn(*e, call, ended, direct, sent_at);
      LogPressed(*e);
    }
    if (call == nullptr) return;
    if (ended.terminal || call->stands) {
      Forget(ended.call);
    } else {
      call->out = false;
      const bool never_ran = ended.outcome == Outcome::kRejected || ended.outcome == Outcome::kConnectFailed ||
                             ended.outcome == Outcome::kNotSent;
      if (!never_ran && !call->may_have_run) {
        call->may_have_run = true;
        call->ran_at = ended.exchange;
        call->ran_sent = sent_at;
      }
      Continue(ended.call, *call, ended, direct);
    }
    RouteHeld();
  }

  void LogPressed(Exchange& e) {
    const double cut = CutFor(e);
    if (cut <= kPressed || (e.logged_at > 0 && now_ < e.logged_at + kLogGap)) return;
    e.logged_at = now_;
    char text[160];
    std::snprintf(text, sizeof(text), "exchange number %d pressed: keeping back %.0f%%, delay %.0f ms, %zu unanswered",
                  e.entry.number, 100.0 * cut, e.delay / 1000.0, e.unanswered.size());
    actions_->push_back(WriteLog{text});
  }

  // Symptom: set-ups lost in a row. None follows for 1, 2, 4 ... s, up to the trial gap, so that the queue of
  // a jammed processor drains though a sender sees little of it. Serves a hang too; may harm a quick
  // recovery.
  void Rest(Exchange& e, TimeUs stated) {
    const TimeUs rest = std::min(trial_gap_, kFullBackOff << std::min(e.losses++, 8U));
    e.full_until = std::max(e.full_until, now_ + std::max(rest, stated));
  }

  // Symptom: connections to an exchange do not come up, and no word of discovery. Set-ups would go on to it until each
  // has timed out; none does for a rest, which ends by itself. A suspicion tells nothing else: its processor is not
  // pressed and it is not cold for it, as it may be this softswitch alone that is cut off. Serves a machine that
  // vanished; turns calls away for a rest after it is back.
  void Suspect(Exchange& e) { e.full_until = std::max(e.full_until, now_ + kFullBackOff); }

  // What the end of a set-up tells of the exchange.
  void Learn(Exchange& e, Call* call, const AttemptEnded& ended, bool direct, TimeUs sent_at) {
    Exchange* pressed = &e;
    // Callers of short patience end a set-up before it tells anything of the far end.
    const double weight = std::min(1.0, AsDouble(ended.elapsed_us) / AsDouble(shortest_aim_));
    if (!direct && ended.outcome != Outcome::kNotSent) NoteLeg(*call, e, &Leg::back);
    if (direct && call != nullptr && FailedOrBroke(ended)) e.direct.back.Add(now_, 1.0);
    switch (ended.outcome) {
      case Outcome::kTimeout:
        // Lost on its way: set-ups sent after it stood.
        if (sent_at <= e.stood_sent && sent_at > 0) break;
        if (direct && AsDouble(ended.elapsed_us) > ExpectedDelay(e)) SmoothDelay(e, AsDouble(ended.elapsed_us));
        lost_.Add(now_, weight);
        MoveCut(e.cut, (direct ? kLostSteps : 1.0) * kCutStep * weight);
        if (direct && weight > kRowWeight) Rest(e, 0);
        break;
      case Outcome::kConnectFailed:
        if (ended.cause == RejectCause::kConnectionLost) break;
        e.lost_at = now_;
        e.full_until = now_ + kFullBackOff;
        break;
      case Outcome::kRejected:
        if (ended.cause == RejectCause::kCrankbackProcessorFull && call != nullptr) {
          pressed = ByNumber(call->offer.destination);
        } else if (ended.cause != RejectCause::kProcessorFull) {
          break;
        }
        lost_.Add(now_, 1.0);
        if (pressed == nullptr) break;
        MoveCut(pressed->cut, kLostSteps * kCutStep);
        Rest(*pressed, ended.wait_us);
        break;
      case Outcome::kNotSent:
        if (ended.cause == RejectCause::kProcessorFull) {
          own_down_until_ = now_ + kFullBackOff;
          own_lost_at_ = now_;
        } else if (ended.cause == RejectCause::kNoCircuit) {
          e.spare = 0.0;
        }
        break;
      case Outcome::kError:
        if (ended.cause == RejectCause::kLinesBusy && call != nullptr) NoteNumber(call->offer.number_called, true);
        break;
      default:
        break;
    }
  }

  // Symptom: set-ups to an exchange fail or break, for no reason told, while others stand: an ailing one,
  // answers spoilt on their way, connections that break. One that may be repeated goes there once more, while
  // it is likely to stand. Costs work where what fails is the call itself, whoever carries it.
  bool FailsNowAndThen(const Call& call, const AttemptEnded& ended) {
    Exchange* e = Find(ended.exchange);
    if (!FailedOrBroke(ended) || e == nullptr) return false;
    const double stood = e->direct.stood.At(now_) + kLegPrior;
    return !call.offer.in_transit && ClassOf(call).retry_semantics == RetrySemantics::kIdempotent &&
           stood >= kFailsMost * (stood + e->direct.back.At(now_));
  }

  static bool FailedOrBroke(const AttemptEnded& ended) {
    return ended.outcome == Outcome::kReset || (ended.outcome == Outcome::kError && ended.cause == RejectCause::kNone);
  }

  // The attempt is over without a final answer: another route, the same one again, or an answer.
  void Continue(CallId id, Call& call, const AttemptEnded& ended, bool direct) {
    const bool timed_out = ended.outcome == Outcome::kTimeout;
    const bool again = direct && FailsNowAndThen(call, ended);
    if (timed_out || ended.outcome == Outcome::kReset || ended.outcome == Outcome::kCancelled) {
      call.not_before = now_ + settings_.resend_guard_us;
      if (call.offer.in_transit || (direct && !again) || timed_out) return Answer(id, call, true);
    }
    if (ended.outcome == Outcome::kError && !again) return Answer(id, call, true);
    // The exchange is none the worse for a connection that broke before it was open, and it has seen nothing.
    if (again || ended.cause == RejectCause::kConnectionLost) call.tried.erase(ended.exchange);
    if (ended.outcome == Outcome::kRejected && (direct || ended.cause == RejectCause::kCrankbackProcessorFull))
      return Answer(id, call, false);
    if (ended.outcome == Outcome::kNotSent && ended.cause == RejectCause::kNoCircuit) call.tried.erase(ended.exchange);
    Route(id, call);
  }

  void On(const CallAbandoned& gone) {
    const auto found = calls_.find(gone.call);
    if (found != calls_.end()) RememberUnserved(found->second);
    Forget(gone.call);
  }

  void On(const TimerExpired& timer) {
    if (timer.token == kSubscribeToken) {
      actions_->push_back(SubscribeDirectory{true});
      return;
    }
    const auto found = calls_.find(static_cast<CallId>(timer.token));
    if (timer.token > 0xffffffffU || found == calls_.end()) return;
    Call& call = found->second;
    if (call.out || call.stands || now_ < call.not_before) return;
    if (call.hold_until > 0 && now_ < call.hold_until) return;
    Route(found->first, call);
  }

  void On(const LoadReportReceived& heard) {
    Exchange* e = Find(heard.exchange);
    if (e == nullptr) return;
    if (heard.outcome == Outcome::kConnectFailed) return Suspect(*e);
    TakeReport(*e, heard.report, heard.elapsed_us == 0);
    if (heard.elapsed_us == 0) RouteHeld();
  }

  const Settings settings_;
  const std::uint64_t seed_;
  Random random_;
  TimeUs now_ = 0, shortest_aim_ = 0, trial_gap_ = 0, own_lost_at_ = 0, own_down_until_ = 0;
  TimeUs awake_since_ = 0, stood_still_ = 0;  // silence before the first, for the second, was our own
  std::map<int, TimeUs> longest_budget_;      // by class
  std::vector<Action>* actions_ = nullptr;
  std::map<ExchangeId, Exchange> exchanges_;
  std::map<int, Exchange*> by_number_;
  std::map<CallId, Call> calls_;
  std::map<std::pair<CallId, int>, TimeUs> sends_;
  std::set<std::pair<double, CallId>> held_;
  std::map<std::uint64_t, NumberCalled> numbers_;
  std::map<std::uint64_t, TimeUs> unserved_;
  std::map<double, Fading> offered_;
  std::vector<Fading> quota_;
  Fading lost_{kPooledTau}, stood_{kPooledTau};  // set-ups to all, lost at a processor or standing
  Leg over_{kRateTau};                           // over any tandem, to any destination
  double delay_ = 0.0, usual_delay_ = 0.0;       // smoothed set-up delay to all exchanges
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
