// A caller whose calls stand changes its connection: it closes the one on which no set-up has been for 4 s, opens
// another and names its calls there with `at`. Then the exchange releases the calls.
#include "../common/stand.h"

using namespace review;

int main(int argc, char** argv) {
  const std::string folder = Begin(argc, argv);
  constexpr double kReleaseLimit = 1.0, kSlack = 0.05;
  Exchange own("127.82.1.1", "s-00c41f79", 0, 10), one("127.82.1.2", "s-00c41f7a", 1, 10),
      two("127.82.1.3", "s-00c41f7b", 2, 10);
  Board board("127.82.2.1");
  const Address listen = FreeAddress("127.82.0.4");
  const json targets = json::array({Target(own, "Ready"), Target(one, "Ready"), Target(two, "Ready")});
  g_softswitch.Start(folder, Config("n0", listen, board, targets, SiteSettings(500, 300, true)), "n0", listen);
  Caller front("127.82.3.1", listen), caller("127.82.3.2", listen), other("127.82.3.3", listen);
  WaitUntilReady(&front);

  // Ordinary calls of another host.
  other.log = two.log = false;
  Connection* const busy = other.Open();
  if (busy == nullptr) CouldNotRun("no connection to the softswitch");
  std::function<void()> call = [&] {
    const std::string id = NewId();
    other.SetUp(busy, id, "slot-check", 2, 3000);
    g_loop.After(1.0, [&two, id] { two.EndCall(id); });
    g_loop.After(0.5, call);
  };
  call();

  Connection* const first = caller.Open();
  if (first == nullptr) CouldNotRun("no connection to the softswitch");
  std::vector<std::string> ids;
  for (int i = 0; i < 3; ++i) {
    ids.push_back(NewId());
    caller.SetUp(first, ids.back(), "slot-hold", 1, 3000);
  }
  const auto all_stand = [&] {
    return std::all_of(ids.begin(), ids.end(), [&](const auto& id) { return caller.calls[id].ups == 1; });
  };
  if (!g_loop.RunUntilTrue(3.0, all_stand)) CouldNotRun("the calls did not stand");
  g_loop.RunUntil(Now() + 4.0);
  Connection* current = first;
  if (Trouble()) {
    Record("caller: no set-up for 4 s: closes connection %d", first->tag);
    first->Close();
    current = caller.Open();
    if (current == nullptr) CouldNotRun("no second connection to the softswitch");
    for (const std::string& id : ids) caller.Announce(current, id, "slot-hold", one);
  }
  g_loop.RunUntil(Now() + 5.0);
  std::map<std::string, double> released_at;
  for (const std::string& id : ids) {
    released_at[id] = Now();
    one.EndCall(id);
    g_loop.RunUntil(Now() + 0.3);
  }
  g_loop.RunUntil(Now() + 12.0);
  if (!g_softswitch.Alive()) CouldNotRun("the softswitch ended");
  Record("the caller's connection %d is %s", current->tag, current->open() ? "open" : "closed by the softswitch");
  int broken = 0;
  for (const std::string& id : ids) {
    const Caller::Call& state = caller.calls[id];
    const bool in_time = state.downs > 0 && state.down_at <= released_at[id] + kReleaseLimit + kSlack;
    broken += in_time ? 0 : 1;
    Record("%scall %s: released by its exchange at %.3f, %s %.3f", in_time ? "" : "BROKEN: ", id.c_str(), released_at[id],
           state.downs > 0 ? "its caller was told at" : "its caller was not told until", state.downs > 0 ? state.down_at : Now());
  }
  // Where the caller's connection was closed meanwhile, no release could be sent on it: not a case of this rule.
  if (!current->open()) CouldNotRun("the caller has no connection");
  Record("%s", broken > 0 ? "rule broken" : "rule held");
  std::printf("%s: %d of %zu calls\n", broken > 0 ? "broken" : "held", broken, ids.size());
  Finish(broken > 0 ? kBroken : kHeld);
}
