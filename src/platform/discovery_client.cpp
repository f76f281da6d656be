#include "platform/discovery_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace croftrun::platform {
namespace {

namespace http = boost::beast::http;

// Maximum size of an event and of a line. It admits a full directory of the largest fleet.
constexpr std::size_t kMaxEventOctets = 2 << 20;
// The service sends a comment every second. It is taken for silent after slightly less than two seconds.
constexpr TimeUs kSilenceTimeout = 1'900'000;
constexpr TimeUs kConnectTimeout = 1'000'000;
constexpr TimeUs kMinReconnectDelay = 20'000, kMaxReconnectDelay = 400'000;

}  // namespace

struct EventReader::HttpResponse {
  HttpResponse() { parser.body_limit(boost::none); }
  http::response_parser<http::buffer_body> parser;
  std::string unparsed;
};

EventReader::EventReader() : http_response_(std::make_unique<HttpResponse>()) {}
EventReader::~EventReader() = default;

bool EventReader::Feed(std::string_view bytes, const OnEvent& on_event) {
  std::array<char, 4096> buffer{};
  auto& parser = http_response_->parser;
  http_response_->unparsed.append(bytes);
  while (!http_response_->unparsed.empty() && !parser.is_done()) {
    auto& body = parser.get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    body.more = true;
    boost::system::error_code error;
    const std::size_t consumed = parser.put(boost::asio::buffer(http_response_->unparsed), error);
    const bool header_done = parser.is_header_done();
    http_response_->unparsed.erase(0, consumed);
    if (header_done && parser.get().result_int() != 200) return false;
    const std::string_view text(buffer.data(), header_done ? buffer.size() - parser.get().body().size : 0);
    for (const char c : text) {
      const bool is_line_end = c == '\n' || c == '\r';
      const bool second_of_pair = c == '\n' && after_carriage_return_;
      after_carriage_return_ = c == '\r';
      if (second_of_pair) continue;
      if (!is_line_end) {
        if (line_.size() >= kMaxEventOctets) return false;
        line_ += c;
        continue;
      }
      const std::string line = std::exchange(line_, {});
      if (!HandleLine(line, on_event)) return false;
    }
    if (error == http::error::need_more) return true;
    if (error && error != http::error::need_buffer) return false;
    if (consumed == 0 && text.empty()) return true;
  }
  return !parser.is_done();
}

bool EventReader::HandleLine(std::string_view line, const OnEvent& on_event) {
  if (line.empty()) {
    const std::string id = std::exchange(id_, {}), data = std::exchange(data_, {});
    return !std::exchange(has_data_, false) || on_event(id, data);
  }
  const auto colon = line.find(':');
  const auto name = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (name == "id") {
    id_ = value;
  } else if (name == "data") {
    if (data_.size() + value.size() >= kMaxEventOctets) return false;
    if (has_data_) data_ += '\n';
    data_ += value;
    has_data_ = true;
  }
  return true;
}

DiscoveryClient::DiscoveryClient(core::Runtime* runtime, core::Logger* log, const core::Address& address,
                                 std::uint64_t last_number, OnNotification on_notification)
    : runtime_(runtime),
      log_(log),
      address_(address),
      last_number_(last_number),
      on_notification_(std::move(on_notification)),
      reconnect_timer_(runtime),
      silence_timer_(runtime) {
  Connect();
}

void DiscoveryClient::MoveTo(const core::Address& address) {
  address_ = address;
  reconnect_delay_ = 0;
  Connect();
}

void DiscoveryClient::Connect() {
  reconnect_timer_.Stop();
  ++counters_.connects;
  reader_ = std::make_unique<EventReader>();
  stream_ = runtime_->Connect(address_, kConnectTimeout, this);
  RestartSilenceTimer();
}

void DiscoveryClient::RestartSilenceTimer() {
  silence_timer_.Start(kSilenceTimeout, [this] {
    ++counters_.silences;
    log_->Write(core::LogLevel::kWarning, "board-silent", 0, core::ToString(address_));
    stream_.reset();
    ScheduleReconnect();
  });
}

void DiscoveryClient::ScheduleReconnect() {
  silence_timer_.Stop();
  // Adds a random delay of up to half, because the connections of all softswitches are often lost at the same time.
  reconnect_timer_.Start(reconnect_delay_ + runtime_->Random() % (reconnect_delay_ / 2 + kMinReconnectDelay),
                         [this] { Connect(); });
  reconnect_delay_ = std::clamp(2 * reconnect_delay_, kMinReconnectDelay, kMaxReconnectDelay);
}

void DiscoveryClient::OnOpen() {
  stream_->Write("GET /board/poll HTTP/1.1\r\nHost: " + core::ToString(address_) +
                 "\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " +
                 std::to_string(last_number_) + "\r\n\r\n");
}

void DiscoveryClient::OnBytes(std::string_view bytes) {
  RestartSilenceTimer();
  const bool wants_more =
      reader_->Feed(bytes, [this](std::string_view id, std::string_view data) { return HandleEvent(id, data); });
  if (!wants_more) Reconnect();
}

void DiscoveryClient::Reconnect() {
  ++counters_.breaks;
  stream_.reset();
  ScheduleReconnect();
}

bool DiscoveryClient::ShouldRequestMissing(std::uint64_t number) {
  if (requested_number_ == number) return false;  // already requested: the service does not have it
  requested_number_ = number;
  ++counters_.gaps;
  return true;
}

void DiscoveryClient::OnEnd(core::StreamEnd end) {
  log_->Write(core::LogLevel::kWarning, "board-broken", 0,
              core::ToString(address_) + ", end " + std::to_string(static_cast<int>(end)));
  Reconnect();
}

// The numbers of deltas are consecutive. A delta that does not follow the last one, or cannot be parsed, leaves a gap.
// The missing events are requested once more, starting after the last applied one. The gap is skipped only if the
// service does not send them then either.
bool DiscoveryClient::HandleEvent(std::string_view id, std::string_view data) {
  std::uint64_t number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  std::string error;
  const auto event = nlohmann::json::parse(data, nullptr, false);
  const auto notification = ParseDirectoryNotification(event, number, &error);
  if (!notification) {
    ++counters_.unreadable;
    log_->Write(core::LogLevel::kWarning, "notice-unreadable", 0, std::string(id) + ": " + error);
    return number <= last_number_ || !ShouldRequestMissing(last_number_ + 1);
  }
  reconnect_delay_ = 0;
  // A full directory with an earlier number is older than what has been applied since, as no gap was left in between.
  if (notification->number <= last_number_ && notification->number != 0) {
    ++counters_.repeated;
    return true;
  }
  if (last_number_ != 0 && notification->number > last_number_ + 1 && !notification->is_full) {
    log_->Write(core::LogLevel::kWarning, "notice-gap", 0,
                "after " + std::to_string(last_number_) + " came " + std::to_string(notification->number));
    if (ShouldRequestMissing(last_number_ + 1)) {
      // Drains and removals are applied immediately, whatever is missing before them.
      DirectoryNotification drains = *notification;
      std::erase_if(drains.targets, [](const Target& x) { return x.status == ExchangeStatus::kReady; });
      if (!drains.targets.empty()) on_notification_(drains);
      return false;
    }
  }
  ++counters_.events;
  last_number_ = std::max(last_number_, notification->number);
  on_notification_(*notification);
  return true;
}

}  // namespace croftrun::platform
