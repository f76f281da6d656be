#include "lab/baselines.h"

#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <utility>

namespace croftrun::lab {
namespace {

// What all of them share: who is listed, what is free, and that a call is answered once its only set-up is
// over. A call in transit goes to its destination or back.
class Baseline : public core::Decider {
 public:
  Baseline(const Settings& settings, std::uint64_t seed) : own_(settings.own_number), random_(seed) {}
  void Handle(TimeUs, const Event& event, std::vector<Action>* actions) override {
    actions_ = actions;
    std::visit([this](const auto& e) { On(e); }, event);
  }

 protected:
  struct Exchange {
    DirectoryEntry entry;
    double free = 0.0, total = 0.0;  // circuits of the own group, as last told
  };
  // Where an own call goes; null: refused.
  virtual const Exchange* Route(const CallOffered& offer, const Exchange* direct) = 0;

  bool Takes(const Exchange& e, const CallOffered& offer) const {
    return e.entry.status == ExchangeStatus::kReady && e.entry.number != own_ && e.free >= offer.width;
  }
  std::vector<const Exchange*> Tandems(const CallOffered& offer) const {
    std::vector<const Exchange*> found;
    for (const auto& [id, e] : exchanges_) {
      if (e.entry.number != offer.destination && Takes(e, offer)) found.push_back(&e);
    }
    return found;
  }
  std::size_t Draw(std::size_t n) { return static_cast<std::size_t>(random_() % n); }

 private:
  void On(const DirectoryUpdate& update) {
    if (update.kind == DirectoryKind::kFull || update.kind == DirectoryKind::kCached) {
      for (auto& [id, e] : exchanges_) e.entry.status = ExchangeStatus::kGone;
    }
    for (const DirectoryEntry& entry : update.entries) exchanges_[entry.exchange].entry = entry;
  }
  void On(const CallOffered& offer) {
    const Exchange* direct = nullptr;
    for (const auto& [id, e] : exchanges_) {
      if (e.entry.number == offer.destination && e.entry.status == ExchangeStatus::kReady) direct = &e;
    }
    const Exchange* to =
        offer.in_transit ? (direct != nullptr && Takes(*direct, offer) ? direct : nullptr) : Route(offer, direct);
    if (to == nullptr) return actions_->push_back(RefuseCall{offer.call, 0});
    actions_->push_back(SendSetUp{offer.call, to->entry.exchange, 0});
  }
  void On(const AttemptEnded& ended) {
    Heard(ended.exchange, ended.report);
    if (ended.terminal) return;
    const bool full = ended.outcome == Outcome::kRejected || ended.outcome == Outcome::kNotSent;
    actions_->push_back(full ? Action(RefuseCall{ended.call, 0}) : Action(FailCall{ended.call}));
  }
  void On(const LoadReportReceived& heard) { Heard(heard.exchange, heard.report); }
  void On(const CallEstablished&) {}
  void On(const CallAbandoned&) {}
  void On(const TimerExpired&) {}
  void Heard(ExchangeId exchange, const std::vector<float>& report) {
    if (report.size() < 2) return;
    exchanges_[exchange].free = static_cast<double>(report[0]);
    exchanges_[exchange].total = static_cast<double>(report[1]);
  }

  int own_;
  std::mt19937_64 random_;
  std::map<ExchangeId, Exchange> exchanges_;
  std::vector<Action>* actions_ = nullptr;
};

class DirectOnly final : public Baseline {
 public:
  using Baseline::Baseline;

 private:
  const Exchange* Route(const CallOffered& offer, const Exchange* direct) override {
    return direct != nullptr && Takes(*direct, offer) ? direct : nullptr;
  }
};

class DirectThenRandom final : public Baseline {
 public:
  using Baseline::Baseline;

 private:
  const Exchange* Route(const CallOffered& offer, const Exchange* direct) override {
    if (direct != nullptr && Takes(*direct, offer)) return direct;
    const auto tandems = Tandems(offer);
    return tandems.empty() ? nullptr : tandems[Draw(tandems.size())];
  }
};

// The group with the largest free share, direct or not; at even shares the direct one.
class LeastLoaded final : public Baseline {
 public:
  using Baseline::Baseline;

 private:
  static double Share(const Exchange& e) { return e.total > 0.0 ? e.free / e.total : 0.0; }
  const Exchange* Route(const CallOffered& offer, const Exchange* direct) override {
    const Exchange* best = direct != nullptr && Takes(*direct, offer) ? direct : nullptr;
    for (const Exchange* tandem : Tandems(offer)) {
      if (best == nullptr || Share(*tandem) > Share(*best)) best = tandem;
    }
    return best;
  }
};

template <typename T>
core::MakeDecider Make() {
  return [](const Settings& settings, std::uint64_t seed, TimeUs,
            std::vector<Action>*) -> std::unique_ptr<core::Decider> { return std::make_unique<T>(settings, seed); };
}

}  // namespace

const std::vector<std::string>& DeciderNames() {
  static const std::vector<std::string> kNames = {"module", "direct-only", "direct-then-random", "least-loaded"};
  return kNames;
}

core::MakeDecider DeciderNamed(std::string_view name) {
  if (name == "module") return {};
  if (name == "direct-only") return Make<DirectOnly>();
  if (name == "direct-then-random") return Make<DirectThenRandom>();
  if (name == "least-loaded") return Make<LeastLoaded>();
  throw std::invalid_argument("expected module, direct-only, direct-then-random or least-loaded, found " +
                              std::string(name));
}

}  // namespace croftrun::lab
