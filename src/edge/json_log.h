// Structured log: one JSON object per line, written by spdlog.
#ifndef CROFTRUN_EDGE_JSON_LOG_H_
#define CROFTRUN_EDGE_JSON_LOG_H_

#include <memory>
#include <string>

#include "core/call_core.h"

namespace spdlog {
class logger;
}

namespace croftrun::edge {

// Writes log events of one exchange as JSON objects.
class JsonLog final : public core::Logger {
 public:
  // Logs to standard error if `file` is empty. Throws std::runtime_error if the file cannot be opened.
  JsonLog(const std::string& level, const std::string& file, int exchange);
  ~JsonLog() override;
  bool IsEnabled(core::LogLevel level) const override;
  // Changes the level from now on. `level` is debug, info, warning or error.
  void SetLevel(const std::string& level);
  void Write(core::LogLevel level, std::string_view event, CallId call, std::string_view detail) override;

 private:
  std::shared_ptr<spdlog::logger> logger_;
  int exchange_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_JSON_LOG_H_
