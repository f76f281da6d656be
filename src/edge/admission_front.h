// Between the fronts and the core: what all fronts share. With a door, a call waits here until the door lets it in;
// without one it goes straight through. A front uses it as it would use the core, with the core's ids.
#ifndef CROFTRUN_EDGE_ADMISSION_FRONT_H_
#define CROFTRUN_EDGE_ADMISSION_FRONT_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/admission_controller.h"
#include "core/call_core.h"

namespace croftrun::edge {

class AdmissionFront final : public core::CallOwner {
 public:
  // `admission`: nothing for none. Runtime and core outlive it.
  AdmissionFront(const std::optional<admission::AdmissionSettings>& admission, TimeUs answer_margin_us,
                 core::Runtime* runtime, core::CallCore* core);

  // As CallCore::AcceptCall. `client`: who calls, as the door tells clients apart.
  CallId Take(const core::CallRequest& offer, core::CallOwner* owner, std::string_view client);
  void HangUp(CallId call);
  // New weights and limits of the customers, from the next turn on; calls that wait stay where they are.
  void SetCustomers(const std::vector<admission::CustomerSettings>& customers) {
    if (admission_) admission_->SetCustomers(customers);
  }
  // Whoever waits is refused now; later calls are the core's to refuse.
  void StopTaking();

  std::size_t waiting() const { return waiting_.size(); }
  // Null: there is none.
  const admission::AdmissionController* admission() const { return admission_ ? &*admission_ : nullptr; }

  void OnAccepted(CallId call) override;
  void OnFinalAnswer(CallId call, const core::FinalAnswer& answer) override;
  void OnCallEnded(CallId call, core::ReleaseCause cause) override;

 private:
  struct Waiting {
    core::CallRequest offer;
    TimeUs since = 0;
  };
  void Carry();
  void Restart();

  core::Runtime* runtime_;
  core::CallCore* core_;
  TimeUs margin_us_;
  std::optional<admission::AdmissionController> admission_;
  std::unordered_map<CallId, Waiting> waiting_;          // at the door
  std::unordered_map<CallId, core::CallOwner*> owners_;  // of calls at the door or beyond it
  std::vector<admission::AdmissionDecision> decisions_;
  bool carrying_ = false, stopping_ = false;
  core::Timer timer_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_ADMISSION_FRONT_H_
