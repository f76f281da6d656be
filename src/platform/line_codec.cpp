#include "platform/line_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace croftrun::platform {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<std::string_view, MessageType>, 8> kTypes{{{"new", MessageType::kSetUp},
                                                                          {"wait", MessageType::kWait},
                                                                          {"up", MessageType::kAnswer},
                                                                          {"down", MessageType::kRelease},
                                                                          {"ack", MessageType::kAcknowledgement},
                                                                          {"hb", MessageType::kHeartbeat},
                                                                          {"hb_ok", MessageType::kHeartbeatResponse},
                                                                          {"gauge", MessageType::kGroupReport}}};
constexpr std::size_t kIdDigits = 16;
constexpr std::size_t kMaxFields = 32;
constexpr double kMaxNumber = 65535, kMaxWidth = 1024;

bool IsHex(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

std::optional<std::string> TextOf(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_number()) return value.dump();
  return std::nullopt;
}

}  // namespace

const std::string* Message::Field(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) return &value;
  }
  return nullptr;
}

std::optional<Message> ParseMessage(std::string_view line) {
  const json object = json::parse(line, nullptr, false);
  if (!object.is_object()) return std::nullopt;
  Message message;
  const auto type = object.find("t");
  if (type == object.end() || !type->is_string()) return std::nullopt;
  const auto& type_name = type->get_ref<const std::string&>();
  for (const auto& [name, value] : kTypes) {
    if (name == type_name) message.type = value;
  }
  if (const auto id = object.find("ref"); id != object.end()) {
    if (!id->is_string()) return std::nullopt;
    message.id = id->get<std::string>();
    const bool is_valid = message.id.size() == kIdDigits && std::all_of(message.id.begin(), message.id.end(), IsHex);
    if (!is_valid && !message.id.empty()) return std::nullopt;
  }
  if (const auto fields = object.find("f"); fields != object.end()) {
    if (!fields->is_object() || fields->size() > kMaxFields) return std::nullopt;
    for (const auto& [key, value] : fields->items()) {
      auto text = TextOf(value);
      if (!text) return std::nullopt;
      message.fields.emplace_back(key, std::move(*text));
    }
  }
  if (const auto cause = object.find("c"); cause != object.end()) {
    if (!cause->is_number()) return std::nullopt;
    const double number = cause->get<double>();
    if (!(number >= 0.0 && number <= 1e6)) return std::nullopt;
    message.cause = static_cast<int>(number);
  }
  if (const auto description = object.find("d"); description != object.end()) {
    if (!description->is_string()) return std::nullopt;
    message.description = description->get<std::string>();
  }
  return message;
}

std::string WriteMessage(const Message& message) {
  json object = json::object();
  for (const auto& [name, value] : kTypes) {
    if (value == message.type) object["t"] = name;
  }
  object["ref"] = message.id;
  json& fields = object["f"] = json::object();
  for (const auto& [key, value] : message.fields) fields[key] = value;
  if (message.cause) object["c"] = *message.cause;
  if (message.description) object["d"] = *message.description;
  std::string line = object.dump(-1, ' ', false, json::error_handler_t::replace);
  line += '\n';
  return line.size() > kMaxLineOctets ? std::string() : line;
}

std::optional<double> ParseNumber(std::string_view text, double min, double max) {
  double number = 0.0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (!std::isfinite(number) || number < min || number > max) return std::nullopt;
  return number;
}

std::optional<Extras> ParseExtras(std::string_view text) {
  Extras extras;
  const bool complete = ForEachField(text, [&extras](std::string_view name, std::string_view value) {
    std::optional<double> parsed = 0.0;
    const auto number = [&](double min, double max) { return parsed = ParseNumber(value, min, max); };
    if (name == "dest") {
      if (number(0.0, kMaxNumber)) extras.destination = static_cast<int>(*parsed);
    } else if (name == "width") {
      if (number(1.0, kMaxWidth)) extras.width = *parsed;
    } else if (name == "via") {
      if (number(-1.0, kMaxNumber)) extras.via = static_cast<int>(*parsed);
    } else if (name == "transit") {
      if (number(0.0, 1.0)) extras.transit = *parsed > 0.0;
    } else if (name == "again") {
      if (number(0.0, 1.0)) extras.again = *parsed > 0.0;
    } else if (name == "at") {
      extras.at = value;
    }
    return parsed.has_value();
  });
  if (!complete) return std::nullopt;
  return extras;
}

}  // namespace croftrun::platform
