// Bounds-checked reading and writing of the wire's little-endian records.
#ifndef CROFTRUN_WIRE_CODEC_H_
#define CROFTRUN_WIRE_CODEC_H_

#include <array>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::wire {

// A frame that cannot be what a peer meant; the text says what and where.
class MalformedFrame : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kBatchHeaderSize = 20;
// Batches may reach megabytes; nothing legal is near this.
inline constexpr std::uint32_t kLargestBatch = 1U << 30;

struct BatchHeader {
  std::uint32_t number = 0;
  TimeUs clock_us = 0;
  std::uint32_t records_size = 0;  // bytes of records that follow the header
  std::uint32_t record_count = 0;
};

// An instance starts; `settings` is the text as it came.
struct Provision {
  std::uint64_t seed = 0;
  std::string settings;
};
// The instance was killed.
struct Detach {};
// A record that the controller has no use for (a message from a peer).
struct Ignored {};

using RecordBody = std::variant<Provision, Detach, Ignored, Event>;

struct Record {
  std::uint32_t instance = 0;
  RecordBody body;
};

// The lists numbered by DIRECTORY records, valid for the whole process.
inline constexpr std::size_t kMostLists = 16;
class DirectoryLists {
 public:
  void Set(std::uint32_t ref, std::vector<DirectoryEntry> entries);
  const std::vector<DirectoryEntry>& Get(std::uint32_t ref, std::size_t where) const;

 private:
  std::map<std::uint32_t, std::vector<DirectoryEntry>> lists_;
};

BatchHeader DecodeBatchHeader(std::string_view bytes);

// Reads the records of one batch in order.
class BatchReader {
 public:
  BatchReader(std::string_view records, std::uint32_t record_count, DirectoryLists* lists);
  // The next record that concerns an instance; false at the end of the batch, whose size is then checked.
  bool Next(Record* record);

 private:
  template <typename T>
  T Take();
  std::string_view TakeBytes(std::size_t size);
  float TakeFloat();
  std::vector<float> TakeReport();
  DirectoryEntry TakeEntry();
  Outcome TakeOutcome();

  std::string_view bytes_;
  std::size_t at_ = 0;
  std::uint32_t left_;
  DirectoryLists* lists_;
};

// Collects the actions of one reply.
class ReplyWriter {
 public:
  void Add(std::uint32_t instance, const Action& action);
  void AddBailOut(std::uint32_t instance, std::string_view text);
  // The whole reply to the batch `number`; the writer is empty again after it.
  std::string Finish(std::uint32_t number);

 private:
  std::string records_;
  std::uint32_t count_ = 0;
};

}  // namespace croftrun::wire

#endif  // CROFTRUN_WIRE_CODEC_H_
