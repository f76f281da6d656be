#include "config/json_settings.h"

#include <array>
#include <fstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace croftrun::config {

std::string ToString(const std::vector<SettingsError>& mistakes) {
  std::string text;
  for (const SettingsError& mistake : mistakes)
    text += (mistake.path.empty() ? std::string("/") : mistake.path) + ": " + mistake.text + "\n";
  return text;
}

nlohmann::json ParseWithSchema(std::string_view text, std::string_view schema_text,
                               std::vector<SettingsError>* mistakes) {
  nlohmann::json value;
  try {
    value = nlohmann::json::parse(text);
  } catch (const nlohmann::json::exception& error) {
    // Not only syntax errors: a number out of range, for instance, is reported by another exception class.
    mistakes->push_back({"", error.what()});
    return value;
  }
  const nlohmann::json schema_json = nlohmann::json::parse(schema_text);
  valijson::Schema schema;
  valijson::SchemaParser(valijson::SchemaParser::kDraft7)
      .populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), schema);
  valijson::ValidationResults results;
  valijson::Validator validator;
  if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(value), &results)) return value;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    // "Failed to validate against schema associated with property name" only repeats the error of a lower level at each
    // level above it.
    if (error.description.find("Failed to validate against schema associated") != std::string::npos ||
        error.description.find("Failed to validate item") != std::string::npos)
      continue;
    // The context has the form "<root>", "[name]", "[name]" ...
    std::string path;
    for (const std::string& component : error.context) {
      if (component.size() > 2 && component.front() == '[') path += "/" + component.substr(1, component.size() - 2);
    }
    mistakes->push_back({path, error.description});
  }
  if (mistakes->empty()) mistakes->push_back({"", "does not fit the schema"});
  return value;
}

std::string ReadFile(const std::string& path, std::size_t max_bytes, std::vector<SettingsError>* mistakes) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    mistakes->push_back({"", "cannot read " + path});
    return {};
  }
  // Reads in chunks: the limit may be many times the file size, and memory once allocated for it would count
  // permanently.
  std::string text;
  std::array<char, 16 << 10> chunk{};
  while (file && text.size() <= max_bytes) {
    file.read(chunk.data(), chunk.size());
    text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (text.size() > max_bytes) {
    mistakes->push_back({"", path + " is over " + std::to_string(max_bytes) + " bytes"});
    text.clear();
  }
  return text;
}

}  // namespace croftrun::config
