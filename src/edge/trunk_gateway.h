// The MGCP side of trunk groups: seizures, answers, releases and audits of circuits on the trunk gateway.
//
// A circuit in use has a Leg here; one that was given up has a Release until both ends are known to be idle. A
// circuit is never told free on a guess: by the far end's release complete (MS/rlc), by the answer to our release
// after the far end let go first, or by an audit that finds it idle.
#ifndef CROFTRUN_EDGE_TRUNK_GATEWAY_H_
#define CROFTRUN_EDGE_TRUNK_GATEWAY_H_

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/call_core.h"
#include "edge/edge_settings.h"
#include "mgcp/transactions.h"

namespace croftrun::edge {

class TrunkGateway final : public core::TrunkDriver {
 public:
  struct Counters {
    std::uint64_t seized = 0, released = 0, incoming = 0, refused_incoming = 0, audits = 0, cleared = 0;
    std::uint64_t late_seizures = 0, stale_events = 0, restarts = 0, out_of_service = 0, unknown_events = 0,
                  signs_of_life = 0;
  };

  TrunkGateway(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core,
               mgcp::Transactions* transactions);

  // Audits every circuit: what a former life of this edge left busy is cleared, the rest comes into use.
  void Start();
  void OnNotify(mgcp::Transactions::CommandId command, const mgcp::Message& message);
  void OnRestart(const mgcp::Message& message);

  void SetUp(const core::TrunkSetUp& set_up) override;
  void Answer(const core::CircuitSet& set, std::string_view session) override;
  void Connect(const core::CircuitSet& set, std::string_view session) override;
  void Release(const core::CircuitSet& set, const core::ReleaseInfo& info) override;
  void ProbeGroup(int group) override;
  void CheckCircuit(int group, core::CircuitNumber circuit) override { Audit(KeyOf(group, circuit)); }

  const Counters& counters() const { return counters_; }
  // A call, or the release of one, is on this circuit.
  bool InUse(int group, unsigned circuit) const {
    const Key key = KeyOf(group, circuit);
    return circuit <= 0xffffU && (legs_.count(key) > 0 || releases_.count(key) > 0);
  }
  std::size_t legs() const { return legs_.size(); }
  std::size_t releasing() const { return releases_.size(); }

 private:
  // Group and circuit in one number.
  using Key = std::uint32_t;
  static Key KeyOf(int group, unsigned circuit) { return static_cast<Key>(group) << 16U | circuit; }
  static int GroupOf(Key key) { return static_cast<int>(key >> 16U); }
  static core::CircuitNumber CircuitOf(Key key) { return static_cast<core::CircuitNumber>(key & 0xffffU); }

  struct Leg {
    CallId call = 0;
    int attempt = -1;  // -1: incoming
    bool answered = false;
    bool far_released = false;
    bool refused = false;  // the gateway never seized it for us: there is nothing of ours to delete
    bool idle = false;     // and it said that the circuit is idle
    std::string connection;
    std::uint32_t request = 0;  // the X: under which its events come
    std::uint32_t seizure = 0;  // transaction of the CRCX while unanswered
    Key first = 0;              // of a set-up: the circuit that carries the address
    bool part_refused = false;  // on the first: another circuit of this wide call was refused
  };
  struct ReleaseState {
    TimeUs since = 0;
    std::uint32_t request = 0;
    bool far_released = false;
  };

  std::string Name(Key key) const;
  std::uint32_t Send(Key key, mgcp::Verb verb, std::string body, mgcp::Transactions::OnAnswer on_answer);
  void OnSeized(Key key, CallId call, int attempt, const mgcp::Answered& answered);
  bool IsStale(Key key, std::uint32_t request, const mgcp::Message& message) const;
  void OnIncoming(Key key, const mgcp::EventRef& sup, const mgcp::Message& message);
  void OnReleased(Key key, std::uint32_t request, const mgcp::EventRef& rel, const mgcp::Message& message);
  // The far end let go of a circuit in use.
  void LetGo(Key key, const core::ReleaseInfo& info);
  // Deletes what is on the circuit and waits for it to be idle at both ends.
  void Clear(Key key, const std::string& connection, bool far_released, const core::ReleaseInfo& info);
  void Free(Key key);
  void Audit(Key key);
  // Something was heard of a circuit that is out of service for doubt only: it is looked at now, not at the next sweep.
  void SignOfLife(Key key);
  void AuditNext();
  void OnAudited(Key key, const mgcp::Answered& answered);
  void Sweep();
  void TakeOut(Key key);
  std::string Request(std::uint32_t request, std::string_view events) const;

  const EdgeSettings& settings_;
  core::Runtime* runtime_;
  core::CallCore* core_;
  mgcp::Transactions* transactions_;
  std::unordered_map<Key, Leg> legs_;
  std::unordered_map<Key, ReleaseState> releases_;
  std::unordered_set<Key> out_of_service_, known_;
  // The gateway announced that it takes these out of service (RSIP graceful or forced): no audit brings them back, only
  // its word. One that is in use stays so until its call ends.
  std::unordered_set<Key> withdrawn_;
  std::deque<Key> to_audit_;
  std::unordered_set<Key> doubtful_;              // in use when the gateway was cut off, and not looked at since
  std::unordered_set<Key> auditing_;              // in to_audit_ or asked
  std::unordered_set<Key> look_again_;            // something was heard of it while the look was on its way
  std::unordered_map<Key, std::uint32_t> armed_;  // the request under which a seizure is told, given in this life
  std::unordered_set<Key> unarmed_;               // restarted, and no request given since is known to have arrived
  std::unordered_map<Key, TimeUs> seen_seized_;   // by the far end, without a call here: since when
  std::size_t audits_out_ = 0;
  std::uint32_t next_request_ = 1;
  std::uint32_t sweeps_ = 0;
  core::Timer sweep_;
  Counters counters_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_TRUNK_GATEWAY_H_
