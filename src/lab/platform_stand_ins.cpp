#include "lab/platform_stand_ins.h"

#include <algorithm>
#include <charconv>

#include "sim/virtual_runtime.h"

namespace croftrun::lab {

using platform::Message;
using platform::MessageType;

void PlatformConnection::OnBytes(std::string_view bytes) {
  reader_.Feed(bytes, [this](std::string_view line) {
    if (const auto message = platform::ParseMessage(line)) received.push_back(*message);
    if (on_line_) on_line_(*this, std::string(line));
    return true;
  });
}

void PlatformConnection::Reset() {
  if (auto* const virtual_stream = dynamic_cast<sim::VirtualStream*>(stream.get()); virtual_stream != nullptr && open)
    virtual_stream->Reset();
}

PlatformExchange::PlatformExchange(core::Runtime* runtime, const core::Address& address)
    : runtime_(runtime), address_(address) {
  on_set_up = [](PlatformConnection& connection, const Message& message) {
    Answer(connection, message.id, "answer for " + message.id);
  };
  Start();
}

void PlatformExchange::Start() { listener_ = runtime_->Listen(address_, this); }

void PlatformExchange::Stop() {
  listener_.reset();
  for (const auto& connection : connections_) connection->Reset();
}

core::StreamHandler* PlatformExchange::OnAccept(std::unique_ptr<core::Stream> stream) {
  connections_.push_back(
      std::make_unique<PlatformConnection>([this](PlatformConnection& connection, const std::string& line) {
        const auto message = platform::ParseMessage(line);
        if (!message) return;
        received_.push_back(*message);
        if (message->type == MessageType::kSetUp) on_set_up(connection, *message);
      }));
  connections_.back()->stream = std::move(stream);
  connections_.back()->open = true;
  return connections_.back().get();
}

void PlatformExchange::Answer(PlatformConnection& connection, const std::string& id, const std::string& description) {
  connection.Send({.type = MessageType::kAnswer, .id = id, .description = description});
}

void PlatformExchange::Release(PlatformConnection& connection, const std::string& id, int cause,
                               const std::string& note) {
  Message message{.type = MessageType::kRelease, .id = id, .cause = cause};
  if (!note.empty()) message.fields.emplace_back("note", note);
  connection.Send(message);
}

std::vector<Message> PlatformExchange::Received(MessageType type) const {
  std::vector<Message> found;
  for (const Message& message : received_) {
    if (message.type == type) found.push_back(message);
  }
  return found;
}

std::vector<PlatformConnection*> PlatformExchange::OpenConnections() const {
  std::vector<PlatformConnection*> open;
  for (const auto& connection : connections_) {
    if (connection->open) open.push_back(connection.get());
  }
  return open;
}

PlatformDiscovery::PlatformDiscovery(core::Runtime* runtime, const core::Address& address)
    : runtime_(runtime), listener_(runtime->Listen(address, this)) {}

core::StreamHandler* PlatformDiscovery::OnAccept(std::unique_ptr<core::Stream> stream) {
  Watch* const watch = &watches_.emplace_back();
  watch->connection = std::make_unique<PlatformConnection>(
      [this, watch](PlatformConnection&, const std::string& line) { HandleRequestLine(watch, line); });
  watch->connection->stream = std::move(stream);
  watch->connection->open = true;
  return watch->connection.get();
}

void PlatformDiscovery::HandleRequestLine(Watch* watch, const std::string& line) {
  constexpr std::string_view kHeader = "Last-Event-ID: ";
  if (line.rfind(kHeader, 0) == 0) {
    last_event_ids.push_back(line.substr(kHeader.size(), line.find('\r') - kHeader.size()));
    const std::string& digits = last_event_ids.back();
    std::from_chars(digits.data(), digits.data() + digits.size(), watch->last_event);
    return;
  }
  if (line != "\r" || !is_answering) return;  // the empty line ends the request
  const auto send_header = [this, watch] {
    if (!watch->connection->open) return;
    watch->connection->stream->Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    if (comment_after_header) watch->connection->stream->Write(": here\n\n");
    if (body_delay == 0) return SendBody(watch);
    runtime_->StartTimer(body_delay, [this, watch] { SendBody(watch); });
  };
  if (response_delay == 0) return send_header();
  runtime_->StartTimer(response_delay, send_header);
}

void PlatformDiscovery::SendBody(Watch* watch) {
  if (!watch->connection->open) return;
  watch->has_response = true;
  for (const auto& [number, data] : events_) {
    if (number > watch->last_event)
      watch->connection->stream->Write("id: " + std::to_string(number) + "\ndata: " + data + "\n\n");
  }
}

void PlatformDiscovery::Publish(std::uint64_t number, const std::string& data) {
  Store(number, data);
  Write("id: " + std::to_string(number) + "\ndata: " + data + "\n\n");
}

void PlatformDiscovery::Write(const std::string& octets) {
  for (const Watch& watch : watches_) {
    if (watch.connection->open && watch.has_response) watch.connection->stream->Write(octets);
  }
}

void PlatformDiscovery::Reset() {
  for (const Watch& watch : watches_) watch.connection->Reset();
}

std::size_t PlatformDiscovery::open_connections() const {
  return static_cast<std::size_t>(
      std::count_if(watches_.begin(), watches_.end(), [](const Watch& watch) { return watch.connection->open; }));
}

PlatformCaller::PlatformCaller(core::Runtime* runtime, const core::Address& softswitch) : connection(nullptr) {
  connection.stream = runtime->Connect(softswitch, 1'000'000, &connection);
}

void PlatformCaller::SetUp(const std::string& id, int destination, const std::string& extra_values,
                           const std::string& timeout_ms) {
  connection.Send({.type = MessageType::kSetUp,
                   .id = id,
                   .fields = {{"class", "voice"},
                              {"left", timeout_ms},
                              {"key", "7f3a9c21e0b4d655"},
                              {"extras", "dest:" + std::to_string(destination) + ";width:1;via:-1" + extra_values}},
                   .description = "offer of " + id + "\r\nm=audio"});
}

void PlatformCaller::Release(const std::string& id) {
  connection.Send({.type = MessageType::kRelease, .id = id, .cause = 16});
}

std::vector<Message> PlatformCaller::FinalMessages(const std::string& id) const {
  std::vector<Message> found;
  for (const Message& message : connection.received) {
    const bool final = message.type == MessageType::kAnswer || message.type == MessageType::kRelease;
    if (message.id == id && final) found.push_back(message);
  }
  return found;
}

}  // namespace croftrun::lab
