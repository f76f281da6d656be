#include "reach/bound.h"

#include <coin/Clp_C_Interface.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <utility>

namespace croftrun::reach {
namespace {

constexpr std::size_t kSmall = 4'000;  // columns

enum class RowKind { kDemand, kGroup, kExchange, kNetwork, kProcessor, kProcessors, kCrowded };

struct FreeModel {
  void operator()(Clp_Simplex* model) const { Clp_deleteModel(model); }
};

// The program, column by column.
class Program {
 public:
  explicit Program(const Problem& p) : p_(p) {
    for (std::size_t g = 0; g < p.groups.size(); ++g) group_of_[Pair(p.groups[g].a, p.groups[g].b)] = g;
    std::size_t columns = 0;
    for (const Demand& d : p.demands) columns += (p.exchanges - 1) * Times(d);
    by_tandem_ = columns <= p.most_columns;
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
    const std::unique_ptr<Clp_Simplex, FreeModel> model(Clp_newModel());
    Clp_setLogLevel(model.get(), 0);
    const std::vector<double> zeros(objective_.size(), 0.0), free(objective_.size(), 1e30), low(upper_.size(), -1e30);
    Clp_loadProblem(model.get(), static_cast<int>(objective_.size()), static_cast<int>(upper_.size()), starts_.data(),
                    rows_.data(), values_.data(), zeros.data(), free.data(), objective_.data(), low.data(),
                    upper_.data());
    Clp_setOptimizationDirection(model.get(), -1.0);
    Clp_setMaximumSeconds(model.get(), p_.most_seconds);
    // The simplex for what is small: exact. Whole days would take it minutes; the barrier without crossing
    // over to a vertex is
    // as good a bound.
    if (objective_.size() <= kSmall) {
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
    const double* price = Clp_dualRowSolution(model.get());
    for (std::size_t r = 0; r < upper_.size(); ++r) {
      const double worth = std::fabs(price[r]) * upper_[r] / 100.0;
      const RowKind kind = kinds_[r];
      if (kind == RowKind::kGroup || kind == RowKind::kExchange || kind == RowKind::kNetwork)
        bound.for_circuits += worth;
      if (kind == RowKind::kProcessor || kind == RowKind::kProcessors) bound.for_processors += worth;
    }
    return bound;
  }

 private:
  static std::pair<std::size_t, std::size_t> Pair(std::size_t a, std::size_t b) {
    return {std::min(a, b), std::max(a, b)};
  }
  std::size_t Times(const Demand& d) const {
    const ClassOfCall& c = p_.classes[d.call_class];
    return std::min(p_.intervals - std::min(p_.intervals, d.interval), std::max(c.in_time, c.late) + 1);
  }

  int Row(RowKind kind, std::size_t what, std::size_t interval, double limit) {
    const auto [found, fresh] = index_.try_emplace({kind, what, interval}, static_cast<int>(upper_.size()));
    if (fresh) {
      upper_.push_back(limit);
      kinds_.push_back(kind);
    }
    return found->second;
  }

  void AddDemand(const Demand& d) {
    if (d.calls <= 0.0 || d.from == d.to) return;
    const ClassOfCall& c = p_.classes[d.call_class];
    const int demand = static_cast<int>(upper_.size());
    upper_.push_back(d.calls);
    kinds_.push_back(RowKind::kDemand);
    for (std::size_t late = 0; late < Times(d); ++late) {
      const double worth = c.worth * (late <= c.in_time ? 1.0 : c.late_worth);
      if (worth <= 0.0) continue;
      const std::size_t at = d.interval + late;
      const int in_time = late <= c.in_time ? static_cast<int>(d.call_class) : -1;
      if (group_of_.count(Pair(d.from, d.to)) > 0) {
        Begin(worth, in_time, demand);
        Occupy(d, c, at, {{d.from, d.to}}, 1.0);
        Load(at, d, {});
      }
      if (!by_tandem_) {
        Begin(worth, in_time, demand);
        Occupy(d, c, at, {}, 2.0);
        Load(at, d, {});
        continue;
      }
      for (std::size_t t = 0; t < p_.exchanges; ++t) {
        if (t == d.from || t == d.to || group_of_.count(Pair(d.from, t)) == 0 || group_of_.count(Pair(t, d.to)) == 0)
          continue;
        Begin(worth, in_time, demand);
        Occupy(d, c, at, {{d.from, t}, {t, d.to}}, 2.0);
        Load(at, d, {t});
      }
    }
  }

  void Begin(double worth, int in_time, int demand) {
    starts_.push_back(static_cast<CoinBigIndex>(rows_.size()));
    objective_.push_back(worth);
    in_time_of_.push_back(in_time);
    Put(demand, 1.0);
  }
  void Put(int row, double value) {
    if (value <= 0.0) return;
    rows_.push_back(row);
    values_.push_back(value);
  }

  void Occupy(const Demand& d, const ClassOfCall& c, std::size_t at,
              const std::vector<std::pair<std::size_t, std::size_t>>& on, double legs) {
    for (std::size_t k = 0; k < c.keeps.size() && at + k < p_.intervals; ++k) {
      const std::size_t interval = at + k;
      const double circuits = c.keeps[k] * c.width;
      if (circuits < 1e-6) break;
      for (const auto& [a, b] : on) {
        const std::size_t g = group_of_.at(Pair(a, b));
        Put(Row(RowKind::kGroup, g, interval, p_.groups[g].circuits[interval]), circuits);
      }
      if (d.crowded && !p_.crowded_lines.empty())
        Put(Row(RowKind::kCrowded, 0, interval, p_.crowded_lines[interval]), c.keeps[k]);
      if (by_tandem_) continue;
      for (const std::size_t end : {d.from, d.to})
        Put(Row(RowKind::kExchange, end, interval, At(end, interval)), circuits);
      Put(Row(RowKind::kNetwork, 0, interval, All(interval)), legs * circuits);
    }
  }

  void Load(std::size_t at, const Demand& d, const std::vector<std::size_t>& tandems) {
    const std::vector<double>& leaves = p_.classes[d.call_class].leaves;
    const auto put = [&](std::size_t exchange, double work, double end) {
      const std::size_t last = std::max<std::size_t>(1, end > 0.0 ? leaves.size() : 1);
      for (std::size_t k = 0; k < last && at + k < p_.intervals; ++k) {
        const double sum = (k == 0 ? work : 0.0) + (k < leaves.size() ? end * leaves[k] : 0.0);
        if (sum > 0.0) Put(Row(RowKind::kProcessor, exchange, at + k, p_.processor[exchange][at + k]), sum);
      }
    };
    put(d.from, p_.work.origin, p_.work.origin_end);
    put(d.to, p_.work.destination, p_.work.destination_end);
    for (const std::size_t tandem : tandems) put(tandem, p_.work.tandem, p_.work.tandem_end);
  }

  double At(std::size_t exchange, std::size_t interval) const {
    double sum = 0.0;
    for (const Group& g : p_.groups) sum += g.a == exchange || g.b == exchange ? g.circuits[interval] : 0.0;
    return sum;
  }
  double All(std::size_t interval) const {
    double sum = 0.0;
    for (const Group& g : p_.groups) sum += g.circuits[interval];
    return sum;
  }

  struct Place {
    RowKind kind;
    std::size_t what, interval;
    friend auto operator<=>(const Place&, const Place&) = default;
  };
  const Problem& p_;
  bool by_tandem_ = false;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> group_of_;
  std::map<Place, int> index_;
  std::vector<double> upper_, objective_, values_;
  std::vector<RowKind> kinds_;
  std::vector<int> rows_, in_time_of_;
  std::vector<CoinBigIndex> starts_;
};

}  // namespace

Bound UpperBound(const Problem& problem) { return Program(problem).Solve(); }

std::vector<double> Keeps(double mean_us, double interval_us, std::size_t intervals) {
  const double r = mean_us / interval_us, fades = std::exp(-1.0 / r);
  std::vector<double> keeps;
  for (std::size_t d = 0; d < intervals; ++d) {
    const double share = d == 0 ? r * (1.0 - r * (1.0 - fades))
                                : r * r * (1.0 - fades) * (1.0 - fades) * std::pow(fades, static_cast<double>(d - 1));
    if (d > 0 && share < 0.002) break;
    keeps.push_back(share);
  }
  return keeps;
}

std::vector<double> Leaves(double mean_us, double interval_us, std::size_t intervals) {
  const double r = mean_us / interval_us, fades = std::exp(-1.0 / r);
  std::vector<double> leaves;
  for (std::size_t d = 0; d < intervals; ++d) {
    const double share = d == 0 ? 1.0 - r * (1.0 - fades)
                                : r * (1.0 - fades) * (1.0 - fades) * std::pow(fades, static_cast<double>(d - 1));
    if (d > 0 && share < 0.002) break;
    leaves.push_back(share);
  }
  return leaves;
}

}  // namespace croftrun::reach
