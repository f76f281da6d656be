// A controller of exchange 0 among exchanges 0..3 (ids 100..103), all ready, with a clock and an ear.
#ifndef CROFTRUN_TESTS_FIXTURE_H_
#define CROFTRUN_TESTS_FIXTURE_H_

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "croftrun/call_controller.h"

namespace croftrun {

constexpr TimeUs kMs = 1000;
constexpr TimeUs kStart = 1000 * 1000 * kMs;

inline Settings PlainSettings() {
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

class Bench {
 public:
  explicit Bench(const Settings& settings = PlainSettings(), std::uint64_t seed = 1)
      : controller_(settings, seed, kStart, &actions) {
    DirectoryUpdate list;
    for (int i = 0; i < 4; ++i) {
      list.entries.push_back({.exchange = Id(i), .zone = i % 2, .number = i});
    }
    Do(list);
    for (int i = 1; i < 4; ++i) Circuits(i, 20.0F);
  }

  static ExchangeId Id(int number) { return static_cast<ExchangeId>(100 + number); }

  void Do(const Event& event) {
    actions.clear();
    controller_.Handle(now, event, &actions);
  }
  void Circuits(int number, float spare, float total = 20.0F) {
    Do(LoadReportReceived{.exchange = Id(number), .report = {spare, total, -1.0F, -1.0F}});
  }
  void Status(int number, ExchangeStatus status, TimeUs since = 0) {
    DirectoryUpdate delta{.kind = DirectoryKind::kDelta};
    delta.entries.push_back(
        {.exchange = Id(number), .zone = number % 2, .number = number, .status = status, .since_us = since});
    Do(delta);
  }
  CallId Offer(int destination, double width = 1.0, int call_class = 0) {
    const CallId id = next_++;
    Do(CallOffered{.call = id,
                   .call_class = call_class,
                   .number_called = 5000 + id,
                   .budget_us = 3000 * kMs,
                   .destination = destination,
                   .width = width});
    return id;
  }
  CallId Transit(int destination) {
    const CallId id = next_++;
    Do(CallOffered{.call = id, .budget_us = 3000 * kMs, .destination = destination, .via = 3, .in_transit = true});
    return id;
  }
  void Stands(CallId call, int number, TimeUs elapsed, int attempt = 0) {
    Do(CallEstablished{.call = call, .exchange = Id(number), .attempt = attempt, .elapsed_us = elapsed});
  }
  void End(CallId call, int number, Outcome outcome, RejectCause cause = RejectCause::kNone, int attempt = 0,
           std::vector<float> report = {}, TimeUs elapsed = 1000 * kMs) {
    Do(AttemptEnded{.call = call,
                    .exchange = Id(number),
                    .attempt = attempt,
                    .outcome = outcome,
                    .cause = cause,
                    .elapsed_us = elapsed,
                    .report = std::move(report)});
  }

  // A call to `number` that stood after 100 ms and has ended, with the queue and the cut that came with its
  // end.
  void Complete(int number, float queue, float cut) {
    const CallId call = Offer(number);
    now += 100 * kMs;
    Stands(call, number, 100 * kMs);
    Do(AttemptEnded{.call = call,
                    .exchange = Id(number),
                    .outcome = Outcome::kOk,
                    .terminal = true,
                    .report = {20.0F, 20.0F, queue, cut}});
  }

  // The exchange the last event sent a call to, by number; -1: none.
  int SentTo() const {
    const auto* send = First<SendSetUp>();
    return send == nullptr ? -1 : static_cast<int>(send->exchange) - 100;
  }
  template <typename T>
  const T* First() const {
    for (const Action& action : actions) {
      if (const auto* found = std::get_if<T>(&action)) return found;
    }
    return nullptr;
  }
  bool Refused() const { return First<RefuseCall>() != nullptr; }
  bool Failed() const { return First<FailCall>() != nullptr; }

  std::vector<Action> actions;
  TimeUs now = kStart;

 private:
  CallController controller_;
  CallId next_ = 1;
};

}  // namespace croftrun

#endif  // CROFTRUN_TESTS_FIXTURE_H_
