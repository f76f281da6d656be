#include "policy/process_succession.h"

#include <algorithm>

namespace croftrun::policy {
namespace {

// Number of losses that are remembered of an address.
constexpr std::size_t kMaxLosses = 16;
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

std::string_view NameOf(ProcessOrder order) {
  switch (order) {
    case ProcessOrder::kEarlier:
      return "earlier";
    case ProcessOrder::kUndecided:
      return "undecided";
    case ProcessOrder::kStarted:
      return "started";
  }
  return "";
}

void AddressHistory::OnAllConnectionsLost(TimeUs now) {
  losses_.push_back(now);
  if (losses_.size() > kMaxLosses) losses_.erase(losses_.begin());
}

void AddressHistory::Merge(const AddressHistory& other) {
  losses_.insert(losses_.end(), other.losses_.begin(), other.losses_.end());
  std::sort(losses_.begin(), losses_.end());
  if (losses_.size() > kMaxLosses) losses_.erase(losses_.begin(), losses_.end() - kMaxLosses);
}

ProcessOrder AddressHistory::OrderOf(const ConnectionSpan& connection, const StartWindow& start) const {
  if (connection.opened_at < start.earliest) return ProcessOrder::kEarlier;
  if (connection.requested_at > start.latest) return ProcessOrder::kStarted;
  const auto first = std::lower_bound(losses_.begin(), losses_.end(), start.earliest);
  const auto end = std::upper_bound(first, losses_.end(), start.latest);
  if (first == end) return connection.opened_at < start.nominal ? ProcessOrder::kEarlier : ProcessOrder::kUndecided;
  if (connection.opened_at <= *first) return ProcessOrder::kEarlier;
  return connection.requested_at >= *std::prev(end) ? ProcessOrder::kStarted : ProcessOrder::kUndecided;
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
