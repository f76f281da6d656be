// What is remembered of clients, in fixed memory however many there are or are made up. No I/O, no clock.
//
// Four places a set; a newcomer takes that of whoever was seen longest ago, of those who never showed themselves first.
// Who came back as told, or was served and comes again a while later, has shown itself.
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
  std::size_t most = 16'384;
  TimeUs verify_us = 10'000'000;            // served so long ago, it has shown itself when it comes again
  TimeUs forget_us = 600'000'000;           // not seen for so long, it is a stranger again
  TokenBucketSettings limit = {0.0, 10.0};  // of each that has shown itself
};

class ClientTable {
 public:
  struct Client {
    std::uint64_t who = 0;
    TimeUs seen = 0, served = 0;  // served: first; 0: never
    TokenBucket bucket;
    bool verified = false;
  };

  explicit ClientTable(const ClientSettings& settings)
      : settings_(settings), sets_(std::bit_ceil(std::max<std::size_t>(1, settings.most / kPlaces))) {}

  // The one who comes, now known to be here. Valid until the next call.
  Client& FindOrInsert(std::uint64_t who, TimeUs now) {
    auto& set = sets_[(who >> 20U) & (sets_.size() - 1)];
    for (Client& client : set) {
      if (client.who != who || client.seen == 0) continue;
      if (now - client.seen > settings_.forget_us) client.verified = false;
      if (client.served != 0 && now - client.served >= settings_.verify_us) client.verified = true;
      client.seen = now;
      return client;
    }
    Client& last = *std::min_element(set.begin(), set.end(), [](const Client& a, const Client& b) {
      return a.verified != b.verified ? b.verified : a.seen < b.seen;
    });
    last = {who, now, 0, {settings_.limit.burst, now}, false};
    return last;
  }
  // A call of its own bucket.
  bool TakeToken(Client& client, TimeUs now) const { return client.bucket.TryConsume(settings_.limit, now); }
  std::size_t bytes() const { return sets_.size() * sizeof(sets_[0]); }

 private:
  static constexpr std::size_t kPlaces = 4;
  ClientSettings settings_;
  std::vector<std::array<Client, kPlaces>> sets_;
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_CLIENT_TABLE_H_
