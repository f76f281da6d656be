// One softswitch on the platform: callers, exchanges and the notice board around the call core.
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

class Node {
 public:
  // Applies what is known and listens. An address that is still bound (by a process that is just ending) is tried again
  // for a while, from the loop; throws std::system_error where it cannot be had.
  Node(const NodeConfig& config, core::Runtime* runtime, core::Logger* log);

  // A configuration that replaces the one in force: where the board is, and what it has told meanwhile.
  void Reconfigure(const NodeConfig& config);
  // In order: what still arrives is taken and answered for a while, then refused at once; `done` is called when all is
  // answered, the callers' connections are closed and nothing more comes.
  void Stop(std::function<void()> done);

  core::CallCore& core() { return *core_; }
  CallerConnections& callers() { return *caller_connections_; }
  ExchangeConnections& exchanges() { return *exchange_connections_; }
  // All counters, as one line of JSON.
  std::string Metrics() const;

 private:
  void TellFigures();
  void Listen(int tries);
  void WaitForEnd();

  core::Runtime* runtime_;
  core::Logger* log_;
  std::unique_ptr<core::CallCore> core_;
  std::unique_ptr<ExchangeConnections> exchange_connections_;
  std::unique_ptr<CallerConnections> caller_connections_;
  std::unique_ptr<DiscoveryClient> discovery_client_;
  core::Timer figures_, end_, bind_;
  TimeUs longest_deadline_ = 0;  // of all classes
  TimeUs stopping_since_ = 0, last_open_ = 0;
  TimeUs last_moment_ = 0;  // of a stop: connections are closed though calls stand on them
  std::string settings_;    // as they were read at the start
  std::function<void()> done_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_NODE_H_
