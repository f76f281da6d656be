// The call agent of one exchange on a Runtime: core, MGCP fronts, API front and roster client. The program adds only
// the runtime on sockets, the signal handling and the log file; tests run the same code on virtual time.
#ifndef CROFTRUN_EDGE_EDGE_NODE_H_
#define CROFTRUN_EDGE_EDGE_NODE_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "core/call_core.h"
#include "edge/api_front.h"
#include "edge/edge_settings.h"
#include "edge/line_front.h"
#include "edge/roster_client.h"
#include "edge/trunk_gateway.h"
#include "mgcp/transactions.h"

namespace croftrun::edge {

// Owns the parts of one call agent and routes the commands of its gateway to them.
class EdgeNode {
 public:
  // Binds the ports (throws std::system_error), starts the audit of all circuits, arms the lines and requests the
  // roster. `settings`, `runtime` and `log` must outlive this object.
  EdgeNode(const EdgeSettings& settings, core::Runtime* runtime, core::Logger* log);

  // Stops accepting calls. Calls `done` once no call is left; calls still open when the shutdown limit has passed are
  // released first.
  void Stop(std::function<void()> done);
  // Replaces all rules, from the next call on.
  void SetClassifier(std::shared_ptr<const Classifier> classifier) { lines_.SetClassifier(std::move(classifier)); }
  void SetCustomers(const std::vector<admission::CustomerSettings>& customers) {
    admission_front_.SetCustomers(customers);
  }
  std::uint32_t rules_version() const { return lines_.rules_version(); }
  // Returns all counters, grouped by part.
  nlohmann::json Metrics() const;

  core::CallCore& core() { return core_; }
  // Returns null if the settings have no API section.
  ws::SessionManager* session_manager() { return api_ ? &api_->session_manager() : nullptr; }
  const mgcp::Transactions& transactions() const { return transactions_; }
  const TrunkGateway& trunks() const { return trunks_; }
  const RosterClient* roster() const { return roster_.get(); }

 private:
  void HandleCommand(mgcp::Transactions::CommandId command, const core::Address& from, const mgcp::Message& message);
  // Returns true if a call is in progress at the endpoint that the command names.
  bool InUse(const mgcp::Message& message) const;
  // Logs the number of datagrams from unknown hosts, at most once per interval.
  void LogUnknownHosts();
  void WaitForCalls(TimeUs deadline, std::function<void()> done);

  const EdgeSettings& settings_;
  core::Runtime* runtime_;
  core::Logger* log_;
  mgcp::Transactions transactions_;
  core::CallCore core_;
  AdmissionFront admission_front_;
  LineFront lines_;
  TrunkGateway trunks_;
  std::unique_ptr<RosterClient> roster_;
  std::unique_ptr<ApiFront> api_;
  core::Timer shutdown_timer_, unknown_hosts_timer_;
  std::uint64_t unknown_host_datagrams_logged_ = 0;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_EDGE_NODE_H_
