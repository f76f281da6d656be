// Records of one collector on disk while it is away: bounded, checksummed, read in order, what matters most first.
//
// A folder holds segments `RANK-NUMBER.seg`, each a row of frames of some records with a checksum; the one being sent
// has a file `RANK-NUMBER.at` beside it. What a kill leaves behind is taken up at the next start: a torn tail is cut
// off, a frame that is damaged is skipped and its records counted. Records that an earlier run may have sent are marked
// so. Runs on one thread; the disk is behind the seam.
#ifndef CROFTRUN_FLOW_SPOOL_H_
#define CROFTRUN_FLOW_SPOOL_H_

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/disk.h"
#include "flow/record.h"

namespace croftrun::flow {

struct SpoolSettings {
  std::string folder;
  std::uint64_t most_octets = std::uint64_t{256} << 20U;
  std::uint64_t segment_octets = std::uint64_t{1} << 20U;  // at least one frame
  std::uint64_t sync_us = 1'000'000;                       // what a crash of the machine may take, beside the memory
  std::uint64_t retry_us = 5'000'000;                      // after a write failed
};

class Spool {
 public:
  struct Counters {
    std::uint64_t taken = 0;      // records written, by this run
    std::uint64_t recovered = 0;  // found at the start
    std::uint64_t full = 0;       // dropped for want of room
    std::uint64_t damaged = 0;    // not readable any more
    std::uint64_t errors = 0;     // of the disk
  };
  // Records of a frame at most.
  static constexpr std::size_t kFrameRecords = 64;

  // The disk outlives it.
  Spool(SpoolSettings settings, core::Disk* disk) : settings_(std::move(settings)), disk_(disk) {}
  ~Spool() { Close(); }
  Spool(const Spool&) = delete;
  Spool& operator=(const Spool&) = delete;

  // Finds what an earlier run left. An error: there will be no spool.
  std::error_code Open();
  // Where a write failed, the next is tried only after a while.
  bool Writable(std::uint64_t now) const { return opened_ && now >= retry_at_; }
  // Records of one rank, kFrameRecords at most, in order. False: the disk did not take them, they are still the
  // caller's. Full: the oldest segment of what matters least makes room; if nothing there matters less or as much,
  // these are dropped and counted.
  bool Write(std::size_t rank, const std::vector<FlowRecord>& records, std::uint64_t now);
  // The next one to be sent; null when there is none. It counts as waiting until Pop.
  const FlowRecord* Front();
  void Pop();
  // Syncs what is due.
  void Tick(std::uint64_t now);
  // Notes how far it was read, so that the next run marks nothing as repeated. Nothing may follow.
  void Close();

  // Records in it.
  std::uint64_t size() const { return records_ + (read_.size() - read_at_); }
  std::uint64_t octets() const { return octets_; }
  const Counters& counters() const { return counters_; }
  std::error_code last_error() const { return last_error_; }

 private:
  struct Segment {
    std::uint64_t number = 0, octets = 0, records = 0;
  };
  std::string PathOf(std::size_t rank, std::uint64_t number, const char* end) const;
  bool Load();
  bool MakeRoom(std::size_t rank, std::uint64_t octets);
  void Drop(std::size_t rank);
  void Seal();
  void Fail(const std::error_code& error, std::uint64_t now);

  SpoolSettings settings_;
  core::Disk* disk_;
  bool opened_ = false;
  std::array<std::deque<Segment>, kRecordKinds> segments_;
  std::uint64_t next_number_ = 0, octets_ = 0, records_ = 0, retry_at_ = 0, unsynced_since_ = 0;
  // The segment being written: the last of its rank.
  std::array<std::unique_ptr<core::File>, kRecordKinds> writing_;
  bool unsynced_ = false;
  // The segment being read, no more among segments_.
  std::vector<FlowRecord> read_;
  std::size_t read_at_ = 0, reading_rank_ = 0;
  std::uint64_t reading_number_ = 0, reading_octets_ = 0;
  bool reading_ = false, reading_doubtful_ = false;
  Counters counters_;
  std::error_code last_error_;
};

// The frames of a segment, each with its records; damaged ones are skipped. Exposed for tests and fuzzing.
struct ScannedSegment {
  std::vector<FlowRecord> records;
  std::uint64_t damaged = 0;       // records of frames that are not sound, as far as their neighbours tell
  std::uint64_t sound_octets = 0;  // up to the end of the last sound frame
};
ScannedSegment ScanSegment(std::string_view octets);

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_SPOOL_H_
