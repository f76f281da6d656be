// What a client of the API has here, whichever connection it comes by: its calls, the replies it may ask for
// again, and the events it has not confirmed. Decisions only; bounded in every direction; no I/O, no clock.
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
  std::size_t most_requests = 256;  // replies remembered, for commands that come again
  std::size_t most_calls = 64;      // open at once
  admission::TokenBucketSettings commands = {50.0, 100.0};
};

class Session {
 public:
  explicit Session(const SessionSettings& settings) : settings_(settings) {
    commands_.tokens = settings.commands.burst;
  }

  // A command within the rate; false: too many.
  bool Within(TimeUs now) { return commands_.TryConsume(settings_.commands, now); }

  // The reply to a command of this id, if it was carried out before.
  const std::string* Known(const std::string& id) const {
    const auto found = replies_.find(id);
    return found == replies_.end() ? nullptr : &found->second;
  }
  void Remember(const std::string& id, std::string reply) {
    if (!replies_.emplace(id, std::move(reply)).second) return;
    order_.push_back(id);
    if (order_.size() <= settings_.most_requests) return;
    replies_.erase(order_.front());
    order_.pop_front();
  }

  // ---- calls ----
  bool MayPlace() const { return calls_.size() < settings_.most_calls; }
  void Open(CallId call) { calls_.insert(call); }
  void Close(CallId call) { calls_.erase(call); }
  bool Holds(CallId call) const { return calls_.count(call) > 0; }
  const std::set<CallId>& calls() const { return calls_; }

  // ---- events of calls: kept until confirmed ----
  // Two for each call at most, its answer and its end, so what is kept follows from the calls; a client that
  // never confirms keeps `most_kept` of them, the oldest delivered ones go first.
  std::size_t most_kept() const { return 4 * settings_.most_calls; }
  // Numbers the event, keeps it, and returns its text. `delivered`: a connection takes it now.
  const std::string& Tell(std::string_view event, nlohmann::json figures, bool delivered) {
    kept_.push_back({++sequence_, EventText(sequence_, event, std::move(figures)), delivered});
    while (kept_.size() > most_kept() && kept_.front().delivered) kept_.pop_front();
    return kept_.back().text;
  }
  // More than may be kept came while nobody was there to take it.
  bool Overrun() const { return kept_.size() > most_kept(); }
  void Confirm(std::uint64_t have) {
    while (!kept_.empty() && kept_.front().sequence <= have) kept_.pop_front();
  }
  // What a client that came back has not seen, in order; each is told once on that connection.
  std::vector<std::string> Missed(std::uint64_t have) {
    Confirm(have);
    std::vector<std::string> missed;
    for (Kept& kept : kept_) {
      missed.push_back(kept.text);
      kept.delivered = true;
    }
    return missed;
  }
  std::uint64_t sequence() const { return sequence_; }
  std::size_t kept() const { return kept_.size(); }

 private:
  struct Kept {
    std::uint64_t sequence = 0;
    std::string text;
    bool delivered = false;
  };
  SessionSettings settings_;
  admission::TokenBucket commands_;
  std::unordered_map<std::string, std::string> replies_;
  std::deque<std::string> order_;
  std::set<CallId> calls_;
  std::deque<Kept> kept_;
  std::uint64_t sequence_ = 0;
};

}  // namespace croftrun::ws

#endif  // CROFTRUN_WS_SESSION_H_
