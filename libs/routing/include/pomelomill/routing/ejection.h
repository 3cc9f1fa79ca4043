#pragma once

#include <cstddef>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/routing/endpoint_stats.h"

namespace pomelomill {

struct EjectionOptions {
  /// Share of a pool's endpoints that is never ejected; rounded up, at least
  /// one endpoint.
  double min_available_share = 0.5;
  std::uint32_t consecutive_failures_threshold = 5;
  double failure_share_threshold = 0.5;
  /// Latency against the pool's median.
  double latency_threshold_factor = 3.0;
  /// Evidence below this number of attempts is not used for the share of
  /// failures and for lag.
  std::uint32_t min_samples = 20;
  Duration first_probe_interval = std::chrono::seconds(1);
  Duration max_probe_interval = std::chrono::seconds(30);
  /// Successful probes in a row before the endpoint returns.
  std::uint32_t successful_probes_to_return = 2;
};

enum class EjectionReason { kNone, kFailures, kHighLatency };

/// What the statistics of one endpoint say against it. `median_latency` is
/// the median of the pool.
EjectionReason DetectOutlier(const EndpointStats& stats, double median_latency,
                             const EjectionOptions& options);

/// Number of endpoints that may be ejected at once in a pool of `usable`
/// endpoints.
std::size_t MaxEjected(std::size_t active, const EjectionOptions& options);

/// Median of the values; 1 when there are none.
double Median(std::vector<double> values);

}  // namespace pomelomill
