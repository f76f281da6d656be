#include "wire/codec.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstring>
#include <limits>
#include <type_traits>
#include <utility>

namespace croftrun::wire {
namespace {

enum class EventCode : std::uint8_t {
  kTopology = 16,
  kElapsed = 17,
  kProvision = 18,
  kEcho = 19,
  kHeard = 20,
  kAsk = 21,
  kGone = 22,
  kDetach = 23,
  kEnded = 24,
  kAckFirst = 25,
  kDirectory = 26,
};

enum class ActionCode : std::uint8_t {
  kPoll = 16,
  kRetract = 18,
  kBailOut = 20,
  kForward = 21,
  kReportFailure = 22,
  kDefer = 23,
  kListAll = 24,
  kListen = 25,
  kOverloadReply = 26,
  kJournalLine = 27,
};

constexpr std::uint8_t kFlagRedial = 2;
constexpr std::uint8_t kFlagInTransit = 8;
constexpr std::uint8_t kFlagPreviouslyCut = 16;

template <typename T>
T Decode(std::string_view bytes) {
  static_assert(std::is_unsigned_v<T>);
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value = static_cast<T>(value | static_cast<T>(static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i)));
  }
  return value;
}

template <typename T>
void Append(std::string* out, T value) {
  static_assert(std::is_unsigned_v<T>);
  for (std::size_t i = 0; i < sizeof(T); ++i) out->push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

void AppendText(std::string* out, std::string_view text) {
  text = text.substr(0, std::numeric_limits<std::uint16_t>::max());
  Append(out, static_cast<std::uint16_t>(text.size()));
  out->append(text);
}

std::uint32_t ClampTo32Bits(std::uint64_t value) {
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(value < kMax ? value : kMax);
}

// Converts a number that is encoded as a float; anything but a small non-negative number means "none".
int ParseNumber(float value) {
  return std::isfinite(value) && value >= 0.0F && value <= 65535.0F ? static_cast<int>(value) : -1;
}

[[noreturn]] void ThrowMalformed(std::size_t where, const std::string& what) {
  throw MalformedFrame("byte " + std::to_string(where) + " of the records: " + what);
}

}  // namespace

void DirectoryLists::Set(std::uint32_t ref, std::vector<DirectoryEntry> entries) { lists_[ref] = std::move(entries); }

const std::vector<DirectoryEntry>& DirectoryLists::Get(std::uint32_t ref, std::size_t where) const {
  const auto found = lists_.find(ref);
  if (found == lists_.end()) ThrowMalformed(where, "list " + std::to_string(ref) + " was never defined");
  return found->second;
}

BatchHeader DecodeBatchHeader(std::string_view bytes) {
  if (bytes.size() < kBatchHeaderSize) throw MalformedFrame("batch header is truncated");
  BatchHeader header;
  header.number = Decode<std::uint32_t>(bytes.substr(0));
  header.clock_us = Decode<std::uint64_t>(bytes.substr(4));
  const auto size = Decode<std::uint32_t>(bytes.substr(12));
  header.record_count = Decode<std::uint32_t>(bytes.substr(16));
  if (size < sizeof(std::uint32_t)) throw MalformedFrame("batch size is below that of its record count");
  if (size > kMaxBatchSize) throw MalformedFrame("batch size " + std::to_string(size) + " is over the limit");
  header.records_size = size - static_cast<std::uint32_t>(sizeof(std::uint32_t));
  return header;
}

BatchReader::BatchReader(std::string_view records, std::uint32_t record_count, DirectoryLists* lists)
    : bytes_(records), remaining_(record_count), lists_(lists) {}

std::string_view BatchReader::ReadBytes(std::size_t size) {
  if (size > bytes_.size() - position_) ThrowMalformed(position_, "record is truncated");
  const auto taken = bytes_.substr(position_, size);
  position_ += size;
  return taken;
}

template <typename T>
T BatchReader::Read() {
  return Decode<T>(ReadBytes(sizeof(T)));
}

float BatchReader::ReadFloat() { return std::bit_cast<float>(Read<std::uint32_t>()); }

std::vector<float> BatchReader::ReadReport() {
  const auto count = Read<std::uint8_t>();
  std::vector<float> report;
  report.reserve(count);
  for (int i = 0; i < count; ++i) report.push_back(ReadFloat());
  return report;
}

DirectoryEntry BatchReader::ReadEntry() {
  DirectoryEntry entry;
  entry.exchange = Read<std::uint32_t>();
  entry.zone = Read<std::uint8_t>();
  entry.kind = Read<std::uint8_t>();
  entry.number = Read<std::uint16_t>();
  const std::size_t where = position_;
  const auto status = Read<std::uint8_t>();
  if (status > 2) ThrowMalformed(where, "unknown readiness " + std::to_string(status));
  entry.status = static_cast<ExchangeStatus>(status);
  entry.capacity_rating = ReadFloat();
  entry.started_at_us = Read<std::uint64_t>();
  return entry;
}

Outcome BatchReader::ReadOutcome() {
  const std::size_t where = position_;
  const auto code = Read<std::uint16_t>();
  switch (code) {
    case 200:
      return Outcome::kOk;
    case 502:
      return Outcome::kError;
    case 429:
      return Outcome::kRejected;
    case 408:
      return Outcome::kTimeout;
    case 521:
      return Outcome::kConnectFailed;
    case 520:
      return Outcome::kReset;
    case 444:
      return Outcome::kCancelled;
    case 409:
      return Outcome::kNotSent;
    default:
      ThrowMalformed(where, "unknown outcome " + std::to_string(code));
  }
}

bool BatchReader::Next(Record* record) {
  while (true) {
    if (remaining_ == 0) {
      if (position_ != bytes_.size()) ThrowMalformed(position_, "bytes follow the last record");
      return false;
    }
    --remaining_;
    const std::size_t start = position_;
    const auto code = Read<std::uint8_t>();
    if (static_cast<EventCode>(code) == EventCode::kDirectory) {
      const auto ref = Read<std::uint32_t>();
      if (ref >= kMaxLists) ThrowMalformed(start, "list number " + std::to_string(ref) + " is out of range");
      const auto count = Read<std::uint32_t>();
      std::vector<DirectoryEntry> entries;
      for (std::uint32_t i = 0; i < count; ++i) entries.push_back(ReadEntry());
      lists_->Set(ref, std::move(entries));
      continue;
    }
    record->instance = Read<std::uint32_t>();
    switch (static_cast<EventCode>(code)) {
      case EventCode::kTopology: {
        DirectoryUpdate update;
        const std::size_t where = position_;
        const auto kind = Read<std::uint8_t>();
        const auto ref = Read<std::uint32_t>();
        update.version = Read<std::uint32_t>();
        if (kind > 3) ThrowMalformed(where, "unknown list kind " + std::to_string(kind));
        update.kind = static_cast<DirectoryKind>(kind);
        if (update.kind != DirectoryKind::kFailed) update.entries = lists_->Get(ref, where);
        record->body = Event(std::move(update));
        return true;
      }
      case EventCode::kElapsed:
        record->body = Event(TimerExpired{Read<std::uint64_t>()});
        return true;
      case EventCode::kProvision: {
        Provision provision;
        provision.seed = Read<std::uint64_t>();
        provision.settings = ReadBytes(Read<std::uint32_t>());
        record->body = std::move(provision);
        return true;
      }
      case EventCode::kEcho: {
        LoadReportReceived received;
        received.exchange = Read<std::uint32_t>();
        received.elapsed_us = Read<std::uint32_t>();
        received.outcome = ReadOutcome();
        received.report = ReadReport();
        record->body = Event(std::move(received));
        return true;
      }
      case EventCode::kHeard:
        Read<std::uint16_t>();
        ReadBytes(Read<std::uint16_t>());
        record->body = Ignored{};
        return true;
      case EventCode::kAsk: {
        CallOffered call;
        call.call = Read<std::uint32_t>();
        call.call_class = Read<std::uint16_t>();
        call.customer = static_cast<int>(Read<std::uint32_t>() & 0x7fffffffU);
        call.number_called = Read<std::uint64_t>();
        call.budget_us = Read<std::uint32_t>();
        Read<std::uint32_t>();  // predicted work, not used
        call.destination = ParseNumber(ReadFloat());
        call.width = static_cast<double>(ReadFloat());
        call.via = ParseNumber(ReadFloat());
        const auto flags = Read<std::uint8_t>();
        call.is_redial = (flags & kFlagRedial) != 0;
        call.in_transit = (flags & kFlagInTransit) != 0;
        call.was_disconnected = (flags & kFlagPreviouslyCut) != 0;
        record->body = Event(call);
        return true;
      }
      case EventCode::kGone:
        record->body = Event(CallAbandoned{Read<std::uint32_t>()});
        return true;
      case EventCode::kDetach:
        record->body = Detach{};
        return true;
      case EventCode::kEnded: {
        AttemptEnded ended;
        ended.call = Read<std::uint32_t>();
        ended.exchange = Read<std::uint32_t>();
        const auto reason = Read<std::uint32_t>();
        switch (reason & 15U) {
          case 1:
            ended.cause = RejectCause::kNoCircuit;
            break;
          case 2:
            ended.cause = (reason & 16U) != 0 ? RejectCause::kCrankbackProcessorFull : RejectCause::kCrankback;
            break;
          case 3:
            ended.cause = RejectCause::kProcessorFull;
            ended.wait_us = TimeUs{reason >> 4U} * 1000U;
            break;
          case 4:
            ended.cause = RejectCause::kLinesBusy;
            break;
          default:
            ended.cause = RejectCause::kNone;
            break;
        }
        ended.attempt = Read<std::uint16_t>();
        ended.elapsed_us = Read<std::uint32_t>();
        ended.outcome = ReadOutcome();
        ended.terminal = Read<std::uint8_t>() != 0;
        ended.report = ReadReport();
        record->body = Event(std::move(ended));
        return true;
      }
      case EventCode::kAckFirst: {
        CallEstablished established;
        established.call = Read<std::uint32_t>();
        established.exchange = Read<std::uint32_t>();
        established.attempt = Read<std::uint16_t>();
        established.elapsed_us = Read<std::uint32_t>();
        record->body = Event(established);
        return true;
      }
      default:
        ThrowMalformed(start, "unknown record code " + std::to_string(code));
    }
  }
}

void ReplyWriter::Add(std::uint32_t instance, const Action& action) {
  const auto begin = [&](ActionCode code) {
    ++count_;
    Append(&records_, static_cast<std::uint8_t>(code));
    Append(&records_, instance);
  };
  std::visit(
      [&](const auto& typed_action) {
        using T = std::decay_t<decltype(typed_action)>;
        if constexpr (std::is_same_v<T, SendSetUp>) {
          begin(ActionCode::kForward);
          Append(&records_, typed_action.call);
          Append(&records_, std::min(ClampTo32Bits(typed_action.timeout_us), 0x7fffffffU));
          Append(&records_, typed_action.exchange);
        } else if constexpr (std::is_same_v<T, CancelSetUp>) {
          begin(ActionCode::kRetract);
          Append(&records_, typed_action.call);
          Append(&records_, static_cast<std::uint16_t>(typed_action.attempt));
        } else if constexpr (std::is_same_v<T, SendProbe>) {
          begin(ActionCode::kPoll);
          Append(&records_, typed_action.exchange);
        } else if constexpr (std::is_same_v<T, RefuseCall>) {
          begin(ActionCode::kOverloadReply);
          Append(&records_, typed_action.call);
          Append(&records_, ClampTo32Bits(typed_action.retry_after_us));
        } else if constexpr (std::is_same_v<T, FailCall>) {
          begin(ActionCode::kReportFailure);
          Append(&records_, typed_action.call);
        } else if constexpr (std::is_same_v<T, SetTimer>) {
          begin(ActionCode::kDefer);
          Append(&records_, ClampTo32Bits(typed_action.delay_us));
          Append(&records_, typed_action.token);
        } else if constexpr (std::is_same_v<T, FetchDirectory>) {
          begin(ActionCode::kListAll);
        } else if constexpr (std::is_same_v<T, SubscribeDirectory>) {
          begin(ActionCode::kListen);
          Append(&records_, static_cast<std::uint8_t>(typed_action.enabled ? 1 : 0));
        } else {
          static_assert(std::is_same_v<T, WriteLog>);
          begin(ActionCode::kJournalLine);
          AppendText(&records_, typed_action.text);
        }
      },
      action);
}

void ReplyWriter::AddBailOut(std::uint32_t instance, std::string_view text) {
  ++count_;
  Append(&records_, static_cast<std::uint8_t>(ActionCode::kBailOut));
  Append(&records_, instance);
  AppendText(&records_, text);
}

std::string ReplyWriter::Finish(std::uint32_t number) {
  std::string reply;
  Append(&reply, number);
  Append(&reply, count_);
  Append(&reply, static_cast<std::uint32_t>(records_.size()));
  reply += records_;
  records_.clear();
  count_ = 0;
  return reply;
}

}  // namespace croftrun::wire
