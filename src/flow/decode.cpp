#include "flow/decode.h"

namespace croftrun::flow {
namespace {

constexpr std::size_t kMaxTemplates = 4096, kMaxFields = 512, kMaxDomains = 4096;
constexpr std::uint16_t kEnterpriseBit = 0x8000;

std::uint64_t ReadAt(std::string_view octets, std::size_t at, std::size_t size) {
  return ReadUnsigned(octets.substr(at, size));
}

// Removes `size` octets from the front; returns false if there are fewer.
bool TakeOctets(std::string_view* rest, std::size_t size, std::string_view* taken) {
  if (rest->size() < size) return false;
  *taken = rest->substr(0, size);
  rest->remove_prefix(size);
  return true;
}
bool TakeNumber(std::string_view* rest, std::size_t size, std::uint64_t* number) {
  std::string_view octets;
  if (!TakeOctets(rest, size, &octets)) return false;
  *number = ReadUnsigned(octets);
  return true;
}

}  // namespace

std::uint64_t ReadUnsigned(std::string_view octets) {
  std::uint64_t number = 0;
  for (const char octet : octets) number = number << 8U | static_cast<std::uint8_t>(octet);
  return number;
}

std::vector<std::uint64_t> ReadBasicList(std::string_view octets) {
  std::vector<std::uint64_t> list;
  std::uint64_t semantic = 0, id = 0, length = 0;
  std::string_view rest = octets, value;
  if (!TakeNumber(&rest, 1, &semantic) || !TakeNumber(&rest, 2, &id) || !TakeNumber(&rest, 2, &length)) return list;
  if ((id & kEnterpriseBit) != 0 && !TakeOctets(&rest, 4, &value)) return list;
  if (length == 0 || length > 8) return list;
  while (TakeOctets(&rest, length, &value)) list.push_back(ReadUnsigned(value));
  return list;
}

const DecodedField* DecodedRecord::Find(FieldId id, std::uint32_t own_enterprise) const {
  const Element& element = ElementOf(id);
  for (const DecodedField& field : fields) {
    const bool v9_enterprise =
        element.enterprise_specific && field.enterprise == 0 && field.id == kV9EnterpriseBase + element.id;
    if (v9_enterprise ||
        (field.id == element.id && field.enterprise == (element.enterprise_specific ? own_enterprise : 0)))
      return &field;
  }
  return nullptr;
}

std::uint64_t DecodedRecord::Number(FieldId id) const {
  const DecodedField* field = Find(id);
  return field == nullptr ? 0 : ReadUnsigned(field->octets.substr(0, 8));
}

std::string_view DecodedRecord::Text(FieldId id) const {
  const DecodedField* field = Find(id);
  return field == nullptr ? std::string_view() : field->octets.substr(0, field->octets.find('\0'));
}

void Decoder::Reset() {
  templates_.clear();
  next_sequence_.clear();
}

bool Decoder::Fail(std::string* error, std::string text) {
  ++counters_.malformed;
  if (error != nullptr) *error = std::move(text);
  return false;
}

std::size_t Decoder::NextMessageLength(std::string_view stream) {
  if (stream.size() < 4) return 0;
  const std::uint64_t version = ReadAt(stream, 0, 2), length = ReadAt(stream, 2, 2);
  return version != 10 || length < 16 ? 1 : length;  // only IPFIX is sent over streams
}

bool Decoder::DecodeMessage(std::string_view octets, const OnRecord& on_record, std::string* error) {
  if (octets.size() < 16) return Fail(error, "expected a header of 16 octets, found " + std::to_string(octets.size()));
  const std::uint64_t version = ReadAt(octets, 0, 2);
  if (version != 9 && version != 10) return Fail(error, "expected version 9 or 10, found " + std::to_string(version));
  MessageContext context;
  context.protocol = version == 10 ? Protocol::kIpfix : Protocol::kNetflow9;
  const bool ipfix = version == 10;
  if (!ipfix && octets.size() < 20)
    return Fail(error, "expected a header of 20 octets, found " + std::to_string(octets.size()));
  if (ipfix && ReadAt(octets, 2, 2) != octets.size())
    return Fail(error,
                "expected " + std::to_string(ReadAt(octets, 2, 2)) + " octets, found " + std::to_string(octets.size()));
  ++counters_.messages;
  const auto sequence = static_cast<std::uint32_t>(ReadAt(octets, ipfix ? 8 : 12, 4));
  context.observation_domain = static_cast<std::uint32_t>(ReadAt(octets, ipfix ? 12 : 16, 4));
  if (const auto expected = next_sequence_.find(context.observation_domain); expected != next_sequence_.end()) {
    // The number wraps around. Differences of half its range and more are messages that came late or twice.
    const std::uint32_t gap = sequence - expected->second;
    if (gap < 0x80000000U) counters_.lost += gap;
  }
  bool ok = true;
  std::string_view rest = octets.substr(ipfix ? 16 : 20);
  while (ok && !rest.empty()) {
    std::uint64_t id = 0, length = 0;
    std::string_view set;
    if (rest.size() < 4) {
      ok = Fail(error, "expected a set at octet " + std::to_string(octets.size() - rest.size()) +
                           ", found the end of the message");
      break;
    }
    id = ReadAt(rest, 0, 2);
    length = ReadAt(rest, 2, 2);
    if (length < 4 || !TakeOctets(&rest, length, &set)) {
      ok = Fail(error, "expected a set of " + std::to_string(length) + " octets at octet " +
                           std::to_string(octets.size() - rest.size()) + ", found fewer");
      break;
    }
    ok = DecodeSet(set.substr(4), static_cast<std::uint16_t>(id), &context, on_record, error);
  }
  if (next_sequence_.size() < kMaxDomains || next_sequence_.count(context.observation_domain) > 0)
    next_sequence_[context.observation_domain] =
        ipfix ? sequence + static_cast<std::uint32_t>(context.records) : sequence + 1;
  return ok;
}

bool Decoder::DecodeSet(std::string_view set, std::uint16_t id, MessageContext* context, const OnRecord& on_record,
                        std::string* error) {
  const bool ipfix = context->protocol == Protocol::kIpfix;
  if (id == (ipfix ? 2 : 0)) return DecodeTemplateSet(set, false, *context, error);
  if (id == (ipfix ? 3 : 1)) return DecodeTemplateSet(set, true, *context, error);
  if (id < 256) return true;  // reserved set IDs are skipped
  const auto known = templates_.find({context->observation_domain, id});
  if (known == templates_.end()) {
    ++counters_.without_template;
    return true;
  }
  return DecodeDataSet(set, known->second, id, context, on_record, error);
}

bool Decoder::DecodeTemplateSet(std::string_view set, bool options, const MessageContext& context, std::string* error) {
  const bool ipfix = context.protocol == Protocol::kIpfix;
  while (set.size() >= 4) {
    std::uint64_t id = 0, count = 0, scope_count = 0;
    TakeNumber(&set, 2, &id);
    TakeNumber(&set, 2, &count);
    if (id == 0 && !ipfix) return true;  // padding
    if (ipfix && count == 0) {
      templates_.erase(
          {context.observation_domain, static_cast<std::uint16_t>(id)});  // template withdrawal (RFC 7011 8.1)
      continue;
    }
    if (id < 256) return Fail(error, "expected a template ID of at least 256, found " + std::to_string(id));
    if (options) {
      if (!TakeNumber(&set, 2, &scope_count))
        return Fail(error, "expected a scope field count, found the end of the set");
      if (!ipfix) {  // v9 gives both as lengths in octets
        const std::uint64_t scope_octets = count;
        count = (scope_octets + scope_count) / 4;
        scope_count = scope_octets / 4;
      }
      if (scope_count == 0 || scope_count > count)
        return Fail(error,
                    "expected 1 to " + std::to_string(count) + " scope fields, found " + std::to_string(scope_count));
    }
    if (count > kMaxFields)
      return Fail(error, "expected at most " + std::to_string(kMaxFields) + " fields, found " + std::to_string(count));
    StoredTemplate known;
    known.scope_count = scope_count;
    std::size_t min_octets = 0;
    for (std::uint64_t i = 0; i < count; ++i) {
      std::uint64_t field = 0, length = 0, enterprise = 0;
      if (!TakeNumber(&set, 2, &field) || !TakeNumber(&set, 2, &length))
        return Fail(error, "expected a field specifier, found the end of the set");
      if (ipfix && (field & kEnterpriseBit) != 0 && !TakeNumber(&set, 4, &enterprise))
        return Fail(error, "expected an enterprise number, found the end of the set");
      // The v9 scope "system" is not an information element.
      const bool v9_scope = !ipfix && options && i < scope_count;
      known.fields.push_back({static_cast<std::uint32_t>(enterprise),
                              static_cast<std::uint16_t>(v9_scope ? 0
                                                         : ipfix  ? field & ~std::uint64_t{kEnterpriseBit}
                                                                  : field),
                              static_cast<std::uint16_t>(length)});
      min_octets += length == kVariableLength && ipfix ? 1 : length;
    }
    if (min_octets == 0)
      return Fail(error, "expected a template whose records have at least 1 octet, found one of 0 octets");
    ++counters_.templates;
    const std::pair key{context.observation_domain, static_cast<std::uint16_t>(id)};
    if (templates_.size() >= kMaxTemplates && templates_.count(key) == 0)
      return Fail(error, "expected at most " + std::to_string(kMaxTemplates) + " templates, found more");
    templates_[key] = std::move(known);
  }
  return true;
}

bool Decoder::DecodeDataSet(std::string_view set, const StoredTemplate& known, std::uint16_t id,
                            MessageContext* context, const OnRecord& on_record, std::string* error) {
  const bool ipfix = context->protocol == Protocol::kIpfix;
  std::size_t min_octets = 0;
  for (const FieldSpecifier& specifier : known.fields)
    min_octets += specifier.length == kVariableLength && ipfix ? 1 : specifier.length;
  while (set.size() >= min_octets) {
    DecodedRecord record;
    record.observation_domain = context->observation_domain;
    record.template_id = id;
    record.options = known.scope_count > 0;
    record.fields.reserve(known.fields.size());
    for (const FieldSpecifier& specifier : known.fields) {
      std::uint64_t length = specifier.length;
      if (specifier.length == kVariableLength && ipfix) {
        if (!TakeNumber(&set, 1, &length) || (length == 255 && !TakeNumber(&set, 2, &length)))
          return Fail(error, "expected the length of a value, found the end of the set");
      }
      std::string_view octets;
      if (!TakeOctets(&set, length, &octets))
        return Fail(error, "expected a value of " + std::to_string(length) + " octets, found fewer");
      record.fields.push_back({specifier.enterprise, specifier.id, octets});
    }
    ++context->records;
    ++(record.options ? counters_.options : counters_.records);
    if (on_record) on_record(record);
  }
  return true;  // the rest is padding
}

}  // namespace croftrun::flow
