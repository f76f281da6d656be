#include "lab/load_generator.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstring>
#include <system_error>
#include <utility>

#include "edge/wire_names.h"

namespace croftrun::lab {
namespace {

constexpr std::size_t kBatch = 64;
constexpr std::size_t kBuffer = 2048;
constexpr TimeUs kRepeatAfter = 500'000;

sockaddr_in SocketAddress(const core::Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address.host);
  out.sin_port = htons(address.port);
  return out;
}

int Bind(const core::Address& address) {
  const int socket = ::socket(AF_INET, SOCK_DGRAM, 0);
  const int size = 8 << 20;
  ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  ::setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
  const sockaddr_in local = SocketAddress(address);
  if (socket < 0 || ::bind(socket, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0)
    throw std::system_error(errno, std::generic_category(), core::ToString(address));
  return socket;
}

// The value of a line of the message, empty if it has none.
std::string_view Field(std::string_view message, std::string_view name) {
  std::size_t at = 0;
  while ((at = message.find(name, at)) != std::string_view::npos) {
    if (at > 0 && message[at - 1] == '\n' && message.substr(at + name.size(), 2) == ": ") {
      const auto rest = message.substr(at + name.size() + 2);
      return rest.substr(0, rest.find('\r'));
    }
    at += name.size();
  }
  return {};
}

std::string_view Word(std::string_view* rest) {
  const auto end = rest->find_first_of(" \r");
  const auto word = rest->substr(0, end);
  rest->remove_prefix(end == std::string_view::npos ? rest->size() : end + 1);
  return word;
}

constexpr std::string_view kSession =
    "\r\nv=0\r\no=- 1 0 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 20000 RTP/AVP 0\r\n";

}  // namespace

LoadGenerator::LoadGenerator(const LoadGeneratorSettings& settings)
    : settings_(settings),
      socket_(Bind(settings.gateway)),
      roster_(Bind(settings.roster)),
      lines_(static_cast<std::size_t>(settings.lines) + 1),
      buffers_(kBatch * kBuffer) {
  for (int i = settings.lines; i >= 1; --i) free_.push_back(i);
}

LoadGenerator::~LoadGenerator() {
  ::close(socket_);
  ::close(roster_);
}

TimeUs LoadGenerator::Now() const {
  return static_cast<TimeUs>(
      std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
          .count());
}

void LoadGenerator::Queue(std::string datagram) {
  out_.push_back(std::move(datagram));
  if (out_.size() >= kBatch) Flush();
}

void LoadGenerator::Flush() {
  sockaddr_in edge = SocketAddress(settings_.edge);
  std::array<iovec, kBatch> parts{};
  std::array<mmsghdr, kBatch> headers{};
  std::size_t sent = 0;
  while (sent < out_.size()) {
    const std::size_t count = std::min(kBatch, out_.size() - sent);
    for (std::size_t i = 0; i < count; ++i) {
      std::string& text = out_[sent + i];
      parts[i] = {text.data(), text.size()};
      headers[i].msg_hdr = {};
      headers[i].msg_hdr.msg_name = &edge;
      headers[i].msg_hdr.msg_namelen = sizeof(edge);
      headers[i].msg_hdr.msg_iov = &parts[i];
      headers[i].msg_hdr.msg_iovlen = 1;
    }
    const int done = ::sendmmsg(socket_, headers.data(), static_cast<unsigned>(count), 0);
    if (done <= 0) break;
    sent += static_cast<std::size_t>(done);
  }
  figures_.datagrams_out += sent;
  out_.clear();
}

bool LoadGenerator::Receive(int wait_ms) {
  std::array<pollfd, 2> wait = {{{socket_, POLLIN, 0}, {roster_, POLLIN, 0}}};
  if (::poll(wait.data(), wait.size(), wait_ms) <= 0) return false;
  if ((wait[1].revents & POLLIN) != 0) {
    std::array<char, 512> ask;
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    if (::recvfrom(roster_, ask.data(), ask.size(), 0, reinterpret_cast<sockaddr*>(&from), &size) > 0) {
      constexpr std::string_view kList =
          R"({"version":1,"entries":[{"exchange":1,"number":0,"zone":0,"status":"ready"},)"
          R"({"exchange":2,"number":1,"zone":0,"status":"ready"}]})";
      ::sendto(roster_, kList.data(), kList.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
    }
  }
  if ((wait[0].revents & POLLIN) == 0) return true;
  std::array<iovec, kBatch> parts{};
  std::array<mmsghdr, kBatch> headers{};
  for (std::size_t i = 0; i < kBatch; ++i) {
    parts[i] = {buffers_.data() + i * kBuffer, kBuffer};
    headers[i].msg_hdr.msg_iov = &parts[i];
    headers[i].msg_hdr.msg_iovlen = 1;
  }
  const int count = ::recvmmsg(socket_, headers.data(), kBatch, MSG_DONTWAIT, nullptr);
  for (int i = 0; i < count; ++i) {
    const auto index = static_cast<std::size_t>(i);
    ++figures_.datagrams_in;
    OnDatagram({buffers_.data() + index * kBuffer, headers[index].msg_len});
  }
  last_heard_ = Now();
  Flush();
  return true;
}

void LoadGenerator::OnDatagram(std::string_view bytes) {
  std::string reply;
  while (!bytes.empty()) {
    const auto dot = bytes.find("\r\n.\r\n");
    const auto message = bytes.substr(0, dot == std::string_view::npos ? dot : dot + 2);
    bytes.remove_prefix(dot == std::string_view::npos ? bytes.size() : dot + 5);
    OnMessage(message, &reply);
  }
  if (!reply.empty()) Queue(std::move(reply));
}

std::string LoadGenerator::Notify(std::string_view endpoint, std::string_view request, std::string_view events) {
  std::string command = "NTFY " + std::to_string(next_transaction_++) + " " + std::string(endpoint) + " MGCP 1.0\r\n";
  if (!to_confirm_.empty()) command += "K: " + std::exchange(to_confirm_, {}) + "\r\n";
  return command + "X: " + std::string(request) + "\r\nO: " + std::string(events) + "\r\n";
}

void LoadGenerator::OnMessage(std::string_view message, std::string* reply) {
  std::string_view rest = message;
  const auto verb = Word(&rest);
  if (verb.empty()) return;
  if (verb[0] >= '0' && verb[0] <= '9') {
    const auto transaction = Word(&rest);
    if (to_confirm_.size() < 400) to_confirm_.append(to_confirm_.empty() ? "" : ",").append(transaction);
    if (verb[0] < '4') return;
    ++figures_.rejected;
    const auto dial = dials_.find(wire_names::Number<std::uint32_t>(transaction).value_or(0));
    if (dial == dials_.end() || Field(message, wire_names::kAnswer).empty()) return;
    return OnRefusal(dial->second, "refused");
  }
  const auto transaction = Word(&rest);
  const auto endpoint = Word(&rest);
  const auto local = endpoint.substr(0, endpoint.rfind('@'));
  const auto say = [&](std::string_view code, std::string_view body) {
    if (!reply->empty()) *reply += ".\r\n";
    reply->append(code).append(" ").append(transaction).append("\r\n").append(body);
  };
  const auto add = [&](const std::string& command) {
    *reply += ".\r\n";
    *reply += command;
  };
  if (local == "aaln/*") {
    if (verb == "RQNT") {
      for (Line& line : lines_) Arm(line, Field(message, "X"));
    }
    return say(verb == "DLCX" ? "250" : "200", "");
  }
  if (const auto number = wire_names::ParseLine(local)) {
    Line& line = lines_[static_cast<std::size_t>(*number)];
    if (verb == "CRCX") {
      say("200", "I: " + std::to_string(next_connection_++) + "\r\n" + std::string(kSession));
      if (line.state != State::kDialled) return;
      const TimeUs now = Now();
      line.state = State::kUp;
      figures_.max_simultaneous_calls = std::max(figures_.max_simultaneous_calls, ++up_);
      ++figures_.answered;
      figures_.added_delays_us.push_back(line.first_us + static_cast<double>(now - line.answered_at));
      figures_.answer_delays_us.push_back(static_cast<double>(now - line.dialled_at));
      if (now > line.dialled_at + settings_.caller_timeout_us) ++figures_.late;
      to_hang_up_.emplace_back(now + settings_.holding_us, *number);
      return;
    }
    say(verb == "DLCX" ? "250" : "200", "");
    const auto answer = Field(message, wire_names::kAnswer);
    if (!answer.empty() && line.state == State::kDialled) return OnRefusal(*number, answer);
    if (Field(message, "R").substr(0, 4) == "L/hd" && Arm(line, Field(message, "X"))) {
      if (line.state == State::kLeaving) {
        line.state = State::kIdle;
        free_.push_back(*number);
      }
    }
    return;
  }
  if (verb == "AUEP") return say("200", "X-State: idle\r\n");
  const auto request = Field(message, "X");
  if (verb == "CRCX") {
    say("200", "I: " + std::to_string(next_connection_++) + "\r\n" + std::string(kSession));
    const auto sup = message.find("id(aaln/");
    if (sup == std::string_view::npos) return;
    auto id = message.substr(sup + 8);
    const auto number = wire_names::Number<std::size_t>(id.substr(0, id.find(')')));
    if (number && *number < lines_.size()) {
      Line& line = lines_[*number];
      line.answered_at = Now();
      line.first_us = static_cast<double>(line.answered_at - line.dialled_at);
    }
    return add(Notify(endpoint, request, "MS/ans"));
  }
  if (verb == "DLCX") {
    say("250", "X-State: releasing\r\n");
    return add(Notify(endpoint, request, "MS/rlc"));
  }
  say("200", "");
}

void LoadGenerator::OnRefusal(int number, std::string_view answer) {
  Line& line = lines_[static_cast<std::size_t>(number)];
  if (line.state != State::kDialled) return;
  const TimeUs now = Now();
  ++(answer == "refused" ? figures_.refused : figures_.failed);
  figures_.answer_delays_us.push_back(static_cast<double>(now - line.dialled_at));
  if (now > line.dialled_at + settings_.caller_timeout_us) ++figures_.late;
  line.state = State::kTone;
  to_hang_up_.emplace_front(now, number);
}

bool LoadGenerator::Arm(Line& line, std::string_view request) {
  std::uint64_t number = 0;
  std::from_chars(request.data(), request.data() + request.size(), number, 16);
  if (number <= line.request) return false;
  line.request = number;
  line.armed = request;
  return true;
}

void LoadGenerator::Dial(int number) {
  Line& line = lines_[static_cast<std::size_t>(number)];
  line.state = State::kDialled;
  line.dialled_at = Now();
  char digits[8];
  std::snprintf(digits, sizeof(digits), "%04d", number % 10000);
  std::string events = "L/hd, D/1, D/1, D/0, D/0, D/1";
  for (int i = 0; i < 4; ++i) events += std::string(", D/") + digits[i];
  dials_.erase(line.transaction);
  line.transaction = next_transaction_;
  dials_[line.transaction] = number;
  line.dial = Notify(wire_names::Line(number, settings_.domain), line.armed, events) +
              "X-Patience: " + std::to_string(settings_.caller_timeout_us / 1000) + "\r\n";
  Queue(line.dial);
  to_check_.push_back({line.dialled_at + kRepeatAfter, number, line.transaction});
  ++figures_.offered;
}

void LoadGenerator::HangUp(int number) {
  Line& line = lines_[static_cast<std::size_t>(number)];
  if (line.state == State::kUp) --up_;
  line.state = State::kLeaving;
  Queue(Notify(wire_names::Line(number, settings_.domain), line.armed, "L/hu"));
}

void LoadGenerator::Repeat(TimeUs now) {
  while (!to_check_.empty() && to_check_.front().at <= now) {
    const auto [at, number, transaction] = to_check_.front();
    to_check_.pop_front();
    Line& line = lines_[static_cast<std::size_t>(number)];
    if (line.state != State::kDialled || line.transaction != transaction) continue;
    if (now >= line.dialled_at + settings_.caller_timeout_us + 20'000) {
      ++figures_.unanswered;
      HangUp(number);
      continue;
    }
    // Lost on the way, or not looked at yet: the same octets again.
    ++figures_.repeats;
    Queue(line.dial);
    to_check_.push_back({now + kRepeatAfter, number, line.transaction});
  }
}

bool LoadGenerator::WaitForEdge(TimeUs longest_us) {
  const TimeUs until = Now() + longest_us;
  while (Now() < until) {
    Receive(50);
    if (last_heard_ != 0 && Now() > last_heard_ + 300'000) return true;
  }
  return last_heard_ != 0;
}

LoadResults LoadGenerator::Run(void (*at_peak)(void*), void* context) {
  figures_ = {};
  const TimeUs start = Now();
  const TimeUs end = start + settings_.length_us;
  const double gap = 1e6 / settings_.calls_per_s;
  double next = static_cast<double>(start);
  bool told = false;
  while (true) {
    const TimeUs now = Now();
    if (now >= end && !told) {
      told = true;
      figures_.seconds = static_cast<double>(now - start) / 1e6;
      if (at_peak != nullptr) at_peak(context);
    }
    // Arrivals do not wait for answers; what the machine kept from being sent in time is sent now.
    for (int burst = 0; now < end && next <= static_cast<double>(now) && burst < 256; ++burst, next += gap) {
      if (free_.empty()) {
        ++figures_.no_free_line;
        continue;
      }
      const int line = free_.back();
      free_.pop_back();
      Dial(line);
    }
    while (!to_hang_up_.empty() && to_hang_up_.front().first <= now) {
      const int line = to_hang_up_.front().second;
      to_hang_up_.pop_front();
      HangUp(line);
    }
    Repeat(now);
    Flush();
    const bool quiet = free_.size() + 1 >= lines_.size();
    if (now >= end && (quiet || now >= end + settings_.holding_us + settings_.caller_timeout_us + 2'000'000)) break;
    Receive(1);
  }
  return std::move(figures_);
}

}  // namespace croftrun::lab
