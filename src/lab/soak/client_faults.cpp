// Clients of a soak trial that flood the softswitch or leave with set-ups unread.
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/soak/bad_client_connection.h"
#include "lab/soak/client_stand_in.h"

namespace croftrun::lab::soak {

using platform::Message;
using platform::MessageType;

namespace {

// Octets of a flood that are written together, and the pause before the next ones. The stand-ins share a thread, so
// that a flood without pauses would delay them.
constexpr std::size_t kFloodChunkOctets = 64 << 10;
constexpr TimeUs kFloodPause = 5'000;
constexpr int kCauseNormal = 16;
constexpr std::size_t kLargeDescriptionOctets = 15'000;
constexpr int kLargeSetUps = 60, kPendingSetUps = 8;
// Time that a leaving client gives its pending set-ups.
constexpr TimeUs kPendingTime = 3'000;
// Latest time at which ids come again, and how long the client then stays.
constexpr TimeUs kMaxReturnDelay = 400'000, kSecondStay = 1'000'000;
// Clients that write slowly, together almost as many as a softswitch accepts, and how they write.
constexpr int kSlowWriterCount = 140;
constexpr std::size_t kLargeMessageOctets = 16'000, kSlowPieceOctets = 700;
constexpr TimeUs kSlowPieceInterval = 50'000;
// The hosts of these clients have no other calls.
constexpr std::uint32_t kFloodHost = 41, kLeaverHost = 42, kSlowHost = 43;

}  // namespace

ClientStandIn::BadClientConnection* ClientStandIn::AddBadClient() {
  bad_clients_.push_back(std::make_unique<BadClientConnection>());
  bad_clients_.back()->timer = std::make_unique<core::Timer>(runtime_);
  return bad_clients_.back().get();
}

ClientStandIn::BadClientConnection* ClientStandIn::ConnectJudgedClient(
    std::uint32_t host, const std::function<void(BadClientConnection*)>& on_open) {
  BadClientConnection* const bad = AddBadClient();
  bad->number = next_bad_client_++;
  const auto served = [this, bad] {
    if (!std::exchange(bad->served, true)) LogEvent(EventKind::kBadClientServed, 0, "", bad->number);
  };
  bad->client = std::make_unique<LineClient>(context_, hosts_from_ + host, softswitch_address_,
                                             LineClientHandlers{.on_open =
                                                                    [this, bad, on_open] {
                                                                      LogEvent(EventKind::kBadClientConnected, 0, "",
                                                                               bad->number);
                                                                      if (on_open) on_open(bad);
                                                                    },
                                                                .on_line = [served](std::string_view) { served(); },
                                                                .on_end =
                                                                    [served, bad](ConnectionEnd end) {
                                                                      if (end != ConnectionEnd::kRefused) served();
                                                                      bad->closed = true;
                                                                    },
                                                                .on_written =
                                                                    [bad] {
                                                                      if (bad->on_written) bad->on_written();
                                                                    }});
  return bad;
}

std::string ClientStandIn::FloodRequest(FloodKind kind) {
  Message message{.type = MessageType::kSetUp, .id = NewId()};
  switch (kind) {
    case FloodKind::kUnsoundSetUps:
    case FloodKind::kLargeSetUps:
      message.fields = {{"class", "none"}, {"left", "500"}, {"extras", "dest:0;width:1;via:-1"}};
      message.description = std::string(kind == FloodKind::kLargeSetUps ? kLargeDescriptionOctets : 10, 'x');
      break;
    case FloodKind::kReleases:
      message.type = MessageType::kRelease;
      message.cause = kCauseNormal;
      break;
    case FloodKind::kUnknownAnnouncements:
      message.fields = {{"class", traits_.classes[0]}, {"extras", "dest:0;width:1;via:-1;at:s-" + NewId()}};
      message.description = "again";
      break;
    case FloodKind::kHeartbeats:
      message.type = MessageType::kHeartbeat;
      message.cause = 0;
      break;
  }
  return platform::WriteMessage(message);
}

void ClientStandIn::ReplaceIds(std::string* requests) {
  constexpr std::string_view kIdField = "\"ref\":\"";
  for (auto at = requests->find(kIdField); at != std::string::npos; at = requests->find(kIdField, at)) {
    at += kIdField.size();
    const std::string id = NewId();
    requests->replace(at, id.size(), id);
  }
}

void ClientStandIn::WriteFlood(BadClientConnection* bad, FloodKind kind, TimeUs until) {
  if (bad->closed) return;
  if (runtime_->Now() >= until) {
    bad->closed = true;
    return bad->client.reset();
  }
  // Later chunks differ in the ids only, as the stand-ins have to keep time while a flood lasts.
  if (bad->flood_chunk.empty()) {
    while (bad->flood_chunk.size() < kFloodChunkOctets) bad->flood_chunk += FloodRequest(kind);
  } else {
    ReplaceIds(&bad->flood_chunk);
  }
  bad->client->Write(bad->flood_chunk);
}

void ClientStandIn::StartFlood(FloodKind kind, TimeUs duration) {
  const TimeUs until = runtime_->Now() + duration;
  BadClientConnection* const bad = ConnectJudgedClient(
      kFloodHost, [this, kind, until](BadClientConnection* client) { WriteFlood(client, kind, until); });
  bad->on_written = [this, bad, kind, until] {
    bad->timer->Start(kFloodPause, [this, bad, kind, until] { WriteFlood(bad, kind, until); });
  };
}

void ClientStandIn::WritePiece(BadClientConnection* bad, std::shared_ptr<std::string> message) {
  if (bad->closed || message->empty()) return;
  bad->client->Write(message->substr(0, kSlowPieceOctets));
  message->erase(0, kSlowPieceOctets);
  bad->timer->Start(kSlowPieceInterval, [this, bad, message = std::move(message)] { WritePiece(bad, message); });
}

void ClientStandIn::ConnectSlowWriter(const std::string& message) {
  ConnectJudgedClient(kSlowHost, [this, message](BadClientConnection* client) {
    WritePiece(client, std::make_shared<std::string>(message));
  });
}

void ClientStandIn::ConnectSlowWriters() {
  std::string fields = "{\"t\":\"new\",\"ref\":\"" + NewId() + "\",\"f\":{\"a\":\"1\"";
  for (int i = 0; fields.size() < kLargeMessageOctets; ++i) fields += ",\"" + std::to_string(i) + "\":\"1\"";
  const std::string half = fields.substr(0, kLargeMessageOctets / 2);
  for (int i = 0; i < kSlowWriterCount; ++i) {
    constexpr int kContents = 3;
    ConnectSlowWriter(i % kContents == 0 ? fields + "}}\n" : i % kContents == 1 ? fields : half);
  }
}

std::string ClientStandIn::SetUpLine(const std::string& id, const std::string& description) {
  const int destination = static_cast<int>(random_() % static_cast<std::uint64_t>(destinations_));
  return platform::WriteMessage({.type = MessageType::kSetUp,
                                 .id = id,
                                 .fields = {{"class", traits_.classes[0]},
                                            {"left", std::to_string(traits_.caller_timeouts[0] / 1000)},
                                            {"extras", "dest:" + std::to_string(destination) + ";width:1;via:-1"}},
                                 .description = description});
}

void ClientStandIn::ReleaseAnsweredCall(LineClient* client, const std::string& id) {
  client->Write(platform::WriteMessage({.type = MessageType::kRelease, .id = id, .cause = kCauseNormal}));
}

void ClientStandIn::ConnectLeaver(const std::vector<std::string>& ids, const std::string& description, TimeUs stay,
                                  std::function<void(const std::vector<std::string>& unanswered)> left) {
  BadClientConnection* const leaver = AddBadClient();
  const std::uint32_t host = hosts_from_ + kLeaverHost;
  auto unanswered = std::make_shared<std::set<std::string>>(ids.begin(), ids.end());
  const auto leave = [this, leaver, host, unanswered, left = std::move(left)] {
    for (const std::string& id : *unanswered) LogEvent(EventKind::kSetUpCancelled, host, id);
    leaver->closed = true;
    leaver->client.reset();
    if (left) left({unanswered->begin(), unanswered->end()});
  };
  const auto on_line = [this, leaver, host, unanswered](std::string_view line) {
    const auto message = platform::ParseMessage(line);
    if (!message || unanswered->erase(message->id) == 0) return;
    if (message->type != MessageType::kAnswer)
      return LogEvent(EventKind::kReleaseReceived, host, message->id, message->cause.value_or(0));
    LogEvent(EventKind::kAnswerReceived, host, message->id, 0, message->description.value_or(""));
    // It would not be there to read the release of an established call.
    ReleaseAnsweredCall(leaver->client.get(), message->id);
    LogEvent(EventKind::kReleaseSent, host, message->id);
  };
  leaver->client = std::make_unique<LineClient>(
      context_, host, softswitch_address_,
      LineClientHandlers{.on_open = nullptr,
                         .on_line = on_line,
                         .on_end = [leaver](ConnectionEnd) { leaver->closed = true; },
                         .on_written = [leaver, leave, stay] { leaver->timer->Start(stay, leave); }});
  for (const std::string& id : ids) {
    LogEvent(EventKind::kSetUpSent, host, id, static_cast<std::int64_t>(traits_.caller_timeouts[0]));
    leaver->client->Write(SetUpLine(id, description));
  }
}

void ClientStandIn::SendAgain(const std::vector<std::string>& ids) {
  BadClientConnection* const second = AddBadClient();
  const auto on_line = [second](std::string_view line) {
    const auto message = platform::ParseMessage(line);
    if (message && message->type == MessageType::kAnswer) ReleaseAnsweredCall(second->client.get(), message->id);
  };
  second->client = std::make_unique<LineClient>(
      context_, hosts_from_ + kLeaverHost, softswitch_address_,
      LineClientHandlers{
          .on_open = nullptr, .on_line = on_line, .on_end = [second](ConnectionEnd) { second->closed = true; }});
  for (const std::string& id : ids) {
    LogEvent(EventKind::kSetUpSentAgain, hosts_from_ + kLeaverHost, id);
    second->client->Write(SetUpLine(id, "again " + id));
  }
  second->timer->Start(kSecondStay, [second] {
    second->closed = true;
    second->client.reset();
  });
}

void ClientStandIn::LeaveWithSetUps() {
  std::vector<std::string> large, pending;
  for (int i = 0; i < kLargeSetUps; ++i) large.push_back(NewId());
  for (int i = 0; i < kPendingSetUps; ++i) pending.push_back(NewId());
  ConnectLeaver(large, std::string(kLargeDescriptionOctets, 'x'), 0, nullptr);
  ConnectLeaver(pending, "offer", kPendingTime, [this](const std::vector<std::string>& unanswered) {
    runtime_->StartTimer(random_() % kMaxReturnDelay, [this, unanswered] { SendAgain(unanswered); });
  });
}

}  // namespace croftrun::lab::soak
