// Decodes messages of IPFIX and NetFlow v9, for the collector stand-in and `croftrun flow`. All reads are
// bounds-checked: any input yields records or an error. The stored state is bounded. Sources: RFC 7011, 6313, 3954.
#ifndef CROFTRUN_FLOW_DECODE_H_
#define CROFTRUN_FLOW_DECODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "flow/encode.h"

namespace croftrun::flow {

// A field value of a data record.
struct DecodedField {
  std::uint32_t enterprise = 0;
  std::uint16_t id = 0;
  std::string_view octets;  // points into the message
};
// A data record; valid only while its message is.
struct DecodedRecord {
  std::uint32_t observation_domain = 0;
  std::uint16_t template_id = 0;
  bool options = false;  // described by an options template
  std::vector<DecodedField> fields;
  // The field with this ID; null if the record has none.
  const DecodedField* Find(FieldId id, std::uint32_t own_enterprise = kDocumentationEnterprise) const;
  // The value of a field as a number or a text; 0 or empty if the record has no such field.
  std::uint64_t Number(FieldId id) const;
  std::string_view Text(FieldId id) const;
};

// Reads an unsigned number in network byte order.
std::uint64_t ReadUnsigned(std::string_view octets);
// The values of a basicList of fixed-length numbers (RFC 6313); empty if its header is malformed.
std::vector<std::uint64_t> ReadBasicList(std::string_view octets);

// Decodes the messages of any number of observation domains, as a collecting process does.
class Decoder {
 public:
  struct Counters {
    std::uint64_t messages = 0, records = 0, options = 0, templates = 0, malformed = 0, without_template = 0;
    std::uint64_t lost = 0;  // records (v9: messages) missing according to the sequence numbers
  };
  using OnRecord = std::function<void(const DecodedRecord&)>;

  // Decodes one whole message. Returns false, with a description in `error`, if it is malformed; records before the
  // fault have been delivered.
  bool DecodeMessage(std::string_view octets, const OnRecord& on_record, std::string* error);
  // The length of the message at the front of a stream; 0 if more octets are needed to tell. Returns 1 if the stream
  // does not start with a message header, as the rest of the stream then cannot be decoded.
  static std::size_t NextMessageLength(std::string_view stream);
  // Counters since construction; Reset leaves them as they are.
  const Counters& counters() const { return counters_; }
  // Discards all templates and sequence numbers, like a collecting process that restarts.
  void Reset();

 private:
  // A field specifier.
  struct FieldSpecifier {
    std::uint32_t enterprise = 0;
    std::uint16_t id = 0, length = 0;
  };
  // A received template.
  struct StoredTemplate {
    std::vector<FieldSpecifier> fields;
    std::size_t scope_count = 0;
  };
  // The message being decoded.
  struct MessageContext {
    Protocol protocol = Protocol::kIpfix;
    std::uint32_t observation_domain = 0;
    std::uint64_t records = 0;
  };
  bool DecodeSet(std::string_view set, std::uint16_t id, MessageContext* context, const OnRecord& on_record,
                 std::string* error);
  bool DecodeTemplateSet(std::string_view set, bool options, const MessageContext& context, std::string* error);
  bool DecodeDataSet(std::string_view set, const StoredTemplate& known, std::uint16_t id, MessageContext* context,
                     const OnRecord& on_record, std::string* error);
  bool Fail(std::string* error, std::string text);

  std::map<std::pair<std::uint32_t, std::uint16_t>, StoredTemplate>
      templates_;                                         // by observation domain and template ID
  std::map<std::uint32_t, std::uint32_t> next_sequence_;  // next sequence number, by observation domain
  Counters counters_;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_DECODE_H_
