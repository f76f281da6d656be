// Crossings that depend on the kernel, on loopback sockets: what lies unread, waits to be accepted or finds no
// descriptor. Ordered by what the loop has seen and by what is done while it does not run, not by sleeping.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>

#include "platform_fixture.h"
#include "runtime/asio_runtime.h"

namespace croftrun::platform {
namespace {

// Addresses of this process and test alone: tests run side by side, and what one closed stays bound for a while.
std::uint16_t test_number = 0;
Address Own(std::uint8_t last, std::uint16_t port = 5080) {
  port = static_cast<std::uint16_t>(port + test_number);
  const auto pid = static_cast<std::uint32_t>(::getpid());
  return {0x7f000000U | (64U + (pid >> 8U) % 128U) << 16U | (pid & 0xffU) << 8U | last, port};
}

// A client whose octets move only when the test says so.
class RawClient {
 public:
  explicit RawClient(const Address& to) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(to.port);
    name.sin_addr.s_addr = htonl(to.host);
    connected = ::connect(socket_, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0;
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  void Send(const std::string& octets) {
    ASSERT_EQ(::send(socket_, octets.data(), octets.size(), MSG_NOSIGNAL), static_cast<ssize_t>(octets.size()));
  }
  // False once the far end takes no more.
  bool Takes(const std::string& octets) {
    return ::send(socket_, octets.data(), octets.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(octets.size());
  }
  void Close() {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
  }
  // All that has arrived so far.
  const std::string& Read() {
    char octets[4096];
    ssize_t got = 0;
    while ((got = ::recv(socket_, octets, sizeof(octets), MSG_DONTWAIT)) > 0)
      text.append(octets, static_cast<std::size_t>(got));
    if (got == 0) closed = true;
    return text;
  }
  bool connected = false, closed = false;
  std::string text;

 private:
  int socket_;
};

std::string SetUpLine(const std::string& id, int destination) {
  return WriteMessage({.type = MessageType::kSetUp,
                       .id = id,
                       .fields = {{"class", "voice"},
                                  {"left", "5000"},
                                  {"extras", "dest:" + std::to_string(destination) + ";width:1;via:-1"}},
                       .description = "offer"});
}

class SocketCrossingsTest : public ::testing::Test {
 protected:
  SocketCrossingsTest() : number_(++test_number), board_(&runtime_, Own(3, 9092)), one_(&runtime_, Own(2)) {}
  void Start() {
    json config = ConfigJson();
    config["listen"] = core::ToString(Own(1));
    config["board"] = core::ToString(Own(3, 9092));
    json target = TargetJson(1);
    target["endpoint"] = core::ToString(Own(2));
    config["known"] = {{"rev", 1}, {"notices", json::array({json::parse(EventJson(1, true, json::array({target})))})}};
    std::vector<config::Mistake> mistakes;
    node_ = std::make_unique<Node>(ParseNodeConfig(config.dump(), "", "", &mistakes), &runtime_, &log_);
    ASSERT_TRUE(mistakes.empty());
    ASSERT_TRUE(RunUntil([this] { return !one_.OpenLinks().empty(); }));
    one_.OpenLinks()[0]->Send(
        {.type = MessageType::kGauge, .id = "0000000000000000", .fields = {{"load", "spare:20;total:20"}}});
    ASSERT_TRUE(RunUntil([this] { return node_->exchanges().counters().gauges_heard == 1; }));
  }
  // False where it has not come to pass within ten seconds.
  bool RunUntil(const std::function<bool()>& done) {
    const TimeUs end = runtime_.Now() + 10'000 * kMs;
    std::function<void()> look = [&] {
      if (done() || runtime_.Now() > end) return runtime_.Stop();
      runtime_.StartTimer(kMs, look);
    };
    runtime_.StartTimer(0, look);
    runtime_.Run();
    return done();
  }
  void RunFor(TimeUs time) {
    const TimeUs end = runtime_.Now() + time;
    RunUntil([&] { return runtime_.Now() >= end; });
  }

  const std::uint16_t number_;
  runtime::AsioRuntime runtime_;
  NoLog log_;
  PlatformBoard board_;
  PlatformExchange one_;
  std::unique_ptr<Node> node_;
};

TEST_F(SocketCrossingsTest, ASetUpWhoseCallerHasClosedBehindItIsNotSentOn) {
  Start();
  {
    RawClient client(Own(1));
    ASSERT_TRUE(client.connected);
    client.Send(SetUpLine(kCall, 1));
  }  // closed before the softswitch looks
  ASSERT_TRUE(RunUntil([this] { return node_->callers().counters().given_up == 1; }));
  RunFor(50 * kMs);
  EXPECT_TRUE(one_.Heard(MessageType::kSetUp).empty());
  EXPECT_EQ(node_->core().open_calls(), 0U);
}

TEST_F(SocketCrossingsTest, NoFurtherAttemptBeginsWhenTheEndOfTheCallersConnectionLiesUnread) {
  RawClient* leaving = nullptr;
  one_.on_set_up = [&](PlatformLink& link, const Message& message) {
    PlatformExchange::Release(link, message.id, 41);  // broken on its way: goes again past the release wait of 300 ms
    const TimeUs now = runtime_.Now();
    runtime_.StartTimer(250 * kMs, [&, now] {
      // The softswitch stands still: the caller goes, and the next attempt falls due, before it looks again.
      leaving->Close();
      while (runtime_.Now() < now + 400 * kMs) {
      }
    });
  };
  Start();
  RawClient client(Own(1));
  leaving = &client;
  client.Send(SetUpLine(kCall, 1));
  ASSERT_TRUE(RunUntil([this] { return node_->callers().counters().given_up == 1; }));
  RunFor(50 * kMs);
  EXPECT_EQ(one_.Heard(MessageType::kSetUp).size(), 1U);
  EXPECT_EQ(node_->core().open_calls(), 0U);
}

TEST_F(SocketCrossingsTest, ASetUpInPiecesIsTakenOnceItIsWhole) {
  Start();
  RawClient client(Own(1));
  const std::string line = SetUpLine(kCall, 1);
  for (std::size_t i = 0; i < line.size(); i += 7) {
    client.Send(line.substr(i, 7));
    RunFor(kMs);
  }
  ASSERT_TRUE(RunUntil([&] { return client.Read().find('\n') != std::string::npos; }));
  EXPECT_NE(client.text.find("\"up\""), std::string::npos);
  EXPECT_EQ(one_.Heard(MessageType::kSetUp).size(), 1U);
}

TEST_F(SocketCrossingsTest, WhatWaitsToBeAcceptedWhenTheStopIsAskedForIsAnswered) {
  Start();
  bool stopped = false;
  std::vector<std::unique_ptr<RawClient>> waiting;
  for (int i = 0; i < 20; ++i) {
    waiting.push_back(std::make_unique<RawClient>(Own(1)));
    ASSERT_TRUE(waiting.back()->connected);
    waiting.back()->Send(SetUpLine("9b1f03aa5c7e2d" + std::to_string(10 + i), 1));
  }
  node_->Stop([&] { stopped = true; });
  // One comes on a connection that said nothing before, while the softswitch stands still until such ones are closed.
  const auto late = std::make_unique<RawClient>(Own(1));
  runtime_.StartTimer(700 * kMs, [&] {
    late->Send(SetUpLine(kOther, 1));
    const TimeUs until = runtime_.Now() + 100 * kMs;
    while (runtime_.Now() < until) {
    }
  });
  ASSERT_TRUE(RunUntil([&] { return stopped; }));
  for (const auto& client : waiting) EXPECT_NE(client->Read().find("\"up\""), std::string::npos);
  EXPECT_NE(late->Read().find(kOther), std::string::npos) << late->text;
  EXPECT_TRUE(late->closed);  // in order, behind the answer
}

TEST_F(SocketCrossingsTest, WhenTheProcessHasNoDescriptorLeftAnIdleClientMakesRoomForTheNext) {
  Start();
  {
    // Served and gone before: a sanitiser looks at each kind of object once, and needs descriptors for that.
    RawClient first(Own(1));
    first.Send(SetUpLine(kOther, 1));
    ASSERT_TRUE(RunUntil([&] { return first.Read().find('\n') != std::string::npos; }));
  }
  ASSERT_TRUE(RunUntil([this] { return node_->callers().links() == 0; }));
  std::vector<std::unique_ptr<RawClient>> idle;
  for (int i = 0; i < 4; ++i) idle.push_back(std::make_unique<RawClient>(Own(1)));
  ASSERT_TRUE(RunUntil([this] { return node_->callers().links() == 4; }));
  RunFor(250 * kMs);  // they have had time to say something
  RawClient usual(Own(1));
  usual.Send(SetUpLine(kCall, 1));
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  const rlimit low{256, before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &low);
  std::vector<int> taken;
  for (int fd = ::open("/dev/null", O_RDONLY); fd >= 0; fd = ::open("/dev/null", O_RDONLY)) taken.push_back(fd);
  const bool served = RunUntil([&] { return usual.Read().find('\n') != std::string::npos; });
  for (const int fd : taken) ::close(fd);
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_TRUE(served);
  EXPECT_NE(usual.text.find("\"up\""), std::string::npos);
  EXPECT_GE(node_->callers().counters().links_evicted, 1U);
  EXPECT_LE(node_->callers().counters().links_evicted, 2U);
  EXPECT_EQ(node_->callers().counters().links_silent, 0U);  // not only once the silent ones had to go anyway
}

TEST_F(SocketCrossingsTest, AClientThatKeepsItsHalfOfAClosedConnectionIsNotWaitedForLong) {
  Start();
  RawClient client(Own(1));
  client.Send("nonsense\n");
  ASSERT_TRUE(RunUntil([&] {
    client.Read();
    return client.closed;
  }));
  EXPECT_TRUE(RunUntil([&] { return !client.Takes("x"); }));
}

TEST_F(SocketCrossingsTest, AnAddressThatIsStillBoundIsTakenOnceItIsFree) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(Own(1).port);
  name.sin_addr.s_addr = htonl(Own(1).host);
  const int former = ::socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(::bind(former, reinterpret_cast<const sockaddr*>(&name), sizeof(name)), 0);
  ASSERT_EQ(::listen(former, 1), 0);
  Start();
  RunFor(120 * kMs);
  ::close(former);
  ASSERT_TRUE(RunUntil([&] { return RawClient(Own(1)).connected; }));
  RawClient client(Own(1));
  client.Send(SetUpLine(kCall, 1));
  EXPECT_TRUE(RunUntil([&] { return client.Read().find("\"up\"") != std::string::npos; }));
}

}  // namespace
}  // namespace croftrun::platform
