// The API's desk on this edge: number plan, rules and intake are those of the lines, the lists are read off
// the core.
#ifndef CROFTRUN_EDGE_API_FRONT_H_
#define CROFTRUN_EDGE_API_FRONT_H_

#include <string>

#include "core/call_core.h"
#include "edge/edge_settings.h"
#include "edge/intake.h"
#include "edge/line_front.h"
#include "edge/roster_client.h"
#include "ws/desk.h"

namespace croftrun::edge {

class ApiFront final : public ws::CallDesk {
 public:
  // All outlive it. `settings.api` is set.
  ApiFront(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core, Intake* intake,
           LineFront* lines);

  bool Classify(core::Offer* offer, const std::string& customer, bool* refused, TimeUs* pause_us) override;
  CallId Take(const core::Offer& offer, core::Subscriber* subscriber, std::string_view client) override;
  void HangUp(CallId call) override { intake_->HangUp(call); }
  nlohmann::json List(const std::string& what) override;

  ws::Desk& desk() { return desk_; }
  const ws::Desk& desk() const { return desk_; }

 private:
  // Subscribers hear of groups and roster as often as this, if anything changed.
  void Tell();

  const EdgeSettings& settings_;
  core::CallCore* core_;
  Intake* intake_;
  LineFront* lines_;
  std::vector<std::string> customers_;
  nlohmann::json groups_told_, roster_told_;
  ws::Desk desk_;
  core::Timer tell_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_API_FRONT_H_
