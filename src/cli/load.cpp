// croftrun lab load: loads one edge with calls and relates its cost to that of a plain UDP echo on the same machine.
#include <sched.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "cli/commands.h"
#include "lab/collector.h"
#include "lab/edge_processes.h"
#include "lab/load_generator.h"
#include "lab/numbering.h"

namespace croftrun::cli {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

// Requests a processor for a process; a negative number leaves it unpinned.
void Pin(pid_t process, int cpu) {
  if (cpu < 0) return;
  cpu_set_t set;
  CPU_ZERO(&set);
  CPU_SET(static_cast<std::size_t>(cpu), &set);
  if (::sched_setaffinity(process, sizeof(set), &set) != 0) std::fprintf(stderr, "cannot pin to processor %d\n", cpu);
}

// Processor time used by a process in seconds, and its resident memory in bytes.
struct Usage {
  double cpu_s = 0.0;
  double resident = 0.0;
};
Usage UsageOf(pid_t process) {
  Usage usage;
  std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skip;
  for (int i = 0; i < 11; ++i) fields >> skip;
  double user = 0.0, system = 0.0;
  fields >> user >> system;
  usage.cpu_s = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream statm("/proc/" + std::to_string(process) + "/statm");
  double total = 0.0, resident = 0.0;
  statm >> total >> resident;
  usage.resident = resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
  return usage;
}

asio::awaitable<void> Echo(udp::socket socket) {
  std::array<char, 2048> buffer;
  udp::endpoint from;
  while (true) {
    const std::size_t size = co_await socket.async_receive_from(asio::buffer(buffer), from, asio::use_awaitable);
    co_await socket.async_send_to(asio::buffer(buffer, size), from, asio::use_awaitable);
  }
}

// Sends NTFY commands from a loopback address that is not the edge's gateway, until a stop is requested or 30 s after
// the planned end of the load. Returns the number of datagrams sent.
std::uint64_t SendStrayDatagrams(const core::Address& edge, const LoadRun& options, const std::stop_token& stop) {
  asio::io_context context{1};
  udp::socket socket(context, udp::endpoint{asio::ip::make_address_v4("127.99.0.1"), 0});
  socket.non_blocking(true);
  const udp::endpoint destination{asio::ip::address_v4(edge.host), edge.port};
  const auto start = std::chrono::steady_clock::now();
  std::array<char, 2048> buffer;
  boost::system::error_code error;
  std::uint64_t sent = 0;
  while (!stop.stop_requested()) {
    const double elapsed_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    if (elapsed_s > options.seconds + 30.0) break;
    const auto due = static_cast<std::uint64_t>(elapsed_s * options.stray_datagrams_per_s);
    for (; sent < due; ++sent) {
      const std::string text = "NTFY " + std::to_string(sent % 999'999'999 + 1) + " aaln/" +
                               std::to_string(sent % 500 + 1) +
                               "@load.lab MGCP 1.0\r\nX: 1\r\nO: L/hd, D/1, D/2, D/3\r\n";
      socket.send_to(asio::buffer(text), destination, 0, error);
    }
    while (socket.receive(asio::buffer(buffer), 0, error) > 0 && !error) {
    }
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
  return sent;
}

struct EchoFigures {
  double datagrams_per_s = 0.0;      // received and sent
  double datagrams_per_cpu_s = 0.0;  // per second of the echo process's processor time
};

// Measures the upper limit for one thread and one socket: a Boost.Asio echo of datagrams of the size used in calls.
EchoFigures MeasureEcho(const core::Address& at, int cpu) {
  const udp::endpoint where{asio::ip::address_v4(at.host), at.port};
  const pid_t child = ::fork();
  if (child == 0) {
    Pin(0, cpu);
    asio::io_context context{1};
    asio::co_spawn(context, Echo(udp::socket(context, where)), asio::detached);
    context.run_for(std::chrono::seconds(10));
    ::_exit(0);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  asio::io_context context{1};
  udp::socket socket(context, udp::endpoint{asio::ip::address_v4(at.host), 0});
  socket.non_blocking(true);
  std::array<char, 300> datagram{};
  std::array<char, 2048> buffer;
  boost::system::error_code error;
  const double cpu_before = UsageOf(child).cpu_s;
  const auto start = std::chrono::steady_clock::now();
  std::uint64_t received = 0;
  int outstanding = 0;
  auto last = start;
  while (true) {
    const auto now = std::chrono::steady_clock::now();
    if (now - start > std::chrono::seconds(2)) break;
    if (now - last > std::chrono::milliseconds(50)) outstanding = 0;  // lost
    while (outstanding < 128) {
      socket.send_to(asio::buffer(datagram), where, 0, error);
      ++outstanding;
    }
    udp::endpoint from;
    while (socket.receive_from(asio::buffer(buffer), from, 0, error) > 0 && !error) {
      ++received;
      --outstanding;
      last = now;
    }
  }
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  const double used = UsageOf(child).cpu_s - cpu_before;
  ::kill(child, SIGKILL);
  ::waitpid(child, nullptr, 0);
  return {2.0 * static_cast<double>(received) / seconds, used > 0.0 ? 2.0 * static_cast<double>(received) / used : 0.0};
}

// Quantile of the values, which are sorted in place.
double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0.0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

std::string EdgeSettings(const lab::LoadGeneratorSettings& load, std::size_t circuits, const std::string& rules,
                         const std::string& collector, const std::string& folder) {
  nlohmann::json json = {
      {"exchange", {{"number", 0}}},
      {"agent",
       {{"listen", core::ToString(load.edge)},
        {"most_calls", 200'000},
        {"answer_margin_ms", 50},
        {"shutdown_limit_ms", 3000},
        {"seed", 1}}},
      {"gateway", {{"address", core::ToString(load.gateway)}, {"domain", load.domain}}},
      {"lines", {{"count", load.lines}, {"number_prefix", ""}, {"digit_map", "xxxxxxxxx"}}},
      {"groups", {{{"exchange", 1}, {"circuits", circuits}}}},
      {"classes",
       {{{"name", "load"},
         {"aim_ms", 1500},
         {"give_up_ms", load.caller_timeout_us / 1000},
         {"holding_ms", load.holding_us / 1000}}}},
      {"plan", {{{"prefix", lab::NumberPrefix(0, 0, 1)}, {"exchange", 1}, {"class", "load"}}}},
      {"roster", {{"server", core::ToString(load.roster)}, {"listen", core::ToString(load.edge_roster)}}},
      {"network", {{"release_ms", 300}, {"drain_grace_ms", 500}, {"most_attempts", 4}, {"may_cancel", true}}},
      {"log", {{"level", "warning"}}}};
  if (!rules.empty()) json["rules_file"] = rules;
  if (!collector.empty()) {
    nlohmann::json destination = {
        {"address", "127.30.0.4:4739"}, {"transport", collector == "udp" ? "udp" : "tcp"}, {"queue", 65'536}};
    if (collector == "spool" || collector == "outage") destination["spool"] = {{"folder", folder + "/spool"}};
    if (collector == "outage") destination["longest_wait_ms"] = 2000;
    json["flow"] = {{"collectors", {destination}}};
  }
  return json.dump(1);
}

}  // namespace

int RunLoad(const LoadRun& options) {
  std::filesystem::create_directories(options.folder);
  std::filesystem::remove_all(options.folder + "/spool");
  const auto loopback = [](std::uint32_t last, std::uint16_t port) {
    return core::Address{127U << 24U | 30U << 16U | last, port};
  };
  lab::LoadGeneratorSettings load;
  load.gateway = loopback(2, 2427);
  load.edge = loopback(1, 2727);
  load.roster = loopback(3, 4000);
  load.edge_roster = loopback(1, 2728);
  load.calls_per_s = options.calls_per_s;
  load.holding_us = static_cast<TimeUs>(options.hold_ms) * 1000;
  load.length_us = static_cast<TimeUs>(options.seconds) * 1'000'000;
  const double concurrent_calls = options.calls_per_s * (options.hold_ms / 1000.0 + 0.5);
  load.lines =
      options.lines > 0 ? options.lines : std::clamp(static_cast<int>(concurrent_calls * 1.3) + 100, 100, 100'000);
  const auto circuits = static_cast<std::size_t>(std::min(65'000, load.lines));

  EchoFigures echo;
  if (options.echo) echo = MeasureEcho(loopback(9, 7007), options.edge_cpu);

  lab::Collector collector(loopback(4, 4739));
  if (options.flow == "udp") collector.StartUdp();
  if (options.flow == "tcp" || options.flow == "outage") collector.StartTcp(lab::Collector::Mode::kRead);
  if (options.flow == "stall") collector.StartTcp(lab::Collector::Mode::kStall);
  Pin(0, options.own_cpu);
  lab::LoadGenerator line(load);
  lab::EdgeProcesses edges(options.edge_program, options.folder);
  edges.Start(0, EdgeSettings(load, circuits, options.rules, options.flow, options.folder));
  const pid_t edge = edges.ProcessId(0);
  Pin(edge, options.edge_cpu);
  if (!line.WaitForEdge(20'000'000)) {
    std::cerr << "the edge did not start within 20 s\n";
    return kCannotRun;
  }
  struct Peak {
    pid_t edge;
    Usage usage;
  } peak{edge, {}};
  // Reloads the rules by signal while calls are in progress, as an operator would.
  std::uint64_t reloads = 0;
  std::jthread reload;
  if (options.reload_ms > 0) {
    reload = std::jthread([&](const std::stop_token& stop) {
      while (!stop.stop_requested()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(options.reload_ms));
        ::kill(edge, SIGHUP);
        ++reloads;
      }
    });
  }
  std::atomic<std::int64_t> restored_at_us{0};
  std::jthread outage;
  if (options.flow == "outage") {
    outage = std::jthread([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(options.seconds * 250));
      collector.Stop();
      std::this_thread::sleep_for(std::chrono::seconds(options.outage_s));
      restored_at_us =
          std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
              .count();
      collector.StartTcp(lab::Collector::Mode::kRead);
    });
  }
  std::uint64_t stray_datagrams_sent = 0;
  std::jthread stray_sender;
  if (options.stray_datagrams_per_s > 0.0) {
    stray_sender = std::jthread(
        [&](const std::stop_token& stop) { stray_datagrams_sent = SendStrayDatagrams(load.edge, options, stop); });
  }
  const Usage before = UsageOf(edge);
  lab::LoadResults f =
      line.Run([](void* p) { static_cast<Peak*>(p)->usage = UsageOf(static_cast<Peak*>(p)->edge); }, &peak);
  if (stray_sender.joinable()) {
    stray_sender.request_stop();
    stray_sender.join();
  }
  if (outage.joinable()) outage.join();
  if (reload.joinable()) {
    reload.request_stop();
    reload.join();
  }
  const bool clean = edges.StopAll(10'000);

  std::this_thread::sleep_for(std::chrono::milliseconds(options.flow.empty() ? 0 : 200));
  collector.Stop();
  const double cpu = peak.usage.cpu_s - before.cpu_s;
  const double completed_calls = static_cast<double>(f.answered + f.refused + f.failed);
  const double datagrams = static_cast<double>(f.datagrams_in + f.datagrams_out);
  const double per_call = completed_calls > 0.0 ? datagrams / completed_calls : 0.0;
  const double calls_per_cpu_s = cpu > 0.0 ? completed_calls / cpu : 0.0;
  const double bytes = f.max_simultaneous_calls > 0
                           ? (peak.usage.resident - before.resident) / static_cast<double>(f.max_simultaneous_calls)
                           : 0.0;
  nlohmann::json json = {
      {"asked_calls_per_s", options.calls_per_s},
      {"offered", f.offered},
      {"answered", f.answered},
      {"refused", f.refused},
      {"failed", f.failed},
      {"unanswered", f.unanswered},
      {"late", f.late},
      {"no_line", f.no_free_line},
      {"repeats", f.repeats},
      {"rejected", f.rejected},
      {"calls_per_s", completed_calls / std::max(0.001, f.seconds)},
      {"edge_cpu_share", cpu / std::max(0.001, f.seconds)},
      {"calls_per_cpu_s", calls_per_cpu_s},
      {"datagrams_per_call", per_call},
      {"datagrams_per_cpu_s", calls_per_cpu_s * per_call},
      {"echo_datagrams_per_s", echo.datagrams_per_s},
      {"echo_datagrams_per_cpu_s", echo.datagrams_per_cpu_s},
      {"share_of_echo", echo.datagrams_per_cpu_s > 0.0 ? calls_per_cpu_s * per_call / echo.datagrams_per_cpu_s : 0.0},
      {"added_ms",
       {{"median", Quantile(f.added_delays_us, 0.5) / 1000.0},
        {"p99", Quantile(f.added_delays_us, 0.99) / 1000.0},
        {"p999", Quantile(f.added_delays_us, 0.999) / 1000.0}}},
      {"answer_ms",
       {{"median", Quantile(f.answer_delays_us, 0.5) / 1000.0}, {"p99", Quantile(f.answer_delays_us, 0.99) / 1000.0}}},
      {"most_up", f.max_simultaneous_calls},
      {"bytes_per_call_up", bytes},
      {"flow_calls", collector.calls.load()},
      {"flow_attempts", collector.attempts.load()},
      {"flow_spooled", collector.spooled.load()},
      {"flow_possibly_repeated", collector.possibly_repeated.load()},
      {"flow_recovered_s",
       restored_at_us > 0 ? static_cast<double>(collector.last_replayed_us - restored_at_us) / 1e6 : 0.0},
      {"reloads", reloads},
      {"strangers_sent", stray_datagrams_sent},
      {"edge_exited_clean", clean}};
  if (options.json) {
    std::cout << json.dump(1) << "\n";
  } else {
    for (const auto& [key, value] : json.items()) std::printf("%-28s %s\n", key.c_str(), value.dump().c_str());
  }
  return f.unanswered == 0 && f.late == 0 && clean ? kDone : kCheckFailed;
}

}  // namespace croftrun::cli
