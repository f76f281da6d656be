#include "edge/json_log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace croftrun::edge {

JsonLog::JsonLog(const std::string& level, const std::string& file, int exchange) : exchange_(exchange) {
  spdlog::sink_ptr sink;
  if (file.empty()) {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
  }
  logger_ = std::make_shared<spdlog::logger>("edge", sink);
  logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l",%v})");
  logger_->set_level(spdlog::level::from_str(level));
  logger_->flush_on(spdlog::level::info);
}

void JsonLog::SetLevel(const std::string& level) { logger_->set_level(spdlog::level::from_str(level)); }

JsonLog::~JsonLog() { logger_->flush(); }

namespace {

spdlog::level::level_enum SpdlogLevel(core::LogLevel level) {
  constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info, spdlog::level::warn,
                                                   spdlog::level::err};
  return kLevels[static_cast<std::size_t>(level)];
}

}  // namespace

bool JsonLog::IsEnabled(core::LogLevel level) const { return logger_->should_log(SpdlogLevel(level)); }

void JsonLog::Write(core::LogLevel level, std::string_view event, CallId call, std::string_view detail) {
  const auto spdlog_level = SpdlogLevel(level);
  if (!logger_->should_log(spdlog_level)) return;
  const auto quoted = [](std::string_view text) {
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  };
  std::string line = "\"exchange\":" + std::to_string(exchange_) + ",\"event\":" + quoted(event);
  if (call != 0) line += ",\"call\":" + std::to_string(call);
  if (!detail.empty()) line += ",\"detail\":" + quoted(detail);
  logger_->log(spdlog_level, "{}", line);
}

}  // namespace croftrun::edge
