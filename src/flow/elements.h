// Information elements and templates of our records: standard ones wherever IANA has one, ours beside them.
//
// Sources: IANA "IP Flow Information Export (IPFIX) Entities"; RFC 7011 (types, encodings), RFC 5610 (type information
// of enterprise elements), RFC 6313 (basicList), RFC 3954 (NetFlow v9).
#ifndef CROFTRUN_FLOW_ELEMENTS_H_
#define CROFTRUN_FLOW_ELEMENTS_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace croftrun::flow {

// Abstract data types by their codes of RFC 5610 3.1.
enum class DataType : std::uint8_t {
  kOctets = 0,
  kUnsigned8 = 1,
  kUnsigned16 = 2,
  kUnsigned32 = 3,
  kUnsigned64 = 4,
  kSigned32 = 7,
  kBoolean = 11,
  kString = 13,
  kMilliseconds = 15,
  kIpv4 = 18,
  kBasicList = 20
};
// RFC 5610 3.2.
enum class Semantics : std::uint8_t {
  kDefault = 0,
  kQuantity = 1,
  kTotalCounter = 2,
  kDeltaCounter = 3,
  kIdentifier = 4,
  kFlags = 5
};

// For documents and tests until a number is registered (RFC 5612); the settings can name another.
inline constexpr std::uint32_t kDocumentationEnterprise = 32473;
// NetFlow v9 has no enterprise elements: ours stand from here on, in the part that vendors use.
inline constexpr std::uint16_t kV9Own = 40'000;
inline constexpr std::uint16_t kVariable = 65'535;

// Where the value of a field is taken from.
enum class Source : std::uint8_t {
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
  kAnswer,
  kOutcome,
  kCause,
  kSetUp,
  kAttempts,
  kAttemptNumber,
  kTandem,
  kInTransit,
  kWidth,
  kPriority,
  kRules,
  kTried,
  kSent,
  kStood,
  kTurnedBack,
  kLost,
  kReplay,
  kSelector,
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

struct Element {
  std::uint16_t id = 0;
  bool own = false;  // of our enterprise
  DataType type = DataType::kUnsigned32;
  Semantics semantics = Semantics::kDefault;
  std::string_view name, description;
};

struct Field {
  Source source;
  std::uint16_t v9_length;  // of texts: fixed there, filled up with zeros; 0: not in v9
};

struct Template {
  std::uint16_t id = 0;
  std::size_t scopes = 0;  // above 0: an options template
  std::span<const Field> fields;
};

const Element& ElementOf(Source source);
// The source whose element this is; false if it is none of ours.
bool FindElement(std::uint32_t enterprise_or_0, std::uint16_t id, std::uint32_t own_enterprise, Element* element);
// Octets of a fixed-length value; kVariable of a text or list.
std::uint16_t LengthOf(DataType type);

std::span<const Template> Templates();
std::span<const Element> OwnElements();
// Numbers of the templates.
enum TemplateId : std::uint16_t {
  kCallTemplate = 256,
  kAttemptTemplate = 257,
  kIntervalTemplate = 258,
  kGroupTemplate = 259,
  kCountsTemplate = 260,
  kTypesTemplate = 261,
  kSamplesTemplate = 262
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_ELEMENTS_H_
