#include "pomelomill/routing/endpoint_stats.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {

void EndpointStats::Record(bool is_failure, double relative_latency,
                           Instant now) {
  recorded_at_ = now;
  if (samples_ < UINT32_MAX) ++samples_;
  consecutive_failures_ = is_failure ? consecutive_failures_ + 1 : 0;
  failure_share_ += kSampleWeight * ((is_failure ? 1.0 : 0.0) - failure_share_);
  const double latency = is_failure
                             ? std::max(relative_latency, kMinFailureLatency)
                             : relative_latency;
  relative_latency_ += kSampleWeight * (latency - relative_latency_);
}

double EndpointStats::decayed_latency(Instant now) const {
  const double idle =
      ToSeconds(now - recorded_at_) / ToSeconds(kLatencyHalfLife);
  return 1 + (relative_latency_ - 1) * std::exp2(-std::max(0.0, idle));
}

}  // namespace pomelomill
