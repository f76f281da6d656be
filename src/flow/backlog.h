// Records that wait for one collector: bounded, and when full the least important goes first, of its kind the oldest.
// No I/O.
#ifndef CROFTRUN_FLOW_BACKLOG_H_
#define CROFTRUN_FLOW_BACKLOG_H_

#include <array>
#include <deque>
#include <vector>

#include "flow/record.h"

namespace croftrun::flow {

class Backlog {
 public:
  explicit Backlog(std::size_t most) : most_(most) {}

  void Push(const FlowRecord& record) {
    if (size_ >= most_ && !MakeRoom(record.kind)) {
      ++dropped_[static_cast<std::size_t>(record.kind)];
      return;
    }
    queues_[RankOf(record.kind)].push_back(record);
    ++size_;
  }
  // Calls first, then attempts: after an outage the news that matters most goes ahead. Null when empty.
  const FlowRecord* Front() const {
    for (const auto& queue : queues_) {
      if (!queue.empty()) return &queue.front();
    }
    return nullptr;
  }
  void Pop() {
    for (auto& queue : queues_) {
      if (queue.empty()) continue;
      queue.pop_front();
      --size_;
      return;
    }
  }
  // The oldest of a rank, `most` at most, taken out: for the spool. Nothing left of a rank: empty.
  std::vector<FlowRecord> Take(std::size_t rank, std::size_t most) {
    auto& queue = queues_[rank];
    const auto end = queue.begin() + static_cast<std::ptrdiff_t>(std::min(most, queue.size()));
    std::vector<FlowRecord> taken(queue.begin(), end);
    queue.erase(queue.begin(), end);
    size_ -= taken.size();
    return taken;
  }
  // Back to where they were, in the same order.
  void PutBack(std::size_t rank, const std::vector<FlowRecord>& records) {
    queues_[rank].insert(queues_[rank].begin(), records.begin(), records.end());
    size_ += records.size();
    while (size_ > most_ && MakeRoom(RecordKind::kCall)) {
    }
  }
  std::size_t most() const { return most_; }
  std::size_t size() const { return size_; }
  std::uint64_t dropped(RecordKind kind) const { return dropped_[static_cast<std::size_t>(kind)]; }
  std::uint64_t dropped() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t count : dropped_) sum += count;
    return sum;
  }

 private:
  // Drops one that matters less than this kind, or as much but is older. False: there is none.
  bool MakeRoom(RecordKind kind) {
    for (std::size_t rank = queues_.size(); rank-- > RankOf(kind);) {
      if (queues_[rank].empty()) continue;
      ++dropped_[static_cast<std::size_t>(queues_[rank].front().kind)];
      queues_[rank].pop_front();
      --size_;
      return true;
    }
    return false;
  }

  std::size_t most_, size_ = 0;
  std::array<std::deque<FlowRecord>, kRecordKinds> queues_;
  std::array<std::uint64_t, kRecordKinds> dropped_{};
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_BACKLOG_H_
