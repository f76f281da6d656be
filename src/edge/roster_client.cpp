#include "edge/roster_client.h"

#include <nlohmann/json.hpp>
#include <string>

namespace croftrun::edge {

std::optional<core::RosterUpdate> ParseRosterUpdate(std::string_view text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  core::RosterUpdate update;
  // The library would convert a negative number to a very large unsigned one.
  const auto read_unsigned = [](const nlohmann::json& object, const char* key) {
    const nlohmann::json& value = object.at(key);
    if (!value.is_number_unsigned())
      throw nlohmann::json::other_error::create(0, "expected an unsigned integer", nullptr);
    return value.get<std::uint64_t>();
  };
  try {
    update.version = read_unsigned(json, "version");
    if (json.contains("base")) update.base = read_unsigned(json, "base");
    for (const auto& item : json.at("entries")) {
      core::RosterEntry entry;
      entry.exchange = static_cast<std::uint32_t>(read_unsigned(item, "exchange"));
      entry.number = static_cast<std::uint16_t>(read_unsigned(item, "number"));
      entry.zone = static_cast<std::uint8_t>(read_unsigned(item, "zone"));
      const auto status = item.at("status").get<std::string>();
      if (status != "ready" && status != "draining" && status != "gone") return std::nullopt;
      entry.status = status == "ready"      ? ExchangeStatus::kReady
                     : status == "draining" ? ExchangeStatus::kDraining
                                            : ExchangeStatus::kGone;
      entry.incarnation = item.value("incarnation", 0U);
      entry.age_us = item.value("age_ms", std::uint64_t{0}) * 1000;
      update.entries.push_back(entry);
    }
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  return update;
}

RosterClient::RosterClient(const RosterSettings& settings, core::Runtime* runtime, core::CallCore* core,
                           core::Logger* log)
    : settings_(settings), runtime_(runtime), core_(core), log_(log), request_timer_(runtime) {
  port_ = runtime_->OpenPort(settings_.listen, this);
  RequestUpdate();
}

void RosterClient::RequestUpdate() {
  const nlohmann::json request = {
      {"ask", "roster"}, {"exchange", core_->own_number()}, {"have", needs_full_list_ ? 0 : view_.version()}};
  port_->Send(settings_.server, request.dump());
  request_timer_.Start(settings_.renewal_interval_us, [this] { RequestUpdate(); });
}

void RosterClient::OnDatagram(const core::Address& from, std::string_view bytes) {
  const auto update = from.host == settings_.server.host ? ParseRosterUpdate(bytes) : std::nullopt;
  if (!update) {
    ++counters_.malformed;
    return;
  }
  DirectoryUpdate directory;
  switch (view_.Apply(runtime_->Now(), *update, &directory)) {
    case core::RosterView::UpdateResult::kApplied:
      ++counters_.updates;
      needs_full_list_ = false;
      log_->Write(
          core::LogLevel::kInfo, "roster", 0,
          "version " + std::to_string(update->version) + ", " + std::to_string(update->entries.size()) + " entries");
      return core_->OnDirectory(directory);
    case core::RosterView::UpdateResult::kStale:
      ++counters_.old;
      return;
    case core::RosterView::UpdateResult::kGap:
      // The full list is requested at once: until it arrives, a drain of an exchange may be unknown to this edge.
      ++counters_.gaps;
      if (!needs_full_list_) {
        needs_full_list_ = true;
        RequestUpdate();
      }
      return;
    case core::RosterView::UpdateResult::kTooManyEntries:
      ++counters_.malformed;
      return;
  }
}

}  // namespace croftrun::edge
