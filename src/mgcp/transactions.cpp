#include "mgcp/transactions.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <iterator>

namespace croftrun::mgcp {
namespace {

// Gains of the smoothed round trip and its deviation (RFC 3435 3.5.3 refers to TCP's: 1/8 and 1/4).
constexpr double kMeanGain = 0.125, kDeviationGain = 0.25;
// Acknowledgements carried in one command; more wait for the next.
constexpr std::size_t kMostAcknowledged = 24;
// A datagram of piggybacked commands is closed at this size, so that it crosses any link whole.
constexpr std::size_t kPiggybackBytes = 1400;

}  // namespace

Transactions::Transactions(core::Runtime* runtime, const Address& local, const TransactionSettings& settings,
                           OnCommand on_command)
    : runtime_(runtime),
      settings_(settings),
      on_command_(std::move(on_command)),
      // A restarted agent must not reuse the ids of its former life within T-HIST (RFC 3435 3.2.1.2).
      next_transaction_(static_cast<std::uint32_t>(runtime->Random() % kLargestTransaction) + 1),
      room_(settings.most_history, 1),
      port_(runtime->OpenPort(local, this)) {}

Transactions::~Transactions() {
  for (auto& [id, pending] : pending_) runtime_->CancelTimer(pending.timer);
}

void Transactions::SetKnownHosts(std::vector<std::uint32_t> hosts, std::function<bool(const Message&)> in_use) {
  guard_.SetKnown(std::move(hosts));
  room_ = HistoryRoom(settings_.most_history, guard_.hosts());
  in_use_ = std::move(in_use);
}

// Strangers end here: no history, no estimate of a round trip, no place in a queue behind which a gateway would wait.
bool Transactions::ShouldReceive(const Address& from, std::string_view bytes) {
  if (guard_.Knows(from)) return true;
  const char first = bytes.empty() ? '\0' : bytes.front();
  if (first >= '0' && first <= '9') {
    ++strangers_.responses;
    return false;
  }
  if (!((first >= 'A' && first <= 'Z') || (first >= 'a' && first <= 'z'))) {
    ++strangers_.malformed;
    return false;
  }
  ++strangers_.commands;
  if (!guard_.MayAnswer(runtime_->Now())) return false;
  for (const ParsedMessage& parsed : ParseDatagram(bytes)) {
    const auto* message = std::get_if<Message>(&parsed);
    if (message == nullptr || !message->is_command) break;
    ++strangers_.answered;
    std::string text;
    Writer(&text).Response(kUnknownEndpoint, message->transaction, "not a gateway of this call agent");
    Out(from, text);
    break;  // one answer a datagram, whatever it holds
  }
  return false;
}

Transactions::Peer& Transactions::PeerAt(const Address& address) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) return found->second;
  // Estimates are only a help: beyond the bound all are learnt anew.
  if (peers_.size() >= settings_.most_peers) peers_.clear();
  return peers_[address];
}

TimeUs Transactions::TimeoutFor(const Address& to) const {
  const auto found = peers_.find(to);
  if (found == peers_.end() || found->second.mean_us <= 0.0) return settings_.first_timeout_us;
  const double timeout = found->second.mean_us + 4.0 * found->second.deviation_us;
  return std::clamp(static_cast<TimeUs>(timeout), settings_.least_timeout_us, settings_.longest_timeout_us);
}

void Transactions::Out(const Address& to, std::string_view text) {
  if (corks_ == 0) return port_->Send(to, text);
  for (auto& [peer, datagram] : gathered_) {
    if (peer != to) continue;
    if (datagram.size() + text.size() <= kPiggybackBytes) {
      Writer(&datagram).Dot();
      datagram += text;
    } else {
      port_->Send(to, datagram);
      datagram = text;
    }
    return;
  }
  gathered_.emplace_back(to, text);
}

void Transactions::Flush() {
  for (const auto& [peer, datagram] : gathered_) port_->Send(peer, datagram);
  gathered_.clear();
}

std::uint32_t Transactions::Send(const Address& to, Outgoing command) {
  if (pending_.size() >= settings_.most_pending) {
    ++counters_.refused_full;
    if (command.on_answer) command.on_answer({Ending::kTooMany, nullptr, to});
    return 0;
  }
  do {
    next_transaction_ = next_transaction_ % kLargestTransaction + 1;
  } while (pending_.count(next_transaction_) > 0);
  const std::uint32_t transaction = next_transaction_;

  Pending pending;
  pending.to = to;
  pending.on_answer = std::move(command.on_answer);
  pending.first_sent = runtime_->Now();
  pending.timeout = TimeoutFor(to);
  pending.text.reserve(command.body.size() + command.endpoint.size() + 160);
  Writer writer(&pending.text);
  writer.Command(command.verb, transaction, command.endpoint);
  // What the peer has answered may be forgotten there (RFC 3435 3.2.2.16).
  auto& acknowledge = PeerAt(to).to_acknowledge;
  if (!acknowledge.empty()) {
    const std::size_t count = std::min(acknowledge.size(), kMostAcknowledged);
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
  Arm(transaction, pending);
  Out(to, pending.text);
  pending_.emplace(transaction, std::move(pending));
  return transaction;
}

void Transactions::StopRepeating(std::uint32_t transaction) {
  const auto found = pending_.find(transaction);
  if (found != pending_.end()) found->second.quiet = true;
}

void Transactions::Arm(std::uint32_t transaction, Pending& pending) {
  // A tenth of chance keeps many senders from repeating in step.
  const double spread = 1.0 + 0.1 * static_cast<double>(runtime_->Random() % 1000) / 1000.0;
  // The answer may be in the own queue already; what that takes is no loss on the way. Without this an agent that has
  // fallen behind repeats its commands, has each answered again, and falls further behind.
  pending.allowed = runtime_->QueueDelay();
  const auto wait = static_cast<TimeUs>(static_cast<double>(pending.timeout) * spread) + pending.allowed;
  pending.timer = runtime_->StartTimer(wait, [this, transaction] { Repeat(transaction); });
}

void Transactions::Repeat(std::uint32_t transaction) {
  const auto found = pending_.find(transaction);
  if (found == pending_.end()) return;
  Pending& pending = found->second;
  pending.timer = core::kNoTimer;
  if (runtime_->Now() - pending.first_sent >= settings_.give_up_us) {
    ++counters_.given_up;
    return Finish(transaction, Ending::kNoAnswer, nullptr);
  }
  if (runtime_->QueueDelay() > pending.allowed + pending.timeout / 2) {  // the queue grew since
    ++counters_.postponed;
    return Arm(transaction, pending);
  }
  pending.timeout = std::min(pending.timeout * 2, settings_.longest_timeout_us);
  if (!pending.quiet) {
    pending.repeated = true;
    ++counters_.repeated;
    Out(pending.to, pending.text);
  }
  Arm(transaction, pending);
}

void Transactions::Finish(std::uint32_t transaction, Ending ending, const Message* message) {
  const auto found = pending_.find(transaction);
  if (found == pending_.end()) return;
  runtime_->CancelTimer(found->second.timer);
  const OnAnswer on_answer = std::move(found->second.on_answer);
  const Address peer = found->second.to;
  pending_.erase(found);  // before the callback: it may send, and may be the last use of this transaction
  if (on_answer) on_answer({ending, message, peer});
}

void Transactions::OnDatagram(const Address& from, std::string_view bytes) {
  const Cork cork(this);
  for (const ParsedMessage& parsed : ParseDatagram(bytes)) {
    if (const auto* error = std::get_if<ParseError>(&parsed)) {
      OnMalformed(from, *error);
    } else if (const auto& message = std::get<Message>(parsed); message.is_command) {
      OnRequest(from, message);
    } else {
      OnResponse(from, message);
    }
  }
}

void Transactions::OnMalformed(const Address& from, const ParseError& error) {
  ++counters_.malformed;
  if (!error.was_command || !error.transaction) return;  // nobody to answer; an answer to an answer never ends
  std::string text;
  Writer(&text).Response(error.code, *error.transaction, error.Text());
  Out(from, text);
}

void Transactions::OnResponse(const Address& from, const Message& message) {
  if (message.code < 100) return;  // 000: an acknowledgement; the answer it names is forgotten by its age
  const auto found = pending_.find(message.transaction);
  // An answer from elsewhere is none: a gateway answers from the address it was asked at.
  if (found == pending_.end() || found->second.to.host != from.host) {
    ++counters_.unknown_responses;
    return;
  }
  Pending& pending = found->second;
  if (message.code < 200) {
    pending.provisional = true;
    pending.timeout = settings_.longest_timeout_us;
    runtime_->CancelTimer(pending.timer);
    Arm(message.transaction, pending);
    return;
  }
  ++counters_.answered;
  Peer& peer = PeerAt(pending.to);
  // Karn: a repeated command's answer does not tell which copy it answers.
  if (!pending.repeated && !pending.provisional) {
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
    // The peer asks for the third leg of the handshake (RFC 3435 3.5.6).
    std::string text;
    Writer(&text).Response(kAckOfResponse, message.transaction);
    Out(from, text);
  } else if (peer.to_acknowledge.size() < 4 * kMostAcknowledged) {
    peer.to_acknowledge.push_back(message.transaction);
  }
  Finish(message.transaction, Ending::kAnswered, &message);
}

void Transactions::OnRequest(const Address& from, const Message& message) {
  const Key key{from, message.transaction};
  ForgetOld();
  if (const Parameter* acknowledged = message.Find("K")) ForgetAcknowledged(from, acknowledged->value);
  if (const auto found = history_.find(key); found != history_.end()) {
    ++counters_.received_again;
    if (!found->second.answer.empty()) {
      Out(from, found->second.answer);
    } else {
      RespondProvisionally(found->second.id);
    }
    return;
  }
  if (IsConfirmed(from, message.transaction)) {
    // Confirmed by the sender, so this copy was long on its way: dropped, and above all not carried out again.
    ++counters_.received_again;
    return;
  }
  HistoryRoom::Place place;
  const bool in_use = in_use_ && in_use_(message);
  if (!room_.Take(from.host, in_use ? std::hash<std::string_view>{}(message.endpoint.local) | 1U : 0U, &place)) {
    // Without a place to remember the answer, the command could be carried out twice: it is not carried out at all.
    ++counters_.refused_full;
    std::string text;
    Writer(&text).Response(kOverload, message.transaction, "too many transactions");
    Out(from, text);
    return;
  }
  ++counters_.received;
  const CommandId id = next_command_++;
  Received& received = history_[key];
  received.id = id;
  received.place = place;
  open_.emplace(id, key);
  on_command_(id, from, message);
}

void Transactions::Respond(CommandId command, int code, std::string_view body, std::string_view comment) {
  const auto open = open_.find(command);
  if (open == open_.end()) return;
  const Key key = open->second;
  open_.erase(open);
  Received& received = history_[key];
  received.answer.reserve(body.size() + comment.size() + 32);
  Writer(&received.answer).Response(code, key.second, comment);
  if (received.provisional) Writer(&received.answer).Line("K", "");
  received.answer += body;
  history_order_.push_back({runtime_->Now(), key, command});
  Out(key.first, received.answer);
}

void Transactions::Reject(CommandId command, int code, std::string_view comment) {
  const auto open = open_.find(command);
  if (open == open_.end()) return;
  const Key key = open->second;
  open_.erase(open);
  if (const auto received = history_.find(key); received != history_.end()) Forget(received);
  std::string text;
  Writer(&text).Response(code, key.second, comment);
  Out(key.first, text);
}

void Transactions::Forget(History::iterator received) {
  room_.GiveBack(received->second.place);
  history_.erase(received);
}

void Transactions::RespondProvisionally(CommandId command) {
  const auto open = open_.find(command);
  if (open == open_.end()) return;
  history_[open->second].provisional = true;
  std::string text;
  Writer(&text).Response(kProvisional, open->second.second);
  Out(open->second.first, text);
}

void Transactions::ForgetAcknowledged(const Address& from, std::string_view ranges) {
  const auto items = SplitTopLevel(ranges);
  if (!items) return;
  for (const std::string_view item : *items) {
    std::uint32_t first = 0;
    const auto [end, error] = std::from_chars(item.data(), item.data() + item.size(), first);
    if (error != std::errc()) continue;
    std::uint32_t last = first;
    if (end != item.data() + item.size() && *end == '-') std::from_chars(end + 1, item.data() + item.size(), last);
    // A range is walked no further than answers could be remembered.
    for (std::uint32_t id = first; id <= last && id - first < 1024; ++id) {
      const auto found = history_.find({from, id});
      if (found == history_.end() || found->second.answer.empty()) continue;
      if (confirmed_ranges_ >= settings_.most_history) continue;  // kept whole until its time
      Forget(found);
      Confirm(from, id);
    }
  }
}

bool Transactions::IsConfirmed(const Address& peer, std::uint32_t id) const {
  for (const auto* generation : {&confirmed_, &confirmed_before_}) {
    const auto ranges = generation->find(peer);
    if (ranges == generation->end()) continue;
    const auto after = ranges->second.upper_bound(id);
    if (after != ranges->second.begin() && std::prev(after)->second >= id) return true;
  }
  return false;
}

void Transactions::Confirm(const Address& peer, std::uint32_t id) {
  Ranges& ranges = confirmed_[peer];
  const auto after = ranges.upper_bound(id);
  const bool joins_next = after != ranges.end() && after->first == id + 1;
  const auto before = after == ranges.begin() ? ranges.end() : std::prev(after);
  if (before != ranges.end() && before->second + 1 == id) {
    before->second = joins_next ? after->second : id;
    if (joins_next) ranges.erase(after), --confirmed_ranges_;
    return;
  }
  const std::uint32_t last = joins_next ? after->second : id;
  if (joins_next) ranges.erase(after), --confirmed_ranges_;
  ranges[id] = last;
  ++confirmed_ranges_;
}

void Transactions::ForgetOld() {
  const TimeUs now = runtime_->Now();
  if (now - generation_began_ > settings_.history_us) {
    // After a long silence both generations are over age.
    const bool both = now - generation_began_ > 2 * settings_.history_us;
    generation_began_ = now;
    confirmed_before_ = std::exchange(confirmed_, {});
    if (both) confirmed_before_.clear();
    confirmed_ranges_ = 0;
  }
  while (!history_order_.empty()) {
    const Aged& oldest = history_order_.front();
    const auto found = history_.find(oldest.key);
    const bool there = found != history_.end() && found->second.id == oldest.id;
    if (there && now - oldest.answered_at <= settings_.history_us) break;
    if (there) Forget(found);
    history_order_.pop_front();
  }
}

}  // namespace croftrun::mgcp
