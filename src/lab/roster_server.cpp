#include "lab/roster_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace croftrun::lab {

RosterServer::RosterServer(core::Runtime* runtime, const core::Address& address, TimeUs lag_us)
    : runtime_(runtime), lag_us_(lag_us), port_(runtime->OpenPort(address, this)) {}

void RosterServer::Begin(std::vector<RosterLine> lines) {
  for (RosterLine& line : lines) lines_[line.exchange] = line;
}

void RosterServer::Change(const RosterLine& line) {
  // Late, but in order: a shorter lag does not let a later change overtake an earlier one.
  const TimeUs now = runtime_->Now();
  last_due_ = std::max(last_due_, now + lag_us_);
  runtime_->StartTimer(last_due_ - now, [this, alive = alive_, line] {
    if (*alive) Publish(line);
  });
}

void RosterServer::Publish(const RosterLine& line) {
  lines_[line.exchange] = line;
  ++version_;
  // Who is one version behind is told the change, who is further behind the whole list.
  for (auto& [address, have] : subscribers_) {
    const bool full = have + 1 != version_;
    std::vector<RosterLine> all;
    for (const auto& [id, each] : lines_) all.push_back(each);
    port_->Send(address, Update(full, full ? all : std::vector<RosterLine>{line}));
    have = version_;
  }
  if (line.status == "gone") lines_.erase(line.exchange);
}

std::string RosterServer::Update(bool full, const std::vector<RosterLine>& lines) const {
  nlohmann::json update = {{"version", version_}, {"entries", nlohmann::json::array()}};
  if (!full) update["base"] = version_ - 1;
  for (const RosterLine& line : lines) {
    nlohmann::json entry = {
        {"exchange", line.exchange}, {"number", line.number}, {"zone", line.zone}, {"status", line.status}};
    if (line.incarnation > 0) {
      entry["incarnation"] = line.incarnation;
      entry["age_ms"] = (runtime_->Now() - line.started_us) / 1000;
    }
    update["entries"].push_back(entry);
  }
  return update.dump();
}

void RosterServer::OnDatagram(const core::Address& from, std::string_view bytes) {
  const nlohmann::json ask = nlohmann::json::parse(bytes, nullptr, false);
  if (!ask.is_object() || ask.value("ask", "") != "roster") return;
  if (subscribers_.size() >= kMostSubscribers && subscribers_.count(from) == 0) return;
  const auto have = ask.value("have", std::uint64_t{0});
  if (have < version_) {
    std::vector<RosterLine> all;
    for (const auto& [id, line] : lines_) all.push_back(line);
    port_->Send(from, Update(true, all));
  }
  subscribers_[from] = version_;
}

}  // namespace croftrun::lab
