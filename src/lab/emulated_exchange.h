// An emulated exchange: answers calls to its own numbers, and forwards transit calls or rejects them with crankback. It
// runs without a call agent and represents the rest of the network when a real edge is tested.
#ifndef CROFTRUN_LAB_EMULATED_EXCHANGE_H_
#define CROFTRUN_LAB_EMULATED_EXCHANGE_H_

#include <map>
#include <set>
#include <string>

#include "lab/network.h"

namespace croftrun::lab {

class EmulatedExchange final : public CircuitUser {
 public:
  EmulatedExchange(Network* network, core::Runtime* runtime, int number)
      : network_(network), runtime_(runtime), number_(number) {
    network_->SetUser(number, this);
  }

  // At most `lines` calls to this number are answered at a time, further ones are released as busy (cause 17).
  // An empty number removes the limit.
  void LimitLines(const std::string& number, int lines) { limited_number_ = number, line_limit_ = lines; }
  // Delays answers and releases of incoming calls; 0: none. Produces late answers.
  void SetResponseDelay(TimeUs delay) { response_delay_ = delay; }
  // Seizures are accepted, but no answer or release follows.
  void SetUnresponsive(bool unresponsive) { unresponsive_ = unresponsive; }

  void OnSeizure(const CircuitId& circuit, const SetUpInfo& info) override;
  void OnAnswer(const CircuitId& circuit) override;
  void OnRelease(const CircuitId& circuit, const ReleaseDetails& details) override;
  void OnReleaseComplete(const CircuitId&) override {}

 private:
  void Respond(std::function<void()> callback);

  Network* network_;
  core::Runtime* runtime_;
  int number_;
  std::map<CircuitId, CircuitId> transit_circuits_;  // transit calls: the other circuit of each circuit
  std::set<CircuitId> limited_calls_;
  std::string limited_number_;
  int line_limit_ = 0;
  TimeUs response_delay_ = 0;
  bool unresponsive_ = false;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_EMULATED_EXCHANGE_H_
