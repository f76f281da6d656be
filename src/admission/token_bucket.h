// Token bucket rate limit. The caller passes the time; there is no clock inside.
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
  TimeUs refilled_at = 0;  // 0: not refilled yet; `tokens` is then the initial fill

  // Consumes one token. Returns false if fewer than one is left.
  bool TryConsume(const TokenBucketSettings& limit, TimeUs now) {
    if (limit.per_s <= 0.0) return true;
    if (refilled_at != 0)
      tokens = std::min(limit.burst, tokens + static_cast<double>(now - refilled_at) * limit.per_s / 1e6);
    refilled_at = now;
    if (tokens < 1.0) return false;
    tokens -= 1.0;
    return true;
  }
};

}  // namespace croftrun::admission

#endif  // CROFTRUN_ADMISSION_TOKEN_BUCKET_H_
