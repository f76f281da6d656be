// A rate with bursts. No clock.
#ifndef CROFTRUN_DOOR_BUCKET_H_
#define CROFTRUN_DOOR_BUCKET_H_

#include <algorithm>

#include "croftrun/call_controller.h"

namespace croftrun::door {

struct BucketSettings {
  double per_s = 0.0;  // 0: no limit
  double burst = 100.0;
};

struct Bucket {
  double tokens = 0.0;
  TimeUs filled = 0;  // 0: never, and what is in it was put there

  // A call's worth; false: there is none.
  bool Take(const BucketSettings& limit, TimeUs now) {
    if (limit.per_s <= 0.0) return true;
    if (filled != 0) tokens = std::min(limit.burst, tokens + static_cast<double>(now - filled) * limit.per_s / 1e6);
    filled = now;
    if (tokens < 1.0) return false;
    tokens -= 1.0;
    return true;
  }
};

}  // namespace croftrun::door

#endif  // CROFTRUN_DOOR_BUCKET_H_
