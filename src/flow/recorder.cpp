#include "flow/recorder.h"

#include <algorithm>

namespace croftrun::flow {
namespace {

std::uint32_t Short(TimeUs us) { return static_cast<std::uint32_t>(std::min<TimeUs>(us, 0xffffffffU)); }

}  // namespace

Recorder::Recorder(const RecorderSettings& settings, core::Runtime* runtime, Ring* ring)
    : settings_(settings), runtime_(runtime), ring_(ring), sweep_(runtime) {
  if (settings_.interval_us > 0) sweep_.Start(settings_.interval_us, [this] { Sweep(); });
}

void Recorder::Stamp(TimeUs from, TimeUs to, FlowRecord* record) const {
  const std::int64_t wall = runtime_->WallClockUs();
  const TimeUs now = runtime_->Now();
  const auto ago = [&](TimeUs at) {
    const std::int64_t us = wall - static_cast<std::int64_t>(now - std::min(now, at));
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, us) / 1000);
  };
  record->start_ms = ago(from);
  record->end_ms = ago(to);
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
  if (record.stood_at > 0) flow.set_up_us = Short(record.stood_at - record.sent_at);
  if (record.outcome != Outcome::kOk) flow.end_reason = EndReason::kForced;
  Stamp(record.sent_at, record.ended_at, &flow);
  const auto found = open_.find(record.call);
  if (found != open_.end() || open_.size() < settings_.most_open) {
    Open& open = found != open_.end() ? found->second : open_[record.call];
    if (open.attempts < open.tried.size()) open.tried[open.attempts] = record.to;
    if (open.attempts < 255) ++open.attempts;
  }
  ring_->Push(flow);
}

void Recorder::Describe(const core::CallRecord& record, FlowRecord* flow) {
  const core::CallRequest& offer = *record.offer;
  flow->call = record.call;
  flow->origin = record.origin;
  flow->destination = offer.destination;
  flow->in_transit = record.in_transit;
  flow->call_class = static_cast<std::uint8_t>(offer.call_class);
  flow->customer = static_cast<std::uint16_t>(offer.customer);
  flow->priority = static_cast<std::uint8_t>(std::clamp(offer.priority, 0, 255));
  flow->rules = offer.rules;
  flow->width = static_cast<std::uint8_t>(std::min<std::size_t>(offer.width, 255));
  flow->called.Set(offer.called);
  flow->calling.Set(offer.calling);
  if (record.in_transit) flow->group_in = record.group_in;
}

void Recorder::OnEstablished(const core::CallRecord& record) {
  const auto found = open_.find(record.call);
  if (found == open_.end() && open_.size() >= settings_.most_open) return;  // it is told of at its end only
  Open& open = found != open_.end() ? found->second : open_[record.call];
  open.standing.kind = RecordKind::kInterval;
  open.standing.end_reason = EndReason::kActive;
  open.standing.exchange = settings_.exchange;
  Describe(record, &open.standing);
  open.stood_at = std::max<TimeUs>(1, record.answered_at);
}

void Recorder::OnCall(const core::CallRecord& record) {
  FlowRecord flow;
  flow.exchange = settings_.exchange;
  Describe(record, &flow);
  flow.attempts = static_cast<std::uint8_t>(std::clamp(record.attempts, 0, 255));
  if (record.answer) {
    flow.answer = static_cast<std::uint8_t>(1 + static_cast<int>(record.answer->kind));
    flow.cause = static_cast<std::uint8_t>(record.answer->cause);
    if (record.answer->kind == core::FinalKind::kEstablished)
      flow.set_up_us = Short(record.answered_at - record.taken_at);
    if (record.answer->kind == core::FinalKind::kRefused) flow.end_reason = EndReason::kResources;
    if (record.answer->kind == core::FinalKind::kFailed) flow.end_reason = EndReason::kForced;
  }
  if (const auto open = open_.find(record.call); open != open_.end()) {
    flow.tried = open->second.tried;
    open_.erase(open);
  }
  Stamp(record.taken_at, record.ended_at, &flow);
  ring_->Push(flow);
}

void Recorder::Sweep() {
  const TimeUs now = runtime_->Now();
  for (auto& [call, open] : open_) {
    if (open.stood_at == 0 || now - open.stood_at < settings_.interval_us) continue;
    Stamp(open.stood_at, now, &open.standing);
    ring_->Push(open.standing);
  }
  sweep_.Start(settings_.interval_us, [this] { Sweep(); });
}

}  // namespace croftrun::flow
