#include "lab/soak/discovery_stand_in.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>

namespace croftrun::lab::soak {

using nlohmann::json;

namespace {

constexpr TimeUs kCommentEvery = 1'000'000;
constexpr std::string_view kLastEvent = "Last-Event-ID: ";

json TargetOf(const Listing& listing) {
  return {{"uid", listing.uid},
          {"endpoint", core::ToString(listing.address)},
          {"az", "east"},
          {"model", "std"},
          {"pod_group", listing.number},
          {"state", listing.state},
          {"capacity_hint", 1},
          {"boot_ms", listing.boot_ms}};
}

json EventOf(std::uint64_t number, bool whole, const json& targets) {
  return {{"rev", number}, {"pool", {{"rev", number}, {"all", whole}, {"targets", targets}}}};
}

}  // namespace

// One request of the softswitch and its answer, which does not end.
class DiscoveryStandIn::Watch final : public core::StreamHandler {
 public:
  Watch(DiscoveryStandIn* owner, std::unique_ptr<core::Stream> accepted) : stream(std::move(accepted)), owner_(owner) {}
  void OnBytes(std::string_view bytes) override {
    if (asked) return;
    request_.append(bytes);
    if (request_.find("\r\n\r\n") == std::string::npos) return;
    asked = true;
    if (const auto at = request_.find(kLastEvent); at != std::string::npos) {
      const char* const digits = request_.data() + at + kLastEvent.size();
      std::from_chars(digits, request_.data() + request_.size(), last);
    }
    owner_->WriteTo(this);
  }
  void OnEnd(core::StreamEnd) override {
    owner_->watches_.remove_if([this](const auto& watch) { return watch.get() == this; });
  }
  std::unique_ptr<core::Stream> stream;
  bool asked = false, headed = false;
  std::uint64_t last = 0;  // number of the last event that it has

 private:
  DiscoveryStandIn* owner_;
  std::string request_;
};

DiscoveryStandIn::DiscoveryStandIn(core::Runtime* runtime, TrafficRecord* record, int softswitch,
                                   const core::Address& listen)
    : runtime_(runtime),
      record_(record),
      softswitch_(softswitch),
      comment_(runtime),
      listener_(runtime->Listen(listen, this)) {
  Comment();
}

DiscoveryStandIn::~DiscoveryStandIn() = default;

core::StreamHandler* DiscoveryStandIn::OnAccept(std::unique_ptr<core::Stream> stream) {
  watches_.push_back(std::make_unique<Watch>(this, std::move(stream)));
  return watches_.back().get();
}

void DiscoveryStandIn::Comment() {
  comment_.Start(kCommentEvery, [this] {
    for (const auto& watch : watches_) {
      if (!silent_ && watch->headed) watch->stream->Write(": here\n\n");
    }
    Comment();
  });
}

void DiscoveryStandIn::SetSilent(bool silent) {
  silent_ = silent;
  // A watch from before stays silent: what it missed is told to who asks again.
  if (!silent) return;
  for (const auto& watch : watches_) watch->asked = watch->headed = false;
}

void DiscoveryStandIn::List(const Listing& listing) {
  events_.push_back({events_.empty() ? 1 : events_.back().number + 1, listing});
  if (listing.state != "Ready") {
    record_->Note({.kind = EventKind::kDrainListed, .softswitch = softswitch_, .exchange = listing.instance});
  }
  for (const auto& watch : watches_) {
    if (watch->headed) WriteTo(watch.get());
  }
}

void DiscoveryStandIn::WriteTo(Watch* watch) {
  if (silent_) return;
  if (!watch->headed) watch->stream->Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
  watch->headed = true;
  for (const Event& event : events_) {
    if (event.number <= watch->last) continue;
    watch->last = event.number;
    watch->stream->Write("id: " + std::to_string(event.number) + "\ndata: " +
                         EventOf(event.number, false, json::array({TargetOf(event.listing)})).dump() + "\n\n");
    const bool drains = event.listing.state != "Ready";
    if (!drains && event.listing.boot_ms == 0) continue;
    record_->Note({.kind = drains ? EventKind::kDrainWritten : EventKind::kStartWritten,
                   .softswitch = softswitch_,
                   .exchange = event.listing.instance});
  }
}

json DiscoveryStandIn::Known() const {
  std::map<std::string, Listing> present;
  for (const Event& event : events_) present[event.listing.uid] = event.listing;
  json targets = json::array();
  for (const auto& [uid, listing] : present) {
    if (listing.state != "Gone") targets.push_back(TargetOf(listing));
  }
  const std::uint64_t number = events_.empty() ? 0 : events_.back().number;
  return {{"rev", number}, {"notices", json::array({EventOf(number, true, targets)})}};
}

}  // namespace croftrun::lab::soak
