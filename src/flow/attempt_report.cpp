#include "flow/attempt_report.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

#include "core/format.h"

namespace croftrun::flow {
namespace {

using core::AppendFormat;

// Layout of the chart, in SVG user units.
constexpr int kLeft = 90, kRight = 20, kWidth = 760, kTop = 66, kPanelHeight = 74, kGap = 16, kBottom = 40;

// Escapes a text for SVG and drops characters that are not printable ASCII.
std::string EscapeText(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '&') {
      out += "&amp;";
    } else if (c >= ' ' && c <= '~') {
      out += c;
    }
  }
  return out;
}

}  // namespace

void AttemptReport::Add(const DecodedRecord& record) {
  if (record.template_id != kAttemptTemplate) return;
  const std::array<std::uint64_t, 4> key = {record.Number(FieldId::kExchange), record.Number(FieldId::kCall),
                                            record.Number(FieldId::kAttemptNumber), record.Number(FieldId::kStart)};
  // The start time is part of the key because call numbers start again when a softswitch restarts.
  const bool is_new = seen_attempts_.insert(XXH3_64bits(key.data(), sizeof key)).second;
  if (!is_new && record.Number(FieldId::kReplay) == static_cast<std::uint64_t>(Replay::kPossiblyRepeated)) {
    ++repeated_;
    return;
  }
  attempts_.push_back({key[0], record.Number(FieldId::kGroupOut), key[3], record.Number(FieldId::kSetUpDelay) > 0,
                       record.Number(FieldId::kViaTandem) == 1});
}

std::uint64_t AttemptReport::start_ms() const {
  std::uint64_t first = 0;
  for (const Attempt& attempt : attempts_) first = first == 0 ? attempt.start : std::min(first, attempt.start);
  return first;
}

std::vector<AttemptReport::Group> AttemptReport::SumByGroup(std::uint64_t split_ms, std::uint64_t bin_ms) const {
  const std::uint64_t first = start_ms();
  std::uint64_t last = first;
  for (const Attempt& attempt : attempts_) last = std::max(last, attempt.start);
  const std::uint64_t width_ms = std::max<std::uint64_t>(1, bin_ms);
  const std::uint64_t bins = std::min(kMaxBins, (last - first) / width_ms + 1);
  std::map<std::pair<std::uint64_t, std::uint64_t>, Group> groups;
  for (const Attempt& attempt : attempts_) {
    Group& group = groups[{attempt.exchange, attempt.group}];
    group.exchange = attempt.exchange;
    group.group = attempt.group;
    group.bins.resize(bins);
    Sums single;
    (!attempt.established ? single.not_established : attempt.tandem ? single.via_tandem : single.direct) = 1;
    (attempt.start < split_ms ? group.before : group.after).Add(single);
    if (const std::uint64_t bin = (attempt.start - first) / width_ms; bin < bins) group.bins[bin].Add(single);
  }
  std::vector<Group> list;
  for (auto& [key, group] : groups) list.push_back(std::move(group));
  return list;
}

std::string AttemptReport::RenderSvg(const Chart& chart) const {
  const std::vector<Group> groups = SumByGroup(0, chart.bin_ms);
  const std::size_t bins = groups.empty() ? 1 : groups.front().bins.size();
  std::uint64_t max_sent = 1;
  for (const Group& group : groups) {
    for (const Sums& sums : group.bins) max_sent = std::max(max_sent, sums.sent());
  }
  const int height = kTop + static_cast<int>(groups.size()) * (kPanelHeight + kGap) + kBottom;
  const double step = static_cast<double>(kWidth) / static_cast<double>(bins);
  std::string out;
  AppendFormat(
      &out,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"11\">\n",
      kLeft + kWidth + kRight, height);
  AppendFormat(&out, "<rect width=\"%d\" height=\"%d\" fill=\"#ffffff\"/>\n", kLeft + kWidth + kRight, height);
  out += "<text x=\"10\" y=\"20\" font-size=\"14\" font-weight=\"bold\">" + EscapeText(chart.title) + "</text>\n";
  constexpr std::array<std::pair<const char*, const char*>, 3> kParts = {
      {{"#2b6cb0", "stood"}, {"#dd8a1f", "stood by way of a tandem"}, {"#b0b4ba", "did not stand"}}};
  int legend_x = 10;
  for (const auto& [colour, name] : kParts) {
    AppendFormat(&out,
                 "<rect x=\"%d\" y=\"32\" width=\"10\" height=\"10\" fill=\"%s\"/><text x=\"%d\" y=\"41\">%s</text>\n",
                 legend_x, colour, legend_x + 14, name);
    legend_x += 190;
  }
  int top = kTop;
  for (const Group& group : groups) {
    const int base = top + kPanelHeight;
    AppendFormat(&out, "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%llu to %llu</text>\n", kLeft - 26,
                 top + kPanelHeight / 2 + 4, static_cast<unsigned long long>(group.exchange),
                 static_cast<unsigned long long>(group.group));
    AppendFormat(&out,
                 "<text x=\"%d\" y=\"%d\" text-anchor=\"end\" fill=\"#666\">%llu</text><text x=\"%d\" y=\"%d\" "
                 "text-anchor=\"end\" fill=\"#666\">0</text>\n",
                 kLeft - 4, top + 9, static_cast<unsigned long long>(max_sent), kLeft - 4, base);
    AppendFormat(&out, "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"#f6f7f9\"/>\n", kLeft, top, kWidth,
                 kPanelHeight);
    for (std::size_t i = 0; i < group.bins.size(); ++i) {
      const Sums& sums = group.bins[i];
      const std::array<std::uint64_t, 3> parts = {sums.direct, sums.via_tandem, sums.not_established};
      double y = base;
      for (std::size_t part = 0; part < parts.size(); ++part) {
        if (parts[part] == 0) continue;
        const double bar_height = static_cast<double>(parts[part]) * kPanelHeight / static_cast<double>(max_sent);
        y -= bar_height;
        AppendFormat(&out, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>\n",
                     kLeft + static_cast<double>(i) * step, y, std::max(0.5, step - 0.5), bar_height,
                     kParts[part].first);
      }
    }
    top = base + kGap;
  }
  const std::uint64_t first = start_ms();
  const double span_ms = static_cast<double>(bins * std::max<std::uint64_t>(1, chart.bin_ms));
  for (const auto& [when, what] : chart.marks) {
    if (when < first) continue;
    const double x = kLeft + static_cast<double>(when - first) / span_ms * kWidth;
    if (x > kLeft + kWidth) continue;
    AppendFormat(&out,
                 "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"#c53030\" stroke-dasharray=\"4 3\"/>\n", x,
                 kTop - 6, x, top - kGap);
    AppendFormat(&out, "<text x=\"%.1f\" y=\"%d\" fill=\"#c53030\">", x + 3, kTop - 8);
    out += EscapeText(what) + "</text>\n";
  }
  // Axis labels at multiples of 1, 2 or 5 times a power of ten, ten at most.
  double tick_s = 0.001;
  for (int i = 0; span_ms / 1000.0 / tick_s > 10.0; ++i) tick_s *= i % 3 == 1 ? 2.5 : 2.0;
  for (double at_s = 0.0; at_s * 1000.0 <= span_ms; at_s += tick_s)
    AppendFormat(&out, "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\" fill=\"#666\">%.4g</text>\n",
                 kLeft + at_s * 1000.0 / span_ms * kWidth, top - kGap + 14, at_s);
  AppendFormat(&out,
               "<text x=\"%d\" y=\"%d\" fill=\"#666\">seconds; attempts in %.3g s, by exchange and group</text>\n",
               kLeft, top - kGap + 30, static_cast<double>(chart.bin_ms) / 1000.0);
  out += "</svg>\n";
  return out;
}

}  // namespace croftrun::flow
