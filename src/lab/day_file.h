// Day files of the users' bench, read as a network of trunk groups, and thinned to what one machine plays.
//
// Thinning keeps some of the exchanges whole in place of all of them in part: the groups among them have the
// circuits and the offered load that they have in the day, so that a group blocks as it does there. What
// cannot stay is brought back by factors that are told: the load between each two zones (so that offered load
// over circuits is the whole network's, zone pair by zone pair) and the speed of each processor (so that it
// is as busy as in the day, though fewer exchanges call it).
#ifndef CROFTRUN_LAB_DAY_FILE_H_
#define CROFTRUN_LAB_DAY_FILE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/json_settings.h"

namespace croftrun::lab {

// The network of a day; matrices are indexed [a][b] by exchange.
struct DayNetwork {
  std::vector<int> zone;
  std::vector<double> speed;                     // of each processor
  std::vector<std::vector<unsigned>> circuits;   // symmetric; 0: no group
  std::vector<std::vector<double>> calls_per_s;  // from a to b, at the day's load
  double circuit_seconds = 10.0;  // that a call keeps on one group: width times holding time, over all classes
  std::size_t size() const { return zone.size(); }

  double Offered(std::size_t a, std::size_t b) const;  // erlangs to the group of a and b, both ways
  double CallsAt(std::size_t a) const;                 // a second, that begin or end there
};

// Offered erlangs and circuits of the groups between two zones.
struct ZoneLoad {
  double erlangs = 0.0, circuits = 0.0;
  double PerCircuit() const { return circuits > 0.0 ? erlangs / circuits : 0.0; }
};
ZoneLoad LoadBetween(const DayNetwork& network, int zone_a, int zone_b);

struct Thinned {
  DayNetwork network;
  std::vector<std::size_t> kept;  // which exchanges of the whole, by their number in the thinned one
  double least_factor = 1.0,
         most_factor = 1.0;  // of the load between two zones, to bring it back to the whole's
};
// `exchanges` of them, by zone as in the whole, chosen so that the factors are near 1; the same for the same
// seed.
Thinned Thin(const DayNetwork& whole, std::size_t exchanges, std::uint64_t seed);

struct ConvertOptions {
  std::size_t most_exchanges = 16;
  double most_calls_per_s = 250.0;  // fewer exchanges are kept until the day's load is under this
};
// A scenario for one machine; empty after mistakes. What has no counterpart is listed in `*left_out`;
// `*notes` says what was thinned, and by how much.
std::string ConvertDay(std::string_view day_json, const ConvertOptions& options, std::vector<std::string>* left_out,
                       std::vector<std::string>* notes, std::vector<config::Mistake>* mistakes);

// The network of a day file; throws nlohmann::json::exception where it is none.
DayNetwork ReadNetwork(const nlohmann::json& day);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_DAY_FILE_H_
