// Test fixture: a controller of exchange 0 in a mesh of the exchanges 0 to 3 (ids 100 to 103), all ready, with a test
// clock and the actions of the latest event.
#ifndef CROFTRUN_TESTS_CONTROLLER_FIXTURE_H_
#define CROFTRUN_TESTS_CONTROLLER_FIXTURE_H_

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun {

constexpr TimeUs kMs = 1000;
constexpr TimeUs kStart = 1000 * 1000 * kMs;

inline Settings TestSettings() {
  Settings s;
  s.own_number = 0;
  s.softswitch_count = 4;
  s.max_attempts = 4;
  s.resend_guard_us = 300 * kMs;
  s.warm_up_start_share = 0.36;
  s.warm_up_us = 15000 * kMs;
  s.collapse_multiple = 3.0;
  s.collapse_time_us = 1000 * kMs;
  CallClass c;
  c.target_delay_us = 1500 * kMs;
  c.deadline_us = 9000 * kMs;
  c.holding_us = 10000 * kMs;
  s.classes = {c};
  s.report_fields = {ReportField::kFreeCircuits, ReportField::kTotalCircuits, ReportField::kPendingSetUps,
                     ReportField::kLoadReduction};
  return s;
}

class ControllerFixture {
 public:
  explicit ControllerFixture(const Settings& settings = TestSettings(), std::uint64_t seed = 1)
      : controller_(settings, seed, kStart, &actions) {
    DirectoryUpdate list;
    for (int i = 0; i < 4; ++i) {
      list.entries.push_back({.exchange = IdOf(i), .zone = i % 2, .number = i});
    }
    Handle(list);
    for (int i = 1; i < 4; ++i) ReportCircuits(i, 20.0F);
  }

  static ExchangeId IdOf(int number) { return static_cast<ExchangeId>(100 + number); }

  void Handle(const Event& event) {
    actions.clear();
    controller_.Handle(now, event, &actions);
  }
  void ReportCircuits(int number, float free_circuits, float total_circuits = 20.0F) {
    Handle(LoadReportReceived{.exchange = IdOf(number), .report = {free_circuits, total_circuits, -1.0F, -1.0F}});
  }
  void SetStatus(int number, ExchangeStatus status, TimeUs started_at = 0) {
    DirectoryUpdate delta{.kind = DirectoryKind::kDelta};
    delta.entries.push_back({.exchange = IdOf(number),
                             .zone = number % 2,
                             .number = number,
                             .status = status,
                             .started_at_us = started_at});
    Handle(delta);
  }
  CallId OfferCall(int destination, double width = 1.0, int call_class = 0) {
    const CallId id = next_call_++;
    Handle(CallOffered{.call = id,
                       .call_class = call_class,
                       .number_called = 5000 + id,
                       .budget_us = 3000 * kMs,
                       .destination = destination,
                       .width = width});
    return id;
  }
  CallId OfferTransitCall(int destination) {
    const CallId id = next_call_++;
    Handle(CallOffered{.call = id, .budget_us = 3000 * kMs, .destination = destination, .via = 3, .in_transit = true});
    return id;
  }
  void EstablishCall(CallId call, int number, TimeUs elapsed, int attempt = 0) {
    Handle(CallEstablished{.call = call, .exchange = IdOf(number), .attempt = attempt, .elapsed_us = elapsed});
  }
  void EndAttempt(CallId call, int number, Outcome outcome, RejectCause cause = RejectCause::kNone, int attempt = 0,
                  std::vector<float> report = {}, TimeUs elapsed = 1000 * kMs) {
    Handle(AttemptEnded{.call = call,
                        .exchange = IdOf(number),
                        .attempt = attempt,
                        .outcome = outcome,
                        .cause = cause,
                        .elapsed_us = elapsed,
                        .report = std::move(report)});
  }

  // Offers a call to `number` that is established after 100 ms and has ended. The report at its end states the queue
  // and the load reduction.
  void CompleteCall(int number, float queue, float load_reduction) {
    const CallId call = OfferCall(number);
    now += 100 * kMs;
    EstablishCall(call, number, 100 * kMs);
    Handle(AttemptEnded{.call = call,
                        .exchange = IdOf(number),
                        .outcome = Outcome::kOk,
                        .terminal = true,
                        .report = {20.0F, 20.0F, queue, load_reduction}});
  }

  // Returns the number of the exchange that the latest event sent a set-up to; -1 if it sent none.
  int SentTo() const {
    const auto* send = FirstAction<SendSetUp>();
    return send == nullptr ? -1 : static_cast<int>(send->exchange) - 100;
  }
  template <typename T>
  const T* FirstAction() const {
    for (const Action& action : actions) {
      if (const auto* found = std::get_if<T>(&action)) return found;
    }
    return nullptr;
  }
  bool IsRefused() const { return FirstAction<RefuseCall>() != nullptr; }
  bool IsFailed() const { return FirstAction<FailCall>() != nullptr; }

  std::vector<Action> actions;
  TimeUs now = kStart;

 private:
  CallController controller_;
  CallId next_call_ = 1;
};

}  // namespace croftrun

#endif  // CROFTRUN_TESTS_CONTROLLER_FIXTURE_H_
