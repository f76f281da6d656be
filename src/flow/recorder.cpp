#include "flow/recorder.h"

#include <algorithm>

namespace croftrun::flow {
namespace {

std::uint32_t ClampToUint32(TimeUs us) { return static_cast<std::uint32_t>(std::min<TimeUs>(us, 0xffffffffU)); }

}  // namespace

Recorder::Recorder(const RecorderSettings& settings, core::Runtime* runtime, Ring* ring)
    : settings_(settings), runtime_(runtime), ring_(ring), interval_timer_(runtime) {
  if (settings_.interval_us > 0) interval_timer_.Start(settings_.interval_us, [this] { PushIntervals(); });
}

void Recorder::SetTimes(TimeUs from, TimeUs to, FlowRecord* record) const {
  const std::int64_t wall = runtime_->WallClockUs();
  const TimeUs now = runtime_->Now();
  const auto wall_ms = [&](TimeUs at) {
    const std::int64_t us = wall - static_cast<std::int64_t>(now - std::min(now, at));
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, us) / 1000);
  };
  record->start_ms = wall_ms(from);
  record->end_ms = wall_ms(to);
}

void Recorder::OnAttempt(const core::AttemptRecord& record) {
  FlowRecord flow;
  flow.kind = RecordKind::kAttempt;
  flow.call = record.call;
  flow.exchange = settings_.exchange;
  flow.destination = record.to;
  flow.tandem = record.tandem;
  flow.outcome = static_cast<std::uint8_t>(record.outcome);
  flow.cause = static_cast<std::uint8_t>(record.cause);
  flow.width = static_cast<std::uint8_t>(std::min<std::size_t>(record.circuits, 255));
  flow.attempts = static_cast<std::uint8_t>(std::min(record.attempt, 255));
  if (record.established_at > 0) flow.set_up_delay_us = ClampToUint32(record.established_at - record.sent_at);
  if (record.outcome != Outcome::kOk) flow.end_reason = EndReason::kForced;
  SetTimes(record.sent_at, record.ended_at, &flow);
  const auto found = tracked_calls_.find(record.call);
  if (found != tracked_calls_.end() || tracked_calls_.size() < settings_.max_tracked_calls) {
    TrackedCall& tracked = found != tracked_calls_.end() ? found->second : tracked_calls_[record.call];
    if (tracked.attempts < tracked.attempted_exchanges.size())
      tracked.attempted_exchanges[tracked.attempts] = record.to;
    if (tracked.attempts < 255) ++tracked.attempts;
  }
  ring_->Push(flow);
}

void Recorder::FillCallFields(const core::CallRecord& record, FlowRecord* flow) {
  const core::CallRequest& request = *record.request;
  flow->call = record.call;
  flow->origin = record.origin;
  flow->destination = request.destination;
  flow->in_transit = record.in_transit;
  flow->call_class = static_cast<std::uint8_t>(request.call_class);
  flow->customer = static_cast<std::uint16_t>(request.customer);
  flow->priority = static_cast<std::uint8_t>(std::clamp(request.priority, 0, 255));
  flow->rules_version = request.rules;
  flow->width = static_cast<std::uint8_t>(std::min<std::size_t>(request.width, 255));
  flow->called.Set(request.called);
  flow->calling.Set(request.calling);
  if (record.in_transit) flow->group_in = record.group_in;
}

void Recorder::OnEstablished(const core::CallRecord& record) {
  const auto found = tracked_calls_.find(record.call);
  if (found == tracked_calls_.end() && tracked_calls_.size() >= settings_.max_tracked_calls)
    return;  // the call is reported at its end only
  TrackedCall& tracked = found != tracked_calls_.end() ? found->second : tracked_calls_[record.call];
  tracked.interval.kind = RecordKind::kInterval;
  tracked.interval.end_reason = EndReason::kActive;
  tracked.interval.exchange = settings_.exchange;
  FillCallFields(record, &tracked.interval);
  tracked.established_at = std::max<TimeUs>(1, record.answered_at);
}

void Recorder::OnCall(const core::CallRecord& record) {
  FlowRecord flow;
  flow.exchange = settings_.exchange;
  FillCallFields(record, &flow);
  flow.attempts = static_cast<std::uint8_t>(std::clamp(record.attempts, 0, 255));
  if (record.answer) {
    flow.answer = static_cast<std::uint8_t>(1 + static_cast<int>(record.answer->kind));
    flow.cause = static_cast<std::uint8_t>(record.answer->cause);
    if (record.answer->kind == core::FinalKind::kEstablished)
      flow.set_up_delay_us = ClampToUint32(record.answered_at - record.accepted_at);
    if (record.answer->kind == core::FinalKind::kRefused) flow.end_reason = EndReason::kResources;
    if (record.answer->kind == core::FinalKind::kFailed) flow.end_reason = EndReason::kForced;
  }
  if (const auto tracked = tracked_calls_.find(record.call); tracked != tracked_calls_.end()) {
    flow.attempted_exchanges = tracked->second.attempted_exchanges;
    tracked_calls_.erase(tracked);
  }
  SetTimes(record.accepted_at, record.ended_at, &flow);
  ring_->Push(flow);
}

void Recorder::PushIntervals() {
  const TimeUs now = runtime_->Now();
  for (auto& [call, tracked] : tracked_calls_) {
    if (tracked.established_at == 0 || now - tracked.established_at < settings_.interval_us) continue;
    SetTimes(tracked.established_at, now, &tracked.interval);
    ring_->Push(tracked.interval);
  }
  interval_timer_.Start(settings_.interval_us, [this] { PushIntervals(); });
}

}  // namespace croftrun::flow
