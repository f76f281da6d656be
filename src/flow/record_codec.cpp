#include "flow/record_codec.h"

#include <boost/endian/conversion.hpp>
#include <cstring>
#include <type_traits>

namespace croftrun::flow {
namespace {

// Visits every number of a record in the stored order. The same list serves writing and reading.
template <typename Record, typename Visit>
bool VisitNumbers(Record& r, Visit visit) {
  bool ok = visit(r.kind) && visit(r.end_reason) && visit(r.replay) && visit(r.call) && visit(r.start_ms) &&
            visit(r.end_ms) && visit(r.exchange) && visit(r.origin) && visit(r.destination) && visit(r.group_in) &&
            visit(r.set_up_delay_us) && visit(r.rules_version) && visit(r.customer) && visit(r.call_class) &&
            visit(r.attempts) && visit(r.answer) && visit(r.outcome) && visit(r.cause) && visit(r.priority) &&
            visit(r.width) && visit(r.tandem) && visit(r.in_transit);
  if (ok && r.kind == RecordKind::kCall) {
    for (auto& attempted_exchanges : r.attempted_exchanges) ok = ok && visit(attempted_exchanges);
  }
  if (ok && r.kind == RecordKind::kGroup)
    ok = visit(r.sent) && visit(r.established) && visit(r.rejected) && visit(r.lost);
  return ok;
}

void Put(std::uint64_t value, std::size_t octets, std::string* out) {
  const std::uint64_t ordered = boost::endian::native_to_little(value);
  char bytes[sizeof ordered];
  std::memcpy(bytes, &ordered, sizeof ordered);
  out->append(bytes, octets);
}

bool Get(std::string_view* in, std::size_t octets, std::uint64_t* value) {
  if (in->size() < octets) return false;
  *value = 0;
  for (std::size_t i = 0; i < octets; ++i) *value |= std::uint64_t{static_cast<unsigned char>((*in)[i])} << (8 * i);
  in->remove_prefix(octets);
  return true;
}

void PutText(std::string_view text, std::string* out) {
  Put(text.size(), 1, out);
  out->append(text);
}

template <std::size_t N>
bool GetText(std::string_view* in, ShortText<N>* text) {
  std::uint64_t size = 0;
  if (!Get(in, 1, &size) || size > N || size > in->size()) return false;
  text->Set(in->substr(0, size));
  in->remove_prefix(size);
  return true;
}

}  // namespace

void AppendRecord(const FlowRecord& record, std::string* octets) {
  VisitNumbers(record, [&](const auto& number) {
    Put(static_cast<std::uint64_t>(number), sizeof number, octets);
    return true;
  });
  PutText(record.called.text(), octets);
  PutText(record.calling.text(), octets);
}

bool TakeRecord(std::string_view* octets, FlowRecord* record) {
  std::string_view rest = *octets;
  FlowRecord read;
  const bool ok = VisitNumbers(read, [&](auto& number) {
    using Number = std::remove_reference_t<decltype(number)>;
    std::uint64_t value = 0;
    if (!Get(&rest, sizeof number, &value)) return false;
    if constexpr (std::is_same_v<Number, RecordKind>) {
      if (value >= kRecordKinds) return false;
    }
    if constexpr (std::is_same_v<Number, Replay>) {
      if (value > static_cast<std::uint64_t>(Replay::kPossiblyRepeated)) return false;
    }
    if constexpr (std::is_same_v<Number, bool>) {
      number = value != 0;
    } else {
      number = static_cast<Number>(value);
    }
    return true;
  });
  if (!ok || !GetText(&rest, &read.called) || !GetText(&rest, &read.calling)) return false;
  *octets = rest;
  *record = read;
  return true;
}

}  // namespace croftrun::flow
