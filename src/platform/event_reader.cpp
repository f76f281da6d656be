#include "platform/event_reader.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <utility>

namespace croftrun::platform {

namespace http = boost::beast::http;

struct EventReader::HttpResponse {
  HttpResponse() { parser.body_limit(boost::none); }
  http::response_parser<http::buffer_body> parser;
  std::string unparsed;
};

EventReader::EventReader(std::size_t max_event_octets)
    : max_event_octets_(max_event_octets), http_response_(std::make_unique<HttpResponse>()) {}
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
        if (BufferedOctets() >= max_event_octets_) return false;
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
    if (std::exchange(has_data_, false)) on_event(id, data);
    return true;
  }
  const auto colon = line.find(':');
  const auto name = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (name == "id") {
    id_ = value;
  } else if (name == "data") {
    if (BufferedOctets() + value.size() >= max_event_octets_) return false;
    if (has_data_) data_ += '\n';
    data_ += value;
    has_data_ = true;
  }
  return true;
}

}  // namespace croftrun::platform
