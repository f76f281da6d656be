// Tests of the API: parsing of commands, sessions on virtual time over a whole edge, and the transport on the loopback
// interface.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "call_path_fixture.h"
#include "runtime/asio_runtime.h"
#include "ws/server.h"
#include "ws/session_manager.h"

namespace croftrun::ws {
namespace {

using nlohmann::json;

std::string ErrorCodeOf(std::string_view text, const ApiLimits& limits = {}) {
  const auto parsed = ParseCommand(text, limits);
  const auto* error = std::get_if<ApiError>(&parsed);
  return error == nullptr ? "" : error->code;
}

TEST(Api, ReportsTheErrorOfAnInvalidCommand) {
  EXPECT_EQ(ErrorCodeOf(R"({"v":1,"id":"a","do":"place","called":"110010007","patience_ms":3000})"), "");
  EXPECT_EQ(ErrorCodeOf("{"), "not-json");
  EXPECT_EQ(ErrorCodeOf("[]"), "not-json");
  EXPECT_EQ(ErrorCodeOf(R"({"v":1,"do":"ack"})"), "missing");
  EXPECT_EQ(ErrorCodeOf(R"({"v":2,"id":"a","do":"ack","have":1})"), "version");
  EXPECT_EQ(ErrorCodeOf(R"({"v":1,"id":"a","do":"dance"})"), "unknown-command");
  EXPECT_EQ(ErrorCodeOf(R"({"v":1,"id":"a","do":"place","called":"11x"})"), "wrong-type");
  EXPECT_EQ(ErrorCodeOf(R"({"v":1,"id":"a","do":"hang-up","call":-1})"), "wrong-type");
  EXPECT_EQ(ErrorCodeOf(R"({"v":1,"id":"a","do":"subscribe","events":["moon"]})"), "wrong-type");
  EXPECT_EQ(ErrorCodeOf(std::string(10'000, 'x')), "too-long");
  EXPECT_EQ(ErrorCodeOf(std::string(4'000, '[') + std::string(4'000, ']')), "too-deep");
  ApiLimits wide;
  wide.max_octets = 1'000'000;
  EXPECT_EQ(ErrorCodeOf(std::string(10'000, '['), wide), "too-deep");  // must not reach the recursive JSON parser
  // A token with names of the maximum length is accepted.
  const std::string token =
      MakeToken({std::string(64, 'c'), std::string(64, 'd'), 2'000'000'000}, "a key of some length");
  EXPECT_EQ(ErrorCodeOf(json{{"v", 1}, {"id", "a"}, {"do", "hello"}, {"token", token}}.dump()), "");
  const auto with_id = ParseCommand(R"({"v":1,"id":"my id","do":"dance"})", {});
  EXPECT_EQ(std::get<ApiError>(with_id).id, "my id");
}

TEST(Api, ParserAcceptsArbitraryOctets) {
  rc::check([](const std::string& text) {
    const auto parsed = ParseCommand(text, {});
    if (const auto* error = std::get_if<ApiError>(&parsed)) RC_ASSERT(!ErrorText(*error).empty());
  });
}

TEST(Token, IsReadBackAndAnyChangeIsRejected) {
  const std::vector<std::string> keys = {"an older key of some length", "a key of some length"};
  const std::string token = MakeToken({"crew-7", "leads", 2'000'000'000}, keys[1]);
  const auto identity = ReadToken(token, keys);
  ASSERT_TRUE(identity);
  EXPECT_EQ(identity->client, "crew-7");
  EXPECT_EQ(identity->customer, "leads");
  EXPECT_EQ(identity->expires_s, 2'000'000'000);
  EXPECT_FALSE(ReadToken(token, {keys[0]}));
  for (std::size_t i = 0; i < token.size(); ++i) {
    std::string other = token;
    other[i] = other[i] == '1' ? '2' : '1';
    EXPECT_FALSE(ReadToken(other, keys)) << i;
  }
  EXPECT_FALSE(ReadToken("", keys));
  EXPECT_FALSE(ReadToken(MakeToken({"", "leads", 1}, keys[0]), keys));
}

// Connection that records the messages sent to it.
class RecordingConnection final : public ConnectionOutput {
 public:
  void Send(std::string text) override { messages.push_back(json::parse(text)); }
  std::size_t QueuedOctets() const override { return queued_octets; }
  void Close(int code, std::string) override { close_code = code; }
  json Last() const { return messages.empty() ? json() : messages.back(); }
  std::size_t Count(const std::string& event) const {
    return static_cast<std::size_t>(std::count_if(
        messages.begin(), messages.end(), [&](const json& message) { return message.value("event", "") == event; }));
  }
  std::vector<json> messages;
  std::size_t queued_octets = 0;
  int close_code = 0;
};

class ApiOverEdge : public CallPath {
 protected:
  ApiOverEdge() {
    edge::ApiSettings api;
    api.session_manager.token_keys = {"a key of some length"};
    api.session_manager.session.max_calls = 2;
    api.session_manager.session.command_limit = {10.0, 12.0};
    settings.api = api;
    StartEdge();
    runtime.SetWallClock(1'900'000'000'000'000);
  }
  std::string Token(std::int64_t expires_s = 2'000'000'000, const std::string& client = "crew-7") {
    return MakeToken({client, "", expires_s}, "a key of some length");
  }
  SessionManager::ConnectionId OpenSession(RecordingConnection* connection, const std::string& token,
                                           const json& more = json::object()) {
    const auto id = node->session_manager()->OnOpened(connection, "127.0.0.1");
    json hello = {{"v", 1}, {"id", "hello"}, {"do", "hello"}, {"token", token}};
    hello.update(more);
    node->session_manager()->OnText(id, hello.dump());
    return id;
  }
  void SendCommand(SessionManager::ConnectionId id, const std::string& request, json command) {
    command["v"] = 1;
    command["id"] = request;
    node->session_manager()->OnText(id, command.dump());
  }
  CallId PlaceCall(SessionManager::ConnectionId id, RecordingConnection* connection, const std::string& request) {
    SendCommand(id, request, {{"do", "place"}, {"called", "110010007"}, {"patience_ms", 3000}});
    runtime.RunFor(kMs);
    for (auto message = connection->messages.rbegin(); message != connection->messages.rend(); ++message) {
      if (message->value("id", "") == request && message->value("ok", false)) return message->at("call").get<CallId>();
    }
    return 0;
  }
};

TEST_F(ApiOverEdge, CallTakesTheSamePathAsOneFromALineAndEndsOnce) {
  RecordingConnection connection;
  const auto id = OpenSession(&connection, Token());
  const CallId call = PlaceCall(id, &connection, "r1");
  ASSERT_NE(call, 0U);
  ASSERT_EQ(SetUpCount(), 1U);
  EXPECT_EQ(gateway.Last(mgcp::Verb::kCrcx, "ds/")->Get("S"), "MS/sup(addr(110010007),id(crew-7))");
  OnCircuit(LastSeized(), "MS/ans");
  ASSERT_EQ(connection.Count("final"), 1U);
  EXPECT_EQ(connection.Last().at("answer"), "stands");
  SendCommand(id, "r2", {{"do", "hang-up"}, {"call", call}});
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(node->core().open_calls(), 0U);
  EXPECT_EQ(IdleCircuits(1), 2U);
  SendCommand(id, "r3", {{"do", "hang-up"}, {"call", call}});
  EXPECT_EQ(connection.Last().at("error").at("code"), "no-call");
  EXPECT_EQ(connection.Count("final"), 1U);
}

TEST_F(ApiOverEdge, RepeatedCommandGetsTheSameReplyAndIsExecutedOnce) {
  RecordingConnection connection;
  const auto id = OpenSession(&connection, Token());
  const CallId call = PlaceCall(id, &connection, "r1");
  EXPECT_EQ(PlaceCall(id, &connection, "r1"), call);
  EXPECT_EQ(SetUpCount(), 1U);
  EXPECT_EQ(node->session_manager()->counters().repeated, 1U);
}

TEST_F(ApiOverEdge, FinalAnswerWhileAwayIsDeliveredOnceOnResumption) {
  RecordingConnection connection;
  const auto id = OpenSession(&connection, Token());
  const std::string session = connection.messages.at(0).at("session");
  ASSERT_NE(PlaceCall(id, &connection, "r1"), 0U);
  node->session_manager()->OnClosed(id);
  OnCircuit(LastSeized(), "MS/ans");
  EXPECT_EQ(connection.Count("final"), 0U);
  RecordingConnection resumed;
  const auto again = OpenSession(&resumed, Token(), {{"session", session}, {"have", 0}});
  EXPECT_EQ(resumed.Count("final"), 1U);
  const std::uint64_t seen = resumed.Last().at("seq");
  node->session_manager()->OnClosed(again);
  RecordingConnection third;
  OpenSession(&third, Token(), {{"session", session}, {"have", seen}});
  EXPECT_EQ(third.Count("final"), 0U);  // acknowledged by `have`
  EXPECT_EQ(node->core().open_calls(), 1U);
  // Another client cannot resume the session.
  RecordingConnection other_client;
  OpenSession(&other_client, Token(2'000'000'000, "crew-8"), {{"session", session}});
  EXPECT_EQ(other_client.Last().at("error").at("code"), "no-session");
}

TEST_F(ApiOverEdge, SessionNotResumedEndsAndItsCallsAreHungUp) {
  RecordingConnection connection;
  const auto id = OpenSession(&connection, Token());
  PlaceCall(id, &connection, "r1");
  OnCircuit(LastSeized(), "MS/ans");
  node->session_manager()->OnClosed(id);
  runtime.RunFor(29'000 * kMs);
  EXPECT_EQ(node->core().open_calls(), 1U);
  runtime.RunFor(3'000 * kMs);
  EXPECT_EQ(node->core().open_calls(), 0U);
  EXPECT_EQ(node->session_manager()->sessions(), 0U);
}

TEST_F(ApiOverEdge, SlowConsumerIsDisconnectedAndLosesNoAnswer) {
  RecordingConnection connection;
  const auto id = OpenSession(&connection, Token());
  const std::string session = connection.messages.at(0).at("session");
  PlaceCall(id, &connection, "r1");
  connection.queued_octets = 1U << 20U;
  OnCircuit(LastSeized(), "MS/ans");
  EXPECT_EQ(connection.close_code, 1013);
  node->session_manager()->OnClosed(id);
  RecordingConnection resumed;
  OpenSession(&resumed, Token(), {{"session", session}, {"have", 0}});
  EXPECT_EQ(resumed.Count("final"), 1U);
}

TEST_F(ApiOverEdge, TokenExpiryKeepsCallsUpAndPreventsNewOnes) {
  RecordingConnection connection;
  const auto id = OpenSession(&connection, Token(1'900'000'010));
  const CallId call = PlaceCall(id, &connection, "r1");
  OnCircuit(LastSeized(), "MS/ans");
  runtime.SetWallClock(1'900'000'020'000'000);
  EXPECT_EQ(PlaceCall(id, &connection, "r2"), 0U);
  EXPECT_EQ(connection.Last().at("error").at("code"), "token-expired");
  EXPECT_EQ(node->core().open_calls(), 1U);
  SendCommand(id, "again", {{"do", "hello"}, {"token", Token(1'900'000'100)}});
  EXPECT_NE(PlaceCall(id, &connection, "r3"), 0U);
  SendCommand(id, "r4", {{"do", "hang-up"}, {"call", call}});
  EXPECT_TRUE(connection.Last().at("ok"));
  RecordingConnection expired;
  OpenSession(&expired, Token(1'900'000'010));
  EXPECT_EQ(expired.close_code, 1008);
}

TEST_F(ApiOverEdge, EnforcesLimitsAndReportsThem) {
  RecordingConnection connection;
  const auto id = OpenSession(&connection, Token());
  EXPECT_NE(PlaceCall(id, &connection, "a"), 0U);
  EXPECT_NE(PlaceCall(id, &connection, "b"), 0U);
  EXPECT_EQ(PlaceCall(id, &connection, "c"), 0U);
  EXPECT_EQ(connection.Last().at("error").at("code"), "too-many-calls");
  for (int i = 0; i < 20; ++i) SendCommand(id, "l" + std::to_string(i), {{"do", "list"}, {"what", "groups"}});
  EXPECT_EQ(connection.Last().at("error").at("code"), "too-many-commands");
  SendCommand(id, "x", {{"do", "place"}, {"called", "999"}});
  RecordingConnection silent;
  node->session_manager()->OnOpened(&silent, "127.0.0.1");
  runtime.RunFor(6'000 * kMs);
  EXPECT_EQ(silent.close_code, 1008);
  RecordingConnection without_hello;
  const auto without_hello_id = node->session_manager()->OnOpened(&without_hello, "127.0.0.1");
  SendCommand(without_hello_id, "p", {{"do", "place"}, {"called", "110010007"}});
  EXPECT_EQ(without_hello.messages.at(0).at("error").at("code"), "hello-first");
  EXPECT_EQ(without_hello.close_code, 1008);
}

TEST_F(ApiOverEdge, ImmediateRefusalFollowsTheReplyThatNamesTheCall) {
  node->core().StopAcceptingCalls();
  RecordingConnection connection;
  const auto id = OpenSession(&connection, Token());
  const CallId call = PlaceCall(id, &connection, "r1");
  ASSERT_NE(call, 0U);
  ASSERT_GE(connection.messages.size(), 3U);
  EXPECT_EQ(connection.messages[1].value("id", ""), "r1");
  EXPECT_EQ(connection.messages[2].value("answer", ""), "refused");
  EXPECT_EQ(connection.messages[2].at("call"), call);
}

// ---- transport on the loopback interface ----

class CountingCallService final : public CallService {
 public:
  bool Classify(core::CallRequest*, const std::string&, bool*, TimeUs*) override { return true; }
  CallId AcceptCall(const core::CallRequest&, core::CallOwner*, std::string_view) override { return ++calls; }
  void HangUp(CallId) override { ++hung_up; }
  json List(const std::string&) override { return json::array(); }
  CallId calls = 0;
  int hung_up = 0;
};

class WsTransport : public testing::Test {
 protected:
  using Socket = boost::beast::websocket::stream<boost::asio::ip::tcp::socket>;
  WsTransport() {
    settings_.listen = {0x7f000001, 0};
    settings_.handshake_timeout_us = 300'000;
    settings_.idle_timeout_us = 1'000'000;
    settings_.max_connections = 8;
    session_manager_ = std::make_unique<SessionManager>(SessionManagerSettings{}, &runtime_, &calls_);
    server_ = std::make_unique<Server>(&runtime_.context(), settings_, session_manager_.get());
    thread_ = std::thread([this] { runtime_.Run(); });
  }
  ~WsTransport() override {
    boost::asio::post(runtime_.context(), [this] {
      server_.reset();
      runtime_.StartTimer(50'000, [this] { runtime_.Stop(); });
    });
    thread_.join();
  }
  std::uint16_t Port() {
    std::promise<std::uint16_t> port;
    boost::asio::post(runtime_.context(), [&] { port.set_value(server_->port()); });
    return port.get_future().get();
  }
  std::size_t OpenConnections() {
    std::promise<std::size_t> open;
    boost::asio::post(runtime_.context(), [&] { open.set_value(server_->open()); });
    return open.get_future().get();
  }
  std::unique_ptr<Socket> Connect() {
    auto socket = std::make_unique<Socket>(clients_);
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), Port());
    socket->next_layer().connect(endpoint);
    socket->handshake("127.0.0.1", "/");
    return socket;
  }
  static json Exchange(Socket& socket, const json& command) {
    socket.write(boost::asio::buffer(command.dump()));
    boost::beast::flat_buffer buffer;
    socket.read(buffer);
    return json::parse(boost::beast::buffers_to_string(buffer.data()));
  }

  runtime::AsioRuntime runtime_;
  CountingCallService calls_;
  ServerSettings settings_;
  std::unique_ptr<SessionManager> session_manager_;
  std::unique_ptr<Server> server_;
  std::thread thread_;
  boost::asio::io_context clients_;
};

TEST_F(WsTransport, SessionRunsFromHelloToHangUp) {
  auto socket = Connect();
  EXPECT_TRUE(Exchange(*socket, {{"v", 1}, {"id", "1"}, {"do", "hello"}}).at("ok"));
  const json placed = Exchange(*socket, {{"v", 1}, {"id", "2"}, {"do", "place"}, {"called", "123"}});
  EXPECT_EQ(placed.at("call"), 1);
  EXPECT_TRUE(Exchange(*socket, {{"v", 1}, {"id", "3"}, {"do", "hang-up"}, {"call", 1}}).at("ok"));
}

TEST_F(WsTransport, ClosesSilentAndIncompleteConnectionsAndRejectsExcessOnes) {
  auto well_behaved = Connect();
  EXPECT_TRUE(Exchange(*well_behaved, {{"v", 1}, {"id", "1"}, {"do", "hello"}}).at("ok"));
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), Port());
  boost::asio::ip::tcp::socket silent(clients_);  // sends nothing
  silent.connect(endpoint);
  auto partial_frame = Connect();
  const unsigned char frame_start[] = {0x81, 0xfe, 0x10};  // the start of a masked frame of 4 KiB
  boost::asio::write(partial_frame->next_layer(), boost::asio::buffer(frame_start));
  std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> excess;
  for (int i = 0; i < 20; ++i) {
    excess.push_back(std::make_unique<boost::asio::ip::tcp::socket>(clients_));
    boost::system::error_code ignored;
    excess.back()->connect(endpoint, ignored);
  }
  EXPECT_TRUE(Exchange(*well_behaved, {{"v", 1}, {"id", "2"}, {"do", "list"}, {"what", "groups"}}).at("ok"));
  EXPECT_LE(OpenConnections(), 8U);
  // Waits until the misbehaving connections are closed. The well-behaved one answers pings while it reads.
  for (int i = 0; i < 200 && OpenConnections() > 1; ++i) {
    EXPECT_TRUE(Exchange(*well_behaved, {{"v", 1}, {"id", "w" + std::to_string(i)}, {"do", "ack"}, {"have", 0}})
                    .contains("ok"));
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
  }
  EXPECT_EQ(OpenConnections(), 1U);
}

TEST_F(WsTransport, MessageBeyondTheSizeLimitEndsTheConnection) {
  auto socket = Connect();
  boost::system::error_code error;
  socket->write(boost::asio::buffer(std::string(100'000, 'x')), error);
  boost::beast::flat_buffer buffer;
  socket->read(buffer, error);
  EXPECT_TRUE(error);
}

}  // namespace
}  // namespace croftrun::ws
