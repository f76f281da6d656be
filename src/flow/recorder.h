// Turns the core's reports of calls and attempts into flow records and pushes them to the ring. Runs on the call path,
// at the cost of one copy per record.
#ifndef CROFTRUN_FLOW_RECORDER_H_
#define CROFTRUN_FLOW_RECORDER_H_

#include <unordered_map>

#include "core/call_core.h"
#include "flow/ring.h"

namespace croftrun::flow {

struct RecorderSettings {
  std::uint32_t exchange = 0;
  TimeUs interval_us = 60'000'000;         // how often an established call is reported; 0: never
  std::size_t max_tracked_calls = 20'000;  // limit on the calls tracked at a time
};

class Recorder final : public core::CallObserver {
 public:
  // `runtime` and `ring` must outlive the recorder.
  Recorder(const RecorderSettings& settings, core::Runtime* runtime, Ring* ring);

  // An attempt ended: pushes its record.
  void OnAttempt(const core::AttemptRecord& record) override;
  // A call is established: it is reported at each interval until it ends.
  void OnEstablished(const core::CallRecord& record) override;
  // A call ended: pushes its record.
  void OnCall(const core::CallRecord& record) override;
  // Number of calls in progress that are tracked.
  std::size_t tracked_calls() const { return tracked_calls_.size(); }

 private:
  struct TrackedCall {
    std::uint8_t attempts = 0;
    std::array<std::int32_t, FlowRecord::kMaxAttempts> attempted_exchanges{};
    FlowRecord interval;  // template of its interval records, once it is established
    TimeUs established_at = 0;
  };
  // Sets the times relative to the present wall clock time, so that a step of the clock changes no duration.
  void SetTimes(TimeUs from, TimeUs to, FlowRecord* record) const;
  static void FillCallFields(const core::CallRecord& record, FlowRecord* flow);
  void PushIntervals();

  RecorderSettings settings_;
  core::Runtime* runtime_;
  Ring* ring_;
  std::unordered_map<CallId, TrackedCall> tracked_calls_;
  core::Timer interval_timer_;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_RECORDER_H_
