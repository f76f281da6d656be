#include "edge/edge_settings.h"

#include <map>
#include <sstream>

#include "edge/edge_schema.inc"

namespace croftrun::edge {
namespace {

using config::Time;
using config::Value;
using nlohmann::json;

constexpr TimeUs kUsPerMs = 1000;

const std::map<std::string, ReportField>& ReportFields() {
  static const std::map<std::string, ReportField> kFields = {
      {"busy", ReportField::kBusyWorkers},    {"pending", ReportField::kPendingSetUps},
      {"cpu_share", ReportField::kCpuShare},  {"wait_ms", ReportField::kWaitMs},
      {"allowed", ReportField::kAllowedRate}, {"cut_by", ReportField::kLoadReduction}};
  return kFields;
}

// Converts settings that conform to the schema, and checks what a schema cannot express.
class SettingsReader {
 public:
  explicit SettingsReader(std::vector<config::SettingsError>* mistakes) : mistakes_(mistakes) {}

  EdgeSettings Read(const json& file) {
    EdgeSettings s;
    ReadAgent(file, &s);
    ReadClasses(file, &s);
    ReadCustomers(file, &s);
    ReadGroups(file, &s);
    ReadPlan(file, &s);
    ReadRules(file, &s);
    ReadFlow(file, &s);
    ReadNetwork(file.at("network"), &s.core.module);
    ReadAdmission(file, &s);
    if (file.contains("api")) ReadApi(file.at("api"), &s);
    if (file.contains("transactions")) ReadTransactions(file.at("transactions"), &s.transactions);
    if (file.contains("log")) {
      s.log_level = file.at("log").value("level", s.log_level);
      s.log_file = file.at("log").value("file", s.log_file);
    }
    return s;
  }

 private:
  void AddMistake(std::string path, std::string text) { mistakes_->push_back({std::move(path), std::move(text)}); }

  void Address(const json& object, const std::string& path, const char* key, core::Address* out) {
    const auto text = object.at(key).get<std::string>();
    if (!core::ParseAddress(text, out))
      AddMistake(path + "/" + key, "expected an IPv4 address and port such as 127.0.0.1:2727, found \"" + text + "\"");
  }

  void ReadAgent(const json& file, EdgeSettings* s) {
    s->core.module.own_number = file.at("exchange").at("number").get<int>();
    Value(file.at("exchange"), "zone", &s->core.module.own_zone);
    const json& agent = file.at("agent");
    Address(agent, "/agent", "listen", &s->listen);
    Value(agent, "most_calls", &s->core.max_calls);
    Time(agent, "answer_margin_ms", &s->core.answer_margin_us);
    Time(agent, "shutdown_limit_ms", &s->shutdown_timeout_us);
    Time(agent, "audit_ms", &s->audit_interval_us);
    if (agent.contains("seed")) s->seed = agent.at("seed").get<std::uint64_t>();
    Address(file.at("gateway"), "/gateway", "address", &s->gateway);
    s->domain = file.at("gateway").at("domain").get<std::string>();
    if (s->domain.find_first_of("@/ \t") != std::string::npos)
      AddMistake("/gateway/domain", "expected a domain name, found \"" + s->domain + "\"");
    if (file.contains("lines")) {
      const json& lines = file.at("lines");
      Value(lines, "count", &s->lines.count);
      Value(lines, "number_prefix", &s->lines.number_prefix);
      Value(lines, "number_digits", &s->lines.number_digits);
      Value(lines, "digit_map", &s->lines.digit_map);
      if (!mgcp::DigitMap::Parse(s->lines.digit_map))
        AddMistake("/lines/digit_map",
                   "expected a digit map as in RFC 3435 2.1.5, found \"" + s->lines.digit_map + "\"");
    }
    if (file.contains("roster")) {
      RosterSettings roster;
      Address(file.at("roster"), "/roster", "server", &roster.server);
      Address(file.at("roster"), "/roster", "listen", &roster.listen);
      Time(file.at("roster"), "ask_ms", &roster.renewal_interval_us);
      s->roster = roster;
    }
  }

  void ReadClasses(const json& file, EdgeSettings* s) {
    std::size_t index = 0;
    for (const json& entry : file.at("classes")) {
      const std::string path = "/classes/" + std::to_string(index);
      CallClass c;
      c.name = entry.at("name").get<std::string>();
      if (!classes_.emplace(c.name, static_cast<int>(index)).second)
        AddMistake(path + "/name", "expected each class name once, found \"" + c.name + "\" again");
      Time(entry, "aim_ms", &c.target_delay_us);
      Time(entry, "give_up_ms", &c.deadline_us);
      Value(entry, "worth", &c.worth);
      Value(entry, "late_worth", &c.late_worth);
      Value(entry, "width", &c.width);
      Time(entry, "holding_ms", &c.holding_us);
      const std::string repeat = entry.value("repeat", "idempotent");
      c.retry_semantics = repeat == "deduplicated"   ? RetrySemantics::kDeduplicated
                          : repeat == "at-most-once" ? RetrySemantics::kAtMostOnce
                                                     : RetrySemantics::kIdempotent;
      if (c.target_delay_us > c.deadline_us) AddMistake(path + "/aim_ms", "expected at most give_up_ms, found more");
      s->class_names.push_back(c.name);
      s->core.module.classes.push_back(c);
      ++index;
    }
  }

  void ReadCustomers(const json& file, EdgeSettings* s) {
    Value(file, "over_quota_worth", &s->core.module.over_quota_worth);
    if (!file.contains("customers")) return;
    std::size_t index = 0;
    for (const json& entry : file.at("customers")) {
      Customer customer;
      customer.name = entry.at("name").get<std::string>();
      Value(entry, "quota_per_s", &customer.quota_per_s);
      if (!customers_.emplace(customer.name, static_cast<int>(index)).second)
        AddMistake("/customers/" + std::to_string(index) + "/name",
                   "expected each customer name once, found \"" + customer.name + "\" again");
      s->core.module.customers.push_back(customer);
      ++index;
    }
  }

  void ReadGroups(const json& file, EdgeSettings* s) {
    std::map<int, std::size_t> group_indexes;
    std::size_t index = 0;
    for (const json& entry : file.at("groups")) {
      const std::string path = "/groups/" + std::to_string(index);
      core::GroupSettings group;
      group.number = entry.at("exchange").get<int>();
      group.circuits = entry.at("circuits").get<std::size_t>();
      if (group.number == s->core.module.own_number)
        AddMistake(path + "/exchange", "expected another exchange, found this one");
      if (!group_indexes.emplace(group.number, index).second)
        AddMistake(path + "/exchange",
                   "expected one group for exchange " + std::to_string(group.number) + ", found another");
      s->core.groups.push_back(group);
      ++index;
    }
  }

  void ReadPlan(const json& file, EdgeSettings* s) {
    std::size_t index = 0;
    for (const json& entry : file.at("plan")) {
      const std::string path = "/plan/" + std::to_string(index++);
      core::NumberMeaning meaning;
      meaning.destination = entry.at("exchange").get<int>();
      meaning.call_class = FindByName(classes_, entry, "class", path);
      if (entry.contains("customer")) meaning.customer = FindByName(customers_, entry, "customer", path);
      const auto prefix = entry.at("prefix").get<std::string>();
      if (!s->plan.Add(prefix, meaning))
        AddMistake(path + "/prefix", "expected each prefix once, found " + prefix + " again");
    }
  }

  void ReadRules(const json& file, EdgeSettings* s) {
    std::size_t place_index = 0;
    for (const json& entry : file.value("places", json::array())) {
      const std::string path = "/places/" + std::to_string(place_index++);
      NamedExchange named{entry.at("exchange").get<int>(), entry.at("name").get<std::string>(),
                          entry.at("zone").get<std::string>()};
      for (const NamedExchange& known : s->named_exchanges) {
        if (known.exchange == named.exchange || known.name == named.name)
          AddMistake(path, "expected each exchange and each name once, found " + named.name + " for exchange " +
                               std::to_string(named.exchange));
      }
      s->named_exchanges.push_back(std::move(named));
    }
    std::string text, path = "/rules/";
    if (file.contains("rules") && file.contains("rules_file"))
      return AddMistake("/rules_file", "expected either rules or rules_file, found both");
    if (file.contains("rules_file")) {
      const auto name = file.at("rules_file").get<std::string>();
      std::vector<config::SettingsError> read_errors;
      text = config::ReadFile(name, expr::Limits().max_octets, &read_errors);
      for (const config::SettingsError& mistake : read_errors) AddMistake("/rules_file", name + ": " + mistake.text);
      if (!read_errors.empty()) return;
      path = "/rules_file " + name + ":";
    } else if (!file.contains("rules")) {
      return;
    } else {
      for (const json& line : file.at("rules")) text += line.get<std::string>() + "\n";
    }
    const bool rules_are_inline = path == "/rules/";  // lines of the list are counted from 0, as in other paths
    std::vector<expr::Diagnostic> rule_errors;
    s->classifier = Classifier::Compile(text, s->class_names, CustomerNames(*s), &rule_errors, s->named_exchanges);
    for (const expr::Diagnostic& error : rule_errors)
      AddMistake(path + std::to_string(error.line - (rules_are_inline ? 1 : 0)),
                 "column " + std::to_string(error.column) + ": " + error.text + "\n" + error.excerpt);
  }

  void ReadApi(const json& a, EdgeSettings* s) {
    ApiSettings api;
    Address(a, "/api", "listen", &api.listen);
    Value(a, "token_keys_file", &api.token_keys_file);
    Value(a, "most_connections", &api.max_connections);
    Value(a, "accepts_per_s", &api.accepts_per_s);
    Time(a, "idle_ms", &api.idle_timeout_us);
    Value(a, "most_sessions", &api.session_manager.max_sessions);
    Value(a, "most_queued", &api.session_manager.max_queued_octets);
    Time(a, "resume_ms", &api.session_manager.resume_timeout_us);
    Time(a, "hello_ms", &api.session_manager.hello_timeout_us);
    Value(a, "calls", &api.session_manager.session.max_calls);
    Value(a, "commands_per_s", &api.session_manager.session.command_limit.per_s);
    Value(a, "burst", &api.session_manager.session.command_limit.burst);
    if (!api.token_keys_file.empty()) {
      std::vector<config::SettingsError> mistakes;
      api.session_manager.token_keys = ReadTokenKeys(api.token_keys_file, &mistakes);
      for (const config::SettingsError& mistake : mistakes)
        AddMistake("/api/token_keys_file", mistake.path + ": " + mistake.text);
    }
    s->api = std::move(api);
  }

  void ReadAdmission(const json& file, EdgeSettings* s) {
    if (!file.contains("door")) return;
    const json& d = file.at("door");
    admission::AdmissionSettings admission;
    Value(d, "most_waiting", &admission.max_queued);
    Value(d, "clients", &admission.clients.max_clients);
    Value(d, "promises", &admission.reservations.max_reservations);
    Value(d, "first_limit", &admission.limiter.initial_limit);
    Value(d, "least_limit", &admission.limiter.min_limit);
    Value(d, "most_limit", &admission.limiter.max_limit);
    Value(d, "calls_per_s", &admission.total_limit.per_s);
    Value(d, "burst", &admission.total_limit.burst);
    Value(d, "client_calls_per_s", &admission.clients.limit.per_s);
    Value(d, "client_burst", &admission.clients.limit.burst);
    Time(d, "prove_ms", &admission.clients.verify_us);
    Time(d, "least_pause_ms", &admission.min_retry_after_us);
    if (admission.limiter.min_limit > admission.limiter.max_limit)
      AddMistake("/door/least_limit", "expected no more than most_limit, found more");
    // A retry-after is stated up to the limit of the network settings, or not at all if
    // retry-after is not honoured.
    const Settings& m = s->core.module;
    admission.max_retry_after_us = m.honours_retry_after ? m.max_retry_after_us : 0;
    if (file.contains("customers")) {
      for (const json& entry : file.at("customers")) {
        admission::CustomerSettings customer;
        Value(entry, "weight", &customer.weight);
        Value(entry, "door_calls_per_s", &customer.limit.per_s);
        Value(entry, "door_burst", &customer.limit.burst);
        admission.customers.push_back(customer);
      }
    }
    s->admission = std::move(admission);
  }

  void ReadTls(const json& entry, const std::string& path, const std::string& transport, flow::TlsFiles* tls) {
    if (entry.contains("tls") != (transport == "tls")) {
      AddMistake(path + "/tls", transport == "tls" ? "expected authorities at least, found nothing"
                                                   : "expected transport tls beside it, found " + transport);
      return;
    }
    if (!entry.contains("tls")) return;
    const json& t = entry.at("tls");
    Value(t, "authorities", &tls->authorities);
    Value(t, "certificate", &tls->certificate);
    Value(t, "key", &tls->key);
    Value(t, "name", &tls->name);
    if (tls->certificate.empty() != tls->key.empty())
      AddMistake(path + "/tls", "expected certificate and key together, found one of them");
  }

  void ReadSpool(const json& entry, flow::CollectorSettings* c) {
    if (!entry.contains("spool")) return;
    const json& s = entry.at("spool");
    flow::SpoolSettings spool;
    Value(s, "folder", &spool.folder);
    Value(s, "most_octets", &spool.max_octets);
    Value(s, "segment_octets", &spool.max_segment_octets);
    Time(s, "sync_ms", &spool.sync_interval_us);
    Time(s, "retry_ms", &spool.retry_delay_us);
    Time(s, "away_ms", &c->catch_up.away_timeout_us);
    Value(s, "records_per_s", &c->catch_up.records_per_s);
    c->spool = spool;
  }

  void ReadFlow(const json& file, EdgeSettings* s) {
    if (!file.contains("flow")) return;
    const json& f = file.at("flow");
    FlowSettings flow;
    const auto exchange = static_cast<std::uint32_t>(s->core.module.own_number);
    Value(f, "ring", &flow.ring_capacity);
    flow.recorder.exchange = flow.exporter.exchange = exchange;
    flow.recorder.max_tracked_calls = s->core.max_calls;
    Time(f, "interval_ms", &flow.recorder.interval_us);
    Time(f, "group_interval_ms", &flow.exporter.group_interval_us);
    Time(f, "counts_interval_ms", &flow.exporter.counts_interval_us);
    Value(f, "enterprise", &flow.exporter.enterprise);
    Value(f, "sample_one_in", &flow.exporter.sample_one_in);
    flow.exporter.classes = s->class_names;
    flow.exporter.seed = exchange + 1;
    std::size_t index = 0;
    for (const json& entry : f.at("collectors")) {
      const std::string path = "/flow/collectors/" + std::to_string(index++);
      flow::CollectorSettings c;
      if (!core::ParseAddress(entry.at("address").get<std::string>(), &c.address))
        AddMistake(path + "/address",
                   "expected an address as 127.0.0.1:4739, found \"" + entry.at("address").get<std::string>() + "\"");
      const std::string transport = entry.value("transport", "udp");
      c.transport = transport == "tcp"   ? flow::Transport::kTcp
                    : transport == "tls" ? flow::Transport::kTls
                                         : flow::Transport::kUdp;
      c.protocol = entry.value("protocol", "ipfix") == "netflow9" ? flow::Protocol::kNetflow9 : flow::Protocol::kIpfix;
      if (c.transport != flow::Transport::kUdp && c.protocol == flow::Protocol::kNetflow9)
        AddMistake(path + "/protocol",
                   "expected ipfix over " + transport + ", found netflow9, which goes over udp only");
      Value(entry, "queue", &c.max_queued_records);
      Value(entry, "message_octets", &c.max_message_octets);
      Time(entry, "template_refresh_ms", &c.template_refresh_interval_us);
      Time(entry, "least_wait_ms", &c.connection.min_backoff_us);
      Time(entry, "longest_wait_ms", &c.connection.max_backoff_us);
      Time(entry, "stall_ms", &c.connection.stall_timeout_us);
      ReadTls(entry, path, transport, &c.tls);
      ReadSpool(entry, &c);
      for (const flow::CollectorSettings& other : flow.exporter.collectors) {
        if (c.spool && other.spool && c.spool->folder == other.spool->folder)
          AddMistake(path + "/spool/folder",
                     "expected a folder of its own, found \"" + c.spool->folder + "\", which another collector has");
      }
      flow.exporter.collectors.push_back(c);
    }
    s->flow = std::move(flow);
  }

  int FindByName(const std::map<std::string, int>& names, const json& entry, const char* key, const std::string& path) {
    const auto name = entry.at(key).get<std::string>();
    const auto found = names.find(name);
    if (found != names.end()) return found->second;
    std::string known;
    for (const auto& [other, number] : names) known += (known.empty() ? "" : ", ") + other;
    AddMistake(path + "/" + key, "expected one of " + known + ", found \"" + name + "\"");
    return 0;
  }

  static void ReadNetwork(const json& network, Settings* m) {
    Value(network, "senders", &m->softswitch_count);
    Time(network, "release_ms", &m->resend_guard_us);
    Time(network, "repeat_ms", &m->retransmit_interval_us);
    Time(network, "drain_grace_ms", &m->drain_grace_us);
    Value(network, "cold_from", &m->warm_up_start_share);
    Time(network, "warm_up_ms", &m->warm_up_us);
    Value(network, "fall_multiple", &m->collapse_multiple);
    Time(network, "fall_ms", &m->collapse_time_us);
    Value(network, "most_attempts", &m->max_attempts);
    Value(network, "may_cancel", &m->may_cancel);
    Value(network, "may_probe", &m->may_probe);
    Value(network, "honours_pause", &m->honours_retry_after);
    Time(network, "longest_pause_ms", &m->max_retry_after_us);
    Value(network, "marks_redials", &m->marks_redials);
    Value(network, "tells_wait", &m->reports_wait_time);
    m->report_fields = {ReportField::kFreeCircuits, ReportField::kTotalCircuits};
    if (network.contains("reports")) {
      for (const json& name : network.at("reports"))
        m->report_fields.push_back(ReportFields().at(name.get<std::string>()));
    }
  }

  static void ReadTransactions(const json& entry, mgcp::TransactionSettings* t) {
    Time(entry, "first_timeout_ms", &t->initial_timeout_us);
    Time(entry, "longest_timeout_ms", &t->max_timeout_us);
    Time(entry, "give_up_ms", &t->give_up_us);
    Time(entry, "history_ms", &t->history_us);
    Value(entry, "most_pending", &t->max_pending);
    Value(entry, "most_history", &t->max_history);
  }

  std::vector<config::SettingsError>* mistakes_;
  std::map<std::string, int> classes_, customers_;
};

}  // namespace

std::vector<std::string> CustomerNames(const EdgeSettings& settings) {
  std::vector<std::string> names;
  for (const Customer& customer : settings.core.module.customers) names.push_back(customer.name);
  return names;
}

std::vector<std::string> ReadTokenKeys(const std::string& file, std::vector<config::SettingsError>* mistakes) {
  constexpr std::size_t kMaxKeyFileOctets = 64U << 10U, kMinKeyOctets = 16, kMaxKeys = 16;
  std::vector<std::string> keys;
  std::istringstream text(config::ReadFile(file, kMaxKeyFileOctets, mistakes));
  std::string line;
  for (std::size_t number = 1; std::getline(text, line); ++number) {
    if (line.empty() || line[0] == '#') continue;
    if (line.size() < kMinKeyOctets)
      mistakes->push_back({file + ":" + std::to_string(number), "expected a key of at least " +
                                                                    std::to_string(kMinKeyOctets) + " octets, found " +
                                                                    std::to_string(line.size())});
    keys.push_back(line);
  }
  if (mistakes->empty() && (keys.empty() || keys.size() > kMaxKeys))
    mistakes->push_back(
        {file, "expected 1 to " + std::to_string(kMaxKeys) + " keys, found " + std::to_string(keys.size())});
  return keys;
}

std::string_view EdgeSchema() { return kEdgeSchema; }

EdgeSettings ParseEdgeSettings(std::string_view text, std::vector<config::SettingsError>* mistakes) {
  const json file = config::ParseWithSchema(text, EdgeSchema(), mistakes);
  if (!mistakes->empty()) return {};
  return SettingsReader(mistakes).Read(file);
}

json ShowEdgeSettings(const EdgeSettings& s) {
  const Settings& m = s.core.module;
  json result;
  result["exchange"] = {{"number", m.own_number}, {"zone", m.own_zone}};
  result["agent"] = {{"listen", core::ToString(s.listen)},
                     {"most_calls", s.core.max_calls},
                     {"answer_margin_ms", s.core.answer_margin_us / kUsPerMs},
                     {"shutdown_limit_ms", s.shutdown_timeout_us / kUsPerMs},
                     {"audit_ms", s.audit_interval_us / kUsPerMs}};
  result["gateway"] = {{"address", core::ToString(s.gateway)}, {"domain", s.domain}};
  result["lines"] = {{"count", s.lines.count},
                     {"number_prefix", s.lines.number_prefix},
                     {"number_digits", s.lines.number_digits},
                     {"digit_map", s.lines.digit_map}};
  result["groups"] = json::array();
  for (const auto& group : s.core.groups)
    result["groups"].push_back({{"exchange", group.number}, {"circuits", group.circuits}});
  for (const CallClass& c : m.classes) {
    result["classes"].push_back({{"name", c.name},
                                 {"aim_ms", c.target_delay_us / kUsPerMs},
                                 {"give_up_ms", c.deadline_us / kUsPerMs},
                                 {"worth", c.worth},
                                 {"late_worth", c.late_worth},
                                 {"width", c.width},
                                 {"holding_ms", c.holding_us / kUsPerMs}});
  }
  result["customers"] = json::array();
  for (const Customer& c : m.customers)
    result["customers"].push_back({{"name", c.name}, {"quota_per_s", c.quota_per_s}});
  result["over_quota_worth"] = m.over_quota_worth;
  result["plan_prefixes"] = s.plan.size();
  result["network"] = {{"senders", m.softswitch_count},
                       {"release_ms", m.resend_guard_us / kUsPerMs},
                       {"repeat_ms", m.retransmit_interval_us / kUsPerMs},
                       {"drain_grace_ms", m.drain_grace_us / kUsPerMs},
                       {"cold_from", m.warm_up_start_share},
                       {"warm_up_ms", m.warm_up_us / kUsPerMs},
                       {"fall_multiple", m.collapse_multiple},
                       {"fall_ms", m.collapse_time_us / kUsPerMs},
                       {"most_attempts", m.max_attempts},
                       {"may_cancel", m.may_cancel},
                       {"may_probe", m.may_probe},
                       {"honours_pause", m.honours_retry_after},
                       {"longest_pause_ms", m.max_retry_after_us / kUsPerMs},
                       {"marks_redials", m.marks_redials},
                       {"tells_wait", m.reports_wait_time}};
  result["transactions"] = {{"first_timeout_ms", s.transactions.initial_timeout_us / kUsPerMs},
                            {"longest_timeout_ms", s.transactions.max_timeout_us / kUsPerMs},
                            {"give_up_ms", s.transactions.give_up_us / kUsPerMs},
                            {"history_ms", s.transactions.history_us / kUsPerMs},
                            {"most_pending", s.transactions.max_pending},
                            {"most_history", s.transactions.max_history}};
  result["log"] = {{"level", s.log_level}, {"file", s.log_file}};
  return result;
}

}  // namespace croftrun::edge
