// Package config: reading JSON settings against a JSON Schema, with every error told at once.
#ifndef CROFTRUN_CONFIG_JSON_SETTINGS_H_
#define CROFTRUN_CONFIG_JSON_SETTINGS_H_

#include <cstdint>
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

// A key of a checked object into `*out`, which keeps its default where the key is absent.
template <typename T>
void Value(const nlohmann::json& object, const char* key, T* out) {
  if (object.contains(key)) *out = object.at(key).get<T>();
}
// The same for a time: milliseconds in the file, microseconds in the program.
inline void Time(const nlohmann::json& object, const char* key, std::uint64_t* out_us) {
  if (object.contains(key)) *out_us = object.at(key).get<std::uint64_t>() * 1000;
}

}  // namespace croftrun::config

#endif  // CROFTRUN_CONFIG_JSON_SETTINGS_H_
