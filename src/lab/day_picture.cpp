#include "lab/day_picture.h"

#include <algorithm>
#include <functional>

#include "core/format.h"

namespace croftrun::lab {
namespace {

using core::Print;

constexpr double kLeft = 70, kWide = 820, kHigh = 150, kTop = 20;
// Groups drawn one by one; the fullest of a larger network.
constexpr std::size_t kMostGroups = 12;
constexpr const char* kColours[] = {"#1b6ca8", "#2e8b57", "#c0392b", "#8e44ad", "#b8860b", "#16a085", "#7f8c8d",
                                    "#d35400", "#34495e", "#27ae60", "#9b59b6", "#e67e22", "#2980b9"};

std::string Escaped(std::string_view text) {
  std::string out;
  for (const char c : text) out += c == '<' ? "&lt;" : c == '&' ? "&amp;" : c == '>' ? "&gt;" : std::string(1, c);
  return out;
}

struct Line {
  std::string name;
  std::vector<double> values;  // by bin; below 0: a gap
};

// One panel: the faults as bands behind, lines over time, its own scale.
void Panel(std::string* out, const std::string& title, const std::vector<Line>& lines,
           const std::vector<DayAccounts::Band>& bands, double seconds) {
  double most = 1e-9;
  for (const Line& line : lines) {
    for (const double value : line.values) most = std::max(most, value);
  }
  const auto x = [&](double s) { return kLeft + kWide * std::min(1.0, s / std::max(1e-9, seconds)); };
  const auto y = [&](double value) { return kTop + kHigh * (1.0 - value / most); };
  Print(out, "<h3>%s</h3>\n<svg viewBox=\"0 0 920 %.0f\" width=\"920\" role=\"img\">\n", Escaped(title).c_str(),
        kTop + kHigh + 40);
  std::size_t row = 0;
  for (const DayAccounts::Band& band : bands) {
    Print(out, "<rect x=\"%.1f\" y=\"%.0f\" width=\"%.1f\" height=\"%.0f\" fill=\"#f4d9a8\" opacity=\"0.5\"/>",
          x(band.from_s), kTop, std::max(1.0, x(band.to_s) - x(band.from_s)), kHigh);
    Print(out, "<text x=\"%.1f\" y=\"%.0f\" font-size=\"10\" fill=\"#8a5a00\">%s</text>\n", x(band.from_s) + 2,
          kTop + 10 + 11 * static_cast<double>(row++ % 4), Escaped(band.what).c_str());
  }
  Print(out, "<path d=\"M%.0f %.0fV%.0fH%.0f\" fill=\"none\" stroke=\"#444\"/>", kLeft, kTop, kTop + kHigh,
        kLeft + kWide);
  Print(out,
        "<text x=\"%.0f\" y=\"%.0f\" font-size=\"11\" text-anchor=\"end\">%.4g</text><text x=\"%.0f\" "
        "y=\"%.0f\" font-size=\"11\" text-anchor=\"end\">0</text>",
        kLeft - 4, kTop + 8, most, kLeft - 4, kTop + kHigh);
  for (int tick = 0; tick <= 6; ++tick) {
    const double s = seconds * tick / 6.0;
    Print(out, "<text x=\"%.1f\" y=\"%.0f\" font-size=\"11\" text-anchor=\"middle\">%.0f s</text>", x(s),
          kTop + kHigh + 14, s);
  }
  const double bin = static_cast<double>(DayAccounts::kBin) / 1e6;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const char* colour = kColours[i % std::size(kColours)];
    std::string path;
    bool gap = true;
    for (std::size_t b = 0; b < lines[i].values.size(); ++b) {
      if (lines[i].values[b] < 0.0) {
        gap = true;
        continue;
      }
      Print(&path, "%c%.1f %.1f", gap ? 'M' : 'L', x((static_cast<double>(b) + 0.5) * bin), y(lines[i].values[b]));
      gap = false;
    }
    *out += "<path d=\"" + path + "\" fill=\"none\" stroke=\"" + colour + "\" stroke-width=\"1.3\"/>\n";
    Print(out, "<text x=\"%.0f\" y=\"%.0f\" font-size=\"11\" fill=\"%s\">%s</text>\n",
          kLeft + 68.0 * static_cast<double>(i), kTop + kHigh + 30, colour, Escaped(lines[i].name).c_str());
  }
  *out += "</svg>\n";
}

}  // namespace

std::string DayPage(const Scenario& scenario, const DayAccounts& accounts, const reach::Bound& bound,
                    const RuleChecker& rules) {
  std::string out = "<!doctype html>\n<meta charset=\"utf-8\"><title>" + Escaped(scenario.name) +
                    "</title>\n<style>body{font:14px sans-serif;margin:2em;max-width:960px}td,th{padding:2px "
                    "10px;text-align:right}th:first-child,td:first-child{text-align:left}pre{background:#"
                    "f5f5f5;padding:1em}</style>\n";
  out += "<h1>" + Escaped(scenario.name) + "</h1>\n";
  Print(&out, "<p>%d exchanges, %d with a real edge, seed %llu, %.0f s.", scenario.exchanges, scenario.edges,
        static_cast<unsigned long long>(scenario.seed), static_cast<double>(scenario.length_us) / 1e6);
  const auto& ledgers = accounts.ledger().accounts();
  double served = 0.0;
  for (std::size_t i = 0; i < ledgers.size(); ++i) {
    const TrafficClass& c = scenario.classes[i];
    served += c.worth * (static_cast<double>(ledgers[i].in_time) + c.late_worth * static_cast<double>(ledgers[i].late));
  }
  if (bound.solved && bound.worth > 0.0)
    Print(&out, " Worth answered %.0f of %.0f offered; at most %.0f was within reach, of which %.3f was served.",
          served, bound.offered, bound.worth, served / bound.worth);
  out += "</p>\n<h2>Rules</h2>\n<pre>" + Escaped(rules.Summary()) + "</pre>\n";
  out += "<h2>Where the tries went</h2>\n<table><tr><th>class</th><th>tries</th><th>in time</th><th>late</th>";
  const reach::Account total = accounts.ledger().Total();
  for (std::size_t l = 0; l < reach::kLost; ++l) {
    if (total.lost[l] > 0) out += "<th>" + std::string(reach::Name(static_cast<reach::Lost>(l))) + "</th>";
  }
  out += "</tr>\n";
  const auto row = [&](const std::string& name, const reach::Account& a) {
    out += "<tr><td>" + Escaped(name) + "</td>";
    for (const std::uint64_t n : {a.tries, a.in_time, a.late}) out += "<td>" + std::to_string(n) + "</td>";
    for (std::size_t l = 0; l < reach::kLost; ++l) {
      if (total.lost[l] > 0) out += "<td>" + std::to_string(a.lost[l]) + "</td>";
    }
    out += "</tr>\n";
  };
  for (std::size_t i = 0; i < ledgers.size(); ++i) row(scenario.classes[i].name, ledgers[i]);
  row("all", total);
  out += "</table>\n";
  if (accounts.ledger().wasted() > 0) {
    out += "<h2>Plainly wasted</h2>\n<pre>";
    for (const std::string& each : accounts.ledger().examples()) out += Escaped(each) + "\n";
    out += "</pre>\n";
  }
  const auto& bins = accounts.bins();
  const double seconds = static_cast<double>(bins.size()) * static_cast<double>(DayAccounts::kBin) / 1e6;
  const double per_s = 1e6 / static_cast<double>(DayAccounts::kBin);
  const auto series = [&](const char* name, const std::function<double(const DayAccounts::Bin&)>& value) {
    Line line{name, {}};
    for (const auto& bin : bins) line.values.push_back(value(bin));
    return line;
  };
  const auto bands = accounts.bands();
  Panel(&out, "Calls a second",
        {series("offered", [&](const auto& b) { return static_cast<double>(b.offered) * per_s; }),
         series("stood", [&](const auto& b) { return static_cast<double>(b.stood) * per_s; }),
         series("refused", [&](const auto& b) { return static_cast<double>(b.refused) * per_s; }),
         series("failed", [&](const auto& b) { return static_cast<double>(b.failed) * per_s; })},
        bands, seconds);
  // The groups that were fullest over the day.
  std::map<std::pair<int, int>, double> fullness;
  for (const auto& bin : bins) {
    for (const auto& [pair, use] : bin.groups)
      fullness[pair] += static_cast<double>(use.first) / std::max(1U, use.second);
  }
  std::vector<std::pair<double, std::pair<int, int>>> order;
  for (const auto& [pair, sum] : fullness) order.emplace_back(-sum, pair);
  std::sort(order.begin(), order.end());
  if (order.size() > kMostGroups) order.resize(kMostGroups);
  std::vector<Line> groups, waits;
  for (const auto& [sum, pair] : order) {
    Line line{std::to_string(pair.first) + "-" + std::to_string(pair.second), {}};
    for (const auto& bin : bins) {
      const auto use = bin.groups.find(pair);
      line.values.push_back(
          use == bin.groups.end() ? -1.0 : static_cast<double>(use->second.first) / std::max(1U, use->second.second));
    }
    groups.push_back(std::move(line));
  }
  Panel(&out,
        fullness.size() > kMostGroups ? "Share of circuits in use, the fullest groups"
                                      : "Share of circuits in use, by group",
        groups, bands, seconds);
  const std::size_t drawn = std::min<std::size_t>(kMostGroups, static_cast<std::size_t>(scenario.exchanges));
  for (std::size_t i = 0; i < drawn; ++i) {
    Line line{std::to_string(i), {}};
    for (const auto& bin : bins) line.values.push_back(i < bin.waits_ms.size() ? bin.waits_ms[i] : -1.0);
    waits.push_back(std::move(line));
  }
  Panel(&out, "Wait of processors in ms, by exchange (a gap: down)", waits, bands, seconds);
  return out;
}

}  // namespace croftrun::lab
