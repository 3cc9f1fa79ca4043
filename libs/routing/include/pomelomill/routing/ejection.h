#pragma once

#include <cstddef>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/routing/endpoint_stats.h"

namespace pomelomill {

struct EjectionOptions {
  /// Share of a pool's endpoints that is never ejected; rounded up, at least
  /// one endpoint.
  double floor_share = 0.5;
  std::uint32_t consecutive_failures = 5;
  double failure_share = 0.5;
  /// Latency against the pool's median.
  double lag_factor = 3.0;
  /// Evidence below this number of attempts is not used for the share of
  /// failures and for lag.
  std::uint32_t min_samples = 20;
  Duration first_probe = std::chrono::seconds(1);
  Duration longest_probe = std::chrono::seconds(30);
  /// Successful probes in a row before the endpoint returns.
  std::uint32_t probes_to_return = 2;
};

enum class EjectionReason { kNone, kFailures, kLag };

/// What the statistics of one endpoint say against it. `median_latency` is
/// the median of the pool.
EjectionReason JudgeEndpoint(const EndpointStats& stats, double median_latency,
                             const EjectionOptions& options);

/// Number of endpoints that may be ejected at once in a pool of `usable`
/// endpoints.
std::size_t MaxEjected(std::size_t usable, const EjectionOptions& options);

/// Median of the values; 1 when there are none.
double Median(std::vector<double> values);

}  // namespace pomelomill
