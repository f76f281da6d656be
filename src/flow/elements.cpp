#include "flow/elements.h"

#include <array>
#include <vector>

namespace croftrun::flow {
namespace {

using D = DataType;
using S = Semantics;

struct ElementEntry {
  Source source;
  Element element;
};

constexpr ElementEntry kElements[] = {
    {Source::kCall, {148, false, D::kUnsigned64, S::kIdentifier, "flowId", ""}},
    {Source::kStart, {152, false, D::kDateTimeMilliseconds, S::kDefault, "flowStartMilliseconds", ""}},
    {Source::kEnd, {153, false, D::kDateTimeMilliseconds, S::kDefault, "flowEndMilliseconds", ""}},
    {Source::kDuration, {161, false, D::kUnsigned32, S::kDefault, "flowDurationMilliseconds", ""}},
    {Source::kEndReason, {136, false, D::kUnsigned8, S::kIdentifier, "flowEndReason", ""}},
    {Source::kGroupIn, {10, false, D::kUnsigned32, S::kIdentifier, "ingressInterface", ""}},
    {Source::kGroupOut, {14, false, D::kUnsigned32, S::kIdentifier, "egressInterface", ""}},
    {Source::kExportedRecords, {42, false, D::kUnsigned64, S::kTotalCounter, "exportedFlowRecordTotalCount", ""}},
    {Source::kNotSent, {166, false, D::kUnsigned64, S::kTotalCounter, "notSentFlowTotalCount", ""}},
    {Source::kInfoEnterprise, {346, false, D::kUnsigned32, S::kIdentifier, "privateEnterpriseNumber", ""}},
    {Source::kInfoElement, {303, false, D::kUnsigned16, S::kIdentifier, "informationElementId", ""}},
    {Source::kInfoType, {339, false, D::kUnsigned8, S::kDefault, "informationElementDataType", ""}},
    {Source::kInfoSemantics, {344, false, D::kUnsigned8, S::kDefault, "informationElementSemantics", ""}},
    {Source::kInfoName, {341, false, D::kString, S::kDefault, "informationElementName", ""}},
    {Source::kInfoDescription, {340, false, D::kString, S::kDefault, "informationElementDescription", ""}},
    {Source::kAttemptedExchanges, {291, false, D::kBasicList, S::kDefault, "basicList", ""}},
    {Source::kExchange,
     {1, true, D::kUnsigned32, S::kIdentifier, "exchange", "Number of the exchange whose softswitch exports"}},
    {Source::kOrigin, {2, true, D::kUnsigned32, S::kIdentifier, "originExchange", "Exchange where the call began"}},
    {Source::kDestination,
     {3, true, D::kUnsigned32, S::kIdentifier, "destinationExchange",
      "Exchange that the call is for, or an attempt was sent to"}},
    {Source::kCalled, {4, true, D::kString, S::kDefault, "calledNumber", "Digits called"}},
    {Source::kCalling, {5, true, D::kString, S::kDefault, "callingEndpoint", "Line or trunk that calls"}},
    {Source::kClass,
     {6, true, D::kString, S::kDefault, "callClass", "Class of the call, by the rules or the number plan"}},
    {Source::kCustomer, {7, true, D::kUnsigned16, S::kIdentifier, "customer", "Customer, by number in the settings"}},
    {Source::kFinalAnswer,
     {8, true, D::kUnsigned8, S::kIdentifier, "finalAnswer", "0 hung up before, 1 stands, 2 refused, 3 failed"}},
    {Source::kOutcome,
     {9, true, D::kUnsigned8, S::kIdentifier, "attemptOutcome",
      "Outcome of the attempt, as the decision module numbers it"}},
    {Source::kCause,
     {10, true, D::kUnsigned8, S::kIdentifier, "releaseCause",
      "Of a call: Q.850 cause; of an attempt: cause as the decision module numbers it"}},
    {Source::kSetUpDelay,
     {11, true, D::kUnsigned32, S::kQuantity, "setUpDelayMicroseconds",
      "From the digits or seizure to the answer; 0 if it never stood"}},
    {Source::kAttempts, {12, true, D::kUnsigned8, S::kQuantity, "attemptCount", "Attempts made for the call"}},
    {Source::kAttemptNumber,
     {13, true, D::kUnsigned8, S::kIdentifier, "attemptNumber", "Of the attempts of its call, from 0"}},
    {Source::kViaTandem, {14, true, D::kBoolean, S::kDefault, "viaTandem", "The attempt went to a tandem"}},
    {Source::kInTransit,
     {15, true, D::kBoolean, S::kDefault, "inTransit", "This exchange is the tandem: its attempt is the second leg"}},
    {Source::kWidth,
     {16, true, D::kUnsigned8, S::kQuantity, "circuitCount",
      "Of a call: circuits that it takes on each group; of an attempt: that it held, 0 if there was none to seize and "
      "no set-up left"}},
    {Source::kPriority, {17, true, D::kUnsigned8, S::kIdentifier, "callPriority", "Priority by the rules"}},
    {Source::kRulesVersion,
     {18, true, D::kUnsigned32, S::kIdentifier, "rulesVersion",
      "Version of the rules that classified the call; 0 for none"}},
    {Source::kAttemptsSent, {377, false, D::kUnsigned64, S::kDeltaCounter, "originalFlowsCompleted", ""}},
    {Source::kAttemptsEstablished, {20, true, D::kUnsigned64, S::kDeltaCounter, "attemptsStood", "Of these, stood"}},
    {Source::kAttemptsRejected,
     {21, true, D::kUnsigned64, S::kDeltaCounter, "attemptsTurnedBack", "Of these, turned away as full"}},
    {Source::kAttemptsLost,
     {22, true, D::kUnsigned64, S::kDeltaCounter, "attemptsLost", "Of these, timed out, reset or could not be sent"}},
    {Source::kReplay,
     {27, true, D::kUnsigned8, S::kIdentifier, "replayed",
      "0 told as it happened; 1 from the spool; 2 possibly told before"}},
    {Source::kSelectorAlgorithm, {390, false, D::kUnsigned16, S::kIdentifier, "flowSelectorAlgorithm", ""}},
    {Source::kObserved, {394, false, D::kUnsigned64, S::kTotalCounter, "selectorIDTotalFlowsObserved", ""}},
    {Source::kSelected, {395, false, D::kUnsigned64, S::kTotalCounter, "selectorIDTotalFlowsSelected", ""}},
    {Source::kRingFull,
     {23, true, D::kUnsigned64, S::kTotalCounter, "droppedRingFull",
      "Records not taken as the ring to the exporter was full"}},
    {Source::kQueueFull,
     {24, true, D::kUnsigned64, S::kTotalCounter, "droppedQueueFull",
      "Records dropped as the collector's queue was full"}},
    {Source::kSpoolFull,
     {25, true, D::kUnsigned64, S::kTotalCounter, "droppedSpoolFull",
      "Records dropped as the spool was full or failed"}},
    {Source::kSendFailed,
     {26, true, D::kUnsigned64, S::kTotalCounter, "droppedSendFailed",
      "Records of messages that could not be sent, or were cut off"}},
};

constexpr Field kCallFields[] = {{Source::kCall, 8},        {Source::kStart, 8},
                                 {Source::kEnd, 8},         {Source::kEndReason, 1},
                                 {Source::kGroupIn, 4},     {Source::kExchange, 4},
                                 {Source::kOrigin, 4},      {Source::kDestination, 4},
                                 {Source::kCalled, 32},     {Source::kCalling, 64},
                                 {Source::kClass, 32},      {Source::kCustomer, 2},
                                 {Source::kFinalAnswer, 1}, {Source::kCause, 1},
                                 {Source::kSetUpDelay, 4},  {Source::kAttempts, 1},
                                 {Source::kInTransit, 1},   {Source::kWidth, 1},
                                 {Source::kPriority, 1},    {Source::kRulesVersion, 4},
                                 {Source::kReplay, 1},      {Source::kAttemptedExchanges, 0}};
constexpr Field kAttemptFields[] = {
    {Source::kCall, 8},        {Source::kAttemptNumber, 1}, {Source::kStart, 8},     {Source::kEnd, 8},
    {Source::kEndReason, 1},   {Source::kGroupIn, 4},       {Source::kGroupOut, 4},  {Source::kExchange, 4},
    {Source::kDestination, 4}, {Source::kViaTandem, 1},     {Source::kInTransit, 1}, {Source::kOutcome, 1},
    {Source::kCause, 1},       {Source::kSetUpDelay, 4},    {Source::kWidth, 1},     {Source::kReplay, 1}};
constexpr Field kIntervalFields[] = {{Source::kCall, 8},        {Source::kStart, 8},    {Source::kEnd, 8},
                                     {Source::kEndReason, 1},   {Source::kExchange, 4}, {Source::kOrigin, 4},
                                     {Source::kDestination, 4}, {Source::kClass, 32},   {Source::kWidth, 1},
                                     {Source::kReplay, 1}};
constexpr Field kGroupFields[] = {{Source::kExchange, 4},
                                  {Source::kGroupOut, 4},
                                  {Source::kStart, 8},
                                  {Source::kEnd, 8},
                                  {Source::kAttemptsSent, 8},
                                  {Source::kAttemptsEstablished, 8},
                                  {Source::kAttemptsRejected, 8},
                                  {Source::kAttemptsLost, 8},
                                  {Source::kReplay, 1}};
constexpr Field kCountsFields[] = {{Source::kExchange, 4},  {Source::kExportedRecords, 8}, {Source::kNotSent, 8},
                                   {Source::kRingFull, 8},  {Source::kQueueFull, 8},       {Source::kSpoolFull, 8},
                                   {Source::kSendFailed, 8}};
constexpr Field kTypesFields[] = {{Source::kInfoEnterprise, 0}, {Source::kInfoElement, 0},
                                  {Source::kInfoType, 0},       {Source::kInfoSemantics, 0},
                                  {Source::kInfoName, 0},       {Source::kInfoDescription, 0}};

constexpr Field kSamplesFields[] = {
    {Source::kExchange, 4}, {Source::kSelectorAlgorithm, 2}, {Source::kObserved, 8}, {Source::kSelected, 8}};

constexpr Template kTemplates[] = {{kCallTemplate, 0, kCallFields},         {kAttemptTemplate, 0, kAttemptFields},
                                   {kIntervalTemplate, 0, kIntervalFields}, {kGroupTemplate, 0, kGroupFields},
                                   {kCountsTemplate, 1, kCountsFields},     {kTypesTemplate, 2, kTypesFields},
                                   {kSamplesTemplate, 1, kSamplesFields}};

constexpr auto kElementBySource = [] {
  std::array<const Element*, 64> table{};
  for (const ElementEntry& entry : kElements) table[static_cast<std::size_t>(entry.source)] = &entry.element;
  return table;
}();

}  // namespace

const Element& ElementOf(Source source) { return *kElementBySource[static_cast<std::size_t>(source)]; }

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
