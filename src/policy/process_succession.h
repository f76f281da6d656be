// Attribution of connections, and of the calls answered on them, to the successive processes at one address.
//
// A call belongs to the process at the far end of the connection that carried its answer, its carrier. Neither the
// address nor a name in the directory identifies that process, nor does the time at which the answer was read: answers
// may still be on their way when the process ends and the next one starts.
//
// The directory states the start of a process by the clock of another machine. What is known here about the change:
//
// - The start lies in a window around the stated time (StartWindow). A connection that was up before the window never
//   led to the process that started, and one that was requested after the window did not lead to an earlier one.
// - The end of a process ends its connections. The process can therefore have changed in each time in which no
//   connection was open because the far end had ended the last one, or none could be established (AddressHistory). With
//   a single such time in the window, it separates the connections that were up before it from those requested since.
//
// A connection that was requested before that time and came up after it is undecided. The claim of the current process
// on an undecided connection or call is a state of its own (ProcessClaim):
//
//   kHeld         the current process holds the call, as far as is known
//     -> kUnconfirmed   OnUndecided: a start was told, and the carrier may have led to an earlier process
//   kUnconfirmed  to be confirmed by a deadline
//     -> kHeld          OnConfirmed: data of the process at the far end of the carrier that was sent after the start,
//                       or a release of another call of that process. A circuit report is none, as circuits of the
//                       far end would make up for those in question.
//     -> expired        the deadline has passed: the owner releases the call at the exchange and ends it
//
// Everything here is free of I/O and clocks. Times are microseconds of the clock of the runtime.
#ifndef CROFTRUN_POLICY_PROCESS_SUCCESSION_H_
#define CROFTRUN_POLICY_PROCESS_SUCCESSION_H_

#include <cstdint>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun::policy {

// Largest difference of synchronized clocks of two machines that is expected.
inline constexpr TimeUs kMaxClockDifference = 1'000'000;

// When a connection was requested and when it was seen to be open. Its far end accepted it in between.
struct ConnectionSpan {
  TimeUs requested_at = 0, opened_at = 0;
};

// A start as the directory states it, and the difference between Unix time and the clock of the runtime when this
// process started and now. The two differ if the wall clock was stepped.
struct StatedStart {
  std::int64_t unix_us = 0;
  std::int64_t unix_offset_at_start_us = 0, unix_offset_now_us = 0;
};

// Bounds of the start of a process, and the time at which it was if the clocks of both machines agree.
struct StartWindow {
  TimeUs earliest = 0, nominal = 0, latest = 0;
};

// Returns the window of a start that was told at `now`. A start stated for the future bounds nothing.
StartWindow StartWindowOf(const StatedStart& stated, TimeUs now);

// The process that a connection led to, compared with one that started within a window.
enum class ProcessOrder : std::uint8_t { kEarlier, kUndecided, kStarted };

// The times in which the process at one address can have changed.
class AddressHistory {
 public:
  // The far end has ended the last open connection, in order or not.
  void OnAllConnectionsLost(TimeUs now);
  // A connection could not be established while none was open.
  void OnConnectFailed(TimeUs now);
  void OnConnectionOpened(TimeUs now);
  // Adds the history of the same address that was recorded under another name of the directory.
  void Merge(const AddressHistory& other);
  // Attributes a connection that has been open.
  ProcessOrder OrderOf(const ConnectionSpan& connection, const StartWindow& start) const;
  // Likewise for the process that answered a set-up sent on it at `set_up_sent_at`: an answer follows its set-up.
  ProcessOrder OrderOfAnswer(const ConnectionSpan& connection, TimeUs set_up_sent_at, const StartWindow& start) const;

 private:
  // A time without an open connection. The first one lasts until the first connection is open.
  struct Outage {
    TimeUs from = 0, to = kOngoing;
    bool began_with_loss = false;  // otherwise nothing but the stated time speaks for a change
    bool MayContain(const StartWindow& start) const {
      return from <= start.latest && to >= (began_with_loss ? start.earliest : start.nominal);
    }
  };
  void BeginOutage(const Outage& outage);
  static constexpr TimeUs kOngoing = ~TimeUs{0};
  bool IsOngoing() const { return outages_.back().to == kOngoing; }

  std::vector<Outage> outages_{Outage{}};  // oldest first, never empty
};

// The claim of the current process of an exchange on a connection or call.
class ProcessClaim {
 public:
  // Data that is received from `evidence_from` on, on the carrier, confirms the claim. An earlier deadline is kept.
  void OnUndecided(TimeUs evidence_from, TimeUs confirm_by);
  void OnConfirmed() { confirm_by_ = 0; }
  // The claim has to be decided by this time in any case, because this process shuts down.
  void LimitDeadline(TimeUs at);
  bool IsUnconfirmed() const { return confirm_by_ != 0; }
  bool IsExpired(TimeUs now) const { return IsUnconfirmed() && now >= confirm_by_; }
  // Returns whether data that was last received at `last_data_at`, on a carrier that is still open at `now`, shows that
  // its process has outlived the start. The end of a process follows closely behind its last data.
  bool IsConfirmedByData(TimeUs last_data_at, TimeUs now) const;
  // Returns when the claim has to be decided.
  TimeUs confirm_by() const { return confirm_by_; }

 private:
  TimeUs evidence_from_ = 0;
  TimeUs confirm_by_ = 0;  // 0: not in question
};

// Returns the time by which the claim on a call must be decided if its carrier was requested at `carrier_requested_at`:
// the process that answered it was alive then. `detection_timeout_us` is that of the failure detector.
TimeUs ConfirmationDeadline(TimeUs carrier_requested_at, TimeUs detection_timeout_us, TimeUs now);

}  // namespace croftrun::policy

#endif  // CROFTRUN_POLICY_PROCESS_SUCCESSION_H_
