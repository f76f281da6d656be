// The transaction layer of MGCP (RFC 3435 3.5).
//
// Commands sent are retransmitted until a response arrives or T-MAX has passed. Commands received are executed at most
// once; a retransmission receives the same response octets again. The layer is independent of calls and routes and
// depends only on core::Runtime.
#ifndef CROFTRUN_MGCP_TRANSACTIONS_H_
#define CROFTRUN_MGCP_TRANSACTIONS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/runtime.h"
#include "mgcp/message.h"
#include "mgcp/peers.h"

namespace croftrun::mgcp {

using core::Address;

// Times in microseconds. The defaults are those of RFC 3435 3.5.1 and 3.5.3 unless noted.
struct TransactionSettings {
  TimeUs initial_timeout_us = 200'000;  // retransmission timer until a round trip to the peer has been measured
  TimeUs min_timeout_us = 20'000;       // of the adaptive timer; not from the RFC (loopback responds well within 1 ms)
  TimeUs max_timeout_us = 4'000'000;    // of the adaptive timer
  TimeUs give_up_us = 20'000'000;       // T-MAX: a command without a response fails after this time
  TimeUs history_us = 30'000'000;       // T-HIST: how long responses are kept for retransmitted commands
  std::size_t max_pending = 65'536;     // sent commands without a final response
  std::size_t max_history = 262'144;    // responses kept; beyond that, new commands are rejected with 409
  std::size_t max_peers = 4'096;        // round-trip estimates kept
};

// How the transaction of a sent command ended: with a final response, without one within T-MAX, or not sent because too
// many commands are pending.
enum class TransactionOutcome : std::uint8_t { kFinalResponse, kNoResponse, kTooManyPending };
// The result of a sent command. `message` is the final response if `outcome` is kFinalResponse, and is valid only
// during the callback.
struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kNoResponse;
  const Message* message = nullptr;
  Address peer;
  int code() const { return message == nullptr ? -1 : message->code; }
  bool ok() const { return code() >= 200 && code() < 300; }
};

// `refused_full` counts commands that were not sent or not accepted because a limit was reached.
struct TransactionCounters {
  std::uint64_t sent = 0, repeated = 0, answered = 0, given_up = 0;
  std::uint64_t received = 0, received_again = 0, malformed = 0, unknown_responses = 0, refused_full = 0;
  std::uint64_t postponed = 0;  // retransmissions postponed because the local event queue had grown
};

// Sends and receives MGCP messages on one UDP port.
class Transactions : public core::DatagramHandler {
 public:
  using ResultHandler = std::function<void(const TransactionResult&)>;
  // A command to send.
  struct OutgoingCommand {
    Verb verb = Verb::kNtfy;
    std::string endpoint;
    std::string body;  // everything after the command line
    ResultHandler on_result;
  };
  // Handle of a received command, for responding now or later. 0 means none.
  using CommandId = std::uint64_t;
  using CommandHandler = std::function<void(CommandId, const Address& from, const Message&)>;

  // Opens the port `local`; throws std::system_error on failure. Each command passed to `on_command` must be completed
  // by exactly one call of Respond or Reject.
  Transactions(core::Runtime* runtime, const Address& local, const TransactionSettings& settings,
               CommandHandler on_command);
  ~Transactions() override;

  // Sends a command and returns its transaction identifier. If too many commands are pending, calls `on_result` with
  // kTooManyPending and returns 0.
  std::uint32_t Send(const Address& to, OutgoingCommand command);
  // From now on accepts messages from these hosts only. Datagrams from other hosts are dropped when they are read from
  // the socket and leave no state; some of their commands receive error 500, at a limited rate. `in_use` returns
  // whether a call is in progress at the endpoint of a command; part of the response history is reserved for such
  // endpoints.
  void SetKnownHosts(std::vector<std::uint32_t> hosts, std::function<bool(const Message&)> in_use);
  // While a Cork exists, messages to a peer are collected and sent in order in as few datagrams as possible
  // (piggy-backing, RFC 3435 3.5.5). Each command remains a separate transaction. Corks may be nested.
  class Cork {
   public:
    explicit Cork(Transactions* transactions) : transactions_(transactions) { ++transactions_->corks_; }
    ~Cork() {
      if (--transactions_->corks_ == 0) transactions_->Flush();
    }
    Cork(const Cork&) = delete;
    Cork& operator=(const Cork&) = delete;

   private:
    Transactions* transactions_;
  };
  // Stops retransmitting a command that no longer matters but may have been executed. The callback still receives a
  // late response, or kNoResponse once T-MAX has passed.
  void StopRetransmitting(std::uint32_t transaction);

  // Sends the final response to a command; `body` as in OutgoingCommand. A second response to the same command is
  // ignored.
  void Respond(CommandId command, int code, std::string_view body = {}, std::string_view comment = {});
  // Sends an error response that is not kept in the history. Only for errors that a retransmission of the command would
  // receive again.
  void Reject(CommandId command, int code, std::string_view comment);
  // Sends provisional response 100: the final response follows later (RFC 3435 3.2.3), and the sender switches to its
  // longest retransmission timer.
  void RespondProvisionally(CommandId command);

  void OnDatagram(const Address& from, std::string_view bytes) override;
  bool ShouldReceive(const Address& from, std::string_view bytes) override;

  const TransactionCounters& counters() const { return counters_; }
  const UnknownHostCounters& unknown_hosts() const { return unknown_hosts_; }
  std::size_t pending() const { return pending_.size(); }
  std::size_t history() const { return history_.size(); }
  Address Local() const { return port_->Local(); }

 private:
  // A sent command without a final response.
  struct Pending {
    Address to;
    std::string text;
    ResultHandler on_result;
    TimeUs first_sent = 0;
    TimeUs timeout = 0;
    TimeUs queue_allowance = 0;  // part of the running timer that allows for the delay of the local event queue
    core::TimerId timer = core::kNoTimer;
    bool retransmitted = false;
    bool provisional = false;  // a provisional response has arrived
    bool retransmission_stopped = false;
  };
  // Smoothed mean and deviation of the round trip to a peer, as in RFC 3435 3.5.3.
  struct Peer {
    double mean_us = 0.0;
    double deviation_us = 0.0;
    std::vector<std::uint32_t> to_acknowledge;  // responses received from the peer, to be listed in a K: line
  };
  using Key = std::pair<Address, std::uint32_t>;
  struct KeyHash {
    std::size_t operator()(const Key& key) const {
      std::uint64_t x = std::uint64_t{key.first.host} << 32U ^ std::uint64_t{key.first.port} << 48U ^ key.second;
      x *= 0x9e3779b97f4a7c15U;
      return static_cast<std::size_t>(x ^ x >> 29U);
    }
  };
  // A received command.
  struct Received {
    CommandId id = 0;
    std::string response;      // empty until the final response has been sent
    bool provisional = false;  // a provisional response has been sent
    HistoryQuota::Reservation reservation;
  };
  using History = std::unordered_map<Key, Received, KeyHash>;
  void RemoveFromHistory(History::iterator received);

  // Transaction identifiers whose responses the sender has acknowledged. The response is no longer needed, but the
  // identifier must be remembered until the last copy of the command has left the network, so that the command is not
  // executed again. As a peer's identifiers are mostly consecutive, a few ranges hold a large number of them.
  using Ranges = std::map<std::uint32_t, std::uint32_t>;  // first to last
  bool IsAcknowledged(const Address& peer, std::uint32_t id) const;
  void RecordAcknowledged(const Address& peer, std::uint32_t id);

  Peer& FindOrAddPeer(const Address& address);
  TimeUs TimeoutFor(const Address& to) const;
  void StartRetransmissionTimer(std::uint32_t transaction, Pending& pending);
  void OnRetransmissionTimer(std::uint32_t transaction);
  void CompleteTransaction(std::uint32_t transaction, TransactionOutcome outcome, const Message* message);
  void HandleResponse(const Address& from, const Message& message);
  void HandleCommand(const Address& from, const Message& message);
  void HandleMalformed(const Address& from, const ParseError& error);
  // Processes a response acknowledgement (K: parameter): drops the responses of the listed identifiers.
  void HandleResponseAck(const Address& from, std::string_view ranges);
  // Drops responses and acknowledged identifiers older than T-HIST.
  void ExpireHistory();
  // Sends `text`, or collects it for Flush while a Cork exists.
  void SendOrCollect(const Address& to, std::string_view text);
  void Flush();

  core::Runtime* runtime_;
  TransactionSettings settings_;
  CommandHandler on_command_;
  std::uint32_t next_transaction_;
  CommandId next_command_ = 1;
  std::unordered_map<std::uint32_t, Pending> pending_;
  std::map<Address, Peer> peers_;
  History history_;
  PeerFilter peer_filter_;
  HistoryQuota history_quota_;
  std::function<bool(const Message&)> in_use_;
  UnknownHostCounters unknown_hosts_;
  std::unordered_map<CommandId, Key> awaiting_response_;  // received commands without a final response
  struct HistoryEntry {
    TimeUs responded_at = 0;
    Key key;
    CommandId id = 0;  // a later command may have the same key
  };
  std::deque<HistoryEntry> history_order_;  // by the time of the response
  // Two generations, each collected for T-HIST. The copies of a command whose identifier is in neither have expired.
  std::map<Address, Ranges> acknowledged_, previous_acknowledged_;
  std::size_t acknowledged_range_count_ = 0;  // of the current generation
  TimeUs generation_start_ = 0;
  int corks_ = 0;
  std::vector<std::pair<Address, std::string>> collected_;  // datagrams by peer; only a few peers
  TransactionCounters counters_;
  std::unique_ptr<core::DatagramPort> port_;  // declared last, so that it is closed first
};

}  // namespace croftrun::mgcp

#endif  // CROFTRUN_MGCP_TRANSACTIONS_H_
