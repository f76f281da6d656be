// Load generator: a minimal MGCP gateway that sends calls through one edge at a constant rate. It uses raw sockets with
// batched system calls, so that it needs less processor time than the edge it measures. It uses the same MGCP subset as
// lab::Gateway, answers every command immediately, and parses only what croftrun-edge sends.
#ifndef CROFTRUN_LAB_LOAD_GENERATOR_H_
#define CROFTRUN_LAB_LOAD_GENERATOR_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/runtime.h"

namespace croftrun::lab {

// Addresses and traffic of a measurement.
struct LoadGeneratorSettings {
  core::Address gateway, edge, roster, edge_roster;
  std::string domain = "load.lab";
  int lines = 1000;
  double calls_per_s = 1000.0;
  TimeUs holding_us = 200'000;
  TimeUs length_us = 5'000'000;
  TimeUs caller_timeout_us = 3'000'000;
};

// Results of a measurement.
struct LoadResults {
  std::uint64_t offered = 0, answered = 0, refused = 0, failed = 0, unanswered = 0, late = 0, no_free_line = 0;
  std::uint64_t datagrams_in = 0, datagrams_out = 0, repeats = 0;
  std::uint64_t rejected = 0;                // notifications to which the edge responded with an error
  std::uint64_t max_simultaneous_calls = 0;  // largest number of simultaneous calls
  double seconds = 0.0;
  // Time the edge added to an answered call, in microseconds: from digits to seizure plus from answer to final signal.
  std::vector<double> added_delays_us;
  // Time from digits to any final answer, in microseconds.
  std::vector<double> answer_delays_us;
};

// Single-threaded load generator. The exchange under test is number 0, all calls go to exchange 1.
class LoadGenerator {
 public:
  // Binds the ports. Throws std::system_error if that fails.
  explicit LoadGenerator(const LoadGeneratorSettings& settings);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Responds to the commands that the edge sends at its start until none has arrived for 300 ms. Returns false if the
  // edge sent nothing within `timeout_us`.
  bool WaitForEdge(TimeUs timeout_us);
  // Generates calls at the configured rate, then waits for the remaining ones to end. `at_peak` is called once, at the
  // end of the arrivals.
  LoadResults Run(void (*at_peak)(void*), void* context);

 private:
  enum class State : std::uint8_t { kIdle, kDialled, kEstablished, kReleaseTone, kAwaitingRequest };
  struct Line {
    State state = State::kIdle;
    std::string request_id;     // identifier of the request under which it may dial
    std::uint64_t request = 0;  // the same as a number, to ignore retransmissions of older requests
    TimeUs dialled_at = 0, answered_at = 0;
    double seizure_delay_us = 0.0;
    std::uint32_t transaction = 0;
    std::string dialled_datagram;  // the datagram, for retransmission
  };

  TimeUs Now() const;
  bool Receive(int wait_ms);
  void Flush();
  void Queue(std::string datagram);
  void OnDatagram(std::string_view bytes);
  void OnMessage(std::string_view message, std::string* reply);
  void OnRefusal(int number, std::string_view answer);
  // Stores the identifier of a notification request. Returns false if it is not newer than the one in force.
  static bool UpdateRequest(Line& line, std::string_view request);
  void Dial(int line);
  void HangUp(int line);
  void RetransmitDials(TimeUs now);
  std::string Notify(std::string_view endpoint, std::string_view request, std::string_view events);

  LoadGeneratorSettings settings_;
  int socket_ = -1, roster_ = -1;
  std::vector<Line> lines_;
  std::vector<int> free_lines_;
  std::deque<std::pair<TimeUs, int>> pending_hang_ups_;
  // The line of each dialling notification by transaction; only the last one of each line is kept.
  std::unordered_map<std::uint32_t, int> line_by_dial_;
  struct RetransmitCheck {
    TimeUs at = 0;
    int line = 0;
    std::uint32_t transaction = 0;  // of the attempt to check; the line may have started another by then
  };
  std::deque<RetransmitCheck> pending_checks_;
  std::vector<std::string> send_queue_;
  std::string to_acknowledge_;  // transactions whose response has arrived, for the next K: parameter
  std::vector<char> buffers_;
  std::uint32_t next_transaction_ = 1, next_connection_ = 1;
  std::uint64_t established_ = 0;
  TimeUs last_received_at_ = 0;
  LoadResults figures_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_LOAD_GENERATOR_H_
