#include "flow/exporter.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "flow/backlog.h"
#include "flow/in_flight.h"
#include "flow/tls_keys.h"

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
constexpr int kLastWords = 20;  // milliseconds
constexpr std::uint64_t kCloseUs = 500'000;
// Messages that are kept until a connection has proven itself.
constexpr std::size_t kMostUnproven = 4096;
constexpr int kSendBuffer = 256 * 1024;

std::uint64_t NowUs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count());
}
std::uint64_t WallMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}
Clock::time_point At(std::uint64_t us) { return Clock::time_point(std::chrono::microseconds(us)); }

std::string NameOf(const CollectorSettings& settings) {
  constexpr std::array<const char*, 3> kNames = {"udp ", "tcp ", "tls "};
  return kNames[static_cast<std::size_t>(settings.transport)] + core::ToString(settings.address);
}

// One TCP connection, with TLS on top or not. Held by the coroutine that sends and by the one that reads.
struct Connection {
  explicit Connection(asio::io_context& context) : socket(context) {}
  tcp::socket socket;
  std::shared_ptr<asio::ssl::context> keys;
  std::optional<asio::ssl::stream<tcp::socket&>> tls;
  std::optional<std::int64_t> ends;  // the collector's certificate, Unix seconds
  bool reading = false, broken = false;
  bool refused = false;  // the other side ended TLS with a fatal alert
  std::string why;
};

// Where a TLS session keeps its Connection, for NoteAlert.
int ConnectionIndex() {
  static const int index = SSL_get_ex_new_index(0, nullptr, nullptr, nullptr, nullptr);
  return index;
}

// OpenSSL takes a fatal alert for an end of the other side, so that a shutdown that meets one succeeds.
void NoteAlert(const SSL* session, int where, int alert) {
  const bool fatal = (alert >> 8) == SSL3_AL_FATAL;
  if (where != SSL_CB_READ_ALERT || !fatal) return;
  static_cast<Connection*>(SSL_get_ex_data(session, ConnectionIndex()))->refused = true;
}

// One collector: its queue, its connection, its spool, its counts. Runs on the worker's thread.
class Collector {
 public:
  Collector(asio::io_context& context, const ExporterSettings& all, const CollectorSettings& settings, const Ring& ring,
            core::Disk* disk, const Exporter::OnEvent& on_event, std::uint64_t seed)
      : context_(context),
        all_(all),
        settings_(settings),
        ring_(ring),
        on_event_(on_event),
        backlog_(settings.queue),
        link_(settings.link, seed),
        catch_up_(settings.catch_up),
        keys_(settings.tls),
        udp_(context),
        wake_(context),
        began_(NowUs()),
        down_since_(began_),
        encoder_(EncoderSettings{settings.protocol, all.exchange, all.enterprise, settings.most_octets, all.classes}) {
    if (!settings.spool) return;
    spool_.emplace(*settings.spool, disk);
    if (const std::error_code error = spool_->Open()) Tell("spool " + settings.spool->folder + ": " + error.message());
  }

  void Push(const FlowRecord& record) {
    ++taken_;
    // The disk takes what the queue cannot hold before any of it is dropped.
    if (spool_ && backlog_.size() >= backlog_.most() - backlog_.most() / 4) SpillDue(NowUs());
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
    if (connection_ != nullptr) connection_->socket.close(ignored);
    wake_.cancel();
  }
  bool done() const { return done_; }

  // At short intervals: what the clock, the connection and the disk ask for.
  void Tick(std::uint64_t now) {
    if (connection_ != nullptr && link_.phase() == LinkState::Phase::kUp) LookAtQueue(now);
    if (connection_ != nullptr && !connection_->broken && link_.Overdue(now)) {
      error_code ignored;
      why_ = link_.phase() == LinkState::Phase::kUp ? "takes nothing any more" : "does not answer";
      connection_->broken = true;
      connection_->socket.close(ignored);
      Wake();
    }
    if (settings_.transport == Transport::kTls && now >= keys_at_) LookAtKeys(now);
    if (!spool_) return;
    SpillDue(now);
    spool_->Tick(now);
  }

  asio::awaitable<void> Run() {
    while (!abandoned_) {
      const bool up = link_.phase() == LinkState::Phase::kUp;
      if (stopping_ && !up && spool_) break;  // what waits goes to disk
      if (stopping_ && backlog_.size() == 0 && !counts_due_) break;
      if (!up) {
        co_await Connect();
        continue;
      }
      if (connection_ != nullptr && connection_->broken) {
        if (why_.empty()) why_ = connection_->why;
        Down();
        continue;
      }
      if (renew_) {
        co_await Renew();
        continue;
      }
      const bool said = co_await SendNext();
      if (!said) {
        const bool soon = spool_ && spool_->size() > 0;
        const std::uint64_t now = NowUs();
        co_await Wait(soon ? std::max(now + 1000, catch_up_.NextAt(now)) : now + kIdleUs);
      }
    }
    if (!abandoned_ && connection_ != nullptr && link_.phase() == LinkState::Phase::kUp) co_await Close();
    End();
    done_ = true;
  }

  CollectorFigures Figures() const {
    const auto& link = link_.counters();
    CollectorFigures f{NameOf(settings_),
                       link_.phase() == LinkState::Phase::kUp,
                       taken_,
                       sent_,
                       backlog_.dropped(),
                       failed_,
                       backlog_.size(),
                       messages_,
                       link.connects,
                       link.failures,
                       link.stalls,
                       unsure_,
                       0,
                       0,
                       0,
                       0,
                       0,
                       0,
                       last_error_,
                       {}};
    if (!spool_) return f;
    const Spool::Counters& spool = spool_->counters();
    f.spooled = spool_->size();
    f.spool_octets = spool_->octets();
    f.recovered = spool.recovered;
    f.spool_full = spool.full;
    f.spool_damaged = spool.damaged;
    f.spool_errors = spool.errors;
    if (spool_->last_error()) f.spool_error = spool_->last_error().message();
    return f;
  }
  void CountsAreDue(const SampleCounts& samples) {
    counts_due_ = true;
    samples_ = samples;
  }

 private:
  asio::awaitable<void> Wait(std::uint64_t until) {
    error_code ignored;
    wake_.expires_at(At(until));
    co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

  void Tell(const std::string& what) {
    if (on_event_) on_event_(NameOf(settings_), what);
  }

  // Octets that the other machine has not acknowledged, asked of the kernel.
  std::size_t Queued() const {
    int queued = 0;
    if (::ioctl(connection_->socket.native_handle(), SIOCOUTQ, &queued) != 0) return queued_;
    return static_cast<std::size_t>(std::max(0, queued));
  }

  void LookAtQueue(std::uint64_t now) {
    if (in_flight_.messages() == 0 && queued_ == 0) return;
    const std::size_t queued = Queued();
    if (queued < queued_) link_.OnProgress(now);
    if (queued == 0 && !writing_) link_.OnWriteDone(now);
    queued_ = queued;
    if (link_.Proven(now) || in_flight_.messages() > kMostUnproven) in_flight_.Unacknowledged(queued);
  }

  // Certificates end, and are replaced, while a connection stands: it is made anew then, and checked anew.
  void LookAtKeys(std::uint64_t now) {
    keys_at_ = now + all_.keys_us;
    if (link_.phase() != LinkState::Phase::kUp || connection_ == nullptr || renew_) return;
    const auto wall = static_cast<std::int64_t>(WallMs() / 1000);
    const bool ended = (connection_->ends && wall >= *connection_->ends) || (keys_.ends() && wall >= *keys_.ends());
    if (!ended && !keys_.Changed()) return;
    std::string error;
    if (keys_.Changed() && !keys_.Load(&error)) {
      Tell("keys kept: " + error);
      if (!ended) return;
    }
    renew_ = true;
    Wake();
  }

  asio::awaitable<void> Renew() {
    renew_ = false;
    co_await Close();
    Forget();
    link_.OnRenewed(NowUs());
    down_since_ = NowUs();
  }

  // In order: what was said arrives first. A collector that ends its side in return has read it all.
  asio::awaitable<void> Close() {
    const std::shared_ptr<Connection> connection = connection_;
    error_code ignored;
    const std::uint64_t until = NowUs() + kCloseUs;
    if (connection->tls) {
      // One operation at a time reads from it.
      connection->socket.cancel(ignored);
      while (connection->reading && !abandoned_) co_await Wait(NowUs() + 1000);
      if (connection->broken) co_return;
      // The other side may never answer: Tick closes the socket then.
      error_code error;
      link_.OnWriteBegun(NowUs());
      co_await connection->tls->async_shutdown(asio::redirect_error(asio::use_awaitable, error));
      const bool ended_in_return = !error || error == asio::error::eof || error == asio::ssl::error::stream_truncated;
      if (ended_in_return && !connection->refused) in_flight_.Clear();
    } else {
      connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
      while (!connection->broken && !abandoned_ && NowUs() < until) co_await Wait(NowUs() + 1000);
      if (connection->broken && connection->why.empty()) in_flight_.Clear();
      if (!connection->broken) in_flight_.Unacknowledged(Queued());
    }
  }

  // The collector says nothing (RFC 7011 10.4): what is read is the end of the connection.
  static asio::awaitable<void> Read(std::shared_ptr<Connection> connection, asio::steady_timer& wake) {
    std::array<char, 512> buffer;
    error_code error;
    connection->reading = true;
    while (!error) {
      const auto into = asio::buffer(buffer);
      if (connection->tls) {
        co_await connection->tls->async_read_some(into, asio::redirect_error(asio::use_awaitable, error));
      } else {
        co_await connection->socket.async_read_some(into, asio::redirect_error(asio::use_awaitable, error));
      }
    }
    connection->reading = false;
    if (error == asio::error::operation_aborted) co_return;  // by this side; nothing more may be touched
    if (error != asio::error::eof) connection->why = error.message();
    connection->broken = true;
    wake.cancel();
  }

  asio::awaitable<void> Connect() {
    while (!abandoned_ && !(stopping_ && spool_) && NowUs() < link_.connect_at()) co_await Wait(link_.connect_at());
    if (abandoned_ || (stopping_ && spool_)) co_return;
    link_.OnConnecting(NowUs());
    error_code error;
    why_.clear();
    const asio::ip::address address = asio::ip::address_v4(settings_.address.host);
    if (settings_.transport == Transport::kUdp) {
      error_code ignored;
      udp_.close(ignored);
      udp_.open(udp::v4(), error);
      if (!error) udp_.connect({address, settings_.address.port}, error);
      last_.clear();
    } else {
      const tcp::endpoint endpoint(address, settings_.address.port);
      connection_ = std::make_shared<Connection>(context_);
      co_await connection_->socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
      if (!error && settings_.transport == Transport::kTls) co_await Handshake(&error);
    }
    if (abandoned_) co_return;
    if (error) {
      if (why_.empty()) why_ = error.message();
      Down();
      co_return;
    }
    if (connection_ != nullptr) {
      // What the kernel holds is what a break leaves unsure: not much.
      error_code ignored;
      connection_->socket.set_option(asio::socket_base::send_buffer_size(kSendBuffer), ignored);
      connection_->socket.set_option(tcp::no_delay(true), ignored);
      // Owned by the context; it ends with its connection.
      asio::co_spawn(context_, Read(connection_, wake_), asio::detached);
    }
    link_.OnUp(NowUs());
    queued_ = 0;
    if (on_event_) on_event_(NameOf(settings_), "reached");
    // Each connection is told everything anew (RFC 7011 8: templates are of their transport session).
    if (settings_.transport != Transport::kUdp) encoder_.SetSequence(0);
    templates_at_ = 0;
  }

  asio::awaitable<void> Handshake(error_code* error) {
    std::string fault;
    if (keys_.Changed() && !keys_.Load(&fault)) why_ = fault;
    const auto ends = keys_.ends();
    if (why_.empty() && ends && static_cast<std::int64_t>(WallMs() / 1000) >= *ends)
      why_ = "certificate " + settings_.tls.certificate + ": has expired";
    if (keys_.context() == nullptr || !why_.empty()) {
      *error = asio::error::no_permission;
      co_return;
    }
    const std::shared_ptr<Connection> connection = connection_;
    connection->keys = keys_.context();
    connection->tls.emplace(connection->socket, *connection->keys);
    SSL* native = connection->tls->native_handle();
    SSL_set_ex_data(native, ConnectionIndex(), connection.get());
    SSL_set_info_callback(native, NoteAlert);
    keys_.Expect(native, asio::ip::address_v4(settings_.address.host).to_string());
    co_await connection->tls->async_handshake(asio::ssl::stream_base::client,
                                              asio::redirect_error(asio::use_awaitable, *error));
    if (*error) {
      if (why_.empty()) why_ = TlsKeys::Why(native, *error);
    } else {
      connection->ends = TlsKeys::EndOfPeer(native);
    }
  }

  // The connection is no more: what of it is unsure waits again, marked, in its order.
  void Forget() {
    error_code ignored;
    if (connection_ != nullptr) {
      if (connection_->socket.is_open() && link_.Proven(NowUs())) in_flight_.Unacknowledged(Queued());
      connection_->socket.close(ignored);
    }
    connection_.reset();
    std::vector<FlowRecord> unsure = in_flight_.Take();
    unsure_ += unsure.size();
    sent_ -= unsure.size();
    PutBack(std::move(unsure));
  }

  void PutBack(std::vector<FlowRecord> records) {
    std::array<std::vector<FlowRecord>, kRecordKinds> by_rank;
    for (FlowRecord& record : records) {
      record.replay = Replay::kPossiblyRepeated;
      by_rank[RankOf(record.kind)].push_back(record);
    }
    for (std::size_t rank = 0; rank < kRecordKinds; ++rank) backlog_.PutBack(rank, by_rank[rank]);
  }

  void Down() {
    const bool was_up = link_.phase() == LinkState::Phase::kUp;
    Forget();
    link_.OnDown(NowUs());
    if (was_up) down_since_ = NowUs();
    last_error_ =
        (was_up ? "lost: " : "not reached: ") + (why_.empty() ? std::string("closed by the collector") : why_);
    why_.clear();
    Tell(last_error_);
  }

  void SpillDue(std::uint64_t now) {
    const bool up = link_.phase() == LinkState::Phase::kUp;
    Spill(catch_up_.ToDisk(up, up ? 0 : now - down_since_, backlog_.size(), backlog_.most()), now);
  }

  // The oldest of what matters least goes to disk first: what matters most is the sooner sent.
  void Spill(std::size_t records, std::uint64_t now) {
    for (std::size_t rank = kRecordKinds; rank-- > 0 && records > 0;) {
      while (records > 0 && spool_->Writable(now)) {
        std::vector<FlowRecord> some = backlog_.Take(rank, std::min(records, Spool::kFrameRecords));
        if (some.empty()) break;
        if (!spool_->Write(rank, some, now)) {
          backlog_.PutBack(rank, some);
          Tell("spool " + settings_.spool->folder + ": " + spool_->last_error().message());
          return;
        }
        records -= some.size();
      }
    }
  }

  // The end of the run: what was not sent is kept on disk, where there is one.
  void End() {
    if (connection_ != nullptr) Forget();
    if (!spool_) return;
    Spill(backlog_.size(), NowUs());
    spool_->Close();
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
      bool sent = co_await Send({});
      for (std::size_t next = 0; sent && next < encoder_.types();) {
        encoder_.Begin();
        next = encoder_.AddTypes(next);
        sent = co_await Send({});
      }
      if (!sent) co_return true;
      templates_at_ = NowUs();
    }
    const bool live = backlog_.size() > 0 || counts_due_;
    const CatchUp::Next next = catch_up_.Choose(live, spool_ && spool_->Front() != nullptr, NowUs());
    if (next == CatchUp::Next::kNothing) co_return false;
    encoder_.Begin();
    std::vector<FlowRecord> records;
    if (next == CatchUp::Next::kSpool) {
      while (const FlowRecord* record = spool_->Front()) {
        if (!encoder_.Add(*record)) break;
        records.push_back(*record);
        spool_->Pop();
      }
      catch_up_.OnSpoolSent(records.size());
    } else {
      if (counts_due_) AddCounts();
      counts_due_ = false;
      while (const FlowRecord* record = backlog_.Front()) {
        if (!encoder_.Add(*record)) break;
        records.push_back(*record);
        backlog_.Pop();
      }
    }
    if (encoder_.empty()) co_return false;
    co_await Send(std::move(records));
    co_return true;
  }

  void AddCounts() {
    std::uint64_t spool_lost = 0;
    if (spool_) spool_lost = spool_->counters().full + spool_->counters().damaged;
    encoder_.AddCounts({sent_, ring_.dropped() + backlog_.dropped() + spool_lost + failed_, ring_.dropped(),
                        backlog_.dropped(), spool_lost, failed_});
    if (all_.sample > 1) encoder_.AddSamples(samples_);
  }

  asio::awaitable<bool> Send(std::vector<FlowRecord> records) {
    const std::string& message = encoder_.Finish(static_cast<std::uint32_t>(WallMs() / 1000),
                                                 static_cast<std::uint32_t>((NowUs() - began_) / 1000));
    const std::size_t count = records.size();
    error_code error;
    if (settings_.transport == Transport::kUdp) {
      udp_.send(asio::buffer(message), 0, error);
      if (error) {
        // What is reported now is that the message before was refused; this one did not go at all.
        sent_ -= last_.size();
        last_.insert(last_.end(), records.begin(), records.end());
        unsure_ += last_.size();
        PutBack(std::move(last_));
        last_.clear();
        why_ = error.message();
        Down();
        co_return false;
      }
      last_ = std::move(records);
    } else {
      const std::shared_ptr<Connection> connection = connection_;
      std::size_t at = 0;
      link_.OnWriteBegun(NowUs());
      writing_ = true;
      while (at < message.size() && !error) {
        const auto rest = asio::buffer(message.data() + at, message.size() - at);
        std::size_t size = 0;
        if (connection->tls) {
          size = co_await connection->tls->async_write_some(rest, asio::redirect_error(asio::use_awaitable, error));
        } else {
          size = co_await connection->socket.async_write_some(rest, asio::redirect_error(asio::use_awaitable, error));
        }
        at += size;
      }
      writing_ = false;
      sent_ += count;
      in_flight_.Sent(message.size(), std::move(records));
      if (error) {
        if (abandoned_) co_return false;  // by this side
        // Of this message, too, a part may have gone; none of it is acknowledged for certain. What the collector said
        // last may still be read: why it closed.
        for (int i = 0; i < kLastWords && connection->reading && !abandoned_; ++i) co_await Wait(NowUs() + 1000);
        if (why_.empty()) why_ = connection->why.empty() ? error.message() : connection->why;
        Down();
        co_return false;
      }
      LookAtQueue(NowUs());
      ++messages_;
      co_return true;
    }
    sent_ += count;
    ++messages_;
    co_return true;
  }

  asio::io_context& context_;
  const ExporterSettings& all_;
  const CollectorSettings& settings_;
  const Ring& ring_;
  const Exporter::OnEvent& on_event_;
  Backlog backlog_;
  LinkState link_;
  CatchUp catch_up_;
  InFlight in_flight_;
  std::optional<Spool> spool_;
  TlsKeys keys_;
  udp::socket udp_;
  std::shared_ptr<Connection> connection_;  // over TCP and TLS, while there is one
  asio::steady_timer wake_;
  std::uint64_t began_, down_since_;
  Encoder encoder_;
  SampleCounts samples_;
  std::uint64_t templates_at_ = 0, keys_at_ = 0, taken_ = 0, sent_ = 0, failed_ = 0, unsure_ = 0, messages_ = 0;
  std::size_t queued_ = 0;        // octets that the kernel held when last asked
  std::vector<FlowRecord> last_;  // over UDP, of the last message
  std::string why_, last_error_;
  bool stopping_ = false, abandoned_ = false, done_ = false, counts_due_ = false, renew_ = false, writing_ = false;
};

}  // namespace

class Exporter::Worker {
 public:
  Worker(const ExporterSettings& settings, Ring* ring, core::Disk* disk, OnEvent on_event)
      : settings_(settings), ring_(ring), on_event_(std::move(on_event)), poll_(context_) {
    std::uint64_t seed = settings.seed;
    for (const CollectorSettings& collector : settings_.collectors)
      collectors_.push_back(std::make_unique<Collector>(context_, settings_, collector, *ring_, disk, on_event_,
                                                        ++seed * 0x9e3779b97f4a7c15U));
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
      if (!Sampled(record)) continue;
      for (const auto& collector : collectors_) collector->Push(record);
    }
    const bool last = stopping && taken < kMostAtOnce;
    if (now >= sums_due_ || (last && !stopped_at_)) TellSums(now);
    if (now >= counts_due_ || (last && !stopped_at_)) {
      counts_due_ = now + settings_.counts_us;
      for (const auto& collector : collectors_) collector->CountsAreDue(samples_);
      taken = std::max<std::size_t>(taken, 1);
    }
    if (last && !stopped_at_) {
      stopped_at_ = now;
      for (const auto& collector : collectors_) collector->Stop();
    }
    if (taken > 0) {
      for (const auto& collector : collectors_) collector->Wake();
    }
    for (const auto& collector : collectors_) collector->Tick(now);
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

  // By a hash of the call: of a call all attempts and intervals, or none (RFC 7014 5.2: hash-based). Calls are always
  // told.
  bool Sampled(const FlowRecord& record) {
    if (settings_.sample <= 1 || (record.kind != RecordKind::kAttempt && record.kind != RecordKind::kInterval))
      return true;
    ++samples_.observed;
    std::uint64_t hash = (record.call + 0x9e3779b97f4a7c15U) * 0xbf58476d1ce4e5b9U;
    hash ^= hash >> 32U;
    if (hash % settings_.sample != 0) return false;
    ++samples_.selected;
    return true;
  }

  void Sum(const FlowRecord& record) {
    if (sums_.size() >= kMostGroups && sums_.count(record.destination) == 0) return;
    FlowRecord& sum = sums_[record.destination];
    const auto outcome = static_cast<Outcome>(record.outcome);
    ++sum.sent;
    if (record.set_up_us > 0) {
      ++sum.stood;
    } else if (outcome == Outcome::kRejected) {
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
  OnEvent on_event_;
  SampleCounts samples_;
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

Exporter::Exporter(const ExporterSettings& settings, Ring* ring, core::Disk* disk, OnEvent on_event)
    : worker_(std::make_unique<Worker>(settings, ring, disk, std::move(on_event))),
      thread_([this] { worker_->Run(); }) {}

Exporter::~Exporter() { Stop(); }

void Exporter::Stop() {
  worker_->Stop();
  if (thread_.joinable()) thread_.join();
}

std::vector<CollectorFigures> Exporter::Figures() const { return worker_->Figures(); }

}  // namespace croftrun::flow
