// Streams of the seam on real loopback sockets: what the virtual ones promise must hold there too.
#include <gtest/gtest.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "runtime/asio_runtime.h"

namespace croftrun::runtime {
namespace {

using core::Address;
using core::StreamEnd;

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr TimeUs kSecond = 1'000'000;

struct Sink final : core::StreamHandler {
  void OnOpen() override {
    open = true;
    if (on_open) on_open();
  }
  void OnBytes(std::string_view bytes) override {
    largest = std::max(largest, bytes.size());
    text.append(bytes);
    if (on_bytes) on_bytes();
  }
  void OnEnd(StreamEnd e) override {
    end = e;
    if (on_end) on_end();
  }
  std::unique_ptr<core::Stream> stream;
  bool open = false;
  std::string text;
  std::size_t largest = 0;
  std::optional<StreamEnd> end;
  std::function<void()> on_open, on_bytes, on_end;
};

struct Acceptor final : core::StreamAcceptor {
  core::StreamHandler* OnAccept(std::unique_ptr<core::Stream> stream) override {
    sinks.push_back(std::make_unique<Sink>());
    sinks.back()->stream = std::move(stream);
    if (on_accept) on_accept(*sinks.back());
    return sinks.back().get();
  }
  std::list<std::unique_ptr<Sink>> sinks;
  std::function<void(Sink&)> on_accept;
};

class StreamsTest : public ::testing::Test {
 protected:
  // Runs until `done` is called by what happens; fails after ten seconds.
  void Run() {
    const auto net = runtime_.StartTimer(10 * kSecond, [this] {
      ADD_FAILURE() << "nothing happened";
      runtime_.Stop();
    });
    runtime_.Run();
    runtime_.CancelTimer(net);
  }
  void Listen() { listener_ = runtime_.Listen({kLoopback, 0}, &acceptor_); }
  void Connect() { client_.stream = runtime_.Connect(listener_->Local(), kSecond, &client_); }

  AsioRuntime runtime_;
  Acceptor acceptor_;
  Sink client_;
  std::unique_ptr<core::StreamListener> listener_;
};

TEST_F(StreamsTest, OctetsPassInOrderBothWaysAndWhatWasWrittenBeforeTheOpeningToo) {
  Listen();
  acceptor_.on_accept = [](Sink& sink) {
    sink.on_bytes = [&sink] { sink.stream->Write("heard " + std::exchange(sink.text, {})); };
  };
  client_.on_bytes = [this] { runtime_.Stop(); };
  Connect();
  client_.stream->Write("early");
  Run();
  EXPECT_TRUE(client_.open);
  EXPECT_EQ(client_.text, "heard early");
}

TEST_F(StreamsTest, WhereNothingListensTheConnectionIsRefused) {
  Listen();
  const Address address = listener_->Local();
  listener_.reset();
  client_.on_end = [this] { runtime_.Stop(); };
  client_.stream = runtime_.Connect(address, kSecond, &client_);
  EXPECT_FALSE(client_.end.has_value());  // never from within the call
  Run();
  EXPECT_EQ(client_.end, StreamEnd::kRefused);
  EXPECT_FALSE(client_.open);
}

TEST_F(StreamsTest, ACloseIsToldAsOneAndWhatCameBeforeItIsRead) {
  Listen();
  acceptor_.on_accept = [](Sink& sink) {
    sink.stream->Write("last words");
    sink.on_bytes = [] {};
  };
  client_.on_bytes = [this] { acceptor_.sinks.front()->stream.reset(); };
  client_.on_end = [this] { runtime_.Stop(); };
  Connect();
  Run();
  EXPECT_EQ(client_.text, "last words");
  EXPECT_EQ(client_.end, StreamEnd::kClosed);
}

// A close with octets unread would be a reset by itself, and could take an answer along that the far end has not read
// yet.
TEST_F(StreamsTest, ACloseWithOctetsUnreadIsInOrderAtTheFarEndAndTheLastAnswerIsRead) {
  Listen();
  acceptor_.on_accept = [this](Sink& sink) {
    sink.stream->PauseReading(true);
    runtime_.StartTimer(50'000, [this, &sink] {
      EXPECT_TRUE(sink.stream->HasUnreadInput());
      sink.stream->Write("last answer");
      sink.stream.reset();
      // What it was told lies unread at the client while the close reaches it.
      runtime_.StartTimer(50'000, [this] { client_.stream->PauseReading(false); });
    });
  };
  client_.on_end = [this] { runtime_.Stop(); };
  client_.on_open = [this] {
    client_.stream->Write("unread");
    client_.stream->PauseReading(true);
  };
  Connect();
  Run();
  EXPECT_EQ(client_.text, "last answer");
  EXPECT_EQ(client_.end, StreamEnd::kClosed);
}

TEST_F(StreamsTest, WhatTheSocketDidNotTakeAtOnceStillGoesOutAfterTheClose) {
  Listen();
  constexpr std::size_t kMany = 16U << 20U;
  acceptor_.on_accept = [](Sink& sink) {
    sink.on_bytes = [&sink] {
      sink.stream->Write(std::string(kMany, 'x'));
      EXPECT_GT(sink.stream->PendingWriteOctets(), 0U);
      sink.stream.reset();
    };
  };
  client_.on_open = [this] { client_.stream->Write("all of it"); };
  client_.on_end = [this] { runtime_.Stop(); };
  Connect();
  Run();
  EXPECT_EQ(client_.text.size(), kMany);
  EXPECT_EQ(client_.end, StreamEnd::kClosed);
}

TEST_F(StreamsTest, WhoSendsWithoutEndIsNotReadForEverAfterTheClose) {
  Listen();
  acceptor_.on_accept = [](Sink& sink) { sink.on_bytes = [&sink] { sink.stream.reset(); }; };
  client_.on_open = [this] { client_.stream->Write(std::string(32U << 20U, 'x')); };
  client_.on_end = [this] { runtime_.Stop(); };
  Connect();
  Run();
  EXPECT_TRUE(client_.end.has_value());
}

TEST_F(StreamsTest, ManyClosesAtOnceHoldFewDescriptors) {
  Listen();
  std::list<Sink> clients;
  std::size_t ended = 0;
  for (int i = 0; i < 40; ++i) {
    Sink& client = clients.emplace_back();
    client.on_end = [&] {
      client.stream.reset();
      if (++ended == 40) runtime_.Stop();
    };
    client.stream = runtime_.Connect(listener_->Local(), kSecond, &client);
  }
  acceptor_.on_accept = [&](Sink&) {
    if (acceptor_.sinks.size() < 40) return;
    runtime_.StartTimer(0, [&] {
      for (const auto& sink : acceptor_.sinks) sink->stream.reset();
    });
  };
  Run();
  for (const Sink& client : clients) EXPECT_TRUE(client.end.has_value());
}

TEST_F(StreamsTest, TheEndOfTheFarSideIsSeenBehindWhatLiesUnread) {
  Listen();
  acceptor_.on_accept = [this](Sink& sink) {
    sink.stream->PauseReading(true);
    runtime_.StartTimer(20'000, [this, &sink] {
      EXPECT_TRUE(sink.stream->HasUnreadInput());
      EXPECT_TRUE(sink.stream->PeerClosed());
      EXPECT_FALSE(sink.end.has_value());
      runtime_.Stop();
    });
  };
  client_.on_open = [this] {
    client_.stream->Write("last words");
    client_.stream.reset();
  };
  Connect();
  Run();
}

TEST_F(StreamsTest, AfterAStandstillWhatCameIsReadBeforeTimersThatFellDueMeanwhile) {
  Listen();
  std::string order;
  acceptor_.on_accept = [&](Sink& sink) {
    sink.on_bytes = [&] {
      order += 'r';
      if (order.size() == 2) runtime_.Stop();
    };
    runtime_.StartTimer(60'000, [&] {
      order += 't';
      if (order.size() == 2) runtime_.Stop();
    });
    runtime_.StartTimer(10'000, [this] {
      const TimeUs until = runtime_.Now() + 100'000;
      client_.stream->Write("before the timer");
      while (runtime_.Now() < until) {
      }
    });
  };
  Connect();
  Run();
  EXPECT_EQ(order, "rt");
}

TEST_F(StreamsTest, WhatThePeerDoesNotReadWaitsAndGoesOnWhenItDoes) {
  Listen();
  constexpr std::size_t kMany = 32U << 20U;
  std::size_t heard = 0;
  acceptor_.on_accept = [&](Sink& sink) {
    sink.stream->PauseReading(true);
    sink.on_bytes = [&] {
      heard += std::exchange(sink.text, {}).size();
      if (heard == kMany) runtime_.Stop();
    };
    runtime_.StartTimer(100'000, [&] {
      EXPECT_GT(client_.stream->PendingWriteOctets(), 0U);
      sink.stream->PauseReading(false);
    });
  };
  client_.on_open = [&] { client_.stream->Write(std::string(kMany, 'x')); };
  Connect();
  Run();
  EXPECT_EQ(heard, kMany);
  EXPECT_EQ(client_.stream->PendingWriteOctets(), 0U);
  EXPECT_LE(acceptor_.sinks.front()->largest, core::kMaxStreamRead);
}

TEST_F(StreamsTest, AStreamMayBeDestroyedFromWithinItsOwnCalls) {
  Listen();
  acceptor_.on_accept = [](Sink& sink) { sink.on_bytes = [&sink] { sink.stream.reset(); }; };
  client_.on_open = [this] { client_.stream->Write("x"); };
  client_.on_end = [this] {
    client_.stream.reset();
    runtime_.Stop();
  };
  Connect();
  Run();
  EXPECT_EQ(client_.end, StreamEnd::kClosed);
}

}  // namespace
}  // namespace croftrun::runtime
