// A softswitch on the users' platform: the call core with its connections to callers, exchanges and the discovery
// service.
#ifndef CROFTRUN_PLATFORM_NODE_H_
#define CROFTRUN_PLATFORM_NODE_H_

#include <memory>
#include <string>

#include "core/call_core.h"
#include "platform/caller_connections.h"
#include "platform/discovery_client.h"
#include "platform/exchange_connections.h"
#include "platform/node_config.h"

namespace croftrun::platform {

// Creates the parts of a softswitch and controls its start, reconfiguration and shutdown.
class Node {
 public:
  // Applies the known directory and starts to listen. If the address is still in use by a process that is shutting
  // down, binding is retried for a while in the event loop. Throws std::system_error if it fails otherwise.
  Node(const NodeConfig& config, core::Runtime* runtime, core::Logger* log);

  // Applies a new configuration: the address of the discovery service and the notifications it has sent in the
  // meantime.
  void Reconfigure(const NodeConfig& config);
  // Shuts down in an orderly way: new calls are accepted and answered for a while and then rejected. Calls `on_stopped`
  // when all calls are answered, the callers' connections are closed and no more data arrives.
  void Stop(std::function<void()> on_stopped);

  core::CallCore& core() { return *core_; }
  CallerConnections& callers() { return *caller_connections_; }
  ExchangeConnections& exchanges() { return *exchange_connections_; }
  // Returns all counters as one line of JSON.
  std::string Metrics() const;

 private:
  void StartMetricsTimer();
  void Listen(int retries_left);
  void ContinueShutdown();
  // Lets new connections be refused once the shutdown has nothing left to do, or has no more time to wait for that.
  // Returns whether they are refused. `closing` is when calls began to be rejected.
  bool StopListeningOnceQuiet(TimeUs now, TimeUs closing);
  // Returns whether all that was connected has had its answers and its end, or the kill is near.
  bool MayExit(TimeUs now) const;

  core::Runtime* runtime_;
  core::Logger* log_;
  std::unique_ptr<core::CallCore> core_;
  std::unique_ptr<ExchangeConnections> exchange_connections_;
  std::unique_ptr<CallerConnections> caller_connections_;
  std::unique_ptr<DiscoveryClient> discovery_client_;
  core::Timer metrics_timer_, shutdown_timer_, bind_timer_;
  TimeUs max_deadline_ = 0;  // longest deadline of all classes
  TimeUs stop_requested_at_ = 0, last_busy_at_ = 0;
  TimeUs force_close_at_ = 0;  // from here on, connections are closed although they have established calls
  std::string settings_text_;  // as read at the start
  std::function<void()> on_stopped_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_NODE_H_
