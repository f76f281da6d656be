// Names that this product uses in MGCP: endpoints, packages and extension lines. The table is in docs/mgcp.md. The
// edge and the laboratory's gateways share this file, so that each name is defined once.
#ifndef CROFTRUN_EDGE_WIRE_NAMES_H_
#define CROFTRUN_EDGE_WIRE_NAMES_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace croftrun::wire_names {

// Local names of endpoints: line endpoints aaln/<n>, trunk endpoints ds/<number of the far exchange>/<circuit>, and
// processors of far exchanges far/<number>.
inline constexpr std::string_view kLines = "aaln/";
inline constexpr std::string_view kCircuits = "ds/";
inline constexpr std::string_view kFarProcessors = "far/";

// Extension parameters. A receiver that does not know an X- parameter ignores it (RFC 3435 3.2.2).
inline constexpr std::string_view kCallerTimeout = "X-Patience";  // ms until the caller gives up this attempt
inline constexpr std::string_view kClass = "X-Class";             // name of the call class
inline constexpr std::string_view kOrigin = "X-Origin";           // number of the exchange where the call originated
inline constexpr std::string_view kCircuitList = "X-Circuits";    // further circuits of a call on several circuits
inline constexpr std::string_view kCauseExchange = "X-At";        // number of the exchange that set the cause
inline constexpr std::string_view kWait = "X-Wait";               // ms, wait time reported by a full processor
inline constexpr std::string_view kLoad = "X-Load";               // load figures of the far processor
inline constexpr std::string_view kState =
    "X-State";  // of a circuit: idle, seized, seized-in, far-released, releasing, blocked
inline constexpr std::string_view kRetryAfter = "X-Pause";  // ms, retry-after for the caller
inline constexpr std::string_view kAnswer = "X-Answer";     // refused or failed; a tone alone does not tell which

// Full endpoint names.
inline std::string Circuit(int group, unsigned circuit, std::string_view domain) {
  return std::string(kCircuits) + std::to_string(group) + "/" + std::to_string(circuit) + "@" + std::string(domain);
}
inline std::string Line(int line, std::string_view domain) {
  return std::string(kLines) + std::to_string(line) + "@" + std::string(domain);
}

// Parses the whole text as a number. Returns nothing if any of it is not part of the number.
template <typename T>
std::optional<T> Number(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// A trunk endpoint's local name, parsed.
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
