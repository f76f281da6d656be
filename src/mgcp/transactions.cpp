#include "mgcp/transactions.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <iterator>

namespace croftrun::mgcp {
namespace {

// Gains of the smoothed round trip and its deviation. RFC 3435 3.5.3 refers to those of TCP, 1/8 and 1/4.
constexpr double kMeanGain = 0.125, kDeviationGain = 0.25;
// Response acknowledgements in one command; the others are sent with later commands.
constexpr std::size_t kMaxAcknowledgements = 24;
// A datagram of piggy-backed messages is not filled beyond this size, so that it passes any link without fragmentation.
constexpr std::size_t kMaxPiggybackOctets = 1400;

}  // namespace

Transactions::Transactions(core::Runtime* runtime, const Address& local, const TransactionSettings& settings,
                           CommandHandler on_command)
    : runtime_(runtime),
      settings_(settings),
      on_command_(std::move(on_command)),
      // A restarted call agent must not reuse its earlier transaction identifiers within T-HIST (RFC 3435 3.2.1.2), so
      // the first one is random.
      next_transaction_(static_cast<std::uint32_t>(runtime->Random() % kMaxTransactionId) + 1),
      history_quota_(settings.max_history, 1),
      port_(runtime->OpenPort(local, this)) {}

Transactions::~Transactions() {
  for (auto& [id, pending] : pending_) runtime_->CancelTimer(pending.timer);
}

void Transactions::SetKnownHosts(std::vector<std::uint32_t> hosts, std::function<bool(const Message&)> in_use) {
  peer_filter_.SetKnownHosts(std::move(hosts));
  history_quota_ = HistoryQuota(settings_.max_history, peer_filter_.host_count());
  in_use_ = std::move(in_use);
}

// Called before a datagram is queued. Datagrams from unknown hosts are dropped here, so that they use no history, no
// round-trip estimate and no place in a queue that would delay a gateway's datagrams.
bool Transactions::ShouldReceive(const Address& from, std::string_view bytes) {
  if (peer_filter_.IsKnown(from)) return true;
  const char first = bytes.empty() ? '\0' : bytes.front();
  if (first >= '0' && first <= '9') {
    ++unknown_hosts_.responses;
    return false;
  }
  if (!((first >= 'A' && first <= 'Z') || (first >= 'a' && first <= 'z'))) {
    ++unknown_hosts_.malformed;
    return false;
  }
  ++unknown_hosts_.commands;
  if (!peer_filter_.TryConsumeAnswer(runtime_->Now())) return false;
  for (const ParsedMessage& parsed : ParseDatagram(bytes)) {
    const auto* message = std::get_if<Message>(&parsed);
    if (message == nullptr || !message->is_command) break;
    ++unknown_hosts_.answered;
    std::string text;
    Writer(&text).Response(kUnknownEndpoint, message->transaction, "not a gateway of this call agent");
    SendOrCollect(from, text);
    break;  // at most one response per datagram
  }
  return false;
}

Transactions::Peer& Transactions::FindOrAddPeer(const Address& address) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) return found->second;
  // Losing an estimate only costs accuracy, so all are dropped when the limit is reached.
  if (peers_.size() >= settings_.max_peers) peers_.clear();
  return peers_[address];
}

TimeUs Transactions::TimeoutFor(const Address& to) const {
  const auto found = peers_.find(to);
  if (found == peers_.end() || found->second.mean_us <= 0.0) return settings_.initial_timeout_us;
  const double timeout = found->second.mean_us + 4.0 * found->second.deviation_us;
  return std::clamp(static_cast<TimeUs>(timeout), settings_.min_timeout_us, settings_.max_timeout_us);
}

void Transactions::SendOrCollect(const Address& to, std::string_view text) {
  if (corks_ == 0) return port_->Send(to, text);
  for (auto& [peer, datagram] : collected_) {
    if (peer != to) continue;
    if (datagram.size() + text.size() <= kMaxPiggybackOctets) {
      Writer(&datagram).Separator();
      datagram += text;
    } else {
      port_->Send(to, datagram);
      datagram = text;
    }
    return;
  }
  collected_.emplace_back(to, text);
}

void Transactions::Flush() {
  for (const auto& [peer, datagram] : collected_) port_->Send(peer, datagram);
  collected_.clear();
}

std::uint32_t Transactions::Send(const Address& to, OutgoingCommand command) {
  if (pending_.size() >= settings_.max_pending) {
    ++counters_.refused_full;
    if (command.on_result) command.on_result({TransactionOutcome::kTooManyPending, nullptr, to});
    return 0;
  }
  do {
    next_transaction_ = next_transaction_ % kMaxTransactionId + 1;
  } while (pending_.count(next_transaction_) > 0);
  const std::uint32_t transaction = next_transaction_;

  Pending pending;
  pending.to = to;
  pending.on_result = std::move(command.on_result);
  pending.first_sent = runtime_->Now();
  pending.timeout = TimeoutFor(to);
  pending.text.reserve(command.body.size() + command.endpoint.size() + 160);
  Writer writer(&pending.text);
  writer.Command(command.verb, transaction, command.endpoint);
  // The peer may drop responses that are acknowledged here (RFC 3435 3.2.2.16).
  auto& acknowledge = FindOrAddPeer(to).to_acknowledge;
  if (!acknowledge.empty()) {
    const std::size_t count = std::min(acknowledge.size(), kMaxAcknowledgements);
    std::string list;
    for (std::size_t i = 0; i < count; ++i) {
      if (!list.empty()) list += ',';
      list += std::to_string(acknowledge[i]);
    }
    acknowledge.erase(acknowledge.begin(), acknowledge.begin() + static_cast<std::ptrdiff_t>(count));
    writer.Line("K", list);
  }
  pending.text += command.body;
  ++counters_.sent;
  StartRetransmissionTimer(transaction, pending);
  SendOrCollect(to, pending.text);
  pending_.emplace(transaction, std::move(pending));
  return transaction;
}

void Transactions::StopRetransmitting(std::uint32_t transaction) {
  const auto found = pending_.find(transaction);
  if (found != pending_.end()) found->second.retransmission_stopped = true;
}

void Transactions::StartRetransmissionTimer(std::uint32_t transaction, Pending& pending) {
  // Up to 10% of random jitter keeps many senders from retransmitting at the same time.
  const double jitter = 1.0 + 0.1 * static_cast<double>(runtime_->Random() % 1000) / 1000.0;
  // The response may already be in the local event queue, so the time-out is extended by the delay of that queue.
  // Otherwise an overloaded call agent retransmits its commands, receives each response again and becomes more
  // overloaded.
  pending.queue_allowance = runtime_->QueueDelay();
  const auto wait = static_cast<TimeUs>(static_cast<double>(pending.timeout) * jitter) + pending.queue_allowance;
  pending.timer = runtime_->StartTimer(wait, [this, transaction] { OnRetransmissionTimer(transaction); });
}

void Transactions::OnRetransmissionTimer(std::uint32_t transaction) {
  const auto found = pending_.find(transaction);
  if (found == pending_.end()) return;
  Pending& pending = found->second;
  pending.timer = core::kNoTimer;
  if (runtime_->Now() - pending.first_sent >= settings_.give_up_us) {
    ++counters_.given_up;
    return CompleteTransaction(transaction, TransactionOutcome::kNoResponse, nullptr);
  }
  // The queue has grown since the timer was started.
  if (runtime_->QueueDelay() > pending.queue_allowance + pending.timeout / 2) {
    ++counters_.postponed;
    return StartRetransmissionTimer(transaction, pending);
  }
  pending.timeout = std::min(pending.timeout * 2, settings_.max_timeout_us);
  if (!pending.retransmission_stopped) {
    pending.retransmitted = true;
    ++counters_.repeated;
    SendOrCollect(pending.to, pending.text);
  }
  StartRetransmissionTimer(transaction, pending);
}

void Transactions::CompleteTransaction(std::uint32_t transaction, TransactionOutcome outcome, const Message* message) {
  const auto found = pending_.find(transaction);
  if (found == pending_.end()) return;
  runtime_->CancelTimer(found->second.timer);
  const ResultHandler on_result = std::move(found->second.on_result);
  const Address peer = found->second.to;
  pending_.erase(found);  // before the callback, which may send commands and may be the last use of this transaction
  if (on_result) on_result({outcome, message, peer});
}

void Transactions::OnDatagram(const Address& from, std::string_view bytes) {
  const Cork cork(this);
  for (const ParsedMessage& parsed : ParseDatagram(bytes)) {
    if (const auto* error = std::get_if<ParseError>(&parsed)) {
      HandleMalformed(from, *error);
    } else if (const auto& message = std::get<Message>(parsed); message.is_command) {
      HandleCommand(from, message);
    } else {
      HandleResponse(from, message);
    }
  }
}

void Transactions::HandleMalformed(const Address& from, const ParseError& error) {
  ++counters_.malformed;
  // Without a transaction identifier no response is possible, and responding to a response could loop forever.
  if (!error.was_command || !error.transaction) return;
  std::string text;
  Writer(&text).Response(error.code, *error.transaction, error.Text());
  SendOrCollect(from, text);
}

void Transactions::HandleResponse(const Address& from, const Message& message) {
  if (message.code < 100) return;  // 000, response acknowledgement: the response expires after T-HIST anyway
  const auto found = pending_.find(message.transaction);
  // A gateway responds from the address that the command was sent to; responses from other hosts are ignored.
  if (found == pending_.end() || found->second.to.host != from.host) {
    ++counters_.unknown_responses;
    return;
  }
  Pending& pending = found->second;
  if (message.code < 200) {
    pending.provisional = true;
    pending.timeout = settings_.max_timeout_us;
    runtime_->CancelTimer(pending.timer);
    StartRetransmissionTimer(message.transaction, pending);
    return;
  }
  ++counters_.answered;
  Peer& peer = FindOrAddPeer(pending.to);
  // Karn's algorithm: the response to a retransmitted command gives no round-trip sample, as it is not known which copy
  // it belongs to.
  if (!pending.retransmitted && !pending.provisional) {
    const auto sample = static_cast<double>(runtime_->Now() - pending.first_sent);
    if (peer.mean_us <= 0.0) {
      peer.mean_us = std::max(1.0, sample);
      peer.deviation_us = sample / 2.0;
    } else {
      peer.deviation_us += kDeviationGain * (std::fabs(sample - peer.mean_us) - peer.deviation_us);
      peer.mean_us += kMeanGain * (sample - peer.mean_us);
    }
  }
  if (pending.provisional && message.Find("K") != nullptr) {
    // A K: parameter in a final response after a provisional one requests a response acknowledgement, the third step of
    // the three-way handshake (RFC 3435 3.5.6).
    std::string text;
    Writer(&text).Response(kResponseAcknowledgement, message.transaction);
    SendOrCollect(from, text);
  } else if (peer.to_acknowledge.size() < 4 * kMaxAcknowledgements) {
    peer.to_acknowledge.push_back(message.transaction);
  }
  CompleteTransaction(message.transaction, TransactionOutcome::kFinalResponse, &message);
}

void Transactions::HandleCommand(const Address& from, const Message& message) {
  const Key key{from, message.transaction};
  ExpireHistory();
  if (const Parameter* acknowledged = message.Find("K")) HandleResponseAck(from, acknowledged->value);
  if (const auto found = history_.find(key); found != history_.end()) {
    ++counters_.received_again;
    if (!found->second.response.empty()) {
      SendOrCollect(from, found->second.response);
    } else {
      RespondProvisionally(found->second.id);
    }
    return;
  }
  if (IsAcknowledged(from, message.transaction)) {
    // The sender has acknowledged the response, so this is a delayed copy of the command. It must not be executed
    // again.
    ++counters_.received_again;
    return;
  }
  HistoryQuota::Reservation reservation;
  const bool in_use = in_use_ && in_use_(message);
  if (!history_quota_.TryReserve(from.host, in_use ? std::hash<std::string_view>{}(message.endpoint.local) | 1U : 0U,
                                 &reservation)) {
    // If the response cannot be kept, a retransmission would be executed a second time. So the command is rejected.
    ++counters_.refused_full;
    std::string text;
    Writer(&text).Response(kOverload, message.transaction, "too many transactions");
    SendOrCollect(from, text);
    return;
  }
  ++counters_.received;
  const CommandId id = next_command_++;
  Received& received = history_[key];
  received.id = id;
  received.reservation = reservation;
  awaiting_response_.emplace(id, key);
  on_command_(id, from, message);
}

void Transactions::Respond(CommandId command, int code, std::string_view body, std::string_view comment) {
  const auto found = awaiting_response_.find(command);
  if (found == awaiting_response_.end()) return;
  const Key key = found->second;
  awaiting_response_.erase(found);
  Received& received = history_[key];
  received.response.reserve(body.size() + comment.size() + 32);
  Writer(&received.response).Response(code, key.second, comment);
  if (received.provisional) Writer(&received.response).Line("K", "");
  received.response += body;
  history_order_.push_back({runtime_->Now(), key, command});
  SendOrCollect(key.first, received.response);
}

void Transactions::Reject(CommandId command, int code, std::string_view comment) {
  const auto found = awaiting_response_.find(command);
  if (found == awaiting_response_.end()) return;
  const Key key = found->second;
  awaiting_response_.erase(found);
  if (const auto received = history_.find(key); received != history_.end()) RemoveFromHistory(received);
  std::string text;
  Writer(&text).Response(code, key.second, comment);
  SendOrCollect(key.first, text);
}

void Transactions::RemoveFromHistory(History::iterator received) {
  history_quota_.Release(received->second.reservation);
  history_.erase(received);
}

void Transactions::RespondProvisionally(CommandId command) {
  const auto found = awaiting_response_.find(command);
  if (found == awaiting_response_.end()) return;
  history_[found->second].provisional = true;
  std::string text;
  Writer(&text).Response(kProvisional, found->second.second);
  SendOrCollect(found->second.first, text);
}

void Transactions::HandleResponseAck(const Address& from, std::string_view ranges) {
  const auto items = SplitTopLevel(ranges);
  if (!items) return;
  for (const std::string_view item : *items) {
    std::uint32_t first = 0;
    const auto [end, error] = std::from_chars(item.data(), item.data() + item.size(), first);
    if (error != std::errc()) continue;
    std::uint32_t last = first;
    if (end != item.data() + item.size() && *end == '-') std::from_chars(end + 1, item.data() + item.size(), last);
    // Follows a range for at most 1,024 identifiers, which bounds the work; a longer run of responses is not expected
    // to be in the history.
    for (std::uint32_t id = first; id <= last && id - first < 1024; ++id) {
      const auto found = history_.find({from, id});
      if (found == history_.end() || found->second.response.empty()) continue;
      if (acknowledged_range_count_ >= settings_.max_history) continue;  // the response stays until it expires
      RemoveFromHistory(found);
      RecordAcknowledged(from, id);
    }
  }
}

bool Transactions::IsAcknowledged(const Address& peer, std::uint32_t id) const {
  for (const auto* generation : {&acknowledged_, &previous_acknowledged_}) {
    const auto ranges = generation->find(peer);
    if (ranges == generation->end()) continue;
    const auto after = ranges->second.upper_bound(id);
    if (after != ranges->second.begin() && std::prev(after)->second >= id) return true;
  }
  return false;
}

void Transactions::RecordAcknowledged(const Address& peer, std::uint32_t id) {
  Ranges& ranges = acknowledged_[peer];
  const auto after = ranges.upper_bound(id);
  const bool joins_next = after != ranges.end() && after->first == id + 1;
  const auto before = after == ranges.begin() ? ranges.end() : std::prev(after);
  if (before != ranges.end() && before->second + 1 == id) {
    before->second = joins_next ? after->second : id;
    if (joins_next) ranges.erase(after), --acknowledged_range_count_;
    return;
  }
  const std::uint32_t last = joins_next ? after->second : id;
  if (joins_next) ranges.erase(after), --acknowledged_range_count_;
  ranges[id] = last;
  ++acknowledged_range_count_;
}

void Transactions::ExpireHistory() {
  const TimeUs now = runtime_->Now();
  if (now - generation_start_ > settings_.history_us) {
    // After more than twice T-HIST without commands, both generations have expired.
    const bool both_expired = now - generation_start_ > 2 * settings_.history_us;
    generation_start_ = now;
    previous_acknowledged_ = std::exchange(acknowledged_, {});
    if (both_expired) previous_acknowledged_.clear();
    acknowledged_range_count_ = 0;
  }
  while (!history_order_.empty()) {
    const HistoryEntry& oldest = history_order_.front();
    const auto found = history_.find(oldest.key);
    const bool in_history = found != history_.end() && found->second.id == oldest.id;
    if (in_history && now - oldest.responded_at <= settings_.history_us) break;
    if (in_history) RemoveFromHistory(found);
    history_order_.pop_front();
  }
}

}  // namespace croftrun::mgcp
