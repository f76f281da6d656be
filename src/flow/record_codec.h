// Flow records as octets, for the spool: whole, little-endian, independent of how the compiler lays them out. No I/O.
#ifndef CROFTRUN_FLOW_RECORD_CODEC_H_
#define CROFTRUN_FLOW_RECORD_CODEC_H_

#include <string>
#include <string_view>

#include "flow/record.h"

namespace croftrun::flow {

// Changes with every change of what is written.
inline constexpr std::uint8_t kRecordFormat = 1;

void Append(const FlowRecord& record, std::string* octets);
// Takes one record off the front. False: there is no whole and sound one.
bool Take(std::string_view* octets, FlowRecord* record);

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_RECORD_CODEC_H_
