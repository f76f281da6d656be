// The call service behind the WebSocket API of this edge. API calls use the same number plan, rules and admission
// control as the lines; the lists of groups and exchanges come from the core.
#ifndef CROFTRUN_EDGE_API_FRONT_H_
#define CROFTRUN_EDGE_API_FRONT_H_

#include <string>

#include "core/call_core.h"
#include "edge/admission_front.h"
#include "edge/edge_settings.h"
#include "edge/line_front.h"
#include "edge/roster_client.h"
#include "ws/session_manager.h"

namespace croftrun::edge {

// Classifies and places calls for the API's session manager.
class ApiFront final : public ws::CallService {
 public:
  // All arguments must outlive this object, and `settings.api` must be set.
  ApiFront(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core, AdmissionFront* admission_front,
           LineFront* lines);

  bool Classify(core::CallRequest* call_request, const std::string& customer, bool* refused,
                TimeUs* retry_after_us) override;
  CallId AcceptCall(const core::CallRequest& call_request, core::CallOwner* owner, std::string_view client) override;
  void HangUp(CallId call) override { admission_front_->HangUp(call); }
  nlohmann::json List(const std::string& what) override;

  ws::SessionManager& session_manager() { return session_manager_; }
  const ws::SessionManager& session_manager() const { return session_manager_; }

 private:
  // Notifies subscribers of changed groups and a changed roster, at most once per interval.
  void NotifySubscribers();

  const EdgeSettings& settings_;
  core::CallCore* core_;
  AdmissionFront* admission_front_;
  LineFront* lines_;
  std::vector<std::string> customers_;
  nlohmann::json notified_groups_, notified_roster_;
  ws::SessionManager session_manager_;
  core::Timer notify_timer_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_API_FRONT_H_
