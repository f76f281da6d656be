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

// Records taken from the ring per poll, so that the collectors get their turn in between.
constexpr std::size_t kMaxRecordsPerPoll = 4096;
// Trunk groups that sums are kept for; covers the exchanges of the largest plan.
constexpr std::size_t kMaxGroups = 4096;
constexpr int kOutcomeCount = 8;  // values of Outcome
// How often an idle collector's coroutine checks for work without being woken.
constexpr std::uint64_t kIdleIntervalUs = 1'000'000;
// How long to wait for the collector's last data, such as a TLS alert, after a write failed.
constexpr int kFinalReadTimeoutMs = 20;
constexpr std::uint64_t kCloseTimeoutUs = 500'000;
// Messages kept in memory at most while a connection is not yet confirmed.
constexpr std::size_t kMaxUnconfirmedMessages = 4096;
constexpr int kSendBufferOctets = 256 * 1024;

std::uint64_t NowUs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count());
}
std::uint64_t WallMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}
Clock::time_point TimePoint(std::uint64_t us) { return Clock::time_point(std::chrono::microseconds(us)); }

std::string NameOf(const CollectorSettings& settings) {
  constexpr std::array<const char*, 3> kNames = {"udp ", "tcp ", "tls "};
  return kNames[static_cast<std::size_t>(settings.transport)] + core::ToString(settings.address);
}

// A TCP connection, with or without TLS. Shared by the sending and the reading coroutine.
struct Connection {
  explicit Connection(asio::io_context& context) : socket(context) {}
  tcp::socket socket;
  std::shared_ptr<asio::ssl::context> tls_context;
  std::optional<asio::ssl::stream<tcp::socket&>> tls;
  std::optional<std::int64_t> certificate_expiry;  // expiry of the collector's certificate, Unix seconds
  bool reading = false, broken = false;
  bool fatal_alert = false;  // the collector ended the TLS session with a fatal alert
  std::string error_text;    // why reading ended, unless the collector closed the connection
};

// Index of the Connection in the extra data of its TLS session, for RecordFatalAlert.
int ConnectionIndex() {
  static const int index = SSL_get_ex_new_index(0, nullptr, nullptr, nullptr, nullptr);
  return index;
}

// OpenSSL treats a fatal alert as the end of the peer's data, so a shutdown that receives one succeeds. This info
// callback records the alert, so that such a shutdown does not count as proof that the collector read everything.
void RecordFatalAlert(const SSL* session, int where, int alert) {
  const bool fatal = (alert >> 8) == SSL3_AL_FATAL;
  if (where != SSL_CB_READ_ALERT || !fatal) return;
  static_cast<Connection*>(SSL_get_ex_data(session, ConnectionIndex()))->fatal_alert = true;
}

// The export to one collector: its queue, connection, spool and counters. Runs on the worker's thread.
class CollectorSession {
 public:
  CollectorSession(asio::io_context& context, const ExporterSettings& exporter_settings,
                   const CollectorSettings& settings, const Ring& ring, core::Disk* disk,
                   const Exporter::OnEvent& on_event, std::uint64_t seed)
      : context_(context),
        exporter_settings_(exporter_settings),
        settings_(settings),
        ring_(ring),
        on_event_(on_event),
        backlog_(settings.max_queued_records),
        connection_state_(settings.connection, seed),
        catch_up_(settings.catch_up),
        tls_keys_(settings.tls),
        udp_(context),
        wake_timer_(context),
        started_at_(NowUs()),
        down_since_(started_at_),
        encoder_(EncoderSettings{settings.protocol, exporter_settings.exchange, exporter_settings.enterprise,
                                 settings.max_message_octets, exporter_settings.classes}) {
    if (!settings.spool) return;
    spool_.emplace(*settings.spool, disk);
    if (const std::error_code error = spool_->Open())
      ReportEvent("spool " + settings.spool->folder + ": " + error.message());
  }

  void Push(const FlowRecord& record) {
    ++taken_;
    // A queue that fills up is written to disk before any record is dropped.
    if (spool_ && backlog_.size() >= backlog_.max_records() - backlog_.max_records() / 4) SpillIfDue(NowUs());
    backlog_.Push(record);
  }
  // Wakes the coroutine because there is work to do.
  void Wake() { wake_timer_.cancel(); }
  // Starts the shutdown: the coroutine ends once the backlog is sent, or spooled if the collector is away.
  void Stop() {
    stopping_ = true;
    Wake();
  }
  // Stops at once; what is left is not sent.
  void Abandon() {
    error_code ignored;
    abandoned_ = true;
    udp_.close(ignored);
    if (connection_ != nullptr) connection_->socket.close(ignored);
    wake_timer_.cancel();
  }
  bool done() const { return done_; }

  // Called at short intervals: handles acknowledgements, time-outs, certificates and the spool.
  void Tick(std::uint64_t now) {
    if (connection_ != nullptr && connection_state_.phase() == ConnectionState::Phase::kUp) UpdateAcknowledged(now);
    if (connection_ != nullptr && !connection_->broken && connection_state_.CheckTimeout(now)) {
      error_code ignored;
      error_text_ =
          connection_state_.phase() == ConnectionState::Phase::kUp ? "takes nothing any more" : "does not answer";
      connection_->broken = true;
      connection_->socket.close(ignored);
      Wake();
    }
    if (settings_.transport == Transport::kTls && now >= next_certificate_check_) CheckCertificates(now);
    if (!spool_) return;
    SpillIfDue(now);
    spool_->SyncIfDue(now);
  }

  asio::awaitable<void> Run() {
    while (!abandoned_) {
      const bool up = connection_state_.phase() == ConnectionState::Phase::kUp;
      if (stopping_ && !up && spool_) break;  // waiting records go to disk
      if (stopping_ && backlog_.size() == 0 && !counts_due_) break;
      if (!up) {
        co_await Connect();
        continue;
      }
      if (connection_ != nullptr && connection_->broken) {
        if (error_text_.empty()) error_text_ = connection_->error_text;
        HandleDisconnect();
        continue;
      }
      if (replacement_due_) {
        co_await ReplaceConnection();
        continue;
      }
      const bool sent = co_await SendNextMessage();
      if (!sent) {
        const bool spool_waiting = spool_ && spool_->size() > 0;
        const std::uint64_t now = NowUs();
        co_await Wait(spool_waiting ? std::max(now + 1000, catch_up_.NextSpoolSendAt(now)) : now + kIdleIntervalUs);
      }
    }
    if (!abandoned_ && connection_ != nullptr && connection_state_.phase() == ConnectionState::Phase::kUp)
      co_await CloseConnection();
    SpoolRemaining();
    done_ = true;
  }

  CollectorMetrics Metrics() const {
    const auto& connection = connection_state_.counters();
    CollectorMetrics metrics{NameOf(settings_),
                             connection_state_.phase() == ConnectionState::Phase::kUp,
                             taken_,
                             sent_,
                             backlog_.dropped(),
                             send_failed_,
                             backlog_.size(),
                             messages_,
                             connection.connects,
                             connection.failures,
                             connection.stalls,
                             resent_,
                             0,
                             0,
                             0,
                             0,
                             0,
                             0,
                             last_error_,
                             {}};
    if (!spool_) return metrics;
    const Spool::Counters& spool = spool_->counters();
    metrics.spooled = spool_->size();
    metrics.spool_octets = spool_->octets();
    metrics.recovered = spool.recovered;
    metrics.spool_full = spool.dropped_full;
    metrics.spool_damaged = spool.damaged;
    metrics.spool_errors = spool.errors;
    if (spool_->last_error()) metrics.spool_error = spool_->last_error().message();
    return metrics;
  }
  void ScheduleCounts(const SampleCounts& samples) {
    counts_due_ = true;
    sample_counts_ = samples;
  }

 private:
  asio::awaitable<void> Wait(std::uint64_t until) {
    error_code ignored;
    wake_timer_.expires_at(TimePoint(until));
    co_await wake_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

  void ReportEvent(const std::string& what) {
    if (on_event_) on_event_(NameOf(settings_), what);
  }

  // Octets that the collector's host has not acknowledged, according to the kernel.
  std::size_t UnacknowledgedOctets() const {
    int send_queue_octets = 0;
    if (::ioctl(connection_->socket.native_handle(), SIOCOUTQ, &send_queue_octets) != 0) return send_queue_octets_;
    return static_cast<std::size_t>(std::max(0, send_queue_octets));
  }

  void UpdateAcknowledged(std::uint64_t now) {
    if (in_flight_.messages() == 0 && send_queue_octets_ == 0) return;
    const std::size_t send_queue_octets = UnacknowledgedOctets();
    if (send_queue_octets < send_queue_octets_) connection_state_.OnAcknowledged(now);
    if (send_queue_octets == 0 && !writing_) connection_state_.OnAllAcknowledged(now);
    send_queue_octets_ = send_queue_octets;
    if (connection_state_.IsConfirmed(now) || in_flight_.messages() > kMaxUnconfirmedMessages)
      in_flight_.SetUnacknowledged(send_queue_octets);
  }

  // Checks whether a certificate expired or a file was replaced while connected. If so, the connection is replaced and
  // both certificates are verified again. Changed files that cannot be loaded are ignored until the certificates in use
  // expire.
  void CheckCertificates(std::uint64_t now) {
    next_certificate_check_ = now + exporter_settings_.certificate_check_interval_us;
    if (connection_state_.phase() != ConnectionState::Phase::kUp || connection_ == nullptr || replacement_due_) return;
    const auto wall = static_cast<std::int64_t>(WallMs() / 1000);
    const bool expired = (connection_->certificate_expiry && wall >= *connection_->certificate_expiry) ||
                         (tls_keys_.certificate_expiry() && wall >= *tls_keys_.certificate_expiry());
    if (!expired && !tls_keys_.HasChanged()) return;
    std::string error;
    if (tls_keys_.HasChanged() && !tls_keys_.Load(&error)) {
      ReportEvent("changed certificate files not loaded, previous ones stay in use: " + error);
      if (!expired) return;
    }
    replacement_due_ = true;
    Wake();
  }

  asio::awaitable<void> ReplaceConnection() {
    replacement_due_ = false;
    co_await CloseConnection();
    DropConnection();
    connection_state_.OnReplaced(NowUs());
    down_since_ = NowUs();
  }

  // Closes the connection gracefully: data sent before still arrives. A collector that closes its side in return has
  // read everything.
  asio::awaitable<void> CloseConnection() {
    const std::shared_ptr<Connection> connection = connection_;
    error_code ignored;
    const std::uint64_t until = NowUs() + kCloseTimeoutUs;
    if (connection->tls) {
      // Only one operation may read from the stream at a time, so the reading coroutine has to end first.
      connection->socket.cancel(ignored);
      while (connection->reading && !abandoned_) co_await Wait(NowUs() + 1000);
      if (connection->broken) co_return;
      // The collector may never answer; Tick then closes the socket after the time-out.
      error_code error;
      connection_state_.OnWriteStarted(NowUs());
      co_await connection->tls->async_shutdown(asio::redirect_error(asio::use_awaitable, error));
      const bool ended_in_return = !error || error == asio::error::eof || error == asio::ssl::error::stream_truncated;
      if (ended_in_return && !connection->fatal_alert) in_flight_.Clear();
    } else {
      connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
      while (!connection->broken && !abandoned_ && NowUs() < until) co_await Wait(NowUs() + 1000);
      if (connection->broken && connection->error_text.empty()) in_flight_.Clear();
      if (!connection->broken) in_flight_.SetUnacknowledged(UnacknowledgedOctets());
    }
  }

  // Reads until the connection ends. A collector sends no data of its own (RFC 7011 10.4), so all data is discarded.
  static asio::awaitable<void> ReadUntilClosed(std::shared_ptr<Connection> connection, asio::steady_timer& wake_timer) {
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
    if (error == asio::error::operation_aborted) co_return;  // closed by this side, whose objects may be gone
    if (error != asio::error::eof) connection->error_text = error.message();
    connection->broken = true;
    wake_timer.cancel();
  }

  asio::awaitable<void> Connect() {
    while (!abandoned_ && !(stopping_ && spool_) && NowUs() < connection_state_.connect_at())
      co_await Wait(connection_state_.connect_at());
    if (abandoned_ || (stopping_ && spool_)) co_return;
    connection_state_.OnConnecting(NowUs());
    error_code error;
    error_text_.clear();
    const asio::ip::address address = asio::ip::address_v4(settings_.address.host);
    if (settings_.transport == Transport::kUdp) {
      error_code ignored;
      udp_.close(ignored);
      udp_.open(udp::v4(), error);
      if (!error) udp_.connect({address, settings_.address.port}, error);
      last_datagram_records_.clear();
    } else {
      const tcp::endpoint endpoint(address, settings_.address.port);
      connection_ = std::make_shared<Connection>(context_);
      co_await connection_->socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
      if (!error && settings_.transport == Transport::kTls) co_await Handshake(&error);
    }
    if (abandoned_) co_return;
    if (error) {
      if (error_text_.empty()) error_text_ = error.message();
      HandleDisconnect();
      co_return;
    }
    if (connection_ != nullptr) {
      // A small send buffer limits how many records are in doubt when the connection breaks.
      error_code ignored;
      connection_->socket.set_option(asio::socket_base::send_buffer_size(kSendBufferOctets), ignored);
      connection_->socket.set_option(tcp::no_delay(true), ignored);
      // Owned by the context; ends when the connection is closed.
      asio::co_spawn(context_, ReadUntilClosed(connection_, wake_timer_), asio::detached);
    }
    connection_state_.OnConnected(NowUs());
    send_queue_octets_ = 0;
    if (on_event_) on_event_(NameOf(settings_), "reached");
    // Templates and sequence numbers start anew with each transport session (RFC 7011 8).
    if (settings_.transport != Transport::kUdp) encoder_.SetSequenceNumber(0);
    templates_sent_at_ = 0;
  }

  asio::awaitable<void> Handshake(error_code* error) {
    std::string fault;
    if (tls_keys_.HasChanged() && !tls_keys_.Load(&fault)) error_text_ = fault;
    const auto certificate_expiry = tls_keys_.certificate_expiry();
    if (error_text_.empty() && certificate_expiry && static_cast<std::int64_t>(WallMs() / 1000) >= *certificate_expiry)
      error_text_ = "certificate " + settings_.tls.certificate + ": has expired";
    if (tls_keys_.context() == nullptr || !error_text_.empty()) {
      *error = asio::error::no_permission;
      co_return;
    }
    const std::shared_ptr<Connection> connection = connection_;
    connection->tls_context = tls_keys_.context();
    connection->tls.emplace(connection->socket, *connection->tls_context);
    SSL* native = connection->tls->native_handle();
    SSL_set_ex_data(native, ConnectionIndex(), connection.get());
    SSL_set_info_callback(native, RecordFatalAlert);
    tls_keys_.SetExpectedPeer(native, asio::ip::address_v4(settings_.address.host).to_string());
    co_await connection->tls->async_handshake(asio::ssl::stream_base::client,
                                              asio::redirect_error(asio::use_awaitable, *error));
    if (*error) {
      if (error_text_.empty()) error_text_ = TlsKeys::DescribeFailure(native, *error);
    } else {
      connection->certificate_expiry = TlsKeys::PeerCertificateExpiry(native);
    }
  }

  // Drops the connection. Unacknowledged records are queued again in their order, marked as possibly repeated.
  void DropConnection() {
    error_code ignored;
    if (connection_ != nullptr) {
      if (connection_->socket.is_open() && connection_state_.IsConfirmed(NowUs()))
        in_flight_.SetUnacknowledged(UnacknowledgedOctets());
      connection_->socket.close(ignored);
    }
    connection_.reset();
    std::vector<FlowRecord> unacknowledged = in_flight_.TakeUnacknowledged();
    resent_ += unacknowledged.size();
    sent_ -= unacknowledged.size();
    RequeueAsPossiblyRepeated(std::move(unacknowledged));
  }

  void RequeueAsPossiblyRepeated(std::vector<FlowRecord> records) {
    std::array<std::vector<FlowRecord>, kRecordKinds> by_rank;
    for (FlowRecord& record : records) {
      record.replay = Replay::kPossiblyRepeated;
      by_rank[RankOf(record.kind)].push_back(record);
    }
    for (std::size_t rank = 0; rank < kRecordKinds; ++rank) backlog_.PutBack(rank, by_rank[rank]);
  }

  void HandleDisconnect() {
    const bool was_up = connection_state_.phase() == ConnectionState::Phase::kUp;
    DropConnection();
    connection_state_.OnDisconnected(NowUs());
    if (was_up) down_since_ = NowUs();
    last_error_ = (was_up ? "lost: " : "not reached: ") +
                  (error_text_.empty() ? std::string("closed by the collector") : error_text_);
    error_text_.clear();
    ReportEvent(last_error_);
  }

  void SpillIfDue(std::uint64_t now) {
    const bool up = connection_state_.phase() == ConnectionState::Phase::kUp;
    SpillToDisk(catch_up_.RecordsToSpill(up, up ? 0 : now - down_since_, backlog_.size(), backlog_.max_records()), now);
  }

  // Writes records to disk, the oldest of the least important rank first, since the most important ones are sent
  // soonest.
  void SpillToDisk(std::size_t records, std::uint64_t now) {
    for (std::size_t rank = kRecordKinds; rank-- > 0 && records > 0;) {
      while (records > 0 && spool_->IsWritable(now)) {
        std::vector<FlowRecord> batch = backlog_.TakeOldest(rank, std::min(records, Spool::kMaxFrameRecords));
        if (batch.empty()) break;
        if (!spool_->Write(rank, batch, now)) {
          backlog_.PutBack(rank, batch);
          ReportEvent("spool " + settings_.spool->folder + ": " + spool_->last_error().message());
          return;
        }
        records -= batch.size();
      }
    }
  }

  // End of the coroutine: records that were not sent go to the spool, if there is one.
  void SpoolRemaining() {
    if (connection_ != nullptr) DropConnection();
    if (!spool_) return;
    SpillToDisk(backlog_.size(), NowUs());
    spool_->Close();
  }

  bool AreTemplatesDue() const {
    if (templates_sent_at_ == 0) return true;
    return settings_.transport == Transport::kUdp &&
           NowUs() - templates_sent_at_ >= settings_.template_refresh_interval_us;
  }

  // Sends the next message. Returns false if there is nothing to send yet.
  asio::awaitable<bool> SendNextMessage() {
    if (AreTemplatesDue()) {
      if (backlog_.size() == 0 && !counts_due_ && templates_sent_at_ != 0) co_return false;
      encoder_.BeginMessage();
      encoder_.AddTemplates();
      bool sent = co_await SendMessage({});
      for (std::size_t next = 0; sent && next < encoder_.element_type_count();) {
        encoder_.BeginMessage();
        next = encoder_.AddElementTypes(next);
        sent = co_await SendMessage({});
      }
      if (!sent) co_return true;
      templates_sent_at_ = NowUs();
    }
    const bool live = backlog_.size() > 0 || counts_due_;
    const CatchUpScheduler::Next next = catch_up_.ChooseNext(live, spool_ && spool_->Front() != nullptr, NowUs());
    if (next == CatchUpScheduler::Next::kNothing) co_return false;
    encoder_.BeginMessage();
    std::vector<FlowRecord> records;
    if (next == CatchUpScheduler::Next::kSpool) {
      while (const FlowRecord* record = spool_->Front()) {
        if (!encoder_.AddRecord(*record)) break;
        records.push_back(*record);
        spool_->Pop();
      }
      catch_up_.OnSpoolSent(records.size());
    } else {
      if (counts_due_) AddCounts();
      counts_due_ = false;
      while (const FlowRecord* record = backlog_.Front()) {
        if (!encoder_.AddRecord(*record)) break;
        records.push_back(*record);
        backlog_.Pop();
      }
    }
    if (encoder_.empty()) co_return false;
    co_await SendMessage(std::move(records));
    co_return true;
  }

  void AddCounts() {
    std::uint64_t spool_lost = 0;
    if (spool_) spool_lost = spool_->counters().dropped_full + spool_->counters().damaged;
    encoder_.AddCounts({sent_, ring_.dropped() + backlog_.dropped() + spool_lost + send_failed_, ring_.dropped(),
                        backlog_.dropped(), spool_lost, send_failed_});
    if (exporter_settings_.sample_one_in > 1) encoder_.AddSamples(sample_counts_);
  }

  asio::awaitable<bool> SendMessage(std::vector<FlowRecord> records) {
    const std::string& message = encoder_.FinishMessage(static_cast<std::uint32_t>(WallMs() / 1000),
                                                        static_cast<std::uint32_t>((NowUs() - started_at_) / 1000));
    const std::size_t count = records.size();
    error_code error;
    if (settings_.transport == Transport::kUdp) {
      udp_.send(asio::buffer(message), 0, error);
      if (error) {
        // The kernel reports here that the previous datagram was refused (ICMP); this one was not sent at all.
        sent_ -= last_datagram_records_.size();
        last_datagram_records_.insert(last_datagram_records_.end(), records.begin(), records.end());
        resent_ += last_datagram_records_.size();
        RequeueAsPossiblyRepeated(std::move(last_datagram_records_));
        last_datagram_records_.clear();
        error_text_ = error.message();
        HandleDisconnect();
        co_return false;
      }
      last_datagram_records_ = std::move(records);
    } else {
      const std::shared_ptr<Connection> connection = connection_;
      std::size_t at = 0;
      connection_state_.OnWriteStarted(NowUs());
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
      in_flight_.AddSent(message.size(), std::move(records));
      if (error) {
        if (abandoned_) co_return false;  // closed by this side
        // A part of this message may have been sent, but none of it is certain to be acknowledged. The collector's last
        // data, which may say why it closed the connection, can still be read.
        for (int i = 0; i < kFinalReadTimeoutMs && connection->reading && !abandoned_; ++i)
          co_await Wait(NowUs() + 1000);
        if (error_text_.empty())
          error_text_ = connection->error_text.empty() ? error.message() : connection->error_text;
        HandleDisconnect();
        co_return false;
      }
      UpdateAcknowledged(NowUs());
      ++messages_;
      co_return true;
    }
    sent_ += count;
    ++messages_;
    co_return true;
  }

  asio::io_context& context_;
  const ExporterSettings& exporter_settings_;
  const CollectorSettings& settings_;
  const Ring& ring_;
  const Exporter::OnEvent& on_event_;
  Backlog backlog_;
  ConnectionState connection_state_;
  CatchUpScheduler catch_up_;
  InFlight in_flight_;
  std::optional<Spool> spool_;
  TlsKeys tls_keys_;
  udp::socket udp_;
  std::shared_ptr<Connection> connection_;  // over TCP and TLS, while connected or connecting
  asio::steady_timer wake_timer_;
  std::uint64_t started_at_, down_since_;
  Encoder encoder_;
  SampleCounts sample_counts_;
  std::uint64_t templates_sent_at_ = 0, next_certificate_check_ = 0, taken_ = 0, sent_ = 0, send_failed_ = 0,
                resent_ = 0, messages_ = 0;
  std::size_t send_queue_octets_ = 0;              // send queue of the kernel when last read
  std::vector<FlowRecord> last_datagram_records_;  // over UDP, records of the previous datagram
  std::string error_text_, last_error_;
  bool stopping_ = false, abandoned_ = false, done_ = false, counts_due_ = false, replacement_due_ = false,
       writing_ = false;
};

}  // namespace

// The exporter's thread: empties the ring, sums attempts by trunk group and runs the session of each collector.
class Exporter::Worker {
 public:
  Worker(const ExporterSettings& settings, Ring* ring, core::Disk* disk, OnEvent on_event)
      : settings_(settings), ring_(ring), on_event_(std::move(on_event)), poll_timer_(context_) {
    std::uint64_t seed = settings.seed;
    for (const CollectorSettings& collector : settings_.collectors)
      collectors_.push_back(std::make_unique<CollectorSession>(context_, settings_, collector, *ring_, disk, on_event_,
                                                               ++seed * 0x9e3779b97f4a7c15U));
    sums_started_at_ = WallMs();
    sums_due_ = NowUs() + settings_.group_interval_us;
    counts_due_ = NowUs() + settings_.counts_interval_us;
    PublishMetrics();
  }

  void Run() {
    // Owned by this context; they do not outlive it.
    for (const auto& collector : collectors_) asio::co_spawn(context_, collector->Run(), asio::detached);
    Poll();
    context_.run();
    PublishMetrics();
  }
  void Stop() { stop_.store(true); }
  std::vector<CollectorMetrics> Metrics() const {
    const std::lock_guard lock(mutex_);
    return metrics_;
  }

 private:
  void Poll() {
    const std::uint64_t now = NowUs();
    const bool stopping = stop_.load();
    FlowRecord record;
    std::size_t taken = 0;
    while (taken < kMaxRecordsPerPoll && ring_->Pop(&record)) {
      ++taken;
      if (record.kind == RecordKind::kAttempt) AddToGroupSums(record);
      if (!IsSelected(record)) continue;
      for (const auto& collector : collectors_) collector->Push(record);
    }
    const bool last = stopping && taken < kMaxRecordsPerPoll;
    if (now >= sums_due_ || (last && !stopped_at_)) QueueGroupSums(now);
    if (now >= counts_due_ || (last && !stopped_at_)) {
      counts_due_ = now + settings_.counts_interval_us;
      for (const auto& collector : collectors_) collector->ScheduleCounts(sample_counts_);
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
    if (now >= published_at_ + 50'000) PublishMetrics();
    if (stopped_at_) {
      const bool done = std::all_of(collectors_.begin(), collectors_.end(), [](const auto& c) { return c->done(); });
      if (done) return;
      if (now >= *stopped_at_ + settings_.shutdown_timeout_us) {
        for (const auto& collector : collectors_) collector->Abandon();
        return;
      }
    }
    poll_timer_.expires_after(std::chrono::microseconds(taken >= kMaxRecordsPerPoll ? 0 : settings_.poll_interval_us));
    poll_timer_.async_wait([this](const error_code& error) {
      if (!error) Poll();
    });
  }

  // Hash-based flow selection (RFC 7014 5.2): the hash of the call selects all attempts and intervals of a call or
  // none. Call records are always exported.
  bool IsSelected(const FlowRecord& record) {
    if (settings_.sample_one_in <= 1 || (record.kind != RecordKind::kAttempt && record.kind != RecordKind::kInterval))
      return true;
    ++sample_counts_.observed;
    std::uint64_t hash = (record.call + 0x9e3779b97f4a7c15U) * 0xbf58476d1ce4e5b9U;
    hash ^= hash >> 32U;
    if (hash % settings_.sample_one_in != 0) return false;
    ++sample_counts_.selected;
    return true;
  }

  void AddToGroupSums(const FlowRecord& record) {
    if (sums_.size() >= kMaxGroups && sums_.count(record.destination) == 0) return;
    FlowRecord& sum = sums_[record.destination];
    const auto outcome = static_cast<Outcome>(record.outcome);
    ++sum.sent;
    if (record.set_up_delay_us > 0) {
      ++sum.established;
    } else if (outcome == Outcome::kRejected) {
      ++sum.rejected;
    } else if (record.outcome < kOutcomeCount && outcome != Outcome::kCancelled && outcome != Outcome::kOk) {
      ++sum.lost;
    }
  }

  void QueueGroupSums(std::uint64_t now) {
    const std::uint64_t wall = WallMs();
    for (auto& [group, sum] : sums_) {
      sum.kind = RecordKind::kGroup;
      sum.exchange = settings_.exchange;
      sum.destination = group;
      sum.start_ms = sums_started_at_;
      sum.end_ms = wall;
      for (const auto& collector : collectors_) collector->Push(sum);
    }
    sums_.clear();
    sums_started_at_ = wall;
    sums_due_ = now + settings_.group_interval_us;
  }

  void PublishMetrics() {
    published_at_ = NowUs();
    const std::lock_guard lock(mutex_);
    metrics_.clear();
    for (const auto& collector : collectors_) metrics_.push_back(collector->Metrics());
  }

  ExporterSettings settings_;
  Ring* ring_;
  OnEvent on_event_;
  SampleCounts sample_counts_;
  asio::io_context context_{1};
  asio::steady_timer poll_timer_;
  std::vector<std::unique_ptr<CollectorSession>> collectors_;
  std::map<std::int32_t, FlowRecord> sums_;
  std::uint64_t sums_started_at_ = 0, sums_due_ = 0, counts_due_ = 0, published_at_ = 0;
  std::optional<std::uint64_t> stopped_at_;
  std::atomic<bool> stop_{false};
  mutable std::mutex mutex_;
  std::vector<CollectorMetrics> metrics_;
};

Exporter::Exporter(const ExporterSettings& settings, Ring* ring, core::Disk* disk, OnEvent on_event)
    : worker_(std::make_unique<Worker>(settings, ring, disk, std::move(on_event))),
      thread_([this] { worker_->Run(); }) {}

Exporter::~Exporter() { Stop(); }

void Exporter::Stop() {
  worker_->Stop();
  if (thread_.joinable()) thread_.join();
}

std::vector<CollectorMetrics> Exporter::Metrics() const { return worker_->Metrics(); }

}  // namespace croftrun::flow
