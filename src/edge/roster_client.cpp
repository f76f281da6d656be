#include "edge/roster_client.h"

#include <nlohmann/json.hpp>
#include <string>

namespace croftrun::edge {

std::optional<core::RosterUpdate> ParseRosterUpdate(std::string_view text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  core::RosterUpdate update;
  // The library would read a negative number as a very large one.
  const auto whole = [](const nlohmann::json& object, const char* key) {
    const nlohmann::json& value = object.at(key);
    if (!value.is_number_unsigned()) throw nlohmann::json::other_error::create(0, "a whole number", nullptr);
    return value.get<std::uint64_t>();
  };
  try {
    update.version = whole(json, "version");
    if (json.contains("base")) update.base = whole(json, "base");
    for (const auto& item : json.at("entries")) {
      core::RosterEntry entry;
      entry.exchange = static_cast<std::uint32_t>(whole(item, "exchange"));
      entry.number = static_cast<std::uint16_t>(whole(item, "number"));
      entry.zone = static_cast<std::uint8_t>(whole(item, "zone"));
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
    : settings_(settings), runtime_(runtime), core_(core), log_(log), ask_(runtime) {
  port_ = runtime_->OpenPort(settings_.listen, this);
  Ask();
}

void RosterClient::Ask() {
  const nlohmann::json ask = {
      {"ask", "roster"}, {"exchange", core_->own_number()}, {"have", want_full_ ? 0 : view_.version()}};
  port_->Send(settings_.server, ask.dump());
  ask_.Start(settings_.ask_us, [this] { Ask(); });
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
      want_full_ = false;
      log_->Write(
          core::LogLevel::kInfo, "roster", 0,
          "version " + std::to_string(update->version) + ", " + std::to_string(update->entries.size()) + " entries");
      return core_->OnDirectory(directory);
    case core::RosterView::UpdateResult::kStale:
      ++counters_.old;
      return;
    case core::RosterView::UpdateResult::kGap:
      // Asked at once: until the full list is here, a drain may be unknown to us.
      ++counters_.gaps;
      if (!want_full_) {
        want_full_ = true;
        Ask();
      }
      return;
    case core::RosterView::UpdateResult::kTooManyEntries:
      ++counters_.malformed;
      return;
  }
}

}  // namespace croftrun::edge
