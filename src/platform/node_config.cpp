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

constexpr std::size_t kMostTargets = 4096;
constexpr std::size_t kMostUid = 128;

std::string Scalar(const json& value) {
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
    *lines += path + "=" + Scalar(value) + "\n";
    return;
  }
  const bool nested = std::any_of(value.begin(), value.end(), [](const json& x) { return x.is_structured(); });
  if (!nested) {
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + Scalar(item);
    *lines += path + "=" + joined + "\n";
    // An empty list may be one of objects.
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
  constexpr double kMost = std::numeric_limits<double>::max();
  return ParseNumber(found->get_ref<const std::string&>(), -kMost, kMost);
}

std::string TextAt(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) return {};
  return found->is_string() ? found->get<std::string>() : found->is_number() ? found->dump() : std::string();
}

std::optional<Target> ParseTarget(const json& entry, std::string* why) {
  Target target;
  if (!entry.is_object()) return *why = "expected an object in targets", std::nullopt;
  target.uid = TextAt(entry, "uid");
  if (target.uid.empty() || target.uid.size() > kMostUid) return *why = "expected an id in uid", std::nullopt;
  const std::string state = TextAt(entry, "state"), endpoint = TextAt(entry, "endpoint");
  if (state == "Ready") {
    target.status = ExchangeStatus::kReady;
  } else if (state == "Terminating") {
    target.status = ExchangeStatus::kDraining;
  } else if (state == "Gone") {
    target.status = ExchangeStatus::kGone;
  } else {
    return *why = "expected Ready, Terminating or Gone in state, found '" + state + "'", std::nullopt;
  }
  if (!core::ParseAddress(endpoint, &target.address) && target.status != ExchangeStatus::kGone)
    return *why = "expected address:port in endpoint, found '" + endpoint + "'", std::nullopt;
  target.zone = TextAt(entry, "az");
  target.kind = TextAt(entry, "model");
  const auto number = NumberAt(entry, "pod_group");
  if (number && (*number < 0 || *number > 65535)) return *why = "expected 0 to 65535 in pod_group", std::nullopt;
  target.number = number ? static_cast<int>(*number) : -1;
  target.rating = NumberAt(entry, "capacity_hint").value_or(1.0);
  const double boot = NumberAt(entry, "boot_ms").value_or(0.0);
  if (!(boot >= 0.0 && boot < 1e15)) return *why = "expected milliseconds in boot_ms", std::nullopt;
  target.boot_ms = static_cast<std::int64_t>(boot);
  return target;
}

class Reader {
 public:
  Reader(const json& root, std::vector<config::Mistake>* mistakes) : root_(root), mistakes_(mistakes) {}
  const json* At(const std::string& path) const {
    const json::json_pointer pointer(path);
    return root_.contains(pointer) ? &root_.at(pointer) : nullptr;
  }
  void Wrong(const std::string& path, const std::string& expected) {
    const json* found = At(path);
    std::string text = found == nullptr ? "nothing" : found->dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > 80) text = text.substr(0, 80) + "...";
    mistakes_->push_back({path, "expected " + expected + ", found " + text});
  }
  void Address(const std::string& path, const std::string& stand_in, core::Address* out) {
    const json* value = At(path);
    const std::string text = value != nullptr && value->is_string() ? value->get<std::string>() : stand_in;
    if ((value != nullptr && !value->is_string()) || !core::ParseAddress(text, out)) Wrong(path, "address:port");
  }
  void Count(const std::string& path, std::size_t least, std::size_t most, std::size_t* out) {
    const json* value = At(path);
    if (value == nullptr) return;
    const double number = value->is_number() ? value->get<double>() : -1.0;
    if (!(number >= static_cast<double>(least) && number <= static_cast<double>(most)))
      return Wrong(path, "a number from " + std::to_string(least) + " to " + std::to_string(most));
    *out = static_cast<std::size_t>(number);
  }
  void Time(const std::string& path, TimeUs* out) {
    std::size_t value = *out;
    Count(path, 0, 1'000'000'000'000, &value);
    *out = value;
  }
  std::vector<std::string> Names(const std::string& path) {
    std::vector<std::string> names;
    const json* value = At(path);
    if (value == nullptr || !value->is_array()) return names;
    for (const json& item : *value) names.push_back(Scalar(item));
    return names;
  }

 private:
  const json& root_;
  std::vector<config::Mistake>* mistakes_;
};

}  // namespace

std::optional<Notice> ParseNotice(const json& event, std::uint64_t number, std::string* why) {
  if (!event.is_object()) return *why = "expected an object", std::nullopt;
  const auto pool = event.find("pool");
  const json& body = pool != event.end() ? *pool : event;
  const auto targets = body.is_object() ? body.find("targets") : body.end();
  if (!body.is_object() || targets == body.end() || !targets->is_array() || targets->size() > kMostTargets)
    return *why = "expected a list in targets", std::nullopt;
  Notice notice;
  const double stated = NumberAt(event, "rev").value_or(0.0);
  if (!(stated >= 0.0 && stated < 1e15)) return *why = "expected a number in rev", std::nullopt;
  notice.number = number != 0 ? number : static_cast<std::uint64_t>(stated);
  const auto whole = body.find("all");
  notice.whole = whole != body.end() && whole->is_boolean() && whole->get<bool>();
  for (const json& entry : *targets) {
    auto target = ParseTarget(entry, why);
    if (!target) return std::nullopt;
    notice.targets.push_back(std::move(*target));
  }
  return notice;
}

std::string FlattenSettings(const json& settings) {
  std::string lines;
  Flatten("", settings, &lines);
  return lines;
}

NodeConfig ParseNodeConfig(std::string_view text, const std::string& name, const std::string& listen,
                           std::vector<config::Mistake>* mistakes) {
  NodeConfig config;
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object()) {
    mistakes->push_back(
        {"", "expected one JSON object, found " + std::to_string(text.size()) + " octets that are none"});
    return config;
  }
  Reader reader(root, mistakes);
  const json* own_name = reader.At("/name");
  config.name = own_name != nullptr && own_name->is_string() ? own_name->get<std::string>() : name;
  reader.Address("/listen", listen, &config.listen);
  reader.Address("/board", "", &config.board);
  if (const json* seed = reader.At("/seed")) {
    const std::string digits = Scalar(*seed);
    const int base = seed->is_string() ? 16 : 10;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), config.seed, base);
    if (error != std::errc() || end != digits.data() + digits.size()) reader.Wrong("/seed", "up to 16 hex digits");
  }
  reader.Count("/limits/memory_mb", 1, 1U << 20U, &config.memory_mb);
  reader.Count("/limits/sockets", 64, 1U << 20U, &config.sockets);
  const json* settings = reader.At("/settings");
  for (const char* const part : {"settings", "limits"}) {
    if (root.contains(part)) config.settings += FlattenSettings(root.at(part));
  }
  if (settings == nullptr || !settings->is_object()) {
    reader.Wrong("/settings", "an object");
  } else {
    try {
      config.module = wire::ParseSettings(FlattenSettings(*settings));
    } catch (const wire::BadSetting& error) {
      mistakes->push_back({"/settings", error.what()});
    }
    config.zones = reader.Names("/settings/localities");
    config.kinds = reader.Names("/settings/flavors");
    config.figures = reader.Names("/settings/report/fields");
    reader.Time("/settings/allowed/connect_timeout_us", &config.connect_timeout_us);
    reader.Time("/settings/contract/grace_to_answer_us", &config.grace_us);
  }
  if (const json* known = reader.At("/known")) {
    const auto notices = known->is_object() ? known->find("notices") : known->end();
    if (!known->is_object() || notices == known->end() || !notices->is_array()) {
      reader.Wrong("/known", "an object with a list of notices");
    } else {
      config.known_number = static_cast<std::uint64_t>(std::max(0.0, NumberAt(*known, "rev").value_or(0.0)));
      std::size_t index = 0;
      for (const json& event : *notices) {
        std::string why;
        auto notice = ParseNotice(event, 0, &why);
        if (!notice) {
          mistakes->push_back({"/known/notices/" + std::to_string(index), why});
        } else {
          config.known.push_back(std::move(*notice));
        }
        ++index;
      }
    }
  }
  return config;
}

}  // namespace croftrun::platform
