// The MGCP side of trunk groups: seizures, answers, releases and audits of circuits on the trunk gateway.
//
// A circuit in use has a CallLeg here; one that is being released has a PendingRelease until both ends are known to be
// idle. A circuit is reported free only on evidence: the far end's release complete (MS/rlc), the response to our
// release after the far end released first, or an audit that finds the circuit idle.
#ifndef CROFTRUN_EDGE_TRUNK_GATEWAY_H_
#define CROFTRUN_EDGE_TRUNK_GATEWAY_H_

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/call_core.h"
#include "edge/edge_settings.h"
#include "mgcp/transactions.h"

namespace croftrun::edge {

// Drives the trunk endpoints of the gateway for the core and reports their events to it.
class TrunkGateway final : public core::TrunkDriver {
 public:
  struct Counters {
    std::uint64_t seized = 0, released = 0, incoming = 0, refused_incoming = 0, audits = 0, cleared = 0;
    std::uint64_t late_seizures = 0, stale_events = 0, restarts = 0, out_of_service = 0, unknown_events = 0,
                  signs_of_life = 0;
  };

  TrunkGateway(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core,
               mgcp::Transactions* transactions);

  // Audits every circuit: those left busy by an earlier run of this edge are cleared, the others come into service.
  void Start();
  void HandleNotify(mgcp::Transactions::CommandId command, const mgcp::Message& message);
  void HandleRestart(const mgcp::Message& message);

  void SetUp(const core::TrunkSetUp& set_up) override;
  void Answer(const core::CircuitSet& set, std::string_view session) override;
  void Connect(const core::CircuitSet& set, std::string_view session) override;
  void Release(const core::CircuitSet& set, const core::ReleaseInfo& info) override;
  void ProbeGroup(int group) override;
  void CheckCircuit(int group, core::CircuitNumber circuit) override { AuditCircuit(MakeKey(group, circuit)); }

  const Counters& counters() const { return counters_; }
  // Returns true if a call, or the release of one, is on this circuit.
  bool InUse(int group, unsigned circuit) const {
    const CircuitKey key = MakeKey(group, circuit);
    return circuit <= 0xffffU && (call_legs_.count(key) > 0 || releases_.count(key) > 0);
  }
  std::size_t legs() const { return call_legs_.size(); }
  std::size_t releasing() const { return releases_.size(); }

 private:
  // Group and circuit number packed into one number.
  using CircuitKey = std::uint32_t;
  static CircuitKey MakeKey(int group, unsigned circuit) { return static_cast<CircuitKey>(group) << 16U | circuit; }
  static int GroupOf(CircuitKey key) { return static_cast<int>(key >> 16U); }
  static core::CircuitNumber CircuitOf(CircuitKey key) { return static_cast<core::CircuitNumber>(key & 0xffffU); }

  struct CallLeg {
    CallId call = 0;
    int attempt = -1;  // -1: incoming
    bool answered = false;
    bool far_released = false;
    bool refused = false;        // the gateway did not seize the circuit for us: no connection of ours to delete
    bool reported_idle = false;  // and it reported the circuit as idle
    std::string connection;
    std::uint32_t request_id = 0;           // X: parameter under which its events are reported
    std::uint32_t seizure_transaction = 0;  // transaction of the CRCX while it has no response
    CircuitKey address_circuit = 0;         // of a set-up: the circuit that carries the address
    bool part_refused = false;              // on the address circuit: another circuit of the same call was refused
  };
  struct PendingRelease {
    TimeUs since = 0;
    std::uint32_t request_id = 0;
    bool far_released = false;
  };

  std::string EndpointName(CircuitKey key) const;
  std::uint32_t Send(CircuitKey key, mgcp::Verb verb, std::string body, mgcp::Transactions::ResultHandler on_response);
  void HandleSeizureResponse(CircuitKey key, CallId call, int attempt, const mgcp::TransactionResult& answered);
  // Returns true if a reported seizure belongs to an earlier use of the circuit or has been reported before.
  bool IsStaleSeizure(CircuitKey key, std::uint32_t request_id, const mgcp::Message& message) const;
  void HandleIncomingSeizure(CircuitKey key, const mgcp::EventRef& sup, const mgcp::Message& message);
  void HandleReleaseEvent(CircuitKey key, std::uint32_t request_id, const mgcp::EventRef& rel,
                          const mgcp::Message& message);
  // Reports to the core that the far end has released a circuit in use.
  void HandleFarEndRelease(CircuitKey key, const core::ReleaseInfo& info);
  // Deletes the connection on the circuit and waits for the circuit to be idle at both ends.
  void ClearCircuit(CircuitKey key, const std::string& connection, bool far_released, const core::ReleaseInfo& info);
  void MarkFree(CircuitKey key);
  void AuditCircuit(CircuitKey key);
  // Audits a circuit at once, not in the next audit round, because an event of it shows activity. Circuits withdrawn by
  // the gateway are left out.
  void AuditAfterActivity(CircuitKey key);
  void SendQueuedAudits();
  void HandleAuditResponse(CircuitKey key, const mgcp::TransactionResult& answered);
  void RunAuditRound();
  void TakeOutOfService(CircuitKey key);
  std::string EventRequest(std::uint32_t request_id, std::string_view events) const;

  const EdgeSettings& settings_;
  core::Runtime* runtime_;
  core::CallCore* core_;
  mgcp::Transactions* transactions_;
  std::unordered_map<CircuitKey, CallLeg> call_legs_;
  std::unordered_map<CircuitKey, PendingRelease> releases_;
  std::unordered_set<CircuitKey> out_of_service_, configured_;
  // The gateway has announced that it takes these out of service (RSIP graceful or forced). Only its own report that
  // they are back returns them to service, not an audit that finds them idle. A circuit in use stays in use until its
  // call ends.
  std::unordered_set<CircuitKey> withdrawn_;
  std::deque<CircuitKey> audit_queue_;
  std::unordered_set<CircuitKey> unaudited_in_use_;    // in use when the gateway was cut off, and not audited since
  std::unordered_set<CircuitKey> audits_in_progress_;  // queued for an audit or being audited
  std::unordered_set<CircuitKey> audit_again_;         // an event arrived during the audit; audit once more
  // Identifier of the last request for seizures that this run of the edge gave the circuit.
  std::unordered_map<CircuitKey, std::uint32_t> seizure_requests_;
  // Restarted by the gateway, and no request given since is known to have arrived.
  std::unordered_set<CircuitKey> without_request_;
  // Seized by the far end according to an audit, but not reported to us: time of the first such audit.
  std::unordered_map<CircuitKey, TimeUs> unreported_seizures_;
  std::size_t outstanding_audits_ = 0;
  std::uint32_t next_request_id_ = 1;
  std::uint32_t audit_rounds_ = 0;
  core::Timer audit_timer_;
  Counters counters_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_TRUNK_GATEWAY_H_
