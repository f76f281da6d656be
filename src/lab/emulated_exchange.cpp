#include "lab/emulated_exchange.h"

#include <utility>

namespace croftrun::lab {

void StandIn::Later(std::function<void()> what) {
  if (delay_ == 0) return what();
  runtime_->StartTimer(delay_, std::move(what));
}

void StandIn::OnSeizure(const CircuitId& circuit, const SetUpInfo& info) {
  if (mute_) return;
  if (info.destination == number_) {
    if (!crowded_.empty() && info.called == crowded_) {
      if (static_cast<int>(to_crowded_.size()) >= lines_)
        return Later([this, circuit] { network_->Release(number_, circuit, {17, number_, 0, {}}); });
      to_crowded_.insert(circuit);
    }
    return Later([this, circuit] { network_->Answer(number_, circuit); });
  }
  // In transit: one leg onward, or back.
  CircuitId onward;
  SetUpInfo next = info;
  next.others.clear();
  const bool wide = !info.others.empty();
  if (!wide && network_->PickIdle(number_, info.destination, &onward) && network_->Seize(number_, onward, next)) {
    through_[circuit] = onward;
    through_[onward] = circuit;
    return;
  }
  for (const unsigned other : info.others) network_->Release(number_, {circuit.far, other}, {34, number_, 0, {}});
  network_->Release(number_, circuit, {34, number_, 0, {}});
}

void StandIn::OnAnswer(const CircuitId& circuit) {
  const auto back = through_.find(circuit);
  if (back != through_.end()) network_->Answer(number_, back->second);
}

void StandIn::OnRelease(const CircuitId& circuit, const ReleaseNews& news) {
  to_crowded_.erase(circuit);
  network_->Release(number_, circuit, {16, number_, 0, {}});
  const auto other = through_.find(circuit);
  if (other == through_.end()) return;
  const CircuitId far = other->second;
  through_.erase(circuit);
  through_.erase(far);
  network_->Release(number_, far, news);
}

}  // namespace croftrun::lab
