// A bounded queue of the records that wait for one collector. When it is full, the oldest record of the least important
// rank is dropped first. No I/O.
#ifndef CROFTRUN_FLOW_BACKLOG_H_
#define CROFTRUN_FLOW_BACKLOG_H_

#include <array>
#include <deque>
#include <vector>

#include "flow/record.h"

namespace croftrun::flow {

class Backlog {
 public:
  explicit Backlog(std::size_t max_records) : max_records_(max_records) {}

  // Adds a record. When the backlog is full, the record replaces a less or equally important one or is dropped itself.
  void Push(const FlowRecord& record) {
    if (size_ >= max_records_ && !EvictLessImportant(record.kind)) {
      ++dropped_[static_cast<std::size_t>(record.kind)];
      return;
    }
    queues_[RankOf(record.kind)].push_back(record);
    ++size_;
  }
  // The next record to send: the oldest of the most important rank (see RankOf), so that after an outage the most
  // important records are sent first. Null when the backlog is empty.
  const FlowRecord* Front() const {
    for (const auto& queue : queues_) {
      if (!queue.empty()) return &queue.front();
    }
    return nullptr;
  }
  // Removes the record that Front returns.
  void Pop() {
    for (auto& queue : queues_) {
      if (queue.empty()) continue;
      queue.pop_front();
      --size_;
      return;
    }
  }
  // Removes and returns the oldest records of a rank, at most `max_records`, for the spool. Empty if the rank has none.
  std::vector<FlowRecord> TakeOldest(std::size_t rank, std::size_t max_records) {
    auto& queue = queues_[rank];
    const auto end = queue.begin() + static_cast<std::ptrdiff_t>(std::min(max_records, queue.size()));
    std::vector<FlowRecord> taken(queue.begin(), end);
    queue.erase(queue.begin(), end);
    size_ -= taken.size();
    return taken;
  }
  // Inserts records at the front of a rank, in the given order. May evict others to stay within the bound.
  void PutBack(std::size_t rank, const std::vector<FlowRecord>& records) {
    queues_[rank].insert(queues_[rank].begin(), records.begin(), records.end());
    size_ += records.size();
    while (size_ > max_records_ && EvictLessImportant(RecordKind::kCall)) {
    }
  }
  std::size_t max_records() const { return max_records_; }
  std::size_t size() const { return size_; }
  // Number of records dropped so far, of one kind or in all.
  std::uint64_t dropped(RecordKind kind) const { return dropped_[static_cast<std::size_t>(kind)]; }
  std::uint64_t dropped() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t count : dropped_) sum += count;
    return sum;
  }

 private:
  // Drops the oldest record of the least important rank, if that rank is not more important than that of `kind`.
  // Returns false if there is no such record.
  bool EvictLessImportant(RecordKind kind) {
    for (std::size_t rank = queues_.size(); rank-- > RankOf(kind);) {
      if (queues_[rank].empty()) continue;
      ++dropped_[static_cast<std::size_t>(queues_[rank].front().kind)];
      queues_[rank].pop_front();
      --size_;
      return true;
    }
    return false;
  }

  std::size_t max_records_, size_ = 0;
  std::array<std::deque<FlowRecord>, kRecordKinds> queues_;
  std::array<std::uint64_t, kRecordKinds> dropped_{};
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_BACKLOG_H_
