#include "flow/elements.h"

#include <array>
#include <vector>

namespace croftrun::flow {
namespace {

using D = DataType;
using S = Semantics;

struct ElementEntry {
  FieldId id;
  Element element;
};

constexpr ElementEntry kElements[] = {
    {FieldId::kCall, {148, false, D::kUnsigned64, S::kIdentifier, "flowId", ""}},
    {FieldId::kStart, {152, false, D::kDateTimeMilliseconds, S::kDefault, "flowStartMilliseconds", ""}},
    {FieldId::kEnd, {153, false, D::kDateTimeMilliseconds, S::kDefault, "flowEndMilliseconds", ""}},
    {FieldId::kDuration, {161, false, D::kUnsigned32, S::kDefault, "flowDurationMilliseconds", ""}},
    {FieldId::kEndReason, {136, false, D::kUnsigned8, S::kIdentifier, "flowEndReason", ""}},
    {FieldId::kGroupIn, {10, false, D::kUnsigned32, S::kIdentifier, "ingressInterface", ""}},
    {FieldId::kGroupOut, {14, false, D::kUnsigned32, S::kIdentifier, "egressInterface", ""}},
    {FieldId::kExportedRecords, {42, false, D::kUnsigned64, S::kTotalCounter, "exportedFlowRecordTotalCount", ""}},
    {FieldId::kNotSent, {166, false, D::kUnsigned64, S::kTotalCounter, "notSentFlowTotalCount", ""}},
    {FieldId::kInfoEnterprise, {346, false, D::kUnsigned32, S::kIdentifier, "privateEnterpriseNumber", ""}},
    {FieldId::kInfoElement, {303, false, D::kUnsigned16, S::kIdentifier, "informationElementId", ""}},
    {FieldId::kInfoType, {339, false, D::kUnsigned8, S::kDefault, "informationElementDataType", ""}},
    {FieldId::kInfoSemantics, {344, false, D::kUnsigned8, S::kDefault, "informationElementSemantics", ""}},
    {FieldId::kInfoName, {341, false, D::kString, S::kDefault, "informationElementName", ""}},
    {FieldId::kInfoDescription, {340, false, D::kString, S::kDefault, "informationElementDescription", ""}},
    {FieldId::kAttemptedExchanges, {291, false, D::kBasicList, S::kDefault, "basicList", ""}},
    {FieldId::kExchange,
     {1, true, D::kUnsigned32, S::kIdentifier, "exchange", "Number of the exchange whose softswitch exports"}},
    {FieldId::kOrigin, {2, true, D::kUnsigned32, S::kIdentifier, "originExchange", "Exchange where the call began"}},
    {FieldId::kDestination,
     {3, true, D::kUnsigned32, S::kIdentifier, "destinationExchange",
      "Exchange that the call is for, or an attempt was sent to"}},
    {FieldId::kCalled, {4, true, D::kString, S::kDefault, "calledNumber", "Digits called"}},
    {FieldId::kCalling, {5, true, D::kString, S::kDefault, "callingEndpoint", "Line or trunk that calls"}},
    {FieldId::kClass,
     {6, true, D::kString, S::kDefault, "callClass", "Class of the call, by the rules or the number plan"}},
    {FieldId::kCustomer, {7, true, D::kUnsigned16, S::kIdentifier, "customer", "Customer, by number in the settings"}},
    {FieldId::kFinalAnswer,
     {8, true, D::kUnsigned8, S::kIdentifier, "finalAnswer", "0 hung up before, 1 stands, 2 refused, 3 failed"}},
    {FieldId::kOutcome,
     {9, true, D::kUnsigned8, S::kIdentifier, "attemptOutcome",
      "Outcome of the attempt, as the decision module numbers it"}},
    {FieldId::kCause,
     {10, true, D::kUnsigned8, S::kIdentifier, "releaseCause",
      "Of a call: Q.850 cause; of an attempt: cause as the decision module numbers it"}},
    {FieldId::kSetUpDelay,
     {11, true, D::kUnsigned32, S::kQuantity, "setUpDelayMicroseconds",
      "From the digits or seizure to the answer; 0 if it never stood"}},
    {FieldId::kAttempts, {12, true, D::kUnsigned8, S::kQuantity, "attemptCount", "Attempts made for the call"}},
    {FieldId::kAttemptNumber,
     {13, true, D::kUnsigned8, S::kIdentifier, "attemptNumber", "Of the attempts of its call, from 0"}},
    {FieldId::kViaTandem, {14, true, D::kBoolean, S::kDefault, "viaTandem", "The attempt went to a tandem"}},
    {FieldId::kInTransit,
     {15, true, D::kBoolean, S::kDefault, "inTransit", "This exchange is the tandem: its attempt is the second leg"}},
    {FieldId::kWidth,
     {16, true, D::kUnsigned8, S::kQuantity, "circuitCount",
      "Of a call: circuits that it takes on each group; of an attempt: that it held, 0 if there was none to seize and "
      "no set-up left"}},
    {FieldId::kPriority, {17, true, D::kUnsigned8, S::kIdentifier, "callPriority", "Priority by the rules"}},
    {FieldId::kRulesVersion,
     {18, true, D::kUnsigned32, S::kIdentifier, "rulesVersion",
      "Version of the rules that classified the call; 0 for none"}},
    {FieldId::kAttemptsSent, {377, false, D::kUnsigned64, S::kDeltaCounter, "originalFlowsCompleted", ""}},
    {FieldId::kAttemptsEstablished, {20, true, D::kUnsigned64, S::kDeltaCounter, "attemptsStood", "Of these, stood"}},
    {FieldId::kAttemptsRejected,
     {21, true, D::kUnsigned64, S::kDeltaCounter, "attemptsTurnedBack", "Of these, turned away as full"}},
    {FieldId::kAttemptsLost,
     {22, true, D::kUnsigned64, S::kDeltaCounter, "attemptsLost", "Of these, timed out, reset or could not be sent"}},
    {FieldId::kReplay,
     {27, true, D::kUnsigned8, S::kIdentifier, "replayed",
      "0 told as it happened; 1 from the spool; 2 possibly told before"}},
    {FieldId::kSelectorAlgorithm, {390, false, D::kUnsigned16, S::kIdentifier, "flowSelectorAlgorithm", ""}},
    {FieldId::kObserved, {394, false, D::kUnsigned64, S::kTotalCounter, "selectorIDTotalFlowsObserved", ""}},
    {FieldId::kSelected, {395, false, D::kUnsigned64, S::kTotalCounter, "selectorIDTotalFlowsSelected", ""}},
    {FieldId::kRingFull,
     {23, true, D::kUnsigned64, S::kTotalCounter, "droppedRingFull",
      "Records not taken as the ring to the exporter was full"}},
    {FieldId::kQueueFull,
     {24, true, D::kUnsigned64, S::kTotalCounter, "droppedQueueFull",
      "Records dropped as the collector's queue was full"}},
    {FieldId::kSpoolFull,
     {25, true, D::kUnsigned64, S::kTotalCounter, "droppedSpoolFull",
      "Records dropped as the spool was full or failed"}},
    {FieldId::kSendFailed,
     {26, true, D::kUnsigned64, S::kTotalCounter, "droppedSendFailed",
      "Records of messages that could not be sent, or were cut off"}},
};

constexpr Field kCallFields[] = {{FieldId::kCall, 8},        {FieldId::kStart, 8},
                                 {FieldId::kEnd, 8},         {FieldId::kEndReason, 1},
                                 {FieldId::kGroupIn, 4},     {FieldId::kExchange, 4},
                                 {FieldId::kOrigin, 4},      {FieldId::kDestination, 4},
                                 {FieldId::kCalled, 32},     {FieldId::kCalling, 64},
                                 {FieldId::kClass, 32},      {FieldId::kCustomer, 2},
                                 {FieldId::kFinalAnswer, 1}, {FieldId::kCause, 1},
                                 {FieldId::kSetUpDelay, 4},  {FieldId::kAttempts, 1},
                                 {FieldId::kInTransit, 1},   {FieldId::kWidth, 1},
                                 {FieldId::kPriority, 1},    {FieldId::kRulesVersion, 4},
                                 {FieldId::kReplay, 1},      {FieldId::kAttemptedExchanges, 0}};
constexpr Field kAttemptFields[] = {
    {FieldId::kCall, 8},        {FieldId::kAttemptNumber, 1}, {FieldId::kStart, 8},     {FieldId::kEnd, 8},
    {FieldId::kEndReason, 1},   {FieldId::kGroupIn, 4},       {FieldId::kGroupOut, 4},  {FieldId::kExchange, 4},
    {FieldId::kDestination, 4}, {FieldId::kViaTandem, 1},     {FieldId::kInTransit, 1}, {FieldId::kOutcome, 1},
    {FieldId::kCause, 1},       {FieldId::kSetUpDelay, 4},    {FieldId::kWidth, 1},     {FieldId::kReplay, 1}};
constexpr Field kIntervalFields[] = {{FieldId::kCall, 8},        {FieldId::kStart, 8},    {FieldId::kEnd, 8},
                                     {FieldId::kEndReason, 1},   {FieldId::kExchange, 4}, {FieldId::kOrigin, 4},
                                     {FieldId::kDestination, 4}, {FieldId::kClass, 32},   {FieldId::kWidth, 1},
                                     {FieldId::kReplay, 1}};
constexpr Field kGroupFields[] = {{FieldId::kExchange, 4},
                                  {FieldId::kGroupOut, 4},
                                  {FieldId::kStart, 8},
                                  {FieldId::kEnd, 8},
                                  {FieldId::kAttemptsSent, 8},
                                  {FieldId::kAttemptsEstablished, 8},
                                  {FieldId::kAttemptsRejected, 8},
                                  {FieldId::kAttemptsLost, 8},
                                  {FieldId::kReplay, 1}};
constexpr Field kCountsFields[] = {{FieldId::kExchange, 4},  {FieldId::kExportedRecords, 8}, {FieldId::kNotSent, 8},
                                   {FieldId::kRingFull, 8},  {FieldId::kQueueFull, 8},       {FieldId::kSpoolFull, 8},
                                   {FieldId::kSendFailed, 8}};
constexpr Field kTypesFields[] = {{FieldId::kInfoEnterprise, 0}, {FieldId::kInfoElement, 0},
                                  {FieldId::kInfoType, 0},       {FieldId::kInfoSemantics, 0},
                                  {FieldId::kInfoName, 0},       {FieldId::kInfoDescription, 0}};

constexpr Field kSamplesFields[] = {
    {FieldId::kExchange, 4}, {FieldId::kSelectorAlgorithm, 2}, {FieldId::kObserved, 8}, {FieldId::kSelected, 8}};

constexpr Template kTemplates[] = {{kCallTemplate, 0, kCallFields},
                                   {kAttemptTemplate, 0, kAttemptFields},
                                   {kIntervalTemplate, 0, kIntervalFields},
                                   {kGroupTemplate, 0, kGroupFields},
                                   {kExporterCountsTemplate, 1, kCountsFields},
                                   {kElementTypesTemplate, 2, kTypesFields},
                                   {kSamplesTemplate, 1, kSamplesFields}};

constexpr auto kElementByFieldId = [] {
  std::array<const Element*, 64> table{};
  for (const ElementEntry& entry : kElements) table[static_cast<std::size_t>(entry.id)] = &entry.element;
  return table;
}();

}  // namespace

const Element& ElementOf(FieldId id) { return *kElementByFieldId[static_cast<std::size_t>(id)]; }

bool FindElement(std::uint32_t enterprise, std::uint16_t id, std::uint32_t own_enterprise, Element* element) {
  for (const ElementEntry& entry : kElements) {
    const bool same_space = entry.element.enterprise_specific ? enterprise == own_enterprise : enterprise == 0;
    if (!same_space || entry.element.id != id) continue;
    *element = entry.element;
    return true;
  }
  return false;
}

std::uint16_t LengthOf(DataType type) {
  switch (type) {
    case DataType::kUnsigned8:
    case DataType::kBoolean:
      return 1;
    case DataType::kUnsigned16:
      return 2;
    case DataType::kUnsigned32:
    case DataType::kSigned32:
    case DataType::kIpv4Address:
      return 4;
    case DataType::kUnsigned64:
    case DataType::kDateTimeMilliseconds:
      return 8;
    case DataType::kOctetArray:
    case DataType::kString:
    case DataType::kBasicList:
      break;
  }
  return kVariableLength;
}

std::span<const Template> Templates() { return kTemplates; }

std::span<const Element> EnterpriseElements() {
  static const auto elements = [] {
    std::vector<Element> list;
    for (const ElementEntry& entry : kElements) {
      if (entry.element.enterprise_specific) list.push_back(entry.element);
    }
    return list;
  }();
  return elements;
}

}  // namespace croftrun::flow
