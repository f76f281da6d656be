// What was seen on the wire, with time: the only thing the rules are checked against.
//
// Two kinds of record: datagrams, as sent by or received at the laboratory; and facts that no datagram tells and a
// rule needs (an exchange started cold and what it can do, an edge was killed). Written as JSON lines, and on wish as
// a packet capture that any packet tool reads.
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

struct TraceRecord {
  TimeUs at_us = 0;
  // Datagrams.
  core::Address from, to;
  std::string text;
  // Facts: `fact` is set, with its figures.
  std::string fact;
  nlohmann::json figures;
};

std::string ToLine(const TraceRecord& record);
// Nothing on a line that is not a record; `*error` says why.
bool FromLine(std::string_view line, TraceRecord* record, std::string* error);

class Trace {
 public:
  explicit Trace(core::Runtime* runtime) : runtime_(runtime) {}
  ~Trace();
  Trace(const Trace&) = delete;
  Trace& operator=(const Trace&) = delete;

  // Throws std::runtime_error where the file cannot be made.
  void WriteTo(const std::string& path);
  void CaptureTo(const std::string& path);
  // Every record also goes there.
  void SetSink(std::function<void(const TraceRecord&)> sink) { sink_ = std::move(sink); }

  // What was written so far can be read by others from now on.
  void Flush() {
    if (file_ != nullptr) std::fflush(file_);
  }
  void Datagram(const core::Address& from, const core::Address& to, std::string_view bytes);
  void Fact(std::string name, nlohmann::json figures);
  std::uint64_t datagrams() const { return datagrams_; }

 private:
  void Put(const TraceRecord& record);

  core::Runtime* runtime_;
  std::FILE* file_ = nullptr;
  pcap* capture_ = nullptr;
  pcap_dumper* dumper_ = nullptr;
  std::function<void(const TraceRecord&)> sink_;
  std::uint64_t datagrams_ = 0;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_TRACE_H_
