#include "edge/api_front.h"

#include <algorithm>
#include <utility>

namespace croftrun::edge {
namespace {

constexpr TimeUs kNotifyInterval = 1'000'000;

}  // namespace

ApiFront::ApiFront(const EdgeSettings& settings, core::Runtime* runtime, core::CallCore* core,
                   AdmissionFront* admission_front, LineFront* lines)
    : settings_(settings),
      core_(core),
      admission_front_(admission_front),
      lines_(lines),
      customers_(CustomerNames(settings)),
      session_manager_(settings.api->session_manager, runtime, this),
      notify_timer_(runtime) {
  notify_timer_.Start(kNotifyInterval, [this] { NotifySubscribers(); });
}

bool ApiFront::Classify(core::CallRequest* call_request, const std::string& customer, bool* refused,
                        TimeUs* retry_after_us) {
  const auto number_meaning = settings_.plan.Find(call_request->called);
  if (!number_meaning) return false;
  const auto found = std::find(customers_.begin(), customers_.end(), customer);
  call_request->customer = found == customers_.end() ? -1 : static_cast<int>(found - customers_.begin());
  const Classifier::Result result =
      lines_->PrepareCall(*number_meaning, call_request->caller_timeout_us, 0, call_request);
  *refused = result.refuse;
  *retry_after_us = result.retry_after_us;
  return !result.refuse;
}

CallId ApiFront::AcceptCall(const core::CallRequest& call_request, core::CallOwner* owner, std::string_view client) {
  return admission_front_->AcceptCall(call_request, owner, client);
}

nlohmann::json ApiFront::List(const std::string& what) {
  nlohmann::json list = nlohmann::json::array();
  if (what == "groups") {
    for (const core::GroupSettings& group : settings_.core.groups) {
      const core::CircuitGroup* circuits = core_->Group(group.number);
      list.push_back({{"exchange", group.number},
                      {"circuits", circuits->size()},
                      {"in_service", circuits->UsableCircuits()},
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

void ApiFront::NotifySubscribers() {
  if (nlohmann::json groups = List("groups"); groups != notified_groups_) {
    notified_groups_ = std::move(groups);
    session_manager_.PublishGroups();
  }
  if (nlohmann::json roster = List("roster"); roster != notified_roster_) {
    notified_roster_ = std::move(roster);
    session_manager_.PublishRoster();
  }
  notify_timer_.Start(kNotifyInterval, [this] { NotifySubscribers(); });
}

}  // namespace croftrun::edge
