#include "edge/api_front.h"

#include <algorithm>
#include <utility>

namespace croftrun::edge {
namespace {

constexpr TimeUs kTell = 1'000'000;

}  // namespace

ApiFront::ApiFront(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core,
                   AdmissionFront* admission_front, LineFront* lines)
    : settings_(settings),
      core_(core),
      admission_front_(admission_front),
      lines_(lines),
      customers_(CustomerNames(settings)),
      session_manager_(settings.api->session_manager, runtime, this),
      tell_(runtime) {
  tell_.Start(kTell, [this] { Tell(); });
}

bool ApiFront::Classify(core::CallRequest* offer, const std::string& customer, bool* refused, TimeUs* pause_us) {
  const auto meaning = settings_.plan.Find(offer->called);
  if (!meaning) return false;
  const auto named = std::find(customers_.begin(), customers_.end(), customer);
  offer->customer = named == customers_.end() ? -1 : static_cast<int>(named - customers_.begin());
  const Classifier::Verdict verdict = lines_->Prepare(*meaning, offer->caller_timeout_us, 0, offer);
  *refused = verdict.refuse;
  *pause_us = verdict.pause_us;
  return !verdict.refuse;
}

CallId ApiFront::Take(const core::CallRequest& offer, core::CallOwner* owner, std::string_view client) {
  return admission_front_->Take(offer, owner, client);
}

nlohmann::json ApiFront::List(const std::string& what) {
  nlohmann::json list = nlohmann::json::array();
  if (what == "groups") {
    for (const core::GroupSettings& group : settings_.core.groups) {
      const core::CircuitGroup* circuits = core_->Group(group.number);
      list.push_back({{"exchange", group.number},
                      {"circuits", circuits->size()},
                      {"in_service", circuits->InUse()},
                      {"idle", circuits->Count(core::CircuitState::kIdle)}});
    }
    return list;
  }
  for (const auto& [exchange, entry] : core_->Directory()) {
    constexpr const char* kStatus[] = {"gone", "ready", "draining"};
    list.push_back({{"exchange", entry.number},
                    {"zone", entry.zone},
                    {"status", kStatus[static_cast<std::size_t>(entry.status)]}});
  }
  return list;
}

void ApiFront::Tell() {
  if (nlohmann::json groups = List("groups"); groups != groups_told_) {
    groups_told_ = std::move(groups);
    session_manager_.TellGroups();
  }
  if (nlohmann::json roster = List("roster"); roster != roster_told_) {
    roster_told_ = std::move(roster);
    session_manager_.TellRoster();
  }
  tell_.Start(kTell, [this] { Tell(); });
}

}  // namespace croftrun::edge
