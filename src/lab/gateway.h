// The stand-in gateway of one exchange: lines with telephones, and the exchange's ends of its trunk circuits, spoken
// for in MGCP to the call agent (a real edge). It does what RFC 3435 asks of a gateway for the packages used, and
// misbehaves on demand.
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

// What a person at a line hears.
enum class Heard { kAnswered, kRefused, kFailed, kBusy, kEnded };

struct GatewaySettings {
  int number = 0;
  core::Address address, agent;
  std::string domain;
  int lines = 0;
  TimeUs ring_us = 50'000;  // a rung line answers after this
  mgcp::TransactionSettings transactions;
};

// Ways to misbehave, each for as long as it is set.
struct GatewayFaults {
  bool silent_after_ack = false;  // seizures are acknowledged and go nowhere
  int error_code = 0;             // every command is answered with this
  TimeUs notify_late_us = 0;      // answers and releases are notified this much later
  bool deaf = false;              // nothing is heard or said
};

class Gateway final : public CircuitUser {
 public:
  using OnHeard = std::function<void(int line, Heard heard, TimeUs pause_us)>;

  Gateway(const GatewaySettings& settings, core::Runtime* runtime, Network* network, OnHeard on_heard);

  // The person at `line` goes off hook, dials, and waits for `patience_us` at most. False if the line is in use.
  bool Dial(int line, const std::string& digits, TimeUs patience_us);
  void HangUp(int line);
  bool LineIdle(int line) const;
  // Endpoints are initialised: all calls on them are gone. `method`: restart, forced, graceful, disconnected.
  void Restart(std::string_view method, std::string_view endpoints);
  GatewayFaults& faults() { return faults_; }
  const mgcp::Transactions& transactions() const { return transactions_; }

  void OnSeizure(const CircuitId& circuit, const SetUpInfo& info) override;
  void OnAnswer(const CircuitId& circuit) override;
  void OnRelease(const CircuitId& circuit, const ReleaseNews& news) override;
  void OnReleaseComplete(const CircuitId& circuit) override;
  void OnBlocked(const CircuitId& circuit, bool blocked) override;

 private:
  struct Line {
    bool off_hook = false;
    bool in_use = false;  // by a caller of the laboratory, from dialling to on hook
    std::string request;  // X: in force
    bool wants_off_hook = false;
    std::optional<mgcp::DigitMap> digit_map;
    std::string connection;
    std::string to_dial;  // waits to be armed
    TimeUs patience_us = 0;
    bool ringing = false;
    std::uint64_t use = 0;  // tells one use of the line from the next
  };
  struct Trunk {
    std::string request, connection;
    std::string armed;  // the request under which a seizure is told
  };

  void OnCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message);
  void OnLineCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message, int number);
  void OnCircuitCommand(mgcp::Transactions::CommandId id, const mgcp::Message& message, const CircuitId& circuit);
  void SeizeFor(mgcp::Transactions::CommandId id, const mgcp::Message& message, const CircuitId& circuit,
                std::string_view sup);
  void ApplyRequest(const mgcp::Message& message, Line& line);
  void ApplySignals(const mgcp::Message& message, int number, Line& line);
  void TryDial(int number, Line& line);
  // One notification of an endpoint is out at a time (RFC 3435 4.4.1): they arrive in the order of the events.
  void Notify(std::string endpoint, std::string body);
  void SendFirst(const std::string& endpoint);
  void OnRejected(const std::string& endpoint, const mgcp::Message* answer);
  void NotifyLine(int number, const Line& line, std::string_view events, std::string_view more = {});
  void NotifyCircuit(const CircuitId& circuit, std::string_view event, std::string more = {});
  std::string CircuitState(const CircuitId& circuit) const;
  std::string NewConnection();

  GatewaySettings settings_;
  core::Runtime* runtime_;
  Network* network_;
  OnHeard on_heard_;
  std::vector<Line> lines_;
  std::map<CircuitId, Trunk> trunks_;
  std::map<std::string, std::deque<std::string>> notifications_;  // by endpoint; the first is out
  GatewayFaults faults_;
  std::uint32_t next_connection_ = 1;
  std::uint64_t next_use_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  mgcp::Transactions transactions_;

 public:
  ~Gateway() override { *alive_ = false; }
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_GATEWAY_H_
