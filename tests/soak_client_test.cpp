// Tests the callers' stand-in of the soak trials against a softswitch that the test itself plays.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>

#include "lab/soak/client_stand_in.h"
#include "platform/line_codec.h"
#include "runtime/asio_runtime.h"

namespace croftrun::lab::soak {
namespace {

using boost::asio::ip::tcp;

constexpr TimeUs kMaxWait = 2'000'000;
constexpr std::uint32_t kSoftswitchHost = 0x7f4d0101, kClientHost = 0x7f4d0201;

// One host that places calls to a softswitch played by the test, which reads and writes its connections itself.
class SoakClientTest : public ::testing::Test {
 protected:
  // Runs the stand-in until `done` returns true.
  template <typename Condition>
  void RunUntil(const Condition& done) {
    const TimeUs deadline = runtime_.Now() + kMaxWait;
    while (!done()) {
      ASSERT_LT(runtime_.Now(), deadline);
      RunFor(std::chrono::milliseconds(5));
    }
  }
  void RunFor(std::chrono::milliseconds time) {
    runtime_.context().restart();
    runtime_.context().run_for(time);
  }
  // Accepts a connection and returns the first set-up on it, whose octets are in the socket already.
  platform::Message AcceptSetUp(tcp::socket* connection) {
    std::string octets;
    RunUntil([&] {
      if (!connection->is_open()) {
        boost::system::error_code error;
        acceptor_.accept(*connection, error);
        return false;
      }
      return connection->available() > 0;
    });
    boost::asio::read_until(*connection, boost::asio::dynamic_buffer(octets), '\n');
    return platform::ParseMessage(octets.substr(0, octets.find('\n'))).value_or(platform::Message{});
  }
  std::size_t CountEvents(EventKind kind) const {
    return static_cast<std::size_t>(std::count_if(events_.events().begin(), events_.events().end(),
                                                  [kind](const TrialEvent& event) { return event.kind == kind; }));
  }

  runtime::AsioRuntime runtime_;
  EventLog events_{&runtime_};
  tcp::acceptor acceptor_{runtime_.context(), tcp::endpoint(boost::asio::ip::address_v4(kSoftswitchHost), 0)};
  ClientStandIn clients_{&runtime_.context(),
                         &runtime_,
                         &events_,
                         1,
                         ClientTraits{.calls_per_s = 4,
                                      .classes = {"voice"},
                                      .caller_timeouts = {kMaxWait},
                                      .hosts = 1,
                                      .max_connections = 1,
                                      .cancel_share = 0,
                                      .disconnect_share = 0,
                                      .split_write_share = 0,
                                      .release_share = 0},
                         0,
                         {kSoftswitchHost, acceptor_.local_endpoint().port()},
                         kClientHost,
                         2};
};

TEST_F(SoakClientTest, KeepsCallWhoseAnswerIsReadAfterTheEndOfTheProcess) {
  acceptor_.non_blocking(true);
  tcp::socket connection(runtime_.context());
  clients_.StartCalls();
  const platform::Message set_up = AcceptSetUp(&connection);
  clients_.StopCalls();
  connection.non_blocking(false);
  boost::asio::write(connection,
                     boost::asio::buffer(platform::WriteMessage(
                         {.type = platform::MessageType::kAnswer, .id = set_up.id, .description = "exchange 1 call"})));
  connection.close();
  clients_.OnProcessEnded();
  RunUntil([&] { return CountEvents(EventKind::kClientClosed) == 1; });
  EXPECT_EQ(CountEvents(EventKind::kAnswerReceived), 1U);
  EXPECT_EQ(clients_.established_calls(), 1U);
  clients_.AnnounceEstablishedCalls();
  EXPECT_EQ(CountEvents(EventKind::kCallAnnounced), 1U);
}

TEST_F(SoakClientTest, ForgetsSetUpsThatTheEndedProcessLeftUnanswered) {
  acceptor_.non_blocking(true);
  tcp::socket connection(runtime_.context());
  clients_.StartCalls();
  AcceptSetUp(&connection);
  clients_.StopCalls();
  connection.close();
  clients_.OnProcessEnded();
  RunUntil([&] { return CountEvents(EventKind::kClientClosed) == 1; });
  EXPECT_EQ(CountEvents(EventKind::kClosedBeforeAnswer), 0U);
  EXPECT_EQ(CountEvents(EventKind::kClientConnected), 1U);
  EXPECT_EQ(clients_.established_calls(), 0U);
}

}  // namespace
}  // namespace croftrun::lab::soak
