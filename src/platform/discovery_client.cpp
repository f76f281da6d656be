#include "platform/discovery_client.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "platform/bounded_json.h"
#include "platform/event_reader.h"

namespace croftrun::platform {
namespace {

// The service sends a comment every second. It is taken for silent after slightly less than two seconds.
constexpr TimeUs kSilenceTimeout = 1'900'000;
// Another connection is opened after kConnectTimeout; this one may still be established until kMaxConnectTime.
constexpr TimeUs kConnectTimeout = 1'000'000, kMaxConnectTime = 10'000'000;
constexpr TimeUs kMinReconnectDelay = 20'000, kMaxReconnectDelay = 400'000;
// Requests in progress at the same time. They are taken from the descriptors that the node reserves.
constexpr std::size_t kMaxRequests = 6;
// Limits of an event's JSON. The entry of an exchange has nine values in over 100 octets, four levels deep.
constexpr std::size_t kMinJsonValues = 64, kOctetsPerJsonValue = 8;
constexpr int kMaxJsonDepth = 8;

}  // namespace

// One request on its own connection, with its response.
class DiscoveryClient::Request final : public core::StreamHandler {
 public:
  Request(DiscoveryClient* owner, std::uint64_t n, TimeUs now)
      : number(n), started_at(now), reader(owner->max_event_octets_), owner_(owner) {}
  void OnOpen() override {
    is_open = true;
    owner_->SendRequest(this);
  }
  void OnBytes(std::string_view bytes) override { owner_->HandleResponse(this, bytes); }
  void OnEnd(core::StreamEnd end) override { owner_->HandleEnd(this, end); }

  const std::uint64_t number;  // for the log
  const TimeUs started_at;
  bool is_open = false, has_response = false;
  bool is_ahead = false;                 // it skipped events, which another request is sent for
  std::optional<TimeUs> speaking_since;  // first data after the start or the last silence
  EventReader reader;
  std::unique_ptr<core::Stream> stream;

 private:
  DiscoveryClient* owner_;
};

DiscoveryClient::DiscoveryClient(const DiscoverySettings& settings, core::Runtime* runtime, core::Logger* log,
                                 std::uint64_t last_number, OnNotification on_notification)
    : runtime_(runtime),
      log_(log),
      address_(settings.address),
      max_event_octets_(settings.max_event_octets),
      last_number_(last_number),
      on_notification_(std::move(on_notification)),
      next_request_timer_(runtime) {
  StartRequest();
}

DiscoveryClient::~DiscoveryClient() = default;

void DiscoveryClient::MoveTo(const core::Address& address) {
  address_ = address;
  reconnect_delay_ = 0;
  requests_.clear();
  StartRequest();
}

void DiscoveryClient::StartRequest() {
  if (requests_.size() >= kMaxRequests) CloseLeastPromisingRequest();
  ++counters_.connects;
  requests_.push_back(std::make_unique<Request>(this, ++last_request_, runtime_->Now()));
  Request* const request = requests_.back().get();
  request->stream = runtime_->Connect(address_, kMaxConnectTime, request);
  StartSilenceTimer(kConnectTimeout);
}

void DiscoveryClient::CloseLeastPromisingRequest() {
  auto chosen = std::find_if(requests_.begin(), requests_.end(), [](const auto& request) { return !request->is_open; });
  if (chosen == requests_.end())
    chosen = std::find_if(requests_.begin(), requests_.end(), [](const auto& request) { return !request->is_ahead; });
  if (chosen == requests_.end()) chosen = requests_.begin();
  counters_.unanswered += (*chosen)->has_response ? 0 : 1;
  requests_.erase(chosen);
}

void DiscoveryClient::SendRequest(const Request* request) {
  // Connections that are still being opened would only repeat this request.
  std::erase_if(requests_, [request](const auto& other) { return other.get() != request && !other->is_open; });
  request->stream->Write("GET /board/poll HTTP/1.1\r\nHost: " + core::ToString(address_) +
                         "\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " +
                         std::to_string(last_number_) + "\r\n\r\n");
  const TimeUs silent_at = request->started_at + kSilenceTimeout, now = runtime_->Now();
  if (request == requests_.back().get()) StartSilenceTimer(silent_at - std::min(silent_at, now));
}

void DiscoveryClient::StartSilenceTimer(TimeUs delay) {
  next_request_timer_.Start(delay, [this] {
    ++counters_.silences;
    for (const auto& request : requests_) request->speaking_since.reset();
    LogRequest("board-silent", *requests_.back(), "requests in progress: " + std::to_string(requests_.size()));
    ScheduleRequest();
  });
}

void DiscoveryClient::ScheduleRequest() {
  // Adds a random delay of up to half, because the connections of all softswitches are often lost at the same time.
  next_request_timer_.Start(reconnect_delay_ + runtime_->Random() % (reconnect_delay_ / 2 + kMinReconnectDelay),
                            [this] { StartRequest(); });
  reconnect_delay_ = std::clamp(2 * reconnect_delay_, kMinReconnectDelay, kMaxReconnectDelay);
}

void DiscoveryClient::HandleResponse(Request* request, std::string_view bytes) {
  if (!std::exchange(request->has_response, true)) {
    const TimeUs waited = runtime_->Now() - request->started_at;
    counters_.longest_response_wait = std::max(counters_.longest_response_wait, waited);
    if (requests_.size() > 1) LogRequest("board-answered-late", *request, std::to_string(waited / 1000) + " ms");
  }
  if (!request->speaking_since) request->speaking_since = runtime_->Now();
  const std::uint64_t applied_before = counters_.events;
  const bool is_usable = request->reader.Feed(
      bytes, [this, request](std::string_view id, std::string_view data) { HandleEvent(request, id, data); });
  if (!is_usable) return CloseFailedRequest(request);
  if (request->is_ahead) return;
  StartSilenceTimer(kSilenceTimeout);
  const bool is_steady = runtime_->Now() >= *request->speaking_since + kSilenceTimeout;
  const bool has_new_event = counters_.events > applied_before;
  if (is_steady || has_new_event) CloseOtherRequests(request, !has_new_event);
}

void DiscoveryClient::HandleEnd(Request* request, core::StreamEnd end) {
  LogRequest("board-broken", *request, "end " + std::to_string(static_cast<int>(end)));
  CloseFailedRequest(request);
}

void DiscoveryClient::CloseFailedRequest(Request* request) {
  ++counters_.breaks;
  const bool is_newest = request == NewestRequest();
  std::erase_if(requests_, [request](const auto& other) { return other.get() == request; });
  // After the failure of an older request, the newest one is still in progress, and the silence timer observes it.
  if (is_newest) ScheduleRequest();
}

void DiscoveryClient::CloseOtherRequests(const Request* followed, bool keep_requests_ahead) {
  for (const auto& request : requests_) counters_.unanswered += request->has_response ? 0 : 1;
  std::erase_if(requests_, [followed, keep_requests_ahead](const auto& request) {
    return request.get() != followed && !(keep_requests_ahead && request->is_ahead);
  });
}

const DiscoveryClient::Request* DiscoveryClient::NewestRequest() const {
  const auto newest =
      std::find_if(requests_.rbegin(), requests_.rend(), [](const auto& request) { return !request->is_ahead; });
  return newest == requests_.rend() ? nullptr : newest->get();
}

void DiscoveryClient::LogRequest(std::string_view event, const Request& request, std::string_view detail) {
  const char* const state = !request.is_open        ? "not connected"
                            : !request.has_response ? "without a response"
                                                    : "with a response";
  log_->Write(core::LogLevel::kWarning, event, 0,
              core::ToString(address_) + ", request " + std::to_string(request.number) + " " + state + ", " +
                  std::string(detail));
}

bool DiscoveryClient::RequestMissingEvents(Request* request) {
  if (request->is_ahead) return true;
  const std::uint64_t missing_number = last_number_ + 1;
  if (requested_number_ == missing_number) return false;  // already requested: the service does not have it
  requested_number_ = missing_number;
  ++counters_.gaps;
  const bool is_newest = request == NewestRequest();
  request->is_ahead = true;
  if (is_newest) ScheduleRequest();
  return true;
}

// The numbers of deltas are consecutive. A delta that does not follow the last one, or cannot be parsed, leaves a gap.
// The missing events are requested once more, starting after the last applied one. The gap is skipped only if the
// service does not send them then either.
void DiscoveryClient::HandleEvent(Request* request, std::string_view id, std::string_view data) {
  std::uint64_t number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  std::string error;
  const auto event = ParseBoundedJson(
      data, {.max_values = kMinJsonValues + data.size() / kOctetsPerJsonValue, .max_depth = kMaxJsonDepth});
  const auto notification = event ? ParseDirectoryNotification(*event, number, &error) : std::nullopt;
  if (!event) error = "expected JSON of at most one value in " + std::to_string(kOctetsPerJsonValue) + " octets";
  if (!notification) {
    ++counters_.unreadable;
    log_->Write(core::LogLevel::kWarning, "notice-unreadable", 0, std::string(id) + ": " + error);
    if (number > last_number_) RequestMissingEvents(request);
    return;
  }
  if (!request->is_ahead) reconnect_delay_ = 0;
  // A full directory with an earlier number is older than what has been applied since, as no gap was left in between.
  if (notification->number <= last_number_ && notification->number != 0) {
    ++counters_.repeated;
    return;
  }
  if (last_number_ != 0 && notification->number > last_number_ + 1 && !notification->is_full) {
    log_->Write(core::LogLevel::kWarning, "notice-gap", 0,
                "after " + std::to_string(last_number_) + " came " + std::to_string(notification->number));
    if (RequestMissingEvents(request)) {
      // Drains and removals are applied immediately, whatever is missing before them.
      DirectoryNotification drains = *notification;
      std::erase_if(drains.targets, [](const Target& x) { return x.status == ExchangeStatus::kReady; });
      if (!drains.targets.empty()) on_notification_(drains);
      return;
    }
  }
  ++counters_.events;
  request->is_ahead = false;
  last_number_ = std::max(last_number_, notification->number);
  on_notification_(*notification);
}

}  // namespace croftrun::platform
