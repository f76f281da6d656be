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

constexpr std::size_t kBatchSize = 64;
constexpr std::size_t kBufferOctets = 2048;
constexpr TimeUs kRetransmitInterval = 500'000;

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

// The value of a parameter line of the message; empty if there is none.
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

std::string_view NextWord(std::string_view* rest) {
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
      buffers_(kBatchSize * kBufferOctets) {
  for (int i = settings.lines; i >= 1; --i) free_lines_.push_back(i);
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
  send_queue_.push_back(std::move(datagram));
  if (send_queue_.size() >= kBatchSize) Flush();
}

void LoadGenerator::Flush() {
  sockaddr_in edge = SocketAddress(settings_.edge);
  std::array<iovec, kBatchSize> parts{};
  std::array<mmsghdr, kBatchSize> headers{};
  std::size_t sent = 0;
  while (sent < send_queue_.size()) {
    const std::size_t count = std::min(kBatchSize, send_queue_.size() - sent);
    for (std::size_t i = 0; i < count; ++i) {
      std::string& text = send_queue_[sent + i];
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
  send_queue_.clear();
}

bool LoadGenerator::Receive(int wait_ms) {
  std::array<pollfd, 2> descriptors = {{{socket_, POLLIN, 0}, {roster_, POLLIN, 0}}};
  if (::poll(descriptors.data(), descriptors.size(), wait_ms) <= 0) return false;
  if ((descriptors[1].revents & POLLIN) != 0) {
    std::array<char, 512> request;
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    if (::recvfrom(roster_, request.data(), request.size(), 0, reinterpret_cast<sockaddr*>(&from), &size) > 0) {
      constexpr std::string_view kList =
          R"({"version":1,"entries":[{"exchange":1,"number":0,"zone":0,"status":"ready"},)"
          R"({"exchange":2,"number":1,"zone":0,"status":"ready"}]})";
      ::sendto(roster_, kList.data(), kList.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
    }
  }
  if ((descriptors[0].revents & POLLIN) == 0) return true;
  std::array<iovec, kBatchSize> parts{};
  std::array<mmsghdr, kBatchSize> headers{};
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    parts[i] = {buffers_.data() + i * kBufferOctets, kBufferOctets};
    headers[i].msg_hdr.msg_iov = &parts[i];
    headers[i].msg_hdr.msg_iovlen = 1;
  }
  const int count = ::recvmmsg(socket_, headers.data(), kBatchSize, MSG_DONTWAIT, nullptr);
  for (int i = 0; i < count; ++i) {
    const auto index = static_cast<std::size_t>(i);
    ++figures_.datagrams_in;
    OnDatagram({buffers_.data() + index * kBufferOctets, headers[index].msg_len});
  }
  last_received_at_ = Now();
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
  if (!to_acknowledge_.empty()) command += "K: " + std::exchange(to_acknowledge_, {}) + "\r\n";
  return command + "X: " + std::string(request) + "\r\nO: " + std::string(events) + "\r\n";
}

void LoadGenerator::OnMessage(std::string_view message, std::string* reply) {
  std::string_view rest = message;
  const auto verb = NextWord(&rest);
  if (verb.empty()) return;
  if (verb[0] >= '0' && verb[0] <= '9') {
    const auto transaction = NextWord(&rest);
    if (to_acknowledge_.size() < 400) to_acknowledge_.append(to_acknowledge_.empty() ? "" : ",").append(transaction);
    if (verb[0] < '4') return;
    ++figures_.rejected;
    const auto dial = line_by_dial_.find(wire_names::Number<std::uint32_t>(transaction).value_or(0));
    if (dial == line_by_dial_.end() || Field(message, wire_names::kAnswer).empty()) return;
    return OnRefusal(dial->second, "refused");
  }
  const auto transaction = NextWord(&rest);
  const auto endpoint = NextWord(&rest);
  const auto local = endpoint.substr(0, endpoint.rfind('@'));
  const auto respond = [&](std::string_view code, std::string_view body) {
    if (!reply->empty()) *reply += ".\r\n";
    reply->append(code).append(" ").append(transaction).append("\r\n").append(body);
  };
  const auto append_command = [&](const std::string& command) {
    *reply += ".\r\n";
    *reply += command;
  };
  if (local == "aaln/*") {
    if (verb == "RQNT") {
      for (Line& line : lines_) UpdateRequest(line, Field(message, "X"));
    }
    return respond(verb == "DLCX" ? "250" : "200", "");
  }
  if (const auto number = wire_names::ParseLine(local)) {
    Line& line = lines_[static_cast<std::size_t>(*number)];
    if (verb == "CRCX") {
      respond("200", "I: " + std::to_string(next_connection_++) + "\r\n" + std::string(kSession));
      if (line.state != State::kDialled) return;
      const TimeUs now = Now();
      line.state = State::kEstablished;
      figures_.max_simultaneous_calls = std::max(figures_.max_simultaneous_calls, ++established_);
      ++figures_.answered;
      figures_.added_delays_us.push_back(line.seizure_delay_us + static_cast<double>(now - line.answered_at));
      figures_.answer_delays_us.push_back(static_cast<double>(now - line.dialled_at));
      if (now > line.dialled_at + settings_.caller_timeout_us) ++figures_.late;
      pending_hang_ups_.emplace_back(now + settings_.holding_us, *number);
      return;
    }
    respond(verb == "DLCX" ? "250" : "200", "");
    const auto answer = Field(message, wire_names::kAnswer);
    if (!answer.empty() && line.state == State::kDialled) return OnRefusal(*number, answer);
    if (Field(message, "R").substr(0, 4) == "L/hd" && UpdateRequest(line, Field(message, "X"))) {
      if (line.state == State::kAwaitingRequest) {
        line.state = State::kIdle;
        free_lines_.push_back(*number);
      }
    }
    return;
  }
  if (verb == "AUEP") return respond("200", "X-State: idle\r\n");
  const auto request = Field(message, "X");
  if (verb == "CRCX") {
    respond("200", "I: " + std::to_string(next_connection_++) + "\r\n" + std::string(kSession));
    const auto sup = message.find("id(aaln/");
    if (sup == std::string_view::npos) return;
    auto id = message.substr(sup + 8);
    const auto number = wire_names::Number<std::size_t>(id.substr(0, id.find(')')));
    if (number && *number < lines_.size()) {
      Line& line = lines_[*number];
      line.answered_at = Now();
      line.seizure_delay_us = static_cast<double>(line.answered_at - line.dialled_at);
    }
    return append_command(Notify(endpoint, request, "MS/ans"));
  }
  if (verb == "DLCX") {
    respond("250", "X-State: releasing\r\n");
    return append_command(Notify(endpoint, request, "MS/rlc"));
  }
  respond("200", "");
}

void LoadGenerator::OnRefusal(int number, std::string_view answer) {
  Line& line = lines_[static_cast<std::size_t>(number)];
  if (line.state != State::kDialled) return;
  const TimeUs now = Now();
  ++(answer == "refused" ? figures_.refused : figures_.failed);
  figures_.answer_delays_us.push_back(static_cast<double>(now - line.dialled_at));
  if (now > line.dialled_at + settings_.caller_timeout_us) ++figures_.late;
  line.state = State::kReleaseTone;
  pending_hang_ups_.emplace_front(now, number);
}

bool LoadGenerator::UpdateRequest(Line& line, std::string_view request) {
  std::uint64_t number = 0;
  std::from_chars(request.data(), request.data() + request.size(), number, 16);
  if (number <= line.request) return false;
  line.request = number;
  line.request_id = request;
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
  line_by_dial_.erase(line.transaction);
  line.transaction = next_transaction_;
  line_by_dial_[line.transaction] = number;
  line.dialled_datagram = Notify(wire_names::Line(number, settings_.domain), line.request_id, events) +
                          "X-Patience: " + std::to_string(settings_.caller_timeout_us / 1000) + "\r\n";
  Queue(line.dialled_datagram);
  pending_checks_.push_back({line.dialled_at + kRetransmitInterval, number, line.transaction});
  ++figures_.offered;
}

void LoadGenerator::HangUp(int number) {
  Line& line = lines_[static_cast<std::size_t>(number)];
  if (line.state == State::kEstablished) --established_;
  line.state = State::kAwaitingRequest;
  Queue(Notify(wire_names::Line(number, settings_.domain), line.request_id, "L/hu"));
}

void LoadGenerator::RetransmitDials(TimeUs now) {
  while (!pending_checks_.empty() && pending_checks_.front().at <= now) {
    const auto [at, number, transaction] = pending_checks_.front();
    pending_checks_.pop_front();
    Line& line = lines_[static_cast<std::size_t>(number)];
    if (line.state != State::kDialled || line.transaction != transaction) continue;
    if (now >= line.dialled_at + settings_.caller_timeout_us + 20'000) {
      ++figures_.unanswered;
      HangUp(number);
      continue;
    }
    // The notification was lost or is not processed yet: retransmits the same octets.
    ++figures_.repeats;
    Queue(line.dialled_datagram);
    pending_checks_.push_back({now + kRetransmitInterval, number, line.transaction});
  }
}

bool LoadGenerator::WaitForEdge(TimeUs timeout_us) {
  const TimeUs until = Now() + timeout_us;
  while (Now() < until) {
    Receive(50);
    if (last_received_at_ != 0 && Now() > last_received_at_ + 300'000) return true;
  }
  return last_received_at_ != 0;
}

LoadResults LoadGenerator::Run(void (*at_peak)(void*), void* context) {
  figures_ = {};
  const TimeUs start = Now();
  const TimeUs end = start + settings_.length_us;
  const double gap = 1e6 / settings_.calls_per_s;
  double next = static_cast<double>(start);
  bool peak_reported = false;
  while (true) {
    const TimeUs now = Now();
    if (now >= end && !peak_reported) {
      peak_reported = true;
      figures_.seconds = static_cast<double>(now - start) / 1e6;
      if (at_peak != nullptr) at_peak(context);
    }
    // Arrivals do not wait for answers. Calls that were due while this process was not scheduled are sent now.
    for (int burst = 0; now < end && next <= static_cast<double>(now) && burst < 256; ++burst, next += gap) {
      if (free_lines_.empty()) {
        ++figures_.no_free_line;
        continue;
      }
      const int line = free_lines_.back();
      free_lines_.pop_back();
      Dial(line);
    }
    while (!pending_hang_ups_.empty() && pending_hang_ups_.front().first <= now) {
      const int line = pending_hang_ups_.front().second;
      pending_hang_ups_.pop_front();
      HangUp(line);
    }
    RetransmitDials(now);
    Flush();
    const bool all_idle = free_lines_.size() + 1 >= lines_.size();
    if (now >= end && (all_idle || now >= end + settings_.holding_us + settings_.caller_timeout_us + 2'000'000)) break;
    Receive(1);
  }
  return std::move(figures_);
}

}  // namespace croftrun::lab
