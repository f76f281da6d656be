// The stand-in roster: knows only which processors run, tells it late, and pushes each change to every subscriber.
#ifndef CROFTRUN_LAB_ROSTER_SERVER_H_
#define CROFTRUN_LAB_ROSTER_SERVER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/runtime.h"

namespace croftrun::lab {

struct RosterLine {
  std::uint32_t exchange = 0;  // id; a replacement has a new one
  int number = 0;
  int zone = 0;
  std::string status = "ready";
  std::uint32_t incarnation = 0;
  TimeUs started_us = 0;
};

class RosterServer final : public core::DatagramHandler {
 public:
  static constexpr std::size_t kMostSubscribers = 1024;

  RosterServer(core::Runtime* runtime, const core::Address& address, TimeUs lag_us);
  ~RosterServer() override { *alive_ = false; }

  // The list as it starts; known at once.
  void Begin(std::vector<RosterLine> lines);
  // A change, published after the lag in force now.
  void Change(const RosterLine& line);
  void SetLag(TimeUs lag_us) { lag_us_ = lag_us; }
  TimeUs lag() const { return lag_us_; }

  void OnDatagram(const core::Address& from, std::string_view bytes) override;

 private:
  void Publish(const RosterLine& line);
  std::string Update(bool full, const std::vector<RosterLine>& lines) const;

  core::Runtime* runtime_;
  TimeUs lag_us_;
  TimeUs last_due_ = 0;
  std::uint64_t version_ = 1;
  std::map<std::uint32_t, RosterLine> lines_;
  std::map<core::Address, std::uint64_t> subscribers_;  // with the version each said it has
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<core::DatagramPort> port_;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_ROSTER_SERVER_H_
