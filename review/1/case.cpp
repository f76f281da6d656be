// Slow discovery. The notice board takes 2.5 s from a request to the first octet of its answer; after that it tells
// each event at once and writes a comment every second. Six seconds later an exchange drains.
#include "../common/stand.h"

using namespace review;

int main(int argc, char** argv) {
  const std::string folder = Begin(argc, argv);
  constexpr double kSlowAnswer = 2.5;
  constexpr double kDrainGrace = 0.5, kSlack = 0.05;
  // The pages count an event as told once it is in the board, and on days with a silent board 4 s later at the latest.
  // Allowed here are these 4 s and the whole of one slow answer on top.
  const double allowance = Trouble() ? 4.0 + kSlowAnswer : 0.0;

  Exchange own("127.81.1.1", "s-00c41f79", 0, 10), one("127.81.1.2", "s-00c41f7a", 1, 10),
      two("127.81.1.3", "s-00c41f7b", 2, 10);
  Board board("127.81.2.1");
  if (Trouble()) board.answer_delay = kSlowAnswer;
  const Address listen = FreeAddress("127.81.0.4");
  const json targets = json::array({Target(own, "Ready"), Target(one, "Ready"), Target(two, "Ready")});
  g_softswitch.Start(folder, Config("n0", listen, board, targets, SiteSettings(500, 300, true)), "n0", listen);
  Caller front("127.81.3.1", listen), caller("127.81.3.2", listen);
  WaitUntilReady(&front);

  double told_at = 0.0, limit = 1e9;
  int late = 0, in_time = 0;
  for (Exchange* const exchange : {&one, &two}) {
    exchange->on_set_up = [&, exchange](Connection& connection, const Message& message) {
      if (exchange == &one && told_at > 0.0) {
        const bool is_late = Now() > limit;
        ++(is_late ? late : in_time);
        if (is_late)
          Record("BROKEN: set-up %s came to the draining exchange %.3f s after the event was in the board",
                 message.id.c_str(), Now() - told_at);
      }
      exchange->Answer(connection, message.id);
      g_loop.After(0.6, [exchange, id = message.id] { exchange->EndCall(id); });
    };
  }
  Connection* const connection = caller.Open();
  if (connection == nullptr) CouldNotRun("no connection to the softswitch");
  int turn = 0;
  std::function<void()> call = [&] {
    if (!connection->open()) CouldNotRun("the caller's connection ended");
    caller.SetUp(connection, NewId(), "slot-check", 1 + ++turn % 2, 3000);
    g_loop.After(0.2, call);
  };
  call();
  g_loop.RunUntil(Now() + 6.0);
  if (one.set_ups == 0 || two.set_ups == 0) CouldNotRun("no calls came to the exchanges before the drain");
  told_at = Now();
  limit = told_at + allowance + kDrainGrace + kSlack;
  board.Publish(2, Event(2, false, json::array({Target(one, "Terminating")})));
  g_loop.RunUntil(Now() + 14.0);
  if (!g_softswitch.Alive()) CouldNotRun("the softswitch ended");
  Record("set-ups to the draining exchange: %d within the allowed time, %d after it (%.2f s after the event)", in_time,
         late, limit - told_at);
  Record("%s", late > 0 ? "rule broken" : "rule held");
  std::printf("%s: %d late set-ups\n", late > 0 ? "broken" : "held", late);
  Finish(late > 0 ? kBroken : kHeld);
}
