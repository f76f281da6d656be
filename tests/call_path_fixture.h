// Fixture with one edge on a virtual clock and a scripted gateway whose messages a test controls octet by octet.
#ifndef CROFTRUN_TESTS_CALL_PATH_FIXTURE_H_
#define CROFTRUN_TESTS_CALL_PATH_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "day_fixture.h"

namespace croftrun {

inline constexpr TimeUs kMs = 1000;
inline const core::Address kEdge{0x7f000001, 2727}, kGateway{0x7f000002, 2427}, kRoster{0x7f000003, 4000};

// Gateway stand-in. Answers every command with success unless configured otherwise, keeps all messages received,
// and sends the messages of the test.
class ScriptedGateway final : public core::DatagramHandler {
 public:
  explicit ScriptedGateway(sim::VirtualRuntime* runtime) : port_(runtime->OpenPort(kGateway, this)) {}
  void OnDatagram(const core::Address&, std::string_view bytes) override {
    datagrams_.emplace_back(bytes);
    for (const auto& parsed : mgcp::ParseDatagram(datagrams_.back())) {
      const auto* m = std::get_if<mgcp::Message>(&parsed);
      if (m == nullptr) continue;
      if (!m->is_command) {
        responses.push_back(*m);
        continue;
      }
      commands.push_back(*m);
      if (unresponsive) continue;
      std::string body;
      int code = m->verb == mgcp::Verb::kDlcx ? 250 : 200;
      if (m->verb == mgcp::Verb::kCrcx) body = "I: " + std::to_string(++connections_) + "\r\n";
      if (m->verb == mgcp::Verb::kCrcx && refuse_crcx != 0)
        code = refuse_crcx, body = "X-State: " + refuse_state + "\r\n";
      if (m->verb == mgcp::Verb::kAuep) body = "X-State: " + audit_state + "\r\n";
      if (m->verb == mgcp::Verb::kDlcx && m->endpoint.local.substr(0, 3) == "ds/")
        body = "X-State: " + release_state + "\r\n";
      Send(std::to_string(code) + " " + std::to_string(m->transaction) + "\r\n" + body);
    }
  }
  void Send(const std::string& text) { port_->Send(kEdge, text); }
  void Notify(const std::string& endpoint, const std::string& request, const std::string& events,
              const std::string& more = "") {
    Send("NTFY " + std::to_string(++transactions_) + " " + endpoint + "@gw MGCP 1.0\r\nX: " + request +
         "\r\nO: " + events + "\r\n" + more);
  }
  // The request identifier in force on an endpoint (or on all lines).
  std::string Request(const std::string& endpoint) const {
    for (auto m = commands.rbegin(); m != commands.rend(); ++m) {
      if ((m->endpoint.local == endpoint || m->endpoint.local == "aaln/*") && m->Find("X") != nullptr)
        return std::string(m->Get("X"));
    }
    return "0";
  }
  // Matches an endpoint, or all endpoints below a prefix that ends with a slash.
  static bool MatchesEndpoint(const mgcp::Message& m, std::string_view part) {
    return part.ends_with('/') ? m.endpoint.local.starts_with(part) : m.endpoint.local == part;
  }
  std::size_t Count(mgcp::Verb verb, std::string_view endpoint_part, std::string_view line = "",
                    std::string_view value = "") const {
    return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(), [&](const mgcp::Message& m) {
      return m.verb == verb && MatchesEndpoint(m, endpoint_part) &&
             (line.empty() || (m.Find(line) != nullptr && m.Get(line).find(value) != std::string_view::npos));
    }));
  }
  const mgcp::Message* Last(mgcp::Verb verb, std::string_view endpoint_part) const {
    for (auto m = commands.rbegin(); m != commands.rend(); ++m) {
      if (m->verb == verb && MatchesEndpoint(*m, endpoint_part)) return &*m;
    }
    return nullptr;
  }

  bool unresponsive = false;
  int refuse_crcx = 0;
  std::string refuse_state = "seized-in", audit_state = "idle", release_state = "idle";
  std::vector<mgcp::Message> commands, responses;

 private:
  std::deque<std::string> datagrams_;  // the messages refer to these datagrams
  int connections_ = 0, transactions_ = 0;
  std::unique_ptr<core::DatagramPort> port_;
};

// Roster server stand-in: sends a list of three exchanges.
class RosterPort final : public core::DatagramHandler {
 public:
  explicit RosterPort(sim::VirtualRuntime* runtime) : port_(runtime->OpenPort(kRoster, this)) {}
  void OnDatagram(const core::Address& from, std::string_view ask) override {
    to_ = from;
    if (ask.find("\"have\":0") != std::string_view::npos) SendList("ready");
  }
  void SendList(const std::string& of_exchange_1) {
    port_->Send(to_, R"({"version":)" + std::to_string(++version_) +
                         R"(,"entries":[{"exchange":100,"number":0,"zone":0,"status":"ready"},)"
                         R"({"exchange":101,"number":1,"zone":0,"status":")" +
                         of_exchange_1 +
                         R"("},)"
                         R"({"exchange":102,"number":2,"zone":0,"status":"ready"}]})");
  }

 private:
  core::Address to_;
  int version_ = 0;
  std::unique_ptr<core::DatagramPort> port_;
};

// An edge for exchange 0 with lines of its own and groups to exchanges 1 and 2.
class CallPath : public testing::Test {
 protected:
  explicit CallPath(int lines = 20, int circuits = 2) {
    std::vector<config::SettingsError> mistakes;
    settings = edge::ParseEdgeSettings(R"({
      "exchange": {"number": 0}, "agent": {"listen": "127.0.0.1:2727", "answer_margin_ms": 20, "shutdown_limit_ms": 3000, "seed": 1},
      "gateway": {"address": "127.0.0.2:2427", "domain": "gw"},
      "lines": {"count": )" + std::to_string(lines) +
                                           R"(, "number_prefix": "", "digit_map": "xxxxxxxxx"},
      "groups": [{"exchange": 1, "circuits": )" +
                                           std::to_string(circuits) + R"(}, {"exchange": 2, "circuits": )" +
                                           std::to_string(circuits) + R"(}],
      "classes": [{"name": "slot-check", "aim_ms": 1500, "give_up_ms": 9000},
                  {"name": "slot-hold", "aim_ms": 1500, "give_up_ms": 9000, "worth": 2, "width": 2}],
      "plan": [{"prefix": "11001", "exchange": 1, "class": "slot-check"}, {"prefix": "21001", "exchange": 1, "class": "slot-hold"},
               {"prefix": "11000", "exchange": 0, "class": "slot-check"}, {"prefix": "11002", "exchange": 2, "class": "slot-check"}],
      "roster": {"server": "127.0.0.3:4000", "listen": "127.0.0.1:2728"},
      "network": {"senders": 2, "release_ms": 300, "drain_grace_ms": 500, "most_attempts": 4, "may_cancel": true},
      "transactions": {"give_up_ms": 8000}})",
                                       &mistakes);
    EXPECT_TRUE(mistakes.empty()) << config::ToString(mistakes);
    StartEdge();
  }
  void StartEdge() {
    node.reset();
    node = std::make_unique<edge::EdgeNode>(settings, &runtime, &log);
    runtime.RunFor(100 * kMs);
  }
  void Dial(int line, const std::string& digits = "110010007", int caller_timeout_ms = 3000) {
    const std::string endpoint = "aaln/" + std::to_string(line);
    std::string events = "L/hd";
    for (const char digit : digits) events += std::string(", D/") + digit;
    gateway.Notify(endpoint, gateway.Request(endpoint), events,
                   "X-Patience: " + std::to_string(caller_timeout_ms) + "\r\n");
    runtime.RunFor(kMs);
  }
  void HangUp(int line) {
    gateway.Notify("aaln/" + std::to_string(line), "0", "L/hu");
    runtime.RunFor(kMs);
  }
  // Endpoint of the circuit of the last set-up.
  std::string LastSeized() const { return std::string(gateway.Last(mgcp::Verb::kCrcx, "ds/")->endpoint.local); }
  void OnCircuit(const std::string& circuit, const std::string& event) {
    gateway.Notify(circuit, std::string(gateway.Last(mgcp::Verb::kCrcx, circuit)->Get("X")), event);
    runtime.RunFor(kMs);
  }
  std::size_t SetUpCount() const { return gateway.Count(mgcp::Verb::kCrcx, "ds/", "S", "MS/sup"); }
  std::size_t EstablishedCalls(int line) const {
    return gateway.Count(mgcp::Verb::kCrcx, "aaln/" + std::to_string(line));
  }
  std::size_t FinalAnswers(int line, std::string_view kind = "") const {
    return gateway.Count(mgcp::Verb::kRqnt, "aaln/" + std::to_string(line), "X-Answer", kind);
  }
  std::size_t IdleCircuits(int group) const { return node->core().Group(group)->Count(core::CircuitState::kIdle); }

  sim::VirtualRuntime runtime{11};
  ErrorLog log;
  ScriptedGateway gateway{&runtime};
  RosterPort roster{&runtime};
  edge::EdgeSettings settings;
  std::unique_ptr<edge::EdgeNode> node;
};

}  // namespace croftrun

#endif  // CROFTRUN_TESTS_CALL_PATH_FIXTURE_H_
