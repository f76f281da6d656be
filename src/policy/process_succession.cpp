#include "policy/process_succession.h"

#include <algorithm>

namespace croftrun::policy {
namespace {

// Number of outages that are remembered of an address.
constexpr std::size_t kMaxOutages = 32;
// A process counts as alive at the time of its last data if its connection is still open this long after it.
constexpr TimeUs kDataSettlingTime = 200'000;
// Time for a confirmation, even if the deadline of the call is closer.
constexpr TimeUs kMinConfirmationTime = 500'000;

// Limits a time to that of the runtime's clock, which is never 0 for a stated start.
TimeUs ToRuntimeTime(std::int64_t time) { return static_cast<TimeUs>(std::max<std::int64_t>(1, time)); }

}  // namespace

StartWindow StartWindowOf(const StatedStart& stated, TimeUs now) {
  const auto [min_offset, max_offset] = std::minmax(stated.unix_offset_at_start_us, stated.unix_offset_now_us);
  const auto difference = static_cast<std::int64_t>(kMaxClockDifference);
  const StartWindow window{.earliest = ToRuntimeTime(stated.unix_us - max_offset - difference),
                           .nominal = ToRuntimeTime(stated.unix_us - stated.unix_offset_now_us),
                           .latest = ToRuntimeTime(stated.unix_us - min_offset + difference)};
  if (window.earliest > now) return {.earliest = 0, .nominal = 0, .latest = now};
  return {
      .earliest = window.earliest, .nominal = std::min(window.nominal, now), .latest = std::min(window.latest, now)};
}

void AddressHistory::OnAllConnectionsLost(TimeUs now) { BeginOutage({.from = now, .began_with_loss = true}); }

void AddressHistory::OnConnectFailed(TimeUs now) { BeginOutage({.from = now}); }

void AddressHistory::BeginOutage(const Outage& outage) {
  if (IsOngoing()) return;
  outages_.push_back(outage);
  if (outages_.size() > kMaxOutages) outages_.erase(outages_.begin());
}

void AddressHistory::OnConnectionOpened(TimeUs now) {
  if (IsOngoing()) outages_.back().to = now;
}

void AddressHistory::Merge(const AddressHistory& other) {
  const bool was_never_reached = outages_.size() == 1 && IsOngoing();
  if (was_never_reached) {
    outages_ = other.outages_;
    return;
  }
  for (const Outage& outage : other.outages_) {
    if (outage.to != kOngoing) outages_.push_back(outage);
  }
  std::sort(outages_.begin(), outages_.end(), [](const Outage& a, const Outage& b) { return a.to < b.to; });
  if (outages_.size() > kMaxOutages) outages_.erase(outages_.begin(), outages_.end() - kMaxOutages);
}

ProcessOrder AddressHistory::OrderOf(const ConnectionSpan& connection, const StartWindow& start) const {
  if (connection.opened_at < start.earliest) return ProcessOrder::kEarlier;
  if (connection.requested_at > start.latest) return ProcessOrder::kStarted;
  const auto is_in_window = [&start](const Outage& outage) { return outage.MayContain(start); };
  const auto first = std::find_if(outages_.begin(), outages_.end(), is_in_window);
  if (first == outages_.end())
    return connection.opened_at < start.nominal ? ProcessOrder::kEarlier : ProcessOrder::kUndecided;
  const auto last = std::find_if(outages_.rbegin(), outages_.rend(), is_in_window);
  if (connection.opened_at <= first->from) return ProcessOrder::kEarlier;
  return connection.requested_at >= last->from ? ProcessOrder::kStarted : ProcessOrder::kUndecided;
}

ProcessOrder AddressHistory::OrderOfAnswer(const ConnectionSpan& connection, TimeUs set_up_sent_at,
                                           const StartWindow& start) const {
  const ProcessOrder order = OrderOf(connection, start);
  if (order != ProcessOrder::kUndecided) return order;
  const bool has_outage = std::any_of(outages_.begin(), outages_.end(),
                                      [&start](const Outage& outage) { return outage.MayContain(start); });
  // Without an outage nothing contradicts the stated time.
  const TimeUs started_by = has_outage ? start.latest : start.nominal;
  return set_up_sent_at > started_by ? ProcessOrder::kStarted : ProcessOrder::kUndecided;
}

void ProcessClaim::OnUndecided(TimeUs evidence_from, TimeUs confirm_by) {
  evidence_from_ = std::max(evidence_from_, evidence_from);
  confirm_by_ = IsUnconfirmed() ? std::min(confirm_by_, confirm_by) : confirm_by;
}

void ProcessClaim::LimitDeadline(TimeUs at) {
  if (IsUnconfirmed()) confirm_by_ = std::min(confirm_by_, at);
}

bool ProcessClaim::IsConfirmedByData(TimeUs last_data_at, TimeUs now) const {
  return IsUnconfirmed() && last_data_at > evidence_from_ && now >= last_data_at + kDataSettlingTime;
}

TimeUs ConfirmationDeadline(TimeUs carrier_requested_at, TimeUs detection_timeout_us, TimeUs now) {
  return std::max(carrier_requested_at + detection_timeout_us, now + kMinConfirmationTime);
}

}  // namespace croftrun::policy
