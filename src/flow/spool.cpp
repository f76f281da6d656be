#include "flow/spool.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

#include "flow/record_codec.h"

namespace croftrun::flow {
namespace {

// A frame: mark, format, octets and records of its content, number of its first record in the segment, checksum of all
// this and the content; then the content.
constexpr std::string_view kMark = "CFSP";
constexpr std::size_t kHeader = 28, kSumAt = 20;
constexpr std::string_view kDoubt = "?";
constexpr std::size_t kLargestContent = 1U << 20U;

std::uint64_t Number(std::string_view octets, std::size_t at, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value |= std::uint64_t{static_cast<unsigned char>(octets[at + i])} << (8 * i);
  return value;
}
void Put(std::uint64_t value, std::size_t size, std::string* out) {
  for (std::size_t i = 0; i < size; ++i) out->push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t SumOf(std::string_view head, std::string_view content) {
  return XXH3_64bits_withSeed(content.data(), content.size(), XXH3_64bits(head.data(), head.size()));
}

std::string FrameOf(std::uint64_t first, std::size_t records, const std::string& content) {
  std::string frame(kMark);
  Put(kRecordFormat, 4, &frame);
  Put(content.size(), 4, &frame);
  Put(records, 4, &frame);
  Put(first, 4, &frame);
  Put(SumOf(frame, content), 8, &frame);
  return frame + content;
}

struct Frame {
  std::uint64_t first = 0;
  std::size_t octets = 0;
  std::vector<FlowRecord> records;
};

// A sound frame at the front.
std::optional<Frame> FrameAt(std::string_view octets) {
  if (octets.size() < kHeader || !octets.starts_with(kMark) || Number(octets, 4, 4) != kRecordFormat)
    return std::nullopt;
  const std::uint64_t size = Number(octets, 8, 4), count = Number(octets, 12, 4);
  if (size > kLargestContent || octets.size() - kHeader < size || count > Spool::kFrameRecords) return std::nullopt;
  std::string_view content = octets.substr(kHeader, size);
  if (SumOf(octets.substr(0, kSumAt), content) != Number(octets, kSumAt, 8)) return std::nullopt;
  Frame frame;
  frame.first = Number(octets, 16, 4);
  frame.octets = kHeader + size;
  frame.records.resize(count);
  for (FlowRecord& record : frame.records) {
    if (!Take(&content, &record)) return std::nullopt;
  }
  return content.empty() ? std::optional(std::move(frame)) : std::nullopt;
}

// "2-00000000000000a7.seg"
bool NameOf(std::string_view name, std::size_t* rank, std::uint64_t* number) {
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
    auto frame = FrameAt(octets.substr(at));
    if (!frame) {
      // Damage in the middle: on to the next mark; the numbers of the first record after it tell what is missing.
      at = octets.find(kMark, at + 1);
      if (at == std::string_view::npos) break;
      continue;
    }
    if (frame->first >= next) {
      scanned.damaged += frame->first - next;
      next = frame->first + frame->records.size();
      scanned.records.insert(scanned.records.end(), frame->records.begin(), frame->records.end());
    }
    at += frame->octets;
    scanned.sound_octets = at;
  }
  return scanned;
}

std::string Spool::PathOf(std::size_t rank, std::uint64_t number, const char* end) const {
  char name[40];
  std::snprintf(name, sizeof name, "/%zu-%016llx.%s", rank, static_cast<unsigned long long>(number), end);
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
    if (!NameOf(name, &rank, &segment.number)) continue;
    next_number_ = std::max(next_number_, segment.number + 1);
    std::string octets;
    const std::error_code unread =
        disk_->Read(PathOf(rank, segment.number, "seg"), settings_.segment_octets + kLargestContent + kHeader, &octets);
    if (unread) {
      // Left where it is, for whoever looks into it.
      last_error_ = unread;
      ++counters_.errors;
      continue;
    }
    // What is behind the last sound frame was never whole. Damage is counted as the segment is read for sending.
    const ScannedSegment scanned = ScanSegment(octets);
    segment.octets = octets.size();
    segment.records = scanned.records.size();
    if (segment.records == 0) {
      counters_.damaged += scanned.damaged;
      disk_->Remove(PathOf(rank, segment.number, "seg"));
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

void Spool::Fail(const std::error_code& error, std::uint64_t now) {
  ++counters_.errors;
  last_error_ = error;
  retry_at_ = now + settings_.retry_us;
}

// The oldest segment of a rank goes.
void Spool::Drop(std::size_t rank) {
  const Segment segment = segments_[rank].front();
  if (segments_[rank].size() == 1) writing_[rank].reset();
  segments_[rank].pop_front();
  counters_.full += segment.records;
  records_ -= segment.records;
  octets_ -= segment.octets;
  disk_->Remove(PathOf(rank, segment.number, "seg"));
  disk_->Remove(PathOf(rank, segment.number, "at"));
}

bool Spool::MakeRoom(std::size_t rank, std::uint64_t octets) {
  while (octets_ + octets > settings_.most_octets) {
    std::size_t least = kRecordKinds;
    while (least > rank && segments_[least - 1].empty()) --least;
    if (least == rank || segments_[least - 1].empty()) return false;
    Drop(least - 1);
  }
  return true;
}

bool Spool::Write(std::size_t rank, const std::vector<FlowRecord>& records, std::uint64_t now) {
  if (!Writable(now)) return false;
  std::string content;
  for (const FlowRecord& record : records) Append(record, &content);
  if (!MakeRoom(rank, kHeader + content.size())) {
    counters_.full += records.size();
    return true;
  }
  // Only now: making room may have dropped the very segment that was written.
  if (writing_[rank] == nullptr || segments_[rank].back().octets >= settings_.segment_octets) {
    Seal();
    std::error_code error;
    writing_[rank] = disk_->Open(PathOf(rank, next_number_, "seg"), &error);
    if (error) {
      Fail(error, now);
      return false;
    }
    segments_[rank].push_back({next_number_++, 0, 0});
  }
  Segment& segment = segments_[rank].back();
  const std::string frame = FrameOf(segment.records, records.size(), content);
  if (const std::error_code error = writing_[rank]->Append(frame)) {
    // The part that went is taken back; if not even that works, a reader skips it.
    if (writing_[rank]->Truncate(segment.octets)) writing_[rank].reset();
    if (segment.records == 0) {
      disk_->Remove(PathOf(rank, segment.number, "seg"));
      writing_[rank].reset();
      segments_[rank].pop_back();
    }
    Fail(error, now);
    return false;
  }
  segment.octets += frame.size();
  segment.records += records.size();
  octets_ += frame.size();
  records_ += records.size();
  counters_.taken += records.size();
  if (!unsynced_) unsynced_since_ = now;
  unsynced_ = true;
  return true;
}

// All that is written so far to be on the disk itself.
void Spool::Seal() {
  for (const auto& file : writing_) {
    if (file == nullptr) continue;
    if (const std::error_code error = file->Sync()) {
      ++counters_.errors;
      last_error_ = error;
    }
  }
  unsynced_ = false;
}

void Spool::Tick(std::uint64_t now) {
  if (unsynced_ && now >= unsynced_since_ + settings_.sync_us) Seal();
}

// The next segment, for sending.
bool Spool::Load() {
  for (std::size_t rank = 0; rank < kRecordKinds; ++rank) {
    while (!segments_[rank].empty()) {
      const Segment segment = segments_[rank].front();
      if (segments_[rank].size() == 1) writing_[rank].reset();  // it is read to its end: what comes goes into another
      segments_[rank].pop_front();
      records_ -= segment.records;
      const std::string path = PathOf(rank, segment.number, "seg"), mark = PathOf(rank, segment.number, "at");
      std::string octets, at;
      if (const std::error_code error =
              disk_->Read(path, settings_.segment_octets + kLargestContent + kHeader, &octets)) {
        ++counters_.errors;
        last_error_ = error;
        counters_.damaged += segment.records;
        octets_ -= segment.octets;
        continue;
      }
      ScannedSegment scanned = ScanSegment(octets);
      const bool gone = scanned.records.size() < segment.records;  // since it was written or found
      counters_.damaged += gone ? segment.records - scanned.records.size() : scanned.damaged;
      read_ = std::move(scanned.records);
      read_at_ = 0;
      if (read_.empty()) {
        disk_->Remove(path);
        disk_->Remove(mark);
        octets_ -= segment.octets;
        continue;
      }
      // Begun by an earlier run: "N" sent when it stopped in order, "N?" if one before it was killed and may have been
      // further; anything else: nobody knows how far it came.
      reading_doubtful_ = false;
      if (!disk_->Read(mark, 64, &at)) {
        std::uint64_t done = 0;
        const auto result = std::from_chars(at.data(), at.data() + at.size(), done);
        const std::string_view rest(result.ptr, static_cast<std::size_t>(at.data() + at.size() - result.ptr));
        const bool known = result.ec == std::errc() && (rest.empty() || rest == kDoubt) && done <= read_.size();
        reading_doubtful_ = !known || rest == kDoubt;
        if (known) read_at_ = done;
      }
      for (FlowRecord& record : read_) {
        if (reading_doubtful_) record.replay = Replay::kPossiblyRepeated;
        if (record.replay == Replay::kLive) record.replay = Replay::kSpooled;
      }
      disk_->Replace(mark, "begun");
      reading_ = true;
      reading_rank_ = rank;
      reading_number_ = segment.number;
      reading_octets_ = segment.octets;
      if (read_at_ < read_.size()) return true;
      Pop();
    }
  }
  return false;
}

const FlowRecord* Spool::Front() {
  if (!opened_) return nullptr;
  if (!reading_ && !Load()) return nullptr;
  return &read_[read_at_];
}

void Spool::Pop() {
  if (read_at_ < read_.size()) ++read_at_;
  if (read_at_ < read_.size()) return;
  disk_->Remove(PathOf(reading_rank_, reading_number_, "seg"));
  disk_->Remove(PathOf(reading_rank_, reading_number_, "at"));
  octets_ -= reading_octets_;
  reading_ = false;
  read_.clear();
  read_at_ = 0;
}

void Spool::Close() {
  if (!opened_) return;
  Seal();
  for (auto& file : writing_) file.reset();
  if (reading_)
    disk_->Replace(PathOf(reading_rank_, reading_number_, "at"),
                   std::to_string(read_at_) + std::string(reading_doubtful_ ? kDoubt : ""));
  opened_ = false;
}

}  // namespace croftrun::flow
