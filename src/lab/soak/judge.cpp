#include "lab/soak/judge.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace croftrun::lab::soak {
namespace {

// Every time limit on sockets is this much longer.
constexpr TimeUs kSlack = 50'000;
// An answer is lost when it comes later than this after the client's time; until then it earns nothing.
constexpr TimeUs kLateAnswer = 500'000;
constexpr TimeUs kTellReleased = 1'000'000, kTellUnsent = 8'000'000;
constexpr TimeUs kClientGone = 100'000;
constexpr TimeUs kBadClientServed = 3'000'000;
constexpr TimeUs kReadyWithin = 10'000'000;
// Requests that came later than this after SIGTERM have to be answered by the kill as well.
constexpr TimeUs kTakenAfterTerminate = 700'000;
// A change counts as told at the latest this long after discovery had it and could be reached.
constexpr TimeUs kToldLatest = 6'000'000;
// A client's connection that lasts less was no chance to tell an end.
constexpr TimeUs kBriefConnection = 300'000;
// What crosses the kill or the exit of a process by less than this is nobody's.
constexpr TimeUs kCrossing = 60'000;

constexpr std::array<std::string_view, kRules> kNames{
    "final answer", "end of standing calls", "one attempt", "drain",  "release time", "client gone", "bad clients",
    "shutdown",     "needless cut",          "restarts",    "limits", "cold start"};

std::string Milliseconds(TimeUs time) { return std::to_string(time / 1000) + " ms"; }

struct Attempt {
  TimeUs arrived = 0;
  int exchange = -1;
  std::optional<TimeUs> over;  // answered, refused, given up or reset
  bool release_wait = false;   // it was given up or reset
};

struct CallHistory {
  int softswitch = -1;
  std::uint32_t host = 0;
  std::optional<TimeUs> sent, cancelled, answered, released, closed_under, released_by_client, ended, unsent,
      released_there, announced;
  TimeUs wait = 0;
  bool answered_there = false;
  std::string description, closed_how;
  int answers = 0, releases = 0;
  std::vector<Attempt> attempts;
  std::set<std::string> made;  // descriptions that exchanges gave
};

struct Interval {
  TimeUs from = 0, to = ~TimeUs{0};
};

struct Process {
  std::vector<Interval> runs;
  std::vector<std::pair<TimeUs, TimeUs>> terminated;  // SIGTERM, and the kill at the earliest
  std::vector<TimeUs> killed;
};

class Judgement {
 public:
  Judgement(const std::vector<TrafficEvent>& events, const JudgeSettings& settings)
      : events_(events), settings_(settings) {
    if (!events.empty()) end_ = events.back().at;
    for (const TrafficEvent& event : events) Collect(event);
  }

  Verdict Give() {
    for (const auto& [id, call] : calls_) {
      CheckAnswer(id, call);
      CheckStandingEnd(id, call);
      CheckAttempts(id, call);
    }
    CheckDrains();
    CheckProcesses();
    CheckBadClients();
    const ColdStartVerdict cold = CheckColdStarts(events_, settings_.cold_start);
    verdict_.checked[static_cast<std::size_t>(Rule::kColdStart)] = cold.checked;
    for (const ColdStartFall& fall : cold.falls)
      Broken(Rule::kColdStart, fall.at, "", "exchange " + std::to_string(fall.exchange) + ": " + fall.text);
    std::sort(verdict_.findings.begin(), verdict_.findings.end(),
              [](const Finding& a, const Finding& b) { return std::tie(a.at, a.call) < std::tie(b.at, b.call); });
    return std::move(verdict_);
  }

 private:
  void Collect(const TrafficEvent& event);
  void CollectCall(const TrafficEvent& event, CallHistory& call);
  // Processes and discovery.
  void CollectFleet(const TrafficEvent& event);
  void CollectAttempt(const TrafficEvent& event, CallHistory& call);
  void CheckAnswer(const std::string& id, const CallHistory& call);
  void CheckStandingEnd(const std::string& id, const CallHistory& call);
  void CheckAttempts(const std::string& id, const CallHistory& call);
  void CheckDrains();
  void CheckProcesses();
  void CheckBadClients();

  void Broken(Rule rule, TimeUs at, const std::string& call, const std::string& text) {
    verdict_.findings.push_back({rule, at, call, text});
  }
  void Checked(Rule rule) { ++verdict_.checked[static_cast<std::size_t>(rule)]; }
  // The process of this softswitch that ran at `at` was killed, or ended, in this time: the moment of it.
  std::optional<TimeUs> GoneWithin(int softswitch, TimeUs from, TimeUs to) const {
    const auto found = processes_.find(softswitch);
    if (found == processes_.end()) return std::nullopt;
    for (const Interval& run : found->second.runs) {
      if (run.to >= from && run.to <= to) return run.to;
    }
    return std::nullopt;
  }
  // SIGTERM of the process that was killed at `killed`, if it was one by plan.
  std::optional<TimeUs> TerminatedBefore(int softswitch, TimeUs killed) const {
    const auto found = processes_.find(softswitch);
    if (found == processes_.end()) return std::nullopt;
    std::optional<TimeUs> last;
    for (const auto& [at, kill] : found->second.terminated) {
      if (at <= killed && killed <= kill + 1'000'000) last = at;
    }
    return last;
  }
  // When the caller could be told from `from` on: it had a connection that lasted, or got one.
  std::optional<TimeUs> Reachable(int softswitch, std::uint32_t host, TimeUs from, TimeUs deadline) const;
  // A drain of this exchange counts as told to this softswitch; nothing: never.
  std::optional<TimeUs> ToldOfDrain(int softswitch, TimeUs listed, std::optional<TimeUs> written) const;

  const std::vector<TrafficEvent>& events_;
  JudgeSettings settings_;
  TimeUs end_ = 0;
  std::map<std::string, CallHistory> calls_;
  std::map<int, Process> processes_;
  std::map<std::pair<int, std::uint32_t>, std::vector<Interval>> connections_;  // of clients, by softswitch and host
  std::map<int, std::vector<Interval>> discovery_away_;
  std::map<std::pair<int, int>, TimeUs> drain_listed_, drain_written_;  // by softswitch and exchange
  std::map<std::pair<int, std::int64_t>, TimeUs> bad_came_, bad_served_;
  Verdict verdict_;
};

void Judgement::CollectAttempt(const TrafficEvent& event, CallHistory& call) {
  const auto end = [&](bool release_wait) {
    for (auto attempt = call.attempts.rbegin(); attempt != call.attempts.rend(); ++attempt) {
      if (attempt->exchange != event.exchange || attempt->over) continue;
      attempt->over = event.at;
      attempt->release_wait = release_wait;
      return;
    }
  };
  switch (event.kind) {
    case EventKind::kAttemptArrived:
      // It was sent so much earlier than it arrived.
      call.attempts.push_back(
          {event.at - std::min(event.at, static_cast<TimeUs>(event.value)), event.exchange, {}, false});
      break;
    case EventKind::kAttemptAnswered:
      call.answered_there = true;
      call.made.insert("exchange " + std::to_string(event.exchange) + " call " + event.call);
      end(false);
      break;
    case EventKind::kAttemptRefused:
      end(false);
      break;
    default:
      end(true);
      break;
  }
}

void Judgement::CollectFleet(const TrafficEvent& event) {
  Process& process = processes_[event.softswitch];
  switch (event.kind) {
    case EventKind::kStarted:
      process.runs.push_back({event.at, ~TimeUs{0}});
      break;
    case EventKind::kTerminateSent:
      process.terminated.emplace_back(event.at, event.at + static_cast<TimeUs>(event.value));
      break;
    case EventKind::kKilled:
    case EventKind::kExited:
      if (!process.runs.empty()) process.runs.back().to = event.at;
      if (event.kind == EventKind::kKilled) process.killed.push_back(event.at);
      // All connections of its clients end with it.
      for (auto& [key, open] : connections_) {
        if (key.first != event.softswitch) continue;
        for (Interval& connection : open) connection.to = std::min(connection.to, event.at);
      }
      break;
    case EventKind::kDrainListed:
      drain_listed_.try_emplace({event.softswitch, event.exchange}, event.at);
      break;
    case EventKind::kDrainWritten:
      drain_written_.try_emplace({event.softswitch, event.exchange}, event.at);
      break;
    case EventKind::kDiscoveryAway:
      discovery_away_[event.softswitch].push_back({event.at, ~TimeUs{0}});
      break;
    case EventKind::kDiscoveryBack:
      if (!discovery_away_[event.softswitch].empty()) discovery_away_[event.softswitch].back().to = event.at;
      break;
    default:
      break;
  }
}

void Judgement::CollectCall(const TrafficEvent& event, CallHistory& call) {
  const auto first = [&event](std::optional<TimeUs>& time) {
    if (!time) time = event.at;
  };
  switch (event.kind) {
    case EventKind::kSetUpSent:
      call.sent = event.at;
      call.wait = static_cast<TimeUs>(event.value);
      call.host = event.host;
      break;
    case EventKind::kSetUpCancelled:
      first(call.cancelled);
      break;
    case EventKind::kAnswerRead:
      ++call.answers;
      first(call.answered);
      call.description = event.text;
      break;
    case EventKind::kReleaseRead:
      call.releases += event.text.empty() ? 1 : 0;
      first(call.released);
      break;
    case EventKind::kReleaseSent:
      first(call.released_by_client);
      break;
    case EventKind::kCallAnnounced:
      call.announced = event.at;
      break;
    case EventKind::kClosedOnSetUp:
      first(call.closed_under);
      call.closed_how = event.text;
      break;
    case EventKind::kAttemptArrived:
    case EventKind::kAttemptAnswered:
    case EventKind::kAttemptRefused:
    case EventKind::kAttemptGivenUp:
    case EventKind::kAttemptReset:
      CollectAttempt(event, call);
      break;
    case EventKind::kCallEnded:
      first(call.ended);
      break;
    case EventKind::kCallEndedUnsent:
      first(call.unsent);
      break;
    case EventKind::kCallReleased:
      first(call.released_there);
      break;
    default:
      break;
  }
}

void Judgement::Collect(const TrafficEvent& event) {
  if (!event.call.empty()) {
    CallHistory& call = calls_[event.call];
    if (call.softswitch < 0) call.softswitch = event.softswitch;
    return CollectCall(event, call);
  }
  switch (event.kind) {
    case EventKind::kClientConnected:
      connections_[{event.softswitch, event.host}].push_back({event.at, ~TimeUs{0}});
      break;
    case EventKind::kClientClosed:
      // The oldest that is open: which one it was is not told apart, and need not be.
      for (Interval& open : connections_[{event.softswitch, event.host}]) {
        if (open.to != ~TimeUs{0}) continue;
        open.to = event.at;
        break;
      }
      break;
    case EventKind::kStarted:
    case EventKind::kTerminateSent:
    case EventKind::kKilled:
    case EventKind::kExited:
    case EventKind::kDrainListed:
    case EventKind::kDrainWritten:
    case EventKind::kDiscoveryAway:
    case EventKind::kDiscoveryBack:
      CollectFleet(event);
      break;
    case EventKind::kBadClientCame:
      bad_came_[{event.softswitch, event.value}] = event.at;
      break;
    case EventKind::kBadClientServed:
      bad_served_[{event.softswitch, event.value}] = event.at;
      break;
    case EventKind::kUnreadable:
      Broken(Rule::kFinalAnswer, event.at, "", "a client read what is no message: " + event.text);
      break;
    case EventKind::kConnectionOpened:
      ++verdict_.connections;
      break;
    case EventKind::kProbeArrived:
      ++verdict_.probes;
      break;
    case EventKind::kLimits:
      Checked(Rule::kLimits);
      if (event.value > settings_.most_descriptors)
        Broken(Rule::kLimits, event.at, "",
               "n" + std::to_string(event.softswitch) + " holds " + std::to_string(event.value) + " descriptors");
      if (event.exchange > settings_.most_megabytes)
        Broken(Rule::kLimits, event.at, "",
               "n" + std::to_string(event.softswitch) + " holds " + std::to_string(event.exchange) + " MB");
      break;
    default:
      break;
  }
}

void Judgement::CheckAnswer(const std::string& id, const CallHistory& call) {
  if (!call.sent) return;
  ++verdict_.offered;
  Checked(Rule::kFinalAnswer);
  if (const auto process = processes_.find(call.softswitch); process != processes_.end()) {
    for (const auto& [at, kill] : process->second.terminated) {
      if (*call.sent >= at && *call.sent <= kill) Checked(Rule::kShutdown);
    }
  }
  if (call.answered) {
    ++verdict_.answered;
    if (call.made.count(call.description) == 0)
      Broken(Rule::kFinalAnswer, *call.answered, id, "served with what no exchange made: " + call.description);
  }
  if (call.answers > 1)
    Broken(Rule::kFinalAnswer, *call.answered, id, "answered " + std::to_string(call.answers) + " times");
  if (call.releases > 1)
    Broken(Rule::kFinalAnswer, *call.released, id, "released " + std::to_string(call.releases) + " times");
  if (call.answered && call.released && *call.released < *call.answered)
    Broken(Rule::kFinalAnswer, *call.answered, id, "answered after its release");
  const std::optional<TimeUs> final = call.answered && call.released ? std::min(*call.answered, *call.released)
                                      : call.answered                ? call.answered
                                                                     : call.released;
  const TimeUs due = *call.sent + call.wait + kLateAnswer + kSlack;
  if (call.cancelled && !call.answered && *call.cancelled <= due) return;  // nothing is owed, whatever crossed it
  if (final) {
    if (*final > due) Broken(Rule::kFinalAnswer, *final, id, "answered " + Milliseconds(*final - due) + " late");
    return;
  }
  const auto gone = GoneWithin(call.softswitch, *call.sent > kCrossing ? *call.sent - kCrossing : 0, due);
  if (!gone) {
    if (call.closed_under)
      return Broken(Rule::kFinalAnswer, *call.closed_under, id,
                    "its connection ended without an answer (" + call.closed_how + ")");
    if (due <= end_) Broken(Rule::kFinalAnswer, due, id, "no answer in time");
    return;
  }
  const auto terminated = TerminatedBefore(call.softswitch, *gone);
  if (!terminated) return;  // killed outright: nothing is owed
  // What reached the kernel of a process that was just ending was never taken.
  if (*call.sent + kCrossing >= *gone) return;
  if (call.closed_under && *call.closed_under < *gone)
    return Broken(Rule::kShutdown, *call.closed_under, id,
                  "sent " + Milliseconds(*call.sent - std::min(*call.sent, *terminated)) +
                      " after SIGTERM, its connection ended without an answer (" + call.closed_how + ")");
  Broken(Rule::kShutdown, *gone, id,
         "sent " + Milliseconds(*call.sent - std::min(*call.sent, *terminated)) +
             " after SIGTERM, unanswered at the kill" +
             (*call.sent > *terminated + kTakenAfterTerminate ? " (came late)" : ""));
}

std::optional<TimeUs> Judgement::Reachable(int softswitch, std::uint32_t host, TimeUs from, TimeUs deadline) const {
  const auto found = connections_.find({softswitch, host});
  if (found == connections_.end()) return std::nullopt;
  std::optional<TimeUs> first;
  for (const Interval& open : found->second) {
    if (open.to < from || open.to - open.from < kBriefConnection) continue;
    // It has to have been there for long enough to be told on.
    const TimeUs since = std::max(open.from, from);
    if (open.to < std::max(since, std::min(deadline, since + kTellReleased))) continue;
    if (!first || since < *first) first = since;
  }
  return first;
}

void Judgement::CheckStandingEnd(const std::string& id, const CallHistory& call) {
  if (!call.answered || call.released_by_client) return;
  if (call.cancelled && *call.cancelled <= *call.answered)
    return;  // the answer crossed the client's word that it gives up
  // Over by the exchange, by no word at all, or by the softswitch.
  std::optional<TimeUs> due, over;
  if (call.unsent) {
    over = call.unsent;
    due = *call.unsent + kTellUnsent;
  }
  if (call.ended) {
    if (!over) over = call.ended;
    due = std::min(due.value_or(~TimeUs{0}), *call.ended + kTellReleased);
  }
  if (call.released_there && !over) {
    over = call.released_there;
    due = *call.released_there + kTellReleased;
    ++verdict_.needless_cuts;
    Checked(Rule::kNeedlessCut);
    if (!settings_.cuts_may_be_needed)
      Broken(Rule::kNeedlessCut, *call.released_there, id,
             "cut by the softswitch though it stood at exchange " +
                 std::to_string(call.attempts.empty() ? -1 : call.attempts.back().exchange));
  } else {
    Checked(Rule::kNeedlessCut);
  }
  if (!over) return;
  TimeUs limit = *due + kSlack;
  if (call.released && *call.released <= limit) return Checked(Rule::kStandingEnd);
  // A process that ended meanwhile: the call is announced to the next one, which has to tell its end then.
  if (const auto gone = GoneWithin(call.softswitch, *call.answered, limit)) {
    if (!call.announced || *call.announced < *gone) return;
    if (!settings_.reports && *over < *call.announced) return;
    limit = std::max(limit, std::max(*call.announced, *over) + (call.ended ? kTellReleased : kTellUnsent) + kSlack);
  }
  // Its caller has to be there when it is told: at the latest moment, or as soon as it is there again.
  const TimeUs last_second = limit - std::min(limit, kTellReleased + kSlack);
  const auto reachable = Reachable(call.softswitch, call.host, std::max(*over, last_second), limit);
  if (!reachable) return;
  // The release came to a process that ended before the caller was there again: nobody knows it any more.
  if (call.ended && GoneWithin(call.softswitch, *call.ended, *reachable)) return;
  limit = std::max(limit, *reachable + kTellReleased + kSlack);
  if (limit > end_) return;
  Checked(Rule::kStandingEnd);
  if (call.released && *call.released <= limit) return;
  const std::string why = call.unsent  ? "over without a word"
                          : call.ended ? "released by the exchange"
                                       : "released by the softswitch";
  Broken(Rule::kStandingEnd, limit, id,
         why + " " + Milliseconds(limit - *over) + " before, and its caller was " +
             (call.released ? "told " + Milliseconds(*call.released - limit) + " late" : std::string("not told")));
}

void Judgement::CheckAttempts(const std::string& id, const CallHistory& call) {
  for (std::size_t i = 0; i < call.attempts.size(); ++i) {
    const Attempt& attempt = call.attempts[i];
    const std::optional<TimeUs> left = call.cancelled;
    if (left) {
      Checked(Rule::kClientGone);
      if (attempt.arrived > *left + kClientGone + kSlack)
        Broken(Rule::kClientGone, attempt.arrived, id,
               "attempt " + Milliseconds(attempt.arrived - *left) + " after its client left");
    }
    if (i == 0) continue;
    const Attempt& before = call.attempts[i - 1];
    Checked(Rule::kOneAttempt);
    if (!before.over || *before.over > attempt.arrived + kSlack)
      Broken(Rule::kOneAttempt, attempt.arrived, id,
             "sent to exchange " + std::to_string(attempt.exchange) + " while it is out at exchange " +
                 std::to_string(before.exchange));
    if (!before.over || !before.release_wait) continue;
    Checked(Rule::kReleaseTime);
    if (attempt.arrived + kSlack < *before.over + settings_.release_us)
      Broken(Rule::kReleaseTime, attempt.arrived, id,
             "sent again " + Milliseconds(attempt.arrived - std::min(attempt.arrived, *before.over)) +
                 " after it was given up or reset");
  }
}

std::optional<TimeUs> Judgement::ToldOfDrain(int softswitch, TimeUs listed, std::optional<TimeUs> written) const {
  TimeUs reachable = listed;
  if (const auto away = discovery_away_.find(softswitch); away != discovery_away_.end()) {
    for (const Interval& gap : away->second) {
      if (gap.from <= reachable + kToldLatest && gap.to > reachable) reachable = gap.to;
    }
  }
  std::optional<TimeUs> told = written;
  if (reachable != ~TimeUs{0}) told = std::min(told.value_or(~TimeUs{0}), reachable + kToldLatest);
  return told;
}

void Judgement::CheckDrains() {
  for (const auto& [id, call] : calls_) {
    for (const Attempt& attempt : call.attempts) {
      const std::pair<int, int> key{call.softswitch, attempt.exchange};
      const auto listed = drain_listed_.find(key);
      if (listed == drain_listed_.end()) continue;
      const auto written = drain_written_.find(key);
      const auto told =
          ToldOfDrain(call.softswitch, listed->second,
                      written == drain_written_.end() ? std::nullopt : std::optional<TimeUs>(written->second));
      if (!told) continue;
      Checked(Rule::kDrain);
      if (attempt.arrived > *told + settings_.drain_grace_us + kSlack)
        Broken(Rule::kDrain, attempt.arrived, id,
               "sent to exchange " + std::to_string(attempt.exchange) + " " + Milliseconds(attempt.arrived - *told) +
                   " after n" + std::to_string(call.softswitch) + " was told that it drains or is gone");
    }
  }
}

void Judgement::CheckProcesses() {
  std::map<int, TimeUs> started;
  for (const TrafficEvent& event : events_) {
    if (event.kind == EventKind::kStarted) started[event.softswitch] = event.at;
    if (event.kind == EventKind::kReady && started.count(event.softswitch) > 0) {
      Checked(Rule::kRestart);
      const TimeUs took = event.at - started[event.softswitch];
      started.erase(event.softswitch);
      if (took > kReadyWithin)
        Broken(Rule::kRestart, event.at, "",
               "n" + std::to_string(event.softswitch) + " ready after " + Milliseconds(took));
    }
    if (event.kind == EventKind::kKilled) started.erase(event.softswitch);
    if (event.kind == EventKind::kExited) {
      started.erase(event.softswitch);
      if (event.value != 0 || !TerminatedBefore(event.softswitch, event.at))
        Broken(Rule::kRestart, event.at, "",
               "n" + std::to_string(event.softswitch) + " ended by itself with " + std::to_string(event.value));
    }
  }
  for (const auto& [softswitch, at] : started) {
    if (at + kReadyWithin < end_)
      Broken(Rule::kRestart, at + kReadyWithin, "", "n" + std::to_string(softswitch) + " not ready in time");
  }
}

void Judgement::CheckBadClients() {
  for (const auto& [key, came] : bad_came_) {
    const TimeUs due = came + kBadClientServed + kSlack;
    const auto served = bad_served_.find(key);
    if (served != bad_served_.end() && served->second <= due) {
      Checked(Rule::kBadClient);
      continue;
    }
    if (due > end_ || GoneWithin(key.first, came, due)) continue;
    Checked(Rule::kBadClient);
    Broken(Rule::kBadClient, due, "",
           "bad client " + std::to_string(key.second) + " of n" + std::to_string(key.first) + " heard nothing");
  }
}

}  // namespace

std::string_view NameOf(Rule rule) { return kNames[static_cast<std::size_t>(rule)]; }

Verdict Judge(const std::vector<TrafficEvent>& events, const JudgeSettings& settings) {
  return Judgement(events, settings).Give();
}

}  // namespace croftrun::lab::soak
