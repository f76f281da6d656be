// Encodes flow records as messages of IPFIX (RFC 7011) or NetFlow v9 (RFC 3954). No I/O, no clock.
#ifndef CROFTRUN_FLOW_ENCODE_H_
#define CROFTRUN_FLOW_ENCODE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "flow/elements.h"
#include "flow/record.h"

namespace croftrun::flow {

enum class Protocol : std::uint8_t { kIpfix, kNetflow9 };

// Counters of the exporting process that are exported to the collector; exact since its start.
struct ExportCounts {
  std::uint64_t exported = 0, not_sent = 0, ring_full = 0, queue_full = 0, spool_full = 0, send_failed = 0;
};

// Counters of flow selection (RFC 7014): records seen, and records selected for export.
struct SampleCounts {
  std::uint64_t observed = 0, selected = 0;
};

struct EncoderSettings {
  Protocol protocol = Protocol::kIpfix;
  std::uint32_t observation_domain = 0;  // observation domain ID (v9: source ID), the exchange's number
  std::uint32_t enterprise = kDocumentationEnterprise;
  std::size_t max_message_octets = 1400;  // largest message; at most 65,535
  std::vector<std::string> classes;       // names of the call classes, by number
};

// Builds one message after another. A record is encoded directly into its set.
//
// To build a message: BeginMessage, then Add functions until one returns false, then FinishMessage.
class Encoder {
 public:
  explicit Encoder(EncoderSettings settings);

  void BeginMessage();
  // Adds all templates. Returns false, and adds nothing, if they do not fit.
  bool AddTemplates();
  // Adds the type information (RFC 5610) of our enterprise-specific elements from index `from` on, as many as fit, and
  // returns the next index. There are element_type_count() of them; none in v9.
  std::size_t AddElementTypes(std::size_t from);
  std::size_t element_type_count() const {
    return settings_.protocol == Protocol::kIpfix ? EnterpriseElements().size() : 0;
  }
  // Adds a record. Returns false if the message is full; the record then goes into the next one. Every record fits into
  // an empty message of any size that the settings allow.
  bool AddRecord(const FlowRecord& record);
  // Add the counters of the exporting process and of flow selection, with the same result as AddRecord.
  bool AddCounts(const ExportCounts& counts);
  bool AddSamples(const SampleCounts& samples);
  bool empty() const { return records_ == 0 && !has_templates_; }
  std::size_t records() const { return records_; }
  // Returns the complete message, valid until BeginMessage. `unix_s` is the export time, `up_ms` the time since the
  // exporter started (v9). Advances the sequence number, which wraps around.
  const std::string& FinishMessage(std::uint32_t unix_s, std::uint32_t up_ms);
  void SetSequenceNumber(std::uint32_t sequence) { sequence_ = sequence; }

 private:
  // Type information of an element (RFC 5610).
  struct ElementInfo {
    Element element;
    std::uint32_t enterprise = 0;
  };
  // What the values of a data record are taken from; one of them is set.
  struct Values {
    const FlowRecord* record = nullptr;
    const ExportCounts* counts = nullptr;
    const ElementInfo* info = nullptr;
    const SampleCounts* samples = nullptr;
  };
  // How a field of a template is written, looked up once.
  struct FieldWriter {
    FieldId id;
    DataType type;
    std::uint16_t length, v9_length;
  };
  bool AddData(const Template& layout, const Values& values);
  void OpenSet(std::uint16_t id);
  void CloseSet();
  void Put(std::uint64_t value, std::size_t octets);
  void PutOctets(std::string_view octets);
  void PutField(const FieldWriter& writer, const Values& values);
  void PutText(std::string_view text, std::uint16_t v9_length);
  std::uint64_t Number(FieldId id, const Values& values) const;
  std::string_view Text(FieldId id, const Values& values) const;
  void PutSpecifier(const Field& field);
  void PutOptionsTemplate(const Template& layout);
  bool IsIncluded(const Field& field) const { return settings_.protocol == Protocol::kIpfix || field.v9_length > 0; }
  bool RollBackIfTooLong(std::size_t to);

  EncoderSettings settings_;
  std::vector<std::vector<FieldWriter>> field_writers_;  // per template, in the order of their IDs
  std::string out_;                                      // the message, with spare space behind it until it is finished
  std::size_t end_offset_ = 0;                           // end of the written part of out_
  std::size_t set_offset_ = 0;                           // offset of the open set; 0: none
  std::uint16_t set_id_ = 0;
  std::size_t records_ = 0, v9_record_count_ = 0;
  bool has_templates_ = false;
  std::uint32_t sequence_ = 0;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_ENCODE_H_
