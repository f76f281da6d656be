#include "flow/spool.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

#include "flow/record_codec.h"

namespace croftrun::flow {
namespace {

// A frame has a header and a content. The header holds the magic number, the format version, the content's length in
// octets, its number of records, the index of its first record in the segment, and a checksum of the header and
// content.
constexpr std::string_view kFrameMagic = "CFSP";
constexpr std::size_t kHeaderOctets = 28, kChecksumOffset = 20;
constexpr std::string_view kUncertainSuffix = "?";
constexpr std::size_t kMaxContentOctets = 1U << 20U;

std::uint64_t ReadNumber(std::string_view octets, std::size_t at, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value |= std::uint64_t{static_cast<unsigned char>(octets[at + i])} << (8 * i);
  return value;
}
void PutNumber(std::uint64_t value, std::size_t size, std::string* out) {
  for (std::size_t i = 0; i < size; ++i) out->push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t Checksum(std::string_view head, std::string_view content) {
  return XXH3_64bits_withSeed(content.data(), content.size(), XXH3_64bits(head.data(), head.size()));
}

std::string BuildFrame(std::uint64_t first, std::size_t records, const std::string& content) {
  std::string frame(kFrameMagic);
  PutNumber(kRecordFormat, 4, &frame);
  PutNumber(content.size(), 4, &frame);
  PutNumber(records, 4, &frame);
  PutNumber(first, 4, &frame);
  PutNumber(Checksum(frame, content), 8, &frame);
  return frame + content;
}

struct Frame {
  std::uint64_t first = 0;
  std::size_t octets = 0;
  std::vector<FlowRecord> records;
};

// Reads the frame at the front; nothing if it is not valid.
std::optional<Frame> ReadFrame(std::string_view octets) {
  if (octets.size() < kHeaderOctets || !octets.starts_with(kFrameMagic) || ReadNumber(octets, 4, 4) != kRecordFormat)
    return std::nullopt;
  const std::uint64_t size = ReadNumber(octets, 8, 4), count = ReadNumber(octets, 12, 4);
  if (size > kMaxContentOctets || octets.size() - kHeaderOctets < size || count > Spool::kMaxFrameRecords)
    return std::nullopt;
  std::string_view content = octets.substr(kHeaderOctets, size);
  if (Checksum(octets.substr(0, kChecksumOffset), content) != ReadNumber(octets, kChecksumOffset, 8))
    return std::nullopt;
  Frame frame;
  frame.first = ReadNumber(octets, 16, 4);
  frame.octets = kHeaderOctets + size;
  frame.records.resize(count);
  for (FlowRecord& record : frame.records) {
    if (!TakeRecord(&content, &record)) return std::nullopt;
  }
  return content.empty() ? std::optional(std::move(frame)) : std::nullopt;
}

// Parses a segment's file name, such as "2-00000000000000a7.seg".
bool ParseSegmentName(std::string_view name, std::size_t* rank, std::uint64_t* number) {
  if (name.size() != 22 || name[1] != '-' || name.substr(18) != ".seg" || name[0] < '0' ||
      name[0] >= static_cast<char>('0' + kRecordKinds))
    return false;
  *rank = static_cast<std::size_t>(name[0] - '0');
  const auto result = std::from_chars(name.data() + 2, name.data() + 18, *number, 16);
  return result.ec == std::errc() && result.ptr == name.data() + 18;
}

}  // namespace

ScannedSegment ScanSegment(std::string_view octets) {
  ScannedSegment scanned;
  std::uint64_t next = 0;
  for (std::size_t at = 0; at < octets.size();) {
    auto frame = ReadFrame(octets.substr(at));
    if (!frame) {
      // A damaged frame: continue at the next magic number. The index in the next valid frame shows how many records
      // are missing.
      at = octets.find(kFrameMagic, at + 1);
      if (at == std::string_view::npos) break;
      continue;
    }
    if (frame->first >= next) {
      scanned.damaged += frame->first - next;
      next = frame->first + frame->records.size();
      scanned.records.insert(scanned.records.end(), frame->records.begin(), frame->records.end());
    }
    at += frame->octets;
    scanned.valid_octets = at;
  }
  return scanned;
}

std::string Spool::SegmentPath(std::size_t rank, std::uint64_t number, const char* extension) const {
  char name[40];
  std::snprintf(name, sizeof name, "/%zu-%016llx.%s", rank, static_cast<unsigned long long>(number), extension);
  return settings_.folder + name;
}

std::error_code Spool::Open() {
  std::error_code error = disk_->CreateFolder(settings_.folder);
  std::vector<std::string> names;
  if (!error) error = disk_->List(settings_.folder, &names);
  if (error) {
    last_error_ = error;
    return error;
  }
  std::sort(names.begin(), names.end());
  for (const std::string& name : names) {
    std::size_t rank = 0;
    Segment segment;
    if (!ParseSegmentName(name, &rank, &segment.number)) continue;
    next_number_ = std::max(next_number_, segment.number + 1);
    std::string octets;
    const std::error_code read_error =
        disk_->Read(SegmentPath(rank, segment.number, "seg"),
                    settings_.max_segment_octets + kMaxContentOctets + kHeaderOctets, &octets);
    if (read_error) {
      // An unreadable segment is left in place, so that it can be examined.
      last_error_ = read_error;
      ++counters_.errors;
      continue;
    }
    // Octets after the last valid frame are a torn write and are not counted. Damaged frames are counted when the
    // segment is read for sending.
    const ScannedSegment scanned = ScanSegment(octets);
    segment.octets = octets.size();
    segment.records = scanned.records.size();
    if (segment.records == 0) {
      counters_.damaged += scanned.damaged;
      disk_->Remove(SegmentPath(rank, segment.number, "seg"));
      continue;
    }
    octets_ += segment.octets;
    records_ += segment.records;
    segments_[rank].push_back(segment);
  }
  counters_.recovered = records_;
  opened_ = true;
  return {};
}

void Spool::RecordWriteError(const std::error_code& error, std::uint64_t now) {
  ++counters_.errors;
  last_error_ = error;
  retry_at_ = now + settings_.retry_delay_us;
}

// Removes the oldest segment of a rank.
void Spool::DropOldestSegment(std::size_t rank) {
  const Segment segment = segments_[rank].front();
  if (segments_[rank].size() == 1) open_files_[rank].reset();
  segments_[rank].pop_front();
  counters_.dropped_full += segment.records;
  records_ -= segment.records;
  octets_ -= segment.octets;
  disk_->Remove(SegmentPath(rank, segment.number, "seg"));
  disk_->Remove(SegmentPath(rank, segment.number, "at"));
}

bool Spool::MakeRoom(std::size_t rank, std::uint64_t octets) {
  while (octets_ + octets > settings_.max_octets) {
    std::size_t least_important = kRecordKinds;
    while (least_important > rank && segments_[least_important - 1].empty()) --least_important;
    if (least_important == rank || segments_[least_important - 1].empty()) return false;
    DropOldestSegment(least_important - 1);
  }
  return true;
}

bool Spool::Write(std::size_t rank, const std::vector<FlowRecord>& records, std::uint64_t now) {
  if (!IsWritable(now)) return false;
  std::string content;
  for (const FlowRecord& record : records) AppendRecord(record, &content);
  if (!MakeRoom(rank, kHeaderOctets + content.size())) {
    counters_.dropped_full += records.size();
    return true;
  }
  // This has to follow MakeRoom, which may have removed the segment being written.
  if (open_files_[rank] == nullptr || segments_[rank].back().octets >= settings_.max_segment_octets) {
    SyncFiles();
    std::error_code error;
    open_files_[rank] = disk_->Open(SegmentPath(rank, next_number_, "seg"), &error);
    if (error) {
      RecordWriteError(error, now);
      return false;
    }
    segments_[rank].push_back({next_number_++, 0, 0});
  }
  Segment& segment = segments_[rank].back();
  const std::string frame = BuildFrame(segment.records, records.size(), content);
  if (const std::error_code error = open_files_[rank]->Append(frame)) {
    // Remove the part that was written. If that fails as well, a reader skips it as a damaged frame.
    if (open_files_[rank]->Truncate(segment.octets)) open_files_[rank].reset();
    if (segment.records == 0) {
      disk_->Remove(SegmentPath(rank, segment.number, "seg"));
      open_files_[rank].reset();
      segments_[rank].pop_back();
    }
    RecordWriteError(error, now);
    return false;
  }
  segment.octets += frame.size();
  segment.records += records.size();
  octets_ += frame.size();
  records_ += records.size();
  counters_.written += records.size();
  if (!unsynced_) unsynced_since_ = now;
  unsynced_ = true;
  return true;
}

// Syncs all files being written.
void Spool::SyncFiles() {
  for (const auto& file : open_files_) {
    if (file == nullptr) continue;
    if (const std::error_code error = file->Sync()) {
      ++counters_.errors;
      last_error_ = error;
    }
  }
  unsynced_ = false;
}

void Spool::SyncIfDue(std::uint64_t now) {
  if (unsynced_ && now >= unsynced_since_ + settings_.sync_interval_us) SyncFiles();
}

// Loads the next segment for sending. Returns false if there is none.
bool Spool::LoadNextSegment() {
  for (std::size_t rank = 0; rank < kRecordKinds; ++rank) {
    while (!segments_[rank].empty()) {
      const Segment segment = segments_[rank].front();
      if (segments_[rank].size() == 1) open_files_[rank].reset();  // read as a whole: later records go to a new segment
      segments_[rank].pop_front();
      records_ -= segment.records;
      const std::string path = SegmentPath(rank, segment.number, "seg"),
                        position_path = SegmentPath(rank, segment.number, "at");
      std::string octets, position;
      if (const std::error_code error =
              disk_->Read(path, settings_.max_segment_octets + kMaxContentOctets + kHeaderOctets, &octets)) {
        ++counters_.errors;
        last_error_ = error;
        counters_.damaged += segment.records;
        octets_ -= segment.octets;
        continue;
      }
      ScannedSegment scanned = ScanSegment(octets);
      const bool records_missing =
          scanned.records.size() < segment.records;  // records were lost since it was written or found
      counters_.damaged += records_missing ? segment.records - scanned.records.size() : scanned.damaged;
      loaded_ = std::move(scanned.records);
      next_loaded_ = 0;
      if (loaded_.empty()) {
        disk_->Remove(path);
        disk_->Remove(position_path);
        octets_ -= segment.octets;
        continue;
      }
      // A position file means that an earlier run started to send this segment. It holds "N" if N records were sent
      // when that run shut down, and "N?" if a run before it was killed and may have sent more. Any other content means
      // that the position is unknown.
      reading_possibly_repeated_ = false;
      if (!disk_->Read(position_path, 64, &position)) {
        std::uint64_t sent = 0;
        const auto result = std::from_chars(position.data(), position.data() + position.size(), sent);
        const std::string_view rest(result.ptr,
                                    static_cast<std::size_t>(position.data() + position.size() - result.ptr));
        const bool position_known =
            result.ec == std::errc() && (rest.empty() || rest == kUncertainSuffix) && sent <= loaded_.size();
        reading_possibly_repeated_ = !position_known || rest == kUncertainSuffix;
        if (position_known) next_loaded_ = sent;
      }
      for (FlowRecord& record : loaded_) {
        if (reading_possibly_repeated_) record.replay = Replay::kPossiblyRepeated;
        if (record.replay == Replay::kLive) record.replay = Replay::kSpooled;
      }
      disk_->Replace(position_path, "begun");
      reading_ = true;
      reading_rank_ = rank;
      reading_number_ = segment.number;
      reading_octets_ = segment.octets;
      if (next_loaded_ < loaded_.size()) return true;
      Pop();
    }
  }
  return false;
}

const FlowRecord* Spool::Front() {
  if (!opened_) return nullptr;
  if (!reading_ && !LoadNextSegment()) return nullptr;
  return &loaded_[next_loaded_];
}

void Spool::Pop() {
  if (next_loaded_ < loaded_.size()) ++next_loaded_;
  if (next_loaded_ < loaded_.size()) return;
  disk_->Remove(SegmentPath(reading_rank_, reading_number_, "seg"));
  disk_->Remove(SegmentPath(reading_rank_, reading_number_, "at"));
  octets_ -= reading_octets_;
  reading_ = false;
  loaded_.clear();
  next_loaded_ = 0;
}

void Spool::Close() {
  if (!opened_) return;
  SyncFiles();
  for (auto& file : open_files_) file.reset();
  if (reading_)
    disk_->Replace(SegmentPath(reading_rank_, reading_number_, "at"),
                   std::to_string(next_loaded_) + std::string(reading_possibly_repeated_ ? kUncertainSuffix : ""));
  opened_ = false;
}

}  // namespace croftrun::flow
