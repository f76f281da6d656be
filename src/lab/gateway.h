// Simulated gateway of one exchange: subscriber lines and the exchange's ends of its trunk circuits, controlled over
// MGCP by the call agent (a real edge). It implements the gateway side of RFC 3435 for the packages in use and supports
// fault injection.
#ifndef CROFTRUN_LAB_GATEWAY_H_
#define CROFTRUN_LAB_GATEWAY_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/network.h"
#include "mgcp/message.h"
#include "mgcp/transactions.h"

namespace croftrun::lab {

// What the caller at a line observes.
enum class CallerEvent { kAnswered, kRefused, kFailed, kBusy, kEnded };

struct GatewaySettings {
  int number = 0;
  core::Address address, agent;
  std::string domain;
  int lines = 0;
  TimeUs ring_us = 50'000;  // time from ringing to answer
  mgcp::TransactionSettings transactions;
};

// Injected faults, each in force as long as it is set.
struct GatewayFaults {
  bool silent_after_ack = false;      // seizures are acknowledged but not sent to the network
  int error_code = 0;                 // return code for every command; 0: none
  TimeUs answer_notify_delay_us = 0;  // delay of answer notifications
  bool unreachable = false;           // neither receives nor sends anything
};

// MGCP gateway with simulated callers and called parties.
class Gateway final : public CircuitUser {
 public:
  using CallerEventHandler = std::function<void(int line, CallerEvent event, TimeUs retry_after_us)>;

  Gateway(const GatewaySettings& settings, core::Runtime* runtime, Network* network,
          CallerEventHandler on_caller_event);

  // Takes the line off hook and dials. The caller waits for an answer for at most `caller_timeout_us`. Returns false if
  // the line is in use.
  bool Dial(int line, const std::string& digits, TimeUs caller_timeout_us);
  void HangUp(int line);
  bool IsLineIdle(int line) const;
  // Reports a restart of the endpoints (RSIP) by `method`: restart, forced, graceful or disconnected. With the first
  // two, all calls on them are lost.
  void Restart(std::string_view method, std::string_view endpoints);
  GatewayFaults& faults() { return faults_; }
  const mgcp::Transactions& transactions() const { return transactions_; }

  void OnSeizure(const CircuitId& circuit, const SetUpInfo& info) override;
  void OnAnswer(const CircuitId& circuit) override;
  void OnRelease(const CircuitId& circuit, const ReleaseDetails& details) override;
  void OnReleaseComplete(const CircuitId& circuit) override;
  void OnBlocked(const CircuitId& circuit, bool blocked) override;

 private:
  struct Line {
    bool off_hook = false;
    bool in_use = false;  // by a simulated caller, from dialling to on hook
    std::string request;  // identifier (X) of the notification request in force
    bool off_hook_requested = false;
    std::optional<mgcp::DigitMap> digit_map;
    std::string connection;
    std::string pending_digits;  // digits to be sent once a digit map is in force
    TimeUs caller_timeout_us = 0;
    bool ringing = false;
    std::uint64_t generation = 0;  // distinguishes successive uses of the line
  };
  struct Trunk {
    std::string request, connection;
    std::string seizure_request;  // identifier under which the next seizure is notified
  };

  void OnCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message);
  void OnLineCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message, int number);
  void OnCircuitCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message, const CircuitId& circuit);
  void HandleSetUpCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message, const CircuitId& circuit,
                          std::string_view sup);
  void ApplyRequest(const mgcp::Message& message, Line& line);
  void ApplySignals(const mgcp::Message& message, int number, Line& line);
  void SendDialledDigits(int number, Line& line);
  // Queues a notification. Only one per endpoint is outstanding at a time (RFC 3435 4.4.1), so that they arrive in the
  // order of the events.
  void Notify(std::string endpoint, std::string body);
  void SendNextNotification(const std::string& endpoint);
  void OnNotificationRejected(const std::string& endpoint, const mgcp::Message* answer);
  void NotifyLine(int number, const Line& line, std::string_view events, std::string_view more = {});
  void NotifyCircuit(const CircuitId& circuit, std::string_view event, std::string more = {});
  std::string CircuitState(const CircuitId& circuit) const;
  std::string NextConnectionId();

  GatewaySettings settings_;
  core::Runtime* runtime_;
  Network* network_;
  CallerEventHandler on_caller_event_;
  std::vector<Line> lines_;
  std::map<CircuitId, Trunk> trunks_;
  std::map<std::string, std::deque<std::string>> notifications_;  // by endpoint; the first one is outstanding
  GatewayFaults faults_;
  std::uint32_t next_connection_ = 1;
  std::uint64_t next_generation_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  mgcp::Transactions transactions_;

 public:
  ~Gateway() override { *alive_ = false; }
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_GATEWAY_H_
