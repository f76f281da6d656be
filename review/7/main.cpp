// A softswitch is killed and starts again while a new exchange has the address of one that has ended, and the list does
// not say yet that the old one is gone. Calls stand at the new exchange; their callers name them to the new process.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kListedMs = 900;  // a new exchange is listed 0.87 to 2.5 s after its start
constexpr double kGoneMs = 4900;   // the list tells up to 5 s late that one is gone

bool Run(const std::string& root, const std::string& folder, bool trouble) {
  std::mt19937 random(std::random_device{}());
  std::vector<std::unique_ptr<Exchange>> exchanges;
  std::map<std::string, json> list;  // by uid: the board's list is in the order of the ids
  const auto whole_list = [&list] {
    json targets = json::array();
    for (const auto& [uid, target] : list) targets.push_back(target);
    return targets;
  };
  for (int i = 0; i < 6; ++i) {
    exchanges.push_back(std::make_unique<Exchange>());
    Exchange& e = *exchanges.back();
    // Ids tell nothing of age: that of the old exchange 3 comes after that of its successor.
    e.uid = i == 3 ? "s-00c41f7a" : "s-0000000" + std::to_string(i);
    e.number = i;
    e.circuits = 30;
    e.holding_ms = 10000;
    e.Listen();
    list[e.uid] = e.Target("Ready");
  }
  Exchange& old = *exchanges[3];
  old.holding_ms = 1000;
  // The events are numbered from 1 at each start of the softswitch, and the first one carries the whole list.
  auto board = std::make_unique<Board>();
  board->Listen();
  board->Put(whole_list(), true);

  Softswitch n0;
  n0.root = root;
  n0.folder = folder;
  n0.port = FreePort(n0.host);
  Site site;
  site.classes = {{"slot-check", 1500000, 9000000, 1, 0.25, 11000000},
                  {"slot-hold", 1500000, 9000000, 2, 0.1, 13000000}};
  n0.config = ConfigOf(site, n0, *board);
  n0.Start();
  n0.AwaitReady();

  Callers callers;
  callers.to = &n0;
  std::shared_ptr<CallerConn> on = callers.Open();
  bool calling = true;
  TheLoop().Every(250, [&] {
    constexpr int kOthers[] = {1, 2, 4, 5};
    if (!calling) return true;
    if (!on->conn->alive()) on = callers.Open();
    callers.Send(on.get(), "slot-check", kOthers[random() % 4], 3000);
    return true;
  });
  TheLoop().Run(1000);
  const auto tell = [&](const Exchange& e, const char* state, std::int64_t boot_ms) {
    list[e.uid] = e.Target(state, boot_ms);
    board->Put(json::array({list[e.uid]}));
  };
  // The old exchange drains and stops; a new one with a new id starts at its address and is listed soon.
  tell(old, "Terminating", 0);
  TheLoop().Run(2000);
  old.Stop();
  const double stopped_at = Now();
  TheLoop().Run(300);
  Exchange fresh;
  fresh.uid = "s-0091b2d4";
  fresh.number = 3;
  fresh.port = old.port;
  fresh.circuits = 30;
  fresh.holding_ms = 60000;
  fresh.Listen();
  const auto boot_ms = static_cast<std::int64_t>(UnixMs());
  TheLoop().Run(kListedMs);
  tell(fresh, "Ready", boot_ms);
  std::vector<std::string> refs;
  // The new exchange is cold, so that some calls to it are refused at first.
  for (int i = 0; i < 11 && fresh.standing.size() < 3; ++i) {
    refs.push_back(callers.Send(on.get(), "slot-hold", 3, 3000));
    TheLoop().Run(220);
  }
  std::vector<std::string> stood;
  for (const std::string& ref : refs) {
    if (callers.calls[ref].ups == 1 && fresh.standing.count(ref) > 0) stood.push_back(ref);
  }
  if (stood.empty()) throw CannotRun("no call stands at the new exchange");

  std::unique_ptr<Board> former;
  if (trouble) {
    calling = false;
    n0.Kill();
    TheLoop().Run(200);
    former = std::move(board);
    board = std::make_unique<Board>();
    board->Listen();
    board->Put(whole_list(), true);
    n0.config = ConfigOf(site, n0, *board);
    n0.Start();
    n0.AwaitReady();
    on = callers.Open();
    calling = true;
    for (const std::string& ref : stood) callers.Announce(on.get(), ref, "slot-hold", fresh.uid);
  }
  TheLoop().Run(std::max(100.0, stopped_at + kGoneMs - Now()));
  list.erase(old.uid);
  board->Put(json::array({old.Target("Gone")}));
  TheLoop().Run(1000);
  // Later calls to the number of the new exchange.
  std::vector<std::string> later;
  for (int i = 0; i < 10; ++i) {
    later.push_back(callers.Send(on.get(), "slot-hold", 3, 3000));
    TheLoop().Run(300);
  }
  TheLoop().Run(1000);
  if (!n0.Running()) throw CannotRun("the softswitch ended");
  std::size_t broken = 0, refused = 0;
  for (const std::string& ref : stood) {
    const Call& call = callers.calls[ref];
    const bool stands = fresh.standing.count(ref) > 0;
    const bool wrong = call.downs > 0 && stands;
    Record("%s %s: %s at %s, its caller was %s", wrong ? "BROKEN" : "ok", ref.c_str(),
           stands ? "stands, and no release of it came," : "does not stand", fresh.uid.c_str(),
           call.downs > 0 ? "told that it is over" : "told nothing");
    broken += wrong ? 1 : 0;
  }
  for (const std::string& ref : later) refused += callers.calls[ref].ups == 0 ? 1 : 0;
  Record("calls that stood %zu, of these told over %zu; later calls to this exchange %zu, of these not set up %zu",
         stood.size(), broken, later.size(), refused);
  return broken > 0;
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Run); }
