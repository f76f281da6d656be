// Stand-ins for what a softswitch meets on the platform: exchanges, callers and the notice board. They speak the
// protocol on any runtime, do what a test tells them, spoilt lines and broken connections included, and keep all they
// heard.
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

// A connection of a stand-in, either way.
class PlatformLink final : public core::StreamHandler {
 public:
  using OnLine = std::function<void(PlatformLink&, const std::string& line)>;
  explicit PlatformLink(OnLine on_line) : on_line_(std::move(on_line)) {}
  void OnOpen() override { open = true; }
  void OnBytes(std::string_view bytes) override;
  void OnEnd(core::StreamEnd e) override {
    open = false;
    end = e;
  }
  // Both sides see a reset; on virtual time, and only while it is open.
  void Break();
  void Send(const platform::Message& message) { stream->Write(platform::WriteMessage(message)); }

  std::unique_ptr<core::Stream> stream;
  bool open = false;
  std::optional<core::StreamEnd> end;
  std::vector<platform::Message> heard;

 private:
  OnLine on_line_;
  platform::LineReader reader_;
};

class PlatformExchange final : public core::StreamAcceptor {
 public:
  // Called for each set-up; by default it is answered at once.
  using OnSetUp = std::function<void(PlatformLink&, const platform::Message&)>;
  PlatformExchange(core::Runtime* runtime, const core::Address& address);
  core::StreamHandler* OnAccept(std::unique_ptr<core::Stream> stream) override;
  static void Answer(PlatformLink& link, const std::string& id, const std::string& description);
  static void Release(PlatformLink& link, const std::string& id, int cause, const std::string& note = "");
  // The process dies, or takes up again.
  void Stop();
  void Start();
  // Messages of this type over all connections, in the order in which they came.
  std::vector<platform::Message> Heard(platform::MessageType type) const;
  std::vector<PlatformLink*> OpenLinks() const;

  OnSetUp on_set_up;

 private:
  core::Runtime* runtime_;
  core::Address address_;
  std::unique_ptr<core::StreamListener> listener_;
  std::list<std::unique_ptr<PlatformLink>> links_;
  std::vector<platform::Message> heard_;
};

class PlatformBoard final : public core::StreamAcceptor {
 public:
  PlatformBoard(core::Runtime* runtime, const core::Address& address);
  core::StreamHandler* OnAccept(std::unique_ptr<core::Stream> stream) override;
  // An event to all that listen, and kept for those that ask for it later.
  void Tell(std::uint64_t number, const std::string& data);
  // Kept for those that ask for it later; told to nobody now.
  void Keep(std::uint64_t number, const std::string& data) { events_.emplace_back(number, data); }
  // Octets as they are, to all that listen.
  void Write(const std::string& octets);
  void Break();
  std::vector<std::string> asked;  // the Last-Event-ID of each request

 private:
  std::unique_ptr<core::StreamListener> listener_;
  std::list<std::unique_ptr<PlatformLink>> links_;
  std::vector<std::pair<std::uint64_t, std::string>> events_;
};

// A caller's connection.
class PlatformCaller {
 public:
  PlatformCaller(core::Runtime* runtime, const core::Address& softswitch);
  void SetUp(const std::string& id, int destination, const std::string& more = "", const std::string& left = "3000");
  void Release(const std::string& id);
  void Raw(const std::string& octets) { link.stream->Write(octets); }
  // Final answers and releases for this id, in order.
  std::vector<platform::Message> For(const std::string& id) const;

  PlatformLink link;
};

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_PLATFORM_STAND_INS_H_
