// Path impairment between the emulated network and the edges: a Runtime that records every datagram in the trace and
// subjects it to random loss, duplication, delay and reordering, reproducible from a seed.
#ifndef CROFTRUN_LAB_PATH_H_
#define CROFTRUN_LAB_PATH_H_

#include <memory>
#include <random>

#include "core/runtime.h"
#include "lab/trace.h"

namespace croftrun::lab {

// Impairments as probabilities per datagram.
struct PathImpairments {
  double loss = 0.0;
  double duplicated = 0.0;
  double delayed = 0.0;  // delayed by a uniform random time of up to max_delay_us; later datagrams can overtake it
  TimeUs max_delay_us = 0;
  bool HasAny() const { return loss > 0.0 || duplicated > 0.0 || delayed > 0.0; }
};

// Runtime decorator: timers and clocks pass through, ports are impaired.
class Path final : public core::Runtime {
 public:
  Path(core::Runtime* runtime, Trace* trace, std::uint64_t seed) : runtime_(runtime), trace_(trace), random_(seed) {}

  std::int64_t WallClockUs() const override { return runtime_->WallClockUs(); }
  TimeUs Now() const override { return runtime_->Now(); }
  core::TimerId StartTimer(TimeUs delay, std::function<void()> due) override {
    return runtime_->StartTimer(delay, std::move(due));
  }
  void CancelTimer(core::TimerId timer) override { runtime_->CancelTimer(timer); }
  std::unique_ptr<core::DatagramPort> OpenPort(const core::Address& local, core::DatagramHandler* handler) override;
  std::uint64_t Random() override { return random_(); }

  // Applies to datagrams sent or received from now on.
  void SetImpairments(const PathImpairments& impairments) { impairments_ = impairments; }

 private:
  class Port;
  // Calls `deliver` zero, one or two times, immediately or after a delay, according to the impairments in force.
  void ApplyImpairments(std::function<void()> deliver);
  double UniformRandom() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }

  core::Runtime* runtime_;
  Trace* trace_;
  std::mt19937_64 random_;
  PathImpairments impairments_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_PATH_H_
