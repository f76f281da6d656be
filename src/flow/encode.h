// Records to messages of IPFIX (RFC 7011) or NetFlow v9 (RFC 3954). No I/O, no clock.
#ifndef CROFTRUN_FLOW_ENCODE_H_
#define CROFTRUN_FLOW_ENCODE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "flow/elements.h"
#include "flow/record.h"

namespace croftrun::flow {

enum class Protocol : std::uint8_t { kIpfix, kNetflow9 };

// What a collector is told of the exporter itself; exact, since its start.
struct ExportCounts {
  std::uint64_t exported = 0, not_sent = 0, ring_full = 0, queue_full = 0, spool_full = 0, send_failed = 0;
};

// Of what is told of a part of the calls only.
struct SampleCounts {
  std::uint64_t observed = 0, selected = 0;
};

struct EncoderSettings {
  Protocol protocol = Protocol::kIpfix;
  std::uint32_t domain = 0;  // observation domain, source id: the exchange's number
  std::uint32_t enterprise = kDocumentationEnterprise;
  std::size_t most_octets = 1400;  // of a message; 65,535 at most
  std::vector<std::string> classes;
};

// Builds one message after the other; a record is encoded straight into its set.
class Encoder {
 public:
  explicit Encoder(EncoderSettings settings);

  void Begin();
  // All templates. False: they did not fit, nothing was added.
  bool AddTemplates();
  // Descriptions of our elements (RFC 5610) from number `from` on, as many as fit; returns the next one. There are
  // types() of them; none in v9.
  std::size_t AddTypes(std::size_t from);
  std::size_t types() const { return settings_.protocol == Protocol::kIpfix ? OwnElements().size() : 0; }
  // False: the message is full; to be begun anew. A record that fits into no message is one that no settings make.
  bool Add(const FlowRecord& record);
  bool AddCounts(const ExportCounts& counts);
  bool AddSamples(const SampleCounts& samples);
  bool empty() const { return records_ == 0 && !has_templates_; }
  std::size_t records() const { return records_; }
  // Header and all; valid until Begin. `unix_s`: export time; `up_ms`: since the exporter began (v9). Counts the
  // records into the sequence number, which wraps.
  const std::string& Finish(std::uint32_t unix_s, std::uint32_t up_ms);
  void SetSequence(std::uint32_t sequence) { sequence_ = sequence; }

 private:
  struct Info {
    Element element;
    std::uint32_t enterprise = 0;
  };
  struct Values {
    const FlowRecord* record = nullptr;
    const ExportCounts* counts = nullptr;
    const Info* info = nullptr;
    const SampleCounts* samples = nullptr;
  };
  // A field as it is written: looked up once.
  struct Step {
    Source source;
    DataType type;
    std::uint16_t length, v9_length;
  };
  bool AddData(const Template& of, const Values& values);
  void OpenSet(std::uint16_t id);
  void CloseSet();
  void Put(std::uint64_t value, std::size_t octets);
  void PutOctets(std::string_view octets);
  void PutField(const Step& step, const Values& values);
  void PutText(std::string_view text, std::uint16_t v9_length);
  std::uint64_t Number(Source source, const Values& values) const;
  std::string_view Text(Source source, const Values& values) const;
  void PutSpecifier(const Field& field);
  void PutOptionsTemplate(const Template& of);
  bool In(const Field& field) const { return settings_.protocol == Protocol::kIpfix || field.v9_length > 0; }
  bool Rolled(std::size_t to);

  EncoderSettings settings_;
  std::vector<std::vector<Step>> steps_;  // of each template, in the order of their numbers
  std::string out_;                       // the message and room after it, until it is finished
  std::size_t end_ = 0;                   // of what is written
  std::size_t set_at_ = 0;                // of the open set; 0: none
  std::uint16_t set_id_ = 0;
  std::size_t records_ = 0, flowsets_records_ = 0;
  bool has_templates_ = false;
  std::uint32_t sequence_ = 0;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_ENCODE_H_
