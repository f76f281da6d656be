#include "platform/caller_connections.h"

#include <algorithm>
#include <charconv>
#include <tuple>
#include <utility>

#include "core/number_plan.h"
#include "platform/causes.h"

namespace croftrun::platform {
namespace {

// A connection that brought nothing of use by then is closed, and one that began a line and did not end it.
constexpr TimeUs kUseWithin = 2'200'000;
constexpr TimeUs kSweepEvery = 200'000;
// For want of room a connection may go that brought nothing for this long: since its last use, or since it came.
constexpr TimeUs kIdleFor = 200'000, kSilentFor = 100'000;
// A connection on which nothing was said for this long is taken for a caller's that listens: a test comes at once.
constexpr TimeUs kListens = 500'000;
// At the end of the process a connection is left alone for so long after its last octets: what is just being sent on it
// would cross the close.
constexpr TimeUs kQuietBeforeClose = 50'000;
// Octets that wait for a caller who does not read.
constexpr std::size_t kMostPending = 256 << 10;
constexpr double kLongestPatienceMs = 600'000;

int RefusalCause(core::ReleaseCause cause) {
  return cause == core::ReleaseCause::kNoCircuit ? kNoCircuit : kCongestion;
}

// Hex digits as the number that they are; any other text as one that is equal for equal texts.
std::uint64_t KeyOf(const std::string& text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (error == std::errc() && end == text.data() + text.size()) return number;
  return core::NumberKey(text);
}

}  // namespace

class CallerConnections::Link final : public core::StreamHandler {
 public:
  Link(CallerConnections* owner, std::unique_ptr<core::Stream> s, TimeUs now, ConnectionNumber n)
      : stream(std::move(s)),
        number(n),
        host(stream->Remote().host),
        since(now),
        last_use(now),
        last_octets(now),
        owner_(owner) {}

  void OnBytes(std::string_view bytes) override {
    const bool had = reader.partial();
    last_octets = owner_->runtime_->Now();
    // Taking a line never ends the connection it came on, nor sends a call on: a later line may take it back.
    if (!reader.Feed(bytes, [this](std::string_view line) { return owner_->Take(this, line); })) {
      owner_->counters_.too_long += reader.too_long() ? 1 : 0;
      return owner_->Drop(this, ConnectionEnd::kClosedHere);
    }
    // A line that began before these octets and still goes on keeps its beginning.
    const bool went_on = had && reader.partial() && bytes.find('\n') == std::string_view::npos;
    if (!went_on) partial_since = owner_->runtime_->Now();
    if (brought_calls) owner_->TellPending(this);
    owner_->Begin(this);
  }
  void OnEnd(core::StreamEnd end) override {
    owner_->Drop(this, end == core::StreamEnd::kReset ? ConnectionEnd::kFarEndReset : ConnectionEnd::kFarEndClosed);
  }

  void Use() {
    of_use = true;
    last_use = owner_->runtime_->Now();
  }

  std::unique_ptr<core::Stream> stream;
  const ConnectionNumber number;
  const std::uint32_t host;
  const TimeUs since;
  TimeUs last_use;
  TimeUs last_octets;  // that came, or of a release that was written, which is acknowledged at once
  bool spoke = false;  // a whole line came
  TimeUs partial_since = 0;
  bool of_use = false, brought_calls = false;
  std::size_t set_ups = 0;                                  // open on it
  std::size_t standing = 0;                                 // calls that stand and were set up on it
  std::unordered_set<CallId> calls;                         // all of these
  std::vector<std::pair<CallId, core::CallRequest>> fresh;  // set-ups that are not offered to the core yet
  LineReader reader;
  Links::iterator place;

 private:
  CallerConnections* owner_;
};

CallerConnections::CallerConnections(const CallerSettings& settings, core::Runtime* runtime, core::Logger* log,
                                     core::CallCore* core, ExchangeConnections* exchange_connections)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      core_(core),
      exchange_connections_(exchange_connections),
      sweep_(runtime) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i)
    classes_.emplace(settings_.classes[i], static_cast<int>(i));
}

CallerConnections::~CallerConnections() = default;

void CallerConnections::Listen() {
  listener_ = runtime_->Listen(settings_.listen, this);
  sweep_.Start(kSweepEvery, [this] { Sweep(); });
}

bool CallerConnections::CanAccept() {
  if (links_.size() < settings_.most_links || Evict()) return true;
  ++counters_.links_waited;
  return false;
}

bool CallerConnections::HasLeft(CallId call) const {
  const auto found = calls_.find(call);
  return found != calls_.end() && found->second.link != nullptr && found->second.link->stream->PeerClosed();
}

core::StreamHandler* CallerConnections::OnAccept(std::unique_ptr<core::Stream> stream) {
  ++counters_.links;
  last_link_ = runtime_->Now();
  links_.push_back(std::make_unique<Link>(this, std::move(stream), runtime_->Now(), ++last_number_));
  Link* const link = links_.back().get();
  link->place = std::prev(links_.end());
  return link;
}

void CallerConnections::TellPending(Link* link) {
  if (!releases_.WaitsFor(link->host) || link->stream->PeerClosed()) return;
  for (const PendingRelease& release : releases_.TakeFor(link->host, link->number, runtime_->Now())) {
    counters_.end_waited_longest = std::max(counters_.end_waited_longest, runtime_->Now() - release.since);
    counters_.ends_told_again += release.tried.size() > 1 ? 1 : 0;
    LogCall("end-told", 0, release.id, "to " + core::ToString(link->stream->Remote()) + ", it waited");
    link->stream->Write(release.line);
    link->last_octets = runtime_->Now();
  }
}

bool CallerConnections::Take(Link* link, std::string_view line) {
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) return true;
  const auto message = ParseMessage(line);
  if (!message) {
    ++counters_.unreadable;
    return false;
  }
  link->spoke = true;
  const bool of_a_call = message->type == MessageType::kSetUp || message->type == MessageType::kRelease;
  if (of_a_call && message->id.empty()) {
    ++counters_.faulty;
    return false;
  }
  switch (message->type) {
    case MessageType::kSetUp:
      link->Use();
      return SetUp(link, *message);
    case MessageType::kRelease:
      Release(link, *message);
      return true;
    case MessageType::kTest:
      link->Use();
      ++counters_.tests;
      Send(link, {.type = MessageType::kTested, .id = message->id, .cause = 1});
      return true;
    case MessageType::kHeard:
      ++counters_.acknowledged;
      releases_.OnAcknowledged(link->host, message->id);
      return true;
    case MessageType::kWait:
    case MessageType::kTested:
    case MessageType::kGauge:
      return true;
    case MessageType::kAnswer:
    case MessageType::kOther:
      ++counters_.faulty;
      return false;
  }
  return false;
}

bool CallerConnections::SetUp(Link* link, const Message& message) {
  const std::string* const extras_text = message.Field("extras");
  const auto extras = ParseExtras(extras_text != nullptr ? *extras_text : std::string());
  if (const auto open = by_id_.find(message.id); open != by_id_.end()) {
    Held& held = calls_.at(open->second);
    if (extras && !extras->at.empty() && held.stands) return true;  // what is held already
    ++counters_.repeated_ids;
    // On its own connection an answer could not be told from that of the open one; on another the open one goes on.
    if (held.link == link) return false;
    Refuse(link, message.id, kInvalidContents);
    return true;
  }
  const std::string* const class_name = message.Field("class");
  const std::string* const left = message.Field("left");
  const std::string* const key = message.Field("key");
  const auto found = class_name != nullptr ? classes_.find(*class_name) : classes_.end();
  const auto patience = left != nullptr ? ParseNumber(*left, 0.0, kLongestPatienceMs) : std::nullopt;
  const bool adopts = extras && !extras->at.empty();
  if (!extras || found == classes_.end() || (!patience && !adopts) || !message.description) {
    ++counters_.faulty;
    Refuse(link, message.id, kInvalidContents);
    return true;
  }
  core::CallRequest offer;
  offer.calling = message.id;
  offer.called = key != nullptr ? *key : std::string();
  offer.key = key != nullptr ? KeyOf(*key) : 0;
  offer.call_class = found->second;
  offer.destination = extras->destination;
  offer.width = static_cast<std::size_t>(extras->width);
  offer.caller_timeout_us = static_cast<TimeUs>(patience.value_or(0.0) * 1000.0);
  offer.advised_tandem = extras->via;
  offer.in_transit = extras->transit;
  offer.previously_cut = extras->again;
  offer.is_redial = message.Field("retry") != nullptr;
  if (adopts) {
    Adopt(link, message, offer, extras->at);
    return true;
  }
  if (link->set_ups >= settings_.most_set_ups) {
    Refuse(link, message.id, kCongestion);
    return true;
  }
  offer.session = *message.description;
  link->brought_calls = true;
  ++counters_.set_ups;
  const CallId call = core_->Reserve();
  LogCall("call-taken", call, message.id, "from " + core::ToString(link->stream->Remote()));
  calls_.emplace(call, Held{message.id, link, link->host, false});
  by_id_.emplace(message.id, call);
  link->calls.insert(call);
  ++link->set_ups;
  ++unanswered_;
  link->fresh.emplace_back(call, std::move(offer));
  return true;
}

void CallerConnections::LogCall(std::string_view event, CallId call, std::string_view id, std::string_view detail) {
  if (!log_->IsEnabled(core::LogLevel::kDebug)) return;
  log_->Write(core::LogLevel::kDebug, event, call, std::string(id).append(", ").append(detail));
}

void CallerConnections::Begin(Link* link) {
  for (const auto& [call, offer] : std::exchange(link->fresh, {})) {
    if (calls_.count(call) > 0) core_->AcceptCall(offer, this, call);
  }
}

void CallerConnections::Adopt(Link* link, const Message& message, const core::CallRequest& offer,
                              const std::string& at) {
  const ExchangeId exchange = exchange_connections_->Find(at);
  const CallId call = exchange != 0 ? core_->AdoptCall(offer, this, exchange) : 0;
  if (call == 0) return Refuse(link, message.id, kTemporaryFailure);
  ++counters_.adopted;
  link->brought_calls = true;
  calls_.emplace(call, Held{message.id, link, link->host, true});
  link->calls.insert(call);
  ++link->standing;
  by_id_.emplace(message.id, call);
  exchange_connections_->Adopt(call, message.id, exchange);
}

void CallerConnections::Release(Link* link, const Message& message) {
  const auto open = by_id_.find(message.id);
  if (open != by_id_.end()) {
    const CallId call = open->second;
    const Held& held = calls_.at(call);
    // Who did not bring a set-up does not give it up.
    if (!held.stands && held.link != link) return;
    ++(held.stands ? counters_.released_by_caller : counters_.given_up);
    link->Use();
    link->brought_calls = true;
    const bool stood = held.stands;
    Forget(call);
    core_->HangUp(call);
    if (!stood) return;
  }
  Send(link, {.type = MessageType::kHeard, .id = message.id});
}

void CallerConnections::OnFinalAnswer(CallId call, const core::FinalAnswer& answer) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  Held& held = found->second;
  Link* const link = held.link;
  Message message{.type = MessageType::kRelease, .id = held.id};
  if (answer.kind == core::FinalKind::kEstablished) {
    ++counters_.answers;
    held.stands = true;
    --unanswered_;
    if (link != nullptr) {
      --link->set_ups;
      ++link->standing;
    }
    message.type = MessageType::kAnswer;
    message.description = std::string(answer.session);
  } else {
    const bool refused = answer.kind == core::FinalKind::kRefused;
    ++(refused ? counters_.refusals : counters_.failures);
    message.cause = refused ? RefusalCause(answer.cause) : kTemporaryFailure;
    if (answer.retry_after_us > 0) message.fields.emplace_back("wait", std::to_string(answer.retry_after_us / 1000));
    LogCall("call-answered", call, message.id, refused ? "refused" : "failed");
    Forget(call);
  }
  if (link != nullptr) Send(link, message);
}

void CallerConnections::OnCallEnded(CallId call, core::ReleaseCause cause) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  ++counters_.ended;
  const Held held = found->second;
  Forget(call);
  const int told = cause == core::ReleaseCause::kNormal ? kNormal : kTemporaryFailure;
  const Message message{.type = MessageType::kRelease, .id = held.id, .cause = told};
  const TimeUs now = runtime_->Now();
  PendingRelease release{.host = held.host, .id = held.id, .line = WriteMessage(message), .since = now};
  Link* link = held.link != nullptr && !held.link->stream->PeerClosed() ? held.link : AnyLink(held.host);
  if (link == nullptr) {
    LogCall("end-waits", call, held.id, "no connection of its caller");
    ++counters_.ends_without_link;
    return releases_.Wait(std::move(release));
  }
  LogCall("end-told", call, held.id, "to " + core::ToString(link->stream->Remote()));
  link->stream->Write(release.line);
  link->last_octets = now;
  releases_.Written(std::move(release), link->number, link == held.link ? ReadBy::kCaller : ReadBy::kHost, now);
}

// The connection of this caller that brought calls, the latest used; one that never did may be the front's, which only
// tests, or a stranger's from the same host.
CallerConnections::Link* CallerConnections::AnyLink(std::uint32_t host) {
  Link* best = nullptr;
  for (const auto& link : links_) {
    if (link->host != host || !link->brought_calls || link->stream->PeerClosed()) continue;
    if (best == nullptr || best->last_use <= link->last_use) best = link.get();
  }
  return best;
}

void CallerConnections::Forget(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const Held& held = found->second;
  if (!held.stands) --unanswered_;
  if (held.link != nullptr) {
    --(held.stands ? held.link->standing : held.link->set_ups);
    held.link->calls.erase(call);
  }
  by_id_.erase(found->second.id);
  calls_.erase(found);
}

void CallerConnections::Refuse(Link* link, const std::string& id, int cause) {
  Send(link, {.type = MessageType::kRelease, .id = id, .cause = cause});
}

void CallerConnections::Send(Link* link, const Message& message) { link->stream->Write(WriteMessage(message)); }

void CallerConnections::Drop(Link* link, ConnectionEnd end) {
  if (end == ConnectionEnd::kClosedHere && link->stream->PendingWriteOctets() > 0)
    end = ConnectionEnd::kClosedUnwritten;
  releases_.OnConnectionEnded(link->number, end, runtime_->Now());
  const std::uint32_t host = link->host;
  // Its calls first: what the core does about them must not find it any more.
  std::vector<CallId> given_up;
  for (const CallId call : link->calls) {
    Held& held = calls_.at(call);
    held.link = nullptr;
    if (!held.stands) given_up.push_back(call);
  }
  std::sort(given_up.begin(), given_up.end());
  links_.erase(link->place);
  // What it may have taken along is told on another connection of the caller, if there is one.
  if (Link* const other = releases_.WaitsFor(host) ? AnyLink(host) : nullptr) TellPending(other);
  for (const CallId call : given_up) {
    ++counters_.given_up;
    Forget(call);
    core_->HangUp(call);
  }
}

// The least useful connection: one that brought nothing though it had time to; else one without a call that stands, as
// the call's end may find no other connection of its caller; else the one longest idle. None on which a set-up is open,
// or may just be on its way here.
bool CallerConnections::Evict() {
  const TimeUs now = runtime_->Now();
  Link* worst = nullptr;
  for (const auto& link : links_) {
    if (link->set_ups > 0 || now < link->last_use + (link->of_use ? kIdleFor : kSilentFor)) continue;
    const auto rank = [](const Link& x) { return std::make_tuple(x.of_use, x.standing > 0, x.last_use); };
    if ((worst == nullptr || rank(*link) < rank(*worst)) && !link->stream->HasUnreadInput()) worst = link.get();
  }
  if (worst == nullptr) return false;
  ++counters_.links_evicted;
  LogCall("caller-connection-evicted", 0, core::ToString(worst->stream->Remote()),
          "calls that stood on it " + std::to_string(worst->standing));
  Drop(worst, ConnectionEnd::kClosedHere);
  return true;
}

std::unordered_set<const CallerConnections::Link*> CallerConnections::OnlyWays() {
  std::unordered_set<std::uint32_t> hosts;
  for (const auto& [call, held] : calls_) {
    if (held.stands && held.link == nullptr) hosts.insert(held.host);
  }
  std::unordered_set<const Link*> ways;
  for (const std::uint32_t host : hosts) ways.insert(AnyLink(host));
  return ways;
}

void CallerConnections::CloseIdle(bool all) {
  const TimeUs now = runtime_->Now();
  std::vector<Link*> idle;
  const std::unordered_set<const Link*> only_ways = OnlyWays();
  for (const auto& link : links_) {
    if (!all && only_ways.count(link.get()) > 0) continue;
    const bool nothing_open = link->set_ups == 0 && link->stream->PendingWriteOctets() == 0;
    if (!nothing_open || link->reader.partial() || link->stream->HasUnreadInput()) continue;
    const bool nothing_left = link->standing == 0 && now >= link->last_octets + kQuietBeforeClose;
    if (all || nothing_left) idle.push_back(link.get());
  }
  for (Link* const link : idle) Drop(link, ConnectionEnd::kClosedHere);
}

void CallerConnections::Sweep() {
  const TimeUs now = runtime_->Now();
  std::vector<Link*> closed;
  for (const auto& link : links_) {
    if (!link->of_use && now >= link->since + kUseWithin && !link->stream->HasUnreadInput()) {
      ++counters_.links_silent;
      closed.push_back(link.get());
    } else if ((link->set_ups == 0 && link->reader.partial() && now >= link->partial_since + kUseWithin) ||
               link->stream->PendingWriteOctets() > kMostPending) {
      // A line that does not end costs no answer that is owed: it is closed once none is.
      ++counters_.links_stuck;
      closed.push_back(link.get());
    }
  }
  // None of them ends another: what the core does about their calls writes on connections, and closes none.
  for (Link* const link : closed) Drop(link, ConnectionEnd::kClosedHere);
  counters_.ends_dropped += releases_.Expire(now);
  for (const auto& link : links_) {
    const bool listens = !link->spoke && !link->reader.partial() && now >= link->since + kListens;
    if (link->brought_calls || listens) TellPending(link.get());
  }
  sweep_.Start(kSweepEvery, [this] { Sweep(); });
}

}  // namespace croftrun::platform
