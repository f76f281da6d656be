// Private state of ExchangeConnections: an exchange, and a connection to one. Included only by its implementation
// files.
#ifndef CROFTRUN_PLATFORM_EXCHANGE_CONNECTIONS_STATE_H_
#define CROFTRUN_PLATFORM_EXCHANGE_CONNECTIONS_STATE_H_

#include <algorithm>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "platform/exchange_connections.h"
#include "platform/lost_releases.h"

namespace croftrun::platform {

// The release of a call that waits for a connection to the exchange.
struct QueuedRelease {
  std::string id;
  policy::ConnectionSpan carrier;
};

// A set-up that waits until its connection is open.
struct UnsentSetUp {
  Message message;  // without the time that is left
  TimeUs answer_due = 0;
};

struct ExchangeConnections::Exchange {
  explicit Exchange(core::Runtime* runtime) : reconnect_timer(runtime), detector({}), announced_check_timer(runtime) {}
  bool IsSuspected() const { return detector.suspected_since() != 0; }
  ExchangeId id = 0;
  Target target;
  TimeUs started_at_us = 0;
  std::uint64_t listed_by = 0;  // number of the last notification that listed it
  TimeUs retired_at = 0;        // when `is_retired` was set
  TimeUs draining_since = 0;    // when the directory told that it drains; 0: it does not
  bool is_retired = false;      // removed from the directory, or its address was taken over
  std::list<std::unique_ptr<Connection>> connections;
  std::unordered_set<std::string> established;  // ids of the established calls
  std::string last_report;                      // text of the last report
  std::optional<std::size_t> circuits_used;     // according to the last report, if it states them
  std::vector<QueuedRelease> queued_releases;   // sent on the next connection
  core::Timer reconnect_timer;
  TimeUs reconnect_delay = 0;
  TimeUs last_sign_at = 0;           // when data last arrived or a connection was opened
  TimeUs connect_failed_at = 0;      // when a connection failed although the exchange was alive
  bool unreachable = false;          // no connection is open and the last attempt failed; logged once
  policy::FailureDetector detector;  // used while there are established calls
  std::size_t announced = 0;         // number of announced calls among the established ones
  core::Timer announced_check_timer;
  LostReleases lost_releases;
  policy::AddressHistory history;
  bool has_claims = false;  // a claim of its process on a connection or call may be unconfirmed
};

class ExchangeConnections::Connection final : public core::StreamHandler {
 public:
  Connection(ExchangeConnections* owner, Exchange* e) : exchange(e), owner_(owner) {}

  void OnOpen() override {
    is_open = true;
    opened_at = owner_->runtime_->Now();
    exchange->reconnect_delay = 0;
    exchange->last_sign_at = opened_at;
    exchange->history.OnConnectionOpened(opened_at);
    exchange->lost_releases.OnConnectionOpened(requested_at);
    const bool was_suspected = exchange->IsSuspected();
    exchange->detector.OnConnectionOpened(opened_at, exchange->established.size());
    owner_->LogSuspicionChange(*exchange, was_suspected);
    owner_->LogConnection(exchange->unreachable ? core::LogLevel::kInfo : core::LogLevel::kDebug, "exchange-connected",
                          *this, std::to_string(exchange->queued_releases.size()) + " releases queued");
    exchange->unreachable = false;
    for (const QueuedRelease& release : std::exchange(exchange->queued_releases, {}))
      owner_->SendRelease(exchange, this, release.id, {});
    owner_->SendUnsentSetUps(this);
    owner_->CloseSurplusConnection(exchange);
  }
  void OnBytes(std::string_view bytes) override {
    is_unresponsive = false;
    last_data_at = owner_->runtime_->Now();
    // The process may have ended behind this data, some time before it was read.
    if (!stream->PeerClosed()) owner_->RecordSignOfLife(this);
    owner_->EnsureConnected(exchange);
    // Handling a line may end other connections, but never this one.
    if (reader.Feed(bytes, [this](std::string_view line) { return owner_->HandleLine(this, line); })) return;
    ++owner_->counters_.spoilt;
    owner_->EndConnection(this, DisconnectReason::kMalformed);
  }
  void OnEnd(core::StreamEnd end) override {
    constexpr DisconnectReason kEnds[] = {DisconnectReason::kClosed, DisconnectReason::kReset,
                                          DisconnectReason::kRefused, DisconnectReason::kConnectTimeout};
    owner_->EndConnection(this, kEnds[static_cast<std::size_t>(end)]);
  }

  Exchange* exchange;  // changes once the directory tells that a successor has the address
  policy::ConnectionSpan span() const { return {requested_at, opened_at}; }
  std::uint64_t number = 0;  // number in the log
  std::unique_ptr<core::Stream> stream;
  std::list<std::unique_ptr<Connection>>::iterator position;
  TimeUs requested_at = 0, opened_at = 0, last_data_at = 0;
  TimeUs last_sign_at = 0;     // when data last arrived that was not followed by the end of the connection
  TimeUs probed_at = 0;        // when it was last probed for a sign of life
  policy::ProcessClaim claim;  // of the current process of the exchange on this connection
  bool is_open = false;
  bool for_liveness = false;                // opened as a sign of life; set-ups are not queued on it until it is open
  bool is_unresponsive = false;             // a set-up was given up on it and no data has arrived since
  std::unordered_set<std::string> set_ups;  // ids of set-ups without an answer
  std::vector<UnsentSetUp> unsent_set_ups;  // those among them that wait until it is open
  std::unordered_set<std::string> established;  // ids of established calls that were answered on it
  LineReader reader;

 private:
  ExchangeConnections* owner_;
};

template <typename Condition>
void ExchangeConnections::CloseConnectionsIf(Exchange* exchange, const Condition& is_unused) {
  // The core's reaction to the end of one connection may change the others.
  while (true) {
    const auto found = std::find_if(exchange->connections.begin(), exchange->connections.end(),
                                    [&is_unused](const auto& connection) { return is_unused(*connection); });
    if (found == exchange->connections.end()) return;
    EndConnection(found->get(), DisconnectReason::kClosedLocally);
  }
}

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_EXCHANGE_CONNECTIONS_STATE_H_
