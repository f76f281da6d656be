// Messages of IPFIX and NetFlow v9 to records: what the collector stand-in and `croftrun flow` read by. Bounds-checked;
// whatever comes, it ends with records or an error, and what it keeps is bounded. Sources: RFC 7011, 6313, 3954.
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

struct DecodedField {
  std::uint32_t enterprise = 0;
  std::uint16_t id = 0;
  std::string_view octets;  // into the message
};
struct DecodedRecord {
  std::uint32_t domain = 0;
  std::uint16_t template_id = 0;
  bool options = false;
  std::vector<DecodedField> fields;
  const DecodedField* Find(Source source, std::uint32_t own_enterprise = kDocumentationEnterprise) const;
  std::uint64_t Number(Source source) const;  // 0 where it is not
  std::string_view Text(Source source) const;
};

std::uint64_t UnsignedOf(std::string_view octets);
// The elements of a basicList of fixed-length values; nothing if it is malformed.
std::vector<std::uint64_t> ListOf(std::string_view octets);

class Decoder {
 public:
  struct Counters {
    std::uint64_t messages = 0, records = 0, options = 0, templates = 0, malformed = 0, without_template = 0;
    std::uint64_t lost = 0;  // records (v9: messages) that the sequence numbers say are missing
  };
  using OnRecord = std::function<void(const DecodedRecord&)>;

  // One whole message. False: `error` says what was wrong and at which octet; records before that were given.
  bool Message(std::string_view octets, const OnRecord& on_record, std::string* error);
  // The length of the message that begins a stream; 0: more is needed to tell; nothing of a stream can follow octets
  // that are no header, for which 1 is returned.
  static std::size_t LengthOfNext(std::string_view stream);
  const Counters& counters() const { return counters_; }
  // As a collector that was restarted: templates and sequence numbers are forgotten.
  void Forget();

 private:
  struct Spec {
    std::uint32_t enterprise = 0;
    std::uint16_t id = 0, length = 0;
  };
  struct Known {
    std::vector<Spec> fields;
    std::size_t scopes = 0;
  };
  struct Context {
    Protocol protocol = Protocol::kIpfix;
    std::uint32_t domain = 0;
    std::uint64_t records = 0;
  };
  bool Set(std::string_view set, std::uint16_t id, Context* context, const OnRecord& on_record, std::string* error);
  bool Templates(std::string_view set, bool options, const Context& context, std::string* error);
  bool Data(std::string_view set, const Known& known, std::uint16_t id, Context* context, const OnRecord& on_record,
            std::string* error);
  bool Fail(std::string* error, std::string text);

  std::map<std::pair<std::uint32_t, std::uint16_t>, Known> templates_;  // by domain and id
  std::map<std::uint32_t, std::uint32_t> next_;                         // by domain, the sequence number expected
  Counters counters_;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_DECODE_H_
