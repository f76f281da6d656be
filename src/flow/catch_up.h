// Which record goes next, one that has just come or one of the spool; and what of the memory goes to disk. No I/O.
//
// What comes goes ahead, so that an outage does not make the present old; but while it never ceases, one message in
// kShare is the spool's, so that the catch-up ends. The spool sends within a budget besides, as a collector that comes
// back after an outage is met by all exporters at once.
#ifndef CROFTRUN_FLOW_CATCH_UP_H_
#define CROFTRUN_FLOW_CATCH_UP_H_

#include <algorithm>
#include <cstdint>

namespace croftrun::flow {

struct CatchUpSettings {
  std::uint64_t records_per_s = 20'000;
  std::uint64_t away_us = 1'000'000;  // a collector gone for so long is away: what waits for it goes to disk
};

class CatchUp {
 public:
  enum class Next : std::uint8_t { kNothing, kLive, kSpool };
  static constexpr unsigned kShare = 4;

  explicit CatchUp(const CatchUpSettings& settings) : settings_(settings) {}

  // Of the next message, when there is room for one.
  Next Choose(bool live, bool spooled, std::uint64_t now) {
    Fill(now);
    const bool may = spooled && tokens_ >= 1.0;
    if (live && !(may && since_spool_ >= kShare - 1)) {
      ++since_spool_;
      return Next::kLive;
    }
    if (!may) return Next::kNothing;
    since_spool_ = 0;
    return Next::kSpool;
  }
  void OnSpoolSent(std::uint64_t records) { tokens_ -= static_cast<double>(records); }
  // When the spool may send again: now or later.
  std::uint64_t NextAt(std::uint64_t now) {
    Fill(now);
    if (tokens_ >= 1.0) return now;
    return now + 1 + static_cast<std::uint64_t>((1.0 - tokens_) * 1e6 / static_cast<double>(settings_.records_per_s));
  }

  // How many of the records in memory are to go to disk. Up and keeping pace, none; up and falling behind, down to half
  // the queue before any is dropped; away, all.
  std::size_t ToDisk(bool up, std::uint64_t down_for_us, std::size_t waiting, std::size_t queue) const {
    if (!up && (down_for_us >= settings_.away_us || waiting >= queue / 2)) return waiting;
    if (waiting >= queue - queue / 4) return waiting - queue / 2;
    return 0;
  }

 private:
  void Fill(std::uint64_t now) {
    const double rate = static_cast<double>(settings_.records_per_s);
    if (filled_at_ != 0) tokens_ += static_cast<double>(now - filled_at_) * rate / 1e6;
    filled_at_ = now;
    tokens_ = std::min(tokens_, std::max(1.0, rate / 20.0));  // 50 ms of it
  }

  CatchUpSettings settings_;
  unsigned since_spool_ = 0;
  double tokens_ = 1.0;
  std::uint64_t filled_at_ = 0;
};

}  // namespace croftrun::flow

#endif  // CROFTRUN_FLOW_CATCH_UP_H_
