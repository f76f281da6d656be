// The exchanges' side: set-ups and releases on connections to the exchanges of the list.
//
// A set-up has a connection of its own while there is room, as what shares a connection is lost with it; after the
// answer the connection serves the next set-up. Every exchange of the list is kept connected, so that the state of its
// group and the end of its calls can be heard.
#ifndef CROFTRUN_PLATFORM_EXCHANGE_CONNECTIONS_H_
#define CROFTRUN_PLATFORM_EXCHANGE_CONNECTIONS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/call_core.h"
#include "core/runtime.h"
#include "platform/group_report.h"
#include "platform/line_codec.h"
#include "platform/node_config.h"
#include "platform/recent_names.h"
#include "policy/failure_detector.h"

namespace croftrun::platform {

struct ExchangeSettings {
  std::size_t most_links = 100;  // to all exchanges together
  TimeUs connect_within_us = 500'000;
  std::vector<std::string> classes;  // by index
  std::vector<std::string> zones, kinds;
  std::vector<std::string> figures;  // names of a report's figures, in the module's order
  std::int64_t unix_offset_us = 0;   // Unix time minus the runtime's clock
  bool may_probe = false;            // the deployment allows tests of exchanges
  bool own_circuits = true;          // a report counts the circuits towards this softswitch alone
};

struct ExchangeCounters {
  std::uint64_t set_ups = 0, shared = 0, answers = 0, refusals = 0, errors = 0, resets = 0, never_ran = 0, given_up = 0;
  std::uint64_t ended = 0, cut = 0, cut_with_exchange = 0, released = 0;
  std::uint64_t connects = 0, refused = 0, timed_out = 0, broken = 0, spoilt = 0;
  std::uint64_t lost_exchanges = 0;                          // times that calls were cut with their exchange
  std::uint64_t liveness_connects = 0, liveness_probes = 0;  // asked for by the failure detector
  std::uint64_t doubts = 0, doubts_cleared = 0;              // whether the process that holds calls is still there
  std::uint64_t given_up_silent = 0, given_up_replaced = 0;  // exchanges whose calls the failure detector gave up
  std::uint64_t no_room = 0;                                 // connections that found no room within the limit
  std::uint64_t early_ends = 0;                              // ends that came before their call was taken over
  std::uint64_t gauges = 0, gauges_heard = 0, second_answers = 0, unknown_answers = 0, late_answers = 0,
                unknown_ends = 0;
};

class ExchangeConnections final : public core::TrunkDriver {
 public:
  ExchangeConnections(const ExchangeSettings& settings, core::Runtime* runtime, core::Logger* log,
                      core::CallCore* core);
  ~ExchangeConnections() override;

  // What the notice board told: the list and the core's directory follow.
  void OnNotice(const Notice& notice);
  // 0: the list has none of this name that still runs.
  ExchangeId Find(const std::string& uid) const;
  std::size_t links() const { return link_count_; }
  std::size_t legs() const { return legs_.size(); }
  // Exchanges that are known, those included that are gone and not forgotten yet.
  std::size_t listed() const { return exchanges_.size(); }
  const ExchangeCounters& counters() const { return counters_; }
  // Exchanges of the list to which no connection is open.
  std::size_t unreachable() const;
  // Standing calls on exchanges to which no connection is open.
  std::size_t standing_unreachable() const;
  // The longest that an exchange with standing calls has sent nothing; 0 where none stands.
  TimeUs longest_silence() const;

  // The process is going to end: calls at exchanges that may not know them any more are ended by then.
  void SettleBy(TimeUs at);

  void SetUp(const core::TrunkSetUp& set_up) override;
  void Release(const core::CircuitSet& set, const core::ReleaseInfo& info) override;
  void ProbeExchange(ExchangeId exchange) override;
  // The platform's media descriptions travel with set-up and answer.
  void Answer(const core::CircuitSet&, std::string_view) override {}
  void Connect(const core::CircuitSet&, std::string_view) override {}
  void ProbeGroup(int) override {}

  // A call that the core adopted: its end comes from this exchange.
  void Adopt(CallId call, const std::string& id, ExchangeId at);

 private:
  class Link;
  struct Exchange;
  // One set-up, or the call that came of it.
  struct Leg {
    CallId call = 0;
    int attempt = 0;
    Exchange* at = nullptr;
    Link* link = nullptr;  // null: it broke
    bool stands = false;
    TimeUs stood_at = 0;
    std::string id;
    bool announced = false;  // it was set up by a former process, and announced by its caller
    // It stood before that time; one that was announced may have stood for as long as you like.
    bool StoodBefore(TimeUs time) const { return announced || stood_at < time; }
  };

  // A time of the runtime's clock, never 0; 0 for 0.
  TimeUs TimeOf(std::int64_t unix_ms) const;
  DirectoryEntry EntryOf(const Exchange& exchange) const;
  // A newer machine has the address that this notice gives one that was known before it (0: and is forgotten since).
  bool Superseded(ExchangeId before, const Target& target, TimeUs since) const;
  // Takes it off everything that knows of it.
  Leg Remove(std::unordered_map<std::string, Leg>::iterator at);
  Link* LinkFor(Exchange* exchange);
  // Closes an idle connection to an exchange that has others; false where there is none to spare.
  bool MakeRoom(const Exchange* wanted);
  // Closes idle connections to it beyond those that are worth keeping.
  void CloseSpare(Exchange* exchange);
  // The newest open connection; null: there is none.
  static Link* OpenOne(const Exchange& exchange);
  // What a connection is opened for.
  enum class Purpose : std::uint8_t {
    kSetUp,       // within the limit
    kKeep,        // room is made for it: an exchange without a connection tells nothing
    kSignOfLife,  // the same, with a reserve, and it is waited for longer
  };
  // A connection to it spoke lately, and is open at both ends.
  bool Lives(const Exchange& exchange) const;
  // Null: there is no room.
  Link* OpenLink(Exchange* exchange, Purpose purpose);
  // While calls stand somewhere, asks the failure detector of each such exchange what to do.
  void WatchLiveness();
  void Act(Exchange* exchange, policy::LivenessAction action);
  // What the failure detector has to know of the last report, which came on this connection.
  void CheckCircuits(const Link& link);
  // The last report against the calls that stand there, those from before that time in question.
  policy::CircuitUse CircuitUseOf(const Exchange& exchange, TimeUs in_question) const;
  // Gives up announced calls that the exchange's last report denies.
  void CheckAnnounced(Exchange* exchange);
  void NoteStanding(Exchange* exchange, const std::string& id);
  void LogDoubt(const Exchange& exchange, bool was_in_doubt);
  // Keeps one connection to an exchange that is wanted.
  void KeepConnected(Exchange* exchange);
  // False once the link is of no further use.
  bool Take(Link* link, std::string_view line);
  void TakeRelease(Link* link, const Message& message);
  void TakeAnswer(Link* link, const Message& message);
  void TakeGauge(Link* link, const Message& message);
  // How a connection came to its end.
  enum class LinkEnd : std::uint8_t { kClosed, kReset, kRefused, kNotUpInTime, kSpoilt, kClosedHere };
  static std::string_view NameOf(LinkEnd end);
  // Set-ups out on it never ran if it was never open, else they may have.
  void EndLink(Link* link, LinkEnd end);
  void TellDetector(const Link& link, LinkEnd end);
  // Whether calls that are cut may still stand at the exchange, and are to be released there.
  enum class Remains : std::uint8_t { kNothing, kMayStand };
  // Calls that stood there before that time are over.
  void CutAll(Exchange* exchange, TimeUs before, std::string_view why, Remains remains = Remains::kNothing);
  // The same for these calls.
  void Cut(Exchange* exchange, std::vector<std::string> ids, std::string_view why, Remains remains);
  // Calls in doubt are over: the process there does not know them.
  void GiveUpReplaced(Exchange* exchange, std::string_view why, Remains remains);
  void SendProbe(Link* link);
  // The same for the failure detector; nothing where there is no connection.
  void ProbeForLife(Link* link);
  // Of the connections that belong to the process that holds the calls there; null: none is open.
  static Link* LeastRecentlyTested(const Exchange& exchange);
  void Retire(Exchange* exchange);
  void SendRelease(Exchange* exchange, Link* link, const std::string& id);
  // Log lines: each names the exchange, its address and, where there is one, the connection by its number.
  void LogConnection(core::LogLevel level, std::string_view event, const Link& link, std::string_view detail);
  void LogCall(std::string_view event, const Leg& leg, std::string_view detail);

  ExchangeSettings settings_;
  core::Runtime* runtime_;
  core::Logger* log_;
  core::CallCore* core_;
  GroupReportReader report_reader_;
  std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
  std::unordered_map<std::string, ExchangeId> by_uid_;
  std::map<core::Address, ExchangeId> by_address_;  // who has it now
  ExchangeId next_ = 1;
  std::size_t link_count_ = 0;
  std::uint64_t last_link_number_ = 0;         // connections are numbered in the log
  std::unordered_map<std::string, Leg> legs_;  // by the call's id
  std::unordered_map<CallId, std::string> ids_;
  RecentNames given_up_;    // ids of set-ups
  RecentNames departed_;    // machines that are forgotten
  RecentNames early_ends_;  // calls whose end came before they were taken over
  core::Timer liveness_;
  TimeUs settle_by_ = 0;  // 0: no end is in sight
  std::unordered_map<std::string, std::pair<ExchangeId, TimeUs>> probes_;
  ExchangeCounters counters_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_PLATFORM_EXCHANGE_CONNECTIONS_H_
