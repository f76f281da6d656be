#include "lab/soak/fault_proxy.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <system_error>

#include "runtime/endpoints.h"

namespace croftrun::lab::soak {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kBacklog = 256;
// Connections by which the proxy fills a backlog of one: one is queued in it, the others wait for a place.
constexpr int kFillers = 3;
// How often a pump that must not forward data checks whether it may again.
constexpr std::chrono::milliseconds kForwardingPollInterval{5};
// Data that was delayed by more than this was held back by a fault.
constexpr TimeUs kDelayThreshold = 4'000;
constexpr std::size_t kMaxPieceOctets = 40;
constexpr int kMaxPieceGapMs = 8;

enum class Side : std::uint8_t { kDownstream, kUpstream };

void ResetSocket(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// One connection through the proxy.
struct FaultProxy::Pair {
  Pair(asio::io_context& context, tcp::socket accepted)
      : downstream(std::move(accepted)), upstream(context), last_activity(Clock::now()) {}
  tcp::socket downstream, upstream;
  Clock::time_point last_activity;
  TimeUs delay = 0;                // of the data last forwarded upstream
  std::size_t delayed_octets = 0;  // unread octets at the end of a stall, which had the same delay
  std::uint16_t upstream_port = 0;
  bool upstream_forgotten = false;  // the upstream side has ended without notice to the downstream side
  bool closed = false;
  FaultProxy* proxy = nullptr;  // null once the proxy has been destroyed

  void RecordDelay(std::size_t octets, TimeUs time) {
    if (delayed_octets > 0) {
      delayed_octets -= std::min(delayed_octets, octets);
      return;
    }
    delay = time;
    error_code ignored;
    if (time > kDelayThreshold) delayed_octets = downstream.available(ignored);
  }
  void Reset() {
    if (closed) return;
    closed = true;
    ResetSocket(downstream);
    ResetSocket(upstream);
  }
  void Close() {
    if (closed) return;
    closed = true;
    error_code ignored;
    downstream.close(ignored);
    upstream.close(ignored);
  }
  bool MayForward(Side from) const {
    if (proxy == nullptr || proxy->host_lost_) return false;
    return from == Side::kDownstream ? proxy->forwarding_.to_upstream : proxy->forwarding_.to_downstream;
  }
};

namespace {

// Waits until data from `from` may be forwarded, or the pair is closed.
template <typename Pair>
asio::awaitable<void> WaitUntilForwarding(std::shared_ptr<Pair> pair, Side from, asio::steady_timer& timer) {
  error_code ignored;
  while (!pair->closed && pair->proxy != nullptr && !pair->MayForward(from)) {
    timer.expires_after(kForwardingPollInterval);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

template <typename Pair>
asio::awaitable<void> WriteInPieces(std::shared_ptr<Pair> pair, tcp::socket& to, const char* data, std::size_t size,
                                    std::mt19937_64& random, asio::steady_timer& timer) {
  error_code error;
  while (size > 0 && !pair->closed) {
    const std::size_t piece = std::min<std::size_t>(size, 1 + random() % kMaxPieceOctets);
    co_await asio::async_write(to, asio::buffer(data, piece), asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    data += piece;
    size -= piece;
    timer.expires_after(std::chrono::milliseconds(random() % kMaxPieceGapMs));
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

// Forwards one direction of a connection until it ends.
template <typename Pair>
asio::awaitable<void> Pump(std::shared_ptr<Pair> pair, Side from_side, std::uint64_t seed, const bool* trickle) {
  tcp::socket& from = from_side == Side::kDownstream ? pair->downstream : pair->upstream;
  tcp::socket& to = from_side == Side::kDownstream ? pair->upstream : pair->downstream;
  std::array<char, 8192> octets{};
  std::mt19937_64 random(seed);
  asio::steady_timer timer(from.get_executor());
  error_code error;
  while (!pair->closed) {
    const std::size_t got =
        co_await from.async_read_some(asio::buffer(octets), asio::redirect_error(asio::use_awaitable, error));
    if (pair->closed) co_return;
    const Clock::time_point arrived = Clock::now();
    co_await WaitUntilForwarding(pair, from_side, timer);
    if (from_side == Side::kDownstream) {
      const auto delay =
          static_cast<TimeUs>(std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - arrived).count());
      pair->RecordDelay(got, delay);
    }
    if (pair->closed || pair->proxy == nullptr) co_return pair->Close();
    if (pair->upstream_forgotten) {
      // The upstream host has no state of this connection any more, so it answers any data with a reset.
      if (from_side == Side::kDownstream) pair->Reset();
      co_return;
    }
    if (error == asio::error::eof) {
      error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      if (!from.is_open() || !to.is_open()) pair->Close();
      co_return;
    }
    if (error) co_return pair->Reset();
    pair->last_activity = Clock::now();
    if (*trickle) {
      co_await WriteInPieces(pair, to, octets.data(), got, random, timer);
    } else {
      co_await asio::async_write(to, asio::buffer(octets.data(), got),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
  }
}

}  // namespace

FaultProxy::FaultProxy(asio::io_context* context, const core::Address& listen, const core::Address& upstream,
                       std::uint64_t seed)
    : context_(context),
      listen_(runtime::EndpointOf<tcp>(listen)),
      upstream_(runtime::EndpointOf<tcp>(upstream)),
      random_(seed),
      delay_timer_(*context) {
  Listen();
}

FaultProxy::~FaultProxy() {
  for (const auto& pair : pairs_) {
    pair->proxy = nullptr;
    pair->Reset();
  }
}

void FaultProxy::Listen() {
  acceptor_ = std::make_unique<tcp::acceptor>(*context_);
  acceptor_->open(tcp::v4());
  acceptor_->set_option(asio::socket_base::reuse_address(true));
  error_code error;
  acceptor_->bind(listen_, error);
  if (error)
    throw std::system_error(error.value(), std::system_category(), core::ToString(runtime::AddressOf(listen_)));
  acceptor_->listen(kBacklog);
  Accept();
}

void FaultProxy::Accept() {
  acceptor_->async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) return;  // the acceptor was closed
    if (IsBlocked()) {
      // The connection opened just as the fault began: nothing is forwarded on it.
      fillers_.push_back(std::move(socket));
      return;
    }
    Accept();
    char octet = 0;
    if (::recv(socket.native_handle(), &octet, 1, MSG_DONTWAIT | MSG_PEEK) == 0) return;  // a filler, or closed already
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto pair = std::make_shared<Pair>(*context_, std::move(socket));
    pair->proxy = this;
    std::erase_if(pairs_, [](const auto& old) { return old->closed; });
    pairs_.push_back(pair);
    pair->upstream.async_connect(upstream_, [this, pair](const error_code& failed) {
      if (pair->closed || pair->proxy == nullptr) return;
      if (failed) return pair->Reset();
      error_code none;
      pair->upstream.set_option(tcp::no_delay(true), none);
      pair->upstream_port = pair->upstream.local_endpoint(none).port();
      asio::co_spawn(*context_, Pump(pair, Side::kDownstream, random_(), &trickle_), asio::detached);
      asio::co_spawn(*context_, Pump(pair, Side::kUpstream, random_(), &trickle_), asio::detached);
    });
  });
}

void FaultProxy::FillBacklog() {
  if (acceptor_ == nullptr || !fillers_.empty()) return;
  error_code ignored;
  acceptor_->cancel(ignored);
  ::listen(acceptor_->native_handle(), 0);
  for (int i = 0; i < kFillers; ++i) {
    tcp::socket& filler = fillers_.emplace_back(*context_);
    filler.open(tcp::v4(), ignored);
    filler.non_blocking(true, ignored);
    // The connection stays in progress or waits in the backlog; it is not meant to complete.
    static_cast<void>(::connect(filler.native_handle(), listen_.data(), static_cast<socklen_t>(listen_.size())));
  }
}

void FaultProxy::FreeBacklog() {
  if (fillers_.empty() || IsBlocked()) return;
  fillers_.clear();
  if (acceptor_ == nullptr) return;
  ::listen(acceptor_->native_handle(), kBacklog);
  Accept();
}

void FaultProxy::SetForwarding(Forwarding forwarding) {
  forwarding_ = forwarding;
  if (IsBlocked()) {
    FillBacklog();
  } else {
    FreeBacklog();
  }
}

void FaultProxy::LoseHost() {
  host_lost_ = true;
  for (const auto& pair : pairs_) {
    // The upstream side is reset; the downstream side stays open, and nothing is read from it.
    pair->upstream_forgotten = true;
    ResetSocket(pair->upstream);
  }
  FillBacklog();
}

void FaultProxy::RestoreHost() {
  host_lost_ = false;
  FreeBacklog();
}

void FaultProxy::SetRefusing(bool refuse) {
  if (refuse == refusing_) return;
  refusing_ = refuse;
  if (refuse) {
    fillers_.clear();
    acceptor_.reset();
  } else {
    Listen();
    if (IsBlocked()) FillBacklog();
  }
}

void FaultProxy::ResetAll() {
  if (host_lost_) return;                                // a lost host sends no reset
  if (!forwarding_.to_downstream) return ForgetIdle(0);  // the reset does not get through: a later write finds out
  for (const auto& pair : pairs_) pair->Reset();
  pairs_.clear();
}

TimeUs FaultProxy::DelayOf(std::uint16_t upstream_port) const {
  const auto found = std::find_if(pairs_.begin(), pairs_.end(),
                                  [upstream_port](const auto& pair) { return pair->upstream_port == upstream_port; });
  return found == pairs_.end() ? 0 : (*found)->delay;
}

void FaultProxy::CloseIdle(TimeUs idle) {
  if (host_lost_) return;
  if (!forwarding_.to_downstream) return ForgetIdle(idle);
  for (const auto& pair : pairs_) {
    if (Clock::now() - pair->last_activity >= std::chrono::microseconds(idle)) pair->Close();
  }
}

void FaultProxy::ForgetIdle(TimeUs idle) {
  for (const auto& pair : pairs_) {
    if (pair->closed || Clock::now() - pair->last_activity < std::chrono::microseconds(idle)) continue;
    pair->upstream_forgotten = true;
    ResetSocket(pair->upstream);
  }
}

void FaultProxy::DelayConnections(TimeUs time) {
  delaying_connections_ = true;
  FillBacklog();
  delay_timer_.expires_after(std::chrono::microseconds(time));
  delay_timer_.async_wait([this](const error_code& cancelled) {
    if (cancelled) return;
    delaying_connections_ = false;
    FreeBacklog();
  });
}

void FaultProxy::HalfCloseAll() {
  if (host_lost_ || !forwarding_.to_downstream) return;
  error_code ignored;
  for (const auto& pair : pairs_) {
    if (!pair->closed) pair->downstream.shutdown(tcp::socket::shutdown_send, ignored);
  }
}

}  // namespace croftrun::lab::soak
