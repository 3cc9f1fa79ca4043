#pragma once

#include <cstdint>

#include "pomelomill/base.h"

namespace pomelomill {

/// Recent failures and latency of one endpoint. An attempt's latency is
/// divided by the mean latency of its queue, because queues with different
/// service times share the endpoints of a pool.
class EndpointStats {
 public:
  /// Records a finished attempt. `relative_latency` is its latency divided by
  /// the queue's mean. A failure is recorded with at least
  /// `kMinFailureLatency`, so that an endpoint that fails quickly does not
  /// appear fast.
  void Record(bool is_failure, double relative_latency, Instant now);

  /// Returns the number of failures since the last success.
  std::uint32_t consecutive_failures() const { return consecutive_failures_; }
  /// Returns the moving average of the share of failures, 0 to 1.
  double failure_share() const { return failure_share_; }
  /// Returns the moving average of the relative latency; 1 is the mean of the
  /// queue.
  double relative_latency() const { return relative_latency_; }
  /// Returns the relative latency for load balancing. Without new samples it
  /// decays to 1 with a half-life of `kLatencyHalfLife`, because an endpoint
  /// that is no longer chosen cannot otherwise show that it has recovered.
  double decayed_latency(Instant now) const;
  /// Returns the number of recorded attempts.
  std::uint32_t samples() const { return samples_; }

  /// Relative latency.
  static constexpr double kMinFailureLatency = 4.0;
  static constexpr Duration kLatencyHalfLife = std::chrono::seconds(5);

 private:
  /// Weight of a new sample in the moving averages.
  static constexpr double kSampleWeight = 0.1;

  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t samples_ = 0;
  double failure_share_ = 0;
  double relative_latency_ = 1;
  Instant recorded_at_{};
};

}  // namespace pomelomill
