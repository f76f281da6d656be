// Stand-in for the roster service: knows only which processors are running, publishes changes with a delay, and pushes
// each change to every subscriber.
#ifndef CROFTRUN_LAB_ROSTER_SERVER_H_
#define CROFTRUN_LAB_ROSTER_SERVER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/runtime.h"

namespace croftrun::lab {

// One exchange in the roster.
struct RosterEntry {
  std::uint32_t exchange = 0;  // id; a replacement has a new one
  int number = 0;
  int zone = 0;
  std::string status = "ready";
  std::uint32_t incarnation = 0;
  TimeUs started_us = 0;
};

// Serves the roster protocol over UDP.
class RosterServer final : public core::DatagramHandler {
 public:
  static constexpr std::size_t kMaxSubscribers = 1024;

  RosterServer(core::Runtime* runtime, const core::Address& address, TimeUs publication_delay_us);
  ~RosterServer() override { *alive_ = false; }

  // Sets the initial list, which is published without delay.
  void SetInitialEntries(std::vector<RosterEntry> entries);
  // Publishes a change after the delay in force at the time of the call.
  void PublishDelayed(const RosterEntry& entry);
  void SetPublicationDelay(TimeUs publication_delay_us) { publication_delay_us_ = publication_delay_us; }
  TimeUs publication_delay() const { return publication_delay_us_; }

  void OnDatagram(const core::Address& from, std::string_view bytes) override;

 private:
  void Publish(const RosterEntry& entry);
  std::string FormatUpdate(bool full, const std::vector<RosterEntry>& entries) const;

  core::Runtime* runtime_;
  TimeUs publication_delay_us_;
  TimeUs last_publication_at_ = 0;
  std::uint64_t version_ = 1;
  std::map<std::uint32_t, RosterEntry> entries_;
  std::map<core::Address, std::uint64_t> subscribers_;  // with the version that each has
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<core::DatagramPort> port_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_ROSTER_SERVER_H_
