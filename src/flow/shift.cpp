#include "flow/shift.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

#include "core/format.h"

namespace croftrun::flow {
namespace {

using core::Print;

// Of the picture, in its own units.
constexpr int kLeft = 90, kRight = 20, kWide = 760, kTop = 66, kPanel = 74, kGap = 16, kBottom = 40;

std::string Escaped(const std::string& text) {
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

void Shift::Add(const DecodedRecord& record) {
  if (record.template_id != kAttemptTemplate) return;
  const std::array<std::uint64_t, 4> key = {record.Number(Source::kExchange), record.Number(Source::kCall),
                                            record.Number(Source::kAttemptNumber), record.Number(Source::kStart)};
  // Exchange, call, number and time of its start: a softswitch that starts anew counts its calls anew.
  const bool fresh = seen_.insert(XXH3_64bits(key.data(), sizeof key)).second;
  if (!fresh && record.Number(Source::kReplay) == static_cast<std::uint64_t>(Replay::kPossiblyRepeated)) {
    ++repeated_;
    return;
  }
  attempts_.push_back({key[0], record.Number(Source::kGroupOut), key[3], record.Number(Source::kSetUp) > 0,
                       record.Number(Source::kTandem) == 1});
}

std::uint64_t Shift::begins() const {
  std::uint64_t first = 0;
  for (const Attempt& attempt : attempts_) first = first == 0 ? attempt.start : std::min(first, attempt.start);
  return first;
}

std::vector<Shift::Group> Shift::Groups(std::uint64_t split_ms, std::uint64_t bin_ms) const {
  const std::uint64_t first = begins();
  std::uint64_t last = first;
  for (const Attempt& attempt : attempts_) last = std::max(last, attempt.start);
  const std::uint64_t wide = std::max<std::uint64_t>(1, bin_ms);
  const std::uint64_t bins = std::min(kMostBins, (last - first) / wide + 1);
  std::map<std::pair<std::uint64_t, std::uint64_t>, Group> groups;
  for (const Attempt& attempt : attempts_) {
    Group& group = groups[{attempt.exchange, attempt.group}];
    group.exchange = attempt.exchange;
    group.group = attempt.group;
    group.bins.resize(bins);
    Sums one;
    (!attempt.stood ? one.not_stood : attempt.tandem ? one.by_way_of : one.direct) = 1;
    (attempt.start < split_ms ? group.before : group.after).Add(one);
    if (const std::uint64_t bin = (attempt.start - first) / wide; bin < bins) group.bins[bin].Add(one);
  }
  std::vector<Group> list;
  for (auto& [key, group] : groups) list.push_back(std::move(group));
  return list;
}

std::string Shift::Svg(const Picture& picture) const {
  const std::vector<Group> groups = Groups(0, picture.bin_ms);
  const std::size_t bins = groups.empty() ? 1 : groups.front().bins.size();
  std::uint64_t most = 1;
  for (const Group& group : groups) {
    for (const Sums& sums : group.bins) most = std::max(most, sums.sent());
  }
  const int height = kTop + static_cast<int>(groups.size()) * (kPanel + kGap) + kBottom;
  const double step = static_cast<double>(kWide) / static_cast<double>(bins);
  std::string out;
  Print(
      &out,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"11\">\n",
      kLeft + kWide + kRight, height);
  Print(&out, "<rect width=\"%d\" height=\"%d\" fill=\"#ffffff\"/>\n", kLeft + kWide + kRight, height);
  out += "<text x=\"10\" y=\"20\" font-size=\"14\" font-weight=\"bold\">" + Escaped(picture.title) + "</text>\n";
  constexpr std::array<std::pair<const char*, const char*>, 3> kParts = {
      {{"#2b6cb0", "stood"}, {"#dd8a1f", "stood by way of a tandem"}, {"#b0b4ba", "did not stand"}}};
  int at = 10;
  for (const auto& [colour, name] : kParts) {
    Print(&out, "<rect x=\"%d\" y=\"32\" width=\"10\" height=\"10\" fill=\"%s\"/><text x=\"%d\" y=\"41\">%s</text>\n",
          at, colour, at + 14, name);
    at += 190;
  }
  int top = kTop;
  for (const Group& group : groups) {
    const int base = top + kPanel;
    Print(&out, "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%llu to %llu</text>\n", kLeft - 26, top + kPanel / 2 + 4,
          static_cast<unsigned long long>(group.exchange), static_cast<unsigned long long>(group.group));
    Print(&out,
          "<text x=\"%d\" y=\"%d\" text-anchor=\"end\" fill=\"#666\">%llu</text><text x=\"%d\" y=\"%d\" "
          "text-anchor=\"end\" fill=\"#666\">0</text>\n",
          kLeft - 4, top + 9, static_cast<unsigned long long>(most), kLeft - 4, base);
    Print(&out, "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"#f6f7f9\"/>\n", kLeft, top, kWide, kPanel);
    for (std::size_t i = 0; i < group.bins.size(); ++i) {
      const Sums& sums = group.bins[i];
      const std::array<std::uint64_t, 3> parts = {sums.direct, sums.by_way_of, sums.not_stood};
      double y = base;
      for (std::size_t part = 0; part < parts.size(); ++part) {
        if (parts[part] == 0) continue;
        const double tall = static_cast<double>(parts[part]) * kPanel / static_cast<double>(most);
        y -= tall;
        Print(&out, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>\n",
              kLeft + static_cast<double>(i) * step, y, std::max(0.5, step - 0.5), tall, kParts[part].first);
      }
    }
    top = base + kGap;
  }
  const std::uint64_t first = begins();
  const double span = static_cast<double>(bins * std::max<std::uint64_t>(1, picture.bin_ms));
  for (const auto& [when, what] : picture.marks) {
    if (when < first) continue;
    const double x = kLeft + static_cast<double>(when - first) / span * kWide;
    if (x > kLeft + kWide) continue;
    Print(&out, "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"#c53030\" stroke-dasharray=\"4 3\"/>\n", x,
          kTop - 6, x, top - kGap);
    Print(&out, "<text x=\"%.1f\" y=\"%d\" fill=\"#c53030\">", x + 3, kTop - 8);
    out += Escaped(what) + "</text>\n";
  }
  // Ticks at 1, 2 or 5 times a power of ten, ten at most.
  double every = 0.001;
  for (int i = 0; span / 1000.0 / every > 10.0; ++i) every *= i % 3 == 1 ? 2.5 : 2.0;
  for (double at_s = 0.0; at_s * 1000.0 <= span; at_s += every)
    Print(&out, "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\" fill=\"#666\">%.4g</text>\n",
          kLeft + at_s * 1000.0 / span * kWide, top - kGap + 14, at_s);
  Print(&out, "<text x=\"%d\" y=\"%d\" fill=\"#666\">seconds; attempts in %.3g s, by exchange and group</text>\n",
        kLeft, top - kGap + 30, static_cast<double>(picture.bin_ms) / 1000.0);
  out += "</svg>\n";
  return out;
}

}  // namespace croftrun::flow
