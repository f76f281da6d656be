// croftrun flow decode|report: prints or summarises flow records from a file of IPFIX messages (RFC 5655) or, for
// decode, as they are received.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "cli/commands.h"
#include "config/json_settings.h"
#include "flow/attempt_report.h"
#include "lab/collector.h"

namespace croftrun::cli {
namespace {

using flow::DecodedRecord;
using flow::FieldId;
using nlohmann::json;

constexpr std::size_t kMaxFileBytes = std::size_t{1} << 30U;

// Converts a record to JSON. Unknown elements are named by enterprise number and element number.
json ToJson(const DecodedRecord& record, std::uint32_t enterprise) {
  json out = {{"domain", record.observation_domain}, {"template", record.template_id}};
  for (const flow::DecodedField& field : record.fields) {
    flow::Element element;
    const bool v9_enterprise = field.enterprise == 0 && field.id > flow::kV9EnterpriseBase;
    const bool known =
        v9_enterprise ? flow::FindElement(enterprise, static_cast<std::uint16_t>(field.id - flow::kV9EnterpriseBase),
                                          enterprise, &element)
                      : flow::FindElement(field.enterprise, field.id, enterprise, &element);
    const std::string name =
        known ? std::string(element.name) : std::to_string(field.enterprise) + "/" + std::to_string(field.id);
    if (known && element.type == flow::DataType::kString) {
      const auto text = field.octets.substr(0, field.octets.find('\0'));
      std::string printable;
      for (const char c : text) printable += c >= ' ' && c <= '~' ? c : '?';
      out[name] = printable;
    } else if (known && element.type == flow::DataType::kBasicList) {
      out[name] = flow::ReadBasicList(field.octets);
    } else {
      out[name] = flow::ReadUnsigned(field.octets.substr(0, 8));
    }
  }
  return out;
}

// Calls `on_record` for each record of a file. Returns false, after printing the error, if the file is at fault.
bool ReadFlowFile(const std::string& file, const flow::Decoder::OnRecord& on_record) {
  std::vector<config::SettingsError> unread;
  const std::string content = config::ReadFile(file, kMaxFileBytes, &unread);
  if (!unread.empty()) {
    std::cerr << "croftrun: " << config::ToString(unread);
    return false;
  }
  flow::Decoder decoder;
  std::string_view rest = content;
  while (!rest.empty()) {
    const std::size_t length = flow::Decoder::NextMessageLength(rest);
    std::string error = "expected a whole IPFIX message, found other data or the end of the file";
    const bool is_complete = length > 1 && length <= rest.size();
    if (!is_complete || !decoder.DecodeMessage(rest.substr(0, length), on_record, &error)) {
      std::cerr << file << ": octet " << content.size() - rest.size() << ": " << error << "\n";
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
  std::ofstream copy;
  if (!options.out.empty()) {
    copy.open(options.out, std::ios::binary);
    if (!copy) {
      std::cerr << "cannot write " << options.out << "\n";
      return kCannotRun;
    }
    collector.OnMessage([&](std::string_view message) { copy << message; });
  }
  if (!options.certificate.empty()) collector.UseTls(options.certificate, options.key, options.authorities);
  const bool tcp = options.tcp || !options.certificate.empty();
  tcp ? collector.StartTcp(lab::Collector::Mode::kRead) : collector.StartUdp();
  std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
  collector.Stop();
  const auto& counters = collector.decoder().counters();
  std::fprintf(stderr, "%llu messages, %llu records, %llu lost, %llu malformed\n",
               static_cast<unsigned long long>(counters.messages), static_cast<unsigned long long>(records),
               static_cast<unsigned long long>(counters.lost), static_cast<unsigned long long>(counters.malformed));
  return counters.malformed == 0 ? kDone : kCheckFailed;
}

int ReportFlow(const FlowRun& options) {
  flow::AttemptReport report;
  if (!ReadFlowFile(options.from, [&](const DecodedRecord& record) { report.Add(record); })) return kBadInput;
  const std::uint64_t first = report.start_ms();
  const auto after_first = [&](double seconds) {
    return first + static_cast<std::uint64_t>(std::max(0.0, seconds) * 1000.0);
  };
  const std::uint64_t split = options.split_ms > 0 ? options.split_ms : after_first(options.split_s);
  const auto groups = report.SumByGroup(split, options.bin_ms);
  if (!options.svg.empty()) {
    flow::AttemptReport::Chart chart{options.title, options.bin_ms, {}};
    for (const std::string& mark : options.marks) {
      const std::size_t equals = mark.find('=');
      char* end = nullptr;
      const double seconds = std::strtod(mark.c_str(), &end);
      if (equals == std::string::npos || end != mark.c_str() + equals) {
        std::cerr << "--mark: expected SECONDS=TEXT, found \"" << mark << "\"\n";
        return kUsage;
      }
      chart.marks.emplace_back(after_first(seconds), mark.substr(equals + 1));
    }
    std::ofstream file(options.svg);
    file << report.RenderSvg(chart);
    if (!file.flush()) {
      std::cerr << "cannot write " << options.svg << "\n";
      return kCannotRun;
    }
  }
  if (options.json) {
    json out = {{"attempts", report.attempts()},
                {"repeated", report.repeated()},
                {"split_ms", split},
                {"groups", json::array()}};
    const auto part = [](const flow::AttemptReport::Sums& s) {
      return json{{"sent", s.sent()}, {"stood", s.direct + s.via_tandem}, {"by_way_of", s.via_tandem}};
    };
    for (const auto& g : groups)
      out["groups"].push_back(
          {{"exchange", g.exchange}, {"group", g.group}, {"before", part(g.before)}, {"after", part(g.after)}});
    std::cout << out.dump(1) << "\n";
    return kDone;
  }
  std::printf("%-8s %-8s %10s %10s %10s   %10s %10s %10s\n", "exchange", "group", "sent", "stood", "by way of", "sent",
              "stood", "by way of");
  for (const auto& g : groups) {
    const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf("%-8llu %-8llu %10llu %10llu %10llu   %10llu %10llu %10llu\n", n(g.exchange), n(g.group),
                n(g.before.sent()), n(g.before.direct + g.before.via_tandem), n(g.before.via_tandem), n(g.after.sent()),
                n(g.after.direct + g.after.via_tandem), n(g.after.via_tandem));
  }
  return kDone;
}

}  // namespace croftrun::cli
