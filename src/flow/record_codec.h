// Serializes flow records for the spool: little-endian and independent of the compiler's structure layout. No I/O.
#ifndef CROFTRUN_FLOW_RECORD_CODEC_H_
#define CROFTRUN_FLOW_RECORD_CODEC_H_

#include <string>
#include <string_view>

#include "flow/record.h"

namespace croftrun::flow {

// Version of the stored format; changes with every change of what is written.
inline constexpr std::uint8_t kRecordFormat = 1;

// Appends the serialized record.
void AppendRecord(const FlowRecord& record, std::string* octets);
// Removes one record from the front. Returns false, and leaves `octets` as it is, if there is no complete, valid
// record.
bool TakeRecord(std::string_view* octets, FlowRecord* record);

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_RECORD_CODEC_H_
