#pragma once

#include <cstddef>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/routing/endpoint_stats.h"

namespace pomelomill {

/// Thresholds of outlier ejection and the probing of ejected endpoints.
struct EjectionOptions {
  /// Share of a pool's active endpoints that always stays available; rounded
  /// up, at least one endpoint.
  double min_available_share = 0.5;
  /// Failures in a row that eject an endpoint.
  std::uint32_t consecutive_failures_threshold = 5;
  /// Share of failed attempts that ejects an endpoint.
  double failure_share_threshold = 0.5;
  /// An endpoint is ejected when its relative latency exceeds the pool's
  /// median by this factor.
  double latency_threshold_factor = 3.0;
  /// The failure share and the latency are judged only from this number of
  /// recorded attempts.
  std::uint32_t min_samples = 20;
  Duration first_probe_interval = std::chrono::seconds(1);
  Duration max_probe_interval = std::chrono::seconds(30);
  /// Successful probes in a row that end an ejection.
  std::uint32_t successful_probes_to_return = 2;
};

enum class EjectionReason { kNone, kFailures, kHighLatency };

/// Returns the reason for which an endpoint with these statistics is an
/// outlier; kNone when it is not. `median_latency` is the median relative
/// latency of the pool.
EjectionReason DetectOutlier(const EndpointStats& stats, double median_latency,
                             const EjectionOptions& options);

/// Returns how many endpoints of a pool with `active` endpoints may be ejected
/// at the same time.
std::size_t MaxEjected(std::size_t active, const EjectionOptions& options);

/// Returns the lower median; 1, the neutral relative latency, for no values.
double Median(std::vector<double> values);

}  // namespace pomelomill
