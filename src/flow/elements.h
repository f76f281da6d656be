// Information elements and templates of the exported records. Elements of the IANA registry are used where there is a
// suitable one, enterprise-specific elements otherwise.
//
// Sources: IANA "IP Flow Information Export (IPFIX) Entities"; RFC 7011 (types, encodings), RFC 5610 (type information
// of enterprise elements), RFC 6313 (basicList), RFC 3954 (NetFlow v9).
#ifndef CROFTRUN_FLOW_ELEMENTS_H_
#define CROFTRUN_FLOW_ELEMENTS_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace croftrun::flow {

// Abstract data types with their codes (RFC 5610 3.1).
enum class DataType : std::uint8_t {
  kOctetArray = 0,
  kUnsigned8 = 1,
  kUnsigned16 = 2,
  kUnsigned32 = 3,
  kUnsigned64 = 4,
  kSigned32 = 7,
  kBoolean = 11,
  kString = 13,
  kDateTimeMilliseconds = 15,
  kIpv4Address = 18,
  kBasicList = 20
};
// Data type semantics with their codes (RFC 5610 3.2).
enum class Semantics : std::uint8_t {
  kDefault = 0,
  kQuantity = 1,
  kTotalCounter = 2,
  kDeltaCounter = 3,
  kIdentifier = 4,
  kFlags = 5
};

// Private enterprise number for documentation and tests (RFC 5612), used until a number is registered. The settings can
// name another.
inline constexpr std::uint32_t kDocumentationEnterprise = 32473;
// NetFlow v9 has no enterprise-specific elements. Ours are numbered from here on, in the range that vendors use.
inline constexpr std::uint16_t kV9EnterpriseBase = 40'000;
// Field length that marks a variable-length element (RFC 7011 7).
inline constexpr std::uint16_t kVariableLength = 65'535;

// Identifies the value of a field: what the encoder writes and what a DecodedRecord is searched for.
enum class FieldId : std::uint8_t {
  kCall,
  kStart,
  kEnd,
  kDuration,
  kEndReason,
  kGroupIn,
  kGroupOut,
  kExchange,
  kOrigin,
  kDestination,
  kCalled,
  kCalling,
  kClass,
  kCustomer,
  kFinalAnswer,
  kOutcome,
  kCause,
  kSetUpDelay,
  kAttempts,
  kAttemptNumber,
  kViaTandem,
  kInTransit,
  kWidth,
  kPriority,
  kRulesVersion,
  kAttemptedExchanges,
  kAttemptsSent,
  kAttemptsEstablished,
  kAttemptsRejected,
  kAttemptsLost,
  kReplay,
  kSelectorAlgorithm,
  kObserved,
  kSelected,
  kExportedRecords,
  kNotSent,
  kRingFull,
  kQueueFull,
  kSpoolFull,
  kSendFailed,
  kInfoEnterprise,
  kInfoElement,
  kInfoType,
  kInfoSemantics,
  kInfoName,
  kInfoDescription
};

// An information element as the IANA registry or RFC 5610 describes it.
struct Element {
  std::uint16_t id = 0;
  bool enterprise_specific = false;  // in the number space of our private enterprise number
  DataType type = DataType::kUnsigned32;
  Semantics semantics = Semantics::kDefault;
  std::string_view name, description;
};

// A field of a template.
struct Field {
  FieldId id;
  std::uint16_t v9_length;  // in octets; texts are padded with zeros to it; 0: the field is left out of v9
};

// A template record, or an options template record.
struct Template {
  std::uint16_t id = 0;
  std::size_t scope_count = 0;  // number of scope fields; above 0 for an options template
  std::span<const Field> fields;
};

// The information element of a field.
const Element& ElementOf(FieldId id);
// Finds an element by enterprise number (0 for IANA elements) and number. Returns false if it is not one that we
// export.
bool FindElement(std::uint32_t enterprise, std::uint16_t id, std::uint32_t own_enterprise, Element* element);
// Length in octets of a fixed-length value; kVariableLength for texts, octet arrays and lists.
std::uint16_t LengthOf(DataType type);

// All templates, in the order of their IDs.
std::span<const Template> Templates();
std::span<const Element> EnterpriseElements();
// Template IDs.
enum TemplateId : std::uint16_t {
  kCallTemplate = 256,
  kAttemptTemplate = 257,
  kIntervalTemplate = 258,
  kGroupTemplate = 259,
  kExporterCountsTemplate = 260,
  kElementTypesTemplate = 261,
  kSamplesTemplate = 262
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_ELEMENTS_H_
