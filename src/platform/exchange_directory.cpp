// The part of ExchangeConnections that applies the directory: exchanges that are listed, removed or replaced.
#include <algorithm>
#include <utility>

#include "platform/exchange_connections.h"
#include "platform/exchange_connections_state.h"

namespace croftrun::platform {
namespace {

// Time for which calls at an exchange that was removed are kept on open connections, in case that a successor at its
// address is listed a little later than the removal.
constexpr TimeUs kUnlistedSuccessorTimeout = 800'000;
// Time for which a removed exchange is remembered for the releases that wait for its successor.
constexpr TimeUs kQueuedReleaseTimeout = 10'000'000;

std::string MillisecondsSince(TimeUs start, TimeUs time) {
  return std::to_string((static_cast<std::int64_t>(time) - static_cast<std::int64_t>(start)) / 1000) + " ms";
}

std::string_view StatusName(ExchangeStatus status) {
  switch (status) {
    case ExchangeStatus::kReady:
      return "ready";
    case ExchangeStatus::kDraining:
      return "draining";
    case ExchangeStatus::kGone:
      return "gone";
  }
  return "";
}

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? 0 : static_cast<int>(found - names.begin());
}

}  // namespace

ExchangeId ExchangeConnections::Find(const std::string& uid) const {
  const auto found = by_uid_.find(uid);
  if (found == by_uid_.end()) return 0;
  return exchanges_.at(found->second)->is_retired ? 0 : found->second;
}

TimeUs ExchangeConnections::ToRuntimeTime(std::int64_t unix_ms) const {
  if (unix_ms == 0) return 0;
  return static_cast<TimeUs>(std::max<std::int64_t>(1, unix_ms * 1000 - settings_.unix_offset_us));
}

DirectoryEntry ExchangeConnections::MakeDirectoryEntry(const Exchange& exchange) const {
  const Target& target = exchange.target;
  return {.exchange = exchange.id,
          .zone = IndexOf(settings_.zones, target.zone),
          .kind = IndexOf(settings_.kinds, target.kind),
          .number = target.number,
          .status = target.status,
          .capacity_rating = target.rating,
          .started_at_us = exchange.started_at_us};
}

bool ExchangeConnections::IsSuperseded(ExchangeId id, const Target& target, TimeUs since, TimeUs clock_difference,
                                       std::uint64_t notification_number) const {
  if (target.status == ExchangeStatus::kGone) return false;
  const auto found = by_address_.find(target.address);
  if (found == by_address_.end() || found->second == id) return false;
  const auto position = exchanges_.find(found->second);
  if (position == exchanges_.end() || position->second->is_retired) return false;
  const Exchange& occupant = *position->second;
  if (occupant.target.status == ExchangeStatus::kGone) return false;  // removed by the same notification
  // Within one notification the order says nothing.
  if (occupant.listed_by == notification_number) clock_difference = 0;
  if (occupant.started_at_us != since) return occupant.started_at_us > since + clock_difference;
  if (occupant.target.status != target.status) return occupant.target.status == ExchangeStatus::kReady;
  return occupant.id > id;
}

void ExchangeConnections::OnDirectoryNotification(const DirectoryNotification& notification) {
  DirectoryUpdate update;
  update.kind = notification.is_full ? DirectoryKind::kFull : DirectoryKind::kDelta;
  update.version = static_cast<std::uint32_t>(notification.number);
  std::vector<Exchange*> gone;
  std::vector<std::pair<Exchange*, policy::StartWindow>> restarted;
  std::vector<Exchange*> successors;
  std::size_t ignored = 0;
  if (notification.is_full) gone = RemoveUnlisted(notification.targets);
  for (const Target& target : notification.targets) {
    const TimeUs since = ToRuntimeTime(target.boot_ms);
    if (!notification.is_full) LogListing(target, since);
    auto& id = by_uid_[target.uid];
    TimeUs clock_difference = 0;
    if (id == 0) {
      // A forgotten exchange was known before the one that has its address now.
      const bool was_forgotten = forgotten_exchanges_.Contains(target.uid);
      const ExchangeId order = was_forgotten ? 0 : next_exchange_id_;
      // Changes are told in their order, so that one which was never told of before is new, whatever its clock states.
      const bool is_news = !notification.is_full && !was_forgotten;
      if (is_news) clock_difference = policy::kMaxClockDifference;
      if (target.status == ExchangeStatus::kGone ||
          IsSuperseded(order, target, since, clock_difference, notification.number)) {
        by_uid_.erase(target.uid);  // never used by this softswitch
        continue;
      }
      if (by_address_.size() >= settings_.max_exchanges) {
        by_uid_.erase(target.uid);
        ++ignored;
        continue;
      }
      id = AddExchange();
    }
    Exchange& e = *exchanges_.at(id);
    if (IsSuperseded(id, target, since, clock_difference, notification.number)) {
      // A newer exchange has taken over the address, so this notification is late and is treated as a removal whatever
      // its state.
      e.target.status = ExchangeStatus::kGone;
      update.entries.push_back(MakeDirectoryEntry(e));
      gone.push_back(&e);
      continue;
    }
    if (since > e.started_at_us && target.status != ExchangeStatus::kGone)
      restarted.emplace_back(&e, StartWindowOf(target.boot_ms));
    const core::Address previous = e.target.address;
    RecordDrain(&e, target.status);
    e.target = target;
    if (target.status == ExchangeStatus::kGone && target.address == core::Address{}) e.target.address = previous;
    e.started_at_us = since;
    e.listed_by = notification.number;
    update.entries.push_back(MakeDirectoryEntry(e));
    if (target.status == ExchangeStatus::kGone) {
      gone.push_back(&e);
      continue;
    }
    e.is_retired = false;
    const auto [occupant, opened] = by_address_.try_emplace(e.target.address, id);
    const bool replaces_another = !opened && occupant->second != id;
    if (replaces_another) {
      // A new exchange has the address of an older one, so the older one is gone, even if its own notification arrives
      // later.
      const auto old = exchanges_.find(occupant->second);
      if (old != exchanges_.end() && !old->second->is_retired) {
        old->second->target.status = ExchangeStatus::kGone;
        update.entries.push_back(MakeDirectoryEntry(*old->second));
        gone.push_back(old->second.get());
      }
      occupant->second = id;
    }
    if (since != 0 || replaces_another) successors.push_back(&e);
  }
  LogIgnoredExchanges(ignored);
  core_->OnDirectory(update);
  for (const auto& [e, start] : restarted) RestartExchange(e, start);
  for (Exchange* const e : successors) TakeOverFromPredecessors(e);
  for (Exchange* const e : gone) RetireExchange(e);
  for (auto& [id, e] : exchanges_) {
    if (!e->is_retired) EnsureConnected(e.get());
  }
  ForgetRemovedExchanges();
}

void ExchangeConnections::RecordDrain(Exchange* exchange, ExchangeStatus status) {
  if (status == ExchangeStatus::kReady) exchange->draining_since = 0;
  if (status == ExchangeStatus::kDraining && exchange->draining_since == 0) exchange->draining_since = runtime_->Now();
}

ExchangeId ExchangeConnections::AddExchange() {
  const ExchangeId id = next_exchange_id_++;
  auto exchange = std::make_unique<Exchange>(runtime_);
  exchange->id = id;
  exchange->last_sign_at = runtime_->Now();
  exchange->detector.SetDecisionDeadline(decision_deadline_);
  exchanges_[id] = std::move(exchange);
  return id;
}

void ExchangeConnections::ForgetRemovedExchanges() {
  std::erase_if(exchanges_, [this](const auto& item) {
    Exchange& e = *item.second;
    if (!e.is_retired || !e.connections.empty() || !e.established.empty()) return false;
    if (!e.queued_releases.empty() && runtime_->Now() < e.retired_at + kQueuedReleaseTimeout) return false;
    by_uid_.erase(e.target.uid);
    forgotten_exchanges_.Insert(e.target.uid);
    return true;
  });
}

void ExchangeConnections::LogListing(const Target& target, TimeUs started_at) {
  if (!log_->IsEnabled(core::LogLevel::kInfo)) return;
  std::string text = target.uid + " " + core::ToString(target.address) + " ";
  text.append(StatusName(target.status));
  if (started_at != 0) text += ", started " + MillisecondsSince(started_at, runtime_->Now()) + " ago";
  log_->Write(core::LogLevel::kInfo, "exchange-listed", 0, text);
}

void ExchangeConnections::LogIgnoredExchanges(std::size_t count) {
  if (count == 0) return;
  counters_.ignored_exchanges += count;
  log_->Write(core::LogLevel::kWarning, "exchanges-ignored", 0,
              std::to_string(count) + " entries beyond the limit of " + std::to_string(settings_.max_exchanges));
}

void ExchangeConnections::FreeAddress(const Exchange& exchange) {
  const auto occupant = by_address_.find(exchange.target.address);
  if (occupant != by_address_.end() && occupant->second == exchange.id) by_address_.erase(occupant);
}

// Their addresses are freed first, because the list may name other exchanges there.
std::vector<ExchangeConnections::Exchange*> ExchangeConnections::RemoveUnlisted(const std::vector<Target>& list) {
  std::unordered_set<std::string> listed;
  for (const Target& target : list) listed.insert(target.uid);
  std::vector<Exchange*> unlisted;
  for (const auto& [id, exchange] : exchanges_) {
    if (listed.count(exchange->target.uid) > 0) continue;
    FreeAddress(*exchange);
    unlisted.push_back(exchange.get());
  }
  return unlisted;
}

void ExchangeConnections::RetireExchange(Exchange* exchange) {
  if (!std::exchange(exchange->is_retired, true)) exchange->retired_at = runtime_->Now();
  exchange->reconnect_timer.Stop();
  FreeAddress(*exchange);
  for (const std::string& id : exchange->established) KeepSuspicion(exchange, &call_legs_.at(id));
  // A connection that is still open may lead to a successor that the directory does not list yet. The calls are then
  // kept for kUnlistedSuccessorTimeout.
  const bool is_replaced = by_address_.count(exchange->target.address) > 0;
  if (is_replaced || NewestOpenConnection(*exchange) == nullptr)
    TerminateCallsBefore(exchange, runtime_->Now() + 1, "removed from the directory",
                         is_replaced ? RemoteState::kCallsGone : RemoteState::kCallsMayExist);
  CloseUnusedConnections(exchange);
}

// Connections with pending set-ups or calls stay open until those are finished. One that is not open yet may come up at
// the successor, which must not receive the set-ups.
void ExchangeConnections::CloseUnusedConnections(Exchange* exchange) {
  CloseConnectionsIf(exchange, [](const Connection& connection) {
    const bool is_idle = connection.set_ups.empty() && connection.established.empty();
    return !connection.is_open || (is_idle && connection.exchange->established.empty());
  });
}

void ExchangeConnections::CheckRetiredExchange(Exchange* exchange) {
  if (runtime_->Now() >= exchange->retired_at + kUnlistedSuccessorTimeout) {
    TerminateCallsBefore(exchange, exchange->retired_at + 1, "removed from the directory", RemoteState::kCallsMayExist);
  }
  if (runtime_->Now() >= exchange->last_sign_at + policy::FailureDetectorSettings{}.detection_timeout_us) {
    TerminateCallsBefore(exchange, runtime_->Now() + 1, "removed from the directory and silent",
                         RemoteState::kCallsMayExist);
  }
  CloseUnusedConnections(exchange);
}

}  // namespace croftrun::platform
