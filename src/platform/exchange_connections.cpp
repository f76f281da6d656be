#include "platform/exchange_connections.h"

#include <algorithm>
#include <cstdio>
#include <tuple>
#include <utility>

#include "platform/causes.h"
#include "platform/release_meaning.h"

namespace croftrun::platform {
namespace {

// Pauses between tries to reach an exchange again.
constexpr TimeUs kFirstPause = 20'000, kLongestPause = 1'000'000;
// Set-ups given up whose late answer is still known for what it is.
constexpr std::size_t kMostGivenUp = 2048;
// Machines that are gone whose late word is still known for what it is.
constexpr std::size_t kMostDeparted = 1024;
// Releases that wait for a connection to one exchange.
constexpr std::size_t kMostWaiting = 1024;
// Ends of calls that are not known here, or not yet: a caller may still announce the call.
constexpr std::size_t kMostEarlyEnds = 2048;
// Connections for signs of life may go beyond the limit by so many: without one, calls that stand would be given up.
constexpr std::size_t kLivenessReserve = 8;
// After a call was announced, its exchange is asked for by its last report: others are announced at the same time.
constexpr TimeUs kAnnouncedTogether = 500'000;
// An exchange lives if one of its connections spoke within this time; fresh ones to it that do not come up are not
// tried again for as long while there are others.
constexpr TimeUs kSpokeLately = 1'000'000;
// Idle connections to one exchange that are kept when one more came up for a sign of life.
constexpr std::size_t kIdleKept = 2;

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? 0 : static_cast<int>(found - names.begin());
}

}  // namespace

struct ExchangeConnections::Exchange {
  explicit Exchange(core::Runtime* runtime) : again(runtime), detector({}), check_announced(runtime) {}
  bool InDoubt() const { return detector.doubt_since() != 0; }
  ExchangeId id = 0;
  Target target;
  TimeUs since_us = 0;
  bool retired = false;  // gone, or another has its address
  std::list<std::unique_ptr<Link>> links;
  std::unordered_set<std::string> standing;  // calls that stand here
  std::string told;                          // the state of its group, as it was told last
  std::optional<std::size_t> circuits_used;  // by that, where it tells
  std::vector<std::string> waiting;          // releases for the next connection
  core::Timer again;
  TimeUs pause = 0;
  TimeUs heard_at = 0;               // octets came, or a connection opened
  TimeUs fresh_failed_at = 0;        // a connection did not come up though the exchange lives
  bool unreachable = false;          // no connection is open, and the last one tried did not open: logged once
  policy::FailureDetector detector;  // for as long as calls stand here
  std::size_t announced = 0;         // of the calls that stand here
  core::Timer check_announced;
};

class ExchangeConnections::Link final : public core::StreamHandler {
 public:
  Link(ExchangeConnections* owner, Exchange* e) : exchange(e), owner_(owner) {}

  void OnOpen() override {
    open = true;
    opened_at = owner_->runtime_->Now();
    exchange->pause = 0;
    exchange->heard_at = opened_at;
    const bool was_in_doubt = exchange->InDoubt();
    exchange->detector.OnConnectionOpened(opened_at, exchange->standing.size());
    owner_->LogDoubt(*exchange, was_in_doubt);
    owner_->LogConnection(exchange->unreachable ? core::LogLevel::kInfo : core::LogLevel::kDebug, "exchange-connected",
                          *this, std::to_string(exchange->waiting.size()) + " releases wait");
    exchange->unreachable = false;
    for (const std::string& id : std::exchange(exchange->waiting, {})) owner_->SendRelease(exchange, this, id);
    owner_->CloseSpare(exchange);
  }
  void OnBytes(std::string_view bytes) override {
    silent = false;
    heard_at = owner_->runtime_->Now();
    exchange->heard_at = heard_at;
    const bool was_in_doubt = exchange->InDoubt();
    exchange->detector.OnOctets(heard_at, opened_at);
    owner_->LogDoubt(*exchange, was_in_doubt);
    // Taking a line may end other connections, never the one it came on.
    if (reader.Feed(bytes, [this](std::string_view line) { return owner_->Take(this, line); })) return;
    ++owner_->counters_.spoilt;
    owner_->EndLink(this, LinkEnd::kSpoilt);
  }
  void OnEnd(core::StreamEnd end) override {
    constexpr LinkEnd kEnds[] = {LinkEnd::kClosed, LinkEnd::kReset, LinkEnd::kRefused, LinkEnd::kNotUpInTime};
    owner_->EndLink(this, kEnds[static_cast<std::size_t>(end)]);
  }

  Exchange* const exchange;
  std::uint64_t number = 0;  // in the log
  std::unique_ptr<core::Stream> stream;
  std::list<std::unique_ptr<Link>>::iterator place;
  TimeUs opened_at = 0, heard_at = 0;
  TimeUs tested_at = 0;  // for a sign of life
  bool open = false;
  bool for_life = false;                     // opened as a sign of life: set-ups do not wait for it
  bool silent = false;                       // a set-up was given up on it, and nothing has come since
  std::unordered_set<std::string> set_ups;   // unanswered on it
  std::unordered_set<std::string> standing;  // answered on it, and not over
  LineReader reader;

 private:
  ExchangeConnections* owner_;
};

ExchangeConnections::ExchangeConnections(const ExchangeSettings& settings, core::Runtime* runtime, core::Logger* log,
                                         core::CallCore* core)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      core_(core),
      report_reader_(settings.figures, settings.own_circuits),
      given_up_(kMostGivenUp),
      departed_(kMostDeparted),
      early_ends_(kMostEarlyEnds),
      liveness_(runtime) {
  WatchLiveness();
}

ExchangeConnections::~ExchangeConnections() = default;

std::string_view ExchangeConnections::NameOf(LinkEnd end) {
  constexpr std::string_view kNames[] = {"closed", "reset", "refused", "not up in time", "spoilt", "closed here"};
  return kNames[static_cast<std::size_t>(end)];
}

std::size_t ExchangeConnections::unreachable() const {
  return static_cast<std::size_t>(std::count_if(exchanges_.begin(), exchanges_.end(), [](const auto& item) {
    return !item.second->retired && OpenOne(*item.second) == nullptr;
  }));
}

std::size_t ExchangeConnections::standing_unreachable() const {
  std::size_t calls = 0;
  for (const auto& [id, exchange] : exchanges_) {
    if (OpenOne(*exchange) == nullptr) calls += exchange->standing.size();
  }
  return calls;
}

TimeUs ExchangeConnections::longest_silence() const {
  TimeUs longest = 0;
  for (const auto& [id, exchange] : exchanges_) {
    if (!exchange->standing.empty()) longest = std::max(longest, runtime_->Now() - exchange->heard_at);
  }
  return longest;
}

void ExchangeConnections::LogConnection(core::LogLevel level, std::string_view event, const Link& link,
                                        std::string_view detail) {
  if (!log_->IsEnabled(level)) return;
  const Target& target = link.exchange->target;
  std::string text = target.uid + " " + core::ToString(target.address) + " connection " + std::to_string(link.number);
  if (!detail.empty()) text.append(", ").append(detail);
  log_->Write(level, event, 0, text);
}

void ExchangeConnections::LogCall(std::string_view event, const Leg& leg, std::string_view detail) {
  if (!log_->IsEnabled(core::LogLevel::kDebug)) return;
  std::string text = leg.id + " attempt " + std::to_string(leg.attempt) + " at " + leg.at->target.uid;
  if (leg.link != nullptr) text += " connection " + std::to_string(leg.link->number);
  if (!detail.empty()) text.append(", ").append(detail);
  log_->Write(core::LogLevel::kDebug, event, leg.call, text);
}

ExchangeId ExchangeConnections::Find(const std::string& uid) const {
  const auto found = by_uid_.find(uid);
  if (found == by_uid_.end()) return 0;
  return exchanges_.at(found->second)->retired ? 0 : found->second;
}

TimeUs ExchangeConnections::TimeOf(std::int64_t unix_ms) const {
  if (unix_ms == 0) return 0;
  return static_cast<TimeUs>(std::max<std::int64_t>(1, unix_ms * 1000 - settings_.unix_offset_us));
}

DirectoryEntry ExchangeConnections::EntryOf(const Exchange& exchange) const {
  const Target& target = exchange.target;
  return {.exchange = exchange.id,
          .zone = IndexOf(settings_.zones, target.zone),
          .kind = IndexOf(settings_.kinds, target.kind),
          .number = target.number,
          .status = target.status,
          .rating = target.rating,
          .since_us = exchange.since_us};
}

bool ExchangeConnections::Superseded(ExchangeId before, const Target& target, TimeUs since) const {
  if (target.status == ExchangeStatus::kGone) return false;
  const auto holder = by_address_.find(target.address);
  if (holder == by_address_.end() || holder->second <= before) return false;
  // Ids are given in the order in which machines were heard of; one that came back has a later start than its
  // successor.
  const auto newer = exchanges_.find(holder->second);
  return newer != exchanges_.end() && !newer->second->retired && since <= newer->second->since_us;
}

void ExchangeConnections::OnNotice(const Notice& notice) {
  DirectoryUpdate update;
  update.kind = notice.whole ? DirectoryKind::kFull : DirectoryKind::kDelta;
  update.version = static_cast<std::uint32_t>(notice.number);
  std::vector<Exchange*> gone, restarted;
  std::unordered_set<std::string> named;
  for (const Target& target : notice.targets) {
    named.insert(target.uid);
    const TimeUs since = TimeOf(target.boot_ms);
    auto& id = by_uid_[target.uid];
    if (id == 0) {
      if (departed_.Has(target.uid) && Superseded(0, target, since)) {
        by_uid_.erase(target.uid);  // late word of one that is forgotten
        continue;
      }
      if (target.status == ExchangeStatus::kGone) {
        by_uid_.erase(target.uid);  // one that this softswitch never knew
        continue;
      }
      id = next_++;
      exchanges_[id] = std::make_unique<Exchange>(runtime_);
      exchanges_[id]->id = id;
      exchanges_[id]->heard_at = runtime_->Now();
      exchanges_[id]->detector.SettleBy(settle_by_);
    }
    Exchange& e = *exchanges_.at(id);
    if (Superseded(id, target, since)) {
      // Word of a machine whose address a newer one has by now: late, whatever it says. It takes nothing back.
      e.target.status = ExchangeStatus::kGone;
      update.entries.push_back(EntryOf(e));
      gone.push_back(&e);
      continue;
    }
    if (since > e.since_us && e.since_us != 0) restarted.push_back(&e);
    const core::Address before = e.target.address;
    e.target = target;
    if (target.status == ExchangeStatus::kGone && target.address == core::Address{}) e.target.address = before;
    e.since_us = since;
    update.entries.push_back(EntryOf(e));
    if (target.status == ExchangeStatus::kGone) {
      gone.push_back(&e);
      continue;
    }
    e.retired = false;
    const auto [holder, fresh] = by_address_.try_emplace(e.target.address, id);
    if (!fresh && holder->second != id) {
      // A new machine at the address of an old one: the old one is gone, whatever its own notice will say when.
      const auto old = exchanges_.find(holder->second);
      if (old != exchanges_.end() && old->first < id) {
        old->second->target.status = ExchangeStatus::kGone;
        update.entries.push_back(EntryOf(*old->second));
        gone.push_back(old->second.get());
      }
      holder->second = id;
    }
  }
  if (notice.whole) {
    for (auto& [id, e] : exchanges_) {
      if (named.count(e->target.uid) == 0) gone.push_back(e.get());
    }
  }
  core_->OnDirectory(update);
  for (Exchange* const e : restarted) CutAll(e, e->since_us, "started again");
  for (Exchange* const e : gone) Retire(e);
  for (auto& [id, e] : exchanges_) {
    if (!e->retired) KeepConnected(e.get());
  }
  // What is retired and holds nothing any more is forgotten.
  std::erase_if(exchanges_, [this](const auto& item) {
    Exchange& e = *item.second;
    if (!e.retired || !e.links.empty() || !e.standing.empty()) return false;
    by_uid_.erase(e.target.uid);
    departed_.Note(e.target.uid);
    return true;
  });
}

void ExchangeConnections::Retire(Exchange* exchange) {
  exchange->retired = true;
  exchange->again.Stop();
  exchange->waiting.clear();
  if (const auto holder = by_address_.find(exchange->target.address);
      holder != by_address_.end() && holder->second == exchange->id)
    by_address_.erase(holder);
  CutAll(exchange, runtime_->Now() + 1, "gone from the list");
  // Connections with a set-up out wait for its end.
  std::vector<Link*> idle;
  for (const auto& link : exchange->links) {
    if (link->set_ups.empty()) idle.push_back(link.get());
  }
  for (Link* const link : idle) EndLink(link, LinkEnd::kClosedHere);
}

void ExchangeConnections::CutAll(Exchange* exchange, TimeUs before, std::string_view why, Remains remains) {
  std::vector<std::string> ids;
  for (const std::string& id : exchange->standing) {
    if (legs_.at(id).stood_at < before) ids.push_back(id);
  }
  Cut(exchange, std::move(ids), why, remains);
}

void ExchangeConnections::Cut(Exchange* exchange, std::vector<std::string> ids, std::string_view why, Remains remains) {
  std::sort(ids.begin(), ids.end());
  if (!ids.empty()) {
    ++counters_.lost_exchanges;
    log_->Write(core::LogLevel::kInfo, "exchange-lost", 0,
                exchange->target.uid + " " + std::string(why) + ", calls cut: " + std::to_string(ids.size()) +
                    ", silent for " + std::to_string((runtime_->Now() - exchange->heard_at) / 1000) + " ms");
  }
  for (const std::string& id : ids) {
    const auto found = legs_.find(id);
    if (found == legs_.end()) continue;
    LogCall("call-cut", found->second, why);
    const Leg leg = Remove(found);
    ++counters_.cut_with_exchange;
    if (remains == Remains::kMayStand) SendRelease(exchange, nullptr, id);
    core_->OnTrunkReleased(leg.call, leg.attempt, {core::ReleaseCause::kTemporaryFailure});
  }
}

void ExchangeConnections::SettleBy(TimeUs at) {
  settle_by_ = at;
  for (const auto& [id, exchange] : exchanges_) exchange->detector.SettleBy(at);
}

void ExchangeConnections::WatchLiveness() {
  liveness_.Start(policy::kLivenessStep, [this] {
    for (const auto& [id, exchange] : exchanges_) {
      if (exchange->standing.empty() || exchange->retired) continue;
      policy::FailureDetector& detector = exchange->detector;
      const bool was_in_doubt = exchange->InDoubt();
      if (detector.denied() && exchange->circuits_used.value_or(0) >= exchange->standing.size())
        detector.OnCallsCounted(runtime_->Now());
      const bool holder_open = std::any_of(exchange->links.begin(), exchange->links.end(), [&](const auto& link) {
        return link->open && detector.IsOfHolder(link->opened_at);
      });
      const policy::LivenessAction action = detector.Next(runtime_->Now(), settings_.may_probe, holder_open);
      LogDoubt(*exchange, was_in_doubt);
      if (detector.OutOfReach(runtime_->Now())) core_->OnUnreachable(id);
      Act(exchange.get(), action);
    }
    WatchLiveness();
  });
}

void ExchangeConnections::Act(Exchange* exchange, policy::LivenessAction action) {
  const TimeUs now = runtime_->Now();
  switch (action) {
    case policy::LivenessAction::kNone:
      return;
    case policy::LivenessAction::kConnect:
      ++counters_.liveness_connects;
      OpenLink(exchange, Purpose::kSignOfLife);
      return;
    case policy::LivenessAction::kProbe:
      return ProbeForLife(LeastRecentlyTested(*exchange));
    case policy::LivenessAction::kProbeNewest:
      return ProbeForLife(OpenOne(*exchange));
    case policy::LivenessAction::kGiveUpSilent:
      ++counters_.given_up_silent;
      CutAll(exchange, now + 1, "gives no sign of life", Remains::kMayStand);
      return exchange->detector.OnGivenUp();
    case policy::LivenessAction::kGiveUpReplaced:
      return exchange->detector.denied()
                 ? GiveUpReplaced(exchange, "its circuits are free, it does not know the calls", Remains::kMayStand)
                 : GiveUpReplaced(exchange, "its process may have been replaced", Remains::kMayStand);
  }
}

ExchangeConnections::Link* ExchangeConnections::LeastRecentlyTested(const Exchange& exchange) {
  Link* best = nullptr;
  for (const auto& link : exchange.links) {
    if (!link->open || !exchange.detector.IsOfHolder(link->opened_at)) continue;
    if (best == nullptr || link->tested_at < best->tested_at) best = link.get();
  }
  return best;
}

void ExchangeConnections::ProbeForLife(Link* link) {
  if (link == nullptr) return;
  ++counters_.liveness_probes;
  link->tested_at = runtime_->Now();
  SendProbe(link);
}

policy::CircuitUse ExchangeConnections::CircuitUseOf(const Exchange& exchange, TimeUs in_question) const {
  policy::CircuitUse use{.used = *exchange.circuits_used, .standing = exchange.standing.size()};
  const TimeUs now = runtime_->Now();
  for (const std::string& id : exchange.standing) {
    const Leg& leg = legs_.at(id);
    if (leg.StoodBefore(in_question)) {
      ++use.standing_before;
      use.announced += leg.announced ? 1 : 0;
    } else if (now < leg.stood_at + policy::kCallSettles) {
      ++use.unsettled;
    }
  }
  for (const auto& link : exchange.links) use.pending += link->set_ups.size();
  return use;
}

void ExchangeConnections::CheckCircuits(const Link& link) {
  Exchange* const exchange = link.exchange;
  if (!exchange->circuits_used || exchange->standing.empty()) return;
  policy::FailureDetector& detector = exchange->detector;
  const bool was_in_doubt = exchange->InDoubt();
  // Most reports come while nothing is the matter: they are not looked at call by call.
  if (!was_in_doubt && !detector.denied() && *exchange->circuits_used >= exchange->standing.size()) return;
  const policy::CircuitUse use = CircuitUseOf(*exchange, detector.CallsInQuestion(link.opened_at));
  if (detector.OnCircuits(runtime_->Now(), link.opened_at, use))
    return GiveUpReplaced(exchange, "its process was replaced, as its circuits are free", Remains::kNothing);
  LogDoubt(*exchange, was_in_doubt);
}

void ExchangeConnections::GiveUpReplaced(Exchange* exchange, std::string_view why, Remains remains) {
  ++counters_.given_up_replaced;
  std::vector<std::string> ids;
  for (const std::string& id : exchange->standing) {
    if (legs_.at(id).StoodBefore(exchange->detector.give_up_before())) ids.push_back(id);
  }
  Cut(exchange, std::move(ids), why, remains);
  exchange->detector.OnGivenUp();
}

void ExchangeConnections::CheckAnnounced(Exchange* exchange) {
  if (exchange->announced == 0 || !exchange->circuits_used) return;
  if (!policy::DeniesMost({.used = *exchange->circuits_used,
                           .standing = exchange->standing.size(),
                           .standing_before = exchange->standing.size()}))
    return;
  std::vector<std::string> ids;
  for (const std::string& id : exchange->standing) {
    if (legs_.at(id).announced) ids.push_back(id);
  }
  Cut(exchange, std::move(ids), "its circuits are free, it does not know the calls that were announced",
      Remains::kNothing);
}

void ExchangeConnections::LogDoubt(const Exchange& exchange, bool was_in_doubt) {
  if (exchange.InDoubt() == was_in_doubt) return;
  ++(was_in_doubt ? counters_.doubts_cleared : counters_.doubts);
  log_->Write(core::LogLevel::kInfo, was_in_doubt ? "exchange-confirmed" : "exchange-doubtful", 0,
              exchange.target.uid + ", calls standing there " + std::to_string(exchange.standing.size()));
}

bool ExchangeConnections::MakeRoom(const Exchange* wanted) {
  Link* spare = nullptr;
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange.get() == wanted || exchange->links.size() < 2 || exchange->InDoubt()) continue;
    for (const auto& link : exchange->links) {
      if (!link->open || !link->set_ups.empty()) continue;
      if (spare == nullptr || link->heard_at < spare->heard_at) spare = link.get();
    }
  }
  if (spare == nullptr) return false;
  EndLink(spare, LinkEnd::kClosedHere);
  return true;
}

void ExchangeConnections::CloseSpare(Exchange* exchange) {
  // In doubt the old ones are what can end it.
  const policy::FailureDetector& detector = exchange->detector;
  if (exchange->InDoubt()) return;
  std::vector<Link*> idle;
  for (const auto& link : exchange->links) {
    if (detector.probed() && detector.IsOfHolder(link->opened_at)) continue;
    if (link->open && link->set_ups.empty()) idle.push_back(link.get());
  }
  if (idle.size() <= kIdleKept) return;
  // The least lately heard one may be forgotten at the far end. One at a time: each sign of life brings one.
  const auto stale = std::min_element(idle.begin(), idle.end() - 1, [](const Link* a, const Link* b) {
    return std::max(a->heard_at, a->opened_at) < std::max(b->heard_at, b->opened_at);
  });
  if (runtime_->Now() >= std::max((*stale)->heard_at, (*stale)->opened_at) + policy::kSignOfLifeWithin)
    EndLink(*stale, LinkEnd::kClosedHere);
}

ExchangeConnections::Link* ExchangeConnections::OpenLink(Exchange* exchange, Purpose purpose) {
  const bool for_life = purpose == Purpose::kSignOfLife;
  const std::size_t most = settings_.most_links + (for_life ? kLivenessReserve : 0);
  if (link_count_ >= most && (purpose == Purpose::kSetUp || !MakeRoom(exchange))) {
    ++counters_.no_room;
    return nullptr;
  }
  ++counters_.connects;
  ++link_count_;
  exchange->links.push_back(std::make_unique<Link>(this, exchange));
  Link* const link = exchange->links.back().get();
  link->place = std::prev(exchange->links.end());
  link->number = ++last_link_number_;
  link->for_life = for_life;
  const TimeUs within =
      for_life ? std::max(policy::kSignOfLifeWithin, settings_.connect_within_us) : settings_.connect_within_us;
  link->stream = runtime_->Connect(exchange->target.address, within, link);
  return link;
}

void ExchangeConnections::KeepConnected(Exchange* exchange) {
  if (exchange->retired || !exchange->links.empty() || exchange->again.Running()) return;
  const TimeUs pause = exchange->pause;
  exchange->pause = std::clamp(2 * pause, kFirstPause, kLongestPause);
  if (pause == 0 && OpenLink(exchange, Purpose::kKeep) != nullptr) return;
  // Also where there was no room: it is tried again.
  exchange->again.Start(std::max(pause, kFirstPause), [this, exchange] {
    if (exchange->links.empty() && OpenLink(exchange, Purpose::kKeep) == nullptr) KeepConnected(exchange);
  });
}

ExchangeConnections::Link* ExchangeConnections::LinkFor(Exchange* exchange) {
  Link* best = nullptr;
  // One on which a set-up was lost may be one behind which nobody listens any more: the others first. Not a fresh one
  // for it: where the whole way is cut that does not come up, and the module takes the exchange for one that died. Of
  // those that rest, the one heard last: a connection that rested long may be forgotten at the far end.
  const auto rank = [](const Link& link) {
    return std::make_tuple(link.silent, link.set_ups.size(), !link.open, ~std::max(link.heard_at, link.opened_at));
  };
  for (const auto& link : exchange->links) {
    if (link->for_life && !link->open) continue;
    if (best == nullptr || rank(*link) < rank(*best)) best = link.get();
  }
  if (best != nullptr && best->set_ups.empty()) return best;
  const bool fresh_fails = exchange->fresh_failed_at != 0 && runtime_->Now() < exchange->fresh_failed_at + kSpokeLately;
  if (fresh_fails && best != nullptr && best->open && !best->silent) {
    ++counters_.shared;
    return best;
  }
  const std::size_t share = settings_.most_links / std::max<std::size_t>(1, by_address_.size());
  if (!exchange->retired && exchange->links.size() < std::max<std::size_t>(1, share)) {
    if (Link* const fresh = OpenLink(exchange, Purpose::kSetUp)) return fresh;
  }
  if (best != nullptr && !best->set_ups.empty()) ++counters_.shared;
  return best;
}

bool ExchangeConnections::Lives(const Exchange& exchange) const {
  const TimeUs now = runtime_->Now();
  return std::any_of(exchange.links.begin(), exchange.links.end(), [now](const auto& link) {
    return link->open && !link->stream->PeerClosed() && now < std::max(link->heard_at, link->opened_at) + kSpokeLately;
  });
}

void ExchangeConnections::SetUp(const core::TrunkSetUp& set_up) {
  const CallId call = set_up.set.call;
  const auto found = exchanges_.find(set_up.to);
  Link* const link = found == exchanges_.end() ? nullptr : LinkFor(found->second.get());
  const std::string& id = set_up.offer->calling;
  if (link == nullptr || legs_.count(id) > 0) {
    ++counters_.never_ran;
    return core_->OnTrunkReleased(call, set_up.attempt, InfoOf(kNeverRan, core::ReleaseCause::kOutOfOrder));
  }
  Message message{.type = MessageType::kSetUp, .id = id, .description = set_up.offer->session};
  message.fields.emplace_back("class", settings_.classes.at(static_cast<std::size_t>(set_up.offer->call_class)));
  if (!set_up.offer->called.empty()) message.fields.emplace_back("key", set_up.offer->called);
  message.fields.emplace_back("left", std::to_string(set_up.budget_us / 1000));
  const std::string line = WriteMessage(message);
  if (line.empty()) {
    return core_->OnTrunkReleased(call, set_up.attempt,
                                  InfoOf({Outcome::kError, RejectCause::kNone}, core::ReleaseCause::kTemporaryFailure));
  }
  ++counters_.set_ups;
  const Leg& leg = legs_[id] = {call, set_up.attempt, found->second.get(), link, false, 0, id};
  LogCall("set-up-sent", leg, std::to_string(set_up.budget_us / 1000) + " ms left");
  ids_[call] = id;
  link->set_ups.insert(id);
  link->stream->Write(line);
}

void ExchangeConnections::Release(const core::CircuitSet& set, const core::ReleaseInfo&) {
  const auto named = ids_.find(set.call);
  if (named == ids_.end()) return;
  const Leg leg = Remove(legs_.find(named->second));
  LogCall(leg.stands ? "call-released" : "set-up-given-up", leg, "");
  if (leg.stands) {
    ++counters_.released;
  } else {
    ++counters_.given_up;
    given_up_.Note(leg.id);
    if (leg.link == nullptr) return;
    leg.link->silent = true;
    // What waits in the stream would be sent once it opens: the stream goes, if nothing else waits there.
    if (!leg.link->open && leg.link->set_ups.empty()) return EndLink(leg.link, LinkEnd::kClosedHere);
  }
  SendRelease(leg.at, leg.link, leg.id);
}

void ExchangeConnections::SendRelease(Exchange* exchange, Link* link, const std::string& id) {
  if (link == nullptr) link = OpenOne(*exchange);
  if (link == nullptr) {
    if (exchange->retired) return;
    if (exchange->waiting.size() < kMostWaiting) exchange->waiting.push_back(id);
    return KeepConnected(exchange);
  }
  link->stream->Write(WriteMessage({.type = MessageType::kRelease, .id = id, .cause = kNormal}));
}

ExchangeConnections::Leg ExchangeConnections::Remove(std::unordered_map<std::string, Leg>::iterator at) {
  Leg leg = std::move(at->second);
  legs_.erase(at);
  ids_.erase(leg.call);
  leg.at->standing.erase(leg.id);
  leg.at->announced -= leg.announced ? 1 : 0;
  if (leg.link != nullptr) {
    leg.link->set_ups.erase(leg.id);
    leg.link->standing.erase(leg.id);
  }
  return leg;
}

ExchangeConnections::Link* ExchangeConnections::OpenOne(const Exchange& exchange) {
  const auto newest =
      std::find_if(exchange.links.rbegin(), exchange.links.rend(), [](const auto& x) { return x->open; });
  return newest == exchange.links.rend() ? nullptr : newest->get();
}

void ExchangeConnections::ProbeExchange(ExchangeId exchange) {
  const auto found = exchanges_.find(exchange);
  Link* const link = found == exchanges_.end() ? nullptr : OpenOne(*found->second);
  if (link == nullptr) return core_->OnProbeEnded(exchange, Outcome::kConnectFailed, 1, {});
  SendProbe(link);
}

void ExchangeConnections::SendProbe(Link* link) {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(runtime_->Random()));
  if (probes_.size() > 256) probes_.clear();
  probes_[digits] = {link->exchange->id, runtime_->Now()};
  link->stream->Write(WriteMessage({.type = MessageType::kTest, .id = digits, .cause = 0}));
}

void ExchangeConnections::Adopt(CallId call, const std::string& id, ExchangeId at) {
  const auto found = exchanges_.find(at);
  if (found == exchanges_.end()) return;
  // What a former set-up of this id left behind is over: its release must not reach the call that is taken over now.
  std::erase(found->second->waiting, id);
  given_up_.Forget(id);
  if (const auto former = legs_.find(id); former != legs_.end()) Remove(former);
  Exchange* const exchange = found->second.get();
  legs_[id] = {call, 0, exchange, nullptr, true, runtime_->Now(), id};
  ids_[call] = id;
  legs_[id].announced = true;
  ++exchange->announced;
  NoteStanding(exchange, id);
  if (OpenOne(*exchange) == nullptr) exchange->detector.OnUnconfirmedCall(runtime_->Now());
  if (!exchange->check_announced.Running())
    exchange->check_announced.Start(kAnnouncedTogether, [this, exchange] { CheckAnnounced(exchange); });
  KeepConnected(exchange);
  if (!early_ends_.Has(id)) return;
  // Its end was told on the first connection to the exchange, before the caller said that it stands: told from the
  // loop, as the caller is still being read.
  ++counters_.early_ends;
  early_ends_.Forget(id);
  runtime_->StartTimer(0, [this, id] {
    const auto leg = legs_.find(id);
    if (leg == legs_.end() || !leg->second.stands) return;
    const Leg ended = Remove(leg);
    core_->OnTrunkReleased(ended.call, ended.attempt, {core::ReleaseCause::kNormal});
  });
}

void ExchangeConnections::NoteStanding(Exchange* exchange, const std::string& id) {
  if (exchange->standing.empty()) exchange->detector.OnFirstCall(runtime_->Now());
  exchange->standing.insert(id);
}

// ---- what exchanges send ----

bool ExchangeConnections::Take(Link* link, std::string_view line) {
  const auto message = ParseMessage(line);
  if (!message) return false;
  switch (message->type) {
    case MessageType::kAnswer:
      // Without a description there is nothing to pass on: it was spoilt on its way.
      if (message->id.empty() || !message->description) return false;
      TakeAnswer(link, *message);
      return true;
    case MessageType::kRelease:
      TakeRelease(link, *message);
      return true;
    case MessageType::kGauge:
      TakeGauge(link, *message);
      return true;
    case MessageType::kTested: {
      const auto probe = probes_.find(message->id);
      if (probe == probes_.end()) return true;
      const auto [exchange, sent] = probe->second;
      probes_.erase(probe);
      core_->OnProbeEnded(exchange, message->cause.value_or(0) == 1 ? Outcome::kOk : Outcome::kError,
                          runtime_->Now() - sent, report_reader_.Figures(*message));
      return true;
    }
    case MessageType::kWait:
    case MessageType::kHeard:
      return true;
    case MessageType::kSetUp:
    case MessageType::kTest:
    case MessageType::kOther:
      log_->Write(core::LogLevel::kWarning, "exchange-said", 0, line.substr(0, 200));
      return message->type != MessageType::kOther;
  }
  return true;
}

void ExchangeConnections::TakeAnswer(Link* link, const Message& message) {
  const auto found = legs_.find(message.id);
  if (found == legs_.end()) {
    if (!given_up_.Has(message.id)) {
      ++counters_.unknown_answers;
      return;
    }
    ++counters_.late_answers;
    return SendRelease(link->exchange, link, message.id);
  }
  Leg& leg = found->second;
  if (leg.stands || leg.link != link) {
    ++counters_.second_answers;
    return;
  }
  ++counters_.answers;
  LogCall("call-stands", leg, "");
  leg.stands = true;
  leg.stood_at = runtime_->Now();
  link->set_ups.erase(message.id);
  link->standing.insert(message.id);
  NoteStanding(leg.at, message.id);
  const CallId call = leg.call;
  const int attempt = leg.attempt;
  core_->OnTrunkSession(call, attempt, message.description.value_or(std::string()));
  core_->OnTrunkAnswered(call, attempt);
}

void ExchangeConnections::TakeRelease(Link* link, const Message& message) {
  const auto found = legs_.find(message.id);
  if (found == legs_.end() || found->second.at != link->exchange ||
      (!found->second.stands && found->second.link != link)) {
    ++counters_.unknown_ends;
    early_ends_.Note(message.id);
    return;
  }
  Exchange* const exchange = link->exchange;
  policy::FailureDetector& detector = exchange->detector;
  const bool was_in_doubt = exchange->InDoubt();
  if (found->second.stands && (was_in_doubt || detector.denied()) &&
      found->second.StoodBefore(detector.CallsInQuestion(link->opened_at))) {
    detector.OnCallKnown(runtime_->Now(), found->second.announced ? 0 : found->second.stood_at);
    LogDoubt(*exchange, was_in_doubt);
  }
  const int cause = message.cause.value_or(kTemporaryFailure);
  LogCall(found->second.stands ? "call-ended" : "set-up-ended", found->second, "cause " + std::to_string(cause));
  const Leg leg = Remove(found);
  if (leg.stands) {
    const bool normal = cause == kNormal;
    ++(normal ? counters_.ended : counters_.cut);
    return core_->OnTrunkReleased(leg.call, leg.attempt,
                                  {normal ? core::ReleaseCause::kNormal : core::ReleaseCause::kTemporaryFailure});
  }
  const std::string* const note = message.Field("note");
  const core::AttemptResult meaning = MeaningOf(cause, note != nullptr ? *note : std::string());
  ++(meaning.outcome == Outcome::kReset   ? counters_.resets
     : meaning.outcome == Outcome::kError ? counters_.errors
                                          : counters_.refusals);
  const bool no_circuit = cause == kNoCircuit && meaning.cause != RejectCause::kProcessorFull;
  core::ReleaseInfo info =
      InfoOf(meaning, no_circuit ? core::ReleaseCause::kNoCircuit : core::ReleaseCause::kCongestion);
  info.load = report_reader_.Figures(message);
  core_->OnTrunkReleased(leg.call, leg.attempt, info);
}

// An exchange tells the state of its group on any of its connections, at times on several.
void ExchangeConnections::TakeGauge(Link* link, const Message& message) {
  ++counters_.gauges;
  const std::string* const load = message.Field("load");
  if (load == nullptr) return;
  link->exchange->detector.OnReport(runtime_->Now());
  if (*load == link->exchange->told) return CheckCircuits(*link);
  const std::vector<float> figures = report_reader_.Figures(*load);
  link->exchange->told = *load;
  link->exchange->circuits_used = report_reader_.CircuitsUsed(figures);
  ++counters_.gauges_heard;
  CheckCircuits(*link);
  CheckAnnounced(link->exchange);
  if (!figures.empty()) core_->OnGroupReport(link->exchange->id, figures);
}

void ExchangeConnections::TellDetector(const Link& link, LinkEnd end) {
  Exchange* const exchange = link.exchange;
  const TimeUs now = runtime_->Now();
  const bool was_in_doubt = exchange->InDoubt();
  if (!link.open) return;
  if (end == LinkEnd::kClosed) {
    exchange->detector.OnConnectionClosed(now, link.opened_at);
  } else if (end == LinkEnd::kReset) {
    const policy::FailureDetector& detector = exchange->detector;
    const auto others = std::count_if(exchange->links.begin(), exchange->links.end(), [&](const auto& other) {
      const bool counts = !detector.probed() || detector.IsOfHolder(other->opened_at);
      return other->open && other.get() != &link && counts;
    });
    exchange->detector.OnConnectionReset(now, static_cast<std::size_t>(others), exchange->standing.size());
  }
  LogDoubt(*exchange, was_in_doubt);
}

void ExchangeConnections::EndLink(Link* link, LinkEnd end) {
  Exchange* const exchange = link->exchange;
  ++(end == LinkEnd::kRefused       ? counters_.refused
     : end == LinkEnd::kNotUpInTime ? counters_.timed_out
                                    : counters_.broken);
  TellDetector(*link, end);
  const bool ran = link->open;  // else nothing was written before it came to this
  const bool first_failure = !ran && OpenOne(*exchange) == nullptr && !std::exchange(exchange->unreachable, true);
  LogConnection(first_failure ? core::LogLevel::kInfo : core::LogLevel::kDebug,
                ran ? "exchange-connection-ended" : "exchange-not-reached", *link,
                std::string(NameOf(end)) + ", set-ups on it " + std::to_string(link->set_ups.size()) +
                    ", calls standing there " + std::to_string(exchange->standing.size()));
  std::vector<std::string> ids(link->set_ups.begin(), link->set_ups.end());
  std::sort(ids.begin(), ids.end());
  const std::unique_ptr<Link> kept = std::move(*link->place);
  exchange->links.erase(link->place);
  --link_count_;
  // The sink outlives its stream, and the stream ends here.
  kept->stream.reset();
  for (const std::string& id : kept->standing) legs_.at(id).link = nullptr;
  // Told apart before the core acts on it: nothing was written on this one, and the exchange may be as well as before.
  const bool lives = !ran && Lives(*exchange);
  if (lives) exchange->fresh_failed_at = runtime_->Now();
  for (const std::string& id : ids) {
    const auto found = legs_.find(id);
    if (found == legs_.end()) continue;
    const Leg leg = Remove(found);
    ++(ran ? counters_.resets : counters_.never_ran);
    if (ran) given_up_.Note(id);
    core_->OnTrunkReleased(leg.call, leg.attempt,
                           ran ? InfoOf(kReset, core::ReleaseCause::kTemporaryFailure)
                               : InfoOf(lives ? kConnectionLost : kNeverRan, core::ReleaseCause::kOutOfOrder));
  }
  // Nothing listens there any more, or it is gone from the list and its last connection with it, on which a set-up may
  // still have been answered: what stood there was cut.
  if (end == LinkEnd::kRefused && exchange->links.empty()) CutAll(exchange, runtime_->Now() + 1, "refuses connections");
  if (exchange->retired && exchange->links.empty()) CutAll(exchange, runtime_->Now() + 1, "gone from the list");
  KeepConnected(exchange);
}

}  // namespace croftrun::platform
