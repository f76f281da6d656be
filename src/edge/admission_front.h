// The layer between the fronts and the core, shared by all fronts. With admission control, a call is queued here until
// the admission controller admits or refuses it; without, it goes straight to the core. Fronts use this class as they
// would use the core, with the core's call ids.
#ifndef CROFTRUN_EDGE_ADMISSION_FRONT_H_
#define CROFTRUN_EDGE_ADMISSION_FRONT_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/admission_controller.h"
#include "core/call_core.h"

namespace croftrun::edge {

// Applies admission control to new calls and forwards the core's results to the front that owns each call.
class AdmissionFront final : public core::CallOwner {
 public:
  // No admission control if `admission` is empty. `runtime` and `core` must outlive this object.
  AdmissionFront(const std::optional<admission::AdmissionSettings>& admission, TimeUs answer_margin_us,
                 core::Runtime* runtime, core::CallCore* core);

  // Like CallCore::AcceptCall. `client` identifies the caller to the admission controller.
  CallId AcceptCall(const core::CallRequest& request, core::CallOwner* owner, std::string_view client);
  void HangUp(CallId call);
  // Sets new weights and limits of the customers, from the next scheduling round on. Queued calls keep their places.
  void SetCustomers(const std::vector<admission::CustomerSettings>& customers) {
    if (admission_) admission_->SetCustomers(customers);
  }
  // Refuses all queued calls now. Later calls go to the core, which refuses them.
  void StopAcceptingCalls();

  std::size_t queued() const { return queued_.size(); }
  // Returns null if there is no admission control.
  const admission::AdmissionController* admission() const { return admission_ ? &*admission_ : nullptr; }

  void OnAccepted(CallId call) override;
  void OnFinalAnswer(CallId call, const core::FinalAnswer& answer) override;
  void OnCallEnded(CallId call, core::ReleaseCause cause) override;

 private:
  struct QueuedCall {
    core::CallRequest request;
    TimeUs queued_since = 0;
  };
  // Executes the pending admission decisions in order. Executing one may add more.
  void ExecuteDecisions();
  void RestartTimer();

  core::Runtime* runtime_;
  core::CallCore* core_;
  TimeUs answer_margin_us_;
  std::optional<admission::AdmissionController> admission_;
  std::unordered_map<CallId, QueuedCall> queued_;        // not yet admitted or refused
  std::unordered_map<CallId, core::CallOwner*> owners_;  // of queued and of admitted calls
  std::vector<admission::AdmissionDecision> decisions_;
  bool executing_ = false, stopping_ = false;
  core::Timer timer_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_ADMISSION_FRONT_H_
