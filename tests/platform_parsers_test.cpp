// Tests the parsers of the platform protocol: lines, messages, settings and server-sent events.
#include <gtest/gtest.h>

#include "platform/bounded_json.h"
#include "platform/event_reader.h"
#include "platform_fixture.h"

namespace croftrun::platform {
namespace {

constexpr std::size_t kMaxEventOctets = 1 << 20;

TEST(LineReaderTest, RejectsEndlessLineAtLimit) {
  LineReader reader;
  const std::string part(1000, 'x');
  std::size_t chunks = 0;
  bool wants_more = true;
  for (int i = 0; i < 100 && wants_more; ++i) {
    wants_more = reader.Feed(part, [](std::string_view) { return true; });
    ++chunks;
  }
  EXPECT_FALSE(wants_more);
  EXPECT_TRUE(reader.too_long());
  EXPECT_LE(chunks * part.size(), kMaxLineOctets + part.size());
}

TEST(LineReaderTest, SplitsLinesRegardlessOfChunking) {
  const std::string text = "{\"t\":\"hb\"}\n\n{\"t\":\"ack\"}\nrest";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    LineReader reader;
    std::vector<std::string> lines;
    const auto on_line = [&lines](std::string_view line) {
      lines.emplace_back(line);
      return true;
    };
    EXPECT_TRUE(reader.Feed(text.substr(0, cut), on_line));
    EXPECT_TRUE(reader.Feed(text.substr(cut), on_line));
    EXPECT_EQ(lines, (std::vector<std::string>{"{\"t\":\"hb\"}", "", "{\"t\":\"ack\"}"}));
    EXPECT_TRUE(reader.has_partial_line());
  }
}

TEST(CodecTest, PreservesIdsAndDescriptions) {
  const std::string description = "v=0\r\nc=IN IP4 10.4.7.9\r\n\t\"quoted\\ \xC3\xA9\x01";
  const Message sent{.type = MessageType::kSetUp,
                     .id = "9B1f03aa5c7e2d41",
                     .fields = {{"class", "voice"}},
                     .cause = {},
                     .description = description};
  const std::string line = WriteMessage(sent);
  ASSERT_FALSE(line.empty());
  const auto read = ParseMessage(std::string_view(line).substr(0, line.size() - 1));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->id, sent.id);
  EXPECT_EQ(read->description, description);
}

TEST(CodecTest, RejectsMalformedMessages) {
  for (const std::string line :
       {"", "x", "[]", "{}", "{\"t\":7}", "{\"t\":\"new\",\"ref\":7}", "{\"t\":\"new\",\"ref\":\"12\"}",
        "{\"t\":\"new\",\"ref\":\"9b1f03aa5c7e2d4g\"}", "{\"t\":\"new\",\"f\":[]}",
        "{\"t\":\"new\",\"f\":{\"left\":{}}}", "{\"t\":\"down\",\"c\":\"16\"}", "{\"t\":\"down\",\"c\":NaN}",
        "{\"t\":\"down\",\"c\":-1}", "{\"t\":\"down\",\"c\":1e999}", "{\"t\":\"new\",\"d\":7}", "{\"t\":\"new\"",
        "{\"t\":\"new\"}{\"t\":\"new\"}", "\xff\xfe", "{\"t\":\"\xff\"}"}) {
    EXPECT_FALSE(ParseMessage(line)) << line;
  }
  const auto numbers = ParseMessage("{\"t\":\"new\",\"f\":{\"left\":1500,\"x\":\"y\"}}");
  ASSERT_TRUE(numbers);
  EXPECT_EQ(*numbers->Field("left"), "1500");
}

TEST(CodecTest, RejectsExtrasOutOfRange) {
  const auto extras = ParseExtras("dest:2;width:1;via:-1;transit:1;at:s-00c41f7a;new:x");
  ASSERT_TRUE(extras);
  EXPECT_EQ(extras->destination, 2);
  EXPECT_EQ(extras->at, "s-00c41f7a");
  EXPECT_TRUE(extras->transit);
  for (const std::string text :
       {"dest:nan", "dest:-2", "dest:1e99", "width:0", "width:99999999", "via:x", "dest:2x", "dest:"})
    EXPECT_FALSE(ParseExtras(text)) << text;
}

TEST(NodeConfigTest, ReportsAllErrorsWithPathAndValues) {
  json bad = ConfigJson();
  bad["listen"] = "nowhere";
  bad["board"] = 7;
  bad["limits"]["sockets"] = -4;
  bad["known"]["notices"][0]["pool"]["targets"][1]["state"] = "Odd";
  std::vector<config::SettingsError> mistakes;
  ParseNodeConfig(bad.dump(), "", "", &mistakes);
  ASSERT_EQ(mistakes.size(), 4U) << config::ToString(mistakes);
  EXPECT_EQ(mistakes[0].path, "/listen");
  EXPECT_NE(mistakes[0].text.find("nowhere"), std::string::npos);
  EXPECT_EQ(mistakes[3].path, "/known/notices/0");
  mistakes.clear();
  ParseNodeConfig(ConfigJson().dump().substr(0, 300), "", "", &mistakes);
  EXPECT_EQ(mistakes.size(), 1U);
}

TEST(NodeConfigTest, ParsesNestedSettingsLikeBenchSettings) {
  std::vector<config::SettingsError> mistakes;
  const NodeConfig config = ParseNodeConfig(ConfigJson().dump(), "", "", &mistakes);
  EXPECT_EQ(config.module.own_number, 0);
  EXPECT_EQ(config.module.resend_guard_us, 300'000U);
  ASSERT_EQ(config.module.classes.size(), 1U);
  EXPECT_EQ(config.module.classes[0].target_delay_us, 1'500'000U);
  EXPECT_EQ(config.module.classes[0].holding_us, 10'000'000U);
  EXPECT_EQ(config.module.report_fields,
            (std::vector<ReportField>{ReportField::kFreeCircuits, ReportField::kTotalCircuits}));
  EXPECT_EQ(config.zones, (std::vector<std::string>{"west", "east"}));
}

TEST(EventReaderTest, ParsesEventsRegardlessOfChunking) {
  const std::string plain =
      "HTTP/1.1 200 OK\r\n\r\n: hello\n\nid: 4\ndata: a\ndata: b\n\nid: 5\r\ndata: c\r\n\r\nid: 6\ndata: cut";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nid: 4\ndata: a\ndata\r\n1c\r\n: b\n\nid: 5\ndata: "
      "c\n\nid: 6\nda\r\n";
  for (const std::string& text : {plain, chunked}) {
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
      EventReader reader(kMaxEventOctets);
      std::string events;
      const auto on_event = [&events](std::string_view id, std::string_view data) {
        events += std::string(id) + "=" + std::string(data) + ";";
      };
      EXPECT_TRUE(reader.Feed(text.substr(0, cut), on_event)) << cut;
      EXPECT_TRUE(reader.Feed(text.substr(cut), on_event)) << cut;
      EXPECT_EQ(events, "4=a\nb;5=c;") << cut;
    }
  }
}

// Guards against an event whose lines together take more memory than the limit for one of them.
TEST(EventReaderTest, LimitsTheOctetsOfAllLinesOfAnEvent) {
  constexpr std::size_t kLimit = 10'000;
  EventReader reader(kLimit);
  const auto on_event = [](std::string_view, std::string_view) {};
  const std::string part(kLimit / 2 - 100, 'x');
  EXPECT_TRUE(reader.Feed("HTTP/1.1 200 OK\r\n\r\ndata: " + part + "\n", on_event));
  EXPECT_TRUE(reader.Feed("data: " + part, on_event));
  EXPECT_FALSE(reader.Feed(std::string(300, 'y'), on_event));
}

// Guards against text that takes many times its size in memory once it is parsed.
TEST(BoundedJsonTest, RejectsTooManyValuesAndTooDeepNesting) {
  constexpr JsonLimits kLimits{.max_values = 4, .max_depth = 2};
  EXPECT_EQ(ParseBoundedJson(R"({"a":[1,2]})", kLimits), json::parse(R"({"a":[1,2]})"));
  for (const std::string& text : {std::string(R"({"a":[1,2,3]})"), std::string("[[[1]]]"), std::string(100'000, '['),
                                  "[" + std::string(50'000, '0') + "]", std::string("[1,"), std::string()}) {
    EXPECT_FALSE(ParseBoundedJson(text, kLimits)) << text.substr(0, 20);
  }
}

// Guards against time that grows with the square of the number of values.
TEST(BoundedJsonTest, ParsesManyObjects) {
  constexpr std::size_t kObjects = 200'000;
  std::string text = "[{}";
  for (std::size_t i = 1; i < kObjects; ++i) text += ",{}";
  const auto parsed = ParseBoundedJson(text + "]", {.max_values = kObjects + 1, .max_depth = 1});
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->size(), kObjects);
}

TEST(BoundedJsonTest, AcceptsObjectsWithManyKeysWithinTheLimitOfValues) {
  EXPECT_TRUE(ParseBoundedJson(R"({"a":1,"b":2,"c":{}})", {.max_values = 4, .max_depth = 1}));
  EXPECT_FALSE(ParseBoundedJson(R"({"a":1,"b":2,"c":{}})", {.max_values = 3, .max_depth = 1}));
}

TEST(EventReaderTest, RejectsOtherStatusAndNonHttpData) {
  for (const std::string text : {"HTTP/1.1 503 Busy\r\n\r\n", "\x01\x02garbage\r\n\r\n"}) {
    EventReader reader(kMaxEventOctets);
    EXPECT_FALSE(reader.Feed(text, [](std::string_view, std::string_view) { ADD_FAILURE(); }));
  }
}

}  // namespace
}  // namespace croftrun::platform
