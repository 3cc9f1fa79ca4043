#include "pomelomill/routing/latency_estimate.h"

#include <algorithm>

namespace pomelomill {
namespace {

constexpr double kMeanWeight = 0.05;
// One step of the quantile estimate, as a share of the mean.
constexpr double kQuantileStep = 0.01;

Duration FromSeconds(double s) {
  return Duration(static_cast<std::int64_t>(s * 1e9));
}

}  // namespace

void LatencyEstimate::Record(Duration latency) {
  const double s = ToSeconds(latency);
  mean_ += kMeanWeight * (s - mean_);
  const double step = kQuantileStep * mean_;
  high_ += s > high_ ? 19 * step : -step;
  high_ = std::max(high_, mean_);
}

Duration LatencyEstimate::mean() const { return FromSeconds(mean_); }
Duration LatencyEstimate::high() const { return FromSeconds(high_); }

}  // namespace pomelomill
