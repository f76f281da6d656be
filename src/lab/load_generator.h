// The load generator's gateway: as many calls as asked for through one edge, on raw sockets with batches, so that it
// costs less than the edge it measures. It speaks the same MGCP as lab::Gateway, answers everything at once, and
// understands only what an edge of ours sends.
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

struct LoadGeneratorSettings {
  core::Address gateway, edge, roster, edge_roster;
  std::string domain = "load.lab";
  int lines = 1000;
  double calls_per_s = 1000.0;
  TimeUs holding_us = 200'000;
  TimeUs length_us = 5'000'000;
  TimeUs caller_timeout_us = 3'000'000;
};

struct LoadResults {
  std::uint64_t offered = 0, answered = 0, refused = 0, failed = 0, unanswered = 0, late = 0, no_free_line = 0;
  std::uint64_t datagrams_in = 0, datagrams_out = 0, repeats = 0;
  std::uint64_t rejected = 0;                // notifications that the edge answered with an error
  std::uint64_t max_simultaneous_calls = 0;  // calls that stood at once
  double seconds = 0.0;
  // Time the edge added to an answered call, microseconds: digits to seizure and answer to final signal.
  std::vector<double> added_delays_us;
  // Digits to any final answer.
  std::vector<double> answer_delays_us;
};

class LoadGenerator {
 public:
  // Binds its ports; throws std::system_error.
  explicit LoadGenerator(const LoadGeneratorSettings& settings);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Answers what the edge asks at its start, until it has been quiet; false if it never spoke.
  bool WaitForEdge(TimeUs longest_us);
  // Calls at the rate asked for, then waits for what is up; `at_peak` is called once, at the end of the arrivals.
  LoadResults Run(void (*at_peak)(void*), void* context);

 private:
  enum class State : std::uint8_t { kIdle, kDialled, kUp, kTone, kLeaving };
  struct Line {
    State state = State::kIdle;
    std::string armed;          // the request under which it may dial
    std::uint64_t request = 0;  // the same as a number: a repeat of an older request is not taken
    TimeUs dialled_at = 0, answered_at = 0;
    double first_us = 0.0;
    std::uint32_t transaction = 0;
    std::string dial;  // the datagram, for repeats
  };

  TimeUs Now() const;
  bool Receive(int wait_ms);
  void Flush();
  void Queue(std::string datagram);
  void OnDatagram(std::string_view bytes);
  void OnMessage(std::string_view message, std::string* reply);
  void OnRefusal(int number, std::string_view answer);
  // Takes the request in force, unless it is older than what the line has.
  static bool Arm(Line& line, std::string_view request);
  void Dial(int line);
  void HangUp(int line);
  void Repeat(TimeUs now);
  std::string Notify(std::string_view endpoint, std::string_view request, std::string_view events);

  LoadGeneratorSettings settings_;
  int socket_ = -1, roster_ = -1;
  std::vector<Line> lines_;
  std::vector<int> free_;
  std::deque<std::pair<TimeUs, int>> to_hang_up_;
  std::unordered_map<std::uint32_t, int> dials_;  // the last notification of digits of each line
  struct Check {
    TimeUs at = 0;
    int line = 0;
    std::uint32_t transaction = 0;  // of the try that is looked after; the line may be at another by then
  };
  std::deque<Check> to_check_;
  std::vector<std::string> out_;
  std::string to_confirm_;  // answered transactions, for the next K: line
  std::vector<char> buffers_;
  std::uint32_t next_transaction_ = 1, next_connection_ = 1;
  std::uint64_t up_ = 0;
  TimeUs last_heard_ = 0;
  LoadResults figures_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_LOAD_GENERATOR_H_
