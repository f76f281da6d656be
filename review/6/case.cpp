// An exchange goes silent and comes back cold 1.5 s later, without its calls. The circuits of the group that its own
// callers take meanwhile must not be taken for the lost calls: their callers have to be told within 8 s of the end.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kOutageMs = 1500;            // the page allows 1.2 to 3.8 s
constexpr double kTellMs = 8000 + 50;         // from the end of a call without a release to the word to its caller
constexpr double kTellReleaseMs = 1000 + 50;  // from a release by the exchange
constexpr double kListDelayMs = 1500;         // the list tells the restart this long after the return

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
    e.circuits = 30;
    e.holding_ms = 11000;
    e.host = "127.0.0." + std::to_string(20 + i);
    e.Listen();
    all.push_back(e.Target("Ready"));
  }
  board.Put(all, true);
  Exchange& x = *exchanges[3];
  x.holding_ms = 13000;

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
  // Calls to the other exchanges go on all the time.
  TheLoop().Every(300, [&] {
    constexpr int kOthers[] = {1, 2, 4, 5};
    auto& on = conns[random() % conns.size()];
    if (!on->conn->alive()) on = callers.Open();
    callers.Send(on.get(), "slot-check", kOthers[random() % 4], 3000);
    return true;
  });
  // The group between this exchange and x serves the calls of both ends: five of the other end stand when it vanishes.
  const auto other_end_calls = [&] {
    ++x.others;
    Record("%s: a call of the other end takes a circuit, %ld of them in use", x.uid.c_str(), x.others);
    x.Gauge();
  };
  for (int i = 0; i < 5; ++i) TheLoop().After(500 + 400 * i, other_end_calls);
  TheLoop().Run(1500);
  std::vector<std::string> refs;
  for (int i = 0; i < 3; ++i) {
    refs.push_back(callers.Send(conns[static_cast<std::size_t>(i)].get(), "slot-hold", 3, 3000));
    TheLoop().Run(150);
  }
  TheLoop().Run(2000);
  std::vector<std::string> stood;
  for (const std::string& ref : refs) {
    if (callers.calls[ref].ups == 1 && x.standing.count(ref) > 0) stood.push_back(ref);
  }
  if (stood.empty()) throw CannotRun("no call stands at the exchange");

  const double ended_at = Now();
  if (trouble) {
    x.Vanish();
    TheLoop().Run(kOutageMs);
    x.Return();
    const auto boot_ms = static_cast<std::int64_t>(UnixMs());
    TheLoop().After(kListDelayMs, [&, boot_ms] { board.Put(json::array({x.Target("Ready", boot_ms)})); });
    // The callers of the other end, whose calls were cut, dial again; then one call a second.
    for (int i = 0; i < 5; ++i) TheLoop().After(20 + 150 * i, other_end_calls);
    for (int i = 0; i < 10; ++i) TheLoop().After(1500 + 1000 * i, other_end_calls);
    TheLoop().Run(kTellMs + 6000);
  } else {
    TheLoop().Run(16000);
  }
  if (!n0.Running()) throw CannotRun("the softswitch ended");
  std::size_t broken = 0;
  for (const std::string& ref : stood) {
    const Call& call = callers.calls[ref];
    double since = ended_at, limit = kTellMs;
    if (!trouble) {
      const auto released = x.released_at.find(ref);
      if (released == x.released_at.end()) throw CannotRun("a call did not end");
      since = released->second;
      limit = kTellReleaseMs;
    }
    const bool told = call.down_at >= 0 && call.down_at <= since + limit;
    if (call.down_at < 0) {
      Record("%s %s: its caller was never told, until %.0f ms after its end", told ? "ok" : "BROKEN", ref.c_str(),
             Now() - since);
    } else {
      Record("%s %s: its caller was told %.0f ms after its end", told ? "ok" : "BROKEN", ref.c_str(),
             call.down_at - since);
    }
    broken += told ? 0 : 1;
  }
  Record("calls that stood %zu, callers not told in time %zu", stood.size(), broken);
  return broken > 0;
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Run); }
