// Between the fronts and the core: what all fronts share. With a door, a call waits here until the door lets it in;
// without one it goes straight through. A front uses it as it would use the core, with the core's ids.
#ifndef CROFTRUN_EDGE_INTAKE_H_
#define CROFTRUN_EDGE_INTAKE_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call_core.h"
#include "door/door.h"

namespace croftrun::edge {

class Intake final : public core::Subscriber {
 public:
  // `door`: nothing for none. Runtime and core outlive it.
  Intake(const std::optional<door::DoorSettings>& door, TimeUs answer_margin_us, core::Runtime* runtime,
         core::CallCore* core);

  // As CallCore::Take. `client`: who calls, as the door tells clients apart.
  CallId Take(const core::Offer& offer, core::Subscriber* subscriber, std::string_view client);
  void HangUp(CallId call);
  // New weights and limits of the customers, from the next turn on; calls that wait stay where they are.
  void SetCustomers(const std::vector<door::CustomerSettings>& customers) {
    if (door_) door_->SetCustomers(customers);
  }
  // Whoever waits is refused now; later calls are the core's to refuse.
  void StopTaking();

  std::size_t waiting() const { return waiting_.size(); }
  // Null: there is none.
  const door::Door* door() const { return door_ ? &*door_ : nullptr; }

  void OnTaken(CallId call) override;
  void OnFinal(CallId call, const core::FinalAnswer& answer) override;
  void OnEnded(CallId call, core::ReleaseCause cause) override;

 private:
  struct Waiting {
    core::Offer offer;
    TimeUs since = 0;
  };
  void Carry();
  void Restart();

  core::Runtime* runtime_;
  core::CallCore* core_;
  TimeUs margin_us_;
  std::optional<door::Door> door_;
  std::unordered_map<CallId, Waiting> waiting_;                // at the door
  std::unordered_map<CallId, core::Subscriber*> subscribers_;  // of calls at the door or beyond it
  std::vector<door::Verdict> verdicts_;
  bool carrying_ = false, stopping_ = false;
  core::Timer timer_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_INTAKE_H_
