#include "reach/bound.h"

#include <coin/Clp_C_Interface.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <utility>

namespace croftrun::reach {
namespace {

constexpr std::size_t kMaxSimplexColumns = 4'000;

// What a row of the linear program limits.
enum class RowKind { kDemand, kGroup, kExchange, kNetwork, kProcessor, kProcessors, kCrowded };

struct DeleteModel {
  void operator()(Clp_Simplex* model) const { Clp_deleteModel(model); }
};

// Builds the linear program column by column and solves it. A column is the number of calls of a demand that are
// answered in a given interval over a given route.
class LinearProgram {
 public:
  explicit LinearProgram(const Problem& p) : p_(p) {
    for (std::size_t g = 0; g < p.groups.size(); ++g) group_of_[Pair(p.groups[g].a, p.groups[g].b)] = g;
    std::size_t columns = 0;
    for (const Demand& d : p.demands) columns += (p.exchanges - 1) * AnswerIntervals(d);
    by_tandem_ = columns <= p.max_columns;
  }

  Bound Solve() {
    Bound bound;
    bound.by_tandem = by_tandem_;
    bound.served.assign(p_.classes.size(), 0.0);
    for (const Demand& d : p_.demands) {
      bound.offered += d.calls * p_.classes[d.call_class].worth;
      AddDemand(d);
    }
    bound.columns = objective_.size();
    bound.rows = upper_.size();
    if (objective_.empty()) {
      bound.solved = true;
      return bound;
    }
    starts_.push_back(static_cast<CoinBigIndex>(rows_.size()));
    const std::unique_ptr<Clp_Simplex, DeleteModel> model(Clp_newModel());
    Clp_setLogLevel(model.get(), 0);
    const std::vector<double> zeros(objective_.size(), 0.0), free(objective_.size(), 1e30), low(upper_.size(), -1e30);
    Clp_loadProblem(model.get(), static_cast<int>(objective_.size()), static_cast<int>(upper_.size()), starts_.data(),
                    rows_.data(), values_.data(), zeros.data(), free.data(), objective_.data(), low.data(),
                    upper_.data());
    Clp_setOptimizationDirection(model.get(), -1.0);
    Clp_setMaximumSeconds(model.get(), p_.max_solver_seconds);
    // The simplex method is exact, but would take minutes for a whole day. The barrier method without crossover to a
    // vertex gives an equally good bound, so it is used for large programs.
    if (objective_.size() <= kMaxSimplexColumns) {
      Clp_initialSolve(model.get());
    } else {
      Clp_initialBarrierNoCrossSolve(model.get());
    }
    bound.solved = Clp_status(model.get()) == 0;
    if (!bound.solved) return bound;
    bound.worth = Clp_objectiveValue(model.get());
    const double* solution = Clp_primalColumnSolution(model.get());
    for (std::size_t c = 0; c < in_time_of_.size(); ++c) {
      if (in_time_of_[c] >= 0) bound.served[static_cast<std::size_t>(in_time_of_[c])] += solution[c];
    }
    // The dual value of a row is the worth gained per unit of its limit.
    const double* dual = Clp_dualRowSolution(model.get());
    for (std::size_t r = 0; r < upper_.size(); ++r) {
      const double worth = std::fabs(dual[r]) * upper_[r] / 100.0;
      const RowKind kind = kinds_[r];
      if (kind == RowKind::kGroup || kind == RowKind::kExchange || kind == RowKind::kNetwork)
        bound.worth_of_one_percent_circuits += worth;
      if (kind == RowKind::kProcessor || kind == RowKind::kProcessors) bound.worth_of_one_percent_processing += worth;
    }
    return bound;
  }

 private:
  static std::pair<std::size_t, std::size_t> Pair(std::size_t a, std::size_t b) {
    return {std::min(a, b), std::max(a, b)};
  }
  // The number of intervals in which calls of this demand can be answered, from the one of their offer on.
  std::size_t AnswerIntervals(const Demand& d) const {
    const ClassOfCall& c = p_.classes[d.call_class];
    return std::min(p_.intervals - std::min(p_.intervals, d.interval),
                    std::max(c.in_time_intervals, c.late_intervals) + 1);
  }

  // The index of this row, which is added if it does not exist yet. `item` is a group or an exchange, by `kind`.
  int FindOrAddRow(RowKind kind, std::size_t item, std::size_t interval, double limit) {
    const auto [found, inserted] = row_index_.try_emplace({kind, item, interval}, static_cast<int>(upper_.size()));
    if (inserted) {
      upper_.push_back(limit);
      kinds_.push_back(kind);
    }
    return found->second;
  }

  // Adds the columns of a demand: for each interval of the answer, the direct route and the routes over a tandem.
  void AddDemand(const Demand& d) {
    if (d.calls <= 0.0 || d.from == d.to) return;
    const ClassOfCall& c = p_.classes[d.call_class];
    const int demand = static_cast<int>(upper_.size());
    upper_.push_back(d.calls);
    kinds_.push_back(RowKind::kDemand);
    for (std::size_t late = 0; late < AnswerIntervals(d); ++late) {
      const double worth = c.worth * (late <= c.in_time_intervals ? 1.0 : c.late_worth);
      if (worth <= 0.0) continue;
      const std::size_t at = d.interval + late;
      const int in_time = late <= c.in_time_intervals ? static_cast<int>(d.call_class) : -1;
      if (group_of_.count(Pair(d.from, d.to)) > 0) {
        BeginColumn(worth, in_time, demand);
        AddCircuitUse(d, c, at, {{d.from, d.to}}, 1.0);
        AddProcessorWork(at, d, {});
      }
      if (!by_tandem_) {
        BeginColumn(worth, in_time, demand);
        AddCircuitUse(d, c, at, {}, 2.0);
        AddProcessorWork(at, d, {});
        continue;
      }
      for (std::size_t t = 0; t < p_.exchanges; ++t) {
        if (t == d.from || t == d.to || group_of_.count(Pair(d.from, t)) == 0 || group_of_.count(Pair(t, d.to)) == 0)
          continue;
        BeginColumn(worth, in_time, demand);
        AddCircuitUse(d, c, at, {{d.from, t}, {t, d.to}}, 2.0);
        AddProcessorWork(at, d, {t});
      }
    }
  }

  // Starts a column. `in_time` is the class if the calls are answered in time, otherwise -1; `demand` is the row of the
  // demand.
  void BeginColumn(double worth, int in_time, int demand) {
    starts_.push_back(static_cast<CoinBigIndex>(rows_.size()));
    objective_.push_back(worth);
    in_time_of_.push_back(in_time);
    AddCoefficient(demand, 1.0);
  }
  void AddCoefficient(int row, double value) {
    if (value <= 0.0) return;
    rows_.push_back(row);
    values_.push_back(value);
  }

  // Adds the circuits used by a call answered in interval `at` to the column. `groups` lists the groups of
  // its route. `group_count` is their number; it includes groups that are not listed as tandems are not distinguished.
  void AddCircuitUse(const Demand& d, const ClassOfCall& c, std::size_t at,
                     const std::vector<std::pair<std::size_t, std::size_t>>& groups, double group_count) {
    for (std::size_t k = 0; k < c.occupancy.size() && at + k < p_.intervals; ++k) {
      const std::size_t interval = at + k;
      const double circuits = c.occupancy[k] * c.width;
      if (circuits < 1e-6) break;
      for (const auto& [a, b] : groups) {
        const std::size_t g = group_of_.at(Pair(a, b));
        AddCoefficient(FindOrAddRow(RowKind::kGroup, g, interval, p_.groups[g].circuits[interval]), circuits);
      }
      if (d.crowded && !p_.crowded_lines.empty())
        AddCoefficient(FindOrAddRow(RowKind::kCrowded, 0, interval, p_.crowded_lines[interval]), c.occupancy[k]);
      if (by_tandem_) continue;
      for (const std::size_t end : {d.from, d.to})
        AddCoefficient(FindOrAddRow(RowKind::kExchange, end, interval, CircuitsAt(end, interval)), circuits);
      AddCoefficient(FindOrAddRow(RowKind::kNetwork, 0, interval, TotalCircuits(interval)), group_count * circuits);
    }
  }

  // Adds the processor work of a call answered in interval `at` to the column.
  void AddProcessorWork(std::size_t at, const Demand& d, const std::vector<std::size_t>& tandems) {
    const std::vector<double>& releases = p_.classes[d.call_class].releases;
    const auto add = [&](std::size_t exchange, double work, double end) {
      const std::size_t last = std::max<std::size_t>(1, end > 0.0 ? releases.size() : 1);
      for (std::size_t k = 0; k < last && at + k < p_.intervals; ++k) {
        const double sum = (k == 0 ? work : 0.0) + (k < releases.size() ? end * releases[k] : 0.0);
        if (sum > 0.0)
          AddCoefficient(FindOrAddRow(RowKind::kProcessor, exchange, at + k, p_.processor[exchange][at + k]), sum);
      }
    };
    add(d.from, p_.work.origin, p_.work.origin_end);
    add(d.to, p_.work.destination, p_.work.destination_end);
    for (const std::size_t tandem : tandems) add(tandem, p_.work.tandem, p_.work.tandem_end);
  }

  double CircuitsAt(std::size_t exchange, std::size_t interval) const {
    double sum = 0.0;
    for (const Group& g : p_.groups) sum += g.a == exchange || g.b == exchange ? g.circuits[interval] : 0.0;
    return sum;
  }
  double TotalCircuits(std::size_t interval) const {
    double sum = 0.0;
    for (const Group& g : p_.groups) sum += g.circuits[interval];
    return sum;
  }

  struct RowKey {
    RowKind kind;
    std::size_t item, interval;
    friend auto operator<=>(const RowKey&, const RowKey&) = default;
  };
  const Problem& p_;
  bool by_tandem_ = false;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> group_of_;
  std::map<RowKey, int> row_index_;
  std::vector<double> upper_, objective_, values_;  // by row, by column, by coefficient
  std::vector<RowKind> kinds_;                      // by row
  std::vector<int> rows_, in_time_of_;              // by coefficient; by column, see BeginColumn
  std::vector<CoinBigIndex> starts_;                // index of the first coefficient, by column
};

}  // namespace

Bound UpperBound(const Problem& problem) { return LinearProgram(problem).Solve(); }

std::vector<double> ExponentialOccupancy(double mean_us, double interval_us, std::size_t intervals) {
  const double r = mean_us / interval_us, decay = std::exp(-1.0 / r);
  std::vector<double> occupancy;
  for (std::size_t d = 0; d < intervals; ++d) {
    const double share = d == 0 ? r * (1.0 - r * (1.0 - decay))
                                : r * r * (1.0 - decay) * (1.0 - decay) * std::pow(decay, static_cast<double>(d - 1));
    if (d > 0 && share < 0.002) break;
    occupancy.push_back(share);
  }
  return occupancy;
}

std::vector<double> ExponentialReleases(double mean_us, double interval_us, std::size_t intervals) {
  const double r = mean_us / interval_us, decay = std::exp(-1.0 / r);
  std::vector<double> releases;
  for (std::size_t d = 0; d < intervals; ++d) {
    const double share = d == 0 ? 1.0 - r * (1.0 - decay)
                                : r * (1.0 - decay) * (1.0 - decay) * std::pow(decay, static_cast<double>(d - 1));
    if (d > 0 && share < 0.002) break;
    releases.push_back(share);
  }
  return releases;
}

}  // namespace croftrun::reach
