// Encoder and bounds-checked decoder of the little-endian records of the bench protocol.
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

// A frame is malformed; the message states the error and its position.
class MalformedFrame : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kBatchHeaderSize = 20;
// Valid batches may reach some megabytes, far below this limit.
inline constexpr std::uint32_t kMaxBatchSize = 1U << 30;

// Header of a batch of records.
struct BatchHeader {
  std::uint32_t number = 0;
  TimeUs clock_us = 0;
  std::uint32_t records_size = 0;  // bytes of records that follow the header
  std::uint32_t record_count = 0;
};

// Starts an instance; `settings` is the unparsed settings text.
struct Provision {
  std::uint64_t seed = 0;
  std::string settings;
};
// Ends an instance.
struct Detach {};
// A record that the controller does not use (a message from a peer).
struct Ignored {};

using RecordBody = std::variant<Provision, Detach, Ignored, Event>;

struct Record {
  std::uint32_t instance = 0;
  RecordBody body;
};

// Limit and store of the lists defined by DIRECTORY records, which are valid for the whole process.
inline constexpr std::size_t kMaxLists = 16;
class DirectoryLists {
 public:
  // Defines or replaces list `ref`.
  void Set(std::uint32_t ref, std::vector<DirectoryEntry> entries);
  // Returns list `ref`; throws MalformedFrame with position `where` if it was never defined.
  const std::vector<DirectoryEntry>& Get(std::uint32_t ref, std::size_t where) const;

 private:
  std::map<std::uint32_t, std::vector<DirectoryEntry>> lists_;
};

// Decodes a batch header; throws MalformedFrame.
BatchHeader DecodeBatchHeader(std::string_view bytes);

// Decodes the records of one batch in order.
class BatchReader {
 public:
  BatchReader(std::string_view records, std::uint32_t record_count, DirectoryLists* lists);
  // Decodes the next record that concerns an instance. Returns false at the end of the batch. Throws MalformedFrame,
  // also if bytes follow the last record.
  bool Next(Record* record);

 private:
  template <typename T>
  T Read();
  std::string_view ReadBytes(std::size_t size);
  float ReadFloat();
  std::vector<float> ReadReport();
  DirectoryEntry ReadEntry();
  Outcome ReadOutcome();

  std::string_view bytes_;
  std::size_t position_ = 0;
  std::uint32_t remaining_;
  DirectoryLists* lists_;
};

// Encodes the actions of one reply.
class ReplyWriter {
 public:
  void Add(std::uint32_t instance, const Action& action);
  // Reports an error of an instance.
  void AddBailOut(std::uint32_t instance, std::string_view text);
  // Returns the complete reply to batch `number` and clears the writer.
  std::string Finish(std::uint32_t number);

 private:
  std::string records_;
  std::uint32_t count_ = 0;
};

}  // namespace croftrun::wire

#endif  // CROFTRUN_WIRE_CODEC_H_
