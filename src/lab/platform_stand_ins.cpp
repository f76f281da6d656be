#include "lab/platform_stand_ins.h"

#include <charconv>

#include "sim/virtual_runtime.h"

namespace croftrun::lab {

using platform::Message;
using platform::MessageType;

void PlatformLink::OnBytes(std::string_view bytes) {
  reader_.Feed(bytes, [this](std::string_view line) {
    if (const auto message = platform::ParseMessage(line)) heard.push_back(*message);
    if (on_line_) on_line_(*this, std::string(line));
    return true;
  });
}

void PlatformLink::Break() {
  if (auto* const virtual_one = dynamic_cast<sim::VirtualStream*>(stream.get()); virtual_one != nullptr && open)
    virtual_one->Break();
}

PlatformExchange::PlatformExchange(core::Runtime* runtime, const core::Address& address)
    : runtime_(runtime), address_(address) {
  on_set_up = [](PlatformLink& link, const Message& message) { Answer(link, message.id, "answer for " + message.id); };
  Start();
}

void PlatformExchange::Start() { listener_ = runtime_->Listen(address_, this); }

void PlatformExchange::Stop() {
  listener_.reset();
  for (const auto& link : links_) link->Break();
}

core::StreamHandler* PlatformExchange::OnAccept(std::unique_ptr<core::Stream> stream) {
  links_.push_back(std::make_unique<PlatformLink>([this](PlatformLink& link, const std::string& line) {
    const auto message = platform::ParseMessage(line);
    if (!message) return;
    heard_.push_back(*message);
    if (message->type == MessageType::kSetUp) on_set_up(link, *message);
  }));
  links_.back()->stream = std::move(stream);
  links_.back()->open = true;
  return links_.back().get();
}

void PlatformExchange::Answer(PlatformLink& link, const std::string& id, const std::string& description) {
  link.Send({.type = MessageType::kAnswer, .id = id, .description = description});
}

void PlatformExchange::Release(PlatformLink& link, const std::string& id, int cause, const std::string& note) {
  Message message{.type = MessageType::kRelease, .id = id, .cause = cause};
  if (!note.empty()) message.fields.emplace_back("note", note);
  link.Send(message);
}

std::vector<Message> PlatformExchange::Heard(MessageType type) const {
  std::vector<Message> found;
  for (const Message& message : heard_) {
    if (message.type == type) found.push_back(message);
  }
  return found;
}

std::vector<PlatformLink*> PlatformExchange::OpenLinks() const {
  std::vector<PlatformLink*> open;
  for (const auto& link : links_) {
    if (link->open) open.push_back(link.get());
  }
  return open;
}

PlatformBoard::PlatformBoard(core::Runtime* runtime, const core::Address& address)
    : listener_(runtime->Listen(address, this)) {}

core::StreamHandler* PlatformBoard::OnAccept(std::unique_ptr<core::Stream> stream) {
  links_.push_back(std::make_unique<PlatformLink>([this](PlatformLink& link, const std::string& line) {
    constexpr std::string_view kHeader = "Last-Event-ID: ";
    if (line.rfind(kHeader, 0) == 0) {
      asked.push_back(line.substr(kHeader.size(), line.find('\r') - kHeader.size()));
      return;
    }
    if (line != "\r") return;  // the request is whole with the empty line
    link.stream->Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    std::uint64_t last = 0;
    std::from_chars(asked.back().data(), asked.back().data() + asked.back().size(), last);
    for (const auto& [number, data] : events_) {
      if (number > last) link.stream->Write("id: " + std::to_string(number) + "\ndata: " + data + "\n\n");
    }
  }));
  links_.back()->stream = std::move(stream);
  links_.back()->open = true;
  return links_.back().get();
}

void PlatformBoard::Tell(std::uint64_t number, const std::string& data) {
  Keep(number, data);
  Write("id: " + std::to_string(number) + "\ndata: " + data + "\n\n");
}

void PlatformBoard::Write(const std::string& octets) {
  for (const auto& link : links_) {
    if (link->open) link->stream->Write(octets);
  }
}

void PlatformBoard::Break() {
  for (const auto& link : links_) link->Break();
}

PlatformCaller::PlatformCaller(core::Runtime* runtime, const core::Address& softswitch) : link(nullptr) {
  link.stream = runtime->Connect(softswitch, 1'000'000, &link);
}

void PlatformCaller::SetUp(const std::string& id, int destination, const std::string& more, const std::string& left) {
  link.Send({.type = MessageType::kSetUp,
             .id = id,
             .fields = {{"class", "voice"},
                        {"left", left},
                        {"key", "7f3a9c21e0b4d655"},
                        {"extras", "dest:" + std::to_string(destination) + ";width:1;via:-1" + more}},
             .description = "offer of " + id + "\r\nm=audio"});
}

void PlatformCaller::Release(const std::string& id) {
  link.Send({.type = MessageType::kRelease, .id = id, .cause = 16});
}

std::vector<Message> PlatformCaller::For(const std::string& id) const {
  std::vector<Message> found;
  for (const Message& message : link.heard) {
    const bool final = message.type == MessageType::kAnswer || message.type == MessageType::kRelease;
    if (message.id == id && final) found.push_back(message);
  }
  return found;
}

}  // namespace croftrun::lab
