// Timestamped record of the traffic of a laboratory run. It is the only input of the rule checker.
//
// There are two kinds of records: datagrams, as sent or received by the laboratory, and facts that a rule needs but no
// datagram carries, such as the cold start of an exchange with its capacity, or the kill of an edge. Records are
// written as JSON lines and, optionally, datagrams also as a packet capture in pcap format.
#ifndef CROFTRUN_LAB_TRACE_H_
#define CROFTRUN_LAB_TRACE_H_

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/runtime.h"

struct pcap;
struct pcap_dumper;

namespace croftrun::lab {

// A datagram, or a fact if `fact` is not empty.
struct TraceRecord {
  TimeUs at_us = 0;
  // Set for datagrams.
  core::Address from, to;
  std::string text;
  // Set for facts.
  std::string fact;
  nlohmann::json figures;
};

// Formats a record as one line of JSON, without the line end.
std::string FormatRecord(const TraceRecord& record);
// Parses one line. Returns false and sets `*error` if the line is not a valid record.
bool ParseRecord(std::string_view line, TraceRecord* record, std::string* error);

// Writes the records of a run, stamped with the runtime's clock.
class Trace {
 public:
  explicit Trace(core::Runtime* runtime) : runtime_(runtime) {}
  ~Trace();
  Trace(const Trace&) = delete;
  Trace& operator=(const Trace&) = delete;

  // Both throw std::runtime_error if the file cannot be created.
  void OpenTraceFile(const std::string& path);
  void OpenCaptureFile(const std::string& path);
  // Sets a handler that also receives every record.
  void SetRecordHandler(std::function<void(const TraceRecord&)> handler) { record_handler_ = std::move(handler); }

  // Makes the records written so far visible to other readers of the file.
  void Flush() {
    if (file_ != nullptr) std::fflush(file_);
  }
  void RecordDatagram(const core::Address& from, const core::Address& to, std::string_view bytes);
  void RecordFact(std::string name, nlohmann::json figures);
  std::uint64_t datagrams() const { return datagrams_; }

 private:
  void WriteRecord(const TraceRecord& record);

  core::Runtime* runtime_;
  std::FILE* file_ = nullptr;
  pcap* capture_ = nullptr;
  pcap_dumper* dumper_ = nullptr;
  std::function<void(const TraceRecord&)> record_handler_;
  std::uint64_t datagrams_ = 0;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_TRACE_H_
