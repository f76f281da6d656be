// Stand-ins for the peers of a softswitch on the platform: exchanges, callers and the discovery service. They speak the
// protocol on any runtime, behave as a test requests, including malformed lines and broken connections, and record all
// received messages.
#ifndef CROFTRUN_LAB_PLATFORM_STAND_INS_H_
#define CROFTRUN_LAB_PLATFORM_STAND_INS_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/runtime.h"
#include "platform/line_codec.h"

namespace croftrun::lab {

// A connection of a stand-in, accepted or opened.
class PlatformConnection final : public core::StreamHandler {
 public:
  using OnLine = std::function<void(PlatformConnection&, const std::string& line)>;
  explicit PlatformConnection(OnLine on_line) : on_line_(std::move(on_line)) {}
  void OnOpen() override { open = true; }
  void OnBytes(std::string_view bytes) override;
  void OnEnd(core::StreamEnd e) override {
    open = false;
    end = e;
  }
  // Resets the connection, which both sides notice. Works only in virtual time and while the connection is open.
  void Reset();
  void Send(const platform::Message& message) { stream->Write(platform::WriteMessage(message)); }

  std::unique_ptr<core::Stream> stream;
  bool open = false;
  std::optional<core::StreamEnd> end;
  std::vector<platform::Message> received;

 private:
  OnLine on_line_;
  platform::LineReader reader_;
};

// Stand-in for an exchange that accepts connections from softswitches.
class PlatformExchange final : public core::StreamAcceptor {
 public:
  // Handles a set-up. By default, it is answered at once.
  using OnSetUp = std::function<void(PlatformConnection&, const platform::Message&)>;
  PlatformExchange(core::Runtime* runtime, const core::Address& address);
  core::StreamHandler* OnAccept(std::unique_ptr<core::Stream> stream) override;
  bool CanAccept() override { return is_accepting; }
  static void Answer(PlatformConnection& connection, const std::string& id, const std::string& description);
  static void Release(PlatformConnection& connection, const std::string& id, int cause, const std::string& note = "");
  // Stop simulates a crash of the process, Start its restart.
  void Stop();
  void Start();
  // Returns the messages of this type from all connections, in the order of arrival.
  std::vector<platform::Message> Received(platform::MessageType type) const;
  std::vector<PlatformConnection*> OpenConnections() const;

  OnSetUp on_set_up;
  bool is_accepting = true;  // connections wait while it is false

 private:
  core::Runtime* runtime_;
  core::Address address_;
  std::unique_ptr<core::StreamListener> listener_;
  std::list<std::unique_ptr<PlatformConnection>> connections_;
  std::vector<platform::Message> received_;
};

// Stand-in for the discovery service.
class PlatformDiscovery final : public core::StreamAcceptor {
 public:
  PlatformDiscovery(core::Runtime* runtime, const core::Address& address);
  core::StreamHandler* OnAccept(std::unique_ptr<core::Stream> stream) override;
  bool CanAccept() override { return is_accepting; }
  // Sends an event to all clients and stores it for later requests.
  void Publish(std::uint64_t number, const std::string& data);
  // Stores an event for later requests without sending it.
  void Store(std::uint64_t number, const std::string& data) { events_.emplace_back(number, data); }
  // Sends raw octets to all clients whose response has begun.
  void Write(const std::string& octets);
  void Reset();
  void ResetNewest() { watches_.back().connection->Reset(); }
  // Returns the number of connections that are open.
  std::size_t open_connections() const;

  std::vector<std::string> last_event_ids;  // the Last-Event-ID of each request
  // Time from a request to the first octet of its response, and from the header to the rest of the response.
  TimeUs response_delay = 0, body_delay = 0;
  bool comment_after_header = false;  // a comment follows the header at once
  bool is_accepting = true;           // connections wait while it is false
  bool is_answering = true;           // requests that arrive while it is false are never answered

 private:
  struct Watch {
    std::unique_ptr<PlatformConnection> connection;
    std::uint64_t last_event = 0;
    bool has_response = false;  // the response has begun, so that events are sent
  };
  void HandleRequestLine(Watch* watch, const std::string& line);
  void SendBody(Watch* watch);

  core::Runtime* runtime_;
  std::unique_ptr<core::StreamListener> listener_;
  std::list<Watch> watches_;
  std::vector<std::pair<std::uint64_t, std::string>> events_;
};

// Stand-in for a caller with one connection to a softswitch.
class PlatformCaller {
 public:
  PlatformCaller(core::Runtime* runtime, const core::Address& softswitch);
  void SetUp(const std::string& id, int destination, const std::string& extra_values = "",
             const std::string& timeout_ms = "3000");
  void Release(const std::string& id);
  void SendRaw(const std::string& octets) { connection.stream->Write(octets); }
  // Returns the final answers and releases for this id in order.
  std::vector<platform::Message> FinalMessages(const std::string& id) const;

  PlatformConnection connection;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_PLATFORM_STAND_INS_H_
