// The call-control API, as text and as structure: schemas/api.schema.json. No I/O.
//
// A command is one JSON object: "v" (1), "id" (chosen by the client; the same id again is the same command),
// "do", and what that asks for. A reply repeats the id. Events carry a sequence number of their session.
#ifndef CROFTRUN_WS_API_H_
#define CROFTRUN_WS_API_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "croftrun/call_controller.h"

namespace croftrun::ws {

inline constexpr int kVersion = 1;

struct ApiLimits {
  std::size_t most_octets = 8'192;  // of a command
  std::size_t deepest = 6;          // levels of its JSON
  std::size_t longest_text = 128;   // of a text in it
};

enum class Do : std::uint8_t { kHello, kPlace, kHangUp, kFollow, kSubscribe, kList, kAck };

struct Command {
  std::string id;
  Do what = Do::kAck;
  std::string token, session;           // hello
  std::uint64_t have = 0;               // hello with a session, ack: the last event that arrived
  std::string called, calling;          // place
  TimeUs patience_us = 0;               // place; 0: the class's
  std::uint64_t call = 0;               // hang-up, follow
  bool groups = false, roster = false;  // subscribe
  std::string list;                     // groups, roster or calls
};

// A stable word for programs, and a text for people.
struct ApiError {
  std::string id;  // empty where it could not be read
  std::string code;
  std::string text;
};

// Depth and size are looked at before anything is built of the text.
std::variant<Command, ApiError> ParseCommand(std::string_view text, const ApiLimits& limits);

std::string ReplyText(const std::string& id, nlohmann::json result);
std::string ErrorText(const ApiError& error);
std::string EventText(std::uint64_t sequence, std::string_view event, nlohmann::json figures);

}  // namespace croftrun::ws

#endif  // CROFTRUN_WS_API_H_
