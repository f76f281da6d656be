// Structured log: one JSON object a line, through spdlog.
#ifndef CROFTRUN_EDGE_JSON_LOG_H_
#define CROFTRUN_EDGE_JSON_LOG_H_

#include <memory>
#include <string>

#include "core/call_core.h"

namespace spdlog {
class logger;
}

namespace croftrun::edge {

class JsonLog final : public core::Logger {
 public:
  // `file` empty: standard error. Throws std::runtime_error where the file cannot be opened.
  JsonLog(const std::string& level, const std::string& file, int exchange);
  ~JsonLog() override;
  bool IsEnabled(core::LogLevel level) const override;
  // From now on; `level` as at the start: debug, info, warning, error.
  void SetLevel(const std::string& level);
  void Write(core::LogLevel level, std::string_view event, CallId call, std::string_view detail) override;

 private:
  std::shared_ptr<spdlog::logger> logger_;
  int exchange_;
};

}  // namespace croftrun::edge

#endif  // CROFTRUN_EDGE_JSON_LOG_H_
