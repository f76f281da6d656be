#include "flow/encode.h"

#include <boost/endian/conversion.hpp>
#include <cstring>
#include <utility>

namespace croftrun::flow {
namespace {

constexpr std::size_t kIpfixHeader = 16, kV9Header = 20;
constexpr std::uint16_t kTemplateSet = 2, kOptionsTemplateSet = 3;  // of IPFIX
constexpr std::uint16_t kV9TemplateSet = 0, kV9OptionsTemplateSet = 1;
constexpr std::uint16_t kEnterpriseBit = 0x8000;
constexpr std::uint16_t kV9ScopeSystem = 1;
constexpr std::uint64_t kHashBased = 6;  // flowSelectorAlgorithm (RFC 7014, IANA)
// Octets by which a message may pass its limit before the last record is taken back.
constexpr std::size_t kLargestRecord = 2048;
constexpr std::uint8_t kOrdered = 4;  // semantic of a list (RFC 6313 4.4)

void Patch(std::string* out, std::size_t at, std::uint64_t value, std::size_t octets) {
  for (std::size_t i = 0; i < octets; ++i) (*out)[at + i] = static_cast<char>(value >> (8 * (octets - 1 - i)));
}

}  // namespace

// In network order, in one piece: this is most of what encoding does.
void Encoder::Put(std::uint64_t value, std::size_t octets) {
  const std::uint64_t ordered = boost::endian::native_to_big(value << (64 - 8 * octets));
  std::memcpy(out_.data() + end_, &ordered, sizeof ordered);
  end_ += octets;
}

void Encoder::PutOctets(std::string_view octets) {
  // In words: for texts as short as ours a general copy spends more on its start than on the octets.
  char* to = out_.data() + end_;
  end_ += octets.size();
  for (; octets.size() >= 8; octets.remove_prefix(8), to += 8) std::memcpy(to, octets.data(), 8);
  for (const char octet : octets) *to++ = octet;
}

Encoder::Encoder(EncoderSettings settings) : settings_(std::move(settings)) {
  for (const Template& of : Templates()) {
    std::vector<Step>& steps = steps_.emplace_back();
    for (const Field& field : of.fields) {
      const DataType type = ElementOf(field.source).type;
      if (In(field)) steps.push_back({field.source, type, LengthOf(type), field.v9_length});
    }
  }
}

void Encoder::Begin() {
  // Room for the last record that is then taken back, so that nothing below has to look.
  out_.resize(settings_.most_octets + kLargestRecord);
  end_ = settings_.protocol == Protocol::kIpfix ? kIpfixHeader : kV9Header;
  set_at_ = 0;
  records_ = flowsets_records_ = 0;
  has_templates_ = false;
}

void Encoder::OpenSet(std::uint16_t id) {
  if (set_at_ != 0 && set_id_ == id) return;
  CloseSet();
  set_at_ = end_;
  set_id_ = id;
  Put(id, 2);
  Put(0, 2);
}

void Encoder::CloseSet() {
  if (set_at_ == 0) return;
  // v9 sets end on four octets (RFC 3954 5.3); in IPFIX padding is left to choice.
  while (settings_.protocol == Protocol::kNetflow9 && (end_ - set_at_) % 4 != 0) Put(0, 1);
  Patch(&out_, set_at_ + 2, end_ - set_at_, 2);
  set_at_ = 0;
}

// Takes back what was added since, if the message is too long with it.
bool Encoder::Rolled(std::size_t to) {
  if (end_ + 3 <= settings_.most_octets) return false;
  end_ = to;
  if (set_at_ >= to) set_at_ = 0;
  return true;
}

void Encoder::PutSpecifier(const Field& field) {
  const Element& element = ElementOf(field.source);
  if (settings_.protocol == Protocol::kNetflow9) {
    Put(element.own ? kV9Own + element.id : element.id, 2);
    Put(field.v9_length, 2);
    return;
  }
  Put(element.own ? element.id | kEnterpriseBit : element.id, 2);
  Put(LengthOf(element.type), 2);
  if (element.own) Put(settings_.enterprise, 4);
}

void Encoder::PutOptionsTemplate(const Template& of) {
  Put(of.id, 2);
  if (settings_.protocol == Protocol::kIpfix) {
    Put(of.fields.size(), 2);
    Put(of.scopes, 2);
    for (const Field& field : of.fields) PutSpecifier(field);
    return;
  }
  // v9 gives the lengths of the two parts in octets, and its scope is the system as a whole.
  Put(4, 2);
  Put(4 * (of.fields.size() - of.scopes), 2);
  Put(kV9ScopeSystem, 2);
  Put(of.fields[0].v9_length, 2);
  for (std::size_t i = of.scopes; i < of.fields.size(); ++i) PutSpecifier(of.fields[i]);
}

bool Encoder::AddTemplates() {
  const bool ipfix = settings_.protocol == Protocol::kIpfix;
  CloseSet();
  const std::size_t before = end_;
  OpenSet(ipfix ? kTemplateSet : kV9TemplateSet);
  std::size_t count = 0;
  for (const Template& of : Templates()) {
    if (of.scopes > 0) continue;
    std::size_t fields = 0;
    for (const Field& field : of.fields) fields += In(field) ? 1 : 0;
    Put(of.id, 2);
    Put(fields, 2);
    for (const Field& field : of.fields) {
      if (In(field)) PutSpecifier(field);
    }
    ++count;
  }
  OpenSet(ipfix ? kOptionsTemplateSet : kV9OptionsTemplateSet);
  for (const Template& of : Templates()) {
    if (of.scopes == 0 || !In(of.fields[0])) continue;
    PutOptionsTemplate(of);
    ++count;
  }
  CloseSet();
  if (Rolled(before)) return false;
  flowsets_records_ += count;
  has_templates_ = true;
  return true;
}

std::size_t Encoder::AddTypes(std::size_t from) {
  for (; from < types(); ++from) {
    const Info info{OwnElements()[from], settings_.enterprise};
    if (!AddData(Templates()[kTypesTemplate - kCallTemplate], {nullptr, nullptr, &info, nullptr})) break;
  }
  return from;
}

bool Encoder::Add(const FlowRecord& record) {
  return AddData(Templates()[static_cast<std::size_t>(record.kind)], {&record, nullptr, nullptr, nullptr});
}

bool Encoder::AddCounts(const ExportCounts& counts) {
  return AddData(Templates()[kCountsTemplate - kCallTemplate], {nullptr, &counts, nullptr, nullptr});
}

bool Encoder::AddSamples(const SampleCounts& samples) {
  return AddData(Templates()[kSamplesTemplate - kCallTemplate], {nullptr, nullptr, nullptr, &samples});
}

bool Encoder::AddData(const Template& of, const Values& values) {
  if (set_id_ != of.id) CloseSet();
  const std::size_t before = end_;
  OpenSet(of.id);
  for (const Step& step : steps_[of.id - kCallTemplate]) PutField(step, values);
  if (Rolled(before)) return false;
  ++records_;
  ++flowsets_records_;
  return true;
}

std::uint64_t Encoder::Number(Source source, const Values& values) const {
  const auto plain = [](std::int32_t number) { return static_cast<std::uint64_t>(static_cast<std::uint32_t>(number)); };
  if (values.info != nullptr) {
    switch (source) {
      case Source::kInfoEnterprise:
        return values.info->enterprise;
      case Source::kInfoElement:
        return values.info->element.id | kEnterpriseBit;
      case Source::kInfoType:
        return static_cast<std::uint64_t>(values.info->element.type);
      case Source::kInfoSemantics:
        return static_cast<std::uint64_t>(values.info->element.semantics);
      default:
        return 0;
    }
  }
  if (values.counts != nullptr) {
    switch (source) {
      case Source::kExchange:
        return settings_.domain;
      case Source::kExportedRecords:
        return values.counts->exported;
      case Source::kNotSent:
        return values.counts->not_sent;
      case Source::kRingFull:
        return values.counts->ring_full;
      case Source::kQueueFull:
        return values.counts->queue_full;
      case Source::kSpoolFull:
        return values.counts->spool_full;
      case Source::kSendFailed:
        return values.counts->send_failed;
      default:
        return 0;
    }
  }
  if (values.samples != nullptr) {
    if (source == Source::kSelector) return kHashBased;
    if (source == Source::kExchange) return settings_.domain;
    return source == Source::kObserved ? values.samples->observed : values.samples->selected;
  }
  const FlowRecord& r = *values.record;
  switch (source) {
    case Source::kCall:
      return r.call;
    case Source::kStart:
      return r.start_ms;
    case Source::kEnd:
      return r.end_ms;
    case Source::kDuration:
      return r.end_ms - r.start_ms;
    case Source::kEndReason:
      return static_cast<std::uint64_t>(r.end_reason);
    case Source::kGroupIn:
      return plain(r.group_in);
    case Source::kGroupOut:
    case Source::kDestination:
      return plain(r.destination);
    case Source::kExchange:
      return r.exchange;
    case Source::kOrigin:
      return plain(r.origin);
    case Source::kCustomer:
      return r.customer;
    case Source::kAnswer:
      return r.answer;
    case Source::kOutcome:
      return r.outcome;
    case Source::kCause:
      return r.cause;
    case Source::kSetUp:
      return r.set_up_us;
    case Source::kAttempts:
    case Source::kAttemptNumber:
      return r.attempts;
    case Source::kTandem:
      return r.tandem ? 1 : 2;  // booleans are 1 and 2 (RFC 7011 6.1.5)
    case Source::kInTransit:
      return r.in_transit ? 1 : 2;
    case Source::kWidth:
      return r.width;
    case Source::kPriority:
      return r.priority;
    case Source::kRules:
      return r.rules;
    case Source::kSent:
      return r.sent;
    case Source::kStood:
      return r.stood;
    case Source::kTurnedBack:
      return r.turned_back;
    case Source::kLost:
      return r.lost;
    case Source::kReplay:
      return static_cast<std::uint64_t>(r.replay);
    default:
      return 0;
  }
}

std::string_view Encoder::Text(Source source, const Values& values) const {
  if (values.info != nullptr)
    return source == Source::kInfoName ? values.info->element.name : values.info->element.description;
  if (source == Source::kCalled) return values.record->called.text();
  if (source == Source::kCalling) return values.record->calling.text();
  const std::size_t call_class = values.record->call_class;
  return call_class < settings_.classes.size() ? std::string_view(settings_.classes[call_class]) : std::string_view();
}

void Encoder::PutText(std::string_view text, std::uint16_t v9_length) {
  if (settings_.protocol == Protocol::kNetflow9) {
    text = text.substr(0, v9_length);
    PutOctets(text);
    std::memset(out_.data() + end_, 0, v9_length - text.size());
    end_ += v9_length - text.size();
    return;
  }
  // RFC 7011 7: one octet of length, or 255 and two.
  text = text.substr(0, 1024);
  if (text.size() < 255) {
    Put(text.size(), 1);
  } else {
    Put(255, 1);
    Put(text.size(), 2);
  }
  PutOctets(text);
}

void Encoder::PutField(const Step& step, const Values& values) {
  if (step.type == DataType::kString) return PutText(Text(step.source, values), step.v9_length);
  if (step.type == DataType::kBasicList) {
    // Where the attempts were sent, in order: a list of egressInterface (RFC 6313 4.5.1).
    const FlowRecord& r = *values.record;
    const std::size_t count = std::min<std::size_t>(r.attempts, FlowRecord::kMostAttempts);
    Put(255, 1);
    Put(5 + 4 * count, 2);
    Put(kOrdered, 1);
    Put(ElementOf(Source::kGroupOut).id, 2);
    Put(4, 2);
    for (std::size_t i = 0; i < count; ++i) Put(static_cast<std::uint32_t>(r.tried[i]), 4);
    return;
  }
  Put(Number(step.source, values), step.length);
}

const std::string& Encoder::Finish(std::uint32_t unix_s, std::uint32_t up_ms) {
  CloseSet();
  out_.resize(end_);
  if (settings_.protocol == Protocol::kIpfix) {
    Patch(&out_, 0, 10, 2);
    Patch(&out_, 2, end_, 2);
    Patch(&out_, 4, unix_s, 4);
    Patch(&out_, 8, sequence_, 4);
    Patch(&out_, 12, settings_.domain, 4);
    sequence_ += static_cast<std::uint32_t>(records_);  // of data records sent before (RFC 7011 3.1)
  } else {
    Patch(&out_, 0, 9, 2);
    Patch(&out_, 2, flowsets_records_, 2);
    Patch(&out_, 4, up_ms, 4);
    Patch(&out_, 8, unix_s, 4);
    Patch(&out_, 12, sequence_, 4);
    Patch(&out_, 16, settings_.domain, 4);
    ++sequence_;  // of packets (RFC 3954 5.1)
  }
  return out_;
}

}  // namespace croftrun::flow
