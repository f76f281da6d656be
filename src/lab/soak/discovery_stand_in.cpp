#include "lab/soak/discovery_stand_in.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace croftrun::lab::soak {

using nlohmann::json;

namespace {

constexpr std::size_t kHalfEventOctets = 256 << 10;
constexpr TimeUs kCommentInterval = 1'000'000;
constexpr std::string_view kLastEventHeader = "Last-Event-ID: ";

json TargetJson(const DirectoryEntry& entry) {
  return {{"uid", entry.uid},
          {"endpoint", core::ToString(entry.address)},
          {"az", "east"},
          {"model", "std"},
          {"pod_group", entry.number},
          {"state", entry.state},
          {"capacity_hint", 1},
          {"boot_ms", entry.boot_ms}};
}

json EventJson(std::uint64_t number, bool full, const json& targets) {
  return {{"rev", number}, {"pool", {{"rev", number}, {"all", full}, {"targets", targets}}}};
}

}  // namespace

// A request of the softswitch and its unbounded response.
class DiscoveryStandIn::Watch final : public core::StreamHandler {
 public:
  Watch(DiscoveryStandIn* owner, std::unique_ptr<core::Stream> accepted)
      : stream(std::move(accepted)), response_timer(owner->runtime_), owner_(owner) {}
  void OnBytes(std::string_view bytes) override {
    if (request_read) return;
    request_.append(bytes);
    if (request_.find("\r\n\r\n") == std::string::npos) return;
    request_read = true;
    if (const auto at = request_.find(kLastEventHeader); at != std::string::npos) {
      const char* const digits = request_.data() + at + kLastEventHeader.size();
      std::from_chars(digits, request_.data() + request_.size(), last_event);
    }
    owner_->ScheduleResponse(this);
  }
  void OnEnd(core::StreamEnd) override {
    owner_->watches_.remove_if([this](const auto& watch) { return watch.get() == this; });
  }
  std::unique_ptr<core::Stream> stream;
  core::Timer response_timer;
  bool request_read = false;
  bool response_started = false;  // the header and what follows it were written, so that events are written at once
  std::uint64_t last_event = 0;   // number of the last event that the softswitch has

 private:
  DiscoveryStandIn* owner_;
  std::string request_;
};

DiscoveryStandIn::DiscoveryStandIn(core::Runtime* runtime, EventLog* event_log, int softswitch,
                                   const core::Address& listen)
    : runtime_(runtime),
      event_log_(event_log),
      softswitch_(softswitch),
      comment_timer_(runtime),
      listener_(runtime->Listen(listen, this)) {
  ScheduleComment();
}

DiscoveryStandIn::~DiscoveryStandIn() = default;

core::StreamHandler* DiscoveryStandIn::OnAccept(std::unique_ptr<core::Stream> stream) {
  watches_.push_back(std::make_unique<Watch>(this, std::move(stream)));
  return watches_.back().get();
}

void DiscoveryStandIn::ScheduleComment() {
  comment_timer_.Start(kCommentInterval, [this] {
    for (const auto& watch : watches_) {
      if (!silent_ && watch->response_started) watch->stream->Write(": here\n\n");
    }
    ScheduleComment();
  });
}

void DiscoveryStandIn::SetSilent(bool silent) {
  silent_ = silent;
  // Existing watches stay silent: the softswitch gets the events that it missed with its next request.
  if (!silent) return;
  for (const auto& watch : watches_) {
    watch->request_read = watch->response_started = false;
    watch->response_timer.Stop();
  }
}

void DiscoveryStandIn::WriteHalfEvent() {
  const std::string half = "id: 1\ndata: {\"rev\":1,\"pool\":{\"targets\":[" + std::string(kHalfEventOctets, '[');
  for (const auto& watch : watches_) {
    if (watch->response_started) watch->stream->Write(half);
  }
}

void DiscoveryStandIn::EndResponses() { watches_.clear(); }

void DiscoveryStandIn::UpdateEntries(std::vector<DirectoryEntry> entries) { Append(std::move(entries), false); }

void DiscoveryStandIn::UpdateWholeList(std::vector<DirectoryEntry> entries) { Append(std::move(entries), true); }

void DiscoveryStandIn::Append(std::vector<DirectoryEntry> entries, bool full) {
  for (const DirectoryEntry& entry : entries) {
    if (entry.state == "Ready") continue;
    event_log_->Append({.kind = EventKind::kDrainListed, .softswitch = softswitch_, .exchange = entry.instance});
  }
  const std::uint64_t number = events_.empty() ? 1 : events_.back().number + 1;
  json targets = json::array();
  for (const DirectoryEntry& entry : entries) targets.push_back(TargetJson(entry));
  events_.push_back({number, std::move(entries), {}});
  events_.back().data = EventJson(number, full, full ? PresentTargets() : targets).dump();
  for (const auto& watch : watches_) {
    if (watch->response_started) WriteEvents(watch.get());
  }
}

void DiscoveryStandIn::ScheduleResponse(Watch* watch) {
  watch->response_timer.Start(response_delays_.header, [this, watch, body_delay = response_delays_.body] {
    if (silent_) return;
    watch->stream->Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    watch->response_timer.Start(body_delay, [this, watch] { WriteEvents(watch); });
  });
}

void DiscoveryStandIn::WriteEvents(Watch* watch) {
  if (silent_) return;
  watch->response_started = true;
  for (const Event& event : events_) {
    if (event.number <= watch->last_event) continue;
    watch->last_event = event.number;
    watch->stream->Write("id: " + std::to_string(event.number) + "\ndata: " + event.data + "\n\n");
    for (const DirectoryEntry& entry : event.entries) {
      const bool draining = entry.state != "Ready";
      if (!draining && entry.boot_ms == 0) continue;
      event_log_->Append({.kind = draining ? EventKind::kDrainWritten : EventKind::kColdStartWritten,
                          .softswitch = softswitch_,
                          .exchange = entry.instance});
    }
  }
}

json DiscoveryStandIn::PresentTargets() const {
  // Ids convey nothing, so that a successor may come before its predecessor.
  std::map<std::string, DirectoryEntry, std::greater<>> present;
  for (const Event& event : events_) {
    for (const DirectoryEntry& entry : event.entries) present[entry.uid] = entry;
  }
  json targets = json::array();
  for (const auto& [uid, entry] : present) {
    if (entry.state != "Gone") targets.push_back(TargetJson(entry));
  }
  return targets;
}

json DiscoveryStandIn::KnownDirectory() const {
  const std::uint64_t number = events_.empty() ? 0 : events_.back().number;
  return {{"rev", number}, {"notices", json::array({EventJson(number, true, PresentTargets())})}};
}

}  // namespace croftrun::lab::soak
