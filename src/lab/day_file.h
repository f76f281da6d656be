// Reads day files of the users' bench as a network of trunk groups and reduces the network to a size that one machine
// can run.
//
// The reduction keeps a subset of the exchanges with their groups unchanged, rather than scaling down every exchange.
// The groups among the kept exchanges have the circuits and the offered load of the original, so their blocking is the
// same. Two quantities are corrected by reported factors: the load between each pair of zones, so that the ratio of
// offered load to circuits is that of the full network, and the speed of each processor, so that its utilisation is the
// original one although fewer exchanges call it.
#ifndef CROFTRUN_LAB_DAY_FILE_H_
#define CROFTRUN_LAB_DAY_FILE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/json_settings.h"

namespace croftrun::lab {

// Network and traffic of a day. Matrices are indexed [a][b] by exchange.
struct DayNetwork {
  std::vector<int> zone;
  std::vector<double> speed;                     // of each processor
  std::vector<std::vector<unsigned>> circuits;   // symmetric; 0: no group
  std::vector<std::vector<double>> calls_per_s;  // from a to b
  // Mean circuit-seconds of a call on one group: width times holding time, averaged over the classes.
  double circuit_seconds = 10.0;
  std::size_t size() const { return zone.size(); }

  double Offered(std::size_t a, std::size_t b) const;  // erlangs offered to the group of a and b, both directions
  double CallsAt(std::size_t a) const;                 // calls per second that begin or end there
};

// Total offered load and circuits of the groups between two zones.
struct ZoneLoad {
  double erlangs = 0.0, circuits = 0.0;
  double PerCircuit() const { return circuits > 0.0 ? erlangs / circuits : 0.0; }
};
ZoneLoad LoadBetween(const DayNetwork& network, int zone_a, int zone_b);

// A reduced network.
struct ReducedNetwork {
  DayNetwork network;
  std::vector<std::size_t> kept;  // original exchange number, indexed by number in the reduced network
  // Range of the factors that correct the load between zones.
  double min_factor = 1.0, max_factor = 1.0;
};
// Reduces the network to `exchanges` exchanges, keeping the proportions of the zones. The exchanges are chosen so that
// the correction factors are close to 1. The result depends only on the arguments.
ReducedNetwork ReduceNetwork(const DayNetwork& whole, std::size_t exchanges, std::uint64_t seed);

struct ConvertOptions {
  std::size_t max_exchanges = 16;
  double max_calls_per_s = 250.0;  // exchanges are removed until the load is at most this
};
// Converts a day file to a scenario for one machine. Returns an empty string if mistakes were found. Adds features
// without a counterpart in scenarios to `*left_out`, and a summary of the reduction to `*notes`.
std::string ConvertDay(std::string_view day_json, const ConvertOptions& options, std::vector<std::string>* left_out,
                       std::vector<std::string>* notes, std::vector<config::SettingsError>* mistakes);

// Reads the network of a day file. Throws nlohmann::json::exception if the JSON is not a day file.
DayNetwork ReadNetwork(const nlohmann::json& day);

}  // namespace croftrun::lab

#endif  // CROFTRUN_LAB_DAY_FILE_H_
