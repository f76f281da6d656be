// Messages of the call-control API (schemas/api.schema.json): parsing and formatting. No I/O.
//
// A command is one JSON object with "v" (1), "id" (chosen by the client; a command with the same id is a repetition),
// "do" (the command type) and the fields of that type. A reply repeats the id. Events carry a sequence number, which
// counts within their session.
#ifndef CROFTRUN_WS_API_H_
#define CROFTRUN_WS_API_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "croftrun/call_controller.h"

namespace croftrun::ws {

inline constexpr int kApiVersion = 1;

struct ApiLimits {
  std::size_t max_octets = 8'192;     // size of a command
  std::size_t max_depth = 6;          // nesting levels of its JSON
  std::size_t max_text_octets = 128;  // length of a string in it
};

enum class CommandType : std::uint8_t { kHello, kPlace, kHangUp, kFollow, kSubscribe, kList, kAck };

struct Command {
  std::string id;
  CommandType type = CommandType::kAck;
  std::string token, session;           // hello
  std::uint64_t last_received = 0;      // hello with a session, ack: sequence number of the last event received
  std::string called, calling;          // place
  TimeUs caller_timeout_us = 0;         // place; 0: the default of the class
  std::uint64_t call = 0;               // hang-up, follow
  bool groups = false, roster = false;  // subscribe
  std::string list;                     // groups, roster or calls
};

// Error reply: a stable code for programs and a text for people.
struct ApiError {
  std::string id;  // empty if the id could not be read
  std::string code;
  std::string text;
};

// Parses a command. Size and nesting depth are checked before the text is handed to the JSON parser.
std::variant<Command, ApiError> ParseCommand(std::string_view text, const ApiLimits& limits);

// JSON texts of a successful reply, an error reply and an event. An event with sequence number 0 is sent without one.
std::string ReplyText(const std::string& id, nlohmann::json result);
std::string ErrorText(const ApiError& error);
std::string EventText(std::uint64_t sequence, std::string_view event, nlohmann::json fields);

}  // namespace croftrun::ws

#endif  // CROFTRUN_WS_API_H_
