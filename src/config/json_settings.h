// Reads JSON settings and validates them against a JSON Schema, reporting all errors at once.
#ifndef CROFTRUN_CONFIG_JSON_SETTINGS_H_
#define CROFTRUN_CONFIG_JSON_SETTINGS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace croftrun::config {

// An error in a settings file. `path` is its location, such as /groups/0/circuits; empty for the file as a whole.
struct SettingsError {
  std::string path;
  std::string text;
};
std::string ToString(const std::vector<SettingsError>& mistakes);

// Parses `text` and validates it against `schema` (the text of a JSON Schema, draft 7). Appends the errors found; the
// returned value may only be used if there are none.
nlohmann::json ParseWithSchema(std::string_view text, std::string_view schema, std::vector<SettingsError>* mistakes);

// Reads a text file. Appends an error if it cannot be read or is longer than `max_bytes`.
std::string ReadFile(const std::string& path, std::size_t max_bytes, std::vector<SettingsError>* mistakes);

// Reads a key of a validated object into `*out`; leaves `*out` unchanged if the key is absent.
template <typename T>
void Value(const nlohmann::json& object, const char* key, T* out) {
  if (object.contains(key)) *out = object.at(key).get<T>();
}
// Reads a time given in milliseconds into `*out_us` as microseconds.
inline void Time(const nlohmann::json& object, const char* key, std::uint64_t* out_us) {
  if (object.contains(key)) *out_us = object.at(key).get<std::uint64_t>() * 1000;
}

}  // namespace croftrun::config

#endif  // CROFTRUN_CONFIG_JSON_SETTINGS_H_
