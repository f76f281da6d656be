#include "lab/trace.h"

#include <pcap/pcap.h>

#include <array>
#include <stdexcept>

namespace croftrun::lab {

std::string FormatRecord(const TraceRecord& record) {
  nlohmann::json json = {{"t", record.at_us}};
  if (!record.fact.empty()) {
    json["fact"] = record.fact;
    json["figures"] = record.figures;
  } else {
    json["from"] = core::ToString(record.from);
    json["to"] = core::ToString(record.to);
    json["text"] = record.text;
  }
  return json.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

bool ParseRecord(std::string_view line, TraceRecord* record, std::string* error) {
  const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
  if (!json.is_object() || !json.contains("t") || !json.at("t").is_number_unsigned()) {
    *error = "expected a JSON object with a time in \"t\"";
    return false;
  }
  *record = {};
  record->at_us = json.at("t").get<TimeUs>();
  if (json.contains("fact") && json.at("fact").is_string()) {
    record->fact = json.at("fact").get<std::string>();
    record->figures = json.value("figures", nlohmann::json::object());
    return true;
  }
  for (const char* key : {"from", "to", "text"}) {
    if (!json.contains(key) || !json.at(key).is_string()) {
      *error = std::string("expected a string in \"") + key + "\"";
      return false;
    }
  }
  record->text = json.at("text").get<std::string>();
  if (!core::ParseAddress(json.at("from").get<std::string>(), &record->from) ||
      !core::ParseAddress(json.at("to").get<std::string>(), &record->to)) {
    *error = "expected addresses such as 127.0.0.1:2427 in \"from\" and \"to\"";
    return false;
  }
  return true;
}

Trace::~Trace() {
  if (file_ != nullptr) std::fclose(file_);
  if (dumper_ != nullptr) pcap_dump_close(dumper_);
  if (capture_ != nullptr) pcap_close(capture_);
}

void Trace::OpenTraceFile(const std::string& path) {
  file_ = std::fopen(path.c_str(), "w");
  if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
}

void Trace::OpenCaptureFile(const std::string& path) {
  capture_ = pcap_open_dead(DLT_RAW, 65535);
  dumper_ = capture_ == nullptr ? nullptr : pcap_dump_open(capture_, path.c_str());
  if (dumper_ == nullptr) throw std::runtime_error("cannot write " + path);
}

void Trace::WriteRecord(const TraceRecord& record) {
  if (file_ != nullptr) std::fprintf(file_, "%s\n", FormatRecord(record).c_str());
  if (record_handler_) record_handler_(record);
}

void Trace::RecordFact(std::string name, nlohmann::json figures) {
  TraceRecord record;
  record.at_us = runtime_->Now();
  record.fact = std::move(name);
  record.figures = std::move(figures);
  WriteRecord(record);
}

void Trace::RecordDatagram(const core::Address& from, const core::Address& to, std::string_view bytes) {
  ++datagrams_;
  TraceRecord record;
  record.at_us = runtime_->Now();
  record.from = from;
  record.to = to;
  record.text = bytes;
  if (file_ != nullptr || record_handler_) WriteRecord(record);
  if (dumper_ == nullptr) return;
  // Prepends IPv4 and UDP headers (RFC 791, RFC 768). Checksums are left at zero, as with checksum offloading.
  std::string packet(28, '\0');
  const auto put16 = [&packet](std::size_t at, std::size_t value) {
    packet[at] = static_cast<char>(value >> 8U & 255U);
    packet[at + 1] = static_cast<char>(value & 255U);
  };
  packet[0] = 0x45;
  put16(2, 28 + bytes.size());
  packet[8] = 64;
  packet[9] = 17;
  put16(12, from.host >> 16U);
  put16(14, from.host & 0xffffU);
  put16(16, to.host >> 16U);
  put16(18, to.host & 0xffffU);
  put16(20, from.port);
  put16(22, to.port);
  put16(24, 8 + bytes.size());
  packet += bytes;
  pcap_pkthdr header{};
  header.ts.tv_sec = static_cast<decltype(header.ts.tv_sec)>(record.at_us / 1'000'000);
  header.ts.tv_usec = static_cast<decltype(header.ts.tv_usec)>(record.at_us % 1'000'000);
  header.caplen = header.len = static_cast<bpf_u_int32>(packet.size());
  pcap_dump(reinterpret_cast<u_char*>(dumper_), &header, reinterpret_cast<const u_char*>(packet.data()));
}

}  // namespace croftrun::lab
