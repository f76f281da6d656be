// A complete softswitch with stand-ins on virtual time, for tests of the platform protocol.
#ifndef CROFTRUN_TESTS_PLATFORM_FIXTURE_H_
#define CROFTRUN_TESTS_PLATFORM_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/platform_stand_ins.h"
#include "platform/discovery_client.h"
#include "platform/node.h"
#include "sim/virtual_runtime.h"

namespace croftrun::platform {

using core::Address;
using lab::PlatformCaller;
using lab::PlatformConnection;
using lab::PlatformDiscovery;
using lab::PlatformExchange;
using nlohmann::json;

inline constexpr TimeUs kMs = 1000;
inline constexpr Address kSoftswitch{0x7f080001, 5080}, kDiscovery{0x7f08c801, 9092}, kOtherDiscovery{0x7f08c801, 9093};
inline constexpr char kCall[] = "9b1f03aa5c7e2d41", kOtherCall[] = "9b1f03aa5c7e2d42";

// Limit of the callers' connections with the descriptors of ConfigJson.
inline constexpr std::size_t kMaxCallerConnections = 65;

class NullLogger final : public core::Logger {
 public:
  void Write(core::LogLevel, std::string_view, CallId, std::string_view) override {}
  bool IsEnabled(core::LogLevel level) const override { return level != core::LogLevel::kDebug; }
};

inline Address ExchangeAddress(int number) { return {0x7f080100U + static_cast<unsigned>(number), 5080}; }

inline json TargetJson(int number, const std::string& state = "Ready", const std::string& uid = "",
                       std::int64_t boot_ms = 0) {
  return {{"uid", uid.empty() ? "s-" + std::to_string(number) : uid},
          {"endpoint", core::ToString(ExchangeAddress(number))},
          {"az", "east"},
          {"model", "std"},
          {"pod_group", number},
          {"state", state},
          {"capacity_hint", 1.0},
          {"boot_ms", boot_ms}};
}

inline std::string EventJson(std::uint64_t number, bool is_full, const json& targets) {
  return json{{"rev", number}, {"pool", {{"rev", number}, {"all", is_full}, {"targets", targets}}}}.dump();
}

inline json ConfigJson() {
  const json grade = {{"name", "voice"},     {"repeat", "idempotent"},     {"group", "all"},
                      {"slo_us", 1'500'000}, {"hard_limit_us", 9'000'000}, {"worth", 1.0},
                      {"late_worth", 0.1}};
  return {
      {"name", "n0"},
      {"listen", core::ToString(kSoftswitch)},
      {"seed", "8c1f30d27a5be964"},
      {"limits", {{"cores", 1.0}, {"memory_mb", 32}, {"sockets", 128}}},
      {"board", core::ToString(kDiscovery)},
      {"known",
       {{"rev", 1},
        {"notices", json::array({json::parse(EventJson(1, true, {TargetJson(0), TargetJson(1), TargetJson(2)}))})}}},
      {"settings",
       {{"allowed", {{"most_tries", 4}, {"most_held", 20000}, {"may_cancel", true}, {"connect_timeout_us", 500'000}}},
        {"balancers", 3},
        {"contract", {{"drain_grace_us", 500'000}, {"grace_to_answer_us", 20'000}}},
        {"discovery", "automatic"},
        {"family_info",
         {{"home_no", 0},
          {"shape", "meshed"},
          {"release_us", 300'000},
          {"widths", {1}},
          {"holding_us", {10'000'000}},
          {"class_cells", json::array()}}},
        {"grades", json::array({grade})},
        {"localities", {"west", "east"}},
        {"flavors", {"std"}},
        {"report", {{"fields", {"spare", "total"}}}},
        {"tenants", json::array()}}}};
}

class PlatformTest : public ::testing::Test {
 protected:
  PlatformTest()
      : runtime_(7),
        discovery_(&runtime_, kDiscovery),
        exchange_1_(&runtime_, ExchangeAddress(1)),
        exchange_2_(&runtime_, ExchangeAddress(2)) {
    std::vector<config::SettingsError> mistakes;
    const NodeConfig config = ParseNodeConfig(ConfigJson().dump(), "", "", &mistakes);
    EXPECT_TRUE(mistakes.empty()) << config::ToString(mistakes);
    node_ = std::make_unique<Node>(config, &runtime_, &log_);
    runtime_.RunFor(50 * kMs);
    SendReports();
  }
  void SendReports() {
    for (PlatformExchange* const exchange : {&exchange_1_, &exchange_2_}) {
      for (PlatformConnection* const connection : exchange->OpenConnections()) {
        connection->Send(
            {.type = MessageType::kGroupReport, .id = "0000000000000000", .fields = {{"load", "spare:20;total:20"}}});
      }
    }
    runtime_.RunFor(kMs);
  }
  // Reports this many circuits in use, out of 20.
  static void ReportCircuits(PlatformConnection& connection, int used) {
    const std::string load = "spare:" + std::to_string(20 - used) + ";total:20";
    connection.Send({.type = MessageType::kGroupReport, .id = "0000000000000000", .fields = {{"load", load}}});
  }
  // Publishes a directory notification with changes.
  void PublishChanges(std::uint64_t number, const std::vector<json>& targets) {
    discovery_.Publish(number, EventJson(number, false, targets));
  }
  std::unique_ptr<PlatformCaller> ConnectCaller(std::uint32_t host = 0x7f000005) {
    runtime_.SetHost(host);
    auto caller = std::make_unique<PlatformCaller>(&runtime_, kSoftswitch);
    runtime_.RunFor(kMs);
    return caller;
  }
  // Sets up a call to exchange 1 that is answered.
  void EstablishCall(PlatformCaller& caller, const std::string& id) {
    caller.SetUp(id, 1);
    runtime_.RunFor(5 * kMs);
    ASSERT_EQ(caller.FinalMessages(id).size(), 1U);
    ASSERT_EQ(caller.FinalMessages(id)[0].type, MessageType::kAnswer);
  }

  // Ends an established call at exchange 1, which sends its release.
  void EndCall(const std::string& id) {
    PlatformExchange::Release(*exchange_1_.OpenConnections()[0], id, 16);
    runtime_.RunFor(5 * kMs);
  }
  static void Acknowledge(PlatformCaller& caller, const std::string& id) {
    caller.connection.Send({.type = MessageType::kAcknowledgement, .id = id});
  }
  // Lets the softswitch know that the caller's host acknowledges releases, by the end of another call.
  void AcknowledgeOtherCall(PlatformCaller& caller) {
    EstablishCall(caller, kOtherCall);
    EndCall(kOtherCall);
    Acknowledge(caller, kOtherCall);
  }
  // Sets up a call to exchange 1 whose caller then closes its connection.
  void EstablishCallAndDisconnect(const std::string& id) {
    const auto caller = ConnectCaller();
    EstablishCall(*caller, id);
    caller->connection.stream.reset();
    runtime_.RunFor(5 * kMs);
  }

  sim::VirtualRuntime runtime_;
  NullLogger log_;
  PlatformDiscovery discovery_;
  PlatformExchange exchange_1_, exchange_2_;
  std::unique_ptr<Node> node_;
};

}  // namespace croftrun::platform

#endif  // CROFTRUN_TESTS_PLATFORM_FIXTURE_H_
