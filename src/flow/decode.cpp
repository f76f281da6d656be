#include "flow/decode.h"

namespace croftrun::flow {
namespace {

constexpr std::size_t kMostTemplates = 4096, kMostFields = 512, kMostDomains = 4096;
constexpr std::uint16_t kEnterpriseBit = 0x8000;

std::uint64_t At(std::string_view octets, std::size_t at, std::size_t size) {
  return UnsignedOf(octets.substr(at, size));
}

// Takes so many octets off the front; false if there are not so many.
bool Take(std::string_view* rest, std::size_t size, std::string_view* taken) {
  if (rest->size() < size) return false;
  *taken = rest->substr(0, size);
  rest->remove_prefix(size);
  return true;
}
bool TakeNumber(std::string_view* rest, std::size_t size, std::uint64_t* number) {
  std::string_view octets;
  if (!Take(rest, size, &octets)) return false;
  *number = UnsignedOf(octets);
  return true;
}

}  // namespace

std::uint64_t UnsignedOf(std::string_view octets) {
  std::uint64_t number = 0;
  for (const char octet : octets) number = number << 8U | static_cast<std::uint8_t>(octet);
  return number;
}

std::vector<std::uint64_t> ListOf(std::string_view octets) {
  std::vector<std::uint64_t> list;
  std::uint64_t semantic = 0, id = 0, length = 0;
  std::string_view rest = octets, one;
  if (!TakeNumber(&rest, 1, &semantic) || !TakeNumber(&rest, 2, &id) || !TakeNumber(&rest, 2, &length)) return list;
  if ((id & kEnterpriseBit) != 0 && !Take(&rest, 4, &one)) return list;
  if (length == 0 || length > 8) return list;
  while (Take(&rest, length, &one)) list.push_back(UnsignedOf(one));
  return list;
}

const DecodedField* DecodedRecord::Find(Source source, std::uint32_t own_enterprise) const {
  const Element& element = ElementOf(source);
  for (const DecodedField& field : fields) {
    const bool v9_own = element.own && field.enterprise == 0 && field.id == kV9Own + element.id;
    if (v9_own || (field.id == element.id && field.enterprise == (element.own ? own_enterprise : 0))) return &field;
  }
  return nullptr;
}

std::uint64_t DecodedRecord::Number(Source source) const {
  const DecodedField* field = Find(source);
  return field == nullptr ? 0 : UnsignedOf(field->octets.substr(0, 8));
}

std::string_view DecodedRecord::Text(Source source) const {
  const DecodedField* field = Find(source);
  return field == nullptr ? std::string_view() : field->octets.substr(0, field->octets.find('\0'));
}

void Decoder::Forget() {
  templates_.clear();
  next_.clear();
}

bool Decoder::Fail(std::string* error, std::string text) {
  ++counters_.malformed;
  if (error != nullptr) *error = std::move(text);
  return false;
}

std::size_t Decoder::LengthOfNext(std::string_view stream) {
  if (stream.size() < 4) return 0;
  const std::uint64_t version = At(stream, 0, 2), length = At(stream, 2, 2);
  return version != 10 || length < 16 ? 1 : length;  // only IPFIX runs over streams
}

bool Decoder::Message(std::string_view octets, const OnRecord& on_record, std::string* error) {
  if (octets.size() < 16) return Fail(error, "expected a header of 16 octets, found " + std::to_string(octets.size()));
  const std::uint64_t version = At(octets, 0, 2);
  if (version != 9 && version != 10) return Fail(error, "expected version 9 or 10, found " + std::to_string(version));
  Context context;
  context.protocol = version == 10 ? Protocol::kIpfix : Protocol::kNetflow9;
  const bool ipfix = version == 10;
  if (!ipfix && octets.size() < 20)
    return Fail(error, "expected a header of 20 octets, found " + std::to_string(octets.size()));
  if (ipfix && At(octets, 2, 2) != octets.size())
    return Fail(error,
                "expected " + std::to_string(At(octets, 2, 2)) + " octets, found " + std::to_string(octets.size()));
  ++counters_.messages;
  const auto sequence = static_cast<std::uint32_t>(At(octets, ipfix ? 8 : 12, 4));
  context.domain = static_cast<std::uint32_t>(At(octets, ipfix ? 12 : 16, 4));
  if (const auto expected = next_.find(context.domain); expected != next_.end()) {
    // It wraps; what came late or twice lies half the circle away.
    const std::uint32_t gap = sequence - expected->second;
    if (gap < 0x80000000U) counters_.lost += gap;
  }
  bool fine = true;
  std::string_view rest = octets.substr(ipfix ? 16 : 20);
  while (fine && !rest.empty()) {
    std::uint64_t id = 0, length = 0;
    std::string_view set;
    if (rest.size() < 4) {
      fine = Fail(error, "expected a set at octet " + std::to_string(octets.size() - rest.size()) + ", found its end");
      break;
    }
    id = At(rest, 0, 2);
    length = At(rest, 2, 2);
    if (length < 4 || !Take(&rest, length, &set)) {
      fine = Fail(error, "expected a set of " + std::to_string(length) + " octets at octet " +
                             std::to_string(octets.size() - rest.size()) + ", found fewer");
      break;
    }
    fine = Set(set.substr(4), static_cast<std::uint16_t>(id), &context, on_record, error);
  }
  if (next_.size() < kMostDomains || next_.count(context.domain) > 0)
    next_[context.domain] = ipfix ? sequence + static_cast<std::uint32_t>(context.records) : sequence + 1;
  return fine;
}

bool Decoder::Set(std::string_view set, std::uint16_t id, Context* context, const OnRecord& on_record,
                  std::string* error) {
  const bool ipfix = context->protocol == Protocol::kIpfix;
  if (id == (ipfix ? 2 : 0)) return Templates(set, false, *context, error);
  if (id == (ipfix ? 3 : 1)) return Templates(set, true, *context, error);
  if (id < 256) return true;  // reserved: passed over
  const auto known = templates_.find({context->domain, id});
  if (known == templates_.end()) {
    ++counters_.without_template;
    return true;
  }
  return Data(set, known->second, id, context, on_record, error);
}

bool Decoder::Templates(std::string_view set, bool options, const Context& context, std::string* error) {
  const bool ipfix = context.protocol == Protocol::kIpfix;
  while (set.size() >= 4) {
    std::uint64_t id = 0, count = 0, scopes = 0;
    TakeNumber(&set, 2, &id);
    TakeNumber(&set, 2, &count);
    if (id == 0 && !ipfix) return true;  // padding
    if (ipfix && count == 0) {
      templates_.erase({context.domain, static_cast<std::uint16_t>(id)});  // a withdrawal (RFC 7011 8.1)
      continue;
    }
    if (id < 256) return Fail(error, "expected a template number above 255, found " + std::to_string(id));
    if (options) {
      if (!TakeNumber(&set, 2, &scopes)) return Fail(error, "expected a scope count, found the end of the set");
      if (!ipfix) {  // both are lengths in octets
        const std::uint64_t scope_octets = count;
        count = (scope_octets + scopes) / 4;
        scopes = scope_octets / 4;
      }
      if (scopes == 0 || scopes > count)
        return Fail(error, "expected 1 to " + std::to_string(count) + " scopes, found " + std::to_string(scopes));
    }
    if (count > kMostFields)
      return Fail(error, "expected at most " + std::to_string(kMostFields) + " fields, found " + std::to_string(count));
    Known known;
    known.scopes = scopes;
    std::size_t least = 0;
    for (std::uint64_t i = 0; i < count; ++i) {
      std::uint64_t field = 0, length = 0, enterprise = 0;
      if (!TakeNumber(&set, 2, &field) || !TakeNumber(&set, 2, &length))
        return Fail(error, "expected a field of a template, found the end of the set");
      if (ipfix && (field & kEnterpriseBit) != 0 && !TakeNumber(&set, 4, &enterprise))
        return Fail(error, "expected an enterprise number, found the end of the set");
      // The scope "system" of v9 is no element.
      const bool v9_scope = !ipfix && options && i < scopes;
      known.fields.push_back({static_cast<std::uint32_t>(enterprise),
                              static_cast<std::uint16_t>(v9_scope ? 0
                                                         : ipfix  ? field & ~std::uint64_t{kEnterpriseBit}
                                                                  : field),
                              static_cast<std::uint16_t>(length)});
      least += length == kVariable && ipfix ? 1 : length;
    }
    if (least == 0) return Fail(error, "expected a record of some octets, found a template of none");
    ++counters_.templates;
    const std::pair key{context.domain, static_cast<std::uint16_t>(id)};
    if (templates_.size() >= kMostTemplates && templates_.count(key) == 0)
      return Fail(error, "expected at most " + std::to_string(kMostTemplates) + " templates, found more");
    templates_[key] = std::move(known);
  }
  return true;
}

bool Decoder::Data(std::string_view set, const Known& known, std::uint16_t id, Context* context,
                   const OnRecord& on_record, std::string* error) {
  const bool ipfix = context->protocol == Protocol::kIpfix;
  std::size_t least = 0;
  for (const Spec& spec : known.fields) least += spec.length == kVariable && ipfix ? 1 : spec.length;
  while (set.size() >= least) {
    DecodedRecord record;
    record.domain = context->domain;
    record.template_id = id;
    record.options = known.scopes > 0;
    record.fields.reserve(known.fields.size());
    for (const Spec& spec : known.fields) {
      std::uint64_t length = spec.length;
      if (spec.length == kVariable && ipfix) {
        if (!TakeNumber(&set, 1, &length) || (length == 255 && !TakeNumber(&set, 2, &length)))
          return Fail(error, "expected the length of a value, found the end of the set");
      }
      std::string_view octets;
      if (!Take(&set, length, &octets))
        return Fail(error, "expected a value of " + std::to_string(length) + " octets, found fewer");
      record.fields.push_back({spec.enterprise, spec.id, octets});
    }
    ++context->records;
    ++(record.options ? counters_.options : counters_.records);
    if (on_record) on_record(record);
  }
  return true;  // what is left is padding
}

}  // namespace croftrun::flow
