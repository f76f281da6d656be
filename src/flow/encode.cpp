#include "flow/encode.h"

#include <boost/endian/conversion.hpp>
#include <cstring>
#include <utility>

namespace croftrun::flow {
namespace {

constexpr std::size_t kIpfixHeaderOctets = 16, kV9HeaderOctets = 20;
constexpr std::uint16_t kTemplateSet = 2, kOptionsTemplateSet = 3;  // of IPFIX
constexpr std::uint16_t kV9TemplateSet = 0, kV9OptionsTemplateSet = 1;
constexpr std::uint16_t kEnterpriseBit = 0x8000;
constexpr std::uint16_t kV9ScopeSystem = 1;
constexpr std::uint64_t kHashBased = 6;  // flowSelectorAlgorithm (RFC 7014, IANA)
// Octets by which a message may exceed its limit before its last record is removed again.
constexpr std::size_t kMaxRecordOctets = 2048;
constexpr std::uint8_t kSemanticOrdered = 4;  // semantic "ordered" of a structured list (RFC 6313 4.4)

void WriteAt(std::string* out, std::size_t at, std::uint64_t value, std::size_t octets) {
  for (std::size_t i = 0; i < octets; ++i) (*out)[at + i] = static_cast<char>(value >> (8 * (octets - 1 - i)));
}

}  // namespace

// Writes a number in network byte order. It stores eight octets at once and advances by `octets`, since most of the
// encoding time is spent here.
void Encoder::Put(std::uint64_t value, std::size_t octets) {
  const std::uint64_t ordered = boost::endian::native_to_big(value << (64 - 8 * octets));
  std::memcpy(out_.data() + end_offset_, &ordered, sizeof ordered);
  end_offset_ += octets;
}

void Encoder::PutOctets(std::string_view octets) {
  // Copies eight octets at a time: for texts this short, the start-up cost of a general copy exceeds that of the
  // octets.
  char* to = out_.data() + end_offset_;
  end_offset_ += octets.size();
  for (; octets.size() >= 8; octets.remove_prefix(8), to += 8) std::memcpy(to, octets.data(), 8);
  for (const char octet : octets) *to++ = octet;
}

Encoder::Encoder(EncoderSettings settings) : settings_(std::move(settings)) {
  for (const Template& layout : Templates()) {
    std::vector<FieldWriter>& writers = field_writers_.emplace_back();
    for (const Field& field : layout.fields) {
      const DataType type = ElementOf(field.id).type;
      if (IsIncluded(field)) writers.push_back({field.id, type, LengthOf(type), field.v9_length});
    }
  }
}

void Encoder::BeginMessage() {
  // Space for a last record that is too long and then removed, so that no function below has to check the size.
  out_.resize(settings_.max_message_octets + kMaxRecordOctets);
  end_offset_ = settings_.protocol == Protocol::kIpfix ? kIpfixHeaderOctets : kV9HeaderOctets;
  set_offset_ = 0;
  records_ = v9_record_count_ = 0;
  has_templates_ = false;
}

void Encoder::OpenSet(std::uint16_t id) {
  if (set_offset_ != 0 && set_id_ == id) return;
  CloseSet();
  set_offset_ = end_offset_;
  set_id_ = id;
  Put(id, 2);
  Put(0, 2);
}

void Encoder::CloseSet() {
  if (set_offset_ == 0) return;
  // v9 sets are padded to a multiple of four octets (RFC 3954 5.3); in IPFIX padding is optional.
  while (settings_.protocol == Protocol::kNetflow9 && (end_offset_ - set_offset_) % 4 != 0) Put(0, 1);
  WriteAt(&out_, set_offset_ + 2, end_offset_ - set_offset_, 2);
  set_offset_ = 0;
}

// Removes everything from offset `to` on, and returns true, if the message is too long.
bool Encoder::RollBackIfTooLong(std::size_t to) {
  if (end_offset_ + 3 <= settings_.max_message_octets) return false;
  end_offset_ = to;
  if (set_offset_ >= to) set_offset_ = 0;
  return true;
}

void Encoder::PutSpecifier(const Field& field) {
  const Element& element = ElementOf(field.id);
  if (settings_.protocol == Protocol::kNetflow9) {
    Put(element.enterprise_specific ? kV9EnterpriseBase + element.id : element.id, 2);
    Put(field.v9_length, 2);
    return;
  }
  Put(element.enterprise_specific ? element.id | kEnterpriseBit : element.id, 2);
  Put(LengthOf(element.type), 2);
  if (element.enterprise_specific) Put(settings_.enterprise, 4);
}

void Encoder::PutOptionsTemplate(const Template& layout) {
  Put(layout.id, 2);
  if (settings_.protocol == Protocol::kIpfix) {
    Put(layout.fields.size(), 2);
    Put(layout.scope_count, 2);
    for (const Field& field : layout.fields) PutSpecifier(field);
    return;
  }
  // v9 gives the lengths of the scope and option fields in octets. The scope is the whole system.
  Put(4, 2);
  Put(4 * (layout.fields.size() - layout.scope_count), 2);
  Put(kV9ScopeSystem, 2);
  Put(layout.fields[0].v9_length, 2);
  for (std::size_t i = layout.scope_count; i < layout.fields.size(); ++i) PutSpecifier(layout.fields[i]);
}

bool Encoder::AddTemplates() {
  const bool ipfix = settings_.protocol == Protocol::kIpfix;
  CloseSet();
  const std::size_t before = end_offset_;
  OpenSet(ipfix ? kTemplateSet : kV9TemplateSet);
  std::size_t count = 0;
  for (const Template& layout : Templates()) {
    if (layout.scope_count > 0) continue;
    std::size_t fields = 0;
    for (const Field& field : layout.fields) fields += IsIncluded(field) ? 1 : 0;
    Put(layout.id, 2);
    Put(fields, 2);
    for (const Field& field : layout.fields) {
      if (IsIncluded(field)) PutSpecifier(field);
    }
    ++count;
  }
  OpenSet(ipfix ? kOptionsTemplateSet : kV9OptionsTemplateSet);
  for (const Template& layout : Templates()) {
    if (layout.scope_count == 0 || !IsIncluded(layout.fields[0])) continue;
    PutOptionsTemplate(layout);
    ++count;
  }
  CloseSet();
  if (RollBackIfTooLong(before)) return false;
  v9_record_count_ += count;
  has_templates_ = true;
  return true;
}

std::size_t Encoder::AddElementTypes(std::size_t from) {
  for (; from < element_type_count(); ++from) {
    const ElementInfo info{EnterpriseElements()[from], settings_.enterprise};
    if (!AddData(Templates()[kElementTypesTemplate - kCallTemplate], {nullptr, nullptr, &info, nullptr})) break;
  }
  return from;
}

bool Encoder::AddRecord(const FlowRecord& record) {
  return AddData(Templates()[static_cast<std::size_t>(record.kind)], {&record, nullptr, nullptr, nullptr});
}

bool Encoder::AddCounts(const ExportCounts& counts) {
  return AddData(Templates()[kExporterCountsTemplate - kCallTemplate], {nullptr, &counts, nullptr, nullptr});
}

bool Encoder::AddSamples(const SampleCounts& samples) {
  return AddData(Templates()[kSamplesTemplate - kCallTemplate], {nullptr, nullptr, nullptr, &samples});
}

bool Encoder::AddData(const Template& layout, const Values& values) {
  if (set_id_ != layout.id) CloseSet();
  const std::size_t before = end_offset_;
  OpenSet(layout.id);
  for (const FieldWriter& writer : field_writers_[layout.id - kCallTemplate]) PutField(writer, values);
  if (RollBackIfTooLong(before)) return false;
  ++records_;
  ++v9_record_count_;
  return true;
}

std::uint64_t Encoder::Number(FieldId id, const Values& values) const {
  const auto as_unsigned = [](std::int32_t number) {
    return static_cast<std::uint64_t>(static_cast<std::uint32_t>(number));
  };
  if (values.info != nullptr) {
    switch (id) {
      case FieldId::kInfoEnterprise:
        return values.info->enterprise;
      case FieldId::kInfoElement:
        return values.info->element.id | kEnterpriseBit;
      case FieldId::kInfoType:
        return static_cast<std::uint64_t>(values.info->element.type);
      case FieldId::kInfoSemantics:
        return static_cast<std::uint64_t>(values.info->element.semantics);
      default:
        return 0;
    }
  }
  if (values.counts != nullptr) {
    switch (id) {
      case FieldId::kExchange:
        return settings_.observation_domain;
      case FieldId::kExportedRecords:
        return values.counts->exported;
      case FieldId::kNotSent:
        return values.counts->not_sent;
      case FieldId::kRingFull:
        return values.counts->ring_full;
      case FieldId::kQueueFull:
        return values.counts->queue_full;
      case FieldId::kSpoolFull:
        return values.counts->spool_full;
      case FieldId::kSendFailed:
        return values.counts->send_failed;
      default:
        return 0;
    }
  }
  if (values.samples != nullptr) {
    if (id == FieldId::kSelectorAlgorithm) return kHashBased;
    if (id == FieldId::kExchange) return settings_.observation_domain;
    return id == FieldId::kObserved ? values.samples->observed : values.samples->selected;
  }
  const FlowRecord& r = *values.record;
  switch (id) {
    case FieldId::kCall:
      return r.call;
    case FieldId::kStart:
      return r.start_ms;
    case FieldId::kEnd:
      return r.end_ms;
    case FieldId::kDuration:
      return r.end_ms - r.start_ms;
    case FieldId::kEndReason:
      return static_cast<std::uint64_t>(r.end_reason);
    case FieldId::kGroupIn:
      return as_unsigned(r.group_in);
    case FieldId::kGroupOut:
    case FieldId::kDestination:
      return as_unsigned(r.destination);
    case FieldId::kExchange:
      return r.exchange;
    case FieldId::kOrigin:
      return as_unsigned(r.origin);
    case FieldId::kCustomer:
      return r.customer;
    case FieldId::kFinalAnswer:
      return r.answer;
    case FieldId::kOutcome:
      return r.outcome;
    case FieldId::kCause:
      return r.cause;
    case FieldId::kSetUpDelay:
      return r.set_up_delay_us;
    case FieldId::kAttempts:
    case FieldId::kAttemptNumber:
      return r.attempts;
    case FieldId::kViaTandem:
      return r.tandem ? 1 : 2;  // true is 1 and false is 2 (RFC 7011 6.1.5)
    case FieldId::kInTransit:
      return r.in_transit ? 1 : 2;
    case FieldId::kWidth:
      return r.width;
    case FieldId::kPriority:
      return r.priority;
    case FieldId::kRulesVersion:
      return r.rules_version;
    case FieldId::kAttemptsSent:
      return r.sent;
    case FieldId::kAttemptsEstablished:
      return r.established;
    case FieldId::kAttemptsRejected:
      return r.rejected;
    case FieldId::kAttemptsLost:
      return r.lost;
    case FieldId::kReplay:
      return static_cast<std::uint64_t>(r.replay);
    default:
      return 0;
  }
}

std::string_view Encoder::Text(FieldId id, const Values& values) const {
  if (values.info != nullptr)
    return id == FieldId::kInfoName ? values.info->element.name : values.info->element.description;
  if (id == FieldId::kCalled) return values.record->called.text();
  if (id == FieldId::kCalling) return values.record->calling.text();
  const std::size_t call_class = values.record->call_class;
  return call_class < settings_.classes.size() ? std::string_view(settings_.classes[call_class]) : std::string_view();
}

void Encoder::PutText(std::string_view text, std::uint16_t v9_length) {
  if (settings_.protocol == Protocol::kNetflow9) {
    text = text.substr(0, v9_length);
    PutOctets(text);
    std::memset(out_.data() + end_offset_, 0, v9_length - text.size());
    end_offset_ += v9_length - text.size();
    return;
  }
  // Variable-length encoding (RFC 7011 7): one octet of length, or 255 and two octets.
  text = text.substr(0, 1024);
  if (text.size() < 255) {
    Put(text.size(), 1);
  } else {
    Put(255, 1);
    Put(text.size(), 2);
  }
  PutOctets(text);
}

void Encoder::PutField(const FieldWriter& writer, const Values& values) {
  if (writer.type == DataType::kString) return PutText(Text(writer.id, values), writer.v9_length);
  if (writer.type == DataType::kBasicList) {
    // The exchanges that the attempts were sent to, in order, as a list of egressInterface (RFC 6313 4.5.1).
    const FlowRecord& r = *values.record;
    const std::size_t count = std::min<std::size_t>(r.attempts, FlowRecord::kMaxAttempts);
    Put(255, 1);
    Put(5 + 4 * count, 2);
    Put(kSemanticOrdered, 1);
    Put(ElementOf(FieldId::kGroupOut).id, 2);
    Put(4, 2);
    for (std::size_t i = 0; i < count; ++i) Put(static_cast<std::uint32_t>(r.attempted_exchanges[i]), 4);
    return;
  }
  Put(Number(writer.id, values), writer.length);
}

const std::string& Encoder::FinishMessage(std::uint32_t unix_s, std::uint32_t up_ms) {
  CloseSet();
  out_.resize(end_offset_);
  if (settings_.protocol == Protocol::kIpfix) {
    WriteAt(&out_, 0, 10, 2);
    WriteAt(&out_, 2, end_offset_, 2);
    WriteAt(&out_, 4, unix_s, 4);
    WriteAt(&out_, 8, sequence_, 4);
    WriteAt(&out_, 12, settings_.observation_domain, 4);
    sequence_ += static_cast<std::uint32_t>(records_);  // counts data records (RFC 7011 3.1)
  } else {
    WriteAt(&out_, 0, 9, 2);
    WriteAt(&out_, 2, v9_record_count_, 2);
    WriteAt(&out_, 4, up_ms, 4);
    WriteAt(&out_, 8, unix_s, 4);
    WriteAt(&out_, 12, sequence_, 4);
    WriteAt(&out_, 16, settings_.observation_domain, 4);
    ++sequence_;  // counts packets (RFC 3954 5.1)
  }
  return out_;
}

}  // namespace croftrun::flow
