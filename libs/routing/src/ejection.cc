#include "pomelomill/routing/ejection.h"

#include <algorithm>
#include <cmath>

namespace pomelomill {

EjectionReason JudgeEndpoint(const EndpointStats& stats, double median_latency,
                             const EjectionOptions& options) {
  if (stats.consecutive_failures() >= options.consecutive_failures) {
    return EjectionReason::kFailures;
  }
  if (stats.samples() < options.min_samples) return EjectionReason::kNone;
  if (stats.failure_share() >= options.failure_share) {
    return EjectionReason::kFailures;
  }
  if (stats.latency() > options.lag_factor * median_latency) {
    return EjectionReason::kLag;
  }
  return EjectionReason::kNone;
}

std::size_t MaxEjected(std::size_t usable, const EjectionOptions& options) {
  const auto floor = static_cast<std::size_t>(
      std::ceil(static_cast<double>(usable) * options.floor_share));
  return usable - std::min(usable, std::max<std::size_t>(1, floor));
}

double Median(std::vector<double> values) {
  if (values.empty()) return 1;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace pomelomill
