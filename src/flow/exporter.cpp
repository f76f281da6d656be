#include "flow/exporter.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "flow/backlog.h"

namespace croftrun::flow {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

// Records taken from the ring before the collectors get their turn.
constexpr std::size_t kMostAtOnce = 4096;
// Groups that sums are kept of: the exchanges of the largest plan.
constexpr std::size_t kMostGroups = 4096;
constexpr int kOutcomes = 8;
// A collector's coroutine looks by itself as often, were it not woken.
constexpr std::uint64_t kIdleUs = 1'000'000;

std::uint64_t NowUs() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count());
}
std::uint64_t WallMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}
Clock::time_point At(std::uint64_t us) { return Clock::time_point(std::chrono::microseconds(us)); }

std::string NameOf(const CollectorSettings& settings) {
  return std::string(settings.transport == Transport::kUdp ? "udp " : "tcp ") + core::ToString(settings.address);
}

// One collector: its queue, its connection, its counts. Runs on the worker's thread.
class Collector {
 public:
  Collector(asio::io_context& context, const ExporterSettings& all, const CollectorSettings& settings, const Ring& ring, std::uint64_t seed)
      : all_(all),
        settings_(settings),
        ring_(ring),
        backlog_(settings.queue),
        link_(settings.link, seed),
        udp_(context),
        tcp_(context),
        wake_(context),
        overdue_(context),
        began_(NowUs()),
        encoder_(EncoderSettings{settings.protocol, all.exchange, all.enterprise, settings.most_octets, all.classes}) {}

  void Push(const FlowRecord& record) {
    ++taken_;
    backlog_.Push(record);
  }
  // There is something to do.
  void Wake() { wake_.cancel(); }
  void Stop() {
    stopping_ = true;
    Wake();
  }
  // What is left is not sent any more.
  void Abandon() {
    error_code ignored;
    abandoned_ = true;
    udp_.close(ignored);
    tcp_.close(ignored);
    wake_.cancel();
    overdue_.cancel();
  }
  bool done() const { return done_; }

  asio::awaitable<void> Run() {
    while (!abandoned_ && !(stopping_ && backlog_.size() == 0 && !counts_due_)) {
      if (link_.phase() == LinkState::Phase::kDown) {
        const bool up = co_await Connect();
        if (!up) continue;
      }
      const bool said = co_await SendNext();
      if (!said) co_await Wait(NowUs() + kIdleUs);
    }
    done_ = true;
  }

  CollectorFigures Figures() const {
    const auto& link = link_.counters();
    return {NameOf(settings_), link_.phase() == LinkState::Phase::kUp, taken_, sent_, backlog_.dropped(), failed_, backlog_.size(), messages_,
            link.connects, link.failures, link.stalls};
  }
  void CountsAreDue() { counts_due_ = true; }

 private:
  asio::awaitable<void> Wait(std::uint64_t until) {
    error_code ignored;
    wake_.expires_at(At(until));
    co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

  // Closes the connection once the present wait is overdue.
  void Watch() {
    const auto at = link_.GiveUpAt();
    if (!at) return;
    overdue_.expires_at(At(*at));
    overdue_.async_wait([this](const error_code& error) {
      if (error) return;
      if (!link_.Overdue(NowUs())) return Watch();  // it moved on meanwhile
      error_code ignored;
      tcp_.close(ignored);
    });
  }

  asio::awaitable<bool> Connect() {
    while (!abandoned_ && NowUs() < link_.connect_at()) co_await Wait(link_.connect_at());
    if (abandoned_) co_return false;
    link_.OnConnecting(NowUs());
    error_code error;
    const asio::ip::address address = asio::ip::address_v4(settings_.address.host);
    if (settings_.transport == Transport::kUdp) {
      error_code ignored;
      udp_.close(ignored);
      udp_.open(udp::v4(), error);
      if (!error) udp_.connect({address, settings_.address.port}, error);
      last_records_ = 0;
    } else {
      Watch();
      const tcp::endpoint endpoint(address, settings_.address.port);
      co_await tcp_.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
      overdue_.cancel();
    }
    if (error) {
      Down();
      co_return false;
    }
    link_.OnUp(NowUs());
    // Each connection is told everything anew (RFC 7011 8: templates are of their transport session).
    if (settings_.transport == Transport::kTcp) encoder_.SetSequence(0);
    templates_at_ = 0;
    co_return true;
  }

  void Down() {
    error_code ignored;
    overdue_.cancel();
    tcp_.close(ignored);
    link_.OnDown(NowUs());
  }

  bool TemplatesDue() const {
    if (templates_at_ == 0) return true;
    return settings_.transport == Transport::kUdp && NowUs() - templates_at_ >= settings_.template_refresh_us;
  }

  // The next message, if there is anything to say. False: there is not, or it did not go.
  asio::awaitable<bool> SendNext() {
    if (TemplatesDue()) {
      if (backlog_.size() == 0 && !counts_due_ && templates_at_ != 0) co_return false;
      encoder_.Begin();
      encoder_.AddTemplates();
      bool sent = co_await Send(0);
      for (std::size_t next = 0; sent && next < encoder_.types();) {
        encoder_.Begin();
        next = encoder_.AddTypes(next);
        sent = co_await Send(0);
      }
      if (!sent) co_return true;
      templates_at_ = NowUs();
    }
    encoder_.Begin();
    std::size_t records = 0;
    if (counts_due_) {
      encoder_.AddCounts({sent_, ring_.dropped() + backlog_.dropped() + failed_, ring_.dropped(), backlog_.dropped(), 0, failed_});
      counts_due_ = false;
    }
    while (const FlowRecord* next = backlog_.Front()) {
      if (!encoder_.Add(*next)) break;
      backlog_.Pop();
      ++records;
    }
    if (encoder_.empty()) co_return false;
    co_await Send(records);
    co_return true;
  }

  asio::awaitable<bool> Send(std::size_t records) {
    const std::string& message = encoder_.Finish(static_cast<std::uint32_t>(WallMs() / 1000), static_cast<std::uint32_t>((NowUs() - began_) / 1000));
    error_code error;
    if (settings_.transport == Transport::kUdp) {
      udp_.send(asio::buffer(message), 0, error);
      if (error) {
        // What is reported now is that the message before was refused; this one did not go at all.
        failed_ += last_records_ + records;
        sent_ -= last_records_;
        Down();
        co_return false;
      }
      last_records_ = records;
    } else {
      std::size_t at = 0;
      link_.OnWriteBegun(NowUs());
      Watch();
      while (at < message.size() && !error) {
        const auto rest = asio::buffer(message.data() + at, message.size() - at);
        const std::size_t size = co_await tcp_.async_write_some(rest, asio::redirect_error(asio::use_awaitable, error));
        at += size;
        link_.OnProgress(NowUs());
      }
      overdue_.cancel();
      if (error) {
        failed_ += records;
        Down();
        co_return false;
      }
      link_.OnWriteDone(NowUs());
    }
    sent_ += records;
    ++messages_;
    co_return true;
  }

  const ExporterSettings& all_;
  const CollectorSettings& settings_;
  const Ring& ring_;
  Backlog backlog_;
  LinkState link_;
  udp::socket udp_;
  tcp::socket tcp_;
  asio::steady_timer wake_, overdue_;
  std::uint64_t began_;
  Encoder encoder_;
  std::uint64_t templates_at_ = 0, taken_ = 0, sent_ = 0, failed_ = 0, messages_ = 0;
  std::size_t last_records_ = 0;
  bool stopping_ = false, abandoned_ = false, done_ = false, counts_due_ = false;
};

}  // namespace

class Exporter::Worker {
 public:
  Worker(const ExporterSettings& settings, Ring* ring) : settings_(settings), ring_(ring), poll_(context_) {
    std::uint64_t seed = settings.seed;
    for (const CollectorSettings& collector : settings_.collectors)
      collectors_.push_back(std::make_unique<Collector>(context_, settings_, collector, *ring_, ++seed * 0x9e3779b97f4a7c15U));
    sums_began_ = WallMs();
    sums_due_ = NowUs() + settings_.group_us;
    counts_due_ = NowUs() + settings_.counts_us;
    Publish();
  }

  void Run() {
    // Owned by this context, whose end they do not outlive.
    for (const auto& collector : collectors_) asio::co_spawn(context_, collector->Run(), asio::detached);
    Poll();
    context_.run();
    Publish();
  }
  void Stop() { stop_.store(true); }
  std::vector<CollectorFigures> Figures() const {
    const std::lock_guard lock(mutex_);
    return figures_;
  }

 private:
  void Poll() {
    const std::uint64_t now = NowUs();
    const bool stopping = stop_.load();
    FlowRecord record;
    std::size_t taken = 0;
    while (taken < kMostAtOnce && ring_->Pop(&record)) {
      ++taken;
      if (record.kind == RecordKind::kAttempt) Sum(record);
      for (const auto& collector : collectors_) collector->Push(record);
    }
    const bool last = stopping && taken < kMostAtOnce;
    if (now >= sums_due_ || (last && !stopped_at_)) TellSums(now);
    if (now >= counts_due_ || (last && !stopped_at_)) {
      counts_due_ = now + settings_.counts_us;
      for (const auto& collector : collectors_) collector->CountsAreDue();
      taken = std::max<std::size_t>(taken, 1);
    }
    if (last && !stopped_at_) {
      stopped_at_ = now;
      for (const auto& collector : collectors_) collector->Stop();
    }
    if (taken > 0) {
      for (const auto& collector : collectors_) collector->Wake();
    }
    if (now >= published_ + 50'000) Publish();
    if (stopped_at_) {
      const bool done = std::all_of(collectors_.begin(), collectors_.end(), [](const auto& c) { return c->done(); });
      if (done) return;
      if (now >= *stopped_at_ + settings_.stop_us) {
        for (const auto& collector : collectors_) collector->Abandon();
        return;
      }
    }
    poll_.expires_after(std::chrono::microseconds(taken >= kMostAtOnce ? 0 : settings_.poll_us));
    poll_.async_wait([this](const error_code& error) {
      if (!error) Poll();
    });
  }

  void Sum(const FlowRecord& record) {
    if (sums_.size() >= kMostGroups && sums_.count(record.destination) == 0) return;
    FlowRecord& sum = sums_[record.destination];
    const auto outcome = static_cast<Outcome>(record.outcome);
    ++sum.sent;
    if (record.set_up_us > 0) {
      ++sum.stood;
    } else if (outcome == Outcome::kFull) {
      ++sum.turned_back;
    } else if (record.outcome < kOutcomes && outcome != Outcome::kCancelled && outcome != Outcome::kOk) {
      ++sum.lost;
    }
  }

  void TellSums(std::uint64_t now) {
    const std::uint64_t wall = WallMs();
    for (auto& [group, sum] : sums_) {
      sum.kind = RecordKind::kGroup;
      sum.exchange = settings_.exchange;
      sum.destination = group;
      sum.start_ms = sums_began_;
      sum.end_ms = wall;
      for (const auto& collector : collectors_) collector->Push(sum);
    }
    sums_.clear();
    sums_began_ = wall;
    sums_due_ = now + settings_.group_us;
  }

  void Publish() {
    published_ = NowUs();
    const std::lock_guard lock(mutex_);
    figures_.clear();
    for (const auto& collector : collectors_) figures_.push_back(collector->Figures());
  }

  ExporterSettings settings_;
  Ring* ring_;
  asio::io_context context_{1};
  asio::steady_timer poll_;
  std::vector<std::unique_ptr<Collector>> collectors_;
  std::map<std::int32_t, FlowRecord> sums_;
  std::uint64_t sums_began_ = 0, sums_due_ = 0, counts_due_ = 0, published_ = 0;
  std::optional<std::uint64_t> stopped_at_;
  std::atomic<bool> stop_{false};
  mutable std::mutex mutex_;
  std::vector<CollectorFigures> figures_;
};

Exporter::Exporter(const ExporterSettings& settings, Ring* ring)
    : worker_(std::make_unique<Worker>(settings, ring)), thread_([this] { worker_->Run(); }) {}

Exporter::~Exporter() { Stop(); }

void Exporter::Stop() {
  worker_->Stop();
  if (thread_.joinable()) thread_.join();
}

std::vector<CollectorFigures> Exporter::Figures() const { return worker_->Figures(); }

}  // namespace croftrun::flow
