#include "lab/emulated_exchange.h"

#include <utility>

namespace croftrun::lab {

void EmulatedExchange::Respond(std::function<void()> callback) {
  if (response_delay_ == 0) return callback();
  runtime_->StartTimer(response_delay_, std::move(callback));
}

void EmulatedExchange::OnSeizure(const CircuitId& circuit, const SetUpInfo& info) {
  if (unresponsive_) return;
  if (info.destination == number_) {
    if (!limited_number_.empty() && info.called == limited_number_) {
      if (static_cast<int>(limited_calls_.size()) >= line_limit_)
        return Respond([this, circuit] { network_->Release(number_, circuit, {17, number_, 0, {}}); });
      limited_calls_.insert(circuit);
    }
    return Respond([this, circuit] { network_->Answer(number_, circuit); });
  }
  // Transit call: seize an onward circuit, or release with crankback (cause 34). Calls wider than one circuit are
  // always rejected.
  CircuitId onward;
  SetUpInfo next = info;
  next.additional_circuits.clear();
  const bool needs_several_circuits = !info.additional_circuits.empty();
  if (!needs_several_circuits && network_->PickIdle(number_, info.destination, &onward) &&
      network_->Seize(number_, onward, next)) {
    transit_circuits_[circuit] = onward;
    transit_circuits_[onward] = circuit;
    return;
  }
  for (const unsigned other : info.additional_circuits)
    network_->Release(number_, {circuit.far, other}, {34, number_, 0, {}});
  network_->Release(number_, circuit, {34, number_, 0, {}});
}

void EmulatedExchange::OnAnswer(const CircuitId& circuit) {
  const auto back = transit_circuits_.find(circuit);
  if (back != transit_circuits_.end()) network_->Answer(number_, back->second);
}

void EmulatedExchange::OnRelease(const CircuitId& circuit, const ReleaseDetails& details) {
  limited_calls_.erase(circuit);
  network_->Release(number_, circuit, {16, number_, 0, {}});
  const auto other = transit_circuits_.find(circuit);
  if (other == transit_circuits_.end()) return;
  const CircuitId far = other->second;
  transit_circuits_.erase(circuit);
  transit_circuits_.erase(far);
  network_->Release(number_, far, details);
}

}  // namespace croftrun::lab
