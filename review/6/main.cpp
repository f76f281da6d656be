// An exchange's answer stops short and its connection stays open. The release of a call that stands, which the exchange
// sends next on that connection, cannot be read. The exchange sends it again on the next connection opened.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kTellMs = 8000 + 50;         // the widest limit for the word to the caller
constexpr double kTellReleaseMs = 1000 + 50;  // from a release by the exchange

bool Run(const std::string& root, const std::string& folder, bool trouble) {
  std::mt19937 random(std::random_device{}());
  Board board;
  board.Listen();
  std::vector<std::unique_ptr<Exchange>> exchanges;
  json all = json::array();
  for (int i = 0; i < 6; ++i) {
    exchanges.push_back(std::make_unique<Exchange>());
    Exchange& e = *exchanges.back();
    e.uid = "s-0000000" + std::to_string(i);
    e.number = i;
    e.circuits = 40;
    e.holding_ms = 11000;
    e.answer_ms = 60;
    e.Listen();
    all.push_back(e.Target("Ready"));
  }
  board.Put(all, true);
  Exchange& x = *exchanges[3];
  x.holding_ms = 30000;

  Softswitch n0;
  n0.root = root;
  n0.folder = folder;
  n0.port = FreePort(n0.host);
  Site site;
  site.classes = {{"slot-check", 1500000, 9000000, 1, 0.25, 11000000},
                  {"slot-hold", 1500000, 9000000, 2, 0.1, 13000000}};
  n0.config = ConfigOf(site, n0, board);
  n0.Start();
  n0.AwaitReady();

  Callers callers;
  callers.to = &n0;
  std::vector<std::shared_ptr<CallerConn>> conns;
  for (int i = 0; i < 3; ++i) conns.push_back(callers.Open());
  const auto place = [&](int destination, const char* call_class) {
    auto& on = conns[random() % conns.size()];
    if (!on->conn->alive()) on = callers.Open();
    return callers.Send(on.get(), call_class, destination, 3000);
  };
  // A call to another exchange each 300 ms. The group to x changes each 700 ms, as a call of its other end begins or
  // ends, and the softswitch is told so.
  TheLoop().Every(300, [&] {
    constexpr int kOthers[] = {1, 2, 4, 5};
    place(kOthers[random() % 4], "slot-check");
    return true;
  });
  bool more = false;
  TheLoop().Every(700, [&] {
    more = !more;
    x.others += more ? 1 : -1;
    x.Gauge();
    return true;
  });
  TheLoop().Run(1000);
  // Three calls at once are set up on three connections, and stand.
  for (int i = 0; i < 3; ++i) place(3, "slot-hold");
  TheLoop().Run(1500);
  // Two further calls at once. The answer of one that shares its connection with a call that stands stops short.
  std::string ended;
  bool chosen = false;
  x.instead = [&](const Exchange::SetUp& set_up) {
    if (chosen || set_up.conn.get() == x.newest()) return false;
    std::string on_it;
    for (const auto& [ref, call] : x.standing) {
      if (call.conn == set_up.conn) on_it = ref;
    }
    if (on_it.empty()) return false;
    chosen = true;
    TheLoop().After(x.answer_ms, [&, set_up] {
      if (!trouble) return x.Answer(set_up.ref);
      const std::string answer =
          Line({{"t", "up"}, {"ref", set_up.ref}, {"f", json::object()}, {"d", x.DescriptionOf(set_up.ref)}});
      Record("%s up %s, which stops short; the connection stays open", x.uid.c_str(), set_up.ref.c_str());
      set_up.conn->Write(answer.substr(0, answer.size() / 2));
      x.pending.erase(set_up.ref);
      x.standing[set_up.ref] = {set_up.conn};
    });
    TheLoop().After(x.answer_ms + 200, [&, on_it] {
      ended = on_it;
      x.EndCall(on_it, 16);
    });
    return true;
  };
  place(3, "slot-check");
  place(3, "slot-check");
  TheLoop().Run(1000);
  if (ended.empty()) throw CannotRun("no call shared its connection with the spoilt answer");
  // From here on one call at a time to x.
  for (int i = 0; i < 14; ++i) {
    place(3, "slot-check");
    TheLoop().Run(1000);
  }
  if (!n0.Running()) throw CannotRun("the softswitch ended");
  const Call& call = callers.calls[ended];
  if (call.ups != 1 || x.released_at.count(ended) == 0) throw CannotRun("the call did not stand, or did not end");
  const double since = x.released_at[ended], limit = trouble ? kTellMs : kTellReleaseMs;
  const bool told = call.down_at >= 0 && call.down_at <= since + limit;
  Record("%s %s: its caller was told %.0f ms after the release (-1: never, until %.0f ms after it)",
         told ? "ok" : "BROKEN", ended.c_str(), call.down_at < 0 ? -1.0 : call.down_at - since, Now() - since);
  return !told;
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Run); }
