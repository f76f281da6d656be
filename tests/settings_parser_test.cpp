#include "wire/settings_parser.h"

#include <gtest/gtest.h>

namespace croftrun::wire {
namespace {

TEST(SettingsParser, ReadsKnownKeysAndIgnoresOthers) {
  const Settings s = ParseSettings(
      "balancers=4\nunheard_of.key=whatever\nfamily_info.home_no=2\nfamily_info.shape=meshed\n"
      "family_info.release_us=300000\nfamily_info.widths=1,4\nfamily_info.holding_us=10000,20000\n"
      "grades.count=2\ngrades.0.name=a\ngrades.0.slo_us=1500000\ngrades.1.name=b\ngrades.1.repeat="
      "deduplicated\n"
      "grades.1.group=cell\ngrades.1.worth=4\ntenants=\nreport.fields=spare,novel,cut_by\n"
      "allowed.may_cancel=true\ndiscovery=subscribe\ncontract.cold_from=0.36\nline without value\n");
  EXPECT_EQ(s.softswitch_count, 4);
  EXPECT_EQ(s.own_number, 2);
  EXPECT_EQ(s.resend_guard_us, 300000U);
  ASSERT_EQ(s.classes.size(), 2U);
  EXPECT_EQ(s.classes[0].target_delay_us, 1500000U);
  EXPECT_EQ(s.classes[1].retry_semantics, RetrySemantics::kDeduplicated);
  EXPECT_EQ(s.classes[1].deduplication_scope, DeduplicationScope::kNumber);
  EXPECT_EQ(s.classes[1].width, 4.0);
  EXPECT_EQ(s.classes[1].holding_us, 20000U);
  EXPECT_TRUE(s.customers.empty());
  EXPECT_EQ(s.report_fields,
            (std::vector<ReportField>{ReportField::kFreeCircuits, ReportField::kUnknown, ReportField::kLoadReduction}));
  EXPECT_TRUE(s.may_cancel);
  EXPECT_EQ(s.discovery_mode, DiscoveryMode::kSubscribe);
  EXPECT_EQ(s.warm_up_start_share, 0.36);
}

TEST(SettingsParser, KeepsDefaultsForAbsentKeys) {
  const Settings s = ParseSettings("");
  EXPECT_EQ(s.max_attempts, 1);
  EXPECT_FALSE(s.may_probe);
  EXPECT_TRUE(s.classes.empty());
}

TEST(SettingsParser, ReadsPoolsOfEachClass) {
  const Settings s = ParseSettings(
      "family_info.shape=groups\nfamily_info.class_cells.0=1,3\nfamily_info.class_cells.1=2\ngrades.count="
      "2\n");
  EXPECT_EQ(s.topology, Topology::kPools);
  EXPECT_EQ(s.classes[0].pools, (std::vector<int>{1, 3}));
  EXPECT_EQ(s.classes[1].pools, (std::vector<int>{2}));
}

TEST(SettingsParser, NamesInvalidSettings) {
  for (const char* text : {"balancers=four", "discovery=pigeon", "allowed.probes=yes", "grades.count=-1",
                           "grades.count=99999", "contract.fall_us=-5", "family_info.release_us=nan"}) {
    try {
      ParseSettings(text);
      ADD_FAILURE() << text;
    } catch (const InvalidSetting& error) {
      const std::string key = std::string(text).substr(0, std::string(text).find('='));
      EXPECT_NE(std::string(error.what()).find(key), std::string::npos) << error.what();
    }
  }
}

}  // namespace
}  // namespace croftrun::wire
