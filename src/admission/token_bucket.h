// A rate with bursts. No clock.
#ifndef CROFTRUN_ADMISSION_TOKEN_BUCKET_H_
#define CROFTRUN_ADMISSION_TOKEN_BUCKET_H_

#include <algorithm>

#include "croftrun/call_controller.h"

namespace croftrun::admission {

struct TokenBucketSettings {
  double per_s = 0.0;  // 0: no limit
  double burst = 100.0;
};

struct TokenBucket {
  double tokens = 0.0;
  TimeUs filled = 0;  // 0: never, and what is in it was put there

  // A call's worth; false: there is none.
  bool TryConsume(const TokenBucketSettings& limit, TimeUs now) {
    if (limit.per_s <= 0.0) return true;
    if (filled != 0) tokens = std::min(limit.burst, tokens + static_cast<double>(now - filled) * limit.per_s / 1e6);
    filled = now;
    if (tokens < 1.0) return false;
    tokens -= 1.0;
    return true;
  }
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_TOKEN_BUCKET_H_
