#include "wire/settings_parser.h"

#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace croftrun::wire {
namespace {

using Pairs = std::map<std::string, std::string, std::less<>>;

[[noreturn]] void ThrowBadSetting(const std::string& key, std::string_view value) {
  throw InvalidSetting("setting " + key + ": cannot read '" + std::string(value) + "'");
}

Pairs SplitLines(std::string_view text) {
  Pairs pairs;
  while (!text.empty()) {
    const auto end = text.find('\n');
    auto line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const auto equals = line.find('=');
    if (equals != std::string_view::npos) pairs[std::string(line.substr(0, equals))] = line.substr(equals + 1);
  }
  return pairs;
}

std::vector<std::string_view> SplitOn(std::string_view list, char separator) {
  std::vector<std::string_view> items;
  while (!list.empty()) {
    const auto end = list.find(separator);
    items.push_back(list.substr(0, end));
    list = end == std::string_view::npos ? std::string_view() : list.substr(end + 1);
  }
  return items;
}

double ToNumber(const std::string& key, std::string_view value) {
  double number = 0.0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(number)) ThrowBadSetting(key, value);
  return number;
}

class Reader {
 public:
  explicit Reader(std::string_view text) : pairs_(SplitLines(text)) {}

  const std::string* Find(const std::string& key) const {
    const auto found = pairs_.find(key);
    return found == pairs_.end() || found->second.empty() ? nullptr : &found->second;
  }
  void Number(const std::string& key, double* out) const {
    if (const auto* value = Find(key)) *out = ToNumber(key, *value);
  }
  void Time(const std::string& key, TimeUs* out) const {
    const auto* value = Find(key);
    if (value == nullptr) return;
    const double number = ToNumber(key, *value);
    if (number < 0.0 || number > 1e15) ThrowBadSetting(key, *value);
    *out = static_cast<TimeUs>(number);
  }
  void Int(const std::string& key, int* out) const {
    const auto* value = Find(key);
    if (value == nullptr) return;
    const double number = ToNumber(key, *value);
    if (std::fabs(number) > std::numeric_limits<int>::max()) ThrowBadSetting(key, *value);
    *out = static_cast<int>(number);
  }
  void Bool(const std::string& key, bool* out) const {
    const auto* value = Find(key);
    if (value == nullptr) return;
    if (*value != "true" && *value != "false") ThrowBadSetting(key, *value);
    *out = *value == "true";
  }
  // Reads the length of a list of objects, which must not exceed the number of key-value pairs.
  int Count(const std::string& key) const {
    int count = 0;
    Int(key + ".count", &count);
    if (count < 0 || static_cast<std::size_t>(count) > pairs_.size())
      ThrowBadSetting(key + ".count", std::to_string(count));
    return count;
  }
  template <typename T>
  void Choice(const std::string& key, const std::map<std::string_view, T>& choices, T* out) const {
    const auto* value = Find(key);
    if (value == nullptr) return;
    const auto found = choices.find(*value);
    if (found == choices.end()) ThrowBadSetting(key, *value);
    *out = found->second;
  }

 private:
  Pairs pairs_;
};

// Reads the pools of a class. They are given either by one key per class or by one comma-separated list for all
// classes.
void ReadPools(const Reader& reader, std::size_t index, CallClass* call_class) {
  const std::string key = "family_info.class_cells";
  const std::string class_key = key + "." + std::to_string(index);
  std::string_view list;
  if (const auto* class_value = reader.Find(class_key)) {
    list = *class_value;
  } else if (const auto* all_classes = reader.Find(key)) {
    const auto lists = SplitOn(*all_classes, ',');
    if (index < lists.size()) list = lists[index];
  }
  std::string text(list);
  for (char& c : text) {
    if (std::string_view("0123456789").find(c) == std::string_view::npos) c = ' ';
  }
  for (const auto item : SplitOn(text, ' ')) {
    if (item.empty()) continue;
    if (item.size() > 6) ThrowBadSetting(class_key, item);
    call_class->pools.push_back(static_cast<int>(ToNumber(class_key, item)));
  }
}

}  // namespace

Settings ParseSettings(std::string_view text) {
  const Reader reader(text);
  Settings s;
  reader.Choice<Topology>("family_info.shape", {{"meshed", Topology::kMeshed}, {"groups", Topology::kPools}},
                          &s.topology);
  reader.Choice<DiscoveryMode>("discovery",
                               {{"automatic", DiscoveryMode::kAutomatic}, {"subscribe", DiscoveryMode::kSubscribe}},
                               &s.discovery_mode);
  reader.Int("family_info.home_no", &s.own_number);
  reader.Int("my_zone", &s.own_zone);
  reader.Int("balancers", &s.softswitch_count);
  reader.Number("over_share_worth", &s.over_quota_worth);
  reader.Time("family_info.release_us", &s.resend_guard_us);
  reader.Time("family_info.repeat_us", &s.retransmit_interval_us);
  reader.Bool("family_info.route_advice", &s.provides_route_advice);
  reader.Bool("family_info.tells_wait", &s.reports_wait_time);
  reader.Time("contract.drain_grace_us", &s.drain_grace_us);
  reader.Number("contract.cold_from", &s.warm_up_start_share);
  reader.Time("contract.warm_up_us", &s.warm_up_us);
  reader.Number("contract.fall_multiple", &s.collapse_multiple);
  reader.Time("contract.fall_us", &s.collapse_time_us);
  reader.Time("contract.ask_within_us", &s.keep_alive_us);
  reader.Int("allowed.most_tries", &s.max_attempts);
  int max_calls = static_cast<int>(s.max_calls);
  reader.Int("allowed.most_held", &max_calls);
  s.max_calls = static_cast<std::uint32_t>(max_calls > 0 ? max_calls : 0);
  reader.Bool("allowed.may_cancel", &s.may_cancel);
  reader.Bool("allowed.probes", &s.may_probe);
  reader.Bool("allowed.peers", &s.may_notify_peers);
  reader.Bool("allowed.may_duplicate", &s.may_duplicate);
  reader.Bool("allowed.retry_after", &s.honours_retry_after);
  reader.Time("allowed.max_retry_after_us", &s.max_retry_after_us);
  reader.Bool("clients.marks_retry", &s.marks_redials);

  if (const auto* fields = reader.Find("report.fields")) {
    static const std::map<std::string_view, ReportField> kFields = {
        {"spare", ReportField::kFreeCircuits},    {"total", ReportField::kTotalCircuits},
        {"busy_reqs", ReportField::kBusyWorkers}, {"pending", ReportField::kPendingSetUps},
        {"cpu_share", ReportField::kCpuShare},    {"svc_ms", ReportField::kWaitMs},
        {"allowed", ReportField::kAllowedRate},   {"cut_by", ReportField::kLoadReduction}};
    for (const auto name : SplitOn(*fields, ',')) {
      const auto found = kFields.find(name);
      s.report_fields.push_back(found == kFields.end() ? ReportField::kUnknown : found->second);
    }
  }

  std::vector<std::string_view> widths;
  std::vector<std::string_view> holdings;
  if (const auto* list = reader.Find("family_info.widths")) widths = SplitOn(*list, ',');
  if (const auto* list = reader.Find("family_info.holding_us")) holdings = SplitOn(*list, ',');
  const int classes = reader.Count("grades");
  for (int i = 0; i < classes; ++i) {
    const std::string key = "grades." + std::to_string(i) + ".";
    const auto index = static_cast<std::size_t>(i);
    CallClass c;
    if (const auto* name = reader.Find(key + "name")) c.name = *name;
    reader.Choice<RetrySemantics>(key + "repeat",
                                  {{"idempotent", RetrySemantics::kIdempotent},
                                   {"deduplicated", RetrySemantics::kDeduplicated},
                                   {"at_most_once", RetrySemantics::kAtMostOnce}},
                                  &c.retry_semantics);
    reader.Choice<DeduplicationScope>(
        key + "group",
        {{"all", DeduplicationScope::kAll}, {"zone", DeduplicationScope::kZone}, {"cell", DeduplicationScope::kNumber}},
        &c.deduplication_scope);
    reader.Time(key + "window_us", &c.deduplication_window_us);
    reader.Time(key + "slo_us", &c.target_delay_us);
    reader.Time(key + "hard_limit_us", &c.deadline_us);
    reader.Number(key + "worth", &c.worth);
    reader.Number(key + "late_worth", &c.late_worth);
    if (index < widths.size()) c.width = ToNumber("family_info.widths", widths[index]);
    if (index < holdings.size()) {
      const double holding = ToNumber("family_info.holding_us", holdings[index]);
      if (holding < 0.0 || holding > 1e15) ThrowBadSetting("family_info.holding_us", holdings[index]);
      c.holding_us = static_cast<TimeUs>(holding);
    }
    ReadPools(reader, index, &c);
    s.classes.push_back(c);
  }

  const int customers = reader.Count("tenants");
  for (int i = 0; i < customers; ++i) {
    const std::string key = "tenants." + std::to_string(i) + ".";
    Customer customer;
    if (const auto* name = reader.Find(key + "name")) customer.name = *name;
    reader.Number(key + "quota_per_s", &customer.quota_per_s);
    s.customers.push_back(customer);
  }
  return s;
}

}  // namespace croftrun::wire
