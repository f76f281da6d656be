// A flow record as it is passed from the call path to the exporter: a plain value without references to other objects.
#ifndef CROFTRUN_FLOW_RECORD_H_
#define CROFTRUN_FLOW_RECORD_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace croftrun::flow {

// Kinds of records. The numbers are stored in the spool and index the data templates of Templates(). Under pressure the
// ring drops interval records first and calls last; RankOf gives the order of sending and dropping behind it.
enum class RecordKind : std::uint8_t { kCall, kAttempt, kInterval, kGroup };
inline constexpr std::size_t kRecordKinds = 4;

// A text of at most N octets, stored in place. Longer texts are cut off.
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

// Whether a collector may have received the record before. kLive: sent as the event happened. kSpooled: sent from the
// spool. kPossiblyRepeated: sent again because a connection or process ended that may already have delivered it.
enum class Replay : std::uint8_t { kLive = 0, kSpooled = 1, kPossiblyRepeated = 2 };

// Values of flowEndReason (IPFIX information element 136).
enum class EndReason : std::uint8_t { kNone = 0, kIdle = 1, kActive = 2, kEnd = 3, kForced = 4, kResources = 5 };

// A record of any kind. Fields that do not apply to its kind keep their defaults.
struct FlowRecord {
  static constexpr std::size_t kMaxAttempts = 6;

  RecordKind kind = RecordKind::kCall;
  EndReason end_reason = EndReason::kEnd;
  Replay replay = Replay::kLive;
  std::uint64_t call = 0;
  // Unix time in milliseconds, by the wall clock at the time the record was made. The start is the end minus a duration
  // measured on the monotonic clock, so that a step of the wall clock does not change the duration.
  std::uint64_t start_ms = 0, end_ms = 0;
  std::uint32_t exchange = 0;         // the exchange whose softswitch exports the record
  std::int32_t origin = -1;           // exchange where the call originated
  std::int32_t destination = -1;      // exchange the call is for; of an attempt: the exchange it was sent to
  std::int32_t group_in = -1;         // trunk group of the incoming call; -1: a line
  std::uint32_t set_up_delay_us = 0;  // from the digits or seizure to the answer; 0: never established
  std::uint32_t rules_version = 0;
  std::uint16_t customer = 0;
  std::uint8_t call_class = 0;
  std::uint8_t attempts = 0;  // of a call: number of attempts; of an attempt: its index, from 0
  std::uint8_t answer = 0;    // of a call: 0 hung up before the answer, 1 established, 2 refused, 3 failed
  std::uint8_t outcome = 0;   // of an attempt: Outcome of the decision module
  std::uint8_t cause = 0;     // of a call: Q.850 cause; of an attempt: cause of the decision module
  std::uint8_t priority = 0;
  std::uint8_t width = 1;  // in circuits
  bool tandem = false;     // of an attempt: sent via a tandem
  bool in_transit = false;
  // Of a call: the exchanges that its first kMaxAttempts attempts were sent to.
  std::array<std::int32_t, kMaxAttempts> attempted_exchanges{};
  ShortText<32> called;
  ShortText<64> calling;
  // kGroup: attempts of an interval, summed by the exchange at the other end of the trunk group.
  std::uint64_t sent = 0, established = 0, rejected = 0, lost = 0;
};

// Rank in memory and on disk: the lowest is sent first and dropped last. Calls come first, then sums of groups, since a
// few of them summarise many attempts, then attempts and intervals.
inline constexpr std::size_t RankOf(RecordKind kind) {
  constexpr std::array<std::size_t, kRecordKinds> kRanks = {0, 2, 3, 1};
  return kRanks[static_cast<std::size_t>(kind)];
}

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_RECORD_H_
