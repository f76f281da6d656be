// Passes flow records from the call path to the exporter: bounded, lock-free, one writer and one reader. The call path
// never blocks: records that do not fit are dropped and counted, interval records first and call records last.
#ifndef CROFTRUN_FLOW_RING_H_
#define CROFTRUN_FLOW_RING_H_

#include <array>
#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>

#include "flow/record.h"

namespace croftrun::flow {

class Ring {
 public:
  explicit Ring(std::size_t records) : size_(records), queue_(records) {}

  // Called by the call path. Returns false if the record was dropped.
  bool Push(const FlowRecord& record) {
    const std::size_t available = queue_.write_available();
    // The last eighth is reserved for calls, the last half for calls and attempts.
    const std::size_t reserved = record.kind == RecordKind::kCall      ? 0
                                 : record.kind == RecordKind::kAttempt ? size_ / 8
                                                                       : size_ / 2;
    if (available <= reserved || !queue_.push(record)) {
      dropped_[static_cast<std::size_t>(record.kind)].fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    pushed_[static_cast<std::size_t>(record.kind)].fetch_add(1, std::memory_order_relaxed);
    return true;
  }
  // Called by the exporter. Returns false if the ring is empty.
  bool Pop(FlowRecord* record) { return queue_.pop(*record); }

  // Number of records of a kind that the ring accepted, and that it dropped. Safe to call from any thread.
  std::uint64_t pushed(RecordKind kind) const {
    return pushed_[static_cast<std::size_t>(kind)].load(std::memory_order_relaxed);
  }
  std::uint64_t dropped(RecordKind kind) const {
    return dropped_[static_cast<std::size_t>(kind)].load(std::memory_order_relaxed);
  }
  std::uint64_t dropped() const {
    std::uint64_t sum = 0;
    for (const auto& count : dropped_) sum += count.load(std::memory_order_relaxed);
    return sum;
  }
  // Memory of the ring.
  std::size_t bytes() const { return size_ * sizeof(FlowRecord); }

 private:
  std::size_t size_;
  boost::lockfree::spsc_queue<FlowRecord> queue_;
  std::array<std::atomic<std::uint64_t>, kRecordKinds> pushed_{}, dropped_{};
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_RING_H_
