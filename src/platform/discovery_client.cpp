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

// Octets of one event, and of a line of it: a whole list of the largest fleet.
constexpr std::size_t kMostEvent = 2 << 20;
// A comment is due each second: the board is silent after two of them and a little.
constexpr TimeUs kSilence = 1'900'000;
constexpr TimeUs kConnectWithin = 1'000'000;
constexpr TimeUs kFirstPause = 20'000, kLongestPause = 400'000;

}  // namespace

struct EventReader::Http {
  Http() { parser.body_limit(boost::none); }
  http::response_parser<http::buffer_body> parser;
  std::string kept;
};

EventReader::EventReader() : http_(std::make_unique<Http>()) {}
EventReader::~EventReader() = default;

bool EventReader::Feed(std::string_view bytes, const OnEvent& on_event) {
  std::array<char, 4096> part{};
  auto& parser = http_->parser;
  http_->kept.append(bytes);
  while (!http_->kept.empty() && !parser.is_done()) {
    auto& body = parser.get().body();
    body.data = part.data();
    body.size = part.size();
    body.more = true;
    boost::system::error_code error;
    const std::size_t used = parser.put(boost::asio::buffer(http_->kept), error);
    const bool headed = parser.is_header_done();
    http_->kept.erase(0, used);
    if (headed && parser.get().result_int() != 200) return false;
    const std::string_view text(part.data(), headed ? part.size() - parser.get().body().size : 0);
    for (const char c : text) {
      const bool ends = c == '\n' || c == '\r';
      const bool second = c == '\n' && after_return_;
      after_return_ = c == '\r';
      if (second) continue;
      if (!ends) {
        if (line_.size() >= kMostEvent) return false;
        line_ += c;
        continue;
      }
      const std::string line = std::exchange(line_, {});
      if (!Line(line, on_event)) return false;
    }
    if (error == http::error::need_more) return true;
    if (error && error != http::error::need_buffer) return false;
    if (used == 0 && text.empty()) return true;
  }
  return !parser.is_done();
}

bool EventReader::Line(std::string_view line, const OnEvent& on_event) {
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
    if (data_.size() + value.size() >= kMostEvent) return false;
    if (has_data_) data_ += '\n';
    data_ += value;
    has_data_ = true;
  }
  return true;
}

DiscoveryClient::DiscoveryClient(core::Runtime* runtime, core::Logger* log, const core::Address& address,
                                 std::uint64_t last, OnNotice on_notice)
    : runtime_(runtime),
      log_(log),
      address_(address),
      last_(last),
      on_notice_(std::move(on_notice)),
      again_(runtime),
      silence_(runtime) {
  Ask();
}

void DiscoveryClient::MoveTo(const core::Address& address) {
  address_ = address;
  pause_ = 0;
  Ask();
}

void DiscoveryClient::Ask() {
  again_.Stop();
  ++counters_.connects;
  reader_ = std::make_unique<EventReader>();
  stream_ = runtime_->Connect(address_, kConnectWithin, this);
  Watch();
}

void DiscoveryClient::Watch() {
  silence_.Start(kSilence, [this] {
    ++counters_.silences;
    log_->Write(core::LogLevel::kWarning, "board-silent", 0, core::ToString(address_));
    stream_.reset();
    AskAgain();
  });
}

void DiscoveryClient::AskAgain() {
  silence_.Stop();
  // Up to half as much again: what ended for one softswitch has often ended for all of them at once.
  again_.Start(pause_ + runtime_->Random() % (pause_ / 2 + kFirstPause), [this] { Ask(); });
  pause_ = std::clamp(2 * pause_, kFirstPause, kLongestPause);
}

void DiscoveryClient::OnOpen() {
  stream_->Write("GET /board/poll HTTP/1.1\r\nHost: " + core::ToString(address_) +
                 "\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\nLast-Event-ID: " + std::to_string(last_) +
                 "\r\n\r\n");
}

void DiscoveryClient::OnBytes(std::string_view bytes) {
  Watch();
  const bool goes_on =
      reader_->Feed(bytes, [this](std::string_view id, std::string_view data) { return Take(id, data); });
  if (!goes_on) Break();
}

void DiscoveryClient::Break() {
  ++counters_.breaks;
  stream_.reset();
  AskAgain();
}

bool DiscoveryClient::AsksFor(std::uint64_t number) {
  if (asked_for_ == number) return false;  // the board has nothing better
  asked_for_ = number;
  ++counters_.gaps;
  return true;
}

void DiscoveryClient::OnEnd(core::StreamEnd end) {
  log_->Write(core::LogLevel::kWarning, "board-broken", 0,
              core::ToString(address_) + ", end " + std::to_string(static_cast<int>(end)));
  Break();
}

// The numbers of deltas follow one another. One that does not follow, or cannot be read, leaves a gap: what is missing
// is asked for once more, from the last number that holds, and done without only if the board does not tell it then
// either.
bool DiscoveryClient::Take(std::string_view id, std::string_view data) {
  std::uint64_t number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  std::string why;
  const auto event = nlohmann::json::parse(data, nullptr, false);
  const auto notice = ParseNotice(event, number, &why);
  if (!notice) {
    ++counters_.unreadable;
    log_->Write(core::LogLevel::kWarning, "notice-unreadable", 0, std::string(id) + ": " + why);
    return number <= last_ || !AsksFor(last_ + 1);
  }
  pause_ = 0;
  // A whole list of an earlier number is older than what has been applied since: no gap was left in it.
  if (notice->number <= last_ && notice->number != 0) {
    ++counters_.repeated;
    return true;
  }
  if (last_ != 0 && notice->number > last_ + 1 && !notice->whole) {
    log_->Write(core::LogLevel::kWarning, "notice-gap", 0,
                "after " + std::to_string(last_) + " came " + std::to_string(notice->number));
    if (AsksFor(last_ + 1)) {
      // A drain or an end counts as told now, whatever is missing before it.
      Notice told = *notice;
      std::erase_if(told.targets, [](const Target& x) { return x.status == ExchangeStatus::kReady; });
      if (!told.targets.empty()) on_notice_(told);
      return false;
    }
  }
  ++counters_.events;
  last_ = std::max(last_, notice->number);
  on_notice_(*notice);
  return true;
}

}  // namespace croftrun::platform
