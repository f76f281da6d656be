#include "lab/soak/judge.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace croftrun::lab::soak {
namespace {

// Added to every time limit, for delays of sockets and scheduling.
constexpr TimeUs kTimingTolerance = 50'000;
// An answer is accepted up to this time after the caller's time-out, although it has no value any more; a later one
// counts as missing.
constexpr TimeUs kMaxAnswerLateness = 500'000;
// The caller has to be notified of a call's end within these times: where the exchange sent a release, and where it
// could not.
constexpr TimeUs kReleaseReportTimeout = 1'000'000, kSilentEndReportTimeout = 8'000'000;
constexpr TimeUs kAbandonTimeout = 100'000;
constexpr TimeUs kBadClientTimeout = 3'000'000;
constexpr TimeUs kReadyTimeout = 10'000'000;
// A set-up that is sent later than this after SIGTERM must be answered before SIGKILL as well; its violation is marked.
constexpr TimeUs kLateRequestThreshold = 700'000;
// A softswitch has to know a change of the directory at the latest this long after discovery listed it and could be
// reached.
constexpr TimeUs kDirectoryUpdateTimeout = 6'000'000;
// A shorter client connection does not count as an opportunity to notify the client of a call's end.
constexpr TimeUs kMinConnectionTime = 300'000;
// A set-up that is sent within this time of the end of the process cannot be attributed to it.
constexpr TimeUs kProcessEndRaceTime = 60'000;

constexpr std::array<std::string_view, kCheckCount> kNames{
    "final answer", "end of standing calls", "one attempt", "drain",  "release time", "client gone", "bad clients",
    "shutdown",     "needless cut",          "restarts",    "limits", "cold start"};

std::string Milliseconds(TimeUs time) { return std::to_string(time / 1000) + " ms"; }

// The description in the answer of an exchange to this call.
std::string DescriptionOf(int exchange, const std::string& call) {
  return "exchange " + std::to_string(exchange) + " call " + call;
}

struct Attempt {
  TimeUs arrived = 0;
  int exchange = -1;
  std::optional<TimeUs> finished;   // answered, refused, abandoned or reset
  bool needs_resend_guard = false;  // it was abandoned or reset
};

struct CallHistory {
  int softswitch = -1;
  std::uint32_t host = 0;
  std::optional<TimeUs> sent, cancelled, answered, released, closed_before_answer, released_by_client, ended,
      released_at_exchange, announced, sent_again;
  TimeUs caller_timeout = 0;
  bool answered_at_exchange = false;
  std::vector<std::pair<int, TimeUs>> silent_ends;  // by exchange; an answer lost on its way may be followed by another
  std::string description, close_reason;
  int answers = 0, releases = 0;
  std::vector<Attempt> attempts;
  std::set<std::string> exchange_descriptions;  // from the exchanges' answers
};

struct Interval {
  TimeUs from = 0, to = ~TimeUs{0};
};

struct Process {
  std::vector<Interval> runs;
  std::vector<std::pair<TimeUs, TimeUs>> sigterms;  // time of SIGTERM, and earliest time of SIGKILL
  std::vector<TimeUs> killed;
};

class VerdictBuilder {
 public:
  VerdictBuilder(const std::vector<TrialEvent>& events, const JudgeSettings& settings)
      : events_(events), settings_(settings) {
    if (!events.empty()) log_end_ = events.back().at;
    for (const TrialEvent& event : events) Collect(event);
  }

  Verdict Build() {
    for (const auto& [id, call] : calls_) {
      CheckAnswer(id, call);
      CheckCallEnd(id, call, SilentEndOf(id, call));
      CheckAttempts(id, call);
    }
    CheckDrains();
    CheckProcesses();
    CheckBadClients();
    const ColdStartVerdict cold = CheckColdStarts(events_, settings_.cold_start);
    verdict_.checked[static_cast<std::size_t>(Check::kColdStart)] = cold.checked;
    for (const ColdStartViolation& violation : cold.violations)
      AddViolation(Check::kColdStart, violation.at, "",
                   "exchange " + std::to_string(violation.exchange) + ": " + violation.text);
    std::sort(verdict_.violations.begin(), verdict_.violations.end(),
              [](const Violation& a, const Violation& b) { return std::tie(a.at, a.call) < std::tie(b.at, b.call); });
    return std::move(verdict_);
  }

 private:
  void Collect(const TrialEvent& event);
  void CollectCall(const TrialEvent& event, CallHistory& call);
  // Collects the events of processes and discovery.
  void CollectProcessEvent(const TrialEvent& event);
  void CollectAttempt(const TrialEvent& event, CallHistory& call);
  void CheckAnswer(const std::string& id, const CallHistory& call);
  // Returns when the call ended without a release at the exchange whose answer its caller has received.
  static std::optional<TimeUs> SilentEndOf(const std::string& id, const CallHistory& call);
  void CheckCallEnd(const std::string& id, const CallHistory& call, std::optional<TimeUs> ended_silently);
  // The caller was told that its call is over, which has to be so at the exchange as well.
  void CheckReportedEnd(const std::string& id, const CallHistory& call, std::optional<TimeUs> ended_at);
  void CheckAttempts(const std::string& id, const CallHistory& call);
  void CheckDrains();
  void CheckProcesses();
  void CheckBadClients();

  void AddViolation(Check check, TimeUs at, const std::string& call, const std::string& text) {
    verdict_.violations.push_back({check, at, call, text});
  }
  void CountCheck(Check check) { ++verdict_.checked[static_cast<std::size_t>(check)]; }
  // Returns when a process of this softswitch was killed or exited between `from` and `to`.
  std::optional<TimeUs> ProcessEndWithin(int softswitch, TimeUs from, TimeUs to) const {
    const auto found = processes_.find(softswitch);
    if (found == processes_.end()) return std::nullopt;
    for (const Interval& run : found->second.runs) {
      if (run.to >= from && run.to <= to) return run.to;
    }
    return std::nullopt;
  }
  // Returns the end, up to `to`, of the process that answered a call. The answer may be read after that end.
  std::optional<TimeUs> AnsweringProcessEnd(int softswitch, TimeUs answered, TimeUs to) const {
    const auto found = processes_.find(softswitch);
    if (found == processes_.end()) return std::nullopt;
    std::optional<TimeUs> end;
    for (const Interval& run : found->second.runs) {
      if (run.from <= answered) end = run.to;
    }
    return end && *end <= to ? end : std::nullopt;
  }
  // Returns the time of the SIGTERM to the process that ended at `end_time`; nothing if it was killed without SIGTERM.
  std::optional<TimeUs> SigtermBefore(int softswitch, TimeUs end_time) const {
    const auto found = processes_.find(softswitch);
    if (found == processes_.end()) return std::nullopt;
    // A process may be killed shortly after the one before it, which was terminated.
    TimeUs started_at = 0;
    for (const Interval& run : found->second.runs) {
      if (run.from <= end_time) started_at = std::max(started_at, run.from);
    }
    std::optional<TimeUs> last;
    for (const auto& [at, earliest_kill] : found->second.sigterms) {
      if (at >= started_at && at <= end_time && end_time <= earliest_kill + 1'000'000) last = at;
    }
    return last;
  }
  // Returns the first time, not before `from`, at which the caller had a connection that lasted long enough to be
  // notified on it.
  std::optional<TimeUs> CallerReachableSince(int softswitch, std::uint32_t host, TimeUs from, TimeUs deadline) const;
  // Returns the time from which this softswitch has to know of a drain; nothing if it could not be notified at all.
  std::optional<TimeUs> DrainKnownSince(int softswitch, TimeUs listed, std::optional<TimeUs> written) const;

  const std::vector<TrialEvent>& events_;
  JudgeSettings settings_;
  TimeUs log_end_ = 0;
  std::map<std::string, CallHistory> calls_;
  std::map<int, Process> processes_;
  std::map<std::pair<int, std::uint32_t>, std::vector<Interval>> connections_;  // of clients, by softswitch and host
  std::map<int, std::vector<Interval>> discovery_outages_;
  std::map<std::pair<int, int>, TimeUs> drain_listed_, drain_written_;  // by softswitch and exchange
  std::map<std::pair<int, std::int64_t>, TimeUs> bad_clients_connected_, bad_clients_served_;
  Verdict verdict_;
};

void VerdictBuilder::CollectAttempt(const TrialEvent& event, CallHistory& call) {
  const auto finish_attempt = [&](bool needs_resend_guard) {
    for (auto attempt = call.attempts.rbegin(); attempt != call.attempts.rend(); ++attempt) {
      if (attempt->exchange != event.exchange || attempt->finished) continue;
      attempt->finished = event.at;
      attempt->needs_resend_guard = needs_resend_guard;
      return;
    }
  };
  switch (event.kind) {
    case EventKind::kAttemptArrived:
      // The attempt was sent earlier by the time that an injected fault delayed it.
      call.attempts.push_back(
          {event.at - std::min(event.at, static_cast<TimeUs>(event.value)), event.exchange, {}, false});
      break;
    case EventKind::kAttemptAnswered:
      call.answered_at_exchange = true;
      call.exchange_descriptions.insert(DescriptionOf(event.exchange, event.call));
      finish_attempt(false);
      break;
    case EventKind::kAttemptRefused:
      finish_attempt(false);
      break;
    default:
      finish_attempt(true);
      break;
  }
}

void VerdictBuilder::CollectProcessEvent(const TrialEvent& event) {
  Process& process = processes_[event.softswitch];
  switch (event.kind) {
    case EventKind::kStarted:
      process.runs.push_back({event.at, ~TimeUs{0}});
      break;
    case EventKind::kSigtermSent:
      process.sigterms.emplace_back(event.at, event.at + static_cast<TimeUs>(event.value));
      break;
    case EventKind::kKilled:
    case EventKind::kExited:
      if (!process.runs.empty()) process.runs.back().to = event.at;
      if (event.kind == EventKind::kKilled) process.killed.push_back(event.at);
      // The connections of its clients end with the process.
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
    case EventKind::kDiscoveryUnavailable:
      discovery_outages_[event.softswitch].push_back({event.at, ~TimeUs{0}});
      break;
    case EventKind::kDiscoveryAvailable:
      if (!discovery_outages_[event.softswitch].empty()) discovery_outages_[event.softswitch].back().to = event.at;
      break;
    default:
      break;
  }
}

void VerdictBuilder::CollectCall(const TrialEvent& event, CallHistory& call) {
  const auto set_first = [&event](std::optional<TimeUs>& time) {
    if (!time) time = event.at;
  };
  switch (event.kind) {
    case EventKind::kSetUpSent:
      call.sent = event.at;
      call.caller_timeout = static_cast<TimeUs>(event.value);
      call.host = event.host;
      break;
    case EventKind::kSetUpCancelled:
      set_first(call.cancelled);
      break;
    case EventKind::kSetUpSentAgain:
      set_first(call.sent_again);
      break;
    case EventKind::kAnswerReceived:
      ++call.answers;
      set_first(call.answered);
      call.description = event.text;
      break;
    case EventKind::kReleaseReceived:
      call.releases += event.text.empty() ? 1 : 0;
      set_first(call.released);
      break;
    case EventKind::kReleaseSent:
      set_first(call.released_by_client);
      break;
    case EventKind::kCallAnnounced:
      call.announced = event.at;
      break;
    case EventKind::kClosedBeforeAnswer:
      set_first(call.closed_before_answer);
      call.close_reason = event.text;
      break;
    case EventKind::kAttemptArrived:
    case EventKind::kAttemptAnswered:
    case EventKind::kAttemptRefused:
    case EventKind::kAttemptAbandoned:
    case EventKind::kAttemptReset:
      CollectAttempt(event, call);
      break;
    case EventKind::kCallEnded:
      set_first(call.ended);
      break;
    case EventKind::kCallEndedSilently:
      call.silent_ends.emplace_back(event.exchange, event.at);
      break;
    case EventKind::kCallReleased:
      set_first(call.released_at_exchange);
      break;
    default:
      break;
  }
}

void VerdictBuilder::Collect(const TrialEvent& event) {
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
      // The log does not identify the connections of a host, so the oldest open one is taken.
      for (Interval& open : connections_[{event.softswitch, event.host}]) {
        if (open.to != ~TimeUs{0}) continue;
        open.to = event.at;
        break;
      }
      break;
    case EventKind::kStarted:
    case EventKind::kSigtermSent:
    case EventKind::kKilled:
    case EventKind::kExited:
    case EventKind::kDrainListed:
    case EventKind::kDrainWritten:
    case EventKind::kDiscoveryUnavailable:
    case EventKind::kDiscoveryAvailable:
      CollectProcessEvent(event);
      break;
    case EventKind::kBadClientConnected:
      bad_clients_connected_[{event.softswitch, event.value}] = event.at;
      break;
    case EventKind::kBadClientServed:
      bad_clients_served_[{event.softswitch, event.value}] = event.at;
      break;
    case EventKind::kMalformedLine:
      AddViolation(Check::kFinalAnswer, event.at, "", "a client received a malformed line: " + event.text);
      break;
    case EventKind::kConnectionOpened:
      ++verdict_.connections;
      break;
    case EventKind::kProbeArrived:
      ++verdict_.probes;
      break;
    case EventKind::kResourceUsage:
      CountCheck(Check::kResources);
      if (event.value > settings_.max_descriptors)
        AddViolation(
            Check::kResources, event.at, "",
            "n" + std::to_string(event.softswitch) + " has " + std::to_string(event.value) + " open descriptors");
      verdict_.max_megabytes = std::max<std::int64_t>(verdict_.max_megabytes, event.exchange);
      if (event.exchange > settings_.max_megabytes)
        AddViolation(Check::kResources, event.at, "",
                     "n" + std::to_string(event.softswitch) + " has " + std::to_string(event.exchange) +
                         " MB of resident memory");
      break;
    default:
      break;
  }
}

void VerdictBuilder::CheckAnswer(const std::string& id, const CallHistory& call) {
  if (!call.sent) return;
  ++verdict_.offered;
  CountCheck(Check::kFinalAnswer);
  if (const auto process = processes_.find(call.softswitch); process != processes_.end()) {
    for (const auto& [at, earliest_kill] : process->second.sigterms) {
      if (*call.sent >= at && *call.sent <= earliest_kill) CountCheck(Check::kShutdown);
    }
  }
  if (call.answered) {
    ++verdict_.answered;
    if (call.exchange_descriptions.count(call.description) == 0)
      AddViolation(Check::kFinalAnswer, *call.answered, id,
                   "answer with a description that no exchange sent: " + call.description);
  }
  if (call.answers > 1)
    AddViolation(Check::kFinalAnswer, *call.answered, id, "answered " + std::to_string(call.answers) + " times");
  if (call.releases > 1)
    AddViolation(Check::kFinalAnswer, *call.released, id, "released " + std::to_string(call.releases) + " times");
  if (call.answered && call.released && *call.released < *call.answered)
    AddViolation(Check::kFinalAnswer, *call.answered, id, "answered after its release");
  const std::optional<TimeUs> final_answer = call.answered && call.released ? std::min(*call.answered, *call.released)
                                             : call.answered                ? call.answered
                                                                            : call.released;
  const TimeUs deadline = *call.sent + call.caller_timeout + kMaxAnswerLateness + kTimingTolerance;
  if (call.cancelled && !call.answered && *call.cancelled <= deadline)
    return;  // no answer is due, whichever message came first
  if (final_answer) {
    verdict_.longest_answer_wait =
        std::max(verdict_.longest_answer_wait, *final_answer - std::min(*final_answer, *call.sent));
    if (*final_answer > deadline)
      AddViolation(Check::kFinalAnswer, *final_answer, id,
                   "answered " + Milliseconds(*final_answer - deadline) + " late");
    return;
  }
  const auto process_end = ProcessEndWithin(
      call.softswitch, *call.sent > kProcessEndRaceTime ? *call.sent - kProcessEndRaceTime : 0, deadline);
  if (!process_end) {
    if (call.closed_before_answer)
      return AddViolation(Check::kFinalAnswer, *call.closed_before_answer, id,
                          "its connection ended before the answer (" + call.close_reason + ")");
    if (deadline <= log_end_) AddViolation(Check::kFinalAnswer, deadline, id, "no answer in time");
    return;
  }
  const auto sigterm = SigtermBefore(call.softswitch, *process_end);
  if (!sigterm) return;  // killed without SIGTERM: no answer is due
  // The process ended before it could read the set-up from its socket.
  if (*call.sent + kProcessEndRaceTime >= *process_end) return;
  if (call.closed_before_answer && *call.closed_before_answer < *process_end)
    return AddViolation(Check::kShutdown, *call.closed_before_answer, id,
                        "sent " + Milliseconds(*call.sent - std::min(*call.sent, *sigterm)) +
                            " after SIGTERM, its connection ended before the answer (" + call.close_reason + ")");
  AddViolation(Check::kShutdown, *process_end, id,
               "sent " + Milliseconds(*call.sent - std::min(*call.sent, *sigterm)) +
                   " after SIGTERM, unanswered at SIGKILL" +
                   (*call.sent > *sigterm + kLateRequestThreshold ? " (sent late)" : ""));
}

std::optional<TimeUs> VerdictBuilder::CallerReachableSince(int softswitch, std::uint32_t host, TimeUs from,
                                                           TimeUs deadline) const {
  const auto found = connections_.find({softswitch, host});
  if (found == connections_.end()) return std::nullopt;
  std::optional<TimeUs> first;
  for (const Interval& open : found->second) {
    if (open.to < from || open.to - open.from < kMinConnectionTime) continue;
    // The connection has to last long enough for a notification.
    const TimeUs since = std::max(open.from, from);
    if (open.to < std::max(since, std::min(deadline, since + kReleaseReportTimeout))) continue;
    if (!first || since < *first) first = since;
  }
  return first;
}

void VerdictBuilder::CheckReportedEnd(const std::string& id, const CallHistory& call, std::optional<TimeUs> ended_at) {
  if (!call.released || settings_.disconnects_may_be_needed) return;
  if (ended_at && *ended_at <= *call.released + kReleaseReportTimeout) return;
  AddViolation(Check::kNeedlessDisconnect, *call.released, id,
               "reported as over while established at exchange " +
                   std::to_string(call.attempts.empty() ? -1 : call.attempts.back().exchange));
}

std::optional<TimeUs> VerdictBuilder::SilentEndOf(const std::string& id, const CallHistory& call) {
  if (call.silent_ends.empty()) return std::nullopt;
  if (call.exchange_descriptions.count(call.description) == 0) return call.silent_ends[0].second;
  for (const auto& [exchange, at] : call.silent_ends) {
    if (call.description == DescriptionOf(exchange, id)) return at;
  }
  return std::nullopt;
}

void VerdictBuilder::CheckCallEnd(const std::string& id, const CallHistory& call,
                                  std::optional<TimeUs> ended_silently) {
  if (!call.answered || call.released_by_client) return;
  if (call.cancelled && *call.cancelled <= *call.answered)
    return;  // the answer was sent before the cancellation arrived
  // The call ended without a release, by a release of the exchange, or by a release of the softswitch.
  std::optional<TimeUs> deadline, ended_at;
  if (ended_silently) {
    ended_at = ended_silently;
    deadline = *ended_silently + kSilentEndReportTimeout;
  }
  if (call.ended) {
    if (!ended_at) ended_at = call.ended;
    deadline = std::min(deadline.value_or(~TimeUs{0}), *call.ended + kReleaseReportTimeout);
  }
  if (call.released_at_exchange && !ended_at) {
    ended_at = call.released_at_exchange;
    deadline = *call.released_at_exchange + kReleaseReportTimeout;
    ++verdict_.needless_disconnects;
    CountCheck(Check::kNeedlessDisconnect);
    if (!settings_.disconnects_may_be_needed)
      AddViolation(Check::kNeedlessDisconnect, *call.released_at_exchange, id,
                   "disconnected by the softswitch while established at exchange " +
                       std::to_string(call.attempts.empty() ? -1 : call.attempts.back().exchange));
  } else {
    CountCheck(Check::kNeedlessDisconnect);
  }
  CheckReportedEnd(id, call, ended_at);
  if (!ended_at) return;
  TimeUs limit = *deadline + kTimingTolerance;
  if (call.released && *call.released <= limit) return CountCheck(Check::kCallEnd);
  // If the process ended meanwhile, the call is announced to the next one, which then has to report the call's end.
  if (const auto process_end = AnsweringProcessEnd(call.softswitch, *call.answered, limit)) {
    if (!call.announced || *call.announced < *process_end) return;
    if (!settings_.exchanges_report && *ended_at < *call.announced) return;
    limit = std::max(limit, std::max(*call.announced, *ended_at) +
                                (call.ended ? kReleaseReportTimeout : kSilentEndReportTimeout) + kTimingTolerance);
  }
  // The caller has to be connected to be notified: during the last moments before the limit, or once it reconnects.
  const TimeUs notification_start = limit - std::min(limit, kReleaseReportTimeout + kTimingTolerance);
  const auto reachable_since =
      CallerReachableSince(call.softswitch, call.host, std::max(*ended_at, notification_start), limit);
  if (!reachable_since) return;
  // The process that received the release ended before the caller reconnected, so the release is lost.
  if (call.ended && ProcessEndWithin(call.softswitch, *call.ended, *reachable_since)) return;
  limit = std::max(limit, *reachable_since + kReleaseReportTimeout + kTimingTolerance);
  if (limit > log_end_) return;
  CountCheck(Check::kCallEnd);
  if (call.released && *call.released <= limit) return;
  const std::string cause = ended_silently ? "ended without a release"
                            : call.ended   ? "released by the exchange"
                                           : "released by the softswitch";
  AddViolation(
      Check::kCallEnd, limit, id,
      cause + " " + Milliseconds(limit - *ended_at) + " before, and its caller was " +
          (call.released ? "notified " + Milliseconds(*call.released - limit) + " late" : std::string("not notified")));
}

void VerdictBuilder::CheckAttempts(const std::string& id, const CallHistory& call) {
  for (std::size_t i = 0; i < call.attempts.size(); ++i) {
    const Attempt& attempt = call.attempts[i];
    const std::optional<TimeUs> cancelled = call.cancelled;
    const bool is_of_second_client = call.sent_again && attempt.arrived >= *call.sent_again;
    if (cancelled && !is_of_second_client) {
      CountCheck(Check::kClientGone);
      if (attempt.arrived > *cancelled + kAbandonTimeout + kTimingTolerance)
        AddViolation(Check::kClientGone, attempt.arrived, id,
                     "attempt " + Milliseconds(attempt.arrived - *cancelled) + " after its client had cancelled");
    }
    if (i == 0) continue;
    const Attempt& previous = call.attempts[i - 1];
    CountCheck(Check::kOneAttempt);
    if (is_of_second_client)
      AddViolation(Check::kOneAttempt, attempt.arrived, id,
                   "ran a second time as its id came again after its client had left");
    if (!previous.finished || *previous.finished > attempt.arrived + kTimingTolerance)
      AddViolation(Check::kOneAttempt, attempt.arrived, id,
                   "sent to exchange " + std::to_string(attempt.exchange) +
                       " while its attempt was pending at exchange " + std::to_string(previous.exchange));
    if (!previous.finished || !previous.needs_resend_guard) continue;
    CountCheck(Check::kReleaseTime);
    if (attempt.arrived + kTimingTolerance < *previous.finished + settings_.resend_guard_us)
      AddViolation(Check::kReleaseTime, attempt.arrived, id,
                   "sent again " + Milliseconds(attempt.arrived - std::min(attempt.arrived, *previous.finished)) +
                       " after the previous attempt was abandoned or reset");
  }
}

std::optional<TimeUs> VerdictBuilder::DrainKnownSince(int softswitch, TimeUs listed,
                                                      std::optional<TimeUs> written) const {
  TimeUs reachable = listed;
  if (const auto outages = discovery_outages_.find(softswitch); outages != discovery_outages_.end()) {
    for (const Interval& outage : outages->second) {
      if (outage.from <= reachable + kDirectoryUpdateTimeout && outage.to > reachable) reachable = outage.to;
    }
  }
  std::optional<TimeUs> known_since = written;
  if (reachable != ~TimeUs{0})
    known_since = std::min(known_since.value_or(~TimeUs{0}), reachable + kDirectoryUpdateTimeout);
  return known_since;
}

void VerdictBuilder::CheckDrains() {
  for (const auto& [id, call] : calls_) {
    for (const Attempt& attempt : call.attempts) {
      const std::pair<int, int> key{call.softswitch, attempt.exchange};
      const auto listed = drain_listed_.find(key);
      if (listed == drain_listed_.end()) continue;
      const auto written = drain_written_.find(key);
      const auto known_since =
          DrainKnownSince(call.softswitch, listed->second,
                          written == drain_written_.end() ? std::nullopt : std::optional<TimeUs>(written->second));
      if (!known_since) continue;
      CountCheck(Check::kDrain);
      if (attempt.arrived > *known_since + settings_.drain_grace_us + kTimingTolerance)
        AddViolation(Check::kDrain, attempt.arrived, id,
                     "sent to exchange " + std::to_string(attempt.exchange) + " " +
                         Milliseconds(attempt.arrived - *known_since) + " after n" + std::to_string(call.softswitch) +
                         " was notified that it drains or is gone");
    }
  }
}

void VerdictBuilder::CheckProcesses() {
  std::map<int, TimeUs> started;
  for (const TrialEvent& event : events_) {
    if (event.kind == EventKind::kStarted) started[event.softswitch] = event.at;
    if (event.kind == EventKind::kReady && started.count(event.softswitch) > 0) {
      CountCheck(Check::kRestart);
      const TimeUs start_up_time = event.at - started[event.softswitch];
      started.erase(event.softswitch);
      if (start_up_time > kReadyTimeout)
        AddViolation(Check::kRestart, event.at, "",
                     "n" + std::to_string(event.softswitch) + " ready after " + Milliseconds(start_up_time));
    }
    if (event.kind == EventKind::kKilled) started.erase(event.softswitch);
    if (event.kind == EventKind::kExited) {
      started.erase(event.softswitch);
      if (event.value != 0 || !SigtermBefore(event.softswitch, event.at))
        AddViolation(Check::kRestart, event.at, "",
                     "n" + std::to_string(event.softswitch) + " exited without SIGTERM or with an error, status " +
                         std::to_string(event.value));
    }
  }
  for (const auto& [softswitch, at] : started) {
    if (at + kReadyTimeout < log_end_)
      AddViolation(Check::kRestart, at + kReadyTimeout, "", "n" + std::to_string(softswitch) + " not ready in time");
  }
}

void VerdictBuilder::CheckBadClients() {
  for (const auto& [key, connected_at] : bad_clients_connected_) {
    const TimeUs deadline = connected_at + kBadClientTimeout + kTimingTolerance;
    const auto served = bad_clients_served_.find(key);
    if (served != bad_clients_served_.end() && served->second <= deadline) {
      CountCheck(Check::kBadClient);
      continue;
    }
    if (deadline > log_end_ || ProcessEndWithin(key.first, connected_at, deadline)) continue;
    CountCheck(Check::kBadClient);
    AddViolation(Check::kBadClient, deadline, "",
                 "bad client " + std::to_string(key.second) + " of n" + std::to_string(key.first) +
                     " was neither answered nor disconnected");
  }
}

}  // namespace

std::string_view NameOf(Check check) { return kNames[static_cast<std::size_t>(check)]; }

Verdict Judge(const std::vector<TrialEvent>& events, const JudgeSettings& settings) {
  return VerdictBuilder(events, settings).Build();
}

}  // namespace croftrun::lab::soak
