// Streams of AsioRuntime on loopback sockets. The contract of core::Stream that the virtual streams fulfil must hold
// here as well.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "runtime/asio_runtime.h"

namespace croftrun::runtime {
namespace {

using core::Address;
using core::StreamEnd;

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr TimeUs kSecond = 1'000'000;

struct Handler final : core::StreamHandler {
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
    handlers.push_back(std::make_unique<Handler>());
    handlers.back()->stream = std::move(stream);
    if (on_accept) on_accept(*handlers.back());
    return handlers.back().get();
  }
  bool CanAccept() override { return can_accept; }
  bool can_accept = true;
  std::list<std::unique_ptr<Handler>> handlers;
  std::function<void(Handler&)> on_accept;
};

class StreamsTest : public ::testing::Test {
 protected:
  // Runs until the test calls runtime_.Stop; fails after ten seconds.
  void Run() {
    const auto timeout = runtime_.StartTimer(10 * kSecond, [this] {
      ADD_FAILURE() << "timed out after ten seconds";
      runtime_.Stop();
    });
    runtime_.Run();
    runtime_.CancelTimer(timeout);
  }
  void Listen() { listener_ = runtime_.Listen({kLoopback, 0}, &acceptor_); }
  void Connect() { client_.stream = runtime_.Connect(listener_->Local(), kSecond, &client_); }

  // Connects without the event loop; returns the socket, or -1 if the connection is refused.
  static int ConnectBlocking(const Address& to) {
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(to.host);
    address.sin_port = htons(to.port);
    if (::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) return connection;
    ::close(connection);
    return -1;
  }

  AsioRuntime runtime_;
  Acceptor acceptor_;
  Handler client_;
  std::unique_ptr<core::StreamListener> listener_;
};

TEST_F(StreamsTest, DeliversOctetsInOrderIncludingThoseWrittenBeforeOpen) {
  Listen();
  acceptor_.on_accept = [](Handler& handler) {
    handler.on_bytes = [&handler] { handler.stream->Write("heard " + std::exchange(handler.text, {})); };
  };
  client_.on_bytes = [this] { runtime_.Stop(); };
  Connect();
  client_.stream->Write("early");
  Run();
  EXPECT_TRUE(client_.open);
  EXPECT_EQ(client_.text, "heard early");
}

TEST_F(StreamsTest, ReportsRefusedWhenNothingListens) {
  Listen();
  const Address address = listener_->Local();
  listener_.reset();
  client_.on_end = [this] { runtime_.Stop(); };
  client_.stream = runtime_.Connect(address, kSecond, &client_);
  EXPECT_FALSE(client_.end.has_value());  // not reported from within Connect
  Run();
  EXPECT_EQ(client_.end, StreamEnd::kRefused);
  EXPECT_FALSE(client_.open);
}

// A connection in the listen queue has been accepted by the system, so that what it carries may not be lost.
TEST_F(StreamsTest, AcceptsListenQueueBeforeLaterConnectionsAreRefused) {
  Listen();
  const int queued = ConnectBlocking(listener_->Local());
  ASSERT_EQ(::send(queued, "taken", 5, 0), 5);
  EXPECT_TRUE(acceptor_.handlers.empty());
  EXPECT_TRUE(listener_->StopAccepting());
  ASSERT_EQ(acceptor_.handlers.size(), 1U);
  acceptor_.handlers.front()->on_bytes = [this] { runtime_.Stop(); };
  Run();
  EXPECT_EQ(acceptor_.handlers.front()->text, "taken");
  client_.on_end = [this] { runtime_.Stop(); };
  Connect();
  Run();
  EXPECT_EQ(client_.end, StreamEnd::kRefused);
  ::close(queued);
}

TEST_F(StreamsTest, KeepsListeningWhileAQueuedConnectionCannotBeAccepted) {
  Listen();
  const int queued = ConnectBlocking(listener_->Local());
  acceptor_.can_accept = false;
  EXPECT_FALSE(listener_->StopAccepting());
  EXPECT_TRUE(acceptor_.handlers.empty());
  const int later = ConnectBlocking(listener_->Local());
  EXPECT_GE(later, 0);
  acceptor_.can_accept = true;
  EXPECT_TRUE(listener_->StopAccepting());
  EXPECT_EQ(acceptor_.handlers.size(), 2U);
  ::close(queued);
  ::close(later);
}

TEST_F(StreamsTest, ReportsCloseAfterDeliveringReceivedOctets) {
  Listen();
  acceptor_.on_accept = [](Handler& handler) {
    handler.stream->Write("last words");
    handler.on_bytes = [] {};
  };
  client_.on_bytes = [this] { acceptor_.handlers.front()->stream.reset(); };
  client_.on_end = [this] { runtime_.Stop(); };
  Connect();
  Run();
  EXPECT_EQ(client_.text, "last words");
  EXPECT_EQ(client_.end, StreamEnd::kClosed);
}

// Closing a socket with unread octets resets the connection, and the far end could lose an answer that it has not read
// yet.
TEST_F(StreamsTest, CloseWithUnreadInputDeliversLastAnswerWithoutReset) {
  Listen();
  acceptor_.on_accept = [this](Handler& handler) {
    handler.stream->PauseReading(true);
    runtime_.StartTimer(50'000, [this, &handler] {
      EXPECT_TRUE(handler.stream->HasUnreadInput());
      handler.stream->Write("last answer");
      handler.stream.reset();
      // The answer is still unread at the client when the close arrives.
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

TEST_F(StreamsTest, SendsWriteBufferAfterClose) {
  Listen();
  constexpr std::size_t kOctets = 16U << 20U;
  acceptor_.on_accept = [](Handler& handler) {
    handler.on_bytes = [&handler] {
      handler.stream->Write(std::string(kOctets, 'x'));
      EXPECT_GT(handler.stream->PendingWriteOctets(), 0U);
      handler.stream.reset();
    };
  };
  client_.on_open = [this] { client_.stream->Write("all of it"); };
  client_.on_end = [this] { runtime_.Stop(); };
  Connect();
  Run();
  EXPECT_EQ(client_.text.size(), kOctets);
  EXPECT_EQ(client_.end, StreamEnd::kClosed);
}

TEST_F(StreamsTest, StopsReadingFromEndlessSenderAfterClose) {
  Listen();
  acceptor_.on_accept = [](Handler& handler) { handler.on_bytes = [&handler] { handler.stream.reset(); }; };
  client_.on_open = [this] { client_.stream->Write(std::string(32U << 20U, 'x')); };
  client_.on_end = [this] { runtime_.Stop(); };
  Connect();
  Run();
  EXPECT_TRUE(client_.end.has_value());
}

TEST_F(StreamsTest, LimitsLingeringConnections) {
  Listen();
  std::list<Handler> clients;
  std::size_t ended = 0;
  for (int i = 0; i < 40; ++i) {
    Handler& client = clients.emplace_back();
    client.on_end = [&] {
      client.stream.reset();
      if (++ended == 40) runtime_.Stop();
    };
    client.stream = runtime_.Connect(listener_->Local(), kSecond, &client);
  }
  acceptor_.on_accept = [&](Handler&) {
    if (acceptor_.handlers.size() < 40) return;
    runtime_.StartTimer(0, [&] {
      for (const auto& handler : acceptor_.handlers) handler->stream.reset();
    });
  };
  Run();
  for (const Handler& client : clients) EXPECT_TRUE(client.end.has_value());
}

// Guards against a reset that is taken for an orderly close because a write has consumed its error.
TEST_F(StreamsTest, ReportsResetThatWasNoticedByAWrite) {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(kLoopback);
  socklen_t size = sizeof(address);
  ASSERT_EQ(::bind(listener, reinterpret_cast<const sockaddr*>(&address), size), 0);
  ASSERT_EQ(::listen(listener, 1), 0);
  ASSERT_EQ(::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size), 0);
  client_.on_open = [&] {
    const int accepted = ::accept(listener, nullptr, nullptr);
    EXPECT_EQ(::send(accepted, "x", 1, 0), 1);
    const linger reset{1, 0};
    EXPECT_EQ(::setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)), 0);
    ::close(accepted);
    while (!client_.stream->PeerClosed()) std::this_thread::yield();
    client_.stream->Write("y");
  };
  client_.on_end = [this] { runtime_.Stop(); };
  client_.stream = runtime_.Connect({kLoopback, ntohs(address.sin_port)}, kSecond, &client_);
  Run();
  ::close(listener);
  EXPECT_EQ(client_.text, "x");
  EXPECT_EQ(client_.end, StreamEnd::kReset);
}

TEST_F(StreamsTest, DetectsPeerCloseBehindUnreadInput) {
  Listen();
  acceptor_.on_accept = [this](Handler& handler) {
    handler.stream->PauseReading(true);
    runtime_.StartTimer(20'000, [this, &handler] {
      EXPECT_TRUE(handler.stream->HasUnreadInput());
      EXPECT_TRUE(handler.stream->PeerClosed());
      EXPECT_FALSE(handler.end.has_value());
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

TEST_F(StreamsTest, ReadsInputBeforeExpiredTimersAfterStall) {
  Listen();
  std::string order;
  acceptor_.on_accept = [&](Handler& handler) {
    handler.on_bytes = [&] {
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

TEST_F(StreamsTest, KeepsWriteBufferUntilPeerReads) {
  Listen();
  constexpr std::size_t kOctets = 32U << 20U;
  std::size_t received = 0;
  acceptor_.on_accept = [&](Handler& handler) {
    handler.stream->PauseReading(true);
    handler.on_bytes = [&] {
      received += std::exchange(handler.text, {}).size();
      if (received == kOctets) runtime_.Stop();
    };
    runtime_.StartTimer(100'000, [&] {
      EXPECT_GT(client_.stream->PendingWriteOctets(), 0U);
      handler.stream->PauseReading(false);
    });
  };
  client_.on_open = [&] { client_.stream->Write(std::string(kOctets, 'x')); };
  Connect();
  Run();
  EXPECT_EQ(received, kOctets);
  EXPECT_EQ(client_.stream->PendingWriteOctets(), 0U);
  EXPECT_LE(acceptor_.handlers.front()->largest, core::kMaxStreamRead);
}

TEST_F(StreamsTest, AllowsDestructionFromWithinHandler) {
  Listen();
  acceptor_.on_accept = [](Handler& handler) { handler.on_bytes = [&handler] { handler.stream.reset(); }; };
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
