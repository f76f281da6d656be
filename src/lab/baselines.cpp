#include "lab/baselines.h"

#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <utility>

namespace croftrun::lab {
namespace {

// Common part of all baselines. It records the directory and the free circuits, makes one attempt for each call, and
// answers the call when that attempt ends. A transit call is sent to its destination or returned.
class Baseline : public core::Decider {
 public:
  Baseline(const Settings& settings, std::uint64_t seed) : own_number_(settings.own_number), random_(seed) {}
  void Handle(TimeUs, const Event& event, std::vector<Action>* actions) override {
    actions_ = actions;
    std::visit([this](const auto& e) { HandleEvent(e); }, event);
  }

 protected:
  struct Exchange {
    DirectoryEntry entry;
    double free_circuits = 0.0, total_circuits = 0.0;  // of the direct trunk group, as last reported
  };
  // Selects the exchange for a call of the own exchange; null: the call is refused. `direct` is the destination, null
  // if it is not ready.
  virtual const Exchange* SelectRoute(const CallOffered& offer, const Exchange* direct) = 0;

  bool CanAccept(const Exchange& e, const CallOffered& offer) const {
    return e.entry.status == ExchangeStatus::kReady && e.entry.number != own_number_ && e.free_circuits >= offer.width;
  }
  std::vector<const Exchange*> FindTandems(const CallOffered& offer) const {
    std::vector<const Exchange*> found;
    for (const auto& [id, e] : exchanges_) {
      if (e.entry.number != offer.destination && CanAccept(e, offer)) found.push_back(&e);
    }
    return found;
  }
  std::size_t RandomIndex(std::size_t n) { return static_cast<std::size_t>(random_() % n); }

 private:
  void HandleEvent(const DirectoryUpdate& update) {
    if (update.kind == DirectoryKind::kFull || update.kind == DirectoryKind::kCached) {
      for (auto& [id, e] : exchanges_) e.entry.status = ExchangeStatus::kGone;
    }
    for (const DirectoryEntry& entry : update.entries) exchanges_[entry.exchange].entry = entry;
  }
  void HandleEvent(const CallOffered& offer) {
    const Exchange* direct = nullptr;
    for (const auto& [id, e] : exchanges_) {
      if (e.entry.number == offer.destination && e.entry.status == ExchangeStatus::kReady) direct = &e;
    }
    const Exchange* to = offer.in_transit ? (direct != nullptr && CanAccept(*direct, offer) ? direct : nullptr)
                                          : SelectRoute(offer, direct);
    if (to == nullptr) return actions_->push_back(RefuseCall{offer.call, 0});
    actions_->push_back(SendSetUp{offer.call, to->entry.exchange, 0});
  }
  void HandleEvent(const AttemptEnded& ended) {
    RecordCircuits(ended.exchange, ended.report);
    if (ended.terminal) return;
    const bool not_executed = ended.outcome == Outcome::kRejected || ended.outcome == Outcome::kNotSent;
    actions_->push_back(not_executed ? Action(RefuseCall{ended.call, 0}) : Action(FailCall{ended.call}));
  }
  void HandleEvent(const LoadReportReceived& event) { RecordCircuits(event.exchange, event.report); }
  void HandleEvent(const CallEstablished&) {}
  void HandleEvent(const CallAbandoned&) {}
  void HandleEvent(const TimerExpired&) {}
  void RecordCircuits(ExchangeId exchange, const std::vector<float>& report) {
    if (report.size() < 2) return;
    exchanges_[exchange].free_circuits = static_cast<double>(report[0]);
    exchanges_[exchange].total_circuits = static_cast<double>(report[1]);
  }

  int own_number_;
  std::mt19937_64 random_;
  std::map<ExchangeId, Exchange> exchanges_;
  std::vector<Action>* actions_ = nullptr;
};

// Uses the direct trunk group only.
class DirectOnly final : public Baseline {
 public:
  using Baseline::Baseline;

 private:
  const Exchange* SelectRoute(const CallOffered& offer, const Exchange* direct) override {
    return direct != nullptr && CanAccept(*direct, offer) ? direct : nullptr;
  }
};

// Uses the direct trunk group, or else a random tandem.
class DirectThenRandom final : public Baseline {
 public:
  using Baseline::Baseline;

 private:
  const Exchange* SelectRoute(const CallOffered& offer, const Exchange* direct) override {
    if (direct != nullptr && CanAccept(*direct, offer)) return direct;
    const auto tandems = FindTandems(offer);
    return tandems.empty() ? nullptr : tandems[RandomIndex(tandems.size())];
  }
};

// Uses the trunk group with the largest share of free circuits; if shares are equal, the direct one.
class LeastLoaded final : public Baseline {
 public:
  using Baseline::Baseline;

 private:
  static double FreeShare(const Exchange& e) {
    return e.total_circuits > 0.0 ? e.free_circuits / e.total_circuits : 0.0;
  }
  const Exchange* SelectRoute(const CallOffered& offer, const Exchange* direct) override {
    const Exchange* best = direct != nullptr && CanAccept(*direct, offer) ? direct : nullptr;
    for (const Exchange* tandem : FindTandems(offer)) {
      if (best == nullptr || FreeShare(*tandem) > FreeShare(*best)) best = tandem;
    }
    return best;
  }
};

template <typename T>
core::DeciderFactory MakeFactory() {
  return [](const Settings& settings, std::uint64_t seed, TimeUs,
            std::vector<Action>*) -> std::unique_ptr<core::Decider> { return std::make_unique<T>(settings, seed); };
}

}  // namespace

const std::vector<std::string>& DeciderNames() {
  static const std::vector<std::string> kNames = {"module", "direct-only", "direct-then-random", "least-loaded"};
  return kNames;
}

core::DeciderFactory FindDeciderFactory(std::string_view name) {
  if (name == "module") return {};
  if (name == "direct-only") return MakeFactory<DirectOnly>();
  if (name == "direct-then-random") return MakeFactory<DirectThenRandom>();
  if (name == "least-loaded") return MakeFactory<LeastLoaded>();
  throw std::invalid_argument("expected module, direct-only, direct-then-random or least-loaded, found " +
                              std::string(name));
}

}  // namespace croftrun::lab
