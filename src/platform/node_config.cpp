#include "platform/node_config.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

#include "platform/line_codec.h"
#include "wire/settings_parser.h"

namespace croftrun::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTargets = 4096;
constexpr std::size_t kMaxUidLength = 128;

std::string ScalarText(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.is_null() ? std::string() : value.dump();
  for (char& c : text) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return text;
}

void Flatten(const std::string& path, const json& value, std::string* lines) {
  const std::string prefix = path.empty() ? path : path + ".";
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) Flatten(prefix + key, item, lines);
    return;
  }
  if (!value.is_array()) {
    *lines += path + "=" + ScalarText(value) + "\n";
    return;
  }
  const bool nested = std::any_of(value.begin(), value.end(), [](const json& x) { return x.is_structured(); });
  if (!nested) {
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + ScalarText(item);
    *lines += path + "=" + joined + "\n";
    // An empty list may also be an empty list of objects.
    if (value.empty()) *lines += path + ".count=0\n";
    return;
  }
  *lines += path + ".count=" + std::to_string(value.size()) + "\n";
  std::size_t index = 0;
  for (const json& item : value) Flatten(prefix + std::to_string(index++), item, lines);
}

std::optional<double> NumberAt(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) return std::nullopt;
  if (found->is_number()) return found->get<double>();
  if (!found->is_string()) return std::nullopt;
  constexpr double kMax = std::numeric_limits<double>::max();
  return ParseNumber(found->get_ref<const std::string&>(), -kMax, kMax);
}

std::string TextAt(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) return {};
  return found->is_string() ? found->get<std::string>() : found->is_number() ? found->dump() : std::string();
}

std::optional<Target> ParseTarget(const json& entry, std::string* error) {
  Target target;
  if (!entry.is_object()) return *error = "expected an object in targets", std::nullopt;
  target.uid = TextAt(entry, "uid");
  if (target.uid.empty() || target.uid.size() > kMaxUidLength) return *error = "expected an id in uid", std::nullopt;
  const std::string state = TextAt(entry, "state"), endpoint = TextAt(entry, "endpoint");
  if (state == "Ready") {
    target.status = ExchangeStatus::kReady;
  } else if (state == "Terminating") {
    target.status = ExchangeStatus::kDraining;
  } else if (state == "Gone") {
    target.status = ExchangeStatus::kGone;
  } else {
    return *error = "expected Ready, Terminating or Gone in state, found '" + state + "'", std::nullopt;
  }
  if (!core::ParseAddress(endpoint, &target.address) && target.status != ExchangeStatus::kGone)
    return *error = "expected address:port in endpoint, found '" + endpoint + "'", std::nullopt;
  target.zone = TextAt(entry, "az");
  target.kind = TextAt(entry, "model");
  const auto number = NumberAt(entry, "pod_group");
  if (number && (*number < 0 || *number > 65535)) return *error = "expected 0 to 65535 in pod_group", std::nullopt;
  target.number = number ? static_cast<int>(*number) : -1;
  target.rating = NumberAt(entry, "capacity_hint").value_or(1.0);
  const double boot = NumberAt(entry, "boot_ms").value_or(0.0);
  if (!(boot >= 0.0 && boot < 1e15)) return *error = "expected milliseconds in boot_ms", std::nullopt;
  target.boot_ms = static_cast<std::int64_t>(boot);
  return target;
}

class ConfigReader {
 public:
  ConfigReader(const json& root, std::vector<config::SettingsError>* mistakes) : root_(root), mistakes_(mistakes) {}
  const json* At(const std::string& path) const {
    const json::json_pointer pointer(path);
    return root_.contains(pointer) ? &root_.at(pointer) : nullptr;
  }
  void AddMistake(const std::string& path, const std::string& expected) {
    const json* found = At(path);
    std::string text = found == nullptr ? "nothing" : found->dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > 80) text = text.substr(0, 80) + "...";
    mistakes_->push_back({path, "expected " + expected + ", found " + text});
  }
  void ReadAddress(const std::string& path, const std::string& default_value, core::Address* result) {
    const json* value = At(path);
    const std::string text = value != nullptr && value->is_string() ? value->get<std::string>() : default_value;
    if ((value != nullptr && !value->is_string()) || !core::ParseAddress(text, result))
      AddMistake(path, "address:port");
  }
  void ReadCount(const std::string& path, std::size_t min, std::size_t max, std::size_t* result) {
    const json* value = At(path);
    if (value == nullptr) return;
    const double number = value->is_number() ? value->get<double>() : -1.0;
    if (!(number >= static_cast<double>(min) && number <= static_cast<double>(max)))
      return AddMistake(path, "a number from " + std::to_string(min) + " to " + std::to_string(max));
    *result = static_cast<std::size_t>(number);
  }
  void ReadTime(const std::string& path, TimeUs* result) {
    std::size_t value = *result;
    ReadCount(path, 0, 1'000'000'000'000, &value);
    *result = value;
  }
  std::vector<std::string> ReadNames(const std::string& path) {
    std::vector<std::string> names;
    const json* value = At(path);
    if (value == nullptr || !value->is_array()) return names;
    for (const json& item : *value) names.push_back(ScalarText(item));
    return names;
  }

 private:
  const json& root_;
  std::vector<config::SettingsError>* mistakes_;
};

}  // namespace

std::optional<DirectoryNotification> ParseDirectoryNotification(const json& event, std::uint64_t number,
                                                                std::string* error) {
  if (!event.is_object()) return *error = "expected an object", std::nullopt;
  const auto pool = event.find("pool");
  const json& body = pool != event.end() ? *pool : event;
  const auto targets = body.is_object() ? body.find("targets") : body.end();
  if (!body.is_object() || targets == body.end() || !targets->is_array() || targets->size() > kMaxTargets)
    return *error = "expected a list in targets", std::nullopt;
  DirectoryNotification notification;
  const double stated = NumberAt(event, "rev").value_or(0.0);
  if (!(stated >= 0.0 && stated < 1e15)) return *error = "expected a number in rev", std::nullopt;
  notification.number = number != 0 ? number : static_cast<std::uint64_t>(stated);
  const auto all = body.find("all");
  notification.is_full = all != body.end() && all->is_boolean() && all->get<bool>();
  for (const json& entry : *targets) {
    auto target = ParseTarget(entry, error);
    if (!target) return std::nullopt;
    notification.targets.push_back(std::move(*target));
  }
  return notification;
}

std::string FlattenSettings(const json& settings) {
  std::string lines;
  Flatten("", settings, &lines);
  return lines;
}

NodeConfig ParseNodeConfig(std::string_view text, const std::string& name, const std::string& listen,
                           std::vector<config::SettingsError>* mistakes) {
  NodeConfig config;
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object()) {
    mistakes->push_back(
        {"", "expected one JSON object, found " + std::to_string(text.size()) + " octets of other text"});
    return config;
  }
  ConfigReader reader(root, mistakes);
  const json* own_name = reader.At("/name");
  config.name = own_name != nullptr && own_name->is_string() ? own_name->get<std::string>() : name;
  reader.ReadAddress("/listen", listen, &config.listen);
  reader.ReadAddress("/board", "", &config.discovery_address);
  if (const json* seed = reader.At("/seed")) {
    const std::string digits = ScalarText(*seed);
    const int base = seed->is_string() ? 16 : 10;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), config.seed, base);
    if (error != std::errc() || end != digits.data() + digits.size()) reader.AddMistake("/seed", "up to 16 hex digits");
  }
  reader.ReadCount("/limits/memory_mb", 1, 1U << 20U, &config.memory_mb);
  reader.ReadCount("/limits/sockets", 64, 1U << 20U, &config.sockets);
  const json* settings = reader.At("/settings");
  for (const char* const part : {"settings", "limits"}) {
    if (root.contains(part)) config.settings_text += FlattenSettings(root.at(part));
  }
  if (settings == nullptr || !settings->is_object()) {
    reader.AddMistake("/settings", "an object");
  } else {
    try {
      config.module = wire::ParseSettings(FlattenSettings(*settings));
    } catch (const wire::InvalidSetting& error) {
      mistakes->push_back({"/settings", error.what()});
    }
    config.zones = reader.ReadNames("/settings/localities");
    config.kinds = reader.ReadNames("/settings/flavors");
    config.report_fields = reader.ReadNames("/settings/report/fields");
    reader.ReadTime("/settings/allowed/connect_timeout_us", &config.connect_timeout_us);
    reader.ReadTime("/settings/contract/grace_to_answer_us", &config.answer_grace_us);
  }
  if (const json* known = reader.At("/known")) {
    const auto notifications = known->is_object() ? known->find("notices") : known->end();
    if (!known->is_object() || notifications == known->end() || !notifications->is_array()) {
      reader.AddMistake("/known", "an object with a list of notices");
    } else {
      config.known_event_number = static_cast<std::uint64_t>(std::max(0.0, NumberAt(*known, "rev").value_or(0.0)));
      std::size_t index = 0;
      for (const json& event : *notifications) {
        std::string error;
        auto notification = ParseDirectoryNotification(event, 0, &error);
        if (!notification) {
          mistakes->push_back({"/known/notices/" + std::to_string(index), error});
        } else {
          config.known_notifications.push_back(std::move(*notification));
        }
        ++index;
      }
    }
  }
  return config;
}

}  // namespace croftrun::platform
