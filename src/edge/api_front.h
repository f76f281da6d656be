// The API's desk on this edge: number plan, rules and intake are those of the lines, the lists are read off
// the core.
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

class ApiFront final : public ws::CallService {
 public:
  // All outlive it. `settings.api` is set.
  ApiFront(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core, AdmissionFront* admission_front,
           LineFront* lines);

  bool Classify(core::CallRequest* offer, const std::string& customer, bool* refused, TimeUs* pause_us) override;
  CallId Take(const core::CallRequest& offer, core::CallOwner* owner, std::string_view client) override;
  void HangUp(CallId call) override { admission_front_->HangUp(call); }
  nlohmann::json List(const std::string& what) override;

  ws::SessionManager& session_manager() { return session_manager_; }
  const ws::SessionManager& session_manager() const { return session_manager_; }

 private:
  // Subscribers hear of groups and roster as often as this, if anything changed.
  void Tell();

  const EdgeSettings& settings_;
  core::CallCore* core_;
  AdmissionFront* admission_front_;
  LineFront* lines_;
  std::vector<std::string> customers_;
  nlohmann::json groups_told_, roster_told_;
  ws::SessionManager session_manager_;
  core::Timer tell_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_API_FRONT_H_
