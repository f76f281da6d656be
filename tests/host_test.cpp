#include "wire/host.h"

#include <gtest/gtest.h>

#include "wire_bytes.h"

namespace croftrun::wire {
namespace {

std::string ProvisionRecord(const std::string& settings) {
  std::string bytes = Bytes("12 05000000 0100000000000000");
  for (int i = 0; i < 4; ++i) bytes.push_back(static_cast<char>((settings.size() >> (8 * i)) & 0xff));
  return bytes + settings;
}

TEST(Host, ReportsBadSettingAsBailOut) {
  Host host;
  const std::string reply =
      host.Answer({.number = 1, .clock_us = 5, .record_count = 1}, ProvisionRecord("balancers=x"));
  ASSERT_GT(reply.size(), 12U);
  EXPECT_EQ(reply[12], 20);
  EXPECT_NE(reply.find("balancers"), std::string::npos);
}

TEST(Host, SubscribesAndIgnoresUnknownInstances) {
  Host host;
  const std::string reply = host.Answer({.number = 1, .clock_us = 5, .record_count = 2},
                                        ProvisionRecord("discovery=subscribe") + Bytes("16 06000000 192b6f0e"));
  EXPECT_EQ(reply, Bytes("01000000 01000000 06000000 19 05000000 01"));
}

TEST(Host, HandlesDetachAndProvisionInOneBatch) {
  Host host;
  const std::string reply =
      host.Answer({.number = 2, .clock_us = 5, .record_count = 3},
                  ProvisionRecord("") + Bytes("17 05000000") + ProvisionRecord("discovery=subscribe"));
  EXPECT_EQ(reply, Bytes("02000000 01000000 06000000 19 05000000 01"));
}

TEST(Host, ThrowsOnMalformedBatch) {
  Host host;
  EXPECT_THROW(host.Answer({.number = 1, .clock_us = 5, .record_count = 1}, Bytes("63")), MalformedFrame);
}

}  // namespace
}  // namespace croftrun::wire
