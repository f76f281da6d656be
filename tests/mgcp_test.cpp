#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>

#include "mgcp/message.h"

namespace croftrun::mgcp {
namespace {

// Parses a datagram that must hold exactly one valid message.
Message ParseOne(std::string_view text) {
  const auto parsed = ParseDatagram(text);
  EXPECT_EQ(parsed.size(), 1U) << text;
  if (parsed.size() != 1 || !std::holds_alternative<Message>(parsed[0])) {
    ADD_FAILURE() << "not a message: " << text;
    return {};
  }
  return std::get<Message>(parsed[0]);
}

// Parses a datagram that must hold exactly one malformed message.
ParseError ParseInvalid(std::string_view text) {
  const auto parsed = ParseDatagram(text);
  if (parsed.size() != 1 || !std::holds_alternative<ParseError>(parsed[0])) {
    ADD_FAILURE() << "expected an error: " << text;
    return {};
  }
  return std::get<ParseError>(parsed[0]);
}

TEST(MgcpMessage, ParsesCommandWithParametersAndSession) {
  const Message m = ParseOne(
      "CRCX 1204 ds/3/7@gw.example MGCP 1.0\r\nC: A3C47F\r\nm: recvonly\r\nX-Class: slot-hold\r\n\r\nv=0\r\no=- 1 "
      "1\r\n");
  EXPECT_EQ(m.verb, Verb::kCrcx);
  EXPECT_EQ(m.transaction, 1204U);
  EXPECT_EQ(m.endpoint.local, "ds/3/7");
  EXPECT_EQ(m.endpoint.domain, "gw.example");
  EXPECT_EQ(m.Get("M"), "recvonly");  // parameter names are case-insensitive
  EXPECT_EQ(m.Get("x-class"), "slot-hold");
  EXPECT_EQ(m.session, "v=0\r\no=- 1 1\r\n");
  EXPECT_EQ(m.Find("Q"), nullptr);
}

TEST(MgcpMessage, ParsesResponseWithBareLineFeeds) {
  const Message m = ParseOne("250 1204 Connection deleted\nP: PS=10\n");
  EXPECT_FALSE(m.is_command);
  EXPECT_EQ(m.code, 250);
  EXPECT_EQ(m.comment, "Connection deleted");
  EXPECT_EQ(m.Get("P"), "PS=10");
}

TEST(MgcpMessage, ParsesPiggybackedMessagesIndependently) {
  const auto parsed =
      ParseDatagram("200 5\r\n.\r\nRQNT x aaln/1@gw MGCP 1.0\r\n.\r\nNTFY 7 aaln/1@gw MGCP 1.0\r\nO: L/hu\r\n");
  ASSERT_EQ(parsed.size(), 3U);
  EXPECT_EQ(std::get<Message>(parsed[0]).code, 200);
  EXPECT_TRUE(std::holds_alternative<ParseError>(parsed[1]));  // the other messages are not affected
  EXPECT_EQ(std::get<Message>(parsed[2]).Get("O"), "L/hu");
}

TEST(MgcpMessage, ParseErrorGivesOffsetReasonAndTransactionId) {
  const ParseError version = ParseInvalid("RQNT 12 aaln/1@gw MGCP 0.1\r\n");
  EXPECT_EQ(version.code, kUnsupportedVersion);
  EXPECT_EQ(version.transaction, 12U);
  EXPECT_EQ(version.Text(), "byte 23: expected version 1.0, found '0.1'");
  EXPECT_EQ(ParseInvalid("RQNT 12 nowhere MGCP 1.0\r\n").code, kUnknownEndpoint);
  EXPECT_FALSE(ParseInvalid("RQNT 0 aaln/1@gw MGCP 1.0\r\n").transaction.has_value());
  EXPECT_FALSE(ParseInvalid("RQNT 1000000000 aaln/1@gw MGCP 1.0\r\n").transaction.has_value());
  EXPECT_FALSE(ParseInvalid("\x01\x02").transaction.has_value());
  EXPECT_EQ(ParseInvalid("RQNT 12 aaln/1@gw MGCP 1.0\r\nno colon here\r\n").transaction, 12U);
  std::string many = "RQNT 12 aaln/1@gw MGCP 1.0\r\n";
  for (std::size_t i = 0; i <= kMaxParameters; ++i) many += "X-A: 1\r\n";
  EXPECT_EQ(ParseInvalid(many).transaction, 12U);
}

TEST(MgcpMessage, WildcardsMatchEndpointsTermByTerm) {
  EXPECT_TRUE(EndpointMatches("aaln/*", "aaln/17"));
  EXPECT_TRUE(EndpointMatches("ds/*", "ds/3/7"));
  EXPECT_TRUE(EndpointMatches("ds/*/7", "ds/3/7"));
  EXPECT_TRUE(EndpointMatches("*", "ds/3/7"));
  EXPECT_FALSE(EndpointMatches("ds/*/7", "ds/3/8"));
  EXPECT_FALSE(EndpointMatches("ds/3", "ds/3/7"));
  EXPECT_TRUE(EndpointMatches("AALN/1", "aaln/1"));
}

TEST(MgcpEvents, SplitsNestedRequestsAtTopLevelOnly) {
  const auto events =
      ParseEventList("L/hd(E(R(D/[0-9*#](D),L/hu(N)),D((xx|9T)),S(L/dl))), MS/sup@1A(addr(12),id(7)) , hu");
  ASSERT_TRUE(events);
  ASSERT_EQ(events->size(), 3U);
  EXPECT_EQ((*events)[0].name, "hd");
  EXPECT_EQ(Argument(Argument((*events)[0].parameters, "E"), "D"), "(xx|9T)");
  EXPECT_EQ((*events)[1].package, "MS");
  EXPECT_EQ((*events)[1].connection, "1A");
  EXPECT_EQ(Argument((*events)[1].parameters, "id"), "7");
  EXPECT_EQ((*events)[2].package, "");
  EXPECT_FALSE(ParseEventList("L/hd(N"));
  EXPECT_FALSE(ParseEventList("L/hd)N("));
  EXPECT_FALSE(ParseEventList("a(b(c(d(e(f)))))"));  // nested deeper than the limit
}

TEST(DigitMap, MatchesDigitsAsTheyArrive) {
  const auto map = DigitMap::Parse("(0T|00T|[1-7]xxx|8xxxxxxx|#xxxxxxx|*xx|91x.T)");
  ASSERT_TRUE(map);
  using enum DigitMap::Match;
  EXPECT_EQ(map->Check("1"), kPartial);
  EXPECT_EQ(map->Check("123"), kPartial);
  EXPECT_EQ(map->Check("1234"), kComplete);
  EXPECT_EQ(map->Check("12345"), kNo);
  EXPECT_EQ(map->Check("0"), kPartial);
  EXPECT_EQ(map->Check("0", true), kComplete);
  EXPECT_EQ(map->Check("00", true), kComplete);
  EXPECT_EQ(map->Check("91"), kPartial);
  EXPECT_EQ(map->Check("9155512", true), kComplete);
  EXPECT_EQ(map->Check("*69"), kComplete);
  EXPECT_EQ(map->Check("1234", true), kComplete);  // complete before the timer expired
  for (const char* wrong : {"", "(", "x|", "[9-1]", "[", ".x", "(1|2", "q"})
    EXPECT_FALSE(DigitMap::Parse(wrong)) << wrong;
}

// ---- properties ----

std::string Token(std::size_t max_size) {
  const auto size = *rc::gen::inRange<std::size_t>(1, max_size + 1);
  return *rc::gen::container<std::string>(size, rc::gen::elementOf(std::string("abcXYZ019-")));
}

TEST(MgcpProperties, WrittenMessageParsesBackUnchanged) {
  rc::check([] {
    std::string text;
    Writer writer(&text);
    const auto transaction = *rc::gen::inRange<std::uint32_t>(1, kMaxTransactionId + 1);
    const bool command = *rc::gen::arbitrary<bool>();
    const auto verb = static_cast<Verb>(*rc::gen::inRange(0, 9));
    const std::string local = Token(8) + "/" + Token(8), domain = Token(12);
    const int code = *rc::gen::inRange(0, 1000);
    if (command) {
      writer.Command(verb, transaction, local + "@" + domain);
    } else {
      writer.Response(code, transaction);
    }
    std::vector<std::pair<std::string, std::string>> lines;
    const auto count = *rc::gen::inRange<std::size_t>(0, 8);
    for (std::size_t i = 0; i < count; ++i) {
      lines.emplace_back("X-" + Token(6), Token(20));
      writer.Line(lines.back().first, lines.back().second);
    }
    const bool session = *rc::gen::arbitrary<bool>();
    if (session) writer.Session("v=0\r\n");
    const auto parsed = ParseDatagram(text);
    RC_ASSERT(parsed.size() == 1);
    const Message& m = std::get<Message>(parsed[0]);
    RC_ASSERT(m.is_command == command);
    RC_ASSERT(m.transaction == transaction);
    if (command) {
      RC_ASSERT(m.verb == verb && m.endpoint.local == local && m.endpoint.domain == domain);
    } else {
      RC_ASSERT(m.code == code);
    }
    RC_ASSERT(m.parameters.size() == lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i)
      RC_ASSERT(m.parameters[i].name == lines[i].first && m.parameters[i].value == lines[i].second);
    RC_ASSERT(m.session == (session ? "v=0\r\n" : ""));
    std::string again;
    Write(m, &again);
    RC_ASSERT(again == text);
  });
}

TEST(MgcpProperties, ParserHandlesArbitraryOctets) {
  const std::string seed =
      "CRCX 1204 ds/3/7@gw MGCP 1.0\r\nC: A3\r\nR: L/hd(E(R(D/[0-9](D)),D((x.T))))\r\n\r\nv=0\r\n.\r\n200 7 OK\r\n";
  std::mt19937 random(4);
  for (int round = 0; round < 20'000; ++round) {
    std::string text = seed;
    for (int edits = static_cast<int>(random() % 6); edits >= 0; --edits) {
      const std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, random() % 8);
          break;
        case 2:
          text.insert(at, text.substr(random() % text.size(), random() % 30));
          break;
        default:
          text.resize(at + 1);
      }
      if (text.empty()) text = ".";
    }
    for (const ParsedMessage& parsed : ParseDatagram(text)) {
      if (const auto* error = std::get_if<ParseError>(&parsed)) {
        EXPECT_LE(error->offset, text.size());
        EXPECT_FALSE(error->Text().empty());
      } else {
        const auto& m = std::get<Message>(parsed);
        ParseEventList(m.Get("R"));
        DigitMap::Parse(m.Get("D"));
      }
    }
  }
}

}  // namespace
}  // namespace croftrun::mgcp
