// Stand-ins for the review cases: exchanges, the notice board, callers, and the start of the softswitch. One thread,
// one poll loop, the real clock. Every address is a loopback address. The stand-ins behave as PROTOCOL.md asks; a case
// switches on its one disruption.
#ifndef REVIEW_COMMON_STAND_H_
#define REVIEW_COMMON_STAND_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace review {

using nlohmann::json;

// ---- clock, record, exit codes ----

enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

inline double UnixNow() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline double SteadyNow() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline double g_start = SteadyNow();
inline double Now() { return SteadyNow() - g_start; }  // seconds since the start of the case

inline FILE* g_record = nullptr;
inline void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void Record(const char* format, ...) {
  char text[1024];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof(text), format, arguments);
  va_end(arguments);
  if (g_record == nullptr) return;
  std::fprintf(g_record, "%8.3f %s\n", Now(), text);
  std::fflush(g_record);
}

inline bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

// ---- addresses and sockets ----

struct Address {
  std::string host;
  int port = 0;
  std::string Text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in SockAddr(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

[[noreturn]] inline void CouldNotRun(const std::string& why);

inline int ListenOn(Address* address, int backlog = 128) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in local = SockAddr(address->host, address->port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof(local)) != 0 || ::listen(fd, backlog) != 0)
    CouldNotRun("cannot listen on " + address->Text());
  socklen_t size = sizeof(local);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size);
  address->port = ntohs(local.sin_port);
  return fd;
}

// Returns a port on this host that is free at the moment.
inline Address FreeAddress(const std::string& host) {
  Address address{host, 0};
  ::close(ListenOn(&address));
  return address;
}

// ---- poll loop ----

class Loop {
 public:
  void Watch(int fd, short events, std::function<void(short)> handler) { watched_[fd] = {events, std::move(handler)}; }
  void SetEvents(int fd, short events) {
    if (const auto found = watched_.find(fd); found != watched_.end()) found->second.events = events;
  }
  void Forget(int fd) { watched_.erase(fd); }
  void At(double time, std::function<void()> due) { timers_.emplace(time, std::move(due)); }
  void After(double delay, std::function<void()> due) { At(Now() + delay, std::move(due)); }
  void RunUntil(double end) {
    while (Now() < end) {
      while (!timers_.empty() && timers_.begin()->first <= Now()) {
        const auto due = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        due();
      }
      double wait = end - Now();
      if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - Now());
      std::vector<pollfd> polled;
      for (const auto& [fd, watch] : watched_) polled.push_back({fd, watch.events, 0});
      ::poll(polled.data(), polled.size(), std::max(0, static_cast<int>(wait * 1000.0)));
      for (const pollfd& item : polled) {
        if (item.revents == 0) continue;
        const auto found = watched_.find(item.fd);
        if (found == watched_.end()) continue;
        const auto handler = found->second.handler;
        handler(item.revents);
      }
    }
  }
  // Runs until the condition holds; returns false if it does not within this time.
  bool RunUntilTrue(double timeout, const std::function<bool()>& condition) {
    const double end = Now() + timeout;
    while (!condition()) {
      if (Now() >= end) return false;
      RunUntil(std::min(end, Now() + 0.02));
    }
    return true;
  }

 private:
  struct Watched {
    short events = 0;
    std::function<void(short)> handler;
  };
  std::map<int, Watched> watched_;
  std::multimap<double, std::function<void()>> timers_;
};

inline Loop g_loop;

// ---- the process under test ----

class Softswitch {
 public:
  // `command` is the `run` command of the deploy file, started from the repository's root.
  void Start(const std::string& folder, const json& config, const std::string& name, const Address& listen) {
    const std::string path = folder + "/config.json", log = folder + "/log.txt", temporary = folder + "/tmp";
    std::ofstream(path) << config.dump();
    [[maybe_unused]] const int made = std::system(("mkdir -p " + temporary).c_str());
    const char* const command = std::getenv("RUN_COMMAND");
    if (command == nullptr) CouldNotRun("RUN_COMMAND is not set");
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("GW_NAME", name.c_str(), 1);
      ::setenv("GW_LISTEN", listen.Text().c_str(), 1);
      ::setenv("GW_CONFIG", path.c_str(), 1);
      ::setenv("TMPDIR", temporary.c_str(), 1);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execl("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr));
      ::_exit(127);
    }
    Record("softswitch started, listens on %s", listen.Text().c_str());
  }
  bool Alive() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
    Record("softswitch ended, status %d", status);
    pid_ = 0;
    return false;
  }
  void Signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }

 private:
  pid_t pid_ = 0;
};

inline Softswitch g_softswitch;

[[noreturn]] inline void Finish(int code) {
  g_softswitch.Kill();
  std::exit(code);
}
[[noreturn]] inline void CouldNotRun(const std::string& why) {
  Record("COULD NOT RUN: %s", why.c_str());
  std::printf("could not run: %s\n", why.c_str());
  Finish(kCouldNotRun);
}

// ---- connections that carry lines ----

struct Message {
  std::string type, id, note, description;
  int cause = -1;
  std::map<std::string, std::string> fields;
};

inline std::string Line(const json& object) { return object.dump() + "\n"; }

class Connection {
 public:
  using OnMessage = std::function<void(Connection&, const Message&)>;
  Connection(int fd, OnMessage on_message, std::function<void(Connection&)> on_end)
      : fd_(fd), on_message_(std::move(on_message)), on_end_(std::move(on_end)) {
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    g_loop.Watch(fd, POLLIN, [this](short) { Read(); });
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  bool open() const { return fd_ >= 0; }
  // A frozen connection neither reads nor writes and stays open.
  void Freeze() {
    frozen_ = true;
    if (fd_ >= 0) g_loop.Forget(fd_);
  }
  // The machine has started anew and does not know this connection: octets on it are answered by a reset.
  void ResetOnData() {
    if (fd_ >= 0)
      g_loop.Watch(fd_, POLLIN, [this](short) {
        Record("octets on a connection of before the restart: reset");
        Reset();
      });
  }
  void Send(const json& object) {
    if (fd_ < 0 || frozen_) return;
    const std::string line = Line(object);
    if (::send(fd_, line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size()))
      Record("a stand-in could not write a line");
  }
  void SendText(const std::string& text) {
    if (fd_ >= 0 && !frozen_) [[maybe_unused]]
      const auto sent = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
  }
  void Close() {
    if (fd_ < 0) return;
    g_loop.Forget(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  void Reset() {
    if (fd_ < 0) return;
    const linger option{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    Close();
  }
  int tag = 0;

 private:
  void Read() {
    char buffer[16384];
    const auto received = ::recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (received <= 0) {
      Close();
      if (on_end_) on_end_(*this);
      return;
    }
    input_.append(buffer, static_cast<std::size_t>(received));
    for (std::size_t end; (end = input_.find('\n')) != std::string::npos;) {
      const std::string line = input_.substr(0, end);
      input_.erase(0, end + 1);
      const json object = json::parse(line, nullptr, false);
      if (!object.is_object()) {
        Record("a stand-in read a line that is no object: %.80s", line.c_str());
        continue;
      }
      Message message;
      message.type = object.value("t", "");
      message.id = object.value("ref", "");
      message.cause = object.value("c", -1);
      message.description = object.value("d", "");
      if (object.contains("f")) {
        for (const auto& [key, value] : object["f"].items())
          message.fields[key] = value.is_string() ? value.get<std::string>() : value.dump();
      }
      on_message_(*this, message);
      if (fd_ < 0) return;
    }
  }
  int fd_;
  bool frozen_ = false;
  std::string input_;
  OnMessage on_message_;
  std::function<void(Connection&)> on_end_;
};

// ---- exchange ----

class Exchange {
 public:
  Exchange(const std::string& host, std::string uid, int number, int circuits)
      : address{host, 0}, uid(std::move(uid)), number(number), circuits(circuits) {
    fd_ = ListenOn(&address);
    WatchListener();
  }
  // Called for each set-up; the default answers at once.
  std::function<void(Connection&, const Message&)> on_set_up;
  std::size_t used() const { return standing.size() + far_end_circuits; }
  void Answer(Connection& connection, const std::string& id) {
    standing[id] = &connection;
    const std::string description = "up-" + uid + "-" + id;
    if (log) Record("%s: up %s", uid.c_str(), id.c_str());
    connection.Send({{"t", "up"}, {"ref", id}, {"f", json::object()}, {"d", description}});
    Gauge();
  }
  // The call has come to its end: the release goes out on the connection of its set-up, otherwise on any open one, and
  // also on the next connection that the softswitch opens.
  void EndCall(const std::string& id) {
    const auto found = standing.find(id);
    if (found == standing.end()) return;
    Connection* connection = found->second != nullptr && found->second->open() ? found->second : nullptr;
    for (const auto& other : connections_) {
      if (connection == nullptr && other->open()) connection = other.get();
    }
    standing.erase(found);
    const json release = {{"t", "down"}, {"ref", id}, {"f", json::object()}, {"c", 16}};
    if (log) Record("%s: call %s is over, its release is sent%s", uid.c_str(), id.c_str(), connection ? "" : " later");
    if (connection != nullptr) connection->Send(release);
    waiting_.push_back(release);
    Gauge();
  }
  // The state of the group towards the softswitch, on the newest two connections.
  void Gauge() {
    int sent = 0;
    for (auto connection = connections_.rbegin(); connection != connections_.rend() && sent < 2; ++connection) {
      if (!(*connection)->open()) continue;
      SendGauge(**connection);
      ++sent;
    }
  }
  // The machine vanishes: open connections stay open and silent, new ones never come up, its calls are over.
  void Vanish() {
    Record("%s: the machine vanishes, %zu calls that stood there are over", uid.c_str(), standing.size());
    standing.clear();
    for (const auto& connection : connections_) connection->Freeze();
    g_loop.Forget(fd_);
    // The backlog is made as small as possible and filled, so that the kernel completes no further connection.
    ::listen(fd_, 0);
    for (int i = 0; i < 4; ++i) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      const sockaddr_in to = SockAddr(address.host, address.port);
      ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
      fillers_.push_back(fd);
    }
  }
  // The machine is back with a new process that knows none of the calls. Connections of the former one are unknown to
  // it: they stay silent, and octets on them are answered by a reset.
  void Return() {
    Record("%s: the machine is back, cold", uid.c_str());
    for (const int fd : fillers_) ::close(fd);
    fillers_.clear();
    for (int i = 0; i < 4; ++i) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0) ::close(fd);
    }
    ::listen(fd_, 128);
    for (const auto& connection : connections_) connection->ResetOnData();
    frozen_.splice(frozen_.end(), connections_);
    WatchListener();
  }
  std::size_t open_connections() const {
    std::size_t count = 0;
    for (const auto& connection : connections_) count += connection->open() ? 1 : 0;
    return count;
  }

  Address address;
  std::string uid;
  int number, circuits;
  std::size_t far_end_circuits = 0;  // circuits of the group that calls of the other end hold
  std::map<std::string, Connection*> standing;
  std::size_t set_ups = 0;
  bool log = true;

 private:
  void SendGauge(Connection& connection) {
    const std::size_t free = static_cast<std::size_t>(circuits) - used();
    connection.Send({{"t", "gauge"},
                     {"ref", ""},
                     {"f", {{"load", "spare:" + std::to_string(free) + ";total:" + std::to_string(circuits)}}}});
  }
  void WatchListener() {
    g_loop.Watch(fd_, POLLIN, [this](short) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      connections_.push_back(std::make_unique<Connection>(
          fd, [this](Connection& c, const Message& m) { HandleMessage(c, m); },
          [this](Connection& c) {
            for (auto& [id, connection] : standing) {
              if (connection == &c) connection = nullptr;
            }
          }));
      Connection& connection = *connections_.back();
      Record("%s: a connection from the softswitch comes up", uid.c_str());
      SendGauge(connection);
      for (const json& release : std::exchange(waiting_, {})) connection.Send(release);
    });
  }
  void HandleMessage(Connection& connection, const Message& message) {
    if (message.type == "new") {
      ++set_ups;
      if (log) Record("%s: new %s", uid.c_str(), message.id.c_str());
      on_set_up ? on_set_up(connection, message) : Answer(connection, message.id);
    } else if (message.type == "down") {
      Record("%s: down %s cause %d", uid.c_str(), message.id.c_str(), message.cause);
      if (standing.erase(message.id) > 0) Gauge();
      connection.Send({{"t", "ack"}, {"ref", message.id}, {"f", json::object()}});
    } else if (message.type == "hb") {
      connection.Send({{"t", "hb_ok"}, {"ref", message.id}, {"f", json::object()}, {"c", 1}});
    }
  }
  int fd_ = -1;
  std::list<std::unique_ptr<Connection>> connections_, frozen_;
  std::vector<int> fillers_;
  std::vector<json> waiting_;
};

// ---- notice board ----

inline json Target(const Exchange& exchange, const std::string& state, std::int64_t boot_ms = 0) {
  return {{"uid", exchange.uid},
          {"endpoint", exchange.address.Text()},
          {"az", "east"},
          {"model", "std"},
          {"pod_group", exchange.number},
          {"state", state},
          {"capacity_hint", 4},
          {"boot_ms", boot_ms}};
}
inline json Event(int number, bool all, const json& targets) {
  return {{"rev", number}, {"pool", {{"rev", number}, {"all", all}, {"targets", targets}}}};
}

class Board {
 public:
  explicit Board(const std::string& host) : address{host, 0} {
    fd_ = ListenOn(&address);
    g_loop.Watch(fd_, POLLIN, [this](short) { Accept(); });
    Comment();
  }
  // Puts an event into the board; it goes out at once on the watches that are under way.
  void Publish(int number, const json& event) {
    events_[number] = event;
    Record("board: event %d: %s", number, event["pool"]["targets"].dump().c_str());
    for (const auto& watch : watches_) WriteEvents(*watch);
  }
  Address address;
  double answer_delay = 0.0;  // from a request to the first octet of its answer

 private:
  struct Watch {
    int fd = -1;
    int number = 0, last = 0;
    bool answered = false;
    std::string request;
  };
  void Accept() {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    watches_.push_back(std::make_unique<Watch>());
    Watch* const watch = watches_.back().get();
    watch->fd = fd;
    watch->number = ++last_number_;
    g_loop.Watch(fd, POLLIN, [this, watch](short) { Read(watch); });
  }
  void Read(Watch* watch) {
    char buffer[4096];
    const auto received = ::recv(watch->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (received <= 0) {
      Record("board: the softswitch ends request %d%s", watch->number,
             watch->answered ? "" : ", which has no answer yet");
      g_loop.Forget(watch->fd);
      ::close(watch->fd);
      watches_.remove_if([watch](const auto& x) { return x.get() == watch; });
      return;
    }
    watch->request.append(buffer, static_cast<std::size_t>(received));
    if (watch->request.find("\r\n\r\n") == std::string::npos) return;
    const auto at = watch->request.find("Last-Event-ID: ");
    if (at != std::string::npos) watch->last = std::atoi(watch->request.c_str() + at + 15);
    Record("board: request %d, last event %d", watch->number, watch->last);
    g_loop.After(answer_delay, [this, number = watch->number] {
      for (const auto& x : watches_) {
        if (x->number != number) continue;
        Write(*x, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        Record("board: request %d is answered", number);
        x->answered = true;
        WriteEvents(*x);
      }
    });
  }
  void WriteEvents(Watch& watch) {
    if (!watch.answered) return;
    for (const auto& [number, event] : events_) {
      if (number <= watch.last) continue;
      watch.last = number;
      Write(watch, "id: " + std::to_string(number) + "\ndata: " + event.dump() + "\n\n");
      Record("board: event %d written on request %d", number, watch.number);
    }
  }
  void Comment() {
    for (const auto& watch : watches_) {
      if (watch->answered) Write(*watch, ": here\n\n");
    }
    g_loop.After(1.0, [this] { Comment(); });
  }
  static void Write(const Watch& watch, const std::string& text) {
    [[maybe_unused]] const auto sent = ::send(watch.fd, text.data(), text.size(), MSG_NOSIGNAL);
  }
  int fd_ = -1, last_number_ = 0;
  std::list<std::unique_ptr<Watch>> watches_;
  std::map<int, json> events_;
};

// ---- callers ----

inline std::string NewId() {
  static std::uint64_t last = 0x5e71000000000000ULL + (static_cast<std::uint64_t>(::getpid()) << 16U);
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++last));
  return text;
}

// One host that calls, with its connections to the softswitch.
class Caller {
 public:
  struct Call {
    double sent_at = 0, up_at = 0, down_at = 0;
    int ups = 0, downs = 0, cause = -1;
    std::string description;
  };
  Caller(std::string host, const Address& softswitch) : host_(std::move(host)), softswitch_(softswitch) {}
  // Opens a connection; returns null if it is refused.
  Connection* Open() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in from = SockAddr(host_, 0), to = SockAddr(softswitch_.host, softswitch_.port);
    ::bind(fd, reinterpret_cast<const sockaddr*>(&from), sizeof(from));
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
      ::close(fd);
      return nullptr;
    }
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    connections_.push_back(std::make_unique<Connection>(
        fd, [this](Connection& c, const Message& m) { HandleMessage(c, m); },
        [this](Connection& c) {
          if (log) Record("caller %s: the softswitch ended connection %d", host_.c_str(), c.tag);
        }));
    connections_.back()->tag = ++last_tag_;
    return connections_.back().get();
  }
  void SetUp(Connection* connection, const std::string& id, const std::string& call_class, int destination, int left_ms,
             int width = 1) {
    calls[id].sent_at = Now();
    if (log)
      Record("caller %s: new %s to %d on connection %d", host_.c_str(), id.c_str(), destination, connection->tag);
    connection->Send(
        {{"t", "new"},
         {"ref", id},
         {"f",
          {{"class", call_class},
           {"left", std::to_string(left_ms)},
           {"key", "7f3a9c21e0b4" + std::to_string(1000 + ++keys_)},
           {"extras", "dest:" + std::to_string(destination) + ";width:" + std::to_string(width) + ";via:-1"}}},
         {"d", "offer-" + id}});
  }
  // Names a call that stands at this exchange already.
  void Announce(Connection* connection, const std::string& id, const std::string& call_class, const Exchange& at) {
    Record("caller %s: new %s with at:%s on connection %d", host_.c_str(), id.c_str(), at.uid.c_str(), connection->tag);
    connection->Send({{"t", "new"},
                      {"ref", id},
                      {"f",
                       {{"class", call_class},
                        {"left", "1500"},
                        {"key", "7f3a9c21e0b41000"},
                        {"extras", "dest:" + std::to_string(at.number) + ";width:1;via:-1;at:" + at.uid}}},
                      {"d", "offer-" + id}});
  }
  void Test(Connection* connection) {
    connection->Send({{"t", "hb"}, {"ref", NewId()}, {"f", json::object()}, {"c", 0}});
  }
  std::map<std::string, Call> calls;
  int tests_passed = 0;
  bool log = true;

 private:
  void HandleMessage(Connection& connection, const Message& message) {
    if (message.type == "hb_ok") {
      tests_passed += message.cause == 1 ? 1 : 0;
      return;
    }
    if (message.type != "up" && message.type != "down") return;
    if (log)
      Record("caller %s: %s %s cause %d on connection %d", host_.c_str(), message.type.c_str(), message.id.c_str(),
             message.cause, connection.tag);
    const auto found = calls.find(message.id);
    if (found == calls.end()) return;
    Call& call = found->second;
    if (message.type == "up") {
      ++call.ups;
      call.up_at = Now();
      call.description = message.description;
    } else {
      ++call.downs;
      call.cause = message.cause;
      call.down_at = Now();
      connection.Send({{"t", "ack"}, {"ref", message.id}, {"f", json::object()}});
    }
  }
  std::string host_;
  Address softswitch_;
  std::list<std::unique_ptr<Connection>> connections_;
  int last_tag_ = 0, keys_ = 0;
};

// ---- configuration ----

// The settings of the first site in its page's figures, for a small deployment.
inline json SiteSettings(int drain_grace_ms, int release_ms, bool probes) {
  return {{"allowed",
           {{"conn_idle_us", 600000000},
            {"connect_timeout_us", 500000},
            {"cpu_us_per_request", 0.0},
            {"cpu_us_per_s", 300000},
            {"max_retry_after_us", 2000000},
            {"may_cancel", true},
            {"may_duplicate", false},
            {"most_held", 20000},
            {"most_tries", 4},
            {"peers", false},
            {"probes", probes},
            {"retry_after", false},
            {"streams_per_conn", 1048576}}},
          {"balancers", 3},
          {"clients", {{"marks_retry", false}}},
          {"contract",
           {{"ask_within_us", 10000000},
            {"cold_from", 0.36},
            {"drain_grace_us", drain_grace_ms * 1000},
            {"fall_multiple", 3.0},
            {"fall_us", 1000000},
            {"grace_to_answer_us", 20000},
            {"warm_up_us", 15000000}}},
          {"counted_by", "request"},
          {"discovery", "automatic"},
          {"family_info",
           {{"class_cells", json::array()},
            {"holding_us", {10800000, 12900000}},
            {"home_no", 0},
            {"release_us", release_ms * 1000},
            {"remote_load", "off"},
            {"repeat_us", 400000},
            {"route_advice", true},
            {"shape", "meshed"},
            {"tells_wait", false},
            {"widths", {1, 1}}}},
          {"flavors", {"std"}},
          {"grades",
           {{{"group", "all"},
             {"hard_limit_us", 9000000},
             {"late_worth", 0.1},
             {"name", "slot-check"},
             {"repeat", "idempotent"},
             {"slo_us", 1500000},
             {"stream", true},
             {"window_us", 5000000},
             {"worth", 1.0}},
            {{"group", "all"},
             {"hard_limit_us", 9000000},
             {"late_worth", 0.25},
             {"name", "slot-hold"},
             {"repeat", "idempotent"},
             {"slo_us", 1500000},
             {"stream", true},
             {"window_us", 5000000},
             {"worth", 2.0}}}},
          {"layers", {"booking-nodes"}},
          {"localities", {"east"}},
          {"me", 0},
          {"my_zone", 0},
          {"over_share_worth", 0.1},
          {"report", {{"fields", {"spare", "total"}}, {"how", "on_probe"}}},
          {"service_type", "trunks"},
          {"step_us", 5000},
          {"tenants", json::array()},
          {"tier", 0},
          {"weights", "off"}};
}

inline json Config(const std::string& name, const Address& listen, const Board& board, const json& targets,
                   const json& settings) {
  return {{"name", name},
          {"listen", listen.Text()},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 512}}},
          {"board", board.address.Text()},
          {"known", {{"rev", 1}, {"notices", json::array({Event(1, true, targets)})}}},
          {"settings", settings}};
}

// Waits until the softswitch passes a test, as the front does.
inline void WaitUntilReady(Caller* front) {
  const double end = Now() + 30.0;
  while (front->tests_passed == 0) {
    if (!g_softswitch.Alive()) CouldNotRun("the softswitch ended at its start");
    if (Now() > end) CouldNotRun("the softswitch was not ready within 30 s");
    if (Connection* const connection = front->Open()) front->Test(connection);
    g_loop.RunUntilTrue(0.5, [front] { return front->tests_passed > 0; });
  }
  Record("the softswitch is ready");
}

inline std::string Begin(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    std::printf("usage: %s record.txt folder\n", argv[0]);
    std::exit(kCouldNotRun);
  }
  g_record = std::fopen(argv[1], "w");
  if (g_record == nullptr) std::exit(kCouldNotRun);
  Record("times in seconds since the start; Unix time %.3f; disruption %s", UnixNow(), Trouble() ? "on" : "off");
  return argv[2];
}

}  // namespace review

#endif  // REVIEW_COMMON_STAND_H_
