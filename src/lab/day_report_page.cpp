#include "lab/day_report_page.h"

#include <algorithm>
#include <functional>

#include "core/format.h"

namespace croftrun::lab {
namespace {

using core::AppendFormat;

// Geometry of a chart in SVG user units.
constexpr double kLeftMargin = 70, kPlotWidth = 820, kPlotHeight = 150, kTopMargin = 20;
// Limit on the lines in a chart. In a larger network, only the fullest groups are drawn.
constexpr std::size_t kMaxGroups = 12;
constexpr const char* kColours[] = {"#1b6ca8", "#2e8b57", "#c0392b", "#8e44ad", "#b8860b", "#16a085", "#7f8c8d",
                                    "#d35400", "#34495e", "#27ae60", "#9b59b6", "#e67e22", "#2980b9"};

// Escapes text for HTML.
std::string EscapeHtml(std::string_view text) {
  std::string out;
  for (const char c : text) out += c == '<' ? "&lt;" : c == '&' ? "&amp;" : c == '>' ? "&gt;" : std::string(1, c);
  return out;
}

struct Line {
  std::string name;
  std::vector<double> values;  // by time bin; negative: no value
};

// Appends one chart: fault bands in the background and lines over time, scaled to the largest value.
void AppendChart(std::string* out, const std::string& title, const std::vector<Line>& lines,
                 const std::vector<DayAccounts::FaultPeriod>& bands, double seconds) {
  double max_value = 1e-9;
  for (const Line& line : lines) {
    for (const double value : line.values) max_value = std::max(max_value, value);
  }
  const auto x = [&](double s) { return kLeftMargin + kPlotWidth * std::min(1.0, s / std::max(1e-9, seconds)); };
  const auto y = [&](double value) { return kTopMargin + kPlotHeight * (1.0 - value / max_value); };
  AppendFormat(out, "<h3>%s</h3>\n<svg viewBox=\"0 0 920 %.0f\" width=\"920\" role=\"img\">\n",
               EscapeHtml(title).c_str(), kTopMargin + kPlotHeight + 40);
  std::size_t row = 0;
  for (const DayAccounts::FaultPeriod& band : bands) {
    AppendFormat(out, "<rect x=\"%.1f\" y=\"%.0f\" width=\"%.1f\" height=\"%.0f\" fill=\"#f4d9a8\" opacity=\"0.5\"/>",
                 x(band.from_s), kTopMargin, std::max(1.0, x(band.to_s) - x(band.from_s)), kPlotHeight);
    AppendFormat(out, "<text x=\"%.1f\" y=\"%.0f\" font-size=\"10\" fill=\"#8a5a00\">%s</text>\n", x(band.from_s) + 2,
                 kTopMargin + 10 + 11 * static_cast<double>(row++ % 4), EscapeHtml(band.kind).c_str());
  }
  AppendFormat(out, "<path d=\"M%.0f %.0fV%.0fH%.0f\" fill=\"none\" stroke=\"#444\"/>", kLeftMargin, kTopMargin,
               kTopMargin + kPlotHeight, kLeftMargin + kPlotWidth);
  AppendFormat(out,
               "<text x=\"%.0f\" y=\"%.0f\" font-size=\"11\" text-anchor=\"end\">%.4g</text><text x=\"%.0f\" "
               "y=\"%.0f\" font-size=\"11\" text-anchor=\"end\">0</text>",
               kLeftMargin - 4, kTopMargin + 8, max_value, kLeftMargin - 4, kTopMargin + kPlotHeight);
  for (int tick = 0; tick <= 6; ++tick) {
    const double s = seconds * tick / 6.0;
    AppendFormat(out, "<text x=\"%.1f\" y=\"%.0f\" font-size=\"11\" text-anchor=\"middle\">%.0f s</text>", x(s),
                 kTopMargin + kPlotHeight + 14, s);
  }
  const double bin = static_cast<double>(DayAccounts::kBinLength) / 1e6;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const char* colour = kColours[i % std::size(kColours)];
    std::string path;
    bool gap = true;
    for (std::size_t b = 0; b < lines[i].values.size(); ++b) {
      if (lines[i].values[b] < 0.0) {
        gap = true;
        continue;
      }
      AppendFormat(&path, "%c%.1f %.1f", gap ? 'M' : 'L', x((static_cast<double>(b) + 0.5) * bin),
                   y(lines[i].values[b]));
      gap = false;
    }
    *out += "<path d=\"" + path + "\" fill=\"none\" stroke=\"" + colour + "\" stroke-width=\"1.3\"/>\n";
    AppendFormat(out, "<text x=\"%.0f\" y=\"%.0f\" font-size=\"11\" fill=\"%s\">%s</text>\n",
                 kLeftMargin + 68.0 * static_cast<double>(i), kTopMargin + kPlotHeight + 30, colour,
                 EscapeHtml(lines[i].name).c_str());
  }
  *out += "</svg>\n";
}

}  // namespace

std::string DayPage(const Scenario& scenario, const DayAccounts& accounts, const reach::Bound& bound,
                    const RuleChecker& rules) {
  std::string out = "<!doctype html>\n<meta charset=\"utf-8\"><title>" + EscapeHtml(scenario.name) +
                    "</title>\n<style>body{font:14px sans-serif;margin:2em;max-width:960px}td,th{padding:2px "
                    "10px;text-align:right}th:first-child,td:first-child{text-align:left}pre{background:#"
                    "f5f5f5;padding:1em}</style>\n";
  out += "<h1>" + EscapeHtml(scenario.name) + "</h1>\n";
  AppendFormat(&out, "<p>%d exchanges, %d with a real edge, seed %llu, %.0f s.", scenario.exchanges, scenario.edges,
               static_cast<unsigned long long>(scenario.seed), static_cast<double>(scenario.length_us) / 1e6);
  const auto& ledgers = accounts.ledger().accounts();
  double served = 0.0;
  for (std::size_t i = 0; i < ledgers.size(); ++i) {
    const TrafficClass& c = scenario.classes[i];
    served += c.worth * (static_cast<double>(ledgers[i].in_time) + c.late_worth * static_cast<double>(ledgers[i].late));
  }
  if (bound.solved && bound.worth > 0.0)
    AppendFormat(&out, " Worth served: %.0f of %.0f offered. Upper bound: %.0f, of which a share of %.3f was served.",
                 served, bound.offered, bound.worth, served / bound.worth);
  out += "</p>\n<h2>Rules</h2>\n<pre>" + EscapeHtml(rules.Summary()) + "</pre>\n";
  out += "<h2>Outcome of the tries</h2>\n<table><tr><th>class</th><th>tries</th><th>in time</th><th>late</th>";
  const reach::Account total = accounts.ledger().Total();
  for (std::size_t l = 0; l < reach::kLossCategories; ++l) {
    if (total.lost[l] > 0) out += "<th>" + std::string(reach::Name(static_cast<reach::LossCategory>(l))) + "</th>";
  }
  out += "</tr>\n";
  const auto row = [&](const std::string& name, const reach::Account& a) {
    out += "<tr><td>" + EscapeHtml(name) + "</td>";
    for (const std::uint64_t n : {a.tries, a.in_time, a.late}) out += "<td>" + std::to_string(n) + "</td>";
    for (std::size_t l = 0; l < reach::kLossCategories; ++l) {
      if (total.lost[l] > 0) out += "<td>" + std::to_string(a.lost[l]) + "</td>";
    }
    out += "</tr>\n";
  };
  for (std::size_t i = 0; i < ledgers.size(); ++i) row(scenario.classes[i].name, ledgers[i]);
  row("all", total);
  out += "</table>\n";
  if (accounts.ledger().waste_count() > 0) {
    out += "<h2>Plainly wasted</h2>\n<pre>";
    for (const std::string& each : accounts.ledger().examples()) out += EscapeHtml(each) + "\n";
    out += "</pre>\n";
  }
  const auto& bins = accounts.bins();
  const double seconds = static_cast<double>(bins.size()) * static_cast<double>(DayAccounts::kBinLength) / 1e6;
  const double per_s = 1e6 / static_cast<double>(DayAccounts::kBinLength);
  const auto series = [&](const char* name, const std::function<double(const DayAccounts::Bin&)>& value) {
    Line line{name, {}};
    for (const auto& bin : bins) line.values.push_back(value(bin));
    return line;
  };
  const auto bands = accounts.fault_periods();
  AppendChart(&out, "Calls per second",
              {series("offered", [&](const auto& b) { return static_cast<double>(b.offered) * per_s; }),
               series("stood", [&](const auto& b) { return static_cast<double>(b.established) * per_s; }),
               series("refused", [&](const auto& b) { return static_cast<double>(b.refused) * per_s; }),
               series("failed", [&](const auto& b) { return static_cast<double>(b.failed) * per_s; })},
              bands, seconds);
  // Selects the groups with the highest mean share of circuits in use.
  std::map<std::pair<int, int>, double> fullness;
  for (const auto& bin : bins) {
    for (const auto& [pair, use] : bin.groups)
      fullness[pair] += static_cast<double>(use.first) / std::max(1U, use.second);
  }
  std::vector<std::pair<double, std::pair<int, int>>> order;
  for (const auto& [pair, sum] : fullness) order.emplace_back(-sum, pair);
  std::sort(order.begin(), order.end());
  if (order.size() > kMaxGroups) order.resize(kMaxGroups);
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
  AppendChart(
      &out,
      fullness.size() > kMaxGroups ? "Share of circuits in use, fullest groups" : "Share of circuits in use, by group",
      groups, bands, seconds);
  const std::size_t drawn = std::min<std::size_t>(kMaxGroups, static_cast<std::size_t>(scenario.exchanges));
  for (std::size_t i = 0; i < drawn; ++i) {
    Line line{std::to_string(i), {}};
    for (const auto& bin : bins) line.values.push_back(i < bin.queue_delays_ms.size() ? bin.queue_delays_ms[i] : -1.0);
    waits.push_back(std::move(line));
  }
  AppendChart(&out, "Processor waiting time in ms, by exchange (gap: down)", waits, bands, seconds);
  return out;
}

}  // namespace croftrun::lab
