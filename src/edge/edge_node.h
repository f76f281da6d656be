// One edge, whole, on a Runtime: core, MGCP fronts and roster client. The program around it only adds the sockets'
// runtime, the signals and the log file; tests run it on virtual time.
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

class EdgeNode {
 public:
  // Binds its ports (throws std::system_error) and starts: circuits are audited, lines armed, the roster asked for.
  // `settings`, `runtime` and `log` outlive it.
  EdgeNode(const EdgeSettings& settings, core::Runtime* runtime, core::Logger* log);

  // Takes no more calls; `done` comes when none is left, or when the limit has passed and what was left was ended.
  void Stop(std::function<void()> done);
  // New rules, whole, from the next call on.
  void SetClassifier(std::shared_ptr<const Classifier> classifier) { lines_.SetClassifier(std::move(classifier)); }
  void SetCustomers(const std::vector<admission::CustomerSettings>& customers) {
    admission_front_.SetCustomers(customers);
  }
  std::uint32_t rules_version() const { return lines_.rules_version(); }
  // Every counter, by part.
  nlohmann::json Metrics() const;

  core::CallCore& core() { return core_; }
  // Null where the settings have no api.
  ws::SessionManager* session_manager() { return api_ ? &api_->session_manager() : nullptr; }
  const mgcp::Transactions& transactions() const { return transactions_; }
  const TrunkGateway& trunks() const { return trunks_; }
  const RosterClient* roster() const { return roster_.get(); }

 private:
  void OnCommand(mgcp::Transactions::CommandId command, const core::Address& from, const mgcp::Message& message);
  // Whether a call is in progress at the endpoint that a command names.
  bool InUse(const mgcp::Message& message) const;
  // One line at most in each span says how many datagrams came from strangers.
  void TellOfStrangers();
  void WaitForCalls(TimeUs until, std::function<void()> done);

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
  core::Timer stopping_, strangers_;
  std::uint64_t strangers_told_ = 0;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_EDGE_NODE_H_
