// Decides whether the next message carries live or spooled records, and how many waiting records are written to disk.
// No I/O.
//
// Live records go first, so that an outage does not delay current data. Under continuous live traffic one message in
// kSpoolShare carries spooled records, so that the catch-up still completes. Spooled records are also rate-limited,
// since all exporters reconnect at once to a collector that comes back after an outage.
#ifndef CROFTRUN_FLOW_CATCH_UP_SCHEDULER_H_
#define CROFTRUN_FLOW_CATCH_UP_SCHEDULER_H_

#include <algorithm>
#include <cstdint>

namespace croftrun::flow {

struct CatchUpSettings {
  std::uint64_t records_per_s = 20'000;  // rate limit of spooled records
  // Disconnected for this long, a collector is away: its backlog goes to disk.
  std::uint64_t away_timeout_us = 1'000'000;
};

class CatchUpScheduler {
 public:
  enum class Next : std::uint8_t { kNothing, kLive, kSpool };
  // One message in this many carries spooled records while live records keep coming.
  static constexpr unsigned kSpoolShare = 4;

  explicit CatchUpScheduler(const CatchUpSettings& settings) : settings_(settings) {}

  // Chooses the source of the next message; to be called when one can be sent.
  Next ChooseNext(bool live, bool spooled, std::uint64_t now) {
    RefillTokens(now);
    const bool spool_allowed = spooled && tokens_ >= 1.0;
    if (live && !(spool_allowed && live_since_spool_ >= kSpoolShare - 1)) {
      ++live_since_spool_;
      return Next::kLive;
    }
    if (!spool_allowed) return Next::kNothing;
    live_since_spool_ = 0;
    return Next::kSpool;
  }
  // To be called with the number of spooled records in the message sent.
  void OnSpoolSent(std::uint64_t records) { tokens_ -= static_cast<double>(records); }
  // When spooled records may be sent again: `now` or later.
  std::uint64_t NextSpoolSendAt(std::uint64_t now) {
    RefillTokens(now);
    if (tokens_ >= 1.0) return now;
    return now + 1 + static_cast<std::uint64_t>((1.0 - tokens_) * 1e6 / static_cast<double>(settings_.records_per_s));
  }

  // The number of records in memory to write to disk. None while connected and keeping pace. If the queue fills up
  // while connected, it is reduced to half its size before any record is dropped. All once the collector is away.
  std::size_t RecordsToSpill(bool connected, std::uint64_t down_for_us, std::size_t waiting,
                             std::size_t max_queued) const {
    if (!connected && (down_for_us >= settings_.away_timeout_us || waiting >= max_queued / 2)) return waiting;
    if (waiting >= max_queued - max_queued / 4) return waiting - max_queued / 2;
    return 0;
  }

 private:
  void RefillTokens(std::uint64_t now) {
    const double rate = static_cast<double>(settings_.records_per_s);
    if (refilled_at_ != 0) tokens_ += static_cast<double>(now - refilled_at_) * rate / 1e6;
    refilled_at_ = now;
    tokens_ = std::min(tokens_, std::max(1.0, rate / 20.0));  // a burst of 50 ms
  }

  CatchUpSettings settings_;
  unsigned live_since_spool_ = 0;
  double tokens_ = 1.0;
  std::uint64_t refilled_at_ = 0;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_CATCH_UP_SCHEDULER_H_
