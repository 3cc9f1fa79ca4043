#pragma once

#include <cstdint>

#include "pomelomill/base.h"

namespace pomelomill {

/// Evidence on one endpoint: recent failures and latency relative to the mean
/// of the same queue. Relative, because queues with different service times
/// share the endpoints of a pool.
class EndpointStats {
 public:
  /// A finished attempt; `relative_latency` is its latency divided by the
  /// queue's mean. A failure counts at least as a latency of
  /// `kFailureLatency`, so that an endpoint that fails fast does not look
  /// fast.
  void Record(bool is_failure, double relative_latency, Instant now);

  /// Failures since the last success.
  std::uint32_t consecutive_failures() const { return consecutive_failures_; }
  /// Moving share of failures, 0 to 1.
  double failure_share() const { return failure_share_; }
  /// Moving mean of the relative latency; 1 is the mean of the queue.
  double relative_latency() const { return relative_latency_; }
  /// The same for choosing: without new samples it returns to 1 with a half
  /// time of `kForgetTime`, because an endpoint that is not chosen any more
  /// has no other way to show that it has recovered.
  double decayed_latency(Instant now) const;
  std::uint32_t samples() const { return samples_; }

  static constexpr double kMinFailureLatency = 4.0;
  static constexpr Duration kLatencyHalfLife = std::chrono::seconds(5);

 private:
  static constexpr double kSampleWeight = 0.1;

  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t samples_ = 0;
  double failure_share_ = 0;
  double relative_latency_ = 1;
  Instant recorded_at_{};
};

}  // namespace pomelomill
