#include "ws/api.h"

#include <algorithm>
#include <array>
#include <utility>

namespace croftrun::ws {
namespace {

using nlohmann::json;

constexpr std::size_t kLongestToken = 256;  // as ReadToken has it

// Levels of nesting, by its brackets outside of texts: what a parser would have to recurse into.
std::size_t Depth(std::string_view text) {
  std::size_t depth = 0, most = 0;
  bool in_text = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_text) {
      if (c == '\\') ++i;
      in_text = c != '"';
    } else if (c == '"') {
      in_text = true;
    } else if (c == '{' || c == '[') {
      most = std::max(most, ++depth);
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    }
  }
  return most;
}

struct Wrong {
  std::string code, text;
};

class Reader {
 public:
  Reader(const json& object, const ApiLimits& limits) : object_(object), limits_(limits) {}
  std::string Text(const char* key, bool needed, std::size_t most = 0) {
    if (most == 0) most = limits_.longest_text;
    const auto found = object_.find(key);
    if (found == object_.end()) {
      if (needed) throw Wrong{"missing", std::string("/") + key + ": expected a text, found nothing"};
      return {};
    }
    if (!found->is_string())
      throw Wrong{"wrong-type", std::string("/") + key + ": expected a text, found " + found->type_name()};
    std::string text = found->get<std::string>();
    if (text.size() > most)
      throw Wrong{"too-long", std::string("/") + key + ": expected at most " + std::to_string(most) +
                                  " octets, found " + std::to_string(text.size())};
    return text;
  }
  std::uint64_t Number(const char* key, bool needed, std::uint64_t most) {
    const auto found = object_.find(key);
    if (found == object_.end()) {
      if (needed) throw Wrong{"missing", std::string("/") + key + ": expected a whole number, found nothing"};
      return 0;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > most)
      throw Wrong{"wrong-type", std::string("/") + key + ": expected a whole number of 0 to " + std::to_string(most) +
                                    ", found " + found->dump().substr(0, 40)};
    return found->get<std::uint64_t>();
  }

 private:
  const json& object_;
  const ApiLimits& limits_;
};

constexpr std::array<std::pair<std::string_view, Do>, 7> kCommands = {{{"hello", Do::kHello},
                                                                       {"place", Do::kPlace},
                                                                       {"hang-up", Do::kHangUp},
                                                                       {"follow", Do::kFollow},
                                                                       {"subscribe", Do::kSubscribe},
                                                                       {"list", Do::kList},
                                                                       {"ack", Do::kAck}}};

Command Read(const json& object, const ApiLimits& limits) {
  Reader read(object, limits);
  Command command;
  command.id = read.Text("id", true);
  if (command.id.empty()) throw Wrong{"missing", "/id: expected a text, found an empty one"};
  if (read.Number("v", true, 1'000'000) != kVersion)
    throw Wrong{"version", "/v: expected " + std::to_string(kVersion) + ", found " + object.at("v").dump()};
  const std::string what = read.Text("do", true);
  const auto known = std::find_if(kCommands.begin(), kCommands.end(), [&](const auto& c) { return c.first == what; });
  if (known == kCommands.end())
    throw Wrong{"unknown-command",
                "/do: expected hello, place, hang-up, follow, subscribe, list or ack, found \"" + what + "\""};
  command.what = known->second;
  switch (command.what) {
    case Do::kHello:
      command.token = read.Text("token", false, kLongestToken);
      command.session = read.Text("session", false);
      command.have = read.Number("have", false, ~std::uint64_t{0});
      break;
    case Do::kPlace:
      command.called = read.Text("called", true);
      command.calling = read.Text("calling", false);
      if (command.called.empty() || command.called.find_first_not_of("0123456789") != std::string::npos)
        throw Wrong{"wrong-type", "/called: expected digits, found \"" + command.called + "\""};
      command.patience_us = read.Number("patience_ms", false, 3'600'000) * 1000;
      break;
    case Do::kHangUp:
    case Do::kFollow:
      command.call = read.Number("call", true, 0xffffffffU);
      break;
    case Do::kSubscribe: {
      const auto events = object.find("events");
      if (events == object.end() || !events->is_array())
        throw Wrong{"missing", "/events: expected a list of groups and roster, found none"};
      for (const json& event : *events) {
        command.groups = command.groups || event == "groups";
        command.roster = command.roster || event == "roster";
        if (event != "groups" && event != "roster")
          throw Wrong{"wrong-type", "/events: expected groups or roster, found " + event.dump().substr(0, 40)};
      }
      break;
    }
    case Do::kList:
      command.list = read.Text("what", true);
      if (command.list != "groups" && command.list != "roster" && command.list != "calls")
        throw Wrong{"wrong-type", "/what: expected groups, roster or calls, found \"" + command.list + "\""};
      break;
    case Do::kAck:
      command.have = read.Number("have", true, ~std::uint64_t{0});
      break;
  }
  return command;
}

}  // namespace

std::variant<Command, ApiError> ParseCommand(std::string_view text, const ApiLimits& limits) {
  if (text.size() > limits.most_octets)
    return ApiError{
        "", "too-long",
        "expected at most " + std::to_string(limits.most_octets) + " octets, found " + std::to_string(text.size())};
  if (const std::size_t depth = Depth(text); depth > limits.deepest)
    return ApiError{"", "too-deep",
                    "expected at most " + std::to_string(limits.deepest) + " levels, found " + std::to_string(depth)};
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) return ApiError{"", "not-json", "expected a JSON object, found something else"};
  const auto id = object.find("id");
  const std::string known_id =
      id != object.end() && id->is_string() && id->get_ref<const std::string&>().size() <= limits.longest_text
          ? id->get<std::string>()
          : "";
  try {
    return Read(object, limits);
  } catch (const Wrong& wrong) {
    return ApiError{known_id, wrong.code, wrong.text};
  }
}

std::string ReplyText(const std::string& id, json result) {
  result["v"] = kVersion;
  result["id"] = id;
  result["ok"] = true;
  return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string ErrorText(const ApiError& error) {
  const json reply = {
      {"v", kVersion}, {"id", error.id}, {"ok", false}, {"error", {{"code", error.code}, {"text", error.text}}}};
  return reply.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EventText(std::uint64_t sequence, std::string_view event, json figures) {
  figures["v"] = kVersion;
  figures["event"] = event;
  if (sequence > 0) figures["seq"] = sequence;
  return figures.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace croftrun::ws
