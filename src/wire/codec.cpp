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

constexpr std::uint8_t kMarkRedialled = 2;
constexpr std::uint8_t kMarkTransit = 8;
constexpr std::uint8_t kMarkCut = 16;

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

std::uint32_t Clip32(std::uint64_t value) {
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(value < kMost ? value : kMost);
}

// Whole numbers travel as floats; anything that is not a small one means "none".
int NumberOf(float value) {
  return std::isfinite(value) && value >= 0.0F && value <= 65535.0F ? static_cast<int>(value) : -1;
}

[[noreturn]] void Malformed(std::size_t where, const std::string& what) {
  throw MalformedFrame("byte " + std::to_string(where) + " of the records: " + what);
}

}  // namespace

void DirectoryLists::Set(std::uint32_t ref, std::vector<DirectoryEntry> entries) { lists_[ref] = std::move(entries); }

const std::vector<DirectoryEntry>& DirectoryLists::Get(std::uint32_t ref, std::size_t where) const {
  const auto found = lists_.find(ref);
  if (found == lists_.end()) Malformed(where, "list " + std::to_string(ref) + " was never defined");
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
  if (size > kLargestBatch) throw MalformedFrame("batch size " + std::to_string(size) + " is over the limit");
  header.records_size = size - static_cast<std::uint32_t>(sizeof(std::uint32_t));
  return header;
}

BatchReader::BatchReader(std::string_view records, std::uint32_t record_count, DirectoryLists* lists)
    : bytes_(records), left_(record_count), lists_(lists) {}

std::string_view BatchReader::TakeBytes(std::size_t size) {
  if (size > bytes_.size() - at_) Malformed(at_, "record is truncated");
  const auto taken = bytes_.substr(at_, size);
  at_ += size;
  return taken;
}

template <typename T>
T BatchReader::Take() {
  return Decode<T>(TakeBytes(sizeof(T)));
}

float BatchReader::TakeFloat() { return std::bit_cast<float>(Take<std::uint32_t>()); }

std::vector<float> BatchReader::TakeReport() {
  const auto count = Take<std::uint8_t>();
  std::vector<float> report;
  report.reserve(count);
  for (int i = 0; i < count; ++i) report.push_back(TakeFloat());
  return report;
}

DirectoryEntry BatchReader::TakeEntry() {
  DirectoryEntry entry;
  entry.exchange = Take<std::uint32_t>();
  entry.zone = Take<std::uint8_t>();
  entry.kind = Take<std::uint8_t>();
  entry.number = Take<std::uint16_t>();
  const std::size_t where = at_;
  const auto status = Take<std::uint8_t>();
  if (status > 2) Malformed(where, "unknown readiness " + std::to_string(status));
  entry.status = static_cast<ExchangeStatus>(status);
  entry.rating = TakeFloat();
  entry.since_us = Take<std::uint64_t>();
  return entry;
}

Outcome BatchReader::TakeOutcome() {
  const std::size_t where = at_;
  const auto code = Take<std::uint16_t>();
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
      Malformed(where, "unknown outcome " + std::to_string(code));
  }
}

bool BatchReader::Next(Record* record) {
  while (true) {
    if (left_ == 0) {
      if (at_ != bytes_.size()) Malformed(at_, "bytes follow the last record");
      return false;
    }
    --left_;
    const std::size_t start = at_;
    const auto code = Take<std::uint8_t>();
    if (static_cast<EventCode>(code) == EventCode::kDirectory) {
      const auto ref = Take<std::uint32_t>();
      if (ref >= kMostLists) Malformed(start, "list number " + std::to_string(ref) + " is out of range");
      const auto count = Take<std::uint32_t>();
      std::vector<DirectoryEntry> entries;
      for (std::uint32_t i = 0; i < count; ++i) entries.push_back(TakeEntry());
      lists_->Set(ref, std::move(entries));
      continue;
    }
    record->instance = Take<std::uint32_t>();
    switch (static_cast<EventCode>(code)) {
      case EventCode::kTopology: {
        DirectoryUpdate update;
        const std::size_t where = at_;
        const auto kind = Take<std::uint8_t>();
        const auto ref = Take<std::uint32_t>();
        update.version = Take<std::uint32_t>();
        if (kind > 3) Malformed(where, "unknown list kind " + std::to_string(kind));
        update.kind = static_cast<DirectoryKind>(kind);
        if (update.kind != DirectoryKind::kFailed) update.entries = lists_->Get(ref, where);
        record->body = Event(std::move(update));
        return true;
      }
      case EventCode::kElapsed:
        record->body = Event(TimerExpired{Take<std::uint64_t>()});
        return true;
      case EventCode::kProvision: {
        Provision provision;
        provision.seed = Take<std::uint64_t>();
        provision.settings = TakeBytes(Take<std::uint32_t>());
        record->body = std::move(provision);
        return true;
      }
      case EventCode::kEcho: {
        LoadReportReceived heard;
        heard.exchange = Take<std::uint32_t>();
        heard.elapsed_us = Take<std::uint32_t>();
        heard.outcome = TakeOutcome();
        heard.report = TakeReport();
        record->body = Event(std::move(heard));
        return true;
      }
      case EventCode::kHeard:
        Take<std::uint16_t>();
        TakeBytes(Take<std::uint16_t>());
        record->body = Ignored{};
        return true;
      case EventCode::kAsk: {
        CallOffered call;
        call.call = Take<std::uint32_t>();
        call.call_class = Take<std::uint16_t>();
        call.customer = static_cast<int>(Take<std::uint32_t>() & 0x7fffffffU);
        call.number_called = Take<std::uint64_t>();
        call.budget_us = Take<std::uint32_t>();
        Take<std::uint32_t>();  // predicted work: no use is made of it
        call.destination = NumberOf(TakeFloat());
        call.width = static_cast<double>(TakeFloat());
        call.via = NumberOf(TakeFloat());
        const auto marks = Take<std::uint8_t>();
        call.is_redial = (marks & kMarkRedialled) != 0;
        call.in_transit = (marks & kMarkTransit) != 0;
        call.previously_cut = (marks & kMarkCut) != 0;
        record->body = Event(call);
        return true;
      }
      case EventCode::kGone:
        record->body = Event(CallAbandoned{Take<std::uint32_t>()});
        return true;
      case EventCode::kDetach:
        record->body = Detach{};
        return true;
      case EventCode::kEnded: {
        AttemptEnded ended;
        ended.call = Take<std::uint32_t>();
        ended.exchange = Take<std::uint32_t>();
        const auto why = Take<std::uint32_t>();
        switch (why & 15U) {
          case 1:
            ended.cause = RejectCause::kNoCircuit;
            break;
          case 2:
            ended.cause = (why & 16U) != 0 ? RejectCause::kCrankbackProcessorFull : RejectCause::kCrankback;
            break;
          case 3:
            ended.cause = RejectCause::kProcessorFull;
            ended.wait_us = TimeUs{why >> 4U} * 1000U;
            break;
          case 4:
            ended.cause = RejectCause::kLinesBusy;
            break;
          default:
            ended.cause = RejectCause::kNone;
            break;
        }
        ended.attempt = Take<std::uint16_t>();
        ended.elapsed_us = Take<std::uint32_t>();
        ended.outcome = TakeOutcome();
        ended.terminal = Take<std::uint8_t>() != 0;
        ended.report = TakeReport();
        record->body = Event(std::move(ended));
        return true;
      }
      case EventCode::kAckFirst: {
        CallEstablished stands;
        stands.call = Take<std::uint32_t>();
        stands.exchange = Take<std::uint32_t>();
        stands.attempt = Take<std::uint16_t>();
        stands.elapsed_us = Take<std::uint32_t>();
        record->body = Event(stands);
        return true;
      }
      default:
        Malformed(start, "unknown record code " + std::to_string(code));
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
      [&](const auto& act) {
        using T = std::decay_t<decltype(act)>;
        if constexpr (std::is_same_v<T, SendSetUp>) {
          begin(ActionCode::kForward);
          Append(&records_, act.call);
          Append(&records_, std::min(Clip32(act.timeout_us), 0x7fffffffU));
          Append(&records_, act.exchange);
        } else if constexpr (std::is_same_v<T, CancelSetUp>) {
          begin(ActionCode::kRetract);
          Append(&records_, act.call);
          Append(&records_, static_cast<std::uint16_t>(act.attempt));
        } else if constexpr (std::is_same_v<T, SendProbe>) {
          begin(ActionCode::kPoll);
          Append(&records_, act.exchange);
        } else if constexpr (std::is_same_v<T, RefuseCall>) {
          begin(ActionCode::kOverloadReply);
          Append(&records_, act.call);
          Append(&records_, Clip32(act.retry_after_us));
        } else if constexpr (std::is_same_v<T, FailCall>) {
          begin(ActionCode::kReportFailure);
          Append(&records_, act.call);
        } else if constexpr (std::is_same_v<T, SetTimer>) {
          begin(ActionCode::kDefer);
          Append(&records_, Clip32(act.delay_us));
          Append(&records_, act.token);
        } else if constexpr (std::is_same_v<T, FetchDirectory>) {
          begin(ActionCode::kListAll);
        } else if constexpr (std::is_same_v<T, SubscribeDirectory>) {
          begin(ActionCode::kListen);
          Append(&records_, static_cast<std::uint8_t>(act.enabled ? 1 : 0));
        } else {
          static_assert(std::is_same_v<T, WriteLog>);
          begin(ActionCode::kJournalLine);
          AppendText(&records_, act.text);
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
