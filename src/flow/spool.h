// Stores the records of one collector on disk while it is away: bounded, with checksums, read in order, the most
// important rank first.
//
// A folder holds segments `RANK-NUMBER.seg`. Each is a sequence of frames that hold some records and a checksum. The
// segment being sent has a position file `RANK-NUMBER.at` beside it. The next start recovers what a killed process
// left: a torn write at the end is ignored; a damaged frame is skipped and its records are counted. Records that an
// earlier run may have sent are marked as possibly repeated. For use by one thread; all disk access goes through
// core::Disk.
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
  std::string folder;  // of this spool alone
  std::uint64_t max_octets = std::uint64_t{256} << 20U;
  // A segment this long is closed; it holds at least one frame.
  std::uint64_t max_segment_octets = std::uint64_t{1} << 20U;
  std::uint64_t sync_interval_us = 1'000'000;  // fsync interval: a machine crash loses this much, besides the memory
  std::uint64_t retry_delay_us = 5'000'000;    // delay before the next write after one failed
};

class Spool {
 public:
  struct Counters {
    std::uint64_t written = 0;       // records written by this run
    std::uint64_t recovered = 0;     // records found by Open
    std::uint64_t dropped_full = 0;  // records dropped because the spool was full
    std::uint64_t damaged = 0;       // records that cannot be read any more
    std::uint64_t errors = 0;        // errors of the disk
  };
  // Largest number of records in a frame.
  static constexpr std::size_t kMaxFrameRecords = 64;

  // `disk` must outlive the spool.
  Spool(SpoolSettings settings, core::Disk* disk) : settings_(std::move(settings)), disk_(disk) {}
  ~Spool() { Close(); }
  Spool(const Spool&) = delete;
  Spool& operator=(const Spool&) = delete;

  // Opens the folder and finds the records that an earlier run left. After an error the spool stays unusable.
  std::error_code Open();
  // False before Open, after Close, and for `retry_delay_us` after a write failed.
  bool IsWritable(std::uint64_t now) const { return opened_ && now >= retry_at_; }
  // Writes records of one rank in order, at most kMaxFrameRecords. Returns false if the disk did not accept them; the
  // caller then keeps them. If the spool is full, the oldest segment of the least important rank is removed. If all
  // segments are more important than these records, the records are dropped, counted, and true is returned.
  bool Write(std::size_t rank, const std::vector<FlowRecord>& records, std::uint64_t now);
  // The next record to send; null if there is none. It is part of size() until Pop.
  const FlowRecord* Front();
  void Pop();
  // Syncs the written files to disk when the interval has passed.
  void SyncIfDue(std::uint64_t now);
  // Saves the read position, so that the next run marks nothing as possibly repeated. The spool is unusable afterwards.
  void Close();

  // Number of records in the spool.
  std::uint64_t size() const { return records_ + (loaded_.size() - next_loaded_); }
  std::uint64_t octets() const { return octets_; }
  const Counters& counters() const { return counters_; }
  std::error_code last_error() const { return last_error_; }

 private:
  struct Segment {
    std::uint64_t number = 0, octets = 0, records = 0;
  };
  std::string SegmentPath(std::size_t rank, std::uint64_t number, const char* extension) const;
  bool LoadNextSegment();
  bool MakeRoom(std::size_t rank, std::uint64_t octets);
  void DropOldestSegment(std::size_t rank);
  void SyncFiles();
  void RecordWriteError(const std::error_code& error, std::uint64_t now);

  SpoolSettings settings_;
  core::Disk* disk_;
  bool opened_ = false;
  std::array<std::deque<Segment>, kRecordKinds> segments_;
  std::uint64_t next_number_ = 0, octets_ = 0, records_ = 0, retry_at_ = 0, unsynced_since_ = 0;
  // The segments being written: the last one of each rank.
  std::array<std::unique_ptr<core::File>, kRecordKinds> open_files_;
  bool unsynced_ = false;
  // The segment being read; no longer listed in segments_.
  std::vector<FlowRecord> loaded_;
  std::size_t next_loaded_ = 0, reading_rank_ = 0;
  std::uint64_t reading_number_ = 0, reading_octets_ = 0;
  bool reading_ = false, reading_possibly_repeated_ = false;
  Counters counters_;
  std::error_code last_error_;
};

// The records of the valid frames of a segment.
struct ScannedSegment {
  std::vector<FlowRecord> records;
  std::uint64_t damaged = 0;       // records of damaged frames, as far as the numbering of later frames shows
  std::uint64_t valid_octets = 0;  // end of the last valid frame
};
// Reads all valid frames of a segment and skips damaged ones. Declared here for tests and fuzzing.
ScannedSegment ScanSegment(std::string_view octets);

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_SPOOL_H_
