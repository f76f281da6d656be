// Package config: reading JSON settings against a JSON Schema, with every error told at once.
#ifndef CROFTRUN_CONFIG_JSON_SETTINGS_H_
#define CROFTRUN_CONFIG_JSON_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace croftrun::config {

// One mistake in a settings file. `path` is where, as in /groups/0/circuits; empty for the whole file.
struct Mistake {
  std::string path;
  std::string text;
};
std::string ToString(const std::vector<Mistake>& mistakes);

// Parses `text` and checks it against `schema` (the text of a JSON Schema, draft 7). Appends what is wrong;
// the value is only of use where nothing was.
nlohmann::json ParseAgainst(std::string_view text, std::string_view schema, std::vector<Mistake>* mistakes);

// The file's text; appends a mistake if it cannot be read or is over `most_bytes`.
std::string ReadFile(const std::string& path, std::size_t most_bytes, std::vector<Mistake>* mistakes);

}  // namespace croftrun::config

#endif  // CROFTRUN_CONFIG_JSON_SETTINGS_H_
