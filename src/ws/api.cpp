#include "ws/api.h"

#include <algorithm>
#include <array>
#include <utility>

namespace croftrun::ws {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTokenOctets = 256;  // the same bound as in ReadToken

// Returns the nesting depth: the levels of brackets outside of strings, into which a JSON parser would recurse.
std::size_t NestingDepth(std::string_view text) {
  std::size_t depth = 0, max_depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      max_depth = std::max(max_depth, ++depth);
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    }
  }
  return max_depth;
}

struct CommandError {
  std::string code, text;
};

// Reads the fields of a command object and throws CommandError for a field that is missing or invalid.
class Reader {
 public:
  Reader(const json& object, const ApiLimits& limits) : object_(object), limits_(limits) {}
  std::string Text(const char* key, bool required, std::size_t max_octets = 0) {
    if (max_octets == 0) max_octets = limits_.max_text_octets;
    const auto found = object_.find(key);
    if (found == object_.end()) {
      if (required) throw CommandError{"missing", std::string("/") + key + ": expected a text, found nothing"};
      return {};
    }
    if (!found->is_string())
      throw CommandError{"wrong-type", std::string("/") + key + ": expected a text, found " + found->type_name()};
    std::string text = found->get<std::string>();
    if (text.size() > max_octets)
      throw CommandError{"too-long", std::string("/") + key + ": expected at most " + std::to_string(max_octets) +
                                         " octets, found " + std::to_string(text.size())};
    return text;
  }
  std::uint64_t Number(const char* key, bool required, std::uint64_t max_value) {
    const auto found = object_.find(key);
    if (found == object_.end()) {
      if (required) throw CommandError{"missing", std::string("/") + key + ": expected a whole number, found nothing"};
      return 0;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > max_value)
      throw CommandError{"wrong-type", std::string("/") + key + ": expected a whole number of 0 to " +
                                           std::to_string(max_value) + ", found " + found->dump().substr(0, 40)};
    return found->get<std::uint64_t>();
  }

 private:
  const json& object_;
  const ApiLimits& limits_;
};

constexpr std::array<std::pair<std::string_view, CommandType>, 7> kCommandTypes = {
    {{"hello", CommandType::kHello},
     {"place", CommandType::kPlace},
     {"hang-up", CommandType::kHangUp},
     {"follow", CommandType::kFollow},
     {"subscribe", CommandType::kSubscribe},
     {"list", CommandType::kList},
     {"ack", CommandType::kAck}}};

Command ReadCommand(const json& object, const ApiLimits& limits) {
  Reader reader(object, limits);
  Command command;
  command.id = reader.Text("id", true);
  if (command.id.empty()) throw CommandError{"missing", "/id: expected a text, found an empty one"};
  if (reader.Number("v", true, 1'000'000) != kApiVersion)
    throw CommandError{"version", "/v: expected " + std::to_string(kApiVersion) + ", found " + object.at("v").dump()};
  const std::string type_name = reader.Text("do", true);
  const auto type =
      std::find_if(kCommandTypes.begin(), kCommandTypes.end(), [&](const auto& c) { return c.first == type_name; });
  if (type == kCommandTypes.end())
    throw CommandError{
        "unknown-command",
        "/do: expected hello, place, hang-up, follow, subscribe, list or ack, found \"" + type_name + "\""};
  command.type = type->second;
  switch (command.type) {
    case CommandType::kHello:
      command.token = reader.Text("token", false, kMaxTokenOctets);
      command.session = reader.Text("session", false);
      command.last_received = reader.Number("have", false, ~std::uint64_t{0});
      break;
    case CommandType::kPlace:
      command.called = reader.Text("called", true);
      command.calling = reader.Text("calling", false);
      if (command.called.empty() || command.called.find_first_not_of("0123456789") != std::string::npos)
        throw CommandError{"wrong-type", "/called: expected digits, found \"" + command.called + "\""};
      command.caller_timeout_us = reader.Number("patience_ms", false, 3'600'000) * 1000;
      break;
    case CommandType::kHangUp:
    case CommandType::kFollow:
      command.call = reader.Number("call", true, 0xffffffffU);
      break;
    case CommandType::kSubscribe: {
      const auto events = object.find("events");
      if (events == object.end() || !events->is_array())
        throw CommandError{"missing", "/events: expected a list of groups and roster, found none"};
      for (const json& event : *events) {
        command.groups = command.groups || event == "groups";
        command.roster = command.roster || event == "roster";
        if (event != "groups" && event != "roster")
          throw CommandError{"wrong-type", "/events: expected groups or roster, found " + event.dump().substr(0, 40)};
      }
      break;
    }
    case CommandType::kList:
      command.list = reader.Text("what", true);
      if (command.list != "groups" && command.list != "roster" && command.list != "calls")
        throw CommandError{"wrong-type", "/what: expected groups, roster or calls, found \"" + command.list + "\""};
      break;
    case CommandType::kAck:
      command.last_received = reader.Number("have", true, ~std::uint64_t{0});
      break;
  }
  return command;
}

}  // namespace

std::variant<Command, ApiError> ParseCommand(std::string_view text, const ApiLimits& limits) {
  if (text.size() > limits.max_octets)
    return ApiError{
        "", "too-long",
        "expected at most " + std::to_string(limits.max_octets) + " octets, found " + std::to_string(text.size())};
  if (const std::size_t depth = NestingDepth(text); depth > limits.max_depth)
    return ApiError{"", "too-deep",
                    "expected at most " + std::to_string(limits.max_depth) + " levels, found " + std::to_string(depth)};
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) return ApiError{"", "not-json", "expected a JSON object, found something else"};
  const auto id = object.find("id");
  const std::string id_text =
      id != object.end() && id->is_string() && id->get_ref<const std::string&>().size() <= limits.max_text_octets
          ? id->get<std::string>()
          : "";
  try {
    return ReadCommand(object, limits);
  } catch (const CommandError& error) {
    return ApiError{id_text, error.code, error.text};
  }
}

std::string ReplyText(const std::string& id, json result) {
  result["v"] = kApiVersion;
  result["id"] = id;
  result["ok"] = true;
  return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string ErrorText(const ApiError& error) {
  const json reply = {
      {"v", kApiVersion}, {"id", error.id}, {"ok", false}, {"error", {{"code", error.code}, {"text", error.text}}}};
  return reply.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EventText(std::uint64_t sequence, std::string_view event, json fields) {
  fields["v"] = kApiVersion;
  fields["event"] = event;
  if (sequence > 0) fields["seq"] = sequence;
  return fields.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace croftrun::ws
