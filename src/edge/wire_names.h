// How this product names things in MGCP: endpoints, packages, extension lines. The table is in docs/mgcp.md; the
// laboratory's gateways and the edge share this file, so that each name is spelled once.
#ifndef CROFTRUN_EDGE_WIRE_NAMES_H_
#define CROFTRUN_EDGE_WIRE_NAMES_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace croftrun::wire_names {

// Lines are aaln/<n>, trunk circuits ds/<number of the far exchange>/<circuit>, a far processor far/<number>.
inline constexpr std::string_view kLines = "aaln/";
inline constexpr std::string_view kCircuits = "ds/";
inline constexpr std::string_view kFar = "far/";

// Extension lines (RFC 3435 3.2.2: X- and X+ names; these may be ignored by who does not know them).
inline constexpr std::string_view kPatience = "X-Patience";     // ms until the caller gives up this try
inline constexpr std::string_view kClass = "X-Class";           // name of the class of call
inline constexpr std::string_view kOrigin = "X-Origin";         // number of the exchange where the call began
inline constexpr std::string_view kCircuitList = "X-Circuits";  // further circuits of a wide call
inline constexpr std::string_view kAt = "X-At";                 // number of the exchange that gave the cause
inline constexpr std::string_view kWait = "X-Wait";             // ms, stated by a full processor
inline constexpr std::string_view kLoad = "X-Load";             // figures of the far processor
inline constexpr std::string_view kState =
    "X-State";  // of a circuit: idle, seized, seized-in, far-released, releasing, blocked
inline constexpr std::string_view kPause = "X-Pause";    // ms the caller should stay away
inline constexpr std::string_view kAnswer = "X-Answer";  // refused or failed, for a tone alone does not tell

inline std::string Circuit(int group, unsigned circuit, std::string_view domain) {
  return std::string(kCircuits) + std::to_string(group) + "/" + std::to_string(circuit) + "@" + std::string(domain);
}
inline std::string Line(int line, std::string_view domain) {
  return std::string(kLines) + std::to_string(line) + "@" + std::string(domain);
}

// The number a text is, whole, or nothing.
template <typename T>
std::optional<T> Number(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

struct CircuitName {
  int group = -1;
  unsigned circuit = 0;
};
inline std::optional<CircuitName> ParseCircuit(std::string_view local) {
  if (local.substr(0, kCircuits.size()) != kCircuits) return std::nullopt;
  local.remove_prefix(kCircuits.size());
  const auto slash = local.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto group = Number<int>(local.substr(0, slash));
  const auto circuit = Number<unsigned>(local.substr(slash + 1));
  if (!group || !circuit) return std::nullopt;
  return CircuitName{*group, *circuit};
}
inline std::optional<int> ParseLine(std::string_view local) {
  if (local.substr(0, kLines.size()) != kLines) return std::nullopt;
  return Number<int>(local.substr(kLines.size()));
}

}  // namespace croftrun::wire_names

#endif  // CROFTRUN_EDGE_WIRE_NAMES_H_
