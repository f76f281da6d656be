// What one flow record says, as it travels from the call path to the exporter: a plain value, copied, nothing owned.
#ifndef CROFTRUN_FLOW_RECORD_H_
#define CROFTRUN_FLOW_RECORD_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace croftrun::flow {

// The lower, the longer it is kept when there is no room: interval records go first, calls last.
enum class RecordKind : std::uint8_t { kCall, kAttempt, kInterval, kGroup };
inline constexpr std::size_t kRecordKinds = 4;

template <std::size_t N>
class ShortText {
 public:
  void Set(std::string_view text) {
    size_ = static_cast<std::uint8_t>(std::min(text.size(), N));
    std::memcpy(octets_, text.data(), size_);
  }
  std::string_view text() const { return {octets_, size_}; }

 private:
  std::uint8_t size_ = 0;
  char octets_[N] = {};
};

// Whether a collector may have had it before: told as it happened, from the spool, or after a connection or process
// ended that may have told it.
enum class Replay : std::uint8_t { kLive = 0, kSpooled = 1, kPossiblyRepeated = 2 };

// Of flowEndReason (IPFIX element 136): how the thing ended.
enum class EndReason : std::uint8_t { kNone = 0, kIdle = 1, kActive = 2, kEnd = 3, kForced = 4, kResources = 5 };

struct FlowRecord {
  static constexpr std::size_t kMostAttempts = 6;

  RecordKind kind = RecordKind::kCall;
  EndReason end_reason = EndReason::kEnd;
  Replay replay = Replay::kLive;
  std::uint64_t call = 0;
  // Unix time, milliseconds, by the wall clock when the record was made; the start is the end less a duration that no
  // clock step can touch.
  std::uint64_t start_ms = 0, end_ms = 0;
  std::uint32_t exchange = 0;     // the softswitch that tells
  std::int32_t origin = -1;       // exchange where the call began
  std::int32_t destination = -1;  // exchange that it is for; of an attempt: that it was sent to
  std::int32_t group_in = -1;     // group it came in by; -1: a line
  std::uint32_t set_up_us = 0;    // digits or seizure to the answer; 0: never stood
  std::uint32_t rules = 0;
  std::uint16_t customer = 0;
  std::uint8_t call_class = 0;
  std::uint8_t attempts = 0;  // of a call: how many; of an attempt: its number, from 0
  std::uint8_t answer = 0;    // of a call: 0 hung up first, 1 stands, 2 refused, 3 failed
  std::uint8_t outcome = 0;   // of an attempt: the module's outcome
  std::uint8_t cause = 0;     // Q.850 of a call; the module's cause of an attempt
  std::uint8_t priority = 0;
  std::uint8_t width = 1;  // circuits
  bool tandem = false;     // of an attempt: by way of a tandem
  bool in_transit = false;
  std::array<std::int32_t, kMostAttempts> tried{};  // of a call: where its attempts were sent, the first so many
  ShortText<32> called;
  ShortText<64> calling;
  // kGroup: sums over an interval, by the exchange at the other end.
  std::uint64_t sent = 0, stood = 0, turned_back = 0, lost = 0;
};

// What goes first, in memory and on disk: calls, then sums of groups, which say in few records what many attempts say.
inline constexpr std::size_t RankOf(RecordKind kind) {
  constexpr std::array<std::size_t, kRecordKinds> kRanks = {0, 2, 3, 1};
  return kRanks[static_cast<std::size_t>(kind)];
}

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_RECORD_H_
