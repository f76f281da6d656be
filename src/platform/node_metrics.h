// The counters of a softswitch as JSON, for the log. Their names are listed in docs/interface-names.md.
#ifndef CROFTRUN_PLATFORM_NODE_METRICS_H_
#define CROFTRUN_PLATFORM_NODE_METRICS_H_

#include <string>

#include "core/call_core.h"
#include "platform/caller_connections.h"
#include "platform/discovery_client.h"
#include "platform/exchange_connections.h"

namespace croftrun::platform {

// Returns the counters of all parts as one line of JSON, with one object for each part.
std::string WriteMetrics(const CallerConnections& callers, const ExchangeConnections& exchanges,
                         const core::CallCore& core, const DiscoveryClient& discovery_client);

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_NODE_METRICS_H_
