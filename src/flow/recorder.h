// What the core tells of calls and attempts, as flow records in the ring. Runs on the call path: one copy a record.
#ifndef CROFTRUN_FLOW_RECORDER_H_
#define CROFTRUN_FLOW_RECORDER_H_

#include <unordered_map>

#include "core/call_core.h"
#include "flow/ring.h"

namespace croftrun::flow {

struct RecorderSettings {
  std::uint32_t exchange = 0;
  TimeUs interval_us = 60'000'000;  // calls that last are told of as often; 0: never
  std::size_t most_open = 20'000;   // calls whose attempts or standing are remembered
};

class Recorder final : public core::CallObserver {
 public:
  // All outlive it.
  Recorder(const RecorderSettings& settings, core::Runtime* runtime, Ring* ring);

  void OnAttempt(const core::AttemptRecord& record) override;
  void OnEstablished(const core::CallRecord& record) override;
  void OnCall(const core::CallRecord& record) override;
  std::size_t open() const { return open_.size(); }

 private:
  struct Open {
    std::uint8_t attempts = 0;
    std::array<std::int32_t, FlowRecord::kMostAttempts> tried{};
    FlowRecord standing;  // kind kInterval once it stands
    TimeUs stood_at = 0;
  };
  // Times by the wall clock of now, so that a step of it changes no duration.
  void Stamp(TimeUs from, TimeUs to, FlowRecord* record) const;
  static void Describe(const core::CallRecord& record, FlowRecord* flow);
  void Sweep();

  RecorderSettings settings_;
  core::Runtime* runtime_;
  Ring* ring_;
  std::unordered_map<CallId, Open> open_;
  core::Timer sweep_;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_RECORDER_H_
