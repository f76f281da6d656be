// The transaction layer of MGCP (RFC 3435 3.5): who asked what, what was answered, what is asked again.
//
// It knows nothing of calls or routes. Commands sent are repeated until answered or given up; commands received are
// carried out at most once, and a repeat is answered by the same octets. It runs on core::Runtime alone.
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

// Times in microseconds. Defaults are those of RFC 3435 3.5.1 and 3.5.3 unless said.
struct TransactionSettings {
  TimeUs first_timeout_us = 200'000;  // before any round trip to the peer was measured
  TimeUs least_timeout_us = 20'000;   // of the adaptive timer (ours: loopback answers in well under 1 ms)
  TimeUs longest_timeout_us = 4'000'000;
  TimeUs give_up_us = 20'000'000;      // T-MAX: the last repeat
  TimeUs history_us = 30'000'000;      // T-HIST: how long answers are kept for repeats
  std::size_t most_pending = 65'536;   // commands sent and not yet answered
  std::size_t most_history = 262'144;  // answers kept; beyond, new commands are answered 409 (bounded, never silent)
  std::size_t most_peers = 4'096;      // round-trip estimates kept
};

// How a command that was sent ended. kAnswered: `message` holds the final response, for the call's duration only.
enum class Ending : std::uint8_t { kAnswered, kNoAnswer, kTooMany };
struct Answered {
  Ending ending = Ending::kNoAnswer;
  const Message* message = nullptr;
  Address peer;
  int code() const { return message == nullptr ? -1 : message->code; }
  bool ok() const { return code() >= 200 && code() < 300; }
};

struct TransactionCounters {
  std::uint64_t sent = 0, repeated = 0, answered = 0, given_up = 0;
  std::uint64_t received = 0, received_again = 0, malformed = 0, unknown_responses = 0, refused_full = 0;
  std::uint64_t postponed = 0;  // repeats put off, as the own queue was long
};

class Transactions : public core::DatagramHandler {
 public:
  using OnAnswer = std::function<void(const Answered&)>;
  // A command to send: everything below its first line, and what to do with the answer.
  struct Outgoing {
    Verb verb = Verb::kNtfy;
    std::string endpoint;
    std::string body;
    OnAnswer on_answer;
  };
  // Handle of a received command, to answer it now or later. 0 is none.
  using CommandId = std::uint64_t;
  using OnCommand = std::function<void(CommandId, const Address& from, const Message&)>;

  // Opens `local`; throws std::system_error. `on_command` owes each command one Respond.
  Transactions(core::Runtime* runtime, const Address& local, const TransactionSettings& settings, OnCommand on_command);
  ~Transactions() override;

  // Sends a command; its id, or 0 if too many are pending (then `on_answer` has been called with kTooMany).
  std::uint32_t Send(const Address& to, Outgoing command);
  // From now on only these hosts command or answer here. What others send is dropped as it is read off the socket,
  // costs nothing that lasts, and is answered (500) at a trickle. `in_use`: whether a call is in progress at the
  // endpoint of a command; its answers have room of their own.
  void SetKnownHosts(std::vector<std::uint32_t> hosts, std::function<bool(const Message&)> in_use);
  // While one lives, what is sent to a peer is gathered and leaves in as few datagrams as hold it, in order
  // (piggybacking, RFC 3435 3.5.5); each command stays a transaction of its own. May be nested.
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
  // Stops repeating, for a command that no longer matters but may have been carried out: the callback still gets a
  // late answer, or kNoAnswer when T-MAX has passed.
  void StopRepeating(std::uint32_t transaction);

  // The final answer to a command. `body` as in Outgoing. A second answer to the same command is ignored.
  void Respond(CommandId command, int code, std::string_view body = {}, std::string_view comment = {});
  // An error that any repeat of the command would get again: nothing is remembered of it.
  void Reject(CommandId command, int code, std::string_view comment);
  // 100: the final answer comes later (RFC 3435 3.2.3); the sender stops repeating at its short timer.
  void RespondProvisionally(CommandId command);

  void OnDatagram(const Address& from, std::string_view bytes) override;
  bool ShouldReceive(const Address& from, std::string_view bytes) override;

  const TransactionCounters& counters() const { return counters_; }
  const StrangerCounters& strangers() const { return strangers_; }
  std::size_t pending() const { return pending_.size(); }
  std::size_t history() const { return history_.size(); }
  Address Local() const { return port_->Local(); }

 private:
  // One command sent.
  struct Pending {
    Address to;
    std::string text;
    OnAnswer on_answer;
    TimeUs first_sent = 0;
    TimeUs timeout = 0;
    TimeUs allowed = 0;  // for the own queue, in the timer that runs
    core::TimerId timer = core::kNoTimer;
    bool repeated = false;
    bool provisional = false;
    bool quiet = false;  // not repeated any more
  };
  // Round trip to a peer, as in RFC 3435 3.5.3 (smoothed mean and deviation).
  struct Peer {
    double mean_us = 0.0;
    double deviation_us = 0.0;
    std::vector<std::uint32_t> to_acknowledge;  // answered by the peer, not yet said in a K: line
  };
  using Key = std::pair<Address, std::uint32_t>;
  struct KeyHash {
    std::size_t operator()(const Key& key) const {
      std::uint64_t x = std::uint64_t{key.first.host} << 32U ^ std::uint64_t{key.first.port} << 48U ^ key.second;
      x *= 0x9e3779b97f4a7c15U;
      return static_cast<std::size_t>(x ^ x >> 29U);
    }
  };
  // One command received.
  struct Received {
    CommandId id = 0;
    std::string answer;  // empty while not answered
    bool provisional = false;
    HistoryRoom::Place place;
  };
  using History = std::unordered_map<Key, Received, KeyHash>;
  void Forget(History::iterator received);

  // Ids whose answers the sender has confirmed: the answer is not needed any more, but that the command was carried
  // out is, until its last copy has died. Ids of a peer mostly follow each other, so ranges hold a great many.
  using Ranges = std::map<std::uint32_t, std::uint32_t>;  // first to last
  bool IsConfirmed(const Address& peer, std::uint32_t id) const;
  void Confirm(const Address& peer, std::uint32_t id);

  Peer& PeerAt(const Address& address);
  TimeUs TimeoutFor(const Address& to) const;
  void Arm(std::uint32_t transaction, Pending& pending);
  void Repeat(std::uint32_t transaction);
  void Finish(std::uint32_t transaction, Ending ending, const Message* message);
  void OnResponse(const Address& from, const Message& message);
  void OnRequest(const Address& from, const Message& message);
  void OnMalformed(const Address& from, const ParseError& error);
  void ForgetAcknowledged(const Address& from, std::string_view ranges);
  void ForgetOld();
  // The one place where octets leave.
  void Out(const Address& to, std::string_view text);
  void Flush();

  core::Runtime* runtime_;
  TransactionSettings settings_;
  OnCommand on_command_;
  std::uint32_t next_transaction_;
  CommandId next_command_ = 1;
  std::unordered_map<std::uint32_t, Pending> pending_;
  std::map<Address, Peer> peers_;
  History history_;
  PeerGuard guard_;
  HistoryRoom room_;
  std::function<bool(const Message&)> in_use_;
  StrangerCounters strangers_;
  std::unordered_map<CommandId, Key> open_;  // received, not answered
  struct Aged {
    TimeUs answered_at = 0;
    Key key;
    CommandId id = 0;  // a later command may have the same key
  };
  std::deque<Aged> history_order_;  // by the time of the answer
  // Two generations, each for T-HIST: what is in neither is older than its last copy.
  std::map<Address, Ranges> confirmed_, confirmed_before_;
  std::size_t confirmed_ranges_ = 0;
  TimeUs generation_began_ = 0;
  int corks_ = 0;
  std::vector<std::pair<Address, std::string>> gathered_;  // by peer; a handful at most
  TransactionCounters counters_;
  std::unique_ptr<core::DatagramPort> port_;  // last: closed first
};

}  // namespace croftrun::mgcp

#endif  // CROFTRUN_MGCP_TRANSACTIONS_H_
