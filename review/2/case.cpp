// Bad clients open connections by the hundred and say nothing. The softswitch makes room and closes the idle connection
// of a caller whose calls stand. The caller opens another one and names its calls there with `at`. Later the exchange
// releases the calls.
#include "../common/stand.h"

using namespace review;

int main(int argc, char** argv) {
  const std::string folder = Begin(argc, argv);
  constexpr double kReleaseLimit = 1.0, kSlack = 0.05;
  constexpr int kSilentConnections = 300;
  Exchange own("127.82.1.1", "s-00c41f79", 0, 10), one("127.82.1.2", "s-00c41f7a", 1, 10),
      two("127.82.1.3", "s-00c41f7b", 2, 10);
  Board board("127.82.2.1");
  const Address listen = FreeAddress("127.82.0.4");
  const json targets = json::array({Target(own, "Ready"), Target(one, "Ready"), Target(two, "Ready")});
  json config = Config("n0", listen, board, targets, SiteSettings(500, 300, true));
  config["limits"]["sockets"] = 256;
  g_softswitch.Start(folder, config, "n0", listen);
  Caller front("127.82.3.1", listen), caller("127.82.3.2", listen), other("127.82.3.3", listen),
      bad("127.82.3.9", listen);
  WaitUntilReady(&front);

  // Ordinary calls of another host.
  other.log = two.log = false;
  Connection* busy = other.Open();
  if (busy == nullptr) CouldNotRun("no connection to the softswitch");
  std::function<void()> call = [&] {
    const std::string id = NewId();
    if (!busy->open()) busy = other.Open();
    if (busy == nullptr) CouldNotRun("no further connection to the softswitch");
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
  g_loop.RunUntil(Now() + 2.0);
  Connection* current = first;
  // The caller opens another connection whenever the softswitch has closed the one it had, and names its calls on it.
  std::function<void()> keep_connected = [&] {
    if (!current->open()) {
      Connection* const next = caller.Open();
      if (next == nullptr) CouldNotRun("no further connection to the softswitch");
      current = next;
      for (const std::string& id : ids) {
        if (caller.calls[id].downs == 0) caller.Announce(current, id, "slot-hold", one);
      }
    }
    g_loop.After(0.05, keep_connected);
  };
  keep_connected();
  if (Trouble()) {
    bad.log = false;
    Record("a bad client opens %d connections and says nothing", kSilentConnections);
    for (int i = 0; i < kSilentConnections; ++i) bad.Open();
  }
  g_loop.RunUntil(Now() + 6.0);
  if (Trouble() && current == first) Record("the softswitch has kept the caller's connection");
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
    Record("%scall %s: released by its exchange at %.3f, %s %.3f", in_time ? "" : "BROKEN: ", id.c_str(),
           released_at[id], state.downs > 0 ? "its caller was told at" : "its caller was not told until",
           state.downs > 0 ? state.down_at : Now());
  }
  Record("%s", broken > 0 ? "rule broken" : "rule held");
  std::printf("%s: %d of %zu calls\n", broken > 0 ? "broken" : "held", broken, ids.size());
  Finish(broken > 0 ? kBroken : kHeld);
}
