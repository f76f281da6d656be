// An emulated exchange: answers calls for its own numbers, carries transit calls on or turns them back. It has no call
// agent of the product; it stands for the rest of the network when one real edge is tried.
#ifndef CROFTRUN_LAB_EMULATED_EXCHANGE_H_
#define CROFTRUN_LAB_EMULATED_EXCHANGE_H_

#include <map>
#include <set>
#include <string>

#include "lab/network.h"

namespace croftrun::lab {

class StandIn final : public CircuitUser {
 public:
  StandIn(Network* network, core::Runtime* runtime, int number)
      : network_(network), runtime_(runtime), number_(number) {
    network_->SetUser(number, this);
  }

  // Calls to this number find `lines` lines at most; 0 lifts it.
  void Crowd(const std::string& number, int lines) { crowded_ = number, lines_ = lines; }
  // Its answers and refusals leave only after this; 0: at once. For answers that come too late.
  void Delay(TimeUs delay) { delay_ = delay; }
  // Seizures are taken and nothing follows.
  void Mute(bool mute) { mute_ = mute; }

  void OnSeizure(const CircuitId& circuit, const SetUpInfo& info) override;
  void OnAnswer(const CircuitId& circuit) override;
  void OnRelease(const CircuitId& circuit, const ReleaseNews& news) override;
  void OnReleaseComplete(const CircuitId&) override {}

 private:
  void Later(std::function<void()> what);

  Network* network_;
  core::Runtime* runtime_;
  int number_;
  std::map<CircuitId, CircuitId> through_;  // calls in transit, both ways
  std::set<CircuitId> to_crowded_;
  std::string crowded_;
  int lines_ = 0;
  TimeUs delay_ = 0;
  bool mute_ = false;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_EMULATED_EXCHANGE_H_
