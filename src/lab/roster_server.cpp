#include "lab/roster_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace croftrun::lab {

RosterServer::RosterServer(core::Runtime* runtime, const core::Address& address, TimeUs publication_delay_us)
    : runtime_(runtime), publication_delay_us_(publication_delay_us), port_(runtime->OpenPort(address, this)) {}

void RosterServer::SetInitialEntries(std::vector<RosterEntry> entries) {
  for (RosterEntry& entry : entries) entries_[entry.exchange] = entry;
}

void RosterServer::PublishDelayed(const RosterEntry& entry) {
  // Changes are delayed but stay in order: a shorter delay does not let a later change overtake an earlier one.
  const TimeUs now = runtime_->Now();
  last_publication_at_ = std::max(last_publication_at_, now + publication_delay_us_);
  runtime_->StartTimer(last_publication_at_ - now, [this, alive = alive_, entry] {
    if (*alive) Publish(entry);
  });
}

void RosterServer::Publish(const RosterEntry& entry) {
  entries_[entry.exchange] = entry;
  ++version_;
  // A subscriber that is one version behind receives the change, one that is further behind the whole list.
  for (auto& [address, known_version] : subscribers_) {
    const bool full = known_version + 1 != version_;
    std::vector<RosterEntry> all;
    for (const auto& [id, each] : entries_) all.push_back(each);
    port_->Send(address, FormatUpdate(full, full ? all : std::vector<RosterEntry>{entry}));
    known_version = version_;
  }
  if (entry.status == "gone") entries_.erase(entry.exchange);
}

std::string RosterServer::FormatUpdate(bool full, const std::vector<RosterEntry>& entries) const {
  nlohmann::json update = {{"version", version_}, {"entries", nlohmann::json::array()}};
  if (!full) update["base"] = version_ - 1;
  for (const RosterEntry& entry : entries) {
    nlohmann::json item = {
        {"exchange", entry.exchange}, {"number", entry.number}, {"zone", entry.zone}, {"status", entry.status}};
    if (entry.incarnation > 0) {
      item["incarnation"] = entry.incarnation;
      item["age_ms"] = (runtime_->Now() - entry.started_us) / 1000;
    }
    update["entries"].push_back(item);
  }
  return update.dump();
}

void RosterServer::OnDatagram(const core::Address& from, std::string_view bytes) {
  const nlohmann::json request = nlohmann::json::parse(bytes, nullptr, false);
  if (!request.is_object() || request.value("ask", "") != "roster") return;
  if (subscribers_.size() >= kMaxSubscribers && subscribers_.count(from) == 0) return;
  const auto known_version = request.value("have", std::uint64_t{0});
  if (known_version < version_) {
    std::vector<RosterEntry> all;
    for (const auto& [id, entry] : entries_) all.push_back(entry);
    port_->Send(from, FormatUpdate(true, all));
  }
  subscribers_[from] = version_;
}

}  // namespace croftrun::lab
