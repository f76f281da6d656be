// croftrun flow decode|report: what flow records say, from a file of IPFIX messages (RFC 5655) or as they come.
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "cli/commands.h"
#include "config/json_settings.h"
#include "lab/collector.h"

namespace croftrun::cli {
namespace {

using flow::DecodedRecord;
using flow::Source;
using nlohmann::json;

constexpr std::size_t kMostBytes = std::size_t{1} << 30U;

// With the names that we know; others by number.
json ToJson(const DecodedRecord& record, std::uint32_t enterprise) {
  json out = {{"domain", record.domain}, {"template", record.template_id}};
  for (const flow::DecodedField& field : record.fields) {
    flow::Element element;
    const bool v9_own = field.enterprise == 0 && field.id > flow::kV9Own;
    const bool known = v9_own ? flow::FindElement(enterprise, static_cast<std::uint16_t>(field.id - flow::kV9Own), enterprise, &element)
                              : flow::FindElement(field.enterprise, field.id, enterprise, &element);
    const std::string name = known ? std::string(element.name) : std::to_string(field.enterprise) + "/" + std::to_string(field.id);
    if (known && element.type == flow::DataType::kString) {
      const auto text = field.octets.substr(0, field.octets.find('\0'));
      std::string printable;
      for (const char c : text) printable += c >= ' ' && c <= '~' ? c : '?';
      out[name] = printable;
    } else if (known && element.type == flow::DataType::kBasicList) {
      out[name] = flow::ListOf(field.octets);
    } else {
      out[name] = flow::UnsignedOf(field.octets.substr(0, 8));
    }
  }
  return out;
}

// Calls `on_record` for each record of a file. False: what is wrong was told.
bool ReadFlowFile(const std::string& file, const flow::Decoder::OnRecord& on_record) {
  std::vector<config::Mistake> unread;
  const std::string all = config::ReadFile(file, kMostBytes, &unread);
  if (!unread.empty()) {
    std::cerr << "croftrun: " << config::ToString(unread);
    return false;
  }
  flow::Decoder decoder;
  std::string_view rest = all;
  while (!rest.empty()) {
    const std::size_t length = flow::Decoder::LengthOfNext(rest);
    std::string error = "expected a message, found its end";
    const bool whole = length > 1 && length <= rest.size();
    if (!whole || !decoder.Message(rest.substr(0, length), on_record, &error)) {
      std::cerr << file << ": octet " << all.size() - rest.size() << ": " << error << "\n";
      return false;
    }
    rest.remove_prefix(length);
  }
  return true;
}

}  // namespace

int DecodeFlow(const FlowRun& options) {
  std::uint64_t records = 0;
  const auto print = [&](const DecodedRecord& record) {
    ++records;
    std::cout << ToJson(record, options.enterprise).dump() << "\n";
  };
  core::Address address;
  if (!core::ParseAddress(options.from, &address)) return ReadFlowFile(options.from, print) ? kDone : kBadInput;
  lab::Collector collector(address);
  collector.OnRecord(print);
  options.tcp ? collector.StartTcp(lab::Collector::Mode::kRead) : collector.StartUdp();
  std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
  collector.Stop();
  const auto& counters = collector.decoder().counters();
  std::fprintf(stderr, "%llu messages, %llu records, %llu lost, %llu malformed\n", static_cast<unsigned long long>(counters.messages),
               static_cast<unsigned long long>(records), static_cast<unsigned long long>(counters.lost),
               static_cast<unsigned long long>(counters.malformed));
  return counters.malformed == 0 ? kDone : kVerdictAgainst;
}

int ReportFlow(const FlowRun& options) {
  struct Sums {
    std::uint64_t sent = 0, stood = 0, tandem = 0;
  };
  // By group, before and from the time on.
  std::map<std::uint64_t, std::pair<Sums, Sums>> groups;
  const bool fine = ReadFlowFile(options.from, [&](const DecodedRecord& record) {
    if (record.template_id != flow::kAttemptTemplate) return;
    auto& [before, after] = groups[record.Number(Source::kGroupOut)];
    Sums& sums = record.Number(Source::kStart) < options.split_ms ? before : after;
    ++sums.sent;
    sums.stood += record.Number(Source::kSetUp) > 0 ? 1 : 0;
    sums.tandem += record.Number(Source::kTandem) == 1 ? 1 : 0;
  });
  if (!fine) return kBadInput;
  if (options.json) {
    json out = json::array();
    const auto part = [](const Sums& s) { return json{{"sent", s.sent}, {"stood", s.stood}, {"by_way_of", s.tandem}}; };
    for (const auto& [group, sums] : groups) out.push_back({{"group", group}, {"before", part(sums.first)}, {"after", part(sums.second)}});
    std::cout << out.dump(1) << "\n";
    return kDone;
  }
  std::printf("%-8s %10s %10s %10s   %10s %10s %10s\n", "group", "sent", "stood", "by way of", "sent", "stood", "by way of");
  for (const auto& [group, sums] : groups) {
    const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf("%-8llu %10llu %10llu %10llu   %10llu %10llu %10llu\n", n(group), n(sums.first.sent), n(sums.first.stood), n(sums.first.tandem),
                n(sums.second.sent), n(sums.second.stood), n(sums.second.tandem));
  }
  return kDone;
}

}  // namespace croftrun::cli
