#include "pomelomill/routing/ejection.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {

EjectionReason DetectOutlier(const EndpointStats& stats, double median_latency,
                             const EjectionOptions& options) {
  if (stats.consecutive_failures() >= options.consecutive_failures_threshold) {
    return EjectionReason::kFailures;
  }
  if (stats.samples() < options.min_samples) return EjectionReason::kNone;
  if (stats.failure_share() >= options.failure_share_threshold) {
    return EjectionReason::kFailures;
  }
  if (stats.relative_latency() >
      options.latency_threshold_factor * median_latency) {
    return EjectionReason::kHighLatency;
  }
  return EjectionReason::kNone;
}

std::size_t MaxEjected(std::size_t active, const EjectionOptions& options) {
  const auto floor = static_cast<std::size_t>(
      std::ceil(static_cast<double>(active) * options.min_available_share));
  return active - std::min(active, std::max<std::size_t>(1, floor));
}

double Median(std::vector<double> values) {
  if (values.empty()) return 1;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace pomelomill
