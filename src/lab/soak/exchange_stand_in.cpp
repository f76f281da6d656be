#include "lab/soak/exchange_stand_in.h"

#include <algorithm>
#include <utility>

namespace croftrun::lab::soak {

using platform::Message;
using platform::MessageType;

namespace {

constexpr int kCauseNormal = 16, kCauseNoCircuit = 34;
// Delay of a duplicate answer after the first one.
constexpr TimeUs kDuplicateAnswerDelay = 8'000;

}  // namespace

// A connection of a softswitch.
class ExchangeStandIn::Connection final : public core::StreamHandler {
 public:
  Connection(ExchangeStandIn* owner, int s, std::unique_ptr<core::Stream> accepted)
      : softswitch(s), stream(std::move(accepted)), owner_(owner) {}
  void OnBytes(std::string_view bytes) override {
    reader_.Feed(bytes, [this](std::string_view line) {
      owner_->OnLine(this, line);
      return true;
    });
  }
  void OnEnd(core::StreamEnd) override { owner_->OnConnectionClosed(this); }
  // Sends nothing while the exchange hangs.
  void Send(const Message& message) {
    if (!owner_->hanging_) stream->Write(platform::WriteMessage(message));
  }

  const int softswitch;
  std::unique_ptr<core::Stream> stream;
  bool is_unreadable = false;  // an answer stopped half way; what follows cannot be read

 private:
  ExchangeStandIn* owner_;
  platform::LineReader reader_;
};

// The listening address for one softswitch.
class ExchangeStandIn::Listener final : public core::StreamAcceptor {
 public:
  Listener(ExchangeStandIn* owner, int softswitch, const core::Address& address)
      : owner_(owner), softswitch_(softswitch), listener_(owner->runtime_->Listen(address, this)) {}
  core::StreamHandler* OnAccept(std::unique_ptr<core::Stream> stream) override {
    owner_->connections_.push_back(std::make_unique<Connection>(owner_, softswitch_, std::move(stream)));
    Connection* const connection = owner_->connections_.back().get();
    owner_->OnConnectionOpened(connection);
    return connection;
  }

 private:
  ExchangeStandIn* owner_;
  int softswitch_;
  std::unique_ptr<core::StreamListener> listener_;
};

ExchangeStandIn::ExchangeStandIn(core::Runtime* runtime, EventLog* event_log, std::uint64_t seed,
                                 const ExchangeTraits& traits, std::vector<FaultProxy*> proxies,
                                 const std::vector<core::Address>& listen)
    : runtime_(runtime),
      event_log_(event_log),
      random_(seed),
      traits_(traits),
      proxies_(std::move(proxies)),
      hang_timer_(runtime),
      report_timer_(runtime) {
  for (std::size_t i = 0; i < listen.size(); ++i) {
    listeners_.push_back(std::make_unique<Listener>(this, static_cast<int>(i), listen[i]));
  }
  if (traits_.report_interval > 0) ScheduleReport();
}

void ExchangeStandIn::ScheduleReport() {
  report_timer_.Start(traits_.report_interval, [this] {
    for (std::size_t softswitch = 0; softswitch < proxies_.size(); ++softswitch) {
      if (Connection* const newest = NewestConnection(static_cast<int>(softswitch))) SendReport(newest);
    }
    ScheduleReport();
  });
}

ExchangeStandIn::~ExchangeStandIn() = default;

void ExchangeStandIn::LogEvent(EventKind kind, int softswitch, const std::string& call, std::int64_t value) {
  event_log_->Append({.kind = kind, .softswitch = softswitch, .exchange = instance_, .call = call, .value = value});
}

void ExchangeStandIn::LoseState() {
  for (auto& [id, attempt] : attempts_) LogEvent(EventKind::kAttemptReset, attempt.connection->softswitch, id);
  for (auto& [id, call] : calls_) LogEvent(EventKind::kCallEndedSilently, call.softswitch, id);
  attempts_.clear();
  calls_.clear();
  unsent_releases_.clear();
  repeated_releases_.clear();
  used_circuits_.clear();
  connections_.clear();
  hanging_ = holding_answers_ = false;
  hang_timer_.Stop();
}

void ExchangeStandIn::AnswerAll() {
  holding_answers_ = false;
  std::vector<std::string> due;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.answer != nullptr) due.push_back(id);
  }
  for (const std::string& id : due) AnswerSetUp(id);
}

void ExchangeStandIn::Hang(TimeUs time) {
  hanging_ = true;
  hang_timer_.Start(time, [this] {
    hanging_ = false;
    std::vector<Connection*> open;
    for (const auto& connection : connections_) open.push_back(connection.get());
    for (Connection* const connection : open) OnConnectionOpened(connection);
  });
}

void ExchangeStandIn::OnConnectionOpened(Connection* connection) {
  if (hanging_) return;
  const int softswitch = connection->softswitch;
  LogEvent(EventKind::kConnectionOpened, softswitch, "",
           std::count_if(connections_.begin(), connections_.end(),
                         [&](const auto& x) { return x->softswitch == softswitch; }));
  const auto send = [&](const std::string& id) {
    connection->Send({.type = MessageType::kRelease, .id = id, .cause = kCauseNormal});
  };
  for (const std::string& id : std::exchange(unsent_releases_[softswitch], {})) {
    send(id);
    if (proxies_[static_cast<std::size_t>(softswitch)]->IsWorking()) LogEvent(EventKind::kCallEnded, softswitch, id);
  }
  for (const std::string& id : std::exchange(repeated_releases_[softswitch], {})) send(id);
  if (traits_.reports_on_connect) SendReport(connection);
}

void ExchangeStandIn::OnConnectionClosed(Connection* connection) {
  std::vector<std::string> abandoned;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.connection == connection) abandoned.push_back(id);
  }
  for (const std::string& id : abandoned) {
    LogEvent(EventKind::kAttemptAbandoned, connection->softswitch, id);
    attempts_.erase(id);
  }
  for (auto& [id, call] : calls_) {
    if (call.connection == connection) call.connection = nullptr;
  }
  connections_.remove_if([connection](const auto& x) { return x.get() == connection; });
}

ExchangeStandIn::Connection* ExchangeStandIn::NewestConnection(int softswitch) {
  const auto found = std::find_if(connections_.rbegin(), connections_.rend(),
                                  [softswitch](const auto& x) { return x->softswitch == softswitch; });
  return found == connections_.rend() ? nullptr : found->get();
}

void ExchangeStandIn::SendReport(Connection* connection) {
  const std::string load = "spare:" + std::to_string(traits_.circuits - used_circuits_[connection->softswitch]) +
                           ";total:" + std::to_string(traits_.circuits);
  connection->Send({.type = MessageType::kGroupReport, .id = "0000000000000000", .fields = {{"load", load}}});
}

void ExchangeStandIn::OnLine(Connection* connection, std::string_view line) {
  const auto message = platform::ParseMessage(line);
  if (!message) return;
  if (message->type == MessageType::kSetUp) {
    OnSetUp(connection, *message);
  } else if (message->type == MessageType::kRelease) {
    OnRelease(connection, message->id);
  } else if (message->type == MessageType::kHeartbeat) {
    LogEvent(EventKind::kProbeArrived, connection->softswitch, "");
    connection->Send({.type = MessageType::kHeartbeatResponse, .id = message->id, .cause = 1});
  }
}

void ExchangeStandIn::OnSetUp(Connection* connection, const Message& message) {
  const std::string id = message.id;
  const int softswitch = connection->softswitch;
  LogEvent(EventKind::kAttemptArrived, softswitch, id,
           static_cast<std::int64_t>(
               proxies_[static_cast<std::size_t>(softswitch)]->DelayOf(connection->stream->Remote().port)));
  if (used_circuits_[softswitch] >= traits_.circuits && !hanging_) {
    connection->Send(
        {.type = MessageType::kRelease, .id = id, .fields = {{"note", "all_trunks_busy"}}, .cause = kCauseNoCircuit});
    return LogEvent(EventKind::kAttemptRefused, softswitch, id);
  }
  Attempt& attempt = attempts_[id];
  attempt.connection = connection;
  if (DrawChance(traits_.no_answer_share)) return;
  attempt.answer = std::make_unique<core::Timer>(runtime_);
  const auto answer_delay =
      std::exponential_distribution<double>(1.0 / static_cast<double>(traits_.mean_answer_delay))(random_);
  attempt.answer->Start(static_cast<TimeUs>(answer_delay), [this, id] { AnswerSetUp(id); });
}

void ExchangeStandIn::AnswerSetUp(const std::string& id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || holding_answers_) return;
  if (hanging_) {
    // Retried until the exchange no longer hangs.
    return found->second.answer->Start(10'000, [this, id] { AnswerSetUp(id); });
  }
  Connection* const connection = found->second.connection;
  const int softswitch = connection->softswitch;
  // This function runs in the callback of the timer, which is kept until it returns.
  const std::unique_ptr<core::Timer> running_timer = std::move(found->second.answer);
  attempts_.erase(found);
  if (DrawChance(traits_.close_share)) {
    LogEvent(EventKind::kAttemptReset, softswitch, id);
    return OnConnectionClosed(connection);
  }
  if (DrawChance(traits_.malformed_answer_share)) {
    LogEvent(EventKind::kAttemptReset, softswitch, id);
    connection->stream->Write("{\"t\":\"up\",\"ref\":\"" + id + "\",\"f\":{},\"d\":\x01\x02 no more\n");
    return;
  }
  Message answer{.type = MessageType::kAnswer, .id = id};
  answer.description = "exchange " + std::to_string(instance_) + " call " + id;
  if (DrawChance(traits_.half_answer_share)) {
    const std::string line = platform::WriteMessage(answer);
    LogEvent(EventKind::kAttemptReset, softswitch, id);
    connection->stream->Write(line.substr(0, line.size() / 2));
    connection->is_unreadable = true;
    return;
  }
  connection->Send(answer);
  LogEvent(EventKind::kAttemptAnswered, softswitch, id);
  if (DrawChance(traits_.duplicate_answer_share)) {
    runtime_->StartTimer(kDuplicateAnswerDelay, [this, connection, answer] {
      const bool open =
          std::any_of(connections_.begin(), connections_.end(), [&](const auto& x) { return x.get() == connection; });
      if (open) connection->Send(answer);
    });
  }
  EstablishedCall& call = calls_[id];
  call.softswitch = softswitch;
  call.connection = connection;
  call.end = std::make_unique<core::Timer>(runtime_);
  const auto holding_time =
      std::exponential_distribution<double>(1.0 / static_cast<double>(traits_.mean_holding_time))(random_);
  call.end->Start(static_cast<TimeUs>(holding_time), [this, id] { EndCall(id); });
  ++used_circuits_[softswitch];
  if (traits_.reports_circuits) SendReport(connection);
}

void ExchangeStandIn::EndCall(const std::string& id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  if (hanging_) return found->second.end->Start(10'000, [this, id] { EndCall(id); });
  const int softswitch = found->second.softswitch;
  Connection* const connection =
      found->second.connection != nullptr ? found->second.connection : NewestConnection(softswitch);
  // This function runs in the callback of the timer, which is kept until it returns.
  const std::unique_ptr<core::Timer> running_timer = std::move(found->second.end);
  calls_.erase(found);
  --used_circuits_[softswitch];
  if (connection == nullptr) {
    unsent_releases_[softswitch].push_back(id);
    return LogEvent(EventKind::kCallEndedSilently, softswitch, id);
  }
  connection->Send({.type = MessageType::kRelease, .id = id, .cause = kCauseNormal});
  repeated_releases_[softswitch].push_back(id);
  const bool is_readable = proxies_[static_cast<std::size_t>(softswitch)]->IsWorking() && !connection->is_unreadable;
  LogEvent(is_readable ? EventKind::kCallEnded : EventKind::kCallEndedSilently, softswitch, id);
  if (traits_.reports_circuits) SendReport(connection);
}

void ExchangeStandIn::OnRelease(Connection* connection, const std::string& id) {
  connection->Send({.type = MessageType::kAcknowledgement, .id = id});
  if (attempts_.erase(id) > 0) return LogEvent(EventKind::kAttemptAbandoned, connection->softswitch, id);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  --used_circuits_[found->second.softswitch];
  calls_.erase(found);
  LogEvent(EventKind::kCallReleased, connection->softswitch, id);
  if (traits_.reports_circuits) SendReport(connection);
}

}  // namespace croftrun::lab::soak
