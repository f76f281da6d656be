// State of one API client, independent of the connection it uses: its calls, the replies it may request again, and the
// events it has not acknowledged. Makes decisions only; every container is bounded; no I/O, no clock.
#ifndef CROFTRUN_WS_SESSION_H_
#define CROFTRUN_WS_SESSION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/token_bucket.h"
#include "ws/api.h"

namespace croftrun::ws {

struct SessionSettings {
  std::size_t max_stored_replies = 256;  // for commands that are repeated
  std::size_t max_calls = 64;            // open at once
  admission::TokenBucketSettings command_limit = {50.0, 100.0};
};

class Session {
 public:
  explicit Session(const SessionSettings& settings) : settings_(settings) {
    command_bucket_.tokens = settings.command_limit.burst;
  }

  // Counts a command against the rate limit. Returns false if the limit is exceeded.
  bool TryConsumeCommand(TimeUs now) { return command_bucket_.TryConsume(settings_.command_limit, now); }

  // Returns the reply to an earlier command with this id, or null if none is stored.
  const std::string* FindReply(const std::string& id) const {
    const auto found = replies_.find(id);
    return found == replies_.end() ? nullptr : &found->second;
  }
  void StoreReply(const std::string& id, std::string reply) {
    if (!replies_.emplace(id, std::move(reply)).second) return;
    reply_order_.push_back(id);
    if (reply_order_.size() <= settings_.max_stored_replies) return;
    replies_.erase(reply_order_.front());
    reply_order_.pop_front();
  }

  // ---- calls ----
  bool CanPlaceCall() const { return calls_.size() < settings_.max_calls; }
  void AddCall(CallId call) { calls_.insert(call); }
  void RemoveCall(CallId call) { calls_.erase(call); }
  bool HasCall(CallId call) const { return calls_.count(call) > 0; }
  const std::set<CallId>& calls() const { return calls_; }

  // ---- events of calls, stored until acknowledged ----
  // Each call has two events at most, its answer and its end, so the number of calls bounds the number of events. For a
  // client that never acknowledges, `max_unacknowledged` events are stored; the oldest delivered ones are dropped
  // first.
  std::size_t max_unacknowledged() const { return 4 * settings_.max_calls; }
  // Numbers and stores the event and returns its text. `delivered`: it is sent on a connection now.
  const std::string& AddEvent(std::string_view event, nlohmann::json fields, bool delivered) {
    unacknowledged_.push_back({++sequence_, EventText(sequence_, event, std::move(fields)), delivered});
    while (unacknowledged_.size() > max_unacknowledged() && unacknowledged_.front().delivered)
      unacknowledged_.pop_front();
    return unacknowledged_.back().text;
  }
  // True if more events than may be stored arrived while no connection was there to deliver them.
  bool HasOverflowed() const { return unacknowledged_.size() > max_unacknowledged(); }
  // Drops the events up to and including this sequence number.
  void Acknowledge(std::uint64_t last_received) {
    while (!unacknowledged_.empty() && unacknowledged_.front().sequence <= last_received) unacknowledged_.pop_front();
  }
  // Returns the events after `last_received` in order, to be sent to a client that resumes, and marks them delivered.
  std::vector<std::string> EventsAfter(std::uint64_t last_received) {
    Acknowledge(last_received);
    std::vector<std::string> texts;
    for (Event& event : unacknowledged_) {
      texts.push_back(event.text);
      event.delivered = true;
    }
    return texts;
  }
  std::uint64_t sequence() const { return sequence_; }
  std::size_t unacknowledged() const { return unacknowledged_.size(); }

 private:
  struct Event {
    std::uint64_t sequence = 0;
    std::string text;
    bool delivered = false;
  };
  SessionSettings settings_;
  admission::TokenBucket command_bucket_;
  std::unordered_map<std::string, std::string> replies_;
  std::deque<std::string> reply_order_;
  std::set<CallId> calls_;
  std::deque<Event> unacknowledged_;
  std::uint64_t sequence_ = 0;
};

}  // namespace croftrun::ws

#endif  // CROFTRUN_WS_SESSION_H_
