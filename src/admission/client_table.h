// Table of the clients seen recently. Its memory is fixed, however many identities exist or are made up. No I/O, no
// clock.
//
// The table is 4-way set-associative. A new client replaces the least recently seen one of its set, unverified clients
// first. A client becomes verified when it retries at the time it was given, or when it calls again some time after it
// was first served.
#ifndef CROFTRUN_ADMISSION_CLIENT_TABLE_H_
#define CROFTRUN_ADMISSION_CLIENT_TABLE_H_

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <vector>

#include "admission/token_bucket.h"
#include "croftrun/call_controller.h"

namespace croftrun::admission {

struct ClientSettings {
  std::size_t max_clients = 16'384;         // clients in the table
  TimeUs verify_us = 10'000'000;            // a client that calls this long after it was first served is verified
  TimeUs forget_us = 600'000'000;           // a client not seen for longer than this is unverified again
  TokenBucketSettings limit = {0.0, 10.0};  // of each verified client
};

class ClientTable {
 public:
  struct Client {
    std::uint64_t id = 0;                    // hash of customer and client name
    TimeUs last_seen = 0, first_served = 0;  // first_served 0: never served
    TokenBucket bucket;
    bool verified = false;
  };

  explicit ClientTable(const ClientSettings& settings)
      : settings_(settings), sets_(std::bit_ceil(std::max<std::size_t>(1, settings.max_clients / kWays))) {}

  // Returns the client's entry and marks it as seen now. The reference is valid until the next call.
  Client& FindOrInsert(std::uint64_t id, TimeUs now) {
    auto& set = sets_[(id >> 20U) & (sets_.size() - 1)];
    for (Client& client : set) {
      if (client.id != id || client.last_seen == 0) continue;
      if (now - client.last_seen > settings_.forget_us) client.verified = false;
      if (client.first_served != 0 && now - client.first_served >= settings_.verify_us) client.verified = true;
      client.last_seen = now;
      return client;
    }
    Client& evicted = *std::min_element(set.begin(), set.end(), [](const Client& a, const Client& b) {
      return a.verified != b.verified ? b.verified : a.last_seen < b.last_seen;
    });
    evicted = {id, now, 0, {settings_.limit.burst, now}, false};
    return evicted;
  }
  // Consumes one token of the client's rate limit. Returns false if none is left.
  bool TakeToken(Client& client, TimeUs now) const { return client.bucket.TryConsume(settings_.limit, now); }
  std::size_t bytes() const { return sets_.size() * sizeof(sets_[0]); }

 private:
  static constexpr std::size_t kWays = 4;
  ClientSettings settings_;
  std::vector<std::array<Client, kWays>> sets_;
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_CLIENT_TABLE_H_
