// The API: its commands octet by octet, sessions on virtual time over a whole edge, and the transport on
// loopback.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "hard_case_fixture.h"
#include "runtime/asio_runtime.h"
#include "ws/server.h"
#include "ws/session_manager.h"

namespace croftrun::ws {
namespace {

using nlohmann::json;

std::string CodeOf(std::string_view text, const ApiLimits& limits = {}) {
  const auto parsed = ParseCommand(text, limits);
  const auto* error = std::get_if<ApiError>(&parsed);
  return error == nullptr ? "" : error->code;
}

TEST(Api, SaysWhatIsWrongWithACommand) {
  EXPECT_EQ(CodeOf(R"({"v":1,"id":"a","do":"place","called":"110010007","patience_ms":3000})"), "");
  EXPECT_EQ(CodeOf("{"), "not-json");
  EXPECT_EQ(CodeOf("[]"), "not-json");
  EXPECT_EQ(CodeOf(R"({"v":1,"do":"ack"})"), "missing");
  EXPECT_EQ(CodeOf(R"({"v":2,"id":"a","do":"ack","have":1})"), "version");
  EXPECT_EQ(CodeOf(R"({"v":1,"id":"a","do":"dance"})"), "unknown-command");
  EXPECT_EQ(CodeOf(R"({"v":1,"id":"a","do":"place","called":"11x"})"), "wrong-type");
  EXPECT_EQ(CodeOf(R"({"v":1,"id":"a","do":"hang-up","call":-1})"), "wrong-type");
  EXPECT_EQ(CodeOf(R"({"v":1,"id":"a","do":"subscribe","events":["moon"]})"), "wrong-type");
  EXPECT_EQ(CodeOf(std::string(10'000, 'x')), "too-long");
  EXPECT_EQ(CodeOf(std::string(4'000, '[') + std::string(4'000, ']')), "too-deep");
  ApiLimits wide;
  wide.most_octets = 1'000'000;
  EXPECT_EQ(CodeOf(std::string(10'000, '['), wide), "too-deep");  // never handed to a parser that recurses
  // The longest names a token may hold still fit.
  const std::string token =
      MakeToken({std::string(64, 'c'), std::string(64, 'd'), 2'000'000'000}, "a key of some length");
  EXPECT_EQ(CodeOf(json{{"v", 1}, {"id", "a"}, {"do", "hello"}, {"token", token}}.dump()), "");
  const auto named = ParseCommand(R"({"v":1,"id":"my id","do":"dance"})", {});
  EXPECT_EQ(std::get<ApiError>(named).id, "my id");
}

TEST(Api, NoOctetsBreakTheParser) {
  rc::check([](const std::string& text) {
    const auto parsed = ParseCommand(text, {});
    if (const auto* error = std::get_if<ApiError>(&parsed)) RC_ASSERT(!ErrorText(*error).empty());
  });
}

TEST(Token, IsReadBackAndNothingElseIs) {
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

// A connection in memory.
class Line final : public ConnectionOutput {
 public:
  void Send(std::string text) override { heard.push_back(json::parse(text)); }
  std::size_t Queued() const override { return queued; }
  void Close(int code, std::string) override { closed = code; }
  json Last() const { return heard.empty() ? json() : heard.back(); }
  std::size_t Count(const std::string& event) const {
    return static_cast<std::size_t>(
        std::count_if(heard.begin(), heard.end(), [&](const json& m) { return m.value("event", "") == event; }));
  }
  std::vector<json> heard;
  std::size_t queued = 0;
  int closed = 0;
};

class ApiOverAnEdge : public HardCase {
 protected:
  ApiOverAnEdge() {
    edge::ApiSettings api;
    api.session_manager.token_keys = {"a key of some length"};
    api.session_manager.session.most_calls = 2;
    api.session_manager.session.commands = {10.0, 12.0};
    settings.api = api;
    StartEdge();
    runtime.SetWall(1'900'000'000'000'000);
  }
  std::string Token(std::int64_t expires_s = 2'000'000'000, const std::string& client = "crew-7") {
    return MakeToken({client, "", expires_s}, "a key of some length");
  }
  SessionManager::ConnectionId Open(Line* line, const std::string& token, const json& more = json::object()) {
    const auto id = node->session_manager()->OnOpened(line, "127.0.0.1");
    json hello = {{"v", 1}, {"id", "hello"}, {"do", "hello"}, {"token", token}};
    hello.update(more);
    node->session_manager()->OnText(id, hello.dump());
    return id;
  }
  void Say(SessionManager::ConnectionId id, const std::string& request, json command) {
    command["v"] = 1;
    command["id"] = request;
    node->session_manager()->OnText(id, command.dump());
  }
  CallId Place(SessionManager::ConnectionId id, Line* line, const std::string& request) {
    Say(id, request, {{"do", "place"}, {"called", "110010007"}, {"patience_ms", 3000}});
    runtime.RunFor(kMs);
    for (auto m = line->heard.rbegin(); m != line->heard.rend(); ++m) {
      if (m->value("id", "") == request && m->value("ok", false)) return m->at("call").get<CallId>();
    }
    return 0;
  }
};

TEST_F(ApiOverAnEdge, ACallGoesTheSameWayAsALinesAndEndsOnce) {
  Line line;
  const auto id = Open(&line, Token());
  const CallId call = Place(id, &line, "r1");
  ASSERT_NE(call, 0U);
  ASSERT_EQ(SetUps(), 1U);
  EXPECT_EQ(gateway.Last(mgcp::Verb::kCrcx, "ds/")->Get("S"), "MS/sup(addr(110010007),id(crew-7))");
  OnCircuit(LastSeized(), "MS/ans");
  ASSERT_EQ(line.Count("final"), 1U);
  EXPECT_EQ(line.Last().at("answer"), "stands");
  Say(id, "r2", {{"do", "hang-up"}, {"call", call}});
  runtime.RunFor(10 * kMs);
  EXPECT_EQ(node->core().open_calls(), 0U);
  EXPECT_EQ(Idle(1), 2U);
  Say(id, "r3", {{"do", "hang-up"}, {"call", call}});
  EXPECT_EQ(line.Last().at("error").at("code"), "no-call");
  EXPECT_EQ(line.Count("final"), 1U);
}

TEST_F(ApiOverAnEdge, ARepeatedCommandIsAnsweredAlikeAndCarriedOutOnce) {
  Line line;
  const auto id = Open(&line, Token());
  const CallId call = Place(id, &line, "r1");
  EXPECT_EQ(Place(id, &line, "r1"), call);
  EXPECT_EQ(SetUps(), 1U);
  EXPECT_EQ(node->session_manager()->counters().repeated, 1U);
}

TEST_F(ApiOverAnEdge, AFinalAnswerReachedWhileAwayIsToldOnceOnResume) {
  Line line;
  const auto id = Open(&line, Token());
  const std::string session = line.heard.at(0).at("session");
  ASSERT_NE(Place(id, &line, "r1"), 0U);
  node->session_manager()->OnClosed(id);
  OnCircuit(LastSeized(), "MS/ans");
  EXPECT_EQ(line.Count("final"), 0U);
  Line back;
  const auto again = Open(&back, Token(), {{"session", session}, {"have", 0}});
  EXPECT_EQ(back.Count("final"), 1U);
  const std::uint64_t seen = back.Last().at("seq");
  node->session_manager()->OnClosed(again);
  Line third;
  Open(&third, Token(), {{"session", session}, {"have", seen}});
  EXPECT_EQ(third.Count("final"), 0U);  // confirmed
  EXPECT_EQ(node->core().open_calls(), 1U);
  // Another client cannot take it over, nor can it once it has ended.
  Line thief;
  Open(&thief, Token(2'000'000'000, "crew-8"), {{"session", session}});
  EXPECT_EQ(thief.Last().at("error").at("code"), "no-session");
}

TEST_F(ApiOverAnEdge, ASessionThatNobodyResumesEndsAndItsCallsAreHungUp) {
  Line line;
  const auto id = Open(&line, Token());
  Place(id, &line, "r1");
  OnCircuit(LastSeized(), "MS/ans");
  node->session_manager()->OnClosed(id);
  runtime.RunFor(29'000 * kMs);
  EXPECT_EQ(node->core().open_calls(), 1U);
  runtime.RunFor(3'000 * kMs);
  EXPECT_EQ(node->core().open_calls(), 0U);
  EXPECT_EQ(node->session_manager()->sessions(), 0U);
}

TEST_F(ApiOverAnEdge, ASlowReaderIsClosedAndLosesNoAnswer) {
  Line line;
  const auto id = Open(&line, Token());
  const std::string session = line.heard.at(0).at("session");
  Place(id, &line, "r1");
  line.queued = 1U << 20U;
  OnCircuit(LastSeized(), "MS/ans");
  EXPECT_EQ(line.closed, 1013);
  node->session_manager()->OnClosed(id);
  Line back;
  Open(&back, Token(), {{"session", session}, {"have", 0}});
  EXPECT_EQ(back.Count("final"), 1U);
}

TEST_F(ApiOverAnEdge, ATokenThatExpiresInMidCallLetsTheCallGoOnAndNoNewOneBegin) {
  Line line;
  const auto id = Open(&line, Token(1'900'000'010));
  const CallId call = Place(id, &line, "r1");
  OnCircuit(LastSeized(), "MS/ans");
  runtime.SetWall(1'900'000'020'000'000);
  EXPECT_EQ(Place(id, &line, "r2"), 0U);
  EXPECT_EQ(line.Last().at("error").at("code"), "token-expired");
  EXPECT_EQ(node->core().open_calls(), 1U);
  Say(id, "again", {{"do", "hello"}, {"token", Token(1'900'000'100)}});
  EXPECT_NE(Place(id, &line, "r3"), 0U);
  Say(id, "r4", {{"do", "hang-up"}, {"call", call}});
  EXPECT_TRUE(line.Last().at("ok"));
  Line old;
  Open(&old, Token(1'900'000'010));
  EXPECT_EQ(old.closed, 1008);
}

TEST_F(ApiOverAnEdge, LimitsHoldAndAreSaid) {
  Line line;
  const auto id = Open(&line, Token());
  EXPECT_NE(Place(id, &line, "a"), 0U);
  EXPECT_NE(Place(id, &line, "b"), 0U);
  EXPECT_EQ(Place(id, &line, "c"), 0U);
  EXPECT_EQ(line.Last().at("error").at("code"), "too-many-calls");
  for (int i = 0; i < 20; ++i) Say(id, "l" + std::to_string(i), {{"do", "list"}, {"what", "groups"}});
  EXPECT_EQ(line.Last().at("error").at("code"), "too-many-commands");
  Say(id, "x", {{"do", "place"}, {"called", "999"}});
  Line silent;
  node->session_manager()->OnOpened(&silent, "127.0.0.1");
  runtime.RunFor(6'000 * kMs);
  EXPECT_EQ(silent.closed, 1008);
  Line rude;
  const auto rude_id = node->session_manager()->OnOpened(&rude, "127.0.0.1");
  Say(rude_id, "p", {{"do", "place"}, {"called", "110010007"}});
  EXPECT_EQ(rude.heard.at(0).at("error").at("code"), "hello-first");
  EXPECT_EQ(rude.closed, 1008);
}

TEST_F(ApiOverAnEdge, ARefusalThatComesAtOnceFollowsTheReplyThatNamesTheCall) {
  node->core().StopAcceptingCalls();
  Line line;
  const auto id = Open(&line, Token());
  const CallId call = Place(id, &line, "r1");
  ASSERT_NE(call, 0U);
  ASSERT_GE(line.heard.size(), 3U);
  EXPECT_EQ(line.heard[1].value("id", ""), "r1");
  EXPECT_EQ(line.heard[2].value("answer", ""), "refused");
  EXPECT_EQ(line.heard[2].at("call"), call);
}

// ---- the transport, on loopback ----

class Counting final : public CallService {
 public:
  bool Classify(core::CallRequest*, const std::string&, bool*, TimeUs*) override { return true; }
  CallId Take(const core::CallRequest&, core::CallOwner*, std::string_view) override { return ++calls; }
  void HangUp(CallId) override { ++hung_up; }
  json List(const std::string&) override { return json::array(); }
  CallId calls = 0;
  int hung_up = 0;
};

class OnLoopback : public testing::Test {
 protected:
  using Socket = boost::beast::websocket::stream<boost::asio::ip::tcp::socket>;
  OnLoopback() {
    settings_.listen = {0x7f000001, 0};
    settings_.handshake_us = 300'000;
    settings_.idle_us = 1'000'000;
    settings_.most_connections = 8;
    desk_ = std::make_unique<SessionManager>(SessionManagerSettings{}, &runtime_, &calls_);
    server_ = std::make_unique<Server>(&runtime_.context(), settings_, desk_.get());
    thread_ = std::thread([this] { runtime_.Run(); });
  }
  ~OnLoopback() override {
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
  std::size_t OpenNow() {
    std::promise<std::size_t> open;
    boost::asio::post(runtime_.context(), [&] { open.set_value(server_->open()); });
    return open.get_future().get();
  }
  std::unique_ptr<Socket> Connect() {
    auto socket = std::make_unique<Socket>(clients_);
    const boost::asio::ip::tcp::endpoint to(boost::asio::ip::make_address_v4("127.0.0.1"), Port());
    socket->next_layer().connect(to);
    socket->handshake("127.0.0.1", "/");
    return socket;
  }
  static json Ask(Socket& socket, const json& command) {
    socket.write(boost::asio::buffer(command.dump()));
    boost::beast::flat_buffer buffer;
    socket.read(buffer);
    return json::parse(boost::beast::buffers_to_string(buffer.data()));
  }

  runtime::AsioRuntime runtime_;
  Counting calls_;
  ServerSettings settings_;
  std::unique_ptr<SessionManager> desk_;
  std::unique_ptr<Server> server_;
  std::thread thread_;
  boost::asio::io_context clients_;
};

TEST_F(OnLoopback, ASessionFromHelloToHangUp) {
  auto socket = Connect();
  EXPECT_TRUE(Ask(*socket, {{"v", 1}, {"id", "1"}, {"do", "hello"}}).at("ok"));
  const json placed = Ask(*socket, {{"v", 1}, {"id", "2"}, {"do", "place"}, {"called", "123"}});
  EXPECT_EQ(placed.at("call"), 1);
  EXPECT_TRUE(Ask(*socket, {{"v", 1}, {"id", "3"}, {"do", "hang-up"}, {"call", 1}}).at("ok"));
}

TEST_F(OnLoopback, HalfAFrameASilentPeerAndTooManyEndBoundedAndHurtNobody) {
  auto good = Connect();
  EXPECT_TRUE(Ask(*good, {{"v", 1}, {"id", "1"}, {"do", "hello"}}).at("ok"));
  const boost::asio::ip::tcp::endpoint to(boost::asio::ip::make_address_v4("127.0.0.1"), Port());
  boost::asio::ip::tcp::socket silent(clients_);  // never says a word
  silent.connect(to);
  auto half = Connect();
  const unsigned char begun[] = {0x81, 0xfe, 0x10};  // the start of a masked frame of 4 KiB
  boost::asio::write(half->next_layer(), boost::asio::buffer(begun));
  std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> many;
  for (int i = 0; i < 20; ++i) {
    many.push_back(std::make_unique<boost::asio::ip::tcp::socket>(clients_));
    boost::system::error_code ignored;
    many.back()->connect(to, ignored);
  }
  EXPECT_TRUE(Ask(*good, {{"v", 1}, {"id", "2"}, {"do", "list"}, {"what", "groups"}}).at("ok"));
  EXPECT_LE(OpenNow(), 8U);
  // Until the bad ones are gone; the good one goes on answering pings as it reads.
  for (int i = 0; i < 200 && OpenNow() > 1; ++i) {
    EXPECT_TRUE(Ask(*good, {{"v", 1}, {"id", "w" + std::to_string(i)}, {"do", "ack"}, {"have", 0}}).contains("ok"));
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
  }
  EXPECT_EQ(OpenNow(), 1U);
}

TEST_F(OnLoopback, AMessageBeyondTheLimitEndsTheConnection) {
  auto socket = Connect();
  boost::system::error_code error;
  socket->write(boost::asio::buffer(std::string(100'000, 'x')), error);
  boost::beast::flat_buffer buffer;
  socket->read(buffer, error);
  EXPECT_TRUE(error);
}

}  // namespace
}  // namespace croftrun::ws
