// Races that depend on the kernel, tested on loopback sockets: unread data, connections waiting to be accepted, and
// exhausted descriptors. The order of events is controlled by observing the event loop and by blocking it, not by
// sleeping.
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

// Addresses used only by this process and test: tests run in parallel, and a closed address stays bound for a while.
std::uint16_t test_number = 0;
Address TestAddress(std::uint8_t last, std::uint16_t port = 5080) {
  port = static_cast<std::uint16_t>(port + test_number);
  const auto pid = static_cast<std::uint32_t>(::getpid());
  return {0x7f000000U | (64U + (pid >> 8U) % 128U) << 16U | (pid & 0xffU) << 8U | last, port};
}

// A client that sends and receives only when the test requests it.
class RawClient {
 public:
  explicit RawClient(const Address& to) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_port = htons(to.port);
    socket_address.sin_addr.s_addr = htonl(to.host);
    connected = ::connect(socket_, reinterpret_cast<const sockaddr*>(&socket_address), sizeof(socket_address)) == 0;
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  void Send(const std::string& octets) {
    ASSERT_EQ(::send(socket_, octets.data(), octets.size(), MSG_NOSIGNAL), static_cast<ssize_t>(octets.size()));
  }
  // Returns false once the peer accepts no more data.
  bool TrySend(const std::string& octets) {
    return ::send(socket_, octets.data(), octets.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(octets.size());
  }
  void Close() {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
  }
  // Returns all data received so far.
  const std::string& Read() {
    char octets[4096];
    ssize_t count = 0;
    while ((count = ::recv(socket_, octets, sizeof(octets), MSG_DONTWAIT)) > 0)
      text.append(octets, static_cast<std::size_t>(count));
    if (count == 0) closed = true;
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

class SocketRaceTest : public ::testing::Test {
 protected:
  SocketRaceTest()
      : test_number_(++test_number),
        discovery_(&runtime_, TestAddress(3, 9092)),
        exchange_1_(&runtime_, TestAddress(2)) {}
  void Start() {
    json config = ConfigJson();
    config["listen"] = core::ToString(TestAddress(1));
    config["board"] = core::ToString(TestAddress(3, 9092));
    json target = TargetJson(1);
    target["endpoint"] = core::ToString(TestAddress(2));
    config["known"] = {{"rev", 1}, {"notices", json::array({json::parse(EventJson(1, true, json::array({target})))})}};
    std::vector<config::SettingsError> mistakes;
    node_ = std::make_unique<Node>(ParseNodeConfig(config.dump(), "", "", &mistakes), &runtime_, &log_);
    ASSERT_TRUE(mistakes.empty());
    ASSERT_TRUE(RunUntil([this] { return !exchange_1_.OpenConnections().empty(); }));
    exchange_1_.OpenConnections()[0]->Send(
        {.type = MessageType::kGroupReport, .id = "0000000000000000", .fields = {{"load", "spare:20;total:20"}}});
    ASSERT_TRUE(RunUntil([this] { return node_->exchanges().counters().changed_reports == 1; }));
  }
  // Returns false if the condition is not met within ten seconds.
  bool RunUntil(const std::function<bool()>& done) {
    const TimeUs end = runtime_.Now() + 10'000 * kMs;
    std::function<void()> check = [&] {
      if (done() || runtime_.Now() > end) return runtime_.Stop();
      runtime_.StartTimer(kMs, check);
    };
    runtime_.StartTimer(0, check);
    runtime_.Run();
    return done();
  }
  void RunFor(TimeUs time) {
    const TimeUs end = runtime_.Now() + time;
    RunUntil([&] { return runtime_.Now() >= end; });
  }

  const std::uint16_t test_number_;
  runtime::AsioRuntime runtime_;
  NullLogger log_;
  PlatformDiscovery discovery_;
  PlatformExchange exchange_1_;
  std::unique_ptr<Node> node_;
};

TEST_F(SocketRaceTest, DropsSetUpIfCallerHasAlreadyClosed) {
  Start();
  {
    RawClient client(TestAddress(1));
    ASSERT_TRUE(client.connected);
    client.Send(SetUpLine(kCall, 1));
  }  // closed before the softswitch reads it
  ASSERT_TRUE(RunUntil([this] { return node_->callers().counters().given_up == 1; }));
  RunFor(50 * kMs);
  EXPECT_TRUE(exchange_1_.Received(MessageType::kSetUp).empty());
  EXPECT_EQ(node_->core().open_calls(), 0U);
}

// Guards against set-ups of a client that left with so much unread that its close has not arrived yet.
TEST_F(SocketRaceTest, DropsSetUpsIfCallerHasClosedBehindUnreadInput) {
  constexpr int kSetUps = 3000;
  Start();
  {
    RawClient client(TestAddress(1));
    ASSERT_TRUE(client.connected);
    std::string set_ups;
    for (int i = 0; i < kSetUps; ++i) set_ups += SetUpLine("9b1f03aa5c7e" + std::to_string(1000 + i), 1);
    client.Send(set_ups);
  }
  ASSERT_TRUE(RunUntil([this] { return node_->callers().counters().given_up > 0; }));
  RunFor(50 * kMs);
  EXPECT_TRUE(exchange_1_.Received(MessageType::kSetUp).empty());
  EXPECT_EQ(node_->core().open_calls(), 0U);
}

// Guards against set-ups of a client that never pauses and would wait for ever.
TEST_F(SocketRaceTest, StartsSetUpsOfCallerThatSendsWithoutPause) {
  Start();
  RawClient client(TestAddress(1));
  ASSERT_TRUE(client.connected);
  client.Send(SetUpLine(kCall, 1));
  const std::string heartbeats = [] {
    std::string text;
    for (int i = 0; i < 300; ++i) text += WriteMessage({.type = MessageType::kAcknowledgement, .id = kOtherCall});
    return text;
  }();
  EXPECT_TRUE(RunUntil([&] {
    client.TrySend(heartbeats);
    return !exchange_1_.Received(MessageType::kSetUp).empty();
  }));
}

TEST_F(SocketRaceTest, StartsNoAttemptIfCloseOfCallerIsUnread) {
  RawClient* leaving = nullptr;
  exchange_1_.on_set_up = [&](PlatformConnection& connection, const Message& message) {
    PlatformExchange::Release(connection, message.id, 41);  // reset: retried after the release wait of 300 ms
    const TimeUs now = runtime_.Now();
    runtime_.StartTimer(250 * kMs, [&, now] {
      // Blocks the softswitch, so that the caller closes and the next attempt becomes due before it reads again.
      leaving->Close();
      while (runtime_.Now() < now + 400 * kMs) {
      }
    });
  };
  Start();
  RawClient client(TestAddress(1));
  leaving = &client;
  client.Send(SetUpLine(kCall, 1));
  ASSERT_TRUE(RunUntil([this] { return node_->callers().counters().given_up == 1; }));
  RunFor(50 * kMs);
  EXPECT_EQ(exchange_1_.Received(MessageType::kSetUp).size(), 1U);
  EXPECT_EQ(node_->core().open_calls(), 0U);
}

TEST_F(SocketRaceTest, HandlesFragmentedSetUpOnceComplete) {
  Start();
  RawClient client(TestAddress(1));
  const std::string line = SetUpLine(kCall, 1);
  for (std::size_t i = 0; i < line.size(); i += 7) {
    client.Send(line.substr(i, 7));
    RunFor(kMs);
  }
  ASSERT_TRUE(RunUntil([&] { return client.Read().find('\n') != std::string::npos; }));
  EXPECT_NE(client.text.find("\"up\""), std::string::npos);
  EXPECT_EQ(exchange_1_.Received(MessageType::kSetUp).size(), 1U);
}

TEST_F(SocketRaceTest, AnswersConnectionsWaitingForAcceptAtStop) {
  Start();
  bool stopped = false;
  std::vector<std::unique_ptr<RawClient>> waiting;
  for (int i = 0; i < 20; ++i) {
    waiting.push_back(std::make_unique<RawClient>(TestAddress(1)));
    ASSERT_TRUE(waiting.back()->connected);
    waiting.back()->Send(SetUpLine("9b1f03aa5c7e2d" + std::to_string(10 + i), 1));
  }
  node_->Stop([&] { stopped = true; });
  // One set-up arrives on a so far silent connection while the softswitch is blocked until such connections are closed.
  const auto late = std::make_unique<RawClient>(TestAddress(1));
  runtime_.StartTimer(700 * kMs, [&] {
    late->Send(SetUpLine(kOtherCall, 1));
    const TimeUs until = runtime_.Now() + 100 * kMs;
    while (runtime_.Now() < until) {
    }
  });
  ASSERT_TRUE(RunUntil([&] { return stopped; }));
  for (const auto& client : waiting) EXPECT_NE(client->Read().find("\"up\""), std::string::npos);
  EXPECT_NE(late->Read().find(kOtherCall), std::string::npos) << late->text;
  EXPECT_TRUE(late->closed);  // closed in order after the answer
}

TEST_F(SocketRaceTest, EvictsIdleClientWhenDescriptorsAreExhausted) {
  Start();
  {
    // Serves and closes one client beforehand: a sanitizer inspects each type of object once and needs descriptors for
    // that.
    RawClient first(TestAddress(1));
    first.Send(SetUpLine(kOtherCall, 1));
    ASSERT_TRUE(RunUntil([&] { return first.Read().find('\n') != std::string::npos; }));
  }
  ASSERT_TRUE(RunUntil([this] { return node_->callers().connection_count() == 0; }));
  std::vector<std::unique_ptr<RawClient>> idle;
  for (int i = 0; i < 4; ++i) idle.push_back(std::make_unique<RawClient>(TestAddress(1)));
  ASSERT_TRUE(RunUntil([this] { return node_->callers().connection_count() == 4; }));
  RunFor(250 * kMs);  // they had time to send something
  RawClient regular(TestAddress(1));
  regular.Send(SetUpLine(kCall, 1));
  rlimit previous{};
  ::getrlimit(RLIMIT_NOFILE, &previous);
  const rlimit reduced{256, previous.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &reduced);
  std::vector<int> descriptors;
  for (int fd = ::open("/dev/null", O_RDONLY); fd >= 0; fd = ::open("/dev/null", O_RDONLY)) descriptors.push_back(fd);
  const bool served = RunUntil([&] { return regular.Read().find('\n') != std::string::npos; });
  for (const int fd : descriptors) ::close(fd);
  ::setrlimit(RLIMIT_NOFILE, &previous);
  EXPECT_TRUE(served);
  EXPECT_NE(regular.text.find("\"up\""), std::string::npos);
  EXPECT_GE(node_->callers().counters().connections_evicted, 1U);
  EXPECT_LE(node_->callers().counters().connections_evicted, 2U);
  EXPECT_EQ(node_->callers().counters().connections_silent, 0U);  // not because the silent connections had timed out
}

TEST_F(SocketRaceTest, DoesNotWaitForClientThatKeepsHalfClosedConnection) {
  Start();
  RawClient client(TestAddress(1));
  client.Send("nonsense\n");
  ASSERT_TRUE(RunUntil([&] {
    client.Read();
    return client.closed;
  }));
  EXPECT_TRUE(RunUntil([&] { return !client.TrySend("x"); }));
}

TEST_F(SocketRaceTest, BindsAddressOnceItIsFree) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(TestAddress(1).port);
  socket_address.sin_addr.s_addr = htonl(TestAddress(1).host);
  const int former = ::socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(::bind(former, reinterpret_cast<const sockaddr*>(&socket_address), sizeof(socket_address)), 0);
  ASSERT_EQ(::listen(former, 1), 0);
  Start();
  RunFor(120 * kMs);
  ::close(former);
  ASSERT_TRUE(RunUntil([&] { return RawClient(TestAddress(1)).connected; }));
  RawClient client(TestAddress(1));
  client.Send(SetUpLine(kCall, 1));
  EXPECT_TRUE(RunUntil([&] { return client.Read().find("\"up\"") != std::string::npos; }));
}

}  // namespace
}  // namespace croftrun::platform
