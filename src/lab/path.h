// The path between the laboratory and the edges: a Runtime that records every datagram and does to it what networks
// do (loss, doubling, delay, overtaking), by chance from a seed.
#ifndef CROFTRUN_LAB_PATH_H_
#define CROFTRUN_LAB_PATH_H_

#include <memory>
#include <random>

#include "core/runtime.h"
#include "lab/trace.h"

namespace croftrun::lab {

struct PathFaults {
  double loss = 0.0;  // shares of datagrams
  double doubled = 0.0;
  double late = 0.0;  // held back by a chance delay of up to late_us, and so overtaken
  TimeUs late_us = 0;
  bool Any() const { return loss > 0.0 || doubled > 0.0 || late > 0.0; }
};

class Path final : public core::Runtime {
 public:
  Path(core::Runtime* runtime, Trace* trace, std::uint64_t seed) : runtime_(runtime), trace_(trace), random_(seed) {}

  std::int64_t WallClockUs() const override { return runtime_->WallClockUs(); }
  TimeUs Now() const override { return runtime_->Now(); }
  core::TimerId StartTimer(TimeUs delay, std::function<void()> due) override {
    return runtime_->StartTimer(delay, std::move(due));
  }
  void CancelTimer(core::TimerId timer) override { runtime_->CancelTimer(timer); }
  std::unique_ptr<core::DatagramPort> OpenPort(const core::Address& local, core::DatagramHandler* sink) override;
  std::uint64_t Random() override { return random_(); }

  void SetFaults(const PathFaults& faults) { faults_ = faults; }

 private:
  class Port;
  // How often, and when, a datagram arrives: calls `deliver` now or later, any number of times.
  void Carry(std::function<void()> deliver);
  double Unit() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }

  core::Runtime* runtime_;
  Trace* trace_;
  std::mt19937_64 random_;
  PathFaults faults_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_PATH_H_
